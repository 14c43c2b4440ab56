"""Keeps what `ledger` words in a store, by one commit a turn. The coordinator goes on whatever becomes of the disk."""

import logging
from typing import cast

import msgspec
from twisted.internet.task import LoopingCall

from rackhub import interface
from rackhub.core.request import Attempt, Query
from rackhub.core.source import EndpointSnapshot
from rackhub.core.timers import Clock
from rackhub.counters import Counters
from rackhub.state import ledger
from rackhub.state.settings import StoreSettings
from rackhub.store import Batch, Store, StoreError
from rackhub.store.driver import Driver, Reactor
from rackhub.store.files import Files

log = logging.getLogger(__name__)
MOST_WAITING = 10_000  # changes held for a disk that is not there; beyond, the oldest are dropped and counted


class Keeper:
    """The coordinator's store: a `core.request_journal.RequestJournal`; also keeps the endpoint list and counters."""

    def __init__(
        self,
        reactor: Reactor,
        settings: StoreSettings,
        classes: tuple[interface.ClassSettings, ...],
        clock: Clock,
        counters: Counters,
        files: Files | None = None,
    ):
        """Opens the store. `StoreError` and `OSError` where that can't be done."""
        self._reactor, self._settings, self._clock, self._counters = reactor, settings, clock, counters
        self._driver = Driver(reactor)
        self.store = Store.open(settings.path, settings, files=files, clock=clock.now, wake=self._driver.wake)
        self._keyed = ledger.KeyedRequests(
            {told.name: told.idempotency_window for told in classes if told.idempotency_window}
        )
        self._waiting: dict[bytes, bytes | None] = {}
        self._called = False
        self.left_open = self._restore()
        kept = self.store.get(ledger.COUNTERS)
        self._before = ledger.begin_counters(kept.value if kept else None, clock.now())
        self._loop: LoopingCall | None = None

    def _restore(self) -> list[ledger.Keyed]:
        found = []
        for item in self.store.scan(ledger.KEYED, ledger.KEYED + b"\xff"):
            try:
                found.append(ledger.read_keyed(item.key, item.value))
            except msgspec.MsgspecError as bad:  # of a later program, or a hand's work: it is told and left
                self._counters.add("state_unread")
                log.error("store: key %r can't be read: %s", item.key, bad)
        left_open = self._keyed.restore(found, self._clock.now())
        for one in left_open:
            log.warning(
                "keyed request %s of class %s was open when the last run ended: %s, %d attempts, last on %s",
                one.token,
                one.cls,
                one.state,
                one.attempts,
                one.engine or "no engine",
            )
        return left_open

    def start(self, told: EndpointSnapshot) -> EndpointSnapshot:
        """Begin to keep; the list of engines to start with."""
        self._driver.drive(self.store)
        kept = self.store.get(ledger.ENGINES)
        listing, age = ledger.start_list(
            told, kept.value if kept else None, self._clock.now(), self._settings.engines_for_s * ledger.SECOND
        )
        if age is not None:
            log.warning(
                "no engines are told: starting with the list of %d kept %.0f s ago",
                len(listing.entries),
                age / ledger.SECOND,
            )
        elif told.entries:
            self.listed(told)
        self._loop = LoopingCall(self._tick)
        self._loop.clock = self._reactor  # type: ignore[assignment]
        self._loop.start(self._settings.counters_every_s, now=True)
        return listing

    # ---- what is kept

    def listed(self, listing: EndpointSnapshot) -> None:
        """The list of engines as it is told now."""
        self._put(ledger.ENGINES, ledger.keep_engines(listing, self._clock.now()))

    def request_admitted(self, query: Query) -> None:
        self._keyed.taken(query.idempotency_key, query.cls, query.tenant, self._clock.now())
        self._soon()

    def attempt_sent(self, attempt: Attempt) -> None:
        self._keyed.out(attempt.query.idempotency_key, attempt.query.cls, attempt.engine, self._clock.now())
        self._soon()

    def request_completed(self, query: Query, how: str) -> None:
        self._keyed.over(query.idempotency_key, query.cls, cast(ledger.State, how), self._clock.now())
        self._soon()

    def totals(self) -> ledger.KeptCounters:
        """The counters of all runs."""
        return ledger.sum_counters(self._before, self._counters)

    def _tick(self) -> None:
        self._put(ledger.COUNTERS, msgspec.json.encode(self.totals()))

    def _put(self, key: bytes, value: bytes) -> None:
        self._waiting[key] = value
        self._soon()

    # ---- writing it

    def _soon(self) -> None:
        """At the end of this turn: a request that is taken and sent in one turn is written once."""
        if not self._called:
            self._called = True
            self._reactor.callLater(0, self._write)

    def _write(self) -> None:
        self._called = False
        puts, gone = self._keyed.changes(self._clock.now())
        self._waiting.update(puts)
        self._waiting.update(dict.fromkeys(gone))
        if not self._waiting:
            return
        batch = Batch()
        for key, value in self._waiting.items():
            if value is None:
                batch.delete(key)
            else:
                batch.put(key, value)
        try:
            self.store.commit(batch, acknowledged=self._told)
        except StoreError as bad:
            self._counters.add("state_failures")
            log.debug("store: %s", bad)
            self._hold()
            return
        self._waiting.clear()
        self._counters.add("state_commits")

    def _told(self, error: StoreError | None) -> None:
        if error is not None:  # in doubt: the store writes it again when its disk is back
            self._counters.add("state_failures")

    def _hold(self) -> None:
        """Wait for the disk with what there is, within bounds."""
        dropped = len(self._waiting) - MOST_WAITING
        for key in list(self._waiting)[: max(dropped, 0)]:
            del self._waiting[key]
            self._counters.add("state_dropped")

    def end(self) -> None:
        """Write what there is and close."""
        if self._loop is not None and self._loop.running:
            self._loop.stop()
        self._tick()
        self._write()
        try:
            self._driver.end()
        except StoreError as bad:
            log.error("store: %s", bad)
