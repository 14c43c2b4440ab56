"""The events and actions that a query gateway exchanges with `rackhub.policy`, and the gateway's settings.

All times are whole microseconds of one monotonic clock.
"""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum


class Outcome(StrEnum):
    """How an attempt or a health check ended. The values are those of the wire."""

    SUCCESS = "GOOD"
    ERROR = "BAD"
    OVERLOADED = "FULL"  # rejected by the engine, not executed
    CONNECT_FAILED = "NOCONN"  # no connection, not executed
    NOT_EXECUTED = "NOP"
    TIMED_OUT = "LATE"  # may still be executing
    RESET = "RST"  # may still be executing
    CANCELLED = "CXL"  # may still be executing
    LOST = "LOST"  # used by the decisions alone: the response is presumed lost


class Idempotency(StrEnum):
    """How the queries of a class tolerate being executed more than once."""

    IDEMPOTENT = "retryable"
    IDEMPOTENCY_KEY = "dedup"
    NOT_IDEMPOTENT = "fragile"


class ProgressTopic(IntEnum):
    """Subject of a `ProgressReport`; its value is a fraction, MB or a `WaitReason`, in this order."""

    FRACTION_DONE = 1
    MEMORY_SPILLED = 2
    WAITING = 3


class WaitReason(IntEnum):
    """The resource that an attempt is waiting for."""

    MEMORY = 1
    TABLE_LOCK = 2


class Admission(IntEnum):
    """Decision of the fleet on a query."""

    SHED = -1  # below the shedding threshold or beyond this gateway's limit: rejected
    UNDECIDED = 0  # no shedding in the fleet: this gateway's quota and rate windows decide
    ADMITTED = 1  # above the shedding threshold: only the rate windows apply


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """Settings of one class of query.

    `idempotency` is a value of `Idempotency`. An idempotency key is known within `idempotency_scope` (`cell`, `zone` or
    `all`) for `idempotency_window`. `latency_objective` is the latency that clients want, `deadline` the maximum; both
    are durations. `threads` is the number of engine threads that a query uses. With `serial_by_key`, queries with the
    same key are executed one after the other. Queries that are `blocked_by_table_locks` wait on an engine while a query
    of a class that `locks_tables` uses the same tables there.
    """

    name: str
    deadline: int = 0
    latency_objective: int = 0
    latency_objective_multiplier: float = 0.0
    priority_weight: float = 1.0
    idempotency: str = "fragile"
    idempotency_scope: str = "cell"
    idempotency_window: int = 0
    serial_by_key: bool = False
    allowed_zones: tuple[str, ...] = ()
    allowed_engine_kinds: tuple[str, ...] = ()
    threads: int = 1
    locks_tables: bool = False
    blocked_by_table_locks: bool = False


@dataclass(slots=True, frozen=True)
class TenantSettings:
    """Settings of one tenant. 0 means not configured; admission then counts the quota fraction as 1."""

    name: str
    quota_fraction: float = 0.0
    rate_limit_per_s: float = 0.0


