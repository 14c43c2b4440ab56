"""Crossing events of requests, attempts and disconnecting clients, in each order.

The tests control peers, ports, the clock and each event-loop iteration, so that an order never depends on timing.
"""

import base64
import json
import socket
from types import SimpleNamespace

import pytest
from harness import LIMITS, MS, SETTINGS, CoordinatorTestBed, EngineServer, S, spin
from msgspec.structs import replace
from test_core import CoordinatorHarness, ScriptedPolicy
from twisted.internet import reactor

from rackhub import interface as t
from rackhub.core.request import AttemptState
from rackhub.core.request_completion import RequestCompletion
from rackhub.net.pool import EngineDialFactory

ROWS = b"a\tb\tc\n"


def answer_requests(connection, word, id, *_):
    if word == b"want":
        connection.respond(id, b"200", b"chunks=1", ROWS)


class RawClient:
    """A client on a plain socket: its bytes are in the kernel before the next event-loop iteration."""

    def __init__(self, site):
        front = site.fronts[0]
        known = set(front.connections)
        self.socket = socket.create_connection(("127.0.0.1", site.ports[0].getHost().port))
        site.raw.append(self)
        spin(lambda: len(front.connections) > len(known))
        (self.served_by,) = front.connections - known

    def ask(self, number, budget=2_000, cls="lookup"):
        body = base64.b64encode(b"SELECT 1 FROM a_3.b").decode()
        self.say(
            {
                "jsonrpc": "2.0",
                "id": number,
                "method": cls,
                "params": {"rid": f"{number:016x}", "budget": budget, "acct": "acme", "body": body, "token": "k"},
            }
        )
        return f"{number:016x}"

    def cancel(self, number):
        self.say({"jsonrpc": "2.0", "id": None, "method": "cancelRequest", "params": {"id": number}})

    def say(self, message):
        self.socket.sendall(json.dumps(message).encode() + b"\n")

    def go(self, number, how):
        self.cancel(number) if how == "cancel" else self.socket.close()

    def received_answers(self):
        """Return all answers received so far."""
        self.socket.setblocking(False)
        try:
            return [json.loads(line) for line in self.socket.recv(1 << 20).splitlines()]
        except BlockingIOError:
            return []


class DeferredDials:
    """Dials to engines, each made only when the test releases it."""

    def __init__(self, pools):
        self.make, self.waiting = pools._dial._make, []
        pools._dial = self

    def __call__(self, pool):
        link = self.make(pool)
        pool.dials[link] = SimpleNamespace(stopConnecting=lambda: self.failed(link))
        self.waiting.append((pool, link))
        return link

    def failed(self, link):
        """Fail a cancelled dial, as if the connection was refused."""
        self.waiting = [(pool, other) for pool, other in self.waiting if other is not link]
        link.connect_failed()

    def release(self):
        """Make the oldest dial; return its link, which is connected on both sides."""
        pool, link = self.waiting.pop(0)
        pool.dials[link] = reactor.connectTCP(*pool.address, EngineDialFactory(pool, link))
        return link


@pytest.fixture
def site(request):
    """A coordinator with two engines that do not respond by default. Indirect parameters are passed on."""
    test_bed = CoordinatorTestBed(EngineServer(), EngineServer(), **getattr(request, "param", {}))
    test_bed.raw = []
    yield test_bed
    for client in test_bed.raw:
        client.socket.close()
    test_bed.close()


def run_iteration(site):
    """Run one event-loop iteration in the reactor's order: due calls once, then all reads."""
    if site.clock._wake and site.clock._wake[0] <= site.clock.time:
        (_, call), site.clock._wake = site.clock._wake, None
        call()
    reactor.iterate(0)


def run_iterations(site, count=12):
    for _ in range(count):
        run_iteration(site)


def pause_event_loop(site, span=200 * MS):
    """Let time pass while the event loop makes no call and reads nothing."""
    site.clock.time += span


