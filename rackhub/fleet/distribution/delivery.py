"""The way of a received change at a watcher: onto the disk, then in force, and only then acknowledged."""

from typing import Protocol

import msgspec

from rackhub.fleet.distribution.events import Apply, Effect, Persist, StoredState
from rackhub.fleet.distribution.limits import FAULT_KEYS, UPDATE_BYTES
from rackhub.fleet.distribution.messages import Entry, KeyFault, LogId, Revision
from rackhub.fleet.distribution.state import entry_size

WAITING_BYTES = 4 * UPDATE_BYTES  # of updates that wait for the disk; what comes beyond is left to be sent again


class Incoming(msgspec.Struct, frozen=True):
    """Entries on their way in: a snapshot, or what changed up to `revision`."""

    log: LogId
    revision: Revision
    entries: tuple[Entry, ...]
    snapshot: bool = False


class Delivery(Protocol):
    """What a watcher does with what it receives."""

    @property
    def log(self) -> LogId:
        """Of what is held or under way; empty where there is nothing."""

    @property
    def revision(self) -> Revision:
        """In force, and on the disk where there is one: it may be acknowledged."""

    @property
    def newest(self) -> Revision:
        """The revision that the last one taken ends at."""

    @property
    def faults(self) -> tuple[KeyFault, ...]:
        """Keys whose newest value could not be put in force."""

    def take(self, received: Incoming) -> list[Effect] | None:
        """It follows on `newest`. None: there is no room for it now."""


class DiskDelivery:
    """One batch at a time is persisted, then applied; what comes meanwhile is merged into one that waits."""

    def __init__(self, held: StoredState, scope: tuple[str, ...]) -> None:
        self.log = held.log
        self.scope = scope
        self.revision = self.newest = held.revision
        self._on_disk = held.revision
        self._entries = dict(held.entries)
        self._current: Incoming | None = None
        self._persisted = False  # the current one is on the disk
        self._waiting: Incoming | None = None
        self._waiting_bytes = 0
        self._faults: dict[str, KeyFault] = {}

    @property
    def held(self) -> StoredState:
        """What is on the disk. The entries are the delivery's own: they change with it."""
        return StoredState(self.log, self._on_disk, self.scope, self._entries)

    @property
    def faults(self) -> tuple[KeyFault, ...]:
        return tuple(self._faults.values())[:FAULT_KEYS]

    def take(self, received: Incoming) -> list[Effect] | None:
        if self._current is None:
            self.log, self.newest = received.log, received.revision
            return self._begin(received)
        if not self._wait(received):
            return None
        self.newest = received.revision
        return []

    def persisted(self, revision: Revision) -> list[Effect]:
        """The disk has it. An answer for something else changes nothing."""
        current = self._current
        if current is None or self._persisted or revision != current.revision:
            return []
        self._persisted = True
        self._keep(current)
        return [Apply(current.log, current.revision, current.entries, current.snapshot)]

    def applied(self, revision: Revision, faults: tuple[KeyFault, ...]) -> list[Effect] | None:
        """It is in force and may be acknowledged. None: that is not what was under way."""
        current = self._current
        if current is None or not self._persisted or revision != current.revision:
            return None
        self.revision = current.revision
        self._note_faults(current, faults)
        self._current, waiting, self._waiting = None, self._waiting, None
        return self._begin(waiting) if waiting is not None else []

    def _begin(self, received: Incoming) -> list[Effect]:
        self._current, self._persisted = received, False
        return [Persist(received.log, received.revision, received.entries, received.snapshot)]

    def _wait(self, received: Incoming) -> bool:
        """Merge it into what waits, if there is room. A snapshot takes the place of all before it."""
        waiting = self._waiting
        if received.snapshot or waiting is None:
            self._waiting, self._waiting_bytes = received, 0
            return True
        size = sum(map(entry_size, received.entries))
        if self._waiting_bytes + size > WAITING_BYTES:
            return False
        merged = {entry.key: entry for entry in (*waiting.entries, *received.entries)}
        entries = tuple(entry for entry in merged.values() if entry.value is not None or not waiting.snapshot)
        self._waiting = Incoming(received.log, received.revision, entries, waiting.snapshot)
        self._waiting_bytes += size
        return True

    def _keep(self, received: Incoming) -> None:
        if received.snapshot:
            self._entries = {}
        for entry in received.entries:
            if entry.value is None:
                self._entries.pop(entry.key, None)
            else:
                self._entries[entry.key] = entry
        self._on_disk = received.revision

    def _note_faults(self, received: Incoming, faults: tuple[KeyFault, ...]) -> None:
        if received.snapshot:
            self._faults.clear()
        for entry in received.entries:
            self._faults.pop(entry.key, None)
        for fault in faults:
            self._faults[fault.key] = fault
