"""Subrequests to coordinators of other installations over the clients' protocol: JSON-RPC 2.0, one message per line.

There is one connection to each coordinator, dialled when a subrequest needs it. Everything received is bounded and
checked. A response to no pending call is counted and ignored; a malformed one is counted and ends the connection.
"""

import itertools
import logging
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.protocols.basic import LineOnlyReceiver

from rackhub.core.gather import MissingReason
from rackhub.core.request import Query
from rackhub.core.source import Address
from rackhub.net.dial import SingleConnectionFactory

log = logging.getLogger(__name__)
REJECTED_CODE = -32008  # the JSON-RPC error code of a rejected request, which may be retried
MAX_LINE_BYTES = 131_072  # 48,000 bytes of rows in base64, and the rest of the message
MAX_PENDING_CALLS = 32  # the protocol's limit for one connection
COLUMNS = 3
MAX_BACKOFF_MS = 1e6
MS = 1_000  # microseconds
SECOND = 1_000_000  # microseconds
Completion = Callable[[bytes | None, MissingReason, int, bool], None]
"""Called when a call ends: its rows, or None with the reason, a backoff in microseconds, and whether to retry it."""


class ErrorObject(msgspec.Struct):
    """The `error` of a response."""

    code: int = 0
    data: dict[str, Any] = {}

    @property
    def backoff(self) -> int:
        """The requested backoff in microseconds; 0 if there is none from 0 to `MAX_BACKOFF_MS`."""
        backoff = self.data.get("backoff", 0)
        if not isinstance(backoff, int | float) or not 0 <= backoff <= MAX_BACKOFF_MS:
            return 0
        return int(backoff * MS)


class GatherResult(msgspec.Struct):
    """The `gather` status of a result. `whole`: it has the rows of all sites."""

    whole: bool


class Result(msgspec.Struct):
    """The `result` of a response; `body` is base64 on the wire."""

    body: bytes
    gather: GatherResult | None = None


class Response(msgspec.Struct):
    """A JSON-RPC response of another coordinator."""

    id: int
    result: Result | None = None
    error: ErrorObject | None = None


RESPONSE_DECODER = msgspec.json.Decoder(Response)


def are_complete_rows(body: bytes, max_bytes: int) -> bool:
    """Return whether a body is complete: UTF-8 rows of three columns, each terminated, within `max_bytes`."""
    if len(body) > max_bytes or body and not body.endswith(b"\n"):
        return False
    try:
        body.decode()
    except UnicodeDecodeError:
        return False
    return all(row.count(b"\t") == COLUMNS - 1 for row in body.split(b"\n")[:-1])


def encode_line(message: dict[str, Any]) -> bytes:
    """Return one message as a line."""
    return msgspec.json.encode(message) + b"\n"


