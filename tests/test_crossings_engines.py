"""Two events that cross on the way to an engine: dials, drains, resets, windows, spoilt answers.

A whole coordinator on loopback sockets. What has to happen first is made to happen first: the reactor is not turned
until the test has done its part, and the core's clock is the test's.
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

TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
ROWS = b"a\tb\tc\n"
KEYED = replace(SETTINGS, classes=(*CLASSES[:2], replace(CLASSES[2], idempotency_window=S)))
FRAGILE = replace(SETTINGS, classes=(replace(CLASSES[0], idempotency="fragile"), *CLASSES[1:]))


class Answers:
    """Where a request's one answer goes."""

    marks = reading_paused = may_have_unread_input = False

    def __init__(self):
        self.came = []

    def served(self, query, rows):
        self.came.append(("served", b"".join(rows)))

    def rejected(self, query, backoff):
        self.came.append(("refused", b""))

    def failed(self, query, why):
        self.came.append(("failed", b""))


class Here(CoordinatorTestBed):
    """A site that is asked without a client's connection, with its engines' commands in the test's sight."""

    def __init__(self, *stands, **more):
        super().__init__(*stands, **more)
        self.asked, self.rev = 0, 1

    def ask(self, cls="lookup", budget=3 * S, statement=b"select 1"):
        self.asked += 1
        query = Query(
            f"{self.asked:016x}",
            cls,
            statement,
            self.clock.now() + budget,
            Answers(),
            tenant="acme",
            idempotency_key=TOKEN if cls == "depot-load" else "",
        )
        self.core.submit(query)
        return query

    def wants(self, query=None):
        """The `want` of each attempt that reached an engine."""
        return [
            words for stand in self.engines for words in stand.wants() if query is None or words[1] == query.id.encode()
        ]

    def told(self, *states):
        """A list with the engines in these states; None: gone."""
        entries = [t.EngineEntry(f"e{i}", "z", "std", state=state) for i, state in enumerate(states) if state]
        self.rev += 1
        self.core.update_endpoints(entries, self.rev)  # the order of `Daemon._tell_list`
        self.pools.update_endpoints(
            {f"e{i}": ("127.0.0.1", stand.port.getHost().port) for i, stand in enumerate(self.engines) if states[i]},
            entries,
        )

    def links(self):
        return [link for pool in (*self.pools.pools.values(), *self.pools.retired) for link in pool.links]


@pytest.fixture
def make(request):
    made = []

    def build(count=2, *, tds=False, on_command=None, **more):
        made.append(
            Here(
                *(EngineServer(TdsEngine if tds else RespEngine, on_command) for _ in range(count)),
                tds_engines=tds,
                **more,
            )
        )
        return made[-1]

    yield build
    for here in made:
        here.close()


def answer(connection, word, id, *_):
    """An engine that serves at once."""
    if word == b"want":
        connection.respond(id, b"200", b"chunks=1", ROWS)


# ---- the window for repeats


@pytest.mark.parametrize("tds", [False, True])
def test_a_keyed_repeat_that_waits_for_its_dial_leaves_within_the_window_of_its_class_or_not_at_all(make, tds):
    here = make(tds=tds, settings=KEYED)
    query = here.ask("depot-load", 20 * S)
    spin(lambda: len(here.wants()) == 1)
    (first,) = query.in_flight.values()
    here.clock.time += 800 * MS
    here.core.complete_attempt(first, "RST")  # within the window: the second one begins to dial
    here.clock.advance(0)  # the loop had stood still: only once it has turned
    (second,) = query.in_flight.values()
    assert second.engine != first.engine
    here.clock.time += 200 * MS  # and is through when the window is over
    spin(lambda: query.closed)
    assert len(here.wants()) == 1 and [how for how, _ in query.reply.came] == ["refused"]


def test_the_window_runs_from_the_first_attempt_that_may_have_run(make):
    """One that surely never ran is no start of it."""
    here = make(3, settings=KEYED)
    query = here.ask("depot-load", 20 * S)
    (first,) = query.in_flight.values()
    here.clock.time += 900 * MS
    here.core.complete_attempt(first, "NOCONN")
    (second,) = query.in_flight.values()
    assert not second.send_by
    here.core.complete_attempt(second, "RST")
    (third,) = query.in_flight.values()
    assert second.sent_at < third.send_by < second.sent_at + S


