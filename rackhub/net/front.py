"""The listening side of a front: its connections, their maximum number, and the client timeouts.

Every client is answered, rejected or disconnected in a bounded time, and none keeps its file descriptor for ever. A
client that sends nothing, stops within a message, idles or does not read its answers is disconnected. When descriptors
run short, the clients that have idled longest are evicted. Reading slows down for a client that keeps sending invalid
messages (see `client`).
"""

import enum
import heapq
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import protocol

from rackhub import logs
from rackhub.core.coordinator import Coordinator
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.buffer_budget import BufferBudget
from rackhub.net.client import Client
from rackhub.net.input_scheduler import InputScheduler

log = logs.logger(__name__)


class ClientTimeouts(NamedTuple):
    """Maximum times that a front waits for a client, in microseconds."""

    first_message: int  # maximum time from connecting to the first message
    message: int  # maximum time from the first byte of a message to its last
    idle: int  # maximum time between messages
    write: int  # maximum time with a full send buffer


def input_scheduler(core: Coordinator, limits: Limits) -> InputScheduler:
    """Return a scheduler of received messages, whose iterations are those of the core's timers."""

    def call_in_next_iteration(call: Callable[[], None]) -> None:
        core.timers.call_at(core.clock.now(), call)

    return InputScheduler(call_in_next_iteration, limits.max_input_steps)


class EvictionRank(enum.IntEnum):
    """Which clients without an open request are evicted first when descriptors run short."""

    CLOSED = 0  # this side is closed, only the client's close is awaited
    HALF_SENT = 1  # has never completed a message, and has begun one
    SILENT = 2
    IDLE = 3  # has sent messages before
    NEW = 4  # has just connected and may not have been read yet: its request would be lost


def _eviction_rank(client: Client) -> EvictionRank:
    if client.closed_at:
        return EvictionRank.CLOSED
    if client.has_sent_message:
        return EvictionRank.IDLE
    if client.incomplete_since:
        return EvictionRank.HALF_SENT
    return EvictionRank.NEW if client.awaits_first_read else EvictionRank.SILENT


