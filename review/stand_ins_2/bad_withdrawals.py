"""Bad clients in a process of their own: each sends hundreds of requests, withdraws them at once, and does so again.

Usage: bad_withdrawals.py PORT CONNECTIONS SECONDS
"""

import asyncio
import base64
import secrets
import sys
import time

AT_ONCE = 300  # requests, each withdrawn right behind it
BODY = base64.b64encode(b"SELECT name FROM trips_3.docks /* ms=100 */").decode()


def withdrawn(first: int) -> bytes:
    """Return `AT_ONCE` requests with their withdrawals."""
    lines = []
    for id in range(first, first + AT_ONCE):
        params = f'"rid":"{secrets.token_hex(8)}","budget":3000,"acct":"nyarugenge-bikes","body":"{BODY}"'
        lines.append(f'{{"jsonrpc":"2.0","id":{id},"method":"lookup","params":{{{params}}}}}\n')
        lines.append(f'{{"jsonrpc":"2.0","method":"cancelRequest","params":{{"id":{id}}}}}\n')
    return "".join(lines).encode()


async def main(port: int, connections: int, seconds: float) -> None:
    """Run the clients, and print what they sent and read."""
    stop = time.monotonic() + seconds
    sent = read = 0

    async def write(writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        first = 1
        while time.monotonic() < stop:
            writer.write(withdrawn(first))
            first, sent = first + AT_ONCE, sent + AT_ONCE
            await writer.drain()
            await asyncio.sleep(0)

    async def client() -> None:
        nonlocal read
        while time.monotonic() < stop:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writing = asyncio.create_task(write(writer))
            try:
                while data := await asyncio.wait_for(reader.read(65_536), max(stop - time.monotonic(), 0.1)):
                    read += len(data)
            except (OSError, TimeoutError):
                pass
            writing.cancel()
            await asyncio.gather(writing, return_exceptions=True)
            writer.close()

    await asyncio.gather(*(client() for _ in range(connections)))
    print(f"requests sent and withdrawn {sent}, bytes read {read}", flush=True)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
