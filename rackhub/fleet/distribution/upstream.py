"""A watcher's current stream, its pending attempt, and the search that decides when to try which upstream."""

import random

import msgspec

from rackhub.fleet.distribution.limits import MILLISECOND, SECOND, Limits
from rackhub.fleet.distribution.messages import Name, Number
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.schedule import NEVER
from rackhub.fleet.distribution.selection import Candidates

# Range of the random delay after which a watcher served by another zone tries its own zone again.
LOCAL_RETURN_DELAY = (10 * SECOND, 30 * SECOND)
# Range of the random delay after which a watcher served in its own zone tries its first choice again.
PREFERRED_RETURN_DELAY = (60 * SECOND, 180 * SECOND)


class Stream(msgspec.Struct):
    """The upstream from which changes are accepted.

    Times are microseconds. The stream's data was known to be the newest at `confirmed_at`.
    """

    name: Name
    session: Number
    last_received_at: int
    confirmed_at: int


class Attempt(msgspec.Struct, frozen=True):
    """A watch that is not answered yet."""

    name: Name
    session: Number
    deadline: int


class UpstreamSearch:
    """Decides which upstream to try and when.

    Without a stream it tries upstreams with growing delays until one answers. With a stream it tries others if the
    stream is stale, and from time to time a preferred one. The random return delays keep the watchers that another zone
    serves from coming back all at once.
    """

    def __init__(self, identity: Identity, limits: Limits, rng: random.Random, now: int) -> None:
        self._candidates = Candidates(identity.name, identity.zone, identity.upstreams, limits, rng)
        self._limits, self._rng = limits, rng
        self._retry_at = now
        self._retries = 0
        self._return_at = NEVER

    def failed(self, now: int, name: Name, stream: Stream | None) -> None:
        """Record that the upstream did not answer, or sent unusable data."""
        self._candidates.mark_unresponsive(name, now)
        self._back_off(now, stream)

    def rejected(self, now: int, name: Name, retry_after: int, stream: Stream | None) -> None:
        """Record that the upstream can't serve for `retry_after` microseconds."""
        self._candidates.mark_rejected(name, now, retry_after)
        self._back_off(now, stream)

    def stream_ended(self, now: int, name: Name) -> None:
        """Record that the stream has ended. Its upstream is not tried for a while, another one without delay."""
        self._candidates.mark_unresponsive(name, now)
        self._retry_at = now

    def retry_now(self, now: int) -> None:
        """Allow the next attempt without delay."""
        self._retry_at = now

    def served(self, now: int, name: Name) -> None:
        """Record that the upstream has answered and is now that of the stream."""
        self._candidates.mark_served(name)
        self._schedule_return(now, name)

    def reset_backoff(self) -> None:
        """Record that the stream is not stale, so that the next search starts with the shortest delay."""
        self._retries = 0

    def next_upstream(self, now: int, stream: Stream | None) -> Name | None:
        """Return the upstream to try now; None if there is none or it is not time yet."""
        if stream is None:
            return self._next_without_stream(now)
        if now >= stream.confirmed_at + self._limits.max_staleness:
            return self._candidates.choose_other(now, stream.name) if self._may_retry(now, stream) else None
        if now < self._return_at:
            return None
        self._schedule_return(now, stream.name)
        return self._candidates.choose_better(now, stream.name)

    def due(self, now: int, stream: Stream | None) -> int:
        """Return when to call `next_upstream` next."""
        if stream is None:
            return self._retry_at
        return min(max(stream.confirmed_at + self._limits.max_staleness, self._retry_at), self._return_at)

    def _next_without_stream(self, now: int) -> Name | None:
        if now < self._retry_at:
            return None
        name = self._candidates.choose(now)
        if name is None:
            self._retry_at = max(now + MILLISECOND, self._candidates.retry_at(now))
        return name

    def _may_retry(self, now: int, stream: Stream) -> bool:
        if now < self._retry_at:
            return False
        self._back_off(now, stream)
        return True

    def _back_off(self, now: int, stream: Stream | None) -> None:
        max_delay = self._limits.max_retry_delay if stream is None else self._limits.upstream_timeout
        delay = min(self._limits.min_retry_delay << min(self._retries, 16), max_delay)
        self._retry_at = now + int(delay * self._rng.uniform(0.5, 1.0))
        self._retries += 1

    def _schedule_return(self, now: int, name: Name) -> None:
        if self._candidates.rank(name) == 0:
            self._return_at = NEVER
            return
        span = PREFERRED_RETURN_DELAY if self._candidates.is_local(name) else LOCAL_RETURN_DELAY
        self._return_at = now + self._rng.randint(*span)
