"""Running statistics of engines and query classes. All times are microseconds."""

import math
from dataclasses import dataclass

from rackhub.interface import ClassSettings, EngineEntry

SECOND = 1_000_000  # microseconds
TICK_INTERVAL = 500_000  # microseconds between periodic updates
EVIDENCE_TTL = 4 * SECOND  # microseconds after which evidence of load is ignored
LONG_AGO = -(10**15)  # microseconds; earlier than any time of the clock

DEFAULT_DECAY_TIME = 8 * SECOND
DEFAULT_MAX_WEIGHT = 6  # maximum weight of past observations, in observations

DEFAULT_CORES = 8.0  # cores of an engine whose kind is not configured
INITIAL_MEMORY_FACTOR = 1.25  # MB granted per estimated MB

LATENCY_SAMPLES = 30  # responses over which the recent latency is averaged
MEAN_SAMPLES = 200  # observations over which long-term means are averaged
BEST_LATENCY_DRIFT = 0.0005  # rise of the best latency per response, in log units, by which it is forgotten
GUESS_WEIGHT = 4  # weight of the initial guess of the mean, in responses
MAX_LATENCY_MULTIPLE = 8  # maximum latency that is counted for one response, in mean latencies
INITIAL_LATENCY_DIVISOR = 5  # ratio of a class's deadline to its initial mean latency

MIN_FIT_SAMPLES = 3  # reported costs needed before a fit is used
PRIOR_WEIGHT = 4.0  # weight of the prior slope of 1/2, in observations


class DecayingMean:
    """Mean of recent observations whose weights decay exponentially with age."""

    __slots__ = ("updated_at", "value", "weight")

    def __init__(self) -> None:
        self.value = 0.0
        self.weight = 0.0
        self.updated_at = 0

    def add(
        self,
        now: int,
        value: float,
        decay_time: float = DEFAULT_DECAY_TIME,
        max_weight: float = DEFAULT_MAX_WEIGHT,
    ) -> None:
        """Add an observation. All earlier observations together weigh at most as much as `max_weight` observations."""
        self.weight = min(self.weight * math.exp((self.updated_at - now) / decay_time), max_weight) + 1
        self.value = self.value + (value - self.value) / self.weight
        self.updated_at = now

    def recent(self, now: int) -> float:
        """Return the mean, or 0 once the last observation is too old.

        Without this limit a gateway that rejects all queries would never notice that the overload has ended.
        """
        return self.value if now - self.updated_at < EVIDENCE_TTL else 0.0


class LogLinearFit:
    """Running linear regression of log cost on log estimate; its prior slope of 1/2 allows for poor estimates."""

    __slots__ = ("count", "covariance", "mean_x", "mean_y", "slope", "variance_x", "variance_y")

    def __init__(self) -> None:
        self.count = 0
        self.mean_x = 0.0
        self.mean_y = 0.0
        self.variance_x = 0.0
        self.covariance = 0.0
        self.variance_y = 0.0
        self.slope = 0.0

    def add(self, estimate: float, cost: float) -> None:
        """Add a pair; a pair without an estimate or a cost is ignored."""
        if min(estimate, cost) <= 0:
            return
        self.count += 1
        step = 1 / min(self.count, MEAN_SAMPLES)
        dx = math.log(estimate) - self.mean_x
        dy = math.log(cost) - self.mean_y
        self.mean_x = self.mean_x + dx * step
        self.mean_y = self.mean_y + dy * step
        self.variance_x = (1 - step) * (self.variance_x + step * (dx * dx))
        self.covariance = (1 - step) * (self.covariance + step * (dx * dy))
        self.variance_y = (1 - step) * (self.variance_y + step * (dy * dy))
        self.slope = (self.count * self.covariance + PRIOR_WEIGHT / 2) / (self.count * self.variance_x + PRIOR_WEIGHT)

    def relative_cost(self, estimate: float) -> float:
        """Return the expected cost for an estimate, as a multiple of the mean cost."""
        return math.exp(self.slope * (math.log(max(estimate, 1)) - self.mean_x) - self.slope * self.covariance / 2)

    def expected_cost(self, estimate: float, margin: float) -> float:
        """Return the median cost for an estimate plus `margin` standard deviations (of its logarithm)."""
        deviation = math.sqrt(max(self.variance_y - self.slope * self.covariance, 0))
        return math.exp(self.mean_y + self.slope * (math.log(max(estimate, 1)) - self.mean_x) + margin * deviation)


@dataclass(slots=True, frozen=True)
class Placement:
    """Zone and cell of an engine."""

    zone: str
    cell: int


