"""For how long the list of engines in force may be acted on. Decides alone, does no I/O; times are microseconds.

An engine may drain right after the question whose answer came last. The coordinator counts as told of that at the
latest some time later, whether it heard or not, and may send there for the grace after it. Where questions are asked
and answered in turn this never binds. It binds where nothing has come for too long: the process stood still, so that it
has not asked, or nothing answers.

In a silence the engines tell: one that takes a request does not drain, and one that turns a request away may. So an
engine goes on getting requests for the grace after the last one that it took, and none once it has turned one away.
"""

import enum
from collections.abc import Iterable

from rackhub.limits import Limits


class Standing(enum.Enum):
    """What the list is good for now."""

    CONFIRMED = enum.auto()
    UNCONFIRMED = enum.auto()  # it may be out of date, and an answer is on its way: wait for it
    EXPIRED = enum.auto()  # it may be out of date, and nothing answers: nothing may be sent by it


class EndpointLease:
    """A lease on the list of engines, renewed by each good answer from when its question was asked."""

    def __init__(self, limits: Limits, grace: int, now: int):
        """`grace`: how long after being told requests may still go to an engine that drains."""
        self._prompt = limits.told_prompt + grace - limits.lease_margin
        self._longest = limits.told_longest + grace - limits.lease_margin
        self._patience, self._confirmed = limits.answer_patience, now
        self._waits_since: int | None = None  # for an answer, asking all the time; none: the last question was answered
        self._grace = grace - limits.lease_margin
        self._taken: dict[str, int] = {}  # by engine: when the last request that it took was sent
        self._turned_away: dict[str, int] = {}  # by engine: when it last turned a request away
        self._asked_last = now

    def poll_started(self, now: int) -> None:
        """A question has been sent."""
        if self._waits_since is None or now - self._asked_last >= self._patience:
            self._waits_since = now
        self._asked_last = now

    def poll_confirmed(self, asked_at: int) -> None:
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

    # ---- single engines

    def engine_accepted(self, engine: str, sent: int) -> None:
        """An engine has taken a request that was sent then."""
        self._taken[engine] = max(sent, self._taken.get(engine, sent))

    def engine_rejected(self, engine: str, now: int) -> None:
        """An engine has turned a request away: it is full, or it drains."""
        self._turned_away[engine] = now

    def allows(self, engine: str, now: int) -> bool:
        """Whether the engine may be sent to, as far as the list is in force for it."""
        age = now - self._confirmed
        if age <= self._patience:
            return True
        taken = self._taken.get(engine, self._confirmed)
        if self._turned_away.get(engine, self._confirmed) > max(taken, self._confirmed):
            return False
        return age <= self._prompt or now <= taken + self._grace

    def ineligible(self, engines: Iterable[str], now: int) -> frozenset[str]:
        """Those of the engines that may not be sent to."""
        if now - self._confirmed <= self._patience:
            return frozenset()
        return frozenset(engine for engine in engines if not self.allows(engine, now))
