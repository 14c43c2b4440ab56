"""A voter: decides changes through a register, stores them on its disk and serves them to relays and other voters."""

import logging

import msgspec

from rackhub.fleet.distribution.catch_up import CatchUp
from rackhub.fleet.distribution.core_runner import CoreRunner, Inbox
from rackhub.fleet.distribution.decisions import EditRejected
from rackhub.fleet.distribution.editing import EditRequest
from rackhub.fleet.distribution.editor import Done, Editor
from rackhub.fleet.distribution.events import (
    Apply,
    CaughtUp,
    CheckDone,
    Confirmed,
    Decided,
    Effect,
    Node,
    Persist,
    Role,
)
from rackhub.fleet.distribution.history import History, recover_misplaced
from rackhub.fleet.distribution.learner import Learner
from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import (
    Acknowledge,
    AnyMessage,
    Checked,
    KeyFault,
    Report,
    Revision,
    Unwatch,
    Watch,
)
from rackhub.fleet.distribution.ports import FleetStatus, Identity
from rackhub.fleet.distribution.replication import Replication
from rackhub.fleet.distribution.rule_keys import RuleKeys
from rackhub.fleet.distribution.source import Source
from rackhub.fleet.distribution.store import DAMAGED, StateStore
from rackhub.fleet.distribution.voting import REGISTER
from rackhub.fleet.ports import Fleet, KeyedDisk, Name, RuleSection
from rackhub.fleet.register.acceptor_shell import AcceptorShell
from rackhub.fleet.register.proposer import Proposer

log = logging.getLogger(__name__)

WATCHER_MESSAGE_TYPES = (Watch, Unwatch, Acknowledge, Checked)
ALL_KEYS = ("",)


