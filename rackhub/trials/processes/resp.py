"""The engines' side of RESP: arrays of bulk strings in, arrays of bulk strings out."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Protocol

MOST = 1 << 20  # bytes of one command


def array(*words: bytes) -> bytes:
    return b"".join((b"*%d\r\n" % len(words), *(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)))


def whole(data: bytes, at: int) -> tuple[list[bytes], int] | None:
    """The array that begins at `at` and where it ends; None: it has not come whole. `ValueError`: it is none."""
    end = data.find(b"\r\n", at)
    if end < 0:
        return None
    if data[at : at + 1] != b"*":
        raise ValueError(f"not an array: {data[at:end][:40]!r}")
    words, here = [], end + 2
    for _ in range(int(data[at + 1 : end])):
        end = data.find(b"\r\n", here)
        if end < 0:
            return None
        if data[here : here + 1] != b"$":
            raise ValueError(f"not a bulk string: {data[here:end][:40]!r}")
        size = int(data[here + 1 : end])
        here = end + 2 + size + 2
        if here > len(data):
            return None
        words.append(data[end + 2 : here - 2])
    return words, here


def fields_of(text: bytes) -> dict[str, str]:
    if text == b"-":
        return {}
    return {name: value for name, _, value in (part.partition("=") for part in text.decode().split(","))}


class RespPeer(Protocol):
    """One connection of a gateway's. `heard` gets each whole command, `gone` is called once at its end."""

    transport: Any

    def __init__(self, heard: Callable[["RespPeer", list[bytes]], None], gone: Callable[["RespPeer"], None]):
        self._heard, self._gone, self._held = heard, gone, b""

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        data, at = self._held + data, 0
        try:
            while found := whole(data, at):
                words, at = found
                self._heard(self, words)
            self._held = data[at:]
            if len(self._held) > MOST:
                raise ValueError("a command without end")
        except ValueError:
            self.transport.abortConnection()

    def connectionLost(self, reason: object = None) -> None:
        self._gone(self)

    def say(self, id: bytes, word: bytes, fields: bytes = b"-", body: bytes = b"") -> None:
        self.transport.write(array(id, word, fields, body))
