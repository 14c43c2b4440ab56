"""The port through which the core asks for the operator's terms of a request, whoever has them."""

from typing import Any, NamedTuple, Protocol


class RequestTerms(Protocol):
    """One request under the terms that it began with: its most attempts, and how long a keyed one may be repeated."""

    max_attempts: int
    retry_window: int


class AttemptTerms(NamedTuple):
    """What holds for one attempt. Times in microseconds, 0: none."""

    timeout: int = 0
    send_by: int = 0  # it must not leave after this moment
    hedge_after: int = 0  # when a second copy of it is due
    priority: int | None = None


class RetryDecision(NamedTuple):
    """Whether a further attempt is allowed, how long it waits; if not, when the client should come back."""

    may_retry: bool
    delay: int = 0
    backoff: int = 0


class RequestPolicy(Protocol):
    """All terms in force. Times in microseconds."""

    def begin_request(self, cls: str, tenant: str, estimate: int, now: int) -> RequestTerms: ...
    def end_request(self, life: Any, now: int) -> None: ...
    def may_send(self, life: Any, tries: int, copy: bool, now: int) -> bool: ...
    def attempt_terms(self, life: Any, number: int, kind: str, copy: bool, now: int) -> AttemptTerms: ...
    def may_hedge(self, life: Any, kind: str, tries: int, now: int) -> bool: ...
    def attempt_completed(
        self, life: Any, number: int, kind: str, engine: str, reason: str, elapsed: int, cut: bool, now: int
    ) -> None: ...
    def retry_decision(self, life: Any, reason: str, tries: int, now: int) -> RetryDecision: ...
