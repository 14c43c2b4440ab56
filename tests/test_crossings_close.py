"""Races with the end of a client connection or of the process, on loopback sockets.

Each order of events is produced by a peer that holds back, or by a clock that the test advances, never by waiting.
"""

import base64
import contextlib
import errno
import json
import os
import signal
import socket
import subprocess
import sys
import threading

import harness
import pytest
from harness import LIMITS, MS, CoordinatorTestBed, EngineServer, FakeClock, S, spin
from msgspec.structs import replace
from ports import hold_port
from replacement_harness import CoordinatorProcess, DelayedEngine, start_resolver, wait_until
from test_config import SETTINGS, endpoint, platform_config, watch_notice
from test_listen import AdoptingReactor
from twisted.internet import reactor

from rackhub.net.jsonrpc import JsonRpcConnection
from rackhub.net.listen import SharedPort

ROWS = b"a\tb\tc\n"


class ReactorClock(FakeClock):
    """A clock that the test advances, while the reactor makes the due calls, one per event-loop iteration.

    As in the daemon, sockets are read between two calls.
    """

    _call = None

    def wake_after(self, delay, call):
        self._wake = (self.time + delay, call)
        self._schedule_due()

    def advance(self, span):
        self.time += span
        self._schedule_due()

    def _schedule_due(self):
        if self._call is not None and self._call.active():
            self._call.cancel()
        if self._wake and self._wake[0] <= self.time:
            self._call = reactor.callLater(0, self._call_due)

    def _call_due(self):
        (_, call), self._wake = self._wake, None
        call()


class RawClient:
    """A client on a plain socket, which sends and reads when the test says so, and tells a close from a reset."""

    def __init__(self, site):
        self.front = site.fronts[0]
        before = set(self.front.connections)
        self.socket = socket.create_connection(("127.0.0.1", site.ports[0].getHost().port))
        self.socket.setblocking(False)
        spin(lambda: self.front.connections - before)
        (self.served_by,) = self.front.connections - before
        self.received, self.end_reason = b"", ""

    def send(self, *messages):
        data = b"".join(each if isinstance(each, bytes) else json.dumps(each).encode() + b"\n" for each in messages)
        assert self.socket.send(data) == len(data)

    def read(self):
        """Read all received bytes; return True if the connection has ended."""
        while not self.end_reason:
            try:
                data = self.socket.recv(1 << 16)
            except BlockingIOError:
                return False
            except ConnectionError:
                data, self.end_reason = b"", "reset"
            self.received += data
            self.end_reason = self.end_reason or ("" if data else "closed")
        return True

    def answers(self):
        self.read()
        return [json.loads(line) for line in self.received.splitlines()]

    def wait_for_end(self):
        """Wait for the end and return "closed" or "reset".

        Twisted's close sends FIN and RST in one step, so reading reports a close although the reset may discard data.
        The error status of the socket shows the reset.
        """
        spin(self.read)
        return "reset" if self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) else self.end_reason


@pytest.fixture
def site(monkeypatch):
    """Build test beds and clients on plain sockets, which are closed after the test."""
    made, clients = [], []

    def make(*engines, loop=False, **limits):
        if loop:
            monkeypatch.setattr(harness, "FakeClock", ReactorClock)
        bed = CoordinatorTestBed(*engines, limits=replace(LIMITS, **limits))
        made.append(bed)

        def client():
            clients.append(RawClient(bed))
            return clients[-1]

        bed.client, bed.patch = client, monkeypatch
        return bed

    yield make
    for client in clients:
        client.socket.close()
    for bed in made:
        bed.close()


def ask(id, method="lookup", **params):
    body = base64.b64encode(b"SELECT 1 FROM r_3.t").decode()
    params = {"rid": f"{id:016x}", "budget": 2500, "acct": "acme", "body": body} | params
    return {"jsonrpc": "2.0", "id": id, "method": method, "params": params}


def cancel(id):
    return {"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": id}}


ALIVE = {"jsonrpc": "2.0", "id": 950, "method": "alive"}


def answer(engine, kind, id, *rest):
    if kind == b"want":
        engine.respond(id, b"200", b"chunks=1", ROWS)


def close_client(client):
    """Close the client's side of a connection and wait until the coordinator has closed its own."""
    client.socket.close()
    spin(lambda: client.served_by not in client.front.connections and client.served_by not in client.front._aborted)


# ---- a close with unread input


def test_the_error_for_a_long_line_reaches_a_client_that_keeps_sending(site):
    """Guards against a close with unread input: it sends a reset, which discards the error written before."""
    bed = site(max_request_bytes=1_000)
    client = bed.client()
    client.served_by.transport.bufferSize = 2_000  # the size of one read of the socket
    client.send(b"x" * 20_000)
    assert client.wait_for_end() == "closed"
    assert [reply["error"]["code"] for reply in client.answers()] == [-32600]
    close_client(client)
    assert bed.counters["too_long"] == 1 and bed.counters["halves_dropped"] == 1


