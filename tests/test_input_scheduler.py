"""The work on received messages in one event-loop iteration is bounded for all connections together, and shared fairly.

100 clients that withdrew hundreds of requests at once made iterations of up to two seconds: each read of 64 kB was
handled whole, for every connection. 281 to 303 of 802 lookups of other clients were answered more than half a second
after their time. Work is counted in steps, never in time.
"""

import pytest
from harness import LIMITS, EngineServer, TdsClient, dial, spin
from test_crossings_close import ALIVE, ask, site  # noqa: F401 - `site` is a fixture
from twisted.internet import reactor

from rackhub.net.input_scheduler import STEPS_PER_TURN, InputScheduler, message_steps
from rackhub.net.jsonrpc import JsonRpcConnection
from rackhub.net.line_buffer import LineBuffer
from rackhub.net.tds import codec
from rackhub.net.tds.front import TdsConnection

READ_BYTES = LIMITS.socket_read_bytes
MAX_MESSAGE_STEPS = message_steps(LIMITS.max_request_bytes)
FLOODS = 8  # connections that send at full speed
ALIVE_LINE = b'{"jsonrpc":"2.0","id":7,"method":"alive"}\n'
LONG_LINE = b'{"jsonrpc":"2.0","id":8,"method":"alive","more":"%s"}\n' % (b"x" * 9_000)


def withdrawn(count):
    """Return requests with their withdrawals."""
    lines = b""
    for number in range(1, count + 1):
        params = b'"rid":"%016x","budget":3000,"acct":"acme","body":"eA=="' % number
        lines += b'{"jsonrpc":"2.0","id":%d,"method":"lookup","params":{%s}}\n' % (number, params)
        lines += b'{"jsonrpc":"2.0","method":"cancelRequest","params":{"id":%d}}\n' % number
    return lines


def unknown(count):
    """Return requests of ever new classes."""
    return b"".join(b'{"jsonrpc":"2.0","id":%d,"method":"class-%d","params":{}}\n' % (n, n) for n in range(1, count))


JSON_FLOODS = {
    "withdrawn": withdrawn(300),
    "alive": ALIVE_LINE * 1_500,
    "unreadable": b"?\n" * 30_000,
    "empty": b"\n" * 60_000,
    "unknown": unknown(800),
    "long": LONG_LINE * 40,
}


def tds_packet(kind, body=b"", status=codec.EOM):
    return codec.HEADER.pack(kind, status, codec.HEADER.size + len(body), 0, 1, 0) + body


TDS_FLOODS = {
    "unfinished": tds_packet(codec.SQL_BATCH, status=0) * 8_000,
    "ignored": tds_packet(codec.SQL_BATCH, b"abcd", codec.EOM | codec.IGNORE) * 5_000,
    "attentions": tds_packet(codec.ATTENTION) * 8_000,
    "unsupported": tds_packet(codec.SSPI, b"x") * 7_000,
}


class StepCounter:
    """Counts the steps of all connections in each event-loop iteration."""

    def __init__(self, monkeypatch):
        self.steps = 0
        for handler in (JsonRpcConnection, TdsConnection):
            monkeypatch.setattr(handler, "handle_next_message", self._counted(handler.handle_next_message))

    def _counted(self, handle_next_message):
        def counted(connection):
            steps = handle_next_message(connection)
            self.steps += steps
            return steps

        return counted

    def most_in_one_iteration(self, iterations):
        """Run the event loop and return the largest number of steps in one iteration."""
        most = 0
        for _ in range(iterations):
            self.steps = 0
            reactor.iterate(0)
            most = max(most, self.steps)
        return most


def send_all(client, data):
    """Send as much as the sockets take."""
    try:
        client.socket.send(data)
    except BlockingIOError:
        return


# Guards against an iteration that handles a full read of each connection, whatever the messages are.
@pytest.mark.parametrize("flood", JSON_FLOODS)
def test_one_iteration_handles_a_bounded_number_of_lines_of_all_connections(site, monkeypatch, flood):  # noqa: F811
    bed, counter = site(EngineServer()), StepCounter(monkeypatch)
    clients = [bed.client() for _ in range(FLOODS)]
    for client in clients:
        send_all(client, JSON_FLOODS[flood])
    assert 0 < counter.most_in_one_iteration(100) <= LIMITS.max_input_steps + MAX_MESSAGE_STEPS


