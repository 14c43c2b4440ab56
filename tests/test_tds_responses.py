"""A result of a TDS engine is served only if it is complete, and nothing of it reaches the next call.

Half of a result was served as whole when an engine's answer stopped short: the last packet of the message counted as
the end, whether or not a DONE token had come.
"""

import itertools

import pytest
from harness import LIMITS, S
from test_wire_models import READ_REPLY, FakeCore, MemoryTransport

from rackhub.core.request import Attempt, Query
from rackhub.counters import Counters
from rackhub.interface import Outcome
from rackhub.net.pool import EnginePool
from rackhub.net.tds import codec
from rackhub.net.tds.engine import EngineConnectionState, TdsEngineConnection
from rackhub.operatorfile import TdsEngineSettings

ROWS = [("a", "b", str(number)) for number in range(6)]
COLUMNS = codec.encode_columns(("c1", "c2", "c3"))
ROW_TOKENS = [codec.encode_row(row) for row in ROWS]
RESULT = [COLUMNS, *ROW_TOKENS, codec.encode_done(codec.DONE_COUNT, len(ROWS), codec.DONEPROC)]
RETURN_STATUS = bytes([codec.RETURNSTATUS, 0, 0, 0, 0])
BODY = b"".join(b"\t".join(value.encode() for value in row) + b"\n" for row in ROWS)
LOGIN_ACK = codec.encode_login_ack(codec.VERSION_74, "engine")
ATTENTION_ACK = codec.encode_done(codec.DONE_ATTN)


def message(*tokens):
    return b"".join(codec.encode_message(codec.REPLY, b"".join(tokens)))


class EngineBed:
    """A connection to an engine whose bytes the test writes."""

    def __init__(self, core=None):
        self.core, self.counters, self._ids = core or FakeCore(), Counters(), itertools.count(1)
        pool = EnginePool("e0", ("127.0.0.1", 1), self.counters)
        settings = TdsEngineSettings(user="hub", password="secret")
        self.connection = TdsEngineConnection(pool, settings, self.core.clock, LIMITS, self.counters, self.core)
        pool.links.append(self.connection)
        self.wire = MemoryTransport()
        self.connection.makeConnection(self.wire)

    def log_in(self, *tokens):
        self.connection.dataReceived(message(codec.encode_prelogin()))
        self.connection.dataReceived(message(*(tokens or (LOGIN_ACK, codec.encode_done(0)))))
        return self

    def attempt(self):
        query = Query(f"{next(self._ids):016x}", "lookup", b"SELECT 1", self.core.clock.now() + 3 * S, READ_REPLY)
        query.priority = 1
        return Attempt(query, 1, "e0", self.core.clock.now())

    def call(self):
        attempt = self.attempt()
        self.connection.enqueue(attempt)
        self.wire.flush()
        assert self.connection.state == EngineConnectionState.BUSY
        return attempt

    def receive(self, *tokens):
        """Pass a message to the connection, and end it if the connection was aborted; return the outcomes."""
        return self.receive_bytes(message(*tokens))

    def receive_bytes(self, data):
        self.connection.dataReceived(data)
        if self.wire.aborted:
            self.connection.connectionLost()
        return [(reason, body) for _, reason, body in self.core.attempt_ends]

    def is_used_up(self):
        """Return whether the connection was closed after its call, and not for malformed bytes."""
        no_more_calls = not self.connection.accepts(self.attempt()) and self.connection.closed
        return no_more_calls and self.wire.aborted and not self.counters["engine_bad_frames"]


def called():
    bed = EngineBed().log_in()
    bed.call()
    return bed


# Guards against a part of a result that is served as whole, wherever it stops.
@pytest.mark.parametrize("tokens", range(len(RESULT)))
def test_an_answer_that_stops_before_its_done_is_not_served(tokens):
    bed = called()
    assert bed.receive(*RESULT[:tokens]) == [(Outcome.RESET, b"")]
    assert bed.counters["engine_bad_frames"] == 1


# Guards against rows that are lost before the end, or a second copy of some.
@pytest.mark.parametrize("kind", [codec.DONE, codec.DONEPROC, codec.DONEINPROC])
@pytest.mark.parametrize("rows", [ROW_TOKENS[:-1], [], [*ROW_TOKENS, ROW_TOKENS[0]]], ids=["fewer", "none", "more"])
def test_an_answer_with_another_number_of_rows_than_it_says_is_not_served(rows, kind):
    bed = called()
    done = codec.encode_done(codec.DONE_COUNT, len(ROWS), kind)
    assert bed.receive(COLUMNS, *rows, done, RETURN_STATUS, codec.encode_done(0, 0, codec.DONEPROC)) == [
        (Outcome.RESET, b"")
    ]


