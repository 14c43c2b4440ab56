"""Outlier detection: ejects engines that fail far more often than the rest. All times are microseconds."""

from rackhub.policy.context import RouterContext
from rackhub.policy.statistics import SECOND, EngineState

MIN_FAILURE_RATE = 0.25  # failure rate below which no engine is ejected
FAILURE_RATE_RATIO = 2  # minimum ratio of an outlier's failure rate to the fleet's median
RECOVERED_FAILURE_RATE = MIN_FAILURE_RATE / 8  # failure rate below which the ejection time is reset
MIN_EJECTION_TIME = SECOND
MAX_EJECTION_TIME = 8 * SECOND
EJECTION_BACKOFF = 2  # ratio of consecutive ejection times
EJECTION_JITTER = (1.0, 1.3)  # range of the random factor on an ejection time
SINGLE_RESET_INTERVAL = SECOND // 50  # resets within this time come from one connection


class OutlierDetector:
    """Counts failures of engines and ejects outliers."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context

    def record_failure(self, engine: EngineState, confirmed_down: bool = False) -> None:
        """Count a failure; eject the engine if it is confirmed to be down or is an outlier."""
        now = self.context.now
        engine.failure_rate.add(now, 1)
        rates = sorted(other.failure_rate.value for other in self.context.engines.values() if other.ready) or [0]
        median = rates[len(rates) // 2]
        is_outlier = engine.failure_rate.value >= max(MIN_FAILURE_RATE, FAILURE_RATE_RATIO * median)
        if (confirmed_down or is_outlier) and now >= engine.ejected_until:
            backoff = max(engine.ejection_time * EJECTION_BACKOFF, MIN_EJECTION_TIME)
            engine.ejection_time = min(backoff, MAX_EJECTION_TIME)
            jitter = self.context.random.uniform(*EJECTION_JITTER)
            engine.ejected_until = now + int(engine.ejection_time * jitter)

    def record_success(self, engine: EngineState) -> None:
        """Count a successful attempt."""
        engine.failure_rate.add(self.context.now, 0)
        if engine.failure_rate.value < RECOVERED_FAILURE_RATE:
            engine.ejection_time = 0

    def record_connect_failure(self, engine: EngineState) -> None:
        """Count a failed connect. A second one without a response in between confirms that the engine is down."""
        engine.consecutive_failures += 1
        self.record_failure(engine, confirmed_down=engine.consecutive_failures > 1)

    def record_reset(self, engine: EngineState) -> None:
        """Count a reset. A single broken connection, which resets all attempts that share it, is not a failure."""
        separate = self.context.now - engine.last_reset_at > SINGLE_RESET_INTERVAL
        engine.last_reset_at = self.context.now
        engine.consecutive_failures += separate
        if engine.consecutive_failures > 1:
            self.record_failure(engine, confirmed_down=True)
