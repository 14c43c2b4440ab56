"""The load measured by one gateway: integer counters per request, rates once a tick.

A client sends a rejected request to the next gateway. If it were counted there again, demand would look larger than it
is and too few requests would be admitted. So each cell (class and tenant) estimates the number of its first attempts:
above the shedding threshold, all requests; at the threshold, those that pass, divided by the fraction that the mark
admits; below it, all requests times the last known fraction of first attempts.
"""

import math

from rackhub import interface as t
from rackhub.fleet.overload.records import CELLS, Cell, Work, bounded, code
from rackhub.fleet.overload.shedding_threshold import HASH_RANGE, Key, hash_seed

SECOND = 1_000_000
RATE_WINDOW = SECOND * 12 // 10  # smoothing time of rates
WORK_WINDOW = 8 * SECOND  # smoothing time of the cost of requests
MINIMUM_MARK = HASH_RANGE // 32  # below this mark too few requests pass to estimate the demand from them
FIRST_ATTEMPT_FRACTION = 1 / 3  # first attempts per request, assumed until it is measured
# Latency over the baseline, as a logarithm, above which engines are under pressure. Fully used threads alone raise the
# latency to 1.5 times the baseline.
LATENCY_PRESSURE = math.log(2.0)
FULL_PRESSURE = 0.02  # fraction of attempts rejected as FULL, above which engines are under pressure
MINIMUM_SAMPLES = 10  # minimum number of answers or estimates to compute with
STEP_DOWN = 0.03  # maximum relative decrease of the capacity factor per tick under pressure
STEP_UP = 0.04  # maximum relative increase per tick, while requests are shed and threads are idle
STEP_BACK = 0.02  # fraction of the way back to one per tick, otherwise
MINIMUM_FACTOR = 0.25  # minimum of the capacity factor
MAXIMUM_FACTOR = 2.0  # maximum of the capacity factor
RECENT_SAMPLES = 30  # number of answers over which the recent latency is smoothed
BASELINE_SAMPLES = 400  # number of answers over which the baseline latency is smoothed
MAXIMUM_COUNTERS = 1_024  # maximum number of counted cells; requests of further cells share one counter
MINIMUM_RATE = 0.001  # per second; a lower rate is not published


class CellCounter:
    """The requests of one class and tenant; those whose hash is below `mark` pass the shedding threshold."""

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
        self.code = code(cls, tenant)
        self.seed = hash_seed((cls, tenant))
        self.mark = HASH_RANGE
        # Counts since the last tick. `over_limit`: requests that passed the threshold and were rejected by the limit.
        self.requested = 0
        self.admitted_count = 0
        self.over_limit = 0
        # Rates per second.
        self.rate = 0.0
        self.admitted = 0.0
        self.first_attempt_fraction = FIRST_ATTEMPT_FRACTION

    def tick(self, seconds: float, weight: float) -> None:
        """Add the counts of the last `seconds` to the rates, with the weight `weight` for smoothing."""
        first_attempts = self._estimate_first_attempts(weight)
        first_attempts += self.over_limit * FIRST_ATTEMPT_FRACTION
        self.rate += (first_attempts / seconds - self.rate) * weight
        self.admitted += (self.admitted_count / seconds - self.admitted) * weight
        self.requested = 0
        self.admitted_count = 0
        self.over_limit = 0

    def _estimate_first_attempts(self, weight: float) -> float:
        if self.mark >= HASH_RANGE:
            return self.requested
        if self.mark < MINIMUM_MARK:
            return max(self.requested * self.first_attempt_fraction, self.admitted_count)
        first_attempts = min(self.admitted_count * HASH_RANGE / self.mark, self.requested)
        if self.requested:
            self.first_attempt_fraction += (first_attempts / self.requested - self.first_attempt_fraction) * weight
        return first_attempts


class ClassLoad:
    """The cost of requests of one class without pressure, and their latency relative to that baseline.

    The cost is computed from the baseline. By the present latency all work would look larger during an overload, and
    permanently less would be admitted than the engines can do.
    """

    def __init__(self, settings: t.ClassSettings):
        self.settings = settings
        self.code = code(settings.name)
        self.completed = 0.0  # number of recent answers, decayed
        # Logarithms of microseconds, so that one long query does not count as pressure.
        self.recent_latency = 0.0
        self.baseline_latency = 0.0
        self.baseline_variance = 0.0
        self.answer_count = 0
        self.baseline_count = 0
        self.estimate_count = 0
        self.estimate_sum = 0  # sum of the estimates, in microseconds of one core

    def add_estimate(self, estimate: int) -> None:
        """Count the client's estimate for a request, in microseconds of one core."""
        if self.estimate_count >= BASELINE_SAMPLES:  # reduce the weight of older estimates
            self.estimate_count //= 2
            self.estimate_sum //= 2
        self.estimate_count += 1
        self.estimate_sum += estimate

    def add_latency(self, elapsed: int, calm: bool) -> float:
        """Count an answer after `elapsed` microseconds; return the logarithm of recent over baseline latency.

        `calm` (as `LoadMeasurement.calm`): the answer counts for the baseline.
        """
        now = math.log(max(elapsed, 1))
        self.answer_count += 1
        self.completed += 1
        self.recent_latency += (now - self.recent_latency) / min(self.answer_count, RECENT_SAMPLES)
        if calm:
            self._add_to_baseline(now)
        elif self.answer_count == 1:
            self.baseline_latency = self.recent_latency
        elif not self.baseline_count or self.answer_count > RECENT_SAMPLES:
            self.baseline_latency = min(self.baseline_latency, self.recent_latency)
        return self.recent_latency - self.baseline_latency

    def _add_to_baseline(self, latency: float) -> None:
        self.baseline_count += 1
        weight = 1 / min(self.baseline_count, BASELINE_SAMPLES)
        deviation = latency - self.baseline_latency
        self.baseline_latency += deviation * weight
        self.baseline_variance = (1 - weight) * (self.baseline_variance + weight * deviation * deviation)

    def work_per_request(self) -> float:
        """Return the thread-seconds of one request without pressure, 0 while unknown.

        Unknown work counts as no demand: a high guess would shed requests right after a start. Latency includes waiting
        time, so the clients' estimates are an upper bound.
        """
        if not self.answer_count:
            return 0.0
        measured = math.exp(self.baseline_latency + self.baseline_variance / 2) / SECOND * self.settings.threads
        if self.estimate_count < MINIMUM_SAMPLES:
            return measured
        return min(measured, self.estimate_sum / self.estimate_count / SECOND)


