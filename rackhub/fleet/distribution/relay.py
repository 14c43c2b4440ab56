"""A relay: a watcher of the voters that serves what it holds to the coordinators of its zone, from memory."""

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
from rackhub.fleet.distribution.server import WatchServer
from rackhub.fleet.distribution.state import KeyValueState
from rackhub.fleet.distribution.summary import summarize
from rackhub.fleet.distribution.watcher import Watcher

REPORTS_A_SECOND = 4  # at most, where something changes all the time
TICK = Tick()


class MemoryDelivery:
    """What is received is in force at once: it is in the state that the relay serves."""

    faults: tuple[KeyFault, ...] = ()

    def __init__(self, state: KeyValueState) -> None:
        self._state = state

    @property
    def log(self) -> LogId:
        return self._state.log

    @property
    def revision(self) -> Revision:
        return self._state.revision

    @property
    def newest(self) -> Revision:
        return self._state.revision

    def take(self, incoming: Incoming) -> list[Effect]:
        if incoming.snapshot:
            self._state.restore(incoming.log, incoming.revision, incoming.entries)
        else:
            self._state.apply(incoming.log, self._state.revision, incoming.revision, incoming.entries)
        return []


class Relay:
    """Takes everything from one voter, serves its zone's coordinators, and reports what they have to all voters."""

    def __init__(self, identity: Identity, limits: Limits, now: int) -> None:
        self._identity, self._limits = identity, limits
        self._voters = frozenset(node.name for node in identity.upstreams)
        self._state = KeyValueState(limits)
        held = StoredState(scope=identity.scope)
        self._watcher = Watcher(identity, held, limits, now, MemoryDelivery(self._state))
        chance = random.Random(f"{identity.seed} relay {identity.name}")
        self._server = WatchServer(self._state, limits, identity.zone, chance, now, self._age)
        self._checks = CheckForwarding(identity.zone, limits, chance)
        self._members = 0
        self._report_at = now + limits.report_interval
        self._reported_at = now
        self._reported_progress = 0

    @property
    def revision(self) -> Revision:
        """Held."""
        return self._state.revision

    @property
    def watchers(self) -> int:
        return len(self._server.sessions)

    @property
    def upstream(self) -> Name | None:
        return self._watcher.upstream

    def due(self) -> int:
        return min(self._watcher.due(), self._server.due(), self._checks.due(), self._report_at)

    def step(self, now: int, event: Event) -> Sequence[Effect]:
        """Take an event, and do what is due by now."""
        effects: list[Effect] = []
        held = (self._state.log, self._state.revision)
        if now >= self._watcher.due():
            effects += self._watcher.step(now, TICK)
        if isinstance(event, Received):
            effects += self._received(now, event.sender, event.message)
        elif isinstance(event, MembersChanged):
            self._members = event.living
        if (self._state.log, self._state.revision) != held:
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
            soonest = self._reported_at + self._limits.report_interval // REPORTS_A_SECOND
            self._report_at = min(self._report_at, max(soonest, now))
        if now >= self._report_at:
            effects += self._report(now)
        return effects

    def _report(self, now: int) -> list[Effect]:
        self._reported_at = now
        self._report_at = now + self._limits.report_interval
        self._reported_progress = self._server.progress
        state = self._state
        sessions = self._server.sessions.values()
        report = summarize(sessions, self._identity.zone, state.log, state.revision, self._members, now, self._limits)
        return [Send(node.name, report) for node in self._identity.upstreams]

    def _age(self, now: int) -> int:
        """Since a voter was known to be at the revision that is held. It grows while the process stands still, too."""
        return max(0, now - self._watcher.confirmed_at)
