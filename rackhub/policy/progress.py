"""Monitors attempts in flight: progress, slow execution plans and missing responses. All times are microseconds."""

import math

from rackhub import interface
from rackhub.interface import Outcome, ProgressTopic, WaitReason
from rackhub.policy.context import RouterContext
from rackhub.policy.hints import HintPlanner
from rackhub.policy.lifecycle import MAX_IN_FLIGHT, QueryLifecycle
from rackhub.policy.load import LoadEstimator
from rackhub.policy.outcomes import OVERDUE_LATENCIES, OutcomeRecorder
from rackhub.policy.outliers import OutlierDetector
from rackhub.policy.state import AttemptState
from rackhub.policy.statistics import SECOND
from rackhub.policy.usage import ResourceUsage

SLOW_PLAN_LATENCIES = 4  # remaining time that means a slow execution plan, in expected or, if longer, recent latencies
LOCK_HOLD_FRACTION = 0.5  # expected remaining time of a table lock, as a fraction of the latency of locking queries
HEALTH_CHECK_TIMEOUT = SECOND // 3
REPORT_LATENESS = 1.25  # time after which a progress report is overdue, in report intervals
MIN_PENDING_ATTEMPTS = 3  # pending attempts from which the lack of any response is not due to chance


class ProgressMonitor:
    """Monitors attempts from the time they are sent, and cancels or finishes those that will not succeed in time."""

    def __init__(
        self,
        context: RouterContext,
        usage: ResourceUsage,
        load: LoadEstimator,
        outliers: OutlierDetector,
        hints: HintPlanner,
        outcomes: OutcomeRecorder,
        lifecycle: QueryLifecycle,
    ) -> None:
        self.context = context
        self.usage = usage
        self.load = load
        self.outliers = outliers
        self.hints = hints
        self.outcomes = outcomes
        self.lifecycle = lifecycle

    def schedule_overdue_check(self, attempt: AttemptState) -> None:
        """Schedule the check whether an attempt that was just sent is overdue.

        The check comes in half the time if responses get lost or attempts cannot be cancelled.
        """
        halved = self.outcomes.losing_responses or not self.context.settings.cancel
        delay = OVERDUE_LATENCIES / (1 + halved) * attempt.query.expected_latency
        self._schedule_check(attempt, delay)

    def _schedule_check(self, attempt: AttemptState, delay: float) -> None:
        attempt.overdue_timer = self.context.schedule(delay, self._on_overdue, attempt)

    def on_progress_report(self, event: interface.ProgressReport) -> None:
        """Process a progress report, unless the result is already streaming."""
        attempt = self.context.attempts.get((event.query, event.attempt))
        if attempt is None or attempt.query.closed or not attempt.query.deadline_timer:
            return
        attempt.engine.last_response_at = self.context.now
        attempt.last_progress_at = self.context.now
        if event.topic == ProgressTopic.FRACTION_DONE:
            self._on_fraction_done(attempt, event.value)
        elif event.topic == ProgressTopic.MEMORY_SPILLED:
            if not attempt.spilled and attempt.memory_mb and self.context.settings.grants:
                attempt.spilled = True
                self.hints.record_spill(attempt.query, event.value)
        elif event.topic == ProgressTopic.WAITING and event.value == WaitReason.MEMORY:
            self._on_memory_wait(attempt)
        elif event.topic == ProgressTopic.WAITING and event.value == WaitReason.TABLE_LOCK:
            self._on_table_lock(attempt)

    def _on_memory_wait(self, attempt: AttemptState) -> None:
        """Record a wait for memory; finish a query that has waited longer than its latency objective.

        Such a query would only delay others. It counts as a failure of the engine.
        """
        query = attempt.query
        self.hints.record_memory_wait(self.load.reported_memory_use)
        elapsed = self.context.now - attempt.sent_at
        if elapsed > query.statistics.settings.latency_objective and self.context.settings.cancel:
            attempt.engine.failure_rate.add(self.context.now, 1)
            self.lifecycle.finish(query, 0, "waited for memory beyond the latency objective")

    def _on_table_lock(self, attempt: AttemptState) -> None:
        """Record that another query, perhaps of another gateway, locks the tables of this one.

        If the class of the query is blocked by table locks, the attempt is cancelled for a retry on another engine.
        """
        now = self.context.now
        engine = attempt.engine
        locking_latencies = [
            entry.mean_latency for entry in self.context.classes.values() if entry.settings.locks_tables
        ]
        locked_until = {tables: until for tables, until in engine.locked_until.items() if until > now}
        locked_until[attempt.query.event.tables] = now + LOCK_HOLD_FRACTION * max(locking_latencies, default=0)
        engine.locked_until = locked_until
        if attempt.query.statistics.settings.blocked_by_table_locks:
            self.lifecycle.cancel_to_retry(attempt)

    def _on_fraction_done(self, attempt: AttemptState, fraction: float) -> None:
        """Cancel an attempt that would end too late, or far later than expected (slow plan or slow engine).

        A retry is tried for the first attempt of a query alone. Otherwise a query that is too late is finished.
        """
        now = self.context.now
        if not fraction:  # Execution has not started.
            attempt.executing_since = now
            return
        if self.context.stalled:
            return
        query = attempt.query
        statistics = query.statistics
        elapsed = now - attempt.executing_since
        remaining = elapsed * (1 - fraction) / fraction
        too_late = now + remaining > query.event.deadline
        recent_latency = math.exp(statistics.log_latency) * query.relative_size
        slow_plan = remaining > SLOW_PLAN_LATENCIES * max(query.expected_latency, recent_latency)
        if too_late or slow_plan:
            attempt.engine.failure_rate.add(now, 1)
        self.load.record_duration(attempt.engine, query, elapsed + remaining)
        if not attempt.number and (slow_plan or too_late and not self.load.overloaded):
            self.lifecycle.cancel_to_retry(attempt)  # A retry gets a new execution plan.
        elif too_late and self.context.settings.cancel:
            # No retry is sent: the fleet is overloaded, or this attempt was already a retry or hedge. The query needs
            # more time than it has, and delays other queries.
            self.lifecycle.finish(query, 0, "cannot complete before the deadline")

    def _on_overdue(self, attempt: AttemptState) -> None:
        """Handle an overdue attempt: if its response seems lost, stop counting it and, where allowed, retry."""
        query = attempt.query
        if (query.id, attempt.number) not in self.context.attempts:
            return
        if self._check_overdue(attempt):
            return
        # An attempt without threads has been released already.
        if query.closed or not attempt.threads or not self.outcomes.losing_responses:
            return
        settings = self.context.settings
        if not settings.cancel and self.load.overloaded:
            return
        self.usage.release(attempt)  # Attempts with lost responses must not use up the quota until their deadline.
        if settings.hedging and len(query.in_flight) < MAX_IN_FLIGHT:
            if settings.cancel:
                self.lifecycle.retry(query, Outcome.LOST)
            elif self.hints.has_high_value_density(query.statistics):  # The first attempt may still be executing.
                self.lifecycle.retry(query, Outcome.TIMED_OUT)

    def _check_overdue(self, attempt: AttemptState) -> bool:
        """Act on the likely reason why an attempt is overdue.

        Returns True if there is nothing else to do until the next check. Returns False if the caller may treat the
        response as lost, provided that responses get lost at all.
        """
        context = self.context
        engine = attempt.engine
        since_progress = context.now - attempt.last_progress_at
        report_timeout = REPORT_LATENESS * context.settings.progress_report_interval
        if context.stalled:
            self.schedule_overdue_check(attempt)
        elif since_progress < report_timeout and not self._is_unresponsive(attempt):
            self._schedule_check(attempt, report_timeout - since_progress)
        elif context.settings.health_checks and not attempt.health_check_sent and engine.ready:
            # An engine with few queries may be healthy although it has sent nothing since the attempt.
            attempt.health_check_sent = True
            context.actions.append(interface.CheckHealth(engine.id))
            self._schedule_check(attempt, HEALTH_CHECK_TIMEOUT)
            return True
        elif engine.last_response_at < attempt.sent_at:
            self.outliers.record_failure(engine)
            self.lifecycle.cancel_to_retry(attempt)
        elif context.settings.cancel:
            return self._may_still_answer(attempt)
        return False

    def _may_still_answer(self, attempt: AttemptState) -> bool:
        """Wait longer for an attempt if its class or engine is slower at present than at its best.

        Returns True and schedules another check until the best latency times the slowdown has passed
        `OVERDUE_LATENCIES` times (half of that while responses get lost). Then presumes the response lost and returns
        False.
        """
        context = self.context
        query = attempt.query
        statistics = query.statistics
        timeout_latencies = OVERDUE_LATENCIES / (1 + self.outcomes.losing_responses)
        class_slowdown = math.exp(statistics.log_latency - statistics.best_log_latency)
        best_latency = math.exp(statistics.best_log_latency) * query.relative_size
        latency = best_latency * max(attempt.engine.relative_response_time, class_slowdown)
        if context.now - attempt.sent_at < timeout_latencies * latency:
            delay = attempt.sent_at + timeout_latencies * latency - context.now
            self._schedule_check(attempt, delay)
            return True
        self.outcomes.presume_lost(attempt)
        return False

    def _is_unresponsive(self, attempt: AttemptState) -> bool:
        """Return whether an engine has sent no response since the attempt while several attempts are pending there.

        Successful results, progress reports and answers to health checks count as responses.
        """
        engine = attempt.engine
        pending = sum(other.engine is engine for other in self.context.attempts.values())
        return engine.last_response_at < attempt.sent_at and pending >= MIN_PENDING_ATTEMPTS
