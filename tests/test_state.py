"""State that a coordinator keeps across restarts: its records, their writer, the store driver and the commands."""

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

from rackhub import interface
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
    (
        interface.EngineEntry("e0", "z", "std", 1, "Ready", 4.0, 5 * S),
        interface.EngineEntry("e1", "z", "std", 1, "Terminating"),
    ),
    {"e0": ("127.0.0.1", 1), "e1": ("127.0.0.1", 2)},
)


class EnginesAndClient:
    """Records sent attempts as the engine port and answers as the client."""

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
    """A coordinator with a state writer, with files in memory and simulated time."""

    def __init__(self, files=None, snapshot=LIST, **options):
        self.files, self.reactor, self.clock = files or MemoryFiles(), Clock(), FakeClock()
        self.counters, self.port = Counters(), EnginesAndClient()
        settings = store_settings({"path": "memory"} | options)
        self.writer = StateWriter(self.reactor, settings, CLASSES, self.clock, self.counters, self.files)
        self.core = Coordinator(SETTINGS, 7, self.clock, Timers(self.clock, self.clock), LIMITS, self.counters)
        self.core.request_journal = self.writer
        self.snapshot = self.writer.start(snapshot)
        self.core.start(self.port, self.snapshot.entries, 1)

    def submit_request(self, id, cls="depot-load", token=TOKEN):
        deadline = self.clock.now() + 20 * S
        self.core.submit(Query(f"{id:016x}", cls, b"x", deadline, self.port, tenant="acme", idempotency_key=token))

    def run_iterations(self, seconds=0.0):
        """Advance the time by `seconds` and run some event-loop iterations."""
        self.reactor.pump([seconds] + [0.0] * 8)

    def request_records(self):
        return [
            records.decode_request(item.value)
            for item in self.writer.store.range(records.REQUEST_KEY_PREFIX, b"keyed0")
        ]


def test_a_keyed_request_is_recorded_from_receipt_to_completion():
    coordinator = StoredCoordinator()
    coordinator.run_iterations()
    coordinator.submit_request(1)
    coordinator.run_iterations()
    (record,) = coordinator.request_records()
    assert (record.idempotency_key, record.cls, record.state, record.attempts) == (TOKEN, "depot-load", "out", 1)
    assert (
        record.engine == coordinator.port.sent[0].engine and record.window_ends_at == coordinator.clock.now() + 25 * S
    )
    coordinator.core.complete_attempt(coordinator.port.sent[0], "GOOD", {}, (b"a\tb\tc\n",))
    coordinator.run_iterations()
    assert coordinator.request_records()[0].state == "served" and coordinator.port.answers == ["served"]


def test_a_request_without_an_idempotency_key_is_never_stored():
    coordinator = StoredCoordinator()
    coordinator.run_iterations()
    before = coordinator.writer.store.revision
    for i in range(20):
        coordinator.submit_request(i + 1, "lookup", "")
    coordinator.run_iterations()
    assert (
        len(coordinator.port.sent) == 20
        and coordinator.writer.store.revision == before
        and coordinator.counters["state_commits"] == 1
    )


def test_changes_of_one_iteration_are_one_commit_and_one_sync():
    coordinator = StoredCoordinator()
    coordinator.run_iterations()
    revision, steps = coordinator.writer.store.revision, coordinator.files.steps
    for i in range(30):
        coordinator.submit_request(i + 1, token=f"{i:032x}")
    coordinator.run_iterations()
    assert coordinator.writer.store.revision == revision + 1 and coordinator.files.steps == steps + 2
    assert len(coordinator.request_records()) == 30


def test_after_a_power_cut_open_requests_are_known_and_expired_ones_dropped():
    coordinator = StoredCoordinator()
    coordinator.run_iterations()
    coordinator.submit_request(1)
    coordinator.run_iterations()
    restarted = StoredCoordinator(coordinator.files.after_power_cut(3))
    (interrupted,) = restarted.writer.open_requests
    assert (interrupted.state, interrupted.engine, interrupted.attempts) == ("out", coordinator.port.sent[0].engine, 1)
    restarted.submit_request(2)  # the client's retry has the same key
    restarted.run_iterations()
    (record,) = restarted.request_records()
    # The window is counted from the first attempt.
    assert record.client_requests == 2 and record.attempts == 2 and record.window_ends_at == interrupted.window_ends_at
    restarted.core.complete_attempt(restarted.port.sent[0], "GOOD", {}, (b"",))
    restarted.clock.advance(30 * S)
    restarted.submit_request(3, token="f" * 32)
    restarted.run_iterations()
    assert [record.idempotency_key for record in restarted.request_records()] == ["f" * 32]


