"""Voters in the simulated faulty fleet: edits, checks, conflicts, undo, catch-up, and two registers on one disk."""

import pytest

from rackhub.fleet.distribution.coordinator import Coordinator
from rackhub.fleet.distribution.decisions import EditRejected
from rackhub.fleet.distribution.editing import EditRequest
from rackhub.fleet.distribution.editor import EditDone, EditFailed
from rackhub.fleet.distribution.events import Node, Role
from rackhub.fleet.distribution.history import MAX_CHANGES, History, RevisionNotRetained
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


class RecordingSection:
    """Rejects the given values and records what is applied."""

    def __init__(self, rejected=(9,)):
        self.rejected, self.apply_calls = rejected, []

    def check(self, section):
        bad = [f"{name} = {value!r}: no" for name, value in (section or {}).items() if value in self.rejected]
        if bad:
            raise ValueError("; ".join(bad))

    def apply(self, section, version):
        self.apply_calls.append((version, section))


class VoterFleet:
    """Three voters, two relays and two coordinators of one zone. Each may be killed and restarted."""

    def __init__(self, seed=3, relays=RELAYS, coordinators=COORDINATORS):
        self.net = Net([*VOTERS, *RELAYS, *COORDINATORS], seed)
        self.disks = {name: MemoryDisk(self.net.nodes[name].later, name) for name in (*VOTERS, *COORDINATORS)}
        self.processes, self.recorders = {}, {}
        for name in (*VOTERS, *relays, *coordinators):
            self.start(name)
        self.wait(lambda: all(self.processes[name].acceptor.state.voting for name in VOTERS))

    def start(self, name, rejected=(9,)):
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
            self.recorders[name] = RecordingSection(rejected)
            process.add_section("p", self.recorders[name])
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
        """Make an edit, wait for its result and return it."""
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


def test_an_edit_is_applied_everywhere_and_the_voter_knows():
    test_bed = VoterFleet()
    test_bed.wait(lambda: test_bed.processes["v0"].status().expected == 2)
    assert test_bed.edit("e1", 0, a=1, b=2) == 1
    test_bed.wait(lambda: test_bed.processes["v0"].status().in_force == 2)
    test_bed.wait(lambda: test_bed.all_at(1))
    assert test_bed.edit("e2", 1, "v1", a=1, b=3) == 2
    test_bed.wait(lambda: test_bed.all_at(2))
    assert all(section.apply_calls[-1] == (2, {"a": 1, "b": 3}) for section in test_bed.recorders.values())
    test_bed.wait(lambda: test_bed.processes["v2"].replication.replicated_revision() == 2)
    assert test_bed.processes["v2"].metrics()["distribution_replicated"] == 2


def test_a_fleet_without_changes_has_applied_revision_0_everywhere():
    test_bed = VoterFleet()
    test_bed.wait(lambda: test_bed.processes["v0"].status().expected == 2)
    test_bed.wait(lambda: test_bed.processes["v0"].status().in_force == 2)
    test_bed.wait(lambda: all(test_bed.processes[name].upstream in RELAYS for name in COORDINATORS))
    assert len({test_bed.processes[name].learner.log for name in VOTERS}) == 1
    test_bed.kill("v0")
    test_bed.restart("v0")
    assert test_bed.processes["v0"].learner.log == test_bed.processes["v1"].learner.log


def test_a_repeated_edit_is_decided_only_once_at_any_voter():
    test_bed = VoterFleet()
    assert test_bed.edit("e1", 0, a=1) == test_bed.edit("e1", 0, a=1) == 1
    assert test_bed.edit("e1", 0, "v2", a=1) == 1
    with pytest.raises(EditRejected, match="id 'e1' was used by ann: revision 1"):
        test_bed.request_edit(id="e1", base_revision=1, author="bob", sections={"p": {"a": 2}})


def test_an_edit_conflicts_only_with_unseen_changes_of_the_same_section():
    test_bed = VoterFleet()
    for name in (*VOTERS, *COORDINATORS):
        test_bed.processes[name].add_section("q", RecordingSection())
    test_bed.edit("e1", 0, a=1)
    with pytest.raises(
        EditRejected, match=r"ann's edit .* builds on revision 0; since then there is revision 1 by ann"
    ):
        test_bed.request_edit(id="e2", base_revision=0, sections={"p": {"a": 2}})
    assert isinstance(test_bed.request_edit(id="e3", base_revision=0, sections={"q": {"x": 1}}), EditDone)
    assert test_bed.content() == {"p": {"a": 1}, "q": {"x": 1}}


