"""A whole fleet in virtual time: the real cores, decision modules, resolver clients and pools of many coordinators on
one clock, plain engines and a plain resolver. It shows what is harmless in one coordinator and harmful in forty.

An engine takes so many connections, shares its cores among what it runs, tells its load with each answer, sends a note
each second; it can die with a reset of all that is open, and comes back cold, ramping up in a straight line. The
resolver tells of both some time later, and can fall silent. Seeded, and the same every time.
"""

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from rackhub import interface as t
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Attempt, Query, Reply
from rackhub.core.source import EndpointSnapshot
from rackhub.core.timers import Timers
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.loop import ReactorWaker
from rackhub.net.poll_schedule import PollSchedule
from rackhub.net.pool import EnginePool, EnginePools

MS, SECOND = 1_000, 1_000_000
START = 1_000 * SECOND
WIRE = 0.0004  # seconds one way, to engines and resolver
LOOKUP = t.ClassSettings(
    "lookup", deadline=3 * SECOND, latency_objective=600 * MS, latency_objective_multiplier=1.5, idempotency="retryable"
)
REPORT = t.ClassSettings(
    "report",
    deadline=20 * SECOND,
    latency_objective=3 * SECOND,
    latency_objective_multiplier=2.5,
    idempotency="retryable",
    threads=3,
    priority_weight=7.5,
)
WORK = {"lookup": 150 * MS, "report": 3_500 * MS}  # the mean, of all threads together


class Call:
    """One call to come, as a reactor gives it."""

    __slots__ = ("at", "order", "call", "words")

    def __init__(self, at: float, order: int, call: Callable[..., None], words: tuple[Any, ...]):
        self.at, self.order, self.words = at, order, words
        self.call: Callable[..., None] | None = call

    def __lt__(self, other: "Call") -> bool:
        return (self.at, self.order) < (other.at, other.order)

    def active(self) -> bool:
        return self.call is not None

    def cancel(self) -> None:
        self.call = None


class Clock:
    """A reactor's time in the rig's hands; Twisted's own for tests sorts all calls at each new one."""

    def __init__(self) -> None:
        self._now, self._order = 0.0, 0
        self._calls: list[Call] = []

    def seconds(self) -> float:
        return self._now

    def callLater(self, delay: float, call: Callable[..., None], *words: Any) -> Call:
        self._order += 1
        made = Call(self._now + delay, self._order, call, words)
        heapq.heappush(self._calls, made)
        return made

    def step(self) -> None:
        due = heapq.heappop(self._calls)
        self._now = max(self._now, due.at)
        if due.call is not None:
            call, due.call = due.call, None
            call(*due.words)


class Scene(msgspec.Struct, frozen=True):
    """What is played. Times are seconds from the start."""

    coordinators: int = 40
    engines: int = 30
    zones: int = 3
    cores: float = 8.0
    places: int = 90  # connections that an engine takes
    load: float = 0.75  # of what all cores can do
    seconds: float = 18.0
    lost: tuple[float, float] | None = (4.0, 9.0)  # when zone 0 dies, and when it is back
    told_after: float = 3.5
    silent: tuple[float, float] | None = (13.5, 16.5)  # no answer of the resolver
    cold_from: float = 0.32
    ramp: float = 13.0
    multiple: float = 2.0
    fall: float = 3.0


class Report(msgspec.Struct):
    """Counts over the whole fleet, by second where they are lists."""

    requests: int
    served: int
    refused: int
    failed: int
    answered_twice: int
    unanswered: int
    list_calls: list[int]
    dials: list[int]
    dials_refused: list[int]  # by engines that are dead or full
    attempts: list[int]
    further: list[int]
    most_connections: int  # at one engine
    after_told: int  # attempts to an engine more than 1 s after its coordinator was told that it is gone
    cold_work: float  # the most that a cold engine was sent in any window, as a part of what pushes it over


