"""One line out, one line back: readiness, the staff's address, the control port, and a single request, on TCP."""

import json
from collections.abc import Callable
from typing import Any

from twisted.protocols.basic import LineOnlyReceiver

from rackhub.fleet.ports import Address
from rackhub.net.dial import SingleConnectionFactory

MOST = 1 << 21


class _Call(LineOnlyReceiver):
    delimiter, MAX_LENGTH = b"\n", MOST
    transport: Any

    def __init__(self, line: bytes, done: Callable[[bytes | None], None]):
        self._line, self._done, self._over = line, done, False

    def connectionMade(self) -> None:
        self.sendLine(self._line)

    def lineReceived(self, line: bytes) -> None:
        self._end(line)
        self.transport.loseConnection()

    def connectionLost(self, reason: object = None) -> None:
        self._end(None)

    def give_up(self) -> None:
        self._end(None)
        if self.transport is not None:
            self.transport.abortConnection()

    def _end(self, line: bytes | None) -> None:
        if not self._over:
            self._over = True
            self._done(line)


def call(
    reactor: Any, address: Address, line: bytes, done: Callable[[bytes | None], None], patience: float = 2.0
) -> None:
    """`done` gets the line that came back, or None: nobody listened, it closed, or the time was over."""
    protocol = _Call(line, done)
    reactor.connectTCP(*address, SingleConnectionFactory(protocol, protocol.connectionLost), timeout=patience)
    limit = reactor.callLater(patience, protocol.give_up)

    def finished(line: bytes | None) -> None:
        if limit.active():
            limit.cancel()
        done(line)

    protocol._done = finished


def say(
    reactor: Any,
    address: Address,
    message: dict[str, Any],
    done: Callable[[dict[str, Any] | None], None],
    patience: float = 2.0,
) -> None:
    """The same with one JSON object each way; what can't be read counts as no answer."""

    def heard(line: bytes | None) -> None:
        try:
            told = json.loads(line) if line else None
        except ValueError:
            told = None
        done(told if isinstance(told, dict) else None)

    call(reactor, address, json.dumps(message).encode(), heard, patience)


def alive(reactor: Any, address: Address, done: Callable[[bool], None]) -> None:
    """Whether a gateway takes requests."""
    say(
        reactor,
        address,
        {"jsonrpc": "2.0", "id": 1, "method": "alive"},
        lambda told: done(bool(told and told.get("result", {}).get("pass"))),
    )
