"""The listener of the operators' address: one command per connection, answered within a time limit.

A client that sends nothing, an unterminated line, a line that is too long or bytes that are not text gets NO with the
reason. A connection that the client doesn't close after the response is aborted.
"""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineOnlyReceiver

from rackhub.counters import Counters
from rackhub.limits import SECOND, Limits
from rackhub.ops.commands import CommandHandler


class DelayedCall(Protocol):
    """A pending call of the reactor."""

    def active(self) -> bool:
        """Whether the call has neither been made nor cancelled."""

    def cancel(self) -> object:
        """Cancel the call, which must be active."""


class Reactor(Protocol):
    """The part of Twisted's reactor interface that is used here."""

    def callLater(self, delay: float, call: Callable[..., Any]) -> DelayedCall:  # noqa: N802 - Twisted's names
        """Call `call` after `delay` seconds."""


class StreamTransport(Protocol):
    """The part of Twisted's TCP transport interface that is used here."""

    def write(self, data: bytes) -> object:
        """Send data."""

    def loseConnection(self) -> object:  # noqa: N802
        """Close the connection once all data has been sent."""

    def abortConnection(self) -> object:  # noqa: N802
        """Close the connection at once."""


class OperatorConnection(LineOnlyReceiver):
    """One client's connection: reads a command, writes the response and closes."""

    delimiter = b"\n"
    transport: StreamTransport  # type: ignore[assignment]

    def __init__(self, listener: "OperatorListener"):
        self._listener = listener
        self._responded = False
        self.MAX_LENGTH = listener.limits.max_ops_request_bytes
        self._command_timer: DelayedCall | None = None
        self._abort_timer: DelayedCall | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Start the time limit for the command, or reject a connection over the limit (Twisted)."""
        listener = self._listener
        if len(listener.connections) >= listener.limits.max_ops_connections:
            listener.counters.add("ops_refused")
            self._respond(b"NO too many connections, the limit is %d\n" % listener.limits.max_ops_connections)
            return
        listener.connections.add(self)
        self._command_timer = listener.reactor.callLater(
            listener.limits.ops_request_timeout / SECOND, self._command_timed_out
        )

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Execute the command; further lines are ignored (Twisted)."""
        if self._responded:
            return
        self._listener.counters.add("ops_calls")
        self._respond(self._listener.handler.execute(line.rstrip(b"\r")))

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Reject a line over the limit (Twisted)."""
        self._listener.counters.add("ops_bad")
        self._respond(b"NO the command is longer than %d bytes\n" % self.MAX_LENGTH)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Cancel the timers (Twisted)."""
        self._listener.connections.discard(self)
        for timer in (self._command_timer, self._abort_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def _command_timed_out(self) -> None:
        self._command_timer = None
        self._listener.counters.add("ops_bad")
        self._respond(
            b"NO incomplete command, no end of line received in time\n"
            if self._buffer
            else b"NO no command received in time\n"
        )

    def _respond(self, response: bytes) -> None:
        if self._responded:
            return
        self._responded = True
        self.transport.write(response)
        self.transport.loseConnection()
        linger_s = self._listener.limits.ops_linger_timeout / SECOND
        self._abort_timer = self._listener.reactor.callLater(linger_s, self.transport.abortConnection)


class OperatorListener(Factory):
    """Accepts the operators' connections up to a limit."""

    def __init__(self, handler: CommandHandler, reactor: Reactor, limits: Limits, counters: Counters):
        self.handler = handler
        self.reactor = reactor
        self.limits = limits
        self.counters = counters
        self.connections: set[OperatorConnection] = set()

    def buildProtocol(self, addr: object) -> OperatorConnection:  # noqa: N802
        """Create the protocol of a new connection (Twisted)."""
        return OperatorConnection(self)
