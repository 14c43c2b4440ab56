"""Every hard case in turn, each on a fleet of its own, for so many cycles from one seed."""

from collections.abc import Callable, Sequence
from importlib.util import find_spec
from typing import Any

import msgspec

from rackhub.trials.processes.cases import CASES
from rackhub.trials.processes.cases.case import Case
from rackhub.trials.processes.clock import NotSoon
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.site import Plan
from rackhub.trials.processes.trial import Verdict


class Report(msgspec.Struct):
    """`faults`: of safety, by kind, over all. `unsettled`: cycles whose final state was not as it should be. `skipped`:
    cases that this program has not the parts for."""

    processes: int
    cycles: int
    seed: int
    ran: int
    faults: dict[str, int]
    unsettled: int
    skipped: dict[str, str]
    verdicts: list[Verdict]

    def good(self) -> bool:
        return self.ran > 0 and not self.faults and not self.unsettled


def missing(case: Case) -> str:
    """The parts that it needs and that are not there; "" where all are."""
    lacking = [need for need in case.needs if not there(need)]
    return f"this program has no {', '.join(lacking)}" if lacking else ""


def there(need: str) -> bool:
    """Whether this program has the package."""
    name = f"rackhub.{need}" if need == "gather" else f"rackhub.fleet.{need}"
    try:
        return find_spec(name) is not None
    except ModuleNotFoundError:
        return False


def one(case: Case, processes: int, seed: int, reactor: Any, brief: bool = False, fleet: bool = False) -> Verdict:
    """This case on a fleet of its own. `fleet`: with the `[fleet]` parts on also where the case needs none."""
    lacking = missing(case)
    if lacking:
        return Verdict(case.name, seed, skipped=lacking)
    more = {"fleet": fleet, "engines": max(4, processes // 2)} | case.plan
    more = {"peers": more["fleet"]} | more
    plan = Plan(gateways=processes, cores=4.0, seed=seed, **more)
    try:
        with Rig(plan, reactor) as rig:
            rig.up()
            verdict = case.run(rig, seed, brief)
            verdict.case = case.name
            return verdict
    except (NotSoon, RuntimeError) as fault:
        return Verdict(case.name, seed, unsettled=[f"{type(fault).__name__}: {fault}"])


def run(
    processes: int,
    cycles: int,
    seed: int,
    names: Sequence[str],
    reactor: Any,
    brief: bool = False,
    fleet: bool = False,
    told: Callable[[Verdict], None] = lambda verdict: None,
) -> Report:
    """So many cycles, each one case, in the order of `CASES`; the seed goes on by one each time."""
    chosen = [CASES[name] for name in names or CASES]
    skipped = {case.name: why for case in chosen if (why := missing(case))}
    able = [case for case in chosen if case.name not in skipped]
    verdicts = []
    for cycle in range(cycles if able else 0):
        verdict = one(able[cycle % len(able)], processes, seed + cycle, reactor, brief, fleet)
        if verdict.skipped:
            skipped[verdict.case] = verdict.skipped
            continue
        verdicts.append(verdict)
        told(verdict)
    faults: dict[str, int] = {}
    for verdict in verdicts:
        for kind, count in verdict.faults.items():
            faults[kind] = faults.get(kind, 0) + count
    return Report(
        processes,
        cycles,
        seed,
        len(verdicts),
        faults,
        sum(bool(each.unsettled) for each in verdicts),
        skipped,
        verdicts,
    )
