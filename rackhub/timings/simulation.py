"""A small rig in virtual time for what the timings do: the real core and decision module, plain engines.

An engine has cores that its running queries share; a query takes its work divided by its share; beyond a knee all of
them together get less done; work that is given up stops. That is enough for the question asked here, what a second
copy or a further attempt does to waiting and to load. The engines of the laboratory, with memory, disks and areas, are
another matter. Seeded, and the same every time.
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

MS, SECOND = 1_000, 1_000_000
START = 1_000 * SECOND
KNEE, THRASH, LEAST = 1.8, 0.15, 0.3  # threads a core; loss with each beyond; the least that is left
LATENCY = 300  # microseconds on the wire, each way
LOOKUP = interface.ClassSettings(
    "lookup", deadline=3 * SECOND, latency_objective=600 * MS, idempotency="retryable", priority_weight=1.0
)
LOAD = interface.ClassSettings(
    "depot-load",
    deadline=25 * SECOND,
    latency_objective=3 * SECOND,
    idempotency="dedup",
    idempotency_scope="all",
    idempotency_window=25 * SECOND,
    threads=2,
    priority_weight=10.0,
)


class World:
    """Virtual time: calls at times, in order."""

    def __init__(self) -> None:
        self.time, self._asked = START, 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._wake: tuple[int, Callable[[], None]] | None = None

    def now(self) -> int:
        return self.time

    def at(self, when: int, call: Callable[..., None], *args: Any) -> None:
        self._asked += 1
        heapq.heappush(self._heap, (when, self._asked, call, args))

    def wake_after(self, delay: int, call: Callable[[], None]) -> None:
        self._wake = self.time + delay, call

    def run(self, until: int) -> None:
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
    """Cores shared evenly by the running queries, one core a query at most."""

    def __init__(self, world: World, cores: float, speed: float, most: int):
        self.world, self.cores, self.speed, self.most = world, cores, speed, most
        self.running: dict[Attempt, float] = {}  # and the work left, in microseconds on one core
        self._since, self._turn = world.time, 0
        self.done_work = 0.0

    def rate(self) -> float:
        """Of one query. Past KNEE threads a core each thread more costs all of them, down to LEAST."""
        threads = len(self.running) / self.cores
        whole = max(1.0 - THRASH * max(threads - KNEE, 0.0), LEAST)
        return self.speed * whole * min(1.0, 1.0 / max(threads, 1e-9))

    def settle(self) -> None:
        passed = (self.world.time - self._since) * self.rate()
        self._since = self.world.time
        for attempt in self.running:
            self.running[attempt] -= passed
        self.done_work += passed * len(self.running)

    def plan(self, done: Callable[["Engine"], None]) -> None:
        """Look again when the next query is through."""
        self._turn += 1
        if self.running:
            least = max(min(self.running.values()), 0.0)
            self.world.at(self.world.time + max(math.ceil(least / self.rate()), 1), self._due, self._turn, done)

    def _due(self, turn: int, done: Callable[["Engine"], None]) -> None:
        if turn == self._turn:
            done(self)


class Scene(msgspec.Struct, frozen=True):
    """What is played: engines and their speeds, requests a second, how long, how much work each is."""

    engines: int = 8
    cores: float = 8.0
    speeds: dict[int, float] = {}  # of engines that are not at 1.0
    slow_turns: float = 0.0  # seconds after which another engine is the slow one; 0: none is
    slow: float = 1 / 6
    per_second: float = 300.0
    seconds: int = 60
    calm: int = 0  # seconds at first, of `seconds`, in which a fifth as many come
    work_ms: float = 60.0
    spread: float = 0.6  # of the logarithm of the work
    second_copies: bool = True
    most: int = 80
    cls: interface.ClassSettings = LOOKUP


class Outcome(msgspec.Struct, frozen=True):
    """What came of it."""

    requests: int
    served: int
    refused: int
    failed: int
    good: int  # served within what is wanted
    p50_ms: float
    p99_ms: float
    p999_ms: float
    attempts: int
    copies: int
    engine_work_ms: float  # done by all engines, also for nothing
    doubled: int  # requests with more than one answer: 0
    unanswered: int


class Rig(Reply):
    """One run."""

    def __init__(self, scene: Scene, routes: Sequence[Route] | None, seed: int):
        self.world, self.scene, self.random = World(), scene, random.Random(seed)
        self.counters = Counters()
        kinds = {"std": scene.cores}
        self.settings = interface.Settings(
            classes=(scene.cls,),
            tenants=(interface.TenantSettings("acme"),),
            kind_cores=kinds,
            clock_period=5 * MS,
            cancel=True,
            max_attempts=3,
            max_retry_after=500 * MS,
            hedging=scene.second_copies,
            priorities=True,
        )
        self.core = Coordinator(
            self.settings,
            seed,
            self.world,
            Timers(self.world, self.world),
            Limits(max_open_requests=100_000, max_statement_bytes=1 << 40),
            self.counters,
        )
        if routes is not None:
            faults = check(routes, self.settings).faults
            if faults:
                raise ValueError("; ".join(map(str, faults)))
            windows = {scene.cls.name: scene.cls.idempotency_window} if scene.cls.idempotency == "dedup" else {}
            self.core.request_policy = RoutePolicy(Table(routes, self.settings), windows, seed, self.counters.add)
        self.engines = {
            f"e{i}": Engine(self.world, scene.cores, scene.speeds.get(i, 1.0), scene.most) for i in range(scene.engines)
        }
        self.answers: dict[str, list[str]] = {}
        self.took: list[int] = []
        self.good = 0
        self._works: dict[str, float] = {}
        self.core.start(self, [interface.EngineEntry(name, "z", "std") for name in self.engines], 1)

    # ---- the engine port

    def send(self, attempt: Attempt) -> None:
        self.world.at(self.world.time + LATENCY, self._arrive, attempt)

    def _arrive(self, attempt: Attempt) -> None:
        engine = self.engines[attempt.engine]
        if attempt.done:
            return
        if len(engine.running) >= engine.most:
            self.world.at(self.world.time + LATENCY, self._end, attempt, "FULL", len(engine.running))
            return
        engine.settle()
        engine.running[attempt] = self._works[attempt.query.id]
        engine.plan(self._through)

    def _through(self, engine: Engine) -> None:
        engine.settle()
        for attempt in [one for one, left in engine.running.items() if left <= 1.0]:
            del engine.running[attempt]
            self.world.at(self.world.time + LATENCY, self._end, attempt, "GOOD", len(engine.running))
        engine.plan(self._through)

    def _end(self, attempt: Attempt, reason: str, load: int) -> None:
        rows = (b"a\tb\tc\n",) if reason == "GOOD" else ()
        self.core.complete_attempt(attempt, reason, {"busy_reqs": float(load), "pending": 0.0}, rows)

    def give_up(self, attempt: Attempt) -> None:
        self.world.at(self.world.time + LATENCY, self._stop, attempt)

    def _stop(self, attempt: Attempt) -> None:
        engine = self.engines[attempt.engine]
        if attempt in engine.running:
            engine.settle()
            del engine.running[attempt]
            engine.plan(self._through)

    def promote(self, attempt: Attempt) -> None: ...
    def close_idle(self, engine: str) -> None: ...

    # ---- clients

    def served(self, query: Query, rows: Sequence[bytes]) -> None:
        self.answers[query.id].append("served")
        took = self.world.time - int(str(query.tag))
        self.took.append(took)
        self.good += took <= self.scene.cls.latency_objective + 1.5 * self._works[query.id]

    def rejected(self, query: Query, backoff: int) -> None:
        self.answers[query.id].append("refused")

    def failed(self, query: Query, why: str) -> None:
        self.answers[query.id].append("failed")

    def ask(self, number: int) -> None:
        id, scene = f"{number:016x}", self.scene
        work = scene.work_ms * MS * math.exp(self.random.gauss(0, scene.spread) - scene.spread**2 / 2)
        self._works[id], self.answers[id] = work, []
        query = Query(
            id,
            scene.cls.name,
            b"x",
            self.world.time + scene.cls.deadline,
            self,
            tag=self.world.time,
            tenant="acme",
            estimate=int(work),
            idempotency_key=id * 2 if scene.cls.idempotency == "dedup" else "",
        )
        self.core.submit(query)

    def _slow_turn(self, which: int) -> None:
        """The next engine is slow, the one before it is not any more."""
        for i, engine in enumerate(self.engines.values()):
            engine.settle()
            engine.speed = self.scene.slow if i == which % len(self.engines) else 1.0
            engine.plan(self._through)
        self.world.at(self.world.time + int(self.scene.slow_turns * SECOND), self._slow_turn, which + 3)

    def run(self) -> Outcome:
        """Play it: arrivals are drawn ahead and wait for no answer."""
        scene, at, number = self.scene, float(START), 0
        if scene.slow_turns:
            self._slow_turn(0)
        while True:
            calm = at < START + scene.calm * SECOND
            at += self.random.expovariate(scene.per_second * (0.2 if calm else 1.0)) * SECOND
            if at > START + scene.seconds * SECOND:
                break
            number += 1
            self.world.at(int(at), self.ask, number)
        self.world.run(START + scene.seconds * SECOND + 2 * scene.cls.deadline)
        for engine in self.engines.values():
            engine.settle()
        told = [answer for answers in self.answers.values() for answer in answers]
        took = sorted(self.took) or [0]

        def at_share(share: float) -> float:
            return took[min(int(len(took) * share), len(took) - 1)] / MS

        return Outcome(
            number,
            told.count("served"),
            told.count("refused"),
            told.count("failed"),
            self.good,
            at_share(0.5),
            at_share(0.99),
            at_share(0.999),
            self.counters["attempts"],
            self.counters["copies"],
            sum(engine.done_work for engine in self.engines.values()) / MS,
            sum(len(answers) > 1 for answers in self.answers.values()),
            sum(not answers for answers in self.answers.values()),
        )
