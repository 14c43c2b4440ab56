"""Tries to make a store lose or invent something: every cut, every byte's flip, every step's power cut.

A seeded workload of puts, deletes, ranges, leases, compactions and merges runs on files in memory, beside a model of
what each revision holds. Images of the directory are taken as a killed process leaves it, and each is damaged in one
place at a time. An opening then either gives a state that the model had at some revision, or refuses and names the
file; then what `salvage` would take of it must be such a state. Nothing may ever be there that was not written.

Writing a salvaged directory out is a function of what was chosen and of nothing else, so it is done and read back
once for each different choice; the choosing itself runs for each damaged image.
"""

import hashlib
import os
import random
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import Literal

import msgspec

from rackhub.store import plan, salvage
from rackhub.store.batch import Batch
from rackhub.store.engine import Store
from rackhub.store.errors import Corrupt, ReadOnly, StoreError
from rackhub.store.manifest import SegmentInfo, load, log_name, parse_name
from rackhub.store.memory_files import MemoryFiles, PowerCut
from rackhub.store.options import Options
from rackhub.store.records import KeyValue
from rackhub.store.table import Table

Mode = Literal["cut", "flip", "power", "fault"]
MODES: tuple[Mode, ...] = ("cut", "flip", "power", "fault")
KEYS = 120
HISTORY = 400  # revisions, from which on the workload compacts: so much log is there at a time, the rest is merged
START = 1_800_000_000_000_000  # the workload's clock, Unix microseconds
SMALL = Options(
    contract="group", memtable_bytes=24 * 1_024, block_bytes=1_024, cache_bytes=65_536, frame_bytes=8 * 1_024, runs=3
)
STATES_PER_CUT = 3  # states that one power cut is tried in
MAX_POWER_CUTS = 6  # power cuts in a row during one recovery


class Model:
    """What the store must hold at each revision, kept as plain dictionaries."""

    def __init__(self) -> None:
        self.states: list[dict[bytes, KeyValue]] = [{}]
        self.changes: list[list[tuple[bytes, KeyValue | None]]] = [[]]

    @property
    def revision(self) -> int:
        return len(self.states) - 1

    def apply(self, puts: dict[bytes, tuple[bytes, int]], deletes: set[bytes]) -> None:
        """One revision more."""
        state, revision = dict(self.states[-1]), len(self.states)
        made: list[tuple[bytes, KeyValue | None]] = []
        for key, (value, lease) in puts.items():
            old = state.get(key)
            state[key] = KeyValue(
                key, value, old.create_revision if old else revision, revision, old.version + 1 if old else 1, lease
            )
            made.append((key, state[key]))
        for key in sorted(deletes):
            del state[key]
            made.append((key, None))
        self.states.append(state)
        self.changes.append(made)

    def cut(self, revision: int) -> None:
        """What came after was never acknowledged, and is gone."""
        del self.states[revision + 1 :]
        del self.changes[revision + 1 :]


