"""The endpoint list by DNS over UDP.

An event of the list counts as notified some seconds later whether it arrived or not, and UDP loses packets: so the
resolver is polled often, sooner where no good answer came, every answer to a recent poll counts, and none older than
the last one does. `poll_schedule` decides when the next poll is due. The network may lose one flow and not others, for
good: where answers stop, polls go out from a new socket, and the old one is closed.
"""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.protocol import DatagramProtocol

from rackhub import logs
from rackhub.core.source import Address, EndpointPollObserver, EndpointSnapshot
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.dns_protocol import InvalidAnswerError, encode_query, parse_answer
from rackhub.net.poll_schedule import PollSchedule

log = logs.logger(__name__)

DNS_HEADER_SIZE = 12
DNS_IDS = 1 << 16


class PendingPoll(NamedTuple):
    """One poll: when it was sent, by the reactor's clock in seconds and by that of the lease."""

    sent_at: float
    lease_time: int


class Resolver(DatagramProtocol):
    """Polls the resolver and passes on each endpoint list that is new.

    It outlives its sockets: `renew` gives it another one, and `settled` is called when an answer was quick enough for
    that one to do alone.
    """

    transport: Any  # Twisted's UDP port

    def __init__(
        self,
        reactor: Any,
        server: Address,
        start: EndpointSnapshot,
        notify: Callable[[EndpointSnapshot], None],
        limits: Limits,
        counters: Counters,
        renew: Callable[[], None] = lambda: None,
        lease: EndpointPollObserver | None = None,
        settled: Callable[[], None] = lambda: None,
    ):
        """`reactor` provides Twisted's `IReactorTime`; `start` is the list known at the start."""
        self._reactor = reactor
        self._server = server
        self._last = start
        self._notify = notify
        self._renew = renew
        self._settled = settled
        self._limits = limits
        self._counters = counters
        self._random = random.SystemRandom()  # ids that can't be guessed; no decision depends on them
        self._schedule = PollSchedule(limits, self._random.random)
        self._pending: dict[int, PendingPoll] = {}  # those whose answers are accepted, by DNS id
        self._lease = lease
        self._last_answer = b""  # the last good answer without its id: most answers repeat it
        self._next_poll: Any = None  # an IDelayedCall

    def makeConnection(self, transport: Any) -> None:  # noqa: N802
        """Poll from a new socket from now on (Twisted)."""
        is_first = self.transport is None
        self.transport = transport
        if is_first:
            self.startProtocol()

    def doStop(self) -> None:  # noqa: N802
        """Ignore that a socket has closed: the one that took its place goes on (Twisted)."""

    def startProtocol(self) -> None:  # noqa: N802
        """Send the first poll (Twisted)."""
        self._poll()

    def move(self, server: Address) -> None:
        """Poll another resolver from now on, and at once, as the old one may have stopped answering.

        The events keep their numbering, so the last list holds until the new resolver has a later one.
        """
        if server != self._server:
            self._server = server
            self._pending = {}
            self._schedule.server_changed()
            self._poll_after(0)

    def apply_configured(self, snapshot: EndpointSnapshot) -> None:
        """Apply the list of a reloaded file if it is newer: the resolver may be behind it for a while.

        It confirms nothing: the list may be older than the file.
        """
        if snapshot.revision > self._last.revision:
            self._apply(snapshot)
            self._last = snapshot
            self._last_answer = b""

    def _poll_after(self, delay: int) -> None:
        """Schedule the next poll, in place of the one scheduled before; `delay` in microseconds."""
        if self._next_poll is not None and self._next_poll.active():
            self._next_poll.cancel()
        self._next_poll = self._reactor.callLater(delay / 1_000_000, self._poll)

    def _poll(self) -> None:
        needs_new_socket = self._schedule.needs_new_socket()
        self._poll_after(self._schedule.poll_sent())  # a good answer postpones it: this one is for lost packets
        if needs_new_socket:
            self._renew()
        number = self._random.randrange(DNS_IDS)
        while len(self._pending) >= self._limits.max_pending_polls:
            del self._pending[next(iter(self._pending))]
        lease_time = self._lease.endpoint_poll_started() if self._lease is not None else 0
        self._pending[number] = PendingPoll(self._reactor.seconds(), lease_time)
        self._counters.add("dns_sent")
        try:
            self.transport.write(encode_query(number), self._server)
        except OSError as fault:  # the next one may get through
            log.warning("resolver_unreachable", reason=str(fault))
        log.debug("poll_sent", number=number)

    def datagramReceived(self, packet: bytes, addr: object) -> None:  # noqa: N802
        """Handle an answer (Twisted)."""
        number = int.from_bytes(packet[:2], "big")
        self._counters.add("dns_in")
        log.debug("poll_answered", number=number, size=len(packet))
        valid_size = DNS_HEADER_SIZE <= len(packet) <= self._limits.max_dns_response_bytes
        if addr != self._server or not valid_size or number not in self._pending:
            self._counters.add("dns_bad")
            log.debug("answer_rejected", sender=addr, size=len(packet), reason="not one of the open questions")
            return
        if packet[2:] == self._last_answer:
            self._poll_after(self._schedule.answer_received())
            self._confirm(number)
            self._counters.add("dns_same")
            return
        try:
            snapshot = parse_answer(packet)
        except InvalidAnswerError as invalid:
            self._counters.add("dns_bad")
            log.info("answer_rejected", reason=str(invalid))
            return
        if snapshot.revision < self._last.revision:  # overtaken on its way, or from a server that is behind
            log.debug("answer_rejected", rev=snapshot.revision, reason="older than the list in force")
            self._counters.add("dns_old")
            return
        self._poll_after(self._schedule.answer_received())
        self._apply(snapshot)
        self._last_answer = packet[2:]  # not where applying it failed: the next answer applies it again
        self._last = snapshot
        self._confirm(number)

    def _apply(self, snapshot: EndpointSnapshot) -> None:
        """Pass on a list that differs from the last one."""
        if (snapshot.entries, snapshot.addresses) == (self._last.entries, self._last.addresses):
            return
        if not snapshot.entries:  # valid like any other, but all requests are rejected from now on
            self._counters.add("lists_empty")
            log.warning("list_empty", reason=f"the list of event {snapshot.revision} names no engine")
        self._log_changes(snapshot)
        self._notify(snapshot)

    def _confirm(self, number: int) -> None:
        poll = self._pending[number]
        if self._reactor.seconds() - poll.sent_at < self._schedule.silence_limit() / 1_000_000:
            self._settled()
        if self._lease is not None:
            self._lease.endpoint_poll_confirmed(poll.lease_time)

    def _log_changes(self, snapshot: EndpointSnapshot) -> None:
        before = set(self._last.entries)
        after = set(snapshot.entries)
        log.info(
            "list_taken",
            rev=snapshot.revision,
            gone=sorted({entry.engine for entry in before} - {entry.engine for entry in after}),
            changed=sorted(f"{entry.engine}:{entry.state}:{entry.started_at}" for entry in after - before),
        )
