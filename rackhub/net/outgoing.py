"""The sending side of one connection to an engine: what has left, and when more may be sent.

Twisted keeps what is written to a transport until the socket takes it, and what it keeps can't be taken back. A request
that was allowed when it was written may be forbidden by the time it leaves: its engine drains, its client is gone, its
window is over. So requests are not written ahead. Their owner asks for a call in a turn in which the socket takes
bytes, which comes after that turn's read of the same socket, decides there, and sends straight to the socket. Only the
rest of a request that the socket took in part is left with the transport.
"""

import array
import contextlib
import fcntl
import socket
import termios
from collections.abc import Callable, Iterable
from typing import Any

NOT_SENT_LOW_WATER = 25  # TCP_NOTSENT_LOWAT of linux/tcp.h, which the socket module does not name


class Outgoing:
    """Sends on one connection and counts bytes from its start on. `writable` is called once after each `ask`."""

    def __init__(self, transport: Any, writable: Callable[[], None]):
        self._transport, self._writable = transport, writable
        self._asked = self._registering = False
        self.given = 0  # bytes handed to the socket or the transport so far
        with contextlib.suppress(OSError):  # the kernel holds one request that the engine takes no bytes of, not many
            transport.getHandle().setsockopt(socket.IPPROTO_TCP, NOT_SENT_LOW_WATER, 1)

    # ---- a transport's producer: Twisted calls it when the socket is writable and nothing is kept

    def ask(self) -> None:
        """Have `writable` called in the next turn in which the socket takes bytes."""
        if self._asked:
            return
        self._asked = self._registering = True
        self._transport.registerProducer(self, False)
        self._registering = False
        self._transport.startWriting()

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's names
        if self._registering:  # Twisted calls a new producer at once, whatever the state of the socket
            return
        self._transport.unregisterProducer()
        self._asked = False
        self._writable()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection is lost."""

    # ---- sending

    def send(self, data: bytes) -> bool:
        """Send now. False: nothing of it has left, as the socket takes nothing or is broken (its next read tells)."""
        try:
            taken = self._transport.getHandle().send(data)
        except OSError:
            taken = 0
        if not taken:
            return False
        self.given += len(data)
        if taken < len(data):
            self._transport.write(data[taken:])
        return True

    def write(self, pieces: Iterable[bytes]) -> None:
        """Send in turn, for what may leave at any time: now, or behind what the transport keeps. A give-up that waited
        for a turn of the loop left together with the attempt that was to follow it, where that turn was a long one."""
        data = b"".join(pieces)
        if self.kept() or not self.send(data):
            self.given += len(data)
            self._transport.write(data)

    # ---- what has left

    def kept(self) -> int:
        """Bytes that the transport keeps because the socket has not taken them."""
        wire = self._transport
        return len(wire.dataBuffer) - wire.offset + wire._tempDataLen

    def has_left(self, end: int) -> bool:
        """Whether all bytes up to that count have left the process."""
        return self.given - self.kept() >= end

    def undelivered(self) -> int:
        """Bytes that the process or the kernel holds, as the engine has not confirmed them."""
        held = array.array("i", [0])
        with contextlib.suppress(OSError):
            fcntl.ioctl(self._transport.getHandle(), termios.TIOCOUTQ, held)
        return self.kept() + held[0]
