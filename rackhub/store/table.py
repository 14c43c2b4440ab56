"""Sorted immutable tables: blocks of entries, then an index of the blocks, a filter of the keys, and a footer.

The builder is pure: it is fed entries in order and gives bytes. The reader reads block by block through the port,
checks each one's sum, and keeps decoded blocks in a cache that all tables of a store share.
"""

import struct
from bisect import bisect_left, bisect_right
from collections import OrderedDict
from collections.abc import Iterator

import msgspec
from crc32c import crc32c
from rbloom import Bloom
from xxhash import xxh3_128_intdigest

from rackhub.store.errors import Corrupt
from rackhub.store.files import File
from rackhub.store.framing import FRAME_SIZE, HEADER_SIZE, TABLE, check_header, frame, frame_at, header
from rackhub.store.records import DATA, Entry, encode, entries_of, size_of

_FOOTER = struct.Struct("<QQQII")  # where index, filter and facts begin, a checksum of these, the marker
_END = 0x5EA1_7AB1
Index = tuple[list[tuple[bytes, int]], list[int]]  # places of the blocks' last entries; where blocks begin and end
QUANTILES = 16
FILTER_RATE = 0.01


class TableInfo(msgspec.Struct, frozen=True, array_like=True):
    """What the manifest and the table itself tell of it. It holds all records from the first to the last,
    less what a merge was free to drop; `sources` are the tables it was made from, none where it came from the log."""

    number: int
    first_record: int
    last_record: int
    revision: int  # the store's after record `last_record`
    floor: int  # history up to here was compacted away when it was made
    entries: int
    size: int
    sources: tuple[int, ...]
    stale: tuple[int, ...]  # quantiles of the revisions by which its older versions were replaced inside it
    stale_count: int


def bloom_hash(key: bytes) -> int:
    """What the filter's library asks for: 128 bits as a signed number, the same in every process."""
    return int(xxh3_128_intdigest(key)) - (1 << 127)


