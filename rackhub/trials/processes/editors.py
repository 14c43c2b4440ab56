"""Operators at the control port: edits and undos that overlap, each said again under its id until its outcome is known,
and a watch on what every gateway holds meanwhile."""

import random
from collections.abc import Callable
from typing import Any

from rackhub.trials.processes.calls import say
from rackhub.trials.processes.history import Entry, Held, Op
from rackhub.trials.processes.rig import Rig

SECOND = 1_000_000
AGAIN, PATIENCE = 6, 6.0


class Editors:
    """`watch` begins to look; `edit` and `undo` are one operation each; `keep_on` goes on with either."""

    def __init__(self, rig: Rig, seed: int):
        self.rig, self.ops, self.held = rig, list[Op](), list[Held]()
        self._random, self._on, self._number = random.Random(f"{seed}/editors"), True, 0
        self.answers: dict[str, dict[str, Any]] = {}  # the last answer, by the operation's id

    def stop(self) -> None:
        self._on = False

    def _say(self, gateway: str, words: dict[str, Any], done: Callable[[dict[str, Any] | None], None]) -> None:
        say(self.rig.reactor, self.rig.gateways[gateway].control, words, done, PATIENCE)

    # ---- what gateways hold

    def watch(self, every: float = 0.3) -> None:
        for gateway in self.rig.gateways:

            def heard(told: dict[str, Any] | None, gateway: str = gateway) -> None:
                if told and "newest" in told:
                    self.held.append(
                        Held(self.rig.clock.now(), gateway, told["version"], told["newest"], self.rig.wiped[gateway])
                    )

            if self.rig.processes.by_name[gateway].running() and not self.rig.processes.by_name[gateway].paused:
                self._say(gateway, {"call": "rules.status"}, heard)
        if self._on:
            self.rig.reactor.callLater(every, self.watch, every)

    def histories(self, done: Callable[[dict[str, list[Entry]]], None]) -> None:
        found: dict[str, list[Entry]] = {}
        for gateway in self.rig.gateways:

            def heard(told: dict[str, Any] | None, gateway: str = gateway) -> None:
                found[gateway] = [
                    Entry(each["number"], each["id"], each["digest"]) for each in (told or {}).get("versions", ())
                ]
                if len(found) == len(self.rig.gateways):
                    done(found)

            self._say(gateway, {"call": "rules.history", "limit": 1_000}, heard)

    # ---- operations

    def edit(
        self,
        gateway: str,
        part: dict[str, Any] | None,
        then: Callable[[Op], None] = lambda op: None,
        name: str = "timings",
        **more: Any,
    ) -> Op:
        """An edit of this part of the book on the version that this gateway holds as the newest."""
        op = self._begin("edit", gateway)

        def heard(told: dict[str, Any] | None) -> None:
            if told is None or "newest" not in told:
                return self._end(op, None, "no status", then)
            self._ask(op, {"call": "rules.edit", "on": told["newest"], "parts": {name: part}, **more}, then)

        self._say(gateway, {"call": "rules.status"}, heard)
        return op

    def undo(self, gateway: str, then: Callable[[Op], None] = lambda op: None, **more: Any) -> Op:
        op = self._begin("undo", gateway)
        self._ask(op, {"call": "rules.undo", **more}, then)
        return op

    def _begin(self, kind: str, gateway: str) -> Op:
        self._number += 1
        op = Op(f"op-{self._number}", kind, gateway, self.rig.clock.now())
        self.ops.append(op)
        return op

    def _ask(self, op: Op, words: dict[str, Any], then: Callable[[Op], None], left: int = AGAIN) -> None:
        words = {"author": "rig", "reason": "torture", "id": op.id, **words}

        def heard(told: dict[str, Any] | None) -> None:
            self.answers[op.id] = told or {}
            if told is not None and "version" in told:
                self._end(op, int(told["version"]), "", then)
            elif told is not None and not told.get("unknown"):
                self._end(op, 0, str(told.get("error")), then)
            elif left and self._on:  # its outcome is not known: said again under its id, it does nothing twice
                self.rig.reactor.callLater(0.3, self._ask, op, words, then, left - 1)
            else:
                self._end(op, None, str((told or {}).get("error", "no answer")), then)

        self._say(op.gateway, words, heard)

    def _end(self, op: Op, number: int | None, why: str, then: Callable[[Op], None]) -> None:
        op.end, op.number, op.why = self.rig.clock.now(), number, why
        then(op)

    def keep_on(self, among: list[str], pause: float = 0.2) -> None:
        """One operator: an edit or an undo at one of these gateways, then the next, until `stop`."""
        if not self._on:
            return
        gateway = self._random.choice(among)

        def then(op: Op) -> None:
            self.rig.reactor.callLater(self._random.uniform(0.5, 1.5) * pause, self.keep_on, among, pause)

        if self._random.random() < 0.4:
            self.undo(gateway, then)
        else:
            self.edit(gateway, {"route": [{"class": "lookup", "attempts": self._random.randrange(1, 4)}]}, then)

    def busy(self) -> int:
        return sum(not op.end for op in self.ops)
