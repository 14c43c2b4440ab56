"""The words of the protocols as literal bytes of the protocol page, not of the product's own constants.

Engines got a command that the protocol does not have, `promote` for `hurry`, as a renaming had also changed the test's
expectation. A sound engine closes the connection on it, with all that is open there.
"""

import json

import pytest
from harness import CLASSES, S
from test_wire_models import READ_REPLY, FakeCore, MemoryTransport

from rackhub.core.request import Attempt, Query
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.jsonrpc import jsonrpc_front
from rackhub.net.pool import EnginePool
from rackhub.net.resp import EngineConnection

ID = b"00000000000000aa"
WANT = (
    b"*4\r\n$4\r\nwant\r\n$16\r\n00000000000000aa\r\n"
    b"$53\r\nprofile=depot-load,max=9000,level=1,replay=key-number\r\n$8\r\nSELECT 1\r\n"
)
HURRY = b"*3\r\n$5\r\nhurry\r\n$16\r\n00000000000000aa\r\n$1\r\n3\r\n"
NEVER_MIND = b"*2\r\n$10\r\nnever_mind\r\n$16\r\n00000000000000aa\r\n"
TURN = b"*3\r\n$4\r\nturn\r\n$16\r\n00000000000000aa\r\n$1\r\n1\r\n"
SHUT = b"*2\r\n$4\r\nshut\r\n$16\r\n00000000000000aa\r\n"
PAGE_0_OF_2 = (
    b"*4\r\n$16\r\n00000000000000aa\r\n$3\r\n200\r\n$28\r\nchunks=2,report=inflight:7.5\r\n$6\r\na\tb\tc\n\r\n"
)
PAGE_1 = b"*4\r\n$16\r\n00000000000000aa\r\n$5\r\nchunk\r\n$4\r\nat=1\r\n$6\r\nd\te\tf\n\r\n"
REQUEST = (
    b'{"jsonrpc":"2.0","id":7,"method":"lookup","params":'
    b'{"rid":"00000000000000aa","budget":900,"acct":"acme","body":"U0VMRUNUIDE="}}\n'
)


class Engine:
    """A connection to an engine over RESP with one attempt in flight."""

    def __init__(self):
        self.core = FakeCore()
        pool = EnginePool("e0", ("127.0.0.1", 1), Counters())
        self.connection = EngineConnection(pool, self.core.clock, Limits(), pool.counters, self.core)
        pool.links.append(self.connection)
        self.wire = MemoryTransport()
        self.connection.makeConnection(self.wire)
        deadline = self.core.clock.now() + 9 * S
        query = Query(ID.decode(), "depot-load", b"SELECT 1", deadline, READ_REPLY, idempotency_key="key-number")
        self.attempt = Attempt(query, 0, "e0", self.core.clock.now())
        self.connection.enqueue(self.attempt)
        self.wire.flush()

    def sent(self):
        return self.wire.take_output()

    def receive(self, data):
        self.connection.dataReceived(data)


def test_commands_to_engines():
    engine = Engine()
    assert engine.sent() == WANT
    engine.attempt.query.priority = 3
    engine.connection.promote(engine.attempt)
    assert engine.sent() == HURRY
    engine.connection.give_up(engine.attempt)
    assert engine.sent() == NEVER_MIND


def test_commands_for_further_pages():
    engine = Engine()
    engine.sent()
    engine.receive(PAGE_0_OF_2)
    assert engine.sent() == TURN
    engine.connection.give_up(engine.attempt)
    assert engine.sent() == SHUT
    engine = Engine()
    engine.receive(PAGE_0_OF_2 + PAGE_1)
    assert engine.core.attempt_ends == [(ID.decode(), "GOOD", b"a\tb\tc\nd\te\tf\n")]


@pytest.mark.parametrize("word, outcome", [(b"503", "FULL"), (b"500", "BAD"), (b"504", "NOP")])
def test_answers_of_engines_without_a_result(word, outcome):
    engine = Engine()
    engine.receive(b"*4\r\n$16\r\n00000000000000aa\r\n$3\r\n%s\r\n$1\r\n-\r\n$0\r\n\r\n" % word)
    assert engine.core.attempt_ends == [(ID.decode(), outcome, b"")]


@pytest.mark.parametrize("remark, topic", [(b"advance", 1), (b"disk", 2), (b"stall", 3)])
def test_notes_of_engines(remark, topic):
    engine = Engine()
    fields = b"remark=%s,amount=0.5" % remark
    engine.receive(b"*4\r\n$16\r\n00000000000000aa\r\n$6\r\nstatus\r\n$%d\r\n%s\r\n$0\r\n\r\n" % (len(fields), fields))
    engine.receive(b"*2\r\n$1\r\n1\r\n$5\r\nalive\r\n")
    assert engine.core.progress_reports == [(ID.decode(), topic, 0.5)] and not engine.wire.aborted


def test_messages_of_the_front():
    core = FakeCore()
    assert CLASSES[0].name == "lookup"
    connection = jsonrpc_front(core, Limits(), Counters()).buildProtocol(None)
    wire = MemoryTransport()
    connection.makeConnection(wire)
    connection.dataReceived(b'{"jsonrpc":"2.0","id":1,"method":"alive"}\n')
    assert wire.take_output() == b'{"jsonrpc":"2.0","id":1,"result":{"pass":true}}\n'
    connection.dataReceived(REQUEST)
    (query,) = core.open_requests.values()
    assert (query.id, query.cls, query.tenant, query.statement) == (ID.decode(), "lookup", "acme", b"SELECT 1")
    connection.served(query, (b"a\tb\tc\n",))
    assert wire.take_output() == b'{"jsonrpc":"2.0","id":7,"result":{"body":"YQliCWMK"}}\n'
    core.open_requests.clear()
    connection.dataReceived(REQUEST)
    connection.rejected(core.open_requests[ID.decode()], 250_000)
    refused = json.loads(wire.take_output())["error"]
    assert refused["code"] == -32008 and refused["data"] == {"backoff": 250}
    core.open_requests.clear()
    connection.dataReceived(REQUEST)
    connection.dataReceived(b'{"jsonrpc":"2.0","method":"cancelRequest","params":{"id":7}}\n')
    assert core.cancelled_ids == [ID.decode()] and wire.take_output() == b""
