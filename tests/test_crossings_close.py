"""Events that cross the end of a client's connection or of the process, on loopback sockets: each bad order is made to
happen by a peer that holds back or by the clock that the test holds, never by a wait."""

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
from replacement_harness import CoordinatorProcess, DelayedEngine, free_ports, start_resolver, wait_until
from test_config import SETTINGS, endpoint, platform_config, watch_notice
from test_listen import Adopting
from twisted.internet import reactor

from rackhub.net.jsonrpc import JsonRpcConnection
from rackhub.net.listen import SharedPort

ROWS = b"a\tb\tc\n"


class LoopClock(FakeClock):
    """Time in the test's hands, but what is due is called by the reactor, a turn of the loop each, as it is in the
    daemon: what lies in a socket is read between two calls."""

    _call = None

    def wake_after(self, delay, call):
        self._wake = (self.time + delay, call)
        self._look()

    def advance(self, span):
        self.time += span
        self._look()

    def _look(self):
        if self._call is not None and self._call.active():
            self._call.cancel()
        if self._wake and self._wake[0] <= self.time:
            self._call = reactor.callLater(0, self._due)

    def _due(self):
        (_, call), self._wake = self._wake, None
        call()


class Raw:
    """A client on a plain socket: it sends and reads when the test says so, and knows a close from a reset."""

    def __init__(self, site):
        self.front = site.fronts[0]
        before = set(self.front.connections)
        self.socket = socket.create_connection(("127.0.0.1", site.ports[0].getHost().port))
        self.socket.setblocking(False)
        spin(lambda: self.front.connections - before)
        (self.served_by,) = self.front.connections - before
        self.got, self.end = b"", ""

    def send(self, *messages):
        data = b"".join(each if isinstance(each, bytes) else json.dumps(each).encode() + b"\n" for each in messages)
        assert self.socket.send(data) == len(data)

    def read(self):
        """All that has come; True once the connection has ended."""
        while not self.end:
            try:
                data = self.socket.recv(1 << 16)
            except BlockingIOError:
                return False
            except ConnectionError:
                data, self.end = b"", "reset"
            self.got += data
            self.end = self.end or ("" if data else "closed")
        return True

    def answers(self):
        self.read()
        return [json.loads(line) for line in self.got.splitlines()]

    def until_ended(self):
        """How it ended. Twisted's close sends FIN and RST in one step, so that the end reads as a close, and what the
        reset takes with it is chance: the socket tells of it."""
        spin(self.read)
        return "reset" if self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) else self.end


@pytest.fixture
def site(monkeypatch):
    """Sites that are closed whatever becomes of the test, and raw clients of theirs."""
    made, clients = [], []

    def make(*engines, loop=False, **limits):
        if loop:
            monkeypatch.setattr(harness, "FakeClock", LoopClock)
        here = CoordinatorTestBed(*engines, limits=replace(LIMITS, **limits))
        made.append(here)

        def client():
            clients.append(Raw(here))
            return clients[-1]

        here.client, here.patch = client, monkeypatch
        return here

    yield make
    for one in clients:
        one.socket.close()
    for one in made:
        one.close()


def ask(id, method="lookup", **params):
    body = base64.b64encode(b"SELECT 1 FROM r_3.t").decode()
    params = {"rid": f"{id:016x}", "budget": 2500, "acct": "acme", "body": body} | params
    return {"jsonrpc": "2.0", "id": id, "method": method, "params": params}


def cancel(id):
    return {"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": id}}


ALIVE = {"jsonrpc": "2.0", "id": 950, "method": "alive"}


def answer(engine, word, id, *rest):
    if word == b"want":
        engine.respond(id, b"200", b"chunks=1", ROWS)


def gone(client):
    """The test's side of the connection closes, and the coordinator's is gone with it."""
    client.socket.close()
    spin(lambda: client.served_by not in client.front.connections and client.served_by not in client.front._aborted)


# ---- a close over unread bytes


def test_the_error_of_a_line_too_long_reaches_a_client_that_has_sent_on(site):
    """The rest of the line lay unread at the close: the reset that this makes eats the error before it."""
    here = site(max_request_bytes=1_000)
    client = here.client()
    client.served_by.transport.bufferSize = 2_000  # what one read of its socket takes
    client.send(b"x" * 20_000)
    assert client.until_ended() == "closed"
    assert [said["error"]["code"] for said in client.answers()] == [-32600]
    gone(client)
    assert here.counters["too_long"] == 1 and here.counters["halves_dropped"] == 1


