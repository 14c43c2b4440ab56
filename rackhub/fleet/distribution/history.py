"""The newest changes at a voter, each with the entries that it replaced: for conflicts, undo and the reader.

Every voter keeps its own, as it learns of changes; after a snapshot it begins anew.
"""

from collections.abc import Iterable, Mapping

import msgspec

from rackhub.fleet.distribution.events import StoredState
from rackhub.fleet.distribution.messages import Change, Entry, Revision
from rackhub.fleet.ports import KeyedDisk

MOST_CHANGES = 256
MOST_BYTES = 4 << 20
LEAST_CHANGES = 2  # kept whatever their size
REVISION_DIGITS = 16
PREFIX = "distribution/history/"


class HistoryRecord(msgspec.Struct, frozen=True, array_like=True):
    """One change and the values that its keys had before it; None: no such key."""

    change: Change
    before: dict[str, bytes | None]


class RevisionNotRetained(Exception):
    """The changes since a revision are no longer all known here."""

    def __init__(self, revision: Revision, oldest: Revision, newest: Revision):
        super().__init__(f"revision {revision} is not kept here: there are {oldest} to {newest}")


class History:
    """`newest`: the revision that is held. `damage`: why what was on the disk could not be read; it is dropped then."""

    def __init__(self, disk: KeyedDisk, newest: Revision):
        self.newest = newest
        self.damage = ""
        self._past: dict[Revision, HistoryRecord] = {}
        self._sizes: dict[Revision, int] = {}
        self._doomed: list[str] = []  # keys on the disk that go with the next write
        try:
            for key, body in disk.scan(PREFIX):
                self._doomed.append(key)
                past = msgspec.msgpack.decode(body, type=HistoryRecord)
                self._past[past.change.revision] = past
                self._sizes[past.change.revision] = len(body)
        except msgspec.MsgspecError as bad:
            self.damage = f"{PREFIX}: can't be read: {bad}"
            self._past = {}
        self._past = self._unbroken()
        self._doomed = [key for key in self._doomed if key not in map(_key, self._past)]

    @property
    def oldest(self) -> Revision:
        """The earliest revision that changes since are known of."""
        return self.newest - len(self._past)

    def add(self, change: Change, held: Mapping[str, Entry]) -> dict[str, bytes | None]:
        """Take the next change, before it is applied to `held`. Returns what is to be written along with it."""
        before = {entry.key: held[entry.key].value if entry.key in held else None for entry in change.entries}
        past = HistoryRecord(change, before)
        body = msgspec.msgpack.encode(past)
        self._past[change.revision], self._sizes[change.revision] = past, len(body)
        self.newest = change.revision
        dropped = [*self._doomed, *map(_key, self._trim())]
        self._doomed = []
        return dict.fromkeys(dropped) | {_key(change.revision): body}

    def begin_anew(self, newest: Revision) -> dict[str, bytes | None]:
        """A snapshot came: nothing before it is known. Returns what is to be written along with it."""
        dropped = [*self._doomed, *map(_key, self._past)]
        self._past = {}
        self._sizes = {}
        self._doomed = []
        self.newest = newest
        return dict.fromkeys(dropped)

    def since(self, revision: Revision) -> list[HistoryRecord]:
        """The changes after it, oldest first. Raises `RevisionNotRetained`."""
        if not self.oldest <= revision <= self.newest:
            raise RevisionNotRetained(revision, self.oldest, self.newest)
        return [self._past[number] for number in range(revision + 1, self.newest + 1)]

    def newest_first(self) -> Iterable[HistoryRecord]:
        """All changes that are kept, the last one first."""
        return reversed(self.since(self.oldest))

    def by_id(self, id: str) -> HistoryRecord | None:
        """The change of the edit with that id, as far as it is kept."""
        return next((past for past in self.newest_first() if past.change.id == id), None)

    def _unbroken(self) -> dict[Revision, HistoryRecord]:
        """Those up to the newest without a gap, oldest first."""
        found: list[HistoryRecord] = []
        number = self.newest
        while number in self._past:
            found.append(self._past[number])
            number -= 1
        return {past.change.revision: past for past in reversed(found)}

    def _trim(self) -> list[Revision]:
        dropped = []
        size = sum(self._sizes[number] for number in self._past)
        while len(self._past) > LEAST_CHANGES and (len(self._past) > MOST_CHANGES or size > MOST_BYTES):
            number = next(iter(self._past))
            size -= self._sizes.pop(number)
            del self._past[number]
            dropped.append(number)
        return dropped


def recover_misplaced(misplaced: Mapping[str, bytes | None], held: StoredState) -> dict[str, bytes]:
    """The history records among `misplaced` that are sound: of the newest change in `held`, and equal to what it left.

    Raises `msgspec.MsgspecError` where the newest change's record can't be read.
    """
    key = _key(held.revision)
    body = misplaced.get(key)
    if body is None:
        return {}
    change = msgspec.msgpack.decode(body, type=HistoryRecord).change
    standing = [entry for entry in change.entries if held.entries.get(entry.key) == _standing(entry)]
    if change.revision != held.revision or len(standing) < len(change.entries):
        return {}
    return {key: body}


def _standing(entry: Entry) -> Entry | None:
    """What is held of a key after the entry; None where the entry deletes it."""
    return entry if entry.value is not None else None


def _key(revision: Revision) -> str:
    return f"{PREFIX}{revision:0{REVISION_DIGITS}d}"
