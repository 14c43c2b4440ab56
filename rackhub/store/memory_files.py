"""The port's faulty twin: files in memory with a power switch.

It keeps apart what is on disk and what was only written: `after_power_cut` gives the directory as a machine could find
it on its next start, with unsynced writes lost, torn or there out of order, and unsynced names likewise. On the way
it can fail any call: at step N with ENOSPC or EIO, or by the cut itself.
"""

import os
import random
from collections.abc import Sequence

from rackhub.store.errors import Locked


class PowerCut(BaseException):
    """The machine is off: no call after this one does anything."""


class Inode:
    """The contents of one file: what is on disk, and the changes since, oldest first."""

    __slots__ = ("durable", "pending", "contents")

    def __init__(self, durable: bytes = b""):
        self.durable = durable
        self.contents = bytearray(durable)
        self.pending: list[tuple[int, bytes | None]] = []  # (where, what is written there, None: cut there)

    @staticmethod
    def share(other: "Inode") -> "Inode":
        made = Inode.__new__(Inode)
        made.durable, made.contents, made.pending = other.durable, other.contents, []
        return made

    def change(self, where: int, what: bytes | None) -> None:
        """Write at the end, or cut; bytes shared with another are copied first."""
        if not self.pending:
            self.contents = bytearray(self.contents)
        self.pending.append((where, what))
        if what is None:
            del self.contents[where:]
        else:
            self.contents += what


class MemoryFile:
    """One open file of `MemoryFiles`."""

    def __init__(self, directory: "MemoryFiles", inode: Inode):
        self._directory, self._inode = directory, inode

    def append(self, parts: Sequence[bytes]) -> None:
        data = b"".join(parts)
        try:
            self._directory.count_call("append", len(data))
        except OSError:
            half = data[: self._directory.random.randrange(len(data) + 1)] if data else b""  # a part may be there
            self._inode.change(len(self._inode.contents), half)
            raise
        except PowerCut:
            self._inode.change(len(self._inode.contents), data)
            raise
        self._inode.change(len(self._inode.contents), data)

    def read(self, offset: int, size: int) -> bytes:
        self._directory.check_power()
        return bytes(self._inode.contents[offset : offset + size])

    def size(self) -> int:
        self._directory.check_power()
        return len(self._inode.contents)

    def sync(self) -> None:
        self._directory.count_call("sync", 0)
        if not self._directory.ignore_syncs:
            self._inode.durable = bytes(self._inode.contents)
            self._inode.pending = []

    def truncate(self, size: int) -> None:
        self._directory.count_call("truncate", 0)
        self._inode.change(size, None)

    def close(self) -> None:
        pass


