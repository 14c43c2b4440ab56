"""A process of a run: takes orders on its standard input, and ends when that does.

Started by the parent as `python -m rackhub.trials.scale.child`; what it is follows from its places.
"""

import os
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from twisted.internet import stdio
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.protocols.basic import LineOnlyReceiver

from rackhub.fleet.distribution.events import Role
from rackhub.trials.scale.lateness import Lateness
from rackhub.trials.scale.occupant import Occupant
from rackhub.trials.scale.orders import (
    AnyOrder,
    AnyReport,
    Begin,
    Begun,
    CutOff,
    Edit,
    Finish,
    Finished,
    Poll,
    Polled,
    RestartCoordinator,
    Restarted,
    decode_order,
    encode,
)
from rackhub.trials.scale.station import Site
from rackhub.trials.scale.trace import Trace

LONGEST_ORDER = 1 << 24


def resident_bytes() -> int:
    """Of this process."""
    pages = int(Path("/proc/self/statm").read_text("ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


class Child(LineOnlyReceiver):
    """The pipe to the parent, and the places of this process."""

    delimiter = b"\n"
    MAX_LENGTH = LONGEST_ORDER

    def __init__(self, reactor: Any):
        self._reactor = reactor
        self._occupants: dict[str, Any] = {}
        self._lateness: Lateness | None = None
        self._site: Site | None = None

    def lineReceived(self, line: bytes) -> None:
        self._obey(decode_order(line))

    def connectionLost(self, reason: Any = None) -> None:
        if self._reactor.running:
            self._reactor.stop()

    def tell(self, report: AnyReport) -> None:
        self.sendLine(encode(report))

    def _obey(self, order: AnyOrder) -> None:
        match order:
            case Begin():
                self._begin(order)
            case CutOff(zones):
                assert self._site is not None
                self._site.filter.cut(zones)
            case RestartCoordinator(name, down):
                self._occupants[name].restart(down, lambda start, end: self.tell(Restarted(name, start, end)))
            case Edit():
                self._edit()
            case Poll():
                self.tell(self._polled())
            case Finish():
                self.tell(self._finished())

    def _begin(self, begin: Begin) -> None:
        site = self._site = Site(self._reactor, begin)
        places = [site.places[name] for name in begin.places]
        makers = [_occupant_type(place.role) for place in places]
        memory = resident_bytes()
        self._occupants = {place.name: make(site, place) for place, make in zip(places, makers, strict=True)}
        pause = site.start_seconds / len(places)
        for index, occupant in enumerate(self._occupants.values()):
            self._reactor.callLater(index * pause, occupant.start)
        self._lateness = Lateness(self._reactor)
        self.tell(Begun(memory))

    def _edit(self) -> None:
        voter = next(iter(self._occupants.values()))
        voter.edit(self.tell)

    def _polled(self) -> Polled:
        occupants: Sequence[Occupant] = list(self._occupants.values())
        traffics = [occupant.traffic() for occupant in occupants]
        return Polled(
            lowest=min(occupant.revision() for occupant in occupants),
            ready=all(occupant.ready() for occupant in occupants),
            lagging=sum(occupant.lagging() for occupant in occupants),
            bytes_in=sum(traffic.bytes_in for traffic in traffics),
            bytes_out=sum(traffic.bytes_out for traffic in traffics),
            members_bytes=sum(traffic.members for traffic in traffics),
            cpu=time.process_time(),
            memory=resident_bytes(),
            lateness=self._lateness.take() if self._lateness is not None else (),
        )

    def _finished(self) -> Finished:
        traces: list[Trace] = []
        content: dict[str, str] = {}
        status = ""
        counters = dict(self._site.counters) if self._site is not None else {}
        for occupant in self._occupants.values():
            traces += occupant.traces()
            content |= occupant.content()
            status = status or occupant.status()
            for name, count in occupant.counts().items():
                counters[name] = counters.get(name, 0) + count
        return Finished(tuple(traces), content, status, counters)


def _occupant_type(role: Role) -> Any:
    """Imported only where it is used, and before memory is measured."""
    if role is Role.COORDINATOR:
        from rackhub.trials.scale.hollow import HollowCoordinator

        return HollowCoordinator
    if role is Role.RELAY:
        from rackhub.trials.scale.relay_process import RelayOccupant

        return RelayOccupant
    from rackhub.trials.scale.voter_process import VoterOccupant

    return VoterOccupant


def main() -> None:
    from twisted.internet import reactor

    child: TwistedProtocol = Child(reactor)
    stdio.StandardIO(child)
    reactor.run()  # type: ignore[attr-defined,misc]


if __name__ == "__main__":
    main()
