"""The platform's front: JSON-RPC 2.0 over TCP, a message a line, answers in any order."""

import logging
from binascii import b2a_base64
from collections.abc import Sequence
from typing import Any

import msgspec
from twisted.internet.protocol import ServerFactory
from twisted.protocols.basic import LineOnlyReceiver

from rackhub.core.coordinator import Coordinator, Query
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.statement import table_group

log = logging.getLogger(__name__)
PARSE, INVALID, NO_METHOD, BAD_PARAMS = -32700, -32600, -32601, -32602
FAILED, REFUSED = -32000, -32008
NO_ID = msgspec.UNSET


class Message(msgspec.Struct):
    """One message as JSON-RPC words it; what the method needs is read from `params` later."""

    method: str
    jsonrpc: str = ""
    id: int | str | float | None | msgspec.UnsetType = NO_ID
    params: msgspec.Raw = msgspec.Raw(b"{}")


class Ask(msgspec.Struct):
    """The parameters of a request; times in milliseconds, memory in MB."""

    rid: str
    budget: float
    body: bytes
    acct: str = ""
    token: str = ""
    est: float = 0.0
    ram: float = 0.0


class Stop(msgspec.Struct):
    id: int | str | float


DECODE, ASK, STOP = msgspec.json.Decoder(Message), msgspec.json.Decoder(Ask), msgspec.json.Decoder(Stop)
NAME = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+")
MOST_MS = 3_600_000  # of a budget or an estimate: beyond it no class has a deadline


def usable(ask: Ask) -> str:
    """What is wrong with a request's figures and names, or nothing. Names go into heads of the engine's wire."""
    if len(ask.rid) != 16 or not set(ask.rid) <= set("0123456789abcdef"):
        return "rid is not 16 hex digits"
    if not 0 < ask.budget <= MOST_MS:
        return "budget is out of range"
    if not 0 <= ask.est <= 1e9 or not 0 <= ask.ram <= 1e9:
        return "est or ram is out of range"
    if len(ask.token) > 256 or not NAME.issuperset(ask.token):
        return "token holds what a key can't"
    return "acct is too long" if len(ask.acct) > 256 else ""


