"""What client connections keep in memory is bounded, for one connection and for the sum of all.

60 clients that sent lines of one byte at full speed took a process over its 192 MB within four seconds, and it was
killed with 64 to 136 lookups unanswered. Each read of 64 kB held 32,768 such lines, each of which was answered with an
error of 90 bytes before reading was paused.
"""

import sys

import pytest
from harness import MS, EngineServer, spin
from test_crossings_close import ALIVE, LIMITS, ask, site  # noqa: F401 - `site` is a fixture
from test_wire_models import TdsModel
from twisted.internet import reactor

from rackhub.net.buffer_budget import BufferBudget
from rackhub.net.line_buffer import LineBuffer
from rackhub.net.tds import codec

SEND_BUFFER_BYTES = 65_536  # unsent output at which a transport pauses its producer
BLOCKED_ITERATIONS = 100  # without progress; the lines of one read are handled in up to 24 iterations
ANSWER_BYTES = 200  # more than an error or an answer to `alive` has
ALIVE_LINE = b'{"jsonrpc":"2.0","id":7,"method":"alive"}\n'


def send_until_blocked(client, data):
    """Send the data again and again, until the process has stopped reading and the sockets' buffers are full."""
    blocked = 0
    while blocked < BLOCKED_ITERATIONS:
        try:
            client.socket.send(data)
            blocked = 0
        except BlockingIOError:
            blocked += 1
        except ConnectionError:  # the process has reset the connection
            return
        reactor.iterate(0)


