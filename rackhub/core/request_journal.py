"""The port through which the core records what becomes of requests with an idempotency key."""

from typing import Protocol

from rackhub.core.request import Attempt, Query


class RequestJournal(Protocol):
    """Notified of requests that have an idempotency key, and of no others. It never blocks the caller."""

    def request_admitted(self, query: Query) -> None:
        """Record that a request was admitted."""

    def attempt_sent(self, attempt: Attempt) -> None:
        """Record that an attempt is about to be sent."""

    def request_completed(self, query: Query, how: str) -> None:
        """Record the end of a request: a `RequestOutcome`."""
