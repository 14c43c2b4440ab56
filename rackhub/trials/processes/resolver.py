"""The resolver's stand-in: DNS over UDP, one socket a gateway, so that each can be told its own addresses, late or not
at all. What is told to whom, and when, is kept: drains are judged by it."""

from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.protocol import DatagramProtocol
from twisted.names import dns

from rackhub.fleet.ports import Address, Clock
from rackhub.trials.processes.site import Engine

SERVICE = "_app._tcp.cluster.lan"
MOST = 8_000  # bytes of an answer; what is longer is cut off and says so


def record(name: str, kind: int, payload: Any) -> dns.RRHeader:
    return dns.RRHeader(name, kind, payload=payload)


def answer(query: bytes, rev: int, engines: Sequence[Engine]) -> bytes | None:
    """The whole list in answer to a query for it; None: it is no such query."""
    asked = dns.Message()
    try:
        asked.fromStr(query)
    except Exception:  # the decoder raises whatever the bytes led it to
        return None
    if (
        len(asked.queries) != 1
        or asked.queries[0].type != dns.SRV
        or asked.queries[0].name.name.lower() != SERVICE.encode()
    ):
        return None
    told = dns.Message(id=asked.id, answer=1, auth=True, maxSize=MOST)
    told.queries = asked.queries
    for each in engines:
        host, (address, port) = f"{each.name}.{each.site}.hosts", each.address
        priority = 0 if each.status == "ready" else 1
        told.answers.append(record(SERVICE, dns.SRV, dns.Record_SRV(priority, 40, port, host)))
        told.additional.append(record(host, dns.A, dns.Record_A(address)))
        text = (b"kind=std", b"cell=0", b"started=%d" % each.since_ms)
        told.additional.append(record(host, dns.TXT, dns.Record_TXT(*text)))
    told.authority.append(record(SERVICE, dns.SOA, dns.Record_SOA("ns.cluster.lan", "rig", rev)))
    return told.toStr()


class Desk(DatagramProtocol):
    """What one gateway asks and is told."""

    transport: Any

    def __init__(self, resolver: "Resolver", gateway: str):
        self._resolver, self.gateway, self.lag, self.silent, self.asked = resolver, gateway, 0, False, 0
        self.told: dict[str, int] = {}  # engine -> when it was told that it drains or is gone

    def datagramReceived(self, packet: bytes, addr: Address) -> None:
        self.asked += 1
        if self.silent:
            return
        rev, engines = self._resolver.as_of(self.lag, self.gateway)
        body = answer(packet, rev, engines)
        if body is not None:
            self.transport.write(body, addr)
            self.heard(engines)

    def heard(self, engines: Sequence[Engine]) -> None:
        now, ready = self._resolver.clock.now(), {each.name for each in engines if each.status == "ready"}
        for name in self._resolver.names:
            if name in ready:
                self.told.pop(name, None)
            else:
                self.told.setdefault(name, now)


class Resolver:
    """`listed(gateway)` gives the list as it is for that gateway; `changed` says that there is a new one."""

    def __init__(self, reactor: Any, clock: Clock, names: Sequence[str], listed: Callable[[str], Sequence[Engine]]):
        self.clock, self.names, self._reactor, self._listed = clock, list(names), reactor, listed
        self.rev, self.desks, self._ports = 0, dict[str, Desk](), dict[str, Any]()
        self._events: deque[tuple[int, int, dict[str, Sequence[Engine]]]] = deque(maxlen=64)  # when, rev, lists

    def listen(self, gateway: str, host: str) -> Address:
        self.desks[gateway] = Desk(self, gateway)
        self._ports[gateway] = self._reactor.listenUDP(0, self.desks[gateway], interface=host)
        return host, self._ports[gateway].getHost().port

    def changed(self) -> None:
        self.rev += 1
        self._events.append((self.clock.now(), self.rev, {name: tuple(self._listed(name)) for name in self.desks}))

    def as_of(self, lag: int, gateway: str) -> tuple[int, Sequence[Engine]]:
        """The newest event that is older than `lag`, else the oldest that is kept."""
        edge = self.clock.now() - lag
        at, rev, lists = next((event for event in reversed(self._events) if event[0] <= edge), self._events[0])
        return rev, lists[gateway]

    def start_of(self, gateway: str) -> tuple[int, Sequence[Engine]]:
        """What a gateway that starts now is told by its file."""
        rev, engines = self.as_of(0, gateway)
        self.desks[gateway].heard(engines)
        return rev, engines

    def close(self) -> None:
        for port in self._ports.values():
            port.stopListening()
