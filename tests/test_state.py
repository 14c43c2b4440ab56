"""State that a coordinator retains over restarts: its records, their writer, the store driver and the commands."""

import json
import os
import signal
import socket
import subprocess
import sys
from types import SimpleNamespace

import msgspec
import pytest
from harness import CLASSES, LIMITS, SETTINGS, FakeClock, S
from test_config import platform_config, watch_notice
from twisted.internet import reactor
from twisted.internet.task import Clock
from twisted.python.threadpool import ThreadPool

from rackhub import interface as t
from rackhub.cli import main
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Query
from rackhub.core.source import EndpointSnapshot
from rackhub.core.timers import Timers
from rackhub.counters import Counters
from rackhub.state import records
from rackhub.state.settings import store_settings
from rackhub.state.writer import StateWriter
from rackhub.store import Batch, Options, Store, kill
from rackhub.store.driver import Driver
from rackhub.store.driver_policy import DriverPolicy
from rackhub.store.memory_files import MemoryFiles

TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
LIST = EndpointSnapshot(
    41,
    (t.EngineEntry("e0", "z", "std", 1, "Ready", 4.0, 5 * S), t.EngineEntry("e1", "z", "std", 1, "Terminating")),
    {"e0": ("127.0.0.1", 1), "e1": ("127.0.0.1", 2)},
)


class Engines:
    """The engine port and the client in one: what was sent, what was answered."""

    reading_paused = may_have_unread_input = False

    def __init__(self):
        self.sent, self.answers = [], []

    def send(self, attempt):
        self.sent.append(attempt)

    def give_up(self, attempt): ...
    def promote(self, attempt): ...
    def close_idle(self, engine): ...

    def served(self, query, rows):
        self.answers.append("served")

    def rejected(self, query, backoff):
        self.answers.append("refused")

    def failed(self, query, why):
        self.answers.append("failed")


class StoredCoordinator:
    """A coordinator with a state writer on files in memory, on simulated time."""

    def __init__(self, files=None, snapshot=LIST, **more):
        self.files, self.reactor, self.clock = files or MemoryFiles(), Clock(), FakeClock()
        self.counters, self.port = Counters(), Engines()
        settings = store_settings({"path": "memory"} | more)
        self.writer = StateWriter(self.reactor, settings, CLASSES, self.clock, self.counters, self.files)
        self.core = Coordinator(SETTINGS, 7, self.clock, Timers(self.clock, self.clock), LIMITS, self.counters)
        self.core.request_journal = self.writer
        self.snapshot = self.writer.start(snapshot)
        self.core.start(self.port, self.snapshot.entries, 1)

    def submit_request(self, id, cls="depot-load", token=TOKEN):
        until = self.clock.now() + 20 * S
        self.core.submit(Query(f"{id:016x}", cls, b"x", until, self.port, tenant="acme", idempotency_key=token))

    def run_iterations(self, seconds=0.0):
        """Let `seconds` pass and run some event-loop iterations."""
        self.reactor.pump([seconds] + [0.0] * 8)

    def request_records(self):
        return [
            records.decode_request(item.value)
            for item in self.writer.store.range(records.REQUEST_KEY_PREFIX, b"keyed0")
        ]


def test_a_keyed_request_is_recorded_from_receipt_to_completion():
    here = StoredCoordinator()
    here.run_iterations()
    here.submit_request(1)
    here.run_iterations()
    (one,) = here.request_records()
    assert (one.idempotency_key, one.cls, one.state, one.attempts) == (TOKEN, "depot-load", "out", 1)
    assert one.engine == here.port.sent[0].engine and one.window_ends_at == here.clock.now() + 25 * S
    here.core.complete_attempt(here.port.sent[0], "GOOD", {}, (b"a\tb\tc\n",))
    here.run_iterations()
    assert here.request_records()[0].state == "served" and here.port.answers == ["served"]


def test_a_request_without_an_idempotency_key_is_never_stored():
    here = StoredCoordinator()
    here.run_iterations()
    before = here.writer.store.revision
    for i in range(20):
        here.submit_request(i + 1, "lookup", "")
    here.run_iterations()
    assert len(here.port.sent) == 20 and here.writer.store.revision == before and here.counters["state_commits"] == 1


