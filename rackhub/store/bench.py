"""Measures the store's performance as ratios to a plain loop that appends and syncs the same bytes.

All figures of a report come from one run in one directory. Times are taken from the monotonic clock, and both sides of
a ratio write the same values from the same seed.
"""

import gc
import os
import platform
import random
import shutil
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from rackhub.store.batch import Batch
from rackhub.store.engine import Store
from rackhub.store.options import MIB, Options

WRITERS = 64
MAX_LATENCY_US = 60_000_000  # upper limit of the histograms


class GroupCommits(msgspec.Struct, frozen=True):
    """Commits by 64 writers, each of which commits again when acknowledged, compared with the plain loop."""

    value_bytes: int
    commits: int
    bare_mb_s: float  # 64 keys and values per write and fdatasync; median of three runs between the others
    commits_ratio: float  # commits and syncs only; no table is written
    steady_ratio: float  # commits with tables written and merged in the same thread
    threaded_ratio: float  # the same with syncs in another thread and writers in two alternating groups
    p50_us: int  # latency from commit to acknowledgement in the run for steady_ratio
    p99_us: int


class Reads(msgspec.Struct, frozen=True):
    """Read rates per second."""

    keys: int
    memory_gets_s: float
    warm_gets_s: float  # repeated reads of 300 keys in tables
    cold_gets_s: float  # reads of random keys in tables, with an 8 MiB cache
    missing_gets_s: float
    range_100_s: float  # ranges of 100 keys
    scan_entries_s: float


class Recovery(msgspec.Struct, frozen=True):
    """The time to open a store."""

    what: str
    records: int  # number of committed records
    live_keys: int
    open_ms: float
    replayed: int
    disk_mb: float


class Overwrites(msgspec.Struct, frozen=True):
    """Write amplification and disk usage after overwriting a small set of keys."""

    keys: int
    commits: int
    reserve: bool
    user_mb: float
    log_mb: float
    tables_mb: float
    amplification: float
    disk_mb: float


class WorkSlices(msgspec.Struct, frozen=True):
    """How long `work` blocks an event-loop iteration with the default options."""

    turns: int
    p50_us: int
    p99_us: int
    longest_us: int


class Report(msgspec.Struct, frozen=True):
    """All results of a run."""

    machine: str
    python: str
    seed: int
    fdatasync_us: float
    groups: list[GroupCommits]
    reads: list[Reads]
    recoveries: list[Recovery]
    memory_bytes_a_key: float  # resident memory per key after opening, less that of an empty store
    overwrites: list[Overwrites]
    turns: WorkSlices


