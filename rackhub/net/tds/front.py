"""The front for TDS clients: logins of the operator's file, SQL batches and calls of `rackhub_query`.

A batch runs with the settings of its login. A call of `rackhub_query` takes these parameters, by name:

    @statement  the statement; required          @budget_ms  how long the client waits; default: the login's,
    @class      default: the login's                         then the class's deadline
    @tenant     one of the login's; default:     @key        idempotency key, required in classes that use one
                its first                        @est_ms, @ram_mb   estimated execution time and memory

A result set has three text columns. Errors have the numbers below. A backoff is part of the error text, as
'retry after N ms'. Attention stops the running request, also while its rows are being written.
"""

import enum
import logging
import random
from collections.abc import Callable, Sequence
from typing import Any

from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Query
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.client import Client
from rackhub.net.front import ClientTimeouts, Front
from rackhub.net.request_validation import InvalidRequestError, build_query
from rackhub.net.tds import codec
from rackhub.net.tds.stream import TdsStream
from rackhub.operatorfile import TdsFrontSettings, TdsLogin
from rackhub.version import VERSION

log = logging.getLogger(__name__)

# Error numbers.
LOGIN_FAILED = 18456  # SQL Server's number, which drivers recognise
REJECTED = 50001
FAILED = 50002
DEADLINE = 50003
BAD_REQUEST = 50004
UNSUPPORTED = 50005

# States of DEADLINE.
HARMLESS = 1  # a retry is harmless
UNKNOWN = 2  # the request may have been executed
ERROR_STATE = 1  # of all other errors
ERROR_SEVERITY = 16
LOGIN_SEVERITY = 14

# Types of ENVCHANGE.
ENV_DATABASE = 1
ENV_PACKET_SIZE = 4
ENV_COLLATION = codec.encode_token(codec.ENVCHANGE, b"\x07\x05" + codec.COLLATION + b"\0")
RETURN_STATUS_ZERO = bytes([codec.RETURNSTATUS, 0, 0, 0, 0])

SERVER_NAME = "rackhub"
WELCOME_INFO = 5701
COLUMNS = ("c1", "c2", "c3")
PROCEDURE = "rackhub_query"
TEXT_PARAMETERS = ("@statement", "@class", "@tenant", "@key")
NUMBER_PARAMETERS = ("@budget_ms", "@est_ms", "@ram_mb")
MAX_NAME_CHARACTERS = 100  # of a client's name quoted in an error


def rows_of(pages: Sequence[bytes]) -> list[list[list[str]]]:
    """The rows of each page; raises `ValueError` unless all have three columns."""
    result = []
    for page in pages:
        lines = page.decode("utf-8").split("\n")
        if lines.pop() != "":
            raise ValueError("a page ends inside a row")
        rows = [line.split("\t") for line in lines]
        if any(len(row) != len(COLUMNS) for row in rows):
            raise ValueError("a row has not three columns")
        result.append(rows)
    return result


class ClientConnectionState(enum.Enum):
    """States of a client's connection."""

    PRELOGIN = enum.auto()
    LOGIN = enum.auto()
    READY = enum.auto()
    BUSY = enum.auto()  # a request is running
    ROWS = enum.auto()  # its result is being written
    CLOSED = enum.auto()


State = ClientConnectionState


