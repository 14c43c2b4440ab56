"""Voters on the faulty twin: edits, their checks and conflicts, undo, what others miss, and two registers on a disk."""

import pytest

from rackhub.fleet.distribution.coordinator import Coordinator
from rackhub.fleet.distribution.decisions import EditRejected
from rackhub.fleet.distribution.editing import EditRequest
from rackhub.fleet.distribution.editor import EditDone, EditFailed
from rackhub.fleet.distribution.events import Node, Role
from rackhub.fleet.distribution.history import MOST_CHANGES, History, RevisionNotRetained
from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import Change, Entry
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.relay_shell import RelayShell
from rackhub.fleet.distribution.rules import RuleKeyError, assemble, encode_value
from rackhub.fleet.distribution.voter import Voter
from rackhub.fleet.distribution.voting import KIND as VOTERS_KIND
from rackhub.fleet.register.acceptor_shell import AcceptorShell
from rackhub.fleet.register.disk import MemoryDisk
from rackhub.fleet.register.proposer import Proposer
from rackhub.trials.fleet.twin import MS, SECOND, Net

VOTERS = ("v0", "v1", "v2")
RELAYS = ("r0", "r1")
COORDINATORS = ("c0", "c1")


class Part:
    """Takes no 9, and no 8 where it is told so."""

    def __init__(self, refused=(9,)):
        self.refused, self.held = refused, []

    def check(self, part):
        bad = [f"{name} = {value!r}: no" for name, value in (part or {}).items() if value in self.refused]
        if bad:
            raise ValueError("; ".join(bad))

    def apply(self, part, version):
        self.held.append((version, part))


class VoterFleet:
    """Three voters, two relays and two coordinators of one zone; any of them may end and come back."""

    def __init__(self, seed=3, relays=RELAYS, coordinators=COORDINATORS):
        self.net = Net([*VOTERS, *RELAYS, *COORDINATORS], seed)
        self.disks = {name: MemoryDisk(self.net.nodes[name].later, name) for name in (*VOTERS, *COORDINATORS)}
        self.processes, self.parts = {}, {}
        for name in (*VOTERS, *relays, *coordinators):
            self.start(name)
        self.wait(lambda: all(self.processes[name].acceptor.state.voting for name in VOTERS))

    def start(self, name, refused=(9,)):
        node = self.net.nodes[name]
        fleet = node.fleet()
        voters = tuple(Node(voter, Role.VOTER) for voter in VOTERS)
        relays = tuple(Node(relay, Role.RELAY, "z") for relay in RELAYS)
        if name in VOTERS:
            identity = Identity(name=name, generation=node.boot)
            process = Voter(fleet, identity, VOTERS, self.disks[name], Limits())
        elif name in RELAYS:
            identity = Identity(name=name, zone="z", upstreams=voters, generation=node.boot)
            process = RelayShell(fleet, identity, frozenset((*VOTERS, *RELAYS)), Limits())
        else:
            identity = Identity(name=name, zone="z", upstreams=relays, generation=node.boot)
            process = Coordinator(fleet, identity, self.disks[name], Limits())
        if name not in RELAYS:
            self.parts[name] = Part(refused)
            process.add_section("p", self.parts[name])
        self.processes[name] = process
        process.start()

    def kill(self, name):
        self.processes[name].stop()
        self.net.nodes[name].kill()
        if name in self.disks:
            self.disks[name].crash()

    def restart(self, name):
        self.net.nodes[name].restart()
        self.start(name)

    def wait(self, condition, seconds=16):
        assert self.net.time.run(seconds * SECOND, condition)

    def request_edit(self, voter="v0", id="e1", base_revision=0, kind="edit", author="ann", **more):
        """An edit's result, awaited."""
        results = []
        request = EditRequest(
            kind=kind, author=author, reason=f"because of {id}", id=id, base_revision=base_revision, **more
        )
        self.processes[voter].edit(request, results.append)
        self.wait(lambda: bool(results))
        assert len(results) == 1
        return results[0]

    def edit(self, id, on, voter="v0", **values):
        done = self.request_edit(voter, id, on, sections={"p": values})
        assert isinstance(done, EditDone), done
        return done.revision

    def content(self, name="v0"):
        return assemble(self.processes[name].learner.values())

    def all_at(self, revision):
        return all(self.processes[name].version == revision for name in (*VOTERS, *COORDINATORS))


