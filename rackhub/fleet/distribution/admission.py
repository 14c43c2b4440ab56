"""How many watchers a server takes, and how many of them it answers a second."""

import random

from rackhub.fleet.distribution.limits import MILLISECOND, SECOND, Limits

MAX_RETRY_DELAY = 5 * SECOND  # that a watcher is told to wait for its turn
FULL_RETRY_DELAY = 2 * SECOND  # that it is told to wait where there is no turn to come


class TokenBucket:
    """So many a second, and as many at once. Who is refused is given a turn, each a later one, so that those who were
    refused together don't all come back together."""

    def __init__(self, rate: float, now: int) -> None:
        self._rate = rate
        self._burst = max(rate, 1.0)
        self._tokens = self._burst
        self._refilled_at = now
        self._last_retry_at = now

    def take(self, now: int) -> bool:
        """Whether there is a token; it is used up."""
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate / SECOND)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def next_retry_delay(self, now: int) -> int:
        """In how many microseconds the one who is refused now should ask again."""
        self._last_retry_at = max(self._last_retry_at, now) + int(SECOND / self._rate)
        if self._last_retry_at - now > MAX_RETRY_DELAY:
            self._last_retry_at = now  # the queue is longer than the longest wait: those come back a second time
            return MAX_RETRY_DELAY
        return self._last_retry_at - now


class Admission:
    """Decides on each watch. Answers are waits in milliseconds; 0: it is taken."""

    def __init__(self, limits: Limits, zone: str, rng: random.Random, now: int) -> None:
        """`zone`: watchers of others are guests; empty: nobody is one."""
        self._limits, self._zone, self._rng = limits, zone, rng
        self._watch_tokens = TokenBucket(limits.max_watches_per_s, now)
        self._snapshot_tokens = TokenBucket(limits.max_snapshots_per_s, now)

    def is_foreign(self, zone: str) -> bool:
        return bool(self._zone) and zone != self._zone

    def capacity_delay(self, watchers: int, foreign_watchers: int, zone: str) -> int:
        """For a watcher that is not yet among so many."""
        if (
            watchers >= self._limits.max_watchers
            or self.is_foreign(zone)
            and foreign_watchers >= self._limits.max_foreign_watchers
        ):
            return self._jittered_ms(FULL_RETRY_DELAY)
        return 0

    def watch_delay(self, now: int) -> int:
        return 0 if self._watch_tokens.take(now) else self._jittered_ms(self._watch_tokens.next_retry_delay(now))

    def snapshot_delay(self, now: int) -> int:
        return 0 if self._snapshot_tokens.take(now) else self._jittered_ms(self._snapshot_tokens.next_retry_delay(now))

    def _jittered_ms(self, delay: int) -> int:
        return 1 + int(delay * self._rng.uniform(1.0, 1.25)) // MILLISECOND
