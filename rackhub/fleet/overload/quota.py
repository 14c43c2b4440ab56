"""The share of one gateway in a fleet-wide resource: its equal share, less what it offers, plus what others offer.

Gateways hold each other's records at different ages. Two rules keep the sum of all shares at one or below, see the
proof in docs/design/overload.md. Each gateway publishes the minimum and maximum that it offered and wanted over the
last `hold` microseconds, and each computes with the more cautious bound. A silent gateway counts as offering nothing
and wanting everything.
"""

import math
from collections import deque
from collections.abc import Iterable

from rackhub.fleet.overload.records import FRACTION_ONE, Loan

HEADROOM = 1.25  # retained per unit of need, as a need grows before the others learn of it
RETAINED = 0.5  # fraction of the equal share that is never offered, so that first requests need not wait for gossip
BASE = 0.25  # fraction of the equal share that each wants in any case, so that unused shares go to all
STEP = 0.25  # relative change of the need that is published: a steady need costs nothing


class SlidingRange:
    """The minimum and maximum of a value over the last `hold` microseconds."""

    def __init__(self, hold: int, value: float = 0.0):
        self._hold, self.value = hold, value
        self._former: deque[tuple[int, float]] = deque()  # until when each former value held

    def set(self, now: int, value: float) -> None:
        """Set the value and drop former values older than `hold`."""
        if value != self.value:
            self._former.append((now, self.value))
            self.value = value
        while self._former and self._former[0][0] < now - self._hold:
            self._former.popleft()

    def record_until_now(self, now: int, value: float) -> None:
        """Count `value` as if it had held until now."""
        self._former.append((now, value))

    def bounds(self) -> tuple[float, float]:
        """Return the minimum and the maximum."""
        values = [self.value, *(value for _, value in self._former)]
        return min(values), max(values)


class Quota:
    """The share of one gateway in a resource divided by need: running threads, or retries."""

    def __init__(self, hold: int, retained: float = RETAINED):
        self.offered = SlidingRange(hold)
        self.wanted = SlidingRange(hold)
        self._retained = retained
        self._need = 0.0
        self._digest = 0

    def update_need(self, now: int, need: float, equal_share: float, digest: int, lacking: bool = True) -> None:
        """Update what this gateway would use, as a fraction of the whole.

        `digest` identifies the counted participants. When it changes, nothing is offered until every gateway that may
        still take by the previous record has lost it. Without `lacking` (another gateway needs more than its share)
        nothing is offered, as a loan costs both sides a part of it.
        """
        if digest != self._digest:
            self._digest = digest
            self.offered.record_until_now(now, 0.0)
        need = min(max(need, 0.0), 1.0)
        if abs(need - self._need) > STEP * max(self._need, equal_share):
            self._need = need
        keep = max(self._need * HEADROOM, equal_share * self._retained)
        self.offered.set(now, max(equal_share - keep, 0.0) if lacking else 0.0)
        self.wanted.set(now, min(max(keep - equal_share, BASE * equal_share), 1.0))

    @staticmethod
    def wants_more(loan: Loan, equal_share: float) -> bool:
        """Return whether the gateway that published `loan` wants more than each does in any case."""
        return loan.maximum_wanted > 1.5 * BASE * equal_share * FRACTION_ONE

    def loan(self) -> Loan:
        """Return the record to publish, rounded to the more cautious bound."""
        minimum_offered, maximum_offered = self.offered.bounds()
        minimum_wanted, maximum_wanted = self.wanted.bounds()
        return Loan(
            int(minimum_offered * FRACTION_ONE),
            min(math.ceil(maximum_offered * FRACTION_ONE), FRACTION_ONE),
            int(minimum_wanted * FRACTION_ONE),
            min(math.ceil(maximum_wanted * FRACTION_ONE), FRACTION_ONE),
        )

    def share(self, equal_share: float, peer_loans: Iterable[Loan | None]) -> float:
        """Return the share of this gateway.

        `peer_loans` has the loan of each other counted member, None if it is silent or counts other participants.
        """
        own = self.loan()
        keep = max(equal_share - own.maximum_offered / FRACTION_ONE, 0.0)
        pool, wants = own.minimum_offered, own.minimum_wanted
        for other in peer_loans:
            pool += other.minimum_offered if other is not None else 0
            wants += other.maximum_wanted if other is not None else FRACTION_ONE
        return keep + (pool / FRACTION_ONE) * own.minimum_wanted / wants if wants else keep
