"""Measures the CPU time per request in the core and the decision module, by the number of engines in the list.

One coordinator of a fleet that grows with its engines. Requests arrive one by one, 20 are in flight at any time, and
each engine reports its load with its answer. The overhead outside core and module is small and the same at each size.
"""

import gc
import time
from collections import deque
from collections.abc import Callable, Sequence

import msgspec

from rackhub import interface as t
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Attempt, Query, Reply
from rackhub.core.timers import Timers
from rackhub.counters import Counters
from rackhub.limits import Limits

MS, SECOND = 1_000, 1_000_000
MAX_IN_FLIGHT = 20  # requests
SIZES = (8, 60, 300)
REQUEST_INTERVAL = 10 * MS
CLASSES = (
    t.ClassSettings("lookup", deadline=3 * SECOND, latency_objective=600 * MS, idempotency="retryable"),
    t.ClassSettings(
        "report",
        deadline=20 * SECOND,
        latency_objective=3 * SECOND,
        idempotency="retryable",
        threads=3,
        priority_weight=7.5,
    ),
)


class Row(msgspec.Struct, frozen=True):
    engines: int
    us: float  # CPU time per request: the median of the rounds
    ratio: float  # median ratio to the first size


class VirtualClock:
    """A clock that the test bed advances, with the single wake-up that the core's timers need."""

    def __init__(self) -> None:
        self.time, self._due = 1_000 * SECOND, 0
        self._call: Callable[[], None] | None = None

    def now(self) -> int:
        return self.time

    def wake_after(self, delay: int, call: Callable[[], None]) -> None:
        self._due, self._call = self.time + delay, call

    def advance(self, duration: int) -> None:
        until = self.time + duration
        while self._call is not None and self._due <= until:
            call, self._call, self.time = self._call, None, max(self.time, self._due)
            call()
        self.time = until


class CoordinatorTestBed(Reply):
    """A coordinator with simulated engines and clients; the oldest attempt is answered when too many are in flight."""

    def __init__(self, engines: int):
        self.in_flight: deque[Attempt] = deque()
        self.clock = VirtualClock()
        settings = t.Settings(
            classes=CLASSES,
            tenants=(t.TenantSettings("one"), t.TenantSettings("two")),
            gateways=max(engines * 2 // 3, 1),
            kind_cores={"std": 8.0},
            clock_period=5 * MS,
            priorities=True,
            progress_report_interval=SECOND,
            cancel=True,
            max_attempts=3,
            max_retry_after=500 * MS,
            slow_start_initial_capacity=0.3,
            slow_start_duration=13 * SECOND,
            slow_start_budget_window=3 * SECOND,
            slow_start_budget_multiple=2.0,
            load_report_source="piggyback",
        )
        self.core = Coordinator(settings, 1, self.clock, Timers(self.clock, self.clock), Limits(), Counters())
        entries = [t.EngineEntry(f"e{i:03}", kind="std") for i in range(engines)]
        self.core.start(self, entries, 1)

    def send(self, attempt: Attempt) -> None:
        self.in_flight.append(attempt)

    def give_up(self, attempt: Attempt) -> None:
        self.in_flight.remove(attempt)

    def promote(self, attempt: Attempt) -> None: ...

    def close_idle(self, engine: str) -> None: ...

    def submit_request(self, number: int) -> None:
        """Submit one request, and answer the oldest attempts until `MAX_IN_FLIGHT` are in flight."""
        self.clock.advance(REQUEST_INTERVAL)
        cls = CLASSES[number % 8 == 7]
        query = Query(
            f"{number:016x}",
            cls.name,
            b"select 1 from sales_1.rides",
            self.clock.time + cls.deadline,
            self,
            tenant="one" if number % 5 else "two",
            estimate=(20 + number % 7 * 40) * MS,
            tables=number % 9,
        )
        self.core.submit(query)
        while len(self.in_flight) > MAX_IN_FLIGHT:
            report = {"busy_reqs": 6.0 + number % 5, "pending": 0.0}
            self.core.complete_attempt(self.in_flight.popleft(), "GOOD", report, (b"a\tb\tc\n",))

    def served(self, query: Query, rows: Sequence[bytes]) -> None: ...

    def rejected(self, query: Query, backoff: int) -> None: ...

    def failed(self, query: Query, why: str) -> None: ...


def measure(sizes: Sequence[int], rounds: int = 9, requests: int = 400) -> list[Row]:
    """Measure the sizes in turn, as a machine's speed varies; each ratio compares measurements of the same round."""
    test_beds = [CoordinatorTestBed(engines) for engines in sizes]
    times_by_size: list[list[float]] = [[] for _ in sizes]
    gc.disable()
    try:
        for round_number in range(rounds + 1):
            for test_bed, times in zip(test_beds, times_by_size, strict=True):
                start = time.process_time()
                for number in range(round_number * requests, (round_number + 1) * requests):
                    test_bed.submit_request(number + 1)
                if round_number:  # the first round warms up
                    times.append((time.process_time() - start) / requests * 1e6)
                gc.collect()
    finally:
        gc.enable()
    if any(test_bed.core.counters["served"] < rounds * requests * 9 // 10 for test_bed in test_beds):
        raise AssertionError("fewer than 90% of the requests were served: the measurement is not representative")
    rows = []
    for engines, times in zip(sizes, times_by_size, strict=True):
        ratios = sorted(own / first for own, first in zip(times, times_by_size[0], strict=True))
        rows.append(Row(engines, sorted(times)[len(times) // 2], ratios[len(ratios) // 2]))
    return rows
