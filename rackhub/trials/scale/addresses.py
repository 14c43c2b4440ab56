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


def free_base(layout: Layout) -> int:
    """The first port of a range that is free now. Raises `NoPorts`."""
    wanted = 2 * len(layout.all())
    for base in range(FIRST_BASE, LAST_BASE, BASE_STEP):
        if all(_is_free(port) for port in range(base, base + wanted)):
            return base
    raise NoPorts(f"no {wanted} free ports in a row between {FIRST_BASE} and {LAST_BASE + wanted}")


def _is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
