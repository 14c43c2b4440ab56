"""Keys and values at one revision, and the log of recent changes from which watches are served.

The log consists of steps: at a voter one decided change each, at a relay one received update each, which may contain
several merged changes. A step is always applied and served as a whole, so a watcher only sees revisions that the log
has passed through.
"""

from bisect import bisect_right
from collections.abc import Iterable

import msgspec

from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import Change, Entry, LogId, Revision

ENTRY_OVERHEAD = 16  # largest number of bytes that an entry takes in a message besides its key and value
ALL_KEYS = ("",)  # scope that includes every key
# Answers kept for watchers that request the same revision and scope before the next change.
MAX_CACHED_BATCHES, MAX_CACHED_SNAPSHOTS = 4_096, 64
MAX_DROPPED_STEPS = 1_024  # dropped steps that are kept in the lists before these are shortened


class RevisionGap(Exception):
    """A change is missing between the current revision and the one that should be applied."""

    def __init__(self, current: Revision, previous: Revision) -> None:
        super().__init__(f"a change after revision {previous} can't be applied to a state at revision {current}")
        self.current, self.previous = current, previous


class ForeignLog(Exception):
    """The change that should be applied belongs to another log."""

    def __init__(self, current: LogId, offered: LogId) -> None:
        super().__init__(f"a change of log {offered!r} can't be applied to a state of log {current!r}")
        self.current, self.offered = current, offered


class Batch(msgspec.Struct, frozen=True):
    """The newest entry of each key in scope that changed after `previous`, up to `revision`."""

    previous: Revision
    revision: Revision
    entries: tuple[Entry, ...]


class Compacted(msgspec.Struct, frozen=True):
    """The changes after the requested revision are no longer all in the log; those after `compact_revision` are."""

    compact_revision: Revision


class Snapshot(msgspec.Struct, frozen=True):
    """All entries in scope at `revision`, split into parts that each fit into one message."""

    revision: Revision
    parts: tuple[tuple[Entry, ...], ...]


class _Step(msgspec.Struct, frozen=True):
    revision: Revision
    entries: tuple[Entry, ...]
    size: int


def entry_size(entry: Entry) -> int:
    """Return an upper bound for the number of bytes that an entry takes in a message."""
    value_size = len(entry.value) if entry.value is not None else 0
    key_size = len(entry.key) if entry.key.isascii() else len(entry.key.encode())
    return key_size + value_size + ENTRY_OVERHEAD


def in_scope(entries: Iterable[Entry], scope: tuple[str, ...]) -> Iterable[Entry]:
    """Return the entries whose key starts with one of the scope's prefixes."""
    if "" in scope:
        return entries
    return [entry for entry in entries if entry.key.startswith(scope)]


def split_entries(entries: Iterable[Entry], max_bytes: int) -> tuple[tuple[Entry, ...], ...]:
    """Split entries into parts of at most `max_bytes` each; a larger entry gets its own part.

    Without entries there is one empty part.
    """
    parts: list[tuple[Entry, ...]] = []
    part: list[Entry] = []
    part_size = 0
    for entry in entries:
        size = entry_size(entry)
        if part and part_size + size > max_bytes:
            parts.append(tuple(part))
            part, part_size = [], 0
        part.append(entry)
        part_size += size
    return (*parts, tuple(part))


