"""The shells of distribution: a core with messages and a timer, the stored state, and all roles in a test fleet."""

import pytest

from rackhub.fleet.distribution.coordinator import Coordinator
from rackhub.fleet.distribution.core_runner import MAX_SENDERS, CoreRunner, Inbox, SenderCounts
from rackhub.fleet.distribution.events import (
    CheckDone,
    CheckRequested,
    Decided,
    IncrementCounter,
    Node,
    Persist,
    Persisted,
    Received,
    Role,
    Send,
    StoredState,
    Tick,
)
from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import (
    KIND,
    Acknowledge,
    Change,
    Checked,
    Entry,
    Report,
    Unwatch,
    Watch,
    encode,
)
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.relay_shell import RelayShell
from rackhub.fleet.distribution.rules import encode_value
from rackhub.fleet.distribution.source import Source
from rackhub.fleet.distribution.store import StateStore
from rackhub.fleet.ports import MemberState
from rackhub.fleet.register.disk import MemoryDisk, StoreDisk
from rackhub.trials.fleet.twin import MS, SECOND, Net


class ScriptedCore:
    """Returns the effects given in `answers` for each type of event, and records the events."""

    def __init__(self, answers):
        self.answers, self.events, self.next_due = answers, [], 0

    def step(self, now, event):
        self.events.append(event)
        return self.answers.get(type(event), ())

    def due(self):
        return self.next_due


def runner_with(answers, perform=lambda effect: None):
    net = Net(["a", "b"])
    core, inbox = ScriptedCore(answers), Inbox(net.nodes["a"].fleet())
    core.next_due = net.time.now() + SECOND
    runner = CoreRunner(net.nodes["a"].fleet(), inbox, core, perform)
    inbox.route((Unwatch,), runner.on_message)
    inbox.start()
    return net, core, inbox, runner


def test_events_dispatched_by_an_effect_are_handled_after_the_current_effects():
    done = []

    def perform(effect):
        done.append(effect)
        if len(done) == 1:
            runner.dispatch(Persisted(1))

    one, two = Persist("l", 1, (), False), Persist("l", 2, (), False)
    net, core, _, runner = runner_with({Tick: (one, IncrementCounter("distribution_x", "b"), two)}, perform)
    runner.start()
    assert done == [one, two] and core.events == [Tick(), Persisted(1)]
    assert net.nodes["a"].counts["distribution_x"] == 1


def test_the_timer_follows_the_core_and_an_overdue_core_does_not_spin():
    net, core, _, runner = runner_with({})
    runner.start()
    net.time.run(SECOND - MS)
    assert len(core.events) == 1
    net.time.run(2 * MS)
    assert len(core.events) in (2, 3)  # the core's due time is in the past from now on
    net.time.run(100 * MS)
    assert len(core.events) <= 105
    runner.stop()
    before = len(core.events)
    net.time.run(SECOND)
    assert len(core.events) == before


def test_undecodable_messages_are_dropped_and_counted_by_sender():
    net, core, inbox, runner = runner_with({Received: (Send("b", Unwatch(9)),)})
    received = []
    net.nodes["b"].subscribe(KIND, lambda sender, body: received.append((sender, body)))
    runner.start()
    for body in (
        b"",
        b"\xc1",
        b"nonsense",
        encode(Unwatch(3))[:-1],
        encode(Watch(1, "", 0, ("",), 4)),
        b"\x92\xa6watchX",
    ):
        net.nodes["b"].send("a", KIND, body)
    net.nodes["b"].send("a", KIND, encode(Unwatch(3)))
    net.time.run(20 * MS)
    assert core.events == [Tick(), Received("b", Unwatch(3))]
    assert received == [("a", encode(Unwatch(9)))]
    assert {row["counter"]: row["count"] for row in inbox.sender_counts.rows()} == {
        "distribution_unreadable": 5,
        "distribution_misdirected": 1,
    }
    assert all(row["sender"] == "b" for row in inbox.sender_counts.rows())


