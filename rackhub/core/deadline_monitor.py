"""Looks at the deadlines of attempts and requests at a fixed interval, and measures the event loop's delay."""

from collections.abc import Callable

from rackhub import logs
from rackhub.core.attempts import AttemptRunner
from rackhub.core.request import Query, RequestOutcome
from rackhub.core.state import CoordinatorState
from rackhub.interface import Outcome

log = logs.logger(__name__)

DELAY_DECAY_DIVISOR = 256  # the loop's delay decays by a 256th at each sweep


class DeadlineMonitor:
    """Sweeps what is open. A timer for each request would outlive it, with all that the request holds."""

    def __init__(self, state: CoordinatorState, attempts: AttemptRunner, abandon: Callable[[Query], None]) -> None:
        """`abandon` notifies whoever decides on a request that it is over."""
        self._state = state
        self._attempts = attempts
        self._abandon = abandon
        self._next_sweep_at = state.clock.now()

    def sweep(self) -> None:
        """Time out attempts, fail requests that the policy has left past their deadline, and plan the next sweep."""
        now = self._state.clock.now()
        self._measure_loop_delay(now)
        self._time_out_attempts(now)
        self._attempts.gate.update_ineligible(now)
        self._attempts.gate.resume_if_settled()
        self._fail_expired_requests(now)
        self._next_sweep_at = now + self._state.limits.deadline_check_interval
        self._state.timers.call_at(self._next_sweep_at, self.sweep)

    def _measure_loop_delay(self, now: int) -> None:
        """Shed load while the loop is late.

        Otherwise requests wait in the sockets, each iteration takes longer than the one before, and the loop doesn't
        catch up. A request that is rejected costs no more than reading it.
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

    def _fail_expired_requests(self, now: int) -> None:
        # A sweep that is late comes before the policy's own timers of the time since it was due.
        latest_deadline = min(now, self._next_sweep_at) - self._state.limits.deadline_grace
        expired = [query for query in self._state.queries.values() if query.deadline <= latest_deadline]
        for query in expired:
            log.debug("request_failed", request=query.id, reason="backstop: deadline passed")
            if self._attempts.completion.complete(query, RequestOutcome.FAILED, "deadline passed"):
                self._state.counters.add("backstop_answers")
                self._abandon(query)
