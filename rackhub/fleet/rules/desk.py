"""The rule book's words on the control port. What they mean for the operator: docs/operators/rules.md."""

import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

import msgspec

from rackhub.fleet.ports import Answer, Control
from rackhub.fleet.register.proposer import Outcome
from rackhub.fleet.rules import book as books
from rackhub.fleet.rules.checks import Asked
from rackhub.fleet.rules.spread import posts
from rackhub.fleet.rules.words import Ask, Refused, Trial, Version

if TYPE_CHECKING:
    from rackhub.fleet.rules.part import RuleBook

POLL, MOST_WAIT = 20_000, 60_000
SPANS = (1_000, 3_600_000)


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A call as it comes, of any of the words. `on`: -1: what this gateway holds. Unknown keys are let be."""

    version: int = -1
    old: int = -1
    limit: int = 20
    on: int = -1
    to: int = -1
    author: str = ""
    reason: str = ""
    id: str = ""
    parts: dict[str, Any] = {}
    trial_ms: int = 0
    first: int = 0
    wait_ms: int = 0


class Desk:
    """Answers at once, or when the register and the others have."""

    def __init__(self, rules: "RuleBook", control: Control | None):
        self._rules, self._control = rules, control

    def start(self) -> None:
        if self._control is None:
            return
        for word, call in (
            ("show", self._show),
            ("history", self._history),
            ("diff", self._diff),
            ("status", self._status),
            ("edit", self._edit),
            ("undo", self._undo),
            ("confirm", self._confirm),
        ):
            self._control.on(f"rules.{word}", self._read(call))

    def _read(self, call: Callable[[Call, Answer], None]) -> Callable[[Mapping[str, Any], Answer], None]:
        def read(words: Mapping[str, Any], answer: Answer) -> None:
            try:
                told = msgspec.convert({key: value for key, value in words.items() if key != "call"}, Call)
                if not 0 <= told.wait_ms <= MOST_WAIT:
                    raise ValueError(f"wait_ms: {told.wait_ms} is not from 0 to {MOST_WAIT}")
                call(told, answer)
            except (Refused, ValueError, msgspec.ValidationError) as bad:
                answer({"error": str(bad), "exit": 1 if isinstance(bad, Refused) else 2})

        return read

    # ---- what is held

    def _version(self, number: int) -> Version:
        book = self._rules.holder.book
        number = book.newest if number < 0 else number
        found = book.find(number)
        if found is None:
            if number == 0:
                return Version(0, {}, "-", "the files hold", 0, self._rules.me, "-")
            raise Refused(
                f"version {number} is not kept here: there are "
                f"{book.versions[0].number if book.versions else 0} to {book.newest}"
            )
        return found

    def _show(self, call: Call, answer: Answer) -> None:
        answer(
            {
                "version": worded(self._version(call.version)),
                "held": self._rules.held.version,
                "on_trial": self._rules.held.on,
            }
        )

    def _history(self, call: Call, answer: Answer) -> None:
        if call.limit < 1:
            raise ValueError(f"limit: {call.limit} is below 1")
        versions = self._rules.holder.book.versions[-call.limit :]
        answer(
            {
                "versions": [
                    {key: value for key, value in worded(one).items() if key != "content"} for one in versions[::-1]
                ]
            }
        )

    def _diff(self, call: Call, answer: Answer) -> None:
        new = self._version(call.version)
        old = self._version(call.old if call.old >= 0 else max(new.number - 1, 0))
        names = sorted(set(old.content) | set(new.content))
        answer(
            {
                "old": old.number,
                "new": new.number,
                "parts": {
                    name: {"old": old.content.get(name), "new": new.content.get(name)}
                    for name in names
                    if old.content.get(name) != new.content.get(name)
                },
            }
        )

    def _status(self, call: Call, answer: Answer) -> None:
        rules, now = self._rules, self._rules.fleet.clock.now()
        seen, members, trial = posts(rules.fleet), rules.fleet.members.all(), rules.holder.trial()
        living, heard = rules.fleet.members.living(), rules.fleet.members.heard()
        rows = [
            {
                "name": name,
                "lives": name in living,
                "heard": name in heard,
                "state": members[name].state.value if name in members else "unknown",
                **(
                    {
                        "version": post.version,
                        "on_trial": post.on,
                        "newest": post.newest,
                        "why": post.why,
                        "keeper": post.keeper,
                        "digest": post.digest,
                    }
                    if (post := seen.get(name)) is not None
                    else {"version": None}
                ),
            }
            for name in sorted(set(members) | set(seen))
        ]
        on, off = rules.trials.sides
        answer(
            {
                "gateway": rules.me,
                "version": rules.held.version,
                "newest": rules.holder.book.newest,
                "keepers": list(rules.keepers),
                "damage": rules.damages(),
                "gateways": rows,
                "trial": None
                if trial is None or trial.trial is None
                else {
                    "version": trial.number,
                    "author": trial.author,
                    "first": list(trial.trial.first),
                    "left_ms": rules.holder.left(now) // 1_000,
                    "on": list(on),
                    "off": list(off),
                },
            }
        )

    # ---- changes

    def _ask(self, kind: Any, call: Call, **more: Any) -> Ask:
        for key in ("author", "reason", "id"):
            if not getattr(call, key):
                raise ValueError(f"{key}: '' is empty")
        on = call.on if call.on >= 0 else self._rules.holder.book.newest
        return Ask(kind, on, call.author, call.reason, call.id, int(time.time()), self._rules.me, **more)

    def _edit(self, call: Call, answer: Answer) -> None:
        rules = self._rules
        if call.on < 0:
            raise ValueError("on: an edit names the version that it builds on")
        ask = self._ask("edit", call, parts=call.parts, trial=self._trial(call))
        after, made = books.apply(rules.holder.book, ask)  # refused here already where it can't come to anything
        if after is rules.holder.book:
            return self._wait(made, call, answer, {})

        def asked(told: Asked) -> None:
            if told.faults:
                return answer(
                    {"error": "; ".join(f"{name} can't take it: {why}" for name, why in told.faults.items()), "exit": 2}
                )
            if told.silent:
                return answer(
                    {
                        "error": f"no answer from {', '.join(told.silent)}, which live and must be able to take "
                        "it: nothing was changed",
                        "exit": 1,
                    }
                )
            self._change(ask, call, answer, {"unasked": told.unasked})

        rules.checks.ask(made.content, asked)

    def _trial(self, call: Call) -> Trial | None:
        if not call.trial_ms:
            if call.first:
                raise ValueError(f"first: {call.first} without a trial")
            return None
        if not SPANS[0] <= call.trial_ms <= SPANS[1]:
            raise ValueError(f"trial: {call.trial_ms} ms is not from {SPANS[0]} to {SPANS[1]}")
        members = self._rules.fleet.members
        many = len(members.living())
        first = call.first or max(many // 4, 1)
        if not 0 < first < max(many, 2):
            raise ValueError(f"first: {first} of {many} gateways: at least one must stay off it, to compare with")
        others = sorted(members.heard() - {members.me})
        return Trial(call.trial_ms, tuple(sorted([members.me, *others[: first - 1]])))

    def _undo(self, call: Call, answer: Answer) -> None:
        self._change(self._ask("undo", call, to=call.to), call, answer, {})

    def _confirm(self, call: Call, answer: Answer) -> None:
        trial = self._rules.holder.trial()
        if trial is not None and not self._rules.holder.left(self._rules.fleet.clock.now()):
            raise Refused(f"the trial of version {trial.number} is over here: edit anew")
        self._change(self._ask("confirm", call), call, answer, {})

    def _change(self, ask: Ask, call: Call, answer: Answer, also: dict[str, Any]) -> None:
        def done(outcome: Outcome) -> None:
            if outcome.kind == "done":
                return self._wait(outcome.answer, call, answer, also)
            if outcome.kind == "refused":
                return answer({"error": f"nothing was changed: {outcome.why}", "exit": 1})
            answer(
                {
                    "error": f"it may have been taken or not: {outcome.why}; say it again with id {ask.id}, which does "
                    "nothing twice",
                    "exit": 1,
                    "id": ask.id,
                    "unknown": True,
                }
            )

        self._rules.changes.change(ask, done)

    def _wait(self, made: Version, call: Call, answer: Answer, also: dict[str, Any]) -> None:
        """Until all that live hold it, as long as the editor wants to wait."""
        rules, clock = self._rules, self._rules.fleet.clock
        began = clock.now()

        def look() -> None:
            seen, living = posts(rules.fleet), rules.fleet.members.living()
            says = {name: post.version for name, post in seen.items()} | {rules.me: rules.held.version}
            held = sorted(name for name in living if max(says.get(name, -1), rules.told.get(name, -1)) >= made.number)
            missing = [
                {
                    "name": name,
                    "version": seen[name].version if name in seen else None,
                    "why": (seen[name].why if name in seen else "") or "has not said that it holds it",
                }
                for name in sorted(living - set(held))
            ]
            if missing and clock.now() - began < call.wait_ms * 1_000:
                rules.fleet.later(POLL, look)
                return
            told = {
                "version": made.number,
                "id": made.id,
                "kind": made.kind,
                "held": held,
                "missing": missing,
                "took_ms": (clock.now() - began) // 1_000,
                **also,
            }
            if missing and call.wait_ms:
                told |= {
                    "exit": 1,
                    "error": f"version {made.number} is made, and not held by "
                    + ", ".join(f"{one['name']} ({one['why']})" for one in missing),
                }
            answer(told)

        look()


def worded(version: Version) -> dict[str, Any]:
    told = msgspec.to_builtins(version)
    return {**told, "kind": version.kind, "parent": version.parent, "digest": version.digest()}
