"""The shell of a coordinator: a watcher on the link and a disk, and the rule sections that its keys are applied to."""

from collections.abc import Callable

from rackhub.fleet.distribution.core_runner import CoreRunner, Inbox
from rackhub.fleet.distribution.events import Applied, Apply, Effect, Persist, Persisted, RunCheck, StoredState
from rackhub.fleet.distribution.limits import MAX_FAULT_KEYS, Limits
from rackhub.fleet.distribution.messages import Check, Checked, Heartbeat, Revision, SnapshotPart, Unavailable, Update
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.rule_keys import RuleKeys
from rackhub.fleet.distribution.state import in_scope
from rackhub.fleet.distribution.store import StateStore
from rackhub.fleet.distribution.watcher import Watcher
from rackhub.fleet.ports import Fleet, KeyedDisk, RuleSection

UPSTREAM_MESSAGE_TYPES = (Update, SnapshotPart, Heartbeat, Unavailable, Check)


class Coordinator:
    """Call `add_section` before `start` for each section of the rule set that this process has."""

    def __init__(self, fleet: Fleet, identity: Identity, disk: KeyedDisk, limits: Limits):
        self._fleet, self._identity = fleet, identity
        self._store = StateStore(disk, identity.scope, fleet.add_count)
        self._watcher = Watcher(identity, self._store.stored, limits, fleet.clock.now())
        entries = in_scope(self._store.stored.entries.values(), identity.scope)
        wanted = {entry.key: entry.value for entry in entries if entry.value is not None}
        self._rule_keys = RuleKeys(wanted, self._store.fallback)
        self._unapplied: dict[str, Revision] = {}  # keys on disk and not applied yet, with their newest revision
        self.inbox = Inbox(fleet)
        self._runner = CoreRunner(fleet, self.inbox, self._watcher, self._perform)
        self.inbox.route(UPSTREAM_MESSAGE_TYPES, self._runner.on_message)

    @property
    def version(self) -> int:
        """The applied revision."""
        return self._watcher.revision

    @property
    def stored(self) -> StoredState:
        """The state on disk."""
        return self._watcher.stored

    @property
    def upstream(self) -> str:
        """The relay that is being watched; empty while there is none."""
        return self._watcher.upstream or ""

    @property
    def faults(self) -> dict[str, str]:
        """The rejected keys, with the reasons."""
        return self._rule_keys.faults

    @property
    def damage(self) -> str:
        """What could not be read from the disk; empty if all was readable."""
        return self._store.damage

    def add_section(self, name: str, section: RuleSection) -> None:
        """Register the component that applies this section of the rule set. Call it before `start`."""
        self._rule_keys.sections[name] = section

    def start(self) -> None:
        """Apply the stored rules before the first message of a relay, then start to watch."""
        self._rule_keys.start(self._store.stored.revision)
        self.inbox.start()
        self._runner.start()

    def stop(self) -> None:
        """Stop watching. The rules stay applied."""
        self._runner.stop()

    def metrics(self) -> dict[str, float]:
        """Return the metrics by name."""
        return {
            "distribution_revision": float(self.version),
            "distribution_held": float(self.stored.revision),
            "distribution_keys": float(len(self.stored.entries)),
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
        """Return the applied value of each key for which the next process may find a value on disk that it rejects."""
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
        self._runner.dispatch(Applied(effect.revision, faults[:MAX_FAULT_KEYS]))

    def _check(self, wanted: RunCheck) -> None:
        faults = self._rule_keys.check(in_scope(wanted.entries, self._identity.scope))[:MAX_FAULT_KEYS]
        self.inbox.send(wanted.to, Checked(wanted.check_id, self._identity.zone, faults))
