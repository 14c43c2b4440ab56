"""The `[fleet]` table of the operator's file: its type and its checks. Each error names the key and the value.

Docs: docs/operators/fleet.md.
"""

from pathlib import Path
from typing import Any

import msgspec

from rackhub import interface
from rackhub.address import parse_ipv4_address
from rackhub.fleet.roles import NAME_PATTERN, FleetNode, check_role

MAX_JOIN_ADDRESSES = 64
KEEPER_COUNTS = (1, 3, 5)


class FleetSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The keys of `[fleet]`. Times are in milliseconds."""

    cluster: str  # name of the fleet; packets of another cluster are dropped
    listen: str  # UDP address and port for the other gateways; only they should be able to reach it
    advertise: str = ""  # address and port at which the others reach `listen`, if that is a different one
    name: str = ""  # name of this gateway; by default `name` of the configuration
    site: str = ""  # name of the installation, for gathers and in the output of the command `fleet`
    join: tuple[str, ...] = ()  # addresses of other members to contact at the start; the local address is ignored
    control: str = ""  # TCP address and port of the control port for the command line; empty: there is none
    state: str = ""  # directory for data that outlives a restart; empty: nothing is kept
    keepers: tuple[str, ...] = ()  # names of the gateways that keep the rule set, an odd number; empty: no rule set
    probe_ms: int = 500  # interval between SWIM probes
    timeout_ms: int = 200  # timeout of a SWIM probe
    records_ms: int = (
        3_000  # maximum age of a load record; its gateway then counts as unresponsive: with an equal share
    )
    overload: bool = True  # share the overload decisions, retry budget and health checks among the gateways
    role: str = ""  # role in a fleet with relays: "voter", "relay" or "coordinator"; empty: a fleet without relays
    zone: str = ""  # zone of this process, with a role; its members are the processes of this zone
    watch: str = ""  # UDP address and port of configuration changes, with a role
    watch_advertise: str = ""  # address and port at which the others reach `watch`, if that is a different one
    scope: tuple[str, ...] = ("",)  # prefixes of the keys that this coordinator receives
    node: tuple[FleetNode, ...] = ()  # all voters and relays, with a role; the same at every process
    worth_guard: float = 0.1  # fraction of the fleet's capacity reserved for tenants below their quota

    @property
    def listen_address(self) -> tuple[str, int]:
        """The address and port that the membership socket binds."""
        return parse_ipv4_address(self.listen, "listen")

    @property
    def advertised_address(self) -> tuple[str, int]:
        """The address and port at which the others reach this gateway."""
        return parse_ipv4_address(self.advertise, "advertise") if self.advertise else self.listen_address

    @property
    def zone_cluster(self) -> str:
        """The name of the cluster in membership packets: with a role, each zone is a cluster of its own."""
        return f"{self.cluster}.{self.zone}" if self.role else self.cluster


def fleet_settings(table: dict[str, Any], settings: interface.Settings, name: str) -> FleetSettings:
    """Return the checked table; `name` is the default of its key `name`.

    Raises `ValueError` or `msgspec.ValidationError` that names the key.
    """
    fleet = msgspec.convert(table, FleetSettings, strict=True)
    fleet = msgspec.structs.replace(fleet, name=fleet.name or name)
    for key, text in (
        ("cluster", fleet.cluster),
        ("name", fleet.name),
        *((f"keepers[{i}]", keeper) for i, keeper in enumerate(fleet.keepers)),
    ):
        if not NAME_PATTERN.match(text):
            raise ValueError(f"{key}: {text!r} is not 1 to 63 letters, digits, dots, dashes or underscores")
    parse_ipv4_address(fleet.listen, "listen")
    if fleet.advertise:
        parse_ipv4_address(fleet.advertise, "advertise")
    if fleet.control:
        parse_ipv4_address(fleet.control, "control")
    for i, peer in enumerate(fleet.join):
        parse_ipv4_address(peer, f"join[{i}]")
    if len(fleet.join) > MAX_JOIN_ADDRESSES:
        raise ValueError(f"join: {len(fleet.join)} addresses, at most {MAX_JOIN_ADDRESSES} are allowed")
    if fleet.keepers and (len(set(fleet.keepers)) != len(fleet.keepers) or len(fleet.keepers) not in KEEPER_COUNTS):
        raise ValueError(f"keepers: {list(fleet.keepers)!r}: has to be one, three or five different names")
    if fleet.name in fleet.keepers and not fleet.state:
        raise ValueError(f"state: not set, and {fleet.name!r} is one of keepers, whose votes must outlive a restart")
    if fleet.state and not Path(fleet.state).is_absolute():
        raise ValueError(f"state: {fleet.state!r} is not an absolute path")
    ranges = (
        ("probe_ms", fleet.probe_ms, 50, 60_000),
        ("records_ms", fleet.records_ms, 200, 60_000),
        ("timeout_ms", fleet.timeout_ms, 10, fleet.probe_ms),
    )
    for key, value, minimum, maximum in ranges:
        if not minimum <= value <= maximum:
            raise ValueError(f"{key}: {value} is not from {minimum} to {maximum}")
    if not 0 <= fleet.worth_guard <= 0.5:
        raise ValueError(f"worth_guard: {fleet.worth_guard} is not from 0 to 0.5")
    check_role(fleet)
    return fleet
