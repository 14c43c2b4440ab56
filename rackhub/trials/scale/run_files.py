"""The results of scale runs as the page shows them: `docs/capacity/runs/*.json`, one JSON object each.

Only what the page shows is read; fields that are missing count as not measured, further ones are passed over.
"""

from pathlib import Path

import msgspec


class Spread(msgspec.Struct, frozen=True):
    """Seconds over `count` samples."""

    count: int = 0
    p50: float = 0.0
    p99: float = 0.0
    worst: float = 0.0


class Verdict(msgspec.Struct, frozen=True):
    changes: int | None = None
    lost: int | None = None
    revisions_back: int | None = None
    out_of_scope: int | None = None
    content_differs: int | None = None
    everywhere: Spread = Spread()
    after_outage: Spread = Spread()


class Cost(msgspec.Struct, frozen=True):
    """Of one hollow coordinator, a second."""

    bytes_in: float | None = None
    bytes_out: float | None = None
    cpu_percent: float | None = None
    memory_megabytes: float | None = None

    @property
    def bytes_a_second(self) -> float | None:
        if self.bytes_in is None and self.bytes_out is None:
            return None
        return (self.bytes_in or 0.0) + (self.bytes_out or 0.0)


class RunFile(msgspec.Struct, frozen=True):
    """One run. `time`: real or virtual."""

    case: str
    time: str = "not told"
    seed: int | None = None
    coordinators: int | None = None
    relays: int | None = None
    voters: int | None = None
    real: int | None = None
    rate: float | None = None
    seconds: float = 0.0
    verdict: Verdict = Verdict()
    cost: Cost = Cost()
    keeps_up: bool | None = None
    relay_bytes_out: float | None = None
    relay_cpu_percent: float | None = None
    passed: bool | None = None
    counters: dict[str, int] = {}  # messages sent, by sender's role and type


class NamedRun(msgspec.Struct, frozen=True):
    name: str
    run: RunFile


class BadRunFile(ValueError):
    """A file that is no result of a run; the text names it."""


def read_all(folder: Path) -> tuple[NamedRun, ...]:
    """In the order of their names."""
    found = []
    for path in sorted(folder.glob("*.json")):
        try:
            found.append(NamedRun(path.stem, msgspec.json.decode(path.read_bytes(), type=RunFile)))
        except (msgspec.MsgspecError, UnicodeDecodeError) as bad:
            raise BadRunFile(f"{path.name}: {bad}") from None
    return tuple(found)
