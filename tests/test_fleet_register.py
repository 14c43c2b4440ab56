"""The replicated register: the protocol under all message orders within bounds, and with I/O on a faulty network."""

import random

import msgspec
import pytest
from twisted.internet import reactor

from rackhub.fleet.register import acceptor
from rackhub.fleet.register import round as rounds
from rackhub.fleet.register.acceptor import handle, new_acceptor
from rackhub.fleet.register.acceptor_shell import RULES_DISK_KEY, AcceptorShell
from rackhub.fleet.register.disk import MemoryDisk, StoreDisk
from rackhub.fleet.register.messages import (
    Ballot,
    DiskIncarnation,
    JoinRejected,
    JoinRequest,
    KnownIncarnation,
    Prepare,
    Promise,
    Rejected,
    find_known,
)
from rackhub.fleet.register.proposer import Proposer
from rackhub.trials.fleet.register_explore import SMALL, Bounds, Explorer
from rackhub.trials.fleet.twin import MS, SECOND, Net

ACCEPTORS = ("a", "b", "c")


@pytest.mark.parametrize("bounds", SMALL, ids=str)
def test_all_orders_of_messages_losses_crashes_and_lost_disks_within_small_bounds(bounds):
    report = Explorer(bounds).run()
    assert report.complete and not report.violations and report.chosen > 100


@pytest.mark.parametrize(
    "bounds",
    [Bounds((1, 1), crashes=1, unsynced=True), Bounds((1, 1), wipes=1, empty=True)],
    ids=["promise not synced", "acceptor replies with an empty disk"],
)
def test_planted_mistakes_of_acceptors_are_found(bounds):
    assert "chosen" in Explorer(bounds).walk(1, 4_000).violations[0]
    correct = bounds._replace(unsynced=False, empty=False)
    assert not Explorer(correct).walk(1, 300).violations


def test_planted_quorum_of_inconsistent_replies_is_found(monkeypatch):
    def any_quorum(replies, size):
        return replies[:size] if len(replies) >= size else ()

    for module in (rounds, acceptor):
        monkeypatch.setattr(module, "consistent_quorum", any_quorum)
    assert Explorer(Bounds((2, 1), wipes=1)).walk(2, 2_000).violations


def test_a_restored_disk_is_rejected_and_a_new_one_abstains():
    fresh = new_acceptor(ACCEPTORS, "b", DiskIncarnation(5, "new"))
    _, [reply] = handle(fresh, Prepare(Ballot(1, "x", 1), ACCEPTORS))
    assert isinstance(reply, Rejected) and "disk is new" in reply.abstain_reason
    state, _ = handle(
        new_acceptor(ACCEPTORS, "a", DiskIncarnation(1, "a")), JoinRequest("b", DiskIncarnation(5, "new"))
    )
    same, [reply] = handle(state, JoinRequest("b", DiskIncarnation(4, "old")))
    assert same == state and isinstance(reply, JoinRejected)


def test_of_five_a_reply_from_before_its_sender_lost_its_disk_admits_nobody():
    """Else a's old disk and b's new one accept one value with e, and a's new disk, c and d choose another."""
    names = ("a", "b", "c", "d", "e")
    incarnations = {name: DiskIncarnation(1, name) for name in names}
    old = {
        me: msgspec.structs.replace(
            new_acceptor(names, me, incarnations[me]),
            voting=True,
            known_incarnations=tuple(KnownIncarnation(name, incarnations[name]) for name in names if name != me),
        )
        for me in names
    }
    new_a, new_b = new_acceptor(names, "a", DiskIncarnation(2, "a")), new_acceptor(names, "b", DiskIncarnation(2, "b"))
    early = handle(old["b"], JoinRequest("a", DiskIncarnation(2, "a")))[1][0]  # and then b loses its disk, too
    for name in ("c", "d", "e"):
        old[name], [reply] = handle(old[name], JoinRequest("b", DiskIncarnation(2, "b")))
        new_b, _ = handle(new_b, reply)
    assert new_b.voting and find_known(new_b.known_incarnations, "a").incarnation == DiskIncarnation(1, "a")
    new_a, _ = handle(new_a, early)
    for name in ("c", "d"):
        old[name], [reply] = handle(old[name], JoinRequest("a", DiskIncarnation(2, "a")))
        new_a, _ = handle(new_a, reply)
    assert not new_a.voting  # three have replied, but c and d know that the first of them has lost its disk since
    _, [reply] = handle(new_b, JoinRequest("a", DiskIncarnation(2, "a")))
    after, _ = handle(new_a, reply)
    assert after.voting and handle(after, early)[0] == after