def test_the_stored_endpoint_list_is_used_only_if_none_is_configured():
    coordinator = StoredCoordinator()
    coordinator.run_iterations()
    changed = LIST._replace(revision=42, entries=LIST.entries[:1])
    coordinator.writer.store_endpoints(changed)
    coordinator.run_iterations()
    restarted = StoredCoordinator(coordinator.files.copy(), snapshot=EndpointSnapshot(0, (), {}))
    assert restarted.snapshot == EndpointSnapshot(
        0, changed.entries, LIST.addresses
    )  # revision 0: any list from the resolver replaces it
    assert StoredCoordinator(coordinator.files.copy(), snapshot=LIST).snapshot == LIST
    initial = records.initial_endpoints(
        EndpointSnapshot(0, (), {}), records.encode_endpoint_list(LIST, 0), 90_000 * S, 86_400 * S
    )
    assert initial == (EndpointSnapshot(0, (), {}), None)  # the stored list exceeds the maximum age
    assert records.initial_endpoints(EndpointSnapshot(0, (), {}), b"no list", 0, S)[1] is None
    draining, _ = records.initial_endpoints(
        EndpointSnapshot(0, (), {}), records.encode_endpoint_list(LIST, 0), S, 86_400 * S
    )
    assert draining.entries[1].state == "Terminating"


def test_counters_accumulate_over_starts():
    coordinator = StoredCoordinator()
    coordinator.submit_request(1)
    coordinator.run_iterations()
    coordinator.writer.close()
    restarted = StoredCoordinator(coordinator.files.copy())
    restarted.submit_request(2)
    totals = restarted.writer.totals()
    assert totals.starts == 2 and totals.counts["requests_in"] == 2


def test_a_failing_disk_blocks_nothing_and_pending_writes_follow_its_recovery():
    coordinator = StoredCoordinator()
    coordinator.run_iterations()
    coordinator.files.fault, coordinator.files.fail_at, coordinator.files.keep_failing = (
        OSError(28, "No space left"),
        coordinator.files.steps + 1,
        True,
    )
    for i in range(3):
        coordinator.submit_request(i + 1, token=f"{i:032x}")
        coordinator.run_iterations()
    assert len(coordinator.port.sent) == 3 and coordinator.counters["state_failures"] >= 2  # requests are not affected
    coordinator.run_iterations(1.5)  # the first retry fails too
    coordinator.files.fail_at = 0
    coordinator.run_iterations(5)
    coordinator.submit_request(9, token="9" * 32)
    coordinator.run_iterations()
    assert len(coordinator.request_records()) == 4
    assert len(StoredCoordinator(coordinator.files.after_power_cut(1)).request_records()) == 4


def test_pending_writes_for_a_failed_disk_are_bounded():
    coordinator = StoredCoordinator()
    coordinator.run_iterations()
    coordinator.files.fault, coordinator.files.fail_at, coordinator.files.keep_failing = (
        OSError(5, "I/O error"),
        coordinator.files.steps + 1,
        True,
    )
    coordinator.submit_request(1)
    coordinator.run_iterations()
    for i in range(11_000):
        coordinator.writer._pending[b"keyed/%d" % i] = b"x"
    coordinator.submit_request(2, token="2" * 32)
    coordinator.run_iterations()
    assert len(coordinator.writer._pending) == 10_000 and coordinator.counters["state_dropped"] > 900


def test_an_undecodable_value_is_counted_and_left():
    files = MemoryFiles()
    with Store.open("memory", files=files) as store:
        store.commit(Batch().put(b"keyed/depot-load/x", b"{"))
    coordinator = StoredCoordinator(files)
    assert (
        coordinator.counters["state_unread"] == 1 and coordinator.writer.store.get(b"keyed/depot-load/x").value == b"{"
    )


# ---- sync pacing and store driver


def test_slow_syncs_move_to_another_thread_until_the_disk_is_fast_again():
    policy = DriverPolicy()
    policy.sync_finished(200, 0)
    assert not policy.use_thread(0)
    policy.sync_finished(500_000, 0)
    assert policy.use_thread(1) and policy.use_thread(59 * S)
    for _ in range(60):
        policy.sync_finished(200, 0)
    assert policy.use_thread(59 * S) and not policy.use_thread(61 * S)
    assert [policy.next_retry_delay() for _ in range(8)] == [S, 2 * S, 4 * S, 8 * S, 16 * S, 32 * S, 60 * S, 60 * S]
    policy.disk_recovered()
    assert policy.next_retry_delay() == S and policy.work_pause(2_000) == 8_000


