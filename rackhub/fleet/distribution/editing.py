"""What an edit or undo of the rule book comes to in keys, and whether others changed the same since. Pure."""

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from rackhub.fleet.distribution.decisions import Edit, EditRejected, InvalidEdit, check_edit
from rackhub.fleet.distribution.history import History
from rackhub.fleet.distribution.messages import Change, Revision
from rackhub.fleet.distribution.rules import PREFIX, Values, assemble, difference, flatten, part_of

Changed = Mapping[str, bytes | None]

SHOWN_CHANGES = 3  # named in a refusal
NEWEST = -1  # as a revision that a call names


class EditRequest(msgspec.Struct, frozen=True, kw_only=True):
    """`on`: the revision that the editor saw. Parts of an edit take the place of those that stand, None takes one out;
    an undo brings back what the keys that changed after `to` were then, up to `on`."""

    kind: str  # "edit" or "undo"
    author: str
    reason: str
    id: str
    base_revision: Revision
    sections: Mapping[str, Any] = {}
    target_revision: Revision = NEWEST


def plan(request: EditRequest, standing: Values, history: History) -> dict[str, bytes | None]:
    """The keys that change, within bounds. Raises `EditRejected`, `RuleKeyError`, `RevisionNotRetained`."""
    _check_texts(request)
    if request.base_revision > history.newest:
        raise EditRejected(f"there is no revision {request.base_revision} yet: the newest is {history.newest}")
    rule_values = {key: value for key, value in standing.items() if key.startswith(PREFIX)}
    changed = _plan_edit(request, rule_values) if request.kind == "edit" else _plan_undo(request, history)
    changed = {key: value for key, value in changed.items() if rule_values.get(key) != value}
    if not changed:
        raise EditRejected(f"it changes nothing: revision {history.newest} says the same")
    check_edit(Edit(request.id, changed, request.author, request.reason))
    return changed


def check_conflicts(request: EditRequest, changed: Changed, since: Iterable[Change]) -> None:
    """Raises `EditRejected` where one of the changes since the revision that the editor saw is of the same: of the same
    parts for an edit, which replaces them whole, of the same keys for an undo."""
    found = [
        change for change in since if change.revision > request.base_revision and _touches(request, changed, change)
    ]
    if found:
        theirs = "; ".join(
            f"revision {change.revision} by {change.author} ({change.reason})" for change in found[-SHOWN_CHANGES:]
        )
        raise EditRejected(
            f"{request.author}'s {request.kind} ({request.reason}) builds on revision {request.base_revision}; "
            f"since then there is {theirs}"
        )


def _check_texts(request: EditRequest) -> None:
    for name, text in (("author", request.author), ("reason", request.reason), ("id", request.id)):
        if not text:
            raise InvalidEdit("", f"{name}: {text!r} is empty")


def _plan_edit(request: EditRequest, values: Values) -> Changed:
    content = {**assemble(values), **request.sections}
    wanted = {name: part for name, part in content.items() if part is not None}
    return difference(values, flatten(wanted, values))


def _plan_undo(request: EditRequest, history: History) -> Changed:
    to = request.target_revision if request.target_revision != NEWEST else request.base_revision - 1
    if not 0 <= to < request.base_revision:
        raise EditRejected(f"to: {to} is not from 0 to {request.base_revision - 1}")
    undone = [past for past in history.since(to) if past.change.revision <= request.base_revision]
    changed: dict[str, bytes | None] = {}
    for past in reversed(undone):
        changed |= past.before
    return {key: value for key, value in changed.items() if key.startswith(PREFIX)}


def _touches(request: EditRequest, changed: Changed, change: Change) -> bool:
    keys = {entry.key for entry in change.entries}
    if request.kind != "edit":
        return bool(keys & set(changed))
    parts = {part_of(key) for key in keys if key.startswith(PREFIX)}
    return bool(parts & set(request.sections))
