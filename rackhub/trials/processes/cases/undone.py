"""Hard case 6's last one: a gather's rule is undone while gathers under it are open. Each ends under the rules that it
began with; what comes once the undo is held goes by the new ones."""

import base64
from typing import Any

from rackhub.trials.processes import rows
from rackhub.trials.processes.cases.case import Case, all_serve, comes_about, steady, step
from rackhub.trials.processes.cases.rules import HEAL, judge, ready
from rackhub.trials.processes.changes import Changes
from rackhub.trials.processes.clock import pass_time, until
from rackhub.trials.processes.editors import Editors
from rackhub.trials.processes.history import Op
from rackhub.trials.processes.link import Request
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.schedule import Schedule
from rackhub.trials.processes.trial import Trial, Verdict

WAIT_MS, LATE = 5_000, 1_200_000
ONE, OTHER = ("s0", "s1", "s2"), ("s2", "s0")


def content(sites: tuple[str, ...]) -> dict[str, Any]:
    return {
        "site": [{"name": each, "zones": [each]} for each in ONE],
        "rule": [{"class": "report", "sites": list(sites)}],
    }


def undone(rig: Rig, seed: int, brief: bool) -> Verdict:
    """Two undos, so to and back; engines are slow all the while, so that gathers are open across both."""
    if not comes_about(rig, lambda: ready(rig), HEAL):
        return Verdict("gather-undone", seed, unsettled=["the gateways never all answered for their rules"])
    editors, names = Editors(rig, seed), rig.plan.gateway_names()
    editors.watch()
    for sites in (ONE, OTHER):
        op = editors.edit(names[0], content(sites), name="gather", wait_ms=WAIT_MS)
        until(rig.reactor, lambda op=op: bool(op.end), 60.0, "an edit")  # type: ignore[misc]
        if not op.number:
            return Verdict("gather-undone", seed, unsettled=[f"the edit was not taken: {op.why}"])
    changes, made, end = Changes(OTHER), list[Op](), 9.0

    def undo(after: tuple[str, ...]) -> None:
        made.append(op := editors.undo(names[-1], lambda op: changes.held(op.end), wait_ms=WAIT_MS))
        changes.asked(op.begin, after)

    def wrong(request: Request, result: dict[str, Any]) -> str | None:
        body = base64.b64decode(result.get("body", ""))
        if request.arrival.kind.name != "report":
            return rows.fault(body, request.arrival.statement)
        parts = rows.makers(body, request.arrival.statement)
        if parts is None:
            return "rows that no engine made for it"
        return changes.wrong(request.sent, rig.clock.now(), tuple(site for _, site in parts))

    rig.reactor.callLater(3.0, undo, ONE)
    rig.reactor.callLater(6.0, undo, OTHER)
    engines = tuple(rig.engines)
    loads = [steady(rig, 0.1, end + 2.0, kinds=("lookup",), bad=0.01), steady(rig, 0.05, end, kinds=("report",))]
    trial = Trial(
        rig,
        loads,
        seed,
        steps=Schedule(step=(step(1.0, "mood", engines, late=LATE), step(end, "mood", engines, late=0))),
        judge=wrong,
    ).run(30.0)
    verdict = trial.verdict("gather-undone")
    pass_time(rig.reactor, 0.5)
    judge(rig, editors, verdict)
    verdict.figures |= {
        "open_across": changes.across,
        "under_new": changes.after,
        "between": changes.between,
        "undo_ms": [(op.end - op.begin) // 1_000 for op in made],
    }
    for op in made:
        missing = editors.answers.get(op.id, {}).get("missing")
        if not op.number or missing:
            verdict.unsettled.append(f"an undo was not held by all: {op.why or missing}")
    if not changes.across or not changes.after:
        verdict.unsettled.append(
            f"nothing is proved: {changes.across} gathers were open across an undo, {changes.after} came after one"
        )
    all_serve(rig, verdict)
    trial.close()
    return verdict


CASES = (
    Case(
        "gather-undone",
        "a gather's rule is undone under open gathers, and brought back",
        undone,
        ("members", "rules", "gather"),
        {"fleet": True, "keepers": 3, "sites": 3, "engines": 6, "peers": True},
    ),
)
