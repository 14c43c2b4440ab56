"""What a datagram may do here: whose it is, whether it is of the present process, how long it was on its way. Pure."""

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.bucket import Bucket
from rackhub.fleet.link.inbox import Inbox
from rackhub.fleet.link.outbox import Outbox
from rackhub.fleet.members.here import Here, Mailed
from rackhub.fleet.members.news import NOTE
from rackhub.fleet.members.peer import Peer
from rackhub.fleet.members.probing import Probing
from rackhub.fleet.members.records import Records
from rackhub.fleet.members.sync import Sync
from rackhub.fleet.members.table import Table
from rackhub.fleet.members.talk import Talk

DRIFT = 10  # held milliseconds by this are the microseconds that two clocks differ over them: 1 in 10,000
STAMP_HELD = 2_000_000  # microseconds after which a stamp gives way to a lower one: it was wrong, or a clock began anew


class Receive:
    def __init__(
        self, here: Here, table: Table, records: Records, talk: Talk, probing: Probing, sync: Sync, outbox: Outbox
    ):
        self._here, self._table, self._records, self._talk = here, table, records, talk
        self._probing, self._sync, self._outbox = probing, sync, outbox
        self._newcomers = Bucket(here.limits.newcomers, here.limits.newcomers, here.now)
        self._born = here.now // 1_000

    def came(self, data: bytes) -> None:
        here = self._here
        try:
            packet = f.read(data)
        except f.Damaged as bad:
            here.count(str(bad))
            return
        if packet.cluster != here.cluster:
            here.count("other_cluster")
        elif packet.to and packet.to != here.me:
            here.count("not_for_me")
        elif packet.name == here.me:
            self._own_name(packet)
        else:
            peer = self._sender(packet)
            if peer is not None:
                self._take(peer, packet)

    def _own_name(self, packet: f.Packet) -> None:
        """From a process that says it is this gateway: the own call to a seed, or a clash."""
        if packet.boot == self._table.own.boot:
            self._here.count("own_packets")
            return
        claim = f.first_claim(packet)
        if claim is not None and (claim.host, claim.port) != self._table.own.address:
            self._table.own.clash(packet.name, f"{claim.host}:{claim.port}")

    def _sender(self, packet: f.Packet) -> Peer | None:
        """Who sent it; None: it is not to be taken."""
        here, peer = self._here, self._table.peers.get(packet.name)
        if peer is None or packet.boot > peer.boot:
            if not self._newcomers.take(here.now):
                here.count("newcomers_over")
                return None
            claim = f.first_claim(packet)
            if claim is None:
                here.count("strangers")
                return None
            self._table.merge(claim, packet.name)
            peer = self._table.peers.get(packet.name)
            if peer is None:
                return None
            if peer.boot != packet.boot:
                self._correct(peer, claim)
                return None
        if packet.boot < peer.boot:
            here.count("old_packets")
            if self._newcomers.take(here.now):
                self._correct(peer, f.first_claim(packet))
            return None
        if peer.rate is None:
            peer.rate = Bucket(here.limits.packets, here.limits.burst, here.now)
        if not peer.rate.take(here.now):
            here.count("over_rate")
            return None
        return peer

    def _correct(self, peer: Peer, claim: f.Claim | None) -> None:
        """Tell one that goes by a name whose process here is another: it rises above that one's boot number where that
        is its own or gone, and names the clash where it lives."""
        address = peer.address if claim is None else (claim.host, claim.port)
        if address != peer.address and peer.living and claim is not None and claim.boot < peer.boot:
            self._table.own.clash(peer.name, f"{claim.host}:{claim.port}")
        self._talk.call(address, peer.claim())

    def _take(self, peer: Peer, packet: f.Packet) -> None:
        here = self._here
        if peer.came is None or not peer.hears():
            self._table.touch(peer)
        peer.came = here.now
        way = self._way(packet)
        if packet.stamp > peer.stamp or here.now - peer.stamp_at > STAMP_HELD:
            peer.stamp, peer.stamp_at = packet.stamp, here.now
        if way is None and (peer.greeted is None or here.now - peer.greeted > here.timing.period):
            peer.greeted = here.now
            self._talk.to(peer, f.Hello(), news=False)
        for raw in packet.frames:
            try:
                frame = f.frame(raw)
            except f.Damaged as bad:
                here.count(str(bad))
                continue
            self._dispatch(peer, frame, way)

    def _way(self, packet: f.Packet) -> int | None:
        """Microseconds that this packet was on its way at the most: what the way there and back took. None: the sender
        has nothing of this process yet, so there is no bound."""
        if packet.echo < self._born or not packet.echo:
            return None
        way = (self._here.now // 1_000 - packet.echo - packet.held + 1) * 1_000 + packet.held // DRIFT
        return max(0, way) if -2_000 <= way <= self._here.limits.way_most else None

    def _dispatch(self, peer: Peer, frame: f.Any, way: int | None) -> None:
        match frame:
            case f.Claim():
                self._table.merge(frame, peer.name)
            case f.Ping():
                self._probing.pinged(peer, frame)
            case f.Ack():
                self._probing.acked(peer, frame)
            case f.Ask():
                self._probing.asked(peer, frame)
            case f.Nack():
                self._probing.nacked(peer, frame)
            case f.Note():
                self._note(peer, frame, way)
            case f.Digest():
                self._sync.digested(peer, frame)
            case f.Want():
                self._sync.wanted(peer, frame)
            case f.Page():
                self._page(peer, frame)
            case f.Got():
                for name, page in self._outbox.got(self._here.now, peer.name, frame):
                    self._talk.to(self._table.peers[name], page, news=False)

    def _note(self, sender: Peer, note: f.Note, way: int | None) -> None:
        """A record. One of a process that is not the present one of its owner changes nothing, and one that may have
        been on its way for ever is not taken: it comes again."""
        here = self._here
        if note.owner == here.me:
            if note.boot == self._table.own.boot:
                self._own_note(sender, note)
            return
        owner = self._table.peers.get(note.owner)
        if owner is None or note.boot != owner.boot or owner.rank == f.LEFT:
            here.count("notes_of_nobody" if owner is None or note.boot > owner.boot else "old_notes")
        elif way is None:
            here.count("notes_undated")
        elif self._records.take(note, way):
            here.count("notes")
            self._talk.news(NOTE, note.owner, note.kind)

    def _own_note(self, sender: Peer, note: f.Note) -> None:
        risen = self._records.rise(note)
        if risen is False:
            self._table.blame(sender.name)
        elif risen:
            self._here.count("numbers_raised")
            self._talk.news(NOTE, note.owner, note.kind)

    def _page(self, peer: Peer, page: f.Page) -> None:
        here = self._here
        if page.boot != self._table.own.boot:
            here.count("old_pages")
            return
        if peer.inbox is None:
            peer.inbox = Inbox(here.limits, here.count)
        got, body = peer.inbox.page(page)
        if got is not None:
            self._talk.to(peer, got, news=False)
        if body is not None:
            here.count("mail_in")
            here.do(Mailed(peer.name, page.kind, body))
