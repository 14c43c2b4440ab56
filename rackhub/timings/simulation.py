"""A simulation of routes in virtual time: the real core and decision module with simple engines. Deterministic by seed.

The running queries of an engine share its cores evenly. Beyond a number of threads per core its total throughput falls;
the work of a cancelled query stops. That is enough to measure how second copies and retries affect latency and load.
Memory, disks and areas of engines are not modelled here.
"""

import heapq
import math
import random
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from rackhub import interface
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Attempt, Query, Reply
from rackhub.core.timers import Timers
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.timings.check import check
from rackhub.timings.route_policy import RoutePolicy
from rackhub.timings.routes import Route
from rackhub.timings.table import Table

MS, SECOND = 1_000, 1_000_000  # microseconds
START = 1_000 * SECOND
CONTENTION_THRESHOLD = 1.8  # threads per core beyond which throughput falls
CONTENTION_LOSS = 0.15  # fraction of the throughput lost with each further thread per core
MIN_EFFICIENCY = 0.3  # fraction of the throughput that is never lost
NETWORK_DELAY = 300  # microseconds, each way
LOOKUP_CLASS = interface.ClassSettings(
    "lookup", deadline=3 * SECOND, latency_objective=600 * MS, idempotency="retryable", priority_weight=1.0
)
LOAD_CLASS = interface.ClassSettings(
    "depot-load",
    deadline=25 * SECOND,
    latency_objective=3 * SECOND,
    idempotency="dedup",
    idempotency_scope="all",
    idempotency_window=25 * SECOND,
    threads=2,
    priority_weight=10.0,
)


