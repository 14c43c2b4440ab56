"""The attempts of the requests: when one may start, how it is given up, and its one completion."""

from collections.abc import Sequence

from rackhub import interface, logs
from rackhub.core.decision_driver import DecisionDriver
from rackhub.core.endpoint_gate import EndpointGate
from rackhub.core.lease import LeaseStatus
from rackhub.core.request import Attempt, AttemptState, Query, RequestOutcome
from rackhub.core.request_completion import RequestCompletion
from rackhub.core.request_policy import RetryDecision
from rackhub.core.state import ClassCounter, CoordinatorState
from rackhub.core.timers import DEFER_UNCONDITIONALLY
from rackhub.interface import Idempotency, Outcome
from rackhub.policy.retries import NOT_EXECUTED_OUTCOMES

log = logs.logger(__name__)

# Python 3.11 looks up an enum's member by a slow call: each request would pay for some.
SUCCESS = Outcome.SUCCESS
IDEMPOTENCY_KEY = Idempotency.IDEMPOTENCY_KEY
SERVED = RequestOutcome.SERVED
ATTEMPTS = ClassCounter.ATTEMPTS

ACCEPTED_OUTCOMES = (Outcome.SUCCESS, Outcome.ERROR)  # ends by an engine that took the request
RETRY_AT_ONCE = RetryDecision(may_retry=True)
WINDOW_MARGIN_DIVISOR = 20  # a 20th of the idempotency window is left unused


