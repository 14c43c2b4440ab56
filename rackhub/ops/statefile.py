"""What one process hands to the one that replaces it, through a file in `$TMPDIR`.

The file is JSON of a named format and version, written whole beside its place and renamed over it, so that a reader
sees the old file or the new one, never half of one. A file that is damaged, of another format or of a later version is
reported by `Unreadable` and is ignored by the caller: it is never a reason not to serve.
"""

import logging
import os
from collections.abc import Callable, Mapping
from pathlib import Path

import msgspec

from rackhub.ops.bans import Bans

log = logging.getLogger(__name__)

FORMAT, VERSION = "rackhub-ops-state", 1
NAME = "rackhub-ops-state.json"


class OpsState(msgspec.Struct, forbid_unknown_fields=True):
    """Engines out by hand, every id listed so far, and when engines were put back (microseconds, Unix time)."""

    format: str
    version: int
    out: list[str] = []
    listed: list[str] = []
    back: dict[str, int] = {}


class Unreadable(ValueError):
    """The file is there but can't be used; the text says why."""


def place(environment: Mapping[str, str]) -> Path:
    return Path(environment.get("TMPDIR") or "/tmp") / NAME


def encode(out: set[str], listed: set[str], back: dict[str, int]) -> bytes:
    return msgspec.json.encode(OpsState(FORMAT, VERSION, sorted(out), sorted(listed), dict(sorted(back.items()))))


def decode(data: bytes) -> OpsState:
    """Raises `Unreadable` for anything but a whole file of this format and version."""
    try:
        state = msgspec.json.decode(data, type=OpsState)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as bad:
        raise Unreadable(f"not a state file: {bad}") from None
    if state.format != FORMAT:
        raise Unreadable(f"format {state.format!r}, not {FORMAT!r}")
    if state.version != VERSION:
        raise Unreadable(f"version {state.version}, this program reads {VERSION}")
    return state


def read(path: Path) -> OpsState | None:
    """None where there is no file. Raises `Unreadable`."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as fault:
        raise Unreadable(f"{path}: {os.strerror(fault.errno or 0)}") from None
    return decode(data)


def mark(path: Path) -> tuple[int, int] | None:
    """What is another whenever the file was replaced; None where there is none."""
    try:
        told = path.stat()
    except OSError:
        return None
    return told.st_ino, told.st_mtime_ns


def write(path: Path, data: bytes) -> None:
    """Replace the file at once; raises OSError where it can't be written. It outlives the process, not the machine:
    forced to the disk it held the whole coordinator up for 50 to 75 ms at each change of the list."""
    part = path.with_name(f".{path.name}.{os.getpid()}")
    part.write_bytes(data)
    os.replace(part, path)


def kept_bans(path: Path, count: Callable[[str], None]) -> Bans:
    """The bans that the process before this one left, or none: a file that can't be used is logged, counted
    (`ops_state_bad`) and ignored."""
    try:
        kept = read(path)
    except Unreadable as bad:
        count("ops_state_bad")
        log.error("the state left by the process before is ignored: %s", bad)
        return Bans()
    if kept is None:
        return Bans()
    log.info("from the process before: %d engines out by hand", len(kept.out))
    return Bans(kept.out, kept.listed, kept.back)


def keep_bans(path: Path, bans: Bans, count: Callable[[str], None]) -> None:
    """Write the bans for the process after this one; a failure is logged and counted (`ops_state_unwritten`)."""
    try:
        write(path, encode(bans.out, bans.listed, bans.back))
    except OSError as fault:
        count("ops_state_unwritten")
        log.error("the bans can't be kept for the next process: %s", fault)
