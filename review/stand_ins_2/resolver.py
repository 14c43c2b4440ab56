"""The stand-in resolver: DNS over UDP, one SRV answer with the whole list, by the protocol page."""

import asyncio
import struct
from collections.abc import Callable
from typing import Any

from review.stand_ins_2.world import HOST, World

SERVICE = "_app._tcp.cluster.lan"
SRV, TXT, A, SOA, IN = 33, 16, 1, 6, 1


def name_bytes(name: str) -> bytes:
    """Encode a domain name."""
    return b"".join(bytes([len(label)]) + label.encode() for label in name.split(".")) + b"\0"


def record(name: bytes, kind: int, data: bytes) -> bytes:
    """Encode a resource record."""
    return name + struct.pack(">HHIH", kind, IN, 0, len(data)) + data


def answer(query: bytes, rev: int, entries: list[dict[str, Any]]) -> bytes:
    """Return the answer with the whole list and the number of the last event."""
    service = name_bytes(SERVICE)
    answers, additional = [], []
    for entry in entries:
        host = name_bytes(f"{entry['name']}.{entry['zone']}.hosts")
        address, port = entry["address"].split(":")
        priority = 0 if entry["status"] == "ready" else 1
        answers.append(record(b"\xc0\x0c", SRV, struct.pack(">HHH", priority, 10 * entry["weight"], int(port)) + host))
        additional.append(record(host, A, bytes(map(int, address.split(".")))))
        texts = [f"kind={entry['type']}", f"cell={entry['group']}", f"started={entry['since_ms']}"]
        additional.append(record(host, TXT, b"".join(bytes([len(t)]) + t.encode() for t in texts)))
    soa = name_bytes("ns.cluster.lan") + name_bytes("host.cluster.lan") + struct.pack(">5I", rev, 1, 1, 1, 0)
    authority = [record(b"\xc0\x0c", SOA, soa)]
    header = query[:2] + struct.pack(">5H", 0x8580, 1, len(answers), len(authority), len(additional))
    question = service + struct.pack(">HH", SRV, IN)
    return header + question + b"".join(answers + authority + additional)


class Resolver(asyncio.DatagramProtocol):
    """Answers with the list of the moment. `silent`: no answers at all."""

    def __init__(self, world: World, engines: Callable[[], list[Any]]):
        self.world, self.engines, self.rev, self.silent = world, engines, 1, False
        self.transport: Any = None
        self.told: dict[str, float] = {}  # engine -> when an answer first said that it drains or is gone
        self.asked = 0
        self._seen: set[str] = set()

    async def listen(self) -> "Resolver":
        """Open the address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(HOST, 0))
        return self

    @property
    def address(self) -> tuple[str, int]:
        """The resolver's address."""
        found: tuple[str, int] = self.transport.get_extra_info("sockname")
        return found

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def entries(self) -> list[dict[str, Any]]:
        """Return the list of the moment, without the engines that are gone."""
        return [engine.entry() for engine in self.engines() if engine.status != "gone"]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Answer a query."""
        self.asked += 1
        if self.silent:
            return
        entries = self.entries()
        self.transport.sendto(answer(data, self.rev, entries), addr)
        ready = {entry["name"] for entry in entries if entry["status"] == "ready"}
        for name in self._seen - ready:
            if name not in self.told:
                self.told[name] = self.world.now()
                self.world.note(f"resolver: told that {name} drains or is gone, event {self.rev}")
        for name in ready:
            self.told.pop(name, None)
        self._seen |= ready

    def changed(self) -> None:
        """Number a new event."""
        self.rev += 1
        self.world.note(f"resolver: event {self.rev}: {[(e.name, e.status) for e in self.engines()]}")
