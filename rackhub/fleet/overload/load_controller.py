"""What one gateway makes of the records that it holds: the level, its part of threads and attempts, its back-off.

A pure core: it is told of its own requests as they come, and once a tick of the members and their records.
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

MS, SECOND = 1_000, 1_000_000
HOLD = 1 * SECOND  # past the age at which a record counts, that needs are told by their worse end
NEED = 2 * SECOND  # over which the own need is smoothed: what scatters is lost twice, to others and to itself
FULL = 1 * SECOND  # over which the part of the threads that is held is smoothed for the level: a moment is no overload
CHANCE = 5  # how soon a gateway's limit widens to twice the room for chance, as the fleet is not full, or loses it


class LoadController:
    """`keep`: for how long what a gateway that is gone sent may run, microseconds."""

    def __init__(self, me: Name, settings: t.Settings, told: FleetSettings, keep: int, seed: int):
        fresh = told.records_ms * MS
        self.participants = Participants(me, settings.gateways, keep, fresh)
        self.measurement, self.threshold, self.policy = (
            LoadMeasurement(settings),
            SheddingThreshold(),
            SheddingPolicy(settings),
        )
        self.quota = Quota(fresh + HOLD)
        self.retry_budget = RetryBudget(settings, fresh + HOLD, seed ^ records.code(me, "tokens"))
        self.backoff = Backoff(settings.max_retry_after, seed ^ records.code(me, "back"))
        self._codes, self._guard = Codes(settings), told.worth_guard
        self._fractions = {tenant.name: tenant.quota_fraction for tenant in settings.tenants}
        self.view: View | None = None
        self.threads_in_use, self.thread_share = (
            0,
            0.0,
        )  # threads held here; of what the fleet may run, this gateway's part
        self.limit = self.threshold_limit = 0.0  # threads that it may hold; for the cell at the level
        self.shedding = self.draining = False  # `on`: something is turned away
        self._need = self._full = 0.0

    # ---- one request

    def request_received(self, cls: str, tenant: str, statement: bytes, estimate: int = 0) -> int:
        """1 above the level, -1 below it or over this gateway's part, 0 no level holds. `estimate` in microseconds."""
        if estimate and cls in self.measurement.classes:
            self.measurement.classes[cls].add_estimate(estimate)
        row = self.measurement.counters.get((cls, tenant)) or self.measurement.counter(cls, tenant)
        row.requested += 1
        mark = row.mark
        if mark < HASH_RANGE and (not mark or statement_hash(statement, row.seed) >= mark):
            return -1
        if self.shedding and self.threads_in_use >= (self.limit if mark == HASH_RANGE else self.threshold_limit):
            row.requested -= 1  # no more runs here than this gateway's part, and it may be taken elsewhere
            row.over_limit += 1
            return -1
        row.admitted_count += 1
        return 1 if self.shedding else 0

    def attempt_sent(self, cls: str, further: bool) -> None:
        self.threads_in_use += self.measurement.threads.get(cls, 1)
        if further:
            self.measurement.retries += 1
            self.measurement.retries_wanted += 1
            self.retry_budget.spend()

    def attempt_completed(self, cls: str, reason: str, elapsed: int) -> None:
        self.threads_in_use = max(self.threads_in_use - self.measurement.threads.get(cls, 1), 0)
        self.measurement.attempt_completed(cls, reason, elapsed)

    def request_completed(self, cls: str, how: str, tries: int) -> None:
        if how == "served":
            self.measurement.served += 1
        elif how in ("refused", "failed"):
            self.measurement.retries_wanted += tries > 0
            if how == "refused":
                self.measurement.rejected += 1
                self.backoff.add_rejected(self.view.work.get(cls, 0.0) if self.view else 0.0)

    # ---- the tick

    def tick(
        self,
        now: int,
        took: int,
        threads: float,
        living: frozenset[Name],
        heard: frozenset[Name],
        held: Mapping[Name, Record],
        loads: Mapping[Name, records.Load],
    ) -> None:
        """`took` microseconds since the last; `threads`: what all told engines may run; `held`, `loads`: the others'
        records, and what they say."""
        who, full = (
            self.participants,
            self.view.threads_in_use / self.view.threads if self.view and self.view.threads else 0.0,
        )
        self.measurement.tick(took, self.shedding, full)
        who.update(now, living, heard, {name: held[name] for name in loads})
        fresh = {name: loads[name] for name in who.counted - who.silent - {who.local_name}}
        ours = threads * who.equal_share * (len(fresh) + 1)  # the rest is of those that are not heard
        self.view = seen = view(
            [self.record(()), *fresh.values()], self._codes, self.measurement.classes, self.policy.worth, ours
        )
        self._full += (seen.threads_in_use / max(seen.threads, 1e-9) - self._full) * min(took / FULL, 1)
        self.threshold.update(seen.demand, self._fractions, seen.capacity, self._guard, self._full)
        self.shedding = bool(self.threshold.marks)
        self._divide(now, took, threads, seen, fresh)
        demand = sum(cell.threads for cell in seen.demand.values()) * self.threshold.admitted_share
        self.backoff.tick(now, seen.retry_work, seen.capacity, demand)

    def _divide(self, now: int, took: int, threads: float, seen: View, fresh: Mapping[Name, records.Load]) -> None:
        """The own part of threads and of further attempts."""
        who, wanted = self.participants, 0.0
        for key, row in self.measurement.counters.items():
            row.mark = self.threshold.marks.get(key, HASH_RANGE) if self.shedding else HASH_RANGE
            wanted += row.rate * row.mark / HASH_RANGE * seen.work.get(key[0], 0.0)
        same = [
            fresh[name] if name in fresh and fresh[name].counted == who.digest else None
            for name in sorted(who.counted - {who.local_name})
        ]
        need = (self.threads_in_use if self.draining else max(wanted, self.threads_in_use)) / max(threads, 1e-9)
        self._need += (need - self._need) * min(took / NEED, 1)
        lacking = any(Quota.wants_more(load.share, who.equal_share) for load in fresh.values())
        self.quota.update_need(now, self._need, who.equal_share, who.digest, lacking)
        self.thread_share = self.quota.share(
            who.equal_share, [load.share if load is not None else None for load in same]
        )
        allowed = self.thread_share * threads * min(seen.capacity_factor, 1.0)
        # room for chance, as the module's own, and less the more all hold together; least for the cell at the level
        spare, chance = 1 - seen.threads_in_use / max(seen.threads, 1e-9), allowed**0.5
        self.limit = allowed + chance * min(max(1 + CHANCE * spare, 0), 2)
        self.threshold_limit = allowed + chance * min(max(2 * spare, 0), 1)
        wished = self.measurement.rates["retries_wanted"]
        lacking = any(Quota.wants_more(load.retry_share, who.equal_share) for load in fresh.values())
        self.retry_budget.tick(now, took, seen.served, wished, who.equal_share, who.digest, lacking)
        self.retry_budget.set_share(
            self.retry_budget.quota.share(
                who.equal_share, [load.retry_share if load is not None else None for load in same]
            ),
            wished > 0.01,
        )

    def record(self, trials: tuple[records.Trial, ...]) -> records.Load:
        """What this gateway tells the others."""
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
            records.bounded(self.measurement.capacity_factor * records.PART),
            self.quota.loan(),
            self.retry_budget.quota.loan(),
            trials,
            self.participants.digest,
            self.policy.version,
        )

    def metrics(self) -> dict[str, float]:
        seen = self.view
        return {
            "on": float(self.threshold.active),
            "place": self.threshold.admitted_share,
            "moves": float(self.threshold.moves),
            "share": self.thread_share,
            "even": self.participants.equal_share,
            "counted": float(len(self.participants.counted)),
            "silent": float(len(self.participants.silent)),
            "majority": float(self.participants.majority),
            "capacity": seen.capacity if seen else 0.0,
            "hand": seen.threads_in_use if seen else 0.0,
            "demand": sum(cell.threads for cell in seen.demand.values()) if seen else 0.0,
            "room": self.measurement.capacity_factor,
            "tokens": self.retry_budget.available,
            "tokens_rate": self.retry_budget.rate,
            "back_ms": self.backoff.retry_after / MS,
            "refused": self.measurement.rates["rejected"],
            "shed_version": float(self.policy.version),
        }
