"""The upstream that a watcher has, the one that it asks, and the search: when to ask which one next."""

import random

import msgspec

from rackhub.fleet.distribution.agenda import NEVER
from rackhub.fleet.distribution.limits import MILLISECOND, SECOND, Limits
from rackhub.fleet.distribution.messages import Name, Number
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.selection import Candidates

RETURN_HOME = (10 * SECOND, 30 * SECOND)  # until a guest asks at home again, drawn anew each time
RETURN_FIRST = (60 * SECOND, 180 * SECOND)  # until one at home asks its first choice again


class Stream(msgspec.Struct):
    """The upstream that changes are taken from. `confirmed_at`: as of when it knew that it had the newest."""

    name: Name
    session: Number
    heard_at: int
    confirmed_at: int


class Attempt(msgspec.Struct, frozen=True):
    """A watch that is not answered yet."""

    name: Name
    session: Number
    until: int


class Search:
    """Without a stream it asks until one answers, the waits growing. With one it asks others where that one is stale,
    and now and then a better one. A watcher that is served elsewhere comes home at a time of its own drawing."""

    def __init__(self, identity: Identity, limits: Limits, chance: random.Random, now: int) -> None:
        self._candidates = Candidates(identity.name, identity.zone, identity.upstreams, limits, chance)
        self._limits, self._chance = limits, chance
        self._retry_at = now
        self._retries = 0
        self._return_at = NEVER

    def failed(self, now: int, name: Name, stream: Stream | None) -> None:
        """It did not answer, or not what can be used."""
        self._candidates.silent(name, now)
        self._wait(now, stream)

    def refused(self, now: int, name: Name, retry_after: int, stream: Stream | None) -> None:
        """It can't serve for so many microseconds."""
        self._candidates.refused(name, now, retry_after)
        self._wait(now, stream)

    def left(self, now: int, name: Name) -> None:
        """It served and does no more: another one is asked at once."""
        self._candidates.silent(name, now)
        self._retry_at = now

    def at_once(self, now: int) -> None:
        self._retry_at = now

    def served(self, now: int, name: Name) -> None:
        """It answers, and is the stream's from now on."""
        self._candidates.served(name)
        self._plan_return(now, name)

    def fresh(self) -> None:
        """The stream is not stale: the next search starts with the shortest wait."""
        self._retries = 0

    def next(self, now: int, stream: Stream | None) -> Name | None:
        """Whom to ask now, if anyone."""
        if stream is None:
            return self._next_without_stream(now)
        if now >= stream.confirmed_at + self._limits.max_staleness:
            return self._candidates.choose_other(now, stream.name) if self._may_retry(now, stream) else None
        if now < self._return_at:
            return None
        self._plan_return(now, stream.name)
        return self._candidates.choose_better(now, stream.name)

    def due(self, now: int, stream: Stream | None) -> int:
        """When `next` is of use."""
        if stream is None:
            return self._retry_at
        return min(max(stream.confirmed_at + self._limits.max_staleness, self._retry_at), self._return_at)

    def _next_without_stream(self, now: int) -> Name | None:
        if now < self._retry_at:
            return None
        name = self._candidates.choose(now)
        if name is None:
            self._retry_at = max(now + MILLISECOND, self._candidates.waits(now))
        return name

    def _may_retry(self, now: int, stream: Stream) -> bool:
        if now < self._retry_at:
            return False
        self._wait(now, stream)
        return True

    def _wait(self, now: int, stream: Stream | None) -> None:
        most = self._limits.max_retry_delay if stream is None else self._limits.upstream_timeout
        wait = min(self._limits.min_retry_delay << min(self._retries, 16), most)
        self._retry_at = now + int(wait * self._chance.uniform(0.5, 1.0))
        self._retries += 1

    def _plan_return(self, now: int, name: Name) -> None:
        if self._candidates.rank(name) == 0:
            self._return_at = NEVER
            return
        span = RETURN_FIRST if self._candidates.is_home(name) else RETURN_HOME
        self._return_at = now + self._chance.randint(*span)
