"""Due times of many names, without a scan of all of them."""

import heapq

NEVER = 1 << 62  # microseconds, later than any due time


class Schedule:
    """One due time for each name. Postponing a name costs nothing until its earlier time has come."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, str]] = []
        # The earliest heap entry of each name. Other heap entries are void.
        self._times: dict[str, int] = {}

    def set(self, name: str, time: int) -> None:
        """Make `name` due at `time`, unless it is due earlier already.

        The caller sets a later time once that has passed.
        """
        known = self._times.get(name)
        if known is None or time < known:
            self._times[name] = time
            heapq.heappush(self._heap, (time, name))

    def remove(self, name: str) -> None:
        """Drop the due time of a name."""
        self._times.pop(name, None)

    def take(self, now: int) -> list[str]:
        """Return the names that are due and drop their due times."""
        names = []
        while self._heap and self._heap[0][0] <= now:
            time, name = heapq.heappop(self._heap)
            if self._times.get(name) == time:
                del self._times[name]
                names.append(name)
        return names

    def due(self) -> int:
        """Return the earliest due time; NEVER if there is none."""
        while self._heap and self._times.get(self._heap[0][1]) != self._heap[0][0]:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else NEVER
