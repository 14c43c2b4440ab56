"""When each of many things is next due, without looking at all of them at each step."""

import heapq

NEVER = 1 << 62  # microseconds


class Schedule:
    """One time for each name. A later time than the one that is set costs nothing until the earlier one has come."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, str]] = []
        self._times: dict[str, int] = {}  # the earliest entry of each name in the heap: others are void

    def set(self, name: str, time: int) -> None:
        """Look at `name` at `time`, or sooner: a later time than the one before is found when that one has come."""
        known = self._times.get(name)
        if known is None or time < known:
            self._times[name] = time
            heapq.heappush(self._heap, (time, name))

    def remove(self, name: str) -> None:
        self._times.pop(name, None)

    def take(self, now: int) -> list[str]:
        """The names that are due. Each has no time until it is set again."""
        names = []
        while self._heap and self._heap[0][0] <= now:
            time, name = heapq.heappop(self._heap)
            if self._times.get(name) == time:
                del self._times[name]
                names.append(name)
        return names

    def due(self) -> int:
        """When the next one is due."""
        while self._heap and self._times.get(self._heap[0][1]) != self._heap[0][0]:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else NEVER
