"""The share of one gateway in a fleet-wide resource: its equal share, less its offer, plus its part of all offers.

The offers of all gateways are divided in proportion to what each wants. As each gateway has the others' records at a
different age, two rules keep the sum of all shares at one or below; the proof is in docs/design/overload.md. First,
each gateway publishes the minimum and maximum of its offer and want over the last `hold` microseconds. Its own offer
counts at the maximum and its own want at the minimum, the offers of others at their minimum and their wants at their
maximum. Second, an unresponsive gateway counts as offering nothing and wanting everything.
"""

import math
from collections import deque
from collections.abc import Iterable

from rackhub.fleet.overload.records import FRACTION_ONE, Loan

NEED_MARGIN = 1.25  # a gateway retains this multiple of its need, which may grow before the others learn of it
RETAINED = 0.5  # fraction of the equal share that is never offered, so that first requests need not wait for gossip
BASE_WANT = 0.25  # fraction of the equal share that each gateway always wants, so that unused shares go to all
# Minimum change of the need that is published, relative to the need, or to the equal share if that is larger.
MINIMUM_NEED_CHANGE = 0.25


class SlidingRange:
    """The minimum and maximum of a value over the last `hold` microseconds."""

    def __init__(self, hold: int, value: float = 0.0):
        self._hold, self.value = hold, value
        self._former: deque[tuple[int, float]] = deque()  # former values, each with the time of its end

    def set(self, now: int, value: float) -> None:
        """Set the value and drop former values older than `hold`."""
        if value != self.value:
            self._former.append((now, self.value))
            self.value = value
        while self._former and self._former[0][0] < now - self._hold:
            self._former.popleft()

    def record_until_now(self, now: int, value: float) -> None:
        """Count `value` as if it had been set until now."""
        self._former.append((now, value))

    def bounds(self) -> tuple[float, float]:
        """Return the minimum and the maximum."""
        values = [self.value, *(value for _, value in self._former)]
        return min(values), max(values)


class Quota:
    """The share of one gateway in a resource that is divided by need: running threads, or retries.

    `hold` is the time in microseconds over which the published bounds reach back. `retained` is the fraction of the
    equal share that is never offered.
    """

    def __init__(self, hold: int, retained: float = RETAINED):
        self.offered = SlidingRange(hold)
        self.wanted = SlidingRange(hold)
        self._retained = retained
        self._need = 0.0
        self._digest = 0

    def update_need(
        self, now: int, need: float, equal_share: float, digest: int, others_want_more: bool = True
    ) -> None:
        """Update the need of this gateway, as a fraction of the whole resource.

        `digest` identifies the counted participants. When it changes, the minimum offer is 0 until `hold` has passed,
        as others may still compute with a loan for the previous participants. `others_want_more`: another gateway wants
        more than its share. If none does, nothing is offered, as a part of each loan is lost: the lender deducts the
        maximum of its offer, and the others receive the minimum.
        """
        if digest != self._digest:
            self._digest = digest
            self.offered.record_until_now(now, 0.0)
        need = min(max(need, 0.0), 1.0)
        if abs(need - self._need) > MINIMUM_NEED_CHANGE * max(self._need, equal_share):
            self._need = need
        keep = max(self._need * NEED_MARGIN, equal_share * self._retained)
        self.offered.set(now, max(equal_share - keep, 0.0) if others_want_more else 0.0)
        self.wanted.set(now, min(max(keep - equal_share, BASE_WANT * equal_share), 1.0))

    @staticmethod
    def wants_more(loan: Loan, equal_share: float) -> bool:
        """Return whether the gateway that published `loan` wants more than one and a half times the base want."""
        return loan.maximum_wanted > 1.5 * BASE_WANT * equal_share * FRACTION_ONE

    def loan(self) -> Loan:
        """Return the loan to publish: minima are rounded down, maxima up."""
        minimum_offered, maximum_offered = self.offered.bounds()
        minimum_wanted, maximum_wanted = self.wanted.bounds()
        return Loan(
            int(minimum_offered * FRACTION_ONE),
            min(math.ceil(maximum_offered * FRACTION_ONE), FRACTION_ONE),
            int(minimum_wanted * FRACTION_ONE),
            min(math.ceil(maximum_wanted * FRACTION_ONE), FRACTION_ONE),
        )

    def share(self, equal_share: float, peer_loans: Iterable[Loan | None]) -> float:
        """Return the share of this gateway: what it retains, and its part of the pool of all offers.

        `peer_loans` has the loan of each other participant: None if it has no recent load record, or if it counts
        different participants than this gateway.
        """
        local = self.loan()
        keep = max(equal_share - local.maximum_offered / FRACTION_ONE, 0.0)
        pool, wants = local.minimum_offered, local.minimum_wanted
        for other in peer_loans:
            pool += other.minimum_offered if other is not None else 0
            wants += other.maximum_wanted if other is not None else FRACTION_ONE
        return keep + (pool / FRACTION_ONE) * local.minimum_wanted / wants if wants else keep
