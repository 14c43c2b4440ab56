"""What the kernel knows of a client's socket, when nothing has been read from it for a while."""

import array
import contextlib
import enum
import fcntl
import socket
import termios
from typing import Any

STATE_LENGTH = 1  # the state is the first byte of `struct tcp_info` (linux/tcp.h)


class TcpState(enum.IntEnum):
    """States in which the peer may still send (net/tcp_states.h of Linux)."""

    ESTABLISHED = 1
    FIN_WAIT1 = 4
    FIN_WAIT2 = 5


def has_peer_closed(transport: Any) -> bool:
    """Return whether the peer has closed or reset the connection, perhaps behind input that is not read yet."""
    try:
        (state,) = transport.getHandle().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, STATE_LENGTH)
    except OSError:  # the next read or write reports the cause
        return False
    return state not in TcpState.__members__.values()


def unread_bytes(transport: Any) -> int:
    """Return the number of received bytes that have not been read."""
    return _byte_count(transport, termios.FIONREAD)


def unacknowledged_bytes(transport: Any) -> int:
    """Return the number of bytes that the kernel has accepted and the peer's host has not acknowledged."""
    return _byte_count(transport, termios.TIOCOUTQ)


def _byte_count(transport: Any, request: int) -> int:
    count = array.array("i", [0])
    with contextlib.suppress(OSError, ValueError):  # ValueError: the socket is closed
        fcntl.ioctl(transport.getHandle(), request, count)
    return count[0]
