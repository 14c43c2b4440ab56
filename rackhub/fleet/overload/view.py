"""The fleet as the load records together describe it: demand by cell, capacity, and rates.

A pure function of the records and of the settings, which are the same at all gateways.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from rackhub import interface as t
from rackhub.fleet.overload.load_measurement import ClassLoad
from rackhub.fleet.overload.records import FRACTION_ONE, Load, code
from rackhub.fleet.overload.shedding_threshold import Demand, Key

THREADS_PER_CORE = 1.5  # as in the decision module
DEFAULT_CORES = 8  # of an engine kind without configured cores
BACKLOG_WEIGHT = 0.2  # reduction of the capacity per thread in use beyond it
# bounds on one member, so that false records can't starve the others
MAXIMUM_MEMBER_DEMAND = 4.0  # of the fleet's threads, for its demand and its threads in use
MAXIMUM_REST = 1.0  # unlisted requests per listed request
MINIMUM_CAPACITY = 0.25  # of the configured threads
PRIOR_WEIGHT = 3.0  # completed attempts that this gateway's own measurement of a class counts for


class View(NamedTuple):
    """The state of the fleet; rates are per second, work is in thread-seconds."""

    demand: dict[Key, Demand]
    capacity: float  # threads that the fleet may run
    threads: float  # configured, of the reachable gateways
    threads_in_use: float
    served: float
    rejected: float
    retries: float
    retries_wanted: float
    retry_work: float  # rejected work that may not have returned yet
    capacity_factor: float  # usable fraction of the configured threads
    work: dict[str, float]  # of one request of each class


class Codes:
    """The names by their codes, from the settings: every class with every tenant."""

    def __init__(self, settings: t.Settings):
        tenants = [tenant.name for tenant in settings.tenants] + [""]
        self.cells = {code(cls.name, tenant): (cls.name, tenant) for cls in settings.classes for tenant in tenants}
        self.classes = {code(cls.name): cls.name for cls in settings.classes}


def view(
    loads: Iterable[Load],
    codes: Codes,
    classes: Mapping[str, ClassLoad],
    multipliers: Mapping[Key, float],
    threads: float,
) -> View:
    """Return the view of the fleet.

    `threads` is the number that all listed engines may run; `multipliers` are those of the shedding policy.
    """
    loads = list(loads)
    work = _work_per_request(loads, codes, classes)
    maximum = MAXIMUM_MEMBER_DEMAND * max(threads, 1.0)
    rates = _request_rates(loads, codes, work, maximum)
    demand = {
        key: Demand(
            rate * work[key[0]],
            classes[key[0]].settings.priority_weight * multipliers.get(key, 1.0) / max(work[key[0]], 1e-9),
        )
        for key, rate in rates.items()
    }
    in_use = [min(load.threads_in_use / 1000, maximum) for load in loads]
    threads_in_use = sum(in_use)
    capacity_factor = _capacity_factor(loads, in_use)
    capacity = threads * capacity_factor
    backlog = max(threads_in_use - capacity, 0.0)
    capacity = max(capacity - BACKLOG_WEIGHT * backlog, MINIMUM_CAPACITY * threads)
    sums = {
        name: sum(getattr(load, name) for load in loads) / 1000
        for name in ("served", "rejected", "retries", "retries_wanted", "retry_work")
    }
    return View(demand, capacity, threads, threads_in_use, **sums, capacity_factor=capacity_factor, work=work)


def _work_per_request(loads: list[Load], codes: Codes, classes: Mapping[str, ClassLoad]) -> dict[str, float]:
    """Return the thread-seconds of one request of each class, weighted by the attempts that completed."""
    completed = dict.fromkeys(classes, 0.0)
    thread_time = dict.fromkeys(classes, 0.0)
    for load in loads:
        for item in load.work:
            if (cls := codes.classes.get(item.code)) is not None:
                completed[cls] += item.completed / 1000
                thread_time[cls] += item.thread_time / 1000
    work = {}
    for cls, measured in classes.items():
        prior = PRIOR_WEIGHT * (completed[cls] < PRIOR_WEIGHT)
        # more threads than cores run at once, so each gets its work done more slowly than alone
        total = thread_time[cls] + PRIOR_WEIGHT * measured.work_per_request() * (completed[cls] < PRIOR_WEIGHT)
        work[cls] = THREADS_PER_CORE * total / (completed[cls] + prior)
    return work


def _request_rates(loads: list[Load], codes: Codes, work: Mapping[str, float], maximum: float) -> dict[Key, float]:
    """Return the requests per second of each cell, with the demand of each member bounded by `maximum` threads."""
    requested: dict[Key, float] = {}
    rest = 0.0
    listed = 0.0
    for load in loads:
        cells = [(codes.cells.get(cell.code), cell.requested) for cell in load.cells]
        wanted = sum(rate * work[key[0]] for key, rate in cells if key is not None) / 1000
        fraction = min(maximum / wanted, 1.0) if wanted > 0 else 1.0
        member_listed = sum(rate for key, rate in cells if key is not None)
        rest += min(load.rest, MAXIMUM_REST * member_listed) * fraction
        for key, rate in cells:
            if key is not None:
                requested[key] = requested.get(key, 0.0) + rate * fraction / 1000
                listed += rate * fraction
            else:  # the settings of the members differ for a while
                rest += min(rate, MAXIMUM_REST * member_listed) * fraction
    scale = 1 + rest / listed if listed else 1.0  # unlisted requests count as distributed like the listed ones
    return {key: rate * scale for key, rate in requested.items() if rate > 0}


def _capacity_factor(loads: list[Load], in_use: list[float]) -> float:
    """Return the mean capacity factor of the members, weighted by their threads in use."""
    weights = sum(in_use) + len(in_use)
    total = sum(
        (threads + 1) * min(load.capacity_factor, 4 * FRACTION_ONE) for threads, load in zip(in_use, loads, strict=True)
    )
    return total / FRACTION_ONE / weights if weights else 1.0


def listed_threads(entries: Iterable[t.EngineEntry], settings: t.Settings, now: int) -> float:
    """Return the threads that the listed engines may run: a number per core, less during slow start."""
    initial = settings.slow_start_initial_capacity
    cores = 0.0
    for entry in entries:
        age = max(now - entry.started_at, 0)
        warm = min(initial + (1 - initial) * age / max(settings.slow_start_duration, 1), 1)
        cores += settings.kind_cores.get(entry.kind, DEFAULT_CORES) * warm
    return THREADS_PER_CORE * cores