def test_a_request_that_crosses_the_idle_close_is_dropped_and_its_client_hears_of_a_close(site):
    """A resting client sends at the moment of the close: it is to send again, and its request must not be sent on."""
    stand = EngineServer(on_command=answer)
    here = site(stand)
    client = here.client()
    client.send(ALIVE)
    spin(client.answers)
    here.clock.advance(LIMITS.client_idle_timeout + LIMITS.client_check_interval)
    assert here.counters["clients_idle"] == 1 and client.served_by.ending
    client.send(ask(1), b'{"half')
    assert client.until_ended() == "closed" and len(client.answers()) == 1
    spin(lambda: here.counters["lines_dropped"] == 1)
    gone(client)
    assert here.counters["requests_in"] == 0 and not stand.received and here.counters["halves_dropped"] == 1


def test_an_answer_before_a_close_reaches_a_client_that_sends_on(site):
    """A breach with a request open: its answer is owed, the close follows it, and what comes meanwhile is dropped."""
    stand = EngineServer()
    here = site(stand, max_request_bytes=1_000)
    client = here.client()
    client.send(ask(1), b"x" * 1_500 + b"\n", ask(2))
    spin(lambda: stand.wants())
    client.send(ask(3), ask(4))
    spin(lambda: here.counters["lines_dropped"] == 3)
    (id,) = (words[1] for words in stand.wants())
    stand.connections[0].respond(id, b"200", b"chunks=1", ROWS)
    spin(lambda: client.served_by.closed_at)
    client.send(ask(5))
    assert client.until_ended() == "closed"
    assert [said["id"] for said in client.answers()] == [None, 1] and "result" in client.answers()[1]
    gone(client)
    assert here.counters["requests_in"] == 1 and len(stand.wants()) == 1


@pytest.mark.parametrize("how", ["goes", "cancels"])
def test_who_goes_from_a_connection_that_ends_is_heard(site, how):
    """Such a connection was not read from: a close or cancel did not show until the answer was written."""
    stand = EngineServer()
    here = site(stand, max_request_bytes=1_000)
    client = here.client()
    client.send(ask(1), b"x" * 1_500 + b"\n")
    spin(lambda: stand.wants() and here.counters["too_long"])
    if how == "goes":
        client.socket.close()
    else:
        client.send(cancel(1))
    spin(lambda: not here.core.queries)
    assert here.counters["left"] == 1
    spin(lambda: any(words[0] == b"never_mind" for words in stand.received))
    if how == "cancels":
        assert client.until_ended() == "closed" and [said["id"] for said in client.answers()] == [None]


def test_who_does_not_close_after_the_half_close_is_cut(site):
    here = site()
    client = here.client()
    here.clock.advance(LIMITS.first_message_timeout + LIMITS.client_check_interval)
    assert client.until_ended() == "closed"
    here.clock.advance(LIMITS.linger_timeout - 2 * LIMITS.client_check_interval)
    assert client.served_by in here.fronts[0].connections
    here.clock.advance(3 * LIMITS.client_check_interval)
    spin(lambda: here.counters["clients_closed"] == 1)
    assert here.counters["clients_lingering"] == 1 and not here.fronts[0].connections


def test_where_descriptors_are_short_who_lingers_makes_way_first(site):
    here = site(max_client_connections=2)
    lingers, silent = here.client(), here.client()
    lingers.send(ALIVE)  # it spoke, so by the rule for open connections the silent one would go first
    spin(lingers.answers)
    lingers.served_by.end()
    assert lingers.until_ended() == "closed"
    newcomer = here.client()
    newcomer.send(ALIVE)
    spin(newcomer.answers)
    assert silent.served_by in here.fronts[0].connections and not silent.read()
    spin(lambda: lingers.served_by not in here.fronts[0]._aborted)


def test_a_flood_on_a_connection_that_ends_is_read_up_to_a_bound(site):
    here = site(max_request_bytes=1_000, max_discarded_bytes=50_000)
    client = here.client()
    client.send(b"x" * 1_500)
    spin(lambda: client.read())
    assert client.end == "closed"
    sent = 0
    while not client.served_by.reading_stopped:
        try:
            sent += client.socket.send(b"y" * 10_000 + b"\n")
        except BlockingIOError:
            pass
        reactor.iterate(0)
    assert len(client.served_by._buffer) <= 1_000 and client.served_by._discarded < 50_000 + (1 << 17)
    here.clock.advance(LIMITS.linger_timeout + LIMITS.client_check_interval)
    spin(lambda: not here.fronts[0].connections)


# ---- a close against what lies in the kernel


