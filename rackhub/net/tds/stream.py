"""The connection under both sides of TDS: the LineReceiver family's raw mode, for all bodies are counted."""

import logging
from collections.abc import Iterable

from twisted.protocols.basic import LineReceiver

from rackhub.net.tds.codec import TdsProtocolError

log = logging.getLogger(__name__)


class TdsStream(LineReceiver):
    """Hands raw bytes to `taken` and drops the connection on bytes that are no TDS."""

    def connectionMade(self) -> None:
        self.setRawMode()  # there are no lines in TDS: every body is counted by its packet's head
        self.transport.setTcpNoDelay(True)
        self.made()

    def rawDataReceived(self, data: bytes) -> None:
        try:
            self.taken(data)
        except TdsProtocolError as bad:
            log.warning("tds: %s: connection dropped", bad)
            self.malformed()
            self.transport.abortConnection()

    def write(self, pieces: Iterable[bytes]) -> None:
        self.transport.writeSequence(tuple(pieces))

    def made(self) -> None:
        """The connection is up."""

    def taken(self, data: bytes) -> None:
        """Bytes have come; `TdsProtocolError` drops the connection."""
        raise NotImplementedError

    def malformed(self) -> None:
        """The other side sent what is no TDS; the connection is dropped next."""
