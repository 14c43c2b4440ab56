"""The active segment of the log: gathers records, writes them as frames, and knows what is on disk of them."""

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

OFFSET_INTERVAL = 65_536  # bytes of a segment between offsets that are remembered by their revision
READ_BYTES = 262_144  # bytes of a segment read at once


class Tail:
    """What was found at the end of an active segment: where whole frames end, what a crash tore off behind."""

    def __init__(self, end: int, torn_bytes: int, torn_frames: int):
        self.end, self.torn_bytes, self.torn_frames = end, torn_bytes, torn_frames


def read_records(name: str, found: Frame) -> list[Record]:
    """The records of a frame whose sum is right; what can't be read all the same was not written by a store."""
    try:
        return decode_records(found.payload)
    except msgspec.MsgspecError as bad:
        raise Corrupt(name, found.start, f"a frame of it can't be read: {bad}") from None


def check_tail(name: str, data: memoryview, start: int) -> Tail:
    """Judge what follows the last whole frame, at `start`. A later whole frame that says these bytes were on disk
    before it was written makes them corruption; otherwise they were never acknowledged, and are torn off."""
    torn_frames = 0
    if start < len(data):
        for found in frames_after(data, start):
            if found.durable > start:
                raise Corrupt(name, start, "damaged: bytes that were on disk are not whole, with whole ones after them")
            torn_frames += 1
    return Tail(start, len(data) - start, torn_frames)


class Log:
    """Records go in by `add`, to the file by `write`, to the disk between `begin_sync` and `end_sync`."""

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
        """The segment `number`, which begins with record `first` at the store's revision `before`; `file` where it
        is there already, whole and on disk up to `size`."""
        self._files, self.number, self.first_record, self.revision_before, self._frame_bytes = (
            files,
            number,
            first_record,
            revision_before,
            frame_bytes,
        )
        self.name = log_name(number)
        self.pending: list[Record] = []  # not written yet
        self.unsynced: list[Record] = []  # written, not known to be on disk
        self.last_record, self.revision = first_record - 1, revision_before  # of what is written
        self.durable_record, self.durable_revision = first_record - 1, revision_before
        self.offsets: list[tuple[int, int]] = []  # (revision before it, where a frame begins), every STRIDE or so
        if file is None:
            file = files.create(self.name)
            file.append([header(LOG_KIND, number)])
            file.sync()
            files.sync_directory()
            size = HEADER_SIZE
        self.file, self.written_size, self.durable_size = file, size, size
        self.pending_bytes = 0
        self.sync_target: tuple[int, int, int, int] | None = None

    def set_replayed(self, last: int, revision: int) -> None:
        """What a recovery found in it."""
        self.last_record = self.durable_record = last
        self.revision = self.durable_revision = revision

    def add(self, record: Record, size: int) -> None:
        self.pending.append(record)
        self.pending_bytes += size

    @property
    def full(self) -> bool:
        """Whether what waits is worth a frame of its own."""
        return self.pending_bytes >= self._frame_bytes

    def write(self) -> None:
        """All that waits, in one gathered write. After an `OSError` none of it counts as written."""
        if not self.pending:
            return
        parts: list[bytes] = []
        offsets: list[tuple[int, int]] = []
        at, revision = self.written_size, self.revision
        for some in self._split_into_frames():
            payload = encode(some)
            if not (offsets or self.offsets) or at - (offsets or self.offsets)[-1][1] >= OFFSET_INTERVAL:
                offsets.append((revision, at))
            parts += (frame_header(payload, min(self.durable_size, 0xFFFF_FFFF)), payload)
            at += FRAME_SIZE + len(payload)
            revision = some[-1].revision
        self.file.append(parts)
        last = self.pending[-1]
        self.offsets += offsets
        self.written_size, self.last_record, self.revision = at, last.number, last.revision
        self.unsynced += self.pending
        self.pending, self.pending_bytes = [], 0

    def _split_into_frames(self) -> Iterator[list[Record]]:
        if self.pending_bytes <= 2 * self._frame_bytes:
            yield self.pending
            return
        some: list[Record] = []
        size = 0
        for record in self.pending:
            some.append(record)
            size += record_size(record)
            if size >= self._frame_bytes:
                yield some
                some, size = [], 0
        if some:
            yield some

    def begin_sync(self) -> File | None:
        """Write what waits; the file to be synced, which may be done in another thread, None where nothing is new."""
        self.write()
        if self.durable_size == self.written_size:
            return None
        self.sync_target = self.written_size, self.last_record, self.revision, len(self.unsynced)
        return self.file

    def end_sync(self) -> None:
        """The sync has come back well: what was written when it began is on disk."""
        assert self.sync_target is not None
        self.durable_size, self.durable_record, self.durable_revision, count = self.sync_target
        del self.unsynced[:count]
        self.sync_target = None

    def replay(self, file: File, size: int) -> tuple[Tail, list[Record]]:
        """Read an active segment as a crash left it: records up to the last whole frame, and what was torn off."""
        data = memoryview(file.read(0, size))
        check_header(self.name, bytes(data[:HEADER_SIZE]), LOG_KIND, self.number)
        records: list[Record] = []
        end, number, revision = HEADER_SIZE, self.first_record, self.revision_before
        for found in frames(data):
            some = read_records(self.name, found)
            if not self.offsets or found.start - self.offsets[-1][1] >= OFFSET_INTERVAL:
                self.offsets.append((revision, found.start))
            for record in some:
                number, revision = check_sequence(self.name, found.start, record, number, revision)
            records += some
            end = found.end
        return check_tail(self.name, data, end), records


def check_sequence(name: str, offset: int, record: Record, number: int, revision: int) -> tuple[int, int]:
    """The numbers due after `record`, which must have `number` and carry on from `revision`."""
    if record.number != number:
        raise Corrupt(name, offset, f"holds record {record.number} where record {number} is due")
    if record.revision not in (revision, revision + 1):
        raise Corrupt(name, offset, f"record {number} has revision {record.revision} after revision {revision}")
    return number + 1, record.revision


def read_segment(name: str, number: int, file: File, start: int, end: int) -> Iterator[tuple[int, list[Record]]]:
    """The records of a segment whose frames are known to be whole from `start` to `end`, frame by frame with where
    each begins, in pieces; `Corrupt` where that is not so."""
    if start == HEADER_SIZE:
        check_header(name, file.read(0, HEADER_SIZE), LOG_KIND, number)
    data, base = memoryview(b""), start
    while start < end:
        found = frame_at(data, start - base)
        if found is None:
            if len(data) - (start - base) >= FRAME_SIZE:
                length = int.from_bytes(data[start - base + 4 : start - base + 8], "little")
                need = FRAME_SIZE + length
            else:
                need = FRAME_SIZE
            if start + need > end or need <= len(data) - (start - base):
                raise Corrupt(name, start, "a frame of it fails its checksum")
            data, base = memoryview(file.read(start, min(max(READ_BYTES, need), end - start))), start
            if len(data) < min(need, end - start):
                raise Corrupt(name, start + len(data), "cut short")
            continue
        yield start, read_records(name, found)
        start = base + found.end


def offset_for_revision(offsets: list[tuple[int, int]], revision: int) -> int:
    """Where to begin reading a segment to see the changes from `revision` on."""
    i = bisect_right(offsets, (revision - 1, 1 << 62)) - 1
    return offsets[i][1] if i >= 0 else HEADER_SIZE