@pytest.mark.parametrize("terms", [300 * MS, 20 * S])
def test_of_the_operators_window_and_that_of_the_class_the_shorter_holds(make, terms):
    from rackhub.timings.route_policy import RoutePolicy
    from rackhub.timings.routes import Route
    from rackhub.timings.table import Table

    here = make(3, settings=KEYED)
    here.core.request_policy = RoutePolicy(
        Table([Route(cls="depot-load", repeat_within_ms=terms / MS)], KEYED), {"depot-load": 25 * S}, 3
    )
    query = here.ask("depot-load", 20 * S)
    (first,) = query.in_flight.values()
    here.core.complete_attempt(first, "RST")
    (second,) = query.in_flight.values()
    assert second.send_by == min(first.sent_at + terms, first.sent_at + S - S // 20)


# ---- clients that go


@pytest.mark.parametrize("cancel", [False, True])
@pytest.mark.parametrize("tds", [False, True])
def test_nothing_leaves_for_a_client_that_went_while_the_dial_was_under_way(make, tds, cancel):
    """Also where the site allows no cancel, and so the module calls nothing off."""
    here = make(1, tds=tds, settings=replace(SETTINGS, cancel=cancel), on_command=answer)
    gone = here.ask()
    here.core.disconnect_client(gone)
    spin(lambda: here.engines[0].connections)
    stays = here.ask()
    spin(lambda: stays.closed)
    assert [words[1] for words in here.wants()] == [stays.id.encode()] and gone.reply.came == []
    assert stays.reply.came == [("served", ROWS)]


# ---- what a lost connection proves


def rest(here):
    """A connection to the one engine on which nothing is open."""
    here.engines[0].on_command = answer
    first = here.ask("report")
    spin(lambda: first.closed)
    here.engines[0].on_command = lambda *_: None
    (link,) = here.links()
    assert link.up and not link.open
    return link


def shut(connection):
    """The engine's end closes, without a turn of the loop: what it says is in this machine's kernel when this returns.
    Loopback delivers within the call."""
    connection.transport.socket.shutdown(socket.SHUT_RDWR)


def reset(connection):
    """In the next turn, before that looks at any socket."""
    connection.transport.abortConnection()


@pytest.mark.parametrize("end", [shut, reset])
def test_what_is_sent_on_a_connection_that_its_engine_has_just_closed_surely_never_ran(make, end):
    """The close is in the kernel, and the loop has not read it: nothing of the new attempt has left."""
    here = make(2, settings=FRAGILE)
    here.told("Ready", "Terminating")
    link = rest(here)
    here.told("Ready", "Ready")
    for _ in range(20):  # to whichever engine it goes: the module draws
        query = here.ask()
        if [attempt.connection for attempt in query.in_flight.values()] == [link]:
            break
    end(here.engines[0].connections[0])
    here.engines[1].on_command = answer
    spin(lambda: query.closed)
    assert query.reply.came == [("served", ROWS)]  # of a class that is tried again only on proof
    assert here.wants(query) == here.engines[1].wants()[-len(here.wants(query)) :]


def test_of_the_attempts_on_a_lost_connection_each_is_told_by_what_has_left_of_it(make):
    """The first one has left whole, a second one has not begun to: the connection is lost under both."""
    here = make(1, settings=FRAGILE)
    ran = here.ask()
    spin(lambda: here.wants(ran))
    ends, told = [], here.core.complete_attempt
    here.core.complete_attempt = lambda attempt, how, *more: (
        ends.append((attempt.query, how)),
        told(attempt, how, *more),
    )
    queued = here.ask()
    assert len({attempt.connection for query in (ran, queued) for attempt in query.in_flight.values()}) == 1
    reset(here.engines[0].connections[0])
    spin(lambda: ran.closed)
    assert ends[:2] == [(ran, "RST"), (queued, "NOCONN")]
    assert ran.reply.came == [("failed", b"")]


def test_a_connection_that_is_refused_room_half_way_through_an_attempt_proves_that_it_never_ran(make):
    """An engine that reads nothing: what the kernel takes is gone, and what it took a part of can't be read."""
    here = make(1, settings=FRAGILE)
    link = rest(here)
    here.engines[0].connections[0].transport.pauseProducing()
    here.engines[0].connections[0].transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    link.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    whole, ends, told = [here.ask()], [], here.core.complete_attempt
    here.core.complete_attempt = lambda attempt, how, *more: (
        ends.append((attempt.query, how)),
        told(attempt, how, *more),
    )
    spin(lambda: not link._queued)
    while not link._out.buffered_bytes():
        whole.append(here.ask(statement=b"x" * 40_000))
        spin(lambda: not link._queued)
    part = whole.pop()
    assert whole and 0 < link._out.buffered_bytes() < 40_000
    reset(here.engines[0].connections[0])
    spin(lambda: any(query is part for query, _ in ends))
    assert (part, "NOCONN") in ends and not any((query, "NOCONN") in ends for query in whole)
    assert all((query, "RST") in ends for query in whole)


@pytest.mark.parametrize("planted", [False, True])
@pytest.mark.parametrize("count,writing", [(24, False), (10, True)])
def test_an_answer_that_came_whole_before_a_reset_is_passed_on(make, count, writing, planted):
    """All are in the kernel with the reset before the loop reads any, more of them than one read takes. Where something
    is to be written as well, the reset shows with the first read."""
    here = make(1, settings=replace(FRAGILE, kind_cores={"std": 64.0}))
    here.pools._limits = limits_with(LIMITS, max_spread_connections=1)
    link = rest(here)
    (engine,) = here.engines[0].connections
    queries = [here.ask() for _ in range(count)]
    assert {attempt.connection for query in queries for attempt in query.in_flight.values()} == {link}
    spin(lambda: all(here.wants(query) for query in queries))
    body = b"a\tb\t" + b"c" * 5_900 + b"\n"
    said = b"".join(b"".join(encode_command(query.id.encode(), b"200", b"chunks=1", body)) for query in queries)
    assert writing or len(said) > 2 * 65_536
    link.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    engine.transport.socket.sendall(said)
    assert len(link.transport.socket.recv(1 << 20, socket.MSG_PEEK)) == len(said)
    reset(engine)
    if writing:
        assert here.ask().in_flight[0].connection is link
    if planted:  # a reader that takes the reset first
        link.transport.doRead = lambda: CONNECTION_LOST
    spin(lambda: all(query.closed for query in queries))
    assert [query.reply.came for query in queries] == [
        [("failed" if planted else "served", body * (not planted))]
    ] * len(queries)


# ---- dials, drains and new starts


def under_way(here):
    """The dials go out, and the kernel makes the connections; the loop has not looked at them."""
    reactor.runUntilCurrent()


def one_out(query):
    (attempt,) = query.in_flight.values()
    return attempt


@pytest.mark.parametrize("tds", [False, True])
@pytest.mark.parametrize("begun", [lambda here: None, under_way], ids=["dialling", "connected"])
@pytest.mark.parametrize("state", ["Terminating", None])
def test_what_waits_for_a_dial_of_an_engine_that_drains_or_goes_is_sent_elsewhere_at_once(make, tds, begun, state):
    here = make(2, tds=tds, on_command=answer, settings=FRAGILE)
    queries = [here.ask() for _ in range(6)]
    begun(here)
    here.told(state, "Ready")
    assert {one_out(query).engine for query in queries} == {"e1"}  # before any turn of the loop
    spin(lambda: all(query.closed for query in queries))
    assert [query.reply.came for query in queries] == [[("served", ROWS)]] * len(queries)
    assert not here.engines[0].wants()
    spin(lambda: not here.pools.retired or not any(pool.links for pool in here.pools.retired))


def test_what_waits_for_the_login_at_an_engine_that_drains_is_sent_elsewhere_at_once(make):
    """Over TDS the dial is not the whole way."""
    here = make(2, tds=True, on_command=answer, settings=FRAGILE)
    queries = [here.ask() for _ in range(6)]
    held = []

    class Held(Protocol):
        def connectionMade(self):
            held.append(self)

    here.engines[0].factory.buildProtocol = lambda addr: Held()
    spin(lambda: held and all(link.state != EngineConnectionState.DIALLING for link in here.links()))
    here.told("Terminating", "Ready")
    spin(lambda: all(query.closed for query in queries))
    assert [query.reply.came for query in queries] == [[("served", ROWS)]] * len(queries)


@pytest.mark.parametrize("tds", [False, True])
@pytest.mark.parametrize("how", ["drains", "goes", "takes nothing"])
def test_what_waits_for_the_socket_of_an_engine_is_sent_elsewhere(make, tds, how):
    """Its connection stands, and the socket takes nothing. What had been put on it left when it took bytes again."""
    here = make(2, tds=tds, on_command=answer, settings=FRAGILE)
    here.told("Ready", None)
    first = here.ask()
    spin(lambda: first.closed)
    (link,) = here.links()
    link._out.send = lambda data: False
    query = here.ask()
    (attempt,) = query.in_flight.values()
    assert attempt.connection is link and attempt.unsent
    for _ in range(3):
        reactor.iterate(0)
    here.told("Ready", "Ready")
    if how == "takes nothing":
        here.clock.advance(LIMITS.unwritable_timeout)
        here.pools.sweep()
    else:
        here.told("Terminating" if how == "drains" else None, "Ready")
    del link._out.send
    spin(lambda: query.closed)
    assert query.reply.came == [("served", ROWS)]
    assert here.engines[1].wants() and not here.wants(query)[1:]


def test_a_connection_opened_late_writes_nothing_to_an_engine_that_has_drained_meanwhile(make):
    """It came up in a late turn, so that what waited for it was held for three turns; the list came in between."""
    here = make(2, on_command=answer, settings=FRAGILE)
    here.told("Ready", None)
    held, call_after_reads = [], here.core.timers.call_after_reads
    here.core.timers.call_after_reads = lambda late, call, *args: (
        held.append(call) if call.__name__ == "_opened" else call_after_reads(late, call, *args)
    )
    query = here.ask()
    spin(lambda: held)
    here.core.timers.call_after_reads = call_after_reads
    here.told("Terminating", "Ready")
    held[0]()
    spin(lambda: query.closed)
    assert query.reply.came == [("served", ROWS)] and not here.engines[0].wants()


def test_of_a_list_the_new_engines_are_there_before_what_waited_for_the_old_ones_is_sent_on(make):
    here = make(2, on_command=answer, settings=FRAGILE)
    here.told("Ready", None)
    query = here.ask()
    here.told(None, "Ready")
    spin(lambda: query.closed)
    assert query.reply.came == [("served", ROWS)] and here.counters["out_noconn"] == 1


def test_what_runs_on_an_engine_that_drains_ends_there_and_then_its_connections_close(make):
    here = make(1)
    query = here.ask()
    spin(lambda: here.wants(query))
    here.told("Terminating")
    (engine,) = here.engines[0].connections
    engine.respond(query.id.encode(), b"200", b"chunks=2", ROWS)
    spin(lambda: here.engines[0].received[-1][0] == b"turn")
    engine.respond(query.id.encode(), b"chunk", b"at=1", ROWS)
    spin(lambda: query.closed)
    assert query.reply.came == [("served", 2 * ROWS)]
    spin(lambda: not here.links())


@pytest.mark.parametrize("tds", [False, True])
def test_a_give_up_has_left_before_the_time_to_the_next_attempt_begins(make, tds):
    """It waited for the next turn of the loop. Where that turn was longer than the hand-over, the give-up and the
    attempt after it left one right behind the other, and an engine could read the second one first."""
    here = make(1, tds=tds)
    query = here.ask()
    spin(lambda: here.wants(query))
    (attempt,) = query.in_flight.values()
    before = attempt.connection._out.bytes_written
    here.core.attempts.cancel(t.Cancel(query.id, 0))
    assert (
        attempt.connection._out.bytes_written > before and not attempt.connection._out.buffered_bytes()
    )  # before any turn of the loop


@pytest.mark.parametrize("moved", [False, True])
@pytest.mark.parametrize("tds", [False, True])
def test_an_engine_that_comes_back_under_its_id_gets_nothing_on_connections_of_before(make, tds, moved):
    """It has a new start and its old address, or another one: what rests is closed, what dials is called off, what is
    open ends on its own."""
    here = make(2, tds=tds, on_command=answer)
    here.told("Ready", None)
    first = here.ask()
    spin(lambda: first.closed)
    here.engines[0].on_command = lambda *_: None
    runs = here.ask()
    spin(lambda: len(here.wants()) == 2)
    old, waits = here.links(), here.ask()
    while waits.in_flight[0].connection in old:  # one that waits for a dial
        waits = here.ask()
    entry = t.EngineEntry("e0", "z", "std", started_at=here.clock.now())
    here.core.update_endpoints([entry], 9)
    here.pools.update_endpoints({"e0": ("127.0.0.1", here.engines[moved].port.getHost().port)}, [entry])
    before = sum(len(stand.connections) for stand in here.engines)
    for stand in here.engines:
        stand.on_command = answer
    assert not runs.closed
    spin(lambda: waits.closed)
    assert waits.reply.came == [("served", ROWS)]
    assert not any(link in old for pool in here.pools.pools.values() for link in pool.links)
    assert sum(len(stand.connections) for stand in here.engines) > before
    here.core.disconnect_client(runs)
    spin(lambda: not any(link in old for link in here.links()))


def test_a_dial_that_ends_after_its_attempt_was_moved_is_kept_and_not_used_for_it(make):
    here = make(2, on_command=answer)
    query = here.ask()
    first = one_out(query)
    under_way(here)
    here.core.attempts.cancel(t.Cancel(query.id, 0))
    here.clock.advance(2 * LIMITS.cancellation_delay)
    second = one_out(query)
    assert second.engine != first.engine
    spin(lambda: query.closed)
    spin(lambda: first.connection.up)
    spin(lambda: all(stand.connections for stand in here.engines))
    assert [words[1] for words in here.wants()] == [query.id.encode()] and query.reply.came == [("served", ROWS)]
    while (later := here.ask()).in_flight[0].connection is not first.connection:
        pass
    spin(lambda: later.closed)
    assert later.reply.came == [("served", ROWS)]


def test_connections_that_dial_or_close_make_no_room_twice(make):
    """Each holds a descriptor until it has ended. What dials with nothing to carry any more is called off."""
    here = make(8, limits=limits_with(LIMITS, max_engine_connections=3, max_aborted_connections=2))
    while len(here.links()) < 3:
        here.core.disconnect_client(here.ask())
    here.clock.advance(2 * LIMITS.cancellation_delay)
    for _ in range(20):
        here.ask()
        assert len(here.links()) <= 3 + 2


def test_a_connection_that_closes_over_an_engine_that_reads_nothing_is_cut(make):
    """The close waits for the last bytes to leave, and they never do: its descriptor would be held for good."""
    here = make(1)
    link = rest(here)
    here.engines[0].connections[0].transport.pauseProducing()
    link.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    while not link._out.buffered_bytes():  # no request stays behind a full socket, but what calls requests off does
        link._out.write(encode_command(b"never_mind", b"%016x" % 99) * 5_000)
        reactor.iterate(0)
    here.told("Terminating")
    assert link.closed and link.transport.disconnecting
    for _ in range(5):
        here.pools.sweep()
        reactor.iterate(0)
    assert here.links() == [link]  # it has its time
    here.clock.advance(LIMITS.linger_timeout + 1)
    here.pools.sweep()
    spin(lambda: not here.links())


# ---- spoilt answers


def shared(here, count=3):
    """Requests that share one connection, each with its attempt at the engine."""
    here.pools._limits = limits_with(LIMITS, max_spread_connections=1)
    queries = [here.ask() for _ in range(count)]
    spin(lambda: all(here.wants(query) for query in queries))
    assert len({query.in_flight[0].connection for query in queries}) == 1
    return queries


def written(id, *more, count=4):
    """The first parts of an answer of `count` parts."""
    return b"*%d\r\n" % count + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in (id, *more))


