"""The membership by number of members: memory, CPU, bytes, age of records, and time until all know of a death.

The cores and frames are the real ones; the network and the clock are simulated. Each size runs in two processes of its
own, one idle and one with records, as the largest fleet takes minutes to settle.
"""

import os
import statistics
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import msgspec

from rackhub.fleet.members.context import Effect, MemberChanged
from rackhub.fleet.ports import MemberState
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
PROCESSES = 6
WINDOWS, QUICK_WINDOWS = 3, 1
IDLE_WINDOW, RECORDS_WINDOW = 5 * SECOND, 1 * SECOND
FORM_AT_MOST = 60 * SECOND
SETTLE, SETTLE_EACH, SETTLE_AT_MOST = 5 * SECOND, 400 * MS, 120 * SECOND  # after all know all: that news dies down
RECORDS_WARM = 5 * SECOND  # of records before they are measured
RECORD_KIND, RECORD_BYTES, RECORD_PERIOD = "demand", 150, SECOND
DEATHS = 3  # at once, but never more than an eighth of all
DEATH_AT_MOST = 90 * SECOND


class IdleObservation(msgspec.Struct):
    """Of one size without records; CPU is for each member and second, also against the reference work."""

    members: int
    memory: float  # bytes of one member
    cpu: list[float]
    cpu_relative: list[float]
    bytes: float
    death_seconds: list[float]  # until the last member holds it gone; shorter where that did not come about


