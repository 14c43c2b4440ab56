"""Many timers on one wake-up: the module asks for thousands that it never withdraws."""

import heapq
import logging
from collections.abc import Callable
from typing import Any, Protocol

log = logging.getLogger(__name__)


class Clock(Protocol):
    def now(self) -> int: ...


class Waker(Protocol):
    """Calls back once after some microseconds; a new call replaces the one before it."""

    def wake_after(self, delay: int, call: Callable[[], None]) -> None: ...


class Timers:
    """Calls at times, in order of time and then of asking."""

    def __init__(self, clock: Clock, waker: Waker):
        self._clock, self._waker = clock, waker
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._asked, self._armed = 0, 0
        self._late = 0  # by how much the last wake-up was late

    def at(self, when: int, call: Callable[..., None], *args: Any) -> None:
        self._asked += 1
        heapq.heappush(self._heap, (when, self._asked, call, args))
        if not self._armed or when < self._armed:
            self._arm()

    def _arm(self) -> None:
        self._armed = self._heap[0][0] if self._heap else 0
        if self._armed:
            self._waker.wake_after(max(self._armed - self._clock.now(), 0), self.run_expired)

    def call_after_reads(self, late: int, call: Callable[..., None], *args: Any) -> None:
        """Call now; where the loop is more than `late` behind its time, after all sockets have been read twice. The
        loop makes calls that are due before it reads, and what it reads may be long there: a client's end may lie in
        the kernel, alone or behind its last bytes, that a turn in time would have seen. Put off once, never again."""
        now = self._clock.now()
        if max(self._late, now - (self._armed or now)) <= late:
            return call(*args)
        self._after(3, call, args)

    def _after(self, turns: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Call after so many turns: the reads of the present one may be half made, so they don't count."""
        if turns:
            self.at(self._clock.now(), self._after, turns - 1, call, args)
        else:
            call(*args)

    def run_expired(self) -> None:
        """Make the calls that are due; those asked for meanwhile wait for the next turn of the loop."""
        now, last = self._clock.now(), self._asked
        self._late = now - self._armed
        held = []
        while self._heap and self._heap[0][0] <= now:
            due = heapq.heappop(self._heap)
            if due[1] > last:
                held.append(due)
                continue
            try:
                due[2](*due[3])
            except Exception:  # all other timers hang on this walk, deadlines among them: it must reach its end
                log.exception("a timer's call failed")
        for due in held:
            heapq.heappush(self._heap, due)
        self._arm()
