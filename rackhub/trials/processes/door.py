"""A TCP address in front of another one: lets through, holds back, cuts one way, trickles, resets; or changes, drops
and doubles whole lines, so that audits can be shown to see it."""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.protocol import Factory, Protocol

from rackhub.fleet.ports import Address
from rackhub.net.dial import SingleConnectionFactory

Lines = Callable[[bytes], list[bytes]]


class Mode(msgspec.Struct, forbid_unknown_fields=True):
    """`there` and `back`: whether bytes go on in that direction; what is held goes out when they do again. `closed`:
    newcomers are cut at once. `trickle`: microseconds before each byte back, 0: none."""

    there: bool = True
    back: bool = True
    closed: bool = False
    trickle: int = 0


class _Side(Protocol):
    """One end of a connection through the door."""

    transport: Any

    def __init__(self, door: "Door", back: bool):
        self.door, self.is_back, self.other, self.held = door, back, None, b""
        self._line, self._trickling = b"", False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.door.sides.add(self)
        if self.is_back and self.other is not None:
            self.other.flush()

    def dataReceived(self, data: bytes) -> None:
        """What this side says goes to the other one."""
        if self.is_back and self.door.lines is not None:
            *lines, self._line = (self._line + data).split(b"\n")
            data = b"".join(out + b"\n" for line in lines for out in self.door.lines(line))
        self.held += data
        self.flush()

    def flush(self) -> None:
        mode, other = self.door.mode, self.other
        if other is None or other.transport is None or not self.held or not (mode.back if self.is_back else mode.there):
            return
        if self.is_back and mode.trickle:
            if not self._trickling:
                self._trickling = True
                self.door.reactor.callLater(mode.trickle / 1_000_000, self._one)
            return
        other.transport.write(self.held)
        self.held = b""

    def _one(self) -> None:
        self._trickling = False
        if self.held and self.other is not None and self.other.transport is not None:
            self.other.transport.write(self.held[:1])
            self.held = self.held[1:]
            self.flush()

    def connectionLost(self, reason: object = None) -> None:
        self.door.sides.discard(self)
        if self.other is not None and self.other.transport is not None:
            self.other.transport.loseConnection()


class Door:
    """Listens at `address` and stands for `target`. `lines` is handed each whole line that comes back and gives those
    that go on."""

    def __init__(self, reactor: Any, host: str, target: Address, lines: Lines | None = None):
        self.reactor, self.target, self.lines, self.mode = reactor, target, lines, Mode()
        self.sides: set[_Side] = set()
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _: self._build()  # type: ignore[method-assign, assignment]
        self._port = reactor.listenTCP(0, factory, interface=host)
        self.address: Address = (host, self._port.getHost().port)

    def _build(self) -> _Side | None:
        if self.mode.closed:
            return None
        front, behind = _Side(self, back=False), _Side(self, back=True)
        front.other, behind.other = behind, front  # type: ignore[assignment]
        self.reactor.connectTCP(
            *self.target, SingleConnectionFactory(behind, lambda: front.transport.loseConnection()), timeout=2
        )
        return front

    def set(self, mode: Mode) -> None:
        self.mode = mode
        for side in list(self.sides):
            side.flush()

    def reset(self) -> None:
        """End all connections through it at once."""
        for side in list(self.sides):
            side.transport.abortConnection()

    def close(self) -> None:
        self._port.stopListening()
        self.reset()