class MemoryFiles:
    """A directory in memory. `fail_at`: the number of the call, from 1, that fails with `fault`; a `PowerCut` lasts,
    an `OSError` too while `keep_failing` is set. `capacity`: bytes that may be written in all.
    `ignore_syncs`: sync does nothing."""

    def __init__(self, seed: int = 0):
        self.random = random.Random(seed)
        self.inodes: dict[str, Inode] = {}
        self.durable_names: dict[str, Inode] = {}
        self._name_changes: list[tuple[str, Inode | None]] = []
        self.steps, self.fail_at, self.keep_failing, self.ignore_syncs = 0, 0, False, False
        self.fault: BaseException = PowerCut()
        self.capacity: int | None = None
        self.locked, self._off = False, False

    def check_power(self) -> None:
        if self._off:
            raise PowerCut

    def count_call(self, what: str, size: int) -> None:
        self.check_power()
        self.steps += 1
        if self.capacity is not None and size:
            if size > self.capacity:
                raise OSError(28, os.strerror(28))
            self.capacity -= size
        if self.fail_at and (self.steps == self.fail_at or self.keep_failing and self.steps > self.fail_at):
            if isinstance(self.fault, PowerCut):
                self._off = True
            raise self.fault

    def names(self) -> list[str]:
        self.check_power()
        return sorted(self.inodes)

    def create(self, name: str) -> MemoryFile:
        self.count_call("create", 0)
        self.inodes[name] = Inode()
        self._name_changes.append((name, self.inodes[name]))
        return MemoryFile(self, self.inodes[name])

    def open(self, name: str) -> MemoryFile:
        self.check_power()
        if name not in self.inodes:
            raise FileNotFoundError(2, os.strerror(2), name)
        return MemoryFile(self, self.inodes[name])

    def rename(self, old: str, new: str) -> None:
        self.count_call("rename", 0)
        inode = self.inodes.pop(old)
        self.inodes[new] = inode
        self._name_changes += [(new, inode), (old, None)]

    def remove(self, name: str) -> None:
        self.count_call("remove", 0)
        if name not in self.inodes:
            raise FileNotFoundError(2, os.strerror(2), name)
        del self.inodes[name]
        self._name_changes.append((name, None))

    def sync_directory(self) -> None:
        self.count_call("sync_directory", 0)
        if not self.ignore_syncs:
            self.durable_names = dict(self.inodes)
            self._name_changes = []

    def lock(self) -> None:
        if self.locked:
            raise Locked("memory")
        self.locked = True

    def unlock(self) -> None:
        self.locked = False

    # ---- what a test does to it

    def copy(self) -> "MemoryFiles":
        """As a process that is killed leaves it: all that was written is there."""
        return MemoryFiles.from_contents({name: bytes(inode.contents) for name, inode in self.inodes.items()})

    def copy_shared(self) -> "MemoryFiles":
        """The same files under a directory of its own, for an opening that may change it. Each file is copied when
        it is changed first."""
        made = MemoryFiles()
        made.inodes = {name: Inode.share(inode) for name, inode in self.inodes.items()}
        made.durable_names = dict(made.inodes)
        return made

    @staticmethod
    def from_contents(contents: dict[str, bytes]) -> "MemoryFiles":
        made = MemoryFiles()
        made.inodes = {name: Inode(data) for name, data in contents.items()}
        made.durable_names = dict(made.inodes)
        return made

    def after_power_cut(self, seed: int) -> "MemoryFiles":
        """One of the ways in which the machine may find the directory. Of each file any of the unsynced writes may
        be there, the last of those torn at any byte, holes between them zeros; of unsynced names any beginning."""
        chance = random.Random(seed)
        names = dict(self.durable_names)
        by_name: dict[str, list[Inode | None]] = {}
        for name, inode in self._name_changes:
            by_name.setdefault(name, []).append(inode)
        for name, changes in by_name.items():
            upto = chance.randrange(len(changes) + 1)
            if upto:
                last = changes[upto - 1]
                names.pop(name, None)
                if last is not None:
                    names[name] = last
        return MemoryFiles.from_contents(
            {name: self._surviving_contents(inode, chance) for name, inode in names.items()}
        )

    @staticmethod
    def _surviving_contents(inode: Inode, chance: random.Random) -> bytes:
        data = bytearray(inode.durable)
        in_order = chance.random() < 0.5  # half of all disks keep the order and stop somewhere
        stop = chance.randrange(len(inode.pending) + 1)
        for i, (where, what) in enumerate(inode.pending):
            if i >= stop if in_order else chance.random() < 0.5:
                if in_order and i == stop and what:
                    what = what[: chance.randrange(len(what) + 1)]
                else:
                    continue
            if what is None:
                del data[where:]
                continue
            if not in_order and chance.random() < 0.3:
                what = what[: chance.randrange(len(what) + 1)]
            if len(data) < where and what:
                data += bytes(where - len(data))
            data[where : where + len(what)] = what
        return bytes(data)

    def with_file_cut(self, name: str, size: int) -> "MemoryFiles":
        """A copy with one file cut to `size`; the other files are shared with this one."""
        return self._with_file(name, bytes(self.inodes[name].contents[:size]))

    def with_bit_flipped(self, name: str, offset: int, bit: int) -> "MemoryFiles":
        """A copy with one bit of one file turned."""
        data = bytearray(self.inodes[name].contents)
        data[offset] ^= 1 << bit
        return self._with_file(name, bytes(data))

    def _with_file(self, name: str, data: bytes) -> "MemoryFiles":
        made = MemoryFiles()
        made.inodes = dict(self.inodes)
        made.inodes[name] = Inode(data)
        made.durable_names = dict(made.inodes)
        return made
