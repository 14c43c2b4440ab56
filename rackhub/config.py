"""The one place where configuration is read, checked and given defaults.

Every fault ends as a `BadConfig` of one line that names the key. The settings proper are read by
`rackhub.settings`, which the simulator's adapter uses too.
"""

import os
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from rackhub import interface as t
from rackhub.address import address as read_address
from rackhub.core.source import EndpointSnapshot
from rackhub.limits import SECOND, Limits
from rackhub.net.platform_source import merge_events
from rackhub.operatorfile import Operator
from rackhub.settings import BadLine, flatten, settings_of

if TYPE_CHECKING:
    from rackhub.fleet.settings import FleetSettings
    from rackhub.gather.rules import GatherRules
    from rackhub.state.settings import StoreSettings
    from rackhub.timings.table import Table

STATES = {"ready": "Ready", "draining": "Terminating", "gone": "Gone"}
OWN = 48  # descriptors kept aside: the program's own, listening sockets, the resolver, newcomers to be turned away
STORE_FILES = 24  # tables, segments, directory and lock of a store
LEAST_MB, BASE_MB = 32, 24  # the least memory it runs in; what it takes when idle (22 MB measured)


class BadConfig(ValueError):
    """A configuration that can't be used; the text names the key."""


class Endpoint(msgspec.Struct):
    name: str
    address: str
    zone: str = ""
    type: str = ""
    group: int = 0
    status: str = "ready"
    weight: float = 1.0
    since_ms: int = 0


class EnginePool(msgspec.Struct):
    endpoints: list[Endpoint]
    snapshot: bool = False


class Notice(msgspec.Struct):
    rev: int
    pool: EnginePool


class Known(msgspec.Struct):
    rev: int
    notices: list[Notice]


class Quotas(msgspec.Struct):
    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1_024


class File(msgspec.Struct):
    """The file as the platform words it."""

    listen: str
    nameserver: str
    known: Known
    settings: dict[str, Any]
    name: str = "rackhub"
    seed: str = ""
    operator: str = ""  # the second address, for the operators' staff
    limits: Quotas = msgspec.field(default_factory=Quotas)


class Config(msgspec.Struct, frozen=True):
    """All that the program is told, checked."""

    name: str
    listen: tuple[str, int]
    nameserver: tuple[str, int]
    seed: int
    engines: EndpointSnapshot
    settings: t.Settings
    limits: Limits
    operator: tuple[str, int] | None = None


def address(text: str, key: str) -> tuple[str, int]:
    try:
        return read_address(text, key)
    except ValueError as bad:
        raise BadConfig(str(bad)) from None


def path_of(environment: Mapping[str, str], option: str | None = None) -> Path:
    text = option or environment.get("BALANCER_CONFIG", "")
    if not text:
        raise BadConfig("BALANCER_CONFIG: not set, and no --config given")
    return Path(text)


def load(path: Path) -> Config:
    try:
        return read(path.read_bytes())
    except OSError as fault:
        raise BadConfig(f"BALANCER_CONFIG: {path}: {os.strerror(fault.errno or 0)}") from None


def read(text: bytes) -> Config:
    """The checked configuration in a file's bytes."""
    try:
        file = msgspec.json.decode(text, type=File)
    except msgspec.ValidationError as bad:  # it ends in the path of what is at fault
        raise BadConfig(str(bad)) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as bad:
        raise BadConfig(f"the file: not JSON: {bad}") from None
    try:
        seed = int(file.seed, 16) if file.seed else 0
    except ValueError:
        raise BadConfig(f"seed: {file.seed!r} is not hex digits") from None
    try:
        settings = settings_of(flatten(file.settings), "settings")
    except (BadLine, ValueError) as bad:
        raise BadConfig(str(bad)) from None
    if not settings.classes:
        raise BadConfig("settings.Services: no class of requests is told")
    operator = None
    for key, told in (
        ("operator", file.operator),
        ("settings.operator", file.settings.get("operator", "")),
        ("BALANCER_OPERATOR", os.environ.get("BALANCER_OPERATOR", "")),
    ):
        if told:
            if not isinstance(told, str):
                raise BadConfig(f"{key}: {told!r} is not an address and port")
            operator = address(told, key)
            break
    return Config(
        file.name,
        address(file.listen, "listen"),
        address(file.nameserver, "nameserver"),
        seed,
        engines(file.known),
        settings,
        limits(file),
        operator,
    )


def load_operator(path: Path | None) -> Operator:
    """The operator's file; without one all that it sets up is off."""
    if path is None:
        return Operator()
    try:
        operator = msgspec.toml.decode(path.read_bytes(), type=Operator)
    except OSError as fault:
        raise BadConfig(f"--operator: {path}: {os.strerror(fault.errno or 0)}") from None
    except msgspec.MsgspecError as bad:
        raise BadConfig(f"operator file: {bad}") from None
    if operator.tds_front is not None:
        address(operator.tds_front.listen, "tds_front.listen")
        if not operator.tds_front.login:
            raise BadConfig("tds_front.login: no login is set up")
    if operator.store is not None:
        store_settings(operator.store)
    return operator


def store_settings(part: dict[str, Any]) -> "StoreSettings":
    """The `[store]` part, checked. What it needs is loaded here: the platform has none of it."""
    from rackhub.state.settings import store_settings

    try:
        return store_settings(part)
    except msgspec.ValidationError as bad:
        raise BadConfig(f"operator file: store: {bad}") from None


