"""The check before an edit: could the coordinators take these entries? One of each zone is asked, through a relay."""

import random
from collections.abc import Iterable

import msgspec

from rackhub.fleet.distribution.events import CheckDone, CheckRequested, Effect, IncrementCounter, Send
from rackhub.fleet.distribution.limits import MAX_FAULT_KEYS, Limits
from rackhub.fleet.distribution.messages import Check, Checked, Entry, KeyFault, Name
from rackhub.fleet.distribution.schedule import NEVER
from rackhub.fleet.distribution.session import Session

MAX_FORWARD_ATTEMPTS = 2  # watchers that a relay asks, one after the other
MAX_PENDING_CHECKS = 64  # at a time; further ones are dropped

RelaysByZone = dict[str, tuple[Name, ...]]


class _ForwardedCheck(msgspec.Struct):
    voter: Name
    check_id: int  # the voter's
    entries: tuple[Entry, ...]
    polled: list[Name]
    deadline: int


class CheckForwarding:
    """At a relay: hands a voter's check to one watcher of the zone, then to another one, and the answer back."""

    def __init__(self, zone: str, limits: Limits, rng: random.Random) -> None:
        self._zone, self._rng = zone, rng
        self._timeout = limits.check_timeout // (2 * MAX_FORWARD_ATTEMPTS)
        self._pending: dict[int, _ForwardedCheck] = {}  # by the relay's own mark
        self._last_check_id = 0

    def due(self) -> int:
        return min((forwarded.deadline for forwarded in self._pending.values()), default=NEVER)

    def forward(self, now: int, voter: Name, check: Check, sessions: Iterable[Session]) -> list[Effect]:
        """A voter asks."""
        if len(self._pending) >= MAX_PENDING_CHECKS:
            return [IncrementCounter("distribution_checks_dropped", voter)]
        if any(one.voter == voter and one.check_id == check.check_id for one in self._pending.values()):
            return []  # doubled on the way
        self._last_check_id += 1
        self._pending[self._last_check_id] = _ForwardedCheck(voter, check.check_id, check.entries, [], now)
        return self._poll(now, self._last_check_id, sessions)

    def answered(self, sender: Name, checked: Checked) -> list[Effect]:
        """A watcher answers."""
        forwarded = self._pending.get(checked.check_id)
        if forwarded is None or sender not in forwarded.polled:
            return [IncrementCounter("distribution_unexpected", sender)]
        del self._pending[checked.check_id]
        return [Send(forwarded.voter, Checked(forwarded.check_id, self._zone, checked.faults))]

    def tick(self, now: int, sessions: Iterable[Session]) -> list[Effect]:
        """Ask another watcher where one did not answer."""
        overdue = [check_id for check_id, forwarded in self._pending.items() if now >= forwarded.deadline]
        return [effect for check_id in overdue for effect in self._poll(now, check_id, sessions)]

    def _poll(self, now: int, check_id: int, sessions: Iterable[Session]) -> list[Effect]:
        forwarded = self._pending[check_id]
        others = [one.name for one in sessions if one.zone == self._zone and one.name not in forwarded.polled]
        if not others or len(forwarded.polled) >= MAX_FORWARD_ATTEMPTS:
            del self._pending[check_id]
            return [IncrementCounter("distribution_checks_unanswered")]
        name = self._rng.choice(others)
        forwarded.polled.append(name)
        forwarded.deadline = now + self._timeout
        return [Send(name, Check(check_id, forwarded.entries))]


class _CheckRound(msgspec.Struct):
    """One check of an editor. `waiting`: the relays of each zone without an answer, the next to ask first."""

    check_id: int  # the editor's
    entries: tuple[Entry, ...]
    pending_relays: dict[str, list[Name]]
    unanswered: list[str]
    faults: dict[str, KeyFault]
    retry_at: int
    deadline: int


class CheckRounds:
    """At a source: asks a relay of each zone, another one of it at half the time, and gathers the answers."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._rounds: dict[int, _CheckRound] = {}  # by the source's own mark
        self._last_check_id = 0

    def due(self) -> int:
        return min((min(one.retry_at, one.deadline) for one in self._rounds.values()), default=NEVER)

    def begin(self, now: int, requested: CheckRequested, relays: RelaysByZone) -> list[Effect]:
        """`relays`: of each zone; a zone with none is silent."""
        self._last_check_id += 1
        pending_relays = {zone: list(names) for zone, names in relays.items() if names}
        unanswered = [zone for zone, names in relays.items() if not names]
        half, whole = now + self._limits.check_timeout // 2, now + self._limits.check_timeout
        self._rounds[self._last_check_id] = _CheckRound(
            requested.check_id, requested.entries, pending_relays, unanswered, {}, half, whole
        )
        return [*self._poll(self._last_check_id), *self._done(self._last_check_id)]

    def answered(self, sender: Name, checked: Checked) -> list[Effect]:
        """A relay hands back its zone's answer."""
        current = self._rounds.get(checked.check_id)
        if current is None or checked.zone not in current.pending_relays:
            return [IncrementCounter("distribution_late_checks", sender)]
        del current.pending_relays[checked.zone]
        current.faults.update((fault.key, fault) for fault in checked.faults)
        return self._done(checked.check_id)

    def tick(self, now: int) -> list[Effect]:
        """Ask the second relays, and end what is over."""
        effects: list[Effect] = []
        for check_id, current in list(self._rounds.items()):
            if now >= current.deadline:
                current.unanswered += current.pending_relays
                current.pending_relays = {}
                effects += self._done(check_id)
            elif now >= current.retry_at:
                current.retry_at = NEVER
                effects += self._poll(check_id)
        return effects

    def _poll(self, check_id: int) -> list[Effect]:
        current = self._rounds[check_id]
        check = Check(check_id, current.entries)
        effects: list[Effect] = []
        for names in current.pending_relays.values():
            effects.append(Send(names[0], check))
            names.append(names.pop(0))  # the next one is asked if this one does not answer
        return effects

    def _done(self, check_id: int) -> list[Effect]:
        current = self._rounds[check_id]
        if current.pending_relays:
            return []
        del self._rounds[check_id]
        faults = tuple(current.faults.values())[:MAX_FAULT_KEYS]
        return [CheckDone(current.check_id, faults, tuple(sorted(current.unanswered)))]
