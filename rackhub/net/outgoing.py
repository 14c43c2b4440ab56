"""The sending side of one connection to an engine: what has been sent, and when more may be.

Twisted buffers what is written to a transport until the socket accepts it, and what it buffers can't be taken back. A
request that was allowed when it was written may be forbidden by the time it is sent: its engine drains, its client has
disconnected, its retry window is over. So requests are not written ahead. Their owner asks to be called in an
event-loop iteration in which the socket is writable, which comes after that iteration's read of the same socket,
decides there, and sends straight to the socket. Only the rest of a request that the socket accepted in part is left
with the transport.
"""

import array
import contextlib
import fcntl
import socket
import termios
from collections.abc import Callable, Iterable
from typing import Any

NOT_SENT_LOW_WATER = 25  # TCP_NOTSENT_LOWAT of linux/tcp.h, which the socket module does not name
MAX_NOT_SENT_BYTES = 1  # the kernel then holds one request that the engine does not read, not many


class SocketWriter:
    """Sends on one connection and counts the bytes since its start. `writable` is called once per `request_write`."""

    def __init__(self, transport: Any, writable: Callable[[], None]):
        """`transport` is Twisted's TCP connection."""
        self._transport = transport
        self._writable = writable
        self._write_requested = False
        self._registering = False
        self.bytes_written = 0  # handed to the socket or the transport so far
        with contextlib.suppress(OSError):
            transport.getHandle().setsockopt(socket.IPPROTO_TCP, NOT_SENT_LOW_WATER, MAX_NOT_SENT_BYTES)

    # ---- a transport's producer: Twisted calls it when the socket is writable and its buffer is empty

    def request_write(self) -> None:
        """Have `writable` called in the next event-loop iteration in which the socket is writable."""
        if self._write_requested:
            return
        self._write_requested = True
        self._registering = True
        self._transport.registerProducer(self, False)
        self._registering = False
        self._transport.startWriting()

    def resumeProducing(self) -> None:  # noqa: N802
        """Report that the socket is writable (Twisted)."""
        if self._registering:  # Twisted calls a new producer at once, whatever the state of the socket
            return
        self._transport.unregisterProducer()
        self._write_requested = False
        self._writable()

    def stopProducing(self) -> None:  # noqa: N802
        """Ignore the loss of the connection, which its owner is notified of itself (Twisted)."""

    # ---- sending

    def send(self, data: bytes) -> bool:
        """Send now. False: nothing of it was sent, as the socket is full, or broken (which its next read reports)."""
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
        """Send what is valid at any time: now, or behind what the transport has buffered.

        It must not wait for the next event-loop iteration: a cancel that did was sent together with the attempt that
        was to follow it, where that iteration was a long one.
        """
        data = b"".join(pieces)
        if self.buffered_bytes() or not self.send(data):
            self.bytes_written += len(data)
            self._transport.write(data)

    # ---- what has been sent

    def buffered_bytes(self) -> int:
        """Return how many bytes the transport has buffered because the socket did not accept them."""
        transport = self._transport
        buffered: int = len(transport.dataBuffer) - transport.offset + transport._tempDataLen
        return buffered

    def has_sent(self, end: int) -> bool:
        """Whether the first `end` bytes of the connection have all left the process."""
        return self.bytes_written - self.buffered_bytes() >= end

    def unacknowledged_bytes(self) -> int:
        """Return how many bytes the process and the kernel hold, as the engine's host has not acknowledged them."""
        in_kernel = array.array("i", [0])
        with contextlib.suppress(OSError):
            fcntl.ioctl(self._transport.getHandle(), termios.TIOCOUTQ, in_kernel)
        return self.buffered_bytes() + in_kernel[0]
