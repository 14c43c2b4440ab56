"""Completion of a request: its one answer, its counters, and the notification of the ports."""

from collections.abc import Callable
from typing import Any

from rackhub import interface, logs
from rackhub.core.request import Attempt, Query, RequestOutcome
from rackhub.core.state import ClassCounter, CoordinatorState
from rackhub.interface import Outcome

log = logs.logger(__name__)

# Module constant: looking up an enum's member is a slow call in Python 3.11, and each request needs it.
SERVED = RequestOutcome.SERVED

CLASS_COUNTERS = {
    RequestOutcome.SERVED: ClassCounter.SERVED,
    RequestOutcome.REJECTED: ClassCounter.REJECTED,
    RequestOutcome.FAILED: ClassCounter.FAILED,
}


class RequestCompletion:
    """Completes requests and remembers the ids of the most recent ones."""

    def __init__(
        self,
        state: CoordinatorState,
        give_up: Callable[[Attempt, Outcome], None],
        stop_waiting: Callable[[Query], None],
    ) -> None:
        """`give_up` cancels an attempt; `stop_waiting` forgets a request that waits for the endpoint list."""
        self._state = state
        self._give_up = give_up
        self._stop_waiting = stop_waiting
        self._recent_ids: dict[str, None] = {}  # of requests that surely never ran, oldest first
        self._executed_ids: dict[str, None] = {}  # of the others, which a flood of the former must not displace

    def is_recent(self, id: str) -> bool:
        """Return whether a request of this id was completed recently."""
        return id in self._executed_ids or id in self._recent_ids

    def complete(self, query: Query, outcome: RequestOutcome, *details: Any) -> bool:
        """Complete a request: answer its client with `details` and cancel the attempts that were not sent.

        Returns False, without any effect, if the request was completed before.
        """
        if query.closed:
            return False
        query.closed = True
        self._remember(query)
        self._count(query, outcome)
        if self._state.queries.get(query.id) is query:  # a request rejected at admission is not registered
            self._release(query, outcome)
        self._answer(query, outcome, details)
        for attempt in [attempt for attempt in query.in_flight.values() if attempt.unsent]:
            self._give_up(attempt, Outcome.NOT_EXECUTED)
        if not self._state.queries and self._state.on_idle:
            self._state.on_idle()
        return True

    def reject(self, action: interface.Reject) -> None:
        """Reject a request at the policy's request."""
        if query := self._state.queries.get(action.query):
            log.debug("request_rejected", request=query.id, reason=action.reason, retry_after_us=action.retry_after)
            self.complete(query, RequestOutcome.REJECTED, action.retry_after)

    def fail(self, action: interface.Fail) -> None:
        """Complete a request as failed at the policy's request: it may have run and can't be retried."""
        if query := self._state.queries.get(action.query):
            log.debug("request_failed", request=query.id, reason=action.reason)
            self.complete(query, RequestOutcome.FAILED, "failed: its effect is not known")

    def _remember(self, query: Query) -> None:
        """Remember an id once: a faulty client may use one id for hundreds of requests, each cancelled at once."""
        may_have_run = query.may_have_run or any(not attempt.unsent for attempt in query.in_flight.values())
        ids = self._executed_ids if may_have_run else self._recent_ids
        ids[query.id] = None
        if len(ids) > self._state.limits.max_recent_ids:
            del ids[next(iter(ids))]

    def _count(self, query: Query, outcome: RequestOutcome) -> None:
        self._state.counters.add(outcome)
        log.debug("request_ended", request=query.id, how=outcome, attempts=query.attempts)
        if (counter := CLASS_COUNTERS.get(outcome)) is not None:
            self._state.count_by_class(query.cls, counter)

    def _release(self, query: Query, outcome: RequestOutcome) -> None:
        """Remove a request from the open requests and notify the ports."""
        state = self._state
        del state.queries[query.id]
        self._stop_waiting(query)
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
