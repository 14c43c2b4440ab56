"""One round of a proposer, without I/O: collect promises, apply the change to the newest value, have it accepted.

A change that rejects the value it is applied to has read that value, so the value is made durable first, like any other
result.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

import msgspec

from rackhub.fleet.register.messages import (
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    Prepare,
    Promise,
    Rejected,
    Vote,
    consistent_quorum,
    quorum_size,
)

PositiveVoteT = TypeVar("PositiveVoteT", bound=Promise | Accepted)
# maps the register's value to its new value and the answer for the caller
ChangeFunction = Callable[[bytes | None], tuple[bytes | None, Any]]


class Round(msgspec.Struct, frozen=True):
    """The state of one ballot.

    `known_ballot` and `value` are the newest that the proposer had before; once `accept_sent`, `value` is the proposed
    one. `answer` is the change's.
    """

    acceptors: tuple[str, ...]
    ballot: Ballot
    known_ballot: Ballot = NO_BALLOT
    value: bytes | None = None
    promises: tuple[Promise, ...] = ()
    accept_sent: bool = False
    accepts: tuple[Accepted, ...] = ()
    rejections: tuple[Rejected, ...] = ()
    answer: Any = None


class Chosen(NamedTuple):
    """A quorum has accepted the value: it is chosen for good."""

    value: bytes | None
    ballot: Ballot
    answer: Any


class Preempted(NamedTuple):
    """This ballot can't be chosen any more; `highest_ballot` is the highest one that a rejection named."""

    highest_ballot: Ballot
    reason: str


Effect = Accept | Chosen | Preempted


def start_round(
    acceptors: tuple[str, ...], ballot: Ballot, known_ballot: Ballot = NO_BALLOT, value: bytes | None = None
) -> tuple[Round, Prepare]:
    """A new round, and the request to send to all acceptors."""
    return Round(acceptors, ballot, known_ballot, value), Prepare(ballot, acceptors, known_ballot)


def handle_reply(state: Round, reply: Vote, change: ChangeFunction) -> tuple[Round, list[Effect]]:
    """The round after one acceptor's reply, and what to do.

    Replies to other ballots, from other processes, or received before change nothing. Raises what `change` raises.
    """
    if reply.ballot != state.ballot or reply.acceptor not in state.acceptors:
        return state, []
    if isinstance(reply, Rejected):
        return _handle_rejection(state, reply)
    if isinstance(reply, Promise) and not state.accept_sent:
        return _handle_promise(state, reply, change)
    if isinstance(reply, Accepted) and state.accept_sent:
        return _handle_accepted(state, reply)
    return state, []


def _handle_promise(state: Round, reply: Promise, change: ChangeFunction) -> tuple[Round, list[Effect]]:
    promises = _with_reply(state.promises, reply)
    state = msgspec.structs.replace(state, promises=promises)
    quorum = consistent_quorum(promises, quorum_size(state.acceptors))
    return _propose(state, quorum, change) if quorum else (state, [])


def _handle_accepted(state: Round, reply: Accepted) -> tuple[Round, list[Effect]]:
    needed = quorum_size(state.acceptors)
    accepts = _with_reply(state.accepts, reply)
    is_new = len(accepts) > len(state.accepts)
    was_chosen = bool(consistent_quorum(state.accepts, needed))
    state = msgspec.structs.replace(state, accepts=accepts)
    if is_new and not was_chosen and consistent_quorum(accepts, needed):
        return state, [Chosen(state.value, state.ballot, state.answer)]
    return state, []


def _with_reply(replies: tuple[PositiveVoteT, ...], reply: PositiveVoteT) -> tuple[PositiveVoteT, ...]:
    """Add a reply; of one acceptor's, that of its newest disk is kept.

    Ordered by acceptor, so that the same replies in any order lead to the same state.
    """
    if any(one.acceptor == reply.acceptor and one.incarnation > reply.incarnation for one in replies):
        return replies
    rest = [one for one in replies if one.acceptor != reply.acceptor]
    return tuple(sorted([*rest, reply], key=lambda one: one.acceptor))


def _propose(state: Round, quorum: tuple[Promise, ...], change: ChangeFunction) -> tuple[Round, list[Effect]]:
    newest = max(quorum, key=lambda promise: promise.accepted)
    current = state.value if newest.accepted == state.known_ballot else newest.value
    proposed, answer = change(current)
    already_chosen = all(promise.accepted == newest.accepted for promise in quorum)
    if proposed is None or (proposed == current and already_chosen):
        # a read of a value that a quorum has accepted under one ballot, or of no value, needs no second phase
        return msgspec.structs.replace(state, accept_sent=True), [Chosen(current, newest.accepted, answer)]
    state = msgspec.structs.replace(state, accept_sent=True, value=proposed, answer=answer)
    return state, [Accept(state.ballot, state.acceptors, proposed)]


def _handle_rejection(state: Round, reply: Rejected) -> tuple[Round, list[Effect]]:
    before = state.rejections
    rest = [one for one in before if one.acceptor != reply.acceptor]
    rejections = tuple(sorted([*rest, reply], key=lambda one: one.acceptor))
    state = msgspec.structs.replace(state, rejections=rejections)
    tolerated = len(state.acceptors) - quorum_size(state.acceptors)
    if len(before) <= tolerated < len(rejections):
        highest = max(one.promised for one in rejections)
        reasons = "; ".join(describe_abstentions(rejections))
        return state, [Preempted(highest, reasons or f"a later edit by way of {highest.proposer} is under way")]
    return state, []


def describe_abstentions(rejections: tuple[Rejected, ...]) -> list[str]:
    """One phrase for each acceptor that abstains, for the reason of an outcome."""
    return [f"{one.acceptor} abstains: {one.abstain_reason}" for one in rejections if one.abstain_reason]
