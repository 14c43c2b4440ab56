"""CPU a request through the core and the decision module, by the number of engines in the list.

One coordinator of a fleet that grows with its engines: requests come one by one, 20 are out at any time, each engine
answers with its load. What is not the core's or the module's is the same at each size, and small.
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
OUT = 20  # requests that wait for their engine at any time
SIZES = (8, 60, 300)
APART = 10 * MS  # from one request to the next
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
    us: float  # of CPU a request, the middle one of the rounds
    ratio: float  # against the first size


class Virtual:
    """A clock that is moved by hand, and the one wake-up of the core's timers."""

    def __init__(self) -> None:
        self.time, self._due = 1_000 * SECOND, 0
        self._call: Callable[[], None] | None = None

    def now(self) -> int:
        return self.time

    def wake_after(self, delay: int, call: Callable[[], None]) -> None:
        self._due, self._call = self.time + delay, call

    def move(self, span: int) -> None:
        until = self.time + span
        while self._call is not None and self._due <= until:
            call, self._call, self.time = self._call, None, max(self.time, self._due)
            call()
        self.time = until


class Answers(Reply):
    """Engines, and the clients that take what they say: the oldest attempt is answered when room is needed."""

    def __init__(self, engines: int):
        self.out: deque[Attempt] = deque()
        self.world = Virtual()
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
        self.core = Coordinator(settings, 1, self.world, Timers(self.world, self.world), Limits(), Counters())
        entries = [t.EngineEntry(f"e{i:03}", kind="std") for i in range(engines)]
        self.core.start(self, entries, 1)

    def send(self, attempt: Attempt) -> None:
        self.out.append(attempt)

    def give_up(self, attempt: Attempt) -> None:
        self.out.remove(attempt)

    def promote(self, attempt: Attempt) -> None: ...

    def close_idle(self, engine: str) -> None: ...

    def ask(self, number: int) -> None:
        """One request in, and as many answers as leave `OUT` waiting."""
        self.world.move(APART)
        cls = CLASSES[number % 8 == 7]
        query = Query(
            f"{number:016x}",
            cls.name,
            b"select 1 from sales_1.rides",
            self.world.time + cls.deadline,
            self,
            tenant="one" if number % 5 else "two",
            estimate=(20 + number % 7 * 40) * MS,
            tables=number % 9,
        )
        self.core.submit(query)
        while len(self.out) > OUT:
            report = {"busy_reqs": 6.0 + number % 5, "pending": 0.0}
            self.core.complete_attempt(self.out.popleft(), "GOOD", report, (b"a\tb\tc\n",))

    def served(self, query: Query, rows: Sequence[bytes]) -> None: ...

    def rejected(self, query: Query, backoff: int) -> None: ...

    def failed(self, query: Query, why: str) -> None: ...


def measure(sizes: Sequence[int], rounds: int = 9, requests: int = 400) -> list[Row]:
    """The sizes take turns, as the pace of a machine changes; ratios are of neighbours in time."""
    rigs = [Answers(engines) for engines in sizes]
    took: list[list[float]] = [[] for _ in sizes]
    gc.disable()
    try:
        for turn in range(rounds + 1):
            for rig, times in zip(rigs, took, strict=True):
                start = time.process_time()
                for number in range(turn * requests, (turn + 1) * requests):
                    rig.ask(number + 1)
                if turn:  # the first round warms up
                    times.append((time.process_time() - start) / requests * 1e6)
                gc.collect()
    finally:
        gc.enable()
    if any(rig.core.counters["served"] < rounds * requests * 9 // 10 for rig in rigs):
        raise AssertionError("not served: what was measured is no usual request")
    rows = []
    for engines, times in zip(sizes, took, strict=True):
        ratios = sorted(mine / first for mine, first in zip(times, took[0], strict=True))
        rows.append(Row(engines, sorted(times)[len(times) // 2], ratios[len(ratios) // 2]))
    return rows
