"""rackhub store: inspect, verify, salvage, benchmark and stress-test an embedded store.

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
  info     Print sizes and counts of the store and what was recovered when it was opened.
  verify   Read every byte and report damage, without changing anything.
  get      Print the value of one key. Keys are UTF-8 text; other bytes are written \\xNN, a backslash \\\\.
  range    List the keys from START up to but excluding END; a bound that is left out is open.
  changes  List the changes of each revision from SINCE on.
  compact  Discard the history before REVISION and free its disk space.
  keyed    List the requests with an idempotency key that a coordinator stored and whose window has not expired.
  salvage  Write the provably intact data of DIR to the new directory TO; DIR is not changed.
  bench    Compare the store with a loop that only appends and syncs, on this machine; takes minutes.
  torture  Inject faults into a store at every byte and every step, and check each recovery; takes minutes.
  kill     Kill a real process under load on loopback, and check that all acknowledged writes survive.

Options:
  --at REVISION  Read the state at an earlier revision.
  --limit N      Maximum number of results; 0: all [default: 0].
  --dir DIR      Working directory, new or empty; removed afterwards [default: ./store-bench].
  --scale X      Fraction of the full benchmark's million records, 0.01 to 1 [default: 1].
  --kills N      Number of kills, 1 to 10000 [default: 50].
  --bytes N      Bytes of log that the workload writes, 10000 to 100000000 [default: 1000000].
  --modes LIST   Fault modes, from cut, flip, power, fault [default: cut,flip,power,fault].
  --seed N       Seed of the random number generator [default: 1].
  --workers N    Worker processes; 0: one per core [default: 0].
  --json         Print one JSON document instead of text.

Exit status: 0 success; 1 a fault was found (verify, torture, kill, and every command that opens a damaged store), the
key does not exist (get), or some data could not be saved (salvage); 2 bad usage, no such directory, or a store in use.
"""

import re
import shutil
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from rackhub.cli.words import CommandExit, parse, parse_number, print_json, report_error

MAX_NUMBER = 1 << 62


class TextEntry(msgspec.Struct, omit_defaults=True):
    """A key and its value as text, for JSON output. A value of None means that the key was deleted."""

    key: str
    value: str | None
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


def run(arguments: Sequence[str]) -> int:
    options = parse(__doc__ or "", arguments)
    name = next(name for name in HANDLERS if options[name])
    try:
        from rackhub.store import Corrupt, Locked, NewerFormat, StoreError
    except ImportError as missing:
        raise report_error(f"store: {missing}: install the extra 'store' (requirements-store.txt)") from None
    try:
        return HANDLERS[name](options)
    except Corrupt as error:
        print(f"rackhub: {error}", file=sys.stderr)
        return 1
    except (Locked, NewerFormat, StoreError) as error:
        raise report_error(f"store {name}: {error}") from None
    except OSError as os_error:
        raise report_error(f"store {name}: {os_error}") from None


# ---- keys as text


def bytes_to_text(data: bytes) -> str:
    """Decode UTF-8; write other bytes as \\xNN and double each backslash."""
    return data.replace(b"\\", b"\\\\").decode("utf-8", "backslashreplace")


def text_to_bytes(text: str) -> bytes:
    """Reverse `bytes_to_text`; a backslash that begins neither escape ends the command with status 2."""

    def unescape(match: re.Match[bytes]) -> bytes:
        return b"\\" if match[0] == b"\\\\" else bytes([int(match[1], 16)])

    data = text.encode("utf-8", "surrogateescape")
    if re.search(rb"\\(?!\\|x[0-9a-fA-F]{2})", data.replace(b"\\\\", b"")):
        raise report_error(f"key {text!r}: a backslash has to begin \\xNN or be doubled")
    return re.sub(rb"\\\\|\\x([0-9a-fA-F]{2})", unescape, data)


def to_text_entry(item: Any) -> TextEntry:
    return TextEntry(
        bytes_to_text(item.key),
        bytes_to_text(item.value),
        item.create_revision,
        item.mod_revision,
        item.version,
        item.lease,
    )


# ---- the commands


def _store_directory(options: dict[str, Any]) -> Path:
    path = Path(options["DIR"])
    if not (path / "MANIFEST").exists() and not any(path.glob("log-*")):
        raise report_error(f"{path}: no store is there")
    return path


def _open_store(options: dict[str, Any]) -> Any:
    from rackhub.store import Store

    return Store.open(_store_directory(options))


def _revision_option(options: dict[str, Any]) -> int | None:
    return None if options["--at"] is None else parse_number(options, "--at", 0, MAX_NUMBER)