GOOD = b"".join(encode_command(b"2".zfill(16), b"200", b"chunks=1", ROWS))  # of the second of those that share
SPOILT = {
    "a number with no end": written(b"1".zfill(16), b"200", b"chunks=1") + b"$" + b"1" * 1_000,
    "a number beyond its bound": written(b"1".zfill(16), b"200", b"chunks=1") + b"$999999\r\n",
    "a number that is none": written(b"1".zfill(16), b"200", b"chunks=1") + b"$1_0\r\n",
    "too many parts": b"*17\r\n",
    "a frame within a frame": written(b"1".zfill(16)) + GOOD,
    "a body with no end": written(b"1".zfill(16), b"200", b"chunks=1") + b"$5\r\n" + b"x" * 70_000,
    "pages that are none": written(b"1".zfill(16), b"200", b"chunks=0", ROWS),
    "a count that is none": written(b"1".zfill(16), b"200", b"chunks=many", ROWS),
}


@pytest.mark.parametrize("said", SPOILT.values(), ids=SPOILT)
def test_an_answer_that_can_t_be_read_ends_what_shares_its_connection_as_having_run(make, said):
    """Nothing that follows it is credited, also not where it would make an answer."""
    here = make(1, settings=FRAGILE)
    queries = shared(here)
    here.engines[0].connections[0].transport.write(said + GOOD)
    spin(lambda: all(query.closed for query in queries))
    assert [query.reply.came for query in queries] == [[("failed", b"")]] * 3
    assert here.counters["engine_bad_frames"] == 1 and here.counters["out_rst"] == 3
    spin(lambda: not here.links())


