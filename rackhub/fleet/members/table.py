"""All members as this gateway holds them, and what each claim about them changes. Pure.

Claims are ordered by boot, incarnation and rank; the latest holds, in whatever order they come. One thing is not taken
at once: that a member that lives here is gone. It becomes suspected, is told so, and has the least time to object, so
that halves that find each other again, or one that tells nonsense, give nobody up who can answer.
"""

from collections.abc import Callable, Iterator

from rackhub.fleet.link import frames as f
from rackhub.fleet.members.here import Changed, Here, Named
from rackhub.fleet.members.news import CLAIM, News
from rackhub.fleet.members.own import Own
from rackhub.fleet.members.peer import Peer, order
from rackhub.fleet.members.records import Records
from rackhub.fleet.members.suspicion import Suspicion
from rackhub.fleet.ports import Member, MemberState, Name


class Table:
    def __init__(self, here: Here, news: News, records: Records):
        self._here, self._news, self._records = here, news, records
        self.own: Own  # set by the core, which puts both together
        self.doubted: Callable[[f.Claim], None] = lambda claim: None
        self.suspected: Callable[[Peer], None] = lambda peer: None
        self.returned: Callable[[Peer, bool], None] = lambda peer, straight: None
        self.peers: dict[Name, Peer] = {}
        self.nonsense: dict[Name, int] = {}
        self.version = 0  # another one whenever something may look different
        self._touched: set[Name] = set()
        self._own_shown: tuple[MemberState, int, int] | None = None
        self._size: int | None = None

    # ---- what is known

    @property
    def size(self) -> int:
        """Members that live, this one too."""
        if self._size is None:
            self._size = 1 + sum(peer.living for peer in self.peers.values())
        return self._size

    def living(self) -> Iterator[Peer]:
        return (peer for peer in self.peers.values() if peer.living)

    def claim(self, name: Name) -> f.Claim | None:
        if name == self._here.me:
            return self.own.claim()
        peer = self.peers.get(name)
        return None if peer is None else peer.claim()

    def touch(self, peer: Peer) -> None:
        """Something of it may look different now."""
        self._touched.add(peer.name)
        self.version += 1
        self._size = None

    def flush(self) -> bool:
        """Say what changed since the last time; whether anything did."""
        touched, self._touched = self._touched, set()
        after, said = self._here.timing.cut_after, False
        for name in sorted(touched):
            peer = self.peers.get(name)
            if peer is None:
                continue
            shown = (peer.state(after), peer.boot, peer.incarnation)
            if shown != peer.shown:
                if peer.shown is None or peer.shown[0] is not shown[0]:
                    peer.since = self._here.now
                peer.shown, said = shown, True
                self._here.do(Changed(peer.member(after)))
        own = self.own.member()
        if (own.state, own.generation, own.incarnation) != self._own_shown:
            self._own_shown, said = (own.state, own.generation, own.incarnation), True
            self.version += 1
            self._here.do(Changed(own))
        return said

    def members(self) -> dict[Name, Member]:
        after = self._here.timing.cut_after
        return {self._here.me: self.own.member(), **{name: peer.member(after) for name, peer in self.peers.items()}}

    # ---- what claims change

    def merge(self, claim: f.Claim, sender: Name) -> None:
        here = self._here
        if claim.name == here.me:
            if not self.own.told(claim):
                self.blame(sender)
            return
        peer = self.peers.get(claim.name)
        if peer is None:
            self._add(claim, sender)
            return
        if claim.boot < peer.boot:
            here.count("old_boots")
            return
        elsewhere = (claim.host, claim.port) != peer.address
        if elsewhere and (peer.living or claim.boot == peer.boot):
            self.own.clash(claim.name, f"{claim.host}:{claim.port}")
            return
        new = claim.boot > peer.boot
        if sender != claim.name and (
            claim.boot > peer.boot + here.limits.boot_jump
            or claim.incarnation > here.limits.incarnation_jump + (0 if new else peer.incarnation)
        ):
            self.blame(sender)
            self.doubted(claim)
            return
        if new:
            peer.begin(claim, here.now)
            self._records.drop(peer.name)
            here.count("restarts_seen")
        elif order(claim) <= peer.order():
            if (
                claim.rank == f.SUSPECT
                and peer.suspicion
                and order(claim) == peer.order()
                and (peer.suspicion.confirm(claim.by))
            ):
                peer.by = claim.by
                self._spread(peer)
            return
        self._apply(peer, claim, new, sender == peer.name)

    def _add(self, claim: f.Claim, sender: Name) -> None:
        limits = self._here.limits
        if sender != claim.name and (
            claim.boot > self.own.boot + limits.boot_jump_unknown or claim.incarnation > limits.incarnation_jump
        ):
            self.blame(sender)
            self.doubted(claim)
            return
        if len(self.peers) >= limits.members and not self._forget():
            self._here.count("members_over")
            return
        peer = self.peers[claim.name] = Peer(claim, self._here.now)
        if claim.rank in (f.GONE, f.LEFT):
            peer.rank = claim.rank
            self._spread(peer)
        else:
            self._apply(peer, claim, True, sender == peer.name)

    def _forget(self) -> bool:
        """Make room: of those that are no more, the one of which that has been known longest."""
        oldest = min(
            (peer for peer in self.peers.values() if not peer.living),
            default=None,
            key=lambda peer: (peer.rank != f.LEFT, peer.since, peer.name),
        )
        if oldest is None:
            return False
        del self.peers[oldest.name]
        self.version += 1
        self._records.drop(oldest.name)
        return True

    def _apply(self, peer: Peer, claim: f.Claim, new: bool, straight: bool) -> None:
        """A claim that is later than what was held; `straight`: from the one whom it is about."""
        lived = peer.living
        if claim.incarnation > peer.incarnation or new:
            peer.incarnation = claim.incarnation
            if claim.rank == f.GONE and not lived:
                peer.rank = f.GONE
            else:
                peer.rank, peer.suspicion, peer.by = f.ALIVE, None, ""
                peer.describe(claim)
                if not lived:
                    self._here.count("returned")
                    self.returned(peer, straight)
            self._spread(peer)
        if claim.rank == f.SUSPECT:
            self.suspect(peer, claim.by)
        elif claim.rank == f.GONE and peer.living:
            self.suspect(peer, claim.by)
            if peer.suspicion is not None:
                peer.suspicion.hasten()
                self.expire(peer)
        elif claim.rank == f.LEFT:
            peer.rank, peer.suspicion, peer.by = f.LEFT, None, ""
            self._records.drop(peer.name)
            self._spread(peer)

    def suspect(self, peer: Peer, by: Name) -> None:
        if peer.rank != f.ALIVE:
            if peer.suspicion is not None and peer.suspicion.confirm(by):
                peer.by = by
                self._spread(peer)
            return
        timing, size = self._here.timing, self.size
        peer.rank, peer.by = f.SUSPECT, by
        peer.suspicion = Suspicion(self._here.now, timing.least(size), timing.most(size), timing.needed(size), by)
        self._here.count("suspected")
        self._spread(peer)
        self.suspected(peer)

    def expire(self, peer: Peer) -> None:
        """A suspicion whose time is over: gone, unless something of it came straight in the meantime."""
        suspicion = peer.suspicion
        if suspicion is None or self._here.now < suspicion.ends:
            return
        if peer.came is not None and peer.came > suspicion.start:
            suspicion.start = self._here.now
            self._here.count("heard_in_doubt")
            return
        peer.rank, peer.suspicion = f.GONE, None
        self._here.count("gone")
        self._spread(peer)

    def _spread(self, peer: Peer) -> None:
        self.touch(peer)
        self._news.put(CLAIM, peer.name)

    def blame(self, sender: Name) -> None:
        """What it said can't be: dropped, counted, and named once."""
        self._here.count("nonsense")
        if sender not in self.nonsense:
            if len(self.nonsense) >= self._here.timing.clash_kept:
                return
            self._here.do(Named("nonsense", {"name": sender}))
        self.nonsense[sender] = self.nonsense.get(sender, 0) + 1
