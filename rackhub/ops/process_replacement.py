"""Slows the start of a process that is to replace a running one.

Both share the CPU quota that they are given. A start computes for long, mostly to import modules, and where the quota
runs out the serving process gets no CPU time either, so that its requests miss their deadlines. A start that finds its
predecessor running therefore sleeps at imports, in proportion to the CPU time spent. Nobody waits for it, as the
predecessor serves until it gets SIGTERM.
"""

import fcntl
import os
import sys
import time
from collections.abc import Mapping, Sequence

LOCK_NAME = "rackhub-ops.lock"  # in `$TMPDIR`, beside the handover file; rackhub/__main__.py looks for this name
MINIMUM_WORK_S = 0.002  # CPU seconds after which an import sleeps
SLEEP_RATIO = 5  # seconds of sleep for each CPU second
MAXIMUM_TOTAL_SLEEP_S = 2.0


def lock_path(environment: Mapping[str, str]) -> str:
    """The path of the lock file, by `TMPDIR` of the environment."""
    return os.path.join(environment.get("TMPDIR") or "/tmp", LOCK_NAME)


def predecessor_is_running(environment: Mapping[str, str]) -> bool:
    """Whether a process of this coordinator is running: it holds the lock until it ends."""
    try:
        descriptor = os.open(lock_path(environment), os.O_RDWR)
    except OSError:
        return False
    try:
        return _is_locked_elsewhere(descriptor)
    finally:
        os.close(descriptor)


def hold_lock(environment: Mapping[str, str]) -> int:
    """Take the shared lock. Returns its descriptor, to be left open until the process ends. Raises `OSError`."""
    descriptor = os.open(lock_path(environment), os.O_RDWR | os.O_CREAT, 0o600)
    fcntl.flock(descriptor, fcntl.LOCK_SH)  # shared: the predecessor holds it too
    return descriptor


def successor_is_running(descriptor: int) -> bool:
    """Whether another process holds the lock beside the owner of `descriptor`, which `hold_lock` returned.

    Only for a process about to end: it may have lost the lock after this.
    """
    return _is_locked_elsewhere(descriptor)


def _is_locked_elsewhere(descriptor: int) -> bool:
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return True
    return False


class ImportThrottle:
    """Sleeps at imports, in proportion to the CPU time spent since the last sleep.

    It is an import finder that finds nothing, so that imports go on as they would without it.
    """

    def __init__(self) -> None:
        self._cpu_time_s = time.process_time()
        self._remaining_sleep_s = MAXIMUM_TOTAL_SLEEP_S

    def find_spec(self, name: str, path: Sequence[str] | None = None, target: object = None) -> None:
        """Sleep where enough CPU time was spent; the import system calls it before each import."""
        work_s = time.process_time() - self._cpu_time_s
        if work_s < MINIMUM_WORK_S or self._remaining_sleep_s <= 0:
            return
        sleep_s = min(SLEEP_RATIO * work_s, self._remaining_sleep_s)
        self._remaining_sleep_s -= sleep_s
        time.sleep(sleep_s)
        self._cpu_time_s = time.process_time()


def throttle_imports() -> None:
    """Throttle all imports from here on."""
    sys.meta_path.insert(0, ImportThrottle())


def stop_throttling() -> None:
    """Let imports run at full speed again: the start is complete."""
    sys.meta_path[:] = [finder for finder in sys.meta_path if not isinstance(finder, ImportThrottle)]
