"""What keepers and proposers say to one another: plain data, the same in the exploration and on the wire."""

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

import msgspec

from rackhub.fleet.ports import MAIL

MAX_VALUE_BYTES = MAIL - 4_096  # most bytes of the value: with all that goes along it fits in one piece of mail
MAX_BALLOT_NUMBER = 1 << 48  # a ballot beyond is nonsense: nothing honest gets there


class Ballot(NamedTuple):
    """Who proposes, for the how manieth time. No two rounds have the same: a boot number never comes again."""

    number: int = 0
    name: str = ""
    boot: int = 0


class DiskIncarnation(NamedTuple):
    """One disk of one keeper: when it was first used, by the boot number, and what was drawn then. A later one of the
    same keeper is greater: it has lost what the earlier one knew."""

    boot: int = 0
    identity: str = ""


NONE, NO_INCARNATION = Ballot(), DiskIncarnation()


class KnownIncarnation(NamedTuple):
    """The newest life of another keeper that one has noted; `again`: there was an earlier one."""

    name: str
    life: DiskIncarnation
    again: bool = False


Views = tuple[KnownIncarnation, ...]  # in order of names


class Prepare(msgspec.Struct, frozen=True, tag="prepare"):
    """Promise to take nothing below `ballot`. `known`: the value accepted under it need not be sent along. `keepers`:
    those that the proposer counts a majority of."""

    ballot: Ballot
    keepers: tuple[str, ...]
    known: Ballot = NONE


class Promise(msgspec.Struct, frozen=True, tag="promise"):
    ballot: Ballot
    keeper: str
    life: DiskIncarnation
    views: Views
    accepted: Ballot
    value: bytes | None


class Accept(msgspec.Struct, frozen=True, tag="accept"):
    ballot: Ballot
    keepers: tuple[str, ...]
    value: bytes


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    ballot: Ballot
    keeper: str
    life: DiskIncarnation
    views: Views


class Rejected(msgspec.Struct, frozen=True, tag="refused"):
    """`promised`: what stands against it; `abstains`: why this keeper answers nothing now."""

    ballot: Ballot
    keeper: str
    promised: Ballot
    abstains: str = ""


class JoinRequest(msgspec.Struct, frozen=True, tag="enter"):
    """A keeper whose disk is new asks the others to note its life and to say what they hold."""

    keeper: str
    life: DiskIncarnation


class JoinAccepted(msgspec.Struct, frozen=True, tag="noted"):
    """The answer: synced before it was told. `again`: it has known an earlier disk of that keeper."""

    keeper: str
    to: DiskIncarnation
    voting: bool
    again: bool
    life: DiskIncarnation
    views: Views
    promised: Ballot
    accepted: Ballot
    value: bytes | None


class JoinRejected(msgspec.Struct, frozen=True, tag="barred"):
    """The other answer: this disk is never let in."""

    keeper: str
    to: DiskIncarnation
    why: str


T = TypeVar("T", Promise, Accepted, JoinAccepted)
Request = Prepare | Accept | JoinRequest  # to a keeper
Vote = Promise | Accepted | Rejected  # to a proposer
Reply = Vote | JoinAccepted | JoinRejected
Message = Request | Reply

encode = msgspec.msgpack.Encoder().encode
decode: Callable[[bytes], Message] = msgspec.msgpack.Decoder(Message).decode


def quorum_size(keepers: tuple[str, ...]) -> int:
    return len(keepers) // 2 + 1


def view(views: Views, name: str) -> KnownIncarnation:
    return next((one for one in views if one.name == name), KnownIncarnation(name, NO_INCARNATION))


def noting(views: Views, found: KnownIncarnation) -> Views:
    """The newest life of each only grows; that there was an earlier one is never forgotten."""
    known = view(views, found.name)
    other = known.life not in (NO_INCARNATION, found.life) and found.life != NO_INCARNATION
    after = KnownIncarnation(found.name, max(known.life, found.life), known.again or found.again or other)
    return views if after == known else tuple(sorted([*(one for one in views if one.name != found.name), after]))


def agreed(replies: tuple[T, ...], many: int) -> tuple[T, ...]:
    """So many of the replies of which none has noted a later life of another; none where there are not so many. Only
    such make a majority: else one may count what a keeper said before it forgot it."""

    def grow(chosen: tuple[Any, ...], rest: tuple[Any, ...]) -> tuple[Any, ...]:
        if len(chosen) == many:
            return chosen
        for i, one in enumerate(rest):
            if all(
                view(one.views, other.keeper).life <= other.life and view(other.views, one.keeper).life <= one.life
                for other in chosen
            ):
                found = grow((*chosen, one), rest[i + 1 :])
                if found:
                    return found
        return ()

    return grow((), replies)
