"""What all gateways ran at once, as the engines saw it, against the bound that docs/design/overload.md derives."""

import math
from collections.abc import Iterable

from rackhub.trials.processes.attempts import Sent
from rackhub.trials.processes.site import Plan
from rackhub.trials.processes.trial import Verdict

THREADS_PER_CORE = 1.5  # as the note has it


def most(sent: Iterable[Sent], plan: Plan, begin: int, end: int) -> int:
    """The most threads that were out at any time between."""
    threads = {kind.name: kind.threads for kind in plan.kinds}
    moves = sorted(
        (at, way * threads[each.cls])
        for each in sent
        if each.at < end and not 0 < each.over <= begin
        for at, way in ((max(each.at, begin), 1), (each.over or end, -1))
    )
    out = found = 0
    for _, by in moves:  # of one moment the ends come first
        out += by
        found = max(found, out)
    return found


def bound(plan: Plan, came_back: int = 0) -> float:
    """Threads, with warm engines: C S + 2 sqrt(N C S) + N threads of one request. `came_back`: gateways that died and
    whose work may still run, or that are back and not heard of by all."""
    n, able = plan.gateways, plan.engines * plan.cores * THREADS_PER_CORE
    able *= 1 + came_back / n
    return able + 2 * math.sqrt(n * able) + n * max(kind.threads for kind in plan.kinds)


def judge(verdict: Verdict, sent: Iterable[Sent], plan: Plan, begin: int, end: int, came_back: int = 0) -> None:
    """Adds both figures, and a fault where more ran."""
    ran, may = most(sent, plan, begin, end), bound(plan, came_back)
    verdict.figures |= {"most_threads": ran, "bound_threads": round(may, 1)}
    if ran > may:
        verdict.faults["over_bound"] = verdict.faults.get("over_bound", 0) + 1
        verdict.examples.setdefault("over_bound", []).append(f"{ran} threads at once, the bound is {may:.1f}")
