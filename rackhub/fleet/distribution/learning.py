"""How a voter takes changes that a majority has chosen: on its disk first, then to its source, in order of revision."""

import logging
from collections.abc import Callable

from rackhub.fleet.distribution.decisions import Tail
from rackhub.fleet.distribution.events import Apply, CaughtUp, Decided, Persist
from rackhub.fleet.distribution.history import History
from rackhub.fleet.distribution.messages import Change, Entry, LogId, Revision
from rackhub.fleet.distribution.store import StateStore

log = logging.getLogger(__name__)


class Learner:
    """`begun` gets the empty state once its log is on the disk, `decided` each change once it is; `gap` the revision
    before changes that can't be taken yet.

    `entries`, `revision` and `log` are as written, `synced` is the revision that the disk has.
    """

    def __init__(
        self,
        store: StateStore,
        history: History,
        begun: Callable[[CaughtUp], None],
        decided: Callable[[Decided], None],
        gap: Callable[[Revision], None],
        tally: Callable[[str, int], None],
    ):
        self._store, self._history = store, history
        self._begun = begun
        self._decided = decided
        self._gap = gap
        self._tally = tally
        held = store.held
        self.log: LogId = held.log
        self.revision: Revision = held.revision
        self.synced: Revision = held.revision
        self.entries: dict[str, Entry] = dict(held.entries)
        self._waiting: list[tuple[Revision, Callable[[], None]]] = []

    def values(self) -> dict[str, bytes]:
        """The value of each key as last learned, durable or not."""
        return {key: entry.value for key, entry in self.entries.items() if entry.value is not None}

    def learn_tail(self, tail: Tail) -> None:
        """The register's value, as a majority has chosen it."""
        if self._is_foreign(tail.log):
            return
        if tail.settled > self.revision:
            return self._gap(tail.settled)
        if not self.log:
            self._begin_log(tail.log)
        self.learn(tail.log, tail.changes)

    def learn(self, log_id: LogId, changes: tuple[Change, ...]) -> None:
        """Chosen changes of the log, in order; those that are held are passed over."""
        if self._is_foreign(log_id):
            return
        for change in changes:
            if change.revision > self.revision + 1:
                return self._gap(change.revision - 1)
            if change.revision == self.revision + 1:
                self._take(log_id, change)

    def _is_foreign(self, log_id: LogId) -> bool:
        if not self.log or log_id == self.log:
            return False
        log.error("fleet: changes of log %r, and %r is held: the register was lost or put back", log_id, self.log)
        self._tally("distribution_other_logs", 1)
        return True

    def take_snapshot(self, snapshot: Apply) -> None:
        """What another voter has, which is written already: it takes the place of all that is held here."""
        self.entries = {} if snapshot.snapshot else self.entries
        self._put(snapshot.entries)
        self.log, self.revision = snapshot.log, snapshot.revision
        self._has_synced(snapshot.revision)

    def when_synced(self, revision: Revision, call: Callable[[], None]) -> None:
        """Call back when the disk has that revision, at once where it has."""
        if revision <= self.synced:
            call()
        else:
            self._waiting.append((revision, call))

    def _begin_log(self, log_id: LogId) -> None:
        """The log's identity is known, and nothing of it is held: who watches can be told that this is all there is."""
        self.log = log_id
        empty = CaughtUp(log_id, 0, 0, (), True)
        self._store.persist(Persist(log_id, 0, (), False), lambda: self._begun(empty))

    def _take(self, log_id: LogId, change: Change) -> None:
        also = self._history.add(change, self.entries)
        self._put(change.entries)
        self.log, self.revision = log_id, change.revision
        written = Persist(log_id, change.revision, change.entries, False)
        self._store.persist(written, lambda: self._written(log_id, change), also=also)

    def _written(self, log_id: LogId, change: Change) -> None:
        self._decided(Decided(log_id, (change,)))
        self._has_synced(change.revision)

    def _put(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if entry.value is None:
                self.entries.pop(entry.key, None)
            else:
                self.entries[entry.key] = entry

    def _has_synced(self, revision: Revision) -> None:
        self.synced = max(self.synced, revision)
        ready = [call for wanted, call in self._waiting if wanted <= self.synced]
        self._waiting = [(wanted, call) for wanted, call in self._waiting if wanted > self.synced]
        for call in ready:
            call()
