"""Probes over RESP: `there TAG` on one kept connection to each engine that this gateway probes; `TAG alive` comes back.

A connection apart from those that carry attempts: a probe must not wait behind pages, nor be lost with one that breaks.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Protocol

from rackhub.core.source import Address, EndpointSnapshot
from rackhub.core.timers import Clock
from rackhub.limits import Limits
from rackhub.net.dial import OneDial
from rackhub.net.resp_words import command

MS = 1_000
OPEN = 64  # connections at most, and probes without an answer
PATIENCE = 300 * MS  # for the answer, the dial too: below the module's own time for a probe
IDLE = 5_000 * MS  # not asked for so long, a connection closes
MOST = 256  # bytes unread: an answer is 30
Done = Callable[[str, int, dict[str, float]], None]


class Probe(Protocol):
    """One connection to one engine, and the probe that waits on it; there is one at most."""

    transport: Any

    def __init__(self, prober: "Prober", engine: str, address: Address):
        self.prober, self.engine, self.address = prober, engine, address
        self.up = self.closed = False
        self._buffer, self._tag, self._sent, self.last_used = b"", 0, 0, prober.clock.now()
        self._done: Done | None = None
        self._late: Any = None

    def send(self, done: Done) -> None:
        """A second one while the first waits is not sent: the first one's end tells as much."""
        if self._done is not None:
            return
        self._done, self._sent = done, self.prober.clock.now()
        self.last_used = self._sent
        self._late = self.prober.reactor.callLater(PATIENCE / 1e6, self._too_late)
        if self.up:
            self._write()

    def drop(self, reason: str = "") -> None:
        """End it. Let go of for its own sake, not the engine's, it says nothing of the engine: its probe has no end."""
        self.closed = True
        if self.up:
            self.transport.abortConnection()
        self.complete(reason)

    def complete(self, reason: str) -> None:
        done, self._done = self._done, None
        if self._late is not None and self._late.active():
            self._late.cancel()
        if done is not None and reason:
            done(reason, self.prober.clock.now() - self._sent, {})

    def _too_late(self) -> None:
        """Nothing came: what still may come on this connection is of no more use, and the next probe dials anew."""
        self.prober.remove(self)
        self.drop("LATE")

    def _write(self) -> None:
        self._tag += 1
        self.transport.writeSequence(command(b"there", b"%d" % self._tag))

    def connectionMade(self) -> None:
        if self.closed:
            return self.drop()
        self.up = True
        self.transport.setTcpNoDelay(True)
        if self._done is not None:
            self._write()

    def dataReceived(self, data: bytes) -> None:
        self._buffer += data
        answer = b"".join(command(b"%d" % self._tag, b"alive"))
        if self._buffer == answer:
            self._buffer = b""
            self.complete("GOOD")
        elif len(self._buffer) > MOST or not answer.startswith(self._buffer):
            self.prober.remove(self)  # whatever speaks here is no engine of this protocol
            self.drop("NOCONN")

    def connectionLost(self, reason: object = None) -> None:
        self.up = False
        self.prober.remove(self)
        if not self.closed:
            self.closed = True
            self.complete("NOCONN")


class Prober:
    """Called with an engine and who gets the result: GOOD, LATE or NOCONN, microseconds, and an empty load report."""

    def __init__(self, reactor: Any, clock: Clock, limits: Limits):
        self.reactor, self.clock, self._limits = reactor, clock, limits
        self._addresses: dict[str, Address] = {}
        self._probes: dict[str, Probe] = {}

    def listed(self, listing: EndpointSnapshot) -> None:
        """An engine that is gone from the list, or has another address, is let go of."""
        self._addresses = dict(listing.addresses)
        for engine, probe in list(self._probes.items()):
            if self._addresses.get(engine) != probe.address:
                self.remove(probe)
                probe.drop()

    def __call__(self, engine: str, done: Done) -> None:
        edge = self.clock.now() - IDLE
        for other in [other for other in self._probes.values() if other.last_used < edge]:  # others probe it now
            self.remove(other)
            other.drop()
        probe, address = self._probes.get(engine), self._addresses.get(engine)
        if address is None:
            return
        if probe is None:
            if len(self._probes) >= OPEN:  # the one that was asked first makes way
                self._probes.pop(next(iter(self._probes))).drop()
            probe = self._probes[engine] = Probe(self, engine, address)
            probe.send(done)
            self.reactor.connectTCP(
                *address, OneDial(probe, probe.connectionLost), timeout=self._limits.dial_timeout / 1e6
            )
        else:
            probe.send(done)

    def remove(self, probe: Probe) -> None:
        if self._probes.get(probe.engine) is probe:
            del self._probes[probe.engine]

    def stop(self) -> None:
        for probe in list(self._probes.values()):
            probe.drop()
        self._probes.clear()
