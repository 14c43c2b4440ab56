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

    __slots__ = ("disk", "pending", "now")

    def __init__(self, disk: bytes = b""):
        self.disk = disk
        self.now = bytearray(disk)
        self.pending: list[tuple[int, bytes | None]] = []  # (where, what is written there, None: cut there)

    @staticmethod
    def sharing(other: "Inode") -> "Inode":
        made = Inode.__new__(Inode)
        made.disk, made.now, made.pending = other.disk, other.now, []
        return made

    def change(self, where: int, what: bytes | None) -> None:
        """Write at the end, or cut; bytes shared with another are copied first."""
        if not self.pending:
            self.now = bytearray(self.now)
        self.pending.append((where, what))
        if what is None:
            del self.now[where:]
        else:
            self.now += what


class MemoryFile:
    """One open file of `MemoryFiles`."""

    def __init__(self, home: "MemoryFiles", inode: Inode):
        self._home, self._inode = home, inode

    def append(self, parts: Sequence[bytes]) -> None:
        data = b"".join(parts)
        try:
            self._home.step("append", len(data))
        except OSError:
            half = data[: self._home.random.randrange(len(data) + 1)] if data else b""  # a part may be there
            self._inode.change(len(self._inode.now), half)
            raise
        except PowerCut:
            self._inode.change(len(self._inode.now), data)
            raise
        self._inode.change(len(self._inode.now), data)

    def read(self, offset: int, size: int) -> bytes:
        self._home.alive()
        return bytes(self._inode.now[offset : offset + size])

    def size(self) -> int:
        self._home.alive()
        return len(self._inode.now)

    def sync(self) -> None:
        self._home.step("sync", 0)
        if not self._home.ignore_syncs:
            self._inode.disk = bytes(self._inode.now)
            self._inode.pending = []

    def truncate(self, size: int) -> None:
        self._home.step("truncate", 0)
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
        self.names_on_disk: dict[str, Inode] = {}
        self._name_changes: list[tuple[str, Inode | None]] = []
        self.steps, self.fail_at, self.keep_failing, self.ignore_syncs = 0, 0, False, False
        self.fault: BaseException = PowerCut()
        self.capacity: int | None = None
        self.locked, self._off = False, False

    def alive(self) -> None:
        if self._off:
            raise PowerCut

    def step(self, what: str, size: int) -> None:
        self.alive()
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
        self.alive()
        return sorted(self.inodes)

    def create(self, name: str) -> MemoryFile:
        self.step("create", 0)
        self.inodes[name] = Inode()
        self._name_changes.append((name, self.inodes[name]))
        return MemoryFile(self, self.inodes[name])

    def open(self, name: str) -> MemoryFile:
        self.alive()
        if name not in self.inodes:
            raise FileNotFoundError(2, os.strerror(2), name)
        return MemoryFile(self, self.inodes[name])

    def rename(self, old: str, new: str) -> None:
        self.step("rename", 0)
        inode = self.inodes.pop(old)
        self.inodes[new] = inode
        self._name_changes += [(new, inode), (old, None)]

    def remove(self, name: str) -> None:
        self.step("remove", 0)
        if name not in self.inodes:
            raise FileNotFoundError(2, os.strerror(2), name)
        del self.inodes[name]
        self._name_changes.append((name, None))

    def sync_names(self) -> None:
        self.step("sync_names", 0)
        if not self.ignore_syncs:
            self.names_on_disk = dict(self.inodes)
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
        return MemoryFiles.of({name: bytes(inode.now) for name, inode in self.inodes.items()})

    def copy_shared(self) -> "MemoryFiles":
        """The same files under a directory of its own, for an opening that may change it. Each file is copied when
        it is changed first."""
        made = MemoryFiles()
        made.inodes = {name: Inode.sharing(inode) for name, inode in self.inodes.items()}
        made.names_on_disk = dict(made.inodes)
        return made

    @staticmethod
    def of(contents: dict[str, bytes]) -> "MemoryFiles":
        made = MemoryFiles()
        made.inodes = {name: Inode(data) for name, data in contents.items()}
        made.names_on_disk = dict(made.inodes)
        return made

    def after_power_cut(self, seed: int) -> "MemoryFiles":
        """One of the ways in which the machine may find the directory. Of each file any of the unsynced writes may
        be there, the last of those torn at any byte, holes between them zeros; of unsynced names any beginning."""
        chance = random.Random(seed)
        names = dict(self.names_on_disk)
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
        return MemoryFiles.of({name: self._left_of(inode, chance) for name, inode in names.items()})

    @staticmethod
    def _left_of(inode: Inode, chance: random.Random) -> bytes:
        data = bytearray(inode.disk)
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

    def cut(self, name: str, size: int) -> "MemoryFiles":
        """A copy with one file cut to `size`; the other files are shared with this one."""
        return self._with(name, bytes(self.inodes[name].now[:size]))

    def flip(self, name: str, offset: int, bit: int) -> "MemoryFiles":
        """A copy with one bit of one file turned."""
        data = bytearray(self.inodes[name].now)
        data[offset] ^= 1 << bit
        return self._with(name, bytes(data))

    def _with(self, name: str, data: bytes) -> "MemoryFiles":
        made = MemoryFiles()
        made.inodes = dict(self.inodes)
        made.inodes[name] = Inode(data)
        made.names_on_disk = dict(made.inodes)
        return made
