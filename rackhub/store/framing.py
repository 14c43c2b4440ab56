"""The file format: a header at the start of each file, and frames of marker, sizes, checksum and payload.

The header consists of four letters for the kind of file, the format version and the file's number, with a checksum.
A frame records, besides its length, how many bytes of its file were known to be durable when it was written
(`durable`). This lets a recovery distinguish a torn tail from corruption: damaged bytes that a later frame calls
durable are corruption; others belong to writes that were never acknowledged.
"""

import struct
from collections.abc import Iterator
from typing import NamedTuple

from crc32c import crc32c

from rackhub.store.errors import Corrupt, NewerFormat

FORMAT = 1  # format version of all files; readers accept this one and all earlier ones
LOG_KIND, TABLE_KIND, MANIFEST_KIND = b"RHLG", b"RHTB", b"RHMF"
_HEADER = struct.Struct("<4sHHQI")  # kind, format, reserved, number, checksum of the preceding fields
_FRAME = struct.Struct("<4sIII")  # marker, payload length, durable bytes, checksum of lengths and payload
_SIZES = struct.Struct("<II")
MARKER = b"\xf5\x1eRH"
HEADER_SIZE, FRAME_SIZE = _HEADER.size, _FRAME.size


class Frame(NamedTuple):
    """A frame found in a file: the offsets of its start and end, its `durable` field and its payload."""

    start: int
    end: int
    durable: int
    payload: memoryview


def header(kind: bytes, number: int) -> bytes:
    """The header of a file."""
    fields = _HEADER.pack(kind, FORMAT, 0, number, 0)[:-4]
    return fields + struct.pack("<I", crc32c(fields))


def check_header(name: str, data: bytes, kind: bytes, number: int | None = None) -> int:
    """Check the header of the file `name` and return the file number in it. Raises `Corrupt` or `NewerFormat`."""
    if len(data) < HEADER_SIZE:
        raise Corrupt(name, len(data), f"truncated: {len(data)} of {HEADER_SIZE} header bytes")
    found, format, _, file_number, check = _HEADER.unpack(data[:HEADER_SIZE])
    if crc32c(data[: HEADER_SIZE - 4]) != check:
        raise Corrupt(name, 0, "header checksum mismatch")
    if found != kind:
        raise Corrupt(name, 0, f"the header has kind {found!r}, expected {kind!r}")
    if format > FORMAT:
        raise NewerFormat(name, format, FORMAT)
    if number is not None and file_number != number:
        raise Corrupt(name, 0, f"the header has file number {file_number}, expected {number}")
    return file_number


def frame_header(payload: bytes, durable: int = 0) -> bytes:
    """The header of a frame with that payload."""
    sizes = _SIZES.pack(len(payload), durable)
    return MARKER + sizes + struct.pack("<I", crc32c(payload, crc32c(sizes)))


def frame_at(data: memoryview, start: int) -> Frame | None:
    """Return the frame that starts at `start`, or None if there is no complete frame with a correct checksum."""
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
    """Yield consecutive frames from `start`, up to the first position without a valid frame."""
    while (found := frame_at(data, start)) is not None:
        yield found
        start = found.end


def frames_after(data: memoryview, start: int) -> Iterator[Frame]:
    """Yield all valid frames after the damaged position `start`, located by their marker."""
    contents = bytes(data)
    offset = contents.find(MARKER, start + 1)
    while offset >= 0:
        found = frame_at(data, offset)
        if found is not None:
            yield found
        offset = contents.find(MARKER, found.end if found is not None else offset + 1)
