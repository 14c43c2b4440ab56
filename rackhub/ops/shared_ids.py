"""The ids of requests that the processes of one coordinator may have executed, shared through files in `$TMPDIR`.

While a process replaces another, a client may leave one of them and come again with the same id at the other. Each
process writes the ids that it sends into a file of its own and reads those of the others. It writes before it reads, so
that of two processes that claim an id at the same moment at least one sees the other's claim.

A file holds the number of ids written so far, then the latest `CAPACITY` ids in a ring, each as 8 bytes. Its name is
random, as process numbers are used again, and processes in different containers may have the same one. The file of a
process that has ended is read once more and removed by another one; a shared lock tells that it lives.
"""

import contextlib
import fcntl
import hashlib
import logging
import os
import secrets
import struct
from collections.abc import Callable
from pathlib import Path

log = logging.getLogger(__name__)

FILE_PREFIX = "rackhub-ops-ids."
NAME_BYTES = 8
CAPACITY = 8_192  # ids of each process
ID_MASK = (1 << 64) - 1
WORD = struct.Struct("<Q")


class PeerFile:
    """The ids of another process, read incrementally."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._read = 0  # number of ids read so far
        self.ids: dict[int, None] = {}  # oldest first

    def update(self) -> None:
        """Read the ids that were written since the last call; an unreadable file has none."""
        with contextlib.suppress(OSError, struct.error):
            (written,) = WORD.unpack(os.pread(self._descriptor, WORD.size, 0))
            for number in range(max(self._read, written - CAPACITY), written):
                (id,) = WORD.unpack(os.pread(self._descriptor, WORD.size, _offset(number)))
                self.ids[id] = None
            self._read = written
        while len(self.ids) > CAPACITY:
            del self.ids[next(iter(self.ids))]

    def has_ended(self) -> bool:
        """Return whether the process has ended, as it no longer holds the lock."""
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Close the file; the ids read stay known."""
        os.close(self._descriptor)


class SharedIds:
    """The ids claimed by this process and by the others. Implements `core.executed_ids.ExecutedIds`."""

    def __init__(self, directory: Path, count: Callable[[str], None]) -> None:
        """Create this process's file and read those that are there. Raises `OSError`."""
        self._directory = directory
        self._count = count
        self._path = directory / f"{FILE_PREFIX}{secrets.token_hex(NAME_BYTES)}"
        self._descriptor = self._create_locked()
        self._written = 0
        self._peers: dict[str, PeerFile] = {}
        self._ended: list[dict[int, None]] = []  # ids of processes that have ended
        self.refresh()

    def _create_locked(self) -> int:
        """Create the file under another name, so that no process finds it before it is locked."""
        unlocked = self._path.with_name(f".{self._path.name}")
        descriptor = os.open(unlocked, os.O_RDWR | os.O_CREAT | os.O_EXCL, 0o600)
        fcntl.flock(descriptor, fcntl.LOCK_SH)
        os.rename(unlocked, self._path)
        return descriptor

    def refresh(self) -> None:
        """Find the files of other processes, and remove those of processes that have ended."""
        for path in self._directory.glob(f"{FILE_PREFIX}*"):
            if path != self._path and path.name not in self._peers:
                with contextlib.suppress(OSError):
                    self._peers[path.name] = PeerFile(os.open(path, os.O_RDONLY))
        for name, peer in list(self._peers.items()):
            peer.update()
            if peer.has_ended():
                self._forget(name, peer)

    def _forget(self, name: str, peer: PeerFile) -> None:
        """Keep the ids of the latest process that has ended, without its file."""
        peer.update()
        peer.close()
        del self._peers[name]
        if peer.ids:
            self._ended = [peer.ids]
        with contextlib.suppress(OSError):
            (self._directory / name).unlink()

    def is_claimed(self, id: str) -> bool:
        """Return whether another process may have executed a request of this id."""
        number = _number(id)
        for peer in self._peers.values():
            peer.update()
        return any(number in ids for ids in (*(peer.ids for peer in self._peers.values()), *self._ended))

    def claim(self, id: str) -> bool:
        """Record that a request of this id is about to be sent; return False if another process has claimed it."""
        try:
            os.pwrite(self._descriptor, WORD.pack(_number(id)), _offset(self._written))
            os.pwrite(self._descriptor, WORD.pack(self._written + 1), 0)
            self._written += 1
        except OSError as error:
            self._count("ops_state_unwritten")
            log.error("can't record a request's id for the other process: %s", error)
        return not self.is_claimed(id)


def _number(id: str) -> int:
    """Return the number of an id, which clients write as 16 hex digits; others are hashed."""
    try:
        return int(id, 16) & ID_MASK
    except ValueError:
        return int.from_bytes(hashlib.blake2b(id.encode(), digest_size=WORD.size).digest(), "little")


def _offset(number: int) -> int:
    return WORD.size * (1 + number % CAPACITY)
