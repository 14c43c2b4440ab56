"""All decisions of one query gateway. Events and actions: rackhub/interface.py.

Rate windows and a thread quota for each tenant reject at once. What is admitted goes to the engines by weighted round
robin. The parts, one module each, share a `RouterContext`. All times are microseconds of the events' clock.
"""

import math
from collections.abc import Callable
from typing import Any

from rackhub import interface as t
from rackhub.policy.admission import AdmissionController
from rackhub.policy.context import Action, RouterContext
from rackhub.policy.endpoints import EndpointTracker
from rackhub.policy.health import HealthMonitor
from rackhub.policy.hints import HintPlanner
from rackhub.policy.lifecycle import QueryLifecycle
from rackhub.policy.load import LoadEstimator
from rackhub.policy.outcomes import OutcomeRecorder
from rackhub.policy.outliers import OutlierDetector
from rackhub.policy.progress import ProgressMonitor
from rackhub.policy.retries import MAY_STILL_RUN_OUTCOMES, NOT_EXECUTED_OUTCOMES, RetryPolicy
from rackhub.policy.selection import EngineSelector
from rackhub.policy.slow_start import SlowStart
from rackhub.policy.state import QueryState
from rackhub.policy.statistics import SECOND, TICK_INTERVAL, ClassStatistics
from rackhub.policy.usage import ResourceUsage

STALL_PERIODS = 10  # clock periods by which a late periodic update shows that this process was stalled
DEADLINE_MARGIN_PERIODS = 2  # clock periods before its deadline that a query is answered
MIN_LATENCY_FRACTION = 0.7  # of the recent latency that must be left to send a query
STALL_BACKOFF = SECOND  # of a query that came in too late


