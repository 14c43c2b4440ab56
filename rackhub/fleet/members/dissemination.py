"""The queue of updates to piggyback: fewest transmissions first, claims before records, newest first. Pure."""

from collections.abc import Callable, Iterator
from itertools import islice

CLAIM, RECORD = "claim", "note"
UpdateKey = tuple[str, ...]  # (CLAIM, name) or (RECORD, owner, kind)
SCAN_LIMIT = 64  # updates of one rank considered for one datagram


class DisseminationQueue:
    """Updates by key. An update replaces an earlier one with the same key and starts with no transmissions."""

    __slots__ = ("_capacity", "_queues", "_rank_by_key", "_count")

    def __init__(self, capacity: int, count: Callable[[str], None]):
        self._capacity, self._count = capacity, count
        # Indexed by rank: claims, then records, for each number of transmissions.
        self._queues: list[dict[UpdateKey, None]] = []
        self._rank_by_key: dict[UpdateKey, int] = {}

    def __len__(self) -> int:
        return len(self._rank_by_key)

    def enqueue(self, *key: str) -> None:
        """Add an update, or drop and count it if the queue is full."""
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
        """Remove an update, if it is queued."""
        rank = self._rank_by_key.pop(key, None)
        if rank is not None:
            del self._queues[rank][key]

    def keys(self) -> Iterator[UpdateKey]:
        """The keys in the order of sending. `mark_sent` and `remove` may be called during the iteration."""
        for rank in range(len(self._queues)):
            for key in list(islice(reversed(self._queues[rank]), SCAN_LIMIT)):
                if self._rank_by_key.get(key) == rank:
                    yield key

    def mark_sent(self, key: UpdateKey, transmissions: int) -> None:
        """Count a transmission, and remove the update after `transmissions` of them."""
        rank = self._rank_by_key.get(key)
        if rank is None:
            return
        self.remove(*key)
        if rank // 2 + 1 < transmissions:
            self._insert(key, rank // 2 + 1)
