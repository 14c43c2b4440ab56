"""The port through which the daemon runs its optional components: it knows no component by more than this."""

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
    """A component that is turned on can't start; the text names it and says why."""


class ComponentContext:
    """What the daemon hands each component."""

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
        """Put the context together.

        `is_serving`: whether clients are accepted and no SIGTERM came. `republish_endpoints`: hand the policy the
        endpoint list anew, as what a component makes visible of it has changed. `read_config`: the configuration as its
        file has it now.
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
        self.components: dict[str, Component] = {}  # those turned on, by name; complete from `begin` on


class Component:
    """One component of a process; each overrides what it needs.

    The daemon calls all in the order of its list, and stops them in the opposite one. A constructor or `begin` that
    can't go on raises `ComponentStartError`.
    """

    def __init__(self, context: ComponentContext) -> None:
        self.context = context

    def begin(self, listing: "EndpointSnapshot") -> "EndpointSnapshot":
        """The list that the core is to start with: `listing`, or a newer one that the component has."""
        return listing

    def open(self) -> None:
        """Open sockets: clients can connect from now on."""

    def reload(self, operator: "Operator") -> None:
        """Take the operator's file as it was read on SIGHUP.

        What can't be used is logged by its key and counted, and its former value stays in force.
        """

    def endpoints_changed(self, listing: "EndpointSnapshot") -> None:
        """Take a new endpoint list, which the policy has already."""

    def visible_endpoints(self, entries: Sequence["interface.EngineEntry"]) -> Sequence["interface.EngineEntry"]:
        """The endpoint list as the policy is to see it."""
        return entries

    def has_successor(self) -> bool:
        """Whether a process that replaces this one serves on its address."""
        return False

    def drain(self) -> None:
        """Notify others of the graceful shutdown after SIGTERM; open requests go on."""

    def stop(self) -> None:
        """Release files: the reactor has ended, and all requests are answered."""

    def metrics(self) -> Mapping[str, float]:
        """The component's metrics by name, for DUMP."""
        return {}

    def summary_lines(self) -> Sequence[str]:
        """Lines for the end of the log and for SIGUSR1."""
        return ()
