"""Reads and checks the configuration and the operator's file, and fills in defaults.

Every error is a `ConfigError` with one line that names the key. `rackhub.settings`, which the simulator's adapter uses
too, parses the site's settings.
"""

import os
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from rackhub import address, interface
from rackhub.core.source import EndpointSnapshot
from rackhub.limits import SECOND, Limits
from rackhub.net.platform_source import merge_events
from rackhub.operatorfile import Operator, TdsLogin
from rackhub.settings import flatten, parse_settings

if TYPE_CHECKING:
    from rackhub.fleet.settings import FleetSettings
    from rackhub.gather.rules import GatherRules
    from rackhub.state.settings import StoreSettings
    from rackhub.timings.table import Table

ENGINE_STATES = {"ready": "Ready", "draining": "Terminating", "gone": "Gone"}  # status in the file -> state
RESERVED_DESCRIPTORS = 48  # files, listening sockets, resolver sockets, and new connections to be rejected
STORE_DESCRIPTORS = 24  # tables, segments, directory and lock of a store
MINIMUM_MEMORY_MB = 32
IDLE_MEMORY_MB = 24  # memory of a process without requests
BYTES_PER_MB = 1_048_576
BYTES_PER_OPEN_REQUEST = 65_536  # spare memory for each open request
MINIMUM_OPEN_REQUESTS = 64
MINIMUM_REQUEST_BYTES = 16_384
MAXIMUM_REQUEST_BYTES = 65_536
GOSSIP_KEY = "settings.Permissions.Peers"
SITE_LIMITS = (  # key of the site's permissions, attribute of `Limits`, minimum
    ("DialTimeout", "dial_timeout", 1),
    ("ConnIdle", "engine_idle_timeout", 1),
    ("Multiplex", "max_attempts_per_connection", 1),
)


class ConfigError(ValueError):
    """An invalid configuration; the text names the key."""


class Endpoint(msgspec.Struct):
    """An engine in the file. `since_ms` is the time of its start in Unix milliseconds."""

    name: str
    address: str
    zone: str = ""
    kind: str = msgspec.field(default="", name="type")
    cell: int = msgspec.field(default=0, name="group")
    status: str = "ready"
    size: float = msgspec.field(default=1.0, name="weight")
    since_ms: int = 0


class EnginePool(msgspec.Struct):
    """The engines of a watch event: all engines if it is a snapshot, else the changed ones."""

    endpoints: list[Endpoint]
    snapshot: bool = False


class WatchNotice(msgspec.Struct):
    """One recorded watch event of the endpoint list."""

    revision: int = msgspec.field(name="rev")
    pool: EnginePool


class KnownEndpoints(msgspec.Struct):
    """The watch events that make up the initial endpoint list, and the list's revision."""

    revision: int = msgspec.field(name="rev")
    notices: list[WatchNotice]


class ResourceLimits(msgspec.Struct):
    """Resources that the platform assigns to the process; `sockets` are file descriptors."""

    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1_024


class ConfigFile(msgspec.Struct):
    """The configuration file that the platform writes; `operator` is the address of the operators' port."""

    listen: str
    nameserver: str
    known: KnownEndpoints
    settings: dict[str, Any]
    name: str = "rackhub"
    seed: str = ""
    operator: str = ""
    limits: ResourceLimits = msgspec.field(default_factory=ResourceLimits)


class Config(msgspec.Struct, frozen=True):
    """The checked configuration; `operator` is the address of the operators' port, None if it is disabled."""

    name: str
    listen: tuple[str, int]
    nameserver: tuple[str, int]
    seed: int
    engines: EndpointSnapshot
    settings: interface.Settings
    limits: Limits
    operator: tuple[str, int] | None = None


def parse_address(text: str, key: str) -> tuple[str, int]:
    """Parse `HOST:PORT`. Raises `ConfigError`, which names `key`."""
    try:
        return address.parse_ipv4_address(text, key)
    except ValueError as error:
        raise ConfigError(str(error)) from None


def config_path(environment: Mapping[str, str], option: str | None = None) -> Path:
    """Return the configuration's path: `option`, or BALANCER_CONFIG. Raises `ConfigError` if neither is set."""
    text = option or environment.get("BALANCER_CONFIG", "")
    if not text:
        raise ConfigError("BALANCER_CONFIG: not set, and --config not given")
    return Path(text)


def load(path: Path) -> Config:
    """Read and check a configuration file. Raises `ConfigError`."""
    try:
        return parse(path.read_bytes())
    except OSError as error:
        raise ConfigError(f"BALANCER_CONFIG: {path}: {os.strerror(error.errno or 0)}") from None


def parse(text: bytes) -> Config:
    """Parse and check the content of a configuration file. Raises `ConfigError`."""
    file = _decode(text)
    seed = _parse_seed(file.seed)
    settings = _parse_site_settings(file.settings)
    operator = _operator_address(file)
    return Config(
        file.name,
        parse_address(file.listen, "listen"),
        parse_address(file.nameserver, "nameserver"),
        seed,
        _initial_endpoints(file.known),
        settings,
        _derive_limits(file),
        operator,
    )


