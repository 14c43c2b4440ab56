"""What is kept of requests that have ended: it must not grow with the number of all requests that came.

A process passed its memory limit and was killed, as the timers of ended requests stayed until the deadline. The tests
count objects. Their clock stands still, so that nothing is forgotten merely because its time is over.
"""

import dataclasses
import itertools
import random

import msgspec
import pytest
from harness import LIMITS, MS, SETTINGS, CoordinatorTestBed, EngineServer, FakeClock, S, spin
from reachable import growth
from test_gather import Gateway
from test_tds_responses import ATTENTION_ACK, READ_REPLY, EngineBed
from test_wire_models import FakeCore, MemoryTransport
from twisted.internet.testing import MemoryReactorClock, StringTransport

from rackhub import interface as t
from rackhub.core.coordinator import Coordinator
from rackhub.core.lease import EndpointLease, LeaseStatus
from rackhub.core.request import Attempt, AttemptState, Query
from rackhub.core.timers import MAX_CANCELLED_ENTRIES, Timers
from rackhub.counters import Counters
from rackhub.gather.remote_gateways import RemoteGateways
from rackhub.net.pool import EnginePool
from rackhub.net.resp import EngineConnection
from rackhub.net.tds.engine import EngineConnectionState
from rackhub.policy import state
from rackhub.policy.context import RouterContext
from rackhub.policy.key_queues import KeyQueues
from rackhub.timings.route_policy import RoutePolicy
from rackhub.timings.routes import Route, SecondCopy
from rackhub.timings.table import Table

HOUR = 3_600 * S
# Room for the entries of cancelled timers, each with a few objects, and for statistics that are still filling.
MAX_GROWTH = 8 * MAX_CANCELLED_ENTRIES
FEW_IDS = msgspec.structs.replace(LIMITS, max_recent_ids=16)
WITH_RETRY_BUDGET = dataclasses.replace(SETTINGS, retry_budget_ratio=0.5, retry_budget_window=10 * S)


@pytest.fixture(autouse=True)
def few_recorded_times(monkeypatch):
    """Bound the times that the rate windows record so that the bound is reached."""
    monkeypatch.setattr(state, "MAX_RECORDED_TIMES", 16)


class EnginePortStub:
    """An engine port and the reply of all requests; it keeps the attempts only until `take_sent`."""

    reading_paused = may_have_unread_input = False
    unread_input_since = 0

    def __init__(self):
        self.sent = []

    def send(self, attempt):
        attempt.state = AttemptState.IN_FLIGHT
        self.sent.append(attempt)

    def take_sent(self):
        sent, self.sent = self.sent, []
        return sent

    def give_up(self, attempt):
        """Ignore the call, as do the methods below."""

    def promote(self, attempt):
        pass

    def close_idle(self, engine):
        pass

    def served(self, query, rows):
        pass

    def rejected(self, query, backoff):
        pass

    def failed(self, query, why):
        pass


class Bed:
    """A coordinator with engines whose answers the test gives, and a clock that stands still."""

    def __init__(self, settings=SETTINGS, engines=4, limits=FEW_IDS):
        self.clock, self.port, self.count = FakeClock(), EnginePortStub(), 0
        self.core = Coordinator(settings, 7, self.clock, Timers(self.clock, self.clock), limits, Counters())
        self.core.start(self.port, [t.EngineEntry(f"e{i}", "z", "std") for i in range(engines)], 1)

    def ask(self, cls="lookup", budget=HOUR, **more):
        self.count += 1
        more = {"tenant": "acme"} | more
        query = Query(f"{self.count:016x}", cls, b"SELECT 1", self.clock.now() + budget, self.port, **more)
        self.core.submit(query)
        return query

    def growth(self, step):
        return growth(step, [self.core])


def withdrawn(bed):
    """The client cancels at once; the cancellations reach the engines."""
    bed.core.disconnect_client(bed.ask())
    bed.port.take_sent()
    bed.clock.advance(LIMITS.cancellation_delay)


def served(bed):
    bed.ask()
    for attempt in bed.port.take_sent():
        bed.core.complete_attempt(attempt, "GOOD", None, (b"rows",))


def refused(bed):
    """No engine is ready."""
    bed.core.update_endpoints([], bed.count)
    assert bed.ask().closed


def failed_twice(bed):
    """Two engines return an error, and the request ends as failed."""
    query = bed.ask("depot-load", idempotency_key=f"key{bed.count}")
    while not query.closed:
        for attempt in bed.port.take_sent():
            bed.core.complete_attempt(attempt, "BAD")


def loads_of_many_groups(bed):
    """Each request locks another group of tables, whose number the client writes."""
    bed.ask("depot-load", idempotency_key=f"key{bed.count}", tables=bed.count)
    for attempt in bed.port.take_sent():
        bed.core.complete_attempt(attempt, "GOOD", None, (b"rows",))


