"""A site made up for the rig: settings as the platform words them, a configuration and an operator's file a gateway.

Only the public protocol and deployment pages are behind it. Times in the settings are microseconds.
"""

import json
import random
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from rackhub.fleet.ports import Address
from rackhub.trials.processes.places import text

MS, SECOND = 1_000, 1_000_000


class Kind(msgspec.Struct, frozen=True):
    """One class of requests. `share` of the traffic; `work` is its mean, of all threads together."""

    name: str
    share: float
    work: int
    deadline: int
    objective: int
    stretch: float
    worth: float
    threads: int = 1
    effect: str = "retryable"
    window: int = 0


KINDS = (
    Kind("lookup", 0.81, 60 * MS, 2 * SECOND, 600 * MS, 1.5, 1.0),
    Kind("report", 0.14, 600 * MS, 6 * SECOND, 2 * SECOND, 2.5, 7.5, threads=3),
    Kind(
        "depot-load", 0.05, 800 * MS, 8 * SECOND, 2 * SECOND, 2.5, 10.0, threads=2, effect="dedup", window=25 * SECOND
    ),
)


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """What a rig is made from; the same plan and seed give the same site but for its ports."""

    gateways: int = 3
    sites: int = 2
    engines: int = 4  # of all sites together
    cores: float = 4.0  # of each
    peers: bool = True
    probes: bool = False  # whether the site lets gateways probe engines
    fleet: bool = False  # write the gateways' `[fleet]` parts
    keepers: int = 0  # of the rule book: the first so many gateways
    roles: tuple[str, ...] = ()  # of the gateways in a fleet with relays, all of one zone: voter, relay, coordinator
    tenants: tuple[tuple[str, float], ...] = (("nyarugenge", 0.8), ("huye", 0.2))
    kinds: tuple[Kind, ...] = KINDS
    seed: int = 1
    cold_from: float = 0.32
    ramp: int = 13 * SECOND
    fall_multiple: float = 2.0
    fall: int = 3 * SECOND
    fleet_more: dict[str, Any] = {}  # further keys of `[fleet]`
    operator_more: str = ""  # further parts of the operators' files, as TOML

    def __post_init__(self) -> None:
        for name, value, least, most in (
            ("gateways", self.gateways, 1, 16),
            ("sites", self.sites, 1, 8),
            ("engines", self.engines, 1, 40),
            ("cores", self.cores, 0.5, 64),
            ("keepers", self.keepers, 0, self.gateways),
        ):
            if not least <= value <= most:
                raise ValueError(f"{name}: {value} is not from {least} to {most}")
        if self.roles and len(self.roles) != self.gateways:
            raise ValueError(f"roles: {len(self.roles)} of {self.gateways} gateways")

    def gateway_names(self) -> list[str]:
        return [f"g{number}" for number in range(self.gateways)]

    def names_of(self, role: str) -> list[str]:
        """The gateways of that role."""
        return [name for name, each in zip(self.gateway_names(), self.roles, strict=False) if each == role]

    def engine_names(self) -> list[str]:
        return [f"e{number}" for number in range(self.engines)]

    def site_of(self, number: int) -> str:
        return f"s{number % self.sites}"

    def mean_work(self) -> float:
        """Microseconds of one core that a request takes on average."""
        return sum(kind.share * kind.work for kind in self.kinds)

    def capacity(self) -> float:
        """Requests a second that all engines can do together when warm."""
        return self.engines * self.cores * SECOND / self.mean_work()


