"""News that waits to be spread: the least sent first, claims before records, then the newest. Pure."""

from collections.abc import Callable, Iterator
from itertools import islice

CLAIM, RECORD = "claim", "note"
UpdateKey = tuple[str, ...]  # what a piece is about: CLAIM and a name, or NOTE, an owner and a kind
SCAN_LIMIT = 64  # pieces of one rank that are looked at for one datagram


class DisseminationQueue:
    """A later piece under the same key takes the place of the one before, and begins anew."""

    __slots__ = ("_capacity", "_queues", "_rank_by_key", "_count")

    def __init__(self, capacity: int, count: Callable[[str], None]):
        self._capacity, self._count = capacity, count
        self._queues: list[dict[UpdateKey, None]] = []  # two for each number of times sent: claims, then records
        self._rank_by_key: dict[UpdateKey, int] = {}

    def __len__(self) -> int:
        return len(self._rank_by_key)

    def enqueue(self, *key: str) -> None:
        if key in self._rank_by_key:
            self.remove(*key)
        elif len(self._rank_by_key) >= self._capacity:
            self._count("news_over")
            return
        self._insert(key, 0)

    def _insert(self, key: UpdateKey, times_sent: int) -> None:
        rank = 2 * times_sent + (key[0] != CLAIM)
        while len(self._queues) <= rank:
            self._queues.append({})
        self._queues[rank][key] = None
        self._rank_by_key[key] = rank

    def remove(self, *key: str) -> None:
        rank = self._rank_by_key.pop(key, None)
        if rank is not None:
            del self._queues[rank][key]

    def keys(self) -> Iterator[UpdateKey]:
        """In the order in which they go out; `sent` and `drop` may be called in between."""
        for rank in range(len(self._queues)):
            for key in list(islice(reversed(self._queues[rank]), SCAN_LIMIT)):
                if self._rank_by_key.get(key) == rank:
                    yield key

    def mark_sent(self, key: UpdateKey, transmissions: int) -> None:
        rank = self._rank_by_key.get(key)
        if rank is None:
            return
        self.remove(*key)
        if rank // 2 + 1 < transmissions:
            self._insert(key, rank // 2 + 1)
