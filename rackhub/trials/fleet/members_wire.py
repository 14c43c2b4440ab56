"""A faulty twin of the wire: many cores of `rackhub.fleet.members` on one virtual clock, from one seed.

What is lost, late, doubled, damaged or cut goes by direction. Each gateway has a clock of its own, which began at
another moment and runs a little faster or slower. The same seed gives the same run, byte for byte.
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
HELD = 200  # datagrams that the system keeps for a process that stands still
DRIFT = 50  # millionths by which a clock is fast or slow at the most
Seen = Callable[["Gateway", Effect], None]
Make = Callable[[Start, Timing, Limits, int], Core]


class Gateway:
    """One process. `up`: it runs, or stands still; `core` is of its present start."""

    def __init__(self, wire: "Wire", name: Name, address: Address, seed: int):
        self.wire, self.name, self.address, self._seed = wire, name, address, seed
        self._offset, self._ppm = wire.random.randrange(1, 10_000) * SECOND, wire.random.randint(-DRIFT, DRIFT)
        self.up = self.paused = False
        self.boot, self.starts = wire.random.randrange(1_000_000, 2_000_000), 0
        self.held: list[bytes] = []
        self.bytes = self.packets = 0
        self.changed = wire.time.now()  # when something last befell it
        self._timer = 0  # when it is due, by the own clock
        self.core: Core

    def local(self) -> int:
        now = self.wire.time.now()
        return self._offset + now + now * self._ppm // 1_000_000

    def start(self, boot: int | None = None) -> None:
        """With the number kept of its last start, or a later one of its clock. `boot`: nothing was kept, and that is
        the number that its clock gives."""
        kept = self.core.local_member.generation + 1 if self.starts else 0
        self.boot = boot if boot is not None else max(kept, self.boot + self.wire.random.randrange(1, 100_000))
        self.up, self.paused, self.held, self.starts = True, False, [], self.starts + 1
        self._timer = 0
        self.changed = self.wire.time.now()
        start = Start(CLUSTER, self.name, self.address, self.boot, seeds=self.wire.seeds, seed=self._seed + self.starts)
        self.core = self.wire.make(start, self.wire.timing, self.wire.limits, self.local())
        self.step(Tick())

    def step(self, event: Event) -> None:
        if not self.up or self.paused:
            return
        core = self.core
        for effect in core.step(self.local(), event):
            if isinstance(effect, SendDatagram):
                self.wire.carry(self, effect.to, effect.data)
            else:
                self.wire.saw(self, effect)
        self._wake(core)

    def _wake(self, core: Core) -> None:
        """One timer, at the core's next time; waking ticks anyway."""
        due = core.due()
        if self._timer == due:
            return
        self._timer, starts = due, self.starts

        def tick() -> None:
            if self.starts == starts and self._timer == due:
                self._timer = 0
                self.step(Tick())

        self.wire.time.later(max(0, due - self.local()), tick)

    def take(self, data: bytes) -> None:
        if not self.up:
            return
        if self.paused:
            if len(self.held) < HELD:
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
        """As after SIGCONT: timers first or sockets first, whichever."""
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
    """`seen` gets every effect that is no datagram. Probabilities are by datagram, times microseconds."""

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
                spoilt = bytearray(data)
                spoilt[self.random.randrange(len(data))] ^= 1 << self.random.randrange(8)
                data = bytes(spoilt)
                self.counts["damaged"] += 1
            delay = self.late.get((source.name, target.name), 0) + self.random.randint(self.least, self.most)
            self.time.later(delay, lambda data=data: target.take(data))  # type: ignore[misc]

    def saw(self, gateway: Gateway, effect: Effect) -> None:
        for watch in self.seen:
            watch(gateway, effect)
