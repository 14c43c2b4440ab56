"""Health checks over RESP: `there TAG` on one persistent connection to each engine, answered by `TAG alive`.

The connection is separate from those of attempts, so that a check neither waits behind result pages nor is lost with a
connection that breaks.
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
TIMEOUT = 300 * MS  # of connect and answer together: below the decision module's own timeout
IDLE_TIMEOUT = 5_000 * MS  # of a connection without checks
MAXIMUM_BUFFER = 256  # unread bytes; an answer has 30
Done = Callable[[str, int, dict[str, float]], None]


class Probe(Protocol):
    """One connection to one engine, with at most one check in flight."""

    transport: Any

    def __init__(self, prober: "Prober", engine: str, address: Address):
        self.prober = prober
        self.engine = engine
        self.address = address
        self.up = False
        self.closed = False
        self._buffer = b""
        self._tag = 0
        self._sent = 0
        self.last_used = prober.clock.now()
        self._done: Done | None = None
        self._late: Any = None

    def send(self, done: Done) -> None:
        """Start a check; while one is in flight it is not started, as that one's result is enough."""
        if self._done is not None:
            return
        self._done = done
        self._sent = self.prober.clock.now()
        self.last_used = self._sent
        self._late = self.prober.reactor.callLater(TIMEOUT / 1e6, self._too_late)
        if self.up:
            self._write()

    def drop(self, reason: str = "") -> None:
        """Close the connection; without a reason the check in flight has no result."""
        self.closed = True
        if self.up:
            self.transport.abortConnection()
        self.complete(reason)

    def complete(self, reason: str) -> None:
        """End the check in flight, with a result if there is a reason."""
        done = self._done
        self._done = None
        if self._late is not None and self._late.active():
            self._late.cancel()
        if done is not None and reason:
            done(reason, self.prober.clock.now() - self._sent, {})

    def _too_late(self) -> None:
        """Close the connection after a timeout; the next check connects anew."""
        self.prober.remove(self)
        self.drop("LATE")

    def _write(self) -> None:
        self._tag += 1
        self.transport.writeSequence(encode_command(b"there", b"%d" % self._tag))

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Send the check that waits for the connection."""
        if self.closed:
            self.drop()
            return
        self.up = True
        self.transport.setTcpNoDelay(True)
        if self._done is not None:
            self._write()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Complete the check if the answer is whole, drop the connection if it is invalid."""
        self._buffer += data
        answer = b"".join(encode_command(b"%d" % self._tag, b"alive"))
        if self._buffer == answer:
            self._buffer = b""
            self.complete("GOOD")
        elif len(self._buffer) > MAXIMUM_BUFFER or not answer.startswith(self._buffer):
            self.prober.remove(self)  # the peer does not speak this protocol
            self.drop("NOCONN")

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802 - Twisted's name
        """Complete the check in flight as failed."""
        self.up = False
        self.prober.remove(self)
        if not self.closed:
            self.closed = True
            self.complete("NOCONN")


class Prober:
    """Checks engines; the callback gets GOOD, LATE or NOCONN, microseconds, and an empty load report."""

    def __init__(self, reactor: Any, clock: Clock, limits: Limits):
        self.reactor = reactor
        self.clock = clock
        self._limits = limits
        self._addresses: dict[str, Address] = {}
        self._probes: dict[str, Probe] = {}

    def listed(self, listing: EndpointSnapshot) -> None:
        """Apply a new list: drop connections to engines that are gone or have another address."""
        self._addresses = dict(listing.addresses)
        for engine, probe in list(self._probes.items()):
            if self._addresses.get(engine) != probe.address:
                self.remove(probe)
                probe.drop()

    def __call__(self, engine: str, done: Done) -> None:
        """Check an engine; an unlisted one has no result."""
        self._drop_idle()
        probe = self._probes.get(engine)
        address = self._addresses.get(engine)
        if address is None:
            return
        if probe is None:
            if len(self._probes) >= MAXIMUM_CONNECTIONS:  # the oldest is dropped
                self._probes.pop(next(iter(self._probes))).drop()
            probe = self._probes[engine] = Probe(self, engine, address)
            probe.send(done)
            self.reactor.connectTCP(
                *address, SingleConnectionFactory(probe, probe.connectionLost), timeout=self._limits.dial_timeout / 1e6
            )
        else:
            probe.send(done)

    def _drop_idle(self) -> None:
        edge = self.clock.now() - IDLE_TIMEOUT
        for probe in [probe for probe in self._probes.values() if probe.last_used < edge]:
            self.remove(probe)
            probe.drop()

    def remove(self, probe: Probe) -> None:
        """Forget a connection."""
        if self._probes.get(probe.engine) is probe:
            del self._probes[probe.engine]

    def stop(self) -> None:
        """Close all connections."""
        for probe in list(self._probes.values()):
            probe.drop()
        self._probes.clear()
