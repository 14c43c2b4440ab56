"""The one reader of a site's settings: nested JSON or the pairs of START in, `interface.Settings` out.

Both carry the same names and units; START flattens the tree to path=value text. The nested form is
flattened the same way here, so that one table says what each name means and how it is checked.
"""

from collections.abc import Callable, Mapping
from typing import Any

from rackhub import interface


class BadLine(ValueError):
    """A message or setting that lacks a needed field or holds a value that cannot be read."""


Reader = Callable[[str], Any]


def whole(text: str) -> int:
    return int(text)


def truth(text: str) -> bool:
    if text not in ("0", "1", "true", "false"):
        raise ValueError(text)
    return text in ("1", "true")


def word(text: str) -> str:
    if not text:
        raise ValueError(text)
    return text


def number(text: str) -> float:
    value = float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(text)
    return value


def names(text: str) -> tuple[str, ...]:
    return tuple(part for part in text.split(",") if part)


# settings: path on the wire -> (attribute, reader)
PLAIN = {
    "Instances": ("gateways", whole),
    "Me": ("instance_index", whole),
    "Zone": ("zone", str),
    "Discovery": ("discovery", str),
    "Period": ("period", whole),
    "FamilyInfo.Grants": ("grants", truth),
    "FamilyInfo.RanksHeeded": ("priorities", truth),
    "FamilyInfo.NotePeriod": ("progress_report_interval", whole),
    "Permissions.Cancel": ("cancel", truth),
    "Permissions.MaxAttempts": ("max_attempts", whole),
    "Permissions.MaxRetryAfter": ("max_retry_after", whole),
    "Permissions.SecondCopies": ("hedging", truth),
    "Permissions.Peers": ("gossip", truth),
    "Permissions.Probes": ("health_checks", truth),
    "Report.Source": ("load_report_source", str),
    "Obligations.FreeResends": ("retry_budget_minimum", number),
    "Obligations.RepeatRatio": ("retry_budget_ratio", number),
    "Obligations.CountedOver": ("retry_budget_window", whole),
    "Obligations.ColdFrom": ("slow_start_initial_capacity", number),
    "Obligations.RampTime": ("slow_start_duration", whole),
    "Obligations.FallMultiple": ("slow_start_budget_multiple", number),
    "Obligations.Fall": ("slow_start_budget_window", whole),
    "Obligations.TurnGap": ("turn_gap", whole),
    "Obligations.StopSendingWithin": ("drain_grace", whole),
}
CLASS = {
    "Name": ("name", word),
    "Deadline": ("deadline", whole),
    "Objective": ("latency_objective", whole),
    "AimStretch": ("latency_objective_multiplier", number),
    "Worth": ("priority_weight", number),
    "Effect": ("idempotency", str),
    "DedupScope": ("idempotency_scope", str),
    "Window": ("idempotency_window", whole),
    "SerialByKey": ("serial_by_key", truth),
    "StaysIn": ("allowed_zones", names),
    "ServedOn": ("allowed_engine_kinds", names),
}
BY_CLASS = {
    "FamilyInfo.Dop": ("threads", whole),
    "FamilyInfo.HoldsTables": ("locks_tables", truth),
    "FamilyInfo.BlockedByLoads": ("blocked_by_table_locks", truth),
}
TENANT = {"Name": ("name", word), "Fraction": ("quota_fraction", number), "AllowancePerS": ("rate_limit_per_s", number)}


def read(message: str, pairs: Mapping[str, str], field: str, reader: Reader) -> Any:
    try:
        return reader(pairs[field])
    except (ValueError, TypeError):
        raise BadLine(f"{message}: field {field} has the bad value {pairs[field]!r}") from None


def settings_of(pairs: Mapping[str, str], source: str = "START") -> interface.Settings:
    """Settings from path=value pairs; `source` is what a message about a bad one calls their origin."""

    def known(table: Mapping[str, tuple[str, Reader]], prefix: str = "") -> dict[str, Any]:
        found = ((attribute, prefix + path, reader) for path, (attribute, reader) in table.items())
        return {attribute: read(source, pairs, path, reader) for attribute, path, reader in found if path in pairs}

    def count(path: str) -> int:
        return read(source, pairs, path, whole) if path in pairs else 0

    def column(path: str, reader: Reader) -> list[Any]:
        parts = pairs.get(path, "").split(",") if pairs.get(path) else []
        return [read(source, {path: part}, path, reader) for part in parts]

    classes = [known(CLASS, f"Services.{i}.") for i in range(count("Services.count"))]
    for path, (attribute, reader) in BY_CLASS.items():
        for values, value in zip(classes, column(path, reader), strict=False):
            values[attribute] = value
    tenants = [known(TENANT, f"Tenants.{i}.") for i in range(count("Tenants.count"))]
    for path, rows in (("Services", classes), ("Tenants", tenants)):
        for i, values in enumerate(rows):
            if "name" not in values:
                raise BadLine(f"{source}: field {path}.{i}.Name is missing")
    kinds = names(pairs.get("HostTypes", ""))
    return interface.Settings(
        classes=tuple(interface.ClassSettings(**values) for values in classes),
        tenants=tuple(interface.TenantSettings(**values) for values in tenants),
        kind_cores=dict(zip(kinds, column("FamilyInfo.KindCores", number), strict=False)),
        kind_memory=dict(zip(kinds, column("FamilyInfo.RamOfKindMb", number), strict=False)),
        **known(PLAIN),
    )


def flatten(tree: Mapping[str, Any]) -> dict[str, str]:
    """The pairs of START for a nested JSON object: plain lists joined, lists of objects counted."""
    pairs: dict[str, str] = {}

    def text(value: Any) -> str:
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, float) and value.is_integer():
            return str(int(value))
        return str(value)

    def walk(path: str, value: Any) -> None:
        if isinstance(value, Mapping):
            for name, inner in value.items():
                walk(f"{path}.{name}" if path else name, inner)
        elif isinstance(value, list) and any(isinstance(item, Mapping) for item in value):
            pairs[f"{path}.count"] = str(len(value))
            for i, item in enumerate(value):
                walk(f"{path}.{i}", item)
        elif isinstance(value, list):
            pairs[path] = ",".join(text(item) for item in value)
        elif value is not None:
            pairs[path] = text(value)

    walk("", tree)
    return pairs
