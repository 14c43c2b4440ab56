"""Simulates the work that all gateways send to engines in slow start, compared with the slow-start budget.

The decision modules are the real ones. They share nothing but the clock, and each has its own seed; simulated engines
answer after a query's work. Traffic is uneven over the gateways, each gateway learns of a start at a different time,
engines start alone or in a batch, and failed attempts cause retries. A seed always gives the same run.
"""

import heapq
import math
import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from dataclasses import replace
from statistics import mean
from typing import Any

import msgspec

from rackhub import interface as t
from rackhub.policy.router import Router

MS, SECOND = 1_000, 1_000_000
# Time before the engines stop; until they restart; observed after the restart.
STOP_DELAY, DOWN_TIME, OBSERVED_TIME = SECOND, 2 * SECOND, 5 * SECOND
START_TIME = 1_000 * SECOND
# Another engine fails this long after the restart; its attempts are retried on other engines.
SECOND_FAILURE_DELAY = 1 * SECOND


class Site(msgspec.Struct, frozen=True):
    """Settings of a simulated site. `workloads`: class, range of mean work in ms, range of request share."""

    budget_multiple: float
    budget_window: int
    initial_capacity: float
    warm_up_time: int
    core_counts: tuple[int, ...]
    workloads: tuple[tuple[str, tuple[float, float], tuple[float, float]], ...]


SITES = {
    "kigali": Site(
        2.0,
        3 * SECOND,
        0.32,
        13 * SECOND,
        (8, 8, 16),
        (
            ("lookup", (96, 200), (11, 18)),
            ("report", (2_400, 5_000), (2.1, 2.8)),
            ("load", (3_200, 6_700), (0.57, 1.4)),
        ),
    ),
    "banqiao": Site(
        4.0,
        3 * SECOND // 2,
        0.32,
        15 * SECOND,
        (16,),
        (
            ("lookup", (150, 310), (9.4, 17)),
            ("report", (1_900, 3_800), (2.2, 3)),
            ("load", (1_900, 3_900), (0.51, 1.4)),
        ),
    ),
}
CLASSES = (
    t.ClassSettings(
        "lookup",
        deadline=3 * SECOND,
        latency_objective=600 * MS,
        latency_objective_multiplier=1.5,
        idempotency="retryable",
    ),
    t.ClassSettings(
        "report",
        deadline=20 * SECOND,
        latency_objective=3 * SECOND,
        latency_objective_multiplier=2.5,
        idempotency="retryable",
        threads=3,
        priority_weight=7.5,
    ),
    t.ClassSettings(
        "load",
        deadline=25 * SECOND,
        latency_objective=3 * SECOND,
        latency_objective_multiplier=2.5,
        idempotency="dedup",
        idempotency_scope="all",
        idempotency_window=25 * SECOND,
        threads=2,
        priority_weight=10.0,
        locks_tables=True,
    ),
)
ENGINES = {3: 6, 5: 8, 20: 12, 30: 12, 200: 24}  # number of engines by number of gateways


class Start(msgspec.Struct, frozen=True):
    """Result for one engine start: its worst window, and the fraction of its budget that was used."""

    worst: float  # (sent - N) / sqrt N; N and the work sent are in requests of mean work
    calls: float  # as `worst`, but each request counts as one
    over: bool  # a window exceeded N + 2 sqrt N + 2
    used: float
    budget: float  # N of the first window


class Engine:
    def __init__(self, name: str, cores: int):
        self.name, self.cores, self.came_up, self.up = name, cores, 0, True
        self.busy = 0
        self.attempts_sent: list[tuple[int, float]] = []  # (time, work) of attempts since the last start


