"""rackhub store: look into, check, mend, measure and torture an embedded store.

Usage:
  rackhub store info DIR [--json]
  rackhub store verify DIR [--json]
  rackhub store get DIR KEY [--at REVISION] [--json]
  rackhub store range DIR [START] [END] [--at REVISION] [--limit N] [--json]
  rackhub store changes DIR SINCE [--limit N] [--json]
  rackhub store compact DIR REVISION [--json]
  rackhub store keyed DIR [--json]
  rackhub store salvage DIR TO [--json]
  rackhub store bench [--dir DIR] [--seed N] [--scale X] [--json]
  rackhub store torture [--bytes N] [--seed N] [--modes LIST] [--workers N] [--json]
  rackhub store kill [--dir DIR] [--kills N] [--seed N] [--json]
  rackhub store (-h | --help)

Commands:
  info     The store in figures, and what its opening had to do.
  verify   Read every byte and compare it with what was written; changes nothing.
  get      One key. Keys are text; bytes that are none are written \\xNN, a backslash \\\\.
  range    The keys from START to before END, both open without them.
  changes  Each change of each revision from SINCE on.
  compact  Give up the history before REVISION, and what it takes on disk.
  keyed    The keyed requests that a coordinator noted here, as far as their window reaches.
  salvage  Write what is provably whole in DIR to the new directory TO; DIR is not changed.
  bench    What the store costs here, against a bare loop that appends and syncs; takes minutes.
  torture  Damage a store at every byte and every step, and check each recovery; takes minutes.
  kill     Kill a real process under load on loopback, and look for what it had acknowledged.

Options:
  --at REVISION  The state at an earlier revision.
  --limit N      So many at most; 0: all [default: 0].
  --dir DIR      Where to measure; it is made, and emptied again [default: ./store-bench].
  --scale X      Part of the full measure's million records, 0.01 to 1 [default: 1].
  --kills N      How often to kill it, 1 to 10000 [default: 50].
  --bytes N      Log that the tortured workload writes, 10000 to 100000000 [default: 1000000].
  --modes LIST   Of cut, flip, power, fault [default: cut,flip,power,fault].
  --seed N       The run's random numbers [default: 1].
  --workers N    Processes; 0: one a core [default: 0].
  --json         One JSON document instead of text.

Exit status: 0 done; 1 something was found: a fault (verify, torture, kill, and all that open a damaged store), no
such key (get), something that could not be saved (salvage); 2 bad usage, no such directory, or a store in use.
"""

import re
import shutil
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from rackhub.cli.words import Ended, as_json, number, parse, refuse

MOST = 1 << 62


class Shown(msgspec.Struct, omit_defaults=True):
    """A key and its value as text."""

    key: str
    value: str | None
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


def run(words: Sequence[str]) -> int:
    options = parse(__doc__ or "", words)
    name = next(name for name in HANDLERS if options[name])
    try:
        from rackhub.store import Corrupt, Locked, NewerFormat, StoreError
    except ImportError as missing:
        raise refuse(f"store: {missing}: install the extra 'store' (requirements-store.txt)") from None
    try:
        return HANDLERS[name](options)
    except Corrupt as bad:
        print(f"rackhub: {bad}", file=sys.stderr)
        return 1
    except (Locked, NewerFormat, StoreError) as bad:
        raise refuse(f"store {name}: {bad}") from None
    except OSError as fault:
        raise refuse(f"store {name}: {fault}") from None


# ---- keys as text


def to_text(data: bytes) -> str:
    return data.replace(b"\\", b"\\\\").decode("utf-8", "backslashreplace")


def to_bytes(text: str) -> bytes:
    def one(found: re.Match[bytes]) -> bytes:
        return b"\\" if found[0] == b"\\\\" else bytes([int(found[1], 16)])

    data = text.encode("utf-8", "surrogateescape")
    if re.search(rb"\\(?!\\|x[0-9a-fA-F]{2})", data.replace(b"\\\\", b"")):
        raise refuse(f"key {text!r}: a backslash begins \\xNN or is doubled")
    return re.sub(rb"\\\\|\\x([0-9a-fA-F]{2})", one, data)


