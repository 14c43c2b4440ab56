"""Parts at another installation: its gateways over the clients' protocol as it is, JSON-RPC 2.0, a message a line.

One connection to each gateway, dialled when a part needs it. All that comes is bounded and checked: what is no answer
to an open part, or no whole rows, is counted and ends the connection.
"""

import itertools
import logging
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.protocols.basic import LineOnlyReceiver

from rackhub.core.gather import Missing
from rackhub.core.request import Query
from rackhub.core.source import Address
from rackhub.net.dial import OneDial

log = logging.getLogger(__name__)
REFUSED = -32008
LINE = 131_072  # bytes of one answer: 48,000 of rows in base64, and what is round them
OPEN = 32  # on one connection, as the protocol has it
MS = 1_000
# how a part ended: its rows, or why there are none, how long to stay away, and whether another gateway may be asked
Done = Callable[[bytes | None, Missing, int, bool], None]


class Fault(msgspec.Struct):
    code: int = 0
    data: dict[str, Any] = {}


class Gathered(msgspec.Struct):
    whole: bool


class Result(msgspec.Struct):
    body: bytes  # base64 on the wire
    gather: Gathered | None = None


class Line(msgspec.Struct):
    id: int
    result: Result | None = None
    error: Fault | None = None


READ = msgspec.json.Decoder(Line)


def whole_rows(body: bytes, most: int) -> bool:
    """Whether this is a result: rows of three columns as text, the last one ended, no more than a result holds."""
    if len(body) > most or body and not body.endswith(b"\n"):
        return False
    try:
        body.decode()
    except UnicodeDecodeError:
        return False
    return all(row.count(b"\t") == 2 for row in body.split(b"\n")[:-1])


class Connection(LineOnlyReceiver):
    """One connection to one gateway, and what is open on it."""

    delimiter, MAX_LENGTH = b"\n", LINE
    transport: Any

    def __init__(self, remotes: "Remotes", address: Address):
        self.remotes, self.address, self.up, self.over = remotes, address, False, False
        self.open: dict[int, Done] = {}
        self._waiting: list[bytes] = []
        self._numbers = itertools.count(1)

    def ask(self, words: dict[str, Any], method: str, done: Done) -> int:
        number = next(self._numbers)
        self.open[number] = done
        self._say({"jsonrpc": "2.0", "id": number, "method": method, "params": words})
        return number

    def call_off(self, number: int) -> None:
        if self.open.pop(number, None) is not None:
            self._say({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": number}})

    def _say(self, message: dict[str, Any]) -> None:
        line = msgspec.json.encode(message) + b"\n"
        if self.up:
            self.transport.write(line)
        else:
            self._waiting.append(line)

    def connectionMade(self) -> None:
        if self.over:
            return self.transport.abortConnection()
        self.up = True
        self.transport.setTcpNoDelay(True)
        waiting, self._waiting = self._waiting, []
        self.transport.writeSequence(waiting)

    def lineReceived(self, line: bytes) -> None:
        try:
            answer = READ.decode(line)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            return self._bad("an answer that can't be read")
        done = self.open.pop(answer.id, None)
        if done is None:  # it crossed a call-off, or came twice
            return self.remotes.count("gather_strays")
        if answer.error is not None:
            backoff = answer.error.data.get("backoff", 0)
            backoff = int(backoff * MS) if isinstance(backoff, int | float) and 0 <= backoff <= 1e6 else 0
            refused = answer.error.code == REFUSED
            return done(None, "refused" if refused else "failed", backoff, True)
        if answer.result is None or not whole_rows(answer.result.body, self.remotes.most):
            done(None, "failed", 0, True)
            return self._bad("an answer that is no rows")
        if answer.result.gather is not None and not answer.result.gather.whole:  # it gathered itself
            self.remotes.count("gather_partial_parts")
            return done(None, "failed", 0, False)
        done(answer.result.body, "failed", 0, False)

    def lineLengthExceeded(self, line: bytes) -> None:
        self._bad(f"a line of more than {LINE} bytes")

    def _bad(self, what: str) -> None:
        self.remotes.count("gather_spoilt")
        log.warning("gather: gateway %s:%d sent %s", *self.address, what)
        self.transport.abortConnection()

    def connectionLost(self, reason: object = None) -> None:
        self.end()

    def end(self) -> None:
        """The connection is gone: what was open on it may be asked elsewhere, as its class may be repeated."""
        self.over, self.up = True, False
        self.remotes.gone(self)
        open, self.open = self.open, {}
        for done in open.values():
            done(None, "cut", 0, True)


class Asked:
    """One try of a part, to be called off."""

    __slots__ = ("_connection", "_number")

    def __init__(self, connection: Connection, number: int):
        self._connection, self._number = connection, number

    def call_off(self) -> None:
        self._connection.call_off(self._number)


class Remotes:
    """Connections to other installations' gateways. `count` adds one to a counter; `most` bytes of a result."""

    def __init__(self, reactor: Any, dial_timeout: int, most: int, count: Callable[[str], None]):
        self._reactor, self._dial, self.most, self.count = reactor, dial_timeout / 1_000_000, most, count
        self._connections: dict[Address, Connection] = {}

    def ask(self, address: Address, query: Query, id: str, budget: int, done: Done) -> Asked | None:
        """Ask one gateway; `budget` in microseconds. None: it can take no more now, and `done` is not called."""
        connection = self._connections.get(address)
        if connection is None:
            connection = self._connections[address] = Connection(self, address)
            self._reactor.connectTCP(*address, OneDial(connection, connection.end), timeout=self._dial)
        if len(connection.open) >= OPEN:
            return None
        words: dict[str, Any] = {"rid": id, "budget": max(budget // MS, 1), "body": query.statement}
        if query.tenant:
            words["acct"] = query.tenant
        if query.estimate:
            words["est"] = query.estimate / MS
        if query.memory_mb:
            words["ram"] = query.memory_mb
        return Asked(connection, connection.ask(words, query.cls, done))

    def gone(self, connection: Connection) -> None:
        if self._connections.get(connection.address) is connection:
            del self._connections[connection.address]

    def close(self) -> None:
        for connection in list(self._connections.values()):
            if connection.up:
                connection.transport.loseConnection()