@pytest.mark.parametrize("rested", [True, False])
def test_a_request_that_lay_unread_when_the_close_was_decided_is_served(site, rested):
    """The loop was late: the request came before the time was up, and is no crossing of a close."""
    stand = EngineServer(on_command=answer)
    here = site(stand, loop=True, max_event_loop_delay=60 * S)
    client = here.client()
    if rested:
        client.send(ALIVE)
        spin(client.answers)
    client.send(ask(1))
    here.clock.advance(LIMITS.client_idle_timeout + LIMITS.client_check_interval)
    spin(lambda: any(said["id"] == 1 for said in client.answers()) or client.end)
    assert "result" in client.answers()[-1] and not client.end


def test_the_rest_of_a_message_that_lay_unread_when_its_time_was_up_is_taken(site):
    here = site(loop=True)
    client = here.client()
    client.send(b'{"jsonrpc":"2.0",')
    spin(lambda: client.served_by.incomplete_since)
    here.clock.advance(LIMITS.message_timeout)
    client.send(b'"id":950,"method":"alive"}\n')
    here.clock.advance(LIMITS.client_check_interval)
    spin(client.answers)
    assert "result" in client.answers()[0] and not client.end


def test_an_answer_and_an_idle_close_in_one_turn(site):
    """The answer counts as the client's last word with the coordinator: the close comes a whole idle time later."""
    stand = EngineServer()
    here = site(stand)
    client = here.client()
    client.send(ask(1, "report", budget=19_000))
    spin(lambda: stand.wants())
    here.clock.advance(LIMITS.client_idle_timeout + LIMITS.client_check_interval - MS)
    stand.connections[0].respond(stand.wants()[0][1], b"200", b"chunks=1", ROWS)
    spin(client.answers)
    here.clock.advance(2 * MS)  # the look is due in just this moment
    assert not client.served_by.ending
    here.clock.advance(LIMITS.client_idle_timeout + LIMITS.client_check_interval)
    assert client.until_ended() == "closed" and "result" in client.answers()[0]


def test_what_lay_unread_when_the_last_answer_of_a_drain_was_written_is_taken(site):
    """Pipelined requests: one is read only after the answer to the one before has been written. A close then would
    have turned it back, though it had come long before."""
    stand = EngineServer(on_command=answer)
    here = site(stand, loop=True)
    client = here.client()
    client.send(ask(1))
    spin(lambda: here.core.queries)
    client.served_by.drain()
    second = json.dumps(ask(2)).encode() + b"\n"
    inner = client.served_by.served

    def served(query, rows):  # it comes in the very step in which the answer is written
        if query.tag == 1:
            client.send(second)
        inner(query, rows)

    client.served_by.served = served
    assert client.until_ended() == "closed"
    assert [said["id"] for said in client.answers()] == [1, 2]


def test_half_a_message_at_the_end_of_a_drain_is_dropped_and_counted(site):
    stand = EngineServer(on_command=answer)
    here = site(stand, loop=True)
    client = here.client()
    whole = json.dumps(ask(1)).encode() + b"\n"
    client.send(whole[:40])
    spin(lambda: client.served_by.incomplete_since)
    here.fronts[0].drain()
    for _ in range(5):
        reactor.iterate(0)
    assert not client.served_by.ending  # the rest may be on its way
    here.fronts[0].end()
    client.send(whole[40:])
    assert client.until_ended() == "closed" and not client.answers()
    spin(lambda: here.counters["lines_dropped"] == 1)
    gone(client)
    assert not stand.received and here.counters["requests_in"] == 0


def test_half_a_message_at_a_drain_does_not_hold_its_connection_beyond_its_time(site):
    here = site()
    client = here.client()
    client.send(b'{"jsonrpc"')
    spin(lambda: client.served_by.incomplete_since)
    here.fronts[0].drain()
    here.clock.advance(LIMITS.message_timeout + LIMITS.client_check_interval)
    assert client.until_ended() == "closed" and here.counters["clients_half"] == 1
    assert [said["error"]["code"] for said in client.answers()] == [-32600]


# ---- clients that go


@pytest.mark.parametrize("how", ["closes", "resets"])
def test_a_client_that_closes_with_a_request_open_has_gone(site, how):
    stand = EngineServer()
    here = site(stand)
    client = here.client()
    client.send(ask(1), ask(2))
    spin(lambda: len(stand.wants()) == 2)
    if how == "resets":
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        client.socket.close()
    else:
        client.socket.shutdown(socket.SHUT_WR)  # its own half-close: no answer is read any more
    spin(lambda: not here.core.queries)
    spin(lambda: sum(words[0] == b"never_mind" for words in stand.received) == 2)
    assert here.counters["left"] == 2 and not here.fronts[0].connections


def test_a_client_that_is_taken_for_open_after_its_close_is_missed(site, monkeypatch):
    """The mistake planted that the test above must find."""
    monkeypatch.setattr(JsonRpcConnection, "readConnectionLost", lambda self: None, raising=False)
    monkeypatch.setattr(JsonRpcConnection, "connectionLost", lambda self, reason=None: self.front.lost(self))
    with pytest.raises(AssertionError, match="it did not come about"):
        test_a_client_that_closes_with_a_request_open_has_gone(site, "closes")


