"""Put the rule book's keys in force at the parts of a process, each key that can't be taken left as it was before."""

import logging
from collections.abc import Callable, Iterable, Mapping
from functools import lru_cache
from typing import Any

import msgspec

from rackhub.fleet.distribution.limits import FAULT_LETTERS
from rackhub.fleet.distribution.messages import Entry, KeyFault
from rackhub.fleet.distribution.rules import RuleKeyError, assemble, part_of
from rackhub.fleet.ports import RuleSection

log = logging.getLogger(__name__)
KNOWN_KEYS = 16_384  # whose parts are remembered
MOST_PASSES = 3  # over the keys of a part that can't be taken as a whole; each finds what rests on the one before

Values = dict[str, bytes]
Check = Callable[[str, Values], None]  # raises `ValueError` where the part of that name can't take the values


class Settled(msgspec.Struct, frozen=True):
    """`values` can be taken as they are; `faults` are the keys that could not be, by key with the reason."""

    values: Values
    faults: dict[str, str]


class RuleKeys:
    """What is wanted, what is in force, and the parts that it is for. `parts` may grow until the first `apply`.

    `fallback`: what an earlier process had in force where it may not have taken the wanted value; None: no such key.
    """

    def __init__(self, wanted: Mapping[str, bytes], fallback: Mapping[str, bytes | None]):
        self.parts: dict[str, RuleSection] = {}
        self.wanted: Values = dict(wanted)
        self.applied: Values = _changed(self.wanted, fallback)
        self.faults: dict[str, str] = {}

    def start(self, revision: int) -> None:
        """Put in force what was held when the process before this one ended."""
        self._settle(self._part_names(), revision)

    def apply(self, entries: Iterable[Entry], snapshot: bool, revision: int) -> tuple[KeyFault, ...]:
        """Want these entries, put in force what can be, and return what can't."""
        changes: dict[str, bytes | None] = dict.fromkeys(self.wanted) if snapshot else {}
        changes |= {entry.key: entry.value for entry in entries}
        self.wanted = _changed(self.wanted, changes)
        names = {_part_name(key) for key in changes}
        self._settle(names, revision)
        return self.key_faults()

    def check(self, entries: Iterable[Entry]) -> tuple[KeyFault, ...]:
        """Which of these entries could not be taken. Changes nothing."""
        changes = {entry.key: entry.value for entry in entries}
        after = _changed(self.wanted, changes)
        faults: dict[str, str] = {}
        for name in sorted({_part_name(key) for key in changes}):
            settled = settle(self._check, name, _of_part(self.applied, name), _of_part(after, name))
            faults |= {key: reason for key, reason in settled.faults.items() if key in changes}
        return _key_faults(faults)

    def key_faults(self) -> tuple[KeyFault, ...]:
        """The keys whose wanted value is not in force, with the reason, in order of key."""
        return _key_faults(self.faults)

    # ---- one part after the other

    def _part_names(self) -> set[str]:
        return {_part_name(key) for key in self.wanted.keys() | self.applied.keys()}

    def _settle(self, names: set[str], revision: int) -> None:
        for name in sorted(names):
            before = _of_part(self.applied, name)
            settled = settle(self._check, name, before, _of_part(self.wanted, name))
            self.faults = {key: reason for key, reason in self.faults.items() if _part_name(key) != name}
            self.faults |= settled.faults
            try:
                self._hold(name, settled.values, revision)
            except Exception as bad:  # a part's own fault must not keep the other parts from their change
                log.exception("fleet: %s can't hold revision %d", name, revision)
                self.faults |= {key: f"{name} can't hold it: {bad}" for key in _differing(before, settled.values)}
                continue
            kept = {key: value for key, value in self.applied.items() if _part_name(key) != name}
            self.applied = kept | settled.values
        for key, reason in sorted(self.faults.items()):
            if _part_name(key) in names:
                log.error("fleet: revision %d: %s can't be taken, the value before goes on: %s", revision, key, reason)

    def _hold(self, name: str, values: Values, revision: int) -> None:
        if name in self.parts:
            self.parts[name].apply(assemble(values).get(name), revision)

    def _check(self, name: str, values: Values) -> None:
        """Raises `ValueError` where the part can't take these."""
        if not values:
            return
        content: Mapping[str, Any] | None = assemble(values).get(name)
        if name not in self.parts:
            known = ", ".join(sorted(self.parts)) or "none"
            raise ValueError(f"{name or 'the key'}: is not known here; there is {known}")
        self.parts[name].check(content)


def settle(check: Check, name: str, standing: Values, wanted: Values) -> Settled:
    """As much of `wanted` as the part takes: all of it, or `standing` with each change that it takes by itself."""
    reason = _fault(check, name, wanted)
    if not reason:
        return Settled(wanted, {})
    values = dict(standing)
    left = _differing(standing, wanted)
    reasons = dict.fromkeys(left, reason)
    for _ in range(MOST_PASSES):
        before = len(left)
        for key in list(left):
            tried = _changed(values, {key: wanted.get(key)})
            reasons[key] = _fault(check, name, tried)
            if not reasons[key]:
                values = tried
                left.remove(key)
        if not left or len(left) == before:
            break
    return Settled(values, {key: reasons[key] for key in left})


def _fault(check: Check, name: str, values: Values) -> str:
    try:
        check(name, values)
    except ValueError as bad:
        return str(bad) or type(bad).__name__
    except Exception as bad:
        log.exception("fleet: the check of %s failed", name)
        return f"{type(bad).__name__}: {bad}"
    return ""


def _changed(values: Mapping[str, bytes], changes: Mapping[str, bytes | None]) -> Values:
    after = {key: value for key, value in values.items() if key not in changes}
    return after | {key: value for key, value in changes.items() if value is not None}


def _differing(old: Values, new: Values) -> list[str]:
    return sorted(key for key in old.keys() | new.keys() if old.get(key) != new.get(key))


@lru_cache(KNOWN_KEYS)
def _part_name(key: str) -> str:
    """Empty for a key that is none of the rule book's."""
    try:
        return part_of(key)
    except RuleKeyError:
        return ""


def _of_part(values: Values, name: str) -> Values:
    return {key: value for key, value in values.items() if _part_name(key) == name}


def _key_faults(faults: Mapping[str, str]) -> tuple[KeyFault, ...]:
    return tuple(KeyFault(key, reason[:FAULT_LETTERS]) for key, reason in sorted(faults.items()))
