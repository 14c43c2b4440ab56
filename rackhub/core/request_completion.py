"""The end of a request: its one answer, its counts, and the ports that are notified of it."""

from collections.abc import Callable
from typing import Any

from rackhub import interface, logs
from rackhub.core.request import Attempt, Query, RequestOutcome
from rackhub.core.state import ClassCounter, CoordinatorState
from rackhub.interface import Outcome

log = logs.logger(__name__)

# Python 3.11 looks up an enum's member by a slow call: each request would pay for some.
SERVED = RequestOutcome.SERVED

CLASS_COUNTERS = {
    RequestOutcome.SERVED: ClassCounter.SERVED,
    RequestOutcome.REJECTED: ClassCounter.REJECTED,
    RequestOutcome.FAILED: ClassCounter.FAILED,
}


class RequestCompletion:
    """Completes requests, and remembers the ids of the last ones."""

    def __init__(self, state: CoordinatorState, give_up: Callable[[Attempt, Outcome], None]) -> None:
        """`give_up` stops an attempt that has not left for its engine."""
        self._state = state
        self._give_up = give_up
        self._recent_ids: dict[str, None] = {}  # oldest first

    def is_recent(self, id: str) -> bool:
        """Whether a request of this id was completed lately."""
        return id in self._recent_ids

    def complete(self, query: Query, outcome: RequestOutcome, *details: Any) -> bool:
        """End a request once: answer its client with `details`, and give up what has not left for it.

        Returns False if the request was completed before; then nothing happens.
        """
        if query.closed:
            return False
        query.closed = True
        self._remember(query.id)
        self._count(query, outcome)
        if self._state.queries.get(query.id) is query:  # else it was rejected before it was admitted
            self._release(query, outcome)
        self._answer(query, outcome, details)
        for attempt in [attempt for attempt in query.in_flight.values() if attempt.unsent]:
            self._give_up(attempt, Outcome.NOT_EXECUTED)
        if not self._state.queries and self._state.on_idle:
            self._state.on_idle()
        return True

    def reject(self, action: interface.Reject) -> None:
        """Carry out the policy's rejection of a request."""
        if query := self._state.queries.get(action.query):
            log.debug("request_rejected", request=query.id, reason=action.reason, retry_after_us=action.retry_after)
            self.complete(query, RequestOutcome.REJECTED, action.retry_after)

    def fail(self, action: interface.Fail) -> None:
        """Carry out the policy's decision that a request has failed and can't be repeated."""
        if query := self._state.queries.get(action.query):
            log.debug("request_failed", request=query.id, reason=action.reason)
            self.complete(query, RequestOutcome.FAILED, "failed: its effect is not known")

    def _remember(self, id: str) -> None:
        # A faulty client may use one id for hundreds of requests, each cancelled at once.
        self._recent_ids[id] = None
        if len(self._recent_ids) > self._state.limits.max_recent_ids:
            del self._recent_ids[next(iter(self._recent_ids))]

    def _count(self, query: Query, outcome: RequestOutcome) -> None:
        self._state.counters.add(outcome)
        log.debug("request_ended", request=query.id, how=outcome, attempts=query.attempts)
        if (counter := CLASS_COUNTERS.get(outcome)) is not None:
            self._state.count_by_class(query.cls, counter)

    def _release(self, query: Query, outcome: RequestOutcome) -> None:
        """Remove a request from the open ones and notify the ports."""
        state = self._state
        del state.queries[query.id]
        state.statement_bytes -= len(query.statement)
        if state.request_journal is not None and query.idempotency_key:
            state.request_journal.request_completed(query, outcome)
        if query.terms is not None and state.request_policy is not None:
            state.request_policy.end_request(query.terms, state.clock.now())
        if state.fleet_coordinator is not None and not query.is_gathered:
            state.fleet_coordinator.request_completed(query, outcome, state.clock.now())

    def _answer(self, query: Query, outcome: RequestOutcome, details: tuple[Any, ...]) -> None:
        if outcome is SERVED:
            query.reply.served(query, *details)
        elif outcome is RequestOutcome.REJECTED:
            query.reply.rejected(query, *details)
        elif outcome is RequestOutcome.FAILED:
            query.reply.failed(query, *details)