# Guards against timers of ended requests that stay until the deadline of the request, here an hour.
@pytest.mark.parametrize(
    "step", [withdrawn, served, refused, failed_twice, loads_of_many_groups], ids=lambda step: step.__name__
)
def test_nothing_grows_with_the_requests_that_have_ended(step):
    bed = Bed(WITH_RETRY_BUDGET)
    assert bed.growth(lambda: step(bed)) < MAX_GROWTH
    assert not bed.core.queries and not bed.core.in_flight
    assert not bed.core.decisions.control.context.attempts


# Guards against the same for requests that stay open meanwhile: what is kept is in proportion to these alone.
def test_open_requests_keep_their_timers_while_others_end():
    bed = Bed()
    still_open = [bed.ask() for _ in range(5)]
    bed.port.take_sent()
    pending = bed.core.timers.pending_count
    assert bed.growth(lambda: served(bed)) < MAX_GROWTH
    assert bed.core.timers.pending_count == pending
    assert bed.core.timers.entry_count <= pending + max(pending, MAX_CANCELLED_ENTRIES)
    bed.clock.advance(HOUR)
    assert all(query.closed for query in still_open)


# Guards against the timers of hedges, which kept each attempt and its statement until the hedge was due.
def test_hedge_that_is_not_needed_leaves_no_timer():
    settings = dataclasses.replace(SETTINGS, hedging=True)
    bed = Bed(settings)
    route = Route(cls="lookup", second_copy=SecondCopy(after_ms=900.0))
    bed.core.request_policy = RoutePolicy(Table([route], settings), {}, 3)
    assert bed.growth(lambda: served(bed)) < MAX_GROWTH
    bed.ask()
    bed.clock.advance(S)
    assert len(bed.port.take_sent()) == 2  # the hedge, which is due after 900 ms, is sent


# Guards against the timers of gathered requests, one until the deadline and one for each site that has answered.
def test_gathered_requests_leave_no_timers():
    gateway = Gateway(sites=["a", "b"])
    numbers = iter(range(1, 10_000))

    def withdraw():
        query, _ = gateway.ask(number=next(numbers))
        gateway.end("za", text=b"a\t1\t2\n")
        gateway.core.disconnect_client(query)
        gateway.clock.advance(LIMITS.cancellation_delay)
        gateway.engines.__init__()

    for _ in range(100):
        withdraw()
    assert gateway.core.timers.entry_count <= 2 * MAX_CANCELLED_ENTRIES


# Guards against requests, with their statements, that wait for a silent resolver after their clients have left.
@pytest.mark.parametrize("waits", ["request", "attempt"])
def test_withdrawn_requests_do_not_wait_for_the_resolver(waits):
    bed = Bed()
    lease = EndpointLease(LIMITS, S, bed.clock.now())
    bed.clock.advance(LIMITS.notification_time + S)
    assert lease.status(bed.clock.now()) is LeaseStatus.UNCONFIRMED

    def withdraw():
        bed.core.lease = lease if waits == "request" else None
        query = bed.ask()
        for attempt in bed.port.take_sent():  # as if the lease had ended between the policy's choice and the sending
            bed.core.lease = lease
            attempt.state = AttemptState.PENDING
            bed.core.attempts.begin(attempt)
        bed.core.disconnect_client(query)

    assert bed.growth(withdraw) < MAX_GROWTH
    bed.core.lease = lease
    still_waits = bed.ask()
    bed.core.endpoint_poll_confirmed(bed.core.endpoint_poll_started())
    assert [attempt.query for attempt in bed.port.take_sent()] == [still_waits]


# Guards against one timer for each Attention to a TDS engine, and against an early end by an old one.
def test_acknowledged_attention_leaves_no_timer():
    core = FakeCore()
    for _ in range(300):
        bed = EngineBed(core).log_in()
        bed.connection.give_up(bed.call())
        bed.receive(ATTENTION_ACK)
    assert core.timers.pending_count == 0 and core.timers.entry_count <= MAX_CANCELLED_ENTRIES + 1
    core.clock.advance(LIMITS.unresponsive_timeout - MS)
    bed = EngineBed(core).log_in()
    bed.connection.give_up(bed.call())
    core.clock.advance(2 * MS)  # the time of the earlier Attentions is over, not that of the last one
    assert bed.connection.state == EngineConnectionState.CANCELLING
    core.clock.advance(LIMITS.unresponsive_timeout)
    assert bed.connection.state == EngineConnectionState.CLOSED


# Guards against a cancellation that changes when, or in which order, the other calls are made.
def test_cancelled_timers_are_not_called_and_the_others_are_in_order():
    draws = random.Random(67)
    clock = FakeClock()
    timers = Timers(clock, clock)
    called, expected, pending = [], [], {}
    for number in range(4_000):
        when = clock.now() + draws.randrange(2_000)
        pending[when, number] = timers.call_at(when, called.append, (when, number))
        while draws.random() < 0.45 and pending:
            pending.pop(draws.choice(list(pending))).cancel()
        assert timers.entry_count <= len(pending) + max(len(pending), MAX_CANCELLED_ENTRIES) + 1
        if draws.random() < 0.01:
            clock.advance(draws.randrange(500))
            due = sorted(key for key in pending if key[0] <= clock.now())
            expected += due
            for key in due:
                assert not pending.pop(key).pending
        assert called == expected and timers.pending_count == len(pending)


