"""Proposes changes of the rule set to the register, and finds out the outcome of changes that were left unsettled."""

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
UNSETTLED_DELAY = 1_000_000  # microseconds until the register is read for an accepted value not known as chosen


class _ProposedChange:
    """One change; the proposer calls `propose` with the register's value and then `complete` with the outcome."""

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
        self._proposed = False

    def propose(self, value: bytes | None) -> tuple[bytes | None, Version | ChangeRejectedError]:
        """Return the register's new value, and the answer for the outcome: the version or the rejection."""
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
                f"the keepers have version {rule_set.newest_number}, and this gateway {local.newest_number}: the "
                "keepers' disks were restored from an older state; docs/operators/rules.md says what to do"
            )
        if rule_set.format > FORMAT_VERSION:
            raise ChangeRejectedError(
                f"the rules were written by a newer program (format {rule_set.format}, this gateway has "
                f"{FORMAT_VERSION}): edit them at a gateway that runs the newer program"
            )
        return rule_set

    def complete(self, outcome: Outcome) -> None:
        """Learn the chosen versions, then report the outcome.

        The age of a new trial is known only if this change proposed its version.
        """
        if outcome.kind == "done" and outcome.value is not None:
            chosen = versions.decode_rule_set(outcome.value)
            answer = outcome.answer
            is_own = self._proposed and isinstance(answer, Version) and answer.number == chosen.newest_number
            age = self._fleet.clock.now() - self._started_at if is_own else UNKNOWN_AGE
            self._learn(chosen.versions, age)
        if outcome.kind == "done" and isinstance(outcome.answer, ChangeRejectedError):
            outcome = Outcome("refused", reason=str(outcome.answer))
        self._done(outcome)


class ChangeCoordinator:
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
        # when the local acceptor's value was first seen to be newer than the versions known as chosen; 0: it is not
        self._unsettled_since = 0
        self._last_value: bytes | None = None  # the local acceptor's value as last seen
        self._accepted_number = 0  # the number of the newest version in that value

    def propose(self, request: EditRequest, done: Callable[[Outcome], None]) -> None:
        """Propose a change; the outcome has the version as `answer`, or the rejection's message as `reason`."""
        change = _ProposedChange(self._fleet, self._tracker, self._learn, request, done)
        published = max((status.newest for status in gossiped_statuses(self._fleet).values()), default=0)
        if published > self._tracker.rule_set.newest_number:
            self._dissemination.fetch_published()
        self._proposer.change(change.propose, change.complete, CHANGE_TIMEOUT)

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

    def settle(self, acceptor: AcceptorShell) -> None:
        """Read the register if a value of the local acceptor has not become known as chosen for `UNSETTLED_DELAY`.

        The proposer may have stopped after its Accept was sent, so that the value was chosen without any gateway
        learning of it. The read completes the change if too few acceptors had accepted it.
        """
        now = self._fleet.clock.now()
        self._observe(acceptor.state.value if acceptor.state.voting else None)
        if self._accepted_number <= self._tracker.rule_set.newest_number:
            self._unsettled_since = 0
        elif not self._unsettled_since:
            self._unsettled_since = now
        elif now - self._unsettled_since > UNSETTLED_DELAY:
            self._unsettled_since = now
            self._proposer.read(self._on_read, CHANGE_TIMEOUT)

    def _observe(self, value: bytes | None) -> None:
        if value is self._last_value:
            return
        self._last_value = value
        self._unsettled_since = 0
        try:
            self._accepted_number = versions.decode_rule_set(value).newest_number
        except msgspec.MsgspecError as error:  # written by a newer program: left to gateways that run that program
            log.error("fleet: the register's value can't be decoded: %s", error)
            self._accepted_number = 0

    def _on_read(self, outcome: Outcome) -> None:
        if outcome.kind == "done" and outcome.value is not None:
            self._learn(versions.decode_rule_set(outcome.value).versions, UNKNOWN_AGE)
