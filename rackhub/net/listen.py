"""Listening sockets that the replacement process of a coordinator may share with the one it replaces.

Both processes bind the same address with SO_REUSEPORT and the kernel distributes new connections over them. What waits
in the accept queue of a socket that closes is reset by the kernel, and its clients are dropped unanswered (tcp(7);
Linux moves it to the other socket only with net.ipv4.tcp_migrate_req, which is off by default). So the process that
exits first has the kernel give all new connections to the other, and accepts what its own queue still holds in the very
step that closes it.
"""

import socket
import struct
import time
from array import array
from collections.abc import Callable
from typing import Any

from twisted.internet import tcp
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory

from rackhub import logs

log = logs.logger(__name__)

# asm-generic/socket.h; the socket module has no names for them
SO_ATTACH_REUSEPORT_CBPF = 51
SO_DETACH_REUSEPORT_BPF = 68
BPF_RETURN_CONSTANT = 0x06  # BPF_RET | BPF_K of linux/bpf_common.h
REPLACEMENT_INDEX = 1  # in the address's group of sockets: the process before this one has gone, so this one is at 0


class DelayedReservation:
    """Twisted's spare file descriptor, given up only after a sustained shortage.

    Where accept finds no descriptor free, Twisted gives the spare one up, accepts new connections with it and closes
    each at once, with the requests that they may have sent. A momentary shortage costs nobody anything if new
    connections wait in the kernel's queue for its end.
    """

    MIN_SHORTAGE_S = 0.1  # before new connections are closed, as they would wait in vain
    SHORTAGE_GAP_S = 1.0  # seconds without a shortage after which the next one counts as another

    def __init__(self, spare: Any, seconds: Callable[[], float] = time.monotonic):
        """`spare` is Twisted's reservation, `seconds` a monotonic clock."""
        self._spare = spare
        self._seconds = seconds
        self._shortage_began = -self.SHORTAGE_GAP_S
        self._last_shortage = -self.SHORTAGE_GAP_S

    def available(self) -> bool:
        """Whether to give the spare descriptor up. Called each time that accept finds none."""
        now = self._seconds()
        if now - self._last_shortage > self.SHORTAGE_GAP_S:
            self._shortage_began = now
        self._last_shortage = now
        return now - self._shortage_began >= self.MIN_SHORTAGE_S and bool(self._spare.available())

    def reserve(self) -> None:
        """Open the spare descriptor again."""
        self._spare.reserve()

    def __enter__(self) -> Any:
        return self._spare.__enter__()

    def __exit__(self, *exception: Any) -> Any:
        return self._spare.__exit__(*exception)


class SharedPort:
    """A listening socket that another process may bind too. It listens from its construction on.

    Twisted's port works on a copy of the descriptor; the one kept here holds the kernel's socket open until the last
    connection in its queue is accepted.
    """

    def __init__(self, reactor: Any, host: str, port: int, factory: Factory, backlog: int):
        """Listen on `host`:`port` (IPv4).

        `reactor` provides Twisted's `IReactorSocket`. Raises `CannotListenError` where the address is taken by a
        socket without SO_REUSEPORT, or is not available.
        """
        self._reactor = reactor
        self._factory = factory
        _delay_reservation()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self._socket.bind((host, port))
            self._socket.listen(backlog)
            self._socket.setblocking(False)
            self._detach_selection()
            self._port = reactor.adoptStreamPort(self._socket.fileno(), socket.AF_INET, factory)
        except OSError as fault:
            self._socket.close()
            raise CannotListenError(host, port, fault) from None  # type: ignore[no-untyped-call]

    def _detach_selection(self) -> None:
        """Distribute new connections evenly: a selection attached by a process that has gone is removed."""
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, 0)
        except OSError:
            return  # there was none, or the kernel does not support selections: it distributes evenly then

    def hand_over(self) -> bool:
        """Have the kernel give new connections to the process that bound the address second, while there is one.

        Without one they come here as before. False where the kernel can't: new connections are distributed until this
        socket closes.

        The selection is a classic BPF program of one instruction, which returns the index in the address's group. The
        kernel ignores the index of an empty place and distributes by hash (net/core/sock_reuseport.c).
        """
        program = array("B", struct.pack("HBBI", BPF_RETURN_CONSTANT, 0, 0, REPLACEMENT_INDEX))
        option = struct.pack("HP", 1, program.buffer_info()[0])
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, option)
        except OSError as fault:
            log.warning("new connections can't be handed over, they are distributed: %s", fault)
            return False
        return True

    def close(self) -> Deferred[None]:
        """Stop listening. When it fires all queued connections are accepted and the address is released."""
        closed: Deferred[None] = self._port.stopListening()
        closed.addCallback(lambda _: self._take_rest())
        return closed

    def _take_rest(self) -> None:
        """Accept what was queued since Twisted's port stopped, up to the moment of the close."""
        while True:
            try:
                connection, _ = self._socket.accept()
                with connection:  # the reactor has a copy
                    connection.setblocking(False)
                    self._reactor.adoptStreamConnection(connection.fileno(), socket.AF_INET, self._factory)
            except OSError:  # the queue is empty; or no descriptor is left, and what is queued is dropped
                break
        self._socket.close()


def _delay_reservation() -> None:
    """Put `DelayedReservation` in the place of Twisted's reservation, once a process."""
    twisted_tcp: Any = tcp
    if not isinstance(twisted_tcp._reservedFD, DelayedReservation):
        twisted_tcp._reservedFD = DelayedReservation(twisted_tcp._reservedFD)
