"""Records what the outcome of an attempt shows about its engine and class. All times are microseconds."""

from rackhub.interface import AttemptCompleted, Outcome
from rackhub.policy.context import RouterContext
from rackhub.policy.hints import HintPlanner
from rackhub.policy.load import LoadEstimator
from rackhub.policy.outliers import OutlierDetector
from rackhub.policy.retries import RetryPolicy
from rackhub.policy.state import AttemptState, QueryState
from rackhub.policy.statistics import DecayingMean, EngineState

OVERDUE_LATENCIES = 4  # expected latencies after which an attempt is overdue
LOST_WEIGHT = 0.4  # value of an attempt that is presumed lost in the rate of lost responses
LOST_RATE = 0.04  # rate of lost responses above which responses must be getting lost
LOST_MAX_WEIGHT = 30  # maximum weight of past attempts in that rate, in attempts

# The low bits of a reported cost hold the memory in units of 4 MB, the bits above them the work in milliseconds.
COST_MEMORY_BITS = 12
COST_MEMORY_MASK = 4095
COST_MEMORY_UNIT = 4  # MB
COST_WORK_UNIT = 1000  # microseconds


class OutcomeRecorder:
    """Passes outcomes on to the statistics, the load estimate and the outlier detection."""

    def __init__(
        self,
        context: RouterContext,
        load: LoadEstimator,
        outliers: OutlierDetector,
        hints: HintPlanner,
        retries: RetryPolicy,
    ) -> None:
        self.context = context
        self.load = load
        self.outliers = outliers
        self.hints = hints
        self.retries = retries
        self.lost_rate = DecayingMean()

    @property
    def losing_responses(self) -> bool:
        """True if so many attempts get no response that responses must be getting lost."""
        return self.lost_rate.value > LOST_RATE

    def presume_lost(self, attempt: AttemptState) -> None:
        """Record that the response to an attempt is presumed lost."""
        self.lost_rate.add(self.context.now, LOST_WEIGHT, max_weight=LOST_MAX_WEIGHT)
        attempt.presumed_lost = True

    def record(self, attempt: AttemptState, event: AttemptCompleted) -> None:
        """Record one outcome."""
        outcome = event.outcome
        engine = attempt.engine
        query = attempt.query
        self.load.record_report(self.context.engines.get(event.engine), event.report)
        self._record_response(attempt, outcome)
        if outcome == Outcome.SUCCESS:
            self._record_success(attempt, event)
        elif outcome == Outcome.OVERLOADED:
            self.load.record_rejection(engine)
        elif outcome == Outcome.CONNECT_FAILED:
            self.outliers.record_connect_failure(engine)
        elif outcome == Outcome.RESET:
            self.outliers.record_reset(engine)
        elif outcome == Outcome.ERROR:
            self._record_error(engine, query)
        elif outcome == Outcome.TIMED_OUT and event.elapsed > OVERDUE_LATENCIES * query.expected_latency:
            self.outliers.record_failure(engine)

    def _record_response(self, attempt: AttemptState, outcome: str) -> None:
        """Update the rate of lost responses. If an attempt presumed lost succeeds, twice its value is subtracted."""
        lost: float
        if attempt.presumed_lost:
            lost = -2 * LOST_WEIGHT if outcome == Outcome.SUCCESS else 0
        else:
            lost = 1 if outcome == Outcome.TIMED_OUT else 0
        self.lost_rate.add(self.context.now, lost, max_weight=LOST_MAX_WEIGHT)

    def _record_success(self, attempt: AttemptState, event: AttemptCompleted) -> None:
        engine = attempt.engine
        query = attempt.query
        engine.last_response_at = self.context.now
        engine.consecutive_failures = 0
        if query.failed_on:  # The query can succeed, so the engine that returned an error was at fault.
            self.outliers.record_failure(query.failed_on)
        if not self.context.stalled:
            self._update_statistics(query, event)
        self.load.record_duration(engine, query, self.context.now - attempt.executing_since)
        self.load.record_latency(query)
        settings = self.context.settings
        if settings.grants and settings.progress_report_interval and not attempt.spilled:
            self.hints.record_no_spill(query)
        self.outliers.record_success(engine)

    def _update_statistics(self, query: QueryState, event: AttemptCompleted) -> None:
        """Update the statistics of the class from the reported cost and the latency."""
        statistics = query.statistics
        statistics.cost_reported = statistics.cost_reported or event.cost > 0
        work = event.elapsed
        if statistics.cost_reported:
            work = (event.cost >> COST_MEMORY_BITS) * COST_WORK_UNIT
        statistics.cost_fit.add(query.event.estimate, work)
        statistics.memory_fit.add(query.event.memory_mb, (event.cost & COST_MEMORY_MASK) * COST_MEMORY_UNIT)
        statistics.record_latency(event.elapsed, query.relative_size)

    def _record_error(self, engine: EngineState, query: QueryState) -> None:
        """Record an error, which the query may have caused; it is the engine's failure if another engine succeeds."""
        if query.failed_on:  # A second engine returned an error as well, and a third would do the same.
            query.attempts = self.context.settings.max_attempts
            query.failed_on = None
        elif not self.retries.allows(query):
            self.outliers.record_failure(engine)
        else:
            query.failed_on = engine
