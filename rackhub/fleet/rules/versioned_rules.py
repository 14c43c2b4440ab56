"""The rules as a component of the fleet: `ports.Rules`, on top of the register, dissemination, checks and trials."""

import logging
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from rackhub.fleet.ports import Control, Disk, Fleet, Name, RuleSection
from rackhub.fleet.register.acceptor_shell import AcceptorShell
from rackhub.fleet.register.proposer import Proposer
from rackhub.fleet.rules.active_version import ActiveVersion, StoredRules, VersionTracker
from rackhub.fleet.rules.changes import ChangeCoordinator
from rackhub.fleet.rules.checks import FleetChecks
from rackhub.fleet.rules.dissemination import Dissemination
from rackhub.fleet.rules.messages import (
    MESSAGE_KIND,
    CheckRequest,
    CheckResult,
    GossipedStatus,
    RequestCounts,
    Version,
    VersionApplied,
    decode,
    encode,
)
from rackhub.fleet.rules.service import RulesService
from rackhub.fleet.rules.trials import TrialMonitor
from rackhub.fleet.settings import FleetSettings

log = logging.getLogger(__name__)
DISK_KEY = "rules/held"
TICK_INTERVAL = 500_000  # microseconds between two runs of the periodic work
REPUBLISH_TICKS = 10  # after which an unchanged status is republished
MAX_PUBLISHED_FAULT = 300  # characters
MAX_PUBLISHED_ACCEPTOR_STATUS = 120  # characters


class _TrialBaseline(NamedTuple):
    """The request counts when this gateway began to apply a version on trial."""

    version: int
    on_trial: bool
    counts: RequestCounts


