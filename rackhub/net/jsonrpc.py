"""The platform's front: JSON-RPC 2.0 over TCP, one message per line, answers in any order."""

import contextlib
from binascii import b2a_base64
from collections.abc import Sequence
from typing import Any

import msgspec
from twisted.internet.protocol import Protocol

from rackhub import logs
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Query
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.client import Client
from rackhub.net.front import ClientTimeouts, Front
from rackhub.net.input_scheduler import InputScheduler, message_steps
from rackhub.net.line_buffer import LineBuffer
from rackhub.net.request_validation import InvalidRequestError, build_query

log = logs.logger(__name__)

# error codes: the first four are those of JSON-RPC 2.0, the others the platform's
PARSE_ERROR = -32700
INVALID_REQUEST = -32600
METHOD_NOT_FOUND = -32601
INVALID_PARAMS = -32602
REQUEST_FAILED = -32000
REQUEST_REJECTED = -32008

NO_ID = msgspec.UNSET
# The exceptions of the JSON decoder for malformed input. Thousands of nested brackets raise RecursionError; unhandled,
# it would close the connection without an answer to the open requests.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class Message(msgspec.Struct):
    """One JSON-RPC message. `params` is decoded later, by the method."""

    method: str
    jsonrpc: str = ""
    id: int | str | float | None | msgspec.UnsetType = NO_ID
    params: msgspec.Raw = msgspec.Raw(b"{}")


class RequestParams(msgspec.Struct):
    """The parameters of a request; times in milliseconds, memory in MB."""

    rid: str
    budget: float
    body: bytes
    acct: str = ""
    token: str = ""
    est: float = 0.0
    ram: float = 0.0


class CancelParams(msgspec.Struct):
    """The parameters of a cancel: the JSON-RPC id of the request."""

    id: int | str | float


MESSAGE_DECODER = msgspec.json.Decoder(Message)
REQUEST_PARAMS_DECODER = msgspec.json.Decoder(RequestParams)
CANCEL_PARAMS_DECODER = msgspec.json.Decoder(CancelParams)


