"""What this gateway holds of another one, and the order in which claims about it hold."""

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
        self.last_shown: tuple[MemberState, int, int] | None = None  # what was last said of it
        self.begin(claim, now)

    def begin(self, claim: f.Claim, now: int) -> None:
        """A process of that boot number begins here: nothing of an earlier one is left."""
        self.address: Address = (claim.host, claim.port)
        self.generation, self.incarnation, self.rank, self.suspected_by = (
            claim.generation,
            claim.incarnation,
            f.ALIVE,
            "",
        )
        self.since = now
        self.suspicion: Suspicion | None = None
        self.last_received: int | None = None  # when something of it last came straight
        self.missed_probes, self.first_missed_at = (
            0,
            0,
        )  # straight probes not answered, one after another, and when the first was
        self.stamp = self.stamp_at = 0
        self.inbox: Inbox | None = None
        self.greeted_at: int | None = None  # when it was last sent a stamp because it had none
        self.describe(claim)

    def describe(self, claim: f.Claim) -> None:
        self.client_address: Address | None = (claim.client_host, claim.client_port) if claim.client_port else None
        self.site = claim.site

    @property
    def is_live(self) -> bool:
        return self.rank in (f.ALIVE, f.SUSPECT)

    def receives_directly(self) -> bool | None:
        """Whether this gateway hears it: None as long as nothing has come and nothing been missed."""
        if self.missed_probes and (self.last_received is None or self.last_received < self.first_missed_at):
            return False
        return None if self.last_received is None else True

    def is_cut(self, threshold: int) -> bool:
        return self.missed_probes >= threshold

    def state(self, threshold: int) -> MemberState:
        if self.rank == f.ALIVE and self.is_cut(threshold):
            return MemberState.CUT
        return STATE_BY_RANK[self.rank]

    def member(self, threshold: int) -> Member:
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
        return self.generation, self.incarnation, self.rank


def precedence(claim: f.Claim) -> tuple[int, int, int]:
    """The later of two claims about one name, wherever they meet: greatest boot, then incarnation, then rank."""
    return claim.generation, claim.incarnation, claim.rank