def connect_before_client_is_read(site, dials, client, span):
    """Connect a dial; `span` later the loop sees the connection first, then the client's input."""
    client.served_by.transport.stopReading()
    link = dials.release()
    pause_event_loop(site, span)
    spin(lambda: link.transport is not None and link.transport.connected)
    client.served_by.transport.startReading()
    run_iterations(site)
    spin(lambda: link.up)
    run_iterations(site)


def received_requests(site):
    return [words for stand in site.engines for words in stand.wants()]


def is_idle(site):
    """Return whether no request or attempt is left anywhere."""
    links = [link for pool in site.pools.pools.values() for link in pool.links]
    return not (
        site.core.queries
        or site.core.in_flight
        or any(link.open for link in links)
        or any(connection.open for connection in site.fronts[0].connections)
    )


def open_engine_connection(site):
    """Open a connection to e0 and wait until nothing is in progress."""
    site.engines[0].on_command = answer_requests
    client = RawClient(site)
    use_policy(site, lambda event: [t.Send(event.query, "e0")])
    client.ask(0xFFF)
    spin(lambda: is_idle(site) and received_requests(site))
    site.engines[0].on_command = lambda *_: None
    site.engines[0].received.clear()


def use_policy(site, arrived, **acts):
    """Replace the routing policy: `arrived` and `acts` return the actions for events."""
    site.core.decisions.control = policy = ScriptedPolicy()
    policy.acts[t.QueryReceived] = arrived
    for name, act in acts.items():
        policy.acts[getattr(t, name)] = act
    return policy


# ---- the event loop is late, and the client's disconnect is in the kernel's buffers


@pytest.mark.parametrize("how", ["close", "cancel"])
def test_backoff_expiring_in_a_late_iteration_starts_no_attempt_for_a_gone_client(site, how):
    """The loop makes due calls before it reads: a retry began for a client that had disconnected long before."""
    client = RawClient(site)
    policy = use_policy(
        site,
        lambda event: [t.Send(event.query, "e0")],
        AttemptCompleted=[t.Timer(100 * MS, 1)],
        TimerFired=lambda event: [t.Send(f"{1:016x}", "e1")],
    )
    client.ask(1)
    spin(lambda: received_requests(site))
    site.engines[0].connections[0].respond(f"{1:016x}".encode(), b"503")
    spin(lambda: site.counters["out_full"])
    client.go(1, how)
    pause_event_loop(site)
    run_iterations(site)
    assert len(received_requests(site)) == 1 and is_idle(site) and site.counters["left"] == 1
    assert any(isinstance(event, t.TimerFired) for event in policy.events)


@pytest.mark.parametrize("span", [60 * MS, 200 * MS])
@pytest.mark.parametrize("order", ["calls first", "reads first"])
def test_request_followed_by_a_disconnect_is_not_sent_by_a_late_loop(site, order, span):
    """Reads come first if reading itself takes this long."""
    open_engine_connection(site)
    client = RawClient(site)
    client.ask(1)
    client.socket.close()  # after the request: the read of the request does not show the close
    pause_event_loop(site, span)
    if order == "reads first":
        reactor.iterate(0)
    run_iterations(site)
    assert received_requests(site) == [] and is_idle(site)
    assert site.counters["left"] + site.counters["over_behind"] == 1


@pytest.mark.parametrize("order", ["calls first", "reads first"])
def test_rejection_read_in_a_late_iteration_starts_no_retry_for_a_gone_client(site, order):
    """A rejection by an engine must not cause a retry while the client's disconnect is unread."""
    open_engine_connection(site)
    client = RawClient(site)
    use_policy(
        site,
        lambda event: [t.Send(event.query, "e0")],
        AttemptCompleted=lambda event: [] if event.settled else [t.Send(event.query, "e1")],
    )
    client.ask(1)
    spin(lambda: received_requests(site))
    client.served_by.transport.stopReading()  # the iteration's events were fetched before the client disconnected
    site.engines[0].connections[0].respond(f"{1:016x}".encode(), b"503")
    client.socket.close()
    pause_event_loop(site)
    for _ in range(100):
        if site.counters["out_full"]:
            break
        run_iteration(site) if order == "calls first" else reactor.iterate(0)
        pause_event_loop(site)
    client.served_by.transport.startReading()
    run_iterations(site)
    assert site.counters["out_full"] == 1 and len(received_requests(site)) == 1 and is_idle(site)


