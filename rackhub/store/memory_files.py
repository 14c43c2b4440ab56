"""The interface `Files` in memory, with simulated disk failures and power cuts, for tests.

Durable contents are kept apart from contents that were only written. `after_power_cut` returns a directory in a state
that a machine may find at its next start: unsynced writes are lost, torn, or present out of order, and so are unsynced
changes of names. Any modifying call can be made to fail, with ENOSPC, EIO or the power cut itself.
"""

import os
import random
from collections.abc import Sequence

from rackhub.store.errors import Locked


class PowerCut(BaseException):
    """The machine is off: calls have no further effect."""


class Inode:
    """The contents of one file: the durable part, and the changes since then, oldest first."""

    __slots__ = ("durable", "pending", "contents")

    def __init__(self, durable: bytes = b""):
        self.durable = durable
        self.contents = bytearray(durable)
        self.pending: list[tuple[int, bytes | None]] = []  # (offset, data written there; None: truncated there)

    @staticmethod
    def share(other: "Inode") -> "Inode":
        """Return an inode with the contents of `other`, which are copied on the first change."""
        made = Inode.__new__(Inode)
        made.durable, made.contents, made.pending = other.durable, other.contents, []
        return made

    def change(self, offset: int, data: bytes | None) -> None:
        """Append `data` at `offset`, or truncate to `offset` if `data` is None."""
        if not self.pending:
            self.contents = bytearray(self.contents)
        self.pending.append((offset, data))
        if data is None:
            del self.contents[offset:]
        else:
            self.contents += data


class MemoryFile:
    """An open file of `MemoryFiles`."""

    def __init__(self, directory: "MemoryFiles", inode: Inode):
        self._directory, self._inode = directory, inode

    def append(self, parts: Sequence[bytes]) -> None:
        """Write at the end. On a simulated error a random prefix is written."""
        data = b"".join(parts)
        try:
            self._directory.count_call("append", len(data))
        except OSError:
            half = (
                data[: self._directory.random.randrange(len(data) + 1)] if data else b""
            )  # a failed write may leave any prefix
            self._inode.change(len(self._inode.contents), half)
            raise
        except PowerCut:
            self._inode.change(len(self._inode.contents), data)
            raise
        self._inode.change(len(self._inode.contents), data)

    def read(self, offset: int, size: int) -> bytes:
        """Read up to `size` bytes."""
        self._directory.check_power()
        return bytes(self._inode.contents[offset : offset + size])

    def size(self) -> int:
        """Return the size in bytes."""
        self._directory.check_power()
        return len(self._inode.contents)

    def sync(self) -> None:
        """Make the contents durable, unless syncs are ignored."""
        self._directory.count_call("sync", 0)
        if not self._directory.ignore_syncs:
            self._inode.durable = bytes(self._inode.contents)
            self._inode.pending = []

    def truncate(self, size: int) -> None:
        """Cut the file to `size` bytes."""
        self._directory.count_call("truncate", 0)
        self._inode.change(size, None)

    def close(self) -> None:
        """Do nothing."""
        pass


