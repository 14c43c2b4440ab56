"""How a store is set up: one type, also the `[store]` part of the operator's file. Sizes are bytes, times in us."""

from typing import Literal

import msgspec

KIB, MIB = 1_024, 1_048_576


class Options(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """`contract`: `always` a commit is on disk when it returns; `group` the commits of one turn share one sync, and
    are acknowledged after it; `none` acknowledged when written, lost with the machine's power."""

    contract: Literal["always", "group", "none"] = "group"
    memtable_bytes: int = 4 * MIB  # in memory before it goes to a table; also what a recovery replays at most, twice
    block_bytes: int = 4 * KIB  # of a table, read and checked as one
    cache_bytes: int = 8 * MIB  # of decoded blocks
    batch_bytes: int = 64 * MIB  # one commit
    frame_bytes: int = MIB  # commits written under one checksum
    slice_us: int = 2_000  # compaction in one turn; a step that has begun ends, so under 5 ms is kept
    runs: int = 4  # tables of one size before they are merged into one of the next
    reserve: bool = True  # keep what a table was made from until that table is merged itself: one file may be lost
    retain_revisions: int = 0  # compact by itself to so many revisions of history; 0: keep all

    def __post_init__(self) -> None:
        for name, least, most in (
            ("memtable_bytes", 4 * KIB, 1_024 * MIB),
            ("block_bytes", 256, MIB),
            ("cache_bytes", 0, 4_096 * MIB),
            ("batch_bytes", KIB, 1_024 * MIB),
            ("frame_bytes", KIB, 64 * MIB),
            ("slice_us", 100, 1_000_000),
            ("runs", 2, 64),
            ("retain_revisions", 0, 1 << 62),
        ):
            if not least <= getattr(self, name) <= most:
                raise ValueError(f"{name} is {getattr(self, name)}: from {least} to {most} is needed")
