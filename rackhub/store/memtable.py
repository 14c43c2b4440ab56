"""The memtable: the latest writes, in memory until they are written to a table. No I/O.

A key with a single version maps to the entry itself, others to a list. Most keys have one version, and a list for each
would be one more object for the garbage collector to traverse.
"""

from bisect import bisect_left
from collections.abc import Iterator

from sortedcontainers import SortedList

from rackhub.store.records import DATA, Entry

KEYS_PER_CHUNK = 256  # keys that a scan copies from the sorted list at once, so that writes may happen in between
UNSORTED_LIMIT = 512  # new keys that are collected before they are sorted in; many more would block the event loop


class Memtable:
    """All versions, oldest first, of the keys in the records from `first_record` to `last_record`."""

    def __init__(self, first_record: int):
        self.first_record, self.last_record, self.revision, self.bytes, self.count = (
            first_record,
            first_record - 1,
            0,
            0,
            0,
        )
        self._versions: dict[bytes, Entry | list[Entry]] = {}
        self._readers = 0
        self._sorted: SortedList = SortedList()
        self._unsorted: list[bytes] = []  # keys that are not in `_sorted` yet

    def add(self, number: int, revision: int, entries: list[Entry], size: int) -> None:
        """Add one record of about `size` bytes. Of internal keys only the latest version is kept."""
        versions = self._versions
        for entry in entries:
            key = entry.key
            existing = versions.get(key)
            if existing is None:
                versions[key] = entry
                self._unsorted.append(key)
            elif key[:1] != DATA:
                versions[key] = entry
            elif type(existing) is list:
                existing.append(entry)
            else:
                versions[key] = [existing, entry]  # type: ignore[list-item]
        if len(self._unsorted) >= UNSORTED_LIMIT:
            self._sort()
        self.bytes += size
        self.count += len(entries)
        self.last_record, self.revision = number, revision

    def _sort(self) -> None:
        for key in self._unsorted:
            self._sorted.add(key)
        self._unsorted.clear()

    def find(self, key: bytes, at: int) -> Entry | None:
        """Return the newest version up to `at`, or None."""
        existing = self._versions.get(key)
        if type(existing) is not list:
            return existing if existing is not None and existing.sequence <= at else None  # type: ignore[union-attr,return-value]
        if existing[-1].sequence <= at:
            return existing[-1]
        i = bisect_left(existing, at + 1, key=_sequence)
        return existing[i - 1] if i else None

    def scan(self, start: bytes, end: bytes | None) -> Iterator[Entry]:
        """Yield entries from `start` to before `end` by key, newest first. Concurrent writes may or may not be seen."""
        self._readers += 1
        try:
            first_key, inclusive = start, True
            while True:
                self._sort()
                keys: list[bytes] = []
                for key in self._sorted.irange(first_key, end, (inclusive, False)):
                    keys.append(key)
                    if len(keys) == KEYS_PER_CHUNK:
                        break
                for key in keys:
                    existing = self._versions[key]
                    if isinstance(existing, list):
                        yield from reversed(tuple(existing))
                    else:
                        yield existing
                if len(keys) < KEYS_PER_CHUNK:
                    return
                first_key, inclusive = keys[-1], False
        finally:
            self._readers -= 1

    def release_in_steps(self) -> Iterator[None]:
        """Free the memory in steps, as freeing a large memtable at once would block the event loop.

        Does nothing while a scan is open: the memory is then freed with the last reference.
        """
        while self._versions and not self._readers:
            for _ in range(min(UNSORTED_LIMIT, len(self._versions))):
                self._versions.popitem()
            yield None


def _sequence(entry: Entry) -> int:
    return entry.sequence
