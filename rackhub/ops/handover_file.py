"""The file in `$TMPDIR` through which a process hands its manual ejections over to its successor.

The file is JSON with a format name and a version. It is written to a temporary file and renamed, so that a reader
gets either the old or the new content, never a part. Reading a file that is damaged or of another format or version
raises `HandoverFileError`. Callers ignore such a file, as it must not keep a process from serving.
"""

import logging
import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import NamedTuple

import msgspec

from rackhub.ops.manual_ejections import ManualEjections

log = logging.getLogger(__name__)

FORMAT = "rackhub-ops-state"
VERSION = 1
FILE_NAME = "rackhub-ops-state.json"


class HandoverState(msgspec.Struct, forbid_unknown_fields=True):
    """The content of the file. Times are Unix microseconds. The stored names of the fields (`name`) must not change."""

    format: str
    version: int
    ejected: list[str] = msgspec.field(default_factory=list, name="out")
    known: list[str] = msgspec.field(default_factory=list, name="listed")
    restored_at: dict[str, int] = msgspec.field(default_factory=dict, name="back")


class HandoverFileError(ValueError):
    """The file exists but can't be used; the text gives the reason."""


class FileVersion(NamedTuple):
    """Identifies one version of the file: it differs between any two files that were renamed to the path."""

    inode: int
    modified_ns: int


def file_path(environment: Mapping[str, str]) -> Path:
    """Return the path of the file, in the directory that `TMPDIR` of the environment names."""
    return Path(environment.get("TMPDIR") or "/tmp") / FILE_NAME


def encode(ejected: set[str], known: set[str], restored_at: Mapping[str, int]) -> bytes:
    """Encode the content of the file, in a fixed order."""
    state = HandoverState(FORMAT, VERSION, sorted(ejected), sorted(known), dict(sorted(restored_at.items())))
    return msgspec.json.encode(state)


def decode(data: bytes) -> HandoverState:
    """Decode the content of the file. Raises `HandoverFileError` unless it is complete and of this version."""
    try:
        state = msgspec.json.decode(data, type=HandoverState)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise HandoverFileError(f"not a state file: {error}") from None
    if state.format != FORMAT:
        raise HandoverFileError(f"unknown format {state.format!r}, expected {FORMAT!r}")
    if state.version != VERSION:
        raise HandoverFileError(f"unsupported version {state.version}, expected {VERSION}")
    return state


def read(path: Path) -> HandoverState | None:
    """Read the file; returns None if it does not exist.

    Raises `HandoverFileError` if its content can't be used, and `OSError` if it can't be read.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    return decode(data)


def file_version(path: Path) -> FileVersion | None:
    """Return the version of the file, None if it can't be read."""
    try:
        status = path.stat()
    except OSError:
        return None
    return FileVersion(status.st_ino, status.st_mtime_ns)


def write(path: Path, data: bytes) -> None:
    """Replace the file atomically. Raises `OSError`.

    The file is not synced to disk: it has to outlive the process but not the machine, and a sync blocks the reactor.
    """
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    temporary.write_bytes(data)
    os.replace(temporary, path)


def load_ejections(path: Path, count: Callable[[str], None]) -> ManualEjections:
    """Load the ejections that the previous process handed over.

    Starts without ejections if there is no file. A file that can't be used is logged, counted (`ops_state_bad`) and
    ignored.
    """
    try:
        state = read(path)
    except (HandoverFileError, OSError) as error:
        count("ops_state_bad")
        log.error("ignoring the ejections saved by the previous process: %s", error)
        return ManualEjections()
    if state is None:
        return ManualEjections()
    log.info("the previous process handed over %d manually ejected engines", len(state.ejected))
    return ManualEjections(ejected=state.ejected, known=state.known, restored_at=state.restored_at)
