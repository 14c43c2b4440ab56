"""Admission control: rate windows and the thread quota of this gateway. All times are microseconds."""

import math
from collections import deque

from rackhub import interface
from rackhub.policy.context import RouterContext
from rackhub.policy.load import LoadEstimator
from rackhub.policy.slow_start import SlowStart
from rackhub.policy.state import QueryState, TenantState, remove_expired
from rackhub.policy.statistics import LATENCY_SAMPLES, SECOND
from rackhub.policy.usage import ResourceUsage

RATE_WINDOWS = (SECOND, 5 * SECOND, 20 * SECOND)
RATE_MULTIPLE = 2  # maximum queries per window, as a multiple of those that the thread limit can execute in it

THREADS_PER_CORE = 1.5  # threads per core in the equal share
QUOTA_GROWTH = 1.25  # quota as a multiple of the recent peak while there is no overload
QUOTA_DECAY = 0.9  # factor on an unused quota in each periodic update
QUOTA_REDUCTION = 0.12  # fraction of the quota that an excess of 1 removes in each periodic update
MIN_EXCESS, MAX_EXCESS = 0.2, 1  # bounds of the excess that a reduction uses

MAX_CLASS_MULTIPLE = 1.4  # maximum limit of a class with a high value density, as a multiple of the quota
CLASS_MULTIPLE_STEP = 0.4  # increase of that multiple per multiple of the lowest value density
LOW_ADMISSION_RATE = 0.7  # admission rate below which the limit of a class is raised
ADMISSION_SAMPLES = 50  # queries over which the admission rate of a class is averaged
MAX_SMALL_QUERY_MULTIPLE = 1.2  # maximum limit of small queries, as a multiple of the limit of their class
GUARANTEED_TENANT_FRACTION = 0.9  # fraction of its part of the limit that a tenant may always use

MIN_SHARE = 1e-9  # lower bound of a share, against division by zero


class AdmissionController:
    """Admits or rejects queries by tenant and class, and adapts this gateway's thread quota to the load."""

    def __init__(
        self, context: RouterContext, usage: ResourceUsage, load: LoadEstimator, slow_start: SlowStart
    ) -> None:
        self.context = context
        self.usage = usage
        self.load = load
        self.slow_start = slow_start
        self.thread_quota = 0.0
        self.equal_share = 0.0  # threads that this gateway may use if all gateways are equally busy
        self.tenants = {entry.name: TenantState(entry.quota_fraction) for entry in context.settings.tenants}

    @property
    def limit(self) -> float:
        """Threads that this gateway may use while the fleet is overloaded."""
        return max(self.thread_quota, self.equal_share)

    def tenant(self, name: str) -> TenantState:
        """Return the state of a tenant; a tenant that is not configured gets a new state."""
        if (tenant := self.tenants.get(name)) is None:
            tenant = self.tenants[name] = TenantState(0.0)
        return tenant

    def update_equal_share(self) -> None:
        """Recompute the equal share. If it falls, the quota is reduced in proportion."""
        engines = self.context.engines.values()
        cores = sum(engine.cores * self.slow_start.capacity(engine) for engine in engines if engine.ready)
        previous = self.equal_share
        self.equal_share = THREADS_PER_CORE * cores / self.context.gateway_count
        self.thread_quota *= min(self.equal_share / max(previous, MIN_SHARE), 1)

    def update_quota(self) -> None:
        """Adapt the quota to the load and to the recent peak of threads in use.

        Under overload the quota falls from the peak in steps. A fall to the equal share at once would make busy
        gateways reject queries while other gateways leave a part of their shares unused.
        """
        if self.load.overloaded:
            excess = min(max(self.load.excess, MIN_EXCESS), MAX_EXCESS)
            quota = min(self.thread_quota, self.usage.peak_threads) * (1 - QUOTA_REDUCTION * excess)
        else:
            quota = max(self.usage.peak_threads * QUOTA_GROWTH, self.thread_quota * QUOTA_DECAY)
        self.thread_quota = max(quota, self.equal_share)
        self.usage.peak_threads = self.usage.threads

    def admit(self, query: QueryState) -> float | None:
        """Admit a query and return None, or return the backoff with which it is to be rejected."""
        admission = query.event.admission
        if admission < interface.Admission.UNDECIDED:
            return self.context.allocation.minimum_backoff
        if not query.event.tenant:
            return None
        limit = self.limit
        admitted_at = query.tenant.admitted_at[query.statistics.settings.name]
        if (backoff := self._rate_backoff(query, admitted_at, limit)) is not None:
            return backoff
        if self.load.overloaded and admission < interface.Admission.ADMITTED and not self.fits(query, limit):
            threads = query.statistics.settings.threads
            excess_threads = max(self.usage.threads - limit + threads, 1)
            return query.statistics.mean_latency * excess_threads / max(self.usage.threads, 1)
        admitted_at.append(self.context.now)
        return None

    def fits(self, query: QueryState, limit: float) -> bool:
        """Return whether the threads of a query fit under `limit`.

        Any tenant may use all of the limit. Once it is reached, only tenants below their part of it still fit. A query
        of which some threads fit is accepted with a probability in proportion to them.
        """
        tenant = query.tenant
        threads = query.statistics.settings.threads
        limit = self._query_limit(query, limit)
        if self.usage.threads + threads * self.context.random.random() <= limit:
            return True
        active = [other for other in self.tenants.values() if other.threads or other is tenant]
        total = sum(other.quota_fraction or 1.0 for other in active)
        tenant_limit = limit * (tenant.quota_fraction or 1.0) / total
        return len(active) > 1 and tenant.threads + threads <= tenant_limit * GUARANTEED_TENANT_FRACTION

    def record_admission(self, query: QueryState, admitted: bool) -> None:
        """Update the admission rate of the query's class."""
        statistics = query.statistics
        statistics.admission_rate += (admitted - statistics.admission_rate) / ADMISSION_SAMPLES

    def _rate_backoff(self, query: QueryState, admitted_at: deque[int], limit: float) -> float | None:
        """Return the time until the rate windows have capacity again, or None if they have capacity now."""
        now = self.context.now
        remove_expired(admitted_at, now - RATE_WINDOWS[-1])
        statistics = query.statistics
        if statistics.responses <= LATENCY_SAMPLES:  # The mean latency is still an initial guess.
            return None
        thread_time = statistics.mean_latency * statistics.settings.threads
        for window in RATE_WINDOWS:
            maximum = max(int(RATE_MULTIPLE * limit * window / thread_time), 1)
            if len(admitted_at) >= maximum and admitted_at[-maximum] > now - window:
                return admitted_at[-maximum] + window - now
        return None

    def _query_limit(self, query: QueryState, limit: float) -> float:
        """Return the limit for a query: higher for valuable classes and small queries, plus a margin for variation."""
        statistics = query.statistics
        lowest_density = min(other.value_density for other in self.context.classes.values())
        ratio = statistics.value_density / lowest_density
        limit += math.sqrt(self.equal_share) * (1 - min(max(self.load.excess, 0), 1))
        multiple = 1 + (ratio - 1) * CLASS_MULTIPLE_STEP + max(LOW_ADMISSION_RATE - statistics.admission_rate, 0)
        limit *= min(MAX_CLASS_MULTIPLE, multiple)
        limit *= min(query.relative_size**-0.5, MAX_SMALL_QUERY_MULTIPLE)
        return limit
