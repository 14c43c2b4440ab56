"""What overload is tried on in virtual time: engines that share cores and slow down past a limit, gateways with the
real core, module and overload part, and clients that carry a refusal to the next gateway twice.

Engines: overload_engine. Nothing else is modelled: no pages, no memory, no network between them.
"""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from rackhub import interface as t
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Attempt, Query, Reply
from rackhub.core.source import EndpointSnapshot
from rackhub.core.timers import Timers
from rackhub.counters import Counters
from rackhub.fleet.overload.component import Overload
from rackhub.fleet.ports import MemberState
from rackhub.fleet.settings import FleetSettings
from rackhub.limits import Limits
from rackhub.trials.fleet.overload_engine import CORES, Engine
from rackhub.trials.fleet.twin import MS, SECOND, Net, Time

WIRE, CARRY = 1 * MS, 20 * MS  # to an engine; from a refusal to the next gateway's door
CLASSES = (
    t.ClassSettings(
        "lookup", deadline=2 * SECOND, latency_objective=600 * MS, idempotency="retryable", priority_weight=1.0
    ),
    t.ClassSettings(
        "report",
        deadline=6 * SECOND,
        latency_objective=2 * SECOND,
        idempotency="retryable",
        priority_weight=2.5,
        threads=2,
    ),
)
WORK = {"lookup": 0.1, "report": 1.0}  # thread-seconds, the mean
TENANTS = (t.TenantSettings("north", 0.4), t.TenantSettings("south", 0.4), t.TenantSettings("night", 0.2))
TRAFFIC = (0.3, 0.3, 0.4)  # of each tenant
CARRIED = 2  # how often a client goes on to another gateway


def site(gateways: int, me: int) -> t.Settings:
    return t.Settings(
        classes=CLASSES,
        tenants=TENANTS,
        gateways=gateways,
        instance_index=me,
        kind_cores={"e": CORES},
        max_attempts=3,
        max_retry_after=5 * SECOND,
        gossip=True,
        health_checks=True,
        cancel=True,
        retry_budget_ratio=0.1,
        retry_budget_minimum=3,
        retry_budget_window=10 * SECOND,
    )


class Waker:
    def __init__(self, time: Time):
        self._time, self._cancel = time, lambda: None

    def wake_after(self, delay: int, call: Callable[[], None]) -> None:
        self._cancel()
        self._cancel = self._time.later(delay, call)


class Gateway:
    """One gateway: real core and module, and where `led` the real overload part on the twin."""

    def __init__(self, world: "World", number: int, name: str, count: int, led: bool):
        self.world, self.name, self.dead = world, name, False
        self._made = (number, count, led)
        settings = site(count, number)
        # no process of this rig is short of memory or of its one core: what is turned away is so by decision
        limits = Limits(max_open_requests=100_000, max_statement_bytes=2**30, deadline_margin=0)
        timers = Timers(world.time, Waker(world.time))
        self.core = Coordinator(settings, number + world.seed * 1_000, world.time, timers, limits, Counters())
        self.part: Overload | None = None
        if led:
            self.part = Overload(
                world.net.nodes[name].fleet(world.seed),
                settings,
                limits,
                self.core,
                self.probe,
                FleetSettings(cluster="rig", listen="127.0.0.1:7001"),
            )
            self.core.fleet_coordinator = self.part
        else:
            self.core.fleet_coordinator = Alone(self)
        listing = EndpointSnapshot(
            1, tuple(t.EngineEntry(name, kind="e", started_at=-(10**9)) for name in world.engines), {}
        )
        self.core.start(self, listing.entries, 1)
        if self.part is not None:
            self.part.endpoints_changed(listing)
            self.part.start()

    def kill(self, back: int) -> None:
        """The process ends, and one that knows nothing is back later. What its engines run for it runs on; its clients
        see their connections break, and go elsewhere. The others learn of both by and by."""
        world, node = self.world, self.world.net.nodes[self.name]
        self.dead = True
        node.kill()
        for query in list(self.core.queries.values()):
            query.reply.broken()  # type: ignore[attr-defined]
        self._learn(MemberState.GONE, SECOND, 3 * SECOND)

        def again() -> None:
            node.restart()
            world.gateways[world.gateways.index(self)] = Gateway(world, self._made[0], self.name, *self._made[1:])
            self._learn(MemberState.ALIVE, 200 * MS, SECOND)

        world.time.later(back, again)

    def _learn(self, state: MemberState, least: int, most: int) -> None:
        for node in self.world.net.nodes.values():
            if node.local_name != self.name:
                self.world.time.later(self.world.random.randrange(least, most), partial(node.say, self.name, state))

    # ---- the engine port

    def send(self, attempt: Attempt) -> None:
        if self.dead:
            return
        self.world.counts["attempts"] += 1
        self.world.counts["further"] += attempt.number > 0
        threads = next(cls.threads for cls in CLASSES if cls.name == attempt.query.cls)
        self.world.time.later(
            WIRE, lambda: self.world.engines[attempt.engine].take(self, attempt, threads) if not attempt.done else None
        )

    def give_up(self, attempt: Attempt) -> None:
        self.world.time.later(WIRE, lambda: self.world.engines[attempt.engine].drop(attempt))

    def promote(self, attempt: Attempt) -> None: ...

    def close_idle(self, engine: str) -> None: ...

    def ended(self, attempt: Attempt, reason: str, report: dict[str, float]) -> None:
        self.world.time.later(WIRE, lambda: self.core.complete_attempt(attempt, reason, report, (b"a\tb\tc\n",)))

    def probe(self, engine: str, done: Callable[[str, int, dict[str, float]], None]) -> None:
        found = self.world.engines[engine]
        found.probes += 1
        self.world.time.later(2 * WIRE, lambda: done("GOOD" if found.up else "NOCONN", 2 * WIRE, {}))


