"""State shared by the components of the membership core: time, random numbers, pending effects and counters.

Counter names are fixed for operators, and some differ from the terms of the code: `notes...` and `old_notes` count
records, `mail_...` messages, `asks_...` ping-reqs received, `probes_asked` ping-reqs sent, `probes_via` rounds with
only an indirect ack, `probes_beside` pings outside the rounds, `strangers` packets of unknown senders without a claim,
`newcomers_over` those over the rate limit of unknown senders, `boots_raised` raised generations, and `old_...` what
comes from an earlier generation.
"""

import random
from collections import Counter
from typing import NamedTuple

from rackhub.fleet.link.limits import Limits
from rackhub.fleet.members.timing import Timing
from rackhub.fleet.ports import Address, Member, Name, Record


class SendDatagram(NamedTuple):
    """Send a datagram."""

    to: Address
    data: bytes


class MemberChanged(NamedTuple):
    """The state, generation or incarnation of a member changed."""

    member: Member


class RecordReceived(NamedTuple):
    """A newer record of another member was received."""

    record: Record


class MessageReceived(NamedTuple):
    """All pages of a message were received."""

    sender: Name
    kind: str
    body: bytes


class GenerationRaised(NamedTuple):
    """The local generation was raised and is to be stored."""

    generation: int


class OperatorWarning(NamedTuple):
    """An event to log for the operator, reported once. `event` also names a counter."""

    event: str
    fields: dict[str, object]


Effect = SendDatagram | MemberChanged | RecordReceived | MessageReceived | GenerationRaised | OperatorWarning


class Context:
    """Time, random numbers, limits, pending effects and counters. `now` is in microseconds of the local clock."""

    __slots__ = ("now", "random", "effects", "counts", "timing", "limits", "local_name", "cluster")

    def __init__(self, local_name: Name, cluster: str, timing: Timing, limits: Limits, seed: int, now: int):
        self.local_name, self.cluster, self.timing, self.limits, self.now = local_name, cluster, timing, limits, now
        self.random = random.Random(f"{seed}/members/{local_name}")
        self.effects: list[Effect] = []
        self.counts = Counter[str]()

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += amount

    def emit(self, effect: Effect) -> None:
        """Append an effect, to be returned by the current step of the core."""
        self.effects.append(effect)
