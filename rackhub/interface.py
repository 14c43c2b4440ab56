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
    """One class of query. `effect` is retryable, dedup or fragile."""

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
    """One tenant, with the operator's share of the service where one is told."""

    name: str
    quota_fraction: float = 0.0
    rate_limit_per_s: float = 0.0


# attribute, the name that an operator knows it by, and its minimum
_MINIMUM_VALUES = (
    ("gateways", "gateways", 1),
    ("max_attempts", "max_attempts", 1),
    ("period", "period", 1),
    ("slow_start_budget_window", "fall", 0),
    ("instance_index", "me", 0),
    ("slow_start_duration", "ramp_time", 0),
    ("turn_gap", "turn_gap", 0),
    ("drain_grace", "drain_grace", 0),
    ("retry_budget_window", "counted_over", 0),
    ("slow_start_initial_capacity", "cold_from", 0),
    ("slow_start_budget_multiple", "fall_multiple", 0),
    ("max_retry_after", "max_retry_after", 0),
    ("progress_report_interval", "note_period", 0),
)


@dataclass(slots=True, frozen=True)
class Settings:
    """What a gateway is told at its start; whatever is not told keeps its default."""

    classes: tuple[ClassSettings, ...] = ()
    tenants: tuple[TenantSettings, ...] = ()
    gateways: int = 1
    instance_index: int = 0
    zone: str = ""
    discovery: str = "push"
    period: int = 1_000
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
    turn_gap: int = 0
    drain_grace: int = 0

    def __post_init__(self):
        """Refuse settings that no site can mean, naming the one at fault."""
        for attribute, configured_name, minimum in _MINIMUM_VALUES:
            value = getattr(self, attribute)
            if not value >= minimum:
                raise ValueError(f"setting {configured_name} is {value!r}: at least {minimum} is needed")
        for kind, cores in self.kind_cores.items():
            if not cores > 0:
                raise ValueError(f"setting kind_cores of {kind} is {cores!r}: more than 0 is needed")
        for cls in self.classes:
            if cls.idempotency not in ("retryable", "dedup", "fragile"):
                raise ValueError(f"setting effect of class {cls.name} is {cls.idempotency!r}: not known")
            if cls.threads < 1:
                raise ValueError(f"setting threads of class {cls.name} is {cls.threads!r}: at least 1 is needed")
        for tenant in self.tenants:
            if tenant.quota_fraction < 0 or tenant.rate_limit_per_s < 0:
                raise ValueError(f"setting fraction or allowance_per_s of tenant {tenant.name} is below 0")


# ---- events -----------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Started:
    """The gateway has just started."""


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """One line of the list of engines. `came_up` 0: long past."""

    engine: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "Ready"
    size: float = 1.0
    started_at: int = 0


@dataclass(slots=True, frozen=True)
class EndpointList:
    """News of the fleet. `scope` is Partial, Complete, Persisted or Error."""

    scope: str
    entries: tuple[EngineEntry, ...] = ()
    revision: int = 0


@dataclass(slots=True, frozen=True)
class QueryReceived:
    """A query that this gateway now owes one final answer."""

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
    max_attempts: int = 0  # the most for this query; 0: the site's
    retry_window: int = 0  # how long after its first attempt a keyed one may go out again; 0: by its class's window
    admission: int = 0  # against the fleet's level: 1 it passes, -1 it is refused, 0 there is none
    zones: tuple[str, ...] = ()  # where alone it may run; none: anywhere


@dataclass(slots=True, frozen=True)
class ResultStreamStarted:
    """The answer of an attempt has begun: the attempt belongs to the client."""

    query: str
    attempt: int
    engine: str = ""
    elapsed: int = 0


@dataclass(slots=True, frozen=True)
class ProgressReport:
    """News of a running attempt. Topic 1: share done; 2: MB missing; 3: waits (1 memory, 2 a load)."""

    query: str
    attempt: int
    topic: int
    value: float
    engine: str = ""


@dataclass(slots=True, frozen=True)
class AttemptCompleted:
    """The one outcome of an attempt; `settled` tells that the query is closed. `again`: whether the operator's terms
    allow a further attempt, and `wait` how long they have it wait; if not, `backoff` is when to come back."""

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
    """By the operator's terms a second copy of the query may go out beside the attempt that is."""

    query: str


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client is gone: no answer is owed any more."""

    query: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer asked for by `Timer` is due."""

    ref: int


@dataclass(slots=True, frozen=True)
class HealthCheckCompleted:
    """The result of one probe."""

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
    """What the gateways of a fleet agree on, as far as this one knows: numbers, which hold until the next come.

    `share`: this gateway's part of what the fleet may run, 0 to 1; None: as without peers, one of the told number.
    `cold`: the same of what cold engines may get, which goes by demand. `tokens`: further attempts that this gateway
    may make from now on, whoever served what they are a part of; None: by its own count. `probes`: the engines that it
    is to probe; None: a draw, as without peers. `held`: engines that another gateway tries out, which get nothing from
    this one. `back`: how long what is refused now should stay away at the least, microseconds.
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
    """One attempt of a query on an engine; `timeout` 0: until the client gives up."""

    query: str
    engine: str
    timeout: int = 0


@dataclass(slots=True, frozen=True)
class ExecutionHints:
    """Memory grant (0: the engine's own choice) and priority for the query's further attempts."""

    query: str
    memory_grant_mb: float = 0.0
    priority: int = 1


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for one attempt."""

    query: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: trying again is harmless, best after `retry_after`. `reason` is for the log alone."""

    query: str
    retry_after: int = 0
    reason: str = field(default="", compare=False)


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, with nothing promised of its effect. `reason` is for the log alone."""

    query: str
    reason: str = field(default="", compare=False)


@dataclass(slots=True, frozen=True)
class Timer:
    """Ask for `TimerFired(ref)` after `delay`."""

    delay: int
    ref: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Ask an engine how it is."""

    engine: str


@dataclass(slots=True, frozen=True)
class SendGossip:
    """A message to a peer, -1 for all of them."""

    peer: int
    contents: bytes


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Ask discovery for changes from now on."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class PollEndpoints:
    """Ask discovery for the complete list once."""


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the idle connections to an engine."""

    engine: str


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators."""

    text: str
