"""Addresses on 127.0.0.0/8 that nobody has, for gateways that open them later.

Each rig takes a block of its own, near its process id, and holds it by a lock, so that two of them on one machine do
not meet. A port is one that was free a moment ago, and only the rig's own processes bind in its block.
"""

import os
import socket

from rackhub.fleet.ports import Address

BLOCKS = 128 * 256  # 127.64.0 to 127.191.255
LOCK_HOST, LOCK_PORT = 254, 11_000  # bound as long as the block is held


class NoBlock(Exception):
    """All blocks are held."""


def _hold_block(first: int) -> tuple[str, socket.socket]:
    """Return the first block from number `first` on that nobody holds, with its lock. Raises `NoBlock`."""
    for number in range(first, first + BLOCKS):
        block = f"127.{64 + (number >> 8) % 128}.{number & 255}"
        lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            lock.bind((f"{block}.{LOCK_HOST}", LOCK_PORT))
        except OSError:
            lock.close()
        else:
            return block, lock
    raise NoBlock(f"all {BLOCKS} blocks of addresses are held")


class Places:
    """`host(n)` is the block's n-th address; gateways stand at 10 and up, engines at 100 and up, the rig's own at 1."""

    def __init__(self, pid: int | None = None):
        self.block, self._lock = _hold_block(os.getpid() if pid is None else pid)
        self._given: set[Address] = set()

    def host(self, number: int) -> str:
        return f"{self.block}.{number}"

    def free(self, host: str, udp: bool = False) -> Address:
        """An address that can be bound now and was not given before."""
        while True:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM if udp else socket.SOCK_STREAM) as held:
                held.bind((host, 0))
                found = host, int(held.getsockname()[1])
            if found not in self._given:
                self._given.add(found)
                return found


def text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
