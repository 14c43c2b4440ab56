"""Races on connections to engines: dials, drains, resets, retry windows and malformed answers.

A whole coordinator runs on loopback sockets. Each test fixes the order of events: it runs the reactor only after its
own actions, and advances the clock of the core.
"""

import socket
import tracemalloc
from dataclasses import replace
from functools import partial

import pytest
from harness import CLASSES, LIMITS, MS, SETTINGS, CoordinatorTestBed, EngineServer, RespEngine, S, TdsEngine, spin
from msgspec.structs import replace as limits_with
from twisted.internet import reactor
from twisted.internet.main import CONNECTION_LOST
from twisted.internet.protocol import Protocol

from rackhub import interface as t
from rackhub.core.request import Query
from rackhub.net.resp import EngineConnection
from rackhub.net.resp_protocol import encode_command
from rackhub.net.tds.engine import EngineConnectionState

IDEMPOTENCY_KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
ROWS = b"a\tb\tc\n"
KEYED = replace(SETTINGS, classes=(*CLASSES[:2], replace(CLASSES[2], idempotency_window=S)))
FRAGILE = replace(SETTINGS, classes=(replace(CLASSES[0], idempotency="fragile"), *CLASSES[1:]))


class RecordedReply:
    """Records the answer to a request."""

    marks = reading_paused = may_have_unread_input = False

    def __init__(self):
        self.outcomes = []

    def served(self, query, rows):
        self.outcomes.append(("served", b"".join(rows)))

    def rejected(self, query, backoff):
        self.outcomes.append(("refused", b""))

    def failed(self, query, why):
        self.outcomes.append(("failed", b""))


class DirectTestBed(CoordinatorTestBed):
    """A test bed whose requests are submitted without client connections."""

    def __init__(self, *servers, **more):
        super().__init__(*servers, **more)
        self.request_count, self.rev = 0, 1

    def ask(self, cls="lookup", budget=3 * S, statement=b"select 1"):
        self.request_count += 1
        query = Query(
            f"{self.request_count:016x}",
            cls,
            statement,
            self.clock.now() + budget,
            RecordedReply(),
            tenant="acme",
            idempotency_key=IDEMPOTENCY_KEY if cls == "depot-load" else "",
        )
        self.core.submit(query)
        return query

    def wants(self, query=None):
        """Return the `want` commands that reached an engine, optionally of one request."""
        return [
            command
            for server in self.engines
            for command in server.wants()
            if query is None or command[1] == query.id.encode()
        ]

    def apply_states(self, *states):
        """Apply an endpoint list with the engines in these states; None means that the engine is gone."""
        entries = [t.EngineEntry(f"e{i}", "z", "std", state=state) for i, state in enumerate(states) if state]
        self.rev += 1
        self.core.update_endpoints(entries, self.rev)  # the same order as in the daemon
        self.pools.update_endpoints(
            {f"e{i}": ("127.0.0.1", server.port.getHost().port) for i, server in enumerate(self.engines) if states[i]},
            entries,
        )

    def links(self):
        return [link for pool in (*self.pools.pools.values(), *self.pools.retired) for link in pool.links]


@pytest.fixture
def make_bed(request):
    made = []

    def build(count=2, *, tds=False, on_command=None, **more):
        made.append(
            DirectTestBed(
                *(EngineServer(TdsEngine if tds else RespEngine, on_command) for _ in range(count)),
                tds_engines=tds,
                **more,
            )
        )
        return made[-1]

    yield build
    for bed in made:
        bed.close()


def answer(connection, kind, id, *_):
    """Respond to a request at once."""
    if kind == b"want":
        connection.respond(id, b"200", b"chunks=1", ROWS)


# ---- the retry window