@pytest.fixture
def threads():
    """The reactor with a thread pool of its own: the reactor's pool is started by `run`, which tests don't call."""
    pool = ThreadPool(1, 1)
    pool.start()
    yield SimpleNamespace(
        callLater=reactor.callLater, callFromThread=reactor.callFromThread, getThreadPool=lambda: pool
    )
    pool.stop()


@pytest.mark.parametrize("slow", [False, True])
def test_the_driver_syncs_once_per_iteration_in_the_reactor_or_a_thread(slow, threads):
    driver, files, acknowledgements = Driver(threads, now=lambda: 0), MemoryFiles(), []
    store = Store.open("memory", Options(memtable_bytes=4_096, block_bytes=256, runs=2), files=files, wake=driver.wake)
    driver.start(store)
    if slow:
        driver.policy.sync_finished(10 * S, 0)
    for i in range(300):
        store.commit(Batch().put(b"%04d" % i, b"x" * 40), acknowledged=acknowledgements.append)
        if not i % 50:
            reactor.iterate(0.01)
    for _ in range(2_000):
        if len(acknowledgements) == 300 and not store.needs_work:
            break
        reactor.iterate(0.01)
    assert acknowledgements == [None] * 300 and store.info().tables and (driver.threaded_syncs > 0) is slow
    driver.close()
    with Store.open("memory", files=files.after_power_cut(1)) as reopened:
        assert reopened.revision == 300


def test_an_acknowledgement_may_start_the_next_commit():
    files, acknowledgements = MemoryFiles(), []
    store = Store.open("memory", Options(memtable_bytes=4_096, block_bytes=256, runs=2), files=files)

    def commit_next(error):
        acknowledgements.append(error)
        if len(acknowledgements) < 400:
            store.commit(Batch().put(b"%04d" % len(acknowledgements), b"x" * 40), acknowledged=commit_next)

    commit_next(None)
    while len(acknowledgements) < 400:
        store.flush()
        store.work()
    store.close()
    assert acknowledgements == [None] * 400 and store.revision == 399


# ---- command line


@pytest.fixture
def filled(tmp_path):
    path = tmp_path / "store"
    with Store.open(path, Options(memtable_bytes=8_192, runs=2)) as store:
        for i in range(400):
            store.commit(Batch().put(b"key%02d" % (i % 40), b"%d" % i * 20))
        store.commit(Batch().put(b"\xff\\odd", b"text"))
        store.finish_work()
    return path


def json_output(capsys):
    return json.loads(capsys.readouterr().out)


def test_the_command_line_reads_a_store(filled, capsys):
    path = str(filled)
    assert main(["store", "info", path, "--json"]) == 0 and json_output(capsys)["revision"] == 401
    assert main(["store", "verify", path, "--json"]) == 0 and json_output(capsys) == {"findings": []}
    assert main(["store", "get", path, "key07", "--at", "8", "--json"]) == 0
    assert json_output(capsys) == {
        "key": "key07",
        "value": "7" * 20,
        "create_revision": 8,
        "mod_revision": 8,
        "version": 1,
    }
    assert main(["store", "get", path, r"\xff\\odd"]) == 0 and capsys.readouterr().out == "text\n"
    assert main(["store", "range", path, "key38", "--json"]) == 0
    assert [item["key"] for item in json_output(capsys)] == ["key38", "key39", r"\xff\\odd"]
    assert main(["store", "changes", path, "400", "--json"]) == 0
    assert [(item["revision"], item["now"]["key"]) for item in json_output(capsys)] == [
        (400, "key39"),
        (401, r"\xff\\odd"),
    ]
    assert main(["store", "compact", path, "390", "--json"]) == 0 and json_output(capsys)["compacted"] == 390
    for arguments in (
        ["info", path],
        ["range", path, "--limit", "2"],
        ["changes", path, "400"],
        ["keyed", path],
        ["verify", path],
    ):
        assert main(["store", *arguments]) == 0
    capsys.readouterr()
    assert main(["store", "get", path, "none"]) == 1 and "'none' is not there" in capsys.readouterr().err


