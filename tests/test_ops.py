"""The operators' component: manual ejections, the handover file, the commands and their listener."""

import os
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from rackhub import interface
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.ops import handover_file, process_replacement
from rackhub.ops.commands import CommandHandler
from rackhub.ops.listener import OperatorListener
from rackhub.ops.manual_ejections import ManualEjections
from rackhub.ops.metrics import MetricsCollector
from rackhub.ops.shared_ejections import SharedEjections

ENTRIES = (
    interface.EngineEntry("a", started_at=5),
    interface.EngineEntry("b"),
    interface.EngineEntry("c", state="Terminating"),
)


def visible_states(ejections: ManualEjections, entries=ENTRIES) -> dict[str, str]:
    return {entry.engine: entry.state for entry in ejections.visible_endpoints(entries)}


def test_an_ejected_engine_is_draining_until_it_is_restored_with_a_slow_start():
    ejections = ManualEjections()
    ejections.add_known(ENTRIES)
    assert not ejections.eject("never")  # the id was never in the endpoint list
    assert ejections.eject("b") and ejections.eject("b")  # idempotent
    assert visible_states(ejections)["b"] == "Terminating"
    assert visible_states(ejections, (interface.EngineEntry("b"),))["b"] == "Terminating"  # a new list changes nothing
    assert visible_states(ejections, ()) == {}  # nor does the absence of the engine
    assert visible_states(ejections, (interface.EngineEntry("b"),))["b"] == "Terminating"
    assert ejections.restore("b", 1_000)
    restored = {entry.engine: entry for entry in ejections.visible_endpoints(ENTRIES)}["b"]
    assert restored.state == "Ready" and restored.started_at == 1_000  # the slow start begins at the restoration
    restarted = {
        entry.engine: entry for entry in ejections.visible_endpoints((interface.EngineEntry("b", started_at=2_000),))
    }["b"]
    assert restarted.started_at == 2_000  # a later start of the engine supersedes the restoration


@given(st.lists(st.tuples(st.sampled_from(["off", "on", "list"]), st.sampled_from("abcx")), max_size=40))
@settings(max_examples=200, derandomize=True)
def test_ejections_match_a_model_over_random_steps(steps):
    ejections, ejected, known, now = ManualEjections(), set(), set(), 0
    for step, engine in steps:
        now += 1
        if step == "list":
            entries = tuple(interface.EngineEntry(name) for name in "abc" if name <= engine or name == "a")
            known.update(entry.engine for entry in entries)
            states = visible_states(ejections, entries)
            assert {name for name, state in states.items() if state == "Terminating"} == ejected & set(states)
        elif step == "off":
            assert ejections.eject(engine) == (engine in known)
            if engine in known:
                ejected.add(engine)
        else:
            assert ejections.restore(engine, now) == (engine in known)
            ejected.discard(engine)
        # Saving and loading preserves the state.
        state = handover_file.decode(handover_file.encode(ejections.ejected, ejections.known, ejections.restored_at))
        assert set(state.ejected) == ejected and set(state.known) == known


def test_the_handover_file_is_replaced_atomically_and_read_back(tmp_path):
    path = handover_file.file_path({"TMPDIR": str(tmp_path)})
    assert handover_file.read(path) is None
    handover_file.write(path, handover_file.encode({"b"}, {"a", "b"}, {"a": 7}))
    state = handover_file.read(path)
    assert state is not None and state.ejected == ["b"] and state.restored_at == {"a": 7}
    assert [file.name for file in tmp_path.iterdir()] == [handover_file.FILE_NAME]  # without a temporary file


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b'{"format": "rackhub-ops-state", "ver',
        b"\xff\xfe",
        b'{"format": "other", "version": 1}',
        b'{"format": "rackhub-ops-state", "version": 9}',
        b'{"format": "rackhub-ops-state", "version": 1, "out": "b"}',
        b"[1, 2]",
    ],
)
def test_a_damaged_or_foreign_handover_file_is_rejected_with_its_reason(tmp_path, data):
    path = tmp_path / handover_file.FILE_NAME
    path.write_bytes(data)
    with pytest.raises(handover_file.HandoverFileError):
        handover_file.read(path)


class ProcessStub:
    def __init__(self):
        self.change_count, self.ready = 0, True

    def on_change(self):
        self.change_count += 1


def create_handler(process: ProcessStub, directory) -> CommandHandler:
    ejections = SharedEjections(handover_file.file_path({"TMPDIR": str(directory)}), Counters().add)
    ejections.add_known(ENTRIES)
    counts_by_class = {"lookup": [3, 1, 2, 7]}
    metrics = MetricsCollector(counts_by_class, lambda: 4, lambda: 3, lambda: len(ejections.current.ejected))
    return CommandHandler(ejections, lambda: process.ready, process.on_change, metrics.text, lambda: 100)


def test_the_handler_answers_every_command_and_every_error_with_yes_or_no(tmp_path):
    process = ProcessStub()
    handler = create_handler(process, tmp_path)
    assert handler.execute(b"HEALTH") == b"YES ready\n"
    process.ready = False
    assert handler.execute(b"HEALTH").startswith(b"NO")
    assert handler.execute(b"OFFLINE nope").startswith(b"NO") and process.change_count == 0
    assert handler.execute(b"OFFLINE a").startswith(b"YES") and process.change_count == 1
    assert handler.execute(b"ONLINE a").startswith(b"YES") and process.change_count == 2
    for invalid_line in (b"", b"   ", b"FLY", b"HEALTH now", b"OFFLINE", b"OFFLINE a b", b"\xff\xfe", b"HEAL\x00TH"):
        assert handler.execute(invalid_line).startswith(b"NO "), invalid_line


