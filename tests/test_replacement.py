"""Replacement of a coordinator process under traffic.

Guards against requests that are lost or answered twice and against requests to manually ejected engines. One test
disables port sharing, graceful shutdown or the handover file, and expects the replacement to fail.
"""

import contextlib
import socket
from concurrent.futures import ThreadPoolExecutor

import pytest
from ports import hold_port
from replacement_harness import (
    CoordinatorProcess,
    DelayedEngine,
    Traffic,
    run_reactor_for,
    start_resolver,
    wait_until,
)

from rackhub.ops import handover_file

NO_SHARING = "import socket; socket.SO_REUSEPORT = socket.SO_REUSEADDR; "
NO_DRAIN = "import rackhub.daemon as d; d.Daemon._begin_shutdown = lambda _: d.reactor.stop(); "
NO_HANDOVER = "import rackhub.ops.handover_file as s; s.write = lambda *_: None; "
CALLS_AT_ONCE = 8
MAIN = "import sys; from rackhub.cli import main; sys.exit(main())"


@contextlib.contextmanager
def replacement_test_bed(directory, injected_fault=""):
    """Three engines, a function that starts a coordinator process, and traffic; all are stopped at the end."""
    listen_port = hold_port()
    engines, processes = [DelayedEngine(0.2) for _ in range(3)], []
    resolver = start_resolver(engines)

    def start(name):
        program = ("-c", injected_fault + MAIN) if injected_fault else ("-m", "rackhub")
        processes.append(CoordinatorProcess(directory, name, listen_port, engines, resolver.address, program))
        return processes[-1]

    traffic = Traffic(listen_port, engines, 12, 6, 0.1)
    try:
        yield engines, start, traffic
    finally:
        traffic.abort()
        resolver.close()
        for process in processes:
            process.close()
        for engine in engines:
            engine.port.stopListening()
            for connection in engine.connections:
                connection.transport.abortConnection()
        run_reactor_for(0.05)


def replace_process(engines, start, traffic, before_start=lambda: None):
    """Replace a process under traffic while e0 is ejected manually.

    Returns the old and the new process and the number of requests that e0 had received before the replacement.
    """
    old = start("old").wait_until_serving()
    traffic.begin()
    wait_until(lambda: sum(len(engine.received_ids) for engine in engines) > 30 and engines[0].received_ids)
    assert old.send_command("OFFLINE e0").startswith("YES")
    run_reactor_for(0.3)  # so that requests sent to e0 before its ejection arrive
    sent_before = len(engines[0].received_ids)
    before_start()
    new = start("new").wait_until_serving()
    old.terminate()
    assert old.wait_for_exit() == 0, old.log_text()
    served = sum(len(engine.received_ids) for engine in engines)
    wait_until(lambda: sum(len(engine.received_ids) for engine in engines) > served + 30)
    return old, new, sent_before


def assert_all_answered_once(traffic):
    traffic.stop()
    assert not traffic.lost(), "accepted but never answered"
    assert not traffic.failed_connects, "connection refused: no process listened"
    assert all(len(request.answers) == 1 for request in traffic.requests), "answered twice"
    assert any("result" in request.answers[0] for request in traffic.requests)


def run_replacement(directory, injected_fault=""):
    with replacement_test_bed(directory, injected_fault) as (engines, start, traffic):
        old, new, sent_before = replace_process(engines, start, traffic)
        assert len(engines[0].received_ids) == sent_before, "sent to an ejected engine"
        assert new.send_command("ONLINE e0").startswith("YES")
        wait_until(lambda: len(engines[0].received_ids) > sent_before)
        assert_all_answered_once(traffic)
        assert "receives all new connections" in old.log_text()


def test_a_replacement_under_traffic_loses_no_request_and_no_ejection(tmp_path):
    run_replacement(tmp_path)


@pytest.mark.parametrize(
    "injected_fault, expected_failure",
    [
        (NO_SHARING, "Couldn't listen"),
        (NO_DRAIN, "accepted but never answered"),
        (NO_HANDOVER, "sent to an ejected engine"),
    ],
    ids=["no sharing", "no drain", "no handover file"],
)
def test_a_replacement_without_one_of_its_mechanisms_fails(tmp_path, injected_fault, expected_failure):
    with pytest.raises(AssertionError, match=expected_failure):
        run_replacement(tmp_path, injected_fault)


def test_a_damaged_handover_file_does_not_prevent_the_replacement(tmp_path):
    with replacement_test_bed(tmp_path) as (engines, start, traffic):
        damaged = tmp_path / handover_file.FILE_NAME
        _, new, sent_before = replace_process(
            engines, start, traffic, lambda: damaged.write_bytes(b'{"format": "rackh')
        )
        wait_until(lambda: len(engines[0].received_ids) > sent_before)  # the ejection was lost with the file
        assert "ignoring the ejections saved by the previous process: not a state file" in new.log_text()
        assert_all_answered_once(traffic)


def call_operator(port, line):
    """Make one call at an operators' address on a plain socket, and return the whole response."""
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.sendall(line.encode() + b"\n")
        return b"".join(iter(lambda: connection.recv(1 << 16), b"")).decode()


# Guards against a ban that is undone by the other process: both wrote the whole list of bans, each over the other's.
def test_calls_to_both_processes_at_one_moment_all_hold(tmp_path):
    listen_port = hold_port()
    engines, processes = [DelayedEngine(0.05) for _ in range(CALLS_AT_ONCE)], []
    resolver = start_resolver(engines)
    try:
        for name in ("old", "new"):
            process = CoordinatorProcess(tmp_path, name, listen_port, engines, resolver.address, ("-m", "rackhub"))
            processes.append(process.wait_until_serving())
        for verb, ejected in (("OFFLINE", CALLS_AT_ONCE), ("ONLINE", 0)) * 2:
            figure = f"balancer_pool_ejected {ejected}.0\n"
            with ThreadPoolExecutor(CALLS_AT_ONCE) as pool:
                ports = [processes[number % 2].operator_port for number in range(CALLS_AT_ONCE)]
                lines = [f"{verb} e{number}" for number in range(CALLS_AT_ONCE)]
                assert all(answer.startswith("YES") for answer in pool.map(call_operator, ports, lines))
            run_reactor_for(0.3)  # both have read the file again
            for process in processes:
                assert figure in call_operator(process.operator_port, "DUMP")
    finally:
        resolver.close()
        for process in processes:
            process.close()
        for engine in engines:
            engine.port.stopListening()
        run_reactor_for(0.05)
