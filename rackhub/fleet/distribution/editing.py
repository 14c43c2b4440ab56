"""Converts an edit or undo of the rule set into changed keys and checks it for conflicts. Pure."""

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from rackhub.fleet.distribution.decisions import Edit, EditRejected, InvalidEdit, check_edit
from rackhub.fleet.distribution.history import History
from rackhub.fleet.distribution.messages import Change, Revision
from rackhub.fleet.distribution.rules import PREFIX, Values, assemble, difference, flatten, section_of

KeyChanges = Mapping[str, bytes | None]

SHOWN_CHANGES = 3  # number of conflicting changes named in a rejection
NEWEST = -1  # stands for the newest revision in a call


class EditRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An edit or undo of the rule set, based on the revision that the editor saw (`base_revision`).

    The sections of an edit replace the current ones; None removes a section. An undo restores the keys changed after
    `target_revision`, up to `base_revision`, to their values at `target_revision`.
    """

    kind: str  # "edit" or "undo"
    author: str
    reason: str
    id: str
    base_revision: Revision
    sections: Mapping[str, Any] = {}
    target_revision: Revision = NEWEST


def plan(request: EditRequest, current: Values, history: History) -> dict[str, bytes | None]:
    """Return the changed keys. Raises `EditRejected`, `RuleKeyError` or `RevisionNotRetained`."""
    _check_texts(request)
    if request.base_revision > history.newest:
        raise EditRejected(f"there is no revision {request.base_revision} yet: the newest is {history.newest}")
    rule_values = {key: value for key, value in current.items() if key.startswith(PREFIX)}
    changed = _plan_edit(request, rule_values) if request.kind == "edit" else _plan_undo(request, history)
    changed = {key: value for key, value in changed.items() if rule_values.get(key) != value}
    if not changed:
        raise EditRejected(f"it changes nothing: revision {history.newest} has the same values")
    check_edit(Edit(request.id, changed, request.author, request.reason))
    return changed


def check_conflicts(request: EditRequest, changed: KeyChanges, since: Iterable[Change]) -> None:
    """Raise `EditRejected` if a change after `base_revision` overlaps with the request.

    An edit, which replaces whole sections, overlaps with changes of the same sections; an undo with changes of the same
    keys.
    """
    conflicting = [
        change for change in since if change.revision > request.base_revision and _overlaps(request, changed, change)
    ]
    if conflicting:
        conflicts = "; ".join(
            f"revision {change.revision} by {change.author} ({change.reason})"
            for change in conflicting[-SHOWN_CHANGES:]
        )
        raise EditRejected(
            f"{request.author}'s {request.kind} ({request.reason}) builds on revision {request.base_revision}; "
            f"since then there is {conflicts}"
        )


def _check_texts(request: EditRequest) -> None:
    for name, text in (("author", request.author), ("reason", request.reason), ("id", request.id)):
        if not text:
            raise InvalidEdit("", f"{name}: {text!r} is empty")


def _plan_edit(request: EditRequest, values: Values) -> KeyChanges:
    content = {**assemble(values), **request.sections}
    wanted = {name: section for name, section in content.items() if section is not None}
    return difference(values, flatten(wanted, values))


def _plan_undo(request: EditRequest, history: History) -> KeyChanges:
    to = request.target_revision if request.target_revision != NEWEST else request.base_revision - 1
    if not 0 <= to < request.base_revision:
        raise EditRejected(f"to: {to} is not between 0 and {request.base_revision - 1}")
    undone = [record for record in history.since(to) if record.change.revision <= request.base_revision]
    changed: dict[str, bytes | None] = {}
    for record in reversed(undone):
        changed |= record.previous_values
    return {key: value for key, value in changed.items() if key.startswith(PREFIX)}


def _overlaps(request: EditRequest, changed: KeyChanges, change: Change) -> bool:
    keys = {entry.key for entry in change.entries}
    if request.kind != "edit":
        return bool(keys & set(changed))
    changed_sections = {section_of(key) for key in keys if key.startswith(PREFIX)}
    return bool(changed_sections & set(request.sections))
