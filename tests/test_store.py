"""The embedded store: its interface, its hard cases, and a model of histories against random steps."""

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


class Here:
    """A store in memory with a clock in the test's hands."""

    def __init__(self, options=SMALL, files=None):
        self.files, self.options, self.now = files or MemoryFiles(), options, 1_000 * S
        self.store = self.again()

    def again(self, files=None):
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


def test_keys_bear_their_revisions_and_versions_as_etcd_words_them():
    here = Here()
    assert [here.put(b"a", b"1"), here.put(b"b", b"2"), here.put(b"a", b"3")] == [1, 2, 3]
    assert here.store.get(b"a") == KeyValue(b"a", b"3", 1, 3, 2, 0)
    here.store.commit(Batch().delete(b"a"))
    here.put(b"a", b"again")
    assert here.store.get(b"a") == KeyValue(b"a", b"again", 5, 5, 1, 0)
    assert here.store.get(b"a", at=3).value == b"3" and here.store.get(b"a", at=4) is None


def test_a_range_is_half_open_in_order_and_as_it_was_at_a_revision():
    here = Here()
    for key in (b"c", b"a", b"b"):
        here.put(key, key)
    here.store.commit(Batch().delete(b"b"))
    assert [item.key for item in here.store.range(b"a", b"c")] == [b"a"]
    assert [item.key for item in here.store.range(b"a", None, at=3)] == [b"a", b"b", b"c"]
    assert [item.key for item in here.store.range(limit=1)] == [b"a"]


