"""What the coordinator's parts share: the settings, the open requests, and the ports that they act through."""

import enum
from collections.abc import Callable
from typing import TYPE_CHECKING

from rackhub import interface
from rackhub.core.lease import EndpointLease
from rackhub.core.request import Attempt, EnginePort, Query
from rackhub.core.timers import Clock, Timers
from rackhub.counters import Counters
from rackhub.limits import SECOND, Limits

if TYPE_CHECKING:  # ports of optional components: nothing of them is loaded here
    from rackhub.core.fleet import FleetCoordinator
    from rackhub.core.gather import GatherPort
    from rackhub.core.request_journal import RequestJournal
    from rackhub.core.request_policy import RequestPolicy


class ClassCounter(enum.IntEnum):
    """The index of a count in the list that `CoordinatorState.counts_by_class` has for each class."""

    SERVED = 0
    REJECTED = 1
    FAILED = 2
    ATTEMPTS = 3


class CoordinatorState:
    """The state of one process's coordinator. Times are microseconds of `clock`, sizes are bytes.

    A port that is None belongs to a component that is turned off.
    """

    def __init__(
        self, settings: interface.Settings, clock: Clock, timers: Timers, limits: Limits, counters: Counters
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.timers = timers
        self.limits = limits
        self.counters = counters
        self.classes = {each.name: each for each in settings.classes}
        self.tenants = {each.name for each in settings.tenants} or {""}

        self.queries: dict[str, Query] = {}  # open requests by id
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # by request id and number, also of a closed request
        self.statement_bytes = 0  # statements of all open requests
        self.engine_kinds: dict[str, str] = {}  # by engine, as the endpoint list has them
        self.accepting = True  # False from SIGTERM on: every new request is rejected
        self.loop_delay = 0  # the worst delay of the event loop lately; it decays
        self.loop_overloaded = False  # the loop is so late that new requests are rejected unread
        self.counts_by_class: dict[str, list[int]] = {name: [0] * len(ClassCounter) for name in self.classes}
        self.on_idle: Callable[[], None] | None = None  # called when the last open request is answered

        self.engines: EnginePort | None = None
        self.lease: EndpointLease | None = None  # on the endpoint list; None: the list is always in force
        self.request_journal: RequestJournal | None = None  # of requests with an idempotency key
        self.request_policy: RequestPolicy | None = None  # the operator's terms, by route
        self.gather_port: GatherPort | None = None  # takes requests that go to several sites
        self.fleet_coordinator: FleetCoordinator | None = None  # what the fleet's gateways agree on

    @property
    def engine_port(self) -> EnginePort:
        """The way to the engines, which `Coordinator.start` has set.

        Raises:
            RuntimeError: the coordinator is not started.
        """
        if self.engines is None:
            raise RuntimeError("the coordinator is not started")
        return self.engines

    def count_by_class(self, cls: str, counter: ClassCounter) -> None:
        """Add one to a count of a class, which may be one that the settings don't have."""
        counts = self.counts_by_class.get(cls)
        if counts is None:
            counts = self.counts_by_class[cls] = [0] * len(ClassCounter)
        counts[counter] += 1

    def kind_of(self, engine: str) -> str:
        """The kind of an engine; empty if the endpoint list doesn't have the engine."""
        return self.engine_kinds.get(engine, "")

    def overload_backoff(self) -> int:
        """The Retry-After of a request that is rejected as this process is overloaded."""
        return min(SECOND, self.settings.max_retry_after or SECOND)
