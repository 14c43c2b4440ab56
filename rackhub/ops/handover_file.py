"""The file in `$TMPDIR` through which a process hands its manual ejections over to the one that replaces it.

The file is JSON of a named format and version. It is written beside its path and renamed, so that a reader sees the
old file or the new one in full. A file that is damaged, of another format or of a later version raises
`HandoverFileError`, and callers ignore it: it must not keep a process from serving.
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
    """The content of the file. The stored names stay when those of the code change; times are Unix microseconds."""

    format: str
    version: int
    ejected: list[str] = msgspec.field(default_factory=list, name="out")
    known: list[str] = msgspec.field(default_factory=list, name="listed")
    restored_at: dict[str, int] = msgspec.field(default_factory=dict, name="back")


class HandoverFileError(ValueError):
    """The file exists but can't be used; the text says why."""


class FileVersion(NamedTuple):
    """Differs between any two files that were renamed to the same path."""

    inode: int
    modified_ns: int


def file_path(environment: Mapping[str, str]) -> Path:
    """The path of the file, by `TMPDIR` of the environment."""
    return Path(environment.get("TMPDIR") or "/tmp") / FILE_NAME


def encode(ejected: set[str], known: set[str], restored_at: Mapping[str, int]) -> bytes:
    """The content of the file, in a fixed order."""
    state = HandoverState(FORMAT, VERSION, sorted(ejected), sorted(known), dict(sorted(restored_at.items())))
    return msgspec.json.encode(state)


def decode(data: bytes) -> HandoverState:
    """Decode a file's content. Raises `HandoverFileError` for anything but a complete file of this version."""
    try:
        state = msgspec.json.decode(data, type=HandoverState)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise HandoverFileError(f"not a state file: {error}") from None
    if state.format != FORMAT:
        raise HandoverFileError(f"format {state.format!r}, not {FORMAT!r}")
    if state.version != VERSION:
        raise HandoverFileError(f"version {state.version}, this program reads {VERSION}")
    return state


def read(path: Path) -> HandoverState | None:
    """Read the file; None where there is none. Raises `HandoverFileError`."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as error:
        raise HandoverFileError(f"{path}: {os.strerror(error.errno or 0)}") from None
    return decode(data)


def file_version(path: Path) -> FileVersion | None:
    """The version of the file; None where there is none."""
    try:
        status = path.stat()
    except OSError:
        return None
    return FileVersion(status.st_ino, status.st_mtime_ns)


def write(path: Path, data: bytes) -> None:
    """Replace the file atomically. Raises `OSError`.

    It isn't synced: the file has to outlive the process, not the machine, and a sync would block the reactor.
    """
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    temporary.write_bytes(data)
    os.replace(temporary, path)


def load_ejections(path: Path, count: Callable[[str], None]) -> ManualEjections:
    """The ejections that the previous process handed over, or none.

    A file that can't be used is logged, counted (`ops_state_bad`) and ignored.
    """
    try:
        state = read(path)
    except HandoverFileError as error:
        count("ops_state_bad")
        log.error("the state left by the previous process is ignored: %s", error)
        return ManualEjections()
    if state is None:
        return ManualEjections()
    log.info("the previous process handed over %d manually ejected engines", len(state.ejected))
    return ManualEjections(ejected=state.ejected, known=state.known, restored_at=state.restored_at)


def save_ejections(path: Path, ejections: ManualEjections, count: Callable[[str], None]) -> None:
    """Write the ejections for the next process; a failure is logged and counted (`ops_state_unwritten`)."""
    try:
        write(path, encode(ejections.ejected, ejections.known, ejections.restored_at))
    except OSError as error:
        count("ops_state_unwritten")
        log.error("the manual ejections can't be saved for the next process: %s", error)
