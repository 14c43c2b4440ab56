"""The register value that decides changes, as pure functions.

A change is decided when the register accepts a `Tail` that contains it. The size of the register value is limited, so a
change is removed from the tail once a majority of the voters has applied it; a voter that missed it fetches it from
another voter. The register's proposer may call these functions several times for one proposal.
"""

from collections.abc import Iterable
from typing import NoReturn

import msgspec

from rackhub.fleet.distribution.limits import MAX_CHANGE_BYTES, MAX_CHANGE_ENTRIES, MAX_ENTRY_VALUE_BYTES, MAX_KEY_BYTES
from rackhub.fleet.distribution.messages import Change, Entry, LogId, Revision
from rackhub.fleet.register.messages import MAX_VALUE_BYTES

MAX_ID_CHARS = 64  # longest id and author of an edit
MAX_REASON_CHARS = 200
MAX_APPLIED_EDITS = 256  # ids of edits that are kept after their changes have left the tail


class AppliedEdit(msgspec.Struct, frozen=True, array_like=True):
    """An edit whose change has left the tail. It is kept so that a repeated request for it is recognized."""

    id: str
    revision: Revision


class Tail(msgspec.Struct, frozen=True, array_like=True):
    """All changes after `compacted_revision`, without gaps, and the latest edits up to it (`applied`)."""

    log: LogId
    compacted_revision: Revision = 0
    changes: tuple[Change, ...] = ()
    applied: tuple[AppliedEdit, ...] = ()

    @property
    def newest(self) -> Revision:
        """The revision of the last change."""
        return self.compacted_revision + len(self.changes)


class Edit(msgspec.Struct, frozen=True):
    """The keys to set, or to delete where the value is None.

    `id` is generated once and reused when the edit is retried. The edit is rejected if `expected_revision` is given and
    is not the newest revision.
    """

    id: str
    values: dict[str, bytes | None]
    author: str = ""
    reason: str = ""
    expected_revision: Revision | None = None


class EditRejected(Exception):
    """The edit was rejected and has changed nothing."""


class InvalidEdit(EditRejected):
    """The edit itself is invalid. `key` is the key at fault, or empty if the fault is in the edit as a whole."""

    def __init__(self, key: str, why: str) -> None:
        super().__init__(f"key {key!r}: {why}" if key else why)
        self.key = key


class RevisionMismatch(EditRejected):
    """The edit expects a revision that is not the newest one."""

    def __init__(self, expected: Revision, newest: Revision) -> None:
        super().__init__(f"the newest revision is {newest}, but the edit expects {expected}")
        self.expected, self.newest = expected, newest


class TailFull(EditRejected):
    """Too many changes are waiting until a majority of the voters has applied them."""

    def __init__(self, size: int, pending: int) -> None:
        super().__init__(
            f"{pending} changes wait for a majority of the voters; with this one the register value would "
            f"have {size} bytes, more than {MAX_VALUE_BYTES}"
        )
        self.size, self.pending = size, pending


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Tail).decode


def encode_tail(tail: Tail) -> bytes:
    """Return the register value for the tail."""
    return _encode(tail)


def decode_tail(value: bytes) -> Tail:
    """Decode a register value. Raises `msgspec.MsgspecError` if it is not a valid tail."""
    tail = _decode(value)
    for offset, change in enumerate(tail.changes, 1):
        if change.revision != tail.compacted_revision + offset:
            raise msgspec.ValidationError(
                f"change {offset} after revision {tail.compacted_revision} has revision {change.revision}"
            )
    return tail


def decided_revision(tail: Tail, edit_id: str) -> Revision | None:
    """Return the revision that decided this edit, or None if it is not known (any more)."""
    decided = {change.id: change.revision for change in tail.changes}
    applied = {edit.id: edit.revision for edit in tail.applied}
    return decided.get(edit_id, applied.get(edit_id))


def append_edit(tail: Tail, edit: Edit, replicated: Revision) -> Tail:
    """Return the tail with the edit as its newest change, or the same tail if the edit is already decided.

    A majority of the voters has applied the changes up to `replicated`; they are removed from the tail. Raises
    `EditRejected`.
    """
    if decided_revision(tail, edit.id) is not None:
        return tail
    check_edit(edit)
    if edit.expected_revision not in (None, tail.newest):
        raise RevisionMismatch(edit.expected_revision or 0, tail.newest)
    revision = tail.newest + 1
    entries = tuple(Entry(key, value, revision) for key, value in edit.values.items())
    change = Change(revision, entries, edit.id, edit.author, edit.reason)
    trimmed = trim(tail, replicated)
    extended = msgspec.structs.replace(trimmed, changes=(*trimmed.changes, change))
    size = len(_encode(extended))
    if size > MAX_VALUE_BYTES:
        raise TailFull(size, len(trimmed.changes))
    return extended


def trim(tail: Tail, replicated: Revision) -> Tail:
    """Return the tail without the changes up to `replicated`."""
    compacted_revision = min(max(replicated, tail.compacted_revision), tail.newest)
    dropped, remaining = (
        tail.changes[: compacted_revision - tail.compacted_revision],
        tail.changes[compacted_revision - tail.compacted_revision :],
    )
    applied = (*tail.applied, *(AppliedEdit(change.id, change.revision) for change in dropped))
    return Tail(tail.log, compacted_revision, remaining, applied[-MAX_APPLIED_EDITS:])


def check_edit(edit: Edit) -> None:
    """Check the limits of an edit. Raises `InvalidEdit`."""
    if not 0 < len(edit.id) <= MAX_ID_CHARS or len(edit.author) > MAX_ID_CHARS or len(edit.reason) > MAX_REASON_CHARS:
        _reject(
            f"id and author have at most {MAX_ID_CHARS} characters, the reason {MAX_REASON_CHARS}; "
            "the id must not be empty"
        )
    if not 0 < len(edit.values) <= MAX_CHANGE_ENTRIES:
        _reject(f"an edit must change 1 to {MAX_CHANGE_ENTRIES} keys, not {len(edit.values)}")
    size = sum(_entry_bytes(key, value) for key, value in edit.values.items())
    if size > MAX_CHANGE_BYTES:
        largest = max(edit.values, key=lambda key: len(edit.values[key] or b""))
        raise InvalidEdit(largest, f"its value is the largest of an edit of {size} bytes, more than {MAX_CHANGE_BYTES}")


def _entry_bytes(key: str, value: bytes | None) -> int:
    key_bytes = _key_bytes(key)
    if not 0 < key_bytes <= MAX_KEY_BYTES:
        raise InvalidEdit(key, f"a key must have 1 to {MAX_KEY_BYTES} bytes, not {key_bytes}")
    value_bytes = len(value) if value is not None else 0
    if value_bytes > MAX_ENTRY_VALUE_BYTES:
        raise InvalidEdit(key, f"its value has {value_bytes} bytes, more than {MAX_ENTRY_VALUE_BYTES}")
    return key_bytes + value_bytes


def _key_bytes(key: str) -> int:
    try:
        return len(key.encode())
    except UnicodeEncodeError:
        raise InvalidEdit(key, "it is not valid Unicode text") from None


def _reject(why: str) -> NoReturn:
    raise InvalidEdit("", why)


def majority_revision(applied: Iterable[Revision], voters: int) -> Revision:
    """Return the newest revision that a majority of `voters` voters has applied.

    `applied` contains the revisions of those voters whose revision is known.
    """
    newest_first = sorted(applied, reverse=True)
    needed = voters // 2 + 1
    return newest_first[needed - 1] if len(newest_first) >= needed else 0
