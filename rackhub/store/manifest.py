"""The one file that says which others count. Replaced whole, by a new file and a rename."""

import msgspec

from rackhub.store.errors import Corrupt
from rackhub.store.files import Files
from rackhub.store.framing import HEADER_SIZE, MANIFEST_KIND, check_header, frame_at, frame_header, header
from rackhub.store.records import encode
from rackhub.store.table import TableInfo

MANIFEST_NAME, NEW_MANIFEST_NAME = "MANIFEST", "MANIFEST.new"


class SegmentInfo(msgspec.Struct, frozen=True, array_like=True):
    """One closed segment of the log: its first and last record, and the store's revision before and after them."""

    number: int
    first_record: int
    last_record: int
    revision_before: int
    revision: int
    size: int


class Manifest(msgspec.Struct, frozen=True, array_like=True):
    """All that a recovery goes by besides the active segment. Tables: newest first; segments: oldest first."""

    next_number: int
    active_segment: int  # number of the segment that is written to
    active_first_record: int  # its first record
    active_revision_before: int  # the store's revision before that
    active_durable_bytes: int  # of its bytes, so many were on disk when this was written
    flushed_record: int = 0  # records up to here are in tables
    flushed_revision: int = 0
    floor: int = 0  # history up to here is not in the log
    clock: int = 0  # the clock when this was written, Unix microseconds
    tables: tuple[TableInfo, ...] = ()
    retired: tuple[TableInfo, ...] = ()  # what tables were made from, kept in reserve
    segments: tuple[SegmentInfo, ...] = ()


def log_name(number: int) -> str:
    return f"log-{number:010}"


def table_name(number: int) -> str:
    return f"table-{number:010}"


def parse_name(name: str) -> tuple[str, int] | None:
    """What a file's name says it is: ("log" or "table", number); None where the store gives no such names."""
    kind, _, digits = name.partition("-")
    if kind in ("log", "table") and len(digits) == 10 and digits.isascii() and digits.isdigit():
        return kind, int(digits)
    return None


def install(files: Files, manifest: Manifest) -> None:
    """Put `manifest` in the place of the one before: a crash leaves the one or the other."""
    payload = encode(manifest)
    file = files.create(NEW_MANIFEST_NAME)
    try:
        file.append([header(MANIFEST_KIND, manifest.next_number & 0xFFFF_FFFF), frame_header(payload), payload])
        file.sync()
    finally:
        file.close()
    files.rename(NEW_MANIFEST_NAME, MANIFEST_NAME)
    files.sync_directory()


def load(files: Files) -> Manifest:
    """The manifest as it is on disk; `Corrupt` or `NewerFormat` where it can't be used."""
    file = files.open(MANIFEST_NAME)
    try:
        data = file.read(0, file.size())
    finally:
        file.close()
    check_header(MANIFEST_NAME, data, MANIFEST_KIND)
    found = frame_at(memoryview(data), HEADER_SIZE)
    if found is None or found.end != len(data):
        raise Corrupt(MANIFEST_NAME, HEADER_SIZE, "its contents fail their checksum: cut short or damaged")
    try:
        return msgspec.msgpack.decode(found.payload, type=Manifest)
    except msgspec.MsgspecError as bad:
        raise Corrupt(MANIFEST_NAME, HEADER_SIZE, f"its contents can't be read: {bad}") from None