def test_an_edit_is_in_force_everywhere_and_the_editor_s_voter_knows():
    stand = VoterFleet()
    stand.wait(lambda: stand.processes["v0"].status().expected == 2)
    assert stand.edit("e1", 0, a=1, b=2) == 1
    stand.wait(lambda: stand.processes["v0"].status().in_force == 2)
    stand.wait(lambda: stand.all_at(1))
    assert stand.edit("e2", 1, "v1", a=1, b=3) == 2
    stand.wait(lambda: stand.all_at(2))
    assert all(part.held[-1] == (2, {"a": 1, "b": 3}) for part in stand.parts.values())
    stand.wait(lambda: stand.processes["v2"].replication.replicated_revision() == 2)
    assert stand.processes["v2"].metrics()["distribution_replicated"] == 2


def test_a_fleet_without_any_change_yet_has_revision_0_in_force_everywhere():
    stand = VoterFleet()
    stand.wait(lambda: stand.processes["v0"].status().expected == 2)
    stand.wait(lambda: stand.processes["v0"].status().in_force == 2)
    stand.wait(lambda: all(stand.processes[name].upstream in RELAYS for name in COORDINATORS))
    assert len({stand.processes[name].learner.log for name in VOTERS}) == 1
    stand.kill("v0")
    stand.restart("v0")
    assert stand.processes["v0"].learner.log == stand.processes["v1"].learner.log


def test_an_edit_said_again_does_nothing_twice_at_any_voter():
    stand = VoterFleet()
    assert stand.edit("e1", 0, a=1) == stand.edit("e1", 0, a=1) == 1
    assert stand.edit("e1", 0, "v2", a=1) == 1
    with pytest.raises(EditRejected, match="id 'e1' was used by ann: revision 1"):
        stand.request_edit(id="e1", base_revision=1, author="bob", sections={"p": {"a": 2}})


def test_a_later_edit_of_the_same_part_refuses_one_that_did_not_see_it_and_other_parts_do_not():
    stand = VoterFleet()
    for name in (*VOTERS, *COORDINATORS):
        stand.processes[name].add_section("q", Part())
    stand.edit("e1", 0, a=1)
    with pytest.raises(
        EditRejected, match=r"ann's edit .* builds on revision 0; since then there is revision 1 by ann"
    ):
        stand.request_edit(id="e2", base_revision=0, sections={"p": {"a": 2}})
    assert isinstance(stand.request_edit(id="e3", base_revision=0, sections={"q": {"x": 1}}), EditDone)
    assert stand.content() == {"p": {"a": 1}, "q": {"x": 1}}


def test_two_edits_at_once_at_two_voters_are_both_decided_or_one_is_refused_by_the_other():
    stand = VoterFleet()
    results = []
    for number, voter in enumerate(VOTERS):
        request = EditRequest(
            kind="edit", author="a", reason="r", id=f"e{number}", base_revision=0, sections={"p": {"a": number}}
        )
        stand.processes[voter].edit(request, results.append)
    stand.wait(lambda: len(results) == 3, 30)
    done = [result for result in results if isinstance(result, EditDone)]
    refused = [result for result in results if isinstance(result, EditFailed)]
    assert len(done) == 1 and len(refused) == 2 and all("since then there is revision 1" in r.reason for r in refused)
    stand.wait(lambda: stand.all_at(1))


@pytest.mark.parametrize(
    "words, fault",
    [
        ({"sections": {"p": {"a": 1}}}, "it changes nothing"),
        ({"base_revision": 7, "sections": {"p": {"a": 2}}}, "there is no revision 7 yet"),
        ({"author": "", "sections": {"p": {"a": 2}}}, "author: '' is empty"),
        ({"sections": {"p": {"x": "y" * 20_000}}}, "rules/p/x: its value has 20003 bytes"),
        ({"sections": {"p": {"k" * 300: 1}}}, "rules/p/kkk.*the key has 308 bytes"),
        ({"kind": "undo", "target_revision": 1}, "to: 1 is not from 0 to 0"),
    ],
)
def test_what_can_t_be_done_is_refused_in_words_and_changes_nothing(words, fault):
    stand = VoterFleet()
    stand.edit("e1", 0, a=1)
    with pytest.raises((EditRejected, RuleKeyError, RevisionNotRetained), match=fault):
        stand.request_edit(**({"id": "e2", "base_revision": 1} | words))
    assert stand.processes["v0"].version == 1


