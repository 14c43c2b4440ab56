"""What the parts of the core share: the moment, the chance, what is to be done, and what is counted."""

import random
from collections import Counter
from typing import NamedTuple

from rackhub.fleet.link.limits import Limits
from rackhub.fleet.members.timing import Timing
from rackhub.fleet.ports import Address, Member, Name, Record


class SendDatagram(NamedTuple):
    """A datagram goes out."""

    to: Address
    data: bytes


class MemberChanged(NamedTuple):
    """A member's state, boot or incarnation is another one."""

    member: Member


class RecordReceived(NamedTuple):
    """A newer record of another member is there."""

    record: Record


class MessageReceived(NamedTuple):
    """A piece of mail is whole."""

    sender: Name
    kind: str
    body: bytes


class GenerationRaised(NamedTuple):
    """The own boot number had to rise; what is kept of it is to be written."""

    generation: int


class OperatorWarning(NamedTuple):
    """Something that an operator should read, once."""

    event: str
    fields: dict[str, object]


Effect = SendDatagram | MemberChanged | RecordReceived | MessageReceived | GenerationRaised | OperatorWarning


class Context:
    __slots__ = ("now", "random", "effects", "counts", "timing", "limits", "local_name", "cluster")

    def __init__(self, local_name: Name, cluster: str, timing: Timing, limits: Limits, seed: int, now: int):
        self.local_name, self.cluster, self.timing, self.limits, self.now = local_name, cluster, timing, limits, now
        self.random = random.Random(f"{seed}/members/{local_name}")
        self.effects: list[Effect] = []
        self.counts = Counter[str]()

    def count(self, name: str, amount: int = 1) -> None:
        self.counts[name] += amount

    def emit(self, effect: Effect) -> None:
        self.effects.append(effect)
