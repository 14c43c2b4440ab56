"""The measurements that `slopes.json` holds, and the helpers that take them."""

import math
import os
import statistics
import time
from collections.abc import Sequence
from pathlib import Path

import msgspec

from rackhub.trials.scale.fit import Line, fit_line

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
REFERENCE_STEPS = 40_000
NANOSECONDS = 1_000_000_000
SIGNIFICANT_DIGITS = 5


class Measurement(msgspec.Struct, frozen=True, kw_only=True):
    """One quantity at several sizes, and the line through it. `ratios`: of times, against the first size, each taken
    within one run; empty for what is no time."""

    name: str
    unit: str
    size_unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    intercept: float
    slope: float
    residual: float
    method: str
    ratios: tuple[float, ...] = ()

    @property
    def group(self) -> str:
        return self.name.partition(".")[0]

    @property
    def line(self) -> Line:
        return Line(self.intercept, self.slope, self.residual)

    def at(self, size: float) -> float:
        """The line's value at any size; far beyond the largest measured one it is an extrapolation."""
        return self.line.at(size)

    def near(self, size: float) -> float:
        """Between the two measured sizes around it; beyond the measured ones by the line."""
        for low, high in zip(range(len(self.sizes)), range(1, len(self.sizes)), strict=False):
            if self.sizes[low] <= size <= self.sizes[high]:
                part = (size - self.sizes[low]) / (self.sizes[high] - self.sizes[low])
                return self.values[low] + part * (self.values[high] - self.values[low])
        return self.at(size)


class GroupRun(msgspec.Struct, frozen=True, kw_only=True):
    """When and how a group was measured. `load`: processes that wanted a core when it began, others' included."""

    group: str
    date: str
    commit: str
    cores: int
    python: str
    seconds: float
    load: float


class SlopesFile(msgspec.Struct, frozen=True, kw_only=True):
    """The newest measurements of each group."""

    runs: tuple[GroupRun, ...]
    measurements: tuple[Measurement, ...]

    def replaced(self, newer: "SlopesFile") -> "SlopesFile":
        """With the newer one's groups in place of its own."""
        groups = {run.group for run in newer.runs}
        runs = [run for run in self.runs if run.group not in groups]
        kept = [each for each in self.measurements if each.group not in groups]
        return SlopesFile(
            runs=tuple(sorted([*runs, *newer.runs], key=lambda run: run.group)),
            measurements=tuple(sorted([*kept, *newer.measurements], key=lambda each: each.group)),
        )

    def find(self, name: str) -> Measurement:
        for measurement in self.measurements:
            if measurement.name == name:
                return measurement
        raise KeyError(f"{name}: no such measurement")


def rounded(value: float) -> float:
    """To five significant digits: more than any measurement here holds."""
    if not value or not math.isfinite(value):
        return value
    return round(value, SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(abs(value))))


def measured(
    name: str,
    unit: str,
    size_unit: str,
    sizes: Sequence[int],
    values: Sequence[float],
    method: str,
    ratios: Sequence[float] = (),
) -> Measurement:
    """With the line through the values as they are written."""
    kept = [rounded(value) for value in values]
    line = fit_line(sizes, kept)
    return Measurement(
        name=name,
        unit=unit,
        size_unit=size_unit,
        sizes=tuple(sizes),
        values=tuple(kept),
        intercept=rounded(line.intercept),
        slope=rounded(line.slope),
        residual=round(line.residual, 4),
        method=method,
        ratios=tuple(rounded(ratio) for ratio in ratios),
    )


def median_ratios(rounds_by_size: Sequence[Sequence[float]]) -> list[float]:
    """For each size the median over the rounds of its time against the first size's in the same round."""
    first = rounds_by_size[0]
    return [
        statistics.median(mine / other for mine, other in zip(rounds, first, strict=True)) for rounds in rounds_by_size
    ]


def reference_seconds() -> float:
    """CPU of a fixed piece of work, which shows how fast the machine is at this moment."""
    began = time.process_time()
    total = 0
    for step in range(REFERENCE_STEPS):
        total = (total * 31 + step) & 0xFFFF
    return time.process_time() - began


def resident_bytes(pid: int | str = "self") -> int:
    """Memory of a process that is in RAM."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def cpu_seconds(pid: int | str) -> float:
    """CPU that the kernel counts for the main thread of a process: finer than the ticks of `stat`."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / NANOSECONDS


def open_descriptors(pid: int | str) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))
