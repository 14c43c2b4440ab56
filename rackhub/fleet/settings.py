"""The `[fleet]` part of the operator's file: one type, filled and checked here, handed down.

Docs: docs/operators/fleet.md. Each fault names its key and value.
"""

from pathlib import Path
from typing import Any

import msgspec

from rackhub import interface
from rackhub.address import parse_ipv4_address
from rackhub.fleet.roles import NAME, FleetNode, check_role

SEEDS, KEEPERS = 64, (1, 3, 5)


class FleetSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Times are milliseconds, as an operator words them."""

    cluster: str  # packets of another one are dropped
    listen: str  # UDP, for the other gateways: an address and port that only they reach
    advertise: str = ""  # the address and port at which the others reach `listen`, where it is another one
    name: str = ""  # of this gateway; the configuration's without it
    site: str = ""  # where it stands, for gathers and for the reader
    join: tuple[str, ...] = ()  # peers' addresses to begin with; the own one among them is passed over
    control: str = ""  # TCP, where the command line speaks to this gateway; none without it
    state: str = ""  # a directory for what must outlive a restart; nothing is kept without it
    keepers: tuple[str, ...] = ()  # names of the gateways that keep the rule book: three or five; none: no rule book
    probe_ms: int = 500  # how often each gateway probes another
    timeout_ms: int = 200  # for the answer to a probe
    records_ms: int = 3_000  # older records of another gateway do not count: it stands at its even slice
    overload: bool = True  # one level, budgets and probes for all
    role: str = ""  # in a fleet with relays: "voter", "relay" or "coordinator"; empty: a fleet without relays
    zone: str = ""  # with a role: membership is among the processes of one zone
    watch: str = ""  # with a role: UDP, where changes of configuration come and go
    watch_advertise: str = ""  # the address and port at which the others reach `watch`, where it is another one
    scope: tuple[str, ...] = ("",)  # prefixes of the keys that this coordinator gets
    node: tuple[FleetNode, ...] = ()  # with a role: all voters and relays, the same at every process
    worth_guard: float = 0.1  # of the fleet's share, that is left to tenants below their part whatever they ask

    @property
    def listen_address(self) -> tuple[str, int]:
        return parse_ipv4_address(self.listen, "listen")

    @property
    def advertised_address(self) -> tuple[str, int]:
        """Where the others find this gateway."""
        return parse_ipv4_address(self.advertise, "advertise") if self.advertise else self.listen_address

    @property
    def zone_cluster(self) -> str:
        """The cluster's name on the members' link: with a role, each zone is a cluster of its own."""
        return f"{self.cluster}.{self.zone}" if self.role else self.cluster


def fleet_settings(part: dict[str, Any], settings: interface.Settings, name: str) -> FleetSettings:
    """The part as it is used. Raises `ValueError` or `msgspec.ValidationError`, worded with the key."""
    told = msgspec.convert(part, FleetSettings, strict=True)
    told = msgspec.structs.replace(told, name=told.name or name)
    for key, text in (
        ("cluster", told.cluster),
        ("name", told.name),
        *((f"keepers[{i}]", keeper) for i, keeper in enumerate(told.keepers)),
    ):
        if not NAME.match(text):
            raise ValueError(f"{key}: {text!r} is not 1 to 63 letters, digits, dots, dashes or underscores")
    parse_ipv4_address(told.listen, "listen")
    if told.advertise:
        parse_ipv4_address(told.advertise, "advertise")
    if told.control:
        parse_ipv4_address(told.control, "control")
    for i, seed in enumerate(told.join):
        parse_ipv4_address(seed, f"join[{i}]")
    if len(told.join) > SEEDS:
        raise ValueError(f"join: {len(told.join)} addresses, more than {SEEDS}")
    if told.keepers and (len(set(told.keepers)) != len(told.keepers) or len(told.keepers) not in KEEPERS):
        raise ValueError(f"keepers: {list(told.keepers)!r}: one, three or five names, each once, are needed")
    if told.name in told.keepers and not told.state:
        raise ValueError(f"state: not set, and {told.name!r} is one of keepers, which must outlive a restart")
    if told.state and not Path(told.state).is_absolute():
        raise ValueError(f"state: {told.state!r} is not an absolute path")
    ranges = (
        ("probe_ms", told.probe_ms, 50, 60_000),
        ("records_ms", told.records_ms, 200, 60_000),
        ("timeout_ms", told.timeout_ms, 10, told.probe_ms),
    )
    for key, value, least, most in ranges:
        if not least <= value <= most:
            raise ValueError(f"{key}: {value} is not from {least} to {most}")
    if not 0 <= told.worth_guard <= 0.5:
        raise ValueError(f"worth_guard: {told.worth_guard} is not from 0 to 0.5")
    check_role(told)
    return told
