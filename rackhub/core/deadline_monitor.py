"""Periodic check of the deadlines of attempts and requests; measures the event loop's delay too."""

from collections.abc import Callable

from rackhub import logs
from rackhub.core.attempts import AttemptRunner
from rackhub.core.request import Query, RequestOutcome
from rackhub.core.state import CoordinatorState
from rackhub.interface import Outcome

log = logs.logger(__name__)

DELAY_DECAY_DIVISOR = 256  # the recorded event-loop delay decays by a 256th at each sweep


class DeadlineMonitor:
    """Checks all open attempts and requests at a fixed interval.

    A timer for each request would outlive the request and keep its memory in use.
    """

    def __init__(self, state: CoordinatorState, attempts: AttemptRunner, abandon: Callable[[Query], None]) -> None:
        """`abandon` notifies the routing policy or the gather port that the core has completed a request."""
        self._state = state
        self._attempts = attempts
        self._abandon = abandon
        self._next_sweep_at = state.clock.now()

    def sweep(self) -> None:
        """Time out attempts, complete requests that are open past their deadline, and schedule the next sweep."""
        now = self._state.clock.now()
        self._measure_loop_delay(now)
        self._time_out_attempts(now)
        self._attempts.gate.update_ineligible(now)
        self._attempts.gate.resume_if_settled()
        self._complete_expired_requests(now)
        self._next_sweep_at = now + self._state.limits.deadline_check_interval
        self._state.timers.call_at(self._next_sweep_at, self.sweep)

    def _measure_loop_delay(self, now: int) -> None:
        """Measure the event loop's delay; above `max_event_loop_delay` new requests are shed.

        Otherwise requests queue in the sockets, each iteration takes longer than the one before, and the loop doesn't
        catch up. Rejecting a request costs no more than reading it.
        """
        state = self._state
        delay = now - self._next_sweep_at
        state.loop_overloaded = delay > state.limits.max_event_loop_delay
        state.loop_delay = max(delay, state.loop_delay - state.loop_delay // DELAY_DECAY_DIVISOR)
        if state.loop_overloaded:
            log.debug("event_loop_late", late_us=delay)

    def _time_out_attempts(self, now: int) -> None:
        expired = [each for each in self._state.in_flight.values() if each.deadline <= now and not each.done]
        for attempt in expired:
            self._attempts.give_up(attempt, Outcome.TIMED_OUT)

    def _complete_expired_requests(self, now: int) -> None:
        # A late sweep runs before those timers of the policy that expired after the sweep was due.
        latest_deadline = min(now, self._next_sweep_at) - self._state.limits.deadline_grace
        expired = [query for query in self._state.queries.values() if query.deadline <= latest_deadline]
        for query in expired:
            if self._complete_expired(query):
                self._state.counters.add("backstop_answers")
                self._abandon(query)

    def _complete_expired(self, query: Query) -> bool:
        """Complete a request past its deadline, as rejected if it was deferred: then a retry is safe."""
        log.debug("request_failed", request=query.id, reason="backstop: deadline passed", deferred=query.deferred)
        if query.deferred:
            backoff = self._state.overload_backoff()
            return self._attempts.completion.complete(query, RequestOutcome.REJECTED, backoff)
        return self._attempts.completion.complete(query, RequestOutcome.FAILED, "deadline passed")
