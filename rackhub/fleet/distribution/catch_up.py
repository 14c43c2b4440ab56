"""Catch-up of a voter: it watches another voter to get changes that the register no longer has."""

from collections.abc import Callable

import msgspec

from rackhub.fleet.distribution.core_runner import CoreRunner, Inbox
from rackhub.fleet.distribution.events import Applied, Apply, Effect, Persist, Persisted, StoredState
from rackhub.fleet.distribution.history import History
from rackhub.fleet.distribution.learner import Learner
from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import Heartbeat, Revision, SnapshotPart, Unavailable, Update
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.store import StateStore
from rackhub.fleet.distribution.watcher import Watcher
from rackhub.fleet.ports import Fleet

VOTER_MESSAGE_TYPES = (Update, SnapshotPart, Heartbeat, Unavailable)


class CatchUp:
    """Fetches missing changes from another voter through a temporary watch.

    `identity` is that of the voter, with the other voters as upstreams. `on_applied` gets what was received, once it is
    on the disk, and the revision before it. While `running`, the voter must not learn changes in another way.
    """

    def __init__(
        self,
        fleet: Fleet,
        identity: Identity,
        inbox: Inbox,
        store: StateStore,
        history: History,
        learner: Learner,
        limits: Limits,
        on_applied: Callable[[Apply, Revision], None],
    ):
        self._fleet = fleet
        self._identity = identity
        self._inbox = inbox
        self._store = store
        self._history = history
        self._learner = learner
        self._limits = limits
        self._on_applied = on_applied
        self._runner: CoreRunner | None = None
        self._target_revision: Revision = 0
        self._generation = identity.generation
        inbox.route(VOTER_MESSAGE_TYPES, self._on_late_message)

    @property
    def running(self) -> bool:
        """True while changes are being fetched from another voter."""
        return self._runner is not None

    def begin(self, target_revision: Revision) -> None:
        """Start a catch-up that ends once at least `target_revision` is stored, or extend the running one to it."""
        self._target_revision = max(self._target_revision, target_revision)
        if self._runner is not None:
            return
        self._fleet.add_count("distribution_catch_ups", 1)
        self._generation += 1
        learner = self._learner
        stored = StoredState(learner.log, learner.revision, self._identity.scope, dict(learner.entries))
        identity = msgspec.structs.replace(self._identity, generation=self._generation)
        watcher = Watcher(identity, stored, self._limits, self._fleet.clock.now())
        self._runner = CoreRunner(self._fleet, self._inbox, watcher, self._perform)
        self._inbox.route(VOTER_MESSAGE_TYPES, self._runner.on_message)
        self._runner.start()

    def stop(self) -> None:
        """End the catch-up. What it has stored so far is kept."""
        if self._runner is not None:
            self._runner.stop()
        self._runner = None
        self._inbox.route(VOTER_MESSAGE_TYPES, self._on_late_message)

    def _on_late_message(self, sender: str, message: object) -> None:
        """Count a message of a voter that does not know yet that the watch has ended."""
        self._fleet.add_count("distribution_late_catch_up", 1)

    def _perform(self, effect: Effect) -> None:
        match effect:
            case Persist():
                extra = self._history.reset(effect.revision)
                self._store.persist(effect, lambda: self._dispatch(Persisted(effect.revision)), extra=extra)
            case Apply():
                previous = self._learner.revision
                self._learner.adopt_snapshot(effect)
                self._on_applied(effect, previous)
                self._dispatch(Applied(effect.revision))
                if effect.revision >= self._target_revision:
                    self.stop()

    def _dispatch(self, event: Persisted | Applied) -> None:
        if self._runner is not None:
            self._runner.dispatch(event)
