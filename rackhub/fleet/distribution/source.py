"""A voter's side: serves the decided changes to relays, gathers their reports, and asks zones before an edit."""

import random
from collections.abc import Sequence

from rackhub.fleet.distribution.checks import CheckRounds
from rackhub.fleet.distribution.events import (
    CaughtUp,
    CheckAsked,
    Confirmed,
    Decided,
    Effect,
    Event,
    IncrementCounter,
    Received,
    StoredState,
)
from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import (
    Acknowledge,
    AnyMessage,
    Change,
    Checked,
    LogId,
    Name,
    Report,
    Revision,
    Unwatch,
    Watch,
)
from rackhub.fleet.distribution.ports import FleetStatus, Identity
from rackhub.fleet.distribution.reports import Reports
from rackhub.fleet.distribution.server import WatchServer
from rackhub.fleet.distribution.state import ForeignLog, KeyValueState, RevisionGap


class Source:
    """Serves what the register has decided. It has no upstream; its shell persists a change before it hands it in."""

    def __init__(self, identity: Identity, held: StoredState, limits: Limits, now: int) -> None:
        self._limits = limits
        self._state = KeyValueState(limits)
        self._state.restore(held.log, held.revision, held.entries.values())
        chance = random.Random(f"{identity.seed} source {identity.name}")
        self._server = WatchServer(self._state, limits, "", chance, now, self._age)
        self._checks = CheckRounds(limits)
        self._reports = Reports(limits)
        self._started_at = now
        self._confirmed_at: int | None = None
        self._decided_at: dict[Revision, int] = {}  # of recent revisions, oldest first

    @property
    def revision(self) -> Revision:
        return self._state.revision

    @property
    def log(self) -> LogId:
        return self._state.log

    @property
    def watchers(self) -> int:
        return len(self._server.sessions)

    def status(self, now: int, revision: Revision | None = None) -> FleetStatus:
        """What the relays report of a revision, the newest where none is given."""
        asked = self._state.revision if revision is None else revision
        decided_at = self._decided_at.get(asked, self._started_at)
        return self._reports.status(now, self._state.log, asked, decided_at)

    def due(self) -> int:
        return min(self._server.due(), self._checks.due())

    def step(self, now: int, event: Event) -> Sequence[Effect]:
        """Take an event, and do what is due by now."""
        effects: list[Effect] = []
        if isinstance(event, Received):
            effects += self._received(now, event.sender, event.message)
        elif isinstance(event, Decided):
            effects += self._decided(now, event.log, event.changes)
        elif isinstance(event, CaughtUp):
            effects += self._caught_up(now, event)
        elif isinstance(event, Confirmed):
            self._confirmed_at = max(now - event.age, self._confirmed_at or 0)
        elif isinstance(event, CheckAsked):
            effects += self._checks.begin(now, event, self._reports.relays(now))
        if now >= self._server.due():
            effects += self._server.tick(now)
        if now >= self._checks.due():
            effects += self._checks.tick(now)
        return effects

    def _received(self, now: int, sender: Name, message: AnyMessage) -> Sequence[Effect]:
        if isinstance(message, Watch | Acknowledge | Unwatch):
            return self._server.receive(now, sender, message)
        if isinstance(message, Checked):
            return self._checks.answered(sender, message)
        if isinstance(message, Report) and self._reports.keep(now, sender, message):
            return []
        return [IncrementCounter("distribution_unexpected", sender)]

    def _decided(self, now: int, log: LogId, changes: tuple[Change, ...]) -> list[Effect]:
        """Changes that are held are passed over; those after a gap wait until the shell has caught up."""
        if self._state.log and log != self._state.log:
            return [IncrementCounter("distribution_other_logs")]
        self._state.log = log
        effects: list[Effect] = []
        for change in changes:
            try:
                if self._state.apply_change(log, change):
                    self._note_decided(now, change.revision)
            except RevisionGap:
                effects.append(IncrementCounter("distribution_gaps"))
                break
        return [*self._server.publish(now), *effects]

    def _caught_up(self, now: int, event: CaughtUp) -> list[Effect]:
        if event.snapshot:
            if self._state.log not in ("", event.log):
                return [IncrementCounter("distribution_other_logs")]
            if event.revision < self._state.revision or event.log == "":
                return []
            self._state.restore(event.log, event.revision, event.entries)
        else:
            try:
                self._state.apply(event.log, event.previous, event.revision, event.entries)
            except (RevisionGap, ForeignLog):
                return [IncrementCounter("distribution_gaps")]
        self._note_decided(now, event.revision)
        return self._server.publish(now)

    def _note_decided(self, now: int, revision: Revision) -> None:
        self._decided_at[revision] = now
        if len(self._decided_at) > self._limits.max_log_steps:
            del self._decided_at[next(iter(self._decided_at))]

    def _age(self, now: int) -> int:
        """Since a majority of the voters was known to have nothing newer; 0 where the shell does not tell."""
        return 0 if self._confirmed_at is None else max(0, now - self._confirmed_at)
