"""A queue in memory for writes that a failing disk can't accept yet. No I/O."""

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

MAX_MERGED_BYTES = 4 << 20  # limit up to which writes are merged; well below the size of a batch that the store accepts

Acknowledge = Callable[[], None]


class DeferredWrite(NamedTuple):
    """One write, or several consecutive writes merged. `changes` has the last value of each key; None deletes it."""

    changes: dict[bytes, bytes | None]
    acknowledgements: list[Acknowledge]

    def acknowledge(self) -> None:
        """Call the acknowledgements of all merged writes, in the order of the writes."""
        for acknowledge in self.acknowledgements:
            acknowledge()


class DeferredWrites:
    """The queued writes in order, readable by key.

    Consecutive writes are merged, so that only the newest value of a frequently written key is queued.
    """

    def __init__(self) -> None:
        self._writes: deque[DeferredWrite] = deque()

    def __bool__(self) -> bool:
        """Return whether any write is queued."""
        return bool(self._writes)

    def __contains__(self, key: bytes) -> bool:
        """Return whether a write of `key` is queued."""
        return any(key in write.changes for write in self._writes)

    def __getitem__(self, key: bytes) -> bytes | None:
        """Return the newest queued value of `key`; None deletes it. Raises `KeyError` if no write of it is queued."""
        for write in reversed(self._writes):
            if key in write.changes:
                return write.changes[key]
        raise KeyError(key)

    @property
    def size(self) -> int:
        """The size of all queued keys and values in bytes."""
        return sum(_size(write.changes) for write in self._writes)

    def add(self, changes: Mapping[bytes, bytes | None], acknowledge: Acknowledge) -> None:
        """Append a write to the queue."""
        newest = self._writes[-1] if self._writes else None
        if newest is None or _size(newest.changes) + _size(changes) > MAX_MERGED_BYTES:
            self._writes.append(DeferredWrite(dict(changes), [acknowledge]))
        else:
            newest.changes.update(changes)
            newest.acknowledgements.append(acknowledge)

    def take_first(self) -> DeferredWrite:
        """Remove the oldest write and return it. Raises `IndexError` if none is queued."""
        return self._writes.popleft()

    def return_first(self, write: DeferredWrite) -> None:
        """Return a write taken by `take_first` to the head of the queue, because the disk still fails."""
        self._writes.appendleft(write)

    def merged_into(self, stored: Mapping[bytes, bytes], prefix: bytes) -> Iterator[tuple[bytes, bytes]]:
        """Yield the keys with `prefix` and their values in key order, as they will be after all queued writes.

        `stored` contains the stored entries with that prefix.
        """
        merged: dict[bytes, bytes | None] = dict(stored)
        for write in self._writes:
            merged.update({key: value for key, value in write.changes.items() if key.startswith(prefix)})
        for key in sorted(merged):
            value = merged[key]
            if value is not None:
                yield key, value


def _size(changes: Mapping[bytes, bytes | None]) -> int:
    return sum(len(key) + len(value or b"") for key, value in changes.items())
