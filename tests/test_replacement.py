"""Replacement of a coordinator process under traffic.

Guards against requests that are lost or answered twice and against requests to manually ejected engines. One test
disables port sharing, graceful shutdown or the handover file, and expects the replacement to fail.
"""

import contextlib

import pytest
from replacement_harness import (
    CoordinatorProcess,
    DelayedEngine,
    Traffic,
    free_ports,
    run_reactor_for,
    start_resolver,
    wait_until,
)

from rackhub.ops import handover_file

NO_SHARING = "import socket; socket.SO_REUSEPORT = socket.SO_REUSEADDR; "
NO_DRAIN = "import rackhub.daemon as d; d.Daemon._begin_shutdown = lambda _: d.reactor.stop(); "
NO_HANDOVER = "import rackhub.ops.handover_file as s; s.save_ejections = lambda *_: None; "
MAIN = "import sys; from rackhub.cli import main; sys.exit(main())"


@contextlib.contextmanager
def replacement_test_bed(directory, injected_fault=""):
    """Three engines, a function that starts a coordinator process, and traffic; all are stopped at the end."""
    (listen_port,) = free_ports(1)
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
