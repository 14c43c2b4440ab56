"""The membership core of one gateway: members, gossip state and messages as a state machine without I/O.

`step(now, event)` takes an event and returns effects; `now` is in microseconds of the local monotonic clock and never
goes back. `due` says when the next `Tick` is needed. A `Tick` that comes much later shows that this process did not run
meanwhile.
"""

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.limits import Limits
from rackhub.fleet.link.outbox import Outbox
from rackhub.fleet.members import reachability
from rackhub.fleet.members.anti_entropy import AntiEntropy
from rackhub.fleet.members.context import Context, Effect, MessageReceived
from rackhub.fleet.members.dissemination import CLAIM, RECORD, DisseminationQueue
from rackhub.fleet.members.events import DatagramReceived, Event, Leave, PublishRecord, SendMessage, Start, Tick
from rackhub.fleet.members.gossip_records import GossipRecords
from rackhub.fleet.members.local_member import LocalMember
from rackhub.fleet.members.outgoing import Outgoing
from rackhub.fleet.members.peer import Peer
from rackhub.fleet.members.probing import Probing
from rackhub.fleet.members.receive import Receiver
from rackhub.fleet.members.table import MemberTable
from rackhub.fleet.members.timing import SECOND, Timing
from rackhub.fleet.ports import MAX_MESSAGE_BYTES, Name

JOIN_INTERVAL_ALONE = 1 * SECOND  # time between join requests to all seeds while no other live member is known
MINIMUM_TICK_INTERVAL = 1_000  # microseconds; keeps a fault from causing a busy loop
EXPECTED_NOTIFIERS = 4  # expected number of members that notify a suspected member
JOIN_INTERVAL_PERIODS = 20  # probe periods between join requests to a seed whose address is no live member's


