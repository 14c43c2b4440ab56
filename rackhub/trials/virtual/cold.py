"""What all gateways of a fleet send to engines that have just started, against what pushes those over.

Real decision modules that share nothing, each with a seed of its own, on one clock; plain engines that answer after a
query's work. Traffic is uneven over the gateways, the start is told to each at another time, engines come one by one or
in a batch, and attempts fail, which makes further ones. Seeded, and the same every time.
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
TAUGHT, DOWN, SEEN = SECOND, 2 * SECOND, 5 * SECOND  # until engines are gone; are back; after that
BEGUN = 1_000 * SECOND
LOST = 1 * SECOND  # after the start one more engine dies, and all that it ran goes elsewhere


class Site(msgspec.Struct, frozen=True):
    """Works in ms from and to, with the shares of the classes; the rest as a site's settings tell it."""

    fall_multiple: float
    fall: int
    cold_from: float
    ramp: int
    kinds: tuple[int, ...]
    works: tuple[tuple[str, tuple[float, float], tuple[float, float]], ...]


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
ENGINES = {3: 6, 5: 8, 20: 12, 30: 12, 200: 24}  # by gateways


class Start(msgspec.Struct, frozen=True):
    """One engine's start: its worst window, and how much of its budget it got until it was warm."""

    worst: float  # (sent - N) / sqrt N, N and what was sent in requests of mean work
    calls: float  # the same with each request counted as one
    over: bool  # over N + 2 sqrt N + 2
    used: float
    budget: float  # N of the first window


class Engine:
    def __init__(self, name: str, cores: int):
        self.name, self.cores, self.came_up, self.up = name, cores, 0, True
        self.busy = 0
        self.got: list[tuple[int, float]] = []  # (time, work) since it came up