def test_metrics_are_the_coordinators_counts_in_the_text_format(tmp_path):
    process = ProcessStub()
    handler = create_handler(process, tmp_path)
    handler.execute(b"OFFLINE b")
    text = handler.execute(b"DUMP").decode()
    lines = text.splitlines()
    assert lines[0].startswith("YES") and lines[-1] == "END"
    values = {line.rsplit(" ", 1)[0]: float(line.rsplit(" ", 1)[1]) for line in lines[1:-1] if not line.startswith("#")}
    assert values['balancer_responses{kind="lookup",result="ok"}'] == 3
    assert values['balancer_responses{kind="lookup",result="shed"}'] == 1
    assert values['balancer_responses{kind="lookup",result="errors"}'] == 2
    assert values['balancer_responses{kind="lookup",result="tries"}'] == 7
    assert values["balancer_active"] == 4 and values["balancer_pool_size"] == 3
    assert values["balancer_pool_ejected"] == 1


def connect(listener: OperatorListener, clock: Clock, *pieces: bytes, wait: float = 0.0):
    protocol = listener.buildProtocol(None)
    transport = StringTransport()
    protocol.makeConnection(transport)
    for piece in pieces:
        protocol.dataReceived(piece)
    clock.advance(wait)
    return transport


@pytest.fixture
def listener_and_clock(tmp_path):
    clock = Clock()
    return OperatorListener(create_handler(ProcessStub(), tmp_path), clock, Limits(), Counters()), clock


def test_a_command_split_at_every_byte_is_answered(listener_and_clock):
    listener, clock = listener_and_clock
    line = b"OFFLINE a\r\n"
    for split_at in range(1, len(line)):
        transport = connect(listener, clock, line[:split_at], line[split_at:])
        assert transport.value().startswith(b"YES") and transport.disconnecting


@pytest.mark.parametrize("pieces", [(), (b"HEAL",), (b"x" * 600,), (b"\xff\xfe\n",), (b"WHAT\n",)])
def test_missing_incomplete_long_and_invalid_commands_are_answered_no_within_a_second(listener_and_clock, pieces):
    listener, clock = listener_and_clock
    transport = connect(listener, clock, *pieces, wait=0.9)
    assert transport.value().startswith(b"NO ") and transport.value().count(b"\n") == 1 and transport.disconnecting


def test_connections_over_the_limit_are_rejected_and_idle_ones_answered(listener_and_clock):
    listener, clock = listener_and_clock
    transports = [connect(listener, clock) for _ in range(Limits().max_ops_connections)]
    rejected = connect(listener, clock)
    assert rejected.value().startswith(b"NO too many")
    clock.advance(0.9)
    assert all(transport.value().startswith(b"NO") for transport in transports)


def test_an_ejection_outlives_the_process_and_a_damaged_file_is_counted_and_ignored(tmp_path):
    path = handover_file.file_path({"TMPDIR": str(tmp_path)})
    counters = Counters()
    first = SharedEjections(path, counters.add)  # without a file
    first.add_known(ENTRIES)
    assert first.eject("b")
    second = handover_file.load_ejections(path, counters.add)  # as the successor process does
    assert visible_states(second, (interface.EngineEntry("b"), interface.EngineEntry("a")))["b"] == "Terminating"
    assert second.restore("b", 10) and not second.eject("never")  # ids listed before the start are known
    path.write_bytes(b'{"format": "rackhub-ops-state", "version": 1, "out": ["b"')  # truncated
    third = handover_file.load_ejections(path, counters.add)
    assert not third.ejected and counters["ops_state_bad"] == 1


def test_ejections_that_cannot_be_saved_are_counted(tmp_path):
    counters = Counters()
    ejections = SharedEjections(tmp_path / "gone" / handover_file.FILE_NAME, counters.add)
    ejections.add_known(ENTRIES)
    assert counters["ops_state_unwritten"] == 1


def test_without_a_second_address_the_package_is_not_imported():
    import subprocess
    import sys

    script = (
        "import sys, rackhub.daemon, rackhub.cli.serve; print(sorted(m for m in sys.modules "
        "if m.startswith(('rackhub.ops', 'prometheus_client'))))"
    )
    output = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True).stdout
    assert output.strip() == "[]"


def test_a_start_is_throttled_only_while_its_predecessor_runs(tmp_path, monkeypatch):
    environment = {"TMPDIR": str(tmp_path)}
    assert not process_replacement.predecessor_is_running(environment)
    first = process_replacement.hold_lock(environment)
    second = process_replacement.hold_lock(environment)  # as the successor process does
    assert process_replacement.predecessor_is_running(environment)
    assert process_replacement.successor_is_running(first)
    os.close(first)
    assert process_replacement.predecessor_is_running(environment)
    assert not process_replacement.successor_is_running(second)  # no other process holds the lock
    os.close(second)
    assert not process_replacement.predecessor_is_running(environment)  # the file exists, but is not locked


def test_a_throttled_start_sleeps_in_proportion_to_its_work_and_within_bounds(monkeypatch):
    cpu_time, sleeps = [0.0], []
    monkeypatch.setattr(process_replacement.time, "process_time", lambda: cpu_time[0])
    monkeypatch.setattr(process_replacement.time, "sleep", sleeps.append)
    throttle = process_replacement.ImportThrottle()
    for cpu_time_step in (0.001, 0.009, 0.0, *[0.1] * 20):
        cpu_time[0] += cpu_time_step
        assert throttle.find_spec("any") is None
    assert sleeps[0] == pytest.approx(0.05) and sum(sleeps) == pytest.approx(process_replacement.MAX_TOTAL_SLEEP_S)
    before = list(sys.meta_path)
    process_replacement.throttle_imports()
    assert len(sys.meta_path) == len(before) + 1
    process_replacement.stop_throttling()
    assert sys.meta_path == before