class Fleet:
    """One trial; `play` runs it and returns the result for each engine start."""

    def __init__(
        self,
        site: Site,
        gateways: int,
        seed: int,
        batch: bool,
        load: float = 1.2,
        estimates: bool = True,
        fails: float = 0.04,
    ):
        self.site, self.rng, self.now, self.event_count, self.batch = site, random.Random(seed), START_TIME, 0, batch
        self.events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.engines = {
            f"e{i}": Engine(f"e{i}", site.core_counts[i % len(site.core_counts)]) for i in range(ENGINES[gateways])
        }
        uniform = self.rng.uniform
        self.mean_work = {name: uniform(*workloads) * MS for name, workloads, _ in site.workloads}
        self.shares = [uniform(*share) for _, _, share in site.workloads]
        settings = t.Settings(
            classes=CLASSES,
            tenants=(t.TenantSettings("one"),),
            gateways=gateways,
            kind_cores={str(cores): float(cores) for cores in site.core_counts},
            clock_period=5 * MS,
            priorities=True,
            progress_report_interval=SECOND,
            cancel=True,
            max_attempts=3,
            max_retry_after=500 * MS,
            slow_start_initial_capacity=site.initial_capacity,
            slow_start_duration=site.warm_up_time,
            slow_start_budget_window=site.budget_window,
            slow_start_budget_multiple=site.budget_multiple,
            load_report_source="piggyback",
        )
        self.routers = [Router(replace(settings, instance_index=i), seed * 1_009 + i) for i in range(gateways)]
        # Some gateways get several times the mean traffic.
        self.weights = [self.rng.lognormvariate(0, 0.8) for _ in range(gateways)]
        self.mean_request_work = sum(
            self.mean_work[w[0]] * s for w, s in zip(site.workloads, self.shares, strict=True)
        ) / sum(self.shares)
        for router in self.routers:  # the work estimates are accurate, so the full estimate is reserved
            for cls in CLASSES:
                for _ in range(60):
                    took = self.mean_work[cls.name] / cls.threads * self.rng.lognormvariate(-0.125, 0.5)
                    router.context.classes[cls.name].record_latency(took, 1.0)
                    estimate = took * cls.threads * self.rng.lognormvariate(0, 0.3)
                    router.context.classes[cls.name].cost_fit.add(estimate if estimates else 0, took)
        self.mean_interval = self.mean_request_work / (load * sum(e.cores for e in self.engines.values()))
        self.estimates, self.fails, self.request_count = estimates, fails, 0
        self.queries: dict[str, tuple[str, float, int, int]] = {}  # class, work, deadline, attempts
        # By engine: (gateway, query, attempt number).
        self.in_flight: dict[str, dict[tuple[int, str, int], None]] = defaultdict(dict)

    def schedule(self, when: int, call: Callable[..., None], *arguments: Any) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (when, self.event_count, call, arguments))

    def play(self) -> list[Start]:
        names = list(self.engines)
        restarted = names[: len(names) // 2] if self.batch else names[:1]
        stop_at, restart_at = START_TIME + STOP_DELAY, START_TIME + STOP_DELAY + DOWN_TIME
        for gateway in range(len(self.routers)):
            self.update_endpoints(gateway, "Complete", names)
            self.schedule(stop_at + self.notification_delay(), self.update_endpoints, gateway, "Partial", restarted)
            self.schedule(restart_at + self.notification_delay(), self.update_endpoints, gateway, "Partial", restarted)
        self.schedule(stop_at, self.stop_engines, restarted)
        self.schedule(restart_at, self.restart_engines, restarted)
        self.schedule(restart_at + SECOND_FAILURE_DELAY, self.stop_engines, names[-1:])
        end = restart_at + OBSERVED_TIME
        self.schedule(START_TIME, self.arrive, end)
        while self.events and self.events[0][0] < end:
            self.now, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        return [self.evaluate(self.engines[name], restart_at) for name in restarted]

    def notification_delay(self) -> int:
        return int(self.rng.uniform(0, 1.5 * SECOND))

    def update_endpoints(self, gateway: int, scope: str, names: list[str]) -> None:
        entries = tuple(
            t.EngineEntry(e.name, kind=str(e.cores), state="Ready" if e.up else "Gone", started_at=e.came_up)
            for e in map(self.engines.__getitem__, names)
        )
        self.handle_event(gateway, t.EndpointList(scope, entries))

    def stop_engines(self, names: list[str]) -> None:
        for name in names:
            self.engines[name].up = False
            for attempt in list(self.in_flight[name]):
                self.complete_attempt(name, attempt, "RST")

    def restart_engines(self, names: list[str]) -> None:
        for name in names:
            self.engines[name].up, self.engines[name].came_up, self.engines[name].attempts_sent = True, self.now, []

    def arrive(self, end: int) -> None:
        self.request_count += 1
        gateway = self.rng.choices(range(len(self.routers)), self.weights)[0]
        name = self.rng.choices([cls for cls, _, _ in self.site.workloads], self.shares)[0]
        work = self.mean_work[name] * self.rng.lognormvariate(-0.125, 0.5)
        cls = next(cls for cls in CLASSES if cls.name == name)
        query = f"q{self.request_count}"
        self.queries[query] = (name, work, self.now + cls.deadline, 0)
        estimate = int(work * self.rng.lognormvariate(0, 0.3)) if self.estimates else 0
        self.schedule(self.now + int(self.rng.expovariate(1 / self.mean_interval)) + 1, self.arrive, end)
        self.handle_event(
            gateway, t.QueryReceived(query, name, self.now + cls.deadline, tenant="one", estimate=estimate)
        )

    def handle_event(self, gateway: int, event: Any) -> None:
        for action in list(self.routers[gateway].handle(self.now, event)):
            if isinstance(action, t.Send):
                self.start_attempt(gateway, action)
            elif isinstance(action, t.Cancel):
                attempt = gateway, action.query, action.attempt
                for name in [name for name, running in self.in_flight.items() if attempt in running]:
                    self.schedule(self.now, self.complete_attempt, name, attempt, "CXL")

    def start_attempt(self, gateway: int, send: t.Send) -> None:
        name, work, due, number = self.queries[send.query]
        self.queries[send.query] = (name, work, due, number + 1)
        engine, attempt = self.engines[send.engine], (gateway, send.query, number)
        self.in_flight[engine.name][attempt] = None
        engine.attempts_sent.append((self.now, work))  # includes attempts that the engine rejects
        threads = next(cls.threads for cls in CLASSES if cls.name == name)
        engine.busy = len(self.in_flight[engine.name])
        slowdown = max(engine.busy / engine.cores / self.capacity_fraction(engine, self.now), 1)
        fails = self.rng.random() < self.fails
        took = 20 * MS if fails else int(work / threads * slowdown)
        if not engine.up:
            self.schedule(self.now + MS, self.complete_attempt, engine.name, attempt, "NOCONN")
        else:
            self.schedule(
                self.now + max(took, 1), self.complete_attempt, engine.name, attempt, "RST" if fails else "GOOD"
            )

    def complete_attempt(self, engine: str, attempt: tuple[int, str, int], reason: str) -> None:
        if attempt not in self.in_flight[engine]:
            return
        del self.in_flight[engine][attempt]
        gateway, query, number = attempt
        report = {"busy_reqs": float(len(self.in_flight[engine])), "pending": 0.0} if reason == "GOOD" else {}
        sent = self.routers[gateway].context.attempts.get((query, number))
        self.handle_event(
            gateway,
            t.AttemptCompleted(
                query,
                number,
                reason,
                settled=reason == "GOOD",
                engine=engine,
                report=report,
                elapsed=self.now - sent.sent_at if sent else 0,
            ),
        )

    def capacity_fraction(self, engine: Engine, now: float) -> float:
        age = max(now - engine.came_up, 0) if engine.came_up else self.site.warm_up_time
        return min(self.site.initial_capacity + (1 - self.site.initial_capacity) * age / self.site.warm_up_time, 1)

    def evaluate(self, engine: Engine, restart_at: int) -> Start:
        """Check each window that ends with an attempt; its budget follows the mean capacity in the window."""
        worst, calls, over, each = -math.inf, -math.inf, False, self.mean_request_work
        window: deque[tuple[int, float]] = deque()
        sent = 0.0
        for until, work in engine.attempts_sent:
            window.append((until, work))
            sent += work / each
            while window[0][0] <= until - self.site.budget_window:
                sent -= window.popleft()[1] / each
            capacity = (
                engine.cores
                * (
                    self.capacity_fraction(engine, until)
                    + self.capacity_fraction(engine, until - self.site.budget_window)
                )
                / 2
            )
            budget = self.site.budget_multiple * capacity * self.site.budget_window / each
            worst = max(worst, (sent - budget) / math.sqrt(budget))
            calls = max(calls, (len(window) - budget) / math.sqrt(budget))
            over = over or sent > budget + 2 * math.sqrt(budget) + 2
        warm = (self.site.initial_capacity + self.capacity_fraction(engine, restart_at + OBSERVED_TIME)) / 2
        whole = self.site.budget_multiple * engine.cores * OBSERVED_TIME * warm
        first = self.site.budget_multiple * engine.cores * self.site.initial_capacity * self.site.budget_window / each
        return Start(worst, calls, over, sum(work for _, work in engine.attempts_sent) / whole, first)


def starts(
    site: str, gateways: int, trials: int, load: float = 1.2, fails: float = 0.04, first: int = 0
) -> Iterator[Start]:
    """Alternate between a batch and a single engine; two of every four trials send estimates."""
    for seed in range(first, first + trials):
        yield from Fleet(SITES[site], gateways, seed, seed % 2 == 0, load, seed % 4 < 2, fails).play()


class Row(msgspec.Struct, frozen=True):
    site: str
    gateways: int
    starts: int
    budget: float  # N of the first window
    worst: float  # maximum over all starts of (sent - N) / sqrt N in the worst window
    mean: float
    over: float  # fraction of starts with a window over N + 2 sqrt N + 2
    used: float


def measure(site: str, gateways: int, trials: int, load: float = 1.2, first: int = 0) -> Row:
    found = list(starts(site, gateways, trials, load, first=first))
    worst = [start.worst for start in found]
    return Row(
        site,
        gateways,
        len(found),
        mean(start.budget for start in found),
        max(worst),
        mean(worst),
        mean(start.over for start in found),
        mean(start.used for start in found),
    )
