"""The listener of the second address: one command line a connection, answered within a deadline.

A caller that sends nothing, an unterminated or too long line, or bytes that are not text is answered NO with the
reason. A connection that doesn't close after its answer is aborted.
"""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineOnlyReceiver

from rackhub.counters import Counters
from rackhub.limits import SECOND, Limits
from rackhub.ops.commands import CommandHandler


class DelayedCall(Protocol):
    """A timer of the reactor."""

    def active(self) -> bool:
        """Whether it is still to run."""

    def cancel(self) -> object:
        """Cancel it; only while it is active."""


class Reactor(Protocol):
    """What is needed of Twisted's reactor."""

    def callLater(self, delay: float, call: Callable[..., Any]) -> DelayedCall:  # noqa: N802 - Twisted's names
        """Call `call` after `delay` seconds."""


class StreamTransport(Protocol):
    """What is needed of Twisted's TCP transport."""

    def write(self, data: bytes) -> object:
        """Send data."""

    def loseConnection(self) -> object:  # noqa: N802
        """Close the connection once all data is sent."""

    def abortConnection(self) -> object:  # noqa: N802
        """Close the connection at once."""


class OperatorConnection(LineOnlyReceiver):
    """One caller: reads a line, writes its answer and closes."""

    delimiter = b"\n"
    transport: StreamTransport  # type: ignore[assignment]

    def __init__(self, listener: "OperatorListener"):
        self._listener = listener
        self._answered = False
        self.MAX_LENGTH = listener.limits.max_ops_request_bytes
        self._answer_timer: DelayedCall | None = None
        self._abort_timer: DelayedCall | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Start the deadline of the answer, or reject a connection over the limit."""
        listener = self._listener
        if len(listener.connections) >= listener.limits.max_ops_connections:
            listener.counters.add("ops_refused")
            self._answer(b"NO too many calls at once\n")
            return
        listener.connections.add(self)
        self._answer_timer = listener.reactor.callLater(
            listener.limits.ops_request_timeout / SECOND, self._deadline_passed
        )

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Answer the command; further lines are ignored."""
        if self._answered:
            return
        self._listener.counters.add("ops_calls")
        self._answer(self._listener.handler.answer(line.rstrip(b"\r")))

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Reject a line over the limit."""
        self._listener.counters.add("ops_bad")
        self._answer(b"NO the call is longer than %d bytes\n" % self.MAX_LENGTH)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Cancel the timers."""
        self._listener.connections.discard(self)
        for timer in (self._answer_timer, self._abort_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def _deadline_passed(self) -> None:
        self._answer_timer = None
        self._listener.counters.add("ops_bad")
        self._answer(b"NO half a call, and no end of line in time\n" if self._buffer else b"NO nothing was asked\n")

    def _answer(self, answer: bytes) -> None:
        if self._answered:
            return
        self._answered = True
        self.transport.write(answer)
        self.transport.loseConnection()
        linger_s = self._listener.limits.ops_linger_timeout / SECOND
        self._abort_timer = self._listener.reactor.callLater(linger_s, self.transport.abortConnection)


class OperatorListener(Factory):
    """Accepts the operators' connections, a limited number at once."""

    def __init__(self, handler: CommandHandler, reactor: Reactor, limits: Limits, counters: Counters):
        self.handler = handler
        self.reactor = reactor
        self.limits = limits
        self.counters = counters
        self.connections: set[OperatorConnection] = set()

    def buildProtocol(self, addr: object) -> OperatorConnection:  # noqa: N802
        """Create the protocol of a new connection."""
        return OperatorConnection(self)