CUT = {
    "in a number": written(b"1".zfill(16), b"200", b"chunks=1") + b"$1",
    "in a body": written(b"1".zfill(16), b"200", b"chunks=1") + b"$5000\r\n" + b"x" * 1_000,
    "between its parts": written(b"1".zfill(16), b"200"),
    "before its end": written(b"1".zfill(16), b"200", b"chunks=1", ROWS)[:-1],
}


@pytest.mark.parametrize("lost", [False, True], ids=["silent", "reset"])
@pytest.mark.parametrize("said", CUT.values(), ids=CUT)
def test_an_answer_that_is_cut_off_is_no_answer(make, said, lost):
    """The connection is lost, or nothing more comes on it; what came whole before it is passed on."""
    here = make(1, settings=FRAGILE)
    queries = shared(here)
    (engine,) = here.engines[0].connections
    engine.transport.socket.sendall(GOOD + said)
    if lost:
        reset(engine)
    spin(lambda: queries[1].closed and (lost or queries[0].in_flight[0].connection.incomplete_since))
    here.clock.advance(LIMITS.frame_timeout + 1)
    here.pools.sweep()
    spin(lambda: all(query.closed for query in queries))
    assert [query.reply.came for query in queries] == [[("failed", b"")], [("served", ROWS)], [("failed", b"")]]


