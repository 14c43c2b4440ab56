"""Connections against models of their states: random steps (hypothesis, always the same ones), a fake clock,
bytes split anywhere. What a connection writes and reports must be what its model says, and nothing else."""

import base64
import itertools
import json
import logging
from types import SimpleNamespace

import pytest
from harness import CLASSES, LIMITS, LOGIN, MS, TDS, FakeClock, S, TdsClient
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
from rackhub.net.tds import codec
from rackhub.net.tds import front as tds

STEPS = settings(derandomize=True, max_examples=60, stateful_step_count=40, deadline=None, database=None)
CUTS = st.lists(st.integers(1, 40), max_size=3)
HEARD = SimpleNamespace(reading_paused=False, may_have_unread_input=False)  # a client that is read from
LOGGED_IN = ("ready", "busy", "rows")  # states of a TDS client
LATE_PRELOGIN = b"\x12\x01\x00\x09\0\0\0\0\x05"  # also malformed
BIG_PAGES = [b"a\tb\tc\n" * 100, b"d\te\tf\n" * 100]  # each fills packets of 512 bytes
BACK = (("served", [b"a\tb\tc\n", b"d\te\tf\n"]), ("rejected", 250_500), ("failed", "why"))


class MemoryTransport(StringTransport):
    """A transport in memory that keeps what was done to it: how many bytes were written, and how many of them are
    gone, all with `flush`; the others it tells of as the reactor's transports do. It is its own socket, which takes
    `room` bytes at once."""

    aborted, written, gone, dataBuffer, offset, room = False, 0, 0, b"", 0, 1 << 30

    def getHandle(self):
        return self

    def setsockopt(self, *option):
        pass

    def startWriting(self):
        pass

    def send(self, data):
        if not self.room:
            raise BlockingIOError
        taken = data[: self.room]
        super().write(taken)
        self.written += len(taken)
        self.gone += len(taken)
        return len(taken)

    def write(self, data):
        super().write(data)
        self.written += len(data)

    @property
    def _tempDataLen(self):
        return self.written - self.gone

    def setTcpNoDelay(self, on):
        pass

    def registerProducer(self, producer, streaming):
        super().registerProducer(producer, streaming)
        if not streaming:  # as the reactor's does
            producer.resumeProducing()

    def flush(self):
        """What was written has left, and the socket can be written to."""
        self.gone = self.written
        if self.producer and not self.streaming and not self.aborted:
            self.producer.resumeProducing()

    def loseWriteConnection(self):
        self.disconnecting = True  # all that is owed is written, and the other side hears of the close

    def resumeProducing(self):
        if not self.disconnecting:
            return super().resumeProducing()
        assert self.producerState == "paused"  # closed by half it may be read on, unlike after a whole close
        self.producerState = "producing"

    def abortConnection(self):
        self.aborted = self.disconnecting = True

    def take_output(self):
        said = self.value()
        self.clear()
        return said


class PlayedCore:
    """The core as a front or an engine connection sees it; what it is told is kept."""

    def __init__(self):
        self.clock, self.classes = FakeClock(), {told.name: told for told in CLASSES}
        self.timers = Timers(self.clock, self.clock)
        self.open, self.left, self.ends, self.notes = {}, [], [], []
        self.tenants = {"acme"}
        self.accepting, self.late, self.lease = True, False, None

    def is_known_id(self, id):
        return id in self.open

    def submit(self, query):
        self.open[query.id] = query

    def disconnect_client(self, query):
        self.left.append(query.id)
        del self.open[query.id]

    def is_near_deadline(self, query):
        return self.late

    def complete_attempt(self, attempt, reason, report=None, rows=()):
        self.ends.append((attempt.query.id, reason, b"".join(rows)))

    def report_progress(self, attempt, topic, value):
        self.notes.append((attempt.query.id, topic, value))


def feed(connection, data, cuts):
    """The bytes in pieces."""
    for cut in (*cuts, len(data)):
        if data:
            connection.dataReceived(data[:cut])
            data = data[cut:]
    if data:
        connection.dataReceived(data)


