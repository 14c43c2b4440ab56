"""Timers that share one wake-up call of the event loop. Times are microseconds."""

import heapq
import logging
from collections.abc import Callable
from typing import Any, Protocol

log = logging.getLogger(__name__)

# Tolerated delay that always defers the call until all sockets have been read, even if the event loop is not late.
DEFER_UNCONDITIONALLY = -1
ITERATIONS_TO_READ_TWICE = 3  # the current iteration does not count: some of its reads may be done already


class Clock(Protocol):
    """Monotonic clock."""

    def now(self) -> int:
        """Return the time in microseconds."""


class Waker(Protocol):
    """One-shot wake-up call of the event loop; a new one replaces the previous one."""

    def wake_after(self, delay: int, call: Callable[[], None]) -> None:
        """Make `call` after `delay` microseconds."""


# Time, unique sequence number, function, arguments. Tuples are ordered by time, then by sequence number.
_Timer = tuple[int, int, Callable[..., None], tuple[Any, ...]]


class Timers:
    """Makes calls at given times, ordered by time; calls for the same time are made in the order of their requests."""

    def __init__(self, clock: Clock, waker: Waker) -> None:
        self._clock = clock
        self._waker = waker
        self._heap: list[_Timer] = []
        self._last_sequence_number = 0
        self._wakes_at = 0  # time of the next wake-up; 0: none is scheduled
        self._last_delay = 0  # delay of the last wake-up

    def call_at(self, when: int, call: Callable[..., None], *args: Any) -> None:
        """Make `call` with `args` at the time `when`; a timer can't be cancelled."""
        self._last_sequence_number += 1
        heapq.heappush(self._heap, (when, self._last_sequence_number, call, args))
        if not self._wakes_at or when < self._wakes_at:
            self._schedule_wake_up()

    def call_after_reads(self, tolerated_delay: int, call: Callable[..., None], *args: Any) -> None:
        """Call now, or if the event loop is later than `tolerated_delay`, after it has read all sockets twice.

        The event loop makes due calls before it reads. While it is late, a client's disconnect may be in the kernel's
        buffers, alone or behind the client's last bytes, although a punctual loop would have seen it. A call is
        deferred only once.
        """
        now = self._clock.now()
        delay = max(self._last_delay, now - (self._wakes_at or now))
        if delay <= tolerated_delay:
            call(*args)
        else:
            self._call_after_iterations(ITERATIONS_TO_READ_TWICE, call, args)

    def run_expired(self) -> None:
        """Make the due calls; calls requested meanwhile wait for the next event-loop iteration."""
        now = self._clock.now()
        last_sequence_number = self._last_sequence_number
        self._last_delay = now - self._wakes_at
        new_timers: list[_Timer] = []
        while self._heap and self._heap[0][0] <= now:
            timer = heapq.heappop(self._heap)
            _, sequence_number, call, args = timer
            if sequence_number > last_sequence_number:
                new_timers.append(timer)
                continue
            try:
                call(*args)
            except Exception:  # the other timers, deadlines among them, must still be called
                log.exception("a timer's call failed")
        for timer in new_timers:
            heapq.heappush(self._heap, timer)
        self._schedule_wake_up()

    def _schedule_wake_up(self) -> None:
        self._wakes_at = self._heap[0][0] if self._heap else 0
        if self._wakes_at:
            self._waker.wake_after(max(self._wakes_at - self._clock.now(), 0), self.run_expired)

    def _call_after_iterations(self, iterations: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        if iterations:
            self.call_at(self._clock.now(), self._call_after_iterations, iterations - 1, call, args)
        else:
            call(*args)
