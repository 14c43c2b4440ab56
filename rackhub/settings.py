"""Reads a site's settings, from nested JSON or from the pairs of a START message, into `interface.Settings`.

Both carry the same names and units; START flattens the tree to path=value text. The nested form is flattened the same
way here, so that one table defines what each name means and how it is checked.
"""

from collections.abc import Callable, Mapping
from math import isfinite
from typing import Any

from rackhub import interface


class InvalidFieldError(ValueError):
    """A message or setting lacks a required field, or a field's value can't be parsed. The text names the field."""


FieldParser = Callable[[str], Any]
FieldTable = Mapping[str, tuple[str, FieldParser]]  # path on the wire -> (attribute, parser)


def parse_int(text: str) -> int:
    """Parse an integer. Raises `ValueError`."""
    return int(text)


def parse_bool(text: str) -> bool:
    """Parse a truth value. Raises `ValueError`."""
    if text not in ("0", "1", "true", "false"):
        raise ValueError(text)
    return text in ("1", "true")


def parse_nonempty(text: str) -> str:
    """Return the text. Raises `ValueError` where it is empty."""
    if not text:
        raise ValueError(text)
    return text


def parse_float(text: str) -> float:
    """Parse a finite number. Raises `ValueError`."""
    value = float(text)
    if not isfinite(value):
        raise ValueError(text)
    return value


def parse_names(text: str) -> tuple[str, ...]:
    """Parse names separated by commas; empty ones are left out."""
    return tuple(name for name in text.split(",") if name)


SITE_FIELDS: FieldTable = {
    "Instances": ("gateways", parse_int),
    "Me": ("instance_index", parse_int),
    "Zone": ("zone", str),
    "Discovery": ("discovery", str),
    "Period": ("clock_period", parse_int),
    "FamilyInfo.Grants": ("grants", parse_bool),
    "FamilyInfo.RanksHeeded": ("priorities", parse_bool),
    "FamilyInfo.NotePeriod": ("progress_report_interval", parse_int),
    "Permissions.Cancel": ("cancel", parse_bool),
    "Permissions.MaxAttempts": ("max_attempts", parse_int),
    "Permissions.MaxRetryAfter": ("max_retry_after", parse_int),
    "Permissions.SecondCopies": ("hedging", parse_bool),
    "Permissions.Peers": ("gossip", parse_bool),
    "Permissions.Probes": ("health_checks", parse_bool),
    "Report.Source": ("load_report_source", str),
    "Obligations.FreeResends": ("retry_budget_minimum", parse_float),
    "Obligations.RepeatRatio": ("retry_budget_ratio", parse_float),
    "Obligations.CountedOver": ("retry_budget_window", parse_int),
    "Obligations.ColdFrom": ("slow_start_initial_capacity", parse_float),
    "Obligations.RampTime": ("slow_start_duration", parse_int),
    "Obligations.FallMultiple": ("slow_start_budget_multiple", parse_float),
    "Obligations.Fall": ("slow_start_budget_window", parse_int),
    "Obligations.TurnGap": ("serial_key_delay", parse_int),
    "Obligations.StopSendingWithin": ("drain_grace", parse_int),
}
CLASS_FIELDS: FieldTable = {
    "Name": ("name", parse_nonempty),
    "Deadline": ("deadline", parse_int),
    "Objective": ("latency_objective", parse_int),
    "AimStretch": ("latency_objective_multiplier", parse_float),
    "Worth": ("priority_weight", parse_float),
    "Effect": ("idempotency", str),
    "DedupScope": ("idempotency_scope", str),
    "Window": ("idempotency_window", parse_int),
    "SerialByKey": ("serial_by_key", parse_bool),
    "StaysIn": ("allowed_zones", parse_names),
    "ServedOn": ("allowed_engine_kinds", parse_names),
}
CLASS_COLUMNS: FieldTable = {  # a value for each class, separated by commas, in the order of the classes
    "FamilyInfo.Dop": ("threads", parse_int),
    "FamilyInfo.HoldsTables": ("locks_tables", parse_bool),
    "FamilyInfo.BlockedByLoads": ("blocked_by_table_locks", parse_bool),
}
TENANT_FIELDS: FieldTable = {
    "Name": ("name", parse_nonempty),
    "Fraction": ("quota_fraction", parse_float),
    "AllowancePerS": ("rate_limit_per_s", parse_float),
}


