"""Slow start: limits the work that an engine gets after its start. All times are microseconds."""

from rackhub.policy.context import RouterContext
from rackhub.policy.state import QueryState
from rackhub.policy.statistics import EngineState

BUDGET_FRACTION = 0.45  # fraction of the budget that is used
MAX_CREDIT_WINDOWS = 1.2  # maximum credit of an engine, in budget windows
SUBSET_IMBALANCE = 1.35  # maximum gateways that use one engine, as a multiple of the mean, if each uses a subset
MIN_CREDIT = 1e-9  # lower bound of the total credit, against division by zero


class SlowStart:
    """Budgets of engines that are warming up.

    A gateway's part of such a budget may be less than the work of one query, which would leave the engine idle.
    Credit therefore accumulates, and one random draw covers all engines that are warming up.
    """

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.subset_fraction = 1.0  # fraction of the ready engines that this gateway uses

    def capacity(self, engine: EngineState) -> float:
        """Return the fraction of its full capacity that an engine has reached."""
        settings = self.context.settings
        initial = settings.slow_start_initial_capacity
        age = max(self.context.now - engine.started_at, 0)
        return min(initial + (1 - initial) * age / max(settings.slow_start_duration, 1), 1)

    def draw(self, query: QueryState, warming: list[EngineState]) -> EngineState | None:
        """Return one of the warming engines with the probability that the budgets allow, else None."""
        self._accrue(warming)
        credits = [engine.slow_start_credit for engine in warming]
        spent_credit = min(sum(credits), query.statistics.mean_work)
        for engine in warming:
            engine.slow_start_credit *= 1 - spent_credit / max(sum(credits), MIN_CREDIT)
        if self.context.random.random() * query.statistics.mean_work < spent_credit:
            return self.context.random.choices(warming, credits)[0]
        return None

    def _accrue(self, warming: list[EngineState]) -> None:
        """Add the credit for the time since the last draw."""
        settings = self.context.settings
        now = self.context.now
        sharing_gateways = self.context.slow_start_gateway_count * min(SUBSET_IMBALANCE * self.subset_fraction, 1)
        for engine in warming:
            rate = (
                BUDGET_FRACTION
                * settings.slow_start_budget_multiple
                * self.capacity(engine)
                * engine.cores
                / sharing_gateways
            )
            since = max(engine.credit_updated_at, engine.started_at)
            engine.credit_updated_at = now
            engine.slow_start_credit = min(
                engine.slow_start_credit + rate * (now - since),
                rate * settings.slow_start_budget_window * MAX_CREDIT_WINDOWS,
            )
