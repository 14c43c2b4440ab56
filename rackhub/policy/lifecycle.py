"""The lifecycle of a query: attempts, retries, hedges and one final answer. All times are microseconds."""

import math
from collections.abc import Callable

from rackhub import interface
from rackhub.interface import Idempotency, Outcome
from rackhub.policy.admission import AdmissionController
from rackhub.policy.context import RouterContext
from rackhub.policy.hints import HintPlanner
from rackhub.policy.key_queues import KeyQueues
from rackhub.policy.load import LoadEstimator
from rackhub.policy.retries import NOT_EXECUTED_OUTCOMES, SPECULATIVE_FRACTION, RetryPolicy
from rackhub.policy.selection import EngineSelector
from rackhub.policy.state import AttemptState, PossibleExecution, QueryState
from rackhub.policy.statistics import SECOND, EngineState
from rackhub.policy.usage import ResourceUsage

MIN_BACKOFF = SECOND // 10
BACKOFF_JITTER = (1.0, 1.5)  # range of the random factor on a backoff
NO_ENGINE_BACKOFF = SECOND
BACKOFF_LATENCIES = 0.5  # backoff after a failed attempt, in mean latencies
MIN_RETRY_LATENCIES = 0.5  # minimum time left for a retry, in expected latencies
MAX_IN_FLIGHT = 2  # maximum concurrent attempts of one query


class QueryLifecycle:
    """Sends attempts and answers queries. `on_attempt_sent` is called with each attempt that was sent."""

    def __init__(
        self,
        context: RouterContext,
        usage: ResourceUsage,
        load: LoadEstimator,
        admission: AdmissionController,
        selector: EngineSelector,
        hints: HintPlanner,
        retries: RetryPolicy,
    ) -> None:
        self.context = context
        self.usage = usage
        self.load = load
        self.admission = admission
        self.selector = selector
        self.hints = hints
        self.retries = retries
        self.key_queues = KeyQueues(context, self.dispatch)
        self.on_attempt_sent: Callable[[AttemptState], None] = lambda attempt: None

    def dispatch(self, query: QueryState) -> None:
        """Send the first attempt, or reject the query if no engine may execute it."""
        if engine := self.selector.choose(query):
            self.send(query, engine)
        else:
            self.finish(query, NO_ENGINE_BACKOFF, "no engine")

    def send(self, query: QueryState, engine: EngineState) -> None:
        """Send one attempt to an engine."""
        context = self.context
        now = context.now
        number = query.attempts
        memory_mb = self.hints.memory_grant(query)
        if context.settings.priorities or context.settings.grants:
            context.actions.append(self.hints.execution_hints(query, memory_mb))
        attempt = AttemptState(
            query=query,
            number=number,
            engine=engine,
            sent_at=now,
            memory_mb=memory_mb,
            threads=query.statistics.settings.threads,
            last_progress_at=now,
            executing_since=now,
        )
        query.in_flight[number] = attempt
        context.attempts[query.id, number] = attempt
        query.possibly_executed.append(PossibleExecution(number, now, engine.placement))
        query.engines_attempted.add(engine.id)
        query.attempts += 1
        self.usage.add(attempt)
        context.actions.append(interface.Send(query.id, engine.id, attempt=number))
        self.on_attempt_sent(attempt)

    def finish(self, query: QueryState, backoff: float = 0, reason: str = "") -> None:
        """Give the final answer: a rejection if a retry by the client is harmless, otherwise a failure."""
        if query.closed:
            return
        context = self.context
        settings = query.statistics.settings
        key_known_everywhere = (
            settings.idempotency == Idempotency.IDEMPOTENCY_KEY and settings.idempotency_scope == "all"
        )
        if not query.possibly_executed or settings.idempotency == Idempotency.IDEMPOTENT or key_known_everywhere:
            backoff = max(backoff, MIN_BACKOFF, context.allocation.minimum_backoff)
            backoff *= context.random.uniform(*BACKOFF_JITTER)
            retry_after = min(int(backoff), context.settings.max_retry_after)
            context.actions.append(interface.Reject(query.id, retry_after, reason))
        else:
            context.actions.append(interface.Fail(query.id, reason))
        self.close(query)

    def close(self, query: QueryState) -> None:
        """Close a query that needs no further answer: cancel its attempts, and let the next query of its key start."""
        query.closed = True
        self.context.queries.pop(query.id, None)
        self.context.drop_timer(query.deadline_timer)
        self.context.drop_timer(query.retry_timer)
        if self.context.settings.cancel:
            self.context.actions += [interface.Cancel(query.id, number) for number in query.in_flight]
        self.key_queues.advance(query.event.key)

    def retry(self, query: QueryState, outcome: str) -> None:
        """Retry a query after an outcome, or finish it if a retry is not allowed or not worthwhile."""
        if self._is_retry_worthwhile(query, outcome) and self.retries.allows(query):
            repeats_no_work = outcome in NOT_EXECUTED_OUTCOMES or (
                outcome == Outcome.LOST and not self.hints.has_high_value_density(query.statistics)
            )
            fraction = 1.0 if repeats_no_work else SPECULATIVE_FRACTION
            if self.retries.within_budget(fraction) and (engine := self.selector.choose(query)):
                self.retries.record_retry()
                self.send(query, engine)
                return
        if not query.in_flight:
            self.finish(query, self.failure_backoff(query), f"no further attempt after {outcome}")

    def failure_backoff(self, query: QueryState) -> float:
        """Return how long a client should wait after a failed attempt."""
        return query.statistics.mean_latency * BACKOFF_LATENCIES

    def retry_if_waiting(self, query: QueryState, outcome: str) -> None:
        """Retry after a delay, unless the query was closed or sent in the meantime."""
        if not query.closed and not query.in_flight:
            self.retry(query, outcome)

    def hedge(self, query: QueryState) -> None:
        """Send a hedge if a repeated execution is harmless and the fleet is not overloaded.

        A draining engine completes its work, so queries that it executes are not hedged.
        """
        if len(query.in_flight) != 1 or self.load.overloaded or not self.retries.allows(query):
            return
        if not all(attempt.engine.ready for attempt in query.in_flight.values()):
            return
        if not self.retries.within_budget(SPECULATIVE_FRACTION):
            return
        engine = self.selector.choose(query)
        if engine and engine.id not in query.engines_attempted:
            self.send(query, engine)

    def cancel_to_retry(self, attempt: AttemptState) -> None:
        """Cancel an attempt, whose outcome then leads to a retry, if a retry is allowed and worthwhile."""
        query = attempt.query
        if not self.context.settings.cancel or not self.retries.allows(query) or query.closed:
            return
        time_left = query.event.deadline - self.context.now
        if time_left > query.expected_latency and self.retries.within_budget(SPECULATIVE_FRACTION):
            self.context.actions.append(interface.Cancel(query.id, attempt.number))

    def _is_retry_worthwhile(self, query: QueryState, outcome: str) -> bool:
        """Return whether a retry has enough time left and fits under the limit.

        The limit keeps many attempts that are lost at once from overloading the other engines.
        """
        unlimited = outcome in NOT_EXECUTED_OUTCOMES or outcome == Outcome.LOST or not self.load.overloaded
        limit = math.inf if unlimited else self.admission.limit
        if outcome == Outcome.NOT_EXECUTED:
            return False
        time_left = query.event.deadline - self.context.now
        return time_left > query.expected_latency * MIN_RETRY_LATENCIES and self.admission.fits(query, limit)
