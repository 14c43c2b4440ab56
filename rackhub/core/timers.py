"""Many timers on one wake-up of the event loop. Times are microseconds."""

import heapq
import logging
from collections.abc import Callable
from typing import Any, Protocol

log = logging.getLogger(__name__)

DEFER_UNCONDITIONALLY = -1  # as a tolerated delay: the call waits for the reads, however early the event loop is
ITERATIONS_TO_READ_TWICE = 3  # the reads of the present iteration may be half made, so they don't count


class Clock(Protocol):
    """A clock that is never set back."""

    def now(self) -> int:
        """The time in microseconds."""


class Waker(Protocol):
    """Calls back once after some microseconds; a new call replaces the one before it."""

    def wake_after(self, delay: int, call: Callable[[], None]) -> None:
        """Call back after `delay` microseconds."""


# The time of a call, its number, the function and its arguments: ordered by time and then by number, which is unique.
_Timer = tuple[int, int, Callable[..., None], tuple[Any, ...]]


class Timers:
    """Makes calls at given times, in the order of the times and then of the requests for them."""

    def __init__(self, clock: Clock, waker: Waker) -> None:
        self._clock = clock
        self._waker = waker
        self._heap: list[_Timer] = []
        self._last_number = 0
        self._wakes_at = 0  # 0: no wake-up is planned
        self._last_delay = 0  # how late the last wake-up was

    def call_at(self, when: int, call: Callable[..., None], *args: Any) -> None:
        """Call at a time; a timer is never withdrawn."""
        self._last_number += 1
        heapq.heappush(self._heap, (when, self._last_number, call, args))
        if not self._wakes_at or when < self._wakes_at:
            self._plan_wake_up()

    def call_after_reads(self, tolerated_delay: int, call: Callable[..., None], *args: Any) -> None:
        """Call now; where the event loop is later than `tolerated_delay`, after all sockets have been read twice.

        The loop makes calls that are due before it reads. While it is late, a client's disconnect may lie in the
        kernel, alone or behind its last bytes, that a loop in time would have seen. The call is put off only once.
        """
        now = self._clock.now()
        delay = max(self._last_delay, now - (self._wakes_at or now))
        if delay <= tolerated_delay:
            call(*args)
        else:
            self._call_after_iterations(ITERATIONS_TO_READ_TWICE, call, args)

    def run_expired(self) -> None:
        """Make the calls that are due; those requested meanwhile wait for the next iteration of the loop."""
        now = self._clock.now()
        last_number = self._last_number
        self._last_delay = now - self._wakes_at
        new_timers: list[_Timer] = []
        while self._heap and self._heap[0][0] <= now:
            timer = heapq.heappop(self._heap)
            _, number, call, args = timer
            if number > last_number:
                new_timers.append(timer)
                continue
            try:
                call(*args)
            except Exception:  # deadlines are among the other timers: they must be called all the same
                log.exception("a timer's call failed")
        for timer in new_timers:
            heapq.heappush(self._heap, timer)
        self._plan_wake_up()

    def _plan_wake_up(self) -> None:
        self._wakes_at = self._heap[0][0] if self._heap else 0
        if self._wakes_at:
            self._waker.wake_after(max(self._wakes_at - self._clock.now(), 0), self.run_expired)

    def _call_after_iterations(self, iterations: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        if iterations:
            self.call_at(self._clock.now(), self._call_after_iterations, iterations - 1, call, args)
        else:
            call(*args)