def test_a_proposer_with_another_set_of_acceptors_gets_no_vote():
    state = new_acceptor(("a",), "a", DiskIncarnation(1, "a"))
    same, [reply] = handle(state, Prepare(Ballot(1, "x", 1), ACCEPTORS))
    assert same == state and reply.abstain_reason == "its keepers are a"


class RegisterCluster:
    """Three acceptors, and a proposer on each gateway, on a simulated network."""

    def __init__(self, seed=1, names=("a", "b", "c", "d")):
        self.net = Net(list(names), seed)
        self.disks = {name: MemoryDisk(self.net.time.later, f"{name}1") for name in ACCEPTORS}
        self.acceptors = {}
        self.proposers = {}
        for name in names:
            self.start(name)

    def start(self, name):
        node = self.net.nodes[name]
        acceptor_shell = (
            AcceptorShell(node.fleet(1), ACCEPTORS, self.disks[name], node.boot) if name in ACCEPTORS else None
        )
        self.proposers[name] = Proposer(node.fleet(1), ACCEPTORS, node.boot, acceptor_shell)
        self.proposers[name].start()
        if acceptor_shell is not None:
            self.acceptors[name] = acceptor_shell
            acceptor_shell.start()

    def crash(self, name):
        self.net.nodes[name].kill()
        if name in ACCEPTORS:
            self.disks[name].crash()
            self.acceptors.pop(name).stop()

    def restart(self, name):
        self.net.nodes[name].restart()
        self.start(name)

    def submit(self, name, word, done, within=3 * SECOND):
        def change(value):
            value = value or b""
            return (value, "there") if word in value.split() else (value + word + b" ", "done")

        self.proposers[name].change(change, done, within)

    def submit_and_wait(self, name, word, within=3 * SECOND):
        got = []
        self.submit(name, word, got.append, within)
        self.net.time.run(within + 2 * SECOND, lambda: bool(got))
        return got[0]


def test_a_majority_changes_the_value_and_a_minority_is_rejected_with_the_reason():
    cluster = RegisterCluster()
    assert cluster.submit_and_wait("d", b"one").value == b"one "
    cluster.net.cut({"a"}, {"b", "c", "d"})
    refused = cluster.submit_and_wait("a", b"two")
    assert refused.kind == "refused" and "no answer from b, c" in refused.reason
    assert cluster.submit_and_wait("d", b"three").value == b"one three "
    cluster.net.heal()
    assert cluster.submit_and_wait("a", b"four").value == b"one three four "


def test_an_acceptor_with_an_empty_disk_abstains_until_two_others_admit_it():
    cluster = RegisterCluster()
    assert cluster.submit_and_wait("d", b"one").kind == "done"
    cluster.crash("a")
    cluster.disks["a"].wipe("a2")
    cluster.crash("b")
    cluster.restart("a")
    refused = cluster.submit_and_wait("d", b"two", within=SECOND)
    assert refused.kind == "refused" and "a abstains: its disk is new" in refused.reason
    cluster.restart("b")
    assert cluster.submit_and_wait("d", b"two").value == b"one two "
    cluster.net.time.run(3 * SECOND)
    cluster.crash("c")
    assert cluster.acceptors["a"].state.voting and cluster.submit_and_wait("d", b"three").value == b"one two three "


def test_a_new_disk_begun_while_the_clock_was_set_back_is_admitted_when_the_boot_number_has_grown():
    cluster = RegisterCluster()
    assert cluster.submit_and_wait("d", b"one").kind == "done"
    cluster.crash("a")
    cluster.disks["a"].wipe("a2")
    cluster.net.nodes["a"].boot = -5
    cluster.restart("a")
    cluster.net.time.run(3 * SECOND)
    assert not cluster.acceptors["a"].state.voting and "later disk" in cluster.acceptors["a"].damage
    cluster.crash("a")
    cluster.restart("a")
    node, boot = cluster.net.nodes["a"], 9
    all_of = node.all
    node.all = lambda: {
        name: one if name != "a" else msgspec.structs.replace(one, generation=boot) for name, one in all_of().items()
    }
    cluster.net.time.run(9 * SECOND)
    assert cluster.acceptors["a"].state.voting and cluster.acceptors["a"].state.incarnation.generation == 9


