"""The messages between acceptors and proposers, and the rules for counting a quorum of replies.

Plain data: the explorer of message orders and the network use the same types. Encoded names differ from the attribute
names where `rename` says so: they are a stable format, shared with processes of other versions.
"""

from collections.abc import Callable
from typing import NamedTuple, TypeVar

import msgspec

from rackhub.fleet.ports import MAX_MESSAGE_BYTES

MESSAGE_OVERHEAD_BYTES = 4_096  # reserved for the other fields of a message that carries the value
MAX_VALUE_BYTES = MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES
MAX_BALLOT_NUMBER = 1 << 48  # limits what a malformed message can do: no proposer gets there


class Ballot(NamedTuple):
    """The identifier of one round, ordered. Unique, because a proposer's boot number is never used twice."""

    number: int = 0
    proposer: str = ""
    generation: int = 0


class DiskIncarnation(NamedTuple):
    """One disk of one acceptor: the boot number at its first use, and the identity drawn then.

    A greater incarnation of the same acceptor is a newer disk, which lost what the earlier one stored.
    """

    generation: int = 0
    identity: str = ""


NO_BALLOT = Ballot()
NO_INCARNATION = DiskIncarnation()


class KnownIncarnation(NamedTuple):
    """The newest disk incarnation of another acceptor that one knows of.

    `replaced`: an earlier incarnation was known before.
    """

    acceptor: str
    incarnation: DiskIncarnation
    replaced: bool = False


KnownIncarnations = tuple[KnownIncarnation, ...]  # ordered by the acceptors' names


class Prepare(msgspec.Struct, frozen=True, tag="prepare", rename={"acceptors": "keepers", "known_ballot": "known"}):
    """Phase 1 request: promise to accept nothing below `ballot`.

    `acceptors` is the set of which the proposer counts a quorum. The value accepted under `known_ballot` need not be
    returned: the proposer has it.
    """

    ballot: Ballot
    acceptors: tuple[str, ...]
    known_ballot: Ballot = NO_BALLOT


class Promise(
    msgspec.Struct,
    frozen=True,
    tag="promise",
    rename={"acceptor": "keeper", "incarnation": "life", "known_incarnations": "views"},
):
    """Phase 1 reply: the ballot accepted last and its value, None where the proposer has it or there is none."""

    ballot: Ballot
    acceptor: str
    incarnation: DiskIncarnation
    known_incarnations: KnownIncarnations
    accepted: Ballot
    value: bytes | None


class Accept(msgspec.Struct, frozen=True, tag="accept", rename={"acceptors": "keepers"}):
    """Phase 2 request: accept `value` under `ballot`."""

    ballot: Ballot
    acceptors: tuple[str, ...]
    value: bytes


class Accepted(
    msgspec.Struct,
    frozen=True,
    tag="accepted",
    rename={"acceptor": "keeper", "incarnation": "life", "known_incarnations": "views"},
):
    """Phase 2 reply: the value is accepted under `ballot`, and durable."""

    ballot: Ballot
    acceptor: str
    incarnation: DiskIncarnation
    known_incarnations: KnownIncarnations


class Rejected(msgspec.Struct, frozen=True, tag="refused", rename={"acceptor": "keeper", "abstain_reason": "abstains"}):
    """The negative reply to either phase.

    `promised` is the ballot that takes precedence; `abstain_reason`, unless empty, says why this acceptor votes on no
    ballot of the request's kind now.
    """

    ballot: Ballot
    acceptor: str
    promised: Ballot
    abstain_reason: str = ""


class JoinRequest(msgspec.Struct, frozen=True, tag="enter", rename={"acceptor": "keeper", "incarnation": "life"}):
    """From an acceptor whose disk is new: record this incarnation, and reply with your state."""

    acceptor: str
    incarnation: DiskIncarnation


class JoinAccepted(
    msgspec.Struct,
    frozen=True,
    tag="noted",
    rename={
        "acceptor": "keeper",
        "requested": "to",
        "knows_predecessor": "again",
        "incarnation": "life",
        "known_incarnations": "views",
    },
):
    """The requested incarnation is recorded durably; the rest is the replying acceptor's own state.

    `knows_predecessor`: the replying acceptor has known an earlier disk of the requester.
    """

    acceptor: str
    requested: DiskIncarnation
    voting: bool
    knows_predecessor: bool
    incarnation: DiskIncarnation
    known_incarnations: KnownIncarnations
    promised: Ballot
    accepted: Ballot
    value: bytes | None


class JoinRejected(
    msgspec.Struct,
    frozen=True,
    tag="barred",
    rename={"acceptor": "keeper", "requested": "to", "reason": "why"},
):
    """The requested incarnation is older than a known one, and can never join."""

    acceptor: str
    requested: DiskIncarnation
    reason: str


ReplyT = TypeVar("ReplyT", bound=Promise | Accepted | JoinAccepted)
Request = Prepare | Accept | JoinRequest  # to an acceptor
Vote = Promise | Accepted | Rejected  # to a proposer
Reply = Vote | JoinAccepted | JoinRejected
Message = Request | Reply

encode = msgspec.msgpack.Encoder().encode
decode: Callable[[bytes], Message] = msgspec.msgpack.Decoder(Message).decode


def quorum_size(acceptors: tuple[str, ...]) -> int:
    """How many of the acceptors are a majority."""
    return len(acceptors) // 2 + 1


def find_known(known: KnownIncarnations, acceptor: str) -> KnownIncarnation:
    """What is known of that acceptor's disk; `NO_INCARNATION` where nothing is."""
    for one in known:
        if one.acceptor == acceptor:
            return one
    return KnownIncarnation(acceptor, NO_INCARNATION)


def merge_known(known: KnownIncarnations, found: KnownIncarnation) -> KnownIncarnations:
    """Add one: an acceptor's newest incarnation only grows, and `replaced` is never reset."""
    before = find_known(known, found.acceptor)
    differs = before.incarnation not in (NO_INCARNATION, found.incarnation) and found.incarnation != NO_INCARNATION
    after = KnownIncarnation(
        found.acceptor,
        max(before.incarnation, found.incarnation),
        before.replaced or found.replaced or differs,
    )
    if after == before:
        return known
    others = [one for one in known if one.acceptor != found.acceptor]
    return tuple(sorted([*others, after]))


def consistent_quorum(replies: tuple[ReplyT, ...], size: int) -> tuple[ReplyT, ...]:
    """The first `size` replies that are pairwise consistent; empty where there are not so many.

    A quorum of inconsistent replies could count what an acceptor said before it lost its disk.
    """
    return _extend_quorum((), replies, size)


def _extend_quorum(chosen: tuple[ReplyT, ...], candidates: tuple[ReplyT, ...], size: int) -> tuple[ReplyT, ...]:
    if len(chosen) == size:
        return chosen
    for index, candidate in enumerate(candidates):
        if all(_consistent(candidate, other) for other in chosen):
            found = _extend_quorum((*chosen, candidate), candidates[index + 1 :], size)
            if found:
                return found
    return ()


def _consistent(one: ReplyT, other: ReplyT) -> bool:
    """Whether neither sender knows of a newer disk of the other one than the disk that replied."""
    return (
        find_known(one.known_incarnations, other.acceptor).incarnation <= other.incarnation
        and find_known(other.known_incarnations, one.acceptor).incarnation <= one.incarnation
    )
