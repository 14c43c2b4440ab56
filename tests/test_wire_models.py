"""Model-based tests of connections: JSON-RPC clients, RESP engines and TDS clients.

Hypothesis draws the steps, the same ones in each run. Time is simulated and bytes are split anywhere. A connection
has to write and report exactly what its model predicts.
"""

import base64
import itertools
import json
import logging
from types import SimpleNamespace

import pytest
from harness import CLASSES, LIMITS, LOGIN, MS, TDS, FakeClock, S, TdsClient, scheduler_without_event_loop
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from model_coverage import coverage_test
from msgspec.structs import replace
from twisted.internet.testing import StringTransport

from rackhub.core.request import Attempt, Query
from rackhub.core.timers import Timers
from rackhub.counters import Counters
from rackhub.net.jsonrpc import jsonrpc_front
from rackhub.net.pool import EnginePool, EnginePools
from rackhub.net.resp import EngineConnection
from rackhub.net.resp_protocol import encode_command
from rackhub.net.socket_state import TcpState
from rackhub.net.tds import codec
from rackhub.net.tds import front as tds

STEPS = settings(derandomize=True, max_examples=60, stateful_step_count=40, deadline=None, database=None)
SPLIT_SIZES = st.lists(st.integers(1, 40), max_size=3)
READ_REPLY = SimpleNamespace(reading_paused=False, may_have_unread_input=False)  # a client without unread input
LOGGED_IN = ("ready", "busy", "rows")  # states of a TDS client
LATE_PRELOGIN = b"\x12\x01\x00\x09\0\0\0\0\x05"  # a malformed PRELOGIN
BIG_PAGES = [b"a\tb\tc\n" * 100, b"d\te\tf\n" * 100]  # each page is larger than a packet of 512 bytes
OUTCOMES = (("served", [b"a\tb\tc\n", b"d\te\tf\n"]), ("rejected", 250_500), ("failed", "why"))


class MemoryTransport(StringTransport):
    """An in-memory transport that counts the bytes written to it and the bytes sent.

    `flush` sends all buffered bytes. The transport is also its own socket, which accepts `socket_capacity` bytes per
    call. Buffered bytes are reported in the attributes that the reactor's transports have.
    """

    aborted, written_bytes, sent_bytes, dataBuffer, offset, socket_capacity = False, 0, 0, b"", 0, 1 << 30

    def getHandle(self):
        return self

    def setsockopt(self, *option):
        pass

    def getsockopt(self, *option):
        return bytes([TcpState.ESTABLISHED])

    def fileno(self):
        return -1  # as that of a closed socket

    def startWriting(self):
        pass

    def send(self, data):
        if not self.socket_capacity:
            raise BlockingIOError
        accepted = data[: self.socket_capacity]
        super().write(accepted)
        self.written_bytes += len(accepted)
        self.sent_bytes += len(accepted)
        return len(accepted)

    def write(self, data):
        super().write(data)
        self.written_bytes += len(data)

    @property
    def _tempDataLen(self):
        return self.written_bytes - self.sent_bytes

    def setTcpNoDelay(self, on):
        pass

    def registerProducer(self, producer, streaming):
        super().registerProducer(producer, streaming)
        if not streaming:  # the reactor's transports call a pull producer at once
            producer.resumeProducing()

    def flush(self):
        """Send all buffered bytes; the socket is then writable."""
        self.sent_bytes = self.written_bytes
        if self.producer and not self.streaming and not self.aborted:
            self.producer.resumeProducing()

    def loseWriteConnection(self):
        self.disconnecting = True  # the output is complete and the peer sees the end of the stream

    def resumeProducing(self):
        if not self.disconnecting:
            return super().resumeProducing()
        assert self.producerState == "paused"  # after a half-close reading may go on, unlike after a full close
        self.producerState = "producing"

    def abortConnection(self):
        self.aborted = self.disconnecting = True

    def take_output(self):
        output = self.value()
        self.clear()
        return output


class FakeCore:
    """A coordinator as fronts and engine connections use it; records the calls."""

    def __init__(self):
        self.clock, self.classes = FakeClock(), {settings.name: settings for settings in CLASSES}
        self.timers = Timers(self.clock, self.clock)
        self.open_requests, self.cancelled_ids, self.attempt_ends, self.progress_reports = {}, [], [], []
        self.tenants = {"acme"}
        self.accepting, self.near_deadline, self.lease = True, False, None

    def is_known_id(self, id):
        return id in self.open_requests

    def submit(self, query):
        self.open_requests[query.id] = query

    def disconnect_client(self, query):
        self.cancelled_ids.append(query.id)
        del self.open_requests[query.id]

    def is_near_deadline(self, query):
        return self.near_deadline

    def complete_attempt(self, attempt, reason, report=None, rows=()):
        self.attempt_ends.append((attempt.query.id, reason, b"".join(rows)))

    def report_progress(self, attempt, topic, value):
        self.progress_reports.append((attempt.query.id, topic, value))


def feed(connection, data, split_sizes):
    """Pass the data to the connection in pieces of the given sizes."""
    for size in (*split_sizes, len(data)):
        if data:
            connection.dataReceived(data[:size])
            data = data[size:]
    if data:
        connection.dataReceived(data)


