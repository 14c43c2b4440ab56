"""Retry policy: idempotency, maximum attempts and the retry budget. All times are microseconds."""

from rackhub.interface import Idempotency, Outcome
from rackhub.policy.context import RouterContext
from rackhub.policy.state import QueryState, new_time_record, remove_expired

NOT_EXECUTED_OUTCOMES = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_EXECUTED)
MAY_STILL_RUN_OUTCOMES = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)
SPECULATIVE_FRACTION = 0.6  # fraction of the retry budget that is open to retries that may repeat work
IDEMPOTENCY_WINDOW_FRACTION = 0.9  # fraction of a class's idempotency window in which retries are sent
CLOCK_MARGIN_PERIODS = 2  # safety margin of the budget's window, in clock periods


class RetryPolicy:
    """Decides whether retries and hedges are allowed, and counts retries."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.received_at = new_time_record()  # only where the retry budget depends on it
        self.retried_at = new_time_record()
        self.tokens = context.allocation.retry_tokens  # retries that the fleet allows; None: by the own budget

    def record_query(self) -> None:
        """Count a received query."""
        if self.context.settings.retry_budget_ratio:
            self.received_at.append(self.context.now)
            remove_expired(self.received_at, self.context.now - self.context.settings.retry_budget_window)

    def record_retry(self) -> None:
        """Count a retry that is being sent."""
        self.retried_at.append(self.context.now)
        if self.tokens is not None:
            self.tokens -= 1

    def allows(self, query: QueryState) -> bool:
        """Return whether another attempt is harmless and within the query's maximum number of attempts."""
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
        """Return whether a retry fits in this fraction of the budget; the rest is for retries that repeat no work."""
        now = self.context.now
        settings = self.context.settings
        margin = CLOCK_MARGIN_PERIODS * settings.clock_period
        remove_expired(self.received_at, now - settings.retry_budget_window + margin)
        remove_expired(self.retried_at, now - settings.retry_budget_window - margin)
        if self.tokens is not None:
            return self.tokens * fraction >= 1
        if settings.retry_budget_ratio is None and settings.retry_budget_minimum is None:
            return True
        ratio = settings.retry_budget_ratio or 0
        budget = (settings.retry_budget_minimum or 0) + ratio * len(self.received_at)
        return len(self.retried_at) + 1 <= fraction * budget