def test_connection_established_in_a_late_iteration_sends_nothing_for_a_gone_client(site):
    dials, client = DeferredDials(site.pools), RawClient(site)
    use_policy(site, lambda event: [t.Send(event.query, "e0")])
    client.ask(1)
    spin(lambda: dials.waiting)
    client.socket.close()
    connect_before_client_is_read(site, dials, client, 200 * MS)
    assert received_requests(site) == [] and is_idle(site)


def test_late_loop_defers_an_attempt_for_three_iterations_only(site):
    """An attempt is sent after the sockets were read, even if the loop is late in every iteration."""
    open_engine_connection(site)
    client = RawClient(site)
    client.ask(1)
    for _ in range(6):
        pause_event_loop(site, 60 * MS)
        run_iteration(site)
    assert len(received_requests(site)) == 1
    site.engines[0].connections[0].respond(f"{1:016x}".encode(), b"200", b"chunks=1", ROWS)
    spin(lambda: is_idle(site))


# ---- the request is completed while its attempt waits for a connection


WITHOUT_CANCEL = {
    "settings": t.Settings(**{name: getattr(SETTINGS, name) for name in SETTINGS.__slots__ if name != "cancel"})
}


@pytest.mark.parametrize("how", ["close", "cancel", "deadline"])
@pytest.mark.parametrize("site", [{}, WITHOUT_CANCEL], ids=["may cancel", "may not"], indirect=True)
def test_attempt_waiting_for_its_dial_is_not_sent_after_its_request_is_completed(site, how):
    """If the site forbids cancellation, the policy requests none: the attempt was sent on the new connection."""
    dials, client = DeferredDials(site.pools), RawClient(site)
    client.ask(1, budget=900)
    spin(lambda: dials.waiting)
    if how == "deadline":
        site.clock.advance(S)
    else:
        client.go(1, how)
    spin(lambda: not site.core.queries)
    assert is_idle(site)
    link = dials.release()
    spin(lambda: link.up)
    run_iterations(site)
    assert received_requests(site) == [] and is_idle(site) and site.counters["out_nop"] == 1
    assert len(client.received_answers() if how == "deadline" else []) == (how == "deadline")


def test_time_out_during_the_dial_counts_as_not_executed(site):
    """It was reported as LATE: requests of a class that is not idempotent could not be retried after that."""
    dials, client = DeferredDials(site.pools), RawClient(site)
    policy = use_policy(
        site,
        lambda event: [t.Send(event.query, "e0", 200 * MS)],
        AttemptCompleted=lambda event: [t.Send(event.query, "e1")],
    )
    client.ask(1)
    spin(lambda: dials.waiting)
    site.clock.advance(200 * MS + LIMITS.deadline_check_interval)
    assert [event.outcome for event in policy.events if isinstance(event, t.AttemptCompleted)] == ["NOCONN"]
    site.engines[1].on_command = answer_requests
    first, second = dials.release(), dials.release()
    spin(lambda: first.up and second.up and is_idle(site))
    assert not site.engines[0].wants() and len(site.engines[1].wants()) == 1


def test_attempt_waiting_for_its_dial_leaves_a_draining_engine(site):
    dials, client = DeferredDials(site.pools), RawClient(site)
    use_policy(
        site, lambda event: [t.Send(event.query, "e0")], AttemptCompleted=lambda event: [t.Send(event.query, "e1")]
    )
    client.ask(1)
    spin(lambda: dials.waiting)
    start_draining_e0(site)
    site.engines[1].on_command = answer_requests
    second = dials.release()
    spin(lambda: second.up and is_idle(site))
    assert not dials.waiting and not site.engines[0].wants() and len(site.engines[1].wants()) == 1


