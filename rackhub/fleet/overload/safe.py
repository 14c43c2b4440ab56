"""A guide whose faults stay its own: the core goes on as if no peers were there, and says so in the log."""

import logging
from collections.abc import Callable
from typing import Any

from rackhub.core.fleet import FleetCoordinator
from rackhub.core.request import Attempt, Query

log = logging.getLogger(__name__)
TOLD = 20  # faults whose traces are logged; all are counted


class Safe:
    """`count` adds one to a counter."""

    def __init__(self, guide: FleetCoordinator, count: Callable[[str], None]):
        self._guide, self._count, self._faults = guide, count, 0

    def _fault(self, what: str) -> None:
        self._count("guide_faults")
        self._faults += 1
        if self._faults <= TOLD:
            log.exception("fleet: the guide failed on %s", what)

    def arrived(self, query: Query, now: int) -> int:
        try:
            return self._guide.arrived(query, now)
        except Exception:
            self._fault("a request")
            return 0

    def sent(self, attempt: Attempt, now: int) -> None:
        self._safe(self._guide.sent, "an attempt", attempt, now)

    def ended(self, attempt: Attempt, reason: str, now: int) -> None:
        self._safe(self._guide.ended, "an attempt's end", attempt, reason, now)

    def closed(self, query: Query, how: str, now: int) -> None:
        self._safe(self._guide.closed, "a request's end", query, how, now)

    def probe(self, engine: str) -> None:
        self._safe(self._guide.probe, "a probe", engine)

    def tell(self, peer: int, contents: bytes) -> None:
        self._safe(self._guide.tell, "the module's word", peer, contents)

    def _safe(self, call: Callable[..., None], what: str, *words: Any) -> None:
        try:
            call(*words)
        except Exception:
            self._fault(what)
