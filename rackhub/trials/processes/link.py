"""One connection of a client's, and the requests and tries that go over it."""

import base64
import itertools
import json
from typing import Any, Protocol

import msgspec
from twisted.protocols.basic import LineOnlyReceiver

from rackhub.fleet.ports import Clock
from rackhub.trials.processes.arrivals import Arrival
from rackhub.trials.processes.audit import Found

MS = 1_000
IDLE = 4.0  # seconds


class Owner(Protocol):
    """Whoever has the connection; told of all that becomes of it."""

    reactor: Any
    clock: Clock
    found: Found

    def sent(self, each: "Try") -> None: ...
    def answered(self, each: "Try", told: dict[str, Any]) -> None: ...
    def lost(self, link: "Link") -> None: ...
    def unreached(self, link: "Link") -> None: ...


class Request:
    """What one client wants: its tries, and what came of it in the end."""

    __slots__ = ("arrival", "number", "at", "tries", "over", "gateway", "sent")

    def __init__(self, arrival: Arrival, number: int, at: int):
        self.arrival, self.number, self.at, self.tries, self.over = arrival, number, at, 0, ""
        self.gateway, self.sent = arrival.gateway, 0  # when its last try was written


class Try:
    """One request as one gateway has it."""

    __slots__ = ("request", "rid", "gateway", "sent", "budget", "answered", "again", "limit", "link", "id")

    def __init__(self, request: Request, rid: str, gateway: str, budget: int):
        self.request, self.rid, self.gateway, self.budget = request, rid, gateway, budget
        self.sent, self.answered, self.again, self.id = 0, False, False, 0
        self.limit: Any = None
        self.link: Link | None = None


class Link(LineOnlyReceiver):
    """One connection to one gateway."""

    delimiter, MAX_LENGTH = b"\n", 1 << 20
    transport: Any

    def __init__(self, clients: Owner, gateway: str):
        self.clients, self.gateway = clients, gateway
        self.open: dict[int, Try] = {}
        self.done: set[int] = set()  # ids answered
        self.left: set[int] = set()  # ids withdrawn: an answer may still cross
        self.ids, self.waiting, self.up, self.idle = itertools.count(1), list[Try](), False, None

    def connectionMade(self) -> None:
        self.up = True
        self.transport.setTcpNoDelay(True)
        waiting, self.waiting = self.waiting, []
        for each in waiting:
            self.carry(each)

    def load(self) -> int:
        return len(self.open) + len(self.waiting)

    def carry(self, each: Try) -> None:
        if not self.up:
            self.waiting.append(each)
            return
        if self.idle is not None and self.idle.active():
            self.idle.cancel()
        each.id, each.link, each.sent = next(self.ids), self, self.clients.clock.now()
        self.open[each.id] = each
        each.request.sent = each.sent
        self.transport.write(message(each))
        self.clients.sent(each)

    def lineReceived(self, line: bytes) -> None:
        try:
            told = msgspec.json.decode(line)
            id = told["id"]
        except (msgspec.DecodeError, KeyError, TypeError):
            return self.clients.found.add("unreadable", f"{self.gateway}: {line[:80]!r}")
        each = self.open.pop(id, None) if isinstance(id, int) else None
        if each is None:
            if id in self.done:
                self.clients.found.add("answered_twice", f"{self.gateway}: id {id}")
            elif id not in self.left:
                self.clients.found.add("stray_answer", f"{self.gateway}: {line[:80]!r}")
            return
        self.done.add(id)
        self.clients.answered(each, told)
        if not self.open:
            self.idle = self.clients.reactor.callLater(IDLE, self.transport.loseConnection)

    def withdraw(self, each: Try) -> None:
        if self.open.pop(each.id, None) is not None and self.up:
            self.left.add(each.id)
            self.transport.write(b'{"jsonrpc":"2.0","method":"cancelRequest","params":{"id":%d}}\n' % each.id)

    def connectionLost(self, reason: object = None) -> None:
        self.up = False
        if self.idle is not None and self.idle.active():
            self.idle.cancel()
        self.clients.lost(self)

    def failed(self, *_: object) -> None:
        self.clients.unreached(self)


def message(each: Try) -> bytes:
    """The request as the protocol words it; a bad client's is wrong in the way that its arrival says."""
    arrival, bad = each.request.arrival, each.request.arrival.bad
    params: dict[str, Any] = {
        "rid": each.rid,
        "budget": each.budget // MS,
        "acct": arrival.tenant,
        "body": base64.b64encode(arrival.statement).decode(),
        "est": arrival.work / MS,
        "ram": 16,
    }
    if arrival.token:
        params["token"] = arrival.token
    cls = arrival.kind.name
    if bad == "tenant":
        params["acct"] = "nobody"
    elif bad == "class":
        cls = "gossip"
    elif bad == "token":
        cls, params["token"] = "depot-load", ""
    elif bad == "body":
        params["body"] = "*"
    elif bad == "budget":
        params["budget"] = -1
    return json.dumps({"jsonrpc": "2.0", "id": each.id, "method": cls, "params": params}).encode() + b"\n"
