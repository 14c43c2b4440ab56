"""The platform's front: JSON-RPC 2.0 over TCP, a message a line, answers in any order."""

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
from rackhub.net.front import Client, ClientTimeouts, Front, InvalidRequestError, request

log = logs.logger(__name__)
PARSE, INVALID, NO_METHOD, BAD_PARAMS = -32700, -32600, -32601, -32602
FAILED, REFUSED = -32000, -32008
NO_ID = msgspec.UNSET
# what the decoder raises on bytes that are no JSON it can read. Brackets inside brackets by the thousand are a
# RecursionError: let through, it ended the connection, and with it requests that were owed an answer
UNREADABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class Message(msgspec.Struct):
    """One message as JSON-RPC words it; what the method needs is read from `params` later."""

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
    id: int | str | float


MESSAGE_DECODER, REQUEST_PARAMS_DECODER, CANCEL_PARAMS_DECODER = (
    msgspec.json.Decoder(Message),
    msgspec.json.Decoder(RequestParams),
    msgspec.json.Decoder(CancelParams),
)


class JsonRpcConnection(Client, Protocol):
    """One client. States: open; draining (the process ends: it is read on, and ends once nothing is open and nothing
    half read); ending (no more is taken, what is open is answered); closed (all is written: what comes is dropped
    until the client closes too); lost (what was open is given up)."""

    marks = True

    def __init__(self, front: Front):
        super().__init__(front)
        self.open: dict[Any, Query] = {}
        self.asked = False  # whether a request was ever taken on
        self.draining = False
        self._buffer = b""  # half a line
        self._reading = False  # inside the loop over the lines of what came
        self._dropped = 0  # bytes that came when no more was taken

    # ---- Twisted

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.front.connected(self)

    def connectionLost(self, reason: object = None) -> None:
        self.front.lost(self)
        if self._buffer:
            self.counters.add("halves_dropped")
        left, self.open = list(self.open.values()), {}
        log.debug("client_lost", client=self, open=len(left), half_read=len(self._buffer), reason=reason)
        for query in left:
            self.core.disconnect_client(query)

    def dataReceived(self, data: bytes) -> None:
        if self.ending:
            self._dropped += len(data)
        else:
            whole = data.rfind(b"\n") + 1
            self.came(whole > 0, whole < len(data))
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        most, self._reading = self.front.limits.request_line, True
        for line in lines:
            if self.ending:
                self._drop(line)
            elif len(line) > most:
                self._too_long()
            else:
                self.lineReceived(line)
        self._reading = False
        self.stale = self.stale and len(data) >= self.front.limits.read
        if len(self._buffer) > most:
            self._buffer = self._buffer[:most]
            if not self.ending:
                self._too_long()
        self.hear()
        self._end_if_done()

    def held(self) -> bool:
        """Of a client that floods a connection that ends no more is read than a bound. Else it is read on, for its
        close or its cancels have to show."""
        return self._dropped > self.front.limits.dropped if self.ending else super().held()

    def hear(self) -> None:
        if not self._reading:  # what came is taken whole
            super().hear()

    def busy(self) -> bool:
        return bool(self.open)

    def late(self, why: str) -> None:
        self._error(None, INVALID, why)
        self.end()

    def _too_long(self) -> None:
        self.counters.add("too_long")
        self.late("the line is too long")

    def lineReceived(self, line: bytes) -> None:
        self.counters.add("lines_in")
        try:
            message = MESSAGE_DECODER.decode(line)
        except msgspec.ValidationError:
            self.counters.add("bad_request")
            return self._error(None, INVALID, "not a request")
        except UNREADABLE:
            self.counters.add("bad_json")
            return self._error(None, PARSE, "not JSON")
        if message.jsonrpc != "2.0" or isinstance(message.id, float):
            self.counters.add("bad_request")
            return self._error(None, INVALID, "not a JSON-RPC 2.0 request")
        if message.method == "cancelRequest":
            self._cancel(message)
        elif message.method == "alive":
            self.counters.add("alives_in")
            if message.id is not NO_ID:
                self._write(message.id, b'"result":{"pass":%s}' % (b"true" if self.core.accepting else b"false"))
            else:
                self._no_id()
        elif message.id is NO_ID or message.id is None:
            self._no_id()
        else:
            self._request(message)

    # ---- requests

    def _no_id(self) -> None:
        """JSON-RPC answers no notification, but here every client is owed an answer or a close: left alone, it would
        wait for one."""
        self.counters.add("bad_request")
        self._error(None, INVALID, "the id is missing")

    def _request(self, message: Message) -> None:
        id, cls = message.id, self.core.classes.get(message.method)
        if id in self.open:  # an error under this id would pass for the answer that is still owed
            self.counters.add("bad_request")
            return self._error(None, INVALID, "the id is in use")
        if cls is None:
            self.counters.add("bad_method")
            return self._error(id, NO_METHOD, "no such method")
        if len(self.open) >= self.front.limits.open_requests:
            self.counters.add("too_many_open")
            return self._error(id, INVALID, "too many open requests")
        try:
            ask = REQUEST_PARAMS_DECODER.decode(message.params)
            query = request(
                self.core,
                self,
                id=ask.rid,
                cls=cls.name,
                statement=ask.body,
                budget_ms=ask.budget,
                tenant=ask.acct,
                idempotency_key=ask.token,
                est_ms=ask.est,
                ram_mb=ask.ram,
                tag=id,
            )
        except (*UNREADABLE, InvalidRequestError) as bad:
            self.counters.add("bad_params")
            return self._error(id, BAD_PARAMS, str(bad))
        self.open[id], self.asked = query, True
        self.core.submit(query)

    def _cancel(self, message: Message) -> None:
        try:
            id = CANCEL_PARAMS_DECODER.decode(message.params).id
        except UNREADABLE:
            self.counters.add("bad_params")
            return self._error(message.id, BAD_PARAMS, "no id to cancel")
        self.counters.add("cancels_in")
        if not self._withdrawn(id) and not self.asked:  # else the cancel may have crossed its answer
            self.counters.add("bad_params")
            self._error(None if message.id is NO_ID else message.id, BAD_PARAMS, "no such request")

    def _withdrawn(self, id: Any) -> bool:
        query = self.open.pop(id, None)
        if query is not None:
            self.core.disconnect_client(query)
            self._end_if_done()
        return query is not None

    def _drop(self, line: bytes) -> None:
        """No more is taken; but who cancels what is open here has gone from it."""
        self.counters.add("lines_dropped")
        log.debug("line_dropped", client=self, reason="the connection ends", size=len(line))
        if self.open and b"cancelRequest" in line:
            with contextlib.suppress(*UNREADABLE):
                message = MESSAGE_DECODER.decode(line)
                if message.method == "cancelRequest":
                    self._withdrawn(CANCEL_PARAMS_DECODER.decode(message.params).id)

    # ---- answers

    def served(self, query: Query, rows: Sequence[bytes]) -> None:
        told = (
            b"" if query.gather_status is None else b',"gather":' + msgspec.json.encode(query.gather_status)
        )  # never on the platform
        self._answer(query, b'"result":{"body":"', b2a_base64(b"".join(rows), newline=False), b'"', told, b"}")

    def rejected(self, query: Query, backoff: int) -> None:
        self._answer(
            query,
            b'"error":{"code":%d,"message":"refused: try again later","data":{"backoff":%d}}'
            % (REFUSED, -(-backoff // 1_000)),
        )

    def failed(self, query: Query, why: str) -> None:
        self._answer(query, b'"error":{"code":%d,"message":%s}' % (FAILED, msgspec.json.encode(why)))

    def _answer(self, query: Query, *pieces: bytes) -> None:
        if self.open.pop(query.tag, None) is not None:
            self.used = self.core.clock.now()
            self._write(query.tag, *pieces)
            if self.front.succeeded and not self.open:
                self.drain()  # with its answer the client hears that it is to go elsewhere: nothing crosses the close
            self._end_if_done()

    def _error(self, id: Any, code: int, text: str) -> None:
        log.debug("message_refused", client=self, id=id, reason=text)
        self._write(
            None if id is NO_ID else id, b'"error":{"code":%d,"message":%s}' % (code, msgspec.json.encode(text))
        )
        self.fault()

    def _write(self, id: Any, *pieces: bytes) -> None:
        self.transport.writeSequence((b'{"jsonrpc":"2.0","id":', msgspec.json.encode(id), b",", *pieces, b"}\n"))

    # ---- the end

    def end(self) -> None:
        self.ending = True
        self.hear()
        self._end_if_done()

    def drain(self) -> None:
        self.draining = True
        log.debug("client_draining", client=self, open=len(self.open))
        self._end_if_done()

    def _end_if_done(self) -> None:
        if self.ending and not self.open:
            self.close()
        elif self.draining and not self.open:
            now = self.core.clock.now()  # twice, for between two calls alone everything is read that came
            self.core.timers.at(now, self.core.timers.at, now, self._drained)

    def _drained(self) -> None:
        """What lay unread in the kernel when the last answer was written has been read, and was taken."""
        if not self.open and not self._buffer:
            self.end()


def jsonrpc_front(core: Coordinator, limits: Limits, counters: Counters) -> Front:
    return Front(
        JsonRpcConnection,
        core,
        limits,
        counters,
        limits.client_connections,
        ClientTimeouts(limits.first_message, limits.half_message, limits.client_idle, limits.unread),
    )
