"""Replication between voters: each learns what a majority has chosen, and which voters have it on disk.

The voter whose edit is decided sends the change to the others. A voter reads the register if another voter reports a
newer revision, if a change arrives before an earlier one, or if the local acceptor holds a newer change that has not
been learned for `UNFINISHED_TIMEOUT`. If the register no longer contains a missing change, the learner starts a
catch-up from another voter.
"""

import logging
import secrets
from collections.abc import Callable

import msgspec

from rackhub.fleet.distribution.decisions import Tail, decode_tail, encode_tail, majority_revision
from rackhub.fleet.distribution.learner import Learner
from rackhub.fleet.distribution.limits import MILLISECOND, SECOND
from rackhub.fleet.distribution.messages import Change, Revision
from rackhub.fleet.distribution.voting import ChosenChanges, SyncedRevision, VoterMessage, VoterMessenger
from rackhub.fleet.ports import Fleet, Name
from rackhub.fleet.register.acceptor_shell import AcceptorShell
from rackhub.fleet.register.messages import quorum_size
from rackhub.fleet.register.proposer import Outcome, Proposer

log = logging.getLogger(__name__)

TICK = 500 * MILLISECOND  # interval of the timer
# Number of ticks between two messages with the synced revision.
TICKS_PER_MESSAGE = 2
UNFINISHED_TIMEOUT = 1 * SECOND  # longest time that the local acceptor may hold a change not learned yet
READ_INTERVAL = 1 * SECOND  # shortest time between two reads of the register
LOG_ID_BYTES = 8  # size of a new log's random id
REGISTER_TIMEOUT = 5 * SECOND  # time for one change or read of the register


class VoterRevision(msgspec.Struct, frozen=True):
    """The last synced revision that a voter has reported, and when the report arrived."""

    revision: Revision
    received_at: int


