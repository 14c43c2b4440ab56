"""Requests, attempts and clients that go, where two events cross: each order is made to happen, by peers and ports that
the test holds, a clock that it moves and a loop that it turns one turn at a time. Nothing here waits for an order."""

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
    """A client on a plain socket: what it does is in the kernel at once, and the program's loop has not turned."""

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

    def heard(self):
        """All answers that are there."""
        self.socket.setblocking(False)
        try:
            return [json.loads(line) for line in self.socket.recv(1 << 20).splitlines()]
        except BlockingIOError:
            return []


class Held:
    """The way to engines, with each dial in the test's hands: it is made when the test releases it."""

    def __init__(self, pools):
        self.make, self.waiting = pools._dial._make, []
        pools._dial = self

    def __call__(self, pool):
        link = self.make(pool)
        pool.dials[link] = SimpleNamespace(stopConnecting=lambda: self.failed(link))
        self.waiting.append((pool, link))
        return link

    def failed(self, link):
        """Called off, it is as one that nobody took."""
        self.waiting = [(pool, other) for pool, other in self.waiting if other is not link]
        link.connect_failed()

    def release(self):
        """The oldest dial is made, and has come up on both sides."""
        pool, link = self.waiting.pop(0)
        pool.dials[link] = reactor.connectTCP(*pool.address, EngineDialFactory(pool, link))
        return link


@pytest.fixture
def site(request):
    """A coordinator with two engines that answer nothing unless told to. Indirect parameters: further arguments."""
    here = CoordinatorTestBed(EngineServer(), EngineServer(), **getattr(request, "param", {}))
    here.raw = []
    yield here
    for client in here.raw:
        client.socket.close()
    here.close()


def run_iteration(site):
    """One turn of the loop in the reactor's order: calls that are due, once, then whatever can be read."""
    if site.clock._wake and site.clock._wake[0] <= site.clock.time:
        (_, call), site.clock._wake = site.clock._wake, None
        call()
    reactor.iterate(0)


def run_iterations(site, count=12):
    for _ in range(count):
        run_iteration(site)


def late(site, span=200 * MS):
    """The loop stood still: time has passed, and no call was made and nothing read meanwhile."""
    site.clock.time += span


def up_before_it_is_read(site, held, client, span):
    """A dial comes up; `span` later its end is seen, and in the same turn's events only then what the client did."""
    client.served_by.transport.stopReading()
    link = held.release()
    late(site, span)
    spin(lambda: link.transport is not None and link.transport.connected)
    client.served_by.transport.startReading()
    run_iterations(site)
    spin(lambda: link.up)
    run_iterations(site)


def received_requests(site):
    return [words for stand in site.engines for words in stand.wants()]


def is_idle(site):
    """Nothing of any request is left anywhere."""
    links = [link for pool in site.pools.pools.values() for link in pool.links]
    return not (
        site.core.queries
        or site.core.in_flight
        or any(link.open for link in links)
        or any(connection.open for connection in site.fronts[0].connections)
    )


def open_engine_connection(site):
    """A connection to e0 is up, and all is at rest."""
    site.engines[0].on_command = answer_requests
    client = RawClient(site)
    use_policy(site, lambda event: [t.Send(event.query, "e0")])
    client.ask(0xFFF)
    spin(lambda: is_idle(site) and received_requests(site))
    site.engines[0].on_command = lambda *_: None
    site.engines[0].received.clear()


def use_policy(site, arrived, **acts):
    """A module that does what the test says."""
    site.core.decisions.control = module = ScriptedPolicy()
    module.acts[t.QueryReceived] = arrived
    for name, act in acts.items():
        module.acts[getattr(t, name)] = act
    return module


# ---- the loop is late, and the client's end lies in the kernel


