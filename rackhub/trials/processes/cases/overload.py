"""Hard case 1: more than the engines can do for some seconds, with clients that retry; then the cause is gone.

It runs on the program as it stands, which shows what it does; with the fleet's parts on, the same runs judge them.
"""

from collections.abc import Sequence

from rackhub.trials.processes import bound
from rackhub.trials.processes.arrivals import Load
from rackhub.trials.processes.cases.case import Case, all_serve, names, recovery, steady, step
from rackhub.trials.processes.clients import Retry
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.schedule import Schedule, Step
from rackhub.trials.processes.trial import Trial, Verdict

BASE, TIMES = 0.7, 2.0  # of what the engines can do, before and after; in all while it lasts
BEGIN, LASTS, AFTER = 4.0, 3.0, 8.0
HEARD = 1.0  # seconds


def over(
    rig: Rig,
    seed: int,
    brief: bool,
    name: str,
    hot: float = 0.0,
    steps: Sequence[Step] = (),
    honour: bool = True,
    after: float = AFTER,
) -> Verdict:
    begin, after = (2.0, 6.0) if brief else (BEGIN, after)
    end = begin + LASTS
    gateways = rig.plan.gateway_names()
    cold = (1 - hot) / max(len(gateways) - 1, 1)
    weights = {each: hot if each == gateways[0] else cold for each in gateways} if hot else {}
    loads: list[Load] = [
        steady(rig, BASE, end + after, weights=weights, bad=0.01),
        steady(rig, TIMES - BASE, end, begin, weights=weights),
    ]
    moved = tuple(step(begin + each.at_ms / 1_000, each.do, each.whom, **each.more) for each in steps)
    trial = Trial(rig, loads, seed, Retry(most=2, honour=honour), Schedule(step=moved)).run()
    all_serve(rig, trial_verdict := trial.verdict(name))
    recovery(trial, trial_verdict, (1.0, begin), (begin, end), end)
    if rig.plan.fleet:  # a level begins when records have told of it
        ended = {name for each in steps for name in each.whom}
        bound.judge(trial_verdict, rig.attempts.all, rig.plan, trial.at(begin + HEARD), trial.at(end), len(ended))
    trial.close()
    return trial_verdict


def patient(rig: Rig, seed: int, brief: bool) -> Verdict:
    return over(rig, seed, brief, "overload")


def heedless(rig: Rig, seed: int, brief: bool) -> Verdict:
    return over(rig, seed, brief, "overload-heedless", honour=False)


def hot(rig: Rig, seed: int, brief: bool) -> Verdict:
    return over(rig, seed, brief, "overload-hot", hot=0.6)


def killed(rig: Rig, seed: int, brief: bool) -> Verdict:
    whom = names(rig, 0.7)
    return over(rig, seed, brief, "overload-killed", steps=(step(1.5, "kill", whom), step(2.5, "start", whom)))


def restarted(rig: Rig, seed: int, brief: bool) -> Verdict:
    """All of them, a moment apart, as a rollout in a promote."""
    steps = [
        each
        for number, name in enumerate(rig.gateways)
        for each in (step(1.0 + 0.15 * number, "term", (name,)), step(1.05 + 0.15 * number, "start", (name,)))
    ]
    return over(rig, seed, brief, "overload-restarted", steps=steps, after=AFTER + 8)


ALONE = (
    Case("overload", "2 times for 3 s; clients retry twice at other gateways after the back-off", patient),
    Case("overload-heedless", "the same with clients that do not heed the back-off", heedless),
    Case("overload-hot", "the same with one gateway at 60% of all traffic", hot),
    Case("overload-killed", "the same with 7 of 10 killed at its height and back empty", killed),
    Case("overload-restarted", "the same with all restarted at its height", restarted),
)
CASES = ALONE + tuple(
    Case(
        f"{case.name}-fleet",
        f"{case.about}; with [fleet] on, and what all run within its bound",
        case.run,
        ("overload",),
        {"fleet": True},
    )
    for case in ALONE
)
