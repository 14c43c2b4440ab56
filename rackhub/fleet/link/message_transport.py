"""The shell of an association: a UDP socket, one timer, and the port for mail that the parts of a fleet use."""

import logging
import time
from collections.abc import Callable, Mapping
from typing import Any

from rackhub.fleet.link.association import Association, DatagramReceivedFrom, Event
from rackhub.fleet.link.limits import Limits
from rackhub.fleet.link.port import UdpPort
from rackhub.fleet.members.context import MessageReceived, SendDatagram
from rackhub.fleet.members.events import SendMessage, Tick
from rackhub.fleet.ports import Address, Clock, Name

log = logging.getLogger(__name__)
TIMER_TOLERANCE = 0.001  # seconds by which a timer may be off before it is set anew


class SourceAwareUdpPort(UdpPort):
    """A socket that hands on whence a datagram came, too."""

    def __init__(
        self, reactor: Any, bind: Address, handler: Callable[[bytes, Address], None], count: Callable[[str], None]
    ):
        super().__init__(reactor, bind, self._reject_unsourced, count)
        self._source_handler = handler

    def _reject_unsourced(self, data: bytes) -> None:
        raise AssertionError("a datagram without its source")

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        self.packets_in += 1
        self.bytes_in += len(data)
        self._source_handler(data, (addr[0], addr[1]))


class MonotonicClock:
    """Microseconds of this machine's monotonic clock."""

    def now(self) -> int:
        return time.monotonic_ns() // 1_000


class MessageTransport:
    """`fleet.ports.Messenger` on an association of its own. `told`: the address where others reach this process.

    `start` opens the socket and raises `OSError`; `stop` closes it. Both are safe to call twice.
    """

    def __init__(
        self,
        reactor: Any,
        bind: Address,
        cluster: str,
        name: Name,
        generation: int,
        advertised_address: Address,
        directory: Mapping[Name, Address],
        limits: Limits | None = None,
        seed: int = 0,
        clock: Clock | None = None,
        port: Callable[..., UdpPort] = SourceAwareUdpPort,
    ):
        self._reactor, self._clock = reactor, clock or MonotonicClock()
        self.association = Association(
            cluster, name, generation, advertised_address, directory, limits or Limits(), self._clock.now(), seed
        )
        self.port = port(reactor, bind, self._handle_datagram, self._count)
        self._handlers: dict[str, Callable[[Name, bytes], None]] = {}
        self._timer: Any = None
        self._running = False

    @property
    def name(self) -> Name:
        return self.association.name

    def start(self) -> None:
        if not self._running:
            self.port.open()
            self._running = True
            self._step(Tick())

    def stop(self) -> Any:
        """The result of closing the socket: a Deferred, or None where it was closed already."""
        self._running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        return self.port.close()

    # ---- ports.Messenger

    def send(self, to: Name, kind: str, body: bytes) -> None:
        """At most `MAX_MESSAGE_BYTES` bytes; to one that is not known it is dropped and counted."""
        self._step(SendMessage(to, kind, body))

    def subscribe(self, kind: str, call: Callable[[Name, bytes], None]) -> None:
        """Who gets the mail of that kind, with its sender."""
        self._handlers[kind] = call

    # ---- the core

    def _step(self, event: Event) -> None:
        effects = self.association.step(self._clock.now(), event)
        if self._running:
            self._schedule_tick()
        for effect in effects:
            match effect:
                case SendDatagram(to, data):
                    self.port.send(to, data)
                case MessageReceived(sender) if sender == self.name:
                    self._reactor.callLater(0, self._deliver, effect)
                case MessageReceived():
                    self._deliver(effect)

    def _deliver(self, message: MessageReceived) -> None:
        """A fault of one taker must not end the link."""
        handler = self._handlers.get(message.kind)
        if handler is None:
            self._count("mail_untaken")
            return
        try:
            handler(message.sender, message.body)
        except Exception:
            self._count("faults")
            log.exception("fleet: mail of kind %s from %s failed", message.kind, message.sender)

    def _handle_datagram(self, data: bytes, source: Address) -> None:
        if self._running:
            self._step(DatagramReceivedFrom(data, source))

    def _count(self, name: str) -> None:
        self.association.counts[name] += 1

    # ---- time

    def _schedule_tick(self) -> None:
        """One timer, at the association's next time."""
        wait = max(0.0, (self.association.due() - self._clock.now()) / 1_000_000)
        if self._timer is None or not self._timer.active():
            self._timer = self._reactor.callLater(wait, self._tick)
        elif abs(self._timer.getTime() - self._reactor.seconds() - wait) > TIMER_TOLERANCE:
            self._timer.reset(wait)

    def _tick(self) -> None:
        self._step(Tick())

    def metrics(self) -> Mapping[str, float]:
        """Counters of the association and of the socket; those of faults have the sender's name at the end."""
        collected: dict[str, float] = {f"mail_{name}": count for name, count in self.association.counts.items()}
        for (name, sender), count in self.association.faults.items():
            if sender:
                collected[f"mail_{name}_by_{sender}"] = count
        for name in ("bytes_in", "bytes_out", "packets_in", "packets_out"):
            collected[f"mail_{name}"] = getattr(self.port, name)
        return collected
