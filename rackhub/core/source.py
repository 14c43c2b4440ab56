"""Port through which the core gets settings and endpoint lists."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from rackhub import interface

Address = tuple[str, int]


class EndpointSnapshot(NamedTuple):
    """Endpoint list as of one revision."""

    revision: int
    entries: tuple[interface.EngineEntry, ...]
    addresses: dict[str, Address]


class EndpointPollObserver(Protocol):
    """Notified of polls of the endpoint list. Times are microseconds."""

    def endpoint_poll_started(self) -> int:
        """Record that a poll was sent; return the time, which is passed to `endpoint_poll_confirmed`."""

    def endpoint_poll_confirmed(self, started_at: int) -> None:
        """Record a valid answer to the poll that started at `started_at`."""


class Source(Protocol):
    """Source of the settings and the endpoint list."""

    settings: interface.Settings
    initial_snapshot: EndpointSnapshot

    def subscribe(
        self, on_change: Callable[[EndpointSnapshot], None], observer: EndpointPollObserver | None = None
    ) -> None:
        """Call `on_change` with each new endpoint list; notify `observer` of polls and valid answers."""

    def reload(self) -> None:
        """Read the configuration again.

        An invalid value is logged with its key; the previous value stays active.
        """