def test_a_client_is_told_as_deaf_to_while_it_is_not_read_from(site):
    """Its close and its cancels don't show then, so nothing new may begin for it."""
    here = site(EngineServer())
    client = here.client()
    client.send(ask(1))
    spin(lambda: here.core.queries)
    assert not client.served_by.reading_paused
    client.send(*[b"{\n"] * (LIMITS.faults_before_pause + 1), ask(2))
    spin(lambda: here.counters["requests_in"] == 2)
    assert client.served_by.reading_stopped and not client.served_by.reading_paused
    assert here.counters["clients_slowed"] == 1
    here.clock.advance(LIMITS.late_iteration_delay + 1)
    assert client.served_by.reading_paused
    client.socket.close()
    here.clock.advance(LIMITS.fault_pause)
    spin(lambda: not here.core.queries)
    assert here.counters["left"] == 2


def test_a_client_that_sends_much_at_once_and_goes_is_given_up_whole(site):
    """Its faults have it read from slowly, so that its close shows late: nothing is held without bound meanwhile, and
    as it shows all is given up."""
    stand = EngineServer()
    here = site(stand)
    client = here.client()
    client.send(*[ask(number, "report", budget=19_000) for number in range(1, 21)])
    spin(lambda: len(stand.wants()) == 20)
    left = b"".join(b"{%0998d\n" % number for number in range(200))
    held = []
    while left:
        with contextlib.suppress(BlockingIOError):
            left = left[client.socket.send(left) :]
        reactor.iterate(0)
        here.clock.advance(100 * MS)
        held.append(len(client.served_by._buffer))
    client.socket.close()
    while client.served_by in here.fronts[0].connections:
        assert len(here.core.queries) == 20 and here.counters["left"] == 0
        reactor.iterate(0)
        here.clock.advance(100 * MS)
        held.append(len(client.served_by._buffer))
        assert here.clock.now() < 1_000_000 * S + 15 * S
    assert max(held) <= here.core.limits.max_request_bytes
    assert not here.core.queries and here.counters["left"] == 20 and here.counters["clients_slowed"]
    spin(lambda: sum(words[0] == b"never_mind" for words in stand.received) == 20)
    assert len(stand.wants()) == 20


def test_a_client_that_does_not_read_is_told_as_deaf_to(site):
    big = b"".join(b"%040d\tb\tc\n" % number for number in range(100))

    def act(engine, word, id, *rest):
        if word in (b"want", b"turn"):
            at = int(rest[0]) if word == b"turn" else 0
            engine.respond(id, *((b"chunk", b"at=%d" % at) if at else (b"200", b"chunks=10")), big)

    here = site(EngineServer(on_command=act), EngineServer(on_command=act))
    client = here.client()
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.served_by.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    client.send(*[ask(number) for number in range(1, 9)])
    spin(lambda: here.counters["served"] == 8)
    assert client.served_by.write_blocked_since
    here.clock.advance(LIMITS.late_iteration_delay + 1)
    assert client.served_by.reading_paused
    spin(lambda: client.read() or client.got.count(b"\n") == 8)
    assert len(client.answers()) == 8
    spin(lambda: not client.served_by.reading_paused)
    client.send(ask(9))
    spin(lambda: here.clock.advance(0) or here.counters["served"] == 9)  # held until all that had waited is read


def test_small_writes_are_not_held_back(site):
    here = site()
    assert here.client().served_by.transport.getTcpNoDelay()
    assert here.tds_client().transport.connected
    (served_by,) = here.fronts[1].connections
    assert served_by.transport.getTcpNoDelay()


# ---- the end of the process


def test_a_request_read_after_the_end_began_is_refused_and_never_sent_on(site):
    """It was taken where it could be answered by SIGKILL. What was taken before is served, also what waits for a
    dial just then."""
    stand = EngineServer(on_command=answer)
    here = site(stand)
    client, late = here.client(), here.client()
    dials, connect = [], reactor.connectTCP
    here.patch.setattr(reactor, "connectTCP", lambda *given, **more: dials.append((given, more)))
    client.send(ask(1))
    spin(lambda: dials)
    here.core.start_draining(300 * MS)
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
    assert len(stand.wants()) == 1 and here.counters["refused_ending"] == 2


