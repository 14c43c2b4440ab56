"""A request whose id was executed is not executed again, whoever sends it, and at whichever process.

An id ran twice when its client had left and it came again: after some thousand ids that never ran, which displaced it
from the memory of ids, or at the other process of a replacement.
"""

import fcntl
import json
import os
import socket

from harness import LIMITS, MS, EngineServer, FakeClock, spin
from msgspec.structs import replace
from ports import hold_port
from replacement_harness import (
    CoordinatorProcess,
    DelayedEngine,
    run_reactor_for,
    start_resolver,
    wait_until,
)
from test_core import CoordinatorHarness
from test_crossings_close import ask
from test_crossings_close import site as site

from rackhub.counters import Counters
from rackhub.ops.shared_ids import CAPACITY, FILE_PREFIX, SharedIds

EXECUTED = f"{1:016x}"


# Guards against ids that never ran and displace those that did: 2,048 were remembered in all.
def test_ids_that_never_ran_do_not_displace_an_executed_one():
    harness = CoordinatorHarness(limits=replace(LIMITS, max_recent_ids=10))
    harness.core.disconnect_client(harness.ask())  # its attempt was sent, and its client has left
    harness.core.loop_overloaded = True
    for _ in range(100):
        harness.ask()  # rejected
    assert harness.core.is_known_id(EXECUTED) and not harness.core.is_known_id(f"{5:016x}")
    assert harness.core.is_known_id(f"{101:016x}")


class OtherProcess:
    """Another process, which has claimed the ids."""

    def __init__(self, *ids):
        self.ids, self.claimed = ids, []

    def is_claimed(self, id):
        return False  # not seen yet when the request comes in

    def claim(self, id):
        self.claimed.append(id)
        return id not in self.ids


# Guards against two processes that take the same id at one moment.
def test_a_request_that_another_process_has_claimed_is_not_sent():
    harness = CoordinatorHarness()
    harness.core.executed_ids = OtherProcess(EXECUTED)
    harness.ask()
    assert harness.port.sent == [] and harness.port.answers[0][:2] == ("failed", EXECUTED)
    second = harness.ask()
    assert [attempt.query for attempt in harness.port.sent] == [second]
    assert harness.core.executed_ids.claimed == [EXECUTED, second.id]
    assert harness.counters["ids_claimed_elsewhere"] == 1


def process(path):
    return SharedIds(path, Counters().add)


def test_of_two_processes_that_claim_an_id_one_sees_the_other(tmp_path):
    old, new = process(tmp_path), process(tmp_path)
    old.refresh()
    assert old.claim(EXECUTED) and not new.claim(EXECUTED)
    assert new.is_claimed(EXECUTED) and old.claim(f"{2:016x}") and new.is_claimed(f"{2:016x}")
    assert new.claim("a-b.1") and not old.claim("a-b.1")  # an id in another form


def test_a_process_knows_the_ids_of_the_one_before_that_has_ended(tmp_path):
    old = process(tmp_path)
    assert old.claim(EXECUTED)
    new = process(tmp_path)
    os.close(old._descriptor)  # the process has ended, and with it its lock
    new.refresh()
    assert len(list(tmp_path.glob(f"{FILE_PREFIX}*"))) == 1 and new.is_claimed(EXECUTED)
    assert process(tmp_path).is_claimed(EXECUTED) is False  # a third process: the first one's ids are gone


def test_the_files_and_the_memory_of_ids_are_bounded(tmp_path):
    old, new = process(tmp_path), process(tmp_path)
    for number in range(1, CAPACITY + 100):
        assert old.claim(f"{number:016x}")
        if number % 500 == 0:
            new.refresh()
    assert not new.is_claimed(EXECUTED) and new.is_claimed(f"{CAPACITY + 99:016x}") and new.is_claimed(f"{200:016x}")
    assert max(path.stat().st_size for path in tmp_path.glob(f"{FILE_PREFIX}*")) == 8 * (CAPACITY + 1)


# Guards against a process that is taken for another one with the same process number, which truncated its file.
def test_a_process_with_the_number_of_another_one_keeps_its_ids(tmp_path, monkeypatch):
    monkeypatch.setattr(os, "getpid", lambda: 7)  # as in two containers, or used again
    first, second = process(tmp_path), process(tmp_path)
    first.refresh()
    assert first.claim(EXECUTED) and not second.claim(EXECUTED)


# Guards against a file that is found and removed before its process has locked it.
def test_a_process_that_starts_is_not_taken_for_one_that_has_ended(tmp_path, monkeypatch):
    old, flock = process(tmp_path), fcntl.flock

    def refreshed_before(descriptor, operation):
        if operation == fcntl.LOCK_SH:
            monkeypatch.setattr(fcntl, "flock", flock)
            old.refresh()
        flock(descriptor, operation)

    monkeypatch.setattr(fcntl, "flock", refreshed_before)
    new = process(tmp_path)
    old.refresh()
    assert new.claim(EXECUTED) and old.is_claimed(EXECUTED)


def send_request(port, rid):
    client = socket.create_connection(("127.0.0.1", port))
    client.sendall(json.dumps(ask(1, rid=rid)).encode() + b"\n")
    return client


# Guards against a request that runs at both processes of a replacement.
def test_an_id_that_ran_at_the_old_process_does_not_run_at_the_new_one(tmp_path):
    listen_port = hold_port()
    engine = DelayedEngine(0.5)
    resolver, processes = start_resolver([engine]), []

    def start(name):
        process = CoordinatorProcess(tmp_path, name, listen_port, [engine], resolver.address)
        processes.append(process)
        return process.wait_until_serving()

    try:
        old = start("old")
        client = send_request(listen_port, EXECUTED)
        wait_until(lambda: engine.received_ids)
        client.close()
        start("new")
        old.terminate()
        assert old.wait_for_exit() == 0
        again = send_request(listen_port, EXECUTED)
        again.setblocking(False)
        answers = []

        def answered():
            try:
                answers.append(json.loads(again.recv(1 << 16)))
            except BlockingIOError:
                return False
            return True

        wait_until(answered)
        assert answers[0]["error"]["code"] == -32602 and engine.received_ids == [EXECUTED.encode()]
    finally:
        resolver.close()
        for process in processes:
            process.close()
        engine.port.stopListening()
        run_reactor_for(0.05)


# Guards against requests that are sent on for a client that has closed its connection with much of it still unread.
def test_nothing_unread_is_sent_on_after_its_client_has_left(site):
    server = EngineServer()
    bed = site(server, loop=True)
    assert isinstance(bed.clock, FakeClock)
    client = bed.client()
    lines = b"".join(
        json.dumps(ask(number, rid=f"{number:016x}")).encode()
        + b"\n"
        + json.dumps({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": number}}).encode()
        + b"\n"
        for number in range(1, 3_000)
    )
    sent = client.socket.send(lines)
    client.socket.close()
    assert sent > LIMITS.socket_read_bytes

    def ended():
        bed.clock.advance(10 * MS)
        return bed.counters["clients_closed"] == 1

    began = bed.clock.now()
    late = []
    server.on_command = lambda engine, kind, *_: late.append(kind) if bed.clock.now() - began > 100 * MS else None
    spin(ended, 5_000)
    assert b"want" not in late
