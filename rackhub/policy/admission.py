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
RATE_MULTIPLE = 2  # maximum queries per rate window, as a multiple of those that the limit's threads can execute

THREADS_PER_CORE = 1.5  # threads per core that the fleet allocates to its gateways
QUOTA_GROWTH = 1.25  # quota as a multiple of the recent peak while there is no overload
QUOTA_DECAY = 0.9  # factor on an unused quota in each periodic update
QUOTA_REDUCTION = 0.12  # fraction by which each periodic update reduces the quota at an excess of 1
MIN_EXCESS, MAX_EXCESS = 0.2, 1  # bounds of the excess (see `LoadEstimator`) that a reduction uses

MAX_CLASS_MULTIPLE = 1.4  # maximum factor on the limit for value density and low admission rate of a class
CLASS_MULTIPLE_STEP = 0.4  # increase of that factor per unit of the ratio of the value density to the lowest one
LOW_ADMISSION_RATE = 0.7  # admission rate below which the factor on the limit of a class is raised
ADMISSION_SAMPLES = 50  # queries over which the admission rate of a class is averaged
MAX_SMALL_QUERY_MULTIPLE = 1.2  # maximum factor on the limit for small queries
GUARANTEED_TENANT_FRACTION = 0.9  # fraction of its part of the limit that a tenant may use when the limit is reached

MIN_SHARE = 1e-9  # lower bound of a share, against division by zero


class AdmissionController:
    """Admits or rejects queries by tenant and class, and adapts this gateway's thread quota to the load.

    The fleet allocates threads to each gateway, by default in equal shares. The quota follows the load, and each update
    raises it to at least the allocated threads. The limit is the larger of both.
    """

    def __init__(
        self, context: RouterContext, usage: ResourceUsage, load: LoadEstimator, slow_start: SlowStart
    ) -> None:
        self.context = context
        self.usage = usage
        self.load = load
        self.slow_start = slow_start
        self.thread_quota = 0.0
        self.allocated_threads = 0.0  # threads of the fleet that are allocated to this gateway
        self.tenants = {entry.name: TenantState(entry.quota_fraction) for entry in context.settings.tenants}

    @property
    def limit(self) -> float:
        """Threads that this gateway may use while the fleet is overloaded."""
        return max(self.thread_quota, self.allocated_threads)

    def tenant(self, name: str) -> TenantState:
        """Return the state of a tenant; a tenant that is not configured gets a new state."""
        if (tenant := self.tenants.get(name)) is None:
            tenant = self.tenants[name] = TenantState(0.0)
        return tenant

    def update_allocated_threads(self) -> None:
        """Recompute the allocated threads. If they decrease, the quota is reduced in proportion."""
        engines = self.context.engines.values()
        cores = sum(engine.cores * self.slow_start.capacity(engine) for engine in engines if engine.ready)
        previous = self.allocated_threads
        self.allocated_threads = THREADS_PER_CORE * cores / self.context.gateway_count
        self.thread_quota *= min(self.allocated_threads / max(previous, MIN_SHARE), 1)

    def update_quota(self) -> None:
        """Adapt the quota to the load and to the peak of threads in use since the last update.

        Under overload the quota is reduced step by step. If it fell to the allocated threads at once, busy gateways
        would reject queries while other gateways leave a part of theirs unused.
        """
        if self.load.overloaded:
            excess = min(max(self.load.excess, MIN_EXCESS), MAX_EXCESS)
            quota = min(self.thread_quota, self.usage.peak_threads) * (1 - QUOTA_REDUCTION * excess)
        else:
            quota = max(self.usage.peak_threads * QUOTA_GROWTH, self.thread_quota * QUOTA_DECAY)
        self.thread_quota = max(quota, self.allocated_threads)
        self.usage.peak_threads = self.usage.threads

    def admit(self, query: QueryState) -> float | None:
        """Admit a query and return None, or return the backoff with which it is to be rejected.

        A query that the fleet sheds is rejected. A query without a tenant is admitted without further checks. A full
        rate window rejects. Under overload, a query that the fleet has not admitted must also fit under the limit; if
        not, its backoff is the mean latency times the fraction of the threads in use that exceeds the limit.
        """
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
        """Return whether a query fits under `limit`, which is first adjusted to its class and size.

        If only some of its threads fit, the answer is random, with a probability in proportion to them. A query that
        does not fit is still accepted if another tenant is active and its own tenant uses less than
        `GUARANTEED_TENANT_FRACTION` of its part of the limit. A tenant without a configured quota counts as 1.
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
        """Return the time until the shortest full rate window has capacity again, or None if no window is full.

        The windows apply per tenant and class.
        """
        now = self.context.now
        remove_expired(admitted_at, now - RATE_WINDOWS[-1])
        statistics = query.statistics
        if statistics.responses <= LATENCY_SAMPLES:  # The mean latency is not reliable yet.
            return None
        thread_time = statistics.mean_latency * statistics.settings.threads
        for window in RATE_WINDOWS:
            maximum = max(int(RATE_MULTIPLE * limit * window / thread_time), 1)
            if len(admitted_at) >= maximum and admitted_at[-maximum] > now - window:
                return admitted_at[-maximum] + window - now
        return None

    def _query_limit(self, query: QueryState, limit: float) -> float:
        """Return the limit adjusted to a query.

        A margin of the square root of the allocated threads covers random variation of the threads in use; it shrinks
        to 0 as the excess reaches 1. Two factors follow: the value density (priority weight per work) and admission
        rate of the class, and the size of the query, which raises the limit of small queries and lowers that of large
        ones.
        """
        statistics = query.statistics
        lowest_density = min(other.value_density for other in self.context.classes.values())
        ratio = statistics.value_density / lowest_density
        limit += math.sqrt(self.allocated_threads) * (1 - min(max(self.load.excess, 0), 1))
        multiple = 1 + (ratio - 1) * CLASS_MULTIPLE_STEP + max(LOW_ADMISSION_RATE - statistics.admission_rate, 0)
        limit *= min(MAX_CLASS_MULTIPLE, multiple)
        limit *= min(query.relative_size**-0.5, MAX_SMALL_QUERY_MULTIPLE)
        return limit
