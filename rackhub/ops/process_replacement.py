"""The lock by which a process and its successor detect each other, and the throttled start of the successor.

Both processes share one CPU quota. A starting process uses much CPU time, mostly to import modules. When it exhausts
the quota the serving process gets no CPU time either, and its requests miss their deadlines. A process that finds its
predecessor running therefore sleeps at imports, in proportion to the CPU time spent. The delay does no harm, as the
predecessor serves until it gets SIGTERM.
"""

import fcntl
import os
import sys
import time
from collections.abc import Mapping, Sequence

LOCK_NAME = "rackhub-ops.lock"  # a file in `$TMPDIR`; rackhub/__main__.py contains the same name
MIN_CPU_TIME_S = 0.002  # imports sleep only after this much CPU time since the last sleep
SLEEP_RATIO = 5  # seconds of sleep per second of CPU time
MAX_TOTAL_SLEEP_S = 2.0


def lock_path(environment: Mapping[str, str]) -> str:
    """Return the path of the lock file, in the directory that `TMPDIR` of the environment names."""
    return os.path.join(environment.get("TMPDIR") or "/tmp", LOCK_NAME)


def predecessor_is_running(environment: Mapping[str, str]) -> bool:
    """Whether another process of this coordinator is running, which holds the lock until it ends."""
    try:
        descriptor = os.open(lock_path(environment), os.O_RDWR)
    except OSError:
        return False
    try:
        return _is_locked_by_others(descriptor)
    finally:
        os.close(descriptor)


def hold_lock(environment: Mapping[str, str]) -> int:
    """Take the shared lock. Returns its descriptor, which must stay open until the process ends. Raises `OSError`."""
    descriptor = os.open(lock_path(environment), os.O_RDWR | os.O_CREAT, 0o600)
    fcntl.flock(descriptor, fcntl.LOCK_SH)  # shared, as the predecessor holds the lock too
    return descriptor


def successor_is_running(descriptor: int) -> bool:
    """Whether another process holds the lock besides the owner of `descriptor`, which `hold_lock` returned.

    To be called only by a process that is about to end, as it may lose its own lock by this check.
    """
    return _is_locked_by_others(descriptor)


def _is_locked_by_others(descriptor: int) -> bool:
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return True
    return False


class ImportThrottle:
    """Sleeps at imports, in proportion to the CPU time spent since the last sleep.

    It is an import finder that finds no module, so that imports continue with the other finders.
    """

    def __init__(self) -> None:
        self._last_cpu_time_s = time.process_time()
        self._remaining_sleep_s = MAX_TOTAL_SLEEP_S

    def find_spec(self, name: str, path: Sequence[str] | None = None, target: object = None) -> None:
        """Sleep if enough CPU time was spent. Called by the import system before each import."""
        cpu_time_s = time.process_time() - self._last_cpu_time_s
        if cpu_time_s < MIN_CPU_TIME_S or self._remaining_sleep_s <= 0:
            return
        sleep_s = min(SLEEP_RATIO * cpu_time_s, self._remaining_sleep_s)
        self._remaining_sleep_s -= sleep_s
        time.sleep(sleep_s)
        self._last_cpu_time_s = time.process_time()


def throttle_imports() -> None:
    """Throttle all imports from now on."""
    sys.meta_path.insert(0, ImportThrottle())


def stop_throttling() -> None:
    """Stop throttling imports, once the start is complete."""
    sys.meta_path[:] = [finder for finder in sys.meta_path if not isinstance(finder, ImportThrottle)]
