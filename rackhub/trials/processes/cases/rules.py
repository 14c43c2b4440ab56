"""Hard cases 4, 5 and 7: rule edits and their undo, under faults and under overload. Written against the control port's
`rules.*` calls."""

from typing import Any

from rackhub.trials.processes.arrivals import Load
from rackhub.trials.processes.cases.case import Case, all_serve, ask_all, comes_about, names, recovery, steady, step
from rackhub.trials.processes.clients import Retry
from rackhub.trials.processes.clock import NotSoon, until
from rackhub.trials.processes.editors import Editors
from rackhub.trials.processes.history import Entry, Op, check
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.schedule import Schedule, Step
from rackhub.trials.processes.trial import Trial, Verdict

SECOND, HEAL = 1_000_000, 30.0
BAD = {"route": [{"class": "lookup", "attempts": 1, "attempt_timeout_ms": 5}]}  # legal, and hardly any lookup ends
GOOD = {"route": [{"class": "lookup", "attempts": 2}]}


def ready(rig: Rig) -> bool:
    """Every gateway answers for its rules, and knows of all others."""
    return all(
        told and "newest" in told and sum(each["lives"] for each in told["gateways"]) == len(rig.gateways)
        for told in ask_all(rig, {"call": "rules.status"}).values()
    )


def agreed(rig: Rig) -> bool:
    """All hold one and the same newest version, and no trial is left."""
    told = list(ask_all(rig, {"call": "rules.status"}).values())
    return (
        all(each and each.get("version") == each.get("newest") and not each.get("trial") for each in told)
        and len({each["newest"] for each in told}) == 1
    )


def keepers(rig: Rig) -> list[str]:
    return rig.plan.gateway_names()[: rig.plan.keepers]


def judge(rig: Rig, editors: Editors, verdict: Verdict) -> None:
    """Final state and history, once all is healed and nobody edits."""
    editors.stop()
    try:
        until(rig.reactor, lambda: not editors.busy(), 60.0, "the outcome of every operation")
    except NotSoon as bad:
        verdict.unsettled.append(str(bad))
    if not comes_about(rig, lambda: agreed(rig), HEAL):
        told = ask_all(rig, {"call": "rules.status"})
        verdict.unsettled.append(
            "not all hold one newest version: "
            + str({name: (each or {}).get("version") for name, each in told.items()})
        )
    found: list[dict[str, list[Entry]]] = []
    editors.histories(found.append)
    until(rig.reactor, lambda: bool(found), 30.0, "histories")
    for kind, case in check(editors.ops, editors.held, found[0]):
        verdict.faults[kind] = verdict.faults.get(kind, 0) + 1
        verdict.examples.setdefault(kind, []).append(case)
    done, refused = [op for op in editors.ops if op.number], [op for op in editors.ops if op.number == 0]
    verdict.figures["rules"] = {
        "asked": len(editors.ops),
        "done": len(done),
        "refused": len(refused),
        "unknown": sum(op.number is None for op in editors.ops),
        "why_refused": sorted({op.why[:80] for op in refused})[:4],
        "watched": len(editors.held),
    }
    if not done:
        verdict.unsettled.append("no edit was ever taken: nothing is proved")


def edited(rig: Rig, seed: int, name: str, steps: tuple[Step, ...], end: float, among: list[list[str]]) -> Verdict:
    """Operators, each at the gateways of one list, edit and undo from 1 s to `end`, under a load that all can carry."""
    if not comes_about(rig, lambda: ready(rig), HEAL):
        return Verdict(name, seed, unsettled=["the gateways never all answered for their rules"])
    editors = Editors(rig, seed)
    editors.watch()
    for each in among:
        rig.reactor.callLater(1.0, editors.keep_on, each)
    rig.reactor.callLater(end, editors.stop)
    trial = Trial(
        rig, [steady(rig, 0.5, end + 3.0, bad=0.01)], seed, steps=Schedule(step=(*steps, step(end, "heal")))
    ).run(30.0)
    verdict = trial.verdict(name)
    judge(rig, editors, verdict)
    all_serve(rig, verdict)
    trial.close()
    return verdict


def two(rig: Rig, seed: int, brief: bool) -> Verdict:
    """One keeper is killed between, and comes back with its disk."""
    end, whom = (6.0 if brief else 14.0), keepers(rig)[-1:]
    first, last = rig.plan.gateway_names()[0], rig.plan.gateway_names()[-1]
    steps = (step(2.0, "kill", whom), step(3.5, "start", whom))
    return edited(rig, seed, "rules-two", steps, end, [[first], [last]])


def wiped(rig: Rig, seed: int, brief: bool) -> Verdict:
    """One keeper comes back with an empty disk, and is not the one it was."""
    end, whom = (7.0 if brief else 14.0), keepers(rig)[-1:]
    first = rig.plan.gateway_names()[:2]
    steps = (step(2.0, "kill", whom), step(2.5, "wipe", whom), step(3.0, "start", whom))
    return edited(rig, seed, "rules-wiped", steps, end, [first, first])


def minority(rig: Rig, seed: int, brief: bool) -> Verdict:
    """One keeper alone is cut from all: edits there must not be taken; the others go on."""
    end, whom = (7.0 if brief else 14.0), keepers(rig)[:1]
    others = [name for name in rig.gateways if name not in whom]
    return edited(rig, seed, "rules-minority", (step(1.0, "way", whom, cut=True),), end, [whom, others])