def test_changes_of_one_iteration_are_one_commit_and_one_sync():
    here = StoredCoordinator()
    here.run_iterations()
    revision, steps = here.writer.store.revision, here.files.steps
    for i in range(30):
        here.submit_request(i + 1, token=f"{i:032x}")
    here.run_iterations()
    assert here.writer.store.revision == revision + 1 and here.files.steps == steps + 2
    assert len(here.request_records()) == 30


def test_after_a_power_cut_open_requests_are_known_and_expired_ones_dropped():
    here = StoredCoordinator()
    here.run_iterations()
    here.submit_request(1)
    here.run_iterations()
    again = StoredCoordinator(here.files.after_power_cut(3))
    (left,) = again.writer.open_requests
    assert (left.state, left.engine, left.attempts) == ("out", here.port.sent[0].engine, 1)
    again.submit_request(2)  # the client comes again with its key
    again.run_iterations()
    (one,) = again.request_records()
    # the window runs from the first attempt
    assert one.client_requests == 2 and one.attempts == 2 and one.window_ends_at == left.window_ends_at
    again.core.complete_attempt(again.port.sent[0], "GOOD", {}, (b"",))
    again.clock.advance(30 * S)
    again.submit_request(3, token="f" * 32)
    again.run_iterations()
    assert [one.idempotency_key for one in again.request_records()] == ["f" * 32]


def test_the_stored_endpoint_list_serves_a_start_without_one_and_a_configured_one_replaces_it():
    here = StoredCoordinator()
    here.run_iterations()
    later = LIST._replace(revision=42, entries=LIST.entries[:1])
    here.writer.store_endpoints(later)
    here.run_iterations()
    again = StoredCoordinator(here.files.copy(), snapshot=EndpointSnapshot(0, (), {}))
    assert again.snapshot == EndpointSnapshot(
        0, later.entries, LIST.addresses
    )  # numbered so that the resolver's first counts
    assert StoredCoordinator(here.files.copy(), snapshot=LIST).snapshot == LIST
    start = records.initial_endpoints(
        EndpointSnapshot(0, (), {}), records.encode_endpoint_list(LIST, 0), 90_000 * S, 86_400 * S
    )
    assert start == (EndpointSnapshot(0, (), {}), None)  # too old to go by
    assert records.initial_endpoints(EndpointSnapshot(0, (), {}), b"no list", 0, S)[1] is None
    drained, _ = records.initial_endpoints(
        EndpointSnapshot(0, (), {}), records.encode_endpoint_list(LIST, 0), S, 86_400 * S
    )
    assert drained.entries[1].state == "Terminating"


def test_counters_accumulate_over_starts():
    here = StoredCoordinator()
    here.submit_request(1)
    here.run_iterations()
    here.writer.close()
    again = StoredCoordinator(here.files.copy())
    again.submit_request(2)
    totals = again.writer.totals()
    assert totals.starts == 2 and totals.counts["requests_in"] == 2


def test_a_failing_disk_blocks_nothing_and_pending_writes_follow_its_recovery():
    here = StoredCoordinator()
    here.run_iterations()
    here.files.fault, here.files.fail_at, here.files.keep_failing = (
        OSError(28, "No space left"),
        here.files.steps + 1,
        True,
    )
    for i in range(3):
        here.submit_request(i + 1, token=f"{i:032x}")
        here.run_iterations()
    assert len(here.port.sent) == 3 and here.counters["state_failures"] >= 2  # served all the same
    here.run_iterations(1.5)  # the first retry fails too
    here.files.fail_at = 0
    here.run_iterations(5)
    here.submit_request(9, token="9" * 32)
    here.run_iterations()
    assert len(here.request_records()) == 4
    assert len(StoredCoordinator(here.files.after_power_cut(1)).request_records()) == 4


def test_pending_writes_for_a_failed_disk_are_bounded():
    here = StoredCoordinator()
    here.run_iterations()
    here.files.fault, here.files.fail_at, here.files.keep_failing = OSError(5, "I/O error"), here.files.steps + 1, True
    here.submit_request(1)
    here.run_iterations()
    for i in range(11_000):
        here.writer._pending[b"keyed/%d" % i] = b"x"
    here.submit_request(2, token="2" * 32)
    here.run_iterations()
    assert len(here.writer._pending) == 10_000 and here.counters["state_dropped"] > 900


