"""The embedded store: interface, failures, fault injection, and random steps compared with a model."""

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, initialize, invariant, rule
from model_coverage import coverage_test

from rackhub.store import (
    BadBatch,
    Batch,
    Compacted,
    Condition,
    Corrupt,
    FutureRevision,
    KeyValue,
    Locked,
    NewerFormat,
    NoLease,
    Options,
    ReadOnly,
    Store,
    fault_injection,
    framing,
    plan,
    salvage,
)
from rackhub.store.manifest import Manifest, SegmentInfo, load
from rackhub.store.memory_files import MemoryFiles
from rackhub.store.table import TableInfo

S = 1_000_000
SMALL = Options(contract="always", memtable_bytes=4_096, block_bytes=256, cache_bytes=16_384, runs=2)


class StoreHarness:
    """A store in memory with a clock that the test sets."""

    def __init__(self, options=SMALL, files=None):
        self.files, self.options, self.now = files or MemoryFiles(), options, 1_000 * S
        self.store = self.reopen()

    def reopen(self, files=None):
        self.files = files or self.files
        self.store = Store.open("memory", self.options, files=self.files, clock=lambda: self.now, ticks=lambda: 0)
        return self.store

    def put(self, key, value, lease=0):
        return self.store.commit(Batch().put(key, value, lease)).revision

    def fill(self, count, size=100):
        for i in range(count):
            self.put(b"fill%04d" % (i % 50), bytes([i % 256]) * size)
        self.store.finish_work()


# ---- the interface


def test_keys_have_revisions_and_versions_as_in_etcd():
    harness = StoreHarness()
    assert [harness.put(b"a", b"1"), harness.put(b"b", b"2"), harness.put(b"a", b"3")] == [1, 2, 3]
    assert harness.store.get(b"a") == KeyValue(b"a", b"3", 1, 3, 2, 0)
    harness.store.commit(Batch().delete(b"a"))
    harness.put(b"a", b"again")
    assert harness.store.get(b"a") == KeyValue(b"a", b"again", 5, 5, 1, 0)
    assert harness.store.get(b"a", at=3).value == b"3" and harness.store.get(b"a", at=4) is None


def test_a_range_is_half_open_sorted_and_of_one_revision():
    harness = StoreHarness()
    for key in (b"c", b"a", b"b"):
        harness.put(key, key)
    harness.store.commit(Batch().delete(b"b"))
    assert [item.key for item in harness.store.range(b"a", b"c")] == [b"a"]
    assert [item.key for item in harness.store.range(b"a", None, at=3)] == [b"a", b"b", b"c"]
    assert [item.key for item in harness.store.range(limit=1)] == [b"a"]


def test_a_batch_is_one_revision_unless_it_changes_nothing():
    harness = StoreHarness()
    assert harness.store.commit(Batch().put(b"a", b"1").put(b"b", b"2").delete(b"x")).revision == 1
    assert harness.store.commit(Batch().delete(b"x").delete_range(b"p", b"q")).revision == 1
    assert harness.store.commit(Batch().delete_range(b"a", None)).revision == 2
    assert [(c.revision, c.key, c.now is None) for c in harness.store.changes(1)] == [
        (1, b"a", False),
        (1, b"b", False),
        (2, b"a", True),
        (2, b"b", True),
    ]


@pytest.mark.parametrize(
    "batch",
    [
        lambda: Batch().put(b"a", b"1").put(b"a", b"2"),
        lambda: Batch().put(b"a", b"1").delete(b"a"),
        lambda: Batch().delete_range(b"a", b"c").put(b"b", b"1"),
        lambda: Batch().put(b"", b"1"),
        lambda: Batch().put("a", b"1"),
        lambda: Batch().put(b"a" * 65_536, b"1"),
        lambda: Batch().put(b"a", b"1" * 70_000_000),
    ],
)
def test_an_ambiguous_or_invalid_batch_changes_nothing(batch):
    harness = StoreHarness()
    with pytest.raises(BadBatch):
        harness.store.commit(batch())
    assert harness.store.revision == 0 and harness.store.range() == []