@pytest.mark.parametrize(
    "arguments, expected_text",
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
def test_bad_usage_is_one_line_and_status_2(filled, capsys, arguments, expected_text, tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    assert main(["store", *(str(filled) if argument == "DIR" else argument for argument in arguments)]) == 2
    error_output = capsys.readouterr().err
    assert expected_text in error_output and ("Usage" in error_output or error_output.count("\n") == 1)


def test_a_store_in_use_is_reported_and_a_damaged_one_is_salvaged(filled, capsys, tmp_path):
    with Store.open(filled):
        assert main(["store", "info", str(filled)]) == 2 and "another process" in capsys.readouterr().err
    log = max(filled.glob("table-*"), key=lambda path: path.stat().st_size)
    log.write_bytes(log.read_bytes()[:-7])
    assert main(["store", "info", str(filled)]) == 1 and log.name in capsys.readouterr().err
    assert (
        main(["store", "verify", str(filled), "--json"]) == 1 and json_output(capsys)["findings"][0]["file"] == log.name
    )
    assert main(["store", "salvage", str(filled), str(tmp_path / "saved"), "--json"]) == 1
    assert json_output(capsys)["revision"] == 401
    assert main(["store", "range", str(tmp_path / "saved"), "--json"]) == 0 and len(json_output(capsys)) == 41


def test_the_torture_command_reports_its_results(capsys):
    assert main(["store", "torture", "--bytes", "10000", "--modes", "cut", "--workers", "2", "--json"]) == 0
    report = json_output(capsys)
    assert report["violations"] == 0 and report["modes"]["cut"]["tried"] == report["file_bytes"] > 9_000


def test_a_killed_process_loses_nothing_that_it_acknowledged(tmp_path):
    result = kill.run(tmp_path / "s", 4, 11)
    assert result.violations == [] and result.kills == 4 and result.acknowledged > 100


def test_the_kill_test_detects_a_missing_write(tmp_path):
    acknowledged, sent, result = {}, set(), kill.KillResults()
    with Store.open(tmp_path / "s", kill.OPTIONS) as store:
        store.commit(Batch().put(b"a", b"1"))
    acknowledged[1], acknowledged[2] = (b"a", b"2"), (b"b", b"1")
    kill._check_store(tmp_path / "s", acknowledged, sent, result)
    assert result.lost and result.changed == 1 and result.found_unsent == 1 and len(result.violations) >= 3


# ---- operator's file and daemon


@pytest.mark.parametrize(
    "table, expected",
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
def test_an_invalid_store_table_is_rejected_by_its_key(table, expected, tmp_path, capsys):
    (tmp_path / "c.json").write_text(json.dumps(platform_config()))
    lines = "".join(f"{name} = {json.dumps(value)}\n" for name, value in table.items())
    (tmp_path / "o.toml").write_text(f"[store]\n{lines}")
    arguments = ["--config", str(tmp_path / "c.json"), "--operator", str(tmp_path / "o.toml")]
    assert main(["check-config", *arguments]) == 2 and expected in capsys.readouterr().err


def test_a_disabled_store_is_not_imported():
    code = (
        "import sys, rackhub.cli.serve, rackhub.daemon; bad = [m for m in sys.modules if m.startswith("
        "('rackhub.store', 'rackhub.state.', 'crc32c', 'rbloom', 'xxhash', 'sortedcontainers'))]; print(bad)"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert result.stdout == "[]\n"


def test_a_daemon_restores_its_state_after_a_kill(tmp_path):
    with socket.socket() as listener, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as resolver:
        listener.bind(("127.0.0.1", 0))
        resolver.bind(("127.0.0.1", 0))  # a resolver that never answers
        listen, nameserver = listener.getsockname()[1], resolver.getsockname()[1]
        listener.close()
        (tmp_path / "o.toml").write_text(f'[store]\npath = "{tmp_path / "state"}"\n')
        config = tmp_path / "c.json"

        def start(**options):
            options |= {"listen": f"127.0.0.1:{listen}", "nameserver": f"127.0.0.1:{nameserver}"}
            config.write_text(json.dumps(platform_config(**options)))
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

        def wait_for_log(process, message):
            lines = []
            for line in process.stderr:
                lines.append(line)
                if message in line:
                    return line
            raise AssertionError(f"the process did not log {message!r} but {lines}")

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
        wait_for_log(first, "serves on")
        first.send_signal(signal.SIGUSR1)
        wait_for_log(first, "counters of 1 starts")
        first.send_signal(signal.SIGTERM)
        assert first.wait(30) == 0
        second = start(known={"rev": 0, "notices": []})
        assert "stored endpoint list of 1 engines" in wait_for_log(second, "no engines are configured")
        assert "1 engines known" in wait_for_log(second, "serves on")
        for _ in range(5):  # each response takes an iteration: one writes, the next commits and syncs
            second.send_signal(signal.SIGUSR1)
            wait_for_log(second, "counters of 2 starts")
        second.kill()
        second.wait(30)
        third = start(known={"rev": 0, "notices": []})
        wait_for_log(third, "serves on")
        third.send_signal(signal.SIGTERM)
        wait_for_log(third, "counters of 3 starts")
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
    result = subprocess.run(
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
    assert result.returncode == 2 and "[store]: MANIFEST: at byte 0" in result.stderr
