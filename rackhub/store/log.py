"""The active segment of the write-ahead log: buffers records, writes them as frames and tracks what is on disk."""

from bisect import bisect_right
from collections.abc import Iterator

import msgspec

from rackhub.store.errors import Corrupt
from rackhub.store.files import File, Files
from rackhub.store.framing import (
    FRAME_SIZE,
    HEADER_SIZE,
    LOG_KIND,
    Frame,
    check_header,
    frame_at,
    frame_header,
    frames,
    frames_after,
    header,
)
from rackhub.store.manifest import log_name
from rackhub.store.records import Record, decode_records, encode, record_size

OFFSET_INTERVAL = 65_536  # bytes of a segment between two entries of its offset index
READ_BYTES = 262_144  # bytes of a segment that are read at once


class Tail:
    """The end of an active segment: where complete frames end, and what a crash tore off after that."""

    def __init__(self, end: int, torn_bytes: int, torn_frames: int):
        self.end, self.torn_bytes, self.torn_frames = end, torn_bytes, torn_frames


def read_records(name: str, found: Frame) -> list[Record]:
    """Decode a frame with a correct checksum. Raises `Corrupt` if the content is none that a store writes."""
    try:
        return decode_records(found.payload)
    except msgspec.MsgspecError as error:
        raise Corrupt(name, found.start, f"frame can't be decoded: {error}") from None


def check_tail(name: str, data: memoryview, start: int) -> Tail:
    """Examine the bytes after the last complete frame, which ends at `start`.

    If a later complete frame says that these bytes were durable when it was written, they are corrupt: raises
    `Corrupt`. Otherwise their commits were never acknowledged, and the bytes are a torn tail.
    """
    torn_frames = 0
    if start < len(data):
        for frame in frames_after(data, start):
            if frame.durable > start:
                raise Corrupt(name, start, "damaged: durable bytes fail their checksum, and valid frames follow")
            torn_frames += 1
    return Tail(start, len(data) - start, torn_frames)


class Log:
    """The active segment: `add` buffers records, `write` writes them, `begin_sync` and `end_sync` make them durable."""

    def __init__(
        self,
        files: Files,
        number: int,
        first_record: int,
        revision_before: int,
        frame_bytes: int,
        file: File | None = None,
        size: int = 0,
    ):
        """Open the segment `number`, which starts with `first_record` after the store's `revision_before`.

        `file`: the existing file, complete and durable up to `size`; None to create it.
        """
        self._files, self.number, self.first_record, self.revision_before, self._frame_bytes = (
            files,
            number,
            first_record,
            revision_before,
            frame_bytes,
        )
        self.name = log_name(number)
        self.pending: list[Record] = []  # records that are not written yet
        self.unsynced: list[Record] = []  # written records that are not known to be durable
        self.last_record, self.revision = first_record - 1, revision_before  # the last written record and its revision
        self.durable_record, self.durable_revision = first_record - 1, revision_before
        # Sparse index: (revision before a frame, the frame's offset), about every OFFSET_INTERVAL bytes.
        self.offsets: list[tuple[int, int]] = []
        if file is None:
            file = files.create(self.name)
            file.append([header(LOG_KIND, number)])
            file.sync()
            files.sync_directory()
            size = HEADER_SIZE
        self.file, self.written_size, self.durable_size = file, size, size
        self.pending_bytes = 0
        # While a sync runs: the size, record and revision it makes durable, and the number of records in `unsynced`.
        self.sync_target: tuple[int, int, int, int] | None = None

    def set_replayed(self, last: int, revision: int) -> None:
        """Set the last record and revision that a recovery found; both are durable."""
        self.last_record = self.durable_record = last
        self.revision = self.durable_revision = revision

    def add(self, record: Record, size: int) -> None:
        """Buffer a record of about `size` bytes."""
        self.pending.append(record)
        self.pending_bytes += size

    @property
    def full(self) -> bool:
        """True if the buffered records fill a frame."""
        return self.pending_bytes >= self._frame_bytes

    def write(self) -> None:
        """Write all buffered records at once. After an `OSError` none of them counts as written."""
        if not self.pending:
            return
        parts: list[bytes] = []
        offsets: list[tuple[int, int]] = []
        offset, revision = self.written_size, self.revision
        for records in self._split_into_frames():
            payload = encode(records)
            if not (offsets or self.offsets) or offset - (offsets or self.offsets)[-1][1] >= OFFSET_INTERVAL:
                offsets.append((revision, offset))
            parts += (frame_header(payload, min(self.durable_size, 0xFFFF_FFFF)), payload)
            offset += FRAME_SIZE + len(payload)
            revision = records[-1].revision
        self.file.append(parts)
        last = self.pending[-1]
        self.offsets += offsets
        self.written_size, self.last_record, self.revision = offset, last.number, last.revision
        self.unsynced += self.pending
        self.pending, self.pending_bytes = [], 0

    def _split_into_frames(self) -> Iterator[list[Record]]:
        """Yield the buffered records grouped into frames of about `frame_bytes`."""
        if self.pending_bytes <= 2 * self._frame_bytes:
            yield self.pending
            return
        records: list[Record] = []
        size = 0
        for record in self.pending:
            records.append(record)
            size += record_size(record)
            if size >= self._frame_bytes:
                yield records
                records, size = [], 0
        if records:
            yield records

    def begin_sync(self) -> File | None:
        """Write the buffered records and return the file to sync, possibly in another thread.

        None if everything is durable.
        """
        self.write()
        if self.durable_size == self.written_size:
            return None
        self.sync_target = self.written_size, self.last_record, self.revision, len(self.unsynced)
        return self.file

    def end_sync(self) -> None:
        """Mark as durable what was written when the sync began; call it after the sync has succeeded."""
        assert self.sync_target is not None
        self.durable_size, self.durable_record, self.durable_revision, count = self.sync_target
        del self.unsynced[:count]
        self.sync_target = None

    def replay(self, file: File, size: int) -> tuple[Tail, list[Record]]:
        """Read the active segment after a crash: the records up to the last complete frame, and what was torn off."""
        data = memoryview(file.read(0, size))
        check_header(self.name, bytes(data[:HEADER_SIZE]), LOG_KIND, self.number)
        records: list[Record] = []
        end, next_record, revision = HEADER_SIZE, self.first_record, self.revision_before
        for found in frames(data):
            frame_records = read_records(self.name, found)
            if not self.offsets or found.start - self.offsets[-1][1] >= OFFSET_INTERVAL:
                self.offsets.append((revision, found.start))
            for record in frame_records:
                next_record, revision = check_sequence(self.name, found.start, record, next_record, revision)
            records += frame_records
            end = found.end
        return check_tail(self.name, data, end), records