def start_draining_e0(site):
    """Report e0 as draining, as the daemon does."""
    entries = [t.EngineEntry("e0", "z", "std", state="Draining"), t.EngineEntry("e1", "z", "std")]
    site.core.update_endpoints(entries, 2)
    addresses = {f"e{i}": ("127.0.0.1", stand.port.getHost().port) for i, stand in enumerate(site.engines)}
    site.pools.update_endpoints(addresses, entries)


def test_attempt_deferred_by_a_late_loop_leaves_a_draining_engine(site):
    open_engine_connection(site)
    client = RawClient(site)
    use_policy(
        site, lambda event: [t.Send(event.query, "e0")], AttemptCompleted=lambda event: [t.Send(event.query, "e1")]
    )
    client.ask(1)
    pause_event_loop(site)
    reactor.iterate(0)
    spin(lambda: site.core.queries)
    (query,) = site.core.queries.values()
    assert [attempt.state for attempt in query.in_flight.values()] == [AttemptState.PENDING]
    start_draining_e0(site)
    run_iterations(site)
    spin(lambda: received_requests(site))
    assert not site.engines[0].wants() and len(site.engines[1].wants()) == 1


# ---- a client that is not read from


@pytest.mark.parametrize("is_retry", [False, True])
def test_no_attempt_starts_while_reading_is_paused_and_the_client_gets_one_answer(is_retry):
    harness = CoordinatorHarness()
    harness.port.reading_paused = not is_retry
    harness.ask()
    if is_retry:
        harness.port.reading_paused = True
        harness.core.complete_attempt(harness.port.sent[0], "FULL")
    harness.clock.advance(2 * S)
    assert len(harness.port.sent) == is_retry and [kind for kind, *_ in harness.port.answers] == ["refused"]
    assert not harness.core.queries and not harness.core.in_flight


def test_connection_established_while_reading_is_paused_sends_nothing(site):
    dials, client = DeferredDials(site.pools), RawClient(site)
    client.ask(1)
    spin(lambda: dials.waiting)
    (query,) = site.core.queries.values()
    query.reply = PausedReply(query.reply)
    link = dials.release()
    spin(lambda: link.up)
    site.clock.advance(3 * S)
    spin(lambda: is_idle(site))
    assert received_requests(site) == [] and len(query.reply.calls) == 1


def test_request_read_after_a_pause_is_not_sent_if_a_disconnect_follows(site):
    """The loop is punctual, but the input is old: the request arrived and the client disconnected long before."""
    open_engine_connection(site)
    client = RawClient(site)
    client.served_by.pauseProducing()
    client.ask(1)
    client.socket.close()
    site.clock.advance(200 * MS)
    client.served_by.resumeProducing()
    run_iterations(site)
    assert received_requests(site) == [] and is_idle(site) and site.counters["left"] == 1


def test_connection_established_before_an_unread_disconnect_sends_nothing(site):
    dials, client = DeferredDials(site.pools), RawClient(site)
    use_policy(site, lambda event: [t.Send(event.query, "e0")])
    client.ask(1)
    spin(lambda: dials.waiting)
    client.served_by.pauseProducing()
    client.socket.close()
    site.clock.advance(200 * MS)
    client.served_by.resumeProducing()
    connect_before_client_is_read(site, dials, client, 0)
    assert received_requests(site) == [] and is_idle(site)


def test_client_that_stays_is_served_after_a_pause_of_reading(site):
    open_engine_connection(site)
    client = RawClient(site)
    client.served_by.pauseProducing()
    client.ask(1)
    site.clock.advance(200 * MS)
    client.served_by.resumeProducing()
    run_iterations(site)
    spin(lambda: len(received_requests(site)) == 1)
    assert not client.served_by.may_have_unread_input


def test_request_read_after_a_pause_is_sent_with_its_remaining_time(site):
    """The deadline counts from the sending of the request, possibly as early as the pause of reading."""
    open_engine_connection(site)
    client = RawClient(site)
    client.served_by.pauseProducing()
    client.ask(1, budget=900)
    site.clock.advance(500 * MS)
    client.served_by.resumeProducing()
    run_iterations(site)
    spin(lambda: len(received_requests(site)) == 1)
    fields = dict(part.split(b"=") for part in received_requests(site)[0][2].split(b","))
    assert 0 < int(fields[b"max"]) <= 400


