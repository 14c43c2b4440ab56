"""The calls of `rackhub rules` on the control port of a process with a role. Docs: docs/operators/distribution.md."""

from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from rackhub.fleet.distribution.coordinator import Coordinator
from rackhub.fleet.distribution.decisions import EditRejected, InvalidEdit
from rackhub.fleet.distribution.editing import EditRequest
from rackhub.fleet.distribution.editor import EditDone, EditFailed
from rackhub.fleet.distribution.history import RevisionNotRetained
from rackhub.fleet.distribution.queries import difference_answer, history_answer, show_answer, status_answer
from rackhub.fleet.distribution.relay_shell import RelayShell
from rackhub.fleet.distribution.voter import Voter
from rackhub.fleet.distribution.waiting import wait_in_force
from rackhub.fleet.ports import Answer, Control, Fleet
from rackhub.fleet.roles import VOTER
from rackhub.fleet.rules.requests import Request, parse_request
from rackhub.fleet.settings import FleetSettings

REFUSED, BAD_USAGE = 1, 2  # exit statuses of the command line
VOTER_CALLS = ("show", "history", "diff", "edit", "undo", "confirm")

Shell = Coordinator | RelayShell | Voter


class UnsupportedCall(ValueError):
    """What a fleet with relays, or this process, does not do."""


Handler = Callable[[Request, Answer], None]


def offer(control: Control, shell: Shell, settings: FleetSettings, fleet: Fleet) -> None:
    """Take the calls that this role answers, and refuse the others naming who does."""
    voters = ", ".join(sorted(node.name for node in settings.node if node.role == VOTER)) or "the voters"

    def elsewhere(call: Request, answer: Answer) -> None:
        raise UnsupportedCall(f"{settings.name} is a {settings.role}: ask a voter: {voters}")

    def status(call: Request, answer: Answer) -> None:
        answer(status_answer(shell, settings, fleet))

    handlers: dict[str, Handler] = dict.fromkeys(VOTER_CALLS, elsewhere)
    if isinstance(shell, Voter):
        handlers = VoterService(shell, fleet).handlers()
    for name, handler in (handlers | {"status": status}).items():
        control.on(f"rules.{name}", _answering(handler))


def _answering(handler: Handler) -> Callable[[Mapping[str, Any], Answer], None]:
    def called(words: Mapping[str, Any], answer: Answer) -> None:
        try:
            handler(parse_request(words), answer)
        except InvalidEdit as bad:
            answer({"error": str(bad), "exit": BAD_USAGE})
        except (EditRejected, RevisionNotRetained) as refused:
            answer({"error": str(refused), "exit": REFUSED})
        except (ValueError, msgspec.ValidationError) as bad:
            answer({"error": str(bad), "exit": BAD_USAGE})

    return called


class VoterService:
    """The calls at a voter."""

    def __init__(self, voter: Voter, fleet: Fleet):
        self._voter, self._fleet = voter, fleet

    def handlers(self) -> dict[str, Handler]:
        return {
            "show": lambda call, answer: answer(show_answer(self._voter, call.version)),
            "history": lambda call, answer: answer(history_answer(self._voter, call.limit)),
            "diff": lambda call, answer: answer(difference_answer(self._voter, call.old_version, call.version)),
            "edit": self._edit,
            "undo": self._undo,
            "confirm": self._confirm,
        }

    def _confirm(self, call: Request, answer: Answer) -> None:
        raise UnsupportedCall("confirm: there are no trials in a fleet with relays")

    def _edit(self, call: Request, answer: Answer) -> None:
        if call.trial_ms or call.trial_gateways:
            raise UnsupportedCall("trial: there are no trials in a fleet with relays: edit, and undo where it must be")
        if call.base_version < 0:
            raise ValueError("on: an edit names the revision that it builds on")
        self._change("edit", call, call.base_version, answer)

    def _undo(self, call: Request, answer: Answer) -> None:
        self._change("undo", call, call.base_version if call.base_version >= 0 else self._voter.history.newest, answer)

    def _change(self, kind: str, call: Request, on: int, answer: Answer) -> None:
        request = EditRequest(
            kind=kind,
            author=call.author,
            reason=call.reason,
            id=call.id,
            base_revision=on,
            sections=call.changes,
            target_revision=call.target_version,
        )
        began = self._fleet.clock.now()

        def done(result: EditDone | EditFailed) -> None:
            if isinstance(result, EditFailed):
                return answer(_failure(result, call.id))
            wait_in_force(self._voter, self._fleet, request, result, began, call.wait_ms, answer)

        self._voter.edit(request, done)


def _failure(failed: EditFailed, edit_id: str) -> dict[str, Any]:
    if failed.unknown:
        return {
            "error": f"it may have been taken or not: {failed.reason}; say it again with id {edit_id}, which does "
            "nothing twice",
            "exit": REFUSED,
            "id": edit_id,
            "unknown": True,
        }
    if failed.faulty:
        return {"error": failed.reason, "exit": BAD_USAGE}
    return {"error": f"nothing was changed: {failed.reason}", "exit": REFUSED}