def test_an_unreadable_acceptor_state_is_reported_and_fetched_from_the_others():
    cluster = RegisterCluster()
    cluster.submit_and_wait("d", b"one")
    cluster.crash("a")
    cluster.disks["a"]._synced[RULES_DISK_KEY] = b"\xc1nonsense"
    cluster.disks["a"].crash()
    cluster.restart("a")
    assert RULES_DISK_KEY in cluster.acceptors["a"].damage and not cluster.acceptors["a"].state.voting
    cluster.net.time.run(SECOND)
    assert cluster.acceptors["a"].state.value == b"one " and cluster.net.nodes["a"].counts["register_damaged"] == 1


def test_malformed_messages_are_counted_and_dropped():
    cluster = RegisterCluster()
    for kind in ("register", "register.told"):
        for body in (b"", b"\xc1", b"\x81\xa4type\xa4what"):
            cluster.net.nodes["d"].send("a", kind, body)
    cluster.net.time.run(SECOND)
    assert cluster.net.nodes["a"].counts["register_unread"] == 6
    state, replies = handle(cluster.acceptors["a"].state, Prepare(Ballot(1 << 60, "d", 1), ACCEPTORS))
    assert state == cluster.acceptors["a"].state and not replies


def changes_under_faults(seed):
    """A run of 25 changes with random faults: those that were acknowledged, and those that the register holds."""
    draw, cluster, acked = random.Random(seed), RegisterCluster(seed), set()
    cluster.net.lose = cluster.net.double = 0.1
    cluster.net.time.run(SECOND)
    for number in range(25):
        word = b"%d" % number
        cluster.submit(draw.choice("abcd"), word, lambda got, word=word: got.kind == "done" and acked.add(word), SECOND)
        cluster.net.time.run(draw.randrange(300) * MS)
        what, name = draw.randrange(6), draw.choice(ACCEPTORS)
        if what == 0 and len(cluster.acceptors) == 3:
            cluster.crash(name)
            if all(one.state.voting for one in cluster.acceptors.values()) and draw.random() < 0.5:
                cluster.disks[name].wipe(f"{name}{number + 2}")
        elif what == 1:
            cluster.net.cut({name}, set(cluster.net.nodes) - {name}, both=draw.random() < 0.5)
        elif what == 2:
            cluster.net.heal()
        for name in ACCEPTORS:
            if name not in cluster.acceptors and draw.random() < 0.4:
                cluster.restart(name)
    cluster.net.heal()
    for name in ACCEPTORS:
        if name not in cluster.acceptors:
            cluster.restart(name)
    cluster.net.time.run(5 * SECOND)
    found = cluster.submit_and_wait("d", b"last", 10 * SECOND)
    return acked, found.value.split()


@pytest.mark.parametrize("seed", range(12))
def test_no_change_is_lost_or_applied_twice_under_losses_partitions_kills_and_lost_disks(seed):
    acked, words = changes_under_faults(seed)
    assert acked <= set(words) and len(set(words)) == len(words) and len(acked) > 5


def test_the_store_disk_keeps_durable_values_and_its_identity(tmp_path):
    def turned(until):
        for _ in range(10_000):
            if until():
                return True
            reactor.iterate(0.01)
        return False

    disk, done = StoreDisk(reactor, tmp_path / "state"), []
    for number in range(40):
        disk.put("key", b"%d" % number, lambda number=number: done.append(number))
    assert turned(lambda: len(done) == 40) and done == sorted(done)
    disk.close()
    again = StoreDisk(reactor, tmp_path / "state")
    assert again.get("key") == b"39" and again.identity == disk.identity
    again.close()
    log = next((tmp_path / "state").glob("log-*"))
    log.write_bytes(b"x" * log.stat().st_size)
    other = StoreDisk(reactor, tmp_path / "state")
    assert other.damage and other.get("key") is None and other.identity != disk.identity
    assert len(list(tmp_path.glob("state.damaged-*"))) == 1
    other.close()


def test_a_promise_is_sent_only_when_it_is_durable():
    cluster, seen = RegisterCluster(), []
    cluster.net.time.run(SECOND)
    cluster.net.nodes["d"].subscribe(
        "register.told", lambda source, body: seen.append((cluster.net.time.now(), source))
    )
    cluster.disks["a"]._delay = 50 * MS
    began = cluster.net.time.now()
    shell = cluster.acceptors["a"]
    shell.receive("d", Prepare(Ballot(1, "d", 9), ACCEPTORS))
    shell.receive("d", Prepare(Ballot(1, "d", 9), ACCEPTORS))  # the second changes nothing, and waits all the same
    cluster.net.time.run(SECOND)
    assert len(seen) == 2 and all(at >= began + 50 * MS for at, _ in seen)
    assert isinstance(handle(shell.state, Prepare(Ballot(1, "d", 9), ACCEPTORS))[1][0], Promise)
