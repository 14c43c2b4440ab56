"""What passes between fronts, core and engine ports: requests, attempts, and where answers go."""

import enum
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, Protocol

from rackhub.core.lease import EndpointLease, Standing

if TYPE_CHECKING:
    from rackhub.core.request_policy import RequestTerms


class Reply(Protocol):
    """Where a front takes its one answer. `rows` are the pages of the result, in order. One that has
    `marks` true tells beside them what stands in `Query.gather_status`; no other is given an answer that needs it.
    While `reading_paused` is true nothing is read from the client, so it can't be seen that it has gone; while
    `stale` is,
    what is read had waited for that, from `stale_since` on at the longest, and its end may lie behind it."""

    reading_paused: bool = False
    stale: bool = False
    stale_since: int = 0

    def served(self, query: "Query", rows: Sequence[bytes]) -> None: ...
    def rejected(self, query: "Query", backoff: int) -> None: ...
    def failed(self, query: "Query", why: str) -> None: ...


class Query:
    """One request from its arrival to its answer."""

    __slots__ = (
        "id",
        "cls",
        "statement",
        "deadline",
        "tenant",
        "idempotency_key",
        "estimate",
        "memory_mb",
        "tables",
        "reply",
        "tag",
        "closed",
        "attempts",
        "in_flight",
        "priority",
        "priority_pinned",
        "terms",
        "hedge_requested",
        "zones",
        "gather_status",
        "is_subrequest",
        "is_gathered",
        "possibly_executed",
    )

    def __init__(
        self,
        id: str,
        cls: str,
        statement: bytes,
        deadline: int,
        reply: Reply,
        *,
        tag: object = None,
        tenant: str = "",
        idempotency_key: str = "",
        estimate: int = 0,
        memory_mb: float = 0.0,
        tables: int | None = None,
    ):
        self.id, self.cls, self.statement, self.deadline = id, cls, statement, deadline
        self.reply, self.tag, self.tenant, self.idempotency_key = reply, tag, tenant, idempotency_key
        self.estimate, self.memory_mb, self.tables = estimate, memory_mb, tables
        self.closed, self.attempts, self.priority = False, 0, 1
        self.in_flight: dict[int, Attempt] = {}  # by number: more than one only where the site allows it
        self.possibly_executed: dict[
            int, int
        ] = {}  # of a keyed request: its attempts that may have run, and when they were sent
        self.terms: RequestTerms | None = None  # where an operator has set terms
        self.zones: tuple[str, ...] = ()  # a part of a gather goes to engines of these alone; none: to any
        self.is_subrequest = self.is_gathered = False  # a part of a gather; a request that gathers took
        self.gather_status: Any = (
            None  # of a gathered answer, what the front tells beside its rows: `core.gather.GatherStatus`
        )
        self.priority_pinned = self.hedge_requested = (
            False  # its priority is the operator's; a second copy is being asked for
        )


class AttemptState(enum.Enum):
    """Where an attempt stands. Before `OUT` nothing of it has left, which proves that it never ran."""

    PENDING = enum.auto()  # not with the port yet
    QUEUED = enum.auto()  # with the port, whose connection is not up or takes no bytes: set by the port, as is `OUT`
    IN_FLIGHT = enum.auto()
    CANCELLING = enum.auto()  # given up, and that has a way to go: what still comes of it counts for nothing
    DONE = enum.auto()


class Attempt:
    """One try of a query on an engine. `link` is the port's own: what carries the attempt."""

    __slots__ = (
        "query",
        "number",
        "engine",
        "sent_at",
        "deadline",
        "state",
        "connection",
        "send_by",
        "timeout_configured",
    )

    def __init__(self, query: Query, number: int, engine: str, sent: int):
        self.query, self.number, self.engine, self.sent_at = query, number, engine, sent
        self.deadline, self.state, self.connection = sent, AttemptState.PENDING, None
        self.send_by = 0  # a port that has not sent it by then must not: 0, no such time
        self.timeout_configured = False  # its time is the operator's, not what is left of the request's

    @property
    def done(self) -> bool:
        """Whether its end is told or on its way."""
        return self.state in (AttemptState.CANCELLING, AttemptState.DONE)

    @property
    def unsent(self) -> bool:
        """Whether it surely never ran, as nothing of it has left."""
        return self.state in (AttemptState.PENDING, AttemptState.QUEUED)

    def send_blocked_by(self, now: int, lease: "EndpointLease | None" = None) -> str:
        """Why it must not leave now, as its end is worded; empty: it may. A client that is not read from may have gone
        long ago; a key that is too old is one that an engine may have forgotten; by a list whose lease is over the
        engine may have drained."""
        if self.query.reply.reading_paused:
            return "NOP"
        if lease is not None and lease.standing(now) is not Standing.CONFIRMED:
            return "NOP" if lease.standing(now) is Standing.EXPIRED else "NOCONN"
        if lease is not None and not lease.allows(self.engine, now):
            return "NOCONN"
        return "NOCONN" if 0 < self.send_by <= now else ""


class EnginePort(Protocol):
    """The way to the engines. It reports by `Coordinator.ended` and `.noted`."""

    def send(self, attempt: Attempt) -> None: ...
    def give_up(self, attempt: Attempt) -> None: ...
    def promote(self, attempt: Attempt) -> None: ...
    def close_idle(self, engine: str) -> None: ...