# what the process does at a point of its start that the test names; the gate is a pipe, so the order is the test's
GATED = """
import os, runpy, sys
def gate(name, write=os.write, read=os.read):
    write({say}, name + b"\\n")
    read({hear}, 1)
{plant}
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
def init(*given):
    gate(b"listening")
    inner(*given)
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


class Gated:
    """A process of the program that stops at a point of its start until it is let on."""

    def __init__(self, place, plant, engine=("127.0.0.1", 1), **more):
        self.place, self.engine = place, engine
        self.nameserver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.nameserver.bind(("127.0.0.1", 0))
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.write(**more)
        (self.said, say), (hear, self.let) = os.pipe(), os.pipe()
        program = GATED.format(say=say, hear=hear, plant=plant, config=str(place / "c.json"))
        self.child = subprocess.Popen(
            [sys.executable, "-c", program],
            stderr=subprocess.PIPE,
            pass_fds=(say, hear),
            cwd=os.path.dirname(os.path.dirname(os.path.abspath(__file__))),
            env=os.environ | {"TMPDIR": str(place)},
            text=True,
        )
        os.close(say)
        os.close(hear)

    def write(self, **more):
        entry = endpoint("a") | {"address": "{}:{}".format(*self.engine)}
        (self.place / "c.json").write_text(
            json.dumps(
                platform_config(
                    listen=f"127.0.0.1:{self.port}",
                    known={"rev": 3, "notices": [watch_notice(3, entry)]},
                    nameserver=f"127.0.0.1:{self.nameserver.getsockname()[1]}",
                )
                | more
            )
        )

    def at(self, name):
        assert os.read(self.said, 64).decode().strip() == name, self.child.communicate(timeout=60)[1]

    def go_on(self):
        with contextlib.suppress(BrokenPipeError):  # a signal may have ended it at its gate
            os.write(self.let, b"x")

    def until(self, text):
        lines, bound = [], threading.Timer(60, self.child.kill)
        bound.start()
        try:
            while not lines or text not in lines[-1]:
                lines.append(self.child.stderr.readline())
                assert lines[-1], "".join(lines)
        finally:
            bound.cancel()
        return "".join(lines)

    def ended(self):
        rest = self.child.communicate(timeout=60)[1]
        return self.child.returncode, rest

    def client(self):
        there = socket.create_connection(("127.0.0.1", self.port), 60)
        there.settimeout(60)
        return there, there.makefile("rwb")

    def close(self):
        self.child.kill()
        self.child.wait()
        self.child.stderr.close()
        self.nameserver.close()
        for each in (self.said, self.let):
            os.close(each)


@pytest.fixture
def gated(tmp_path):
    made = []

    def make(plant="", **more):
        made.append(Gated(tmp_path, plant, **more))
        return made[-1]

    yield make
    for one in made:
        one.close()


@pytest.mark.parametrize("where, plant", [("importing", IMPORTING), ("listening", LISTENING), ("running", RUNNING)])
def test_signals_before_ready_are_kept_for_it(gated, where, plant):
    """SIGHUP during the imports ended the process: a crash of one that was just restarted. What SIGHUP brings is taken
    up once the handlers stand."""
    process = gated(plant)
    process.at(where)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as moved:
        moved.bind(("127.0.0.1", 0))
        moved.settimeout(60)
        if where != "importing":  # it has read the file by now
            process.write(nameserver=f"127.0.0.1:{moved.getsockname()[1]}")
        for number in (signal.SIGHUP, signal.SIGUSR1):
            process.child.send_signal(number)
        process.go_on()
        process.until("counters: ")
        if where != "importing":
            assert b"_app" in moved.recv(512)
    process.child.send_signal(signal.SIGTERM)
    assert process.ended()[0] == 0


@pytest.mark.parametrize("where, plant", [("importing", IMPORTING), ("listening", LISTENING), ("running", RUNNING)])
@pytest.mark.parametrize(
    "numbers",
    [
        (signal.SIGTERM,),
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGHUP, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP),
    ],
    ids=["once", "twice", "after SIGHUP", "before SIGHUP"],
)
def test_sigterm_before_ready_ends_the_process_in_order(gated, where, plant, numbers):
    process = gated(plant)
    process.at(where)
    for number in numbers:
        process.child.send_signal(number)
    process.go_on()
    status, said = process.ended()
    assert status == 0 and "Traceback" not in said


def test_signals_as_the_interpreter_ends_change_nothing(gated):
    process = gated(ENDING)
    process.until("serves on")
    process.child.send_signal(signal.SIGTERM)
    process.at("ending")  # Python has put its handlers back by now
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1):
        process.child.send_signal(number)
    process.go_on()
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
UNLISTENED = """
import rackhub.net.listen as listen
inner = listen.SharedPort._take_rest
def take_rest(self):
    gate(b"unlistened")
    inner(self)
