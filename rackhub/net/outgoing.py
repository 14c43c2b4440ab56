"""The sending side of a connection to an engine, which bypasses the transport's buffer and counts the bytes sent.

Twisted buffers written data until the socket accepts it, and buffered data can't be withdrawn. A request that was
allowed when written may be forbidden by the time it is sent: its engine drains, its client has disconnected, or its
retry window is over. So requests are not written ahead: their owner requests a callback in an event-loop iteration in
which the socket is writable, after the same iteration's read of that socket, decides then, and sends directly to the
socket. Only the rest of a request that the socket accepted in part is left to the transport.
"""

import contextlib
import socket
from collections.abc import Callable, Iterable
from typing import Any

from rackhub.net.socket_state import unacknowledged_bytes

NOT_SENT_LOW_WATER = 25  # TCP_NOTSENT_LOWAT of linux/tcp.h, which the socket module does not define
MAX_NOT_SENT_BYTES = 1  # limits the kernel's buffer to one request that the engine does not read


def _do_nothing() -> None:
    """Do nothing: the connection is lost, and nobody is called any more."""


class SocketWriter:
    """Sends on one connection and counts the bytes since its start. Calls `writable` once per `request_write`."""

    def __init__(self, transport: Any, writable: Callable[[], None]):
        """`transport` is Twisted's TCP connection."""
        self._transport = transport
        self._writable = writable
        self._write_requested = False
        self._registering = False
        self.bytes_written = 0  # bytes handed to the socket or the transport so far
        with contextlib.suppress(OSError):
            transport.getHandle().setsockopt(socket.IPPROTO_TCP, NOT_SENT_LOW_WATER, MAX_NOT_SENT_BYTES)

    # ---- pull producer of the transport: Twisted calls it when the socket is writable and the buffer is empty

    def request_write(self) -> None:
        """Request a call of `writable` in the next event-loop iteration in which the socket is writable."""
        if self._write_requested:
            return
        self._write_requested = True
        self._registering = True
        self._transport.registerProducer(self, False)
        self._registering = False
        self._transport.startWriting()

    def resumeProducing(self) -> None:  # noqa: N802
        """Call `writable`, as the socket is writable (Twisted)."""
        if self._registering:  # Twisted calls a new producer at once, whatever the state of the socket.
            return
        self._transport.unregisterProducer()
        self._write_requested = False
        self._writable()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the owner is notified of the loss of the connection separately (Twisted)."""

    # ---- sending

    def send(self, data: bytes) -> bool:
        """Send now. Returns False if nothing was sent: the socket is full, or broken, as its next read will report."""
        try:
            accepted: int = self._transport.getHandle().send(data)
        except OSError:
            accepted = 0
        if not accepted:
            return False
        self.bytes_written += len(data)
        if accepted < len(data):
            self._transport.write(data[accepted:])
        return True

    def write(self, pieces: Iterable[bytes]) -> None:
        """Send data that is valid at any time: now, or after the data that the transport has buffered.

        Waiting for the next event-loop iteration would not do: after a long one a cancel was sent together with the
        attempt that was to follow it.
        """
        data = b"".join(pieces)
        if self.buffered_bytes() or not self.send(data):
            self.bytes_written += len(data)
            self._transport.write(data)

    def connection_lost(self) -> None:
        """Forget the owner, which refers to this object, so that neither waits for the garbage collector."""
        self._writable = _do_nothing

    # ---- progress of the sending

    def buffered_bytes(self) -> int:
        """Return the number of bytes in the transport's buffer, which the socket has not accepted yet."""
        transport = self._transport
        buffered: int = len(transport.dataBuffer) - transport.offset + transport._tempDataLen
        return buffered

    def has_sent(self, end: int) -> bool:
        """Return whether the first `end` bytes of the connection have all been handed to the kernel."""
        return self.bytes_written - self.buffered_bytes() >= end

    def unacknowledged_bytes(self) -> int:
        """Return the number of bytes in the buffers of process and kernel, not acknowledged by the engine's host."""
        return self.buffered_bytes() + unacknowledged_bytes(self._transport)