# Guards against calls that cancel others: of the same moment, and so many that the heap is rebuilt meanwhile.
def test_call_may_cancel_other_timers_that_are_due():
    clock = FakeClock()
    timers = Timers(clock, clock)
    called = []

    def cancel_all():
        called.append("first")
        for timer in others:
            timer.cancel()
            timer.cancel()  # has no further effect

    now = clock.now() + 1
    timers.call_at(now, cancel_all)
    others = [timers.call_at(now, called.append, "cancelled") for _ in range(3 * MAX_CANCELLED_ENTRIES)]
    timers.call_at(now, called.append, "last")
    clock.advance(1)
    assert called == ["first", "last"] and timers.pending_count == 0 and timers.entry_count == 0


class RespBed:
    """A connection to an engine over RESP that is never answered."""

    def __init__(self, limits):
        self.core, self.count = FakeCore(), 0
        pool = EnginePool("e0", ("127.0.0.1", 1), Counters())
        self.connection = EngineConnection(pool, self.core.clock, limits, pool.counters, self.core)
        pool.links.append(self.connection)
        self.wire = MemoryTransport()
        self.connection.makeConnection(self.wire)

    def send(self):
        self.count += 1
        query = Query(f"{self.count:016x}", "lookup", b"SELECT 1", self.core.clock.now() + S, READ_REPLY)
        attempt = Attempt(query, 0, "e0", self.core.clock.now())
        assert self.connection.accepts(attempt)
        self.connection.enqueue(attempt)
        self.wire.flush()
        return attempt

    def send_and_cancel(self):
        self.connection.give_up(self.send())
        self.wire.take_output()


# Guards against one id for each cancelled attempt, which every connection kept for half a minute.
def test_ids_of_cancelled_attempts_are_bounded_and_open_requests_still_know_theirs():
    bed = RespBed(msgspec.structs.replace(LIMITS, max_failed_ids=32))
    still_open = bed.send()
    bed.connection.give_up(still_open)
    assert growth(bed.send_and_cancel, [bed.connection]) < MAX_GROWTH
    assert len(bed.connection.failed_ids) == 32
    assert not bed.connection.accepts(Attempt(still_open.query, 1, "e0", bed.core.clock.now()))
    last = Query(f"{bed.count:016x}", "lookup", b"SELECT 2", bed.core.clock.now() + S, READ_REPLY)
    assert not bed.connection.accepts(Attempt(last, 0, "e0", bed.core.clock.now()))  # the same id in a new request
    bed.core.clock.advance(LIMITS.failed_id_retention + 1)
    assert bed.connection.accepts(Attempt(last, 0, "e0", bed.core.clock.now())) and not len(bed.connection.failed_ids)


# Guards against a bound for each connection or engine, of which there may be hundreds.
def test_connections_to_all_engines_share_the_table_of_failed_ids():
    bed = CoordinatorTestBed(EngineServer(), EngineServer())
    try:
        for cancelled in range(2):
            query = Query(f"{cancelled:016x}", "lookup", b"SELECT 1", bed.clock.now() + S, READ_REPLY, tenant="acme")
            bed.core.submit(query)
            spin(lambda sent=cancelled + 1: sum(len(server.wants()) for server in bed.engines) == sent)
            bed.core.disconnect_client(query)
        links = [link for pool in bed.pools.pools.values() for link in pool.links]
        assert len({link.pool.name for link in links}) == 2
        assert all(len(link.failed_ids) == 2 for link in links)
    finally:
        bed.close()


# Guards against an entry for each key of a class whose queries run one at a time, for keys that never come again.
def test_keys_that_are_no_longer_blocked_are_forgotten():
    context = RouterContext(dataclasses.replace(SETTINGS, serial_key_delay=5), 7)
    queues = KeyQueues(context, lambda query: None)
    for key in range(1_000):
        context.now = key
        queues.block(key)
    assert set(queues.blocked_until) == set(range(994, 1_000))


def remote_call(remotes, number):
    query = Query(f"{number:016x}", "report", b"SELECT 1" * 100, S, READ_REPLY)
    return remotes.call(("127.0.0.1", 1), query, query.id, S, lambda *_: None)


# Guards against statements of cancelled subrequests: of those that wait for a connection, and of those that wait for
# another coordinator to read.
def test_cancelled_subrequests_to_other_installations_are_not_kept():
    reactor = MemoryReactorClock()
    remotes = RemoteGateways(reactor, 250 * MS, 48_000, lambda name: None)
    numbers = itertools.count(1)
    assert growth(lambda: remote_call(remotes, next(numbers)).cancel(), [remotes]) < MAX_GROWTH
    remote_call(remotes, next(numbers))
    connection = reactor.tcpClients[0][2].buildProtocol(None)
    transport = StringTransport()
    transport.setTcpNoDelay = lambda on: None
    connection.makeConnection(transport)
    assert transport.value().count(b"\n") == 1  # only the subrequest that was not cancelled is sent
    transport.producer.pauseProducing()
    assert remote_call(remotes, next(numbers)) is None
    transport.producer.resumeProducing()
    assert remote_call(remotes, next(numbers)) is not None
