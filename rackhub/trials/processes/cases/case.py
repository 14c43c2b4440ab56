"""What a case is made of, and what cases share."""

from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, NamedTuple

from rackhub.trials.processes.arrivals import Load
from rackhub.trials.processes.calls import say
from rackhub.trials.processes.clock import NotSoon, until
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.schedule import Schedule, Step
from rackhub.trials.processes.trial import Trial, Verdict

SECOND = 1_000_000


class Case(NamedTuple):
    """`needs`: parts under `rackhub.fleet` (or `rackhub.gather`) without which it can't be run. `brief`: the same in
    less time, for CI. `plan`: what of the plan it asks for."""

    name: str
    about: str
    run: Callable[[Rig, int, bool], Verdict]
    needs: tuple[str, ...] = ()
    plan: dict[str, Any] = {}


def names(rig: Rig, part: float) -> tuple[str, ...]:
    """The first gateways that make up this part of all, at least one, never all but for a part of 1."""
    count = len(rig.gateways)
    most = count if part >= 1 else count - 1
    return tuple(rig.plan.gateway_names()[: max(1, min(round(count * part), most))])


def steady(rig: Rig, level: float, end: float, begin: float = 0.0, **more: Any) -> Load:
    """So much of what all engines can do."""
    return Load(rate=level * rig.plan.capacity(), begin=int(begin * SECOND), end=int(end * SECOND), **more)


def step(at: float, do: str, whom: Sequence[str] = (), **more: Any) -> Step:
    return Step(at_ms=int(at * 1_000), do=do, whom=tuple(whom), more=more)


def ask_all(rig: Rig, words: dict[str, Any], whom: Sequence[str] = (), patience: float = 5.0) -> dict[str, Any]:
    """One call at the control port of each gateway; None where no answer came."""
    heard: dict[str, Any] = {}
    asked = list(whom or rig.gateways)
    for name in asked:
        say(rig.reactor, rig.gateways[name].control, words, partial(heard.__setitem__, name), patience)
    until(rig.reactor, lambda: len(heard) == len(asked), patience + 5, "answers at the control ports")
    return heard


def comes_about(rig: Rig, condition: Callable[[], bool], seconds: float) -> bool:
    """Whether it does, asked over and over with some time between."""
    end = rig.clock.now() + int(seconds * SECOND)
    while rig.clock.now() < end:
        if condition():
            return True
        pause = rig.clock.now() + SECOND // 5
        until(rig.reactor, lambda pause=pause: rig.clock.now() >= pause, 5, "a pause")  # type: ignore[misc]
    return False


def recovery(
    trial: Trial,
    verdict: Verdict,
    before: tuple[float, float],
    during: tuple[float, float],
    end: float,
    within: int = 5,
) -> None:
    """Adds figures before, during and after; the final state asked for is 95% of what was served before, from `within`
    seconds after `end` on."""
    clients = trial.clients
    level = clients.timeline.share(*before)
    took = clients.timeline.recovered(int(end), 0.95 * level)
    verdict.figures |= {
        "worth_before": round(level, 3),
        "worth_during": round(clients.timeline.share(*during), 3),
        "worth_after": round(clients.timeline.share(end, trial.seconds), 3),
        "recovered_s": took,
        "attempts_a_request_during": round(trial.amplification(*during), 3),
    }
    if took is None:
        verdict.unsettled.append(f"not back to 95% of what was served before by {trial.seconds - end:g} s after")
    elif took > within:
        verdict.unsettled.append(f"back to 95% only after {took} s, not within {within}")


def recovers(
    rig: Rig,
    seed: int,
    name: str,
    load: Load,
    steps: Sequence[Step],
    during: tuple[float, float],
    patience: float = 20.0,
) -> Verdict:
    """One load under these steps; asked for: the level of what came before `during` again after it, and all serve."""
    trial = Trial(rig, [load], seed, steps=Schedule(step=tuple(steps))).run(patience)
    verdict = trial.verdict(name)
    recovery(trial, verdict, (0.0, during[0]), during, during[1])
    all_serve(rig, verdict)
    trial.close()
    return verdict


def all_serve(rig: Rig, verdict: Verdict, seconds: float = 60.0) -> None:
    """The final state of processes: each of them serves."""
    try:
        rig.wait_ready(list(rig.gateways), seconds)
    except (NotSoon, RuntimeError) as fault:
        verdict.unsettled.append(str(fault)[:300])