# Guards against an error for each of the 32,768 lines of a read: reading was paused only after the last of them.
@pytest.mark.parametrize(
    "line", [b"?\n", b"\n", b'{"jsonrpc":"2.0","id":1,"method":"x"}\n'], ids=["byte", "empty", "class"]
)
def test_unreadable_lines_of_one_read_are_answered_up_to_the_pause(site, line):  # noqa: F811
    bed = site()
    clients = [bed.client() for _ in range(10)]
    for client in clients:
        send_until_blocked(client, line * (SEND_BUFFER_BYTES // len(line)))
    for client in clients:
        assert len(client.answers()) == LIMITS.faults_before_pause + 1
        assert client.served_by.reading_stopped and client.served_by.buffered_bytes() <= 2 * SEND_BUFFER_BYTES
    bed.clock.advance(LIMITS.fault_pause)
    spin(lambda: all(len(client.answers()) == LIMITS.faults_before_pause + 2 for client in clients))


# Guards against answers that are no errors: they are written at once and cause no pause of their own.
def test_answers_to_a_client_that_does_not_read_them_wait_in_its_socket(site):  # noqa: F811
    bed = site()
    client = bed.client()
    send_until_blocked(client, ALIVE_LINE * 1_500)
    assert client.served_by.unsent_bytes() <= SEND_BUFFER_BYTES + ANSWER_BYTES
    handled = bed.counters["alives_in"]
    spin(lambda: client.read() or bed.counters["alives_in"] > handled + 1_500)


# Guards against small answers that take five times their length while they wait, and lines kept after their answer.
def test_unsent_answers_take_memory_in_proportion_to_their_length(site):  # noqa: F811
    bed = site()
    client = bed.client()
    send_until_blocked(client, ALIVE_LINE * 1_500)
    transport = client.served_by.transport
    memory = sys.getsizeof(client.served_by._buffer._data) - len(client.served_by._buffer)  # of lines already taken
    memory += sys.getsizeof(transport.dataBuffer) + sum(map(sys.getsizeof, transport._tempDataBuffer))
    assert len(transport._tempDataBuffer) > 100  # the answers wait unjoined
    assert memory <= 2 * client.served_by.unsent_bytes()


# Guards against the sum of connections that each keep within their own bound.
def test_the_sum_of_all_connections_is_bounded_and_other_clients_are_served(site):  # noqa: F811
    limit = 500_000
    bed = site(max_client_buffer_bytes=limit)
    usual = bed.client()
    for _ in range(8):
        send_until_blocked(bed.client(), ALIVE_LINE * 1_500)
        assert sum(each.buffered_bytes() for each in bed.fronts[0].connections) <= limit
    assert bed.counters["clients_over_budget"] > 0
    usual.send(ALIVE)
    spin(usual.answers)
    assert usual.served_by in bed.fronts[0].connections


def test_a_client_with_faults_is_ended_before_one_that_keeps_more(site):  # noqa: F811
    bed = site(max_client_buffer_bytes=200_000)
    slow, faulty = bed.client(), bed.client()
    send_until_blocked(slow, ALIVE_LINE * 1_500)
    send_until_blocked(faulty, b"?\n" * 20_000)
    other = bed.client()
    send_until_blocked(other, ALIVE_LINE * 1_500)
    assert bed.counters["clients_over_budget"] == 1
    assert faulty.served_by not in bed.fronts[0].connections
    assert {slow.served_by, other.served_by} <= bed.fronts[0].connections


# Guards against a held request that gets more time than its client has left, or none.
def test_a_held_request_is_admitted_later_with_the_time_that_is_left(site):  # noqa: F811
    bed = site(EngineServer())
    client = bed.client()
    sent_at = bed.clock.now()
    client.send(*[b"?\n"] * (LIMITS.faults_before_pause + 1), ask(1, budget=900))
    spin(lambda: client.served_by.reading_stopped)
    assert not bed.core.queries and client.served_by.buffered_bytes() > 0
    bed.clock.advance(LIMITS.fault_pause)
    spin(lambda: bed.core.queries)
    (query,) = bed.core.queries.values()
    assert query.deadline <= sent_at + 900 * MS


# Guards against requests that were read, held, and discarded with the end of their connection.
def test_lines_held_behind_unread_answers_are_handled_before_their_connection_ends(site):  # noqa: F811
    bed = site()
    client = bed.client()
    send_until_blocked(client, ALIVE_LINE * 1_500)
    handled = bed.counters["alives_in"]
    assert client.served_by.has_open_request()
    client.served_by.end()
    assert bed.counters["alives_in"] > handled and bed.counters["lines_dropped"] == 0


# Guards against a request that is admitted when the pause ends, although its client is gone.
def test_lines_held_for_a_connection_that_is_lost_are_not_handled(site):  # noqa: F811
    bed = site(EngineServer())
    client = bed.client()
    client.send(*[b"?\n"] * (LIMITS.faults_before_pause + 1), ask(1))
    spin(lambda: client.served_by.reading_stopped)
    client.served_by.abort()
    spin(lambda: bed.counters["clients_closed"])
    bed.clock.advance(LIMITS.fault_pause)
    assert bed.counters["requests_in"] == 0 and not bed.fronts[0].buffers.total


@pytest.mark.parametrize("pieces", [1, 2, 7, 1_000])
def test_lines_are_the_same_in_pieces_of_any_size(pieces):
    data = b"first\n\nthird line\r\n" + b"x" * 500 + b"\nrest"
    buffer, lines = LineBuffer(), []
    size = -(-len(data) // pieces)
    for start in range(0, len(data), size):
        buffer.append(data[start : start + size])
        while (line := buffer.take_line()) is not None:
            lines.append(line)
    assert lines == data.split(b"\n")[:-1] and len(buffer) == len(b"rest")
    buffer.truncate(2)
    buffer.append(b"\nnext\n")
    assert buffer.has_complete_line() and [buffer.take_line(), buffer.take_line()] == [b"re", b"next"]


# ---- TDS


def logged_in_client():
    """Return the model of a TDS client after its login."""
    client = TdsModel()
    client.begin("ready")
    return client


def packet(kind, body=b""):
    return b"".join(codec.encode_message(kind, body))


def count_responses(client):
    return client.wire.take_output().count(codec.encode_done(codec.DONE_ATTN)) + client.counters["tds_unsupported"]


# Guards against a response to each message of one read, as a message of 8 bytes causes a longer one.
@pytest.mark.parametrize("message", [packet(codec.ATTENTION), packet(codec.SSPI, b"x")], ids=["attention", "invalid"])
def test_tds_messages_of_one_read_are_answered_up_to_the_pause(message):
    client = logged_in_client()
    client.connection.dataReceived(message * 5_000)
    assert count_responses(client) == LIMITS.faults_before_pause + 1
    assert client.connection.reading_stopped
    client.core.clock.advance(LIMITS.fault_pause)
    assert client.counters["tds_attentions"] + client.counters["tds_unsupported"] == LIMITS.faults_before_pause + 2


def test_an_attention_for_each_request_causes_no_pause():
    client = logged_in_client()
    for _ in range(10 * LIMITS.faults_before_pause):
        client.request(split_sizes=[], batch=True)
        client.attention(split_sizes=[])
    assert not client.connection.reading_stopped and not client.connection.faults


# Guards against responses that fill the memory: unlike other fronts, TDS reads on while they are not read.
def test_a_tds_client_that_sends_requests_without_reading_the_responses_is_reset():
    client = logged_in_client()
    client.core.submit = lambda query: query.reply.rejected(query, 100 * MS)
    client.wire.writeSequence = lambda pieces: client.wire.write(b"".join(pieces))  # counted as unsent
    request = packet(codec.SQL_BATCH, codec.encode_sql_batch("SELECT 1 FROM a_3.b"))
    for _ in range(40):
        if not client.wire.aborted:
            client.connection.dataReceived(request * 100)
    assert client.wire.aborted and client.counters["clients_unread"] == 1
    assert client.connection.unsent_bytes() <= LIMITS.max_unsent_response_bytes + 2 * ANSWER_BYTES


def test_the_bytes_of_tds_clients_count_towards_the_sum(monkeypatch):
    client = logged_in_client()
    client.front.buffers = BufferBudget(100_000, client.front._abort_over_budget)
    client.front.connected(client.connection)
    part = codec.HEADER.pack(codec.SQL_BATCH, 0, 30_008, 0, 1, 0) + b"x" * 30_000
    for number in range(1, 4):
        client.connection.dataReceived(part)
        assert client.front.buffers.total == number * 30_000
    client.wire._tempDataBuffer = []
    monkeypatch.setattr(type(client.wire), "_tempDataLen", 0)
    client.connection.dataReceived(part)
    assert client.wire.aborted and client.counters["clients_over_budget"] == 1
