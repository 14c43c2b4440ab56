"""The rules that this gateway applies, implementing `ports.Rules`.

Each change of the rules makes a numbered version. The acceptors agree on the versions in a CASPaxos register, and
gateways fetch them from each other.
"""

import logging
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from rackhub.fleet.ports import Control, Disk, Fleet, Name, RuleSection
from rackhub.fleet.register.acceptor_shell import AcceptorShell
from rackhub.fleet.register.proposer import Proposer
from rackhub.fleet.rules.active_version import ActiveVersion, StoredRules, VersionTracker
from rackhub.fleet.rules.changes import ChangeProposer
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
REPUBLISH_TICKS = 10  # number of ticks after which an unchanged status is published again
MAX_PUBLISHED_FAULT = 300  # characters
MAX_PUBLISHED_ACCEPTOR_STATUS = 120  # characters


class _TrialBaseline(NamedTuple):
    """The request counts when this gateway activated the version whose trial is open.

    `on_trial`: whether this gateway applies the version's own content, or that of its parent.
    """

    version: int
    on_trial: bool
    counts: RequestCounts


class VersionedRules:
    """The rules of one gateway.

    While the trial of a version is open, some gateways apply the version's content (they are on trial), and all others
    that of its parent. `counts` returns the numbers of all requests, of rejected requests, and of late or failed
    requests since the start; trials compare their increases. `add_section` has to be called before `start` for each
    section that this gateway applies. Without `control` no calls are answered. Without `disk` nothing is stored, and
    the gateway is no acceptor. Raises `ValueError` if the disk belongs to another acceptor or set of acceptors.
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
        self.acceptors = settings.keepers  # settings and texts for operators call the acceptors keepers
        self._disk = disk
        self._counts = counts
        generation = fleet.members.all()[self.gateway].generation
        self.sections: dict[str, RuleSection] = {}
        self.damage = ""  # description of a stored record that could not be decoded
        self.tracker = VersionTracker(self.gateway, self._load())
        self.acceptor: AcceptorShell | None = None
        if disk is not None and self.gateway in self.acceptors:
            self.acceptor = AcceptorShell(fleet, self.acceptors, disk, generation)
        self.proposer = Proposer(fleet, self.acceptors, generation, self.acceptor)
        self.dissemination = Dissemination(fleet, self.tracker, self._learn)
        self.checks = FleetChecks(fleet, self.find_faults)
        self.changes = ChangeProposer(fleet, self.tracker, self.proposer, self.dissemination, self._learn)
        self.trials = TrialMonitor(fleet, self.tracker, self.acceptors, self.changes.end_trial)
        self.service = RulesService(self, control)
        self.reported_versions: dict[Name, int] = {}  # versions that other gateways reported directly as applied
        self.apply_fault = ""  # the reason why this gateway can't apply the newest version
        self._active = ActiveVersion(0, False, {})
        self._baseline = _TrialBaseline(0, False, counts())
        self._published = b""
        self._ticks = 0
        self._digest = (0, "")  # number and digest of the active version, as last computed
        self._cancel_tick: Callable[[], None] = lambda: None
        self._stopped = False

    @property
    def version(self) -> int:
        """The number of the active version; 0 if none has been activated.

        If that version is on trial at other gateways only, its parent's content applies. For sections that the content
        lacks, the operator's files apply.
        """
        return self._active.version

    @property
    def active(self) -> ActiveVersion:
        """The active version, and the content that applies to new requests."""
        return self._active

    def add_section(self, name: str, section: RuleSection) -> None:
        """Register `section` to check and apply the section with that name."""
        self.sections[name] = section

    def _load(self) -> StoredRules | None:
        body = self._disk.get(DISK_KEY) if self._disk is not None else None
        if body is None:
            return None
        try:
            return msgspec.msgpack.decode(body, type=StoredRules)
        except msgspec.MsgspecError as error:
            self.damage = f"the stored rules ({DISK_KEY}) can't be read: {error}"
            log.error("fleet: %s; they are fetched from other gateways", self.damage)
            self.fleet.add_count("rules_damaged", 1)
            return None

    def damage_report(self) -> str:
        """Return the faults of this gateway's stored state, joined by "; "; empty if there are none.

        A store or record that can't be read is fetched again from other gateways. An acceptor that was rejected because
        others know a newer disk of it needs an empty state directory.
        """
        acceptor_damage = self.acceptor.damage if self.acceptor is not None else ""
        # `damage` is not part of `ports.Disk`; only `StoreDisk` has it
        damages = (getattr(self._disk, "damage", ""), self.damage, acceptor_damage)
        return "; ".join(filter(None, damages))

    def start(self) -> None:
        """Start receiving messages and answering calls, and apply the stored version."""
        self.fleet.messenger.subscribe(MESSAGE_KIND, self._on_message)
        self.proposer.start()
        if self.acceptor is not None:
            self.acceptor.start()
        self.service.start()
        self._apply_target()
        self._tick()

    def drain(self) -> None:
        """Stop the periodic work.

        Messages of gateways and calls on the control port are still answered, and trials still end here in time.
        """
        self._cancel_tick()

    def stop(self) -> None:
        """Stop the periodic work, the proposer and the acceptor.

        Nothing is applied or published afterwards; messages of other gateways may still be answered.
        """
        self._stopped = True
        self._cancel_tick()
        self.proposer.stop()
        if self.acceptor is not None:
            self.acceptor.stop()

    def metrics(self) -> dict[str, float]:
        """Return the metrics by name.

        `rules_cannot_take` is 1 while this gateway can't apply the newest version, `rules_keeper_votes` while the local
        acceptor votes.
        """
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
        """Merge versions that a majority of the acceptors chose, and apply and announce a newer one."""
        if self._stopped:
            return
        result = self.tracker.learn(versions, trial_age, self.fleet.clock.now())
        if result.conflicts:
            log.error(
                "fleet: received rule versions %s differ from the local ones, which are kept: "
                "the keepers' disks were probably lost or restored",
                result.conflicts,
            )
            self.fleet.add_count("rules_two_contents", len(result.conflicts))
        if result.advanced:
            self._apply_target()
            self._publish()
            self.dissemination.announce()
            self.trials.check()

    def _apply_target(self) -> None:
        """Activate the tracker's target, and again at the end of a trial.

        If this gateway can't apply the target, the active version stays and the fault is reported. A newer version is
        stored first, if there is a disk, so that a restarted gateway can't return to an older one.
        """
        if self._stopped:
            return
        now = self.fleet.clock.now()
        target = self.tracker.target(now)
        if target == self._active or target.version < self.tracker.applied_version:
            return
        previous_fault = self.apply_fault
        self.apply_fault = self.find_faults(target.content)
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
        # a newer version may have been activated while this one was being stored
        if self._stopped or target.version < self.tracker.applied_version:
            return
        self.tracker.applied_version = target.version
        if target != self.tracker.target(self.fleet.clock.now()):  # superseded while being stored
            self._apply_target()
            return
        for name, section in self.sections.items():
            section.apply(target.content.get(name), target.version)
        self._active = target
        version = self.tracker.rule_set.find(target.version)
        if version is not None and version.gateway != self.gateway:
            self.fleet.messenger.send(version.gateway, MESSAGE_KIND, encode(VersionApplied(target.version)))
        trial = self.tracker.open_trial()
        if trial is not None:
            self._baseline = _TrialBaseline(trial.number, target.on_trial, self._counts())
        log.info("fleet: rule version %d applied%s", target.version, ", on trial" if target.on_trial else "")
        self._publish()

    def find_faults(self, content: Mapping[str, Any]) -> str:
        """Return why this gateway can't apply `content`: the faults of all sections, joined by "; "; else empty."""
        known = ", ".join(sorted(self.sections)) or "none"
        faults = [
            f"{name}: is not a known section at {self.gateway}; known sections: {known}"
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
        """Publish this gateway's status if it has changed."""
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
        """Return the active version's digest; the last computed one if the version is not retained."""
        version = self.tracker.rule_set.find(self._active.version)
        if version is not None and self._digest[0] != version.number:
            self._digest = (version.number, version.digest())
        return self._digest[1]

    def _trial_counts(self) -> RequestCounts:
        """Return the request counts since this gateway began to apply the open trial's version.

        Zeros if no trial is open or its version is not active.
        """
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
            self._published = b""  # makes `_publish` publish an unchanged status
        self._publish()
        self.dissemination.fetch_published()
        self.dissemination.compare_with_random_peer()
        self.trials.check()
        if self.acceptor is not None:
            self.changes.learn_accepted(self.acceptor)
        self._cancel_tick = self.fleet.call_later(TICK_INTERVAL, self._tick)

    def _on_message(self, source: Name, body: bytes) -> None:
        try:
            message = decode(body)
        except msgspec.MsgspecError:
            self.fleet.add_count("rules_unread", 1)
            return
        if isinstance(message, VersionApplied):
            if source in self.fleet.members.live():
                self.reported_versions[source] = message.version
        elif isinstance(message, CheckRequest | CheckResult):
            self.checks.on_message(source, message)
        else:
            self.dissemination.on_message(source, message)
