"""An acceptor of the CASPaxos register, without I/O: `handle(state, message)` returns the next state and the replies.

The caller may send the replies only after the returned state is durable.
"""

import msgspec

from rackhub.fleet.register.messages import (
    MAX_BALLOT_NUMBER,
    MAX_VALUE_BYTES,
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    DiskIncarnation,
    JoinAccepted,
    JoinRejected,
    JoinRequest,
    KnownIncarnation,
    KnownIncarnations,
    Message,
    Prepare,
    Promise,
    Rejected,
    Reply,
    consistent_quorum,
    find_known,
    merge_known,
    quorum_size,
)

# The reasons are shown to operators, to whom acceptors are known by the setting `keepers`. `NOT_JOINED_REASON` follows
# the text "<acceptor> abstains: ".
NOT_JOINED_REASON = "its disk is new, and the other keepers have not admitted it yet"
OLDER_DISK_REASON = (
    "a newer disk of this keeper is known: this disk was restored from an older state, or first used while the clock "
    "was set back"
)


class AcceptorState(
    msgspec.Struct,
    frozen=True,
    rename={
        "acceptors": "keepers",
        "local_name": "me",
        "incarnation": "life",
        "known_incarnations": "views",
        "join_replies": "answers",
    },
):
    """The complete durable state of one acceptor.

    `voting`: the acceptor has joined with this disk; until then it abstains. `promised` is the highest ballot that it
    has promised, `value` the value that it accepted last, under the ballot `accepted`. `join_replies`: the replies to
    its join request that it has received so far. `rename` gives the encoded names, which are a stable format.
    """

    acceptors: tuple[str, ...]
    local_name: str
    incarnation: DiskIncarnation
    voting: bool = False
    known_incarnations: KnownIncarnations = ()
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: bytes | None = None
    join_replies: tuple[JoinAccepted, ...] = ()


def new_acceptor(acceptors: tuple[str, ...], local_name: str, incarnation: DiskIncarnation) -> AcceptorState:
    """Return the state for an empty disk.

    A single acceptor votes at once, because no other acceptor could know an earlier disk of it.
    """
    return AcceptorState(acceptors, local_name, incarnation, voting=len(acceptors) == 1)


def handle(state: AcceptorState, message: Message) -> tuple[AcceptorState, list[Reply]]:
    """Return the state after one message, and the replies to its sender.

    A `Prepare` or `Accept` gets a `Promise`, `Accepted` or `Rejected`; a `JoinRequest` of another acceptor gets a
    `JoinAccepted` or `JoinRejected`. There is no reply to a ballot number out of range, to an otherwise acceptable
    `Accept` with an oversized value, or to any other message.
    """
    if isinstance(message, Prepare | Accept):
        if not 0 < message.ballot.number <= MAX_BALLOT_NUMBER:
            return state, []
        return _vote(state, message)
    if isinstance(message, JoinRequest) and _is_peer(state, message.acceptor):
        return _handle_join_request(state, message)
    if isinstance(message, JoinAccepted) and _is_peer(state, message.acceptor):
        return _handle_join_accepted(state, message), []
    return state, []


def _is_peer(state: AcceptorState, name: str) -> bool:
    return name in state.acceptors and name != state.local_name


def _vote(state: AcceptorState, message: Prepare | Accept) -> tuple[AcceptorState, list[Reply]]:
    ballot = message.ballot
    if not state.voting:
        return state, [_rejection(state, ballot, NOT_JOINED_REASON)]
    if set(message.acceptors) != set(state.acceptors):  # quorums of different sets may not intersect
        return state, [_rejection(state, ballot, f"its keepers are {', '.join(state.acceptors)}")]
    if ballot < state.promised:
        return state, [_rejection(state, ballot)]
    if isinstance(message, Prepare):
        return _promise(state, message)
    if len(message.value) > MAX_VALUE_BYTES:
        return state, []
    state = msgspec.structs.replace(state, promised=ballot, accepted=ballot, value=message.value)
    return state, [Accepted(ballot, state.local_name, state.incarnation, state.known_incarnations)]


