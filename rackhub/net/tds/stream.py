"""Base of the TDS connections of clients and engines: LineReceiver in raw mode, as TDS packets have a length field."""

import logging
from collections.abc import Iterable
from typing import Any

from twisted.protocols.basic import LineReceiver

from rackhub.net.tds.codec import TdsProtocolError

log = logging.getLogger(__name__)


class TdsStream(LineReceiver):
    """Passes received bytes to `taken` and aborts the connection when they are malformed."""

    transport: Any  # a TCP transport; Twisted declares only the common base interface

    def connectionMade(self) -> None:  # noqa: N802
        """Twisted: the connection is established."""
        self.setRawMode()  # type: ignore[no-untyped-call]
        self.transport.setTcpNoDelay(True)
        self.made()

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Twisted: bytes were received."""
        try:
            self.taken(data)
        except TdsProtocolError as error:
            log.warning("tds: %s: connection dropped", error)
            self.malformed()
            self.transport.abortConnection()

    def write(self, pieces: Iterable[bytes]) -> None:
        """Write byte strings in order, without joining them."""
        self.transport.writeSequence(tuple(pieces))

    def made(self) -> None:
        """The connection is established."""

    def taken(self, data: bytes) -> None:
        """Process received bytes; raising `TdsProtocolError` aborts the connection."""
        raise NotImplementedError

    def malformed(self) -> None:
        """The peer sent malformed data; the connection is aborted next."""