class TableBuilder:
    """Feed `add` in order of key, newest first; write what it and `finish` return."""

    def __init__(self, number: int, expected: int, block_bytes: int):
        self.number, self._block_bytes, self.offset = number, block_bytes, 0
        self._block: list[Entry] = []
        self._filling = 0
        self._index: list[tuple[bytes, int]] = []  # the place of each block's last entry
        self._offsets: list[int] = []
        self._bloom = Bloom(max(expected, 64), FILTER_RATE, bloom_hash)
        self._last: Entry | None = None
        self._replaced: list[int] = []
        self._every, self._skipped, self.entries = 1, 0, 0
        self._stale_count = 0

    def begin(self) -> bytes:
        """The bytes that go first."""
        self.offset = HEADER_SIZE
        return header(TABLE, self.number)

    def add(self, entry: Entry) -> bytes | None:
        """A whole block, where this entry filled one."""
        last = self._last
        if last is None or last.key != entry.key:
            if last is not None and last.key > entry.key:
                raise AssertionError(f"entries out of order at {entry.key!r}")
            self._bloom.add(entry.key)
        else:
            if last.order <= entry.order:
                raise AssertionError(f"versions out of order at {entry.key!r}")
            if entry.key[:1] == DATA:
                self._stale(last.order)
        self._last = entry
        self._block.append(entry)
        self._filling += size_of(entry)
        self.entries += 1
        return self._cut() if self._filling >= self._block_bytes else None

    def _stale(self, by: int) -> None:
        """Keep a thinned sample of the revisions that replaced what is stale here."""
        self._stale_count += 1
        self._skipped += 1
        if self._skipped >= self._every:
            self._skipped = 0
            self._replaced.append(by)
            if len(self._replaced) >= 2_048:
                self._replaced, self._every = self._replaced[::2], self._every * 2

    def _cut(self) -> bytes:
        self._index.append(_place(self._block[-1]))
        self._offsets.append(self.offset)
        payload = encode(self._block)
        self._block, self._filling = [], 0
        data = frame(payload) + payload
        self.offset += len(data)
        return data

    def finish(
        self, low: int, high: int, revision: int, floor: int, sources: tuple[int, ...]
    ) -> tuple[bytes, TableInfo]:
        """The rest of the file, and what it holds."""
        parts = [self._cut()] if self._block else []
        begins = [self.offset]
        replaced = sorted(self._replaced)
        stale = (
            tuple(replaced[(2 * i + 1) * len(replaced) // (2 * QUANTILES)] for i in range(QUANTILES))
            if replaced
            else ()
        )
        self._offsets.append(self.offset)
        index = encode((self._index, self._offsets))
        sizes = FRAME_SIZE * 3 + _FOOTER.size
        bloom = self._bloom.save_bytes()
        at = self.offset + len(index) + len(bloom)
        info = TableInfo(self.number, low, high, revision, floor, self.entries, 0, sources, stale, self._stale_count)
        facts = encode(info)
        while True:  # the size is among the facts, and a longer number makes them longer
            size = at + len(facts) + sizes
            info = msgspec.structs.replace(info, size=size)
            if len(encode(info)) == len(facts):
                break
            facts = encode(info)
        facts = encode(info)
        for payload in (index, bloom, facts):
            parts += [frame(payload), payload]
            begins.append(begins[-1] + FRAME_SIZE + len(payload))
        told = struct.pack("<QQQ", *begins[:3])
        parts.append(_FOOTER.pack(*begins[:3], crc32c(told), _END))
        return b"".join(parts), info

    def open(self, name: str, file: File, cache: "BlockCache", info: TableInfo) -> "Table":
        """The table just written, without reading its index again, which takes long for a large one."""
        table = Table.__new__(Table)
        table.name, table.info, table._file, table._cache, table.readers = name, info, file, cache, 0
        table._index, table._offsets, table._bloom = self._index, self._offsets, self._bloom
        return table


class BlockCache:
    """Decoded blocks, those not used for longest dropped first."""

    def __init__(self, most: int):
        self._most, self._used = most, 0
        self._blocks: OrderedDict[tuple[int, int], tuple[list[Entry], int]] = OrderedDict()
        self.hits = self.misses = 0

    def get(self, key: tuple[int, int]) -> list[Entry] | None:
        found = self._blocks.get(key)
        if found is None:
            self.misses += 1
            return None
        self._blocks.move_to_end(key)
        self.hits += 1
        return found[0]

    def put(self, key: tuple[int, int], block: list[Entry], size: int) -> None:
        size += 150 * len(block)  # as objects of the language, near enough
        if size > self._most // 4:
            return
        self._blocks[key] = (block, size)
        self._used += size
        while self._used > self._most:
            _, (_, freed) = self._blocks.popitem(last=False)
            self._used -= freed


def _place(entry: Entry) -> tuple[bytes, int]:
    return entry.key, -entry.order


class Table:
    """One table, open for reading."""

    def __init__(self, name: str, number: int, file: File, cache: BlockCache):
        """`Corrupt` where header, footer, index, filter or facts are not whole."""
        self.name, self._file, self._cache, self.readers = name, file, cache, 0
        size = file.size()
        check_header(name, file.read(0, HEADER_SIZE), TABLE, number)
        if size < HEADER_SIZE + _FOOTER.size:
            raise Corrupt(name, size, "cut before its footer")
        begins = _FOOTER.unpack(file.read(size - _FOOTER.size, _FOOTER.size))
        if begins[4] != _END or crc32c(struct.pack("<QQQ", *begins[:3])) != begins[3]:
            raise Corrupt(name, size - _FOOTER.size, "its footer fails its checksum: cut short or damaged")
        tail = memoryview(file.read(begins[0], size - _FOOTER.size - begins[0]))
        parts, at = [], 0
        for _ in range(3):
            found = frame_at(tail, at)
            if found is None:
                raise Corrupt(name, begins[0] + at, "its index fails its checksum")
            parts.append(found.payload)
            at = found.end
        try:
            self._index, self._offsets = msgspec.msgpack.decode(parts[0], type=Index)
            self.info = msgspec.msgpack.decode(parts[2], type=TableInfo)
            self._bloom = Bloom.load_bytes(bytes(parts[1]), bloom_hash)
        except (msgspec.MsgspecError, ValueError) as bad:
            raise Corrupt(name, begins[0], f"its index can't be read: {bad}") from None
        if self.info.size != size:
            raise Corrupt(name, size, f"has {size} bytes; it was written with {self.info.size}")

    def block(self, i: int, keep: bool = True) -> list[Entry]:
        """The entries of block `i`; `Corrupt` if its bytes are not those that were written."""
        cached = self._cache.get((self.info.number, i))
        if cached is not None:
            return cached
        start, end = self._offsets[i], self._offsets[i + 1]
        found = frame_at(memoryview(self._file.read(start, end - start)), 0)
        if found is None or found.end != end - start:
            raise Corrupt(self.name, start, f"block {i} fails its checksum")
        try:
            block = entries_of(found.payload)
        except msgspec.MsgspecError as bad:
            raise Corrupt(self.name, start, f"block {i} can't be read: {bad}") from None
        if keep:
            self._cache.put((self.info.number, i), block, end - start)
        return block

    def find(self, key: bytes, at: int) -> Entry | None:
        """The newest version of `key` up to `at`."""
        if key not in self._bloom:
            return None
        place = (key, -at)
        i = bisect_left(self._index, place)
        if i == len(self._index):
            return None
        block = self.block(i)
        entry = block[bisect_left(block, place, key=_place)]  # the block's last is at or after the place
        return entry if entry.key == key else None

    def scan(self, start: bytes = b"", end: bytes | None = None, keep: bool = True) -> Iterator[Entry]:
        """From `start` to before `end` in order of key, newest first."""
        place = (start, -(1 << 64))
        first = bisect_left(self._index, place)
        self.readers += 1
        try:
            for i in range(first, len(self._index)):
                block = self.block(i, keep)
                low = bisect_left(block, place, key=_place) if i == first else 0
                if end is not None and block[-1].key >= end:
                    yield from block[low : bisect_left(block, (end, -(1 << 64)), key=_place)]
                    return
                yield from block[low:] if low else block
        finally:
            self.readers -= 1

    def check(self) -> int:
        """Read all of it; the number of entries. `Corrupt` at the first that is not as it was written."""
        count, last = 0, (b"", 0)
        at = HEADER_SIZE
        for i in range(len(self._index)):
            if self._offsets[i] != at:
                raise Corrupt(self.name, at, "bytes between blocks")
            at = self._offsets[i + 1]
            block = self.block(i, keep=False)
            for entry in block:
                place = _place(entry)
                if count and place <= last:
                    raise Corrupt(self.name, self._offsets[i], f"entries out of order in block {i}")
                if entry.key not in self._bloom:
                    raise Corrupt(self.name, self._offsets[i], f"the filter misses a key of block {i}")
                last, count = place, count + 1
        if count != self.info.entries:
            raise Corrupt(self.name, at, f"holds {count} entries, {self.info.entries} were written")
        return count

    def keys_at(self, offset: int) -> tuple[bytes, bytes]:
        """The user's keys, from one to before another, whose reading looks at the byte at `offset`."""
        i = min(max(bisect_right(self._offsets, offset) - 1, 0), len(self._index) - 1)
        first, last = self.block(i)[0].key, self._index[i][0]
        return (first[1:] if first[:1] == DATA else b""), (last[1:] + b"\0" if last[:1] == DATA else b"")

    def close(self) -> None:
        self._file.close()
