"""The one port through which a store touches a disk, and the real disk behind it."""

import errno
import fcntl
import os
from collections.abc import Sequence
from pathlib import Path
from typing import Protocol

from rackhub.store.errors import Locked

MAX_WRITE_BUFFERS = 1_000  # buffers in one gathered write; the system takes 1,024


class File(Protocol):
    """One open file. It stays readable after its name is removed. All raise `OSError`."""

    def append(self, parts: Sequence[bytes]) -> None:
        """Write at the end; after an error any part of it may be there."""

    def read(self, offset: int, size: int) -> bytes:
        """Up to `size` bytes; fewer only at the end of the file."""

    def size(self) -> int: ...
    def sync(self) -> None: ...
    def truncate(self, size: int) -> None: ...
    def close(self) -> None: ...


class Files(Protocol):
    """One directory of files. Changes of names are on disk after `sync_names` only."""

    def names(self) -> list[str]: ...
    def create(self, name: str) -> File: ...
    def open(self, name: str) -> File: ...
    def rename(self, old: str, new: str) -> None: ...
    def remove(self, name: str) -> None: ...
    def sync_directory(self) -> None: ...
    def lock(self) -> None:
        """Hold the directory until `unlock` or the end of the process; `Locked` if another does."""

    def unlock(self) -> None: ...


class DiskFile:
    """A file of the operating system's."""

    def __init__(self, fd: int):
        self._fd = fd

    def append(self, parts: Sequence[bytes]) -> None:
        for i in range(0, len(parts), MAX_WRITE_BUFFERS):
            some = list(parts[i : i + MAX_WRITE_BUFFERS])
            left, sent = sum(map(len, some)), os.writev(self._fd, some)
            if sent < left:  # a short write: a signal, or a disk that is filling up
                rest = memoryview(b"".join(some))[sent:]
                while rest:
                    rest = rest[os.write(self._fd, rest) :]

    def read(self, offset: int, size: int) -> bytes:
        data = os.pread(self._fd, size, offset)
        while 0 < len(data) < size:
            more = os.pread(self._fd, size - len(data), offset + len(data))
            if not more:
                break
            data += more
        return data

    def size(self) -> int:
        return os.fstat(self._fd).st_size

    def sync(self) -> None:
        os.fdatasync(self._fd)

    def truncate(self, size: int) -> None:
        os.ftruncate(self._fd, size)

    def close(self) -> None:
        fd, self._fd = self._fd, -1
        if fd >= 0:
            os.close(fd)

    def __del__(self) -> None:
        self.close()


class DiskFiles:
    """A directory of the operating system's; made where it is not there, open to its owner alone."""

    def __init__(self, path: str | Path, make: bool = True):
        self._path = Path(path)
        if make and not self._path.is_dir():
            self._path.mkdir(mode=0o700, parents=True)
            self._sync(self._path.parent)
        self._dir = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self._lock = -1

    def names(self) -> list[str]:
        return sorted(name for name in os.listdir(self._dir) if name != "LOCK")

    def create(self, name: str) -> DiskFile:
        flags = os.O_CREAT | os.O_TRUNC | os.O_RDWR | os.O_APPEND | os.O_CLOEXEC
        return DiskFile(os.open(name, flags, 0o600, dir_fd=self._dir))

    def open(self, name: str) -> DiskFile:
        return DiskFile(os.open(name, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC, dir_fd=self._dir))

    def rename(self, old: str, new: str) -> None:
        os.rename(old, new, src_dir_fd=self._dir, dst_dir_fd=self._dir)

    def remove(self, name: str) -> None:
        os.unlink(name, dir_fd=self._dir)

    def sync_directory(self) -> None:
        os.fsync(self._dir)

    def lock(self) -> None:
        """By flock: the system lets go of it with the process, however that ends."""
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
