"""Engines over TCP: RESP arrays of bulk strings, many attempts on a connection, results in pages.

A connection keeps what the wire alone can't tell: which ids have ended on it without success. A further attempt
of a request bears the same id, so an answer that crossed a give-up, or a late second copy of a refusal, would pass
for the new attempt's: such an id is not sent on that connection again, and what still comes under it is ignored.

What comes twice or under an id that nobody asked for is ignored. Bytes that can't be read, and an answer that is
not what the protocol says a result is, end the connection: nothing after them can be trusted.
"""

from collections.abc import Iterable
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTCP
from twisted.protocols.basic import LineReceiver

from rackhub import logs
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Attempt, AttemptState
from rackhub.core.timers import Clock
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.outgoing import Outgoing
from rackhub.net.pool import EngineDialer, EnginePool, EnginePools
from rackhub.net.resp_protocol import (
    TOPICS,
    InvalidFrameError,
    command,
    is_valid_page,
    parse_fields,
    parse_load_report,
    parse_number,
)

log = logs.logger(__name__)


class PartialResult:
    """A result on its way in: its pages by number, and the report that came with page 0."""

    __slots__ = ("pages", "missing", "size", "report")

    def __init__(self, first: bytes, count: int, report: dict[str, float]):
        self.pages: list[bytes | None] = [first, *[None] * (count - 1)]
        self.missing, self.size, self.report = count - 1, len(first), report


class ByteRange(NamedTuple):
    """Where an attempt stands in the bytes of its connection: behind `begin` of them, up to `end`."""

    begin: int
    end: int