def test_senders_are_counted_by_name_up_to_a_limit():
    counts = SenderCounts()
    for number in range(MAX_SENDERS + 10):
        counts.add("unreadable", f"n{number}")
    assert len(counts.rows()) == MAX_SENDERS + 1
    assert sum(row["count"] for row in counts.rows()) == MAX_SENDERS + 10


# ---- the disk


def entry(key, value, revision):
    return Entry(key, value, revision)


def memory():
    net = Net(["a"])
    return net, MemoryDisk(net.nodes["a"].later, "d")


def loaded(disk, counts=None):
    return StateStore(disk, ("",), lambda name, by: counts.append(name) if counts is not None else None)


def test_the_next_process_finds_what_was_synced_and_nothing_else():
    net, disk = memory()
    store, done = loaded(disk), []
    assert store.stored == StoredState()
    store.persist(Persist("log", 2, (entry("a", b"1", 1), entry("b", b"2", 2)), True), lambda: done.append(2))
    assert not done
    net.time.run(MS)
    assert done == [2]
    store.persist(Persist("log", 3, (entry("a", None, 3), entry("c", b"3", 3)), False), lambda: done.append(3))
    disk.crash()
    assert loaded(disk).stored.revision == 2
    again = loaded(disk)
    again.persist(Persist("log", 3, (entry("a", None, 3), entry("c", b"3", 3)), False), lambda: done.append(3))
    net.time.run(MS)
    disk.crash()
    held = loaded(disk).stored
    assert (held.log, held.revision, held.scope, sorted(held.entries)) == ("log", 3, ("",), ["b", "c"])
    again.persist(Persist("other", 1, (entry("z", b"", 1),), True), lambda: None)
    assert list(loaded(disk).stored.entries) == ["z"] and loaded(disk).stored.log == "other"


def test_previously_applied_values_are_stored_with_the_change_that_replaces_them():
    net, disk = memory()
    store = loaded(disk)
    store.persist(Persist("log", 1, (), False), lambda: None, fallback={"a": b"old", "b": None})
    net.time.run(MS)
    store.persist(Persist("log", 2, (), False), lambda: None, fallback={})
    disk.crash()
    assert loaded(disk).fallback == {"a": b"old", "b": None}


@pytest.mark.parametrize(
    "key, body",
    [
        ("distribution/head", b"\xc1"),
        ("distribution/entry/a", b"nonsense"),
        ("distribution/entry/a", b"\x93\xa1b\xc4\x00\x01"),  # the entry of another key
        ("distribution/fallback", b"\x01"),
    ],
)
def test_after_an_undecodable_record_the_watcher_starts_from_revision_0(key, body):
    _, disk = memory()
    store, counts = loaded(disk), []
    store.persist(Persist("log", 5, (entry("a", b"1", 5),), True), lambda: None)
    disk.put(key, body, lambda: None)
    assert list(disk.scan("distribution/entry/"))
    damaged = loaded(disk, counts)
    assert damaged.stored == StoredState() and "can't be read" in damaged.damage and counts == ["distribution_damaged"]
    assert not loaded(disk).damage and not list(disk.scan("distribution/entry/"))


def test_the_embedded_store_writes_atomically_and_damaged_files_are_put_aside(tmp_path):
    from twisted.internet import reactor

    path = tmp_path / "distribution"
    disk = StoreDisk(reactor, path)
    store = loaded(disk)
    store.persist(Persist("log", 2, (entry("a", b"1", 1), entry("b", b"2", 2)), True), lambda: None)
    store.persist(Persist("log", 3, (entry("a", None, 3),), False), lambda: None)
    identity = disk.identity
    disk.close()
    disk = StoreDisk(reactor, path)
    assert disk.identity == identity and sorted(loaded(disk).stored.entries) == ["b"]
    assert loaded(disk).stored.revision == 3
    disk.close()
    for file in path.iterdir():
        if file.stat().st_size:
            file.write_bytes(b"\xff" * file.stat().st_size)
    disk = StoreDisk(reactor, path)
    assert disk.damage and disk.identity != identity and loaded(disk).stored == StoredState()
    disk.close()
    assert any(aside.name.startswith("distribution.damaged-") for aside in tmp_path.iterdir())


