"""Clients that connect, send many requests and close again must not cost others their places or their answers.

Usual clients were reset: what a short connection had sent waited for its turn, and the connection, whose close was not
seen meanwhile, kept its place. For newcomers connections were evicted whose requests had not been read yet.
"""

import json
import socket

import pytest
from harness import EngineServer, TdsClient, codec, dial, spin
from test_accepting import ALIVE_LINE, ROOM, Clients, line_of
from test_crossings_close import ask, site  # noqa: F401 - `site` is a fixture
from twisted.internet import reactor

STEPS = 4  # messages handled in one iteration
REQUESTS = 24


@pytest.fixture
def bed(site):  # noqa: F811
    return site(EngineServer(), max_client_connections=ROOM, max_aborted_connections=1, max_input_steps=STEPS)


@pytest.fixture
def clients(bed):
    made = Clients(bed)
    yield made
    made.close()


def requests(client_number):
    asked = [ask(number, rid=f"{client_number * 100 + number:016x}", budget=3_000) for number in range(REQUESTS)]
    return b"".join(json.dumps(request).encode() + b"\n" for request in asked)


def iterate(iterations):
    for _ in range(iterations):
        reactor.iterate(0)


# Guards against turns, ids and attempts for what a client has sent that has closed its connection since.
@pytest.mark.parametrize("reset", [False, True], ids=["close", "reset"])
def test_what_a_gone_client_has_sent_is_not_handled(clients, reset):
    counters = clients.bed.counters
    gone = [clients.connect(requests(number)) for number in range(1, ROOM)]
    spin(lambda: len(clients.front.connections) == ROOM - 1 and all(c.input_pending for c in clients.front.connections))
    handled = counters["lines_in"]
    for client in gone:
        if reset:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        client.close()
    spin(lambda: not clients.front.connections)
    assert counters["clients_gone"] == ROOM - 1
    assert counters["lines_in"] <= handled + STEPS  # those of one iteration, in which the close may not have arrived
    assert not clients.bed.core.queries


# Guards against the place and the descriptor of a gone client that are kept until all that it has sent is handled.
def test_a_newcomer_gets_the_place_of_a_gone_client(clients):
    gone = [clients.connect(requests(number)) for number in range(1, ROOM + 1)]
    spin(lambda: len(clients.front.connections) == ROOM and all(c.input_pending for c in clients.front.connections))
    usual = clients.connect(ALIVE_LINE)
    for client in gone:
        client.close()
    spin(lambda: line_of(usual), turns=REQUESTS * ROOM // STEPS // 2)
    assert clients.bed.counters["clients_evicted"] == clients.bed.counters["clients_refused"] == 0


# Guards against an eviction of clients whose requests the kernel has received and nobody has read yet.
def test_a_client_with_an_unread_request_is_not_evicted(clients):
    usual = [clients.connect(ALIVE_LINE) for _ in range(ROOM)]
    spin(lambda: all(line_of(client) for client in usual))
    assert clients.front.can_accept()
    for client in usual:
        client.sendall(ALIVE_LINE)
    assert not clients.front.can_accept()
    newcomer = clients.connect(ALIVE_LINE)
    answered = []
    for client in usual:
        spin(lambda client=client: answered.append(line_of(client)) or answered[-1])
    spin(clients.front.can_accept)  # the answers are acknowledged
    clients.bed.clock.advance(clients.front.limits.accept_retry_interval)
    spin(lambda: line_of(newcomer))
    assert clients.bed.counters["clients_refused"] == 0


# Guards against the same on the TDS front, whose clients may have a packet that waits for its turn too.
def test_a_tds_client_with_an_unread_login_is_not_evicted(bed):
    front = bed.fronts[1]
    front._max_connections = 2
    connected = [dial(bed.ports[1].getHost().port, TdsClient()) for _ in range(2)]
    spin(lambda: len(front.connections) == 2)
    assert front.can_accept()
    for client in connected:
        client.transport.socket.sendall(b"".join(codec.encode_message(codec.PRELOGIN, codec.encode_prelogin())))
    assert not front.can_accept()
    spin(lambda: all(client.answers for client in connected))
    assert front.can_accept()


# Guards against a client that is taken for gone because it has sent much and reads its answers.
def test_a_client_that_stays_gets_all_its_answers(clients):
    client = clients.connect(ALIVE_LINE * REQUESTS * 3)
    received = []
    spin(lambda: received.append(line_of(client)) or b"".join(received).count(b"\n") == REQUESTS * 3)
    assert clients.bed.counters["clients_gone"] == 0
