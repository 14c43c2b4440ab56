"""The platform's front: JSON-RPC 2.0 over TCP, one message a line, answers in any order."""

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
from rackhub.net.request_validation import InvalidRequestError, build_query

log = logs.logger(__name__)

# error codes: the first four of JSON-RPC 2.0, the others of the platform
PARSE_ERROR = -32700
INVALID_REQUEST = -32600
METHOD_NOT_FOUND = -32601
INVALID_PARAMS = -32602
REQUEST_FAILED = -32000
REQUEST_REJECTED = -32008

NO_ID = msgspec.UNSET
# what the decoder raises on bytes that it can't decode as JSON. Thousands of nested brackets are a RecursionError:
# unhandled, it would end the connection, and with it requests that are owed an answer
UNREADABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class Message(msgspec.Struct):
    """One message as JSON-RPC defines it; what the method needs is decoded from `params` later."""

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

    States: open; draining (the process ends: it is read on, and ends once nothing is open and no message incomplete);
    ending (no more is accepted, what is open is answered); closed (all is written: what comes is discarded until the
    client closes too); lost (what was open is given up).
    """

    marks = True

    def __init__(self, front: Front):
        super().__init__(front)
        self.open: dict[Any, Query] = {}  # by JSON-RPC id
        self.has_accepted = False  # whether a request was ever accepted
        self.draining = False
        self._buffer = b""  # an incomplete line
        self._processing = False  # inside the loop over the lines received
        self._discarded = 0  # bytes that came when no more was accepted

    # ---- Twisted

    def connectionMade(self) -> None:  # noqa: N802
        """Register the new connection (Twisted)."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.front.connected(self)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Disconnect the requests that are still open (Twisted)."""
        self.front.lost(self)
        if self._buffer:
            self.counters.add("halves_dropped")
        unanswered = list(self.open.values())
        self.open = {}
        log.debug("client_lost", client=self, open=len(unanswered), half_read=len(self._buffer), reason=reason)
        for query in unanswered:
            self.core.disconnect_client(query)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle the complete lines, and keep the rest for later (Twisted)."""
        if self.ending:
            self._discarded += len(data)
        else:
            complete = data.rfind(b"\n") + 1
            self.record_received(complete > 0, complete < len(data))
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        max_length = self.front.limits.max_request_bytes
        self._processing = True
        for line in lines:
            if self.ending:
                self._discard(line)
            elif len(line) > max_length:
                self._too_long()
            else:
                self.lineReceived(line)
        self._processing = False
        self.record_read(len(data))
        if len(self._buffer) > max_length:
            self._buffer = self._buffer[:max_length]
            if not self.ending:
                self._too_long()
        self.update_reading()
        self._end_if_done()

    def should_stop_reading(self) -> bool:
        """Whether it is not to be read from now.

        A client that floods a connection that ends is read from up to a bound. Else it is read on, as its close or its
        cancels have to be seen.
        """
        if self.ending:
            return self._discarded > self.front.limits.max_discarded_bytes
        return super().should_stop_reading()

    def update_reading(self) -> None:
        """Stop reading or go on, but only after all lines received are handled."""
        if not self._processing:
            super().update_reading()

    def has_open_request(self) -> bool:
        """Whether a request is open on it."""
        return bool(self.open)

    def end_with_error(self, why: str) -> None:
        """Answer with an error, then end the connection."""
        self._error(None, INVALID_REQUEST, why)
        self.end()

    def _too_long(self) -> None:
        self.counters.add("too_long")
        self.end_with_error("the line is too long")

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Decode and handle one message."""
        self.counters.add("lines_in")
        try:
            message = MESSAGE_DECODER.decode(line)
        except msgspec.ValidationError:
            self.counters.add("bad_request")
            self._error(None, INVALID_REQUEST, "not a request")
            return
        except UNREADABLE:
            self.counters.add("bad_json")
            self._error(None, PARSE_ERROR, "not JSON")
            return
        if message.jsonrpc != "2.0" or isinstance(message.id, float):
            self.counters.add("bad_request")
            self._error(None, INVALID_REQUEST, "not a JSON-RPC 2.0 request")
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
        """JSON-RPC answers no notification, but here every client is owed an answer or a close.

        Without an answer, a client that forgot the id would wait for one.
        """
        self.counters.add("bad_request")
        self._error(None, INVALID_REQUEST, "the id is missing")

    def _request(self, message: Message) -> None:
        id = message.id
        cls = self.core.classes.get(message.method)
        if id in self.open:  # an error under this id would be mistaken for the answer that is still owed
            self.counters.add("bad_request")
            self._error(None, INVALID_REQUEST, "the id is in use")
            return
        if cls is None:
            self.counters.add("bad_method")
            self._error(id, METHOD_NOT_FOUND, "no such method")
            return
        if len(self.open) >= self.front.limits.max_requests_per_client:
            self.counters.add("too_many_open")
            self._error(id, INVALID_REQUEST, "too many open requests")
            return
        try:
            query = self._decode_query(message, cls.name)
        except (*UNREADABLE, InvalidRequestError) as invalid:
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
        except UNREADABLE:
            self.counters.add("bad_params")
            self._error(message.id, INVALID_PARAMS, "no id to cancel")
            return
        self.counters.add("cancels_in")
        if not self._disconnect(id) and not self.has_accepted:  # else the cancel may have crossed its answer
            self.counters.add("bad_params")
            self._error(message.id, INVALID_PARAMS, "no such request")

    def _disconnect(self, id: Any) -> bool:
        """Cancel an open request; False: there is none with this id."""
        query = self.open.pop(id, None)
        if query is None:
            return False
        self.core.disconnect_client(query)
        self._end_if_done()
        return True

    def _discard(self, line: bytes) -> None:
        """Accept nothing more but the cancels of what is open."""
        self.counters.add("lines_dropped")
        log.debug("line_discarded", client=self, reason="the connection ends", size=len(line))
        if self.open and b"cancelRequest" in line:
            with contextlib.suppress(*UNREADABLE):
                message = MESSAGE_DECODER.decode(line)
                if message.method == "cancelRequest":
                    self._disconnect(CANCEL_PARAMS_DECODER.decode(message.params).id)

    # ---- answers

    def served(self, query: Query, rows: Sequence[bytes]) -> None:
        """Answer with the result; beside it the state of a gather, which requests of the platform never have."""
        gather = b""
        if query.gather_status is not None:
            gather = b',"gather":' + msgspec.json.encode(query.gather_status)
        self._answer(query, b'"result":{"body":"', b2a_base64(b"".join(rows), newline=False), b'"', gather, b"}")

    def rejected(self, query: Query, backoff: int) -> None:
        """Answer that the request was rejected, and after how many microseconds to retry."""
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
                self.drain()  # the close after its answer makes the client reconnect: no request crosses it
            self._end_if_done()

    def _error(self, id: Any, code: int, text: str) -> None:
        log.debug("message_rejected", client=self, id=id, reason=text)
        answered_id = None if id is NO_ID else id
        self._write(answered_id, b'"error":{"code":%d,"message":%s}' % (code, msgspec.json.encode(text)))
        self.record_fault()

    def _write(self, id: Any, *pieces: bytes) -> None:
        self.transport.writeSequence((b'{"jsonrpc":"2.0","id":', msgspec.json.encode(id), b",", *pieces, b"}\n"))

    # ---- the end

    def end(self) -> None:
        """Accept no more from now on, answer what is open, then close."""
        self.ending = True
        self.update_reading()
        self._end_if_done()

    def drain(self) -> None:
        """Accept what is on its way, answer it, then close."""
        self.draining = True
        log.debug("client_draining", client=self, open=len(self.open))
        self._end_if_done()

    def _end_if_done(self) -> None:
        if self.ending and not self.open:
            self.close()
        elif self.draining and not self.open:
            now = self.core.clock.now()  # twice, as only between two calls everything is read that came
            self.core.timers.call_at(now, self.core.timers.call_at, now, self._drained)

    def _drained(self) -> None:
        """End it: what the kernel had buffered when the last answer was written has been read, and was accepted."""
        if not self.open and not self._buffer:
            self.end()


def jsonrpc_front(core: Coordinator, limits: Limits, counters: Counters) -> Front:
    """Return the listening side of the JSON-RPC front."""
    timeouts = ClientTimeouts(
        limits.first_message_timeout, limits.message_timeout, limits.client_idle_timeout, limits.write_timeout
    )
    return Front(JsonRpcConnection, core, limits, counters, limits.max_client_connections, timeouts)
