"""What this gateway holds of another one, and the order in which claims about it hold."""

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.bucket import Bucket
from rackhub.fleet.link.inbox import Inbox
from rackhub.fleet.members.suspicion import Suspicion
from rackhub.fleet.ports import Address, Member, MemberState

SHOWN = {f.ALIVE: MemberState.ALIVE, f.SUSPECT: MemberState.SUSPECT, f.GONE: MemberState.GONE, f.LEFT: MemberState.LEFT}


class Peer:
    __slots__ = (
        "name",
        "address",
        "boot",
        "incarnation",
        "rank",
        "by",
        "since",
        "serves",
        "site",
        "suspicion",
        "came",
        "misses",
        "missing",
        "stamp",
        "stamp_at",
        "rate",
        "answers",
        "inbox",
        "shown",
        "greeted",
    )

    def __init__(self, claim: f.Claim, now: int):
        self.name = claim.name
        self.rate: Bucket | None = None
        self.answers: Bucket | None = None
        self.shown: tuple[MemberState, int, int] | None = None  # what was last said of it
        self.begin(claim, now)

    def begin(self, claim: f.Claim, now: int) -> None:
        """A process of that boot number begins here: nothing of an earlier one is left."""
        self.address: Address = (claim.host, claim.port)
        self.boot, self.incarnation, self.rank, self.by = claim.boot, claim.incarnation, f.ALIVE, ""
        self.since = now
        self.suspicion: Suspicion | None = None
        self.came: int | None = None  # when something of it last came straight
        self.misses, self.missing = 0, 0  # straight probes not answered, one after another, and when the first was
        self.stamp = self.stamp_at = 0
        self.inbox: Inbox | None = None
        self.greeted: int | None = None  # when it was last sent a stamp because it had none
        self.describe(claim)

    def describe(self, claim: f.Claim) -> None:
        self.serves: Address | None = (claim.serves_host, claim.serves_port) if claim.serves_port else None
        self.site = claim.site

    @property
    def living(self) -> bool:
        return self.rank in (f.ALIVE, f.SUSPECT)

    def hears(self) -> bool | None:
        """Whether this gateway hears it: None as long as nothing has come and nothing been missed."""
        if self.misses and (self.came is None or self.came < self.missing):
            return False
        return None if self.came is None else True

    def cut(self, after: int) -> bool:
        return self.misses >= after

    def state(self, after: int) -> MemberState:
        if self.rank == f.ALIVE and self.cut(after):
            return MemberState.CUT
        return SHOWN[self.rank]

    def member(self, after: int) -> Member:
        return Member(
            self.name, self.address, self.boot, self.incarnation, self.state(after), self.since, self.serves, self.site
        )

    def claim(self) -> f.Claim:
        host, port = self.serves or ("", 0)
        return f.Claim(self.name, *self.address, self.boot, self.incarnation, self.rank, self.by, host, port, self.site)

    def order(self) -> tuple[int, int, int]:
        return self.boot, self.incarnation, self.rank


def order(claim: f.Claim) -> tuple[int, int, int]:
    """The later of two claims about one name, wherever they meet: greatest boot, then incarnation, then rank."""
    return claim.boot, claim.incarnation, claim.rank
