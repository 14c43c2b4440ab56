"""Requests, attempts, and the interfaces between fronts, the coordinator and engine ports."""

import enum
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, Protocol

from rackhub.core.lease import EndpointLease, LeaseStatus
from rackhub.core.timers import Timer
from rackhub.interface import Outcome

if TYPE_CHECKING:
    from rackhub.core.request_policy import RequestTerms


class RequestOutcome(enum.StrEnum):
    """How a request ended. The values name the counters and the stored states."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    DISCONNECTED = "left"


class Reply(Protocol):
    """Receives the one answer to a request, for its front.

    A reply with a true attribute `marks` can transmit `Query.gather_status` with the rows. Only such a reply gets an
    answer that needs it.
    """

    reading_paused: bool = False  # reading from the client is paused, so a disconnect would not be detected
    may_have_unread_input: bool = False  # the socket may contain bytes not read yet, a disconnect among them
    unread_input_since: int = 0  # earliest possible arrival of these bytes, in microseconds

    def served(self, query: "Query", rows: Sequence[bytes]) -> None:
        """Answer with the pages of the result, in order."""

    def rejected(self, query: "Query", backoff: int) -> None:
        """Answer that the request was rejected, with a Retry-After of `backoff` microseconds."""

    def failed(self, query: "Query", why: str) -> None:
        """Answer that the request has failed; `why` is the message for the client."""


class Query:
    """One request, from its arrival to its answer. Times are microseconds of the coordinator's clock."""

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
        "next_attempt_number",
        "in_flight",
        "priority",
        "priority_pinned",
        "terms",
        "hedge_requested",
        "zones",
        "gather_status",
        "is_subrequest",
        "is_gathered",
        "deferred",
        "possibly_executed",
        "may_have_run",
        "id_claimed",
        "failed_connections",
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
        """Create an open request; `tag` is for the front's use only."""
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
        self.attempts = 0  # number of attempts started so far
        self.next_attempt_number = 0  # counts those too that the policy decided on and that were not started
        self.in_flight: dict[int, Attempt] = {}  # attempt number -> attempt that is not completed, sent or not
        self.possibly_executed: dict[int, int] = {}  # attempt number -> send time; only with an idempotency key
        self.may_have_run = False  # an attempt has ended that may have been executed
        self.id_claimed = False  # the id was recorded for the other processes of this coordinator
        self.failed_connections: tuple[Any, ...] = ()  # where an attempt has failed; for the engine port's use only
        self.priority = 1
        self.priority_pinned = False  # the operator's terms set the priority
        self.terms: RequestTerms | None = None  # the operator's terms
        self.hedge_requested = False  # the policy is handling a `HedgeDue` event for the request
        self.zones: tuple[str, ...] = ()  # zones in which a subrequest may run; empty: all zones
        self.is_subrequest = False
        self.deferred = False  # waits for the endpoint list, so that nothing of it was sent
        self.is_gathered = False  # the gather port has accepted the request
        self.gather_status: Any = None  # `core.gather.GatherStatus` of a gathered answer


class AttemptState(enum.Enum):
    """State of an attempt. Before `IN_FLIGHT` nothing was sent, which proves that the attempt did not run."""

    PENDING = enum.auto()  # the engine port does not have the attempt yet
    QUEUED = enum.auto()  # set by the port: the connection is not established or not writable
    IN_FLIGHT = enum.auto()
    CANCELLING = enum.auto()  # cancellation in progress: further responses are ignored
    DONE = enum.auto()


class Attempt:
    """One attempt of a request on an engine. `connection` is for the engine port's use only."""

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
        "hedge_timer",
    )

    def __init__(self, query: Query, number: int, engine: str, now: int) -> None:
        """Create a pending attempt; `now` is the current time in microseconds."""
        self.query = query
        self.number = number
        self.engine = engine
        self.sent_at = now  # creation, then the last try to pass the attempt to the engine port
        self.deadline = now
        self.state = AttemptState.PENDING
        self.connection: Any = None
        self.send_by = 0  # time from which the port must not send the attempt; 0: no limit
        self.hedge_timer: Timer | None = None
        self.timeout_configured = False  # the deadline is the operator's time-out, not the request's deadline

    @property
    def done(self) -> bool:
        """True if the attempt is completed or its cancellation is in progress."""
        return self.state in (AttemptState.CANCELLING, AttemptState.DONE)

    @property
    def unsent(self) -> bool:
        """True if nothing was sent, so that the attempt certainly did not run."""
        return self.state in (AttemptState.PENDING, AttemptState.QUEUED)

    def send_blocked_by(self, now: int, lease: "EndpointLease | None" = None) -> str:
        """Return the outcome of an attempt that must not be sent at `now`, or an empty string if it may be sent.

        While reading is paused the client may have disconnected. An engine may have forgotten an idempotency key that
        is too old. An engine that the endpoint list's lease does not cover may be draining.
        """
        if self.query.reply.reading_paused:
            return Outcome.NOT_EXECUTED
        if lease is not None:
            status = lease.status(now)
            if status is LeaseStatus.EXPIRED:
                return Outcome.NOT_EXECUTED
            if status is not LeaseStatus.VALID or not lease.allows(self.engine, now):
                return Outcome.CONNECT_FAILED
        return Outcome.CONNECT_FAILED if 0 < self.send_by <= now else ""


class EnginePort(Protocol):
    """Sends attempts to engines; reports to `Coordinator.complete_attempt` and `Coordinator.report_progress`."""

    def send(self, attempt: Attempt) -> None:
        """Send an attempt, or queue it for a connection."""

    def give_up(self, attempt: Attempt) -> None:
        """Cancel an attempt that is queued or in flight."""

    def promote(self, attempt: Attempt) -> None:
        """Notify the engine of the new priority of an attempt's request."""

    def close_idle(self, engine: str) -> None:
        """Close the connections to an engine that have no attempt in flight."""
