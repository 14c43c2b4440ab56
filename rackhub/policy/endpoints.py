"""The table of engines, updated from endpoint lists of discovery. All times are microseconds."""

from rackhub import interface
from rackhub.interface import Outcome
from rackhub.policy.admission import AdmissionController
from rackhub.policy.context import RouterContext
from rackhub.policy.health import HealthMonitor
from rackhub.policy.hints import HintPlanner
from rackhub.policy.lifecycle import MAX_IN_FLIGHT, QueryLifecycle
from rackhub.policy.selection import EngineSelector
from rackhub.policy.statistics import SECOND, EngineState
from rackhub.policy.usage import ResourceUsage

WATCH_RETRY_DELAY = 2 * SECOND


class EndpointTracker:
    """Applies endpoint lists, and ends attempts that a restarted engine can no longer answer."""

    def __init__(
        self,
        context: RouterContext,
        usage: ResourceUsage,
        admission: AdmissionController,
        selector: EngineSelector,
        hints: HintPlanner,
        health: HealthMonitor,
        lifecycle: QueryLifecycle,
    ) -> None:
        self.context = context
        self.usage = usage
        self.admission = admission
        self.selector = selector
        self.hints = hints
        self.health = health
        self.lifecycle = lifecycle

    def watch(self) -> None:
        """Ask discovery to send changes, where it sends them only on request."""
        if self.context.settings.discovery == "ask":
            self.context.actions.append(interface.WatchEndpoints(True))

    def on_endpoint_list(self, event: interface.EndpointList) -> None:
        """Apply an endpoint list. An engine that is missing from a complete list is gone."""
        if event.scope == "Error":
            self.context.schedule(WATCH_RETRY_DELAY, self.watch)
            return
        for entry in event.entries:
            self._update_engine(entry)
        listed = {entry.engine for entry in event.entries}
        for engine in self.context.engines.values():
            engine.ready = engine.ready and (event.scope == "Partial" or engine.id in listed)
        self.context.engines = {
            name: engine
            for name, engine in self.context.engines.items()
            if engine.ready or engine.threads or name in listed
        }
        self.health.update_names()
        self.selector.update_subset()
        self.update_capacity()

    def update_capacity(self) -> None:
        """Recompute the values that depend on the cores and memory of the ready engines."""
        self.admission.update_allocated_threads()
        self.hints.update_engine_memory()

    def _update_engine(self, entry: interface.EngineEntry) -> None:
        context = self.context
        if entry.engine not in context.engines:
            offset = context.random.random()
            context.engines[entry.engine] = EngineState(entry, context.settings.kind_cores, offset)
        engine = context.engines[entry.engine]
        previous_start = engine.started_at
        engine.update(entry)
        if engine.started_at > previous_start:
            self._on_restart(engine)

    def _on_restart(self, engine: EngineState) -> None:
        """End the attempts sent to the engine's previous process, which would otherwise count until their deadline.

        If the reported start is later than the real one, attempts that the new process executes are ended, too.
        """
        context = self.context
        engine.reset_history()
        # All gateways learn of a start at the same time. Credit from a random time on spreads their first queries.
        engine.credit_updated_at = context.now - int(context.random.random() * (context.now - engine.started_at))
        stale = [
            attempt
            for attempt in context.attempts.values()
            if attempt.engine is engine and attempt.sent_at < engine.started_at
        ]
        for attempt in stale:
            query = attempt.query
            self.usage.release(attempt)
            if context.settings.cancel:
                context.actions.append(interface.Cancel(query.id, attempt.number))
            elif context.settings.hedging and not query.closed and len(query.in_flight) < MAX_IN_FLIGHT:
                self.lifecycle.retry(query, Outcome.TIMED_OUT)
