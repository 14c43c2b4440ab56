"""A coordinator's side: the watcher on mail and disk, and the rule book's parts that its keys are put in force at."""

from collections.abc import Callable

from rackhub.fleet.distribution.applying import RuleKeys
from rackhub.fleet.distribution.core_runner import CoreRunner, Inbox
from rackhub.fleet.distribution.events import Applied, Apply, Effect, Persist, Persisted, RunCheck, StoredState
from rackhub.fleet.distribution.limits import FAULT_KEYS, Limits
from rackhub.fleet.distribution.messages import Check, Checked, Heartbeat, Revision, SnapshotPart, Unavailable, Update
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.state import in_scope
from rackhub.fleet.distribution.store import StateStore
from rackhub.fleet.distribution.watcher import Watcher
from rackhub.fleet.ports import Fleet, KeyedDisk, RuleSection

UPSTREAM_MESSAGE_TYPES = (Update, SnapshotPart, Heartbeat, Unavailable, Check)


class Coordinator:
    """`part` is called before `start` for each part of the rule book that runs here."""

    def __init__(self, fleet: Fleet, identity: Identity, disk: KeyedDisk, limits: Limits):
        self._fleet, self._identity = fleet, identity
        self._store = StateStore(disk, identity.scope, fleet.add_count)
        self._watcher = Watcher(identity, self._store.held, limits, fleet.clock.now())
        entries = in_scope(self._store.held.entries.values(), identity.scope)
        wanted = {entry.key: entry.value for entry in entries if entry.value is not None}
        self._rule_keys = RuleKeys(wanted, self._store.fallback)
        self._unapplied: dict[str, Revision] = {}  # keys that are persisted, by the newest revision of each
        self.inbox = Inbox(fleet)
        self._runner = CoreRunner(fleet, self.inbox, self._watcher, self._perform)
        self.inbox.route(UPSTREAM_MESSAGE_TYPES, self._runner.on_message)

    @property
    def version(self) -> int:
        """The revision in force."""
        return self._watcher.revision

    @property
    def held(self) -> StoredState:
        """The entries on the disk, with their revision."""
        return self._watcher.held

    @property
    def upstream(self) -> str:
        """The relay that is watched; empty while there is none."""
        return self._watcher.upstream or ""

    @property
    def faults(self) -> dict[str, str]:
        """Keys whose newest value can't be taken here, with the reason."""
        return self._rule_keys.faults

    @property
    def damage(self) -> str:
        """What of the disk could not be read; empty where all could."""
        return self._store.damage

    def add_section(self, name: str, part: RuleSection) -> None:
        """Register the component that takes the rules of this name; before `start`."""
        self._rule_keys.parts[name] = part

    def start(self) -> None:
        """What was held is in force before the first word from a relay."""
        self._rule_keys.start(self._store.held.revision)
        self.inbox.start()
        self._runner.start()

    def stop(self) -> None:
        """Watch no longer; the rules in force stay."""
        self._runner.stop()

    def metrics(self) -> dict[str, float]:
        """The metrics, by name."""
        return {
            "distribution_revision": float(self.version),
            "distribution_held": float(self.held.revision),
            "distribution_keys": float(len(self.held.entries)),
            "distribution_refused_keys": float(len(self.faults)),
            "distribution_upstream": float(bool(self.upstream)),
        }

    # ---- effects of the watcher

    def _perform(self, effect: Effect) -> None:
        match effect:
            case Persist():
                self._store.persist(effect, self._synced(effect.revision), fallback=self._fallback(effect))
            case Apply():
                self._apply(effect)
            case RunCheck():
                self._check(effect)

    def _synced(self, revision: int) -> Callable[[], None]:
        return lambda: self._runner.dispatch(Persisted(revision))

    def _fallback(self, change: Persist) -> dict[str, bytes | None]:
        """What is in force of all keys that the next process may find a value of that can't be taken."""
        in_force = self._rule_keys.applied
        values = {entry.key: entry.value for entry in change.entries}
        if change.snapshot:
            values |= {key: None for key in in_force if key not in values}
        touched = [key for key, value in values.items() if in_force.get(key) != value]
        self._unapplied |= dict.fromkeys(touched, change.revision)
        return {key: in_force.get(key) for key in self._unapplied.keys() | self.faults.keys()}

    def _apply(self, effect: Apply) -> None:
        faults = self._rule_keys.apply(effect.entries, effect.snapshot, effect.revision)
        self._unapplied = {key: newest for key, newest in self._unapplied.items() if newest > effect.revision}
        if faults:
            self._fleet.add_count("distribution_not_taken", 1)
        self._runner.dispatch(Applied(effect.revision, faults[:FAULT_KEYS]))

    def _check(self, wanted: RunCheck) -> None:
        faults = self._rule_keys.check(in_scope(wanted.entries, self._identity.scope))[:FAULT_KEYS]
        self.inbox.send(wanted.to, Checked(wanted.mark, self._identity.zone, faults))
