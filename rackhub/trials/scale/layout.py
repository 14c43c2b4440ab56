"""Who is where in a run: regions, zones, voters, relays and hollow coordinators, with their names and scopes."""

import msgspec

from rackhub.fleet.distribution.events import Node, Role
from rackhub.trials.scale.settings import REGIONS, VOTERS, RunSettings

RULE_KEYS = "rules/"  # prefix of the rule book's, which real coordinators put in force
GLOBAL_KEYS = "global/"  # prefix of what every hollow coordinator has in scope beside those


class Place(msgspec.Struct, frozen=True):
    """One process of the fleet. `index`: of all places, for its ports."""

    name: str
    role: Role
    zone: str
    region: str
    index: int

    def node(self) -> Node:
        return Node(self.name, self.role, self.zone)


class Layout(msgspec.Struct, frozen=True):
    """All places by role. `regions`: of each zone."""

    voters: tuple[Place, ...]
    relays: tuple[Place, ...]
    coordinators: tuple[Place, ...]
    regions: dict[str, str]

    def all(self) -> tuple[Place, ...]:
        return self.voters + self.relays + self.coordinators

    def by_name(self) -> dict[str, Place]:
        return {place.name: place for place in self.all()}

    def zone_of(self) -> dict[str, str]:
        return {place.name: place.zone for place in self.all()}

    def of_zone(self, zone: str) -> list[str]:
        """Names of the zone's coordinators."""
        return [place.name for place in self.coordinators if place.zone == zone]

    def relays_of(self, zone: str) -> list[str]:
        return [place.name for place in self.relays if place.zone == zone]

    def zones_in(self, regions: set[str]) -> list[str]:
        return [zone for zone, region in self.regions.items() if region in regions]


def upstreams(layout: Layout) -> dict[Role, tuple[Node, ...]]:
    """Whom a process of each role watches: a coordinator all relays, a relay all voters."""
    relays = tuple(place.node() for place in layout.relays)
    voters = tuple(place.node() for place in layout.voters)
    return {Role.COORDINATOR: relays, Role.RELAY: voters, Role.VOTER: ()}


def zone_keys(zone: str) -> str:
    """Prefix of the keys that only this zone's coordinators have in scope."""
    return f"zone/{zone}/"


def scope_of(zone: str) -> tuple[str, ...]:
    """Of a hollow coordinator."""
    return (RULE_KEYS, GLOBAL_KEYS, zone_keys(zone))


def layout(settings: RunSettings) -> Layout:
    """Zones are dealt to regions, relays and coordinators to zones, voters to regions, each in turn."""
    zones = [f"z{number}" for number in range(1, settings.zones + 1)]
    regions = {zone: f"r{index % REGIONS + 1}" for index, zone in enumerate(zones)}
    index = 0

    def place(name: str, role: Role, zone: str) -> Place:
        nonlocal index
        index += 1
        return Place(name, role, zone, regions[zone], index - 1)

    voters = [place(f"voter-{number + 1}", Role.VOTER, zones[number % len(zones)]) for number in range(VOTERS)]
    relays = []
    for number in range(settings.relays):
        zone = zones[number % len(zones)]
        relays.append(place(f"relay-{zone}-{number // len(zones) + 1}", Role.RELAY, zone))
    coordinators = []
    for number in range(settings.coordinators):
        zone = zones[number % len(zones)]
        coordinators.append(place(f"coordinator-{zone}-{number // len(zones) + 1:03}", Role.COORDINATOR, zone))
    return Layout(tuple(voters), tuple(relays), tuple(coordinators), regions)
