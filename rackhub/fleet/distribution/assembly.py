"""Puts together at the receiver what the way there took apart: parts of a snapshot, and updates in their order."""

from rackhub.fleet.distribution.messages import Entry, LogId, Revision, SnapshotPart, Update

MAX_BUFFERED_UPDATES = 8  # that wait for the one before them


class SnapshotAssembly:
    """The parts of one snapshot that have come."""

    def __init__(self, first: SnapshotPart) -> None:
        self.log: LogId = first.log
        self.revision: Revision = first.revision
        self.parts = first.parts
        self._received: dict[int, tuple[Entry, ...]] = {}
        self.contiguous = 0  # parts from the first on, none missing

    def matches(self, part: SnapshotPart) -> bool:
        """Whether it is of this snapshot."""
        same = part.log == self.log and part.revision == self.revision and part.parts == self.parts
        return same and part.part < self.parts

    def add(self, part: SnapshotPart) -> None:
        self._received.setdefault(part.part, part.entries)
        while self.contiguous in self._received:
            self.contiguous += 1

    @property
    def is_complete(self) -> bool:
        return self.contiguous == self.parts

    def entries(self) -> tuple[Entry, ...]:
        return tuple(entry for part in range(self.parts) for entry in self._received[part])


class ReorderBuffer:
    """Updates that came before the one that they follow on, a few."""

    def __init__(self) -> None:
        self._updates: list[Update] = []

    def __bool__(self) -> bool:
        return bool(self._updates)

    def add(self, update: Update) -> None:
        if update not in self._updates:
            self._updates.append(update)
            self._updates.sort(key=lambda one: one.previous)
            del self._updates[MAX_BUFFERED_UPDATES:]

    def take(self, revision: Revision) -> Update | None:
        """The next one that follows on for a holder of `revision`; those that it has outrun are dropped."""
        while self._updates and self._updates[0].previous <= revision:
            update = self._updates.pop(0)
            if update.revision > revision:
                return update
        return None

    def clear(self) -> None:
        self._updates.clear()
