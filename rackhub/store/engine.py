"""The store: commits, reads, leases, and the work that goes on behind them. Synchronous, for one thread.

What it decides stands in `plan`, `records.kept` and `leases`, which touch no disk; here events meet the port `files`.

Writes go to a memory table and to the log's buffer at once; they are acknowledged when the contract holds. A memory
table that is full is closed together with its log segment and written out as a sorted table by `work`, in slices;
tables are merged there too. Reads see what is committed, acknowledged or not; `changes` gives acknowledged
revisions alone, as what leaves the process through a watch must not be taken back by a crash.
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

DATA_END = b"l"
NEWEST = MAX_REVISION
TABLE_SYNC_BYTES = 524_288  # bytes of a table that is being written, between syncs: one at its end would hold a turn up
TRUNCATE_BYTES = 2_097_152  # bytes of a removed file that are freed at once
ENTRIES_PER_STEP = 64  # entries of a merge between looks at the clock
MAX_IMMUTABLE_MEMTABLES = 2  # closed memory tables, from which on each commit does a slice of the work itself

AcknowledgeCallback = Callable[[StoreError | None], None]


class Commit(msgspec.Struct, frozen=True):
    """What became of a batch: the store's revision after it, and whether its conditions held."""

    revision: int
    applied: bool


class Recovered(msgspec.Struct, frozen=True):
    """What an opening had to do."""

    records: int  # replayed from the log
    torn_bytes: int  # cut off the end of the log: written by a commit that was never acknowledged
    torn_frames: int = msgspec.field(name="torn_whole")  # whole frames among them
    removed: tuple[str, ...]  # half-made files
    unknown_files: tuple[str, ...] = msgspec.field(name="strange")  # files that are none of a store's, left alone


class Info(msgspec.Struct, frozen=True):
    """A store in figures. Sizes in bytes, times in microseconds."""

    revision: int
    compacted: int
    floor: int
    records: int
    tables: list[TableInfo]
    retired: int
    segments: int
    log_bytes: int
    table_bytes: int
    memory_entries: int
    leases: int
    read_only: str
    recovered: Recovered


def unix_clock() -> int:
    return time.time_ns() // 1_000


def monotonic() -> int:
    return time.monotonic_ns() // 1_000