def test_of_concurrent_conflicting_edits_at_several_voters_one_is_decided():
    test_bed = VoterFleet()
    results = []
    for number, voter in enumerate(VOTERS):
        request = EditRequest(
            kind="edit", author="a", reason="r", id=f"e{number}", base_revision=0, sections={"p": {"a": number}}
        )
        test_bed.processes[voter].edit(request, results.append)
    test_bed.wait(lambda: len(results) == 3, 30)
    done = [result for result in results if isinstance(result, EditDone)]
    rejected = [result for result in results if isinstance(result, EditFailed)]
    assert len(done) == 1 and len(rejected) == 2 and all("since then there is revision 1" in r.reason for r in rejected)
    test_bed.wait(lambda: test_bed.all_at(1))


@pytest.mark.parametrize(
    "arguments, fault",
    [
        ({"sections": {"p": {"a": 1}}}, "it changes nothing"),
        ({"base_revision": 7, "sections": {"p": {"a": 2}}}, "there is no revision 7 yet"),
        ({"author": "", "sections": {"p": {"a": 2}}}, "author: '' is empty"),
        ({"sections": {"p": {"x": "y" * 20_000}}}, "rules/p/x: its value has 20003 bytes"),
        ({"sections": {"p": {"k" * 300: 1}}}, "rules/p/kkk.*the key has 308 bytes"),
        ({"kind": "undo", "target_revision": 1}, "to: 1 is not between 0 and 0"),
    ],
)
def test_an_invalid_request_is_rejected_with_a_reason_and_changes_nothing(arguments, fault):
    test_bed = VoterFleet()
    test_bed.edit("e1", 0, a=1)
    with pytest.raises((EditRejected, RuleKeyError, RevisionNotRetained), match=fault):
        test_bed.request_edit(**({"id": "e2", "base_revision": 1} | arguments))
    assert test_bed.processes["v0"].version == 1


def test_an_edit_rejected_by_a_check_is_not_decided_and_the_key_is_named():
    test_bed = VoterFleet()
    test_bed.wait(lambda: test_bed.processes["v0"].status().expected == 2)
    test_bed.edit("e1", 0, a=1)
    test_bed.wait(lambda: test_bed.all_at(1))
    here = test_bed.request_edit(id="e2", base_revision=1, sections={"p": {"a": 9}})
    assert here == EditFailed("this voter rejects the edit: rules/p/a: a = 9: no", invalid=True)
    for name in COORDINATORS:
        test_bed.recorders[name].rejected = (8,)
    there = test_bed.request_edit(id="e3", base_revision=1, sections={"p": {"a": 8}})
    assert there == EditFailed("a coordinator rejects the edit: rules/p/a: a = 8: no", invalid=True)
    assert test_bed.processes["v0"].version == 1


def test_a_zone_that_does_not_answer_blocks_no_edit_and_is_named():
    test_bed = VoterFleet()
    test_bed.wait(lambda: test_bed.processes["v0"].status().expected == 2)
    test_bed.edit("e1", 0, a=1)
    for name in (*RELAYS, *COORDINATORS):
        test_bed.kill(name)
    done = test_bed.request_edit(id="e2", base_revision=1, sections={"p": {"a": 2}})
    assert done == EditDone(2, ("z",))


def test_a_coordinator_that_rejects_a_decided_key_is_counted_and_the_key_named():
    test_bed = VoterFleet()
    test_bed.wait(lambda: test_bed.processes["v0"].status().expected == 2)
    test_bed.edit("e1", 0, a=1)
    test_bed.wait(lambda: test_bed.all_at(1))
    test_bed.kill("c1")
    test_bed.net.nodes["c1"].restart()
    test_bed.start("c1", rejected=(8,))
    test_bed.recorders["c0"].rejected = test_bed.recorders["v0"].rejected = ()
    test_bed.net.cut({"c1"}, set(test_bed.net.nodes))
    test_bed.edit("e2", 1, a=8)
    test_bed.net.heal()
    test_bed.wait(lambda: test_bed.processes["c1"].version == 2)
    test_bed.wait(lambda: test_bed.processes["v0"].status().fault_count == 1)
    assert [(fault.key, fault.reason) for fault in test_bed.processes["v0"].rejected_keys()] == [
        ("rules/p/a", "a = 8: no")
    ]
    assert test_bed.recorders["c1"].apply_calls[-1] == (2, {"a": 1})