# (attribute, name in error messages, minimum value)
_MINIMUM_VALUES = (
    ("gateways", "gateways", 1),
    ("max_attempts", "max_attempts", 1),
    ("clock_period", "period", 1),
    ("slow_start_budget_window", "fall", 0),
    ("instance_index", "me", 0),
    ("slow_start_duration", "ramp_time", 0),
    ("serial_key_delay", "turn_gap", 0),
    ("drain_grace", "drain_grace", 0),
    ("retry_budget_window", "counted_over", 0),
    ("slow_start_initial_capacity", "cold_from", 0),
    ("slow_start_budget_multiple", "fall_multiple", 0),
    ("max_retry_after", "max_retry_after", 0),
    ("progress_report_interval", "note_period", 0),
)


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one gateway, an instance of the coordinator. A setting that is not configured keeps its default.

    `clock_period` is the maximum time between two calls of the decisions, and the unit of their margins for time.
    `kind_cores` and `kind_memory` (MB) describe the engines of each kind. `serial_key_delay` is the wait before the
    next query of a key if an attempt may still be executing. `drain_grace` is the time after its notification in which
    a draining engine may still receive queries. `discovery` is `ask` where endpoint lists are sent on request only.
    `load_report_source` is `silent` where engines do not report their load.
    """

    classes: tuple[ClassSettings, ...] = ()
    tenants: tuple[TenantSettings, ...] = ()
    gateways: int = 1
    instance_index: int = 0
    zone: str = ""
    discovery: str = "push"
    clock_period: int = 1_000
    kind_cores: dict[str, float] = field(default_factory=dict)
    kind_memory: dict[str, float] = field(default_factory=dict)
    grants: bool = False
    priorities: bool = False
    progress_report_interval: int = 0
    cancel: bool = False
    max_attempts: int = 1
    max_retry_after: int = 0
    hedging: bool = False
    gossip: bool = False
    health_checks: bool = False
    load_report_source: str = "silent"
    retry_budget_minimum: float | None = None
    retry_budget_ratio: float | None = None
    retry_budget_window: int = 0
    slow_start_initial_capacity: float = 1.0
    slow_start_duration: int = 0
    slow_start_budget_multiple: float = 1.0
    slow_start_budget_window: int = 0
    serial_key_delay: int = 0
    drain_grace: int = 0

    def __post_init__(self) -> None:
        """Check the values. Raises `ValueError`, which names the setting, its value and the values allowed."""
        for attribute, configured_name, minimum in _MINIMUM_VALUES:
            value = getattr(self, attribute)
            if not value >= minimum:
                raise ValueError(f"setting {configured_name} is {value!r}: must be at least {minimum}")
        for kind, cores in self.kind_cores.items():
            if not cores > 0:
                raise ValueError(f"setting kind_cores of {kind} is {cores!r}: must be above 0")
        self._check_classes()
        for tenant in self.tenants:
            if tenant.quota_fraction < 0 or tenant.rate_limit_per_s < 0:
                raise ValueError(
                    f"settings fraction and allowance_per_s of tenant {tenant.name} are"
                    f" {tenant.quota_fraction!r} and {tenant.rate_limit_per_s!r}: both must be at least 0"
                )

    def _check_classes(self) -> None:
        for cls in self.classes:
            if cls.idempotency not in list(Idempotency):
                raise ValueError(
                    f"setting effect of class {cls.name} is {cls.idempotency!r}:"
                    f" must be one of {', '.join(Idempotency)}"
                )
            if cls.threads < 1:
                raise ValueError(f"setting threads of class {cls.name} is {cls.threads!r}: must be at least 1")


# ---- events -----------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Started:
    """The gateway has just started."""


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """One engine of the endpoint list.

    `state` is Ready, Terminating (draining) or Gone. `size` is the relative capacity, which the decisions do not use. A
    `started_at` of 0 means that the engine started long ago.
    """

    engine: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "Ready"
    size: float = 1.0
    started_at: int = 0


@dataclass(slots=True, frozen=True)
class EndpointList:
    """The endpoint list or changes to it.

    `scope` is Partial, Complete, Persisted (from an earlier run) or Error (the list could not be read).
    """

    scope: str
    entries: tuple[EngineEntry, ...] = ()
    revision: int = 0


@dataclass(slots=True, frozen=True)
class QueryReceived:
    """A query to which this gateway owes one final answer by `deadline`.

    `estimate` is the estimated work in thread-microseconds; 0 means none. `key` is used by classes that are serial by
    key. `tables` is the group of tables that it uses. A `max_attempts` of 0 means the maximum in the settings.
    `retry_window` is the time after the first attempt in which a query with an idempotency key may be retried; 0 means
    by its class. `admission` is a value of `Admission`. The query may only be executed in `zones`, unless empty.
    """

    query: str
    cls: str
    deadline: int
    tenant: str = ""
    is_retry: bool = False
    estimate: int = 0
    key: int | None = None
    write: bool = False
    memory_mb: float = 0.0
    tables: int | None = None
    max_attempts: int = 0
    retry_window: int = 0
    admission: int = Admission.UNDECIDED
    zones: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class ResultStreamStarted:
    """The result of an attempt has started to reach the client, so that the query can no longer be retried."""

    query: str
    attempt: int
    engine: str = ""
    elapsed: int = 0


@dataclass(slots=True, frozen=True)
class ProgressReport:
    """Progress of an attempt in flight. `topic` is a `ProgressTopic`, which defines the meaning of `value`."""

    query: str
    attempt: int
    topic: int
    value: float
    engine: str = ""


@dataclass(slots=True, frozen=True)
class AttemptCompleted:
    """The one outcome of an attempt, a value of `Outcome`.

    `settled` means that the query has been answered. `elapsed` is the time since the attempt was sent. `report` is the
    load report of the engine. `cost` is 0 if none is reported; its low 12 bits are the memory in units of 4 MB, the
    bits above them the work in thread-milliseconds. If the operator's rules allow a retry (`may_retry`), it is sent
    after `retry_delay`; otherwise the client should wait for `backoff`, or as long as the decisions choose if that is
    0.
    """

    query: str
    attempt: int
    outcome: str
    settled: bool = False
    engine: str = ""
    elapsed: int = 0
    cost: int = 0
    report: dict[str, float] = field(default_factory=dict)
    may_retry: bool = True
    retry_delay: int = 0
    backoff: int = 0


@dataclass(slots=True, frozen=True)
class HedgeDue:
    """The operator's terms allow a hedge of the query now, in addition to the attempt in flight."""

    query: str


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected, so that no answer is needed any more."""

    query: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that was set by a `Timer` has expired."""

    timer_id: int


