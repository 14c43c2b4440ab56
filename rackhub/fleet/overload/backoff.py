"""Retry-after delays, chosen so that returning requests fit the free capacity of all gateways together.

Each gateway reports the work that it rejected and that may not have returned yet. The sum over the free capacity of the
fleet is the time that serving it takes. Each tick draws a delay around that time, so that requests that were rejected
in the same second do not all return in the same second.
"""

import random
from collections import deque

SECOND = 1_000_000
MINIMUM_FREE_FRACTION = 0.1  # of the capacity: with none counted as free, no client would ever return
MINIMUM_DELAY = SECOND // 10
JITTER = 0.5


class Backoff:
    """The retry-after delay of one gateway.

    `maximum` is the longest delay in microseconds; with 0 there is none.
    """

    def __init__(self, maximum: int, seed: int):
        self._maximum = maximum
        self._random = random.Random(seed)
        self._retry_due: deque[tuple[int, float]] = deque()  # due time and thread-seconds
        self._rejected = 0.0  # thread-seconds since the last tick
        self.retry_work = 0.0
        self.retry_after = 0  # delay given to requests rejected now, microseconds

    def add_rejected(self, work: float) -> None:
        """Count a rejected request of `work` thread-seconds."""
        self._rejected += work

    def tick(self, now: int, retry_work: float, capacity: float, demand: float) -> None:
        """Draw the next delay.

        `retry_work` is in thread-seconds over all gateways, `capacity` and `demand` are in threads.
        """
        self._expire_retry_work(now)
        free = max(capacity - demand, MINIMUM_FREE_FRACTION * capacity, 1e-6)
        wait = retry_work / free * SECOND
        drawn = wait * self._random.uniform(1 - JITTER, 1 + JITTER)
        self.retry_after = int(min(max(drawn, 0), self._maximum)) if retry_work > 0 else 0

    def _expire_retry_work(self, now: int) -> None:
        """Add what was rejected since the last tick and drop what is due back."""
        if self._rejected:
            self._retry_due.append((now + max(self.retry_after, MINIMUM_DELAY), self._rejected))
            self.retry_work += self._rejected
            self._rejected = 0.0
        while self._retry_due and self._retry_due[0][0] <= now:
            _, work = self._retry_due.popleft()
            self.retry_work = max(self.retry_work - work, 0.0)
        if not self._retry_due:
            self.retry_work = 0.0
