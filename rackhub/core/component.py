"""The port through which the daemon runs a part that an operator may turn on: it knows no part by more than this."""

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from rackhub import interface
    from rackhub.clock import UnixClock
    from rackhub.config import Config
    from rackhub.core.coordinator import Coordinator
    from rackhub.core.source import EndpointSnapshot, Source
    from rackhub.counters import Counters
    from rackhub.operatorfile import Operator


class ComponentStartError(Exception):
    """A part that is turned on can't start; the text names it and says why."""


class ComponentContext:
    """What the daemon hands each part. `serving`: clients are taken and no SIGTERM came. `relist`: what a part shows
    of the list has changed, the module is to be told. `reread`: the configuration as its file has it now.
    `parts`: those that are on, by name; all are there from `begin` on."""

    __slots__ = (
        "reactor",
        "clock",
        "config",
        "operator",
        "core",
        "source",
        "counters",
        "serving",
        "republish_endpoints",
        "read_config",
        "components",
    )

    def __init__(
        self,
        reactor: Any,
        clock: "UnixClock",
        config: "Config",
        operator: "Operator",
        core: "Coordinator",
        source: "Source",
        counters: "Counters",
        serving: Callable[[], bool],
        relist: Callable[[], None],
        reread: Callable[[], "Config"],
    ):
        self.reactor, self.clock, self.config, self.operator, self.core = reactor, clock, config, operator, core
        self.source, self.counters, self.serving, self.republish_endpoints, self.read_config = (
            source,
            counters,
            serving,
            relist,
            reread,
        )
        self.components: dict[str, Component] = {}


class Component:
    """One part of a process; each does what it needs of these. The daemon calls all in the order of its list, and ends
    them in the opposite one. A constructor or `begin` that can't go on raises `ComponentStartError`."""

    def __init__(self, host: ComponentContext):
        self.context = host

    def begin(self, listing: "EndpointSnapshot") -> "EndpointSnapshot":
        """The core is about to start with this list; the part may know a better one."""
        return listing

    def open(self) -> None:
        """Clients can connect: open sockets of its own."""

    def reload(self, operator: "Operator") -> None:
        """SIGHUP came and the operator's file could be read. What can't be used is logged by its key and counted, and
        what held before goes on holding."""

    def endpoints_changed(self, listing: "EndpointSnapshot") -> None:
        """A new list of engines; the module knows of it."""

    def visible_endpoints(self, entries: Sequence["interface.EngineEntry"]) -> Sequence["interface.EngineEntry"]:
        """The list as the module is to see it."""
        return entries

    def succeeded(self) -> bool:
        """Whether a process that replaces this one serves on its address."""
        return False

    def drain(self) -> None:
        """SIGTERM came: others should stop counting on this process; what is open goes on."""

    def stop(self) -> None:
        """The reactor has ended, all is answered: let go of files."""

    def metrics(self) -> Mapping[str, float]:
        """Where it stands, by name, for DUMP."""
        return {}

    def summary_lines(self) -> Sequence[str]:
        """Lines for the end of the log and for SIGUSR1."""
        return ()
