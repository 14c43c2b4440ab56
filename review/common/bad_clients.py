"""Bad clients in a process of their own: they send unreadable lines at full speed, and read whatever is sent to them.

Usage: bad_clients.py PORT CLIENTS SECONDS. Prints the bytes sent and read at its end.
"""

import asyncio
import sys
from typing import Any

BLOCK = b"?\n" * 32_768  # 64 kB of lines that are no messages


class BadClient(asyncio.BufferedProtocol):
    """One connection; reads into one buffer and forgets what it read."""

    def __init__(self, totals: dict[str, int]):
        self._totals = totals
        self._buffer = bytearray(1 << 18)
        self._transport: Any = None
        self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to send (asyncio)."""
        self._transport = transport
        self._send()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the one buffer (asyncio)."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Count what was read (asyncio)."""
        self._totals["read"] += nbytes

    def pause_writing(self) -> None:
        """Wait until the socket takes more (asyncio)."""
        self._paused = True

    def resume_writing(self) -> None:
        """Go on (asyncio)."""
        self._paused = False
        self._send()

    def _send(self) -> None:
        while not self._paused and not self._transport.is_closing():
            self._totals["sent"] += len(BLOCK)
            self._transport.write(BLOCK)

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.abort()


async def _run(port: int, clients: int, seconds: float) -> None:
    totals = {"sent": 0, "read": 0}
    loop = asyncio.get_running_loop()
    connections = [BadClient(totals) for _ in range(clients)]
    for connection in connections:
        await loop.create_connection(lambda connection=connection: connection, "127.0.0.1", port)
    await asyncio.sleep(seconds)
    for connection in connections:
        connection.close()
    print(totals)


if __name__ == "__main__":
    asyncio.run(_run(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
