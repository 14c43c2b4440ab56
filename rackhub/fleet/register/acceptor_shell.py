"""An acceptor on messages, timers and a disk: a reply is sent only when the state behind it is durable."""

import logging
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from rackhub.fleet.ports import Disk, Fleet, Name
from rackhub.fleet.register.acceptor import AcceptorState, handle, new_acceptor
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
INITIAL_JOIN_BACKOFF_US = 200_000
MAX_JOIN_BACKOFF_US = 2_000_000
MAX_PENDING_WRITES = 256  # beyond, messages are dropped, which the sender handles like a loss


def disk_key(register: str) -> str:
    """The disk key of an acceptor's state."""
    return f"{register}/voter"


def request_kind(register: str) -> str:
    """The message kind of requests to an acceptor."""
    return register


def reply_kind(register: str) -> str:
    """The message kind of replies to a proposer."""
    return f"{register}.told"


RULES_DISK_KEY = disk_key(DEFAULT_REGISTER)
RULES_REPLY_KIND = reply_kind(DEFAULT_REGISTER)


class _Envelope(NamedTuple):
    recipient: Name
    message: Reply | JoinRequest


class _PendingEnvelopes(NamedTuple):
    """Messages that wait until the write of that number is durable."""

    write_number: int
    envelopes: list[_Envelope]


def _ignore(message: Message) -> None:
    """The receiver of local replies where there is no local proposer."""


class AcceptorShell:
    """This gateway as one of `acceptors`.

    `generation` is this process's. `register` names the register in message kinds and disk keys, so one process can
    vote in several. Raises `ValueError` where the disk holds the state of another acceptor, or of another set of them.
    `damage`, unless empty, describes a fault that operators must know of.
    """

    def __init__(
        self,
        fleet: Fleet,
        acceptors: tuple[Name, ...],
        disk: Disk,
        generation: int,
        register: str = DEFAULT_REGISTER,
    ):
        self._fleet = fleet
        self._disk = disk
        self.local_name = fleet.members.local_name
        self._key = disk_key(register)
        self._request_kind = request_kind(register)
        self._reply_kind = reply_kind(register)
        self._pending: deque[_PendingEnvelopes] = deque()
        self._writes_started = 0
        self._writes_durable = 0
        self._join_backoff = INITIAL_JOIN_BACKOFF_US
        self._cancel_join: Callable[[], None] = lambda: None
        self._stopped = False
        self._receive_locally: Callable[[Message], None] = _ignore
        self.damage = ""
        stored = self._load(acceptors)
        if stored is not None:
            self.state = stored
        else:
            self.state = new_acceptor(acceptors, self.local_name, DiskIncarnation(generation, disk.identity))
            self._save()

    def connect_local_proposer(self, receive: Callable[[Message], None]) -> None:
        """Replies to this gateway's own proposer go to `receive` instead of the network."""
        self._receive_locally = receive

    def start(self) -> None:
        """Receive messages, and ask to join until this disk votes."""
        self._fleet.messenger.subscribe(self._request_kind, self._receive_encoded)
        self._request_join()

    def stop(self) -> None:
        """Send and receive nothing any more."""
        self._stopped = True
        self._cancel_join()

    def receive(self, sender: Name, message: Message) -> None:
        """Handle one message, also of this gateway's own proposer."""
        if self._stopped or len(self._pending) >= MAX_PENDING_WRITES:
            self._fleet.add_count("register_dropped", 1)
            return
        if isinstance(message, JoinRequest | JoinAccepted | JoinRejected) and message.acceptor != sender:
            self._fleet.add_count("register_unread", 1)
            return
        if isinstance(message, JoinRejected):
            self._handle_join_rejected(sender, message)
            return
        before = self.state
        self.state, replies = handle(before, message)
        if self.state != before:
            self._save()
            if self.state.voting and not before.voting:
                log.warning("fleet: the other acceptors have admitted this one, whose disk is new")
        if replies:
            self._send_when_durable([_Envelope(sender, reply) for reply in replies])

    def _receive_encoded(self, sender: Name, body: bytes) -> None:
        try:
            message = decode(body)
        except msgspec.MsgspecError:
            self._fleet.add_count("register_unread", 1)
            return
        self.receive(sender, message)

    # ---- joining

    def _request_join(self) -> None:
        if self.state.voting or self._stopped:
            return
        request = JoinRequest(self.local_name, self.state.incarnation)
        peers = [name for name in self.state.acceptors if name != self.local_name]
        self._send_when_durable([_Envelope(name, request) for name in peers])
        self._cancel_join = self._fleet.call_later(self._join_backoff, self._request_join)
        self._join_backoff = min(self._join_backoff * 2, MAX_JOIN_BACKOFF_US)

    def _handle_join_rejected(self, sender: Name, message: JoinRejected) -> None:
        """Begin a new incarnation if the boot number has grown, else report the damage.

        An old disk was restored; or the disk is new but was begun while this machine's clock was set back, and the
        boot number with it.
        """
        incarnation = self.state.incarnation
        generation = self._fleet.members.all()[self.local_name].generation
        if message.requested != incarnation or self.state.voting:
            return
        if generation > incarnation.generation:
            incarnation = DiskIncarnation(generation, incarnation.identity)
            self.state = new_acceptor(self.state.acceptors, self.local_name, incarnation)
            self._save()
        elif not self.damage:
            self.damage = message.reason
            log.error("fleet: %s rejects this acceptor: %s; give it an empty state directory", sender, message.reason)

    # ---- the disk, and what waits for it

    def _load(self, acceptors: tuple[Name, ...]) -> AcceptorState | None:
        """The stored state; None where there is none, or it can't be decoded: then this is a new disk."""
        body = self._disk.get(self._key)
        if body is None:
            return None
        try:
            state = msgspec.msgpack.decode(body, type=AcceptorState)
        except msgspec.MsgspecError as error:
            self.damage = f"{self._key} can't be read: {error}"
            log.error("fleet: %s; it is fetched anew from the other acceptors", self.damage)
            self._fleet.add_count("register_damaged", 1)
            return None
        if state.local_name != self.local_name or set(state.acceptors) != set(acceptors):
            raise ValueError(
                f"keepers: {list(acceptors)!r}: the state directory is of {state.local_name!r} of "
                f"{list(state.acceptors)!r}; a set of keepers can't be changed in place"
            )
        return state

    def _save(self) -> None:
        self._writes_started += 1
        number = self._writes_started
        self._disk.put(self._key, msgspec.msgpack.encode(self.state), lambda: self._on_durable(number))

    def _on_durable(self, write_number: int) -> None:
        self._writes_durable = max(self._writes_durable, write_number)
        while self._pending and self._pending[0].write_number <= self._writes_durable:
            self._send(self._pending.popleft().envelopes)

    def _send_when_durable(self, envelopes: list[_Envelope]) -> None:
        """Send what rests on the present state."""
        if self._writes_durable >= self._writes_started:
            self._send(envelopes)
        else:
            self._pending.append(_PendingEnvelopes(self._writes_started, envelopes))

    def _send(self, envelopes: list[_Envelope]) -> None:
        for recipient, message in envelopes:
            if self._stopped:
                return
            if recipient == self.local_name:
                self._receive_locally(message)
                continue
            kind = self._reply_kind if isinstance(message, Vote) else self._request_kind
            self._fleet.messenger.send(recipient, kind, encode(message))