def info(options: dict[str, Any]) -> int:
    with _open_store(options) as store:
        summary = store.info()
    if options["--json"]:
        print_json(summary)
        return 0
    print(
        f"revision {summary.revision}, history from revision {summary.compacted + 1}, {summary.records} records\n"
        f"{len(summary.tables)} tables and {summary.retired} in reserve, {summary.table_bytes:,} bytes\n"
        f"{summary.segments} log segments, {summary.log_bytes:,} bytes\n{summary.leases} leases"
    )
    for table in summary.tables:
        print(
            f"  table {table.number}: records {table.first_record} to {table.last_record}, {table.entries} entries, "
            f"{table.size:,} bytes"
        )
    recovery = summary.recovered
    print(
        f"opening replayed {recovery.records} records, cut off {recovery.torn_bytes} torn bytes"
        + "".join(f"\n  removed {name}" for name in recovery.removed)
        + "".join(f"\n  left alone: {name}, which is not a file of a store" for name in recovery.unknown_files)
    )
    return 0


def verify(options: dict[str, Any]) -> int:
    from rackhub.store import salvage
    from rackhub.store.files import DiskFiles

    files = DiskFiles(_store_directory(options), make=False)
    files.lock()  # fails if a process uses the store, since its files would change during the check
    progress = _Progress("files", 0)
    try:
        findings = list(salvage.verify(files, lambda name: progress.step(name)))
    finally:
        progress.close()
        files.unlock()
    if options["--json"]:
        print_json({"findings": findings})
    else:
        for finding in findings:
            print(f"{finding.file}: at byte {finding.offset}: {finding.what}")
        print(f"{len(findings)} findings" if findings else "no faults found")
    return 1 if findings else 0


def get(options: dict[str, Any]) -> int:
    with _open_store(options) as store:
        item = store.get(text_to_bytes(options["KEY"]), _revision_option(options))
    if item is None:
        print(f"rackhub: key {options['KEY']!r} is not there", file=sys.stderr)
        return 1
    if options["--json"]:
        print_json(to_text_entry(item))
    else:
        print(bytes_to_text(item.value))
    return 0


def range_(options: dict[str, Any]) -> int:
    start, end = text_to_bytes(options["START"] or ""), options["END"]
    with _open_store(options) as store:
        items = store.range(
            start,
            None if end is None else text_to_bytes(end),
            _revision_option(options),
            parse_number(options, "--limit", 0, MAX_NUMBER),
        )
    if options["--json"]:
        print_json([to_text_entry(item) for item in items])
    else:
        for item in items:
            print(f"{bytes_to_text(item.key)}\t{bytes_to_text(item.value)}")
    return 0


def changes(options: dict[str, Any]) -> int:
    limit = parse_number(options, "--limit", 0, MAX_NUMBER)
    rows: list[dict[str, Any]] = []
    with _open_store(options) as store:
        for change in store.changes(parse_number(options, "SINCE", 0, MAX_NUMBER)):
            row = to_text_entry(change.now) if change.now is not None else TextEntry(bytes_to_text(change.key), None)
            rows.append({"revision": change.revision, "now": row})
            if len(rows) == limit:
                break
    if options["--json"]:
        print_json(rows)
    else:
        for change_row in rows:
            value = "deleted" if change_row["now"].value is None else change_row["now"].value
            print(f"{change_row['revision']}\t{change_row['now'].key}\t{value}")
    return 0


def compact(options: dict[str, Any]) -> int:
    with _open_store(options) as store:
        before = store.info()
        store.compact(parse_number(options, "REVISION", 1, MAX_NUMBER))
        store.finish_work()
        after = store.info()
    freed = before.log_bytes + before.table_bytes - after.log_bytes - after.table_bytes
    if options["--json"]:
        print_json({"compacted": after.compacted, "freed_bytes": freed})
    else:
        print(f"history begins after revision {after.compacted}; {freed:,} bytes freed")
    return 0


def keyed(options: dict[str, Any]) -> int:
    from rackhub.state.records import REQUEST_KEY_PREFIX, decode_request

    with _open_store(options) as store:
        items = store.range(REQUEST_KEY_PREFIX, REQUEST_KEY_PREFIX + b"\xff")
        requests = [decode_request(item.value) for item in items]
    if options["--json"]:
        print_json(requests)
    else:
        for request in requests:
            columns = (
                request.idempotency_key,
                request.cls,
                request.tenant,
                request.state,
                request.engine or "-",
                f"{request.attempts} attempts",
            )
            print("\t".join(columns))
    return 0


