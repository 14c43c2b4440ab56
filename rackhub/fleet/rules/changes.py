"""Changes of the rule set in the register: an editor's, the end of a trial, and one whose outcome is not known."""

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
UNSETTLED_DELAY = 1_000_000  # microseconds for which an acceptor may have an accepted value that is not known as chosen


class _Change:
    """One change: what the register calls with its value, and then with the outcome."""

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
        """Return the register's next value, and the answer that the outcome is to carry."""
        try:
            rule_set = self._current(value)
            changed, made = versions.apply(rule_set, self._request)
        except ChangeRejectedError as rejection:
            return value, rejection
        if changed == rule_set:  # an earlier attempt made it: its trial's age is known only if this change proposed it
            return value, made
        self._proposed = True
        return encode(changed), made

    def _current(self, value: bytes | None) -> RuleSet:
        local = self._tracker.rule_set
        # a register that was never written, or lost with the acceptors' disks, continues from the local rule set
        rule_set = versions.decode_rule_set(value) if value is not None else local
        if rule_set.newest_number < local.newest_number:
            raise ChangeRejectedError(
                f"the keepers hold version {rule_set.newest_number}, and this gateway {local.newest_number}: they "
                "were put back; docs/operators/rules.md says what to do"
            )
        if rule_set.format > FORMAT_VERSION:
            raise ChangeRejectedError(
                f"the book was written by a later program (format {rule_set.format}, here {FORMAT_VERSION}): "
                "edit it at a gateway that runs that one"
            )
        return rule_set

    def complete(self, outcome: Outcome) -> None:
        """Learn what was chosen, then report the outcome."""
        if outcome.kind == "done" and outcome.value is not None:
            chosen = versions.decode_rule_set(outcome.value)
            made = outcome.answer
            made_here = self._proposed and isinstance(made, Version) and made.number == chosen.newest_number
            age = self._fleet.clock.now() - self._started_at if made_here else UNKNOWN_AGE
            self._learn(chosen.versions, age)
        if outcome.kind == "done" and isinstance(outcome.answer, ChangeRejectedError):
            outcome = Outcome("refused", reason=str(outcome.answer))
        self._done(outcome)


class ChangeCoordinator:
    """Proposes changes to the register.

    `learn` gets the chosen versions and the age of the newest one's trial in microseconds, or `UNKNOWN_AGE`.
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
        self._unsettled_since = 0  # since when the local acceptor has a value that is not known as chosen; 0: it hasn't
        self._last_value: bytes | None = None
        self._accepted_number = 0  # the newest version of the local acceptor's value

    def propose(self, request: EditRequest, done: Callable[[Outcome], None]) -> None:
        """Propose a change; `done` gets the version as the answer, or the text of the rejection as `reason`."""
        change = _Change(self._fleet, self._tracker, self._learn, request, done)
        published = max((status.newest for status in gossiped_statuses(self._fleet).values()), default=0)
        if published > self._tracker.rule_set.newest_number:
            self._dissemination.fetch_published()
        self._proposer.change(change.propose, change.complete, CHANGE_TIMEOUT)

    def end_trial(self, request: EditRequest) -> None:
        """Propose the end of a trial, unless such a proposal is in flight already."""

        def complete(outcome: Outcome) -> None:
            self._ending_trial = False
            if outcome.kind == "done":
                log.warning("fleet: rule version %d is undone: %s", request.base_version, request.reason)
                self._fleet.add_count("rules_lapsed", 1)

        if not self._ending_trial:
            self._ending_trial = True
            self.propose(msgspec.structs.replace(request, created_at=int(time.time())), complete)

    def settle(self, acceptor: AcceptorShell) -> None:
        """Read the register where the local acceptor's value has not become known as chosen for `UNSETTLED_DELAY`.

        The proposer may have stopped between accept and answer, with the value chosen and nobody aware of it.
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
        except msgspec.MsgspecError as error:  # written by a later program: left to gateways that run it
            log.error("fleet: the register's value can't be read: %s", error)
            self._accepted_number = 0

    def _on_read(self, outcome: Outcome) -> None:
        if outcome.kind == "done" and outcome.value is not None:
            self._learn(versions.decode_rule_set(outcome.value).versions, UNKNOWN_AGE)
