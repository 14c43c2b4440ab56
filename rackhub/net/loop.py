"""What the core is handed of Twisted's reactor."""

from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall, IReactorTime


class ReactorWaker:
    """One delayed call of the reactor, moved as the earliest timer moves."""

    def __init__(self, reactor: IReactorTime):
        self._reactor = reactor
        self._call: IDelayedCall | None = None

    def wake_after(self, delay: int, call: Callable[[], None]) -> None:
        if self._call is not None and self._call.active():
            self._call.cancel()
        self._call = self._reactor.callLater(delay / 1_000_000, call)
