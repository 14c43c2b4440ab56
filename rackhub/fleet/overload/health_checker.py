"""Health checks over RESP: `there TAG` on one persistent connection to each engine, answered by `TAG alive`.

The connection is separate from those of attempts, so that a check does not wait behind result pages, and does not
fail when the connection of an attempt breaks.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Protocol

from rackhub.core.source import Address, EndpointSnapshot
from rackhub.core.timers import Clock
from rackhub.limits import Limits
from rackhub.net.dial import SingleConnectionFactory
from rackhub.net.resp_protocol import encode_command

MS = 1_000
MAXIMUM_CONNECTIONS = 64
# timeout of connect and answer together; below the policy module's own timeout of a health check
TIMEOUT = 300 * MS
IDLE_TIMEOUT = 5_000 * MS  # a connection without checks is dropped after this time
MAXIMUM_BUFFER = 256  # maximum number of bytes of an incomplete answer; a whole one has about 30

# receives the result (GOOD, LATE or NOCONN), the elapsed microseconds and a load report
Done = Callable[[str, int, dict[str, float]], None]


class HealthCheckConnection(Protocol):
    """One connection to one engine, with at most one check in flight."""

    transport: Any

    def __init__(self, checker: "HealthChecker", engine: str, address: Address):
        self.checker = checker
        self.engine = engine
        self.address = address
        self.is_connected = False
        self.closed = False
        self._buffer = b""
        self._tag = 0
        self._sent_at = 0
        self.last_used = checker.clock.now()
        self._done: Done | None = None
        self._timeout_call: Any = None

    def send(self, done: Done) -> None:
        """Start a check, unless one is in flight: its result counts for both."""
        if self._done is not None:
            return
        self._done = done
        self._sent_at = self.checker.clock.now()
        self.last_used = self._sent_at
        self._timeout_call = self.checker.reactor.callLater(TIMEOUT / 1e6, self._timed_out)
        if self.is_connected:
            self._write()

    def close(self, reason: str = "") -> None:
        """Close the connection; without a reason the check in flight ends without a result."""
        self.closed = True
        if self.is_connected:
            self.transport.abortConnection()
        self.complete(reason)

    def complete(self, reason: str) -> None:
        """End the check in flight; with a reason, report it as the result."""
        done = self._done
        self._done = None
        if self._timeout_call is not None and self._timeout_call.active():
            self._timeout_call.cancel()
        if done is not None and reason:
            done(reason, self.checker.clock.now() - self._sent_at, {})

    def _timed_out(self) -> None:
        """Close the connection after a timeout; the next check opens a new one."""
        self.checker.remove(self)
        self.close("LATE")

    def _write(self) -> None:
        self._tag += 1
        self.transport.writeSequence(encode_command(b"there", b"%d" % self._tag))

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Send the check that was started before the connection was open."""
        if self.closed:
            self.close()
            return
        self.is_connected = True
        self.transport.setTcpNoDelay(True)
        if self._done is not None:
            self._write()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Complete the check when the answer is whole; drop the connection if the answer is invalid."""
        self._buffer += data
        answer = b"".join(encode_command(b"%d" % self._tag, b"alive"))
        if self._buffer == answer:
            self._buffer = b""
            self.complete("GOOD")
        elif len(self._buffer) > MAXIMUM_BUFFER or not answer.startswith(self._buffer):
            self.checker.remove(self)  # the peer speaks another protocol
            self.close("NOCONN")

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802 - Twisted's name
        """Complete the check in flight with NOCONN."""
        self.is_connected = False
        self.checker.remove(self)
        if not self.closed:
            self.closed = True
            self.complete("NOCONN")


class HealthChecker:
    """Checks engines on one connection to each; the load report of its results is empty."""

    def __init__(self, reactor: Any, clock: Clock, limits: Limits):
        self.reactor = reactor
        self.clock = clock
        self._limits = limits
        self._addresses: dict[str, Address] = {}
        self._connections: dict[str, HealthCheckConnection] = {}

    def endpoints_changed(self, snapshot: EndpointSnapshot) -> None:
        """Apply a new endpoint list: drop connections to engines that are gone or have another address."""
        self._addresses = dict(snapshot.addresses)
        for engine, connection in list(self._connections.items()):
            if self._addresses.get(engine) != connection.address:
                self.remove(connection)
                connection.close()

    def __call__(self, engine: str, done: Done) -> None:
        """Check an engine; for an engine that is not listed, `done` is not called."""
        self._drop_idle()
        connection = self._connections.get(engine)
        address = self._addresses.get(engine)
        if address is None:
            return
        if connection is None:
            if len(self._connections) >= MAXIMUM_CONNECTIONS:  # drop the oldest
                self._connections.pop(next(iter(self._connections))).close()
            connection = self._connections[engine] = HealthCheckConnection(self, engine, address)
            connection.send(done)
            self.reactor.connectTCP(
                *address,
                SingleConnectionFactory(connection, connection.connectionLost),
                timeout=self._limits.dial_timeout / 1e6,
            )
        else:
            connection.send(done)

    def _drop_idle(self) -> None:
        oldest = self.clock.now() - IDLE_TIMEOUT
        for connection in [connection for connection in self._connections.values() if connection.last_used < oldest]:
            self.remove(connection)
            connection.close()

    def remove(self, connection: HealthCheckConnection) -> None:
        """Remove a connection from the table."""
        if self._connections.get(connection.engine) is connection:
            del self._connections[connection.engine]

    def stop(self) -> None:
        """Close all connections."""
        for connection in list(self._connections.values()):
            connection.close()
        self._connections.clear()
