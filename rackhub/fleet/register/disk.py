"""Durable storage of acceptors and gateways: on the embedded store, or in memory for tests and simulations.

A store that can't be read is reported, renamed, and replaced by an empty one with another identity. What a register
kept there is lost, and the other acceptors admit this one again (see "An acceptor that lost its disk" in
docs/design/rules.md).
"""

import logging
import os
import time
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any

from rackhub.fleet.register.deferred_writes import DeferredWrites

log = logging.getLogger(__name__)

KEY_PREFIX = b"disk/"
IDENTITY_KEY = b"disk/identity"
IDENTITY_BYTES = 8
RETAINED_REVISIONS = 16
MEMORY_SYNC_DELAY_US = 500


class StoreDisk:
    """`ports.KeyedDisk` on an embedded store of its own.

    Writes that the store refuses, as its disk fails, wait in memory: they are read as written, and written in their
    order once the disk is back. Writes that the store accepted before it failed are made durable by the store itself.

    `damage`, unless empty, says why the store found at `path` was replaced. The constructor raises `OSError` and
    `store.Locked` where the store can't be opened and, with `files`, `store.Corrupt`.
    """

    def __init__(self, reactor: Any, path: str | Path, files: Any = None):
        from rackhub.store.driver import Driver

        self._path = Path(path)
        self._files = files
        self._driver = Driver(reactor, recovered=self._write_deferred)
        self._deferred = DeferredWrites()
        self._in_doubt: list[Callable[[], None]] = []  # of writes that the store accepted before its disk failed
        self.damage = ""
        self._store = self._open_or_replace()
        self._driver.start(self._store)
        found = self._store.get(IDENTITY_KEY)
        if found is not None:
            self.identity = found.value.decode()
        else:
            self.identity = os.urandom(IDENTITY_BYTES).hex()
            self._commit({IDENTITY_KEY: self.identity.encode()}, lambda: None)

    def get(self, key: str) -> bytes | None:
        """The value written last, durable or not."""
        stored_key = KEY_PREFIX + key.encode()
        if stored_key in self._deferred:
            return self._deferred[stored_key]
        found = self._store.get(stored_key)
        return None if found is None else bytes(found.value)

    @property
    def deferred_bytes(self) -> int:
        """The size of the keys and values that wait for the disk."""
        return self._deferred.size

    def put(self, key: str, body: bytes, done: Callable[[], None]) -> None:
        """Write one key; `done` is called once it is durable, in the order of the writes."""
        self._commit({KEY_PREFIX + key.encode(): body}, done)

    def write(self, changes: Mapping[str, bytes | None], done: Callable[[], None]) -> None:
        """As `put`, for several keys atomically; None deletes a key."""
        self._commit({KEY_PREFIX + key.encode(): body for key, body in changes.items()}, done)

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """The keys with that prefix and their values, in order of key."""
        start = KEY_PREFIX + prefix.encode()
        stored = {found.key: bytes(found.value) for found in self._store.scan(start, start + b"\xff")}
        for stored_key, value in self._deferred.merged_into(stored, start):
            yield stored_key[len(KEY_PREFIX) :].decode(), value

    def close(self) -> None:
        """Close the store; a failure is logged."""
        from rackhub.store import StoreError

        try:
            self._driver.close()
        except StoreError as error:
            self._log_failure(error)

    def _open_or_replace(self) -> Any:
        from rackhub.store import Corrupt

        try:
            return self._open()
        except Corrupt as error:
            self.damage = str(error)
            aside = self._path.with_name(f"{self._path.name}.damaged-{time.time_ns()}")
            log.error(
                "fleet: %s: %s; it is put aside as %s, and what it held is fetched from the others",
                self._path,
                error,
                aside.name,
            )
            if self._files is not None:
                raise
            self._path.rename(aside)
            return self._open()

    def _open(self) -> Any:
        from rackhub.store import Corrupt, Options, Store

        options = Options(retain_revisions=RETAINED_REVISIONS)
        store = Store.open(self._path, options, files=self._files, wake=self._driver.wake)
        try:
            for _ in store.scan(KEY_PREFIX, KEY_PREFIX + b"\xff"):  # read all, so that damage is found at the start
                pass
        except Corrupt:
            store.close()
            raise
        return store

    def _commit(self, changes: Mapping[bytes, bytes | None], done: Callable[[], None]) -> None:
        """Write, or wait for the disk behind what waits already."""
        if self._deferred or not self._try_commit(changes, done):
            self._deferred.add(changes, done)

    def _write_deferred(self) -> None:
        """The disk is back: what the store accepted before is durable, and what waits can be written."""
        in_doubt, self._in_doubt = self._in_doubt, []
        for done in in_doubt:
            done()
        while self._deferred:
            write = self._deferred.take_first()
            if not self._try_commit(write.changes, write.acknowledge):
                self._deferred.put_back(write)
                return

    def _try_commit(self, changes: Mapping[bytes, bytes | None], done: Callable[[], None]) -> bool:
        """Hand the changes to the store; `done` once they are durable. False where it is read-only."""
        from rackhub.store import BadBatch, Batch, ReadOnly

        batch = Batch()
        for key, body in changes.items():
            if body is None:
                batch.delete(key)
            else:
                batch.put(key, body)

        def acknowledged(error: Exception | None) -> None:
            """Called once by the store, when the batch is durable or has failed."""
            if error is None:
                done()
            else:  # the store makes it durable when its disk is back
                self._log_failure(error)
                self._in_doubt.append(done)

        try:
            self._store.commit(batch, acknowledged=acknowledged)
        except ReadOnly as error:
            self._log_failure(error)
            return False
        except BadBatch as error:  # no later attempt can succeed
            self._log_failure(error)
        return True

    def _log_failure(self, error: Exception) -> None:
        log.error("fleet: %s: %s", self._path, error)


