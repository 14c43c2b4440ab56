"""A guide whose faults stay its own: the core goes on as if no peers were there, and says so in the log."""

import logging
from collections.abc import Callable
from typing import Any

from rackhub.core.fleet import FleetCoordinator
from rackhub.core.request import Attempt, Query

log = logging.getLogger(__name__)
TOLD = 20  # faults whose traces are logged; all are counted


class FaultBarrier:
    """`count` adds one to a counter."""

    def __init__(self, guide: FleetCoordinator, count: Callable[[str], None]):
        self._coordinator, self._count, self._faults = guide, count, 0

    def _fault(self, what: str) -> None:
        self._count("guide_faults")
        self._faults += 1
        if self._faults <= TOLD:
            log.exception("fleet: the guide failed on %s", what)

    def request_received(self, query: Query, now: int) -> int:
        try:
            return self._coordinator.request_received(query, now)
        except Exception:
            self._fault("a request")
            return 0

    def attempt_sent(self, attempt: Attempt, now: int) -> None:
        self._call(self._coordinator.attempt_sent, "an attempt", attempt, now)

    def attempt_completed(self, attempt: Attempt, reason: str, now: int) -> None:
        self._call(self._coordinator.attempt_completed, "an attempt's end", attempt, reason, now)

    def request_completed(self, query: Query, how: str, now: int) -> None:
        self._call(self._coordinator.request_completed, "a request's end", query, how, now)

    def check_health(self, engine: str) -> None:
        self._call(self._coordinator.check_health, "a probe", engine)

    def send_gossip(self, peer: int, contents: bytes) -> None:
        self._call(self._coordinator.send_gossip, "the module's word", peer, contents)

    def _call(self, call: Callable[..., None], what: str, *words: Any) -> None:
        try:
            call(*words)
        except Exception:
            self._fault(what)
