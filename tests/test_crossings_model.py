"""Model test of one client's connection, its requests and their attempts, over transports in memory.

The core, the routing policy, the front and the engine connections are real; sockets, dials and the event loop are fake.
A peer's bytes stay in the fake kernel until the loop reads them: each iteration makes the due calls, then reads once
from every socket, a peer's disconnect only after its last bytes. Nothing is read while the loop is paused. Steps are
random but reproducible (hypothesis). Injected bugs show that the model detects the faults that it guards against.
"""

import base64
import itertools
import json
import logging
import random
from types import SimpleNamespace

import pytest
from harness import LIMITS, MS, FakeClock, S, scheduler_without_event_loop
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule, run_state_machine_as_test
from model_coverage import coverage_test
from test_wire_models import MemoryTransport

from rackhub import interface as t
from rackhub.core import coordinator
from rackhub.core.attempts import AttemptRunner
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Attempt, AttemptState
from rackhub.core.request_completion import RequestCompletion
from rackhub.core.timers import Timers
from rackhub.counters import Counters
from rackhub.net.client import Client
from rackhub.net.jsonrpc import jsonrpc_front
from rackhub.net.pool import EnginePool, EnginePools
from rackhub.net.resp import EngineConnection
from rackhub.net.resp_protocol import encode_command
from rackhub.policy import lifecycle, retries

WINDOW = 300 * MS
CLASSES = (
    t.ClassSettings("lookup", deadline=3 * S, latency_objective=S, idempotency="retryable"),
    t.ClassSettings(
        "load",
        deadline=3 * S,
        latency_objective=S,
        idempotency="dedup",
        idempotency_scope="all",
        idempotency_window=WINDOW,
    ),
    t.ClassSettings("once", deadline=3 * S, latency_objective=S),
)
SETTINGS = t.Settings(
    classes=CLASSES,
    tenants=(t.TenantSettings("acme"),),
    kind_cores={"std": 8.0},
    clock_period=5 * MS,
    priorities=True,
    cancel=True,
    max_attempts=3,
    max_retry_after=500 * MS,
)
GONE_FOR = 100 * MS  # an attempt may begin up to this time after its client's disconnect
# Time from a deadline to the answer with a punctual event loop.
MAX_ANSWER_DELAY = LIMITS.deadline_grace + 2 * LIMITS.deadline_check_interval
REJECTING_WORDS = (b"503", b"504")
STEPS = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
ROWS = b"a\tb\tc\n"


class FakeSocket:
    """A peer's bytes that the loop has not read: chunks, followed by None after the peer's disconnect."""

    def __init__(self, protocol):
        self.protocol, self.wire, self.kernel, self.over = protocol, MemoryTransport(), [], False

    def send(self, data):
        if not (self.over or self.ended):
            self.kernel.append(data)

    @property
    def ended(self):
        return None in self.kernel

    def end(self, reset=False):
        """Disconnect the peer; a reset discards the unread bytes."""
        if not (self.over or self.ended):
            self.kernel = [None] if reset else [*self.kernel, None]

    def fetch(self):
        """Return the result of one read: all bytes received, b"" for a disconnect, None if there is nothing."""
        bytes_ = list(itertools.takewhile(lambda chunk: chunk is not None, self.kernel))
        if not self.kernel:
            return None
        got = b"".join(bytes_) if bytes_ else b""
        del self.kernel[: max(len(bytes_), 1)]
        return got

    def read(self):
        if self.over or self.wire.producerState != "producing" or (got := self.fetch()) is None:
            return
        if got:
            self.protocol.dataReceived(got)
        else:
            self.lose()

    def lose(self):
        if not self.over:
            self.over = True
            self.protocol.connectionLost()

    def leave(self):
        """Transmit the written bytes; after a half-close on this side the peer closes too."""
        self.wire.flush()
        if self.wire.aborted or self.wire.disconnecting and isinstance(self.protocol, EngineConnection):
            self.lose()
        elif self.wire.disconnecting:
            self.end()