class VirtualTime:
    """A clock and timer that runs scheduled calls in order of their time, and at one time in order of scheduling."""

    def __init__(self) -> None:
        self.time, self._call_count = START, 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._wake: tuple[int, Callable[[], None]] | None = None

    def now(self) -> int:
        """Return the current virtual time in microseconds."""
        return self.time

    def at(self, when: int, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call."""
        self._call_count += 1
        heapq.heappush(self._heap, (when, self._call_count, call, args))

    def wake_after(self, delay: int, call: Callable[[], None]) -> None:
        """Set the one timer of the core, in place of an earlier one."""
        self._wake = self.time + delay, call

    def run(self, until: int) -> None:
        """Run all calls that are due up to a time."""
        while True:
            due = min(self._heap[0][0] if self._heap else until + 1, self._wake[0] if self._wake else until + 1)
            if due > until:
                self.time = until
                return
            self.time = max(self.time, due)
            if self._wake and self._wake[0] <= due:
                call = self._wake[1]
                self._wake = None
                call()
            else:
                _, _, call, args = heapq.heappop(self._heap)
                call(*args)


class Engine:
    """An engine whose running queries share its cores evenly, with at most one core for each query."""

    def __init__(self, virtual_time: VirtualTime, cores: float, speed: float, max_running: int):
        self.virtual_time, self.cores, self.speed, self.max_running = virtual_time, cores, speed, max_running
        self.running: dict[Attempt, float] = {}  # the work left of each attempt, in microseconds on one core
        self._advanced_at, self._schedule_version = virtual_time.time, 0
        self.completed_work = 0.0

    def rate(self) -> float:
        """Return the speed of each running query, relative to one on an idle engine of speed 1."""
        threads = len(self.running) / self.cores
        efficiency = max(1.0 - CONTENTION_LOSS * max(threads - CONTENTION_THRESHOLD, 0.0), MIN_EFFICIENCY)
        return self.speed * efficiency * min(1.0, 1.0 / max(threads, 1e-9))

    def advance(self) -> None:
        """Do the work of the time since the last call."""
        work = (self.virtual_time.time - self._advanced_at) * self.rate()
        self._advanced_at = self.virtual_time.time
        for attempt in self.running:
            self.running[attempt] -= work
        self.completed_work += work * len(self.running)

    def schedule_completion(self, done: Callable[["Engine"], None]) -> None:
        """Schedule `done` for the time at which the next query completes; an earlier schedule is cancelled."""
        self._schedule_version += 1
        if self.running:
            least_work = max(min(self.running.values()), 0.0)
            self.virtual_time.at(
                self.virtual_time.time + max(math.ceil(least_work / self.rate()), 1),
                self._due,
                self._schedule_version,
                done,
            )

    def _due(self, version: int, done: Callable[["Engine"], None]) -> None:
        if version == self._schedule_version:
            done(self)


class Scenario(msgspec.Struct, frozen=True):
    """The engines, the rate of requests and the work of each.

    `speeds`: by engine index, 1.0 where absent. `slow_period`: seconds after which another engine becomes the slow one,
    with the speed `slow_speed`; 0: none does. `calm_seconds`: at the beginning, with a fifth of the requests.
    `work_sigma`: the standard deviation of the logarithm of the work. `max_running`: queries that an engine accepts.
    """

    engines: int = 8
    cores: float = 8.0
    speeds: dict[int, float] = {}
    slow_period: float = 0.0
    slow_speed: float = 1 / 6
    per_second: float = 300.0
    seconds: int = 60
    calm_seconds: int = 0
    work_ms: float = 60.0
    work_sigma: float = 0.6
    hedging: bool = True
    max_running: int = 80
    cls: interface.ClassSettings = LOOKUP_CLASS


class Outcome(msgspec.Struct, frozen=True):
    """The counts and latencies of one run. `good`: served within the latency objective, allowing for the work."""

    requests: int
    served: int
    refused: int
    failed: int
    good: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    attempts: int
    copies: int
    engine_work_ms: float  # work of all engines, including that of cancelled attempts
    doubled: int  # requests with more than one answer; any is a bug
    unanswered: int


class Simulation(Reply):
    """One run of a scenario: the engine port of the core, and all of its clients."""

    def __init__(self, scenario: Scenario, routes: Sequence[Route] | None, seed: int):
        self.virtual_time, self.scenario, self.random = VirtualTime(), scenario, random.Random(seed)
        self.counters = Counters()
        kind_cores = {"std": scenario.cores}
        self.settings = interface.Settings(
            classes=(scenario.cls,),
            tenants=(interface.TenantSettings("acme"),),
            kind_cores=kind_cores,
            clock_period=5 * MS,
            cancel=True,
            max_attempts=3,
            max_retry_after=500 * MS,
            hedging=scenario.hedging,
            priorities=True,
        )
        self.core = Coordinator(
            self.settings,
            seed,
            self.virtual_time,
            Timers(self.virtual_time, self.virtual_time),
            Limits(max_open_requests=100_000, max_statement_bytes=1 << 40),
            self.counters,
        )
        if routes is not None:
            faults = check(routes, self.settings).faults
            if faults:
                raise ValueError("; ".join(map(str, faults)))
            windows = (
                {scenario.cls.name: scenario.cls.idempotency_window} if scenario.cls.idempotency == "dedup" else {}
            )
            self.core.request_policy = RoutePolicy(Table(routes, self.settings), windows, seed, self.counters.add)
        self.engines = {
            f"e{index}": Engine(
                self.virtual_time, scenario.cores, scenario.speeds.get(index, 1.0), scenario.max_running
            )
            for index in range(scenario.engines)
        }
        self.answers: dict[str, list[str]] = {}
        self.latencies: list[int] = []
        self.good = 0
        self._work_by_query: dict[str, float] = {}
        self.core.start(self, [interface.EngineEntry(name, "z", "std") for name in self.engines], 1)

    # ---- core.request.EnginePort

    def send(self, attempt: Attempt) -> None:
        """Deliver an attempt after the network delay."""
        self.virtual_time.at(self.virtual_time.time + NETWORK_DELAY, self._arrive, attempt)

    def _arrive(self, attempt: Attempt) -> None:
        engine = self.engines[attempt.engine]
        if attempt.done:
            return
        if len(engine.running) >= engine.max_running:
            self.virtual_time.at(
                self.virtual_time.time + NETWORK_DELAY, self._complete_attempt, attempt, "FULL", len(engine.running)
            )
            return
        engine.advance()
        engine.running[attempt] = self._work_by_query[attempt.query.id]
        engine.schedule_completion(self._complete_finished)

    def _complete_finished(self, engine: Engine) -> None:
        engine.advance()
        for attempt in [candidate for candidate, work in engine.running.items() if work <= 1.0]:
            del engine.running[attempt]
            self.virtual_time.at(
                self.virtual_time.time + NETWORK_DELAY, self._complete_attempt, attempt, "GOOD", len(engine.running)
            )
        engine.schedule_completion(self._complete_finished)

    def _complete_attempt(self, attempt: Attempt, reason: str, load: int) -> None:
        rows = (b"a\tb\tc\n",) if reason == "GOOD" else ()
        self.core.complete_attempt(attempt, reason, {"busy_reqs": float(load), "pending": 0.0}, rows)

    def give_up(self, attempt: Attempt) -> None:
        """Deliver a cancellation after the network delay."""
        self.virtual_time.at(self.virtual_time.time + NETWORK_DELAY, self._cancel_attempt, attempt)

    def _cancel_attempt(self, attempt: Attempt) -> None:
        engine = self.engines[attempt.engine]
        if attempt in engine.running:
            engine.advance()
            del engine.running[attempt]
            engine.schedule_completion(self._complete_finished)

    def promote(self, attempt: Attempt) -> None:
        """Do nothing: these engines have no priorities."""

    def close_idle(self, engine: str) -> None:
        """Do nothing: these engines have no connections."""

    # ---- core.request.Reply, and the requests

    def served(self, query: Query, rows: Sequence[bytes]) -> None:
        """Record an answer and its latency."""
        self.answers[query.id].append("served")
        latency = self.virtual_time.time - int(str(query.tag))
        self.latencies.append(latency)
        self.good += latency <= self.scenario.cls.latency_objective + 1.5 * self._work_by_query[query.id]

    def rejected(self, query: Query, backoff: int) -> None:
        """Record a rejection."""
        self.answers[query.id].append("refused")

    def failed(self, query: Query, why: str) -> None:
        """Record a failure."""
        self.answers[query.id].append("failed")

    def submit_request(self, number: int) -> None:
        """Submit a request with a random amount of work."""
        query_id, scenario = f"{number:016x}", self.scenario
        work = scenario.work_ms * MS * math.exp(self.random.gauss(0, scenario.work_sigma) - scenario.work_sigma**2 / 2)
        self._work_by_query[query_id], self.answers[query_id] = work, []
        query = Query(
            query_id,
            scenario.cls.name,
            b"x",
            self.virtual_time.time + scenario.cls.deadline,
            self,
            tag=self.virtual_time.time,
            tenant="acme",
            estimate=int(work),
            idempotency_key=query_id * 2 if scenario.cls.idempotency == "dedup" else "",
        )
        self.core.submit(query)

    def _slow_next_engine(self, position: int) -> None:
        """Slow down one engine, return the others to full speed, and schedule the next change."""
        for index, engine in enumerate(self.engines.values()):
            engine.advance()
            engine.speed = self.scenario.slow_speed if index == position % len(self.engines) else 1.0
            engine.schedule_completion(self._complete_finished)
        self.virtual_time.at(
            self.virtual_time.time + int(self.scenario.slow_period * SECOND), self._slow_next_engine, position + 3
        )

    def run(self) -> Outcome:
        """Run the scenario. All arrivals are drawn before the start, so they do not depend on the answers."""
        scenario, arrival, number = self.scenario, float(START), 0
        if scenario.slow_period:
            self._slow_next_engine(0)
        while True:
            is_calm = arrival < START + scenario.calm_seconds * SECOND
            arrival += self.random.expovariate(scenario.per_second * (0.2 if is_calm else 1.0)) * SECOND
            if arrival > START + scenario.seconds * SECOND:
                break
            number += 1
            self.virtual_time.at(int(arrival), self.submit_request, number)
        self.virtual_time.run(START + scenario.seconds * SECOND + 2 * scenario.cls.deadline)
        for engine in self.engines.values():
            engine.advance()
        all_answers = [answer for answers in self.answers.values() for answer in answers]
        latencies = sorted(self.latencies) or [0]

        def quantile_ms(fraction: float) -> float:
            return latencies[min(int(len(latencies) * fraction), len(latencies) - 1)] / MS

        return Outcome(
            number,
            all_answers.count("served"),
            all_answers.count("refused"),
            all_answers.count("failed"),
            self.good,
            quantile_ms(0.5),
            quantile_ms(0.99),
            quantile_ms(0.999),
            self.counters["attempts"],
            self.counters["copies"],
            sum(engine.completed_work for engine in self.engines.values()) / MS,
            sum(len(answers) > 1 for answers in self.answers.values()),
            sum(not answers for answers in self.answers.values()),
        )
