"""The base class of client connections: timeouts, flow control and the half-close, shared by all fronts."""

from typing import TYPE_CHECKING, Any

from rackhub import logs
from rackhub.core.request import Reply
from rackhub.core.timers import DEFER_UNCONDITIONALLY, Timer
from rackhub.net.socket_state import has_peer_closed, unacknowledged_bytes, unread_bytes

if TYPE_CHECKING:
    from rackhub.net.front import Front

log = logs.logger(__name__)

MAX_FAULT_PAUSE_DOUBLINGS = 10


class Client(Reply):
    """One client's connection: timeouts, flow control and the half-close. Each front's protocol is a subclass.

    Times are microseconds of the coordinator's clock; those that end in `_since` or `_at` are 0 while their condition
    does not hold.
    """

    marks = False  # True if the protocol can tell the client that a result is partial, which allows partial results
    transport: Any  # Twisted's TCP connection

    def __init__(self, front: "Front"):
        self.front = front
        self.core = front.core
        self.counters = front.counters
        self.last_used = front.core.clock.now()  # time of connecting, or of the last complete message or answer
        self.incomplete_since = 0  # arrival of the first bytes of an incomplete message
        self.write_blocked_since = 0  # time at which the send buffer became full
        self.fault_pause_until = 0  # end of the pause in reading after faults
        self._fault_pause_timer: Timer | None = None
        self.closed_at = 0  # time at which the writing side was closed
        self.virtual_time = 0  # see `InputScheduler`
        self.input_pending = False  # True while complete messages wait in the buffer
        self._handling_input = False
        self.reading_stopped = False  # True while the transport is paused
        self.unread_input_since = 0  # earliest arrival of input that may still be unread in the socket
        self._reading_stopped_at = 0
        self._check_number = 0  # number of the latest scheduled check for unread input; earlier ones do nothing
        self.has_sent_message = False
        self.awaits_first_read = False  # just connected, so that a request may be unread; only while the front is full
        self.ending = False  # True once no further requests are accepted
        self.faults = 0  # number of invalid messages received

    def has_open_request(self) -> bool:
        """Return whether a request is open on this connection, or received and not handled yet."""
        raise NotImplementedError

    def is_in_use(self) -> bool:
        """Return whether a reset may cost the client an answer.

        A request is open, or may be among the bytes that were received, read here or not; or the client's host has not
        received all answers.
        """
        if self.has_open_request() or self.input_pending or self.unsent_bytes():
            return True
        return unread_bytes(self.transport) > 0 or unacknowledged_bytes(self.transport) > 0

    def buffered_bytes(self) -> int:
        """Return the number of bytes that the connection keeps: input not handled yet, and output not sent yet."""
        return self.unsent_bytes()

    def unsent_bytes(self) -> int:
        """Return the number of bytes in the transport's buffer, which the socket has not accepted yet."""
        transport = self.transport
        unsent: int = len(transport.dataBuffer) - transport.offset + transport._tempDataLen  # noqa: SLF001
        return unsent

    def discard_buffers(self) -> None:
        """Free what an aborted connection keeps at once; the transport would do so in the next event-loop iteration.

        Until then hundreds of connections may have been read, whose memory would add up.
        """
        transport = self.transport
        transport.dataBuffer = b""
        transport.offset = 0
        transport._tempDataBuffer = []  # noqa: SLF001
        transport._tempDataLen = 0  # noqa: SLF001

    # ---- received messages: the front's scheduler decides when they are handled

    def handle_next_message(self) -> int:
        """Handle the next complete message; return its steps (see `input_scheduler`), or 0 if there is none."""
        raise NotImplementedError

    def has_complete_message(self) -> bool:
        """Return whether `handle_next_message` has something to do."""
        raise NotImplementedError

    def has_partial_message(self) -> bool:
        """Return whether the buffer ends in an incomplete message."""
        raise NotImplementedError

    def bytes_received(self, size: int) -> None:
        """Have the messages handled that a read of `size` bytes has completed, now or later."""
        may_be_drained = size < self.front.limits.socket_read_bytes
        if may_be_drained and not self.may_have_unread_input and not self.reading_stopped:
            self.unread_input_since = 0  # all stops so far were short, and the socket is empty
        self.input_pending = self.has_complete_message()
        if not self.input_pending and not self.ending:
            self.record_received(False, self.has_partial_message())
        if self.input_pending and self.reading_stopped and self.is_blocked():
            self._handle_messages(1)  # the read had begun before the pause; no other will before its end
        self.front.input.submit(self)
        if not self.input_pending:
            self.record_read(size)
        self.input_handled()

    def can_handle_input(self) -> bool:
        """Return whether a complete message waits, and reading is not paused for another reason."""
        return self.input_pending and not self.is_blocked()

    def discard_if_gone(self) -> bool:
        """End the connection if its client has closed it: no answer is owed to the messages that wait.

        While they wait the socket is not read, so that the close would be seen only after all of them.
        """
        if not has_peer_closed(self.transport):
            return False
        self.front.end_gone(self)
        return True

    def handle_input(self, max_steps: int) -> int:
        """Handle messages until `max_steps` are reached, none is left, or reading has to be paused; return the steps.

        The input of a connection that was not read for long may be old, and the client's end may be behind it.
        """
        self.may_have_unread_input = self.may_have_unread_input or self.reading_paused
        return self._handle_messages(max_steps)

    def _handle_messages(self, max_steps: int) -> int:
        steps = handled = 0
        self._handling_input = True
        while steps < max_steps and (size := self.handle_next_message()):
            steps += size
            handled += 1
            if self.is_blocked():
                break
        self._handling_input = False
        self.input_pending = self.has_complete_message()
        if not self.ending:
            self.record_received(handled > 0, not self.input_pending and self.has_partial_message())
        return steps

    def input_handled(self) -> None:
        """Count what the connection keeps, and pause or resume reading, after messages were handled."""
        if not self._handling_input:
            self.front.buffers.update(self)
            self.update_reading()
            self.front.input_handled(self)

    def end(self) -> None:
        """Accept no further requests, answer the open ones, then close."""
        raise NotImplementedError

    def drain(self) -> None:
        """Close the connection as the process shuts down.

        A subclass may first accept the requests that the client has already sent. The default, `end`, accepts none.
        """
        self.end()

    def end_with_error(self, why: str) -> None:
        """Send an error if the protocol allows one here, then end the connection."""
        raise NotImplementedError

    def record_received(self, complete: bool, begun: bool) -> None:
        """Record received bytes: `complete` if they complete a message, `begun` if they end in an incomplete one."""
        now = self.core.clock.now()
        if complete:
            self.has_sent_message = True
            self.last_used = now
        if not begun:
            self.incomplete_since = 0
        elif complete or not self.incomplete_since:
            self.incomplete_since = now

    def close(self) -> None:
        """Close the writing side after the last answer.

        Closing both sides with unread input would send a reset, which discards answers that the client has not read.
        Further input is read and discarded until the client closes too; `Front.check_timeouts` limits the wait.
        """
        if not self.closed_at and self in self.front.connections:
            self.ending = True
            self.closed_at = self.core.clock.now()
            log.debug("client_closed", client=self, reason="all requests are answered")
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()

    def __str__(self) -> str:
        """Return the client's address, for the log."""
        peer = self.transport.getPeer()
        return f"{peer.host}:{peer.port}"

    def abort(self) -> None:
        """Reset the connection, discarding unsent answers."""
        self.transport.abortConnection()

    # ---- flow control: by default reading pauses while the send buffer is full, which bounds both buffers

    def pauseProducing(self) -> None:  # noqa: N802
        """Record that the send buffer is full (Twisted)."""
        self.write_blocked_since = self.core.clock.now()
        self.update_reading()

    def resumeProducing(self) -> None:  # noqa: N802
        """Record that the send buffer has been sent (Twisted)."""
        self.write_blocked_since = 0
        self.front.buffers.update(self)
        self.update_reading()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: `connectionLost` handles the loss of the connection (Twisted)."""

    def record_fault(self) -> None:
        """Count an invalid message. The caller answers it with an error.

        After `limits.faults_before_pause` of them, each further one pauses reading for a time that doubles up to
        `limits.max_fault_pause`: clients that send faults at full speed would otherwise take most of the CPU.
        """
        self.faults += 1
        excess = self.faults - self.front.limits.faults_before_pause
        if excess <= 0 or self.ending:
            return
        now = self.core.clock.now()
        timer_runs = now < self.fault_pause_until
        pause = self.front.limits.fault_pause << min(excess - 1, MAX_FAULT_PAUSE_DOUBLINGS)
        self.fault_pause_until = now + min(pause, self.front.limits.max_fault_pause)
        if not timer_runs:
            self.counters.add("clients_slowed")
            self._schedule_fault_pause_check()
            self.update_reading()

    def _schedule_fault_pause_check(self) -> None:
        self._fault_pause_timer = self.core.timers.call_at(self.fault_pause_until, self._check_fault_pause)

    def _check_fault_pause(self) -> None:
        if self.core.clock.now() < self.fault_pause_until:
            self._schedule_fault_pause_check()
        else:
            self.update_reading()

    def connection_ended(self) -> None:
        """Cancel the timer of a lost connection."""
        if self._fault_pause_timer is not None:
            self._fault_pause_timer.cancel()

    def is_blocked(self) -> bool:
        """Return whether no more messages may be handled now, so that reading has to be paused."""
        return not self.ending and (self.write_blocked_since > 0 or self.is_paused_for_faults())

    def should_stop_reading(self) -> bool:
        """Return whether reading has to be paused now: messages wait, or must not be handled."""
        return self.input_pending or self.is_blocked()

    def is_paused_for_faults(self) -> bool:
        """Return whether reading is paused because of faults."""
        return self.core.clock.now() < self.fault_pause_until

    def update_reading(self) -> None:
        """Pause or resume the transport as `should_stop_reading` says. Nothing else pauses or resumes it.

        Messages that waited while reading was paused are handled first.
        """
        if self._handling_input:
            return
        if self.can_handle_input():
            self.front.input.submit(self)  # which calls this method again after it has handled messages
        if self.should_stop_reading() == self.reading_stopped:
            return
        self._check_number += 1
        if self.reading_stopped:
            self.may_have_unread_input = self.may_have_unread_input or self.reading_paused
            self.reading_stopped = False
            self.transport.resumeProducing()
            self._clear_unread_input_after_reads()
        else:
            self._reading_stopped_at = self.core.clock.now()
            self.unread_input_since = self.unread_input_since or self._reading_stopped_at
            self.reading_stopped = True
            self.transport.pauseProducing()

    def expect_first_read(self) -> None:
        """Mark this new connection until it was read once, or had nothing to be read."""
        self.awaits_first_read = True
        self.core.timers.call_after_reads(DEFER_UNCONDITIONALLY, self._first_read_over)

    def _first_read_over(self) -> None:
        self.awaits_first_read = False

    def record_queued_since(self, since: int) -> None:
        """Record that the connection may have waited to be accepted since then, with what its client has sent."""
        self.unread_input_since = since
        self.may_have_unread_input = self.core.clock.now() - since > self.front.limits.late_iteration_delay

    def record_read(self, size: int) -> None:
        """Record that `size` bytes of one read have been handled; after a full read more may be left in the kernel."""
        if size >= self.front.limits.socket_read_bytes:
            self._clear_unread_input_after_reads()
            return
        self.may_have_unread_input = False
        self.unread_input_since = self._reading_stopped_at if self.reading_stopped else 0

    def _clear_unread_input_after_reads(self) -> None:
        """Record that nothing is unread once all sockets have been read, as an empty socket causes no read event."""
        if self.unread_input_since and not self.reading_stopped:
            self._check_number += 1
            self.core.timers.call_after_reads(DEFER_UNCONDITIONALLY, self._clear_unread_input, self._check_number)

    def _clear_unread_input(self, check_number: int) -> None:
        """Record that nothing is unread, unless reading was paused or another check was scheduled meanwhile."""
        if check_number == self._check_number:
            self.may_have_unread_input = False
            self.unread_input_since = 0

    @property
    def reading_paused(self) -> bool:  # type: ignore[override]
        """Whether reading has been paused for so long that a cancel or the close of the client may be unread.

        Pauses up to `limits.late_iteration_delay` don't count, as one answer that fills the send buffer causes a pause
        of one event-loop iteration. The time counts from `unread_input_since`, not from the start of this pause:
        reading can resume and pause again without a read in between. While messages are handled it is open whether
        reading goes on after them: `may_have_unread_input` makes their attempts wait for that.
        """
        unread_for = self.core.clock.now() - self.unread_input_since
        stopped = self.reading_stopped and not self._handling_input
        return stopped and unread_for > self.front.limits.late_iteration_delay
