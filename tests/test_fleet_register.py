"""The replicated register: its core through all orders within bounds, and on the faulty twin with its shells."""

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

KEEPERS = ("a", "b", "c")


@pytest.mark.parametrize("bounds", SMALL, ids=str)
def test_all_orders_of_messages_losses_crashes_and_lost_disks_within_small_bounds(bounds):
    told = Explorer(bounds).run()
    assert told.complete and not told.violations and told.chosen > 100


@pytest.mark.parametrize(
    "bounds",
    [Bounds((1, 1), crashes=1, unsynced=True), Bounds((1, 1), wipes=1, empty=True)],
    ids=["promise not synced", "keeper answers with an empty disk"],
)
def test_planted_mistakes_of_keepers_are_found(bounds):
    assert "chosen" in Explorer(bounds).walk(1, 4_000).violations[0]
    right = bounds._replace(unsynced=False, empty=False)
    assert not Explorer(right).walk(1, 300).violations


def test_planted_a_majority_of_replies_that_contradict_one_another_is_found(monkeypatch):
    def many(replies, most):
        return replies[:most] if len(replies) >= most else ()

    for module in (rounds, acceptor):
        monkeypatch.setattr(module, "consistent_quorum", many)
    assert Explorer(Bounds((2, 1), wipes=1)).walk(2, 2_000).violations


def test_a_disk_that_was_put_back_is_barred_and_a_new_one_abstains():
    fresh = new_acceptor(KEEPERS, "b", DiskIncarnation(5, "new"))
    _, [said] = handle(fresh, Prepare(Ballot(1, "x", 1), KEEPERS))
    assert isinstance(said, Rejected) and "disk is new" in said.abstain_reason
    keeper, _ = handle(new_acceptor(KEEPERS, "a", DiskIncarnation(1, "a")), JoinRequest("b", DiskIncarnation(5, "new")))
    same, [said] = handle(keeper, JoinRequest("b", DiskIncarnation(4, "old")))
    assert same == keeper and isinstance(said, JoinRejected)


def test_of_five_what_one_said_before_it_lost_its_disk_too_lets_nobody_in():
    """Else: a's old life and b's new one accept one value with e, and a's new life, c and d choose another."""
    names = ("a", "b", "c", "d", "e")
    lives = {name: DiskIncarnation(1, name) for name in names}
    old = {
        me: msgspec.structs.replace(
            new_acceptor(names, me, lives[me]),
            voting=True,
            known_incarnations=tuple(KnownIncarnation(name, lives[name]) for name in names if name != me),
        )
        for me in names
    }
    new_a, new_b = new_acceptor(names, "a", DiskIncarnation(2, "a")), new_acceptor(names, "b", DiskIncarnation(2, "b"))
    early = handle(old["b"], JoinRequest("a", DiskIncarnation(2, "a")))[1][0]  # and then b loses its disk, too
    for name in ("c", "d", "e"):
        old[name], [said] = handle(old[name], JoinRequest("b", DiskIncarnation(2, "b")))
        new_b, _ = handle(new_b, said)
    assert new_b.voting and find_known(new_b.known_incarnations, "a").incarnation == DiskIncarnation(1, "a")
    new_a, _ = handle(new_a, early)
    for name in ("c", "d"):
        old[name], [said] = handle(old[name], JoinRequest("a", DiskIncarnation(2, "a")))
        new_a, _ = handle(new_a, said)
    assert not new_a.voting  # three have answered, but c and d know that the first of them has lost what it was
    _, [said] = handle(new_b, JoinRequest("a", DiskIncarnation(2, "a")))
    after, _ = handle(new_a, said)
    assert after.voting and handle(after, early)[0] == after


def test_a_proposer_that_counts_other_keepers_gets_no_vote():
    keeper = new_acceptor(("a",), "a", DiskIncarnation(1, "a"))
    same, [said] = handle(keeper, Prepare(Ballot(1, "x", 1), KEEPERS))
    assert same == keeper and said.abstain_reason == "its keepers are a"


