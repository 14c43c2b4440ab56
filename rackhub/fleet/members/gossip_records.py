"""The gossip state: the newest record of each owner and kind, with its age by the local clock. Pure.

Only records of the owner's present generation are held. The age of a received record is its age when sent plus the
upper bound of its transit time, so no record counts as younger than it is.
"""

from collections.abc import Iterator

from rackhub.fleet.link import frames as f
from rackhub.fleet.members.context import Context, RecordReceived
from rackhub.fleet.ports import MAX_RECORD_BYTES, Name, Record


class StoredRecord:
    """A record held here. `created_at` is in microseconds of the local clock."""

    __slots__ = ("generation", "number", "created_at", "body")

    def __init__(self, generation: int, number: int, created_at: int, body: bytes):
        self.generation, self.number, self.created_at, self.body = generation, number, created_at, body


class GossipRecords:
    """The records of all members."""

    def __init__(self, context: Context):
        self._context, self._last_number = context, 0
        self._owners: dict[Name, dict[str, StoredRecord]] = {}

    def publish(self, generation: int, kind: str, body: bytes) -> None:
        """Store the newest local record of a kind.

        Raises `ValueError` if the record is too large, its kind invalid, or there are too many kinds.
        """
        local_records = self._owners.setdefault(self._context.local_name, {})
        if len(body) > MAX_RECORD_BYTES:
            raise ValueError(f"record of {len(body)} bytes exceeds the limit of {MAX_RECORD_BYTES} bytes")
        if not 0 < len(kind.encode()) <= 32:
            raise ValueError(f"record kind {kind!r} has {len(kind.encode())} bytes, allowed are 1 to 32")
        if kind not in local_records and len(local_records) >= self._context.limits.max_record_kinds:
            raise ValueError(f"record kind {kind!r} exceeds the limit of {self._context.limits.max_record_kinds} kinds")
        self._last_number += 1
        local_records[kind] = StoredRecord(generation, self._last_number, self._context.now, body)

    def raise_number(self, update: f.RecordUpdate) -> bool | None:
        """Continue the local record numbers above the one in `update`, which this process never gave.

        Return None if that number is not above the local ones, False if it is implausibly far above.
        """
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
        """Move the local records to a raised generation and return their kinds."""
        local_records = self._owners.get(self._context.local_name, {})
        for entry in local_records.values():
            entry.generation = generation
        return list(local_records)

    def merge(self, update: f.RecordUpdate, transit_time: int) -> bool:
        """Store a record of another member's present process.

        Return True if it is newer than the one held. `transit_time` is the upper bound in microseconds.
        """
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
        """Remove all records of a member."""
        self._owners.pop(name, None)

    def _record(self, owner: Name, kind: str, entry: StoredRecord) -> Record:
        return Record(
            owner, kind, entry.generation, entry.number, max(0, self._context.now - entry.created_at), entry.body
        )

    def read(self, kind: str) -> dict[Name, Record]:
        """The newest record of the kind, by owner."""
        return {owner: self._record(owner, kind, kinds[kind]) for owner, kinds in self._owners.items() if kind in kinds}

    def get(self, owner: Name, kind: str) -> Record | None:
        """The newest record of an owner and kind."""
        entry = self._owners.get(owner, {}).get(kind)
        return None if entry is None else self._record(owner, kind, entry)

    def to_update(self, owner: Name, kind: str) -> f.RecordUpdate | None:
        """The record as a frame, with its age at this moment."""
        entry = self._owners.get(owner, {}).get(kind)
        if entry is None:
            return None
        age = -(-max(0, self._context.now - entry.created_at) // 1_000)
        return f.RecordUpdate(owner, kind, entry.generation, entry.number, age, entry.body)

    def numbers(self, owner: Name) -> dict[str, int]:
        """The number of each of the owner's records, by kind."""
        return {kind: entry.number for kind, entry in self._owners.get(owner, {}).items()}

    def all(self) -> Iterator[Record]:
        """All records."""
        for owner, kinds in self._owners.items():
            for kind, entry in kinds.items():
                yield self._record(owner, kind, entry)
