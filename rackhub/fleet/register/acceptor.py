"""What a keeper answers. Pure: `step(state, message)` gives the state after it and the replies, which may be told only
once that state is on disk. All that a keeper must not forget is in `AcceptorState`.
"""

import msgspec

from rackhub.fleet.register.messages import (
    MAX_BALLOT_NUMBER,
    MAX_VALUE_BYTES,
    NONE,
    Accept,
    Accepted,
    Ballot,
    DiskIncarnation,
    JoinAccepted,
    JoinRejected,
    JoinRequest,
    KnownIncarnation,
    Message,
    Prepare,
    Promise,
    Rejected,
    Reply,
    Views,
    agreed,
    noting,
    quorum_size,
    view,
)


class AcceptorState(msgspec.Struct, frozen=True):
    """One keeper's memory. `voting`: it was let in with this disk; until then it abstains. `answers`: to its asking."""

    keepers: tuple[str, ...]
    me: str
    life: DiskIncarnation
    voting: bool = False
    views: Views = ()
    promised: Ballot = NONE
    accepted: Ballot = NONE
    value: bytes | None = None
    answers: tuple[JoinAccepted, ...] = ()


def new_acceptor(keepers: tuple[str, ...], me: str, life: DiskIncarnation) -> AcceptorState:
    """With a disk that holds nothing. A keeper alone has nobody who could know of an earlier one."""
    return AcceptorState(keepers, me, life, voting=len(keepers) == 1)


ABSTAINS = "its disk is new, and the other keepers have not let it in yet"
OLDER = "a later disk of this keeper was noted: this one was put back, and does not know what that one knew"


def step(state: AcceptorState, message: Message) -> tuple[AcceptorState, list[Reply]]:
    """What comes from nobody's ballot or from no keeper is left without an answer."""
    if isinstance(message, Prepare | Accept):
        if not 0 < message.ballot.number <= MAX_BALLOT_NUMBER:
            return state, []
        return _vote(state, message)
    if isinstance(message, JoinRequest) and message.keeper in state.keepers and message.keeper != state.me:
        return _note(state, message)
    if isinstance(message, JoinAccepted) and message.keeper in state.keepers and message.keeper != state.me:
        return _answer(state, message), []
    return state, []


def _vote(state: AcceptorState, message: Prepare | Accept) -> tuple[AcceptorState, list[Reply]]:
    ballot, me = message.ballot, state.me
    if not state.voting:
        return state, [Rejected(ballot, me, state.promised, ABSTAINS)]
    if set(message.keepers) != set(state.keepers):  # majorities of two sets need have nobody in common
        return state, [Rejected(ballot, me, state.promised, f"its keepers are {', '.join(state.keepers)}")]
    if ballot < state.promised:
        return state, [Rejected(ballot, me, state.promised)]
    if isinstance(message, Prepare):
        state = msgspec.structs.replace(state, promised=ballot)
        value = state.value if state.accepted != message.known else None
        return state, [Promise(ballot, me, state.life, state.views, state.accepted, value)]
    if len(message.value) > MAX_VALUE_BYTES:
        return state, []
    state = msgspec.structs.replace(state, promised=ballot, accepted=ballot, value=message.value)
    return state, [Accepted(ballot, me, state.life, state.views)]


def _note(state: AcceptorState, message: JoinRequest) -> tuple[AcceptorState, list[Reply]]:
    """From here on no majority counts in which this keeper stands beside an earlier life of that one."""
    if message.life < view(state.views, message.keeper).life:
        return state, [JoinRejected(state.me, message.life, OLDER)]
    views = noting(state.views, KnownIncarnation(message.keeper, message.life))
    state = msgspec.structs.replace(state, views=views)
    return state, [
        JoinAccepted(
            state.me,
            message.life,
            state.voting,
            view(views, message.keeper).again,
            state.life,
            views,
            state.promised,
            state.accepted,
            state.value,
        )
    ]


def _answer(state: AcceptorState, message: JoinAccepted) -> AcceptorState:
    """One more of the others has noted this life; whether that is enough."""
    if state.voting or message.to != state.life:
        return state
    if any(one.keeper == message.keeper and one.life > message.life for one in state.answers):
        return state
    answers = (*(one for one in state.answers if one.keeper != message.keeper), message)
    state = msgspec.structs.replace(state, answers=tuple(sorted(answers, key=lambda one: one.keeper)))
    if not _let_in(state):
        return state
    views, promised = state.views, state.promised
    newest = max(state.answers, key=lambda one: one.accepted)
    for one in state.answers:
        promised = max(promised, one.promised)
        for seen in (KnownIncarnation(one.keeper, one.life), *one.views):
            views = noting(views, seen) if seen.name != state.me else views
    return msgspec.structs.replace(
        state, voting=True, views=views, promised=promised, accepted=newest.accepted, value=newest.value, answers=()
    )


def _let_in(state: AcceptorState) -> bool:
    """Again: by as many others as make a majority, that vote themselves. The first time: by all of the others, none of
    which has ever noted another life of this keeper. None of those that count has noted a later life of another."""
    if agreed(tuple(one for one in state.answers if one.voting), quorum_size(state.keepers)):
        return True
    all_others = agreed(state.answers, len(state.keepers) - 1)
    return bool(all_others) and not any(one.again for one in all_others)
