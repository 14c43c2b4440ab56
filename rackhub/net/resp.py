"""Connections to engines by RESP over TCP, with many attempts on a connection and results in pages.

A retry of a request has the same id, so an answer that crossed a cancel, or a late duplicate of a rejection, would be
mistaken for an answer to the new attempt. So the ids that ended on a connection without success are remembered (see
`failed_ids`) and not sent on it again, and answers to them are ignored.
"""

from typing import Any

from rackhub import logs
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Attempt, AttemptState
from rackhub.core.timers import DEFER_UNCONDITIONALLY, Clock
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.failed_ids import FailedIds
from rackhub.net.outgoing import SocketWriter
from rackhub.net.pool import EngineDialer, EnginePool, EnginePools
from rackhub.net.resp_answers import AnswerReader, ByteRange
from rackhub.net.resp_protocol import InvalidFrameError, encode_command

log = logs.logger(__name__)


class EngineConnection(AnswerReader):
    """One connection to an engine and the attempts on it, by request id.

    `up` means that the connection is established, `closed` that it accepts no attempts, is closing or is lost. While
    neither is set, the connection is dialled. Attempts that are both in `open` and in `_queued` are not sent yet,
    because the connection is not up or the socket is not writable.
    """

    def __init__(
        self,
        pool: EnginePool,
        clock: Clock,
        limits: Limits,
        counters: Counters,
        core: Coordinator,
        failed_ids: FailedIds | None = None,
    ):
        super().__init__(pool, clock, limits, counters, core, failed_ids)
        self.unresponsive = False  # set by `_check_responsive`; no further attempts are accepted then
        self.retired = False
        self._retired_at = 0
        self.last_used = clock.now()
        self._queued: dict[bytes, int] = {}  # the ids in `open` that are not sent -> time of queueing
        self._last_sent_end = 0  # end of the request sent last, as an offset in the bytes sent on the connection

    # ---- used by the pool

    def accepts(self, attempt: Attempt) -> bool:
        """Return whether a new attempt may use this connection."""
        id = attempt.query.id.encode()
        return not (
            self.closed
            or self.unresponsive
            or len(self.open) >= self.limits.max_attempts_per_connection
            or self.is_blocked()
            or id in self.open
            or self.has_failed(id, attempt)
        )

    def enqueue(self, attempt: Attempt) -> None:
        """Accept an attempt, which is sent in an event-loop iteration in which the socket is writable."""
        id = attempt.query.id.encode()
        connection: Any = self  # `Attempt.connection` is untyped, as the core is independent of the ports
        attempt.connection = connection
        attempt.state = AttemptState.QUEUED
        self.open[id] = attempt
        self._queued[id] = self.clock.now()
        if self.up:
            self._out.request_write()

    def is_blocked(self) -> bool:
        """Return whether sending is blocked, for example because the engine does not read.

        That is so if the last request is not completely handed to the kernel, or the oldest queued attempt has waited
        longer than `limits.late_iteration_delay`.
        """
        waits_long = self._queued_since() < self.clock.now() - self.limits.late_iteration_delay
        return self.up and (waits_long or not self._out.has_sent(self._last_sent_end))

    def _queued_since(self) -> int:
        """Return when the oldest queued attempt was queued, or the present time if there is none."""
        return next(iter(self._queued.values()), self.clock.now())

    def give_up(self, attempt: Attempt) -> None:
        """Cancel an attempt. One that is not open on this connection is ignored."""
        id = attempt.query.id.encode()
        if self.open.pop(id, None) is None:
            return
        self._queued.pop(id, None)
        sent_range = self._sent_ranges.pop(id, None)
        if sent_range is not None and self.up and not self.closed:
            # The transport would still send the rest of a request sent in part, and the engine would execute it.
            if not self._out.has_sent(sent_range.end):
                self._abort("an attempt was cancelled after a part of its request was sent")
                return
            self._out.write(encode_command(b"shut" if id in self.partial_results else b"never_mind", id))
            self._attempt_failed(id, attempt)
            self._check_responsive(attempt)
        self.partial_results.pop(id, None)
        self._attempt_removed()

    def _check_responsive(self, cancelled: Attempt) -> None:
        """Mark the connection as unresponsive if nothing has been received since the cancelled attempt was sent.

        That attempt must have been sent at least `limits.unresponsive_timeout` ago; the engine's host may be down.
        Otherwise further attempts would wait on this connection until their deadlines. On a new connection to a host
        that is down, the dial times out, so its attempts are known not to have been executed.
        """
        waited = self.clock.now() - cancelled.sent_at
        nothing_received = self.last_received <= cancelled.sent_at
        if nothing_received and waited >= self.limits.unresponsive_timeout and not self.unresponsive:
            self.unresponsive = True
            self.counters.add("silent_connections")

    def promote(self, attempt: Attempt) -> None:
        """Notify the engine of an attempt's new priority if it is sent and has no result yet."""
        id = attempt.query.id.encode()
        if self.up and not self.closed and id in self._sent_ranges and id not in self.partial_results:
            self._out.write(encode_command(b"hurry", id, b"%d" % attempt.query.priority))

    def close_if_idle(self) -> None:
        """Close the connection if no attempt is open on it."""
        if self.up and not self.closed and not self.open:
            self.closed = True
            log.debug("engine_connection_closed", engine=self.pool.name, reason="retired" if self.retired else "idle")
            self.transport.loseConnection()

    def idle_since(self) -> int:
        """Return the time of the last use of the connection, in microseconds."""
        return self.last_used

    def load(self) -> int:
        """Return the number of open attempts."""
        return len(self.open)

    def retire(self) -> None:
        """Accept no attempts, return those not sent yet, and close when those in flight have ended."""
        self.retired = True
        self._retired_at = self.clock.now()
        for id in list(self._queued):
            if id in self._queued:  # Completing an attempt may make the policy cancel others.
                self._complete_unsent(id, "the connection is retired")
        self.close_if_idle()

    def check_timeouts(self, now: int) -> None:
        """Complete attempts that could not be sent in time, and reset the connection if it has timed out.

        It is reset if its close takes longer than `limits.linger_timeout`, or if a frame stays incomplete for
        `limits.frame_timeout`, as all open attempts wait behind that. It is also reset if it is retired and a request
        is unacknowledged after `limits.retired_send_timeout`, as the request could reach the engine much later.
        """
        if self.closed and now - self.last_used > self.limits.linger_timeout:
            self.drop()
        if self.up and not self.closed:
            self._complete_timed_out(now)
            retired_long = self.retired and now - self._retired_at >= self.limits.retired_send_timeout
            if retired_long and self._has_unacknowledged():
                self._abort("the connection is retired and its engine has not acknowledged a request in time")
        if self.incomplete_since and now - self.incomplete_since > self.limits.frame_timeout and not self.closed:
            self.malformed(InvalidFrameError("a frame that was not complete in time"))

    def connect_failed(self) -> None:
        """End the queued attempts, none of which was sent, as the dial failed or was cancelled."""
        self.closed = True
        self._end_all()

    # ---- ends of attempts and of the connection

    def _complete_unsent(self, id: bytes, reason: str) -> None:
        """Complete an unsent attempt with NOCONN, so that the request may be sent to another engine."""
        del self._queued[id]
        attempt = self.open.pop(id)
        log.debug("attempt_returned", request=attempt.query.id, engine=self.pool.name, reason=reason)
        self.core.complete_attempt(attempt, "NOCONN")

    def _complete_timed_out(self, now: int) -> None:
        """Complete the attempts for which the socket was not writable in time, with the outcome of a timed-out dial."""
        for id, since in list(self._queued.items()):
            if id in self._queued and now - since >= self.limits.unwritable_timeout:
                self._complete_unsent(id, "the socket was not writable in time")

    def _has_unacknowledged(self) -> bool:
        """Return whether an open attempt may not have reached the engine, as its first byte is not acknowledged."""
        acknowledged = self._out.bytes_written - self._out.unacknowledged_bytes()
        return any(sent_range.begin >= acknowledged for sent_range in self._sent_ranges.values())

    def _abort(self, reason: str) -> None:
        """Log, count and reset the connection, discarding unsent bytes of the process and the kernel."""
        log.info("engine_connection_aborted", engine=self.pool.name, open=len(self.open), reason=reason)
        self.counters.add("engine_cuts")
        self.closed = True
        self.drop()

    def _attempt_removed(self) -> None:
        self.last_used = self.clock.now()
        if self.unresponsive and not self.open:
            self.closed = True
            self.drop()
        elif self.retired:
            self.close_if_idle()

    def _end_all(self) -> None:
        """Complete all open attempts: with NOCONN if they surely were not executed, else with RST."""
        ended = [(attempt, self.surely_not_executed(id)) for id, attempt in self.open.items()]
        self.open.clear()
        self._queued.clear()
        self._sent_ranges.clear()
        self.partial_results.clear()
        for attempt, not_executed in ended:
            self.core.complete_attempt(attempt, "NOCONN" if not_executed else "RST")

    # ---- sending

    def _on_writable(self) -> None:
        """Send the queued attempts.

        If the oldest one has waited longer than `limits.late_iteration_delay`, the sockets of clients are read first:
        attempts of clients that have disconnected must not be sent.
        """
        if self.clock.now() - self._queued_since() > self.limits.late_iteration_delay:
            self.core.timers.call_after_reads(self.limits.late_iteration_delay, self._send_queued)
        else:
            self._send_queued()

    def _send_queued(self) -> None:
        """Send the queued attempts that may still be sent, until the socket accepts no more."""
        waits_for_client_input = False  # True if an attempt waits until the input of its client has been read
        for id in list(self._queued):
            if self.closed or self._out.buffered_bytes():
                break
            attempt = self.open.get(id)
            if attempt is None or id not in self._queued:  # Completing an attempt may make the policy cancel others.
                continue
            if outcome := attempt.send_blocked_by(self.clock.now(), self.core.lease):
                self._complete_blocked(id, attempt, outcome)
            elif attempt.query.reply.may_have_unread_input:
                waits_for_client_input = True
            elif not self._send(id, attempt):
                break
        if waits_for_client_input:
            self.core.timers.call_after_reads(DEFER_UNCONDITIONALLY, self._request_write)
        else:
            self._request_write()

    def _request_write(self) -> None:
        if self._queued and not self.closed:
            self._out.request_write()

    def _complete_blocked(self, id: bytes, attempt: Attempt, outcome: str) -> None:
        """Complete an attempt that must not be sent, with this outcome."""
        del self.open[id]
        del self._queued[id]
        log.debug("attempt_blocked", request=attempt.query.id, engine=self.pool.name, reason=outcome)
        self.core.complete_attempt(attempt, outcome)

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
        self.last_used = now
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
        """Prepare for sending (Twisted).

        If the event loop is late, sending starts only after the sockets of clients have been read, as a client may have
        disconnected meanwhile.
        """
        self.last_received = self.clock.now()
        log.debug("engine_connected", engine=self.pool.name, waiting=len(self.open))
        self.transport.setTcpNoDelay(True)
        self._out = SocketWriter(self.transport, self._on_writable)
        for id, attempt in list(self.open.items()):
            # The dial may have outlasted `Attempt.send_by` or the endpoint lease.
            if outcome := attempt.send_blocked_by(self.last_received, self.core.lease):
                self._complete_blocked(id, attempt, outcome)
        self.core.timers.call_after_reads(self.limits.late_iteration_delay, self._opened)

    def _opened(self) -> None:
        if self.closed:  # lost meanwhile, or dropped after malformed input
            self.transport.abortConnection()
            return
        self.up = True
        if self._queued:
            # The time of dialling does not count towards `limits.unwritable_timeout`.
            self._queued = dict.fromkeys(self._queued, self.clock.now())
            self._out.request_write()
        elif self.retired:
            self.close_if_idle()

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """End the open attempts (Twisted)."""
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
    failed_ids = FailedIds(clock, limits)

    def make(pool: EnginePool) -> EngineConnection:
        """Return an unconnected link."""
        return EngineConnection(pool, clock, limits, counters, core, failed_ids)

    return EnginePools(
        EngineDialer(reactor, make, limits), clock, limits, counters, core, limits.max_connections_per_engine
    )
