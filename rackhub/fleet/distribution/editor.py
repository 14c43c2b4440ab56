"""Edits at a voter: converted to changed keys, checked locally and by one coordinator of each zone, then decided."""

import secrets
from collections.abc import Callable
from typing import Any

import msgspec

from rackhub.fleet.distribution.decisions import (
    Edit,
    EditRejected,
    Tail,
    append_edit,
    decided_revision,
    decode_tail,
    encode_tail,
)
from rackhub.fleet.distribution.editing import EditRequest, check_conflicts, plan
from rackhub.fleet.distribution.events import CheckDone, CheckRequested
from rackhub.fleet.distribution.history import History
from rackhub.fleet.distribution.learner import Learner
from rackhub.fleet.distribution.messages import Change, Entry, KeyFault, Revision
from rackhub.fleet.distribution.replication import LOG_ID_BYTES, REGISTER_TIMEOUT, Replication
from rackhub.fleet.distribution.rule_keys import RuleKeys
from rackhub.fleet.register.proposer import Outcome, Proposer

MAX_CONCURRENT_CHECKS = 16  # edits that may be in the check at the same time


class EditDone(msgspec.Struct, frozen=True):
    """The change is decided and on this voter's disk. `unanswered_zones` did not answer the check."""

    revision: Revision
    unanswered_zones: tuple[str, ...] = ()


class EditFailed(msgspec.Struct, frozen=True):
    """The edit failed.

    It has changed nothing, unless `unknown` is set: then it may have been decided. `invalid` says that its content is
    rejected.
    """

    reason: str
    invalid: bool = False
    unknown: bool = False


Done = Callable[[EditDone | EditFailed], None]


class _PlannedEdit(msgspec.Struct, frozen=True):
    request: EditRequest
    changed: dict[str, bytes | None]
    base: Revision  # the revision for which `changed` was computed
    done: Done


class Editor:
    """Runs edits.

    `request_check` passes a `CheckRequested` to the source, whose `CheckDone` must be passed to `checked`.
    """

    def __init__(
        self,
        learner: Learner,
        history: History,
        keys: RuleKeys,
        replication: Replication,
        proposer: Proposer,
        request_check: Callable[[CheckRequested], None],
    ):
        self._learner = learner
        self._history = history
        self._rule_keys = keys
        self._replication = replication
        self._proposer = proposer
        self._request_check = request_check
        self._checking: dict[int, _PlannedEdit] = {}
        self._last_check_id = 0

    def edit(self, request: EditRequest, done: Done) -> None:
        """Start an edit; `done` is called exactly once with its result.

        Raises `EditRejected`, `RuleKeyError` or `RevisionNotRetained` if the edit can't succeed; `done` is not called
        then.
        """
        before = self._history.by_id(request.id)
        if before is not None:  # a repeated request
            return self._answer_when_synced(_check_same_edit(request, before.change).revision, (), done)
        changed = plan(request, self._learner.values(), self._history)
        base = self._learner.revision
        check_conflicts(
            request, changed, [record.change for record in self._history.since(min(request.base_revision, base))]
        )
        entries = tuple(Entry(key, value, base + 1) for key, value in changed.items())
        faults = self._rule_keys.check(entries)
        if faults:
            return done(EditFailed(f"this voter rejects the edit: {_describe(faults)}", invalid=True))
        if len(self._checking) >= MAX_CONCURRENT_CHECKS:
            return done(EditFailed(f"{MAX_CONCURRENT_CHECKS} edits are already being checked, the maximum"))
        self._last_check_id += 1
        self._checking[self._last_check_id] = _PlannedEdit(request, changed, base, done)
        self._request_check(CheckRequested(self._last_check_id, entries))

    def checked(self, answer: CheckDone) -> None:
        """Continue an edit whose check has ended."""
        planned = self._checking.pop(answer.check_id, None)
        if planned is None:
            return
        if answer.faults:
            return planned.done(EditFailed(f"a coordinator rejects the edit: {_describe(answer.faults)}", invalid=True))
        self._decide(planned, answer.unanswered)

    def _decide(self, planned: _PlannedEdit, unanswered_zones: tuple[str, ...]) -> None:
        new_log = secrets.token_hex(LOG_ID_BYTES)

        def propose(value: bytes | None) -> tuple[bytes | None, Any]:
            """Return the register's next value, and the tail that it contains or the reason for a rejection."""
            tail = decode_tail(value) if value is not None else self._first_tail(new_log)
            try:
                after = self._appended(tail, planned)
            except EditRejected as rejected:
                return value, rejected
            return (value if after is tail else encode_tail(after)), after

        self._proposer.change(
            propose, lambda outcome: self._decided(planned, unanswered_zones, outcome), REGISTER_TIMEOUT
        )

    def _first_tail(self, new_log: str) -> Tail:
        """Return the tail for a register that was never written, or was lost with the voters' disks.

        It continues from what this voter has stored.
        """
        return Tail(self._learner.log or new_log, self._learner.revision)

    def _appended(self, tail: Tail, planned: _PlannedEdit) -> Tail:
        request, stored = planned.request, self._learner
        if stored.log and tail.log != stored.log or tail.newest < stored.revision:
            raise EditRejected(
                f"the register has revision {tail.newest} of log {tail.log!r}, and this voter revision "
                f"{stored.revision} of log {stored.log!r}: the voters' disks were lost or restored from a copy"
            )
        if decided_revision(tail, request.id) is None:
            if tail.compacted_revision > planned.base:
                raise EditRejected(f"this voter is behind: it has revision {planned.base}; retry the edit")
            check_conflicts(request, planned.changed, [one for one in tail.changes if one.revision > planned.base])
        edit = Edit(request.id, planned.changed, request.author, request.reason)
        return append_edit(tail, edit, self._replication.replicated_revision())

    def _decided(self, planned: _PlannedEdit, unanswered_zones: tuple[str, ...], outcome: Outcome) -> None:
        if outcome.kind != "done":
            return planned.done(EditFailed(outcome.reason, unknown=outcome.kind == "unknown"))
        if outcome.value is not None:
            self._replication.learn(decode_tail(outcome.value))
        if isinstance(outcome.answer, EditRejected):
            return planned.done(EditFailed(str(outcome.answer)))
        tail: Tail = outcome.answer
        revision = decided_revision(tail, planned.request.id)
        if revision is None:
            return planned.done(EditFailed("the register no longer knows the edit", unknown=True))
        self._replication.announce(tail)
        self._answer_when_synced(revision, unanswered_zones, planned.done)

    def _answer_when_synced(self, revision: Revision, unanswered_zones: tuple[str, ...], done: Done) -> None:
        self._learner.when_synced(revision, lambda: done(EditDone(revision, unanswered_zones)))


def _check_same_edit(request: EditRequest, change: Change) -> Change:
    if (change.author, change.reason) != (request.author, request.reason):
        raise EditRejected(
            f"id {request.id!r} was used by {change.author}: revision {change.revision}, {change.reason}"
        )
    return change


def _describe(faults: tuple[KeyFault, ...]) -> str:
    return "; ".join(f"{fault.key}: {fault.reason}" for fault in faults)
