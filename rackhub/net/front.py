"""What the fronts share: the listening side, the client timeouts, and the validation of requests.

Every client, however it behaves, is answered, rejected or disconnected in time, and none holds a descriptor for good:
one that sends nothing, stops in the middle of a message, idles or does not read is disconnected, and where descriptors
run short the clients that have idled longest are evicted. A client that sends invalid messages again and again is read
from more and more slowly.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet import protocol

from rackhub import logs
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Query, Reply
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.statement import table_group

log = logs.logger(__name__)

KEY_CHARACTERS = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+")
HEX_DIGITS = frozenset("0123456789abcdef")
REQUEST_ID_LENGTH = 16
MAX_KEY_LENGTH = 256
MAX_BUDGET_MS = 3_600_000  # no class has a longer deadline
MAX_ESTIMATE = 1e9  # of milliseconds, and of MB
MAX_PENALTY_DOUBLINGS = 10


class InvalidRequestError(ValueError):
    """A request with an invalid value; the text names the value at fault, and the client receives it."""


def build_query(
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
    """Return the validated request of a client; raises `InvalidRequestError`."""
    _check_request_id(core, id)
    _check_numbers(budget_ms, est_ms, ram_mb)
    key = _checked_key(core.classes[cls].idempotency, idempotency_key)
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
        idempotency_key=key,
        estimate=int(est_ms * 1_000),
        memory_mb=ram_mb,
        tables=table_group(statement),
    )


def _check_request_id(core: Coordinator, id: str) -> None:
    """Ids are written into the engines' protocol as they are, so their characters are restricted."""
    if len(id) != REQUEST_ID_LENGTH or not HEX_DIGITS.issuperset(id):
        raise InvalidRequestError("the request id is not 16 hex digits")
    if core.is_known_id(id):  # also one that was answered: engines may still know it, with another statement
        raise InvalidRequestError("the request id is not new")


def _check_numbers(budget_ms: float, est_ms: float, ram_mb: float) -> None:
    """NaN fails every comparison, and with it this check."""
    if not 0 < budget_ms <= MAX_BUDGET_MS:
        raise InvalidRequestError("the budget is out of range")
    if not (0 <= est_ms <= MAX_ESTIMATE and 0 <= ram_mb <= MAX_ESTIMATE):
        raise InvalidRequestError("an estimate is out of range")


def _checked_key(idempotency: str, key: str) -> str:
    """Return the idempotency key that engines get: none for a class without keys."""
    if idempotency != "dedup":
        return ""
    if not key:  # without it an engine could not recognise a retry, and retries are what the class allows
        raise InvalidRequestError("the key is missing: this class has one")
    if len(key) > MAX_KEY_LENGTH or not KEY_CHARACTERS.issuperset(key):
        raise InvalidRequestError("the key holds what a key can't")
    return key


def deadline(now: int, reply: Reply, budget: int) -> int:
    """Return when a client's time of `budget` microseconds is over.

    What was not read for a while may have been sent at any time of that, and engines must not be given more time than
    the client has left.
    """
    sent_at = reply.stale_since if reply.stale else now
    return max(sent_at + budget, now + 1)


def is_text(statement: bytes) -> bool:
    """Whether a statement is UTF-8 text without NUL that is not blank."""
    if not statement.strip() or b"\0" in statement:
        return False
    try:
        statement.decode()
    except UnicodeDecodeError:
        return False
    return True


class ClientTimeouts(NamedTuple):
    """How long a front waits for a client, in microseconds."""

    first: int  # for the first message
    half: int  # for the rest of a message
    idle: int  # between messages
    unread: int  # for the client to read what is written to it


