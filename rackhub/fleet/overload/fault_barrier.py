"""A barrier for exceptions of the fleet coordinator: the core continues as without peers, and they are logged."""

import logging
from collections.abc import Callable
from typing import Any

from rackhub.core.fleet import FleetCoordinator
from rackhub.core.request import Attempt, Query

log = logging.getLogger(__name__)
LOGGED_FAULTS = 20  # maximum number of faults that are logged with a traceback; all are counted


class FaultBarrier:
    """Forwards the calls of `core.fleet.FleetCoordinator` to another one, and catches its exceptions.

    `add_count` adds one to the counter of the given name.
    """

    def __init__(self, coordinator: FleetCoordinator, add_count: Callable[[str], None]):
        self._coordinator = coordinator
        self._add_count = add_count
        self._faults = 0

    def request_received(self, query: Query, now: int) -> int:
        """Return the verdict on a new request; after a fault 0, as if nothing was shed."""
        try:
            return self._coordinator.request_received(query, now)
        except Exception:  # noqa: BLE001 - a fault of any kind must not reach the core
            self._record_fault("a request that was received")
            return 0

    def attempt_sent(self, attempt: Attempt, now: int) -> None:
        """Forward the start of an attempt."""
        self._forward(self._coordinator.attempt_sent, "an attempt that was sent", attempt, now)

    def attempt_completed(self, attempt: Attempt, reason: str, now: int) -> None:
        """Forward the end of an attempt."""
        self._forward(self._coordinator.attempt_completed, "an attempt that ended", attempt, reason, now)

    def request_completed(self, query: Query, how: str, now: int) -> None:
        """Forward the end of a request."""
        self._forward(self._coordinator.request_completed, "a request that ended", query, how, now)

    def check_health(self, engine: str) -> None:
        """Forward the request for a health check."""
        self._forward(self._coordinator.check_health, "a health check", engine)

    def send_gossip(self, peer: int, contents: bytes) -> None:
        """Forward a gossip message of the core."""
        self._forward(self._coordinator.send_gossip, "a gossip message of the policy module", peer, contents)

    def _forward(self, call: Callable[..., None], event: str, *arguments: Any) -> None:
        try:
            call(*arguments)
        except Exception:  # noqa: BLE001 - a fault of any kind must not reach the core
            self._record_fault(event)

    def _record_fault(self, event: str) -> None:
        self._add_count("guide_faults")
        self._faults += 1
        if self._faults <= LOGGED_FAULTS:
            log.exception("fleet: the overload component failed on %s", event)
