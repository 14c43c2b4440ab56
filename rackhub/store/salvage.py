"""Inspects a damaged store file by file, and writes a new store from the intact parts.

`plan.plan_salvage` decides which parts are used.
"""

from collections.abc import Callable, Iterator

import msgspec

from rackhub.store import plan
from rackhub.store.errors import Corrupt, NewerFormat, StoreError
from rackhub.store.files import File, Files
from rackhub.store.framing import (
    FRAME_SIZE,
    HEADER_SIZE,
    LOG_KIND,
    check_header,
    frame_header,
    frames,
    frames_after,
    header,
)
from rackhub.store.log import check_sequence, check_tail, read_records
from rackhub.store.manifest import (
    MANIFEST_NAME,
    Manifest,
    SegmentInfo,
    install,
    load,
    log_name,
    parse_name,
    table_name,
)
from rackhub.store.records import DATA, Record, encode
from rackhub.store.table import BlockCache, Table, TableInfo

COPY_BYTES = 1_048_576  # bytes that are read or written at once


class Finding(msgspec.Struct, frozen=True):
    """A fault in a file, at a byte offset."""

    file: str
    offset: int
    what: str


class LogSurvey(msgspec.Struct, frozen=True):
    """The ranges of intact records in a log with the byte ranges of their frames, and the faults between them."""

    ranges: tuple[plan.RecordRange, ...]
    byte_ranges: tuple[tuple[int, int], ...]
    findings: tuple[Finding, ...]


class Survey(msgspec.Struct, frozen=True):
    """The intact parts of a directory, and the faults found."""

    tables: dict[str, TableInfo]
    logs: dict[str, LogSurvey]
    findings: tuple[Finding, ...]


def inspect_table(name: str, number: int, file: File) -> TableInfo:
    """Read the whole table and return its description. Raises `Corrupt` at the first mismatch."""
    table = Table(name, number, file, BlockCache(0))
    table.verify()
    return table.info


def inspect_log(name: str, number: int, file: File) -> LogSurvey:
    """Find the intact records of a log; after a damaged frame the search continues at the next marker."""
    data = memoryview(file.read(0, file.size()))
    findings: list[Finding] = []
    try:
        check_header(name, bytes(data[:HEADER_SIZE]), LOG_KIND, number)
    except NewerFormat:
        raise
    except Corrupt as error:
        findings.append(Finding(name, error.offset, error.reason))
    ranges: list[plan.RecordRange] = []
    byte_ranges: list[tuple[int, int]] = []
    offset = HEADER_SIZE
    while offset < len(data):
        end = offset
        for frame in frames(data, offset):
            end = frame.end
            try:
                records = read_records(name, frame)
            except Corrupt as error:
                findings.append(Finding(name, frame.start, error.reason))
                continue
            first, last = records[0], records[-1]
            if ranges and byte_ranges[-1][1] == frame.start and ranges[-1].last_record + 1 == first.number:
                ranges[-1] = msgspec.structs.replace(ranges[-1], last_record=last.number, revision=last.revision)
                byte_ranges[-1] = (byte_ranges[-1][0], end)
            else:
                ranges.append(
                    plan.RecordRange(number, first.number, last.number, revision_before(first), last.revision)
                )
                byte_ranges.append((frame.start, end))
        if end < len(data):
            findings.append(Finding(name, end, "no valid frame at this offset"))
            next_frame = next(frames_after(data, end), None)
            if next_frame is None:
                break
            end = next_frame.start
        offset = end
    return LogSurvey(tuple(ranges), tuple(byte_ranges), tuple(findings))


def revision_before(record: Record) -> int:
    """The store's revision before a record. Only a record that changes user keys has a revision of its own."""
    return record.revision - any(entry.key[:1] == DATA for entry in record.entries)


def survey(files: Files, progress: Callable[[str], None] = lambda name: None) -> Survey:
    """Read every file of a directory. Raises `NewerFormat`, as files of an unknown format can't be judged."""
    tables: dict[str, TableInfo] = {}
    logs: dict[str, LogSurvey] = {}
    findings: list[Finding] = []
    for name in files.names():
        parsed = parse_name(name)
        if parsed is None:
            continue
        progress(name)
        file = files.open(name)
        try:
            if parsed[0] == "table":
                tables[name] = inspect_table(name, parsed[1], file)
            else:
                logs[name] = inspect_log(name, parsed[1], file)
                findings += logs[name].findings
        except Corrupt as error:
            findings.append(Finding(name, error.offset, error.reason))
        except OSError as error:
            findings.append(Finding(name, 0, str(error)))
        finally:
            file.close()
    return Survey(tables, logs, tuple(findings))


def choose(found: Survey) -> plan.SalvagePlan:
    """Plan the salvage of a surveyed directory."""
    return plan.plan_salvage(
        list(found.tables.values()), [record_range for log in found.logs.values() for record_range in log.ranges]
    )