class MemoryDisk:
    """`ports.KeyedDisk` in memory, for tests and simulations: a crash loses what is not durable yet.

    `later` calls back after so many microseconds; a write is durable after `delay` microseconds. `puts` counts writes.
    """

    def __init__(
        self, later: Callable[[int, Callable[[], None]], Any], identity: str, delay: int = MEMORY_SYNC_DELAY_US
    ):
        self.identity = identity
        self.puts = 0
        self._later = later
        self._delay = delay
        self._synced: dict[str, bytes] = {}
        self._written: dict[str, bytes] = {}
        self._crashes = 0

    def get(self, key: str) -> bytes | None:
        """The value written last, durable or not."""
        return self._written.get(key)

    def put(self, key: str, body: bytes, done: Callable[[], None]) -> None:
        """Write one key; `done` is called once it is durable, never if there is a crash before."""
        self.write({key: body}, done)

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """The keys with that prefix and their values, in order of key."""
        yield from [(key, self._written[key]) for key in sorted(self._written) if key.startswith(prefix)]

    def write(self, changes: Mapping[str, bytes | None], done: Callable[[], None]) -> None:
        """As `put`, for several keys atomically; None deletes a key."""
        crashes_before = self._crashes
        _apply(self._written, changes)
        self.puts += 1

        def synced() -> None:
            """Make the write durable, unless a crash has lost it."""
            if self._crashes == crashes_before:
                _apply(self._synced, changes)
                done()

        self._later(self._delay, synced)

    def crash(self) -> None:
        """Lose what is not durable, as by a power cut."""
        self._written = dict(self._synced)
        self._crashes += 1

    def wipe(self, identity: str) -> None:
        """Become another, empty disk."""
        self._synced = {}
        self._written = {}
        self._crashes += 1
        self.identity = identity


def _apply(values: dict[str, bytes], changes: Mapping[str, bytes | None]) -> None:
    for key, body in changes.items():
        if body is None:
            values.pop(key, None)
        else:
            values[key] = body
