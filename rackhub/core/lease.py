"""How long the endpoint list in force may be acted on. It does no I/O; times are microseconds.

An engine may begin to drain right after the poll whose answer came last. The gateway counts as notified of that a
bounded time later, whether it was or not, and may send to the engine for the grace period after it. While polls are
answered in turn the lease never binds. It binds once nothing has come for too long: the process was suspended and has
not polled, or nothing answers.

While the resolver doesn't respond the engines themselves are evidence: one that accepts a request isn't draining, and
one that rejects a request may be. So an engine goes on getting requests for the grace period after the last one that
it accepted, and none once it has rejected one.
"""

import enum
from collections.abc import Iterable

from rackhub.limits import Limits


class LeaseStatus(enum.Enum):
    """Whether the endpoint list may be relied on."""

    CONFIRMED = enum.auto()
    UNCONFIRMED = enum.auto()  # it may be out of date, and an answer is on its way: wait for it
    EXPIRED = enum.auto()  # it may be out of date, and nothing answers: send nothing by it


class EndpointLease:
    """A lease on the endpoint list, renewed by each answered poll as of the poll's start."""

    def __init__(self, limits: Limits, grace: int, now: int) -> None:
        """`grace` is how long a draining engine still accepts requests after gateways are notified."""
        self._grace = grace - limits.lease_margin
        self._prompt = limits.notification_time + self._grace
        self._longest = limits.max_notification_time + self._grace
        self._answer_timeout = limits.poll_answer_timeout
        self._confirmed_at = now
        self._last_poll_at = now
        self._waiting_since: int | None = None  # polling without an answer since then; None: the last was answered
        self._accepted_at: dict[str, int] = {}  # by engine: the send time of the last request that it accepted
        self._rejected_at: dict[str, int] = {}  # by engine: when it last rejected a request

    def poll_started(self, now: int) -> None:
        """Note that a poll was sent."""
        if self._waiting_since is None or now - self._last_poll_at >= self._answer_timeout:
            self._waiting_since = now
        self._last_poll_at = now

    def poll_confirmed(self, started_at: int) -> None:
        """Renew the lease: the list holds all that had happened when the poll started."""
        self._confirmed_at = max(self._confirmed_at, started_at)
        self._waiting_since = None
        for evidence in (self._accepted_at, self._rejected_at):  # older evidence than the list says nothing more
            for engine in [engine for engine, at in evidence.items() if at <= self._confirmed_at]:
                del evidence[engine]

    def status(self, now: int) -> LeaseStatus:
        """Whether the list may be relied on at `now`."""
        age = now - self._confirmed_at
        if age <= self._prompt:
            return LeaseStatus.CONFIRMED
        waiting_since = self._waiting_since
        if waiting_since is None or now - self._last_poll_at >= self._answer_timeout:
            return LeaseStatus.UNCONFIRMED  # the process was suspended
        if now - waiting_since < self._answer_timeout:
            return LeaseStatus.UNCONFIRMED
        return LeaseStatus.CONFIRMED if age <= self._longest else LeaseStatus.EXPIRED

    # ---- single engines

    def engine_accepted(self, engine: str, sent_at: int) -> None:
        """Note that an engine accepted a request that was sent at `sent_at`."""
        self._accepted_at[engine] = max(sent_at, self._accepted_at.get(engine, sent_at))

    def engine_rejected(self, engine: str, now: int) -> None:
        """Note that an engine rejected a request: it is overloaded, or it is draining."""
        self._rejected_at[engine] = now

    def allows(self, engine: str, now: int) -> bool:
        """Whether the engine may be sent to, as far as the list is in force for it."""
        age = now - self._confirmed_at
        if age <= self._answer_timeout:
            return True
        accepted_at = self._accepted_at.get(engine, self._confirmed_at)
        rejected_at = self._rejected_at.get(engine, self._confirmed_at)
        if rejected_at > max(accepted_at, self._confirmed_at):
            return False
        return age <= self._prompt or now <= accepted_at + self._grace

    def ineligible(self, engines: Iterable[str], now: int) -> frozenset[str]:
        """Those of the engines that may not be sent to."""
        if now - self._confirmed_at <= self._answer_timeout:
            return frozenset()
        return frozenset(engine for engine in engines if not self.allows(engine, now))
