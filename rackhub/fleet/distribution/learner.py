"""Applies the changes that a majority of the voters has chosen: first to the disk, then to the source, by revision."""

import logging
from collections.abc import Callable

from rackhub.fleet.distribution.decisions import Tail
from rackhub.fleet.distribution.events import Apply, CaughtUp, Decided, Persist
from rackhub.fleet.distribution.history import History
from rackhub.fleet.distribution.messages import Change, Entry, LogId, Revision
from rackhub.fleet.distribution.store import StateStore

log = logging.getLogger(__name__)


class Learner:
    """Writes chosen changes in order of their revision.

    `on_log_begun` gets the empty state once the log's id is on the disk, `on_decided` each change once it is on the
    disk, and `on_gap` the revision up to which changes are missing.
    `entries`, `revision` and `log` include changes whose write is not yet synced; `synced` is the revision that the
    disk has.
    """

    def __init__(
        self,
        store: StateStore,
        history: History,
        on_log_begun: Callable[[CaughtUp], None],
        on_decided: Callable[[Decided], None],
        on_gap: Callable[[Revision], None],
        count: Callable[[str, int], None],
    ):
        self._store, self._history = store, history
        self._on_log_begun = on_log_begun
        self._on_decided = on_decided
        self._on_gap = on_gap
        self._count = count
        stored = store.stored
        self.log: LogId = stored.log
        self.revision: Revision = stored.revision
        self.synced: Revision = stored.revision
        self.entries: dict[str, Entry] = dict(stored.entries)
        self._sync_waiters: list[tuple[Revision, Callable[[], None]]] = []

    def values(self) -> dict[str, bytes]:
        """Return the value of each key, including changes whose write is not yet synced."""
        return {key: entry.value for key, entry in self.entries.items() if entry.value is not None}

    def learn_tail(self, tail: Tail) -> None:
        """Learn the changes of a tail that a majority has chosen."""
        if self._is_other_log(tail.log):
            return
        if tail.compacted_revision > self.revision:
            return self._on_gap(tail.compacted_revision)
        if not self.log:
            self._begin_log(tail.log)
        self.learn(tail.log, tail.changes)

    def learn(self, log_id: LogId, changes: tuple[Change, ...]) -> None:
        """Learn chosen changes of a log, in order. Changes that are already stored are skipped."""
        if self._is_other_log(log_id):
            return
        for change in changes:
            if change.revision > self.revision + 1:
                return self._on_gap(change.revision - 1)
            if change.revision == self.revision + 1:
                self._store_change(log_id, change)

    def _is_other_log(self, log_id: LogId) -> bool:
        if not self.log or log_id == self.log:
            return False
        log.error(
            "fleet: got changes of log %r, but the local log is %r: the register was lost or restored from a copy",
            log_id,
            self.log,
        )
        self._count("distribution_other_logs", 1)
        return True

    def adopt_snapshot(self, snapshot: Apply) -> None:
        """Adopt a snapshot or update of another voter that is already on the disk."""
        self.entries = {} if snapshot.snapshot else self.entries
        self._update_entries(snapshot.entries)
        self.log, self.revision = snapshot.log, snapshot.revision
        self._mark_synced(snapshot.revision)

    def when_synced(self, revision: Revision, call: Callable[[], None]) -> None:
        """Call back once the disk has the revision; immediately if it already has it."""
        if revision <= self.synced:
            call()
        else:
            self._sync_waiters.append((revision, call))

    def _begin_log(self, log_id: LogId) -> None:
        """Store the id of a log that is new to this voter, so that watchers can be served before the first change."""
        self.log = log_id
        empty = CaughtUp(log_id, 0, 0, (), True)
        self._store.persist(Persist(log_id, 0, (), False), lambda: self._on_log_begun(empty))

    def _store_change(self, log_id: LogId, change: Change) -> None:
        extra = self._history.add(change, self.entries)
        self._update_entries(change.entries)
        self.log, self.revision = log_id, change.revision
        written = Persist(log_id, change.revision, change.entries, False)
        self._store.persist(written, lambda: self._on_written(log_id, change), extra=extra)

    def _on_written(self, log_id: LogId, change: Change) -> None:
        self._on_decided(Decided(log_id, (change,)))
        self._mark_synced(change.revision)

    def _update_entries(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if entry.value is None:
                self.entries.pop(entry.key, None)
            else:
                self.entries[entry.key] = entry

    def _mark_synced(self, revision: Revision) -> None:
        self.synced = max(self.synced, revision)
        ready = [call for wanted, call in self._sync_waiters if wanted <= self.synced]
        self._sync_waiters = [(wanted, call) for wanted, call in self._sync_waiters if wanted > self.synced]
        for call in ready:
            call()
