"""The types that pass between a query gateway and `rackhub.policy`. No decision is taken here.

All times are whole microseconds of one clock that only advances.
"""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """One class of query. `effect` is retryable, dedup or fragile."""

    name: str
    deadline: int = 0
    objective: int = 0
    aim_stretch: float = 0.0
    worth: float = 1.0
    effect: str = "fragile"
    dedup_scope: str = "cell"
    window: int = 0
    serial_by_key: bool = False
    stays_in: tuple[str, ...] = ()
    served_on: tuple[str, ...] = ()
    threads: int = 1
    holds_tables: bool = False
    blocked_by_loads: bool = False


@dataclass(slots=True, frozen=True)
class TenantSettings:
    """One tenant, with the operator's share of the service where one is told."""

    name: str
    fraction: float = 0.0
    allowance_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """What a gateway is told at its start; whatever is not told keeps its default."""

    classes: tuple[ClassSettings, ...] = ()
    tenants: tuple[TenantSettings, ...] = ()
    gateways: int = 1
    me: int = 0
    zone: str = ""
    discovery: str = "push"
    period: int = 1_000
    kind_cores: dict[str, float] = field(default_factory=dict)
    kind_memory: dict[str, float] = field(default_factory=dict)
    grants: bool = False
    priorities: bool = False
    note_period: int = 0
    cancel: bool = False
    max_attempts: int = 1
    max_retry_after: int = 0
    second_copies: bool = False
    peers: bool = False
    probes: bool = False
    report_source: str = "silent"
    free_resends: float | None = None
    repeat_ratio: float | None = None
    counted_over: int = 0
    cold_from: float = 1.0
    ramp_time: int = 0
    fall_multiple: float = 1.0
    fall: int = 0
    turn_gap: int = 0
    drain_grace: int = 0

    def __post_init__(self):
        """Refuse settings that no site can mean, naming the one at fault."""
        for name, least in (
            ("gateways", 1),
            ("max_attempts", 1),
            ("period", 1),
            ("fall", 0),
            ("me", 0),
            ("ramp_time", 0),
            ("turn_gap", 0),
            ("drain_grace", 0),
            ("counted_over", 0),
            ("cold_from", 0),
            ("fall_multiple", 0),
            ("max_retry_after", 0),
            ("note_period", 0),
        ):
            if not getattr(self, name) >= least:
                raise ValueError(f"setting {name} is {getattr(self, name)!r}: at least {least} is needed")
        for kind, cores in self.kind_cores.items():
            if not cores > 0:
                raise ValueError(f"setting kind_cores of {kind} is {cores!r}: more than 0 is needed")
        for cls in self.classes:
            if cls.effect not in ("retryable", "dedup", "fragile"):
                raise ValueError(f"setting effect of class {cls.name} is {cls.effect!r}: not known")
            if cls.threads < 1:
                raise ValueError(f"setting threads of class {cls.name} is {cls.threads!r}: at least 1 is needed")
        for tenant in self.tenants:
            if tenant.fraction < 0 or tenant.allowance_per_s < 0:
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
    came_up: int = 0


@dataclass(slots=True, frozen=True)
class EngineList:
    """News of the fleet. `scope` is Partial, Complete, Persisted or Error."""

    scope: str
    entries: tuple[EngineEntry, ...] = ()
    rev: int = 0


@dataclass(slots=True, frozen=True)
class QueryArrived:
    """A query that this gateway now owes one final answer."""

    query: str
    cls: str
    drop_dead: int
    tenant: str = ""
    is_retry: bool = False
    estimate: int = 0
    key: int | None = None
    write: bool = False
    memory_mb: float = 0.0
    tables: int | None = None
    attempts: int = 0  # the most for this query; 0: the site's
    repeat_within: int = 0  # how long after its first attempt a keyed one may go out again; 0: by its class's window
    standing: int = 0  # against the fleet's level: 1 it passes, -1 it is refused, 0 there is none
    zones: tuple[str, ...] = ()  # where alone it may run; none: anywhere


