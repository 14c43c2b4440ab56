"""The disk of a hollow coordinator: what was synced, in memory, and how long a write takes."""

from rackhub.fleet.distribution.events import Persist, StoredState
from rackhub.fleet.distribution.messages import Entry, LogId, Revision


class MemoryDisk:
    """`delay`: microseconds until a write is synced; whoever uses it waits so long before it calls `write`."""

    def __init__(self, scope: tuple[str, ...], delay: int):
        self.delay = delay
        self._scope = scope
        self._log: LogId = ""
        self._revision: Revision = 0
        self._entries: dict[str, Entry] = {}

    def write(self, persist: Persist) -> None:
        if persist.snapshot:
            self._entries = {}
        for entry in persist.entries:
            if entry.value is None:
                self._entries.pop(entry.key, None)
            else:
                self._entries[entry.key] = entry
        self._log, self._revision = persist.log, persist.revision

    def held(self) -> StoredState:
        """What a process that starts now finds."""
        return StoredState(self._log, self._revision, self._scope, dict(self._entries))