def test_an_undecodable_value_is_counted_and_left():
    files = MemoryFiles()
    with Store.open("memory", files=files) as store:
        store.commit(Batch().put(b"keyed/depot-load/x", b"{"))
    here = StoredCoordinator(files)
    assert here.counters["state_unread"] == 1 and here.writer.store.get(b"keyed/depot-load/x").value == b"{"


# ---- the pace and the driver


def test_slow_syncs_go_to_another_thread_and_come_back_when_the_disk_is_quick_again():
    pace = DriverPolicy()
    pace.sync_finished(200, 0)
    assert not pace.use_thread(0)
    pace.sync_finished(500_000, 0)
    assert pace.use_thread(1) and pace.use_thread(59 * S)
    for _ in range(60):
        pace.sync_finished(200, 0)
    assert pace.use_thread(59 * S) and not pace.use_thread(61 * S)
    assert [pace.next_retry_delay() for _ in range(8)] == [S, 2 * S, 4 * S, 8 * S, 16 * S, 32 * S, 60 * S, 60 * S]
    pace.disk_recovered()
    assert pace.next_retry_delay() == S and pace.work_pause(2_000) == 8_000


@pytest.fixture
def threads():
    """The reactor with threads of the test's own: its pool begins with its `run`, which no test calls."""
    pool = ThreadPool(1, 1)
    pool.start()
    yield SimpleNamespace(
        callLater=reactor.callLater, callFromThread=reactor.callFromThread, getThreadPool=lambda: pool
    )
    pool.stop()


@pytest.mark.parametrize("slow", [False, True])
def test_the_driver_syncs_once_a_turn_here_or_in_a_thread(slow, threads):
    driver, files, told_ = Driver(threads, now=lambda: 0), MemoryFiles(), []
    store = Store.open("memory", Options(memtable_bytes=4_096, block_bytes=256, runs=2), files=files, wake=driver.wake)
    driver.start(store)
    if slow:
        driver.policy.sync_finished(10 * S, 0)
    for i in range(300):
        store.commit(Batch().put(b"%04d" % i, b"x" * 40), acknowledged=told_.append)
        if not i % 50:
            reactor.iterate(0.01)
    for _ in range(2_000):
        if len(told_) == 300 and not store.needs_work:
            break
        reactor.iterate(0.01)
    assert told_ == [None] * 300 and store.info().tables and (driver.threaded_syncs > 0) is slow
    driver.close()
    with Store.open("memory", files=files.after_power_cut(1)) as again:
        assert again.revision == 300


def test_an_acknowledgement_may_commit_and_so_on():
    files, done = MemoryFiles(), []
    store = Store.open("memory", Options(memtable_bytes=4_096, block_bytes=256, runs=2), files=files)

    def go_on(error):
        done.append(error)
        if len(done) < 400:
            store.commit(Batch().put(b"%04d" % len(done), b"x" * 40), acknowledged=go_on)

    go_on(None)
    while len(done) < 400:
        store.flush()
        store.work()
    store.close()
    assert done == [None] * 400 and store.revision == 399


# ---- the command line


@pytest.fixture
def filled(tmp_path):
    path = tmp_path / "store"
    with Store.open(path, Options(memtable_bytes=8_192, runs=2)) as store:
        for i in range(400):
            store.commit(Batch().put(b"key%02d" % (i % 40), b"%d" % i * 20))
        store.commit(Batch().put(b"\xff\\odd", b"text"))
        store.finish_work()
    return path


def out(capsys):
    return json.loads(capsys.readouterr().out)


