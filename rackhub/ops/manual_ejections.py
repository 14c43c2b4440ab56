"""Engines that operators eject manually. Pure state, without I/O and without a clock.

An ejected engine (OFFLINE) is shown to the decision module as draining, whatever the endpoint list says, until it is
restored (ONLINE). A restored engine is shown as started at the time of its restoration, so that it gets a slow start.
Ids that were never in the endpoint list are rejected. The state can be handed over to a successor process.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace

from rackhub import interface

READY_STATE = "Ready"
DRAINING_STATE = "Terminating"


class ManualEjections:
    """The manually ejected engines, and when others were restored.

    `ejected` are the ids of the ejected engines, `known` all ids that were ever in the endpoint list. `restored_at`
    is in microseconds of the coordinator's clock; an entry is kept until the list shows a later start of the engine.
    """

    def __init__(
        self,
        *,
        ejected: Iterable[str] = (),
        known: Iterable[str] = (),
        restored_at: Mapping[str, int] | None = None,
    ):
        self.ejected: set[str] = set(ejected)
        self.known: set[str] = set(known)
        self.restored_at: dict[str, int] = dict(restored_at or {})

    def copy(self) -> "ManualEjections":
        """Return an independent copy."""
        return ManualEjections(ejected=self.ejected, known=self.known, restored_at=self.restored_at)

    def add_known(self, entries: Sequence[interface.EngineEntry]) -> bool:
        """Add the ids of an endpoint list to the known ids. Returns whether any of them was new."""
        known_before = len(self.known)
        self.known.update(entry.engine for entry in entries)
        return len(self.known) != known_before

    def eject(self, engine: str) -> bool:
        """Eject an engine; idempotent. Returns False if the id is unknown."""
        if engine not in self.known:
            return False
        self.ejected.add(engine)
        self.restored_at.pop(engine, None)
        return True

    def restore(self, engine: str, now: int) -> bool:
        """Restore an ejected engine, with a slow start from `now`; an engine that is not ejected stays unchanged.

        Returns False if the id is unknown.
        """
        if engine not in self.known:
            return False
        if engine in self.ejected:
            self.ejected.discard(engine)
            self.restored_at[engine] = now
        return True

    def adopt(self, ejected: set[str], known: set[str], restored_at: Mapping[str, int]) -> bool:
        """Adopt the state of another process; known ids are merged. Returns whether the ejections changed."""
        changed = ejected != self.ejected or restored_at != self.restored_at
        self.ejected = ejected
        self.restored_at = dict(restored_at)
        self.known |= known
        return changed

    def visible_endpoints(self, entries: Sequence[interface.EngineEntry]) -> tuple[interface.EngineEntry, ...]:
        """Return the endpoint list as it is shown to the decision module."""
        self.add_known(entries)
        return tuple(self._visible(entry) for entry in entries)

    def _visible(self, entry: interface.EngineEntry) -> interface.EngineEntry:
        if entry.engine in self.ejected:
            return replace(entry, state=DRAINING_STATE)
        restored_at = self.restored_at.get(entry.engine)
        if restored_at is None:
            return entry
        if entry.started_at >= restored_at:  # a later start of the engine supersedes the restoration
            del self.restored_at[entry.engine]
            return entry
        return replace(entry, started_at=restored_at)

    def count_unavailable(self, entries: Sequence[interface.EngineEntry]) -> int:
        """Count the listed engines that get no new requests: those that are ejected manually or draining."""
        return sum(1 for entry in entries if entry.engine in self.ejected or entry.state != READY_STATE)
