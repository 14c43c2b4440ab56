"""Coordinates the requests of one process: fronts submit them, the routing policy decides, an engine port sends.

Whatever the policy decides, the coordinator guarantees one answer to each request in time, and no more attempts of a
request, one after another or at once, than the settings allow. It knows no wire protocol.
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

ANSWER_PERIODS = 2  # the policy ends a request this many of its periods before the deadline


class Coordinator(CoordinatorState):
    """The state of the requests and the parts that act on it, behind one interface for fronts and ports.

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
        """Begin with an endpoint list that was kept, until the resolver's comes."""
        self.engines = engines
        self.engine_kinds = {entry.engine: entry.kind for entry in entries}
        self.decisions.dispatch(interface.Started())
        self.decisions.dispatch(interface.EndpointList("Persisted", tuple(entries), revision))
        self.deadline_monitor.sweep()

    def start_draining(self, backoff: int) -> None:
        """Serve what was admitted, and reject every new request with a Retry-After of `backoff` microseconds."""
        self.admission.start_draining(backoff)

    # ---- fronts

    def is_known_id(self, id: str) -> bool:
        """Whether a request of this id is open or was completed lately. Each request, also a retry, has a new id."""
        return id in self.queries or self.completion.is_recent(id)

    def is_near_deadline(self, query: Query) -> bool:
        """Whether an answer given now is given for want of time."""
        return self.clock.now() >= query.deadline - ANSWER_PERIODS * self.settings.clock_period

    def submit(self, query: Query) -> None:
        """Admit a request, which is then owed exactly one answer, or reject it at once."""
        self.admission.submit(query)

    def disconnect_client(self, query: Query) -> None:
        """Stop a request whose client has cancelled it or is gone: it is owed no answer."""
        if self.completion.complete(query, RequestOutcome.DISCONNECTED):
            self._abandon(query)

    def complete_gathered(self, query: Query, how: str, rows: Sequence[bytes] = (), backoff: int = 0) -> bool:
        """Answer a request that the gather port has accepted.

        `how` is served (with `rows` and `query.gather_status`), refused (with a Retry-After of `backoff`
        microseconds) or failed. Returns False if the request was completed before.

        Raises:
            ValueError: `how` is none of these.
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
        """Notify whoever decides on a request that it was completed without them."""
        if not query.is_gathered:
            self.decisions.dispatch(interface.ClientDisconnected(query.id))
        elif self.gather_port is not None:
            self.gather_port.client_disconnected(query)

    # ---- the engine port

    def complete_attempt(
        self, attempt: Attempt, reason: str, report: dict[str, float] | None = None, rows: Sequence[bytes] = ()
    ) -> None:
        """Take the end of an attempt from the port; `rows` are all pages of a success.

        The first end counts: one that crosses with a time-out or a cancellation is ignored.
        """
        if not attempt.done:
            self.attempts.complete(attempt, reason, report, rows)

    def report_progress(self, attempt: Attempt, topic: int, value: float) -> None:
        """Take an engine's progress report on an attempt that is in flight."""
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
        """Take the complete endpoint list, as the resolver has it now."""
        self.counters.add("lists_told")
        self.engine_kinds = {entry.engine: entry.kind for entry in entries}
        self.decisions.dispatch(interface.EndpointList("Complete", tuple(entries), revision))

    def endpoint_poll_started(self) -> int:
        """Note that the resolver is polled; the time of that."""
        return self.endpoint_gate.poll_started()

    def endpoint_poll_confirmed(self, started_at: int) -> None:
        """Take the endpoint list in force as confirmed by the poll that began at `started_at`."""
        self.endpoint_gate.poll_confirmed(started_at)

    # ---- the fleet coordinator

    def complete_health_check(
        self, engine: str, reason: str, elapsed: int, report: dict[str, float] | None = None
    ) -> None:
        """Take the end of a health check: GOOD, LATE or NOCONN after `elapsed` microseconds."""
        self.decisions.dispatch(interface.HealthCheckCompleted(engine, reason, elapsed, report or {}))

    def receive_gossip(self, peer: int, contents: bytes) -> None:
        """Take a message of another gateway's policy."""
        self.decisions.dispatch(interface.GossipReceived(peer, contents))

    def apply_allocation(self, allocation: interface.FleetAllocation) -> None:
        """Take what the fleet allocates to this gateway; it holds until the next allocation."""
        self.endpoint_gate.apply_allocation(allocation)
