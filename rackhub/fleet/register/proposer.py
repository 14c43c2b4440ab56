"""A proposer on mail and timers, at any gateway: one change at a time, rounds with a limit, back-off by chance."""

import logging
import random
import secrets
from collections import deque
from collections.abc import Callable
from typing import Any, Literal, NamedTuple

import msgspec

from rackhub.fleet.ports import Fleet, Name
from rackhub.fleet.register.acceptor_shell import DEFAULT_REGISTER, AcceptorShell, reply_kind, request_kind
from rackhub.fleet.register.messages import (
    MAX_VALUE_BYTES,
    NONE,
    Accept,
    Accepted,
    Ballot,
    Message,
    Prepare,
    Promise,
    Rejected,
    Vote,
    decode,
    encode,
)
from rackhub.fleet.register.round import Beaten, Change, Chosen, Round, begin, heard

log = logging.getLogger(__name__)
AGAIN = 150_000  # until those who have not answered are asked once more
TRIES = 3  # askings of one round, before another round
BACKOFF, BACKOFF_MOST = 20_000, 1_000_000
DRAWN = 12  # bits
QUEUE = 64  # changes that wait; beyond, they are refused at once


class Outcome(NamedTuple):
    """`done`: chosen, `answer` is the change's. `refused`: certainly not done, `why` says it. `unknown`: perhaps."""

    kind: Literal["done", "refused", "unknown"]
    value: bytes | None = None
    answer: Any = None
    reason: str = ""


class _Work(NamedTuple):
    change: Change
    done: Callable[[Outcome], None]
    until: int