class Voter:
    """The voter's components and their connections.

    `voters` are the names of all voters, including this one. Call `add_section` before `start`. Raises `ValueError` if
    the disk belongs to another voter or another set of voters.
    """

    def __init__(self, fleet: Fleet, identity: Identity, voters: tuple[Name, ...], disk: KeyedDisk, limits: Limits):
        self._fleet = fleet
        self._store = StateStore(disk, ALL_KEYS, fleet.add_count)
        stored = self._store.stored
        self._move_misplaced_history()
        self._source = Source(identity, stored, limits, fleet.clock.now())
        self.inbox = Inbox(fleet)
        self._runner = CoreRunner(fleet, self.inbox, self._source, self._perform)
        self.inbox.route(WATCHER_MESSAGE_TYPES, self._runner.on_message)
        self.inbox.route((Report,), self._on_report)
        self.history = History(disk, stored.revision)
        self.learner = Learner(
            self._store, self.history, self._runner.dispatch, self._on_decided, self._begin_catch_up, fleet.add_count
        )
        self._rule_keys = RuleKeys(self.learner.values(), self._store.fallback)
        self._catching_up = self._create_catch_up(identity, voters, limits)
        self.acceptor = AcceptorShell(fleet, voters, disk, identity.generation, REGISTER)
        self._proposer = Proposer(fleet, voters, identity.generation, self.acceptor, REGISTER)
        self.replication = Replication(
            fleet,
            voters,
            self.acceptor,
            self._proposer,
            self.learner,
            lambda: self._catching_up.running,
            lambda age: self._runner.dispatch(Confirmed(age)),
        )
        self._editor = Editor(
            self.learner, self.history, self._rule_keys, self.replication, self._proposer, self._runner.dispatch
        )
        self._stopped = False
        self._rejected_keys: dict[Name, tuple[KeyFault, ...]] = {}  # key: relay that reports them

    def _create_catch_up(self, identity: Identity, voters: tuple[Name, ...], limits: Limits) -> CatchUp:
        others = tuple(Node(name, Role.VOTER) for name in voters if name != identity.name)
        return CatchUp(
            self._fleet,
            _watcher_identity(identity, others),
            self.inbox,
            self._store,
            self.history,
            self.learner,
            limits,
            self._on_caught_up,
        )

    @property
    def version(self) -> Revision:
        """The newest revision that is synced to the local disk."""
        return self.learner.synced

    @property
    def damage(self) -> str:
        """What could not be read from the disk and is fetched again from other voters; empty if all was readable."""
        return "; ".join(filter(None, (self._store.damage, self.history.damage, self.acceptor.damage)))

    def add_section(self, name: str, section: RuleSection) -> None:
        """Register the component that applies this section of the rule set. Call it before `start`."""
        self._rule_keys.sections[name] = section

    def start(self) -> None:
        """Apply what is stored on the disk, then start to vote, learn and serve."""
        self._rule_keys.start(self.version)
        self.inbox.start()
        self._runner.start()
        # Nothing is confirmed yet: start with the largest possible age.
        self._runner.dispatch(Confirmed(self._fleet.clock.now()))
        self._proposer.start()
        self.acceptor.start()
        self.replication.start()

    def stop(self) -> None:
        """Stop voting, learning and serving. Later edits are rejected."""
        self._stopped = True
        self.replication.stop()
        self._catching_up.stop()
        self._proposer.stop()
        self.acceptor.stop()
        self._runner.stop()

    @property
    def proposer(self) -> Proposer:
        """The proposer of the register that decides changes."""
        return self._proposer

    def edit(self, request: EditRequest, done: Done) -> None:
        """Start an edit; `done` is called exactly once with its result.

        Raises `EditRejected`, `RuleKeyError` or `RevisionNotRetained` if the edit can't succeed; `done` is not called
        then.
        """
        if self._stopped:
            raise EditRejected("this process is shutting down; use another voter")
        self._editor.edit(request, done)

    def status(self, revision: Revision | None = None) -> FleetStatus:
        """Return how many coordinators have applied a revision; None means the newest."""
        return self._source.status(self._fleet.clock.now(), revision)

    def rejected_keys(self) -> list[KeyFault]:
        """Return the keys that coordinators rejected, as the relays report them.

        A relay names only some if there are many.
        """
        return sorted(
            {fault for faults in self._rejected_keys.values() for fault in faults}, key=lambda fault: fault.key
        )

    def metrics(self) -> dict[str, float]:
        """Return the metrics by name."""
        status = self.status()
        return {
            "distribution_revision": float(self.version),
            "distribution_keys": float(len(self.learner.entries)),
            "distribution_in_force": float(status.in_force),
            "distribution_expected": float(status.expected),
            "distribution_lagging": float(status.lagging),
            "distribution_oldest_ms": float(status.oldest_lag_ms),
            "distribution_refusing": float(status.fault_count),
            "distribution_watchers": float(self._source.watchers),
            "distribution_votes": float(self.acceptor.state.voting),
            "distribution_replicated": float(self.replication.replicated_revision()),
            "distribution_catching_up": float(self._catching_up.running),
        }

    # ---- records of earlier versions

    def _move_misplaced_history(self) -> None:
        """Move history records out of the fallback record, where earlier versions stored them.

        Only the record of the newest change can be recovered.
        """
        misplaced, stored = self._store.misplaced_history, self._store.stored
        if not misplaced:
            return
        try:
            recovered = recover_misplaced(misplaced, stored)
        except msgspec.MsgspecError as bad:
            log.error(
                "fleet: the history record of revision %d can't be decoded and is dropped: %s", stored.revision, bad
            )
            self._fleet.add_count(DAMAGED, 1)
            recovered = {}
        log.warning("fleet: removed %d misplaced history records, recovered %d", len(misplaced), len(recovered))
        self._store.persist(Persist(stored.log, stored.revision, (), False), lambda: None, extra=recovered)

    # ---- decided changes

    def _on_decided(self, decided: Decided) -> None:
        """Apply changes that are now on the disk and serve them."""
        for change in decided.changes:
            self._rule_keys.apply(change.entries, False, change.revision)
        self._runner.dispatch(decided)
        self.replication.send_synced_revision()

    def _begin_catch_up(self, wanted: Revision) -> None:
        self._catching_up.begin(wanted)

    def _on_caught_up(self, applied: Apply, previous: Revision) -> None:
        self._rule_keys.apply(applied.entries, applied.snapshot, applied.revision)
        self._runner.dispatch(CaughtUp(applied.log, previous, applied.revision, applied.entries, applied.snapshot))
        self.replication.send_synced_revision()

    # ---- effects and messages of the source

    def _perform(self, effect: Effect) -> None:
        if isinstance(effect, CheckDone):
            self._editor.checked(effect)

    def _on_report(self, sender: Name, message: AnyMessage) -> None:
        if isinstance(message, Report):
            self._rejected_keys[sender] = message.faults
            if not message.faults:
                del self._rejected_keys[sender]
        self._runner.on_message(sender, message)


def _watcher_identity(identity: Identity, upstreams: tuple[Node, ...]) -> Identity:
    """Return the identity under which a voter watches the other voters."""
    return Identity(
        name=identity.name, zone=identity.zone, upstreams=upstreams, seed=identity.seed, generation=identity.generation
    )
