"""A relay of a run: the relay's own shell on a link and members of its zone."""

from rackhub.fleet.distribution.relay_shell import RelayShell
from rackhub.trials.scale.layout import Place
from rackhub.trials.scale.occupant import Occupant
from rackhub.trials.scale.station import Site, Station, Traffic


class RelayOccupant(Occupant):
    """One relay; a run gives each a process of its own."""

    def __init__(self, site: Site, place: Place):
        self._station = Station(site, place, site.layout.voters + site.layout.relays, site.begin.boot)
        identity = site.identity(place, site.begin.boot)
        nodes = frozenset(node.name for node in site.layout.voters + site.layout.relays)
        self._shell = RelayShell(self._station.fleet, identity, nodes, site.plan.limits)

    def start(self) -> None:
        self._station.start()
        self._shell.start()

    def revision(self) -> int:
        return self._shell.version

    def traffic(self) -> Traffic:
        return self._station.traffic()

    def counts(self) -> dict[str, int]:
        return {f"relay_{name}": count for name, count in self._station.link.association.counts.items()}
