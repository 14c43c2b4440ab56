"""Durable storage of acceptors and gateways: on the embedded store, or in memory for tests and simulations.

A store that can't be read is reported, renamed, and replaced by an empty one with another identity. An acceptor loses
its state that way and has to be admitted again by the other acceptors (see "An acceptor that lost its disk" in
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

    Writes that the store rejects because its disk fails are queued in memory. Reads return the queued values, and the
    writes are repeated in order once the disk works again. Writes that the store accepted before the failure are made
    durable by the store itself.

    `damage`, unless empty, says why the store found at `path` was replaced. `files`, if given, replaces the file system
    (in tests). The constructor raises `OSError` and `store.Locked` if the store can't be opened, and with `files` also
    `store.Corrupt`, because only a store in the file system can be replaced.
    """

    def __init__(self, reactor: Any, path: str | Path, files: Any = None):
        from rackhub.store.driver import Driver

        self._path = Path(path)
        self._files = files
        self._driver = Driver(reactor, recovered=self._write_deferred)
        self._deferred = DeferredWrites()
        # acknowledgements of writes that the store accepted before its disk failed
        self._unacknowledged: list[Callable[[], None]] = []
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
        """Return the value written last, durable or not; None if there is none."""
        stored_key = KEY_PREFIX + key.encode()
        if stored_key in self._deferred:
            return self._deferred[stored_key]
        found = self._store.get(stored_key)
        return None if found is None else bytes(found.value)

    @property
    def deferred_bytes(self) -> int:
        """The size in bytes of the keys and values whose writes are queued until the disk works again."""
        return self._deferred.size

    def put(self, key: str, body: bytes, done: Callable[[], None]) -> None:
        """Write one key; `done` is called once the write is durable, in the order of the writes."""
        self._commit({KEY_PREFIX + key.encode(): body}, done)

    def write(self, changes: Mapping[str, bytes | None], done: Callable[[], None]) -> None:
        """Write several keys atomically, as `put` does; None deletes a key."""
        self._commit({KEY_PREFIX + key.encode(): body for key, body in changes.items()}, done)

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """Yield the keys with `prefix` and their values, in key order."""
        start = KEY_PREFIX + prefix.encode()
        stored = {found.key: bytes(found.value) for found in self._store.scan(start, start + b"\xff")}
        for stored_key, value in self._deferred.merged_into(stored, start):
            yield stored_key[len(KEY_PREFIX) :].decode(), value

    def close(self) -> None:
        """Close the store. A failure is logged."""
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
            renamed = self._path.with_name(f"{self._path.name}.damaged-{time.time_ns()}")
            log.error(
                "fleet: %s: %s; it is renamed to %s, and its contents are fetched from other processes",
                self._path,
                error,
                renamed.name,
            )
            if self._files is not None:
                raise
            self._path.rename(renamed)
            return self._open()

    def _open(self) -> Any:
        from rackhub.store import Corrupt, Options, Store

        options = Options(retain_revisions=RETAINED_REVISIONS)
        store = Store.open(self._path, options, files=self._files, wake=self._driver.wake)
        try:
            for _ in store.scan(KEY_PREFIX, KEY_PREFIX + b"\xff"):  # read all to detect damage at the start
                pass
        except Corrupt:
            store.close()
            raise
        return store

    def _commit(self, changes: Mapping[bytes, bytes | None], done: Callable[[], None]) -> None:
        """Write the changes, or queue them behind the writes that are queued already."""
        if self._deferred or not self._try_commit(changes, done):
            self._deferred.add(changes, done)

    def _write_deferred(self) -> None:
        """Acknowledge and repeat writes after the disk has recovered.

        The writes that the store accepted before the failure are durable now; the queued ones can be written.
        """
        unacknowledged, self._unacknowledged = self._unacknowledged, []
        for done in unacknowledged:
            done()
        while self._deferred:
            write = self._deferred.take_first()
            if not self._try_commit(write.changes, write.acknowledge):
                self._deferred.return_first(write)
                return

    def _try_commit(self, changes: Mapping[bytes, bytes | None], done: Callable[[], None]) -> bool:
        """Commit the changes to the store; `done` is called once they are durable.

        Returns False if the store is read-only, as it is while its disk fails.
        """
        from rackhub.store import BadBatch, Batch, ReadOnly

        batch = Batch()
        for key, body in changes.items():
            if body is None:
                batch.delete(key)
            else:
                batch.put(key, body)

        def acknowledged(error: Exception | None) -> None:
            """Handle the store's result: the batch is durable (None), or its disk failed."""
            if error is None:
                done()
            else:  # the store makes the batch durable when its disk works again
                self._log_failure(error)
                self._unacknowledged.append(done)

        try:
            self._store.commit(batch, acknowledged=acknowledged)
        except ReadOnly as error:
            self._log_failure(error)
            return False
        except BadBatch as error:  # the batch is invalid, so a retry can't succeed
            self._log_failure(error)
        return True

    def _log_failure(self, error: Exception) -> None:
        log.error("fleet: %s: %s", self._path, error)


class MemoryDisk:
    """`ports.KeyedDisk` in memory, for tests and simulations: `crash` loses writes that are not durable yet.

    `call_later` calls a function back after a number of microseconds. A write is durable after `delay` microseconds.
    """

    def __init__(
        self, call_later: Callable[[int, Callable[[], None]], Any], identity: str, delay: int = MEMORY_SYNC_DELAY_US
    ):
        self.identity = identity
        self.write_count = 0
        self._call_later = call_later
        self._delay = delay
        self._synced: dict[str, bytes] = {}
        self._written: dict[str, bytes] = {}
        self._crashes = 0

    def get(self, key: str) -> bytes | None:
        """Return the value written last, durable or not; None if there is none."""
        return self._written.get(key)

    def put(self, key: str, body: bytes, done: Callable[[], None]) -> None:
        """Write one key; `done` is called once the write is durable, and never if a crash comes first."""
        self.write({key: body}, done)

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """Yield the keys with `prefix` and their values, in key order."""
        yield from [(key, self._written[key]) for key in sorted(self._written) if key.startswith(prefix)]

    def write(self, changes: Mapping[str, bytes | None], done: Callable[[], None]) -> None:
        """Write several keys atomically, as `put` does; None deletes a key."""
        crashes_before = self._crashes
        _apply(self._written, changes)
        self.write_count += 1

        def synced() -> None:
            """Make the write durable, unless a crash lost it."""
            if self._crashes == crashes_before:
                _apply(self._synced, changes)
                done()

        self._call_later(self._delay, synced)

    def crash(self) -> None:
        """Lose all writes that are not durable, as in a power failure."""
        self._written = dict(self._synced)
        self._crashes += 1

    def wipe(self, identity: str) -> None:
        """Replace the disk by an empty one with the given identity."""
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