def test_a_batch_is_one_revision_and_what_changes_nothing_is_none():
    here = Here()
    assert here.store.commit(Batch().put(b"a", b"1").put(b"b", b"2").delete(b"x")).revision == 1
    assert here.store.commit(Batch().delete(b"x").delete_range(b"p", b"q")).revision == 1
    assert here.store.commit(Batch().delete_range(b"a", None)).revision == 2
    assert [(c.revision, c.key, c.now is None) for c in here.store.changes(1)] == [
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
def test_a_batch_that_means_two_things_or_is_no_batch_changes_nothing(batch):
    here = Here()
    with pytest.raises(BadBatch):
        here.store.commit(batch())
    assert here.store.revision == 0 and here.store.range() == []


def test_conditions_hold_for_all_or_nothing_is_done():
    here = Here()
    absent = Condition(b"a", "version", "=", 0)
    assert here.store.commit(Batch().put(b"a", b"1"), [absent]).applied
    refused = here.store.commit(Batch().put(b"a", b"2"), [absent])
    assert not refused.applied and refused.revision == 1 and here.store.get(b"a").value == b"1"
    for what, compare, to, holds in (
        ("value", "=", b"1", True),
        ("value", "<", b"2", True),
        ("value", ">", b"2", False),
        ("value", "!=", None, True),
        ("mod_revision", "=", 1, True),
        ("create_revision", ">", 1, False),
        ("lease", "=", 0, True),
    ):
        assert Condition(b"a", what, compare, to).is_met_by(here.store.get(b"a")) is holds
    assert Condition(b"none", "value", "=", None).is_met_by(None) and not Condition(
        b"none", "value", "<", b"x"
    ).is_met_by(None)
    with pytest.raises(BadBatch):
        Condition(b"a", "version", "=", b"1")


def test_a_compacted_revision_is_told_with_what_is_left():
    here = Here()
    for i in range(10):
        here.put(b"a", b"%d" % i)
    held = here.store.snapshot(at=3)
    here.store.compact(8)
    here.store.finish_work()
    with pytest.raises(Compacted) as told:
        here.store.get(b"a", at=7)
    assert told.value.compacted == 8
    with pytest.raises(Compacted):
        here.store.changes(8)
    with pytest.raises(FutureRevision):
        here.store.get(b"a", at=11)
    with pytest.raises(Compacted):
        here.store.compact(8)
    assert here.store.get(b"a", at=8).value == b"7" and held.get(b"a").value == b"2"
    assert [change.revision for change in here.store.changes(9)] == [9, 10] and list(here.store.changes(11)) == []
    held.close()


def test_a_reader_that_history_is_taken_from_under_is_told():
    here = Here()
    for i in range(400):
        here.put(b"%03d" % i, b"x" * 50)
    scan, changes = here.store.scan(at=300), here.store.changes(1)
    next(scan), next(changes)
    here.store.compact(399)
    here.store.finish_work()
    with pytest.raises(Compacted):
        list(scan)
    with pytest.raises(Compacted):
        list(changes)


def test_acknowledgements_come_after_the_sync_and_in_order():
    here = Here(Options(contract="group"))
    told = []
    for i in range(3):
        here.store.commit(Batch().put(b"a", b"%d" % i), acknowledged=lambda error, i=i: told.append((i, error)))
    assert told == [] and here.store.acknowledged_revision == 0 and list(here.store.changes(1)) == []
    syncs = here.files.steps
    here.store.flush()
    assert told == [(0, None), (1, None), (2, None)] and here.store.acknowledged_revision == 3
    assert here.files.steps - syncs == 2  # one write, one sync


def test_commits_during_a_sync_wait_for_the_next():
    here = Here(Options(contract="group"))
    told = []
    here.store.commit(Batch().put(b"a", b"1"), acknowledged=lambda error: told.append(1))
    file = here.store.begin_flush()
    here.store.commit(Batch().put(b"a", b"2"), acknowledged=lambda error: told.append(2))
    assert here.store.begin_flush() is None  # one at a time
    file.sync()
    here.store.end_flush(None)
    assert told == [1]
    here.store.flush()
    assert told == [1, 2]


def test_under_none_an_acknowledgement_comes_with_the_write_and_a_killed_process_loses_nothing():
    here = Here(Options(contract="none"))
    told = []
    here.store.commit(Batch().put(b"a", b"1"), acknowledged=told.append)
    here.store.flush()
    assert told == [None]
    assert Here(files=here.files.copy()).store.get(b"a").value == b"1"


def test_a_compaction_comes_to_its_end_under_none_too():
    here = Here(Options(contract="none"))
    here.put(b"a", b"1"), here.put(b"a", b"2")
    here.store.compact(1)
    for _ in range(100):  # it waited for a sync that nobody made, for ever
        if not here.store.work(1_000_000):
            break
    assert not here.store.needs_work and here.store.compacted == 1


# ---- leases


def test_a_lease_takes_its_keys_with_it_as_one_revision():
    here = Here()
    lease = here.store.grant(10 * S)
    here.put(b"a", b"1", lease), here.put(b"b", b"1", lease), here.put(b"c", b"1", lease)
    here.put(b"b", b"2")  # let go of
    here.now += 9 * S
    assert here.store.expire() == [] and here.store.keep_alive(lease) == 10 * S
    here.now += 10 * S
    with pytest.raises(NoLease):
        here.store.keep_alive(lease)  # over, though not cleared away yet
    with pytest.raises(NoLease):
        here.put(b"d", b"1", lease)
    assert here.store.expire() == [lease] and here.store.revision == 5
    assert [item.key for item in here.store.range()] == [b"b"]


def test_a_lease_runs_on_while_the_store_is_closed_and_a_clock_that_jumps_back_lengthens_none():
    here = Here()
    first, second = here.store.grant(10 * S), here.store.grant(60 * S)
    here.put(b"a", b"1", first), here.put(b"b", b"1", second)
    here.store.close()
    here.now += 11 * S
    here.again()
    assert here.store.leases.expired() == [first] and here.store.expire() == [first]
    here.now -= 3_600 * S  # an hour back, while it runs
    here.store.expire()
    assert 0 < here.store.leases.remaining(second) <= 60 * S
    here.store.close()
    here.now -= 3_600 * S  # and again while it is closed
    here.again()
    assert 0 < here.store.leases.remaining(second) <= 60 * S
    here.now += 60 * S
    assert here.store.expire() == [second] and here.store.range() == []


def test_leases_and_their_keys_outlive_tables_and_merges():
    here = Here()
    lease = here.store.grant(10_000 * S)
    here.put(b"mine", b"1", lease)
    here.fill(300)
    here.store.compact(here.store.revision)
    here.fill(300)
    here.store.close()
    here.again()
    assert here.store.leases.get(lease).keys == {b"mine"}
    here.store.revoke(lease)
    assert here.store.get(b"mine") is None


# ---- files


def test_one_opener_at_a_time(tmp_path):
    store = Store.open(tmp_path / "s")
    with pytest.raises(Locked):
        Store.open(tmp_path / "s")
    store.close()
    Store.open(tmp_path / "s").close()


def test_a_real_directory_serves_as_files_in_memory_do(tmp_path):
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


def test_a_newer_format_is_refused_and_named(monkeypatch):
    here = Here()
    here.put(b"a", b"1")
    here.store.close()
    monkeypatch.setattr(framing, "FORMAT", 0)
    with pytest.raises(NewerFormat, match="MANIFEST: has format 1"):
        here.again()


def test_a_batch_larger_than_a_segment_is_whole_or_not_there():
    here = Here()
    here.put(b"before", b"1")
    batch = Batch()
    for i in range(500):
        batch.put(b"%04d" % i, b"x" * 100)
    here.store.commit(batch)
    name = max(n for n in here.files.names() if n.startswith("log"))
    assert len(Here(files=here.files.copy()).store.range()) == 501
    big = max((n for n in here.files.names() if n.startswith("log")), key=lambda n: len(here.files.inodes[n].contents))
    assert len(here.files.inodes[big].contents) > 10 * SMALL.memtable_bytes and name
    # the same, killed while the record was being written
    here = Here(Options(contract="group"))
    here.put(b"before", b"1")
    here.store.flush()
    here.store.commit(batch)
    here.store.begin_flush()
    name = next(n for n in here.files.names() if n.startswith("log"))
    whole = len(here.files.inodes[name].contents)
    for size in (whole - 1, whole // 2, 100):
        assert [item.key for item in Here(files=here.files.with_file_cut(name, size).copy()).store.range()] == [
            b"before"
        ]


def test_a_torn_tail_is_cut_off_and_told_and_damage_before_whole_records_is_not():
    here = Here(Options(contract="always"))
    for i in range(5):
        here.put(b"a", b"%d" % i * 20)
    name = next(n for n in here.files.names() if n.startswith("log"))
    size = len(here.files.inodes[name].contents)
    torn = Here(files=here.files.with_file_cut(name, size - 5).copy()).store
    assert torn.revision == 4 and torn.recovered.torn_bytes > 0
    with pytest.raises(Corrupt, match=f"{name}: at byte .* damaged.*salvage"):
        Here(files=here.files.with_bit_flipped(name, size // 2, 1))


def test_unsynced_writes_that_reached_the_disk_out_of_order_are_a_torn_tail():
    here = Here(Options(contract="none"))
    name = next(n for n in here.files.names() if n.startswith("log"))
    ends = []
    for i in range(4):
        here.put(b"a", b"%d" % i * 20)
        here.store.flush()
        ends.append(len(here.files.inodes[name].contents))
    data = bytearray(here.files.inodes[name].contents)
    data[ends[0] : ends[1]] = bytes(ends[1] - ends[0])  # the second never came, the third and fourth did
    store = Here(
        files=MemoryFiles.from_contents(
            {**{n: bytes(i.contents) for n, i in here.files.inodes.items()}, name: bytes(data)}
        )
    )
    assert store.store.revision == 1 and store.store.recovered.torn_frames == 2


def test_files_that_are_missing_or_not_named():
    here = Here()
    here.fill(400)
    contents = {name: bytes(inode.contents) for name, inode in here.files.copy().inodes.items()}
    table = plan.table_name(load(here.files).tables[0].number)
    for gone in (table, "MANIFEST", max(name for name in contents if name.startswith("log"))):
        with pytest.raises(Corrupt) as told:
            Here(files=MemoryFiles.from_contents({name: data for name, data in contents.items() if name != gone}))
        assert told.value.file == gone
    more = contents | {
        "table-0000009999": b"half",
        "MANIFEST.new": b"half",
        "notes.txt": b"mine",
        "log-0000009999": b"",
    }
    opened = Here(files=MemoryFiles.from_contents(more))
    assert opened.store.recovered.unknown_files == ("notes.txt",) and "notes.txt" in opened.files.names()
    assert set(opened.store.recovered.removed) == {"table-0000009999", "MANIFEST.new", "log-0000009999"}


def test_an_index_that_is_whole_while_its_log_is_cut_short():
    here = Here()
    here.fill(400)
    manifest = load(here.files)
    assert manifest.flushed_record > 0 and manifest.segments
    closed = plan.log_name(manifest.segments[-1].number)
    with pytest.raises(Corrupt, match=closed):
        Here(files=here.files.with_file_cut(closed, 100))
    source, target = here.files.with_file_cut(closed, 100), MemoryFiles()
    found, taken = salvage.salvage(source, target, 0)
    assert (
        found.findings and taken.last_record == here.store.info().records
    )  # tables have it: nothing is lost but history
    assert Here(files=target).store.range() == here.store.range()


def test_a_salvage_takes_what_a_table_was_made_from_where_that_is_damaged():
    here = Here()
    here.fill(600)
    here.store.compact(here.store.revision)
    here.store.finish_work()
    manifest = load(here.files)
    merged = next(table for table in manifest.tables if table.sources)
    name = plan.table_name(merged.number)
    damaged = here.files.with_bit_flipped(name, 500, 3)
    assert [f.file for f in salvage.verify(damaged)] == [name]
    target = MemoryFiles()
    _, taken = salvage.salvage(damaged, target, 0)
    assert merged.number not in [table.number for table in taken.tables]
    assert Here(files=target).store.range() == here.store.range()


def test_a_salvage_never_writes_into_a_directory_that_holds_something():
    here = Here()
    with pytest.raises(Exception, match="not empty"):
        salvage.salvage(here.files, MemoryFiles.from_contents({"x": b""}), 0)


@pytest.mark.parametrize("lasting", [False, True])
def test_a_disk_that_fails_makes_it_read_only_and_loses_nothing_acknowledged(lasting):
    here = Here(Options(contract="group"))
    here.put(b"a", b"kept")
    here.store.flush()
    here.files.fault, here.files.fail_at = OSError(28, "No space left"), here.files.steps + 1
    here.files.keep_failing = lasting
    told = []
    here.store.commit(Batch().put(b"a", b"in doubt"), acknowledged=told.append)
    here.store.flush()
    assert len(told) == 1 and isinstance(told[0], ReadOnly) and told[0].cause.errno == 28
    with pytest.raises(ReadOnly, match="No space left"):
        here.put(b"b", b"x")
    assert Here(files=here.files.after_power_cut(1)).store.get(b"a").value == b"kept"
    if lasting:
        with pytest.raises(ReadOnly):
            here.store.retry()
    here.files.fail_at = 0
    here.store.retry()
    here.put(b"b", b"x")
    here.store.flush()
    after = Here(files=here.files.after_power_cut(1)).store
    assert after.get(b"a").value == b"in doubt" and after.get(b"b").value == b"x" and after.revision == 3


def test_a_crash_while_a_store_is_made_leaves_one_that_can_be_made_again():
    for step in range(1, 12):
        files = MemoryFiles()
        files.fail_at = step
        try:
            Store.open("memory", SMALL, files=files)
        except BaseException as cut:
            assert type(cut).__name__ == "PowerCut"
        for seed in range(4):
            assert Here(files=files.after_power_cut(seed)).store.revision == 0


def test_work_goes_in_slices_and_writes_go_on_meanwhile():
    here = Here(Options(contract="group", memtable_bytes=65_536, block_bytes=256))
    ticks = iter(range(0, 1 << 40, 1_000)).__next__  # each look at the clock takes a millisecond
    here.store._wake, here.store._ticks = (lambda store: None), ticks
    for i in range(2_000):
        here.store.commit(Batch().put(b"%05d" % i, b"x" * 40))
    here.store.flush()
    slices = 0
    while here.store.work():
        slices += 1
        here.put(b"meanwhile", b"%d" % slices)
    assert slices > 20 and here.store.info().tables
    assert len(here.store.range()) == 2_001


def test_a_long_history_of_one_key_while_readers_hold_old_revisions():
    here = Here(Options(contract="group", memtable_bytes=65_536))
    held = []
    for i in range(20_000):
        here.put(b"one", b"%d" % i)
        if i % 5_000 == 100:
            held.append(here.store.snapshot())
    here.store.finish_work()
    here.store.compact(19_999)
    here.store.finish_work()
    assert [snapshot.get(b"one").value for snapshot in held] == [b"100", b"5100", b"10100", b"15100"]
    for snapshot in held:
        snapshot.close()
    here.store.finish_work()
    assert here.store.get(b"one").value == b"19999"
    assert sum(table.entries for table in here.store.info().tables) < 10_000  # what nobody can read is gone
    assert here.store.get(b"one", at=19_999).version == 19_999


# ---- decisions


def table(number, low, high, size=1_000, sources=(), floor=0, stale=(), stale_count=0, entries=1_000):
    return TableInfo(number, low, high, high, floor, entries, size, sources, stale, stale_count)


def test_neighbours_of_one_size_are_merged_and_others_left():
    small, big = [table(9 - i, i, i) for i in range(3)], [table(2, 0, 0, 40_000), table(1, 0, 0, 50_000)]
    assert plan.choose_merge([*small[:2], *big], 1_000, 3, 0) is None
    assert plan.choose_merge([*small, *big], 1_000, 3, 0) == (0, 3)
    assert plan.choose_merge([small[0], *big, table(0, 0, 0, 45_000)], 1_000, 3, 0) == (0, 4)


def test_a_table_of_which_most_can_be_read_by_nobody_is_written_anew_once():
    stale = table(1, 1, 9, stale=tuple(range(1, 17)), stale_count=800)
    assert plan.choose_merge([stale], 1_000, 4, floor=0) is None and plan.choose_merge([stale], 1_000, 4, floor=16) == (
        0,
        1,
    )
    assert plan.choose_merge([table(1, 1, 9, stale=(1,) * 16, stale_count=800, floor=16)], 1_000, 4, floor=16) is None


def test_a_segment_goes_only_when_nothing_needs_it():
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
    numbers = lambda m: [segment.number for segment in m.segments]  # noqa: E731
    assert numbers(plan.without_unneeded_files(fresh, 20, reserve=True)) == [1, 2]  # the tables have no other source
    assert numbers(plan.without_unneeded_files(fresh, 20, reserve=False)) == []
    assert numbers(plan.without_unneeded_files(fresh, 15, reserve=False)) == [2]  # history
    assert plan.without_unneeded_files(fresh, 15, reserve=False).floor == 10


def test_a_rescue_strings_tables_together_and_passes_over_what_a_merge_has_replaced():
    merged, old, newer = table(7, 1, 40, sources=(3, 4)), table(3, 1, 20), table(8, 41, 60)
    log = plan.RecordRange(9, 55, 70, 54, 70)
    taken = plan.plan_salvage([old, newer, merged], [log])
    assert [one.number for one in taken.tables] == [8, 7] and (taken.last_record, taken.revision) == (70, 70)
    assert taken.floor == 54 and not taken.skipped
    without = plan.plan_salvage([old, newer], [log])  # a gap after record 20: a prefix, and the rest told as left
    assert [one.number for one in without.tables] == [3] and without.last_record == 20 and without.skipped == (log,)
    assert plan.plan_salvage([], [log]).last_record == 0


# ---- torture: a small, fixed part, and the faults that it must find


@pytest.fixture(scope="module")
def bench():
    return fault_injection.DamageTrials(5, 150_000)


def test_no_cut_and_no_flip_invents_or_loses_in_silence(bench):
    tally, places = fault_injection.TrialResults(), list(bench.positions())
    for place in places[::211]:
        bench.try_cut(*place, tally)
        bench.try_flip(*place, tally)
    assert tally.violations == [] and tally.tried == 2 * len(places[::211]) > 500
    assert tally.recovered > 100 and tally.refused > 100 and tally.written_out > 2


def test_no_power_cut_loses_what_was_acknowledged():
    tally = fault_injection.run_power_cuts(3, 60_000, 200, every=23)
    assert tally.violations == [] and tally.images > 10 and tally.recovered > 30


def test_no_failing_call_of_the_disk_loses_what_was_acknowledged():
    tally = fault_injection.run_disk_faults(4, 40_000, 150, every=17)
    assert tally.violations == [] and tally.recovered > 5


def test_the_torture_finds_a_sync_that_is_left_out():
    tally = fault_injection.run_power_cuts(3, 60_000, 200, every=23, ignore_syncs=True)
    assert tally.violations


def test_the_torture_finds_a_checksum_that_is_skipped(bench, monkeypatch):
    monkeypatch.setattr(framing, "crc32c", lambda data, before=0: 0)
    blind = fault_injection.DamageTrials(5, 60_000)
    tally, places = fault_injection.TrialResults(), list(blind.positions())
    for place in places[::61]:
        blind.try_flip(*place, tally)
    assert tally.violations


# ---- a model of histories against random steps


KEYS = st.sampled_from([b"a", b"ab", b"b", b"c", b"d\xff", b"\x00", b"zz"])
VALUES = st.binary(max_size=300)


class Histories(RuleBasedStateMachine):
    """The store beside a plain list of states, with crashes, compactions and merges among its steps."""

    snapshots = Bundle("snapshots")

    @initialize(contract=st.sampled_from(["always", "group"]), reserve=st.booleans())
    def begin(self, contract, reserve):
        self.here = Here(
            Options(
                contract=contract, memtable_bytes=4_096, block_bytes=256, cache_bytes=4_096, runs=2, reserve=reserve
            )
        )
        self.states, self.changes, self.compacted, self.held = [{}], [[]], 0, 0

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
        done = self.here.store.commit(batch, acknowledged=lambda error: self.keep(reached))
        assert done.revision == reached

    def keep(self, revision):
        self.held = max(self.held, revision)

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
        gone = [key for key in sorted(self.states[-1]) if start <= key and (end is None or key < end)]
        self.commit(Batch().delete_range(start, end), {}, gone)

    @rule()
    def flush(self):
        self.here.store.flush()

    @rule()
    def settle(self):
        self.here.store.finish_work()

    @rule(back=st.integers(0, 5))
    def compact(self, back):
        to = len(self.states) - 1 - back
        if to > self.compacted:
            self.here.store.compact(to)
            self.compacted = to

    @rule(seed=st.integers(0, 1 << 20))
    def power_cut(self, seed):
        self.reopen(self.here.files.after_power_cut(seed))

    @rule()
    def kill(self):
        self.reopen(self.here.files.copy())

    @rule()
    def close(self):
        self.here.store.close()
        self.reopen(self.here.files)

    def reopen(self, files):
        store = self.here.again(files)
        assert self.held <= store.revision < len(self.states)
        del self.states[store.revision + 1 :], self.changes[store.revision + 1 :]
        self.compacted = store.compacted
        self.held = store.revision

    @rule(back=st.integers(0, 8), start=KEYS, end=st.none() | KEYS)
    def read_back(self, back, start, end):
        at = len(self.states) - 1 - back
        if at < self.compacted:
            with pytest.raises((Compacted, FutureRevision)):
                self.here.store.range(at=at)
            return
        wanted = [item for key, item in sorted(self.states[at].items()) if key >= start and (end is None or key < end)]
        assert self.here.store.range(start, end, at=at) == wanted
        for key in (start, end or b"none"):
            assert self.here.store.get(key, at=at) == self.states[at].get(key)

    @rule()
    def history(self):
        upto = self.here.store.acknowledged_revision
        told = [(change.key, change.now) for change in self.here.store.changes(self.compacted + 1)]
        assert told == [one for made in self.changes[self.compacted + 1 : upto + 1] for one in made]

    @invariant()
    def now(self):
        if hasattr(self, "here"):
            assert self.here.store.range() == [item for _, item in sorted(self.states[-1].items())]


HISTORIES = hypothesis_settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)
test_the_store_keeps_to_a_model_of_histories = coverage_test(Histories, HISTORIES)
