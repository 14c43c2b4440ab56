"""Listening sockets that a second process of the same coordinator may share while it replaces this one.

Both processes bind the same address with SO_REUSEPORT and the kernel spreads new connections over them. The one that
leaves takes in what its queue holds before it closes, so that no connection that the kernel gave it is reset unread.
"""

import socket

from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IListeningPort, IReactorSocket
from twisted.internet.protocol import Factory


def listen_shared(reactor: IReactorSocket, host: str, port: int, factory: Factory, backlog: int) -> IListeningPort:
    """A port on `host`:`port` (IPv4) that a process replacing this one can bind too.

    Raises `CannotListenError` where the address is taken by a socket without SO_REUSEPORT, or can't be had.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((host, port))
        sock.listen(backlog)
        sock.setblocking(False)
        return reactor.adoptStreamPort(sock.fileno(), socket.AF_INET, factory)  # it keeps a copy of its own
    except OSError as fault:
        raise CannotListenError(host, port, fault) from None
    finally:
        sock.close()


def close_emptied(port: IListeningPort) -> None:
    """Stop listening, after taking in every connection that waits in the queue: once the socket is closed, the
    kernel resets them, and their clients are turned back unheard."""
    take = getattr(port, "doRead", None)
    if take is not None and getattr(port, "connected", False):
        take()  # accepts until the queue is empty, up to Twisted's own bound of a turn
    port.stopListening()
