"""Hard case 3, and the part of 6 that needs no gathers: engines that die and come back cold, and sites that take all
and answer nothing, or page by page ever so slowly."""

from rackhub.trials.processes.cases.case import Case, all_serve, recovers, steady, step
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.schedule import Schedule
from rackhub.trials.processes.trial import Trial, Verdict

FIRST = 700_000  # microseconds that the first answers of an engine that is back take longer


def cold(rig: Rig, seed: int, brief: bool) -> Verdict:
    """Under pressure one engine dies, and comes back cold into what the others can't carry. `first_together`: what all
    gateways sent it before its first answer, which takes a while: else there is no time for a second one."""
    whom, end = ("e0",), 14.0 if brief else 22.0
    trial = Trial(
        rig,
        [steady(rig, 0.95, end, bad=0.01)],
        seed,
        steps=Schedule(
            step=(
                step(2.0, "engine_dies", whom),
                step(5.0, "engine_back", whom),
                step(5.0, "mood", whom, late=FIRST),
                step(7.0, "mood", whom, late=0),
            )
        ),
    ).run()
    verdict = trial.verdict("engine-cold")
    engine = rig.engines["e0"]
    here = [sent for sent in rig.attempts.all if sent.engine == "e0" and sent.at >= engine.came_up > 0]
    first = min((sent.over for sent in here if sent.how == "served"), default=0)
    verdict.figures |= {
        "sent_when_cold": len(here),
        "first_together": sum(sent.at < first for sent in here),
        "first_gateways": len({sent.gateway for sent in here if sent.at < first}),
        "cold_worst": round(max(engine.worst_cold, engine.cores.worst), 3),
        "fell": engine.falls,
    }
    if engine.falls:
        verdict.unsettled.append("the cold engine was pushed over and is down")
    elif not first:
        verdict.unsettled.append("the engine that came back was not used again")
    elif rig.plan.fleet and verdict.figures["first_together"] != 1:
        verdict.unsettled.append(
            f"{verdict.figures['first_together']} requests went to the engine that came back "
            "before its first answer, not one"
        )
    all_serve(rig, verdict)
    trial.close()
    return verdict


def site(rig: Rig, seed: int, brief: bool, name: str, **mood: object) -> Verdict:
    whom = tuple(engine.name for engine in rig.engines.values() if engine.site == "s0")
    end = 5.0 if brief else 8.0
    return recovers(
        rig,
        seed,
        name,
        steady(rig, 0.35, end + 7.0, bad=0.01, rows=400),
        (
            step(2.0, "mood", whom, **mood),
            step(end, "mood", whom, silent=False, trickle=0, late=0, errors=0.0, resets=0.0),
        ),
        (2.0, end),
    )


def silent(rig: Rig, seed: int, brief: bool) -> Verdict:
    return site(rig, seed, brief, "site-silent", silent=True)


def trickles(rig: Rig, seed: int, brief: bool) -> Verdict:
    return site(rig, seed, brief, "site-trickles", trickle=700_000)


def late(rig: Rig, seed: int, brief: bool) -> Verdict:
    """Answers come after the end of what asked for them."""
    return site(rig, seed, brief, "site-late", late=3_000_000)


def killed_mid_rows(rig: Rig, seed: int, brief: bool) -> Verdict:
    return site(rig, seed, brief, "site-resets", resets=0.5)


CASES = (
    Case("engine-cold", "an engine dies under pressure and comes back cold", cold),
    Case(
        "engine-cold-fleet",
        "the same with [fleet] on: the first request to it is one",
        cold,
        ("overload",),
        {"fleet": True},
    ),
    Case("site-silent", "one site takes all and answers nothing for some seconds", silent),
    Case("site-trickles", "one site gives its pages ever so slowly", trickles),
    Case("site-late", "one site answers after the end", late),
    Case("site-resets", "one site breaks off in the middle of its rows", killed_mid_rows),
)
