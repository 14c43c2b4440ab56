"""A voter's disk on faulty files: power cuts at every step of its writes, and disks that fail for a while."""

from types import SimpleNamespace

import msgspec
import pytest
from twisted.internet.task import Clock

from rackhub.fleet.distribution import history as history_module
from rackhub.fleet.distribution.catch_up import CatchUp
from rackhub.fleet.distribution.editing import EditRequest, plan
from rackhub.fleet.distribution.events import Apply, Persist, Persisted
from rackhub.fleet.distribution.history import History, RevisionNotRetained
from rackhub.fleet.distribution.learner import Learner
from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import Change, Entry
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.rules import encode_value
from rackhub.fleet.distribution.store import StateStore
from rackhub.fleet.register.disk import StoreDisk
from rackhub.store.memory_files import MemoryFiles, PowerCut

LOG = "log"
# Limit on the history in these tests, so that a few changes trim it.
MAX_CHANGES = 3
SNAPSHOT_REVISION = 8
LAST_REVISION = 12
POWER_CUTS_PER_STEP = 4  # number of random results of each power cut
NO_SPACE = OSError(28, "No space left on device")
IO_ERROR = OSError(5, "Input/output error")


class VoterDisk:
    """A voter's stored state and the objects that read and write it, without a network."""

    def __init__(self, files):
        self.reactor, self.files, self.counts = Clock(), files, []
        self.disk = StoreDisk(self.reactor, "memory", files=files)
        self.store = StateStore(self.disk, ("",), lambda name, by: self.counts.append(name))
        self.history = History(self.disk, self.store.stored.revision)
        self.decided, self.gaps = [], []
        self.learner = Learner(
            self.store,
            self.history,
            lambda first_step: None,
            self.decided.append,
            self.gaps.append,
            lambda name, by: None,
        )
        inbox = SimpleNamespace(route=lambda kinds, receive: None)
        identity, fleet = Identity(name="v0"), SimpleNamespace()
        self.catch_up = CatchUp(
            fleet, identity, inbox, self.store, self.history, self.learner, Limits(), lambda taken, before: None
        )
        self.run_iterations()

    def run_iterations(self, seconds=0.0):
        self.reactor.pump([seconds] + [0.0] * 8)

    def on_dispatch(self, event, apply):
        """Apply a persisted change, as the watcher would request it."""
        if isinstance(event, Persisted):
            self.catch_up._perform(apply)

    def take(self, revision):
        """Store the change or snapshot that leads to this revision."""
        if revision != SNAPSHOT_REVISION:
            self.learner.learn(LOG, (change(revision),))
        else:
            entries = tuple(Entry(key, value, revision) for key, value in content(revision).items())
            apply = Apply(LOG, revision, entries, True)
            self.catch_up._runner = SimpleNamespace(
                stop=lambda: None, dispatch=lambda event: self.on_dispatch(event, apply)
            )
            self.catch_up._perform(Persist(LOG, revision, entries, True))
        self.run_iterations()


def values(revision):
    """Return the value of each key after that change. Every third change deletes the key `k0`."""
    return {
        "rules/p/k0": None if revision % 3 == 0 else encode_value(revision),
        f"rules/p/k{revision % 4}": b"%d" % revision,
    }


def change(revision):
    entries = tuple(Entry(key, value, revision) for key, value in values(revision).items())
    return Change(revision, entries, f"e{revision}", "ann", "r")


def content(revision):
    """Return all keys with their values at a revision."""
    found = {}
    for earlier in range(1, revision + 1):
        found |= values(earlier)
    return {key: value for key, value in found.items() if value is not None}


def oldest(revision):
    """Return the earliest revision in the history if the given one is the newest."""
    first_step = SNAPSHOT_REVISION if revision >= SNAPSHOT_REVISION else 0
    return max(first_step, revision - MAX_CHANGES)


