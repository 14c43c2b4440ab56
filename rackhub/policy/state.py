"""Typed state of tenants, queries and attempts. All times are microseconds of the events' clock."""

from collections import defaultdict, deque
from dataclasses import dataclass, field

from rackhub.interface import QueryReceived
from rackhub.policy.statistics import ClassStatistics, EngineState, Placement


@dataclass(slots=True, eq=False)
class TenantState:
    """One tenant: its configured quota, its running threads and when its queries were admitted, by class."""

    quota_fraction: float
    threads: int = 0
    admitted_at: defaultdict[str, deque[int]] = field(default_factory=lambda: defaultdict(deque))


@dataclass(slots=True, frozen=True)
class PossibleExecution:
    """An attempt that ran, runs, or may still run."""

    attempt: int
    sent_at: int
    placement: Placement


@dataclass(slots=True, eq=False)
class QueryState:
    """A query that this gateway owes one final answer.

    `relative_size` and `expected_latency` are against the mean of its class. `failed_on` is the engine whose error is
    not explained yet: the query or the engine may be at fault. `deadline_timer` is None once a result is streaming.
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


@dataclass(slots=True, eq=False)
class AttemptState:
    """One attempt in flight. `threads` and `memory_mb` are what it counts for in the gateway's usage."""

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


def drop_until(times: deque[int], limit: float) -> None:
    """Drop the times up to `limit` from the front."""
    while times and times[0] <= limit:
        times.popleft()
