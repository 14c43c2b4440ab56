"""SWIM's failure detector: one member is probed each period, directly and then by ping-reqs. Pure.

Lifeguard's local health multiplier lengthens period and timeout while this gateway itself seems slow.

A member that misses `cut_threshold` direct probes in a row is cut off from this gateway, even if helpers reach it. A
member that neither acks directly nor through a helper is suspected. Besides the rounds, one random member that is cut
off or gone is pinged at each `unreachable_probe_interval`, so that it is found again.
"""

from rackhub.fleet.link import frames as f
from rackhub.fleet.members.context import Context
from rackhub.fleet.members.health import LocalHealth
from rackhub.fleet.members.outgoing import Outgoing
from rackhub.fleet.members.peer import Peer
from rackhub.fleet.members.rounds import IndirectProbe, ProbeRound
from rackhub.fleet.members.table import MemberTable
from rackhub.fleet.ports import Name

# At most 256 probes for other members are open at once.
# The ack of a ping still counts 20 probe periods after its round, or after the ping if outside the rounds.
MAX_INDIRECT_PROBES, LATE_ACK_PERIODS = 256, 20


class Probing:
    """The current probe round, indirect probes for other members, and probes outside the rounds."""

    def __init__(self, context: Context, table: MemberTable, outgoing: Outgoing):
        self._context, self._table, self._outgoing = context, table, outgoing
        self.health = LocalHealth(context.timing.max_health_multiplier)
        self._seq = context.random.randrange(1 << 32)
        self._current_round: ProbeRound | None = None
        self._probe_order: list[Name] = []
        self._retry_first: list[Name] = []
        self._indirect_probes: dict[int, IndirectProbe] = {}
        # Pings that may still be acked: those outside the rounds and of missed rounds, as target and expiry by number.
        # Even a late direct ack proves that datagrams pass both ways.
        self._pending_pings: dict[int, tuple[Name, int]] = {}
        self._next_round_at = context.now + context.random.randrange(context.timing.probe_period)
        self._next_unreachable_probe_at = context.now + context.timing.unreachable_probe_interval

    def due(self) -> int:
        """The time at which `tick` is next needed."""
        next_round_event = (
            self._next_round_at
            if self._current_round is None
            else (
                self._current_round.direct_deadline
                if self._current_round.helpers is None
                else self._current_round.deadline
            )
        )
        return min(
            next_round_event,
            self._next_unreachable_probe_at,
            *(indirect_probe.nack_at or indirect_probe.expires_at for indirect_probe in self._indirect_probes.values()),
        )

    def handle_stall(self, gap: int) -> None:
        """Forget all probes after this process ran `gap` microseconds late.

        A missing ack then says nothing about its target. Suspicions last `gap` longer, and the local health multiplier
        rises. Members that were cut off before stay so.
        """
        self._current_round, self._retry_first, self._next_round_at = (
            None,
            [],
            self._context.now + self._context.timing.direct_timeout,
        )
        self._indirect_probes.clear()
        self.health.record_failure()
        for peer in self._table.peers.values():
            if peer.suspicion is not None:
                peer.suspicion.started_at += gap
            if not peer.is_cut(self._context.timing.cut_threshold):
                peer.missed_probes = 0

    def tick(self) -> None:
        """Advance the current round or start the next, send nacks that are due, and forget expired indirect probes."""
        now = self._context.now
        if self._current_round is not None:
            self._advance_round(self._current_round)
        if self._current_round is None and now >= self._next_round_at:
            self._begin_round()
        for seq, indirect_probe in list(self._indirect_probes.items()):
            if indirect_probe.nack_at and now >= indirect_probe.nack_at:
                indirect_probe.nack_at = 0
                self._reply(indirect_probe.origin, f.Nack(indirect_probe.seq))
            if now >= indirect_probe.expires_at:
                del self._indirect_probes[seq]
        if now >= self._next_unreachable_probe_at:
            self._next_unreachable_probe_at = now + self._context.timing.unreachable_probe_interval
            self._probe_unreachable()

    # ---- probe rounds

    def _next_sequence(self) -> int:
        self._seq += 1
        return self._seq

    def _next_target(self) -> Peer | None:
        while self._retry_first:
            peer = self._table.peers.get(self._retry_first.pop())
            if peer is not None and peer.is_live:
                return peer
        for _ in range(2):
            while self._probe_order:
                peer = self._table.peers.get(self._probe_order.pop())
                if peer is not None and peer.is_live:
                    return peer
            self._probe_order = sorted(peer.name for peer in self._table.live())
            self._context.random.shuffle(self._probe_order)
        return None

    def _begin_round(self) -> None:
        context, peer = self._context, self._next_target()
        factor = self.health.factor
        self._next_round_at = context.now + context.timing.probe_period * factor
        if peer is None:
            return
        self._current_round = ProbeRound(
            peer,
            self._next_sequence(),
            context.now,
            context.now + context.timing.direct_timeout * factor,
            self._next_round_at,
        )
        self._outgoing.send(peer, f.Ping(self._current_round.seq))
        context.count("probes")

    def _advance_round(self, probe_round: ProbeRound) -> None:
        now, peer = self._context.now, self._table.peers.get(probe_round.name)
        if peer is None or not peer.is_live or peer.generation != probe_round.generation:
            self._current_round = None
            return
        if probe_round.helpers is None and now >= probe_round.direct_deadline:
            if probe_round.direct_ack:
                probe_round.helpers = set()  # acked, no helpers needed
            else:
                self._send_ping_reqs(probe_round, peer)
        if now >= probe_round.deadline:
            self._current_round = None
            self._finish_round(probe_round, peer)

    def _send_ping_reqs(self, probe_round: ProbeRound, target: Peer) -> None:
        threshold = self._context.timing.cut_threshold
        candidates = sorted(
            peer.name
            for peer in self._table.live()
            if peer is not target and peer.rank == f.ALIVE and not peer.is_cut(threshold)
        )
        chosen = self._context.random.sample(
            candidates, min(self._context.timing.indirect_probe_count, len(candidates))
        )
        probe_round.helpers = set(chosen)
        for name in chosen:
            self._outgoing.send(self._table.peers[name], f.PingReq(probe_round.seq, target.name, target.generation))
        self._context.count("probes_asked", len(chosen))

    def _finish_round(self, probe_round: ProbeRound, peer: Peer) -> None:
        if probe_round.direct_ack:
            self.health.record_success()
            return
        if not peer.missed_probes:
            peer.first_missed_at = probe_round.began_at
        peer.missed_probes += 1
        self._table.mark_changed(peer)
        self._pending_pings[probe_round.seq] = (
            peer.name,
            self._context.now + LATE_ACK_PERIODS * self._context.timing.probe_period,
        )
        if peer.missed_probes < self._context.timing.cut_threshold:
            self._retry_first.append(peer.name)
        if probe_round.indirect_ack:
            self._context.count("probes_via")
            return
        # Without any helpers, the failure counts once.
        unresponsive = len((probe_round.helpers or set()) - probe_round.nacks)
        self.health.record_failure(unresponsive if probe_round.helpers else 1)
        self._context.count("probes_failed")
        self._table.suspect(peer, self._context.local_name)

    def _probe_unreachable(self) -> None:
        """Ping one random member that is cut off or gone, and forget expired pings."""
        context = self._context
        for seq, (_, expires_at) in list(self._pending_pings.items()):
            if expires_at <= context.now:
                del self._pending_pings[seq]
        unreachable = sorted(
            peer.name
            for peer in self._table.peers.values()
            if peer.rank == f.GONE or peer.is_live and peer.is_cut(context.timing.cut_threshold)
        )
        if unreachable:
            self.probe_outside_rounds(self._table.peers[context.random.choice(unreachable)])

    def probe_outside_rounds(self, peer: Peer) -> None:
        """Ping a member outside the rounds."""
        seq = self._next_sequence()
        self._pending_pings[seq] = (
            peer.name,
            self._context.now + LATE_ACK_PERIODS * self._context.timing.probe_period,
        )
        self._outgoing.send(peer, f.Ping(seq))
        self._context.count("probes_beside")

    # ---- incoming frames

    def handle_ping(self, sender: Peer, ping: f.Ping) -> None:
        """Send an ack, and a `Hello` to the member that asked for the ping by a ping-req."""
        self._outgoing.send(sender, f.Ack(ping.seq))
        origin = self._table.peers.get(ping.origin)
        if origin is not None and origin is not sender:
            self._outgoing.send(origin, f.Hello(), piggyback=False)

    def handle_ping_req(self, sender: Peer, ping_req: f.PingReq) -> None:
        """Ping the target for another member, or send a nack if it is known here under another generation.

        A ping-req for an unknown target or over `MAX_INDIRECT_PROBES` is dropped and counted.
        """
        target = self._table.peers.get(ping_req.target)
        if target is None or len(self._indirect_probes) >= MAX_INDIRECT_PROBES:
            self._context.count("asks_dropped")
            return
        # This gateway knows another process under that name, whose ack would say nothing about the one asked about.
        if target.generation != ping_req.generation:
            self._context.count("asks_of_another")
            self._reply(sender.name, f.Nack(ping_req.seq))
            return
        seq, timing = self._next_sequence(), self._context.timing
        remaining = timing.probe_period - timing.direct_timeout
        # The nack is sent early enough to arrive before the round of the asking member ends.
        self._indirect_probes[seq] = IndirectProbe(
            sender.name,
            ping_req.seq,
            target.name,
            self._context.now + remaining * 4 // 5,
            self._context.now + timing.probe_period,
        )
        self._outgoing.send(target, f.Ping(seq, sender.name))

    def handle_ack(self, sender: Peer, ack: f.Ack) -> None:
        """Match an ack to the current round, an indirect probe or a probe outside the rounds."""
        probe_round = self._current_round
        if probe_round is not None and ack.seq == probe_round.seq:
            if sender.name == probe_round.name and not ack.indirect:
                probe_round.direct_ack = True
                self._mark_reachable(sender)
            elif ack.indirect and probe_round.helpers and sender.name in probe_round.helpers:
                probe_round.indirect_ack = True
        elif ack.seq in self._indirect_probes and not ack.indirect:
            indirect_probe = self._indirect_probes[ack.seq]
            if sender.name == indirect_probe.target:
                del self._indirect_probes[ack.seq]
                self._reply(indirect_probe.origin, f.Ack(indirect_probe.seq, True))
        elif ack.seq in self._pending_pings and not ack.indirect and self._pending_pings[ack.seq][0] == sender.name:
            del self._pending_pings[ack.seq]
            self._mark_reachable(sender)

    def handle_nack(self, sender: Peer, nack: f.Nack) -> None:
        """Note that a helper is alive though its target has not answered the helper yet."""
        if self._current_round is not None and nack.seq == self._current_round.seq:
            self._current_round.nacks.add(sender.name)

    def _mark_reachable(self, peer: Peer) -> None:
        if peer.missed_probes:
            peer.missed_probes = 0
            self._table.mark_changed(peer)

    def _reply(self, name: Name, frame: f.AnyFrame) -> None:
        peer = self._table.peers.get(name)
        if peer is not None:
            self._outgoing.send(peer, frame)
