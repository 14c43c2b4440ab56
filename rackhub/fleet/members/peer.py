"""The state held for one other member, and the precedence of claims about it."""

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.inbox import Inbox
from rackhub.fleet.link.token_bucket import TokenBucket
from rackhub.fleet.members.suspicion import Suspicion
from rackhub.fleet.ports import Address, Member, MemberState

STATE_BY_RANK = {
    f.ALIVE: MemberState.ALIVE,
    f.SUSPECT: MemberState.SUSPECT,
    f.GONE: MemberState.GONE,
    f.LEFT: MemberState.LEFT,
}


class Peer:
    """Another member as this gateway sees it."""

    __slots__ = (
        "name",
        "address",
        "generation",
        "incarnation",
        "rank",
        "suspected_by",
        "since",
        "client_address",
        "site",
        "suspicion",
        "last_received",
        "missed_probes",
        "first_missed_at",
        "stamp",
        "stamp_at",
        "packet_bucket",
        "sync_bucket",
        "inbox",
        "last_shown",
        "greeted_at",
    )

    def __init__(self, claim: f.Claim, now: int):
        self.name = claim.name
        self.packet_bucket: TokenBucket | None = None
        self.sync_bucket: TokenBucket | None = None
        self.last_shown: tuple[MemberState, int, int] | None = None  # state, generation, incarnation last reported
        self.begin(claim, now)

    def begin(self, claim: f.Claim, now: int) -> None:
        """Reset to a new process with the generation of `claim`; nothing of an earlier one is kept."""
        self.address: Address = (claim.host, claim.port)
        self.generation, self.incarnation, self.rank, self.suspected_by = (
            claim.generation,
            claim.incarnation,
            f.ALIVE,
            "",
        )
        self.since = now
        self.suspicion: Suspicion | None = None
        self.last_received: int | None = None  # time of the last datagram received from it
        # Direct probes unanswered in a row, and when the first of them was sent.
        self.missed_probes, self.first_missed_at = 0, 0
        self.stamp = self.stamp_at = 0  # the member's last stamp to echo, and when it arrived
        self.inbox: Inbox | None = None
        self.greeted_at: int | None = None  # when a `Hello` was last sent because the member had no stamp to echo
        self.describe(claim)

    def describe(self, claim: f.Claim) -> None:
        """Take client address and site from the claim."""
        self.client_address: Address | None = (claim.client_host, claim.client_port) if claim.client_port else None
        self.site = claim.site

    @property
    def is_live(self) -> bool:
        """True if the member is alive or suspected."""
        return self.rank in (f.ALIVE, f.SUSPECT)

    def reaches_local_member(self) -> bool | None:
        """Return whether the member's datagrams reach this gateway; None before any evidence."""
        if self.missed_probes and (self.last_received is None or self.last_received < self.first_missed_at):
            return False
        return None if self.last_received is None else True

    def is_cut(self, threshold: int) -> bool:
        """True if at least `threshold` direct probes in a row went unanswered."""
        return self.missed_probes >= threshold

    def state(self, threshold: int) -> MemberState:
        """The state to report: `CUT` for an alive member that misses direct probes."""
        if self.rank == f.ALIVE and self.is_cut(threshold):
            return MemberState.CUT
        return STATE_BY_RANK[self.rank]

    def member(self, threshold: int) -> Member:
        """The member as reported to other components."""
        return Member(
            self.name,
            self.address,
            self.generation,
            self.incarnation,
            self.state(threshold),
            self.since,
            self.client_address,
            self.site,
        )

    def claim(self) -> f.Claim:
        """The claim to disseminate about this member."""
        host, port = self.client_address or ("", 0)
        return f.Claim(
            self.name,
            *self.address,
            self.generation,
            self.incarnation,
            self.rank,
            self.suspected_by,
            host,
            port,
            self.site,
        )

    def precedence(self) -> tuple[int, int, int]:
        """The sort key of the claim held, as `precedence`."""
        return self.generation, self.incarnation, self.rank


def precedence(claim: f.Claim) -> tuple[int, int, int]:
    """The sort key of a claim. Of two claims about one name, the greater wins: generation, incarnation, then rank."""
    return claim.generation, claim.incarnation, claim.rank
