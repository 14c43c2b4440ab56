"""What one gateway counts of its own requests: integer sums as they come, rates once a tick.

A client carries what was refused to the next gateway. Counted again there, it would look like more demand, and less
than the fleet can do would be taken. So each cell counts what is new: whole above the level; in the cell at the level
those that pass, as each stands for as many as the mark lets pass of; below it, by the part that was new when last seen.
"""

import math

from rackhub import interface as t
from rackhub.fleet.overload.records import CELLS, Cell, Work, bounded, code
from rackhub.fleet.overload.shedding_threshold import HASH_RANGE, Key, hash_seed

SECOND = 1_000_000
SPAN, WORK_SPAN = SECOND * 12 // 10, 8 * SECOND  # over which rates, and what a request takes, are smoothed
THIN = HASH_RANGE // 32  # a mark below this lets too few pass to count all by them
NEW = 1 / 3  # the part of what comes that is new, where it was never seen
PRESSED, FULLS, FEW = math.log(2.0), 0.02, 10  # latency over the best, of which full threads make 1.5 by themselves;
# part of attempts turned away; answers to judge by
STEP_DOWN, STEP_UP, CALM = 0.03, 0.04, 0.02  # what a tick makes of the room: pressed, full and calm, back to one
LEAST, MOST = 0.25, 2.0  # room against the told threads
SMOOTH, LONG = 30, 400  # answers that recent latency, and that of calm times, is smoothed over
ROWS = 1_024  # cells of one gateway; requests of more have no row, and count in one for all of them


class CellCounter:
    """One class and tenant here. `mark`: the level's, below which hash a request passes."""

    __slots__ = (
        "code",
        "seed",
        "mark",
        "requested",
        "admitted_count",
        "over_limit",
        "rate",
        "admitted",
        "first_attempt_fraction",
    )

    def __init__(self, cls: str, tenant: str):
        self.code, self.seed, self.mark = code(cls, tenant), hash_seed((cls, tenant)), HASH_RANGE
        # since the tick; `turned`: passed the level, and found its gateway at its limit
        self.requested = self.admitted_count = self.over_limit = 0
        self.rate = self.admitted = 0.0  # in a second: new ones, and those let pass
        self.first_attempt_fraction = NEW

    def tick(self, seconds: float, part: float) -> None:
        if THIN <= self.mark < HASH_RANGE:
            unique = min(self.admitted_count * HASH_RANGE / self.mark, self.requested)
            if self.requested:
                self.first_attempt_fraction += (unique / self.requested - self.first_attempt_fraction) * part
        else:
            unique = (
                self.requested
                if self.mark == HASH_RANGE
                else max(self.requested * self.first_attempt_fraction, self.admitted_count)
            )
        unique += self.over_limit * NEW
        self.rate += (unique / seconds - self.rate) * part
        self.admitted += (self.admitted_count / seconds - self.admitted) * part
        self.requested = self.admitted_count = self.over_limit = 0


class ClassLoad:
    """One class: what its requests take with no pressure, and how its latency stands against that. By the latency of
    the moment an overload would make all work look larger, and for good less would be taken than engines can do."""

    def __init__(self, told: t.ClassSettings):
        self.settings, self.code = told, code(told.name)
        self.completed = 0.0  # answers lately, decayed
        self.recent_latency = self.baseline_latency = self.baseline_variance = (
            0.0  # logarithms: one long query is no pressure
        )
        self.answer_count = self.baseline_count = 0
        self.estimate_count, self.estimate_sum = (
            0,
            0,
        )  # requests with an estimate, and its sum, microseconds of one core

    def add_estimate(self, estimate: int) -> None:
        """A request came with this estimate."""
        if self.estimate_count >= LONG:  # the newest count
            self.estimate_count, self.estimate_sum = self.estimate_count // 2, self.estimate_sum // 2
        self.estimate_count, self.estimate_sum = self.estimate_count + 1, self.estimate_sum + estimate

    def add_latency(self, elapsed: int, calm: bool) -> float:
        """How far the latency, as a logarithm, is over what it is while the fleet is calm."""
        now = math.log(max(elapsed, 1))
        self.answer_count += 1
        self.completed += 1
        self.recent_latency += (now - self.recent_latency) / min(self.answer_count, SMOOTH)
        if calm:
            self.baseline_count += 1
            part, off = 1 / min(self.baseline_count, LONG), now - self.baseline_latency
            self.baseline_latency += off * part
            self.baseline_variance = (1 - part) * (self.baseline_variance + part * off * off)
        elif not self.baseline_count or self.answer_count > SMOOTH:
            self.baseline_latency = (
                min(self.baseline_latency, self.recent_latency) if self.answer_count > 1 else self.recent_latency
            )
        return self.recent_latency - self.baseline_latency

    def work_per_request(self) -> float:
        """Thread-seconds of one request, as it is with no pressure; 0: not known yet, and counted as no demand. A guess
        on the high side had the level hold in the first seconds of every start. Latency has waiting in it, also while
        the fleet is calm: at 0.7 of what engines can do 1.4 times the work, so what clients estimate bounds it."""
        if not self.answer_count:
            return 0.0
        taken = math.exp(self.baseline_latency + self.baseline_variance / 2) / SECOND * self.settings.threads
        return min(taken, self.estimate_sum / self.estimate_count / SECOND) if self.estimate_count >= FEW else taken


