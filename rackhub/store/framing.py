"""Bytes on disk: a header at the start of each file, and frames of a marker, sizes, a checksum and a payload.

All files begin with four letters of their kind, the format and what number the file has, under a checksum. A frame
says besides its length how many bytes of its file were known to be on disk when it was written (`durable`). With
that a recovery can tell a tail that a crash tore from bytes that were whole once: a bad place that a later frame
calls durable is corruption, and one that none does is a write that was never acknowledged.
"""

import struct
from collections.abc import Iterator
from typing import NamedTuple

from crc32c import crc32c

from rackhub.store.errors import Corrupt, NewerFormat

FORMAT = 1  # of all files; a reader takes this and all before it
LOG_KIND, TABLE_KIND, MANIFEST_KIND = b"RHLG", b"RHTB", b"RHMF"
_HEADER = struct.Struct("<4sHHQI")  # kind, format, nothing, number, checksum of these
_FRAME = struct.Struct("<4sIII")  # marker, length of the payload, durable, checksum of the two and the payload
_SIZES = struct.Struct("<II")
MARKER = b"\xf5\x1eRH"
HEADER_SIZE, FRAME_SIZE = _HEADER.size, _FRAME.size


class Frame(NamedTuple):
    """One frame as it was found: where it begins and ends in its file, and what it bears."""

    start: int
    end: int
    durable: int
    payload: memoryview


def header(kind: bytes, number: int) -> bytes:
    """The first bytes of a file."""
    fields = _HEADER.pack(kind, FORMAT, 0, number, 0)[:-4]
    return fields + struct.pack("<I", crc32c(fields))


def check_header(name: str, data: bytes, kind: bytes, number: int | None = None) -> int:
    """The file's own number. `Corrupt` or `NewerFormat` where this is no header that can be read."""
    if len(data) < HEADER_SIZE:
        raise Corrupt(name, len(data), f"cut inside its header of {HEADER_SIZE} bytes")
    found, format, _, file_number, check = _HEADER.unpack(data[:HEADER_SIZE])
    if crc32c(data[: HEADER_SIZE - 4]) != check:
        raise Corrupt(name, 0, "its header fails its checksum")
    if found != kind:
        raise Corrupt(name, 0, f"it is of kind {found!r}, not {kind!r}")
    if format > FORMAT:
        raise NewerFormat(name, format, FORMAT)
    if number is not None and file_number != number:
        raise Corrupt(name, 0, f"it says that it is number {file_number}, not {number}")
    return file_number


def frame_header(payload: bytes, durable: int = 0) -> bytes:
    """The head that goes before `payload`."""
    sizes = _SIZES.pack(len(payload), durable)
    return MARKER + sizes + struct.pack("<I", crc32c(payload, crc32c(sizes)))


def frame_at(data: memoryview, start: int) -> Frame | None:
    """The whole frame that begins at `start`, or None."""
    if start + FRAME_SIZE > len(data):
        return None
    marker, length, durable, check = _FRAME.unpack_from(data, start)
    end = start + FRAME_SIZE + length
    if marker != MARKER or end > len(data):
        return None
    payload = data[start + FRAME_SIZE : end]
    if crc32c(payload, crc32c(data[start + 4 : start + 12])) != check:
        return None
    return Frame(start, end, durable, payload)


def frames(data: memoryview, start: int = HEADER_SIZE) -> Iterator[Frame]:
    """Whole frames in a row from `start`; it ends at the first byte that begins none."""
    while (found := frame_at(data, start)) is not None:
        yield found
        start = found.end


def frames_after(data: memoryview, start: int) -> Iterator[Frame]:
    """Whole frames anywhere after a bad place at `start`, found by their marker."""
    whole = bytes(data)
    at = whole.find(MARKER, start + 1)
    while at >= 0:
        found = frame_at(data, at)
        if found is not None:
            yield found
        at = whole.find(MARKER, found.end if found is not None else at + 1)
