"""A barrier for faults of the fleet coordinator: the core goes on as with no peers, and the fault is logged."""

import logging
from collections.abc import Callable
from typing import Any

from rackhub.core.fleet import FleetCoordinator
from rackhub.core.request import Attempt, Query

log = logging.getLogger(__name__)
LOGGED_FAULTS = 20  # faults with a logged traceback; all are counted


class FaultBarrier:
    """Implements `core.fleet.FleetCoordinator` by another one, whose exceptions it catches.

    `count` adds one to the counter of the given name.
    """

    def __init__(self, coordinator: FleetCoordinator, count: Callable[[str], None]):
        self._coordinator = coordinator
        self._count = count
        self._faults = 0

    def request_received(self, query: Query, now: int) -> int:
        """Return the verdict on a new request; 0 (no threshold) after a fault."""
        try:
            return self._coordinator.request_received(query, now)
        except Exception:  # noqa: BLE001 - a fault of any kind must not reach the core
            self._record_fault("a request")
            return 0

    def attempt_sent(self, attempt: Attempt, now: int) -> None:
        """Forward the start of an attempt."""
        self._call(self._coordinator.attempt_sent, "an attempt", attempt, now)

    def attempt_completed(self, attempt: Attempt, reason: str, now: int) -> None:
        """Forward the end of an attempt."""
        self._call(self._coordinator.attempt_completed, "an attempt's end", attempt, reason, now)

    def request_completed(self, query: Query, how: str, now: int) -> None:
        """Forward the end of a request."""
        self._call(self._coordinator.request_completed, "a request's end", query, how, now)

    def check_health(self, engine: str) -> None:
        """Forward the request for a health check."""
        self._call(self._coordinator.check_health, "a probe", engine)

    def send_gossip(self, peer: int, contents: bytes) -> None:
        """Forward a gossip message of the core."""
        self._call(self._coordinator.send_gossip, "the module's word", peer, contents)

    def _call(self, call: Callable[..., None], what: str, *arguments: Any) -> None:
        try:
            call(*arguments)
        except Exception:  # noqa: BLE001 - a fault of any kind must not reach the core
            self._record_fault(what)

    def _record_fault(self, what: str) -> None:
        self._count("guide_faults")
        self._faults += 1
        if self._faults <= LOGGED_FAULTS:
            log.exception("fleet: the guide failed on %s", what)
