"""The list of engines by DNS over UDP.

What the resolver has to tell counts as told some seconds later whether it arrived or not, and UDP loses
packets: so it is asked often, every answer to a recent query counts, and none older than the last one does.
"""

import logging
import random
import struct
from collections.abc import Callable, Sequence

from twisted.internet.interfaces import IReactorTime, IReactorUDP
from twisted.internet.protocol import DatagramProtocol
from twisted.names import dns

from rackhub import interface as t
from rackhub.core.source import Address, Listing
from rackhub.counters import Counters
from rackhub.limits import Limits

log = logging.getLogger(__name__)
SERVICE = b"_app._tcp.cluster.lan"
READY, DRAINING = 0, 1  # SRV priorities


class BadAnswer(ValueError):
    """A packet that is no whole answer to what was asked."""


def question(number: int) -> bytes:
    """A query for the SRV records of the service."""
    labels = b"".join(bytes([len(label)]) + label for label in SERVICE.split(b"."))
    return struct.pack(">6H", number, 0x0100, 1, 0, 0, 0) + labels + b"\0" + struct.pack(">2H", dns.SRV, dns.IN)


def listing_of(packet: bytes) -> Listing:
    """The list in an answer; `BadAnswer` if it is not whole."""
    message = dns.Message()
    try:
        message.fromStr(packet)
    except Exception as bad:  # the decoder raises whatever the bytes led it to
        raise BadAnswer(f"not a DNS message: {bad}") from None
    asked = [query for query in message.queries if query.type == dns.SRV]
    if not message.answer or message.trunc or message.rCode != dns.OK or len(asked) != 1 \
            or asked[0].name.name.lower() != SERVICE:
        raise BadAnswer("not an answer to the question")
    serials = [record.payload.serial for record in message.authority if record.type == dns.SOA]
    if len(serials) != 1:
        raise BadAnswer("no serial")
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
            raise BadAnswer(f"no whole record of {target!r}")
        name, zone = (target.decode("ascii", "replace").split(".") + [""])[:2]
        told = dict(part.decode("utf-8", "replace").partition("=")[::2] for part in text)
        try:
            entries.append(t.EngineEntry(
                name, zone, told["kind"], int(told["cell"]), "Ready" if srv.priority == READY else "Terminating",
                srv.weight / 10, int(told["started"]) * 1_000))
        except (KeyError, ValueError):
            raise BadAnswer(f"no whole text of {target!r}") from None
        addresses[name] = (host, srv.port)
    return Listing(serials[0], tuple(sorted(entries, key=lambda entry: entry.engine)), addresses)


class Resolver(DatagramProtocol):
    """Asks the resolver over and over and hands on each list that is new."""

    def __init__(self, reactor: IReactorTime, server: Address, start: Listing, told: Callable[[Listing], None],
                 limits: Limits, counters: Counters):
        self._reactor, self._server, self._last, self._told = reactor, server, start, told
        self._limits, self._counters = limits, counters
        self._random = random.SystemRandom()  # ids that can't be guessed; no decision hangs on them
        self._asked: list[int] = []
        self._same = b""  # the last good answer less its id: most answers repeat it

    def startProtocol(self) -> None:
        self.transport.connect(*self._server)  # the kernel then drops packets from anyone else
        self._ask()

    def _ask(self) -> None:
        number = self._random.randrange(1 << 16)
        self._asked = [*self._asked[1 - self._limits.polls_open:], number]
        self._counters.add("dns_sent")
        try:
            self.transport.write(question(number))
        except OSError as fault:  # the next one may get through
            log.warning("resolver: %s", fault)
        self._reactor.callLater(self._limits.poll / 1_000_000, self._ask)

    def connectionRefused(self) -> None:
        """Nobody listens just now: the old list holds, and the next query asks again."""

    def datagramReceived(self, packet: bytes, addr: object) -> None:
        self._counters.add("dns_in")
        if len(packet) < 12 or len(packet) > self._limits.packet or \
                int.from_bytes(packet[:2], "big") not in self._asked:
            return self._counters.add("dns_bad")
        if packet[2:] == self._same:
            return self._counters.add("dns_same")
        try:
            listing = listing_of(packet)
        except BadAnswer as bad:
            self._counters.add("dns_bad")
            return log.warning("resolver: %s", bad)
        if listing.rev < self._last.rev:  # overtaken on its way
            return self._counters.add("dns_old")
        self._same = packet[2:]
        changed = listing[1:] != self._last[1:]
        self._last = listing
        if changed:
            self._told(listing)


def whole_list(known: Sequence[Listing]) -> Listing:
    """What numbered events come to, the first of them a whole list. An event's gone engines have state Gone."""
    entries: dict[str, t.EngineEntry] = {}
    addresses: dict[str, Address] = {}
    for event in known:
        for entry in event.entries:
            entries[entry.engine] = entry
            addresses[entry.engine] = event.addresses[entry.engine]
    there = tuple(entry for _, entry in sorted(entries.items()) if entry.state != "Gone")
    return Listing(known[-1].rev if known else 0, there, {entry.engine: addresses[entry.engine] for entry in there})


class Platform:
    """The platform as the source of settings and lists: what its file told at the start, then its resolver."""

    def __init__(self, reactor: IReactorUDP, settings: t.Settings, start: Listing, server: Address, limits: Limits,
                 counters: Counters):
        self.settings, self.start = settings, start
        self._reactor, self._server, self._limits, self._counters = reactor, server, limits, counters

    def follow(self, told: Callable[[Listing], None]) -> None:
        resolver = Resolver(self._reactor, self._server, self.start, told, self._limits, self._counters)
        self._reactor.listenUDP(0, resolver, maxPacketSize=self._limits.packet)
