"""All measurements of slopes in one run, each group in a process of its own, and the file that keeps them."""

import datetime
import logging
import os
import platform
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path

import msgspec

from rackhub.trials.scale import data_path, distribution_messages, engines, members, rule_changes
from rackhub.trials.scale.measurement import GroupRun, Measurement, SlopesFile

Measure = Callable[[bool], list[Measurement]]
GROUPS: dict[str, Measure] = {
    "engines": engines.measure,
    "members": members.measure,
    "rules": rule_changes.measure,
    "data_path": data_path.measure,
    "messages": distribution_messages.measure,
}
UNKNOWN_COMMIT = "unknown"


def commit() -> str:
    """The commit that is measured, with a mark where files differ from it."""
    described = subprocess.run(
        ["git", "describe", "--always", "--dirty", "--abbrev=10"],
        cwd=Path(__file__).parent,
        capture_output=True,
        text=True,
        check=False,
    )
    return described.stdout.strip() or UNKNOWN_COMMIT


def run_group(name: str, quick: bool) -> list[Measurement]:
    logging.disable(logging.WARNING)  # every voter begins with a new disk and says so
    return GROUPS[name](quick)


def measure_group(name: str, quick: bool) -> SlopesFile:
    """In a process of its own."""
    began, load = time.monotonic(), os.getloadavg()[0]
    with ProcessPoolExecutor(1, get_context("spawn")) as pool:
        found = pool.submit(run_group, name, quick).result()
    run = GroupRun(
        group=name,
        date=datetime.date.today().isoformat(),
        commit=commit(),
        cores=os.cpu_count() or 1,
        python=platform.python_version(),
        seconds=round(time.monotonic() - began, 1),
        load=round(load, 1),
    )
    print(f"{name}: {run.seconds:.0f} s", file=sys.stderr, flush=True)
    return SlopesFile(runs=(run,), measurements=tuple(found))


def measure(groups: Sequence[str], quick: bool) -> SlopesFile:
    """One group after the other, so that none slows another one."""
    file = SlopesFile(runs=(), measurements=())
    for name in groups:
        file = file.replaced(measure_group(name, quick))
    return file


def write(file: SlopesFile, path: Path) -> None:
    """Groups that were not measured now stay as they are in the file."""
    if path.exists():
        file = read(path).replaced(file)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(file), indent=1) + b"\n")


def read(path: Path) -> SlopesFile:
    return msgspec.json.decode(path.read_bytes(), type=SlopesFile)


def show(file: SlopesFile) -> None:
    for each in file.measurements:
        values = ", ".join(f"{size}: {value:g}" for size, value in zip(each.sizes, each.values, strict=True))
        print(f"{each.name} ({each.unit} by {each.size_unit}): {values}")
        print(f"    {each.intercept:g} + {each.slope:g} a unit, residual {each.residual:.1%}")


def main(groups: Sequence[str], quick: bool, output: Path | None, as_json: bool) -> int:
    try:
        file = measure(groups, quick)
    except AssertionError as fault:
        print(f"a measurement failed: {fault}", file=sys.stderr)
        return 1
    if output is not None:
        write(file, output)
    if as_json:
        print(msgspec.json.encode(file).decode())
    else:
        show(file)
    return 0
