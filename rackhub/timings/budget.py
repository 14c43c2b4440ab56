"""Counts over a sliding time: how many further attempts or copies there may be for the requests taken. Pure.

A bucket that fills with each request would let a long calm pay for a burst of repeats at the worst moment; so what is
counted is what happened within the last `over` microseconds, in PARTS steps, and older requests pay for nothing.
"""

PARTS = 20


class Window:
    """How many of two things happened within the last `over` microseconds, give or take a step."""

    __slots__ = ("over", "_step", "_now", "_taken", "_spent", "taken", "spent")

    def __init__(self, over: int):
        self.over = over
        self._step = max(over // PARTS, 1)
        self._now = -1
        self._taken, self._spent = [0] * PARTS, [0] * PARTS
        self.taken = self.spent = 0

    def _advance(self, now: int) -> int:
        """Drop what is too old; the place of this moment. A clock that goes back counts in the newest step."""
        at = now // self._step
        if at <= self._now:  # most calls
            return self._now % PARTS
        for old in range(max(self._now + 1, at - PARTS + 1), at + 1):
            i = old % PARTS
            self.taken -= self._taken[i]
            self.spent -= self._spent[i]
            self._taken[i] = self._spent[i] = 0
        self._now = at
        return at % PARTS

    def take(self, now: int) -> None:
        """A request was taken."""
        self._taken[self._advance(now)] += 1
        self.taken += 1

    def may(self, now: int, share: float, floor: int) -> bool:
        """Whether one more may be spent: `floor` always, beyond that `share` of what was taken."""
        self._advance(now)
        return self.spent < max(floor, share * self.taken)

    def spend(self, now: int) -> None:
        self._spent[self._advance(now)] += 1
        self.spent += 1

    def room_in(self, now: int) -> int:
        """Microseconds until the oldest that was spent counts no more: when to come back."""
        self._advance(now)
        for back in range(PARTS - 1, -1, -1):
            if self._spent[(self._now - back) % PARTS]:
                return (PARTS - back) * self._step
        return 0
