"""Edits of the rule book at a steady pace, asked of a voter by its control port."""

import math
from typing import Any

from rackhub.trials.processes.calls import say

ANSWER_SECONDS = 5.0
ATTEMPTS = (2, 3)  # of a route of the edited class, in turn: neither changes what traffic without failures gets


class PacedEdits:
    """One edit each `pause` seconds from `start` to `stop`, each upon the revision before it; where an answer takes
    longer than that, the next edit waits for it, and the pace is caught up afterwards."""

    def __init__(self, reactor: Any, control: tuple[str, int], service: str, pause: float):
        self.acknowledged = 0
        self.failed: list[str] = []
        self.revision = 0  # the newest that was acknowledged
        self._reactor, self._control, self._service, self._pause = reactor, control, service, pause
        self._on, self._under_way, self._due, self._number = False, False, 0.0, 0
        self._timer: Any = None

    @property
    def quiet(self) -> bool:
        """No edit is under way."""
        return not self._under_way

    def start(self) -> None:
        """Endless pauses are no edits at all."""
        if math.isinf(self._pause):
            return
        self._on = True
        self._due = self._reactor.seconds() + self._pause
        self._wait()

    def stop(self) -> None:
        self._on = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _wait(self) -> None:
        self._timer = self._reactor.callLater(max(0.0, self._due - self._reactor.seconds()), self._edit)

    def _edit(self) -> None:
        self._under_way = True
        self._number += 1
        route = {"class": self._service, "attempts": ATTEMPTS[self._number % len(ATTEMPTS)]}
        words = {
            "call": "rules.edit",
            "on": self.revision,
            "parts": {"timings": {"route": [route]}},
            "author": "overhead",
            "reason": "pace",
            "id": f"edit-{self._number}",
        }
        say(self._reactor, self._control, words, self._answered, ANSWER_SECONDS)

    def _answered(self, answer: dict[str, Any] | None) -> None:
        self._under_way = False
        if answer is None or "error" in answer:
            self.failed.append(str((answer or {}).get("error", "no answer")))
        else:
            self.acknowledged += 1
            self.revision = int(answer["revision"])
        if self._on:
            self._due += self._pause
            self._wait()