listen.SharedPort._take_rest = take_rest
"""
PATIENT = """
import rackhub.core.deadline_monitor as deadline_monitor
inner = deadline_monitor.DeadlineMonitor.sweep
def sweep(self):
    inner(self)
    self._state.loop_overloaded = False
deadline_monitor.DeadlineMonitor.sweep = sweep
"""  # on a machine that does ten things at once a late loop refuses what the test needs taken


def line(message):
    return json.dumps(message).encode() + b"\n"


class Unreachable:
    """An engine whose machine took the dial and says nothing."""

    def __init__(self):
        self.port = socket.socket()
        self.port.bind(("127.0.0.1", 0))
        self.port.listen()
        self.port.settimeout(60)
        self.address = self.port.getsockname()

    def heard(self):
        """All that has come on its connections, which have all ended."""
        self.port.setblocking(False)
        said = b""
        while True:
            try:
                connection, _ = self.port.accept()
            except BlockingIOError:
                return said
            with connection:
                connection.settimeout(60)
                try:
                    while data := connection.recv(1 << 16):
                        said += data
                except ConnectionResetError:
                    pass


@pytest.fixture
def unreachable():
    engine = Unreachable()
    yield engine
    engine.port.close()


def test_a_resting_client_that_sends_as_the_process_closes_its_connection_hears_of_a_close(gated, unreachable):
    process = gated(CLOSING, engine=unreachable.address)
    process.until("serves on")
    resting, lines = process.client()
    with resting, lines:
        lines.write(line(ALIVE))
        lines.flush()
        assert json.loads(lines.readline())["result"] == {"pass": True}
        process.child.send_signal(signal.SIGTERM)
        process.at("closing")  # it is decided, and not done
        lines.write(line(ask(1)))
        lines.flush()
        process.go_on()
        assert lines.readline() == b"" and resting.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    status, said = process.ended()
    assert status == 0 and "lines_dropped=1" in said and "requests_in" not in said and not unreachable.heard()


def test_what_came_as_the_listener_closes_is_answered(gated, unreachable):
    process = gated(UNLISTENED, engine=unreachable.address)
    process.until("serves on")
    process.child.send_signal(signal.SIGTERM)
    process.at("unlistened")  # Twisted's port has let go of the socket, and the kernel still takes newcomers
    late, lines = process.client()
    with late, lines:
        lines.write(line(ask(1)))
        lines.flush()
        process.go_on()
        assert json.loads(lines.readline())["error"]["code"] == -32008 and lines.readline() == b""
    status, said = process.ended()
    assert status == 0 and "refused_ending=1" in said and not unreachable.heard()


def test_half_a_request_at_sigterm_is_dropped_and_what_was_taken_is_answered(gated, unreachable):
    """Discovery and the engines are silent, so that the request waits up to its time."""
    process = gated(PATIENT, engine=unreachable.address)
    process.until("serves on")
    (whole, said_whole), (half, said_half) = process.client(), process.client()
    with whole, said_whole, half, said_half:
        for there, message in ((said_whole, ask(1, budget=1500)), (said_whole, ALIVE), (said_half, ALIVE)):
            there.write(line(message))
            there.flush()
        for there in (said_whole, said_half):
            assert json.loads(there.readline())["result"] == {"pass": True}
        said_half.write(line(ask(2))[:-30])
        said_half.flush()
        process.child.send_signal(signal.SIGTERM)
        answer = json.loads(said_whole.readline())
        assert answer["id"] == 1 and "error" in answer and said_whole.readline() == b""
        told = said_half.read()  # it hears of its half message, if its time is up before the process is done
        assert b'"result"' not in told
    status, said = process.ended()
    assert status == 0 and "requests_in=1 " in said and "halves_dropped=1" in said
    assert f"{2:016x}".encode() not in unreachable.heard()


def test_requests_that_wait_for_engines_that_refuse_are_answered_at_sigterm(gated):
    process = gated()  # nothing listens where its engine is, and discovery is down
    process.until("serves on")
    client, lines = process.client()
    with client, lines:
        lines.write(line(ask(1, budget=1500)) + line(ALIVE))
        lines.flush()
        answers = [json.loads(lines.readline())]
        process.child.send_signal(signal.SIGTERM)
        process.child.send_signal(signal.SIGTERM)
        answers.append(json.loads(lines.readline()))
        assert {said["id"] for said in answers} == {1, ALIVE["id"]} and lines.readline() == b""
    assert process.ended()[0] == 0


# ---- descriptors


FEW = """
import resource
resource.setrlimit(resource.RLIMIT_NOFILE, ({files}, {files}))
"""


def crowd(process, count):
    """Idle clients, each with a word said, so that none is closed for its silence, and how many were answered."""
    made, heard = [], 0
    for _ in range(count):
        there = socket.create_connection(("127.0.0.1", process.port), 60)
        there.settimeout(60)
        made.append(there)
        with contextlib.suppress(ConnectionError):
            there.sendall(line(ALIVE))
            heard += b"true" in there.recv(256)
    return made, heard


def say(process, *messages):
    """A newcomer's answers; none where it is turned away."""
    client, lines = process.client()
    with client, lines:
        try:
            lines.write(b"".join(map(line, messages)))
            lines.flush()
            return [json.loads(lines.readline() or b"null") for _ in messages]
        except ConnectionError:
            return []


