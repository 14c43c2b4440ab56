"""The front for TDS clients: logins from the operator's file, SQL batches and calls of `rackhub_query`.

A batch runs with the class, the tenant and the time budget of its login. A call of `rackhub_query` takes these
parameters, by name:

    @statement        the statement; required
    @class            the request's class; default: the login's
    @tenant           one of the login's tenants; default: the first
    @budget_ms        how long the client waits, in ms; default: the login's budget, then the deadline of the class
    @key              the idempotency key; required in classes that use one
    @est_ms, @ram_mb  the estimated execution time in ms and memory in MB

A result set has three text columns. Errors have the numbers below. The text of a rejection ('refused: ...') contains
the backoff as 'retry after N ms'. Attention stops the running request, also while its rows are being written.
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
from rackhub.net.input_scheduler import InputScheduler, message_steps
from rackhub.net.request_validation import InvalidRequestError, build_query
from rackhub.net.tds import codec
from rackhub.net.tds.login_verifier import LoginVerifier
from rackhub.net.tds.stream import TdsStream
from rackhub.operatorfile import TdsFrontSettings, TdsLogin
from rackhub.version import VERSION

log = logging.getLogger(__name__)

# Error numbers.
LOGIN_FAILED = 18456  # the number that SQL Server uses, as drivers recognise it
REJECTED = 50001  # a retry is safe
FAILED = 50002  # the request may have been executed, or its result is malformed
DEADLINE = 50003  # the time budget was used up; the error state says whether a retry is safe
BAD_REQUEST = 50004  # a parameter is missing or invalid
UNSUPPORTED = 50005  # valid TDS, but neither a batch nor a call of the supported procedure

# Error states of REJECTED and DEADLINE.
SAFE_TO_RETRY = 1
POSSIBLY_EXECUTED = 2
DEFAULT_ERROR_STATE = 1  # all other errors have this state, which carries no information
ERROR_SEVERITY = 16
LOGIN_SEVERITY = 14

LOGIN_RETRY_MS = 500

# Types of ENVCHANGE.
ENV_DATABASE = 1
ENV_PACKET_SIZE = 4

# Encoded tokens.
COLLATION_TOKEN = codec.encode_token(codec.ENVCHANGE, b"\x07\x05" + codec.COLLATION + b"\0")
RETURN_STATUS_ZERO = bytes([codec.RETURNSTATUS, 0, 0, 0, 0])

SERVER_NAME = "rackhub"
DATABASE_INFO = 5701  # the number with which SQL Server reports the database after a login
COLUMN_NAMES = ("c1", "c2", "c3")
PROCEDURE = "rackhub_query"
TEXT_PARAMETERS = ("@statement", "@class", "@tenant", "@key")
NUMBER_PARAMETERS = ("@budget_ms", "@est_ms", "@ram_mb")
MAX_QUOTED_NAME_CHARACTERS = 100  # longer names that a client has sent are truncated in error texts


def parse_pages(pages: Sequence[bytes]) -> list[list[list[str]]]:
    """Parse the pages of a result into rows; raises `ValueError` unless all rows have three columns.

    A page is UTF-8 text with one row per line and tabs between the columns.
    """
    result = []
    for page in pages:
        lines = page.decode("utf-8").split("\n")
        if lines.pop() != "":
            raise ValueError("page ends inside a row")
        rows = [line.split("\t") for line in lines]
        if any(len(row) != len(COLUMN_NAMES) for row in rows):
            raise ValueError(f"page contains a row that does not have {len(COLUMN_NAMES)} columns")
        result.append(rows)
    return result


class ClientConnectionState(enum.Enum):
    """State of a client's connection."""

    PRELOGIN = enum.auto()
    LOGIN = enum.auto()
    VERIFYING = enum.auto()  # the password of the login is being verified
    READY = enum.auto()
    BUSY = enum.auto()  # a request is running
    ROWS = enum.auto()  # the result of a request is being written
    CLOSED = enum.auto()


State = ClientConnectionState


