"""Engines that speak TDS, behind the same port as the others.

An attempt is a call of the procedure `rackhub_want` with the parameters @id, @class, @budget_ms, @level,
@statement and, in keyed classes, @key. The answer is a set of three text columns. While it runs the engine
may send INFO 51001 (share done), 51002 (megabytes missing) and 51003 (waits: 1 memory, 2 a load) with the
figure as text, and INFO 51010 with its load report as in 'inflight:7;util:0.61'. ERROR 51503 tells that it
is full and 51504 that the time was over: neither ran it. Any other ERROR: it may have run.

There is no way to change the priority of what runs, and one connection carries one attempt at a time. An
attempt that is given up is broken off by Attention, and the connection is used again only after its
acknowledgement: no answer can pass for that of a later attempt.
"""

import logging
from collections.abc import Iterable
from typing import Any

from twisted.internet.interfaces import IReactorTCP

from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Attempt, AttemptState
from rackhub.core.timers import Clock
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.outgoing import Outgoing
from rackhub.net.pool import Dial, Pool, Pools
from rackhub.net.resp_words import report_of
from rackhub.net.tds import codec
from rackhub.net.tds.stream import TdsStream
from rackhub.operatorfile import TdsEngineSettings

log = logging.getLogger(__name__)
TOPICS, REPORT = {51001: 1, 51002: 2, 51003: 3}, 51010
NEVER_RAN = {51503: "FULL", 51504: "NOP"}