@pytest.mark.parametrize(
    "tokens",
    [
        [COLUMNS, *ROW_TOKENS, codec.encode_done(codec.DONE_COUNT | codec.DONE_MORE, 6)],
        [COLUMNS, *ROW_TOKENS, codec.encode_done(codec.DONE_COUNT, 6, codec.DONEINPROC)],
        [*RESULT, ROW_TOKENS[0]],
        [*RESULT, *RESULT],
        [*RESULT, RESULT[-1]],
        [*RESULT[:-1], COLUMNS, RESULT[-1]],
        [*ROW_TOKENS, RESULT[-1]],
        [*RESULT[:-1], codec.encode_done(codec.DONE_MORE | codec.DONE_COUNT, 6), *RESULT],
        [*RESULT[:-1], ATTENTION_ACK],
        [ATTENTION_ACK],
        [],
    ],
    ids=[
        "more-follows",
        "statement-only",
        "row-after-end",
        "twice",
        "done-twice",
        "columns-twice",
        "no-columns",
        "two-results",
        "attention-unasked",
        "attention-alone",
        "empty",
    ],
)
def test_an_answer_that_is_not_one_complete_result_is_not_served(tokens):
    assert called().receive(*tokens) == [(Outcome.RESET, b"")]


# Guards against an engine's word that the statement has failed, in the DONE token alone.
@pytest.mark.parametrize("status", [codec.DONE_ERROR, codec.DONE_SERVER_ERROR])
def test_a_done_that_reports_an_error_is_no_result(status):
    bed = called()
    assert bed.receive(COLUMNS, *ROW_TOKENS, codec.encode_done(status | codec.DONE_COUNT, 6)) == [(Outcome.ERROR, b"")]
    assert bed.is_used_up()


@pytest.mark.parametrize(
    "tokens, body",
    [
        (RESULT, BODY),
        ([COLUMNS, *ROW_TOKENS, codec.encode_done(codec.DONE_COUNT, 6)], BODY),
        ([COLUMNS, *ROW_TOKENS, codec.encode_done(0, 0)], BODY),  # counts are off (SET NOCOUNT ON)
        (
            [
                *RESULT[:-1],
                codec.encode_done(codec.DONE_COUNT | codec.DONE_MORE, 6, codec.DONEINPROC),
                RETURN_STATUS,
                codec.encode_done(0, 0, codec.DONEPROC),
            ],
            BODY,
        ),
        ([COLUMNS, codec.encode_done(codec.DONE_COUNT, 0, codec.DONEPROC)], b""),
        ([codec.encode_done(codec.DONE_COUNT, 500, codec.DONEPROC)], b""),  # a load: the number of rows it has changed
    ],
    ids=["procedure", "batch", "no-count", "statement", "no-rows", "load"],
)
def test_a_complete_answer_is_served_and_the_connection_not_used_again(tokens, body):
    bed = called()
    assert bed.receive(*tokens) == [(Outcome.SUCCESS, body)]
    assert bed.is_used_up()


# Guards against the rest of one answer that is taken for the beginning of the next one.
@pytest.mark.parametrize("size", [1, 8, 40])
def test_bytes_after_an_answer_end_the_connection_before_the_next_call(size):
    bed = called()
    assert bed.receive_bytes(message(*RESULT) + message(*RESULT)[:size]) == [(Outcome.SUCCESS, BODY)]
    assert bed.wire.aborted and bed.connection.closed


# Guards against a cancelled answer that stops short and whose rest is taken for that of the next call.
def test_a_cancelled_answer_that_stops_short_ends_the_connection():
    bed = EngineBed().log_in()
    bed.connection.give_up(bed.call())
    bed.receive(*RESULT[:3])
    assert bed.wire.aborted and bed.connection.closed


@pytest.mark.parametrize(
    "answers", [[RESULT, [ATTENTION_ACK]], [[*RESULT, ATTENTION_ACK]], [[*RESULT[:3], ATTENTION_ACK]]]
)
def test_a_cancelled_call_uses_the_connection_up_once_it_is_acknowledged(answers):
    bed = EngineBed().log_in()
    bed.connection.give_up(bed.call())
    for tokens in answers:
        assert not bed.connection.closed  # the Attention must reach the engine
        bed.receive(*tokens)
    assert bed.is_used_up() and not bed.core.attempt_ends


# Guards against the second copy of a login's response that is taken for the response to the call: an empty result.
def test_a_second_copy_of_the_login_is_not_served():
    assert called().receive(LOGIN_ACK, codec.encode_done(0)) == [(Outcome.RESET, b"")]


# Guards against a login that stops short and is taken for an accepted one.
@pytest.mark.parametrize("tokens", [[LOGIN_ACK], [codec.encode_done(0)]], ids=["no-done", "no-ack"])
def test_a_login_that_is_not_acknowledged_as_a_whole_ends_the_connection(tokens):
    assert EngineBed().log_in(*tokens).wire.aborted


# Guards against an engine that accepts and says nothing, whose connection got one attempt after the other.
@pytest.mark.parametrize("answers", [[], [message(codec.encode_prelogin())]], ids=["nothing", "prelogin"])
def test_a_login_that_is_not_completed_in_time_ends_the_connection(answers):
    bed = EngineBed()
    for answer in answers:
        bed.connection.dataReceived(answer)
    bed.connection.enqueue(bed.attempt())
    bed.core.clock.advance(LIMITS.tds_engine_login_timeout - 1)
    bed.connection.check_timeouts(bed.core.clock.now())
    assert not bed.wire.aborted and not bed.core.attempt_ends
    bed.core.clock.advance(1)
    bed.connection.check_timeouts(bed.core.clock.now())
    assert bed.wire.aborted and not bed.connection.accepts(bed.attempt())
    assert [reason for _, reason, _ in bed.core.attempt_ends] == [Outcome.CONNECT_FAILED]