class MemoryFiles:
    """A directory in memory.

    `fail_at`: the number of the modifying call, counted from 1 in `steps`, that fails with `fault`. A `PowerCut` is
    permanent; an `OSError` fails once or, with `keep_failing`, from then on. `capacity`: bytes that may still be
    written, or None. `ignore_syncs`: syncs have no effect.
    """

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
        """Raise `PowerCut` if the power is off."""
        if self._off:
            raise PowerCut

    def count_call(self, what: str, size: int) -> None:
        """Count a modifying call that writes `size` bytes, and raise the configured fault if it is due."""
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
        """Return the file names, sorted."""
        self.check_power()
        return sorted(self.inodes)

    def create(self, name: str) -> MemoryFile:
        """Create an empty file."""
        self.count_call("create", 0)
        self.inodes[name] = Inode()
        self._name_changes.append((name, self.inodes[name]))
        return MemoryFile(self, self.inodes[name])

    def open(self, name: str) -> MemoryFile:
        """Open a file. Raises `FileNotFoundError`."""
        self.check_power()
        if name not in self.inodes:
            raise FileNotFoundError(2, os.strerror(2), name)
        return MemoryFile(self, self.inodes[name])

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        self.count_call("rename", 0)
        inode = self.inodes.pop(old)
        self.inodes[new] = inode
        self._name_changes += [(new, inode), (old, None)]

    def remove(self, name: str) -> None:
        """Remove a file. Raises `FileNotFoundError`."""
        self.count_call("remove", 0)
        if name not in self.inodes:
            raise FileNotFoundError(2, os.strerror(2), name)
        del self.inodes[name]
        self._name_changes.append((name, None))

    def sync_directory(self) -> None:
        """Make changes of names durable, unless syncs are ignored."""
        self.count_call("sync_directory", 0)
        if not self.ignore_syncs:
            self.durable_names = dict(self.inodes)
            self._name_changes = []

    def lock(self) -> None:
        """Lock the directory. Raises `Locked`."""
        if self.locked:
            raise Locked("memory")
        self.locked = True

    def unlock(self) -> None:
        """Release the lock."""
        self.locked = False

    # ---- copies and damage

    def copy(self) -> "MemoryFiles":
        """Return the directory as a killed process leaves it: everything written is there."""
        return MemoryFiles.from_contents({name: bytes(inode.contents) for name, inode in self.inodes.items()})

    def copy_shared(self) -> "MemoryFiles":
        """Return an independent directory with the same files; each file's contents are copied on its first change."""
        made = MemoryFiles()
        made.inodes = {name: Inode.share(inode) for name, inode in self.inodes.items()}
        made.durable_names = dict(made.inodes)
        return made

    @staticmethod
    def from_contents(contents: dict[str, bytes]) -> "MemoryFiles":
        """Return a directory with these files, all durable."""
        made = MemoryFiles()
        made.inodes = {name: Inode(data) for name, data in contents.items()}
        made.durable_names = dict(made.inodes)
        return made

    def after_power_cut(self, seed: int) -> "MemoryFiles":
        """Return one of the states in which a machine may find the directory after a power cut.

        Of each file any of the unsynced writes may survive, torn at any byte, with zeros in the gaps between them; of
        the unsynced changes of each name any prefix.
        """
        random_source = random.Random(seed)
        names = dict(self.durable_names)
        by_name: dict[str, list[Inode | None]] = {}
        for name, inode in self._name_changes:
            by_name.setdefault(name, []).append(inode)
        for name, changes in by_name.items():
            survivors = random_source.randrange(len(changes) + 1)
            if survivors:
                last = changes[survivors - 1]
                names.pop(name, None)
                if last is not None:
                    names[name] = last
        return MemoryFiles.from_contents(
            {name: self._surviving_contents(inode, random_source) for name, inode in names.items()}
        )

    @staticmethod
    def _surviving_contents(inode: Inode, random_source: random.Random) -> bytes:
        data = bytearray(inode.durable)
        in_order = random_source.random() < 0.5  # half of the cases keep the order of writes and stop at a random one
        stop = random_source.randrange(len(inode.pending) + 1)
        for i, (offset, written) in enumerate(inode.pending):
            if i >= stop if in_order else random_source.random() < 0.5:
                if in_order and i == stop and written:
                    written = written[: random_source.randrange(len(written) + 1)]
                else:
                    continue
            if written is None:
                del data[offset:]
                continue
            if not in_order and random_source.random() < 0.3:
                written = written[: random_source.randrange(len(written) + 1)]
            if len(data) < offset and written:
                data += bytes(offset - len(data))
            data[offset : offset + len(written)] = written
        return bytes(data)

    def with_file_cut(self, name: str, size: int) -> "MemoryFiles":
        """Return a copy in which one file is cut to `size` bytes; all other files are shared with this one."""
        return self._with_file(name, bytes(self.inodes[name].contents[:size]))

    def with_bit_flipped(self, name: str, offset: int, bit: int) -> "MemoryFiles":
        """Return a copy in which one bit of one file is inverted."""
        data = bytearray(self.inodes[name].contents)
        data[offset] ^= 1 << bit
        return self._with_file(name, bytes(data))

    def _with_file(self, name: str, data: bytes) -> "MemoryFiles":
        made = MemoryFiles()
        made.inodes = dict(self.inodes)
        made.inodes[name] = Inode(data)
        made.durable_names = dict(made.inodes)
        return made
