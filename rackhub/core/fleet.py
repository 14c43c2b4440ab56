"""The port through which the core asks what the gateways of the fleet agree on, where settings allow peers."""

from typing import Protocol

from rackhub.core.request import Attempt, Query


class FleetCoordinator(Protocol):
    """Told of every request and attempt of this gateway; it answers from what it knows, and waits for nothing.

    Its own word to the module goes by `Coordinator.fleet_said`, `.probed` and `.peer_said`. Times are microseconds of
    the core's clock.
    """

    def request_received(self, query: Query, now: int) -> int:
        """Where the request stands against the fleet's level: 1 above, -1 below, 0 no level holds."""

    def attempt_sent(self, attempt: Attempt, now: int) -> None:
        """An attempt goes out; a further one (`attempt.number` > 0) is paid from the fleet's budget."""

    def attempt_completed(self, attempt: Attempt, reason: str, now: int) -> None:
        """Its outcome, worded as in `interface.AttemptCompleted`."""

    def request_completed(self, query: Query, how: str, now: int) -> None:
        """The request is over: served, refused, failed or left."""

    def check_health(self, engine: str) -> None:
        """The module wants to know how an engine is."""

    def send_gossip(self, peer: int, contents: bytes) -> None:
        """The module's word to another gateway; -1: to all."""
