"""Bad clients in a process of their own: lookups at full speed, each with a budget out of all range.

Usage: bad_budgets.py PORT CONNECTIONS SECONDS BUDGET_MS
"""

import asyncio
import base64
import secrets
import sys
import time

PIPELINED = 24  # requests open on one connection; 32 are allowed
BODY = base64.b64encode(b"SELECT name FROM trips_3.docks /* ms=1 */").decode()


async def main(port: int, connections: int, seconds: float, budget: int) -> None:
    """Run the clients, and print how many requests they sent and how many answers came."""
    stop = time.monotonic() + seconds
    sent = answered = 0

    def request(id: int) -> bytes:
        params = f'"rid":"{secrets.token_hex(8)}","budget":{budget},"acct":"nyarugenge-bikes","body":"{BODY}"'
        return f'{{"jsonrpc":"2.0","id":{id},"method":"lookup","params":{{{params}}}}}\n'.encode()

    async def client() -> None:
        nonlocal sent, answered
        while time.monotonic() < stop:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            id = 0
            try:
                while time.monotonic() < stop:
                    writer.write(b"".join(request(id + number) for number in range(1, PIPELINED + 1)))
                    id, sent, left = id + PIPELINED, sent + PIPELINED, PIPELINED
                    while left:
                        data = await reader.read(65_536)
                        if not data:
                            raise OSError
                        left -= data.count(b"\n")
                    answered += PIPELINED
            except OSError:
                pass
            writer.close()

    await asyncio.gather(*(client() for _ in range(connections)))
    print(f"sent {sent}, answered {answered}", flush=True)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4])))