def test_idle_clients_fill_the_descriptors_while_discovery_is_down(gated, unreachable, planted=""):
    """A newcomer's `alive` comes through, its request reaches an engine, and the resolver is asked still."""
    process = gated(
        PATIENT + FEW.format(files=96) + planted,
        engine=unreachable.address,
        limits={"cores": 1.0, "memory_mb": 192, "sockets": 96},
    )
    process.until("serves on")
    idle, heard = crowd(process, 60)  # over twice of what there is room for
    try:
        assert heard == 60
        newcomer, lines = process.client()
        with newcomer, lines:
            lines.write(line(ALIVE) + line(ask(1, budget=9_000)))
            lines.flush()
            assert json.loads(lines.readline())["result"] == {"pass": True}
            engine, _ = unreachable.port.accept()
            with engine:
                engine.settimeout(60)
                assert f"{1:016x}".encode() in engine.recv(1 << 16)
                process.nameserver.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    while process.nameserver.recv(512):  # asked up to now
                        pass
                process.nameserver.settimeout(60)
                assert b"_app" in process.nameserver.recv(512)
                process.child.send_signal(signal.SIGUSR1)
                said = process.until("counters: ")
                engine.sendall(b"*4\r\n$16\r\n%016x\r\n$3\r\n200\r\n$8\r\nchunks=1\r\n$6\r\na\tb\tc\n\r\n" % 1)
                assert "result" in json.loads(lines.readline())
        assert "clients_evicted" in said and "over_engine_links" not in said
    finally:
        for each in idle:
            each.close()
    process.child.send_signal(signal.SIGTERM)
    assert process.ended()[0] == 0


def test_without_room_made_for_newcomers_they_are_missed(gated, unreachable):
    """The mistake planted that the test above must find."""
    planted = "import rackhub.net.front as front\nfront.Front._evict_client = lambda self: False\n"
    with pytest.raises(AssertionError, match="assert 24 == 60"):
        test_idle_clients_fill_the_descriptors_while_discovery_is_down(gated, unreachable, planted)


def test_the_last_descriptor_taken_as_the_listener_closes_does_not_keep_the_process_from_its_end():
    """accept took it, so that there was none for the reactor's copy: the fault went into the Deferred that the end of
    the process waits for, and it never came."""

    class Full(Adopting):
        def adoptStreamConnection(self, fd, family, factory):  # noqa: N802 - Twisted's name
            raise OSError(errno.EMFILE, "too many open files")

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        number = probe.getsockname()[1]
    port, ended = SharedPort(Full(), "127.0.0.1", number, None, 16), []
    with socket.create_connection(("127.0.0.1", number), 60), socket.create_connection(("127.0.0.1", number), 60):
        port.close().addBoth(ended.append)
        assert ended == [None]
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", number), 60)


def test_no_descriptor_for_a_newcomer_ends_nothing(gated):
    """The process has fewer than it was told: accept fails, and goes on once there are some."""
    process = gated(FEW.format(files=40))
    process.until("serves on")
    idle, heard = crowd(process, 60)
    assert 0 < heard < 60  # those beyond were turned back
    for each in idle:
        each.close()
    while not say(process, ALIVE):
        pass
    process.child.send_signal(signal.SIGTERM)
    assert process.ended()[0] == 0


# ---- settings