def salvage_(options: dict[str, Any]) -> int:
    from rackhub.store import salvage
    from rackhub.store.files import DiskFiles

    path, to = _store_directory(options), Path(options["TO"])
    if to.exists() and any(to.iterdir()):
        raise report_error(f"{to}: the directory exists and is not empty")
    source = DiskFiles(path, make=False)
    source.lock()
    progress = _Progress("files", 0)
    try:
        verified, salvaged = salvage.salvage(source, DiskFiles(to), time.time_ns() // 1_000, progress.step)
    finally:
        progress.close()
        source.unlock()
    report = {
        "revision": salvaged.revision,
        "records": salvaged.last_record,
        "history_after": salvaged.floor,
        "findings": verified.findings,
        "left": [{"log": log.log, "first": log.first_record, "last": log.last_record} for log in salvaged.skipped],
    }
    if options["--json"]:
        print_json(report)
    else:
        for finding in verified.findings:
            print(f"{finding.file}: at byte {finding.offset}: {finding.what}")
        for log in salvaged.skipped:
            print(f"not saved: log {log.log} has records {log.first_record} to {log.last_record}, after a gap")
        print(
            f"saved to {to}: all records up to {salvaged.last_record} (revision {salvaged.revision}), history after "
            f"revision {salvaged.floor}"
        )
    return 1 if verified.findings or salvaged.skipped else 0


def bench(options: dict[str, Any]) -> int:
    from rackhub.store import bench as measure

    path = Path(options["--dir"])
    if path.exists() and any(path.iterdir()):
        raise report_error(f"{path}: the directory exists and is not empty")
    seed, scale = parse_number(options, "--seed", 0, MAX_NUMBER), parse_number(options, "--scale", 0.01, 1, float)
    progress = _Progress("measures", 0)
    try:
        report = measure.run(path, seed, scale, progress.step)
    finally:
        progress.close()
    path.rmdir()
    if options["--json"]:
        print_json(report)
        return 0
    print(f"{report.machine}, Python {report.python}; fdatasync of 4 KiB {report.fdatasync_us:.0f} us")
    for group in report.groups:
        print(
            f"64 writers, {group.value_bytes} bytes: bare {group.bare_mb_s:.0f} MB/s, commits "
            f"{group.commits_ratio:.2f} of it, with tables written in the background {group.steady_ratio:.2f}, "
            f"synced in a thread {group.threaded_ratio:.2f}; p99 {group.p99_us} us"
        )
    for read in report.reads:
        print(
            f"{read.keys} keys: gets/s in memory {read.memory_gets_s:,.0f}, warm {read.warm_gets_s:,.0f}, cold "
            f"{read.cold_gets_s:,.0f}, missing {read.missing_gets_s:,.0f}; ranges of 100/s {read.range_100_s:,.0f}; "
            f"entries scanned/s {read.scan_entries_s:,.0f}"
        )
    for recovery in report.recoveries:
        print(
            f"open after {recovery.records} records, {recovery.live_keys} live ({recovery.what}): "
            f"{recovery.open_ms:.0f} ms, {recovery.replayed} replayed, {recovery.disk_mb:.1f} MB"
        )
    print(f"resident memory per key after opening: {report.memory_bytes_a_key:.0f} bytes")
    for overwrite in report.overwrites:
        print(
            f"{overwrite.commits} overwrites of {overwrite.keys} keys, reserve {overwrite.reserve}: "
            f"wrote {overwrite.amplification:.2f} times, {overwrite.disk_mb:.1f} MB left"
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
            raise report_error(f"--modes: {mode!r} is none of {', '.join(fault_injection.MODES)}")
    size = parse_number(options, "--bytes", 10_000, 100_000_000)
    bars: dict[str, _Progress] = {}

    def show_progress(mode: str, done: int, total: int) -> None:
        bars.setdefault(mode, _Progress(mode, total)).step("")

    start = time.monotonic()
    try:
        report = fault_injection.run(
            size,
            parse_number(options, "--seed", 0, MAX_NUMBER),
            modes,
            parse_number(options, "--workers", 0, 1_024),
            show_progress,
        )
    finally:
        for bar in bars.values():
            bar.close()
    if options["--json"]:
        print_json(report)
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
        raise report_error(f"{path}: the directory exists and is not empty")
    kill_count = parse_number(options, "--kills", 1, 10_000)
    progress = _Progress("kills", kill_count)
    try:
        tally = kills.run(
            path, kill_count, parse_number(options, "--seed", 0, MAX_NUMBER), lambda done, total: progress.step("")
        )
    finally:
        progress.close()
    # If there are violations, the directory is kept for inspection.
    if not tally.violations:
        shutil.rmtree(path)
    if options["--json"]:
        print_json(tally)
    else:
        print(
            f"{tally.kills} kills, {tally.acknowledged:,} of {tally.sent:,} writes acknowledged, lost {tally.lost}, "
            f"changed {tally.changed}, found unsent {tally.found_unsent}"
        )
        for what in tally.violations:
            print(f"  {what}")
    return 1 if tally.violations else 0


class _Progress:
    """A progress bar if standard error is a terminal; otherwise does nothing."""

    def __init__(self, label: str, total: int):
        self._bar: Any = None
        if sys.stderr.isatty():
            from tqdm import tqdm

            self._bar = tqdm(total=total or None, desc=label, leave=False)

    def step(self, current: str) -> None:
        if self._bar is not None:
            if current:
                self._bar.set_postfix_str(current, refresh=False)
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

__all__ = ["CommandExit", "run"]