def _decode(text: bytes) -> ConfigFile:
    try:
        return msgspec.json.decode(text, type=ConfigFile)
    except msgspec.ValidationError as error:  # the text ends with the path of the key
        raise ConfigError(str(error)) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"the file: not JSON: {error}") from None


def _parse_seed(digits: str) -> int:
    try:
        return int(digits, 16) if digits else 0
    except ValueError:
        raise ConfigError(f"seed: {digits!r} is not a hexadecimal number") from None


def _parse_site_settings(tree: Mapping[str, Any]) -> interface.Settings:
    try:
        settings = parse_settings(flatten(tree), "settings")
    except ValueError as error:
        raise ConfigError(str(error)) from None
    if not settings.classes:
        raise ConfigError("settings.Services: at least one request class is required")
    return settings


def _operator_address(file: ConfigFile) -> tuple[str, int] | None:
    """Return the address of the operators' port, from the first source that sets it."""
    sources = (
        ("operator", file.operator),
        ("settings.operator", file.settings.get("operator", "")),
        ("BALANCER_OPERATOR", os.environ.get("BALANCER_OPERATOR", "")),
    )
    for key, text in sources:
        if text:
            if not isinstance(text, str):
                raise ConfigError(f"{key}: {text!r} is not an IPv4 address with a port from 1 to 65535")
            return parse_address(text, key)
    return None


def load_operator(path: Path | None) -> Operator:
    """Read and check the operator's file; without a file its features are disabled. Raises `ConfigError`."""
    if path is None:
        return Operator()
    try:
        operator = msgspec.toml.decode(path.read_bytes(), type=Operator)
    except OSError as error:
        raise ConfigError(f"--operator: {path}: {os.strerror(error.errno or 0)}") from None
    except msgspec.MsgspecError as error:
        raise ConfigError(f"operator file: {error}") from None
    if operator.tds_front is not None:
        parse_address(operator.tds_front.listen, "tds_front.listen")
        if not operator.tds_front.login:
            raise ConfigError("tds_front.login: at least one login is required")
    if operator.store is not None:
        store_settings(operator.store)
    return operator


def store_settings(table: dict[str, Any]) -> "StoreSettings":
    """Check the `[store]` table. Raises `ConfigError`.

    The store is imported only here, because its packages are not installed on the platform.
    """
    from rackhub.state.settings import store_settings

    try:
        return store_settings(table)
    except msgspec.ValidationError as error:
        raise ConfigError(f"operator file: store: {error}") from None


def timings_table(table: dict[str, Any], settings: interface.Settings) -> "Table":
    """Check the `[timings]` table against the site's settings. Raises a `ConfigError` with all errors."""
    from rackhub.timings.table import read_table

    try:
        return read_table(table, settings)
    except ValueError as error:
        raise ConfigError(f"operator file: {error}") from None


def fleet_settings(table: dict[str, Any], settings: interface.Settings, name: str) -> "FleetSettings":
    """Check the `[fleet]` table of the gateway `name`. Raises `ConfigError`, also if the site forbids gossip."""
    if not settings.gossip:
        raise ConfigError(
            f"operator file: fleet: the site does not allow gossip between gateways: {GOSSIP_KEY} is false"
        )
    from rackhub.fleet.settings import fleet_settings

    try:
        return fleet_settings(table, settings, name)
    except (msgspec.ValidationError, ValueError) as error:
        raise ConfigError(f"operator file: fleet: {error}") from None


def gather_rules(table: dict[str, Any], settings: interface.Settings) -> "GatherRules":
    """Check the `[gather]` table against the site's settings. Raises a `ConfigError` with all errors."""
    if not settings.gossip:
        raise ConfigError(
            f"operator file: gather: the platform's clients do not support partial answers: {GOSSIP_KEY} is false"
        )
    from rackhub.gather.rules import gather_rules

    try:
        return gather_rules(table, settings)
    except (msgspec.ValidationError, ValueError) as error:
        raise ConfigError(f"operator file: gather: {error}") from None


def check_operator(operator: Operator, settings: interface.Settings, name: str = "rackhub") -> None:
    """Check the operator's file against the site's settings. Raises `ConfigError`."""
    if operator.fleet is not None:
        fleet_settings(operator.fleet, settings, name)
    if operator.gather is not None:
        gather_rules(operator.gather, settings)
    if operator.timings is not None:
        timings_table(operator.timings, settings)
    classes = {cls.name for cls in settings.classes}
    tenants = {tenant.name for tenant in settings.tenants}
    for index, login in enumerate(operator.tds_front.login if operator.tds_front else ()):
        _check_login(f"tds_front.login[{index}]", login, classes, tenants)