class PausedReply:
    """The client's connection while reading is paused."""

    reading_paused, may_have_unread_input = True, False

    def __init__(self, connection):
        self.connection, self.calls = connection, []

    def __getattr__(self, how):
        return lambda query, *arguments: (self.calls.append(how), getattr(self.connection, how)(query, *arguments))


# ---- between the cancellation of an attempt and its completion


def cancelling_attempt(harness, policy):
    """Start a request and let its attempt time out; return both during the cancellation."""
    policy.acts[t.QueryReceived] = lambda event: [t.Send(event.query, "e0", 200 * MS)]
    policy.acts[t.AttemptCompleted] = lambda event: [] if event.settled else [t.Send(event.query, "e1")]
    query = harness.ask(budget=2 * S)
    (attempt,) = harness.port.sent
    harness.clock.advance(200 * MS + LIMITS.deadline_check_interval)
    assert attempt.state is AttemptState.CANCELLING
    return query, attempt


@pytest.mark.parametrize("event", ["leaves", "answer", "reset", "cancel", "time-out again", "backstop", "refused"])
def test_event_during_a_cancellation_completes_attempt_and_request_once(event):
    policy = ScriptedPolicy()
    harness = CoordinatorHarness(policy)
    query, attempt = cancelling_attempt(harness, policy)
    if event == "leaves":
        harness.core.disconnect_client(query)
        harness.core.disconnect_client(query)
    elif event in ("answer", "reset"):
        harness.core.complete_attempt(attempt, "GOOD" if event == "answer" else "RST", {}, (ROWS,))
    elif event == "cancel":
        harness.core.attempts.cancel(t.Cancel(query.id, 0))
    elif event == "time-out again":
        harness.core.attempts.give_up(attempt, "LATE")
    elif event == "backstop":
        query.deadline = harness.clock.now() - LIMITS.deadline_grace - LIMITS.deadline_check_interval
        harness.core.deadline_monitor.sweep()
    else:
        harness.core.completion.reject(t.Reject(query.id, 5))
        harness.core.completion.fail(t.Fail(query.id))
    assert list(harness.core.in_flight.values()) == [attempt] and harness.port.given_up == [attempt]
    harness.clock.advance(LIMITS.cancellation_delay + MS)
    is_completed = event in ("leaves", "backstop", "refused")
    assert [sent.engine for sent in harness.port.sent] == ["e0"] if is_completed else ["e0", "e1"]
    assert harness.counters["out_late"] == 1 and not harness.counters["out_good"] and not harness.counters["out_rst"]
    if not is_completed:
        harness.core.complete_attempt(harness.port.sent[-1], "GOOD", {}, (ROWS,))
    assert len(harness.port.answers) == (event != "leaves") and not harness.core.queries and not harness.core.in_flight
    completions = [each for each in policy.events if isinstance(each, t.AttemptCompleted)]
    assert [each.attempt for each in completions] == ([0] if is_completed else [0, 1])


@pytest.mark.parametrize("first", ["answer", "time-out"])
def test_response_and_time_out_in_one_iteration_give_one_answer(site, first):
    open_engine_connection(site)
    client = RawClient(site)
    use_policy(
        site,
        lambda event: [t.Send(event.query, "e0", 200 * MS)],
        AttemptCompleted=lambda event: [] if event.settled else [t.Reject(event.query, 5)],
    )
    id = client.ask(1).encode()
    spin(lambda: received_requests(site))
    answer = site.engines[0].connections[0].respond
    if first == "answer":
        answer(id, b"200", b"chunks=1", ROWS)
        spin(lambda: not site.core.queries)
        pause_event_loop(site)
    else:
        site.clock.advance(200 * MS + LIMITS.deadline_check_interval)
        answer(id, b"200", b"chunks=1", ROWS)  # crosses the cancellation
        spin(lambda: site.counters["engine_strays"])
        site.clock.advance(LIMITS.cancellation_delay + MS)
    answer(id, b"200", b"chunks=1", ROWS)  # a duplicate
    spin(lambda: site.counters["engine_strays"] == 1 + (first == "time-out"))
    run_iterations(site)
    assert ["result" in answer for answer in client.received_answers()] == [first == "answer"]
    # The counts include the request of `open_engine_connection`.
    assert is_idle(site) and site.counters["served"] + site.counters["refused"] == 1 + 1