def test_undo_restores_the_values_and_undo_of_an_undo_is_a_redo():
    test_bed = VoterFleet()
    test_bed.edit("e1", 0, a=1, b=1)
    test_bed.edit("e2", 1, a=2, c=3)
    assert test_bed.request_edit(id="u1", base_revision=2, kind="undo") == EditDone(3, ())
    assert test_bed.content() == {"p": {"a": 1, "b": 1}}
    assert test_bed.request_edit(id="u2", base_revision=3, kind="undo").revision == 4
    assert test_bed.content() == {"p": {"a": 2, "c": 3}}
    assert test_bed.request_edit(id="u3", base_revision=4, kind="undo", target_revision=0).revision == 5
    assert test_bed.content() == {}


def test_undo_of_an_older_change_is_rejected_if_its_keys_changed_since():
    test_bed = VoterFleet()
    test_bed.edit("e1", 0, a=1, b=1)
    test_bed.edit("e2", 1, a=2, b=1)
    test_bed.edit("e3", 2, a=2, b=3)
    with pytest.raises(EditRejected, match=r"ann's undo .* since then there is revision 2 .*; revision 3 "):
        test_bed.request_edit(id="u1", base_revision=1, kind="undo")
    assert test_bed.request_edit(id="u2", base_revision=2, kind="undo").revision == 4
    assert test_bed.content() == {"p": {"a": 1, "b": 3}}


def test_a_restarted_voter_learns_changes_that_are_still_in_the_register():
    test_bed = VoterFleet()
    test_bed.edit("e1", 0, a=1)
    test_bed.wait(lambda: test_bed.processes["v2"].version == 1)
    test_bed.kill("v2")
    test_bed.edit("e2", 1, a=2)
    test_bed.restart("v2")
    assert test_bed.processes["v2"].version == 1
    test_bed.wait(lambda: test_bed.processes["v2"].version == 2)
    assert test_bed.net.nodes["v2"].counts["distribution_catch_ups"] == 0


def catch_up_to_revision_7(test_bed):
    """Keep v2 away for so many edits that it has to fetch a snapshot from another voter."""
    test_bed.edit("e1", 0, a=1)
    test_bed.wait(lambda: test_bed.processes["v2"].version == 1)
    test_bed.kill("v2")
    for number in range(2, 8):
        test_bed.edit(f"e{number}", number - 1, a=number)
        test_bed.wait(lambda number=number: test_bed.processes["v0"].replication.replicated_revision() == number)
    test_bed.restart("v2")
    test_bed.wait(lambda: test_bed.processes["v2"].version == 7)
    assert test_bed.net.nodes["v2"].counts["distribution_catch_ups"] == 1


def test_a_voter_fetches_changes_that_left_the_register_from_another_voter():
    test_bed = VoterFleet()
    catch_up_to_revision_7(test_bed)
    assert test_bed.content("v2") == {"p": {"a": 7}} and test_bed.recorders["v2"].apply_calls[-1] == (7, {"a": 7})
    with pytest.raises(RevisionNotRetained, match="revision 3 is not stored on this voter, which has revisions 7 to 7"):
        test_bed.request_edit("v2", "e9", 3, sections={"p": {"a": 9}})
    test_bed.net.time.run(2 * SECOND)
    assert test_bed.edit("e8", 7, "v2", a=8) == 8


def test_a_voter_with_a_new_disk_is_admitted_and_catches_up():
    test_bed = VoterFleet()
    for number in range(1, 5):
        test_bed.edit(f"e{number}", number - 1, a=number)
    test_bed.kill("v1")
    test_bed.disks["v1"].wipe("new")
    test_bed.restart("v1")
    test_bed.wait(lambda: test_bed.processes["v1"].version == 4, 30)
    assert test_bed.content("v1") == {"p": {"a": 4}}


