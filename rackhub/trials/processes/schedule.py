"""A schedule of faults as data: at such a time do this to those. In TOML or JSON, or drawn from one seed.

[[step]]
at_ms = 2000
do = "kill"          # one of DOES
whom = ["g1", "g2"]  # gateways, or engines where the deed is one on engines
more = {...}         # what the deed needs beside, see DOES
"""

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from rackhub.trials.processes.door import Mode
from rackhub.trials.processes.lanes import Way
from rackhub.trials.processes.rig import Rig


class Step(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    at_ms: int
    do: str
    whom: tuple[str, ...] = ()
    more: dict[str, Any] = {}


class Schedule(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    step: tuple[Step, ...] = ()


class BadSchedule(ValueError):
    """A schedule that can't be run; the text names the step and why."""


def _each_process(deed: str) -> Callable[[Rig, Step], None]:
    def do(rig: Rig, step: Step) -> None:
        for name in step.whom:
            getattr(rig.processes.by_name[name], deed)()

    return do


def _start(rig: Rig, step: Step) -> None:
    for name in step.whom:
        rig.restart_when_ended(name)


def _wipe(rig: Rig, step: Step) -> None:
    for name in step.whom:
        rig.wipe(name)


def _way(rig: Rig, step: Step) -> None:
    """`more`: `to` (names; all others without), `both`, and the fields of `Way`."""
    more = dict(step.more)
    others = more.pop("to", [name for name in rig.gateways if name not in step.whom])
    both = more.pop("both", True)
    rig.switch.set(step.whom, others, msgspec.convert(more, Way), both)


def _mood(rig: Rig, step: Step) -> None:
    """`more`: fields of `engines.Mood`."""
    for name in step.whom:
        mood = rig.engines[name].mood
        for field, value in step.more.items():
            if field not in mood.__struct_fields__:
                raise BadSchedule(f"mood: an engine has no {field!r}")
            setattr(mood, field, value)


def _slow(rig: Rig, step: Step) -> None:
    """`more`: `times` as long."""
    for name in step.whom:
        cores = rig.engines[name].cores
        cores.settle(rig.clock.now())
        cores.slow = float(step.more["times"])


def _engine(deed: Callable[[Rig, str], None]) -> Callable[[Rig, Step], None]:
    def do(rig: Rig, step: Step) -> None:
        for name in step.whom:
            deed(rig, name)

    return do


def _desk(rig: Rig, step: Step) -> None:
    """`more`: `silent`, `lag_ms`."""
    for name in step.whom:
        desk = rig.resolver.desks[name]
        desk.silent = bool(step.more.get("silent", desk.silent))
        desk.lag = int(step.more.get("lag_ms", desk.lag / 1_000)) * 1_000


def _door(rig: Rig, step: Step) -> None:
    """What passes the door before a gateway. `more`: the fields of `door.Mode`, or `reset`."""
    more = dict(step.more)
    reset = more.pop("reset", False)
    for name in step.whom:
        if name not in rig.doors:
            raise BadSchedule(f"door: there is none before {name!r}")
        rig.doors[name].set(msgspec.convert(more, Mode))
        if reset:
            rig.doors[name].reset()


GATEWAYS = {
    "pause": _each_process("pause"),
    "go_on": _each_process("go_on"),
    "kill": _each_process("kill"),
    "term": _each_process("term"),
    "start": _start,
    "wipe": _wipe,
    "way": _way,
    "resolver": _desk,
    "door": _door,
}
ENGINES = {
    "engine_dies": _engine(lambda rig, name: rig.engine_gone(name)),
    "engine_vanishes": _engine(lambda rig, name: rig.engine_gone(name, told=False)),
    "engine_back": _engine(lambda rig, name: rig.engine_back(name)),
    "drain": _engine(lambda rig, name: rig.mark(name, "draining")),
    "undrain": _engine(lambda rig, name: rig.mark(name, "ready")),
    "mood": _mood,
    "slow": _slow,
}
PLAIN: dict[str, Callable[[Rig, Step], None]] = {"heal": lambda rig, step: rig.switch.heal()}
DOES = GATEWAYS | ENGINES | PLAIN


def check(schedule: Schedule, rig: Rig) -> None:
    """Raises `BadSchedule` that names the step."""
    for number, step in enumerate(schedule.step):
        if step.do not in DOES:
            raise BadSchedule(f"step[{number}].do: {step.do!r}: there are {', '.join(DOES)}")
        known = rig.gateways if step.do in GATEWAYS else rig.engines
        for name in step.whom:
            if name not in known:
                raise BadSchedule(f"step[{number}].whom: the rig has no {name!r}")
        if not 0 <= step.at_ms <= 3_600_000:
            raise BadSchedule(f"step[{number}].at_ms: {step.at_ms} is not from 0 to an hour")


def load(path: Path) -> Schedule:
    """Raises `BadSchedule`."""
    try:
        text = path.read_bytes()
        return (msgspec.toml if path.suffix == ".toml" else msgspec.json).decode(text, type=Schedule)
    except OSError as fault:
        raise BadSchedule(f"{path}: {fault.strerror}") from None
    except msgspec.MsgspecError as bad:
        raise BadSchedule(f"{path}: {bad}") from None


def run(schedule: Schedule, rig: Rig) -> list[tuple[int, str]]:
    """Hand all steps to the reactor, counted from now; gives the list to which each adds itself when it is done."""
    check(schedule, rig)
    done: list[tuple[int, str]] = []

    def do(step: Step) -> None:
        DOES[step.do](rig, step)
        done.append((rig.clock.now(), f"{step.do} {','.join(step.whom)} {step.more or ''}".strip()))

    for step in schedule.step:
        rig.reactor.callLater(step.at_ms / 1_000, do, step)
    return done


def drawn(rig: Rig, seed: int, span_ms: int, faults: int = 6) -> Schedule:
    """Some faults of the network and of processes at times of chance, all mended again by the end of the span."""
    chance, names = random.Random(f"{seed}/schedule"), list(rig.gateways)
    steps = []
    for _ in range(faults):
        at = chance.randrange(span_ms * 3 // 4)
        back = at + chance.randrange(span_ms // 10, span_ms // 4)
        whom = tuple(chance.sample(names, max(1, len(names) // chance.randrange(2, 5))))
        kind = chance.choice(["pause", "kill", "cut", "half", "noise"])
        if kind == "pause":
            steps += [Step(at_ms=at, do="pause", whom=whom[:1]), Step(at_ms=back, do="go_on", whom=whom[:1])]
        elif kind == "kill":
            steps += [Step(at_ms=at, do="kill", whom=whom[:1]), Step(at_ms=back, do="start", whom=whom[:1])]
        elif kind == "noise":
            steps.append(
                Step(
                    at_ms=at,
                    do="way",
                    whom=whom,
                    more={"drop": 0.2, "double": 0.1, "damage": 0.1, "reorder": 0.2, "jitter": 50_000},
                )
            )
        else:
            steps.append(Step(at_ms=at, do="way", whom=whom, more={"cut": True, "both": kind == "cut"}))
    steps.append(Step(at_ms=span_ms, do="heal"))
    return Schedule(step=tuple(sorted(steps, key=lambda step: step.at_ms)))