# Guards against the same on the other front, also by packets that complete no message or are cancelled.
@pytest.mark.parametrize("flood", TDS_FLOODS)
def test_one_iteration_handles_a_bounded_number_of_packets_of_all_connections(site, monkeypatch, flood):  # noqa: F811
    bed = site(EngineServer())
    clients = [dial(bed.ports[1].getHost().port, TdsClient()) for _ in range(FLOODS)]
    for client in clients:
        client.log_in()
    counter = StepCounter(monkeypatch)
    for client in clients:
        client.transport.write(TDS_FLOODS[flood])
    assert 0 < counter.most_in_one_iteration(100) <= LIMITS.max_input_steps + MAX_MESSAGE_STEPS


# Guards against a bound for each front: the two share one event loop.
def test_both_fronts_share_one_bound(site, monkeypatch):  # noqa: F811
    bed = site(EngineServer())
    tds_clients = [dial(bed.ports[1].getHost().port, TdsClient()) for _ in range(FLOODS)]
    for client in tds_clients:
        client.log_in()
    json_clients = [bed.client() for _ in range(FLOODS)]
    counter = StepCounter(monkeypatch)
    for client in json_clients:
        send_all(client, JSON_FLOODS["alive"])
    for client in tds_clients:
        client.transport.write(TDS_FLOODS["ignored"])
    assert 0 < counter.most_in_one_iteration(100) <= LIMITS.max_input_steps + MAX_MESSAGE_STEPS


# Guards against lines that are only thrown away: 60,000 empty ones on an ending connection were handled one by one.
@pytest.mark.parametrize("has_open_request", [False, True])
def test_the_lines_on_an_ending_connection_are_bounded_too(site, monkeypatch, has_open_request):  # noqa: F811
    bed, counter = site(EngineServer()), StepCounter(monkeypatch)
    clients = [bed.client() for _ in range(FLOODS)]
    for number, client in enumerate(clients):
        if has_open_request:
            client.send(ask(1, rid=f"{number:016x}"))
            spin(lambda client=client: client.served_by.open)
        client.served_by.end()
        send_all(client, b"\n" * 60_000)
    most = counter.most_in_one_iteration(100)
    assert most <= LIMITS.max_input_steps + MAX_MESSAGE_STEPS and (most > 0) == has_open_request
    spin(lambda: bed.counters["lines_dropped"] >= FLOODS * 1_000)


# Guards against a request that waits behind what others have sent in excess.
@pytest.mark.parametrize("flood", ["withdrawn", "alive", "long"])
def test_a_client_that_sends_little_comes_before_those_that_send_much(site, flood):  # noqa: F811
    bed = site(EngineServer())
    floods = [bed.client() for _ in range(FLOODS)]
    usual = bed.client()
    for client in floods:
        send_all(client, JSON_FLOODS[flood])
    spin(lambda: sum(client.served_by.input_pending for client in floods) == FLOODS)
    usual.send(ask(1, rid="00000000000000ff", budget=900))
    handled = 0
    while not usual.served_by.open:
        reactor.iterate(0)
        handled += 1
        assert handled <= 3, "the request has waited for others"
    assert any(client.served_by.input_pending for client in floods)


# Guards against a new client that has no share until the backlog is worked off.
def test_the_connections_with_a_backlog_share_the_steps_evenly(site):  # noqa: F811
    bed = site(EngineServer())
    floods = [bed.client() for _ in range(FLOODS)]
    for client in floods:
        send_all(client, ALIVE_LINE * 1_400)
    spin(lambda: all(client.served_by.input_pending for client in floods))
    for _ in range(40):
        reactor.iterate(0)
    waiting = [len(client.served_by._buffer) for client in floods]
    assert min(waiting) > 0 and max(waiting) - min(waiting) <= 2 * STEPS_PER_TURN * len(ALIVE_LINE)