def settings(plan: Plan) -> dict[str, Any]:
    """The settings in the platform's nested form."""
    return {
        "Services": [
            {
                "Name": kind.name,
                "Deadline": kind.deadline,
                "Objective": kind.objective,
                "AimStretch": kind.stretch,
                "Worth": kind.worth,
                "Effect": kind.effect,
                **({"DedupScope": "all", "Window": kind.window} if kind.effect == "dedup" else {}),
            }
            for kind in plan.kinds
        ],
        "Tenants": [{"Name": name, "Fraction": share} for name, share in plan.tenants],
        "HostTypes": ["std"],
        "FamilyInfo": {
            "Dop": [kind.threads for kind in plan.kinds],
            "HoldsTables": [False] * len(plan.kinds),
            "BlockedByLoads": [False] * len(plan.kinds),
            "KindCores": [plan.cores],
            "RanksHeeded": True,
            "NotePeriod": SECOND,
        },
        "Permissions": {
            "Peers": plan.peers,
            "Probes": plan.probes,
            "Cancel": True,
            "MaxAttempts": 3,
            "MaxRetryAfter": 2 * SECOND,
            "DialTimeout": 250 * MS,
            "ConnIdle": 30 * SECOND,
        },
        "Report": {"Source": "piggyback"},
        "Obligations": {
            "ColdFrom": plan.cold_from,
            "RampTime": plan.ramp,
            "FallMultiple": plan.fall_multiple,
            "Fall": plan.fall,
        },
        "Instances": plan.gateways,
        "Period": 5 * MS,
        "Discovery": "push",
    }


class Engine(msgspec.Struct, frozen=True):
    """One engine as the list has it for one gateway."""

    name: str
    site: str
    address: Address
    status: str = "ready"
    since_ms: int = 0


class Gateway(msgspec.Struct, frozen=True):
    """Where one gateway stands. `bind` is its socket for the others, `advertise` the switch's, which they are told."""

    name: str
    number: int
    site: str
    listen: Address
    staff: Address
    bind: Address
    advertise: Address
    control: Address
    watch: Address  # its socket for distribution, where the plan has roles


def known(rev: int, engines: Sequence[Engine]) -> dict[str, Any]:
    """The list of the start as one whole event."""
    endpoints = [
        {
            "name": each.name,
            "address": text(each.address),
            "zone": each.site,
            "type": "std",
            "group": 0,
            "status": each.status,
            "weight": 4,
            "since_ms": each.since_ms,
        }
        for each in engines
    ]
    return {"rev": rev, "notices": [{"rev": rev, "pool": {"index": 0, "snapshot": True, "endpoints": endpoints}}]}


def configuration(plan: Plan, gateway: Gateway, nameserver: Address, start: Mapping[str, Any], boot: int) -> bytes:
    """The platform's file for one start of one gateway."""
    seed = random.Random(f"{plan.seed}/{gateway.name}/{boot}").getrandbits(64)
    return json.dumps(
        {
            "name": gateway.name,
            "listen": text(gateway.listen),
            "operator": text(gateway.staff),
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
            "nameserver": text(nameserver),
            "known": start,
            "settings": settings(plan) | {"Me": gateway.number},
        },
        indent=1,
    ).encode()


def operator(plan: Plan, gateway: Gateway, others: Sequence[Gateway], state: str) -> str:
    """The operator's file for one gateway, as TOML."""
    lines = []
    if plan.fleet:
        part: dict[str, Any] = {
            "cluster": "rig",
            "listen": text(gateway.bind),
            "advertise": text(gateway.advertise),
            "site": gateway.site,
            "join": [text(other.advertise) for other in others],
            "control": text(gateway.control),
            "state": state,
            "keepers": plan.gateway_names()[: plan.keepers],
            **plan.fleet_more,
        }
        if plan.roles:
            part |= _role_part(plan, gateway)
        lines = ["[fleet]", *(f"{key} = {json.dumps(value)}" for key, value in part.items()), ""]
        if plan.roles:
            lines += _directory(plan, [gateway, *others])
    return "\n".join(lines) + plan.operator_more


ZONE = "z1"


def _role_part(plan: Plan, gateway: Gateway) -> dict[str, Any]:
    return {
        "role": plan.roles[gateway.number],
        "zone": ZONE,
        "watch": text(gateway.watch),
        "keepers": plan.names_of("voter"),
    }


def _directory(plan: Plan, gateways: Sequence[Gateway]) -> list[str]:
    """All voters and relays, as `[[fleet.node]]`."""
    lines = []
    for gateway in sorted(gateways, key=lambda gateway: gateway.number):
        role = plan.roles[gateway.number]
        if role != "coordinator":
            node = {"name": gateway.name, "role": role, "zone": ZONE, "address": text(gateway.watch)}
            lines += ["[[fleet.node]]", *(f"{key} = {json.dumps(value)}" for key, value in node.items()), ""]
    return lines
