"""A client's connection, its requests and their attempts over transports in memory, against a model of what must hold.

The core, its module, the front and the engine connections are the real ones; sockets, dials and the loop are played.
What a peer does lies in the kernel until the loop reads it: each turn makes the calls that are due, then reads once
from every socket, a peer's end only after its last bytes. So a loop that stands still is a time in which nobody looks.
Steps are random (hypothesis, always the same ones). Planted mistakes show that the model finds what it is for.
"""

import base64
import itertools
import json
import logging
import random
from types import SimpleNamespace

import pytest
from harness import LIMITS, MS, FakeClock, S
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
GONE_FOR = 100 * MS  # after its client's end no attempt may begin
SLACK = LIMITS.deadline_grace + 2 * LIMITS.deadline_check_interval  # after a deadline, with a loop in time
NEVER_RAN = (b"503", b"504")
STEPS = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
ROWS = b"a\tb\tc\n"


class Socket:
    """What a peer has sent and the loop has not read: chunks of bytes, then perhaps `None`, its end."""

    def __init__(self, protocol):
        self.protocol, self.wire, self.kernel, self.over = protocol, MemoryTransport(), [], False

    def send(self, data):
        if not (self.over or self.ended):
            self.kernel.append(data)

    @property
    def ended(self):
        return None in self.kernel

    def end(self, reset=False):
        """A reset throws away what was not read."""
        if not (self.over or self.ended):
            self.kernel = [None] if reset else [*self.kernel, None]

    def fetch(self):
        """What one read brings: all bytes that are there, or the end."""
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
        """What was written leaves; of what was closed on this side by half, the peer closes the other half."""
        self.wire.flush()
        if self.wire.aborted or self.wire.disconnecting and isinstance(self.protocol, EngineConnection):
            self.lose()
        elif self.wire.disconnecting:
            self.end()


class Asked:
    """One request as its client and the engines know it."""

    def __init__(self, number, cls, budget, now):
        self.number, self.rid, self.cls, self.budget = number, f"{number:016x}", cls, budget
        self.due = now + budget * MS
        self.answers, self.went = [], 0  # when its client cancelled or closed
        self.wants = []  # when each of its attempts came to an engine
        self.maybe = {}  # of those that may have run: number -> when it came
        self.out = None  # the link that has it: it is out
        self.given_up = 0


class Eager:
    """A module that sends again whenever it may, at once or after a back-off, with time-outs, and that keeps to nothing
    else: what must hold whatever the module decides is the core's to see to."""

    def __init__(self, seed, states):
        self.random, self.open, self.refs, self.timers = random.Random(seed), {}, itertools.count(1), {}
        self.states = states

    def handle(self, now, event):
        name = type(event).__name__
        return getattr(self, name)(now, event) if hasattr(self, name) else []

    def QueryReceived(self, now, event):  # noqa: N802 - the events' names
        self.open[event.query] = [event, 0, 0]  # its attempts so far, and how many of them may have run
        left = event.deadline - now - self.random.choice([10, 150]) * MS
        return [self.later(left, self.final, event.query), *self.send(event.query)]

    def AttemptCompleted(self, now, event):  # noqa: N802
        if event.settled or event.query not in self.open:
            self.open.pop(event.query, None)
            return []
        known = self.open[event.query]
        known[2] += event.outcome not in retries.NOT_EXECUTED_OUTCOMES
        effect = next(told.idempotency for told in CLASSES if told.name == known[0].cls)
        if event.outcome == "NOP" or known[1] >= SETTINGS.max_attempts or effect == "fragile" and known[2]:
            return self.final(event.query)
        wait = self.random.choice([0, 0, 40, 120, 250])
        return [self.later(wait * MS, self.send, event.query)] if wait else self.send(event.query)

    def ClientDisconnected(self, now, event):  # noqa: N802
        out = range(self.open.pop(event.query, (0, 0, 0))[1])
        return [t.Cancel(event.query, number) for number in out] if self.random.random() < 0.5 else []

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
        event, tries, maybe = self.open.pop(id)
        return [t.Fail(id)] if event.cls == "once" and tries else [t.Reject(id, 100 * MS)]


