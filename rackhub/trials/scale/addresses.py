"""Ports of a run on 127.0.0.1: one for mail and one for the members' core, for each place of the layout."""

import socket

from rackhub.fleet.ports import Address
from rackhub.trials.scale.layout import Layout, Place

HOST = "127.0.0.1"
FIRST_BASE, BASE_STEP, LAST_BASE = 11_000, 1_000, 24_000


class NoPorts(Exception):
    """No range of ports that is free and long enough."""


class Addresses:
    """Where each place of a layout is."""

    def __init__(self, layout: Layout, base_port: int):
        self._base, self._count = base_port, len(layout.all())

    def mail(self, place: Place) -> Address:
        return HOST, self._base + place.index

    def members(self, place: Place) -> Address:
        return HOST, self._base + self._count + place.index


class HeldPorts:
    """A range of UDP ports that no other run takes until `release`.

    The processes of a run bind the ports some time after the choice. Meanwhile a lock holds them: the TCP port of the
    same number, bound, at each multiple of `BASE_STEP` that the range covers.
    """

    def __init__(self, base: int, locks: list[socket.socket]):
        """`locks` are the bound sockets; use `hold_ports` instead."""
        self.base = base
        self._locks = locks

    def release(self) -> None:
        """Let other runs take the range."""
        for lock in self._locks:
            lock.close()
        self._locks = []


def hold_ports(layout: Layout) -> HeldPorts:
    """Hold a range of ports that is free, and that no other run holds. Raises `NoPorts`."""
    wanted = 2 * len(layout.all())
    for base in range(FIRST_BASE, LAST_BASE, BASE_STEP):
        locks = _lock_range(base, wanted)
        held = HeldPorts(base, locks or [])
        if locks is not None and all(_is_free(port) for port in range(base, base + wanted)):
            return held
        held.release()
    raise NoPorts(f"no {wanted} free ports in a row between {FIRST_BASE} and {LAST_BASE + wanted}")


def _lock_range(base: int, wanted: int) -> list[socket.socket] | None:
    """Bind the locks of a range; return None if another run holds one of them."""
    locks: list[socket.socket] = []
    for port in range(base, base + wanted, BASE_STEP):
        lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        locks.append(lock)
        try:
            lock.bind((HOST, port))
        except OSError:
            HeldPorts(base, locks).release()
            return None
    return locks


def _is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