class Engine:
    """One engine process, and the machine that it runs on."""

    def __init__(self, world: "World", name: str, zone: str):
        self.world, self.name, self.zone = world, name, zone
        self.up, self.came_up = True, 0.0
        self.links: set[Wire] = set()
        self.running: dict[Attempt, list[float]] = {}  # work left, all work; seconds on one core
        self.sent: list[tuple[float, float]] = []  # when, and the usual work of its class: while cold
        self._since, self._turn = 0.0, 0

    def warm(self) -> float:
        scene, age = self.world.scene, self.world.time() - self.came_up
        return 1.0 if not self.came_up else min(scene.cold_from + (1 - scene.cold_from) * age / scene.ramp, 1.0)

    def settle(self) -> None:
        now = self.world.time()
        passed, self._since = now - self._since, now
        threads = sum(3 if attempt.query.cls == "report" else 1 for attempt in self.running)
        share = min(1.0, self.world.scene.cores * self.warm() / max(threads, 1))
        for attempt, left in self.running.items():
            left[0] -= passed * share * (3 if attempt.query.cls == "report" else 1)

    def take(self, wire: "Wire", attempt: Attempt) -> None:
        self.settle()
        usual = WORK[attempt.query.cls] / SECOND
        if self.came_up:
            self.sent.append((self.world.time(), usual))
        self.running[attempt] = [attempt.query.estimate / SECOND] * 2
        self.plan()
        self.world.clock.callLater(1.0, self.note, attempt)

    def drop(self, attempt: Attempt) -> None:
        self.settle()
        self.running.pop(attempt, None)
        self.plan()

    def note(self, attempt: Attempt) -> None:
        if attempt in self.running and attempt.connection is not None:
            self.settle()
            left, whole = self.running[attempt]
            attempt.connection.noted(attempt, max(1 - left / whole, 0.0))
            self.world.clock.callLater(1.0, self.note, attempt)

    def plan(self) -> None:
        """Look again when the next one may be through; shares change with each that comes and goes."""
        self._turn += 1
        if self.running:
            threads = sum(3 if attempt.query.cls == "report" else 1 for attempt in self.running)
            share = min(1.0, self.world.scene.cores * self.warm() / threads)
            soonest = min(
                left[0] / (3 if attempt.query.cls == "report" else 1) for attempt, left in self.running.items()
            )
            self.world.clock.callLater(max(soonest / share, 0.0005), self._due, self._turn)

    def _due(self, turn: int) -> None:
        if turn != self._turn:
            return
        self.settle()
        for attempt in [attempt for attempt, left in self.running.items() if left[0] <= 1e-9]:
            del self.running[attempt]
            if attempt.connection is not None:
                attempt.connection.answered(attempt, len(self.running))
        self.plan()

    def die(self) -> None:
        self.up = False
        self.running.clear()
        self._turn += 1
        for link in list(self.links):
            link.lost()

    def come_back(self) -> None:
        self.up, self.came_up, self._since = True, self.world.time(), self.world.time()


class Wire:
    """One connection to an engine, as the pool sees one."""

    def __init__(self, site: "Site", pool: EnginePool):
        self.site, self.pool, self.world = site, pool, site.world
        self.engine = self.world.engines[pool.name]
        self.open: dict[Attempt, bool] = {}  # and whether it has left
        self.closed = self.up = self.retired = False
        self.used = site.now()
        self.world.count("dials")
        self.world.clock.callLater(2 * WIRE, self._dialled)

    def _dialled(self) -> None:
        if not self.engine.up or len(self.engine.links) >= self.world.scene.places:
            self.world.count("dials_refused")
            return self.pool.dial_failed(self)
        self.up = True
        self.engine.links.add(self)
        self.world.most = max(self.world.most, len(self.engine.links))
        for attempt in list(self.open):
            self._write(attempt)

    def _write(self, attempt: Attempt) -> None:
        self.open[attempt] = True
        self.world.clock.callLater(WIRE, self._arrive, attempt)

    def _arrive(self, attempt: Attempt) -> None:
        if attempt in self.open and self.engine.up:
            self.engine.take(self, attempt)

    def answered(self, attempt: Attempt, running: int) -> None:
        if self.open.pop(attempt, None) is not None:
            self.used = self.site.now()
            report = {"busy_reqs": float(running), "pending": 0.0}
            self.world.clock.callLater(WIRE, self.site.core.complete_attempt, attempt, "GOOD", report, (b"a\tb\tc\n",))

    def noted(self, attempt: Attempt, share: float) -> None:
        if attempt in self.open:
            self.world.clock.callLater(WIRE, self.site.core.report_progress, attempt, 1, share)

    def lost(self) -> None:
        self.closed, self.up = True, False
        self.engine.links.discard(self)
        self.pool.connection_closed(self)
        ended, self.open = list(self.open), {}
        for attempt in ended:
            self.site.core.complete_attempt(attempt, "RST")

    # ---- what the pool asks

    def accepts(self, attempt: Attempt) -> bool:
        return not self.closed and len(self.open) < 100

    def enqueue(self, attempt: Attempt) -> None:
        attempt.connection, self.open[attempt], self.used = self, False, self.site.now()
        if self.up:
            self._write(attempt)

    def give_up(self, attempt: Attempt) -> None:
        if self.open.pop(attempt, None):
            self.world.clock.callLater(WIRE, self.engine.drop, attempt)
        self.used = self.site.now()
        if self.retired:
            self.close_if_idle()

    def promote(self, attempt: Attempt) -> None: ...

    def close_if_idle(self) -> None:
        if self.up and not self.open:
            self.closed, self.up = True, False
            self.engine.links.discard(self)
            self.pool.connection_closed(self)

    def idle_since(self) -> int:
        return self.used

    def load(self) -> int:
        return len(self.open)

    def retire(self) -> None:
        self.retired = True
        self.close_if_idle()

    def check_timeouts(self, now: int) -> None: ...

    def connect_failed(self) -> None:
        self.closed = True
        ended, self.open = list(self.open), {}
        for attempt in ended:
            self.site.core.complete_attempt(attempt, "NOCONN")


