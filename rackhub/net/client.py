"""One client's connection as all fronts treat it: its timeouts, flow control and half-close."""

from typing import TYPE_CHECKING, Any

from rackhub import logs
from rackhub.core.request import Reply
from rackhub.core.timers import DEFER_UNCONDITIONALLY

if TYPE_CHECKING:
    from rackhub.net.front import Front

log = logs.logger(__name__)

MAX_FAULT_PAUSE_DOUBLINGS = 10


class Client(Reply):
    """One client's connection: timeouts, flow control and the half-close. The front's protocol fills in the rest.

    `incomplete_since` is when a message began that is not complete yet, `write_blocked_since` when the client stopped
    reading what is written to it, `closed_at` when the writing side was closed, `unread_input_since` since when bytes
    of the client may lie unread; 0: it is not so.
    """

    marks = False  # whether it can answer that a result is partial: see `core.request.Reply`
    transport: Any  # Twisted's TCP connection

    def __init__(self, front: "Front"):
        self.front = front
        self.core = front.core
        self.counters = front.counters
        self.last_used = front.core.clock.now()  # when it connected, or last sent or received a complete message
        self.incomplete_since = 0
        self.write_blocked_since = 0
        self.fault_pause_until = 0  # not read from before then
        self.closed_at = 0
        self.reading_stopped = False
        self.unread_input_since = 0
        self._reading_stopped_at = 0
        self._reading_changes = 0
        self.has_sent_message = False
        self.ending = False
        self.faults = 0  # invalid messages received

    def has_open_request(self) -> bool:
        """Whether a request is open on it."""
        raise NotImplementedError

    def end(self) -> None:
        """Accept no more from now on, answer what is open, then close."""
        raise NotImplementedError

    def drain(self) -> None:
        """Close gracefully as the process ends: accept what is on its way, answer it, then close.

        The same as `end` where the protocol has no better way.
        """
        self.end()

    def end_with_error(self, why: str) -> None:
        """Answer with an error, where the protocol has a place for one, then end the connection."""
        raise NotImplementedError

    def record_received(self, complete: bool, begun: bool) -> None:
        """Record that bytes came: whether a `complete` message was among them, and whether one has `begun` after it."""
        now = self.core.clock.now()
        if complete:
            self.has_sent_message = True
            self.last_used = now
        if not begun:
            self.incomplete_since = 0
        elif complete or not self.incomplete_since:
            self.incomplete_since = now

    def close(self) -> None:
        """Close the writing side, once all that is owed is written.

        A full close over bytes that are not read yet is a reset, which discards the answer written before it. What
        still comes is read and discarded until the client closes too; `Front.check_timeouts` bounds the wait.
        """
        if not self.closed_at and self in self.front.connections:
            self.ending = True
            self.closed_at = self.core.clock.now()
            log.debug("client_closed", client=self, reason="all is answered")
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()

    def __str__(self) -> str:
        """Return the client's address, for the log."""
        peer = self.transport.getPeer()
        return f"{peer.host}:{peer.port}"

    def abort(self) -> None:
        """Close at once, with nothing owed."""
        self.transport.abortConnection()

    # ---- flow control: a client that does not read is not read from either, which bounds both buffers

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading while the client does not read its answers (Twisted)."""
        self.write_blocked_since = self.core.clock.now()
        self.update_reading()

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on reading, as the client has read its answers (Twisted)."""
        self.write_blocked_since = 0
        self.update_reading()

    def stopProducing(self) -> None:  # noqa: N802
        """Ignore the loss of the connection, which `connectionLost` handles (Twisted)."""

    def record_fault(self) -> None:
        """Record an invalid message, which was answered.

        A few have no consequence; after each further one the client is not read from for a while, which doubles, as
        clients that send them at full speed would take most of the CPU.
        """
        self.faults += 1
        excess = self.faults - self.front.limits.faults_before_pause
        if excess <= 0 or self.ending:
            return
        now = self.core.clock.now()
        penalised = now < self.fault_pause_until  # then its timer is running
        doubled = self.front.limits.fault_pause << min(excess - 1, MAX_FAULT_PAUSE_DOUBLINGS)
        self.fault_pause_until = now + min(doubled, self.front.limits.max_fault_pause)
        if not penalised:
            self.counters.add("clients_slowed")
            self.core.timers.call_at(self.fault_pause_until, self._check_penalty)
            self.update_reading()

    def _check_penalty(self) -> None:
        if self.core.clock.now() < self.fault_pause_until:
            self.core.timers.call_at(self.fault_pause_until, self._check_penalty)
        else:
            self.update_reading()

    def should_stop_reading(self) -> bool:
        """Whether it is not to be read from now."""
        return not self.ending and (self.write_blocked_since > 0 or self.is_paused_for_faults())

    def is_paused_for_faults(self) -> bool:
        """Whether it is not read from for its invalid messages."""
        return self.core.clock.now() < self.fault_pause_until

    def update_reading(self) -> None:
        """Stop reading or go on, as it should be now. Nothing else pauses or resumes the transport."""
        if self.should_stop_reading() == self.reading_stopped:
            return
        self._reading_changes += 1
        if self.reading_stopped:
            self.may_have_unread_input = self.may_have_unread_input or self.reading_paused
            self.reading_stopped = False
            self.transport.resumeProducing()
            self._expect_reads()
        else:
            self._reading_stopped_at = self.core.clock.now()
            self.unread_input_since = self.unread_input_since or self._reading_stopped_at
            self.reading_stopped = True
            self.transport.pauseProducing()

    def record_read(self, size: int) -> None:
        """Record that a read of `size` bytes has been handled; a full one may have left more in the kernel."""
        if size >= self.front.limits.socket_read_bytes:
            self._expect_reads()
            return
        self.may_have_unread_input = False
        self.unread_input_since = self._reading_stopped_at if self.reading_stopped else 0

    def _expect_reads(self) -> None:
        """Find out whether all is read, as a client that has sent nothing shows by no read."""
        if self.unread_input_since and not self.reading_stopped:
            self._reading_changes += 1
            self.core.timers.call_after_reads(DEFER_UNCONDITIONALLY, self._reads_made, self._reading_changes)

    def _reads_made(self, reading_changes: int) -> None:
        """The event loop has read all sockets: unless reading stopped or a full read came since, nothing is unread."""
        if reading_changes == self._reading_changes:
            self.may_have_unread_input = False
            self.unread_input_since = 0

    @property
    def reading_paused(self) -> bool:  # type: ignore[override]
        """Whether a cancel or the client's close may be unread.

        One answer that fills the buffer stops the reading for an event-loop iteration, which does not count. A stop
        over bytes that were unread before counts from then on: reading may go on and stop again without any read.
        """
        unread_for = self.core.clock.now() - self.unread_input_since
        return self.reading_stopped and unread_for > self.front.limits.late_iteration_delay
