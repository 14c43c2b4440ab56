"""Runs a pure core on messages, a clock and a timer: passes events to it and performs its effects in order."""

import logging
from collections import Counter, deque
from collections.abc import Callable

import msgspec

from rackhub.fleet.distribution.events import Effect, Event, IncrementCounter, Received, Send, Tick
from rackhub.fleet.distribution.messages import KIND, AnyMessage, decode, encode
from rackhub.fleet.distribution.ports import Core
from rackhub.fleet.ports import Fleet, Name

log = logging.getLogger(__name__)

MIN_TICK_DELAY = 1_000  # shortest delay until the next tick in microseconds, however late the core's due time is
MAX_TICK_DELAY = 60_000_000
MAX_SENDERS = 256  # number of counters that are kept by sender; others are counted under one name
OTHER_SENDERS = "others"


class SenderCounts:
    """Counts faults by counter and sender, for a limited number of senders."""

    def __init__(self) -> None:
        self._counts = Counter[tuple[str, Name]]()

    def add(self, name: str, sender: Name) -> None:
        """Count a fault of a sender."""
        known = (name, sender) in self._counts or len(self._counts) < MAX_SENDERS
        self._counts[name, sender if known else OTHER_SENDERS] += 1

    def rows(self) -> list[dict[str, object]]:
        """Return the counts as rows for `rackhub rules status`."""
        return [
            {"counter": name, "sender": sender, "count": count}
            for (name, sender), count in sorted(self._counts.items())
        ]


class Inbox:
    """Decodes distribution messages and passes each to the handler for its type. Also sends messages."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._handlers: dict[type, Callable[[Name, AnyMessage], None]] = {}
        self.sender_counts = SenderCounts()

    def route(self, types: tuple[type, ...], handler: Callable[[Name, AnyMessage], None]) -> None:
        """Set the handler for messages of these types."""
        self._handlers |= dict.fromkeys(types, handler)

    def start(self) -> None:
        """Subscribe to distribution messages."""
        self._fleet.messenger.subscribe(KIND, self._on_payload)

    def send(self, to: Name, message: AnyMessage) -> None:
        """Encode a message and send it over the link."""
        self._fleet.messenger.send(to, KIND, encode(message))

    def count(self, name: str, sender: Name = "") -> None:
        """Increment a counter, and that of the sender if one is given."""
        self._fleet.add_count(name, 1)
        if sender:
            self.sender_counts.add(name, sender)

    def _on_payload(self, sender: Name, body: bytes) -> None:
        try:
            message = decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return self.count("distribution_unreadable", sender)
        handler = self._handlers.get(type(message))
        if handler is None:
            return self.count("distribution_misdirected", sender)
        handler(sender, message)


class CoreRunner:
    """Runs one core.

    `perform` is called for effects other than `Send` and `IncrementCounter`. It may dispatch events, which are handled
    after the current effects.
    """

    def __init__(self, fleet: Fleet, inbox: Inbox, core: Core, perform: Callable[[Effect], None]):
        self._fleet, self._inbox, self._core, self._perform = fleet, inbox, core, perform
        self._events: deque[Event] = deque()
        self._running = self._stopped = False
        self._timer_at = -1
        self._cancel: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Give the core its first tick."""
        self.dispatch(Tick())

    def stop(self) -> None:
        """Handle no more events and cancel the timer."""
        self._stopped = True
        self._cancel()

    def replace(self, core: Core) -> None:
        """Continue with another core, which also gets the queued events."""
        self._core = core
        self.dispatch(Tick())

    def on_message(self, sender: Name, message: AnyMessage) -> None:
        """Pass a message to the core."""
        self.dispatch(Received(sender, message))

    def dispatch(self, event: Event) -> None:
        """Pass an event to the core and perform all its effects before returning.

        If called while another event is handled, the event is queued behind it.
        """
        self._events.append(event)
        if self._running or self._stopped:
            return
        self._running = True
        try:
            while self._events and not self._stopped:
                self._step(self._events.popleft())
        finally:
            self._running = False
        if not self._stopped:
            self._schedule_tick()

    def _step(self, event: Event) -> None:
        for effect in self._core.step(self._fleet.clock.now(), event):
            match effect:
                case Send(to, message):
                    self._inbox.send(to, message)
                case IncrementCounter(name, sender):
                    self._inbox.count(name, sender)
                case _:
                    self._perform(effect)

    def _schedule_tick(self) -> None:
        now = self._fleet.clock.now()
        at = min(max(self._core.due(), now + MIN_TICK_DELAY), now + MAX_TICK_DELAY)
        if at == self._timer_at:
            return
        self._cancel()
        self._timer_at = at
        self._cancel = self._fleet.call_later(at - now, self._tick)

    def _tick(self) -> None:
        self._timer_at = -1
        self.dispatch(Tick())