class RecordsObservation(msgspec.Struct):
    """Of one size with a record a second from each member."""

    members: int
    cpu: list[float]
    cpu_relative: list[float]
    bytes: float
    age_median: float  # milliseconds
    age_p99: float


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
        self._form()
        self.memory = (resident_bytes() - before) / members

    def _saw(self, gateway: Gateway, effect: Effect) -> None:
        if (
            isinstance(effect, MemberChanged)
            and effect.member.state is MemberState.GONE
            and not self._up(effect.member.name)
        ):
            self._gone[effect.member.name] = self._gone.get(effect.member.name, 0) + 1

    def _up(self, name: str) -> bool:
        return self.wire.gateways[name].up

    def _all_know_all(self) -> bool:
        running = self.wire.running()
        return len(running) == self.members and all(
            len(gateway.core.table.members()) >= self.members - 1 for gateway in running
        )

    def _form(self) -> None:
        """Until all know all."""
        began = self.wire.time.now()
        while not self._all_know_all():
            if self.wire.time.now() - began > FORM_AT_MOST:
                raise AssertionError(f"{self.members} members have not found one another within 60 s")
            self.wire.time.run(SECOND // 2)

    def settle(self) -> None:
        """Until what was told of the forming has died down."""
        self.wire.time.run(min(SETTLE + SETTLE_EACH * self.members, SETTLE_AT_MOST))

    def _sent(self) -> int:
        return sum(gateway.bytes for gateway in self.wire.gateways.values())

    def window(self, span: int) -> Window:
        """CPU and bytes of a member in a second of this load."""
        reference = reference_seconds()
        sent, began = self._sent(), time.process_time()
        self.wire.time.run(span)
        share = self.members * span / SECOND
        cpu = (time.process_time() - began) / share
        reference = (reference + reference_seconds()) / 2
        return Window(cpu, cpu / reference, (self._sent() - sent) / share)

    def start_records(self) -> None:
        """Each member posts one record a second, at a moment of its own."""

        def post(gateway: Gateway) -> None:
            self.wire.time.later(RECORD_PERIOD, lambda: post(gateway))
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


def observe_idle(members: int, windows: int) -> IdleObservation:
    fleet = Fleet(members)
    fleet.settle()
    found = [fleet.window(IDLE_WINDOW) for _ in range(windows)]
    return IdleObservation(
        members=members,
        memory=fleet.memory,
        cpu=[window.cpu for window in found],
        cpu_relative=[window.relative for window in found],
        bytes=statistics.mean(window.bytes for window in found),
        death_seconds=fleet.deaths(),
    )


def observe_records(members: int, windows: int) -> RecordsObservation:
    fleet = Fleet(members)
    fleet.start_records()
    found = [fleet.window(RECORDS_WINDOW) for _ in range(windows)]
    ages = fleet.ages()
    return RecordsObservation(
        members=members,
        cpu=[window.cpu for window in found],
        cpu_relative=[window.relative for window in found],
        bytes=statistics.mean(window.bytes for window in found),
        age_median=ages[len(ages) // 2],
        age_p99=ages[min(len(ages) - 1, len(ages) * 99 // 100)],
    )


def observe_all(sizes: Sequence[int], windows: int) -> tuple[list[IdleObservation], list[RecordsObservation]]:
    """Each size in processes of its own, the largest begun first."""
    processes = min(PROCESSES, os.cpu_count() or 1)
    with ProcessPoolExecutor(processes, get_context("spawn"), max_tasks_per_child=1) as pool:
        largest_first = sorted(sizes, reverse=True)
        begun = [
            (pool.submit(observe_idle, size, windows), pool.submit(observe_records, size, windows))
            for size in largest_first
        ]
        idle = [each.result() for each, _ in begun]
        busy = [each.result() for _, each in begun]
    return idle[::-1], busy[::-1]


SIMULATED = "real cores and frames, simulated network and clock"
CPU_METHOD = (
    "process CPU over virtual time, median of the windows; ratios against a fixed piece of work beside each window"
)
RECORDS_METHOD = f"one record of {RECORD_BYTES} bytes a second from each member; {SIMULATED}"


def idle_measurements(observed: Sequence[IdleObservation]) -> list[Measurement]:
    sizes = [each.members for each in observed]
    memory = [each.memory / 1_024 for each in observed]
    cpu = [statistics.median(each.cpu) * 1_000 for each in observed]
    ratios = median_ratios([each.cpu_relative for each in observed])
    sent = [each.bytes for each in observed]
    deaths = [statistics.median(each.death_seconds) for each in observed]
    death_method = f"up to {DEATHS} killed at once: until the last of the others holds each gone, median; {SIMULATED}"
    return [
        measured("members.memory", "KB a member", "members", sizes, memory, f"resident memory; {SIMULATED}"),
        measured(
            "members.idle_cpu", "ms a second", "members", sizes, cpu, f"no records; {SIMULATED}; {CPU_METHOD}", ratios
        ),
        measured("members.idle_bytes", "bytes a second", "members", sizes, sent, f"sent, no records; {SIMULATED}"),
        measured("members.death_known", "s", "members", sizes, deaths, death_method),
    ]


def records_measurements(observed: Sequence[RecordsObservation]) -> list[Measurement]:
    sizes = [each.members for each in observed]
    cpu = [statistics.median(each.cpu) * 1_000 for each in observed]
    ratios = median_ratios([each.cpu_relative for each in observed])
    sent = [each.bytes for each in observed]
    medians, largest = [each.age_median for each in observed], [each.age_p99 for each in observed]
    return [
        measured(
            "members.records_cpu", "ms a second", "members", sizes, cpu, f"{RECORDS_METHOD}; {CPU_METHOD}", ratios
        ),
        measured("members.records_bytes", "bytes a second", "members", sizes, sent, f"sent, {RECORDS_METHOD}"),
        measured("members.record_age_median", "ms", "members", sizes, medians, RECORDS_METHOD),
        measured("members.record_age_p99", "ms", "members", sizes, largest, RECORDS_METHOD),
    ]


def measure(quick: bool = False) -> list[Measurement]:
    if quick:
        idle = [observe_idle(size, QUICK_WINDOWS) for size in QUICK_SIZES]
        busy = [observe_records(size, QUICK_WINDOWS) for size in QUICK_SIZES]
    else:
        idle, busy = observe_all(SIZES, WINDOWS)
    return [*idle_measurements(idle), *records_measurements(busy)]
