"""The overload component of one gateway: hooks of the core, and a tick that posts records and applies allocations.

Per request it does integer sums, a look-up and, in the cell at the threshold, one CRC-32. All else is computed once a
tick from the records on the gossip board.
"""

import logging
from collections.abc import Callable
from functools import partial
from typing import Protocol

from rackhub import interface as t
from rackhub.core.request import Attempt, Query
from rackhub.core.source import EndpointSnapshot
from rackhub.fleet import ports
from rackhub.fleet.overload import records
from rackhub.fleet.overload.load_controller import LoadController
from rackhub.fleet.overload.probing import PAGES, HealthCheckSchedule
from rackhub.fleet.overload.recovery_trials import RecoveryTrials
from rackhub.fleet.overload.view import listed_threads
from rackhub.fleet.settings import FleetSettings
from rackhub.limits import Limits

log = logging.getLogger(__name__)

MS = 1_000
SECOND = 1_000_000
TICK = 200 * MS
POST_INTERVAL = 400 * MS  # between regular load records
MINIMUM_POST_INTERVAL = 50 * MS  # before a load record about a recovery trial
EARLY_POST_FRACTION = 0.3  # change of the threads in use, of the limit, that is posted at the next tick
EARLY_POST_THREADS = 4  # minimum of that change
LATE_TICK = 2 * TICK  # a tick so late is run before the next request, as the last decisions are out of date
UNSCHEDULED_INTERVAL = 1 * SECOND  # between own health checks of an engine that other members check
MODULE_REPORT_BYTES = 5  # the CRC-32 of the engine's name, and a level
NO_ANSWER_LEVEL = 100
MAXIMUM_WARNINGS = 1_000


class Core(Protocol):
    """The functions of `Coordinator` that this component uses."""

    in_flight: dict[tuple[str, int], Attempt]

    def apply_allocation(self, allocation: t.FleetAllocation) -> None:
        """Apply the allocation of this gateway."""

    def complete_health_check(
        self, engine: str, reason: str, elapsed: int, report: dict[str, float] | None = None
    ) -> None:
        """Report the result of a health check after `elapsed` microseconds."""

    def receive_gossip(self, peer: int, contents: bytes) -> None:
        """Receive the message of a peer."""


# called with GOOD, LATE or NOCONN, elapsed microseconds and a load report
Done = Callable[[str, int, dict[str, float]], None]


