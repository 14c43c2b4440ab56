"""Base class of the TDS connections to clients and engines.

A LineReceiver in raw mode: TDS packets are delimited by a length field, not by line ends.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Any

from twisted.protocols.basic import LineReceiver

from rackhub.net.tds.codec import TdsProtocolError

log = logging.getLogger(__name__)


class TdsStream(LineReceiver):
    """Passes received bytes to `data_received` and aborts the connection if they are malformed."""

    transport: Any  # a TCP transport; Twisted declares only the common base interface

    def connectionMade(self) -> None:  # noqa: N802
        """Set up the transport of a new connection (Twisted)."""
        self.setRawMode()  # type: ignore[no-untyped-call]
        self.transport.setTcpNoDelay(True)
        self.connection_made()

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process received bytes (Twisted)."""
        self.guard(lambda: self.data_received(data))

    def guard(self, process: Callable[[], None]) -> None:
        """Process received bytes, and abort the connection if they are malformed."""
        try:
            process()
        except TdsProtocolError as error:
            self.malformed(error)

    def malformed(self, error: TdsProtocolError) -> None:
        """Abort the connection, as its peer has sent malformed data."""
        log.warning("tds: connection aborted: %s", error)
        self.malformed_data_received()
        self.transport.abortConnection()

    def write(self, pieces: Iterable[bytes]) -> None:
        """Write byte strings in order, without joining them."""
        self.transport.writeSequence(tuple(pieces))

    def connection_made(self) -> None:
        """Called when the connection is established."""

    def data_received(self, data: bytes) -> None:
        """Process received bytes; raising `TdsProtocolError` aborts the connection."""
        raise NotImplementedError

    def malformed_data_received(self) -> None:
        """Called when the peer has sent malformed data, before the connection is aborted."""
