"""The `[gather]` table of the operator's file: which requests are gathered, from which sites, and when that suffices.

Times are milliseconds. Pure; docs/operators/gather.md has every key.
"""

import re
from typing import Annotated, Any, Literal, NamedTuple

import msgspec
from msgspec import Meta

from rackhub import interface
from rackhub.address import parse_ipv4_address

Names = str | list[str]
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z")
MAX_SITES = 16
MAX_RULES = 100
MAX_GATEWAYS = 16  # gateway addresses of one site
DAY_MS = 86_400_000


class Site(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Where a subrequest runs: engines of these zones, or another installation by its gateways' addresses."""

    name: str
    zones: tuple[str, ...] = ()
    gateways: tuple[str, ...] = ()
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        """The addresses of the other installation's coordinators; empty for a site of zones."""
        return tuple(parse_ipv4_address(text, "gateways") for text in self.gateways)


class Rule(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One rule; the first that matches a request applies. A match key that is left out matches all requests.

    `needs`: the sites that an answer must have; `weight`: instead, a fraction of the weight of all sites. `wait`: how
    long to wait for further sites once the answer suffices: until the end of the time budget, not at all, or for the
    quantile `worth` of their learned latencies. `patience_ms`: that wait while a latency is unknown. `fill_ms`: the
    greatest age of a cached result that may replace a missing one; 0: none may. `spare`: sites that are left out while
    the fleet is overloaded. `partial`: clients of these classes accept a partial answer, which is marked as such;
    without it every site must return fresh rows. `tries`: attempts at another installation, one after the other.
    """

    cls: Names = msgspec.field(name="class")
    tenant: Names | None = None
    tables: tuple[int, ...] | None = None
    sites: tuple[str, ...]
    needs: Literal["all"] | tuple[str, ...] = "all"
    weight: Annotated[float, Meta(gt=0, le=1)] | None = None
    wait: Literal["budget", "need", "learned"] = "budget"
    latency_quantile: Annotated[float, Meta(gt=0, lt=1)] = msgspec.field(name="worth", default=0.9)
    default_wait_ms: Annotated[float, Meta(ge=0, le=DAY_MS)] = msgspec.field(name="patience_ms", default=200.0)
    fill_ms: Annotated[float, Meta(ge=0, le=DAY_MS)] = 0.0
    spare: tuple[str, ...] = ()
    partial: bool = False
    max_attempts: Annotated[int, Meta(ge=1, le=4)] = msgspec.field(name="tries", default=2)


class GatherFile(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The `[gather]` table."""

    site: tuple[Site, ...] = ()
    rule: tuple[Rule, ...] = ()
    hops: Annotated[int, Meta(ge=1, le=4)] = 1  # a subrequest that has passed this many coordinators is not gathered
    cache_mb: Annotated[float, Meta(ge=0, le=1024)] = msgspec.field(name="kept_mb", default=8.0)


class Fault(NamedTuple):
    """An invalid value, its key and the reason; as text with the value in JSON."""

    key: str
    value: Any
    reason: str

    def __str__(self) -> str:
        return f"{self.key}: {msgspec.json.encode(self.value).decode()}: {self.reason}"


class GatherRules:
    """The rules of one file, found by class, tenant and table group."""

    def __init__(self, file: GatherFile):
        self.file = file
        self.sites = {site.name: site for site in file.site}
        self.weights = {site.name: site.weight for site in file.site}

    def find(self, cls: str, tenant: str, tables: int | None) -> Rule | None:
        """Return the first rule that matches, or None."""
        return next((rule for rule in self.file.rule if matches(rule, cls, tenant, tables)), None)


def names(configured: Names | None) -> tuple[str, ...] | None:
    """Return names as a tuple, or None if the key was left out and all names match."""
    if configured is None:
        return None
    return (configured,) if isinstance(configured, str) else tuple(configured)


def matches(rule: Rule, cls: str, tenant: str, tables: int | None) -> bool:
    """Return whether a rule matches requests of this class, tenant and table group."""
    classes = names(rule.cls)
    tenants = names(rule.tenant)
    return (
        (classes is None or cls in classes)
        and (tenants is None or tenant in tenants)
        and (rule.tables is None or tables in rule.tables)
    )


def gather_rules(table: dict[str, Any], settings: interface.Settings) -> GatherRules:
    """Parse and check a `[gather]` table. Raises `ValueError` with all faults: key, value and reason of each."""
    try:
        file = msgspec.convert(table, GatherFile, strict=False)
    except msgspec.ValidationError as bad:
        raise ValueError(str(bad)) from None
    faults = _site_faults(file)
    for index, rule in enumerate(file.rule):
        faults += _rule_faults(f"rule[{index}]", rule, file, settings)
    if len(file.rule) > MAX_RULES:
        faults.append(Fault("rule", len(file.rule), f"more than {MAX_RULES} rules"))
    if faults:
        raise ValueError("; ".join(f"gather.{fault}" for fault in faults))
    return GatherRules(file)


def _site_faults(file: GatherFile) -> list[Fault]:
    faults = []
    if len(file.site) > MAX_SITES:
        faults.append(Fault("site", len(file.site), f"more than {MAX_SITES} sites"))
    seen: set[str] = set()
    for index, site in enumerate(file.site):
        key = f"site[{index}]"
        if not NAME.match(site.name):
            faults.append(Fault(f"{key}.name", site.name, "not 1 to 63 letters, digits, dots, dashes or underscores"))
        if site.name in seen:
            faults.append(Fault(f"{key}.name", site.name, "another site has that name already"))
        seen.add(site.name)
        if bool(site.zones) == bool(site.gateways):
            faults.append(Fault(f"{key}.zones", site.zones, "a site has either zones or gateways"))
        faults += _address_faults(key, site)
    return faults


def _address_faults(key: str, site: Site) -> list[Fault]:
    faults = []
    if len(site.gateways) > MAX_GATEWAYS:
        faults.append(Fault(f"{key}.gateways", len(site.gateways), f"more than {MAX_GATEWAYS}"))
    for index, text in enumerate(site.gateways):
        try:
            parse_ipv4_address(text, f"{key}.gateways[{index}]")
        except ValueError:
            faults.append(Fault(f"{key}.gateways[{index}]", text, "not an address and port"))
    return faults


def _rule_faults(key: str, rule: Rule, file: GatherFile, settings: interface.Settings) -> list[Fault]:
    return [
        *_class_faults(key, rule, settings),
        *_tenant_faults(key, rule, settings),
        *_rule_site_faults(key, rule, {site.name for site in file.site}),
        *_partial_faults(key, rule),
    ]


def _class_faults(key: str, rule: Rule, settings: interface.Settings) -> list[Fault]:
    faults = []
    classes = {cls.name: cls for cls in settings.classes}
    for name in names(rule.cls) or ():
        if name not in classes:
            faults.append(Fault(f"{key}.class", name, "the site has no such class"))
        elif classes[name].idempotency != interface.Idempotency.IDEMPOTENT:
            # A subrequest may have run although its site did not answer.
            effect = classes[name].idempotency
            reason = f"may not simply be repeated (effect {effect}), so it is never gathered"
            faults.append(Fault(f"{key}.class", name, reason))
    return faults


def _tenant_faults(key: str, rule: Rule, settings: interface.Settings) -> list[Fault]:
    tenants = {tenant.name for tenant in settings.tenants}
    return [
        Fault(f"{key}.tenant", name, "the site has no such tenant")
        for name in names(rule.tenant) or ()
        if tenants and name not in tenants
    ]


def _rule_site_faults(key: str, rule: Rule, sites: set[str]) -> list[Fault]:
    faults = [Fault(f"{key}.sites", name, "no gather.site has that name") for name in rule.sites if name not in sites]
    if len(set(rule.sites)) != len(rule.sites) or len(rule.sites) < 2:
        faults.append(Fault(f"{key}.sites", rule.sites, "two sites or more are needed, each once"))
    needed = rule.needs if rule.needs != "all" else ()
    for name in needed:
        if name not in rule.sites:
            faults.append(Fault(f"{key}.needs", name, "not one of the rule's sites"))
    for name in rule.spare:
        if name not in rule.sites:
            faults.append(Fault(f"{key}.spare", name, "not one of the rule's sites"))
        elif name in needed:
            faults.append(Fault(f"{key}.spare", name, "needed, so it can't be spared"))
    if rule.needs != "all" and rule.weight is not None:
        faults.append(Fault(f"{key}.weight", rule.weight, "can't be set together with a list of needs"))
    return faults


def _partial_faults(key: str, rule: Rule) -> list[Fault]:
    """Return a fault for each key that only applies to partial answers, if the rule allows none."""
    if rule.partial:
        return []
    configured = (
        ("needs", rule.needs, rule.needs != "all"),
        ("weight", rule.weight, rule.weight is not None),
        ("fill_ms", rule.fill_ms, rule.fill_ms > 0),
        ("spare", rule.spare, bool(rule.spare)),
        ("wait", rule.wait, rule.wait != "budget"),
    )
    reason = "applies to partial answers only: set partial = true"
    return [Fault(f"{key}.{name}", value, reason) for name, value, is_set in configured if is_set]
