"""The check before an edit.

One coordinator of each zone, asked through a relay, says whether it would accept the entries.
"""

import random
from collections.abc import Iterable

import msgspec

from rackhub.fleet.distribution.events import CheckDone, CheckRequested, Effect, IncrementCounter, Send
from rackhub.fleet.distribution.limits import MAX_FAULT_KEYS, Limits
from rackhub.fleet.distribution.messages import Check, Checked, Entry, KeyFault, Name
from rackhub.fleet.distribution.schedule import NEVER
from rackhub.fleet.distribution.session import Session

MAX_FORWARD_ATTEMPTS = 2  # number of watchers that a relay asks, one after the other
# Checks that a relay forwards at the same time. Further ones are dropped.
MAX_PENDING_CHECKS = 64

RelaysByZone = dict[str, tuple[Name, ...]]


class _ForwardedCheck(msgspec.Struct):
    voter: Name
    check_id: int  # the voter's number of the check
    entries: tuple[Entry, ...]
    polled: list[Name]
    deadline: int


class CheckForwarding:
    """Forwards a voter's check, at a relay.

    A watcher of the relay's zone is asked, after a timeout another one, and its answer is returned to the voter.
    """

    def __init__(self, zone: str, limits: Limits, rng: random.Random) -> None:
        self._zone, self._rng = zone, rng
        self._timeout = limits.check_timeout // (2 * MAX_FORWARD_ATTEMPTS)
        self._pending: dict[int, _ForwardedCheck] = {}  # key: the relay's number of the check
        self._last_check_id = 0

    def due(self) -> int:
        """Return when `tick` is next needed, in microseconds."""
        return min((forwarded.deadline for forwarded in self._pending.values()), default=NEVER)

    def forward(self, now: int, voter: Name, check: Check, sessions: Iterable[Session]) -> list[Effect]:
        """Forward a voter's check to a watcher."""
        if len(self._pending) >= MAX_PENDING_CHECKS:
            return [IncrementCounter("distribution_checks_dropped", voter)]
        if any(one.voter == voter and one.check_id == check.check_id for one in self._pending.values()):
            return []  # a duplicate of a forwarded check
        self._last_check_id += 1
        self._pending[self._last_check_id] = _ForwardedCheck(voter, check.check_id, check.entries, [], now)
        return self._poll(now, self._last_check_id, sessions)

    def answered(self, sender: Name, checked: Checked) -> list[Effect]:
        """Return a watcher's answer to the voter."""
        forwarded = self._pending.get(checked.check_id)
        if forwarded is None or sender not in forwarded.polled:
            return [IncrementCounter("distribution_unexpected", sender)]
        del self._pending[checked.check_id]
        return [Send(forwarded.voter, Checked(forwarded.check_id, self._zone, checked.faults))]

    def tick(self, now: int, sessions: Iterable[Session]) -> list[Effect]:
        """Ask another watcher, or give up, for each check whose watcher did not answer in time."""
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
    """One check of an editor.

    `pending_relays` has the relays of each zone without an answer, in the order in which to ask them.
    """

    check_id: int  # the editor's number of the check
    entries: tuple[Entry, ...]
    pending_relays: dict[str, list[Name]]
    unanswered: list[str]
    faults: dict[str, KeyFault]
    retry_at: int
    deadline: int


class CheckRounds:
    """At a source: asks one relay of each zone, after half the timeout the next one, and collects the answers."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._rounds: dict[int, _CheckRound] = {}  # key: the source's number of the check
        self._last_check_id = 0

    def due(self) -> int:
        """Return when `tick` is next needed, in microseconds."""
        return min((min(one.retry_at, one.deadline) for one in self._rounds.values()), default=NEVER)

    def begin(self, now: int, requested: CheckRequested, relays: RelaysByZone) -> list[Effect]:
        """Start a check. `relays` are those of each zone; a zone without relays counts as unanswered."""
        self._last_check_id += 1
        pending_relays = {zone: list(names) for zone, names in relays.items() if names}
        unanswered = [zone for zone, names in relays.items() if not names]
        half, whole = now + self._limits.check_timeout // 2, now + self._limits.check_timeout
        self._rounds[self._last_check_id] = _CheckRound(
            requested.check_id, requested.entries, pending_relays, unanswered, {}, half, whole
        )
        return [*self._poll(self._last_check_id), *self._done(self._last_check_id)]

    def answered(self, sender: Name, checked: Checked) -> list[Effect]:
        """Record the answer that a relay returns for its zone."""
        current = self._rounds.get(checked.check_id)
        if current is None or checked.zone not in current.pending_relays:
            return [IncrementCounter("distribution_late_checks", sender)]
        del current.pending_relays[checked.zone]
        current.faults.update((fault.key, fault) for fault in checked.faults)
        return self._done(checked.check_id)

    def tick(self, now: int) -> list[Effect]:
        """Ask the second relays and end the checks whose time is over."""
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
            names.append(names.pop(0))  # asked next if this one does not answer
        return effects

    def _done(self, check_id: int) -> list[Effect]:
        current = self._rounds[check_id]
        if current.pending_relays:
            return []
        del self._rounds[check_id]
        faults = tuple(current.faults.values())[:MAX_FAULT_KEYS]
        return [CheckDone(current.check_id, faults, tuple(sorted(current.unanswered)))]
