"""Overload handled as one, at one gateway: the core's hooks and a tick that posts the record and tells the module.

Nothing per request but integer sums, a look-up and, in the cell at the level, one CRC-32. All else is reckoned once a
tick from the records that the board holds.
"""

import logging
from collections.abc import Callable
from typing import Protocol

from rackhub import interface as t
from rackhub.core.request import Attempt, Query
from rackhub.core.source import EndpointSnapshot
from rackhub.fleet import ports
from rackhub.fleet.overload import records
from rackhub.fleet.overload.load_controller import LoadController
from rackhub.fleet.overload.probing import PAGES, HealthCheckSchedule
from rackhub.fleet.overload.recovery_trials import RecoveryTrials
from rackhub.fleet.overload.view import told_threads
from rackhub.fleet.settings import FleetSettings
from rackhub.limits import Limits

log = logging.getLogger(__name__)

MS, SECOND = 1_000, 1_000_000
TICK, POST, SOON = 200 * MS, 400 * MS, 50 * MS  # of the reckoning, of the record, of one that can't wait for it
JUMP, JUMP_LEAST = 0.3, 4  # of its limit, and threads, that what is held must move by for a record before its time
LATE = 2 * TICK  # a tick so late is made up for before the next request: after a pause the old word must not hold
ASK = 1 * SECOND  # between own probes of an engine that others probe, where nobody's result is left
MODULE_WORD = 5  # bytes of the module's word on an engine: the CRC-32 of its name, and a level
SILENT = 100  # as a word's level: it does not answer


class Core(Protocol):
    """What this part asks of `Coordinator`."""

    in_flight: dict[tuple[str, int], Attempt]

    def apply_allocation(self, said: t.FleetAllocation) -> None: ...
    def complete_health_check(
        self, engine: str, reason: str, elapsed: int, report: dict[str, float] | None = None
    ) -> None: ...
    def receive_gossip(self, peer: int, contents: bytes) -> None: ...


Done = Callable[[str, int, dict[str, float]], None]  # GOOD, LATE or NOCONN; after how many microseconds; a load report