class Overload:
    """Implements `core.fleet.FleetCoordinator` and `ports.OverloadStatus`; `shed` is its part of the rule set."""

    name = "overload"

    def __init__(
        self,
        fleet: ports.Fleet,
        settings: t.Settings,
        limits: Limits,
        core: Core,
        probe: Callable[[str, Done], None],
        fleet_settings: FleetSettings,
    ):
        self.fleet = fleet
        self.settings = settings
        self.core = core
        self._probe = probe
        takeover_delay = max([cls.deadline for cls in settings.classes] or [0]) or limits.max_deadline_before_sigkill
        self.controller = LoadController(fleet.members.local_name, settings, fleet_settings, takeover_delay, fleet.seed)
        self.shed = self.controller.policy
        self.health_checks = HealthCheckSchedule(fleet.members.local_name)
        self.recovery = RecoveryTrials(fleet.members.local_name)
        self._entries: tuple[t.EngineEntry, ...] = ()
        self._loads: dict[ports.Name, tuple[tuple[int, int], records.Load | None]] = {}
        self._ticked = self._published_at = fleet.clock.now()
        self._published_threads = 0
        self._requested_at: dict[str, int] = {}  # time of own unscheduled health checks, by engine
        self._cancel: Callable[[], None] | None = None
        self._warned: set[tuple[ports.Name, int]] = set()

    # ---- the component

    def start(self) -> None:
        """Follow records and members, and start the timer."""
        self.fleet.gossip_state.follow(records.LOAD_KIND, self._load_received)
        for page in range(PAGES):
            self.fleet.gossip_state.follow(f"{records.HEALTH_KIND}{page}", self._health_received)
        self.fleet.members.follow(self._member_changed)
        self._ticked = self.fleet.clock.now()
        self._cancel = self.fleet.call_later(TICK, self._timer_expired)

    def endpoints_changed(self, listing: EndpointSnapshot) -> None:
        """Apply a new list of engines."""
        self._entries = tuple(entry for entry in listing.entries if entry.state == "Ready")
        now = self.fleet.clock.now()
        self.health_checks.listed(entry.engine for entry in self._entries)
        self.recovery.listed(now, ((entry.engine, entry.started_at) for entry in self._entries))
        self._apply_allocation(now)

    def drain(self) -> None:
        """Offer the share of this gateway to the others, except for requests in flight."""
        self.controller.draining = True

    def stop(self) -> None:
        """Stop the timer."""
        if self._cancel is not None:
            self._cancel()

    def metrics(self) -> dict[str, float]:
        """Return the gauges by name."""
        own = self.controller.metrics() | {
            "probes": len(self.health_checks.targets),
            "held": len(self.recovery.reserved),
        }
        return {f"overload_{name}": float(value) for name, value in own.items()}

    # ---- ports.OverloadStatus

    def is_shedding(self) -> bool:
        """Return whether requests are shed."""
        return self.controller.shedding

    def try_spend_retry(self) -> bool:
        """Spend one retry; return False if there is none."""
        spent = self.controller.retry_budget.try_spend()
        self.controller.measurement.retries_wanted += 1
        self.controller.measurement.retries += spent
        return spent

    # ---- core.fleet.FleetCoordinator

    def request_received(self, query: Query, now: int) -> int:
        """Return the verdict: 1 above the threshold, -1 below it, 0 while nothing is shed."""
        if now - self._ticked > LATE_TICK:
            self.tick()
        return self.controller.request_received(query.cls, query.tenant, query.statement, query.estimate)

    def attempt_sent(self, attempt: Attempt, now: int) -> None:
        """Count an attempt that was sent."""
        self.controller.attempt_sent(attempt.query.cls, attempt.number > 0)
        if self.recovery.recoveries and self.recovery.attempt_sent(now, attempt.engine):
            self._trial_changed(now)

    def attempt_completed(self, attempt: Attempt, reason: str, now: int) -> None:
        """Count the end of an attempt."""
        self.controller.attempt_completed(attempt.query.cls, reason, now - attempt.sent_at)
        if self.recovery.attempt_completed(now, attempt.engine, reason):
            self._trial_changed(now)

    def request_completed(self, query: Query, how: str, now: int) -> None:
        """Count the outcome of a request."""
        self.controller.request_completed(query.cls, how, query.attempts)

    def check_health(self, engine: str) -> None:
        """Report the known health of an engine, or check it if this gateway is to."""
        now = self.fleet.clock.now()
        if engine not in self.health_checks.targets:
            known = self.health_checks.latest(now, engine)
            if known is not None:
                self.core.complete_health_check(engine, known.reason, known.elapsed)
                return
            if (
                now - self._requested_at.get(engine, -UNSCHEDULED_INTERVAL) < UNSCHEDULED_INTERVAL
                or engine not in self.health_checks.engines
            ):
                self._tally("overload_probes_spared")
                return
            self._requested_at[engine] = now
        self._tally("overload_probes")
        self._probe(engine, partial(self._health_check_completed, engine))

    def send_gossip(self, peer: int, contents: bytes) -> None:
        """Attach the module's report on an engine to the health check result, which is posted to all peers."""
        known = len(contents) == MODULE_REPORT_BYTES and self.health_checks.set_module_report(
            int.from_bytes(contents[:4], "big"), contents[4]
        )
        if not known:
            self._tally("overload_words_dropped")

    # ---- events

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
        reports = records.unpack_health(record.body)
        now = self.fleet.clock.now()
        if reports is None:
            self._reject_record(record)
            return
        peer = sorted(self.fleet.members.all()).index(record.owner) if record.owner in self.fleet.members.all() else -1
        for engine, result in self.health_checks.receive(now, record.owner, record.age, reports):
            level = result.module_report
            if level < 0 and result.reason != "GOOD":
                level = NO_ANSWER_LEVEL
            if level >= 0:
                self.core.receive_gossip(peer, records.code(engine).to_bytes(4, "big") + bytes([level]))
            if result.reason == "NOCONN":
                self.recovery.mark_down(now, engine)

    def _member_changed(self, member: ports.Member) -> None:
        """Reassign health checks and trials at once, as the member that ran them may be gone."""
        now = self.fleet.clock.now()
        self._apply_allocation(now)

    def _decode(self, record: ports.Record) -> records.Load | None:
        known = self._loads.get(record.owner)
        if known is None or known[0] != (record.generation, record.number):
            load = records.unpack(record.body)
            if load is None:
                self._reject_record(record)
            known = self._loads[record.owner] = (record.generation, record.number), load
        return known[1]

    def _reject_record(self, record: ports.Record) -> None:
        self._tally("overload_nonsense")
        if (record.owner, record.generation) not in self._warned and len(self._warned) < MAXIMUM_WARNINGS:
            self._warned.add((record.owner, record.generation))
            log.warning(
                "member %s tells what is no record of load, kind %s: it counts as silent", record.owner, record.kind
            )

    # ---- the tick

    def _timer_expired(self) -> None:
        self._cancel = self.fleet.call_later(TICK, self._timer_expired)
        self.tick()

    def tick(self) -> None:
        """Recompute the decisions, post the records that are due, and apply the allocation."""
        now = self.fleet.clock.now()
        own = self.controller
        elapsed = now - self._ticked
        self._ticked = now
        if elapsed <= 0:
            return
        own.threads_in_use = sum(
            own.measurement.threads.get(attempt.query.cls, 1) for attempt in self.core.in_flight.values()
        )
        members = self.fleet.members
        held = self.fleet.gossip_state.read(records.LOAD_KIND)
        loads = {
            name: load
            for name, record in held.items()
            if name != members.local_name and (load := self._decode(record)) is not None
        }
        self._loads = {name: self._loads[name] for name in held if name in self._loads}
        threads = listed_threads(self._entries, self.settings, now)
        own.tick(now, elapsed, threads, members.live(), members.reachable(), held, loads)
        # posted after the computation, so that the record has the participants that this gateway now counts
        if now - self._published_at >= POST_INTERVAL - TICK // 2:
            self._publish_load(now)
            for page, seen in enumerate(self.health_checks.pages(now)):
                self.fleet.gossip_state.publish(f"{records.HEALTH_KIND}{page}", records.pack_health(seen))
        elif abs(own.threads_in_use - self._published_threads) > max(
            EARLY_POST_FRACTION * own.limit, EARLY_POST_THREADS
        ):
            self._publish_load(now)
        self.health_checks.forget(now, members.all())
        self._requested_at = {
            engine: at for engine, at in self._requested_at.items() if now - at < UNSCHEDULED_INTERVAL
        }
        self._apply_allocation(now)

    def _publish_load(self, now: int) -> None:
        self._published_at = now
        self._published_threads = self.controller.threads_in_use
        self.fleet.gossip_state.publish(
            records.LOAD_KIND, records.pack(self.controller.record(self.recovery.records(now)))
        )

    def _trial_changed(self, now: int) -> None:
        """Apply the start or end of a trial here now, and publish it soon."""
        if now - self._published_at >= MINIMUM_POST_INTERVAL:
            self._publish_load(now)
        self._apply_allocation(now)

    def _apply_allocation(self, now: int) -> None:
        own = self.controller
        reachable = self.fleet.members.reachable() | {self.fleet.members.local_name}
        self.health_checks.update(now, reachable)
        held = self.recovery.update(now, reachable)
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
        self.fleet.add_count(name, 1)
