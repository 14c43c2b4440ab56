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
from rackhub.fleet.overload.probing import PAGES, Probing
from rackhub.fleet.overload.reckoning import Reckoning
from rackhub.fleet.overload.trials import Trials
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
    """Implements `core.fleet.FleetCoordinator` and `ports.Level`; `shed` is for the rule book."""

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
        self.reckoning = Reckoning(fleet.members.me, settings, told, keep, fleet.seed)
        self.shed = self.reckoning.shed
        self.probing, self.trials = Probing(fleet.members.me), Trials(fleet.members.me)
        self._entries: tuple[t.EngineEntry, ...] = ()
        self._loads: dict[ports.Name, tuple[tuple[int, int], records.Load | None]] = {}
        self._ticked = self._posted = fleet.clock.now()
        self._told_hand = 0
        self._asked: dict[str, int] = {}  # own probes out of turn, by engine, when
        self._cancel: Callable[[], None] | None = None
        self._named: set[tuple[ports.Name, int]] = set()

    # ---- the part

    def start(self) -> None:
        self.fleet.board.follow(records.LOAD, self._load_came)
        for page in range(PAGES):
            self.fleet.board.follow(f"{records.PROBES}{page}", self._seen_came)
        self.fleet.members.follow(self._changed)
        self._ticked = self.fleet.clock.now()
        self._cancel = self.fleet.later(TICK, self._timed)

    def listed(self, listing: EndpointSnapshot) -> None:
        self._entries = tuple(entry for entry in listing.entries if entry.state == "Ready")
        now = self.fleet.clock.now()
        self.probing.listed(entry.engine for entry in self._entries)
        self.trials.listed(now, ((entry.engine, entry.started_at) for entry in self._entries))
        self._say(now)

    def drain(self) -> None:
        """Others take what this gateway leaves; it keeps what it has in hand."""
        self.reckoning.draining = True

    def stop(self) -> None:
        if self._cancel is not None:
            self._cancel()

    def figures(self) -> dict[str, float]:
        own = self.reckoning.figures() | {"probes": len(self.probing.mine), "held": len(self.trials.held)}
        return {f"overload_{name}": float(value) for name, value in own.items()}

    # ---- ports.Level

    def over(self) -> bool:
        return self.reckoning.on

    def token(self) -> bool:
        measure, taken = self.reckoning.measure, self.reckoning.tokens.take()
        measure.wanted += 1
        measure.further += taken
        return taken

    # ---- core.fleet.FleetCoordinator

    def request_received(self, query: Query, now: int) -> int:
        if now - self._ticked > LATE:
            self.tick()
        return self.reckoning.arrived(query.cls, query.tenant, query.statement, query.estimate)

    def attempt_sent(self, attempt: Attempt, now: int) -> None:
        self.reckoning.sent(attempt.query.cls, attempt.number > 0)
        if self.trials.cases and self.trials.sent(now, attempt.engine):
            self._news(now)

    def attempt_completed(self, attempt: Attempt, reason: str, now: int) -> None:
        self.reckoning.ended(attempt.query.cls, reason, now - attempt.sent_at)
        if self.trials.ended(now, attempt.engine, reason):
            self._news(now)

    def request_completed(self, query: Query, how: str, now: int) -> None:
        self.reckoning.closed(query.cls, how, query.attempts)

    def check_health(self, engine: str) -> None:
        now = self.fleet.clock.now()
        if engine not in self.probing.mine:
            known = self.probing.latest(now, engine)
            if known is not None:
                return self.core.complete_health_check(engine, known.reason, known.elapsed)
            if now - self._asked.get(engine, -ASK) < ASK or engine not in self.probing.engines:
                return self._tally("overload_probes_spared")
            self._asked[engine] = now
        self._tally("overload_probes")
        self._probe(engine, lambda reason, elapsed, report: self._found(engine, reason, elapsed, report))

    def send_gossip(self, peer: int, contents: bytes) -> None:
        """The module's word on an engine goes to all, with the result that it is on; once, whoever it is for."""
        known = len(contents) == MODULE_WORD and self.probing.said(int.from_bytes(contents[:4], "big"), contents[4])
        if not known:
            self._tally("overload_words_dropped")

    # ---- what comes

    def _found(self, engine: str, reason: str, elapsed: int, report: dict[str, float]) -> None:
        now = self.fleet.clock.now()
        self.probing.found(now, engine, reason, elapsed)
        self.core.complete_health_check(engine, reason, elapsed, report)
        if reason == "NOCONN":
            self.trials.out(now, engine)
            self._say(now)

    def _load_came(self, record: ports.Record) -> None:
        load = self._read(record)
        if load is not None and load.trials and self.trials.cases:
            now = self.fleet.clock.now()
            self.trials.heard_of(now, record.owner, record.age, load.trials)
            self._say(now)

    def _seen_came(self, record: ports.Record) -> None:
        seen, now = records.unpack_seen(record.body), self.fleet.clock.now()
        if seen is None:
            return self._nonsense(record)
        peer = sorted(self.fleet.members.all()).index(record.owner) if record.owner in self.fleet.members.all() else -1
        for engine, result in self.probing.heard_of(now, record.owner, record.age, seen):
            word = result.word if result.word >= 0 else SILENT if result.reason != "GOOD" else -1
            if word >= 0:
                self.core.receive_gossip(peer, records.code(engine).to_bytes(4, "big") + bytes([word]))
            if result.reason == "NOCONN":
                self.trials.out(now, engine)

    def _changed(self, member: ports.Member) -> None:
        """A prober or the one that tries an engine may be gone: who is next is told at once, not at the next tick."""
        now = self.fleet.clock.now()
        self._say(now)

    def _read(self, record: ports.Record) -> records.Load | None:
        known = self._loads.get(record.owner)
        if known is None or known[0] != (record.boot, record.number):
            load = records.unpack(record.body)
            if load is None:
                self._nonsense(record)
            known = self._loads[record.owner] = (record.boot, record.number), load
        return known[1]

    def _nonsense(self, record: ports.Record) -> None:
        self._tally("overload_nonsense")
        if (record.owner, record.boot) not in self._named and len(self._named) < 1_000:
            self._named.add((record.owner, record.boot))
            log.warning(
                "member %s tells what is no record of load, kind %s: it counts as silent", record.owner, record.kind
            )

    # ---- the tick

    def _timed(self) -> None:
        self._cancel = self.fleet.later(TICK, self._timed)
        self.tick()

    def tick(self) -> None:
        """Reckon anew, post the record if it is time, and tell the module."""
        now, own = self.fleet.clock.now(), self.reckoning
        took, self._ticked = now - self._ticked, now
        if took <= 0:
            return
        own.hand = sum(own.measure.threads.get(attempt.query.cls, 1) for attempt in self.core.in_flight.values())
        members, held = self.fleet.members, self.fleet.board.read(records.LOAD)
        loads = {
            name: load
            for name, record in held.items()
            if name != members.me and (load := self._read(record)) is not None
        }
        self._loads = {name: self._loads[name] for name in held if name in self._loads}
        threads = told_threads(self._entries, self.settings, now)
        own.tick(now, took, threads, members.living(), members.heard(), held, loads)
        # after the reckoning: what this gateway counts by from now on is what the others are told
        if now - self._posted >= POST - TICK // 2:
            self._post(now)
            for page, seen in enumerate(self.probing.pages(now)):
                self.fleet.board.post(f"{records.PROBES}{page}", records.pack_seen(seen))
        elif abs(own.hand - self._told_hand) > max(JUMP * own.limit, JUMP_LEAST):
            self._post(now)
        self.probing.forget(now, members.all())
        self._asked = {engine: at for engine, at in self._asked.items() if now - at < ASK}
        self._say(now)

    def _post(self, now: int) -> None:
        self._posted, self._told_hand = now, self.reckoning.hand
        self.fleet.board.post(records.LOAD, records.pack(self.reckoning.record(self.trials.told(now))))

    def _news(self, now: int) -> None:
        """A trial went out or ended: the module holds or frees the engine now, and the others soon."""
        if now - self._posted >= SOON:
            self._post(now)
        self._say(now)

    def _say(self, now: int) -> None:
        own, heard = self.reckoning, self.fleet.members.heard() | {self.fleet.members.me}
        self.probing.see(now, heard)
        held = self.trials.see(now, heard)
        if own.view is None:
            return
        self.core.apply_allocation(
            t.FleetAllocation(
                thread_share=own.part,
                slow_start_share=own.part,
                retry_tokens=max(own.tokens.left, 0.0),
                health_check_targets=self.probing.mine if self.settings.health_checks else None,
                reserved_engines=held,
                minimum_backoff=own.back.told,
            )
        )

    def _tally(self, name: str) -> None:
        self.fleet.tally(name, 1)
