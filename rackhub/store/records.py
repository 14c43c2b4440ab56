"""The stored types. An `Entry` is what the log records, a memtable holds and a table stores.

The first byte of a stored key is its kind. DATA keys are the user's; their versions are ordered by revision. All other
kinds are internal to the store: only their latest version counts, and versions are ordered by record number.
"""

from collections.abc import Iterable, Iterator

import msgspec

LEASED_KEY, DATA, LEASE, META = b"a", b"k", b"l", b"m"  # a: lease id and key; l: lease id; m: metadata
COMPACTED = META + b"compacted"
MAX_REVISION = (1 << 63) - 1


class Entry(msgspec.Struct, array_like=True, gc=False):
    """One version of a key. `value` None: deleted. `sequence`: the revision for DATA keys, the record number for
    others.
    """

    key: bytes
    sequence: int
    value: bytes | None
    create_revision: int = 0
    version: int = 0
    lease: int = 0


class Record(msgspec.Struct, array_like=True, gc=False):
    """One commit in the log. Record numbers have no gaps; `revision` is the store's after the commit.

    `timestamp`: Unix microseconds.
    """

    number: int
    revision: int
    timestamp: int
    entries: list[Entry]


class KeyValue(msgspec.Struct, frozen=True, gc=False):
    """One version of a key, with the field names of etcd's API."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int  # 1 when the key is created, incremented by each change
    lease: int = 0


class Change(msgspec.Struct, frozen=True, gc=False):
    """One changed key of one revision. `now` None: the key was deleted."""

    revision: int
    key: bytes
    now: KeyValue | None


class LeaseTerms(msgspec.Struct, array_like=True, gc=False):
    """The stored part of a lease: its ttl in microseconds, and the Unix microsecond at which it ends unless renewed."""

    ttl: int
    deadline: int


def key_value(entry: Entry) -> KeyValue:
    """Convert an entry that is not a deletion to the type of the interface."""
    assert entry.value is not None
    return KeyValue(entry.key[1:], entry.value, entry.create_revision, entry.sequence, entry.version, entry.lease)


def entry_size(entry: Entry) -> int:
    """Approximate size of an entry in bytes."""
    return len(entry.key) + (len(entry.value) if entry.value else 0) + 24


def record_size(record: Record) -> int:
    """Approximate size of a record in bytes, counted as `Batch.size` does."""
    return sum(entry_size(entry) for entry in record.entries)


DROPS_PER_PAUSE = 64  # entries that `retained` drops before it yields control to its caller


def retained(entries: Iterable[Entry], floor: int, bottom: bool) -> Iterator[Entry | None]:
    """Filter the sorted entries of a merge (by key, newest first) down to those that must be kept.

    Kept are all versions after `floor`, the newest one up to it, and the newest one of each internal key. `bottom`: no
    older table remains below the output, so deletions that no later revision needs are dropped too; with older versions
    below, dropping a deletion would make those visible again.

    Yields None after every `DROPS_PER_PAUSE` dropped entries, since dropping a hundred thousand old versions of one key
    in one go would block the event loop.
    """
    key, newest_seen, dropped = b"", False, 0
    for entry in entries:
        if entry.key != key:
            key, newest_seen = entry.key, False
        if newest_seen:
            dropped += 1
            if not dropped % DROPS_PER_PAUSE:
                yield None
        elif entry.sequence > floor and key[:1] == DATA:
            yield entry
        else:
            newest_seen = True
            if entry.value is not None or not bottom:
                yield entry


_decode = msgspec.msgpack.Decoder(list[Record]).decode
_decode_entries = msgspec.msgpack.Decoder(list[Entry]).decode
encode = msgspec.msgpack.Encoder().encode


def decode_records(payload: bytes | memoryview) -> list[Record]:
    """Decode the records of a frame. Raises `msgspec.MsgspecError`."""
    return _decode(payload)


def decode_entries(payload: bytes | memoryview) -> list[Entry]:
    """Decode the entries of a block. Raises `msgspec.MsgspecError`."""
    return _decode_entries(payload)