def test_a_batch_is_applied_only_if_all_conditions_are_met():
    harness = StoreHarness()
    absent = Condition(b"a", "version", "=", 0)
    assert harness.store.commit(Batch().put(b"a", b"1"), [absent]).applied
    not_applied = harness.store.commit(Batch().put(b"a", b"2"), [absent])
    assert not not_applied.applied and not_applied.revision == 1 and harness.store.get(b"a").value == b"1"
    for what, compare, to, holds in (
        ("value", "=", b"1", True),
        ("value", "<", b"2", True),
        ("value", ">", b"2", False),
        ("value", "!=", None, True),
        ("mod_revision", "=", 1, True),
        ("create_revision", ">", 1, False),
        ("lease", "=", 0, True),
    ):
        assert Condition(b"a", what, compare, to).is_met_by(harness.store.get(b"a")) is holds
    assert Condition(b"none", "value", "=", None).is_met_by(None) and not Condition(
        b"none", "value", "<", b"x"
    ).is_met_by(None)
    with pytest.raises(BadBatch):
        Condition(b"a", "version", "=", b"1")


def test_reading_a_compacted_revision_reports_the_compacted_revision():
    harness = StoreHarness()
    for i in range(10):
        harness.put(b"a", b"%d" % i)
    held = harness.store.snapshot(at=3)
    harness.store.compact(8)
    harness.store.finish_work()
    with pytest.raises(Compacted) as raised:
        harness.store.get(b"a", at=7)
    assert raised.value.compacted == 8
    with pytest.raises(Compacted):
        harness.store.changes(8)
    with pytest.raises(FutureRevision):
        harness.store.get(b"a", at=11)
    with pytest.raises(Compacted):
        harness.store.compact(8)
    assert harness.store.get(b"a", at=8).value == b"7" and held.get(b"a").value == b"2"
    assert [change.revision for change in harness.store.changes(9)] == [9, 10] and list(harness.store.changes(11)) == []
    held.close()


def test_iterators_over_history_that_is_compacted_raise_compacted():
    harness = StoreHarness()
    for i in range(400):
        harness.put(b"%03d" % i, b"x" * 50)
    scan, changes = harness.store.scan(at=300), harness.store.changes(1)
    next(scan), next(changes)
    harness.store.compact(399)
    harness.store.finish_work()
    with pytest.raises(Compacted):
        list(scan)
    with pytest.raises(Compacted):
        list(changes)


def test_acknowledgements_come_after_the_sync_and_in_order():
    harness = StoreHarness(Options(contract="group"))
    acknowledged = []
    for i in range(3):
        harness.store.commit(
            Batch().put(b"a", b"%d" % i), acknowledged=lambda error, i=i: acknowledged.append((i, error))
        )
    assert acknowledged == [] and harness.store.acknowledged_revision == 0 and list(harness.store.changes(1)) == []
    syncs = harness.files.steps
    harness.store.flush()
    assert acknowledged == [(0, None), (1, None), (2, None)] and harness.store.acknowledged_revision == 3
    assert harness.files.steps - syncs == 2  # a write and a sync


def test_commits_during_a_sync_wait_for_the_next_one():
    harness = StoreHarness(Options(contract="group"))
    acknowledged = []
    harness.store.commit(Batch().put(b"a", b"1"), acknowledged=lambda error: acknowledged.append(1))
    file = harness.store.begin_flush()
    harness.store.commit(Batch().put(b"a", b"2"), acknowledged=lambda error: acknowledged.append(2))
    assert harness.store.begin_flush() is None  # a sync is in progress
    file.sync()
    harness.store.end_flush(None)
    assert acknowledged == [1]
    harness.store.flush()
    assert acknowledged == [1, 2]


def test_under_none_commits_are_acknowledged_when_written_and_survive_a_kill():
    harness = StoreHarness(Options(contract="none"))
    acknowledged = []
    harness.store.commit(Batch().put(b"a", b"1"), acknowledged=acknowledged.append)
    harness.store.flush()
    assert acknowledged == [None]
    assert StoreHarness(files=harness.files.copy()).store.get(b"a").value == b"1"


def test_a_compaction_finishes_under_none():
    harness = StoreHarness(Options(contract="none"))
    harness.put(b"a", b"1"), harness.put(b"a", b"2")
    harness.store.compact(1)
    for _ in range(100):  # it used to wait forever for a sync that nothing started
        if not harness.store.work(1_000_000):
            break
    assert not harness.store.needs_work and harness.store.compacted == 1


# ---- leases