def test_the_command_line_reads_a_store(filled, capsys):
    path = str(filled)
    assert main(["store", "info", path, "--json"]) == 0 and out(capsys)["revision"] == 401
    assert main(["store", "verify", path, "--json"]) == 0 and out(capsys) == {"findings": []}
    assert main(["store", "get", path, "key07", "--at", "8", "--json"]) == 0
    assert out(capsys) == {"key": "key07", "value": "7" * 20, "create_revision": 8, "mod_revision": 8, "version": 1}
    assert main(["store", "get", path, r"\xff\\odd"]) == 0 and capsys.readouterr().out == "text\n"
    assert main(["store", "range", path, "key38", "--json"]) == 0
    assert [one["key"] for one in out(capsys)] == ["key38", "key39", r"\xff\\odd"]
    assert main(["store", "changes", path, "400", "--json"]) == 0
    assert [(one["revision"], one["now"]["key"]) for one in out(capsys)] == [(400, "key39"), (401, r"\xff\\odd")]
    assert main(["store", "compact", path, "390", "--json"]) == 0 and out(capsys)["compacted"] == 390
    for words in (
        ["info", path],
        ["range", path, "--limit", "2"],
        ["changes", path, "400"],
        ["keyed", path],
        ["verify", path],
    ):
        assert main(["store", *words]) == 0
    capsys.readouterr()
    assert main(["store", "get", path, "none"]) == 1 and "'none' is not there" in capsys.readouterr().err