class JsonRpcModel(RuleBasedStateMachine):
    """A model of a JSON-RPC client's connection.

    Its state: the open requests, whether the connection still accepts requests, whether it has received a partial
    line, the number of faults, until when reading is paused because of them, and since when the client does not read
    its answers.
    """

    def __init__(self):
        super().__init__()
        self.core, self.counters = FakeCore(), Counters()
        self.front = jsonrpc_front(self.core, LIMITS, self.counters, scheduler_without_event_loop())
        self.connection, self.wire = self.front.buildProtocol(None), MemoryTransport()
        self.connection.makeConnection(self.wire)
        self.open_requests, self.ids, self.accepting, self.is_lost = {}, itertools.count(1), True, False
        self.last_used, self.partial_since, self.write_blocked_since, self.paused_until, self.faults = (
            self.now,
            0,
            0,
            0,
            0,
        )
        self.has_sent_message = self.has_sent_request = False
        # When reading from the client stopped, and when the client last began to read its answers again.
        self.reading_stopped_at, self.unblocked_at = None, 0
        # The earliest time at which the next input may have been sent; 0: it was sent just now.
        self.expected_unread_since = 0

    @property
    def is_reading(self):
        """Whether the connection should read; one that accepts no more requests still reads cancels and the close."""
        return not self.accepting or not self.write_blocked_since and self.now >= self.paused_until

    def track_reading(self):
        """Track pauses of reading: input received after a pause longer than an iteration may be old."""
        if not self.is_reading:
            self.reading_stopped_at = self.now if self.reading_stopped_at is None else self.reading_stopped_at
        elif self.reading_stopped_at is not None:
            resumed_at = max(self.reading_stopped_at, self.unblocked_at, min(self.paused_until, self.now))
            if resumed_at - self.reading_stopped_at > LIMITS.late_iteration_delay:
                self.expected_unread_since = self.expected_unread_since or self.reading_stopped_at
            self.reading_stopped_at = None

    @property
    def now(self):
        return self.core.clock.now()

    @property
    def can_send(self):
        return self.accepting and not self.partial_since

    def send(self, message, split_sizes, raw=False):
        data = (message if raw else json.dumps(message).encode()) + b"\n"
        self.track_reading()
        read_at_once = not split_sizes or split_sizes[0] >= len(data)
        self.sent_at = self.expected_unread_since if self.expected_unread_since and read_at_once else self.now
        feed(self.connection, data, split_sizes)
        self.expected_unread_since = 0  # after a read that does not fill the buffer no old input is left
        self.has_sent_message, self.last_used = True, self.now
        return self.receive()

    def receive(self):
        responses = [json.loads(line) for line in self.wire.take_output().splitlines()]
        for _ in range(sum(answer.get("error", {}).get("code", 0) < -32500 for answer in responses)):
            self.faults += 1
            if self.faults > LIMITS.faults_before_pause:
                wait = LIMITS.fault_pause * 2 ** min(self.faults - LIMITS.faults_before_pause - 1, 10)
                self.paused_until = self.now + min(wait, LIMITS.max_fault_pause)
        return responses

    def request_message(self, id, rid, method="lookup", **params):
        body = base64.b64encode(b"SELECT 1 FROM a_3.b").decode()
        parameters = {"rid": rid, "budget": 900, "acct": "acme", "body": body, "token": "k"} | params
        return {"jsonrpc": "2.0", "id": id, "method": parameters.pop("method", method), "params": parameters}

    @precondition(lambda self: self.can_send)
    @rule(split_sizes=SPLIT_SIZES, method=st.sampled_from([settings.name for settings in CLASSES]))
    def request(self, split_sizes, method):
        id = next(self.ids)
        responses = self.send(self.request_message(id, f"{id:016x}", method), split_sizes)
        if len(self.open_requests) >= LIMITS.max_requests_per_client:
            assert [answer["error"]["code"] for answer in responses] == [-32600] and responses[0]["id"] == id
        else:
            self.open_requests[id], self.has_sent_request = f"{id:016x}", True
            assert responses == []
            query = self.core.open_requests[f"{id:016x}"]
            assert (query.tables, query.deadline) == (3, max(self.sent_at + 900 * MS, self.now + 1))
            assert query.idempotency_key == ("k" if method == "depot-load" else "")

    @precondition(lambda self: self.can_send)
    @rule(
        split_sizes=SPLIT_SIZES,
        fault=st.sampled_from(
            [
                (b"{not json", -32700),
                (b"\xff\xfe", -32700),
                (b"[]", -32600),
                (b'[{"jsonrpc":"2.0"}]', -32600),
                (b'{"jsonrpc":"1.0","id":900,"method":"lookup"}', -32600),
                (b'{"jsonrpc":"2.0","id":900}', -32600),
                (b'{"jsonrpc":"2.0","id":900,"method":"dance"}', -32601),
                (b'{"jsonrpc":"2.0","id":900,"method":"lookup"}', -32602),
                (b'{"jsonrpc":"2.0","id":1.5,"method":"lookup"}', -32600),
                (b"", -32700),
                # These were not answered once, so that clients waited in vain.
                (b'{"jsonrpc":"2.0","method":"lookup"}', -32600),
                (b'{"jsonrpc":"2.0","method":"alive"}', -32600),
                (b'{"jsonrpc":"2.0","method":"cancelRequest"}', -32602),
                # These once ended the connection, and its open requests were not answered.
                (b'{"jsonrpc":"2.0","id":900,"method":"lookup","params":' + b"[" * 5_000, -32700),
                (
                    b'{"jsonrpc":"2.0","id":900,"method":"lookup","params":{"a":' + b"[" * 2_000 + b"]" * 2_000 + b"}}",
                    -32700,
                ),
                ({"acct": "nobodys"}, -32602),
                ({"acct": ""}, -32602),
                ({"body": "/w=="}, -32602),
                ({"body": ""}, -32602),
                ({"rid": "XYZ"}, -32602),
                ({"budget": 0}, -32602),
                ({"budget": "soon"}, -32602),
                ({"est": -1}, -32602),
                ({"body": "%%"}, -32602),
                ({"acct": "a" * 300}, -32602),
                ({"method": "depot-load", "token": ""}, -32602),
                ({"method": "depot-load", "token": "a,level=3"}, -32602),
            ]
        ),
    )
    def fault(self, split_sizes, fault):
        line, code = fault
        if isinstance(line, dict):
            line = json.dumps(self.request_message(900, **{"rid": "00000000000000ff"} | line)).encode()
        (response,) = self.send(line, split_sizes, raw=True)
        assert len(self.open_requests) >= LIMITS.max_requests_per_client or response["error"]["code"] == code

    @precondition(lambda self: self.can_send and self.open_requests)
    @rule(split_sizes=SPLIT_SIZES, data=st.data())
    def repeat_request(self, split_sizes, data):
        id = data.draw(st.sampled_from(sorted(self.open_requests)))
        (response,) = self.send(self.request_message(id, "00000000000000fe"), split_sizes)
        # With its own id the error would be taken for the answer to the first request.
        assert response["error"]["code"] == -32600 and response["id"] is None
        if len(self.open_requests) < LIMITS.max_requests_per_client:
            (response,) = self.send(self.request_message(901, self.open_requests[id]), split_sizes)
            assert response["error"]["code"] == -32602 and response["id"] == 901

    @precondition(lambda self: self.open_requests)
    @rule(data=st.data(), outcome=st.sampled_from(OUTCOMES))
    def answered(self, data, outcome):
        id = data.draw(st.sampled_from(sorted(self.open_requests)))
        query = self.core.open_requests.pop(self.open_requests.pop(id))
        self.last_used = self.now
        getattr(query.reply, outcome[0])(query, outcome[1])
        (response,) = (json.loads(line) for line in self.wire.take_output().splitlines())
        assert response["id"] == id
        if outcome[0] == "served":
            assert base64.b64decode(response["result"]["body"]) == b"".join(outcome[1])
        elif outcome[0] == "rejected":
            assert response["error"]["code"] == -32008 and response["error"]["data"] == {"backoff": 251}
        else:
            assert response["error"]["code"] == -32000

    @precondition(lambda self: self.can_send)
    @rule(split_sizes=SPLIT_SIZES, id=st.integers(1, 40))
    def cancel(self, split_sizes, id):
        responses = self.send({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": id}}, split_sizes)
        assert [answer["error"]["code"] for answer in responses] == ([] if self.has_sent_request else [-32602])
        if id in self.open_requests:
            assert self.core.cancelled_ids[-1] == self.open_requests.pop(id)

    @precondition(lambda self: self.can_send)
    @rule(split_sizes=SPLIT_SIZES)
    def alive(self, split_sizes):
        assert self.send({"jsonrpc": "2.0", "id": 950, "method": "alive"}, split_sizes)[0]["result"] == {"pass": True}

    @precondition(lambda self: self.accepting)
    @rule(split_sizes=SPLIT_SIZES)
    def incomplete_line(self, split_sizes):
        """Send the first part of a line, or the rest. A line that never ended once held its descriptor forever."""
        if self.partial_since:
            self.partial_since = 0
            assert self.send(b'"id":950,"method":"alive"}', split_sizes, raw=True)[0]["result"] == {"pass": True}
        else:
            self.partial_since = self.now
            self.track_reading()
            feed(self.connection, b'{"jsonrpc":"2.0",', split_sizes)
            self.expected_unread_since = 0

    @precondition(lambda self: not self.is_lost and not self.wire.disconnecting)
    @rule(blocked=st.booleans())
    def change_client_reading(self, blocked):
        """The transport reports that the client has stopped or resumed reading its answers."""
        if blocked and not self.write_blocked_since:
            self.write_blocked_since = self.now
            self.connection.pauseProducing()
        elif not blocked and self.write_blocked_since:
            self.write_blocked_since, self.unblocked_at = 0, self.now
            self.connection.resumeProducing()

    @rule(span=st.sampled_from([100 * MS, S, 2 * S, 6 * S]))
    def wait(self, span):
        self.core.clock.advance(span)
        self.track_reading()
        if self.is_reading:
            self.expected_unread_since = 0  # the event loop has read and there was no input
        if self.is_lost:
            return
        closed = self.connection.closed_at
        if (
            closed
            and self.now - closed >= LIMITS.linger_timeout + LIMITS.client_check_interval
            or self.wire.aborted
            and closed
        ):
            assert self.wire.aborted and self.now - closed >= min(
                LIMITS.linger_timeout, LIMITS.write_timeout - (closed - self.write_blocked_since)
            )
            # The client is notified of the reason.
            assert len(self.receive()) == (self.accepting and (self.partial_since > 0 or not self.has_sent_message))
            return self.lose_connection(0)
        if (
            self.write_blocked_since
            and self.now - self.write_blocked_since >= LIMITS.write_timeout + LIMITS.client_check_interval
            or self.wire.aborted
        ):
            assert self.wire.aborted and self.now - self.write_blocked_since >= LIMITS.write_timeout
            return self.lose_connection(0)
        timeout_at = (
            self.partial_since + LIMITS.message_timeout
            if self.partial_since
            else self.now + S
            if self.open_requests
            else self.last_used
            + (LIMITS.client_idle_timeout if self.has_sent_message else LIMITS.first_message_timeout)
        )
        if self.accepting:
            self.accepting = self.now < timeout_at + LIMITS.client_check_interval and not self.connection.ending
            assert self.connection.ending != self.accepting and (self.accepting or self.now >= timeout_at)
            # The client is notified of the reason.
            assert len(self.receive()) == (not self.accepting and (self.partial_since > 0 or not self.has_sent_message))

    @precondition(lambda self: self.can_send)
    @rule(choice=st.integers(0, 9))
    def stop_accepting(self, choice):
        if choice == 0:
            assert self.send(b"x" * (LIMITS.max_request_bytes + 1), [], raw=True)[0]["error"]["code"] == -32600
        elif choice == 1:
            self.connection.end()
        self.accepting = choice > 1

    @precondition(lambda self: not self.accepting and not self.partial_since)
    @rule()
    def discarded_request(self):
        assert self.send(self.request_message(990, "00000000000000fd"), []) == []

    @precondition(lambda self: not self.accepting and not self.partial_since and not self.is_lost)
    @rule(data=st.data(), split_sizes=SPLIT_SIZES)
    def cancel_while_ending(self, data, split_sizes):
        """While ending, a connection accepts no requests but cancels; it closes after the last open request."""
        id = data.draw(st.sampled_from([*sorted(self.open_requests), 999]))
        assert self.send({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": id}}, split_sizes) == []
        if id in self.open_requests:
            assert self.core.cancelled_ids[-1] == self.open_requests.pop(id)

    @precondition(lambda self: not self.is_lost)
    @rule(choice=st.integers(0, 19))
    def lose_connection(self, choice):
        if choice == 0 or self.wire.aborted:
            self.connection.connectionLost()
            assert sorted(self.core.cancelled_ids[len(self.core.cancelled_ids) - len(self.open_requests) :]) == sorted(
                self.open_requests.values()
            )
            self.open_requests, self.accepting, self.is_lost = {}, False, True
            self.connection.ending = True  # a lost connection receives no data

    @invariant()
    def matches_model(self):
        assert {query.tag for query in self.core.open_requests.values()} == set(self.open_requests)
        assert self.is_lost or self.wire.disconnecting == (not self.accepting and not self.open_requests)
        if not self.is_lost and not self.wire.aborted:
            # A connection that accepts no more requests still reads, to detect cancels and the close.
            assert (self.wire.producerState == "producing") == self.is_reading == (not self.connection.reading_stopped)
            self.track_reading()
            # Once no more requests are accepted the value is not used.
            unread_input_since = self.connection.unread_input_since if self.connection.may_have_unread_input else 0
            assert not self.accepting or unread_input_since == self.expected_unread_since
        assert (self.connection in self.front.connections) != self.is_lost


class RespModel(RuleBasedStateMachine):
    """A model of a RESP connection to an engine.

    Its state: the state of the connection, the attempts with the pages that are missing, the ids that failed on it,
    the number of bytes sent at the end of each attempt, and whether the engine is unresponsive. An unresponsive
    connection accepts no attempts and is closed when no attempt is open on it.
    """

    def __init__(self):
        super().__init__()
        self.core, self.counters = FakeCore(), Counters()
        self.pool = EnginePool("e0", ("127.0.0.1", 1), self.counters)
        self.connection = EngineConnection(self.pool, self.core.clock, LIMITS, self.counters, self.core)
        self.pool.links.append(self.connection)
        self.wire, self.state = MemoryTransport(), "dialling"
        self.attempts, self.failed_ids, self.pages, self.expected_ends = {}, set(), {}, []
        self.ids, self.last_received, self.unresponsive = itertools.count(1), 0, False
        self.sent_ends, self.queued_since, self.last_sent_end, self.has_partial_frame = {}, {}, 0, False

    @initialize(attempts=st.integers(0, 3))
    def begin(self, attempts):
        """Often start with a connection that has sent attempts, as most rules need one."""
        for _ in range(attempts):
            self.create_attempt()
        if attempts:
            self.dial_completed(outcome=4)

    def coverage_state(self):
        return self.state

    def send(self, *fields, split_sizes=()):
        self.last_received = self.core.clock.now()
        feed(self.connection, b"".join(encode_command(*fields)), split_sizes)

    def draw_id(self, data, ids):
        return data.draw(st.sampled_from(sorted(ids)))

    def expect_end(self, id, reason, rows=b""):
        del self.attempts[id]
        self.pages.pop(id, None)
        self.expected_ends.append((id, reason, rows))

    @precondition(lambda self: self.state in ("dialling", "up") and len(self.attempts) < 15)
    @rule()
    def create_attempt(self):
        id = f"{next(self.ids):016x}"
        query = Query(id, "depot-load", b"INSERT", self.core.clock.now() + 9 * S, READ_REPLY, idempotency_key="key")
        attempt = self.attempts[id] = Attempt(query, 0, "e0", self.core.clock.now())
        accepted = not self.unresponsive and not self.is_blocked()
        assert self.connection.accepts(attempt) == accepted
        if not accepted:
            return self.attempts.__delitem__(id)
        self.connection.enqueue(attempt)
        assert not self.connection.accepts(Attempt(query, 1, "e0", 0))  # the id is in use on this connection
        assert self.wire.take_output() == b""  # nothing is sent before the socket is read and found writable
        self.queued_since[id] = self.core.clock.now()

    def is_blocked(self):
        queue_times = [
            self.queued_since[id] for id in self.attempts if id in self.queued_since and id not in self.sent_ends
        ]
        late = queue_times and min(queue_times) < self.core.clock.now() - LIMITS.late_iteration_delay
        return self.state == "up" and (self.wire.sent_bytes < self.last_sent_end or late)

    def sent_ids(self):
        """Return the ids of the attempts that are sent, completely or in part."""
        return [id for id in self.attempts if id in self.sent_ends]

    @precondition(lambda self: self.state == "dialling")
    @rule(outcome=st.integers(0, 9))
    def dial_completed(self, outcome):
        if outcome:
            self.state, self.last_received = "up", self.core.clock.now()
            self.connection.makeConnection(self.wire)
            assert self.wire.take_output() == b""
            self.queued_since = dict.fromkeys(self.attempts, self.last_received)
            if outcome > 3:
                self.flush()
        else:
            self.state = "lost"
            self.pool.dial_failed(self.connection)
            for id in list(self.attempts):
                self.expect_end(id, "NOCONN")

    @precondition(lambda self: self.state == "up")
    @rule(capacity=st.sampled_from([0, 1, 40, 1 << 30, 1 << 30]))
    def flush(self, capacity=1 << 30):
        """Run an event-loop iteration in which the socket accepts `capacity` bytes of each request."""
        queued = [id for id in self.attempts if id not in self.sent_ends]
        self.wire.socket_capacity = capacity
        self.wire.flush()
        output = self.wire.take_output()
        for id in queued:
            if not capacity:
                break
            budget_ms = max((self.attempts[id].query.deadline - self.core.clock.now()) // MS, 1)
            fields = b"profile=depot-load,max=%d,level=1,replay=key" % budget_ms
            want = b"".join(encode_command(b"want", id.encode(), fields, b"INSERT"))
            assert output.startswith(want)
            output = output[len(want) :]
            self.sent_ends[id] = self.last_sent_end = self.wire.written_bytes - len(output)
            if capacity < len(want):  # the transport has buffered the rest
                break
        assert output == b""
        self.wire.socket_capacity = 1 << 30

    @precondition(lambda self: self.state == "up" and self.sent_ids())
    @rule(data=st.data(), split_sizes=SPLIT_SIZES, count=st.integers(1, 4))
    def result(self, data, split_sizes, count):
        id = self.draw_id(data, self.sent_ids())
        if id in self.pages:
            return
        self.send(
            id.encode(), b"200", b"chunks=%d,report=inflight:7;queue:2" % count, b"p0\t\t\n", split_sizes=split_sizes
        )
        page_requests = b"".join(
            b"".join(encode_command(b"turn", id.encode(), b"%d" % page)) for page in range(1, count)
        )
        assert self.wire.take_output() == page_requests  # the attempt succeeds only with all pages
        if count == 1:
            self.expect_end(id, "GOOD", b"p0\t\t\n")
        else:
            self.pages[id] = {0: b"p0\t\t\n"} | dict.fromkeys(range(1, count))

    @precondition(lambda self: self.state == "up" and self.pages)
    @rule(data=st.data(), split_sizes=SPLIT_SIZES)
    def page(self, data, split_sizes):
        id = self.draw_id(data, self.pages)
        pages = self.pages[id]
        at = data.draw(st.sampled_from([number for number, page in pages.items() if page is None]))
        pages[at] = b"p%d\t\t\n" % at
        self.send(id.encode(), b"chunk", b"at=%d" % at, pages[at], split_sizes=split_sizes)
        if all(pages.values()):
            self.expect_end(id, "GOOD", b"".join(pages[number] for number in sorted(pages)))

    @precondition(lambda self: self.state == "up" and self.sent_ids())
    @rule(data=st.data(), split_sizes=SPLIT_SIZES, word=st.sampled_from([b"503", b"500", b"504"]))
    def error_response(self, data, split_sizes, word):
        id = self.draw_id(data, self.sent_ids())
        reason = "BAD" if id in self.pages else {b"503": "FULL", b"500": "BAD", b"504": "NOP"}[word]
        attempt = self.attempts[id]
        self.send(id.encode(), word, b"-", b"", split_sizes=split_sizes)
        self.expect_end(id, reason)
        self.failed_ids.add(id)
        assert not self.connection.accepts(attempt)  # a duplicate of this response would be taken for a later attempt's

    @precondition(lambda self: self.state == "up" and self.pages)
    @rule(data=st.data(), split_sizes=SPLIT_SIZES, page=st.booleans())
    def send_duplicate_frame(self, data, split_sizes, page):
        """A duplicate page must not end the connection: that once ended 16 attempts which shared it."""
        id = self.draw_id(data, self.pages)
        received = [number for number, text in self.pages[id].items() if number and text]
        if page and received:
            self.send(
                id.encode(),
                b"chunk",
                b"at=%d" % data.draw(st.sampled_from(received)),
                b"x\ty\tz\n",
                split_sizes=split_sizes,
            )
        elif not page:
            self.send(id.encode(), b"200", b"chunks=1", b"x\ty\tz\n", split_sizes=split_sizes)
        assert self.wire.take_output() == b"" and not self.wire.disconnecting

    @precondition(lambda self: self.state == "up" and self.sent_ids())
    @rule(
        data=st.data(),
        split_sizes=SPLIT_SIZES,
        skip=st.integers(0, 5),
        body=st.sampled_from(
            [
                b"\xe4\x1a\x00\r\x92T\r\n\r\n",
                b"a\tb\tc",
                b"a\tb\n",
                b"a\tb\tc\td\n",
                b"a\tb\tc\nd\t\n\te\tf\n",
                b"a\t\xff\tc\n",
                b"a\tb\t" + b"c" * LIMITS.max_page_bytes + b"\n",
            ]
        ),
    )
    def send_malformed_result(self, data, split_sizes, skip, body):
        if skip:  # this rule ends the connection, so it rarely acts
            return
        id = self.draw_id(data, self.sent_ids())
        word, fields = (
            (b"chunk", b"at=%d" % next(number for number, text in self.pages[id].items() if not text))
            if id in self.pages
            else (b"200", b"chunks=2")
        )
        self.send(id.encode(), word, fields, body, split_sizes=split_sizes)
        assert self.wire.aborted and self.counters["engine_spoilt"] == 1
        self.expect_end(id, "BAD")  # the request was executed, but its result is not delivered
        self.lose_connection()

    def lose_connection(self):
        self.connection.connectionLost()
        self.state = "lost"
        for id in list(self.attempts):
            self.expect_end(
                id, "RST" if id in self.sent_ends and self.wire.sent_bytes >= self.sent_ends[id] else "NOCONN"
            )

    def check_connection(self):
        now = self.core.clock.now()
        self.connection.check_timeouts(now)
        for id in list(self.attempts) if self.state == "up" else ():
            if id not in self.sent_ends and now - self.queued_since[id] >= LIMITS.unwritable_timeout:
                self.expect_end(id, "NOCONN")  # the socket does not accept it, so it is sent to another engine

    @precondition(lambda self: self.state == "up")
    @rule(skip=st.integers(0, 5), split_sizes=SPLIT_SIZES, first_part_bytes=st.integers(1, 30), completed=st.booleans())
    def send_partial_frame(self, skip, split_sizes, first_part_bytes, completed):
        """An incomplete frame must end the connection: responses behind it once waited until their deadlines."""
        if skip:
            return
        frame = b"".join(encode_command(b"1" * 16, b"status", b"-", b""))
        self.last_received = self.core.clock.now()
        feed(self.connection, frame[:first_part_bytes], split_sizes)
        self.core.clock.advance(LIMITS.frame_timeout)
        self.check_connection()
        assert not self.wire.aborted
        if completed:
            self.last_received = self.core.clock.now()
            feed(self.connection, frame[first_part_bytes:], split_sizes)
        self.core.clock.advance(MS)
        self.check_connection()
        assert self.wire.aborted != completed
        if not completed:
            self.lose_connection()

    @precondition(lambda self: self.state == "up" and self.sent_ids())
    @rule(data=st.data(), split_sizes=SPLIT_SIZES)
    def notify_progress(self, data, split_sizes):
        id, before = self.draw_id(data, self.sent_ids()), len(self.core.progress_reports)
        self.send(id.encode(), b"status", b"remark=stall,amount=2", b"", split_sizes=split_sizes)
        assert self.core.progress_reports[before:] == [(id, 3, 2.0)]

    @precondition(lambda self: self.attempts)
    @rule(data=st.data())
    def give_up(self, data):
        id = self.draw_id(data, self.attempts)
        word = b"shut" if id in self.pages else b"never_mind"
        attempt = self.attempts.pop(id)
        self.pages.pop(id, None)
        is_sent, is_fully_sent = id in self.sent_ends, self.sent_ends.get(id, 0) <= self.wire.sent_bytes
        self.connection.give_up(attempt)
        assert self.wire.take_output() == (
            b"".join(encode_command(word, id.encode())) if is_sent and is_fully_sent else b""
        )
        if is_sent and not is_fully_sent:  # the rest must not be sent, so the connection can't be used any more
            assert self.wire.aborted and self.counters["engine_cuts"] == 1
            self.lose_connection()
        elif is_sent:
            self.failed_ids.add(id)
            now = self.core.clock.now()
            self.unresponsive |= (
                self.last_received <= attempt.sent_at and now - attempt.sent_at >= LIMITS.unresponsive_timeout
            )
            assert not self.connection.accepts(attempt)  # a late response would be taken for a later attempt's

    @precondition(lambda self: self.state == "up" and self.failed_ids)
    @rule(data=st.data(), split_sizes=SPLIT_SIZES, word=st.sampled_from([b"200", b"500", b"chunk", b"status"]))
    def crossing_frame(self, data, split_sizes, word):
        self.send(
            self.draw_id(data, self.failed_ids).encode(), word, b"chunks=3,at=1", b"old\n", split_sizes=split_sizes
        )
        assert self.wire.take_output() == b""

    @precondition(lambda self: self.attempts)
    @rule(data=st.data())
    def promote(self, data):
        id = self.draw_id(data, self.attempts)
        self.connection.promote(self.attempts[id])
        is_pending = id in self.sent_ends and id not in self.pages
        assert self.wire.take_output() == (
            b"*3\r\n$5\r\nhurry\r\n$16\r\n%s\r\n$1\r\n1\r\n" % id.encode() if is_pending else b""
        )

    @precondition(lambda self: self.state == "up")
    @rule(
        choice=st.integers(0, 11),
        split_sizes=SPLIT_SIZES,
        malformed=st.sampled_from(
            [
                b"hello\r\n",
                b"*99\r\n",
                b"*0\r\n",
                b"*4\r\n:4\r\n",
                b"*4\r\n$999999\r\n",
                b"*1\r\n$1\r\nabc",
                b"*4" + b"4" * 99,
                b"".join(encode_command(b"1", b"999", b"-", b"")),
                b"".join(encode_command(b"1", b"200", b"chunks", b"")),
                b"".join(encode_command(b"1", b"200", b"-")),
            ]
        ),
    )
    def break_connection(self, choice, split_sizes, malformed):
        if choice > 1:
            return
        if choice:
            feed(self.connection, malformed, split_sizes)
            assert self.wire.aborted and self.counters["engine_bad_frames"] == 1
        self.lose_connection()

    @rule(span=st.sampled_from([MS, S, 31 * S]))
    def wait(self, span):
        self.core.clock.advance(span)
        if span > LIMITS.failed_id_retention:
            self.failed_ids.clear()

    @invariant()
    def matches_model(self):
        if self.unresponsive and not self.attempts and self.state == "up":
            assert self.wire.aborted
            self.lose_connection()
        assert sorted(self.core.attempt_ends) == sorted(self.expected_ends)
        assert {attempt.query.id for attempt in self.connection.open.values()} == set(self.attempts)
        assert (self.connection in self.pool.links) == (self.state != "lost")


class TdsModel(RuleBasedStateMachine):
    """A model of a TDS client's connection: its state and the request that runs on it."""

    def __init__(self):
        super().__init__()
        self.core, self.counters, numbers = FakeCore(), Counters(), itertools.count(1)
        self.front = tds.tds_front(
            TDS, self.core, LIMITS, self.counters, lambda: f"{next(numbers):016x}", scheduler_without_event_loop()
        )
        self.connect()

    def connect(self):
        self.connection, self.wire, self.client = self.front.buildProtocol(None), MemoryTransport(), TdsClient()
        self.connection.makeConnection(self.wire)
        self.state, self.done_kind, self.expected_rows = "prelogin", codec.DONE, []

    @initialize(state=st.sampled_from(["prelogin", "login", *LOGGED_IN]))
    def begin(self, state):
        """Bring a new connection to a state."""
        if state != "prelogin":
            self.prelogin(split_sizes=[])
        if state in LOGGED_IN:
            self.login(split_sizes=[], valid_password=1)
        if state in ("busy", "rows"):
            self.request(split_sizes=[], batch=True)
        if state == "rows":
            self.answered(outcome="big", near_deadline=False)

    @precondition(lambda self: self.state in ("closed", "lost"))
    @rule(state=st.sampled_from(["prelogin", "login", "ready"]))
    def connect_again(self, state):
        if self.state == "closed":
            self.connection.connectionLost()
        self.connect()
        self.begin(state)

    def coverage_state(self):
        return self.state

    def send(self, kind, body, split_sizes=()):
        feed(self.connection, b"".join(codec.encode_message(kind, body, 600)), split_sizes)
        return self.receive()

    def receive(self):
        self.client.dataReceived(self.wire.take_output())
        answers, self.client.answers = self.client.answers, []
        return answers

    @precondition(lambda self: self.state == "prelogin")
    @rule(split_sizes=SPLIT_SIZES)
    def prelogin(self, split_sizes):
        assert self.send(codec.PRELOGIN, codec.encode_prelogin(), split_sizes) == [[]]
        self.state = "login"

    @precondition(lambda self: self.state == "login")
    @rule(split_sizes=SPLIT_SIZES, valid_password=st.integers(0, 9))
    def login(self, split_sizes, valid_password):
        body = codec.encode_login7("desk", "open sesame" if valid_password else "wrong", "rides", 512)
        (answer,) = self.send(codec.LOGIN7, body, split_sizes)
        if valid_password:
            assert codec.LOGINACK in [kind for kind, _ in answer]
        else:
            assert answer[0][1].number == 18456 and self.wire.disconnecting
        self.state = "ready" if valid_password else "closed"

    @precondition(lambda self: self.state == "ready")
    @rule(split_sizes=SPLIT_SIZES, batch=st.booleans())
    def request(self, split_sizes, batch):
        kind, body = (
            (codec.SQL_BATCH, codec.encode_sql_batch("SELECT 'é' FROM a_3.b"))
            if batch
            else (
                codec.RPC,
                codec.encode_rpc(
                    "rackhub_query",
                    {"@statement": "x", "@class": "depot-load", "@key": "k", "@est_ms": 1.5, "@ram_mb": 7},
                ),
            )
        )
        assert self.send(kind, body, split_sizes) == []
        (query,) = self.core.open_requests.values()
        assert query.deadline == self.core.clock.now() + (3 * S if batch else 25 * S) and query.tenant == "acme"
        assert (query.cls, query.idempotency_key, query.estimate, query.memory_mb, query.statement) == (
            ("lookup", "", 0, 0, "SELECT 'é' FROM a_3.b".encode()) if batch else ("depot-load", "k", 1500, 7, b"x")
        )
        self.state, self.done_kind = "busy", codec.DONE if batch else codec.DONEPROC

    @precondition(lambda self: self.state == "ready")
    @rule(
        split_sizes=SPLIT_SIZES,
        fault=st.sampled_from(
            [
                (codec.RPC, codec.encode_rpc("sp_who", {}), 50005),
                (codec.BULK, b"", 50005),
                (codec.TRANSACTION, b"abc", 50005),
                (codec.RPC, codec.encode_rpc("rackhub_query", {}), 50004),
                (codec.SQL_BATCH, codec.encode_sql_batch(" "), 50004),
                (codec.RPC, codec.encode_rpc("rackhub_query", {"@statement": "x", "@class": "depot-load"}), 50004),
                (codec.RPC, codec.encode_rpc("rackhub_query", {"@statement": "x", "@class": "none"}), 50004),
                (codec.RPC, codec.encode_rpc("rackhub_query", {"@statement": "x", "@tenant": "other"}), 50004),
                (codec.RPC, codec.encode_rpc("rackhub_query", {"@statement": "x", "@budget_ms": -5}), 50004),
                (codec.RPC, codec.encode_rpc("rackhub_query", {"@statement": "x", "@budget_ms": "5"}), 50004),
                (codec.RPC, codec.encode_rpc("rackhub_query", {"@statement": "x", "@other": "5"}), 50004),
                (codec.RPC, codec.encode_rpc("rackhub_query", {}) + b"\x00\x00\x24\x10\x00", 50005),
            ]
        ),
    )
    def fault(self, split_sizes, fault):
        kind, body, number = fault
        (answer,) = self.send(kind, body, split_sizes)
        assert (
            answer[0][1].number == number and answer[-1][1].status == codec.DONE_ERROR and not self.core.open_requests
        )

    @precondition(lambda self: self.state == "busy")
    @rule(outcome=st.sampled_from([*OUTCOMES, "big"]), near_deadline=st.booleans())
    def answered(self, outcome, near_deadline):
        outcome = outcome if outcome != "big" else ("served", BIG_PAGES)
        _, query = self.core.open_requests.popitem()
        self.core.near_deadline = near_deadline
        getattr(query.reply, outcome[0])(query, outcome[1])
        if outcome[0] == "served":
            self.state, self.rows_requested_at = "rows", self.core.clock.now()
            self.expected_rows = [line.split("\t") for line in b"".join(outcome[1]).decode().splitlines()]
            # The transport calls a new producer at once, and small pages may be complete by then.
            return self.check_complete_rows()
        (answer,) = self.receive()
        error = answer[0][1]
        expected = (
            (50003, 1 if outcome[0] == "rejected" else 2)
            if near_deadline
            else (50001 if outcome[0] == "rejected" else 50002, 1)
        )
        assert (error.number, error.state) == expected and (
            outcome[0] != "rejected" or "retry after 251 ms" in error.text
        )
        assert answer[-1] == (self.done_kind, codec.Done(codec.DONE_ERROR, 0))
        self.state = "ready"

    @precondition(lambda self: self.state == "rows")
    @rule()
    def rows_read(self):
        """The client has read what was written, and the transport requests more."""
        self.rows_requested_at = self.core.clock.now()
        self.connection.resumeProducing()
        self.check_complete_rows()

    def check_complete_rows(self):
        if self.wire.producer is None:
            (answer,) = self.receive()
            assert [value for kind, value in answer if kind == codec.ROW] == self.expected_rows
            assert answer[-1] == (self.done_kind, codec.Done(codec.DONE_COUNT, len(self.expected_rows)))
            self.state = "ready"

    @precondition(lambda self: self.state in ("ready", "busy", "rows"))
    @rule(split_sizes=SPLIT_SIZES)
    def attention(self, split_sizes):
        open_ids = list(self.core.open_requests)
        (answer,) = self.send(codec.ATTENTION, b"", split_sizes)
        assert answer[-1] == (codec.DONE, codec.Done(codec.DONE_ATTN, 0))
        assert (
            self.core.cancelled_ids[len(self.core.cancelled_ids) - len(open_ids) :] == open_ids
            and not self.core.open_requests
        )
        assert self.wire.producer is None
        self.state = "ready"

    @precondition(lambda self: self.state == "ready")
    @rule(split_sizes=SPLIT_SIZES)
    def cancelled_message(self, split_sizes):
        packet = codec.HEADER.pack(codec.SQL_BATCH, codec.EOM | codec.IGNORE, 12, 0, 1, 0) + b"abcd"
        feed(self.connection, packet, split_sizes)
        assert self.receive() == [] and not self.core.open_requests

    @precondition(lambda self: self.state not in ("closed", "lost"))
    @rule(
        choice=st.integers(0, 19),
        malformed=st.sampled_from(
            [
                b"\x01\x01\x00\x04\0\0\0\0",
                b"\x63\x01\x00\x08\0\0\0\0",
                LATE_PRELOGIN,
                b"".join(codec.encode_message(codec.SQL_BATCH, b"\xff\xff\xff\xff")),
                b"".join(codec.encode_message(codec.RPC, b"abc")),
            ]
        ),
    )
    def end_connection(self, choice, malformed):
        if choice == 0:
            count_before = self.counters["tds_bad"]
            feed(self.connection, malformed, ())
            if self.state in ("busy", "rows") and not self.wire.aborted:
                return
            if self.state == "ready" and malformed == LATE_PRELOGIN:  # a complete message of an unsupported type
                (answer,) = self.receive()
                assert answer[0][1].number == 50005 and not self.wire.aborted
                return
            assert self.wire.aborted and self.counters["tds_bad"] == count_before + 1
        if choice <= 1:
            open_ids = list(self.core.open_requests)
            self.connection.connectionLost()
            assert (
                self.core.cancelled_ids[len(self.core.cancelled_ids) - len(open_ids) :] == open_ids
                and not self.core.open_requests
            )
            self.state = "lost"

    @rule()
    def wait(self):
        self.core.clock.advance(11 * S)
        if self.state in ("prelogin", "login"):
            assert self.wire.aborted  # a client that does not log in must not hold a descriptor
            self.state = "closed"
        elif self.state == "rows":  # a client that does not read its rows must not hold a descriptor either
            unread_time = self.core.clock.now() - self.rows_requested_at
            assert self.wire.aborted == (unread_time >= LIMITS.tds_write_timeout)
            self.state = "closed" if self.wire.aborted else "rows"

    @invariant()
    def matches_model(self):
        assert len(self.core.open_requests) == (self.state == "busy")
        if self.state in LOGGED_IN:  # Attention and disconnects must be detected, also while rows are written
            paused_for_faults = self.core.clock.now() < self.connection.fault_pause_until
            assert self.connection.reading_stopped == (self.wire.producerState == "paused") == paused_for_faults
        assert self.state not in LOGGED_IN or self.connection.state is tds.ClientConnectionState[self.state.upper()]


logging.getLogger("rackhub").setLevel(logging.ERROR)


# Guards against a client that is disconnected as idle while it is still sending a request.
@pytest.mark.parametrize("has_sent_message", [True, False])
def test_an_incomplete_message_has_its_own_timeout_instead_of_the_idle_timeout(has_sent_message):
    model = JsonRpcModel()
    if has_sent_message:
        model.alive(split_sizes=[])
    for span in [2 * S, 2 * S] if has_sent_message else [S]:
        model.wait(span=span)
    model.incomplete_line(split_sizes=[])
    model.wait(span=S)  # the idle timeout, or that for a first message, passes in the meantime
    assert model.accepting
    model.incomplete_line(split_sizes=[])  # completes the line
    model.matches_model()
    model.incomplete_line(split_sizes=[])
    model.wait(span=2 * S)
    model.matches_model()
    assert not model.accepting, "an incomplete message must end the connection"


# Guards against a TDS client that is never read from again because its fault pause ended while its rows were written.
def test_reading_resumes_when_a_fault_pause_ends_while_rows_are_written():
    model = TdsModel()
    model.begin("ready")
    for _ in range(LIMITS.faults_before_pause + 1):
        model.fault(split_sizes=[], fault=(codec.RPC, codec.encode_rpc("sp_who", {}), 50005))
    model.request(split_sizes=[], batch=True)
    model.answered(outcome="big", near_deadline=False)
    assert model.state == "rows" and model.connection.reading_stopped
    model.core.clock.advance(model.connection.fault_pause_until - model.core.clock.now())
    model.matches_model()
    while model.state == "rows":
        model.rows_read()
    model.matches_model()


TestJsonRpc = coverage_test(JsonRpcModel, STEPS)
# Hypothesis draws other steps after any edit of a model; these numbers of examples reach every rule with most seeds.
TestResp = coverage_test(RespModel, settings(STEPS, max_examples=200), ["dialling", "up", "lost"])
TestTds = coverage_test(
    TdsModel, settings(STEPS, max_examples=120), ["prelogin", "login", "ready", "busy", "rows", "closed", "lost"]
)
assert LOGIN.has_password("open sesame") and not LOGIN.has_password("wrong")


class SmallFront:
    """A front with a limit of four connections and in-memory clients."""

    def __init__(self):
        self.core, self.counters = FakeCore(), Counters()
        self.front = jsonrpc_front(
            self.core, replace(LIMITS, max_client_connections=4, max_aborted_connections=2), self.counters
        )

    def connect(self, data=b""):
        connection = self.front.buildProtocol(None)
        if connection is not None:
            connection.makeConnection(MemoryTransport())
            feed(connection, data, ())
        self.core.clock.advance(MS)
        return connection


ALIVE = b'{"jsonrpc":"2.0","id":1,"method":"alive"}\n'


def test_a_full_front_evicts_the_longest_idle_client_without_open_requests():
    """Guards against silent connections that fill the front, so that requests of other clients are rejected."""
    small_front = SmallFront()
    active, oldest_silent, newer_silent = small_front.connect(ALIVE), small_front.connect(), small_front.connect()
    busy = small_front.connect(
        b'{"jsonrpc":"2.0","id":2,"method":"lookup","params":{"rid":"00000000000000aa","budget":900,'
        b'"acct":"acme","body":"eA=="}}\n'
    )
    assert small_front.core.open_requests and small_front.connect() is not None and oldest_silent.transport.aborted
    assert small_front.connect() is not None and newer_silent.transport.aborted and not active.transport.aborted
    # The aborted connections still hold their descriptors.
    assert small_front.connect() is None and small_front.counters["clients_refused"] == 1
    oldest_silent.connectionLost()
    assert (
        small_front.connect() is not None
        and not busy.transport.aborted
        and small_front.counters["clients_evicted"] == 3
    )
    assert len(small_front.front.connections) == 4


def test_idle_clients_are_closed_early_when_half_of_the_capacity_is_used():
    small_front = SmallFront()
    clients = [small_front.connect(ALIVE) for _ in range(3)]
    small_front.core.clock.advance(LIMITS.crowded_idle_timeout + LIMITS.client_check_interval)
    assert [client.transport.disconnecting for client in clients] == [True, False, False]
    clients[0].connectionLost()
    small_front.core.clock.advance(LIMITS.client_idle_timeout)
    assert all(client.transport.disconnecting for client in clients) and small_front.counters["clients_idle"] == 3


class FakeEngineConnection:
    """An engine connection as `EnginePools` uses it; `open` are the attempts that it received."""

    def __init__(self, pool):
        self.pool, self.closed, self.open, self.retired = pool, False, [], False

    def accepts(self, attempt):
        return not self.retired

    def enqueue(self, attempt):
        self.open.append(attempt)

    def load(self):
        return len(self.open)

    def idle_since(self):
        return 0

    def check_timeouts(self, now):
        pass

    def retire(self):
        self.retired = True
        self.close_if_idle()

    def close_if_idle(self):
        if not self.open:
            self.pool.connection_closed(self)


def test_attempts_share_few_connections_which_are_closed_with_their_engine():
    """A new engine at the address of a removed one gets new connections, and nothing of the removed one is kept."""
    core, counters, connections = FakeCore(), Counters(), []

    def dial(pool):
        connections.append(FakeEngineConnection(pool))
        return connections[-1]

    pools = EnginePools(dial, core.clock, LIMITS, counters, core, LIMITS.max_connections_per_engine)
    address = ("127.0.0.1", 5050)
    pools.update_endpoints({"e0": address})
    query = Query(f"{1:016x}", "lookup", b"x", S, None)
    for number in range(LIMITS.attempts_before_spread * LIMITS.max_spread_connections + 8):
        pools.send(Attempt(query, number, "e0", 0))
    assert [connection.load() for connection in connections] == [5] * LIMITS.max_spread_connections
    pools.update_endpoints({"e1": address})
    pools.send(Attempt(query, 99, "e0", 0))
    pools.send(Attempt(query, 99, "e1", 0))
    assert (
        core.attempt_ends[-1][1] == "NOCONN"
        and connections[-1].pool.name == "e1"
        and len(connections) == LIMITS.max_spread_connections + 1
    )
    for connection in connections:
        connection.open.clear()
        connection.close_if_idle()
    pools.sweep()
    assert list(pools.pools) == ["e1"] and not pools.retired


def test_connections_to_all_engines_together_are_limited():
    core, counters, connections = FakeCore(), Counters(), []
    pools = EnginePools(
        lambda pool: connections.append(FakeEngineConnection(pool)) or connections[-1],
        core.clock,
        replace(LIMITS, max_engine_connections=4),
        counters,
        core,
        LIMITS.max_connections_per_engine,
    )
    pools.update_endpoints({f"e{i}": ("127.0.0.1", 5050 + i) for i in range(6)})
    query = Query(f"{1:016x}", "lookup", b"x", S, None)
    for i in range(6):
        pools.send(Attempt(query, i, f"e{i}", 0))
    assert (
        len(connections) == 4
        and [end[1] for end in core.attempt_ends] == ["NOCONN"] * 2
        and counters["over_engine_links"] == 2
    )
    connections[0].open.clear()
    pools.send(Attempt(query, 9, "e5", 0))  # an idle connection is closed in favour of a new one
    assert len(connections) == 5 and len(core.attempt_ends) == 2 and not pools.pools["e0"].links
