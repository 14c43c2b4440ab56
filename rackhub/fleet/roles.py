"""The keys of `[fleet]` that give a process a role in a fleet with relays, and their checks.

Docs: docs/operators/distribution.md. Nothing of `rackhub.fleet.distribution` is imported unless `role` is set.
"""

import re
from typing import TYPE_CHECKING

import msgspec

from rackhub.address import parse_ipv4_address

if TYPE_CHECKING:
    from rackhub.fleet.settings import FleetSettings

VOTER, RELAY, COORDINATOR = "voter", "relay", "coordinator"
ROLES = (VOTER, RELAY, COORDINATOR)
DIRECTORY_ROLES = (VOTER, RELAY)
MOST_NODES = 256
LONGEST_NAME = 63
NAME = re.compile(rf"[A-Za-z0-9][A-Za-z0-9._-]{{0,{LONGEST_NAME - 1}}}\Z")


class FleetNode(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One voter or relay, as every process of the fleet knows it."""

    name: str
    role: str  # "voter" or "relay"
    zone: str
    address: str  # UDP: what it has as `watch`, or as `watch_advertise`


def check_role(settings: "FleetSettings") -> None:
    """Raises `ValueError` worded with the key at fault."""
    if not settings.role:
        return _check_unused(settings)
    if settings.role not in ROLES:
        raise ValueError(f"role: {settings.role!r} is none of {', '.join(ROLES)}")
    _check_name("zone", settings.zone)
    if len(settings.zone_cluster) > LONGEST_NAME:
        raise ValueError(f"zone: {settings.zone!r}: with cluster it has more than {LONGEST_NAME - 1} letters")
    if not settings.watch:
        raise ValueError(f"watch: not set, and role is {settings.role!r}")
    parse_ipv4_address(settings.watch, "watch")
    if settings.watch_advertise:
        parse_ipv4_address(settings.watch_advertise, "watch_advertise")
    if settings.role in (VOTER, COORDINATOR) and not settings.state:
        raise ValueError(f"state: not set, and role is {settings.role!r}, whose revision must outlive a restart")
    _check_scope(settings)
    _check_directory(settings.node)
    _check_voters(settings)
    _check_own_place(settings)


def shares_overload(settings: "FleetSettings") -> bool:
    """Whether overload is one for all that this process serves engines with. Members tell of it, and with roles those
    are of one zone: with relays in several zones each would count its zone alone, while the engines serve all of them,
    so each process stands at its even part by the site's settings instead."""
    if not settings.overload or settings.role not in ("", COORDINATOR):
        return False
    return len({node.zone for node in settings.node if node.role == RELAY}) <= 1


def _check_unused(settings: "FleetSettings") -> None:
    defaults = type(settings)(cluster="", listen="")
    for key in ("zone", "watch", "watch_advertise", "scope", "node"):
        if getattr(settings, key) != getattr(defaults, key):
            raise ValueError(f"{key}: is set, and role is not")


def _check_name(key: str, text: str) -> None:
    if not NAME.match(text):
        raise ValueError(f"{key}: {text!r} is not 1 to {LONGEST_NAME} letters, digits, dots, dashes or underscores")


def _check_scope(settings: "FleetSettings") -> None:
    from rackhub.fleet.distribution.limits import MAX_KEY_BYTES, MAX_SCOPE_PREFIXES

    if not 1 <= len(settings.scope) <= MAX_SCOPE_PREFIXES:
        raise ValueError(f"scope: {len(settings.scope)} prefixes, and 1 to {MAX_SCOPE_PREFIXES} are needed")
    for number, prefix in enumerate(settings.scope):
        if len(prefix.encode()) > MAX_KEY_BYTES:
            raise ValueError(f"scope[{number}]: {prefix[:40]!r}... has more than {MAX_KEY_BYTES} bytes")


def _check_directory(nodes: tuple[FleetNode, ...]) -> None:
    if len(nodes) > MOST_NODES:
        raise ValueError(f"node: {len(nodes)} of them, more than {MOST_NODES}")
    names: dict[str, int] = {}
    places: dict[tuple[str, int], int] = {}
    for number, node in enumerate(nodes):
        key = f"node[{number}]"
        _check_name(f"{key}.name", node.name)
        _check_name(f"{key}.zone", node.zone)
        if node.role not in DIRECTORY_ROLES:
            raise ValueError(f"{key}.role: {node.role!r} is none of {', '.join(DIRECTORY_ROLES)}")
        place = parse_ipv4_address(node.address, f"{key}.address")
        if node.name in names:
            raise ValueError(f"{key}.name: {node.name!r} is that of node[{names[node.name]}], too")
        if place in places:
            raise ValueError(f"{key}.address: {node.address!r} is that of node[{places[place]}], too")
        names[node.name], places[place] = number, number


def _check_voters(settings: "FleetSettings") -> None:
    voters = sorted(node.name for node in settings.node if node.role == VOTER)
    if not voters and settings.role in DIRECTORY_ROLES:
        raise ValueError("node: there is no voter among them")
    if sorted(settings.keepers) != voters and (settings.keepers or settings.role == VOTER):
        raise ValueError(f"keepers: {list(settings.keepers)!r}: the voters among node are {voters!r}")


def _check_own_place(settings: "FleetSettings") -> None:
    """A voter or relay stands in the directory just so, and a coordinator does not; its zone has a relay."""
    own = next((node for node in settings.node if node.name == settings.name), None)
    if settings.role == COORDINATOR:
        if own is not None:
            raise ValueError(f"node: {settings.name!r} is among them as {own.role}, and role is {COORDINATOR!r}")
        if not any(node.role == RELAY and node.zone == settings.zone for node in settings.node):
            raise ValueError(f"zone: {settings.zone!r} has no relay among node")
        return
    if own is None:
        raise ValueError(f"node: {settings.name!r} is not among them, and role is {settings.role!r}")
    if own.role != settings.role:
        raise ValueError(f"role: {settings.role!r}, and {settings.name!r} is a {own.role} among node")
    if own.zone != settings.zone:
        raise ValueError(f"zone: {settings.zone!r}, and {settings.name!r} is of zone {own.zone!r} among node")
    advertised = settings.watch_advertise or settings.watch
    if parse_ipv4_address(own.address, "node") != parse_ipv4_address(advertised, "watch"):
        raise ValueError(f"watch: {advertised!r}, and {settings.name!r} is at {own.address!r} among node")
