"""The end of a trial: by its time, or by its guard. Whoever may end it proposes so; the register takes the first."""

import random
from collections.abc import Callable

from rackhub.fleet.ports import Fleet, Name
from rackhub.fleet.rules.guard import Side, verdict
from rackhub.fleet.rules.holder import Holder
from rackhub.fleet.rules.spread import posts
from rackhub.fleet.rules.words import WORDS, Ask, Version

OTHERS, SPREAD = 300_000, 2_000_000  # after which, and within which, others than the editor's gateway propose the end


class Trials:
    """`lapse` proposes what it is given. `own`: this gateway's counts under the trial, and whether it is on it."""

    def __init__(self, fleet: Fleet, holder: Holder, keepers: tuple[Name, ...], lapse: Callable[[Ask], None]):
        self._fleet, self._holder, self._keepers, self._lapse = fleet, holder, keepers, lapse
        self._random = random.Random(f"{fleet.seed} trials {fleet.members.me}")
        self._number, self._due = 0, 0
        self.sides = (Side(), Side())  # on it, off it: as last looked at

    def look(self) -> None:
        """Called often; proposes the end where it is due."""
        trial, now, me = self._holder.trial(), self._fleet.clock.now(), self._fleet.members.me
        if trial is None or trial.trial is None:
            self._number = 0
            return
        if me != trial.gateway and me not in self._keepers and me not in trial.trial.first:
            return
        if self._number != trial.number:  # a trial without a known age may have begun just now
            left = self._holder.left(now) if self._holder.age(now) >= 0 else trial.trial.span_ms * 1_000
            self._number = trial.number
            self._due = now + left + (0 if me == trial.gateway else self._random.randint(OTHERS, SPREAD))
        why = self._guard(trial)
        if why:
            self._propose(trial, f"guard: {why}")
        elif now >= self._due:
            self._propose(trial, "its time is over, and nobody confirmed it")

    def _guard(self, trial: Version) -> str:
        on, off = Side(), Side()
        for post in posts(self._fleet).values():
            if post.version == trial.number and post.on:
                on = on.plus(post.counts)
            elif post.version == trial.number:
                off = off.plus(post.counts)
        self.sides = (on, off)
        return verdict(on, off)

    def _propose(self, trial: Version, why: str) -> None:
        """Once in a while, until it is no trial any more; the same id from all."""
        self._due = self._fleet.clock.now() + self._random.randint(SPREAD, 2 * SPREAD)
        self._lapse(
            Ask(
                "lapse",
                trial.number,
                "rackhub",
                why[:WORDS],
                f"lapse-{trial.number}-{trial.id}"[:WORDS],
                0,
                self._fleet.members.me,
            )
        )
