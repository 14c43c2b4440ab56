"""Writes that wait in memory for a disk that fails, in their order. Pure."""

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

MAX_MERGED_BYTES = 4 << 20  # writes are merged up to this size, well below what a store takes in one batch

Acknowledge = Callable[[], None]


class DeferredWrite(NamedTuple):
    """One or several consecutive writes, merged: the value written last of each key; None deletes it."""

    changes: dict[bytes, bytes | None]
    acknowledgements: list[Acknowledge]

    def acknowledge(self) -> None:
        """Tell those who wait that it is durable, in the order of their writes."""
        for acknowledge in self.acknowledgements:
            acknowledge()


class DeferredWrites:
    """The writes that wait, and what they change about what is stored.

    Consecutive writes are merged, so that a key that is written often waits with its newest value alone.
    """

    def __init__(self) -> None:
        self._writes: deque[DeferredWrite] = deque()

    def __bool__(self) -> bool:
        """Whether any write waits."""
        return bool(self._writes)

    def __contains__(self, key: bytes) -> bool:
        """Whether a write of that key waits."""
        return any(key in write.changes for write in self._writes)

    def __getitem__(self, key: bytes) -> bytes | None:
        """The newest value that waits for that key; None where it is deleted. Raises `KeyError` where none waits."""
        for write in reversed(self._writes):
            if key in write.changes:
                return write.changes[key]
        raise KeyError(key)

    @property
    def size(self) -> int:
        """Bytes of all keys and values that wait."""
        return sum(_size(write.changes) for write in self._writes)

    def add(self, changes: Mapping[bytes, bytes | None], acknowledge: Acknowledge) -> None:
        """Put a write behind all others."""
        newest = self._writes[-1] if self._writes else None
        if newest is None or _size(newest.changes) + _size(changes) > MAX_MERGED_BYTES:
            self._writes.append(DeferredWrite(dict(changes), [acknowledge]))
        else:
            newest.changes.update(changes)
            newest.acknowledgements.append(acknowledge)

    def take_first(self) -> DeferredWrite:
        """Remove the write that is next, and return it. Raises `IndexError` where none waits."""
        return self._writes.popleft()

    def put_back(self, write: DeferredWrite) -> None:
        """Put the write that was taken before all others: the disk still fails."""
        self._writes.appendleft(write)

    def merged_into(self, stored: Mapping[bytes, bytes], prefix: bytes) -> Iterator[tuple[bytes, bytes]]:
        """The keys with that prefix and their values, as they will be once all is written, in order of key."""
        merged: dict[bytes, bytes | None] = dict(stored)
        for write in self._writes:
            merged.update({key: value for key, value in write.changes.items() if key.startswith(prefix)})
        for key in sorted(merged):
            value = merged[key]
            if value is not None:
                yield key, value


def _size(changes: Mapping[bytes, bytes | None]) -> int:
    return sum(len(key) + len(value or b"") for key, value in changes.items())
