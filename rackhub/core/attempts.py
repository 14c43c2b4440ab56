"""Attempts of requests: when an attempt may start, how it is cancelled, and how it completes.

Two policies decide: the routing policy (`rackhub.policy`) chooses engines and retries, and the operator's request
policy (`core.request_policy`) restricts attempts, retries and hedges.
"""

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

# Module constants: looking up an enum's member is a slow call in Python 3.11, and each request needs several.
SUCCESS = Outcome.SUCCESS
IDEMPOTENCY_KEY = Idempotency.IDEMPOTENCY_KEY
SERVED = RequestOutcome.SERVED
ATTEMPTS = ClassCounter.ATTEMPTS

ACCEPTED_OUTCOMES = (Outcome.SUCCESS, Outcome.ERROR)  # outcomes that show that the engine accepted the request
UNRESTRICTED = RetryDecision(may_retry=True)  # the operator's request policy does not restrict a retry
WINDOW_MARGIN_DIVISOR = 20  # the margin before the end of the idempotency window is at least a 20th of it


class AttemptRunner:
    """Starts, cancels and completes attempts.

    `start` checks and registers an attempt. `begin` passes it to the engine port, possibly later and after several
    calls. `give_up` cancels an attempt. `complete` removes it and reports its outcome.
    """

    def __init__(self, state: CoordinatorState, decisions: DecisionDriver) -> None:
        self._state = state
        self._decisions = decisions
        self._gate = EndpointGate(state, decisions, self._begin_after_reads)
        self._completion = RequestCompletion(state, self.give_up, self._gate.discard)

    @property
    def gate(self) -> EndpointGate:
        """The gate that defers attempts while the endpoint list is not confirmed."""
        return self._gate

    @property
    def completion(self) -> RequestCompletion:
        """The object that completes requests."""
        return self._completion

    def start(self, action: interface.Send) -> None:
        """Start an attempt that the routing policy decided on; if it may not start, complete it as not executed."""
        state = self._state
        query = state.queries.get(action.query)
        if query is None:  # the request was completed before this action was executed
            state.counters.add("attempts_not_sent")
            if action.attempt is not None:
                self._decisions.dispatch(
                    interface.AttemptCompleted(action.query, action.attempt, Outcome.NOT_EXECUTED, settled=True)
                )
            return
        now = state.clock.now()
        attempt = Attempt(query, query.next_attempt_number, action.engine, now)
        query.next_attempt_number += 1
        attempt.deadline = min(query.deadline, now + action.timeout) if action.timeout > 0 else query.deadline
        if not self._may_start(attempt, action.timeout, now):
            self._reject(attempt, Outcome.NOT_EXECUTED)
            return
        hedge_after = self._apply_operator_terms(attempt, now)
        self._guard_idempotency_window(attempt, now)
        self._register(attempt, now)
        if hedge_after and now + hedge_after < attempt.deadline:
            attempt.hedge_timer = state.timers.call_at(now + hedge_after, self._offer_hedge, attempt)
        self._begin_after_reads(attempt)

    def begin(self, attempt: Attempt) -> None:
        """Pass an attempt to the engine port, unless it was cancelled meanwhile or must wait for the endpoint list."""
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
        if attempt.query.reply.may_have_unread_input:  # the client may have disconnected
            self._state.timers.call_after_reads(DEFER_UNCONDITIONALLY, self.begin, attempt)
            return
        if not self._claim_id(attempt.query):
            return
        attempt.state = AttemptState.IN_FLIGHT  # the port sets QUEUED if it can't send the attempt now
        self._state.engine_port.send(attempt)

    def _claim_id(self, query: Query) -> bool:
        """Record the id before the request's first attempt; fail the request if another process has executed it."""
        executed_ids = self._state.executed_ids
        if executed_ids is None or query.id_claimed or executed_ids.claim(query.id):
            query.id_claimed = True
            return True
        self._state.counters.add("ids_claimed_elsewhere")
        self._completion.complete(query, RequestOutcome.FAILED, "the request id was used before")
        return False

    def cancel(self, action: interface.Cancel) -> None:
        """Cancel an attempt at the routing policy's request; a completed attempt is ignored."""
        attempt = self._state.in_flight.get((action.query, action.attempt))
        if attempt is not None:
            self.give_up(attempt, Outcome.CANCELLED)

    def give_up(self, attempt: Attempt, outcome: str) -> None:
        """Cancel an attempt, for the reason `outcome`.

        An attempt that was not sent completes at once: as CONNECT_FAILED, which allows a retry, or as NOT_EXECUTED if
        its request is completed. A sent attempt completes with `outcome` after `cancellation_delay`: a retry that
        overtakes the cancellation on another connection would run at the same time as the cancelled attempt. The delay
        starts one event-loop iteration later, when the cancellation has been written, as that iteration may take long.
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
        """Remove an attempt and report its outcome.

        If it succeeded the client is answered first. The fleet, the operator's request policy and the routing policy
        are notified after that, in this order.
        """
        query = attempt.query
        now = self._state.clock.now()
        was_registered = self._remove(attempt, outcome)
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
        if was_registered and self._state.fleet_coordinator is not None:
            self._state.fleet_coordinator.attempt_completed(attempt, outcome, now)
        decision = self._report_and_decide_retry(attempt, outcome, now)
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
        """Set a request's priority for its next attempts and for those in flight; other hints are ignored."""
        query = self._state.queries.get(action.query)
        if query is None or query.priority == action.priority or query.priority_pinned:
            return
        query.priority = action.priority
        for attempt in query.in_flight.values():
            self._state.counters.add("hurries")
            self._state.engine_port.promote(attempt)

    def _begin_after_reads(self, attempt: Attempt) -> None:
        """Begin an attempt; if the event loop is late, only after it has read all sockets."""
        self._state.timers.call_after_reads(self._state.limits.late_iteration_delay, self.begin, attempt)

    def _may_start(self, attempt: Attempt, timeout: int, now: int) -> bool:
        """Return whether the settings, the deadline and, for a retry or hedge, the operator's terms allow an attempt.

        The settings limit the attempts in total and at once.
        """
        query = attempt.query
        settings = self._state.settings
        in_flight = len(query.in_flight)
        if in_flight and (not settings.hedging or in_flight > 1):
            return False
        if query.attempts >= settings.max_attempts or timeout < 0 or attempt.deadline <= now:
            return False
        operator_policy = self._state.request_policy
        if query.terms is None or operator_policy is None or not query.attempts:
            return True
        return operator_policy.may_send(query.terms, query.attempts, self._is_configured_hedge(query), now)

    def _reject(self, attempt: Attempt, outcome: str) -> None:
        self._state.counters.add("attempts_not_sent")
        self.complete(attempt, outcome)

    def _is_configured_hedge(self, query: Query) -> bool:
        """Return whether a new attempt is a hedge that `_offer_hedge` offered, not one chosen by the routing policy."""
        return bool(query.in_flight) and query.hedge_requested

    def _apply_operator_terms(self, attempt: Attempt, now: int) -> int:
        """Set the attempt's `send_by` and deadline and the request's priority by the operator's terms.

        Returns the delay in microseconds until a hedge is due, 0 for none.
        """
        query = attempt.query
        operator_policy = self._state.request_policy
        if query.terms is None or operator_policy is None:
            return 0
        kind = self._state.kind_of(attempt.engine)
        terms = operator_policy.attempt_terms(query.terms, attempt.number, kind, self._is_configured_hedge(query), now)
        attempt.send_by = terms.send_by
        if terms.timeout and now + terms.timeout < attempt.deadline:
            attempt.deadline = now + terms.timeout
            attempt.timeout_configured = True
        if terms.priority is not None:
            query.priority = terms.priority
            query.priority_pinned = True
        return terms.hedge_after

    def _guard_idempotency_window(self, attempt: Attempt, now: int) -> None:
        """Forbid to send a retry near the end of the idempotency window, after which engines forget the key.

        The window starts with the earliest attempt that may have run. The limit also applies while the attempt waits
        for a connection. Then record this attempt as one that may run.
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
        """Register an attempt as in flight, count it, and notify the request journal and the fleet coordinator."""
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
        """Remove a completed attempt; return whether it had been registered as in flight."""
        query = attempt.query
        attempt.state = AttemptState.DONE
        self._gate.discard(attempt)
        if attempt.hedge_timer is not None:
            attempt.hedge_timer.cancel()
        query.in_flight.pop(attempt.number, None)
        was_registered = self._state.in_flight.get((query.id, attempt.number)) is attempt
        if was_registered:
            del self._state.in_flight[query.id, attempt.number]
        if outcome in NOT_EXECUTED_OUTCOMES:
            query.possibly_executed.pop(attempt.number, None)
        else:
            query.may_have_run = True
        return was_registered

    def _update_lease(self, attempt: Attempt, outcome: str, now: int) -> None:
        """Record the outcome as evidence of whether the engine is draining."""
        lease = self._state.lease
        if lease is None:
            return
        if outcome == Outcome.OVERLOADED:
            lease.engine_rejected(attempt.engine, now)
        elif outcome in ACCEPTED_OUTCOMES:
            lease.engine_accepted(attempt.engine, attempt.sent_at)

    def _report_and_decide_retry(self, attempt: Attempt, outcome: str, now: int) -> RetryDecision:
        """Report an attempt's outcome to the operator's request policy; return whether and when it allows a retry."""
        query = attempt.query
        operator_policy = self._state.request_policy
        if query.terms is None or operator_policy is None or outcome == Outcome.NOT_EXECUTED:
            return UNRESTRICTED
        timed_out = outcome == Outcome.TIMED_OUT and attempt.timeout_configured
        kind = self._state.kind_of(attempt.engine)
        elapsed = now - attempt.sent_at
        operator_policy.attempt_completed(
            query.terms, attempt.number, kind, attempt.engine, outcome, elapsed, timed_out, now
        )
        if query.closed or query.in_flight:
            return UNRESTRICTED
        return operator_policy.retry_decision(query.terms, outcome, query.attempts, now)

    def _cancellation_sent(self, attempt: Attempt, outcome: str) -> None:
        completes_at = self._state.clock.now() + self._state.limits.cancellation_delay
        self._state.timers.call_at(completes_at, self.complete, attempt, outcome)

    def _offer_hedge(self, attempt: Attempt) -> None:
        """Offer the routing policy a hedge for an attempt in flight, if the operator's terms still allow it."""
        query = attempt.query
        operator_policy = self._state.request_policy
        if attempt.done or query.closed or len(query.in_flight) != 1 or query.terms is None or operator_policy is None:
            return
        kind = self._state.kind_of(attempt.engine)
        if operator_policy.may_hedge(query.terms, kind, query.attempts, self._state.clock.now()):
            query.hedge_requested = True
            self._decisions.dispatch(interface.HedgeDue(query.id))
            query.hedge_requested = False
