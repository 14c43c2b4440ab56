"""The listening side of a front: its connections, their maximum, and the client timeouts.

Every client, however it behaves, is answered, rejected or disconnected in time, and none holds a descriptor for good:
one that sends nothing, stops in the middle of a message, idles or does not read is disconnected, and where descriptors
run short the clients that have idled longest are evicted. A client that sends invalid messages again and again is read
from more and more slowly (see `client`).
"""

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import protocol

from rackhub import logs
from rackhub.core.coordinator import Coordinator
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.client import Client

log = logs.logger(__name__)


class ClientTimeouts(NamedTuple):
    """How long a front waits for a client, in microseconds."""

    first: int  # for the first message
    half: int  # for the rest of a message
    idle: int  # between messages
    unread: int  # for the client to read what is written to it


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
        self.replaced = False  # whether the process ends while another one serves on the same address
        core.timers.call_at(core.clock.now() + limits.client_check_interval, self.check_timeouts)

    def buildProtocol(self, addr: object) -> protocol.Protocol | None:  # noqa: N802
        """Accept a connection, or close it at once: descriptors for engines are kept free (Twisted)."""
        full = len(self.connections) >= self._max_connections
        if full and (len(self._aborted) >= self.limits.max_aborted_connections or not self._evict_client()):
            self.counters.add("clients_refused")
            log.debug("client_rejected", reason="no descriptor is left for it")
            return None
        return self._make(self)

    def _evict_client(self) -> bool:
        """Abort the least useful client without an open request; False: there is none.

        First one that is closed on this side, then one that never sent a message, then the one that idled longest.
        """
        candidates = [client for client in self.connections if not client.has_open_request()]
        if not candidates:
            return False
        evicted = min(candidates, key=lambda client: (not client.closed_at, client.has_sent_message, client.last_used))
        self._abort(evicted, "clients_evicted")
        return True

    def _abort(self, client: Client, counter: str) -> None:
        self.counters.add(counter)
        log.debug("client_aborted", client=client, reason=counter, busy=client.has_open_request())
        self.connections.discard(client)
        self._aborted.add(client)
        client.abort()

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
        self.core.timers.call_at(now + self.limits.client_check_interval, self.check_timeouts)
        self.core.timers.call_at(now, self._end_timed_out, now)

    def _end_timed_out(self, now: int) -> None:
        """Half of the connections are kept free of idle clients, for many may connect at once."""
        excess = sum(not client.ending for client in self.connections) - self._max_connections // 2
        for client in sorted(self.connections, key=lambda client: client.last_used):
            idle_timeout = self.limits.crowded_idle_timeout if excess > 0 else self._timeouts.idle
            if self._end_if_timed_out(client, now, idle_timeout):
                excess -= 1

    def _end_if_timed_out(self, client: Client, now: int, idle_timeout: int) -> bool:
        timeouts = self._timeouts
        if client.write_blocked_since and now - client.write_blocked_since >= timeouts.unread:
            self._abort(client, "clients_unread")
        elif client.closed_at and now - client.closed_at >= self.limits.linger_timeout:
            self._abort(client, "clients_lingering")
        elif client.ending:
            return False
        elif client.incomplete_since:  # it is writing, so it is neither silent nor idle
            if now - client.incomplete_since < timeouts.half:
                return False
            self._count_ended(client, "clients_half")
            client.end_with_error("the message did not come whole in time")
        elif client.has_open_request():
            return False
        elif not client.has_sent_message and now - client.last_used >= timeouts.first:
            self._count_ended(client, "clients_silent")
            client.end_with_error("nothing came in time")
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
        """Close every connection once what is open and on its way there is answered."""
        for connection in list(self.connections):
            connection.drain()

    def end(self) -> None:
        """Close every connection once what is open is answered: what comes now is discarded."""
        for connection in list(self.connections):
            connection.end()