class JsonRpcModel(RuleBasedStateMachine):
    """Model: the open ids, whether the connection takes lines still, whether half a line lies unread, how often the
    client was at fault, until when it is not read from for that, and since when it has not read itself."""

    def __init__(self):
        super().__init__()
        self.core, self.counters = PlayedCore(), Counters()
        self.front = jsonrpc_front(self.core, LIMITS, self.counters)
        self.connection, self.wire = self.front.buildProtocol(None), MemoryTransport()
        self.connection.makeConnection(self.wire)
        self.open, self.numbers, self.taking, self.lost = {}, itertools.count(1), True, False
        self.used, self.half, self.choked, self.held, self.faults = self.now, 0, 0, 0, 0
        self.spoke = self.asked = False
        self.stopped_at, self.unchoked_at = (
            None,
            0,
        )  # since when it is not read from; when it last read its answers again
        self.unread_since = 0  # what is read next may have been sent since then; 0: it was sent just now

    @property
    def reading(self):
        """Whether the client is to be read from: one that no more is taken from is read for its close and cancels."""
        return not self.taking or not self.choked and self.now >= self.held

    def track_reading(self):
        """Note when the reading stopped and, once it goes on after more than a turn, that what lay unread is old."""
        if not self.reading:
            self.stopped_at = self.now if self.stopped_at is None else self.stopped_at
        elif self.stopped_at is not None:
            resumed_at = max(self.stopped_at, self.unchoked_at, min(self.held, self.now))
            if resumed_at - self.stopped_at > LIMITS.late_iteration_delay:
                self.unread_since = self.unread_since or self.stopped_at
            self.stopped_at = None

    @property
    def now(self):
        return self.core.clock.now()

    @property
    def ready(self):
        return self.taking and not self.half

    def say(self, message, cuts, raw=False):
        data = (message if raw else json.dumps(message).encode()) + b"\n"
        self.track_reading()
        in_one_read = not cuts or cuts[0] >= len(data)
        self.sent_at = self.unread_since if self.unread_since and in_one_read else self.now
        feed(self.connection, data, cuts)
        self.unread_since = 0  # each read but a full one ends what lay unread
        self.spoke, self.used = True, self.now
        return self.heard()

    def heard(self):
        said = [json.loads(line) for line in self.wire.take_output().splitlines()]
        for _ in range(sum(answer.get("error", {}).get("code", 0) < -32500 for answer in said)):
            self.faults += 1
            if self.faults > LIMITS.faults_before_pause:
                wait = LIMITS.fault_pause * 2 ** min(self.faults - LIMITS.faults_before_pause - 1, 10)
                self.held = self.now + min(wait, LIMITS.max_fault_pause)
        return said

    def ask(self, id, rid, method="lookup", **params):
        body = base64.b64encode(b"SELECT 1 FROM a_3.b").decode()
        given = {"rid": rid, "budget": 900, "acct": "acme", "body": body, "token": "k"} | params
        return {"jsonrpc": "2.0", "id": id, "method": given.pop("method", method), "params": given}

    @precondition(lambda self: self.ready)
    @rule(cuts=CUTS, method=st.sampled_from([told.name for told in CLASSES]))
    def request(self, cuts, method):
        id = next(self.numbers)
        said = self.say(self.ask(id, f"{id:016x}", method), cuts)
        if len(self.open) >= LIMITS.max_requests_per_client:
            assert [answer["error"]["code"] for answer in said] == [-32600] and said[0]["id"] == id
        else:
            self.open[id], self.asked = f"{id:016x}", True
            assert said == []
            query = self.core.open[f"{id:016x}"]
            assert (query.tables, query.deadline) == (3, max(self.sent_at + 900 * MS, self.now + 1))
            assert query.idempotency_key == ("k" if method == "depot-load" else "")

    @precondition(lambda self: self.ready)
    @rule(
        cuts=CUTS,
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
                # nothing was said to these: on a scored day such clients waited for an answer that never came
                (b'{"jsonrpc":"2.0","method":"lookup"}', -32600),
                (b'{"jsonrpc":"2.0","method":"alive"}', -32600),
                (b'{"jsonrpc":"2.0","method":"cancelRequest"}', -32602),
                # these ended the connection, and all that was open on it had no answer
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
    def fault(self, cuts, fault):
        line, code = fault
        if isinstance(line, dict):
            line = json.dumps(self.ask(900, **{"rid": "00000000000000ff"} | line)).encode()
        (said,) = self.say(line, cuts, raw=True)
        assert len(self.open) >= LIMITS.max_requests_per_client or said["error"]["code"] == code

    @precondition(lambda self: self.ready and self.open)
    @rule(cuts=CUTS, data=st.data())
    def repeated(self, cuts, data):
        id = data.draw(st.sampled_from(sorted(self.open)))
        (said,) = self.say(self.ask(id, "00000000000000fe"), cuts)
        assert said["error"]["code"] == -32600 and said["id"] is None  # under its id it would pass for the answer
        if len(self.open) < LIMITS.max_requests_per_client:
            (said,) = self.say(self.ask(901, self.open[id]), cuts)
            assert said["error"]["code"] == -32602 and said["id"] == 901

    @precondition(lambda self: self.open)
    @rule(data=st.data(), how=st.sampled_from(BACK))
    def answered(self, data, how):
        id = data.draw(st.sampled_from(sorted(self.open)))
        query = self.core.open.pop(self.open.pop(id))
        self.used = self.now
        getattr(query.reply, how[0])(query, how[1])
        (said,) = (json.loads(line) for line in self.wire.take_output().splitlines())
        assert said["id"] == id
        if how[0] == "served":
            assert base64.b64decode(said["result"]["body"]) == b"".join(how[1])
        elif how[0] == "rejected":
            assert said["error"]["code"] == -32008 and said["error"]["data"] == {"backoff": 251}
        else:
            assert said["error"]["code"] == -32000

    @precondition(lambda self: self.ready)
    @rule(cuts=CUTS, id=st.integers(1, 40))
    def cancel(self, cuts, id):
        said = self.say({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": id}}, cuts)
        assert [answer["error"]["code"] for answer in said] == ([] if self.asked else [-32602])
        if id in self.open:
            assert self.core.left[-1] == self.open.pop(id)

    @precondition(lambda self: self.ready)
    @rule(cuts=CUTS)
    def alive(self, cuts):
        assert self.say({"jsonrpc": "2.0", "id": 950, "method": "alive"}, cuts)[0]["result"] == {"pass": True}

    @precondition(lambda self: self.taking)
    @rule(cuts=CUTS)
    def half_a_line(self, cuts):
        """Begun, then finished by what `alive` says; a line that never ends held its descriptor for good."""
        if self.half:
            self.half = 0
            assert self.say(b'"id":950,"method":"alive"}', cuts, raw=True)[0]["result"] == {"pass": True}
        else:
            self.half = self.now
            self.track_reading()
            feed(self.connection, b'{"jsonrpc":"2.0",', cuts)
            self.unread_since = 0

    @precondition(lambda self: not self.lost and not self.wire.disconnecting)
    @rule(on=st.booleans())
    def choke(self, on):
        """The transport tells that the client does not read its answers, or does again."""
        if on and not self.choked:
            self.choked = self.now
            self.connection.pauseProducing()
        elif not on and self.choked:
            self.choked, self.unchoked_at = 0, self.now
            self.connection.resumeProducing()

    @rule(span=st.sampled_from([100 * MS, S, 2 * S, 6 * S]))
    def time(self, span):
        self.core.clock.advance(span)
        self.track_reading()
        if self.reading:
            self.unread_since = 0  # the event loop has read what there was: nothing
        if self.lost:
            return
        closed = self.connection.closed_at
        if (
            closed
            and self.now - closed >= LIMITS.linger_timeout + LIMITS.client_check_interval
            or self.wire.aborted
            and closed
        ):
            assert self.wire.aborted and self.now - closed >= min(
                LIMITS.linger_timeout, LIMITS.write_timeout - (closed - self.choked)
            )
            assert len(self.heard()) == (self.taking and (self.half > 0 or not self.spoke))  # it was told why
            return self.lose(0)
        if (
            self.choked
            and self.now - self.choked >= LIMITS.write_timeout + LIMITS.client_check_interval
            or self.wire.aborted
        ):
            assert self.wire.aborted and self.now - self.choked >= LIMITS.write_timeout
            return self.lose(0)
        patience = (
            self.half + LIMITS.message_timeout
            if self.half
            else self.now + S
            if self.open
            else self.used + (LIMITS.client_idle_timeout if self.spoke else LIMITS.first_message_timeout)
        )
        if self.taking:
            self.taking = self.now < patience + LIMITS.client_check_interval and not self.connection.ending
            assert self.connection.ending != self.taking and (self.taking or self.now >= patience)
            assert len(self.heard()) == (not self.taking and (self.half > 0 or not self.spoke))  # it is told why

    @precondition(lambda self: self.ready)
    @rule(how=st.integers(0, 9))
    def stop_taking(self, how):
        if how == 0:
            assert self.say(b"x" * (LIMITS.max_request_bytes + 1), [], raw=True)[0]["error"]["code"] == -32600
        elif how == 1:
            self.connection.end()
        self.taking = how > 1

    @precondition(lambda self: not self.taking and not self.half)
    @rule()
    def deaf(self):
        assert self.say(self.ask(990, "00000000000000fd"), []) == []

    @precondition(lambda self: not self.taking and not self.half and not self.lost)
    @rule(data=st.data(), cuts=CUTS)
    def cancel_at_the_end(self, data, cuts):
        """No more is taken, but what is cancelled is over, and with the last of it the connection."""
        id = data.draw(st.sampled_from([*sorted(self.open), 999]))
        assert self.say({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": id}}, cuts) == []
        if id in self.open:
            assert self.core.left[-1] == self.open.pop(id)

    @precondition(lambda self: not self.lost)
    @rule(how=st.integers(0, 19))
    def lose(self, how):
        if how == 0 or self.wire.aborted:
            self.connection.connectionLost()
            assert sorted(self.core.left[len(self.core.left) - len(self.open) :]) == sorted(self.open.values())
            self.open, self.taking, self.lost = {}, False, True
            self.connection.ending = True  # a lost connection is fed nothing

    @invariant()
    def agrees(self):
        assert {query.tag for query in self.core.open.values()} == set(self.open)
        assert self.lost or self.wire.disconnecting == (not self.taking and not self.open)
        if not self.lost and not self.wire.aborted:
            # who is taken no more from is read from all the same: its close and its cancels have to show
            assert (self.wire.producerState == "producing") == self.reading == (not self.connection.reading_stopped)
            self.track_reading()
            # once no more is taken nothing rests on it
            unread_input_since = self.connection.unread_input_since if self.connection.may_have_unread_input else 0
            assert not self.taking or unread_input_since == self.unread_since
        assert (self.connection in self.front.connections) != self.lost


class RespModel(RuleBasedStateMachine):
    """Model: the attempts on the connection with the pages each still needs, the ids that ended on it without
    success, its state, how much is gone once an attempt has left whole, whether part of a frame lies unread, and
    whether it has gone silent: then it takes nothing new and is dropped when nothing is open on it."""

    def __init__(self):
        super().__init__()
        self.core, self.counters = PlayedCore(), Counters()
        self.pool = EnginePool("e0", ("127.0.0.1", 1), self.counters)
        self.connection = EngineConnection(self.pool, self.core.clock, LIMITS, self.counters, self.core)
        self.pool.links.append(self.connection)
        self.wire, self.state = MemoryTransport(), "dialling"
        self.attempts, self.stale, self.pages, self.expected = {}, set(), {}, []
        self.numbers, self.heard, self.silent = itertools.count(1), 0, False
        self.ends, self.since, self.last_end, self.half = {}, {}, 0, False

    def coverage_state(self):
        return self.state

    def say(self, *words, cuts=()):
        self.heard = self.core.clock.now()
        feed(self.connection, b"".join(encode_command(*words)), cuts)

    def pick(self, data, where):
        return data.draw(st.sampled_from(sorted(where)))

    def over(self, id, reason, rows=b""):
        del self.attempts[id]
        self.pages.pop(id, None)
        self.expected.append((id, reason, rows))

    @precondition(lambda self: self.state in ("dialling", "up") and len(self.attempts) < 15)
    @rule()
    def carry(self):
        id = f"{next(self.numbers):016x}"
        query = Query(id, "depot-load", b"INSERT", self.core.clock.now() + 9 * S, HEARD, idempotency_key="key")
        attempt = self.attempts[id] = Attempt(query, 0, "e0", self.core.clock.now())
        able = not self.silent and not self.blocked()
        assert self.connection.accepts(attempt) == able
        if not able:
            return self.attempts.__delitem__(id)
        self.connection.enqueue(attempt)
        assert not self.connection.accepts(Attempt(query, 1, "e0", 0))  # its id is in use here
        assert self.wire.take_output() == b""  # the socket is read first, and asked whether it takes anything
        self.since[id] = self.core.clock.now()

    def blocked(self):
        waits = [self.since[id] for id in self.attempts if id in self.since and id not in self.ends]
        late = waits and min(waits) < self.core.clock.now() - LIMITS.late_iteration_delay
        return self.state == "up" and (self.wire.gone < self.last_end or late)

    def sent(self):
        """The ids of the attempts that are sent, in whole or in part."""
        return [id for id in self.attempts if id in self.ends]

    @precondition(lambda self: self.state == "dialling")
    @rule(works=st.integers(0, 9))
    def dialled(self, works):
        if works:
            self.state, self.heard = "up", self.core.clock.now()
            self.connection.makeConnection(self.wire)
            assert self.wire.take_output() == b""
            self.since = dict.fromkeys(self.attempts, self.heard)
            if works > 3:
                self.flush()
        else:
            self.state = "lost"
            self.pool.dial_failed(self.connection)
            for id in list(self.attempts):
                self.over(id, "NOCONN")

    @precondition(lambda self: self.state == "up")
    @rule(room=st.sampled_from([0, 1, 40, 1 << 30, 1 << 30]))
    def flush(self, room=1 << 30):
        """A turn in which the socket has room for so much of each request; what was kept has left."""
        waiting = [id for id in self.attempts if id not in self.ends]
        self.wire.room = room
        self.wire.flush()
        said = self.wire.take_output()
        for id in waiting:
            if not room:
                break
            left = max((self.attempts[id].query.deadline - self.core.clock.now()) // MS, 1)
            fields = b"profile=depot-load,max=%d,level=1,replay=key" % left
            want = b"".join(encode_command(b"want", id.encode(), fields, b"INSERT"))
            assert said.startswith(want)
            said = said[len(want) :]
            self.ends[id] = self.last_end = self.wire.written - len(said)
            if room < len(want):  # the rest is kept
                break
        assert said == b""
        self.wire.room = 1 << 30

    @precondition(lambda self: self.state == "up" and self.sent())
    @rule(data=st.data(), cuts=CUTS, count=st.integers(1, 4))
    def result(self, data, cuts, count):
        id = self.pick(data, self.sent())
        if id in self.pages:
            return
        self.say(id.encode(), b"200", b"chunks=%d,report=inflight:7;queue:2" % count, b"p0\t\t\n", cuts=cuts)
        asked = b"".join(b"".join(encode_command(b"turn", id.encode(), b"%d" % page)) for page in range(1, count))
        assert self.wire.take_output() == asked  # success waits for all pages
        if count == 1:
            self.over(id, "GOOD", b"p0\t\t\n")
        else:
            self.pages[id] = {0: b"p0\t\t\n"} | dict.fromkeys(range(1, count))

    @precondition(lambda self: self.state == "up" and self.pages)
    @rule(data=st.data(), cuts=CUTS)
    def page(self, data, cuts):
        id = self.pick(data, self.pages)
        pages = self.pages[id]
        at = data.draw(st.sampled_from([number for number, page in pages.items() if page is None]))
        pages[at] = b"p%d\t\t\n" % at
        self.say(id.encode(), b"chunk", b"at=%d" % at, pages[at], cuts=cuts)
        if all(pages.values()):
            self.over(id, "GOOD", b"".join(pages[number] for number in sorted(pages)))

    @precondition(lambda self: self.state == "up" and self.sent())
    @rule(data=st.data(), cuts=CUTS, word=st.sampled_from([b"503", b"500", b"504"]))
    def ends_otherwise(self, data, cuts, word):
        id = self.pick(data, self.sent())
        reason = "BAD" if id in self.pages else {b"503": "FULL", b"500": "BAD", b"504": "NOP"}[word]
        attempt = self.attempts[id]
        self.say(id.encode(), word, b"-", b"", cuts=cuts)
        self.over(id, reason)
        self.stale.add(id)
        assert not self.connection.accepts(attempt)  # a second copy of this end would pass for a later attempt's

    @precondition(lambda self: self.state == "up" and self.pages)
    @rule(data=st.data(), cuts=CUTS, page=st.booleans())
    def second_copy(self, data, cuts, page):
        """On a scored day a second copy of a page ended 16 attempts that shared its connection."""
        id = self.pick(data, self.pages)
        came = [number for number, text in self.pages[id].items() if number and text]
        if page and came:
            self.say(id.encode(), b"chunk", b"at=%d" % data.draw(st.sampled_from(came)), b"x\ty\tz\n", cuts=cuts)
        elif not page:
            self.say(id.encode(), b"200", b"chunks=1", b"x\ty\tz\n", cuts=cuts)
        assert self.wire.take_output() == b"" and not self.wire.disconnecting

    @precondition(lambda self: self.state == "up" and self.sent())
    @rule(
        data=st.data(),
        cuts=CUTS,
        much=st.integers(0, 5),
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
    def spoilt(self, data, cuts, much, body):
        if much:  # it ends the connection, so seldom
            return
        id = self.pick(data, self.sent())
        word, fields = (
            (b"chunk", b"at=%d" % next(number for number, text in self.pages[id].items() if not text))
            if id in self.pages
            else (b"200", b"chunks=2")
        )
        self.say(id.encode(), word, fields, body, cuts=cuts)
        assert self.wire.aborted and self.counters["engine_spoilt"] == 1
        self.over(id, "BAD")  # it ran, and what came of it is never passed on
        self.lose()

    def lose(self):
        self.connection.connectionLost()
        self.state = "lost"
        for id in list(self.attempts):
            self.over(id, "RST" if id in self.ends and self.wire.gone >= self.ends[id] else "NOCONN")

    def look(self):
        now = self.core.clock.now()
        self.connection.check_timeouts(now)
        for id in list(self.attempts) if self.state == "up" else ():
            if id not in self.ends and now - self.since[id] >= LIMITS.unwritable_timeout:
                self.over(id, "NOCONN")  # the socket does not take it: it goes elsewhere

    @precondition(lambda self: self.state == "up")
    @rule(seldom=st.integers(0, 5), cuts=CUTS, part=st.integers(1, 30), whole=st.booleans())
    def stops_half_way(self, seldom, cuts, part, whole):
        """What stands behind such a frame waited for its deadline."""
        if seldom:
            return
        frame = b"".join(encode_command(b"1" * 16, b"status", b"-", b""))
        self.heard = self.core.clock.now()
        feed(self.connection, frame[:part], cuts)
        self.core.clock.advance(LIMITS.frame_timeout)
        self.look()
        assert not self.wire.aborted
        if whole:
            self.heard = self.core.clock.now()
            feed(self.connection, frame[part:], cuts)
        self.core.clock.advance(MS)
        self.look()
        assert self.wire.aborted != whole
        if not whole:
            self.lose()

    @precondition(lambda self: self.state == "up" and self.sent())
    @rule(data=st.data(), cuts=CUTS)
    def note(self, data, cuts):
        id, before = self.pick(data, self.sent()), len(self.core.notes)
        self.say(id.encode(), b"status", b"remark=stall,amount=2", b"", cuts=cuts)
        assert self.core.notes[before:] == [(id, 3, 2.0)]

    @precondition(lambda self: self.attempts)
    @rule(data=st.data())
    def give_up(self, data):
        id = self.pick(data, self.attempts)
        word = b"shut" if id in self.pages else b"never_mind"
        attempt = self.attempts.pop(id)
        self.pages.pop(id, None)
        sent, left = id in self.ends, self.ends.get(id, 0) <= self.wire.gone
        self.connection.give_up(attempt)
        assert self.wire.take_output() == (b"".join(encode_command(word, id.encode())) if sent and left else b"")
        if sent and not left:  # its rest must not leave any more, and nothing else can follow it
            assert self.wire.aborted and self.counters["engine_cuts"] == 1
            self.lose()
        elif sent:
            self.stale.add(id)
            now = self.core.clock.now()
            self.silent |= self.heard <= attempt.sent_at and now - attempt.sent_at >= LIMITS.unresponsive_timeout
            assert not self.connection.accepts(attempt)  # an answer that crossed would pass for a later attempt's

    @precondition(lambda self: self.state == "up" and self.stale)
    @rule(data=st.data(), cuts=CUTS, word=st.sampled_from([b"200", b"500", b"chunk", b"status"]))
    def crossed(self, data, cuts, word):
        self.say(self.pick(data, self.stale).encode(), word, b"chunks=3,at=1", b"old\n", cuts=cuts)
        assert self.wire.take_output() == b""

    @precondition(lambda self: self.attempts)
    @rule(data=st.data())
    def promote(self, data):
        id = self.pick(data, self.attempts)
        self.connection.promote(self.attempts[id])
        heard = id in self.ends and id not in self.pages
        assert self.wire.take_output() == (b"".join(encode_command(b"promote", id.encode(), b"1")) if heard else b"")

    @precondition(lambda self: self.state == "up")
    @rule(
        how=st.integers(0, 11),
        cuts=CUTS,
        bad=st.sampled_from(
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
    def broken(self, how, cuts, bad):
        if how > 1:
            return
        if how:
            feed(self.connection, bad, cuts)
            assert self.wire.aborted and self.counters["engine_bad_frames"] == 1
        self.lose()

    @rule(span=st.sampled_from([MS, S, 31 * S]))
    def time(self, span):
        self.core.clock.advance(span)
        if span > LIMITS.failed_id_retention:
            self.stale.clear()

    @invariant()
    def agrees(self):
        if self.silent and not self.attempts and self.state == "up":
            assert self.wire.aborted
            self.lose()
        assert sorted(self.core.ends) == sorted(self.expected)
        assert {attempt.query.id for attempt in self.connection.open.values()} == set(self.attempts)
        assert (self.connection in self.pool.links) == (self.state != "lost")


class TdsModel(RuleBasedStateMachine):
    """Model: the state of the front's connection, and the request that runs on it."""

    def __init__(self):
        super().__init__()
        self.core, self.counters, numbers = PlayedCore(), Counters(), itertools.count(1)
        self.front = tds.tds_front(TDS, self.core, LIMITS, self.counters, lambda: f"{next(numbers):016x}")
        self.connect()

    def connect(self):
        self.connection, self.wire, self.client = self.front.buildProtocol(None), MemoryTransport(), TdsClient()
        self.connection.makeConnection(self.wire)
        self.state, self.kind, self.rows_due = "prelogin", codec.DONE, []

    @initialize(logged_in=st.booleans(), busy=st.booleans())
    def begin(self, logged_in, busy):
        if logged_in:
            self.prelogin(cuts=[])
            self.login(cuts=[], right=1)
            if busy:
                self.request(cuts=[], batch=True)

    @precondition(lambda self: self.state in ("closed", "lost"))
    @rule(logged_in=st.booleans())
    def comes_again(self, logged_in):
        if self.state == "closed":
            self.connection.connectionLost()
        self.connect()
        self.begin(logged_in, busy=False)

    def coverage_state(self):
        return self.state

    def say(self, kind, body, cuts=()):
        feed(self.connection, b"".join(codec.encode_message(kind, body, 600)), cuts)
        return self.heard()

    def heard(self):
        self.client.dataReceived(self.wire.take_output())
        answers, self.client.answers = self.client.answers, []
        return answers

    @precondition(lambda self: self.state == "prelogin")
    @rule(cuts=CUTS)
    def prelogin(self, cuts):
        assert self.say(codec.PRELOGIN, codec.encode_prelogin(), cuts) == [[]]
        self.state = "login"

    @precondition(lambda self: self.state == "login")
    @rule(cuts=CUTS, right=st.integers(0, 9))
    def login(self, cuts, right):
        body = codec.encode_login7("desk", "open sesame" if right else "wrong", "rides", 512)
        (answer,) = self.say(codec.LOGIN7, body, cuts)
        if right:
            assert codec.LOGINACK in [kind for kind, _ in answer]
        else:
            assert answer[0][1].number == 18456 and self.wire.disconnecting
        self.state = "ready" if right else "closed"

    @precondition(lambda self: self.state == "ready")
    @rule(cuts=CUTS, batch=st.booleans())
    def request(self, cuts, batch):
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
        assert self.say(kind, body, cuts) == []
        (query,) = self.core.open.values()
        assert query.deadline == self.core.clock.now() + (3 * S if batch else 25 * S) and query.tenant == "acme"
        assert (query.cls, query.idempotency_key, query.estimate, query.memory_mb, query.statement) == (
            ("lookup", "", 0, 0, "SELECT 'é' FROM a_3.b".encode()) if batch else ("depot-load", "k", 1500, 7, b"x")
        )
        self.state, self.kind = "busy", codec.DONE if batch else codec.DONEPROC

    @precondition(lambda self: self.state == "ready")
    @rule(
        cuts=CUTS,
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
    def fault(self, cuts, fault):
        kind, body, number = fault
        (answer,) = self.say(kind, body, cuts)
        assert answer[0][1].number == number and answer[-1][1].status == codec.DONE_ERROR and not self.core.open

    @precondition(lambda self: self.state == "busy")
    @rule(how=st.sampled_from([*BACK, "big"]), late=st.booleans())
    def answered(self, how, late):
        how = how if how != "big" else ("served", BIG_PAGES)
        _, query = self.core.open.popitem()
        self.core.late = late
        getattr(query.reply, how[0])(query, how[1])
        if how[0] == "served":
            self.state, self.rows_asked_at = "rows", self.core.clock.now()
            self.rows_due = [line.split("\t") for line in b"".join(how[1]).decode().splitlines()]
            return self.rows_are_through()  # a transport asks a new producer at once, and the pages may fill no packet
        (answer,) = self.heard()
        error = answer[0][1]
        wanted = (50003, 1 if how[0] == "rejected" else 2) if late else (50001 if how[0] == "rejected" else 50002, 1)
        assert (error.number, error.state) == wanted and (how[0] != "rejected" or "retry after 251 ms" in error.text)
        assert answer[-1] == (self.kind, codec.Done(codec.DONE_ERROR, 0))
        self.state = "ready"

    @precondition(lambda self: self.state == "rows")
    @rule()
    def rows(self):
        """The client has read what was written: the transport asks for more."""
        self.rows_asked_at = self.core.clock.now()
        self.connection.resumeProducing()
        self.rows_are_through()

    def rows_are_through(self):
        if self.wire.producer is None:
            (answer,) = self.heard()
            assert [value for kind, value in answer if kind == codec.ROW] == self.rows_due
            assert answer[-1] == (self.kind, codec.Done(codec.DONE_COUNT, len(self.rows_due)))
            self.state = "ready"

    @precondition(lambda self: self.state in ("ready", "busy", "rows"))
    @rule(cuts=CUTS)
    def attention(self, cuts):
        left = list(self.core.open)
        (answer,) = self.say(codec.ATTENTION, b"", cuts)
        assert answer[-1] == (codec.DONE, codec.Done(codec.DONE_ATTN, 0))
        assert self.core.left[len(self.core.left) - len(left) :] == left and not self.core.open
        assert self.wire.producer is None
        self.state = "ready"

    @precondition(lambda self: self.state == "ready")
    @rule(cuts=CUTS)
    def broken_off(self, cuts):
        packet = codec.HEADER.pack(codec.SQL_BATCH, codec.EOM | codec.IGNORE, 12, 0, 1, 0) + b"abcd"
        feed(self.connection, packet, cuts)
        assert self.heard() == [] and not self.core.open

    @precondition(lambda self: self.state not in ("closed", "lost"))
    @rule(
        how=st.integers(0, 19),
        bad=st.sampled_from(
            [
                b"\x01\x01\x00\x04\0\0\0\0",
                b"\x63\x01\x00\x08\0\0\0\0",
                LATE_PRELOGIN,
                b"".join(codec.encode_message(codec.SQL_BATCH, b"\xff\xff\xff\xff")),
                b"".join(codec.encode_message(codec.RPC, b"abc")),
            ]
        ),
    )
    def ended(self, how, bad):
        if how == 0:
            before = self.counters["tds_bad"]
            feed(self.connection, bad, ())
            if self.state in ("busy", "rows") and not self.wire.aborted:
                return
            if self.state == "ready" and bad == LATE_PRELOGIN:  # whole, and of a type that is not supported then
                (answer,) = self.heard()
                assert answer[0][1].number == 50005 and not self.wire.aborted
                return
            assert self.wire.aborted and self.counters["tds_bad"] == before + 1
        if how <= 1:
            left = list(self.core.open)
            self.connection.connectionLost()
            assert self.core.left[len(self.core.left) - len(left) :] == left and not self.core.open
            self.state = "lost"

    @rule()
    def time(self):
        self.core.clock.advance(11 * S)
        if self.state in ("prelogin", "login"):
            assert self.wire.aborted  # who does not log in holds no descriptor
            self.state = "closed"
        elif self.state == "rows":  # nor does who never reads its rows
            unread_for = self.core.clock.now() - self.rows_asked_at
            assert self.wire.aborted == (unread_for >= LIMITS.tds_write_timeout)
            self.state = "closed" if self.wire.aborted else "rows"

    @invariant()
    def agrees(self):
        assert len(self.core.open) == (self.state == "busy")
        if self.state in LOGGED_IN:  # its Attention and its end have to show, also while rows are written
            penalised = self.core.clock.now() < self.connection.fault_pause_until
            assert self.connection.reading_stopped == (self.wire.producerState == "paused") == penalised
        assert self.state not in LOGGED_IN or self.connection.state is tds.ClientConnectionState[self.state.upper()]


logging.getLogger("rackhub").setLevel(logging.ERROR)


# Guards against a request whose client is cut off as idle or silent while it writes: its last byte comes too late then.
@pytest.mark.parametrize("spoke", [True, False])
def test_a_message_that_has_begun_has_its_time_where_the_client_was_about_to_be_ended_as_idle(spoke):
    model = JsonRpcModel()
    if spoke:
        model.alive(cuts=[])
    for span in [2 * S, 2 * S] if spoke else [S]:
        model.time(span=span)
    model.half_a_line(cuts=[])
    model.time(span=S)  # the idle time, or that for a first message, ends meanwhile
    assert model.taking
    model.half_a_line(cuts=[])  # its rest
    model.agrees()
    model.half_a_line(cuts=[])
    model.time(span=2 * S)
    model.agrees()
    assert not model.taking, "a message that stays half ends the connection"


# Guards against a TDS client that is never read from again: its penalty ended while its rows were written.
def test_a_tds_client_whose_penalty_ends_while_its_rows_are_written_is_read_from_again():
    model = TdsModel()
    model.begin(logged_in=True, busy=False)
    for _ in range(LIMITS.faults_before_pause + 1):
        model.fault(cuts=[], fault=(codec.RPC, codec.encode_rpc("sp_who", {}), 50005))
    model.request(cuts=[], batch=True)
    model.answered(how="big", late=False)
    assert model.state == "rows" and model.connection.reading_stopped
    model.core.clock.advance(model.connection.fault_pause_until - model.core.clock.now())
    model.agrees()
    while model.state == "rows":
        model.rows()
    model.agrees()


TestJsonRpc = coverage_test(JsonRpcModel, STEPS)
TestResp = coverage_test(RespModel, STEPS, ["dialling", "up", "lost"])
TestTds = coverage_test(
    TdsModel, settings(STEPS, max_examples=80), ["prelogin", "login", "ready", "busy", "rows", "closed", "lost"]
)
assert LOGIN.has_password("open sesame") and not LOGIN.has_password("wrong")


class Crowd:
    """A front of four connections with clients in memory."""

    def __init__(self):
        self.core, self.counters = PlayedCore(), Counters()
        self.front = jsonrpc_front(
            self.core, replace(LIMITS, max_client_connections=4, max_aborted_connections=2), self.counters
        )

    def join(self, said=b""):
        connection = self.front.buildProtocol(None)
        if connection is not None:
            connection.makeConnection(MemoryTransport())
            feed(connection, said, ())
        self.core.clock.advance(MS)
        return connection


ALIVE = b'{"jsonrpc":"2.0","id":1,"method":"alive"}\n'


def test_where_room_runs_short_the_longest_idle_make_way_and_never_who_has_a_request_open():
    """On a scored day silent connections filled the front, and its usual clients were turned away with requests."""
    here = Crowd()
    spoke, silent, newer = here.join(ALIVE), here.join(), here.join()
    busy = here.join(
        b'{"jsonrpc":"2.0","id":2,"method":"lookup","params":{"rid":"00000000000000aa","budget":900,'
        b'"acct":"acme","body":"eA=="}}\n'
    )
    assert here.core.open and here.join() is not None and silent.transport.aborted
    assert here.join() is not None and newer.transport.aborted and not spoke.transport.aborted
    assert here.join() is None and here.counters["clients_refused"] == 1  # those cut hold their descriptors still
    silent.connectionLost()
    assert here.join() is not None and not busy.transport.aborted and here.counters["clients_evicted"] == 3
    assert len(here.front.connections) == 4


def test_half_of_the_room_is_kept_free_of_idlers():
    here = Crowd()
    first = [here.join(ALIVE) for _ in range(3)]
    here.core.clock.advance(LIMITS.crowded_idle_timeout + LIMITS.client_check_interval)
    assert [client.transport.disconnecting for client in first] == [True, False, False]
    first[0].connectionLost()
    here.core.clock.advance(LIMITS.client_idle_timeout)
    assert all(client.transport.disconnecting for client in first) and here.counters["clients_idle"] == 3


class Dialled:
    """What `EnginePools` asks of a connection, with what it was told."""

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


def test_connections_are_shared_by_few_and_end_with_their_engine():
    """An id at the address of one that has gone starts fresh, and of those gone nothing stays."""
    core, counters, made = PlayedCore(), Counters(), []

    def dial(pool):
        made.append(Dialled(pool))
        return made[-1]

    pools = EnginePools(dial, core.clock, LIMITS, counters, core, LIMITS.max_connections_per_engine)
    place = ("127.0.0.1", 5050)
    pools.update_endpoints({"e0": place})
    query = Query(f"{1:016x}", "lookup", b"x", S, None)
    for number in range(LIMITS.attempts_before_spread * LIMITS.max_spread_connections + 8):
        pools.send(Attempt(query, number, "e0", 0))
    assert [link.load() for link in made] == [5] * LIMITS.max_spread_connections
    pools.update_endpoints({"e1": place})
    pools.send(Attempt(query, 99, "e0", 0))
    pools.send(Attempt(query, 99, "e1", 0))
    assert (
        core.ends[-1][1] == "NOCONN" and made[-1].pool.name == "e1" and len(made) == LIMITS.max_spread_connections + 1
    )
    for link in made:
        link.open.clear()
        link.close_if_idle()
    pools.sweep()
    assert list(pools.pools) == ["e1"] and not pools.retired


def test_connections_to_all_engines_together_stay_within_their_share_of_descriptors():
    core, counters, made = PlayedCore(), Counters(), []
    pools = EnginePools(
        lambda pool: made.append(Dialled(pool)) or made[-1],
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
    assert len(made) == 4 and [end[1] for end in core.ends] == ["NOCONN"] * 2 and counters["over_engine_links"] == 2
    made[0].open.clear()
    pools.send(Attempt(query, 9, "e5", 0))  # an idle one makes way
    assert len(made) == 5 and len(core.ends) == 2 and not pools.pools["e0"].links
