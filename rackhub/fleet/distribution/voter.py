"""A voter: decides changes by a register of its own, keeps them on its disk, and serves them to relays and voters."""

import logging

import msgspec

from rackhub.fleet.distribution.applying import RuleKeys
from rackhub.fleet.distribution.catching_up import CatchUp
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
from rackhub.fleet.distribution.learning import Learner
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
from rackhub.fleet.distribution.source import Source
from rackhub.fleet.distribution.store import DAMAGED, StateStore
from rackhub.fleet.distribution.voting import REGISTER
from rackhub.fleet.ports import Fleet, KeyedDisk, Name, RuleSection
from rackhub.fleet.register.acceptor_shell import AcceptorShell
from rackhub.fleet.register.proposer import Proposer

log = logging.getLogger(__name__)

FROM_WATCHERS = (Watch, Unwatch, Acknowledge, Checked)
EVERYTHING = ("",)


class Voter:
    """`voters`: the names of all, this one too. `part` is called before `start`. Raises `ValueError` where the disk is
    that of another voter or set of voters."""

    def __init__(self, fleet: Fleet, identity: Identity, voters: tuple[Name, ...], disk: KeyedDisk, limits: Limits):
        self._fleet = fleet
        self._store = StateStore(disk, EVERYTHING, fleet.add_count)
        held = self._store.held
        self._move_misplaced_history()
        self._source = Source(identity, held, limits, fleet.clock.now())
        self.inbox = Inbox(fleet)
        self._runner = CoreRunner(fleet, self.inbox, self._source, self._perform)
        self.inbox.route(FROM_WATCHERS, self._runner.on_message)
        self.inbox.route((Report,), self._reported)
        self.history = History(disk, held.revision)
        self.learner = Learner(
            self._store, self.history, self._runner.dispatch, self._learned, self._catch_up, fleet.add_count
        )
        self._rule_keys = RuleKeys(self.learner.values(), self._store.fallback)
        self._catching_up = self._new_catch_up(identity, voters, limits)
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
        self._ended = False
        self._refused: dict[Name, tuple[KeyFault, ...]] = {}  # by the relay that last reported them

    def _new_catch_up(self, identity: Identity, voters: tuple[Name, ...], limits: Limits) -> CatchUp:
        others = tuple(Node(name, Role.VOTER) for name in voters if name != identity.name)
        return CatchUp(
            self._fleet,
            _as_watcher(identity, others),
            self.inbox,
            self._store,
            self.history,
            self.learner,
            limits,
            self._caught_up,
        )

    @property
    def version(self) -> Revision:
        """The newest revision on the disk here."""
        return self.learner.synced

    @property
    def damage(self) -> str:
        """What of the disk could not be read, and is fetched anew from the other voters."""
        return "; ".join(filter(None, (self._store.damage, self.history.damage, self.acceptor.damage)))

    def add_section(self, name: str, part: RuleSection) -> None:
        """Register the component that takes the rules of this name; before `start`."""
        self._rule_keys.parts[name] = part

    def start(self) -> None:
        """Put in force what the disk has, then vote, learn and serve."""
        self._rule_keys.start(self.version)
        self.inbox.start()
        self._runner.start()
        self._runner.dispatch(Confirmed(self._fleet.clock.now()))  # not yet: as old as the clock can tell
        self._proposer.start()
        self.acceptor.start()
        self.replication.start()

    def stop(self) -> None:
        """Vote, learn and serve no longer; further edits are rejected."""
        self._ended = True
        self.replication.stop()
        self._catching_up.stop()
        self._proposer.stop()
        self.acceptor.stop()
        self._runner.stop()

    @property
    def proposer(self) -> Proposer:
        """Of the register that decides changes."""
        return self._proposer

    def edit(self, request: EditRequest, done: Done) -> None:
        """`done` once. Raises `EditRejected`, `RuleKeyError` and `RevisionNotRetained` where it can't be done."""
        if self._ended:
            raise EditRejected("this process ends: ask another voter")
        self._editor.edit(request, done)

    def status(self, revision: Revision | None = None) -> FleetStatus:
        """How far the fleet has that revision in force; None: the newest."""
        return self._source.status(self._fleet.clock.now(), revision)

    def refused_keys(self) -> list[KeyFault]:
        """Keys that some coordinators can't take, as the relays name them; not all where there are many."""
        return sorted({fault for faults in self._refused.values() for fault in faults}, key=lambda fault: fault.key)

    def metrics(self) -> dict[str, float]:
        """The metrics, by name."""
        status = self.status()
        return {
            "distribution_revision": float(self.version),
            "distribution_keys": float(len(self.learner.entries)),
            "distribution_in_force": float(status.in_force),
            "distribution_expected": float(status.expected),
            "distribution_lagging": float(status.lagging),
            "distribution_oldest_ms": float(status.oldest),
            "distribution_refusing": float(status.fault_count),
            "distribution_watchers": float(self._source.watchers),
            "distribution_votes": float(self.acceptor.state.voting),
            "distribution_replicated": float(self.replication.replicated_revision()),
            "distribution_catching_up": float(self._catching_up.running),
        }

    # ---- what earlier versions stored

    def _move_misplaced_history(self) -> None:
        """Earlier versions stored the history in the fallback record: take the newest change's record back."""
        misplaced, held = self._store.misplaced_history, self._store.held
        if not misplaced:
            return
        try:
            recovered = recover_misplaced(misplaced, held)
        except msgspec.MsgspecError as bad:
            log.error("fleet: the history of revision %d can't be read, and is dropped: %s", held.revision, bad)
            self._fleet.add_count(DAMAGED, 1)
            recovered = {}
        log.warning("fleet: %d misplaced history records are removed, %d recovered", len(misplaced), len(recovered))
        self._store.persist(Persist(held.log, held.revision, (), False), lambda: None, also=recovered)

    # ---- what is decided

    def _learned(self, decided: Decided) -> None:
        """The change is on the disk."""
        for change in decided.changes:
            self._rule_keys.apply(change.entries, False, change.revision)
        self._runner.dispatch(decided)
        self.replication.say_synced()

    def _catch_up(self, wanted: Revision) -> None:
        self._catching_up.begin(wanted)

    def _caught_up(self, taken: Apply, previous: Revision) -> None:
        self._rule_keys.apply(taken.entries, taken.snapshot, taken.revision)
        self._runner.dispatch(CaughtUp(taken.log, previous, taken.revision, taken.entries, taken.snapshot))
        self.replication.say_synced()

    # ---- the source

    def _perform(self, effect: Effect) -> None:
        if isinstance(effect, CheckDone):
            self._editor.checked(effect)

    def _reported(self, sender: Name, message: AnyMessage) -> None:
        if isinstance(message, Report):
            self._refused[sender] = message.faults
            if not message.faults:
                del self._refused[sender]
        self._runner.on_message(sender, message)


def _as_watcher(identity: Identity, upstreams: tuple[Node, ...]) -> Identity:
    """Who a voter is where it watches the others."""
    return Identity(
        name=identity.name, zone=identity.zone, upstreams=upstreams, seed=identity.seed, generation=identity.generation
    )
