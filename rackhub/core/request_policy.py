"""The port through which the core asks for the operator's terms of a request. Times are microseconds."""

from typing import Any, NamedTuple, Protocol


class RequestTerms(Protocol):
    """The terms that one request began with; later ones don't change them."""

    max_attempts: int
    retry_window: int  # how long a request with an idempotency key may be retried


class AttemptTerms(NamedTuple):
    """The terms of one attempt; 0 stands for none."""

    timeout: int = 0
    send_by: int = 0  # it must not be sent after this time
    hedge_after: int = 0  # the delay until a hedge is due
    priority: int | None = None


class RetryDecision(NamedTuple):
    """Whether a request may be retried after `delay`; if not, `backoff` is the Retry-After of its rejection."""

    may_retry: bool
    delay: int = 0
    backoff: int = 0


class RequestPolicy(Protocol):
    """All terms in force.

    `terms` is what `begin_request` gave for the request, `attempts` the number of its attempts so far, `kind` the
    engine's kind, `now` the time of the core's clock.
    """

    def begin_request(self, cls: str, tenant: str, estimate: int, now: int) -> RequestTerms:
        """The terms of a request that was admitted; `estimate` is its estimated cost."""

    def end_request(self, terms: Any, now: int) -> None:
        """Note that a request is completed."""

    def may_send(self, terms: Any, attempts: int, is_hedge: bool, now: int) -> bool:
        """Whether a retry or a hedge may be sent."""

    def attempt_terms(self, terms: Any, number: int, kind: str, is_hedge: bool, now: int) -> AttemptTerms:
        """The terms of an attempt that is sent now."""

    def may_hedge(self, terms: Any, kind: str, attempts: int, now: int) -> bool:
        """Whether a hedge may be sent beside the attempt in flight."""

    def attempt_completed(
        self, terms: Any, number: int, kind: str, engine: str, reason: str, elapsed: int, timed_out: bool, now: int
    ) -> None:
        """Note an attempt's outcome; `timed_out`: by the time-out of its terms."""

    def retry_decision(self, terms: Any, reason: str, attempts: int, now: int) -> RetryDecision:
        """Whether a request may be retried after an attempt with this outcome."""
