"""All decisions of one query gateway. Events and actions: rackhub/interface.py.

A query that exceeds a rate window or its tenant's thread quota is rejected at once. Admitted queries are sent to the
engines by weighted round robin. The components, one per module, share a `RouterContext`. All times are microseconds of
the events' clock.
"""

import math
from collections.abc import Callable
from typing import Any

from rackhub import interface
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

STALL_PERIODS = 10  # delay of the periodic update, in clock periods, that shows a stall of this process
DEADLINE_MARGIN_PERIODS = 2  # time between the final answer and the deadline of a query, in clock periods
MIN_LATENCY_FRACTION = 0.7  # minimum time left to send a query, as a fraction of the recent latency
STALL_BACKOFF = SECOND  # backoff of a query that was received with too little time left


class Router:
    """The decisions of one gateway: `handle(now, event)` returns the actions for an event."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
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
        self.lifecycle.on_attempt_sent = self.progress.schedule_overdue_check
        self.health = HealthMonitor(context, self.load, self.outliers)
        self.endpoints = EndpointTracker(
            context, self.usage, self.admission, self.selector, self.hints, self.health, self.lifecycle
        )
        self._next_update_at = math.inf
        self._handlers: dict[type, Callable[[Any], None]] = {
            interface.Started: self._on_started,
            interface.QueryReceived: self._on_query,
            interface.AttemptCompleted: self._on_attempt_completed,
            interface.ProgressReport: self.progress.on_progress_report,
            interface.ResultStreamStarted: self._on_result_stream,
            interface.ClientDisconnected: self._on_client_disconnected,
            interface.TimerFired: self._on_timer,
            interface.EndpointList: self.endpoints.on_endpoint_list,
            interface.HealthCheckCompleted: self.health.on_health_check,
            interface.GossipReceived: self.health.on_gossip,
            interface.HedgeDue: self._on_hedge,
            interface.FleetAllocation: self._on_allocation,
        }

    def handle(self, now: int, event: object) -> list[Action]:
        """Handle one event and return the resulting actions, in order."""
        context = self.context
        if now > self._next_update_at + STALL_PERIODS * context.settings.clock_period:
            context.stalled_at = now
        context.now = now
        context.actions = []
        context.dropped_timers = []
        self._handlers[type(event)](event)
        return context.actions

    @property
    def dropped_timers(self) -> list[int]:
        """The ids of the timers that the last event has made needless; nothing happens if they fire all the same."""
        return self.context.dropped_timers

    def _on_started(self, event: interface.Started) -> None:
        self.endpoints.watch()
        self.context.schedule(self.context.random.randrange(1, TICK_INTERVAL), self._update)

    def _update(self) -> None:
        """Run the periodic update and schedule the next one."""
        self.endpoints.update_capacity()
        self.load.update_means()
        self.admission.update_quota()
        self.hints.sample_usage()
        self.health.send_checks()
        self._next_update_at = self.context.now + TICK_INTERVAL
        self.context.schedule(TICK_INTERVAL, self._update)

    def _on_timer(self, event: interface.TimerFired) -> None:
        self.context.fire_timer(event.timer_id)

    def _on_allocation(self, event: interface.FleetAllocation) -> None:
        self.context.set_allocation(event)
        self.retries.tokens = event.retry_tokens

    def _on_query(self, event: interface.QueryReceived) -> None:
        """Admit and dispatch a query, or reject it."""
        context = self.context
        query = self._add_query(event)
        time_left = event.deadline - context.now
        margin = DEADLINE_MARGIN_PERIODS * context.settings.clock_period
        query.deadline_timer = context.schedule(time_left - margin, self.lifecycle.finish, query, 0, "deadline")
        backoff: float | None
        if time_left > self._minimum_time(query):
            backoff = self.admission.admit(query)
            reason = "over quota"
        else:  # This process was stalled and read the query late.
            backoff = STALL_BACKOFF
            reason = "too little time left"
        self.admission.record_admission(query, backoff is None)
        if backoff is not None:
            self.lifecycle.finish(query, backoff, reason)
        elif query.statistics.settings.serial_by_key and event.key is not None:
            self.lifecycle.key_queues.add(query)
        else:
            self.lifecycle.dispatch(query)

    def _add_query(self, event: interface.QueryReceived) -> QueryState:
        """Create the state of a new query and count the query."""
        context = self.context
        statistics = context.classes.get(event.cls)
        if statistics is None:  # A class that is not configured has the defaults, among them not being idempotent.
            statistics = context.classes[event.cls] = ClassStatistics(interface.ClassSettings(event.cls))
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
        """Return the minimum time that must be left to send a query."""
        statistics = query.statistics
        if not statistics.responses:
            return 0
        return MIN_LATENCY_FRACTION * math.exp(statistics.log_latency) * query.relative_size

    def _on_attempt_completed(self, event: interface.AttemptCompleted) -> None:
        """Record an outcome, then close, finish or retry the query."""
        context = self.context
        attempt = context.attempts.pop((event.query, event.attempt), None)
        if attempt is None:
            return
        context.drop_timer(attempt.overdue_timer)
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
        elif event.retry_delay:  # The engine is chosen after the delay, as the endpoint list may change until then.
            query.retry_timer = context.schedule(event.retry_delay, self.lifecycle.retry_if_waiting, query, outcome)
        else:
            self.lifecycle.retry(query, outcome)

    def _on_result_stream(self, event: interface.ResultStreamStarted) -> None:
        """Drop the deadline and rule out further attempts, because the client is receiving the result."""
        if query := self.context.queries.get(event.query):
            self.context.drop_timer(query.deadline_timer)
            query.deadline_timer = None
            query.attempts = self.context.settings.max_attempts

    def _on_client_disconnected(self, event: interface.ClientDisconnected) -> None:
        if query := self.context.queries.get(event.query):
            self.lifecycle.close(query)

    def _on_hedge(self, event: interface.HedgeDue) -> None:
        if query := self.context.queries.get(event.query):
            self.lifecycle.hedge(query)
