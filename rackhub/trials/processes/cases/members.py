"""Hard case 2: what the switch does between gateways. Written against the control port's call `fleet`."""

from collections import Counter
from collections.abc import Sequence
from typing import Any

from rackhub.trials.processes.calls import say
from rackhub.trials.processes.cases.case import Case, all_serve, ask_all, comes_about, names, recovery, steady, step
from rackhub.trials.processes.forger import LIES, Forger
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.schedule import Schedule, Step
from rackhub.trials.processes.trial import Trial, Verdict

HEAL = 30.0  # seconds after which all must have all back


def whole(rig: Rig) -> bool:
    """Every gateway holds every gateway alive, and hears it."""
    everyone = set(rig.gateways)
    for told in ask_all(rig, {"call": "fleet"}).values():
        members = (told or {}).get("members", {})
        if {name for name, each in members.items() if each.get("state") == "alive"} != everyone or set(
            (told or {}).get("heard", ())
        ) != everyone:
            return False
    return True


def states(rig: Rig) -> dict[str, dict[str, Any]]:
    """Who holds whom for what."""
    return {
        name: {other: each.get("state") for other, each in (told or {}).get("members", {}).items()}
        for name, told in ask_all(rig, {"call": "fleet"}).items()
    }


def between(
    rig: Rig, seed: int, brief: bool, name: str, steps: tuple[Step, ...], lasts: float, notice: bool = True
) -> Verdict:
    """Something lies between gateways for a while, under a load that all together carry; then it is healed, and all
    must have all back. `notice`: some must have held others for less than alive meanwhile."""
    if not comes_about(rig, lambda: whole(rig), HEAL):
        return Verdict(name, seed, unsettled=[f"the fleet was never whole: {states(rig)}"])
    end = 2.0 + lasts
    seen: dict[str, Any] = {}
    for gateway in rig.gateways.values():  # how it looks just before it is healed
        rig.reactor.callLater(
            end - 0.3,
            say,
            rig.reactor,
            gateway.control,
            {"call": "fleet"},
            lambda told, name=gateway.name: seen.__setitem__(name, told),
        )
    trial = Trial(
        rig, [steady(rig, 0.6, end + 6.0, bad=0.01)], seed, steps=Schedule(step=(*steps, step(end, "heal")))
    ).run()
    verdict = trial.verdict(name)
    recovery(trial, verdict, (0.0, 2.0), (2.0, end), end)
    views = Counter(each.get("state") for told in seen.values() if told for each in told.get("members", {}).values())
    verdict.figures |= {
        "held_for": dict(views),
        "nonsense": {name: told["nonsense"] for name, told in seen.items() if told and told.get("nonsense")},
    }
    if notice and not any(count for state, count in views.items() if state != "alive"):
        verdict.unsettled.append("nobody noticed it: all were held alive to its end")
    if not comes_about(rig, lambda: whole(rig), HEAL):
        verdict.unsettled.append(f"members given up and not taken back: {states(rig)}")
    all_serve(rig, verdict)
    trial.close()
    return verdict


def half(rig: Rig, seed: int, brief: bool) -> Verdict:
    lasts = 4.0 if brief else 12.0
    return between(rig, seed, brief, "half-cut", (step(2.0, "way", names(rig, 0.5), cut=True),), lasts)


def one_way(rig: Rig, seed: int, brief: bool) -> Verdict:
    lasts = 4.0 if brief else 12.0
    return between(rig, seed, brief, "one-way", (step(2.0, "way", names(rig, 0.5), cut=True, both=False),), lasts)


def late(rig: Rig, seed: int, brief: bool) -> Verdict:
    """Everything between gateways is 2 s old."""
    lasts = 4.0 if brief else 12.0
    everyone = tuple(rig.gateways)
    return between(
        rig,
        seed,
        brief,
        "late-records",
        (step(2.0, "way", everyone, to=list(everyone), delay=2_000_000),),
        lasts,
        notice=False,
    )


def noise(rig: Rig, seed: int, brief: bool) -> Verdict:
    """Losses, copies, disorder and damage on every way, and one member of which nothing comes undamaged."""
    lasts = 4.0 if brief else 12.0
    return between(
        rig,
        seed,
        brief,
        "noise",
        (
            step(
                2.0,
                "way",
                tuple(rig.gateways),
                to=list(rig.gateways),
                drop=0.15,
                double=0.1,
                reorder=0.2,
                damage=0.05,
                jitter=40_000,
            ),
            step(2.1, "way", names(rig, 0.01), both=False, damage=1.0),
        ),
        lasts,
    )


def lying(rig: Rig, seed: int, brief: bool, name: str, ways: Sequence[str], part: float) -> tuple[Verdict, Forger]:
    """One tells nonsense of its load. Worth while it does is held against `part` of what was before."""
    lasts, (whom,) = (5.0 if brief else 12.0), names(rig, 0.01)
    tap = Forger(whom, list(rig.engines), seed, ways)
    for at, put in ((2.0, tap), (2.0 + lasts, None)):
        rig.reactor.callLater(at, setattr, rig.switch, "tap", put)
    verdict = between(rig, seed, brief, name, (), lasts, notice=False)
    rig.switch.tap = None
    verdict.figures["forged"] = dict(tap.forged)
    before, during = verdict.figures.get("worth_before", 1.0), verdict.figures.get("worth_during", 0.0)
    if during < part * before:
        verdict.unsettled.append(f"the others did not go on: worth {during} while it lied, {before} before")
    if not tap.forged:
        verdict.unsettled.append("nothing was forged: nothing is proved")
    return verdict, tap


def forged(rig: Rig, seed: int, brief: bool) -> Verdict:
    """Figures that no sound gateway tells, and all engines dead: it must be named by all others, who go on."""
    verdict, tap = lying(rig, seed, brief, "forged", ("disordered",), 0.95)
    words = f"member {tap.whom} tells what is no record"
    named = [name for name in rig.gateways if words in rig.processes.by_name[name].said()]
    verdict.figures["named_by"] = len(named)
    if len(named) < len(rig.gateways) - 1:
        verdict.unsettled.append(f"{tap.whom} is named by {named} alone")
    return verdict


def lies(rig: Rig, seed: int, brief: bool) -> Verdict:
    """Figures that could be told: nobody can name them, but the others keep their slices at the least."""
    return lying(rig, seed, brief, "lies", LIES, 1 - 1 / len(rig.gateways))[0]


def asleep(rig: Rig, seed: int, brief: bool) -> Verdict:
    """One stands still for 20 s and wakes with old records and a full outbox."""
    lasts, whom = (4.0 if brief else 20.0), names(rig, 0.01)
    return between(rig, seed, brief, "asleep", (step(2.0, "pause", whom), step(2.0 + lasts, "go_on", whom)), lasts)


CASES = (
    *(
        Case(name, about, run, ("members",), {"fleet": True})
        for name, about, run in (
            ("half-cut", "half of the gateways cut from the other half", half),
            ("one-way", "one half is not heard by the other", one_way),
            ("late-records", "all that gateways tell one another is 2 s late", late),
            ("noise", "losses, copies, disorder and damage; one member tells nothing but nonsense", noise),
            ("asleep", "a member stands still for 20 s and wakes with old records", asleep),
        )
    ),
    *(
        Case(name, about, run, ("members", "overload"), {"fleet": True, "probes": True})
        for name, about, run in (
            ("forged", "a member's records are well-formed nonsense: figures that can't be, all engines dead", forged),
            ("lies", "a member's records are lies that could be told: all the work in the world, all lent", lies),
        )
    ),
)
