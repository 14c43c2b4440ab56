"""Simulated network with fault injection: many cores of `rackhub.fleet.members` on one virtual clock.

Datagrams can be lost, delayed, duplicated, damaged or cut off, per direction. Each gateway has its own clock, with an
offset and a small drift. The same seed gives the same run, byte for byte.
"""

import random
from collections import Counter
from collections.abc import Callable, Sequence

from rackhub.fleet.link.limits import Limits
from rackhub.fleet.members.context import Effect, SendDatagram
from rackhub.fleet.members.core import Core
from rackhub.fleet.members.events import DatagramReceived, Event, PublishRecord, SendMessage, Start, Tick
from rackhub.fleet.members.timing import Timing
from rackhub.fleet.ports import Address, Name
from rackhub.trials.fleet.twin import MS, SECOND, Time

CLUSTER = "trial"
SOCKET_BUFFER_DATAGRAMS = 200  # datagrams that the socket buffer keeps for a paused process
DRIFT = 50  # maximum clock drift, in parts per million
Seen = Callable[["Gateway", Effect], None]
Make = Callable[[Start, Timing, Limits, int], Core]


class Gateway:
    """One process. `up`: it is running or paused; `core` belongs to its current start."""

    def __init__(self, wire: "Wire", name: Name, address: Address, seed: int):
        self.wire, self.name, self.address, self._seed = wire, name, address, seed
        self._offset, self._drift_ppm = wire.random.randrange(1, 10_000) * SECOND, wire.random.randint(-DRIFT, DRIFT)
        self.up = self.paused = False
        self.boot, self.starts = wire.random.randrange(1_000_000, 2_000_000), 0
        self.held: list[bytes] = []
        self.bytes = self.packets = 0
        self.changed = wire.time.now()  # time of the last start, pause, wake-up or kill
        self._timer = 0  # due time, by the local clock
        self.core: Core

    def local_time(self) -> int:
        now = self.wire.time.now()
        return self._offset + now + now * self._drift_ppm // 1_000_000

    def start(self, boot: int | None = None) -> None:
        """Start with a generation above the stored one. `boot`: nothing was stored, and this generation comes from its
        clock."""
        kept = self.core.local_member.generation + 1 if self.starts else 0
        self.boot = boot if boot is not None else max(kept, self.boot + self.wire.random.randrange(1, 100_000))
        self.up, self.paused, self.held, self.starts = True, False, [], self.starts + 1
        self._timer = 0
        self.changed = self.wire.time.now()
        start = Start(CLUSTER, self.name, self.address, self.boot, seeds=self.wire.seeds, seed=self._seed + self.starts)
        self.core = self.wire.make(start, self.wire.timing, self.wire.limits, self.local_time())
        self.step(Tick())

    def step(self, event: Event) -> None:
        if not self.up or self.paused:
            return
        core = self.core
        for effect in core.step(self.local_time(), event):
            if isinstance(effect, SendDatagram):
                self.wire.carry(self, effect.to, effect.data)
            else:
                self.wire.saw(self, effect)
        self._wake(core)

    def _wake(self, core: Core) -> None:
        """Set the single timer to the core's next due time."""
        due = core.due()
        if self._timer == due:
            return
        self._timer, starts = due, self.starts

        def tick() -> None:
            if self.starts == starts and self._timer == due:
                self._timer = 0
                self.step(Tick())

        self.wire.time.later(max(0, due - self.local_time()), tick)

    def take(self, data: bytes) -> None:
        if not self.up:
            return
        if self.paused:
            if len(self.held) < SOCKET_BUFFER_DATAGRAMS:
                self.held.append(data)
            return
        self.step(DatagramReceived(data))

    def post(self, kind: str, body: bytes) -> None:
        self.step(PublishRecord(kind, body))

    def send(self, to: Name, kind: str, body: bytes) -> None:
        self.step(SendMessage(to, kind, body))

    def pause(self) -> None:
        self.paused, self.changed = True, self.wire.time.now()

    def wake(self) -> None:
        """Resume as after SIGCONT: timers or sockets first, at random."""
        self.paused, self.changed = False, self.wire.time.now()
        held, self.held = self.held, []
        if self.wire.random.random() < 0.5:
            self.step(Tick())
        for data in held:
            self.step(DatagramReceived(data))
        self.step(Tick())

    def kill(self) -> None:
        self.up, self.changed = False, self.wire.time.now()


class Wire:
    """`seen` is called with every effect but datagrams. Probabilities are per datagram, times in microseconds."""

    def __init__(
        self,
        count: int,
        seed: int = 0,
        timing: Timing | None = None,
        limits: Limits | None = None,
        make: Make = Core,
        seeds: int = 2,
    ):
        self.time, self.random, self.counts = Time(), random.Random(f"{seed}/wire"), Counter[str]()
        self.timing, self.limits, self.make = timing or Timing(), limits or Limits(), make
        self.lose = self.double = self.damage = 0.0
        self.least, self.most = 200, 3 * MS
        self.cuts: set[tuple[Name, Name]] = set()
        self.late: dict[tuple[Name, Name], int] = {}
        self.seen: list[Seen] = []
        self.carried: list[Callable[[Gateway, bytes], None]] = []
        names = [f"g{i:03}" for i in range(count)]
        self.at: dict[Address, Gateway] = {}
        self.seeds: Sequence[Address] = [("10.0.0.1", 7_000 + i) for i in range(min(seeds, count))]
        self.gateways = {
            name: Gateway(self, name, ("10.0.0.1", 7_000 + i), seed * 1_000 + i) for i, name in enumerate(names)
        }
        self.at = {gateway.address: gateway for gateway in self.gateways.values()}

    def start(self) -> None:
        for gateway in self.gateways.values():
            self.time.later(self.random.randrange(self.timing.probe_period), gateway.start)

    def running(self) -> list[Gateway]:
        return [gateway for gateway in self.gateways.values() if gateway.up and not gateway.paused]

    def cut(self, some: Sequence[Name], others: Sequence[Name], both: bool = True) -> None:
        for one in some:
            for other in others:
                if one != other:
                    self.cuts |= {(one, other), (other, one)} if both else {(one, other)}

    def heal(self) -> None:
        self.cuts.clear()
        self.late.clear()
        self.lose = self.double = self.damage = 0.0
        self.least, self.most = 200, 3 * MS

    def carry(self, source: Gateway, to: Address, data: bytes) -> None:
        source.bytes += len(data)
        source.packets += 1
        for watch in self.carried:
            watch(source, data)
        target = self.at.get(to)
        if target is None:
            return
        for _ in range(1 + (self.random.random() < self.double)):
            if (source.name, target.name) in self.cuts or self.random.random() < self.lose:
                self.counts["lost"] += 1
                continue
            if self.random.random() < self.damage:
                damaged = bytearray(data)
                damaged[self.random.randrange(len(data))] ^= 1 << self.random.randrange(8)
                data = bytes(damaged)
                self.counts["damaged"] += 1
            delay = self.late.get((source.name, target.name), 0) + self.random.randint(self.least, self.most)
            self.time.later(delay, lambda data=data: target.take(data))  # type: ignore[misc]

    def saw(self, gateway: Gateway, effect: Effect) -> None:
        for watch in self.seen:
            watch(gateway, effect)
