"""Engine connections over TDS, behind the same port as the other protocols.

An attempt is a call of the procedure `rackhub_want` with the parameters @id, @class, @budget_ms, @level,
@statement and, in classes with idempotency keys, @key. The response is a result set of three text columns. During
the call the engine may send INFO 51001 (fraction completed), 51002 (missing memory in megabytes) and 51003 (waiting:
1 for memory, 2 for a load), with the value as text, and INFO 51010 with its load report, for example
'inflight:7;util:0.61'. ERROR 51503 means that the engine is full and 51504 that the time was over: neither executed
the call. After any other ERROR it may have been executed.

TDS can't change the priority of a running call, and one connection carries one attempt at a time. An attempt that is
cancelled is interrupted by Attention, and the connection is used again only after the acknowledgement, so that no
response can be taken for that of a later attempt.
"""

import enum
import logging
from collections.abc import Iterable
from typing import Any

from twisted.internet.interfaces import IReactorTCP

from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Attempt, AttemptState, Query
from rackhub.core.timers import DEFER_UNCONDITIONALLY, Clock
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.outgoing import SocketWriter
from rackhub.net.pool import EngineDialer, EnginePool, EnginePools
from rackhub.net.resp_protocol import parse_load_report
from rackhub.net.tds import codec
from rackhub.net.tds.stream import TdsStream
from rackhub.operatorfile import TdsEngineSettings

log = logging.getLogger(__name__)
PROGRESS_TOPICS = {51001: 1, 51002: 2, 51003: 3}  # INFO number -> topic of a progress report
MAX_PROGRESS_VALUE = 1e12
LOAD_REPORT_INFO = 51010
NOT_EXECUTED_REASONS = {51503: "FULL", 51504: "NOP"}  # ERROR number -> reason of the attempt's end
PROCEDURE = "rackhub_want"
RESULT_COLUMNS = 3
ENCRYPTION_OPTION = 1  # of PRELOGIN
ACCEPTED_ENCRYPTION = (b"\x00", b"\x02")  # ENCRYPT_OFF, ENCRYPT_NOT_SUP


class EngineConnectionState(enum.Enum):
    """States of a connection to an engine."""

    DIALLING = enum.auto()
    PRELOGIN = enum.auto()
    LOGIN = enum.auto()
    READY = enum.auto()
    BUSY = enum.auto()
    CANCELLING = enum.auto()  # Attention was sent, its acknowledgement has not been received
    CLOSED = enum.auto()


State = EngineConnectionState
IDLE_STATES = frozenset((State.DIALLING, State.PRELOGIN, State.LOGIN, State.READY))
RESPONSE_STATES = frozenset((State.LOGIN, State.BUSY, State.CANCELLING))


