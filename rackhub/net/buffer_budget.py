"""Bounds the bytes that the client connections of a front keep in memory, for all of them together.

Each connection bounds its own bytes, but hundreds of clients that send unhandled input or don't read their answers
could still exceed the memory limit of the process, whose end would lose the requests of all clients.
"""

from collections.abc import Callable

from rackhub import logs
from rackhub.net.client import Client

log = logs.logger(__name__)

MIN_COUNTED_BYTES = 4_096  # a connection that keeps less is not counted, which spares most events the bookkeeping


class BufferBudget:
    """The bytes kept by connections, each as of its last update. Above `limit` the connection that keeps most ends."""

    def __init__(self, limit: int, abort: Callable[[Client], None]) -> None:
        """`limit` is in bytes; `abort` resets a connection and discards what it keeps."""
        self._limit = limit
        self._abort = abort
        self._kept: dict[Client, int] = {}
        self.total = 0  # bytes kept by all counted connections

    def update(self, client: Client) -> None:
        """Count the bytes that a connection keeps now, and end connections while the sum is above the limit."""
        self._count(client)
        if self.total > self._limit:
            self._enforce()

    def remove(self, client: Client) -> None:
        """Stop counting a connection."""
        self.total -= self._kept.pop(client, 0)

    def _count(self, client: Client) -> None:
        kept = client.buffered_bytes()
        self.remove(client)
        if kept >= MIN_COUNTED_BYTES:
            self._kept[client] = kept
            self.total += kept

    def _enforce(self) -> None:
        """End connections until the sum is within the limit: those with faults first, then those that keep most."""
        for client in list(self._kept):  # the sockets may have accepted output since the last update
            self._count(client)
        while self.total > self._limit:
            largest = max(self._kept, key=lambda client: (client.faults > 0, self._kept[client]))
            log.warning("client_over_budget", client=largest, kept_bytes=self._kept[largest], total_bytes=self.total)
            self.remove(largest)
            self._abort(largest)
