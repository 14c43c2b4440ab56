"""Directed reachability: each member publishes which members it receives datagrams from. Pure.

Names are hashed to the four bytes of their CRC-32. With up to 48 reachable members a record lists those; with more, it
lists the unreachable ones, so that it stays small. A member that the owner does not know yet then counts as reachable
until it does.
"""

import zlib
from collections.abc import Iterable

import msgspec

from rackhub.fleet.members.gossip_records import GossipRecords
from rackhub.fleet.members.peer import Peer
from rackhub.fleet.ports import Name

KIND = "reach"
MAX_LISTED_REACHABLE = 48  # hashes in a record; with more reachable members it lists the unreachable ones
MAX_LISTED_UNREACHABLE = 220  # hashes in a record


class ReachabilityRecord(msgspec.Struct, frozen=True, array_like=True):
    """`reachable`: whether the hashes are of reachable or of unreachable members."""

    reachable: bool
    name_hashes: bytes


def name_hash(name: Name) -> bytes:
    """The hash of a name in a record."""
    return zlib.crc32(name.encode()).to_bytes(4, "big")


def encode_reachability(peers: Iterable[Peer]) -> bytes:
    """The local record of live members. The bytes stay the same while the same members are reachable."""
    reachable: list[bytes] = []
    unreachable: list[bytes] = []
    for peer in peers:
        if peer.is_live:
            (reachable if peer.reaches_local_member() else unreachable).append(name_hash(peer.name))
    listed_hashes = (
        sorted(reachable) if len(reachable) <= MAX_LISTED_REACHABLE else sorted(unreachable)[:MAX_LISTED_UNREACHABLE]
    )
    return msgspec.msgpack.encode(ReachabilityRecord(len(reachable) <= MAX_LISTED_REACHABLE, b"".join(listed_hashes)))


class ReachabilityReports:
    """The records of other members, decoded once for each number."""

    def __init__(self, records: GossipRecords):
        self._records = records
        self._decoded: dict[Name, tuple[tuple[int, int], ReachabilityRecord | None, frozenset[bytes]]] = {}

    def receives_from(self, receiver: Name, sender: Name) -> bool | None:
        """Return whether `receiver` reports that it receives from `sender`; None without a readable record."""
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