class JsonRpcConnection(Client, Protocol):
    """The connection of one client.

    States:
    - open
    - draining: the process ends; requests are still accepted until none is open and no message is incomplete
    - ending: no more requests are accepted, the open ones are answered
    - closed: all answers are written, and input is discarded until the client closes too
    - lost: the open requests are disconnected
    """

    marks = True

    def __init__(self, front: Front):
        super().__init__(front)
        self.open: dict[Any, Query] = {}  # the open requests by JSON-RPC id
        self.has_accepted = False  # True after the first accepted request
        self.draining = False
        self._buffer = LineBuffer()
        self._end_requested = False  # True if the connection ends once the lines that wait are handled
        self._discarded_bytes = 0  # bytes received after the end of acceptance
        self._discarded_half = False  # True if the input discarded after the close ends in an incomplete line

    # ---- Twisted

    def connectionMade(self) -> None:  # noqa: N802
        """Register the new connection (Twisted)."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.front.connected(self)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Report the client of each open request as disconnected (Twisted)."""
        self.front.lost(self)
        if self._buffer or self._discarded_half:
            self.counters.add("halves_dropped")
        unanswered = list(self.open.values())
        self.open = {}
        self.input_pending = False  # the client of the requests that wait is gone
        log.debug("client_lost", client=self, open=len(unanswered), half_read=len(self._buffer), reason=reason)
        for query in unanswered:
            self.core.disconnect_client(query)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Buffer the received bytes, and have the complete lines handled (Twisted)."""
        if self.ending:
            self._discarded_bytes += len(data)
        if self.closed_at:
            self._count_discarded(data)
            self.update_reading()
        else:
            self._buffer.append(data)
            self.bytes_received(len(data))

    def _count_discarded(self, data: bytes) -> None:
        """Count the lines of input that nobody handles any more, and note whether the last one is incomplete."""
        lines = data.count(b"\n")
        if lines:
            self.counters.add("lines_dropped", lines)
            log.debug("lines_discarded", client=self, reason="the connection is closed", lines=lines, size=len(data))
        if data:
            self._discarded_half = not data.endswith(b"\n")

    def handle_next_message(self) -> int:
        """Handle the next complete line; return its steps, or 0 if there is none."""
        line = self._buffer.take_line()
        if line is None:
            return 0
        if self.ending:
            self._discard(line)
        elif len(line) > self.front.limits.max_request_bytes:
            self._too_long()
        else:
            self.lineReceived(line)
        return message_steps(len(line))

    def has_complete_message(self) -> bool:
        """Return whether a complete line waits."""
        return self._buffer.has_complete_line()

    def has_partial_message(self) -> bool:
        """Return whether the buffer ends in an incomplete line, when no complete one waits."""
        return len(self._buffer) > 0

    def input_handled(self) -> None:
        """Limit the incomplete line, pause or resume reading, and end the connection if it is done."""
        if self._handling_input:
            return
        self._buffer.discard_taken()
        if not self.input_pending and len(self._buffer) > self.front.limits.max_request_bytes:
            self._buffer.truncate(self.front.limits.max_request_bytes)
            if not self.ending:
                self._too_long()
        if self._end_requested and not self.can_handle_input():
            self._end_now()
        self._end_if_done()
        super().input_handled()

    def discard_buffers(self) -> None:
        """Free what an aborted connection keeps."""
        super().discard_buffers()
        self._buffer.take_all()
        self.input_pending = False

    def buffered_bytes(self) -> int:
        """Return the number of bytes of unhandled input and unsent output."""
        return len(self._buffer) + self.unsent_bytes()

    def is_blocked(self) -> bool:
        """Return whether no more lines may be handled now, so that reading has to be paused.

        On an ending connection reading goes on, to see the client's close and its cancels, until
        `limits.max_discarded_bytes` have been discarded. One that is about to end handles what it has read, whether or
        not the client reads the answers.
        """
        if self.ending:
            return self._discarded_bytes > self.front.limits.max_discarded_bytes
        if self._end_requested:
            return self.is_paused_for_faults()
        return super().is_blocked()

    def has_open_request(self) -> bool:
        """Return whether a request is open, or may be among the lines that wait.

        The lines of a client that sends invalid messages don't count, so that it can be evicted.
        """
        return bool(self.open) or self.input_pending and not self.is_paused_for_faults()

    def end_with_error(self, why: str) -> None:
        """Answer with an error, then end the connection."""
        self._error(None, INVALID_REQUEST, why)
        self.end()

    def _too_long(self) -> None:
        self.counters.add("too_long")
        self.end_with_error(f"the line is longer than {self.front.limits.max_request_bytes} bytes")

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Decode and handle one message."""
        self.counters.add("lines_in")
        try:
            message = MESSAGE_DECODER.decode(line)
        except msgspec.ValidationError:
            self.counters.add("bad_request")
            self._error(None, INVALID_REQUEST, "not a JSON-RPC request")
            return
        except DECODE_ERRORS:
            self.counters.add("bad_json")
            self._error(None, PARSE_ERROR, "the line is not valid JSON")
            return
        if message.jsonrpc != "2.0" or isinstance(message.id, float):
            self.counters.add("bad_request")
            self._error(
                None,
                INVALID_REQUEST,
                'not a JSON-RPC 2.0 request: jsonrpc must be "2.0", and the id an integer or a string',
            )
        elif message.method == "cancelRequest":
            self._cancel(message)
        elif message.method == "alive":
            self._answer_alive(message)
        elif message.id is NO_ID or message.id is None:
            self._reject_notification()
        else:
            self._request(message)

    # ---- requests

    def _answer_alive(self, message: Message) -> None:
        self.counters.add("alives_in")
        if message.id is NO_ID:
            self._reject_notification()
        else:
            self._write(message.id, b'"result":{"pass":%s}' % (b"true" if self.core.accepting else b"false"))

    def _reject_notification(self) -> None:
        """Answer a notification with an error, which JSON-RPC does not require.

        A client that omitted the id by mistake would otherwise wait for an answer.
        """
        self.counters.add("bad_request")
        self._error(None, INVALID_REQUEST, "the request has no id")

    def _request(self, message: Message) -> None:
        id = message.id
        cls = self.core.classes.get(message.method)
        if id in self.open:  # an error with this id would be mistaken for the answer to the open request
            self.counters.add("bad_request")
            self._error(None, INVALID_REQUEST, "the id is that of an open request")
            return
        if cls is None:
            self.counters.add("bad_method")
            self._error(id, METHOD_NOT_FOUND, "unknown method")
            return
        if len(self.open) >= self.front.limits.max_requests_per_client:
            self.counters.add("too_many_open")
            self._error(
                id,
                INVALID_REQUEST,
                f"too many open requests on this connection: at most {self.front.limits.max_requests_per_client}",
            )
            return
        try:
            query = self._decode_query(message, cls.name)
        except (*DECODE_ERRORS, InvalidRequestError) as invalid:
            self.counters.add("bad_params")
            self._error(id, INVALID_PARAMS, str(invalid))
            return
        self.open[id] = query
        self.has_accepted = True
        self.core.submit(query)

    def _decode_query(self, message: Message, cls: str) -> Query:
        params = REQUEST_PARAMS_DECODER.decode(message.params)
        return build_query(
            self.core,
            self,
            id=params.rid,
            cls=cls,
            statement=params.body,
            budget_ms=params.budget,
            tenant=params.acct,
            idempotency_key=params.token,
            est_ms=params.est,
            ram_mb=params.ram,
            tag=message.id,
        )

    def _cancel(self, message: Message) -> None:
        try:
            id = CANCEL_PARAMS_DECODER.decode(message.params).id
        except DECODE_ERRORS:
            self.counters.add("bad_params")
            self._error(message.id, INVALID_PARAMS, "params has no valid id of the request to cancel")
            return
        self.counters.add("cancels_in")
        # After a first request this is no error: the cancel may have crossed the answer.
        if not self._disconnect(id) and not self.has_accepted:
            self.counters.add("bad_params")
            self._error(message.id, INVALID_PARAMS, "no open request has this id")

    def _disconnect(self, id: Any) -> bool:
        """Cancel an open request; returns False if none has this id."""
        query = self.open.pop(id, None)
        if query is None:
            return False
        self.core.disconnect_client(query)
        self._end_if_done()
        return True

    def _discard(self, line: bytes) -> None:
        """Discard a message on an ending connection, unless it cancels an open request."""
        self.counters.add("lines_dropped")
        log.debug("line_discarded", client=self, reason="the connection is ending", size=len(line))
        if self.open and b"cancelRequest" in line:
            with contextlib.suppress(*DECODE_ERRORS):
                message = MESSAGE_DECODER.decode(line)
                if message.method == "cancelRequest":
                    self._disconnect(CANCEL_PARAMS_DECODER.decode(message.params).id)

    # ---- answers

    def served(self, query: Query, rows: Sequence[bytes]) -> None:
        """Answer with the result, and with the status of a gathered request if there is one.

        Requests of the platform are never gathered.
        """
        gather = b""
        if query.gather_status is not None:
            gather = b',"gather":' + msgspec.json.encode(query.gather_status)
        self._answer(query, b'"result":{"body":"', b2a_base64(b"".join(rows), newline=False), b'"', gather, b"}")

    def rejected(self, query: Query, backoff: int) -> None:
        """Answer that the request was rejected and may be retried after `backoff` microseconds."""
        backoff_ms = -(-backoff // 1_000)
        self._answer(
            query,
            b'"error":{"code":%d,"message":"refused: try again later","data":{"backoff":%d}}'
            % (REQUEST_REJECTED, backoff_ms),
        )

    def failed(self, query: Query, why: str) -> None:
        """Answer that the request has failed."""
        self._answer(query, b'"error":{"code":%d,"message":%s}' % (REQUEST_FAILED, msgspec.json.encode(why)))

    def _answer(self, query: Query, *pieces: bytes) -> None:
        if self.open.pop(query.tag, None) is not None:
            self.last_used = self.core.clock.now()
            self._write(query.tag, *pieces)
            if self.front.replaced and not self.open:
                self.drain()  # makes the client reconnect to the other process, without a request crossing the close
            self._end_if_done()

    def _error(self, id: Any, code: int, text: str) -> None:
        log.debug("message_rejected", client=self, id=id, reason=text)
        answered_id = None if id is NO_ID else id
        self._write(answered_id, b'"error":{"code":%d,"message":%s}' % (code, msgspec.json.encode(text)))
        self.record_fault()

    def _write(self, id: Any, *pieces: bytes) -> None:
        """Write one message, joined: the transport would keep each piece of an unsent one as an object of its own."""
        self.transport.write(b"".join((b'{"jsonrpc":"2.0","id":', msgspec.json.encode(id), b",", *pieces, b"}\n")))
        if not self._handling_input:
            self.front.buffers.update(self)

    # ---- closing

    def end(self) -> None:
        """Accept no further requests, answer the open ones, then close.

        The lines that wait are accepted before; those after an invalid message are discarded instead.
        """
        self._end_requested = True
        if self._handling_input or not self.can_handle_input():
            self._end_now()
        else:
            self.update_reading()

    def _end_now(self) -> None:
        self._end_requested = False
        self.ending = True
        self.update_reading()
        self._end_if_done()

    def drain(self) -> None:
        """Accept and answer the requests already on their way, then close."""
        self.draining = True
        log.debug("client_draining", client=self, open=len(self.open))
        self._end_if_done()

    def _end_if_done(self) -> None:
        if self.ending and not self.open:
            self.close()
            self._count_discarded(self._buffer.take_all())
            self.input_pending = False
            self.front.buffers.update(self)
            self.update_reading()
        elif self.draining and not self.open:
            # Two timers in a row: only between them are all sockets sure to have been read.
            now = self.core.clock.now()
            self.core.timers.call_at(now, self.core.timers.call_at, now, self._drained)

    def _drained(self) -> None:
        """End the connection: input that the kernel held at the last answer has been read and accepted."""
        if not self.open and not self._buffer:
            self.end()


def jsonrpc_front(
    core: Coordinator, limits: Limits, counters: Counters, scheduler: InputScheduler | None = None
) -> Front:
    """Return the listening side of the JSON-RPC front; `scheduler` is shared with other fronts."""
    timeouts = ClientTimeouts(
        limits.first_message_timeout, limits.message_timeout, limits.client_idle_timeout, limits.write_timeout
    )
    return Front(JsonRpcConnection, core, limits, counters, limits.max_client_connections, timeouts, scheduler)