def _rejection(state: AcceptorState, ballot: Ballot, abstain_reason: str = "") -> Rejected:
    return Rejected(ballot, state.local_name, state.promised, abstain_reason)


def _promise(state: AcceptorState, message: Prepare) -> tuple[AcceptorState, list[Reply]]:
    state = msgspec.structs.replace(state, promised=message.ballot)
    value = state.value if state.accepted != message.known_ballot else None
    promise = Promise(
        message.ballot, state.local_name, state.incarnation, state.known_incarnations, state.accepted, value
    )
    return state, [promise]


def _handle_join_request(state: AcceptorState, message: JoinRequest) -> tuple[AcceptorState, list[Reply]]:
    """Record the requester's incarnation, or reject it if a newer one is known.

    From then on no quorum contains both this acceptor and an earlier disk of the requester, because this acceptor's
    replies carry the recorded incarnation and only consistent replies are counted.
    """
    if message.incarnation < find_known(state.known_incarnations, message.acceptor).incarnation:
        return state, [JoinRejected(state.local_name, message.incarnation, OLDER_DISK_REASON)]
    known = merge_known(state.known_incarnations, KnownIncarnation(message.acceptor, message.incarnation))
    state = msgspec.structs.replace(state, known_incarnations=known)
    reply = JoinAccepted(
        acceptor=state.local_name,
        requested=message.incarnation,
        voting=state.voting,
        knows_predecessor=find_known(known, message.acceptor).replaced,
        incarnation=state.incarnation,
        known_incarnations=known,
        promised=state.promised,
        accepted=state.accepted,
        value=state.value,
    )
    return state, [reply]


def _handle_join_accepted(state: AcceptorState, message: JoinAccepted) -> AcceptorState:
    """Record a reply to the join request, and join once the replies suffice."""
    if state.voting or message.requested != state.incarnation:  # the second: a reply to a request of an earlier disk
        return state
    if any(
        reply.acceptor == message.acceptor and reply.incarnation > message.incarnation for reply in state.join_replies
    ):  # the message was sent before its sender lost its disk
        return state
    others = [reply for reply in state.join_replies if reply.acceptor != message.acceptor]
    replies = tuple(sorted([*others, message], key=lambda reply: reply.acceptor))
    state = msgspec.structs.replace(state, join_replies=replies)
    return _join(state) if _may_join(state) else state


def _may_join(state: AcceptorState) -> bool:
    """Return whether the replies suffice to join, that is to begin voting.

    Consistent replies of a quorum of voting acceptors suffice. For the first disk of this acceptor, consistent replies
    of all other acceptors suffice too; the disk is the first if none of them has known an earlier one.
    """
    voting = tuple(reply for reply in state.join_replies if reply.voting)
    if consistent_quorum(voting, quorum_size(state.acceptors)):
        return True
    all_others = consistent_quorum(state.join_replies, len(state.acceptors) - 1)
    return bool(all_others) and not any(reply.knows_predecessor for reply in all_others)


def _join(state: AcceptorState) -> AcceptorState:
    """Adopt the highest promise, the newest accepted value and all known incarnations, and begin to vote."""
    known = state.known_incarnations
    promised = state.promised
    for reply in state.join_replies:
        promised = max(promised, reply.promised)
        for found in (KnownIncarnation(reply.acceptor, reply.incarnation), *reply.known_incarnations):
            if found.acceptor != state.local_name:
                known = merge_known(known, found)
    newest = max(state.join_replies, key=lambda reply: reply.accepted)
    return msgspec.structs.replace(
        state,
        voting=True,
        known_incarnations=known,
        promised=promised,
        accepted=newest.accepted,
        value=newest.value,
        join_replies=(),
    )