class Fleet:
    """One trial: `play` gives the starts."""

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
        self.site, self.draw, self.now, self.order, self.batch = site, random.Random(seed), BEGUN, 0, batch
        self.queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.engines = {f"e{i}": Engine(f"e{i}", site.kinds[i % len(site.kinds)]) for i in range(ENGINES[gateways])}
        uniform = self.draw.uniform
        self.mean = {name: uniform(*works) * MS for name, works, _ in site.works}
        self.shares = [uniform(*share) for _, _, share in site.works]
        told = t.Settings(
            classes=CLASSES,
            tenants=(t.TenantSettings("one"),),
            gateways=gateways,
            kind_cores={str(cores): float(cores) for cores in site.kinds},
            clock_period=5 * MS,
            priorities=True,
            progress_report_interval=SECOND,
            cancel=True,
            max_attempts=3,
            max_retry_after=500 * MS,
            slow_start_initial_capacity=site.cold_from,
            slow_start_duration=site.ramp,
            slow_start_budget_window=site.fall,
            slow_start_budget_multiple=site.fall_multiple,
            load_report_source="piggyback",
        )
        self.controls = [Router(replace(told, instance_index=i), seed * 1_009 + i) for i in range(gateways)]
        self.weights = [self.draw.lognormvariate(0, 0.8) for _ in range(gateways)]  # some get several times the mean
        self.request = sum(self.mean[w[0]] * s for w, s in zip(site.works, self.shares, strict=True)) / sum(self.shares)
        for control in self.controls:  # what it reckons of the works is right: it stakes in full
            for cls in CLASSES:
                for _ in range(60):
                    took = self.mean[cls.name] / cls.threads * self.draw.lognormvariate(-0.125, 0.5)
                    control.context.classes[cls.name].record_latency(took, 1.0)
                    told = took * cls.threads * self.draw.lognormvariate(0, 0.3)
                    control.context.classes[cls.name].cost_fit.add(told if estimates else 0, took)
        self.apart = self.request / (load * sum(e.cores for e in self.engines.values()))
        self.estimates, self.fails, self.asked = estimates, fails, 0
        self.queries: dict[str, tuple[str, float, int, int]] = {}  # class, work, drop dead, attempts
        self.out: dict[str, dict[tuple[int, str, int], None]] = defaultdict(dict)  # by engine: (gateway, query, number)

    def at(self, when: int, call: Callable[..., None], *words: Any) -> None:
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, call, words))

    def play(self) -> list[Start]:
        names = list(self.engines)
        come = names[: len(names) // 2] if self.batch else names[:1]
        leave, begin = BEGUN + TAUGHT, BEGUN + TAUGHT + DOWN
        for gateway in range(len(self.controls)):
            self.tell(gateway, "Complete", names)
            self.at(leave + self.spread(), self.tell, gateway, "Partial", come)
            self.at(begin + self.spread(), self.tell, gateway, "Partial", come)
        self.at(leave, self.gone, come)
        self.at(begin, self.back, come)
        self.at(begin + LOST, self.gone, names[-1:])
        end = begin + SEEN
        self.at(BEGUN, self.arrive, end)
        while self.queue and self.queue[0][0] < end:
            self.now, _, call, words = heapq.heappop(self.queue)
            call(*words)
        return [self.judge(self.engines[name], begin) for name in come]

    def spread(self) -> int:
        return int(self.draw.uniform(0, 1.5 * SECOND))

    def tell(self, gateway: int, scope: str, names: list[str]) -> None:
        entries = tuple(
            t.EngineEntry(e.name, kind=str(e.cores), state="Ready" if e.up else "Gone", started_at=e.came_up)
            for e in map(self.engines.__getitem__, names)
        )
        self.do(gateway, t.EndpointList(scope, entries))

    def gone(self, names: list[str]) -> None:
        for name in names:
            self.engines[name].up = False
            for attempt in list(self.out[name]):
                self.end(name, attempt, "RST")

    def back(self, names: list[str]) -> None:
        for name in names:
            self.engines[name].up, self.engines[name].came_up, self.engines[name].got = True, self.now, []

    def arrive(self, end: int) -> None:
        self.asked += 1
        gateway = self.draw.choices(range(len(self.controls)), self.weights)[0]
        name = self.draw.choices([cls for cls, _, _ in self.site.works], self.shares)[0]
        work = self.mean[name] * self.draw.lognormvariate(-0.125, 0.5)
        cls = next(cls for cls in CLASSES if cls.name == name)
        query = f"q{self.asked}"
        self.queries[query] = (name, work, self.now + cls.deadline, 0)
        told = int(work * self.draw.lognormvariate(0, 0.3)) if self.estimates else 0
        self.at(self.now + int(self.draw.expovariate(1 / self.apart)) + 1, self.arrive, end)
        self.do(gateway, t.QueryReceived(query, name, self.now + cls.deadline, tenant="one", estimate=told))

    def do(self, gateway: int, event: Any) -> None:
        for act in list(self.controls[gateway].handle(self.now, event)):
            if isinstance(act, t.Send):
                self.sent(gateway, act)
            elif isinstance(act, t.Cancel):
                attempt = gateway, act.query, act.attempt
                for name in [name for name, running in self.out.items() if attempt in running]:
                    self.at(self.now, self.end, name, attempt, "CXL")

    def sent(self, gateway: int, send: t.Send) -> None:
        name, work, due, number = self.queries[send.query]
        self.queries[send.query] = (name, work, due, number + 1)
        engine, attempt = self.engines[send.engine], (gateway, send.query, number)
        self.out[engine.name][attempt] = None
        engine.got.append((self.now, work))  # also what it turns away
        threads = next(cls.threads for cls in CLASSES if cls.name == name)
        engine.busy = len(self.out[engine.name])
        crowd = max(engine.busy / engine.cores / self.warm(engine, self.now), 1)
        fails = self.draw.random() < self.fails
        took = 20 * MS if fails else int(work / threads * crowd)
        if not engine.up:
            self.at(self.now + MS, self.end, engine.name, attempt, "NOCONN")
        else:
            self.at(self.now + max(took, 1), self.end, engine.name, attempt, "RST" if fails else "GOOD")

    def end(self, engine: str, attempt: tuple[int, str, int], reason: str) -> None:
        if attempt not in self.out[engine]:
            return
        del self.out[engine][attempt]
        gateway, query, number = attempt
        report = {"busy_reqs": float(len(self.out[engine])), "pending": 0.0} if reason == "GOOD" else {}
        sent = self.controls[gateway].context.attempts.get((query, number))
        self.do(
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

    def warm(self, engine: Engine, now: float) -> float:
        age = max(now - engine.came_up, 0) if engine.came_up else self.site.ramp
        return min(self.site.cold_from + (1 - self.site.cold_from) * age / self.site.ramp, 1)

    def judge(self, engine: Engine, begin: int) -> Start:
        """Every window that ends with something sent; its budget goes by the mean capacity in it."""
        worst, calls, over, each = -math.inf, -math.inf, False, self.request
        window: deque[tuple[int, float]] = deque()
        sent = 0.0
        for until, work in engine.got:
            window.append((until, work))
            sent += work / each
            while window[0][0] <= until - self.site.fall:
                sent -= window.popleft()[1] / each
            capacity = engine.cores * (self.warm(engine, until) + self.warm(engine, until - self.site.fall)) / 2
            budget = self.site.fall_multiple * capacity * self.site.fall / each
            worst = max(worst, (sent - budget) / math.sqrt(budget))
            calls = max(calls, (len(window) - budget) / math.sqrt(budget))
            over = over or sent > budget + 2 * math.sqrt(budget) + 2
        warm = (self.site.cold_from + self.warm(engine, begin + SEEN)) / 2
        whole = self.site.fall_multiple * engine.cores * SEEN * warm
        first = self.site.fall_multiple * engine.cores * self.site.cold_from * self.site.fall / each
        return Start(worst, calls, over, sum(work for _, work in engine.got) / whole, first)


def starts(
    site: str, gateways: int, trials: int, load: float = 1.2, fails: float = 0.04, first: int = 0
) -> Iterator[Start]:
    """A batch and a single engine in turn; estimates are told in two of four."""
    for seed in range(first, first + trials):
        yield from Fleet(SITES[site], gateways, seed, seed % 2 == 0, load, seed % 4 < 2, fails).play()


class Row(msgspec.Struct, frozen=True):
    site: str
    gateways: int
    starts: int
    budget: float  # N of the first window
    worst: float  # of all starts, (sent - N) / sqrt N in the worst window
    mean: float
    over: float  # share of starts over N + 2 sqrt N + 2
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
