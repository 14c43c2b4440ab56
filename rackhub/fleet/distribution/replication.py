"""A voter among the voters: what a majority has chosen reaches each of them, and which of them have it on their disks.

A voter learns of a change by the mail of the one that had it decided, by reading the register where another one is
ahead or the own register voter has accepted what nobody told of, and by a snapshot where the register no longer has it.
"""

import logging
import secrets
from collections.abc import Callable

import msgspec

from rackhub.fleet.distribution.decisions import Tail, decode_tail, encode_tail, majority_revision
from rackhub.fleet.distribution.learning import Learner
from rackhub.fleet.distribution.limits import MILLISECOND, SECOND
from rackhub.fleet.distribution.messages import Change, Revision
from rackhub.fleet.distribution.voting import ChosenChanges, NewestRevision, VoterMail, VoterMessage
from rackhub.fleet.ports import Fleet, Name
from rackhub.fleet.register.acceptor_shell import AcceptorShell
from rackhub.fleet.register.messages import quorum_size
from rackhub.fleet.register.proposer import Outcome, Proposer

log = logging.getLogger(__name__)

TICK = 500 * MILLISECOND
TICKS_A_WORD = 2  # between two words to the other voters of the newest revision held
UNFINISHED = 1 * SECOND  # how long the register voter holds a value that nobody told was chosen, before it is read
READ_AGAIN = 1 * SECOND  # between two readings of the register
LOG_BYTES = 8  # of a new log's identity
REGISTER_TIMEOUT = 5 * SECOND  # for one change or reading of the register


class VoterRevision(msgspec.Struct, frozen=True):
    """What a voter last said that it holds, and when it came."""

    revision: Revision
    heard_at: int


class Replication:
    """`busy`: whether the voter is catching up, when nothing may be learned otherwise. `confirmed` is called with the
    microseconds since a majority of the voters had nothing newer than this one, as far as they have said."""

    def __init__(
        self,
        fleet: Fleet,
        voters: tuple[Name, ...],
        acceptor: AcceptorShell,
        proposer: Proposer,
        learner: Learner,
        busy: Callable[[], bool],
        confirmed: Callable[[int], None],
    ):
        self._fleet, self._voters, self._proposer = fleet, voters, proposer
        self._acceptor, self._learner, self._busy = acceptor, learner, busy
        self._confirmed = confirmed
        self._mail = VoterMail(fleet, voters, self._mailed)
        self.heard: dict[Name, VoterRevision] = {}
        self._reading = False
        self._read_at = fleet.clock.now()
        self._seen: bytes | None = None  # the own register voter's value, as last looked at
        self._accepted: Revision = 0  # its newest revision
        self._unfinished_since: int | None = None
        self._ticks = 0
        self._cancel: Callable[[], None] = lambda: None
        self._ended = False

    def start(self) -> None:
        self._mail.start()
        self._tick()

    def stop(self) -> None:
        self._ended = True
        self._cancel()

    def replicated_revision(self) -> Revision:
        """The newest revision that a majority of the voters is known to have on its disks."""
        others = [heard.revision for heard in self.heard.values()]
        return majority_revision([self._learner.synced, *others], len(self._voters))

    def confirmed_age(self) -> int | None:
        """Microseconds since a majority of the voters, this one too, had nothing newer than what is on the disk here;
        None where not so many have said so. A word that is under way, or a change that its voter has not announced yet,
        is not in it: the age is a lower bound."""
        now, own = self._fleet.clock.now(), self._learner.synced
        ages = sorted(now - heard.heard_at for heard in self.heard.values() if heard.revision <= own)
        needed = quorum_size(self._voters) - 1
        if len(ages) < needed:
            return None
        return ages[needed - 1] if needed else 0

    def learn(self, tail: Tail) -> None:
        """A majority has chosen this."""
        if not self._busy() and not self._ended:
            self._learner.learn_tail(tail)

    def announce(self, tail: Tail) -> None:
        """Tell the other voters of changes that this one had decided, one at a time to fit in a piece of mail."""
        known = self.replicated_revision()
        for change in tail.changes:
            if change.revision > known:
                self._mail.send_all(ChosenChanges(tail.log, (change,)))

    def say_synced(self) -> None:
        """Tell the other voters what the disk has here."""
        self._mail.send_all(NewestRevision(self._learner.synced))

    # ---- what comes

    def _mailed(self, sender: Name, message: VoterMessage) -> None:
        match message:
            case ChosenChanges(log_id, changes):
                self._chosen(log_id, changes)
            case NewestRevision(revision):
                self.heard[sender] = VoterRevision(revision, self._fleet.clock.now())
                if revision > self._learner.revision:
                    self._read()
                self._tell_confirmed()

    def _tell_confirmed(self) -> None:
        age = self.confirmed_age()
        if age is not None:
            self._confirmed(age)

    def _chosen(self, log_id: str, changes: tuple[Change, ...]) -> None:
        if self._busy():
            return
        if changes and changes[0].revision > self._learner.revision + 1:
            return self._read()  # the ones before are under way, or in the register
        self._learner.learn(log_id, changes)

    # ---- the register

    def _read(self) -> None:
        now = self._fleet.clock.now()
        if self._reading or self._busy() or self._ended or now < self._read_at:
            return
        self._reading, self._read_at = True, now + READ_AGAIN
        self._proposer.read(self._was_read, REGISTER_TIMEOUT)

    def _begin_log(self) -> None:
        """Nothing is held: have the register begin a log where it has none, so that watchers know its identity."""
        now = self._fleet.clock.now()
        if self._reading or self._busy() or now < self._read_at:
            return
        self._reading, self._read_at = True, now + READ_AGAIN
        first = encode_tail(Tail(secrets.token_hex(LOG_BYTES)))
        self._proposer.change(
            lambda value: (value if value is not None else first, None), self._was_read, REGISTER_TIMEOUT
        )

    def _was_read(self, outcome: Outcome) -> None:
        self._reading = False
        if outcome.kind != "done" or outcome.value is None:
            return
        try:
            tail = decode_tail(outcome.value)
        except msgspec.MsgspecError as bad:
            return log.error("fleet: the register of distribution can't be read: %s", bad)
        self.learn(tail)

    def _tick(self) -> None:
        if self._ended:
            return
        if self._ticks % TICKS_A_WORD == 0:
            self.say_synced()
        self._ticks += 1
        self._tell_confirmed()
        self._look_for_unfinished()
        if not self._learner.log:
            self._begin_log()
        self._cancel = self._fleet.call_later(TICK, self._tick)

    def _look_for_unfinished(self) -> None:
        """An editor's voter may have ended between accept and answer: what the own register voter then holds may be
        chosen without that anybody knows. A read settles it."""
        now = self._fleet.clock.now()
        self._note_accepted()
        if self._accepted <= self._learner.revision:
            self._unfinished_since = None
        elif self._unfinished_since is None:
            self._unfinished_since = now
        elif now - self._unfinished_since > UNFINISHED:
            self._unfinished_since = now
            self._read()

    def _note_accepted(self) -> None:
        state = self._acceptor.state
        value = state.value if state.voting else None
        if value is self._seen:
            return
        self._seen, self._accepted = value, 0
        if value is None:
            return
        try:
            self._accepted = decode_tail(value).newest
        except msgspec.MsgspecError as bad:  # a later program's: it is left to that one
            log.error("fleet: the register of distribution can't be read: %s", bad)
