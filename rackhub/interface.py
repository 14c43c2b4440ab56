"""The types that pass between a query gateway and `rackhub.policy`. No decision is taken here.

All times are whole microseconds of one clock that only advances.
"""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum


class Outcome(StrEnum):
    """How an attempt or a health check ended."""

    SUCCESS = "GOOD"
    ERROR = "BAD"
    OVERLOADED = "FULL"
    CONNECT_FAILED = "NOCONN"
    NOT_EXECUTED = "NOP"
    TIMED_OUT = "LATE"
    RESET = "RST"
    CANCELLED = "CXL"
    LOST = "LOST"


class Idempotency(StrEnum):
    """What a class of query promises about being executed more than once."""

    IDEMPOTENT = "retryable"
    IDEMPOTENCY_KEY = "dedup"
    NOT_IDEMPOTENT = "fragile"


class ProgressTopic(IntEnum):
    """What a `ProgressReport` is about; its value is a fraction, MB, or a `WaitReason`."""

    FRACTION_DONE = 1
    MEMORY_SPILLED = 2
    WAITING = 3


class WaitReason(IntEnum):
    """What a waiting attempt waits for."""

    MEMORY = 1
    TABLE_LOCK = 2


class Admission(IntEnum):
    """Where a query stands against the fleet's shedding threshold."""

    SHED = -1
    UNDECIDED = 0
    ADMITTED = 1


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """One class of query, as it is configured.

    `idempotency` is a value of `Idempotency`; `idempotency_scope` says where a key is known (`cell`, `zone` or `all`),
    and `idempotency_window` for how long. `latency_objective` is the latency that clients want, `deadline` the latest
    one.
    `threads`: of an engine, that a query takes. `serial_by_key`: queries of one key are executed one after the other.
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
    """One tenant, with its quota of the service; 0: none is configured."""

    name: str
    quota_fraction: float = 0.0
    rate_limit_per_s: float = 0.0


# attribute, the name that an operator knows it by, and its minimum
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
    """The settings of one gateway, an instance of the coordinator. What is not configured keeps its default.

    `clock_period`: the longest time between two calls of the decisions. `kind_cores`, `kind_memory` (MB): of an engine,
    by kind. `serial_key_delay`: how long a key rests after an attempt that may still be executed. `drain_grace`: how
    long after its notification a draining engine may still receive queries.
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
        """Raise `ValueError` for a value that no site can mean, by the name that the operator knows."""
        for attribute, configured_name, minimum in _MINIMUM_VALUES:
            value = getattr(self, attribute)
            if not value >= minimum:
                raise ValueError(f"setting {configured_name} is {value!r}: at least {minimum} is needed")
        for kind, cores in self.kind_cores.items():
            if not cores > 0:
                raise ValueError(f"setting kind_cores of {kind} is {cores!r}: more than 0 is needed")
        self._check_classes()
        for tenant in self.tenants:
            if tenant.quota_fraction < 0 or tenant.rate_limit_per_s < 0:
                raise ValueError(f"setting fraction or allowance_per_s of tenant {tenant.name} is below 0")

    def _check_classes(self) -> None:
        for cls in self.classes:
            if cls.idempotency not in list(Idempotency):
                raise ValueError(f"setting effect of class {cls.name} is {cls.idempotency!r}: not known")
            if cls.threads < 1:
                raise ValueError(f"setting threads of class {cls.name} is {cls.threads!r}: at least 1 is needed")


# ---- events -----------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Started:
    """The gateway has just started."""


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """One engine of the endpoint list.

    `state` is Ready, Terminating (draining) or Gone; `size` its relative capacity; `started_at` 0: long ago.
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
    """The endpoint list or changes of it. `scope` is Partial, Complete, Persisted (an earlier run's) or Error."""

    scope: str
    entries: tuple[EngineEntry, ...] = ()
    revision: int = 0


@dataclass(slots=True, frozen=True)
class QueryReceived:
    """A query to which this gateway owes one final answer by `deadline`.

    `estimate`: its cost, in the unit of `AttemptCompleted.cost`. `key`: of a class that is serial by key. `tables`: the
    group of tables that it touches. `max_attempts` 0: that of the settings. `retry_window`: how long after its first
    attempt a query with an idempotency key may be retried, 0: by its class. `admission`: see `Admission`. `zones`: the
    only zones where it may be executed; empty: anywhere.
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
    """The result of an attempt has started to reach the client: no retry is possible any more."""

    query: str
    attempt: int
    engine: str = ""
    elapsed: int = 0


@dataclass(slots=True, frozen=True)
class ProgressReport:
    """Progress of an attempt in flight. `topic` is a `ProgressTopic`, which says what `value` is."""

    query: str
    attempt: int
    topic: int
    value: float
    engine: str = ""


@dataclass(slots=True, frozen=True)
class AttemptCompleted:
    """The one outcome of an attempt, a value of `Outcome`.

    `settled`: the query has had its answer. `elapsed`: microseconds since the attempt was sent. `report`: the engine's
    load report. `may_retry`: the terms allow a retry, after `retry_delay`; if not, `backoff` is when the
    client should come back.
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
    """By the operator's terms a hedge of the query may be sent beside the attempt in flight."""

    query: str


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client is gone: no answer is owed any more."""

    query: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that `Timer` asked for has expired."""

    timer_id: int


@dataclass(slots=True, frozen=True)
class HealthCheckCompleted:
    """The result of one health check; `elapsed` in microseconds."""

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
    """What the gateways of a fleet agree on, as far as this one knows; it holds until the next.

    `thread_share`: this gateway's fraction of the threads that the fleet may use; None: an equal share of the
    configured number. `slow_start_share`: the same for engines that are warming up. `retry_tokens`: retries that this
    gateway may
    make from now on; None: by its own budget. `health_check_targets`: the engines to check; None: a random sample.
    `reserved_engines`: engines that get nothing from this gateway, as another one tries their recovery.
    `minimum_backoff`: for clients that are rejected now, in microseconds.
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
    """Send one attempt of a query to an engine. `timeout` in microseconds; 0: until the deadline."""

    query: str
    engine: str
    timeout: int = 0


@dataclass(slots=True, frozen=True)
class ExecutionHints:
    """Memory grant (MB; 0: the engine's own choice) and priority for the query's next attempts."""

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
    """Final answer: rejected; a retry is harmless, best after `retry_after` microseconds. `reason` is logged."""

    query: str
    retry_after: int = 0
    reason: str = field(default="", compare=False)


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; it may have been executed. `reason` is logged."""

    query: str
    reason: str = field(default="", compare=False)


@dataclass(slots=True, frozen=True)
class Timer:
    """Ask for `TimerFired(timer_id)` after `delay` microseconds."""

    delay: int
    timer_id: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Check the health of an engine."""

    engine: str


@dataclass(slots=True, frozen=True)
class SendGossip:
    """A message to another gateway; -1: to all of them."""

    peer: int
    contents: bytes


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Watch the endpoint list for changes."""

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
    """A line for the operators' log."""

    text: str