# ---- a request is completed once, whatever completes it


ENDS = {
    "served": lambda harness, query: harness.core.complete_attempt(
        next(iter(query.in_flight.values())), "GOOD", {}, (ROWS,)
    ),
    "refused": lambda harness, query: harness.core.completion.reject(t.Reject(query.id, 5)),
    "failed": lambda harness, query: harness.core.completion.fail(t.Fail(query.id)),
    "left": lambda harness, query: harness.core.disconnect_client(query),
}


@pytest.mark.parametrize("second", ENDS)
@pytest.mark.parametrize("first", ENDS)
def test_second_completion_of_a_request_has_no_effect(first, second):
    policy = ScriptedPolicy()
    policy.acts[t.QueryReceived] = lambda event: [t.Send(event.query, "e0")]
    harness = CoordinatorHarness(policy)
    query = harness.ask()
    (attempt,) = harness.port.sent
    ENDS[first](harness, query)
    ENDS[second](harness, query) if query.in_flight else harness.core.complete_attempt(attempt, "GOOD", {}, (ROWS,))
    harness.clock.advance(3 * S)
    harness.core.complete_attempt(attempt, "GOOD", {}, (ROWS,))
    counts = {how: harness.counters[how] for how in ENDS}
    assert (
        counts == {how: int(how == first) for how in ENDS} and not harness.core.queries and not harness.core.in_flight
    )
    assert [kind for kind, *_ in harness.port.answers] == [first] * (
        first != "left"
    ) and harness.core.statement_bytes == 0


def test_send_after_a_rejection_in_the_same_actions_sends_nothing():
    policy = ScriptedPolicy()
    policy.acts[t.QueryReceived] = lambda event: [t.Reject(event.query, 5), t.Send(event.query, "e0")]
    harness = CoordinatorHarness(policy)
    harness.ask()
    assert harness.port.sent == [] and len(harness.port.answers) == 1 and not harness.core.in_flight


def test_request_rejected_at_admission_is_counted_once_and_its_id_is_remembered():
    harness = CoordinatorHarness(limits=replace(LIMITS, max_open_requests=0))
    query = harness.ask()
    harness.core.disconnect_client(query)  # the client disconnects in the same iteration
    assert harness.core.is_known_id(query.id) and [kind for kind, *_ in harness.port.answers] == ["refused"]
    assert harness.counters["refused"] == 1 and not harness.counters["left"] and harness.core.statement_bytes == 0


def test_late_completion_does_not_affect_a_new_request_with_the_same_id():
    """Attempts are registered by request id and number, and only a few ids are remembered."""
    policy = ScriptedPolicy()
    policy.acts[t.QueryReceived] = lambda event: [t.Send(event.query, "e0")]
    harness = CoordinatorHarness(policy, limits=replace(LIMITS, max_recent_ids=1))
    first = harness.ask()
    harness.core.disconnect_client(first)
    harness.core.disconnect_client(harness.ask())
    harness.request_count = 0
    second = harness.ask()
    assert second.id == first.id
    harness.core.complete_attempt(harness.port.sent[0], "RST")
    assert harness.core.in_flight[second.id, 0] is second.in_flight[0]


def test_injected_bug_that_leaves_a_completed_request_open_is_detected(monkeypatch):
    monkeypatch.setattr(RequestCompletion, "_release", lambda self, query, how: None)
    with pytest.raises(AssertionError):
        test_send_after_a_rejection_in_the_same_actions_sends_nothing()