class Site:
    """One coordinator: its clients, its core, its pools and its way of asking the resolver."""

    def __init__(self, world: "World", number: int, settings: t.Settings, limits: Limits):
        self.world, self.random = world, random.Random(number * 1_000 + world.seed)
        self.counters, self.rev = Counters(), 1
        self.core = Coordinator(
            settings, number + 1, self, Timers(self, ReactorWaker(world.clock)), limits, self.counters
        )
        self.pools = EnginePools(
            lambda pool: Wire(self, pool), self, limits, self.counters, self.core, limits.max_connections_per_engine
        )
        self.asking, self._next = PollSchedule(limits, self.random.random), None
        self.gone: dict[str, float] = {}  # engines that it was told are gone, and when
        self._send, self.pools.send = self.pools.send, self.send
        listing = world.listing()
        self.pools.update_endpoints(listing.addresses)
        self.core.start(self.pools, listing.entries, listing.revision)
        world.clock.callLater(self.random.random() * 0.25, self.ask_list)
        world.clock.callLater(0.1, self.sweep)

    def now(self) -> int:
        return START + round(self.world.time() * SECOND)

    def sweep(self) -> None:
        self.pools.sweep()
        self.world.clock.callLater(0.1, self.sweep)

    def send(self, attempt: Attempt) -> None:
        self.world.count("attempts")
        if attempt.number:
            self.world.count("further")
        if self.world.time() - self.gone.get(attempt.engine, 1e9) > 1.0:
            self.world.after_told += 1
        self._send(attempt)

    def ask_list(self) -> None:
        self.world.count("list_calls")
        self._again(self.asking.poll_sent())
        if not self.world.is_silent():
            self.world.clock.callLater(2 * WIRE, self.told, self.world.listing())

    def _again(self, delay: int) -> None:
        if self._next is not None and self._next.active():
            self._next.cancel()
        self._next = self.world.clock.callLater(delay / SECOND, self.ask_list)

    def told(self, listing: EndpointSnapshot) -> None:
        self._again(self.asking.answer_received())
        if listing.revision <= self.rev:
            return
        self.rev = listing.revision
        for name in self.world.engines:
            if name in listing.addresses:
                self.gone.pop(name, None)
            else:
                self.gone.setdefault(name, self.world.time())
        self.core.update_endpoints(listing.entries, listing.revision)
        self.pools.update_endpoints(listing.addresses)

    def request(self) -> None:
        cls = REPORT if self.random.random() < 0.15 else LOOKUP
        mean = WORK[cls.name]
        work = max(round(mean * self.random.lognormvariate(-0.32, 0.8)), MS)  # mean 1, so that loads add up
        number = self.world.requests = self.world.requests + 1
        self.core.submit(
            Query(
                f"{number:016x}",
                cls.name,
                b"select",
                self.now() + cls.deadline,
                self.world,
                estimate=work,
                tenant="one",
                tables=self.random.randrange(50),
            )
        )


