"""The file by which `rig query` finds the rig that runs, and what it holds."""

import os
import tempfile
from pathlib import Path

import msgspec

from rackhub.trials.processes.places import text
from rackhub.trials.processes.rig import Rig


class Listening(msgspec.Struct, frozen=True):
    """Where one gateway can be reached."""

    name: str
    site: str
    clients: str
    staff: str
    control: str
    fleet: str
    pid: int


class Class(msgspec.Struct, frozen=True):
    name: str
    deadline_ms: int
    keyed: bool


class Running(msgspec.Struct, frozen=True):
    """A rig as others see it."""

    pid: int
    logs: str
    gateways: list[Listening]
    engines: dict[str, str]  # name: site
    classes: list[Class]
    tenants: list[str]


def place() -> Path:
    return Path(tempfile.gettempdir()) / f"rackhub-rig-{os.getuid()}.json"


def of(rig: Rig) -> Running:
    plan = rig.plan
    gateways = [
        Listening(
            each.name,
            each.site,
            text(each.listen),
            text(each.staff),
            text(each.control) if plan.fleet else "",
            text(each.advertise) if plan.fleet else "",
            rig.processes.by_name[each.name].pid,
        )
        for each in rig.gateways.values()
    ]
    return Running(
        os.getpid(),
        str(rig.processes.place),
        gateways,
        {name: engine.site for name, engine in rig.engines.items()},
        [Class(kind.name, kind.deadline // 1_000, kind.effect == "dedup") for kind in plan.kinds],
        [name for name, _ in plan.tenants],
    )


def write(running: Running, path: Path) -> None:
    """Whole beside its place, then renamed over it."""
    beside = path.with_suffix(f".{running.pid}")
    beside.write_bytes(msgspec.json.encode(running))
    beside.rename(path)


def read(path: Path) -> Running | None:
    """The rig that runs; None: there is no file, it can't be read, or its process is gone."""
    try:
        running = msgspec.json.decode(path.read_bytes(), type=Running)
        os.kill(running.pid, 0)
    except (OSError, msgspec.MsgspecError):
        return None
    return running


def remove(path: Path) -> None:
    """The file, where it is still this process's."""
    running = read(path)
    if running is not None and running.pid == os.getpid():
        path.unlink(missing_ok=True)
