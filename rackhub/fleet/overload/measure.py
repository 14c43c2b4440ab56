"""What one gateway counts of its own requests: integer sums as they come, rates once a tick.

A client carries what was refused to the next gateway. Counted again there, it would look like more demand, and less
than the fleet can do would be taken. So each cell counts what is new: whole above the level; in the cell at the level
those that pass, as each stands for as many as the mark lets pass of; below it, by the part that was new when last seen.
"""

import math

from rackhub import interface as t
from rackhub.fleet.overload.level import ALL, Key, seed_of
from rackhub.fleet.overload.records import CELLS, Cell, Work, bounded, code

SECOND = 1_000_000
SPAN, WORK_SPAN = SECOND * 12 // 10, 8 * SECOND  # over which rates, and what a request takes, are smoothed
THIN = ALL // 32  # a mark below this lets too few pass to count all by them
NEW = 1 / 3  # the part of what comes that is new, where it was never seen
PRESSED, FULLS, FEW = math.log(2.0), 0.02, 10  # latency over the best, of which full threads make 1.5 by themselves;
# part of attempts turned away; answers to judge by
STEP_DOWN, STEP_UP, CALM = 0.03, 0.04, 0.02  # what a tick makes of the room: pressed, full and calm, back to one
LEAST, MOST = 0.25, 2.0  # room against the told threads
SMOOTH, LONG = 30, 400  # answers that recent latency, and that of calm times, is smoothed over
ROWS = 1_024  # cells of one gateway; requests of more have no row, and count in one for all of them


class Row:
    """One class and tenant here. `mark`: the level's, below which hash a request passes."""

    __slots__ = ("code", "seed", "mark", "asked", "passed", "turned", "rate", "taken", "new")

    def __init__(self, cls: str, tenant: str):
        self.code, self.seed, self.mark = code(cls, tenant), seed_of((cls, tenant)), ALL
        # since the tick; `turned`: passed the level, and found its gateway at its limit
        self.asked = self.passed = self.turned = 0
        self.rate = self.taken = 0.0  # in a second: new ones, and those let pass
        self.new = NEW

    def tick(self, seconds: float, part: float) -> None:
        if THIN <= self.mark < ALL:
            unique = min(self.passed * ALL / self.mark, self.asked)
            if self.asked:
                self.new += (unique / self.asked - self.new) * part
        else:
            unique = self.asked if self.mark == ALL else max(self.asked * self.new, self.passed)
        unique += self.turned * NEW
        self.rate += (unique / seconds - self.rate) * part
        self.taken += (self.passed / seconds - self.taken) * part
        self.asked = self.passed = self.turned = 0


class Kind:
    """One class: what its requests take with no pressure, and how its latency stands against that. By the latency of
    the moment an overload would make all work look larger, and for good less would be taken than engines can do."""

    def __init__(self, told: t.ClassSettings):
        self.told, self.code = told, code(told.name)
        self.ended = 0.0  # answers lately, decayed
        self.fast = self.best = self.spread = 0.0  # logarithms: one long query is no pressure
        self.answers = self.calm = 0
        self.asked, self.told_work = 0, 0  # requests with an estimate, and its sum, microseconds of one core

    def estimated(self, estimate: int) -> None:
        """A request came with this estimate."""
        if self.asked >= LONG:  # the newest count
            self.asked, self.told_work = self.asked // 2, self.told_work // 2
        self.asked, self.told_work = self.asked + 1, self.told_work + estimate

    def answered(self, elapsed: int, calm: bool) -> float:
        """How far the latency, as a logarithm, is over what it is while the fleet is calm."""
        now = math.log(max(elapsed, 1))
        self.answers += 1
        self.ended += 1
        self.fast += (now - self.fast) / min(self.answers, SMOOTH)
        if calm:
            self.calm += 1
            part, off = 1 / min(self.calm, LONG), now - self.best
            self.best += off * part
            self.spread = (1 - part) * (self.spread + part * off * off)
        elif not self.calm or self.answers > SMOOTH:
            self.best = min(self.best, self.fast) if self.answers > 1 else self.fast
        return self.fast - self.best

    def work(self) -> float:
        """Thread-seconds of one request, as it is with no pressure; 0: not known yet, and counted as no demand. A guess
        on the high side had the level hold in the first seconds of every start. Latency has waiting in it, also while
        the fleet is calm: at 0.7 of what engines can do 1.4 times the work, so what clients estimate bounds it."""
        if not self.answers:
            return 0.0
        taken = math.exp(self.best + self.spread / 2) / SECOND * self.told.threads
        return min(taken, self.told_work / self.asked / SECOND) if self.asked >= FEW else taken