class Front(protocol.ServerFactory):
    """The listening side of one front: its connections, their maximum number, and their timeouts."""

    noisy = False

    def __init__(
        self,
        make: Callable[["Front"], protocol.Protocol],
        core: Coordinator,
        limits: Limits,
        counters: Counters,
        max_connections: int,
        timeouts: ClientTimeouts,
        scheduler: InputScheduler | None = None,
    ):
        """`make` builds the protocol object of a new connection; `scheduler` is shared with other fronts."""
        self._make = make
        self._max_connections = max_connections
        self._timeouts = timeouts
        self.core = core
        self.limits = limits
        self.counters = counters
        self.connections: set[Client] = set()
        self._aborted: set[Client] = set()  # aborted connections whose descriptors are not free yet
        self.input = scheduler or input_scheduler(core, limits)
        self.buffers = BufferBudget(limits.max_client_buffer_bytes, self._abort_over_budget)
        self.resume_accepting: Callable[[], None] | None = None  # set by the listening port
        self._accepting_stopped = False
        self._queued_since = 0  # time since which connections may have waited to be accepted; 0: none has
        self.replaced = False  # set when the process ends and another one serves on the same address
        core.timers.call_at(core.clock.now() + limits.client_check_interval, self.check_timeouts)

    def buildProtocol(self, addr: object) -> protocol.Protocol | None:  # noqa: N802
        """Accept a connection, or close it if there are too many: engines need the other descriptors (Twisted)."""
        if self._is_full() and (not self._may_evict() or not self._evict_client()):
            self.counters.add("clients_refused")
            log.debug("client_rejected", reason="too many connections, and none can be evicted")
            return None
        return self._make(self)

    def _is_full(self) -> bool:
        return len(self.connections) >= self._max_connections

    def _may_evict(self) -> bool:
        """Return whether one more aborted connection may wait for its end, which frees its descriptor."""
        return len(self._aborted) < self.limits.max_aborted_connections

    # ---- the gate of the listening port: connections without room wait in the kernel's queue

    def can_accept(self) -> bool:
        """Return whether there is room for one more connection, if need be after evicting one."""
        if not self._is_full():
            return True
        return self._may_evict() and self._find_evictable() is not None

    def accepting_stopped(self) -> None:
        """Record that connections may wait in the queue, and accept them as soon as there is room."""
        self.counters.add("accepts_stopped")
        now = self.core.clock.now()
        self._queued_since = self._queued_since or now
        if not self._accepting_stopped:
            self._accepting_stopped = True
            self.core.timers.call_at(now + self.limits.accept_retry_interval, self._retry_accepting)

    def queue_drained(self) -> None:
        """Record that no connection waits in the queue."""
        self._queued_since = 0

    def input_handled(self, client: Client) -> None:
        """Accept waiting connections if there is room by the client, whose input has been handled, for one of them."""
        if self._accepting_stopped and not client.is_in_use():
            self._accept_if_room()

    def _retry_accepting(self) -> None:
        self._accept_if_room()
        if self._accepting_stopped:
            now = self.core.clock.now()
            self.core.timers.call_at(now + self.limits.accept_retry_interval, self._retry_accepting)

    def _accept_if_room(self) -> None:
        if self._accepting_stopped and self.resume_accepting is not None and self.can_accept():
            self._accepting_stopped = False
            self.resume_accepting()

    def _evict_client(self) -> bool:
        """Abort one client that may be evicted; returns False if there is none."""
        evicted = self._find_evictable()
        if evicted is None:
            return False
        self._abort(evicted, "clients_evicted")
        return True

    def _find_evictable(self) -> Client | None:
        """Return the client to evict first, or None: the others have a request, or may be about to send one.

        They come in the order of `EvictionRank`, those that are idle for the longest time first. A connection that only
        waits for its client's close goes in any case.
        """
        candidates = [
            (_eviction_rank(client), client.last_used, number, client)
            for number, client in enumerate(self.connections)
            if not client.has_open_request()
        ]
        heapq.heapify(candidates)
        while candidates:
            rank, _, _, client = heapq.heappop(candidates)
            if rank is EvictionRank.CLOSED or not client.is_in_use():
                return client
        return None

    def end_gone(self, client: Client) -> None:
        """End the connection of a client that has closed it, without what it has sent and nobody has handled yet."""
        self.counters.add("clients_gone")
        log.debug("client_gone", client=client, reason="closed before its messages were handled")
        client.discard_buffers()
        client.input_pending = False
        client.abort()

    def _abort(self, client: Client, counter: str) -> None:
        self.counters.add(counter)
        log.debug("client_aborted", client=client, reason=counter, busy=client.has_open_request())
        self.connections.discard(client)
        self._aborted.add(client)
        client.abort()

    def _abort_over_budget(self, client: Client) -> None:
        self._abort(client, "clients_over_budget")
        client.discard_buffers()

    def connected(self, client: Client) -> None:
        """Add an established connection."""
        self.counters.add("clients_accepted")
        log.debug("client_connected", client=client)
        self.connections.add(client)
        if self._is_full():
            client.expect_first_read()
        if self._queued_since:
            client.record_queued_since(self._queued_since)

    def lost(self, client: Client) -> None:
        """Remove a closed connection."""
        self.counters.add("clients_closed")
        client.connection_ended()
        self.buffers.remove(client)
        self.input.remove(client)
        self.connections.discard(client)
        self._aborted.discard(client)
        self._accept_if_room()

    def check_timeouts(self) -> None:
        """Disconnect the clients that have timed out. Called periodically.

        The disconnection is deferred to the next event-loop iteration and uses the present time: input that the kernel
        holds is read first and may be the awaited message.
        """
        now = self.core.clock.now()
        self.core.timers.call_at(now + self.limits.client_check_interval, self.check_timeouts)
        self.core.timers.call_at(now, self._end_timed_out, now)

    def _end_timed_out(self, now: int) -> None:
        """Apply the timeouts, with a shorter idle timeout while more than half of the connections are in use.

        The other half is kept free, as many clients may connect at once.
        """
        excess = sum(not client.ending for client in self.connections) - self._max_connections // 2
        for client in sorted(self.connections, key=lambda client: client.last_used):
            idle_timeout = self.limits.crowded_idle_timeout if excess > 0 else self._timeouts.idle
            if self._end_if_timed_out(client, now, idle_timeout):
                excess -= 1

    def _end_if_timed_out(self, client: Client, now: int, idle_timeout: int) -> bool:
        timeouts = self._timeouts
        if client.write_blocked_since and now - client.write_blocked_since >= timeouts.write:
            self._abort(client, "clients_unread")
        elif client.closed_at and now - client.closed_at >= self.limits.linger_timeout:
            self._abort(client, "clients_lingering")
        elif client.ending:
            return False
        elif client.incomplete_since:  # a client that is sending a message does not time out as silent or idle
            if now - client.incomplete_since < timeouts.message:
                return False
            self._count_ended(client, "clients_half")
            client.end_with_error("timed out in the middle of a message")
        elif client.has_open_request():
            return False
        elif not client.has_sent_message and now - client.last_used >= timeouts.first_message:
            self._count_ended(client, "clients_silent")
            client.end_with_error("timed out before the first message")
        elif now - client.last_used >= idle_timeout:
            self._count_ended(client, "clients_idle")
            client.end()
        else:
            return False
        return True

    def _count_ended(self, client: Client, counter: str) -> None:
        self.counters.add(counter)
        log.debug("client_ended", client=client, reason=counter)

    def drain(self) -> None:
        """Close every connection once its requests, open or on their way, are answered."""
        for connection in list(self.connections):
            connection.drain()

    def end(self) -> None:
        """Close every connection once its open requests are answered; further requests are discarded."""
        for connection in list(self.connections):
            connection.end()
