"""Cuts between zones on loopback: each process drops what it would send across one. The system is left alone."""

from collections.abc import Callable
from typing import Any

from rackhub.fleet.link.message_transport import SourceAwareUdpPort
from rackhub.fleet.ports import Address
from rackhub.trials.scale.addresses import Addresses
from rackhub.trials.scale.layout import Layout


class CutFilter:
    """Of one process: which zones are cut off from all others. Both ends of every way are processes of the run, so
    that each needs to drop only what it sends."""

    def __init__(self, layout: Layout, addresses: Addresses):
        self._zones = {addresses.mail(place): place.zone for place in layout.all()}
        self._cut: frozenset[str] = frozenset()

    def cut(self, zones: tuple[str, ...]) -> None:
        self._cut = frozenset(zones)

    def drops(self, zone: str, to: Address) -> bool:
        return bool(self._cut) and (zone in self._cut) != (self._zones.get(to, zone) in self._cut)


class FilteredPort(SourceAwareUdpPort):
    """A socket of a place in `zone`."""

    def __init__(
        self,
        filter: CutFilter,
        zone: str,
        reactor: Any,
        bind: Address,
        take: Callable[[bytes, Address], None],
        count: Callable[[str], None],
    ):
        super().__init__(reactor, bind, take, count)
        self._filter, self._zone = filter, zone

    def send(self, to: Address, data: bytes) -> None:
        if not self._filter.drops(self._zone, to):
            super().send(to, data)