def check_sequence(name: str, offset: int, record: Record, expected: int, revision: int) -> tuple[int, int]:
    """Return the record number and the revision that may follow `record`.

    Raises `Corrupt` if `record` does not have the `expected` number, or can't follow `revision`.
    """
    if record.number != expected:
        raise Corrupt(name, offset, f"contains record {record.number}, expected record {expected}")
    if record.revision not in (revision, revision + 1):
        raise Corrupt(
            name, offset, f"record {expected} has revision {record.revision}, which can't follow revision {revision}"
        )
    return expected + 1, record.revision


def read_segment(name: str, number: int, file: File, start: int, end: int) -> Iterator[tuple[int, list[Record]]]:
    """Yield the offset and the records of each frame from `start` to `end`, reading the file in pieces.

    All frames in that range must be complete. Raises `Corrupt` otherwise.
    """
    if start == HEADER_SIZE:
        check_header(name, file.read(0, HEADER_SIZE), LOG_KIND, number)
    data, base = memoryview(b""), start
    while start < end:
        frame = frame_at(data, start - base)
        if frame is None:
            if len(data) - (start - base) >= FRAME_SIZE:
                length = int.from_bytes(data[start - base + 4 : start - base + 8], "little")
                need = FRAME_SIZE + length
            else:
                need = FRAME_SIZE
            if start + need > end or need <= len(data) - (start - base):
                raise Corrupt(name, start, "frame checksum mismatch")
            data, base = memoryview(file.read(start, min(max(READ_BYTES, need), end - start))), start
            if len(data) < min(need, end - start):
                raise Corrupt(name, start + len(data), f"truncated: expected {end} bytes")
            continue
        yield start, read_records(name, frame)
        start = base + frame.end


def offset_for_revision(offsets: list[tuple[int, int]], revision: int) -> int:
    """The offset from which a segment must be read to see all changes from `revision` on."""
    index = bisect_right(offsets, (revision - 1, 1 << 62)) - 1
    return offsets[index][1] if index >= 0 else HEADER_SIZE
