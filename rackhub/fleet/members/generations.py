"""The generation number of a gateway's process, which grows with each start.

It is taken from the wall clock in milliseconds and is always above the number stored in the state directory, if there
is one, so a clock that was set back does no harm. Without a state directory, other members report a number that is too
low, and the process raises it.
"""

import os
import time
from pathlib import Path

FILE_NAME = "boot"


def next_generation(state: str) -> int:
    """Return the generation for this start and store it. Raises `OSError` if it can't be stored."""
    generation = time.time_ns() // 1_000_000
    if state:
        try:
            generation = max(generation, int((Path(state) / FILE_NAME).read_text("ascii")) + 1)
        except (FileNotFoundError, ValueError):
            pass  # missing or damaged: rely on the wall clock, as without a state directory
        store_generation(state, generation)
    return generation


def store_generation(state: str, generation: int) -> None:
    """Write the number atomically and sync it. Does nothing without a state directory. Raises `OSError`."""
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
