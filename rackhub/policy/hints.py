"""Execution hints sent with an attempt: its memory grant (MB) and its priority."""

from rackhub import interface
from rackhub.policy.context import RouterContext
from rackhub.policy.state import QueryState
from rackhub.policy.statistics import MIN_FIT_SAMPLES, ClassStatistics, DecayingMean
from rackhub.policy.usage import ResourceUsage

IDLE_MEMORY_MARGIN = 2.0  # margin over the expected need while all memory is idle, in standard deviations
USAGE_MAX_WEIGHT = 12  # maximum weight of past samples of the granted memory, in samples
SMALL_QUERY, LARGE_QUERY = 0.8, 2.0  # relative sizes below and above which the priority changes

MEMORY_FACTOR_DECAY = 0.99  # factor on the grants of a class after each attempt that did not spill
MEMORY_FACTOR_WAIT_DECAY = 0.98  # factor on all grants when an attempt waits for memory
MIN_MEMORY_FACTOR = 0.5
MAX_MEMORY_FACTOR = 8.0
SPILL_STEP = 0.2  # increase of a class's memory factor per multiple of the estimate that spilled
MEMORY_SHORTAGE_USE = 0.85  # fraction of memory granted above which the engines are short of it


class HintPlanner:
    """Computes memory grants, learned from reported memory where it is available, and priorities."""

    def __init__(self, context: RouterContext, usage: ResourceUsage) -> None:
        self.context = context
        self.usage = usage
        self.engine_memory_mb = 0.0  # total of the ready engines
        self.granted_memory = DecayingMean()

    def update_engine_memory(self) -> None:
        """Recompute the total memory of the ready engines."""
        kind_memory = self.context.settings.kind_memory
        engines = self.context.engines.values()
        self.engine_memory_mb = sum(kind_memory.get(engine.kind, 0) for engine in engines if engine.ready)

    def sample_usage(self) -> None:
        """Sample the granted memory; called in each periodic update."""
        self.granted_memory.add(self.context.now, self.usage.granted_memory_mb, max_weight=USAGE_MAX_WEIGHT)

    def memory_grant(self, query: QueryState) -> float:
        """Return the memory to grant (MB), with a margin while memory is idle; assumes equally busy gateways."""
        estimate = query.event.memory_mb
        memory_fit = query.statistics.memory_fit
        if estimate and memory_fit.count >= MIN_FIT_SAMPLES:
            in_use = self.granted_memory.value * self.context.gateway_count / max(self.engine_memory_mb, 1)
            return memory_fit.expected_cost(estimate, IDLE_MEMORY_MARGIN * (1 - in_use))
        return estimate * query.statistics.memory_factor

    def priority(self, query: QueryState) -> int:
        """Return the priority of a query.

        It is higher for classes with a high value density and, where estimates prove accurate, for small queries.
        """
        size = query.relative_size
        return 1 + self.has_high_value_density(query.statistics) + (size < SMALL_QUERY) - (size > LARGE_QUERY)

    def has_high_value_density(self, statistics: ClassStatistics) -> bool:
        """Return whether a class has at least the mean value density (priority weight per work) of all classes."""
        classes = self.context.classes
        return statistics.value_density >= sum(other.value_density for other in classes.values()) / len(classes)

    def execution_hints(self, query: QueryState, memory_mb: float) -> interface.ExecutionHints:
        """Return the hints for the query's next attempts."""
        return interface.ExecutionHints(query.id, round(memory_mb), self.priority(query))

    def record_spill(self, query: QueryState, spilled_mb: float) -> None:
        """Increase the grants of a class whose estimates are too low."""
        statistics = query.statistics
        factor = statistics.memory_factor + SPILL_STEP * spilled_mb / query.event.memory_mb
        statistics.memory_factor = min(factor, MAX_MEMORY_FACTOR)

    def record_memory_wait(self, reported_memory_use: float) -> None:
        """Reduce all grants when an attempt waits for memory, unless only few engines are short of it."""
        if reported_memory_use > MEMORY_SHORTAGE_USE:
            for statistics in self.context.classes.values():
                factor = statistics.memory_factor * MEMORY_FACTOR_WAIT_DECAY
                statistics.memory_factor = max(factor, MIN_MEMORY_FACTOR)

    def record_no_spill(self, query: QueryState) -> None:
        """Reduce the grants of a class slightly after an attempt that did not spill."""
        query.statistics.memory_factor *= MEMORY_FACTOR_DECAY
