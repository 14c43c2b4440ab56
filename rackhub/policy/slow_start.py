"""What an engine that has just started may get of this gateway. All times are microseconds."""

from rackhub.policy.context import RouterContext
from rackhub.policy.state import QueryState
from rackhub.policy.statistics import EngineState

BUDGET_FRACTION = 0.45  # of the budget that is used
MAX_CREDIT_WINDOWS = 1.2  # budget windows of credit that an engine may collect
UNEVEN_SUBSETS = 1.35  # gateways that an engine may have over the mean when each keeps to a subset
MIN_CREDIT = 1e-9  # no credit at all must not divide by 0


class SlowStart:
    """Budgets of engines that are warming up.

    A gateway's part of such a budget may be less than the work of one query and would leave the engine idle, so credit
    accumulates and all warming engines are tried in one random draw.
    """

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.subset_fraction = 1.0  # of the ready engines, the part that this gateway keeps to

    def capacity(self, engine: EngineState) -> float:
        """The fraction of its capacity that an engine has reached."""
        settings = self.context.settings
        initial = settings.slow_start_initial_capacity
        age = max(self.context.now - engine.started_at, 0)
        return min(initial + (1 - initial) * age / max(settings.slow_start_duration, 1), 1)

    def draw(self, query: QueryState, warming: list[EngineState]) -> EngineState | None:
        """One of the warming engines with the probability that the budgets allow, or None."""
        self._accrue(warming)
        credits = [engine.slow_start_credit for engine in warming]
        stake = min(sum(credits), query.statistics.mean_work)
        for engine in warming:
            engine.slow_start_credit *= 1 - stake / max(sum(credits), MIN_CREDIT)
        if self.context.random.random() * query.statistics.mean_work < stake:
            return self.context.random.choices(warming, credits)[0]
        return None

    def _accrue(self, warming: list[EngineState]) -> None:
        """Add the credit of the time since the last draw."""
        settings = self.context.settings
        now = self.context.now
        users = self.context.slow_start_gateway_count * min(UNEVEN_SUBSETS * self.subset_fraction, 1)
        for engine in warming:
            rate = BUDGET_FRACTION * settings.slow_start_budget_multiple * self.capacity(engine) * engine.cores / users
            since = max(engine.credited_at, engine.started_at)
            engine.credited_at = now
            engine.slow_start_credit = min(
                engine.slow_start_credit + rate * (now - since),
                rate * settings.slow_start_budget_window * MAX_CREDIT_WINDOWS,
            )
