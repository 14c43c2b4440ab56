"""Which queries are rejected at once: rate windows, and the thread quota of this gateway. Times: microseconds."""

import math
from collections import deque

from rackhub import interface as t
from rackhub.policy.context import RouterContext
from rackhub.policy.load import LoadEstimator
from rackhub.policy.slow_start import SlowStart
from rackhub.policy.state import QueryState, TenantState, drop_until
from rackhub.policy.statistics import LATENCY_SAMPLES, SECOND
from rackhub.policy.usage import ResourceUsage

RATE_WINDOWS = (SECOND, 5 * SECOND, 20 * SECOND)
RATE_MULTIPLE = 2  # queries admitted in a window, over what the whole quota can run in it

THREADS_PER_CORE = 1.5  # of the quota
QUOTA_GROWTH = 1.25  # room above the peak while there is no overload
QUOTA_DECAY = 0.9  # by which an unused quota falls in each periodic update
QUOTA_REDUCTION = 0.12  # fraction by which an excess of 1 reduces the quota in each periodic update
MIN_EXCESS, MAX_EXCESS = 0.2, 1  # excess counted in a reduction

MAX_CLASS_MULTIPLE = 1.4  # of the quota, for classes of high value for their work
CLASS_MULTIPLE_STEP = 0.4  # added by each multiple of the lowest value density
LOW_ADMISSION_RATE = 0.7  # a class of which less is admitted gets more room
ADMISSION_SAMPLES = 50  # queries that a class's admission rate is averaged over
MAX_SMALL_QUERY_MULTIPLE = 1.2  # of the quota, for the small queries of a class
TENANT_SPLIT = 0.9  # of its part of the quota that a tenant may always use

MIN_SHARE = 1e-9  # a share of 0 must not divide by 0


class AdmissionController:
    """Admits queries by tenant and class; shrinks and grows this gateway's thread quota with the load."""

    def __init__(
        self, context: RouterContext, usage: ResourceUsage, load: LoadEstimator, slow_start: SlowStart
    ) -> None:
        self.context = context
        self.usage = usage
        self.load = load
        self.slow_start = slow_start
        self.thread_quota = 0.0
        self.equal_share = 0.0  # threads; this gateway's share if all are equally busy
        self.tenants = {entry.name: TenantState(entry.quota_fraction) for entry in context.settings.tenants}

    @property
    def limit(self) -> float:
        """Threads that this gateway may use under overload."""
        return max(self.thread_quota, self.equal_share)

    def tenant(self, name: str) -> TenantState:
        """The state of a tenant, which need not be configured."""
        if (tenant := self.tenants.get(name)) is None:
            tenant = self.tenants[name] = TenantState(0.0)
        return tenant

    def update_equal_share(self) -> None:
        """Recompute the equal share; the quota falls along with it at once."""
        engines = self.context.engines.values()
        cores = sum(engine.cores * self.slow_start.capacity(engine) for engine in engines if engine.ready)
        previous = self.equal_share
        self.equal_share = THREADS_PER_CORE * cores / self.context.gateway_count
        self.thread_quota *= min(self.equal_share / max(previous, MIN_SHARE), 1)

    def update_quota(self) -> None:
        """Adjust the quota to the load and the recent peak.

        Under overload it falls from the peak step by step, not at once to the equal share: busy gateways would reject
        what others leave idle.
        """
        if self.load.overloaded:
            excess = min(max(self.load.excess, MIN_EXCESS), MAX_EXCESS)
            quota = min(self.thread_quota, self.usage.peak_threads) * (1 - QUOTA_REDUCTION * excess)
        else:
            quota = max(self.usage.peak_threads * QUOTA_GROWTH, self.thread_quota * QUOTA_DECAY)
        self.thread_quota = max(quota, self.equal_share)
        self.usage.peak_threads = self.usage.threads

    def backoff(self, query: QueryState) -> float | None:
        """None if the query is admitted, else how long it should stay away."""
        admission = query.event.admission
        if admission < t.Admission.UNDECIDED:
            return self.context.allocation.minimum_backoff
        if not query.event.tenant:
            return None
        limit = self.limit
        admitted_at = query.tenant.admitted_at[query.statistics.settings.name]
        if (backoff := self._rate_backoff(query, admitted_at, limit)) is not None:
            return backoff
        if self.load.overloaded and admission < t.Admission.ADMITTED and not self.fits(query, limit):
            threads = query.statistics.settings.threads
            excess_threads = max(self.usage.threads - limit + threads, 1)
            return query.statistics.mean_latency * excess_threads / max(self.usage.threads, 1)
        admitted_at.append(self.context.now)
        return None

    def fits(self, query: QueryState, limit: float) -> bool:
        """Whether the threads of a query fit under `limit`, which any tenant may fill.

        When it is full, a tenant over its part of it yields. What fits in part is admitted by chance.
        """
        tenant = query.tenant
        threads = query.statistics.settings.threads
        limit = self._query_limit(query, limit)
        if self.usage.threads + threads * self.context.random.random() <= limit:
            return True
        active = [other for other in self.tenants.values() if other.threads or other is tenant]
        total = sum(other.quota_fraction or 1.0 for other in active)
        split = limit * (tenant.quota_fraction or 1.0) / total
        return len(active) > 1 and tenant.threads + threads <= split * TENANT_SPLIT

    def record_admission(self, query: QueryState, admitted: bool) -> None:
        """Count whether a query of this class was admitted."""
        statistics = query.statistics
        statistics.admission_rate += (admitted - statistics.admission_rate) / ADMISSION_SAMPLES

    def _rate_backoff(self, query: QueryState, admitted_at: deque[int], limit: float) -> float | None:
        """How long until the rate windows have room again; None if they have."""
        now = self.context.now
        drop_until(admitted_at, now - RATE_WINDOWS[-1])
        statistics = query.statistics
        if statistics.responses <= LATENCY_SAMPLES:  # the mean is still a guess
            return None
        thread_time = statistics.mean_latency * statistics.settings.threads
        for window in RATE_WINDOWS:
            maximum = max(int(RATE_MULTIPLE * limit * window / thread_time), 1)
            if len(admitted_at) >= maximum and admitted_at[-maximum] > now - window:
                return admitted_at[-maximum] + window - now
        return None

    def _query_limit(self, query: QueryState, limit: float) -> float:
        """The limit for one query: more for valuable classes and small queries, and room for chance."""
        statistics = query.statistics
        lowest_density = min(other.value_density for other in self.context.classes.values())
        ratio = statistics.value_density / lowest_density
        limit += math.sqrt(self.equal_share) * (1 - min(max(self.load.excess, 0), 1))
        multiple = 1 + (ratio - 1) * CLASS_MULTIPLE_STEP + max(LOW_ADMISSION_RATE - statistics.admission_rate, 0)
        limit *= min(MAX_CLASS_MULTIPLE, multiple)
        limit *= min(query.relative_size**-0.5, MAX_SMALL_QUERY_MULTIPLE)
        return limit