class Router:
    """Turns each event into the actions to take, in order: `handle(now, event)`."""

    def __init__(self, settings: t.Settings, seed: int) -> None:
        context = self.context = RouterContext(settings, seed)
        self.usage = ResourceUsage()
        self.slow_start = SlowStart(context)
        self.load = LoadEstimator(context, self.usage, self.slow_start)
        self.admission = AdmissionController(context, self.usage, self.load, self.slow_start)
        self.outliers = OutlierDetector(context)
        self.retries = RetryPolicy(context)
        self.hints = HintPlanner(context, self.usage)
        self.selector = EngineSelector(context, self.load, self.slow_start)
        self.lifecycle = QueryLifecycle(
            context, self.usage, self.load, self.admission, self.selector, self.hints, self.retries
        )
        self.outcomes = OutcomeRecorder(context, self.load, self.outliers, self.hints, self.retries)
        self.progress = ProgressMonitor(
            context, self.usage, self.load, self.outliers, self.hints, self.outcomes, self.lifecycle
        )
        self.lifecycle.watch = self.progress.watch
        self.health = HealthMonitor(context, self.load, self.outliers)
        self.endpoints = EndpointTracker(
            context, self.usage, self.admission, self.selector, self.hints, self.health, self.lifecycle
        )
        self._next_update_at = math.inf
        self._handlers: dict[type, Callable[[Any], None]] = {
            t.Started: self._on_started,
            t.QueryReceived: self._on_query,
            t.AttemptCompleted: self._on_attempt_completed,
            t.ProgressReport: self.progress.on_progress_report,
            t.ResultStreamStarted: self._on_result_stream,
            t.ClientDisconnected: self._on_client_disconnected,
            t.TimerFired: self._on_timer,
            t.EndpointList: self.endpoints.on_endpoint_list,
            t.HealthCheckCompleted: self.health.on_health_check,
            t.GossipReceived: self.health.on_gossip,
            t.HedgeDue: self._on_hedge,
            t.FleetAllocation: self._on_allocation,
        }

    def handle(self, now: int, event: object) -> list[Action]:
        """The actions that one event leads to."""
        context = self.context
        if now > self._next_update_at + STALL_PERIODS * context.settings.clock_period:
            context.stalled_at = now
        context.now = now
        context.actions = []
        self._handlers[type(event)](event)
        return context.actions

    def _on_started(self, event: t.Started) -> None:
        self.endpoints.watch()
        self.context.schedule(self.context.random.randrange(1, TICK_INTERVAL), self._update)

    def _update(self) -> None:
        """The periodic update."""
        self.endpoints.update_capacity()
        self.load.update_means()
        self.admission.update_quota()
        self.hints.sample_usage()
        self.health.send_checks()
        self._next_update_at = self.context.now + TICK_INTERVAL
        self.context.schedule(TICK_INTERVAL, self._update)

    def _on_timer(self, event: t.TimerFired) -> None:
        self.context.fire_timer(event.timer_id)

    def _on_allocation(self, event: t.FleetAllocation) -> None:
        self.context.set_allocation(event)
        self.retries.tokens = event.retry_tokens

    def _on_query(self, event: t.QueryReceived) -> None:
        """Admit a query and dispatch it, or reject it at once."""
        context = self.context
        query = self._add_query(event)
        time_left = event.deadline - context.now
        margin = DEADLINE_MARGIN_PERIODS * context.settings.clock_period
        query.deadline_timer = context.schedule(time_left - margin, self.lifecycle.finish, query, 0, "deadline")
        backoff: float | None
        if time_left > self._minimum_time(query):
            backoff = self.admission.backoff(query)
            reason = "over quota"
        else:  # this process was stalled
            backoff = STALL_BACKOFF
            reason = "too little time left"
        self.admission.record_admission(query, backoff is None)
        if backoff is not None:
            self.lifecycle.finish(query, backoff, reason)
        elif query.statistics.settings.serial_by_key and event.key is not None:
            self.lifecycle.key_queues.add(query)
        else:
            self.lifecycle.dispatch(query)

    def _add_query(self, event: t.QueryReceived) -> QueryState:
        """Count a query and begin its state."""
        context = self.context
        statistics = context.classes.get(event.cls)
        if statistics is None:  # a class that is not configured promises nothing
            statistics = context.classes[event.cls] = ClassStatistics(t.ClassSettings(event.cls))
        relative_size = statistics.relative_size(event.estimate)
        query = QueryState(
            event=event,
            statistics=statistics,
            tenant=self.admission.tenant(event.tenant),
            id=event.query,
            relative_size=relative_size,
            expected_latency=statistics.mean_latency * relative_size,
        )
        context.queries[event.query] = query
        self.health.record_query()
        if event.estimate:
            statistics.estimate_count += 1
            statistics.estimate_sum += event.estimate
        self.retries.record_query()
        return query

    def _minimum_time(self, query: QueryState) -> float:
        """The time that must be left to send a query."""
        statistics = query.statistics
        if not statistics.responses:
            return 0
        return MIN_LATENCY_FRACTION * math.exp(statistics.log_latency) * query.relative_size

    def _on_attempt_completed(self, event: t.AttemptCompleted) -> None:
        """Learn from an outcome, then close, finish or retry the query."""
        context = self.context
        attempt = context.attempts.pop((event.query, event.attempt), None)
        if attempt is None:
            return
        query = attempt.query
        outcome = event.outcome
        statistics = query.statistics
        query.in_flight.pop(attempt.number, None)
        self.usage.remove(attempt)
        if outcome in NOT_EXECUTED_OUTCOMES:
            query.possibly_executed = [
                execution for execution in query.possibly_executed if execution.attempt != attempt.number
            ]
        self.outcomes.record(attempt, event)
        if (
            statistics.settings.serial_by_key
            and outcome in MAY_STILL_RUN_OUTCOMES
            and context.settings.serial_key_delay
        ):
            self.lifecycle.key_queues.block(query.event.key)
        if event.settled or query.closed:
            self.lifecycle.close(query)
        elif query.in_flight:
            return
        elif not event.may_retry:
            self.lifecycle.finish(
                query, event.backoff or self.lifecycle.failure_backoff(query), f"policy allows no retry after {outcome}"
            )
        elif event.retry_delay:  # the engine is chosen after the delay: the list may change
            context.schedule(event.retry_delay, self.lifecycle.retry_if_waiting, query, outcome)
        else:
            self.lifecycle.retry(query, outcome)

    def _on_result_stream(self, event: t.ResultStreamStarted) -> None:
        """The result belongs to the client from now on: no deadline, and no further attempt."""
        if query := self.context.queries.get(event.query):
            self.context.drop_timer(query.deadline_timer)
            query.deadline_timer = None
            query.attempts = self.context.settings.max_attempts

    def _on_client_disconnected(self, event: t.ClientDisconnected) -> None:
        if query := self.context.queries.get(event.query):
            self.lifecycle.close(query)

    def _on_hedge(self, event: t.HedgeDue) -> None:
        if query := self.context.queries.get(event.query):
            self.lifecycle.hedge(query)
