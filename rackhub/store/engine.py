"""The store engine: commits, reads, leases, flushes and background work. Synchronous, for use by one thread.

The decisions are in `plan`, `records.retained` and `leases`, which access no disk; this module applies them through
the interface `Files`.

A commit goes to the memtable and to the write-ahead log's buffer at once, and is acknowledged when its durability
contract holds. A full memtable becomes immutable and its log segment is closed; `work` writes it out as a sorted table
and merges tables, in time slices. Reads see all commits, acknowledged or not. `changes` returns acknowledged revisions
only, since a crash must not take back what a watch has already delivered.
"""

import heapq
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any

import msgspec

from rackhub.store import plan
from rackhub.store.batch import Batch, Condition, Put
from rackhub.store.errors import (
    BadBatch,
    Compacted,
    Corrupt,
    FutureRevision,
    NoLease,
    ReadOnly,
    StoreError,
)
from rackhub.store.files import DiskFiles, File, Files
from rackhub.store.framing import HEADER_SIZE
from rackhub.store.leases import Leases
from rackhub.store.log import Log, check_sequence, offset_for_revision, read_segment
from rackhub.store.manifest import (
    MANIFEST_NAME,
    NEW_MANIFEST_NAME,
    Manifest,
    SegmentInfo,
    install,
    load,
    log_name,
    parse_name,
    table_name,
)
from rackhub.store.memtable import Memtable
from rackhub.store.options import Options
from rackhub.store.records import (
    COMPACTED,
    DATA,
    LEASE,
    LEASED_KEY,
    MAX_REVISION,
    Change,
    Entry,
    KeyValue,
    LeaseTerms,
    Record,
    encode,
    key_value,
    record_size,
    retained,
)
from rackhub.store.table import BlockCache, Table, TableBuilder, TableInfo

DATA_END = b"l"  # the end of the range of DATA keys (b"k...")
NEWEST = MAX_REVISION  # reads the latest version; also above all record numbers of internal keys
TABLE_SYNC_BYTES = 524_288  # bytes of a new table between syncs: a single sync at its end would block too long
TRUNCATE_BYTES = 2_097_152  # bytes of a deleted file that are freed in one step
ENTRIES_PER_STEP = 64  # merged entries between two checks of the time budget
MAX_IMMUTABLE_MEMTABLES = 2  # if more wait to be written out, each commit does a slice of background work first

AcknowledgeCallback = Callable[[StoreError | None], None]


class Commit(msgspec.Struct, frozen=True):
    """The result of a commit: the store's revision after it, and whether its conditions were met."""

    revision: int
    applied: bool


class Recovered(msgspec.Struct, frozen=True):
    """The actions that opening the store took to recover.

    Names in `msgspec.field` are those of the JSON output, which are stable.
    """

    records: int  # number of records replayed from the log
    torn_bytes: int  # truncated from the end of the log: part of commits that were never acknowledged
    discarded_frames: int = msgspec.field(name="torn_whole")  # number of valid frames in the truncated bytes
    removed: tuple[str, ...]  # names of incomplete or unused files that were removed
    unknown_files: tuple[str, ...] = msgspec.field(name="strange")  # names that no store creates; left alone


class Info(msgspec.Struct, frozen=True):
    """Statistics of a store. Sizes in bytes."""

    revision: int
    compacted: int  # the lowest revision that can be read without a snapshot
    floor: int  # history up to this revision is no longer in the log
    records: int  # number of records ever committed
    tables: list[TableInfo]
    retired: int  # number of tables kept for salvage only
    segments: int
    log_bytes: int
    table_bytes: int
    memory_entries: int
    leases: int
    read_only: str  # the disk error that made the store read-only, or ""
    recovered: Recovered


def unix_clock() -> int:
    """The current time in Unix microseconds."""
    return time.time_ns() // 1_000


def monotonic() -> int:
    """The monotonic clock in microseconds."""
    return time.monotonic_ns() // 1_000


