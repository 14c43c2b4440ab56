"""One process of the program takes the place of another under traffic: nothing is lost, doubled or sent where it must
not be, and each of the parts that this rests on is missed when it is taken out."""

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
def rig(place, planted=""):
    """Three engines, an old process that serves, and a way to start the new one; all are ended in the end."""
    (listen,) = free_ports(1)
    engines, processes = [DelayedEngine(0.2) for _ in range(3)], []
    resolver = start_resolver(engines)

    def start(name):
        program = ("-c", planted + MAIN) if planted else ("-m", "rackhub")
        processes.append(CoordinatorProcess(place, name, listen, engines, resolver.address, program))
        return processes[-1]

    traffic = Traffic(listen, engines, 12, 6, 0.1)
    try:
        yield engines, start, traffic
    finally:
        traffic.abandon()
        resolver.close()
        for process in processes:
            process.close()
        for engine in engines:
            engine.port.stopListening()
            for connection in engine.connections:
                connection.transport.abortConnection()
        run_reactor_for(0.05)


def replaced(engines, start, traffic, meanwhile=lambda: None):
    """The old process is replaced under traffic while e0 is ejected by hand: both, and how much e0 had got by then."""
    old = start("old").wait_until_serving()
    traffic.begin()
    wait_until(lambda: sum(len(engine.taken) for engine in engines) > 30 and engines[0].taken)
    assert old.send_command("OFFLINE e0").startswith("YES")
    run_reactor_for(0.3)  # what was on its way there when it was told
    before = len(engines[0].taken)
    meanwhile()
    new = start("new").wait_until_serving()
    old.terminate()
    assert old.wait_for_exit() == 0, old.log_text()
    served = sum(len(engine.taken) for engine in engines)
    wait_until(lambda: sum(len(engine.taken) for engine in engines) > served + 30)
    return old, new, before


def judged(traffic):
    traffic.stop()
    assert not traffic.lost(), "taken up and never answered"
    assert not traffic.no_way_in, "nobody listened"
    assert all(len(request.answers) == 1 for request in traffic.requests), "answered twice"
    assert any("result" in request.answers[0] for request in traffic.requests)


def whole(place, planted=""):
    with rig(place, planted) as (engines, start, traffic):
        old, new, before = replaced(engines, start, traffic)
        assert len(engines[0].taken) == before, "sent to an ejected engine"
        assert new.send_command("ONLINE e0").startswith("YES")
        wait_until(lambda: len(engines[0].taken) > before)
        judged(traffic)
        assert "receives all new connections" in old.log_text()


def test_a_process_is_replaced_under_traffic_and_nothing_is_lost_and_the_ejection_holds(tmp_path):
    whole(tmp_path)


@pytest.mark.parametrize(
    "planted, missed",
    [
        (NO_SHARING, "Couldn't listen"),
        (NO_DRAIN, "taken up and never answered"),
        (NO_HANDOVER, "sent to an ejected engine"),
    ],
    ids=["no sharing", "no drain", "no handover file"],
)
def test_what_a_replacement_rests_on_is_missed_when_it_is_taken_out(tmp_path, planted, missed):
    with pytest.raises(AssertionError, match=missed):
        whole(tmp_path, planted)


def test_a_damaged_handover_file_does_not_prevent_the_replacement(tmp_path):
    with rig(tmp_path) as (engines, start, traffic):
        damaged = tmp_path / handover_file.FILE_NAME
        _, new, before = replaced(engines, start, traffic, lambda: damaged.write_bytes(b'{"format": "rackh'))
        wait_until(lambda: len(engines[0].taken) > before)  # the ejection is not known any more
        assert "ignoring the ejections saved by the previous process: not a state file" in new.log_text()
        judged(traffic)