class Core:
    """The components of the core and the timers that they share."""

    def __init__(self, start: Start, timing: Timing, limits: Limits, now: int):
        self.context = context = Context(start.name, start.cluster, timing, limits, start.seed, now)
        self.dissemination = DisseminationQueue(limits.max_queued_updates, context.count)
        self.records = GossipRecords(context)
        self.table = MemberTable(context, self.dissemination, self.records)
        self.local_member = self.table.local_member = LocalMember(
            context, start.address, start.generation, start.client_address, start.site, self._local_member_changed
        )
        self.outgoing = Outgoing(context, self.table, self.records, self.dissemination)
        self.probing = Probing(context, self.table, self.outgoing)
        self.anti_entropy = AntiEntropy(context, self.table, self.records, self.outgoing)
        self.outbox = Outbox(limits, context.count)
        self._receive = Receiver(
            context, self.table, self.records, self.outgoing, self.probing, self.anti_entropy, self.outbox
        )
        self.table.on_doubtful_claim = self._verify_claim
        self.table.on_suspected = self._notify_suspected
        self.table.on_returned = self._member_returned
        self._seeds = [seed for seed in start.seeds if seed != start.address]
        self._join_at = self._gossip_at = self._inquiry_at = now
        self._reachability_reports, self._published_reachability, self._publish_reachability_at = (
            reachability.ReachabilityReports(self.records),
            b"",
            now,
        )
        self._due = now

    def due(self) -> int:
        """The time at which the next `Tick` is needed."""
        return self._due

    def step(self, now: int, event: Event) -> list[Effect]:
        """Handle an event and return its effects.

        Raises `ValueError`, changing nothing, for an invalid record or message.
        """
        context = self.context
        gap = now - self._due
        context.now = now
        if gap > context.timing.probe_period:
            self._handle_stall(gap)
        match event:
            case DatagramReceived(data):
                self._receive.handle_datagram(data)
            case PublishRecord(kind, body):
                self._publish(kind, body)
            case SendMessage(to, kind, body):
                self._send_message(to, kind, body)
            case Leave():
                self._leave()
        if now >= self._due or isinstance(event, Tick):
            self._tick()
        self.table.emit_changes()
        self._due = self._next_due()
        effects, context.effects = context.effects, []
        return effects

    # ---- timers

    def _next_due(self) -> int:
        """The time at which the next tick is needed, at least `MINIMUM_TICK_INTERVAL` from now."""
        dues = [self._gossip_at]
        if not self.local_member.leaving:
            dues.append(self.probing.due())
        message_due = self.outbox.due()
        if message_due is not None:
            dues.append(message_due)
        return max(self.context.now + MINIMUM_TICK_INTERVAL, min(dues))

    def _tick(self) -> None:
        context = self.context
        for peer in self.table.peers.values():
            if peer.suspicion is not None:
                self.table.expire_suspicion(peer)
        for to, page in self.outbox.tick(context.now):
            self._send_page(to, page)
        if not self.local_member.leaving:
            self.probing.tick()
            self.anti_entropy.tick()
            self._join_seeds()
        if context.now >= self._gossip_at:
            self._gossip_at = context.now + context.timing.gossip_interval
            self._publish_reachability()
            self._gossip()

    def _handle_stall(self, gap: int) -> None:
        self.context.count("stood_still")
        self.probing.handle_stall(gap)
        self._due = self.context.now
        self.anti_entropy.schedule_soon()

    def _gossip(self) -> None:
        if not len(self.dissemination):
            return
        candidates = sorted(peer.name for peer in self.table.live())
        for name in self.context.random.sample(candidates, min(self.context.timing.gossip_fanout, len(candidates))):
            self.outgoing.send_updates(self.table.peers[name], self.context.timing.gossip_datagrams)

    def _join_seeds(self) -> None:
        """Ask to join at seeds whose address is no live member's: at all while alone, else at one of them."""
        context = self.context
        if context.now < self._join_at or not self._seeds:
            return
        is_alone = self.table.size == 1
        self._join_at = context.now + (
            JOIN_INTERVAL_ALONE if is_alone else JOIN_INTERVAL_PERIODS * context.timing.probe_period
        )
        live_addresses = {peer.address for peer in self.table.live()}
        missing = [seed for seed in self._seeds if seed not in live_addresses]
        if not is_alone and missing:
            missing = [context.random.choice(missing)]
        for seed in missing:
            self.outgoing.send_to_address(seed, *self.anti_entropy.digests())

    # ---- reactions to changes

    def _local_member_changed(self, is_new_generation: bool) -> None:
        """Disseminate the local claim. With a new generation, records are sent again under it."""
        self.dissemination.enqueue(CLAIM, self.context.local_name)
        if not self.local_member.leaving:
            self.probing.health.record_failure()
        if is_new_generation:
            self.outbox.drop_all()
            for kind in self.records.set_generation(self.local_member.generation):
                self.dissemination.enqueue(RECORD, self.context.local_name, kind)

    def _verify_claim(self, claim: f.Claim) -> None:
        """Contact the subject of an implausible claim, which may confirm it. At most once per probe period."""
        if self.context.now >= self._inquiry_at:
            self._inquiry_at = self.context.now + self.context.timing.probe_period
            self.outgoing.send_to_address((claim.host, claim.port))

    def _notify_suspected(self, peer: Peer) -> None:
        """Probe a newly suspected member, which tells it of the suspicion.

        The accuser always does so. Each other member does with a probability such that `EXPECTED_NOTIFIERS` do on
        average.
        """
        if not self.local_member.leaving and (
            peer.suspected_by == self.context.local_name
            or self.context.random.random() * self.table.size < EXPECTED_NOTIFIERS
        ):
            self.probing.probe_outside_rounds(peer)

    def _member_returned(self, peer: Peer, from_subject: bool) -> None:
        """Handle the return of a member that was gone: probe it, as its reachability may have changed.

        If the claim came from the member itself, others may be back with it, so start an anti-entropy exchange.
        """
        if peer.missed_probes:
            self.probing.probe_outside_rounds(peer)
        if from_subject:
            self.anti_entropy.begin_exchange(peer)

    def _publish_reachability(self) -> None:
        """Publish the reachability record if it changed.

        The rate is limited, as many changes come while a fleet forms or falls apart.
        """
        if self.context.now < self._publish_reachability_at:
            return
        body = reachability.encode_reachability(self.table.peers.values())
        if body != self._published_reachability:
            self._published_reachability, self._publish_reachability_at = (
                body,
                self.context.now + self.context.timing.reachability_interval(self.table.size),
            )
            self._publish(reachability.KIND, body)

    # ---- local operations

    def _publish(self, kind: str, body: bytes) -> None:
        self.records.publish(self.local_member.generation, kind, body)
        self.dissemination.enqueue(RECORD, self.context.local_name, kind)

    def _send_message(self, to: Name, kind: str, body: bytes) -> None:
        if len(body) > MAX_MESSAGE_BYTES:
            raise ValueError(f"message of {len(body)} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes")
        if not 0 < len(kind.encode()) <= 32:
            raise ValueError(f"message kind {kind!r} has {len(kind.encode())} bytes, allowed are 1 to 32")
        if to == self.context.local_name:
            self.context.emit(MessageReceived(to, kind, body))
            return
        peer = self.table.peers.get(to)
        if peer is None or not peer.is_live:
            self.context.count("mail_to_nobody")
            return
        for name, page in self.outbox.send(self.context.now, to, peer.generation, kind, body):
            self._send_page(name, page)

    def _send_page(self, to: Name, page: f.Page) -> None:
        peer = self.table.peers.get(to)
        if peer is not None:
            self.outgoing.send(peer, page, piggyback=False)

    def _leave(self) -> None:
        """Send the claim of leaving to all live members at once; gossip repeats it until the process ends."""
        if self.local_member.leaving:
            return
        self.local_member.leave()
        for peer in list(self.table.live()):
            self.outgoing.send(peer, self.local_member.claim())

    # ---- queries

    def receives_from(self, receiver: Name, sender: Name) -> bool | None:
        """Return whether `receiver` receives datagrams from `sender`; None if not known."""
        if receiver == sender:
            return True
        if receiver == self.context.local_name:
            peer = self.table.peers.get(sender)
            return None if peer is None else peer.reaches_local_member()
        if receiver not in self.table.peers or not self.table.peers[receiver].is_live:
            return None
        return self._reachability_reports.receives_from(receiver, sender)


__all__ = ["DatagramReceived", "Core", "Event", "Leave", "PublishRecord", "SendMessage", "Start", "Tick"]
