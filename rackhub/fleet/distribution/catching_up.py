"""A voter that lacks changes which the register no longer has gets them from another voter, as a watcher of it."""

from collections.abc import Callable

import msgspec

from rackhub.fleet.distribution.core_runner import CoreRunner, Inbox
from rackhub.fleet.distribution.events import Applied, Apply, Effect, Persist, Persisted, StoredState
from rackhub.fleet.distribution.history import History
from rackhub.fleet.distribution.learning import Learner
from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import Heartbeat, Revision, SnapshotPart, Unavailable, Update
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.store import StateStore
from rackhub.fleet.distribution.watcher import Watcher
from rackhub.fleet.ports import Fleet

FROM_VOTER = (Update, SnapshotPart, Heartbeat, Unavailable)


class CatchUp:
    """`identity`: the voter's, with the other voters as upstreams. `taken` gets what came, once it is on the disk,
    and the revision that was held before; what the voter learns otherwise must wait while `running`."""

    def __init__(
        self,
        fleet: Fleet,
        identity: Identity,
        inbox: Inbox,
        store: StateStore,
        history: History,
        learner: Learner,
        limits: Limits,
        taken: Callable[[Apply, Revision], None],
    ):
        self._fleet = fleet
        self._identity = identity
        self._inbox = inbox
        self._store = store
        self._history = history
        self._learner = learner
        self._limits = limits
        self._taken = taken
        self._runner: CoreRunner | None = None
        self._wanted: Revision = 0
        self._generation = identity.generation
        inbox.route(FROM_VOTER, self._too_late)

    @property
    def running(self) -> bool:
        """Whether changes are being fetched from another voter."""
        return self._runner is not None

    def begin(self, wanted: Revision) -> None:
        """Go on until at least that revision is held."""
        self._wanted = max(self._wanted, wanted)
        if self._runner is not None:
            return
        self._fleet.add_count("distribution_catch_ups", 1)
        self._generation += 1
        learner = self._learner
        held = StoredState(learner.log, learner.revision, self._identity.scope, dict(learner.entries))
        identity = msgspec.structs.replace(self._identity, generation=self._generation)
        watcher = Watcher(identity, held, self._limits, self._fleet.clock.now())
        self._runner = CoreRunner(self._fleet, self._inbox, watcher, self._perform)
        self._inbox.route(FROM_VOTER, self._runner.on_message)
        self._runner.start()

    def stop(self) -> None:
        """End the catch-up; what was stored of it stays."""
        if self._runner is not None:
            self._runner.stop()
        self._runner = None
        self._inbox.route(FROM_VOTER, self._too_late)

    def _too_late(self, sender: str, message: object) -> None:
        """The other voter has not noticed yet that nobody watches any more."""
        self._fleet.add_count("distribution_late_catch_up", 1)

    def _perform(self, effect: Effect) -> None:
        match effect:
            case Persist():
                also = self._history.begin_anew(effect.revision)
                self._store.persist(effect, lambda: self._dispatch(Persisted(effect.revision)), also=also)
            case Apply():
                previous = self._learner.revision
                self._learner.take_snapshot(effect)
                self._taken(effect, previous)
                self._dispatch(Applied(effect.revision))
                if effect.revision >= self._wanted:
                    self.stop()

    def _dispatch(self, event: Persisted | Applied) -> None:
        if self._runner is not None:
            self._runner.dispatch(event)
