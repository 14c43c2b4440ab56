"""What happens to gateways alone, under a load that all together can carry: pauses, kills, restarts."""

from rackhub.trials.processes.cases.case import Case, names, recovers, steady, step
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.trial import Verdict


def paused(rig: Rig, seed: int, brief: bool) -> Verdict:
    """It wakes with old records and with requests whose clients have long gone."""
    lasts, whom = (3.0 if brief else 20.0), names(rig, 0.01)
    end = 2.0 + lasts
    return recovers(
        rig,
        seed,
        "paused",
        steady(rig, 0.6, end + 6.0, bad=0.01),
        (step(2.0, "pause", whom), step(end, "go_on", whom)),
        (2.0, end),
    )


def term(rig: Rig, seed: int, brief: bool) -> Verdict:
    """One after the other, each started again once it has ended."""
    steps = [
        each
        for number, name in enumerate(names(rig, 0.5))
        for each in (step(1.0 + 2.0 * number, "term", (name,)), step(1.1 + 2.0 * number, "start", (name,)))
    ]
    last = steps[-1].at_ms / 1_000
    return recovers(rig, seed, "term", steady(rig, 0.6, last + 4.0, bad=0.01), steps, (1.0, last), 60.0)


def killed(rig: Rig, seed: int, brief: bool) -> Verdict:
    whom = names(rig, 0.5)
    return recovers(
        rig,
        seed,
        "killed",
        steady(rig, 0.6, 7.0 if brief else 11.0, bad=0.01),
        (step(2.0, "kill", whom), step(3.0, "start", whom)),
        (2.0, 4.0),
    )


CASES = (
    Case("paused", "one gateway stands still for 20 s, then goes on", paused),
    Case("term", "half of the gateways get SIGTERM under load, one after the other, and start again", term),
    Case("killed", "half of the gateways are killed and come back empty", killed),
)