def test_a_request_that_crosses_the_idle_close_is_dropped_and_the_connection_closed(site):
    """An idle client sends a request as it is closed: the client has to retry, so the request must not be executed."""
    server = EngineServer(on_command=answer)
    bed = site(server)
    client = bed.client()
    client.send(ALIVE)
    spin(client.answers)
    bed.clock.advance(LIMITS.client_idle_timeout + LIMITS.client_check_interval)
    assert bed.counters["clients_idle"] == 1 and client.served_by.ending
    client.send(ask(1), b'{"half')
    assert client.wait_for_end() == "closed" and len(client.answers()) == 1
    spin(lambda: bed.counters["lines_dropped"] == 1)
    close_client(client)
    assert bed.counters["requests_in"] == 0 and not server.received and bed.counters["halves_dropped"] == 1


def test_an_answer_before_the_close_reaches_a_client_that_keeps_sending(site):
    """A line that is too long ends the connection: the open request is answered, later ones are dropped."""
    server = EngineServer()
    bed = site(server, max_request_bytes=1_000)
    client = bed.client()
    client.send(ask(1), b"x" * 1_500 + b"\n", ask(2))
    spin(lambda: server.wants())
    client.send(ask(3), ask(4))
    spin(lambda: bed.counters["lines_dropped"] == 3)
    (id,) = (command[1] for command in server.wants())
    server.connections[0].respond(id, b"200", b"chunks=1", ROWS)
    spin(lambda: client.served_by.closed_at)
    client.send(ask(5))
    assert client.wait_for_end() == "closed"
    assert [reply["id"] for reply in client.answers()] == [None, 1] and "result" in client.answers()[1]
    close_client(client)
    assert bed.counters["requests_in"] == 1 and len(server.wants()) == 1


@pytest.mark.parametrize("departure", ["goes", "cancels"])
def test_a_cancel_or_close_on_an_ending_connection_is_noticed(site, departure):
    """Guards against an ending connection that is not read, so that a close or cancel is noticed too late."""
    server = EngineServer()
    bed = site(server, max_request_bytes=1_000)
    client = bed.client()
    client.send(ask(1), b"x" * 1_500 + b"\n")
    spin(lambda: server.wants() and bed.counters["too_long"])
    if departure == "goes":
        client.socket.close()
    else:
        client.send(cancel(1))
    spin(lambda: not bed.core.queries)
    assert bed.counters["left"] == 1
    spin(lambda: any(command[0] == b"never_mind" for command in server.received))
    if departure == "cancels":
        assert client.wait_for_end() == "closed" and [reply["id"] for reply in client.answers()] == [None]


def test_a_client_that_does_not_close_after_the_half_close_is_reset(site):
    bed = site()
    client = bed.client()
    bed.clock.advance(LIMITS.first_message_timeout + LIMITS.client_check_interval)
    assert client.wait_for_end() == "closed"
    bed.clock.advance(LIMITS.linger_timeout - 2 * LIMITS.client_check_interval)
    assert client.served_by in bed.fronts[0].connections
    bed.clock.advance(3 * LIMITS.client_check_interval)
    spin(lambda: bed.counters["clients_closed"] == 1)
    assert bed.counters["clients_lingering"] == 1 and not bed.fronts[0].connections


def test_a_lingering_connection_is_evicted_first(site):
    bed = site(max_client_connections=2)
    lingering, silent = bed.client(), bed.client()
    lingering.send(ALIVE)  # By the rule for open connections the silent client would be evicted first.
    spin(lingering.answers)
    lingering.served_by.end()
    assert lingering.wait_for_end() == "closed"
    new_client = bed.client()
    new_client.send(ALIVE)
    spin(new_client.answers)
    assert silent.served_by in bed.fronts[0].connections and not silent.read()
    spin(lambda: lingering.served_by not in bed.fronts[0]._aborted)


def test_a_flood_on_an_ending_connection_is_discarded_up_to_a_limit(site):
    bed = site(max_request_bytes=1_000, max_discarded_bytes=50_000)
    client = bed.client()
    client.send(b"x" * 1_500)
    spin(lambda: client.read())
    assert client.end_reason == "closed"
    sent = 0
    while not client.served_by.reading_stopped:
        try:
            sent += client.socket.send(b"y" * 10_000 + b"\n")
        except BlockingIOError:
            pass
        reactor.iterate(0)
    assert len(client.served_by._buffer) <= 1_000 and client.served_by._discarded_bytes < 50_000 + (1 << 17)
    bed.clock.advance(LIMITS.linger_timeout + LIMITS.client_check_interval)
    spin(lambda: not bed.fronts[0].connections)


# ---- timeouts with unread input in the kernel


@pytest.mark.parametrize("was_idle", [True, False])
def test_a_request_unread_when_the_idle_timeout_expires_is_served(site, was_idle):
    """The event loop is late: the request arrived before the timeout expired."""
    server = EngineServer(on_command=answer)
    bed = site(server, loop=True, max_event_loop_delay=60 * S)
    client = bed.client()
    if was_idle:
        client.send(ALIVE)
        spin(client.answers)
    client.send(ask(1))
    bed.clock.advance(LIMITS.client_idle_timeout + LIMITS.client_check_interval)
    spin(lambda: any(reply["id"] == 1 for reply in client.answers()) or client.end_reason)
    assert "result" in client.answers()[-1] and not client.end_reason


