"""The types that the store keeps. One `Entry` is what the log records, the memory table holds and a table stores.

Keys on disk begin with one byte that tells what they are: DATA for the user's keys, ordered among themselves by the
revision of each version; the others are the store's own, of which only the latest counts, ordered by the number of
the record that wrote them.
"""

from collections.abc import Iterable, Iterator

import msgspec

LEASED_KEY, DATA, LEASE, META = b"a", b"k", b"l", b"m"  # a: lease and key; l: lease; m: the store's own
COMPACTED = META + b"compacted"
MAX_REVISION = (1 << 63) - 1


class Entry(msgspec.Struct, array_like=True, gc=False):
    """One version of one key. `value` None: deleted. `order`: revision of a DATA key, else the record's number."""

    key: bytes
    sequence: int
    value: bytes | None
    create_revision: int = 0
    version: int = 0
    lease: int = 0


class Record(msgspec.Struct, array_like=True, gc=False):
    """What one commit wrote. Numbered without gaps; `revision` is the store's after it. `at`: Unix microseconds."""

    number: int
    revision: int
    timestamp: int
    entries: list[Entry]


class KeyValue(msgspec.Struct, frozen=True, gc=False):
    """One version of a key, in the words of etcd's published API."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int  # 1 with its creation, one more with each change
    lease: int = 0


class Change(msgspec.Struct, frozen=True, gc=False):
    """One change of one revision; `now` None: deleted."""

    revision: int
    key: bytes
    now: KeyValue | None


class LeaseTerms(msgspec.Struct, array_like=True, gc=False):
    """What is kept of a lease: its length and the Unix microsecond at which it ends unless kept alive."""

    ttl: int
    deadline: int


def key_value(entry: Entry) -> KeyValue:
    """The user's view of an entry that is not a deletion."""
    assert entry.value is not None
    return KeyValue(entry.key[1:], entry.value, entry.create_revision, entry.sequence, entry.version, entry.lease)


def entry_size(entry: Entry) -> int:
    """Bytes that an entry takes, near enough to plan by."""
    return len(entry.key) + (len(entry.value) if entry.value else 0) + 24


def record_size(record: Record) -> int:
    """Bytes that a record takes, as a batch counts them."""
    return sum(entry_size(entry) for entry in record.entries)


DROPS_PER_PAUSE = 64  # entries dropped in a row before `retained` gives its caller a turn


def retained(entries: Iterable[Entry], floor: int, bottom: bool) -> Iterator[Entry | None]:
    """What a merge keeps of entries in order (key, newest first): all versions after `floor`, the newest up to it, and
    of the store's own keys the newest. With `bottom`, nothing older lies below, so a deletion that nobody can still
    read past is dropped too. A deletion dropped with older versions below would bring those back.

    Now and then None comes while many are dropped: a hundred thousand old versions of one key must not hold a turn.
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
    """The records of one frame's payload; `msgspec.MsgspecError` if it is none."""
    return _decode(payload)


def decode_entries(payload: bytes | memoryview) -> list[Entry]:
    """The entries of one block's payload; `msgspec.MsgspecError` if it is none."""
    return _decode_entries(payload)
