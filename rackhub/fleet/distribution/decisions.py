"""The value of the register that decides changes: the newest ones, until a majority of the voters has them.

A change is decided when the register takes a `Tail` with it. The register's value has a bound, so changes leave the
tail once a majority of voters has applied them; a voter that lacks them gets them from another one. All here is pure:
the register's proposer may call it several times.
"""

from collections.abc import Iterable
from typing import NoReturn

import msgspec

from rackhub.fleet.distribution.limits import CHANGE_BYTES, CHANGE_ENTRIES, MAX_KEY_BYTES, VALUE_BYTES
from rackhub.fleet.distribution.messages import Change, Entry, LogId, Revision
from rackhub.fleet.register.messages import MAX_VALUE_BYTES

ID_LETTERS = 64  # most letters of an edit's id and author
REASON_LETTERS = 200
REMEMBERED_EDITS = 256  # ids that are known after their changes have left the tail


class AppliedEdit(msgspec.Struct, frozen=True, array_like=True):
    """An edit whose change has left the tail, so that it is known when it comes again."""

    id: str
    revision: Revision


class Tail(msgspec.Struct, frozen=True, array_like=True):
    """The changes after revision `settled`, none left out. `applied`: the last edits before them."""

    log: LogId
    settled: Revision = 0
    changes: tuple[Change, ...] = ()
    applied: tuple[AppliedEdit, ...] = ()

    @property
    def newest(self) -> Revision:
        """The revision of the last change."""
        return self.settled + len(self.changes)


class Edit(msgspec.Struct, frozen=True):
    """What an editor asks for: keys to set, or to delete where the value is None. `id` is drawn once and kept when the
    edit is tried again. `expected_revision`: refuse it where another change came before."""

    id: str
    values: dict[str, bytes | None]
    author: str = ""
    reason: str = ""
    expected_revision: Revision | None = None


class EditRejected(Exception):
    """The edit is not taken, and certainly not done."""


class InvalidEdit(EditRejected):
    """The edit itself can't be taken. `key`: the one at fault, empty where it is the whole."""

    def __init__(self, key: str, why: str) -> None:
        super().__init__(f"key {key!r}: {why}" if key else why)
        self.key = key


class RevisionMismatch(EditRejected):
    """Another change has come before."""

    def __init__(self, expected: Revision, newest: Revision) -> None:
        super().__init__(f"the newest revision is {newest}, the edit expects {expected}")
        self.expected, self.newest = expected, newest


class TailFull(EditRejected):
    """Too many changes wait for a majority of the voters to apply them."""

    def __init__(self, size: int, waiting: int) -> None:
        super().__init__(
            f"{waiting} changes wait for a majority of the voters; with this one the register would hold {size} bytes, "
            f"more than {MAX_VALUE_BYTES}"
        )
        self.size, self.waiting = size, waiting


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Tail).decode


def encode_tail(tail: Tail) -> bytes:
    """The register's value that holds the tail."""
    return _encode(tail)


def decode_tail(value: bytes) -> Tail:
    """Raises `msgspec.MsgspecError` for what is no tail."""
    tail = _decode(value)
    for offset, change in enumerate(tail.changes, 1):
        if change.revision != tail.settled + offset:
            raise msgspec.ValidationError(f"change {offset} after {tail.settled} has revision {change.revision}")
    return tail


def decided_revision(tail: Tail, edit_id: str) -> Revision | None:
    """The revision under which that edit was decided, as far as it is remembered."""
    decided = {change.id: change.revision for change in tail.changes}
    applied = {edit.id: edit.revision for edit in tail.applied}
    return decided.get(edit_id, applied.get(edit_id))


def append_edit(tail: Tail, edit: Edit, replicated: Revision) -> Tail:
    """The tail with the edit as its newest change; the same tail where it was decided before. `replicated`: a majority
    of the voters has applied the changes up to it. Raises `EditRejected`."""
    if decided_revision(tail, edit.id) is not None:
        return tail
    check_edit(edit)
    if edit.expected_revision not in (None, tail.newest):
        raise RevisionMismatch(edit.expected_revision or 0, tail.newest)
    revision = tail.newest + 1
    entries = tuple(Entry(key, value, revision) for key, value in edit.values.items())
    change = Change(revision, entries, edit.id, edit.author, edit.reason)
    shorter = trim(tail, replicated)
    longer = msgspec.structs.replace(shorter, changes=(*shorter.changes, change))
    size = len(_encode(longer))
    if size > MAX_VALUE_BYTES:
        raise TailFull(size, len(shorter.changes))
    return longer


def trim(tail: Tail, replicated: Revision) -> Tail:
    """The tail without the changes up to `replicated`."""
    settled = min(max(replicated, tail.settled), tail.newest)
    gone, left = tail.changes[: settled - tail.settled], tail.changes[settled - tail.settled :]
    applied = (*tail.applied, *(AppliedEdit(change.id, change.revision) for change in gone))
    return Tail(tail.log, settled, left, applied[-REMEMBERED_EDITS:])


def check_edit(edit: Edit) -> None:
    """Raises `InvalidEdit` where something is over its bound."""
    if not 0 < len(edit.id) <= ID_LETTERS or len(edit.author) > ID_LETTERS or len(edit.reason) > REASON_LETTERS:
        _refuse(f"id and author have at most {ID_LETTERS} letters, a reason {REASON_LETTERS}; an id must be there")
    if not 0 < len(edit.values) <= CHANGE_ENTRIES:
        _refuse(f"an edit has 1 to {CHANGE_ENTRIES} keys, not {len(edit.values)}")
    size = sum(_entry_bytes(key, value) for key, value in edit.values.items())
    if size > CHANGE_BYTES:
        largest = max(edit.values, key=lambda key: len(edit.values[key] or b""))
        raise InvalidEdit(largest, f"it is the largest of an edit of {size} bytes, more than {CHANGE_BYTES}")


def _entry_bytes(key: str, value: bytes | None) -> int:
    key_bytes = _key_bytes(key)
    if not 0 < key_bytes <= MAX_KEY_BYTES:
        raise InvalidEdit(key, f"a key has 1 to {MAX_KEY_BYTES} bytes, not {key_bytes}")
    value_bytes = len(value) if value is not None else 0
    if value_bytes > VALUE_BYTES:
        raise InvalidEdit(key, f"its value has {value_bytes} bytes, more than {VALUE_BYTES}")
    return key_bytes + value_bytes


def _key_bytes(key: str) -> int:
    try:
        return len(key.encode())
    except UnicodeEncodeError:
        raise InvalidEdit(key, "it is not valid text") from None


def _refuse(why: str) -> NoReturn:
    raise InvalidEdit("", why)


def majority_revision(applied: Iterable[Revision], voters: int) -> Revision:
    """The newest revision that a majority of so many voters has applied; `applied` of those that are known."""
    newest_first = sorted(applied, reverse=True)
    needed = voters // 2 + 1
    return newest_first[needed - 1] if len(newest_first) >= needed else 0
