"""Engines that operators eject by hand. Pure state, without I/O or a clock of its own.

An engine that is ejected (OFFLINE) is shown to the decision module as draining, whatever the endpoint list says, until
it is restored (ONLINE). A restored engine is shown as started at that moment, so that it gets a slow start. Ids that
were never listed are rejected. The state can be handed over to the process that replaces this one.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace

from rackhub import interface

READY_STATE = "Ready"
DRAINING_STATE = "Terminating"


class ManualEjections:
    """The engines that are ejected by hand, and when others were restored.

    `ejected`: ids of ejected engines; `known`: ids that were ever listed; `restored_at`: microseconds of the
    coordinator's clock, until a list shows a later start of the engine.
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

    def add_known(self, entries: Sequence[interface.EngineEntry]) -> bool:
        """Add the ids of an endpoint list to the known ones. Returns whether any was new."""
        known_before = len(self.known)
        self.known.update(entry.engine for entry in entries)
        return len(self.known) != known_before

    def eject(self, engine: str) -> bool:
        """Eject an engine; idempotent. Returns False for an id that was never listed."""
        if engine not in self.known:
            return False
        self.ejected.add(engine)
        self.restored_at.pop(engine, None)
        return True

    def restore(self, engine: str, now: int) -> bool:
        """Restore an ejected engine, with a slow start from `now`; one that isn't ejected stays as it is.

        Returns False for an id that was never listed.
        """
        if engine not in self.known:
            return False
        if engine in self.ejected:
            self.ejected.discard(engine)
            self.restored_at[engine] = now
        return True

    def adopt(self, ejected: set[str], known: set[str], restored_at: Mapping[str, int]) -> bool:
        """Replace the state by that of another process; known ids are added. Returns whether anything changed."""
        changed = ejected != self.ejected or restored_at != self.restored_at
        self.ejected = ejected
        self.restored_at = dict(restored_at)
        self.known |= known
        return changed

    def visible_endpoints(self, entries: Sequence[interface.EngineEntry]) -> tuple[interface.EngineEntry, ...]:
        """The endpoint list as the decision module is to see it."""
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
        """The number of listed engines that get no new requests: ejected by hand, or draining."""
        return sum(1 for entry in entries if entry.engine in self.ejected or entry.state != READY_STATE)
