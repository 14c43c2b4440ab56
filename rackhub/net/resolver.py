"""The list of engines by DNS over UDP.

What the resolver has to tell counts as told some seconds later whether it arrived or not, and UDP loses
packets: so it is asked often, sooner where no good answer came, every answer to a recent query counts, and none
older than the last one does. When it is asked next is decided in `asking`. What lies between may lose one flow and not
others, for good: where answers stop, the same is asked from a new socket, and the old one is closed.
"""

import random
import struct
from collections.abc import Callable, Sequence
from typing import NamedTuple

from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IDelayedCall, IListeningPort, IReactorTime, IReactorUDP, IUDPTransport
from twisted.internet.protocol import DatagramProtocol
from twisted.names import dns

from rackhub import interface, logs
from rackhub.core.source import Address, EndpointPollObserver, EndpointSnapshot
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.poll_schedule import PollSchedule

log = logs.logger(__name__)
SERVICE = b"_app._tcp.cluster.lan"
READY, DRAINING = 0, 1  # SRV priorities


class InvalidAnswerError(ValueError):
    """A packet that is no whole answer to what was asked."""


def question(number: int) -> bytes:
    """A query for the SRV records of the service."""
    labels = b"".join(bytes([len(label)]) + label for label in SERVICE.split(b"."))
    return struct.pack(">6H", number, 0x0100, 1, 0, 0, 0) + labels + b"\0" + struct.pack(">2H", dns.SRV, dns.IN)


def parse_answer(packet: bytes) -> EndpointSnapshot:
    """The list in an answer; `InvalidAnswerError` if it is not whole."""
    message = dns.Message()
    try:
        message.fromStr(packet)
    except Exception as bad:  # the decoder raises whatever the bytes led it to
        raise InvalidAnswerError(f"not a DNS message: {bad}") from None
    asked = [query for query in message.queries if query.type == dns.SRV]
    if (
        not message.answer
        or message.trunc
        or message.rCode != dns.OK
        or len(asked) != 1
        or asked[0].name.name.lower() != SERVICE
    ):
        raise InvalidAnswerError("not an answer to the question")
    serials = [record.payload.serial for record in message.authority if record.type == dns.SOA]
    if len(serials) != 1:
        raise InvalidAnswerError("no serial")
    hosts, texts = {}, {}
    for record in (*message.additional, *message.answers):
        if record.type == dns.A:
            hosts[record.name.name.lower()] = record.payload.dottedQuad()
        elif record.type == dns.TXT:
            texts[record.name.name.lower()] = record.payload.data
    entries, addresses = [], {}
    for record in message.answers:
        if record.type != dns.SRV:
            continue
        srv, target = record.payload, record.payload.target.name
        host, text = hosts.get(target.lower()), texts.get(target.lower())
        if host is None or text is None or srv.priority not in (READY, DRAINING):
            raise InvalidAnswerError(f"no whole record of {target!r}")
        name, zone = (target.decode("ascii", "replace").split(".") + [""])[:2]
        if name in addresses:  # which of them holds can't be told
            raise InvalidAnswerError(f"{name!r} is named twice")
        told = dict(part.decode("utf-8", "replace").partition("=")[::2] for part in text)
        try:
            entries.append(
                interface.EngineEntry(
                    name,
                    zone,
                    told["kind"],
                    int(told["cell"]),
                    "Ready" if srv.priority == READY else "Terminating",
                    srv.weight / 10,
                    int(told["started"]) * 1_000,
                )
            )
        except (KeyError, ValueError):
            raise InvalidAnswerError(f"no whole text of {target!r}") from None
        addresses[name] = (host, srv.port)
    return EndpointSnapshot(serials[0], tuple(sorted(entries, key=lambda entry: entry.engine)), addresses)


class Question(NamedTuple):
    """One question: when it was sent, by the reactor's clock and by that of the lease."""

    sent: float
    leased: int


