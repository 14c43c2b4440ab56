"""Plain JSON-RPC clients for measuring a coordinator: each connection sends statements as it is told, and counts."""

import base64
import itertools
import json
import os
from typing import Any

from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineOnlyReceiver

from rackhub.fleet.ports import Address

BUDGET_MS = 8_000
CLASS, TENANT = "report", "nyarugenge"


class Totals:
    """Of all connections of a group."""

    def __init__(self) -> None:
        self.connected = self.sent = self.served = self.refused = self.failed = self.closed = 0

    @property
    def answered(self) -> int:
        return self.served + self.refused + self.failed


class Connection(LineOnlyReceiver):
    """One client connection."""

    delimiter, MAX_LENGTH = b"\n", 1 << 20
    transport: Any

    def __init__(self, totals: Totals):
        self._totals, self._ids = totals, itertools.count(1)
        self._statements: set[int] = set()

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self._totals.connected += 1
        self._call("alive", {})  # a connection must say something at first

    def _call(self, method: str, parameters: dict[str, Any]) -> int:
        number = next(self._ids)
        message = {"jsonrpc": "2.0", "id": number, "method": method, "params": parameters}
        self.sendLine(json.dumps(message).encode())
        return number

    def statement(self, work: int) -> None:
        """Send one that takes an engine so many microseconds."""
        text = f"SELECT a FROM trips_1.docks /* work={work} rows=2 */".encode()
        parameters = {
            "rid": os.urandom(8).hex(),
            "budget": BUDGET_MS,
            "acct": TENANT,
            "body": base64.b64encode(text).decode(),
            "est": work / 1_000,
            "ram": 16,
        }
        self._statements.add(self._call(CLASS, parameters))
        self._totals.sent += 1

    def lineReceived(self, line: bytes) -> None:
        answer = json.loads(line)
        if answer.get("id") not in self._statements:
            return
        self._statements.discard(answer["id"])
        if "result" in answer:
            self._totals.served += 1
        elif answer["error"].get("code") == -32008:
            self._totals.refused += 1
        else:
            self._totals.failed += 1

    def connectionLost(self, reason: object = None) -> None:
        self._totals.closed += 1


class Connections:
    """A group of connections to one coordinator."""

    def __init__(self, reactor: Any, address: Address, count: int):
        self.totals, self.all = Totals(), list[Connection]()
        for _ in range(count):
            reactor.connectTCP(*address, self._factory(), timeout=5)

    def _factory(self) -> Factory:
        factory = _OneConnection(self)
        factory.noisy = False
        return factory

    def add(self) -> Connection:
        connection = Connection(self.totals)
        self.all.append(connection)
        return connection

    def close(self) -> None:
        for connection in self.all:
            if connection.transport is not None:
                connection.transport.abortConnection()


class _OneConnection(Factory):
    def __init__(self, group: Connections):
        self._group = group

    def buildProtocol(self, addr: object) -> Connection:
        return self._group.add()

    def startedConnecting(self, connector: object) -> None: ...

    def clientConnectionFailed(self, connector: object, reason: object) -> None: ...

    def clientConnectionLost(self, connector: object, reason: object) -> None: ...
