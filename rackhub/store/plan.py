"""The store's decisions, without I/O: which tables to merge, which files to drop, how to recover, what to salvage."""

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

# A table is rewritten alone if at least this fraction of its entries was replaced and can't be read any more, and at
# least this number was replaced.
STALE_FRACTION = 0.5
MIN_STALE_ENTRIES = 256


# ---- merges


def size_tier(size: int, base: int, runs: int) -> int:
    """Return the size tier of a table: tier 0 holds up to `base` bytes, tier n up to `base * runs**n`."""
    return max(0, math.ceil(math.log(max(size, 1) / base, runs))) if size > base else 0


def stale_fraction(table: TableInfo, floor: int) -> float:
    """The estimated fraction of a table's entries that were replaced in the same table by revisions up to `floor`."""
    if not table.stale_quantiles or not table.entries:
        return 0.0
    later_quantiles = sum(1 for revision in table.stale_quantiles if revision > floor)
    return table.stale_count / table.entries * (1 - later_quantiles / QUANTILES)


def choose_merge(tables: Sequence[TableInfo], base: int, runs: int, floor: int) -> tuple[int, int] | None:
    """Return the next tables to merge as a half-open range of positions in `tables` (newest first), or None.

    `base`: the largest size in tier 0, that of a memtable. `runs`: the number of tables of one tier that are merged,
    and the ratio of sizes between tiers. `floor`: the lowest revision that must stay readable.

    Only neighbours are merged, so that every table holds a contiguous range of records; reads and recovery rely on
    that.
    """
    tiers = [size_tier(table.size, base, runs) for table in tables]
    for tier in sorted(set(tiers)):
        start = 0
        while start < len(tables):
            end = start
            while end < len(tables) and tiers[end] <= tier:
                end += 1
            if tiers[start:end].count(tier) >= runs:  # smaller tables in between are merged too, but do not count
                return start, end
            start = max(end, start + 1)
    for i, table in enumerate(tables):
        # A table written with this floor contains no unneeded versions: rewriting it would give the same table.
        if (
            table.floor < floor
            and table.stale_count >= MIN_STALE_ENTRIES
            and stale_fraction(table, floor) >= STALE_FRACTION
        ):
            return i, i + 1
    return None


# ---- obsolete files


