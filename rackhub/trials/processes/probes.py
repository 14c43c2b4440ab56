"""How often each engine is probed, by how many gateways there are: alone each probes all, as one fleet two do."""

from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from rackhub.trials.processes.cases.case import comes_about, steady
from rackhub.trials.processes.cases.members import whole
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.site import Plan
from rackhub.trials.processes.trial import Trial

FLAT, CALM = 1.2, 3.0  # the largest over the least; seconds that are not counted, in which gateways learn
HEAL = 30.0


class Row(msgspec.Struct, frozen=True):
    """One run. `probes`: for each engine and second; `least`, `most`: of one engine."""

    way: str
    processes: int
    probes: float
    least: float
    most: float
    faults: dict[str, int]


def one(way: str, processes: int, engines: int, seed: int, load: float, seconds: float, reactor: Any) -> Row:
    fleet = way == "fleet"
    with Rig(
        Plan(gateways=processes, engines=engines, seed=seed, peers=fleet, fleet=fleet, probes=True), reactor
    ) as rig:
        rig.up()
        if fleet and not comes_about(rig, lambda: whole(rig), HEAL):
            raise RuntimeError(f"{processes} gateways were never one fleet")
        before: dict[str, int] = {}
        rig.reactor.callLater(
            CALM, lambda: before.update({name: sum(each.probes.values()) for name, each in rig.engines.items()})
        )
        trial = Trial(rig, [steady(rig, load, CALM + seconds)], seed).run()
        spent = (rig.clock.now() - trial.at(CALM)) / 1_000_000
        found = [(sum(each.probes.values()) - before[name]) / spent for name, each in rig.engines.items()]
        row = Row(
            way,
            processes,
            round(sum(found) / len(found), 2),
            round(min(found), 2),
            round(max(found), 2),
            trial.verdict("probes").faults,
        )
        trial.close()
        return row


def run(
    counts: Sequence[int],
    ways: Sequence[str],
    engines: int,
    seed: int,
    load: float,
    seconds: float,
    reactor: Any,
    told: Callable[[Row], None] = lambda row: None,
) -> list[Row]:
    rows = []
    for way in ways:
        for processes in counts:
            rows.append(one(way, processes, engines, seed, load, seconds, reactor))
            told(rows[-1])
    return rows


def flat(rows: Sequence[Row]) -> bool:
    """Whether those of the fleet are within a fifth of one another, and there are some of two sizes at least."""
    found = [row.probes for row in rows if row.way == "fleet"]
    return len(found) > 1 and min(found) > 0 and max(found) <= FLAT * min(found)
