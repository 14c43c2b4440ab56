"""Random steps of a faulty fleet (hypothesis, always the same ones) against the history of decided changes.

Whatever is lost, doubled, late, cut, restarted or stands still: a watcher holds what the source had at its revision, in
its scope, and never goes back; what is acknowledged is on its disk; after the faults all get the newest revision.
"""

import pytest
from distribution_fleet import CheckedFleet, Faults
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test
from model_coverage import coverage_test
from msgspec.structs import replace

from rackhub.fleet.distribution.delivery import DiskDelivery
from rackhub.fleet.distribution.limits import MILLISECOND, SECOND, Limits
from rackhub.fleet.distribution.receiver import Receiver
from rackhub.fleet.distribution.server import WatchServer
from rackhub.fleet.distribution.state import KeyValueState

STEPS = settings(
    derandomize=True,
    max_examples=120,
    stateful_step_count=40,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
FINDING = settings(STEPS, max_examples=400, phases=[Phase.generate])  # without making the example smaller
CONVERGED = 16 * SECOND  # the bound that the design note derives
MAX_SCOPE_PREFIXES = {"all": ("",), "first": ("a/",), "second": ("b/", "c/1"), "none": ("z/",)}
KEYS = [f"{prefix}/{number}" for prefix in "abc" for number in range(3)]
LOSSES = st.sampled_from([0.0, 0.1, 0.3, 0.5])
LIMITS = Limits(
    max_log_steps=6, max_update_bytes=64
)  # so that revisions are compacted, and snapshots in parts of three keys


class FleetMachine(RuleBasedStateMachine):
    """Two voters, two zones with two relays each, and a coordinator for each scope."""

    @initialize(seed=st.integers(0, 1 << 16), loss=LOSSES)
    def begin(self, seed, loss):
        self.fleet = CheckedFleet(sources=2, limits=LIMITS, seed=seed)
        for number, (name, scope) in enumerate(MAX_SCOPE_PREFIXES.items()):
            zone = "a" if number % 2 else "b"
            self.fleet.coordinator(f"coordinator-{name}", zone, scope)
        self.names, self.copies = list(self.fleet.processes), {}
        self.fleet.run(SECOND)
        self.fleet.faults = Faults(loss=loss, jitter=50 * MILLISECOND)

    @rule(keys=st.lists(st.sampled_from(KEYS), min_size=1, max_size=3, unique=True), value=st.integers(0, 4))
    def edit(self, keys, value):
        self.fleet.decide({key: b"%d" % value if value else None for key in keys})

    @rule(pace=st.sampled_from([0, 20, 300]), many=st.integers(2, 12))
    def many_edits(self, pace, many):
        for number in range(many):
            self.fleet.decide({KEYS[number % len(KEYS)]: b"%d" % self.fleet.history.revision})
            self.fleet.run(pace * MILLISECOND)

    @rule(tenths=st.sampled_from([1, 3, 10, 30, 70, 120]))
    def time_passes(self, tenths):
        self.fleet.run(tenths * SECOND // 10)

    @rule(loss=LOSSES, double=st.sampled_from([0.0, 0.3]), jitter=st.sampled_from([0, 50, 900]))
    def transport(self, loss, double, jitter):
        self.fleet.faults = Faults(loss=loss, double=double, jitter=jitter * MILLISECOND)

    @rule(which=st.integers(0, 63))
    def restart(self, which):
        process = self.process(which)
        process.restart()
        kept = not hasattr(process, "in_force") or process.in_force.revision >= process.highest
        self.fleet.require(kept, f"{process.name} goes back by its restart")

    @rule(which=st.integers(0, 63))
    def stop(self, which):
        self.process(which).stop()

    @rule(which=st.integers(0, 63), seconds=st.sampled_from([1, 5, 30]))
    def stand_still(self, which, seconds):
        self.process(which).stand_still(seconds * SECOND)

    @rule(some=st.sets(st.integers(0, 63), min_size=1, max_size=5))
    def cut(self, some):
        cut_off = {self.process(number).name for number in some}
        self.fleet.cut(cut_off, set(self.names) - cut_off)

    @rule(which=st.integers(0, 1), informed=st.booleans())
    def voter_lags(self, which, informed):
        name = self.fleet.voters[which].name
        (self.fleet.uninformed.discard if informed else self.fleet.uninformed.add)(name)
        if informed:
            self.fleet.tell(name)

    @rule(which=st.integers(0, 63))
    def copy_disk(self, which):
        coordinator = self.coordinator(which)
        self.copies[coordinator.name] = coordinator.disk.held

    @rule(which=st.integers(0, 63))
    def put_disk_back(self, which):
        """An operator's doing, the one way back that is allowed."""
        coordinator = self.coordinator(which)
        coordinator.stop()
        coordinator.disk.held = self.copies.get(coordinator.name, coordinator.disk.held)
        coordinator.highest = coordinator.disk.held.revision
        coordinator.restart()

    @rule()
    def heal(self):
        self.fleet.heal()

    @rule(which=st.integers(0, 63), write=st.sampled_from([1, 400, 3_000]))
    def disk(self, which, write):
        self.coordinator(which).disk.write = write * MILLISECOND

    @invariant()
    def disks_hold_the_history(self):
        for coordinator in self.fleet.coordinators() if hasattr(self, "fleet") else ():
            held, core = coordinator.disk.held, coordinator.core
            expected = self.fleet.history.at(held.revision, coordinator.scope)
            self.fleet.require(held.entries == expected, f"the disk of {coordinator.name}")
            self.fleet.require(core is None or core.revision <= held.revision, f"{coordinator.name} runs ahead")

    def teardown(self):
        if not hasattr(self, "fleet") or self.fleet.broken:
            return
        fleet = self.fleet
        fleet.heal()
        fleet.faults = Faults()
        for name in self.names:
            process = fleet.processes[name]
            process.wake_up()
            if process.core is None:
                process.restart()
        for coordinator in fleet.coordinators():
            coordinator.disk.write = 3 * MILLISECOND
        for node in fleet.voters:
            fleet.tell(node.name)
        fleet.run_until(fleet.converged, CONVERGED)
        self.disks_hold_the_history()

    def coordinator(self, which):
        coordinators = self.fleet.coordinators()
        return coordinators[which % len(coordinators)]

    def process(self, which):
        return self.fleet.processes[self.names[which % len(self.names)]]


test_no_fault_breaks_what_holds = coverage_test(FleetMachine, STEPS)


def must_be_found(match):
    with pytest.raises(AssertionError, match=match):
        run_state_machine_as_test(FleetMachine, settings=FINDING)


def test_finds_a_revision_from_a_relay_that_lags(monkeypatch):
    watch_of = WatchServer._watch

    def serves_those_ahead(self, now, sender, watch):
        if watch.revision > self._state.revision and self._state.log:
            watch = replace(watch, log="", revision=0)
        watch_of(self, now, sender, watch)

    def takes_older_ones(self, part):
        return bool(self._delivery.log) and part.revision == self._delivery.newest

    monkeypatch.setattr(WatchServer, "_watch", serves_those_ahead)
    monkeypatch.setattr(Receiver, "_is_behind", takes_older_ones)
    must_be_found("goes back")


def test_finds_an_acknowledgement_before_the_disk(monkeypatch):
    take = DiskDelivery.take

    def counts_at_once(self, received):
        effects = take(self, received)
        self.revision = self.newest
        return effects

    monkeypatch.setattr(DiskDelivery, "take", counts_at_once)
    must_be_found("acknowledges")


def test_finds_a_compacted_gap_passed_over(monkeypatch):
    since = KeyValueState.since

    def passes_over(self, revision, scope=("",)):
        return since(self, max(revision, self.oldest), scope)

    monkeypatch.setattr(KeyValueState, "since", passes_over)
    must_be_found("coordinator-.* at |the disk of|not within")


def test_finds_a_heartbeat_that_hides_a_lost_change(monkeypatch):
    def trusts(self, heartbeat):
        self.acknowledge = True
        if heartbeat.revision > self._delivery.newest and self._delivery.log:
            return self._deliver(heartbeat.log, heartbeat.revision, ())
        return []

    monkeypatch.setattr(Receiver, "_take_heartbeat", trusts)
    must_be_found("coordinator-.* at |the disk of|not within")