def without_unneeded_files(manifest: Manifest, floor: int, reserve: bool) -> Manifest:
    """Return the manifest without the closed segments and retired tables that are no longer needed.

    A segment is needed while any of its records is in no table, and while its history can be read. `reserve`: keep also
    what a current table was made from, so that a salvage can rebuild it: for a table written from a memtable the
    segments with its records, for a merged one its input tables (retired). The result's `floor` is raised to the last
    revision of the dropped segments.
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
    # History must stay contiguous: nothing before a dropped segment can be read.
    dropped = [segment for segment in manifest.segments if segment not in segments]
    dropped_revision = max((segment.revision for segment in dropped), default=manifest.floor)
    needed = {number for table in manifest.tables for number in table.sources} if reserve else set()
    retired = tuple(table for table in manifest.retired if table.number in needed)
    return msgspec.structs.replace(
        manifest, segments=tuple(segments), retired=retired, floor=max(manifest.floor, dropped_revision)
    )


def listed_files(manifest: Manifest) -> set[str]:
    """The names of all files that a manifest lists, and of the manifest itself."""
    tables = (table_name(table.number) for table in (*manifest.tables, *manifest.retired))
    logs = (log_name(number) for number in (*(s.number for s in manifest.segments), manifest.active_segment))
    return {MANIFEST_NAME, *tables, *logs}


# ---- recovery


class RecoveryPlan(msgspec.Struct, frozen=True):
    """The steps of a recovery."""

    replay: tuple[SegmentInfo, ...]  # closed segments with records that are in no table
    remove: tuple[str, ...]  # incomplete or obsolete files
    unknown_files: tuple[str, ...]  # names that no store creates; left alone
    later_segments: tuple[
        int, ...
    ]  # numbers of unlisted ones after the active one; corrupt if they have records, else removed


def plan_recovery(manifest: Manifest, sizes: Mapping[str, int]) -> RecoveryPlan:
    """Plan the recovery of a directory with files of these `sizes`.

    Raises `Corrupt` if a table or closed segment is missing or has a different size, or the active segment is shorter
    than its durable size: no crash causes that, so no repair is attempted. Retired tables are not checked, as only a
    salvage reads them.
    """
    for table in manifest.tables:
        _check_file_size(table_name(table.number), table.size, sizes)
    for segment in manifest.segments:
        _check_file_size(log_name(segment.number), segment.size, sizes)
    active = log_name(manifest.active_segment)
    if active not in sizes:
        raise Corrupt(active, 0, "listed in the manifest, but missing")
    if sizes[active] < manifest.active_durable_bytes:
        raise Corrupt(active, sizes[active], f"truncated: {manifest.active_durable_bytes} bytes were durable")
    listed, obsolete, unknown_files, later = listed_files(manifest), [], [], []
    for name in sorted(sizes):
        parsed = parse_name(name)
        if name in listed:
            continue
        if (
            name == NEW_MANIFEST_NAME
            or parsed is not None
            and (parsed[0] == "table" or parsed[1] < manifest.active_segment)
        ):
            obsolete.append(name)
        elif parsed is not None:
            later.append(parsed[1])
        else:
            unknown_files.append(name)
    replay = tuple(segment for segment in manifest.segments if segment.last_record > manifest.flushed_record)
    return RecoveryPlan(replay, tuple(obsolete), tuple(unknown_files), tuple(later))


def _check_file_size(name: str, size: int, sizes: Mapping[str, int]) -> None:
    if name not in sizes:
        raise Corrupt(name, 0, "listed in the manifest, but missing")
    if sizes[name] != size:
        raise Corrupt(name, min(sizes[name], size), f"has {sizes[name]} bytes, but was closed with {size}")


# ---- salvage


class RecordRange(msgspec.Struct, frozen=True):
    """Consecutive intact records of one log: their numbers, and the revisions before and after them."""

    log: int
    first_record: int
    last_record: int
    revision_before: int
    revision: int


class SalvagePlan(msgspec.Struct, frozen=True):
    """The intact part of a damaged store: the state after `last_record`, which is a prefix of all that was written."""

    tables: tuple[TableInfo, ...]  # newest first; together a contiguous range from the first record
    logs: tuple[RecordRange, ...]  # oldest first, contiguous; those that tables contain too are kept for `changes`
    last_record: int
    revision: int
    floor: int  # history up to this revision is lost
    skipped: tuple[RecordRange, ...]  # intact records after a gap: not part of the prefix, so not salvaged


def plan_salvage(tables: Sequence[TableInfo], ranges: Sequence[RecordRange]) -> SalvagePlan:
    """Return the longest prefix of records that intact tables and log ranges can restore; empty if none starts at
    record 1.

    Every table holds a contiguous range of records, and the ranges of two tables are nested or disjoint. Starting from
    record 1, the table that extends furthest is chosen at each step; of several, the one written last, from which most
    unneeded versions are gone. The logs continue after the last table. A retired table inside the range of a chosen one
    is not used: it may still contain an old version of a key whose deletion the merge has dropped, and the key would
    reappear.
    """
    chosen: list[TableInfo] = []
    end, revision = 0, 0
    while True:
        candidates = [table for table in tables if table.first_record == end + 1 and table.last_record > end]
        if not candidates:
            break
        best = max(candidates, key=lambda table: (table.last_record, table.number))
        chosen.insert(0, best)
        end, revision = best.last_record, best.revision
    flushed = end
    ordered = sorted(ranges, key=lambda found: (found.first_record, -found.last_record))
    continued: list[RecordRange] = []
    for record_range in ordered:
        if record_range.last_record <= end or record_range.first_record > end + 1:
            continue
        continued.append(record_range)
        end, revision = record_range.last_record, record_range.revision
    # Extend the history backwards for as long as the ranges are contiguous.
    history_start = min((record_range.first_record for record_range in continued), default=flushed + 1)
    revision_before = continued[0].revision_before if continued else revision
    history: list[RecordRange] = []
    for record_range in sorted(ranges, key=lambda found: (found.last_record, -found.first_record), reverse=True):
        if (
            record_range in continued
            or record_range.first_record >= history_start
            or record_range.last_record < history_start - 1
        ):
            continue
        history.insert(0, record_range)
        history_start, revision_before = record_range.first_record, record_range.revision_before
    if not chosen and history_start > 1:  # no table is usable, and the logs do not reach back to the first record
        return SalvagePlan((), (), 0, 0, 0, tuple(ranges))
    skipped = tuple(record_range for record_range in ordered if record_range.first_record > end)
    # The record of a compaction may be lost while a table has dropped the versions before it: its floor counts too.
    floor = max([revision_before if history_start > 1 else 0, *(table.floor for table in chosen)])
    return SalvagePlan(tuple(chosen), (*history, *continued), end, revision, min(floor, revision), skipped)
