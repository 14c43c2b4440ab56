"""An exclusive lock between processes, for reading and writing a file as one step."""

import contextlib
import fcntl
import os
import time
from collections.abc import Iterator

DEFAULT_WAIT_S = 0.04  # the holder writes one small file
RETRY_S = 0.002


@contextlib.contextmanager
def exclusive_lock(path: str, wait_s: float = DEFAULT_WAIT_S) -> Iterator[None]:
    """Hold the lock file at `path`, which is created; the lock also ends with the process.

    Blocks for up to `wait_s` seconds. Raises `OSError`, as `BlockingIOError` if another process keeps the lock longer.
    """
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        _lock(descriptor, wait_s)
        yield
    finally:
        os.close(descriptor)


def _lock(descriptor: int, wait_s: float) -> None:
    end = time.monotonic() + wait_s
    while time.monotonic() < end:
        with contextlib.suppress(BlockingIOError):
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return
        time.sleep(RETRY_S)
    fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
