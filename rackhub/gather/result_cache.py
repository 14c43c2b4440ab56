"""A cache of the last complete result of each site for each request, limited in memory. Pure."""

from collections import OrderedDict
from collections.abc import Hashable

from rackhub.gather.state import CachedResult, Rows

ENTRY_OVERHEAD_BYTES = 200  # estimated memory of a cached result in addition to its rows


class ResultCache:
    """Results by site and request; evicts the least recently used ones beyond `max_bytes` in total."""

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._results: OrderedDict[tuple[str, Hashable], CachedResult] = OrderedDict()
        self.size_bytes = 0

    def put(self, site: str, request: Hashable, rows: Rows, now: int) -> None:
        """Cache a result that was read at `now` (microseconds), unless it is larger than the cache."""
        self._drop((site, request))
        if rows.size + ENTRY_OVERHEAD_BYTES > self._max_bytes:
            return
        self._results[site, request] = CachedResult(rows, now)
        self.size_bytes += rows.size + ENTRY_OVERHEAD_BYTES
        while self.size_bytes > self._max_bytes:
            self._drop(next(iter(self._results)))

    def get(self, site: str, request: Hashable) -> CachedResult | None:
        """Return the cached result, which then counts as used, or None."""
        found = self._results.get((site, request))
        if found is not None:
            self._results.move_to_end((site, request))
        return found

    def _drop(self, key: tuple[str, Hashable]) -> None:
        dropped = self._results.pop(key, None)
        if dropped is not None:
            self.size_bytes -= dropped.rows.size + ENTRY_OVERHEAD_BYTES
