"""One dial on Twisted: the protocol that it is for is there before it, and it is told where it fails."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory


class SingleConnectionFactory(ClientFactory):
    """`failed` is called without words where nobody listens, or the time for it is over."""

    noisy = False

    def __init__(self, protocol: Any, failed: Callable[[], Any]):
        self._one, self._failed = protocol, failed

    def buildProtocol(self, addr: object) -> Any:  # noqa: N802 - Twisted's names
        return self._one

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        self._failed()
