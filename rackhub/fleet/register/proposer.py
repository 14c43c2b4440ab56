"""A proposer on messages and timers, at any gateway: one change at a time, limited attempts, randomized backoff."""

import logging
import random
import secrets
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, Literal, NamedTuple

import msgspec

from rackhub.fleet.ports import Fleet, Name
from rackhub.fleet.register.acceptor_shell import DEFAULT_REGISTER, AcceptorShell, reply_kind, request_kind
from rackhub.fleet.register.messages import (
    MAX_VALUE_BYTES,
    NO_BALLOT,
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
from rackhub.fleet.register.round import (
    ChangeFunction,
    Chosen,
    Effect,
    Round,
    describe_abstentions,
    handle_reply,
    start_round,
)

log = logging.getLogger(__name__)

RESEND_INTERVAL_US = 150_000
MAX_ATTEMPTS = 3  # sends of one request before another round
INITIAL_BACKOFF_US = 20_000
MAX_BACKOFF_US = 1_000_000
MAX_BACKOFF_DOUBLINGS = 8
RANDOM_GENERATION_BITS = 12
MAX_QUEUED_CHANGES = 64  # beyond, changes are rejected at once
STOPPED_REASON = "this gateway ends"


class Outcome(NamedTuple):
    """The result of a change.

    `done`: `value` is chosen, `answer` is the change's. `refused`: certainly not done, for `reason`. `unknown`: it may
    have been done or may still be.
    """

    kind: Literal["done", "refused", "unknown"]
    value: bytes | None = None
    answer: Any = None
    reason: str = ""


class _QueuedChange(NamedTuple):
    change: ChangeFunction
    done: Callable[[Outcome], None]
    deadline: int  # microseconds of the fleet's clock


class Proposer:
    """Changes the register of that name.

    `generation` is this process's: with the name and a number it makes ballots unique. `local_acceptor` is the one in
    this process, if any.
    """

    def __init__(
        self,
        fleet: Fleet,
        acceptors: tuple[Name, ...],
        generation: int,
        local_acceptor: AcceptorShell | None = None,
        register: str = DEFAULT_REGISTER,
    ):
        self._fleet = fleet
        self._local_name = fleet.members.local_name
        self._acceptors = acceptors
        self._local_acceptor = local_acceptor
        self._request_kind = request_kind(register)
        self._reply_kind = reply_kind(register)
        # a gateway without a state directory has its boot number from the wall clock, which may be set back
        self._unique_generation = generation << RANDOM_GENERATION_BITS | secrets.randbits(RANDOM_GENERATION_BITS)
        self._random = random.Random(f"{fleet.seed} proposer {self._local_name} {generation}")
        self._queue: deque[_QueuedChange] = deque()
        self._current: _QueuedChange | None = None
        self._round: Round | None = None
        self._request: Prepare | Accept | None = None
        self._attempts = 0  # sends of the present request
        self._rounds = 0  # of the present change
        self._accept_sent = False  # in any round of the present change
        self._failure_reason = ""
        self._known_ballot = NO_BALLOT
        self._known_value: bytes | None = None
        self._highest_number = 0
        self._cancel_timer: Callable[[], None] = lambda: None
        if local_acceptor is not None:
            local_acceptor.connect_local_proposer(self._receive)

    def start(self) -> None:
        """Receive replies."""
        self._fleet.messenger.subscribe(self._reply_kind, self._receive_encoded)

    def stop(self) -> None:
        """End all changes: the outcome of one that acceptors may have accepted is unknown."""
        self._cancel_timer()
        queued = list(self._queue)
        self._queue = deque()
        if self._current is not None:
            current = self._current
            outcome = self._failure(STOPPED_REASON)
            self._current = None
            self._round = None
            current.done(outcome)
        for one in queued:
            one.done(Outcome("refused", reason=STOPPED_REASON))

    def change(self, change: ChangeFunction, done: Callable[[Outcome], None], within: int) -> None:
        """Apply `change` to the value, and call `done` once, after some more than `within` microseconds at the latest.

        `change` may be called several times, with other values, so it must be a pure function.
        """
        if len(self._queue) >= MAX_QUEUED_CHANGES:
            done(Outcome("refused", reason=f"{MAX_QUEUED_CHANGES} changes wait already"))
            return
        self._queue.append(_QueuedChange(change, done, self._fleet.clock.now() + within))
        if self._current is None:
            self._start_next_change()

    def read(self, done: Callable[[Outcome], None], within: int) -> None:
        """The value at some moment between the call and the answer (a linearizable read)."""
        self.change(lambda value: (value, None), done, within)

    # ---- one change

    def _start_next_change(self) -> None:
        self._current = self._queue.popleft() if self._queue else None
        self._accept_sent = False
        self._rounds = 0
        self._failure_reason = ""
        if self._current is not None:
            self._start_round()

    def _start_round(self) -> None:
        if self._current is None:
            return
        if self._fleet.clock.now() >= self._current.deadline:
            self._finish(self._failure(self._describe_missing_quorum()))
            return
        self._highest_number += 1
        ballot = Ballot(self._highest_number, self._local_name, self._unique_generation)
        self._round, prepare = start_round(self._acceptors, ballot, self._known_ballot, self._known_value)
        self._rounds += 1
        self._send_request(prepare)

    def _failure(self, reason: str) -> Outcome:
        return Outcome("unknown" if self._accept_sent else "refused", reason=reason)

    def _finish(self, outcome: Outcome) -> None:
        self._cancel_timer()
        finished = self._current
        self._current = None
        self._round = None
        if finished is not None:
            finished.done(outcome)
        if self._current is None:  # `done` may have started another change
            self._start_next_change()

    def _back_off(self) -> None:
        self._cancel_timer()
        self._round = None
        longest = min(INITIAL_BACKOFF_US << min(self._rounds, MAX_BACKOFF_DOUBLINGS), MAX_BACKOFF_US)
        delay = self._random.randint(longest // 4, longest)
        self._cancel_timer = self._fleet.call_later(delay, self._start_round)

    def _describe_missing_quorum(self) -> str:
        """Why there is no quorum, as far as it is known."""
        state = self._round
        if state is None:
            return self._failure_reason or "no majority of the keepers answered"
        replies: list[Vote] = [*state.rejections, *state.promises, *state.accepts]
        replied = {reply.acceptor for reply in replies}
        silent = [name for name in self._acceptors if name not in replied]
        reasons = [f"no answer from {', '.join(silent)}"] if silent else []
        reasons += describe_abstentions(state.rejections)
        return f"no majority of the keepers {', '.join(self._acceptors)}: " + "; ".join(reasons)

    # ---- requests

    def _send_request(self, request: Prepare | Accept) -> None:
        self._request = request
        self._attempts = 0
        self._send_attempt()

    def _send_attempt(self) -> None:
        """Send the request to all acceptors that have not replied positively, and again after a while."""
        request = self._request
        if self._round is None or request is None:
            return
        self._attempts += 1
        if self._attempts > MAX_ATTEMPTS:
            self._failure_reason = self._describe_missing_quorum()
            self._back_off()
            return
        replies: Sequence[Promise | Accepted] = self._round.accepts if self._round.accept_sent else self._round.promises
        replied = {reply.acceptor for reply in replies}
        for name in self._acceptors:
            if name not in replied:
                self._send(name, request)
        self._cancel_timer = self._fleet.call_later(RESEND_INTERVAL_US, self._send_attempt)

    def _send(self, acceptor: Name, request: Prepare | Accept) -> None:
        if acceptor != self._local_name:
            self._fleet.messenger.send(acceptor, self._request_kind, encode(request))
            return
        local = self._local_acceptor
        if local is not None:
            self._fleet.call_later(0, lambda: local.receive(local.local_name, request))

    # ---- replies

    def _receive_encoded(self, sender: Name, body: bytes) -> None:
        try:
            message = decode(body)
        except msgspec.MsgspecError:
            self._fleet.add_count("register_unread", 1)
            return
        if isinstance(message, Promise | Accepted | Rejected) and message.acceptor == sender:
            self._receive(message)
        else:
            self._fleet.add_count("register_unread", 1)

    def _receive(self, reply: Message) -> None:
        if self._current is None or self._round is None or not isinstance(reply, Vote):
            return
        try:
            self._round, effects = handle_reply(self._round, reply, self._current.change)
        except Exception as error:  # the caller's change must not end the proposer
            log.exception("fleet: a change of the register failed")
            self._finish(self._failure(str(error)))
            return
        for effect in effects:
            self._perform(effect)

    def _perform(self, effect: Effect) -> None:
        if isinstance(effect, Accept):
            self._propose(effect)
        elif isinstance(effect, Chosen):
            self._known_ballot = effect.ballot
            self._known_value = effect.value
            self._finish(Outcome("done", effect.value, effect.answer))
        else:
            self._highest_number = max(self._highest_number, effect.highest_ballot.number)
            self._failure_reason = effect.reason
            self._back_off()

    def _propose(self, accept: Accept) -> None:
        size = len(accept.value)
        if size > MAX_VALUE_BYTES:
            self._finish(Outcome("refused", reason=f"{size} bytes, more than {MAX_VALUE_BYTES}"))
            return
        self._cancel_timer()
        self._accept_sent = True
        self._send_request(accept)