class CrossingsModel(RuleBasedStateMachine):
    """A coordinator, one client after another, two engines."""

    def __init__(self):
        super().__init__()
        logging.disable(logging.CRITICAL)
        self.clock, self.counters = FakeClock(), Counters()
        self.numbers, self.asked, self.links, self.dials = itertools.count(1), {}, {}, []
        self.client, self.stood = None, 0  # when the loop last stood still
        self.states = {"e0": "Ready", "e1": "Ready"}

    @initialize(cancel=st.booleans(), eager=st.sampled_from([None, *range(8)]), prompt=st.sampled_from([1, 1, 0]))
    def begin(self, cancel, eager, prompt):
        self.prompt = prompt  # dials come up in the next turn
        told = (
            SETTINGS
            if cancel
            else t.Settings(**{name: getattr(SETTINGS, name) for name in SETTINGS.__slots__ if name != "cancel"})
        )
        self.core = Coordinator(told, 7, self.clock, Timers(self.clock, self.clock), LIMITS, self.counters)
        if eager is not None:
            self.core.decisions.control = Eager(eager, self.states)
        shared = self.clock, LIMITS, self.counters, self.core
        self.front = jsonrpc_front(self.core, LIMITS, self.counters)

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
        for told in CLASSES:
            self.one_request(told.name, 900)

    def coverage_state(self):
        """Where the client stands, and the process."""
        paused = "paused" if self.client.wire.producerState == "paused" else "read"
        return f"{'over' if self.client.over else paused}, {'draining' if not self.core.accepting else 'accepting'}"

    def connect(self):
        self.client = Socket(self.front.buildProtocol(None))
        self.client.protocol.makeConnection(self.client.wire)
        self.clients.append(self.client)
        self.mine = {}

    def teardown(self):
        try:
            if hasattr(self, "core"):
                self.all_ends()
        finally:
            logging.disable(logging.NOTSET)

    def all_ends(self):
        """Nothing that was started is left, once all have gone their way."""
        self.takes_its_answers_again()
        for link in list(self.dials):
            self.dial_fails(link)
        self.run(1_200 * MS)
        self.client.end()
        for socket in self.links.values():
            socket.end()
        self.run(200 * MS)
        assert not self.core.queries and not self.core.in_flight and self.core.statement_bytes == 0
        assert not any(link.open for link in self.links) and not any(one.protocol.open for one in self.clients)
        counted = sum(self.counters[how] for how in ("served", "refused", "failed", "left"))
        assert counted == self.counters["requests_in"]
        assert self.counters["attempts"] >= sum(len(asked.wants) for asked in self.asked.values())

    # ---- the loop

    def turn(self):
        """Calls that are due, then what was fetched for this turn, then what was written leaves."""
        if self.clock._wake and self.clock._wake[0] <= self.clock.time:
            (_, call), self.clock._wake = self.clock._wake, None
            call()
        self.look()
        if self.prompt:
            self.all_dials_are_up()
        for socket in [*self.links.values(), *self.clients]:
            socket.read()
            self.look()
        for link, socket in self.links.items():
            if socket.wire.disconnecting:  # closed here, which gives up all that is open on it
                self.nothing_out(link)
        for socket in [*self.links.values(), *self.clients]:
            socket.leave()
        self.look()

    def run(self, span):
        """A loop in time: a turn at each time that a call is due, and one at the end."""
        until = self.clock.time + span
        for _ in range(100_000):
            due = self.clock._wake[0] if self.clock._wake else until
            if due >= until:
                break
            self.clock.time = max(due, self.clock.time)
            self.turn()
        self.clock.time = until
        for _ in range(3):
            self.turn()
        self.in_time()

    def in_time(self):
        for asked in self.mine.values():
            unread = self.client.wire.producerState == "paused" or self.client.protocol.ending
            if not (asked.answers or asked.went or self.client.over or unread):
                assert self.clock.time <= max(asked.due, self.stood) + SLACK, "an answer is late"

    # ---- what is written, judged as it is

    def look(self):
        for link, socket in self.links.items():
            for words in commands(socket.wire.take_output()) if socket.wire.io.tell() else ():
                if words[0] == b"want":
                    self.begun(self.asked[words[1].decode()], link)
                elif words[0] in (b"never_mind", b"shut"):
                    asked = self.asked[words[1].decode()]
                    if asked.out is link:
                        asked.out, asked.given_up = None, self.clock.time
        for client in self.clients:
            for line in client.wire.take_output().splitlines():
                self.told(json.loads(line))

    def begun(self, asked, link):
        now, told = self.clock.time, next(told for told in CLASSES if told.name == asked.cls)
        assert asked.out is None, "two attempts are out"
        assert not asked.given_up or now >= asked.given_up + LIMITS.cancellation_delay, (
            "an attempt overtakes the give-up"
        )
        assert not asked.answers, "an attempt after the answer"
        assert not asked.went or now <= asked.went + GONE_FOR, "an attempt for a client that has gone"
        assert self.states[link.pool.name] == "Ready", "an attempt to an engine that drains"
        assert len(asked.wants) < SETTINGS.max_attempts, "too many attempts"
        assert told.idempotency != "fragile" or not asked.maybe, "a further attempt with no proof"
        window = min(asked.maybe.values(), default=now) + WINDOW
        assert told.idempotency != "dedup" or now < window, "out of its window"
        if self.links[link].ended:  # it crosses the engine's end and comes to nobody
            return
        asked.maybe[len(asked.wants)] = now
        asked.wants.append(now)
        asked.out = link

    def told(self, answer):
        asked = self.mine.get(answer["id"])
        if asked is None:
            return
        asked.answers.append(answer)
        assert len(asked.answers) == 1, "a second answer"
        refused = answer.get("error", {}).get("code") == -32008
        assert not (refused and asked.cls == "once" and asked.maybe), "a refusal with no proof"
        assert "result" not in answer or base64.b64decode(answer["result"]["body"]) == ROWS

    # ---- the client

    @rule(
        cls=st.sampled_from([told.name for told in CLASSES]),
        budget=st.sampled_from([300, 900, 900]),
        goes=st.sampled_from(["", "", "", "", "cancel", "close"]),
    )
    def asks(self, cls, budget, goes):
        if self.client.over:
            self.connect()
        for _ in range(1 if self.client.ended else 3):
            self.one_request(cls, budget)
        if goes and not self.client.ended:
            self.cancels(0, True) if goes == "cancel" else self.goes(False)

    def one_request(self, cls, budget):
        number = next(self.numbers)
        asked = self.asked[f"{number:016x}"] = self.mine[number] = Asked(number, cls, budget, self.clock.time)
        body = base64.b64encode(b"SELECT 1 FROM a_3.b").decode()
        self.say(
            {
                "jsonrpc": "2.0",
                "id": number,
                "method": cls,
                "params": {"rid": asked.rid, "budget": budget, "acct": "acme", "body": body, "token": f"k{number}"},
            }
        )

    def say(self, message):
        self.client.send(json.dumps(message).encode() + b"\n")

    @precondition(lambda self: self.mine and not self.client.over)
    @rule(which=st.integers(0, 3), last=st.booleans())
    def cancels(self, which, last):
        open_ = [asked for asked in self.mine.values() if not asked.answers and not asked.went]
        if open_:
            asked = open_[-1 if last else which % len(open_)]
            self.say({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": asked.number}})
            asked.went = self.clock.time

    @precondition(lambda self: self.core.queries and not self.client.over)
    @rule(span=st.sampled_from([60, 200]), how=st.sampled_from(["cancel", "close"]))
    def goes_while_the_loop_stands_still(self, span, how):
        self.cancels(0, True) if how == "cancel" else self.goes(False)
        self.stands_still(span)

    @precondition(lambda self: self.core.queries and not self.client.over)
    @rule(reset=st.booleans())
    def goes(self, reset):
        if self.client.over or self.client.ended:
            return
        self.client.end(reset)
        for asked in self.mine.values():
            asked.went = asked.went or self.clock.time

    @precondition(lambda self: self.core.queries)
    @rule()
    def half_a_request_then_the_end(self):
        self.client.send(b'{"jsonrpc":"2.0","id":9')
        self.goes(False)

    @precondition(lambda self: self.core.queries and not self.client.over)
    @rule()
    def stops_taking_its_answers(self):
        """It is paused for that: its end can't be seen."""
        if not self.client.over and self.client.wire.producerState == "producing":
            self.client.protocol.pauseProducing()

    @precondition(lambda self: self.core.queries and not self.client.over)
    @rule()
    def goes_while_it_is_not_read_from(self):
        self.stops_taking_its_answers()
        self.goes(False)
        self.run(250 * MS)

    @precondition(lambda self: self.client.wire.producerState == "paused")
    @rule()
    def takes_its_answers_again(self):
        if not self.client.over and self.client.wire.producerState == "paused":
            self.client.protocol.resumeProducing()
            for asked in self.mine.values():  # what was not read meanwhile has its time from now
                asked.due = max(asked.due, self.clock.time + asked.budget * MS)

    # ---- engines

    @precondition(lambda self: self.dials)
    @rule()
    def all_dials_are_up(self):
        while self.dials:
            self.dial_is_up(0)

    @precondition(lambda self: self.dials)
    @rule(which=st.integers(0, 3))
    def dial_is_up(self, which):
        link = self.dials.pop(which % len(self.dials))
        del link.pool.dials[link]
        self.links[link] = socket = Socket(link)
        link.makeConnection(socket.wire)
        self.look()

    @precondition(lambda self: self.dials)
    @rule(which=st.integers(0, 3))
    def dial_is_refused(self, which):
        self.dial_fails(self.dials[which % len(self.dials)])
        self.look()

    def dial_fails(self, link):
        self.dials.remove(link)
        link.pool.dial_failed(link)

    @precondition(lambda self: any(asked.out for asked in self.asked.values()))
    @rule(
        which=st.integers(0, 5),
        word=st.sampled_from([b"200", b"200", b"503", b"503", b"504", b"500", b"spoilt"]),
        twice=st.booleans(),
    )
    def answers(self, which, word, twice):
        out = [asked for asked in self.asked.values() if asked.out]
        asked = out[which % len(out)]
        spoilt, word = word == b"spoilt", word if word != b"spoilt" else b"200"
        answer = b"".join(encode_command(asked.rid.encode(), word, b"chunks=1", b"spoilt" if spoilt else ROWS))
        socket, asked.out = self.links[asked.out], None
        socket.send(answer * (1 + twice))
        if word in NEVER_RAN:
            asked.maybe.pop(len(asked.wants) - 1)

    @precondition(lambda self: any(asked.out and asked.answers for asked in self.asked.values()))
    @rule()
    def answers_what_is_answered(self):
        asked = next(asked for asked in self.asked.values() if asked.out and asked.answers)
        self.links[asked.out].send(b"".join(encode_command(asked.rid.encode(), b"200", b"chunks=1", ROWS)))
        asked.out = None

    @precondition(lambda self: self.links)
    @rule(which=st.integers(0, 5), reset=st.booleans())
    def engine_ends_it(self, which, reset):
        link, socket = list(self.links.items())[which % len(self.links)]
        socket.end(reset)
        self.nothing_out(link)

    def nothing_out(self, link):
        for asked in self.asked.values():
            asked.out = None if asked.out is link else asked.out

    @precondition(lambda self: self.core.queries)
    @rule(name=st.sampled_from(["e0", "e1"]), state=st.sampled_from(["Ready", "Draining", "gone"]))
    def news(self, name, state):
        self.states[name] = state
        there = {name: state for name, state in self.states.items() if state != "gone"}
        entries = [t.EngineEntry(name, "z", "std", state=state) for name, state in there.items()]
        self.core.update_endpoints(entries, 2)
        self.pools.update_endpoints({name: ("127.0.0.1", int(name[1:])) for name in there}, entries)
        self.look()

    @precondition(lambda self: self.dials)
    @rule(state=st.sampled_from(["Draining", "gone"]))
    def a_dial_ends_as_its_engine_drains(self, state):
        link = self.dials[0]
        self.news(link.pool.name, state)
        if link in self.dials:
            self.dial_is_up(self.dials.index(link))

    # ---- time

    @precondition(lambda self: self.asked)
    @rule(span=st.sampled_from([1, 20, 80, 250]))
    def passes(self, span):
        self.run(span * MS)

    @precondition(lambda self: self.core.queries)
    @rule(span=st.sampled_from([60, 200, 500]))
    def stands_still(self, span):
        """The process does not run; then it has the same turns as ever."""
        self.clock.time += span * MS
        self.stood = self.clock.time
        for _ in range(6):
            self.turn()

    @precondition(lambda self: self.core.accepting and len(self.asked) > 9)
    @rule(seldom=st.integers(0, 3))
    def sigterm(self, seldom):
        if not seldom:
            self.core.start_draining(200 * MS)


REACHED = [f"{client}, {process}" for client in ("read", "paused", "over") for process in ("accepting", "draining")]


def commands(said):
    """The arrays of bulk strings that were written."""
    found = []
    while said:
        head, _, said = said.partition(b"\r\n")
        words = []
        for _ in range(int(head[1:])):
            size, _, said = said.partition(b"\r\n")
            words.append(said[: int(size[1:])])
            said = said[int(size[1:]) + 2 :]
        found.append(words)
    return found


# A failing run is printed as it was found: to shrink it takes minutes, and the steps are few enough to read.
TestCrossingsModel = coverage_test(CrossingsModel, settings(STEPS, phases=[Phase.explicit, Phase.generate]), REACHED)


# ---- planted mistakes


def in_any_turn(patch):
    patch.setattr(Timers, "call_after_reads", lambda self, late, call, *args: call(*args))


def left_to_the_module(patch):
    real = RequestCompletion.complete

    def end(self, query, how, *said):
        out, query.in_flight = query.in_flight, {}
        try:
            return real(self, query, how, *said)
        finally:
            query.in_flight = out

    patch.setattr(RequestCompletion, "complete", end)


def sent_to_the_deaf(patch):
    patch.setattr(Attempt, "send_blocked_by", lambda self, now, lease=None: "NOCONN" if 0 < self.send_by <= now else "")


def old_bytes_as_new(patch):
    patch.setattr(Client, "may_have_unread_input", property(lambda self: False, lambda self, value: None))


def out_of_the_window(patch):
    patch.setattr(
        Attempt, "send_blocked_by", lambda self, now, lease=None: "NOP" if self.query.reply.reading_paused else ""
    )


def no_hand_over(patch):
    def give_up(self, attempt, reason):
        if not attempt.done:
            attempt.state = AttemptState.CANCELLING
            self._state.engines.give_up(attempt)
            self.complete(attempt, reason)

    patch.setattr(AttemptRunner, "give_up", give_up)


def a_second_end(patch):
    real = RequestCompletion.complete

    def end(self, query, how, *said):
        query.closed = False
        return real(self, query, how, *said)

    patch.setattr(RequestCompletion, "complete", end)


def a_drain_unheeded(patch):
    patch.setattr(
        EnginePools,
        "update_endpoints",
        lambda self, addresses, entries=(), real=EnginePools.update_endpoints: real(self, addresses),
    )


def late_is_proof(patch):
    outcomes = (*retries.NOT_EXECUTED_OUTCOMES, "LATE", "RST", "BAD")
    patch.setattr(retries, "NOT_EXECUTED_OUTCOMES", outcomes)
    patch.setattr(lifecycle, "NOT_EXECUTED_OUTCOMES", outcomes)  # the decisions' own use of it


def a_lost_client_stays(patch):
    patch.setattr(coordinator.Coordinator, "disconnect_client", lambda self, query: None)


def an_answer_forgotten(patch):
    real = AttemptRunner.complete
    patch.setattr(AttemptRunner, "complete", lambda self, one, *said: real(self, one, *said) if one.number else None)


PLANTS = (
    in_any_turn,
    left_to_the_module,
    sent_to_the_deaf,
    old_bytes_as_new,
    out_of_the_window,
    no_hand_over,
    a_second_end,
    a_drain_unheeded,
    late_is_proof,
    a_lost_client_stays,
    an_answer_forgotten,
)
SEARCH = settings(STEPS, max_examples=2_000, phases=[Phase.generate], report_multiple_bugs=False)


@pytest.mark.parametrize("plant", PLANTS, ids=lambda plant: plant.__name__)
def test_the_model_finds_a_planted_mistake(plant, monkeypatch):
    plant(monkeypatch)
    with pytest.raises((AssertionError, KeyError, AttributeError)) as found:
        run_state_machine_as_test(CrossingsModel, settings=SEARCH)
    print(plant.__name__, found.value)


UNREAD_TWICE = (
    ("begin", {"prompt": 1, "cancel": False, "eager": 0}),
    ("cancels", {"last": False, "which": 2}),
    ("asks", {"budget": 900, "cls": "once", "goes": ""}),
    ("cancels", {"last": True, "which": 2}),
    ("asks", {"budget": 900, "cls": "once", "goes": "cancel"}),
    ("cancels", {"last": True, "which": 2}),
    ("asks", {"budget": 300, "cls": "lookup", "goes": ""}),
    ("sigterm", {"seldom": 1}),
    ("sigterm", {"seldom": 2}),
    ("cancels", {"last": True, "which": 1}),
    ("cancels", {"last": True, "which": 0}),
    ("asks", {"budget": 300, "cls": "lookup", "goes": ""}),
    ("asks", {"budget": 900, "cls": "lookup", "goes": ""}),
    ("passes", {"span": 20}),
    ("asks", {"budget": 300, "cls": "load", "goes": ""}),
    ("cancels", {"last": True, "which": 1}),
    ("engine_ends_it", {"reset": False, "which": 5}),
    ("cancels", {"last": False, "which": 1}),
    ("asks", {"budget": 300, "cls": "once", "goes": ""}),
    ("goes_while_it_is_not_read_from", {}),
    ("asks", {"budget": 300, "cls": "load", "goes": ""}),
    ("news", {"name": "e1", "state": "gone"}),
    ("engine_ends_it", {"reset": True, "which": 0}),
    ("asks", {"budget": 900, "cls": "load", "goes": ""}),
    ("cancels", {"last": False, "which": 2}),
    ("takes_its_answers_again", {}),
    ("goes", {"reset": True}),
    ("goes_while_it_is_not_read_from", {}),
)


def test_nothing_begins_for_a_client_that_goes_while_it_is_not_read_from_after_another_has_gone():
    """A run that the model found: each step's preconditions hold, as in a run of the model."""
    model = CrossingsModel()
    try:
        for step, words in UNREAD_TWICE:
            rule = getattr(getattr(CrossingsModel, step), "hypothesis_stateful_rule", None)
            assert rule is None or all(holds(model) for holds in rule.preconditions), f"{step} can't be"
            getattr(model, step)(**words)
    finally:
        model.teardown()
