"""A keeper on mail, timer and disk: what `voter` answers is told when the state behind it is on disk, not before."""

import logging
from collections import deque

import msgspec

from rackhub.fleet.ports import Disk, Fleet, Name
from rackhub.fleet.register.acceptor import AcceptorState, new_acceptor, step
from rackhub.fleet.register.messages import (
    DiskIncarnation,
    JoinAccepted,
    JoinRejected,
    JoinRequest,
    Message,
    Reply,
    Vote,
    decode,
    encode,
)

log = logging.getLogger(__name__)
DEFAULT_REGISTER = "register"
ENTER_AGAIN, ENTER_MOST = 200_000, 2_000_000  # between two askings to be let in, longer each time
WAITING = 256  # answers that wait for the disk; beyond, what comes is dropped as if it was lost


def disk_key(register: str) -> str:
    """Where a voter's state is on its disk."""
    return f"{register}/voter"


def request_kind(register: str) -> str:
    """The kind of mail to a voter."""
    return register


def reply_kind(register: str) -> str:
    """The kind of mail to a proposer."""
    return f"{register}.told"


RULES_DISK_KEY, RULES_REPLY_KIND = (
    disk_key(DEFAULT_REGISTER),
    reply_kind(DEFAULT_REGISTER),
)  # those of the rule book's register


class AcceptorShell:
    """This gateway as one of `keepers`. `boot`: its process's, which only grows. `register`: the name of the register,
    in its mail and on its disk; a process may vote in several."""

    def __init__(
        self, fleet: Fleet, keepers: tuple[Name, ...], disk: Disk, boot: int, register: str = DEFAULT_REGISTER
    ):
        self._fleet, self._disk, self.me = fleet, disk, fleet.members.me
        self._key = disk_key(register)
        self._request_kind, self._reply_kind = request_kind(register), reply_kind(register)
        self._waiting: deque[tuple[int, list[tuple[Name, Reply | JoinRequest]]]] = deque()
        self._puts = self._synced = 0
        self._pause = ENTER_AGAIN
        self._cancel = lambda: None
        self._ended = False
        self.damage = ""
        state = self._load(keepers, boot)
        self.state = (
            state if state is not None else new_acceptor(keepers, self.me, DiskIncarnation(boot, disk.identity))
        )
        if state is None:
            self._save()

    def _load(self, keepers: tuple[Name, ...], boot: int) -> AcceptorState | None:
        """What the disk holds of this keeper. What can't be read is as good as another disk: it begins anew."""
        body = self._disk.get(self._key)
        if body is None:
            return None
        try:
            state = msgspec.msgpack.decode(body, type=AcceptorState)
        except msgspec.MsgspecError as bad:
            self.damage = f"{self._key} can't be read: {bad}"
            log.error("fleet: %s; it is fetched anew from the other keepers", self.damage)
            self._fleet.tally("register_damaged", 1)
            return None
        if state.me != self.me or set(state.keepers) != set(keepers):
            raise ValueError(
                f"keepers: {list(keepers)!r}: the state directory is of {state.me!r} of "
                f"{list(state.keepers)!r}; a set of keepers can't be changed in place"
            )
        return state

    def start(self) -> None:
        self._fleet.mail.take(self._request_kind, self._mailed)
        self._enter()

    def stop(self) -> None:
        self._ended = True
        self._cancel()

    def _enter(self) -> None:
        """Ask to be let in, until enough have answered."""
        if self.state.voting or self._ended:
            return
        self._after([(name, None) for name in self.state.keepers if name != self.me])
        self._cancel = self._fleet.later(self._pause, self._enter)
        self._pause = min(self._pause * 2, ENTER_MOST)

    # ---- what comes

    def _mailed(self, source: Name, body: bytes) -> None:
        try:
            message = decode(body)
        except msgspec.MsgspecError:
            self._fleet.tally("register_unread", 1)
            return
        self.heard(source, message)

    def heard(self, source: Name, message: Message) -> None:
        """One message, of this gateway's own proposer too."""
        if self._ended or len(self._waiting) >= WAITING:
            return self._fleet.tally("register_dropped", 1)
        if isinstance(message, JoinRequest | JoinAccepted | JoinRejected) and message.keeper != source:
            return self._fleet.tally("register_unread", 1)
        if isinstance(message, JoinRejected):
            return self._barred(source, message)
        before = self.state
        self.state, replies = step(before, message)
        if self.state != before:
            self._save()
            if self.state.voting and not before.voting:
                log.warning("fleet: the other keepers have let this one in, whose disk is new")
        if replies:
            self._after([*((source, reply) for reply in replies)])

    def _barred(self, source: Name, message: JoinRejected) -> None:
        """The disk was put back; or it is new, and this machine's clock was set back when it was begun: then the boot
        number has risen by now, and the life with it."""
        life, boot = self.state.life, self._fleet.members.all()[self.me].boot
        if message.to != life or self.state.voting:
            return
        if boot > life.boot:
            self.state = new_acceptor(self.state.keepers, self.me, DiskIncarnation(boot, life.identity))
            self._save()
        elif not self.damage:
            self.damage = message.why
            log.error("fleet: %s bars this keeper: %s; give it an empty state directory", source, message.why)

    # ---- the disk, then the answer

    def _save(self) -> None:
        self._puts += 1
        number = self._puts

        def synced() -> None:
            self._synced = max(self._synced, number)
            while self._waiting and self._waiting[0][0] <= self._synced:
                self._tell(self._waiting.popleft()[1])

        self._disk.put(self._key, msgspec.msgpack.encode(self.state), synced)

    def _after(self, replies: list[tuple[Name, Reply | None]]) -> None:
        """Tell what rests on the state as it is now. None: that this life asks to be let in."""
        said = [(to, reply or JoinRequest(self.me, self.state.life)) for to, reply in replies]
        if self._synced >= self._puts:
            self._tell(said)
        else:
            self._waiting.append((self._puts, said))

    def _tell(self, replies: list[tuple[Name, Reply | JoinRequest]]) -> None:
        for to, reply in replies:
            if self._ended:
                return
            if to == self.me:
                self.own(reply)
            else:
                self._fleet.mail.send(
                    to, self._reply_kind if isinstance(reply, Vote) else self._request_kind, encode(reply)
                )

    def own(self, reply: Reply | JoinRequest) -> None:
        """Where the own proposer gets its replies; it sets this."""
