"""An edit at a voter: planned in keys, checked here and by one coordinator of each zone, then decided."""

import secrets
from collections.abc import Callable
from typing import Any

import msgspec

from rackhub.fleet.distribution.applying import RuleKeys
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
from rackhub.fleet.distribution.events import CheckAsked, CheckDone
from rackhub.fleet.distribution.history import History
from rackhub.fleet.distribution.learning import Learner
from rackhub.fleet.distribution.messages import Change, Entry, KeyFault, Revision
from rackhub.fleet.distribution.replication import LOG_BYTES, REGISTER_TIMEOUT, Replication
from rackhub.fleet.register.proposer import Outcome, Proposer

MOST_CHECKS = 16  # edits that are checked at a time


class EditDone(msgspec.Struct, frozen=True):
    """The change is decided, and on this voter's disk. `unasked`: zones that did not answer the check."""

    revision: Revision
    unasked: tuple[str, ...] = ()


class EditFailed(msgspec.Struct, frozen=True):
    """`unknown`: it may have been decided; else nothing is changed. `faulty`: the content itself can't be taken."""

    reason: str
    faulty: bool = False
    unknown: bool = False


Done = Callable[[EditDone | EditFailed], None]


class _Planned(msgspec.Struct, frozen=True):
    request: EditRequest
    changed: dict[str, bytes | None]
    base: Revision  # what it was planned on
    done: Done


class Editor:
    """`ask_zones` hands a `CheckAsked` to the source, whose `CheckDone` comes to `checked`."""

    def __init__(
        self,
        learner: Learner,
        history: History,
        keys: RuleKeys,
        replication: Replication,
        proposer: Proposer,
        ask_zones: Callable[[CheckAsked], None],
    ):
        self._learner = learner
        self._history = history
        self._rule_keys = keys
        self._replication = replication
        self._proposer = proposer
        self._ask_zones = ask_zones
        self._checking: dict[int, _Planned] = {}
        self._last_mark = 0

    def edit(self, request: EditRequest, done: Done) -> None:
        """`done` once. Raises `EditRejected`, `RuleKeyError` and `RevisionNotRetained` where it can't be done."""
        before = self._history.by_id(request.id)
        if before is not None:  # said again
            return self._when_held(_same(request, before.change).revision, (), done)
        changed = plan(request, self._learner.values(), self._history)
        base = self._learner.revision
        check_conflicts(
            request, changed, [past.change for past in self._history.since(min(request.base_revision, base))]
        )
        entries = tuple(Entry(key, value, base + 1) for key, value in changed.items())
        faults = self._rule_keys.check(entries)
        if faults:
            return done(EditFailed(f"this voter can't take it: {_worded(faults)}", faulty=True))
        if len(self._checking) >= MOST_CHECKS:
            return done(EditFailed(f"{MOST_CHECKS} edits are being checked already"))
        self._last_mark += 1
        self._checking[self._last_mark] = _Planned(request, changed, base, done)
        self._ask_zones(CheckAsked(self._last_mark, entries))

    def checked(self, answer: CheckDone) -> None:
        """The zones' coordinators have answered."""
        planned = self._checking.pop(answer.mark, None)
        if planned is None:
            return
        if answer.faults:
            return planned.done(EditFailed(f"a coordinator can't take it: {_worded(answer.faults)}", faulty=True))
        self._decide(planned, answer.silent)

    def _decide(self, planned: _Planned, unasked: tuple[str, ...]) -> None:
        new_log = secrets.token_hex(LOG_BYTES)

        def propose(value: bytes | None) -> tuple[bytes | None, Any]:
            """The register's next value, and the tail or the refusal that it means."""
            tail = decode_tail(value) if value is not None else self._first_tail(new_log)
            try:
                after = self._appended(tail, planned)
            except EditRejected as refused:
                return value, refused
            return (value if after is tail else encode_tail(after)), after

        self._proposer.change(propose, lambda outcome: self._decided(planned, unasked, outcome), REGISTER_TIMEOUT)

    def _first_tail(self, new_log: str) -> Tail:
        """The register was never written, or lost with the voters' disks: what this voter holds goes on."""
        return Tail(self._learner.log or new_log, self._learner.revision)

    def _appended(self, tail: Tail, planned: _Planned) -> Tail:
        request, held = planned.request, self._learner
        if held.log and tail.log != held.log or tail.newest < held.revision:
            raise EditRejected(
                f"the register has revision {tail.newest} of log {tail.log!r}, and this voter {held.revision} of "
                f"{held.log!r}: the voters' disks were lost or put back"
            )
        if decided_revision(tail, request.id) is None:
            if tail.settled > planned.base:
                raise EditRejected(f"this voter is behind: it holds revision {planned.base}; say it again")
            check_conflicts(request, planned.changed, [one for one in tail.changes if one.revision > planned.base])
        edit = Edit(request.id, planned.changed, request.author, request.reason)
        return append_edit(tail, edit, self._replication.replicated_revision())

    def _decided(self, planned: _Planned, unasked: tuple[str, ...], outcome: Outcome) -> None:
        if outcome.kind != "done":
            return planned.done(EditFailed(outcome.reason, unknown=outcome.kind == "unknown"))
        if outcome.value is not None:
            self._replication.learn(decode_tail(outcome.value))
        if isinstance(outcome.answer, EditRejected):
            return planned.done(EditFailed(str(outcome.answer)))
        tail: Tail = outcome.answer
        revision = decided_revision(tail, planned.request.id)
        if revision is None:
            return planned.done(EditFailed("the register does not remember it", unknown=True))
        self._replication.announce(tail)
        self._when_held(revision, unasked, planned.done)

    def _when_held(self, revision: Revision, unasked: tuple[str, ...], done: Done) -> None:
        self._learner.when_synced(revision, lambda: done(EditDone(revision, unasked)))


def _same(request: EditRequest, change: Change) -> Change:
    if (change.author, change.reason) != (request.author, request.reason):
        raise EditRejected(
            f"id {request.id!r} was used by {change.author}: revision {change.revision}, {change.reason}"
        )
    return change


def _worded(faults: tuple[KeyFault, ...]) -> str:
    return "; ".join(f"{fault.key}: {fault.reason}" for fault in faults)