def test_the_rest_of_a_message_unread_when_its_timeout_expires_is_accepted(site):
    bed = site(loop=True)
    client = bed.client()
    client.send(b'{"jsonrpc":"2.0",')
    spin(lambda: client.served_by.incomplete_since)
    bed.clock.advance(LIMITS.message_timeout)
    client.send(b'"id":950,"method":"alive"}\n')
    bed.clock.advance(LIMITS.client_check_interval)
    spin(client.answers)
    assert "result" in client.answers()[0] and not client.end_reason


def test_an_answer_restarts_the_idle_timeout(site):
    """The connection is closed a full idle timeout after the answer."""
    server = EngineServer()
    bed = site(server)
    client = bed.client()
    client.send(ask(1, "report", budget=19_000))
    spin(lambda: server.wants())
    bed.clock.advance(LIMITS.client_idle_timeout + LIMITS.client_check_interval - MS)
    server.connections[0].respond(server.wants()[0][1], b"200", b"chunks=1", ROWS)
    spin(client.answers)
    bed.clock.advance(2 * MS)  # The check of the timeouts is due now.
    assert not client.served_by.ending
    bed.clock.advance(LIMITS.client_idle_timeout + LIMITS.client_check_interval)
    assert client.wait_for_end() == "closed" and "result" in client.answers()[0]


def test_a_request_unread_at_the_last_answer_of_a_drain_is_accepted(site):
    """Guards against a pipelined request that is rejected, although it arrived before the last answer was written."""
    server = EngineServer(on_command=answer)
    bed = site(server, loop=True)
    client = bed.client()
    client.send(ask(1))
    spin(lambda: bed.core.queries)
    client.served_by.drain()
    second = json.dumps(ask(2)).encode() + b"\n"
    inner = client.served_by.served

    def served(query, rows):  # The second request arrives as the first answer is written.
        if query.tag == 1:
            client.send(second)
        inner(query, rows)

    client.served_by.served = served
    assert client.wait_for_end() == "closed"
    assert [reply["id"] for reply in client.answers()] == [1, 2]


def test_an_incomplete_message_at_the_end_of_a_drain_is_dropped_and_counted(site):
    server = EngineServer(on_command=answer)
    bed = site(server, loop=True)
    client = bed.client()
    complete = json.dumps(ask(1)).encode() + b"\n"
    client.send(complete[:40])
    spin(lambda: client.served_by.incomplete_since)
    bed.fronts[0].drain()
    for _ in range(5):
        reactor.iterate(0)
    assert not client.served_by.ending  # The rest of the message may still arrive.
    bed.fronts[0].end()
    client.send(complete[40:])
    assert client.wait_for_end() == "closed" and not client.answers()
    spin(lambda: bed.counters["lines_dropped"] == 1)
    close_client(client)
    assert not server.received and bed.counters["requests_in"] == 0


def test_an_incomplete_message_during_a_drain_times_out(site):
    bed = site()
    client = bed.client()
    client.send(b'{"jsonrpc"')
    spin(lambda: client.served_by.incomplete_since)
    bed.fronts[0].drain()
    bed.clock.advance(LIMITS.message_timeout + LIMITS.client_check_interval)
    assert client.wait_for_end() == "closed" and bed.counters["clients_half"] == 1
    assert [reply["error"]["code"] for reply in client.answers()] == [-32600]


# ---- clients that disconnect


@pytest.mark.parametrize("departure", ["closes", "resets"])
def test_a_close_with_open_requests_disconnects_them(site, departure):
    server = EngineServer()
    bed = site(server)
    client = bed.client()
    client.send(ask(1), ask(2))
    spin(lambda: len(server.wants()) == 2)
    if departure == "resets":
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        client.socket.close()
    else:
        client.socket.shutdown(socket.SHUT_WR)  # A half-close by the client counts as a close.
    spin(lambda: not bed.core.queries)
    spin(lambda: sum(command[0] == b"never_mind" for command in server.received) == 2)
    assert bed.counters["left"] == 2 and not bed.fronts[0].connections


def test_an_injected_bug_that_ignores_the_client_s_close_is_detected(site, monkeypatch):
    """The test above has to detect it."""
    monkeypatch.setattr(JsonRpcConnection, "readConnectionLost", lambda self: None, raising=False)
    monkeypatch.setattr(JsonRpcConnection, "connectionLost", lambda self, reason=None: self.front.lost(self))
    with pytest.raises(AssertionError, match="the condition did not hold in time"):
        test_a_close_with_open_requests_disconnects_them(site, "closes")


def test_reading_paused_is_reported_for_a_client_paused_for_faults(site):
    """Its close and cancels are not read meanwhile, so no attempt may start for it."""
    bed = site(EngineServer())
    client = bed.client()
    client.send(ask(1))
    spin(lambda: bed.core.queries)
    assert not client.served_by.reading_paused
    client.send(ask(2), *[b"{\n"] * (LIMITS.faults_before_pause + 1))
    spin(lambda: bed.counters["requests_in"] == 2)
    assert client.served_by.reading_stopped and not client.served_by.reading_paused
    assert bed.counters["clients_slowed"] == 1
    bed.clock.advance(LIMITS.late_iteration_delay + 1)
    assert client.served_by.reading_paused
    client.socket.close()
    bed.clock.advance(LIMITS.fault_pause)
    spin(lambda: not bed.core.queries)
    assert bed.counters["left"] == 2


