"""Admission of requests: a request is admitted, or rejected at once if this process can't serve it."""

from functools import partial

from rackhub import interface, logs
from rackhub.core.decision_driver import DecisionDriver
from rackhub.core.endpoint_gate import EndpointGate
from rackhub.core.lease import LeaseStatus
from rackhub.core.request import Query, RequestOutcome
from rackhub.core.request_completion import RequestCompletion
from rackhub.core.state import CoordinatorState

log = logs.logger(__name__)

MAX_MARGIN_DIVISOR = 4  # the margin before a deadline is at most a quarter of the time left


class Admission:
    """Admits or rejects each request from a front. An admitted request gets exactly one answer."""

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
        """Reject every new request from now on with a Retry-After of `backoff` microseconds."""
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
        if not query.is_subrequest:  # the deadline of the gathered request includes the margin already
            query.deadline -= self._deadline_margin(query)
        if not self._pass_to_gather_port(query):
            self._dispatch_when_confirmed(query)

    def _reject_early(self, query: Query) -> bool:
        """Reject a request that can't be admitted; return whether it was rejected.

        A subrequest belongs to an admitted request: draining and an expired lease don't reject it.
        """
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
        """Return how many microseconds before the client's deadline the answer is due.

        An answer given at the deadline would be sent late, by some iterations of the event loop.
        """
        state = self._state
        margin = state.limits.deadline_margin + 2 * state.loop_delay
        return min(margin, (query.deadline - state.clock.now()) // MAX_MARGIN_DIVISOR)

    def _pass_to_gather_port(self, query: Query) -> bool:
        """Return whether the gather port accepts the request; the policy then gets only its subrequests."""
        gather_port = self._state.gather_port
        if gather_port is None or query.is_subrequest:
            return False
        query.is_gathered = True
        if gather_port.accept(query):
            return True
        query.is_gathered = False
        return False

    def _dispatch_when_confirmed(self, query: Query) -> None:
        """Pass an admitted request to the routing policy, now or once the endpoint list is confirmed.

        If the list expires meanwhile, a request that waited is rejected, as new requests are.
        """
        if query.closed:  # cancelled, or out of time, while it waited
            return
        status = self._gate.lease_status()
        if status is LeaseStatus.UNCONFIRMED:
            log.debug("request_deferred", request=query.id, reason="the endpoint list is not confirmed")
            self._state.counters.add("requests_deferred")
            query.deferred = True
            self._gate.call_when_settled(query, partial(self._dispatch_when_confirmed, query))
        elif status is LeaseStatus.EXPIRED and query.deferred:
            self._reject(query, "over_lease", self._state.overload_backoff())
        else:
            query.deferred = False
            self._dispatch(query)

    def _dispatch(self, query: Query) -> None:
        """Pass an admitted request to the routing policy."""
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