class TdsEngineConnection(TdsStream):
    """One connection to an engine; up to READY an unsent attempt may wait in `_attempt`."""

    _out: SocketWriter  # from `made` on

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
        self.used = clock.now()
        self.retired = False
        self._call_start = 0  # offsets of the call in the bytes sent on this connection
        self._call_end = 0
        self._waiting_since = 0  # for a writable socket
        self._retired_at = 0
        self._attempt: Attempt | None = None
        self._packets = codec.MessageAssembler(limits.max_tds_message_bytes)
        self._start_answer()

    def _mark_closed(self) -> None:
        self.state = State.CLOSED
        self.closed = True

    def _start_answer(self) -> None:
        self._tokens = codec.TokenReader(self.limits.max_tds_token_bytes)
        self._rows: list[str] = []
        self._result_characters = 0
        self._error = 0  # the number of the first ERROR
        self._acknowledged = False
        self._report: dict[str, float] = {}

    # ---- the pool's interface

    def accepts(self, attempt: Attempt) -> bool:
        """Whether the connection can carry another attempt."""
        return self._attempt is None and self.state in IDLE_STATES

    def enqueue(self, attempt: Attempt) -> None:
        """Send an attempt as soon as the login is done and the socket is writable."""
        attempt.connection = self
        self._attempt = attempt
        attempt.state = AttemptState.QUEUED
        if self.state == State.READY:
            self._await_socket()

    def _await_socket(self) -> None:
        self._waiting_since = self.clock.now()
        self._out.request_write()

    def give_up(self, attempt: Attempt) -> None:
        """Cancel an attempt; its end is not reported."""
        if attempt is not self._attempt:
            return
        self._attempt = None
        if self.state != State.BUSY:  # not sent yet
            return
        if not self._out.has_sent(self._call_end):  # the rest of the call would be sent later, and start it
            self._drop()
            return
        self.state = State.CANCELLING
        self.write(codec.encode_message(codec.ATTENTION, b""))
        # without an acknowledgement the host is unreachable, and the connection only holds a descriptor
        self.core.timers.call_at(self.clock.now() + self.limits.unresponsive_timeout, self._check_acknowledged)

    def _check_acknowledged(self) -> None:
        if self.state == State.CANCELLING:
            self.counters.add("silent_connections")
            self._drop()

    def promote(self, attempt: Attempt) -> None:
        """Do nothing: TDS can't change the priority of a running call."""

    def close_if_idle(self) -> None:
        """Close the connection unless it carries an attempt."""
        if self.state == State.READY and self._attempt is None:
            self._mark_closed()
            self.transport.loseConnection()

    def idle_since(self) -> int:
        """When the connection was last used, on the clock's scale."""
        return self.used

    def load(self) -> int:
        """The number of attempts on the connection: 0 or 1."""
        return int(self._attempt is not None)

    def retire(self) -> None:
        """Accept no more attempts; close when the running call has ended."""
        self.retired = True
        self._retired_at = self.clock.now()
        if self.state in (State.PRELOGIN, State.LOGIN):  # an attempt that waits for the login was not sent
            self._drop()
            self._end("NOCONN")
        elif self.state == State.READY and self._attempt is not None:  # nor one that waits for the socket
            self._end("NOCONN")
        else:
            self.close_if_idle()

    def check_timeouts(self, now: int) -> None:
        """Periodic check: end an attempt that the engine does not accept, so that it goes to another engine.

        A response that stops half way needs no check: no other attempt waits behind it, and its time-out ends it.
        """
        if self._attempt is None:
            return
        if self.state == State.READY and now - self._waiting_since >= self.limits.unwritable_timeout:
            self._end("NOCONN")
        elif self._is_unsent_on_retired(now):
            self.counters.add("engine_cuts")
            self._drop()

    def _is_unsent_on_retired(self, now: int) -> bool:
        """Whether the call of a retired connection has stayed in the transport's buffer for the time limit."""
        if self.state != State.BUSY or not self.retired or now - self._retired_at < self.limits.retired_send_timeout:
            return False
        return self._call_start >= self._out.bytes_written - self._out.unacknowledged_bytes()

    def connect_failed(self) -> None:
        """The connection could not be established."""
        self._mark_closed()
        self._end("NOCONN")

    def _drop(self) -> None:
        self._mark_closed()
        self.transport.abortConnection()

    # ---- the connection

    def made(self) -> None:
        """Start the login."""
        self.state = State.PRELOGIN
        self._out = SocketWriter(self.transport, self._writable)
        self.write(codec.encode_message(codec.PRELOGIN, codec.encode_prelogin()))

    def write(self, pieces: Iterable[bytes]) -> None:
        """Send byte strings in order, now or behind what the transport buffers."""
        self._out.write(pieces)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Twisted: the connection is lost. Ends the attempt, as not sent where nothing was executed."""
        self._mark_closed()
        self.pool.connection_closed(self)
        if self._attempt is not None:
            self.counters.add("engine_losses")
            unread = self._attempt.unsent or not self._out.has_sent(self._call_end)
            self._end("NOCONN" if unread else "RST")

    def malformed(self) -> None:
        """Count a malformed response."""
        self.counters.add("engine_bad_frames")

    def _end(self, reason: str, rows: tuple[bytes, ...] = ()) -> None:
        attempt = self._attempt
        self._attempt = None
        self.used = self.clock.now()
        if attempt is not None:
            self.core.complete_attempt(attempt, reason, self._report, rows)
        if self.retired:
            self.close_if_idle()

    # ---- messages

    def _writable(self) -> None:
        """The socket is writable. After a long event-loop iteration a cancel may be unread: read before sending."""
        late = self.clock.now() - self._waiting_since > self.limits.late_iteration_delay
        if late:
            self.core.timers.call_after_reads(self.limits.late_iteration_delay, self._call)
        else:
            self._call()

    def _call(self) -> None:
        attempt = self._attempt
        if attempt is None or self.state != State.READY:  # the attempt was moved meanwhile
            return
        now = self.clock.now()
        if reason := attempt.send_blocked_by(now, self.core.lease):
            self._end(reason)
            return
        if attempt.query.reply.may_have_unread_input:  # the client's disconnect may be among what is still to be read
            self.core.timers.call_after_reads(DEFER_UNCONDITIONALLY, self._call)
            return
        try:
            body = codec.encode_rpc(PROCEDURE, self._arguments(attempt.query, now))
        except UnicodeEncodeError:  # a statement that is not UTF-8 can't be sent as nvarchar
            self._end("BAD")
            return
        self._call_start = self._out.bytes_written
        if not self._out.send(b"".join(codec.encode_message(codec.RPC, body))):
            self._out.request_write()
            return
        self._call_end = self._out.bytes_written
        self.state = State.BUSY
        self.used = now
        attempt.state = AttemptState.IN_FLIGHT
        self._start_answer()

    @staticmethod
    def _arguments(query: Query, now: int) -> dict[str, str | int | float]:
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

    def taken(self, data: bytes) -> None:
        """Process received packets; raises `TdsProtocolError`."""
        for kind, status, body in self._packets.feed_packets(data):
            if self.state == State.CLOSED:
                return
            if kind != codec.REPLY:
                raise codec.TdsProtocolError(f"an answer of type {kind}")
            if self.state == State.PRELOGIN:
                self._logon(codec.parse_prelogin(body))
            elif self.state in RESPONSE_STATES:
                self._answer(body, bool(status & codec.EOM))
            else:
                raise codec.TdsProtocolError("an answer to nothing")

    def _logon(self, options: dict[int, bytes]) -> None:
        if options.get(ENCRYPTION_OPTION, b"\x02") not in ACCEPTED_ENCRYPTION:
            raise codec.TdsProtocolError("the engine insists on encryption")
        self.state = State.LOGIN
        self.write(
            codec.encode_message(
                codec.LOGIN7,
                codec.encode_login7(
                    self.settings.user, self.settings.password, self.settings.database, codec.DEFAULT_PACKET_BYTES
                ),
            )
        )

    def _answer(self, body: bytes, last: bool) -> None:
        try:
            for kind, value in self._tokens.feed(body):
                self._token(kind, value)
        except codec.UnsupportedTdsError as error:
            raise codec.TdsProtocolError(f"an answer with {error}") from None
        if not last or self.state == State.CLOSED:
            return
        if not self._tokens.complete():
            raise codec.TdsProtocolError("an answer that is cut off")
        if self.state == State.LOGIN:
            self._logged_on()
        elif self.state == State.CANCELLING:
            self._end_of_cancelled_answer()
        else:
            self.state = State.READY
            self._end_of_result()

    def _end_of_cancelled_answer(self) -> None:
        # a response that crossed the Attention ends first; the acknowledgement follows in a message of its own
        if self._acknowledged:
            self.state = State.READY
            self.used = self.clock.now()
        self._start_answer()
        if self.retired:
            self.close_if_idle()

    def _end_of_result(self) -> None:
        if self._error:
            self._end(NOT_EXECUTED_REASONS.get(self._error, "BAD"))
        else:
            self._end("GOOD", ("".join(self._rows).encode("utf-8", "replace"),))

    def _logged_on(self) -> None:
        if self._error:
            log.warning("engine %s: login refused", self.pool.name)
            self._end("NOCONN")
            self._drop()
            return
        self.state = State.READY
        if self._attempt is not None:
            self._await_socket()

    def _token(self, kind: int, value: Any) -> None:
        if kind == codec.ERROR:
            self._error = self._error or value.number or -1
        elif kind == codec.ROW and self.state == State.BUSY:
            self._row(self._attempt, value)
        elif kind == codec.INFO and self._attempt is not None:
            self._info(self._attempt, value)
        elif kind in (codec.DONE, codec.DONEPROC) and value.status & codec.DONE_ATTN:
            self._acknowledged = True

    def _row(self, attempt: Attempt | None, values: list[str]) -> None:
        text = "\t".join(values) + "\n"
        self._result_characters += len(text)
        valid = len(values) == RESULT_COLUMNS and text.count("\t") == RESULT_COLUMNS - 1 and text.count("\n") == 1
        if attempt is not None and (not valid or self._result_characters > self.limits.max_result_size):
            # executed, but the result is malformed or too large to be passed on complete
            self.give_up(attempt)
            self.core.complete_attempt(attempt, "BAD")
            return
        self._rows.append(text)

    def _info(self, attempt: Attempt, info: codec.Notice) -> None:
        if info.number == LOAD_REPORT_INFO:
            self._report = parse_load_report({b"report": info.text.encode("ascii", "replace")})
        elif info.number in PROGRESS_TOPICS:
            try:
                value = float(info.text)
            except ValueError:
                raise codec.TdsProtocolError("a note without a figure") from None
            if not 0 <= value < MAX_PROGRESS_VALUE:
                raise codec.TdsProtocolError("a note whose figure is out of range")
            self.core.report_progress(attempt, PROGRESS_TOPICS[info.number], value)


def tds_pools(
    reactor: IReactorTCP,
    settings: TdsEngineSettings,
    clock: Clock,
    limits: Limits,
    counters: Counters,
    core: Coordinator,
) -> EnginePools:
    """The engine port over TDS."""

    def connect(pool: EnginePool) -> TdsEngineConnection:
        """A connection of this pool, not yet established."""
        return TdsEngineConnection(pool, settings, clock, limits, counters, core)

    return EnginePools(
        EngineDialer(reactor, connect, limits), clock, limits, counters, core, limits.max_tds_connections_per_engine
    )