class Store:
    """An open store. Create it with `Store.open`."""

    def __init__(
        self,
        files: Files,
        options: Options,
        clock: Callable[[], int],
        ticks: Callable[[], int],
        wake: Callable[["Store"], None] | None,
    ):
        self.options = options
        self._files, self._clock, self._ticks, self._wake = files, clock, ticks, wake
        self._cache = BlockCache(options.cache_bytes)
        self._sync_each_commit = options.contract == "always"
        self._tables: list[Table] = []  # newest first
        self._immutable_memtables: list[Memtable] = []  # newest first
        self._pinned_revisions: Counter[int] = Counter()
        self._obsolete_tables: dict[int, Table] = {}  # replaced by a merge while a scan was reading them
        self._obsolete_files: deque[str] = deque()  # names of files that the manifest no longer lists
        self._segment_readers: Counter[str] = Counter()  # open `changes` iterators by segment name
        self._segment_offsets: dict[int, list[tuple[int, int]]] = {}  # `Log.offsets` of closed segments, by number
        self._pending_acks: deque[tuple[int, AcknowledgeCallback]] = deque()  # (record, callback), in order
        # Yields a file that must be synced before the next step, or None where it may be interrupted.
        self._background_job: Iterator[File | None] | None = None
        self._fault: OSError | None = None  # the disk error that made the store read-only
        self._damage: Corrupt | None = None  # the corruption that stopped background work
        self._is_open, self._syncing, self._wake_pending, self._working_now = True, False, False, False
        self._acknowledging = False
        self._compaction_record = 0  # number of the latest record that moved the compacted revision
        self._collected_floor = -1  # compaction floor of the latest garbage collection
        self._no_work_left = False  # the latest call of `work` found nothing to do, and nothing has come up since
        self.table_bytes_written = 0  # bytes, to compute the write amplification
        self.log_bytes_written = 0

    # ---- opening

    @classmethod
    def open(
        cls,
        path: str | Path,
        options: Options | None = None,
        *,
        files: Files | None = None,
        clock: Callable[[], int] = unix_clock,
        ticks: Callable[[], int] = monotonic,
        wake: Callable[["Store"], None] | None = None,
    ) -> "Store":
        """Open the store in the directory `path`, which is created if it does not exist.

        `clock` returns Unix microseconds, for leases; `ticks` returns monotonic microseconds, for time slices. `wake`
        is called once when there is something for `flush` or `work` to do, and again only after `wake_received` was
        called. Without `wake`, commits do background work themselves, and flush when a log frame or the memtable is
        full.

        Raises `Locked`, `Corrupt`, `NewerFormat`, and `OSError` if the disk can't be used. No committed data is changed
        then, but incomplete files and a torn end of the log may have been removed.
        """
        files = files if files is not None else DiskFiles(path)
        files.lock()
        store = cls(files, options or Options(), clock, ticks, wake)
        try:
            store._recover()
        except BaseException:
            store._release()
            raise
        return store

    def _recover(self) -> None:
        """Rebuild the state in memory from the manifest, the tables and the log, and repair the end of the log."""
        names = self._files.names()
        if MANIFEST_NAME not in names:
            self._create(names)
        manifest = load(self._files)
        sizes = {name: self._size(name) for name in self._files.names()}
        recovery_plan = plan.plan_recovery(manifest, sizes)
        self._manifest = manifest
        for info in manifest.tables:
            name = table_name(info.number)
            table = Table(name, info.number, self._files.open(name), self._cache)
            if table.info != info:
                raise Corrupt(name, 0, "does not match the table that the manifest lists")
            self._tables.append(table)
        self._memtable = Memtable(manifest.flushed_record + 1)
        replayed, latest_time = 0, manifest.clock
        for segment in recovery_plan.replay:
            for record in self._read_closed_segment(segment):
                if record.number > manifest.flushed_record:
                    self._memtable.add(record.number, record.revision, record.entries, record_size(record))
                    replayed, latest_time = replayed + 1, record.timestamp
        name = log_name(manifest.active_segment)
        size = sizes[name]
        self._log = Log(
            self._files,
            manifest.active_segment,
            manifest.active_first_record,
            manifest.active_revision_before,
            self.options.frame_bytes,
            self._files.open(name),
            size,
        )
        tail, records = self._log.replay(self._log.file, size)
        last_record = records[-1].number if records else manifest.active_first_record - 1
        if last_record < manifest.flushed_record:
            raise Corrupt(
                name,
                tail.end,
                f"truncated: ends with record {last_record}, but record {manifest.flushed_record} was durable",
            )
        for record in records:
            if record.number > manifest.flushed_record:
                self._memtable.add(record.number, record.revision, record.entries, record_size(record))
                replayed, latest_time = replayed + 1, record.timestamp
        self._reject_unlisted_segments(recovery_plan.later_segments)
        # From here on files are changed. After a crash at any step, the next opening repeats this recovery.
        if tail.torn_bytes:
            self._log.file.truncate(tail.end)
        self._log.written_size = self._log.durable_size = tail.end
        self._log.set_replayed(last_record, records[-1].revision if records else manifest.active_revision_before)
        # A killed process may have left these records in the page cache only. Sync them before a read returns them.
        self._log.file.sync()
        removed = (*recovery_plan.remove, *(log_name(number) for number in recovery_plan.later_segments))
        for obsolete_name in removed:
            self._files.remove(obsolete_name)
        if removed:
            self._files.sync_directory()
        self._last_record = last_record
        self.revision = max(self._log.revision, manifest.flushed_revision)
        self.recovered = Recovered(replayed, tail.torn_bytes, tail.torn_frames, removed, recovery_plan.unknown_files)
        self._restore_internal_state(latest_time)

    def _create(self, names: Sequence[str]) -> None:
        """Create a new store. A crash during an earlier creation leaves at most the two files removed here, without
        data.
        """
        incomplete = {log_name(1), NEW_MANIFEST_NAME}
        for name in names:
            if name not in incomplete and parse_name(name) or name == log_name(1) and self._size(name) > HEADER_SIZE:
                raise Corrupt(MANIFEST_NAME, 0, f"missing, although {name} exists")
        for name in incomplete.intersection(names):
            self._files.remove(name)
        log = Log(self._files, 1, 1, 0, self.options.frame_bytes)
        log.file.close()
        install(self._files, Manifest(2, 1, 1, 0, HEADER_SIZE, clock=self._clock()))

    def _size(self, name: str) -> int:
        file = self._files.open(name)
        try:
            return file.size()
        finally:
            file.close()

    def _reject_unlisted_segments(self, numbers: Iterable[int]) -> None:
        """Raise `Corrupt` for unlisted segments with records: the manifest lists a segment before its first record."""
        for number in numbers:
            if self._size(log_name(number)) > HEADER_SIZE:
                raise Corrupt(log_name(number), HEADER_SIZE, "contains records, but the manifest does not list it")

    def _read_closed_segment(self, segment: SegmentInfo) -> Iterator[Record]:
        """Yield the records of a closed segment in order. Raises `Corrupt` on gaps."""
        name, next_record, revision = log_name(segment.number), segment.first_record, segment.revision_before
        file = self._files.open(name)
        try:
            for offset, records in read_segment(name, segment.number, file, HEADER_SIZE, segment.size):
                for record in records:
                    next_record, revision = check_sequence(name, offset, record, next_record, revision)
                    yield record
        finally:
            file.close()
        if next_record != segment.last_record + 1:
            raise Corrupt(name, segment.size, f"ends with record {next_record - 1}, expected {segment.last_record}")

    def _restore_internal_state(self, latest_time: int) -> None:
        """Load leases and the compacted revision from the internal keys; the limits below are the ranges of their
        kinds.
        """
        self.leases = Leases(latest_time)
        for entry in self._scan_visible(LEASE, LEASE + b"\xff" * 9, NEWEST):
            self.leases.restore(
                int.from_bytes(entry.key[1:], "big"), msgspec.msgpack.decode(entry.value or b"", type=LeaseTerms)
            )
        for entry in self._scan_visible(LEASED_KEY, b"b", NEWEST):
            self.leases.attach(int.from_bytes(entry.key[1:9], "big"), entry.key[9:])
        marker = self._find_latest(COMPACTED)
        self.compacted = max(self._manifest.floor, int(marker.value) if marker and marker.value else 0)
        self.leases.advance_clock(self._clock())

    # ---- writing

    def batch(self) -> Batch:
        """Return an empty batch, for `commit`."""
        return Batch()

    def commit(
        self, batch: Batch, conditions: Sequence[Condition] = (), acknowledged: AcknowledgeCallback | None = None
    ) -> Commit:
        """Apply all changes of `batch` as one revision, if all conditions are met. Without any change there is no new
        revision.

        Reads see the changes on return. `acknowledged` is called once: with None when the durability contract holds, or
        with the error if the disk failed first (it is then unknown whether the changes survive, as after a crash). It
        may be called before this method returns: under `always`, without `wake`, and if the batch changes nothing.

        Raises `BadBatch`, `NoLease` and `ReadOnly`. After `ReadOnly` either the store was read-only before and nothing
        was changed, or the flush of this commit has failed: reads then see the commit, and `retry` writes it.
        """
        if self._fault is not None or not self._is_open:
            self._check_writable()
        if not self._no_work_left and (self._wake is None or len(self._immutable_memtables) > MAX_IMMUTABLE_MEMTABLES):
            self.work()  # before this commit is added, so that a flush in `work` can't acknowledge it
        if batch.size > self.options.batch_bytes:
            raise BadBatch(f"batch too large: {batch.size} bytes, at most {self.options.batch_bytes} are allowed")
        for condition in conditions:
            if not condition.is_met_by(self.get(condition.key)):
                return self._commit_without_changes(False, acknowledged)
        revision = self.revision + 1
        entries = self._resolve(batch, revision)
        if not entries:
            return self._commit_without_changes(True, acknowledged)
        # An internal entry comes with the data entry that causes it, so a single entry needs no look.
        has_internal_keys = len(entries) > 1 and any(entry.key[:1] != DATA for entry in entries)
        self._append(entries, revision, batch.size, acknowledged, has_internal_keys)
        return Commit(revision, True)

    def _commit_without_changes(self, applied: bool, acknowledged: AcknowledgeCallback | None) -> Commit:
        """Return the result of a commit that changes nothing. It is acknowledged once all earlier commits are."""
        if acknowledged is not None:
            self._pending_acks.append((self._last_record, acknowledged))
            self._acknowledge()
            self._wake_if_needed()
        return Commit(self.revision, applied)

    def _resolve(self, batch: Batch, revision: int) -> list[Entry]:
        """Return the batch's entries with create revision, version and lease filled in, so that a replay needs no look-
        ups.

        Raises `BadBatch` and `NoLease`.
        """
        entries: list[Entry] = []
        changed: set[bytes] = set()
        for change in batch.changes:
            if type(change) is not Put:
                continue
            key = DATA + change.key
            if key in changed:
                raise BadBatch(f"key {change.key!r} is put more than once in the batch")
            changed.add(key)
            previous = self._find_latest(key)
            if previous is not None and previous.value is not None:
                entries.append(
                    Entry(key, revision, change.value, previous.create_revision, previous.version + 1, change.lease)
                )
                old = previous.lease
            else:
                entries.append(Entry(key, revision, change.value, revision, 1, change.lease))
                old = 0
            if change.lease or old:
                self._move_lease(entries, change.key, old, change.lease)
        if len(changed) < len(batch.changes):  # not by the entries, which include those of leases
            self._resolve_deletes(batch, revision, entries, changed)
        return entries

    def _resolve_deletes(self, batch: Batch, revision: int, entries: list[Entry], put: set[bytes]) -> None:
        """Append the deletions of the batch to `entries`. Raises `BadBatch` for a key that is also put."""
        deleted: set[bytes] = set()
        for change in batch.changes:
            if isinstance(change, Put):
                continue
            start = DATA + change.key
            if change.end == change.key:
                end = start + b"\0"
                found = self._find_latest(start)
                existing: Iterable[Entry] = (found,) if found is not None and found.value is not None else ()
            else:
                end = DATA_END if change.end is None else DATA + change.end
                existing = list(self._scan_visible(start, end, NEWEST))
            for key in put:
                if start <= key < end:
                    raise BadBatch(f"key {key[1:]!r} is both put and deleted in the batch")
            for entry in existing:
                if entry.key in deleted:
                    continue
                deleted.add(entry.key)
                entries.append(Entry(entry.key, revision, None))
                if entry.lease:
                    self._move_lease(entries, entry.key[1:], entry.lease, 0)

    def _move_lease(self, entries: list[Entry], key: bytes, old: int, new: int) -> None:
        """Append the entries that detach `key` from the lease `old` and attach it to `new`; 0 stands for no lease."""
        if new:
            self.leases.advance_clock(self._clock())
            if not self.leases.remaining(new):
                raise NoLease(new)
        number = self._last_record + 1
        if old and old != new:
            entries.append(Entry(LEASED_KEY + old.to_bytes(8, "big") + key, number, None))
        if new and old != new:
            entries.append(Entry(LEASED_KEY + new.to_bytes(8, "big") + key, number, b""))

    def _append(
        self,
        entries: list[Entry],
        revision: int,
        size: int,
        acknowledged: AcknowledgeCallback | None,
        has_internal_keys: bool = True,
    ) -> None:
        """Add one record. This is the hot path of every commit, so rare cases are tested as cheaply as possible.

        `has_internal_keys`: the entries may include keys of the store itself.
        """
        number = self._last_record = self._last_record + 1
        self.revision = revision
        log, memory = self._log, self._memtable
        memory.add(number, revision, entries, size)
        pending = log.pending  # records of one flush share a timestamp
        log.add(Record(number, revision, pending[-1].timestamp if pending else self._clock(), entries), size)
        if has_internal_keys:
            for entry in entries:
                if entry.key[:1] != DATA:
                    self._apply_internal_key(entry)
        if acknowledged is not None:
            self._pending_acks.append((number, acknowledged))
        if self._sync_each_commit or self._wake is None and (log.full or memory.bytes >= self.options.memtable_bytes):
            self.flush()
            if self._fault is not None:
                raise ReadOnly(self._fault)
        if self._wake is not None and not self._wake_pending:
            self._wake_if_needed()

    def _apply_internal_key(self, entry: Entry) -> None:
        """Apply a change of an internal key to the leases and the compacted revision in memory."""
        kind, rest = entry.key[:1], entry.key[1:]
        if kind == LEASED_KEY:
            change = self.leases.attach if entry.value is not None else self.leases.detach
            change(int.from_bytes(rest[:8], "big"), rest[8:])
        elif kind == LEASE and entry.value is None:
            self.leases.remove(int.from_bytes(rest, "big"))
        elif kind == LEASE:
            terms = msgspec.msgpack.decode(entry.value or b"", type=LeaseTerms)
            self.leases.restore(int.from_bytes(rest, "big"), terms)
        elif entry.key == COMPACTED:
            self.compacted, self._compaction_record, self._no_work_left = (
                int(entry.value or 0),
                self._last_record,
                False,
            )

    def _check_writable(self) -> None:
        if not self._is_open:
            raise StoreError("the store is closed")
        if self._fault is not None:
            raise ReadOnly(self._fault)

    def _wake_if_needed(self) -> None:
        """Call `wake` if there is something to do and no call is outstanding."""
        if self._wake is not None and not self._wake_pending and (self.needs_flush or self.needs_work):
            self._wake_pending = True
            self._wake(self)

    def wake_received(self) -> None:
        """Allow the next call of `wake`. Call this first, then `flush` and `work`."""
        self._wake_pending = False

    # ---- durability

    @property
    def needs_flush(self) -> bool:
        """True if there are commits to write, sync or acknowledge."""
        return self._fault is None and (bool(self._log.pending) or bool(self._pending_acks) and not self._syncing)

    def flush(self, sync: bool = False) -> None:
        """Write all buffered commits, sync them unless the contract is `none`, and acknowledge them.

        `sync`: sync also under `none`. Does nothing between `begin_flush` and `end_flush`. If the disk fails, the store
        is read-only afterwards.
        """
        file = self.begin_flush(sync)
        if file is not None:
            try:
                file.sync()
            except OSError as fault:
                return self.end_flush(fault)
            self.end_flush(None)

    def begin_flush(self, sync: bool = False) -> File | None:
        """Write all buffered commits and return the file to sync, or None if there is nothing for the caller to sync.

        The caller syncs the file, possibly in another thread, and then calls `end_flush` in this one. Commits made
        meanwhile wait for the next flush. Does nothing if the store is read-only or closed, or a flush has begun
        already.
        """
        if self._fault is not None or self._syncing or not self._is_open:
            return None
        size_before = self._log.written_size
        try:
            if self.options.contract == "none" and not sync:
                self._log.write()
                file = None
            else:
                file = self._log.begin_sync()
        except OSError as fault:
            self._enter_read_only(fault)
            return None
        self.log_bytes_written += self._log.written_size - size_before
        if file is None:
            self._after_write()
            return None
        self._syncing = True
        return file

    def end_flush(self, fault: OSError | None) -> None:
        """Finish a flush after the sync has succeeded, or failed with `fault`."""
        self._syncing = False
        if fault is not None:
            return self._enter_read_only(fault)
        self._log.end_sync()
        self._after_write()
        self._wake_if_needed()

    def _after_write(self) -> None:
        """Close the log segment if it is full, then acknowledge what is written, and synced if the contract requires
        it.

        The segment is replaced first, so that a commit made by an acknowledgement goes to the new one. Failing to
        create it does not affect records that are on disk already, so these are acknowledged before the store turns
        read-only.
        """
        fault = self._rotate_if_full()
        self._acknowledge()
        if fault is not None:
            self._enter_read_only(fault)

    def _is_durable(self, number: int) -> bool:
        """True if record `number` is on disk."""
        return number < self._log.first_record or number <= self._log.durable_record

    @property
    def acknowledged_revision(self) -> int:
        """The latest revision for which the durability contract holds."""
        return self._log.revision if self.options.contract == "none" else self._log.durable_revision

    def _acknowledge(self) -> None:
        """Call the callbacks of committed records, in order. Not reentrant: a callback may commit and so get here
        again; the outer call then continues with what was added.
        """
        if self._acknowledging:
            return
        self._acknowledging = True
        try:
            while self._pending_acks and self._contract_holds(self._pending_acks[0][0]):
                self._pending_acks.popleft()[1](None)
        finally:
            self._acknowledging = False

    def _contract_holds(self, number: int) -> bool:
        """True if the durability contract holds for record `number`."""
        return number <= self._log.last_record if self.options.contract == "none" else self._is_durable(number)

    def _enter_read_only(self, fault: OSError) -> None:
        """Stop writing until `retry`, and report the error to all pending acknowledgements."""
        self._fault, self._background_job, self._no_work_left = fault, None, False
        pending, self._pending_acks = self._pending_acks, deque()
        for _, callback in pending:
            callback(ReadOnly(fault))

    @property
    def fault(self) -> OSError | None:
        """The error that made the store read-only, or None."""
        return self._fault

    def sync_failed(self, fault: OSError) -> None:
        """Report that the sync of a file that `work` handed to the caller has failed."""
        self._enter_read_only(fault)

    def abandon_sync(self) -> None:
        """Forget the sync in progress, whose result will not be reported; its data is synced again."""
        self._syncing, self._log.sync_target = False, None

    def retry(self) -> None:
        """Try to leave the read-only state: write commits that are not durable to a new segment, and accept writes
        again.

        Raises `ReadOnly` if the disk still fails.
        """
        if self._fault is None:
            return
        log = self._log
        try:
            # After a failed sync the state of the bytes after `durable_size` is unknown, and a second sync may wrongly
            # report success. They are cut off, and their records written again.
            log.file.truncate(log.durable_size)
            log.file.sync()
            self._remove_unlisted_files()
            not_durable = [*log.unsynced, *log.pending]
            log.last_record, log.revision = log.durable_record, log.durable_revision
            log.written_size, log.unsynced, log.pending, log.sync_target = log.durable_size, [], [], None
            log.pending = not_durable  # moved to the new segment; kept here if creating that fails
            self._start_segment()
            file = self._log.begin_sync()
            if file is not None:
                file.sync()
                self._log.end_sync()
        except OSError as fault:
            self._fault = fault
            raise ReadOnly(fault) from None
        self._fault = None
        self._acknowledge()

    def _remove_unlisted_files(self) -> None:
        """Free the space of incomplete and obsolete files."""
        self._obsolete_files.clear()
        listed = plan.listed_files(self._manifest)
        for name in self._files.names():
            if name not in listed and (parse_name(name) or name == NEW_MANIFEST_NAME):
                self._files.remove(name)

    def _rotate_if_full(self) -> OSError | None:
        """If the memtable is full, make it immutable and close its segment, which must be durable.

        Also compacts to `retain_revisions`, with a margin of a quarter so that not every rotation compacts. Returns the
        disk error, if any.
        """
        if (
            self._memtable.bytes >= self.options.memtable_bytes
            and self._memtable.last_record >= self._memtable.first_record
        ):
            try:
                if self._log.durable_size < self._log.written_size:  # happens under `none` only
                    file = self._log.begin_sync()
                    assert file is not None
                    file.sync()
                    self._log.end_sync()
                self._start_segment()
            except OSError as fault:
                return fault
            self._immutable_memtables.insert(0, self._memtable)
            self._memtable = Memtable(self._memtable.last_record + 1)
            self._no_work_left = False
            retain = self.options.retain_revisions
            if retain and self.revision - retain > self.compacted + retain // 4:
                self.compact(self.revision - retain)
        return None

    def _start_segment(self) -> None:
        """Close the active segment, all of which is on disk, and start the next one."""
        old, manifest = self._log, self._manifest
        new = Log(self._files, manifest.next_number, old.last_record + 1, old.revision, self.options.frame_bytes)
        closed = (
            (
                SegmentInfo(
                    old.number, old.first_record, old.last_record, old.revision_before, old.revision, old.written_size
                ),
            )
            if old.last_record >= old.first_record
            else ()
        )
        self._install_manifest(
            msgspec.structs.replace(
                manifest,
                next_number=manifest.next_number + 1,
                segments=(*manifest.segments, *closed),
                active_segment=new.number,
                active_first_record=new.first_record,
                active_revision_before=new.revision_before,
                active_durable_bytes=HEADER_SIZE,
            )
        )
        new.pending, new.pending_bytes = old.pending, old.pending_bytes
        self._segment_offsets[old.number] = old.offsets
        self._log = new
        old.file.close()

    def _install_manifest(self, manifest: Manifest) -> None:
        """Replace the manifest and queue the files that it no longer lists for deletion."""
        manifest = msgspec.structs.replace(manifest, clock=self._clock())
        install(self._files, manifest)
        unlisted = plan.listed_files(self._manifest) - plan.listed_files(manifest)
        self._manifest = manifest
        self._obsolete_files.extend(sorted(unlisted))
        self._no_work_left = self._no_work_left and not unlisted

    # ---- reading

    def get(self, key: bytes, at: int | None = None) -> KeyValue | None:
        """Return the key as of revision `at`, by default the current one. Raises `Compacted` and `FutureRevision`."""
        if at is not None:
            self._check_readable(at)
        entry = self._find_latest(DATA + key, NEWEST if at is None else at)
        return key_value(entry) if entry is not None and entry.value is not None else None

    def range(
        self, start: bytes = b"", end: bytes | None = None, at: int | None = None, limit: int = 0
    ) -> list[KeyValue]:
        """Return the keys from `start` to before `end` (None: to the last key) in order; at most `limit` if not 0."""
        found: list[KeyValue] = []
        for item in self.scan(start, end, at):
            found.append(item)
            if len(found) == limit:
                break
        return found

    def scan(self, start: bytes = b"", end: bytes | None = None, at: int | None = None) -> Iterator[KeyValue]:
        """Iterate as `range`, over the state at revision `at` or at the time of the call.

        Without a snapshot, compacting past that revision ends the iteration with `Compacted`; use `snapshot` for long
        scans.
        """
        if at is not None:
            self._check_readable(at)
        revision = self.revision if at is None else at
        return self._scan(start, end, revision)

    def _scan(self, start: bytes, end: bytes | None, revision: int, pinned: bool = False) -> Iterator[KeyValue]:
        for entry in self._scan_visible(DATA + start, DATA_END if end is None else DATA + end, revision):
            if revision < self.compacted and not pinned:
                raise Compacted(revision, self.compacted)
            yield key_value(entry)

    def changes(self, since: int) -> Iterator[Change]:
        """Iterate over the changes of the revisions from `since` to the one acknowledged last when the iteration
        starts.

        Raises `Compacted` if the history does not reach back so far, also if a segment that is still to be read has
        been deleted meanwhile.
        """
        if since <= self.compacted:
            raise Compacted(since, self.compacted)
        if since > self.revision + 1:
            raise FutureRevision(since, self.revision)
        return self._changes(since)

    def _changes(self, since: int) -> Iterator[Change]:
        last_revision = self.acknowledged_revision
        active, end = self._log, self._log.written_size if self.options.contract == "none" else self._log.durable_size
        segments = [segment for segment in self._manifest.segments if segment.revision >= since]
        for segment in segments:
            try:
                file = self._files.open(log_name(segment.number))
            except FileNotFoundError:
                raise Compacted(since, self.compacted) from None
            name = log_name(segment.number)
            self._segment_readers[name] += 1
            try:
                start = offset_for_revision(self._segment_offsets.get(segment.number, []), since)
                yield from self._changes_in(segment.number, file, start, segment.size, since, last_revision)
            finally:
                self._segment_readers[name] -= 1
                file.close()
        if last_revision >= since and last_revision > active.revision_before:
            try:
                file = self._files.open(active.name)
            except FileNotFoundError:
                raise Compacted(since, self.compacted) from None
            self._segment_readers[active.name] += 1
            try:
                yield from self._changes_in(
                    active.number, file, offset_for_revision(active.offsets, since), end, since, last_revision
                )
            finally:
                self._segment_readers[active.name] -= 1
                file.close()

    @staticmethod
    def _changes_in(number: int, file: File, start: int, end: int, since: int, last_revision: int) -> Iterator[Change]:
        for _, records in read_segment(log_name(number), number, file, start, end):
            for record in records:
                if not since <= record.revision <= last_revision:
                    continue
                for entry in record.entries:
                    if entry.key[:1] == DATA:
                        yield Change(
                            record.revision, entry.key[1:], key_value(entry) if entry.value is not None else None
                        )

    def snapshot(self, at: int | None = None) -> "Snapshot":
        """Return the state at revision `at`, by default the current one; it stays readable through compactions until
        closed.
        """
        if at is not None:
            self._check_readable(at)
        return Snapshot(self, self.revision if at is None else at)

    def _check_readable(self, at: int) -> None:
        if at < self.compacted:
            raise Compacted(at, self.compacted)
        if at > self.revision:
            raise FutureRevision(at, self.revision)

    def _find_latest(self, key: bytes, at: int = NEWEST) -> Entry | None:
        """Return the newest version up to `at`, which may be a deletion.

        Memtables and tables hold consecutive ranges of records, so an entry in a newer one is newer than all in older
        ones.
        """
        found = self._memtable.find(key, at)
        if found is not None:
            return found
        for memory in self._immutable_memtables:
            found = memory.find(key, at)
            if found is not None:
                return found
        for table in self._tables:
            found = table.find(key, at)
            if found is not None:
                return found
        return None

    def _scan_visible(self, start: bytes, end: bytes | None, at: int) -> Iterator[Entry]:
        """Yield the entries that exist at `at`, of keys from `start` to before `end`, in order."""
        sources: list[Iterator[Entry]] = [
            memory.scan(start, end) for memory in (self._memtable, *self._immutable_memtables) if memory.count
        ]
        sources += [table.scan(start, end) for table in self._tables]
        previous_key = b""
        for entry in sources[0] if len(sources) == 1 else merge_sorted(sources):
            if entry.sequence <= at and entry.key != previous_key:
                previous_key = entry.key
                if entry.value is not None:
                    yield entry

    # ---- history

    def compact(self, revision: int, acknowledged: AcknowledgeCallback | None = None) -> None:
        """Discard older versions: `get` and `scan` work from `revision` on, `changes` from `revision + 1` on.

        Raises `Compacted` if that has been done already, and `FutureRevision` if the store has not reached the
        revision.
        """
        self._check_writable()
        if revision <= self.compacted:
            raise Compacted(revision, self.compacted)
        if revision > self.revision:
            raise FutureRevision(revision, self.revision)
        self._append([Entry(COMPACTED, self._last_record + 1, str(revision).encode())], self.revision, 32, acknowledged)

    def _compaction_floor(self) -> int:
        """The lowest revision that must stay readable, for snapshots too; versions that only earlier ones can see may
        be dropped.
        """
        return min([self.compacted, *self._pinned_revisions])

    # ---- leases

    def grant(self, ttl: int, id: int = 0, acknowledged: AcknowledgeCallback | None = None) -> int:
        """Create a lease of `ttl` microseconds and return its id, which is generated if `id` is 0."""
        self._check_writable()
        if ttl <= 0 or not 0 <= id < 1 << 63:
            raise BadBatch(f"invalid lease: ttl {ttl} us, id {id}; the ttl must be above 0, the id from 0 to 2**63 - 1")
        if id and id in self.leases:
            raise BadBatch(f"lease {id} already exists")
        self.leases.advance_clock(self._clock())
        id = self.leases.new_id(id, self._last_record)
        self._append([self._lease_entry(id, ttl)], self.revision, 64, acknowledged)
        return id

    def keep_alive(self, id: int, acknowledged: AcknowledgeCallback | None = None) -> int:
        """Renew a lease and return its ttl in microseconds. Raises `NoLease` also if it has expired but is not revoked
        yet.
        """
        self._check_writable()
        self.leases.advance_clock(self._clock())
        if not self.leases.remaining(id):
            raise NoLease(id)
        ttl = self.leases.get(id).ttl
        self._append([self._lease_entry(id, ttl)], self.revision, 64, acknowledged)
        return ttl

    def _lease_entry(self, id: int, ttl: int) -> Entry:
        """The internal entry that stores a lease which ends `ttl` microseconds from now."""
        terms = LeaseTerms(ttl, self.leases.now + ttl)
        return Entry(LEASE + id.to_bytes(8, "big"), self._last_record + 1, encode(terms))

    def revoke(self, id: int, acknowledged: AcknowledgeCallback | None = None) -> Commit:
        """Remove a lease and delete its keys, as one revision or, if it has no keys, none. Raises `NoLease`."""
        self._check_writable()
        lease = self.leases.get(id)
        number, revision = self._last_record + 1, self.revision + 1
        name = id.to_bytes(8, "big")
        entries = [Entry(DATA + key, revision, None) for key in sorted(lease.keys)]
        entries += [Entry(LEASED_KEY + name + key, number, None) for key in sorted(lease.keys)]
        entries.append(Entry(LEASE + name, number, None))
        self._append(entries, revision if lease.keys else self.revision, 64 * len(entries), acknowledged)
        return Commit(self.revision, True)

    def expire(self, acknowledged: AcknowledgeCallback | None = None) -> list[int]:
        """Revoke all leases that have expired, and return their ids. `acknowledged` is called once for each lease."""
        self._check_writable()
        self.leases.advance_clock(self._clock())
        expired = self.leases.expired()
        for id in expired:
            self.revoke(id, acknowledged)
        return expired

    # ---- background work

    @property
    def needs_work(self) -> bool:
        """True if `work` should be called, as there may be background work."""
        if self._fault is not None or self._damage is not None or not self._is_open:
            return False
        return not self._no_work_left

    def _choose_merge(self) -> tuple[int, int] | None:
        return plan.choose_merge(
            self._manifest.tables, self.options.memtable_bytes, self.options.runs, self._compaction_floor()
        )

    def _needs_collection(self) -> bool:
        return self._collected_floor != self._compaction_floor()

    def work(self, budget: int = 0, sync: Callable[[File], bool] | None = None) -> bool:
        """Do background work for `budget` microseconds, 0: for the options' slice. Returns True if it should be called
        again.

        The work is writing memtables out, merging tables, and deleting obsolete files. Without `sync` this method syncs
        files itself. With it, `sync(file)` is called: True means that the file is synced; False means that the caller
        syncs it later, calls `sync_failed` if that fails, and calls `work` again only after that. An `OSError` that
        `sync` raises makes the store read-only.
        """
        if self._fault is not None or self._damage is not None or not self._is_open or self._working_now:
            return False
        self._working_now = True  # an acknowledgement callback may commit and so call this method again
        deadline = self._ticks() + (budget or self.options.slice_us)
        try:
            while self._ticks() < deadline:
                if self._background_job is None:
                    self._background_job = self._next_job()
                    if self._background_job is None:
                        self._no_work_left = True
                        return False
                step = next(self._background_job, self._background_job)  # the job itself is the end marker
                if step is self._background_job:
                    self._background_job = None
                elif step is not None:
                    if sync is None:
                        step.sync()  # type: ignore[union-attr]
                    elif not sync(step):  # type: ignore[arg-type]
                        return True
        except OSError as fault:
            self._enter_read_only(fault)
            return False
        except Corrupt as damage:  # background work stops; writes, and reads of undamaged data, continue
            self._damage, self._background_job = damage, None
            return False
        finally:
            self._working_now = False
        return self.needs_work

    @property
    def damage(self) -> Corrupt | None:
        """The corruption that stopped background work, or None."""
        return self._damage

    def finish_work(self) -> None:
        """Flush, then do all background work, however long it takes."""
        self.flush()
        while self.work(1_000_000):
            pass

    def _next_job(self) -> Iterator[File | None] | None:
        if self._immutable_memtables:
            return self._flush_memtable(self._immutable_memtables[-1])
        if self._obsolete_files:
            return self._delete_obsolete_file()
        positions = self._choose_merge()
        if positions is not None:
            return self._merge(*positions)
        return self._collect_garbage() if self._needs_collection() else None

    def _flush_memtable(self, memory: Memtable) -> Iterator[File | None]:
        """Write an immutable memtable out as the newest table."""
        floor, is_oldest = self._compaction_floor(), not self._tables
        entries = retained(memory.scan(b"", None), floor, is_oldest)
        for step in self._write_table(
            entries, memory.count, memory.first_record, memory.last_record, memory.revision, floor, ()
        ):
            if isinstance(step, Table):
                manifest = self._manifest
                self._tables.insert(0, step)
                self._immutable_memtables.remove(memory)
                self._install_manifest(
                    plan.without_unneeded_files(
                        msgspec.structs.replace(
                            manifest,
                            next_number=max(manifest.next_number, step.info.number + 1),
                            tables=(step.info, *manifest.tables),
                            flushed_record=memory.last_record,
                            flushed_revision=memory.revision,
                        ),
                        floor,
                        self.options.reserve,
                    )
                )
            else:
                yield step
        yield from memory.release_in_steps()

    def _merge(self, start: int, end: int) -> Iterator[File | None]:
        """Merge the tables at positions `start` to before `end`. Newer ones may be added in front meanwhile."""
        inputs = self._tables[start:end]
        infos = tuple(table.info for table in inputs)
        floor, is_oldest = self._compaction_floor(), end == len(self._tables)
        sources = [table.scan(fill_cache=False) for table in inputs]
        entries = retained(merge_sorted(sources) if len(sources) > 1 else sources[0], floor, is_oldest)
        count = sum(info.entries for info in infos)
        for step in self._write_table(
            entries,
            count,
            infos[-1].first_record,
            infos[0].last_record,
            infos[0].revision,
            floor,
            tuple(info.number for info in infos),
        ):
            if isinstance(step, Table):
                manifest = self._manifest
                position = self._tables.index(inputs[0])
                self._tables[position : position + len(inputs)] = [step]
                sources.clear()
                for table in inputs:
                    if table.open_scans:
                        self._obsolete_tables[table.info.number] = table
                self._install_manifest(
                    plan.without_unneeded_files(
                        msgspec.structs.replace(
                            manifest,
                            next_number=max(manifest.next_number, step.info.number + 1),
                            tables=tuple(table.info for table in self._tables),
                            retired=(*manifest.retired, *infos),
                        ),
                        floor,
                        self.options.reserve,
                    )
                )
            else:
                yield step

    def _write_table(
        self,
        entries: Iterator[Entry | None],
        count: int,
        first_record: int,
        last_record: int,
        revision: int,
        floor: int,
        sources: tuple[int, ...],
    ) -> Iterator[Any]:
        """Write a table. Yields None to pause, a `File` to sync, and last the open `Table`.

        The table is yielded only once all records committed before the writing began are durable: after a crash no
        table may contain a record, or have applied a compaction, that the log has lost.
        """
        number, required_record = self._manifest.next_number, self._last_record
        self._manifest = msgspec.structs.replace(self._manifest, next_number=number + 1)
        name = table_name(number)
        file = self._files.create(name)
        builder = TableBuilder(number, count, self.options.block_bytes)
        buffers, unsynced, steps = [builder.file_header()], 0, 0
        for entry in entries:
            if entry is None:
                yield None
                continue
            data = builder.add(entry)
            steps += 1
            if data is not None:
                buffers.append(data)
                file.append(buffers)
                unsynced += sum(map(len, buffers))
                buffers = []
                yield None
                if unsynced >= TABLE_SYNC_BYTES:
                    unsynced = 0
                    yield file
            elif not steps % ENTRIES_PER_STEP:
                yield None
        trailer, info = builder.finish(first_record, last_record, revision, floor, sources)
        file.append([*buffers, trailer])
        yield file
        self._files.sync_directory()
        while not self._is_durable(required_record):
            if self._syncing:
                yield None
                continue
            self._sync_log()
            yield None
        self.table_bytes_written += info.size
        yield builder.open(name, file, self._cache, info)

    def _sync_log(self) -> None:
        """Sync the log for a job that needs it durable, and raise the error if that fails.

        Without `sync=True` a flush under `none` would not sync, and the job would wait forever.
        """
        self.flush(sync=True)
        if self._fault is not None:
            raise self._fault

    def _collect_garbage(self) -> Iterator[File | None]:
        """Drop segments and tables that only compacted history needs."""
        floor = self._compaction_floor()
        while not self._is_durable(self._compaction_record):
            self._sync_log()
            yield None
        manifest = plan.without_unneeded_files(self._manifest, floor, self.options.reserve)
        if manifest != self._manifest:
            self._install_manifest(manifest)
        self._collected_floor = floor

    def _delete_obsolete_file(self) -> Iterator[File | None]:
        """Delete one file in steps.

        The system frees a large file in one go, which takes tens of milliseconds. So the name is removed first and then
        the contents in pieces, unless a reader still has the file open.
        """
        name = self._obsolete_files[0]
        file = self._files.open(name)
        self._files.remove(name)
        self._obsolete_files.popleft()
        parsed = parse_name(name)
        if parsed is not None:
            self._segment_offsets.pop(parsed[1], None)
        if (
            parsed is not None
            and parsed[0] == "table"
            and self._obsolete_tables.pop(parsed[1], None) is not None
            or self._segment_readers[name]
        ):
            file.close()  # a reader has it open: it is freed when the reader is done
            return
        size = file.size()
        while size > TRUNCATE_BYTES:
            size -= TRUNCATE_BYTES
            file.truncate(size)
            yield None
        file.close()

    # ---- statistics and closing

    def info(self) -> Info:
        """Return statistics of the store."""
        manifest = self._manifest
        return Info(
            self.revision,
            self.compacted,
            manifest.floor,
            self._last_record,
            list(manifest.tables),
            len(manifest.retired),
            len(manifest.segments) + 1,
            sum(segment.size for segment in manifest.segments) + self._log.written_size,
            sum(table.size for table in (*manifest.tables, *manifest.retired)),
            sum(memory.count for memory in (self._memtable, *self._immutable_memtables)),
            len(self.leases),
            str(self._fault) if self._fault else "",
            self.recovered,
        )

    def close(self) -> None:
        """Make all commits durable, acknowledge them and unlock the directory.

        Between `begin_flush` and `end_flush`, call `abandon_sync` first. An unfinished merge starts over at the next
        opening. Raises `ReadOnly` if the disk has failed, before or now.
        """
        if not self._is_open:
            return
        fault = self._fault
        if fault is None:
            self.flush(sync=True)
            fault = self._fault
        if fault is None:
            try:
                self._install_manifest(
                    msgspec.structs.replace(self._manifest, active_durable_bytes=self._log.durable_size)
                )
                while self._obsolete_files:
                    self._files.remove(self._obsolete_files.popleft())
            except OSError as error:
                fault = error
                self._enter_read_only(error)
        self._is_open = False
        self._release()
        if fault is not None:
            raise ReadOnly(fault)

    def _release(self) -> None:
        self._background_job = None
        for table in self._tables:
            table.close()
        if hasattr(self, "_log"):
            self._log.file.close()
        self._files.unlock()

    def __enter__(self) -> "Store":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