def test_an_expired_lease_deletes_its_keys_as_one_revision():
    harness = StoreHarness()
    lease = harness.store.grant(10 * S)
    harness.put(b"a", b"1", lease), harness.put(b"b", b"1", lease), harness.put(b"c", b"1", lease)
    harness.put(b"b", b"2")  # detached from the lease
    harness.now += 9 * S
    assert harness.store.expire() == [] and harness.store.keep_alive(lease) == 10 * S
    harness.now += 10 * S
    with pytest.raises(NoLease):
        harness.store.keep_alive(lease)  # expired, but not revoked yet
    with pytest.raises(NoLease):
        harness.put(b"d", b"1", lease)
    assert harness.store.expire() == [lease] and harness.store.revision == 5
    assert [item.key for item in harness.store.range()] == [b"b"]


def test_leases_expire_while_closed_and_a_clock_set_back_prolongs_none():
    harness = StoreHarness()
    first, second = harness.store.grant(10 * S), harness.store.grant(60 * S)
    harness.put(b"a", b"1", first), harness.put(b"b", b"1", second)
    harness.store.close()
    harness.now += 11 * S
    harness.reopen()
    assert harness.store.leases.expired() == [first] and harness.store.expire() == [first]
    harness.now -= 3_600 * S  # set back by an hour while the store is open
    harness.store.expire()
    assert 0 < harness.store.leases.remaining(second) <= 60 * S
    harness.store.close()
    harness.now -= 3_600 * S  # set back again while the store is closed
    harness.reopen()
    assert 0 < harness.store.leases.remaining(second) <= 60 * S
    harness.now += 60 * S
    assert harness.store.expire() == [second] and harness.store.range() == []


def test_leases_and_their_keys_survive_flushes_and_merges():
    harness = StoreHarness()
    lease = harness.store.grant(10_000 * S)
    harness.put(b"mine", b"1", lease)
    harness.fill(300)
    harness.store.compact(harness.store.revision)
    harness.fill(300)
    harness.store.close()
    harness.reopen()
    assert harness.store.leases.get(lease).keys == {b"mine"}
    harness.store.revoke(lease)
    assert harness.store.get(b"mine") is None


# ---- files


def test_a_store_can_be_open_only_once_at_a_time(tmp_path):
    store = Store.open(tmp_path / "s")
    with pytest.raises(Locked):
        Store.open(tmp_path / "s")
    store.close()
    Store.open(tmp_path / "s").close()


def test_a_store_on_a_real_directory(tmp_path):
    options = Options(memtable_bytes=8_192, block_bytes=512, runs=2)
    with Store.open(tmp_path, options) as store:
        for i in range(1_000):
            store.commit(Batch().put(b"%03d" % (i % 100), b"%d" % i * 10))
        store.finish_work()
        before = store.range()
        assert store.info().tables
    with Store.open(tmp_path, options) as store:
        assert store.range() == before and store.revision == 1_000
        assert len(list(store.changes(1))) == 1_000
    assert (tmp_path / "MANIFEST").stat().st_mode & 0o077 == 0


def test_a_newer_format_is_rejected(monkeypatch):
    harness = StoreHarness()
    harness.put(b"a", b"1")
    harness.store.close()
    monkeypatch.setattr(framing, "FORMAT", 0)
    with pytest.raises(NewerFormat, match="MANIFEST: has format 1"):
        harness.reopen()