class TdsEngineConnection(TdsStream):
    """One connection to an engine. States: DIALLING, PRELOGIN, LOGIN, READY (in these an attempt may wait in
    `_attempt`, unsent), BUSY, CANCELLING (Attention sent, its end not yet seen), CLOSED."""

    DIALLING, PRELOGIN, LOGIN, READY, BUSY, CANCELLING, CLOSED = (
        "dialling",
        "prelogin",
        "login",
        "ready",
        "busy",
        "cancelling",
        "closed",
    )

    def __init__(
        self,
        pool: Pool,
        settings: TdsEngineSettings,
        clock: Clock,
        limits: Limits,
        counters: Counters,
        core: Coordinator,
    ):
        self.pool, self.settings, self.clock, self.limits = pool, settings, clock, limits
        self.counters, self.core = counters, core
        self.state, self.used, self.retired = self.DIALLING, clock.now(), False
        self._out: Outgoing | None = None
        self._begin = self._end_of_call = self._waits_since = self._retired_at = 0
        self._attempt: Attempt | None = None
        self._packets = codec.Assembler(limits.tds_message)
        self._start_answer()

    @property
    def closed(self) -> bool:
        return self.state == self.CLOSED

    def _start_answer(self) -> None:
        self._tokens = codec.TokenReader(self.limits.tds_token)
        self._rows: list[str] = []
        self._size, self._error, self._acknowledged = 0, 0, False
        self._report: dict[str, float] = {}

    # ---- what the pool asks

    def takes(self, attempt: Attempt) -> bool:
        return self._attempt is None and self.state in (self.DIALLING, self.PRELOGIN, self.LOGIN, self.READY)

    def carry(self, attempt: Attempt) -> None:
        attempt.connection = self
        self._attempt = attempt
        attempt.state = AttemptState.QUEUED
        if self.state == self.READY:
            self._await_socket()

    def _await_socket(self) -> None:
        self._waits_since = self.clock.now()
        self._out.ask()

    def give_up(self, attempt: Attempt) -> None:
        if attempt is not self._attempt:
            return
        self._attempt = None
        if self.state != self.BUSY:  # it waits for the login or the socket: nothing to break off
            return
        if not self._out.has_left(self._end_of_call):  # its rest would leave some time, and begin what was given up
            return self._drop()
        self.state = self.CANCELLING
        self.write(codec.message(codec.ATTENTION, b""))
        # without an acknowledgement in time the host is gone, and the connection only holds a descriptor
        self.core.timers.at(self.clock.now() + self.limits.silence, self._unheard)

    def _unheard(self) -> None:
        if self.state == self.CANCELLING:
            self.counters.add("silent_connections")
            self._drop()

    def promote(self, attempt: Attempt) -> None:
        """Not to be had over TDS while a call runs: the priority holds for sends."""

    def close_if_idle(self) -> None:
        if self.state == self.READY and self._attempt is None:
            self.state = self.CLOSED
            self.transport.loseConnection()

    def idle_since(self) -> int:
        return self.used

    def load(self) -> int:
        return int(self._attempt is not None)

    def retire(self) -> None:
        self.retired, self._retired_at = True, self.clock.now()
        if self.state in (self.PRELOGIN, self.LOGIN):  # what waits for the login never left
            self._drop()
            return self._end("NOCONN")
        if self.state == self.READY and self._attempt is not None:  # nor did what waits for the socket
            return self._end("NOCONN")
        self.close_if_idle()

    def look(self, now: int) -> None:
        """Nothing else waits behind an answer that has stopped half way: its own time-out ends it. What the engine does
        not take goes elsewhere, and does not stay in the buffers of an engine that takes nothing new."""
        if self._attempt is None:
            return
        if self.state == self.READY and now - self._waits_since >= self.limits.unwritable:
            self._end("NOCONN")
        elif self.state == self.BUSY and self.retired and now - self._retired_at >= self.limits.retired_send:
            if self._begin >= self._out.given - self._out.undelivered():
                self.counters.add("engine_cuts")
                self._drop()

    def refused(self) -> None:
        self.state = self.CLOSED
        self._end("NOCONN")

    def _drop(self) -> None:
        self.state = self.CLOSED
        self.transport.abortConnection()

    # ---- the connection

    def made(self) -> None:
        self.state = self.PRELOGIN
        self._out = Outgoing(self.transport, self._writable)
        self.write(codec.message(codec.PRELOGIN, codec.prelogin()))

    def write(self, pieces: Iterable[bytes]) -> None:
        self._out.write(pieces)

    def connectionLost(self, reason: object = None) -> None:
        self.state = self.CLOSED
        self.pool.lost(self)
        if self._attempt is not None:
            self.counters.add("engine_losses")
            unread = self._attempt.unsent or not self._out.has_left(self._end_of_call)
            self._end("NOCONN" if unread else "RST")

    def malformed(self) -> None:
        self.counters.add("engine_bad_frames")

    def _end(self, reason: str, rows: tuple[bytes, ...] = ()) -> None:
        attempt, self._attempt, self.used = self._attempt, None, self.clock.now()
        if attempt is not None:
            self.core.complete_attempt(attempt, reason, self._report, rows)
        if self.retired:
            self.close_if_idle()

    # ---- messages

    def _writable(self) -> None:
        """The socket takes bytes. Where the attempt waited for it over a late turn the client's end may lie unread."""
        late = self.clock.now() - self._waits_since > self.limits.unread_turn
        self.core.timers.call_after_reads(self.limits.unread_turn, self._call) if late else self._call()

    def _call(self) -> None:
        if self._attempt is None or self.state != self.READY:  # it went elsewhere meanwhile
            return
        query, now = self._attempt.query, self.clock.now()
        if why := self._attempt.send_blocked_by(now, self.core.lease):  # it waited for the login
            return self._end(why)
        arguments = {
            "@id": query.id,
            "@class": query.cls,
            "@budget_ms": max((query.deadline - now) // 1_000, 1),
            "@level": query.priority,
            "@statement": query.statement.decode("utf-8", "surrogateescape"),
        }
        if query.idempotency_key:
            arguments["@key"] = query.idempotency_key
        try:
            body = codec.rpc("rackhub_want", arguments)
        except UnicodeEncodeError:  # bytes that are no UTF-8 can't be put as text: this engine can't run it
            return self._end("BAD")
        self._begin = self._out.given
        if not self._out.send(b"".join(codec.message(codec.RPC, body))):
            return self._out.ask()
        self._end_of_call = self._out.given
        self.state, self.used, self._attempt.state = self.BUSY, now, AttemptState.IN_FLIGHT
        self._start_answer()

    def taken(self, data: bytes) -> None:
        for kind, status, body in self._packets.packets(data):
            if self.state == self.CLOSED:
                return
            if kind != codec.REPLY:
                raise codec.TdsProtocolError(f"an answer of type {kind}")
            if self.state == self.PRELOGIN:
                self._logon(codec.prelogin_options(body))
            elif self.state in (self.LOGIN, self.BUSY, self.CANCELLING):
                self._answer(body, bool(status & codec.EOM))
            else:
                raise codec.TdsProtocolError("an answer to nothing")

    def _logon(self, options: dict[int, bytes]) -> None:
        if options.get(1, b"\x02") not in (b"\x00", b"\x02"):
            raise codec.TdsProtocolError("the engine insists on encryption")
        self.state = self.LOGIN
        self.write(
            codec.message(
                codec.LOGIN7,
                codec.login7(
                    self.settings.user, self.settings.password, self.settings.database, codec.DEFAULT_PACKET_BYTES
                ),
            )
        )

    def _answer(self, body: bytes, last: bool) -> None:
        try:
            for kind, value in self._tokens.feed(body):
                self._token(kind, value)
        except codec.UnsupportedTdsError as what:
            raise codec.TdsProtocolError(f"an answer with {what}") from None
        if not last or self.state == self.CLOSED:
            return
        if not self._tokens.complete():
            raise codec.TdsProtocolError("an answer that is cut off")
        if self.state == self.LOGIN:
            self._logged_on()
        elif self.state == self.CANCELLING:
            # an answer that crossed the Attention comes to its end first; the acknowledgement follows it
            if self._acknowledged:
                self.state, self.used = self.READY, self.clock.now()
            self._start_answer()
            if self.retired:
                self.close_if_idle()
        else:
            self.state = self.READY
            if self._error:
                self._end(NEVER_RAN.get(self._error, "BAD"))
            else:
                self._end("GOOD", ("".join(self._rows).encode("utf-8", "replace"),))

    def _logged_on(self) -> None:
        if self._error:
            log.warning("engine %s: login refused", self.pool.name)
            self._end("NOCONN")
            return self._drop()
        self.state = self.READY
        if self._attempt is not None:
            self._await_socket()

    def _token(self, kind: int, value: Any) -> None:
        if kind == codec.ERROR:
            self._error = self._error or value.number or -1
        elif kind == codec.ROW and self.state == self.BUSY:
            self._row(value)
        elif kind == codec.INFO and self._attempt is not None:
            self._info(value)
        elif kind in (codec.DONE, codec.DONEPROC) and value.status & codec.DONE_ATTN:
            self._acknowledged = True

    def _row(self, cells: list[str]) -> None:
        text = "\t".join(cells) + "\n"
        self._size += len(text)
        if len(cells) != 3 or text.count("\t") != 2 or text.count("\n") != 1 or self._size > self.limits.result:
            # no result of ours, or more than one may hold: it ran, and it can't be passed on whole
            attempt = self._attempt
            self.give_up(attempt)
            return self.core.complete_attempt(attempt, "BAD")
        self._rows.append(text)

    def _info(self, info: codec.Notice) -> None:
        if info.number == REPORT:
            self._report = report_of({b"report": info.text.encode("ascii", "replace")})
        elif info.number in TOPICS:
            try:
                value = float(info.text)
            except ValueError:
                raise codec.TdsProtocolError("a note without a figure") from None
            if not 0 <= value < 1e12:
                raise codec.TdsProtocolError("a note whose figure is out of range")
            self.core.report_progress(self._attempt, TOPICS[info.number], value)


def tds_pools(
    reactor: IReactorTCP,
    settings: TdsEngineSettings,
    clock: Clock,
    limits: Limits,
    counters: Counters,
    core: Coordinator,
) -> Pools:
    """The engine port over TDS."""

    def make(pool: Pool) -> TdsEngineConnection:
        return TdsEngineConnection(pool, settings, clock, limits, counters, core)

    return Pools(Dial(reactor, make, limits), clock, limits, counters, core, limits.tds_engine_connections)
