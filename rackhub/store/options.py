"""Options of a store, also used for the `[store]` table of the operator's file."""

from typing import Literal

import msgspec

KIB, MIB = 1_024, 1_048_576


class Options(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Options of a store. Sizes in bytes, times in microseconds.

    `contract` is the durability contract. `always`: a commit is on disk when it returns. `group`: the commits of one
    event-loop iteration share a sync and are acknowledged after it. `none`: commits are acknowledged when written, and
    lost in a power failure.
    """

    contract: Literal["always", "group", "none"] = "group"
    memtable_bytes: int = 4 * MIB  # size at which a memtable is written out; a recovery replays at most twice as much
    block_bytes: int = 4 * KIB  # size of a table's blocks, the unit of reads and checksums
    cache_bytes: int = 8 * MIB  # capacity of the cache of decoded blocks
    batch_bytes: int = 64 * MIB  # maximum size of a commit
    frame_bytes: int = MIB  # commits are grouped into log frames of this size
    slice_us: int = 2_000  # background work per event-loop iteration; with the step that exceeds it, below 5 ms
    runs: int = 4  # number of tables of one size tier that are merged, and the ratio of sizes between tiers
    reserve: bool = True  # keep the inputs of a merged table until it is merged itself: any one file may be lost
    retain_revisions: int = 0  # compact automatically to so many revisions of history; 0: keep all

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
