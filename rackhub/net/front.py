"""What the fronts share: the listening side, and the checks that make a client's words a request."""

from collections.abc import Callable
from typing import Protocol

from twisted.internet import protocol

from rackhub.core.coordinator import Coordinator, Query, Reply
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.statement import table_group

NAME = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+")
HEX = frozenset("0123456789abcdef")
MOST_MS = 3_600_000  # of a budget: no class has a longer deadline
MOST_FIGURE = 1e9  # of an estimate: beyond it it is none


class Unusable(ValueError):
    """A request whose figures or names can't be used; the text names the one at fault."""


def request(core: Coordinator, reply: Reply, *, id: str, cls: str, statement: bytes, budget_ms: float, tenant: str,
            token: str, est_ms: float, ram_mb: float, tag: object = None) -> Query:
    """The request of a client, checked. Ids and keys stand in heads of the engines' wire, so letters matter."""
    told = core.classes[cls]
    if len(id) != 16 or not HEX.issuperset(id):
        raise Unusable("the request id is not 16 hex digits")
    if core.known(id):
        raise Unusable("the request id is in use")
    if not 0 < budget_ms <= MOST_MS:  # also no NaN
        raise Unusable("the budget is out of range")
    if not (0 <= est_ms <= MOST_FIGURE and 0 <= ram_mb <= MOST_FIGURE):
        raise Unusable("an estimate is out of range")
    if told.effect != "dedup":
        token = ""
    elif not token:  # without it an engine could not tell a repeat, and repeats are what the class allows
        raise Unusable("the key is missing: this class has one")
    if len(token) > 256 or not NAME.issuperset(token):
        raise Unusable("the key holds what a key can't")
    if len(tenant) > 256:
        raise Unusable("the tenant is too long")
    return Query(id, cls, statement, core.clock.now() + int(budget_ms * 1_000), reply, tag=tag, tenant=tenant,
                 token=token, estimate=int(est_ms * 1_000), memory_mb=ram_mb, tables=table_group(statement))


class Connection(Protocol):
    """One client as its front sees it."""

    def end(self) -> None: ...


class Front(protocol.ServerFactory):
    """A listening side: its connections, how many there may be, and whether the program is on its way out."""

    noisy = False

    def __init__(self, make: Callable[["Front"], protocol.Protocol], core: Coordinator, limits: Limits,
                 counters: Counters, most: int):
        self._make, self._most = make, most
        self.core, self.limits, self.counters = core, limits, counters
        self.connections: set[Connection] = set()
        self.draining = False

    def buildProtocol(self, addr: object) -> protocol.Protocol | None:
        if len(self.connections) >= self._most:
            self.counters.add("clients_refused")
            return None  # closed at once: descriptors for engines are kept free
        return self._make(self)

    def connected(self, connection: Connection) -> None:
        self.counters.add("clients_accepted")
        self.connections.add(connection)

    def lost(self, connection: Connection) -> None:
        self.counters.add("clients_closed")
        self.connections.discard(connection)

    def end(self) -> None:
        """Close every connection once what is open on it is answered."""
        for connection in list(self.connections):
            connection.end()
