"""The board: the newest record of each owner and kind, with its age by the own clock. Pure.

A record is of one process of its owner: of its present boot number, or it is not held. What came from elsewhere is as
old as it was said to be, and as what it took to come here at the most, so no record counts as younger than it is.
"""

from collections.abc import Iterator

from rackhub.fleet.link import frames as f
from rackhub.fleet.members.here import Here, Posted
from rackhub.fleet.ports import MAX_RECORD_BYTES, Name, Record


class Entry:
    __slots__ = ("boot", "number", "born", "body")

    def __init__(self, boot: int, number: int, born: int, body: bytes):
        self.boot, self.number, self.born, self.body = boot, number, born, body


class Records:
    def __init__(self, here: Here):
        self._here, self._last = here, 0
        self._owners: dict[Name, dict[str, Entry]] = {}

    def post(self, boot: int, kind: str, body: bytes) -> None:
        """Raises `ValueError` for what no board takes."""
        own = self._owners.setdefault(self._here.me, {})
        if len(body) > MAX_RECORD_BYTES:
            raise ValueError(f"a record of {len(body)} bytes, more than {MAX_RECORD_BYTES}")
        if not 0 < len(kind.encode()) <= 32:
            raise ValueError(f"{kind!r} is not a kind of 1 to 32 bytes")
        if kind not in own and len(own) >= self._here.limits.kinds:
            raise ValueError(f"{kind!r} is one kind of records more than {self._here.limits.kinds}")
        self._last += 1
        own[kind] = Entry(boot, self._last, self._here.now, body)

    def rise(self, note: f.Note) -> bool | None:
        """Somebody holds a number of an own record that was never given: the own ones go on above it. None: it is
        not so; False: it is so far above that it is nonsense."""
        if note.number <= self._last:
            return None
        if note.number > self._last + self._here.limits.incarnation_jump:
            return False
        self._last = note.number + 1
        entry = self._owners.get(self._here.me, {}).get(note.kind)
        if entry is not None:
            entry.number = self._last
        return True

    def renew(self, boot: int) -> list[str]:
        """The own boot number rose: what stands on the board goes on under it."""
        own = self._owners.get(self._here.me, {})
        for entry in own.values():
            entry.boot = boot
        return list(own)

    def take(self, note: f.Note, way: int) -> bool:
        """A record of another member, of its present process; whether it is news. `way`: microseconds that it may
        have been on its way."""
        owner = self._owners.setdefault(note.owner, {})
        known, born = owner.get(note.kind), self._here.now - note.age * 1_000 - way
        if known is None and len(owner) >= self._here.limits.kinds:
            self._here.count("kinds_over")
            return False
        if known is not None and (known.boot, known.number) >= (note.boot, note.number):
            return False
        if note.number > self._here.limits.incarnation_jump + (known.number if known is not None else 1 << 40):
            self._here.count("numbers_over")
            return False
        owner[note.kind] = Entry(note.boot, note.number, born, note.body)
        self._here.do(Posted(self._record(note.owner, note.kind, owner[note.kind])))
        return True

    def drop(self, name: Name) -> None:
        self._owners.pop(name, None)

    def _record(self, owner: Name, kind: str, entry: Entry) -> Record:
        return Record(owner, kind, entry.boot, entry.number, max(0, self._here.now - entry.born), entry.body)

    def read(self, kind: str) -> dict[Name, Record]:
        return {owner: self._record(owner, kind, kinds[kind]) for owner, kinds in self._owners.items() if kind in kinds}

    def get(self, owner: Name, kind: str) -> Record | None:
        entry = self._owners.get(owner, {}).get(kind)
        return None if entry is None else self._record(owner, kind, entry)

    def note(self, owner: Name, kind: str) -> f.Note | None:
        """As it goes over the wire at this moment."""
        entry = self._owners.get(owner, {}).get(kind)
        if entry is None:
            return None
        age = -(-max(0, self._here.now - entry.born) // 1_000)
        return f.Note(owner, kind, entry.boot, entry.number, age, entry.body)

    def numbers(self, owner: Name) -> dict[str, int]:
        return {kind: entry.number for kind, entry in self._owners.get(owner, {}).items()}

    def all(self) -> Iterator[Record]:
        for owner, kinds in self._owners.items():
            for kind, entry in kinds.items():
                yield self._record(owner, kind, entry)
