"""Clients whose end may lie unread: reading stops and goes on in bits, and no attempt begins once they have gone.

A client that takes its answers slowly is not read from while its buffer is full. What it sends meanwhile, its cancel or
its close among it, lies in the kernel. The tests play such orders on real connections with a clock of their own.
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

GONE_FOR = 100 * MS  # after its client's end no attempt may begin
BIG_PAGE = b"".join(b"%040d\tb\tc\n" % number for number in range(100))
RETRY_TIMER = 77
ARRIVAL_TIMEOUT = 10.0  # seconds
SMALL_BUFFER = 16_384  # bytes of a socket's buffers, so that a few answers fill them


@pytest.fixture
def site(request):
    more = getattr(request, "param", {})
    protocol = TdsEngine if more.get("tds_engines") else RespEngine
    here = CoordinatorTestBed(EngineServer(protocol), EngineServer(protocol), **more)
    here.raw = []
    yield here
    for client in here.raw:
        client.socket.close()
    here.close()


def retry_once(event, actions):
    """The actions for an attempt that the engine rejected; a request whose client may be gone is rejected."""
    if event.settled:
        return []
    return actions if event.outcome == "FULL" else [t.Reject(event.query, 100 * MS)]


def stop_over_unread_bytes(site, client):
    """Reading has stopped for long; it goes on and stops again before the event loop reads anything."""
    client.served_by.pauseProducing()
    client.go(1, client.way)
    site.clock.advance(200 * MS)
    client.served_by.resumeProducing()
    client.served_by.pauseProducing()


# Guards against a tolerance that begins anew with each stop of reading, while the client's end lies unread.
@pytest.mark.parametrize("how", ["close", "cancel"])
@pytest.mark.parametrize("next_attempt", ["at once", "after a backoff", "first"])
def test_no_attempt_begins_for_a_gone_client_whose_reading_went_on_and_stopped_without_a_read(site, how, next_attempt):
    open_engine_connection(site)
    client = RawClient(site)
    client.way = how
    retry = [t.Send(f"{1:016x}", "e0")]  # whose connection is up
    module = use_policy(
        site,
        lambda event: [t.Timer(205 * MS, RETRY_TIMER)] if next_attempt == "first" else [t.Send(event.query, "e1")],
        AttemptCompleted=lambda event: retry_once(
            event, [t.Timer(5 * MS, RETRY_TIMER)] if next_attempt == "after a backoff" else retry
        ),
        TimerFired=lambda event: retry if event.timer_id == RETRY_TIMER else [],
    )
    client.ask(1)
    spin(lambda: site.core.queries if next_attempt == "first" else received_requests(site))
    stop_over_unread_bytes(site, client)
    if next_attempt != "first":
        site.engines[1].connections[0].respond(f"{1:016x}".encode(), b"503")
        spin(lambda: site.counters["out_full"])
    site.clock.advance(5 * MS)
    run_iterations(site)
    client.served_by.resumeProducing()
    run_iterations(site)
    assert len(received_requests(site)) == (next_attempt != "first") and is_idle(site)
    assert next_attempt == "at once" or t.TimerFired(RETRY_TIMER) in module.events


# Guards against a mend that refuses a slow reader more than it must: a short stop after all was read has its tolerance.
@pytest.mark.parametrize("quiet", [0, 200 * MS])
def test_a_short_stop_of_a_slow_reader_whose_bytes_are_all_read_holds_nothing_back(site, quiet):
    open_engine_connection(site)
    client = RawClient(site)
    use_policy(
        site,
        lambda event: [t.Send(event.query, "e0")],
        AttemptCompleted=lambda event: retry_once(event, [t.Send(f"{1:016x}", "e1")]),
    )
    client.ask(1)
    spin(lambda: received_requests(site))
    for _ in range(4):  # its buffer drains and fills again; nothing lies unread
        client.served_by.pauseProducing()
        site.clock.advance(LIMITS.late_iteration_delay)
        client.served_by.resumeProducing()
        run_iterations(site)
        site.clock.advance(quiet)
        run_iterations(site)
    client.served_by.pauseProducing()
    site.engines[0].connections[0].respond(f"{1:016x}".encode(), b"503")
    spin(lambda: len(received_requests(site)) == 2)


# Guards against a request that is counted as old for a stop of reading that was long over when it was sent.
def test_a_request_that_is_sent_long_after_a_stop_of_reading_has_its_whole_time(site):
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
    RawClient(site).ask(2, budget=900)  # of a client whose reading never stopped
    spin(lambda: run_iteration(site) or len(received_requests(site)) == 2)
    first, second = (
        {part for part in words[2].split(b",") if part.startswith(b"max=")} for words in received_requests(site)
    )
    assert first == second


# ---- other ways to the engine


class FullSocket:
    """Connections to an engine whose socket takes nothing until the test says so."""

    def __init__(self, monkeypatch):
        self.full, send = True, SocketWriter.send
        monkeypatch.setattr(SocketWriter, "send", lambda out, data: not self.full and send(out, data))


# Guards against an attempt that waits for its socket and leaves as reading goes on, before the client's end is read.
@pytest.mark.parametrize("site", [{}, {"tds_engines": True}], ids=["resp", "tds"], indirect=True)
@pytest.mark.parametrize("goes", [True, False])
def test_an_attempt_behind_a_full_socket_waits_until_its_client_is_read_again(site, monkeypatch, goes):
    site.engines[0].on_command = answer_requests
    use_policy(site, lambda event: [t.Send(event.query, "e0")])
    RawClient(site).ask(0xFFF)  # so that a connection is up
    spin(lambda: site.counters["served"] == 1)
    site.engines[0].on_command = lambda *_: None
    site.engines[0].received.clear()
    client, socket_state = RawClient(site), FullSocket(monkeypatch)
    client.ask(1)
    spin(lambda: run_iteration(site) or site.core.in_flight)
    (attempt,) = site.core.in_flight.values()
    client.served_by.pauseProducing()
    if goes:
        client.socket.close()
    site.clock.advance(120 * MS)  # with the event loop in time
    client.served_by.resumeProducing()
    socket_state.full = False
    (link,) = (link for pool in site.pools.pools.values() for link in pool.links if link.load())
    link._writable()  # the iteration's events come in this order: the engine's socket first
    assert received_requests(site) == [] and attempt.unsent
    run_iterations(site)
    spin(lambda: run_iteration(site) or len(received_requests(site)) == (not goes))
    run_iterations(site)
    assert len(received_requests(site)) == (not goes) and len(site.core.queries) == (not goes)


# Guards against held attempts that begin as the endpoint list is confirmed, before their client's end is read.
@pytest.mark.parametrize("goes", [True, False])
def test_an_attempt_held_for_the_endpoint_list_waits_until_its_client_is_read_again(goes):
    here = CoordinatorHarness()
    here.ask()
    (attempt,) = here.port.sent
    here.port.sent.clear()
    attempt.state = AttemptState.PENDING
    here.core.attempts.gate.defer(attempt)
    here.port.may_have_unread_input = True
    here.core.attempts.gate.poll_confirmed(here.clock.now())
    assert here.port.sent == []
    if goes:
        here.core.disconnect_client(attempt.query)
    here.port.may_have_unread_input = False
    here.clock.advance(MS)
    assert here.port.sent == ([] if goes else [attempt])


# Guards against parts of a gathered request that begin while its client's end may lie unread.
def test_the_parts_of_a_gathered_request_begin_only_while_its_client_is_read_from():
    gateway = Gateway()
    client = GatherClient()
    client.reading_paused = True
    query = Query("1" * 16, "report", b"SELECT 1", gateway.clock.now() + 3 * S, client, tenant="acme")
    gateway.core.submit(query)
    gateway.clock.advance(3 * S)
    assert gateway.engines.out == [] and not gateway.reactor.tcpClients, "neither here nor at another gateway"
    assert not gateway.core.queries and len(client.said) == 1


# Guards against a TDS front that takes a full read for all that there was.
def test_a_full_read_of_a_tds_client_is_no_proof_that_all_is_read(site):
    site.tds_client()
    (connection,) = site.fronts[1].connections
    connection.may_have_unread_input, connection.unread_input_since = True, site.clock.now() - S
    connection.record_read(LIMITS.socket_read_bytes)
    assert connection.may_have_unread_input
    connection.record_read(LIMITS.socket_read_bytes - 1)
    assert not connection.may_have_unread_input and not connection.unread_input_since


# ---- random orders


class SlowReader:
    """A run of one client that reads in sips and goes at some time, its answers big and its retries many."""

    def __init__(self, site, seed):
        self.site, self.random = site, random.Random(seed)
        self.begun, self.gone_at = [], {}
        for stand in site.engines:
            stand.on_command = self.engine
        self.client = RawClient(site)
        self.client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self.client.served_by.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        self.client.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # what it does is there at once
        self.client.socket.setblocking(False)
        self.delayed, self.pages = [], 10
        self.resumed = 0
        resume = self.client.served_by.resumeProducing

        def count_and_resume():
            self.resumed += 1
            resume()

        self.client.served_by.resumeProducing = count_and_resume
        use_policy(site, self.send, AttemptCompleted=self.completed, TimerFired=self.timer_fired)

    def send(self, event):
        return [t.Send(event.query, self.random.choice(["e0", "e1"]))]

    def completed(self, event):
        if event.settled:
            return []
        if event.outcome != "FULL" or event.attempt == 2:
            return [t.Reject(event.query, 100 * MS)]
        delay = self.random.choice([0, 5, 20, 40, 90, 160]) * MS
        return [t.Timer(delay, int(event.query, 16))] if delay else self.send(event)

    def timer_fired(self, event):
        return [t.Send(f"{event.timer_id:016x}", self.random.choice(["e0", "e1"]))]

    def engine(self, connection, word, id, *rest):
        if word == b"turn":
            connection.respond(id, b"chunk", b"at=%d" % int(rest[0]), BIG_PAGE)
        elif word == b"want":
            self.begun.append((int(id, 16), self.site.clock.now()))
            self.delayed.append((connection, id))

    def answer_one(self):
        connection, id = self.delayed.pop(self.random.randrange(len(self.delayed)))
        if self.random.random() < 0.4:
            connection.respond(id, b"503")
        else:
            connection.respond(id, b"200", b"chunks=%d" % self.pages, BIG_PAGE)

    def sip(self):
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
        """The time, once what the client did is in the program's kernel buffer: the loopback may take a moment."""
        assert select.select([self.client.served_by.transport.socket], [], [], ARRIVAL_TIMEOUT)[0]
        return self.site.clock.now()

    def fill_or_drain(self):
        """As the transport says when its buffer fills, or drains, or drains and fills again."""
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
                self.sip()
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
        for number, at in self.begun:
            gone_at = min(self.gone_at.get("close", at), self.gone_at.get(number, at))
            assert at <= gone_at + GONE_FOR, (
                f"request {number}: an attempt begun {(at - gone_at) // MS} ms after its end"
            )


@pytest.mark.parametrize("first_seed", [*range(0, 200, 25), 2475])
def test_no_attempt_begins_for_a_gone_slow_reader_in_random_orders(first_seed):
    resumed = 0
    for seed in range(first_seed, first_seed + 25):
        here = CoordinatorTestBed(EngineServer(), EngineServer())
        here.raw = []
        try:
            run = SlowReader(here, seed)
            run.run()
            run.check()
            resumed += run.resumed
        finally:
            for client in here.raw:
                client.socket.close()
            here.close()
    assert resumed >= 25, "the clients' buffers fill and drain"
