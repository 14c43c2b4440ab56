"""The switch between gateways: it owns the UDP address that each is known by, and hands on by direction.

Gateway j sends from its own socket to k's address, which is a socket here; the switch knows j by where the datagram
came from, and sends it to k's own socket from j's address. So k sees j's address as its source, as on a plain network.
Datagrams from anyone else are counted and dropped.
"""

import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from rackhub.fleet.ports import Address, Clock
from rackhub.trials.processes.lanes import Lane, Way

log = logging.getLogger(__name__)
SECOND = 1_000_000
Tap = Callable[[str, str, bytes], bytes | None]  # from whom, to whom, what: what goes on in its place, None: nothing


class _Place(DatagramProtocol):
    """One gateway's address."""

    transport: Any

    def __init__(self, came: Callable[[bytes, Address], None]):
        self.datagramReceived = came  # type: ignore[method-assign, assignment]


class Switch:
    """`binds`: where each gateway's own socket is, by name. `log` keeps each change with its time. `tap`
    is handed each datagram before its lane is."""

    def __init__(self, reactor: Any, clock: Clock, binds: Mapping[str, Address], seed: int):
        self._reactor, self._clock, self._binds = reactor, clock, dict(binds)
        self._by_bind = {address: name for name, address in binds.items()}
        self.lanes = {(one, other): Lane(f"{one}>{other}", seed) for one in binds for other in binds if one != other}
        self.log: list[tuple[int, str]] = []
        self.strangers = 0
        self.tap: Tap | None = None
        self._places = {name: _Place(self._taker(name)) for name in binds}
        self._ports = {name: reactor.listenUDP(0, self._places[name], interface=binds[name][0]) for name in binds}
        self.addresses: dict[str, Address] = {
            name: (binds[name][0], port.getHost().port) for name, port in self._ports.items()
        }

    def _taker(self, to: str) -> Callable[[bytes, Address], None]:
        def came(packet: bytes, source: Address) -> None:
            name = self._by_bind.get(source)
            if name is None or name == to:
                self.strangers += 1
                return
            tapped = packet if self.tap is None else self.tap(name, to, packet)
            for out in () if tapped is None else self.lanes[name, to].step(tapped):
                if out.after:
                    self._reactor.callLater(out.after / SECOND, self._deliver, name, to, out.packet)
                else:
                    self._deliver(name, to, out.packet)

        return came

    def _deliver(self, source: str, to: str, packet: bytes) -> None:
        transport = self._places[source].transport
        if transport is not None:
            try:
                transport.write(packet, self._binds[to])
            except OSError as fault:  # nobody listens there just now
                log.debug("switch: %s", fault)

    def set(self, some: Iterable[str], others: Iterable[str], way: Way, both: bool = True) -> None:
        """From now on this is how it is from each of `some` to each of `others`, and back where `both`."""
        some, others = list(some), list(others)
        for one in some:
            for other in others:
                if one != other:
                    self.lanes[one, other].way = way
                    if both:
                        self.lanes[other, one].way = way
        arrow = "<>" if both else ">"
        self.log.append((self._clock.now(), f"{','.join(some)}{arrow}{','.join(others)}: {way}"))

    def heal(self) -> None:
        for lane in self.lanes.values():
            lane.way = Way()
        self.log.append((self._clock.now(), "healed"))

    def counts(self) -> dict[str, int]:
        total: dict[str, int] = {}
        for lane in self.lanes.values():
            for word, count in lane.counts.items():
                total[word] = total.get(word, 0) + count
        return total

    def close(self) -> None:
        for port in self._ports.values():
            port.stopListening()
