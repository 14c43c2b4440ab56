"""Engines over TCP with RESP: many attempts on a connection, results in pages.

A connection remembers which ids have ended on it without success. A retry of a request has the same id, so an answer
that crossed a cancel, or a late duplicate of a rejection, would be mistaken for the new attempt's: such an id is not
sent on that connection again, and what still comes under it is ignored.
"""

from typing import Any

from rackhub import logs
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Attempt, AttemptState
from rackhub.core.timers import DEFER_UNCONDITIONALLY, Clock
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.outgoing import SocketWriter
from rackhub.net.pool import EngineDialer, EnginePool, EnginePools
from rackhub.net.resp_answers import AnswerReader, ByteRange
from rackhub.net.resp_protocol import InvalidFrameError, encode_command

log = logs.logger(__name__)


class EngineConnection(AnswerReader):
    """One connection to an engine and the attempts on it, by the id of their request.

    States: dialling, up, closing (lost or dropped). Attempts in `open` that are in `_queued` too are not sent: the
    connection is not up for them yet, or the socket is not writable.
    """

    def __init__(self, pool: EnginePool, clock: Clock, limits: Limits, counters: Counters, core: Coordinator):
        super().__init__(pool, clock, limits, counters, core)
        self.unresponsive = False  # a request timed out and nothing was received since it was sent
        self.retired = False
        self._retired_at = 0
        self.used = clock.now()
        self._queued: dict[bytes, int] = {}  # ids in `open` that are not sent -> since when
        self._last_sent_end = 0  # of the request that was sent last, in the bytes of the connection

    # ---- what the pool uses

    def accepts(self, attempt: Attempt) -> bool:
        """Whether a new attempt may go on this connection."""
        self._expire_failed_ids()
        id = attempt.query.id.encode()
        return not (
            self.closed
            or self.unresponsive
            or len(self.open) >= self.limits.max_attempts_per_connection
            or self.is_blocked()
            or id in self.open
            or id in self.failed_ids
        )

    def enqueue(self, attempt: Attempt) -> None:
        """Accept an attempt, which is sent in an event-loop iteration in which the socket is writable."""
        id = attempt.query.id.encode()
        connection: Any = self  # the core does not know the ports' types
        attempt.connection = connection
        attempt.state = AttemptState.QUEUED
        self.open[id] = attempt
        self._queued[id] = self.clock.now()
        if self.up:
            self._out.request_write()

    def is_blocked(self) -> bool:
        """Whether the engine does not read what was sent to it."""
        late = self._queued_since() < self.clock.now() - self.limits.late_iteration_delay
        return self.up and (late or not self._out.has_sent(self._last_sent_end))

    def _queued_since(self) -> int:
        return next(iter(self._queued.values()), self.clock.now())

    def give_up(self, attempt: Attempt) -> None:
        """Cancel an attempt. One that is not open on this connection is ignored."""
        id = attempt.query.id.encode()
        if self.open.pop(id, None) is None:
            return
        self._queued.pop(id, None)
        sent_range = self._sent_ranges.pop(id, None)
        if sent_range is not None and self.up and not self.closed:
            if not self._out.has_sent(sent_range.end):  # its rest would be sent some time, and start what is cancelled
                self._abort("a request given up that has left in part")
                return
            self._out.write(encode_command(b"shut" if id in self.partial_results else b"never_mind", id))
            self._attempt_failed(id)
            self._check_responsive(attempt)
        self.partial_results.pop(id, None)
        self._attempt_removed()

    def _check_responsive(self, cancelled: Attempt) -> None:
        """Detect a host that has vanished, which gives no sign.

        Otherwise all that follows would wait on the dead connection for its deadline, where a new connection fails in
        the time to dial and proves that nothing ran.
        """
        waited = self.clock.now() - cancelled.sent_at
        nothing_received = self.last_received <= cancelled.sent_at
        if nothing_received and waited >= self.limits.unresponsive_timeout and not self.unresponsive:
            self.unresponsive = True
            self.counters.add("silent_connections")

    def promote(self, attempt: Attempt) -> None:
        """Notify the engine of an attempt's new priority, if it is sent and has no result yet."""
        id = attempt.query.id.encode()
        if self.up and not self.closed and id in self._sent_ranges and id not in self.partial_results:
            self._out.write(encode_command(b"promote", id, b"%d" % attempt.query.priority))

    def close_if_idle(self) -> None:
        """Close the connection if no attempt is open on it."""
        if self.up and not self.closed and not self.open:
            self.closed = True
            log.debug("engine_connection_closed", engine=self.pool.name, reason="retired" if self.retired else "idle")
            self.transport.loseConnection()

    def idle_since(self) -> int:
        """Return when the connection was used last, in microseconds."""
        return self.used

    def load(self) -> int:
        """Return the number of open attempts."""
        return len(self.open)

    def retire(self) -> None:
        """Accept nothing new: what is not sent goes elsewhere, what is in flight ends, then it closes."""
        self.retired = True
        self._retired_at = self.clock.now()
        for id in list(self._queued):
            if id in self._queued:  # the end of one may have ended others
                self._return_unsent(id, "the engine takes nothing new")
        self.close_if_idle()

    def check_timeouts(self, now: int) -> None:
        """Drop a connection on which a frame has stopped half way, as all that is open on it waits behind that frame.

        Also one whose engine does not read the last bytes; and return what could not be sent in time.
        """
        if self.closed and now - self.used > self.limits.linger_timeout:
            self.drop()
        if self.up and not self.closed:
            self._return_timed_out(now)
            # what the kernel holds for an engine that does not read would reach it whenever it reads again
            retired_long = self.retired and now - self._retired_at >= self.limits.retired_send_timeout
            if retired_long and self._has_unacknowledged():
                self._abort("the engine takes nothing new and has not taken what was sent")
        if self.incomplete_since and now - self.incomplete_since > self.limits.frame_timeout and not self.closed:
            self.malformed(InvalidFrameError("a frame that stops half way"))

    def connect_failed(self) -> None:
        """End what waited for the connection, which failed or was cancelled: none of it was ever sent."""
        self.closed = True
        self._end_all()

    # ---- the end of attempts and of the connection

    def _return_unsent(self, id: bytes, why: str) -> None:
        """End an attempt of which nothing was sent, and nothing will be."""
        del self._queued[id]
        attempt = self.open.pop(id)
        log.debug("attempt_returned", request=attempt.query.id, engine=self.pool.name, reason=why)
        self.core.complete_attempt(attempt, "NOCONN")

    def _return_timed_out(self, now: int) -> None:
        """Return what the socket did not accept for too long, as after a dial that times out."""
        for id, since in list(self._queued.items()):
            if id in self._queued and now - since >= self.limits.unwritable_timeout:
                self._return_unsent(id, "the engine takes no bytes")

    def _has_unacknowledged(self) -> bool:
        """Whether an open attempt may still have to reach the engine, as its first byte is not acknowledged."""
        acknowledged = self._out.bytes_written - self._out.unacknowledged_bytes()
        return any(sent_range.begin >= acknowledged for sent_range in self._sent_ranges.values())

    def _abort(self, why: str) -> None:
        """Close at once, discarding what the process and the kernel hold."""
        log.info("engine_connection_aborted", engine=self.pool.name, open=len(self.open), reason=why)
        self.counters.add("engine_cuts")
        self.closed = True
        self.drop()

    def _attempt_removed(self) -> None:
        self.used = self.clock.now()
        if self.unresponsive and not self.open:
            self.closed = True
            self.drop()
        elif self.retired:
            self.close_if_idle()

    def _end_all(self) -> None:
        ended = [(attempt, self.surely_not_executed(id)) for id, attempt in self.open.items()]
        self.open.clear()
        self._queued.clear()
        self._sent_ranges.clear()
        self.partial_results.clear()
        for attempt, not_executed in ended:
            self.core.complete_attempt(attempt, "NOCONN" if not_executed else "RST")

    # ---- sending

    def _writable(self) -> None:
        """Send what is queued; after a late event-loop iteration only after reading, as a client may have left."""
        if self.clock.now() - self._queued_since() > self.limits.late_iteration_delay:
            self.core.timers.call_after_reads(self.limits.late_iteration_delay, self._send_queued)
        else:
            self._send_queued()

    def _send_queued(self) -> None:
        """Send what is queued and may still be sent, until the socket accepts no more."""
        unread = False  # whether an attempt waits for what is still to be read of its client
        for id in list(self._queued):
            if self.closed or self._out.buffered_bytes():
                break
            attempt = self.open.get(id)
            if attempt is None or id not in self._queued:  # the end of one may have ended others
                continue
            if why := attempt.send_blocked_by(self.clock.now(), self.core.lease):
                self._return_blocked(id, attempt, why)
            elif attempt.query.reply.may_have_unread_input:
                unread = True
            elif not self._send(id, attempt):
                break
        if unread:
            self.core.timers.call_after_reads(DEFER_UNCONDITIONALLY, self._request_write)
        else:
            self._request_write()

    def _request_write(self) -> None:
        if self._queued and not self.closed:
            self._out.request_write()

    def _return_blocked(self, id: bytes, attempt: Attempt, why: str) -> None:
        del self.open[id]
        del self._queued[id]
        log.debug("attempt_blocked", request=attempt.query.id, engine=self.pool.name, reason=why)
        self.core.complete_attempt(attempt, why)

    def _send(self, id: bytes, attempt: Attempt) -> bool:
        query = attempt.query
        now = self.clock.now()
        left_ms = max((query.deadline - now) // 1_000, 1)
        fields = b"profile=%s,max=%d,level=%d" % (query.cls.encode(), left_ms, query.priority)
        if query.idempotency_key:
            fields += b",replay=" + query.idempotency_key.encode()
        begin = self._out.bytes_written
        if not self._out.send(b"".join(encode_command(b"want", id, fields, query.statement))):
            return False
        del self._queued[id]
        attempt.state = AttemptState.IN_FLIGHT
        self.used = now
        self._last_sent_end = self._out.bytes_written
        self._sent_ranges[id] = ByteRange(begin, self._last_sent_end)
        log.debug(
            "attempt_written",
            request=query.id,
            attempt=attempt.number,
            engine=self.pool.name,
            left_ms=left_ms,
            buffered_bytes=self._out.buffered_bytes(),
        )
        return True

    # ---- Twisted

    def connectionMade(self) -> None:  # noqa: N802
        """Start to send, once what had come before the connection is read (Twisted)."""
        self.last_received = self.clock.now()
        log.debug("engine_connected", engine=self.pool.name, waiting=len(self.open))
        self.transport.setTcpNoDelay(True)
        self._out = SocketWriter(self.transport, self._writable)
        for id, attempt in list(self.open.items()):
            if why := attempt.send_blocked_by(self.last_received, self.core.lease):  # it waited too long for this
                self._return_blocked(id, attempt, why)
        self.core.timers.call_after_reads(self.limits.late_iteration_delay, self._opened)

    def _opened(self) -> None:
        if self.closed:  # lost meanwhile, or what came on it was no answer
            self.transport.abortConnection()
            return
        self.up = True
        if self._queued:
            self._queued = dict.fromkeys(self._queued, self.clock.now())
            self._out.request_write()
        elif self.retired:
            self.close_if_idle()

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """End what is open on the connection (Twisted)."""
        log.debug("engine_connection_lost", engine=self.pool.name, open=len(self.open), reason=reason)
        if self.open:
            self.counters.add("engine_losses")
        self.up = False
        self.closed = True
        self.pool.connection_closed(self)
        if any(map(self.surely_not_executed, self.open)):
            self.counters.add("engine_lost_unwritten")
        self._end_all()


def resp_pools(reactor: Any, clock: Clock, limits: Limits, counters: Counters, core: Coordinator) -> EnginePools:
    """Return the engine port over RESP; `reactor` provides Twisted's `IReactorTCP`."""

    def make(pool: EnginePool) -> EngineConnection:
        """Return a connection that is not up yet."""
        return EngineConnection(pool, clock, limits, counters, core)

    return EnginePools(
        EngineDialer(reactor, make, limits), clock, limits, counters, core, limits.max_connections_per_engine
    )
