"""The serving side of a voter: serves changes to relays, collects their reports and runs checks before edits."""

import random
from collections.abc import Sequence

from rackhub.fleet.distribution.checks import CheckRounds
from rackhub.fleet.distribution.events import (
    CaughtUp,
    CheckRequested,
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
from rackhub.fleet.distribution.reports import ReportStore
from rackhub.fleet.distribution.server import WatchServer
from rackhub.fleet.distribution.state import ForeignLog, KeyValueState, RevisionGap


class Source:
    """Serves what the register has decided.

    A source has no upstream. Its shell persists a change before it passes the change to the source.
    """

    def __init__(self, identity: Identity, stored: StoredState, limits: Limits, now: int) -> None:
        self._limits = limits
        self._state = KeyValueState(limits)
        self._state.restore(stored.log, stored.revision, stored.entries.values())
        rng = random.Random(f"{identity.seed} source {identity.name}")
        self._server = WatchServer(self._state, limits, "", rng, now, self._age)
        self._checks = CheckRounds(limits)
        self._reports = ReportStore(limits)
        self._started_at = now
        self._confirmed_at: int | None = None
        self._decided_at: dict[Revision, int] = {}  # time of each recent revision, oldest first

    @property
    def revision(self) -> Revision:
        """The revision that is served."""
        return self._state.revision

    @property
    def log(self) -> LogId:
        """The log that is served; empty if there is none yet."""
        return self._state.log

    @property
    def watchers(self) -> int:
        """The number of watchers with a session."""
        return len(self._server.sessions)

    def status(self, now: int, revision: Revision | None = None) -> FleetStatus:
        """Return for how many microseconds the state has not been confirmed as the newest. 0 if the shell does not
        report this.
        """
        requested = self._state.revision if revision is None else revision
        decided_at = self._decided_at.get(requested, self._started_at)
        return self._reports.status(now, self._state.log, requested, decided_at)

    def due(self) -> int:
        """Return when a `Tick` is next needed, in microseconds."""
        return min(self._server.due(), self._checks.due())

    def step(self, now: int, event: Event) -> Sequence[Effect]:
        """Handle an event and do what is due at `now`."""
        effects: list[Effect] = []
        if isinstance(event, Received):
            effects += self._received(now, event.sender, event.message)
        elif isinstance(event, Decided):
            effects += self._on_decided(now, event.log, event.changes)
        elif isinstance(event, CaughtUp):
            effects += self._on_caught_up(now, event)
        elif isinstance(event, Confirmed):
            self._confirmed_at = max(now - event.age, self._confirmed_at or 0)
        elif isinstance(event, CheckRequested):
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
        if isinstance(message, Report) and self._reports.store(now, sender, message):
            return []
        return [IncrementCounter("distribution_unexpected", sender)]

    def _on_decided(self, now: int, log: LogId, changes: tuple[Change, ...]) -> list[Effect]:
        """Apply decided changes.

        Known ones are skipped; those after a gap are dropped until the shell has caught up.
        """
        if self._state.log and log != self._state.log:
            return [IncrementCounter("distribution_other_logs")]
        self._state.log = log
        effects: list[Effect] = []
        for change in changes:
            try:
                if self._state.apply_change(log, change):
                    self._record_decided(now, change.revision)
            except RevisionGap:
                effects.append(IncrementCounter("distribution_gaps"))
                break
        return [*self._server.publish(now), *effects]

    def _on_caught_up(self, now: int, event: CaughtUp) -> list[Effect]:
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
        self._record_decided(now, event.revision)
        return self._server.publish(now)

    def _record_decided(self, now: int, revision: Revision) -> None:
        self._decided_at[revision] = now
        if len(self._decided_at) > self._limits.max_log_steps:
            del self._decided_at[next(iter(self._decided_at))]

    def _age(self, now: int) -> int:
        """Return the microseconds since a majority was known to have nothing newer; 0 if the shell does not report
        this.
        """
        return 0 if self._confirmed_at is None else max(0, now - self._confirmed_at)
