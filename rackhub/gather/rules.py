"""Which requests are gathered, from which sites, and what is enough: the `[gather]` part as it is written, checked.

Times are milliseconds. Pure; docs/operators/gather.md has every key.
"""

import re
from typing import Annotated, Any, Literal, NamedTuple

import msgspec
from msgspec import Meta

from rackhub import interface
from rackhub.address import address

Names = str | list[str]
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z")
SITES, RULES, GATEWAYS = 16, 100, 16  # most of each
DAY_MS = 86_400_000


class Site(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Where a part runs: engines of these zones of this list, or another installation by its gateways' addresses."""

    name: str
    zones: tuple[str, ...] = ()
    gateways: tuple[str, ...] = ()
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        return tuple(address(text, "gateways") for text in self.gateways)


class Rule(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One rule; the first that a request meets holds. What it matches, left out: all.

    `needs`: what must be in the answer; `weight`: a part of the weight of all sites instead. `wait`: once the need is
    met, until the budget's end, not at all, or as long as the missing sites usually take (`worth` of their learned
    times). `fill_ms`: how old a site's last whole answer may be to stand in for it; 0: none does. `spare`: sites that
    are left out while the fleet is over its level. `partial`: clients of these classes take an answer that is not
    whole, which says so; without it every site has to be in, fresh.
    """

    cls: Names = msgspec.field(name="class")
    tenant: Names | None = None
    tables: tuple[int, ...] | None = None
    sites: tuple[str, ...]
    needs: Literal["all"] | tuple[str, ...] = "all"
    weight: Annotated[float, Meta(gt=0, le=1)] | None = None
    wait: Literal["budget", "need", "learned"] = "budget"
    worth: Annotated[float, Meta(gt=0, lt=1)] = 0.9
    patience_ms: Annotated[float, Meta(ge=0, le=DAY_MS)] = 200.0  # where nothing is learned of a site yet
    fill_ms: Annotated[float, Meta(ge=0, le=DAY_MS)] = 0.0
    spare: tuple[str, ...] = ()
    partial: bool = False
    tries: Annotated[int, Meta(ge=1, le=4)] = 2  # of a part at another installation; never two at once


class GatherFile(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The `[gather]` part."""

    site: tuple[Site, ...] = ()
    rule: tuple[Rule, ...] = ()
    hops: Annotated[int, Meta(ge=1, le=4)] = 1  # a part that has come so far is gathered no further
    kept_mb: Annotated[float, Meta(ge=0, le=1024)] = 8.0  # of last answers, for `fill_ms`


class Fault(NamedTuple):
    key: str
    value: Any
    why: str

    def __str__(self) -> str:
        return f"{self.key}: {msgspec.json.encode(self.value).decode()}: {self.why}"


class GatherRules:
    """The rules in force, by class, tenant and group of tables."""

    def __init__(self, told: GatherFile):
        self.told = told
        self.sites = {site.name: site for site in told.site}
        self.weights = {site.name: site.weight for site in told.site}

    def find(self, cls: str, tenant: str, tables: int | None) -> Rule | None:
        return next((rule for rule in self.told.rule if meets(rule, cls, tenant, tables)), None)


def names(told: Names | None) -> tuple[str, ...] | None:
    return (told,) if isinstance(told, str) else None if told is None else tuple(told)


def meets(rule: Rule, cls: str, tenant: str, tables: int | None) -> bool:
    classes, tenants = names(rule.cls), names(rule.tenant)
    return (
        (classes is None or cls in classes)
        and (tenants is None or tenant in tenants)
        and (rule.tables is None or tables in rule.tables)
    )


def gather_rules(part: dict[str, Any], settings: interface.Settings) -> GatherRules:
    """The part as it is used. Raises `ValueError` with all its faults, each with key, value and reason."""
    try:
        told = msgspec.convert(part, GatherFile, strict=False)
    except msgspec.ValidationError as bad:
        raise ValueError(str(bad)) from None
    faults = [
        *_site_faults(told),
        *(fault for i, rule in enumerate(told.rule) for fault in _rule_faults(f"rule[{i}]", rule, told, settings)),
    ]
    if len(told.rule) > RULES:
        faults.append(Fault("rule", len(told.rule), f"more than {RULES} rules"))
    if faults:
        raise ValueError("; ".join(f"gather.{fault}" for fault in faults))
    return GatherRules(told)


def _site_faults(told: GatherFile) -> list[Fault]:
    faults = []
    if len(told.site) > SITES:
        faults.append(Fault("site", len(told.site), f"more than {SITES} sites"))
    seen: set[str] = set()
    for i, site in enumerate(told.site):
        key = f"site[{i}]"
        if not NAME.match(site.name):
            faults.append(Fault(f"{key}.name", site.name, "not 1 to 63 letters, digits, dots, dashes or underscores"))
        if site.name in seen:
            faults.append(Fault(f"{key}.name", site.name, "a site of that name is there already"))
        seen.add(site.name)
        if bool(site.zones) == bool(site.gateways):
            faults.append(Fault(f"{key}.zones", site.zones, "a site has either zones or gateways"))
        if len(site.gateways) > GATEWAYS:
            faults.append(Fault(f"{key}.gateways", len(site.gateways), f"more than {GATEWAYS}"))
        for j, text in enumerate(site.gateways):
            try:
                address(text, f"{key}.gateways[{j}]")
            except ValueError:
                faults.append(Fault(f"{key}.gateways[{j}]", text, "not an address and port"))
    return faults


def _rule_faults(key: str, rule: Rule, told: GatherFile, settings: interface.Settings) -> list[Fault]:
    faults = []
    classes, sites = {cls.name: cls for cls in settings.classes}, {site.name for site in told.site}
    for name in names(rule.cls) or ():
        if name not in classes:
            faults.append(Fault(f"{key}.class", name, "the site has no such class"))
        elif classes[name].idempotency != "retryable":  # a part may have run where its site did not answer
            faults.append(
                Fault(
                    f"{key}.class",
                    name,
                    f"may not simply be repeated (effect {classes[name].idempotency}), so it is never gathered",
                )
            )
    tenants = {tenant.name for tenant in settings.tenants}
    for name in names(rule.tenant) or ():
        if tenants and name not in tenants:
            faults.append(Fault(f"{key}.tenant", name, "the site has no such tenant"))
    for name in rule.sites:
        if name not in sites:
            faults.append(Fault(f"{key}.sites", name, "no gather.site has that name"))
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
        faults.append(Fault(f"{key}.weight", rule.weight, "needs names the sites already"))
    if not rule.partial:  # what only a partial answer could use would never hold
        for name, on in (
            ("needs", rule.needs != "all"),
            ("weight", rule.weight is not None),
            ("fill_ms", rule.fill_ms > 0),
            ("spare", bool(rule.spare)),
            ("wait", rule.wait != "budget"),
        ):
            if on:
                faults.append(
                    Fault(
                        f"{key}.{name}",
                        getattr(rule, name),
                        "without partial = true no answer that is not whole is given",
                    )
                )
    return faults
