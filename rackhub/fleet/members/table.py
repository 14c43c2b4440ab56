"""All members as this gateway holds them, and what each claim about them changes. Pure.

Claims are ordered by boot, incarnation and rank; the latest holds, in whatever order they come. One thing is not taken
at once: that a member that lives here is gone. It becomes suspected, is told so, and has the least time to object, so
that halves that find each other again, or one that tells nonsense, give nobody up who can answer.
"""

from collections.abc import Callable, Iterator

from rackhub.fleet.link import frames as f
from rackhub.fleet.members.context import Context, MemberChanged, OperatorWarning
from rackhub.fleet.members.dissemination import CLAIM, DisseminationQueue
from rackhub.fleet.members.gossip_records import GossipRecords
from rackhub.fleet.members.local_member import LocalMember
from rackhub.fleet.members.peer import Peer, precedence
from rackhub.fleet.members.suspicion import Suspicion
from rackhub.fleet.ports import Member, MemberState, Name


class MemberTable:
    def __init__(self, context: Context, dissemination: DisseminationQueue, records: GossipRecords):
        self._context, self._dissemination, self._records = context, dissemination, records
        self.local_member: LocalMember  # set by the core, which puts both together
        self.on_doubtful_claim: Callable[[f.Claim], None] = lambda claim: None
        self.on_suspected: Callable[[Peer], None] = lambda peer: None
        self.on_returned: Callable[[Peer, bool], None] = lambda peer, from_subject: None
        self.peers: dict[Name, Peer] = {}
        self.implausible_claims: dict[Name, int] = {}
        self.version = 0  # another one whenever something may look different
        self._changed_names: set[Name] = set()
        self._local_shown: tuple[MemberState, int, int] | None = None
        self._size: int | None = None

    # ---- what is known

    @property
    def size(self) -> int:
        """Members that live, this one too."""
        if self._size is None:
            self._size = 1 + sum(peer.is_live for peer in self.peers.values())
        return self._size

    def live(self) -> Iterator[Peer]:
        return (peer for peer in self.peers.values() if peer.is_live)

    def claim(self, name: Name) -> f.Claim | None:
        if name == self._context.local_name:
            return self.local_member.claim()
        peer = self.peers.get(name)
        return None if peer is None else peer.claim()

    def mark_changed(self, peer: Peer) -> None:
        """Something of it may look different now."""
        self._changed_names.add(peer.name)
        self.version += 1
        self._size = None

    def emit_changes(self) -> bool:
        """Say what changed since the last time; whether anything did."""
        changed_names, self._changed_names = self._changed_names, set()
        threshold, any_changed = self._context.timing.cut_threshold, False
        for name in sorted(changed_names):
            peer = self.peers.get(name)
            if peer is None:
                continue
            shown = (peer.state(threshold), peer.generation, peer.incarnation)
            if shown != peer.last_shown:
                if peer.last_shown is None or peer.last_shown[0] is not shown[0]:
                    peer.since = self._context.now
                peer.last_shown, any_changed = shown, True
                self._context.emit(MemberChanged(peer.member(threshold)))
        local = self.local_member.member()
        if (local.state, local.generation, local.incarnation) != self._local_shown:
            self._local_shown, any_changed = (local.state, local.generation, local.incarnation), True
            self.version += 1
            self._context.emit(MemberChanged(local))
        return any_changed

    def members(self) -> dict[Name, Member]:
        threshold = self._context.timing.cut_threshold
        return {
            self._context.local_name: self.local_member.member(),
            **{name: peer.member(threshold) for name, peer in self.peers.items()},
        }

    # ---- what claims change

    def merge(self, claim: f.Claim, sender: Name) -> None:
        context = self._context
        if claim.name == context.local_name:
            if not self.local_member.handle_claim(claim):
                self.report_implausible_claim(sender)
            return
        peer = self.peers.get(claim.name)
        if peer is None:
            self._add(claim, sender)
            return
        if claim.generation < peer.generation:
            context.count("old_boots")
            return
        address_differs = (claim.host, claim.port) != peer.address
        if address_differs and (peer.is_live or claim.generation == peer.generation):
            self.local_member.report_clash(claim.name, f"{claim.host}:{claim.port}")
            return
        is_new_process = claim.generation > peer.generation
        if sender != claim.name and (
            claim.generation > peer.generation + context.limits.max_generation_jump
            or claim.incarnation > context.limits.max_incarnation_jump + (0 if is_new_process else peer.incarnation)
        ):
            self.report_implausible_claim(sender)
            self.on_doubtful_claim(claim)
            return
        if is_new_process:
            peer.begin(claim, context.now)
            self._records.remove_owner(peer.name)
            context.count("restarts_seen")
        elif precedence(claim) <= peer.precedence():
            if (
                claim.rank == f.SUSPECT
                and peer.suspicion
                and precedence(claim) == peer.precedence()
                and (peer.suspicion.confirm(claim.suspected_by))
            ):
                peer.suspected_by = claim.suspected_by
                self._disseminate(peer)
            return
        self._apply(peer, claim, is_new_process, sender == peer.name)

    def _add(self, claim: f.Claim, sender: Name) -> None:
        limits = self._context.limits
        if sender != claim.name and (
            claim.generation > self.local_member.generation + limits.max_generation_jump_unknown
            or claim.incarnation > limits.max_incarnation_jump
        ):
            self.report_implausible_claim(sender)
            self.on_doubtful_claim(claim)
            return
        if len(self.peers) >= limits.max_members and not self._evict_dead():
            self._context.count("members_over")
            return
        peer = self.peers[claim.name] = Peer(claim, self._context.now)
        if claim.rank in (f.GONE, f.LEFT):
            peer.rank = claim.rank
            self._disseminate(peer)
        else:
            self._apply(peer, claim, True, sender == peer.name)

    def _evict_dead(self) -> bool:
        """Make room: of those that are no more, the one of which that has been known longest."""
        oldest = min(
            (peer for peer in self.peers.values() if not peer.is_live),
            default=None,
            key=lambda peer: (peer.rank != f.LEFT, peer.since, peer.name),
        )
        if oldest is None:
            return False
        del self.peers[oldest.name]
        self.version += 1
        self._records.remove_owner(oldest.name)
        return True

    def _apply(self, peer: Peer, claim: f.Claim, is_new_process: bool, from_subject: bool) -> None:
        """A claim that is later than what was held; `straight`: from the one whom it is about."""
        was_live = peer.is_live
        if claim.incarnation > peer.incarnation or is_new_process:
            peer.incarnation = claim.incarnation
            if claim.rank == f.GONE and not was_live:
                peer.rank = f.GONE
            else:
                peer.rank, peer.suspicion, peer.suspected_by = f.ALIVE, None, ""
                peer.describe(claim)
                if not was_live:
                    self._context.count("returned")
                    self.on_returned(peer, from_subject)
            self._disseminate(peer)
        if claim.rank == f.SUSPECT:
            self.suspect(peer, claim.suspected_by)
        elif claim.rank == f.GONE and peer.is_live:
            self.suspect(peer, claim.suspected_by)
            if peer.suspicion is not None:
                peer.suspicion.shorten_to_minimum()
                self.expire_suspicion(peer)
        elif claim.rank == f.LEFT:
            peer.rank, peer.suspicion, peer.suspected_by = f.LEFT, None, ""
            self._records.remove_owner(peer.name)
            self._disseminate(peer)

    def suspect(self, peer: Peer, accuser: Name) -> None:
        if peer.rank != f.ALIVE:
            if peer.suspicion is not None and peer.suspicion.confirm(accuser):
                peer.suspected_by = accuser
                self._disseminate(peer)
            return
        timing, size = self._context.timing, self.size
        peer.rank, peer.suspected_by = f.SUSPECT, accuser
        peer.suspicion = Suspicion(
            self._context.now,
            timing.min_suspicion_timeout(size),
            timing.max_suspicion_timeout(size),
            timing.expected_confirmations(size),
            accuser,
        )
        self._context.count("suspected")
        self._disseminate(peer)
        self.on_suspected(peer)

    def expire_suspicion(self, peer: Peer) -> None:
        """A suspicion whose time is over: gone, unless something of it came straight in the meantime."""
        suspicion = peer.suspicion
        if suspicion is None or self._context.now < suspicion.expires_at:
            return
        if peer.last_received is not None and peer.last_received > suspicion.started_at:
            suspicion.started_at = self._context.now
            self._context.count("heard_in_doubt")
            return
        peer.rank, peer.suspicion = f.GONE, None
        self._context.count("gone")
        self._disseminate(peer)

    def _disseminate(self, peer: Peer) -> None:
        self.mark_changed(peer)
        self._dissemination.enqueue(CLAIM, peer.name)

    def report_implausible_claim(self, sender: Name) -> None:
        """What it said can't be: dropped, counted, and named once."""
        self._context.count("nonsense")
        if sender not in self.implausible_claims:
            if len(self.implausible_claims) >= self._context.timing.max_reported_names:
                return
            self._context.emit(OperatorWarning("nonsense", {"name": sender}))
        self.implausible_claims[sender] = self.implausible_claims.get(sender, 0) + 1