class Overload:
    """Implements `core.fleet.Guide` and `ports.Level`; `shed` is for the rule book."""

    name = "overload"

    def __init__(
        self,
        fleet: ports.Fleet,
        settings: t.Settings,
        limits: Limits,
        core: Core,
        probe: Callable[[str, Done], None],
        told: FleetSettings,
    ):
        self.fleet, self.settings, self.core, self._probe = fleet, settings, core, probe
        keep = max([cls.deadline for cls in settings.classes] or [0]) or limits.kill_capped
        self.controller = LoadController(fleet.members.me, settings, told, keep, fleet.seed)
        self.shed = self.controller.policy
        self.health_checks, self.recovery = HealthCheckSchedule(fleet.members.me), RecoveryTrials(fleet.members.me)
        self._entries: tuple[t.EngineEntry, ...] = ()
        self._loads: dict[ports.Name, tuple[tuple[int, int], records.Load | None]] = {}
        self._ticked = self._posted_at = fleet.clock.now()
        self._posted_threads = 0
        self._requested_at: dict[str, int] = {}  # own probes out of turn, by engine, when
        self._cancel: Callable[[], None] | None = None
        self._warned: set[tuple[ports.Name, int]] = set()

    # ---- the part

    def start(self) -> None:
        self.fleet.board.follow(records.LOAD, self._load_received)
        for page in range(PAGES):
            self.fleet.board.follow(f"{records.PROBES}{page}", self._health_received)
        self.fleet.members.follow(self._member_changed)
        self._ticked = self.fleet.clock.now()
        self._cancel = self.fleet.later(TICK, self._timer_expired)

    def listed(self, listing: EndpointSnapshot) -> None:
        self._entries = tuple(entry for entry in listing.entries if entry.state == "Ready")
        now = self.fleet.clock.now()
        self.health_checks.listed(entry.engine for entry in self._entries)
        self.recovery.listed(now, ((entry.engine, entry.started_at) for entry in self._entries))
        self._apply_allocation(now)

    def drain(self) -> None:
        """Others take what this gateway leaves; it keeps what it has in hand."""
        self.controller.draining = True

    def stop(self) -> None:
        if self._cancel is not None:
            self._cancel()

    def figures(self) -> dict[str, float]:
        own = self.controller.metrics() | {
            "probes": len(self.health_checks.targets),
            "held": len(self.recovery.reserved),
        }
        return {f"overload_{name}": float(value) for name, value in own.items()}

    # ---- ports.Level

    def over(self) -> bool:
        return self.controller.shedding

    def token(self) -> bool:
        measure, taken = self.controller.measurement, self.controller.retry_budget.try_spend()
        measure.retries_wanted += 1
        measure.retries += taken
        return taken

    # ---- core.fleet.Guide

    def request_received(self, query: Query, now: int) -> int:
        if now - self._ticked > LATE:
            self.tick()
        return self.controller.request_received(query.cls, query.tenant, query.statement, query.estimate)

    def attempt_sent(self, attempt: Attempt, now: int) -> None:
        self.controller.attempt_sent(attempt.query.cls, attempt.number > 0)
        if self.recovery.recoveries and self.recovery.attempt_sent(now, attempt.engine):
            self._trial_changed(now)

    def attempt_completed(self, attempt: Attempt, reason: str, now: int) -> None:
        self.controller.attempt_completed(attempt.query.cls, reason, now - attempt.sent_at)
        if self.recovery.attempt_completed(now, attempt.engine, reason):
            self._trial_changed(now)

    def request_completed(self, query: Query, how: str, now: int) -> None:
        self.controller.request_completed(query.cls, how, query.attempts)

    def check_health(self, engine: str) -> None:
        now = self.fleet.clock.now()
        if engine not in self.health_checks.targets:
            known = self.health_checks.latest(now, engine)
            if known is not None:
                return self.core.complete_health_check(engine, known.reason, known.elapsed)
            if now - self._requested_at.get(engine, -ASK) < ASK or engine not in self.health_checks.engines:
                return self._tally("overload_probes_spared")
            self._requested_at[engine] = now
        self._tally("overload_probes")
        self._probe(
            engine, lambda reason, elapsed, report: self._health_check_completed(engine, reason, elapsed, report)
        )

    def send_gossip(self, peer: int, contents: bytes) -> None:
        """The module's word on an engine goes to all, with the result that it is on; once, whoever it is for."""
        known = len(contents) == MODULE_WORD and self.health_checks.set_module_report(
            int.from_bytes(contents[:4], "big"), contents[4]
        )
        if not known:
            self._tally("overload_words_dropped")

    # ---- what comes

    def _health_check_completed(self, engine: str, reason: str, elapsed: int, report: dict[str, float]) -> None:
        now = self.fleet.clock.now()
        self.health_checks.completed(now, engine, reason, elapsed)
        self.core.complete_health_check(engine, reason, elapsed, report)
        if reason == "NOCONN":
            self.recovery.mark_down(now, engine)
            self._apply_allocation(now)

    def _load_received(self, record: ports.Record) -> None:
        load = self._decode(record)
        if load is not None and load.trials and self.recovery.recoveries:
            now = self.fleet.clock.now()
            self.recovery.receive(now, record.owner, record.age, load.trials)
            self._apply_allocation(now)

    def _health_received(self, record: ports.Record) -> None:
        seen, now = records.unpack_seen(record.body), self.fleet.clock.now()
        if seen is None:
            return self._reject_record(record)
        peer = sorted(self.fleet.members.all()).index(record.owner) if record.owner in self.fleet.members.all() else -1
        for engine, result in self.health_checks.receive(now, record.owner, record.age, seen):
            word = result.module_report if result.module_report >= 0 else SILENT if result.reason != "GOOD" else -1
            if word >= 0:
                self.core.receive_gossip(peer, records.code(engine).to_bytes(4, "big") + bytes([word]))
            if result.reason == "NOCONN":
                self.recovery.mark_down(now, engine)

    def _member_changed(self, member: ports.Member) -> None:
        """A prober or the one that tries an engine may be gone: who is next is told at once, not at the next tick."""
        now = self.fleet.clock.now()
        self._apply_allocation(now)

    def _decode(self, record: ports.Record) -> records.Load | None:
        known = self._loads.get(record.owner)
        if known is None or known[0] != (record.boot, record.number):
            load = records.unpack(record.body)
            if load is None:
                self._reject_record(record)
            known = self._loads[record.owner] = (record.boot, record.number), load
        return known[1]

    def _reject_record(self, record: ports.Record) -> None:
        self._tally("overload_nonsense")
        if (record.owner, record.boot) not in self._warned and len(self._warned) < 1_000:
            self._warned.add((record.owner, record.boot))
            log.warning(
                "member %s tells what is no record of load, kind %s: it counts as silent", record.owner, record.kind
            )

    # ---- the tick

    def _timer_expired(self) -> None:
        self._cancel = self.fleet.later(TICK, self._timer_expired)
        self.tick()

    def tick(self) -> None:
        """Reckon anew, post the record if it is time, and tell the module."""
        now, own = self.fleet.clock.now(), self.controller
        took, self._ticked = now - self._ticked, now
        if took <= 0:
            return
        own.threads_in_use = sum(
            own.measurement.threads.get(attempt.query.cls, 1) for attempt in self.core.in_flight.values()
        )
        members, held = self.fleet.members, self.fleet.board.read(records.LOAD)
        loads = {
            name: load
            for name, record in held.items()
            if name != members.me and (load := self._decode(record)) is not None
        }
        self._loads = {name: self._loads[name] for name in held if name in self._loads}
        threads = told_threads(self._entries, self.settings, now)
        own.tick(now, took, threads, members.living(), members.heard(), held, loads)
        # after the reckoning: what this gateway counts by from now on is what the others are told
        if now - self._posted_at >= POST - TICK // 2:
            self._post_load(now)
            for page, seen in enumerate(self.health_checks.pages(now)):
                self.fleet.board.post(f"{records.PROBES}{page}", records.pack_seen(seen))
        elif abs(own.threads_in_use - self._posted_threads) > max(JUMP * own.limit, JUMP_LEAST):
            self._post_load(now)
        self.health_checks.forget(now, members.all())
        self._requested_at = {engine: at for engine, at in self._requested_at.items() if now - at < ASK}
        self._apply_allocation(now)

    def _post_load(self, now: int) -> None:
        self._posted_at, self._posted_threads = now, self.controller.threads_in_use
        self.fleet.board.post(records.LOAD, records.pack(self.controller.record(self.recovery.records(now))))

    def _trial_changed(self, now: int) -> None:
        """A trial went out or ended: the module holds or frees the engine now, and the others soon."""
        if now - self._posted_at >= SOON:
            self._post_load(now)
        self._apply_allocation(now)

    def _apply_allocation(self, now: int) -> None:
        own, heard = self.controller, self.fleet.members.heard() | {self.fleet.members.me}
        self.health_checks.update(now, heard)
        held = self.recovery.update(now, heard)
        if own.view is None:
            return
        self.core.apply_allocation(
            t.FleetAllocation(
                thread_share=own.thread_share,
                slow_start_share=own.thread_share,
                retry_tokens=max(own.retry_budget.available, 0.0),
                health_check_targets=self.health_checks.targets if self.settings.health_checks else None,
                reserved_engines=held,
                minimum_backoff=own.backoff.retry_after,
            )
        )

    def _tally(self, name: str) -> None:
        self.fleet.tally(name, 1)
