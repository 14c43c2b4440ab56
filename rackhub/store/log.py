"""The active segment of the log: gathers records, writes them as frames, and knows what is on disk of them."""

from bisect import bisect_right
from collections.abc import Iterator

import msgspec

from rackhub.store.errors import Corrupt
from rackhub.store.files import File, Files
from rackhub.store.framing import (
    FRAME_SIZE,
    HEADER_SIZE,
    LOG,
    Frame,
    beyond,
    check_header,
    frame,
    frame_at,
    frames,
    header,
)
from rackhub.store.manifest import log_name
from rackhub.store.records import Record, encode, records_of, weight

STRIDE = 65_536  # bytes of a segment between places that are remembered by their revision
READ = 262_144  # bytes of a segment read at once


class Tail:
    """What was found at the end of an active segment: where whole frames end, what a crash tore off behind."""

    def __init__(self, end: int, torn: int, later: int):
        self.end, self.torn, self.later = end, torn, later


def read_records(name: str, frame_: Frame) -> list[Record]:
    """The records of a frame whose sum is right; what can't be read all the same was not written by a store."""
    try:
        return records_of(frame_.payload)
    except msgspec.MsgspecError as bad:
        raise Corrupt(name, frame_.start, f"a frame of it can't be read: {bad}") from None


def read_tail(name: str, data: memoryview, start: int) -> Tail:
    """Judge what follows the last whole frame, at `start`. A later whole frame that says these bytes were on disk
    before it was written makes them corruption; otherwise they were never acknowledged, and are torn off."""
    later = 0
    if start < len(data):
        for found in beyond(data, start):
            if found.durable > start:
                raise Corrupt(name, start, "damaged: bytes that were on disk are not whole, with whole ones after them")
            later += 1
    return Tail(start, len(data) - start, later)


class Log:
    """Records go in by `add`, to the file by `write`, to the disk between `begin_sync` and `end_sync`."""

    def __init__(
        self,
        files: Files,
        number: int,
        first: int,
        before: int,
        frame_bytes: int,
        file: File | None = None,
        size: int = 0,
    ):
        """The segment `number`, which begins with record `first` at the store's revision `before`; `file` where it
        is there already, whole and on disk up to `size`."""
        self._files, self.number, self.first, self.before, self._frame_bytes = files, number, first, before, frame_bytes
        self.name = log_name(number)
        self.waiting: list[Record] = []  # not written yet
        self.unsynced: list[Record] = []  # written, not known to be on disk
        self.last, self.revision = first - 1, before  # of what is written
        self.durable_last, self.durable_revision = first - 1, before
        self.places: list[tuple[int, int]] = []  # (revision before it, where a frame begins), every STRIDE or so
        if file is None:
            file = files.create(self.name)
            file.append([header(LOG, number)])
            file.sync()
            files.sync_names()
            size = HEADER_SIZE
        self.file, self.written, self.durable = file, size, size
        self._waiting_bytes = 0
        self._syncing: tuple[int, int, int, int] | None = None

    def replayed(self, last: int, revision: int) -> None:
        """What a recovery found in it."""
        self.last = self.durable_last = last
        self.revision = self.durable_revision = revision

    def add(self, record: Record, size: int) -> None:
        self.waiting.append(record)
        self._waiting_bytes += size

    @property
    def full(self) -> bool:
        """Whether what waits is worth a frame of its own."""
        return self._waiting_bytes >= self._frame_bytes

    def write(self) -> None:
        """All that waits, in one gathered write. After an `OSError` none of it counts as written."""
        if not self.waiting:
            return
        parts: list[bytes] = []
        places: list[tuple[int, int]] = []
        at, revision = self.written, self.revision
        for some in self._shared_out():
            payload = encode(some)
            if not (places or self.places) or at - (places or self.places)[-1][1] >= STRIDE:
                places.append((revision, at))
            parts += (frame(payload, min(self.durable, 0xFFFF_FFFF)), payload)
            at += FRAME_SIZE + len(payload)
            revision = some[-1].revision
        self.file.append(parts)
        last = self.waiting[-1]
        self.places += places
        self.written, self.last, self.revision = at, last.number, last.revision
        self.unsynced += self.waiting
        self.waiting, self._waiting_bytes = [], 0

    def _shared_out(self) -> Iterator[list[Record]]:
        if self._waiting_bytes <= 2 * self._frame_bytes:
            yield self.waiting
            return
        some: list[Record] = []
        size = 0
        for record in self.waiting:
            some.append(record)
            size += weight(record)
            if size >= self._frame_bytes:
                yield some
                some, size = [], 0
        if some:
            yield some

    def begin_sync(self) -> File | None:
        """Write what waits; the file to be synced, which may be done in another thread, None where nothing is new."""
        self.write()
        if self.durable == self.written:
            return None
        self._syncing = self.written, self.last, self.revision, len(self.unsynced)
        return self.file

    def end_sync(self) -> None:
        """The sync has come back well: what was written when it began is on disk."""
        assert self._syncing is not None
        self.durable, self.durable_last, self.durable_revision, count = self._syncing
        del self.unsynced[:count]
        self._syncing = None

    def replay(self, file: File, size: int) -> tuple[Tail, list[Record]]:
        """Read an active segment as a crash left it: records up to the last whole frame, and what was torn off."""
        data = memoryview(file.read(0, size))
        check_header(self.name, bytes(data[:HEADER_SIZE]), LOG, self.number)
        records: list[Record] = []
        end, number, revision = HEADER_SIZE, self.first, self.before
        for found in frames(data):
            some = read_records(self.name, found)
            if not self.places or found.start - self.places[-1][1] >= STRIDE:
                self.places.append((revision, found.start))
            for record in some:
                number, revision = following(self.name, found.start, record, number, revision)
            records += some
            end = found.end
        return read_tail(self.name, data, end), records


def following(name: str, offset: int, record: Record, number: int, revision: int) -> tuple[int, int]:
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
        check_header(name, file.read(0, HEADER_SIZE), LOG, number)
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
            data, base = memoryview(file.read(start, min(max(READ, need), end - start))), start
            if len(data) < min(need, end - start):
                raise Corrupt(name, start + len(data), "cut short")
            continue
        yield start, read_records(name, found)
        start = base + found.end


def place_for(places: list[tuple[int, int]], revision: int) -> int:
    """Where to begin reading a segment to see the changes from `revision` on."""
    i = bisect_right(places, (revision - 1, 1 << 62)) - 1
    return places[i][1] if i >= 0 else HEADER_SIZE