def test_after_all_voters_lost_their_disks_coordinators_keep_theirs_until_wiped():
    test_bed = VoterFleet()
    test_bed.edit("e1", 0, a=1)
    test_bed.wait(lambda: test_bed.all_at(1))
    for name in VOTERS:
        test_bed.kill(name)
        test_bed.disks[name].wipe(f"new {name}")
    for name in VOTERS:
        test_bed.restart(name)
    test_bed.wait(lambda: all(test_bed.processes[name].acceptor.state.voting for name in VOTERS), 30)
    test_bed.edit("e2", 0, a=2)
    test_bed.edit("e3", 1, a=3)
    test_bed.net.time.run(30 * SECOND)
    assert all(test_bed.recorders[name].apply_calls[-1] == (1, {"a": 1}) for name in COORDINATORS)
    assert test_bed.processes["v0"].status().in_force == 0
    assert any(test_bed.net.nodes[name].counts["distribution_other_logs"] for name in (*RELAYS, *COORDINATORS))
    for name in (*RELAYS, *COORDINATORS):
        test_bed.kill(name)
        if name in COORDINATORS:
            test_bed.disks[name].wipe(f"new {name}")
        test_bed.restart(name)
    test_bed.wait(lambda: test_bed.all_at(2))
    assert test_bed.recorders["c1"].apply_calls[-1] == (2, {"a": 3})


def test_an_unannounced_change_of_a_voter_that_ended_is_finished_by_the_others():
    test_bed = VoterFleet()
    test_bed.edit("e1", 0, a=1)
    test_bed.wait(lambda: test_bed.all_at(1))
    node = test_bed.net.nodes["v0"]
    send = node.send
    node.send = lambda to, kind, body: None if kind == VOTERS_KIND else send(to, kind, body)
    request = EditRequest(kind="edit", author="ann", reason="r", id="e2", base_revision=1, sections={"p": {"a": 2}})
    done = []
    test_bed.processes["v0"].edit(request, done.append)
    test_bed.wait(lambda: bool(done))
    test_bed.kill("v0")
    others = [test_bed.processes[name] for name in VOTERS[1:]]
    test_bed.wait(lambda: all(process.version == 2 for process in others))


def test_without_a_majority_nothing_is_decided_and_unresponsive_voters_are_named():
    test_bed = VoterFleet()
    test_bed.edit("e0", 0, a=0)
    test_bed.kill("v1")
    test_bed.kill("v2")
    failed = test_bed.request_edit(id="e1", base_revision=1, sections={"p": {"a": 1}})
    assert isinstance(failed, EditFailed) and not failed.invalid and "no answer from v1, v2" in failed.reason
    assert test_bed.processes["v0"].version == 1


def test_relays_leave_a_voter_that_the_other_voters_no_longer_reach():
    """A voter that is cut off from the others still answers, like one of an idle fleet. Its heartbeats must differ."""
    test_bed = VoterFleet()
    test_bed.edit("e1", 0, a=1)
    test_bed.wait(lambda: test_bed.all_at(1))
    cut_off = test_bed.processes["r0"].upstream
    others = set(VOTERS) - {cut_off}
    test_bed.net.cut({cut_off}, others)
    test_bed.edit("e2", 1, voter=min(others), a=2)
    test_bed.wait(lambda: all(test_bed.processes[name].version == 2 for name in COORDINATORS))
    test_bed.wait(lambda: all(test_bed.processes[name].upstream in others for name in RELAYS))
    assert test_bed.processes[cut_off].version == 1


def test_an_isolated_voter_is_not_confirmed_as_up_to_date():
    test_bed = VoterFleet()
    test_bed.edit("e1", 0, a=1)
    test_bed.wait(lambda: test_bed.all_at(1))
    replication = test_bed.processes["v0"].replication
    test_bed.net.time.run(3 * SECOND)
    assert replication.confirmed_age() <= 2 * SECOND
    test_bed.net.cut({"v0"}, {"v1", "v2"})
    test_bed.net.time.run(10 * SECOND)
    assert replication.confirmed_age() >= 9 * SECOND
    test_bed.net.heal()
    test_bed.wait(lambda: replication.confirmed_age() <= SECOND, 3)


def test_lost_and_duplicate_messages_lose_no_change_and_lower_no_revision():
    test_bed = VoterFleet(seed=11)
    test_bed.net.lose = test_bed.net.double = 0.15
    for number in range(1, 13):
        test_bed.edit(f"e{number}", number - 1, VOTERS[number % 3], a=10 + number)
        wanted = VOTERS[(number + 1) % 3]
        test_bed.wait(lambda wanted=wanted, number=number: test_bed.processes[wanted].version == number, 30)
    test_bed.wait(lambda: test_bed.all_at(12), 30)
    for name in COORDINATORS:
        versions = [version for version, _ in test_bed.recorders[name].apply_calls]
        assert versions == sorted(versions) and test_bed.recorders[name].apply_calls[-1] == (12, {"a": 22})


