"""No attempt starts for a client that has left, although its cancel or close is still unread.

Reading from a client pauses while it does not read its answers, so its cancel or close stays in the kernel. The tests
produce such sequences on real connections, with a clock that they advance.
"""

import random
import select
import socket

import pytest
from harness import LIMITS, MS, CoordinatorTestBed, EngineServer, RespEngine, S, TdsEngine, spin
from test_core import CoordinatorHarness
from test_crossings_requests import (
    RawClient,
    answer_requests,
    is_idle,
    open_engine_connection,
    received_requests,
    run_iteration,
    run_iterations,
    use_policy,
)
from test_gather import Client as GatherClient
from test_gather import Gateway

from rackhub import interface as t
from rackhub.core.request import AttemptState, Query
from rackhub.net.outgoing import SocketWriter

DEPARTURE_TOLERANCE = 100 * MS  # time after its client's departure from which no attempt may be sent
BIG_PAGE = b"".join(b"%040d\tb\tc\n" % number for number in range(100))
RETRY_TIMER = 77
ARRIVAL_TIMEOUT = 10.0  # seconds
SMALL_BUFFER = 16_384  # bytes of a socket's buffers; a few answers fill them


@pytest.fixture
def site(request):
    more = getattr(request, "param", {})
    protocol = TdsEngine if more.get("tds_engines") else RespEngine
    bed = CoordinatorTestBed(EngineServer(protocol), EngineServer(protocol), **more)
    bed.raw = []
    yield bed
    for client in bed.raw:
        client.socket.close()
    bed.close()


def retry_once(event, actions):
    """Return `actions` after a rejection by the engine, and reject the request otherwise: its client may have left."""
    if event.settled:
        return []
    return actions if event.outcome == "FULL" else [t.Reject(event.query, 100 * MS)]


def pause_twice_over_unread_input(site, client):
    """Let the client leave during a long pause in reading, then resume and pause again before anything is read."""
    client.served_by.pauseProducing()
    client.go(1, client.departure_kind)
    site.clock.advance(200 * MS)
    client.served_by.resumeProducing()
    client.served_by.pauseProducing()


# Guards against a tolerance that restarts at each pause in reading while the departure of the client is unread.
@pytest.mark.parametrize("departure", ["close", "cancel"])
@pytest.mark.parametrize("next_attempt", ["at once", "after a backoff", "first"])
def test_no_attempt_starts_for_a_client_that_left_unread_between_two_pauses(site, departure, next_attempt):
    open_engine_connection(site)
    client = RawClient(site)
    client.departure_kind = departure
    retry = [t.Send(f"{1:016x}", "e0")]  # The connection to e0 is up.
    policy = use_policy(
        site,
        lambda event: [t.Timer(205 * MS, RETRY_TIMER)] if next_attempt == "first" else [t.Send(event.query, "e1")],
        AttemptCompleted=lambda event: retry_once(
            event, [t.Timer(5 * MS, RETRY_TIMER)] if next_attempt == "after a backoff" else retry
        ),
        TimerFired=lambda event: retry if event.timer_id == RETRY_TIMER else [],
    )
    client.ask(1)
    spin(lambda: site.core.queries if next_attempt == "first" else received_requests(site))
    pause_twice_over_unread_input(site, client)
    if next_attempt != "first":
        site.engines[1].connections[0].respond(f"{1:016x}".encode(), b"503")
        spin(lambda: site.counters["out_full"])
    site.clock.advance(5 * MS)
    run_iterations(site)
    client.served_by.resumeProducing()
    run_iterations(site)
    assert len(received_requests(site)) == (next_attempt != "first") and is_idle(site)
    assert next_attempt == "at once" or t.TimerFired(RETRY_TIMER) in policy.events


# Guards against rejecting requests of a slow reader without need: a short pause without unread input is tolerated.
@pytest.mark.parametrize("pause", [0, 200 * MS])
def test_a_short_pause_without_unread_input_does_not_defer_attempts(site, pause):
    open_engine_connection(site)
    client = RawClient(site)
    use_policy(
        site,
        lambda event: [t.Send(event.query, "e0")],
        AttemptCompleted=lambda event: retry_once(event, [t.Send(f"{1:016x}", "e1")]),
    )
    client.ask(1)
    spin(lambda: received_requests(site))
    for _ in range(4):  # The send buffer drains and fills again, without unread input.
        client.served_by.pauseProducing()
        site.clock.advance(LIMITS.late_iteration_delay)
        client.served_by.resumeProducing()
        run_iterations(site)
        site.clock.advance(pause)
        run_iterations(site)
    client.served_by.pauseProducing()
    site.engines[0].connections[0].respond(f"{1:016x}".encode(), b"503")
    spin(lambda: len(received_requests(site)) == 2)


