"""Polls the endpoint list from the resolver, by DNS over UDP.

Some seconds after a change of the list (`limits.notification_time`) a coordinator counts as notified of it, whether it
received the list or not (see `core.lease`). As UDP loses packets, the resolver is polled more often than that, and
sooner after a poll without a valid answer; an answer to any recent poll is accepted unless its list is older than the
present one. `poll_schedule` computes when the next poll is due.

As the network may permanently drop the packets of one flow, polls are sent from a new socket when answers stop. Old
sockets stay open for late answers until an answer is quick again.
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
    """A poll whose answers are still accepted."""

    sent_at: float  # seconds of the reactor's clock
    observer_time: int  # result of `endpoint_poll_started`, which `endpoint_poll_confirmed` gets


class ResolverClient(DatagramProtocol):
    """Polls the resolver and reports each new endpoint list.

    It uses several UDP sockets in turn: `open_new_socket` opens another one, which becomes `transport`, and
    `close_old_sockets` closes all but the newest. The latter is called when an answer arrives within the time after
    which an unresponsive socket would be replaced.
    """

    transport: Any  # Twisted's UDP port

    def __init__(
        self,
        reactor: Any,
        resolver_address: Address,
        start: EndpointSnapshot,
        on_change: Callable[[EndpointSnapshot], None],
        limits: Limits,
        counters: Counters,
        open_new_socket: Callable[[], None] = lambda: None,
        observer: EndpointPollObserver | None = None,
        close_old_sockets: Callable[[], None] = lambda: None,
    ):
        """`reactor` provides Twisted's `IReactorTime`; `start` is the list known at startup.

        `on_change` gets each list that differs from the one before, `observer` is notified of polls and valid answers.
        """
        self._reactor = reactor
        self._resolver_address = resolver_address
        self._last = start
        self._on_change = on_change
        self._open_new_socket = open_new_socket
        self._close_old_sockets = close_old_sockets
        self._limits = limits
        self._counters = counters
        self._random = random.SystemRandom()  # for DNS ids that are hard to guess, and for the jitter
        self._schedule = PollSchedule(limits, self._random.random)
        self._pending: dict[int, PendingPoll] = {}  # the latest polls by DNS id, answered or not
        self._observer = observer
        self._last_answer = b""  # the last valid answer without its id, as most answers repeat it
        self._next_poll: Any = None  # an IDelayedCall

    def makeConnection(self, transport: Any) -> None:  # noqa: N802
        """Send further polls from a new socket (Twisted)."""
        is_first = self.transport is None
        self.transport = transport
        if is_first:
            self.startProtocol()

    def doStop(self) -> None:  # noqa: N802
        """Do nothing when a socket closes: its successor is in use (Twisted)."""

    def startProtocol(self) -> None:  # noqa: N802
        """Send the first poll (Twisted)."""
        self._poll()

    def change_resolver(self, address: Address) -> None:
        """Poll another resolver from now on, starting at once, as the old one may have stopped answering.

        Both number the revisions of the list in the same way, so the present list stays until there is a later one.
        """
        if address != self._resolver_address:
            self._resolver_address = address
            self._pending = {}
            self._schedule.resolver_changed()
            self._poll_after(0)

    def apply_configured(self, snapshot: EndpointSnapshot) -> None:
        """Apply the list of a reloaded file if it is newer, as the resolver may be behind the file for a while.

        This does not renew the endpoint lease, as the file does not say when its list was current.
        """
        if snapshot.revision > self._last.revision:
            self._apply(snapshot)
            self._last = snapshot
            self._last_answer = b""

    def _poll_after(self, delay: int) -> None:
        """Schedule the next poll after `delay` microseconds, replacing the one scheduled before."""
        if self._next_poll is not None and self._next_poll.active():
            self._next_poll.cancel()
        self._next_poll = self._reactor.callLater(delay / 1_000_000, self._poll)

    def _poll(self) -> None:
        needs_new_socket = self._schedule.needs_new_socket()
        self._poll_after(self._schedule.poll_sent())  # A retry in case of a lost packet; a valid answer postpones it.
        if needs_new_socket:
            self._open_new_socket()
        number = self._random.randrange(DNS_IDS)
        while len(self._pending) >= self._limits.max_pending_polls:
            del self._pending[next(iter(self._pending))]
        observer_time = self._observer.endpoint_poll_started() if self._observer is not None else 0
        self._pending[number] = PendingPoll(self._reactor.seconds(), observer_time)
        self._counters.add("dns_sent")
        try:
            self.transport.write(encode_query(number), self._resolver_address)
        except OSError as fault:  # The next poll may succeed.
            log.warning("resolver_unreachable", reason=str(fault))
        log.debug("poll_sent", number=number)

    def datagramReceived(self, packet: bytes, addr: object) -> None:  # noqa: N802
        """Handle an answer (Twisted)."""
        number = int.from_bytes(packet[:2], "big")
        self._counters.add("dns_in")
        log.debug("poll_answered", number=number, size=len(packet))
        valid_size = DNS_HEADER_SIZE <= len(packet) <= self._limits.max_dns_response_bytes
        if addr != self._resolver_address or not valid_size or number not in self._pending:
            self._counters.add("dns_bad")
            log.debug(
                "answer_rejected",
                sender=addr,
                size=len(packet),
                reason="not a valid packet of the resolver for a recent poll",
            )
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
        if snapshot.revision < self._last.revision:  # a delayed answer, or one of a resolver that is behind
            log.debug("answer_rejected", rev=snapshot.revision, reason="older than the list in force")
            self._counters.add("dns_old")
            return
        self._poll_after(self._schedule.answer_received())
        self._apply(snapshot)
        self._last_answer = packet[2:]  # Only after `_apply`: if that fails, the next answer applies the list again.
        self._last = snapshot
        self._confirm(number)

    def _apply(self, snapshot: EndpointSnapshot) -> None:
        """Report a list that differs from the last one."""
        if (snapshot.entries, snapshot.addresses) == (self._last.entries, self._last.addresses):
            return
        if not snapshot.entries:  # An empty list is valid, but all requests are rejected from now on.
            self._counters.add("lists_empty")
            log.warning("list_empty", reason=f"the list of revision {snapshot.revision} names no engine")
        self._log_changes(snapshot)
        self._on_change(snapshot)

    def _confirm(self, number: int) -> None:
        """Renew the endpoint lease as of the start of this poll, and close old sockets after a quick answer."""
        poll = self._pending[number]
        if self._reactor.seconds() - poll.sent_at < self._schedule.max_time_to_new_socket() / 1_000_000:
            self._close_old_sockets()
        if self._observer is not None:
            self._observer.endpoint_poll_confirmed(poll.observer_time)

    def _log_changes(self, snapshot: EndpointSnapshot) -> None:
        """Log the removed and changed engines, without changes of the address alone."""
        before = set(self._last.entries)
        after = set(snapshot.entries)
        log.info(
            "list_taken",
            rev=snapshot.revision,
            gone=sorted({entry.engine for entry in before} - {entry.engine for entry in after}),
            changed=sorted(f"{entry.engine}:{entry.state}:{entry.started_at}" for entry in after - before),
        )
