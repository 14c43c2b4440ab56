"""One order of all classes and tenants, and the level in it: above it all is taken, below it nothing.

Every gateway reckons it from the same records. A cell's place goes by the worth of a thread second of its class, less
by how far its tenant is over its part of the fleet; a part of the fleet is kept for tenants below theirs, whatever the
others ask. In the cell at the level a hash of the request decides, so that whoever is asked again says the same.
"""

import math
import zlib
from collections.abc import Mapping
from typing import NamedTuple

Key = tuple[str, str]  # class and tenant

STEPS = 64  # the part of a cell that is taken moves by one of so many steps
BAND = 0.75  # of a step that the reckoned part must be off before the held one moves
BEGINS, ENDS = 1.15, 1.05  # demand against what the fleet can do, where the level begins and ends to hold
APART = 4  # places in the order to the octave of worth for each thread second
FULL, IDLE = 0.9, 0.4  # of the threads, held: with fewer no level begins, or holds
OVER = 1.0  # by what power of its excess over its part a tenant's worth falls
HASH_RANGE = 65_536  # the hash's range: one that is below the mark of its cell is taken
SPREAD = 0x9E3779B1  # CRC-32 is linear: its product's upper bits are spread evenly


class Demand(NamedTuple):
    """What the fleet is asked for in one cell: threads (thread-seconds in a second), and the worth of each."""

    threads: float
    density: float


def tenant_quotas(demand: Mapping[Key, Demand], fractions: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Of each tenant that asks for something: its part of the fleet, threads, by the told fractions, or even."""
    active = {tenant for (_, tenant), asked in demand.items() if asked.threads > 0}
    total = sum(fractions.get(tenant) or 1.0 for tenant in active)
    return {tenant: capacity * (fractions.get(tenant) or 1.0) / total for tenant in sorted(active)}


def shedding_order(demand: Mapping[Key, Demand], part: Mapping[str, float]) -> list[list[Key]]:
    """All cells, those to shed last first; those of about the same place together, as they are shed alike. Places are
    apart by a quarter octave: what views differ by changes few."""
    asked: dict[str, float] = {}
    for (_, tenant), cell in demand.items():
        asked[tenant] = asked.get(tenant, 0.0) + cell.threads
    places: dict[int, list[Key]] = {}
    for key, cell in demand.items():
        over = max(asked[key[1]] / part[key[1]], 1.0) if part.get(key[1]) else 1.0
        places.setdefault(round(APART * math.log2(max(cell.density, 1e-9) / over**OVER)), []).append(key)
    return [sorted(places[place]) for place in sorted(places, reverse=True)]


def admitted_fractions(
    demand: Mapping[Key, Demand],
    fractions: Mapping[str, float],
    capacity: float,
    guard: float,
) -> dict[Key, float]:
    """The part of each cell that is taken, so that all together are `capacity` threads."""
    part = tenant_quotas(demand, fractions, capacity)
    line = shedding_order(demand, part)
    taken = admit(demand, line, dict.fromkeys(demand, 0.0), capacity * (1 - guard))
    got, left = dict.fromkeys(part, 0.0), dict.fromkeys(part, 0.0)
    for key, cell in demand.items():
        if key[1] in part:
            got[key[1]] += taken[key] * cell.threads
            left[key[1]] += (1 - taken[key]) * cell.threads
    lacking = {tenant: min(max(part[tenant] - got[tenant], 0.0), left[tenant]) for tenant in part}
    short, kept, used = sum(lacking.values()), capacity * guard, 0.0
    for tenant in part if short else ():  # to each the same part of what it lacks, its dearest cells first
        room = lacking[tenant] * min(kept / short, 1.0)
        mine = [[key for key in keys if key[1] == tenant] for keys in line]
        taken, used = admit(demand, mine, taken, room), used + room
    return admit(demand, line, taken, kept - used)


def admit(
    demand: Mapping[Key, Demand],
    line: list[list[Key]],
    taken: Mapping[Key, float],
    room: float,
) -> dict[Key, float]:
    """Take of the cells in turn what is not taken yet, until the room is used; of those together the same part."""
    new = dict(taken)
    for keys in line:
        left = sum(demand[key].threads * (1 - new[key]) for key in keys)
        part = min(max(room, 0.0) / left, 1.0) if left > 0 else 1.0
        for key in keys:
            new[key] += (1 - new[key]) * part
        room -= left
    return new


class SheddingThreshold:
    """The level as this gateway holds it: it moves late and by steps, so that it does not flap, and gateways whose
    records differ by little hold the same."""

    def __init__(self) -> None:
        self.active = False
        self.marks: dict[Key, int] = {}  # of each cell that is not taken whole: below which hash it is
        self.admitted_share = 1.0  # the part of what is asked that lies above it: where it stands in the order
        self.moves = 0

    def update(
        self,
        demand: Mapping[Key, Demand],
        fractions: Mapping[str, float],
        capacity: float,
        guard: float,
        full: float = 1.0,
    ) -> None:
        """`full`: threads held by all, against what they may: what is asked is an estimate, and turns nothing away
        while engines stand idle."""
        total = sum(cell.threads for cell in demand.values())
        if (
            total <= capacity * (ENDS if self.active else BEGINS)
            or total <= 0
            or full < (IDLE if self.active else FULL)
        ):
            self.active, self.marks, self.admitted_share = False, {}, 1.0
            return
        self.active, marks = True, {}
        for key, part in admitted_fractions(demand, fractions, capacity, guard).items():
            held = self.marks.get(key, HASH_RANGE) * STEPS / HASH_RANGE
            step = held if abs(part * STEPS - held) <= BAND else round(part * STEPS)
            if part <= 0:
                step = 0
            if step < STEPS:
                marks[key] = round(step * HASH_RANGE / STEPS)
        self.moves += marks != self.marks
        self.marks = marks
        above = sum(cell.threads * marks.get(key, HASH_RANGE) / HASH_RANGE for key, cell in demand.items())
        self.admitted_share = above / total

    def verdict(self, key: Key, statement: bytes) -> int:
        """1: above the level, -1: below it, 0: there is none."""
        if not self.active:
            return 0
        mark = self.marks.get(key, HASH_RANGE)
        if 0 < mark < HASH_RANGE:
            return 1 if statement_hash(statement, hash_seed(key)) < mark else -1
        return 1 if mark else -1


def hash_seed(key: Key) -> int:
    """What the hash of a cell's statements begins with."""
    return zlib.crc32("\0".join((key[1], key[0], "")).encode())


def statement_hash(statement: bytes, seed: int) -> int:
    """Below `ALL`. CRC-32 of tenant, class and statement: the same in every process, and no library is needed."""
    return (zlib.crc32(statement, seed) * SPREAD & 0xFFFFFFFF) >> 16
