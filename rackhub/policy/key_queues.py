"""Queues for classes whose queries are executed one at a time per key. All times are microseconds."""

from collections import deque
from collections.abc import Callable

from rackhub.policy.context import RouterContext
from rackhub.policy.state import QueryState


class KeyQueues:
    """One queue per key, of which only the first query is in flight."""

    def __init__(self, context: RouterContext, dispatch: Callable[[QueryState], None]) -> None:
        self.context = context
        self.dispatch = dispatch
        self.queues: dict[int | None, deque[QueryState]] = {}
        self.blocked_until: dict[int | None, int] = {}  # in the order of the times

    def add(self, query: QueryState) -> None:
        """Append a query to the queue of its key, and dispatch it if it is the first."""
        key = query.event.key
        self.queues.setdefault(key, deque()).append(query)
        self.advance(key)

    def block(self, key: int | None) -> None:
        """Delay the next query of a key, because an earlier attempt may still be executing."""
        self._remove_expired_blocks()
        self.blocked_until.pop(key, None)
        self.blocked_until[key] = self.context.now + self.context.settings.serial_key_delay

    def _remove_expired_blocks(self) -> None:
        """Forget the keys that are no longer blocked, of which no query may come any more."""
        while self.blocked_until and self.blocked_until[first := next(iter(self.blocked_until))] < self.context.now:
            del self.blocked_until[first]

    def advance(self, key: int | None) -> None:
        """Remove closed queries without attempts in flight from the front, and dispatch the next query."""
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
