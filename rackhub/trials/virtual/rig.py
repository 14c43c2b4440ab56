"""Simulates a whole fleet in virtual time, to find effects that are harmless in one coordinator and harmful in forty.

Cores, decision modules, resolver clients and pools of many coordinators are the real ones, on one clock; engines and
resolver are simulated. An engine has a connection limit, shares its cores among its attempts, reports its load with
each answer and progress each second. When it fails, all its connections are reset; it restarts in slow start, with
capacity growing linearly. The resolver reports both after a delay, and can stop answering. A seed always gives the
same run.
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
NETWORK_DELAY = 0.0004  # one-way network delay in seconds, to engines and resolver
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
WORK = {"lookup": 150 * MS, "report": 3_500 * MS}  # mean work of a request, summed over its threads


class DelayedCall:
    """A delayed call, with the interface of Twisted's."""

    __slots__ = ("at", "order", "call", "arguments")

    def __init__(self, at: float, order: int, call: Callable[..., None], arguments: tuple[Any, ...]):
        self.at, self.order, self.arguments = at, order, arguments
        self.call: Callable[..., None] | None = call

    def __lt__(self, other: "DelayedCall") -> bool:
        return (self.at, self.order) < (other.at, other.order)

    def active(self) -> bool:
        return self.call is not None

    def cancel(self) -> None:
        self.call = None


class Clock:
    """A simulated reactor clock. Twisted's `task.Clock` sorts all calls whenever one is added."""

    def __init__(self) -> None:
        self._now, self._order = 0.0, 0
        self._calls: list[DelayedCall] = []

    def seconds(self) -> float:
        return self._now

    def callLater(self, delay: float, call: Callable[..., None], *arguments: Any) -> DelayedCall:
        self._order += 1
        delayed = DelayedCall(self._now + delay, self._order, call, arguments)
        heapq.heappush(self._calls, delayed)
        return delayed

    def step(self) -> None:
        due = heapq.heappop(self._calls)
        self._now = max(self._now, due.at)
        if due.call is not None:
            call, due.call = due.call, None
            call(*due.arguments)


class Scene(msgspec.Struct, frozen=True):
    """Parameters of a run. Times are in seconds from the start."""

    coordinators: int = 40
    engines: int = 30
    zones: int = 3
    cores: float = 8.0
    places: int = 90  # maximum connections per engine
    load: float = 0.75  # fraction of the capacity of all cores
    seconds: float = 18.0
    lost: tuple[float, float] | None = (4.0, 9.0)  # when zone 0 fails, and when it restarts
    told_after: float = 3.5
    silent: tuple[float, float] | None = (13.5, 16.5)  # when the resolver does not answer
    cold_from: float = 0.32
    ramp: float = 13.0
    multiple: float = 2.0
    fall: float = 3.0


class Report(msgspec.Struct):
    """Counts over the whole fleet; lists have one value per second."""

    requests: int
    served: int
    refused: int
    failed: int
    answered_twice: int
    unanswered: int
    list_calls: list[int]
    dials: list[int]
    dials_refused: list[int]  # refused by engines that are down or full
    attempts: list[int]
    further: list[int]
    most_connections: int  # maximum connections at one engine
    after_told: int  # attempts to an engine more than 1 s after its coordinator was notified of its removal
    cold_work: float  # maximum work sent to an engine in slow start in any window, as a fraction of its budget


class Engine:
    """An engine process and its machine."""

    def __init__(self, world: "World", name: str, zone: str):
        self.world, self.name, self.zone = world, name, zone
        self.up, self.came_up = True, 0.0
        self.connections: set[Connection] = set()
        self.running: dict[Attempt, list[float]] = {}  # [remaining work, total work] in core-seconds
        self.sent: list[tuple[float, float]] = []  # (time, mean work of the class) of each attempt since a restart
        self._settled_at, self._schedule_number = 0.0, 0

    def capacity_fraction(self) -> float:
        scene, age = self.world.scene, self.world.time() - self.came_up
        return 1.0 if not self.came_up else min(scene.cold_from + (1 - scene.cold_from) * age / scene.ramp, 1.0)

    def settle(self) -> None:
        now = self.world.time()
        passed, self._settled_at = now - self._settled_at, now
        threads = sum(3 if attempt.query.cls == "report" else 1 for attempt in self.running)
        share = min(1.0, self.world.scene.cores * self.capacity_fraction() / max(threads, 1))
        for attempt, left in self.running.items():
            left[0] -= passed * share * (3 if attempt.query.cls == "report" else 1)

    def take(self, connection: "Connection", attempt: Attempt) -> None:
        self.settle()
        mean_work = WORK[attempt.query.cls] / SECOND
        if self.came_up:
            self.sent.append((self.world.time(), mean_work))
        self.running[attempt] = [attempt.query.estimate / SECOND] * 2
        self.schedule_completion()
        self.world.clock.callLater(1.0, self.report_progress, attempt)

    def drop(self, attempt: Attempt) -> None:
        self.settle()
        self.running.pop(attempt, None)
        self.schedule_completion()

    def report_progress(self, attempt: Attempt) -> None:
        if attempt in self.running and attempt.connection is not None:
            self.settle()
            left, whole = self.running[attempt]
            attempt.connection.progress_received(attempt, max(1 - left / whole, 0.0))
            self.world.clock.callLater(1.0, self.report_progress, attempt)

    def schedule_completion(self) -> None:
        """Schedule the next completion; each start and end of an attempt changes the shares of the cores."""
        self._schedule_number += 1
        if self.running:
            threads = sum(3 if attempt.query.cls == "report" else 1 for attempt in self.running)
            share = min(1.0, self.world.scene.cores * self.capacity_fraction() / threads)
            soonest = min(
                left[0] / (3 if attempt.query.cls == "report" else 1) for attempt, left in self.running.items()
            )
            self.world.clock.callLater(max(soonest / share, 0.0005), self._due, self._schedule_number)

    def _due(self, schedule_number: int) -> None:
        if schedule_number != self._schedule_number:
            return
        self.settle()
        for attempt in [attempt for attempt, left in self.running.items() if left[0] <= 1e-9]:
            del self.running[attempt]
            if attempt.connection is not None:
                attempt.connection.answered(attempt, len(self.running))
        self.schedule_completion()

    def fail(self) -> None:
        self.up = False
        self.running.clear()
        self._schedule_number += 1
        for connection in list(self.connections):
            connection.lost()

    def restart(self) -> None:
        self.up, self.came_up, self._settled_at = True, self.world.time(), self.world.time()


