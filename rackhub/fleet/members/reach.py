"""Directed reachability: each member says on the board whom it hears straight. Pure.

Names go as four bytes of their CRC-32. Up to 48 members a record lists those that are heard; above, those of the known
that are not, so that it stays small: one that its owner has not heard of yet then counts as heard until it has.
"""

import zlib
from collections.abc import Iterable

import msgspec

from rackhub.fleet.members.peer import Peer
from rackhub.fleet.members.records import Records
from rackhub.fleet.ports import Name

KIND = "reach"
MOST = 48  # heard ones that are listed
ROOM = 220  # marks in a record


class Reach(msgspec.Struct, frozen=True, array_like=True):
    """`heard`: whether the marks are of those heard or of those not heard."""

    heard: bool
    marks: bytes


def mark(name: Name) -> bytes:
    return zlib.crc32(name.encode()).to_bytes(4, "big")


def said(peers: Iterable[Peer]) -> bytes:
    """The own record, of those that live: the same bytes as long as the same are heard."""
    heard: list[bytes] = []
    not_heard: list[bytes] = []
    for peer in peers:
        if peer.living:
            (heard if peer.hears() else not_heard).append(mark(peer.name))
    listed = sorted(heard) if len(heard) <= MOST else sorted(not_heard)[:ROOM]
    return msgspec.msgpack.encode(Reach(len(heard) <= MOST, b"".join(listed)))


class Words:
    """What the others' records say, read once for each number."""

    def __init__(self, records: Records):
        self._records = records
        self._read: dict[Name, tuple[tuple[int, int], Reach | None, frozenset[bytes]]] = {}

    def hears(self, one: Name, other: Name) -> bool | None:
        """By the word of `one`; None: it has not said so, or not in words that can be read."""
        record = self._records.get(one, KIND)
        if record is None:
            self._read.pop(one, None)
            return None
        version = (record.generation, record.number)
        if one not in self._read or self._read[one][0] != version:
            try:
                told: Reach | None = msgspec.msgpack.decode(record.body, type=Reach)
            except (msgspec.DecodeError, msgspec.ValidationError):
                told = None
            marks = told.marks if told is not None else b""
            self._read[one] = (version, told, frozenset(marks[i : i + 4] for i in range(0, len(marks), 4)))
        _, told, listed = self._read[one]
        return None if told is None else (mark(other) in listed) is told.heard
