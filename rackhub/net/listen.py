"""Listening sockets that a second process of the same coordinator may share while it replaces this one.

Both processes bind the same address with SO_REUSEPORT and the kernel spreads new connections over them. What waits in
the queue of a socket that closes is reset by the kernel, and its clients are turned back unheard (tcp(7); Linux moves
it to the other socket only with net.ipv4.tcp_migrate_req, which is off by default). So the one that leaves first has
the kernel give all newcomers to the other, and takes in what its own queue still holds in the very step that closes it.
"""

import socket
import struct
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import tcp
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IListeningPort, IReactorSocket
from twisted.internet.protocol import Factory

from rackhub import logs

log = logs.logger(__name__)

# asm-generic/socket.h; the socket module has no names for them
ATTACH_CHOICE, DETACH_CHOICE = 51, 68  # SO_ATTACH_REUSEPORT_CBPF, SO_DETACH_REUSEPORT_BPF
RETURN_CONSTANT = 0x06  # BPF_RET | BPF_K of linux/bpf_common.h


class DelayedReservation:
    """Twisted's spare descriptor, kept back at first. Where accept finds no descriptor free, Twisted gives the spare
    one up, takes newcomers with it and closes each at once, with the requests that they may have sent. A shortage that
    is over in a moment costs nobody anything if newcomers wait in the kernel's queue for it."""

    PATIENCE = 0.1  # seconds of shortage before newcomers are turned away, as they would wait in vain
    OVER = 1.0  # seconds without a shortage after which the next one is another

    def __init__(self, spare: Any, seconds: Callable[[], float] = time.monotonic):
        self._spare, self._seconds = spare, seconds
        self._since = self._last = -self.OVER

    def available(self) -> bool:
        """Whether to give the spare descriptor up. Asked each time that accept finds none."""
        now = self._seconds()
        if now - self._last > self.OVER:
            self._since = now
        self._last = now
        return now - self._since >= self.PATIENCE and self._spare.available()

    def reserve(self) -> None:
        self._spare.reserve()

    def __enter__(self) -> Any:
        return self._spare.__enter__()

    def __exit__(self, *how: Any) -> Any:
        return self._spare.__exit__(*how)


class SharedPort:
    """A listening socket that another process may bind beside this one. It listens from its making on.

    Twisted's port works on a copy of the descriptor; the one kept here holds the kernel's socket open until the last
    connection in its queue is taken.
    """

    def __init__(self, reactor: IReactorSocket, host: str, port: int, factory: Factory, backlog: int):
        """On `host`:`port` (IPv4). Raises `CannotListenError` where the address is taken by a socket without
        SO_REUSEPORT, or can't be had."""
        self._reactor, self._factory = reactor, factory
        if not isinstance(tcp._reservedFD, DelayedReservation):
            tcp._reservedFD = DelayedReservation(tcp._reservedFD)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self._socket.bind((host, port))
            self._socket.listen(backlog)
            self._socket.setblocking(False)
            self._spread()
            self._port: IListeningPort = reactor.adoptStreamPort(self._socket.fileno(), socket.AF_INET, factory)
        except OSError as fault:
            self._socket.close()
            raise CannotListenError(host, port, fault) from None

    def _spread(self) -> None:
        """Newcomers go to all sockets of the address alike: a choice left by a process that has gone is undone."""
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, DETACH_CHOICE, 0)
        except OSError:
            pass  # there was none, or the kernel knows no choices: it spreads them then

    def hand_over(self) -> bool:
        """Have the kernel give newcomers to the process that bound the address second, as long as there is one; else
        they come here as before. False where it can't: newcomers are spread then until this one closes.

        The choice is a classic BPF program of one instruction, which returns the place in the address's group: this
        process is at 0, as the one before it has gone, and the next at 1. The kernel takes a place that is empty for
        no choice and spreads by hash (net/core/sock_reuseport.c).
        """
        from array import array

        program = array("B", struct.pack("HBBI", RETURN_CONSTANT, 0, 0, 1))
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, ATTACH_CHOICE, struct.pack("HP", 1, program.buffer_info()[0]))
        except OSError as fault:
            log.warning("newcomers can't be handed over, they are spread: %s", fault)
            return False
        return True

    def close(self) -> Deferred:
        """Stop listening. When it fires all that came before is taken in, and the address is free of this process."""
        closed: Deferred = self._port.stopListening()
        closed.addCallback(lambda _: self._take_rest())
        return closed

    def _take_rest(self) -> None:
        """What came into the queue since Twisted's port let go of it, up to the moment of the close."""
        while True:
            try:
                connection, _ = self._socket.accept()
                with connection:  # the reactor has a copy
                    connection.setblocking(False)
                    self._reactor.adoptStreamConnection(connection.fileno(), socket.AF_INET, self._factory)
            except OSError:  # it is empty; or no descriptor is left, for it or its copy, and what waits is turned back
                break
        self._socket.close()
