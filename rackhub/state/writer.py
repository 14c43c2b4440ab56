"""Writes the records of `rackhub.state.records` to the embedded store, batched into one commit an event-loop iteration.

A failing disk never holds the coordinator up: changes wait in memory, within bounds, until a commit succeeds.
"""

import logging

import msgspec
from twisted.internet.task import LoopingCall

from rackhub import interface
from rackhub.core.request import Attempt, Query
from rackhub.core.source import EndpointSnapshot
from rackhub.core.timers import Clock
from rackhub.counters import Counters
from rackhub.state import records
from rackhub.state.settings import StoreSettings
from rackhub.store import Batch, Store, StoreError
from rackhub.store.driver import Driver, Reactor
from rackhub.store.files import Files

log = logging.getLogger(__name__)
MAXIMUM_PENDING_WRITES = 10_000  # while the disk fails; beyond it the oldest are dropped and counted


class StateWriter:
    """The coordinator's `RequestJournal`, and the writer of its endpoint list and counters."""

    def __init__(
        self,
        reactor: Reactor,
        settings: StoreSettings,
        classes: tuple[interface.ClassSettings, ...],
        clock: Clock,
        counters: Counters,
        files: Files | None = None,
    ):
        """Opens the store. Raises `StoreError` or `OSError` where it can't be opened."""
        self._reactor = reactor
        self._settings = settings
        self._clock = clock
        self._counters = counters
        self._driver = Driver(reactor)
        self.store = Store.open(settings.path, settings, files=files, clock=clock.now, wake=self._driver.wake)
        windows = {cls.name: cls.idempotency_window for cls in classes if cls.idempotency_window}
        self._requests = records.KeyedRequestRecords(windows)
        self._pending: dict[bytes, bytes | None] = {}  # None: delete the key
        self._write_scheduled = False
        self.open_requests = self._restore_requests()
        self._earlier_counters = records.initial_counters(self._stored_value(records.COUNTERS_KEY), clock.now())
        self._counters_timer: LoopingCall | None = None

    def _stored_value(self, key: bytes) -> bytes | None:
        item = self.store.get(key)
        return item.value if item else None

    def _restore_requests(self) -> list[records.KeyedRequestRecord]:
        stored = []
        for item in self.store.scan(records.REQUEST_KEY_PREFIX, records.REQUEST_KEY_PREFIX + b"\xff"):
            try:
                stored.append(records.decode_request(item.value))
            except msgspec.MsgspecError as error:  # of a later version, or edited by hand: it stays in the store
                self._counters.add("state_unread")
                log.error("store: key %r can't be decoded: %s", item.key, error)
        open_requests = self._requests.restore(stored, self._clock.now())
        for record in open_requests:
            log.warning(
                "request with idempotency key %s of class %s was open when the last run ended: "
                "%s, %d attempts, last on %s",
                record.idempotency_key,
                record.cls,
                record.state,
                record.attempts,
                record.engine or "no engine",
            )
        return open_requests

    def start(self, configured: EndpointSnapshot) -> EndpointSnapshot:
        """Start writing. Returns the endpoint list to start with: the stored one where none is configured."""
        self._driver.start(self.store)
        initial = records.initial_endpoints(
            configured,
            self._stored_value(records.ENDPOINT_LIST_KEY),
            self._clock.now(),
            self._settings.engines_for_s * records.SECOND,
        )
        if initial.stored_age is not None:
            log.warning(
                "no engines are configured: starting with the list of %d stored %.0f s ago",
                len(initial.listing.entries),
                initial.stored_age / records.SECOND,
            )
        elif configured.entries:
            self.store_endpoints(configured)
        self._counters_timer = LoopingCall(self._store_counters)
        self._counters_timer.clock = self._reactor  # type: ignore[assignment]
        self._counters_timer.start(self._settings.counters_every_s, now=True)
        return initial.listing

    def store_endpoints(self, listing: EndpointSnapshot) -> None:
        """Store the current endpoint list."""
        self._put(records.ENDPOINT_LIST_KEY, records.encode_endpoint_list(listing, self._clock.now()))

    def request_admitted(self, query: Query) -> None:
        """Record a request that was received."""
        self._requests.received(query.idempotency_key, query.cls, query.tenant, self._clock.now())
        self._schedule_write()

    def attempt_sent(self, attempt: Attempt) -> None:
        """Record an attempt that is sent."""
        query = attempt.query
        self._requests.sent(query.idempotency_key, query.cls, attempt.engine, self._clock.now())
        self._schedule_write()

    def request_completed(self, query: Query, how: str) -> None:
        """Record the end of a request; `how` is the value of a `RequestState`."""
        state = records.RequestState(how)
        self._requests.finished(query.idempotency_key, query.cls, state, self._clock.now())
        self._schedule_write()

    def totals(self) -> records.StoredCounters:
        """The counters over all starts."""
        return records.add_counters(self._earlier_counters, self._counters)

    def close(self) -> None:
        """Write what is pending and close the store. A failure is logged."""
        if self._counters_timer is not None and self._counters_timer.running:
            self._counters_timer.stop()
        self._store_counters()
        self._write()
        try:
            self._driver.close()
        except StoreError as error:
            log.error("store: %s", error)

    def _store_counters(self) -> None:
        self._put(records.COUNTERS_KEY, msgspec.json.encode(self.totals()))

    def _put(self, key: bytes, value: bytes) -> None:
        self._pending[key] = value
        self._schedule_write()

    def _schedule_write(self) -> None:
        """Write in the next iteration: a request that is received and sent in one iteration is written once."""
        if not self._write_scheduled:
            self._write_scheduled = True
            self._reactor.callLater(0, self._write)

    def _write(self) -> None:
        self._write_scheduled = False
        changes = self._requests.take_changes(self._clock.now())
        self._pending.update(changes.updated)
        self._pending.update(dict.fromkeys(changes.expired))
        if not self._pending:
            return
        try:
            self.store.commit(self._pending_batch(), acknowledged=self._commit_acknowledged)
        except StoreError as error:
            self._counters.add("state_failures")
            log.debug("store: %s", error)
            self._drop_excess()
            return
        self._pending.clear()
        self._counters.add("state_commits")

    def _pending_batch(self) -> Batch:
        batch = Batch()
        for key, value in self._pending.items():
            if value is None:
                batch.delete(key)
            else:
                batch.put(key, value)
        return batch

    def _commit_acknowledged(self, error: StoreError | None) -> None:
        if error is not None:  # the store itself writes the commit again when its disk recovers
            self._counters.add("state_failures")

    def _drop_excess(self) -> None:
        """Bound what waits for a failing disk."""
        excess = max(len(self._pending) - MAXIMUM_PENDING_WRITES, 0)
        for key in list(self._pending)[:excess]:
            del self._pending[key]
            self._counters.add("state_dropped")