def test_a_content_that_a_check_refuses_is_not_decided_and_names_the_key():
    stand = VoterFleet()
    stand.wait(lambda: stand.processes["v0"].status().expected == 2)
    stand.edit("e1", 0, a=1)
    stand.wait(lambda: stand.all_at(1))
    here = stand.request_edit(id="e2", base_revision=1, sections={"p": {"a": 9}})
    assert here == EditFailed("this voter can't take it: rules/p/a: a = 9: no", faulty=True)
    for name in COORDINATORS:
        stand.parts[name].refused = (8,)
    there = stand.request_edit(id="e3", base_revision=1, sections={"p": {"a": 8}})
    assert there == EditFailed("a coordinator can't take it: rules/p/a: a = 8: no", faulty=True)
    assert stand.processes["v0"].version == 1


def test_a_zone_that_does_not_answer_holds_up_no_edit_and_is_named():
    stand = VoterFleet()
    stand.wait(lambda: stand.processes["v0"].status().expected == 2)
    stand.edit("e1", 0, a=1)
    for name in (*RELAYS, *COORDINATORS):
        stand.kill(name)
    done = stand.request_edit(id="e2", base_revision=1, sections={"p": {"a": 2}})
    assert done == EditDone(2, ("z",))


def test_a_coordinator_that_refuses_what_is_decided_is_counted_and_its_key_named():
    stand = VoterFleet()
    stand.wait(lambda: stand.processes["v0"].status().expected == 2)
    stand.edit("e1", 0, a=1)
    stand.wait(lambda: stand.all_at(1))
    stand.kill("c1")
    stand.net.nodes["c1"].restart()
    stand.start("c1", refused=(8,))
    stand.parts["c0"].refused = stand.parts["v0"].refused = ()
    stand.net.cut({"c1"}, set(stand.net.nodes))
    stand.edit("e2", 1, a=8)
    stand.net.heal()
    stand.wait(lambda: stand.processes["c1"].version == 2)
    stand.wait(lambda: stand.processes["v0"].status().fault_count == 1)
    assert [(fault.key, fault.reason) for fault in stand.processes["v0"].refused_keys()] == [("rules/p/a", "a = 8: no")]
    assert stand.parts["c1"].held[-1] == (2, {"a": 1})


def test_undo_brings_back_what_was_and_an_undo_of_an_undo_is_a_redo():
    stand = VoterFleet()
    stand.edit("e1", 0, a=1, b=1)
    stand.edit("e2", 1, a=2, c=3)
    assert stand.request_edit(id="u1", base_revision=2, kind="undo") == EditDone(3, ())
    assert stand.content() == {"p": {"a": 1, "b": 1}}
    assert stand.request_edit(id="u2", base_revision=3, kind="undo").revision == 4
    assert stand.content() == {"p": {"a": 2, "c": 3}}
    assert stand.request_edit(id="u3", base_revision=4, kind="undo", target_revision=0).revision == 5
    assert stand.content() == {}


def test_an_undo_of_an_older_change_is_refused_where_its_keys_changed_since():
    stand = VoterFleet()
    stand.edit("e1", 0, a=1, b=1)
    stand.edit("e2", 1, a=2, b=1)
    stand.edit("e3", 2, a=2, b=3)
    with pytest.raises(EditRejected, match=r"ann's undo .* since then there is revision 2 .*; revision 3 "):
        stand.request_edit(id="u1", base_revision=1, kind="undo")
    assert stand.request_edit(id="u2", base_revision=2, kind="undo").revision == 4
    assert stand.content() == {"p": {"a": 1, "b": 3}}


