"""State of tenants, queries and attempts. All times are microseconds of the events' clock."""

from collections import defaultdict, deque
from dataclasses import dataclass, field

from rackhub.interface import QueryReceived
from rackhub.policy.statistics import ClassStatistics, EngineState, Placement

MAX_RECORDED_TIMES = 32_768  # of one kind; under a flood a window would otherwise record every query of it


def new_time_record() -> deque[int]:
    """Return an empty record of the latest times of one kind, in order."""
    return deque(maxlen=MAX_RECORDED_TIMES)


@dataclass(slots=True, eq=False)
class TenantState:
    """A tenant: its configured quota, its threads in use, and the admission times of its recent queries by class."""

    quota_fraction: float
    threads: int = 0
    admitted_at: defaultdict[str, deque[int]] = field(default_factory=lambda: defaultdict(new_time_record))


@dataclass(slots=True, frozen=True)
class PossibleExecution:
    """An attempt that was executed, is being executed, or may still be executed."""

    attempt: int
    sent_at: int
    placement: Placement


@dataclass(slots=True, eq=False)
class QueryState:
    """A query to which this gateway owes one final answer.

    `relative_size` is its work as a multiple of the mean of its class. `expected_latency` is the mean latency of the
    class times that size. `failed_on` is the engine that returned an error while it is not known whether the query or
    the engine is at fault. `deadline_timer` is None once the result is streaming. `retry_timer` is that of a delayed
    retry.
    """

    event: QueryReceived
    statistics: ClassStatistics
    tenant: TenantState
    id: str
    relative_size: float
    expected_latency: float
    in_flight: "dict[int, AttemptState]" = field(default_factory=dict)
    possibly_executed: list[PossibleExecution] = field(default_factory=list)
    engines_attempted: set[str] = field(default_factory=set)
    attempts: int = 0
    closed: bool = False
    failed_on: EngineState | None = None
    deadline_timer: int | None = None
    retry_timer: int | None = None


@dataclass(slots=True, eq=False)
class AttemptState:
    """An attempt in flight.

    `threads` and `memory_mb` are the resources that `ResourceUsage` counts for it. `overdue_timer` is that of the next
    check whether the attempt is overdue.
    """

    query: QueryState
    number: int
    engine: EngineState
    sent_at: int
    memory_mb: float
    threads: int
    last_progress_at: int
    executing_since: int
    spilled: bool = False
    health_check_sent: bool = False
    presumed_lost: bool = False
    overdue_timer: int | None = None


def remove_expired(times: deque[int], limit: float) -> None:
    """Remove the times up to and including `limit` from the front."""
    while times and times[0] <= limit:
        times.popleft()
