"""The priority order of all cells (class and tenant), and the threshold in it: cells below the threshold are shed.

Every gateway computes it from the same records. The position of a cell depends on the priority of a thread-second of
its class, reduced if its tenant exceeds its quota. A reserve is admitted for tenants below their quota, whatever the
others request. In the cell at the threshold a hash of the request decides, so that every gateway decides alike.
"""

import math
import zlib
from collections.abc import Mapping
from typing import NamedTuple

Key = tuple[str, str]  # class and tenant

STEPS = 64  # the admitted fraction of a cell is a multiple of 1 / STEPS
HYSTERESIS = 0.75  # minimum difference in steps between the computed and the present fraction before it changes
BEGIN_RATIO = 1.15  # demand over capacity at which the threshold becomes active
END_RATIO = 1.05  # demand over capacity at which it ends
POSITIONS_PER_OCTAVE = 4  # positions in the order per doubling of the priority per thread-second
BEGIN_USAGE = 0.9  # threads in use over those configured, below which the threshold does not become active
END_USAGE = 0.4  # threads in use over those configured, below which it ends
EXCESS_POWER = 1.0  # power of a tenant's excess over its quota by which its priority is divided
HASH_RANGE = 65_536  # hashes are below this value; a request is admitted if its hash is below the mark of its cell
# CRC-32 is linear in its input; the upper bits of its product with this number are distributed evenly.
HASH_MULTIPLIER = 0x9E3779B1


class Demand(NamedTuple):
    """The demand in one cell in threads (thread-seconds per second), and the priority of each thread-second."""

    threads: float
    density: float


