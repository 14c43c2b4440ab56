"""Keys with values under one revision, and the log of recent changes that a watch is served from.

The log keeps steps: one decided change each at a voter, one update each at a relay (which may hold several changes,
merged). A step is taken whole or not at all, so every revision that is handed out is one that the log passed through.
"""

from bisect import bisect_right
from collections.abc import Iterable

import msgspec

from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import Change, Entry, LogId, Revision

ENTRY_OVERHEAD = 16  # bytes that an entry takes in a message beside its key and value, at most
EVERYTHING = ("",)  # the scope that holds every key
REMEMBERED_ANSWERS, REMEMBERED_SNAPSHOTS = 4_096, 64  # for others that ask the same before the next change
FORGOTTEN_STEPS = 1_024  # steps before the oldest kept that are let stand until the lists are cut


class RevisionGap(Exception):
    """What should be applied starts after the revision that is held."""

    def __init__(self, held: Revision, previous: Revision) -> None:
        super().__init__(f"a change that follows revision {previous} was offered to a state at revision {held}")
        self.held, self.previous = held, previous


class ForeignLog(Exception):
    """What should be applied is of another log than the one that is held."""

    def __init__(self, held: LogId, offered: LogId) -> None:
        super().__init__(f"a change of log {offered!r} was offered to a state of log {held!r}")
        self.held, self.offered = held, offered


class Batch(msgspec.Struct, frozen=True):
    """The newest entry of each key in scope that changed after `previous` up to `revision`."""

    previous: Revision
    revision: Revision
    entries: tuple[Entry, ...]


class Compacted(msgspec.Struct, frozen=True):
    """The changes after the asked revision are no longer all there; those after `oldest` are."""

    oldest: Revision


class Snapshot(msgspec.Struct, frozen=True):
    """All entries in scope at `revision`, in parts that each fit in one message."""

    revision: Revision
    parts: tuple[tuple[Entry, ...], ...]


class _Step(msgspec.Struct, frozen=True):
    revision: Revision
    entries: tuple[Entry, ...]
    size: int


def entry_size(entry: Entry) -> int:
    """Bytes that an entry takes in a message, or a little less than counted here."""
    value_size = len(entry.value) if entry.value is not None else 0
    key_size = len(entry.key) if entry.key.isascii() else len(entry.key.encode())
    return key_size + value_size + ENTRY_OVERHEAD


def in_scope(entries: Iterable[Entry], scope: tuple[str, ...]) -> Iterable[Entry]:
    """Those whose key starts with one of the scope's prefixes."""
    if "" in scope:
        return entries
    return [entry for entry in entries if entry.key.startswith(scope)]


def split(entries: Iterable[Entry], most_bytes: int) -> tuple[tuple[Entry, ...], ...]:
    """The entries in parts of at most so many bytes each; one empty part where there are none."""
    parts: list[tuple[Entry, ...]] = []
    part: list[Entry] = []
    part_size = 0
    for entry in entries:
        size = entry_size(entry)
        if part and part_size + size > most_bytes:
            parts.append(tuple(part))
            part, part_size = [], 0
        part.append(entry)
        part_size += size
    return (*parts, tuple(part))


class KeyValueState:
    """What holds at `revision` of `log`, and the steps that led there from `oldest` on."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self.log: LogId = ""
        self.revision: Revision = 0
        self.oldest: Revision = 0
        self.entries: dict[str, Entry] = {}
        self._steps: list[_Step] = []
        self._revisions: list[Revision] = []  # of the steps, for the search
        self._first = 0  # index of the oldest step that still counts
        self._log_bytes = 0
        self._batches: dict[tuple[Revision, tuple[str, ...]], Batch] = {}  # answers at this revision
        self._snapshots: dict[tuple[str, ...], Snapshot] = {}

    # ---- writing

    def restore(self, log: LogId, revision: Revision, entries: Iterable[Entry]) -> None:
        """Hold just this, with no changes before it."""
        self.log, self.revision, self.oldest = log, revision, revision
        self.entries = {entry.key: entry for entry in entries if entry.value is not None}
        self._steps, self._revisions, self._first, self._log_bytes = [], [], 0, 0
        self._forget_answers()

    def apply_change(self, log: LogId, change: Change) -> bool:
        """Take one decided change. False: it was held already. Raises `RevisionGap`, `ForeignLog`."""
        return self.apply(log, change.revision - 1, change.revision, change.entries)

    def apply(self, log: LogId, previous: Revision, revision: Revision, entries: Iterable[Entry]) -> bool:
        """Take all that changed after `previous` up to `revision`. False: it was held already. Raises `RevisionGap`,
        `ForeignLog`."""
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
        self._forget_answers()
        return True

    def _append(self, step: _Step) -> None:
        self._steps.append(step)
        self._revisions.append(step.revision)
        self._log_bytes += step.size
        while (
            len(self._steps) - self._first > self._limits.max_log_steps or self._log_bytes > self._limits.max_log_bytes
        ):
            dropped = self._steps[self._first]
            self._log_bytes -= dropped.size
            self.oldest = dropped.revision
            self._first += 1
        if self._first > FORGOTTEN_STEPS:
            del self._steps[: self._first]
            del self._revisions[: self._first]
            self._first = 0

    def _forget_answers(self) -> None:
        if self._batches:
            self._batches.clear()
        if self._snapshots:
            self._snapshots.clear()

    # ---- reading

    def since(self, revision: Revision, scope: tuple[str, ...] = EVERYTHING) -> Batch | Compacted:
        """What changed in scope after `revision`, as far as it fits in one message: whole steps, one at the least.
        With nothing left in scope it reaches to the newest revision. Watchers that ask the same share the answer."""
        if revision < self.oldest:
            return Compacted(self.oldest)
        batch = self._batches.get((revision, scope))
        if batch is None:
            if len(self._batches) >= REMEMBERED_ANSWERS:
                self._batches.clear()
            batch = self._batches[revision, scope] = self._collect(revision, scope)
        return batch

    def _collect(self, revision: Revision, scope: tuple[str, ...]) -> Batch:
        newest: dict[str, Entry] = {}
        size, reached = 0, revision
        for index in range(bisect_right(self._revisions, revision, lo=self._first), len(self._steps)):
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
            reached = step.revision
        return Batch(revision, reached, tuple(newest.values()))

    def snapshot(self, scope: tuple[str, ...] = EVERYTHING) -> Snapshot:
        """All that holds now in scope: references to entries that never change, so later changes don't touch it."""
        snapshot = self._snapshots.get(scope)
        if snapshot is None:
            if len(self._snapshots) >= REMEMBERED_SNAPSHOTS:
                self._snapshots.clear()
            parts = split(in_scope(self.entries.values(), scope), self._limits.max_update_bytes)
            snapshot = self._snapshots[scope] = Snapshot(self.revision, parts)
        return snapshot
