"""Answers an edit once its revision is applied everywhere, or once the editor's waiting time is over."""

from typing import Any

from rackhub.fleet.distribution.editing import EditRequest
from rackhub.fleet.distribution.editor import EditDone
from rackhub.fleet.distribution.messages import KeyFault, Revision
from rackhub.fleet.distribution.ports import FleetStatus
from rackhub.fleet.distribution.queries import fault_rows, fleet_rows
from rackhub.fleet.distribution.voter import Voter
from rackhub.fleet.ports import Answer, Fleet

POLL_INTERVAL = 50_000  # microseconds
MILLISECOND = 1_000
NOT_APPLIED = 1  # exit status of the command line


def wait_until_applied(
    voter: Voter, fleet: Fleet, request: EditRequest, edit: EditDone, began: int, wait_ms: int, answer: Answer
) -> None:
    """Answer once all coordinators have applied the edit, or once `wait_ms` is over.

    A coordinator that rejects a key counts as having applied the edit; the answer names the key. `began` is the start
    of the edit in microseconds.
    """
    deadline = fleet.clock.now() + wait_ms * MILLISECOND

    def poll() -> None:
        now = fleet.clock.now()
        status, rejected = voter.status(edit.revision), _rejected_keys_of(voter, edit.revision)
        if not _is_applied_everywhere(status) and now < deadline:
            fleet.call_later(POLL_INTERVAL, poll)
            return
        result = fleet_rows(status) | {
            "id": request.id,
            "kind": request.kind,
            "refused": fault_rows(rejected),
            "unasked": list(edit.unanswered_zones),
            "took_ms": (now - began) // MILLISECOND,
        }
        answer(result | _rollout_error(status, rejected, wait_ms))

    poll()


def _is_applied_everywhere(status: FleetStatus) -> bool:
    return status.expected > 0 and not status.lagging


def _rejected_keys_of(voter: Voter, revision: Revision) -> list[KeyFault]:
    """Return the keys of that change which some coordinators have rejected."""
    changes = [one.change for one in voter.history.newest_first() if one.change.revision == revision]
    keys = {entry.key for change in changes for entry in change.entries}
    return [fault for fault in voter.rejected_keys() if fault.key in keys]


def _rollout_error(status: FleetStatus, rejected: list[KeyFault], wait_ms: int) -> dict[str, Any]:
    """Return the error of an edit that is decided and not applied everywhere; empty if there is nothing to report."""
    if rejected:
        keys = ", ".join(fault.key for fault in rejected)
        reason = f"some coordinators reject {keys} and keep the previous value"
    elif wait_ms and not status.expected:
        reason = "no coordinator is known: no relay has reported yet"
    elif wait_ms and status.lagging:
        reason = f"{status.lagging} of {status.expected} coordinators have not applied it after {wait_ms} ms"
    else:
        return {}
    return {"error": f"revision {status.revision} is decided; {reason}", "exit": NOT_APPLIED}
