"""The port through which settings and endpoint lists reach the core."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from rackhub import interface

Address = tuple[str, int]


class EndpointSnapshot(NamedTuple):
    """The endpoint list as of one revision."""

    revision: int
    entries: tuple[interface.EngineEntry, ...]
    addresses: dict[str, Address]


class EndpointPollObserver(Protocol):
    """Notified of polls of the endpoint list. Times are microseconds."""

    def endpoint_poll_started(self) -> int:
        """Note that a poll was sent; the time of that, which `endpoint_poll_confirmed` gets."""

    def endpoint_poll_confirmed(self, started_at: int) -> None:
        """Note a good answer to the poll that started at `started_at`."""


class Source(Protocol):
    """Where the settings and the endpoint list come from."""

    settings: interface.Settings
    initial_snapshot: EndpointSnapshot

    def subscribe(
        self, on_change: Callable[[EndpointSnapshot], None], observer: EndpointPollObserver | None = None
    ) -> None:
        """Call back with each new endpoint list from now on, and notify `observer` of polls and good answers."""

    def reload(self) -> None:
        """Read the configuration again.

        What can't be used is logged by its key, and its former value stays in force.
        """
