"""When the resolver is polled next: a pure state machine without I/O, from answers and their absence to delays.

Many coordinators that retry at once keep an overloaded resolver overloaded. So only the first retry is quick, as a
single packet may be lost; further ones back off exponentially up to a maximum, and every delay is jittered.

The bound: a coordinator makes 1 / (0.8 poll) calls a second at most while it is answered, and while it is not, four in
the first second and then 1 / (0.8 poll_again_most): 2.5. Forty make 200, and 100 where nothing answers. A socket whose
answers stop coming, for good or from the first call on, is replaced after `failed_polls_before_new_socket` calls: at
the latest poll_interval + (2^failed_polls_before_new_socket - 1) poll_retry_interval, 0.67 s, after its last good
answer.
"""

from collections.abc import Callable

from rackhub.limits import Limits

MAX_BACKOFF_DOUBLINGS = 16


class PollSchedule:
    """Delays between polls, in microseconds."""

    def __init__(self, limits: Limits, random: Callable[[], float]):
        """`random` returns numbers from 0 to 1, for the jitter."""
        self._limits = limits
        self._random = random
        self._unanswered = 0  # polls since the last good answer

    def answer_received(self) -> int:
        """Record a good answer and return the delay until the next poll."""
        self._unanswered = 0
        return self._with_jitter(self._limits.poll_interval)

    def poll_sent(self) -> int:
        """Record a poll and return the delay until the next one, unless a good answer comes before."""
        backoff = self._limits.poll_retry_interval << min(self._unanswered, MAX_BACKOFF_DOUBLINGS)
        self._unanswered += 1
        return self._with_jitter(min(backoff, self._limits.max_poll_retry_interval))

    def needs_new_socket(self) -> bool:
        """Whether the next poll should go out from a new socket.

        True only for every unanswered poll whose number is a multiple of `failed_polls_before_new_socket`, so that a
        slow answer still finds the socket it is for.
        """
        return self._unanswered > 0 and self._unanswered % self._limits.failed_polls_before_new_socket == 0

    def silence_limit(self) -> int:
        """Return the longest time from the first unanswered poll to the first one from a new socket."""
        return self._limits.poll_retry_interval * ((1 << self._limits.failed_polls_before_new_socket) - 1)

    def server_changed(self) -> None:
        """Start anew with another resolver: that the old one did not answer says nothing about it."""
        self._unanswered = 0

    def _with_jitter(self, delay: int) -> int:
        return int(delay * (1 - self._limits.poll_jitter * self._random()))
