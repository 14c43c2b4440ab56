"""The process's clock: Unix time in whole microseconds that only advances."""

import time


class UnixClock:
    """The wall clock, read once and carried on by the monotonic one.

    The decisions need a clock that never goes back, while all deadlines are in Unix time: a correction of the wall
    clock after the start must not make a thousand deadlines expire at once.
    """

    def __init__(self) -> None:
        self._base = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Unix time in microseconds, carried on from the start by the monotonic clock."""
        return (self._base + time.monotonic_ns()) // 1_000
