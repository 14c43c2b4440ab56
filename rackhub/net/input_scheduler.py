"""Shares the work on received messages fairly among all client connections, with a limit for each event-loop iteration.

Without a limit one iteration handles a full read of every connection. A hundred clients that send small messages at
full speed then make iterations of seconds, in which nobody else's request is read and no timer is called.

The work is counted in steps: one for each message, and one for each `BYTES_PER_STEP` of it. Input is handled as it
arrives while steps are left. The rest waits in its connection, which is not read meanwhile, and is handled in the next
iterations by start-time fair queueing (Goyal, Vin and Cheng, 1996): each connection has a virtual time, which advances
by the steps of its messages, and the connection with the earliest one is next. A connection that was idle starts at the
present virtual time. So a client that sends little is handled before what others have sent in excess.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Protocol

from rackhub import logs

log = logs.logger(__name__)

BYTES_PER_STEP = 1_024
STEPS_PER_TURN = 16  # steps of one connection before the others have their turn


def message_steps(size: int) -> int:
    """Return the steps of a message of `size` bytes."""
    return 1 + size // BYTES_PER_STEP


class InputSource(Protocol):
    """A connection with received messages that are not handled yet."""

    virtual_time: int  # the steps of all connections at which its next turn begins; kept for the scheduler

    def handle_input(self, max_steps: int) -> int:
        """Handle messages until `max_steps` are reached; return the steps, of which the last message may be in excess.

        The message that is being handled is completed, so that at least one is handled.
        """

    def can_handle_input(self) -> bool:
        """Return whether a received message waits that may be handled now."""

    def discard_if_gone(self) -> bool:
        """Drop the messages that wait if the client has closed the connection meanwhile; return whether it has."""

    def input_handled(self) -> None:
        """Called after each turn, when `can_handle_input` tells whether there will be another one."""

    def abort(self) -> None:
        """Reset the connection, as the handling of its messages has failed."""


class InputScheduler:
    """Decides whose received messages are handled next, and how many in one event-loop iteration."""

    def __init__(self, call_in_next_iteration: Callable[[Callable[[], None]], object], max_steps: int) -> None:
        """`max_steps` is the limit for each iteration; the last message may exceed it."""
        self._call_in_next_iteration = call_in_next_iteration
        self._max_steps = max_steps
        self._left = max_steps  # steps that are left in this iteration
        self._virtual_time = 0
        self._queue: list[tuple[int, int, InputSource]] = []  # heap of (virtual time, order of arrival, connection)
        self._queued: set[InputSource] = set()
        self._order = itertools.count()
        self._run_requested = False

    def submit(self, source: InputSource) -> None:
        """Handle the messages of a connection: now if steps are left and no other connection waits, else later.

        A connection that is waiting already keeps its place.
        """
        if source in self._queued or not source.can_handle_input():
            return
        source.virtual_time = max(source.virtual_time, self._virtual_time)
        if self._queue or self._left <= 0:
            self._enqueue(source)
        else:
            self._handle(source, self._left)
        if self._left <= 0 or self._queue:
            self._request_run()

    def remove(self, source: InputSource) -> None:
        """Forget a connection that is lost; its place in the queue is skipped."""
        self._queued.discard(source)

    def _enqueue(self, source: InputSource) -> None:
        self._queued.add(source)
        heapq.heappush(self._queue, (source.virtual_time, next(self._order), source))

    def _handle(self, source: InputSource, max_steps: int) -> None:
        """Give a connection a turn of up to `max_steps`, and queue it if it has more messages."""
        self._virtual_time = max(self._virtual_time, source.virtual_time)
        steps = source.handle_input(max_steps)
        self._left -= steps
        source.virtual_time += steps
        if source.can_handle_input():
            self._enqueue(source)
        elif not self._queue:  # nobody waits: all connections begin again at the same virtual time
            self._virtual_time = max(self._virtual_time, source.virtual_time)
        source.input_handled()

    def _request_run(self) -> None:
        if not self._run_requested:
            self._run_requested = True
            self._call_in_next_iteration(self._run)

    def _run(self) -> None:
        """Handle what waits, up to the limit of this iteration, which begins now."""
        self._run_requested = False
        self._left = self._max_steps
        while self._queue and self._left > 0:
            _, _, source = heapq.heappop(self._queue)
            if source in self._queued:
                self._queued.discard(source)
                self._handle_queued(source)
        if self._queue or self._left <= 0:
            self._request_run()

    def _handle_queued(self, source: InputSource) -> None:
        try:
            if source.discard_if_gone():
                self._left -= 1
            elif source.can_handle_input():
                self._handle(source, min(STEPS_PER_TURN, self._left))
            else:  # reading was paused meanwhile, for another reason
                source.input_handled()
        except Exception:  # the other connections must still have their turn
            log.exception("input_failed", client=source)
            source.abort()
