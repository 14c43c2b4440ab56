"""The rules' calls on the control port. What they mean for the operator: docs/operators/rules.md."""

import time
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from rackhub.fleet.ports import Answer, Control
from rackhub.fleet.register.proposer import Outcome
from rackhub.fleet.rules import queries, versions
from rackhub.fleet.rules.checks import CheckOutcome
from rackhub.fleet.rules.messages import ChangeKind, ChangeRejectedError, EditRequest, Trial, Version
from rackhub.fleet.rules.ports import RulesView
from rackhub.fleet.rules.propagation import PropagationWait
from rackhub.fleet.rules.requests import MAX_TRIAL_MS, MIN_TRIAL_MS, Request, parse_request

Call = Callable[[Request, Answer], None]
Query = Callable[[RulesView, Request], Mapping[str, Any]]

# exit statuses of the command line
EXIT_REJECTED = 1
EXIT_INVALID = 2
DEFAULT_TRIAL_DIVISOR = 4  # a trial has one in this many gateways where the editor names no number


class RulesService:
    """Answers each call once: at once, or when the register and the other gateways have answered."""

    def __init__(self, rules: RulesView, control: Control | None):
        self._rules = rules
        self._control = control

    def start(self) -> None:
        """Register the calls at the control port, where there is one."""
        calls: dict[str, Call] = {
            "show": self._query(queries.show),
            "history": self._query(queries.history),
            "diff": self._query(queries.diff),
            "status": self._query(queries.status),
            "edit": self._edit,
            "undo": self._undo,
            "confirm": self._confirm,
        }
        if self._control is None:
            return
        for name, call in calls.items():
            self._control.on(f"rules.{name}", _with_error_answers(call))

    def _query(self, query: Query) -> Call:
        return lambda request, answer: answer(query(self._rules, request))

    def _edit(self, request: Request, answer: Answer) -> None:
        if request.base_version < 0:
            raise ValueError("on: an edit names the version that it builds on")
        rule_set = self._rules.tracker.rule_set
        edit = self._edit_request("edit", request, changes=request.changes, trial=self._trial(request))
        changed, made = versions.apply(rule_set, edit)  # rejects early what the register would reject, too
        if changed is rule_set:
            self._wait(made, request, answer, {})
            return

        def complete(outcome: CheckOutcome) -> None:
            error = _check_error(outcome)
            if error is not None:
                answer(error)
            else:
                self._propose(edit, request, answer, {"unasked": outcome.unreachable})

        self._rules.checks.check(made.content, complete)

    def _undo(self, request: Request, answer: Answer) -> None:
        self._propose(self._edit_request("undo", request, target_version=request.target_version), request, answer, {})

    def _confirm(self, request: Request, answer: Answer) -> None:
        trial = self._rules.tracker.open_trial()
        if trial is not None and not self._rules.tracker.trial_remaining(self._rules.fleet.clock.now()):
            raise ChangeRejectedError(f"the trial of version {trial.number} is over here: edit anew")
        self._propose(self._edit_request("confirm", request), request, answer, {})

    def _edit_request(self, kind: ChangeKind, request: Request, **fields: Any) -> EditRequest:
        for key in ("author", "reason", "id"):
            if not getattr(request, key):
                raise ValueError(f"{key}: '' is empty")
        return EditRequest(
            kind=kind,
            base_version=request.base_version
            if request.base_version >= 0
            else self._rules.tracker.rule_set.newest_number,
            author=request.author,
            reason=request.reason,
            id=request.id,
            created_at=int(time.time()),
            gateway=self._rules.gateway,
            **fields,
        )

    def _trial(self, request: Request) -> Trial | None:
        """Return the trial that a call asks for: this gateway and the first others by name that it reaches."""
        if not request.trial_ms:
            if request.trial_gateways:
                raise ValueError(f"first: {request.trial_gateways} without a trial")
            return None
        if not MIN_TRIAL_MS <= request.trial_ms <= MAX_TRIAL_MS:
            raise ValueError(f"trial: {request.trial_ms} ms is not from {MIN_TRIAL_MS} to {MAX_TRIAL_MS}")
        members = self._rules.fleet.members
        living = len(members.live())
        count = request.trial_gateways or max(living // DEFAULT_TRIAL_DIVISOR, 1)
        if not 0 < count < max(living, 2):
            raise ValueError(f"first: {count} of {living} gateways: at least one must stay off it, to compare with")
        peers = sorted(members.reachable() - {members.local_name})
        return Trial(request.trial_ms, tuple(sorted([members.local_name, *peers[: count - 1]])))

    def _propose(self, edit: EditRequest, request: Request, answer: Answer, extra: Mapping[str, Any]) -> None:
        def complete(outcome: Outcome) -> None:
            if outcome.kind == "done":
                self._wait(outcome.answer, request, answer, extra)
            else:
                answer(_change_error(edit, outcome))

        self._rules.changes.propose(edit, complete)

    def _wait(self, made: Version, request: Request, answer: Answer, extra: Mapping[str, Any]) -> None:
        PropagationWait(self._rules, made, request.wait_ms, answer, extra).poll()


def _with_error_answers(call: Call) -> Callable[[Mapping[str, Any], Answer], None]:
    """Decode the JSON object for a call, and answer with what is wrong with it."""

    def handle(call_object: Mapping[str, Any], answer: Answer) -> None:
        try:
            call(parse_request(call_object), answer)
        except ChangeRejectedError as rejection:
            answer({"error": str(rejection), "exit": EXIT_REJECTED})
        except (ValueError, msgspec.ValidationError) as error:
            answer({"error": str(error), "exit": EXIT_INVALID})

    return handle


def _check_error(outcome: CheckOutcome) -> Mapping[str, Any] | None:
    """Return why the gateways' own checks forbid an edit; None where they do not."""
    if outcome.faults:
        faults = "; ".join(f"{name} can't take it: {fault}" for name, fault in outcome.faults.items())
        return {"error": faults, "exit": EXIT_INVALID}
    if outcome.unresponsive:
        names = ", ".join(outcome.unresponsive)
        error = f"no answer from {names}, which live and must be able to take it: nothing was changed"
        return {"error": error, "exit": EXIT_REJECTED}
    return None


def _change_error(edit: EditRequest, outcome: Outcome) -> Mapping[str, Any]:
    if outcome.kind == "refused":
        return {"error": f"nothing was changed: {outcome.reason}", "exit": EXIT_REJECTED}
    error = f"it may have been taken or not: {outcome.reason}; say it again with id {edit.id}, which does nothing twice"
    return {"error": error, "exit": EXIT_REJECTED, "id": edit.id, "unknown": True}
