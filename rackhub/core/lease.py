"""For how long the list of engines in force may be acted on. Decides alone, does no I/O; times are microseconds.

An engine may drain right after the question whose answer came last. The coordinator counts as told of that at the
latest some time later, whether it heard or not, and may send there for the grace after it. Where questions are asked
and answered in turn this never binds. It binds where nothing has come for too long: the process stood still, so that it
has not asked, or nothing answers.
"""

import enum

from rackhub.limits import Limits


class Standing(enum.Enum):
    """What the list is good for now."""

    CONFIRMED = enum.auto()
    UNCONFIRMED = enum.auto()  # it may be out of date, and an answer is on its way: wait for it
    EXPIRED = enum.auto()  # it may be out of date, and nothing answers: nothing may be sent by it


class ListLease:
    """A lease on the list of engines, renewed by each good answer from when its question was asked."""

    def __init__(self, limits: Limits, grace: int, now: int):
        """`grace`: how long after being told requests may still go to an engine that drains."""
        self._prompt = limits.told_prompt + grace - limits.lease_margin
        self._longest = limits.told_longest + grace - limits.lease_margin
        self._needed, self._confirmed, self._unanswered = limits.polls_silent, now, 0

    def asked(self) -> None:
        """A question has been sent."""
        self._unanswered += 1

    def confirmed(self, asked_at: int) -> None:
        """A good answer came to the question asked then: the list holds all that had happened by that time."""
        self._confirmed, self._unanswered = max(self._confirmed, asked_at), 0

    def standing(self, now: int) -> Standing:
        """What the list is good for at `now`."""
        age = now - self._confirmed
        if age <= self._prompt:
            return Standing.CONFIRMED
        if self._unanswered < self._needed:  # it did not ask in all that time, or only just now
            return Standing.UNCONFIRMED
        return Standing.CONFIRMED if age <= self._longest else Standing.EXPIRED