def run(path: Path, seed: int, scale: float, progress: Callable[[str], None]) -> Report:
    """Run all measurements in an empty directory, which is left empty. `scale` 1.0: up to a million records."""
    chance = random.Random(seed)
    path.mkdir(parents=True, exist_ok=True)
    many, some = int(1_000_000 * scale), int(100_000 * scale)
    progress("sync")
    sync = _append_and_sync(path / "sync", [b"x" * 4_096], 200)[1]
    groups = []
    for size in (100, 1_024, 4_096, 16_384, 65_536):
        progress(f"groups of {size}-byte values")
        groups.append(_measure_groups(path, chance, size, max(int(24 * MIB * scale) // size, 64 * 20)))
    reads = []
    for count in (some, many):
        progress(f"reads of {count} keys")
        reads.append(_measure_reads(path, chance, count))
    recoveries, memory = [], 0.0
    for what, commits, keys in (
        ("all live", some, some),
        ("all live", many, many),
        ("overwritten, compacted", many, some),
        ("one key, compacted", some, 1),
    ):
        progress(f"recovery: {what}, {commits} records")
        found, resident = _measure_recovery(path, chance, what, commits, keys)
        recoveries.append(found)
        memory = resident / keys if keys == many else memory
    progress("overwrites")
    overwrites = [_measure_overwrites(path, chance, some // 10, some * 3, reserve) for reserve in (True, False)]
    progress("turns")
    turns = _measure_slices(path, chance, many)
    machine = f"{platform.system()} {platform.machine()}, {os.cpu_count()} cores"
    return Report(machine, platform.python_version(), seed, sync, groups, reads, recoveries, memory, overwrites, turns)


def _append_and_sync(path: Path, parts: list[bytes], rounds: int) -> tuple[float, float]:
    """Append and sync in a loop. Returns bytes per second and microseconds per round."""
    fd = os.open(path, os.O_CREAT | os.O_TRUNC | os.O_WRONLY | os.O_APPEND)
    data = b"".join(parts)
    start = time.perf_counter()
    for _ in range(rounds):
        os.write(fd, data)
        os.fdatasync(fd)
    took = time.perf_counter() - start
    os.close(fd)
    os.unlink(path)
    return len(data) * rounds / took, took / rounds * 1e6


def _measure_groups(path: Path, chance: random.Random, size: int, commits: int) -> GroupCommits:
    rounds = commits // WRITERS
    values = [chance.randbytes(size) for _ in range(WRITERS)]
    keys = [b"writer-%08d" % i for i in range(WRITERS * 16)]
    parts = [key + value for key, value in zip(keys, values, strict=False)]
    bare = [_append_and_sync(path / "bare", parts, rounds)[0]]
    alone, _ = _commit_rounds(path, keys, values, rounds, memtable_bytes=1_024 * MIB)
    bare.append(_append_and_sync(path / "bare", parts, rounds)[0])
    steady, spread = _commit_rounds(path, keys, values, rounds)
    bare.append(_append_and_sync(path / "bare", parts, rounds)[0])
    threaded = _commit_with_sync_thread(path, keys, values, rounds)
    bare_rate = sorted(bare)[1]
    total = len(parts[0]) * rounds * WRITERS
    return GroupCommits(
        size,
        rounds * WRITERS,
        bare_rate / MIB,
        total / alone / bare_rate,
        total / steady / bare_rate,
        total / threaded / bare_rate,
        spread.get_value_at_percentile(50),
        spread.get_value_at_percentile(99),
    )


def _commit_rounds(
    path: Path, keys: list[bytes], values: list[bytes], rounds: int, **options: object
) -> tuple[float, HdrHistogram]:
    """Commit and sync in rounds of one commit per writer. Returns the seconds taken and the latencies."""
    store = _open(path, wake=lambda store: None, retain_revisions=1_000, **options)
    spread = HdrHistogram(1, MAX_LATENCY_US, 3)
    start = time.perf_counter()
    for i in range(rounds):
        began = time.perf_counter_ns()
        for j in range(WRITERS):
            store.commit(Batch().put(keys[(i * WRITERS + j) % len(keys)], values[j]))
        store.flush()
        spread.record_value((time.perf_counter_ns() - began) // 1_000)
        if store.needs_work:
            store.work()
    took = time.perf_counter() - start
    _discard(store, path)
    return took, spread


def _commit_with_sync_thread(path: Path, keys: list[bytes], values: list[bytes], rounds: int) -> float:
    """Commit while the previous group of commits is synced in another thread. Returns the seconds taken."""
    store = _open(path, wake=lambda store: None, retain_revisions=1_000)
    ready = list(range(WRITERS))
    done = 0

    def committed(writer: int) -> Callable[[object], None]:
        return lambda error: ready.append(writer)

    with ThreadPoolExecutor(1) as pool:
        start = time.perf_counter()
        while done < rounds * WRITERS:
            going, ready = ready, []
            syncing = None
            for i, writer in enumerate(going):
                if i == len(going) // 2 and syncing is None and len(going) > 1:
                    file = store.begin_flush()
                    syncing = pool.submit(file.sync) if file is not None else None
                store.commit(Batch().put(keys[(done + i) % len(keys)], values[writer]), acknowledged=committed(writer))
            done += len(going)
            if syncing is None:
                file = store.begin_flush()
                syncing = pool.submit(file.sync) if file is not None else None
            store.work()
            if syncing is not None:
                syncing.result()
                store.end_flush(None)
        store.flush()
        took = time.perf_counter() - start
    _discard(store, path)
    return took


def _measure_reads(path: Path, chance: random.Random, count: int) -> Reads:
    store = _filled_store(path, chance, count, count)
    store.finish_work()
    for i in range(1_000):
        store.commit(Batch().put(b"memory-%04d" % i, b"x" * 40))
    store.flush()
    names = [b"key-%08d" % chance.randrange(count) for _ in range(20_000)]
    few = names[:300]
    for name in few:
        store.get(name)
    ordered = sorted(names)[:2_000]
    found = Reads(
        count,
        _rate(lambda i: store.get(b"memory-%04d" % (i % 1_000)), 50_000),
        _rate(lambda i: store.get(few[i % 300]), 20_000),
        _rate(lambda i: store.get(names[i]), len(names)),
        _rate(lambda i: store.get(b"none-%08d" % i), 50_000),
        _rate(lambda i: store.range(ordered[i], None, limit=100), len(ordered)),
        _rate(lambda i: sum(1 for _ in store.scan()), 1) * (count + 1_000),
    )
    _discard(store, path)
    return found


def _rate(call: Callable[[int], object], times: int) -> float:
    start = time.perf_counter()
    for i in range(times):
        call(i)
    return times / (time.perf_counter() - start)


def _measure_recovery(path: Path, chance: random.Random, what: str, commits: int, keys: int) -> tuple[Recovery, float]:
    store = _filled_store(path, chance, commits, keys)
    if keys < commits:
        store.compact(store.revision)
        store.finish_work()
    del store  # the store is not closed, as if the process had been killed
    gc.collect()
    before = resident()
    start = time.perf_counter()
    store = _open(path)
    took = time.perf_counter() - start
    after = resident()
    disk = sum(file.stat().st_size for file in (path / "store").iterdir())
    found = Recovery(what, commits, keys, took * 1e3, store.recovered.records, disk / MIB)
    _discard(store, path)
    return found, after - before


def _measure_overwrites(path: Path, chance: random.Random, keys: int, commits: int, reserve: bool) -> Overwrites:
    store = _open(path, memtable_bytes=MIB, retain_revisions=1_000, reserve=reserve)
    user = 0
    for i in range(commits):
        key, value = b"key-%08d" % chance.randrange(keys), chance.randbytes(100)
        user += len(key) + len(value)
        store.commit(Batch().put(key, value))
        if not i % WRITERS:
            store.flush()
    store.finish_work()
    disk = sum(file.stat().st_size for file in (path / "store").iterdir())
    found = Overwrites(
        keys,
        commits,
        reserve,
        user / MIB,
        store.log_bytes_written / MIB,
        store.table_bytes_written / MIB,
        (store.log_bytes_written + store.table_bytes_written) / user,
        disk / MIB,
    )
    _discard(store, path)
    return found


def _measure_slices(path: Path, chance: random.Random, commits: int) -> WorkSlices:
    """Time slices of work while most commits create new keys, so that tables grow to many blocks.

    The garbage collector is off, as in the daemon.
    """
    gc.collect()
    gc.disable()
    store, spread = _open(path, wake=lambda store: None, retain_revisions=1_000), HdrHistogram(1, MAX_LATENCY_US, 3)
    longest = 0
    for i in range(commits):
        store.commit(Batch().put(b"key-%08d" % chance.randrange(commits), chance.randbytes(40)))
        if not i % WRITERS:
            store.flush()
            if store.needs_work:
                start = time.perf_counter_ns()
                store.work()
                took = (time.perf_counter_ns() - start) // 1_000
                spread.record_value(max(took, 1))
                longest = max(longest, took)
    gc.enable()
    _discard(store, path)
    return WorkSlices(
        spread.get_total_count(), spread.get_value_at_percentile(50), spread.get_value_at_percentile(99), longest
    )


def _filled_store(path: Path, chance: random.Random, commits: int, keys: int) -> Store:
    """Return a store after `commits` commits of one small value each, cycling through `keys` keys."""
    store = _open(path, retain_revisions=1_000 if keys < commits else 0)
    value = chance.randbytes(40)
    for i in range(commits):
        store.commit(Batch().put(b"key-%08d" % (i * 7_919 % keys), value))
        if not i % WRITERS:
            store.flush()
    store.flush()
    return store


def _open(path: Path, wake: Callable[[Store], None] | None = None, **options: object) -> Store:
    return Store.open(path / "store", msgspec.convert(options, Options), wake=wake)


def _discard(store: Store, path: Path) -> None:
    store.close()
    shutil.rmtree(path / "store")


def resident() -> int:
    """The resident memory of this process in bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


if sys.platform != "linux":  # uses fdatasync, /proc/self/statm and fsync of directories
    raise ImportError("rackhub.store.bench needs Linux")