def asleep(rig: Rig, seed: int, brief: bool) -> Verdict:
    """A gateway that is no keeper sleeps through edits and undos; another one is killed and started in the middle."""
    end, others = (8.0 if brief else 20.0), rig.plan.gateway_names()
    steps = (
        step(1.5, "pause", others[-1:]),
        step(end - 2.0, "go_on", others[-1:]),
        step(3.0, "kill", others[1:2]),
        step(4.0, "start", others[1:2]),
    )
    return edited(rig, seed, "rules-asleep", steps, end, [others[:1], others[2:3]])


def worse(rig: Rig, seed: int, brief: bool) -> Verdict:
    """A trial that makes it worse, during overload; a gateway that holds it is cut off. Its guard or its time must undo
    it everywhere."""
    if not comes_about(rig, lambda: ready(rig), HEAL):
        return Verdict("trial-worse", seed, unsettled=["the gateways never all answered for their rules"])
    editors, name = Editors(rig, seed), rig.plan.gateway_names()[0]
    editors.watch()
    made: list[Op] = []
    rig.reactor.callLater(
        2.0, lambda: made.append(editors.edit(name, BAD, trial_ms=8_000, first=max(len(rig.gateways) // 4, 1)))
    )
    loads: list[Load] = [steady(rig, 0.6, 16.0, bad=0.01), steady(rig, 0.6, 6.0, 3.0)]
    trial = Trial(
        rig, loads, seed, Retry(most=2), Schedule(step=(step(4.0, "way", (name,), cut=True), step(13.0, "heal")))
    ).run(30.0)
    verdict = trial.verdict("trial-worse")
    shown = ask_all(rig, {"call": "rules.show"})
    judge(rig, editors, verdict)
    still = [
        gateway
        for gateway, told in ask_all(rig, {"call": "rules.show"}).items()
        if told and told["version"]["content"].get("timings") == BAD
    ]
    if still:
        verdict.unsettled.append(f"the undone trial is held still by {still}")
    verdict.figures["shown"] = {gateway: (told or {}).get("held") for gateway, told in shown.items()}
    verdict.figures["trial"] = [(op.number, op.why) for op in made]
    all_serve(rig, verdict)
    trial.close()
    return verdict


def all_in_one(rig: Rig, seed: int, brief: bool) -> Verdict:
    """A bad rule is edited in during overload while one of three sites is cut one way, it is undone, the cut heals. An
    edit is refused while one that lives gives no answer, until it is held for cut: then it is said again, as the
    operators' page has it."""
    if not comes_about(rig, lambda: ready(rig), HEAL):
        return Verdict("all-in-one", seed, unsettled=["the gateways never all answered for their rules"])
    editors, gateways = Editors(rig, seed), rig.plan.gateway_names()
    editors.watch()
    cut = [name for name, each in rig.gateways.items() if each.site == "s2"] or list(names(rig, 0.01))
    editors.edit(gateways[0], GOOD)
    bad: list[Op] = []

    def say(left: int) -> None:
        bad.append(editors.edit(gateways[0], BAD, lambda op: heard(op, left)))

    def heard(op: Op, left: int) -> None:
        if op.number:
            rig.reactor.callLater(2.0, editors.undo, gateways[1])
        elif left and "no answer from" in op.why:
            rig.reactor.callLater(0.3, say, left - 1)

    rig.reactor.callLater(4.5, say, 4)
    loads: list[Load] = [steady(rig, 0.6, 26.0, bad=0.01), steady(rig, 1.4, 8.0, 4.0)]
    trial = Trial(
        rig,
        loads,
        seed,
        Retry(most=2),
        Schedule(step=(step(4.3, "way", cut, cut=True, both=False), step(13.0, "heal"))),
    ).run(30.0)
    verdict = trial.verdict("all-in-one")
    recovery(trial, verdict, (1.0, 3.5), (4.0, 8.0), 13.0)
    judge(rig, editors, verdict)
    verdict.figures["bad_rule"] = [
        (
            round((op.begin - trial.began) / SECOND, 1),
            round((op.end - op.begin) / SECOND, 1),
            op.number,
            op.why[:120],
            editors.answers[op.id].get("unasked"),
        )
        for op in bad
    ]
    if not bad[-1].number:
        verdict.unsettled.append(f"the bad rule was never taken, so nothing was undone: {bad[-1].why}")
    held: dict[str, Any] = {
        gateway: (told or {}).get("version", {}).get("content", {}).get("timings")
        for gateway, told in ask_all(rig, {"call": "rules.show"}).items()
    }
    if any(timings != GOOD for timings in held.values()):
        verdict.unsettled.append(f"not all hold what held before the bad rule: {held}")
    all_serve(rig, verdict)
    trial.close()
    return verdict


PLAN: dict[str, Any] = {"fleet": True, "keepers": 3, "sites": 3}
CASES = tuple(
    Case(name, about, run, ("members", "rules"), PLAN)
    for name, about, run in (
        ("rules-two", "two operators edit and undo at once at two gateways; a keeper is killed and comes back", two),
        ("rules-wiped", "a keeper comes back with an empty disk", wiped),
        ("rules-minority", "a minority that tries to edit", minority),
        ("rules-asleep", "a gateway asleep through edits and undos, another one restarted in the middle", asleep),
        ("trial-worse", "a trial that makes it worse during overload, its holder cut off", worse),
        ("all-in-one", "a bad rule during overload while a site is cut one way; undone; healed", all_in_one),
    )
)
