"""Everything that the tables of the capacity page are worked out from, and what several of them need."""

from enum import Enum
from pathlib import Path

import msgspec

from rackhub.config import RESERVED_DESCRIPTORS
from rackhub.limits import SECOND, Limits
from rackhub.trials.scale import run_files, slopes, target
from rackhub.trials.scale.measurement import Measurement, SlopesFile
from rackhub.trials.scale.run_files import NamedRun
from rackhub.trials.scale.target import Target

REPOSITORY = Path(__file__).parents[3]
PAGE = REPOSITORY / "docs" / "CAPACITY.md"
FOLDER = REPOSITORY / "docs" / "capacity"


class Status(Enum):
    """Of a mechanism."""

    BUILT = "built"
    PARTLY = "measured in part"
    MISSING = "missing"


def client_connections() -> int:
    """Client connections that one process takes with the default number of descriptors: as `rackhub.config` shares
    them out, half of those that the program does not need itself."""
    return (Limits().file_descriptors - RESERVED_DESCRIPTORS) // 2


class PageData(msgspec.Struct, frozen=True):
    target: Target
    slopes: SlopesFile
    runs: tuple[NamedRun, ...] = ()

    def slope(self, name: str) -> Measurement:
        return self.slopes.find(name)

    def at(self, name: str, size: float) -> float:
        """A measurement's line at that size."""
        return self.slopes.find(name).at(size)

    def near(self, name: str, size: float) -> float:
        """A measurement between its measured sizes; beyond them its line."""
        return self.slopes.find(name).near(size)

    def bounded(self, name: str, size: float) -> float:
        """Of what a rate bounds: between its measured sizes; beyond them the most that was measured."""
        measurement = self.slopes.find(name)
        return max(measurement.values) if size > measurement.sizes[-1] else measurement.near(size)

    @property
    def largest_real_run(self) -> NamedRun | None:
        """With the most coordinators, of those in real time that passed."""
        real = [each for each in self.runs if each.run.time == "real" and each.run.passed]
        return max(real, key=lambda each: each.run.coordinators or 0, default=None)

    @property
    def distribution(self) -> Status:
        """Of the relays: measured in part as soon as a run of theirs is kept."""
        return Status.PARTLY if any(each.run.passed for each in self.runs) else Status.MISSING

    @property
    def poll_seconds(self) -> float:
        """Between two questions of one coordinator for the list, at the target: as `rackhub.config` sets it."""
        limits = Limits()
        shared = self.target["coordinators"] / limits.max_fleet_polls_per_s
        return min(max(shared, limits.poll_interval / SECOND), limits.max_poll_retry_interval / SECOND)


def read(folder: Path = FOLDER) -> PageData:
    """Raises `OSError`, `msgspec.MsgspecError` or `ValueError` where a file can't be used."""
    return PageData(
        target.read(folder / "target.toml"),
        slopes.read(folder / "slopes.json"),
        run_files.read_all(folder / "runs"),
    )
