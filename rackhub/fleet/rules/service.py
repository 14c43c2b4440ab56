"""The calls of the rule book on the control port. What they mean for the operator: docs/operators/rules.md."""

import time
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from rackhub.fleet.ports import Answer, Control
from rackhub.fleet.register.proposer import Outcome
from rackhub.fleet.rules import book as books
from rackhub.fleet.rules import queries
from rackhub.fleet.rules.checks import Asked
from rackhub.fleet.rules.ports import RuleBookView
from rackhub.fleet.rules.requests import LONGEST_TRIAL, SHORTEST_TRIAL, Request, read
from rackhub.fleet.rules.waiting import HoldWait
from rackhub.fleet.rules.words import Ask, Refused, Trial, Version

Call = Callable[[Request, Answer], None]
Query = Callable[[RuleBookView, Request], Mapping[str, Any]]


class RulesService:
    """Answers each call once: at once, or when the register and the other gateways have answered."""

    def __init__(self, book: RuleBookView, control: Control | None):
        self._book, self._control = book, control

    def start(self) -> None:
        """Offer the calls at the control port, where there is one."""
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
            self._control.on(f"rules.{name}", _checked(call))

    def _query(self, query: Query) -> Call:
        return lambda request, answer: answer(query(self._book, request))

    # ---- changes

    def _edit(self, request: Request, answer: Answer) -> None:
        if request.on < 0:
            raise ValueError("on: an edit names the version that it builds on")
        held = self._book.holder.book
        ask = self._ask("edit", request, parts=request.parts, trial=self._trial(request))
        after, made = books.apply(held, ask)  # refused here already where it can't come to anything
        if after is held:
            return self._wait(made, request, answer, {})

        def checked(replies: Asked) -> None:
            error = _check_error(replies)
            if error is not None:
                return answer(error)
            self._change(ask, request, answer, {"unasked": replies.unasked})

        self._book.checks.ask(made.content, checked)

    def _undo(self, request: Request, answer: Answer) -> None:
        self._change(self._ask("undo", request, to=request.to), request, answer, {})

    def _confirm(self, request: Request, answer: Answer) -> None:
        trial = self._book.holder.trial()
        if trial is not None and not self._book.holder.left(self._book.fleet.clock.now()):
            raise Refused(f"the trial of version {trial.number} is over here: edit anew")
        self._change(self._ask("confirm", request), request, answer, {})

    def _ask(self, kind: Any, request: Request, **more: Any) -> Ask:
        for key in ("author", "reason", "id"):
            if not getattr(request, key):
                raise ValueError(f"{key}: '' is empty")
        on = request.on if request.on >= 0 else self._book.holder.book.newest
        return Ask(kind, on, request.author, request.reason, request.id, int(time.time()), self._book.me, **more)

    def _trial(self, request: Request) -> Trial | None:
        if not request.trial_ms:
            if request.first:
                raise ValueError(f"first: {request.first} without a trial")
            return None
        if not SHORTEST_TRIAL <= request.trial_ms <= LONGEST_TRIAL:
            raise ValueError(f"trial: {request.trial_ms} ms is not from {SHORTEST_TRIAL} to {LONGEST_TRIAL}")
        members = self._book.fleet.members
        living = len(members.living())
        first = request.first or max(living // 4, 1)
        if not 0 < first < max(living, 2):
            raise ValueError(f"first: {first} of {living} gateways: at least one must stay off it, to compare with")
        others = sorted(members.heard() - {members.me})
        return Trial(request.trial_ms, tuple(sorted([members.me, *others[: first - 1]])))

    def _change(self, ask: Ask, request: Request, answer: Answer, also: Mapping[str, Any]) -> None:
        def done(outcome: Outcome) -> None:
            if outcome.kind == "done":
                return self._wait(outcome.answer, request, answer, also)
            answer(_not_done(ask, outcome))

        self._book.changes.change(ask, done)

    def _wait(self, made: Version, request: Request, answer: Answer, also: Mapping[str, Any]) -> None:
        HoldWait(self._book, made, request.wait_ms, answer, also).look()


def _checked(call: Call) -> Callable[[Mapping[str, Any], Answer], None]:
    """The call on what comes over the port; what is wrong with that is the answer."""

    def take(words: Mapping[str, Any], answer: Answer) -> None:
        try:
            call(read(words), answer)
        except Refused as refused:
            answer({"error": str(refused), "exit": 1})
        except (ValueError, msgspec.ValidationError) as bad:
            answer({"error": str(bad), "exit": 2})

    return take


def _check_error(replies: Asked) -> Mapping[str, Any] | None:
    """Why the gateways' own checks forbid an edit; None where they do not."""
    if replies.faults:
        faults = "; ".join(f"{name} can't take it: {why}" for name, why in replies.faults.items())
        return {"error": faults, "exit": 2}
    if replies.silent:
        names = ", ".join(replies.silent)
        error = f"no answer from {names}, which live and must be able to take it: nothing was changed"
        return {"error": error, "exit": 1}
    return None


def _not_done(ask: Ask, outcome: Outcome) -> Mapping[str, Any]:
    if outcome.kind == "refused":
        return {"error": f"nothing was changed: {outcome.reason}", "exit": 1}
    error = f"it may have been taken or not: {outcome.reason}; say it again with id {ask.id}, which does nothing twice"
    return {"error": error, "exit": 1, "id": ask.id, "unknown": True}
