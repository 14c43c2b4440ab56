"""Second copies of a TDS engine's responses: they must not be served to another request.

A TDS response does not say which call it answers. A copy that came while the next call was in flight on the connection
was taken for the response to that call, whose client got the rows of another request.
"""

import gc
import random
import weakref

import pytest
from harness import LIMITS, MS, SETTINGS, CoordinatorTestBed, EngineServer, S, TdsEngine, spin
from test_crossings_engines import RecordedReply

from rackhub.core.request import Query
from rackhub.net.tds import codec
from rackhub.net.tds.engine import EngineConnectionState

REQUESTS = 40
IN_FLIGHT = 3


class CopyingEngine(TdsEngine):
    """Sends the response to each call again, when the next message comes on the connection."""

    in_halves = False

    def __init__(self, server):
        super().__init__(server)
        self.copy = b""

    def respond(self, *fields):
        before = self.server.sent
        super().respond(*fields)
        self.copy = self.server.sent[len(before) :]

    def send_message(self, body):
        message = b"".join(codec.encode_message(codec.REPLY, body))
        self.server.sent += message
        self.transport.write(message)

    def dataReceived(self, data):
        copy, self.copy = self.copy, b""
        half = len(copy) // 2 if self.in_halves else len(copy)
        self.transport.write(copy[:half])
        self.transport.write(copy[half:])
        super().dataReceived(data)


class CopyInHalves(CopyingEngine):
    in_halves = True


class CopyAtOnce(CopyingEngine):
    """Sends the response to each call twice at once."""

    def respond(self, *fields):
        super().respond(*fields)
        self.transport.write(self.copy)
        self.copy = b""


def rows_of(id):
    return b"%s\tof\tthis\n" % id


def answer_own_rows(engine, word, id=b"", *rest):
    if word == b"want":
        engine.respond(id, b"200", b"chunks=1", rows_of(id))


class CopyBed(CoordinatorTestBed):
    """A coordinator on engines over TDS that answer each call with rows of its own."""

    def __init__(self, engine_class, engines=2):
        servers = [EngineServer(engine_class, answer_own_rows) for _ in range(engines)]
        for server in servers:
            server.sent = b""
        super().__init__(*servers, tds_engines=True, settings=SETTINGS)
        self.queries = []

    def ask(self, cls="lookup"):
        id = f"{len(self.queries) + 1:016x}"
        query = Query(id, cls, b"SELECT 1", self.clock.now() + 3 * S, RecordedReply(), tenant="acme")
        self.queries.append(query)
        self.core.submit(query)
        return query

    def links(self):
        return [link for pool in self.pools.pools.values() for link in pool.links]


# Guards against a copy that is served as the result of the next call on the connection, whenever it comes.
@pytest.mark.parametrize("engine_class", [CopyingEngine, CopyInHalves, CopyAtOnce])
@pytest.mark.parametrize("seed", [1, 2])
def test_second_copies_are_not_served_to_other_requests(engine_class, seed):
    draws = random.Random(seed)
    bed = CopyBed(engine_class)
    try:
        for _ in range(REQUESTS):
            bed.ask()
            bed.clock.advance(draws.choice([0, 1, 5, 50]) * MS)
            open_at_once = draws.randrange(IN_FLIGHT)
            spin(lambda most=open_at_once: sum(not query.closed for query in bed.queries) <= most)
        spin(lambda: all(query.closed for query in bed.queries))
        served = [query for query in bed.queries if query.reply.outcomes[0][0] == "served"]
        assert all(query.reply.outcomes == [("served", rows_of(query.id.encode()))] for query in served)
        assert len(served) == len(bed.queries)
    finally:
        bed.close()


# Guards against a login before each call: the connection for the next one is there before it is needed.
def test_used_up_connection_is_replaced_before_the_next_call():
    bed = CopyBed(TdsEngine, engines=1)
    try:
        for _ in range(5):
            query = bed.ask()
            spin(lambda asked=query: asked.closed)
            spin(lambda: [link.state for link in bed.links()] == [EngineConnectionState.READY])
        assert bed.counters["engine_dials"] == 6  # one for each call, and the one that is ready now
        assert len({id(connection) for connection in bed.engines[0].connections}) == 6
    finally:
        bed.close()


# Guards against dials to an engine that gets no more attempts, and against idle connections that are dialled anew.
def test_connections_are_not_replaced_without_need():
    bed = CopyBed(TdsEngine, engines=1)
    try:
        query = bed.ask()
        spin(lambda: query.in_flight and bed.links()[0].state != EngineConnectionState.DIALLING)
        bed.pools.update_endpoints({})
        spin(lambda: query.closed)
        spin(lambda: not any(pool.links for pool in bed.pools.retired))
        assert bed.counters["engine_dials"] == 1
    finally:
        bed.close()
    bed = CopyBed(TdsEngine, engines=1)
    try:
        query = bed.ask()
        spin(lambda: query.closed)
        spin(lambda: [link.state for link in bed.links()] == [EngineConnectionState.READY])
        bed.clock.advance(LIMITS.engine_idle_timeout)
        bed.pools.sweep()
        spin(lambda: not bed.links())
        assert bed.counters["engine_dials"] == 2
    finally:
        bed.close()


# Guards against a connection for each call that stays until the next garbage collection, seconds later.
def test_used_up_connections_are_freed_at_once():
    bed = CopyBed(TdsEngine, engines=1)
    gc.disable()
    try:
        parts = []
        for _ in range(5):
            query = bed.ask()
            spin(lambda asked=query: asked.closed or bed.links()[0].state == EngineConnectionState.BUSY)
            parts += [weakref.ref(part) for link in bed.links() for part in (link, link._tokens, link._out)]
            spin(lambda asked=query: asked.closed)
            spin(lambda: [link.state for link in bed.links()] == [EngineConnectionState.READY])
            del query
        (ready,) = bed.links()
        assert {part() for part in parts} - {ready, ready._tokens, ready._out} <= {None}
    finally:
        gc.enable()
        bed.close()
