"""Directed reachability: each member says on the board whom it hears straight. Pure.

Names go as four bytes of their CRC-32. Up to 48 members a record lists those that are heard; above, those of the known
that are not, so that it stays small: one that its owner has not heard of yet then counts as heard until it has.
"""

import zlib
from collections.abc import Iterable

import msgspec

from rackhub.fleet.members.gossip_records import GossipRecords
from rackhub.fleet.members.peer import Peer
from rackhub.fleet.ports import Name

KIND = "reach"
MAX_LISTED_REACHABLE = 48  # heard ones that are listed
MAX_LISTED_UNREACHABLE = 220  # marks in a record


class ReachabilityRecord(msgspec.Struct, frozen=True, array_like=True):
    """`heard`: whether the marks are of those heard or of those not heard."""

    reachable: bool
    name_hashes: bytes


def name_hash(name: Name) -> bytes:
    return zlib.crc32(name.encode()).to_bytes(4, "big")


def encode_reachability(peers: Iterable[Peer]) -> bytes:
    """The own record, of those that live: the same bytes as long as the same are heard."""
    reachable: list[bytes] = []
    unreachable: list[bytes] = []
    for peer in peers:
        if peer.is_live:
            (reachable if peer.receives_directly() else unreachable).append(name_hash(peer.name))
    listed_hashes = (
        sorted(reachable) if len(reachable) <= MAX_LISTED_REACHABLE else sorted(unreachable)[:MAX_LISTED_UNREACHABLE]
    )
    return msgspec.msgpack.encode(ReachabilityRecord(len(reachable) <= MAX_LISTED_REACHABLE, b"".join(listed_hashes)))


class ReachabilityReports:
    """What the others' records say, read once for each number."""

    def __init__(self, records: GossipRecords):
        self._records = records
        self._decoded: dict[Name, tuple[tuple[int, int], ReachabilityRecord | None, frozenset[bytes]]] = {}

    def receives_from(self, receiver: Name, sender: Name) -> bool | None:
        """By the word of `one`; None: it has not said so, or not in words that can be read."""
        record = self._records.get(receiver, KIND)
        if record is None:
            self._decoded.pop(receiver, None)
            return None
        version = (record.generation, record.number)
        if receiver not in self._decoded or self._decoded[receiver][0] != version:
            try:
                report: ReachabilityRecord | None = msgspec.msgpack.decode(record.body, type=ReachabilityRecord)
            except (msgspec.DecodeError, msgspec.ValidationError):
                report = None
            name_hashes = report.name_hashes if report is not None else b""
            self._decoded[receiver] = (
                version,
                report,
                frozenset(name_hashes[i : i + 4] for i in range(0, len(name_hashes), 4)),
            )
        _, report, listed_hashes = self._decoded[receiver]
        return None if report is None else (name_hash(sender) in listed_hashes) is report.reachable