class JsonRpcConnection(LineOnlyReceiver):
    """One client. States: open; ending (a line that can't be read came: no more is taken, what is open is
    answered, then it closes); lost (what was open is given up)."""

    delimiter = b"\n"

    def __init__(self, front: "JsonRpcFront"):
        self.front, self.core, self.counters = front, front.core, front.counters
        self.MAX_LENGTH = front.limits.request_line
        self.open: dict[Any, Query] = {}
        self.ending = False

    # ---- Twisted

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.front.connected(self)

    def connectionLost(self, reason: object = None) -> None:
        self.counters.add("clients_closed")
        self.front.connections.discard(self)
        left, self.open = list(self.open.values()), {}
        for query in left:
            self.core.leave(query)

    # a client that does not read its answers is not read from either, so that neither buffer grows without end
    def pauseProducing(self) -> None:
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        if not self.ending:
            self.transport.resumeProducing()

    def stopProducing(self) -> None:
        pass

    def lineLengthExceeded(self, line: bytes) -> None:
        self.counters.add("too_long")
        self._error(None, INVALID, "the line is too long")
        self.end()

    def lineReceived(self, line: bytes) -> None:
        if self.ending:
            return
        self.counters.add("lines_in")
        try:
            message = DECODE.decode(line)
        except msgspec.ValidationError:
            self.counters.add("bad_request")
            return self._error(None, INVALID, "not a request")
        except (msgspec.DecodeError, UnicodeDecodeError):
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
                self._write(message.id, b'"result":{"pass":%s}' % (b"false" if self.front.draining else b"true"))
        elif message.id is NO_ID or message.id is None:  # asks for no answer, so there is nothing to serve
            self.counters.add("notifications_ignored")
        else:
            self._request(message)

    # ---- requests

    def _request(self, message: Message) -> None:
        id, cls = message.id, self.core.classes.get(message.method)
        if id in self.open:  # an error under this id would pass for the answer that is still owed
            self.counters.add("bad_request")
            return self._error(None, INVALID, "the id is in use")
        if cls is None:
            self.counters.add("bad_method")
            return self._error(id, NO_METHOD, "no such method")
        try:
            ask = ASK.decode(message.params)
            fault = usable(ask)
        except msgspec.MsgspecError as bad:
            fault = str(bad)
        if not fault and self.core.known(ask.rid):
            fault = "rid is in use"
        if fault:
            self.counters.add("bad_params")
            return self._error(id, BAD_PARAMS, fault)
        if len(self.open) >= self.front.limits.open_requests:
            self.counters.add("too_many_open")
            return self._error(id, INVALID, "too many open requests")
        query = Query(ask.rid, cls.name, ask.body, self.core.clock.now() + int(ask.budget * 1_000), self, tag=id,
                      tenant=ask.acct, token=ask.token if cls.effect == "dedup" else "",
                      estimate=int(ask.est * 1_000), memory_mb=ask.ram, tables=table_group(ask.body))
        self.open[id] = query
        self.core.submit(query)

    def _cancel(self, message: Message) -> None:
        try:
            id = STOP.decode(message.params).id
        except msgspec.MsgspecError:
            self.counters.add("bad_params")
            return self._error(message.id, BAD_PARAMS, "no id to cancel") if message.id is not NO_ID else None
        self.counters.add("cancels_in")
        query = self.open.pop(id, None)
        if query is not None:
            self.core.leave(query)
            self._end_if_done()

    # ---- answers

    def served(self, query: Query, rows: Sequence[bytes]) -> None:
        self._answer(query, b'"result":{"body":"', b2a_base64(b"".join(rows), newline=False), b'"}')

    def refused(self, query: Query, backoff: int) -> None:
        self._answer(query, b'"error":{"code":%d,"message":"refused: try again later","data":{"backoff":%d}}'
                     % (REFUSED, -(-backoff // 1_000)))

    def failed(self, query: Query, why: str) -> None:
        self._answer(query, b'"error":{"code":%d,"message":%s}' % (FAILED, msgspec.json.encode(why)))

    def _answer(self, query: Query, *pieces: bytes) -> None:
        if self.open.pop(query.tag, None) is not None:
            self._write(query.tag, *pieces)
            self._end_if_done()

    def _error(self, id: Any, code: int, text: str) -> None:
        self._write(None if id is NO_ID else id,
                    b'"error":{"code":%d,"message":%s}' % (code, msgspec.json.encode(text)))

    def _write(self, id: Any, *pieces: bytes) -> None:
        self.transport.writeSequence((b'{"jsonrpc":"2.0","id":', msgspec.json.encode(id), b",", *pieces, b"}\n"))

    # ---- the end

    def end(self) -> None:
        """Take no more, answer what is open, then close."""
        if not self.ending:
            self.ending = True
            self.transport.pauseProducing()
            self._end_if_done()

    def _end_if_done(self) -> None:
        if self.ending and not self.open:
            self.transport.unregisterProducer()
            self.transport.loseConnection()


class JsonRpcFront(ServerFactory):
    """The listening side: its connections, and whether the program is on its way out."""

    noisy = False

    def __init__(self, core: Coordinator, limits: Limits, counters: Counters):
        self.core, self.limits, self.counters = core, limits, counters
        self.connections: set[JsonRpcConnection] = set()
        self.draining = False

    def buildProtocol(self, addr: object) -> JsonRpcConnection | None:
        if len(self.connections) >= self.limits.client_connections:
            self.counters.add("clients_refused")
            return None  # closed at once: descriptors for engines are kept free
        return JsonRpcConnection(self)

    def connected(self, connection: JsonRpcConnection) -> None:
        self.counters.add("clients_accepted")
        self.connections.add(connection)

    def end(self) -> None:
        """Close every connection once what is open on it is answered."""
        for connection in list(self.connections):
            connection.end()

    def abort(self) -> None:
        for connection in list(self.connections):
            connection.transport.abortConnection()
