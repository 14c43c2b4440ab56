"""Ports for processes that tests start: held from the choice on, so that nothing else takes them before they are bound.

A port that was free a moment ago may be taken meanwhile by another test, or as the source of a connection. A held port
is bound, and its process can bind it too, as the product's listeners share their addresses (SO_REUSEPORT).
"""

import socket

HOST = "127.0.0.1"
_held = []


def hold_port():
    """Return a free TCP port of `HOST`, which is held until this process ends."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((HOST, 0))
    # Only after the bind: the kernel could give a port that others hold to a socket that shares its port.
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    _held.append(holder)
    return holder.getsockname()[1]
