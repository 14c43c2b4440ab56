"""A voter's disk on the faulty files: kills at every step of its writes, and disks that fail for a while."""

from types import SimpleNamespace

import msgspec
import pytest
from twisted.internet.task import Clock

from rackhub.fleet.distribution import history as history_module
from rackhub.fleet.distribution.catching_up import CatchUp
from rackhub.fleet.distribution.editing import EditRequest, plan
from rackhub.fleet.distribution.events import Apply, Persist, Persisted
from rackhub.fleet.distribution.history import History, RevisionNotRetained
from rackhub.fleet.distribution.learning import Learner
from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import Change, Entry
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.rules import encode_value
from rackhub.fleet.distribution.store import StateStore
from rackhub.fleet.register.disk import StoreDisk
from rackhub.store.memory_files import MemoryFiles, PowerCut

LOG = "log"
MOST_CHANGES = 3  # kept in these tests, so that a few changes trim the history
SNAPSHOT_REVISION = 8
LAST_REVISION = 12
CUTS_PER_STEP = 4  # of what a power cut may leave, each drawn anew
NO_SPACE = OSError(28, "No space left on device")
IO_ERROR = OSError(5, "Input/output error")


class VoterDisk:
    """What a voter holds on its disk, with the pieces that read and write it; no network."""

    def __init__(self, files):
        self.reactor, self.files, self.counts = Clock(), files, []
        self.disk = StoreDisk(self.reactor, "memory", files=files)
        self.store = StateStore(self.disk, ("",), lambda name, by: self.counts.append(name))
        self.history = History(self.disk, self.store.held.revision)
        self.decided, self.gaps = [], []
        self.learner = Learner(
            self.store, self.history, lambda begun: None, self.decided.append, self.gaps.append, lambda name, by: None
        )
        inbox = SimpleNamespace(route=lambda kinds, receive: None)
        identity, fleet = Identity(name="v0"), SimpleNamespace()
        self.catch_up = CatchUp(
            fleet, identity, inbox, self.store, self.history, self.learner, Limits(), lambda taken, before: None
        )
        self.run_iterations()

    def run_iterations(self, seconds=0.0):
        self.reactor.pump([seconds] + [0.0] * 8)

    def handed(self, event, apply):
        """The watcher's part: what is persisted is applied next."""
        if isinstance(event, Persisted):
            self.catch_up._perform(apply)

    def take(self, revision):
        """The change or snapshot that leads to this revision."""
        if revision != SNAPSHOT_REVISION:
            self.learner.learn(LOG, (change(revision),))
        else:
            entries = tuple(Entry(key, value, revision) for key, value in content(revision).items())
            apply = Apply(LOG, revision, entries, True)
            self.catch_up._runner = SimpleNamespace(stop=lambda: None, dispatch=lambda event: self.handed(event, apply))
            self.catch_up._perform(Persist(LOG, revision, entries, True))
        self.run_iterations()


def values(revision):
    """Of each key after that change; key `k0` is deleted by every third change."""
    return {
        "rules/p/k0": None if revision % 3 == 0 else encode_value(revision),
        f"rules/p/k{revision % 4}": b"%d" % revision,
    }


def change(revision):
    entries = tuple(Entry(key, value, revision) for key, value in values(revision).items())
    return Change(revision, entries, f"e{revision}", "ann", "r")


def content(revision):
    """All keys with their values at a revision."""
    found = {}
    for earlier in range(1, revision + 1):
        found |= values(earlier)
    return {key: value for key, value in found.items() if value is not None}


def oldest(revision):
    """The earliest revision that the history reaches back to when that one is the newest."""
    begun = SNAPSHOT_REVISION if revision >= SNAPSHOT_REVISION else 0
    return max(begun, revision - MOST_CHANGES)


def check(here, least):
    """All that a restart must find: a revision not before `least`, its values, and an undo to each kept revision."""
    newest = here.store.held.revision
    assert newest >= least, "a revision that was acknowledged is gone"
    assert {key: entry.value for key, entry in here.store.held.entries.items()} == content(newest)
    assert (here.history.oldest, here.history.newest) == (oldest(newest), newest)
    for to in range(oldest(newest), newest):
        request = EditRequest(kind="undo", author="ann", reason="r", id="u", base_revision=newest, target_revision=to)
        undone = content(newest) | (
            plan(request, content(newest), here.history) if content(newest) != content(to) else {}
        )
        assert {key: value for key, value in undone.items() if value is not None} == content(to)
    if oldest(newest):
        with pytest.raises(RevisionNotRetained):
            here.history.since(oldest(newest) - 1)
    stored = {key for key, _ in here.disk.scan("distribution/history/")}
    assert len(stored) == newest - oldest(newest), "records of the history stay that nothing leads to"
    assert not here.counts and not here.history.damage


@pytest.fixture(autouse=True)
def short_history(monkeypatch):
    monkeypatch.setattr(history_module, "MOST_CHANGES", MOST_CHANGES)


def fault_free_steps():
    here = VoterDisk(MemoryFiles())
    begun = here.files.steps
    for revision in range(1, LAST_REVISION + 1):
        here.take(revision)
    check(VoterDisk(here.files.copy()), LAST_REVISION)
    return begun, here.files.steps


