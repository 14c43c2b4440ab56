"""The membership by number of members: memory, CPU, bytes, age of records, and time until all know of a death.

The cores and frames are the real ones; the network and the clock are simulated. Each size runs in a process of its own,
as the largest fleet takes minutes to form.
"""

import os
import statistics
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import msgspec

from rackhub.fleet.members.here import Changed, Effect
from rackhub.fleet.ports import State
from rackhub.trials.fleet.members_wire import Gateway, Wire
from rackhub.trials.fleet.twin import MS, SECOND
from rackhub.trials.scale.measurement import (
    Measurement,
    measured,
    median_ratios,
    reference_seconds,
    resident_bytes,
)

SIZES = (4, 8, 25, 50, 100, 200, 400)
QUICK_SIZES = (4, 6, 8, 10)
PROCESSES = 5
WINDOWS, QUICK_WINDOWS = 3, 1
WINDOW = 2 * SECOND
FORM_AT_MOST = 60 * SECOND
SETTLE = 3 * SECOND  # after all know all
RECORDS_WARM = 6 * SECOND  # of records before they are measured
RECORD_KIND, RECORD_BYTES, RECORD_PERIOD = "demand", 150, SECOND
DEATHS = 3  # at once, but never more than an eighth of all
DEATH_AT_MOST = 90 * SECOND


class Observation(msgspec.Struct):
    """What one size showed; CPU and bytes are for each member and second, CPU also against the reference work."""

    members: int
    formed_seconds: float
    memory: float
    idle_cpu: list[float]
    idle_cpu_relative: list[float]
    idle_bytes: float
    records_cpu: list[float]
    records_cpu_relative: list[float]
    records_bytes: float
    age_median: float  # milliseconds
    age_p99: float
    death_seconds: list[float]  # until the last member holds it gone; empty where that did not come about


class Window(msgspec.Struct):
    cpu: float
    relative: float
    bytes: float