@pytest.mark.parametrize(
    "words, told_",
    [
        (["get", "DIR", "key07", "--at", "99999"], "revision 99999 is not there yet"),
        (["get", "DIR", "key07", "--at", "x"], "--at: 'x' is not a number"),
        (["get", "DIR", r"\q"], "backslash"),
        (["changes", "DIR", "-5"], "SINCE: '-5'"),
        (["compact", "DIR", "0"], "REVISION: '0' is not a number"),
        (["info", "/nowhere"], "no store is there"),
        (["dance"], "Usage"),
        (["torture", "--modes", "x"], "'x' is none of"),
        (["torture", "--bytes", "5"], "--bytes"),
        (["salvage", "DIR", "DIR"], "not empty"),
        (["bench", "--dir", "DIR"], "not empty"),
        (["bench", "--scale", "7"], "--scale"),
        (["kill", "--kills", "0"], "--kills"),
    ],
)
def test_bad_usage_is_one_line_and_status_2(filled, capsys, words, told_, tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    assert main(["store", *(str(filled) if word == "DIR" else word for word in words)]) == 2
    said = capsys.readouterr().err
    assert told_ in said and ("Usage" in said or said.count("\n") == 1)


def test_a_store_in_use_and_a_damaged_one_and_its_salvage(filled, capsys, tmp_path):
    with Store.open(filled):
        assert main(["store", "info", str(filled)]) == 2 and "another process" in capsys.readouterr().err
    log = max(filled.glob("table-*"), key=lambda one: one.stat().st_size)
    log.write_bytes(log.read_bytes()[:-7])
    assert main(["store", "info", str(filled)]) == 1 and log.name in capsys.readouterr().err
    assert main(["store", "verify", str(filled), "--json"]) == 1 and out(capsys)["findings"][0]["file"] == log.name
    assert main(["store", "salvage", str(filled), str(tmp_path / "saved"), "--json"]) == 1
    assert out(capsys)["revision"] == 401
    assert main(["store", "range", str(tmp_path / "saved"), "--json"]) == 0 and len(out(capsys)) == 41


def test_the_torture_command_reports_what_it_tried(capsys):
    assert main(["store", "torture", "--bytes", "10000", "--modes", "cut", "--workers", "2", "--json"]) == 0
    report = out(capsys)
    assert report["violations"] == 0 and report["modes"]["cut"]["tried"] == report["file_bytes"] > 9_000


def test_a_killed_process_loses_nothing_that_it_acknowledged(tmp_path):
    tally = kill.run(tmp_path / "s", 4, 11)
    assert tally.violations == [] and tally.kills == 4 and tally.acknowledged > 100


def test_the_kill_test_finds_a_write_that_is_not_there(tmp_path):
    acknowledged, sent, tally = {}, set(), kill.KillResults()
    with Store.open(tmp_path / "s", kill.OPTIONS) as store:
        store.commit(Batch().put(b"a", b"1"))
    acknowledged[1], acknowledged[2] = (b"a", b"2"), (b"b", b"1")
    kill._check_store(tmp_path / "s", acknowledged, sent, tally)
    assert tally.lost and tally.changed == 1 and tally.found_unsent == 1 and len(tally.violations) >= 3


# ---- the operator's file and the daemon


@pytest.mark.parametrize(
    "part, key",
    [
        ({}, "path"),
        ({"path": ""}, "path is empty"),
        ({"path": "x", "contract": "maybe"}, "contract"),
        ({"path": "x", "memtable_bytes": 1}, "memtable_bytes is 1"),
        ({"path": "x", "colour": 1}, "colour"),
        ({"path": "x", "engines_for_s": 0}, "engines_for_s is 0"),
        ({"path": 7}, "path"),
        ({"path": "x", "runs": "many"}, "runs"),
    ],
)
def test_an_invalid_store_table_is_rejected_by_its_key(part, key, tmp_path, capsys):
    (tmp_path / "c.json").write_text(json.dumps(platform_config()))
    lines = "".join(f"{name} = {json.dumps(value)}\n" for name, value in part.items())
    (tmp_path / "o.toml").write_text(f"[store]\n{lines}")
    words = ["--config", str(tmp_path / "c.json"), "--operator", str(tmp_path / "o.toml")]
    assert main(["check-config", *words]) == 2 and key in capsys.readouterr().err


def test_a_disabled_store_is_not_imported():
    code = (
        "import sys, rackhub.cli.serve, rackhub.daemon; bad = [m for m in sys.modules if m.startswith("
        "('rackhub.store', 'rackhub.state.', 'crc32c', 'rbloom', 'xxhash', 'sortedcontainers'))]; print(bad)"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout == "[]\n"


def test_a_daemon_restores_its_state_after_a_kill(tmp_path):
    with socket.socket() as one, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as two:
        one.bind(("127.0.0.1", 0))
        two.bind(("127.0.0.1", 0))  # a resolver that never answers
        listen, nameserver = one.getsockname()[1], two.getsockname()[1]
        one.close()
        (tmp_path / "o.toml").write_text(f'[store]\npath = "{tmp_path / "state"}"\n')
        config = tmp_path / "c.json"

        def start(**more):
            more |= {"listen": f"127.0.0.1:{listen}", "nameserver": f"127.0.0.1:{nameserver}"}
            config.write_text(json.dumps(platform_config(**more)))
            return subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "rackhub",
                    "serve",
                    "--config",
                    str(config),
                    "--operator",
                    str(tmp_path / "o.toml"),
                ],
                stderr=subprocess.PIPE,
                text=True,
                env=dict(os.environ),
            )

        def until(process, what):
            heard = []
            for line in process.stderr:
                heard.append(line)
                if what in line:
                    return line
            raise AssertionError(f"it never said {what!r} but {heard}")

        entry = {
            "name": "a",
            "address": "127.0.0.1:9",
            "zone": "east",
            "type": "std-8",
            "group": 2,
            "status": "ready",
            "weight": 4,
            "since_ms": 0,
        }
        first = start(known={"rev": 3, "notices": [watch_notice(3, entry)]})
        until(first, "serves on")
        first.send_signal(signal.SIGUSR1)
        until(first, "counters of 1 starts")
        first.send_signal(signal.SIGTERM)
        assert first.wait(30) == 0
        second = start(known={"rev": 0, "notices": []})
        assert "list of 1 stored" in until(second, "no engines are configured")
        assert "1 engines known" in until(second, "serves on")
        for _ in range(5):  # each answer is one more turn of its loop: written in one, committed and synced in the next
            second.send_signal(signal.SIGUSR1)
            until(second, "counters of 2 starts")
        second.kill()
        second.wait(30)
        third = start(known={"rev": 0, "notices": []})
        until(third, "serves on")
        third.send_signal(signal.SIGTERM)
        until(third, "counters of 3 starts")
        assert third.wait(30) == 0
        for process in (first, second, third):
            process.stderr.close()
        with Store.open(tmp_path / "state") as store:
            assert msgspec.json.decode(store.get(records.COUNTERS_KEY).value)["starts"] == 3


def test_a_store_that_cannot_be_opened_fails_the_start_with_one_line(tmp_path):
    state = tmp_path / "state"
    Store.open(state).close()
    (state / "MANIFEST").write_bytes(b"")
    (tmp_path / "o.toml").write_text(f'[store]\npath = "{state}"\n')
    (tmp_path / "c.json").write_text(json.dumps(platform_config()))
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "rackhub",
            "serve",
            "--config",
            str(tmp_path / "c.json"),
            "--operator",
            str(tmp_path / "o.toml"),
        ],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2 and "[store]: MANIFEST: at byte 0" in done.stderr
