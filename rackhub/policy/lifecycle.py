"""The life of a query: attempts, retries, hedges, and its one final answer. All times are microseconds."""

import math
from collections.abc import Callable

from rackhub import interface as t
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
BACKOFF_JITTER = (1.0, 1.5)
NO_ENGINE_BACKOFF = SECOND
BACKOFF_LATENCIES = 0.5  # mean latencies that a client waits after a failed attempt
MIN_RETRY_LATENCIES = 0.5  # expected latencies that must be left for a retry
MAX_IN_FLIGHT = 2  # attempts of one query at a time


class QueryLifecycle:
    """Sends attempts and answers queries. `watch` is called with each attempt that was sent."""

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
        self.watch: Callable[[AttemptState], None] = lambda attempt: None

    def dispatch(self, query: QueryState) -> None:
        """Send the first attempt, or reject the query if no engine may run it."""
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
            context.actions.append(self.hints.hints(query, memory_mb))
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
        context.actions.append(t.Send(query.id, engine.id))
        self.watch(attempt)

    def finish(self, query: QueryState, backoff: float = 0, reason: str = "") -> None:
        """Give the final answer: a rejection if another try of the client is harmless, else a failure."""
        if query.closed:
            return
        context = self.context
        settings = query.statistics.settings
        keyed_everywhere = settings.idempotency == Idempotency.IDEMPOTENCY_KEY and settings.idempotency_scope == "all"
        if not query.possibly_executed or settings.idempotency == Idempotency.IDEMPOTENT or keyed_everywhere:
            backoff = max(backoff, MIN_BACKOFF, context.allocation.minimum_backoff)
            backoff *= context.random.uniform(*BACKOFF_JITTER)
            retry_after = min(int(backoff), context.settings.max_retry_after)
            context.actions.append(t.Reject(query.id, retry_after, reason))
        else:
            context.actions.append(t.Fail(query.id, reason))
        self.close(query)

    def close(self, query: QueryState) -> None:
        """Nothing more is owed: cancel what is in flight and let the next query of its key go."""
        query.closed = True
        self.context.queries.pop(query.id, None)
        self.context.drop_timer(query.deadline_timer)
        if self.context.settings.cancel:
            self.context.actions += [t.Cancel(query.id, number) for number in query.in_flight]
        self.key_queues.advance(query.event.key)

    def retry(self, query: QueryState, outcome: str) -> None:
        """Attempt a query again after an outcome, or finish it if that is not allowed or not worthwhile."""
        if self._is_retry_worthwhile(query, outcome) and self.retries.allows(query):
            repeats_no_work = outcome in NOT_EXECUTED_OUTCOMES or (
                outcome == Outcome.LOST and not self.hints.is_light(query.statistics)
            )
            fraction = 1.0 if repeats_no_work else SPECULATIVE_FRACTION
            if self.retries.within_budget(fraction) and (engine := self.selector.choose(query)):
                self.retries.record_retry()
                self.send(query, engine)
                return
        if not query.in_flight:
            self.finish(query, self.failure_backoff(query), f"no further attempt after {outcome}")

    def failure_backoff(self, query: QueryState) -> float:
        """How long a client should wait after a failed attempt."""
        return query.statistics.mean_latency * BACKOFF_LATENCIES

    def retry_if_waiting(self, query: QueryState, outcome: str) -> None:
        """Retry after a delay, unless the query was closed or sent meanwhile."""
        if not query.closed and not query.in_flight:
            self.retry(query, outcome)

    def hedge(self, query: QueryState) -> None:
        """Send a second copy where a repeat is harmless, but not under overload.

        An engine that is draining ends its work in any case, so its queries get no copy.
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
        """Cancel an attempt, so that its outcome leads to a retry, if that is worthwhile."""
        query = attempt.query
        if not self.context.settings.cancel or not self.retries.allows(query) or query.closed:
            return
        time_left = query.event.deadline - self.context.now
        if time_left > query.expected_latency and self.retries.within_budget(SPECULATIVE_FRACTION):
            self.context.actions.append(t.Cancel(query.id, attempt.number))

    def _is_retry_worthwhile(self, query: QueryState, outcome: str) -> bool:
        """Whether a retry has time enough, and room: many attempts lost at once must not flood the other engines."""
        unlimited = outcome in NOT_EXECUTED_OUTCOMES or outcome == Outcome.LOST or not self.load.overloaded
        limit = math.inf if unlimited else self.admission.limit
        if outcome == Outcome.NOT_EXECUTED:
            return False
        time_left = query.event.deadline - self.context.now
        return time_left > query.expected_latency * MIN_RETRY_LATENCIES and self.admission.fits(query, limit)