# Guards against input that is handled and never read again, or in another order.
def test_all_messages_are_answered_in_their_order(site):  # noqa: F811
    bed = site()
    clients = [bed.client() for _ in range(3)]
    for client in clients:
        client.send(b"".join(b'{"jsonrpc":"2.0","id":%d,"method":"alive"}\n' % id for id in range(1, 501)))
    for client in clients:
        spin(lambda client=client: len(client.answers()) == 500)
        assert [answer["id"] for answer in client.answers()] == list(range(1, 501))
        client.send(ALIVE)
        spin(lambda client=client: len(client.answers()) == 501)


# Guards against requests of a client that has left behind a backlog: they were begun as long as it lasted.
def test_nothing_is_begun_for_a_client_that_has_left_behind_its_backlog(site):  # noqa: F811
    server = EngineServer()
    bed = site(server)
    client = bed.client()
    backlog = b"".join(b"?\n" * 3 + ALIVE_LINE for _ in range(400))
    client.send(backlog, *[ask(number, rid=f"{number:016x}", budget=900) for number in range(1, 30)])
    spin(lambda: client.served_by.input_pending)
    client.socket.close()
    bed.clock.advance(2 * LIMITS.late_iteration_delay)
    spin(lambda: bed.counters["clients_closed"] == 1 or bed.clock.advance(LIMITS.max_fault_pause), 3_000)
    assert not server.wants()


# ---- the scheduler itself


class FakeSource:
    """A connection with messages of given steps; records the turns."""

    def __init__(self, name, messages, log):
        self.name, self.messages, self.log, self.virtual_time = name, list(messages), log, 0

    def can_handle_input(self):
        return bool(self.messages)

    def discard_if_gone(self):
        return False

    def handle_input(self, max_steps):
        steps = 0
        while self.messages and steps < max_steps:
            steps += self.messages.pop(0)
        self.log.append((self.name, steps))
        return steps

    def input_handled(self):
        pass


class FakeLoop:
    """An event loop whose iterations the test runs."""

    def __init__(self):
        self.calls = []

    def iterate(self):
        calls, self.calls = self.calls, []
        for call in calls:
            call()


def test_a_short_message_does_not_wait_for_long_ones():
    loop, log = FakeLoop(), []
    scheduler = InputScheduler(lambda call: loop.calls.append(call), 64)
    for name in range(10):
        scheduler.submit(FakeSource(name, [65] * 10, log))
    scheduler.submit(FakeSource("short", [1], log))
    for _ in range(12):
        loop.iterate()
    assert log.index(("short", 1)) <= 10 and [name for name, _ in log].count(0) <= 2


def test_a_client_that_was_alone_owes_nothing_to_one_that_comes_later():
    loop, log = FakeLoop(), []
    scheduler = InputScheduler(lambda call: loop.calls.append(call), 64)
    early = FakeSource("early", [1] * 10_000, log)
    scheduler.submit(early)
    for _ in range(100):
        loop.iterate()
    scheduler.submit(FakeSource("late", [1] * 10_000, log))
    log.clear()
    for _ in range(20):
        loop.iterate()
    shares = {name: sum(steps for each, steps in log if each == name) for name in ("early", "late")}
    assert abs(shares["early"] - shares["late"]) <= 2 * STEPS_PER_TURN + 64


def test_a_connection_that_is_lost_has_no_turn():
    loop, log = FakeLoop(), []
    scheduler = InputScheduler(lambda call: loop.calls.append(call), 64)
    scheduler.submit(FakeSource("flood", [64, 64], log))
    gone = FakeSource("gone", [1], log)
    scheduler.submit(gone)
    scheduler.remove(gone)
    for _ in range(3):
        loop.iterate()
    assert log == [("flood", 64), ("flood", 64)]


# Guards against searching an incomplete line again with each piece of it, when it is asked whether one is complete.
def test_a_line_in_single_bytes_is_searched_once():
    buffer = LineBuffer()
    for _ in range(1_000):
        buffer.append(b"x")
        assert not buffer.has_complete_line() and buffer._searched == len(buffer)
    buffer.append(b"\ny")
    assert buffer.has_complete_line() and buffer.take_line() == b"x" * 1_000 and not buffer.has_complete_line()
