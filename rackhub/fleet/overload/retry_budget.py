"""Further attempts: one budget for the fleet, a part of what it serves and one floor, shared by need.

A gateway's part of it is lent and taken like the running share (`share`), so the parts of all never pass one. What it
gets it gathers for a short while; less than one whole attempt is drawn for, so that a small part is neither lost nor
rounded up at each of many gateways.
"""

import random

from rackhub import interface as t
from rackhub.fleet.overload.quota import Quota

SECOND = 1_000_000
RATIO, FLOOR, OVER = 0.1, 3.0, 10 * SECOND  # where the site tells none: of what is served, and so many in so long
KEPT = 0.1  # of its even slice, that a gateway that needs none keeps: one more attempt is less than a request refused
GATHERED = SECOND  # worth of its part that a gateway keeps
SPARE = 1.5  # of what was wished for lately, is wished for
DEBT = 2.0  # most that may be owed: what two callers took at the same moment


class RetryBudget:
    """One gateway's further attempts."""

    def __init__(self, settings: t.Settings, hold: int, seed: int):
        told = settings.retry_budget_ratio is not None or settings.retry_budget_minimum is not None
        self._ratio = (settings.retry_budget_ratio or 0.0) if told else RATIO
        self._floor = (settings.retry_budget_minimum or 0.0) if told else FLOOR
        self._over = settings.retry_budget_window or OVER
        self._random = random.Random(seed)
        self.quota = Quota(hold, KEPT)
        self.budget = self.rate = 0.0  # a second: the fleet's, and this gateway's part of it
        self._accrued = 0.0  # less than a whole one
        self.available = 0.0  # whole ones that may be spent now

    def tick(
        self, now: int, took: int, served: float, wanted: float, even: float, digest: int, lacking: bool = True
    ) -> None:
        """`served`: by the fleet in a second, of those that are heard; `wanted`: by this gateway; the rest as in
        `share`."""
        self.budget = self._ratio * served + self._floor * SECOND / self._over
        need = wanted * SPARE / self.budget if self.budget else 0.0
        self.quota.update_need(now, need, even, digest, lacking)
        self._accrued += self.rate * took / SECOND

    def set_share(self, part: float, wanting: bool) -> None:
        """What this gateway's part of the budget is from now on; `wanting`: whether any is wished for, so that what
        is less than one is worth a draw."""
        self.rate = self.budget * part
        most = self.rate * GATHERED / SECOND
        room = max(most, 1.0) - max(self.available, 0.0)
        self._accrued = min(self._accrued, max(room, 0.0), max(most, 0.0))
        whole = int(self._accrued)
        if wanting and self.available < 1 and not whole:  # won or lost, what was gathered is staked
            self.available += self._random.random() < self._accrued
            self._accrued = 0.0
        self._accrued -= whole
        self.available += whole

    def spend(self) -> None:
        self.available = max(self.available - 1, -DEBT)

    def try_spend(self) -> bool:
        """One for work beside the module's; False: there is none now."""
        if self.available < 1:
            return False
        self.spend()
        return True