class TdsConnection(Client, TdsStream):
    """One client's connection. While `ending` is true it accepts no new request and closes as soon as it is READY."""

    def __init__(
        self, front: Front, settings: TdsFrontSettings, generate_id: Callable[[], str], verifier: LoginVerifier
    ):
        super().__init__(front)
        self.settings = settings
        self._verifier = verifier
        self.state = State.PRELOGIN
        self.login: TdsLogin | None = None
        self._generate_id = generate_id
        self._packet_bytes = codec.DEFAULT_PACKET_BYTES
        self._assembler = codec.MessageAssembler(front.limits.max_tds_message_bytes)
        self._query: Query | None = None
        self._packetizer = self._new_packetizer()
        self._unsent_pages: list[list[list[str]]] = []
        self._sent_rows = 0
        self._done_token_type = codec.DONE  # the DONE token that ends the current response
        self._reset_pending = False  # the next response has to acknowledge a connection reset
        self._attention_expected = False  # a request has been received since the last Attention
        self._message_completed = False  # a message, not only a packet, has been handled since the last record

    def _new_packetizer(self) -> codec.Packetizer:
        return codec.Packetizer(codec.REPLY, self._packet_bytes)

    # ---- connection

    def connection_made(self) -> None:
        """Register the new connection with the front."""
        self.counters.add("tds_connections")
        self.front.connected(self)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Cancel the running request as the connection is lost (Twisted)."""
        self.state = State.CLOSED
        self.input_pending = False
        self._unsent_pages = []
        self.front.lost(self)
        self._cancel_request()

    def _cancel_request(self) -> None:
        query = self._query
        self._query = None
        if query is not None:
            self.core.disconnect_client(query)

    def is_blocked(self) -> bool:
        """Whether no more messages may be handled: for a time after invalid ones, and while a login is verified.

        Unlike in other protocols reading goes on while rows are written, to detect Attention and disconnects.
        """
        return not self.ending and (self.is_paused_for_faults() or self.state == State.VERIFYING)

    def update_reading(self) -> None:
        """Pause or resume reading, unless the connection is closed and the rest of its output is being sent."""
        if not self._is_closed():
            super().update_reading()

    def has_open_request(self) -> bool:
        """Whether a request is running or its result is being written."""
        return self.state in (State.BUSY, State.ROWS)

    def end_with_error(self, why: str) -> None:
        """Abort the connection of a client that has exceeded a time limit.

        `why` is not sent: TDS allows no response before the client's message is complete.
        """
        self.state = State.CLOSED
        self.abort()

    def malformed_data_received(self) -> None:
        """Count malformed data."""
        self.counters.add("tds_bad")

    def end(self) -> None:
        """Accept no new request; close once the running request has been answered."""
        self.ending = True
        if self.state in (State.PRELOGIN, State.LOGIN, State.VERIFYING, State.READY):
            self._close()

    def _is_closed(self) -> bool:
        return self.state == State.CLOSED

    def _close(self) -> None:
        self.state = State.CLOSED
        self.transport.loseConnection()

    # ---- received messages

    def data_received(self, data: bytes) -> None:
        """Have the complete messages handled."""
        if not self._is_closed():
            self._assembler.append(data)
            self.bytes_received(len(data))

    def handle_next_message(self) -> int:
        """Handle the next packet and the message that it completes; return their steps, or 0 if there is none."""
        try:
            return self._handle_next_packet()
        except codec.TdsProtocolError as error:
            self.malformed(error)
            self._assembler.discard()
            return 0

    def _handle_next_packet(self) -> int:
        if self._is_closed():
            self._assembler.discard()
            return 0
        packet = self._assembler.take_packet()
        if packet is None:
            return 0
        message = self._assembler.add_packet(packet)
        if message is None:
            return message_steps(packet.size)
        self._handle_message(message)
        return message_steps(len(message.body))

    def _handle_message(self, message: codec.Message) -> None:
        self._message_completed = True
        if message.kind == codec.ATTENTION:
            self._process_attention()
        elif message.status & codec.IGNORE:  # cancelled by its client, Attention follows
            self._attention_expected = True
        else:
            self._process_message(*message)
        self._limit_unsent_responses()

    def has_complete_message(self) -> bool:
        """Whether a complete packet waits."""
        return not self._is_closed() and self._assembler.has_packet()

    def has_partial_message(self) -> bool:
        """Whether part of a message has been received, when no complete packet waits."""
        return self._assembler.has_partial_message

    def record_received(self, complete: bool, begun: bool) -> None:
        """Record received bytes; until the login is complete the time limit runs from the start of the connection."""
        complete = self._message_completed
        self._message_completed = False
        super().record_received(complete and self.login is not None, begun)

    def _limit_unsent_responses(self) -> None:
        """Reset a client that sends messages without reading the responses, which TDS has it read before the next."""
        if self.state != State.ROWS and self.unsent_bytes() > self.front.limits.max_unsent_response_bytes:
            self.counters.add("clients_unread")
            log.debug("tds: client reset, as it does not read its responses")
            self.state = State.CLOSED
            self.abort()

    def discard_buffers(self) -> None:
        """Free what an aborted connection keeps."""
        super().discard_buffers()
        self._assembler.discard()

    def buffered_bytes(self) -> int:
        """Return the number of bytes of incomplete or held messages and of unsent output."""
        return self._assembler.buffered_bytes() + self.unsent_bytes()

    def _process_message(self, kind: int, status: int, body: bytes) -> None:
        if self.state == State.PRELOGIN:
            self._process_prelogin(kind, body)
        elif self.state == State.LOGIN:
            self._process_login(kind, body)
        elif self.state == State.READY:
            self._process_request(kind, body, bool(status & codec.RESET))
        else:
            raise codec.TdsProtocolError("request received while another one is running")

    def _process_prelogin(self, kind: int, body: bytes) -> None:
        if kind != codec.PRELOGIN:
            raise codec.TdsProtocolError(f"packet type {kind} before the login: must be {codec.PRELOGIN} (PRELOGIN)")
        codec.parse_prelogin(body)
        self.state = State.LOGIN
        self.write(codec.encode_message(codec.REPLY, codec.encode_prelogin()))

    def _process_login(self, kind: int, body: bytes) -> None:
        if kind != codec.LOGIN7:  # a client that requires encryption starts a TLS handshake here
            raise codec.TdsProtocolError(f"packet type {kind} after PRELOGIN: must be {codec.LOGIN7} (LOGIN7)")
        requested = codec.parse_login7(body)
        self.state = State.VERIFYING
        if requested.integrated_security:
            self._verified(requested, None)
            return
        if not self._verifier.verify(
            requested.user, requested.password, lambda login: self._verified(requested, login)
        ):
            self.counters.add("tds_logins_refused")
            text = f"refused: too many logins at once, a retry is safe, retry after {LOGIN_RETRY_MS} ms"
            self._send_error(REJECTED, SAFE_TO_RETRY, LOGIN_SEVERITY, text)
            self._close()

    def _verified(self, requested: codec.Login, login: TdsLogin | None) -> None:
        """Complete a login whose password has been verified; `login` is None if there is none with this password."""
        if self.state != State.VERIFYING:  # the connection has ended meanwhile
            return
        if login is None or not self._is_acceptable(requested):
            self.counters.add("tds_bad_logins")
            user = requested.user[:MAX_QUOTED_NAME_CHARACTERS]
            self._send_error(LOGIN_FAILED, DEFAULT_ERROR_STATE, LOGIN_SEVERITY, f"Login failed for user '{user}'.")
            self._close()
            return
        self.counters.add("tds_logins")
        self.login = login
        self.has_sent_message = True
        self.state = State.READY
        if codec.MIN_PACKET_BYTES <= requested.packet_size <= codec.MAX_PACKET_BYTES:
            self._packet_bytes = requested.packet_size
        self._acknowledge_login(min(requested.version, codec.VERSION_74))
        self.last_used = self.core.clock.now()
        self.input_handled()

    def _is_acceptable(self, requested: codec.Login) -> bool:
        """Whether the database and the TDS version are accepted."""
        return requested.database in ("", self.settings.database) and requested.version >= codec.VERSION_72

    def _acknowledge_login(self, version: int) -> None:
        tokens = (
            codec.encode_env_change(ENV_DATABASE, self.settings.database, ""),
            COLLATION_TOKEN,
            codec.encode_login_ack(version, SERVER_NAME),
            codec.encode_env_change(ENV_PACKET_SIZE, str(self._packet_bytes), str(codec.DEFAULT_PACKET_BYTES)),
            codec.encode_notice(codec.INFO, DATABASE_INFO, 2, 0, f"rackhub {VERSION}", SERVER_NAME),
            codec.encode_done(0),
        )
        self.write(codec.encode_message(codec.REPLY, b"".join(tokens)))

    def _process_request(self, kind: int, body: bytes, reset: bool) -> None:
        self.counters.add("tds_requests")
        self._attention_expected = True
        self._reset_pending = reset
        self._done_token_type = codec.DONEPROC if kind == codec.RPC else codec.DONE
        if self.ending:
            self._close()
            return
        try:
            self._submit(self._parameters(kind, body))
        except codec.UnsupportedTdsError as error:
            self.counters.add("tds_unsupported")
            self._send_error(UNSUPPORTED, DEFAULT_ERROR_STATE, ERROR_SEVERITY, f"not supported: {error}")
            self.record_fault()
        except InvalidRequestError as error:
            self.counters.add("bad_params")
            self._send_error(BAD_REQUEST, DEFAULT_ERROR_STATE, ERROR_SEVERITY, str(error))
            self.record_fault()

    def _parameters(self, kind: int, body: bytes) -> dict[str, Any]:
        if kind == codec.SQL_BATCH:
            return {"@statement": codec.parse_sql_batch(body)}
        if kind == codec.RPC:
            return self._arguments(codec.parse_rpc(body))
        raise codec.UnsupportedTdsError(
            f"requests of packet type {kind}; use {codec.SQL_BATCH} (SQL batch) or {codec.RPC} (RPC)"
        )

    def _arguments(self, call: codec.RpcCall) -> dict[str, Any]:
        if call.name.lower().removeprefix("dbo.") != PROCEDURE:
            raise codec.UnsupportedTdsError(
                f"the procedure {call.name[:MAX_QUOTED_NAME_CHARACTERS]}; call {PROCEDURE} instead"
            )
        for name, value in call.arguments.items():
            if name in TEXT_PARAMETERS:
                valid = isinstance(value, str)
            elif name in NUMBER_PARAMETERS:
                valid = isinstance(value, int | float)
            else:
                raise InvalidRequestError(f"unknown parameter {name[:MAX_QUOTED_NAME_CHARACTERS] or '(no name)'}")
            if value is not None and not valid:
                raise InvalidRequestError(
                    f"the parameter {name} must be {'a text' if name in TEXT_PARAMETERS else 'a number'}"
                )
        return {name: value for name, value in call.arguments.items() if value is not None}

    def _submit(self, parameters: dict[str, Any]) -> None:
        login = self.login
        assert login is not None  # a connection becomes READY only after a login
        cls = parameters.get("@class", login.cls)
        tenant = parameters.get("@tenant", login.tenants[0] if login.tenants else "")
        if not parameters.get("@statement", "").strip():
            raise InvalidRequestError("the parameter @statement is missing or blank")
        if cls not in self.core.classes:
            raise InvalidRequestError(f"unknown class {cls[:MAX_QUOTED_NAME_CHARACTERS]!r}")
        if tenant and tenant not in login.tenants:
            raise InvalidRequestError("this login has no access to the tenant")
        budget = parameters.get("@budget_ms", login.budget_ms or self.core.classes[cls].deadline / 1_000)
        query = build_query(
            self.core,
            self,
            id=self._generate_id(),
            cls=cls,
            statement=parameters["@statement"].encode("utf-8", "surrogatepass"),
            budget_ms=budget,
            tenant=tenant,
            idempotency_key=parameters.get("@key", ""),
            est_ms=parameters.get("@est_ms", 0),
            ram_mb=parameters.get("@ram_mb", 0),
        )
        self.state = State.BUSY
        self._query = query
        self.core.submit(query)

    def _process_attention(self) -> None:
        """Stop the running request or its result, if there is one, and acknowledge the Attention.

        One that cancels no request counts as an invalid message, as it is answered too.
        """
        self.counters.add("tds_attentions")
        if self.state in (State.PRELOGIN, State.LOGIN):
            raise codec.TdsProtocolError("Attention received before the login")
        self._cancel_request()
        ack = codec.encode_done(codec.DONE_ATTN)
        if self.state == State.ROWS:  # the DONE token of the Attention marks the result as incomplete
            self._unsent_pages = []
            self.transport.unregisterProducer()
            self._end_response((ack,))
        else:
            self._send_response((ack,))
        if not self._attention_expected:
            self.record_fault()
        self._attention_expected = False

    # ---- responses

    def served(self, query: Query, rows: Sequence[bytes]) -> None:
        """Start to write the result of a request."""
        if query is not self._query:
            return
        self._query = None
        try:
            self._unsent_pages = parse_pages(rows)
        except ValueError as error:  # a malformed result must not look complete
            log.warning("tds: malformed result of request %s: %s", query.id, error)
            text = "failed: malformed result from the engine"
            self._send_error(FAILED, DEFAULT_ERROR_STATE, ERROR_SEVERITY, text)
            return
        self.state = State.ROWS
        self._sent_rows = 0
        self._packetizer = self._new_packetizer()
        self.write(self._packetizer.add((self._reset_acknowledgement(), codec.encode_columns(COLUMN_NAMES))))
        # As a pull producer: Twisted calls `resumeProducing` now, and then each time its buffer is empty.
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the next page, or the end of the result, as the transport's buffer is empty (Twisted)."""
        self.write_blocked_since = 0
        if self.state != State.ROWS:
            return
        while self._unsent_pages:  # add pages until a packet is full, as Twisted calls again only after a write
            page = self._unsent_pages.pop(0)
            self._sent_rows += len(page)
            if packets := self._packetizer.add(codec.encode_row(row) for row in page):
                # The client counts as not reading until Twisted calls again; `tds_write_timeout` limits that time.
                self.write_blocked_since = self.core.clock.now()
                self.write(packets)
                return
        self.transport.unregisterProducer()
        self._end_response(
            (self._return_status(), codec.encode_done(codec.DONE_COUNT, self._sent_rows, self._done_token_type))
        )

    def stopProducing(self) -> None:  # noqa: N802
        """Discard the unsent result as the connection is lost (Twisted)."""
        self._unsent_pages = []

    def rejected(self, query: Query, backoff: int) -> None:
        """Answer that the request can be retried safely, after `backoff` microseconds."""
        if query is not self._query:
            return
        retry = f"a retry is safe, retry after {-(-backoff // 1_000)} ms"
        if self.core.is_near_deadline(query):
            self._send_error(DEADLINE, SAFE_TO_RETRY, ERROR_SEVERITY, f"deadline passed: {retry}")
        else:
            self._send_error(REJECTED, SAFE_TO_RETRY, ERROR_SEVERITY, f"refused: {retry}")

    def failed(self, query: Query, why: str) -> None:
        """Answer that the request failed and may have been executed."""
        if query is not self._query:
            return
        if self.core.is_near_deadline(query):
            self._send_error(
                DEADLINE, POSSIBLY_EXECUTED, ERROR_SEVERITY, "deadline passed: the request may have been executed"
            )
        else:
            self._send_error(FAILED, DEFAULT_ERROR_STATE, ERROR_SEVERITY, why)

    def _send_error(self, number: int, state: int, severity: int, text: str) -> None:
        self._send_response(
            (
                codec.encode_notice(codec.ERROR, number, state, severity, text, SERVER_NAME),
                self._return_status(),
                codec.encode_done(codec.DONE_ERROR, 0, self._done_token_type),
            )
        )

    def _return_status(self) -> bytes:
        return RETURN_STATUS_ZERO if self._done_token_type == codec.DONEPROC else b""

    def _reset_acknowledgement(self) -> bytes:
        reset = self._reset_pending
        self._reset_pending = False
        return codec.RESET_ACKNOWLEDGEMENT if reset else b""

    def _send_response(self, pieces: Sequence[bytes]) -> None:
        self._query = None
        self._packetizer = self._new_packetizer()
        self._end_response((self._reset_acknowledgement(), *pieces))

    def _end_response(self, pieces: Sequence[bytes]) -> None:
        self.write(self._packetizer.finish(pieces))
        self.write_blocked_since = 0
        self.last_used = self.core.clock.now()
        self._done_token_type = codec.DONE
        if self.state in (State.BUSY, State.ROWS):
            self.state = State.READY
        if self.ending and self.state == State.READY:
            self._close()


def random_id_generator() -> Callable[[], str]:
    """Return a generator of random request ids, for clients whose protocol has none."""
    source = random.SystemRandom()
    return lambda: f"{source.getrandbits(64):016x}"


def tds_front(
    settings: TdsFrontSettings,
    core: Coordinator,
    limits: Limits,
    counters: Counters,
    generate_id: Callable[[], str] | None = None,
    scheduler: InputScheduler | None = None,
    verifier: LoginVerifier | None = None,
) -> Front:
    """Create the front for TDS clients.

    `generate_id` returns request ids, random ones by default. `scheduler` is shared with other fronts. `verifier`
    verifies the passwords of logins, by default on the calling thread.
    """
    make_id = generate_id or random_id_generator()
    login_verifier = verifier or LoginVerifier(settings)
    return Front(
        lambda front: TdsConnection(front, settings, make_id, login_verifier),
        core,
        limits,
        counters,
        limits.max_tds_connections,
        ClientTimeouts(
            limits.tds_login_timeout, limits.tds_message_timeout, limits.tds_idle_timeout, limits.tds_write_timeout
        ),
        scheduler,
    )
