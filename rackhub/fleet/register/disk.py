"""Where a keeper and a gateway keep what must outlive a restart: on the embedded store, or in memory for trials.

A store that can't be read is named, put aside under another name, and begun anew with another identity: what a register
kept there is gone, and the other keepers let it in again (`entry` in docs/design/rules.md).
"""

import logging
import os
import time
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any

log = logging.getLogger(__name__)
IDENTITY, PREFIX, RETAIN = b"disk/identity", b"disk/", 16


class StoreDisk:
    """`ports.Disk` on a store of its own. Opens it; `OSError` and `Locked` where that can't be done."""

    def __init__(self, reactor: Any, path: str | Path, files: Any = None):
        from rackhub.store import Corrupt, Options, Store
        from rackhub.store.driver import Driver

        self._reactor, self._path, self.damage = reactor, Path(path), ""
        self._driver = Driver(reactor)
        options = Options(retain_revisions=RETAIN)

        def opened() -> Any:
            store = Store.open(self._path, options, files=files, wake=self._driver.wake)
            try:
                for _ in store.scan(PREFIX, PREFIX + b"\xff"):  # damage is found now: what is lost later is lost unseen
                    pass
            except Corrupt:
                store.close()
                raise
            return store

        try:
            self._store = opened()
        except Corrupt as bad:
            self.damage = str(bad)
            aside = self._path.with_name(f"{self._path.name}.damaged-{time.time_ns()}")
            log.error(
                "fleet: %s: %s; it is put aside as %s, and what it held is fetched from the others",
                path,
                bad,
                aside.name,
            )
            if files is not None:
                raise
            self._path.rename(aside)
            self._store = opened()
        self._driver.drive(self._store)
        found = self._store.get(IDENTITY)
        self.identity = found.value.decode() if found is not None else os.urandom(8).hex()
        if found is None:
            self._commit({IDENTITY: self.identity.encode()}, lambda: None)

    def get(self, key: str) -> bytes | None:
        found = self._store.get(PREFIX + key.encode())
        return None if found is None else bytes(found.value)

    def put(self, key: str, body: bytes, done: Callable[[], None]) -> None:
        """`done` is called when it is on disk, in the order of the calls; never where the disk fails for good."""
        self._commit({PREFIX + key.encode(): body}, done)

    def write(self, changes: Mapping[str, bytes | None], done: Callable[[], None]) -> None:
        """As `put`, of many keys together; None deletes one."""
        self._commit({PREFIX + key.encode(): body for key, body in changes.items()}, done)

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        start = PREFIX + prefix.encode()
        for found in self._store.scan(start, start + b"\xff"):
            yield found.key[len(PREFIX) :].decode(), bytes(found.value)

    def _commit(self, changes: Mapping[bytes, bytes | None], done: Callable[[], None]) -> None:
        from rackhub.store import BadBatch, Batch, ReadOnly

        batch = Batch()
        for key, body in changes.items():
            if body is None:
                batch.delete(key)
            else:
                batch.put(key, body)

        def told(error: Exception | None) -> None:
            if error is None:
                done()
            else:  # in doubt: what waits for it stays untold, as if this keeper were not there
                log.error("fleet: %s: %s", self._path, error)

        try:
            self._store.commit(batch, acknowledged=told)
        except (ReadOnly, BadBatch) as bad:
            log.error("fleet: %s: %s", self._path, bad)

    def end(self) -> None:
        from rackhub.store import StoreError

        try:
            self._driver.end()
        except StoreError as bad:
            log.error("fleet: %s: %s", self._path, bad)


class MemoryDisk:
    """A disk that syncs after a while, and loses at a power cut what was not synced by then. For trials."""

    def __init__(self, later: Callable[[int, Callable[[], None]], Any], identity: str, delay: int = 500):
        self.identity, self._later, self._delay = identity, later, delay
        self._synced: dict[str, bytes] = {}
        self._held: dict[str, bytes] = {}
        self._boot = 0
        self.puts = 0

    def get(self, key: str) -> bytes | None:
        return self._held.get(key)

    def put(self, key: str, body: bytes, done: Callable[[], None]) -> None:
        self.write({key: body}, done)

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        yield from [(key, self._held[key]) for key in sorted(self._held) if key.startswith(prefix)]

    def write(self, changes: Mapping[str, bytes | None], done: Callable[[], None]) -> None:
        boot = self._boot
        _put_all(self._held, changes)
        self.puts += 1

        def synced() -> None:
            if boot == self._boot:
                _put_all(self._synced, changes)
                done()

        self._later(self._delay, synced)

    def crash(self) -> None:
        """The machine's power is gone: what was not synced is lost."""
        self._held, self._boot = dict(self._synced), self._boot + 1

    def wipe(self, identity: str) -> None:
        """Another disk, with nothing on it."""
        self._synced, self._held, self._boot, self.identity = {}, {}, self._boot + 1, identity


def _put_all(values: dict[str, bytes], changes: Mapping[str, bytes | None]) -> None:
    for key, body in changes.items():
        if body is None:
            values.pop(key, None)
        else:
            values[key] = body