@pytest.mark.parametrize("count", [LIMITS.max_result_pages + 1, 50_000_000, 10**17])
def test_a_result_of_more_pages_than_one_may_have_costs_nothing_and_ends_one_attempt(make, count):
    here = make(1, settings=FRAGILE)
    queries = shared(here)
    (engine,) = here.engines[0].connections
    tracemalloc.start()
    engine.respond(queries[0].id.encode(), b"200", b"chunks=%d" % count, ROWS)
    spin(lambda: queries[0].closed)
    most = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert most < 10_000_000 and queries[0].reply.came == [("failed", b"")]
    spin(lambda: here.engines[0].received[-1] == (b"shut", queries[0].id.encode()))
    for query in queries[1:]:
        engine.respond(query.id.encode(), b"200", b"chunks=1", ROWS)
    spin(lambda: all(query.closed for query in queries))
    assert [query.reply.came for query in queries[1:]] == [[("served", ROWS)]] * 2


# ---- ends that cross


@pytest.mark.parametrize("planted", [False, True])
def test_an_answer_that_crossed_the_give_up_is_not_taken_for_that_of_the_next_attempt(make, planted):
    """Both are on the same engine, under the same id: the second one takes another connection."""
    here = make(1)
    query = here.ask()
    spin(lambda: here.wants(query))
    first, id = one_out(query), query.id.encode()
    (engine,) = here.engines[0].connections
    engine.transport.socket.sendall(b"".join(encode_command(id, b"200", b"chunks=1", b"old\told\told\n")))
    here.core.attempts.cancel(t.Cancel(query.id, 0))
    if planted:
        first.connection.failed_ids.clear()
    here.clock.advance(2 * LIMITS.cancellation_delay)
    second = one_out(query)
    assert second is not first and (second.connection is first.connection) == planted
    if planted:  # the first copy is read before the second attempt is sent; a further one is not
        spin(lambda: here.counters["engine_strays"] and len(here.wants(query)) == 2)
        engine.respond(id, b"200", b"chunks=1", b"old\told\told\n")
        spin(lambda: query.closed)
        assert query.reply.came == [("served", b"old\told\told\n")]
        return
    spin(lambda: here.counters["engine_strays"] and len(here.wants(query)) == 2)
    engine.respond(id, b"200", b"chunks=1", b"old\told\told\n")  # and a second copy of it
    spin(lambda: here.counters["engine_strays"] == 2)
    assert not query.closed
    here.engines[0].connections[1].respond(id, b"200", b"chunks=1", ROWS)
    spin(lambda: query.closed)
    assert query.reply.came == [("served", ROWS)]


