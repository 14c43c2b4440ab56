"""The schedule of the polls of the resolver: a state machine without I/O that computes the delay until the next poll.

Many coordinators that retry at once keep an overloaded resolver overloaded. So only the first retry is quick, as a
single packet may be lost; further ones back off exponentially up to a maximum, and every delay is jittered.

Bounds with the default limits: a coordinator sends at most 1 / (0.8 poll_interval) polls per second while the resolver
answers; while it does not, four in the first second and then 1 / (0.8 max_poll_retry_interval) = 2.5 per second. Forty
coordinators send at most 200 per second, and 100 without answers. A socket that receives no answers is replaced after
n = failed_polls_before_new_socket polls, at the latest poll_interval + (2^n - 1) poll_retry_interval = 0.67 s after its
last valid answer.
"""

from collections.abc import Callable

from rackhub.limits import Limits

MAX_BACKOFF_DOUBLINGS = 16


class PollSchedule:
    """Computes the delays between polls, in microseconds."""

    def __init__(self, limits: Limits, random: Callable[[], float]):
        """`random` returns numbers from 0 to 1, for the jitter."""
        self._limits = limits
        self._random = random
        self._unanswered = 0  # number of polls since the last valid answer

    def answer_received(self) -> int:
        """Record a valid answer and return the delay until the next poll."""
        self._unanswered = 0
        return self._with_jitter(self._limits.poll_interval)

    def poll_sent(self) -> int:
        """Record a poll and return the delay until the next one, if no valid answer comes before."""
        backoff = self._limits.poll_retry_interval << min(self._unanswered, MAX_BACKOFF_DOUBLINGS)
        self._unanswered += 1
        return self._with_jitter(min(backoff, self._limits.max_poll_retry_interval))

    def needs_new_socket(self) -> bool:
        """Return whether to send the next poll from a new socket.

        True only after every n = `limits.failed_polls_before_new_socket` unanswered polls, so that a slow answer can
        still reach its socket.
        """
        return self._unanswered > 0 and self._unanswered % self._limits.failed_polls_before_new_socket == 0

    def max_time_to_new_socket(self) -> int:
        """Return the longest time from the first unanswered poll to the first one from a new socket."""
        return self._limits.poll_retry_interval * ((1 << self._limits.failed_polls_before_new_socket) - 1)

    def resolver_changed(self) -> None:
        """Reset the count of unanswered polls, as another resolver is polled from now on."""
        self._unanswered = 0

    def _with_jitter(self, delay: int) -> int:
        return int(delay * (1 - self._limits.poll_jitter * self._random()))
