"""Estimates the load of the engines from the most reliable evidence available. All times are microseconds."""

import math
from collections.abc import Mapping
from enum import IntEnum

from rackhub.policy.context import RouterContext
from rackhub.policy.slow_start import SlowStart
from rackhub.policy.state import QueryState
from rackhub.policy.statistics import EVIDENCE_TTL, MIN_FIT_SAMPLES, SECOND, DecayingMean, EngineState
from rackhub.policy.usage import ResourceUsage

OVERLOAD_LATENCY_RATIO = 1.6  # ratio of the recent to the best latency that means overload
REPORT_DECAY_TIME = 2 * SECOND  # short, because a report covers the whole engine, so that the newest one counts
EVIDENCE_DECAY_TIME = 3 * SECOND // 2
EVIDENCE_MAX_WEIGHT = 30  # maximum weight of past evidence, in observations
MIN_LATENCY_WEIGHT = 20  # observations needed to use latency where there is other evidence

# load report field -> (value from which an engine is overloaded, excess per unit above it)
REPORT_THRESHOLDS = {"cpu_share": (0.95, 4), "x0": (0.95, 4), "x1": (0.84, 4), "pending": (2, 0.5)}
REPORTED_MEMORY = "x0"  # load report field: fraction of the engine's memory that is granted
REPORTED_QUERIES = "busy_reqs"  # load report field: queries in progress at the engine
REPORTED_MEMORY_SAMPLES = 8  # reports over which the memory use is averaged

OVERLOADED_THREADS_PER_CORE = 1.5  # threads per core from which an engine is overloaded
REJECTION_EXCESS = 2.0  # excess that a rejection by an engine counts as
MEAN_EXCESS_TOLERANCE = 0.2  # mean excess that may be random variation
MAX_ENGINE_EXCESS = 0.5  # upper bound of one engine's excess in the capped mean
DURATION_EXCESS_RANGE = (-1, 2)  # bounds of the excess that the duration of one attempt shows


class Evidence(IntEnum):
    """Kinds of evidence of load, in order of increasing reliability."""

    NONE = 0
    HEALTH_CHECK = 1
    LOAD_REPORT = 2


class LoadEstimator:
    """Estimates by how much the fleet and each engine exceed their capacity; 0 is the threshold of overload."""

    def __init__(self, context: RouterContext, usage: ResourceUsage, slow_start: SlowStart) -> None:
        self.context = context
        self.usage = usage
        self.slow_start = slow_start
        self.latency_excess = DecayingMean()
        self.evidence_excess = DecayingMean()
        self.evidence = Evidence.NONE
        self.evidence_until = 0
        self.mean_excess = 0.0  # mean over the ready engines, weighted by cores
        self.capped_mean_excess = 0.0  # the same mean with `MAX_ENGINE_EXCESS` as the maximum of each engine
        self.reported_memory_use = 1.0

    @property
    def excess(self) -> float:
        """Excess of the fleet. Reports of low load by a few engines do not hide that the fleet is full."""
        by_engines = self.capped_mean_excess - MEAN_EXCESS_TOLERANCE if self.evidence == Evidence.LOAD_REPORT else -1
        return max(self.evidence_excess.recent(self.context.now), by_engines)

    @property
    def overloaded(self) -> bool:
        """True if the fleet is overloaded. Latency counts without better evidence or after many observations."""
        if self.excess > 0:
            return True
        by_latency = self.latency_excess.recent(self.context.now) > 0
        return by_latency and (not self.evidence or self.latency_excess.weight > MIN_LATENCY_WEIGHT)

    def add_evidence(self, evidence: Evidence, excess: float) -> None:
        """Record one observation, unless there is recent evidence of a more reliable kind."""
        now = self.context.now
        if self.context.stalled:
            return
        if evidence >= self.evidence or now > self.evidence_until:
            if evidence != self.evidence:
                self.evidence_excess = DecayingMean()
            self.evidence = evidence
            self.evidence_until = now + EVIDENCE_TTL
            self.evidence_excess.add(now, excess, EVIDENCE_DECAY_TIME, EVIDENCE_MAX_WEIGHT)

    def update_means(self) -> None:
        """Recompute the mean excess over the engines with recent evidence."""
        now = self.context.now
        engines = [
            engine
            for engine in self.context.engines.values()
            if engine.ready and now - engine.load_excess.updated_at < EVIDENCE_TTL
        ]
        cores = max(sum(engine.cores for engine in engines), 1)
        self.mean_excess = sum(engine.cores * engine.load_excess.value for engine in engines) / cores
        capped = sum(engine.cores * min(engine.load_excess.value, MAX_ENGINE_EXCESS) for engine in engines)
        self.capped_mean_excess = capped / cores

    def record_report(self, engine: EngineState | None, report: Mapping[str, float]) -> None:
        """Record a load report: CPU, memory, disks and queries (converted to threads by this gateway's mean)."""
        if engine is None or not report:
            return
        excesses = [
            slope * (report[name] - threshold)
            for name, (threshold, slope) in REPORT_THRESHOLDS.items()
            if name in report
        ]
        if REPORTED_QUERIES in report:
            threads_per_query = max(self.usage.threads, 1) / max(self.usage.running_attempts, 1)
            load_per_query = (
                threads_per_query / OVERLOADED_THREADS_PER_CORE / (engine.cores * self.slow_start.capacity(engine))
            )
            excesses.append(report[REPORTED_QUERIES] * load_per_query - 1)
        if excesses:
            memory_use = report.get(REPORTED_MEMORY, 1)
            self.reported_memory_use += (memory_use - self.reported_memory_use) / REPORTED_MEMORY_SAMPLES
            self.add_evidence(Evidence.LOAD_REPORT, max(excesses))
            engine.load_excess.add(self.context.now, max(excesses), REPORT_DECAY_TIME)

    def record_rejection(self, engine: EngineState) -> None:
        """Record that an engine rejected an attempt because of overload."""
        now = self.context.now
        self.evidence_excess.add(now, REJECTION_EXCESS, EVIDENCE_DECAY_TIME, EVIDENCE_MAX_WEIGHT)
        engine.load_excess.add(now, REJECTION_EXCESS)

    def record_latency(self, query: QueryState) -> None:
        """Record by how much the recent latency of the query's class exceeds its best latency."""
        statistics = query.statistics
        excess = statistics.log_latency - statistics.best_log_latency - math.log(OVERLOAD_LATENCY_RATIO)
        self.latency_excess.add(self.context.now, excess, EVIDENCE_DECAY_TIME, EVIDENCE_MAX_WEIGHT)

    def record_duration(self, engine: EngineState, query: QueryState, duration: float) -> None:
        """Record how long work of known size takes against the expectation; shows load where reports are late."""
        if query.statistics.cost_fit.count >= MIN_FIT_SAMPLES and not self.context.stalled:
            minimum, maximum = DURATION_EXCESS_RANGE
            excess = math.log(max(duration, 1) / query.expected_latency)
            engine.load_excess.add(self.context.now, min(max(excess, minimum), maximum))
