"""What one gateway may run of what all may: its even slice, less what it leaves, and a part of what others leave.

Views differ: each gateway holds the others' records at another age. Two rules keep the sum of all parts at one or
below, proved in docs/design/overload.md. Each tells the least and the most that it left and wanted over the last
`hold`; of itself it counts the worse end and of the others the worse end of theirs, so all reckon no better than with
what was true `age` ago. And whoever is silent leaves nothing and wants everything.
"""

import math
from collections import deque
from collections.abc import Iterable

from rackhub.fleet.overload.records import PART, Loan

HEADROOM = 1.25  # of what a gateway needs is what it keeps: needs grow before others can hear of it
KEPT = 0.5  # of its even slice it always keeps: what comes first must not wait for the fleet's word
BASE = 0.25  # of its even slice, that each wants past it whatever it needs: what no one lacks goes to all
STEP = 0.25  # a need moves what is told once it is off by so much: what stands still costs nothing


class SlidingRange:
    """The least and the most of a value over the last `hold` microseconds."""

    def __init__(self, hold: int, value: float = 0.0):
        self._hold, self.value = hold, value
        self._former: deque[tuple[int, float]] = deque()  # until when each former value held

    def set(self, now: int, value: float) -> None:
        if value != self.value:
            self._former.append((now, self.value))
            self.value = value
        while self._former and self._former[0][0] < now - self._hold:
            self._former.popleft()

    def record_until_now(self, now: int, value: float) -> None:
        """As if it had been this until now."""
        self._former.append((now, value))

    def bounds(self) -> tuple[float, float]:
        values = [self.value, *(value for _, value in self._former)]
        return min(values), max(values)


class Quota:
    """One gateway's part of a whole that is split by need: running threads, or further attempts."""

    def __init__(self, hold: int, kept: float = KEPT):
        self.offered, self.wanted, self._retained = SlidingRange(hold), SlidingRange(hold), kept
        self._need, self._digest = 0.0, 0

    def update_need(self, now: int, need: float, even: float, digest: int, lacking: bool = True) -> None:
        """What this gateway would use, as a part of the whole, its even slice, and whom it counts. When that changes,
        nothing is left to anyone until all who may still take by the record before have lost it. `lacking`: whether
        another one wants more than all do: else each keeps its slice, as what is lent costs both sides some of it."""
        if digest != self._digest:
            self._digest = digest
            self.offered.record_until_now(now, 0.0)
        need = min(max(need, 0.0), 1.0)
        if abs(need - self._need) > STEP * max(self._need, even):
            self._need = need
        keep = max(self._need * HEADROOM, even * self._retained)
        self.offered.set(now, max(even - keep, 0.0) if lacking else 0.0)
        self.wanted.set(now, min(max(keep - even, BASE * even), 1.0))

    @staticmethod
    def wants_more(told: Loan, even: float) -> bool:
        """Whether one that told this lacks more than what each wants in any case."""
        return told.maximum_wanted > 1.5 * BASE * even * PART

    def loan(self) -> Loan:
        """Rounded to the worse end."""
        (least_left, most_left), (least_want, most_want) = self.offered.bounds(), self.wanted.bounds()
        return Loan(
            int(least_left * PART),
            min(math.ceil(most_left * PART), PART),
            int(least_want * PART),
            min(math.ceil(most_want * PART), PART),
        )

    def share(self, even: float, others: Iterable[Loan | None]) -> float:
        """`others`: of each counted member but this one what it told, None if it is silent or counts others."""
        own = self.loan()
        keep = max(even - own.maximum_offered / PART, 0.0)
        pool, wants = own.minimum_offered, own.minimum_wanted
        for other in others:
            pool += other.minimum_offered if other is not None else 0
            wants += other.maximum_wanted if other is not None else PART
        return keep + (pool / PART) * own.minimum_wanted / wants if wants else keep
