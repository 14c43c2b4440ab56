"""The port through which settings and lists of engines reach the core, whoever keeps them."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from rackhub import interface

Address = tuple[str, int]


class EndpointSnapshot(NamedTuple):
    """The list of engines at one event of its numbering."""

    revision: int
    entries: tuple[interface.EngineEntry, ...]
    addresses: dict[str, Address]


class EndpointPollObserver(Protocol):
    """Who is told of questions and good answers. `asked` gives the time of the question, which `confirmed` gets."""

    def endpoint_poll_started(self) -> int: ...
    def endpoint_poll_confirmed(self, asked_at: int) -> None: ...


class Source(Protocol):
    """On the platform its file and its resolver; a store of the program's own would stand here too."""

    settings: interface.Settings
    start: EndpointSnapshot

    def follow(self, told: Callable[[EndpointSnapshot], None], lease: EndpointPollObserver | None = None) -> None:
        """Call back with each list that is new from now on; `lease` hears of questions and good answers."""

    def reload(self) -> None:
        """Take up what was changed where the configuration is kept. What can't be used is logged by its key, and
        what held before goes on holding."""