@dataclass(slots=True, frozen=True)
class HealthCheckCompleted:
    """The result of a health check, `elapsed` microseconds after it was sent."""

    engine: str
    outcome: str
    elapsed: int = 0
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class GossipReceived:
    """A message from another gateway."""

    peer: int
    contents: bytes


@dataclass(slots=True, frozen=True)
class FleetAllocation:
    """The allocation of the fleet to this gateway, as far as known here. It applies until the next one.

    `thread_share` is this gateway's fraction of the threads that the fleet may use; None means an equal share by the
    configured number of gateways. `slow_start_share` is the fraction for engines that are warming up. `retry_tokens` is
    the number of retries that this gateway may send from now on; None means by its own budget. `health_check_targets`
    are the engines to check; None means a random sample. `reserved_engines` get no queries from this gateway, for
    example because another gateway tests their recovery. `minimum_backoff` applies to clients that are rejected now.
    """

    thread_share: float | None = None
    slow_start_share: float | None = None
    retry_tokens: float | None = None
    health_check_targets: tuple[str, ...] | None = None
    reserved_engines: frozenset[str] = frozenset()
    minimum_backoff: int = 0


# ---- actions ----------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Send:
    """Send an attempt of a query to an engine. A `timeout` of 0 means until the deadline.

    `attempt` is its number, for the outcome of an attempt that is not sent because its query has ended. Without a
    number no outcome is reported then.
    """

    query: str
    engine: str
    timeout: int = 0
    attempt: int | None = field(default=None, compare=False)


@dataclass(slots=True, frozen=True)
class ExecutionHints:
    """Memory grant (0: chosen by the engine) and priority (0 to 3, 3 first) for the attempts of a query."""

    query: str
    memory_grant_mb: float = 0.0
    priority: int = 1


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel one attempt."""

    query: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: the query is rejected, and may be retried after `retry_after`. `reason` is logged."""

    query: str
    retry_after: int = 0
    reason: str = field(default="", compare=False)


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: the query has failed, and may have been executed. `reason` is logged."""

    query: str
    reason: str = field(default="", compare=False)


@dataclass(slots=True, frozen=True)
class Timer:
    """Set a timer, which leads to `TimerFired(timer_id)` after `delay` microseconds."""

    delay: int
    timer_id: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Check the health of an engine."""

    engine: str


@dataclass(slots=True, frozen=True)
class SendGossip:
    """Send a message to another gateway, or to all others if `peer` is -1."""

    peer: int
    contents: bytes


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Start or stop watching the endpoint list for changes."""

    enabled: bool = True


@dataclass(slots=True, frozen=True)
class PollEndpoints:
    """Poll the complete endpoint list once."""


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the idle connections to an engine."""

    engine: str


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the operators' log."""

    text: str
