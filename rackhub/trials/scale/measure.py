"""What hollow coordinators, relays and voters cost, from two polls of their processes."""

from collections.abc import Iterable, Sequence

from rackhub.trials.scale.orders import Polled
from rackhub.trials.scale.result import Cost

MEGABYTE = 1 << 20


def cost(
    before: Sequence[Polled], after: Sequence[Polled], empty: Sequence[int], occupants: int, seconds: float
) -> Cost:
    """Of one occupant. `empty`: resident bytes of each process before it had any."""
    share = occupants * seconds
    memory = sum(poll.memory for poll in after) - sum(empty)
    return Cost(
        bytes_in=_grown([poll.bytes_in for poll in before], [poll.bytes_in for poll in after], share),
        bytes_out=_grown([poll.bytes_out for poll in before], [poll.bytes_out for poll in after], share),
        members_bytes=_grown([poll.members_bytes for poll in before], [poll.members_bytes for poll in after], share),
        cpu_percent=_grown([100 * poll.cpu for poll in before], [100 * poll.cpu for poll in after], share),
        memory_megabytes=round(memory / occupants / MEGABYTE, 3),
    )


def lateness_p99(polls: Iterable[Polled]) -> float:
    """Of the process whose timers were latest, in seconds."""
    worst = 0.0
    for poll in polls:
        ordered = sorted(poll.lateness)
        if ordered:
            worst = max(worst, ordered[round(0.99 * (len(ordered) - 1))])
    return worst


def _grown(before: Sequence[float], after: Sequence[float], share: float) -> float:
    return round((sum(after) - sum(before)) / share, 3)