def test_a_batch_larger_than_a_segment_is_atomic():
    harness = StoreHarness()
    harness.put(b"before", b"1")
    batch = Batch()
    for i in range(500):
        batch.put(b"%04d" % i, b"x" * 100)
    harness.store.commit(batch)
    name = max(n for n in harness.files.names() if n.startswith("log"))
    assert len(StoreHarness(files=harness.files.copy()).store.range()) == 501
    big = max(
        (n for n in harness.files.names() if n.startswith("log")), key=lambda n: len(harness.files.inodes[n].contents)
    )
    assert len(harness.files.inodes[big].contents) > 10 * SMALL.memtable_bytes and name
    # The same batch, with the process killed while the record was being written.
    harness = StoreHarness(Options(contract="group"))
    harness.put(b"before", b"1")
    harness.store.flush()
    harness.store.commit(batch)
    harness.store.begin_flush()
    name = next(n for n in harness.files.names() if n.startswith("log"))
    whole = len(harness.files.inodes[name].contents)
    for size in (whole - 1, whole // 2, 100):
        assert [
            item.key for item in StoreHarness(files=harness.files.with_file_cut(name, size).copy()).store.range()
        ] == [b"before"]


def test_a_torn_tail_is_truncated_but_damage_before_valid_records_is_corrupt():
    harness = StoreHarness(Options(contract="always"))
    for i in range(5):
        harness.put(b"a", b"%d" % i * 20)
    name = next(n for n in harness.files.names() if n.startswith("log"))
    size = len(harness.files.inodes[name].contents)
    torn = StoreHarness(files=harness.files.with_file_cut(name, size - 5).copy()).store
    assert torn.revision == 4 and torn.recovered.torn_bytes > 0
    with pytest.raises(Corrupt, match=f"{name}: at byte .* damaged.*salvage"):
        StoreHarness(files=harness.files.with_bit_flipped(name, size // 2, 1))


def test_unsynced_writes_that_reached_the_disk_out_of_order_are_a_torn_tail():
    harness = StoreHarness(Options(contract="none"))
    name = next(n for n in harness.files.names() if n.startswith("log"))
    ends = []
    for i in range(4):
        harness.put(b"a", b"%d" % i * 20)
        harness.store.flush()
        ends.append(len(harness.files.inodes[name].contents))
    data = bytearray(harness.files.inodes[name].contents)
    data[ends[0] : ends[1]] = bytes(ends[1] - ends[0])  # the second frame was not written, the third and fourth were
    store = StoreHarness(
        files=MemoryFiles.from_contents(
            {**{n: bytes(i.contents) for n, i in harness.files.inodes.items()}, name: bytes(data)}
        )
    )
    assert store.store.revision == 1 and store.store.recovered.discarded_frames == 2


def test_missing_files_are_corrupt_and_unlisted_files_removed_or_left_alone():
    harness = StoreHarness()
    harness.fill(400)
    contents = {name: bytes(inode.contents) for name, inode in harness.files.copy().inodes.items()}
    table = plan.table_name(load(harness.files).tables[0].number)
    for gone in (table, "MANIFEST", max(name for name in contents if name.startswith("log"))):
        with pytest.raises(Corrupt) as raised:
            StoreHarness(
                files=MemoryFiles.from_contents({name: data for name, data in contents.items() if name != gone})
            )
        assert raised.value.file == gone
    more = contents | {
        "table-0000009999": b"half",
        "MANIFEST.new": b"half",
        "notes.txt": b"mine",
        "log-0000009999": b"",
    }
    opened = StoreHarness(files=MemoryFiles.from_contents(more))
    assert opened.store.recovered.unknown_files == ("notes.txt",) and "notes.txt" in opened.files.names()
    assert set(opened.store.recovered.removed) == {"table-0000009999", "MANIFEST.new", "log-0000009999"}


def test_salvage_uses_tables_where_a_closed_log_segment_is_truncated():
    harness = StoreHarness()
    harness.fill(400)
    manifest = load(harness.files)
    assert manifest.flushed_record > 0 and manifest.segments
    closed = plan.log_name(manifest.segments[-1].number)
    with pytest.raises(Corrupt, match=closed):
        StoreHarness(files=harness.files.with_file_cut(closed, 100))
    source, target = harness.files.with_file_cut(closed, 100), MemoryFiles()
    found, taken = salvage.salvage(source, target, 0)
    # The tables contain all records: only history is lost.
    assert found.findings and taken.last_record == harness.store.info().records
    assert StoreHarness(files=target).store.range() == harness.store.range()


def test_salvage_uses_the_inputs_of_a_damaged_merged_table():
    harness = StoreHarness()
    harness.fill(600)
    harness.store.compact(harness.store.revision)
    harness.store.finish_work()
    manifest = load(harness.files)
    merged = next(table for table in manifest.tables if table.sources)
    name = plan.table_name(merged.number)
    damaged = harness.files.with_bit_flipped(name, 500, 3)
    assert [f.file for f in salvage.verify(damaged)] == [name]
    target = MemoryFiles()
    _, taken = salvage.salvage(damaged, target, 0)
    assert merged.number not in [table.number for table in taken.tables]
    assert StoreHarness(files=target).store.range() == harness.store.range()


def test_salvage_rejects_a_target_directory_that_is_not_empty():
    harness = StoreHarness()
    with pytest.raises(Exception, match="not empty"):
        salvage.salvage(harness.files, MemoryFiles.from_contents({"x": b""}), 0)


@pytest.mark.parametrize("lasting", [False, True])
def test_a_failing_disk_makes_the_store_read_only_and_loses_no_acknowledged_commit(lasting):
    harness = StoreHarness(Options(contract="group"))
    harness.put(b"a", b"kept")
    harness.store.flush()
    harness.files.fault, harness.files.fail_at = OSError(28, "No space left"), harness.files.steps + 1
    harness.files.keep_failing = lasting
    acknowledged = []
    harness.store.commit(Batch().put(b"a", b"in doubt"), acknowledged=acknowledged.append)
    harness.store.flush()
    assert len(acknowledged) == 1 and isinstance(acknowledged[0], ReadOnly) and acknowledged[0].cause.errno == 28
    with pytest.raises(ReadOnly, match="No space left"):
        harness.put(b"b", b"x")
    assert StoreHarness(files=harness.files.after_power_cut(1)).store.get(b"a").value == b"kept"
    if lasting:
        with pytest.raises(ReadOnly):
            harness.store.retry()
    harness.files.fail_at = 0
    harness.store.retry()
    harness.put(b"b", b"x")
    harness.store.flush()
    after = StoreHarness(files=harness.files.after_power_cut(1)).store
    assert after.get(b"a").value == b"in doubt" and after.get(b"b").value == b"x" and after.revision == 3


def test_a_store_can_be_created_after_a_crash_during_its_creation():
    for step in range(1, 12):
        files = MemoryFiles()
        files.fail_at = step
        try:
            Store.open("memory", SMALL, files=files)
        except BaseException as cut:
            assert type(cut).__name__ == "PowerCut"
        for seed in range(4):
            assert StoreHarness(files=files.after_power_cut(seed)).store.revision == 0


def test_background_work_runs_in_slices_between_writes():
    harness = StoreHarness(Options(contract="group", memtable_bytes=65_536, block_bytes=256))
    ticks = iter(range(0, 1 << 40, 1_000)).__next__  # each reading of the clock takes a millisecond
    harness.store._wake, harness.store._ticks = (lambda store: None), ticks
    for i in range(2_000):
        harness.store.commit(Batch().put(b"%05d" % i, b"x" * 40))
    harness.store.flush()
    slices = 0
    while harness.store.work():
        slices += 1
        harness.put(b"meanwhile", b"%d" % slices)
    assert slices > 20 and harness.store.info().tables
    assert len(harness.store.range()) == 2_001


def test_snapshots_keep_old_versions_of_a_key_with_a_long_history():
    harness = StoreHarness(Options(contract="group", memtable_bytes=65_536))
    held = []
    for i in range(20_000):
        harness.put(b"one", b"%d" % i)
        if i % 5_000 == 100:
            held.append(harness.store.snapshot())
    harness.store.finish_work()
    harness.store.compact(19_999)
    harness.store.finish_work()
    assert [snapshot.get(b"one").value for snapshot in held] == [b"100", b"5100", b"10100", b"15100"]
    for snapshot in held:
        snapshot.close()
    harness.store.finish_work()
    assert harness.store.get(b"one").value == b"19999"
    assert sum(table.entries for table in harness.store.info().tables) < 10_000  # unreadable versions are dropped
    assert harness.store.get(b"one", at=19_999).version == 19_999


# ---- planning


def table(number, low, high, size=1_000, sources=(), floor=0, stale=(), stale_count=0, entries=1_000):
    return TableInfo(number, low, high, high, floor, entries, size, sources, stale, stale_count)


def test_neighbouring_tables_of_one_size_tier_are_merged():
    small, big = [table(9 - i, i, i) for i in range(3)], [table(2, 0, 0, 40_000), table(1, 0, 0, 50_000)]
    assert plan.choose_merge([*small[:2], *big], 1_000, 3, 0) is None
    assert plan.choose_merge([*small, *big], 1_000, 3, 0) == (0, 3)
    assert plan.choose_merge([small[0], *big, table(0, 0, 0, 45_000)], 1_000, 3, 0) == (0, 4)


def test_a_table_with_mostly_unreadable_versions_is_rewritten_once():
    stale = table(1, 1, 9, stale=tuple(range(1, 17)), stale_count=800)
    assert plan.choose_merge([stale], 1_000, 4, floor=0) is None
    assert plan.choose_merge([stale], 1_000, 4, floor=16) == (0, 1)
    assert plan.choose_merge([table(1, 1, 9, stale=(1,) * 16, stale_count=800, floor=16)], 1_000, 4, floor=16) is None


def test_a_segment_is_dropped_only_when_nothing_needs_it():
    segments = (SegmentInfo(1, 1, 10, 0, 10, 100), SegmentInfo(2, 11, 20, 10, 20, 100))
    fresh = Manifest(
        9,
        8,
        21,
        20,
        20,
        flushed_record=20,
        flushed_revision=20,
        tables=(table(3, 11, 20), table(2, 1, 10)),
        segments=segments,
    )
    numbers = lambda manifest: [segment.number for segment in manifest.segments]  # noqa: E731
    assert numbers(plan.without_unneeded_files(fresh, 20, reserve=True)) == [
        1,
        2,
    ]  # the tables were written from these segments
    assert numbers(plan.without_unneeded_files(fresh, 20, reserve=False)) == []
    assert numbers(plan.without_unneeded_files(fresh, 15, reserve=False)) == [2]  # its history can still be read
    assert plan.without_unneeded_files(fresh, 15, reserve=False).floor == 10


def test_a_salvage_plan_chains_tables_and_ignores_the_inputs_of_merges():
    merged, old, newer = table(7, 1, 40, sources=(3, 4)), table(3, 1, 20), table(8, 41, 60)
    log = plan.RecordRange(9, 55, 70, 54, 70)
    taken = plan.plan_salvage([old, newer, merged], [log])
    assert [one.number for one in taken.tables] == [8, 7] and (taken.last_record, taken.revision) == (70, 70)
    assert taken.floor == 54 and not taken.skipped
    without = plan.plan_salvage([old, newer], [log])  # gap after record 20: the rest is skipped
    assert [one.number for one in without.tables] == [3] and without.last_record == 20 and without.skipped == (log,)
    assert plan.plan_salvage([], [log]).last_record == 0


# ---- fault injection: a small fixed sample, and injected bugs that it must detect


@pytest.fixture(scope="module")
def trials():
    return fault_injection.DamageTrials(5, 150_000)


def test_truncated_files_and_flipped_bits_never_invent_or_silently_lose_data(trials):
    results, positions = fault_injection.TrialResults(), list(trials.positions())
    for position in positions[::211]:
        trials.try_cut(*position, results)
        trials.try_flip(*position, results)
    assert results.violations == [] and results.tried == 2 * len(positions[::211]) > 500
    assert results.recovered > 100 and results.refused > 100 and results.written_out > 2


def test_power_cuts_lose_no_acknowledged_commit():
    results = fault_injection.run_power_cuts(3, 60_000, 200, every=23)
    assert results.violations == [] and results.images > 10 and results.recovered > 30


def test_disk_errors_lose_no_acknowledged_commit():
    results = fault_injection.run_disk_faults(4, 40_000, 150, every=17)
    assert results.violations == [] and results.recovered > 5


def test_fault_injection_detects_a_missing_sync():
    results = fault_injection.run_power_cuts(3, 60_000, 200, every=23, ignore_syncs=True)
    assert results.violations


def test_fault_injection_detects_a_skipped_checksum(trials, monkeypatch):
    monkeypatch.setattr(framing, "crc32c", lambda data, before=0: 0)
    trials_without_checksums = fault_injection.DamageTrials(5, 60_000)
    results, positions = fault_injection.TrialResults(), list(trials_without_checksums.positions())
    for position in positions[::61]:
        trials_without_checksums.try_flip(*position, results)
    assert results.violations


# ---- random steps compared with a model


KEYS = st.sampled_from([b"a", b"ab", b"b", b"c", b"d\xff", b"\x00", b"zz"])
VALUES = st.binary(max_size=300)


class StoreModel(RuleBasedStateMachine):
    """Compares the store with a list of states, through crashes, compactions and merges."""

    snapshots = Bundle("snapshots")

    @initialize(contract=st.sampled_from(["always", "group"]), reserve=st.booleans())
    def begin(self, contract, reserve):
        self.harness = StoreHarness(
            Options(
                contract=contract, memtable_bytes=4_096, block_bytes=256, cache_bytes=4_096, runs=2, reserve=reserve
            )
        )
        self.states, self.changes, self.compacted, self.acknowledged = [{}], [[]], 0, 0

    def commit(self, batch, puts, deletes):
        state, revision, made = dict(self.states[-1]), len(self.states), []
        for key, value in puts.items():
            old = state.get(key)
            state[key] = KeyValue(
                key, value, old.create_revision if old else revision, revision, old.version + 1 if old else 1
            )
            made.append((key, state[key]))
        for key in deletes:
            if key in state:
                del state[key]
                made.append((key, None))
        if made:
            self.states.append(state)
            self.changes.append(made)
        reached = len(self.states) - 1
        done = self.harness.store.commit(batch, acknowledged=lambda error: self.acknowledge(reached))
        assert done.revision == reached

    def acknowledge(self, revision):
        self.acknowledged = max(self.acknowledged, revision)

    @rule(puts=st.dictionaries(KEYS, VALUES, min_size=1, max_size=4))
    def put(self, puts):
        batch = Batch()
        for key, value in puts.items():
            batch.put(key, value)
        self.commit(batch, puts, [])

    @rule(key=KEYS)
    def delete(self, key):
        self.commit(Batch().delete(key), {}, [key])

    @rule(start=KEYS, end=st.none() | KEYS)
    def delete_range(self, start, end):
        deleted = [key for key in sorted(self.states[-1]) if start <= key and (end is None or key < end)]
        self.commit(Batch().delete_range(start, end), {}, deleted)

    @rule()
    def flush(self):
        self.harness.store.flush()

    @rule()
    def settle(self):
        self.harness.store.finish_work()

    @rule(back=st.integers(0, 5))
    def compact(self, back):
        to = len(self.states) - 1 - back
        if to > self.compacted:
            self.harness.store.compact(to)
            self.compacted = to

    @rule(seed=st.integers(0, 1 << 20))
    def power_cut(self, seed):
        self.reopen(self.harness.files.after_power_cut(seed))

    @rule()
    def kill(self):
        self.reopen(self.harness.files.copy())

    @rule()
    def close(self):
        self.harness.store.close()
        self.reopen(self.harness.files)

    def reopen(self, files):
        store = self.harness.reopen(files)
        assert self.acknowledged <= store.revision < len(self.states)
        del self.states[store.revision + 1 :], self.changes[store.revision + 1 :]
        self.compacted = store.compacted
        self.acknowledged = store.revision

    @rule(back=st.integers(0, 8), start=KEYS, end=st.none() | KEYS)
    def read_back(self, back, start, end):
        at = len(self.states) - 1 - back
        if at < self.compacted:
            with pytest.raises((Compacted, FutureRevision)):
                self.harness.store.range(at=at)
            return
        expected = [
            item for key, item in sorted(self.states[at].items()) if key >= start and (end is None or key < end)
        ]
        assert self.harness.store.range(start, end, at=at) == expected
        for key in (start, end or b"none"):
            assert self.harness.store.get(key, at=at) == self.states[at].get(key)

    @rule()
    def history(self):
        last_revision = self.harness.store.acknowledged_revision
        acknowledged = [(change.key, change.now) for change in self.harness.store.changes(self.compacted + 1)]
        assert acknowledged == [one for made in self.changes[self.compacted + 1 : last_revision + 1] for one in made]

    @invariant()
    def now(self):
        if hasattr(self, "harness"):
            assert self.harness.store.range() == [item for _, item in sorted(self.states[-1].items())]


MODEL_SETTINGS = hypothesis_settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)
test_the_store_matches_a_model_of_its_history = coverage_test(StoreModel, MODEL_SETTINGS)


# Guards against a commit that reports success and drops a delete: the entries of a lease are counted as changes.
def test_a_batch_that_puts_a_key_with_a_lease_also_deletes_another_key():
    with Store.open("memory", files=MemoryFiles()) as store:
        store.commit(Batch().put(b"old", b"1"))
        lease = store.grant(3_600 * S)
        assert store.commit(Batch().put(b"new", b"2", lease).delete(b"old")).applied
        assert store.get(b"new").value == b"2"
        assert store.get(b"old") is None


# Guards against the same count: the lease was not attached in memory if the batch also deleted a missing key.
def test_a_leased_key_ends_with_its_lease_although_its_batch_deleted_a_missing_key():
    with Store.open("memory", files=MemoryFiles()) as store:
        lease = store.grant(3_600 * S)
        assert store.commit(Batch().put(b"new", b"2", lease).delete(b"missing")).applied
        store.revoke(lease)
        assert store.get(b"new") is None
