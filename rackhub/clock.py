"""The program's clock: Unix time in whole microseconds that only advances."""

import time


class UnixClock:
    """The wall clock, read once and carried on by the monotonic one.

    The module needs a clock that never goes back, and all deadlines are by the system's Unix clock;
    a correction of the wall clock after the start must not make a thousand deadlines due at once.
    """

    def __init__(self) -> None:
        self._base = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (self._base + time.monotonic_ns()) // 1_000