def check(voter_disk, least):
    """Check the state after a restart: a revision of at least `least`, its values, and undo to each stored revision."""
    newest = voter_disk.store.stored.revision
    assert newest >= least, "an acknowledged revision is lost"
    assert {key: entry.value for key, entry in voter_disk.store.stored.entries.items()} == content(newest)
    assert (voter_disk.history.oldest, voter_disk.history.newest) == (oldest(newest), newest)
    for to in range(oldest(newest), newest):
        request = EditRequest(kind="undo", author="ann", reason="r", id="u", base_revision=newest, target_revision=to)
        undone = content(newest) | (
            plan(request, content(newest), voter_disk.history) if content(newest) != content(to) else {}
        )
        assert {key: value for key, value in undone.items() if value is not None} == content(to)
    if oldest(newest):
        with pytest.raises(RevisionNotRetained):
            voter_disk.history.since(oldest(newest) - 1)
    stored_keys = {key for key, _ in voter_disk.disk.scan("distribution/history/")}
    assert len(stored_keys) == newest - oldest(newest), "obsolete history records are left"
    assert not voter_disk.counts and not voter_disk.history.damage


@pytest.fixture(autouse=True)
def short_history(monkeypatch):
    monkeypatch.setattr(history_module, "MAX_CHANGES", MAX_CHANGES)


def fault_free_steps():
    voter_disk = VoterDisk(MemoryFiles())
    first_step = voter_disk.files.steps
    for revision in range(1, LAST_REVISION + 1):
        voter_disk.take(revision)
    check(VoterDisk(voter_disk.files.copy()), LAST_REVISION)
    return first_step, voter_disk.files.steps


# Guards against a history that does not match the stored state after a power cut in a write, a trim or a snapshot.
@pytest.mark.parametrize("seed", range(4))
def test_after_a_power_cut_at_any_step_the_history_undoes_to_every_kept_revision(seed):
    first_step, ended = fault_free_steps()
    seen = set()
    for step in range(first_step + 1, ended + 1):
        voter_disk = VoterDisk(MemoryFiles(seed))
        voter_disk.files.fault, voter_disk.files.fail_at = PowerCut(), step
        try:
            for revision in range(1, LAST_REVISION + 1):
                voter_disk.take(revision)
        except PowerCut:
            pass
        for draw in range(POWER_CUTS_PER_STEP):
            restarted = VoterDisk(voter_disk.files.after_power_cut(f"{seed} {step} {draw}"))
            check(restarted, voter_disk.learner.synced)
            seen.add(restarted.store.stored.revision)
            for revision in range(restarted.store.stored.revision + 1, LAST_REVISION + 1):
                restarted.take(revision)
            check(VoterDisk(restarted.files.copy()), LAST_REVISION)
    assert seen >= set(range(LAST_REVISION)), "each revision is the newest after some power cut"


# Guards against changes that a failing disk rejects and that are never written, so that a later one leaves a gap.
@pytest.mark.parametrize("fault", [NO_SPACE, IO_ERROR], ids=["ENOSPC", "EIO"])
@pytest.mark.parametrize("first, changes", [(1, 1), (2, 3), (4, 5), (7, 2), (8, 1), (10, 3)])
def test_changes_accepted_while_the_disk_fails_are_stored_once_it_recovers(first, changes, fault):
    voter_disk = VoterDisk(MemoryFiles())
    for revision in range(1, first):
        voter_disk.take(revision)
    voter_disk.files.fault, voter_disk.files.fail_at, voter_disk.files.keep_failing = (
        fault,
        voter_disk.files.steps + 1,
        True,
    )
    for revision in range(first, first + changes):
        voter_disk.take(revision)
        assert voter_disk.learner.synced == first - 1, "a change is acknowledged before it is on the disk"
    voter_disk.run_iterations(1.5)  # a retry fails, too
    assert VoterDisk(voter_disk.files.copy()).store.stored.revision in range(first - 1, first + changes)
    voter_disk.files.fail_at = 0
    for _ in range(4):
        voter_disk.run_iterations(4)
    assert voter_disk.learner.synced == first + changes - 1, "pending changes are acknowledged once the disk recovers"
    check(VoterDisk(voter_disk.files.after_power_cut(1)), first + changes - 1)
    for revision in range(first + changes, LAST_REVISION + 1):
        voter_disk.take(revision)
    decided = [one.revision for event in voter_disk.decided for one in event.changes]
    assert decided == [revision for revision in range(1, LAST_REVISION + 1) if revision != SNAPSHOT_REVISION]
    check(VoterDisk(voter_disk.files.after_power_cut(2)), LAST_REVISION)


