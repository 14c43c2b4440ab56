"""New connections wait for room in the kernel's queue instead of being closed with the requests that they have sent.

700 clients that stopped half way through a request and came again when they were evicted took the place of others: a
new connection that found 16 aborted ones whose descriptors were not free was closed at once. 59 of 365 usual lookups
were reset.
"""

import json
import socket

import pytest
from harness import MS, EngineServer, spin
from ports import hold_port
from test_crossings_close import ALIVE, answer, ask, site  # noqa: F401 - `site` is a fixture
from twisted.internet import reactor

from rackhub.net.listen import SharedPort

ROOM = 4
HALF_LINE = b'{"jsonrpc":"2.0","id":1,"method":"lookup","params":{' + b'"a":1,' * 100


ALIVE_LINE = json.dumps(ALIVE).encode() + b"\n"


def ask_line(number, budget):
    """Return a request whose id ends in the number."""
    return json.dumps(ask(1, rid=f"{number:016x}", budget=budget)).encode() + b"\n"


class Clients:
    """Clients of a front with room for four connections, one of which may wait for its end after an abort."""

    def __init__(self, bed):
        number = hold_port()
        self.bed, self.address, self.sockets = bed, ("127.0.0.1", number), []
        self.front = bed.fronts[0]
        self.port = SharedPort(reactor, *self.address, self.front, 64, gate=self.front)

    def connect(self, data):
        client = socket.create_connection(self.address)
        client.setblocking(False)
        client.sendall(data)
        self.sockets.append(client)
        return client

    def close(self):
        for client in self.sockets:
            client.close()
        closed = []
        self.port.close().addCallback(closed.append)
        spin(lambda: closed)


@pytest.fixture
def clients(site):  # noqa: F811
    bed = site(EngineServer(), max_client_connections=ROOM, max_aborted_connections=1)
    made = Clients(bed)
    yield made
    made.close()


def line_of(client):
    """Return the answer that a client has received, b"" if there is none yet; fails if its connection was reset."""
    try:
        return client.recv(1 << 16)
    except BlockingIOError:
        return b""


# Guards against usual clients that are reset because others fill the descriptors again and again.
def test_a_client_that_asks_has_its_place_while_half_written_requests_come_in_bursts(clients):
    for _ in range(10):
        for _ in range(3 * ROOM):
            clients.connect(HALF_LINE)
        usual = clients.connect(ALIVE_LINE)
        for _ in range(ROOM):
            clients.connect(HALF_LINE)
        spin(lambda usual=usual: line_of(usual))
    assert clients.bed.counters["clients_refused"] == 0 and clients.bed.counters["accepts_stopped"] > 0


# Guards against a request that is closed unread while all connections have open requests, and against one that gets
# the time that it has spent in the queue.
def test_a_client_waits_for_room_and_has_the_time_that_is_left(clients):
    server, front = clients.bed.engines[0], clients.front
    busy = [clients.connect(ask_line(number, 3_000)) for number in range(ROOM)]
    spin(lambda: len(server.wants()) == ROOM)
    waiting = clients.connect(ask_line(9, 900))
    sent_at = clients.bed.clock.now()
    spin(lambda: clients.bed.counters["accepts_stopped"])
    clients.bed.clock.advance(200 * MS)
    for _ in range(20):
        reactor.iterate(0)
    assert len(front.connections) == ROOM and line_of(waiting) == b"" and clients.bed.counters["clients_refused"] == 0
    server.on_command = answer
    _, id, *_ = server.wants()[0]
    server.connections[0].respond(id, b"200", b"chunks=1", b"a\tb\tc\n")
    spin(lambda: any(line_of(client) for client in busy))
    clients.bed.clock.advance(clients.bed.fronts[0].limits.accept_retry_interval)
    spin(lambda: f"{9:016x}" in clients.bed.core.queries)
    assert clients.bed.core.queries[f"{9:016x}"].deadline <= sent_at + 900 * MS


def test_a_full_port_does_not_keep_the_event_loop_busy(clients):
    server = clients.bed.engines[0]
    for number in range(ROOM):
        clients.connect(ask_line(number, 3_000))
    spin(lambda: len(server.wants()) == ROOM)
    clients.connect(ask_line(9, 900))
    spin(lambda: clients.bed.counters["accepts_stopped"])
    for _ in range(50):
        reactor.iterate(0)
    assert clients.bed.counters["accepts_stopped"] == 1