class ClientRequest:
    """One request with its expected state."""

    def __init__(self, number, cls, budget, now):
        self.number, self.rid, self.cls, self.budget = number, f"{number:016x}", cls, budget
        self.due = now + budget * MS
        self.answers, self.gone_at = [], 0  # gone_at: when the client cancelled or disconnected; 0: it did not
        self.attempt_times = []  # times at which attempts reached an engine
        self.possibly_executed = {}  # attempt number -> when it reached an engine; only of attempts that may have run
        self.in_flight_on = None  # link with an attempt in flight
        self.given_up = 0


class RetryingPolicy:
    """A routing policy that retries as often as allowed, at once or after a backoff, with random time-outs.

    It respects no other rule, because the core must guarantee them independently of the policy.
    """

    dropped_timers = ()

    def __init__(self, seed, states):
        self.random, self.open, self.refs, self.timers = random.Random(seed), {}, itertools.count(1), {}
        self.states = states

    def handle(self, now, event):
        name = type(event).__name__
        return getattr(self, name)(now, event) if hasattr(self, name) else []

    def QueryReceived(self, now, event):  # noqa: N802 - the events' names
        self.open[event.query] = [event, 0, 0]  # event, number of attempts, number of attempts that may have run
        left = event.deadline - now - self.random.choice([10, 150]) * MS
        return [self.later(left, self.final, event.query), *self.send(event.query)]

    def AttemptCompleted(self, now, event):  # noqa: N802
        if event.settled or event.query not in self.open:
            self.open.pop(event.query, None)
            return []
        known = self.open[event.query]
        known[2] += event.outcome not in retries.NOT_EXECUTED_OUTCOMES
        effect = next(each.idempotency for each in CLASSES if each.name == known[0].cls)
        if event.outcome == "NOP" or known[1] >= SETTINGS.max_attempts or effect == "fragile" and known[2]:
            return self.final(event.query)
        wait = self.random.choice([0, 0, 40, 120, 250])
        return [self.later(wait * MS, self.send, event.query)] if wait else self.send(event.query)

    def ClientDisconnected(self, now, event):  # noqa: N802
        in_flight = range(self.open.pop(event.query, (0, 0, 0))[1])
        return [t.Cancel(event.query, number) for number in in_flight] if self.random.random() < 0.5 else []

    def TimerFired(self, now, event):  # noqa: N802
        call, id = self.timers.pop(event.timer_id)
        return call(id) if id in self.open else []

    def later(self, delay, call, id):
        ref = next(self.refs)
        self.timers[ref] = call, id
        return t.Timer(max(delay, 1), ref)

    def send(self, id):
        ready = [name for name, state in self.states.items() if state == "Ready"]
        if not ready:
            return self.final(id)
        self.open[id][1] += 1
        return [t.Send(id, self.random.choice(ready), self.random.choice([0, 0, 60 * MS, 200 * MS]))]

    def final(self, id):
        event, tries, possibly_executed = self.open.pop(id)
        return [t.Fail(id)] if event.cls == "once" and tries else [t.Reject(id, 100 * MS)]


