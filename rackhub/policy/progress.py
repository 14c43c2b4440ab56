"""Attempts in flight: progress reports, slow execution plans, and attempts without response. Times: microseconds."""

import math

from rackhub import interface as t
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

SLOW_PLAN_LATENCIES = 4  # expected latencies still to go that mean a slow plan
LOCK_HOLD_FRACTION = 0.5  # of a load's mean latency that a lock found held is expected to last
HEALTH_CHECK_TIMEOUT = SECOND // 3
REPORT_LATENESS = 1.25  # report intervals after which a report is missing
MIN_PENDING_ATTEMPTS = 3  # attempts pending at an engine from which no response at all is no chance


class ProgressMonitor:
    """Follows attempts from the time they are sent, and cancels or gives up those that will not end well."""

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

    def watch(self, attempt: AttemptState) -> None:
        """Look after an attempt once it is overdue: sooner if responses get lost or nothing can be cancelled."""
        sooner = self.outcomes.losing_responses or not self.context.settings.cancel
        delay = OVERDUE_LATENCIES / (1 + sooner) * attempt.query.expected_latency
        self.context.schedule(delay, self._on_overdue, attempt)

    def on_progress_report(self, event: t.ProgressReport) -> None:
        """Take in a report, unless the result is streaming already."""
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
        """Give up an attempt that has not begun when it should have ended: it only lengthens the queue."""
        query = attempt.query
        self.hints.record_memory_wait(self.load.reported_memory_use)
        elapsed = self.context.now - attempt.sent_at
        if elapsed > query.statistics.settings.latency_objective and self.context.settings.cancel:
            attempt.engine.failure_rate.add(self.context.now, 1)
            self.lifecycle.finish(query, 0, "waits for memory")

    def _on_table_lock(self, attempt: AttemptState) -> None:
        """A load, perhaps another gateway's, locks the tables that the query reads: it can run elsewhere."""
        now = self.context.now
        engine = attempt.engine
        loads = [entry.mean_latency for entry in self.context.classes.values() if entry.settings.locks_tables]
        locked_until = {tables: until for tables, until in engine.locked_until.items() if until > now}
        locked_until[attempt.query.event.tables] = now + LOCK_HOLD_FRACTION * max(loads, default=0)
        engine.locked_until = locked_until
        if attempt.query.statistics.settings.blocked_by_table_locks:
            self.lifecycle.cancel_to_retry(attempt)

    def _on_fraction_done(self, attempt: AttemptState, fraction: float) -> None:
        """Cancel an attempt that would end too late, or far later than expected: a slow plan or a slow engine."""
        now = self.context.now
        if not fraction:  # it has not begun yet
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
        self.load.record_pace(attempt.engine, query, elapsed + remaining)
        if not attempt.number and (slow_plan or too_late and not self.load.overloaded):
            self.lifecycle.cancel_to_retry(attempt)  # each attempt gets a plan of its own
        elif too_late and self.context.settings.cancel:
            # Slow twice: the query itself is too long for its time and holds others up.
            self.lifecycle.finish(query, 0, "too slow twice")

    def _on_overdue(self, attempt: AttemptState) -> None:
        """Find out why an overdue attempt has no response, and go on without it where that is allowed."""
        query = attempt.query
        if (query.id, attempt.number) not in self.context.attempts:
            return
        if self._is_still_expected(attempt):
            return
        if query.closed or not attempt.threads or not self.outcomes.losing_responses:
            return
        settings = self.context.settings
        if not settings.cancel and self.load.overloaded:
            return
        self.usage.release(attempt)  # lost responses must not fill the quota until their deadline
        if settings.hedging and len(query.in_flight) < MAX_IN_FLIGHT:
            if settings.cancel:
                self.lifecycle.retry(query, Outcome.LOST)
            elif self.hints.is_light(query.statistics):
                self.lifecycle.retry(query, Outcome.TIMED_OUT)

    def _is_still_expected(self, attempt: AttemptState) -> bool:
        """Whether to wait on for an overdue attempt, to be looked after again later."""
        context = self.context
        engine = attempt.engine
        since_progress = context.now - attempt.last_progress_at
        report_timeout = REPORT_LATENESS * context.settings.progress_report_interval
        if context.stalled:
            self.watch(attempt)
        elif since_progress < report_timeout and not self._is_unresponsive(attempt):
            context.schedule(report_timeout - since_progress, self._on_overdue, attempt)
        elif context.settings.health_checks and not attempt.health_check_sent and engine.ready:
            # With few queries an engine may have sent nothing since and yet be healthy.
            attempt.health_check_sent = True
            context.actions.append(t.CheckHealth(engine.id))
            context.schedule(HEALTH_CHECK_TIMEOUT, self._on_overdue, attempt)
            return True
        elif engine.last_response_at < attempt.sent_at:
            self.outliers.record_failure(engine)
            self.lifecycle.cancel_to_retry(attempt)
        elif context.settings.cancel:
            return self._is_within_engine_pace(attempt)
        return False

    def _is_within_engine_pace(self, attempt: AttemptState) -> bool:
        """Whether an engine that answers others may, at its own pace, still answer this; if not it is lost."""
        context = self.context
        query = attempt.query
        statistics = query.statistics
        patience = OVERDUE_LATENCIES / (1 + self.outcomes.losing_responses)
        fleet_pace = math.exp(statistics.log_latency - statistics.best_log_latency)
        best_latency = math.exp(statistics.best_log_latency) * query.relative_size
        latency = best_latency * max(attempt.engine.relative_response_time, fleet_pace)
        if context.now - attempt.sent_at < patience * latency:
            delay = attempt.sent_at + patience * latency - context.now
            context.schedule(delay, self._on_overdue, attempt)
            return True
        self.outcomes.presume_lost(attempt)
        return False

    def _is_unresponsive(self, attempt: AttemptState) -> bool:
        """Whether an engine owes many responses and gave none; with few pending, that is chance."""
        engine = attempt.engine
        pending = sum(other.engine is engine for other in self.context.attempts.values())
        return engine.last_response_at < attempt.sent_at and pending >= MIN_PENDING_ATTEMPTS