def _check_login(key: str, login: TdsLogin, classes: set[str], tenants: set[str]) -> None:
    if login.cls not in classes:
        raise ConfigError(f"{key}.class: the site has no class {login.cls!r}")
    if tenants and not login.tenants:
        raise ConfigError(f"{key}.tenants: at least one tenant is required")
    for tenant in login.tenants:
        if tenant not in tenants:
            raise ConfigError(f"{key}.tenants: the site has no tenant {tenant!r}")


def share_descriptors(limits: Limits, operator: Operator) -> Limits:
    """Return the limits with the clients' file descriptors divided between the listeners and the store.

    The descriptors for engines are not changed: a TDS listener and a store reduce those for JSON-RPC clients.
    """
    if operator.store is not None:
        client_connections = max(limits.max_client_connections - STORE_DESCRIPTORS, 1)
        limits = msgspec.structs.replace(limits, max_client_connections=client_connections)
    if operator.tds_front is None:
        return limits
    tds_connections = min(limits.max_tds_connections, limits.max_client_connections // 2)
    return msgspec.structs.replace(
        limits,
        max_tds_connections=tds_connections,
        max_client_connections=limits.max_client_connections - tds_connections,
    )


def _initial_endpoints(known: KnownEndpoints) -> EndpointSnapshot:
    """Return the endpoint list that the recorded watch events make up."""
    events: list[EndpointSnapshot] = []
    for index, notice in enumerate(known.notices):
        if notice.pool.snapshot:
            events.clear()
        events.append(_watch_event(notice, f"known.notices[{index}].pool"))
    return merge_events(events)._replace(revision=known.revision)


def _watch_event(notice: WatchNotice, key: str) -> EndpointSnapshot:
    entries: list[interface.EngineEntry] = []
    addresses: dict[str, tuple[str, int]] = {}
    for index, endpoint in enumerate(notice.pool.endpoints):
        endpoint_key = f"{key}.endpoints[{index}]"
        if endpoint.status not in ENGINE_STATES:
            raise ConfigError(f"{endpoint_key}.status: {endpoint.status!r} is not one of ready, draining, gone")
        entries.append(_engine_entry(endpoint))
        addresses[endpoint.name] = parse_address(endpoint.address, f"{endpoint_key}.address")
    return EndpointSnapshot(notice.revision, tuple(entries), addresses)


def _engine_entry(endpoint: Endpoint) -> interface.EngineEntry:
    return interface.EngineEntry(
        endpoint.name,
        endpoint.zone,
        endpoint.kind,
        endpoint.cell,
        ENGINE_STATES[endpoint.status],
        endpoint.size,
        endpoint.since_ms * 1_000,
    )


def _derive_limits(file: ConfigFile) -> Limits:
    """Return the limits: set by the site, derived from the process's resources, or defaults."""
    site_limits = _site_limits(file.settings.get("Permissions", {}))
    site_limits["poll_interval"] = _poll_interval(file.settings.get("Instances", 1))  # checked with the settings
    resources = file.limits
    needed_descriptors = 2 * RESERVED_DESCRIPTORS
    if resources.sockets < needed_descriptors:
        raise ConfigError(f"limits.sockets: {resources.sockets} is below the minimum of {needed_descriptors}")
    if resources.memory_mb < MINIMUM_MEMORY_MB:
        raise ConfigError(f"limits.memory_mb: {resources.memory_mb} is below the minimum of {MINIMUM_MEMORY_MB}")
    spare_bytes = (resources.memory_mb - IDLE_MEMORY_MB) * BYTES_PER_MB
    clients = (resources.sockets - RESERVED_DESCRIPTORS) // 2
    return Limits(
        file_descriptors=resources.sockets,
        memory_mb=resources.memory_mb,
        max_client_connections=clients,
        max_engine_connections=resources.sockets - RESERVED_DESCRIPTORS - clients,
        max_open_requests=max(spare_bytes // BYTES_PER_OPEN_REQUEST, MINIMUM_OPEN_REQUESTS),
        max_statement_bytes=spare_bytes // 4,
        max_client_buffer_bytes=spare_bytes // 4,
        max_request_bytes=min(max(spare_bytes // 4 // clients, MINIMUM_REQUEST_BYTES), MAXIMUM_REQUEST_BYTES),
        **site_limits,
    )


def _site_limits(permissions: Mapping[str, Any]) -> dict[str, int]:
    """Return the limits that the site's permissions set."""
    site_limits: dict[str, int] = {}
    for key, attribute, minimum in SITE_LIMITS:
        if key in permissions:
            value = permissions[key]
            if isinstance(value, bool) or not isinstance(value, int | float) or value < minimum:
                raise ConfigError(f"settings.Permissions.{key}: {value!r} is not a number of at least {minimum}")
            site_limits[attribute] = int(value)
    return site_limits


def _poll_interval(gateways: float) -> int:
    """Return each gateway's poll interval in microseconds: all gateways together keep to `max_fleet_polls_per_s`."""
    defaults = Limits()
    interval = int(gateways * SECOND / defaults.max_fleet_polls_per_s)
    return min(max(interval, defaults.poll_interval), defaults.max_poll_retry_interval)