def test_a_voter_that_was_away_reads_what_the_register_still_has():
    stand = VoterFleet()
    stand.edit("e1", 0, a=1)
    stand.wait(lambda: stand.processes["v2"].version == 1)
    stand.kill("v2")
    stand.edit("e2", 1, a=2)
    stand.restart("v2")
    assert stand.processes["v2"].version == 1
    stand.wait(lambda: stand.processes["v2"].version == 2)
    assert stand.net.nodes["v2"].counts["distribution_catch_ups"] == 0


def catch_up_to_revision_7(stand):
    """v2 is away for so many edits that it takes a snapshot of another voter."""
    stand.edit("e1", 0, a=1)
    stand.wait(lambda: stand.processes["v2"].version == 1)
    stand.kill("v2")
    for number in range(2, 8):
        stand.edit(f"e{number}", number - 1, a=number)
        stand.wait(lambda number=number: stand.processes["v0"].replication.replicated_revision() == number)
    stand.restart("v2")
    stand.wait(lambda: stand.processes["v2"].version == 7)
    assert stand.net.nodes["v2"].counts["distribution_catch_ups"] == 1


def test_a_voter_that_missed_what_the_register_no_longer_has_takes_it_from_another_one():
    stand = VoterFleet()
    catch_up_to_revision_7(stand)
    assert stand.content("v2") == {"p": {"a": 7}} and stand.parts["v2"].held[-1] == (7, {"a": 7})
    with pytest.raises(RevisionNotRetained, match="revision 3 is not kept here: there are 7 to 7"):
        stand.request_edit("v2", "e9", 3, sections={"p": {"a": 9}})
    stand.net.time.run(2 * SECOND)
    assert stand.edit("e8", 7, "v2", a=8) == 8


def test_a_voter_with_a_new_disk_is_let_in_and_has_all_again():
    stand = VoterFleet()
    for number in range(1, 5):
        stand.edit(f"e{number}", number - 1, a=number)
    stand.kill("v1")
    stand.disks["v1"].wipe("new")
    stand.restart("v1")
    stand.wait(lambda: stand.processes["v1"].version == 4, 30)
    assert stand.content("v1") == {"p": {"a": 4}}


def test_where_all_voters_lost_their_disks_others_keep_what_they_have_until_theirs_are_taken_away():
    stand = VoterFleet()
    stand.edit("e1", 0, a=1)
    stand.wait(lambda: stand.all_at(1))
    for name in VOTERS:
        stand.kill(name)
        stand.disks[name].wipe(f"new {name}")
    for name in VOTERS:
        stand.restart(name)
    stand.wait(lambda: all(stand.processes[name].acceptor.state.voting for name in VOTERS), 30)
    stand.edit("e2", 0, a=2)
    stand.edit("e3", 1, a=3)
    stand.net.time.run(30 * SECOND)
    assert all(stand.parts[name].held[-1] == (1, {"a": 1}) for name in COORDINATORS)
    assert stand.processes["v0"].status().in_force == 0
    assert any(stand.net.nodes[name].counts["distribution_other_logs"] for name in (*RELAYS, *COORDINATORS))
    for name in (*RELAYS, *COORDINATORS):
        stand.kill(name)
        if name in COORDINATORS:
            stand.disks[name].wipe(f"new {name}")
        stand.restart(name)
    stand.wait(lambda: stand.all_at(2))
    assert stand.parts["c1"].held[-1] == (2, {"a": 3})


def test_a_change_whose_editor_s_voter_ended_before_it_told_anybody_is_finished_by_the_others():
    stand = VoterFleet()
    stand.edit("e1", 0, a=1)
    stand.wait(lambda: stand.all_at(1))
    node = stand.net.nodes["v0"]
    send = node.send
    node.send = lambda to, kind, body: None if kind == VOTERS_KIND else send(to, kind, body)
    request = EditRequest(kind="edit", author="ann", reason="r", id="e2", base_revision=1, sections={"p": {"a": 2}})
    done = []
    stand.processes["v0"].edit(request, done.append)
    stand.wait(lambda: bool(done))
    stand.kill("v0")
    others = [stand.processes[name] for name in VOTERS[1:]]
    stand.wait(lambda: all(process.version == 2 for process in others))