class Replication:
    """Keeps a voter up to date with the others.

    `is_catching_up` returns whether a catch-up is running, during which nothing else may be learned. `on_confirmed` is
    called with `confirmed_age` on each tick and each report, unless it is None.
    """

    def __init__(
        self,
        fleet: Fleet,
        voters: tuple[Name, ...],
        acceptor: AcceptorShell,
        proposer: Proposer,
        learner: Learner,
        is_catching_up: Callable[[], bool],
        on_confirmed: Callable[[int], None],
    ):
        self._fleet, self._voters, self._proposer = fleet, voters, proposer
        self._acceptor, self._learner, self._is_catching_up = acceptor, learner, is_catching_up
        self._on_confirmed = on_confirmed
        self._messenger = VoterMessenger(fleet, voters, self._on_message)
        self.reports: dict[Name, VoterRevision] = {}
        self._reading = False
        self._next_read_at = fleet.clock.now()
        # The local acceptor's value when it was last checked, so that each value is decoded only once.
        self._last_value: bytes | None = None
        self._accepted_revision: Revision = 0  # the newest revision in that value
        self._unfinished_since: int | None = None  # A read because of that change sets it again.
        self._ticks = 0
        self._cancel: Callable[[], None] = lambda: None
        self._stopped = False

    def start(self) -> None:
        """Subscribe to the other voters' messages and start the timer."""
        self._messenger.start()
        self._tick()

    def stop(self) -> None:
        """Stop the timer and the reads of the register. Messages of other voters are still handled."""
        self._stopped = True
        self._cancel()

    def replicated_revision(self) -> Revision:
        """Return the newest revision that a majority of the voters is known to have on disk; 0 if there is none."""
        others = [reported.revision for reported in self.reports.values()]
        return majority_revision([self._learner.synced, *others], len(self._voters))

    def confirmed_age(self) -> int | None:
        """Return how many microseconds ago a majority of the voters is known to have had nothing newer.

        Newer means newer than what is synced to the local disk. The result is the age of the oldest report among the
        latest ones needed for a majority that includes this voter; 0 if this voter alone is a majority. None if too few
        voters have last reported a revision that is not newer than the local one. The true age may be greater: the time
        that a report takes to arrive is not counted, and a change may be decided but not announced yet.
        """
        now, local_revision = self._fleet.clock.now(), self._learner.synced
        ages = sorted(
            now - reported.received_at for reported in self.reports.values() if reported.revision <= local_revision
        )
        needed = quorum_size(self._voters) - 1
        if len(ages) < needed:
            return None
        return ages[needed - 1] if needed else 0

    def learn(self, tail: Tail) -> None:
        """Learn a tail (see `decisions`) that a majority has chosen.

        It is ignored during a catch-up and after `stop`.
        """
        if not self._is_catching_up() and not self._stopped:
            self._learner.learn_tail(tail)

    def announce(self, tail: Tail) -> None:
        """Send the changes that a majority is not known to have on disk yet to the other voters.

        Each change has its own message, so that no message is too large.
        """
        replicated = self.replicated_revision()
        for change in tail.changes:
            if change.revision > replicated:
                self._messenger.send_all(ChosenChanges(tail.log, (change,)))

    def send_synced_revision(self) -> None:
        """Send the revision that is synced to the local disk to the other voters."""
        self._messenger.send_all(SyncedRevision(self._learner.synced))

    # ---- messages of other voters

    def _on_message(self, sender: Name, message: VoterMessage) -> None:
        match message:
            case ChosenChanges(log_id, changes):
                self._on_chosen(log_id, changes)
            case SyncedRevision(revision):
                self.reports[sender] = VoterRevision(revision, self._fleet.clock.now())
                if revision > self._learner.revision:
                    self._read()
                self._report_confirmed()

    def _report_confirmed(self) -> None:
        age = self.confirmed_age()
        if age is not None:
            self._on_confirmed(age)

    def _on_chosen(self, log_id: str, changes: tuple[Change, ...]) -> None:
        if self._is_catching_up():
            return
        if changes and changes[0].revision > self._learner.revision + 1:
            return self._read()  # the register probably has the earlier changes; `learn` would start a catch-up
        self._learner.learn(log_id, changes)

    # ---- the register

    def _read(self) -> None:
        now = self._fleet.clock.now()
        if self._reading or self._is_catching_up() or self._stopped or now < self._next_read_at:
            return
        self._reading, self._next_read_at = True, now + READ_INTERVAL
        self._proposer.read(self._on_read, REGISTER_TIMEOUT)

    def _begin_log(self) -> None:
        """Write an empty tail with a new log id to the register if it has no value yet, and learn the result.

        Thus watchers get a log id before the first edit.
        """
        now = self._fleet.clock.now()
        if self._reading or self._is_catching_up() or now < self._next_read_at:
            return
        self._reading, self._next_read_at = True, now + READ_INTERVAL
        first = encode_tail(Tail(secrets.token_hex(LOG_ID_BYTES)))
        self._proposer.change(
            lambda value: (value if value is not None else first, None), self._on_read, REGISTER_TIMEOUT
        )

    def _on_read(self, outcome: Outcome) -> None:
        self._reading = False
        if outcome.kind != "done" or outcome.value is None:
            return
        try:
            tail = decode_tail(outcome.value)
        except msgspec.MsgspecError as bad:
            return log.error(
                "fleet: the value of the distribution register is not a valid tail and is not learned: %s", bad
            )
        self.learn(tail)

    def _tick(self) -> None:
        if self._stopped:
            return
        if self._ticks % TICKS_PER_MESSAGE == 0:
            self.send_synced_revision()
        self._ticks += 1
        self._report_confirmed()
        self._check_unfinished()
        if not self._learner.log:
            self._begin_log()
        self._cancel = self._fleet.call_later(TICK, self._tick)

    def _check_unfinished(self) -> None:
        """Read the register if the local acceptor has held a change for too long that this voter has not learned.

        The process that proposed it may have stopped after acceptors accepted the change and before it sent
        `ChosenChanges`. A read runs a round of the register, which shows whether the change is chosen, or completes it.
        """
        now = self._fleet.clock.now()
        self._update_accepted_revision()
        if self._accepted_revision <= self._learner.revision:
            self._unfinished_since = None
        elif self._unfinished_since is None:
            self._unfinished_since = now
        elif now - self._unfinished_since > UNFINISHED_TIMEOUT:
            self._unfinished_since = now
            self._read()

    def _update_accepted_revision(self) -> None:
        """Decode the local acceptor's value if it has changed.

        `voting` is set once the acceptor has joined the register.
        """
        state = self._acceptor.state
        value = state.value if state.voting else None
        if value is self._last_value:
            return
        self._last_value, self._accepted_revision = value, 0
        if value is None:
            return
        try:
            self._accepted_revision = decode_tail(value).newest
        except msgspec.MsgspecError as bad:  # probably written by a later version, whose voters will learn it
            log.error("fleet: the value that the local acceptor holds is not a valid tail and is ignored: %s", bad)
