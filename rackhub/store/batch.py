"""The parts of a commit: changes of keys, and the conditions under which they are applied."""

from typing import Literal

import msgspec

from rackhub.store.errors import BadBatch
from rackhub.store.records import KeyValue

MAX_KEY_BYTES = 65_535
_TARGETS = ("value", "version", "create_revision", "mod_revision", "lease")


class Put(msgspec.Struct, frozen=True, gc=False):
    """Set a key; `lease` 0: without a lease."""

    key: bytes
    value: bytes
    lease: int = 0


class Delete(msgspec.Struct, frozen=True, gc=False):
    """Delete the keys from `key` to before `end`. `end` None: all keys from `key` on; `end` equal to `key`: that key
    only.
    """

    key: bytes
    end: bytes | None


class Condition(msgspec.Struct, frozen=True):
    """A condition on one key before the commit. A missing key has the value None, and zero in all other fields."""

    key: bytes
    target: Literal["value", "version", "create_revision", "mod_revision", "lease"]
    compare: Literal["=", "!=", "<", ">"]
    operand: bytes | int | None

    def __post_init__(self) -> None:
        fits = (
            self.operand is None or isinstance(self.operand, bytes)
            if self.target == "value"
            else isinstance(self.operand, int)
        )
        if self.target not in _TARGETS or self.compare not in ("=", "!=", "<", ">") or not fits:
            raise BadBatch(
                f"condition on {self.key!r}: {self.target} {self.compare} {self.operand!r} is not a valid comparison"
            )
        if self.operand is None and self.compare in "<>":
            raise BadBatch(f"condition on {self.key!r}: None can only be compared with = and !=")

    def is_met_by(self, found: KeyValue | None) -> bool:
        """Return whether `found`, the current version of the key or None, meets the condition."""
        actual = getattr(found, self.target) if found is not None else None if self.target == "value" else 0
        if self.compare == "=":
            return actual == self.operand
        if self.compare == "!=":
            return actual != self.operand
        if actual is None:
            return False
        return actual < self.operand if self.compare == "<" else actual > self.operand  # type: ignore[operator]


class Batch:
    """Changes that are applied atomically.

    A key may be changed once. Putting a key inside a range that the same batch deletes is rejected too, as in etcd.
    `size`: approximate size in bytes.
    """

    __slots__ = ("changes", "size")

    def __init__(self) -> None:
        self.changes: list[Put | Delete] = []
        self.size = 0

    def put(self, key: bytes, value: bytes, lease: int = 0) -> "Batch":
        """Set `key`; with a lease it is deleted when the lease ends. Raises `BadBatch` for an invalid key or value."""
        if type(key) is not bytes or type(value) is not bytes:
            raise BadBatch(f"put of {key!r}: key and value must be bytes")
        if not 0 < len(key) <= MAX_KEY_BYTES:
            raise BadBatch(f"put of {key[:40]!r}: the key has {len(key)} bytes, allowed are 1 to {MAX_KEY_BYTES}")
        self.changes.append(Put(key, value, lease))
        self.size += len(key) + len(value) + 32
        return self

    def delete(self, key: bytes) -> "Batch":
        """Delete one key, if it exists."""
        self.changes.append(Delete(key, key))
        self.size += len(key) + 32
        return self

    def delete_range(self, start: bytes, end: bytes | None) -> "Batch":
        """Delete all keys from `start` to before `end`; None: to the last key."""
        if end is None or end > start:
            self.changes.append(Delete(start, end))
            self.size += len(start) + 32
        return self
