"""The overload decisions of one gateway: shedding threshold, share of threads and retries, backoff.

A pure controller: it is notified of its own requests, and once a tick of the members and their load records.
"""

from collections.abc import Mapping

from rackhub import interface as t
from rackhub.fleet.overload import records
from rackhub.fleet.overload.backoff import Backoff
from rackhub.fleet.overload.load_measurement import LoadMeasurement
from rackhub.fleet.overload.participants import Participants
from rackhub.fleet.overload.quota import Quota
from rackhub.fleet.overload.retry_budget import RetryBudget
from rackhub.fleet.overload.shed import SheddingPolicy
from rackhub.fleet.overload.shedding_threshold import HASH_RANGE, SheddingThreshold, statement_hash
from rackhub.fleet.overload.view import Codes, View, view
from rackhub.fleet.ports import Name, Record
from rackhub.fleet.settings import FleetSettings

MS = 1_000
SECOND = 1_000_000
HOLD = 1 * SECOND  # beyond the maximum age of a record, over which the bounds of a need are published
NEED_WINDOW = 2 * SECOND  # smoothing time of the own need: a need that scatters costs both lender and borrower
USAGE_WINDOW = 1 * SECOND  # smoothing time of the usage: a short peak is no overload
HEADROOM_SLOPE = 5  # how fast the headroom of a gateway changes with the idle fraction of the fleet
MINIMUM_RETRY_RATE = 0.01  # wanted retries per second, below which none are wanted