def timings_table(part: dict[str, Any], settings: t.Settings) -> "Table":
    """The `[timings]` part as a table of routes, checked against the site's settings; all its faults in one go."""
    from rackhub.timings.table import read_table

    try:
        return read_table(part, settings)
    except ValueError as bad:
        raise BadConfig(f"operator file: {bad}") from None


PEERS_KEY = "settings.Permissions.Peers"


def fleet_settings(part: dict[str, Any], settings: t.Settings, name: str) -> "FleetSettings":
    """The `[fleet]` part, checked; `name` is this gateway's. Nothing of it is loaded where the site forbids peers."""
    if not settings.gossip:
        raise BadConfig(f"operator file: fleet: gateways must not speak to one another here: {PEERS_KEY} is false")
    from rackhub.fleet.settings import fleet_settings

    try:
        return fleet_settings(part, settings, name)
    except (msgspec.ValidationError, ValueError) as bad:
        raise BadConfig(f"operator file: fleet: {bad}") from None


def gather_rules(part: dict[str, Any], settings: t.Settings) -> "GatherRules":
    """The `[gather]` part, checked against the site's settings; all its faults in one go."""
    if not settings.gossip:
        raise BadConfig(f"operator file: gather: the platform's clients know no partial answers: {PEERS_KEY} is false")
    from rackhub.gather.rules import gather_rules

    try:
        return gather_rules(part, settings)
    except (msgspec.ValidationError, ValueError) as bad:
        raise BadConfig(f"operator file: gather: {bad}") from None


def check_operator(operator: Operator, settings: t.Settings, name: str = "rackhub") -> None:
    """What the operator's file names must be there in the site's settings."""
    if operator.fleet is not None:
        fleet_settings(operator.fleet, settings, name)
    if operator.gather is not None:
        gather_rules(operator.gather, settings)
    if operator.timings is not None:
        timings_table(operator.timings, settings)
    classes, tenants = {told.name for told in settings.classes}, {told.name for told in settings.tenants}
    for i, login in enumerate(operator.tds_front.login if operator.tds_front else ()):
        if login.cls not in classes:
            raise BadConfig(f"tds_front.login[{i}].class: the site has no class {login.cls!r}")
        if tenants and not login.tenants:
            raise BadConfig(f"tds_front.login[{i}].tenants: none is named")
        for tenant in login.tenants:
            if tenant not in tenants:
                raise BadConfig(f"tds_front.login[{i}].tenants: the site has no tenant {tenant!r}")


def shared(limits: Limits, operator: Operator) -> Limits:
    """The limits with a share of the clients' descriptors for the TDS front where there is one, and for the store's
    files. Without it both fronts together took more than the platform gives, out of what engines need."""
    if operator.store is not None:
        limits = msgspec.structs.replace(limits, client_connections=max(limits.client_connections - STORE_FILES, 1))
    if operator.tds_front is None:
        return limits
    tds = min(limits.tds_connections, limits.client_connections // 2)
    return msgspec.structs.replace(limits, tds_connections=tds, client_connections=limits.client_connections - tds)


def engines(known: Known) -> EndpointSnapshot:
    events = []
    for i, notice in enumerate(known.notices):
        entries, addresses = [], {}
        for j, endpoint in enumerate(notice.pool.endpoints):
            key = f"known.notices[{i}].pool.endpoints[{j}]"
            if endpoint.status not in STATES:
                raise BadConfig(f"{key}.status: {endpoint.status!r} is not known")
            entries.append(
                t.EngineEntry(
                    endpoint.name,
                    endpoint.zone,
                    endpoint.type,
                    endpoint.group,
                    STATES[endpoint.status],
                    endpoint.weight,
                    endpoint.since_ms * 1_000,
                )
            )
            addresses[endpoint.name] = address(endpoint.address, f"{key}.address")
        if notice.pool.snapshot:
            events.clear()
        events.append(EndpointSnapshot(notice.rev, tuple(entries), addresses))
    return merge_events(events)._replace(revision=known.rev)


def limits(file: File) -> Limits:
    """The limits: what the site allows where it says so, the descriptors shared out, the rest by default."""
    permissions = file.settings.get("Permissions", {})
    told: dict[str, int] = {}
    for key, name, least in (
        ("DialTimeout", "dial_timeout", 1),
        ("ConnIdle", "engine_idle", 1),
        ("Multiplex", "engine_open", 1),
    ):
        if key in permissions:
            value = permissions[key]
            if isinstance(value, bool) or not isinstance(value, int | float) or value < least:
                raise BadConfig(f"settings.Permissions.{key}: {value!r} is not a number of at least {least}")
            told[name] = int(value)
    least, most = Limits().poll, Limits().poll_again_most
    gateways = file.settings.get("Instances", 1)  # checked with the settings
    told["poll"] = min(max(int(gateways * SECOND / Limits().fleet_polls), least), most)
    if file.limits.sockets < 2 * OWN:
        raise BadConfig(f"limits.sockets: {file.limits.sockets} is under {2 * OWN}, which the program needs")
    if file.limits.memory_mb < LEAST_MB:
        raise BadConfig(f"limits.memory_mb: {file.limits.memory_mb} is under {LEAST_MB}, which the program needs")
    spare, clients = (file.limits.memory_mb - BASE_MB) * 1_048_576, (file.limits.sockets - OWN) // 2
    return Limits(
        sockets=file.limits.sockets,
        memory_mb=file.limits.memory_mb,
        client_connections=clients,
        engine_links=file.limits.sockets - OWN - clients,
        held_requests=max(spare // 65_536, 64),
        held_bytes=spare // 4,
        request_line=min(max(spare // 4 // clients, 16_384), 65_536),
        **told,
    )
