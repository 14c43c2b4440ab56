"""A Twisted client factory for one outgoing connection whose protocol object is created before connecting."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory


class SingleConnectionFactory(ClientFactory):
    """Connects one given protocol object."""

    noisy = False

    def __init__(self, protocol: Any, failed: Callable[[], Any]):
        """`failed` is called without arguments if the connection attempt is refused or times out."""
        self._connection = protocol
        self._failed = failed

    def buildProtocol(self, addr: object) -> Any:  # noqa: N802
        """Return the given protocol object (Twisted)."""
        return self._connection

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        """Report the failed connection attempt (Twisted)."""
        self._failed()
