"""When the resolver is asked next. Decides alone, does no I/O: an answer or its absence in, a delay out.

One coordinator that asks again soon after each call without an answer is harmless. Forty that do so all at once,
because the resolver is overloaded or was away, keep it so. So the first repeat is soon, as one packet may be lost, the
next ones come ever later, and all are spread by chance.

The bound: a coordinator makes 1 / (0.8 poll) calls a second at most while it is answered, and while it is not, four in
the first second and then 1 / (0.8 poll_again_most): 2.5. Forty make 200, and 100 where nothing answers. A socket whose
answers stop coming, for good or from the first call on, is left after polls_silent calls: at the latest
poll + (2^polls_silent - 1) poll_again, 0.67 s, after its last good answer.
"""

from collections.abc import Callable

from rackhub.limits import Limits


class Asking:
    """Times are microseconds. `chance` gives numbers from 0 to 1."""

    def __init__(self, limits: Limits, chance: Callable[[], float]):
        self._limits, self._chance = limits, chance
        self._unanswered = 0  # calls since the last good answer

    def answered(self) -> int:
        """A good answer came: the time to the next call."""
        self._unanswered = 0
        return self._spread(self._limits.poll)

    def asked(self) -> int:
        """A call has just been made: the time to the next one if no good answer comes."""
        wait = self._limits.poll_again << min(self._unanswered, 16)
        self._unanswered += 1
        return self._spread(min(wait, self._limits.poll_again_most))

    def silent(self) -> bool:
        """Whether the way to the resolver is to be tried anew with the next call: with every `polls_silent`th one, so
        that an answer that is only slow still finds who asked for it."""
        return self._unanswered > 0 and self._unanswered % self._limits.polls_silent == 0

    def first_round(self) -> int:
        """From the first question that is not answered to the first one by another way, at the longest."""
        return self._limits.poll_again * ((1 << self._limits.polls_silent) - 1)

    def moved(self) -> None:
        """Another resolver is asked from now on: that the old one was silent says nothing of it."""
        self._unanswered = 0

    def _spread(self, wait: int) -> int:
        return int(wait * (1 - self._limits.poll_spread * self._chance()))