def shown(item: Any) -> Shown:
    return Shown(
        to_text(item.key), to_text(item.value), item.create_revision, item.mod_revision, item.version, item.lease
    )


# ---- the commands


def _there(options: dict[str, Any]) -> Path:
    path = Path(options["DIR"])
    if not (path / "MANIFEST").exists() and not any(path.glob("log-*")):
        raise refuse(f"{path}: no store is there")
    return path


def _open(options: dict[str, Any]) -> Any:
    from rackhub.store import Store

    return Store.open(_there(options))


def _at(options: dict[str, Any]) -> int | None:
    return None if options["--at"] is None else number(options, "--at", 0, MOST)


def info(options: dict[str, Any]) -> int:
    with _open(options) as store:
        told = store.info()
    if options["--json"]:
        as_json(told)
        return 0
    print(
        f"revision {told.revision}, history from revision {told.compacted + 1}, {told.records} records\n"
        f"{len(told.tables)} tables and {told.retired} in reserve, {told.table_bytes:,} bytes\n"
        f"{told.segments} log segments, {told.log_bytes:,} bytes\n{told.leases} leases"
    )
    for table in told.tables:
        print(
            f"  table {table.number}: records {table.first_record} to {table.last_record}, {table.entries} entries, "
            f"{table.size:,} bytes"
        )
    had = told.recovered
    print(
        f"opening replayed {had.records} records, cut off {had.torn_bytes} torn bytes"
        + "".join(f"\n  removed {name}" for name in had.removed)
        + "".join(f"\n  left alone: {name}, which is none of a store's files" for name in had.unknown_files)
    )
    return 0


def verify(options: dict[str, Any]) -> int:
    from rackhub.store import salvage
    from rackhub.store.files import DiskFiles

    files = DiskFiles(_there(options), make=False)
    files.lock()  # a store in use changes under one's hands
    progress = _Progress("files", 0)
    try:
        findings = list(salvage.verify(files, lambda name: progress.step(name)))
    finally:
        progress.close()
        files.unlock()
    if options["--json"]:
        as_json({"findings": findings})
    else:
        for found in findings:
            print(f"{found.file}: at byte {found.offset}: {found.what}")
        print(f"{len(findings)} findings" if findings else "whole")
    return 1 if findings else 0


def get(options: dict[str, Any]) -> int:
    with _open(options) as store:
        item = store.get(to_bytes(options["KEY"]), _at(options))
    if item is None:
        print(f"rackhub: key {options['KEY']!r} is not there", file=sys.stderr)
        return 1
    if options["--json"]:
        as_json(shown(item))
    else:
        print(to_text(item.value))
    return 0


def range_(options: dict[str, Any]) -> int:
    start, end = to_bytes(options["START"] or ""), options["END"]
    with _open(options) as store:
        items = store.range(
            start, None if end is None else to_bytes(end), _at(options), number(options, "--limit", 0, MOST)
        )
    if options["--json"]:
        as_json([shown(item) for item in items])
    else:
        for item in items:
            print(f"{to_text(item.key)}\t{to_text(item.value)}")
    return 0


def changes(options: dict[str, Any]) -> int:
    limit = number(options, "--limit", 0, MOST)
    rows: list[dict[str, Any]] = []
    with _open(options) as store:
        for change in store.changes(number(options, "SINCE", 0, MOST)):
            row = shown(change.now) if change.now is not None else Shown(to_text(change.key), None)
            rows.append({"revision": change.revision, "now": row})
            if len(rows) == limit:
                break
    if options["--json"]:
        as_json(rows)
    else:
        for told in rows:
            what = "deleted" if told["now"].value is None else told["now"].value
            print(f"{told['revision']}\t{told['now'].key}\t{what}")
    return 0


