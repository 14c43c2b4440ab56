"""The shells of distribution: a core on mail and timer, what is held on a disk, all roles on the twin."""

import pytest

from rackhub.fleet.distribution.coordinator import Coordinator
from rackhub.fleet.distribution.core_runner import MOST_SENDERS, CoreRunner, Inbox, SenderCounts
from rackhub.fleet.distribution.events import (
    CheckAsked,
    CheckDone,
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
    """Does what it is told by `answers`, by type of event, and notes what came."""

    def __init__(self, answers):
        self.answers, self.events, self.next_due = answers, [], 0

    def step(self, now, event):
        self.events.append(event)
        return self.answers.get(type(event), ())

    def due(self):
        return self.next_due


def endpoint_with(answers, perform=lambda effect: None):
    net = Net(["a", "b"])
    core, inbox = ScriptedCore(answers), Inbox(net.nodes["a"].fleet())
    core.next_due = net.time.now() + SECOND
    endpoint = CoreRunner(net.nodes["a"].fleet(), inbox, core, perform)
    inbox.route((Unwatch,), endpoint.on_message)
    inbox.start()
    return net, core, inbox, endpoint


def test_effects_are_done_in_order_and_events_handed_in_meanwhile_come_after_them():
    done = []

    def perform(effect):
        done.append(effect)
        if len(done) == 1:
            endpoint.dispatch(Persisted(1))

    one, two = Persist("l", 1, (), False), Persist("l", 2, (), False)
    net, core, _, endpoint = endpoint_with({Tick: (one, IncrementCounter("distribution_x", "b"), two)}, perform)
    endpoint.start()
    assert done == [one, two] and core.events == [Tick(), Persisted(1)]
    assert net.nodes["a"].counts["distribution_x"] == 1


def test_the_timer_follows_the_core_and_a_core_that_is_always_due_does_not_spin():
    net, core, _, endpoint = endpoint_with({})
    endpoint.start()
    net.time.run(SECOND - MS)
    assert len(core.events) == 1
    net.time.run(2 * MS)
    assert len(core.events) in (2, 3)  # due lies in the past from now on
    net.time.run(100 * MS)
    assert len(core.events) <= 105
    endpoint.stop()
    before = len(core.events)
    net.time.run(SECOND)
    assert len(core.events) == before


def test_mail_that_can_t_be_read_is_dropped_and_counted_under_its_sender():
    net, core, inbox, endpoint = endpoint_with({Received: (Send("b", Unwatch(9)),)})
    heard = []
    net.nodes["b"].subscribe(KIND, lambda sender, body: heard.append((sender, body)))
    endpoint.start()
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
    assert heard == [("a", encode(Unwatch(9)))]
    assert {row["counter"]: row["count"] for row in inbox.sender_counts.rows()} == {
        "distribution_unreadable": 5,
        "distribution_misdirected": 1,
    }
    assert all(row["sender"] == "b" for row in inbox.sender_counts.rows())


def test_senders_are_counted_by_name_up_to_a_bound():
    counts = SenderCounts()
    for number in range(MOST_SENDERS + 10):
        counts.add("unreadable", f"n{number}")
    assert len(counts.rows()) == MOST_SENDERS + 1
    assert sum(row["count"] for row in counts.rows()) == MOST_SENDERS + 10


# ---- the disk


def entry(key, value, revision):
    return Entry(key, value, revision)


def memory():
    net = Net(["a"])
    return net, MemoryDisk(net.nodes["a"].later, "d")


def loaded(disk, counts=None):
    return StateStore(disk, ("",), lambda name, by: counts.append(name) if counts is not None else None)


def test_what_was_persisted_is_held_by_the_next_process_and_nothing_before_its_sync():
    net, disk = memory()
    store, done = loaded(disk), []
    assert store.held == StoredState()
    store.persist(Persist("log", 2, (entry("a", b"1", 1), entry("b", b"2", 2)), True), lambda: done.append(2))
    assert not done
    net.time.run(MS)
    assert done == [2]
    store.persist(Persist("log", 3, (entry("a", None, 3), entry("c", b"3", 3)), False), lambda: done.append(3))
    disk.crash()
    assert loaded(disk).held.revision == 2
    again = loaded(disk)
    again.persist(Persist("log", 3, (entry("a", None, 3), entry("c", b"3", 3)), False), lambda: done.append(3))
    net.time.run(MS)
    disk.crash()
    held = loaded(disk).held
    assert (held.log, held.revision, held.scope, sorted(held.entries)) == ("log", 3, ("",), ["b", "c"])
    again.persist(Persist("other", 1, (entry("z", b"", 1),), True), lambda: None)
    assert list(loaded(disk).held.entries) == ["z"] and loaded(disk).held.log == "other"


def test_values_that_were_in_force_before_are_kept_with_the_change_that_replaces_them():
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
def test_a_record_that_can_t_be_read_is_named_and_all_begins_from_0(key, body):
    _, disk = memory()
    store, counts = loaded(disk), []
    store.persist(Persist("log", 5, (entry("a", b"1", 5),), True), lambda: None)
    disk.put(key, body, lambda: None)
    assert list(disk.scan("distribution/entry/"))
    damaged = loaded(disk, counts)
    assert damaged.held == StoredState() and "can't be read" in damaged.damage and counts == ["distribution_damaged"]
    assert not loaded(disk).damage and not list(disk.scan("distribution/entry/"))


def test_on_the_embedded_store_a_write_is_whole_and_a_damaged_store_is_put_aside(tmp_path):
    from twisted.internet import reactor

    path = tmp_path / "distribution"
    disk = StoreDisk(reactor, path)
    store = loaded(disk)
    store.persist(Persist("log", 2, (entry("a", b"1", 1), entry("b", b"2", 2)), True), lambda: None)
    store.persist(Persist("log", 3, (entry("a", None, 3),), False), lambda: None)
    identity = disk.identity
    disk.close()
    disk = StoreDisk(reactor, path)
    assert disk.identity == identity and sorted(loaded(disk).held.entries) == ["b"]
    assert loaded(disk).held.revision == 3
    disk.close()
    for file in path.iterdir():
        if file.stat().st_size:
            file.write_bytes(b"\xff" * file.stat().st_size)
    disk = StoreDisk(reactor, path)
    assert disk.damage and disk.identity != identity and loaded(disk).held == StoredState()
    disk.close()
    assert any(aside.name.startswith("distribution.damaged-") for aside in tmp_path.iterdir())


# ---- roles on the twin: real cores, real shells, mail that may be lost


class RecordingPart:
    """Refuses the values that it is told to."""

    def __init__(self, refused=()):
        self.refused, self.held = refused, []

    def check(self, part):
        bad = [f"{name} = {value!r}: no" for name, value in (part or {}).items() if value in self.refused]
        if bad:
            raise ValueError("; ".join(bad))

    def apply(self, part, version):
        self.held.append((version, part))


def nodes(voters=1, relays=2):
    return tuple(
        [Node(f"v{number}", Role.VOTER, "z") for number in range(voters)]
        + [Node(f"r{number}", Role.RELAY, "z") for number in range(relays)]
    )


def coordinator_on(net, name, disk, generation=1, refused=(), relays=2, scope=("",)):
    upstreams = tuple(node for node in nodes(relays=relays) if node.role is Role.RELAY)
    identity = Identity(name=name, zone="z", upstreams=upstreams, scope=scope, generation=generation)
    coordinator = Coordinator(net.nodes[name].fleet(), identity, disk, Limits())
    part = RecordingPart(refused)
    coordinator.add_section("p", part)
    coordinator.start()
    return coordinator, part


def relay_on(net, name, voters=1, generation=1):
    directory = nodes(voters)
    upstreams = tuple(node for node in directory if node.role is Role.VOTER)
    identity = Identity(name=name, zone="z", upstreams=upstreams, generation=generation)
    relay = RelayShell(net.nodes[name].fleet(), identity, frozenset(node.name for node in directory), Limits())
    relay.start()
    return relay


class SourceStand:
    """A voter without a register: what it is told is decided."""

    def __init__(self, net, name="v0"):
        self.fleet = net.nodes[name].fleet()
        self.source = Source(Identity(name=name), StoredState(), Limits(), net.time.now())
        self.checks, self.revision = [], 0
        inbox = Inbox(self.fleet)
        self.endpoint = CoreRunner(self.fleet, inbox, self.source, self.checks.append)
        inbox.route((Watch, Unwatch, Acknowledge, Report, Checked), self.endpoint.on_message)
        inbox.start()
        self.endpoint.start()

    def change(self, **values):
        self.revision += 1
        entries = tuple(
            Entry(f"rules/p/{name}", None if value is None else encode_value(value), self.revision)
            for name, value in values.items()
        )
        self.endpoint.dispatch(Decided("log", (Change(self.revision, entries),)))

    def status(self):
        return self.source.status(self.fleet.clock.now())


def fleet_of(lose=0.0):
    net = Net(["v0", "r0", "r1", "c0", "c1"], 5)
    net.lose = lose
    disks = {name: MemoryDisk(net.nodes[name].later, name) for name in ("c0", "c1")}
    return net, SourceStand(net), disks


@pytest.mark.parametrize("lose", [0.0, 0.2])
def test_a_change_is_in_force_at_all_coordinators_and_the_voter_knows(lose):
    net, voter, disks = fleet_of(lose)
    for name in ("r0", "r1"):
        relay_on(net, name)
    stands = [coordinator_on(net, name, disks[name], refused=(9,)) for name in ("c0", "c1")]
    voter.change(first=1)
    assert net.time.run(16 * SECOND, lambda: voter.status().in_force == 2)
    assert all(part.held[-1] == (1, {"first": 1}) for _, part in stands)
    voter.change(first=9, second=2)
    assert net.time.run(16 * SECOND, lambda: voter.status().in_force == 2)
    for coordinator, part in stands:
        assert part.held[-1] == (2, {"first": 1, "second": 2})
        assert list(coordinator.faults) == ["rules/p/first"] and coordinator.version == 2
        assert coordinator.metrics()["distribution_refused_keys"] == 1
    assert net.time.run(16 * SECOND, lambda: voter.status().fault_count == 2)


def test_a_coordinator_s_check_is_asked_through_a_relay_and_names_the_key():
    net, voter, disks = fleet_of()
    for name in ("r0", "r1"):
        relay_on(net, name)
    for name in ("c0", "c1"):
        coordinator_on(net, name, disks[name], refused=(9,))
    voter.change(first=1)
    assert net.time.run(16 * SECOND, lambda: voter.status().in_force == 2)
    voter.endpoint.dispatch(CheckAsked(7, (Entry("rules/p/first", encode_value(9), 0),)))
    assert net.time.run(16 * SECOND, lambda: bool(voter.checks))
    [done] = voter.checks
    assert isinstance(done, CheckDone) and done.mark == 7 and not done.silent
    assert [fault.key for fault in done.faults] == ["rules/p/first"]


def test_the_relay_that_one_watches_ends_and_the_next_change_comes_by_the_other():
    net, voter, disks = fleet_of()
    for name in ("r0", "r1"):
        relay_on(net, name)
    coordinator, part = coordinator_on(net, "c0", disks["c0"])
    voter.change(first=1)
    assert net.time.run(16 * SECOND, lambda: coordinator.version == 1)
    gone = coordinator.upstream
    net.nodes[gone].kill()
    voter.change(first=2)
    assert net.time.run(16 * SECOND, lambda: part.held[-1] == (2, {"first": 2}))
    assert coordinator.upstream not in ("", gone)


@pytest.mark.parametrize(
    "at",
    [lambda coordinator: coordinator.version == 2, lambda coordinator: coordinator.held.revision == 2],
    ids=["in force", "on the disk"],
)
def test_a_coordinator_resumes_from_its_disk_with_what_was_in_force(at):
    net, voter, disks = fleet_of()
    for name in ("r0", "r1"):
        relay_on(net, name)
    coordinator, _ = coordinator_on(net, "c0", disks["c0"], refused=(9,))
    voter.change(first=1, second=2)
    assert net.time.run(16 * SECOND, lambda: coordinator.version == 1)
    voter.change(first=9)
    assert net.time.run(16 * SECOND, lambda: at(coordinator))
    coordinator.stop()
    net.nodes["c0"].kill()
    disks["c0"].crash()
    net.nodes["c0"].restart()
    net.cut({"c0"}, set(net.nodes))
    again, part = coordinator_on(net, "c0", disks["c0"], generation=2, refused=(9,))
    assert part.held == [(2, {"first": 1, "second": 2})] and again.version == 2
    net.heal()
    voter.change(first=3)
    assert net.time.run(16 * SECOND, lambda: again.version == 3)
    assert part.held[-1] == (3, {"first": 3, "second": 2}) and not again.faults


def test_a_scope_keeps_other_keys_away():
    net, voter, disks = fleet_of()
    relay_on(net, "r0")
    coordinator, part = coordinator_on(net, "c0", disks["c0"], scope=("rules/p/a",))
    voter.change(a=1, b=2)
    assert net.time.run(16 * SECOND, lambda: coordinator.version == 1)
    assert part.held == [(1, {"a": 1})] and list(coordinator.held.entries) == ["rules/p/a"]


def test_a_relay_counts_the_coordinators_of_its_zone_by_the_members_word():
    net, voter, disks = fleet_of()
    relay = relay_on(net, "r0")
    assert relay.metrics()["distribution_members"] == 2
    net.nodes["r0"].say("c1", MemberState.GONE)
    assert relay.metrics()["distribution_members"] == 1
