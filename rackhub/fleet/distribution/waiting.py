"""The end of an edit: until its revision is in force everywhere by the relays' sums, as long as the editor waits."""

from typing import Any

from rackhub.fleet.distribution.editing import EditRequest
from rackhub.fleet.distribution.editor import EditDone
from rackhub.fleet.distribution.messages import KeyFault, Revision
from rackhub.fleet.distribution.ports import FleetStatus
from rackhub.fleet.distribution.queries import fault_rows, fleet_rows
from rackhub.fleet.distribution.voter import Voter
from rackhub.fleet.ports import Answer, Fleet

POLL = 50_000  # microseconds
MILLISECOND = 1_000
NOT_IN_FORCE = 1  # exit status of the command line


def wait_in_force(
    voter: Voter, fleet: Fleet, request: EditRequest, edit: EditDone, began: int, wait_ms: int, answer: Answer
) -> None:
    """Answer when all have it, when some can't take one of its keys, or when the time is over."""
    until = fleet.clock.now() + wait_ms * MILLISECOND

    def look() -> None:
        now = fleet.clock.now()
        status, refused = voter.status(edit.revision), _refused_of(voter, edit.revision)
        if not _everywhere(status) and now < until:
            fleet.call_later(POLL, look)
            return
        told = fleet_rows(status) | {
            "id": request.id,
            "kind": request.kind,
            "refused": fault_rows(refused),
            "unasked": list(edit.unasked),
            "took_ms": (now - began) // MILLISECOND,
        }
        answer(told | _shortfall(status, refused, wait_ms))

    look()


def _everywhere(status: FleetStatus) -> bool:
    return status.expected > 0 and not status.lagging


def _refused_of(voter: Voter, revision: Revision) -> list[KeyFault]:
    """Keys of that change which some coordinators can't take."""
    past = [one.change for one in voter.history.newest_first() if one.change.revision == revision]
    keys = {entry.key for change in past for entry in change.entries}
    return [fault for fault in voter.refused_keys() if fault.key in keys]


def _shortfall(status: FleetStatus, refused: list[KeyFault], wait_ms: int) -> dict[str, Any]:
    """The error of an edit that is decided, and not in force everywhere after the wait."""
    if refused:
        keys = ", ".join(fault.key for fault in refused)
        reason = f"some coordinators can't take {keys}, and go on with the value before"
    elif wait_ms and not status.expected:
        reason = "no coordinator is known: no relay has reported yet"
    elif wait_ms and status.lagging:
        reason = f"it is not in force at {status.lagging} of {status.expected} after {wait_ms} ms"
    else:
        return {}
    return {"error": f"revision {status.revision} is decided; {reason}", "exit": NOT_IN_FORCE}
