"""Hard case 6: gathers over sites that are silent, trickle, break off or are late; the gathering gateway ends."""

from typing import Any

from rackhub.trials.processes.cases.case import Case, all_serve, names, recovery, steady, step
from rackhub.trials.processes.gathered import Judge
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.schedule import Schedule, Step
from rackhub.trials.processes.trial import Trial, Verdict

SITES = ("s0", "s1", "s2")
PLACES = "".join(f'[[gather.site]]\nname = "{site}"\nzones = ["{site}"]\n' for site in SITES)
RULE = f'[[gather.rule]]\nclass = "report"\nsites = {list(SITES)}\n'.replace("'", '"')
ALL = PLACES + RULE
NEED = PLACES + RULE + 'needs = ["s0"]\npartial = true\nwait = "learned"\n'
REPORTS = ("report",)
NEAR = ("s0", "far")  # the second is gateways of this rig itself, which gather no further
FAR = (
    PLACES + '[[gather.site]]\nname = "far"\ngateways = ["@door:g0@", "@door:g1@"]\n'
    '[[gather.rule]]\nclass = "report"\nsites = ["s0", "far"]\nneeds = ["s0"]\npartial = true\nwait = "learned"\n'
)


def gather(
    rig: Rig,
    seed: int,
    name: str,
    steps: tuple[Step, ...],
    partial: bool,
    end: float,
    expect: bool = True,
    within: int = 5,
    sites: tuple[str, ...] = SITES,
) -> Verdict:
    """A third of what the engines can do, so that three parts of each report fit. `expect`: partial answers must have
    been seen where the rule allows them, else the case has proved nothing."""
    judge = Judge(sites, REPORTS, partial, lambda sign: rig.attempts.signs.get(sign, set()), ("far",))
    trial = Trial(
        rig, [steady(rig, 0.25, end + 7.0, bad=0.01, rows=200)], seed, steps=Schedule(step=steps), judge=judge
    ).run(30.0)
    verdict = trial.verdict(name)
    recovery(trial, verdict, (0.0, 2.0), (2.0, end), end, within)
    verdict.figures |= {"gathered": dict(judge.seen), "missing": dict(judge.missing)}
    if partial and expect and not judge.seen["partial"]:
        verdict.unsettled.append("no partial answer was seen: nothing is proved of them")
    if not judge.seen["whole"]:
        verdict.unsettled.append("no whole answer was seen")
    verdict.figures["last_of"] = {how: round(at / 1_000_000, 1) for how, at in judge.last.items()}
    if judge.last.get("whole", 0) < (trial.seconds - 4) * 1_000_000:
        verdict.unsettled.append(f"no whole answer in the last 4 s, long after its cause was gone: {judge.last}")
    all_serve(rig, verdict)
    trial.close()
    return verdict


def site(rig: Rig, *numbers: str) -> tuple[str, ...]:
    return tuple(engine.name for engine in rig.engines.values() if engine.site in numbers)


def moody(rig: Rig, brief: bool, whom: tuple[str, ...], **mood: Any) -> tuple[tuple[Step, ...], float]:
    end = 5.0 if brief else 10.0
    return (step(2.0, "mood", whom, **mood), step(end, "mood", whom, silent=False, trickle=0, late=0, resets=0.0)), end


def silent(rig: Rig, seed: int, brief: bool) -> Verdict:
    steps, end = moody(rig, brief, site(rig, "s2"), silent=True)
    return gather(rig, seed, "gather-silent", steps, True, end)


def silent_all(rig: Rig, seed: int, brief: bool) -> Verdict:
    """The baseline: all sites are needed, so nothing partial may be seen."""
    steps, end = moody(rig, brief, site(rig, "s2"), silent=True)
    return gather(rig, seed, "gather-all-silent", steps, False, end, within=8)


def trickles(rig: Rig, seed: int, brief: bool) -> Verdict:
    steps, end = moody(rig, brief, site(rig, "s1"), trickle=900_000)
    return gather(rig, seed, "gather-trickles", steps, True, end)


def resets(rig: Rig, seed: int, brief: bool) -> Verdict:
    steps, end = moody(rig, brief, site(rig, "s1"), resets=0.7)
    return gather(rig, seed, "gather-resets", steps, True, end, expect=False)


def late(rig: Rig, seed: int, brief: bool) -> Verdict:
    """All sites at once, so that the need can't be met in time."""
    steps, end = moody(rig, brief, site(rig, *SITES), late=4_000_000)
    return gather(rig, seed, "gather-late", steps, True, end, expect=False, within=8)


def dead(rig: Rig, seed: int, brief: bool) -> Verdict:
    end, whom = (5.0 if brief else 8.0), site(rig, "s2")
    return gather(rig, seed, "gather-dead", (step(2.0, "engine_dies", whom), step(end, "engine_back", whom)), True, end)


def term(rig: Rig, seed: int, brief: bool) -> Verdict:
    """The gathering gateway gets SIGTERM while gathers are open."""
    whom = names(rig, 0.5)
    return gather(
        rig, seed, "gather-term", (step(2.0, "term", whom), step(2.1, "start", whom)), True, 4.0, expect=False
    )


def far(rig: Rig, seed: int, brief: bool, name: str, expect: bool = True, **mode: Any) -> Verdict:
    """The other site is gateways behind doors, over the clients' protocol; something is with the doors for a while."""
    end, whom = (5.0 if brief else 9.0), ("g0", "g1")
    return gather(
        rig, seed, name, (step(2.0, "door", whom, **mode), step(end, "door", whom)), True, end, expect, sites=NEAR
    )


def one_way(rig: Rig, seed: int, brief: bool) -> Verdict:
    """It hears all and nothing comes back, then what was held comes late."""
    return far(rig, seed, brief, "gather-one-way", back=False)


def mid_rows(rig: Rig, seed: int, brief: bool) -> Verdict:
    return far(rig, seed, brief, "gather-mid-rows", closed=True, reset=True)


def slowly(rig: Rig, seed: int, brief: bool) -> Verdict:
    return far(rig, seed, brief, "gather-byte-by-byte", trickle=2_000)


CASES = tuple(
    Case(name, about, run, ("gather",), {"sites": 3, "engines": 6, "peers": True, "operator_more": more})
    for name, about, run, more in (
        ("gather-silent", "one of three sites takes all and answers nothing; the need is met without it", silent, NEED),
        ("gather-all-silent", "the same where all sites are needed: nothing partial is ever seen", silent_all, ALL),
        ("gather-trickles", "one of three sites gives its pages ever so slowly", trickles, NEED),
        ("gather-resets", "one of three sites breaks off in the middle of its rows", resets, NEED),
        ("gather-late", "all three sites are late at once", late, NEED),
        ("gather-dead", "the engines of one site die, and come back cold", dead, NEED),
        ("gather-term", "gathering gateways get SIGTERM with gathers open", term, NEED),
        ("gather-one-way", "gateways that gather from one another; nothing comes back for a while", one_way, FAR),
        (
            "gather-mid-rows",
            "the same; all connections between them break, and none comes up for a while",
            mid_rows,
            FAR,
        ),
        ("gather-byte-by-byte", "the same; what comes back trickles", slowly, FAR),
    )
)
