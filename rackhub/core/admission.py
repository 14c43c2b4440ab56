"""Admits requests, or rejects them at once where this process can't take them on."""

from rackhub import interface, logs
from rackhub.core.decision_driver import DecisionDriver
from rackhub.core.endpoint_gate import EndpointGate
from rackhub.core.lease import LeaseStatus
from rackhub.core.request import Query, RequestOutcome
from rackhub.core.request_completion import RequestCompletion
from rackhub.core.state import CoordinatorState

log = logs.logger(__name__)

LARGEST_MARGIN_DIVISOR = 4  # the deadline's margin is at most a quarter of the time left


class Admission:
    """Decides on each request that a front hands over. An admitted request is owed exactly one answer."""

    def __init__(
        self,
        state: CoordinatorState,
        decisions: DecisionDriver,
        gate: EndpointGate,
        completion: RequestCompletion,
    ) -> None:
        self._state = state
        self._decisions = decisions
        self._gate = gate
        self._completion = completion
        self._drain_backoff = 0

    def start_draining(self, backoff: int) -> None:
        """Reject every new request from now on, with a Retry-After of `backoff` microseconds."""
        self._state.accepting = False
        self._drain_backoff = backoff

    def submit(self, query: Query) -> None:
        """Admit a request, or reject it at once."""
        state = self._state
        state.counters.add("requests_in")
        if self._reject_early(query):
            return
        state.queries[query.id] = query
        log.debug("request_admitted", request=query.id, cls=query.cls, left_us=query.deadline - state.clock.now())
        state.statement_bytes += len(query.statement)
        if state.request_journal is not None and query.idempotency_key:
            state.request_journal.request_admitted(query)
        if not query.is_subrequest:  # the request that it is a part of has the margin already
            query.deadline -= self._deadline_margin(query)
        if not self._gathered(query):
            self._dispatch(query)

    def _reject_early(self, query: Query) -> bool:
        """Reject a request that can't be admitted. A subrequest belongs to a request that was admitted before."""
        state = self._state
        full = (
            len(state.queries) >= state.limits.max_open_requests
            or state.statement_bytes + len(query.statement) > state.limits.max_statement_bytes
        )
        if not state.accepting and not query.is_subrequest:
            self._reject(query, "refused_ending", self._drain_backoff)
            return True
        if self._gate.lease_status() is LeaseStatus.EXPIRED and not query.is_subrequest:
            self._reject(query, "over_lease", state.overload_backoff())
            return True
        if full or state.loop_overloaded:
            self._reject(query, "over_held" if full else "over_behind", state.overload_backoff())
            return True
        return False

    def _reject(self, query: Query, counter: str, backoff: int) -> None:
        self._state.counters.add(counter)
        log.debug("request_not_admitted", request=query.id, reason=counter)
        self._completion.complete(query, RequestOutcome.REJECTED, backoff)

    def _deadline_margin(self, query: Query) -> int:
        """How much before the client's deadline the answer is due.

        An answer given at the deadline would be late on the wire by some iterations of the event loop.
        """
        state = self._state
        margin = state.limits.deadline_margin + 2 * state.loop_delay
        return min(margin, (query.deadline - state.clock.now()) // LARGEST_MARGIN_DIVISOR)

    def _gathered(self, query: Query) -> bool:
        """Whether the gather port takes the request: then the policy sees its subrequests alone."""
        gather_port = self._state.gather_port
        if gather_port is None or query.is_subrequest:
            return False
        query.is_gathered = True
        if gather_port.accept(query):
            return True
        query.is_gathered = False
        return False

    def _dispatch(self, query: Query) -> None:
        """Hand a request to the policy."""
        state = self._state
        max_attempts = 0
        retry_window = 0
        if state.request_policy is not None:
            now = state.clock.now()
            query.terms = state.request_policy.begin_request(query.cls, query.tenant, query.estimate, now)
            max_attempts = query.terms.max_attempts
            retry_window = query.terms.retry_window
        admission = 0
        if state.fleet_coordinator is not None:
            admission = state.fleet_coordinator.request_received(query, state.clock.now())
        self._decisions.dispatch(
            interface.QueryReceived(
                query.id,
                query.cls,
                query.deadline,
                tenant=query.tenant,
                estimate=query.estimate,
                memory_mb=query.memory_mb,
                tables=query.tables,
                max_attempts=max_attempts,
                retry_window=retry_window,
                admission=admission,
                zones=query.zones,
            )
        )