def tenant_quotas(demand: Mapping[Key, Demand], fractions: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Return the quota in threads of each tenant with demand, by the configured fractions.

    A tenant without a fraction counts as 1.
    """
    active = {tenant for (_, tenant), cell in demand.items() if cell.threads > 0}
    total = sum(fractions.get(tenant) or 1.0 for tenant in active)
    return {tenant: capacity * (fractions.get(tenant) or 1.0) / total for tenant in sorted(active)}


def shedding_order(demand: Mapping[Key, Demand], quotas: Mapping[str, float]) -> list[list[Key]]:
    """Return all cells in groups of one position; the group that is shed last comes first.

    Positions are a quarter octave apart, so that small differences between views change few of them.
    """
    requested: dict[str, float] = {}
    for (_, tenant), cell in demand.items():
        requested[tenant] = requested.get(tenant, 0.0) + cell.threads
    groups: dict[int, list[Key]] = {}
    for key, cell in demand.items():
        tenant = key[1]
        excess = max(requested[tenant] / quotas[tenant], 1.0) if quotas.get(tenant) else 1.0
        priority = max(cell.density, 1e-9) / excess**EXCESS_POWER
        groups.setdefault(round(POSITIONS_PER_OCTAVE * math.log2(priority)), []).append(key)
    return [sorted(groups[position]) for position in sorted(groups, reverse=True)]


def admitted_fractions(
    demand: Mapping[Key, Demand],
    fractions: Mapping[str, float],
    capacity: float,
    guard: float,
) -> dict[Key, float]:
    """Return the admitted fraction of each cell, `capacity` threads in total.

    The fraction `guard` of the capacity is the reserve for tenants below their quota.
    """
    quotas = tenant_quotas(demand, fractions, capacity)
    groups = shedding_order(demand, quotas)
    admitted = admit(demand, groups, dict.fromkeys(demand, 0.0), capacity * (1 - guard))
    shortfall = _shortfall(demand, quotas, admitted)
    total_shortfall = sum(shortfall.values())
    reserve = capacity * guard
    used = 0.0
    for tenant in quotas if total_shortfall else ():  # each tenant gets the same fraction of its shortfall
        threads = shortfall[tenant] * min(reserve / total_shortfall, 1.0)
        own_groups = [[key for key in keys if key[1] == tenant] for keys in groups]
        admitted = admit(demand, own_groups, admitted, threads)
        used += threads
    return admit(demand, groups, admitted, reserve - used)


def _shortfall(
    demand: Mapping[Key, Demand], quotas: Mapping[str, float], admitted: Mapping[Key, float]
) -> dict[str, float]:
    """Return for each tenant the threads that it requests and lacks within its quota."""
    got = dict.fromkeys(quotas, 0.0)
    left = dict.fromkeys(quotas, 0.0)
    for key, cell in demand.items():
        tenant = key[1]
        if tenant in quotas:
            got[tenant] += admitted[key] * cell.threads
            left[tenant] += (1 - admitted[key]) * cell.threads
    return {tenant: min(max(quotas[tenant] - got[tenant], 0.0), left[tenant]) for tenant in quotas}


def admit(
    demand: Mapping[Key, Demand],
    groups: list[list[Key]],
    admitted: Mapping[Key, float],
    capacity: float,
) -> dict[Key, float]:
    """Admit the groups in order until `capacity` threads are used; the cells of a group get the same fraction."""
    result = dict(admitted)
    for keys in groups:
        left = sum(demand[key].threads * (1 - result[key]) for key in keys)
        fraction = min(max(capacity, 0.0) / left, 1.0) if left > 0 else 1.0
        for key in keys:
            result[key] += (1 - result[key]) * fraction
        capacity -= left
    return result


class SheddingThreshold:
    """The threshold of this gateway.

    It moves in steps and with hysteresis, so that it does not oscillate and is equal at gateways with similar records.
    """

    def __init__(self) -> None:
        self.active = False
        self.marks: dict[Key, int] = {}  # mark of each cell that is not admitted entirely
        self.admitted_share = 1.0  # fraction of the demand above the threshold
        self.moves = 0

    def update(
        self,
        demand: Mapping[Key, Demand],
        fractions: Mapping[str, float],
        capacity: float,
        guard: float,
        usage: float = 1.0,
    ) -> None:
        """Recompute the threshold.

        `usage` is the number of the fleet's threads in use over those configured. As demand is an estimate, nothing is
        shed while engines are idle.
        """
        total = sum(cell.threads for cell in demand.values())
        if not self._is_overload(total, capacity, usage):
            self.active = False
            self.marks = {}
            self.admitted_share = 1.0
            return
        self.active = True
        marks = self._next_marks(admitted_fractions(demand, fractions, capacity, guard))
        self.moves += marks != self.marks
        self.marks = marks
        above = sum(cell.threads * marks.get(key, HASH_RANGE) / HASH_RANGE for key, cell in demand.items())
        self.admitted_share = above / total

    def _is_overload(self, total: float, capacity: float, usage: float) -> bool:
        ratio = END_RATIO if self.active else BEGIN_RATIO
        minimum_usage = END_USAGE if self.active else BEGIN_USAGE
        return not (total <= capacity * ratio or total <= 0 or usage < minimum_usage)

    def _next_marks(self, admitted: Mapping[Key, float]) -> dict[Key, int]:
        marks = {}
        for key, fraction in admitted.items():
            present = self.marks.get(key, HASH_RANGE) * STEPS / HASH_RANGE
            step = present if abs(fraction * STEPS - present) <= HYSTERESIS else round(fraction * STEPS)
            if fraction <= 0:
                step = 0
            if step < STEPS:
                marks[key] = round(step * HASH_RANGE / STEPS)
        return marks

    def verdict(self, key: Key, statement: bytes) -> int:
        """Return 1 above the threshold, -1 below it, 0 if it is not active."""
        if not self.active:
            return 0
        mark = self.marks.get(key, HASH_RANGE)
        if 0 < mark < HASH_RANGE:
            return 1 if statement_hash(statement, hash_seed(key)) < mark else -1
        return 1 if mark else -1


def hash_seed(key: Key) -> int:
    """Return the initial value of the hash of a cell's statements."""
    return zlib.crc32("\0".join((key[1], key[0], "")).encode())


def statement_hash(statement: bytes, seed: int) -> int:
    """Return the hash of tenant, class and statement below `HASH_RANGE`, the same in every process."""
    return (zlib.crc32(statement, seed) * HASH_MULTIPLIER & 0xFFFFFFFF) >> 16
