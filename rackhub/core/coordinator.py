"""Coordinates the requests of one process: fronts submit them, the routing policy decides, an engine port sends.

Independently of the policy, the coordinator guarantees that each request gets one answer in time and has no more
attempts, in total and at once, than the settings allow. It is independent of wire protocols.
"""

from collections.abc import Sequence

from rackhub import interface
from rackhub.core.admission import Admission
from rackhub.core.attempts import AttemptRunner
from rackhub.core.deadline_monitor import DeadlineMonitor
from rackhub.core.decision_driver import DecisionDriver
from rackhub.core.request import Attempt, EnginePort, Query, RequestOutcome
from rackhub.core.state import CoordinatorState
from rackhub.core.timers import Clock, Timers
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.policy.router import Router

ANSWER_PERIODS = 2  # the policy completes a request this many of its periods before the deadline


class Coordinator(CoordinatorState):
    """Interface of the core for fronts and ports: the state of the requests and the objects that act on it.

    Times are microseconds of `clock`.
    """

    def __init__(
        self, settings: interface.Settings, seed: int, clock: Clock, timers: Timers, limits: Limits, counters: Counters
    ) -> None:
        """`seed` makes the policy's random choices repeatable."""
        super().__init__(settings, clock, timers, limits, counters)
        self.decisions = DecisionDriver(self, Router(settings, seed))
        self.attempts = AttemptRunner(self, self.decisions)
        self.completion = self.attempts.completion
        self.endpoint_gate = self.attempts.gate
        self.admission = Admission(self, self.decisions, self.endpoint_gate, self.completion)
        self.deadline_monitor = DeadlineMonitor(self, self.attempts, self._abandon)
        self.decisions.register(interface.Send, self.attempts.start)
        self.decisions.register(interface.Cancel, self.attempts.cancel)
        self.decisions.register(interface.ExecutionHints, self.attempts.apply_hints)
        self.decisions.register(interface.Reject, self.completion.reject)
        self.decisions.register(interface.Fail, self.completion.fail)

    # ---- process lifecycle

    def start(self, engines: EnginePort, entries: Sequence[interface.EngineEntry], revision: int) -> None:
        """Start with a stored endpoint list, which applies until the resolver's arrives."""
        self.engines = engines
        self.engine_kinds = {entry.engine: entry.kind for entry in entries}
        self.decisions.dispatch(interface.Started())
        self.decisions.dispatch(interface.EndpointList("Persisted", tuple(entries), revision))
        self.deadline_monitor.sweep()

    def start_draining(self, backoff: int) -> None:
        """Serve the admitted requests, and reject every new one with a Retry-After of `backoff` microseconds."""
        self.admission.start_draining(backoff)

    # ---- fronts

    def is_known_id(self, id: str) -> bool:
        """Return whether a request of this id is open or was completed recently.

        Clients use a new id for each request, also for a retry.
        """
        if id in self.queries or self.completion.is_recent(id):
            return True
        return self.executed_ids is not None and self.executed_ids.is_claimed(id)

    def is_near_deadline(self, query: Query) -> bool:
        """Return whether so little time is left that an answer given now counts as caused by the deadline."""
        return self.clock.now() >= query.deadline - ANSWER_PERIODS * self.settings.clock_period

    def submit(self, query: Query) -> None:
        """Admit a request, which then gets exactly one answer, or reject it at once."""
        self.admission.submit(query)

    def disconnect_client(self, query: Query) -> None:
        """Complete a request without an answer: its client has cancelled it or disconnected."""
        if self.completion.complete(query, RequestOutcome.DISCONNECTED):
            self._abandon(query)

    def complete_gathered(self, query: Query, how: str, rows: Sequence[bytes] = (), backoff: int = 0) -> bool:
        """Answer a request that the gather port has accepted; return False if it was completed before.

        Args:
            query: the request, with `gather_status` set if it is served.
            how: "served", "refused" or "failed", a value of `RequestOutcome`.
            rows: the rows of a served request.
            backoff: Retry-After of a rejected request in microseconds.

        Raises:
            ValueError: `how` is none of these values.
        """
        outcome = RequestOutcome(how)
        if outcome is RequestOutcome.SERVED:
            return self.completion.complete(query, outcome, rows)
        if outcome is RequestOutcome.REJECTED:
            return self.completion.complete(query, outcome, min(backoff, self.settings.max_retry_after or backoff))
        if outcome is RequestOutcome.FAILED:
            return self.completion.complete(query, outcome, "failed: too few of its sites have answered")
        raise ValueError(f"a gathered request can't end as {how!r}")

    def _abandon(self, query: Query) -> None:
        """Notify the routing policy or the gather port that a request was completed by the core."""
        if not query.is_gathered:
            self.decisions.dispatch(interface.ClientDisconnected(query.id))
        elif self.gather_port is not None:
            self.gather_port.client_disconnected(query)

    # ---- the engine port

    def complete_attempt(
        self, attempt: Attempt, reason: str, report: dict[str, float] | None = None, rows: Sequence[bytes] = ()
    ) -> None:
        """Complete an attempt with its outcome `reason`; `rows` are all pages of a successful result.

        Only the first completion counts: one that crosses with a time-out or a cancellation is ignored.
        """
        if not attempt.done:
            self.attempts.complete(attempt, reason, report, rows)

    def report_progress(self, attempt: Attempt, topic: int, value: float) -> None:
        """Pass on an engine's progress report on an attempt in flight."""
        if attempt.done:
            return
        self.counters.add("notes_in")
        if self.lease is not None:
            self.lease.engine_accepted(attempt.engine, attempt.sent_at)
        self.decisions.dispatch(
            interface.ProgressReport(attempt.query.id, attempt.number, topic, value, attempt.engine)
        )

    # ---- the endpoint list

    def update_endpoints(self, entries: Sequence[interface.EngineEntry], revision: int) -> None:
        """Apply a complete endpoint list from the resolver."""
        self.counters.add("lists_told")
        self.engine_kinds = {entry.engine: entry.kind for entry in entries}
        self.decisions.dispatch(interface.EndpointList("Complete", tuple(entries), revision))

    def endpoint_poll_started(self) -> int:
        """Record that the resolver is polled; return the current time."""
        return self.endpoint_gate.poll_started()

    def endpoint_poll_confirmed(self, started_at: int) -> None:
        """Record that the poll started at `started_at` has confirmed the active endpoint list."""
        self.endpoint_gate.poll_confirmed(started_at)

    # ---- the fleet coordinator

    def complete_health_check(
        self, engine: str, reason: str, elapsed: int, report: dict[str, float] | None = None
    ) -> None:
        """Pass on the outcome `reason` of a health check: GOOD, LATE or NOCONN after `elapsed` microseconds."""
        self.decisions.dispatch(interface.HealthCheckCompleted(engine, reason, elapsed, report or {}))

    def receive_gossip(self, peer: int, contents: bytes) -> None:
        """Pass on a message from the routing policy of another gateway, given by its instance index."""
        self.decisions.dispatch(interface.GossipReceived(peer, contents))

    def apply_allocation(self, allocation: interface.FleetAllocation) -> None:
        """Apply the fleet's allocation to this gateway; it stays active until the next one."""
        self.endpoint_gate.apply_allocation(allocation)
