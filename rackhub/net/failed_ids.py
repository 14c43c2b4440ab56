"""Remembers on which connections to engines the ids of recent requests have failed.

An answer that crossed the cancellation of an attempt, or a late duplicate of its answer, would be mistaken for the
answer to a new attempt of the same id on the same connection. A request that is still open knows its failed connections
itself (`Query.failed_connections`). This table is for ids whose request has ended, in case a client uses one again.
"""

import itertools

from rackhub.core.timers import Clock
from rackhub.limits import Limits


class FailedIds:
    """The ids that failed within `limits.failed_id_retention`, at most `limits.max_failed_ids` for all connections."""

    def __init__(self, clock: Clock, limits: Limits) -> None:
        self._clock = clock
        self._limits = limits
        self._connection_numbers = itertools.count(1)
        self._failed_at: dict[tuple[int, bytes], int] = {}  # (connection number, id) -> time, oldest first

    def __len__(self) -> int:
        return len(self._failed_at)

    def new_connection(self) -> int:
        """Return the number of a new connection."""
        return next(self._connection_numbers)

    def add(self, connection: int, id: bytes) -> None:
        """Remember that an attempt with this id has failed on a connection."""
        key = (connection, id)
        self._failed_at.pop(key, None)
        self._failed_at[key] = self._clock.now()
        if len(self._failed_at) > self._limits.max_failed_ids:
            del self._failed_at[next(iter(self._failed_at))]

    def contains(self, connection: int, id: bytes) -> bool:
        """Return whether an attempt with this id has failed on a connection recently."""
        self._expire()
        return (connection, id) in self._failed_at

    def clear(self) -> None:
        """Forget all ids."""
        self._failed_at.clear()

    def _expire(self) -> None:
        oldest_kept = self._clock.now() - self._limits.failed_id_retention
        while self._failed_at and self._failed_at[oldest := next(iter(self._failed_at))] < oldest_kept:
            del self._failed_at[oldest]
