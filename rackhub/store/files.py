"""The interface for all file access of a store, and its implementation on the operating system's files."""

import errno
import fcntl
import os
from collections.abc import Sequence
from pathlib import Path
from typing import Protocol

from rackhub.store.errors import Locked

MAX_WRITE_BUFFERS = 1_000  # buffers in one gathered write; Linux allows 1,024


class File(Protocol):
    """An open file. It stays readable after its name is removed. All methods raise `OSError`."""

    def append(self, parts: Sequence[bytes]) -> None:
        """Write at the end. After an error any part of the data may have been written."""

    def read(self, offset: int, size: int) -> bytes:
        """Read up to `size` bytes; fewer only at the end of the file."""

    def size(self) -> int:
        """Return the size in bytes."""

    def sync(self) -> None:
        """Make the contents durable."""

    def truncate(self, size: int) -> None:
        """Cut the file to `size` bytes."""

    def close(self) -> None:
        """Close the file."""


class Files(Protocol):
    """A directory of files. Created, renamed and removed names are durable only after `sync_directory`."""

    def names(self) -> list[str]:
        """Return the file names, sorted."""

    def create(self, name: str) -> File:
        """Create an empty file, replacing an existing one."""

    def open(self, name: str) -> File:
        """Open an existing file. Raises `FileNotFoundError`."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing `new` atomically."""

    def remove(self, name: str) -> None:
        """Remove a name."""

    def sync_directory(self) -> None:
        """Make all changes of names durable."""

    def lock(self) -> None:
        """Lock the directory until `unlock` or the end of the process. Raises `Locked` if another process holds the
        lock.
        """

    def unlock(self) -> None:
        """Release the lock."""


class DiskFile:
    """A file of the operating system."""

    def __init__(self, fd: int):
        self._fd = fd

    def append(self, parts: Sequence[bytes]) -> None:
        """Write all buffers at the end of the file."""
        for i in range(0, len(parts), MAX_WRITE_BUFFERS):
            buffers = list(parts[i : i + MAX_WRITE_BUFFERS])
            total, written = sum(map(len, buffers)), os.writev(self._fd, buffers)
            if written < total:  # a short write: interrupted by a signal, or the disk is nearly full
                remaining = memoryview(b"".join(buffers))[written:]
                while remaining:
                    remaining = remaining[os.write(self._fd, remaining) :]

    def read(self, offset: int, size: int) -> bytes:
        """Read up to `size` bytes at `offset`."""
        data = os.pread(self._fd, size, offset)
        while 0 < len(data) < size:
            more = os.pread(self._fd, size - len(data), offset + len(data))
            if not more:
                break
            data += more
        return data

    def size(self) -> int:
        """Return the size in bytes."""
        return os.fstat(self._fd).st_size

    def sync(self) -> None:
        """Make the contents durable with fdatasync."""
        os.fdatasync(self._fd)

    def truncate(self, size: int) -> None:
        """Cut the file to `size` bytes."""
        os.ftruncate(self._fd, size)

    def close(self) -> None:
        """Close the descriptor. May be called more than once."""
        fd, self._fd = self._fd, -1
        if fd >= 0:
            os.close(fd)

    def __del__(self) -> None:
        self.close()


class DiskFiles:
    """A directory of the operating system, created with mode 0700 if `make` is set and it does not exist."""

    def __init__(self, path: str | Path, make: bool = True):
        self._path = Path(path)
        if make and not self._path.is_dir():
            self._path.mkdir(mode=0o700, parents=True)
            self._sync(self._path.parent)
        self._dir = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self._lock = -1

    def names(self) -> list[str]:
        """Return the names of all files but the lock file."""
        return sorted(name for name in os.listdir(self._dir) if name != "LOCK")

    def create(self, name: str) -> DiskFile:
        """Create an empty file with mode 0600."""
        flags = os.O_CREAT | os.O_TRUNC | os.O_RDWR | os.O_APPEND | os.O_CLOEXEC
        return DiskFile(os.open(name, flags, 0o600, dir_fd=self._dir))

    def open(self, name: str) -> DiskFile:
        """Open a file for reading and appending."""
        return DiskFile(os.open(name, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC, dir_fd=self._dir))

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        os.rename(old, new, src_dir_fd=self._dir, dst_dir_fd=self._dir)

    def remove(self, name: str) -> None:
        """Remove a file."""
        os.unlink(name, dir_fd=self._dir)

    def sync_directory(self) -> None:
        """Make changes of names durable with fsync."""
        os.fsync(self._dir)

    def lock(self) -> None:
        """Lock the directory with flock, which the system releases whenever the process ends."""
        fd = os.open("LOCK", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600, dir_fd=self._dir)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as fault:
            os.close(fd)
            if fault.errno not in (errno.EWOULDBLOCK, errno.EACCES):
                raise
            raise Locked(str(self._path)) from None
        self._lock = fd

    def unlock(self) -> None:
        """Release the lock."""
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def __del__(self) -> None:
        if getattr(self, "_lock", -1) >= 0:
            self.unlock()
        if getattr(self, "_dir", -1) >= 0:
            os.close(self._dir)
            self._dir = -1

    @staticmethod
    def _sync(path: Path) -> None:
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
