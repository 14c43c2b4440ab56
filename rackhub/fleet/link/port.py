"""The socket: one UDP port on the configured address. It sends and hands on bytes, and knows nothing of them."""

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet import error
from twisted.internet.protocol import DatagramProtocol

from rackhub.fleet.ports import DATAGRAM_LIMIT_BYTES, Address

RECEIVE_BUFFER_BYTES = 1 << 20  # asked of the system for what comes in; it may give less


class UdpPort(DatagramProtocol):
    """`take` gets each datagram; `count` a counter's name for each that could not go out or was too long."""

    def __init__(self, reactor: Any, bind: Address, handler: Callable[[bytes], None], count: Callable[[str], None]):
        self._reactor, self._bind, self._handler, self._count = reactor, bind, handler, count
        self._port: Any = None
        self.transport: Any
        self.bytes_in = self.bytes_out = self.packets_in = self.packets_out = 0

    def open(self) -> None:
        """Raises `OSError` where the address can't be had."""
        try:
            self._port = self._reactor.listenUDP(
                self._bind[1], self, interface=self._bind[0], maxPacketSize=DATAGRAM_LIMIT_BYTES
            )
        except error.CannotListenError as failure:
            cause = failure.socketError
            reason = getattr(cause, "strerror", None) or cause
            raise OSError(getattr(cause, "errno", None), f"{self._bind[0]}:{self._bind[1]}: {reason}") from failure
        self._port.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def close(self) -> Any:
        port, self._port = self._port, None
        return port.stopListening() if port is not None else None

    def send(self, to: Address, data: bytes) -> None:
        if self._port is None:
            return
        try:
            self.transport.write(data, to)
        except OSError:  # no route, no buffer: as if it were lost on the way
            self._count("not_sent")
            return
        self.packets_out += 1
        self.bytes_out += len(data)

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        self.packets_in += 1
        self.bytes_in += len(data)
        self._handler(data)