class Connection:
    """A connection to an engine, with the interface that the pool uses."""

    def __init__(self, site: "Site", pool: EnginePool):
        self.site, self.pool, self.world = site, pool, site.world
        self.engine = self.world.engines[pool.name]
        self.open: dict[Attempt, bool] = {}  # value: the request has been sent
        self.closed = self.up = self.retired = False
        self.used = site.now()
        self.world.count("dials")
        self.world.clock.callLater(2 * NETWORK_DELAY, self._dialled)

    def _dialled(self) -> None:
        if not self.engine.up or len(self.engine.connections) >= self.world.scene.places:
            self.world.count("dials_refused")
            return self.pool.dial_failed(self)
        self.up = True
        self.engine.connections.add(self)
        self.world.max_connections = max(self.world.max_connections, len(self.engine.connections))
        for attempt in list(self.open):
            self._write(attempt)

    def _write(self, attempt: Attempt) -> None:
        self.open[attempt] = True
        self.world.clock.callLater(NETWORK_DELAY, self._arrive, attempt)

    def _arrive(self, attempt: Attempt) -> None:
        if attempt in self.open and self.engine.up:
            self.engine.take(self, attempt)

    def answered(self, attempt: Attempt, running: int) -> None:
        if self.open.pop(attempt, None) is not None:
            self.used = self.site.now()
            report = {"busy_reqs": float(running), "pending": 0.0}
            self.world.clock.callLater(
                NETWORK_DELAY, self.site.core.complete_attempt, attempt, "GOOD", report, (b"a\tb\tc\n",)
            )

    def progress_received(self, attempt: Attempt, share: float) -> None:
        if attempt in self.open:
            self.world.clock.callLater(NETWORK_DELAY, self.site.core.report_progress, attempt, 1, share)

    def lost(self) -> None:
        self.closed, self.up = True, False
        self.engine.connections.discard(self)
        self.pool.connection_closed(self)
        ended, self.open = list(self.open), {}
        for attempt in ended:
            self.site.core.complete_attempt(attempt, "RST")

    # ---- connection interface used by the pool

    def accepts(self, attempt: Attempt) -> bool:
        return not self.closed and len(self.open) < 100

    def enqueue(self, attempt: Attempt) -> None:
        attempt.connection, self.open[attempt], self.used = self, False, self.site.now()
        if self.up:
            self._write(attempt)

    def give_up(self, attempt: Attempt) -> None:
        if self.open.pop(attempt, None):
            self.world.clock.callLater(NETWORK_DELAY, self.engine.drop, attempt)
        self.used = self.site.now()
        if self.retired:
            self.close_if_idle()

    def promote(self, attempt: Attempt) -> None: ...

    def close_if_idle(self) -> None:
        if self.up and not self.open:
            self.closed, self.up = True, False
            self.engine.connections.discard(self)
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
    """One coordinator: its clients, core, pools and resolver client."""

    def __init__(self, world: "World", number: int, settings: t.Settings, limits: Limits):
        self.world, self.random = world, random.Random(number * 1_000 + world.seed)
        self.counters, self.rev = Counters(), 1
        self.core = Coordinator(
            settings, number + 1, self, Timers(self, ReactorWaker(world.clock)), limits, self.counters
        )
        self.pools = EnginePools(
            lambda pool: Connection(self, pool),
            self,
            limits,
            self.counters,
            self.core,
            limits.max_connections_per_engine,
        )
        self.poll_schedule, self._next = PollSchedule(limits, self.random.random), None
        self.gone: dict[str, float] = {}  # engines removed from its endpoint list, and when it was notified
        self._send, self.pools.send = self.pools.send, self.send
        snapshot = world.snapshot()
        self.pools.update_endpoints(snapshot.addresses)
        self.core.start(self.pools, snapshot.entries, snapshot.revision)
        world.clock.callLater(self.random.random() * 0.25, self.poll_endpoints)
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

    def poll_endpoints(self) -> None:
        self.world.count("list_calls")
        self._schedule_poll(self.poll_schedule.poll_sent())
        if not self.world.is_resolver_unresponsive():
            self.world.clock.callLater(2 * NETWORK_DELAY, self.endpoints_received, self.world.snapshot())

    def _schedule_poll(self, delay: int) -> None:
        if self._next is not None and self._next.active():
            self._next.cancel()
        self._next = self.world.clock.callLater(delay / SECOND, self.poll_endpoints)

    def endpoints_received(self, snapshot: EndpointSnapshot) -> None:
        self._schedule_poll(self.poll_schedule.answer_received())
        if snapshot.revision <= self.rev:
            return
        self.rev = snapshot.revision
        for name in self.world.engines:
            if name in snapshot.addresses:
                self.gone.pop(name, None)
            else:
                self.gone.setdefault(name, self.world.time())
        self.core.update_endpoints(snapshot.entries, snapshot.revision)
        self.pools.update_endpoints(snapshot.addresses)

    def request(self) -> None:
        cls = REPORT if self.random.random() < 0.15 else LOOKUP
        mean = WORK[cls.name]
        # The random factor has mean 1, which keeps the configured load.
        work = max(round(mean * self.random.lognormvariate(-0.32, 0.8)), MS)
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
    """The clock, the engines, the resolver and the counters."""

    def __init__(self, scene: Scene, seed: int = 1, limits: Limits | None = None):
        self.scene, self.seed, self.clock, self.random = scene, seed, Clock(), random.Random(seed)
        self.counts: dict[str, Counter[int]] = defaultdict(Counter)
        self.requests = self.max_connections = self.after_told = 0
        self.answers: Counter[str] = Counter()
        self.engines: dict[str, Engine] = {}
        for i in range(scene.engines):
            name = f"e{i:03}"
            self.engines[name] = Engine(self, name, f"z{i % scene.zones}")
        self.history: list[tuple[float, EndpointSnapshot]] = []
        self._publish_endpoints()
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

    def is_resolver_unresponsive(self) -> bool:
        return self.scene.silent is not None and self.scene.silent[0] <= self.time() < self.scene.silent[1]

    def snapshot(self) -> EndpointSnapshot:
        """Return the endpoint list that the resolver has now."""
        return [snapshot for due, snapshot in self.history if due <= self.time()][-1]

    def _publish_endpoints(self, after: float = 0.0) -> None:
        live = [engine for engine in self.engines.values() if engine.up]
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
            for engine in live
        )
        self.history.append(
            (
                self.time() + after,
                EndpointSnapshot(len(self.history) + 1, entries, {engine.name: (engine.name, 1) for engine in live}),
            )
        )

    def _switch_zone(self, back: bool) -> None:
        for engine in self.engines.values():
            if engine.zone == "z0":
                engine.restart() if back else engine.fail()
        self._publish_endpoints(self.scene.told_after)

    # answers to clients
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
        while at < scene.seconds:  # arrivals are drawn in advance, independently of the answers
            at += self.random.expovariate(rate)
            self.clock.callLater(at, self.random.choice(self.sites).request)
        if scene.lost:
            self.clock.callLater(scene.lost[0], self._switch_zone, False)
            self.clock.callLater(scene.lost[1], self._switch_zone, True)
        while self.time() < scene.seconds + 21 and (
            self.time() < scene.seconds or sum(self.answers.values()) < self.requests
        ):
            self.clock.step()
        seconds = range(int(scene.seconds))
        by_second = {
            what: [self.counts[what][second] for second in seconds]
            for what in ("list_calls", "dials", "dials_refused", "attempts", "further")
        }
        answered_count = sum(self.answers[how] for how in ("served", "refused", "failed"))
        return Report(
            self.requests,
            self.answers["served"],
            self.answers["refused"],
            self.answers["failed"],
            self.answers["twice"],
            self.requests - answered_count,
            most_connections=self.max_connections,
            after_told=self.after_told,
            cold_work=self._cold_work(),
            **by_second,
        )

    def _cold_work(self) -> float:
        """Return the maximum work sent to an engine in slow start in any budget window, as a fraction of the budget."""
        scene, worst = self.scene, 0.0
        for engine in self.engines.values():
            for begin, (since, _) in enumerate(engine.sent):
                age = since - engine.came_up
                if age < scene.ramp:
                    work = sum(mean_work for when, mean_work in engine.sent[begin:] if when < since + scene.fall)
                    warm = min(scene.cold_from + (1 - scene.cold_from) * (age + scene.fall / 2) / scene.ramp, 1.0)
                    worst = max(worst, work / (scene.multiple * scene.cores * warm * scene.fall))
        return worst
