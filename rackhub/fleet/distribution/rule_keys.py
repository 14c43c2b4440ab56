"""Applies the keys of the rule set to the sections of a process. A rejected key keeps its previous value."""

import logging
from collections.abc import Callable, Iterable, Mapping
from functools import lru_cache
from typing import Any

import msgspec

from rackhub.fleet.distribution.limits import MAX_FAULT_REASON_CHARS
from rackhub.fleet.distribution.messages import Entry, KeyFault
from rackhub.fleet.distribution.rules import RuleKeyError, assemble, section_of
from rackhub.fleet.ports import RuleSection

log = logging.getLogger(__name__)
SECTION_NAME_CACHE_SIZE = 16_384  # number of keys whose section name is cached
# Passes over the keys of a section that is not accepted as a whole. Each pass finds keys that depend on keys accepted
# in the previous one.
MAX_PASSES = 3

Values = dict[str, bytes]
Check = Callable[[str, Values], None]  # raises `ValueError` if the named section rejects the values


class AcceptedValues(msgspec.Struct, frozen=True):
    """The accepted `values` of a section, and the rejected keys with their reasons (`faults`)."""

    values: Values
    faults: dict[str, str]


class RuleKeys:
    """The desired and the applied values of the rule set, and the sections that they belong to.

    Sections may be added until the first `apply`. `fallback` contains the values that the previous process had applied
    for keys whose desired value it may have rejected; None means that it had no value.
    """

    def __init__(self, desired: Mapping[str, bytes], fallback: Mapping[str, bytes | None]):
        self.sections: dict[str, RuleSection] = {}
        self.desired: Values = dict(desired)
        self.applied: Values = _with_changes(self.desired, fallback)
        self.faults: dict[str, str] = {}

    def start(self, revision: int) -> None:
        """Apply the values that were stored when the previous process ended."""
        self._apply_sections(self._section_names(), revision)

    def apply(self, entries: Iterable[Entry], snapshot: bool, revision: int) -> tuple[KeyFault, ...]:
        """Make these entries the desired ones, apply what is accepted, and return the rejected keys."""
        changes: dict[str, bytes | None] = dict.fromkeys(self.desired) if snapshot else {}
        changes |= {entry.key: entry.value for entry in entries}
        self.desired = _with_changes(self.desired, changes)
        names = {_section_name(key) for key in changes}
        self._apply_sections(names, revision)
        return self.key_faults()

    def check(self, entries: Iterable[Entry]) -> tuple[KeyFault, ...]:
        """Return which of these entries would be rejected. Nothing is changed."""
        changes = {entry.key: entry.value for entry in entries}
        after = _with_changes(self.desired, changes)
        faults: dict[str, str] = {}
        for name in sorted({_section_name(key) for key in changes}):
            accepted = accept_values(
                self._check, name, _values_of_section(self.applied, name), _values_of_section(after, name)
            )
            faults |= {key: reason for key, reason in accepted.faults.items() if key in changes}
        return _key_faults(faults)

    def key_faults(self) -> tuple[KeyFault, ...]:
        """Return the keys whose desired value is rejected, with the reasons, in order of key."""
        return _key_faults(self.faults)

    # ---- one section after the other

    def _section_names(self) -> set[str]:
        return {_section_name(key) for key in self.desired.keys() | self.applied.keys()}

    def _apply_sections(self, names: set[str], revision: int) -> None:
        for name in sorted(names):
            before = _values_of_section(self.applied, name)
            accepted = accept_values(self._check, name, before, _values_of_section(self.desired, name))
            self.faults = {key: reason for key, reason in self.faults.items() if _section_name(key) != name}
            self.faults |= accepted.faults
            try:
                self._apply_section(name, accepted.values, revision)
            except Exception as bad:  # a fault of one section must not stop the others
                log.exception("fleet: section %s failed to apply revision %d", name, revision)
                self.faults |= {key: f"{name} can't hold it: {bad}" for key in _changed_keys(before, accepted.values)}
                continue
            kept = {key: value for key, value in self.applied.items() if _section_name(key) != name}
            self.applied = kept | accepted.values
        for key, reason in sorted(self.faults.items()):
            if _section_name(key) in names:
                log.error("fleet: revision %d: %s is rejected, the previous value is kept: %s", revision, key, reason)

    def _apply_section(self, name: str, values: Values, revision: int) -> None:
        if name in self.sections:
            self.sections[name].apply(assemble(values).get(name), revision)

    def _check(self, name: str, values: Values) -> None:
        """Check values of one section. Raises `ValueError` if the section rejects them."""
        if not values:
            return
        content: Mapping[str, Any] | None = assemble(values).get(name)
        if name not in self.sections:
            known = ", ".join(sorted(self.sections)) or "none"
            raise ValueError(f"{name or 'the key'}: is not known here; there is {known}")
        self.sections[name].check(content)


def accept_values(check: Check, name: str, current: Values, desired: Values) -> AcceptedValues:
    """Return the accepted part of `desired`.

    That is all of it if the section accepts it, else `current` with each change that the section accepts on top of the
    ones before.
    """
    reason = _fault(check, name, desired)
    if not reason:
        return AcceptedValues(desired, {})
    values = dict(current)
    remaining = _changed_keys(current, desired)
    reasons = dict.fromkeys(remaining, reason)
    for _ in range(MAX_PASSES):
        before = len(remaining)
        for key in list(remaining):
            candidate = _with_changes(values, {key: desired.get(key)})
            reasons[key] = _fault(check, name, candidate)
            if not reasons[key]:
                values = candidate
                remaining.remove(key)
        if not remaining or len(remaining) == before:
            break
    return AcceptedValues(values, {key: reasons[key] for key in remaining})


def _fault(check: Check, name: str, values: Values) -> str:
    try:
        check(name, values)
    except ValueError as bad:
        return str(bad) or type(bad).__name__
    except Exception as bad:
        log.exception("fleet: the check of section %s failed", name)
        return f"{type(bad).__name__}: {bad}"
    return ""


def _with_changes(values: Mapping[str, bytes], changes: Mapping[str, bytes | None]) -> Values:
    after = {key: value for key, value in values.items() if key not in changes}
    return after | {key: value for key, value in changes.items() if value is not None}


def _changed_keys(old: Values, new: Values) -> list[str]:
    return sorted(key for key in old.keys() | new.keys() if old.get(key) != new.get(key))


@lru_cache(SECTION_NAME_CACHE_SIZE)
def _section_name(key: str) -> str:
    """Return the name of the section that a key belongs to; empty if it is not a key of the rule set."""
    try:
        return section_of(key)
    except RuleKeyError:
        return ""


def _values_of_section(values: Values, name: str) -> Values:
    return {key: value for key, value in values.items() if _section_name(key) == name}


def _key_faults(faults: Mapping[str, str]) -> tuple[KeyFault, ...]:
    return tuple(KeyFault(key, reason[:MAX_FAULT_REASON_CHARS]) for key, reason in sorted(faults.items()))
