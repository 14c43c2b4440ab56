"""Sorted tables (SSTables), immutable: blocks of entries, an index of the blocks, a Bloom filter, a footer.

The builder does no I/O: it takes entries in order and returns bytes. The reader reads block by block through the port
`files`, verifies checksums, and keeps decoded blocks in a cache shared by all tables of a store.
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
from rackhub.store.framing import FRAME_SIZE, HEADER_SIZE, TABLE_KIND, check_header, frame_at, frame_header, header
from rackhub.store.records import DATA, Entry, decode_entries, encode, entry_size

_FOOTER = struct.Struct("<QQQII")  # offsets of index, filter and TableInfo, their checksum, marker
_FOOTER_MARKER = 0x5EA1_7AB1
Index = tuple[list[tuple[bytes, int]], list[int]]  # sort key of each block's last entry; offsets of the block limits
QUANTILES = 16  # values in `TableInfo.stale_quantiles`
BLOOM_FALSE_POSITIVE_RATE = 0.01


class TableInfo(msgspec.Struct, frozen=True, array_like=True):
    """The description of a table, stored in the manifest and in the table itself.

    A table contains all records from the first to the last, except what a merge was allowed to drop. `sources` are the
    numbers of the tables it was merged from, empty if it was written from a memtable.
    """

    number: int
    first_record: int
    last_record: int
    revision: int  # the store's revision after record `last_record`
    floor: int  # the compaction floor when the table was written
    entries: int
    size: int
    sources: tuple[int, ...]
    stale_quantiles: tuple[int, ...]  # quantiles of the revisions that replaced older versions in this table
    stale_count: int  # number of versions that a newer one in the same table replaces


def bloom_hash(key: bytes) -> int:
    """The hash that the filter library requires: a signed 128-bit number that is the same in every process."""
    return int(xxh3_128_intdigest(key)) - (1 << 127)


class TableBuilder:
    """Builds a table. Call `add` with entries by key, newest first, and write what it and `finish` return."""

    def __init__(self, number: int, expected: int, block_bytes: int):
        self.number, self._block_bytes, self.offset = number, block_bytes, 0
        self._block: list[Entry] = []
        self._block_size = 0
        self._index: list[tuple[bytes, int]] = []  # the sort key of each block's last entry
        self._offsets: list[int] = []
        self._bloom = Bloom(max(expected, 64), BLOOM_FALSE_POSITIVE_RATE, bloom_hash)
        self._last: Entry | None = None
        self._replaced: list[int] = []
        self._sample_interval, self._since_last_sample, self.entries = 1, 0, 0
        self._stale_count = 0

    def file_header(self) -> bytes:
        """Start the file; returns its header."""
        self.offset = HEADER_SIZE
        return header(TABLE_KIND, self.number)

    def add(self, entry: Entry) -> bytes | None:
        """Add an entry; returns a block to write if this entry completes one."""
        last = self._last
        if last is None or last.key != entry.key:
            if last is not None and last.key > entry.key:
                raise AssertionError(f"entries out of order at {entry.key!r}")
            self._bloom.add(entry.key)
        else:
            if last.sequence <= entry.sequence:
                raise AssertionError(f"versions out of order at {entry.key!r}")
            if entry.key[:1] == DATA:
                self._count_replaced(last.sequence)
        self._last = entry
        self._block.append(entry)
        self._block_size += entry_size(entry)
        self.entries += 1
        return self._finish_block() if self._block_size >= self._block_bytes else None

    def _count_replaced(self, revision: int) -> None:
        """Count an older version, and sample the revision that replaced it; the sample is thinned to bound its size."""
        self._stale_count += 1
        self._since_last_sample += 1
        if self._since_last_sample >= self._sample_interval:
            self._since_last_sample = 0
            self._replaced.append(revision)
            if len(self._replaced) >= 2_048:
                self._replaced, self._sample_interval = self._replaced[::2], self._sample_interval * 2

    def _finish_block(self) -> bytes:
        self._index.append(_sort_key(self._block[-1]))
        self._offsets.append(self.offset)
        payload = encode(self._block)
        self._block, self._block_size = [], 0
        data = frame_header(payload) + payload
        self.offset += len(data)
        return data

    def finish(
        self, first_record: int, last_record: int, revision: int, floor: int, sources: tuple[int, ...]
    ) -> tuple[bytes, TableInfo]:
        """Return the rest of the file and the table's description."""
        buffers = [self._finish_block()] if self._block else []
        section_offsets = [self.offset]
        replaced = sorted(self._replaced)
        stale = (
            tuple(replaced[(2 * i + 1) * len(replaced) // (2 * QUANTILES)] for i in range(QUANTILES))
            if replaced
            else ()
        )
        self._offsets.append(self.offset)
        index = encode((self._index, self._offsets))
        fixed_size = FRAME_SIZE * 3 + _FOOTER.size
        bloom = self._bloom.save_bytes()
        size_before = self.offset + len(index) + len(bloom)
        info = TableInfo(
            self.number, first_record, last_record, revision, floor, self.entries, 0, sources, stale, self._stale_count
        )
        encoded_info = encode(info)
        while True:  # the encoded description contains the file size, and its own length depends on it
            size = size_before + len(encoded_info) + fixed_size
            info = msgspec.structs.replace(info, size=size)
            if len(encode(info)) == len(encoded_info):
                break
            encoded_info = encode(info)
        encoded_info = encode(info)
        for payload in (index, bloom, encoded_info):
            buffers += [frame_header(payload), payload]
            section_offsets.append(section_offsets[-1] + FRAME_SIZE + len(payload))
        packed = struct.pack("<QQQ", *section_offsets[:3])
        buffers.append(_FOOTER.pack(*section_offsets[:3], crc32c(packed), _FOOTER_MARKER))
        return b"".join(buffers), info

    def open(self, name: str, file: File, cache: "BlockCache", info: TableInfo) -> "Table":
        """Open the table that was just written without reading its index again, which is slow for a large table."""
        table = Table.__new__(Table)
        table.name, table.info, table._file, table._cache, table.open_scans = name, info, file, cache, 0
        table._index, table._offsets, table._bloom = self._index, self._offsets, self._bloom
        return table


class BlockCache:
    """An LRU cache of decoded blocks, limited to `capacity` bytes."""

    def __init__(self, capacity: int):
        self._capacity, self._used = capacity, 0
        self._blocks: OrderedDict[tuple[int, int], tuple[list[Entry], int]] = OrderedDict()
        self.hits = self.misses = 0

    def get(self, key: tuple[int, int]) -> list[Entry] | None:
        """Return the cached block, or None."""
        found = self._blocks.get(key)
        if found is None:
            self.misses += 1
            return None
        self._blocks.move_to_end(key)
        self.hits += 1
        return found[0]

    def put(self, key: tuple[int, int], block: list[Entry], size: int) -> None:
        """Add a block of `size` encoded bytes. Blocks larger than a quarter of the cache are not cached."""
        size += 150 * len(block)  # approximate overhead of the Python objects
        if size > self._capacity // 4:
            return
        self._blocks[key] = (block, size)
        self._used += size
        while self._used > self._capacity:
            _, (_, freed) = self._blocks.popitem(last=False)
            self._used -= freed


def _sort_key(entry: Entry) -> tuple[bytes, int]:
    return entry.key, -entry.sequence


class Table:
    """A table that is open for reading."""

    def __init__(self, name: str, number: int, file: File, cache: BlockCache):
        """Read footer, index, filter and description. Raises `Corrupt` if one of them is damaged."""
        self.name, self._file, self._cache, self.open_scans = name, file, cache, 0
        size = file.size()
        check_header(name, file.read(0, HEADER_SIZE), TABLE_KIND, number)
        if size < HEADER_SIZE + _FOOTER.size:
            raise Corrupt(name, size, "truncated: the footer is missing")
        section_offsets = _FOOTER.unpack(file.read(size - _FOOTER.size, _FOOTER.size))
        if (
            section_offsets[4] != _FOOTER_MARKER
            or crc32c(struct.pack("<QQQ", *section_offsets[:3])) != section_offsets[3]
        ):
            raise Corrupt(name, size - _FOOTER.size, "footer checksum mismatch: the file is truncated or damaged")
        tail = memoryview(file.read(section_offsets[0], size - _FOOTER.size - section_offsets[0]))
        parts, at = [], 0
        for _ in range(3):
            found = frame_at(tail, at)
            if found is None:
                raise Corrupt(name, section_offsets[0] + at, "index checksum mismatch")
            parts.append(found.payload)
            at = found.end
        try:
            self._index, self._offsets = msgspec.msgpack.decode(parts[0], type=Index)
            self.info = msgspec.msgpack.decode(parts[2], type=TableInfo)
            self._bloom = Bloom.load_bytes(bytes(parts[1]), bloom_hash)
        except (msgspec.MsgspecError, ValueError) as bad:
            raise Corrupt(name, section_offsets[0], f"index can't be decoded: {bad}") from None
        if self.info.size != size:
            raise Corrupt(name, size, f"has {size} bytes, but was written with {self.info.size}")

    def block(self, i: int, fill_cache: bool = True) -> list[Entry]:
        """Return the entries of block `i`. Raises `Corrupt` on a checksum mismatch."""
        cached = self._cache.get((self.info.number, i))
        if cached is not None:
            return cached
        start, end = self._offsets[i], self._offsets[i + 1]
        found = frame_at(memoryview(self._file.read(start, end - start)), 0)
        if found is None or found.end != end - start:
            raise Corrupt(self.name, start, f"checksum mismatch in block {i}")
        try:
            block = decode_entries(found.payload)
        except msgspec.MsgspecError as bad:
            raise Corrupt(self.name, start, f"block {i} can't be decoded: {bad}") from None
        if fill_cache:
            self._cache.put((self.info.number, i), block, end - start)
        return block

    def find(self, key: bytes, at: int) -> Entry | None:
        """Return the newest version of `key` up to `at`, or None."""
        if key not in self._bloom:
            return None
        sort_key = (key, -at)
        index = bisect_left(self._index, sort_key)
        if index == len(self._index):
            return None
        block = self.block(index)
        entry = block[
            bisect_left(block, sort_key, key=_sort_key)
        ]  # the position is in range, since the block's last entry does not sort before the key
        return entry if entry.key == key else None

    def scan(self, start: bytes = b"", end: bytes | None = None, fill_cache: bool = True) -> Iterator[Entry]:
        """Yield entries from `start` to before `end` by key, newest first."""
        sort_key = (start, -(1 << 64))
        first = bisect_left(self._index, sort_key)
        self.open_scans += 1
        try:
            for i in range(first, len(self._index)):
                block = self.block(i, fill_cache)
                low = bisect_left(block, sort_key, key=_sort_key) if i == first else 0
                if end is not None and block[-1].key >= end:
                    yield from block[low : bisect_left(block, (end, -(1 << 64)), key=_sort_key)]
                    return
                yield from block[low:] if low else block
        finally:
            self.open_scans -= 1

    def verify(self) -> int:
        """Read the whole table and return the number of entries. Raises `Corrupt` at the first mismatch."""
        count, last = 0, (b"", 0)
        at = HEADER_SIZE
        for i in range(len(self._index)):
            if self._offsets[i] != at:
                raise Corrupt(self.name, at, "unexpected bytes between blocks")
            at = self._offsets[i + 1]
            block = self.block(i, fill_cache=False)
            for entry in block:
                sort_key = _sort_key(entry)
                if count and sort_key <= last:
                    raise Corrupt(self.name, self._offsets[i], f"entries out of order in block {i}")
                if entry.key not in self._bloom:
                    raise Corrupt(self.name, self._offsets[i], f"a key of block {i} is missing from the Bloom filter")
                last, count = sort_key, count + 1
        if count != self.info.entries:
            raise Corrupt(self.name, at, f"contains {count} entries, but {self.info.entries} were written")
        return count

    def keys_covering(self, offset: int) -> tuple[bytes, bytes]:
        """Return the range of user keys, end excluded, whose reads access the byte at `offset`."""
        i = min(max(bisect_right(self._offsets, offset) - 1, 0), len(self._index) - 1)
        first, last = self.block(i)[0].key, self._index[i][0]
        return (first[1:] if first[:1] == DATA else b""), (last[1:] + b"\0" if last[:1] == DATA else b"")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