class Client(Reply):
    """One client's connection: timeouts, flow control and the half-close. The front's protocol fills in the rest.

    `incomplete_since` is when a message began that is not complete yet, `write_blocked_since` when the client stopped
    reading what is written to it, `closed_at` when the writing side was closed; 0: it is not so.
    """

    marks = False  # whether it can answer that a result is partial: see `core.request.Reply`
    transport: Any  # Twisted's TCP connection

    def __init__(self, front: "Front"):
        self.front = front
        self.core = front.core
        self.counters = front.counters
        self.used = front.core.clock.now()  # when it connected, or last sent or received a complete message
        self.incomplete_since = 0
        self.write_blocked_since = 0
        self.penalty_until = 0  # not read from before then
        self.closed_at = 0
        self.reading_stopped = False
        self._reading_changed_at = 0
        self.has_sent_message = False
        self.ending = False
        self.faults = 0  # invalid messages received

    def busy(self) -> bool:
        """Whether a request is open on it."""
        raise NotImplementedError

    def end(self) -> None:
        """Accept no more from now on, answer what is open, then close."""
        raise NotImplementedError

    def drain(self) -> None:
        """Close gracefully as the process ends: accept what is on its way, answer it, then close.

        The same as `end` where the protocol has no better way.
        """
        self.end()

    def late(self, why: str) -> None:
        """Answer, as the protocol words it, that the client was too slow, then end the connection."""
        raise NotImplementedError

    def record_received(self, complete: bool, begun: bool) -> None:
        """Record that bytes came: whether a `complete` message was among them, and whether one has `begun` after it."""
        now = self.core.clock.now()
        if complete:
            self.has_sent_message = True
            self.used = now
        if not begun:
            self.incomplete_since = 0
        elif complete or not self.incomplete_since:
            self.incomplete_since = now

    def close(self) -> None:
        """Close the writing side, once all that is owed is written.

        A full close over bytes that are not read yet is a reset, which discards the answer written before it. What
        still comes is read and discarded until the client closes too; `Front.check_timeouts` bounds the wait.
        """
        if not self.closed_at and self in self.front.connections:
            self.ending = True
            self.closed_at = self.core.clock.now()
            log.debug("client_closed", client=self, reason="all is answered")
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()

    def __str__(self) -> str:
        """Return the client's address, for the log."""
        peer = self.transport.getPeer()
        return f"{peer.host}:{peer.port}"

    def cut(self) -> None:
        """Close at once, with nothing owed."""
        self.transport.abortConnection()

    # ---- flow control: a client that does not read is not read from either, which bounds both buffers

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading while the client does not read its answers (Twisted)."""
        self.write_blocked_since = self.core.clock.now()
        self.update_reading()

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on reading, as the client has read its answers (Twisted)."""
        self.write_blocked_since = 0
        self.update_reading()

    def stopProducing(self) -> None:  # noqa: N802
        """Ignore the loss of the connection, which `connectionLost` handles (Twisted)."""

    def record_fault(self) -> None:
        """Record an invalid message, which was answered.

        A few have no consequence; after each further one the client is not read from for a while, which doubles, as
        clients that send them at full speed would take most of the CPU.
        """
        self.faults += 1
        excess = self.faults - self.front.limits.free_faults
        if excess <= 0 or self.ending:
            return
        now = self.core.clock.now()
        penalised = now < self.penalty_until  # then its timer is running
        doubled = self.front.limits.penance << min(excess - 1, MAX_PENALTY_DOUBLINGS)
        self.penalty_until = now + min(doubled, self.front.limits.penance_most)
        if not penalised:
            self.counters.add("clients_slowed")
            self.core.timers.at(self.penalty_until, self._check_penalty)
            self.update_reading()

    def _check_penalty(self) -> None:
        if self.core.clock.now() < self.penalty_until:
            self.core.timers.at(self.penalty_until, self._check_penalty)
        else:
            self.update_reading()

    def should_stop_reading(self) -> bool:
        """Whether it is not to be read from now."""
        return not self.ending and (self.write_blocked_since > 0 or self.core.clock.now() < self.penalty_until)

    def update_reading(self) -> None:
        """Stop reading or go on, as it should be now. Nothing else pauses or resumes the transport."""
        if self.should_stop_reading() == self.reading_stopped:
            return
        if not self.reading_stopped and not self.stale:
            self.stale_since = self.core.clock.now()
        self.stale = self.stale or self.reading_paused  # until all that the kernel has buffered is read
        self.reading_stopped = not self.reading_stopped
        self._reading_changed_at = self.core.clock.now()
        if self.reading_stopped:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    @property
    def reading_paused(self) -> bool:  # type: ignore[override]
        """Whether a cancel or the client's close may be unread.

        One answer that fills the buffer stops the reading for an event-loop iteration, which does not count.
        """
        stopped_for = self.core.clock.now() - self._reading_changed_at
        return self.reading_stopped and stopped_for > self.front.limits.unread_turn


