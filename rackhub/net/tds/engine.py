"""Connections to engines over TDS, which implement `rackhub.net.pool.EngineLink`.

An attempt is a call of the procedure `rackhub_want` with the parameters @id, @class, @budget_ms, @level (the priority
of the request), @statement and, in classes with idempotency keys, @key. The response is a result set of three text
columns. During the call the engine may report progress in INFO tokens with the value as text: 51001 (fraction
completed, 0 to 1), 51002 (missing memory in MB) and 51003 (the attempt waits: 1 for memory, 2 for a table that a load
has locked). INFO 51010 carries the engine's load report, for example 'inflight:7;util:0.61'. ERROR 51503 means that
the engine is full, ERROR 51504 that the time budget was used up; in both cases the call was not executed. After any
other ERROR it may have been executed.

TDS can't change the priority of a running call. A cancelled attempt is interrupted by Attention.

A response does not say which call it answers, so a late copy of one would be taken for the response to the next call.
Therefore a connection carries one call: it is closed after the response, or after the acknowledgement of an Attention,
and the pool logs in to a new one in its place.
"""

import enum
import logging
from collections.abc import Iterable
from typing import Any

from twisted.internet.interfaces import IReactorTCP

from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Attempt, AttemptState, Query
from rackhub.core.timers import DEFER_UNCONDITIONALLY, Clock, Timer
from rackhub.counters import Counters
from rackhub.interface import Outcome
from rackhub.limits import Limits
from rackhub.net.outgoing import SocketWriter
from rackhub.net.pool import EngineDialer, EnginePool, EnginePools
from rackhub.net.resp_protocol import parse_load_report
from rackhub.net.tds import codec
from rackhub.net.tds.response import ResponseState
from rackhub.net.tds.stream import TdsStream
from rackhub.net.tds.token_reader import TokenReader
from rackhub.operatorfile import TdsEngineSettings

log = logging.getLogger(__name__)
PROGRESS_TOPICS = {51001: 1, 51002: 2, 51003: 3}  # INFO number -> value of `interface.ProgressTopic`
MAX_PROGRESS_VALUE = 1e12  # exclusive limit for the values of all topics
LOAD_REPORT_INFO = 51010
# Outcomes of the ERROR numbers that mean that the call was not executed.
OUTCOME_BY_ERROR = {51503: Outcome.OVERLOADED, 51504: Outcome.NOT_EXECUTED}
PROCEDURE = "rackhub_want"
RESULT_COLUMNS = 3
ENCRYPTION_OPTION = 1  # option number in PRELOGIN
ACCEPTED_ENCRYPTION = (b"\x00", b"\x02")  # ENCRYPT_OFF, ENCRYPT_NOT_SUP


class EngineConnectionState(enum.Enum):
    """State of a connection to an engine."""

    DIALLING = enum.auto()
    PRELOGIN = enum.auto()
    LOGIN = enum.auto()
    READY = enum.auto()
    BUSY = enum.auto()  # a call was sent and its response is not complete
    CANCELLING = enum.auto()  # Attention was sent and is not acknowledged yet
    CLOSED = enum.auto()


State = EngineConnectionState
# States in which an attempt can be enqueued; it is sent in READY.
ACCEPTING_STATES = frozenset((State.DIALLING, State.PRELOGIN, State.LOGIN, State.READY))
RESPONSE_STATES = frozenset((State.LOGIN, State.BUSY, State.CANCELLING))


