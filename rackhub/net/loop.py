"""The timer that the core uses, on Twisted's reactor."""

from collections.abc import Callable
from typing import Any


class ReactorWaker:
    """A single delayed call of the reactor, which is rescheduled when the earliest timer changes."""

    def __init__(self, reactor: Any):
        """`reactor` provides Twisted's `IReactorTime`."""
        self._reactor = reactor
        self._call: Any = None  # an IDelayedCall

    def wake_after(self, delay: int, call: Callable[[], None]) -> None:
        """Schedule `call` after `delay` microseconds, replacing the call scheduled before."""
        if self._call is not None and self._call.active():
            self._call.cancel()
        self._call = self._reactor.callLater(delay / 1_000_000, call)
