"""Frames put together into datagrams that stay below the size, with the head that says whose they are."""

import msgspec

from rackhub.fleet.link import frames as f
from rackhub.fleet.ports import DATAGRAM_LIMIT_BYTES

PACKET_OVERHEAD_BYTES = (
    56  # bytes of a packet without its names: checksum, numbers at their widest, heads of the arrays
)


class DatagramBuilder:
    """One datagram that is being filled."""

    __slots__ = ("_free_bytes", "_frames", "_names")

    def __init__(self, cluster: str, name: str, to: str):
        self._names = (cluster, name, to)
        self._free_bytes = (
            DATAGRAM_LIMIT_BYTES - 1 - PACKET_OVERHEAD_BYTES - sum(len(text.encode()) + 2 for text in self._names)
        )
        self._frames: list[msgspec.Raw] = []

    @property
    def free_bytes(self) -> int:
        return self._free_bytes

    def __len__(self) -> int:
        return len(self._frames)

    def add_frame(self, body: bytes) -> bool:
        """Whether the frame found room."""
        if len(body) > self._free_bytes:
            return False
        self._free_bytes -= len(body)
        self._frames.append(msgspec.Raw(body))
        return True

    def build(self, generation: int, stamp: int, echo: int, held: int) -> bytes:
        cluster, name, to = self._names
        return f.encode_datagram(f.Packet(f.VERSION, cluster, name, generation, to, stamp, echo, held, self._frames))
