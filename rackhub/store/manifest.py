"""The manifest: the file that lists all files of the store. It is replaced atomically, by a new file and a rename."""

import msgspec

from rackhub.store.errors import Corrupt
from rackhub.store.files import Files
from rackhub.store.framing import HEADER_SIZE, MANIFEST_KIND, check_header, frame_at, frame_header, header
from rackhub.store.records import encode
from rackhub.store.table import TableInfo

MANIFEST_NAME, NEW_MANIFEST_NAME = "MANIFEST", "MANIFEST.new"


class SegmentInfo(msgspec.Struct, frozen=True, array_like=True):
    """A closed log segment: its first and last record, the store's revision before and after them, and its size in
    bytes.
    """

    number: int
    first_record: int
    last_record: int
    revision_before: int
    revision: int
    size: int


class Manifest(msgspec.Struct, frozen=True, array_like=True):
    """Everything a recovery needs besides the active segment. Tables are listed newest first, segments oldest first."""

    next_number: int
    active_segment: int  # number of the segment that records are appended to
    active_first_record: int  # number of its first record
    active_revision_before: int  # the store's revision before that record
    active_durable_bytes: int  # durable size of that segment when the manifest was written
    flushed_record: int = 0  # records up to this number are in tables
    flushed_revision: int = 0
    floor: int = 0  # history up to this revision is no longer in the log
    clock: int = 0  # time at which the manifest was written, Unix microseconds
    tables: tuple[TableInfo, ...] = ()
    retired: tuple[TableInfo, ...] = ()  # inputs of merged tables, kept for salvage
    segments: tuple[SegmentInfo, ...] = ()


def log_name(number: int) -> str:
    """The name of the log segment `number`."""
    return f"log-{number:010}"


def table_name(number: int) -> str:
    """The name of the table `number`."""
    return f"table-{number:010}"


def parse_name(name: str) -> tuple[str, int] | None:
    """Return ("log" or "table", number) for the name of such a file, None for all other names."""
    kind, _, digits = name.partition("-")
    if kind in ("log", "table") and len(digits) == 10 and digits.isascii() and digits.isdigit():
        return kind, int(digits)
    return None


def install(files: Files, manifest: Manifest) -> None:
    """Replace the manifest atomically: a crash leaves either the old or the new one."""
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
    """Read the manifest. Raises `Corrupt` or `NewerFormat`."""
    file = files.open(MANIFEST_NAME)
    try:
        data = file.read(0, file.size())
    finally:
        file.close()
    check_header(MANIFEST_NAME, data, MANIFEST_KIND)
    frame = frame_at(memoryview(data), HEADER_SIZE)
    if frame is None or frame.end != len(data):
        raise Corrupt(MANIFEST_NAME, HEADER_SIZE, "checksum mismatch: the file is truncated or damaged")
    try:
        return msgspec.msgpack.decode(frame.payload, type=Manifest)
    except msgspec.MsgspecError as error:
        raise Corrupt(MANIFEST_NAME, HEADER_SIZE, f"can't be decoded: {error}") from None