# ---- roles in the simulated fleet: real cores and shells, and a network that may lose messages


class RecordingSection:
    """Rejects the given values and records what is applied."""

    def __init__(self, rejected=()):
        self.rejected, self.apply_calls = rejected, []

    def check(self, section):
        bad = [f"{name} = {value!r}: no" for name, value in (section or {}).items() if value in self.rejected]
        if bad:
            raise ValueError("; ".join(bad))

    def apply(self, section, version):
        self.apply_calls.append((version, section))


def nodes(voters=1, relays=2):
    return tuple(
        [Node(f"v{number}", Role.VOTER, "z") for number in range(voters)]
        + [Node(f"r{number}", Role.RELAY, "z") for number in range(relays)]
    )


def coordinator_on(net, name, disk, generation=1, rejected=(), relays=2, scope=("",)):
    upstreams = tuple(node for node in nodes(relays=relays) if node.role is Role.RELAY)
    identity = Identity(name=name, zone="z", upstreams=upstreams, scope=scope, generation=generation)
    coordinator = Coordinator(net.nodes[name].fleet(), identity, disk, Limits())
    section = RecordingSection(rejected)
    coordinator.add_section("p", section)
    coordinator.start()
    return coordinator, section


def relay_on(net, name, voters=1, generation=1):
    directory = nodes(voters)
    upstreams = tuple(node for node in directory if node.role is Role.VOTER)
    identity = Identity(name=name, zone="z", upstreams=upstreams, generation=generation)
    relay = RelayShell(net.nodes[name].fleet(), identity, frozenset(node.name for node in directory), Limits())
    relay.start()
    return relay


class SourceTestBed:
    """A voter without a register. The test decides its changes."""

    def __init__(self, net, name="v0"):
        self.fleet = net.nodes[name].fleet()
        self.source = Source(Identity(name=name), StoredState(), Limits(), net.time.now())
        self.checks, self.revision = [], 0
        inbox = Inbox(self.fleet)
        self.runner = CoreRunner(self.fleet, inbox, self.source, self.checks.append)
        inbox.route((Watch, Unwatch, Acknowledge, Report, Checked), self.runner.on_message)
        inbox.start()
        self.runner.start()

    def change(self, **values):
        self.revision += 1
        entries = tuple(
            Entry(f"rules/p/{name}", None if value is None else encode_value(value), self.revision)
            for name, value in values.items()
        )
        self.runner.dispatch(Decided("log", (Change(self.revision, entries),)))

    def status(self):
        return self.source.status(self.fleet.clock.now())


def fleet_of(loss=0.0):
    net = Net(["v0", "r0", "r1", "c0", "c1"], 5)
    net.lose = loss
    disks = {name: MemoryDisk(net.nodes[name].later, name) for name in ("c0", "c1")}
    return net, SourceTestBed(net), disks


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_a_change_is_applied_by_all_coordinators_and_the_voter_knows(loss):
    net, voter, disks = fleet_of(loss)
    for name in ("r0", "r1"):
        relay_on(net, name)
    coordinators = [coordinator_on(net, name, disks[name], rejected=(9,)) for name in ("c0", "c1")]
    voter.change(first=1)
    assert net.time.run(16 * SECOND, lambda: voter.status().in_force == 2)
    assert all(section.apply_calls[-1] == (1, {"first": 1}) for _, section in coordinators)
    voter.change(first=9, second=2)
    assert net.time.run(16 * SECOND, lambda: voter.status().in_force == 2)
    for coordinator, section in coordinators:
        assert section.apply_calls[-1] == (2, {"first": 1, "second": 2})
        assert list(coordinator.faults) == ["rules/p/first"] and coordinator.version == 2
        assert coordinator.metrics()["distribution_refused_keys"] == 1
    assert net.time.run(16 * SECOND, lambda: voter.status().fault_count == 2)


