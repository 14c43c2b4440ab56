"""Probes after SWIM: one member each period, straight, then by way of others; Lifeguard's patience with oneself. Pure.

A member that answers by way of others alone is cut off from this one, and named so after some such rounds in a row. One
that does not answer at all is suspected. Those that are cut off or gone are probed seldom and beside the rounds, so
that both are found again without anybody's help.
"""

from rackhub.fleet.link import frames as f
from rackhub.fleet.members.health import Health
from rackhub.fleet.members.here import Here
from rackhub.fleet.members.peer import Peer
from rackhub.fleet.members.rounds import Help, Round
from rackhub.fleet.members.table import Table
from rackhub.fleet.members.talk import Talk
from rackhub.fleet.ports import Name

HELPING, LATE = 256, 20  # probes for others that are open at once; periods in which an answer that comes late counts


class Probing:
    def __init__(self, here: Here, table: Table, talk: Talk):
        self._here, self._table, self._talk = here, table, talk
        self.health = Health(here.timing.health)
        self._seq = here.random.randrange(1 << 32)
        self._round: Round | None = None
        self._order: list[Name] = []
        self._again: list[Name] = []
        self._helping: dict[int, Help] = {}
        self._beside: dict[int, tuple[Name, int]] = {}  # pings whose straight answer shows both ways, and until when
        self._next = here.now + here.random.randrange(here.timing.period)
        self._seldom = here.now + here.timing.seldom

    def due(self) -> int:
        rounds = (
            self._next
            if self._round is None
            else (self._round.straight_until if self._round.helpers is None else self._round.ends)
        )
        return min(rounds, self._seldom, *(help.nack_at or help.until for help in self._helping.values()))

    def stood_still(self, gap: int) -> None:
        """This process did not run for so long: what it did not hear meanwhile says nothing."""
        self._round, self._again, self._next = None, [], self._here.now + self._here.timing.timeout
        self._helping.clear()
        self.health.bad()
        for peer in self._table.peers.values():
            if peer.suspicion is not None:
                peer.suspicion.start += gap
            if not peer.cut(self._here.timing.cut_after):
                peer.misses = 0

    def tick(self) -> None:
        now = self._here.now
        if self._round is not None:
            self._go_on(self._round)
        if self._round is None and now >= self._next:
            self._begin()
        for seq, help in list(self._helping.items()):
            if help.nack_at and now >= help.nack_at:
                help.nack_at = 0
                self._reply(help.origin, f.Nack(help.seq))
            if now >= help.until:
                del self._helping[seq]
        if now >= self._seldom:
            self._seldom = now + self._here.timing.seldom
            self._look_again()

    # ---- the own rounds

    def _number(self) -> int:
        self._seq += 1
        return self._seq

    def _target(self) -> Peer | None:
        while self._again:
            peer = self._table.peers.get(self._again.pop())
            if peer is not None and peer.living:
                return peer
        for _ in range(2):
            while self._order:
                peer = self._table.peers.get(self._order.pop())
                if peer is not None and peer.living:
                    return peer
            self._order = sorted(peer.name for peer in self._table.living())
            self._here.random.shuffle(self._order)
        return None

    def _begin(self) -> None:
        here, peer = self._here, self._target()
        factor = self.health.factor
        self._next = here.now + here.timing.period * factor
        if peer is None:
            return
        self._round = Round(peer, self._number(), here.now, here.now + here.timing.timeout * factor, self._next)
        self._talk.to(peer, f.Ping(self._round.seq))
        here.count("probes")

    def _go_on(self, round: Round) -> None:
        now, peer = self._here.now, self._table.peers.get(round.name)
        if peer is None or not peer.living or peer.boot != round.boot:
            self._round = None
            return
        if round.helpers is None and now >= round.straight_until:
            if round.straight:
                round.helpers = set()
            else:
                self._ask(round, peer)
        if now >= round.ends:
            self._round = None
            self._judge(round, peer)

    def _ask(self, round: Round, target: Peer) -> None:
        after = self._here.timing.cut_after
        able = sorted(
            peer.name
            for peer in self._table.living()
            if peer is not target and peer.rank == f.ALIVE and not peer.cut(after)
        )
        chosen = self._here.random.sample(able, min(self._here.timing.helpers, len(able)))
        round.helpers = set(chosen)
        for name in chosen:
            self._talk.to(self._table.peers[name], f.Ask(round.seq, target.name, target.boot))
        self._here.count("probes_asked", len(chosen))

    def _judge(self, round: Round, peer: Peer) -> None:
        if round.straight:
            self.health.good()
            return
        if not peer.misses:
            peer.missing = round.began
        peer.misses += 1
        self._table.touch(peer)
        self._beside[round.seq] = (peer.name, self._here.now + LATE * self._here.timing.period)
        if peer.misses < self._here.timing.cut_after:
            self._again.append(peer.name)
        if round.via:
            self._here.count("probes_via")
            return
        silent = len((round.helpers or set()) - round.nacks)
        self.health.bad(silent if round.helpers else 1)
        self._here.count("probes_failed")
        self._table.suspect(peer, self._here.me)

    def _look_again(self) -> None:
        """One of those that are cut off or gone, at its address."""
        here = self._here
        for seq, (_, until) in list(self._beside.items()):
            if until <= here.now:
                del self._beside[seq]
        lost = sorted(
            peer.name
            for peer in self._table.peers.values()
            if peer.rank == f.GONE or peer.living and peer.cut(here.timing.cut_after)
        )
        if lost:
            self.beside(self._table.peers[here.random.choice(lost)])

    def beside(self, peer: Peer) -> None:
        """A ping outside the rounds."""
        seq = self._number()
        self._beside[seq] = (peer.name, self._here.now + LATE * self._here.timing.period)
        self._talk.to(peer, f.Ping(seq))
        self._here.count("probes_beside")

    # ---- what comes

    def pinged(self, sender: Peer, ping: f.Ping) -> None:
        self._talk.to(sender, f.Ack(ping.seq))
        origin = self._table.peers.get(ping.origin)
        if origin is not None and origin is not sender:
            self._talk.to(origin, f.Hello(), news=False)

    def asked(self, sender: Peer, ask: f.Ask) -> None:
        target = self._table.peers.get(ask.target)
        if target is None or len(self._helping) >= HELPING:
            self._here.count("asks_dropped")
            return
        if target.boot != ask.boot:  # here that name is another process: this one can't speak for the one meant
            self._here.count("asks_of_another")
            self._reply(sender.name, f.Nack(ask.seq))
            return
        seq, timing = self._number(), self._here.timing
        left = timing.period - timing.timeout
        self._helping[seq] = Help(
            sender.name, ask.seq, target.name, self._here.now + left * 4 // 5, self._here.now + timing.period
        )
        self._talk.to(target, f.Ping(seq, sender.name))

    def acked(self, sender: Peer, ack: f.Ack) -> None:
        round = self._round
        if round is not None and ack.seq == round.seq:
            if sender.name == round.name and not ack.via:
                round.straight = True
                self._both_ways(sender)
            elif ack.via and round.helpers and sender.name in round.helpers:
                round.via = True
        elif ack.seq in self._helping and not ack.via:
            help = self._helping[ack.seq]
            if sender.name == help.target:
                del self._helping[ack.seq]
                self._reply(help.origin, f.Ack(help.seq, True))
        elif ack.seq in self._beside and not ack.via and self._beside[ack.seq][0] == sender.name:
            del self._beside[ack.seq]
            self._both_ways(sender)

    def nacked(self, sender: Peer, nack: f.Nack) -> None:
        if self._round is not None and nack.seq == self._round.seq:
            self._round.nacks.add(sender.name)

    def _both_ways(self, peer: Peer) -> None:
        if peer.misses:
            peer.misses = 0
            self._table.touch(peer)

    def _reply(self, name: Name, frame: f.Any) -> None:
        peer = self._table.peers.get(name)
        if peer is not None:
            self._talk.to(peer, frame)
