"""The shell: the core on a reactor and a socket, as one object that the daemon makes, starts and ends."""

import errno
import logging
import time
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet import defer

from rackhub.address import parse_ipv4_address
from rackhub.fleet.link.limits import Limits
from rackhub.fleet.link.port import UdpPort
from rackhub.fleet.members import generations
from rackhub.fleet.members.context import (
    GenerationRaised,
    MemberChanged,
    MessageReceived,
    OperatorWarning,
    RecordReceived,
    SendDatagram,
)
from rackhub.fleet.members.core import Core
from rackhub.fleet.members.events import DatagramReceived, Event, Leave, Start, Tick
from rackhub.fleet.members.timing import timing_from_settings
from rackhub.fleet.members.views import GossipStateView, MembersView, MessengerView
from rackhub.fleet.ports import Address, Clock, Fleet, Record
from rackhub.fleet.settings import FleetSettings

log = logging.getLogger(__name__)
ADDRESS_RETRY_DELAY = 250_000  # microseconds until an address that is taken is tried again


class MonotonicClock:
    """Microseconds of this machine's monotonic clock."""

    def now(self) -> int:
        return time.monotonic_ns() // 1_000


class Membership:
    """`serves`: where this gateway's clients connect, told to the others. `tally`: adds to a counter of the process.

    `start` opens the socket and raises `OSError`; an address that is taken may be that of the process which this one
    replaces, and is tried again until it is free (`fleet_listening` is 0 so long). `leave` says that this process ends,
    its result comes when the others have been told a few times; `stop` closes. Both are safe to call twice.
    """

    def __init__(
        self,
        reactor: Any,
        settings: FleetSettings,
        client_address: Address | None,
        clock: Clock | None = None,
        seed: int = 0,
        add_count: Callable[[str, int], None] = lambda name, by: None,
        limits: Limits | None = None,
    ):
        self._reactor, self._clock, self._seed, self._add_count = reactor, clock or MonotonicClock(), seed, add_count
        self._settings, self._limits = settings, limits or Limits()
        start = Start(
            settings.cluster,
            settings.name,
            settings.advertised_address,
            generations.next_generation(settings.state),
            client_address,
            settings.site,
            [parse_ipv4_address(text, "join") for text in settings.join],
            seed,
        )
        self.core = Core(start, timing_from_settings(settings), self._limits, self._clock.now())
        self.members = MembersView(self.core)
        self.gossip_state = GossipStateView(self.core, self)
        self.messenger = MessengerView(self, self.core.context.count)
        self.port = UdpPort(reactor, settings.listen_address, self._handle_datagram, self.core.context.count)
        self._timer: Any = None
        self._running = False
        self._cancel_retry: Callable[[], None] | None = None  # cancels the next try of an address that is taken
        self._left_result: defer.Deferred[None] | None = None

    def fleet(self) -> Fleet:
        return Fleet(
            self.members, self.gossip_state, self.messenger, self._clock, self._add_count, self.call_later, self._seed
        )

    def start(self) -> None:
        try:
            self.port.open()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            if self._cancel_retry is None:
                log.warning("fleet: listen: %s: tried again until it is free", error)
            self._cancel_retry = self.call_later(ADDRESS_RETRY_DELAY, self.start)
            return
        self._cancel_retry, self._running = None, True
        self.step(Tick())

    def leave(self) -> "defer.Deferred[None]":
        if self._left_result is None:
            self._left_result = defer.Deferred()
            self.step(Leave())
            self.call_later(3 * self.core.context.timing.gossip_interval, self._finish_leaving)
        return self._left_result

    def _finish_leaving(self) -> None:
        if self._left_result is not None and not self._left_result.called:
            self._left_result.callback(None)

    def stop(self) -> Any:
        self._running = False
        if self._cancel_retry is not None:
            self._cancel_retry()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        return self.port.close()

    def now(self) -> int:
        return self._clock.now()

    def call_later(self, delay: int, call: Callable[[], None]) -> Callable[[], None]:
        """After so many microseconds; gives its cancel."""
        due = self._reactor.callLater(max(delay, 0) / 1_000_000, call)

        def cancel() -> None:
            if due.active():
                due.cancel()

        return cancel

    # ---- the core

    def step(self, event: Event) -> None:
        effects = self.core.step(self._clock.now(), event)
        if self._running:
            self._schedule_tick()
        for effect in effects:
            match effect:
                case SendDatagram(to, data):
                    self.port.send(to, data)
                case MemberChanged():
                    self._notify(self.members.notify_changed, effect)
                case RecordReceived():
                    self._notify(self.gossip_state.notify_record, effect)
                case MessageReceived(sender) if sender == self.members.local_name:
                    self.call_later(0, lambda effect=effect: self._notify(self.messenger.deliver, effect))  # type: ignore[misc]
                case MessageReceived():
                    self._notify(self.messenger.deliver, effect)
                case GenerationRaised(generation):
                    self._store_generation(generation)
                case OperatorWarning(name, fields):
                    self._add_count(f"fleet_{name}", 1)
                    log.warning("fleet: %s: %s", name, " ".join(f"{key}={value!r}" for key, value in fields.items()))

    def _notify(self, call: Callable[[Any], None], effect: Any) -> None:
        """A fault in one part must not keep the others from what happened."""
        try:
            call(effect)
        except Exception:
            self.core.context.count("faults")
            log.exception("fleet: a part failed on %s", type(effect).__name__)

    def _store_generation(self, generation: int) -> None:
        try:
            generations.store_generation(self._settings.state, generation)
        except OSError as error:
            self.core.context.count("boot_not_kept")
            log.warning("fleet: state: %s: %s", self._settings.state, error)

    def _handle_datagram(self, data: bytes) -> None:
        if self._running:
            self.step(DatagramReceived(data))

    def _schedule_tick(self) -> None:
        """One timer, at the core's next time."""
        wait = max(0.0, (self.core.due() - self._clock.now()) / 1_000_000)
        if self._timer is None or not self._timer.active():
            self._timer = self._reactor.callLater(wait, self._tick)
        elif abs(self._timer.getTime() - self._reactor.seconds() - wait) > 0.001:
            self._timer.reset(wait)

    def _tick(self) -> None:
        self.step(Tick())

    # ---- what it counts

    def published_records(self) -> list[Record]:
        """All that stands on the board, with its age at this moment."""
        self.core.context.now = max(self.core.context.now, self._clock.now())
        return list(self.core.records.all())

    def metrics(self) -> Mapping[str, float]:
        collected: dict[str, float] = {f"fleet_{name}": count for name, count in self.core.context.counts.items()}
        members = self.members.all().values()
        for member in members:
            key = f"fleet_members_{member.state.value}"
            collected[key] = collected.get(key, 0) + 1
        collected["fleet_listening"] = int(self._running)
        collected["fleet_health"] = self.core.probing.health.factor
        collected["fleet_news"] = len(self.core.dissemination)
        for name in ("bytes_in", "bytes_out", "packets_in", "packets_out"):
            collected[f"fleet_{name}"] = getattr(self.port, name)
        return collected