class Store:
    """An open store. Made by `Store.open`."""

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
        self._obsolete_tables: dict[int, Table] = {}  # tables put out of use while a reader was in them
        self._obsolete_files: deque[str] = deque()  # files that the manifest names no more
        self._segment_readers: Counter[str] = Counter()  # segments that `changes` is reading
        self._segment_offsets: dict[int, list[tuple[int, int]]] = {}
        self._pending_acks: deque[tuple[int, AcknowledgeCallback]] = deque()
        self._background_job: Iterator[File | None] | None = None
        self._fault: OSError | None = None
        self._damage: Corrupt | None = None
        self._is_open, self._syncing, self._wake_pending, self._working_now = True, False, False, False
        self._acknowledging = False
        self._compaction_record = 0  # the record that compacted last
        self._collected_floor = -1
        self._idle = False  # the last look found no work, and nothing has come up since
        self.table_bytes_written = 0  # bytes, for the measure of write amplification
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
        """Open the store in the directory `path`, made where it is not there.

        `clock`: Unix microseconds, for leases. `wake` is called when there is something for `flush` or `work` to do,
        once until `woken` is called; without it commits do that work themselves. Raises `Locked`, `Corrupt`,
        `NewerFormat`, and `OSError` where the disk can't be used; what is on disk is then as it was.
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
                raise Corrupt(name, 0, "is not the table that the manifest names")
            self._tables.append(table)
        self._memtable = Memtable(manifest.flushed_record + 1)
        replayed, seen = 0, manifest.clock
        for segment in recovery_plan.replay:
            for record in self._read_closed_segment(segment):
                if record.number > manifest.flushed_record:
                    self._memtable.add(record.number, record.revision, record.entries, record_size(record))
                    replayed, seen = replayed + 1, record.timestamp
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
        last = records[-1].number if records else manifest.active_first_record - 1
        if last < manifest.flushed_record:
            raise Corrupt(
                name,
                tail.end,
                f"cut short: it ends with record {last}, and record {manifest.flushed_record} was on disk",
            )
        for record in records:
            if record.number > manifest.flushed_record:
                self._memtable.add(record.number, record.revision, record.entries, record_size(record))
                replayed, seen = replayed + 1, record.timestamp
        self._reject_unlisted_segments(recovery_plan.later_segments)
        # From here on the disk is changed, each step so that a crash after it leads here again.
        if tail.torn_bytes:
            self._log.file.truncate(tail.end)
        self._log.written_size = self._log.durable_size = tail.end
        self._log.set_replayed(last, records[-1].revision if records else manifest.active_revision_before)
        self._log.file.sync()  # what is served from now on must not be lost: it may have been in memory only
        removed = (*recovery_plan.remove, *(log_name(number) for number in recovery_plan.later_segments))
        for gone in removed:
            self._files.remove(gone)
        if removed:
            self._files.sync_directory()
        self._number = last
        self.revision = max(self._log.revision, manifest.flushed_revision)
        self.recovered = Recovered(replayed, tail.torn_bytes, tail.torn_frames, removed, recovery_plan.unknown_files)
        self._restore_internal_state(seen)

    def _create(self, names: Sequence[str]) -> None:
        """A new store. A crash while one was made leaves at most these two names, with nothing in them yet."""
        left = {log_name(1), NEW_MANIFEST_NAME}
        for name in names:
            if name not in left and parse_name(name) or name == log_name(1) and self._size(name) > HEADER_SIZE:
                raise Corrupt(MANIFEST_NAME, 0, f"is not there, and {name} is")
        for name in left.intersection(names):
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
        """A segment is named in the manifest before a record goes into it, so one that is not has none."""
        for number in numbers:
            if self._size(log_name(number)) > HEADER_SIZE:
                raise Corrupt(log_name(number), HEADER_SIZE, "holds records, and the manifest does not name it")

    def _read_closed_segment(self, segment: SegmentInfo) -> Iterator[Record]:
        name, due, revision = log_name(segment.number), segment.first_record, segment.revision_before
        file = self._files.open(name)
        try:
            for start, some in read_segment(name, segment.number, file, HEADER_SIZE, segment.size):
                for record in some:
                    due, revision = check_sequence(name, start, record, due, revision)
                    yield record
        finally:
            file.close()
        if due != segment.last_record + 1:
            raise Corrupt(name, segment.size, f"ends with record {due - 1}, not {segment.last_record}")

    def _restore_internal_state(self, seen: int) -> None:
        """Leases and the compacted revision, from the store's own keys."""
        self.leases = Leases(seen)
        for entry in self._scan_visible(LEASE, LEASE + b"\xff" * 9, NEWEST):
            self.leases.restore(
                int.from_bytes(entry.key[1:], "big"), msgspec.msgpack.decode(entry.value or b"", type=LeaseTerms)
            )
        for entry in self._scan_visible(LEASED_KEY, b"b", NEWEST):
            self.leases.attach(int.from_bytes(entry.key[1:9], "big"), entry.key[9:])
        told = self._find_latest(COMPACTED)
        self.compacted = max(self._manifest.floor, int(told.value) if told and told.value else 0)
        self.leases.advance_clock(self._clock())

    # ---- writing

    def batch(self) -> Batch:
        """An empty batch, for `commit`."""
        return Batch()

    def commit(
        self, batch: Batch, conditions: Sequence[Condition] = (), acknowledged: AcknowledgeCallback | None = None
    ) -> Commit:
        """Make all changes of `batch` as one revision, if all conditions hold.

        Reads see them on return. `acknowledged` is called once: with None when the contract holds for them, or with
        the error where the disk failed first (then they are in doubt, as after a crash). That is after this returns,
        but under `always` and in a store without `wake`. Raises `BadBatch`, `NoLease`, and `ReadOnly` where
        nothing was written.
        """
        if self._fault is not None or not self._is_open:
            self._check_writable()
        if not self._idle and (self._wake is None or len(self._immutable_memtables) > MAX_IMMUTABLE_MEMTABLES):
            self.work()  # before this commit is there: it must not be acknowledged before its caller knows of it
        if batch.size > self.options.batch_bytes:
            raise BadBatch(f"a batch of {batch.size} bytes: {self.options.batch_bytes} are allowed")
        for condition in conditions:
            if not condition.is_met_by(self.get(condition.key)):
                return self._commit_without_changes(False, acknowledged)
        revision = self.revision + 1
        entries = self._resolve(batch, revision)
        if not entries:
            return self._commit_without_changes(True, acknowledged)
        self._append(entries, revision, batch.size, acknowledged, has_internal_keys=len(entries) > len(batch.changes))
        return Commit(revision, True)

    def _commit_without_changes(self, applied: bool, acknowledged: AcknowledgeCallback | None) -> Commit:
        """AcknowledgeCallback all the same only once what it was decided by is on disk."""
        if acknowledged is not None:
            self._pending_acks.append((self._number, acknowledged))
            self._acknowledge()
            self._wake_if_needed()
        return Commit(self.revision, applied)

    def _resolve(self, batch: Batch, revision: int) -> list[Entry]:
        """What the batch comes to, as entries: what a replay needs no earlier state for."""
        entries: list[Entry] = []
        changed: set[bytes] = set()
        for change in batch.changes:
            if type(change) is not Put:
                continue
            key = DATA + change.key
            if key in changed:
                raise BadBatch(f"key {change.key!r} is put twice in one batch")
            changed.add(key)
            before = self._find_latest(key)
            if before is not None and before.value is not None:
                entries.append(
                    Entry(key, revision, change.value, before.create_revision, before.version + 1, change.lease)
                )
                old = before.lease
            else:
                entries.append(Entry(key, revision, change.value, revision, 1, change.lease))
                old = 0
            if change.lease or old:
                self._move_lease(entries, change.key, old, change.lease)
        if len(entries) < len(batch.changes):
            self._resolve_deletes(batch, revision, entries, changed)
        return entries

    def _resolve_deletes(self, batch: Batch, revision: int, entries: list[Entry], put: set[bytes]) -> None:
        gone: set[bytes] = set()
        for change in batch.changes:
            if isinstance(change, Put):
                continue
            start = DATA + change.key
            if change.end == change.key:
                end = start + b"\0"
                found = self._find_latest(start)
                there: Iterable[Entry] = (found,) if found is not None and found.value is not None else ()
            else:
                end = DATA_END if change.end is None else DATA + change.end
                there = list(self._scan_visible(start, end, NEWEST))
            for key in put:
                if start <= key < end:
                    raise BadBatch(f"key {key[1:]!r} is both put and deleted in one batch")
            for entry in there:
                if entry.key in gone:
                    continue
                gone.add(entry.key)
                entries.append(Entry(entry.key, revision, None))
                if entry.lease:
                    self._move_lease(entries, entry.key[1:], entry.lease, 0)

    def _move_lease(self, entries: list[Entry], key: bytes, old: int, new: int) -> None:
        if new:
            self.leases.advance_clock(self._clock())
            if not self.leases.remaining(new):
                raise NoLease(new)
        number = self._number + 1
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
        """One record. `own`: there may be keys of the store's own among the entries. Each commit goes through here,
        so what most of them do not need is asked for as cheaply as it can be."""
        number = self._number = self._number + 1
        self.revision = revision
        log, memory = self._log, self._memtable
        memory.add(number, revision, entries, size)
        waiting = log.pending  # those of one turn bear one time
        log.add(Record(number, revision, waiting[-1].timestamp if waiting else self._clock(), entries), size)
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
        """Carry a change of the store's own keys over to what is kept of them in memory."""
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
            self.compacted, self._compaction_record, self._idle = int(entry.value or 0), self._number, False

    def _check_writable(self) -> None:
        if not self._is_open:
            raise StoreError("the store is closed")
        if self._fault is not None:
            raise ReadOnly(self._fault)

    def _wake_if_needed(self) -> None:
        if self._wake is not None and not self._wake_pending and (self.needs_flush or self.needs_work):
            self._wake_pending = True
            self._wake(self)

    def wake_received(self) -> None:
        """Whoever tends the store has come: `wake` is called again for what comes up from now on."""
        self._wake_pending = False

    # ---- making writes last

    @property
    def needs_flush(self) -> bool:
        """Whether commits wait for `flush`."""
        return self._fault is None and (bool(self._log.pending) or bool(self._pending_acks) and not self._syncing)

    def flush(self, sync: bool = False) -> None:
        """Make the contract hold for all commits so far and acknowledge them, with one sync; `sync`: also under `none`.
        Where the disk fails the store is read-only from here on."""
        file = self.begin_flush(sync)
        if file is not None:
            try:
                file.sync()
            except OSError as fault:
                return self.end_flush(fault)
            self.end_flush(None)

    def begin_flush(self, sync: bool = False) -> File | None:
        """The first half of `flush`: the file to be synced, which another thread may do before `end_flush` is called
        here. None where nothing is to be synced. Commits meanwhile wait for the next one."""
        if self._fault is not None or self._syncing or not self._is_open:
            return None
        before = self._log.written_size
        try:
            if self.options.contract == "none" and not sync:
                self._log.write()
                file = None
            else:
                file = self._log.begin_sync()
        except OSError as fault:
            self._enter_read_only(fault)
            return None
        self.log_bytes_written += self._log.written_size - before
        if file is None:
            self._after_write()
            return None
        self._syncing = True
        return file

    def end_flush(self, fault: OSError | None) -> None:
        """The second half: the sync came back, well or with `fault`."""
        self._syncing = False
        if fault is not None:
            return self._enter_read_only(fault)
        self._log.end_sync()
        self._after_write()
        self._wake_if_needed()

    def _after_write(self) -> None:
        """Records were written, and synced where the contract asks for it. What an acknowledgement commits goes to
        the next segment already where this one is full; one that can't be made is no fault of what is on disk."""
        fault = self._rotate_if_full()
        self._acknowledge()
        if fault is not None:
            self._enter_read_only(fault)

    def _is_durable(self, number: int) -> bool:
        """Whether record `number` is on disk."""
        return number < self._log.first_record or number <= self._log.durable_record

    @property
    def acknowledged_revision(self) -> int:
        """The last revision for which the contract holds."""
        return self._log.revision if self.options.contract == "none" else self._log.durable_revision

    def _acknowledge(self) -> None:
        """In order, and one after another: a call that commits and so comes here again leaves that to this walk."""
        if self._acknowledging:
            return
        self._acknowledging = True
        try:
            while self._pending_acks and self._is_committed(self._pending_acks[0][0]):
                self._pending_acks.popleft()[1](None)
        finally:
            self._acknowledging = False

    def _is_committed(self, number: int) -> bool:
        """Whether the contract holds for record `number`."""
        return number <= self._log.last_record if self.options.contract == "none" else self._is_durable(number)

    def _enter_read_only(self, fault: OSError) -> None:
        """The disk refused something: nothing is written until `retry`, and whoever waits is told."""
        self._fault, self._background_job, self._idle = fault, None, False
        waiting, self._pending_acks = self._pending_acks, deque()
        for _, call in waiting:
            call(ReadOnly(fault))

    @property
    def fault(self) -> OSError | None:
        """What made the store read-only."""
        return self._fault

    def sync_failed(self, fault: OSError) -> None:
        """A sync that `work` had handed out failed."""
        self._enter_read_only(fault)

    def abandon_sync(self) -> None:
        """The sync that was begun will not be heard of again; what it was for is synced anew."""
        self._syncing, self._log.sync_target = False, None

    def retry(self) -> None:
        """Try a read-only store's disk again: what was committed and not on disk is written to a new segment, and
        the store takes writes again. Raises `ReadOnly` where the disk still fails."""
        if self._fault is None:
            return
        old = self._log
        try:
            # What a failed sync left of these bytes is not known, and a second sync may wrongly call them written.
            old.file.truncate(old.durable_size)
            old.file.sync()
            self._remove_unlisted_files()
            again = [*old.unsynced, *old.pending]
            old.last_record, old.revision = old.durable_record, old.durable_revision
            old.written_size, old.unsynced, old.pending, old.sync_target = old.durable_size, [], [], None
            old.pending = again  # where the new segment can't be made, they wait for the next try
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
        """Free what half-made files take, and those that were to be removed anyway."""
        self._obsolete_files.clear()
        known = plan.listed_files(self._manifest)
        for name in self._files.names():
            if name not in known and (parse_name(name) or name == NEW_MANIFEST_NAME):
                self._files.remove(name)

    def _rotate_if_full(self) -> OSError | None:
        """Close what is full; the error, if any."""
        if (
            self._memtable.bytes >= self.options.memtable_bytes
            and self._memtable.last_record >= self._memtable.first_record
        ):
            try:
                if self._log.durable_size < self._log.written_size:  # under `none`: a closed segment is always whole
                    file = self._log.begin_sync()
                    assert file is not None
                    file.sync()
                    self._log.end_sync()
                self._start_segment()
            except OSError as fault:
                return fault
            self._immutable_memtables.insert(0, self._memtable)
            self._memtable = Memtable(self._memtable.last_record + 1)
            self._idle = False
            retain = self.options.retain_revisions
            if retain and self.revision - retain > self.compacted + retain // 4:
                self.compact(self.revision - retain)
        return None

    def _start_segment(self) -> None:
        """Close the active segment, all of which is on disk, and begin the next."""
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
        manifest = msgspec.structs.replace(manifest, clock=self._clock())
        install(self._files, manifest)
        gone = plan.listed_files(self._manifest) - plan.listed_files(manifest)
        self._manifest = manifest
        self._obsolete_files.extend(sorted(gone))
        self._idle = self._idle and not gone

    # ---- reading

    def get(self, key: bytes, at: int | None = None) -> KeyValue | None:
        """The key as it was at revision `at`, now without one. `Compacted`, `FutureRevision`."""
        if at is not None:
            self._check_readable(at)
        entry = self._find_latest(DATA + key, NEWEST if at is None else at)
        return key_value(entry) if entry is not None and entry.value is not None else None

    def range(
        self, start: bytes = b"", end: bytes | None = None, at: int | None = None, limit: int = 0
    ) -> list[KeyValue]:
        """The keys from `start` to before `end` (None: to the last), in order; at most `limit` of them if not 0."""
        found: list[KeyValue] = []
        for item in self.scan(start, end, at):
            found.append(item)
            if len(found) == limit:
                break
        return found

    def scan(self, start: bytes = b"", end: bytes | None = None, at: int | None = None) -> Iterator[KeyValue]:
        """As `range`, one by one. Without `at` it is of the state at its beginning; a compaction past that ends it
        with `Compacted`: hold a `snapshot` for a long one."""
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
        """Every change of every acknowledged revision from `since` on, in order. `Compacted` where history does not
        reach back so far, also if it is compacted away while this is read."""
        if since <= self.compacted:
            raise Compacted(since, self.compacted)
        if since > self.revision + 1:
            raise FutureRevision(since, self.revision)
        return self._changes(since)

    def _changes(self, since: int) -> Iterator[Change]:
        last = self.acknowledged_revision
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
                yield from self._changes_in(segment.number, file, start, segment.size, since, last)
            finally:
                self._segment_readers[name] -= 1
                file.close()
        if last >= since and last > active.revision_before:
            try:
                file = self._files.open(active.name)
            except FileNotFoundError:
                raise Compacted(since, self.compacted) from None
            self._segment_readers[active.name] += 1
            try:
                yield from self._changes_in(
                    active.number, file, offset_for_revision(active.offsets, since), end, since, last
                )
            finally:
                self._segment_readers[active.name] -= 1
                file.close()

    @staticmethod
    def _changes_in(number: int, file: File, start: int, end: int, since: int, last: int) -> Iterator[Change]:
        for _, records in read_segment(log_name(number), number, file, start, end):
            for record in records:
                if not since <= record.revision <= last:
                    continue
                for entry in record.entries:
                    if entry.key[:1] == DATA:
                        yield Change(
                            record.revision, entry.key[1:], key_value(entry) if entry.value is not None else None
                        )

    def snapshot(self, at: int | None = None) -> "Snapshot":
        """The state at revision `at`, now without one, readable until it is closed whatever is compacted meanwhile."""
        if at is not None:
            self._check_readable(at)
        return Snapshot(self, self.revision if at is None else at)

    def _check_readable(self, at: int) -> None:
        if at < self.compacted:
            raise Compacted(at, self.compacted)
        if at > self.revision:
            raise FutureRevision(at, self.revision)

    def _find_latest(self, key: bytes, at: int = NEWEST) -> Entry | None:
        """The newest version up to `at`, a deletion too. Memory and tables hold rows of records that follow one
        another, so what is found in a newer one is newer than all in older ones."""
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
        """What is there at `at` of the keys from `start` to before `end`, in order."""
        sources: list[Iterator[Entry]] = [
            memory.scan(start, end) for memory in (self._memtable, *self._immutable_memtables) if memory.count
        ]
        sources += [table.scan(start, end) for table in self._tables]
        done = b""
        for entry in sources[0] if len(sources) == 1 else merge_sorted(sources):
            if entry.sequence <= at and entry.key != done:
                done = entry.key
                if entry.value is not None:
                    yield entry

    # ---- history

    def compact(self, revision: int, acknowledged: AcknowledgeCallback | None = None) -> None:
        """Give up the history up to `revision`: it stays readable as a state, what lies before it does not.
        `Compacted` where that is done already, `FutureRevision` where the store is not there yet."""
        self._check_writable()
        if revision <= self.compacted:
            raise Compacted(revision, self.compacted)
        if revision > self.revision:
            raise FutureRevision(revision, self.revision)
        self._append([Entry(COMPACTED, self._number + 1, str(revision).encode())], self.revision, 32, acknowledged)

    def _compaction_floor(self) -> int:
        """Versions that only revisions before this one can see are free to go."""
        return min([self.compacted, *self._pinned_revisions])

    # ---- leases

    def grant(self, ttl: int, id: int = 0, acknowledged: AcknowledgeCallback | None = None) -> int:
        """A new lease of `ttl` microseconds; its id, chosen here where none is asked for."""
        self._check_writable()
        if ttl <= 0 or not 0 <= id < 1 << 63:
            raise BadBatch(f"a lease of {ttl} microseconds with id {id}: both must be above 0, the id under 2**63")
        if id and id in self.leases:
            raise BadBatch(f"lease {id} is there already")
        self.leases.advance_clock(self._clock())
        id = self.leases.new_id(id, self._number)
        self._append([self._lease_entry(id, ttl)], self.revision, 64, acknowledged)
        return id

    def keep_alive(self, id: int, acknowledged: AcknowledgeCallback | None = None) -> int:
        """Begin the lease's time anew; its length. `NoLease` also where it has run out and is not cleared away yet."""
        self._check_writable()
        self.leases.advance_clock(self._clock())
        if not self.leases.remaining(id):
            raise NoLease(id)
        ttl = self.leases.get(id).ttl
        self._append([self._lease_entry(id, ttl)], self.revision, 64, acknowledged)
        return ttl

    def _lease_entry(self, id: int, ttl: int) -> Entry:
        terms = LeaseTerms(ttl, self.leases.now + ttl)
        return Entry(LEASE + id.to_bytes(8, "big"), self._number + 1, encode(terms))

    def revoke(self, id: int, acknowledged: AcknowledgeCallback | None = None) -> Commit:
        """End a lease and delete its keys, as one revision where it has any."""
        self._check_writable()
        lease = self.leases.get(id)
        number, revision = self._number + 1, self.revision + 1
        name = id.to_bytes(8, "big")
        entries = [Entry(DATA + key, revision, None) for key in sorted(lease.keys)]
        entries += [Entry(LEASED_KEY + name + key, number, None) for key in sorted(lease.keys)]
        entries.append(Entry(LEASE + name, number, None))
        self._append(entries, revision if lease.keys else self.revision, 64 * len(entries), acknowledged)
        return Commit(self.revision, True)

    def expire(self, acknowledged: AcknowledgeCallback | None = None) -> list[int]:
        """Revoke the leases that have run out by the clock; which."""
        self._check_writable()
        self.leases.advance_clock(self._clock())
        over = self.leases.expired()
        for id in over:
            self.revoke(id, acknowledged)
        return over

    # ---- the work behind

    @property
    def needs_work(self) -> bool:
        """Whether `work` has something to do."""
        if self._fault is not None or self._damage is not None or not self._is_open:
            return False
        return not self._idle

    def _choose_merge(self) -> tuple[int, int] | None:
        return plan.choose_merge(
            self._manifest.tables, self.options.memtable_bytes, self.options.runs, self._compaction_floor()
        )

    def _needs_collection(self) -> bool:
        return self._collected_floor != self._compaction_floor()

    def work(self, budget: int = 0, sync: Callable[[File], bool] | None = None) -> bool:
        """Go on for `budget` microseconds (the options' slice without one) with what goes on behind: writing closed
        memory tables out, merging tables, dropping what nobody needs. True where there is more to do.

        `sync`, where given, is handed each file that is to be synced and says whether it has been; if not, the
        caller does so elsewhere and calls `work` again after it.
        """
        if self._fault is not None or self._damage is not None or not self._is_open or self._working_now:
            return False
        self._working_now = True  # an acknowledgement from here may commit, and come here again
        until = self._ticks() + (budget or self.options.slice_us)
        try:
            while self._ticks() < until:
                if self._background_job is None:
                    self._background_job = self._next_job()
                    if self._background_job is None:
                        self._idle = True
                        return False
                file = next(self._background_job, self._background_job)
                if file is self._background_job:
                    self._background_job = None
                elif file is not None:
                    if sync is None:
                        file.sync()  # type: ignore[union-attr]
                    elif not sync(file):  # type: ignore[arg-type]
                        return True
        except OSError as fault:
            self._enter_read_only(fault)
            return False
        except Corrupt as damage:  # merging goes no further; reads of the rest and all writes do
            self._damage, self._background_job = damage, None
            return False
        finally:
            self._working_now = False
        return self.needs_work

    @property
    def damage(self) -> Corrupt | None:
        """What merging ran into; it has ended with that."""
        return self._damage

    def finish_work(self) -> None:
        """Do all work there is, however long it takes."""
        self.flush()
        while self.work(1_000_000):
            pass

    def _next_job(self) -> Iterator[File | None] | None:
        if self._immutable_memtables:
            return self._flush_memtable(self._immutable_memtables[-1])
        if self._obsolete_files:
            return self._delete_obsolete_file()
        places = self._choose_merge()
        if places is not None:
            return self._merge(*places)
        return self._collect_garbage() if self._needs_collection() else None

    def _flush_memtable(self, memory: Memtable) -> Iterator[File | None]:
        """A closed memory table becomes the newest table."""
        floor, first = self._compaction_floor(), not self._tables
        entries = retained(memory.scan(b"", None), floor, first)
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
        """The tables from place `start` to before `end` become one. Newer ones may come meanwhile, in front."""
        inputs = self._tables[start:end]
        infos = tuple(table.info for table in inputs)
        floor, bottom = self._compaction_floor(), end == len(self._tables)
        sources = [table.scan(fill_cache=False) for table in inputs]
        entries = retained(merge_sorted(sources) if len(sources) > 1 else sources[0], floor, bottom)
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
                at = self._tables.index(inputs[0])
                self._tables[at : at + len(inputs)] = [step]
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
        low: int,
        high: int,
        revision: int,
        floor: int,
        sources: tuple[int, ...],
    ) -> Iterator[Any]:
        """Write a table in steps, with files to be synced among them; the open table comes last. It is handed over
        only once the log holds on disk all that it was made by: no table may be ahead of the log."""
        number, due = self._manifest.next_number, self._number
        self._manifest = msgspec.structs.replace(self._manifest, next_number=number + 1)
        name = table_name(number)
        file = self._files.create(name)
        builder = TableBuilder(number, count, self.options.block_bytes)
        parts, unsynced, steps = [builder.file_header()], 0, 0
        for entry in entries:
            if entry is None:
                yield None
                continue
            data = builder.add(entry)
            steps += 1
            if data is not None:
                parts.append(data)
                file.append(parts)
                unsynced += sum(map(len, parts))
                parts = []
                yield None
                if unsynced >= TABLE_SYNC_BYTES:
                    unsynced = 0
                    yield file
            elif not steps % ENTRIES_PER_STEP:
                yield None
        rest, info = builder.finish(low, high, revision, floor, sources)
        file.append([*parts, rest])
        yield file
        self._files.sync_directory()
        while not self._is_durable(due):
            if self._syncing:
                yield None
                continue
            self._sync_log()
            yield None
        self.table_bytes_written += info.size
        yield builder.open(name, file, self._cache, info)

    def _sync_log(self) -> None:
        """For a job that goes on only with the log on disk. A flush alone syncs nothing under `none`, so that a job
        would wait for ever."""
        self.flush(sync=True)
        if self._fault is not None:
            raise self._fault

    def _collect_garbage(self) -> Iterator[File | None]:
        """Drop the files whose history was given up."""
        floor = self._compaction_floor()
        while not self._is_durable(self._compaction_record):
            self._sync_log()
            yield None
        manifest = plan.without_unneeded_files(self._manifest, floor, self.options.reserve)
        if manifest != self._manifest:
            self._install_manifest(manifest)
        self._collected_floor = floor

    def _delete_obsolete_file(self) -> Iterator[File | None]:
        """Remove a file. The system frees a large one in one go, for tens of milliseconds, so its name goes first
        and its bytes then by pieces, unless somebody is in the middle of reading them."""
        name = self._obsolete_files[0]
        file = self._files.open(name)
        self._files.remove(name)
        self._obsolete_files.popleft()
        told = parse_name(name)
        if told is not None:
            self._segment_offsets.pop(told[1], None)
        if (
            told is not None
            and told[0] == "table"
            and self._obsolete_tables.pop(told[1], None) is not None
            or self._segment_readers[name]
        ):
            file.close()  # a reader has it: it is freed when that one is through
            return
        size = file.size()
        while size > TRUNCATE_BYTES:
            size -= TRUNCATE_BYTES
            file.truncate(size)
            yield None
        file.close()

    # ---- the end

    def info(self) -> Info:
        """The store in figures."""
        manifest = self._manifest
        return Info(
            self.revision,
            self.compacted,
            manifest.floor,
            self._number,
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
        """Make all commits last, acknowledge them and let go of the directory. An unfinished merge begins anew at
        the next opening. `ReadOnly` where the disk failed before."""
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
            except OSError as bad:
                fault = bad
                self._enter_read_only(bad)
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
    """A state that stays readable. Close it: while it is open, what it can see is kept on disk."""

    def __init__(self, store: Store, revision: int):
        self._store, self.revision, self._closed = store, revision, False
        store._pinned_revisions[revision] += 1

    def get(self, key: bytes) -> KeyValue | None:
        self._check()
        entry = self._store._find_latest(DATA + key, self.revision)
        return key_value(entry) if entry is not None and entry.value is not None else None

    def scan(self, start: bytes = b"", end: bytes | None = None) -> Iterator[KeyValue]:
        self._check()
        return self._store._scan(start, end, self.revision, pinned=True)

    def range(self, start: bytes = b"", end: bytes | None = None, limit: int = 0) -> list[KeyValue]:
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
        if not self._closed:
            self._closed = True
            self._store._pinned_revisions[self.revision] -= 1
            if not self._store._pinned_revisions[self.revision]:
                del self._store._pinned_revisions[self.revision]
                self._store._idle = False
                self._store._wake_if_needed()

    def __enter__(self) -> "Snapshot":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


def merge_sorted(sources: Sequence[Iterator[Entry]]) -> Iterator[Entry]:
    """Entries of sources (newest first) in order of key, the newest version first."""

    def ranked(source: Iterator[Entry], rank: int) -> Iterator[tuple[bytes, int, int, Entry]]:
        for entry in source:
            yield entry.key, rank, -entry.sequence, entry

    for _, _, _, entry in heapq.merge(*(ranked(source, rank) for rank, source in enumerate(sources))):
        yield entry
