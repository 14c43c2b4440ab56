"""State that the coordinator's objects share: settings, open requests and ports."""

import enum
from collections.abc import Callable
from typing import TYPE_CHECKING

from rackhub import interface
from rackhub.core.lease import EndpointLease
from rackhub.core.request import Attempt, EnginePort, Query
from rackhub.core.timers import Clock, Timers
from rackhub.counters import Counters
from rackhub.limits import SECOND, Limits

if TYPE_CHECKING:  # ports of optional components, whose modules are not imported at run time
    from rackhub.core.executed_ids import ExecutedIds
    from rackhub.core.fleet import FleetCoordinator
    from rackhub.core.gather import GatherPort
    from rackhub.core.request_journal import RequestJournal
    from rackhub.core.request_policy import RequestPolicy


class ClassCounter(enum.IntEnum):
    """Index of a count in the lists of `CoordinatorState.counts_by_class`."""

    SERVED = 0
    REJECTED = 1
    FAILED = 2
    ATTEMPTS = 3


class CoordinatorState:
    """State of one process's coordinator. Times are microseconds of `clock`, sizes are bytes.

    A port of a disabled component is None.
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

        self.queries: dict[str, Query] = {}  # request id -> open request
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # (request id, number) -> attempt that is not completed
        self.statement_bytes = 0  # total size of the statements of all open requests
        self.engine_kinds: dict[str, str] = {}  # engine -> kind, by the endpoint list
        self.accepting = True  # False after SIGTERM: every new request is rejected
        self.loop_delay = 0  # recent maximum of the event loop's delay; decays over time
        self.loop_overloaded = False  # the event loop is so late that new requests are rejected
        self.counts_by_class: dict[str, list[int]] = {name: [0] * len(ClassCounter) for name in self.classes}
        self.on_idle: Callable[[], None] | None = None  # called after the last open request was answered

        self.engines: EnginePort | None = None
        self.lease: EndpointLease | None = None  # lease on the endpoint list; None: the list is always confirmed
        self.executed_ids: ExecutedIds | None = None  # ids that other processes of this coordinator may have executed
        self.request_journal: RequestJournal | None = None  # record of requests with an idempotency key
        self.request_policy: RequestPolicy | None = None  # the operator's terms
        self.gather_port: GatherPort | None = None  # answers requests from several sites
        self.fleet_coordinator: FleetCoordinator | None = None  # the gateways' common view of the fleet

    @property
    def engine_port(self) -> EnginePort:
        """The engine port, which `Coordinator.start` sets.

        Raises:
            RuntimeError: the coordinator is not started.
        """
        if self.engines is None:
            raise RuntimeError("the coordinator is not started")
        return self.engines

    def count_by_class(self, cls: str, counter: ClassCounter) -> None:
        """Add one to a count of a class; classes that the settings don't define are counted too."""
        counts = self.counts_by_class.get(cls)
        if counts is None:
            counts = self.counts_by_class[cls] = [0] * len(ClassCounter)
        counts[counter] += 1

    def kind_of(self, engine: str) -> str:
        """Return the kind of an engine, or an empty string if the engine is not in the endpoint list."""
        return self.engine_kinds.get(engine, "")

    def overload_backoff(self) -> int:
        """Return the Retry-After in microseconds of a request that this process sheds."""
        return min(SECOND, self.settings.max_retry_after or SECOND)
