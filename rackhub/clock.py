"""The process's clock: monotonic Unix time in whole microseconds."""

import time


class UnixClock:
    """The wall clock at the start, advanced by the monotonic clock.

    Decisions need a monotonic clock, but deadlines are in Unix time. A correction of the wall clock after the start
    must not make a thousand deadlines expire at once.
    """

    def __init__(self) -> None:
        self._base = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Return the Unix time in microseconds."""
        return (self._base + time.monotonic_ns()) // 1_000
