"""Proposes changes of the rule set to the register, and learns versions whose proposers stopped before the outcome."""

import logging
import time
from collections.abc import Callable

import msgspec

from rackhub.fleet.ports import Fleet
from rackhub.fleet.register.acceptor_shell import AcceptorShell
from rackhub.fleet.register.proposer import Outcome, Proposer
from rackhub.fleet.rules import versions
from rackhub.fleet.rules.active_version import VersionTracker
from rackhub.fleet.rules.dissemination import Dissemination, LearnVersions, gossiped_statuses
from rackhub.fleet.rules.messages import (
    FORMAT_VERSION,
    UNKNOWN_AGE,
    ChangeRejectedError,
    EditRequest,
    RuleSet,
    Version,
    encode,
)

log = logging.getLogger(__name__)
CHANGE_TIMEOUT = 5_000_000  # microseconds, for one change or read of the register
UNLEARNED_DELAY = 1_000_000  # microseconds that an accepted value may stay unlearned before the register is read


class _ProposedChange:
    """One change. The proposer calls `compute_value` in each round with the value found, and `complete` once."""

    def __init__(
        self,
        fleet: Fleet,
        tracker: VersionTracker,
        learn: LearnVersions,
        request: EditRequest,
        done: Callable[[Outcome], None],
    ):
        self._fleet = fleet
        self._tracker = tracker
        self._learn = learn
        self._request = request
        self._done = done
        self._started_at = fleet.clock.now()
        self._proposed = False  # True once a round has added a version, also during later rounds

    def compute_value(self, value: bytes | None) -> tuple[bytes | None, Version | ChangeRejectedError]:
        """Return the register's new value and the new version, or the unchanged value and the rejection."""
        try:
            rule_set = self._current_rule_set(value)
            changed, new_version = versions.apply(rule_set, self._request)
        except ChangeRejectedError as rejection:
            return value, rejection
        if changed == rule_set:  # an earlier attempt made the version
            return value, new_version
        self._proposed = True
        return encode(changed), new_version

    def _current_rule_set(self, value: bytes | None) -> RuleSet:
        local = self._tracker.rule_set
        # a register that was never written, or was lost with the acceptors' disks, continues from the local rule set
        rule_set = versions.decode_rule_set(value) if value is not None else local
        if rule_set.newest_number < local.newest_number:
            raise ChangeRejectedError(
                f"the keepers' newest version is {rule_set.newest_number}, and this gateway's {local.newest_number}: "
                "the keepers' disks were probably restored from an older state; docs/operators/rules.md says what to do"
            )
        if rule_set.format > FORMAT_VERSION:
            raise ChangeRejectedError(
                f"the rules were written by a newer program (format {rule_set.format}, this gateway can write "
                f"{FORMAT_VERSION}): edit them at a gateway that runs the newer program"
            )
        return rule_set

    def complete(self, outcome: Outcome) -> None:
        """Pass the chosen versions to `learn`, then report the outcome; a rejected change is reported as `refused`.

        If this change made the newest version, a trial of it began after `_started_at`, and the time since then is an
        upper bound of the trial's age. Otherwise the age is not known.
        """
        if outcome.kind == "done" and outcome.value is not None:
            chosen = versions.decode_rule_set(outcome.value)
            answer = outcome.answer
            made_newest = self._proposed and isinstance(answer, Version) and answer.number == chosen.newest_number
            age = self._fleet.clock.now() - self._started_at if made_newest else UNKNOWN_AGE
            self._learn(chosen.versions, age)
        if outcome.kind == "done" and isinstance(outcome.answer, ChangeRejectedError):
            outcome = Outcome("refused", reason=str(outcome.answer))
        self._done(outcome)


class ChangeProposer:
    """Proposes changes of the rule set to the register.

    `learn` is called with the chosen versions and the age of the newest version's trial in microseconds, or with
    `UNKNOWN_AGE`.
    """

    def __init__(
        self,
        fleet: Fleet,
        tracker: VersionTracker,
        proposer: Proposer,
        dissemination: Dissemination,
        learn: LearnVersions,
    ):
        self._fleet = fleet
        self._tracker = tracker
        self._proposer = proposer
        self._dissemination = dissemination
        self._learn = learn
        self._ending_trial = False
        # start of the wait for the local acceptor's value to be learned, or time of the last read; 0: not waiting
        self._unlearned_since = 0
        self._last_value: bytes | None = None  # the local acceptor's value as last seen
        self._accepted_number = 0  # the number of the newest version in that value

    def propose(self, request: EditRequest, done: Callable[[Outcome], None]) -> None:
        """Propose a change, and call `done` with the outcome.

        `done` gets the version as `answer`, `refused` with the reason of a rejection or of a missing majority, or
        `unknown` if the change may have been made. If gossip shows newer versions, they are fetched meanwhile.
        """
        change = _ProposedChange(self._fleet, self._tracker, self._learn, request, done)
        published = max((status.newest for status in gossiped_statuses(self._fleet).values()), default=0)
        if published > self._tracker.rule_set.newest_number:
            self._dissemination.fetch_published()
        self._proposer.change(change.compute_value, change.complete, CHANGE_TIMEOUT)

    def end_trial(self, request: EditRequest) -> None:
        """Propose the end of a trial, unless such a proposal is already in progress."""

        def complete(outcome: Outcome) -> None:
            self._ending_trial = False
            if outcome.kind == "done":
                log.warning("fleet: the trial of rule version %d was ended: %s", request.base_version, request.reason)
                self._fleet.add_count("rules_lapsed", 1)

        if not self._ending_trial:
            self._ending_trial = True
            self.propose(msgspec.structs.replace(request, created_at=int(time.time())), complete)

    def learn_accepted(self, acceptor: AcceptorShell) -> None:
        """Find out whether the value that the local acceptor has accepted was chosen; called periodically.

        If that value has a version that this gateway has not learned for `UNLEARNED_DELAY`, the register is read, and
        again after each further delay. This is needed if a proposer stopped after it sent Accept: the value may have
        been chosen without any gateway knowing it.
        """
        now = self._fleet.clock.now()
        self._observe(acceptor.state.value if acceptor.state.voting else None)
        if self._accepted_number <= self._tracker.rule_set.newest_number:
            self._unlearned_since = 0
        elif not self._unlearned_since:
            self._unlearned_since = now
        elif now - self._unlearned_since > UNLEARNED_DELAY:
            self._unlearned_since = now
            self._proposer.read(self._on_read, CHANGE_TIMEOUT)

    def _observe(self, value: bytes | None) -> None:
        if value is self._last_value:
            return
        self._last_value = value
        self._unlearned_since = 0
        try:
            self._accepted_number = versions.decode_rule_set(value).newest_number
        except msgspec.MsgspecError as error:  # damaged, or only a newer program can decode it: left to other gateways
            log.error("fleet: the local acceptor's value can't be decoded, so it is not learned: %s", error)
            self._accepted_number = 0

    def _on_read(self, outcome: Outcome) -> None:
        if outcome.kind == "done" and outcome.value is not None:
            self._learn(versions.decode_rule_set(outcome.value).versions, UNKNOWN_AGE)