def test_a_request_holds_the_settings_of_its_start_over_a_reload(gated, unreachable):
    """Half of it is read before the reload, which names other classes and tenants, and the rest after it."""
    process = gated(PATIENT, engine=unreachable.address)
    process.until("serves on")
    client, lines = process.client()
    with client, lines:
        whole = line(ask(1, budget=9_000))
        lines.write(line(ALIVE) + whole[:50])
        lines.flush()
        assert json.loads(lines.readline())["result"] == {"pass": True}
        report = {"Name": "report", "Deadline": 1_000_000, "Effect": "retryable", "Worth": 1.0}
        other = SETTINGS | {"Services": [report], "Tenants": [{"Name": "others", "Fraction": 0.5}]}
        process.write(settings=other)
        process.child.send_signal(signal.SIGHUP)
        process.until("settings changed too, which takes a restart")
        lines.write(whole[50:])
        lines.flush()
        engine, _ = unreachable.port.accept()
        with engine:
            engine.settimeout(60)
            want = engine.recv(1 << 16)
            assert f"{1:016x}".encode() in want and b"profile=lookup" in want
            engine.sendall(b"*4\r\n$16\r\n%016x\r\n$3\r\n200\r\n$8\r\nchunks=1\r\n$6\r\na\tb\tc\n\r\n" % 1)
            assert "result" in json.loads(lines.readline())
            lines.write(line(ask(2, "report")) + line(ask(3, acct="others")))  # the next as well
            lines.flush()
            assert {json.loads(lines.readline())["error"]["code"] for _ in range(2)} == {-32601, -32602}
    process.child.send_signal(signal.SIGTERM)
    assert process.ended()[0] == 0


# ---- hand-over


@pytest.fixture
def pair(tmp_path):
    """Two processes of one coordinator that serve side by side, as while one replaces the other, each with a second
    address that the test can call by itself."""
    (listen,) = free_ports(1)
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


def avoided(process):
    """How many engines a process sends nothing new to."""
    with socket.create_connection(("127.0.0.1", process.operator_port), 60) as call:
        call.settimeout(60)
        call.sendall(b"DUMP\n")
        said = b"".join(iter(lambda: call.recv(1 << 16), b""))
    (found,) = (text.split() for text in said.decode().splitlines() if text.startswith("balancer_pool_ejected "))
    return int(float(found[-1]))


@pytest.mark.parametrize("to_old", [True, False])
def test_a_ban_told_to_one_of_two_processes_holds_in_both(pair, to_old):
    """It lay with the one that was called: told to the old one it was gone with it, and what the old one kept later,
    with each new list, took the new one's from the file."""
    start, _ = pair
    old, new = start("old"), start("new")
    called, other = (old, new) if to_old else (new, old)
    assert called.send_command("OFFLINE e0").startswith("YES")
    wait_until(lambda: avoided(other) == 1)
    assert other.send_command("OFFLINE e1").startswith("YES")  # and each adds to what the other was told
    wait_until(lambda: avoided(called) == 2)
    assert called.send_command("ONLINE e0").startswith("YES")
    wait_until(lambda: avoided(other) == 1)
    old.terminate()
    assert old.wait_for_exit() == 0
    assert avoided(new) == 1
    third = start("third")
    assert avoided(third) == 1


# ---- planted mistakes: each of these tests can fail


def test_a_planted_answer_that_an_idle_close_forgets_is_seen(site, monkeypatch):
    inner = JsonRpcConnection._answer

    def forgets(self, *given):
        used = self.last_used
        inner(self, *given)
        self.last_used = used

    monkeypatch.setattr(JsonRpcConnection, "_answer", forgets)
    with pytest.raises(AssertionError):
        test_an_answer_and_an_idle_close_in_one_turn(site)


def test_planted_small_writes_that_are_held_back_are_seen(site, monkeypatch):
    monkeypatch.setattr("twisted.internet.tcp.Connection.setTcpNoDelay", lambda self, on: None)
    with pytest.raises(AssertionError):
        test_small_writes_are_not_held_back(site)


def test_a_planted_flood_whose_end_is_not_heard_is_seen(site, monkeypatch):
    monkeypatch.setattr(JsonRpcConnection, "connectionLost", lambda self, reason=None: self.front.lost(self))
    with pytest.raises(AssertionError):
        test_a_client_that_sends_much_at_once_and_goes_is_given_up_whole(site)


STOPS = """
from twisted.internet import reactor
import rackhub.daemon
rackhub.daemon.Daemon._begin_shutdown = lambda self: reactor.stop()
"""


def test_a_request_whose_engine_is_silent_at_sigterm_is_answered(gated, unreachable, plant=""):
    process = gated(PATIENT + plant, engine=unreachable.address)
    process.until("serves on")
    client, lines = process.client()
    with client, lines:
        lines.write(line(ask(1, budget=1500)) + line(ALIVE))
        lines.flush()
        assert json.loads(lines.readline())["id"] == ALIVE["id"]  # the request is open, and its engine says nothing
        process.child.send_signal(signal.SIGTERM)
        said = json.loads(lines.readline())
        assert said["id"] == 1 and said["error"]["code"] == -32008 and lines.readline() == b""
    assert process.ended()[0] == 0


def test_a_planted_end_at_once_is_seen(gated, unreachable):
    with pytest.raises(ValueError):  # the answer that is owed is no JSON, as it never came
        test_a_request_whose_engine_is_silent_at_sigterm_is_answered(gated, unreachable, STOPS)
