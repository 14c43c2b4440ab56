"""The operator's shedding policy: priority multipliers by class and tenant, the `shed` table of the rule set.

`{"order": [{"class": "report", "tenant": "batch", "worth": 0.5}, ...]}`: an entry without `class` or `tenant` applies
to all of them; where several entries apply to one cell, their product counts. A cell with 0 is shed first.
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
    """The `shed` table of a rule set."""

    rules: tuple[SheddingRule, ...] = msgspec.field(name="order", default=())


class SheddingPolicy:
    """The multipliers in force; implements `ports.RuleSection`."""

    def __init__(self, settings: t.Settings):
        self._classes = [cls.name for cls in settings.classes]
        self._tenants = [tenant.name for tenant in settings.tenants] or [""]
        self.multipliers: dict[Key, float] = {}  # of the cells that any rule applies to
        self.version = 0

    def check(self, part: Mapping[str, Any] | None) -> None:
        """Raise `ValueError` that names each invalid key."""
        self._read(part)

    def apply(self, part: Mapping[str, Any] | None, version: int) -> None:
        """Apply the table of a rule set version; raise `ValueError` if it is invalid."""
        multipliers: dict[Key, float] = {}
        for entry in self._read(part):
            for cls in [entry.cls] if entry.cls else self._classes:
                for tenant in [entry.tenant] if entry.tenant else self._tenants:
                    multipliers[cls, tenant] = multipliers.get((cls, tenant), 1.0) * entry.multiplier
        self.multipliers = multipliers
        self.version = version

    def _read(self, part: Mapping[str, Any] | None) -> tuple[SheddingRule, ...]:
        if part is None:
            return ()
        try:
            entries = msgspec.convert(part, SheddingTable, strict=True).rules
        except msgspec.ValidationError as bad:
            raise ValueError(f"shed: {bad}") from None
        faults = self._faults(entries)
        if faults:
            raise ValueError("; ".join(faults))
        return entries

    def _faults(self, entries: tuple[SheddingRule, ...]) -> list[str]:
        faults = []
        if len(entries) > MAXIMUM_RULES:
            faults.append(f"shed.order: {len(entries)} entries, more than {MAXIMUM_RULES}")
        for i, entry in enumerate(entries):
            at = f"shed.order[{i}]"
            if not entry.cls and not entry.tenant:
                faults.append(f"{at}: neither class nor tenant is told")
            if entry.cls and entry.cls not in self._classes:
                faults.append(f"{at}.class: {entry.cls!r} is not one of {', '.join(self._classes)}")
            if entry.tenant and entry.tenant not in self._tenants:
                faults.append(f"{at}.tenant: {entry.tenant!r} is not one of the site's tenants")
            if not 0 <= entry.multiplier <= MAXIMUM_MULTIPLIER:
                faults.append(f"{at}.worth: {entry.multiplier} is not from 0 to {MAXIMUM_MULTIPLIER:g}")
        return faults