@pytest.mark.parametrize("answer_first", [False, True])
def test_of_an_answer_and_a_time_out_in_one_turn_the_first_counts(make, answer_first):
    """One answer to the client, one end of the attempt, nothing sent again."""
    here = make(2)
    query = here.ask()
    spin(lambda: here.wants(query))
    attempt = one_out(query)
    engine = next(connection for stand in here.engines for connection in stand.connections if stand.wants())
    engine.transport.socket.sendall(b"".join(encode_command(query.id.encode(), b"200", b"chunks=1", ROWS)))
    if answer_first:
        reactor.iterate(0.01)
        spin(lambda: query.closed)
    here.clock.advance(query.deadline - here.clock.now() + 50 * MS)
    spin(lambda: query.closed)
    spin(lambda: answer_first or attempt.connection not in here.links())  # nothing was heard on it for so long
    here.clock.advance(S)
    assert len(query.reply.came) == 1 and (query.reply.came[0][0] == "served") == answer_first
    assert attempt.done and not here.core.in_flight and not here.core.queries and len(here.wants(query)) == 1


def test_a_second_copy_of_an_answer_ends_nothing(make):
    """It comes under an id that is over, beside one of a request that is open."""
    here = make(1)
    queries = shared(here, 2)
    (engine,) = here.engines[0].connections
    for _ in range(2):
        engine.respond(queries[0].id.encode(), b"200", b"chunks=1", ROWS)
    spin(lambda: here.counters["engine_strays"])
    assert queries[0].reply.came == [("served", ROWS)] and not queries[1].closed
    engine.respond(queries[1].id.encode(), b"200", b"chunks=1", ROWS)
    spin(lambda: queries[1].closed)
    assert queries[1].reply.came == [("served", ROWS)]


