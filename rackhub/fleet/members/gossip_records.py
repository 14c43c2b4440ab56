"""The board: the newest record of each owner and kind, with its age by the own clock. Pure.

A record is of one process of its owner: of its present boot number, or it is not held. What came from elsewhere is as
old as it was said to be, and as what it took to come here at the most, so no record counts as younger than it is.
"""

from collections.abc import Iterator

from rackhub.fleet.link import frames as f
from rackhub.fleet.members.context import Context, RecordReceived
from rackhub.fleet.ports import MAX_RECORD_BYTES, Name, Record


class StoredRecord:
    __slots__ = ("generation", "number", "created_at", "body")

    def __init__(self, generation: int, number: int, created_at: int, body: bytes):
        self.generation, self.number, self.created_at, self.body = generation, number, created_at, body


class GossipRecords:
    def __init__(self, context: Context):
        self._context, self._last_number = context, 0
        self._owners: dict[Name, dict[str, StoredRecord]] = {}

    def publish(self, generation: int, kind: str, body: bytes) -> None:
        """Raises `ValueError` for what no board takes."""
        local_records = self._owners.setdefault(self._context.local_name, {})
        if len(body) > MAX_RECORD_BYTES:
            raise ValueError(f"a record of {len(body)} bytes, more than {MAX_RECORD_BYTES}")
        if not 0 < len(kind.encode()) <= 32:
            raise ValueError(f"{kind!r} is not a kind of 1 to 32 bytes")
        if kind not in local_records and len(local_records) >= self._context.limits.max_record_kinds:
            raise ValueError(f"{kind!r} is one kind of records more than {self._context.limits.max_record_kinds}")
        self._last_number += 1
        local_records[kind] = StoredRecord(generation, self._last_number, self._context.now, body)

    def raise_number(self, update: f.RecordUpdate) -> bool | None:
        """Somebody holds a number of an own record that was never given: the own ones go on above it. None: it is
        not so; False: it is so far above that it is nonsense."""
        if update.number <= self._last_number:
            return None
        if update.number > self._last_number + self._context.limits.max_incarnation_jump:
            return False
        self._last_number = update.number + 1
        entry = self._owners.get(self._context.local_name, {}).get(update.kind)
        if entry is not None:
            entry.number = self._last_number
        return True

    def set_generation(self, generation: int) -> list[str]:
        """The own boot number rose: what stands on the board goes on under it."""
        local_records = self._owners.get(self._context.local_name, {})
        for entry in local_records.values():
            entry.generation = generation
        return list(local_records)

    def merge(self, update: f.RecordUpdate, transit_time: int) -> bool:
        """A record of another member, of its present process; whether it is news. `way`: microseconds that it may
        have been on its way."""
        owner = self._owners.setdefault(update.owner, {})
        current, created_at = owner.get(update.kind), self._context.now - update.age * 1_000 - transit_time
        if current is None and len(owner) >= self._context.limits.max_record_kinds:
            self._context.count("kinds_over")
            return False
        if current is not None and (current.generation, current.number) >= (update.generation, update.number):
            return False
        if update.number > self._context.limits.max_incarnation_jump + (
            current.number if current is not None else 1 << 40
        ):
            self._context.count("numbers_over")
            return False
        owner[update.kind] = StoredRecord(update.generation, update.number, created_at, update.body)
        self._context.emit(RecordReceived(self._record(update.owner, update.kind, owner[update.kind])))
        return True

    def remove_owner(self, name: Name) -> None:
        self._owners.pop(name, None)

    def _record(self, owner: Name, kind: str, entry: StoredRecord) -> Record:
        return Record(
            owner, kind, entry.generation, entry.number, max(0, self._context.now - entry.created_at), entry.body
        )

    def read(self, kind: str) -> dict[Name, Record]:
        return {owner: self._record(owner, kind, kinds[kind]) for owner, kinds in self._owners.items() if kind in kinds}

    def get(self, owner: Name, kind: str) -> Record | None:
        entry = self._owners.get(owner, {}).get(kind)
        return None if entry is None else self._record(owner, kind, entry)

    def to_update(self, owner: Name, kind: str) -> f.RecordUpdate | None:
        """As it goes over the wire at this moment."""
        entry = self._owners.get(owner, {}).get(kind)
        if entry is None:
            return None
        age = -(-max(0, self._context.now - entry.created_at) // 1_000)
        return f.RecordUpdate(owner, kind, entry.generation, entry.number, age, entry.body)

    def numbers(self, owner: Name) -> dict[str, int]:
        return {kind: entry.number for kind, entry in self._owners.get(owner, {}).items()}

    def all(self) -> Iterator[Record]:
        for owner, kinds in self._owners.items():
            for kind, entry in kinds.items():
                yield self._record(owner, kind, entry)
