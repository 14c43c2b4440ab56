"""Port to the record of requests with an idempotency key."""

from typing import Protocol

from rackhub.core.request import Attempt, Query


class RequestJournal(Protocol):
    """Records requests that have an idempotency key; it is not called for others, and never blocks."""

    def request_admitted(self, query: Query) -> None:
        """Record that a request was admitted."""

    def attempt_sent(self, attempt: Attempt) -> None:
        """Record that an attempt is about to be sent."""

    def request_completed(self, query: Query, how: str) -> None:
        """Record the end of a request; `how` is a value of `RequestOutcome`."""