class Measure:
    """The counts and rates of one gateway."""

    def __init__(self, settings: t.Settings):
        self.kinds = {told.name: Kind(told) for told in settings.classes}
        self.threads = {told.name: told.threads for told in settings.classes}
        self.rows: dict[Key, Row] = {}
        self._other = Row("", "")
        self.served = self.refused = self.further = self.wanted = self.fulls = self.ends = 0
        self.rates = {"served": 0.0, "refused": 0.0, "further": 0.0, "wanted": 0.0}
        self.lag = self.turned = 0.0
        self.heard = 0.0  # answers lately
        self.room = 1.0
        self.calm = True  # nothing is turned away, and no more threads are held than may be

    def row(self, cls: str, tenant: str) -> Row:
        row = self.rows.get((cls, tenant))
        if row is None:
            if len(self.rows) >= ROWS:
                return self._other
            row = self.rows[cls, tenant] = Row(cls, tenant)
        return row

    def ended(self, cls: str, reason: str, elapsed: int) -> None:
        kind = self.kinds.get(cls)
        self.ends += 1
        self.fulls += reason == "FULL"
        if kind is None or reason != "GOOD":
            return
        self.heard += 1
        self.lag += (kind.answered(elapsed, self.calm) - self.lag) / min(self.heard + 1, SMOOTH)

    def tick(self, took: int, holding: bool, full: float) -> None:
        """`took` microseconds since the last; `holding`: the level turns work away, so that more room could be used;
        `full`: threads held by all, against what they may."""
        self.calm = not holding and full < 1
        seconds, part = took / SECOND, 1 - math.exp(-took / SPAN)
        for row in (*self.rows.values(), self._other):
            row.tick(seconds, part)
        for name in self.rates:
            self.rates[name] += (getattr(self, name) / seconds - self.rates[name]) * part
        self.turned += ((self.fulls / self.ends if self.ends else 0.0) - self.turned) * part
        self.served = self.refused = self.further = self.wanted = self.fulls = self.ends = 0
        fade = math.exp(-took / WORK_SPAN)
        for kind in self.kinds.values():
            kind.ended *= fade
        self._feel(holding, full)
        self.heard *= math.exp(-took / SPAN)

    def _feel(self, holding: bool, full: float) -> None:
        """Room follows pressure: down while it lasts, up only where more would be taken, else back to what is told."""
        lag = self.lag - PRESSED if self.heard >= FEW else -1.0
        excess = max(lag, (self.turned - FULLS) * 10)
        if excess > 0:
            self.room *= 1 - STEP_DOWN * min(max(excess, 0.1), 1)
        elif holding:
            self.room *= 1 + STEP_UP * max(1 - full, 0)
        else:
            self.room += (1 - self.room) * CALM
        self.room = min(max(self.room, LEAST), MOST)

    def cells(self) -> tuple[tuple[Cell, ...], int]:
        """The most asked ones, and the sum of the rest."""
        rows = sorted((row for row in self.rows.values() if row.rate >= 0.001), key=lambda row: (-row.rate, row.code))
        rest = sum(row.rate for row in rows[CELLS:]) + self._other.rate
        return tuple(
            Cell(row.code, bounded(row.rate * 1000), bounded(row.taken * 1000)) for row in rows[:CELLS]
        ), bounded(rest * 1000)

    def work(self) -> tuple[Work, ...]:
        kinds = sorted(self.kinds.values(), key=lambda kind: (-kind.ended, kind.code))
        return tuple(
            Work(kind.code, bounded(kind.ended * 1000), bounded(kind.ended * kind.work() * 1000))
            for kind in kinds
            if kind.ended >= 0.001
        )
