"""The retry budget of the fleet: a fraction of the served requests and a floor, divided by need.

It is divided like threads (see `quota`), so the sum of all shares never exceeds one. A gateway accrues its share for a
short time. A random draw decides on a fraction of one retry, so that a small share is neither lost nor rounded up at
each of many gateways.
"""

import random

from rackhub import interface as t
from rackhub.fleet.overload.quota import Quota

SECOND = 1_000_000
# defaults if the site configures no budget
RATIO = 0.1  # retries per served request
FLOOR = 3.0  # retries per window, whatever is served
WINDOW = 10 * SECOND
RETAINED = 0.1  # fraction of the equal share that an idle gateway keeps: a late retry costs less than a rejection
ACCRUAL_TIME = SECOND  # maximum time for which a gateway accrues its share
NEED_MARGIN = 1.5  # need per recently wanted retry
MAXIMUM_DEBT = 2.0  # maximum number of retries on credit: two callers may spend at the same moment


class RetryBudget:
    """The retries of one gateway."""

    def __init__(self, settings: t.Settings, hold: int, seed: int):
        configured = settings.retry_budget_ratio is not None or settings.retry_budget_minimum is not None
        self._ratio = (settings.retry_budget_ratio or 0.0) if configured else RATIO
        self._floor = (settings.retry_budget_minimum or 0.0) if configured else FLOOR
        self._window = settings.retry_budget_window or WINDOW
        self._random = random.Random(seed)
        self.quota = Quota(hold, RETAINED)
        self.budget = self.rate = 0.0  # retries per second: of the fleet, and the share of this gateway
        self._accrued = 0.0  # accrued fraction of a retry
        self.available = 0.0  # number of whole retries that may be spent now

    def tick(
        self,
        now: int,
        elapsed: int,
        served: float,
        wanted: float,
        equal_share: float,
        digest: int,
        others_want_more: bool = True,
    ) -> None:
        """Update the budget and accrue this gateway's share.

        `elapsed` is in microseconds. `served` is the rate of all reachable gateways and `wanted` the number of retries
        that this gateway wants, both per second. The other arguments are those of `Quota.update_need`.
        """
        self.budget = self._ratio * served + self._floor * SECOND / self._window
        need = wanted * NEED_MARGIN / self.budget if self.budget else 0.0
        self.quota.update_need(now, need, equal_share, digest, others_want_more)
        self._accrued += self.rate * elapsed / SECOND

    def set_share(self, share: float, wanting: bool) -> None:
        """Set this gateway's share of the budget.

        `wanting`: retries are wanted, so that a random draw decides on an accrued fraction of one.
        """
        self.rate = self.budget * share
        maximum = self.rate * ACCRUAL_TIME / SECOND
        capacity = max(maximum, 1.0) - max(self.available, 0.0)
        self._accrued = min(self._accrued, max(capacity, 0.0), max(maximum, 0.0))
        whole = int(self._accrued)
        if wanting and self.available < 1 and not whole:  # the draw uses up the fraction, won or lost
            self.available += self._random.random() < self._accrued
            self._accrued = 0.0
        self._accrued -= whole
        self.available += whole

    def spend(self) -> None:
        """Spend one retry, on credit if none is available."""
        self.available = max(self.available - 1, -MAXIMUM_DEBT)

    def try_spend(self) -> bool:
        """Spend one retry if one is available; return whether it was."""
        if self.available < 1:
            return False
        self.spend()
        return True
