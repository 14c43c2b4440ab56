"""What the records together say: the fleet's demand by cell, what it can do, and what it serves.

A pure function of the records that are held, and of what all gateways are told alike.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from rackhub import interface as t
from rackhub.fleet.overload.load_measurement import ClassLoad
from rackhub.fleet.overload.records import PART, Load, code
from rackhub.fleet.overload.shedding_threshold import Demand, Key

THREADS_PER_CORE, CORES_UNTOLD = 1.5, 8  # as the module has them
BACKLOG = 0.2  # of what is held over what the fleet can do, that its capacity is counted less by
MOST, REST = 4.0, 1.0  # of the fleet's threads that one member's demand, and what it holds, can be; the rest by the
# listed: figures that can be told and can't be true must not shut the others out
LEAST = 0.25  # of the told threads that are counted at the least
SURE = 3.0  # ended attempts that what this gateway itself has learned of a class weighs


class View(NamedTuple):
    demand: dict[Key, Demand]
    capacity: float  # threads that the fleet may run
    threads: float  # as told, of those that are heard
    threads_in_use: float  # that it runs
    served: float  # requests in a second, as are:
    rejected: float
    retries: float
    retries_wanted: float
    retry_work: float  # threads' work, in thread-seconds, that was told to come back
    capacity_factor: float  # what pressure makes of the told threads
    work: dict[str, float]  # thread-seconds that a request of each class takes


class Codes:
    """The names behind the codes, from the settings: every class by every tenant."""

    def __init__(self, settings: t.Settings):
        tenants = [told.name for told in settings.tenants] + [""]
        self.cells = {code(cls.name, tenant): (cls.name, tenant) for cls in settings.classes for tenant in tenants}
        self.classes = {code(cls.name): cls.name for cls in settings.classes}


def view(
    loads: Iterable[Load],
    codes: Codes,
    kinds: Mapping[str, ClassLoad],
    worth: Mapping[Key, float],
    threads: float,
) -> View:
    """`threads`: what the told engines may run; `worth`: the operator's multipliers, where there are any."""
    loads = list(loads)
    # what the told threads hold at once they get done more slowly than one by one: cores are what works
    ended, held = dict.fromkeys(kinds, 0.0), dict.fromkeys(kinds, 0.0)
    for load in loads:
        for told in load.work:
            if (cls := codes.classes.get(told.code)) is not None:
                ended[cls] += told.completed / 1000
                held[cls] += told.thread_time / 1000
    work = {
        cls: THREADS_PER_CORE
        * (held[cls] + SURE * kind.work_per_request() * (ended[cls] < SURE))
        / (ended[cls] + SURE * (ended[cls] < SURE))
        for cls, kind in kinds.items()
    }
    asked: dict[Key, float] = {}
    rest = listed = 0.0
    most = MOST * max(threads, 1.0)
    for load in loads:
        known = [(codes.cells.get(cell.code), cell.requested) for cell in load.cells]
        wanted = sum(rate * work[key[0]] for key, rate in known if key is not None) / 1000
        part = min(most / wanted, 1.0) if wanted > 0 else 1.0
        of_listed = sum(rate for key, rate in known if key is not None)
        rest += min(load.rest, REST * of_listed) * part
        for key, rate in known:
            if key is not None:
                asked[key] = asked.get(key, 0.0) + rate * part / 1000
                listed += rate * part
            else:  # settings differ, for a while
                rest += min(rate, REST * of_listed) * part
    grown = 1 + rest / listed if listed else 1.0  # what is not told cell by cell is taken to be like the rest
    demand = {
        key: Demand(
            rate * grown * work[key[0]],
            kinds[key[0]].settings.priority_weight * worth.get(key, 1.0) / max(work[key[0]], 1e-9),
        )
        for key, rate in asked.items()
        if rate > 0
    }
    hands = [min(load.threads_in_use / 1000, most) for load in loads]
    hand, weights = sum(hands), sum(hands) + len(hands)
    felt = sum((held + 1) * min(load.capacity_factor, 4 * PART) for held, load in zip(hands, loads, strict=True))
    room = felt / PART / weights if weights else 1.0
    capacity = threads * room
    capacity = max(capacity - BACKLOG * max(hand - capacity, 0.0), LEAST * threads)
    sums = {
        name: sum(getattr(load, name) for load in loads) / 1000
        for name in ("served", "rejected", "retries", "retries_wanted", "retry_work")
    }
    return View(demand, capacity, threads, hand, **sums, capacity_factor=room, work=work)


def told_threads(entries: Iterable[t.EngineEntry], settings: t.Settings, now: int) -> float:
    """What the listed engines may run, by the module's measure: threads for each core, less while an engine is cold."""
    cores = 0.0
    for entry in entries:
        age = max(now - entry.started_at, 0)
        warm = min(
            settings.slow_start_initial_capacity
            + (1 - settings.slow_start_initial_capacity) * age / max(settings.slow_start_duration, 1),
            1,
        )
        cores += settings.kind_cores.get(entry.kind, CORES_UNTOLD) * warm
    return THREADS_PER_CORE * cores
