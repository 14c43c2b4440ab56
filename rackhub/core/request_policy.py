"""Port to the operator's terms for requests, attempts and retries. Times are microseconds."""

from typing import Any, NamedTuple, Protocol


class RequestTerms(Protocol):
    """Terms of one request, as of its admission; a later reload does not change them."""

    max_attempts: int
    retry_window: int  # time in which a request with an idempotency key may be retried


class AttemptTerms(NamedTuple):
    """Terms of one attempt; 0 means none."""

    timeout: int = 0
    send_by: int = 0  # time from which the attempt must not be sent
    hedge_after: int = 0  # delay until a hedge is due
    priority: int | None = None


class RetryDecision(NamedTuple):
    """Whether a request may be retried after `delay`; if not, `backoff` is the Retry-After of its rejection."""

    may_retry: bool
    delay: int = 0
    backoff: int = 0


class RequestPolicy(Protocol):
    """The active terms of the operator.

    Parameters of several methods: `terms` is the result of `begin_request`, `attempts` the number of the request's
    attempts so far, `kind` the engine's kind, `now` the time of the core's clock.
    """

    def begin_request(self, cls: str, tenant: str, estimate: int, now: int) -> RequestTerms:
        """Return the terms of an admitted request; `estimate` is its estimated cost."""

    def end_request(self, terms: Any, now: int) -> None:
        """Record that a request is completed."""

    def may_send(self, terms: Any, attempts: int, is_hedge: bool, now: int) -> bool:
        """Return whether a retry or a hedge may be sent."""

    def attempt_terms(self, terms: Any, number: int, kind: str, is_hedge: bool, now: int) -> AttemptTerms:
        """Return the terms of an attempt that is sent now."""

    def may_hedge(self, terms: Any, kind: str, attempts: int, now: int) -> bool:
        """Return whether a hedge may be sent in addition to the attempt in flight."""

    def attempt_completed(
        self, terms: Any, number: int, kind: str, engine: str, reason: str, elapsed: int, timed_out: bool, now: int
    ) -> None:
        """Record an attempt's outcome `reason`; `timed_out` is true if the time-out of its terms ended it."""

    def retry_decision(self, terms: Any, reason: str, attempts: int, now: int) -> RetryDecision:
        """Return whether a request may be retried after an attempt with the outcome `reason`."""