def test_a_client_that_floods_and_leaves_has_all_its_requests_cancelled(site):
    """Its invalid messages slow down reading, so its close is read late.

    Until then the buffer is bounded; then all its requests are cancelled.
    """
    server = EngineServer()
    bed = site(server)
    client = bed.client()
    client.send(*[ask(number, "report", budget=19_000) for number in range(1, 21)])
    spin(lambda: len(server.wants()) == 20)
    unsent = b"".join(b"{%0998d\n" % number for number in range(200))
    buffered = []
    while unsent:
        with contextlib.suppress(BlockingIOError):
            unsent = unsent[client.socket.send(unsent) :]
        reactor.iterate(0)
        bed.clock.advance(100 * MS)
        buffered.append(len(client.served_by._buffer))
    client.socket.close()
    while client.served_by in bed.fronts[0].connections:
        assert len(bed.core.queries) == 20 and bed.counters["left"] == 0
        reactor.iterate(0)
        bed.clock.advance(100 * MS)
        buffered.append(len(client.served_by._buffer))
        assert bed.clock.now() < 1_000_000 * S + 15 * S
    assert max(buffered) <= bed.core.limits.max_request_bytes
    assert not bed.core.queries and bed.counters["left"] == 20 and bed.counters["clients_slowed"]
    spin(lambda: sum(command[0] == b"never_mind" for command in server.received) == 20)
    assert len(server.wants()) == 20


def test_reading_paused_is_reported_for_a_client_that_does_not_read(site):
    page = b"".join(b"%040d\tb\tc\n" % number for number in range(100))

    def send_pages(engine, kind, id, *rest):
        if kind in (b"want", b"turn"):
            at = int(rest[0]) if kind == b"turn" else 0
            engine.respond(id, *((b"chunk", b"at=%d" % at) if at else (b"200", b"chunks=10")), page)

    bed = site(EngineServer(on_command=send_pages), EngineServer(on_command=send_pages))
    client = bed.client()
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.served_by.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    client.send(*[ask(number) for number in range(1, 9)])
    spin(lambda: bed.counters["served"] == 8)
    assert client.served_by.write_blocked_since
    bed.clock.advance(LIMITS.late_iteration_delay + 1)
    assert client.served_by.reading_paused
    spin(lambda: client.read() or client.received.count(b"\n") == 8)
    assert len(client.answers()) == 8
    spin(lambda: not client.served_by.reading_paused)
    client.send(ask(9))
    spin(
        lambda: bed.clock.advance(0) or bed.counters["served"] == 9
    )  # It is deferred until all earlier input has been read.


def test_nagle_s_algorithm_is_off_for_clients(site):
    bed = site()
    assert bed.client().served_by.transport.getTcpNoDelay()
    assert bed.tds_client().transport.connected
    (served_by,) = bed.fronts[1].connections
    assert served_by.transport.getTcpNoDelay()


# ---- shutdown


def test_requests_received_after_the_shutdown_began_are_rejected(site):
    """Guards against a request that is accepted only because it can be answered before SIGKILL.

    Requests accepted before the shutdown are served, even if they wait for a dial at that time.
    """
    server = EngineServer(on_command=answer)
    bed = site(server)
    client, late = bed.client(), bed.client()
    dials, connect = [], reactor.connectTCP
    bed.patch.setattr(reactor, "connectTCP", lambda *given, **more: dials.append((given, more)))
    client.send(ask(1))
    spin(lambda: dials)
    bed.core.start_draining(300 * MS)
    for each in (client, late):
        each.send(ask(2, budget=200) if each is client else ask(3), ALIVE)
    spin(lambda: len(client.answers()) == len(late.answers()) == 2)
    for each in (client, late):
        refused, alive = each.answers()
        assert refused["error"]["code"] == -32008 and refused["error"]["data"] == {"backoff": 300}
        assert alive["result"] == {"pass": False}
    for given, more in dials:
        connect(*given, **more)
    spin(lambda: len(client.answers()) == 3)
    assert client.answers()[-1]["id"] == 1 and "result" in client.answers()[-1]
    assert len(server.wants()) == 1 and bed.counters["refused_ending"] == 2


# A program that stops at a gate, a point of its run that the test chooses; the gate is a pair of pipes.
GATED_PROGRAM = """
import os, runpy, sys
def gate(name, write=os.write, read=os.read):
    write({report}, name + b"\\n")
    read({wait}, 1)
{patch}
sys.argv = ["rackhub", "serve", "--config", {config!r}]
runpy.run_module("rackhub", run_name="__main__", alter_sys=False)
"""
IMPORTING = """
class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "rackhub.cli":
            sys.meta_path.remove(self)
            gate(b"importing")
sys.meta_path.insert(0, Finder())
"""
LISTENING = """
import rackhub.net.listen as listen
inner = listen.SharedPort.__init__
def init(*given, **named):
    gate(b"listening")
    inner(*given, **named)
listen.SharedPort.__init__ = init
"""
RUNNING = """
from twisted.internet import reactor
inner = reactor.run
def run(**how):
    gate(b"running")
    inner(**how)
reactor.run = run
"""
ENDING = """
class Last:
    def __del__(self, gate=gate):
        gate(b"ending")
sys.last = Last()
"""


