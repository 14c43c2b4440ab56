"""Decides how long the gateway may use an endpoint list that the resolver has not confirmed again.

An engine may begin to drain right after the last answered poll. The gateway counts as notified of the drain after
`notification_time`, whether or not the notification arrived, and may send to the engine for the grace period after it.
So the list is valid for `notification_time` plus the grace period after the start of the last answered poll. The limit
has no effect while polls are answered; it is reached if the process was suspended and did not poll, or if no answer
comes. Beyond it nothing is sent, and requests wait for the next answer: any engine may be draining, also one that still
accepts requests. After `max_notification_time` plus the grace period without an answer, requests are rejected.

Once the last answered poll is older than `poll_answer_timeout`, an engine that rejects a request may be draining. It is
excluded until it accepts a later one or a poll confirms the list.

The module does no I/O. Times are microseconds.
"""

import enum
from collections.abc import Iterable

from rackhub.limits import Limits


class LeaseStatus(enum.Enum):
    """Status of the lease on the endpoint list."""

    VALID = enum.auto()  # confirmed recently
    UNCONFIRMED = enum.auto()  # the list may be outdated: send nothing, requests wait for an answer
    EXPIRED = enum.auto()  # the resolver has not answered for too long: send nothing, requests are rejected


class EndpointLease:
    """Lease on the endpoint list. An answered poll renews it as of the poll's start."""

    def __init__(self, limits: Limits, grace: int, now: int) -> None:
        """Start the lease at `now`; a draining engine accepts requests for `grace` after gateways are notified."""
        self._usable_grace = grace - limits.lease_margin
        self._max_age_while_answered = limits.notification_time + self._usable_grace
        self._max_age_while_unanswered = limits.max_notification_time + self._usable_grace
        self._answer_timeout = limits.poll_answer_timeout
        self._confirmed_at = now
        self._last_poll_at = now
        # Time of the first poll since the last answer, or since the last gap of `poll_answer_timeout` between polls.
        # None: the last poll was answered.
        self._unanswered_since: int | None = None
        self._accepted_at: dict[str, int] = {}  # engine -> `Attempt.sent_at` of the last request that it accepted
        self._rejected_at: dict[str, int] = {}  # engine -> time when it last rejected a request

    def poll_started(self, now: int) -> None:
        """Record that a poll was sent."""
        if self._unanswered_since is None or now - self._last_poll_at >= self._answer_timeout:
            self._unanswered_since = now
        self._last_poll_at = now

    def poll_confirmed(self, started_at: int) -> None:
        """Renew the lease: the list contains all changes that the resolver knew when the poll was sent."""
        self._confirmed_at = max(self._confirmed_at, started_at)
        self._unanswered_since = None
        for evidence in (self._accepted_at, self._rejected_at):  # the list supersedes older evidence
            for engine in [engine for engine, at in evidence.items() if at <= self._confirmed_at]:
                del evidence[engine]

    def status(self, now: int) -> LeaseStatus:
        """Return the status of the lease at `now`."""
        age = now - self._confirmed_at
        if age <= self._max_age_while_answered:
            return LeaseStatus.VALID
        unanswered_since = self._unanswered_since
        if unanswered_since is None or now - self._last_poll_at >= self._answer_timeout:
            return LeaseStatus.UNCONFIRMED  # no poll is pending, as after a suspension: wait for the next one
        if now - unanswered_since < self._answer_timeout:
            return LeaseStatus.UNCONFIRMED  # the pending poll may still be answered
        return LeaseStatus.UNCONFIRMED if age <= self._max_age_while_unanswered else LeaseStatus.EXPIRED

    # ---- single engines

    def engine_accepted(self, engine: str, sent_at: int) -> None:
        """Record that an engine accepted a request that was sent at `sent_at`."""
        self._accepted_at[engine] = max(sent_at, self._accepted_at.get(engine, sent_at))

    def engine_rejected(self, engine: str, now: int) -> None:
        """Record that an engine rejected a request: it is overloaded or draining."""
        self._rejected_at[engine] = now

    def allows(self, engine: str, now: int) -> bool:
        """Return whether requests may be sent to the engine while the lease is valid, by the engine's responses."""
        if now - self._confirmed_at <= self._answer_timeout:
            return True
        accepted_at = self._accepted_at.get(engine, self._confirmed_at)
        rejected_at = self._rejected_at.get(engine, self._confirmed_at)
        return rejected_at <= max(accepted_at, self._confirmed_at)

    def ineligible(self, engines: Iterable[str], now: int) -> frozenset[str]:
        """Return those of the engines to which no request may be sent."""
        if now - self._confirmed_at <= self._answer_timeout:
            return frozenset()
        return frozenset(engine for engine in engines if not self.allows(engine, now))