def test_the_disk_of_a_voter_of_another_set_is_rejected():
    test_bed = VoterFleet()
    test_bed.kill("v0")
    test_bed.net.nodes["v0"].restart()
    with pytest.raises(ValueError, match="the set of keepers can't be changed in place"):
        Voter(
            test_bed.net.nodes["v0"].fleet(), Identity(name="v0", generation=2), ("v0",), test_bed.disks["v0"], Limits()
        )


def test_two_registers_of_one_process_are_independent():
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


def test_the_history_is_limited_survives_a_restart_and_ends_at_a_gap():
    net = Net(["a"])
    disk = MemoryDisk(net.nodes["a"].later, "d")
    history, held = History(disk, 0), {}
    for revision in range(1, MAX_CHANGES + 11):
        one = change(revision, k=encode_value(revision))
        disk.write(history.add(one, held), lambda: None)
        held = {entry.key: entry for entry in one.entries}
    newest = MAX_CHANGES + 10
    assert (history.oldest, history.newest) == (10, newest)
    again = History(disk, newest)
    assert (again.oldest, again.by_id("e266").change.revision) == (10, 266)
    assert again.since(newest - 1)[0].previous_values == {"k": encode_value(newest - 1)}
    assert len(list(disk.scan("distribution/history/"))) == MAX_CHANGES
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
    assert len(list(disk.scan("distribution/history/"))) > 1  # makes sure that their absence below means something
    disk.write(damaged.reset(400), lambda: None)
    net.time.run(MS)
    assert not list(disk.scan("distribution/history/")) and damaged.oldest == 400


def test_a_voter_undoes_an_edit_that_was_decided_before_its_own_restart():
    test_bed = VoterFleet()
    test_bed.edit("e1", 0, a=1)
    test_bed.edit("e2", 1, a=2)
    test_bed.wait(lambda: test_bed.all_at(2))
    test_bed.kill("v0")
    test_bed.restart("v0")
    assert isinstance(test_bed.request_edit("v0", "u1", base_revision=2, kind="undo", target_revision=1), EditDone)
    assert test_bed.content() == {"p": {"a": 1}}


# Guards against a voter whose stored history is not found after a restart, so that a repeated edit is rejected.
@pytest.mark.parametrize("restarted", [("v0",), VOTERS], ids=["one", "all"])
@pytest.mark.parametrize("seed", range(1, 7))
def test_repeated_and_conflicting_edits_and_undo_are_answered_alike_after_restarts(seed, restarted):
    test_bed = VoterFleet(seed)
    for revision in range(1, 6):
        test_bed.edit(f"e{revision}", revision - 1, VOTERS[revision % 3], a=revision, b=1)
        test_bed.wait(lambda revision=revision: test_bed.all_at(revision))
    for name in restarted:
        test_bed.kill(name)
    for name in restarted:
        test_bed.restart(name)
    test_bed.wait(lambda: all(test_bed.processes[name].acceptor.state.voting for name in VOTERS))
    for revision in range(1, 6):
        assert test_bed.edit(f"e{revision}", revision - 1, "v0", a=revision, b=1) == revision
    with pytest.raises(EditRejected, match=r"since then there is revision 3 .*; revision 4 .*; revision 5 "):
        test_bed.request_edit("v0", "late", base_revision=2, sections={"p": {"a": 7}})
    undone = test_bed.request_edit("v0", "undo", base_revision=5, kind="undo", target_revision=2)
    assert undone == EditDone(6, ())
    assert test_bed.content() == {"p": {"a": 2, "b": 1}}
    test_bed.wait(lambda: test_bed.all_at(6))


# Guards against a history that is lost after a catch-up from another voter instead of being stored from there on.
def test_a_voter_that_caught_up_by_a_snapshot_keeps_its_new_history_over_a_restart():
    test_bed = VoterFleet()
    catch_up_to_revision_7(test_bed)
    assert not list(test_bed.disks["v2"].scan("distribution/history/")), (
        "the changes before the snapshot are not stored"
    )
    test_bed.net.time.run(2 * SECOND)
    test_bed.edit("e8", 7, "v2", a=8)
    test_bed.kill("v2")
    test_bed.restart("v2")
    assert [key for key, _ in test_bed.disks["v2"].scan("distribution/history/")] == [f"distribution/history/{8:016d}"]
    assert test_bed.request_edit("v2", "u1", base_revision=8, kind="undo") == EditDone(9, ())
    assert test_bed.content("v2") == {"p": {"a": 7}}