@dataclass(slots=True, frozen=True)
class StreamBegan:
    """The answer of an attempt has begun: the attempt belongs to the client."""

    query: str
    attempt: int
    engine: str = ""
    elapsed: int = 0


@dataclass(slots=True, frozen=True)
class Note:
    """News of a running attempt. Topic 1: share done; 2: MB missing; 3: waits (1 memory, 2 a load)."""

    query: str
    attempt: int
    topic: int
    value: float
    engine: str = ""


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The one outcome of an attempt; `settled` tells that the query is closed. `again`: whether the operator's terms
    allow a further attempt, and `wait` how long they have it wait; if not, `backoff` is when to come back."""

    query: str
    attempt: int
    reason: str
    settled: bool = False
    engine: str = ""
    elapsed: int = 0
    bill: int = 0
    report: dict[str, float] = field(default_factory=dict)
    again: bool = True
    wait: int = 0
    backoff: int = 0


@dataclass(slots=True, frozen=True)
class CopyDue:
    """By the operator's terms a second copy of the query may go out beside the attempt that is."""

    query: str


@dataclass(slots=True, frozen=True)
class ClientLeft:
    """The client is gone: no answer is owed any more."""

    query: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer asked for by `Timer` is due."""

    ref: int


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    """The result of one probe."""

    engine: str
    reason: str
    elapsed: int = 0
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class PeerSaid:
    """A message from another gateway."""

    peer: int
    contents: bytes


@dataclass(slots=True, frozen=True)
class FleetSaid:
    """What the gateways of a fleet agree on, as far as this one knows: numbers, which hold until the next come.

    `share`: this gateway's part of what the fleet may run, 0 to 1; None: as without peers, one of the told number.
    `cold`: the same of what cold engines may get, which goes by demand. `tokens`: further attempts that this gateway
    may make from now on, whoever served what they are a part of; None: by its own count. `probes`: the engines that it
    is to probe; None: a draw, as without peers. `held`: engines that another gateway tries out, which get nothing from
    this one. `back`: how long what is refused now should stay away at the least, microseconds.
    """

    share: float | None = None
    cold: float | None = None
    tokens: float | None = None
    probes: tuple[str, ...] | None = None
    held: frozenset[str] = frozenset()
    back: int = 0


# which method of the module takes each event
HANDLERS = {
    Started: "on_started",
    QueryArrived: "on_query",
    AttemptEnded: "on_ended",
    Note: "on_note",
    StreamBegan: "on_stream",
    ClientLeft: "on_left",
    TimerFired: "on_timer",
    EngineList: "on_list",
    ProbeEnded: "on_probe",
    PeerSaid: "on_peer",
    CopyDue: "on_copy",
    FleetSaid: "on_fleet",
}


# which method of the module takes each event
HANDLERS = {
    Started: "on_started",
    QueryArrived: "on_query",
    AttemptEnded: "on_ended",
    Note: "on_note",
    StreamBegan: "on_stream",
    ClientLeft: "on_left",
    TimerFired: "on_timer",
    EngineList: "on_list",
    ProbeEnded: "on_probe",
    PeerSaid: "on_peer",
    CopyDue: "on_copy",
    FleetSaid: "on_fleet",
}


# ---- actions ----------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Send:
    """One attempt of a query on an engine; `timeout` 0: until the client gives up."""

    query: str
    engine: str
    timeout: int = 0


@dataclass(slots=True, frozen=True)
class Terms:
    """Memory grant (0: the engine's own choice) and priority for the query's further attempts."""

    query: str
    grant_mb: float = 0.0
    priority: int = 1


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for one attempt."""

    query: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
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
class Probe:
    """Ask an engine how it is."""

    engine: str


@dataclass(slots=True, frozen=True)
class Tell:
    """A message to a peer, -1 for all of them."""

    peer: int
    contents: bytes


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask discovery for changes from now on."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchList:
    """Ask discovery for the complete list once."""


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the idle connections to an engine."""

    engine: str


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators."""

    text: str
