"""What the fronts share: the listening side, how long clients may keep it waiting, and the checks that make a
client's words a request.

Every client, however it behaves, gets a refusal, an error or a close in time, and none holds a descriptor for good:
who says nothing, stops half way, idles or does not read is closed, and where room runs short the longest idle make
way for newcomers. Who repeats faults is read from more and more slowly.
"""

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import protocol

from rackhub import logs
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Query, Reply
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.statement import table_group

log = logs.logger(__name__)

NAME = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+")
HEX = frozenset("0123456789abcdef")
MAX_BUDGET_MS = 3_600_000  # of a budget: no class has a longer deadline
MAX_ESTIMATE = 1e9  # of an estimate: beyond it it is none


class InvalidRequestError(ValueError):
    """A request whose figures or names can't be used; the text names the one at fault."""


def request(
    core: Coordinator,
    reply: Reply,
    *,
    id: str,
    cls: str,
    statement: bytes,
    budget_ms: float,
    tenant: str,
    idempotency_key: str,
    est_ms: float,
    ram_mb: float,
    tag: object = None,
) -> Query:
    """The request of a client, checked. Ids and keys stand in heads of the engines' wire, so letters matter."""
    told = core.classes[cls]
    if len(id) != 16 or not HEX.issuperset(id):
        raise InvalidRequestError("the request id is not 16 hex digits")
    if core.is_known_id(id):  # one that was answered too: its engines may still know it, by another statement
        raise InvalidRequestError("the request id is not new")
    if not 0 < budget_ms <= MAX_BUDGET_MS:  # also no NaN
        raise InvalidRequestError("the budget is out of range")
    if not (0 <= est_ms <= MAX_ESTIMATE and 0 <= ram_mb <= MAX_ESTIMATE):
        raise InvalidRequestError("an estimate is out of range")
    if told.idempotency != "dedup":
        idempotency_key = ""
    elif not idempotency_key:  # without it an engine could not tell a repeat, and repeats are what the class allows
        raise InvalidRequestError("the key is missing: this class has one")
    if len(idempotency_key) > 256 or not NAME.issuperset(idempotency_key):
        raise InvalidRequestError("the key holds what a key can't")
    if tenant not in core.tenants:
        raise InvalidRequestError("the tenant is not known")
    if not is_text(statement):  # engines answer 'error' to what they can't use, or close on it
        raise InvalidRequestError("the statement is not text")
    return Query(
        id,
        cls,
        statement,
        deadline(core.clock.now(), reply, int(budget_ms * 1_000)),
        reply,
        tag=tag,
        tenant=tenant,
        idempotency_key=idempotency_key,
        estimate=int(est_ms * 1_000),
        memory_mb=ram_mb,
        tables=table_group(statement),
    )


def deadline(now: int, reply: Reply, budget: int) -> int:
    """When a client that waits for `budget` has waited for it. What was not read for a while may have been sent at any
    time of it, and more must not be passed on than the client has left."""
    sent = reply.stale_since if reply.stale else now
    return max(sent + budget, now + 1)


def is_text(statement: bytes) -> bool:
    if not statement.strip() or b"\0" in statement:
        return False
    try:
        statement.decode()
    except UnicodeDecodeError:
        return False
    return True


class ClientTimeouts(NamedTuple):
    """How long a front waits: for a first message, for one that has begun, between messages, and for a client to
    take what is written to it."""

    first: int
    half: int
    idle: int
    unread: int


class Client(Reply):
    """One client's connection, as far as the rules of service go; the front's protocol fills in the rest.

    `half_since` is when a message began that has not come whole, `choked_since` when the client stopped taking what
    is written to it, `closed_at` when the writing side was closed; 0: it is not so.
    """

    marks = False  # whether it can tell of an answer that it is partial: see `core.request.Reply`

    def __init__(self, front: "Front"):
        self.front, self.core, self.counters = front, front.core, front.counters
        self.used = front.core.clock.now()  # when it connected, or last sent or got a whole message
        self.half_since = self.choked_since = self.held_until = self.closed_at = 0
        self.unread, self._paused_at = False, 0  # whether reading has stopped, and when that last changed
        self.spoke = self.ending = False
        self.faults = 0

    def busy(self) -> bool:
        """Whether a request is open on it."""
        raise NotImplementedError

    def end(self) -> None:
        """Take no more from now on, answer what is open, then close."""
        raise NotImplementedError

    def drain(self) -> None:
        """The process ends: take what is on its way, answer it, then close. As `end` where the protocol has no
        better way."""
        self.end()

    def late(self, why: str) -> None:
        """Tell the client as its protocol words it, then end the connection."""
        raise NotImplementedError

    def came(self, whole: bool, begun: bool) -> None:
        """Bytes came: a `whole` message among them or not, and after it one has `begun` or not."""
        now = self.core.clock.now()
        if whole:
            self.spoke, self.used = True, now
        self.half_since = 0 if not begun else now if whole or not self.half_since else self.half_since

    def close(self) -> None:
        """All that is owed is written. Only the writing side is closed: a whole close over bytes that lie unread is
        a reset, and that eats the answer written before it. What still comes is read and dropped until the client
        closes too; `Front.look` bounds the wait."""
        if not self.closed_at and self in self.front.connections:
            self.ending, self.closed_at = True, self.core.clock.now()
            log.debug("client_closed", client=self, reason="all is answered")
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()

    def __str__(self) -> str:
        """Where the client connects from, for the log."""
        peer = self.transport.getPeer()
        return f"{peer.host}:{peer.port}"

    def cut(self) -> None:
        """Close at once, with nothing owed."""
        self.transport.abortConnection()

    # a client that does not read its answers is not read from either, so that neither buffer grows without end
    def pauseProducing(self) -> None:
        self.choked_since = self.core.clock.now()
        self.hear()

    def resumeProducing(self) -> None:
        self.choked_since = 0
        self.hear()

    def stopProducing(self) -> None:
        pass

    def fault(self) -> None:
        """The client has sent what can't be used, and been told. A few times cost nothing; then it is read from
        only after a while, which doubles: at full speed such clients took half of the one core."""
        self.faults += 1
        over = self.faults - self.front.limits.free_faults
        if over > 0 and not self.ending:
            now, waits = self.core.clock.now(), self.held_until
            wait = min(self.front.limits.penance << min(over - 1, 10), self.front.limits.penance_most)
            self.held_until = now + wait
            if now >= waits:  # else it is held already, and its timer looks again
                self.counters.add("clients_slowed")
                self.core.timers.at(self.held_until, self._held)
                self.hear()

    def _held(self) -> None:
        if self.core.clock.now() < self.held_until:
            self.core.timers.at(self.held_until, self._held)
        else:
            self.hear()

    def held(self) -> bool:
        """Whether it is not to be read from now."""
        return not self.ending and (self.choked_since > 0 or self.core.clock.now() < self.held_until)

    def hear(self) -> None:
        """The one place that stops reading and goes on with it."""
        if self.held() != self.unread:
            if not self.unread and not self.stale:
                self.stale_since = self.core.clock.now()
            self.stale = self.stale or self.reading_paused  # until all that lies unread is read
            self.unread, self._paused_at = not self.unread, self.core.clock.now()
            (self.transport.pauseProducing if self.unread else self.transport.resumeProducing)()

    @property
    def reading_paused(self) -> bool:
        """Whether a cancel or the client's close may have gone unseen. One answer that fills the buffer stops the
        reading for a turn, which tells nothing."""
        return self.unread and self.core.clock.now() - self._paused_at > self.front.limits.unread_turn


