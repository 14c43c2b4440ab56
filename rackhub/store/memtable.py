"""What was written last, in memory until it goes to a table. Pure."""

from bisect import bisect_left
from collections.abc import Iterator

from sortedcontainers import SortedList

from rackhub.store.records import DATA, Entry

CHUNK = 256  # keys taken from the sorted list at once, so that a reader stands changes between


class Memtable:
    """All versions of the keys written since it began, oldest first a key. `low`, `high`: numbers of its records."""

    def __init__(self, low: int):
        self.low, self.high, self.revision, self.bytes, self.count = low, low - 1, 0, 0, 0
        self._versions: dict[bytes, list[Entry]] = {}
        self._sorted: SortedList = SortedList()
        self._fresh: list[bytes] = []  # keys not in `_sorted` yet: most writes are never read in order

    def add(self, number: int, revision: int, entries: list[Entry], size: int) -> None:
        """Take in one record of `size` bytes. The store's own keys keep their latest version alone."""
        versions = self._versions
        for entry in entries:
            key = entry.key
            have = versions.get(key)
            if have is None:
                versions[key] = [entry]
                self._fresh.append(key)
            elif key[:1] == DATA:
                have.append(entry)
            else:
                have[0] = entry
        self.bytes += size
        self.count += len(entries)
        self.high, self.revision = number, revision

    def find(self, key: bytes, at: int) -> Entry | None:
        """The newest version up to `at`."""
        have = self._versions.get(key)
        if have is None:
            return None
        if have[-1].order <= at:
            return have[-1]
        i = bisect_left(have, at + 1, key=_order)
        return have[i - 1] if i else None

    def scan(self, start: bytes, end: bytes | None) -> Iterator[Entry]:
        """From `start` to before `end` in order of key, newest first; writes meanwhile are seen or not."""
        at, inclusive = start, True
        while True:
            if self._fresh:
                self._sorted.update(self._fresh)
                self._fresh.clear()
            keys: list[bytes] = []
            for key in self._sorted.irange(at, end, (inclusive, False)):
                keys.append(key)
                if len(keys) == CHUNK:
                    break
            for key in keys:
                yield from reversed(tuple(self._versions[key]))
            if len(keys) < CHUNK:
                return
            at, inclusive = keys[-1], False


def _order(entry: Entry) -> int:
    return entry.order
