"""A relay: watches a voter and serves the coordinators of its zone from memory."""

import random
from collections.abc import Sequence

from rackhub.fleet.distribution.checks import CheckForwarding
from rackhub.fleet.distribution.delivery import Incoming
from rackhub.fleet.distribution.events import (
    Effect,
    Event,
    IncrementCounter,
    MembersChanged,
    Received,
    Send,
    StoredState,
    Tick,
)
from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import (
    Acknowledge,
    AnyMessage,
    Check,
    Checked,
    KeyFault,
    LogId,
    Name,
    Report,
    Revision,
    Unwatch,
    Watch,
)
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.relay_report import build_report
from rackhub.fleet.distribution.server import WatchServer
from rackhub.fleet.distribution.state import KeyValueState
from rackhub.fleet.distribution.watcher import Watcher

MAX_REPORTS_PER_SECOND = 4  # upper limit while progress is reported continuously
TICK = Tick()


class MemoryDelivery:
    """Delivers received changes to the state that the relay serves, where they are active at once."""

    faults: tuple[KeyFault, ...] = ()

    def __init__(self, state: KeyValueState) -> None:
        self._state = state

    @property
    def log(self) -> LogId:
        """Return the log of the served state; empty if there is none yet."""
        return self._state.log

    @property
    def revision(self) -> Revision:
        """Return the revision of the served state."""
        return self._state.revision

    @property
    def newest(self) -> Revision:
        """Return the revision of the served state; nothing is ever pending."""
        return self._state.revision

    def take(self, incoming: Incoming) -> list[Effect]:
        """Apply the entries to the served state."""
        if incoming.snapshot:
            self._state.restore(incoming.log, incoming.revision, incoming.entries)
        else:
            self._state.apply(incoming.log, self._state.revision, incoming.revision, incoming.entries)
        return []


class Relay:
    """Watches one voter for all keys, serves the coordinators of its zone and reports their progress to all voters."""

    def __init__(self, identity: Identity, limits: Limits, now: int) -> None:
        self._identity, self._limits = identity, limits
        self._voters = frozenset(node.name for node in identity.upstreams)
        self._state = KeyValueState(limits)
        stored = StoredState(scope=identity.scope)
        self._watcher = Watcher(identity, stored, limits, now, MemoryDelivery(self._state))
        rng = random.Random(f"{identity.seed} relay {identity.name}")
        self._server = WatchServer(self._state, limits, identity.zone, rng, now, self._age)
        self._checks = CheckForwarding(identity.zone, limits, rng)
        self._live_coordinators = 0
        self._report_at = now + limits.report_interval
        self._reported_at = now
        self._reported_progress = 0

    @property
    def revision(self) -> Revision:
        """The revision that the relay has and serves."""
        return self._state.revision

    @property
    def watchers(self) -> int:
        """The number of watchers with a session."""
        return len(self._server.sessions)

    @property
    def upstream(self) -> Name | None:
        """The voter that is being watched; None while there is none."""
        return self._watcher.upstream

    def due(self) -> int:
        """Return when a `Tick` is next needed, in microseconds."""
        return min(self._watcher.due(), self._server.due(), self._checks.due(), self._report_at)

    def step(self, now: int, event: Event) -> Sequence[Effect]:
        """Handle an event and do what is due at `now`."""
        effects: list[Effect] = []
        before = (self._state.log, self._state.revision)
        if now >= self._watcher.due():
            effects += self._watcher.step(now, TICK)
        if isinstance(event, Received):
            effects += self._received(now, event.sender, event.message)
        elif isinstance(event, MembersChanged):
            self._live_coordinators = event.live
        if (self._state.log, self._state.revision) != before:
            effects += self._server.publish(now)
        effects += self._tick(now)
        return effects

    def _received(self, now: int, sender: Name, message: AnyMessage) -> Sequence[Effect]:
        if isinstance(message, Watch | Acknowledge | Unwatch):
            return self._server.receive(now, sender, message)
        if isinstance(message, Check):
            if sender not in self._voters:
                return [IncrementCounter("distribution_unexpected", sender)]
            return self._checks.forward(now, sender, message, self._server.sessions.values())
        if isinstance(message, Checked):
            return self._checks.answered(sender, message)
        if isinstance(message, Report):
            return [IncrementCounter("distribution_unexpected", sender)]
        return self._watcher.step(now, Received(sender, message))

    def _tick(self, now: int) -> list[Effect]:
        effects: list[Effect] = []
        if now >= self._server.due():
            effects += self._server.tick(now)
        if now >= self._checks.due():
            effects += self._checks.tick(now, self._server.sessions.values())
        if self._server.progress != self._reported_progress:
            earliest = self._reported_at + self._limits.report_interval // MAX_REPORTS_PER_SECOND
            self._report_at = min(self._report_at, max(earliest, now))
        if now >= self._report_at:
            effects += self._report(now)
        return effects

    def _report(self, now: int) -> list[Effect]:
        self._reported_at = now
        self._report_at = now + self._limits.report_interval
        self._reported_progress = self._server.progress
        state = self._state
        sessions = self._server.sessions.values()
        report = build_report(
            sessions, self._identity.zone, state.log, state.revision, self._live_coordinators, now, self._limits
        )
        return [Send(node.name, report) for node in self._identity.upstreams]

    def _age(self, now: int) -> int:
        """Return for how long the state has not been confirmed as the newest, in microseconds.

        The age also grows while the process is stalled.
        """
        return max(0, now - self._watcher.confirmed_at)
