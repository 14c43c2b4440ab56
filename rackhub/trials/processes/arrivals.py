"""What clients will ask, drawn ahead from one seed: no answer slows what comes. Times are microseconds of the run."""

import math
import random
from collections.abc import Iterator, Mapping

import msgspec

from rackhub.trials.processes.site import Kind, Plan

SECOND = 1_000_000
BAD = ("tenant", "class", "token", "body", "budget")  # in what way a bad client's request can't be used


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """`rate` requests a second from `begin` to `end`. `weights`: of gateways, even without. `bad`: part of them that
    can't be used, which must never be served."""

    rate: float
    begin: int = 0
    end: int
    weights: Mapping[str, float] = {}
    bad: float = 0.0
    kinds: tuple[str, ...] = ()  # only these classes; all without
    rows: int = 3


class Arrival(msgspec.Struct, frozen=True):
    at: int
    kind: Kind
    tenant: str
    gateway: str
    work: int
    statement: bytes
    token: str
    bad: str = ""


def drawn(plan: Plan, loads: list[Load], seed: int) -> Iterator[Arrival]:
    """All arrivals of all loads in the order of their times; the same for the same plan, loads and seed."""
    found = [arrival for number, load in enumerate(loads) for arrival in _one(plan, load, f"{seed}/{number}")]
    return iter(sorted(found, key=lambda arrival: arrival.at))


def _one(plan: Plan, load: Load, seed: str) -> Iterator[Arrival]:
    chance, at = random.Random(seed), float(load.begin)
    kinds = [kind for kind in plan.kinds if not load.kinds or kind.name in load.kinds]
    names = plan.gateway_names()
    weights = [load.weights.get(name, 1.0 if not load.weights else 0.0) for name in names]
    while True:
        at += chance.expovariate(load.rate / SECOND)
        if at >= load.end:
            return
        kind = chance.choices(kinds, [each.share for each in kinds])[0]
        work = max(int(kind.work * chance.lognormvariate(-0.18, 0.6)), 1_000)  # mean 1, so that loads add up
        work = min(work, kind.work * 6)
        group = int(math.sqrt(chance.random()) * 20)
        number = chance.getrandbits(48)
        statement = f"SELECT a, b, c FROM trips_{group}.docks WHERE k = {number} /* work={work} rows={load.rows} */"
        yield Arrival(
            int(at),
            kind,
            chance.choices([name for name, _ in plan.tenants], [share for _, share in plan.tenants])[0],
            chance.choices(names, weights)[0],
            work,
            statement.encode(),
            f"{chance.getrandbits(128):032x}" if kind.effect == "dedup" else "",
            chance.choice(BAD) if chance.random() < load.bad else "",
        )