class TdsEngineConnection(TdsStream):
    """One connection to an engine, for one call. Before that, `_attempt` may hold an attempt that is not sent yet."""

    _out: SocketWriter  # set by `connection_made`

    def __init__(
        self,
        pool: EnginePool,
        settings: TdsEngineSettings,
        clock: Clock,
        limits: Limits,
        counters: Counters,
        core: Coordinator,
    ):
        self.pool = pool
        self.settings = settings
        self.clock = clock
        self.limits = limits
        self.counters = counters
        self.core = core
        self.state = State.DIALLING
        self.closed = False
        self.last_used = clock.now()
        self._used_up = False  # the connection has carried a call, and is closed after it
        self.retired = False  # the pool sends no more attempts to this engine or to this address of it
        # Offsets of the first byte of the call and of the byte after it, counted from the start of the connection.
        self._call_start = 0
        self._call_end = 0
        self._connected_at = 0
        self._write_requested_at = 0
        self._retired_at = 0
        self._attempt: Attempt | None = None
        self._attention_timer: Timer | None = None  # runs until the acknowledgement of an Attention
        self._assembler = codec.MessageAssembler(limits.max_tds_message_bytes)
        self._tokens = TokenReader(limits.max_tds_token_bytes)
        self._reset_response()

    def _mark_closed(self) -> None:
        self._cancel_attention_timer()
        self.state = State.CLOSED
        self.closed = True

    def _use_up(self) -> None:
        """Close the connection after its call. A reset leaves no port in TIME_WAIT, of which each call takes one."""
        self._used_up = True
        self._abort()

    def _reset_response(self) -> None:
        self._tokens.close()
        self._tokens = TokenReader(self.limits.max_tds_token_bytes)
        self._rows: list[str] = []
        self._result_length = 0
        self._response = ResponseState()
        self._load_report: dict[str, float] = {}

    # ---- interface to the pool

    def accepts(self, attempt: Attempt) -> bool:
        """Whether the connection can accept an attempt: it has had none yet."""
        return self._attempt is None and self.state in ACCEPTING_STATES

    def enqueue(self, attempt: Attempt) -> None:
        """Accept an attempt; it is sent once the login is complete and the socket is writable."""
        attempt.connection = self
        self._attempt = attempt
        attempt.state = AttemptState.QUEUED
        if self.state == State.READY:
            self._request_write()

    def _request_write(self) -> None:
        self._write_requested_at = self.clock.now()
        self._out.request_write()

    def give_up(self, attempt: Attempt) -> None:
        """Cancel an attempt if it is on this connection. The caller completes the attempt."""
        if attempt is not self._attempt:
            return
        self._attempt = None
        if self.state != State.BUSY:  # the attempt was not sent yet
            return
        if not self._out.has_sent(self._call_end):
            # The transport has buffered a part of the call. It would still be sent, and the engine execute the call.
            self._abort()
            return
        self.state = State.CANCELLING
        self.write(codec.encode_message(codec.ATTENTION, b""))
        # Without an acknowledgement the engine's host is probably unreachable: abort, to free the descriptor.
        self._attention_timer = self.core.timers.call_at(
            self.clock.now() + self.limits.unresponsive_timeout, self._attention_not_acknowledged
        )

    def _attention_not_acknowledged(self) -> None:
        self.counters.add("silent_connections")
        self._abort()

    def _cancel_attention_timer(self) -> None:
        if self._attention_timer is not None:
            self._attention_timer.cancel()
            self._attention_timer = None

    def promote(self, attempt: Attempt) -> None:
        """Ignore a change of priority: TDS can't change the priority of a running call."""

    def close_if_idle(self) -> None:
        """Close the connection unless it carries an attempt."""
        if self.state == State.READY and self._attempt is None:
            self._mark_closed()
            self.transport.loseConnection()

    def idle_since(self) -> int:
        """Return when the connection was used last, in microseconds of the clock."""
        return self.last_used

    def load(self) -> int:
        """Return the number of attempts on the connection: 0 or 1."""
        return int(self._attempt is not None)

    def retire(self) -> None:
        """Accept no more attempts; close when the running call has ended."""
        self.retired = True
        self._retired_at = self.clock.now()
        if self.state in (State.PRELOGIN, State.LOGIN):  # an attempt that waits for the login is not sent
            self._abort()
            self._complete_attempt(Outcome.CONNECT_FAILED)
        elif self.state == State.READY and self._attempt is not None:  # the attempt waits for a writable socket
            self._complete_attempt(Outcome.CONNECT_FAILED)
        else:
            self.close_if_idle()

    def check_timeouts(self, now: int) -> None:
        """Periodic check of the connection and its attempt.

        A login that takes too long is ended: its connection, as the least loaded one, would get attempts again and
        again. An attempt whose socket has not been writable for `unwritable_timeout` is ended, so that it is sent to
        another engine. A retired connection is aborted if the engine's host has not acknowledged the call. A slow
        response needs no check: a TDS connection carries no other attempt, and the attempt's own timeout covers it.
        """
        if self.state in (State.PRELOGIN, State.LOGIN):
            if now - self._connected_at >= self.limits.tds_engine_login_timeout:
                self._end_slow_login()
            return
        if self._attempt is None:
            return
        if self.state == State.READY and now - self._write_requested_at >= self.limits.unwritable_timeout:
            self._complete_attempt(Outcome.CONNECT_FAILED)
        elif self._is_unacknowledged_after_retirement(now):
            self.counters.add("engine_cuts")
            self._abort()

    def _end_slow_login(self) -> None:
        log.warning("engine %s has not completed the login in time", self.pool.name)
        self.counters.add("engine_dial_failures")
        self._abort()
        self._complete_attempt(Outcome.CONNECT_FAILED)

    def _is_unacknowledged_after_retirement(self, now: int) -> bool:
        """Whether no byte of a sent call was acknowledged (by TCP) within `retired_send_timeout` after retirement."""
        if self.state != State.BUSY or not self.retired or now - self._retired_at < self.limits.retired_send_timeout:
            return False
        return self._call_start >= self._out.bytes_written - self._out.unacknowledged_bytes()

    def connect_failed(self) -> None:
        """End the attempt that waits for the connection, which could not be established."""
        self._mark_closed()
        self._complete_attempt(Outcome.CONNECT_FAILED)

    def _abort(self) -> None:
        self._mark_closed()
        self.transport.abortConnection()

    # ---- connection

    def connection_made(self) -> None:
        """Start the login."""
        self.state = State.PRELOGIN
        self._connected_at = self.clock.now()
        self._out = SocketWriter(self.transport, self._on_writable)
        self.write(codec.encode_message(codec.PRELOGIN, codec.encode_prelogin()))

    def write(self, pieces: Iterable[bytes]) -> None:
        """Send byte strings in order, now or after what the transport has buffered."""
        self._out.write(pieces)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """End the attempt as the connection is lost (Twisted).

        CONNECT_FAILED means that the engine can't have received the complete call, RESET that it may have executed it.
        """
        self._mark_closed()
        self.pool.connection_closed(self)
        if self._attempt is not None:
            self.counters.add("engine_losses")
            not_received = self._attempt.unsent or not self._out.has_sent(self._call_end)
            self._complete_attempt(Outcome.CONNECT_FAILED if not_received else Outcome.RESET)
        self._tokens.close()
        self._out.connection_lost()
        if self._used_up:
            self.pool.connection_used_up()

    def malformed_data_received(self) -> None:
        """Count a malformed response."""
        self.counters.add("engine_bad_frames")

    def _complete_attempt(self, outcome: str, rows: tuple[bytes, ...] = ()) -> None:
        attempt = self._attempt
        self._attempt = None
        self.last_used = self.clock.now()
        if attempt is not None:
            self.core.complete_attempt(attempt, outcome, self._load_report, rows)
        if self.retired:
            self.close_if_idle()

    # ---- messages

    def _on_writable(self) -> None:
        """Send the call now that the socket is writable.

        If that took long, the event loop may be late, and a client's cancel or disconnect may not have been read yet.
        Then `call_after_reads` sends the call after all sockets have been read.
        """
        late = self.clock.now() - self._write_requested_at > self.limits.late_iteration_delay
        if late:
            self.core.timers.call_after_reads(self.limits.late_iteration_delay, self._send_call)
        else:
            self._send_call()

    def _send_call(self) -> None:
        """Send the call, unless it must not or can't be sent now."""
        attempt = self._attempt
        if attempt is None or self.state != State.READY:  # the attempt was cancelled or ended in the meantime
            return
        now = self.clock.now()
        if outcome := attempt.send_blocked_by(now, self.core.lease):
            self._complete_attempt(outcome)
            return
        if attempt.query.reply.may_have_unread_input:  # the client may have disconnected: read its input first
            self.core.timers.call_after_reads(DEFER_UNCONDITIONALLY, self._send_call)
            return
        try:
            body = codec.encode_rpc(PROCEDURE, self._call_arguments(attempt.query, now))
        except UnicodeEncodeError:  # the statement is not UTF-8 and can't be sent as nvarchar; nothing was sent
            self._complete_attempt(Outcome.ERROR)
            return
        self._call_start = self._out.bytes_written
        if not self._out.send(b"".join(codec.encode_message(codec.RPC, body))):
            self._out.request_write()
            return
        self._call_end = self._out.bytes_written
        self.state = State.BUSY
        self.last_used = now
        attempt.state = AttemptState.IN_FLIGHT
        self._reset_response()

    @staticmethod
    def _call_arguments(query: Query, now: int) -> dict[str, str | int | float]:
        arguments: dict[str, str | int | float] = {
            "@id": query.id,
            "@class": query.cls,
            "@budget_ms": max((query.deadline - now) // 1_000, 1),
            "@level": query.priority,
            "@statement": query.statement.decode("utf-8", "surrogateescape"),
        }
        if query.idempotency_key:
            arguments["@key"] = query.idempotency_key
        return arguments

    def data_received(self, data: bytes) -> None:
        """Process received packets; raises `TdsProtocolError`."""
        for kind, status, body in self._assembler.feed_packets(data):
            if self.state == State.CLOSED:
                return
            if kind != codec.REPLY:
                raise codec.TdsProtocolError(f"packet type {kind} from an engine: must be {codec.REPLY} (response)")
            if self.state == State.PRELOGIN:
                self._send_login(codec.parse_prelogin(body))
            elif self.state in RESPONSE_STATES:
                self._process_response(body, bool(status & codec.EOM))
            else:
                raise codec.TdsProtocolError(f"response received in state {self.state.name}, in which none is expected")
        if self.state == State.READY and self._assembler.has_partial_message:
            raise codec.TdsProtocolError("bytes received after the end of a response")

    def _send_login(self, options: dict[int, bytes]) -> None:
        if options.get(ENCRYPTION_OPTION, b"\x02") not in ACCEPTED_ENCRYPTION:
            raise codec.TdsProtocolError("engine requires encryption, which is not supported")
        self.state = State.LOGIN
        self.write(
            codec.encode_message(
                codec.LOGIN7,
                codec.encode_login7(
                    self.settings.user, self.settings.password, self.settings.database, codec.DEFAULT_PACKET_BYTES
                ),
            )
        )

    def _process_response(self, body: bytes, last: bool) -> None:
        try:
            for kind, value in self._tokens.feed(body):
                self._process_token(kind, value)
        except codec.UnsupportedTdsError as error:
            raise codec.TdsProtocolError(f"unsupported response: {error}") from None
        if not last or self.state == State.CLOSED:
            return
        if not self._tokens.at_token_boundary():
            raise codec.TdsProtocolError("response ends inside a token")
        self._response.check_complete()
        if self.state == State.LOGIN:
            self._complete_login()
        elif self.state == State.CANCELLING:
            self._end_cancelled_response()
        else:
            self._complete_call()

    def _end_cancelled_response(self) -> None:
        # If the engine had completed its response before it read the Attention, this is the end of that response, and
        # the acknowledgement follows as a separate message.
        if self._response.attention_acknowledged:
            self._use_up()
        else:
            self._reset_response()

    def _complete_call(self) -> None:
        if self._response.attention_acknowledged:
            raise codec.TdsProtocolError("Attention acknowledged that was not sent")
        if self._response.login_acknowledged:
            raise codec.TdsProtocolError("login acknowledged a second time, in place of a response to the call")
        self._use_up()
        if self._response.error:
            self._complete_attempt(OUTCOME_BY_ERROR.get(self._response.error, Outcome.ERROR))
        else:
            self._complete_attempt(Outcome.SUCCESS, ("".join(self._rows).encode("utf-8", "replace"),))

    def _complete_login(self) -> None:
        if self._response.error:
            log.warning("engine %s rejected the login with error %d", self.pool.name, self._response.error)
            self._complete_attempt(Outcome.CONNECT_FAILED)
            self._abort()
            return
        if not self._response.login_acknowledged:
            raise codec.TdsProtocolError("login is not acknowledged")
        self.state = State.READY
        if self._attempt is not None:
            self._request_write()

    def _process_token(self, kind: int, value: Any) -> None:
        self._response.add(kind, value)
        if kind == codec.ROW and self.state == State.BUSY:
            self._add_row(self._attempt, value)
        elif kind == codec.INFO and self._attempt is not None:
            self._process_info(self._attempt, value)

    def _add_row(self, attempt: Attempt | None, values: list[str]) -> None:
        text = "\t".join(values) + "\n"
        self._result_length += len(text)
        # A value that contains a tab or a line end would corrupt the page.
        valid = len(values) == RESULT_COLUMNS and text.count("\t") == RESULT_COLUMNS - 1 and text.count("\n") == 1
        if attempt is not None and (not valid or self._result_length > self.limits.max_result_size):
            # The call was executed, but its result is malformed or exceeds the limit, so it is not delivered.
            self.give_up(attempt)
            self.core.complete_attempt(attempt, Outcome.ERROR)
            return
        self._rows.append(text)

    def _process_info(self, attempt: Attempt, info: codec.Notice) -> None:
        if info.number == LOAD_REPORT_INFO:
            # The text has the format of the field `report` in RESP.
            self._load_report = parse_load_report({b"report": info.text.encode("ascii", "replace")})
        elif info.number in PROGRESS_TOPICS:
            try:
                value = float(info.text)
            except ValueError:
                raise codec.TdsProtocolError(f"INFO {info.number}: progress value is not a number") from None
            if not 0 <= value < MAX_PROGRESS_VALUE:
                raise codec.TdsProtocolError(
                    f"INFO {info.number}: progress value {value} is not in [0, {MAX_PROGRESS_VALUE:.0e})"
                )
            self.core.report_progress(attempt, PROGRESS_TOPICS[info.number], value)


def tds_pools(
    reactor: IReactorTCP,
    settings: TdsEngineSettings,
    clock: Clock,
    limits: Limits,
    counters: Counters,
    core: Coordinator,
) -> EnginePools:
    """Create the `EnginePort` that connects to engines over TDS."""

    def connect(pool: EnginePool) -> TdsEngineConnection:
        """Create a connection for this pool; it is not established yet."""
        return TdsEngineConnection(pool, settings, clock, limits, counters, core)

    return EnginePools(
        EngineDialer(reactor, connect, limits), clock, limits, counters, core, limits.max_tds_connections_per_engine
    )