class TdsConnection(Client, TdsStream):
    """One client's connection. While `ending` it accepts no new request, and it closes once it is READY."""

    def __init__(self, front: Front, settings: TdsFrontSettings, ids: Callable[[], str]):
        super().__init__(front)
        self.settings = settings
        self.state = State.PRELOGIN
        self.login: TdsLogin | None = None
        self._ids = ids
        self._packet_bytes = codec.DEFAULT_PACKET_BYTES
        self._assembler = codec.MessageAssembler(front.limits.max_tds_message_bytes)
        self._query: Query | None = None
        self._packetizer = self._new_packetizer()
        self._pages: list[list[list[str]]] = []
        self._sent_rows = 0
        self._done = codec.DONE  # the DONE token that ends the current response
        self._reset = False  # whether the response must acknowledge a connection reset

    def _new_packetizer(self) -> codec.Packetizer:
        return codec.Packetizer(codec.REPLY, self._packet_bytes)

    # ---- the connection

    def made(self) -> None:
        """Register the new connection with the front."""
        self.counters.add("tds_connections")
        self.front.connected(self)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Twisted: the connection is lost. Cancels the running request."""
        self.state = State.CLOSED
        self._pages = []
        self.front.lost(self)
        self._cancel_request()

    def _cancel_request(self) -> None:
        query = self._query
        self._query = None
        if query is not None:
            self.core.disconnect_client(query)

    def should_stop_reading(self) -> bool:
        """Whether it is not to be read from now: also while rows are written Attention and the end have to show."""
        return not self.ending and self.is_paused_for_faults()

    def has_open_request(self) -> bool:
        """Whether a request is running or its result is being written."""
        return self.state in (State.BUSY, State.ROWS)

    def end_with_error(self, why: str) -> None:
        """Abort a connection whose client exceeded a time limit."""
        self.state = State.CLOSED
        self.abort()  # an error can't be sent inside a message

    def malformed(self) -> None:
        """Count malformed data."""
        self.counters.add("tds_bad")

    def end(self) -> None:
        """Accept no new request; close once the running one has been answered."""
        self.ending = True
        if self.state in (State.PRELOGIN, State.LOGIN, State.READY):
            self._close()

    def _is_closed(self) -> bool:
        return self.state == State.CLOSED

    def _close(self) -> None:
        self.state = State.CLOSED
        self.transport.loseConnection()

    # ---- messages in

    def taken(self, data: bytes) -> None:
        """Process received bytes; raises `TdsProtocolError`."""
        if self._is_closed():
            return
        complete = False
        for kind, status, body in self._assembler.feed(data):
            if self._is_closed():
                return
            complete = True
            if kind == codec.ATTENTION:
                self._attention()
            elif not status & codec.IGNORE:  # IGNORE: the client cancelled its own request, and Attention follows
                self._message(kind, status, body)
        self.record_read(len(data))
        # until the login is done the time limit runs from the connection's start
        self.record_received(complete and self.login is not None, self._assembler.begun)

    def _message(self, kind: int, status: int, body: bytes) -> None:
        if self.state == State.PRELOGIN:
            self._prelogin(kind, body)
        elif self.state == State.LOGIN:
            self._login(kind, body)
        elif self.state == State.READY:
            self._request(kind, body, bool(status & codec.RESET))
        else:
            raise codec.TdsProtocolError("a request while another one runs")

    def _prelogin(self, kind: int, body: bytes) -> None:
        if kind != codec.PRELOGIN:
            raise codec.TdsProtocolError("no PRELOGIN")
        codec.parse_prelogin(body)
        self.state = State.LOGIN
        self.write(codec.encode_message(codec.REPLY, codec.encode_prelogin()))

    def _login(self, kind: int, body: bytes) -> None:
        if kind != codec.LOGIN7:  # also a client that insists on encryption
            raise codec.TdsProtocolError("no LOGIN7")
        requested = codec.parse_login7(body)
        login = self._authenticate(requested)
        if login is None:
            self.counters.add("tds_bad_logins")
            user = requested.user[:MAX_NAME_CHARACTERS]
            self._send_error(LOGIN_FAILED, ERROR_STATE, LOGIN_SEVERITY, f"Login failed for user '{user}'.")
            self._close()
            return
        self.counters.add("tds_logins")
        self.login = login
        self.state = State.READY
        if codec.MIN_PACKET_BYTES <= requested.packet_size <= codec.MAX_PACKET_BYTES:
            self._packet_bytes = requested.packet_size
        self._acknowledge_login(min(requested.version, codec.VERSION_74))

    def _authenticate(self, requested: codec.Login) -> TdsLogin | None:
        login = None if requested.integrated else self.settings.authenticate(requested.user, requested.password)
        if requested.database not in ("", self.settings.database) or requested.version < codec.VERSION_72:
            return None
        return login

    def _acknowledge_login(self, version: int) -> None:
        tokens = (
            codec.encode_env_change(ENV_DATABASE, self.settings.database, ""),
            ENV_COLLATION,
            codec.encode_login_ack(version, SERVER_NAME),
            codec.encode_env_change(ENV_PACKET_SIZE, str(self._packet_bytes), str(codec.DEFAULT_PACKET_BYTES)),
            codec.encode_notice(codec.INFO, WELCOME_INFO, 2, 0, f"rackhub {VERSION}", SERVER_NAME),
            codec.encode_done(0),
        )
        self.write(codec.encode_message(codec.REPLY, b"".join(tokens)))

    def _request(self, kind: int, body: bytes, reset: bool) -> None:
        self.counters.add("tds_requests")
        self._reset = reset
        self._done = codec.DONEPROC if kind == codec.RPC else codec.DONE
        if self.ending:
            self._close()
            return
        try:
            self._submit(self._parameters(kind, body))
        except codec.UnsupportedTdsError as error:
            self.counters.add("tds_unsupported")
            self._send_error(UNSUPPORTED, ERROR_STATE, ERROR_SEVERITY, f"not supported: {error}")
            self.record_fault()
        except InvalidRequestError as error:
            self.counters.add("bad_params")
            self._send_error(BAD_REQUEST, ERROR_STATE, ERROR_SEVERITY, str(error))
            self.record_fault()

    def _parameters(self, kind: int, body: bytes) -> dict[str, Any]:
        if kind == codec.SQL_BATCH:
            return {"@statement": codec.parse_sql_batch(body)}
        if kind == codec.RPC:
            return self._arguments(codec.parse_rpc(body))
        raise codec.UnsupportedTdsError("requests of this type")

    def _arguments(self, call: codec.RpcCall) -> dict[str, Any]:
        if call.name.lower().removeprefix("dbo.") != PROCEDURE:
            raise codec.UnsupportedTdsError(f"the procedure {call.name[:MAX_NAME_CHARACTERS]}")
        for name, value in call.arguments.items():
            if name in TEXT_PARAMETERS:
                valid = isinstance(value, str)
            elif name in NUMBER_PARAMETERS:
                valid = isinstance(value, int | float)
            else:
                raise InvalidRequestError(
                    f"the parameter {name[:MAX_NAME_CHARACTERS] or 'without a name'} is not known"
                )
            if value is not None and not valid:
                raise InvalidRequestError(f"the parameter {name} is of another type")
        return {name: value for name, value in call.arguments.items() if value is not None}

    def _submit(self, given: dict[str, Any]) -> None:
        login = self.login
        assert login is not None  # READY is reached by a login only
        cls = given.get("@class", login.cls)
        tenant = given.get("@tenant", login.tenants[0] if login.tenants else "")
        if not given.get("@statement", "").strip():
            raise InvalidRequestError("the parameter @statement is missing")
        if cls not in self.core.classes:
            raise InvalidRequestError(f"the class {cls[:MAX_NAME_CHARACTERS]!r} is not known")
        if tenant and tenant not in login.tenants:
            raise InvalidRequestError("the tenant is not one of this login's")
        budget = given.get("@budget_ms", login.budget_ms or self.core.classes[cls].deadline / 1_000)
        query = build_query(
            self.core,
            self,
            id=self._ids(),
            cls=cls,
            statement=given["@statement"].encode("utf-8", "surrogatepass"),
            budget_ms=budget,
            tenant=tenant,
            idempotency_key=given.get("@key", ""),
            est_ms=given.get("@est_ms", 0),
            ram_mb=given.get("@ram_mb", 0),
        )
        self.state = State.BUSY
        self._query = query
        self.core.submit(query)

    def _attention(self) -> None:
        """Stop the running request or its result; after the acknowledgement the connection is READY."""
        self.counters.add("tds_attentions")
        if self.state in (State.PRELOGIN, State.LOGIN):
            raise codec.TdsProtocolError("Attention before a login")
        self._cancel_request()
        ack = codec.encode_done(codec.DONE_ATTN)
        if self.state == State.ROWS:  # the result ends here, incomplete, and its DONE token says so
            self._pages = []
            self.transport.unregisterProducer()
            self._finish((ack,))
        else:
            self._answer((ack,))

    # ---- answers out

    def served(self, query: Query, rows: Sequence[bytes]) -> None:
        """Start to write the result of a request."""
        if query is not self._query:
            return
        self._query = None
        try:
            self._pages = rows_of(rows)
        except ValueError as error:  # a malformed result must not look complete
            log.warning("tds: an engine's answer is no rows: %s", error)
            text = "failed: the engine's answer is not rows of three columns"
            self._send_error(FAILED, ERROR_STATE, ERROR_SEVERITY, text)
            return
        self.state = State.ROWS
        self._sent_rows = 0
        self._packetizer = self._new_packetizer()
        self.write(self._packetizer.add((self._reset_acknowledgement(), codec.encode_columns(COLUMNS))))
        self.transport.registerProducer(self, False)  # one page at a time, as the client reads

    def resumeProducing(self) -> None:  # noqa: N802
        """Twisted: the transport's buffer is empty. Writes the next page, or the end of the result."""
        self.write_blocked_since = 0
        if self.state != State.ROWS:
            return
        while self._pages:  # a page may fill no packet, and the transport asks again only after a write
            page = self._pages.pop(0)
            self._sent_rows += len(page)
            if packets := self._packetizer.add(codec.encode_row(row) for row in page):
                self.write_blocked_since = self.core.clock.now()  # until the transport asks for more
                self.write(packets)
                return
        self.transport.unregisterProducer()
        self._finish((self._status(), codec.encode_done(codec.DONE_COUNT, self._sent_rows, self._done)))

    def stopProducing(self) -> None:  # noqa: N802
        """Twisted: the connection is lost."""
        self._pages = []

    def rejected(self, query: Query, backoff: int) -> None:
        """A retry is harmless, and makes sense after `backoff` microseconds."""
        if query is not self._query:
            return
        retry = f"trying again is harmless, retry after {-(-backoff // 1_000)} ms"
        if self.core.is_near_deadline(query):
            self._send_error(DEADLINE, HARMLESS, ERROR_SEVERITY, f"deadline passed: {retry}")
        else:
            self._send_error(REJECTED, HARMLESS, ERROR_SEVERITY, f"refused: {retry}")

    def failed(self, query: Query, why: str) -> None:
        """The request failed, and may have been executed."""
        if query is not self._query:
            return
        if self.core.is_near_deadline(query):
            self._send_error(DEADLINE, UNKNOWN, ERROR_SEVERITY, "deadline passed: its effect is not known")
        else:
            self._send_error(FAILED, ERROR_STATE, ERROR_SEVERITY, why)

    def _send_error(self, number: int, state: int, severity: int, text: str) -> None:
        self._answer(
            (
                codec.encode_notice(codec.ERROR, number, state, severity, text, SERVER_NAME),
                self._status(),
                codec.encode_done(codec.DONE_ERROR, 0, self._done),
            )
        )

    def _status(self) -> bytes:
        return RETURN_STATUS_ZERO if self._done == codec.DONEPROC else b""

    def _reset_acknowledgement(self) -> bytes:
        reset = self._reset
        self._reset = False
        return codec.RESET_DONE if reset else b""

    def _answer(self, pieces: Sequence[bytes]) -> None:
        self._query = None
        self._packetizer = self._new_packetizer()
        self._finish((self._reset_acknowledgement(), *pieces))

    def _finish(self, pieces: Sequence[bytes]) -> None:
        self.write(self._packetizer.end(pieces))
        self.write_blocked_since = 0
        self.last_used = self.core.clock.now()
        self._done = codec.DONE
        if self.state in (State.BUSY, State.ROWS):
            self.state = State.READY
        if self.ending and self.state == State.READY:
            self._close()


def random_ids() -> Callable[[], str]:
    """Request ids for clients whose protocol has none."""
    source = random.SystemRandom()
    return lambda: f"{source.getrandbits(64):016x}"


def tds_front(
    settings: TdsFrontSettings,
    core: Coordinator,
    limits: Limits,
    counters: Counters,
    ids: Callable[[], str] | None = None,
) -> Front:
    """The front for TDS clients; `ids` generates request ids."""
    ids = ids or random_ids()
    return Front(
        lambda front: TdsConnection(front, settings, ids),
        core,
        limits,
        counters,
        limits.max_tds_connections,
        ClientTimeouts(
            limits.tds_login_timeout, limits.tds_message_timeout, limits.tds_idle_timeout, limits.tds_write_timeout
        ),
    )
