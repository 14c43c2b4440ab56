"""Hands out what was drawn ahead at its times: no answer slows what comes."""

from collections.abc import Callable, Iterator
from typing import Any

from rackhub.fleet.ports import Clock
from rackhub.trials.processes.arrivals import Arrival

SECOND = 1_000_000


class Feed:
    """`drawn_out`: nothing more comes."""

    def __init__(self, reactor: Any, clock: Clock, arrive: Callable[[Arrival], None]):
        self._reactor, self._clock, self._arrive = reactor, clock, arrive
        self._began, self._stopped, self.drawn_out = 0, False, False

    def run(self, arrivals: Iterator[Arrival]) -> None:
        """All of these at their times, from now on."""
        self._began = self._clock.now()
        self._next(arrivals, None)

    def stop(self) -> None:
        """What was not handed out yet is not handed out any more."""
        self._stopped = True

    def _next(self, arrivals: Iterator[Arrival], due: Arrival | None) -> None:
        while not self._stopped:
            if due is not None:
                self._arrive(due)
            due = next(arrivals, None)
            if due is None:
                break
            wait = self._began + due.at - self._clock.now()
            if wait > 0:
                self._reactor.callLater(wait / SECOND, self._next, arrivals, due)
                return
        self.drawn_out = True
