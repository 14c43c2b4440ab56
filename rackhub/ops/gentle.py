"""A start beside the process that is to be replaced.

Both share the cores that they are given. A start computes some 130 ms, mostly to import modules, and where the share
is kept by quota the serving process stood still for 150 to 170 ms meanwhile: requests with less than that left were
answered too late. So a start that finds its predecessor alive spreads its work: after each piece it sleeps for several
times as long as the piece took. Nobody waits for it, as the predecessor serves until it is told to end.
"""

import fcntl
import os
import sys
import time
from collections.abc import Mapping, Sequence

LOCK = "rackhub-ops.lock"  # beside the bans' file, in `$TMPDIR`; rackhub/__main__.py looks for it by this name
PIECE, TIMES, MOST = 0.002, 5, 2.0  # seconds of computing; how many times that it sleeps; all sleep, in seconds


def place(environment: Mapping[str, str]) -> str:
    return os.path.join(environment.get("TMPDIR") or "/tmp", LOCK)


def alive(environment: Mapping[str, str]) -> bool:
    """Whether a process of this coordinator serves already: it holds the lock as long as it lives."""
    try:
        descriptor = os.open(place(environment), os.O_RDWR)
    except OSError:
        return False
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        return False
    except OSError:
        return True
    finally:
        os.close(descriptor)


def hold(environment: Mapping[str, str]) -> int:
    """Tell later starts that this process lives; the descriptor, which stays open until it ends. Raises OSError."""
    descriptor = os.open(place(environment), os.O_RDWR | os.O_CREAT, 0o600)
    fcntl.flock(descriptor, fcntl.LOCK_SH)  # its predecessor holds it too
    return descriptor


def succeeded(descriptor: int) -> bool:
    """Whether another process holds the lock beside the one that `hold` gave `descriptor` to, which is about to end:
    the lock may be gone after this."""
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return True
    return False


class Pace:
    """Sleeps at imports, in proportion to the CPU time spent since the last one. A finder that finds nothing: the
    import goes on as it would without it."""

    def __init__(self) -> None:
        self._spent, self._left = time.process_time(), MOST

    def find_spec(self, name: str, path: Sequence[str] | None = None, target: object = None) -> None:
        piece = time.process_time() - self._spent
        if piece >= PIECE and self._left > 0:
            sleep = min(TIMES * piece, self._left)
            self._left -= sleep
            time.sleep(sleep)
            self._spent = time.process_time()


def spread() -> None:
    """From here on imports are paced."""
    sys.meta_path.insert(0, Pace())


def done() -> None:
    """The start is over."""
    sys.meta_path[:] = [finder for finder in sys.meta_path if not isinstance(finder, Pace)]
