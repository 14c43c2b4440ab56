"""How late the timers of a process are: whether it keeps up with what it is given."""

import time
from typing import Any

PERIOD = 0.05  # seconds


class Lateness:
    """Looks every `PERIOD`; `take` gives the lateness of each look since it was last asked, in seconds."""

    def __init__(self, reactor: Any):
        self._reactor = reactor
        self._samples: list[float] = []
        self._look()

    def take(self) -> tuple[float, ...]:
        samples, self._samples = self._samples, []
        return tuple(round(sample, 4) for sample in samples)

    def _look(self) -> None:
        self._due = time.monotonic() + PERIOD
        self._reactor.callLater(PERIOD, self._came)

    def _came(self) -> None:
        self._samples.append(max(0.0, time.monotonic() - self._due))
        self._look()