class Snapshot:
    """The state at one revision. While it is open, everything it can see is kept on disk, so close it."""

    def __init__(self, store: Store, revision: int):
        self._store, self.revision, self._closed = store, revision, False
        store._pinned_revisions[revision] += 1

    def get(self, key: bytes) -> KeyValue | None:
        """Return the key, or None."""
        self._check()
        entry = self._store._find_latest(DATA + key, self.revision)
        return key_value(entry) if entry is not None and entry.value is not None else None

    def scan(self, start: bytes = b"", end: bytes | None = None) -> Iterator[KeyValue]:
        """Iterate over the keys from `start` to before `end` in order."""
        self._check()
        return self._store._scan(start, end, self.revision, pinned=True)

    def range(self, start: bytes = b"", end: bytes | None = None, limit: int = 0) -> list[KeyValue]:
        """As `scan`, as a list; at most `limit` items if not 0."""
        found: list[KeyValue] = []
        for item in self.scan(start, end):
            found.append(item)
            if len(found) == limit:
                break
        return found

    def _check(self) -> None:
        if self._closed:
            raise StoreError("the snapshot is closed")

    def close(self) -> None:
        """Release the revision for compaction. May be called more than once."""
        if not self._closed:
            self._closed = True
            self._store._pinned_revisions[self.revision] -= 1
            if not self._store._pinned_revisions[self.revision]:
                del self._store._pinned_revisions[self.revision]
                self._store._no_work_left = False
                self._store._wake_if_needed()

    def __enter__(self) -> "Snapshot":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


def merge_sorted(sources: Sequence[Iterator[Entry]]) -> Iterator[Entry]:
    """Merge sources, given newest first, in order of key and from the newest version to the oldest."""

    def with_rank(source: Iterator[Entry], rank: int) -> Iterator[tuple[bytes, int, int, Entry]]:
        for entry in source:
            yield entry.key, rank, -entry.sequence, entry

    for _, _, _, entry in heapq.merge(*(with_rank(source, rank) for rank, source in enumerate(sources))):
        yield entry
