"""The rig's clock, and turning its reactor until something has come about, or until somebody wants it to stop."""

import signal
import time
from collections.abc import Callable
from typing import Any


class Monotonic:
    def now(self) -> int:
        """Microseconds."""
        return time.monotonic_ns() // 1_000


_stops: list[int] = []


def stop_on_signals() -> None:
    """From now on SIGINT and SIGTERM end what waits here with `KeyboardInterrupt`. Raised from the signal itself it
    could come inside a callback, where the reactor would take it for a fault of that callback and go on."""
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda number, _: _stops.append(number))


def turn(reactor: Any) -> None:
    if _stops:
        raise KeyboardInterrupt
    reactor.iterate(0.01)


class NotSoon(AssertionError):
    """What was waited for did not come about within its bound."""


def until(reactor: Any, condition: Callable[[], bool], seconds: float, what: str) -> None:
    """Turn the reactor until the condition holds; `NotSoon` names what did not come about."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise NotSoon(f"not within {seconds:g} s: {what}")
        turn(reactor)


def pass_time(reactor: Any, seconds: float) -> None:
    """Let the reactor run for so long."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        turn(reactor)
