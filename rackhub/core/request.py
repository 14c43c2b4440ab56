"""What passes between fronts, the coordinator and engine ports: requests, attempts, and where answers go."""

import enum
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, Protocol

from rackhub.core.lease import EndpointLease, LeaseStatus
from rackhub.interface import Outcome

if TYPE_CHECKING:
    from rackhub.core.request_policy import RequestTerms


class RequestOutcome(enum.StrEnum):
    """How a request ended. The values are the names of counters and of the stored states."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    DISCONNECTED = "left"


class Reply(Protocol):
    """Where a front takes its one answer.

    One that has `marks` true shows `Query.gather_status` beside the rows; no other is given an answer that needs it.
    """

    reading_paused: bool = False  # nothing is read from the client, so a disconnect can't be seen
    may_have_unread_input: bool = False  # what is read has waited in the socket, and a disconnect may lie behind it
    unread_input_since: int = 0  # the earliest time that what is read may have waited from, in microseconds

    def served(self, query: "Query", rows: Sequence[bytes]) -> None:
        """Answer with the pages of the result, in order."""

    def rejected(self, query: "Query", backoff: int) -> None:
        """Answer that the request was rejected, with a Retry-After of `backoff` microseconds."""

    def failed(self, query: "Query", why: str) -> None:
        """Answer that the request has failed; `why` is for the client."""


class Query:
    """One request from its arrival to its answer. Times are microseconds of the coordinator's clock."""

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
    ) -> None:
        """`tag` is the front's own."""
        self.id = id
        self.cls = cls
        self.statement = statement
        self.deadline = deadline
        self.reply = reply
        self.tag = tag
        self.tenant = tenant
        self.idempotency_key = idempotency_key
        self.estimate = estimate
        self.memory_mb = memory_mb
        self.tables = tables
        self.closed = False
        self.attempts = 0  # how many have been started
        self.in_flight: dict[int, Attempt] = {}  # by number
        self.possibly_executed: dict[int, int] = {}  # send times by number, of a request with an idempotency key
        self.priority = 1
        self.priority_pinned = False  # the priority is the operator's
        self.terms: RequestTerms | None = None  # the operator's
        self.hedge_requested = False  # the policy is being asked for a hedge
        self.zones: tuple[str, ...] = ()  # the zones that a subrequest may run in; empty: any
        self.is_subrequest = False
        self.is_gathered = False  # the gather port has accepted it
        self.gather_status: Any = None  # of a gathered answer: a `core.gather.GatherStatus`


class AttemptState(enum.Enum):
    """Where an attempt stands. Before `IN_FLIGHT` nothing of it has left, which proves that it never ran."""

    PENDING = enum.auto()  # not with the engine port yet
    QUEUED = enum.auto()  # set by the port: its connection is not up, or takes no bytes
    IN_FLIGHT = enum.auto()
    CANCELLING = enum.auto()  # given up, the cancellation is on its way: what still comes of it is ignored
    DONE = enum.auto()


class Attempt:
    """One attempt of a request on an engine. `connection` is the engine port's own."""

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

    def __init__(self, query: Query, number: int, engine: str, sent: int) -> None:
        """`sent` is the time in microseconds."""
        self.query = query
        self.number = number
        self.engine = engine
        self.sent_at = sent
        self.deadline = sent
        self.state = AttemptState.PENDING
        self.connection: Any = None
        self.send_by = 0  # the port must not send it from then on; 0: no limit
        self.timeout_configured = False  # the deadline is by the operator's time-out, not by the request's deadline

    @property
    def done(self) -> bool:
        """Whether it is completed, or its completion is on its way."""
        return self.state in (AttemptState.CANCELLING, AttemptState.DONE)

    @property
    def unsent(self) -> bool:
        """Whether it surely never ran, as nothing of it has left."""
        return self.state in (AttemptState.PENDING, AttemptState.QUEUED)

    def send_blocked_by(self, now: int, lease: "EndpointLease | None" = None) -> str:
        """The outcome of an attempt that must not be sent now; empty if it may be.

        A client that is not read from may be gone; an engine may have forgotten an idempotency key that is too old;
        an engine that the endpoint list's lease doesn't cover may be draining.
        """
        if self.query.reply.reading_paused:
            return Outcome.NOT_EXECUTED
        if lease is not None:
            status = lease.status(now)
            if status is LeaseStatus.EXPIRED:
                return Outcome.NOT_EXECUTED
            if status is not LeaseStatus.CONFIRMED or not lease.allows(self.engine, now):
                return Outcome.CONNECT_FAILED
        return Outcome.CONNECT_FAILED if 0 < self.send_by <= now else ""


class EnginePort(Protocol):
    """The way to the engines. It reports by `Coordinator.complete_attempt` and `Coordinator.report_progress`."""

    def send(self, attempt: Attempt) -> None:
        """Send an attempt, or queue it for a connection."""

    def give_up(self, attempt: Attempt) -> None:
        """Cancel an attempt that is queued or in flight."""

    def promote(self, attempt: Attempt) -> None:
        """Tell the engine the new priority of an attempt's request."""

    def close_idle(self, engine: str) -> None:
        """Close the connections to an engine that have nothing in flight."""
