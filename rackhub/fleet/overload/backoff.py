"""Retry-after delays, chosen so that returning requests fit into the free capacity of the fleet.

Each gateway reports the work that it rejected and that may not have returned yet. The sum, divided by the free capacity
of the fleet, is the time that serving it takes. Each tick draws a random delay around that time, so that requests that
were rejected in the same second do not all return in the same second.
"""

import random
from collections import deque

SECOND = 1_000_000
MINIMUM_FREE_FRACTION = 0.1  # fraction of the capacity that always counts as free; without it no client would return
MINIMUM_DELAY = SECOND // 10  # minimum time after which rejected work counts as returned
JITTER = 0.5  # maximum relative difference of the drawn delay from the computed time


class Backoff:
    """The retry-after delay of one gateway.

    `maximum` is the longest delay in microseconds; with 0 there is none.
    """

    def __init__(self, maximum: int, seed: int):
        self._maximum = maximum
        self._random = random.Random(seed)
        self._returning: deque[tuple[int, float]] = deque()  # time of return and thread-seconds, of rejected work
        self._rejected = 0.0  # thread-seconds since the last tick
        self.retry_work = 0.0  # thread-seconds that this gateway rejected and that may not have returned yet
        self.retry_after = 0  # delay for requests that are rejected now, in microseconds

    def add_rejected(self, work: float) -> None:
        """Count a rejected request of `work` thread-seconds."""
        self._rejected += work

    def tick(self, now: int, retry_work: float, capacity: float, demand: float) -> None:
        """Draw the next delay.

        `retry_work` is the sum over all gateways in thread-seconds; `capacity` and `demand` are in threads.
        """
        self._expire_retry_work(now)
        free = max(capacity - demand, MINIMUM_FREE_FRACTION * capacity, 1e-6)
        wait = retry_work / free * SECOND
        drawn = wait * self._random.uniform(1 - JITTER, 1 + JITTER)
        self.retry_after = int(min(max(drawn, 0), self._maximum)) if retry_work > 0 else 0

    def _expire_retry_work(self, now: int) -> None:
        """Add the work that was rejected since the last tick, and drop the work that is due to return."""
        if self._rejected:
            self._returning.append((now + max(self.retry_after, MINIMUM_DELAY), self._rejected))
            self.retry_work += self._rejected
            self._rejected = 0.0
        while self._returning and self._returning[0][0] <= now:
            _, work = self._returning.popleft()
            self.retry_work = max(self.retry_work - work, 0.0)
        if not self._returning:
            self.retry_work = 0.0
