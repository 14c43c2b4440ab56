"""When engines started, by the process's own clock.

A list tells a start in Unix time, by the wall clock of whoever wrote it. The process's clock is the wall clock of its
own start, carried on by the monotonic one. Once a wall clock is stepped the two differ, and a start read as it stands
would make a cold engine warm, or keep one cold for an hour. So each start is read once, when it is first told, and one
that can't have been by this clock counts from then on: an engine taken for colder than it is only warms up longer.
"""

from collections.abc import Sequence
from dataclasses import replace

from rackhub.interface import EngineEntry

MAX_REPORTED_START_AGE = 60_000_000  # microseconds that a start may be old when a list first tells of it


class EngineStartTimes:
    """The starts that lists have told of. Times are microseconds."""

    def __init__(self) -> None:
        self._read: dict[tuple[str, int], int] | None = None  # (engine, start as told) -> start by the process's clock

    def on_local_clock(self, entries: Sequence[EngineEntry], now: int) -> tuple[EngineEntry, ...]:
        """The entries with their starts by the process's clock, which is at `now`."""
        before, self._read = self._read, {}
        return tuple(self._entry(entry, before, now) for entry in entries)

    def _entry(self, entry: EngineEntry, before: dict[tuple[str, int], int] | None, now: int) -> EngineEntry:
        if not entry.started_at:  # long past
            return entry
        key = entry.engine, entry.started_at
        known = before.get(key) if before is not None else min(entry.started_at, now)
        if known is None:
            known = entry.started_at if 0 <= now - entry.started_at <= MAX_REPORTED_START_AGE else now
        self._read[key] = known
        return replace(entry, started_at=known)