class Stand:
    """Three keepers and proposers on the twin."""

    def __init__(self, seed=1, names=("a", "b", "c", "d")):
        self.net = Net(list(names), seed)
        self.disks = {name: MemoryDisk(self.net.time.later, f"{name}1") for name in KEEPERS}
        self.keepers, self.proposers = {}, {}
        for name in names:
            self.up(name)

    def up(self, name):
        node = self.net.nodes[name]
        keeper = AcceptorShell(node.fleet(1), KEEPERS, self.disks[name], node.boot) if name in KEEPERS else None
        self.proposers[name] = Proposer(node.fleet(1), KEEPERS, node.boot, keeper)
        self.proposers[name].start()
        if keeper is not None:
            self.keepers[name] = keeper
            keeper.start()

    def down(self, name):
        self.net.nodes[name].kill()
        if name in KEEPERS:
            self.disks[name].crash()
            self.keepers.pop(name).stop()

    def again(self, name):
        self.net.nodes[name].restart()
        self.up(name)

    def add(self, name, word, done, within=3 * SECOND):
        def change(value):
            value = value or b""
            return (value, "there") if word in value.split() else (value + word + b" ", "done")

        self.proposers[name].change(change, done, within)

    def now(self, name, word, within=3 * SECOND):
        got = []
        self.add(name, word, got.append, within)
        self.net.time.run(within + 2 * SECOND, lambda: bool(got))
        return got[0]


def test_a_majority_changes_it_and_a_minority_is_told_why_not():
    stand = Stand()
    assert stand.now("d", b"one").value == b"one "
    stand.net.cut({"a"}, {"b", "c", "d"})
    refused = stand.now("a", b"two")
    assert refused.kind == "refused" and "no answer from b, c" in refused.reason
    assert stand.now("d", b"three").value == b"one three "
    stand.net.heal()
    assert stand.now("a", b"four").value == b"one three four "


def test_a_keeper_with_an_empty_disk_abstains_until_two_others_let_it_in():
    stand = Stand()
    assert stand.now("d", b"one").kind == "done"
    stand.down("a")
    stand.disks["a"].wipe("a2")
    stand.down("b")
    stand.again("a")
    refused = stand.now("d", b"two", within=SECOND)
    assert refused.kind == "refused" and "a abstains: its disk is new" in refused.reason
    stand.again("b")
    assert stand.now("d", b"two").value == b"one two "
    stand.net.time.run(3 * SECOND)
    stand.down("c")
    assert stand.keepers["a"].state.voting and stand.now("d", b"three").value == b"one two three "


def test_a_new_disk_begun_while_the_clock_was_set_back_is_let_in_when_the_boot_number_has_risen():
    stand = Stand()
    assert stand.now("d", b"one").kind == "done"
    stand.down("a")
    stand.disks["a"].wipe("a2")
    stand.net.nodes["a"].boot = -5
    stand.again("a")
    stand.net.time.run(3 * SECOND)
    assert not stand.keepers["a"].state.voting and "later disk" in stand.keepers["a"].damage
    stand.down("a")
    stand.again("a")
    node, boot = stand.net.nodes["a"], 9
    all_of = node.all
    node.all = lambda: {
        name: one if name != "a" else msgspec.structs.replace(one, boot=boot) for name, one in all_of().items()
    }
    stand.net.time.run(9 * SECOND)
    assert stand.keepers["a"].state.voting and stand.keepers["a"].state.incarnation.boot_number == 9