class Alone:
    """The program as it stands where settings allow probes: each gateway sends its own, and nobody hears of them."""

    def __init__(self, gateway: Gateway):
        self._gateway = gateway

    def check_health(self, engine: str) -> None:
        self._gateway.probe(
            engine, lambda reason, elapsed, report: self._gateway.core.complete_health_check(engine, reason, elapsed)
        )

    def request_received(self, query: Query, now: int) -> int:
        return 0

    def attempt_sent(self, attempt: Attempt, now: int) -> None: ...
    def attempt_completed(self, attempt: Attempt, reason: str, now: int) -> None: ...
    def request_completed(self, query: Query, how: str, now: int) -> None: ...
    def send_gossip(self, peer: int, contents: bytes) -> None: ...


class Request(Reply):
    """One request of a client, over all gateways that it is carried to."""

    def __init__(self, world: "World", number: int, cls: str, tenant: str, work: float, until: int):
        self.world, self.number, self.cls, self.tenant = world, number, cls, tenant
        self.work, self.until, self.asked, self.open = work, until, 0, ""

    def ask(self, gateway: Gateway) -> None:
        now = self.world.time.now()
        if self.until - now < 50 * MS:
            return self.over("refused")
        if gateway.dead:  # no one listens: the next, which costs no more than the time
            return self.carry(gateway)
        self.asked += 1
        self.world.counts["asked"] += 1
        self.at, self.open = gateway, f"{self.number}.{self.asked}"
        gateway.core.submit(
            Query(self.open, self.cls, b"select %d" % self.number, self.until, self, tag=self.work, tenant=self.tenant)
        )

    def carry(self, source: Gateway) -> None:
        others = [gateway for gateway in self.world.gateways if gateway is not source] or [source]
        self.world.time.later(CARRY, lambda: self.ask(self.world.random.choice(others)))

    def over(self, how: str) -> None:
        self.open = ""
        self.world.note(self, how)

    def broken(self) -> None:
        self.open = ""
        self.world.counts["broken"] += 1
        self.carry(self.at)

    def served(self, query: Query, rows: Sequence[bytes]) -> None:
        if query.id == self.open:  # else its process is dead
            self.over("served")

    def rejected(self, query: Query, backoff: int) -> None:
        if query.id != self.open:
            return
        if self.asked > CARRIED:
            return self.over("refused")
        self.open = ""
        self.world.counts["carried"] += 1
        self.carry(self.at)

    def failed(self, query: Query, why: str) -> None:
        if query.id == self.open:
            self.over("failed")


class World:
    """A fleet, its engines and its clients. `load(seconds)`: what is asked, against what all cores can do."""

    def __init__(
        self, gateways: int, engines: int, led: bool, load: Callable[[float], float], seed: int, hot: float = 0.0
    ):
        names = [f"g{i}" for i in range(gateways)]
        self.net, self.seed, self.random, self.load, self.hot = Net(names, seed), seed, random.Random(seed), load, hot
        self.net.least, self.net.most = 50 * MS, 600 * MS  # a board spreads by rounds of probes
        self.time, self.counts = self.net.time, Counter[str]()
        self.began = self.time.now()
        self.engines = {f"e{i}": Engine(self.time, f"e{i}") for i in range(engines)}
        self.gateways = [Gateway(self, i, name, gateways, led) for i, name in enumerate(names)]
        self.cores, self._number = engines * CORES, 0
        self.worth: Counter[int] = Counter()  # served, by the tenth of a second in which it was
        self.served: Counter[tuple[str, str]] = Counter()
        mix = [
            (cls, tenant, part * half)
            for cls, half in (("lookup", 0.5), ("report", 0.5))
            for tenant, part in zip((told.name for told in TENANTS), TRAFFIC, strict=True)
        ]
        self._mix, self._weights = mix, [part / WORK[cls] for cls, _, part in mix]
        self._per_core = sum(self._weights)  # requests in a second that fill one core
        self.time.later(1, self.arrive)

    def seconds(self) -> float:
        return (self.time.now() - self.began) / SECOND

    def arrive(self) -> None:
        rate = max(self.load(self.seconds()) * self.cores * self._per_core, 1e-3)
        cls, tenant, _ = self.random.choices(self._mix, self._weights)[0]
        self._number += 1
        self.counts["requests"] += 1
        work = WORK[cls] * self.random.choice((0.4, 0.8, 1.2, 1.6))
        until = self.time.now() + next(told.deadline for told in CLASSES if told.name == cls)
        gateway = self.gateways[0] if self.random.random() < self.hot else self.random.choice(self.gateways)
        Request(self, self._number, cls, tenant, work, until).ask(gateway)
        self.time.later(int(self.random.expovariate(rate) * SECOND), self.arrive)

    def note(self, request: Request, how: str) -> None:
        self.counts[how] += 1
        if how == "served":
            worth = next(told.priority_weight for told in CLASSES if told.name == request.cls)
            self.worth[int(self.seconds() * 10)] += worth  # type: ignore[assignment]
            self.served[request.cls, request.tenant] += 1

    def worth_in(self, begin: float, end: float) -> float:
        """Worth served in a second between two times."""
        return sum(self.worth[at] for at in range(round(begin * 10), round(end * 10))) / max(end - begin, 1e-9)

    def run(self, seconds: float, watch: Callable[[], Any] = lambda: None) -> None:
        while self.seconds() < seconds:
            self.time.run(100 * MS)
            watch()