class Workload:
    """A run of commits against a store and the model, the same from the same seed."""

    def __init__(self, seed: int, files: MemoryFiles, options: Options = SMALL, value: int = 700):
        self.random, self.files, self.options, self.value = random.Random(seed), files, options, value
        self.model, self.now, self.acknowledged, self.in_doubt = Model(), START, 0, 0
        self.written = 0  # bytes of the log
        self.open()

    def open(self) -> None:
        self.store = Store.open(
            "memory", self.options, files=self.files, clock=lambda: self.now, ticks=iter(range(1 << 60)).__next__
        )
        # a step that was cut between the log's write and the model's
        self.acknowledged = min(self.acknowledged, self.store.revision)

    def step(self) -> None:
        """One commit of some kind, or a flush."""
        chance, model, self.now = self.random, self.model, self.now + 1_000
        kind, state = chance.random(), model.states[-1]
        if kind < 0.04 and state:
            first, last = sorted((self._key(), self._key()))
            gone = {key for key in state if first <= key < last}
            self._commit(Batch().delete_range(first, last), {}, gone)
        elif kind < 0.14 and state:
            key = chance.choice(sorted(state))
            self._commit(Batch().delete(key), {}, {key})
        elif kind < 0.18:
            lease = self.store.grant(chance.randrange(1, 400) * 1_000)
            key = self._key()
            self._commit(Batch().put(key, b"leased", lease), {key: (b"leased", lease)}, set())
        elif kind < 0.20:
            self.store.leases.advance_clock(self.now)
            for id in self.store.leases.expired():
                keys = set(self.store.leases.get(id).keys)
                before = self.store.revision
                self.store.revoke(id, self._acknowledge_callback(before + bool(keys)))
                if keys:
                    model.apply({}, keys)
        elif kind < 0.22 and model.revision - self.store.compacted > HISTORY:
            self.store.compact(model.revision - chance.randrange(HISTORY // 2, HISTORY * 3 // 4))
        elif kind < 0.26:
            puts = {self._key(): (self._value(), 0) for _ in range(chance.randrange(2, 8))}
            batch = Batch()
            for key, (value, _) in puts.items():
                batch.put(key, value)
            self._commit(batch, puts, set())
        else:
            key, value = self._key(), self._value()
            self._commit(Batch().put(key, value), {key: (value, 0)}, set())
        if chance.random() < 0.3:
            self.store.flush()

    def _key(self) -> bytes:
        return b"k%03d" % self.random.randrange(KEYS)

    def _value(self) -> bytes:
        """Bytes that say which revision wrote them, so that none can pass for another's."""
        seed = b"%d %d" % (self.model.revision, self.random.randrange(1 << 30))
        size = self.random.randrange(self.value)
        return (seed + hashlib.shake_128(seed).digest(size))[: max(size, len(seed))]

    def _acknowledge_callback(self, revision: int) -> Callable[[StoreError | None], None]:
        def call(error: StoreError | None) -> None:
            if error is None:
                self.acknowledged = max(self.acknowledged, revision)

        return call

    def _commit(self, batch: Batch, puts: dict[bytes, tuple[bytes, int]], deletes: set[bytes]) -> None:
        self.in_doubt = self.model.revision
        if puts or deletes:
            self.model.apply(puts, deletes)
        self.store.commit(batch, acknowledged=self._acknowledge_callback(self.model.revision))
        self.in_doubt = self.model.revision
        if self.store.revision != self.model.revision:
            raise AssertionError(f"the store is at revision {self.store.revision}, the model at {self.model.revision}")

    def run(self, log_bytes: int) -> None:
        """Until the log has had so many bytes written."""
        while self.store.log_bytes_written < log_bytes:
            self.step()


class TrialResults(msgspec.Struct):
    """What was tried and what came of it."""

    images: int = 0
    files: int = 0
    tried: int = 0  # damaged directories, each opened
    recovered: int = 0  # openings that gave a state
    refused: int = 0  # openings that named a fault instead, each salvaged
    unharmed: int = 0  # of the recovered, those that gave the last state
    salvaged: int = 0
    written_out: int = 0  # different choices of a salvage, each written, opened and read back
    lost_acknowledged: int = 0  # acknowledged revisions missing after a cut of a file that was on disk, at worst
    violations: list[str] = []

    def add(self, other: "TrialResults") -> None:
        for name in ("images", "files", "tried", "recovered", "refused", "unharmed", "salvaged", "written_out"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.lost_acknowledged = max(self.lost_acknowledged, other.lost_acknowledged)
        self.violations = (self.violations + other.violations)[:100]

    def add_violation(self, what: str) -> None:
        if len(self.violations) < 100:
            self.violations.append(what)


def find_mismatch(store: Store, model: Model, at_least: int, whole_history: bool = True) -> str:
    """What is wrong with an opened store against the model; nothing: the empty text. Reads all of it."""
    revision = store.revision
    if revision > model.revision:
        return f"revision {revision} was never reached"
    if revision < at_least:
        return f"revision {at_least} was acknowledged, and {revision} is the last"
    state = model.states[revision]
    found = store.range()
    if [item.key for item in found] != sorted(state):
        return f"at revision {revision} the keys are not those that were written"
    for item in found:
        if item != state[item.key]:
            return f"at revision {revision} key {item.key!r} is {item!r:.120}"
    leases = {lease.id: sorted(lease.keys) for lease in store.leases if lease.keys}
    held: dict[int, list[bytes]] = {}
    for item in found:
        if item.lease:
            held.setdefault(item.lease, []).append(item.key)
    if leases != held:
        return f"at revision {revision} leases hold other keys than were put under them"
    if whole_history:
        at = store.compacted
        past: list[tuple[bytes, KeyValue | None]] = []
        for change in store.changes(at + 1) if at < revision else ():
            past.append((change.key, change.now))
            if not at < change.revision <= revision:
                return f"history gives revision {change.revision} between {at + 1} and {revision}"
        wanted = [made for one in model.changes[at + 1 : store.acknowledged_revision + 1] for made in one]
        if past != wanted:
            return f"the history from revision {at + 1} to {revision} is not what was written"
    return ""


class DamageTrials:
    """Images of one workload, and the trials on them. Made anew in each process, the same from the same seed."""

    def __init__(self, seed: int, log_bytes: int):
        self.workload = Workload(seed, MemoryFiles(seed))
        self.images: list[tuple[MemoryFiles, int]] = []  # and the revision acknowledged when it was taken
        for part in (1, 2, 3):
            self.workload.run(log_bytes * part // 3)
            self.images.append((self.workload.files.copy(), self.workload.acknowledged))
        self.workload.store.close()
        self.images.append((self.workload.files.copy(), self.workload.acknowledged))
        self.model = self.workload.model
        self._tables: list[dict[str, Table]] = []
        self._segments: list[dict[str, SegmentInfo]] = []
        for image, acknowledged in self.images:
            store = Store.open("memory", SMALL, files=image.copy_shared(), clock=lambda: START, ticks=lambda: 0)
            wrong = find_mismatch(store, self.model, acknowledged)
            if wrong:
                raise AssertionError(f"an image that was not damaged: {wrong}")
            manifest = load(image)
            self._tables.append({table.name: table for table in store._tables})
            self._segments.append({log_name(segment.number): segment for segment in manifest.segments})
        self._surveys: list[dict[str, object]] = []
        for image, _ in self.images:
            self._surveys.append({name: _survey_file(image, name) for name in image.names() if parse_name(name)})
        self._written: dict[plan.SalvagePlan, str] = {}

    def positions(self) -> Iterator[tuple[int, str, int]]:
        """Every byte of every file of every image: image, file, offset. A file that an earlier image had, the same
        to the byte, is not gone through again, but for those that each image's opening reads first."""
        seen: set[bytes] = set()
        for i, (image, _) in enumerate(self.images):
            for name in image.names():
                data = bytes(image.inodes[name].contents)
                print_ = name.encode() + hashlib.sha256(data).digest()
                if print_ in seen:
                    continue
                seen.add(print_)
                for offset in range(len(data)):
                    yield i, name, offset

    def try_cut(self, i: int, name: str, offset: int, tally: TrialResults) -> None:
        image, _ = self.images[i]
        self._try(i, name, offset, image.with_file_cut(name, offset), f"image {i}, {name} cut at {offset}", tally)

    def try_flip(self, i: int, name: str, offset: int, tally: TrialResults) -> None:
        image, _ = self.images[i]
        self._try(
            i,
            name,
            offset,
            image.with_bit_flipped(name, offset, (offset * 7 + 3) % 8),
            f"image {i}, {name} flipped at {offset}",
            tally,
        )

    def _try(self, i: int, name: str, offset: int, files: MemoryFiles, what: str, tally: TrialResults) -> None:
        try:
            self._open_damaged(i, name, offset, files, what, tally)
        except Exception as bad:  # what is damaged must be named, never stumbled over
            tally.add_violation(f"{what}: {type(bad).__name__}: {bad}")

    def _open_damaged(self, i: int, name: str, offset: int, files: MemoryFiles, what: str, tally: TrialResults) -> None:
        tally.tried += 1
        acknowledged = self.images[i][1]
        try:
            store = Store.open("memory", SMALL, files=files.copy_shared(), clock=lambda: START, ticks=lambda: 0)
        except StoreError as refused:
            tally.refused += 1
            if isinstance(refused, Corrupt) and not refused.file:
                tally.add_violation(f"{what}: refused without naming a file")
            return self._salvage(i, name, files, what, tally)
        try:
            wrong = self._read_damaged_part(store, i, files, name, offset)
        except Corrupt:
            tally.refused += 1
            return self._salvage(i, name, files, what, tally)
        tally.recovered += 1
        tally.unharmed += store.revision >= acknowledged
        tally.lost_acknowledged = max(tally.lost_acknowledged, acknowledged - store.revision)
        if wrong:
            tally.add_violation(f"{what}: {wrong}")

    def _read_damaged_part(self, store: Store, i: int, image: MemoryFiles, name: str, offset: int) -> str:
        """Read what an opening has not read of the damaged file: of a table the block that was hit, of a closed
        segment its part of the history. All else is, byte for byte, what was read whole in the image. What an
        opening goes by itself (the active log, the manifest) may change all: then all is read."""
        table = self._tables[i].get(name)
        segment = self._segments[i].get(name)
        if table is not None:
            start, end = table.keys_covering(offset)
            found = store.range(start, end)
            wanted = [item for key, item in sorted(self.model.states[store.revision].items()) if start <= key < end]
            return "" if found == wanted else f"keys from {start!r} to {end!r} are not those that were written"
        if segment is not None:
            since = max(segment.revision_before, store.compacted) + 1
            made: dict[int, list[tuple[bytes, KeyValue | None]]] = {}
            for change in store.changes(since) if since <= store.revision else ():
                if change.revision > segment.revision:
                    break
                made.setdefault(change.revision, []).append((change.key, change.now))
            for revision in range(since, segment.revision + 1):
                if made.get(revision, []) != self.model.changes[revision]:
                    return f"the history of revision {revision} is not what was written"
            return ""
        if name.startswith("table-"):  # kept in reserve, which nothing reads but a salvage or a verification
            return "" if isinstance(_survey_file(image, name), str) else "what is damaged in reserve is not seen"
        return find_mismatch(store, self.model, 0)

    def _salvage(self, i: int, name: str, files: MemoryFiles, what: str, tally: TrialResults) -> None:
        """What a salvage takes is checked for each; files that are as they were are not read again for it."""
        tally.salvaged += 1
        parts = dict(self._surveys[i])
        if parse_name(name):
            parts[name] = _survey_file(files, name)
        tables = {key: part for key, part in parts.items() if isinstance(part, salvage.TableInfo)}
        logs = {key: part for key, part in parts.items() if isinstance(part, salvage.LogSurvey)}
        found = salvage.Survey(tables, logs, ())
        taken = salvage.choose(found)
        tally.lost_acknowledged = max(tally.lost_acknowledged, self.images[i][1] - taken.revision)
        if taken not in self._written:
            tally.written_out += 1
            target = MemoryFiles()
            try:
                salvage.write_store(found, taken, files, target, START)
                store = Store.open("memory", SMALL, files=target, clock=lambda: START, ticks=lambda: 0)
                self._written[taken] = find_mismatch(store, self.model, taken.revision)
            except StoreError as bad:
                self._written[taken] = f"what a salvage wrote can't be used: {bad}"
        if self._written[taken]:
            tally.add_violation(f"{what}, salvaged: {self._written[taken]}")


def _survey_file(files: MemoryFiles, name: str) -> object:
    told = parse_name(name)
    assert told is not None
    try:
        return (salvage.inspect_table if told[0] == "table" else salvage.inspect_log)(name, told[1], files.open(name))
    except StoreError as bad:
        return str(bad)


# ---- power cuts and failing disks, at each step


def run_power_cuts(
    seed: int, warm_up_bytes: int, steps: int, every: int = 1, offset: int = 0, ignore_syncs: bool = False
) -> TrialResults:
    """Cut the power at each call that changes the disk during `steps` steps of a workload, and again during each
    recovery. After each cut the machine is tried in several of the states that it may find."""
    tally = TrialResults()
    warm = Workload(seed, MemoryFiles(seed))
    warm.files.ignore_syncs = ignore_syncs
    warm.run(warm_up_bytes)
    warm.store.close()
    image = warm.files.copy()
    n = offset
    while True:
        n += every
        # a run of its own to each step: the same commits up to the one that the cut falls in
        again = Workload.__new__(Workload)
        again.random, again.options, again.value = random.Random(seed * 1_000 + 1), SMALL, 700
        again.files, again.now, again.model = image.copy(), warm.now, Model()
        again.model.states, again.model.changes = list(warm.model.states), list(warm.model.changes)
        again.acknowledged = again.in_doubt = warm.model.revision
        again.files.ignore_syncs = ignore_syncs
        again.files.fail_at = n
        try:
            again.open()
            for _ in range(steps):
                again.step()
            again.store.close()
            return tally  # the run has fewer calls than that
        except PowerCut:
            pass
        tally.images += 1
        for attempt in range(STATES_PER_CUT):
            _recover_through_cuts(again, seed * 31 + n * 7 + attempt, tally, f"seed {seed}, power cut at call {n}")


def _recover_through_cuts(work: Workload, seed: int, tally: TrialResults, what: str) -> None:
    chance = random.Random(seed)
    files = work.files.after_power_cut(seed)
    for round in range(MAX_POWER_CUTS):
        tally.tried += 1
        files.fail_at = chance.randrange(1, 8) if round < MAX_POWER_CUTS - 1 else 0
        try:
            store = Store.open("memory", SMALL, files=files, clock=lambda: work.now, ticks=lambda: 0)
        except PowerCut:
            files = files.after_power_cut(chance.randrange(1 << 30))
            continue
        except StoreError as bad:
            return tally.add_violation(f"{what}, recovery {round}: refused: {bad}")
        tally.recovered += 1
        files.fail_at = 0
        wrong = find_mismatch(store, work.model, work.acknowledged)
        if wrong:
            return tally.add_violation(f"{what}, recovery {round}: {wrong}")
        # what was read must be there still, whatever happens next: the first recovery has served it
        seen = store.revision
        store.close()
        store = Store.open(
            "memory", SMALL, files=files.after_power_cut(seed + 1), clock=lambda: work.now, ticks=lambda: 0
        )
        if store.revision != seen:
            tally.add_violation(f"{what}: revision {seen} was served after a recovery, then {store.revision}")
        return None


def run_disk_faults(seed: int, warm_up_bytes: int, steps: int, every: int = 1, offset: int = 0) -> TrialResults:
    """Let the disk refuse each call that changes it, once (EIO) or from there on until it is mended (ENOSPC)."""
    tally = TrialResults()
    n = offset
    while True:
        n += every
        work = Workload(seed, MemoryFiles(seed))
        work.run(warm_up_bytes)
        work.store.flush()
        files, before = work.files, work.files.steps
        files.fail_at, files.keep_failing = before + n, n % 2 == 0
        files.fault = OSError(28, os.strerror(28)) if n % 2 == 0 else OSError(5, os.strerror(5))
        done = 0
        try:
            while done < steps:
                done += 1
                work.step()
            if files.steps < files.fail_at:
                return tally
        except ReadOnly:
            work.model.cut(work.store.revision)
        tally.tried += 1
        if work.store.info().read_only == "":
            work.store.flush()
        if files.keep_failing:
            try:
                work.store.retry()
                work.store.commit(Batch().put(b"k000", b"x"))
                tally.add_violation(f"seed {seed}: writes are taken while call {n} still fails")
            except ReadOnly:
                pass
        files.fail_at = 0
        try:
            work.store.retry()
            for _ in range(20):
                work.step()
            work.store.flush()
        except StoreError as bad:
            tally.add_violation(f"seed {seed}, call {n} failed: after it was mended: {bad}")
            continue
        wrong = find_mismatch(work.store, work.model, work.model.revision)
        if not wrong:
            store = Store.open(
                "memory", SMALL, files=files.after_power_cut(seed + n), clock=_fixed_clock(work.now), ticks=lambda: 0
            )
            wrong = find_mismatch(store, work.model, work.acknowledged)
        tally.recovered += 1
        if wrong:
            tally.add_violation(f"seed {seed}, call {n} failed: {wrong}")


def _fixed_clock(now: int) -> Callable[[], int]:
    return lambda: now


# ---- all of it, over all cores


_trials: DamageTrials | None = None


def _begin(seed: int, log_bytes: int) -> None:
    global _trials
    _trials = DamageTrials(seed, log_bytes)


def _slice(mode: Mode, part: int, parts: int) -> TrialResults:
    assert _trials is not None
    tally = TrialResults()
    trial = _trials.try_cut if mode == "cut" else _trials.try_flip
    for i, (image, name, offset) in enumerate(_trials.positions()):
        if i % parts == part:
            trial(image, name, offset, tally)
    return tally


class Report(msgspec.Struct):
    """A whole run."""

    seed: int
    log_bytes: int
    file_bytes: int  # of all images' files, each counted once
    revisions: int
    modes: dict[str, TrialResults]
    violations: int = 0


def run(
    log_bytes: int,
    seed: int,
    modes: tuple[Mode, ...] = MODES,
    workers: int = 0,
    progress: Callable[[str, int, int], None] = lambda mode, done, of: None,
) -> Report:
    """The whole torture of one seed, over `workers` processes (all cores without a number)."""
    workers = workers or os.cpu_count() or 1
    here = DamageTrials(seed, log_bytes)
    files = sum(1 for _ in here.positions())
    report = Report(seed, log_bytes, files, here.model.revision, {})
    count = {(i, name) for i, name, _ in here.positions()}
    parts = workers * 16
    with ProcessPoolExecutor(workers, get_context("fork"), _begin, (seed, log_bytes)) as pool:
        for mode in modes:
            total = TrialResults()
            if mode in ("cut", "flip"):
                waiting = [pool.submit(_slice, mode, part, parts) for part in range(parts)]
                total.images, total.files = len(here.images), len(count)
            elif mode == "power":
                waiting = [
                    pool.submit(run_power_cuts, seed + i // workers, 60_000, 300, workers, i % workers)
                    for i in range(workers * 2)
                ]
            else:
                waiting = [
                    pool.submit(run_disk_faults, seed + i // workers, 60_000, 200, workers, i % workers)
                    for i in range(workers * 2)
                ]
            for done, future in enumerate(waiting):
                total.add(future.result())
                progress(mode, done + 1, len(waiting))
            report.modes[mode] = total
            report.violations += len(total.violations)
    return report


__all__ = [
    "MODES",
    "DamageTrials",
    "Model",
    "Report",
    "TrialResults",
    "Workload",
    "find_mismatch",
    "run",
    "run_disk_faults",
    "run_power_cuts",
]
