"""One round of a proposer, without I/O: collect promises, apply a change to the newest value, have the result accepted.

A change that leaves the value as it is has read it. Unless a quorum has already accepted that value under one ballot,
the value is proposed again, so that a later read can't return an older one.
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

    `known_ballot` and `value` are the newest ballot and value that the proposer knew before this round. Once
    `accept_sent` is set, `value` is the proposed value. `answer` is the change's answer for the caller.
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
    """A quorum has accepted the value, which is thereby chosen permanently."""

    value: bytes | None
    ballot: Ballot
    answer: Any


class Preempted(NamedTuple):
    """This round can no longer reach a quorum; `highest_ballot` is the highest ballot that a rejection named."""

    highest_ballot: Ballot
    reason: str


Effect = Accept | Chosen | Preempted


def start_round(
    acceptors: tuple[str, ...], ballot: Ballot, known_ballot: Ballot = NO_BALLOT, value: bytes | None = None
) -> tuple[Round, Prepare]:
    """Return a new round, and the request to send to all acceptors."""
    return Round(acceptors, ballot, known_ballot, value), Prepare(ballot, acceptors, known_ballot)


def handle_reply(state: Round, reply: Vote, change: ChangeFunction) -> tuple[Round, list[Effect]]:
    """Return the round after one acceptor's reply, and the effects for the caller to perform.

    Replies to other ballots, from other processes, and duplicates have no effect. Raises whatever `change` raises.
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
    """Return `replies` with `reply` added; for each acceptor the reply from its newest disk is kept.

    The replies are sorted by acceptor, so that any order of arrival leads to the same state.
    """
    if any(other.acceptor == reply.acceptor and other.incarnation > reply.incarnation for other in replies):
        return replies
    others = [other for other in replies if other.acceptor != reply.acceptor]
    return tuple(sorted([*others, reply], key=lambda vote: vote.acceptor))


def _propose(state: Round, quorum: tuple[Promise, ...], change: ChangeFunction) -> tuple[Round, list[Effect]]:
    newest = max(quorum, key=lambda promise: promise.accepted)
    current = state.value if newest.accepted == state.known_ballot else newest.value
    proposed, answer = change(current)
    already_chosen = all(promise.accepted == newest.accepted for promise in quorum)
    if proposed is None or (proposed == current and already_chosen):
        # no second phase for a read if a quorum has accepted the value under one ballot, or there is no value yet
        return msgspec.structs.replace(state, accept_sent=True), [Chosen(current, newest.accepted, answer)]
    state = msgspec.structs.replace(state, accept_sent=True, value=proposed, answer=answer)
    return state, [Accept(state.ballot, state.acceptors, proposed)]


def _handle_rejection(state: Round, reply: Rejected) -> tuple[Round, list[Effect]]:
    before = state.rejections
    others = [rejection for rejection in before if rejection.acceptor != reply.acceptor]
    rejections = tuple(sorted([*others, reply], key=lambda rejection: rejection.acceptor))
    state = msgspec.structs.replace(state, rejections=rejections)
    tolerated = len(state.acceptors) - quorum_size(state.acceptors)
    if len(before) <= tolerated < len(rejections):
        highest = max(rejection.promised for rejection in rejections)
        reasons = "; ".join(describe_abstentions(rejections))
        return state, [Preempted(highest, reasons or f"preempted by a higher ballot of {highest.proposer}")]
    return state, []


def describe_abstentions(rejections: tuple[Rejected, ...]) -> list[str]:
    """Return one phrase for each acceptor that abstains, for the reason of an outcome."""
    return [
        f"{rejection.acceptor} abstains: {rejection.abstain_reason}"
        for rejection in rejections
        if rejection.abstain_reason
    ]
