"""Whether a query may be attempted again: idempotency, attempts left, and the retry budget. Times: microseconds."""

from collections import deque

from rackhub.interface import Idempotency, Outcome
from rackhub.policy.context import RouterContext
from rackhub.policy.state import QueryState, drop_until

NOT_EXECUTED_OUTCOMES = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_EXECUTED)
MAY_STILL_RUN_OUTCOMES = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)
SPECULATIVE_FRACTION = 0.6  # of the retry budget, for retries that may repeat work
IDEMPOTENCY_WINDOW_FRACTION = 0.9  # of a class's window that is used
CLOCK_MARGIN_PERIODS = 2  # clock periods by which the budget's window is taken on the safe side


class RetryPolicy:
    """Permission for retries and hedges, and the count of them."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.received_at: deque[int] = deque()
        self.retried_at: deque[int] = deque()
        self.tokens = context.allocation.retry_tokens  # the fleet's budget; None: by this gateway's own count

    def record_query(self) -> None:
        """Count a query that came in."""
        self.received_at.append(self.context.now)
        drop_until(self.received_at, self.context.now - self.context.settings.retry_budget_window)

    def record_retry(self) -> None:
        """Count a retry that is being sent."""
        self.retried_at.append(self.context.now)
        if self.tokens is not None:
            self.tokens -= 1

    def allows(self, query: QueryState) -> bool:
        """Whether one more attempt is harmless and within the query's number of attempts."""
        if query.attempts >= (query.event.max_attempts or self.context.settings.max_attempts):
            return False
        if not query.possibly_executed:
            return True
        settings = query.statistics.settings
        if settings.idempotency == Idempotency.IDEMPOTENCY_KEY:
            window = query.event.retry_window or IDEMPOTENCY_WINDOW_FRACTION * settings.idempotency_window
            return self.context.now - query.possibly_executed[0].sent_at < window
        return settings.idempotency == Idempotency.IDEMPOTENT

    def within_budget(self, fraction: float) -> bool:
        """Whether a retry fits in this fraction of the budget; the rest is kept for retries that repeat no work."""
        now = self.context.now
        settings = self.context.settings
        margin = CLOCK_MARGIN_PERIODS * settings.clock_period
        drop_until(self.received_at, now - settings.retry_budget_window + margin)
        drop_until(self.retried_at, now - settings.retry_budget_window - margin)
        if self.tokens is not None:
            return self.tokens * fraction >= 1
        if settings.retry_budget_ratio is None and settings.retry_budget_minimum is None:
            return True
        ratio = settings.retry_budget_ratio or 0
        budget = (settings.retry_budget_minimum or 0) + ratio * len(self.received_at)
        return len(self.retried_at) + 1 <= fraction * budget
