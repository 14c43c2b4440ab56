"""When what is refused now should come back: so that what returns fits what is free, at all gateways together.

The work that was turned away and may not have returned yet is told by each; all of it, over what the fleet has free, is
how long it takes to serve it. Each tick draws from half of that to one and a half: what one second turned away does not
come back in one second.
"""

import random
from collections import deque

SECOND = 1_000_000
FREE = 0.1  # of what the fleet can do, that is counted as free at the least: or nobody would return
LEAST = SECOND // 10
SPREAD = 0.5


class Backoff:
    """`most`: the longest back-off that may be told, microseconds; 0: none is."""

    def __init__(self, most: int, seed: int):
        self._maximum = most
        self._random = random.Random(seed)
        self._retry_due: deque[tuple[int, float]] = deque()  # when work is due back, thread-seconds
        self._rejected = 0.0  # since the tick
        self.retry_work = 0.0
        self.retry_after = 0  # what is refused now is told to stay away for, microseconds

    def add_rejected(self, work: float) -> None:
        """Work of so many thread-seconds was turned away just now."""
        self._rejected += work

    def tick(self, now: int, away: float, capacity: float, demand: float) -> None:
        """`away`: thread-seconds at all gateways; `demand`: threads asked of `capacity`."""
        if self._rejected:
            self._retry_due.append((now + max(self.retry_after, LEAST), self._rejected))
            self.retry_work += self._rejected
            self._rejected = 0.0
        while self._retry_due and self._retry_due[0][0] <= now:
            self.retry_work = max(self.retry_work - self._retry_due.popleft()[1], 0.0)
        if not self._retry_due:
            self.retry_work = 0.0
        free = max(capacity - demand, FREE * capacity, 1e-6)
        wait = away / free * SECOND
        drawn = wait * self._random.uniform(1 - SPREAD, 1 + SPREAD)
        self.retry_after = int(min(max(drawn, 0), self._maximum)) if away > 0 else 0