class LoadMeasurement:
    """The counts and rates of one gateway."""

    def __init__(self, settings: t.Settings):
        self.classes = {told.name: ClassLoad(told) for told in settings.classes}
        self.threads = {told.name: told.threads for told in settings.classes}
        self.counters: dict[Key, CellCounter] = {}
        self._overflow_counter = CellCounter("", "")
        self.served = self.rejected = self.retries = self.retries_wanted = self.full_answers = (
            self.completed_attempts
        ) = 0
        self.rates = {"served": 0.0, "rejected": 0.0, "retries": 0.0, "retries_wanted": 0.0}
        self.latency_excess = self.full_fraction = 0.0
        self.recent_answers = 0.0  # answers lately
        self.capacity_factor = 1.0
        self.calm = True  # nothing is turned away, and no more threads are held than may be

    def counter(self, cls: str, tenant: str) -> CellCounter:
        row = self.counters.get((cls, tenant))
        if row is None:
            if len(self.counters) >= ROWS:
                return self._overflow_counter
            row = self.counters[cls, tenant] = CellCounter(cls, tenant)
        return row

    def attempt_completed(self, cls: str, reason: str, elapsed: int) -> None:
        kind = self.classes.get(cls)
        self.completed_attempts += 1
        self.full_answers += reason == "FULL"
        if kind is None or reason != "GOOD":
            return
        self.recent_answers += 1
        self.latency_excess += (kind.add_latency(elapsed, self.calm) - self.latency_excess) / min(
            self.recent_answers + 1, SMOOTH
        )

    def tick(self, took: int, holding: bool, full: float) -> None:
        """`took` microseconds since the last; `holding`: the level turns work away, so that more room could be used;
        `full`: threads held by all, against what they may."""
        self.calm = not holding and full < 1
        seconds, part = took / SECOND, 1 - math.exp(-took / SPAN)
        for row in (*self.counters.values(), self._overflow_counter):
            row.tick(seconds, part)
        for name in self.rates:
            self.rates[name] += (getattr(self, name) / seconds - self.rates[name]) * part
        self.full_fraction += (
            (self.full_answers / self.completed_attempts if self.completed_attempts else 0.0) - self.full_fraction
        ) * part
        self.served = self.rejected = self.retries = self.retries_wanted = self.full_answers = (
            self.completed_attempts
        ) = 0
        fade = math.exp(-took / WORK_SPAN)
        for kind in self.classes.values():
            kind.completed *= fade
        self._update_capacity_factor(holding, full)
        self.recent_answers *= math.exp(-took / SPAN)

    def _update_capacity_factor(self, holding: bool, full: float) -> None:
        """Room follows pressure: down while it lasts, up only where more would be taken, else back to what is told."""
        lag = self.latency_excess - PRESSED if self.recent_answers >= FEW else -1.0
        excess = max(lag, (self.full_fraction - FULLS) * 10)
        if excess > 0:
            self.capacity_factor *= 1 - STEP_DOWN * min(max(excess, 0.1), 1)
        elif holding:
            self.capacity_factor *= 1 + STEP_UP * max(1 - full, 0)
        else:
            self.capacity_factor += (1 - self.capacity_factor) * CALM
        self.capacity_factor = min(max(self.capacity_factor, LEAST), MOST)

    def cells(self) -> tuple[tuple[Cell, ...], int]:
        """The most asked ones, and the sum of the rest."""
        rows = sorted(
            (row for row in self.counters.values() if row.rate >= 0.001), key=lambda row: (-row.rate, row.code)
        )
        rest = sum(row.rate for row in rows[CELLS:]) + self._overflow_counter.rate
        return tuple(
            Cell(row.code, bounded(row.rate * 1000), bounded(row.admitted * 1000)) for row in rows[:CELLS]
        ), bounded(rest * 1000)

    def work(self) -> tuple[Work, ...]:
        kinds = sorted(self.classes.values(), key=lambda kind: (-kind.completed, kind.code))
        return tuple(
            Work(kind.code, bounded(kind.completed * 1000), bounded(kind.completed * kind.work_per_request() * 1000))
            for kind in kinds
            if kind.completed >= 0.001
        )
