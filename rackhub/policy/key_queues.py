"""Queries of classes that run one at a time for each key. All times are microseconds."""

from collections import deque
from collections.abc import Callable

from rackhub.policy.context import RouterContext
from rackhub.policy.state import QueryState


class KeyQueues:
    """One queue for each key; only its first query is in flight."""

    def __init__(self, context: RouterContext, dispatch: Callable[[QueryState], None]) -> None:
        self.context = context
        self.dispatch = dispatch
        self.queues: dict[int | None, deque[QueryState]] = {}
        self.blocked_until: dict[int | None, int] = {}

    def add(self, query: QueryState) -> None:
        """Append a query to the queue of its key, and send it if it is the first."""
        key = query.event.key
        self.queues.setdefault(key, deque()).append(query)
        self.advance(key)

    def block(self, key: int | None) -> None:
        """Keep the next query of a key back, as an attempt before it may still be running."""
        self.blocked_until[key] = self.context.now + self.context.settings.serial_key_delay

    def advance(self, key: int | None) -> None:
        """Drop closed queries with nothing in flight from the front, and send the next one."""
        queue = self.queues.get(key)
        while queue and queue[0].closed and not queue[0].in_flight:
            queue.popleft()
        if not queue:
            self.queues.pop(key, None)
            return
        first = queue[0]
        if first.attempts or first.closed:
            return
        now = self.context.now
        blocked_until = self.blocked_until.get(key, -1)
        if blocked_until >= now:
            self.context.schedule(blocked_until + 1 - now, self.advance, key)
            return
        self.blocked_until.pop(key, None)
        self.dispatch(first)