class CrossingsModel(RuleBasedStateMachine):
    """A coordinator, one client after another, two engines."""

    def __init__(self):
        super().__init__()
        logging.disable(logging.CRITICAL)
        self.clock, self.counters = FakeClock(), Counters()
        self.numbers, self.requests, self.links, self.dials = itertools.count(1), {}, {}, []
        self.client, self.paused_until = None, 0  # time of the end of the last pause of the loop
        self.states = {"e0": "Ready", "e1": "Ready"}

    @initialize(cancel=st.booleans(), eager=st.sampled_from([None, *range(8)]), prompt=st.sampled_from([1, 1, 0]))
    def begin(self, cancel, eager, prompt):
        self.prompt = prompt  # dials are connected in the next iteration
        site_settings = (
            SETTINGS
            if cancel
            else t.Settings(**{name: getattr(SETTINGS, name) for name in SETTINGS.__slots__ if name != "cancel"})
        )
        self.core = Coordinator(site_settings, 7, self.clock, Timers(self.clock, self.clock), LIMITS, self.counters)
        if eager is not None:
            self.core.decisions.control = RetryingPolicy(eager, self.states)
        shared = self.clock, LIMITS, self.counters, self.core
        self.front = jsonrpc_front(self.core, LIMITS, self.counters, scheduler_without_event_loop())

        def dial(pool: EnginePool):
            link = EngineConnection(pool, *shared)
            pool.dials[link] = SimpleNamespace(stopConnecting=lambda: self.dial_fails(link))
            self.dials.append(link)
            return link

        self.pools = EnginePools(dial, self.clock, LIMITS, self.counters, self.core, LIMITS.max_connections_per_engine)
        self.pools.update_endpoints({name: ("127.0.0.1", number) for number, name in enumerate(self.states)})
        self.core.start(self.pools, [t.EngineEntry(name, "z", "std") for name in self.states], 1)
        self.clients = []
        self.connect()
        for cls in CLASSES:
            self.one_request(cls.name, 900)

    def coverage_state(self):
        """Return the state of the client's connection and of the process."""
        paused = "paused" if self.client.wire.producerState == "paused" else "read"
        return f"{'over' if self.client.over else paused}, {'draining' if not self.core.accepting else 'accepting'}"

    def connect(self):
        self.client = FakeSocket(self.front.buildProtocol(None))
        self.client.protocol.makeConnection(self.client.wire)
        self.clients.append(self.client)
        self.requests_of_client = {}

    def teardown(self):
        try:
            if hasattr(self, "core"):
                self.check_nothing_left()
        finally:
            logging.disable(logging.NOTSET)

    def check_nothing_left(self):
        """Check that nothing is left after all peers have disconnected."""
        self.client_resumes_reading()
        for link in list(self.dials):
            self.dial_fails(link)
        self.run(1_200 * MS)
        self.client.end()
        for socket in self.links.values():
            socket.end()
        self.run(200 * MS)
        assert not self.core.queries and not self.core.in_flight and self.core.statement_bytes == 0
        assert not any(link.open for link in self.links) and not any(
            connection.protocol.open for connection in self.clients
        )
        counted = sum(self.counters[how] for how in ("served", "refused", "failed", "left"))
        assert counted == self.counters["requests_in"]
        assert self.counters["attempts"] >= sum(len(request.attempt_times) for request in self.requests.values())

    # ---- the loop

    def run_iteration(self):
        """Run one event-loop iteration: due calls, then one read of each socket, then the writes."""
        if self.clock._wake and self.clock._wake[0] <= self.clock.time:
            (_, call), self.clock._wake = self.clock._wake, None
            call()
        self.check_written()
        if self.prompt:
            self.connect_all_dials()
        for socket in [*self.links.values(), *self.clients]:
            socket.read()
            self.check_written()
        for link, socket in self.links.items():
            if socket.wire.disconnecting:  # closed on this side, which cancels its attempts
                self.clear_in_flight(link)
        for socket in [*self.links.values(), *self.clients]:
            socket.leave()
        self.check_written()

    def run(self, span):
        """Run a punctual loop for `span`: an iteration at each due time, and three at the end."""
        until = self.clock.time + span
        for _ in range(100_000):
            due = self.clock._wake[0] if self.clock._wake else until
            if due >= until:
                break
            self.clock.time = max(due, self.clock.time)
            self.run_iteration()
        self.clock.time = until
        for _ in range(3):
            self.run_iteration()
        self.check_deadlines()

    def check_deadlines(self):
        for request in self.requests_of_client.values():
            unread = self.client.wire.producerState == "paused" or self.client.protocol.ending
            if not (request.answers or request.gone_at or self.client.over or unread):
                assert self.clock.time <= max(request.due, self.paused_until) + MAX_ANSWER_DELAY, "an answer is late"

    # ---- checks of the written bytes

    def check_written(self):
        for link, socket in self.links.items():
            for words in commands(socket.wire.take_output()) if socket.wire.io.tell() else ():
                if words[0] == b"want":
                    self.check_attempt(self.requests[words[1].decode()], link)
                elif words[0] in (b"never_mind", b"shut"):
                    request = self.requests[words[1].decode()]
                    if request.in_flight_on is link:
                        request.in_flight_on, request.given_up = None, self.clock.time
        for client in self.clients:
            for line in client.wire.take_output().splitlines():
                self.check_answer(json.loads(line))

    def check_attempt(self, request, link):
        now, rules = self.clock.time, next(each for each in CLASSES if each.name == request.cls)
        assert request.in_flight_on is None, "two attempts are in flight"
        assert not request.given_up or now >= request.given_up + LIMITS.cancellation_delay, (
            "an attempt overtakes the cancellation"
        )
        assert not request.answers, "an attempt after the answer"
        assert not request.gone_at or now <= request.gone_at + GONE_FOR, "an attempt for a client that has disconnected"
        assert self.states[link.pool.name] == "Ready", "an attempt to a draining engine"
        assert len(request.attempt_times) < SETTINGS.max_attempts, "too many attempts"
        assert rules.idempotency != "fragile" or not request.possibly_executed, (
            "a retry although the request may have run"
        )
        window = min(request.possibly_executed.values(), default=now) + WINDOW
        assert rules.idempotency != "dedup" or now < window, "a retry after the idempotency window"
        if self.links[link].ended:  # crosses the engine's disconnect: the attempt does not arrive
            return
        request.possibly_executed[len(request.attempt_times)] = now
        request.attempt_times.append(now)
        request.in_flight_on = link

    def check_answer(self, answer):
        request = self.requests_of_client.get(answer["id"])
        if request is None:
            return
        request.answers.append(answer)
        assert len(request.answers) == 1, "a second answer"
        refused = answer.get("error", {}).get("code") == -32008
        assert not (refused and request.cls == "once" and request.possibly_executed), (
            "a rejection although the request may have run"
        )
        assert "result" not in answer or base64.b64decode(answer["result"]["body"]) == ROWS

    # ---- the client

    @rule(
        cls=st.sampled_from([each.name for each in CLASSES]),
        budget=st.sampled_from([300, 900, 900]),
        disconnects=st.sampled_from(["", "", "", "", "cancel", "close"]),
    )
    def client_sends_requests(self, cls, budget, disconnects):
        if self.client.over:
            self.connect()
        for _ in range(1 if self.client.ended else 3):
            self.one_request(cls, budget)
        if disconnects and not self.client.ended:
            self.client_cancels(0, True) if disconnects == "cancel" else self.client_disconnects(False)

    def one_request(self, cls, budget):
        number = next(self.numbers)
        request = self.requests[f"{number:016x}"] = self.requests_of_client[number] = ClientRequest(
            number, cls, budget, self.clock.time
        )
        body = base64.b64encode(b"SELECT 1 FROM a_3.b").decode()
        self.say(
            {
                "jsonrpc": "2.0",
                "id": number,
                "method": cls,
                "params": {"rid": request.rid, "budget": budget, "acct": "acme", "body": body, "token": f"k{number}"},
            }
        )

    def say(self, message):
        self.client.send(json.dumps(message).encode() + b"\n")

    @precondition(lambda self: self.requests_of_client and not self.client.over)
    @rule(which=st.integers(0, 3), last=st.booleans())
    def client_cancels(self, which, last):
        open_ = [request for request in self.requests_of_client.values() if not request.answers and not request.gone_at]
        if open_:
            request = open_[-1 if last else which % len(open_)]
            self.say({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": request.number}})
            request.gone_at = self.clock.time

    @precondition(lambda self: self.core.queries and not self.client.over)
    @rule(span=st.sampled_from([60, 200]), how=st.sampled_from(["cancel", "close"]))
    def client_disconnects_while_loop_is_paused(self, span, how):
        self.client_cancels(0, True) if how == "cancel" else self.client_disconnects(False)
        self.pause_loop(span)

    @precondition(lambda self: self.core.queries and not self.client.over)
    @rule(reset=st.booleans())
    def client_disconnects(self, reset):
        if self.client.over or self.client.ended:
            return
        self.client.end(reset)
        for request in self.requests_of_client.values():
            request.gone_at = request.gone_at or self.clock.time

    @precondition(lambda self: self.core.queries)
    @rule()
    def client_sends_partial_request_and_disconnects(self):
        self.client.send(b'{"jsonrpc":"2.0","id":9')
        self.client_disconnects(False)

    @precondition(lambda self: self.core.queries and not self.client.over)
    @rule()
    def client_stops_reading(self):
        """Reading from the client is paused then, so its disconnect is not detected."""
        if not self.client.over and self.client.wire.producerState == "producing":
            self.client.protocol.pauseProducing()

    @precondition(lambda self: self.core.queries and not self.client.over)
    @rule()
    def client_disconnects_while_reading_is_paused(self):
        self.client_stops_reading()
        self.client_disconnects(False)
        self.run(250 * MS)

    @precondition(lambda self: self.client.wire.producerState == "paused")
    @rule()
    def client_resumes_reading(self):
        if not self.client.over and self.client.wire.producerState == "paused":
            self.client.protocol.resumeProducing()
            for (
                request
            ) in self.requests_of_client.values():  # the deadline of a request that was not read yet counts from now
                request.due = max(request.due, self.clock.time + request.budget * MS)

    # ---- engines

    @precondition(lambda self: self.dials)
    @rule()
    def connect_all_dials(self):
        while self.dials:
            self.connect_dial(0)

    @precondition(lambda self: self.dials)
    @rule(which=st.integers(0, 3))
    def connect_dial(self, which):
        link = self.dials.pop(which % len(self.dials))
        del link.pool.dials[link]
        self.links[link] = socket = FakeSocket(link)
        link.makeConnection(socket.wire)
        self.check_written()

    @precondition(lambda self: self.dials)
    @rule(which=st.integers(0, 3))
    def refuse_dial(self, which):
        self.dial_fails(self.dials[which % len(self.dials)])
        self.check_written()

    def dial_fails(self, link):
        self.dials.remove(link)
        link.pool.dial_failed(link)

    @precondition(lambda self: any(request.in_flight_on for request in self.requests.values()))
    @rule(
        which=st.integers(0, 5),
        word=st.sampled_from([b"200", b"200", b"503", b"503", b"504", b"500", b"spoilt"]),
        twice=st.booleans(),
    )
    def engine_answers(self, which, word, twice):
        in_flight = [request for request in self.requests.values() if request.in_flight_on]
        request = in_flight[which % len(in_flight)]
        spoilt, word = word == b"spoilt", word if word != b"spoilt" else b"200"
        answer = b"".join(encode_command(request.rid.encode(), word, b"chunks=1", b"spoilt" if spoilt else ROWS))
        socket, request.in_flight_on = self.links[request.in_flight_on], None
        socket.send(answer * (1 + twice))
        if word in REJECTING_WORDS:
            request.possibly_executed.pop(len(request.attempt_times) - 1)

    @precondition(lambda self: any(request.in_flight_on and request.answers for request in self.requests.values()))
    @rule()
    def engine_answers_completed_request(self):
        request = next(request for request in self.requests.values() if request.in_flight_on and request.answers)
        self.links[request.in_flight_on].send(b"".join(encode_command(request.rid.encode(), b"200", b"chunks=1", ROWS)))
        request.in_flight_on = None

    @precondition(lambda self: self.links)
    @rule(which=st.integers(0, 5), reset=st.booleans())
    def engine_disconnects(self, which, reset):
        link, socket = list(self.links.items())[which % len(self.links)]
        socket.end(reset)
        self.clear_in_flight(link)

    def clear_in_flight(self, link):
        for request in self.requests.values():
            request.in_flight_on = None if request.in_flight_on is link else request.in_flight_on

    @precondition(lambda self: self.core.queries)
    @rule(name=st.sampled_from(["e0", "e1"]), state=st.sampled_from(["Ready", "Draining", "gone"]))
    def update_endpoint(self, name, state):
        self.states[name] = state
        there = {name: state for name, state in self.states.items() if state != "gone"}
        entries = [t.EngineEntry(name, "z", "std", state=state) for name, state in there.items()]
        self.core.update_endpoints(entries, 2)
        self.pools.update_endpoints({name: ("127.0.0.1", int(name[1:])) for name in there}, entries)
        self.check_written()

    @precondition(lambda self: self.dials)
    @rule(state=st.sampled_from(["Draining", "gone"]))
    def connect_dial_while_engine_drains(self, state):
        link = self.dials[0]
        self.update_endpoint(link.pool.name, state)
        if link in self.dials:
            self.connect_dial(self.dials.index(link))

    # ---- time

    @precondition(lambda self: self.requests)
    @rule(span=st.sampled_from([1, 20, 80, 250]))
    def time_passes(self, span):
        self.run(span * MS)

    @precondition(lambda self: self.core.queries)
    @rule(span=st.sampled_from([60, 200, 500]))
    def pause_loop(self, span):
        """Let time pass without an iteration, then run some."""
        self.clock.time += span * MS
        self.paused_until = self.clock.time
        for _ in range(6):
            self.run_iteration()

    @precondition(lambda self: self.core.accepting and len(self.requests) > 9)
    @rule(seldom=st.integers(0, 3))
    def sigterm(self, seldom):
        if not seldom:
            self.core.start_draining(200 * MS)


REQUIRED_STATES = [
    f"{client}, {process}" for client in ("read", "paused", "over") for process in ("accepting", "draining")
]


def commands(data):
    """Return the arrays of bulk strings in the written bytes."""
    found = []
    while data:
        header, _, data = data.partition(b"\r\n")
        words = []
        for _ in range(int(header[1:])):
            size, _, data = data.partition(b"\r\n")
            words.append(data[: int(size[1:])])
            data = data[int(size[1:]) + 2 :]
        found.append(words)
    return found


# A failing run is printed without shrinking, which would take minutes; the steps are few enough to read.
TestCrossingsModel = coverage_test(
    CrossingsModel, settings(STEPS, phases=[Phase.explicit, Phase.generate]), REQUIRED_STATES
)


# ---- injected bugs


def calls_not_deferred(patch):
    patch.setattr(Timers, "call_after_reads", lambda self, late, call, *args: call(*args))


def attempts_not_cancelled_at_completion(patch):
    real = RequestCompletion.complete

    def end(self, query, how, *details):
        attempts, query.in_flight = query.in_flight, {}
        try:
            return real(self, query, how, *details)
        finally:
            query.in_flight = attempts

    patch.setattr(RequestCompletion, "complete", end)


def sent_while_reading_is_paused(patch):
    patch.setattr(Attempt, "send_blocked_by", lambda self, now, lease=None: "NOCONN" if 0 < self.send_by <= now else "")


def unread_input_ignored(patch):
    patch.setattr(Client, "may_have_unread_input", property(lambda self: False, lambda self, value: None))


def send_by_and_lease_ignored(patch):
    patch.setattr(
        Attempt, "send_blocked_by", lambda self, now, lease=None: "NOP" if self.query.reply.reading_paused else ""
    )


def no_delay_after_cancellation(patch):
    def give_up(self, attempt, reason):
        if not attempt.done:
            attempt.state = AttemptState.CANCELLING
            self._state.engines.give_up(attempt)
            self.complete(attempt, reason)

    patch.setattr(AttemptRunner, "give_up", give_up)


def completed_twice(patch):
    real = RequestCompletion.complete

    def end(self, query, how, *details):
        query.closed = False
        return real(self, query, how, *details)

    patch.setattr(RequestCompletion, "complete", end)


def draining_ignored_by_pools(patch):
    patch.setattr(
        EnginePools,
        "update_endpoints",
        lambda self, addresses, entries=(), real=EnginePools.update_endpoints: real(self, addresses),
    )


def time_out_counts_as_not_executed(patch):
    outcomes = (*retries.NOT_EXECUTED_OUTCOMES, "LATE", "RST", "BAD")
    patch.setattr(retries, "NOT_EXECUTED_OUTCOMES", outcomes)
    patch.setattr(lifecycle, "NOT_EXECUTED_OUTCOMES", outcomes)  # imported there by name


def disconnect_ignored(patch):
    patch.setattr(coordinator.Coordinator, "disconnect_client", lambda self, query: None)


def first_attempt_never_completed(patch):
    real = AttemptRunner.complete
    patch.setattr(
        AttemptRunner,
        "complete",
        lambda self, attempt, *details: real(self, attempt, *details) if attempt.number else None,
    )


INJECTED_BUGS = (
    calls_not_deferred,
    attempts_not_cancelled_at_completion,
    sent_while_reading_is_paused,
    unread_input_ignored,
    send_by_and_lease_ignored,
    no_delay_after_cancellation,
    completed_twice,
    draining_ignored_by_pools,
    time_out_counts_as_not_executed,
    disconnect_ignored,
    first_attempt_never_completed,
)
SEARCH = settings(STEPS, max_examples=2_000, phases=[Phase.generate], report_multiple_bugs=False)


@pytest.mark.parametrize("inject", INJECTED_BUGS, ids=lambda inject: inject.__name__)
def test_model_detects_injected_bug(inject, monkeypatch):
    inject(monkeypatch)
    with pytest.raises((AssertionError, KeyError, AttributeError)) as found:
        run_state_machine_as_test(CrossingsModel, settings=SEARCH)
    print(inject.__name__, found.value)


FAILING_RUN = (
    ("begin", {"prompt": 1, "cancel": False, "eager": 0}),
    ("client_cancels", {"last": False, "which": 2}),
    ("client_sends_requests", {"budget": 900, "cls": "once", "disconnects": ""}),
    ("client_cancels", {"last": True, "which": 2}),
    ("client_sends_requests", {"budget": 900, "cls": "once", "disconnects": "cancel"}),
    ("client_cancels", {"last": True, "which": 2}),
    ("client_sends_requests", {"budget": 300, "cls": "lookup", "disconnects": ""}),
    ("sigterm", {"seldom": 1}),
    ("sigterm", {"seldom": 2}),
    ("client_cancels", {"last": True, "which": 1}),
    ("client_cancels", {"last": True, "which": 0}),
    ("client_sends_requests", {"budget": 300, "cls": "lookup", "disconnects": ""}),
    ("client_sends_requests", {"budget": 900, "cls": "lookup", "disconnects": ""}),
    ("time_passes", {"span": 20}),
    ("client_sends_requests", {"budget": 300, "cls": "load", "disconnects": ""}),
    ("client_cancels", {"last": True, "which": 1}),
    ("engine_disconnects", {"reset": False, "which": 5}),
    ("client_cancels", {"last": False, "which": 1}),
    ("client_sends_requests", {"budget": 300, "cls": "once", "disconnects": ""}),
    ("client_disconnects_while_reading_is_paused", {}),
    ("client_sends_requests", {"budget": 300, "cls": "load", "disconnects": ""}),
    ("update_endpoint", {"name": "e1", "state": "gone"}),
    ("engine_disconnects", {"reset": True, "which": 0}),
    ("client_sends_requests", {"budget": 900, "cls": "load", "disconnects": ""}),
    ("client_cancels", {"last": False, "which": 2}),
    ("client_resumes_reading", {}),
    ("client_disconnects", {"reset": True}),
    ("client_disconnects_while_reading_is_paused", {}),
)


def test_no_attempt_begins_for_a_client_that_disconnects_while_reading_is_paused():
    """Replays a failing run that the model found, after another client has disconnected; preconditions are checked."""
    model = CrossingsModel()
    try:
        for step, words in FAILING_RUN:
            rule = getattr(getattr(CrossingsModel, step), "hypothesis_stateful_rule", None)
            assert rule is None or all(holds(model) for holds in rule.preconditions), (
                f"the preconditions of {step} do not hold"
            )
            getattr(model, step)(**words)
    finally:
        model.teardown()
