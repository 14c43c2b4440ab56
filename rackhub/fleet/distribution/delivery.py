"""Delivery of received changes at a watcher: written to disk, then applied, and acknowledged only after that."""

from typing import Protocol

import msgspec

from rackhub.fleet.distribution.events import Apply, Effect, Persist, StoredState
from rackhub.fleet.distribution.limits import MAX_FAULT_KEYS, MAX_UPDATE_BYTES
from rackhub.fleet.distribution.messages import Entry, KeyFault, LogId, Revision
from rackhub.fleet.distribution.state import entry_size

# Updates that wait for the disk. Those beyond this limit are dropped, and the upstream sends them again.
MAX_QUEUED_BYTES = 4 * MAX_UPDATE_BYTES


class Incoming(msgspec.Struct, frozen=True):
    """A received snapshot, or the entries that changed up to `revision`."""

    log: LogId
    revision: Revision
    entries: tuple[Entry, ...]
    snapshot: bool = False


class Delivery(Protocol):
    """Handles the changes that a watcher receives."""

    @property
    def log(self) -> LogId:
        """The log of what is stored or being written; empty if there is nothing."""

    @property
    def revision(self) -> Revision:
        """The revision that is applied, and on disk if there is one, so that it may be acknowledged."""

    @property
    def newest(self) -> Revision:
        """The newest revision that was accepted, applied or not."""

    @property
    def faults(self) -> tuple[KeyFault, ...]:
        """Keys whose newest value could not be applied."""

    def take(self, received: Incoming) -> list[Effect] | None:
        """Accept entries that follow on `newest`. Return None if the queue is full."""


class DiskDelivery:
    """Persists and then applies one batch at a time. Batches that arrive meanwhile are merged into one queued batch."""

    def __init__(self, stored: StoredState, scope: tuple[str, ...]) -> None:
        self.log = stored.log
        self.scope = scope
        self.revision = self.newest = stored.revision
        self._on_disk = stored.revision
        self._entries = dict(stored.entries)
        self._current: Incoming | None = None
        self._persisted = False  # True once the current batch is on the disk
        self._queued: Incoming | None = None
        self._queued_bytes = 0
        self._faults: dict[str, KeyFault] = {}

    @property
    def stored(self) -> StoredState:
        """The state on the disk. The entries are not copied and change with later batches."""
        return StoredState(self.log, self._on_disk, self.scope, self._entries)

    @property
    def faults(self) -> tuple[KeyFault, ...]:
        """Keys whose newest value could not be applied; at most `MAX_FAULT_KEYS`."""
        return tuple(self._faults.values())[:MAX_FAULT_KEYS]

    def take(self, received: Incoming) -> list[Effect] | None:
        """Persist a batch, or queue it behind the current one. Return None if the queue is full."""
        if self._current is None:
            self.log, self.newest = received.log, received.revision
            return self._begin(received)
        if not self._queue(received):
            return None
        self.newest = received.revision
        return []

    def persisted(self, revision: Revision) -> list[Effect]:
        """Apply the current batch, which is now on the disk. Confirmations of other revisions are ignored."""
        current = self._current
        if current is None or self._persisted or revision != current.revision:
            return []
        self._persisted = True
        self._store(current)
        return [Apply(current.log, current.revision, current.entries, current.snapshot)]

    def applied(self, revision: Revision, faults: tuple[KeyFault, ...]) -> list[Effect] | None:
        """Mark the current batch as applied and start the queued one.

        Return None if the current batch is another one or is not on the disk yet.
        """
        current = self._current
        if current is None or not self._persisted or revision != current.revision:
            return None
        self.revision = current.revision
        self._update_faults(current, faults)
        self._current, queued, self._queued = None, self._queued, None
        return self._begin(queued) if queued is not None else []

    def _begin(self, received: Incoming) -> list[Effect]:
        self._current, self._persisted = received, False
        return [Persist(received.log, received.revision, received.entries, received.snapshot)]

    def _queue(self, received: Incoming) -> bool:
        """Merge a batch into the queued one; a snapshot replaces it. Return False if the queue is full."""
        queued = self._queued
        if received.snapshot or queued is None:
            self._queued, self._queued_bytes = received, 0
            return True
        size = sum(map(entry_size, received.entries))
        if self._queued_bytes + size > MAX_QUEUED_BYTES:
            return False
        merged = {entry.key: entry for entry in (*queued.entries, *received.entries)}
        entries = tuple(entry for entry in merged.values() if entry.value is not None or not queued.snapshot)
        self._queued = Incoming(received.log, received.revision, entries, queued.snapshot)
        self._queued_bytes += size
        return True

    def _store(self, received: Incoming) -> None:
        if received.snapshot:
            self._entries = {}
        for entry in received.entries:
            if entry.value is None:
                self._entries.pop(entry.key, None)
            else:
                self._entries[entry.key] = entry
        self._on_disk = received.revision

    def _update_faults(self, received: Incoming, faults: tuple[KeyFault, ...]) -> None:
        if received.snapshot:
            self._faults.clear()
        for entry in received.entries:
            self._faults.pop(entry.key, None)
        for fault in faults:
            self._faults[fault.key] = fault
