"""A Twisted client factory for one outgoing connection, whose protocol object exists before the connection does."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory


class SingleConnectionFactory(ClientFactory):
    """Connects one given protocol object."""

    noisy = False

    def __init__(self, protocol: Any, failed: Callable[[], Any]):
        """`failed` is called without arguments when the connection is refused or times out."""
        self._connection = protocol
        self._failed = failed

    def buildProtocol(self, addr: object) -> Any:  # noqa: N802
        """Return the one protocol object (Twisted)."""
        return self._connection

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        """Report the failed connection attempt (Twisted)."""
        self._failed()
