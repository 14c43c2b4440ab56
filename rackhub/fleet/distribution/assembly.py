"""Reassembles messages at the receiver: the parts of a snapshot, and updates that arrive out of order."""

from rackhub.fleet.distribution.messages import Entry, LogId, Revision, SnapshotPart, Update

MAX_BUFFERED_UPDATES = 8  # out-of-order updates kept; beyond that the latest are dropped


class SnapshotAssembly:
    """The received parts of one snapshot."""

    def __init__(self, first: SnapshotPart) -> None:
        self.log: LogId = first.log
        self.revision: Revision = first.revision
        self.parts = first.parts
        self._received: dict[int, tuple[Entry, ...]] = {}
        self.contiguous = 0  # number of parts without a gap from the first one on

    def matches(self, part: SnapshotPart) -> bool:
        """Return whether a part belongs to this snapshot."""
        same = part.log == self.log and part.revision == self.revision and part.parts == self.parts
        return same and part.part < self.parts

    def add(self, part: SnapshotPart) -> None:
        """Add a part; a repeated one is ignored."""
        self._received.setdefault(part.part, part.entries)
        while self.contiguous in self._received:
            self.contiguous += 1

    @property
    def is_complete(self) -> bool:
        """True once all parts have been received."""
        return self.contiguous == self.parts

    def entries(self) -> tuple[Entry, ...]:
        """Return the entries of all parts. Call it only when the snapshot is complete."""
        return tuple(entry for part in range(self.parts) for entry in self._received[part])


class ReorderBuffer:
    """A few updates that arrived before the update they follow on."""

    def __init__(self) -> None:
        self._updates: list[Update] = []

    def __bool__(self) -> bool:
        return bool(self._updates)

    def add(self, update: Update) -> None:
        """Add an update. If the buffer is full, the update with the highest start is dropped."""
        if update not in self._updates:
            self._updates.append(update)
            self._updates.sort(key=lambda one: one.previous)
            del self._updates[MAX_BUFFERED_UPDATES:]

    def take(self, revision: Revision) -> Update | None:
        """Return the next update that a watcher at `revision` can apply, or None.

        Updates that it no longer needs are dropped.
        """
        while self._updates and self._updates[0].previous <= revision:
            update = self._updates.pop(0)
            if update.revision > revision:
                return update
        return None

    def clear(self) -> None:
        """Drop all updates."""
        self._updates.clear()