# Guards against reads that miss pending writes of a failed disk.
def test_pending_writes_of_a_failed_disk_are_visible_to_reads():
    voter_disk = VoterDisk(MemoryFiles())
    voter_disk.disk.write({"a/1": b"1", "a/2": b"2"}, lambda: None)
    voter_disk.run_iterations()
    voter_disk.files.fault, voter_disk.files.fail_at, voter_disk.files.keep_failing = (
        NO_SPACE,
        voter_disk.files.steps + 1,
        True,
    )
    done = []
    for number in range(3, 6):
        voter_disk.disk.write({f"a/{number}": b"%d" % number, "a/1": None}, lambda number=number: done.append(number))
        voter_disk.run_iterations()
    voter_disk.disk.put("a/2", b"new", lambda: done.append("put"))
    expected = [("a/2", b"new"), ("a/3", b"3"), ("a/4", b"4"), ("a/5", b"5")]
    assert list(voter_disk.disk.scan("a/")) == expected
    assert (
        voter_disk.disk.get("a/1") is None
        and voter_disk.disk.get("a/2") == b"new"
        and voter_disk.disk.get("a/5") == b"5"
    )
    assert not done
    voter_disk.files.fail_at = 0
    for _ in range(4):
        voter_disk.run_iterations(4)
    assert done == [3, 4, 5, "put"] and list(voter_disk.disk.scan("a/")) == expected
    assert list(StoreDisk(Clock(), "memory", files=voter_disk.files.after_power_cut(3)).scan("a/")) == expected


def test_pending_writes_of_a_failed_disk_are_limited_by_their_keys():
    voter_disk = VoterDisk(MemoryFiles())
    voter_disk.files.fault, voter_disk.files.fail_at, voter_disk.files.keep_failing = (
        IO_ERROR,
        voter_disk.files.steps + 1,
        True,
    )
    done = []
    for number in range(1_000):
        voter_disk.disk.put("register/voter", msgspec.msgpack.encode(number), lambda number=number: done.append(number))
        voter_disk.run_iterations()
    assert voter_disk.disk.deferred_bytes < 1_000
    voter_disk.files.fail_at = 0
    for _ in range(4):
        voter_disk.run_iterations(4)
    assert done == list(range(1_000)) and voter_disk.disk.deferred_bytes == 0


# Guards against the loss of a write that is made while pending writes are being written.
def test_a_write_made_by_an_acknowledgement_during_recovery_is_kept():
    voter_disk = VoterDisk(MemoryFiles())
    voter_disk.files.fault, voter_disk.files.fail_at, voter_disk.files.keep_failing = (
        IO_ERROR,
        voter_disk.files.steps + 1,
        True,
    )
    done = []

    def and_then():
        voter_disk.disk.put("a/later", b"x", lambda: done.append("later"))

    voter_disk.disk.put("a/in doubt", b"1", and_then)
    voter_disk.run_iterations()
    voter_disk.disk.write({"a/missing": None}, and_then)  # changes nothing, so it is acknowledged at once
    voter_disk.run_iterations()
    voter_disk.files.fail_at = 0
    for _ in range(4):
        voter_disk.run_iterations(4)
    assert done == ["later", "later"]
    disk_after = StoreDisk(Clock(), "memory", files=voter_disk.files.after_power_cut(1))
    assert dict(disk_after.scan("a/")) == {"a/in doubt": b"1", "a/later": b"x"}