class Resolver(DatagramProtocol):
    """Asks the resolver over and over and hands on each list that is new. It outlives its sockets: `renew` gives it
    another one to ask from, and `settled` is called when an answer was quick enough for that one to do alone."""

    def __init__(
        self,
        reactor: IReactorTime,
        server: Address,
        start: EndpointSnapshot,
        told: Callable[[EndpointSnapshot], None],
        limits: Limits,
        counters: Counters,
        renew: Callable[[], None] = lambda: None,
        lease: EndpointPollObserver | None = None,
        settled: Callable[[], None] = lambda: None,
    ):
        self._reactor, self._server, self._last, self._told = reactor, server, start, told
        self._renew, self._settled = renew, settled
        self._limits, self._counters = limits, counters
        self._random = random.SystemRandom()  # ids that can't be guessed; no decision hangs on them
        self._schedule = PollSchedule(limits, self._random.random)
        self._asked: dict[int, Question] = {}  # those whose answers are taken, by number
        self._lease = lease
        self._same = b""  # the last good answer less its id: most answers repeat it
        self._next: IDelayedCall | None = None

    def makeConnection(self, transport: IUDPTransport) -> None:  # noqa: N802 - Twisted's names
        first, self.transport = self.transport is None, transport
        if first:
            self.startProtocol()

    def doStop(self) -> None:  # noqa: N802
        """A socket has closed: the one that took its place goes on."""

    def startProtocol(self) -> None:
        self._ask()

    def move(self, server: Address) -> None:
        """Ask at another address from now on, and at once: the old one may have stopped answering. The events go on
        with their numbers, so the last list holds until the new address tells of a later one."""
        if server != self._server:
            self._server, self._asked = server, {}
            self._schedule.server_changed()
            self._ask_in(0)

    def _ask_in(self, delay: int) -> None:
        if self._next is not None and self._next.active():
            self._next.cancel()
        self._next = self._reactor.callLater(delay / 1_000_000, self._ask)

    def _ask(self) -> None:
        silent = self._schedule.needs_new_socket()
        self._ask_in(self._schedule.poll_sent())  # a good answer puts it off: this one is for those that are lost
        if silent:
            self._renew()
        number = self._random.randrange(1 << 16)
        while len(self._asked) >= self._limits.polls_open:
            del self._asked[next(iter(self._asked))]
        leased = self._lease.endpoint_poll_started() if self._lease is not None else 0
        self._asked[number] = Question(self._reactor.seconds(), leased)
        self._counters.add("dns_sent")
        try:
            self.transport.write(question(number), self._server)
        except OSError as fault:  # the next one may get through
            log.warning("resolver_unreachable", reason=str(fault))
        log.debug("list_asked", number=number)

    def datagramReceived(self, packet: bytes, addr: object) -> None:
        self._counters.add("dns_in")
        log.debug("list_answered", number=int.from_bytes(packet[:2], "big"), size=len(packet))
        if (
            addr != self._server
            or len(packet) < 12
            or len(packet) > self._limits.packet
            or int.from_bytes(packet[:2], "big") not in self._asked
        ):
            self._counters.add("dns_bad")
            return log.debug("answer_refused", sender=addr, size=len(packet), reason="not one of the open questions")
        if packet[2:] == self._same:
            self._ask_in(self._schedule.answer_received())
            self._confirm(packet)
            return self._counters.add("dns_same")
        try:
            listing = parse_answer(packet)
        except InvalidAnswerError as bad:
            self._counters.add("dns_bad")
            return log.info("answer_refused", reason=str(bad))
        if listing.revision < self._last.revision:  # overtaken on its way, or from a server that is behind
            log.debug("answer_refused", rev=listing.revision, reason="older than the list in force")
            return self._counters.add("dns_old")
        self._ask_in(self._schedule.answer_received())
        if listing[1:] != self._last[1:]:
            if not listing.entries:  # an answer like another, but all requests are refused from now on
                self._counters.add("lists_empty")
                log.warning("list_empty", reason=f"the list of event {listing.revision} names no engine")
            self._log_changes(listing)
            self._told(listing)
        self._same, self._last = packet[2:], listing  # not where telling it failed: the next answer tells it again

        self._confirm(packet)

    def _confirm(self, packet: bytes) -> None:
        asked = self._asked[int.from_bytes(packet[:2], "big")]
        if self._reactor.seconds() - asked.sent < self._schedule.silence_limit() / 1_000_000:
            self._settled()
        if self._lease is not None:
            self._lease.endpoint_poll_confirmed(asked.leased)

    def _log_changes(self, listing: EndpointSnapshot) -> None:
        before, after = set(self._last.entries), set(listing.entries)
        log.info(
            "list_taken",
            rev=listing.revision,
            gone=sorted({entry.engine for entry in before} - {entry.engine for entry in after}),
            changed=sorted(f"{entry.engine}:{entry.state}:{entry.started_at}" for entry in after - before),
        )


