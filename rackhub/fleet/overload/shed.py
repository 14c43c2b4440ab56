"""The operator's shedding policy: priority multipliers by class and tenant, the section `shed` of the rule set.

`{"order": [{"class": "report", "tenant": "batch", "worth": 0.5}, ...]}`: an entry without `class` or `tenant` applies
to all of them. If several entries apply to one cell, their product counts. A cell with 0 is shed first.
"""

from collections.abc import Mapping
from typing import Any

import msgspec

from rackhub import interface as t
from rackhub.fleet.overload.shedding_threshold import Key

MAXIMUM_RULES = 64
MAXIMUM_MULTIPLIER = 100.0


class SheddingRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One multiplier, for a class, a tenant or both."""

    multiplier: float = msgspec.field(name="worth")
    cls: str = msgspec.field(name="class", default="")
    tenant: str = ""


class SheddingTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section `shed` of a rule set."""

    rules: tuple[SheddingRule, ...] = msgspec.field(name="order", default=())


class SheddingPolicy:
    """The active multipliers; implements `ports.RuleSection`."""

    def __init__(self, settings: t.Settings):
        self._classes = [cls.name for cls in settings.classes]
        self._tenants = [tenant.name for tenant in settings.tenants] or [""]
        self.multipliers: dict[Key, float] = {}  # multiplier of each cell that any rule applies to
        self.version = 0

    def check(self, section: Mapping[str, Any] | None) -> None:
        """Raise `ValueError` that names each invalid key; change nothing."""
        self._read(section)

    def apply(self, section: Mapping[str, Any] | None, version: int) -> None:
        """Apply the section of a rule set version; raise `ValueError` if it is invalid."""
        multipliers: dict[Key, float] = {}
        for entry in self._read(section):
            for cls in [entry.cls] if entry.cls else self._classes:
                for tenant in [entry.tenant] if entry.tenant else self._tenants:
                    multipliers[cls, tenant] = multipliers.get((cls, tenant), 1.0) * entry.multiplier
        self.multipliers = multipliers
        self.version = version

    def _read(self, section: Mapping[str, Any] | None) -> tuple[SheddingRule, ...]:
        if section is None:
            return ()
        try:
            entries = msgspec.convert(section, SheddingTable, strict=True).rules
        except msgspec.ValidationError as error:
            raise ValueError(f"shed: {error}") from None
        errors = self._errors(entries)
        if errors:
            raise ValueError("; ".join(errors))
        return entries

    def _errors(self, entries: tuple[SheddingRule, ...]) -> list[str]:
        errors = []
        if len(entries) > MAXIMUM_RULES:
            errors.append(f"shed.order: {len(entries)} entries, at most {MAXIMUM_RULES} are allowed")
        for i, entry in enumerate(entries):
            key = f"shed.order[{i}]"
            if not entry.cls and not entry.tenant:
                errors.append(f"{key}: neither class nor tenant is set")
            if entry.cls and entry.cls not in self._classes:
                errors.append(f"{key}.class: {entry.cls!r} is not one of {', '.join(self._classes)}")
            if entry.tenant and entry.tenant not in self._tenants:
                errors.append(f"{key}.tenant: {entry.tenant!r} is not one of the site's tenants")
            if not 0 <= entry.multiplier <= MAXIMUM_MULTIPLIER:
                errors.append(f"{key}.worth: {entry.multiplier} is not from 0 to {MAXIMUM_MULTIPLIER:g}")
        return errors
