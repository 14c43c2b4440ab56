"""How many watchers a server takes, and how many of them it answers a second."""

import random

from rackhub.fleet.distribution.limits import MILLISECOND, SECOND, Limits

LONGEST_WAIT = 5 * SECOND  # that a watcher is told to wait for its turn
FULL_WAIT = 2 * SECOND  # that it is told to wait where there is no turn to come


class TokenBucket:
    """So many a second, and as many at once. Who is refused is given a turn, each a later one, so that those who were
    refused together don't all come back together."""

    def __init__(self, rate: float, now: int) -> None:
        self._rate = rate
        self._burst = max(rate, 1.0)
        self._tokens = self._burst
        self._filled = now
        self._last_turn = now

    def take(self, now: int) -> bool:
        """Whether there is a token; it is used up."""
        self._tokens = min(self._burst, self._tokens + (now - self._filled) * self._rate / SECOND)
        self._filled = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def turn(self, now: int) -> int:
        """In how many microseconds the one who is refused now should ask again."""
        self._last_turn = max(self._last_turn, now) + int(SECOND / self._rate)
        if self._last_turn - now > LONGEST_WAIT:
            self._last_turn = now  # the queue is longer than the longest wait: those come back a second time
            return LONGEST_WAIT
        return self._last_turn - now


class Admission:
    """Decides on each watch. Answers are waits in milliseconds; 0: it is taken."""

    def __init__(self, limits: Limits, zone: str, chance: random.Random, now: int) -> None:
        """`zone`: watchers of others are guests; empty: nobody is one."""
        self._limits, self._zone, self._chance = limits, zone, chance
        self._newcomers = TokenBucket(limits.max_watches_per_s, now)
        self._snapshots = TokenBucket(limits.max_snapshots_per_s, now)

    def is_guest(self, zone: str) -> bool:
        return bool(self._zone) and zone != self._zone

    def room(self, watchers: int, guests: int, zone: str) -> int:
        """For a watcher that is not yet among so many."""
        if watchers >= self._limits.max_watchers or self.is_guest(zone) and guests >= self._limits.max_foreign_watchers:
            return self._spread(FULL_WAIT)
        return 0

    def newcomer(self, now: int) -> int:
        return 0 if self._newcomers.take(now) else self._spread(self._newcomers.turn(now))

    def snapshot(self, now: int) -> int:
        return 0 if self._snapshots.take(now) else self._spread(self._snapshots.turn(now))

    def _spread(self, wait: int) -> int:
        return 1 + int(wait * self._chance.uniform(1.0, 1.25)) // MILLISECOND
