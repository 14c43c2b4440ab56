"""Admission of watchers to a server: limits on their number and on the rate of new watches and snapshots."""

import random

from rackhub.fleet.distribution.limits import MILLISECOND, SECOND, Limits

MAX_RETRY_DELAY = 5 * SECOND  # longest delay that a rejected watcher gets, in microseconds
# Delay for a watcher rejected because the server is full, in microseconds. It does not depend on a rate.
FULL_RETRY_DELAY = 2 * SECOND


class TokenBucket:
    """A token bucket with `rate` tokens per second and a burst of the same size.

    Each rejected caller gets a later retry time than the one before, so that callers rejected together don't retry
    together.
    """

    def __init__(self, rate: float, now: int) -> None:
        self._rate = rate
        self._burst = max(rate, 1.0)
        self._tokens = self._burst
        self._refilled_at = now
        self._last_retry_at = now

    def take(self, now: int) -> bool:
        """Use up one token. Return False if there is none."""
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate / SECOND)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def next_retry_delay(self, now: int) -> int:
        """Return after how many microseconds a rejected caller should retry."""
        self._last_retry_at = max(self._last_retry_at, now) + int(SECOND / self._rate)
        if self._last_retry_at - now > MAX_RETRY_DELAY:
            # More callers wait than can be served within MAX_RETRY_DELAY. Start again from now; some will be rejected
            # again.
            self._last_retry_at = now
            return MAX_RETRY_DELAY
        return self._last_retry_at - now


class Admission:
    """Decides whether a watch is admitted. The methods return a retry delay in milliseconds; 0 means admitted."""

    def __init__(self, limits: Limits, zone: str, rng: random.Random, now: int) -> None:
        """`zone` is that of the server; watchers of other zones are foreign. If it is empty, no watcher is foreign."""
        self._limits, self._zone, self._rng = limits, zone, rng
        self._watch_tokens = TokenBucket(limits.max_watches_per_s, now)
        self._snapshot_tokens = TokenBucket(limits.max_snapshots_per_s, now)

    def is_foreign(self, zone: str) -> bool:
        """Return whether a watcher of this zone is foreign to the server."""
        return bool(self._zone) and zone != self._zone

    def capacity_delay(self, watchers: int, foreign_watchers: int, zone: str) -> int:
        """Return the delay for a new watcher in addition to the current ones; 0 if there is capacity."""
        if (
            watchers >= self._limits.max_watchers
            or self.is_foreign(zone)
            and foreign_watchers >= self._limits.max_foreign_watchers
        ):
            return self._jittered_ms(FULL_RETRY_DELAY)
        return 0

    def watch_delay(self, now: int) -> int:
        """Return the delay by the rate limit on new watches; 0 if the watch is within it."""
        return 0 if self._watch_tokens.take(now) else self._jittered_ms(self._watch_tokens.next_retry_delay(now))

    def snapshot_delay(self, now: int) -> int:
        """Return the delay by the rate limit on snapshots; 0 if a snapshot may be sent now."""
        return 0 if self._snapshot_tokens.take(now) else self._jittered_ms(self._snapshot_tokens.next_retry_delay(now))

    def _jittered_ms(self, delay: int) -> int:
        return 1 + int(delay * self._rng.uniform(1.0, 1.25)) // MILLISECOND