# Guards against a shorter budget for a request because of a pause in reading that ended long before it was sent.
def test_a_request_long_after_a_pause_has_its_whole_budget(site):
    open_engine_connection(site)
    client = RawClient(site)
    client.served_by.pauseProducing()
    site.clock.advance(500 * MS)
    client.served_by.resumeProducing()
    run_iterations(site)
    for _ in range(4):
        site.clock.advance(200 * MS)
        run_iterations(site)
    client.ask(1, budget=900)
    RawClient(site).ask(2, budget=900)  # a client without a pause in reading
    spin(lambda: run_iteration(site) or len(received_requests(site)) == 2)
    first, second = (
        {part for part in words[2].split(b",") if part.startswith(b"max=")} for words in received_requests(site)
    )
    assert first == second


# ---- attempts that are queued, deferred or gathered


class BlockedSockets:
    """Blocks the sockets of all connections to engines while `blocked` is true."""

    def __init__(self, monkeypatch):
        self.blocked, send = True, SocketWriter.send
        monkeypatch.setattr(SocketWriter, "send", lambda writer, data: not self.blocked and send(writer, data))


# Guards against a queued attempt that is sent when reading resumes, before the departure of its client is read.
@pytest.mark.parametrize("site", [{}, {"tds_engines": True}], ids=["resp", "tds"], indirect=True)
@pytest.mark.parametrize("leaves", [True, False])
def test_an_attempt_queued_for_a_blocked_socket_waits_until_its_client_is_read(site, monkeypatch, leaves):
    site.engines[0].on_command = answer_requests
    use_policy(site, lambda event: [t.Send(event.query, "e0")])
    RawClient(site).ask(0xFFF)  # opens a connection
    spin(lambda: site.counters["served"] == 1)
    site.engines[0].on_command = lambda *_: None
    site.engines[0].received.clear()
    client, socket_state = RawClient(site), BlockedSockets(monkeypatch)
    client.ask(1)
    spin(lambda: run_iteration(site) or site.core.in_flight)
    (attempt,) = site.core.in_flight.values()
    client.served_by.pauseProducing()
    if leaves:
        client.socket.close()
    site.clock.advance(120 * MS)  # The event loop is not late.
    client.served_by.resumeProducing()
    socket_state.blocked = False
    (link,) = (link for pool in site.pools.pools.values() for link in pool.links if link.load())
    link._on_writable()  # The event of the engine's socket comes first in the iteration.
    assert received_requests(site) == [] and attempt.unsent
    run_iterations(site)
    spin(lambda: run_iteration(site) or len(received_requests(site)) == (not leaves))
    run_iterations(site)
    assert len(received_requests(site)) == (not leaves) and len(site.core.queries) == (not leaves)


# Guards against deferred attempts that are sent when the lease is confirmed, before the client's departure is read.
@pytest.mark.parametrize("leaves", [True, False])
def test_an_attempt_deferred_by_the_lease_waits_until_its_client_is_read(leaves):
    bed = CoordinatorHarness()
    bed.ask()
    (attempt,) = bed.port.sent
    bed.port.sent.clear()
    attempt.state = AttemptState.PENDING
    bed.core.attempts.gate.defer(attempt)
    bed.port.may_have_unread_input = True
    bed.core.attempts.gate.poll_confirmed(bed.clock.now())
    assert bed.port.sent == []
    if leaves:
        bed.core.disconnect_client(attempt.query)
    bed.port.may_have_unread_input = False
    bed.clock.advance(MS)
    assert bed.port.sent == ([] if leaves else [attempt])


# Guards against subrequests that are sent while the departure of the client may be unread.
def test_subrequests_of_a_gather_start_only_while_its_client_is_read():
    gateway = Gateway()
    client = GatherClient()
    client.reading_paused = True
    query = Query("1" * 16, "report", b"SELECT 1", gateway.clock.now() + 3 * S, client, tenant="acme")
    gateway.core.submit(query)
    gateway.clock.advance(3 * S)
    assert gateway.engines.out == [] and not gateway.reactor.tcpClients, "neither here nor at another gateway"
    assert not gateway.core.queries and len(client.said) == 1


# Guards against a TDS front that considers all input read after a full read, which may have left more.
def test_a_full_read_of_a_tds_client_may_leave_unread_input(site):
    site.tds_client()
    (connection,) = site.fronts[1].connections
    connection.may_have_unread_input, connection.unread_input_since = True, site.clock.now() - S
    connection.record_read(LIMITS.socket_read_bytes)
    assert connection.may_have_unread_input
    connection.record_read(LIMITS.socket_read_bytes - 1)
    assert not connection.may_have_unread_input and not connection.unread_input_since


