"""Timers that share one wake-up call of the event loop. Times are microseconds."""

import heapq
import logging
from collections.abc import Callable
from typing import Any, Protocol

log = logging.getLogger(__name__)

# Tolerated delay that always defers the call until all sockets have been read, even if the event loop is not late.
DEFER_UNCONDITIONALLY = -1
MAX_CANCELLED_ENTRIES = 64  # cancelled timers in the heap; more only while the pending ones outnumber them
ITERATIONS_TO_READ_TWICE = 3  # the current iteration does not count: some of its reads may be done already


class Clock(Protocol):
    """Monotonic clock."""

    def now(self) -> int:
        """Return the time in microseconds."""


class Waker(Protocol):
    """One-shot wake-up call of the event loop; a new one replaces the previous one."""

    def wake_after(self, delay: int, call: Callable[[], None]) -> None:
        """Make `call` after `delay` microseconds."""


class Timer:
    """One requested call. Neither a call that was made nor a cancelled one keeps its function and arguments."""

    __slots__ = ("_timers", "_call")

    def __init__(self, timers: "Timers", call: Callable[..., object], args: tuple[Any, ...]) -> None:
        """Use `Timers.call_at` instead, which also has the call made."""
        self._timers = timers
        self._call: tuple[Callable[..., object], tuple[Any, ...]] | None = (call, args)

    @property
    def pending(self) -> bool:
        """True until the call is made or cancelled."""
        return self._call is not None

    def cancel(self) -> None:
        """Cancel the call, unless it was made or cancelled before."""
        if self._call is not None:
            self._call = None
            self._timers.timer_cancelled()

    def take_call(self) -> tuple[Callable[..., object], tuple[Any, ...]] | None:
        """Return the function and its arguments, once; None if the timer was cancelled. For `Timers` only."""
        call = self._call
        self._call = None
        return call


# Time, unique sequence number, timer. Tuples are ordered by time, then by sequence number.
_Entry = tuple[int, int, Timer]


class Timers:
    """Makes calls at given times, ordered by time; calls for the same time are made in the order of their requests.

    The entry of a cancelled timer stays in the heap, without the call, until its time. Once such entries outnumber both
    the pending timers and `MAX_CANCELLED_ENTRIES` all of them are removed at once, in time proportional to the timers
    cancelled since the last removal. So the heap's size is bounded by the number of pending timers, and a cancellation
    takes constant time on average.
    """

    def __init__(self, clock: Clock, waker: Waker) -> None:
        self._clock = clock
        self._waker = waker
        self._heap: list[_Entry] = []
        self._pending = 0
        self._last_sequence_number = 0
        self._wakes_at = 0  # time of the next wake-up; 0: none is scheduled
        self._last_delay = 0  # delay of the last wake-up

    @property
    def pending_count(self) -> int:
        """The number of timers that are neither due nor cancelled."""
        return self._pending

    @property
    def entry_count(self) -> int:
        """The number of entries in the heap, those of cancelled timers included."""
        return len(self._heap)

    def call_at(self, when: int, call: Callable[..., object], *args: Any) -> Timer:
        """Make `call` with `args` at the time `when`, unless the returned timer is cancelled before."""
        self._last_sequence_number += 1
        timer = Timer(self, call, args)
        heapq.heappush(self._heap, (when, self._last_sequence_number, timer))
        self._pending += 1
        if not self._wakes_at or when < self._wakes_at:
            self._schedule_wake_up()
        return timer

    def timer_cancelled(self) -> None:
        """Record the cancellation of a timer; called by `Timer.cancel`."""
        self._pending -= 1
        if len(self._heap) - self._pending > max(self._pending, MAX_CANCELLED_ENTRIES):
            self._heap = [entry for entry in self._heap if entry[2].pending]
            heapq.heapify(self._heap)

    def call_after_reads(self, tolerated_delay: int, call: Callable[..., object], *args: Any) -> None:
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
        new_entries: list[_Entry] = []
        while self._heap and self._heap[0][0] <= now:
            entry = heapq.heappop(self._heap)
            _, sequence_number, timer = entry
            if sequence_number > last_sequence_number:
                new_entries.append(entry)
            else:
                self._run(timer)
        for entry in new_entries:
            heapq.heappush(self._heap, entry)
        self._schedule_wake_up()

    def _run(self, timer: Timer) -> None:
        """Make the call of a due timer, unless it was cancelled."""
        due = timer.take_call()
        if due is None:
            return
        self._pending -= 1
        call, args = due
        try:
            call(*args)
        except Exception:  # the other timers, deadlines among them, must still be called
            log.exception("a timer's call failed")

    def _schedule_wake_up(self) -> None:
        self._wakes_at = self._heap[0][0] if self._heap else 0
        if self._wakes_at:
            self._waker.wake_after(max(self._wakes_at - self._clock.now(), 0), self.run_expired)

    def _call_after_iterations(self, iterations: int, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        if iterations:
            self.call_at(self._clock.now(), self._call_after_iterations, iterations - 1, call, args)
        else:
            call(*args)
