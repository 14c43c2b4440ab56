"""The server of the control port: requests and responses as lines, with responses in any order."""

import errno
import logging
from collections.abc import Callable
from typing import Any

from twisted.internet import error
from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineOnlyReceiver

from rackhub.core.source import Address
from rackhub.fleet.control.commands import CommandDispatcher, CommandHandler
from rackhub.fleet.control.limits import Limits

log = logging.getLogger(__name__)
LISTEN_RETRY_INTERVAL = 0.25  # seconds


class ClientConnection(LineOnlyReceiver):
    """One connection of a client."""

    delimiter = b"\n"
    transport: Any

    def __init__(self, control: "ControlPort"):
        self._control = control
        self._limits = control.limits
        self._open_requests = 0
        self._admitted = False
        self._idle_timer: Any = None
        self.MAX_LENGTH = control.limits.max_request_bytes

    def connectionMade(self) -> None:  # noqa: N802
        """Admit the connection, or reject it if there are too many (Twisted)."""
        self._admitted = self._control.admit(self)
        if not self._admitted:
            self._send_line(b'{"error":"too many connections"}')
            self.transport.loseConnection()
            return
        self._start_idle_timer()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Handle one request (Twisted)."""
        if not self._admitted:
            return
        self._idle_timer.reset(self._limits.idle_timeout)
        if self._open_requests >= self._limits.max_open_requests:
            self._control.count("control_over")
            self._send_line(b'{"error":"too many open requests on this connection"}')
            return
        self._open_requests += 1
        self._control.dispatcher.dispatch(line.rstrip(b"\r"), self._write)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Reject a request that is too long, and close the connection (Twisted)."""
        self._control.count("control_bad")
        self._send_line(f'{{"error":"the request has more than {self.MAX_LENGTH} bytes"}}'.encode())
        self.transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Release the connection and cancel its timer (Twisted)."""
        if self._admitted:
            self._admitted = False
            self._control.release(self)
        if self._idle_timer is not None and self._idle_timer.active():
            self._idle_timer.cancel()

    def _write(self, body: bytes) -> None:
        self._open_requests -= 1
        if self._admitted:
            self._idle_timer.reset(self._limits.idle_timeout)
            self._send_line(body)

    def _send_line(self, line: bytes) -> None:
        self.transport.writeSequence((line, self.delimiter))

    def _start_idle_timer(self) -> None:
        self._idle_timer = self._control.reactor.callLater(self._limits.idle_timeout, self._on_idle)

    def _on_idle(self) -> None:
        if self._open_requests:
            self._start_idle_timer()
        else:
            self.transport.abortConnection()


class ControlPort(Factory):
    """The server. Implements `ports.Control`; commands may be registered before or after `start`.

    `bind` is the address to listen on; `count` adds one to the counter of the given name.
    """

    noisy = False

    def __init__(self, reactor: Any, bind: Address, count: Callable[[str], None], limits: Limits | None = None):
        self.reactor = reactor
        self.count = count
        self.limits = limits or Limits()
        self.dispatcher = CommandDispatcher(self.limits, count)
        self._bind = bind
        self._connections: set[ClientConnection] = set()
        self._listener: Any = None
        self._retry_timer: Any = None

    def on(self, command: str, handler: CommandHandler) -> None:
        """Register a command. Raises `ValueError` if it has a handler already, or there are too many commands."""
        self.dispatcher.on(command, handler)

    def start(self) -> None:
        """Start listening. Raises `OSError` if that fails.

        If the address is in use, listening is retried until it is free: the process that this one replaces may use it.
        """
        try:
            self._listener = self.reactor.listenTCP(self._bind[1], self, interface=self._bind[0])
        except error.CannotListenError as failure:
            text = f"control: {self._bind[0]}:{self._bind[1]}: {failure.socketError}"
            if getattr(failure.socketError, "errno", None) != errno.EADDRINUSE:
                raise OSError(text) from failure
            if not self._retry_timer:
                log.warning("%s: retrying until it is free", text)
            self._retry_timer = self.reactor.callLater(LISTEN_RETRY_INTERVAL, self.start)

    def stop(self) -> Any:
        """Close all connections and stop listening. Returns Twisted's Deferred, or None if not listening."""
        if self._retry_timer and self._retry_timer.active():
            self._retry_timer.cancel()
        for connection in list(self._connections):
            connection.transport.abortConnection()
        listener = self._listener
        self._listener = None
        return listener.stopListening() if listener is not None else None

    def buildProtocol(self, addr: Any) -> ClientConnection:  # noqa: N802
        """Return the protocol object of a new connection (Twisted)."""
        return ClientConnection(self)

    def admit(self, connection: ClientConnection) -> bool:
        """Return whether there is capacity for one more connection, which then counts until `release`."""
        if len(self._connections) >= self.limits.max_connections:
            self.count("control_refused")
            return False
        self._connections.add(connection)
        return True

    def release(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)