def parse_field(message: str, pairs: Mapping[str, str], field: str, parser: FieldParser) -> Any:
    """Parse a field that is present in `pairs`. Raises `InvalidFieldError`, which names `message` as the origin."""
    try:
        return parser(pairs[field])
    except (ValueError, TypeError):
        raise InvalidFieldError(f"{message}: field {field} has the bad value {pairs[field]!r}") from None


def parse_settings(pairs: Mapping[str, str], source: str = "START") -> interface.Settings:
    """Parse settings from path=value pairs. Raises `InvalidFieldError`, which names `source` as their origin."""
    return _SettingsParser(pairs, source).settings()


class _SettingsParser:
    def __init__(self, pairs: Mapping[str, str], source: str):
        self._pairs = pairs
        self._source = source

    def settings(self) -> interface.Settings:
        """Parse all settings."""
        classes = self._rows("Services", CLASS_FIELDS)
        for path, (attribute, parser) in CLASS_COLUMNS.items():
            for values, value in zip(classes, self._column(path, parser), strict=False):
                values[attribute] = value
        tenants = self._rows("Tenants", TENANT_FIELDS)
        self._require_names("Services", classes)
        self._require_names("Tenants", tenants)
        kinds = parse_names(self._pairs.get("HostTypes", ""))
        return interface.Settings(
            classes=tuple(interface.ClassSettings(**values) for values in classes),
            tenants=tuple(interface.TenantSettings(**values) for values in tenants),
            kind_cores=dict(zip(kinds, self._column("FamilyInfo.KindCores", parse_float), strict=False)),
            kind_memory=dict(zip(kinds, self._column("FamilyInfo.RamOfKindMb", parse_float), strict=False)),
            **self._present_fields(SITE_FIELDS),
        )

    def _rows(self, path: str, table: FieldTable) -> list[dict[str, Any]]:
        """The attributes of each object of the list at `path`."""
        count_path = f"{path}.count"
        if count_path not in self._pairs:
            return []
        count = parse_field(self._source, self._pairs, count_path, parse_int)
        return [self._present_fields(table, f"{path}.{index}.") for index in range(count)]

    def _present_fields(self, table: FieldTable, prefix: str = "") -> dict[str, Any]:
        values = {}
        for path, (attribute, parser) in table.items():
            if prefix + path in self._pairs:
                values[attribute] = parse_field(self._source, self._pairs, prefix + path, parser)
        return values

    def _column(self, path: str, parser: FieldParser) -> list[Any]:
        """The values of a list that is joined by commas."""
        joined = self._pairs.get(path)
        if not joined:
            return []
        return [parse_field(self._source, {path: item}, path, parser) for item in joined.split(",")]

    def _require_names(self, path: str, rows: list[dict[str, Any]]) -> None:
        for index, values in enumerate(rows):
            if "name" not in values:
                raise InvalidFieldError(f"{self._source}: field {path}.{index}.Name is missing")


def flatten(tree: Mapping[str, Any]) -> dict[str, str]:
    """Flatten nested JSON to path=value pairs: lists of plain values are joined, lists of objects get a `.count`."""
    pairs: dict[str, str] = {}
    _flatten_into(pairs, "", tree)
    return pairs


def _flatten_into(pairs: dict[str, str], path: str, value: Any) -> None:
    if isinstance(value, Mapping):
        for name, inner in value.items():
            _flatten_into(pairs, f"{path}.{name}" if path else name, inner)
    elif isinstance(value, list) and any(isinstance(item, Mapping) for item in value):
        pairs[f"{path}.count"] = str(len(value))
        for index, item in enumerate(value):
            _flatten_into(pairs, f"{path}.{index}", item)
    elif isinstance(value, list):
        pairs[path] = ",".join(_plain_text(item) for item in value)
    elif value is not None:
        pairs[path] = _plain_text(value)


def _plain_text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)
