"""What the switch does to what goes from one gateway to another, as a pure core: one lane for each direction.

A lane is handed each datagram with the time and says what is delivered when. All chance comes from one seed and the
lane's name, so a lane's faults do not hang on what passes on another. Times are microseconds.
"""

import random
from typing import NamedTuple

import msgspec

MS = 1_000


class Way(msgspec.Struct, frozen=True, kw_only=True):
    """How a direction is. Parts are of one: `drop`, `double`, `damage`, `reorder` (held back by `hold`)."""

    cut: bool = False
    drop: float = 0.0
    delay: int = 0
    jitter: int = 0
    double: float = 0.0
    damage: float = 0.0
    reorder: float = 0.0
    hold: int = 30 * MS

    def __post_init__(self) -> None:
        for name in ("drop", "double", "damage", "reorder"):
            if not 0.0 <= getattr(self, name) <= 1.0:
                raise ValueError(f"{name}: {getattr(self, name)} is not from 0 to 1")
        for name in ("delay", "jitter", "hold"):
            if not 0 <= getattr(self, name) <= 60_000 * MS:
                raise ValueError(f"{name}: {getattr(self, name)} is not from 0 to 60 s in microseconds")


class Out(NamedTuple):
    """Deliver these bytes after so long."""

    after: int
    packet: bytes


class Lane:
    """One direction. `counts`: what passed and what became of it."""

    def __init__(self, name: str, seed: int, way: Way | None = None):
        self.way, self._random = way or Way(), random.Random(f"{seed}/{name}")
        self.counts = dict.fromkeys(("in", "out", "bytes", "cut", "dropped", "doubled", "damaged", "reordered"), 0)

    def step(self, packet: bytes) -> list[Out]:
        """What is to be delivered for this one: nothing, once or twice."""
        way, chance, counts = self.way, self._random.random, self.counts
        counts["in"] += 1
        counts["bytes"] += len(packet)
        if way.cut:
            counts["cut"] += 1
            return []
        if chance() < way.drop:
            counts["dropped"] += 1
            return []
        copies = 1
        if chance() < way.double:
            counts["doubled"] += 1
            copies = 2
        found = []
        for _ in range(copies):
            after, here = way.delay + int(chance() * way.jitter), packet
            if chance() < way.reorder:
                counts["reordered"] += 1
                after += way.hold
            if packet and chance() < way.damage:
                counts["damaged"] += 1
                here = self._damaged(packet)
            counts["out"] += 1
            found.append(Out(after, here))
        return found

    def _damaged(self, packet: bytes) -> bytes:
        """One byte changed, or the end cut off."""
        at = self._random.randrange(len(packet))
        if self._random.random() < 0.5:
            return packet[:at]
        return packet[:at] + bytes([packet[at] ^ self._random.randrange(1, 256)]) + packet[at + 1 :]