def test_without_a_majority_nothing_is_decided_and_the_answer_says_who_is_silent():
    stand = VoterFleet()
    stand.edit("e0", 0, a=0)
    stand.kill("v1")
    stand.kill("v2")
    failed = stand.request_edit(id="e1", base_revision=1, sections={"p": {"a": 1}})
    assert isinstance(failed, EditFailed) and not failed.faulty and "no answer from v1, v2" in failed.reason
    assert stand.processes["v0"].version == 1


def test_relays_leave_a_voter_that_the_other_voters_no_longer_reach():
    """It is up and answers; only that nothing newer can reach it tells it apart from one in a quiet fleet."""
    stand = VoterFleet()
    stand.edit("e1", 0, a=1)
    stand.wait(lambda: stand.all_at(1))
    cut_off = stand.processes["r0"].upstream
    others = set(VOTERS) - {cut_off}
    stand.net.cut({cut_off}, others)
    stand.edit("e2", 1, voter=min(others), a=2)
    stand.wait(lambda: all(stand.processes[name].version == 2 for name in COORDINATORS))
    stand.wait(lambda: all(stand.processes[name].upstream in others for name in RELAYS))
    assert stand.processes[cut_off].version == 1


def test_a_voter_alone_is_fresh_only_by_the_word_of_a_majority():
    stand = VoterFleet()
    stand.edit("e1", 0, a=1)
    stand.wait(lambda: stand.all_at(1))
    replication = stand.processes["v0"].replication
    stand.net.time.run(3 * SECOND)
    assert replication.confirmed_age() <= 2 * SECOND
    stand.net.cut({"v0"}, {"v1", "v2"})
    stand.net.time.run(10 * SECOND)
    assert replication.confirmed_age() >= 9 * SECOND
    stand.net.heal()
    stand.wait(lambda: replication.confirmed_age() <= SECOND, 3)


def test_lost_and_doubled_mail_loses_no_change_and_no_revision_goes_back():
    stand = VoterFleet(seed=11)
    stand.net.lose = stand.net.double = 0.15
    for number in range(1, 13):
        stand.edit(f"e{number}", number - 1, VOTERS[number % 3], a=10 + number)
        wanted = VOTERS[(number + 1) % 3]
        stand.wait(lambda wanted=wanted, number=number: stand.processes[wanted].version == number, 30)
    stand.wait(lambda: stand.all_at(12), 30)
    for name in COORDINATORS:
        versions = [version for version, _ in stand.parts[name].held]
        assert versions == sorted(versions) and stand.parts[name].held[-1] == (12, {"a": 22})


def test_the_disk_of_a_voter_of_another_set_is_refused():
    stand = VoterFleet()
    stand.kill("v0")
    stand.net.nodes["v0"].restart()
    with pytest.raises(ValueError, match="a set of keepers can't be changed in place"):
        Voter(stand.net.nodes["v0"].fleet(), Identity(name="v0", generation=2), ("v0",), stand.disks["v0"], Limits())


def test_two_registers_of_one_process_know_nothing_of_one_another():
    net = Net(["a"])
    disk, fleet = MemoryDisk(net.nodes["a"].later, "d"), net.nodes["a"].fleet()
    proposers, values = [], []
    for register in ("register", "second"):
        keeper = AcceptorShell(fleet, ("a",), disk, 1, register)
        proposers.append(Proposer(fleet, ("a",), 1, keeper, register))
        proposers[-1].start()
        keeper.start()
    net.time.run(SECOND)
    proposers[0].change(lambda value: (b"first", None), lambda outcome: None, SECOND)
    net.time.run(SECOND)
    proposers[1].read(lambda outcome: values.append((outcome.kind, outcome.value)), SECOND)
    net.time.run(SECOND)
    assert values == [("done", None)]
    assert disk.get("register/voter") != disk.get("second/voter") is not None


# ---- the history


def change(revision, **values):
    return Change(revision, tuple(Entry(key, value, revision) for key, value in values.items()), f"e{revision}")


