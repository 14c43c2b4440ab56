"""The newest changes at a voter, each with the values it replaced: for conflict checks, undo and `rackhub rules`.

Each voter stores its own history as it learns changes. After a catch-up the history starts empty.
"""

from collections.abc import Iterable, Mapping

import msgspec

from rackhub.fleet.distribution.events import StoredState
from rackhub.fleet.distribution.messages import Change, Entry, Revision
from rackhub.fleet.ports import KeyedDisk

MAX_CHANGES = 256
MAX_BYTES = 4 << 20
MIN_CHANGES = 2  # always kept, whatever their size
REVISION_DIGITS = 16
PREFIX = "distribution/history/"


class HistoryRecord(msgspec.Struct, frozen=True, array_like=True):
    """One change and the values of its keys before it; None means that the key did not exist."""

    change: Change
    previous_values: dict[str, bytes | None]


class RevisionNotRetained(Exception):
    """The changes since a revision are not (or no longer) all stored on this voter."""

    def __init__(self, revision: Revision, oldest: Revision, newest: Revision):
        super().__init__(f"revision {revision} is not stored on this voter, which has revisions {oldest} to {newest}")


class History:
    """The stored changes up to revision `newest`, without gaps.

    `damage` says why the stored records could not be read; they are dropped then.
    """

    def __init__(self, disk: KeyedDisk, newest: Revision):
        self.newest = newest
        self.damage = ""
        self._records: dict[Revision, HistoryRecord] = {}
        self._sizes: dict[Revision, int] = {}
        self._keys_to_delete: list[str] = []  # deleted with the next write
        try:
            for key, body in disk.scan(PREFIX):
                self._keys_to_delete.append(key)
                record = msgspec.msgpack.decode(body, type=HistoryRecord)
                self._records[record.change.revision] = record
                self._sizes[record.change.revision] = len(body)
        except msgspec.MsgspecError as bad:
            self.damage = f"{PREFIX}: can't be read: {bad}"
            self._records = {}
        self._records = self._contiguous_records()
        self._keys_to_delete = [key for key in self._keys_to_delete if key not in map(_key, self._records)]

    @property
    def oldest(self) -> Revision:
        """The earliest revision after which all changes are stored."""
        return self.newest - len(self._records)

    def add(self, change: Change, current: Mapping[str, Entry]) -> dict[str, bytes | None]:
        """Add the next change, before it is applied to `current`. Return the records to write together with it."""
        previous_values = {
            entry.key: current[entry.key].value if entry.key in current else None for entry in change.entries
        }
        record = HistoryRecord(change, previous_values)
        body = msgspec.msgpack.encode(record)
        self._records[change.revision], self._sizes[change.revision] = record, len(body)
        self.newest = change.revision
        dropped = [*self._keys_to_delete, *map(_key, self._trim())]
        self._keys_to_delete = []
        return dict.fromkeys(dropped) | {_key(change.revision): body}

    def reset(self, newest: Revision) -> dict[str, bytes | None]:
        """Drop all changes, because a catch-up brings entries without the changes that led to them.

        Return the records to delete together with its write.
        """
        dropped = [*self._keys_to_delete, *map(_key, self._records)]
        self._records = {}
        self._sizes = {}
        self._keys_to_delete = []
        self.newest = newest
        return dict.fromkeys(dropped)

    def since(self, revision: Revision) -> list[HistoryRecord]:
        """Return the changes after a revision, oldest first. Raises `RevisionNotRetained`."""
        if not self.oldest <= revision <= self.newest:
            raise RevisionNotRetained(revision, self.oldest, self.newest)
        return [self._records[number] for number in range(revision + 1, self.newest + 1)]

    def newest_first(self) -> Iterable[HistoryRecord]:
        """Return all stored changes, newest first."""
        return reversed(self.since(self.oldest))

    def by_id(self, id: str) -> HistoryRecord | None:
        """Return the change of the edit with that id; None if it is not stored."""
        return next((record for record in self.newest_first() if record.change.id == id), None)

    def _contiguous_records(self) -> dict[Revision, HistoryRecord]:
        """Return the records up to the newest revision that have no gap between them, oldest first."""
        found: list[HistoryRecord] = []
        number = self.newest
        while number in self._records:
            found.append(self._records[number])
            number -= 1
        return {record.change.revision: record for record in reversed(found)}

    def _trim(self) -> list[Revision]:
        dropped = []
        size = sum(self._sizes[number] for number in self._records)
        while len(self._records) > MIN_CHANGES and (len(self._records) > MAX_CHANGES or size > MAX_BYTES):
            number = next(iter(self._records))
            size -= self._sizes.pop(number)
            del self._records[number]
            dropped.append(number)
        return dropped


def recover_misplaced(misplaced: Mapping[str, bytes | None], stored: StoredState) -> dict[str, bytes]:
    """Return the valid history records among `misplaced`.

    A record is valid if it is that of the newest change in `stored` and the entries in `stored` are those that the
    change left. Raises `msgspec.MsgspecError` if the newest change's record can't be read.
    """
    key = _key(stored.revision)
    body = misplaced.get(key)
    if body is None:
        return {}
    change = msgspec.msgpack.decode(body, type=HistoryRecord).change
    current = [entry for entry in change.entries if stored.entries.get(entry.key) == _entry_after(entry)]
    if change.revision != stored.revision or len(current) < len(change.entries):
        return {}
    return {key: body}


def _entry_after(entry: Entry) -> Entry | None:
    """Return what is stored for a key after the entry; None if the entry deletes it."""
    return entry if entry.value is not None else None


def _key(revision: Revision) -> str:
    return f"{PREFIX}{revision:0{REVISION_DIGITS}d}"