class GatedProcess:
    """A process of the program that stops at a gate until the test opens it."""

    def __init__(self, directory, patch, engine=("127.0.0.1", 1), **more):
        self.directory, self.engine = directory, engine
        self.nameserver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.nameserver.bind(("127.0.0.1", 0))
        self.port = hold_port()
        self.write(**more)
        (self.gate_output, report), (wait, self.gate_input) = os.pipe(), os.pipe()
        program = GATED_PROGRAM.format(report=report, wait=wait, patch=patch, config=str(directory / "c.json"))
        self.child = subprocess.Popen(
            [sys.executable, "-c", program],
            stderr=subprocess.PIPE,
            pass_fds=(report, wait),
            cwd=os.path.dirname(os.path.dirname(os.path.abspath(__file__))),
            env=os.environ | {"TMPDIR": str(directory)},
            text=True,
        )
        os.close(report)
        os.close(wait)

    def write(self, **more):
        entry = endpoint("a") | {"address": "{}:{}".format(*self.engine)}
        (self.directory / "c.json").write_text(
            json.dumps(
                platform_config(
                    listen=f"127.0.0.1:{self.port}",
                    known={"rev": 3, "notices": [watch_notice(3, entry)]},
                    nameserver=f"127.0.0.1:{self.nameserver.getsockname()[1]}",
                )
                | more
            )
        )

    def wait_for_gate(self, name):
        assert os.read(self.gate_output, 64).decode().strip() == name, self.child.communicate(timeout=60)[1]

    def open_gate(self):
        with contextlib.suppress(BrokenPipeError):  # A signal may have ended the process at its gate.
            os.write(self.gate_input, b"x")

    def read_until(self, text):
        lines, timer = [], threading.Timer(60, self.child.kill)
        timer.start()
        try:
            while not lines or text not in lines[-1]:
                lines.append(self.child.stderr.readline())
                assert lines[-1], "".join(lines)
        finally:
            timer.cancel()
        return "".join(lines)

    def ended(self):
        rest = self.child.communicate(timeout=60)[1]
        return self.child.returncode, rest

    def client(self):
        connection = socket.create_connection(("127.0.0.1", self.port), 60)
        connection.settimeout(60)
        return connection, connection.makefile("rwb")

    def close(self):
        self.child.kill()
        self.child.wait()
        self.child.stderr.close()
        self.nameserver.close()
        for each in (self.gate_output, self.gate_input):
            os.close(each)


@pytest.fixture
def start_gated(tmp_path):
    made = []

    def make(patch="", **more):
        made.append(GatedProcess(tmp_path, patch, **more))
        return made[-1]

    yield make
    for process in made:
        process.close()


@pytest.mark.parametrize("gate, patch", [("importing", IMPORTING), ("listening", LISTENING), ("running", RUNNING)])
def test_signals_before_the_process_is_ready_are_handled_later(start_gated, gate, patch):
    """Guards against SIGHUP during the imports that ends the process, as if it had crashed after its restart.

    A configuration announced by SIGHUP is applied once the handlers are installed.
    """
    process = start_gated(patch)
    process.wait_for_gate(gate)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as new_resolver:
        new_resolver.bind(("127.0.0.1", 0))
        new_resolver.settimeout(60)
        if gate != "importing":  # The process has read the file by now.
            process.write(nameserver=f"127.0.0.1:{new_resolver.getsockname()[1]}")
        for number in (signal.SIGHUP, signal.SIGUSR1):
            process.child.send_signal(number)
        process.open_gate()
        process.read_until("counters: ")
        if gate != "importing":
            assert b"_app" in new_resolver.recv(512)
    process.child.send_signal(signal.SIGTERM)
    assert process.ended()[0] == 0


@pytest.mark.parametrize("gate, patch", [("importing", IMPORTING), ("listening", LISTENING), ("running", RUNNING)])
@pytest.mark.parametrize(
    "signals",
    [
        (signal.SIGTERM,),
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGHUP, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP),
    ],
    ids=["once", "twice", "after SIGHUP", "before SIGHUP"],
)
def test_sigterm_before_the_process_is_ready_ends_it_cleanly(start_gated, gate, patch, signals):
    process = start_gated(patch)
    process.wait_for_gate(gate)
    for number in signals:
        process.child.send_signal(number)
    process.open_gate()
    status, output = process.ended()
    assert status == 0 and "Traceback" not in output


def test_signals_at_interpreter_shutdown_are_ignored(start_gated):
    process = start_gated(ENDING)
    process.read_until("serves on")
    process.child.send_signal(signal.SIGTERM)
    process.wait_for_gate("ending")  # Python has restored its handlers by now.
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1):
        process.child.send_signal(number)
    process.open_gate()
    assert process.ended()[0] == 0


CLOSING = """
import rackhub.net.front as front
inner = front.Client.close
def close(self):
    if not self.closed_at:
        gate(b"closing")
    inner(self)
front.Client.close = close
"""
STOPPED_LISTENING = """
import rackhub.net.listen as listen
inner = listen.SharedPort._accept_queued
def accept_queued(self):
    gate(b"unlistened")
    inner(self)
listen.SharedPort._accept_queued = accept_queued
"""
NO_OVERLOAD = """
import rackhub.core.deadline_monitor as deadline_monitor
inner = deadline_monitor.DeadlineMonitor.sweep
def sweep(self):
    inner(self)
    self._state.loop_overloaded = False
deadline_monitor.DeadlineMonitor.sweep = sweep
"""  # On a busy machine a late event loop would reject the requests of the test.