def write_store(found: Survey, taken: plan.SalvagePlan, source: Files, target: Files, now: int) -> None:
    """Write a new store with the contents of `taken`.

    `target` must be empty. Its manifest is written last, so that an incomplete copy is never opened as a store.
    `now`: the current time in Unix microseconds.
    """
    if target.names():
        raise StoreError("the target directory is not empty")
    for info in taken.tables:
        _copy(source.open(table_name(info.number)), target.create(table_name(info.number)))
    number = max([table.number for table in taken.tables], default=0) + 1
    segments: list[SegmentInfo] = []
    next_record, revision = (
        (taken.logs[0].first_record, taken.logs[0].revision_before)
        if taken.logs
        else (taken.last_record + 1, taken.revision)
    )
    for record_range in taken.logs:
        if record_range.last_record < next_record:  # the preceding range contains all of these records
            continue
        segment = _write_segment(found, record_range, source, target, number, next_record, revision)
        segments.append(segment)
        number, next_record, revision = number + 1, segment.last_record + 1, segment.revision
    file = target.create(log_name(number))
    file.append([header(LOG_KIND, number)])
    file.sync()
    file.close()
    target.sync_directory()
    flushed = taken.tables[0] if taken.tables else None
    install(
        target,
        Manifest(
            number + 1,
            number,
            taken.last_record + 1,
            taken.revision,
            HEADER_SIZE,
            flushed.last_record if flushed else 0,
            flushed.revision if flushed else 0,
            taken.floor,
            now,
            taken.tables,
            (),
            tuple(segments),
        ),
    )


def _write_segment(
    found: Survey,
    record_range: plan.RecordRange,
    source: Files,
    target: Files,
    number: int,
    next_record: int,
    before: int,
) -> SegmentInfo:
    """Write the records of a range from record `next_record` on as a segment of their own."""
    name = log_name(record_range.log)
    log = found.logs[name]
    start, end = log.byte_ranges[log.ranges.index(record_range)]
    buffers, size, revision, first = [header(LOG_KIND, number)], HEADER_SIZE, before, next_record
    old, file = source.open(name), target.create(log_name(number))
    try:
        data = memoryview(old.read(0, end))
        for frame in frames(data, start):
            records = [record for record in read_records(name, frame) if record.number >= next_record]
            if records:
                payload = encode(records)
                buffers += [frame_header(payload, size), payload]
                size += FRAME_SIZE + len(payload)
                next_record, revision = records[-1].number + 1, records[-1].revision
            if sum(map(len, buffers)) > COPY_BYTES:
                file.append(buffers)
                buffers = []
        file.append(buffers)
        file.sync()
    finally:
        old.close()
        file.close()
    return SegmentInfo(number, first, next_record - 1, before, revision, size)


def _copy(source: File, target: File) -> None:
    offset = 0
    while data := source.read(offset, COPY_BYTES):
        target.append([data])
        offset += len(data)
    target.sync()
    source.close()
    target.close()


def salvage(
    source: Files, target: Files, now: int, progress: Callable[[str], None] = lambda name: None
) -> tuple[Survey, plan.SalvagePlan]:
    """Read everything in `source` and write the intact part to `target`.

    The first result lists the faults, the second what was `skipped`. `now`: the current time in Unix microseconds.
    """
    found = survey(source, progress)
    taken = choose(found)
    write_store(found, taken, source, target, now)
    return found, taken


def verify(files: Files, progress: Callable[[str], None] = lambda name: None) -> Iterator[Finding]:
    """Read all files and compare them with the manifest, without changing anything.

    A torn tail of the log is no fault: the next opening truncates it.
    """
    try:
        manifest = load(files)
        sizes = {}
        for name in files.names():
            file = files.open(name)
            sizes[name] = file.size()
            file.close()
        recovery_plan = plan.plan_recovery(manifest, sizes)
    except Corrupt as error:
        yield Finding(error.file, error.offset, error.reason)
        return
    except FileNotFoundError:
        yield Finding(MANIFEST_NAME, 0, "missing")
        return
    for number in recovery_plan.later_segments:
        if sizes[log_name(number)] > HEADER_SIZE:
            yield Finding(log_name(number), HEADER_SIZE, "contains records, but the manifest does not list it")
    for info in (*manifest.tables, *manifest.retired):
        name = table_name(info.number)
        progress(name)
        try:
            if inspect_table(name, info.number, files.open(name)) != info:
                yield Finding(name, 0, "does not match the table that the manifest lists")
        except Corrupt as error:
            yield Finding(error.file, error.offset, error.reason)
        except FileNotFoundError:
            yield Finding(name, 0, "listed in the manifest, but missing")
    next_record, revision = None, 0
    for segment in manifest.segments:
        name = log_name(segment.number)
        progress(name)
        log_survey = inspect_log(name, segment.number, files.open(name))
        yield from log_survey.findings
        if not log_survey.findings:
            only_range = log_survey.ranges[0] if len(log_survey.ranges) == 1 else None
            if only_range is None or (only_range.first_record, only_range.last_record) != (
                segment.first_record,
                segment.last_record,
            ):
                yield Finding(
                    name,
                    HEADER_SIZE,
                    f"does not contain exactly the records {segment.first_record} to {segment.last_record}",
                )
        if next_record is not None and (segment.first_record, segment.revision_before) != (next_record, revision):
            yield Finding(
                name, HEADER_SIZE, f"starts with record {segment.first_record}, expected record {next_record}"
            )
        next_record, revision = segment.last_record + 1, segment.revision
    yield from _verify_active(files, manifest)


def _verify_active(files: Files, manifest: Manifest) -> Iterator[Finding]:
    name = log_name(manifest.active_segment)
    file = files.open(name)
    data = memoryview(file.read(0, file.size()))
    file.close()
    end, next_record, revision = HEADER_SIZE, manifest.active_first_record, manifest.active_revision_before
    try:
        check_header(name, bytes(data[:HEADER_SIZE]), LOG_KIND, manifest.active_segment)
        for frame in frames(data):
            for record in read_records(name, frame):
                next_record, revision = check_sequence(name, frame.start, record, next_record, revision)
            end = frame.end
        check_tail(name, data, end)
        if end < manifest.active_durable_bytes:
            raise Corrupt(name, end, f"truncated: {manifest.active_durable_bytes} bytes were durable")
    except Corrupt as error:
        yield Finding(error.file, error.offset, error.reason)
