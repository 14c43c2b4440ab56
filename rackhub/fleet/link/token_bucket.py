"""A bucket of tokens: a rate with a burst."""


class TokenBucket:
    """`rate` a second, at most `burst` at once; it begins full."""

    __slots__ = ("_rate", "_burst", "_tokens", "_updated_at")

    def __init__(self, rate: float, burst: float, now: int):
        self._rate, self._burst, self._tokens, self._updated_at = rate, burst, burst, now

    def take(self, now: int, count: float = 1.0) -> bool:
        if now > self._updated_at:
            self._tokens = min(self._burst, self._tokens + (now - self._updated_at) * self._rate / 1_000_000)
            self._updated_at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True
