"""The overload decisions of one gateway: shedding threshold, share of threads and retries, retry-after delay.

The controller does no I/O and reads no clock. `component` calls it for each request and attempt of this gateway, and
once a tick with the members and their load records. Times are in microseconds.
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
from rackhub.fleet.overload.view import Codes, View, compute_view
from rackhub.fleet.ports import Name, Record
from rackhub.fleet.settings import FleetSettings

MS = 1_000
SECOND = 1_000_000
HOLD_MARGIN = 1 * SECOND  # time past the maximum age of a record for which the bounds of a need are still published
NEED_WINDOW = 2 * SECOND  # smoothing time of the local need: a fluctuating need costs both lender and borrower
USAGE_WINDOW = 1 * SECOND  # smoothing time of the usage, so that a short peak does not count as overload
HEADROOM_SLOPE = 5  # slope of the headroom factor over the idle fraction of the fleet's threads
MINIMUM_RETRY_RATE = 0.01  # retries per second; a lower wanted rate counts as none


class LoadController:
    """The load controller of one gateway.

    `takeover_delay` is the time for which the requests of a gateway that is gone may still run; the others take over
    its share after it.
    """

    def __init__(
        self, local_name: Name, settings: t.Settings, fleet_settings: FleetSettings, takeover_delay: int, seed: int
    ):
        maximum_age = fleet_settings.records_ms * MS
        self.participants = Participants(local_name, settings.gateways, takeover_delay, maximum_age)
        self.measurement = LoadMeasurement(settings)
        self.threshold = SheddingThreshold()
        self.policy = SheddingPolicy(settings)
        self.quota = Quota(maximum_age + HOLD_MARGIN)
        self.retry_budget = RetryBudget(settings, maximum_age + HOLD_MARGIN, seed ^ records.code(local_name, "tokens"))
        self.backoff = Backoff(settings.max_retry_after, seed ^ records.code(local_name, "back"))
        self._codes = Codes(settings)
        self._guard = fleet_settings.worth_guard  # fraction of the capacity reserved for tenants below their quota
        self._fractions = {tenant.name: tenant.quota_fraction for tenant in settings.tenants}
        self.view: View | None = None
        self.threads_in_use = 0  # number of threads that the attempts of this gateway use
        self.thread_share = 0.0  # fraction of the fleet's threads that this gateway may use
        # Threads in use from which requests are rejected while requests are shed: the share and a headroom.
        self.limit = 0.0  # limit for cells that are admitted entirely
        self.partial_cell_limit = 0.0  # limit for cells that are admitted in part
        self.shedding = False  # requests of at least one cell are shed
        self.draining = False  # set after SIGTERM: the need is the threads in use
        self._need = 0.0  # smoothed need of this gateway, as a fraction of the fleet's threads
        self._usage = 0.0  # smoothed usage: threads in use of the fleet over those configured

    # ---- one request

    def request_received(self, cls: str, tenant: str, statement: bytes, estimate: int = 0) -> int:
        """Return the verdict on a request; `estimate` is in microseconds.

        1: admitted. -1: shed, as it is below the threshold or the threads in use have reached the limit of this
        gateway. 0: nothing is shed now, and the policy decides.
        """
        if estimate and cls in self.measurement.classes:
            self.measurement.classes[cls].add_estimate(estimate)
        counter = self.measurement.counters.get((cls, tenant)) or self.measurement.counter(cls, tenant)
        counter.requested += 1
        mark = counter.mark  # a request passes if its hash is below the mark: none at 0, all at `HASH_RANGE`
        if mark < HASH_RANGE and (not mark or statement_hash(statement, counter.seed) >= mark):
            return -1
        if self.shedding and self.threads_in_use >= (self.limit if mark == HASH_RANGE else self.partial_cell_limit):
            counter.requested -= 1  # counted as `over_limit` instead: another gateway may still admit the request
            counter.over_limit += 1
            return -1
        counter.admitted_count += 1
        return 1 if self.shedding else 0

    def attempt_sent(self, cls: str, is_retry: bool) -> None:
        """Count the threads of an attempt; if it is a retry, spend one of the budget."""
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
        """Count the outcome of a request that took this number of attempts.

        A request that failed or was rejected after an attempt would have used one more retry.
        """
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
        live: frozenset[Name],
        reachable: frozenset[Name],
        load_records: Mapping[Name, Record],
        loads: Mapping[Name, records.Load],
    ) -> None:
        """Recompute all decisions, `elapsed` microseconds after the last tick.

        `threads` is the number of threads that all listed engines may run; `live` and `reachable` are as in
        `ports.Members`. `load_records` are the newest load records of all members, and `loads` the contents of the
        valid ones of the others.
        """
        participants = self.participants
        previous_usage = self.view.threads_in_use / self.view.threads if self.view and self.view.threads else 0.0
        self.measurement.tick(elapsed, self.shedding, previous_usage)
        participants.update(now, live, reachable, {name: load_records[name] for name in loads})
        responsive = participants.counted - participants.unresponsive - {participants.local_name}
        fresh = {name: loads[name] for name in responsive}
        # The threads of unresponsive gateways do not count, as their load is not known.
        reported_threads = threads * participants.equal_share * (len(fresh) + 1)
        fleet = compute_view(
            [self.record(()), *fresh.values()],
            self._codes,
            self.measurement.classes,
            self.policy.multipliers,
            reported_threads,
        )
        self.view = fleet
        usage = fleet.threads_in_use / max(fleet.threads, 1e-9)
        self._usage += (usage - self._usage) * min(elapsed / USAGE_WINDOW, 1)
        self.threshold.update(fleet.demand, self._fractions, fleet.capacity, self._guard, self._usage)
        self.shedding = bool(self.threshold.marks)
        peer_loads = self._loads_with_same_participants(fresh)
        self._update_threads(now, elapsed, threads, fleet, fresh, peer_loads)
        self._update_retries(now, elapsed, fleet, fresh, peer_loads)
        admitted_demand = sum(cell.threads for cell in fleet.demand.values()) * self.threshold.admitted_share
        self.backoff.tick(now, fleet.retry_work, fleet.capacity, admitted_demand)

    def _loads_with_same_participants(self, fresh: Mapping[Name, records.Load]) -> list[records.Load | None]:
        """Return the load of each other participant, in the order of names.

        It is None without a recent record, or if that gateway counts different participants: then no loans are
        exchanged with it.
        """
        participants = self.participants
        others = sorted(participants.counted - {participants.local_name})
        loads = [fresh.get(name) for name in others]
        return [load if load is not None and load.participants == participants.digest else None for load in loads]

    def _update_threads(
        self,
        now: int,
        elapsed: int,
        threads: float,
        fleet: View,
        fresh: Mapping[Name, records.Load],
        peer_loads: list[records.Load | None],
    ) -> None:
        wanted = 0.0
        for key, counter in self.measurement.counters.items():
            counter.mark = self.threshold.marks.get(key, HASH_RANGE) if self.shedding else HASH_RANGE
            wanted += counter.rate * counter.mark / HASH_RANGE * fleet.work.get(key[0], 0.0)
        equal_share = self.participants.equal_share
        need = (self.threads_in_use if self.draining else max(wanted, self.threads_in_use)) / max(threads, 1e-9)
        self._need += (need - self._need) * min(elapsed / NEED_WINDOW, 1)
        others_want_more = any(Quota.wants_more(load.thread_loan, equal_share) for load in fresh.values())
        self.quota.update_need(now, self._need, equal_share, self.participants.digest, others_want_more)
        loans = [load.thread_loan if load is not None else None for load in peer_loads]
        self.thread_share = self.quota.share(equal_share, loans)
        allowed = self.thread_share * threads * min(fleet.capacity_factor, 1.0)
        # Headroom for random peaks, a multiple of the square root of the allowed threads. For cells that are admitted
        # entirely the factor is 2 while a fifth of the fleet's threads is idle, 1 while none is, and 0 while a fifth
        # more than configured is in use. For cells that are admitted in part it is 1 while half is idle, and 0 while
        # none is.
        idle = 1 - fleet.threads_in_use / max(fleet.threads, 1e-9)
        headroom = allowed**0.5
        self.limit = allowed + headroom * min(max(1 + HEADROOM_SLOPE * idle, 0), 2)
        self.partial_cell_limit = allowed + headroom * min(max(2 * idle, 0), 1)

    def _update_retries(
        self,
        now: int,
        elapsed: int,
        fleet: View,
        fresh: Mapping[Name, records.Load],
        peer_loads: list[records.Load | None],
    ) -> None:
        equal_share = self.participants.equal_share
        wanted = self.measurement.rates["retries_wanted"]
        others_want_more = any(Quota.wants_more(load.retry_loan, equal_share) for load in fresh.values())
        self.retry_budget.tick(
            now, elapsed, fleet.served, wanted, equal_share, self.participants.digest, others_want_more
        )
        loans = [load.retry_loan if load is not None else None for load in peer_loads]
        share = self.retry_budget.quota.share(equal_share, loans)
        self.retry_budget.set_share(share, wanted > MINIMUM_RETRY_RATE)

    def record(self, trials: tuple[records.Trial, ...]) -> records.Load:
        """Return the load record of this gateway."""
        cells, unlisted = self.measurement.cells()
        rates = {name: records.bounded(rate * 1000) for name, rate in self.measurement.rates.items()}
        return records.Load(
            cells,
            unlisted,
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
        """Return the gauges by name; `component` exports them with the prefix `overload_`."""
        fleet = self.view
        return {
            "on": float(self.threshold.active),
            "place": self.threshold.admitted_share,  # fraction of the demand above the threshold
            "moves": float(self.threshold.moves),
            "share": self.thread_share,
            "even": self.participants.equal_share,
            "counted": float(len(self.participants.counted)),
            "silent": float(len(self.participants.unresponsive)),
            "majority": float(self.participants.majority),
            "capacity": fleet.capacity if fleet else 0.0,
            "hand": fleet.threads_in_use if fleet else 0.0,  # threads in use by the fleet
            "demand": sum(cell.threads for cell in fleet.demand.values()) if fleet else 0.0,
            "room": self.measurement.capacity_factor,
            "tokens": self.retry_budget.available,
            "tokens_rate": self.retry_budget.rate,  # retries per second
            "back_ms": self.backoff.retry_after / MS,
            "refused": self.measurement.rates["rejected"],  # requests per second
            "shed_version": float(self.policy.version),
        }
