"""Simulated fleet for the overload trial: engines that slow down above a limit (overload_engine), gateways with the
real core, decision module and overload component, and clients that retry a rejection at up to two other gateways.

Result pages, memory and network capacity are not modelled.
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

NETWORK_DELAY, RETRY_DELAY = (
    1 * MS,
    20 * MS,
)  # delay to an engine; delay from a rejection to the retry at another gateway
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
WORK = {"lookup": 0.1, "report": 1.0}  # mean work in thread-seconds
TENANTS = (t.TenantSettings("north", 0.4), t.TenantSettings("south", 0.4), t.TenantSettings("night", 0.2))
TRAFFIC = (0.3, 0.3, 0.4)  # share of each tenant
MAX_RETRIES = 2  # maximum retries of a client at other gateways


def make_settings(gateways: int, local_index: int) -> t.Settings:
    return t.Settings(
        classes=CLASSES,
        tenants=TENANTS,
        gateways=gateways,
        instance_index=local_index,
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
    """One gateway: real core and decision module, and if `led` the real overload component on the simulated ports."""

    def __init__(self, world: "World", number: int, name: str, count: int, led: bool):
        self.world, self.name, self.dead = world, name, False
        self._arguments = (number, count, led)
        settings = make_settings(count, number)
        # Limits are high, so that requests are only rejected by decision.
        limits = Limits(max_open_requests=100_000, max_statement_bytes=2**30, deadline_margin=0)
        timers = Timers(world.time, Waker(world.time))
        self.core = Coordinator(settings, number + world.seed * 1_000, world.time, timers, limits, Counters())
        self.overload: Overload | None = None
        if led:
            self.overload = Overload(
                world.net.nodes[name].fleet(world.seed),
                settings,
                limits,
                self.core,
                self.probe,
                FleetSettings(cluster="rig", listen="127.0.0.1:7001"),
            )
            self.core.fleet_coordinator = self.overload
        else:
            self.core.fleet_coordinator = IndependentGateway(self)
        snapshot = EndpointSnapshot(
            1, tuple(t.EngineEntry(name, kind="e", started_at=-(10**9)) for name in world.engines), {}
        )
        self.core.start(self, snapshot.entries, 1)
        if self.overload is not None:
            self.overload.endpoints_changed(snapshot)
            self.overload.start()

    def kill(self, back: int) -> None:
        """End the process, and start an empty one after `back` us. Its attempts go on running at the engines; its
        clients see broken connections and use other gateways. The other gateways learn of both with a delay."""
        world, node = self.world, self.world.net.nodes[self.name]
        self.dead = True
        node.kill()
        for query in list(self.core.queries.values()):
            query.reply.broken()  # type: ignore[attr-defined]
        self._notify_others(MemberState.GONE, SECOND, 3 * SECOND)

        def start_empty() -> None:
            node.restart()
            world.gateways[world.gateways.index(self)] = Gateway(
                world, self._arguments[0], self.name, *self._arguments[1:]
            )
            self._notify_others(MemberState.ALIVE, 200 * MS, SECOND)

        world.time.later(back, start_empty)

    def _notify_others(self, state: MemberState, least: int, most: int) -> None:
        for node in self.world.net.nodes.values():
            if node.local_name != self.name:
                self.world.time.later(
                    self.world.random.randrange(least, most), partial(node.set_member_state, self.name, state)
                )

    # ---- the engine port

    def send(self, attempt: Attempt) -> None:
        if self.dead:
            return
        self.world.counts["attempts"] += 1
        self.world.counts["further"] += attempt.number > 0
        threads = next(cls.threads for cls in CLASSES if cls.name == attempt.query.cls)
        self.world.time.later(
            NETWORK_DELAY,
            lambda: self.world.engines[attempt.engine].take(self, attempt, threads) if not attempt.done else None,
        )

    def give_up(self, attempt: Attempt) -> None:
        self.world.time.later(NETWORK_DELAY, lambda: self.world.engines[attempt.engine].drop(attempt))

    def promote(self, attempt: Attempt) -> None: ...

    def close_idle(self, engine: str) -> None: ...

    def ended(self, attempt: Attempt, reason: str, report: dict[str, float]) -> None:
        self.world.time.later(
            NETWORK_DELAY, lambda: self.core.complete_attempt(attempt, reason, report, (b"a\tb\tc\n",))
        )

    def probe(self, engine: str, done: Callable[[str, int, dict[str, float]], None]) -> None:
        found = self.world.engines[engine]
        found.probes += 1
        self.world.time.later(2 * NETWORK_DELAY, lambda: done("GOOD" if found.up else "NOCONN", 2 * NETWORK_DELAY, {}))


class IndependentGateway:
    """Coordinator port without a fleet: each gateway sends its own health checks and shares no results."""

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
    """One request of a client, including its retries at other gateways."""

    def __init__(self, world: "World", number: int, cls: str, tenant: str, work: float, until: int):
        self.world, self.number, self.cls, self.tenant = world, number, cls, tenant
        self.work, self.until, self.attempts, self.open = work, until, 0, ""

    def send(self, gateway: Gateway) -> None:
        now = self.world.time.now()
        if self.until - now < 50 * MS:
            return self.complete("refused")
        if gateway.dead:  # the connection is refused: try the next gateway, at the cost of the delay alone
            return self.retry(gateway)
        self.attempts += 1
        self.world.counts["asked"] += 1
        self.at, self.open = gateway, f"{self.number}.{self.attempts}"
        gateway.core.submit(
            Query(self.open, self.cls, b"select %d" % self.number, self.until, self, tag=self.work, tenant=self.tenant)
        )

    def retry(self, source: Gateway) -> None:
        others = [gateway for gateway in self.world.gateways if gateway is not source] or [source]
        self.world.time.later(RETRY_DELAY, lambda: self.send(self.world.random.choice(others)))

    def complete(self, how: str) -> None:
        self.open = ""
        self.world.note(self, how)

    def broken(self) -> None:
        self.open = ""
        self.world.counts["broken"] += 1
        self.retry(self.at)

    def served(self, query: Query, rows: Sequence[bytes]) -> None:
        if query.id == self.open:  # otherwise the gateway that answers was killed
            self.complete("served")

    def rejected(self, query: Query, backoff: int) -> None:
        if query.id != self.open:
            return
        if self.attempts > MAX_RETRIES:
            return self.complete("refused")
        self.open = ""
        self.world.counts["carried"] += 1
        self.retry(self.at)

    def failed(self, query: Query, why: str) -> None:
        if query.id == self.open:
            self.complete("failed")


class World:
    """A fleet, its engines and clients. `load(seconds)`: load as a multiple of the capacity of all cores."""

    def __init__(
        self, gateways: int, engines: int, led: bool, load: Callable[[float], float], seed: int, hot: float = 0.0
    ):
        names = [f"g{i}" for i in range(gateways)]
        self.net, self.seed, self.random, self.load, self.hot = Net(names, seed), seed, random.Random(seed), load, hot
        self.net.least, self.net.most = 50 * MS, 600 * MS  # gossip spreads with the probe rounds
        self.time, self.counts = self.net.time, Counter[str]()
        self.began = self.time.now()
        self.engines = {f"e{i}": Engine(self.time, f"e{i}") for i in range(engines)}
        self.gateways = [Gateway(self, i, name, gateways, led) for i, name in enumerate(names)]
        self.cores, self._number = engines * CORES, 0
        self.worth: Counter[int] = Counter()  # priority weight served, by tenth of a second
        self.served: Counter[tuple[str, str]] = Counter()
        mix = [
            (cls, tenant, part * half)
            for cls, half in (("lookup", 0.5), ("report", 0.5))
            for tenant, part in zip((settings.name for settings in TENANTS), TRAFFIC, strict=True)
        ]
        self._mix, self._weights = mix, [part / WORK[cls] for cls, _, part in mix]
        self._per_core = sum(self._weights)  # requests per second that fill one core
        self.time.later(1, self.arrive)

    def seconds(self) -> float:
        return (self.time.now() - self.began) / SECOND

    def arrive(self) -> None:
        rate = max(self.load(self.seconds()) * self.cores * self._per_core, 1e-3)
        cls, tenant, _ = self.random.choices(self._mix, self._weights)[0]
        self._number += 1
        self.counts["requests"] += 1
        work = WORK[cls] * self.random.choice((0.4, 0.8, 1.2, 1.6))
        until = self.time.now() + next(settings.deadline for settings in CLASSES if settings.name == cls)
        gateway = self.gateways[0] if self.random.random() < self.hot else self.random.choice(self.gateways)
        Request(self, self._number, cls, tenant, work, until).send(gateway)
        self.time.later(int(self.random.expovariate(rate) * SECOND), self.arrive)

    def note(self, request: Request, how: str) -> None:
        self.counts[how] += 1
        if how == "served":
            worth = next(settings.priority_weight for settings in CLASSES if settings.name == request.cls)
            self.worth[int(self.seconds() * 10)] += worth  # type: ignore[assignment]
            self.served[request.cls, request.tenant] += 1

    def worth_in(self, begin: float, end: float) -> float:
        """Return the priority weight served per second between two times."""
        return sum(self.worth[at] for at in range(round(begin * 10), round(end * 10))) / max(end - begin, 1e-9)

    def run(self, seconds: float, watch: Callable[[], Any] = lambda: None) -> None:
        while self.seconds() < seconds:
            self.time.run(100 * MS)
            watch()
