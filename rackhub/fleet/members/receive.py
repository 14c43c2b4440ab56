"""What a datagram may do here: whose it is, whether it is of the present process, how long it was on its way. Pure."""

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.inbox import Inbox
from rackhub.fleet.link.outbox import Outbox
from rackhub.fleet.link.token_bucket import TokenBucket
from rackhub.fleet.members.anti_entropy import AntiEntropy
from rackhub.fleet.members.context import Context, MessageReceived
from rackhub.fleet.members.dissemination import RECORD
from rackhub.fleet.members.gossip_records import GossipRecords
from rackhub.fleet.members.outgoing import Outgoing
from rackhub.fleet.members.peer import Peer
from rackhub.fleet.members.probing import Probing
from rackhub.fleet.members.table import MemberTable

CLOCK_DRIFT_DIVISOR = 10  # held milliseconds by this are the microseconds that two clocks differ over them: 1 in 10,000
STAMP_LIFETIME = (
    2_000_000  # microseconds after which a stamp gives way to a lower one: it was wrong, or a clock began anew
)


class Receiver:
    def __init__(
        self,
        context: Context,
        table: MemberTable,
        records: GossipRecords,
        outgoing: Outgoing,
        probing: Probing,
        anti_entropy: AntiEntropy,
        outbox: Outbox,
    ):
        self._context, self._table, self._records, self._outgoing = context, table, records, outgoing
        self._probing, self._anti_entropy, self._outbox = probing, anti_entropy, outbox
        self._newcomer_bucket = TokenBucket(
            context.limits.newcomer_packets_per_second, context.limits.newcomer_packets_per_second, context.now
        )
        self._started_stamp = context.now // 1_000

    def handle_datagram(self, data: bytes) -> None:
        context = self._context
        try:
            packet = f.decode_datagram(data)
        except f.FrameError as error:
            context.count(str(error))
            return
        if packet.cluster != context.cluster:
            context.count("other_cluster")
        elif packet.to and packet.to != context.local_name:
            context.count("not_for_me")
        elif packet.name == context.local_name:
            self._handle_local_name(packet)
        else:
            peer = self._accept_sender(packet)
            if peer is not None:
                self._handle_packet(peer, packet)

    def _handle_local_name(self, packet: f.Packet) -> None:
        """From a process that says it is this gateway: the own call to a seed, or a clash."""
        if packet.generation == self._table.local_member.generation:
            self._context.count("own_packets")
            return
        claim = f.first_claim(packet)
        if claim is not None and (claim.host, claim.port) != self._table.local_member.address:
            self._table.local_member.report_clash(packet.name, f"{claim.host}:{claim.port}")

    def _accept_sender(self, packet: f.Packet) -> Peer | None:
        """Who sent it; None: it is not to be taken."""
        context, peer = self._context, self._table.peers.get(packet.name)
        if peer is None or packet.generation > peer.generation:
            if not self._newcomer_bucket.take(context.now):
                context.count("newcomers_over")
                return None
            claim = f.first_claim(packet)
            if claim is None:
                context.count("strangers")
                return None
            self._table.merge(claim, packet.name)
            peer = self._table.peers.get(packet.name)
            if peer is None:
                return None
            if peer.generation != packet.generation:
                self._correct_sender(peer, claim)
                return None
        if packet.generation < peer.generation:
            context.count("old_packets")
            if self._newcomer_bucket.take(context.now):
                self._correct_sender(peer, f.first_claim(packet))
            return None
        if peer.packet_bucket is None:
            peer.packet_bucket = TokenBucket(
                context.limits.packets_per_second, context.limits.packet_burst, context.now
            )
        if not peer.packet_bucket.take(context.now):
            context.count("over_rate")
            return None
        return peer

    def _correct_sender(self, peer: Peer, claim: f.Claim | None) -> None:
        """Tell one that goes by a name whose process here is another: it rises above that one's boot number where that
        is its own or gone, and names the clash where it lives."""
        address = peer.address if claim is None else (claim.host, claim.port)
        if address != peer.address and peer.is_live and claim is not None and claim.generation < peer.generation:
            self._table.local_member.report_clash(peer.name, f"{claim.host}:{claim.port}")
        self._outgoing.send_to_address(address, peer.claim())

    def _handle_packet(self, peer: Peer, packet: f.Packet) -> None:
        context = self._context
        if peer.last_received is None or not peer.receives_directly():
            self._table.mark_changed(peer)
        peer.last_received = context.now
        transit_time = self._transit_time(packet)
        if packet.stamp > peer.stamp or context.now - peer.stamp_at > STAMP_LIFETIME:
            peer.stamp, peer.stamp_at = packet.stamp, context.now
        if transit_time is None and (
            peer.greeted_at is None or context.now - peer.greeted_at > context.timing.probe_period
        ):
            peer.greeted_at = context.now
            self._outgoing.send(peer, f.Hello(), piggyback=False)
        for encoded in packet.frames:
            try:
                frame = f.decode_frame(encoded)
            except f.FrameError as error:
                context.count(str(error))
                continue
            self._dispatch(peer, frame, transit_time)

    def _transit_time(self, packet: f.Packet) -> int | None:
        """Microseconds that this packet was on its way at the most: what the way there and back took. None: the sender
        has nothing of this process yet, so there is no bound."""
        if packet.echo < self._started_stamp or not packet.echo:
            return None
        transit_time = (
            self._context.now // 1_000 - packet.echo - packet.held + 1
        ) * 1_000 + packet.held // CLOCK_DRIFT_DIVISOR
        return max(0, transit_time) if -2_000 <= transit_time <= self._context.limits.max_transit_time else None

    def _dispatch(self, peer: Peer, frame: f.AnyFrame, transit_time: int | None) -> None:
        match frame:
            case f.Claim():
                self._table.merge(frame, peer.name)
            case f.Ping():
                self._probing.handle_ping(peer, frame)
            case f.Ack():
                self._probing.handle_ack(peer, frame)
            case f.PingReq():
                self._probing.handle_ping_req(peer, frame)
            case f.Nack():
                self._probing.handle_nack(peer, frame)
            case f.RecordUpdate():
                self._handle_record(peer, frame, transit_time)
            case f.Digest():
                self._anti_entropy.handle_digest(peer, frame)
            case f.StateRequest():
                self._anti_entropy.handle_request(peer, frame)
            case f.Page():
                self._handle_page(peer, frame)
            case f.PageAck():
                for name, page in self._outbox.handle_page_ack(self._context.now, peer.name, frame):
                    self._outgoing.send(self._table.peers[name], page, piggyback=False)

    def _handle_record(self, sender: Peer, update: f.RecordUpdate, transit_time: int | None) -> None:
        """A record. One of a process that is not the present one of its owner changes nothing, and one that may have
        been on its way for ever is not taken: it comes again."""
        context = self._context
        if update.owner == context.local_name:
            if update.generation == self._table.local_member.generation:
                self._handle_local_record(sender, update)
            return
        owner = self._table.peers.get(update.owner)
        if owner is None or update.generation != owner.generation or owner.rank == f.LEFT:
            context.count("notes_of_nobody" if owner is None or update.generation > owner.generation else "old_notes")
        elif transit_time is None:
            context.count("notes_undated")
        elif self._records.merge(update, transit_time):
            context.count("notes")
            self._outgoing.disseminate(RECORD, update.owner, update.kind)

    def _handle_local_record(self, sender: Peer, update: f.RecordUpdate) -> None:
        raised = self._records.raise_number(update)
        if raised is False:
            self._table.report_implausible_claim(sender.name)
        elif raised:
            self._context.count("numbers_raised")
            self._outgoing.disseminate(RECORD, update.owner, update.kind)

    def _handle_page(self, peer: Peer, page: f.Page) -> None:
        context = self._context
        if page.generation != self._table.local_member.generation:
            context.count("old_pages")
            return
        if peer.inbox is None:
            peer.inbox = Inbox(context.limits, context.count)
        page_ack, body = peer.inbox.handle_page(page)
        if page_ack is not None:
            self._outgoing.send(peer, page_ack, piggyback=False)
        if body is not None:
            context.count("mail_in")
            context.emit(MessageReceived(peer.name, page.kind, body))
