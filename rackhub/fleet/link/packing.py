"""Frames put together into datagrams that stay below the size, with the head that says whose they are."""

import msgspec

from rackhub.fleet.link import frames as f
from rackhub.fleet.ports import DATAGRAM_LIMIT_BYTES

HEAD = 56  # bytes of a packet without its names: checksum, numbers at their widest, heads of the arrays


class Parcel:
    """One datagram that is being filled."""

    __slots__ = ("_left", "_raws", "_names")

    def __init__(self, cluster: str, name: str, to: str):
        self._names = (cluster, name, to)
        self._left = DATAGRAM_LIMIT_BYTES - 1 - HEAD - sum(len(text.encode()) + 2 for text in self._names)
        self._raws: list[msgspec.Raw] = []

    @property
    def left(self) -> int:
        return self._left

    def __len__(self) -> int:
        return len(self._raws)

    def put(self, body: bytes) -> bool:
        """Whether the frame found room."""
        if len(body) > self._left:
            return False
        self._left -= len(body)
        self._raws.append(msgspec.Raw(body))
        return True

    def close(self, boot: int, stamp: int, echo: int, held: int) -> bytes:
        cluster, name, to = self._names
        return f.datagram(f.Packet(f.VERSION, cluster, name, boot, to, stamp, echo, held, self._raws))
