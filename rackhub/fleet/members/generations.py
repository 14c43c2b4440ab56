"""The generation number of a gateway's process, which grows with each start.

It is taken from the wall clock in milliseconds and is always above the number stored in the state directory, if there
is one, so a clock that was set back does no harm. Without a state directory, other members report a number that is too
low, and the process raises it.
"""

import contextlib
import os
import time
from collections.abc import Iterator
from pathlib import Path

from rackhub.file_lock import DEFAULT_WAIT_S, exclusive_lock

FILE_NAME = "boot"
LOCK_NAME = "boot.lock"
START_WAIT_S = 2.0  # time that a starting process waits for another one
MILLISECOND_NS = 1_000_000


def next_generation(state: str) -> int:
    """Return the generation for this start and store it. Raises `OSError` if it can't be stored."""
    generation = time.time_ns() // MILLISECOND_NS
    if not state:
        return generation
    with _locked(Path(state), START_WAIT_S) as file:
        generation = max(generation, _stored(file) + 1)
        _replace(file, generation)
    return generation


def store_generation(state: str, generation: int) -> None:
    """Store the number, unless another process has stored a higher one. Raises `OSError`.

    Does nothing without a state directory. While a process replaces another, both store their numbers.
    """
    if state:
        with _locked(Path(state), DEFAULT_WAIT_S) as file:
            if generation > _stored(file):
                _replace(file, generation)


@contextlib.contextmanager
def _locked(folder: Path, wait_s: float) -> Iterator[Path]:
    """Hold the lock of the file with the number, whose path is returned."""
    folder.mkdir(parents=True, exist_ok=True)
    with exclusive_lock(str(folder / LOCK_NAME), wait_s):
        yield folder / FILE_NAME


def _stored(file: Path) -> int:
    """Return the stored number; 0 if there is none or it is damaged, so that the wall clock has to do."""
    try:
        return int(file.read_text("ascii"))
    except (FileNotFoundError, ValueError):
        return 0


def _replace(file: Path, generation: int) -> None:
    """Write the number atomically and sync it."""
    temporary = file.with_name(f"{FILE_NAME}.new")
    with open(temporary, "w", encoding="ascii") as written:
        written.write(f"{generation}\n")
        written.flush()
        os.fsync(written.fileno())
    os.replace(temporary, file)
    descriptor = os.open(file.parent, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