@pytest.mark.parametrize("tds", [False, True])
def test_a_retry_with_a_key_that_waits_for_its_dial_is_not_sent_after_its_window(make_bed, tds):
    bed = make_bed(tds=tds, settings=KEYED)
    query = bed.ask("depot-load", 20 * S)
    spin(lambda: len(bed.wants()) == 1)
    (first,) = query.in_flight.values()
    bed.clock.time += 800 * MS
    bed.core.complete_attempt(first, "RST")  # The second attempt starts its dial within the window.
    bed.clock.advance(0)  # After a late event-loop iteration the retry waits for the next one.
    (second,) = query.in_flight.values()
    assert second.engine != first.engine
    bed.clock.time += 200 * MS  # The dial succeeds after the end of the window.
    spin(lambda: query.closed)
    assert len(bed.wants()) == 1 and [outcome for outcome, _ in query.reply.outcomes] == ["refused"]


def test_the_retry_window_starts_at_the_first_attempt_that_may_have_been_executed(make_bed):
    """An attempt that surely was not executed does not start it."""
    bed = make_bed(3, settings=KEYED)
    query = bed.ask("depot-load", 20 * S)
    (first,) = query.in_flight.values()
    bed.clock.time += 900 * MS
    bed.core.complete_attempt(first, "NOCONN")
    (second,) = query.in_flight.values()
    assert not second.send_by
    bed.core.complete_attempt(second, "RST")
    (third,) = query.in_flight.values()
    assert second.sent_at < third.send_by < second.sent_at + S