class Fleet:
    """A fleet of members that knows itself whole."""

    def __init__(self, members: int):
        self.members = members
        before = resident_bytes()
        self.wire = Wire(members, seed=1)
        self._gone: dict[str, int] = {}
        self.wire.seen.append(self._saw)
        self.wire.start()
        self.formed_seconds = self._form()
        self.memory = (resident_bytes() - before) / members

    def _saw(self, gateway: Gateway, effect: Effect) -> None:
        if isinstance(effect, Changed) and effect.member.state is State.GONE and not self._up(effect.member.name):
            self._gone[effect.member.name] = self._gone.get(effect.member.name, 0) + 1

    def _up(self, name: str) -> bool:
        return self.wire.gateways[name].up

    def _all_know_all(self) -> bool:
        running = self.wire.running()
        return len(running) == self.members and all(
            len(gateway.core.table.members()) >= self.members - 1 for gateway in running
        )

    def _form(self) -> float:
        """Seconds until all know all."""
        began = self.wire.time.now()
        while not self._all_know_all():
            if self.wire.time.now() - began > FORM_AT_MOST:
                raise AssertionError(f"{self.members} members have not found one another within 60 s")
            self.wire.time.run(SECOND // 2)
        formed = (self.wire.time.now() - began) / SECOND
        self.wire.time.run(SETTLE)
        return formed

    def _sent(self) -> int:
        return sum(gateway.bytes for gateway in self.wire.gateways.values())

    def window(self) -> Window:
        """CPU and bytes of a member in a second of this load."""
        reference = reference_seconds()
        sent, began = self._sent(), time.process_time()
        self.wire.time.run(WINDOW)
        share = self.members * WINDOW / SECOND
        cpu = (time.process_time() - began) / share
        reference = (reference + reference_seconds()) / 2
        return Window(cpu, cpu / reference, (self._sent() - sent) / share)

    def start_records(self) -> None:
        """Each member posts one record a second, at a moment of its own."""

        def post(gateway: Gateway) -> None:
            self.wire.time.later(RECORD_PERIOD, lambda: post(gateway))
            if gateway.up:
                gateway.post(RECORD_KIND, self.wire.random.randbytes(RECORD_BYTES))

        for gateway in self.wire.gateways.values():
            offset = self.wire.random.randrange(RECORD_PERIOD)
            self.wire.time.later(offset, lambda gateway=gateway: post(gateway))  # type: ignore[misc]
        self.wire.time.run(RECORDS_WARM)

    def ages(self) -> list[float]:
        """Of all records that any member holds of another one, in milliseconds, sorted."""
        return sorted(
            record.age / MS
            for gateway in self.wire.running()
            for owner, record in gateway.core.records.read(RECORD_KIND).items()
            if owner != gateway.name
        )

    def deaths(self) -> list[float]:
        """Kill a few at once; seconds until the last of the others holds each gone."""
        count = min(DEATHS, max(self.members // 8, 1))
        victims = [gateway.name for gateway in self.wire.random.sample(self.wire.running(), count)]
        for name in victims:
            self.wire.gateways[name].kill()
        began, found = self.wire.time.now(), dict[str, float]()

        def all_know() -> bool:
            for name in victims:
                if name not in found and self._gone.get(name, 0) >= self.members - count:
                    found[name] = (self.wire.time.now() - began) / SECOND
            return len(found) == len(victims)

        self.wire.time.run(DEATH_AT_MOST, all_know)
        return sorted(found.values())


def observe(members: int, windows: int) -> Observation:
    """All that is measured at one size, in this process."""
    fleet = Fleet(members)
    idle = [fleet.window() for _ in range(windows)]
    deaths = fleet.deaths()
    for gateway in fleet.wire.gateways.values():
        if not gateway.up:
            gateway.start()
    fleet.start_records()
    busy = [fleet.window() for _ in range(windows)]
    ages = fleet.ages()
    return Observation(
        members=members,
        formed_seconds=fleet.formed_seconds,
        memory=fleet.memory,
        idle_cpu=[window.cpu for window in idle],
        idle_cpu_relative=[window.relative for window in idle],
        idle_bytes=statistics.median(window.bytes for window in idle),
        records_cpu=[window.cpu for window in busy],
        records_cpu_relative=[window.relative for window in busy],
        records_bytes=statistics.median(window.bytes for window in busy),
        age_median=ages[len(ages) // 2],
        age_p99=ages[min(len(ages) - 1, len(ages) * 99 // 100)],
        death_seconds=deaths,
    )


def observe_all(sizes: Sequence[int], windows: int) -> list[Observation]:
    """Each size in a process of its own, the largest begun first."""
    processes = min(PROCESSES, len(sizes), os.cpu_count() or 1)
    with ProcessPoolExecutor(processes, get_context("spawn"), max_tasks_per_child=1) as pool:
        largest_first = sorted(sizes, reverse=True)
        observed = list(pool.map(observe, largest_first, [windows] * len(sizes)))
    return sorted(observed, key=lambda observation: observation.members)


def measurements(observed: Sequence[Observation]) -> list[Measurement]:
    sizes = [each.members for each in observed]
    simulated = "real cores and frames, simulated network and clock"
    records = f"one record of {RECORD_BYTES} bytes a second from each member; {simulated}"
    cpu = (
        "process CPU over virtual time, median of the windows; ratios against a fixed piece of work beside each window"
    )

    def one(name: str, unit: str, values: Sequence[float], method: str, ratios: Sequence[float] = ()) -> Measurement:
        return measured(f"members.{name}", unit, "members", sizes, values, method, ratios)

    return [
        one("memory", "KB a member", [each.memory / 1_024 for each in observed], f"resident memory; {simulated}"),
        one(
            "idle_cpu",
            "ms a second",
            [statistics.median(each.idle_cpu) * 1_000 for each in observed],
            f"no records; {simulated}; {cpu}",
            median_ratios([each.idle_cpu_relative for each in observed]),
        ),
        one("idle_bytes", "bytes a second", [each.idle_bytes for each in observed], f"sent, no records; {simulated}"),
        one(
            "records_cpu",
            "ms a second",
            [statistics.median(each.records_cpu) * 1_000 for each in observed],
            f"{records}; {cpu}",
            median_ratios([each.records_cpu_relative for each in observed]),
        ),
        one("records_bytes", "bytes a second", [each.records_bytes for each in observed], f"sent, {records}"),
        one("record_age_median", "ms", [each.age_median for each in observed], records),
        one("record_age_p99", "ms", [each.age_p99 for each in observed], records),
        one(
            "death_known",
            "s",
            [statistics.median(each.death_seconds) for each in observed],
            f"up to {DEATHS} killed at once: until the last of the others holds each gone, median; {simulated}",
        ),
    ]


def measure(quick: bool = False) -> list[Measurement]:
    if quick:
        return measurements([observe(size, QUICK_WINDOWS) for size in QUICK_SIZES])
    return measurements(observe_all(SIZES, WINDOWS))
