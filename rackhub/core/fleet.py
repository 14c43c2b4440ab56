"""Port to the gateways' common view of the fleet; in use where the settings allow gossip."""

from typing import Protocol

from rackhub.core.request import Attempt, Query


class FleetCoordinator(Protocol):
    """Notified of every request and attempt of this gateway. Its methods answer from local state and never block.

    It reports to the policy through `Coordinator.apply_allocation`, `.complete_health_check` and `.receive_gossip`.
    Times are microseconds of the core's clock.
    """

    def request_received(self, query: Query, now: int) -> int:
        """Return 1 if the request is above the fleet's shedding threshold, -1 if below, 0 if none is active."""

    def attempt_sent(self, attempt: Attempt, now: int) -> None:
        """Record a sent attempt; a retry (`attempt.number` > 0) is charged to the fleet's retry budget."""

    def attempt_completed(self, attempt: Attempt, reason: str, now: int) -> None:
        """Record the outcome `reason` of an attempt, as in `interface.AttemptCompleted`."""

    def request_completed(self, query: Query, how: str, now: int) -> None:
        """Record the end of a request; `how` is a value of `RequestOutcome`."""

    def check_health(self, engine: str) -> None:
        """Start a health check that the policy requests."""

    def send_gossip(self, peer: int, contents: bytes) -> None:
        """Send the policy's message to the gateway with the instance index `peer`; -1 for all gateways."""
