"""The interface between the daemon and its optional components."""

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
    """An enabled component can't start; the text names the component and the reason."""


class ComponentContext:
    """The objects and callbacks that the daemon passes to each component."""

    __slots__ = (
        "reactor",
        "clock",
        "config",
        "operator",
        "core",
        "source",
        "counters",
        "is_serving",
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
        is_serving: Callable[[], bool],
        republish_endpoints: Callable[[], None],
        read_config: Callable[[], "Config"],
    ) -> None:
        """Create the context.

        Args:
            reactor: Twisted's reactor.
            clock: the process's clock.
            config: the configuration at the start.
            operator: the operator's file as last read.
            core: the coordinator.
            source: the source of settings and endpoint lists.
            counters: the process's counters.
            is_serving: returns whether clients are accepted and no SIGTERM was received.
            republish_endpoints: publishes the endpoint list again after a component's `visible_endpoints` has changed.
            read_config: reads the configuration file again.
        """
        self.reactor = reactor
        self.clock = clock
        self.config = config
        self.operator = operator
        self.core = core
        self.source = source
        self.counters = counters
        self.is_serving = is_serving
        self.republish_endpoints = republish_endpoints
        self.read_config = read_config
        self.components: dict[str, Component] = {}  # enabled components by name; complete once `begin` is called


class Component:
    """Base class of the optional components; a component overrides the methods that it needs.

    The daemon calls the components in the order of its list and stops them in reverse order. A constructor or `begin`
    raises `ComponentStartError` if the component can't start.
    """

    def __init__(self, context: ComponentContext) -> None:
        self.context = context

    def begin(self, snapshot: "EndpointSnapshot") -> "EndpointSnapshot":
        """Return the endpoint list for the core's start: `snapshot`, or a newer one that the component has stored."""
        return snapshot

    def open(self) -> None:
        """Open the component's sockets; called when the listeners for clients are open."""

    def reload(self, operator: "Operator") -> None:
        """Apply the operator's file, which was read again on SIGHUP.

        An invalid value is logged with its key and counted; the previous value stays active.
        """

    def endpoints_changed(self, snapshot: "EndpointSnapshot") -> None:
        """Handle a new endpoint list, which the routing policy has received already."""

    def visible_endpoints(self, entries: Sequence["interface.EngineEntry"]) -> Sequence["interface.EngineEntry"]:
        """Return the endpoint list for the routing policy, with the component's changes."""
        return entries

    def has_successor(self) -> bool:
        """Return whether a process that replaces this one serves on the same address."""
        return False

    def drain(self) -> None:
        """Notify other processes of the graceful shutdown after SIGTERM; open requests continue."""

    def stop(self) -> None:
        """Release files; called after the reactor has stopped and all requests are answered."""

    def metrics(self) -> Mapping[str, float]:
        """Return the component's metrics by name, for the DUMP command."""
        return {}

    def summary_lines(self) -> Sequence[str]:
        """Return the lines that the process prints at exit and on SIGUSR1."""
        return ()
