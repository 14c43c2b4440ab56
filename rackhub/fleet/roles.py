"""Checks of the keys of `[fleet]` that give a process a role in a fleet with relays.

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
MAX_NODES = 256  # maximum number of voters and relays together
MAX_NAME_LENGTH = 63  # characters
NAME_PATTERN = re.compile(rf"[A-Za-z0-9][A-Za-z0-9._-]{{0,{MAX_NAME_LENGTH - 1}}}\Z")


class FleetNode(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One voter or relay in the directory `node`, which is the same at every process of the fleet."""

    name: str
    role: str  # "voter" or "relay"
    zone: str
    address: str  # UDP: its `watch_advertise`, or its `watch` without one


def check_role(settings: "FleetSettings") -> None:
    """Check the keys that depend on the role. Raises `ValueError` that names the invalid key."""
    if not settings.role:
        return _check_unused(settings)
    if settings.role not in ROLES:
        raise ValueError(f"role: {settings.role!r} is none of {', '.join(ROLES)}")
    _check_name("zone", settings.zone)
    if len(settings.zone_cluster) > MAX_NAME_LENGTH:
        raise ValueError(
            f"zone: {settings.zone!r}: with cluster and the dot between them it has {len(settings.zone_cluster)} "
            f"characters, at most {MAX_NAME_LENGTH} are allowed"
        )
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
    _check_local_node(settings)


def shares_overload(settings: "FleetSettings") -> bool:
    """Return whether this process shares overload decisions with the other gateways.

    They are shared among members, and with roles the members are those of one zone. With relays in several zones each
    gateway would count the load of its own zone alone, while the engines serve all zones. So each process then takes
    the equal share of the site's settings instead.
    """
    if not settings.overload or settings.role not in ("", COORDINATOR):
        return False
    return len({node.zone for node in settings.node if node.role == RELAY}) <= 1


def _check_unused(settings: "FleetSettings") -> None:
    defaults = type(settings)(cluster="", listen="")
    for key in ("zone", "watch", "watch_advertise", "scope", "node"):
        if getattr(settings, key) != getattr(defaults, key):
            raise ValueError(f"{key}: is set, and role is not")


def _check_name(key: str, text: str) -> None:
    if not NAME_PATTERN.match(text):
        raise ValueError(f"{key}: {text!r} is not 1 to {MAX_NAME_LENGTH} letters, digits, dots, dashes or underscores")


def _check_scope(settings: "FleetSettings") -> None:
    from rackhub.fleet.distribution.limits import MAX_KEY_BYTES, MAX_SCOPE_PREFIXES

    if not 1 <= len(settings.scope) <= MAX_SCOPE_PREFIXES:
        raise ValueError(f"scope: {len(settings.scope)} prefixes, 1 to {MAX_SCOPE_PREFIXES} are allowed")
    for number, prefix in enumerate(settings.scope):
        if len(prefix.encode()) > MAX_KEY_BYTES:
            raise ValueError(
                f"scope[{number}]: {prefix[:40]!r}... has {len(prefix.encode())} bytes, "
                f"no more than {MAX_KEY_BYTES} bytes are allowed"
            )


def _check_directory(nodes: tuple[FleetNode, ...]) -> None:
    if len(nodes) > MAX_NODES:
        raise ValueError(f"node: {len(nodes)} entries, at most {MAX_NODES} are allowed")
    numbers_by_name: dict[str, int] = {}
    numbers_by_address: dict[tuple[str, int], int] = {}
    for number, node in enumerate(nodes):
        key = f"node[{number}]"
        _check_name(f"{key}.name", node.name)
        _check_name(f"{key}.zone", node.zone)
        if node.role not in DIRECTORY_ROLES:
            raise ValueError(f"{key}.role: {node.role!r} is none of {', '.join(DIRECTORY_ROLES)}")
        node_address = parse_ipv4_address(node.address, f"{key}.address")
        if node.name in numbers_by_name:
            raise ValueError(f"{key}.name: {node.name!r} is that of node[{numbers_by_name[node.name]}], too")
        if node_address in numbers_by_address:
            raise ValueError(
                f"{key}.address: {node.address!r} is that of node[{numbers_by_address[node_address]}], too"
            )
        numbers_by_name[node.name], numbers_by_address[node_address] = number, number


def _check_voters(settings: "FleetSettings") -> None:
    voters = sorted(node.name for node in settings.node if node.role == VOTER)
    if not voters and settings.role in DIRECTORY_ROLES:
        raise ValueError("node: there is no voter among them")
    if sorted(settings.keepers) != voters and (settings.keepers or settings.role == VOTER):
        raise ValueError(f"keepers: {list(settings.keepers)!r}: the voters among node are {voters!r}")


def _check_local_node(settings: "FleetSettings") -> None:
    """Check that a voter or relay matches its entry in `node`; a coordinator has none, but its zone has a relay."""
    local_node = next((node for node in settings.node if node.name == settings.name), None)
    if settings.role == COORDINATOR:
        if local_node is not None:
            raise ValueError(f"node: {settings.name!r} is among them as {local_node.role}, and role is {COORDINATOR!r}")
        if not any(node.role == RELAY and node.zone == settings.zone for node in settings.node):
            raise ValueError(f"zone: {settings.zone!r} has no relay among node")
        return
    if local_node is None:
        raise ValueError(f"node: {settings.name!r} is not among them, and role is {settings.role!r}")
    if local_node.role != settings.role:
        raise ValueError(f"role: {settings.role!r}, and {settings.name!r} is a {local_node.role} among node")
    if local_node.zone != settings.zone:
        raise ValueError(f"zone: {settings.zone!r}, and {settings.name!r} is of zone {local_node.zone!r} among node")
    advertised = settings.watch_advertise or settings.watch
    if parse_ipv4_address(local_node.address, "node") != parse_ipv4_address(advertised, "watch"):
        raise ValueError(f"watch: {advertised!r}, and {settings.name!r} is at {local_node.address!r} among node")
