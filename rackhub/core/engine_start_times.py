"""Converts the start times of engines to the process's clock.

An endpoint list gives an engine's start in Unix time, by the wall clock of the host that wrote the list. The process's
clock starts at the wall clock and advances monotonically. After a wall clock is stepped the two differ, and an
unconverted start time would end an engine's slow start early or prolong it by an hour. So each start time is converted
once, when it is first reported. A start time that is impossible by the process's clock is replaced by the current time,
which only makes the slow start longer.
"""

from collections.abc import Mapping, Sequence
from dataclasses import replace

from rackhub.interface import EngineEntry

MAX_REPORTED_START_AGE = 60_000_000  # microseconds from an engine's start to the first list that reports it

ReportedStart = tuple[str, int]  # engine name, start in Unix time (microseconds)


class EngineStartTimes:
    """Converts reported start times and remembers the results. Times are microseconds."""

    def __init__(self) -> None:
        self._converted: dict[ReportedStart, int] | None = None  # None before the first list

    def convert(self, entries: Sequence[EngineEntry], now: int) -> tuple[EngineEntry, ...]:
        """Return the entries with their start times by the process's clock, whose time is `now`."""
        known = self._converted
        converted: dict[ReportedStart, int] = {}
        self._converted = converted
        return tuple(self._convert_entry(entry, known, converted, now) for entry in entries)

    def _convert_entry(
        self,
        entry: EngineEntry,
        known: Mapping[ReportedStart, int] | None,
        converted: dict[ReportedStart, int],
        now: int,
    ) -> EngineEntry:
        if not entry.started_at:  # 0: started long ago
            return entry
        key = entry.engine, entry.started_at
        # The first list may report engines that started long before this process, so no age is implausible in it.
        started_at = known.get(key) if known is not None else min(entry.started_at, now)
        if started_at is None:
            is_plausible = 0 <= now - entry.started_at <= MAX_REPORTED_START_AGE
            started_at = entry.started_at if is_plausible else now
        converted[key] = started_at
        return replace(entry, started_at=started_at)