@pytest.mark.parametrize("terms", [300 * MS, 20 * S])
def test_the_shorter_of_the_operator_s_and_the_class_s_retry_window_applies(make_bed, terms):
    from rackhub.timings.route_policy import RoutePolicy
    from rackhub.timings.routes import Route
    from rackhub.timings.table import Table

    bed = make_bed(3, settings=KEYED)
    bed.core.request_policy = RoutePolicy(
        Table([Route(cls="depot-load", repeat_within_ms=terms / MS)], KEYED), {"depot-load": 25 * S}, 3
    )
    query = bed.ask("depot-load", 20 * S)
    (first,) = query.in_flight.values()
    bed.core.complete_attempt(first, "RST")
    (second,) = query.in_flight.values()
    assert second.send_by == min(first.sent_at + terms, first.sent_at + S - S // 20)


# ---- clients that disconnect


@pytest.mark.parametrize("cancel", [False, True])
@pytest.mark.parametrize("tds", [False, True])
def test_nothing_is_sent_for_a_client_that_disconnects_during_the_dial(make_bed, tds, cancel):
    """The same holds where the site does not allow cancels, so that the policy cancels nothing."""
    bed = make_bed(1, tds=tds, settings=replace(SETTINGS, cancel=cancel), on_command=answer)
    disconnected = bed.ask()
    bed.core.disconnect_client(disconnected)
    spin(lambda: bed.engines[0].connections)
    connected = bed.ask()
    spin(lambda: connected.closed)
    assert [command[1] for command in bed.wants()] == [connected.id.encode()] and disconnected.reply.outcomes == []
    assert connected.reply.outcomes == [("served", ROWS)]


# ---- outcomes of attempts on lost connections


def open_idle_connection(bed):
    """Return the connection to the only engine, without open attempts."""
    bed.engines[0].on_command = answer
    first = bed.ask("report")
    spin(lambda: first.closed)
    bed.engines[0].on_command = lambda *_: None
    (link,) = bed.links()
    assert link.up and not link.open
    return link


def close_connection(connection):
    """Close the connection at the engine. On return the close is in the kernel, as loopback delivers at once."""
    connection.transport.socket.shutdown(socket.SHUT_RDWR)


def reset_connection(connection):
    """Reset the connection at the engine in the next event-loop iteration, before it reads any socket."""
    connection.transport.abortConnection()


@pytest.mark.parametrize("end_connection", [close_connection, reset_connection])
def test_an_attempt_on_a_connection_that_the_engine_has_just_closed_was_not_executed(make_bed, end_connection):
    """The close is in the kernel but not read yet, so nothing of the new attempt has been sent."""
    bed = make_bed(2, settings=FRAGILE)
    bed.apply_states("Ready", "Terminating")
    link = open_idle_connection(bed)
    bed.apply_states("Ready", "Ready")
    for _ in range(20):  # The policy selects the engine at random.
        query = bed.ask()
        if [attempt.connection for attempt in query.in_flight.values()] == [link]:
            break
    end_connection(bed.engines[0].connections[0])
    bed.engines[1].on_command = answer
    spin(lambda: query.closed)
    assert query.reply.outcomes == [("served", ROWS)]  # The class allows a retry only if the attempt was not executed.
    assert bed.wants(query) == bed.engines[1].wants()[-len(bed.wants(query)) :]


def test_attempts_on_a_lost_connection_end_by_whether_they_were_sent(make_bed):
    """The first attempt was sent completely, the second one not at all."""
    bed = make_bed(1, settings=FRAGILE)
    sent = bed.ask()
    spin(lambda: bed.wants(sent))
    ended, complete_attempt = [], bed.core.complete_attempt
    bed.core.complete_attempt = lambda attempt, outcome, *more: (
        ended.append((attempt.query, outcome)),
        complete_attempt(attempt, outcome, *more),
    )
    queued = bed.ask()
    assert len({attempt.connection for query in (sent, queued) for attempt in query.in_flight.values()}) == 1
    reset_connection(bed.engines[0].connections[0])
    spin(lambda: sent.closed)
    assert ended[:2] == [(sent, "RST"), (queued, "NOCONN")]
    assert sent.reply.outcomes == [("failed", b"")]


def test_an_attempt_sent_only_in_part_on_a_lost_connection_was_not_executed(make_bed):
    """The engine does not read: the kernel accepts complete requests, then a part of the last one."""
    bed = make_bed(1, settings=FRAGILE)
    link = open_idle_connection(bed)
    bed.engines[0].connections[0].transport.pauseProducing()
    bed.engines[0].connections[0].transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    link.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    complete, ended, complete_attempt = [bed.ask()], [], bed.core.complete_attempt
    bed.core.complete_attempt = lambda attempt, outcome, *more: (
        ended.append((attempt.query, outcome)),
        complete_attempt(attempt, outcome, *more),
    )
    spin(lambda: not link._queued)
    while not link._out.buffered_bytes():
        complete.append(bed.ask(statement=b"x" * 40_000))
        spin(lambda: not link._queued)
    incomplete = complete.pop()
    assert complete and 0 < link._out.buffered_bytes() < 40_000
    reset_connection(bed.engines[0].connections[0])
    spin(lambda: any(query is incomplete for query, _ in ended))
    assert (incomplete, "NOCONN") in ended and not any((query, "NOCONN") in ended for query in complete)
    assert all((query, "RST") in ended for query in complete)


@pytest.mark.parametrize("bug", [False, True])
@pytest.mark.parametrize("count,writing", [(24, False), (10, True)])
def test_complete_answers_received_before_a_reset_are_forwarded(make_bed, count, writing, bug):
    """All answers, more than one read returns, are in the kernel with the reset before anything is read.

    If a write is pending too, the reset is reported with the first read.
    """
    bed = make_bed(1, settings=replace(FRAGILE, kind_cores={"std": 64.0}))
    bed.pools._limits = limits_with(LIMITS, max_spread_connections=1)
    link = open_idle_connection(bed)
    (engine,) = bed.engines[0].connections
    queries = [bed.ask() for _ in range(count)]
    assert {attempt.connection for query in queries for attempt in query.in_flight.values()} == {link}
    spin(lambda: all(bed.wants(query) for query in queries))
    body = b"a\tb\t" + b"c" * 5_900 + b"\n"
    received_bytes = b"".join(
        b"".join(encode_command(query.id.encode(), b"200", b"chunks=1", body)) for query in queries
    )
    assert writing or len(received_bytes) > 2 * 65_536
    link.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    engine.transport.socket.sendall(received_bytes)
    assert len(link.transport.socket.recv(1 << 20, socket.MSG_PEEK)) == len(received_bytes)
    reset_connection(engine)
    if writing:
        assert bed.ask().in_flight[0].connection is link
    if bug:  # a transport that reports the reset before reading
        link.transport.doRead = lambda: CONNECTION_LOST
    spin(lambda: all(query.closed for query in queries))
    assert [query.reply.outcomes for query in queries] == [[("failed" if bug else "served", body * (not bug))]] * len(
        queries
    )


# ---- dials, drains and restarts


def connect_in_kernel(bed):
    """Start the dials. The kernel establishes the connections, but the event loop has not seen that yet."""
    reactor.runUntilCurrent()


def attempt_in_flight(query):
    (attempt,) = query.in_flight.values()
    return attempt


@pytest.mark.parametrize("tds", [False, True])
@pytest.mark.parametrize("advance_dial", [lambda bed: None, connect_in_kernel], ids=["dialling", "connected"])
@pytest.mark.parametrize("state", ["Terminating", None])
def test_attempts_queued_for_the_dial_of_a_removed_engine_are_sent_elsewhere_at_once(
    make_bed, tds, advance_dial, state
):
    bed = make_bed(2, tds=tds, on_command=answer, settings=FRAGILE)
    queries = [bed.ask() for _ in range(6)]
    advance_dial(bed)
    bed.apply_states(state, "Ready")
    assert {attempt_in_flight(query).engine for query in queries} == {"e1"}  # No event-loop iteration has run yet.
    spin(lambda: all(query.closed for query in queries))
    assert [query.reply.outcomes for query in queries] == [[("served", ROWS)]] * len(queries)
    assert not bed.engines[0].wants()
    spin(lambda: not bed.pools.retired or not any(pool.links for pool in bed.pools.retired))


def test_attempts_queued_for_the_login_at_a_draining_engine_are_sent_elsewhere(make_bed):
    """Over TDS a connection is up only after its login."""
    bed = make_bed(2, tds=True, on_command=answer, settings=FRAGILE)
    queries = [bed.ask() for _ in range(6)]
    held = []

    class HeldLogin(Protocol):
        def connectionMade(self):
            held.append(self)

    bed.engines[0].factory.buildProtocol = lambda addr: HeldLogin()
    spin(lambda: held and all(link.state != EngineConnectionState.DIALLING for link in bed.links()))
    bed.apply_states("Terminating", "Ready")
    spin(lambda: all(query.closed for query in queries))
    assert [query.reply.outcomes for query in queries] == [[("served", ROWS)]] * len(queries)


@pytest.mark.parametrize("tds", [False, True])
@pytest.mark.parametrize("change", ["drains", "goes", "takes nothing"])
def test_attempts_queued_for_a_blocked_socket_are_sent_elsewhere(make_bed, tds, change):
    """Guards against attempts that are sent to a removed engine when its blocked socket accepts bytes again."""
    bed = make_bed(2, tds=tds, on_command=answer, settings=FRAGILE)
    bed.apply_states("Ready", None)
    first = bed.ask()
    spin(lambda: first.closed)
    if tds:  # over TDS a connection carries one call, and a new one takes its place
        spin(lambda: [link.state for link in bed.links()] == [EngineConnectionState.READY])
    (link,) = bed.links()
    link._out.send = lambda data: False
    query = bed.ask()
    (attempt,) = query.in_flight.values()
    assert attempt.connection is link and attempt.unsent
    for _ in range(3):
        reactor.iterate(0)
    bed.apply_states("Ready", "Ready")
    if change == "takes nothing":
        bed.clock.advance(LIMITS.unwritable_timeout)
        bed.pools.sweep()
    else:
        bed.apply_states("Terminating" if change == "drains" else None, "Ready")
    del link._out.send
    spin(lambda: query.closed)
    assert query.reply.outcomes == [("served", ROWS)]
    assert bed.engines[1].wants() and not bed.wants(query)[1:]


def test_a_connection_opened_after_its_engine_began_to_drain_sends_nothing(make_bed):
    """The connection came up in a late iteration, which defers sending; the new endpoint list comes before that."""
    bed = make_bed(2, on_command=answer, settings=FRAGILE)
    bed.apply_states("Ready", None)
    held, call_after_reads = [], bed.core.timers.call_after_reads
    bed.core.timers.call_after_reads = lambda late, call, *args: (
        held.append(call) if call.__name__ == "_opened" else call_after_reads(late, call, *args)
    )
    query = bed.ask()
    spin(lambda: held)
    bed.core.timers.call_after_reads = call_after_reads
    bed.apply_states("Terminating", "Ready")
    held[0]()
    spin(lambda: query.closed)
    assert query.reply.outcomes == [("served", ROWS)] and not bed.engines[0].wants()


def test_the_engines_of_a_new_list_are_available_to_attempts_returned_by_old_ones(make_bed):
    bed = make_bed(2, on_command=answer, settings=FRAGILE)
    bed.apply_states("Ready", None)
    query = bed.ask()
    bed.apply_states(None, "Ready")
    spin(lambda: query.closed)
    assert query.reply.outcomes == [("served", ROWS)] and bed.counters["out_noconn"] == 1


def test_attempts_in_flight_on_a_draining_engine_end_before_its_connections_close(make_bed):
    bed = make_bed(1)
    query = bed.ask()
    spin(lambda: bed.wants(query))
    bed.apply_states("Terminating")
    (engine,) = bed.engines[0].connections
    engine.respond(query.id.encode(), b"200", b"chunks=2", ROWS)
    spin(lambda: bed.engines[0].received[-1][0] == b"turn")
    engine.respond(query.id.encode(), b"chunk", b"at=1", ROWS)
    spin(lambda: query.closed)
    assert query.reply.outcomes == [("served", 2 * ROWS)]
    spin(lambda: not bed.links())


@pytest.mark.parametrize("tds", [False, True])
def test_a_cancel_is_sent_before_the_delay_of_the_next_attempt_starts(make_bed, tds):
    """Guards against a cancel that waits for the next event-loop iteration.

    After a long iteration the cancel and the next attempt left together, and an engine could read the attempt first.
    """
    bed = make_bed(1, tds=tds)
    query = bed.ask()
    spin(lambda: bed.wants(query))
    (attempt,) = query.in_flight.values()
    before = attempt.connection._out.bytes_written
    bed.core.attempts.cancel(t.Cancel(query.id, 0))
    # No event-loop iteration has run yet.
    assert attempt.connection._out.bytes_written > before and not attempt.connection._out.buffered_bytes()


@pytest.mark.parametrize("address_changed", [False, True])
@pytest.mark.parametrize("tds", [False, True])
def test_a_restarted_engine_gets_no_attempts_on_its_former_connections(make_bed, tds, address_changed):
    """Idle connections close, dials are cancelled, and open attempts end by themselves."""
    bed = make_bed(2, tds=tds, on_command=answer)
    bed.apply_states("Ready", None)
    first = bed.ask()
    spin(lambda: first.closed)
    bed.engines[0].on_command = lambda *_: None
    running = bed.ask()
    spin(lambda: len(bed.wants()) == 2)
    old, queued_attempt = bed.links(), bed.ask()
    while queued_attempt.in_flight[0].connection in old:  # The loop ends with an attempt that waits for a dial.
        queued_attempt = bed.ask()
    entry = t.EngineEntry("e0", "z", "std", started_at=bed.clock.now())
    bed.core.update_endpoints([entry], 9)
    bed.pools.update_endpoints({"e0": ("127.0.0.1", bed.engines[address_changed].port.getHost().port)}, [entry])
    before = sum(len(server.connections) for server in bed.engines)
    for server in bed.engines:
        server.on_command = answer
    assert not running.closed
    spin(lambda: queued_attempt.closed)
    assert queued_attempt.reply.outcomes == [("served", ROWS)]
    assert not any(link in old for pool in bed.pools.pools.values() for link in pool.links)
    assert sum(len(server.connections) for server in bed.engines) > before
    bed.core.disconnect_client(running)
    spin(lambda: not any(link in old for link in bed.links()))


def test_a_connection_whose_attempt_was_cancelled_during_the_dial_is_kept_for_others(make_bed):
    bed = make_bed(2, on_command=answer)
    query = bed.ask()
    first = attempt_in_flight(query)
    connect_in_kernel(bed)
    bed.core.attempts.cancel(t.Cancel(query.id, 0))
    bed.clock.advance(2 * LIMITS.cancellation_delay)
    second = attempt_in_flight(query)
    assert second.engine != first.engine
    spin(lambda: query.closed)
    spin(lambda: first.connection.up)
    spin(lambda: all(server.connections for server in bed.engines))
    assert [command[1] for command in bed.wants()] == [query.id.encode()] and query.reply.outcomes == [("served", ROWS)]
    while (reused := bed.ask()).in_flight[0].connection is not first.connection:
        pass
    spin(lambda: reused.closed)
    assert reused.reply.outcomes == [("served", ROWS)]


def test_connections_that_dial_or_close_count_towards_the_limit(make_bed):
    """Each holds a descriptor until its end. Dials without attempts are cancelled to make room."""
    bed = make_bed(8, limits=limits_with(LIMITS, max_engine_connections=3, max_aborted_connections=2))
    while len(bed.links()) < 3:
        bed.core.disconnect_client(bed.ask())
    bed.clock.advance(2 * LIMITS.cancellation_delay)
    for _ in range(20):
        bed.ask()
        assert len(bed.links()) <= 3 + 2


def test_a_closing_connection_to_an_engine_that_does_not_read_is_reset(make_bed):
    """Guards against a descriptor held for ever by a close that waits for bytes that the engine does not read."""
    bed = make_bed(1)
    link = open_idle_connection(bed)
    bed.engines[0].connections[0].transport.pauseProducing()
    link.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    while not link._out.buffered_bytes():  # Requests are not buffered behind a full socket, cancels are.
        link._out.write(encode_command(b"never_mind", b"%016x" % 99) * 5_000)
        reactor.iterate(0)
    bed.apply_states("Terminating")
    assert link.closed and link.transport.disconnecting
    for _ in range(5):
        bed.pools.sweep()
        reactor.iterate(0)
    assert bed.links() == [link]  # The linger timeout has not passed yet.
    bed.clock.advance(LIMITS.linger_timeout + 1)
    bed.pools.sweep()
    spin(lambda: not bed.links())


# ---- malformed answers


def open_shared_connection(bed, count=3):
    """Return requests whose attempts share one connection and have been received by the engine."""
    bed.pools._limits = limits_with(LIMITS, max_spread_connections=1)
    queries = [bed.ask() for _ in range(count)]
    spin(lambda: all(bed.wants(query) for query in queries))
    assert len({query.in_flight[0].connection for query in queries}) == 1
    return queries


def encode_prefix(id, *more, count=4):
    """Return the first strings of an answer of `count` strings."""
    return b"*%d\r\n" % count + b"".join(b"$%d\r\n%s\r\n" % (len(kind), kind) for kind in (id, *more))


GOOD = b"".join(encode_command(b"2".zfill(16), b"200", b"chunks=1", ROWS))  # a valid answer to the second request
MALFORMED = {
    "a size without end": encode_prefix(b"1".zfill(16), b"200", b"chunks=1") + b"$" + b"1" * 1_000,
    "a size above the limit": encode_prefix(b"1".zfill(16), b"200", b"chunks=1") + b"$999999\r\n",
    "a malformed size": encode_prefix(b"1".zfill(16), b"200", b"chunks=1") + b"$1_0\r\n",
    "too many strings": b"*17\r\n",
    "a frame within a frame": encode_prefix(b"1".zfill(16)) + GOOD,
    "a body longer than its size": encode_prefix(b"1".zfill(16), b"200", b"chunks=1") + b"$5\r\n" + b"x" * 70_000,
    "a result without pages": encode_prefix(b"1".zfill(16), b"200", b"chunks=0", ROWS),
    "a malformed page count": encode_prefix(b"1".zfill(16), b"200", b"chunks=many", ROWS),
}


@pytest.mark.parametrize("received_bytes", MALFORMED.values(), ids=MALFORMED)
def test_a_malformed_answer_ends_all_attempts_on_its_connection_as_executed(make_bed, received_bytes):
    """A valid answer that follows it is not forwarded either."""
    bed = make_bed(1, settings=FRAGILE)
    queries = open_shared_connection(bed)
    bed.engines[0].connections[0].transport.write(received_bytes + GOOD)
    spin(lambda: all(query.closed for query in queries))
    assert [query.reply.outcomes for query in queries] == [[("failed", b"")]] * 3
    assert bed.counters["engine_bad_frames"] == 1 and bed.counters["out_rst"] == 3
    spin(lambda: not bed.links())


TRUNCATED = {
    "in a size": encode_prefix(b"1".zfill(16), b"200", b"chunks=1") + b"$1",
    "in a body": encode_prefix(b"1".zfill(16), b"200", b"chunks=1") + b"$5000\r\n" + b"x" * 1_000,
    "between strings": encode_prefix(b"1".zfill(16), b"200"),
    "before its last byte": encode_prefix(b"1".zfill(16), b"200", b"chunks=1", ROWS)[:-1],
}


@pytest.mark.parametrize("lost", [False, True], ids=["silent", "reset"])
@pytest.mark.parametrize("received_bytes", TRUNCATED.values(), ids=TRUNCATED)
def test_a_truncated_answer_is_not_forwarded(make_bed, received_bytes, lost):
    """The connection is reset, or receives nothing more; a complete answer received before is forwarded."""
    bed = make_bed(1, settings=FRAGILE)
    queries = open_shared_connection(bed)
    (engine,) = bed.engines[0].connections
    engine.transport.socket.sendall(GOOD + received_bytes)
    if lost:
        reset_connection(engine)
    spin(lambda: queries[1].closed and (lost or queries[0].in_flight[0].connection.incomplete_since))
    bed.clock.advance(LIMITS.frame_timeout + 1)
    bed.pools.sweep()
    spin(lambda: all(query.closed for query in queries))
    assert [query.reply.outcomes for query in queries] == [[("failed", b"")], [("served", ROWS)], [("failed", b"")]]


@pytest.mark.parametrize("count", [LIMITS.max_result_pages + 1, 50_000_000, 10**17])
def test_a_result_with_too_many_pages_allocates_nothing_and_ends_one_attempt(make_bed, count):
    bed = make_bed(1, settings=FRAGILE)
    queries = open_shared_connection(bed)
    (engine,) = bed.engines[0].connections
    tracemalloc.start()
    engine.respond(queries[0].id.encode(), b"200", b"chunks=%d" % count, ROWS)
    spin(lambda: queries[0].closed)
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak_bytes < 10_000_000 and queries[0].reply.outcomes == [("failed", b"")]
    spin(lambda: bed.engines[0].received[-1] == (b"shut", queries[0].id.encode()))
    for query in queries[1:]:
        engine.respond(query.id.encode(), b"200", b"chunks=1", ROWS)
    spin(lambda: all(query.closed for query in queries))
    assert [query.reply.outcomes for query in queries[1:]] == [[("served", ROWS)]] * 2


# ---- answers that cross a cancel or a time-out


@pytest.mark.parametrize("bug", [False, True])
def test_an_answer_that_crosses_the_cancel_is_not_credited_to_the_next_attempt(make_bed, bug):
    """Both attempts have the same id and engine; the second one uses another connection."""
    bed = make_bed(1)
    query = bed.ask()
    spin(lambda: bed.wants(query))
    first, id = attempt_in_flight(query), query.id.encode()
    (engine,) = bed.engines[0].connections
    engine.transport.socket.sendall(b"".join(encode_command(id, b"200", b"chunks=1", b"old\told\told\n")))
    bed.core.attempts.cancel(t.Cancel(query.id, 0))
    if bug:
        first.connection.failed_ids.clear()
        query.failed_connections = ()
    bed.clock.advance(2 * LIMITS.cancellation_delay)
    second = attempt_in_flight(query)
    assert second is not first and (second.connection is first.connection) == bug
    if bug:  # A duplicate arrives after the second attempt was sent.
        spin(lambda: bed.counters["engine_strays"] and len(bed.wants(query)) == 2)
        engine.respond(id, b"200", b"chunks=1", b"old\told\told\n")
        spin(lambda: query.closed)
        assert query.reply.outcomes == [("served", b"old\told\told\n")]
        return
    spin(lambda: bed.counters["engine_strays"] and len(bed.wants(query)) == 2)
    engine.respond(id, b"200", b"chunks=1", b"old\told\told\n")  # a duplicate of the late answer
    spin(lambda: bed.counters["engine_strays"] == 2)
    assert not query.closed
    bed.engines[0].connections[1].respond(id, b"200", b"chunks=1", ROWS)
    spin(lambda: query.closed)
    assert query.reply.outcomes == [("served", ROWS)]


@pytest.mark.parametrize("answer_first", [False, True])
def test_of_an_answer_and_a_time_out_in_one_iteration_the_first_counts(make_bed, answer_first):
    """The client gets one answer, the attempt ends once, and nothing is retried."""
    bed = make_bed(2)
    query = bed.ask()
    spin(lambda: bed.wants(query))
    attempt = attempt_in_flight(query)
    engine = next(connection for server in bed.engines for connection in server.connections if server.wants())
    engine.transport.socket.sendall(b"".join(encode_command(query.id.encode(), b"200", b"chunks=1", ROWS)))
    if answer_first:
        reactor.iterate(0.01)
        spin(lambda: query.closed)
    bed.clock.advance(query.deadline - bed.clock.now() + 50 * MS)
    spin(lambda: query.closed)
    spin(lambda: answer_first or attempt.connection not in bed.links())  # The connection is unresponsive.
    bed.clock.advance(S)
    assert len(query.reply.outcomes) == 1 and (query.reply.outcomes[0][0] == "served") == answer_first
    assert attempt.done and not bed.core.in_flight and not bed.core.queries and len(bed.wants(query)) == 1


def test_a_duplicate_answer_ends_no_other_attempt(make_bed):
    """The id of the duplicate is closed, while another request is open on the connection."""
    bed = make_bed(1)
    queries = open_shared_connection(bed, 2)
    (engine,) = bed.engines[0].connections
    for _ in range(2):
        engine.respond(queries[0].id.encode(), b"200", b"chunks=1", ROWS)
    spin(lambda: bed.counters["engine_strays"])
    assert queries[0].reply.outcomes == [("served", ROWS)] and not queries[1].closed
    engine.respond(queries[1].id.encode(), b"200", b"chunks=1", ROWS)
    spin(lambda: queries[1].closed)
    assert queries[1].reply.outcomes == [("served", ROWS)]


def test_nagle_s_algorithm_is_off_on_connections_to_engines(make_bed):
    bed = make_bed(1)
    link = open_idle_connection(bed)
    assert link.transport.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


# ---- injected bugs, which the tests above have to detect


def inject_bug(monkeypatch, name, replacement):
    monkeypatch.setattr(EngineConnection, name, replacement)
    monkeypatch.setitem(globals(), "spin", partial(spin, turns=100))  # The condition never holds, so fail sooner.


def test_an_injected_bug_that_keeps_a_cancelled_attempt_on_its_dial_is_detected(make_bed, monkeypatch):
    inner = EngineConnection.give_up
    inject_bug(monkeypatch, "give_up", lambda self, attempt: inner(self, attempt) if self.up else None)
    with pytest.raises(AssertionError):
        test_a_connection_whose_attempt_was_cancelled_during_the_dial_is_kept_for_others(make_bed)


@pytest.mark.parametrize("received_bytes", MALFORMED.values(), ids=MALFORMED)
def test_an_injected_bug_that_ignores_malformed_frames_is_detected(make_bed, monkeypatch, received_bytes):
    inject_bug(monkeypatch, "malformed", lambda self, bad: None)
    with pytest.raises(AssertionError):
        test_a_malformed_answer_ends_all_attempts_on_its_connection_as_executed(make_bed, received_bytes)


@pytest.mark.parametrize("received_bytes", TRUNCATED.values(), ids=TRUNCATED)
def test_an_injected_bug_that_disables_the_frame_timeout_is_detected(make_bed, monkeypatch, received_bytes):
    inject_bug(monkeypatch, "check_timeouts", lambda self, now: None)
    with pytest.raises(AssertionError):
        test_a_truncated_answer_is_not_forwarded(make_bed, received_bytes, False)


def test_an_injected_bug_that_leaves_nagle_s_algorithm_on_is_detected(make_bed, monkeypatch):
    monkeypatch.setattr("twisted.internet.tcp.Connection.setTcpNoDelay", lambda self, on: None)
    with pytest.raises(AssertionError):
        test_nagle_s_algorithm_is_off_on_connections_to_engines(make_bed)