def line(message):
    return json.dumps(message).encode() + b"\n"


class UnresponsiveEngine:
    """An engine whose kernel accepts connections, but which sends nothing."""

    def __init__(self):
        self.port = socket.socket()
        self.port.bind(("127.0.0.1", 0))
        self.port.listen()
        self.port.settimeout(60)
        self.address = self.port.getsockname()

    def received_bytes(self):
        """Return all bytes received on its connections, which have all ended."""
        self.port.setblocking(False)
        received = b""
        while True:
            try:
                connection, _ = self.port.accept()
            except BlockingIOError:
                return received
            with connection:
                connection.settimeout(60)
                try:
                    while data := connection.recv(1 << 16):
                        received += data
                except ConnectionResetError:
                    pass


@pytest.fixture
def unresponsive():
    engine = UnresponsiveEngine()
    yield engine
    engine.port.close()


def test_a_request_that_crosses_the_close_at_shutdown_is_dropped(start_gated, unresponsive):
    process = start_gated(CLOSING, engine=unresponsive.address)
    process.read_until("serves on")
    idle_client, lines = process.client()
    with idle_client, lines:
        lines.write(line(ALIVE))
        lines.flush()
        assert json.loads(lines.readline())["result"] == {"pass": True}
        process.child.send_signal(signal.SIGTERM)
        process.wait_for_gate("closing")  # The close is decided, but not done yet.
        lines.write(line(ask(1)))
        lines.flush()
        process.open_gate()
        assert lines.readline() == b"" and idle_client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    status, output = process.ended()
    assert (
        status == 0
        and "lines_dropped=1" in output
        and "requests_in" not in output
        and not unresponsive.received_bytes()
    )


def test_a_connection_made_as_the_listener_closes_is_answered(start_gated, unresponsive):
    process = start_gated(STOPPED_LISTENING, engine=unresponsive.address)
    process.read_until("serves on")
    process.child.send_signal(signal.SIGTERM)
    process.wait_for_gate("unlistened")  # Twisted's port has stopped, while the kernel still queues new connections.
    late, lines = process.client()
    with late, lines:
        lines.write(line(ask(1)))
        lines.flush()
        process.open_gate()
        assert json.loads(lines.readline())["error"]["code"] == -32008 and lines.readline() == b""
    status, output = process.ended()
    assert status == 0 and "refused_ending=1" in output and not unresponsive.received_bytes()


def test_an_incomplete_request_at_sigterm_is_dropped_and_open_requests_are_answered(start_gated, unresponsive):
    """The resolver and the engines do not answer, so that the request waits until its deadline."""
    process = start_gated(NO_OVERLOAD, engine=unresponsive.address)
    process.read_until("serves on")
    (complete, complete_lines), (partial, partial_lines) = process.client(), process.client()
    with complete, complete_lines, partial, partial_lines:
        for connection, message in (
            (complete_lines, ask(1, budget=1500)),
            (complete_lines, ALIVE),
            (partial_lines, ALIVE),
        ):
            connection.write(line(message))
            connection.flush()
        for connection in (complete_lines, partial_lines):
            assert json.loads(connection.readline())["result"] == {"pass": True}
        partial_lines.write(line(ask(2))[:-30])
        partial_lines.flush()
        process.child.send_signal(signal.SIGTERM)
        answer = json.loads(complete_lines.readline())
        assert answer["id"] == 1 and "error" in answer and complete_lines.readline() == b""
        last_lines = partial_lines.read()  # an error if the message times out before the process ends
        assert b'"result"' not in last_lines
    status, output = process.ended()
    assert status == 0 and "requests_in=1 " in output and "halves_dropped=1" in output
    assert f"{2:016x}".encode() not in unresponsive.received_bytes()


def test_requests_waiting_for_engines_that_refuse_connections_are_answered_at_sigterm(start_gated):
    process = start_gated()  # Nothing listens at the engine's address, and the resolver does not answer.
    process.read_until("serves on")
    client, lines = process.client()
    with client, lines:
        lines.write(line(ask(1, budget=1500)) + line(ALIVE))
        lines.flush()
        answers = [json.loads(lines.readline())]
        process.child.send_signal(signal.SIGTERM)
        process.child.send_signal(signal.SIGTERM)
        answers.append(json.loads(lines.readline()))
        assert {reply["id"] for reply in answers} == {1, ALIVE["id"]} and lines.readline() == b""
    assert process.ended()[0] == 0


# ---- descriptors


FEW_DESCRIPTORS = """
import resource
resource.setrlimit(resource.RLIMIT_NOFILE, ({files}, {files}))
"""


def open_idle_clients(process, count):
    """Open idle clients that have sent one message each; return them and the number of those answered."""
    made, answered = [], 0
    for _ in range(count):
        connection = socket.create_connection(("127.0.0.1", process.port), 60)
        connection.settimeout(60)
        made.append(connection)
        with contextlib.suppress(ConnectionError):
            connection.sendall(line(ALIVE))
            answered += b"true" in connection.recv(256)
    return made, answered