class Proposer:
    """Changes the register of that name. `boot`: this process's; with a name and a number no ballot comes twice."""

    def __init__(
        self,
        fleet: Fleet,
        keepers: tuple[Name, ...],
        boot: int,
        keeper: AcceptorShell | None = None,
        register: str = DEFAULT_REGISTER,
    ):
        self._fleet, self._keepers, self._keeper = fleet, keepers, keeper
        self._request_kind, self._reply_kind = request_kind(register), reply_kind(register)
        # a gateway without a state directory has its boot number from the wall clock, which may be set back
        self._boot = boot << DRAWN | secrets.randbits(DRAWN)
        self._random = random.Random(f"{fleet.seed} proposer {fleet.members.me} {boot}")
        self._queue: deque[_Work] = deque()
        self._work: _Work | None = None
        self._round: Round | None = None
        self._said: Prepare | Accept | None = None
        self._tries = self._rounds = 0
        self._offered = False  # in any round of this change
        self._why = ""
        self._known: tuple[Ballot, bytes | None] = (NONE, None)
        self._top = 0
        self._cancel: Callable[[], None] = lambda: None
        if keeper is not None:
            keeper.own = self._heard  # type: ignore[method-assign]

    def start(self) -> None:
        self._fleet.mail.take(self._reply_kind, self._mailed)

    def stop(self) -> None:
        """What is under way has no known outcome here."""
        self._cancel()
        left, self._queue = list(self._queue), deque()
        if self._work is not None:
            work, offered = self._work, self._offered
            self._work = self._round = None
            work.done(Outcome("unknown" if offered else "refused", reason="this gateway ends"))
        for work in left:
            work.done(Outcome("refused", reason="this gateway ends"))

    def change(self, change: Change, done: Callable[[Outcome], None], within: int) -> None:
        """`change` may be called several times, with other values: it must depend on nothing else. `done` once."""
        if len(self._queue) >= QUEUE:
            return done(Outcome("refused", reason=f"{QUEUE} changes wait already"))
        self._queue.append(_Work(change, done, self._fleet.clock.now() + within))
        if self._work is None:
            self._next()

    def read(self, done: Callable[[Outcome], None], within: int) -> None:
        """The value as it is at a moment between now and the answer."""
        self.change(lambda value: (value, None), done, within)

    # ---- one change

    def _next(self) -> None:
        self._work = self._queue.popleft() if self._queue else None
        self._offered, self._rounds, self._why = False, 0, ""
        if self._work is not None:
            self._begin()

    def _begin(self) -> None:
        work = self._work
        if work is None:
            return
        if self._fleet.clock.now() >= work.until:
            return self._over(Outcome("unknown" if self._offered else "refused", reason=self._lacking()))
        self._top += 1
        ballot = Ballot(self._top, self._fleet.members.me, self._boot)
        self._round, prepare = begin(self._keepers, ballot, *self._known)
        self._rounds += 1
        self._say(prepare)

    def _say(self, message: Prepare | Accept) -> None:
        self._said, self._tries = message, 0
        self._send()

    def _send(self) -> None:
        state, message = self._round, self._said
        if state is None or message is None:
            return
        self._tries += 1
        if self._tries > TRIES:
            self._why = self._lacking()
            return self._back_off()
        replied = state.accepts if state.offered else state.promises
        for name in self._keepers:
            if any(one.keeper == name for one in replied):
                continue
            if name != self._fleet.members.me:
                self._fleet.mail.send(name, self._request_kind, encode(message))
            elif self._keeper is not None:
                self._local(message)
        self._cancel = self._fleet.later(AGAIN, self._send)

    def _local(self, message: Message) -> None:
        keeper = self._keeper
        if keeper is not None:
            self._fleet.later(0, lambda: keeper.heard(keeper.me, message))

    def _back_off(self) -> None:
        self._cancel()
        self._round = None
        most = min(BACKOFF << min(self._rounds, 8), BACKOFF_MOST)
        self._cancel = self._fleet.later(self._random.randint(most // 4, most), self._begin)

    def _lacking(self) -> str:
        """Why there is no majority, as far as it is known."""
        state = self._round
        if state is None:
            return self._why or "no majority of the keepers answered"
        replied = {one.keeper for one in state.refusals} | {one.keeper for one in state.promises}
        replied |= {one.keeper for one in state.accepts}
        silent = [name for name in self._keepers if name not in replied]
        abstain = [f"{one.keeper} abstains: {one.abstains}" for one in state.refusals if one.abstains]
        words = [f"no answer from {', '.join(silent)}"] if silent else []
        return f"no majority of the keepers {', '.join(self._keepers)}: " + "; ".join([*words, *abstain])

    # ---- what comes

    def _mailed(self, source: Name, body: bytes) -> None:
        try:
            message = decode(body)
        except msgspec.MsgspecError:
            return self._fleet.tally("register_unread", 1)
        if isinstance(message, Promise | Accepted | Rejected) and message.keeper == source:
            self._heard(message)
        else:
            self._fleet.tally("register_unread", 1)

    def _heard(self, reply: Message) -> None:
        work, state = self._work, self._round
        if work is None or state is None or not isinstance(reply, Vote):
            return
        try:
            self._round, effects = heard(state, reply, work.change)
        except Exception as bad:  # the change's own fault must not end the proposer
            log.exception("fleet: a change of the register failed")
            return self._over(Outcome("unknown" if self._offered else "refused", reason=str(bad)))
        for effect in effects:
            if isinstance(effect, Accept):
                if len(effect.value) > MAX_VALUE_BYTES:
                    return self._over(
                        Outcome("refused", reason=f"{len(effect.value)} bytes, more than {MAX_VALUE_BYTES}")
                    )
                self._cancel()
                self._offered = True
                self._say(effect)
            elif isinstance(effect, Chosen):
                self._known = (effect.ballot, effect.value)
                self._over(Outcome("done", effect.value, effect.answer))
            elif isinstance(effect, Beaten):
                self._top, self._why = max(self._top, effect.above.number), effect.why
                self._back_off()

    def _over(self, outcome: Outcome) -> None:
        self._cancel()
        work, self._work, self._round = self._work, None, None
        if work is not None:
            work.done(outcome)
        if self._work is None:
            self._next()