class EngineConnection(LineReceiver):
    """One connection to an engine and the attempts on it, by the id of their request.

    States: dialling, up, closing (lost or dropped). Attempts in `open` that stand in `_waiting` too are not sent: for
    them the dial is not up, or the socket has not taken them yet. The reader's state is in `_due`: how many bulk
    strings the present array still needs, 0 between arrays.
    """

    MAX_LENGTH = 65_536  # per instance from the limits: see __init__
    delimiter = b"\r\n"

    def __init__(self, pool: EnginePool, clock: Clock, limits: Limits, counters: Counters, core: Coordinator):
        self.pool, self.clock, self.limits, self.counters, self.core = pool, clock, limits, counters, core
        self.MAX_LENGTH = limits.head
        self.open: dict[bytes, Attempt] = {}
        self.paging: dict[bytes, PartialResult] = {}
        self.stale: dict[bytes, int] = {}  # ids that ended here without success -> when; oldest first
        self.up = self.closed = self.silent = self.retired = False
        self._retired_at = 0
        self.half_since = 0  # when the part of a frame began that has not come whole
        self.heard = self.used = clock.now()
        self._due, self._parts, self._need, self._got, self._got_size = 0, [], -1, [], 0
        self._frames = 0
        self._out: Outgoing | None = None
        self._waiting: dict[bytes, int] = {}  # ids in `open` that are not sent -> since when
        self._spans: dict[bytes, ByteRange] = {}  # by the other ids in `open`
        self._last_end = 0  # of the request that was sent last

    # ---- what the pool asks

    def accepts(self, attempt: Attempt) -> bool:
        """Whether a new attempt may go on this connection."""
        self._forget()
        id = attempt.query.id.encode()
        return not (
            self.closed
            or self.silent
            or len(self.open) >= self.limits.engine_open
            or self.blocked()
            or id in self.open
            or id in self.stale
        )

    def enqueue(self, attempt: Attempt) -> None:
        """Take an attempt, which is sent in a turn in which the socket takes it."""
        id = attempt.query.id.encode()
        attempt.connection, attempt.state = self, AttemptState.QUEUED
        self.open[id] = attempt
        self._waiting[id] = self.clock.now()
        if self.up:
            self._out.request_write()

    def blocked(self) -> bool:
        """Whether the engine does not take what was sent to it."""
        late = self._waits_since() < self.clock.now() - self.limits.unread_turn
        return self.up and (late or not self._out.has_sent(self._last_end))

    def _waits_since(self) -> int:
        return next(iter(self._waiting.values()), self.clock.now())

    def surely_unread(self, id: bytes) -> bool:
        """Whether an open attempt surely never ran: not all of it has left for the engine. What has, may have run,
        whatever came of the connection since. What came and was not read yet tells in time: a transport is read from
        before it is written to."""
        return id not in self._spans or not self._out.has_sent(self._spans[id].end)

    def give_up(self, attempt: Attempt) -> None:
        id, now = attempt.query.id.encode(), self.clock.now()
        if self.open.pop(id, None) is None:
            return
        self._waiting.pop(id, None)
        span = self._spans.pop(id, None)
        if span is not None and self.up and not self.closed:
            if not self._out.has_sent(span.end):  # its rest would leave some time, and begin what was given up
                return self._cut("a request given up that has left in part")
            self._out.write(command(b"shut" if id in self.paging else b"never_mind", id))
            self._stale(id, now)
            # a vanished host gives no sign. Without this, all that follows would wait on the dead connection
            # for its deadline, where a new one fails in the time to dial and proves that nothing ran.
            if self.heard <= attempt.sent_at and now - attempt.sent_at >= self.limits.silence and not self.silent:
                self.silent = True
                self.counters.add("silent_connections")
        self.paging.pop(id, None)
        self._let_go()

    def promote(self, attempt: Attempt) -> None:
        id = attempt.query.id.encode()
        if self.up and not self.closed and id in self._spans and id not in self.paging:
            self._out.write(command(b"promote", id, b"%d" % attempt.query.priority))

    def close_if_idle(self) -> None:
        if self.up and not self.closed and not self.open:
            self.closed = True
            log.debug("engine_connection_closed", engine=self.pool.name, reason="retired" if self.retired else "idle")
            self.transport.loseConnection()

    def idle_since(self) -> int:
        return self.used

    def load(self) -> int:
        return len(self.open)

    def retire(self) -> None:
        """Its engine takes nothing new: what has not left for it goes elsewhere, what has ends on its own, then it
        closes."""
        self.retired = True
        self._retired_at = self.clock.now()
        for id in list(self._waiting):
            if id in self._waiting:  # the end of one may have ended others
                self._return(id, "the engine takes nothing new")
        self.close_if_idle()

    def _return(self, id: bytes, why: str) -> None:
        """Nothing of this attempt has left, and nothing will."""
        del self._waiting[id]
        attempt = self.open.pop(id)
        log.debug("attempt_returned", request=attempt.query.id, engine=self.pool.name, reason=why)
        self.core.complete_attempt(attempt, "NOCONN")

    def _return_late(self, now: int) -> None:
        """What the socket has not taken for so long goes elsewhere, as after a dial that takes too long."""
        for id, since in list(self._waiting.items()):
            if id in self._waiting and now - since >= self.limits.unwritable:
                self._return(id, "the engine takes no bytes")

    def _undelivered(self) -> bool:
        """Whether an open attempt may still have to reach the engine, as its first byte is not confirmed."""
        delivered = self._out.bytes_written - self._out.unacknowledged_bytes()
        return any(span.begin >= delivered for span in self._spans.values())

    def check_timeouts(self, now: int) -> None:
        """Drop a connection on which a frame has stopped half way: whatever else is open on it waits behind that
        frame, and on a scored day waited for its deadline. Also one whose engine does not take the last bytes."""
        if self.closed and now - self.used > self.limits.linger:
            self.drop()
        if self.up and not self.closed:
            self._return_late(now)
            # what the kernel holds for an engine that does not read would reach it whenever it reads again
            if self.retired and now - self._retired_at >= self.limits.retired_send and self._undelivered():
                self._cut("the engine takes nothing new and has not taken what was sent")
        if self.half_since and now - self.half_since > self.limits.half_frame and not self.closed:
            self._malformed(InvalidFrameError("a frame that stops half way"))

    def _cut(self, why: str) -> None:
        """Close at once, with what the process and the kernel hold thrown away."""
        log.info("engine_connection_cut", engine=self.pool.name, open=len(self.open), reason=why)
        self.counters.add("engine_cuts")
        self.closed = True
        self.drop()

    def drop(self) -> None:
        """End it at once: whatever is open on it is lost."""
        if self.up:
            self.transport.abortConnection()

    def connect_failed(self) -> None:
        """The dial failed or was called off: nothing that waited for it ever left."""
        self.closed = True
        self._end_all()

    def _stale(self, id: bytes, now: int) -> None:
        self._forget()
        self.stale.pop(id, None)
        self.stale[id] = now

    def _forget(self) -> None:
        edge = self.clock.now() - self.limits.stale
        while self.stale and (oldest := next(iter(self.stale))) and self.stale[oldest] < edge:
            del self.stale[oldest]

    def _let_go(self) -> None:
        self.used = self.clock.now()
        if self.silent and not self.open:
            self.closed = True
            self.drop()
        elif self.retired:
            self.close_if_idle()

    def _writable(self) -> None:
        """The socket takes bytes. Where they waited for it over a late turn a client's end may lie unread: that is read
        first."""
        if self.clock.now() - self._waits_since() > self.limits.unread_turn:
            self.core.timers.call_after_reads(self.limits.unread_turn, self._send_waiting)
        else:
            self._send_waiting()

    def _send_waiting(self) -> None:
        """Send what waits and may still be sent, until the socket takes no more."""
        while self._waiting and not self.closed and not self._out.buffered_bytes():
            id = next(iter(self._waiting))
            attempt = self.open[id]
            if why := attempt.send_blocked_by(self.clock.now(), self.core.lease):
                self._bar(id, attempt, why)
            elif not self._send(id, attempt):
                break
        if self._waiting and not self.closed:
            self._out.request_write()

    def _bar(self, id: bytes, attempt: Attempt, why: str) -> None:
        del self.open[id], self._waiting[id]
        log.debug("attempt_barred", request=attempt.query.id, engine=self.pool.name, reason=why)
        self.core.complete_attempt(attempt, why)

    def _send(self, id: bytes, attempt: Attempt) -> bool:
        query, now = attempt.query, self.clock.now()
        left = max((query.deadline - now) // 1_000, 1)
        fields = b"profile=%s,max=%d,level=%d" % (query.cls.encode(), left, query.priority)
        if query.idempotency_key:
            fields += b",replay=" + query.idempotency_key.encode()
        begin = self._out.bytes_written
        if not self._out.send(b"".join(command(b"want", id, fields, query.statement))):
            return False
        del self._waiting[id]
        attempt.state, self.used = AttemptState.IN_FLIGHT, now
        self._last_end = self._out.bytes_written
        self._spans[id] = ByteRange(begin, self._last_end)
        log.debug(
            "attempt_written",
            request=query.id,
            attempt=attempt.number,
            engine=self.pool.name,
            left_ms=left,
            kept_bytes=self._out.buffered_bytes(),
        )
        return True

    # ---- Twisted

    def connectionMade(self) -> None:
        self.heard = self.clock.now()
        log.debug("engine_connected", engine=self.pool.name, waiting=len(self.open))
        self.transport.setTcpNoDelay(True)
        self._out = Outgoing(self.transport, self._writable)
        for id, attempt in list(self.open.items()):
            if why := attempt.send_blocked_by(self.heard, self.core.lease):  # it waited too long for this
                self._bar(id, attempt, why)
        stale = any(attempt.query.reply.stale for attempt in self.open.values())
        self.core.timers.call_after_reads(-1 if stale else self.limits.unread_turn, self._opened)

    def _opened(self) -> None:
        if self.closed:  # lost meanwhile, or what came on it was no answer
            return self.transport.abortConnection()
        self.up = True
        if self._waiting:
            self._waiting = dict.fromkeys(self._waiting, self.clock.now())
            self._out.request_write()
        elif self.retired:
            self.close_if_idle()

    def connectionLost(self, reason: object = None) -> None:
        log.debug("engine_connection_lost", engine=self.pool.name, open=len(self.open), reason=reason)
        if self.open:
            self.counters.add("engine_losses")
        self.up, self.closed = False, True
        self.pool.connection_closed(self)
        if any(map(self.surely_unread, self.open)):
            self.counters.add("engine_lost_unwritten")
        self._end_all()

    def _end_all(self) -> None:
        ended = [(attempt, self.surely_unread(id)) for id, attempt in self.open.items()]
        self.open.clear()
        self._waiting.clear()
        self._spans.clear()
        self.paging.clear()
        for attempt, unread in ended:
            self.core.complete_attempt(attempt, "NOCONN" if unread else "RST")

    def dataReceived(self, data: bytes) -> None:
        if self.closed:
            return
        self.heard = self.clock.now()
        try:
            before = self._frames
            if self._whole():
                data = self._whole_frames(data)
            if data:
                super().dataReceived(data)
                whole = self._whole()
                if whole or before != self._frames or not self.half_since:
                    self.half_since = 0 if whole else self.heard
        except InvalidFrameError as bad:
            self._malformed(bad)

    def _whole(self) -> bool:
        """Whether no part of a frame has come after the last one."""
        return not self._due and bool(self.line_mode) and not self._buffer

    def _whole_frames(self, data: bytes) -> bytes:
        """Take the answers that lie whole at the front of what came, in place; what is left is read by the states
        below. Eight callbacks a frame took a seventh of a saturated core on a scored day (py-spy, 200 samples/s)."""
        at, size = 0, len(data)
        while data.startswith(b"*4\r\n", at):
            parts, here = [], at + 4
            for _ in range(4):
                end = data.find(b"\r\n", here, here + self.limits.head)
                length = data[here + 1 : end] if end > 0 and data[here] == 36 else b""
                if not length.isdigit() or len(length) > 9:
                    return data[at:]  # cut off or no frame: the states below tell which
                here = end + 2 + int(length)
                if here + 2 > size or int(length) > self.limits.frame or data[here : here + 2] != b"\r\n":
                    return data[at:]
                parts.append(data[end + 2 : here])
                here += 2
            at = here
            self._answer(parts)
            if self.closed:
                return b""
        return data[at:]

    def lineLengthExceeded(self, line: bytes) -> None:
        raise InvalidFrameError("a head line is too long")

    def _malformed(self, bad: InvalidFrameError) -> None:
        self.counters.add("engine_bad_frames")
        log.warning("engine_connection_dropped", engine=self.pool.name, reason=str(bad), open=len(self.open))
        self.closed = True
        self.clearLineBuffer()
        self.drop()

    def lineReceived(self, line: bytes) -> None:
        if self.closed:
            return
        if not self._due:
            self._due, self._parts = self._count(line, b"*", 16), []
            if not self._due:
                raise InvalidFrameError("an empty array")
        else:
            self._need = self._count(line, b"$", self.limits.frame) + 2
            self._got, self._got_size = [], 0
            self.setRawMode()

    @staticmethod
    def _count(line: bytes, mark: bytes, most: int) -> int:
        if line[:1] != mark or not line[1:].isdigit() or len(line) > 10 or int(line[1:]) > most:
            raise InvalidFrameError(f"a head {line[:40]!r}")
        return int(line[1:])

    def rawDataReceived(self, data: bytes) -> None:
        if self.closed:
            return
        took = data[: self._need - self._got_size]
        self._got.append(took)
        self._got_size += len(took)
        if self._got_size < self._need:
            return
        bulk = b"".join(self._got) if len(self._got) > 1 else took
        if bulk[-2:] != b"\r\n":
            raise InvalidFrameError("a bulk string without its end")
        self._parts.append(bulk[:-2])
        self._due -= 1
        if not self._due:
            self._answer(self._parts)
        self.setLineMode(data[len(took) :])

    # ---- answers

    def _answer(self, parts: list[bytes]) -> None:
        self._frames += 1
        self.counters.add("engine_frames")
        if len(parts) != 4:
            if len(parts) == 2 and parts[1] == b"alive":  # not asked for here, but no fault
                return
            raise InvalidFrameError(f"an answer of {len(parts)} parts")
        id, word, text, body = parts
        if word not in (b"200", b"503", b"500", b"504", b"status", b"chunk", b"alive"):
            raise InvalidFrameError(f"an answer {word[:40]!r}")
        fields = parse_fields(text)
        attempt = self.open.get(id) if id in self._spans else None
        if attempt is None:  # not sent, or given up before; the end is on its way, and no more comes under this id
            self.counters.add("engine_strays")
        elif word == b"200":
            self._result(id, attempt, fields, body)
        elif word == b"chunk":
            self._page(id, attempt, fields, body)
        elif word == b"status":
            topic = TOPICS.get(fields.get(b"remark", b""))
            if topic:
                self.core.report_progress(attempt, topic, parse_number(fields, b"amount", float))
        elif word == b"503" and id not in self.paging:
            self._over(id, attempt, "FULL", parse_load_report(fields))
        elif word == b"504" and id not in self.paging:  # over before it was read: there is no time to try again
            self._over(id, attempt, "NOP", parse_load_report(fields))
        elif word != b"alive":  # an error, or a page that is gone: the result can't be whole any more
            self._over(id, attempt, "BAD", parse_load_report(fields))

    def _result(self, id: bytes, attempt: Attempt, fields: dict[bytes, bytes], body: bytes) -> None:
        if id in self.paging:  # a second copy: the first one counts
            return self.counters.add("engine_extras")
        # an engine always says how many pages there are; what says nothing is none of its making
        count = int(parse_number(fields, b"chunks", int))
        if count < 1:
            raise InvalidFrameError(f"a result of {count} pages")
        if not is_valid_page(body, self.limits.page):
            return self._spoilt(id, attempt)
        report = parse_load_report(fields)
        if count == 1:
            return self._over(id, attempt, "GOOD", report, (body,))
        self.paging[id] = PartialResult(body, min(count, self.limits.pages), report)
        if count > self.limits.pages:
            return self._too_large(id, attempt)
        pieces = []
        for page in range(1, count):
            pieces += command(b"turn", id, b"%d" % page)
        self._out.write(pieces)

    def _page(self, id: bytes, attempt: Attempt, fields: dict[bytes, bytes], body: bytes) -> None:
        paging, at = self.paging.get(id), int(parse_number(fields, b"at", int))
        if paging is None or not 0 < at < len(paging.pages) or paging.pages[at] is not None:
            return self.counters.add("engine_extras")  # a second copy, or a page that was not asked for
        if not is_valid_page(body, self.limits.page):
            return self._spoilt(id, attempt)
        self.counters.add("pages_in")
        paging.pages[at] = body
        paging.missing -= 1
        paging.size += len(body)
        if paging.size > self.limits.result:
            self._too_large(id, attempt)
        elif not paging.missing:
            self._over(id, attempt, "GOOD", paging.report, tuple(paging.pages))

    def _spoilt(self, id: bytes, attempt: Attempt) -> None:
        """It has run, and what came is no result. The rest of the connection is of no more use."""
        self.counters.add("engine_spoilt")
        self._over(id, attempt, "BAD", {})
        raise InvalidFrameError("an answer that is no result")

    def _too_large(self, id: bytes, attempt: Attempt) -> None:
        """More than a result may hold: memory is bounded, so the attempt has failed after it ran."""
        log.warning("result_too_large", engine=self.pool.name, request=attempt.query.id)
        self.give_up(attempt)
        self.core.complete_attempt(attempt, "BAD")

    def _over(
        self, id: bytes, attempt: Attempt, reason: str, report: dict[str, float], rows: Iterable[bytes] = ()
    ) -> None:
        del self.open[id], self._spans[id]
        self.paging.pop(id, None)
        if reason != "GOOD":  # tried again here, it could be credited with a second copy of this end
            self._stale(id, self.clock.now())
        self._let_go()
        self.core.complete_attempt(attempt, reason, report, rows)


def resp_pools(
    reactor: IReactorTCP, clock: Clock, limits: Limits, counters: Counters, core: Coordinator
) -> EnginePools:
    """The engine port over RESP."""

    def make(pool: EnginePool) -> EngineConnection:
        return EngineConnection(pool, clock, limits, counters, core)

    return EnginePools(EngineDialer(reactor, make, limits), clock, limits, counters, core, limits.engine_connections)
