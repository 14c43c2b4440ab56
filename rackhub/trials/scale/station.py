"""What the places of one process share, and how a place gets its mail and its members."""

from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, NamedTuple

from rackhub.fleet.distribution.events import Role
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.link.message_transport import MessageTransport, MonotonicClock
from rackhub.fleet.link.port import UdpPort
from rackhub.fleet.members.part import Membership
from rackhub.fleet.ports import Address, Fleet, Member, Members, MemberState, Name
from rackhub.fleet.settings import FleetSettings
from rackhub.trials.processes.places import text
from rackhub.trials.scale.addresses import Addresses
from rackhub.trials.scale.cases import Plan, plan
from rackhub.trials.scale.filtered_port import CutFilter, FilteredPort
from rackhub.trials.scale.layout import Layout, Place, layout, scope_of, upstreams
from rackhub.trials.scale.orders import Begin

CLUSTER = "scale"
SEEDS = 3  # members of the zone that each calls at the start
START_RATE, START_MOST = 50.0, 90.0  # coordinators a second, and seconds at the most
HEADERS = 28  # bytes of IP and UDP for each datagram


class Traffic(NamedTuple):
    """Bytes on the wire so far, heads of IP and UDP included; `members`: in both directions, of the members' core."""

    bytes_in: int
    bytes_out: int
    members: int


class Site:
    """Layout, plan, addresses and cuts, as all processes of a run work them out from the same order."""

    def __init__(self, reactor: Any, begin: Begin):
        self.reactor, self.begin, self.settings = reactor, begin, begin.settings
        self.clock = MonotonicClock()
        self.layout: Layout = layout(begin.settings)
        self.plan: Plan = plan(begin.settings, self.layout)
        self.places: Mapping[str, Place] = self.layout.by_name()
        self.addresses = Addresses(self.layout, begin.base_port)
        self.filter = CutFilter(self.layout, self.addresses)
        self.upstreams = upstreams(self.layout)
        self.counters = Counter[str]()

    @property
    def start_seconds(self) -> float:
        """Over which the places of a process start: all at once they would need more of the machine than later."""
        return min(START_MOST, len(self.layout.coordinators) / START_RATE)

    def identity(self, place: Place, boot: int) -> Identity:
        return Identity(
            name=place.name,
            zone=place.zone,
            upstreams=self.upstreams[place.role],
            scope=scope_of(place.zone) if place.role is Role.COORDINATOR else ("",),
            seed=self.settings.seed,
            generation=boot,
        )

    def tally(self, name: str, by: int) -> None:
        self.counters[name] += by

    def later(self, delay: int, call: Callable[[], None]) -> Callable[[], None]:
        """After so many microseconds; gives its cancel."""
        due = self.reactor.callLater(max(delay, 0) / 1_000_000, call)

        def cancel() -> None:
            if due.active():
                due.cancel()

        return cancel


class Station:
    """One place on the network: its mail, and the members of its zone where the run has them."""

    def __init__(self, site: Site, place: Place, directory: tuple[Place, ...], boot: int):
        self.site, self.place = site, place
        self.link = MessageTransport(
            site.reactor,
            site.addresses.mail(place),
            CLUSTER,
            place.name,
            boot,
            site.addresses.mail(place),
            {peer.name: site.addresses.mail(peer) for peer in directory},
            seed=site.settings.seed,
            port=partial(FilteredPort, site.filter, place.zone),
        )
        self.membership = self._membership() if site.settings.members else None
        members: Members = (
            OneMember(place.name, site.addresses.members(place), boot)
            if self.membership is None
            else self.membership.members
        )
        board: Any = None if self.membership is None else self.membership.gossip_state
        self.fleet = Fleet(members, board, self.link, site.clock, site.tally, site.later, site.settings.seed)

    def _membership(self) -> Membership:
        site, place = self.site, self.place
        settings = FleetSettings(
            cluster=f"{CLUSTER}.{place.zone}",
            listen=text(site.addresses.members(place)),
            name=place.name,
            join=seeds(site.layout, site.addresses, place.zone),
        )
        return Membership(site.reactor, settings, None, seed=site.settings.seed)

    def start(self) -> None:
        self.link.start()
        if self.membership is not None:
            self.membership.start()

    def stop(self) -> list[Any]:
        """The sockets' ends."""
        ends = [self.link.stop()]
        if self.membership is not None:
            ends.append(self.membership.stop())
        return [end for end in ends if end is not None]

    def traffic(self) -> Traffic:
        mail = _traffic(self.link.port)
        if self.membership is None:
            return mail
        members = _traffic(self.membership.port)
        return Traffic(
            mail.bytes_in + members.bytes_in,
            mail.bytes_out + members.bytes_out,
            members.bytes_in + members.bytes_out,
        )


def _traffic(port: UdpPort) -> Traffic:
    return Traffic(port.bytes_in + HEADERS * port.packets_in, port.bytes_out + HEADERS * port.packets_out, 0)


def seeds(layout: Layout, addresses: Addresses, zone: str) -> tuple[str, ...]:
    """Whom a member of the zone calls at its start."""
    members = [place for place in layout.relays + layout.coordinators if place.zone == zone]
    return tuple(text(addresses.members(place)) for place in members[:SEEDS])


class OneMember:
    """`ports.Members` of a place that runs without a members' core: it knows of nobody else."""

    def __init__(self, me: Name, address: Address, boot: int):
        self.local_name = me
        self._all = {me: Member(me, address, boot, 0, MemberState.ALIVE, 0)}

    def all(self) -> Mapping[Name, Member]:
        return self._all

    def live(self) -> frozenset[Name]:
        return frozenset({self.local_name})

    def reachable(self) -> frozenset[Name]:
        return frozenset({self.local_name})

    def receives_from(self, one: Name, other: Name) -> bool | None:
        return True if one == other else None

    def follow(self, call: Callable[[Member], None]) -> None:
        """Nothing changes."""