def test_a_check_reaches_a_coordinator_through_a_relay_and_names_the_key():
    net, voter, disks = fleet_of()
    for name in ("r0", "r1"):
        relay_on(net, name)
    for name in ("c0", "c1"):
        coordinator_on(net, name, disks[name], rejected=(9,))
    voter.change(first=1)
    assert net.time.run(16 * SECOND, lambda: voter.status().in_force == 2)
    voter.runner.dispatch(CheckRequested(7, (Entry("rules/p/first", encode_value(9), 0),)))
    assert net.time.run(16 * SECOND, lambda: bool(voter.checks))
    [done] = voter.checks
    assert isinstance(done, CheckDone) and done.check_id == 7 and not done.unanswered
    assert [fault.key for fault in done.faults] == ["rules/p/first"]


def test_after_the_watched_relay_ends_changes_arrive_through_the_other():
    net, voter, disks = fleet_of()
    for name in ("r0", "r1"):
        relay_on(net, name)
    coordinator, section = coordinator_on(net, "c0", disks["c0"])
    voter.change(first=1)
    assert net.time.run(16 * SECOND, lambda: coordinator.version == 1)
    gone = coordinator.upstream
    net.nodes[gone].kill()
    voter.change(first=2)
    assert net.time.run(16 * SECOND, lambda: section.apply_calls[-1] == (2, {"first": 2}))
    assert coordinator.upstream not in ("", gone)


@pytest.mark.parametrize(
    "at",
    [lambda coordinator: coordinator.version == 2, lambda coordinator: coordinator.stored.revision == 2],
    ids=["in force", "on the disk"],
)
def test_a_coordinator_resumes_from_its_disk_with_the_applied_values(at):
    net, voter, disks = fleet_of()
    for name in ("r0", "r1"):
        relay_on(net, name)
    coordinator, _ = coordinator_on(net, "c0", disks["c0"], rejected=(9,))
    voter.change(first=1, second=2)
    assert net.time.run(16 * SECOND, lambda: coordinator.version == 1)
    voter.change(first=9)
    assert net.time.run(16 * SECOND, lambda: at(coordinator))
    coordinator.stop()
    net.nodes["c0"].kill()
    disks["c0"].crash()
    net.nodes["c0"].restart()
    net.cut({"c0"}, set(net.nodes))
    again, section = coordinator_on(net, "c0", disks["c0"], generation=2, rejected=(9,))
    assert section.apply_calls == [(2, {"first": 1, "second": 2})] and again.version == 2
    net.heal()
    voter.change(first=3)
    assert net.time.run(16 * SECOND, lambda: again.version == 3)
    assert section.apply_calls[-1] == (3, {"first": 3, "second": 2}) and not again.faults


def test_keys_out_of_scope_are_neither_stored_nor_applied():
    net, voter, disks = fleet_of()
    relay_on(net, "r0")
    coordinator, section = coordinator_on(net, "c0", disks["c0"], scope=("rules/p/a",))
    voter.change(a=1, b=2)
    assert net.time.run(16 * SECOND, lambda: coordinator.version == 1)
    assert section.apply_calls == [(1, {"a": 1})] and list(coordinator.stored.entries) == ["rules/p/a"]


def test_a_relay_counts_the_live_coordinators_of_its_zone():
    net, voter, disks = fleet_of()
    relay = relay_on(net, "r0")
    assert relay.metrics()["distribution_members"] == 2
    net.nodes["r0"].set_member_state("c1", MemberState.GONE)
    assert relay.metrics()["distribution_members"] == 1
