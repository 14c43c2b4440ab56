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
        self._patience, self._confirmed = limits.answer_patience, now
        self._waits_since: int | None = None  # for an answer, asking all the time; none: the last question was answered
        self._asked_last = now

    def asked(self, now: int) -> None:
        """A question has been sent."""
        if self._waits_since is None or now - self._asked_last >= self._patience:
            self._waits_since = now
        self._asked_last = now

    def confirmed(self, asked_at: int) -> None:
        """A good answer came to the question asked then: the list holds all that had happened by that time."""
        self._confirmed, self._waits_since = max(self._confirmed, asked_at), None

    def standing(self, now: int) -> Standing:
        """What the list is good for at `now`."""
        age = now - self._confirmed
        if age <= self._prompt:
            return Standing.CONFIRMED
        asking = self._waits_since is not None and now - self._asked_last < self._patience
        if not asking or now - self._waits_since < self._patience:  # it stood still, or asks again only now
            return Standing.UNCONFIRMED
        return Standing.CONFIRMED if age <= self._longest else Standing.EXPIRED
