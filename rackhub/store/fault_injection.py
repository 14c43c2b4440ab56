"""Fault injection: damages a store in many places, and checks that nothing is lost or invented.

A seeded workload of puts, deletions, leases, compactions and merges runs on files in memory, next to a model of the
state at each revision. The modes are `cut` (truncate one file), `flip` (invert one bit), `power` (lose power at a call
that changes the disk) and `fault` (such a call fails with an OSError).

For `cut` and `flip`, images (copies of the directory) are taken as a killed process leaves it, and each is damaged at
one byte of one file at a time. Opening a damaged image must either give a state that the model had at some revision, or
fail and name the file; in the second case the result of a salvage must be such a state. Data that was never written
must never appear. A salvaged directory depends only on its salvage plan, so it is written and read back once for each
distinct plan; planning itself runs for each damaged image.
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
KEYS = 120  # number of different keys
HISTORY = 400  # revisions of history from which on the workload compacts at times; this bounds the log
START = 1_800_000_000_000_000  # initial time of the workload, Unix microseconds
# Small limits, so that flushes and merges happen often.
SMALL = Options(
    contract="group", memtable_bytes=24 * 1_024, block_bytes=1_024, cache_bytes=65_536, frame_bytes=8 * 1_024, runs=3
)
STATES_PER_CUT = 3  # random states of the disk that are tried after each power cut
MAX_RECOVERY_ATTEMPTS = 6  # attempts to recover from one power cut, all but the last with another cut


class Model:
    """The expected state at each revision, as plain dictionaries."""

    def __init__(self) -> None:
        self.states: list[dict[bytes, KeyValue]] = [{}]
        self.changes: list[list[tuple[bytes, KeyValue | None]]] = [[]]

    @property
    def revision(self) -> int:
        """The latest revision."""
        return len(self.states) - 1

    def apply(self, puts: dict[bytes, tuple[bytes, int]], deletes: set[bytes]) -> None:
        """Add one revision."""
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

    def drop_after(self, revision: int) -> None:
        """Remove all later revisions, which were not acknowledged and are lost."""
        del self.states[revision + 1 :]
        del self.changes[revision + 1 :]


class Workload:
    """A reproducible sequence of commits to a store and the model."""

    def __init__(self, seed: int, files: MemoryFiles, options: Options = SMALL, max_value_bytes: int = 700):
        self.random, self.files, self.options = random.Random(seed), files, options
        self.max_value_bytes = max_value_bytes
        self.model, self.now, self.acknowledged = Model(), START, 0

        self.open()

    def open(self) -> None:
        """Open the store and forget acknowledgements of revisions that it lost."""
        self.store = Store.open(
            "memory", self.options, files=self.files, clock=lambda: self.now, ticks=iter(range(1 << 60)).__next__
        )
        # A power cut inside `_commit` can leave the store behind revisions that the model has.
        self.acknowledged = min(self.acknowledged, self.store.revision)

    def step(self) -> None:
        """Make one random commit, or another change, and sometimes flush."""
        random_source, model, self.now = self.random, self.model, self.now + 1_000
        kind, state = random_source.random(), model.states[-1]
        if kind < 0.04 and state:
            first, last = sorted((self._key(), self._key()))
            gone = {key for key in state if first <= key < last}
            self._commit(Batch().delete_range(first, last), {}, gone)
        elif kind < 0.14 and state:
            key = random_source.choice(sorted(state))
            self._commit(Batch().delete(key), {}, {key})
        elif kind < 0.18:
            lease = self.store.grant(random_source.randrange(1, 400) * 1_000)
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
            self.store.compact(model.revision - random_source.randrange(HISTORY // 2, HISTORY * 3 // 4))
        elif kind < 0.26:
            puts = {self._key(): (self._value(), 0) for _ in range(random_source.randrange(2, 8))}
            batch = Batch()
            for key, (value, _) in puts.items():
                batch.put(key, value)
            self._commit(batch, puts, set())
        else:
            key, value = self._key(), self._value()
            self._commit(Batch().put(key, value), {key: (value, 0)}, set())
        if random_source.random() < 0.3:
            self.store.flush()

    def _key(self) -> bytes:
        return b"k%03d" % self.random.randrange(KEYS)

    def _value(self) -> bytes:
        """A value that contains the current revision and random bytes, so that no two values are mistaken for each
        other.
        """
        seed = b"%d %d" % (self.model.revision, self.random.randrange(1 << 30))
        size = self.random.randrange(self.max_value_bytes)
        return (seed + hashlib.shake_128(seed).digest(size))[: max(size, len(seed))]

    def _acknowledge_callback(self, revision: int) -> Callable[[StoreError | None], None]:
        def call(error: StoreError | None) -> None:
            if error is None:
                self.acknowledged = max(self.acknowledged, revision)

        return call

    def _commit(self, batch: Batch, puts: dict[bytes, tuple[bytes, int]], deletes: set[bytes]) -> None:
        if puts or deletes:
            self.model.apply(puts, deletes)
        self.store.commit(batch, acknowledged=self._acknowledge_callback(self.model.revision))
        if self.store.revision != self.model.revision:
            raise AssertionError(f"the store is at revision {self.store.revision}, the model at {self.model.revision}")

    def run(self, log_bytes: int) -> None:
        """Run until the log has had `log_bytes` bytes written."""
        while self.store.log_bytes_written < log_bytes:
            self.step()


class TrialResults(msgspec.Struct):
    """Counts of what was tried, and the results. Those of several processes are added."""

    images: int = 0  # images (cut, flip), power cuts (power)
    files: int = 0  # files of all images (cut, flip)
    tried: int = 0  # damaged images (cut, flip), openings (power), runs with a failing call (fault)
    recovered: int = 0  # trials in which the store could be opened and read
    refused: int = 0  # damaged images in which opening or reading reported an error; each is salvaged
    unharmed: int = 0  # openings that kept all acknowledged revisions
    salvaged: int = 0
    written_out: int = 0  # distinct salvage plans of each process; each is written, opened and read back
    lost_acknowledged: int = 0  # maximum number of acknowledged revisions lost by damage (cut, flip)
    violations: list[str] = []  # the first 100

    def add(self, other: "TrialResults") -> None:
        """Add the results of another process."""
        for name in ("images", "files", "tried", "recovered", "refused", "unharmed", "salvaged", "written_out"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.lost_acknowledged = max(self.lost_acknowledged, other.lost_acknowledged)
        self.violations = (self.violations + other.violations)[:100]

    def add_violation(self, what: str) -> None:
        """Record a violation, up to 100."""
        if len(self.violations) < 100:
            self.violations.append(what)


def find_mismatch(store: Store, model: Model, minimum_revision: int, whole_history: bool = True) -> str:
    """Compare all contents of an opened store with the model. Returns a description of the first mismatch, or ""."""
    revision = store.revision
    if revision > model.revision:
        return f"the store is at revision {revision}, which was never committed"
    if revision < minimum_revision:
        return f"revision {minimum_revision} was acknowledged, but the store is at revision {revision}"
    state = model.states[revision]
    found = store.range()
    if [item.key for item in found] != sorted(state):
        return f"at revision {revision} the keys differ from those written"
    for item in found:
        if item != state[item.key]:
            return f"at revision {revision} key {item.key!r} is {item!r:.120}"
    leases = {lease.id: sorted(lease.keys) for lease in store.leases if lease.keys}
    attached: dict[int, list[bytes]] = {}
    for item in found:
        if item.lease:
            attached.setdefault(item.lease, []).append(item.key)
    if leases != attached:
        return f"at revision {revision} the keys of leases differ from those attached"
    if whole_history:
        at = store.compacted
        history: list[tuple[bytes, KeyValue | None]] = []
        for change in store.changes(at + 1) if at < revision else ():
            history.append((change.key, change.now))
            if not at < change.revision <= revision:
                return f"the history from {at + 1} to {revision} contains revision {change.revision}"
        expected = [change for changes in model.changes[at + 1 : store.acknowledged_revision + 1] for change in changes]
        if history != expected:
            return f"the history from revision {at + 1} to {revision} differs from what was written"
    return ""


class DamageTrials:
    """Images of one workload, and the trials on them. Each process builds the same ones from the seed."""

    def __init__(self, seed: int, log_bytes: int):
        self.workload = Workload(seed, MemoryFiles(seed))
        self.images: list[tuple[MemoryFiles, int]] = []  # image, and the acknowledged revision at that time
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
            mismatch = find_mismatch(store, self.model, acknowledged)
            if mismatch:
                raise AssertionError(f"undamaged image: {mismatch}")
            manifest = load(image)
            self._tables.append({table.name: table for table in store._tables})
            self._segments.append({log_name(segment.number): segment for segment in manifest.segments})
        self._surveys: list[dict[str, object]] = []
        for image, _ in self.images:
            self._surveys.append({name: _survey_file(image, name) for name in image.names() if parse_name(name)})
        self._written: dict[plan.SalvagePlan, str] = {}

    def positions(self) -> Iterator[tuple[int, str, int]]:
        """Yield every byte of every file of every image, as (image, file name, offset).

        A file that is identical in an earlier image is skipped.
        """
        seen: set[bytes] = set()
        for image_index, (image, _) in enumerate(self.images):
            for name in image.names():
                data = bytes(image.inodes[name].contents)
                fingerprint = name.encode() + hashlib.sha256(data).digest()
                if fingerprint in seen:
                    continue
                seen.add(fingerprint)
                for offset in range(len(data)):
                    yield image_index, name, offset

    def try_cut(self, image_index: int, name: str, offset: int, results: TrialResults) -> None:
        """Try the image with one file truncated at `offset`."""
        image, _ = self.images[image_index]
        self._try(
            image_index,
            name,
            offset,
            image.with_file_cut(name, offset),
            f"image {image_index}, {name} cut at {offset}",
            results,
        )

    def try_flip(self, image_index: int, name: str, offset: int, results: TrialResults) -> None:
        """Try the image with one bit of the byte at `offset` flipped; which bit varies with the offset."""
        image, _ = self.images[image_index]
        self._try(
            image_index,
            name,
            offset,
            image.with_bit_flipped(name, offset, (offset * 7 + 3) % 8),
            f"image {image_index}, {name} flipped at {offset}",
            results,
        )

    def _try(
        self, image_index: int, name: str, offset: int, files: MemoryFiles, case: str, results: TrialResults
    ) -> None:
        try:
            self._open_damaged(image_index, name, offset, files, case, results)
        except Exception as error:  # damage must be reported as such, not cause other exceptions
            results.add_violation(f"{case}: {type(error).__name__}: {error}")

    def _open_damaged(
        self, image_index: int, name: str, offset: int, files: MemoryFiles, case: str, results: TrialResults
    ) -> None:
        """Open the damaged files, and either compare what the damage can affect or salvage them."""
        results.tried += 1
        acknowledged = self.images[image_index][1]
        try:
            store = Store.open("memory", SMALL, files=files.copy_shared(), clock=lambda: START, ticks=lambda: 0)
        except StoreError as error:
            results.refused += 1
            if isinstance(error, Corrupt) and not error.file:
                results.add_violation(f"{case}: the error names no file")
            return self._salvage(image_index, name, files, case, results)
        try:
            mismatch = self._read_damaged_part(store, image_index, files, name, offset)
        except Corrupt:
            results.refused += 1
            return self._salvage(image_index, name, files, case, results)
        results.recovered += 1
        results.unharmed += store.revision >= acknowledged
        results.lost_acknowledged = max(results.lost_acknowledged, acknowledged - store.revision)
        if mismatch:
            results.add_violation(f"{case}: {mismatch}")

    def _read_damaged_part(self, store: Store, image_index: int, image: MemoryFiles, name: str, offset: int) -> str:
        """Read the part of the damaged file that opening does not read, and describe a mismatch.

        Of a table this is the damaged block, of a closed segment its part of the history. Everything else is identical
        to the image, which was read completely. Damage to the active log or the manifest may affect everything, so all
        is read.
        """
        table = self._tables[image_index].get(name)
        segment = self._segments[image_index].get(name)
        if table is not None:
            start, end = table.keys_covering(offset)
            found = store.range(start, end)
            expected = [item for key, item in sorted(self.model.states[store.revision].items()) if start <= key < end]
            return "" if found == expected else f"keys from {start!r} to {end!r} differ from those written"
        if segment is not None:
            since = max(segment.revision_before, store.compacted) + 1
            history: dict[int, list[tuple[bytes, KeyValue | None]]] = {}
            for change in store.changes(since) if since <= store.revision else ():
                if change.revision > segment.revision:
                    break
                history.setdefault(change.revision, []).append((change.key, change.now))
            for revision in range(since, segment.revision + 1):
                if history.get(revision, []) != self.model.changes[revision]:
                    return f"the history of revision {revision} differs from what was written"
            return ""
        if name.startswith("table-"):  # a retired table, which only salvage and verify read
            return "" if isinstance(_survey_file(image, name), str) else "damage to a retired table is not detected"
        return find_mismatch(store, self.model, 0)

    def _salvage(self, image_index: int, name: str, files: MemoryFiles, case: str, results: TrialResults) -> None:
        """Check the result of a salvage. Files that are undamaged are not inspected again."""
        results.salvaged += 1
        surveys = dict(self._surveys[image_index])
        if parse_name(name):
            surveys[name] = _survey_file(files, name)
        tables = {key: inspected for key, inspected in surveys.items() if isinstance(inspected, salvage.TableInfo)}
        logs = {key: inspected for key, inspected in surveys.items() if isinstance(inspected, salvage.LogSurvey)}
        survey = salvage.Survey(tables, logs, ())
        salvage_plan = salvage.choose(survey)
        results.lost_acknowledged = max(results.lost_acknowledged, self.images[image_index][1] - salvage_plan.revision)
        if salvage_plan not in self._written:
            results.written_out += 1
            target = MemoryFiles()
            try:
                salvage.write_store(survey, salvage_plan, files, target, START)
                store = Store.open("memory", SMALL, files=target, clock=lambda: START, ticks=lambda: 0)
                self._written[salvage_plan] = find_mismatch(store, self.model, salvage_plan.revision)
            except StoreError as error:
                self._written[salvage_plan] = f"the salvaged store can't be opened: {error}"
        if self._written[salvage_plan]:
            results.add_violation(f"{case}, salvaged: {self._written[salvage_plan]}")


def _survey_file(files: MemoryFiles, name: str) -> object:
    """Inspect a file. Returns a `TableInfo`, a `LogSurvey` or the text of the error."""
    parsed = parse_name(name)
    assert parsed is not None
    try:
        return (salvage.inspect_table if parsed[0] == "table" else salvage.inspect_log)(
            name, parsed[1], files.open(name)
        )
    except StoreError as error:
        return str(error)


# ---- power cuts and disk errors at each modifying call


def run_power_cuts(
    seed: int, warm_up_bytes: int, steps: int, every: int = 1, offset: int = 0, ignore_syncs: bool = False
) -> TrialResults:
    """Cut the power at the modifying call `offset + every`, then at each `every`-th after it, one run of `steps` steps
    each.

    After each cut several of the possible states of the disk are recovered, with further power cuts.
    """
    results = TrialResults()
    warm_up = Workload(seed, MemoryFiles(seed))
    warm_up.files.ignore_syncs = ignore_syncs
    warm_up.run(warm_up_bytes)
    warm_up.store.close()
    image = warm_up.files.copy()
    failing_call = offset
    while True:
        failing_call += every
        # Each run continues from the warm-up's state, with the same commits up to the cut.
        workload = Workload.__new__(Workload)
        workload.random, workload.options, workload.max_value_bytes = random.Random(seed * 1_000 + 1), SMALL, 700
        workload.files, workload.now, workload.model = image.copy(), warm_up.now, Model()
        workload.model.states, workload.model.changes = list(warm_up.model.states), list(warm_up.model.changes)
        workload.acknowledged = warm_up.model.revision
        workload.files.ignore_syncs = ignore_syncs
        workload.files.fail_at = failing_call
        try:
            workload.open()
            for _ in range(steps):
                workload.step()
            workload.store.close()
            return results  # the run has fewer calls than `failing_call`
        except PowerCut:
            pass
        results.images += 1
        for attempt in range(STATES_PER_CUT):
            _recover_through_cuts(
                workload,
                seed * 31 + failing_call * 7 + attempt,
                results,
                f"seed {seed}, power cut at call {failing_call}",
            )


def _recover_through_cuts(workload: Workload, seed: int, results: TrialResults, case: str) -> None:
    """Recover from a power cut while further power cuts interrupt the recovery."""
    random_source = random.Random(seed)
    files = workload.files.after_power_cut(seed)
    for attempt in range(MAX_RECOVERY_ATTEMPTS):
        results.tried += 1
        files.fail_at = random_source.randrange(1, 8) if attempt < MAX_RECOVERY_ATTEMPTS - 1 else 0
        try:
            store = Store.open("memory", SMALL, files=files, clock=lambda: workload.now, ticks=lambda: 0)
        except PowerCut:
            files = files.after_power_cut(random_source.randrange(1 << 30))
            continue
        except StoreError as error:
            return results.add_violation(f"{case}, recovery {attempt}: opening failed: {error}")
        results.recovered += 1
        files.fail_at = 0
        mismatch = find_mismatch(store, workload.model, workload.acknowledged)
        if mismatch:
            return results.add_violation(f"{case}, recovery {attempt}: {mismatch}")
        # Whatever a recovery has served must survive the next power cut.
        seen = store.revision
        store.close()
        store = Store.open(
            "memory", SMALL, files=files.after_power_cut(seed + 1), clock=lambda: workload.now, ticks=lambda: 0
        )
        if store.revision != seen:
            results.add_violation(f"{case}: revision {seen} was served after a recovery, then {store.revision}")
        return None


def run_disk_faults(seed: int, warm_up_bytes: int, steps: int, every: int = 1, offset: int = 0) -> TrialResults:
    """Let the modifying call `offset + every` fail, then each `every`-th after it, in one run of `steps` steps each.

    Odd calls fail once with EIO (5), even ones with ENOSPC (28) from then on, until the disk is repaired. The store
    must then accept writes again and contain everything that was committed.
    """
    results = TrialResults()
    failing_call = offset
    while True:
        failing_call += every
        workload = Workload(seed, MemoryFiles(seed))
        workload.run(warm_up_bytes)
        workload.store.flush()
        files, calls_before = workload.files, workload.files.steps
        files.fail_at, files.keep_failing = calls_before + failing_call, failing_call % 2 == 0
        files.fault = OSError(28, os.strerror(28)) if failing_call % 2 == 0 else OSError(5, os.strerror(5))
        done = 0
        try:
            while done < steps:
                done += 1
                workload.step()
            if files.steps < files.fail_at:
                return results
        except ReadOnly:
            workload.model.drop_after(workload.store.revision)
        results.tried += 1
        if workload.store.info().read_only == "":
            workload.store.flush()
        if files.keep_failing:
            try:
                workload.store.retry()
                workload.store.commit(Batch().put(b"k000", b"x"))
                results.add_violation(f"seed {seed}: writes are accepted while call {failing_call} still fails")
            except ReadOnly:
                pass
        files.fail_at = 0
        try:
            workload.store.retry()
            for _ in range(20):
                workload.step()
            workload.store.flush()
        except StoreError as error:
            results.add_violation(f"seed {seed}, call {failing_call} failed: error after the repair: {error}")
            continue
        mismatch = find_mismatch(workload.store, workload.model, workload.model.revision)
        if not mismatch:
            store = Store.open(
                "memory",
                SMALL,
                files=files.after_power_cut(seed + failing_call),
                clock=_fixed_clock(workload.now),
                ticks=lambda: 0,
            )
            mismatch = find_mismatch(store, workload.model, workload.acknowledged)
        results.recovered += 1
        if mismatch:
            results.add_violation(f"seed {seed}, call {failing_call} failed: {mismatch}")


def _fixed_clock(now: int) -> Callable[[], int]:
    return lambda: now


# ---- complete runs on several processes


_trials: DamageTrials | None = None


def _build_trials(seed: int, log_bytes: int) -> None:
    global _trials
    _trials = DamageTrials(seed, log_bytes)


def _run_slice(mode: Mode, part: int, parts: int) -> TrialResults:
    assert _trials is not None
    results = TrialResults()
    trial = _trials.try_cut if mode == "cut" else _trials.try_flip
    for i, (image, name, offset) in enumerate(_trials.positions()):
        if i % parts == part:
            trial(image, name, offset, results)
    return results


class Report(msgspec.Struct):
    """The results of a complete run."""

    seed: int
    log_bytes: int
    file_bytes: int  # total size of the distinct files of all images
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
    """Run all trials of one seed in `workers` processes; 0: one per core."""
    workers = workers or os.cpu_count() or 1
    trials = DamageTrials(seed, log_bytes)
    file_bytes = sum(1 for _ in trials.positions())
    report = Report(seed, log_bytes, file_bytes, trials.model.revision, {})
    image_files = {(i, name) for i, name, _ in trials.positions()}
    parts = workers * 16
    with ProcessPoolExecutor(workers, get_context("fork"), _build_trials, (seed, log_bytes)) as pool:
        for mode in modes:
            total = TrialResults()
            if mode in ("cut", "flip"):
                futures = [pool.submit(_run_slice, mode, part, parts) for part in range(parts)]
                total.images, total.files = len(trials.images), len(image_files)
            elif mode == "power":
                futures = [
                    pool.submit(run_power_cuts, seed + i // workers, 60_000, 300, workers, i % workers)
                    for i in range(workers * 2)
                ]
            else:
                futures = [
                    pool.submit(run_disk_faults, seed + i // workers, 60_000, 200, workers, i % workers)
                    for i in range(workers * 2)
                ]
            for done, future in enumerate(futures):
                total.add(future.result())
                progress(mode, done + 1, len(futures))
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
