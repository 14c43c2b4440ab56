"""What a proposer does with one ballot: ask for promises, apply the change to the newest value, have it accepted. Pure.

A refusal by the change itself is an answer about a value, so that value is made to hold first, like any other.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

import msgspec

from rackhub.fleet.register.messages import (
    NONE,
    Accept,
    Accepted,
    Ballot,
    Prepare,
    Promise,
    Rejected,
    Vote,
    agreed,
    quorum_size,
)

T = TypeVar("T", Promise, Accepted)
Change = Callable[[bytes | None], tuple[bytes | None, Any]]  # the value -> what it becomes, and what to answer


class Round(msgspec.Struct, frozen=True):
    """One ballot's way. `known`, `value`: the newest that the proposer had, by its ballot; then `value` is offered."""

    keepers: tuple[str, ...]
    ballot: Ballot
    known: Ballot = NONE
    value: bytes | None = None
    promises: tuple[Promise, ...] = ()
    offered: bool = False
    accepts: tuple[Accepted, ...] = ()
    refusals: tuple[Rejected, ...] = ()
    answer: Any = None


class Chosen(NamedTuple):
    """A majority holds it for good."""

    value: bytes | None
    ballot: Ballot
    answer: Any


class Beaten(NamedTuple):
    """This ballot can't come to anything any more; `above`: the highest ballot heard of."""

    above: Ballot
    why: str


Effect = Accept | Chosen | Beaten


def begin(
    keepers: tuple[str, ...], ballot: Ballot, known: Ballot = NONE, value: bytes | None = None
) -> tuple[Round, Prepare]:
    return Round(keepers, ballot, known, value), Prepare(ballot, keepers, known)


def heard(state: Round, reply: Vote, change: Change) -> tuple[Round, list[Effect]]:
    """A keeper's reply to this ballot; any other, and what is known already, changes nothing."""
    if reply.ballot != state.ballot or reply.keeper not in state.keepers:
        return state, []
    if isinstance(reply, Rejected):
        return _refused(state, reply)
    if isinstance(reply, Promise) and not state.offered:
        promises = _with(state.promises, reply)
        state = msgspec.structs.replace(state, promises=promises)
        able = agreed(promises, quorum_size(state.keepers))
        return _offer(state, able, change) if able else (state, [])
    if isinstance(reply, Accepted) and state.offered:
        accepts = _with(state.accepts, reply)
        done = len(state.accepts) < len(accepts) and not agreed(state.accepts, quorum_size(state.keepers))
        state = msgspec.structs.replace(state, accepts=accepts)
        if done and agreed(accepts, quorum_size(state.keepers)):
            return state, [Chosen(state.value, state.ballot, state.answer)]
    return state, []


def _with(replies: tuple[T, ...], reply: T) -> tuple[T, ...]:
    """In order of keepers, so that the same replies make the same state; the newest of each."""
    if any(one.keeper == reply.keeper and one.life > reply.life for one in replies):
        return replies
    others: list[Any] = [one for one in replies if one.keeper != reply.keeper]
    return tuple(sorted([*others, reply], key=lambda one: one.keeper))


def _offer(state: Round, able: tuple[Promise, ...], change: Change) -> tuple[Round, list[Effect]]:
    newest = max(able, key=lambda one: one.accepted)
    was = state.value if newest.accepted == state.known else newest.value
    becomes, answer = change(was)
    if becomes is None or becomes == was and all(one.accepted == newest.accepted for one in able):
        # nothing to change, and a majority has accepted what stands, or nothing at all
        return msgspec.structs.replace(state, offered=True), [Chosen(was, newest.accepted, answer)]
    state = msgspec.structs.replace(state, offered=True, value=becomes, answer=answer)
    return state, [Accept(state.ballot, state.keepers, becomes)]


def _refused(state: Round, reply: Rejected) -> tuple[Round, list[Effect]]:
    before = state.refusals
    refusals = tuple(
        sorted([*(one for one in before if one.keeper != reply.keeper), reply], key=lambda one: one.keeper)
    )
    state = msgspec.structs.replace(state, refusals=refusals)
    enough = len(state.keepers) - quorum_size(state.keepers)
    if len(before) <= enough < len(refusals):
        above = max(one.promised for one in refusals)
        whys = [f"{one.keeper} abstains: {one.abstains}" for one in refusals if one.abstains]
        return state, [Beaten(above, "; ".join(whys) or f"a later edit by way of {above.name} is under way")]
    return state, []
