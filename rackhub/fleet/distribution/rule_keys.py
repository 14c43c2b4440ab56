"""Put the rule book's keys in force at the parts of a process, each key that can't be taken left as it was before."""

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
SECTION_NAME_CACHE_SIZE = 16_384  # whose parts are remembered
MAX_PASSES = 3  # over the keys of a part that can't be taken as a whole; each finds what rests on the one before

Values = dict[str, bytes]
Check = Callable[[str, Values], None]  # raises `ValueError` where the part of that name can't take the values


class AcceptedValues(msgspec.Struct, frozen=True):
    """`values` can be taken as they are; `faults` are the keys that could not be, by key with the reason."""

    values: Values
    faults: dict[str, str]


class RuleKeys:
    """What is wanted, what is in force, and the parts that it is for. `parts` may grow until the first `apply`.

    `fallback`: what an earlier process had in force where it may not have taken the wanted value; None: no such key.
    """

    def __init__(self, desired: Mapping[str, bytes], fallback: Mapping[str, bytes | None]):
        self.sections: dict[str, RuleSection] = {}
        self.desired: Values = dict(desired)
        self.applied: Values = _with_changes(self.desired, fallback)
        self.faults: dict[str, str] = {}

    def start(self, revision: int) -> None:
        """Put in force what was held when the process before this one ended."""
        self._apply_sections(self._section_names(), revision)

    def apply(self, entries: Iterable[Entry], snapshot: bool, revision: int) -> tuple[KeyFault, ...]:
        """Want these entries, put in force what can be, and return what can't."""
        changes: dict[str, bytes | None] = dict.fromkeys(self.desired) if snapshot else {}
        changes |= {entry.key: entry.value for entry in entries}
        self.desired = _with_changes(self.desired, changes)
        names = {_section_name(key) for key in changes}
        self._apply_sections(names, revision)
        return self.key_faults()

    def check(self, entries: Iterable[Entry]) -> tuple[KeyFault, ...]:
        """Which of these entries could not be taken. Changes nothing."""
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
        """The keys whose wanted value is not in force, with the reason, in order of key."""
        return _key_faults(self.faults)

    # ---- one part after the other

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
            except Exception as bad:  # a part's own fault must not keep the other parts from their change
                log.exception("fleet: %s can't hold revision %d", name, revision)
                self.faults |= {key: f"{name} can't hold it: {bad}" for key in _changed_keys(before, accepted.values)}
                continue
            kept = {key: value for key, value in self.applied.items() if _section_name(key) != name}
            self.applied = kept | accepted.values
        for key, reason in sorted(self.faults.items()):
            if _section_name(key) in names:
                log.error("fleet: revision %d: %s can't be taken, the value before goes on: %s", revision, key, reason)

    def _apply_section(self, name: str, values: Values, revision: int) -> None:
        if name in self.sections:
            self.sections[name].apply(assemble(values).get(name), revision)

    def _check(self, name: str, values: Values) -> None:
        """Raises `ValueError` where the part can't take these."""
        if not values:
            return
        content: Mapping[str, Any] | None = assemble(values).get(name)
        if name not in self.sections:
            known = ", ".join(sorted(self.sections)) or "none"
            raise ValueError(f"{name or 'the key'}: is not known here; there is {known}")
        self.sections[name].check(content)


def accept_values(check: Check, name: str, current: Values, desired: Values) -> AcceptedValues:
    """As much of `wanted` as the part takes: all of it, or `standing` with each change that it takes by itself."""
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
        log.exception("fleet: the check of %s failed", name)
        return f"{type(bad).__name__}: {bad}"
    return ""


def _with_changes(values: Mapping[str, bytes], changes: Mapping[str, bytes | None]) -> Values:
    after = {key: value for key, value in values.items() if key not in changes}
    return after | {key: value for key, value in changes.items() if value is not None}


def _changed_keys(old: Values, new: Values) -> list[str]:
    return sorted(key for key in old.keys() | new.keys() if old.get(key) != new.get(key))


@lru_cache(SECTION_NAME_CACHE_SIZE)
def _section_name(key: str) -> str:
    """Empty for a key that is none of the rule book's."""
    try:
        return section_of(key)
    except RuleKeyError:
        return ""


def _values_of_section(values: Values, name: str) -> Values:
    return {key: value for key, value in values.items() if _section_name(key) == name}


def _key_faults(faults: Mapping[str, str]) -> tuple[KeyFault, ...]:
    return tuple(KeyFault(key, reason[:MAX_FAULT_REASON_CHARS]) for key, reason in sorted(faults.items()))
