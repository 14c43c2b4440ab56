"""What passes between fronts, core and engine ports: requests, attempts, and where answers go."""

import enum
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, Protocol

from rackhub.core.lease import ListLease, Standing

if TYPE_CHECKING:
    from rackhub.core.terms import Life


class Reply(Protocol):
    """Where a front takes its one answer. `rows` are the pages of the result, in order. One that has
    `marks` true tells beside them what stands in `Query.mark`; no other is given an answer that needs it.
    While `deaf` is true nothing is read from the client, so it can't be seen that it has gone; while `stale` is,
    what is read had waited for that, from `stale_since` on at the longest, and its end may lie behind it."""

    deaf: bool = False
    stale: bool = False
    stale_since: int = 0

    def served(self, query: "Query", rows: Sequence[bytes]) -> None: ...
    def refused(self, query: "Query", backoff: int) -> None: ...
    def failed(self, query: "Query", why: str) -> None: ...


class Query:
    """One request from its arrival to its answer."""

    __slots__ = (
        "id",
        "cls",
        "statement",
        "deadline",
        "tenant",
        "token",
        "estimate",
        "memory_mb",
        "tables",
        "reply",
        "tag",
        "closed",
        "tries",
        "out",
        "level",
        "fixed",
        "life",
        "copying",
        "zones",
        "mark",
        "part",
        "gathering",
        "maybe",
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
        token: str = "",
        estimate: int = 0,
        memory_mb: float = 0.0,
        tables: int | None = None,
    ):
        self.id, self.cls, self.statement, self.deadline = id, cls, statement, deadline
        self.reply, self.tag, self.tenant, self.token = reply, tag, tenant, token
        self.estimate, self.memory_mb, self.tables = estimate, memory_mb, tables
        self.closed, self.tries, self.level = False, 0, 1
        self.out: dict[int, Attempt] = {}  # by number: more than one only where the site allows it
        self.maybe: dict[int, int] = {}  # of a keyed request: its attempts that may have run, and when they were sent
        self.life: Life | None = None  # where an operator has set terms
        self.zones: tuple[str, ...] = ()  # a part of a gather goes to engines of these alone; none: to any
        self.part = self.gathering = False  # a part of a gather; a request that gathers took
        self.mark: Any = None  # of a gathered answer, what the front tells beside its rows: `core.gather.Told`
        self.fixed = self.copying = False  # its priority is the operator's; a second copy is being asked for


class State(enum.Enum):
    """Where an attempt stands. Before `OUT` nothing of it has left, which proves that it never ran."""

    HELD = enum.auto()  # not with the port yet
    WAITING = enum.auto()  # with the port, whose connection is not up or takes no bytes: set by the port, as is `OUT`
    OUT = enum.auto()
    LEAVING = enum.auto()  # given up, and that has a way to go: what still comes of it counts for nothing
    OVER = enum.auto()


class Attempt:
    """One try of a query on an engine. `link` is the port's own: what carries the attempt."""

    __slots__ = ("query", "number", "engine", "sent", "until", "state", "link", "send_by", "timed")

    def __init__(self, query: Query, number: int, engine: str, sent: int):
        self.query, self.number, self.engine, self.sent = query, number, engine, sent
        self.until, self.state, self.link = sent, State.HELD, None
        self.send_by = 0  # a port that has not sent it by then must not: 0, no such time
        self.timed = False  # its time is the operator's, not what is left of the request's

    @property
    def over(self) -> bool:
        """Whether its end is told or on its way."""
        return self.state in (State.LEAVING, State.OVER)

    @property
    def unsent(self) -> bool:
        """Whether it surely never ran, as nothing of it has left."""
        return self.state in (State.HELD, State.WAITING)

    def barred(self, now: int, lease: "ListLease | None" = None) -> str:
        """Why it must not leave now, as its end is worded; empty: it may. A client that is not read from may have gone
        long ago; a key that is too old is one that an engine may have forgotten; by a list whose lease is over the
        engine may have drained."""
        if self.query.reply.deaf:
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
    def hurry(self, attempt: Attempt) -> None: ...
    def close_idle(self, engine: str) -> None: ...