# Guards against a history that does not match what is held after a kill: in a write, a trim, or at a snapshot.
@pytest.mark.parametrize("seed", range(4))
def test_after_a_power_cut_at_any_step_the_history_undoes_to_every_kept_revision(seed):
    begun, ended = fault_free_steps()
    seen = set()
    for step in range(begun + 1, ended + 1):
        here = VoterDisk(MemoryFiles(seed))
        here.files.fault, here.files.fail_at = PowerCut(), step
        try:
            for revision in range(1, LAST_REVISION + 1):
                here.take(revision)
        except PowerCut:
            pass
        for draw in range(CUTS_PER_STEP):
            again = VoterDisk(here.files.after_power_cut(f"{seed} {step} {draw}"))
            check(again, here.learner.synced)
            seen.add(again.store.held.revision)
            for revision in range(again.store.held.revision + 1, LAST_REVISION + 1):
                again.take(revision)
            check(VoterDisk(again.files.copy()), LAST_REVISION)
    assert seen >= set(range(LAST_REVISION)), "each revision is the newest after some cut"


# Guards against changes that a failing disk refuses and that are never written, so that a later one leaves a gap.
@pytest.mark.parametrize("fault", [NO_SPACE, IO_ERROR], ids=["ENOSPC", "EIO"])
@pytest.mark.parametrize("first, changes", [(1, 1), (2, 3), (4, 5), (7, 2), (8, 1), (10, 3)])
def test_changes_taken_while_the_disk_fails_are_all_there_once_it_is_back(first, changes, fault):
    here = VoterDisk(MemoryFiles())
    for revision in range(1, first):
        here.take(revision)
    here.files.fault, here.files.fail_at, here.files.keep_failing = fault, here.files.steps + 1, True
    for revision in range(first, first + changes):
        here.take(revision)
        assert here.learner.synced == first - 1, "nothing is acknowledged that is not on the disk"
    here.run_iterations(1.5)  # a retry fails too
    assert VoterDisk(here.files.copy()).store.held.revision in range(first - 1, first + changes)
    here.files.fail_at = 0
    for _ in range(4):
        here.run_iterations(4)
    assert here.learner.synced == first + changes - 1, "what was taken on is acknowledged when the disk is back"
    check(VoterDisk(here.files.after_power_cut(1)), first + changes - 1)
    for revision in range(first + changes, LAST_REVISION + 1):
        here.take(revision)
    decided = [one.revision for event in here.decided for one in event.changes]
    assert decided == [revision for revision in range(1, LAST_REVISION + 1) if revision != SNAPSHOT_REVISION]
    check(VoterDisk(here.files.after_power_cut(2)), LAST_REVISION)


# Guards against reads that miss what waits for a failed disk.
def test_what_waits_for_a_failed_disk_is_read_as_written_last():
    here = VoterDisk(MemoryFiles())
    here.disk.write({"a/1": b"1", "a/2": b"2"}, lambda: None)
    here.run_iterations()
    here.files.fault, here.files.fail_at, here.files.keep_failing = NO_SPACE, here.files.steps + 1, True
    done = []
    for number in range(3, 6):
        here.disk.write({f"a/{number}": b"%d" % number, "a/1": None}, lambda number=number: done.append(number))
        here.run_iterations()
    here.disk.put("a/2", b"new", lambda: done.append("put"))
    expected = [("a/2", b"new"), ("a/3", b"3"), ("a/4", b"4"), ("a/5", b"5")]
    assert list(here.disk.scan("a/")) == expected
    assert here.disk.get("a/1") is None and here.disk.get("a/2") == b"new" and here.disk.get("a/5") == b"5"
    assert not done
    here.files.fail_at = 0
    for _ in range(4):
        here.run_iterations(4)
    assert done == [3, 4, 5, "put"] and list(here.disk.scan("a/")) == expected
    assert list(StoreDisk(Clock(), "memory", files=here.files.after_power_cut(3)).scan("a/")) == expected


def test_what_waits_for_a_failed_disk_is_bounded_by_its_keys():
    here = VoterDisk(MemoryFiles())
    here.files.fault, here.files.fail_at, here.files.keep_failing = IO_ERROR, here.files.steps + 1, True
    done = []
    for number in range(1_000):
        here.disk.put("register/voter", msgspec.msgpack.encode(number), lambda number=number: done.append(number))
        here.run_iterations()
    assert here.disk.deferred_bytes < 1_000
    here.files.fail_at = 0
    for _ in range(4):
        here.run_iterations(4)
    assert done == list(range(1_000)) and here.disk.deferred_bytes == 0


# Guards against a write that is made while those that waited are written, and that is lost with them.
def test_a_write_made_by_an_acknowledgement_during_recovery_is_kept():
    here = VoterDisk(MemoryFiles())
    here.files.fault, here.files.fail_at, here.files.keep_failing = IO_ERROR, here.files.steps + 1, True
    done = []

    def and_then():
        here.disk.put("a/later", b"x", lambda: done.append("later"))

    here.disk.put("a/in doubt", b"1", and_then)
    here.run_iterations()
    here.disk.write({"a/missing": None}, and_then)  # changes nothing, so it is acknowledged at once
    here.run_iterations()
    here.files.fail_at = 0
    for _ in range(4):
        here.run_iterations(4)
    assert done == ["later", "later"]
    left = StoreDisk(Clock(), "memory", files=here.files.after_power_cut(1))
    assert dict(left.scan("a/")) == {"a/in doubt": b"1", "a/later": b"x"}