def merge_events(known: Sequence[EndpointSnapshot]) -> EndpointSnapshot:
    """What numbered events come to, the first of them a whole list. An event's gone engines have state Gone."""
    entries: dict[str, interface.EngineEntry] = {}
    addresses: dict[str, Address] = {}
    for event in known:
        for entry in event.entries:
            entries[entry.engine] = entry
            addresses[entry.engine] = event.addresses[entry.engine]
    there = tuple(entry for _, entry in sorted(entries.items()) if entry.state != "Gone")
    return EndpointSnapshot(
        known[-1].revision if known else 0, there, {entry.engine: addresses[entry.engine] for entry in there}
    )


class PlatformSource:
    """The platform as the source of settings and lists: what its file told at the start, then its resolver.
    `reread` reads and checks the file again and gives the resolver's address; `ValueError` where it can't be used."""

    def __init__(
        self,
        reactor: IReactorUDP,
        settings: interface.Settings,
        start: EndpointSnapshot,
        server: Address,
        limits: Limits,
        counters: Counters,
        reread: Callable[[], Address],
    ):
        self.settings, self.start = settings, start
        self._reactor, self._server, self._limits, self._counters = reactor, server, limits, counters
        self._reread, self._resolver = reread, None
        self._ports: list[IListeningPort] = []  # the last one is asked from; the others may still bring answers

    def follow(self, told: Callable[[EndpointSnapshot], None], lease: EndpointPollObserver | None = None) -> None:
        self._resolver = Resolver(
            self._reactor,
            self._server,
            self.start,
            told,
            self._limits,
            self._counters,
            self._renew,
            lease,
            self._settle,
        )
        self._ports = [self._reactor.listenUDP(0, self._resolver, maxPacketSize=self._limits.packet)]

    def _renew(self) -> None:
        """Opened before an old one closes: where no descriptor is free, the last one goes on. Those before it stay open
        for a while: answers that are slower than the step from one socket to the next would find nobody, for ever."""
        try:
            port = self._reactor.listenUDP(0, self._resolver, maxPacketSize=self._limits.packet)
        except CannotListenError as fault:
            return log.warning("resolver_socket_kept", reason=str(fault))
        self._counters.add("dns_sockets")
        log.debug("resolver_socket_renewed", reason="no good answer", port=port.getHost().port)
        self._ports.append(port)
        self._keep(self._limits.resolver_sockets)

    def _settle(self) -> None:
        self._keep(1)

    def _keep(self, count: int) -> None:
        """Close the oldest sockets until so many are left."""
        while len(self._ports) > count:
            self._ports.pop(0).stopListening()

    def reload(self) -> None:
        self._counters.add("reloads")
        try:
            server = self._reread()
        except ValueError as bad:  # half a file, or a wrong one, must not end what serves
            self._counters.add("reloads_bad")
            return log.error("reload: bad configuration, the old one holds: %s", bad)
        log.info("reloaded", resolver=f"{server[0]}:{server[1]}")
        if self._resolver is not None:
            self._resolver.move(server)