class AttemptRunner:
    """Starts, gives up and completes attempts."""

    def __init__(self, state: CoordinatorState, decisions: DecisionDriver) -> None:
        self._state = state
        self._decisions = decisions
        self._gate = EndpointGate(state, decisions, self._begin_when_in_time)
        self._completion = RequestCompletion(state, self.give_up)

    @property
    def gate(self) -> EndpointGate:
        """What holds attempts back while the endpoint list is not confirmed."""
        return self._gate

    @property
    def completion(self) -> RequestCompletion:
        """What completes the requests."""
        return self._completion

    def start(self, action: interface.Send) -> None:
        """Carry out the policy's decision to send a request to an engine, as far as the settings allow it."""
        state = self._state
        query = state.queries.get(action.query)
        if query is None:  # nothing is sent for a request that is over: the policy closed it itself
            state.counters.add("attempts_not_sent")
            return
        now = state.clock.now()
        attempt = Attempt(query, query.attempts, action.engine, now)
        attempt.deadline = min(query.deadline, now + action.timeout) if action.timeout > 0 else query.deadline
        if not self._may_start(attempt, action.timeout, now):
            self._reject(attempt, Outcome.NOT_EXECUTED)
            return
        hedge_after = self._apply_operator_terms(attempt, now)
        self._guard_idempotency_window(attempt, now)
        self._register(attempt, now)
        if hedge_after and now + hedge_after < attempt.deadline:
            state.timers.call_at(now + hedge_after, self._offer_hedge, attempt)
        self._begin_when_in_time(attempt)

    def begin(self, attempt: Attempt) -> None:
        """Hand an attempt to the engine port, unless it was given up meanwhile or must wait for the endpoint list."""
        if attempt.state is not AttemptState.PENDING:
            return
        attempt.sent_at = self._state.clock.now()
        if self._gate.lease_status() is LeaseStatus.UNCONFIRMED:
            log.debug("attempt_held", request=attempt.query.id, reason="the endpoint list is not confirmed")
            self._gate.defer(attempt)
            return
        if blocked_by := attempt.send_blocked_by(attempt.sent_at, self._state.lease):
            self._reject(attempt, blocked_by)
            return
        if attempt.query.reply.may_have_unread_input:  # the client's disconnect may be among what is still to be read
            self._state.timers.call_after_reads(DEFER_UNCONDITIONALLY, self.begin, attempt)
            return
        attempt.state = AttemptState.IN_FLIGHT
        self._state.engine_port.send(attempt)

    def cancel(self, action: interface.Cancel) -> None:
        """Carry out the policy's cancellation of an attempt."""
        attempt = self._state.in_flight.get((action.query, action.attempt))
        if attempt is not None:
            self.give_up(attempt, Outcome.CANCELLED)

    def give_up(self, attempt: Attempt, outcome: str) -> None:
        """Stop waiting for an attempt. One that has not left completes at once, as not executed.

        Any other completes a little later: a retry that overtook the cancellation on another connection would be a
        second attempt at the same time. The cancellation leaves in the next iteration of the event loop, which may
        be a long one, so the time runs from the iteration after.
        """
        if attempt.done:
            return
        unsent = attempt.unsent
        attempt.state = AttemptState.CANCELLING
        log.debug(
            "attempt_cancelled",
            request=attempt.query.id,
            attempt=attempt.number,
            engine=attempt.engine,
            reason=outcome,
            unsent=unsent,
        )
        self._state.engine_port.give_up(attempt)
        if unsent:
            closed = attempt.query.closed
            self.complete(attempt, Outcome.NOT_EXECUTED if closed else Outcome.CONNECT_FAILED)
            return
        self._state.timers.call_at(self._state.clock.now(), self._cancellation_sent, attempt, outcome)

    def complete(
        self, attempt: Attempt, outcome: str, report: dict[str, float] | None = None, rows: Sequence[bytes] = ()
    ) -> None:
        """End an attempt, once. Its client has the answer before the policy is notified."""
        query = attempt.query
        now = self._state.clock.now()
        was_sent = self._remove(attempt, outcome)
        self._update_lease(attempt, outcome, now)
        self._state.counters.add(f"out_{outcome.lower()}")
        log.debug(
            "attempt_ended",
            request=query.id,
            attempt=attempt.number,
            engine=attempt.engine,
            reason=outcome,
            after_us=now - attempt.sent_at,
        )
        if outcome == SUCCESS:
            self._completion.complete(query, SERVED, rows)
        if was_sent and self._state.fleet_coordinator is not None:
            self._state.fleet_coordinator.attempt_completed(attempt, outcome, now)
        decision = self._retry_decision(attempt, outcome, now)
        self._decisions.dispatch(
            interface.AttemptCompleted(
                query.id,
                attempt.number,
                outcome,
                settled=query.closed,
                engine=attempt.engine,
                elapsed=now - attempt.sent_at,
                report=report or {},
                may_retry=decision.may_retry,
                retry_delay=decision.delay,
                backoff=decision.backoff,
            )
        )

    def apply_hints(self, action: interface.ExecutionHints) -> None:
        """Set a request's priority, for further attempts and for those in flight."""
        query = self._state.queries.get(action.query)
        if query is None or query.priority == action.priority or query.priority_pinned:
            return
        query.priority = action.priority
        for attempt in query.in_flight.values():
            self._state.counters.add("hurries")
            self._state.engine_port.promote(attempt)

    def _begin_when_in_time(self, attempt: Attempt) -> None:
        """Begin an attempt; where the event loop is late, only after it has read all sockets."""
        self._state.timers.call_after_reads(self._state.limits.late_iteration_delay, self.begin, attempt)

    def _may_start(self, attempt: Attempt, timeout: int, now: int) -> bool:
        query = attempt.query
        settings = self._state.settings
        in_flight = len(query.in_flight)
        if in_flight and (not settings.hedging or in_flight > 1):
            return False
        if query.attempts >= settings.max_attempts or timeout < 0 or attempt.deadline <= now:
            return False
        policy = self._state.request_policy
        if query.terms is None or policy is None or not query.attempts:
            return True
        return policy.may_send(query.terms, query.attempts, self._is_hedge(query), now)

    def _reject(self, attempt: Attempt, outcome: str) -> None:
        self._state.counters.add("attempts_not_sent")
        self.complete(attempt, outcome)

    def _is_hedge(self, query: Query) -> bool:
        return bool(query.in_flight) and query.hedge_requested

    def _apply_operator_terms(self, attempt: Attempt, now: int) -> int:
        """Set what the operator's terms say of an attempt; the delay until a hedge is due, 0: none."""
        query = attempt.query
        policy = self._state.request_policy
        if query.terms is None or policy is None:
            return 0
        kind = self._state.kind_of(attempt.engine)
        terms = policy.attempt_terms(query.terms, attempt.number, kind, self._is_hedge(query), now)
        attempt.send_by = terms.send_by
        if terms.timeout and now + terms.timeout < attempt.deadline:
            attempt.deadline = now + terms.timeout
            attempt.timeout_configured = True
        if terms.priority is not None:
            query.priority = terms.priority
            query.priority_pinned = True
        return terms.hedge_after

    def _guard_idempotency_window(self, attempt: Attempt, now: int) -> None:
        """Limit when a retry may leave: engines forget an idempotency key after the window.

        The limit also holds while the attempt waits for a connection.
        """
        query = attempt.query
        settings = self._state.classes.get(query.cls)
        if settings is None or settings.idempotency != IDEMPOTENCY_KEY:
            return
        if query.possibly_executed:
            window = settings.idempotency_window
            margin = max(window // WINDOW_MARGIN_DIVISOR, self._state.limits.cancellation_delay)
            latest = min(query.possibly_executed.values()) + window - margin
            attempt.send_by = min(attempt.send_by or latest, latest)
        query.possibly_executed[attempt.number] = now

    def _register(self, attempt: Attempt, now: int) -> None:
        """Count an attempt as in flight and notify the ports."""
        state = self._state
        query = attempt.query
        query.attempts += 1
        query.in_flight[attempt.number] = attempt
        state.in_flight[query.id, attempt.number] = attempt
        state.counters.add("attempts")
        log.debug("attempt_chosen", request=query.id, attempt=attempt.number, engine=attempt.engine)
        state.count_by_class(query.cls, ATTEMPTS)
        if state.request_journal is not None and query.idempotency_key:
            state.request_journal.attempt_sent(attempt)
        if state.fleet_coordinator is not None:
            state.fleet_coordinator.attempt_sent(attempt, now)

    def _remove(self, attempt: Attempt, outcome: str) -> bool:
        """Count an attempt as done; whether it had been registered as in flight."""
        query = attempt.query
        attempt.state = AttemptState.DONE
        query.in_flight.pop(attempt.number, None)
        was_sent = self._state.in_flight.get((query.id, attempt.number)) is attempt
        if was_sent:
            del self._state.in_flight[query.id, attempt.number]
        if outcome in NOT_EXECUTED_OUTCOMES:
            query.possibly_executed.pop(attempt.number, None)
        return was_sent

    def _update_lease(self, attempt: Attempt, outcome: str, now: int) -> None:
        """Take the outcome as evidence of whether the engine drains."""
        lease = self._state.lease
        if lease is None:
            return
        if outcome == Outcome.OVERLOADED:
            lease.engine_rejected(attempt.engine, now)
        elif outcome in ACCEPTED_OUTCOMES:
            lease.engine_accepted(attempt.engine, attempt.sent_at)

    def _retry_decision(self, attempt: Attempt, outcome: str, now: int) -> RetryDecision:
        """Notify the operator's terms of a completed attempt, and ask them whether the request may be retried."""
        query = attempt.query
        policy = self._state.request_policy
        if query.terms is None or policy is None or outcome == Outcome.NOT_EXECUTED:
            return RETRY_AT_ONCE
        timed_out = outcome == Outcome.TIMED_OUT and attempt.timeout_configured
        kind = self._state.kind_of(attempt.engine)
        elapsed = now - attempt.sent_at
        policy.attempt_completed(query.terms, attempt.number, kind, attempt.engine, outcome, elapsed, timed_out, now)
        if query.closed or query.in_flight:
            return RETRY_AT_ONCE
        return policy.retry_decision(query.terms, outcome, query.attempts, now)

    def _cancellation_sent(self, attempt: Attempt, outcome: str) -> None:
        completes_at = self._state.clock.now() + self._state.limits.cancellation_delay
        self._state.timers.call_at(completes_at, self.complete, attempt, outcome)

    def _offer_hedge(self, attempt: Attempt) -> None:
        """Offer the policy a hedge beside an attempt, where the operator's terms still allow one."""
        query = attempt.query
        policy = self._state.request_policy
        if attempt.done or query.closed or len(query.in_flight) != 1 or query.terms is None or policy is None:
            return
        kind = self._state.kind_of(attempt.engine)
        if policy.may_hedge(query.terms, kind, query.attempts, self._state.clock.now()):
            query.hedge_requested = True
            self._decisions.dispatch(interface.HedgeDue(query.id))
            query.hedge_requested = False
