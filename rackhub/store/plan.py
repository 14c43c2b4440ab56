"""What a store decides, without touching a disk: what to merge, what may go, how to recover, what can be saved."""

import math
from collections.abc import Mapping, Sequence

import msgspec

from rackhub.store.errors import Corrupt
from rackhub.store.manifest import (
    MANIFEST_NAME,
    NEW_MANIFEST_NAME,
    Manifest,
    SegmentInfo,
    log_name,
    parse_name,
    table_name,
)
from rackhub.store.table import QUANTILES, TableInfo

STALE_FRACTION = 0.5  # of a table's entries that nobody can read any more, before it is rewritten for that alone
MIN_STALE_ENTRIES = 256  # entries, under which that is not worth a file


# ---- what to merge


def size_tier(size: int, base: int, runs: int) -> int:
    """Which size class a table is in: each holds tables up to `runs` times the one below."""
    return max(0, math.ceil(math.log(max(size, 1) / base, runs))) if size > base else 0


def stale_fraction(table: TableInfo, floor: int) -> float:
    """The part of a table's entries that were replaced inside it by revisions up to `floor`."""
    if not table.stale_quantiles or not table.entries:
        return 0.0
    readable = sum(1 for by in table.stale_quantiles if by > floor)
    return table.stale_count / table.entries * (1 - readable / QUANTILES)


def choose_merge(tables: Sequence[TableInfo], base: int, runs: int, floor: int) -> tuple[int, int] | None:
    """Which of `tables` (newest first) to merge next, as a half-open range of places; None: leave them.

    Neighbours only, so that every table holds an unbroken record_range of records, which reads and recovery rely on.
    """
    classes = [size_tier(table.size, base, runs) for table in tables]
    for level in sorted(set(classes)):
        start = 0
        while start < len(tables):
            end = start
            while end < len(tables) and classes[end] <= level:
                end += 1
            if classes[start:end].count(level) >= runs:  # smaller ones in between go along, and do not count
                return start, end
            start = max(end, start + 1)
    for i, table in enumerate(tables):
        # a table that was made with this floor already holds what it must: rewriting it would give it again
        if (
            table.floor < floor
            and table.stale_count >= MIN_STALE_ENTRIES
            and stale_fraction(table, floor) >= STALE_FRACTION
        ):
            return i, i + 1
    return None


# ---- what may go


def without_unneeded_files(manifest: Manifest, floor: int, reserve: bool) -> Manifest:
    """The manifest less the closed segments and the retired tables that nothing needs any more.

    A segment is needed while a record of it is in no table, while its history can be asked for, and, in reserve,
    while a table that came straight from the log may have come from it.
    """
    from_log = [table for table in manifest.tables if not table.sources] if reserve else []
    segments = [
        segment
        for segment in manifest.segments
        if segment.last_record > manifest.flushed_record
        or segment.revision > floor
        or any(
            table.first_record <= segment.last_record and segment.first_record <= table.last_record
            for table in from_log
        )
    ]
    # history must stay in one piece: nothing before a segment that goes can be asked for
    gone = [segment for segment in manifest.segments if segment not in segments]
    lost = max((segment.revision for segment in gone), default=manifest.floor)
    wanted = {number for table in manifest.tables for number in table.sources} if reserve else set()
    retired = tuple(table for table in manifest.retired if table.number in wanted)
    return msgspec.structs.replace(manifest, segments=tuple(segments), retired=retired, floor=max(manifest.floor, lost))


def listed_files(manifest: Manifest) -> set[str]:
    """All files that a manifest names, itself among them."""
    tables = (table_name(table.number) for table in (*manifest.tables, *manifest.retired))
    logs = (log_name(number) for number in (*(s.number for s in manifest.segments), manifest.active_segment))
    return {MANIFEST_NAME, *tables, *logs}


# ---- how to recover


class RecoveryPlan(msgspec.Struct, frozen=True):
    """What an opening does once the files it goes by are seen to be there."""

    replay: tuple[SegmentInfo, ...]  # closed segments with records that are in no table
    remove: tuple[str, ...]  # half-made or done-with files
    unknown_files: tuple[str, ...]  # names that a store never gives: left alone
    later_segments: tuple[int, ...]  # logs after the active one: looked into before they are removed


