"""Listening sockets that a coordinator process can share with the process that replaces it.

Both processes bind the same address with SO_REUSEPORT, and the kernel distributes new connections over them. When a
socket closes, the kernel resets the connections in its accept queue, and their clients get no answer (tcp(7); Linux
moves them to the other socket only with net.ipv4.tcp_migrate_req, which is off by default). So the process that exits
first directs all new connections to the other one, then accepts those left in its own queue as it closes the socket.
"""

import errno
import socket
import struct
import time
from array import array
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet import tcp
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory

from rackhub import logs

log = logs.logger(__name__)

# constants of asm-generic/socket.h, which the socket module does not define
SO_ATTACH_REUSEPORT_CBPF = 51
SO_DETACH_REUSEPORT_BPF = 68
BPF_RETURN_CONSTANT = 0x06  # BPF_RET | BPF_K of linux/bpf_common.h
# Index of the replacement's socket in the reuseport group of the address. This process is at 0, as its predecessor has
# exited.
REPLACEMENT_INDEX = 1


class DelayedReservation:
    """Wraps Twisted's spare file descriptor, and releases it only after a sustained shortage of descriptors.

    When accept finds no free descriptor, Twisted releases the spare one, accepts new connections with it and closes
    each at once, with the requests they may have sent. During a short shortage it is better to leave new connections
    in the kernel's queue.
    """

    MIN_SHORTAGE_S = 0.1  # duration of a shortage after which new connections are closed instead of left waiting
    SHORTAGE_GAP_S = 1.0  # time without a shortage after which the next one counts as a new one

    def __init__(self, spare: Any, seconds: Callable[[], float] = time.monotonic):
        """`spare` is Twisted's reservation, `seconds` a monotonic clock."""
        self._spare = spare
        self._seconds = seconds
        self._shortage_began = -self.SHORTAGE_GAP_S
        self._last_shortage = -self.SHORTAGE_GAP_S

    def available(self) -> bool:
        """Return whether to release the spare descriptor. Called each time that accept finds none."""
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


class AcceptGate(Protocol):
    """Decides whether the next connection in the queue of a listening socket is accepted now."""

    resume_accepting: Callable[[], None] | None  # set by the port

    def can_accept(self) -> bool:
        """Return whether there is room for one more connection."""

    def accepting_stopped(self) -> None:
        """Called when a connection may wait in the queue: `resume_accepting` is to be called once there is room."""

    def queue_drained(self) -> None:
        """Called when no connection waits in the queue."""


class GatedSocket:
    """A listening socket from which nothing is accepted while its gate is closed.

    A connection that is accepted and closed at once is reset with the request that it has sent. In the queue of the
    kernel it waits until there is room.
    """

    def __init__(self, listening_socket: Any, gate: AcceptGate, stop_reading: Callable[[], None]):
        self._socket = listening_socket
        self._gate = gate
        self._stop_reading = stop_reading

    def accept(self) -> Any:
        """Accept a connection. Raises `BlockingIOError` if there is none, or no room for it."""
        if not self._gate.can_accept():
            self._stop_reading()
            self._gate.accepting_stopped()
            raise BlockingIOError(errno.EAGAIN, "no room for a connection")
        try:
            return self._socket.accept()
        except BlockingIOError:
            self._gate.queue_drained()
            raise

    def __getattr__(self, name: str) -> Any:
        return getattr(self._socket, name)


class SharedPort:
    """A listening socket whose address another process can bind too. It listens from its construction on.

    Twisted's port uses a duplicate of the descriptor; the original, kept here, holds the kernel's socket open until the
    last connection in its queue is accepted.
    """

    def __init__(
        self, reactor: Any, host: str, port: int, factory: Factory, backlog: int, gate: AcceptGate | None = None
    ):
        """Listen on `host`:`port` (IPv4), with a `gate` if the number of connections is limited.

        `reactor` provides Twisted's `IReactorSocket`. Raises `CannotListenError` if the address is in use by a socket
        without SO_REUSEPORT, or is not available.
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
            self._detach_program()
            self._port = reactor.adoptStreamPort(self._socket.fileno(), socket.AF_INET, factory)
        except OSError as fault:
            self._socket.close()
            raise CannotListenError(host, port, fault) from None  # type: ignore[no-untyped-call]
        if gate is not None:
            self._port.socket = GatedSocket(self._port.socket, gate, self._port.stopReading)
            gate.resume_accepting = self._resume_accepting

    def _resume_accepting(self) -> None:
        if self._port.connected and not self._port.disconnecting:
            self._port.startReading()

    def _detach_program(self) -> None:
        """Detach the BPF program of a process that has exited, so that new connections are distributed evenly."""
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, 0)
        except OSError:
            return  # No program was attached, or the kernel does not support them: it distributes evenly.

    def hand_over(self) -> bool:
        """Direct new connections to the process that bound the address second. Without one they still come here.

        Returns False if the kernel does not support this: it then distributes new connections until this socket closes.

        A classic BPF program of one instruction returns the index of the socket in the address's group. The kernel
        ignores the index of an empty place and distributes by hash (net/core/sock_reuseport.c).
        """
        program = array("B", struct.pack("HBBI", BPF_RETURN_CONSTANT, 0, 0, REPLACEMENT_INDEX))
        option = struct.pack("HP", 1, program.buffer_info()[0])
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, option)
        except OSError as fault:
            log.warning("can't direct new connections to the replacement, the kernel distributes them: %s", fault)
            return False
        return True

    def close(self) -> Deferred[None]:
        """Stop listening. The result fires when all queued connections are accepted and the address is released."""
        closed: Deferred[None] = self._port.stopListening()
        closed.addCallback(lambda _: self._accept_queued())
        return closed

    def _accept_queued(self) -> None:
        """Accept the connections queued since Twisted's port stopped, then close the socket."""
        while True:
            try:
                connection, _ = self._socket.accept()
                with connection:  # the reactor duplicates the descriptor
                    connection.setblocking(False)
                    self._reactor.adoptStreamConnection(connection.fileno(), socket.AF_INET, self._factory)
            except OSError:  # The queue is empty, or no descriptor is left and the remaining connections are dropped.
                break
        self._socket.close()


def _delay_reservation() -> None:
    """Replace Twisted's reservation by a `DelayedReservation`, once per process."""
    twisted_tcp: Any = tcp
    if not isinstance(twisted_tcp._reservedFD, DelayedReservation):
        twisted_tcp._reservedFD = DelayedReservation(twisted_tcp._reservedFD)