class Front(protocol.ServerFactory):
    """A listening side: its connections, their maximum, and their timeouts."""

    noisy = False

    def __init__(
        self,
        make: Callable[["Front"], protocol.Protocol],
        core: Coordinator,
        limits: Limits,
        counters: Counters,
        max_connections: int,
        timeouts: ClientTimeouts,
    ):
        """`make` builds the protocol of one connection."""
        self._make = make
        self._max_connections = max_connections
        self._timeouts = timeouts
        self.core = core
        self.limits = limits
        self.counters = counters
        self.connections: set[Client] = set()
        self._aborted: set[Client] = set()  # their descriptors are not free yet
        self.succeeded = False  # whether the process ends while another one serves on the same address
        core.timers.at(core.clock.now() + limits.look, self.check_timeouts)

    def buildProtocol(self, addr: object) -> protocol.Protocol | None:  # noqa: N802
        """Accept a connection, or close it at once: descriptors for engines are kept free (Twisted)."""
        full = len(self.connections) >= self._max_connections
        if full and (len(self._aborted) >= self.limits.leaving or not self._evict_client()):
            self.counters.add("clients_refused")
            log.debug("client_rejected", reason="no descriptor is left for it")
            return None
        return self._make(self)

    def _evict_client(self) -> bool:
        """Abort the least useful client without an open request; False: there is none.

        First one that is closed on this side, then one that never sent a message, then the one that idled longest.
        """
        candidates = [client for client in self.connections if not client.busy()]
        if not candidates:
            return False
        evicted = min(candidates, key=lambda client: (not client.closed_at, client.has_sent_message, client.used))
        self._abort(evicted, "clients_evicted")
        return True

    def _abort(self, client: Client, counter: str) -> None:
        self.counters.add(counter)
        log.debug("client_aborted", client=client, reason=counter, busy=client.busy())
        self.connections.discard(client)
        self._aborted.add(client)
        client.cut()

    def connected(self, client: Client) -> None:
        """Register a connection that is established."""
        self.counters.add("clients_accepted")
        log.debug("client_connected", client=client)
        self.connections.add(client)

    def lost(self, client: Client) -> None:
        """Forget a connection that is closed."""
        self.counters.add("clients_closed")
        self.connections.discard(client)
        self._aborted.discard(client)

    def check_timeouts(self) -> None:
        """Disconnect the clients that have timed out. Called periodically.

        By the time now, but in the next event-loop iteration: what the kernel has buffered by now is read first, and
        may be just what was waited for.
        """
        now = self.core.clock.now()
        self.core.timers.at(now + self.limits.look, self.check_timeouts)
        self.core.timers.at(now, self._end_timed_out, now)

    def _end_timed_out(self, now: int) -> None:
        """Half of the connections are kept free of idle clients, for many may connect at once."""
        excess = sum(not client.ending for client in self.connections) - self._max_connections // 2
        for client in sorted(self.connections, key=lambda client: client.used):
            idle_timeout = self.limits.idle_crowded if excess > 0 else self._timeouts.idle
            if self._end_if_timed_out(client, now, idle_timeout):
                excess -= 1

    def _end_if_timed_out(self, client: Client, now: int, idle_timeout: int) -> bool:
        timeouts = self._timeouts
        if client.write_blocked_since and now - client.write_blocked_since >= timeouts.unread:
            self._abort(client, "clients_unread")
        elif client.closed_at and now - client.closed_at >= self.limits.linger:
            self._abort(client, "clients_lingering")
        elif client.ending:
            return False
        elif client.incomplete_since and now - client.incomplete_since >= timeouts.half:
            self._count_ended(client, "clients_half")
            client.late("the message did not come whole in time")
        elif client.busy():
            return False
        elif not client.has_sent_message and now - client.used >= timeouts.first:
            self._count_ended(client, "clients_silent")
            client.late("nothing came in time")
        elif now - client.used >= idle_timeout:
            self._count_ended(client, "clients_idle")
            client.end()
        else:
            return False
        return True

    def _count_ended(self, client: Client, counter: str) -> None:
        self.counters.add(counter)
        log.debug("client_ended", client=client, reason=counter)

    def drain(self) -> None:
        """Close every connection once what is open and on its way there is answered."""
        for connection in list(self.connections):
            connection.drain()

    def end(self) -> None:
        """Close every connection once what is open is answered: what comes now is discarded."""
        for connection in list(self.connections):
            connection.end()