def plan_recovery(manifest: Manifest, sizes: Mapping[str, int]) -> RecoveryPlan:
    """How to recover by `manifest` where the directory holds files of `sizes`. `Corrupt` where a file that it names
    is not there or has not the size it was closed with: no crash does that, so nothing is guessed."""
    for table in manifest.tables:
        _check_file_size(table_name(table.number), table.size, sizes)
    for segment in manifest.segments:
        _check_file_size(log_name(segment.number), segment.size, sizes)
    active = log_name(manifest.active_segment)
    if active not in sizes:
        raise Corrupt(active, 0, "the manifest names it and it is not there")
    if sizes[active] < manifest.active_durable_bytes:
        raise Corrupt(active, sizes[active], f"cut short: {manifest.active_durable_bytes} bytes of it were on disk")
    known, remove, unknown_files, later = listed_files(manifest), [], [], []
    for name in sorted(sizes):
        parsed = parse_name(name)
        if name in known:
            continue
        if (
            name == NEW_MANIFEST_NAME
            or parsed is not None
            and (parsed[0] == "table" or parsed[1] < manifest.active_segment)
        ):
            remove.append(name)
        elif parsed is not None:
            later.append(parsed[1])
        else:
            unknown_files.append(name)
    replay = tuple(segment for segment in manifest.segments if segment.last_record > manifest.flushed_record)
    return RecoveryPlan(replay, tuple(remove), tuple(unknown_files), tuple(later))


def _check_file_size(name: str, size: int, sizes: Mapping[str, int]) -> None:
    if name not in sizes:
        raise Corrupt(name, 0, "the manifest names it and it is not there")
    if sizes[name] != size:
        raise Corrupt(name, min(sizes[name], size), f"has {sizes[name]} bytes; it was closed with {size}")


# ---- what can be saved


class RecordRange(msgspec.Struct, frozen=True):
    """Records in a continued that were found whole in one log: numbers, and the revisions before and after them."""

    log: int
    first_record: int
    last_record: int
    revision_before: int
    revision: int


class SalvagePlan(msgspec.Struct, frozen=True):
    """What of a damaged store is provably whole: the state after `last_record`, a prefix of all that was written."""

    tables: tuple[TableInfo, ...]  # newest first, an unbroken continued from the first record
    logs: tuple[
        RecordRange, ...
    ]  # oldest first, unbroken, up to `last_record`; those before the tables' end are history
    last_record: int
    revision: int
    floor: int  # history up to here could not be saved
    skipped: tuple[RecordRange, ...]  # whole records after a gap: not a prefix, so not taken


def plan_salvage(tables: Sequence[TableInfo], ranges: Sequence[RecordRange]) -> SalvagePlan:
    """Choose among tables and log ranges that were read whole. Needs no manifest.

    Every table holds an unbroken continued of records, and tables' rows nest or follow one another. So tables are strung
    together from record 1, at each step the one that reaches furthest (the latest made of those that reach alike, as
    it has dropped more), and the logs carry on from there. A retired table inside a chosen one's continued is passed over:
    it may hold what a merge dropped together with its deletion.
    """
    chosen: list[TableInfo] = []
    end, revision = 0, 0
    while True:
        fitting = [table for table in tables if table.first_record == end + 1 and table.last_record > end]
        if not fitting:
            break
        best = max(fitting, key=lambda table: (table.last_record, table.number))
        chosen.insert(0, best)
        end, revision = best.last_record, best.revision
    flushed = end
    ordered = sorted(ranges, key=lambda s: (s.first_record, -s.last_record))
    continued: list[RecordRange] = []
    for record_range in ordered:
        if record_range.last_record <= end or record_range.first_record > end + 1:
            continue
        continued.append(record_range)
        end, revision = record_range.last_record, record_range.revision
    # history: backwards from where the continued begins, as far as it is unbroken
    begin = min((record_range.first_record for record_range in continued), default=flushed + 1)
    before = continued[0].revision_before if continued else revision
    history: list[RecordRange] = []
    for record_range in sorted(ranges, key=lambda s: (s.last_record, -s.first_record), reverse=True):
        if record_range in continued or record_range.first_record >= begin or record_range.last_record < begin - 1:
            continue
        history.insert(0, record_range)
        begin, before = record_range.first_record, record_range.revision_before
    if not chosen and begin > 1:  # the tables' part is gone, and the logs do not go back to the first record
        return SalvagePlan((), (), 0, 0, 0, tuple(ranges))
    left = tuple(record_range for record_range in ordered if record_range.first_record > end)
    # a merge may have gone by a compaction whose own record is among what could not be saved
    floor = max([before if begin > 1 else 0, *(table.floor for table in chosen)])
    return SalvagePlan(tuple(chosen), (*history, *continued), end, revision, min(floor, revision), left)