def test_the_history_is_bounded_outlives_a_restart_and_ends_at_a_gap():
    net = Net(["a"])
    disk = MemoryDisk(net.nodes["a"].later, "d")
    history, held = History(disk, 0), {}
    for revision in range(1, MOST_CHANGES + 11):
        one = change(revision, k=encode_value(revision))
        disk.write(history.add(one, held), lambda: None)
        held = {entry.key: entry for entry in one.entries}
    newest = MOST_CHANGES + 10
    assert (history.oldest, history.newest) == (10, newest)
    again = History(disk, newest)
    assert (again.oldest, again.by_id("e266").change.revision) == (10, 266)
    assert again.since(newest - 1)[0].before == {"k": encode_value(newest - 1)}
    assert len(list(disk.scan("distribution/history/"))) == MOST_CHANGES
    disk.write({"distribution/history/0000000000000200": None}, lambda: None)
    broken = History(disk, newest)
    assert broken.oldest == 200
    with pytest.raises(RevisionNotRetained):
        broken.since(199)
    disk.write(broken.add(change(newest + 1, k=b""), {}), lambda: None)
    assert len(list(disk.scan("distribution/history/"))) == newest + 1 - 200
    disk.write({"distribution/history/0000000000000270": b"\xc1"}, lambda: None)
    damaged = History(disk, newest + 1)
    assert damaged.damage and damaged.oldest == damaged.newest == newest + 1
    assert len(list(disk.scan("distribution/history/"))) > 1  # so that their absence below says something
    disk.write(damaged.begin_anew(400), lambda: None)
    net.time.run(MS)
    assert not list(disk.scan("distribution/history/")) and damaged.oldest == 400


def test_a_voter_undoes_an_edit_that_was_decided_before_its_own_restart():
    stand = VoterFleet()
    stand.edit("e1", 0, a=1)
    stand.edit("e2", 1, a=2)
    stand.wait(lambda: stand.all_at(2))
    stand.kill("v0")
    stand.restart("v0")
    assert isinstance(stand.request_edit("v0", "u1", base_revision=2, kind="undo", target_revision=1), EditDone)
    assert stand.content() == {"p": {"a": 1}}


# Guards against a voter that stores its history of changes where no restart finds it: an edit sent again is rejected.
@pytest.mark.parametrize("restarted", [("v0",), VOTERS], ids=["one", "all"])
@pytest.mark.parametrize("seed", range(1, 7))
def test_repeated_and_conflicting_edits_and_undo_are_answered_alike_after_restarts(seed, restarted):
    stand = VoterFleet(seed)
    for revision in range(1, 6):
        stand.edit(f"e{revision}", revision - 1, VOTERS[revision % 3], a=revision, b=1)
        stand.wait(lambda revision=revision: stand.all_at(revision))
    for name in restarted:
        stand.kill(name)
    for name in restarted:
        stand.restart(name)
    stand.wait(lambda: all(stand.processes[name].acceptor.state.voting for name in VOTERS))
    for revision in range(1, 6):
        assert stand.edit(f"e{revision}", revision - 1, "v0", a=revision, b=1) == revision
    with pytest.raises(EditRejected, match=r"since then there is revision 3 .*; revision 4 .*; revision 5 "):
        stand.request_edit("v0", "late", base_revision=2, sections={"p": {"a": 7}})
    undone = stand.request_edit("v0", "undo", base_revision=5, kind="undo", target_revision=2)
    assert undone == EditDone(6, ())
    assert stand.content() == {"p": {"a": 2, "b": 1}}
    stand.wait(lambda: stand.all_at(6))


# Guards against a lost history after a catch-up from another voter: it begins anew and is stored from there on.
def test_a_voter_that_caught_up_by_a_snapshot_keeps_its_new_history_over_a_restart():
    stand = VoterFleet()
    catch_up_to_revision_7(stand)
    assert not list(stand.disks["v2"].scan("distribution/history/")), "of before the snapshot nothing is known"
    stand.net.time.run(2 * SECOND)
    stand.edit("e8", 7, "v2", a=8)
    stand.kill("v2")
    stand.restart("v2")
    assert [key for key, _ in stand.disks["v2"].scan("distribution/history/")] == [f"distribution/history/{8:016d}"]
    assert stand.request_edit("v2", "u1", base_revision=8, kind="undo") == EditDone(9, ())
    assert stand.content("v2") == {"p": {"a": 7}}
