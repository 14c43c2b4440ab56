"""Lease on the endpoint list: for how long requests may be sent by it. Without I/O; times are microseconds.

An engine may begin to drain right after the last answered poll. The gateway counts as notified of it after a bounded
time, whether or not the notification arrived, and may send to the engine for the grace period after that. While polls
are answered the lease has no effect. It takes effect after too long a time without an answer: the process was suspended
and did not poll, or the resolver does not respond.

While the resolver does not respond, the engines' responses are evidence: an engine that accepts a request is not
draining, an engine that rejects one may be. So an engine gets requests for the grace period after the last request that
it accepted, and none after it has rejected one.
"""

import enum
from collections.abc import Iterable

from rackhub.limits import Limits


class LeaseStatus(enum.Enum):
    """Status of the lease on the endpoint list."""

    CONFIRMED = enum.auto()
    UNCONFIRMED = enum.auto()  # the list may be outdated, and a poll is pending or due: wait for its answer
    EXPIRED = enum.auto()  # the list may be outdated, and the resolver does not respond: send nothing


class EndpointLease:
    """Lease on the endpoint list. An answered poll renews it as of the poll's start."""

    def __init__(self, limits: Limits, grace: int, now: int) -> None:
        """Start the lease at `now`; a draining engine accepts requests for `grace` after gateways are notified."""
        self._grace = grace - limits.lease_margin
        self._max_confirmed_age = limits.notification_time + self._grace
        self._max_age = limits.max_notification_time + self._grace
        self._answer_timeout = limits.poll_answer_timeout
        self._confirmed_at = now
        self._last_poll_at = now
        self._unanswered_since: int | None = None  # start of the unanswered polls; None: the last poll was answered
        self._accepted_at: dict[str, int] = {}  # engine -> send time of the last request that it accepted
        self._rejected_at: dict[str, int] = {}  # engine -> time when it last rejected a request

    def poll_started(self, now: int) -> None:
        """Record that a poll was sent."""
        if self._unanswered_since is None or now - self._last_poll_at >= self._answer_timeout:
            self._unanswered_since = now
        self._last_poll_at = now

    def poll_confirmed(self, started_at: int) -> None:
        """Renew the lease: the list contains every event up to the start of the poll."""
        self._confirmed_at = max(self._confirmed_at, started_at)
        self._unanswered_since = None
        for evidence in (self._accepted_at, self._rejected_at):  # the list supersedes older evidence
            for engine in [engine for engine, at in evidence.items() if at <= self._confirmed_at]:
                del evidence[engine]

    def status(self, now: int) -> LeaseStatus:
        """Return the status of the lease at `now`."""
        age = now - self._confirmed_at
        if age <= self._max_confirmed_age:
            return LeaseStatus.CONFIRMED
        unanswered_since = self._unanswered_since
        if unanswered_since is None or now - self._last_poll_at >= self._answer_timeout:
            return LeaseStatus.UNCONFIRMED  # the process was suspended
        if now - unanswered_since < self._answer_timeout:
            return LeaseStatus.UNCONFIRMED
        return LeaseStatus.CONFIRMED if age <= self._max_age else LeaseStatus.EXPIRED

    # ---- single engines

    def engine_accepted(self, engine: str, sent_at: int) -> None:
        """Record that an engine accepted a request that was sent at `sent_at`."""
        self._accepted_at[engine] = max(sent_at, self._accepted_at.get(engine, sent_at))

    def engine_rejected(self, engine: str, now: int) -> None:
        """Record that an engine rejected a request: it is overloaded or draining."""
        self._rejected_at[engine] = now

    def allows(self, engine: str, now: int) -> bool:
        """Return whether requests may be sent to the engine, by the list's age and the engine's responses."""
        age = now - self._confirmed_at
        if age <= self._answer_timeout:
            return True
        accepted_at = self._accepted_at.get(engine, self._confirmed_at)
        rejected_at = self._rejected_at.get(engine, self._confirmed_at)
        if rejected_at > max(accepted_at, self._confirmed_at):
            return False
        return age <= self._max_confirmed_age or now <= accepted_at + self._grace

    def ineligible(self, engines: Iterable[str], now: int) -> frozenset[str]:
        """Return those of the engines to which no request may be sent."""
        if now - self._confirmed_at <= self._answer_timeout:
            return frozenset()
        return frozenset(engine for engine in engines if not self.allows(engine, now))
