"""What was written last, in memory until it goes to a table. Pure.

A key with one version holds its entry itself, one with more a list: most have one, and a list a key would be an object
more for the collector to walk over.
"""

from bisect import bisect_left
from collections.abc import Iterator

from sortedcontainers import SortedList

from rackhub.store.records import DATA, Entry

CHUNK = 256  # keys taken from the sorted list at once, so that a reader stands changes between
FRESH = 512  # new keys that wait to be sorted in: all at once they would hold a turn of the loop


class Memtable:
    """All versions of the keys written since it began, oldest first a key. `low`, `high`: numbers of its records."""

    def __init__(self, low: int):
        self.low, self.high, self.revision, self.bytes, self.count = low, low - 1, 0, 0, 0
        self._versions: dict[bytes, Entry | list[Entry]] = {}
        self._readers = 0
        self._sorted: SortedList = SortedList()
        self._fresh: list[bytes] = []  # keys not in `_sorted` yet

    def add(self, number: int, revision: int, entries: list[Entry], size: int) -> None:
        """Take in one record of `size` bytes. The store's own keys keep their latest version alone."""
        versions = self._versions
        for entry in entries:
            key = entry.key
            have = versions.get(key)
            if have is None:
                versions[key] = entry
                self._fresh.append(key)
            elif key[:1] != DATA:
                versions[key] = entry
            elif type(have) is list:
                have.append(entry)
            else:
                versions[key] = [have, entry]  # type: ignore[list-item]
        if len(self._fresh) >= FRESH:
            self._sort()
        self.bytes += size
        self.count += len(entries)
        self.high, self.revision = number, revision

    def _sort(self) -> None:
        for key in self._fresh:
            self._sorted.add(key)
        self._fresh.clear()

    def find(self, key: bytes, at: int) -> Entry | None:
        """The newest version up to `at`."""
        have = self._versions.get(key)
        if type(have) is not list:
            return have if have is not None and have.order <= at else None  # type: ignore[union-attr,return-value]
        if have[-1].order <= at:
            return have[-1]
        i = bisect_left(have, at + 1, key=_order)
        return have[i - 1] if i else None

    def scan(self, start: bytes, end: bytes | None) -> Iterator[Entry]:
        """From `start` to before `end` in order of key, newest first; writes meanwhile are seen or not."""
        self._readers += 1
        try:
            at, inclusive = start, True
            while True:
                self._sort()
                keys: list[bytes] = []
                for key in self._sorted.irange(at, end, (inclusive, False)):
                    keys.append(key)
                    if len(keys) == CHUNK:
                        break
                for key in keys:
                    have = self._versions[key]
                    if isinstance(have, list):
                        yield from reversed(tuple(have))
                    else:
                        yield have
                if len(keys) < CHUNK:
                    return
                at, inclusive = keys[-1], False
        finally:
            self._readers -= 1

    def dismantle(self) -> Iterator[None]:
        """Free it bit by bit, once nobody has use for it: all at once would hold a turn. A reader in the middle of
        it keeps it whole, and frees it in the end."""
        while self._versions and not self._readers:
            for _ in range(min(FRESH, len(self._versions))):
                self._versions.popitem()
            yield None


def _order(entry: Entry) -> int:
    return entry.order
