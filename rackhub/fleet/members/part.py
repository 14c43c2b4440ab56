"""The membership core on a reactor and a UDP socket, as one object that the daemon creates, starts and stops."""

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
ADDRESS_RETRY_DELAY = 250_000  # microseconds between attempts to bind an address in use


class MonotonicClock:
    """Microseconds of this machine's monotonic clock."""

    def now(self) -> int:
        """The time in microseconds."""
        return time.monotonic_ns() // 1_000


class Membership:
    """The membership of this gateway, and the ports that other components use.

    `client_address` is where clients connect to this gateway, as claimed to other members. `add_count` adds to a
    counter of the process.

    `start` opens the socket and raises `OSError`. An address in use may be that of the process which this one replaces,
    so it is retried until it is free, and `fleet_listening` is 0 meanwhile. `leave` announces that this process ends;
    its result fires after a few rounds of gossip. `stop` closes the socket. Both are idempotent.
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
        self._cancel_retry: Callable[[], None] | None = None  # cancels the next attempt to bind
        self._left_result: defer.Deferred[None] | None = None

    def fleet(self) -> Fleet:
        """The ports for components of the fleet."""
        return Fleet(
            self.members, self.gossip_state, self.messenger, self._clock, self._add_count, self.call_later, self._seed
        )

    def start(self) -> None:
        """Open the socket. Raises `OSError` unless the address is merely in use."""
        try:
            self.port.open()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            if self._cancel_retry is None:
                log.warning("fleet: listen: %s; retrying until the address is free", error)
            self._cancel_retry = self.call_later(ADDRESS_RETRY_DELAY, self.start)
            return
        self._cancel_retry, self._running = None, True
        self.step(Tick())

    def leave(self) -> "defer.Deferred[None]":
        """Announce that this process ends. The result fires after a few rounds of gossip."""
        if self._left_result is None:
            self._left_result = defer.Deferred()
            self.step(Leave())
            self.call_later(3 * self.core.context.timing.gossip_interval, self._finish_leaving)
        return self._left_result

    def _finish_leaving(self) -> None:
        if self._left_result is not None and not self._left_result.called:
            self._left_result.callback(None)

    def stop(self) -> Any:
        """Close the socket. The result is a Deferred, or None if it was closed already."""
        self._running = False
        if self._cancel_retry is not None:
            self._cancel_retry()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        return self.port.close()

    def now(self) -> int:
        """Microseconds of the local clock."""
        return self._clock.now()

    def call_later(self, delay: int, call: Callable[[], None]) -> Callable[[], None]:
        """Call `call` after `delay` microseconds. Returns a function that cancels the call."""
        due = self._reactor.callLater(max(delay, 0) / 1_000_000, call)

        def cancel() -> None:
            if due.active():
                due.cancel()

        return cancel

    # ---- running the core

    def step(self, event: Event) -> None:
        """Hand an event to the core and perform the effects."""
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
        """Call a subscriber. Its fault must not keep others from being notified."""
        try:
            call(effect)
        except Exception:
            self.core.context.count("faults")
            log.exception("fleet: a subscriber failed on %s", type(effect).__name__)

    def _store_generation(self, generation: int) -> None:
        try:
            generations.store_generation(self._settings.state, generation)
        except OSError as error:
            self.core.context.count("boot_not_kept")
            log.warning("fleet: state: generation not stored in %s: %s", self._settings.state, error)

    def _handle_datagram(self, data: bytes) -> None:
        if self._running:
            self.step(DatagramReceived(data))

    def _schedule_tick(self) -> None:
        """Set the one timer to the time at which the core is next due."""
        wait = max(0.0, (self.core.due() - self._clock.now()) / 1_000_000)
        if self._timer is None or not self._timer.active():
            self._timer = self._reactor.callLater(wait, self._tick)
        elif abs(self._timer.getTime() - self._reactor.seconds() - wait) > 0.001:
            self._timer.reset(wait)

    def _tick(self) -> None:
        self.step(Tick())

    # ---- metrics

    def published_records(self) -> list[Record]:
        """All records held, with their present age."""
        self.core.context.now = max(self.core.context.now, self._clock.now())
        return list(self.core.records.all())

    def metrics(self) -> Mapping[str, float]:
        """Counters and gauges by name."""
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
