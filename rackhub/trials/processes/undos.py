"""How long an undo takes until the last gateway holds it, under load: by the clock of who asked for it."""

from typing import Any

import msgspec

from rackhub.trials.processes.cases.case import comes_about, steady
from rackhub.trials.processes.cases.rules import GOOD, HEAL, ready
from rackhub.trials.processes.clock import until
from rackhub.trials.processes.editors import Editors
from rackhub.trials.processes.history import Op
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.site import Plan
from rackhub.trials.processes.trial import Trial

WAIT_MS = 10_000


class Report(msgspec.Struct, frozen=True):
    """Milliseconds from saying the undo to hearing that all that live hold it. `not_held`: those that some did not hold
    within the wait."""

    processes: int
    undos: int
    refused: int
    not_held: int
    p50_ms: float
    p99_ms: float
    most_ms: float
    edits_p50_ms: float
    faults: dict[str, int]
    worth: float


def quantile(values: list[float], part: float) -> float:
    """The least value that so large a part is not above; 0 of none."""
    ordered = sorted(values)
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def run(processes: int, count: int, seed: int, load: float, reactor: Any) -> Report:
    plan = Plan(gateways=processes, sites=3, engines=6, cores=4.0, seed=seed, peers=True, fleet=True, keepers=3)
    with Rig(plan, reactor) as rig:
        rig.up()
        if not comes_about(rig, lambda: ready(rig), HEAL):
            raise RuntimeError("the gateways never all answered for their rules")
        editors, names = Editors(rig, seed), plan.gateway_names()
        trial = Trial(rig, [steady(rig, load, 300.0)], seed) if load else None
        if trial is not None:
            trial.start()
        undos: list[Op] = []
        edits: list[Op] = []
        for number in range(count):
            for made, call in (
                (edits, lambda at: editors.edit(at, GOOD, wait_ms=WAIT_MS)),
                (undos, lambda at: editors.undo(at, wait_ms=WAIT_MS)),
            ):
                op = call(names[number % len(names)])
                made.append(op)
                until(reactor, lambda op=op: bool(op.end), 120.0, "an edit or undo")  # type: ignore[misc]
        faults: dict[str, int] = {}
        worth = 1.0
        if trial is not None:
            trial.stop()
            verdict = trial.verdict("undos")
            faults, worth = verdict.faults, verdict.figures["worth"]
            trial.close()
        taken = [op for op in undos if op.number]
        late = [op for op in taken if editors.answers[op.id].get("missing")]
        took = [(op.end - op.begin) / 1_000 for op in taken]
        return Report(
            processes,
            len(taken),
            len(undos) - len(taken),
            len(late),
            quantile(took, 0.5),
            quantile(took, 0.99),
            max(took, default=0.0),
            quantile([(op.end - op.begin) / 1_000 for op in edits if op.number], 0.5),
            faults,
            worth,
        )