def send_lines(process, *messages):
    """Send messages from a new client and return the answers, none if the connection is closed."""
    client, lines = process.client()
    with client, lines:
        try:
            lines.write(b"".join(map(line, messages)))
            lines.flush()
            return [json.loads(lines.readline() or b"null") for _ in messages]
        except ConnectionError:
            return []


def test_new_clients_and_polls_get_descriptors_when_idle_clients_use_them_all(start_gated, unresponsive, injected=""):
    """The `alive` of a new client is answered, its request reaches an engine, and the resolver is still polled."""
    process = start_gated(
        NO_OVERLOAD + FEW_DESCRIPTORS.format(files=96) + injected,
        engine=unresponsive.address,
        limits={"cores": 1.0, "memory_mb": 192, "sockets": 96},
    )
    process.read_until("serves on")
    idle, answered = open_idle_clients(process, 60)  # more than twice as many as there are descriptors for
    try:
        assert answered == 60
        new_client, lines = process.client()
        with new_client, lines:
            lines.write(line(ALIVE) + line(ask(1, budget=9_000)))
            lines.flush()
            assert json.loads(lines.readline())["result"] == {"pass": True}
            engine, _ = unresponsive.port.accept()
            with engine:
                engine.settimeout(60)
                assert f"{1:016x}".encode() in engine.recv(1 << 16)
                process.nameserver.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    while process.nameserver.recv(512):  # earlier polls
                        pass
                process.nameserver.settimeout(60)
                assert b"_app" in process.nameserver.recv(512)
                process.child.send_signal(signal.SIGUSR1)
                output = process.read_until("counters: ")
                engine.sendall(b"*4\r\n$16\r\n%016x\r\n$3\r\n200\r\n$8\r\nchunks=1\r\n$6\r\na\tb\tc\n\r\n" % 1)
                assert "result" in json.loads(lines.readline())
        assert "clients_evicted" in output and "over_engine_links" not in output
    finally:
        for each in idle:
            each.close()
    process.child.send_signal(signal.SIGTERM)
    assert process.ended()[0] == 0


def test_an_injected_bug_that_evicts_no_idle_client_is_detected(start_gated, unresponsive):
    """The test above has to detect it."""
    injected = "import rackhub.net.front as front\nfront.Front._evict_client = lambda self: False\n"
    with pytest.raises(AssertionError, match="assert 24 == 60"):
        test_new_clients_and_polls_get_descriptors_when_idle_clients_use_them_all(start_gated, unresponsive, injected)


def test_the_port_closes_without_a_descriptor_for_the_queued_connections():
    """Guards against an exception in the Deferred that the shutdown waits for, so that the process never ends.

    Accepting a connection takes the last descriptor, so that the reactor can't duplicate it.
    """

    class DescriptorlessReactor(AdoptingReactor):
        def adoptStreamConnection(self, fd, family, factory):  # noqa: N802 - Twisted's name
            raise OSError(errno.EMFILE, "too many open files")

    number = hold_port()
    port, ended = SharedPort(DescriptorlessReactor(), "127.0.0.1", number, None, 16), []
    with socket.create_connection(("127.0.0.1", number), 60), socket.create_connection(("127.0.0.1", number), 60):
        port.close().addBoth(ended.append)
        assert ended == [None]
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", number), 60)


def test_the_process_continues_when_accept_finds_no_descriptor(start_gated):
    """The process has fewer descriptors than configured: accept fails, and succeeds again once some are free."""
    process = start_gated(FEW_DESCRIPTORS.format(files=40))
    process.read_until("serves on")
    idle, answered = open_idle_clients(process, 60)
    assert 0 < answered < 60  # The others were rejected.
    for each in idle:
        each.close()
    while not send_lines(process, ALIVE):
        pass
    process.child.send_signal(signal.SIGTERM)
    assert process.ended()[0] == 0


# ---- settings


def test_a_request_received_across_a_reload_is_served_by_the_settings_of_the_start(start_gated, unresponsive):
    """A part of the request is read before the reload, which changes classes and tenants, and the rest after it."""
    process = start_gated(NO_OVERLOAD, engine=unresponsive.address)
    process.read_until("serves on")
    client, lines = process.client()
    with client, lines:
        complete = line(ask(1, budget=9_000))
        lines.write(line(ALIVE) + complete[:50])
        lines.flush()
        assert json.loads(lines.readline())["result"] == {"pass": True}
        report = {"Name": "report", "Deadline": 1_000_000, "Effect": "retryable", "Worth": 1.0}
        other = SETTINGS | {"Services": [report], "Tenants": [{"Name": "others", "Fraction": 0.5}]}
        process.write(settings=other)
        process.child.send_signal(signal.SIGHUP)
        process.read_until("settings changed too, which takes a restart")
        lines.write(complete[50:])
        lines.flush()
        engine, _ = unresponsive.port.accept()
        with engine:
            engine.settimeout(60)
            want = engine.recv(1 << 16)
            assert f"{1:016x}".encode() in want and b"profile=lookup" in want
            engine.sendall(b"*4\r\n$16\r\n%016x\r\n$3\r\n200\r\n$8\r\nchunks=1\r\n$6\r\na\tb\tc\n\r\n" % 1)
            assert "result" in json.loads(lines.readline())
            lines.write(
                line(ask(2, "report")) + line(ask(3, acct="others"))
            )  # The classes and tenants stay for later requests too.
            lines.flush()
            assert {json.loads(lines.readline())["error"]["code"] for _ in range(2)} == {-32601, -32602}
    process.child.send_signal(signal.SIGTERM)
    assert process.ended()[0] == 0