class Front(protocol.ServerFactory):
    """A listening side: its connections, how many there may be, and whether another process takes its place."""

    noisy = False

    def __init__(
        self,
        make: Callable[["Front"], protocol.Protocol],
        core: Coordinator,
        limits: Limits,
        counters: Counters,
        most: int,
        patience: ClientTimeouts,
    ):
        self._make, self._most, self._patience = make, most, patience
        self.core, self.limits, self.counters = core, limits, counters
        self.connections: set[Client] = set()
        self._leaving: set[Client] = set()  # cut, but their descriptors are not free yet
        self.succeeded = False  # the process ends, and another one serves on the same address
        core.timers.at(core.clock.now() + limits.look, self.look)

    def buildProtocol(self, addr: object) -> protocol.Protocol | None:
        full = len(self.connections) >= self._most
        if full and (len(self._leaving) >= self.limits.leaving or not self._make_room()):
            self.counters.add("clients_refused")
            log.debug("client_refused", reason="no descriptor is left for it")
            return None  # closed at once: descriptors for engines are kept free
        return self._make(self)

    def _make_room(self) -> bool:
        """Cut the client that can be missed most: whose connection is closed on this side, then who never said a
        word, then the longest idle."""
        able = [client for client in self.connections if not client.busy()]
        if able:
            self._cut(
                min(able, key=lambda client: (not client.closed_at, client.spoke, client.used)), "clients_evicted"
            )
        return bool(able)

    def _cut(self, client: Client, counter: str) -> None:
        self.counters.add(counter)
        log.debug("client_cut", client=client, reason=counter, busy=client.busy())
        self.connections.discard(client)
        self._leaving.add(client)
        client.cut()

    def connected(self, client: Client) -> None:
        self.counters.add("clients_accepted")
        log.debug("client_connected", client=client)
        self.connections.add(client)

    def lost(self, client: Client) -> None:
        self.counters.add("clients_closed")
        self.connections.discard(client)
        self._leaving.discard(client)

    def look(self) -> None:
        """Close who keeps the front waiting. By the time now, but in the next turn of the loop: what lies unread
        in the kernel by now is read first, and may be just what was waited for."""
        now = self.core.clock.now()
        self.core.timers.at(now + self.limits.look, self.look)
        self.core.timers.at(now, self._end_late, now)

    def _end_late(self, now: int) -> None:
        """Half of the room is kept free of idlers, for many may come at once."""
        limits, patience = self.limits, self._patience
        spare = sum(not client.ending for client in self.connections) - self._most // 2
        for client in sorted(self.connections, key=lambda client: client.used):
            if client.choked_since and now - client.choked_since >= patience.unread:
                self._cut(client, "clients_unread")
            elif client.closed_at and now - client.closed_at >= limits.linger:
                self._cut(client, "clients_lingering")
            elif client.ending:
                continue
            elif client.half_since and now - client.half_since >= patience.half:
                self.counters.add("clients_half")
                log.debug("client_ended", client=client, reason="clients_half")
                client.late("the message did not come whole in time")
            elif client.busy():
                continue
            elif not client.spoke and now - client.used >= patience.first:
                self.counters.add("clients_silent")
                log.debug("client_ended", client=client, reason="clients_silent")
                client.late("nothing came in time")
            elif now - client.used >= (limits.idle_crowded if spare > 0 else patience.idle):
                self.counters.add("clients_idle")
                log.debug("client_ended", client=client, reason="clients_idle")
                client.end()
            else:
                continue
            spare -= 1

    def drain(self) -> None:
        """Close every connection once what is open and on its way there is answered."""
        for connection in list(self.connections):
            connection.drain()

    def end(self) -> None:
        """Close every connection: what comes now is not taken."""
        for connection in list(self.connections):
            connection.end()
