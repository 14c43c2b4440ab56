"""What goes to one member: the frames that are meant for it, and news in the room that is left. Pure."""

from collections.abc import Iterable, Iterator

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.datagram_builder import DatagramBuilder
from rackhub.fleet.link.token_bucket import TokenBucket
from rackhub.fleet.members.context import Context, SendDatagram
from rackhub.fleet.members.dissemination import CLAIM, RECORD, DisseminationQueue, UpdateKey
from rackhub.fleet.members.gossip_records import GossipRecords
from rackhub.fleet.members.peer import Peer
from rackhub.fleet.members.table import MemberTable
from rackhub.fleet.ports import Address

MAX_SKIPPED_UPDATES = 8  # pieces of news that found no room, before the rest is left for the next packet


class Outgoing:
    def __init__(self, context: Context, table: MemberTable, records: GossipRecords, dissemination: DisseminationQueue):
        self._context, self._table, self._records, self._dissemination = context, table, records, dissemination

    def send(self, peer: Peer, *frames: f.AnyFrame, piggyback: bool = True) -> None:
        """One datagram. Whoever is not simply alive here is told so first: it may object."""
        builder = self._new_datagram(peer, any(isinstance(frame, f.Ping) for frame in frames))
        for frame in frames:
            builder.add_frame(f.encode(frame))
        if piggyback:
            self._piggyback(builder, peer.name, set())
        self._emit(peer, builder)

    def send_all(self, peer: Peer, frames: Iterable[f.AnyFrame]) -> bool:
        """As many datagrams as these need, but no more than the member's share; False: some were left out."""
        limits, now = self._context.limits, self._context.now
        if peer.sync_bucket is None:
            peer.sync_bucket = TokenBucket(limits.sync_datagrams_per_second, limits.sync_datagrams_per_second, now)
        builder = self._new_datagram(peer)
        for frame in frames:
            body = f.encode(frame)
            if builder.add_frame(body):
                continue
            if not peer.sync_bucket.take(now):
                self._context.count("answers_over")
                return False
            self._emit(peer, builder)
            builder = self._new_datagram(peer)
            builder.add_frame(body)
        if len(builder) and peer.sync_bucket.take(now):
            self._emit(peer, builder)
        return True

    def send_to_address(self, address: Address, *frames: f.AnyFrame) -> None:
        """To whoever stands there: a request to join."""
        builder = DatagramBuilder(self._context.cluster, self._context.local_name, "")
        for frame in (self._table.local_member.claim(), *frames):
            builder.add_frame(f.encode(frame))
        self._context.emit(
            SendDatagram(address, builder.build(self._table.local_member.generation, self._stamp(), 0, 0))
        )

    def send_updates(self, peer: Peer, max_datagrams: int) -> bool:
        """News alone, in up to `most` datagrams; whether there was any."""
        included: set[UpdateKey] = set()
        for _ in range(max_datagrams):
            builder = self._new_datagram(peer)
            if not self._piggyback(builder, peer.name, included):
                break
            self._emit(peer, builder)
        return bool(included)

    def _new_datagram(self, peer: Peer, with_local_claim: bool = False) -> DatagramBuilder:
        builder = DatagramBuilder(self._context.cluster, self._context.local_name, peer.name)
        if with_local_claim or self._table.local_member.recently_started:
            builder.add_frame(f.encode(self._table.local_member.claim()))
        if peer.rank != f.ALIVE:
            builder.add_frame(f.encode(peer.claim()))
        return builder

    def _emit(self, peer: Peer, builder: DatagramBuilder) -> None:
        held = (self._context.now - peer.stamp_at) // 1_000 if peer.stamp else 0
        self._context.emit(
            SendDatagram(
                peer.address, builder.build(self._table.local_member.generation, self._stamp(), peer.stamp, held)
            )
        )

    def _stamp(self) -> int:
        return self._context.now // 1_000

    def _piggyback(self, builder: DatagramBuilder, to: str, included: set[UpdateKey]) -> int:
        """What is not done yet, and not a member's own record that it would get back."""
        timing, size, skipped, count = self._context.timing, self._table.size, 0, 0
        for key in self._dissemination.keys():
            if skipped >= MAX_SKIPPED_UPDATES or builder.free_bytes < 24:
                break
            if key in included or key[0] == RECORD and key[1] == to:
                continue
            frame = self._update_frame(key)
            if frame is None:
                self._dissemination.remove(*key)
            elif builder.add_frame(f.encode(frame)):
                self._dissemination.mark_sent(
                    key, timing.claim_transmissions(size) if key[0] == CLAIM else timing.record_transmissions(size)
                )
                count += 1
                included.add(key)
            else:
                skipped += 1
        return count

    def _update_frame(self, key: UpdateKey) -> f.AnyFrame | None:
        if key[0] == CLAIM:
            return self._table.claim(key[1])
        return self._records.to_update(key[1], key[2])

    def state_frames(self, name: str, kinds: Iterable[str]) -> Iterator[f.AnyFrame]:
        """A member's claim and those of its records."""
        claim = self._table.claim(name)
        if claim is not None:
            yield claim
        for kind in kinds:
            update = self._records.to_update(name, kind)
            if update is not None:
                yield update

    def disseminate(self, *key: str) -> None:
        self._dissemination.enqueue(*key)


__all__ = ["CLAIM", "RECORD", "Outgoing"]
