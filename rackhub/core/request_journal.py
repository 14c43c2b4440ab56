"""The port through which the core tells what becomes of keyed requests, whoever keeps it."""

from typing import Protocol

from rackhub.core.request import Attempt, Query


class RequestJournal(Protocol):
    """Told of requests that bear an idempotency key, and of no others. It only notes: nothing waits for it."""

    def request_admitted(self, query: Query) -> None: ...
    def attempt_sent(self, attempt: Attempt) -> None: ...
    def request_completed(self, query: Query, how: str) -> None:
        """`how`: served, refused, failed or left."""