class KeyValueState:
    """The entries at `revision` of `log`, and the steps after `compact_revision` that led to them."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self.log: LogId = ""
        self.revision: Revision = 0
        self.compact_revision: Revision = 0
        self.entries: dict[str, Entry] = {}
        self._steps: list[_Step] = []
        self._revisions: list[Revision] = []  # revision of each step, for binary search
        self._first_kept = 0  # index of the oldest step that is still served
        self._log_bytes = 0
        self._batches: dict[tuple[Revision, tuple[str, ...]], Batch] = {}  # answers at the current revision
        self._snapshots: dict[tuple[str, ...], Snapshot] = {}

    # ---- writing

    def restore(self, log: LogId, revision: Revision, entries: Iterable[Entry]) -> None:
        """Replace everything by these entries, without a log of earlier changes."""
        self.log, self.revision, self.compact_revision = log, revision, revision
        self.entries = {entry.key: entry for entry in entries if entry.value is not None}
        self._steps, self._revisions, self._first_kept, self._log_bytes = [], [], 0, 0
        self._clear_caches()

    def apply_change(self, log: LogId, change: Change) -> bool:
        """Apply one decided change. Return False if it was already applied. Raises `RevisionGap` or `ForeignLog`."""
        return self.apply(log, change.revision - 1, change.revision, change.entries)

    def apply(self, log: LogId, previous: Revision, revision: Revision, entries: Iterable[Entry]) -> bool:
        """Apply all that changed after `previous` up to `revision`.

        Return False if it was already applied. Raises `RevisionGap` or `ForeignLog`.
        """
        if self.log and log != self.log:
            raise ForeignLog(self.log, log)
        if revision <= self.revision:
            return False
        if previous > self.revision:
            raise RevisionGap(self.revision, previous)
        new = tuple(entry for entry in entries if entry.revision > self.revision)
        for entry in new:
            if entry.value is None:
                self.entries.pop(entry.key, None)
            else:
                self.entries[entry.key] = entry
        self.log, self.revision = log, revision
        self._append(_Step(revision, new, sum(map(entry_size, new))))
        self._clear_caches()
        return True

    def _append(self, step: _Step) -> None:
        self._steps.append(step)
        self._revisions.append(step.revision)
        self._log_bytes += step.size
        while (
            len(self._steps) - self._first_kept > self._limits.max_log_steps
            or self._log_bytes > self._limits.max_log_bytes
        ):
            dropped = self._steps[self._first_kept]
            self._log_bytes -= dropped.size
            self.compact_revision = dropped.revision
            self._first_kept += 1
        if self._first_kept > MAX_DROPPED_STEPS:
            del self._steps[: self._first_kept]
            del self._revisions[: self._first_kept]
            self._first_kept = 0

    def _clear_caches(self) -> None:
        if self._batches:
            self._batches.clear()
        if self._snapshots:
            self._snapshots.clear()

    # ---- reading

    def changes_after(self, revision: Revision, scope: tuple[str, ...] = ALL_KEYS) -> Batch | Compacted:
        """Return what changed in scope after `revision`: whole steps, at least one, as many as fit into one message.

        If no change in scope is left, the batch ends at the newest revision. Watchers that request the same get the
        same object.
        """
        if revision < self.compact_revision:
            return Compacted(self.compact_revision)
        batch = self._batches.get((revision, scope))
        if batch is None:
            if len(self._batches) >= MAX_CACHED_BATCHES:
                self._batches.clear()
            batch = self._batches[revision, scope] = self._collect_batch(revision, scope)
        return batch

    def _collect_batch(self, revision: Revision, scope: tuple[str, ...]) -> Batch:
        newest: dict[str, Entry] = {}
        size, end_revision = 0, revision
        for index in range(bisect_right(self._revisions, revision, lo=self._first_kept), len(self._steps)):
            step = self._steps[index]
            found = [entry for entry in in_scope(step.entries, scope) if entry.revision > revision]
            added = sum(map(entry_size, found))
            if newest and found and size + added > self._limits.max_update_bytes:
                break
            for entry in found:
                replaced = newest.pop(entry.key, None)
                size -= entry_size(replaced) if replaced is not None else 0
                newest[entry.key] = entry
            size += added
            end_revision = step.revision
        return Batch(revision, end_revision, tuple(newest.values()))

    def snapshot(self, scope: tuple[str, ...] = ALL_KEYS) -> Snapshot:
        """Return all entries in scope at the current revision.

        Later changes don't affect it, since entries are immutable.
        """
        snapshot = self._snapshots.get(scope)
        if snapshot is None:
            if len(self._snapshots) >= MAX_CACHED_SNAPSHOTS:
                self._snapshots.clear()
            parts = split_entries(in_scope(self.entries.values(), scope), self._limits.max_update_bytes)
            snapshot = self._snapshots[scope] = Snapshot(self.revision, parts)
        return snapshot
