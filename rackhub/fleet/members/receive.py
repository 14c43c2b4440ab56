"""Incoming datagrams: checks of the sender and its generation, transit time, and dispatch of the frames. Pure."""

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

# Two clocks may differ in rate by 1 in 10,000: `held` milliseconds divided by 10 is that drift in microseconds.
CLOCK_DRIFT_DIVISOR = 10
# Microseconds after which even a lower stamp replaces the one held: that was wrong, or the sender's clock was reset.
# An association has the same value as `Limits.stamp_lifetime`.
STAMP_LIFETIME = 2_000_000


class Receiver:
    """Hands the frames of accepted packets to the other components."""

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
        """Check a datagram and handle its frames. Those not accepted are counted and dropped."""
        context = self._context
        try:
            packet = f.decode_datagram(data)
        except f.FrameError as error:
            context.count(str(error))  # the text of a FrameError is the name of a counter
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
        """Handle a packet sent under the local name.

        Count it if it is this process's own, for example a join request to itself. Report a clash if it starts with a
        claim of another address. Otherwise drop it.
        """
        if packet.generation == self._table.local_member.generation:
            self._context.count("own_packets")
            return
        claim = f.first_claim(packet)
        if claim is not None and (claim.host, claim.port) != self._table.local_member.address:
            self._table.local_member.report_clash(packet.name, f"{claim.host}:{claim.port}")

    def _accept_sender(self, packet: f.Packet) -> Peer | None:
        """Return the member that sent the packet, or None if the packet is not accepted.

        The first claim of a new sender or process is merged, a sender with an outdated generation is corrected, and the
        rate limits of newcomers and of the member apply.
        """
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
        """Tell the sender which claim this gateway holds for its name, at the address in its claim if there is one.

        The held claim is of another process: a later generation, or another address. If that process has the sender's
        address, is gone or has left, the sender raises its generation above it. If it is live at another address, two
        processes use one name: the sender reports the clash, and so does this gateway.
        """
        address = peer.address if claim is None else (claim.host, claim.port)
        if address != peer.address and peer.is_live and claim is not None and claim.generation < peer.generation:
            self._table.local_member.report_clash(peer.name, f"{claim.host}:{claim.port}")
        self._outgoing.send_to_address(address, peer.claim())

    def _handle_packet(self, peer: Peer, packet: f.Packet) -> None:
        context = self._context
        if peer.last_received is None or not peer.reaches_local_member():
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
        """Return an upper bound, in microseconds, of the packet's transit time.

        It is the round-trip time less the time for which the sender held the stamp. None if the packet echoes no stamp
        of this process, or the result is impossible.
        """
        if packet.echo < self._started_stamp or not packet.echo:
            return None
        # Stamps are whole milliseconds, hence + 1. A result of no less than -2 ms counts as 0.
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
        """Store a record of another member, and queue it for dissemination if it is newer than the one held.

        A record that is not of its owner's present process is dropped. So is one without a transit time, as its age is
        unknown; it is received again later.
        """
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
        """Handle a local record received from another member.

        If its number is above the local ones, continue above it and disseminate the record again. If it is implausibly
        far above, report the sender.
        """
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
