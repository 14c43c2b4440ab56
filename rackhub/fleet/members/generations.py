"""The boot number: grows with each start of a gateway's process, and ranks nothing else than those.

From the wall clock in milliseconds, and above the one kept in the state directory, if there is one: a clock that was
set back then changes nothing. Without the directory the fleet tells a process whose number is too low, and it rises.
"""

import os
import time
from pathlib import Path

FILE_NAME = "boot"


def next_generation(state: str) -> int:
    """The number for this start, kept. Raises `OSError` where it can't be."""
    generation = time.time_ns() // 1_000_000
    if state:
        try:
            generation = max(generation, int((Path(state) / FILE_NAME).read_text("ascii")) + 1)
        except (FileNotFoundError, ValueError):
            pass  # none yet, or damaged: the wall clock's word is as good as without a directory
        store_generation(state, generation)
    return generation


def store_generation(state: str, generation: int) -> None:
    """Synced, and whole or not there."""
    if not state:
        return
    folder = Path(state)
    folder.mkdir(parents=True, exist_ok=True)
    temporary = folder / f"{FILE_NAME}.new"
    with open(temporary, "w", encoding="ascii") as file:
        file.write(f"{generation}\n")
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, folder / FILE_NAME)
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
