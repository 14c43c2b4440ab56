"""Budgets of retries and hedges: how many may be sent for the requests that were served within a sliding time. Pure.

A token bucket that fills with each request would let a long calm pay for a burst of retries at the worst moment. So
only events within the last `span` microseconds count, in `STEPS` steps; older ones pay for nothing.

Only a served request adds to the budget, and one that was shed with nothing sent takes back twice as much: where the
decision module sheds a third of the requests, or none is served, retries would only displace requests that can still be
served in time. docs/design/timings.md has the measurements.
"""

STEPS = 20
SERVED, SPENT, SHED = range(3)
# Overload: more than one request in this many was shed, compared with those served, in the current and the last step.
MIN_SERVED_PER_SHED = 10


class SlidingBudget:
    """Counts of served, spent and shed within the last `span` microseconds, to the accuracy of one step."""

    __slots__ = ("span", "_step_length", "_current_step", "_steps", "totals")

    def __init__(self, span: int):
        self.span = span
        self._step_length = max(span // STEPS, 1)
        self._current_step = -1
        self._steps = [[0] * STEPS for _ in range(3)]
        self.totals = [0, 0, 0]

    def _advance(self, now: int) -> int:
        """Drop expired steps and return the index of the current one.

        While the clock is behind its latest time, the newest step counts as the current one.
        """
        step = now // self._step_length
        if step <= self._current_step:  # the usual case
            return self._current_step % STEPS
        for expired in range(max(self._current_step + 1, step - STEPS + 1), step + 1):
            index = expired % STEPS
            for event, counts in enumerate(self._steps):
                self.totals[event] -= counts[index]
                counts[index] = 0
        self._current_step = step
        return step % STEPS

    def count(self, event: int, now: int) -> None:
        """Count one event: SERVED, SPENT or SHED."""
        step = now // self._step_length
        self._steps[event][step % STEPS if step == self._current_step else self._advance(now)] += 1
        self.totals[event] += 1

    def may_spend(self, now: int, share: float, floor: int) -> bool:
        """Return whether one more may be spent: `floor` are always allowed, beyond them `share` of the requests served.

        Requests shed reduce the share, and none beyond the floor is allowed during an overload.
        """
        if self.totals[SPENT] < floor:  # the usual case; dropping expired steps could only lower the total
            return True
        index = self._advance(now)
        served, spent, shed = self.totals
        if spent < floor:
            return True
        recent = [counts[index] + counts[index - 1] for counts in self._steps]
        # Requests served during a calm must not pay for retries in the first seconds of an overload.
        return spent < share * (served - 2 * shed) and recent[SHED] * MIN_SERVED_PER_SHED <= recent[SERVED]

    def time_until_refill(self, now: int) -> int:
        """Return the microseconds until the oldest spending expires, as a Retry-After; 0 if nothing was spent."""
        self._advance(now)
        spent = self._steps[SPENT]
        for age in range(STEPS - 1, -1, -1):
            if spent[(self._current_step - age) % STEPS]:
                return (STEPS - age) * self._step_length
        return 0