class Connection(LineOnlyReceiver):
    """One connection to another coordinator, with its pending calls."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES
    transport: Any

    def __init__(self, remotes: "RemoteGateways", address: Address):
        self.remotes = remotes
        self.address = address
        self.is_open = False
        self.closed = False
        self.pending_calls: dict[int, Completion] = {}
        self.is_blocked = False  # the other coordinator does not read: what is sent waits in the transport's buffer
        self._unsent_lines: dict[int, bytes] = {}  # calls that wait until the connection is established, by id
        self._call_ids = itertools.count(1)

    def call(self, params: dict[str, Any], method: str, completed: Completion) -> int:
        """Send a call and return its id; `completed` is called once, unless the call is cancelled."""
        call_id = next(self._call_ids)
        self.pending_calls[call_id] = completed
        line = encode_line({"jsonrpc": "2.0", "id": call_id, "method": method, "params": params})
        if self.is_open:
            self.transport.write(line)
        else:
            self._unsent_lines[call_id] = line
        return call_id

    def cancel(self, call_id: int) -> None:
        """Cancel a pending call. One that was not sent yet is forgotten."""
        if self.pending_calls.pop(call_id, None) is None or self._unsent_lines.pop(call_id, None) is not None:
            return
        if self.is_open:
            self.transport.write(encode_line({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": call_id}}))

    def accepts_calls(self) -> bool:
        """Return whether one more call may be pending.

        Calls that are cancelled before they have left the transport's buffer are still in it, so that only a connection
        whose buffer is not full takes further ones.
        """
        return not self.is_blocked and len(self.pending_calls) < MAX_PENDING_CALLS

    def pauseProducing(self) -> None:  # noqa: N802
        """Record that the transport's buffer is full (Twisted)."""
        self.is_blocked = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Record that the transport's buffer has been sent (Twisted)."""
        self.is_blocked = False

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: `connectionLost` handles the loss of the connection (Twisted)."""

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's names
        """Send the calls that were made while the connection was being dialled."""
        if self.closed:
            self.transport.abortConnection()
            return
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        unsent = self._unsent_lines
        self._unsent_lines = {}
        self.transport.writeSequence(list(unsent.values()))

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Complete the call that a response belongs to."""
        try:
            response = RESPONSE_DECODER.decode(line)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            self._abort("a response that can't be decoded")
            return
        completed = self.pending_calls.pop(response.id, None)
        if completed is None:  # a response that crossed a cancellation, or a duplicate
            self.remotes.count("gather_strays")
        elif response.error is not None:
            rejected = response.error.code == REJECTED_CODE
            completed(None, "refused" if rejected else "failed", response.error.backoff, True)
        else:
            self._complete(response.result, completed)

    def _complete(self, result: Result | None, completed: Completion) -> None:
        if result is None or not are_complete_rows(result.body, self.remotes.max_result_bytes):
            completed(None, "failed", 0, True)
            self._abort("a result without complete rows")
        elif result.gather is not None and not result.gather.whole:
            # The other gateway gathered the request itself, and some of its sites are missing.
            self.remotes.count("gather_partial_parts")
            completed(None, "failed", 0, False)
        else:
            completed(result.body, "failed", 0, False)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Abort a connection that sends a line that is too long."""
        self._abort(f"a line of more than {MAX_LINE_BYTES} bytes")

    def _abort(self, what: str) -> None:
        self.remotes.count("gather_spoilt")
        log.warning("gather: gateway %s:%d sent %s", *self.address, what)
        self.transport.abortConnection()

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Fail the pending calls."""
        self.connection_closed()

    def connection_closed(self) -> None:
        """Fail pending calls of a connection that is lost or was never made.

        They may be retried at another coordinator, as gathered requests are idempotent.
        """
        self.closed = True
        self.is_open = False
        self.remotes.forget(self)
        self._unsent_lines.clear()
        pending = self.pending_calls
        self.pending_calls = {}
        for completed in pending.values():
            completed(None, "cut", 0, True)


class RemoteCall:
    """A pending call."""

    __slots__ = ("_connection", "_call_id")

    def __init__(self, connection: Connection, call_id: int):
        self._connection = connection
        self._call_id = call_id

    def cancel(self) -> None:
        """Cancel the call, as its result is no longer needed."""
        self._connection.cancel(self._call_id)


class RemoteGateways:
    """Connections to the coordinators of other installations.

    `count(name)` adds one to a counter. `dial_timeout` is in microseconds; `max_result_bytes` limits each result.
    """

    def __init__(self, reactor: Any, dial_timeout: int, max_result_bytes: int, count: Callable[[str], None]):
        self._reactor = reactor
        self._dial_timeout_s = dial_timeout / SECOND
        self.max_result_bytes = max_result_bytes
        self.count = count
        self._connections: dict[Address, Connection] = {}

    def call(
        self, address: Address, query: Query, request_id: str, budget: int, completed: Completion
    ) -> RemoteCall | None:
        """Send a subrequest to one coordinator, with a time budget in microseconds.

        Returns None if it has `MAX_PENDING_CALLS` pending, or does not read; `completed` is not called then.
        """
        connection = self._connections.get(address)
        if connection is None:
            connection = self._connections[address] = Connection(self, address)
            factory = SingleConnectionFactory(connection, connection.connection_closed)
            self._reactor.connectTCP(*address, factory, timeout=self._dial_timeout_s)
        if not connection.accepts_calls():
            return None
        params: dict[str, Any] = {"rid": request_id, "budget": max(budget // MS, 1), "body": query.statement}
        if query.tenant:
            params["acct"] = query.tenant
        if query.estimate:
            params["est"] = query.estimate / MS
        if query.memory_mb:
            params["ram"] = query.memory_mb
        return RemoteCall(connection, connection.call(params, query.cls, completed))

    def forget(self, connection: Connection) -> None:
        """Remove a closed connection; the next call dials a new one."""
        if self._connections.get(connection.address) is connection:
            del self._connections[connection.address]

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._connections.values()):
            if connection.is_open:
                connection.transport.loseConnection()