class LoadMeasurement:
    """The counters and rates of one gateway."""

    def __init__(self, settings: t.Settings):
        self.classes = {cls.name: ClassLoad(cls) for cls in settings.classes}
        self.threads = {cls.name: cls.threads for cls in settings.classes}
        self.counters: dict[Key, CellCounter] = {}
        self._overflow_counter = CellCounter("", "")
        self._reset_counts()
        self.rates = {"served": 0.0, "rejected": 0.0, "retries": 0.0, "retries_wanted": 0.0}
        self.latency_excess = 0.0
        self.full_fraction = 0.0
        self.recent_answers = 0.0  # number of recent answers, decayed
        self.capacity_factor = 1.0
        self.calm = True  # set while nothing is shed and no more threads are in use than configured

    def _reset_counts(self) -> None:
        self.served = 0
        self.rejected = 0
        self.retries = 0
        self.retries_wanted = 0
        self.full_answers = 0
        self.completed_attempts = 0

    def counter(self, cls: str, tenant: str) -> CellCounter:
        """Return the counter of a cell, or the shared one if there are already `MAXIMUM_COUNTERS`."""
        counter = self.counters.get((cls, tenant))
        if counter is None:
            if len(self.counters) >= MAXIMUM_COUNTERS:
                return self._overflow_counter
            counter = self.counters[cls, tenant] = CellCounter(cls, tenant)
        return counter

    def attempt_completed(self, cls: str, reason: str, elapsed: int) -> None:
        """Count the end of an attempt after `elapsed` microseconds."""
        load = self.classes.get(cls)
        self.completed_attempts += 1
        self.full_answers += reason == "FULL"
        if load is None or reason != "GOOD":
            return
        self.recent_answers += 1
        excess = load.add_latency(elapsed, self.calm)
        self.latency_excess += (excess - self.latency_excess) / min(self.recent_answers + 1, RECENT_SAMPLES)

    def tick(self, elapsed: int, shedding: bool, usage: float) -> None:
        """Update the rates and the capacity factor, `elapsed` microseconds after the last tick.

        `shedding`: whether requests are shed, so that more capacity could be used. `usage`: the fleet's threads in use
        divided by those configured.
        """
        self.calm = not shedding and usage < 1
        seconds = elapsed / SECOND
        weight = 1 - math.exp(-elapsed / RATE_WINDOW)
        for counter in (*self.counters.values(), self._overflow_counter):
            counter.tick(seconds, weight)
        for name in self.rates:
            self.rates[name] += (getattr(self, name) / seconds - self.rates[name]) * weight
        full_fraction = self.full_answers / self.completed_attempts if self.completed_attempts else 0.0
        self.full_fraction += (full_fraction - self.full_fraction) * weight
        self._reset_counts()
        decay = math.exp(-elapsed / WORK_WINDOW)
        for load in self.classes.values():
            load.completed *= decay
        self._update_capacity_factor(shedding, usage)
        self.recent_answers *= math.exp(-elapsed / RATE_WINDOW)

    def _update_capacity_factor(self, shedding: bool, usage: float) -> None:
        """Lower the factor under pressure, raise it while requests are shed and threads idle, else return it to one."""
        latency = self.latency_excess - LATENCY_PRESSURE if self.recent_answers >= MINIMUM_SAMPLES else -1.0
        pressure = max(latency, (self.full_fraction - FULL_PRESSURE) * 10)
        if pressure > 0:
            self.capacity_factor *= 1 - STEP_DOWN * min(max(pressure, 0.1), 1)
        elif shedding:
            self.capacity_factor *= 1 + STEP_UP * max(1 - usage, 0)
        else:
            self.capacity_factor += (1 - self.capacity_factor) * STEP_BACK
        self.capacity_factor = min(max(self.capacity_factor, MINIMUM_FACTOR), MAXIMUM_FACTOR)

    def cells(self) -> tuple[tuple[Cell, ...], int]:
        """Return the cells with the most requests, and the sum of the others in requests per 1,000 s."""
        active = [counter for counter in self.counters.values() if counter.rate >= MINIMUM_RATE]
        active.sort(key=lambda counter: (-counter.rate, counter.code))
        unlisted = sum(counter.rate for counter in active[CELLS:]) + self._overflow_counter.rate
        cells = tuple(
            Cell(counter.code, bounded(counter.rate * 1000), bounded(counter.admitted * 1000))
            for counter in active[:CELLS]
        )
        return cells, bounded(unlisted * 1000)

    def work(self) -> tuple[Work, ...]:
        """Return the cost of each class with recent answers, the most frequent first."""
        loads = sorted(self.classes.values(), key=lambda load: (-load.completed, load.code))
        return tuple(
            Work(load.code, bounded(load.completed * 1000), bounded(load.completed * load.work_per_request() * 1000))
            for load in loads
            if load.completed >= MINIMUM_RATE
        )