def compact(options: dict[str, Any]) -> int:
    with _open(options) as store:
        before = store.info()
        store.compact(number(options, "REVISION", 1, MOST))
        store.finish_work()
        after = store.info()
    freed = before.log_bytes + before.table_bytes - after.log_bytes - after.table_bytes
    if options["--json"]:
        as_json({"compacted": after.compacted, "freed_bytes": freed})
    else:
        print(f"history begins after revision {after.compacted}; {freed:,} bytes freed")
    return 0


def keyed(options: dict[str, Any]) -> int:
    from rackhub.state.records import REQUEST_KEY_PREFIX, decode_request

    with _open(options) as store:
        items = store.range(REQUEST_KEY_PREFIX, REQUEST_KEY_PREFIX + b"\xff")
        found = [decode_request(item.value) for item in items]
    if options["--json"]:
        as_json(found)
    else:
        for one in found:
            columns = (
                one.idempotency_key,
                one.cls,
                one.tenant,
                one.state,
                one.engine or "-",
                f"{one.attempts} attempts",
            )
            print("\t".join(columns))
    return 0


def salvage_(options: dict[str, Any]) -> int:
    from rackhub.store import salvage
    from rackhub.store.files import DiskFiles

    path, to = _there(options), Path(options["TO"])
    if to.exists() and any(to.iterdir()):
        raise refuse(f"{to}: is there and not empty")
    source = DiskFiles(path, make=False)
    source.lock()
    progress = _Progress("files", 0)
    try:
        found, taken = salvage.salvage(source, DiskFiles(to), time.time_ns() // 1_000, progress.step)
    finally:
        progress.close()
        source.unlock()
    told = {
        "revision": taken.revision,
        "records": taken.last_record,
        "history_after": taken.floor,
        "findings": found.findings,
        "left": [{"log": one.log, "first": one.first_record, "last": one.last_record} for one in taken.skipped],
    }
    if options["--json"]:
        as_json(told)
    else:
        for one in found.findings:
            print(f"{one.file}: at byte {one.offset}: {one.what}")
        for left in taken.skipped:
            print(f"left: log {left.log} holds records {left.first_record} to {left.last_record}, after a gap")
        print(
            f"saved to {to}: all records up to {taken.last_record} (revision {taken.revision}), history after "
            f"revision {taken.floor}"
        )
    return 1 if found.findings or taken.skipped else 0


def bench(options: dict[str, Any]) -> int:
    from rackhub.store import bench as measure

    path = Path(options["--dir"])
    if path.exists() and any(path.iterdir()):
        raise refuse(f"{path}: is there and not empty")
    seed, scale = number(options, "--seed", 0, MOST), number(options, "--scale", 0.01, 1, float)
    progress = _Progress("measures", 0)
    try:
        report = measure.run(path, seed, scale, progress.step)
    finally:
        progress.close()
    path.rmdir()
    if options["--json"]:
        as_json(report)
        return 0
    print(f"{report.machine}, Python {report.python}; fdatasync of 4 KiB {report.fdatasync_us:.0f} us")
    for group in report.groups:
        print(
            f"64 writers, {group.value_bytes} bytes: bare {group.bare_mb_s:.0f} MB/s, commits "
            f"{group.commits_ratio:.2f} of it, with tables written behind {group.steady_ratio:.2f}, synced in a "
            f"thread {group.threaded_ratio:.2f}; p99 {group.p99_us} us"
        )
    for read in report.reads:
        print(
            f"{read.keys} keys: gets/s in memory {read.memory_gets_s:,.0f}, warm {read.warm_gets_s:,.0f}, cold "
            f"{read.cold_gets_s:,.0f}, missing {read.missing_gets_s:,.0f}; ranges of 100/s {read.range_100_s:,.0f}; "
            f"entries scanned/s {read.scan_entries_s:,.0f}"
        )
    for one in report.recoveries:
        print(
            f"open after {one.records} records, {one.live_keys} live ({one.what}): {one.open_ms:.0f} ms, "
            f"{one.replayed} replayed, {one.disk_mb:.1f} MB"
        )
    print(f"resident memory a key after opening: {report.memory_bytes_a_key:.0f} bytes")
    for over in report.overwrites:
        print(
            f"{over.commits} overwrites of {over.keys} keys, reserve {over.reserve}: wrote {over.amplification:.2f} "
            f"times, {over.disk_mb:.1f} MB left"
        )
    print(
        f"slices of work: p50 {report.turns.p50_us} us, p99 {report.turns.p99_us}, longest "
        f"{report.turns.longest_us} of {report.turns.turns}"
    )
    return 0


def torture(options: dict[str, Any]) -> int:
    from rackhub.store import fault_injection

    modes = tuple(options["--modes"].split(","))
    for mode in modes:
        if mode not in fault_injection.MODES:
            raise refuse(f"--modes: {mode!r} is none of {', '.join(fault_injection.MODES)}")
    size = number(options, "--bytes", 10_000, 100_000_000)
    bars: dict[str, _Progress] = {}

    def told(mode: str, done: int, of: int) -> None:
        bars.setdefault(mode, _Progress(mode, of)).step("")

    start = time.monotonic()
    try:
        report = fault_injection.run(
            size, number(options, "--seed", 0, MOST), modes, number(options, "--workers", 0, 1_024), told
        )
    finally:
        for bar in bars.values():
            bar.close()
    if options["--json"]:
        as_json(report)
    else:
        print(
            f"{report.log_bytes:,} bytes of log, {report.revisions} revisions, {report.file_bytes:,} bytes of files, "
            f"{time.monotonic() - start:.0f} s"
        )
        for mode, tally in report.modes.items():
            print(
                f"{mode}: tried {tally.tried:,}, recovered {tally.recovered:,}, refused and salvaged "
                f"{tally.salvaged:,}, violations {len(tally.violations)}"
            )
            for what in tally.violations:
                print(f"  {what}")
    return 1 if report.violations else 0


def kill(options: dict[str, Any]) -> int:
    from rackhub.store import kill as kills

    path = Path(options["--dir"])
    if path.exists() and any(path.iterdir()):
        raise refuse(f"{path}: is there and not empty")
    many = number(options, "--kills", 1, 10_000)
    progress = _Progress("kills", many)
    try:
        tally = kills.run(path, many, number(options, "--seed", 0, MOST), lambda done, of: progress.step(""))
    finally:
        progress.close()
    if not tally.violations:  # else it is there to be looked into
        shutil.rmtree(path)
    if options["--json"]:
        as_json(tally)
    else:
        print(
            f"{tally.kills} kills, {tally.acknowledged:,} of {tally.sent:,} writes acknowledged, lost {tally.lost}, "
            f"changed {tally.changed}, found unsent {tally.found_unsent}"
        )
        for what in tally.violations:
            print(f"  {what}")
    return 1 if tally.violations else 0


class _Progress:
    """A bar on a terminal, nothing elsewhere."""

    def __init__(self, what: str, of: int):
        self._bar: Any = None
        if sys.stderr.isatty():
            from tqdm import tqdm

            self._bar = tqdm(total=of or None, desc=what, leave=False)

    def step(self, now: str) -> None:
        if self._bar is not None:
            if now:
                self._bar.set_postfix_str(now, refresh=False)
            self._bar.update()

    def close(self) -> None:
        if self._bar is not None:
            self._bar.close()


HANDLERS: dict[str, Callable[[dict[str, Any]], int]] = {
    "info": info,
    "verify": verify,
    "get": get,
    "range": range_,
    "changes": changes,
    "compact": compact,
    "keyed": keyed,
    "salvage": salvage_,
    "bench": bench,
    "torture": torture,
    "kill": kill,
}

__all__ = ["Ended", "run"]