class LoadController:
    """The load controller of one gateway.

    `takeover_delay` is how long the requests of a gateway that is gone may still run, microseconds.
    """

    def __init__(
        self, local_name: Name, settings: t.Settings, fleet_settings: FleetSettings, takeover_delay: int, seed: int
    ):
        maximum_age = fleet_settings.records_ms * MS
        self.participants = Participants(local_name, settings.gateways, takeover_delay, maximum_age)
        self.measurement = LoadMeasurement(settings)
        self.threshold = SheddingThreshold()
        self.policy = SheddingPolicy(settings)
        self.quota = Quota(maximum_age + HOLD)
        self.retry_budget = RetryBudget(settings, maximum_age + HOLD, seed ^ records.code(local_name, "tokens"))
        self.backoff = Backoff(settings.max_retry_after, seed ^ records.code(local_name, "back"))
        self._codes = Codes(settings)
        self._guard = fleet_settings.worth_guard
        self._fractions = {tenant.name: tenant.quota_fraction for tenant in settings.tenants}
        self.view: View | None = None
        self.threads_in_use = 0  # at this gateway
        self.thread_share = 0.0  # this gateway's fraction of the threads of the fleet
        self.limit = 0.0  # threads that this gateway may use
        self.threshold_limit = 0.0  # threads past which requests of the cell at the threshold are rejected
        self.shedding = False
        self.draining = False
        self._need = 0.0
        self._usage = 0.0

    # ---- one request

    def request_received(self, cls: str, tenant: str, statement: bytes, estimate: int = 0) -> int:
        """Return the verdict on a request with an estimate in microseconds.

        1: above the threshold, -1: below it or beyond the limit of this gateway, 0: nothing is shed.
        """
        if estimate and cls in self.measurement.classes:
            self.measurement.classes[cls].add_estimate(estimate)
        counter = self.measurement.counters.get((cls, tenant)) or self.measurement.counter(cls, tenant)
        counter.requested += 1
        mark = counter.mark
        if mark < HASH_RANGE and (not mark or statement_hash(statement, counter.seed) >= mark):
            return -1
        if self.shedding and self.threads_in_use >= (self.limit if mark == HASH_RANGE else self.threshold_limit):
            counter.requested -= 1  # another gateway may still admit it
            counter.over_limit += 1
            return -1
        counter.admitted_count += 1
        return 1 if self.shedding else 0

    def attempt_sent(self, cls: str, is_retry: bool) -> None:
        """Count the threads of an attempt, and spend a retry for it if it is one."""
        self.threads_in_use += self.measurement.threads.get(cls, 1)
        if is_retry:
            self.measurement.retries += 1
            self.measurement.retries_wanted += 1
            self.retry_budget.spend()

    def attempt_completed(self, cls: str, reason: str, elapsed: int) -> None:
        """Release the threads of an attempt that ended after `elapsed` microseconds."""
        self.threads_in_use = max(self.threads_in_use - self.measurement.threads.get(cls, 1), 0)
        self.measurement.attempt_completed(cls, reason, elapsed)

    def request_completed(self, cls: str, outcome: str, attempts: int) -> None:
        """Count the outcome of a request after so many attempts."""
        if outcome == "served":
            self.measurement.served += 1
        elif outcome in ("refused", "failed"):
            self.measurement.retries_wanted += attempts > 0
            if outcome == "refused":
                self.measurement.rejected += 1
                self.backoff.add_rejected(self.view.work.get(cls, 0.0) if self.view else 0.0)

    # ---- the tick

    def tick(
        self,
        now: int,
        elapsed: int,
        threads: float,
        living: frozenset[Name],
        reachable: frozenset[Name],
        load_records: Mapping[Name, Record],
        loads: Mapping[Name, records.Load],
    ) -> None:
        """Recompute all decisions, `elapsed` microseconds after the last tick.

        `threads` is the number that all listed engines may run; `load_records` and `loads` are the records of the other
        gateways and their contents.
        """
        participants = self.participants
        usage = self.view.threads_in_use / self.view.threads if self.view and self.view.threads else 0.0
        self.measurement.tick(elapsed, self.shedding, usage)
        participants.update(now, living, reachable, {name: load_records[name] for name in loads})
        active = participants.counted - participants.silent - {participants.local_name}
        fresh = {name: loads[name] for name in active}
        known_threads = threads * participants.equal_share * (len(fresh) + 1)  # the silent ones use the rest
        fleet = view(
            [self.record(()), *fresh.values()],
            self._codes,
            self.measurement.classes,
            self.policy.multipliers,
            known_threads,
        )
        self.view = fleet
        usage = fleet.threads_in_use / max(fleet.threads, 1e-9)
        self._usage += (usage - self._usage) * min(elapsed / USAGE_WINDOW, 1)
        self.threshold.update(fleet.demand, self._fractions, fleet.capacity, self._guard, self._usage)
        self.shedding = bool(self.threshold.marks)
        comparable = self._comparable(fresh)
        self._update_threads(now, elapsed, threads, fleet, fresh, comparable)
        self._update_retries(now, elapsed, fleet, fresh, comparable)
        demand = sum(cell.threads for cell in fleet.demand.values()) * self.threshold.admitted_share
        self.backoff.tick(now, fleet.retry_work, fleet.capacity, demand)

    def _comparable(self, fresh: Mapping[Name, records.Load]) -> list[records.Load | None]:
        """Return the load of each other participant, None if it is silent or counts other participants."""
        participants = self.participants
        others = sorted(participants.counted - {participants.local_name})
        loads = [fresh.get(name) for name in others]
        return [load if load is not None and load.counted == participants.digest else None for load in loads]

    def _update_threads(
        self,
        now: int,
        elapsed: int,
        threads: float,
        fleet: View,
        fresh: Mapping[Name, records.Load],
        comparable: list[records.Load | None],
    ) -> None:
        wanted = 0.0
        for key, counter in self.measurement.counters.items():
            counter.mark = self.threshold.marks.get(key, HASH_RANGE) if self.shedding else HASH_RANGE
            wanted += counter.rate * counter.mark / HASH_RANGE * fleet.work.get(key[0], 0.0)
        equal_share = self.participants.equal_share
        need = (self.threads_in_use if self.draining else max(wanted, self.threads_in_use)) / max(threads, 1e-9)
        self._need += (need - self._need) * min(elapsed / NEED_WINDOW, 1)
        lacking = any(Quota.wants_more(load.thread_loan, equal_share) for load in fresh.values())
        self.quota.update_need(now, self._need, equal_share, self.participants.digest, lacking)
        loans = [load.thread_loan if load is not None else None for load in comparable]
        self.thread_share = self.quota.share(equal_share, loans)
        allowed = self.thread_share * threads * min(fleet.capacity_factor, 1.0)
        # headroom for random peaks, less the more threads the fleet uses; least for the cell at the threshold
        idle = 1 - fleet.threads_in_use / max(fleet.threads, 1e-9)
        headroom = allowed**0.5
        self.limit = allowed + headroom * min(max(1 + HEADROOM_SLOPE * idle, 0), 2)
        self.threshold_limit = allowed + headroom * min(max(2 * idle, 0), 1)

    def _update_retries(
        self,
        now: int,
        elapsed: int,
        fleet: View,
        fresh: Mapping[Name, records.Load],
        comparable: list[records.Load | None],
    ) -> None:
        equal_share = self.participants.equal_share
        wanted = self.measurement.rates["retries_wanted"]
        lacking = any(Quota.wants_more(load.retry_loan, equal_share) for load in fresh.values())
        self.retry_budget.tick(now, elapsed, fleet.served, wanted, equal_share, self.participants.digest, lacking)
        loans = [load.retry_loan if load is not None else None for load in comparable]
        share = self.retry_budget.quota.share(equal_share, loans)
        self.retry_budget.set_share(share, wanted > MINIMUM_RETRY_RATE)

    def record(self, trials: tuple[records.Trial, ...]) -> records.Load:
        """Return the load record of this gateway."""
        cells, rest = self.measurement.cells()
        rates = {name: records.bounded(rate * 1000) for name, rate in self.measurement.rates.items()}
        return records.Load(
            cells,
            rest,
            self.measurement.work(),
            self.threads_in_use * 1000,
            rates["served"],
            rates["rejected"],
            records.bounded(self.backoff.retry_work * 1000),
            rates["retries"],
            rates["retries_wanted"],
            records.bounded(self.measurement.capacity_factor * records.FRACTION_ONE),
            self.quota.loan(),
            self.retry_budget.quota.loan(),
            trials,
            self.participants.digest,
            self.policy.version,
        )

    def metrics(self) -> dict[str, float]:
        """Return the gauges by name."""
        fleet = self.view
        return {
            "on": float(self.threshold.active),
            "place": self.threshold.admitted_share,
            "moves": float(self.threshold.moves),
            "share": self.thread_share,
            "even": self.participants.equal_share,
            "counted": float(len(self.participants.counted)),
            "silent": float(len(self.participants.silent)),
            "majority": float(self.participants.majority),
            "capacity": fleet.capacity if fleet else 0.0,
            "hand": fleet.threads_in_use if fleet else 0.0,
            "demand": sum(cell.threads for cell in fleet.demand.values()) if fleet else 0.0,
            "room": self.measurement.capacity_factor,
            "tokens": self.retry_budget.available,
            "tokens_rate": self.retry_budget.rate,
            "back_ms": self.backoff.retry_after / MS,
            "refused": self.measurement.rates["rejected"],
            "shed_version": float(self.policy.version),
        }