class EngineState:
    """State of one engine as this gateway observes it."""

    def __init__(self, entry: EngineEntry, kind_cores: dict[str, float], rotation_offset: float) -> None:
        self.id = entry.engine
        self.cores = kind_cores.get(entry.kind, DEFAULT_CORES)
        # A random offset, because otherwise all gateways would start their rotation at the same engine.
        self.rotation_credit = rotation_offset * self.cores
        self.relative_response_time = 0.0
        self.started_at = LONG_AGO
        self.threads = 0
        self.last_response_at = 0
        self.slow_start_credit = 0.0
        self.credit_updated_at = 0
        self.consecutive_failures = 0
        self.last_reset_at = 0
        self.running_loads: dict[int | None, int] = {}  # table group -> attempts that lock it
        self.locked_until: dict[int | None, float] = {}
        self.zone = entry.zone
        self.kind = entry.kind
        self.placement = Placement(entry.zone, entry.cell)
        self.ready = False  # set by `update`
        self.reset_history()

    def reset_history(self) -> None:
        """Discard the measurements of a previous process of the engine, which say nothing about a new one."""
        self.failure_rate = DecayingMean()
        self.load_excess = DecayingMean()
        self.ejection_time: float = 0
        self.ejected_until = 0
        self.weight = 0.0
        self.weight_updated_at = LONG_AGO
        self.best_health_check_time = math.inf

    def update(self, entry: EngineEntry) -> None:
        """Apply the engine's latest entry in the endpoint list."""
        self.zone = entry.zone
        self.kind = entry.kind
        self.placement = Placement(entry.zone, entry.cell)
        self.ready = entry.state == "Ready"
        self.started_at = max(self.started_at, entry.started_at)


class ClassStatistics:
    """Statistics of one class of query, learned by this gateway."""

    def __init__(self, settings: ClassSettings) -> None:
        self.settings = settings
        self.responses = 0
        self.admission_rate = 1.0
        self.memory_factor = INITIAL_MEMORY_FACTOR
        self.mean_latency = max(settings.deadline / INITIAL_LATENCY_DIVISOR, settings.latency_objective, 1.0)
        # Means of logarithms, so that one long query does not look like an overloaded fleet.
        self.log_latency = math.log(self.mean_latency)
        self.best_log_latency = self.log_latency
        self.log_latency_variance = 0.0
        self.mean_work = self.mean_latency * settings.threads
        self.cost_reported = False
        self.estimate_count = MIN_FIT_SAMPLES
        self.estimate_sum = MIN_FIT_SAMPLES * self.mean_work
        self.value_density = settings.priority_weight / self.mean_work
        self.cost_fit = LogLinearFit()
        self.memory_fit = LogLinearFit()

    def relative_size(self, estimate: float) -> float:
        """Return the work of a query as a multiple of its class's mean; 1 until enough costs have been reported."""
        if estimate and self.cost_fit.count >= MIN_FIT_SAMPLES:
            return self.cost_fit.relative_cost(estimate)
        return 1.0

    def record_latency(self, elapsed: float, relative_size: float) -> None:
        """Record the latency of one successful attempt."""
        self.responses += 1
        elapsed = max(min(elapsed, MAX_LATENCY_MULTIPLE * self.mean_latency), 1)
        # The initial guess keeps some weight, because the first queries to complete are the short ones.
        self.mean_latency += (elapsed - self.mean_latency) / min(self.responses + GUESS_WEIGHT, MEAN_SAMPLES)
        difference = math.log(max(elapsed / relative_size, 1)) - self.log_latency
        self.log_latency_variance += (difference * difference - self.log_latency_variance) / min(
            self.responses, MEAN_SAMPLES
        )
        self.log_latency += difference / min(self.responses, LATENCY_SAMPLES)
        if self.responses > LATENCY_SAMPLES:
            self.best_log_latency = min(self.best_log_latency + BEST_LATENCY_DRIFT, self.log_latency)
        else:
            self.best_log_latency = self.log_latency
        self.mean_work = self._estimate_work()
        self.value_density = self.settings.priority_weight / self.mean_work

    def _estimate_work(self) -> float:
        """Return the mean work in thread-microseconds: from reported costs if any, else from latency and estimates."""
        if self.cost_reported and self.cost_fit.count >= MIN_FIT_SAMPLES:
            return math.exp(self.cost_fit.mean_y + self.cost_fit.variance_y / 2)
        by_latency = math.exp(self.best_log_latency + self.log_latency_variance / 2) * self.settings.threads
        return min(by_latency, self.estimate_sum / self.estimate_count)
