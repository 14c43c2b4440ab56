"""Counts over a sliding time: how many further attempts or copies there may be for the requests served. Pure.

A bucket that fills with each request would let a long calm pay for a burst of repeats at the worst moment; so what is
counted is what happened within the last `over` microseconds, in PARTS steps, and what is older pays for nothing.

Only a request that was served pays in, and one that was turned away with nothing sent takes back twice as much: where
the module turns away a third of what comes, or nothing gets through, there is no room for repeats, which would only
take the place of requests that can still be served in time. (docs/design/timings.md has what it costs otherwise.)
"""

PARTS = 20
SERVED, SPENT, SHED = range(3)
SHED_PART = 10  # turned away in this step and the last, against served: more than one in so many is an overload


class Window:
    """How many were served, spent and turned away within the last `over` microseconds, give or take a step."""

    __slots__ = ("over", "_step", "_now", "_steps", "sums")

    def __init__(self, over: int):
        self.over = over
        self._step = max(over // PARTS, 1)
        self._now = -1
        self._steps = [[0] * PARTS for _ in range(3)]
        self.sums = [0, 0, 0]

    def _advance(self, now: int) -> int:
        """Drop what is too old; the place of this moment. A clock that goes back counts in the newest step."""
        at = now // self._step
        if at <= self._now:  # most calls
            return self._now % PARTS
        for old in range(max(self._now + 1, at - PARTS + 1), at + 1):
            i = old % PARTS
            for what, steps in enumerate(self._steps):
                self.sums[what] -= steps[i]
                steps[i] = 0
        self._now = at
        return at % PARTS

    def count(self, what: int, now: int) -> None:
        """One more of SERVED, SPENT or SHED."""
        at = now // self._step
        self._steps[what][at % PARTS if at == self._now else self._advance(now)] += 1
        self.sums[what] += 1

    def may(self, now: int, share: float, floor: int) -> bool:
        """Whether one more may be spent: `floor` always, beyond that `share` of what there is room for."""
        if self.sums[SPENT] < floor:  # as a rule; what is too old to count makes it more, never less
            return True
        at = self._advance(now)
        served, spent, shed = self.sums
        if spent < floor:
            return True
        lately = [steps[at] + steps[at - 1] for steps in self._steps]
        # what a calm paid in must not pay for the first seconds of an overload
        return spent < share * (served - 2 * shed) and lately[SHED] * SHED_PART <= lately[SERVED]

    def room_in(self, now: int) -> int:
        """Microseconds until the oldest that was spent counts no more: when to come back."""
        self._advance(now)
        spent = self._steps[SPENT]
        for back in range(PARTS - 1, -1, -1):
            if spent[(self._now - back) % PARTS]:
                return (PARTS - back) * self._step
        return 0
