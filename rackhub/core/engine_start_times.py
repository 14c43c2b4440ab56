"""When engines started, by the process's own clock.

An endpoint list gives a start in Unix time, by the wall clock of whoever wrote it. The process's clock is the wall
clock of its own start, advanced by the monotonic one. Once a wall clock is stepped the two differ, and a start read as
it stands would end an engine's slow start early, or prolong it by an hour. So each start is converted once, when it is
first reported, and one that is impossible by this clock counts from then on: the engine only warms up longer.
"""

from collections.abc import Mapping, Sequence
from dataclasses import replace

from rackhub.interface import EngineEntry

MAX_REPORTED_START_AGE = 60_000_000  # microseconds between a start and the first list that reports it

ReportedStart = tuple[str, int]  # an engine and its start in Unix time


class EngineStartTimes:
    """Converts reported starts. Times are microseconds."""

    def __init__(self) -> None:
        self._converted: dict[ReportedStart, int] | None = None  # None: no list was converted yet

    def on_local_clock(self, entries: Sequence[EngineEntry], now: int) -> tuple[EngineEntry, ...]:
        """The entries with their starts by the process's clock, which is at `now`."""
        known = self._converted
        converted: dict[ReportedStart, int] = {}
        self._converted = converted
        return tuple(self._convert(entry, known, converted, now) for entry in entries)

    def _convert(
        self,
        entry: EngineEntry,
        known: Mapping[ReportedStart, int] | None,
        converted: dict[ReportedStart, int],
        now: int,
    ) -> EngineEntry:
        if not entry.started_at:  # long past
            return entry
        key = entry.engine, entry.started_at
        # The first list also reports engines that started long before this process.
        started_at = known.get(key) if known is not None else min(entry.started_at, now)
        if started_at is None:
            is_plausible = 0 <= now - entry.started_at <= MAX_REPORTED_START_AGE
            started_at = entry.started_at if is_plausible else now
        converted[key] = started_at
        return replace(entry, started_at=started_at)