def test_what_a_keeper_s_disk_holds_and_can_t_be_read_is_named_and_fetched_anew():
    stand = Stand()
    stand.now("d", b"one")
    stand.down("a")
    stand.disks["a"]._synced[RULES_DISK_KEY] = b"\xc1nonsense"
    stand.disks["a"].crash()
    stand.again("a")
    assert RULES_DISK_KEY in stand.keepers["a"].damage and not stand.keepers["a"].state.voting
    stand.net.time.run(SECOND)
    assert stand.keepers["a"].state.value == b"one " and stand.net.nodes["a"].counts["register_damaged"] == 1


def test_nonsense_is_counted_and_dropped():
    stand = Stand()
    for kind in ("register", "register.told"):
        for body in (b"", b"\xc1", b"\x81\xa4type\xa4what"):
            stand.net.nodes["d"].send("a", kind, body)
    stand.net.time.run(SECOND)
    assert stand.net.nodes["a"].counts["register_unread"] == 6
    state, replies = handle(stand.keepers["a"].state, Prepare(Ballot(1 << 60, "d", 1), KEEPERS))
    assert state == stand.keepers["a"].state and not replies


@pytest.mark.parametrize("seed", range(12))
def test_no_word_is_lost_or_doubled_through_losses_cuts_kills_and_lost_disks(seed):
    draw, stand, acked = random.Random(seed), Stand(seed), set()
    stand.net.lose = stand.net.double = 0.1
    stand.net.time.run(SECOND)
    lost = None
    for number in range(25):
        word = b"%d" % number
        stand.add(draw.choice("abcd"), word, lambda got, word=word: got.kind == "done" and acked.add(word), SECOND)
        stand.net.time.run(draw.randrange(300) * MS)
        what, name = draw.randrange(6), draw.choice(KEEPERS)
        if what == 0 and len(stand.keepers) == 3:
            stand.down(name)
            if all(one.state.voting for one in stand.keepers.values()) and draw.random() < 0.5:
                lost = name
                stand.disks[name].wipe(f"{name}{number + 2}")
        elif what == 1:
            stand.net.cut({name}, set(stand.net.nodes) - {name}, both=draw.random() < 0.5)
        elif what == 2:
            stand.net.heal()
        for name in KEEPERS:
            if name not in stand.keepers and draw.random() < 0.4:
                stand.again(name)
    stand.net.heal()
    for name in KEEPERS:
        if name not in stand.keepers:
            stand.again(name)
    stand.net.time.run(5 * SECOND)
    found = stand.now("d", b"last", 10 * SECOND)
    words = found.value.split()
    assert acked <= set(words) and len(set(words)) == len(words) and len(acked) > 5, lost


def test_the_register_s_disk_on_the_store_keeps_what_it_synced_and_its_identity(tmp_path):
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
    disk.end()
    again = StoreDisk(reactor, tmp_path / "state")
    assert again.get("key") == b"39" and again.identity == disk.identity
    again.end()
    log = next((tmp_path / "state").glob("log-*"))
    log.write_bytes(b"x" * log.stat().st_size)
    other = StoreDisk(reactor, tmp_path / "state")
    assert other.damage and other.get("key") is None and other.identity != disk.identity
    assert len(list(tmp_path.glob("state.damaged-*"))) == 1
    other.end()


def test_a_promise_is_told_only_when_it_is_on_disk():
    stand, seen = Stand(), []
    stand.net.time.run(SECOND)
    stand.net.nodes["d"].take("register.told", lambda source, body: seen.append((stand.net.time.now(), source)))
    stand.disks["a"]._delay = 50 * MS
    began = stand.net.time.now()
    keeper = stand.keepers["a"]
    keeper.receive("d", Prepare(Ballot(1, "d", 9), KEEPERS))
    keeper.receive(
        "d", Prepare(Ballot(1, "d", 9), KEEPERS)
    )  # the second finds nothing to write, and waits all the same
    stand.net.time.run(SECOND)
    assert len(seen) == 2 and all(at >= began + 50 * MS for at, _ in seen)
    assert isinstance(handle(keeper.state, Prepare(Ballot(1, "d", 9), KEEPERS))[1][0], Promise)