# ---- replacement of a process


@pytest.fixture
def start_pair(tmp_path):
    """Start two processes of a coordinator, of which one replaces the other, each with its own operators' address."""
    listen = hold_port()
    engines, made = [DelayedEngine(0) for _ in range(2)], []
    resolver = start_resolver(engines)

    def start(name):
        made.append(CoordinatorProcess(tmp_path, name, listen, engines, resolver.address))
        return made[-1].wait_until_serving()

    yield start, engines
    resolver.close()
    for process in made:
        process.close()
    for engine in engines:
        engine.port.stopListening()
        for connection in engine.connections:
            connection.transport.abortConnection()
    wait_until(lambda: not any(connection.connected for engine in engines for connection in engine.connections))


def count_ejected(process):
    """Return the number of engines that a process has ejected."""
    with socket.create_connection(("127.0.0.1", process.operator_port), 60) as call:
        call.settimeout(60)
        call.sendall(b"DUMP\n")
        dump = b"".join(iter(lambda: call.recv(1 << 16), b""))
    (found,) = (text.split() for text in dump.decode().splitlines() if text.startswith("balancer_pool_ejected "))
    return int(float(found[-1]))


@pytest.mark.parametrize("to_old", [True, False])
def test_an_ejection_ordered_from_one_of_two_processes_applies_in_both(start_pair, to_old):
    """Guards against an operator's ejection that is known only to the process that was called.

    One ordered from the old process was lost with it. One ordered from the new process was overwritten in the file when
    the old process stored its own with the next list.
    """
    start, _ = start_pair
    old, new = start("old"), start("new")
    called, other = (old, new) if to_old else (new, old)
    assert called.send_command("OFFLINE e0").startswith("YES")
    wait_until(lambda: count_ejected(other) == 1)
    assert other.send_command("OFFLINE e1").startswith("YES")  # The ejections of both processes add up.
    wait_until(lambda: count_ejected(called) == 2)
    assert called.send_command("ONLINE e0").startswith("YES")
    wait_until(lambda: count_ejected(other) == 1)
    old.terminate()
    assert old.wait_for_exit() == 0
    assert count_ejected(new) == 1
    third = start("third")
    assert count_ejected(third) == 1


# ---- injected bugs, which the tests above have to detect


def test_an_injected_bug_that_ignores_the_time_of_an_answer_is_detected(site, monkeypatch):
    inner = JsonRpcConnection._answer

    def answer_without_use(self, *given):
        last_used = self.last_used
        inner(self, *given)
        self.last_used = last_used

    monkeypatch.setattr(JsonRpcConnection, "_answer", answer_without_use)
    with pytest.raises(AssertionError):
        test_an_answer_restarts_the_idle_timeout(site)


def test_an_injected_bug_that_leaves_nagle_s_algorithm_on_for_clients_is_detected(site, monkeypatch):
    monkeypatch.setattr("twisted.internet.tcp.Connection.setTcpNoDelay", lambda self, on: None)
    with pytest.raises(AssertionError):
        test_nagle_s_algorithm_is_off_for_clients(site)


def test_an_injected_bug_that_misses_the_end_of_a_flood_is_detected(site, monkeypatch):
    monkeypatch.setattr(JsonRpcConnection, "connectionLost", lambda self, reason=None: self.front.lost(self))
    with pytest.raises(AssertionError):
        test_a_client_that_floods_and_leaves_has_all_its_requests_cancelled(site)


STOP_AT_ONCE = """
from twisted.internet import reactor
import rackhub.daemon
rackhub.daemon.Daemon._begin_shutdown = lambda self: reactor.stop()
"""


def test_a_request_whose_engine_is_unresponsive_at_sigterm_is_answered(start_gated, unresponsive, patch=""):
    process = start_gated(NO_OVERLOAD + patch, engine=unresponsive.address)
    process.read_until("serves on")
    client, lines = process.client()
    with client, lines:
        lines.write(line(ask(1, budget=1500)) + line(ALIVE))
        lines.flush()
        assert json.loads(lines.readline())["id"] == ALIVE["id"]  # The request is open, and its engine does not answer.
        process.child.send_signal(signal.SIGTERM)
        reply = json.loads(lines.readline())
        assert reply["id"] == 1 and reply["error"]["code"] == -32008 and lines.readline() == b""
    assert process.ended()[0] == 0


def test_an_injected_bug_that_stops_at_sigterm_at_once_is_detected(start_gated, unresponsive):
    with pytest.raises(ValueError):  # There is no answer to parse.
        test_a_request_whose_engine_is_unresponsive_at_sigterm_is_answered(start_gated, unresponsive, STOP_AT_ONCE)
