"""Ejection of engines that fail far more often than the rest of the fleet. All times are microseconds."""

from rackhub.policy.context import RouterContext
from rackhub.policy.statistics import SECOND, EngineState

MIN_FAILURE_RATE = 0.25  # below it no engine is ejected
FAILURE_RATE_RATIO = 2  # over the fleet's median, from which an engine is ejected
RECOVERED_FAILURE_RATE = MIN_FAILURE_RATE / 8  # below it the ejection time starts anew
MIN_EJECTION_TIME = SECOND
MAX_EJECTION_TIME = 8 * SECOND
EJECTION_BACKOFF = 2  # each ejection in a row is so many times the one before
EJECTION_JITTER = (1.0, 1.3)
SINGLE_RESET_INTERVAL = SECOND // 50  # resets within it are those of one connection


class OutlierDetector:
    """Counts failures of engines and ejects those that stand out."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context

    def record_failure(self, engine: EngineState, confirmed_down: bool = False) -> None:
        """Count a failure; eject the engine if it is certain to be down or stands out from the fleet."""
        now = self.context.now
        engine.failure_rate.add(now, 1)
        rates = sorted(other.failure_rate.value for other in self.context.engines.values() if other.ready) or [0]
        median = rates[len(rates) // 2]
        stands_out = engine.failure_rate.value >= max(MIN_FAILURE_RATE, FAILURE_RATE_RATIO * median)
        if (confirmed_down or stands_out) and now >= engine.ejected_until:
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
        """Count a refused connection: the second with no response between is certain."""
        engine.consecutive_failures += 1
        self.record_failure(engine, confirmed_down=engine.consecutive_failures > 1)

    def record_reset(self, engine: EngineState) -> None:
        """Count a reset. One broken connection ends all attempts that share it, and does not make a failure."""
        separate = self.context.now - engine.last_reset_at > SINGLE_RESET_INTERVAL
        engine.last_reset_at = self.context.now
        engine.consecutive_failures += separate
        if engine.consecutive_failures > 1:
            self.record_failure(engine, confirmed_down=True)
