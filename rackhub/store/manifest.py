"""The one file that says which others count. Replaced whole, by a new file and a rename."""

import msgspec

from rackhub.store.errors import Corrupt
from rackhub.store.files import Files
from rackhub.store.framing import HEADER_SIZE, MANIFEST, check_header, frame, frame_at, header
from rackhub.store.records import encode
from rackhub.store.table import TableInfo

NAME, NEW = "MANIFEST", "MANIFEST.new"


class SegmentInfo(msgspec.Struct, frozen=True, array_like=True):
    """One closed segment of the log: its first and last record, and the store's revision before and after them."""

    number: int
    first_record: int
    last_record: int
    before: int
    revision: int
    size: int


class Manifest(msgspec.Struct, frozen=True, array_like=True):
    """All that a recovery goes by besides the active segment. Tables: newest first; segments: oldest first."""

    next_number: int
    active: int  # number of the segment that is written to
    active_first: int  # its first record
    active_before: int  # the store's revision before that
    active_durable: int  # of its bytes, so many were on disk when this was written
    flushed: int = 0  # records up to here are in tables
    flushed_revision: int = 0
    floor: int = 0  # history up to here is not in the log
    seen: int = 0  # the clock when this was written, Unix microseconds
    tables: tuple[TableInfo, ...] = ()
    retired: tuple[TableInfo, ...] = ()  # what tables were made from, kept in reserve
    segments: tuple[SegmentInfo, ...] = ()


def log_name(number: int) -> str:
    return f"log-{number:010}"


def table_name(number: int) -> str:
    return f"table-{number:010}"


def number_of(name: str) -> tuple[str, int] | None:
    """What a file's name says it is: ("log" or "table", number); None where the store gives no such names."""
    kind, _, digits = name.partition("-")
    if kind in ("log", "table") and len(digits) == 10 and digits.isascii() and digits.isdigit():
        return kind, int(digits)
    return None


def install(files: Files, manifest: Manifest) -> None:
    """Put `manifest` in the place of the one before: a crash leaves the one or the other."""
    payload = encode(manifest)
    file = files.create(NEW)
    try:
        file.append([header(MANIFEST, manifest.next_number & 0xFFFF_FFFF), frame(payload), payload])
        file.sync()
    finally:
        file.close()
    files.rename(NEW, NAME)
    files.sync_names()


def load(files: Files) -> Manifest:
    """The manifest as it is on disk; `Corrupt` or `NewerFormat` where it can't be used."""
    file = files.open(NAME)
    try:
        data = file.read(0, file.size())
    finally:
        file.close()
    check_header(NAME, data, MANIFEST)
    found = frame_at(memoryview(data), HEADER_SIZE)
    if found is None or found.end != len(data):
        raise Corrupt(NAME, HEADER_SIZE, "its contents fail their checksum: cut short or damaged")
    try:
        return msgspec.msgpack.decode(found.payload, type=Manifest)
    except msgspec.MsgspecError as bad:
        raise Corrupt(NAME, HEADER_SIZE, f"its contents can't be read: {bad}") from None
