"""The check before an edit: could the coordinators take these entries? One of each zone is asked, through a relay."""

import random
from collections.abc import Iterable

import msgspec

from rackhub.fleet.distribution.agenda import NEVER
from rackhub.fleet.distribution.events import CheckAsked, CheckDone, Effect, IncrementCounter, Send
from rackhub.fleet.distribution.limits import FAULT_KEYS, Limits
from rackhub.fleet.distribution.messages import Check, Checked, Entry, KeyFault, Name
from rackhub.fleet.distribution.session import Session

FORWARD_TRIES = 2  # watchers that a relay asks, one after the other
PENDING_CHECKS = 64  # at a time; further ones are dropped

RelaysByZone = dict[str, tuple[Name, ...]]


class _Forwarded(msgspec.Struct):
    voter: Name
    mark: int  # the voter's
    entries: tuple[Entry, ...]
    asked: list[Name]
    until: int


class CheckForwarding:
    """At a relay: hands a voter's check to one watcher of the zone, then to another one, and the answer back."""

    def __init__(self, zone: str, limits: Limits, chance: random.Random) -> None:
        self._zone, self._chance = zone, chance
        self._patience = limits.check_timeout // (2 * FORWARD_TRIES)
        self._pending: dict[int, _Forwarded] = {}  # by the relay's own mark
        self._last_mark = 0

    def due(self) -> int:
        return min((forwarded.until for forwarded in self._pending.values()), default=NEVER)

    def forward(self, now: int, voter: Name, check: Check, sessions: Iterable[Session]) -> list[Effect]:
        """A voter asks."""
        if len(self._pending) >= PENDING_CHECKS:
            return [IncrementCounter("distribution_checks_dropped", voter)]
        if any(one.voter == voter and one.mark == check.mark for one in self._pending.values()):
            return []  # doubled on the way
        self._last_mark += 1
        self._pending[self._last_mark] = _Forwarded(voter, check.mark, check.entries, [], now)
        return self._ask(now, self._last_mark, sessions)

    def answered(self, sender: Name, checked: Checked) -> list[Effect]:
        """A watcher answers."""
        forwarded = self._pending.get(checked.mark)
        if forwarded is None or sender not in forwarded.asked:
            return [IncrementCounter("distribution_unexpected", sender)]
        del self._pending[checked.mark]
        return [Send(forwarded.voter, Checked(forwarded.mark, self._zone, checked.faults))]

    def tick(self, now: int, sessions: Iterable[Session]) -> list[Effect]:
        """Ask another watcher where one did not answer."""
        overdue = [mark for mark, forwarded in self._pending.items() if now >= forwarded.until]
        return [effect for mark in overdue for effect in self._ask(now, mark, sessions)]

    def _ask(self, now: int, mark: int, sessions: Iterable[Session]) -> list[Effect]:
        forwarded = self._pending[mark]
        others = [one.name for one in sessions if one.zone == self._zone and one.name not in forwarded.asked]
        if not others or len(forwarded.asked) >= FORWARD_TRIES:
            del self._pending[mark]
            return [IncrementCounter("distribution_checks_unanswered")]
        name = self._chance.choice(others)
        forwarded.asked.append(name)
        forwarded.until = now + self._patience
        return [Send(name, Check(mark, forwarded.entries))]


class _Round(msgspec.Struct):
    """One check of an editor. `waiting`: the relays of each zone without an answer, the next to ask first."""

    mark: int  # the editor's
    entries: tuple[Entry, ...]
    waiting: dict[str, list[Name]]
    silent: list[str]
    faults: dict[str, KeyFault]
    retry_at: int
    until: int


class CheckRounds:
    """At a source: asks a relay of each zone, another one of it at half the time, and gathers the answers."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._rounds: dict[int, _Round] = {}  # by the source's own mark
        self._last_mark = 0

    def due(self) -> int:
        return min((min(one.retry_at, one.until) for one in self._rounds.values()), default=NEVER)

    def begin(self, now: int, asked: CheckAsked, relays: RelaysByZone) -> list[Effect]:
        """`relays`: of each zone; a zone with none is silent."""
        self._last_mark += 1
        waiting = {zone: list(names) for zone, names in relays.items() if names}
        silent = [zone for zone, names in relays.items() if not names]
        half, whole = now + self._limits.check_timeout // 2, now + self._limits.check_timeout
        self._rounds[self._last_mark] = _Round(asked.mark, asked.entries, waiting, silent, {}, half, whole)
        return [*self._ask(self._last_mark), *self._done(self._last_mark)]

    def answered(self, sender: Name, checked: Checked) -> list[Effect]:
        """A relay hands back its zone's answer."""
        current = self._rounds.get(checked.mark)
        if current is None or checked.zone not in current.waiting:
            return [IncrementCounter("distribution_late_checks", sender)]
        del current.waiting[checked.zone]
        current.faults.update((fault.key, fault) for fault in checked.faults)
        return self._done(checked.mark)

    def tick(self, now: int) -> list[Effect]:
        """Ask the second relays, and end what is over."""
        effects: list[Effect] = []
        for mark, current in list(self._rounds.items()):
            if now >= current.until:
                current.silent += current.waiting
                current.waiting = {}
                effects += self._done(mark)
            elif now >= current.retry_at:
                current.retry_at = NEVER
                effects += self._ask(mark)
        return effects

    def _ask(self, mark: int) -> list[Effect]:
        current = self._rounds[mark]
        check = Check(mark, current.entries)
        effects: list[Effect] = []
        for names in current.waiting.values():
            effects.append(Send(names[0], check))
            names.append(names.pop(0))  # the next one is asked if this one does not answer
        return effects

    def _done(self, mark: int) -> list[Effect]:
        current = self._rounds[mark]
        if current.waiting:
            return []
        del self._rounds[mark]
        faults = tuple(current.faults.values())[:FAULT_KEYS]
        return [CheckDone(current.mark, faults, tuple(sorted(current.silent)))]