# ---- random sequences


class SlowReader:
    """One random run of a client that reads slowly and leaves at some time, with large answers and many retries."""

    def __init__(self, site, seed):
        self.site, self.random = site, random.Random(seed)
        self.sent, self.gone_at = [], {}
        for server in site.engines:
            server.on_command = self.handle_command
        self.client = RawClient(site)
        self.client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self.client.served_by.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        self.client.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # Its messages arrive without delay.
        self.client.socket.setblocking(False)
        self.delayed, self.pages = [], 10
        self.resumed = 0
        resume = self.client.served_by.resumeProducing

        def count_and_resume():
            self.resumed += 1
            resume()

        self.client.served_by.resumeProducing = count_and_resume
        use_policy(site, self.send, AttemptCompleted=self.handle_completed, TimerFired=self.handle_timer)

    def send(self, event):
        return [t.Send(event.query, self.random.choice(["e0", "e1"]))]

    def handle_completed(self, event):
        if event.settled:
            return []
        if event.outcome != "FULL" or event.attempt == 2:
            return [t.Reject(event.query, 100 * MS)]
        delay = self.random.choice([0, 5, 20, 40, 90, 160]) * MS
        return [t.Timer(delay, int(event.query, 16))] if delay else self.send(event)

    def handle_timer(self, event):
        return [t.Send(f"{event.timer_id:016x}", self.random.choice(["e0", "e1"]))]

    def handle_command(self, connection, kind, id, *rest):
        if kind == b"turn":
            connection.respond(id, b"chunk", b"at=%d" % int(rest[0]), BIG_PAGE)
        elif kind == b"want":
            self.sent.append((int(id, 16), self.site.clock.now()))
            self.delayed.append((connection, id))

    def answer_one(self):
        connection, id = self.delayed.pop(self.random.randrange(len(self.delayed)))
        if self.random.random() < 0.4:
            connection.respond(id, b"503")
        else:
            connection.respond(id, b"200", b"chunks=%d" % self.pages, BIG_PAGE)

    def read_some(self):
        if not self.gone_at.get("close"):
            try:
                self.client.socket.recv(self.random.choice([2_000, 20_000, 60_000]))
            except BlockingIOError:
                pass

    def go(self, step):
        if step > 80 and self.random.random() < 0.6:
            self.client.socket.close()
            self.gone_at["close"] = self.arrived()
        else:
            number = self.random.randrange(1, 17)
            try:
                self.client.cancel(number)
                self.gone_at.setdefault(number, self.arrived())
            except BlockingIOError:
                pass

    def arrived(self):
        """Wait until the message or close of the client is in the coordinator's kernel buffer, and return the time."""
        assert select.select([self.client.served_by.transport.socket], [], [], ARRIVAL_TIMEOUT)[0]
        return self.site.clock.now()

    def fill_or_drain(self):
        """Act as the transport when its buffer fills, drains, or drains and fills again."""
        connection = self.client.served_by
        if connection.reading_stopped:
            connection.resumeProducing()
        if not connection.reading_stopped and self.random.random() < 0.6:
            connection.pauseProducing()

    def run(self):
        for number in range(1, 17):
            self.client.ask(number, budget=5_000)
        for step in range(200):
            for _ in range(self.random.choice([0, 0, 1, 3])):
                self.read_some()
            if self.random.random() < 0.2:
                self.fill_or_drain()
            if self.delayed and self.random.random() < 0.5:
                self.answer_one()
            if self.random.random() < 0.03 and "close" not in self.gone_at:
                self.go(step)
            if self.random.random() < 0.6:
                self.site.clock.time += self.random.choice([1, 3, 8, 15, 25]) * MS
            for _ in range(self.random.choice([1, 1, 2, 4])):
                run_iteration(self.site)

    def check(self):
        for number, at in self.sent:
            gone_at = min(self.gone_at.get("close", at), self.gone_at.get(number, at))
            assert at <= gone_at + DEPARTURE_TOLERANCE, (
                f"request {number}: an attempt was sent {(at - gone_at) // MS} ms after the client left"
            )


@pytest.mark.parametrize("first_seed", [*range(0, 200, 25), 2475])
def test_no_attempt_starts_for_a_slow_reader_that_left_in_random_orders(first_seed):
    resumed = 0
    for seed in range(first_seed, first_seed + 25):
        bed = CoordinatorTestBed(EngineServer(), EngineServer())
        bed.raw = []
        try:
            run = SlowReader(bed, seed)
            run.run()
            run.check()
            resumed += run.resumed
        finally:
            for client in bed.raw:
                client.socket.close()
            bed.close()
    assert resumed >= 25, "the send buffers filled and drained"
