"""The port through which the core asks what the gateways of the fleet agree on, where settings allow gossip."""

from typing import Protocol

from rackhub.core.request import Attempt, Query


class FleetCoordinator(Protocol):
    """Notified of every request and attempt of this gateway; it answers from what it knows, and never blocks.

    It reports to the policy by `Coordinator.apply_allocation`, `.complete_health_check` and `.receive_gossip`. Times
    are microseconds of the core's clock.
    """

    def request_received(self, query: Query, now: int) -> int:
        """Where the request is against the fleet's shedding threshold: 1 above, -1 below, 0 no threshold holds."""

    def attempt_sent(self, attempt: Attempt, now: int) -> None:
        """Note an attempt that is sent; a retry (`attempt.number` > 0) is paid from the fleet's retry budget."""

    def attempt_completed(self, attempt: Attempt, reason: str, now: int) -> None:
        """Note the outcome of an attempt, as in `interface.AttemptCompleted`."""

    def request_completed(self, query: Query, how: str, now: int) -> None:
        """Note the end of a request: a `RequestOutcome`."""

    def check_health(self, engine: str) -> None:
        """Start a health check that the policy asks for."""

    def send_gossip(self, peer: int, contents: bytes) -> None:
        """Send the policy's message to another gateway, by its instance index; -1: to all."""
