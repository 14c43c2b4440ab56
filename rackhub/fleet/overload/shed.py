"""The operator's order of shedding: multipliers of worth by class and tenant, a part of the rule book.

`{"order": [{"class": "report", "tenant": "batch", "worth": 0.5}, ...]}`: an entry without `class` or `tenant` is for
all of them; where several are for one cell, their product counts. 0 is shed before all else.
"""

from collections.abc import Mapping
from typing import Any

import msgspec

from rackhub import interface as t
from rackhub.fleet.overload.shedding_threshold import Key

ENTRIES, MOST = 64, 100.0


class SheddingRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    worth: float
    cls: str = msgspec.field(name="class", default="")
    tenant: str = ""


class SheddingTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    order: tuple[SheddingRule, ...] = ()


class SheddingPolicy:
    """Implements `ports.RulePart`."""

    def __init__(self, settings: t.Settings):
        self._classes = [told.name for told in settings.classes]
        self._tenants = [told.name for told in settings.tenants] or [""]
        self.worth: dict[Key, float] = {}  # of the cells that any entry is for
        self.version = 0

    def check(self, part: Mapping[str, Any] | None) -> None:
        """Raises `ValueError` that names each key at fault."""
        self._read(part)

    def hold(self, part: Mapping[str, Any] | None, version: int) -> None:
        worth: dict[Key, float] = {}
        for entry in self._read(part):
            for cls in [entry.cls] if entry.cls else self._classes:
                for tenant in [entry.tenant] if entry.tenant else self._tenants:
                    worth[cls, tenant] = worth.get((cls, tenant), 1.0) * entry.worth
        self.worth, self.version = worth, version

    def _read(self, part: Mapping[str, Any] | None) -> tuple[SheddingRule, ...]:
        if part is None:
            return ()
        try:
            entries = msgspec.convert(part, SheddingTable, strict=True).order
        except msgspec.ValidationError as bad:
            raise ValueError(f"shed: {bad}") from None
        faults = [] if len(entries) <= ENTRIES else [f"shed.order: {len(entries)} entries, more than {ENTRIES}"]
        for i, entry in enumerate(entries):
            at = f"shed.order[{i}]"
            if not entry.cls and not entry.tenant:
                faults.append(f"{at}: neither class nor tenant is told")
            if entry.cls and entry.cls not in self._classes:
                faults.append(f"{at}.class: {entry.cls!r} is not one of {', '.join(self._classes)}")
            if entry.tenant and entry.tenant not in self._tenants:
                faults.append(f"{at}.tenant: {entry.tenant!r} is not one of the site's tenants")
            if not 0 <= entry.worth <= MOST:
                faults.append(f"{at}.worth: {entry.worth} is not from 0 to {MOST:g}")
        if faults:
            raise ValueError("; ".join(faults))
        return entries