class World(Reply):
    """The clock, the engines, the resolver, and what is counted."""

    def __init__(self, scene: Scene, seed: int = 1, limits: Limits | None = None):
        self.scene, self.seed, self.clock, self.random = scene, seed, Clock(), random.Random(seed)
        self.counts: dict[str, Counter[int]] = defaultdict(Counter)
        self.requests = self.most = self.after_told = 0
        self.answers: Counter[str] = Counter()
        self.engines: dict[str, Engine] = {}
        for i in range(scene.engines):
            name = f"e{i:03}"
            self.engines[name] = Engine(self, name, f"z{i % scene.zones}")
        self.history: list[tuple[float, EndpointSnapshot]] = []
        self._list()
        settings = t.Settings(
            classes=(LOOKUP, REPORT),
            tenants=(t.TenantSettings("one"),),
            gateways=scene.coordinators,
            kind_cores={"std": scene.cores},
            clock_period=5 * MS,
            priorities=True,
            progress_report_interval=SECOND,
            cancel=True,
            max_attempts=3,
            max_retry_after=500 * MS,
            load_report_source="piggyback",
            slow_start_initial_capacity=scene.cold_from,
            slow_start_duration=int(scene.ramp * SECOND),
            slow_start_budget_window=int(scene.fall * SECOND),
            slow_start_budget_multiple=scene.multiple,
        )
        self.sites = [Site(self, i, settings, limits or Limits()) for i in range(scene.coordinators)]

    def time(self) -> float:
        return self.clock.seconds()

    def count(self, what: str) -> None:
        self.counts[what][int(self.time())] += 1

    def is_silent(self) -> bool:
        return self.scene.silent is not None and self.scene.silent[0] <= self.time() < self.scene.silent[1]

    def listing(self) -> EndpointSnapshot:
        """As the resolver knows it by now."""
        return [listing for due, listing in self.history if due <= self.time()][-1]

    def _list(self, after: float = 0.0) -> None:
        there = [engine for engine in self.engines.values() if engine.up]
        entries = tuple(
            t.EngineEntry(
                engine.name,
                engine.zone,
                "std",
                0,
                "Ready",
                1.0,
                START + round(engine.came_up * SECOND) if engine.came_up else 0,
            )
            for engine in there
        )
        self.history.append(
            (
                self.time() + after,
                EndpointSnapshot(len(self.history) + 1, entries, {engine.name: (engine.name, 1) for engine in there}),
            )
        )

    def _zone(self, back: bool) -> None:
        for engine in self.engines.values():
            if engine.zone == "z0":
                engine.come_back() if back else engine.die()
        self._list(self.scene.told_after)

    # what clients hear
    def served(self, query: Query, rows: Sequence[bytes]) -> None:
        self._answer(query, "served")

    def rejected(self, query: Query, backoff: int) -> None:
        self._answer(query, "refused")

    def failed(self, query: Query, why: str) -> None:
        self._answer(query, "failed")

    def _answer(self, query: Query, how: str) -> None:
        self.answers["twice" if query.tag else how] += 1
        query.tag = how

    def run(self) -> Report:
        scene = self.scene
        mean = 0.85 * WORK["lookup"] + 0.15 * WORK["report"]
        rate = scene.load * scene.engines * scene.cores / (mean / SECOND)
        at = 0.0
        while at < scene.seconds:  # drawn ahead: no answer slows what comes
            at += self.random.expovariate(rate)
            self.clock.callLater(at, self.random.choice(self.sites).request)
        if scene.lost:
            self.clock.callLater(scene.lost[0], self._zone, False)
            self.clock.callLater(scene.lost[1], self._zone, True)
        while self.time() < scene.seconds + 21 and (
            self.time() < scene.seconds or sum(self.answers.values()) < self.requests
        ):
            self.clock.step()
        seconds = range(int(scene.seconds))
        by_second = {
            what: [self.counts[what][second] for second in seconds]
            for what in ("list_calls", "dials", "dials_refused", "attempts", "further")
        }
        told = sum(self.answers[how] for how in ("served", "refused", "failed"))
        return Report(
            self.requests,
            self.answers["served"],
            self.answers["refused"],
            self.answers["failed"],
            self.answers["twice"],
            self.requests - told,
            most_connections=self.most,
            after_told=self.after_told,
            cold_work=self._cold_work(),
            **by_second,
        )

    def _cold_work(self) -> float:
        """The most that was sent to a cold engine within any window of the rule, against what it may be sent."""
        scene, worst = self.scene, 0.0
        for engine in self.engines.values():
            for begin, (since, _) in enumerate(engine.sent):
                age = since - engine.came_up
                if age < scene.ramp:
                    work = sum(usual for when, usual in engine.sent[begin:] if when < since + scene.fall)
                    warm = min(scene.cold_from + (1 - scene.cold_from) * (age + scene.fall / 2) / scene.ramp, 1.0)
                    worst = max(worst, work / (scene.multiple * scene.cores * warm * scene.fall))
        return worst
