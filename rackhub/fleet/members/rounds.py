"""State of the probes in progress: the local round, and indirect probes for other members."""

from rackhub.fleet.members.peer import Peer
from rackhub.fleet.ports import Name


class ProbeRound:
    """One probe of one member by this gateway, with the helpers asked for indirect probes."""

    __slots__ = (
        "name",
        "generation",
        "seq",
        "began_at",
        "direct_deadline",
        "deadline",
        "direct_ack",
        "indirect_ack",
        "helpers",
        "nacks",
    )

    def __init__(self, peer: Peer, seq: int, began_at: int, direct_deadline: int, deadline: int):
        self.name, self.generation, self.seq, self.began_at = peer.name, peer.generation, seq, began_at
        self.direct_deadline, self.deadline = direct_deadline, deadline
        self.direct_ack = self.indirect_ack = False
        self.helpers: set[Name] | None = None  # None until the direct timeout
        self.nacks: set[Name] = set()


class IndirectProbe:
    """A probe for the member `origin`, which asked by the ping-req `seq`. `nack_at` is 0 once the nack was sent."""

    __slots__ = ("origin", "seq", "target", "nack_at", "expires_at")

    def __init__(self, origin: Name, seq: int, target: Name, nack_at: int, expires_at: int):
        self.origin, self.seq, self.target, self.nack_at, self.expires_at = origin, seq, target, nack_at, expires_at