class VersionedRules:
    """The rules of one gateway.

    `counts` returns requests, rejected and late since the start; trials compare differences of them. `part` is called
    before `start` for each section that this gateway applies. Without `disk` nothing is stored, and the gateway is no
    acceptor. Raises `ValueError` where the disk is another acceptor's.
    """

    def __init__(
        self,
        fleet: Fleet,
        settings: FleetSettings,
        control: Control | None,
        disk: Disk | None,
        counts: Callable[[], RequestCounts],
    ):
        self.fleet = fleet
        self.gateway = fleet.members.local_name
        self.acceptors = settings.keepers
        self._disk = disk
        self._counts = counts
        generation = fleet.members.all()[self.gateway].generation
        self.sections: dict[str, RuleSection] = {}
        self.damage = ""  # why the record on disk could not be read
        self.tracker = VersionTracker(self.gateway, self._load())
        self.acceptor: AcceptorShell | None = None
        if disk is not None and self.gateway in self.acceptors:
            self.acceptor = AcceptorShell(fleet, self.acceptors, disk, generation)
        self.proposer = Proposer(fleet, self.acceptors, generation, self.acceptor)
        self.dissemination = Dissemination(fleet, self.tracker, self._learn)
        self.checks = FleetChecks(fleet, self.fault)
        self.changes = ChangeCoordinator(fleet, self.tracker, self.proposer, self.dissemination, self._learn)
        self.trials = TrialMonitor(fleet, self.tracker, self.acceptors, self.changes.end_trial)
        self.service = RulesService(self, control)
        self.confirmed_versions: dict[Name, int] = {}
        self.apply_fault = ""  # why the newest version can't be applied here
        self._active = ActiveVersion(0, False, {})
        self._baseline = _TrialBaseline(0, False, counts())
        self._published = b""
        self._ticks = 0
        self._digest = (0, "")  # of which version, and the digest
        self._cancel_tick: Callable[[], None] = lambda: None
        self._stopped = False

    @property
    def version(self) -> int:
        """The version that applies; 0: the operator's files do."""
        return self._active.version

    @property
    def active(self) -> ActiveVersion:
        """What requests meet at this gateway."""
        return self._active

    def add_section(self, name: str, section: RuleSection) -> None:
        """Set who applies the section of that name."""
        self.sections[name] = section

    def _load(self) -> StoredRules | None:
        body = self._disk.get(DISK_KEY) if self._disk is not None else None
        if body is None:
            return None
        try:
            return msgspec.msgpack.decode(body, type=StoredRules)
        except msgspec.MsgspecError as error:
            self.damage = f"{DISK_KEY} can't be read: {error}"
            log.error("fleet: %s; it is fetched from other gateways", self.damage)
            self.fleet.add_count("rules_damaged", 1)
            return None

    def damage_report(self) -> str:
        """Return what of this gateway's disk could not be read, and is fetched from others; empty where all could."""
        acceptor_damage = self.acceptor.damage if self.acceptor is not None else ""
        damages = (getattr(self._disk, "damage", ""), self.damage, acceptor_damage)
        return "; ".join(filter(None, damages))

    def start(self) -> None:
        """Receive messages, answer calls, and apply the stored version."""
        self.fleet.messenger.subscribe(MESSAGE_KIND, self._on_message)
        self.proposer.start()
        if self.acceptor is not None:
            self.acceptor.start()
        self.service.start()
        self._apply_target()
        self._tick()

    def drain(self) -> None:
        """Stop the periodic work; messages and calls are still answered."""
        self._cancel_tick()

    def stop(self) -> None:
        """Stop all work; nothing is applied or published afterwards."""
        self._stopped = True
        self._cancel_tick()
        self.proposer.stop()
        if self.acceptor is not None:
            self.acceptor.stop()

    def metrics(self) -> dict[str, float]:
        """Return the metrics by name."""
        return {
            "rules_version": self._active.version,
            "rules_newest": self.tracker.rule_set.newest_number,
            "rules_on_trial": float(self._active.on_trial),
            "rules_trial_open": float(self.tracker.open_trial() is not None),
            "rules_cannot_take": float(bool(self.apply_fault)),
            "rules_keeper_votes": float(self.acceptor is not None and self.acceptor.state.voting),
        }

    # ---- applying versions

    def _learn(self, versions: tuple[Version, ...], trial_age: int) -> None:
        """Handle versions that a majority chose."""
        if self._stopped:
            return
        result = self.tracker.learn(versions, trial_age, self.fleet.clock.now())
        if result.conflicts:
            log.error("fleet: two contents under rule versions %s: the register was lost or put back", result.conflicts)
            self.fleet.add_count("rules_two_contents", len(result.conflicts))
        if result.advanced:
            self._apply_target()
            self._publish()
            self.dissemination.announce()
            self.trials.check()

    def _apply_target(self) -> None:
        """Apply what should apply now.

        A newer version is stored first, so that a restart can't return to an older one.
        """
        if self._stopped:
            return
        now = self.fleet.clock.now()
        target = self.tracker.target(now)
        if target == self._active or target.version < self.tracker.applied_version:
            return
        previous_fault = self.apply_fault
        self.apply_fault = self.fault(target.content)
        if self.apply_fault:
            if self.apply_fault != previous_fault:
                self._report_fault(target)
            return
        if target.on_trial:
            self.fleet.call_later(self.tracker.trial_remaining(now) + 1, self._apply_target)
        if self._disk is None or target.version == self.tracker.applied_version:
            self._activate(target)
            return
        body = msgspec.msgpack.encode(StoredRules(self.tracker.rule_set, target.version))
        self._disk.put(DISK_KEY, body, lambda: self._activate(target))

    def _report_fault(self, target: ActiveVersion) -> None:
        log.error(
            "fleet: rule version %d can't be applied, version %d stays active: %s",
            target.version,
            self._active.version,
            self.apply_fault,
        )
        self.fleet.add_count("rules_not_taken", 1)
        self._publish()

    def _activate(self, target: ActiveVersion) -> None:
        if self._stopped or target.version < self.tracker.applied_version:
            return
        self.tracker.applied_version = target.version
        if target != self.tracker.target(self.fleet.clock.now()):  # superseded while it was being stored
            self._apply_target()
            return
        for name, section in self.sections.items():
            section.apply(target.content.get(name), target.version)
        self._active = target
        made = self.tracker.rule_set.find(target.version)
        if made is not None and made.gateway != self.gateway:
            self.fleet.messenger.send(made.gateway, MESSAGE_KIND, encode(VersionApplied(target.version)))
        trial = self.tracker.open_trial()
        if trial is not None:
            self._baseline = _TrialBaseline(trial.number, target.on_trial, self._counts())
        log.info("fleet: rule version %d applied%s", target.version, ", on trial" if target.on_trial else "")
        self._publish()

    def fault(self, content: Mapping[str, Any]) -> str:
        """Return why this gateway can't apply a content, each key by name; empty where it can."""
        known = ", ".join(sorted(self.sections)) or "none"
        faults = [
            f"{name}: is not known at {self.gateway}; there are {known}"
            for name in sorted(set(content) - set(self.sections))
        ]
        for name, section in self.sections.items():
            value = content.get(name)
            try:
                if value is not None and not isinstance(value, Mapping):
                    raise ValueError(f"{name}: {value!r} is not a table")
                section.check(value)
            except ValueError as error:
                faults.append(str(error))
        return "; ".join(faults)

    # ---- gossip and messages

    def _publish(self) -> None:
        """Publish this gateway's status where it has changed."""
        status = GossipedStatus(
            version=self._active.version,
            on_trial=self._active.on_trial,
            newest=self.tracker.rule_set.newest_number,
            digest=self._active_digest(),
            fault=self.apply_fault[:MAX_PUBLISHED_FAULT],
            counts=self._trial_counts(),
            acceptor_status=self._acceptor_status(),
        )
        body = encode(status)
        if body != self._published:
            self._published = body
            self.fleet.gossip_state.publish(MESSAGE_KIND, body)

    def _active_digest(self) -> str:
        version = self.tracker.rule_set.find(self._active.version)
        if version is not None and self._digest[0] != version.number:
            self._digest = (version.number, version.digest())
        return self._digest[1]

    def _trial_counts(self) -> RequestCounts:
        """Return the counts since the open trial began here; zeros where none is open or its version not active."""
        baseline = self._baseline
        is_active = baseline.version == self._active.version and baseline.on_trial == self._active.on_trial
        if self.tracker.open_trial() is None or not is_active:
            return (0, 0, 0)
        requests, rejected, late = self._counts()
        return (requests - baseline.counts[0], rejected - baseline.counts[1], late - baseline.counts[2])

    def _acceptor_status(self) -> str:
        if self.acceptor is None:
            return ""
        if self.acceptor.state.voting:
            return "votes"
        return (self.acceptor.damage or "its disk is new")[:MAX_PUBLISHED_ACCEPTOR_STATUS]

    def _tick(self) -> None:
        if self._stopped:
            return
        self._apply_target()
        self._ticks += 1
        if self._ticks % REPUBLISH_TICKS == 0:
            self._published = b""
        self._publish()
        self.dissemination.fetch_published()
        self.dissemination.compare_with_random_peer()
        self.trials.check()
        if self.acceptor is not None:
            self.changes.settle(self.acceptor)
        self._cancel_tick = self.fleet.call_later(TICK_INTERVAL, self._tick)

    def _on_message(self, source: Name, body: bytes) -> None:
        try:
            message = decode(body)
        except msgspec.MsgspecError:
            self.fleet.add_count("rules_unread", 1)
            return
        if isinstance(message, VersionApplied):
            if source in self.fleet.members.live():
                self.confirmed_versions[source] = message.version
        elif isinstance(message, CheckRequest | CheckResult):
            self.checks.on_message(source, message)
        else:
            self.dissemination.on_message(source, message)
