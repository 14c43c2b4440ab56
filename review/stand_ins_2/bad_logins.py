"""Bad TDS clients in a process of their own: they log in with words that don't exist, again when they are turned away.

Usage: bad_logins.py PORT CLIENTS SECONDS OPTIONS

OPTIONS is the number of options in the PRELOGIN of each; a usual one has five.
"""

import asyncio
import sys
import time
from collections import Counter

from review.stand_ins_2.tds import failed_login, long_prelogin


async def main(port: int, clients: int, seconds: float, options: int) -> None:
    """Run the clients, and print how their tries ended."""
    ends: Counter[str] = Counter()
    prelogin = long_prelogin(options)
    stop = time.monotonic() + seconds

    async def client(number: int) -> None:
        while time.monotonic() < stop:
            ends[await failed_login(port, f"nobody-{number}", "guessed", prelogin)] += 1

    await asyncio.gather(*(client(number) for number in range(clients)))
    print(dict(ends), flush=True)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4])))
