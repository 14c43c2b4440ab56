"""A pure core on mail, clock and timer: messages and ticks go in, its effects are done in order."""

import logging
from collections import Counter, deque
from collections.abc import Callable

import msgspec

from rackhub.fleet.distribution.events import Effect, Event, IncrementCounter, Received, Send, Tick
from rackhub.fleet.distribution.messages import KIND, AnyMessage, decode, encode
from rackhub.fleet.distribution.ports import Core
from rackhub.fleet.ports import Fleet, Name

log = logging.getLogger(__name__)

LEAST_WAIT = 1_000  # microseconds to the next tick, however late a core's time is
MOST_WAIT = 60_000_000
MOST_SENDERS = 256  # counted by name; all others as one
OTHER_SENDERS = "others"


class SenderCounts:
    """How often something was somebody's fault, by counter and sender, for a bounded number of senders."""

    def __init__(self) -> None:
        self._counts = Counter[tuple[str, Name]]()

    def add(self, name: str, sender: Name) -> None:
        known = (name, sender) in self._counts or len(self._counts) < MOST_SENDERS
        self._counts[name, sender if known else OTHER_SENDERS] += 1

    def rows(self) -> list[dict[str, object]]:
        return [
            {"counter": name, "sender": sender, "count": count}
            for (name, sender), count in sorted(self._counts.items())
        ]


class Inbox:
    """Mail of distribution, decoded and given to who takes messages of that type."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._takers: dict[type, Callable[[Name, AnyMessage], None]] = {}
        self.sender_counts = SenderCounts()

    def route(self, types: tuple[type, ...], take: Callable[[Name, AnyMessage], None]) -> None:
        self._takers |= dict.fromkeys(types, take)

    def start(self) -> None:
        self._fleet.messenger.subscribe(KIND, self._mailed)

    def send(self, to: Name, message: AnyMessage) -> None:
        self._fleet.messenger.send(to, KIND, encode(message))

    def count(self, name: str, sender: Name = "") -> None:
        self._fleet.add_count(name, 1)
        if sender:
            self.sender_counts.add(name, sender)

    def _mailed(self, sender: Name, body: bytes) -> None:
        try:
            message = decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return self.count("distribution_unreadable", sender)
        take = self._takers.get(type(message))
        if take is None:
            return self.count("distribution_misdirected", sender)
        take(sender, message)


class CoreRunner:
    """Runs one core. `perform` does its effects other than `Send` and `IncrementCounter`; it may hand in events,
    which are taken after the effects at hand."""

    def __init__(self, fleet: Fleet, inbox: Inbox, core: Core, perform: Callable[[Effect], None]):
        self._fleet, self._inbox, self._core, self._perform = fleet, inbox, core, perform
        self._events: deque[Event] = deque()
        self._running = self._ended = False
        self._wakes_at = -1
        self._cancel: Callable[[], None] = lambda: None

    def start(self) -> None:
        self.dispatch(Tick())

    def stop(self) -> None:
        self._ended = True
        self._cancel()

    def replace(self, core: Core) -> None:
        """Go on with another core; events that wait are its."""
        self._core = core
        self.dispatch(Tick())

    def on_message(self, sender: Name, message: AnyMessage) -> None:
        self.dispatch(Received(sender, message))

    def dispatch(self, event: Event) -> None:
        """One event in, all its effects done on return, unless this is called while another event's are."""
        self._events.append(event)
        if self._running or self._ended:
            return
        self._running = True
        try:
            while self._events and not self._ended:
                self._step(self._events.popleft())
        finally:
            self._running = False
        if not self._ended:
            self._wake()

    def _step(self, event: Event) -> None:
        for effect in self._core.step(self._fleet.clock.now(), event):
            match effect:
                case Send(to, message):
                    self._inbox.send(to, message)
                case IncrementCounter(name, sender):
                    self._inbox.count(name, sender)
                case _:
                    self._perform(effect)

    def _wake(self) -> None:
        now = self._fleet.clock.now()
        at = min(max(self._core.due(), now + LEAST_WAIT), now + MOST_WAIT)
        if at == self._wakes_at:
            return
        self._cancel()
        self._wakes_at = at
        self._cancel = self._fleet.call_later(at - now, self._tick)

    def _tick(self) -> None:
        self._wakes_at = -1
        self.dispatch(Tick())
