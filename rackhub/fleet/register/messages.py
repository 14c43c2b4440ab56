"""The messages between acceptors and proposers, and the rules for counting a quorum of replies.

The network and the exploration of message orders use the same types. `rename` gives the encoded name of a field where
it differs from the attribute; the encoded names are a stable format, shared with processes of other versions.
"""

from collections.abc import Callable
from typing import NamedTuple, TypeVar

import msgspec

from rackhub.fleet.ports import MAX_MESSAGE_BYTES

MESSAGE_OVERHEAD_BYTES = 4_096  # reserved for the other fields of a message that carries the value
MAX_VALUE_BYTES = MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES
MAX_BALLOT_NUMBER = 1 << 48  # out of reach for proposers; a malformed message can't exhaust the ballot numbers


class Ballot(NamedTuple):
    """The identifier of one round. Ballots are ordered, and unique because a proposer never reuses a generation."""

    number: int = 0
    proposer: str = ""
    generation: int = 0


class DiskIncarnation(NamedTuple):
    """One disk of one acceptor: the process generation at the disk's first use, and the random identity drawn then.

    A greater incarnation of the same acceptor is a newer disk, without the data of the earlier one.
    """

    generation: int = 0
    identity: str = ""


NO_BALLOT = Ballot()
NO_INCARNATION = DiskIncarnation()


class KnownIncarnation(NamedTuple):
    """The newest disk incarnation that an acceptor knows of another acceptor.

    `replaced`: the acceptor knew an earlier incarnation before this one.
    """

    acceptor: str
    incarnation: DiskIncarnation
    replaced: bool = False


KnownIncarnations = tuple[KnownIncarnation, ...]  # ordered by the acceptors' names


class Prepare(msgspec.Struct, frozen=True, tag="prepare", rename={"acceptors": "keepers", "known_ballot": "known"}):
    """Phase 1 request: promise to accept nothing below `ballot`.

    The proposer counts a quorum of `acceptors`. It has the value that was accepted under `known_ballot`, so the reply
    may omit that value.
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
    """Phase 1 reply: the last accepted ballot and its value.

    `value` is None if the proposer has the value already or nothing was accepted.
    """

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
    """Phase 2 reply: the value was accepted under `ballot` and is durable."""

    ballot: Ballot
    acceptor: str
    incarnation: DiskIncarnation
    known_incarnations: KnownIncarnations


class Rejected(msgspec.Struct, frozen=True, tag="refused", rename={"acceptor": "keeper", "abstain_reason": "abstains"}):
    """The negative reply to either phase.

    `promised` is the ballot that takes precedence. `abstain_reason`, unless empty, says why the acceptor votes
    on none of this proposer's ballots at present.
    """

    ballot: Ballot
    acceptor: str
    promised: Ballot
    abstain_reason: str = ""


class JoinRequest(msgspec.Struct, frozen=True, tag="enter", rename={"acceptor": "keeper", "incarnation": "life"}):
    """An acceptor with a new disk requests the receiver's state, and that the receiver records the incarnation."""

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
    """Positive reply to `JoinRequest`: the incarnation `requested` is recorded durably.

    `knows_predecessor`: the replying acceptor has known an earlier disk of the requester. The other fields are the
    replying acceptor's own state.
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
    """Negative reply to `JoinRequest`: a newer incarnation is known, so the incarnation `requested` can never join."""

    acceptor: str
    requested: DiskIncarnation
    reason: str


ReplyT = TypeVar("ReplyT", bound=Promise | Accepted | JoinAccepted)
Request = Prepare | Accept | JoinRequest  # requests to an acceptor
Vote = Promise | Accepted | Rejected  # replies to a proposer
Reply = Vote | JoinAccepted | JoinRejected
Message = Request | Reply

encode = msgspec.msgpack.Encoder().encode
decode: Callable[[bytes], Message] = msgspec.msgpack.Decoder(Message).decode


def quorum_size(acceptors: tuple[str, ...]) -> int:
    """Return the number of acceptors that form a majority."""
    return len(acceptors) // 2 + 1


def find_known(known: KnownIncarnations, acceptor: str) -> KnownIncarnation:
    """Return the entry of `acceptor`, with `NO_INCARNATION` if there is none."""
    for entry in known:
        if entry.acceptor == acceptor:
            return entry
    return KnownIncarnation(acceptor, NO_INCARNATION)


def merge_known(known: KnownIncarnations, found: KnownIncarnation) -> KnownIncarnations:
    """Return `known` with `found` merged in: incarnations only grow, and `replaced` is never reset."""
    before = find_known(known, found.acceptor)
    differs = before.incarnation not in (NO_INCARNATION, found.incarnation) and found.incarnation != NO_INCARNATION
    after = KnownIncarnation(
        found.acceptor,
        max(before.incarnation, found.incarnation),
        before.replaced or found.replaced or differs,
    )
    if after == before:
        return known
    others = [entry for entry in known if entry.acceptor != found.acceptor]
    return tuple(sorted([*others, after]))


def consistent_quorum(replies: tuple[ReplyT, ...], size: int) -> tuple[ReplyT, ...]:
    """Return the first `size` replies that are pairwise consistent, or an empty tuple if there are fewer.

    A quorum of inconsistent replies could count a reply that an acceptor sent before it lost its disk.
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


def _consistent(first: ReplyT, second: ReplyT) -> bool:
    """Return whether neither sender knows a newer disk of the other than the one that the other replied from."""
    return (
        find_known(first.known_incarnations, second.acceptor).incarnation <= second.incarnation
        and find_known(second.known_incarnations, first.acceptor).incarnation <= first.incarnation
    )