def test_small_writes_to_an_engine_are_not_held_back(make):
    here = make(1)
    link = rest(here)
    assert link.transport.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


# ---- planted mistakes: each of these tests can fail


def unheeded(monkeypatch, name, instead):
    monkeypatch.setattr(EngineConnection, name, instead)
    monkeypatch.setitem(globals(), "spin", partial(spin, turns=100))  # what the plant keeps from coming never comes


def test_a_planted_give_up_that_leaves_the_attempt_with_its_dial_is_seen(make, monkeypatch):
    inner = EngineConnection.give_up
    unheeded(monkeypatch, "give_up", lambda self, attempt: inner(self, attempt) if self.up else None)
    with pytest.raises(AssertionError):
        test_a_dial_that_ends_after_its_attempt_was_moved_is_kept_and_not_used_for_it(make)


@pytest.mark.parametrize("said", SPOILT.values(), ids=SPOILT)
def test_a_planted_reader_that_goes_on_after_a_bad_frame_is_seen(make, monkeypatch, said):
    unheeded(monkeypatch, "malformed", lambda self, bad: None)
    with pytest.raises(AssertionError):
        test_an_answer_that_can_t_be_read_ends_what_shares_its_connection_as_having_run(make, said)


@pytest.mark.parametrize("said", CUT.values(), ids=CUT)
def test_a_planted_patience_without_end_with_half_a_frame_is_seen(make, monkeypatch, said):
    unheeded(monkeypatch, "check_timeouts", lambda self, now: None)
    with pytest.raises(AssertionError):
        test_an_answer_that_is_cut_off_is_no_answer(make, said, False)


def test_planted_small_writes_to_an_engine_that_are_held_back_are_seen(make, monkeypatch):
    monkeypatch.setattr("twisted.internet.tcp.Connection.setTcpNoDelay", lambda self, on: None)
    with pytest.raises(AssertionError):
        test_small_writes_to_an_engine_are_not_held_back(make)