@pytest.mark.parametrize("how", ["close", "cancel"])
def test_a_back_off_that_ends_in_a_late_turn_begins_nothing_for_a_client_that_has_gone(site, how):
    """The loop makes its calls before it reads: the further attempt began for a client that had gone long before."""
    client = RawClient(site)
    module = use_policy(
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
    late(site)
    run_iterations(site)
    assert len(received_requests(site)) == 1 and is_idle(site) and site.counters["left"] == 1
    assert any(isinstance(event, t.TimerFired) for event in module.events)


@pytest.mark.parametrize("span", [60 * MS, 200 * MS])
@pytest.mark.parametrize("order", ["calls first", "reads first"])
def test_a_request_read_in_a_late_turn_with_its_clients_end_behind_it_is_not_begun(site, order, span):
    """Reads come first where it is the reading itself that takes so long."""
    open_engine_connection(site)
    client = RawClient(site)
    client.ask(1)
    client.socket.close()  # behind the request: the read that brings the one does not show the other
    late(site, span)
    if order == "reads first":
        reactor.iterate(0)
    run_iterations(site)
    assert received_requests(site) == [] and is_idle(site)
    assert site.counters["left"] + site.counters["over_behind"] == 1


@pytest.mark.parametrize("order", ["calls first", "reads first"])
def test_an_answer_read_in_a_late_turn_begins_nothing_for_a_client_that_has_gone(site, order):
    """An engine that is full sends the request elsewhere: not if its client's end lies unread since the loop stood."""
    open_engine_connection(site)
    client = RawClient(site)
    use_policy(
        site,
        lambda event: [t.Send(event.query, "e0")],
        AttemptCompleted=lambda event: [] if event.settled else [t.Send(event.query, "e1")],
    )
    client.ask(1)
    spin(lambda: received_requests(site))
    client.served_by.transport.stopReading()  # the turn's events were fetched before the client's end came
    site.engines[0].connections[0].respond(f"{1:016x}".encode(), b"503")
    client.socket.close()
    late(site)
    for _ in range(100):
        if site.counters["out_full"]:
            break
        run_iteration(site) if order == "calls first" else reactor.iterate(0)
        late(site)
    client.served_by.transport.startReading()
    run_iterations(site)
    assert site.counters["out_full"] == 1 and len(received_requests(site)) == 1 and is_idle(site)


def test_a_dial_that_ends_in_a_late_turn_writes_nothing_for_a_client_that_has_gone(site):
    held, client = Held(site.pools), RawClient(site)
    use_policy(site, lambda event: [t.Send(event.query, "e0")])
    client.ask(1)
    spin(lambda: held.waiting)
    client.socket.close()
    up_before_it_is_read(site, held, client, 200 * MS)
    assert received_requests(site) == [] and is_idle(site)


def test_a_late_turn_holds_an_attempt_back_for_three_turns_and_no_longer(site):
    """Nothing starves: with the loop late in every turn it goes out all the same, once the sockets were read."""
    open_engine_connection(site)
    client = RawClient(site)
    client.ask(1)
    for _ in range(6):
        late(site, 60 * MS)
        run_iteration(site)
    assert len(received_requests(site)) == 1
    site.engines[0].connections[0].respond(f"{1:016x}".encode(), b"200", b"chunks=1", ROWS)
    spin(lambda: is_idle(site))


# ---- the client goes, or its answer is given, while the attempt waits for its connection


SILENT = {"settings": t.Settings(**{name: getattr(SETTINGS, name) for name in SETTINGS.__slots__ if name != "cancel"})}


@pytest.mark.parametrize("how", ["close", "cancel", "deadline"])
@pytest.mark.parametrize("site", [{}, SILENT], ids=["may cancel", "may not"], indirect=True)
def test_an_attempt_that_waits_for_its_dial_is_never_sent_once_its_request_is_over(site, how):
    """Where a site forbids cancels, the module asks for none, and the attempt left as its connection came up."""
    held, client = Held(site.pools), RawClient(site)
    client.ask(1, budget=900)
    spin(lambda: held.waiting)
    if how == "deadline":
        site.clock.advance(S)
    else:
        client.go(1, how)
    spin(lambda: not site.core.queries)
    assert is_idle(site)
    link = held.release()
    spin(lambda: link.up)
    run_iterations(site)
    assert received_requests(site) == [] and is_idle(site) and site.counters["out_nop"] == 1
    assert len(client.heard() if how == "deadline" else []) == (how == "deadline")


def test_a_time_out_before_the_dial_has_ended_proves_that_nothing_ran(site):
    """It was told as late, which a class that is unsafe to repeat has to take for one that may have run."""
    held, client = Held(site.pools), RawClient(site)
    module = use_policy(
        site,
        lambda event: [t.Send(event.query, "e0", 200 * MS)],
        AttemptCompleted=lambda event: [t.Send(event.query, "e1")],
    )
    client.ask(1)
    spin(lambda: held.waiting)
    site.clock.advance(200 * MS + LIMITS.deadline_check_interval)
    assert [event.outcome for event in module.events if isinstance(event, t.AttemptCompleted)] == ["NOCONN"]
    site.engines[1].on_command = answer_requests
    first, second = held.release(), held.release()
    spin(lambda: first.up and second.up and is_idle(site))
    assert not site.engines[0].wants() and len(site.engines[1].wants()) == 1


def test_an_attempt_that_waits_for_its_dial_leaves_an_engine_that_begins_to_drain(site):
    held, client = Held(site.pools), RawClient(site)
    use_policy(
        site, lambda event: [t.Send(event.query, "e0")], AttemptCompleted=lambda event: [t.Send(event.query, "e1")]
    )
    client.ask(1)
    spin(lambda: held.waiting)
    drains(site)
    site.engines[1].on_command = answer_requests
    second = held.release()
    spin(lambda: second.up and is_idle(site))
    assert not held.waiting and not site.engines[0].wants() and len(site.engines[1].wants()) == 1


def drains(site):
    """e0, told as the program tells it."""
    entries = [t.EngineEntry("e0", "z", "std", state="Draining"), t.EngineEntry("e1", "z", "std")]
    site.core.update_endpoints(entries, 2)
    addresses = {f"e{i}": ("127.0.0.1", stand.port.getHost().port) for i, stand in enumerate(site.engines)}
    site.pools.update_endpoints(addresses, entries)


def test_an_attempt_held_in_a_late_turn_leaves_an_engine_that_begins_to_drain(site):
    open_engine_connection(site)
    client = RawClient(site)
    use_policy(
        site, lambda event: [t.Send(event.query, "e0")], AttemptCompleted=lambda event: [t.Send(event.query, "e1")]
    )
    client.ask(1)
    late(site)
    reactor.iterate(0)
    spin(lambda: site.core.queries)
    (query,) = site.core.queries.values()
    assert [attempt.state for attempt in query.in_flight.values()] == [AttemptState.PENDING]
    drains(site)
    run_iterations(site)
    spin(lambda: received_requests(site))
    assert not site.engines[0].wants() and len(site.engines[1].wants()) == 1


# ---- a client that is not read from


@pytest.mark.parametrize("further", [False, True])
def test_nothing_begins_for_a_client_that_is_not_read_from_and_it_has_one_answer(further):
    here = CoordinatorHarness()
    here.port.reading_paused = not further
    here.ask()
    if further:
        here.port.reading_paused = True
        here.core.complete_attempt(here.port.sent[0], "FULL")
    here.clock.advance(2 * S)
    assert len(here.port.sent) == further and [kind for kind, *_ in here.port.answers] == ["refused"]
    assert not here.core.queries and not here.core.in_flight


def test_a_dial_that_ends_while_the_client_is_not_read_from_writes_nothing(site):
    held, client = Held(site.pools), RawClient(site)
    client.ask(1)
    spin(lambda: held.waiting)
    (query,) = site.core.queries.values()
    query.reply = Deaf(query.reply)
    link = held.release()
    spin(lambda: link.up)
    site.clock.advance(3 * S)
    spin(lambda: is_idle(site))
    assert received_requests(site) == [] and len(query.reply.said) == 1


def test_what_had_waited_while_the_client_was_not_read_from_begins_only_once_its_end_would_show(site):
    """The loop is in time, but what it reads is not: the request came, and its client went, long before."""
    open_engine_connection(site)
    client = RawClient(site)
    client.served_by.pauseProducing()
    client.ask(1)
    client.socket.close()
    site.clock.advance(200 * MS)
    client.served_by.resumeProducing()
    run_iterations(site)
    assert received_requests(site) == [] and is_idle(site) and site.counters["left"] == 1


def test_a_dial_that_ends_before_a_client_is_read_again_writes_nothing_if_that_shows_its_end(site):
    held, client = Held(site.pools), RawClient(site)
    use_policy(site, lambda event: [t.Send(event.query, "e0")])
    client.ask(1)
    spin(lambda: held.waiting)
    client.served_by.pauseProducing()
    client.socket.close()
    site.clock.advance(200 * MS)
    client.served_by.resumeProducing()
    up_before_it_is_read(site, held, client, 0)
    assert received_requests(site) == [] and is_idle(site)


def test_who_is_read_from_again_and_stays_is_served(site):
    open_engine_connection(site)
    client = RawClient(site)
    client.served_by.pauseProducing()
    client.ask(1)
    site.clock.advance(200 * MS)
    client.served_by.resumeProducing()
    run_iterations(site)
    spin(lambda: len(received_requests(site)) == 1)
    assert not client.served_by.may_have_unread_input


def test_what_had_waited_unread_is_passed_on_with_the_time_that_its_client_has_left(site):
    """Its time runs from when it was sent, and that may have been as soon as the reading stopped."""
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


class Deaf:
    """The client's connection as it is while it is paused."""

    reading_paused, may_have_unread_input = True, False

    def __init__(self, connection):
        self.connection, self.said = connection, []

    def __getattr__(self, how):
        return lambda query, *said: (self.said.append(how), getattr(self.connection, how)(query, *said))


# ---- inside the hand-over from a give-up to its end


def handing_over(here, module):
    module.acts[t.QueryReceived] = lambda event: [t.Send(event.query, "e0", 200 * MS)]
    module.acts[t.AttemptCompleted] = lambda event: [] if event.settled else [t.Send(event.query, "e1")]
    query = here.ask(budget=2 * S)
    (attempt,) = here.port.sent
    here.clock.advance(200 * MS + LIMITS.deadline_check_interval)
    assert attempt.state is AttemptState.CANCELLING
    return query, attempt


@pytest.mark.parametrize("event", ["leaves", "answer", "reset", "cancel", "time-out again", "backstop", "refused"])
def test_what_comes_inside_the_hand_over_ends_the_attempt_once_and_the_request_once(event):
    module = ScriptedPolicy()
    here = CoordinatorHarness(module)
    query, attempt = handing_over(here, module)
    if event == "leaves":
        here.core.disconnect_client(query)
        here.core.disconnect_client(query)
    elif event in ("answer", "reset"):
        here.core.complete_attempt(attempt, "GOOD" if event == "answer" else "RST", {}, (ROWS,))
    elif event == "cancel":
        here.core.attempts.cancel(t.Cancel(query.id, 0))
    elif event == "time-out again":
        here.core.attempts.give_up(attempt, "LATE")
    elif event == "backstop":
        query.deadline = here.clock.now() - LIMITS.deadline_grace - LIMITS.deadline_check_interval
        here.core.deadline_monitor.sweep()
    else:
        here.core.completion.reject(t.Reject(query.id, 5))
        here.core.completion.fail(t.Fail(query.id))
    assert list(here.core.in_flight.values()) == [attempt] and here.port.given_up == [attempt]
    here.clock.advance(LIMITS.cancellation_delay + MS)
    over = event in ("leaves", "backstop", "refused")
    assert [sent.engine for sent in here.port.sent] == ["e0"] if over else ["e0", "e1"]
    assert here.counters["out_late"] == 1 and not here.counters["out_good"] and not here.counters["out_rst"]
    if not over:
        here.core.complete_attempt(here.port.sent[-1], "GOOD", {}, (ROWS,))
    assert len(here.port.answers) == (event != "leaves") and not here.core.queries and not here.core.in_flight
    ended = [told for told in module.events if isinstance(told, t.AttemptCompleted)]
    assert [told.attempt for told in ended] == ([0] if over else [0, 1])


@pytest.mark.parametrize("first", ["answer", "time-out"])
def test_an_answer_and_a_time_out_in_one_turn_give_one_answer(site, first):
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
        late(site)
    else:
        site.clock.advance(200 * MS + LIMITS.deadline_check_interval)
        answer(id, b"200", b"chunks=1", ROWS)  # it crosses the give-up
        spin(lambda: site.counters["engine_strays"])
        site.clock.advance(LIMITS.cancellation_delay + MS)
    answer(id, b"200", b"chunks=1", ROWS)  # and a second one
    spin(lambda: site.counters["engine_strays"] == 1 + (first == "time-out"))
    run_iterations(site)
    assert ["result" in answer for answer in client.heard()] == [first == "answer"]
    assert (
        is_idle(site) and site.counters["served"] + site.counters["refused"] == 1 + 1
    )  # and that of `open_engine_connection`


# ---- one end of a request, whoever brings it


ENDS = {
    "served": lambda here, query: here.core.complete_attempt(next(iter(query.in_flight.values())), "GOOD", {}, (ROWS,)),
    "refused": lambda here, query: here.core.completion.reject(t.Reject(query.id, 5)),
    "failed": lambda here, query: here.core.completion.fail(t.Fail(query.id)),
    "left": lambda here, query: here.core.disconnect_client(query),
}


@pytest.mark.parametrize("second", ENDS)
@pytest.mark.parametrize("first", ENDS)
def test_two_ends_of_a_request_in_one_turn_count_and_tell_one(first, second):
    module = ScriptedPolicy()
    module.acts[t.QueryReceived] = lambda event: [t.Send(event.query, "e0")]
    here = CoordinatorHarness(module)
    query = here.ask()
    (attempt,) = here.port.sent
    ENDS[first](here, query)
    ENDS[second](here, query) if query.in_flight else here.core.complete_attempt(attempt, "GOOD", {}, (ROWS,))
    here.clock.advance(3 * S)
    here.core.complete_attempt(attempt, "GOOD", {}, (ROWS,))
    counts = {how: here.counters[how] for how in ENDS}
    assert counts == {how: int(how == first) for how in ENDS} and not here.core.queries and not here.core.in_flight
    assert [kind for kind, *_ in here.port.answers] == [first] * (first != "left") and here.core.statement_bytes == 0


def test_a_send_after_the_answer_in_one_batch_sends_nothing():
    module = ScriptedPolicy()
    module.acts[t.QueryReceived] = lambda event: [t.Reject(event.query, 5), t.Send(event.query, "e0")]
    here = CoordinatorHarness(module)
    here.ask()
    assert here.port.sent == [] and len(here.port.answers) == 1 and not here.core.in_flight


def test_a_request_that_is_turned_back_has_one_end_and_its_id_is_not_new():
    here = CoordinatorHarness(limits=replace(LIMITS, max_open_requests=0))
    query = here.ask()
    here.core.disconnect_client(query)  # its client goes in the same turn
    assert here.core.is_known_id(query.id) and [kind for kind, *_ in here.port.answers] == ["refused"]
    assert here.counters["refused"] == 1 and not here.counters["left"] and here.core.statement_bytes == 0


def test_an_attempt_that_ends_late_takes_nothing_from_a_request_that_came_under_its_id_again():
    """Attempts are kept by their request's id and their number, and few ids are remembered."""
    module = ScriptedPolicy()
    module.acts[t.QueryReceived] = lambda event: [t.Send(event.query, "e0")]
    here = CoordinatorHarness(module, limits=replace(LIMITS, max_recent_ids=1))
    first = here.ask()
    here.core.disconnect_client(first)
    here.core.disconnect_client(here.ask())
    here.made = 0
    second = here.ask()
    assert second.id == first.id
    here.core.complete_attempt(here.port.sent[0], "RST")
    assert here.core.in_flight[second.id, 0] is second.in_flight[0]


def test_a_planted_end_that_leaves_its_request_with_the_module_is_seen(monkeypatch):
    monkeypatch.setattr(RequestCompletion, "_release", lambda self, query, how: None)
    with pytest.raises(AssertionError):
        test_a_send_after_the_answer_in_one_batch_sends_nothing()
