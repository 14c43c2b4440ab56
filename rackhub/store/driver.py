"""Drives a store from Twisted's reactor: one sync for all commits of an iteration, background work in slices, and
retries.

A commit schedules no call of its own: one call per iteration serves them all.
"""

import logging
import time
from collections.abc import Callable
from typing import Any, Protocol, cast

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorFromThreads
from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure

from rackhub.store.driver_policy import DriverPolicy
from rackhub.store.engine import Store
from rackhub.store.errors import ReadOnly
from rackhub.store.files import File

log = logging.getLogger(__name__)


class Reactor(Protocol):
    """The methods of Twisted's reactor that a driver uses."""

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Any:
        """Call `call` after `delay` seconds."""

    def getThreadPool(self) -> Any:
        """Return the pool that runs syncs."""


class Driver:
    """Drives one store: pass `wake` to `Store.open` and the store to `start`.

    `recovered` is called each time a read-only store accepts writes again; all its accepted commits are then durable.
    `now` returns monotonic microseconds.
    """

    def __init__(
        self,
        reactor: Reactor,
        now: Callable[[], int] = lambda: time.monotonic_ns() // 1_000,
        recovered: Callable[[], None] = lambda: None,
    ):
        self._reactor, self._now, self.policy = reactor, now, DriverPolicy()
        self._recovered = recovered
        self._store: Store | None = None
        self._flushing = self._working = self._retrying = False
        self._closed = False
        self.failures = 0  # number of times that a disk failure was found
        self.threaded_syncs = 0  # number of syncs done in another thread

    def start(self, store: Store) -> None:
        """Start driving the store."""
        self._store = store
        self.wake(store)

    def wake(self, store: Store) -> None:
        """Schedule a flush after the current iteration, so that all its commits share one sync."""
        self._reactor.callLater(0, self._tend)

    def _tend(self) -> None:
        store = self._store
        if store is None or self._closed:
            return
        store.wake_received()
        if store.needs_flush and not self._flushing:
            self._flush(store)
        if store.fault is not None:
            return self._retry_later()
        if store.needs_work and not self._working:
            self._working = True
            self._reactor.callLater(0, self._work)

    def _flush(self, store: Store) -> None:
        file = store.begin_flush()
        if file is None:
            return
        if self.policy.use_thread(self._now()):
            self._flushing = True
            self.threaded_syncs += 1
            self._sync_in_thread(file).addBoth(self._flush_synced, store)
        else:
            store.end_flush(self._sync_here(file))

    def _sync_here(self, file: File) -> OSError | None:
        """Sync in this thread and record the duration. Returns the error, if any."""
        started, fault = self._now(), None
        try:
            file.sync()
        except OSError as error:
            fault = error
        self.policy.sync_finished(self._now() - started, self._now())
        return fault

    def _sync_in_thread(self, file: File) -> "Deferred[OSError | None]":
        """Sync in the thread pool and record the duration. Fires with the error, or None."""
        started = self._now()

        def sync() -> OSError | None:
            try:
                file.sync()
            except OSError as error:
                return error
            return None

        def record_duration(fault: OSError | None) -> OSError | None:
            self.policy.sync_finished(self._now() - started, self._now())
            return fault

        pool = self._reactor.getThreadPool()
        return deferToThreadPool(cast(IReactorFromThreads, self._reactor), pool, sync).addCallback(record_duration)

    def _flush_synced(self, fault: OSError | Failure | None, store: Store) -> None:
        self._flushing = False
        if isinstance(fault, Failure):
            fault = OSError(str(fault.value))
        if not self._closed:
            store.end_flush(fault)
            self._tend()

    def _work(self) -> None:
        store = self._store
        if store is None or self._closed:
            return
        started = self._now()
        syncs: list[Deferred[OSError | None]] = []

        def sync(file: File) -> bool:
            if self.policy.use_thread(self._now()):
                syncs.append(self._sync_in_thread(file))
                return False
            fault = self._sync_here(file)
            if fault is not None:
                raise fault
            return True

        more_work = store.work(sync=sync)
        if store.damage is not None:
            log.error("store: background merges stopped: %s", store.damage)
        if store.fault is not None:
            self._working = False
            return self._retry_later()
        if syncs:
            syncs[0].addBoth(self._work_synced, store)
        elif more_work:
            self._reactor.callLater(self.policy.work_pause(self._now() - started) / 1_000_000, self._work)
        else:
            self._working = False

    def _work_synced(self, fault: OSError | Failure | None, store: Store) -> None:
        if self._closed:
            return
        if fault is not None:
            store.sync_failed(fault if isinstance(fault, OSError) else OSError(str(fault.value)))
            self._working = False
            return self._retry_later()
        self._work()

    def _retry_later(self) -> None:
        if not self._retrying and not self._closed and self._store is not None:
            self._retrying = True
            self.failures += 1
            delay = self.policy.next_retry_delay()
            log.error("store: read-only: %s; next attempt in %.0f s", self._store.fault, delay / 1_000_000)
            self._reactor.callLater(delay / 1_000_000, self._retry)

    def _retry(self) -> None:
        self._retrying = False
        store = self._store
        if store is None or self._closed:
            return
        try:
            store.retry()
        except ReadOnly:
            return self._retry_later()
        self.policy.disk_recovered()
        log.info("store: accepts writes again")
        self._recovered()
        self._tend()

    def close(self) -> None:
        """Close the store. The result of a sync that runs in another thread is ignored."""
        self._closed = True
        if self._store is not None:
            store, self._store = self._store, None
            if self._flushing:  # the result of that sync is unknown, so closing the store syncs again
                store.abandon_sync()
            store.close()
