"""Execution hints sent with an attempt: its memory grant, in MB, and its priority."""

from rackhub import interface as t
from rackhub.policy.context import RouterContext
from rackhub.policy.state import QueryState
from rackhub.policy.statistics import MIN_FIT_SAMPLES, ClassStatistics, DecayingMean
from rackhub.policy.usage import ResourceUsage

IDLE_MEMORY_MARGIN = 2.0  # standard deviations granted over the likely need while all memory is idle
USAGE_MAX_WEIGHT = 12  # periodic samples of the granted memory
SMALL_QUERY, LARGE_QUERY = 0.8, 2.0  # relative sizes that change a query's priority

MEMORY_FACTOR_DECAY = 0.99  # by which a class's grants shrink with each attempt that did not spill
MEMORY_FACTOR_WAIT_DECAY = 0.98  # the same when an attempt waits for memory
MIN_MEMORY_FACTOR = 0.5
MAX_MEMORY_FACTOR = 8.0
SPILL_STEP = 0.2  # growth of the factor for each multiple of the estimate that spilled
SHORT_OF_MEMORY = 0.85  # fraction granted above which the engines are short of memory


class HintPlanner:
    """Memory grants, learned from reported memory where there is any, and priorities."""

    def __init__(self, context: RouterContext, usage: ResourceUsage) -> None:
        self.context = context
        self.usage = usage
        self.engine_memory_mb = 0.0  # of all ready engines
        self.granted_memory = DecayingMean()

    def update_engine_memory(self) -> None:
        """Recompute the memory of the ready engines."""
        kind_memory = self.context.settings.kind_memory
        engines = self.context.engines.values()
        self.engine_memory_mb = sum(kind_memory.get(engine.kind, 0) for engine in engines if engine.ready)

    def sample_usage(self) -> None:
        """Sample the granted memory, once in each periodic update."""
        self.granted_memory.add(self.context.now, self.usage.granted_memory_mb, max_weight=USAGE_MAX_WEIGHT)

    def memory_grant(self, query: QueryState) -> float:
        """The memory to grant, with a margin while memory stands idle; assumes that gateways are equally busy."""
        estimate = query.event.memory_mb
        memory_fit = query.statistics.memory_fit
        if estimate and memory_fit.count >= MIN_FIT_SAMPLES:
            in_use = self.granted_memory.value * self.context.gateway_count / max(self.engine_memory_mb, 1)
            return memory_fit.expected_cost(estimate, IDLE_MEMORY_MARGIN * (1 - in_use))
        return estimate * query.statistics.memory_factor

    def priority(self, query: QueryState) -> int:
        """Small before large: by class and, where estimates prove true, by query."""
        size = query.relative_size
        return 1 + self.is_light(query.statistics) + (size < SMALL_QUERY) - (size > LARGE_QUERY)

    def is_light(self, statistics: ClassStatistics) -> bool:
        """Whether the queries of a class are of high value for their work."""
        classes = self.context.classes
        return statistics.value_density >= sum(other.value_density for other in classes.values()) / len(classes)

    def hints(self, query: QueryState, memory_mb: float) -> t.ExecutionHints:
        """The hints for the query's next attempts."""
        return t.ExecutionHints(query.id, round(memory_mb), self.priority(query))

    def record_spill(self, query: QueryState, spilled_mb: float) -> None:
        """Grow the grants of a class whose estimates are too low."""
        statistics = query.statistics
        factor = statistics.memory_factor + SPILL_STEP * spilled_mb / query.event.memory_mb
        statistics.memory_factor = min(factor, MAX_MEMORY_FACTOR)

    def record_memory_wait(self, reported_memory_use: float) -> None:
        """Shrink all grants when attempts wait for memory, unless only few engines are short of it."""
        if reported_memory_use > SHORT_OF_MEMORY:
            for statistics in self.context.classes.values():
                factor = statistics.memory_factor * MEMORY_FACTOR_WAIT_DECAY
                statistics.memory_factor = max(factor, MIN_MEMORY_FACTOR)

    def record_unspilled(self, query: QueryState) -> None:
        """Shrink the grants of a class a little after an attempt that had memory enough."""
        query.statistics.memory_factor *= MEMORY_FACTOR_DECAY
