"""The shells of distribution: a core on mail and timer, what is held on a disk, all roles on the twin."""

import pytest

from rackhub.fleet.distribution.endpoint import MOST_SENDERS, Endpoint, Inbox, SenderCounts
from rackhub.fleet.distribution.events import Counted, Held, Persist, Persisted, Received, Send, Tick
from rackhub.fleet.distribution.messages import KIND, Entry, Unwatch, Watch, encode
from rackhub.fleet.distribution.store import HeldStore
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
    endpoint = Endpoint(net.nodes["a"].fleet(), inbox, core, perform)
    inbox.route((Unwatch,), endpoint.received)
    inbox.start()
    return net, core, inbox, endpoint


def test_effects_are_done_in_order_and_events_handed_in_meanwhile_come_after_them():
    done = []

    def perform(effect):
        done.append(effect)
        if len(done) == 1:
            endpoint.hand(Persisted(1))

    one, two = Persist("l", 1, (), False), Persist("l", 2, (), False)
    net, core, _, endpoint = endpoint_with({Tick: (one, Counted("distribution_x", "b"), two)}, perform)
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
    net.nodes["b"].take(KIND, lambda sender, body: heard.append((sender, body)))
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
    return HeldStore(disk, ("",), lambda name, by: counts.append(name) if counts is not None else None)


def test_what_was_persisted_is_held_by_the_next_process_and_nothing_before_its_sync():
    net, disk = memory()
    store, done = loaded(disk), []
    assert store.held == Held()
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


def test_values_in_force_in_place_of_refused_ones_are_kept():
    net, disk = memory()
    store = loaded(disk)
    store.persist(Persist("log", 1, (), False), lambda: None)
    store.keep_refused({"a": b"old", "b": None})
    puts = disk.puts
    store.keep_refused({"a": b"old", "b": None})
    net.time.run(MS)
    assert disk.puts == puts and loaded(disk).refused == {"a": b"old", "b": None}


@pytest.mark.parametrize(
    "key, body",
    [
        ("distribution/head", b"\xc1"),
        ("distribution/entry/a", b"nonsense"),
        ("distribution/entry/a", b"\x93\xa1b\xc4\x00\x01"),  # the entry of another key
        ("distribution/refused", b"\x01"),
    ],
)
def test_a_record_that_can_t_be_read_is_named_and_all_begins_from_0(key, body):
    _, disk = memory()
    store, counts = loaded(disk), []
    store.persist(Persist("log", 5, (entry("a", b"1", 5),), True), lambda: None)
    disk.put(key, body, lambda: None)
    damaged = loaded(disk, counts)
    assert damaged.held == Held() and "can't be read" in damaged.damage and counts == ["distribution_damaged"]
    assert not loaded(disk).damage and not list(disk.scan("distribution/entry/"))


def test_on_the_embedded_store_a_write_is_whole_and_a_damaged_store_is_put_aside(tmp_path):
    from twisted.internet import reactor

    path = tmp_path / "distribution"
    disk = StoreDisk(reactor, path)
    store = loaded(disk)
    store.persist(Persist("log", 2, (entry("a", b"1", 1), entry("b", b"2", 2)), True), lambda: None)
    store.persist(Persist("log", 3, (entry("a", None, 3),), False), lambda: None)
    identity = disk.identity
    disk.end()
    disk = StoreDisk(reactor, path)
    assert disk.identity == identity and sorted(loaded(disk).held.entries) == ["b"]
    assert loaded(disk).held.revision == 3
    disk.end()
    for file in path.iterdir():
        if file.stat().st_size:
            file.write_bytes(b"\xff" * file.stat().st_size)
    disk = StoreDisk(reactor, path)
    assert disk.damage and disk.identity != identity and loaded(disk).held == Held()
    disk.end()
    assert any(aside.name.startswith("distribution.damaged-") for aside in tmp_path.iterdir())
