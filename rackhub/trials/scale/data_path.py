"""The data path of one real `serve` process on loopback: what a statement and a client connection cost.

Engines, resolver and clients stand in this process, so the process measured does nothing but serve. Connections with
nothing open are closed by it after some seconds, so idle ones are looked at before.
"""

import itertools
import statistics
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from rackhub.trials.processes.clock import pass_time, until
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.site import KINDS, SECOND, Plan
from rackhub.trials.scale.measurement import (
    Measurement,
    cpu_seconds,
    measured,
    median_ratios,
    open_descriptors,
    reference_seconds,
    resident_bytes,
)
from rackhub.trials.scale.statements import CLASS, Connections

IDLE_CONNECTIONS = (40, 80, 120, 160, 200)
BUSY_CONNECTIONS = (25, 50, 100, 200)
STATEMENT_RATES = (20, 40, 80, 160)  # a second, on a fixed number of connections
HELD_STATEMENTS = (50, 100, 200, 400)
QUICK = (2, 4, 6, 8)
MEMORY_ROUNDS = 1  # the process keeps what it once had, so sizes only grow
RATE_CONNECTIONS = 16
HELD_CONNECTIONS = 25
HELD_WINDOW = 0.1  # seconds: memory is read after it, CPU is not used
THREADS = next(kind.threads for kind in KINDS if kind.name == CLASS)  # among which an engine shares a statement's work
LIGHT_WORK = 1_000  # microseconds of an engine
CONNECT_AT_MOST, ANSWER_AT_MOST = 10.0, 12.0  # seconds
PLAN = Plan(gateways=1, engines=16, cores=64.0, seed=34)


class Pace(msgspec.Struct, frozen=True):
    """How long and how often the loads are taken; times are seconds."""

    rounds: int = 3
    calm: float = 0.3  # after connecting and closing, before CPU is read
    idle_window: float = 0.7  # with `calm` less than the second after which crowded idle connections are closed
    warm: float = 1.5  # of a load before it is measured: each busy connection has sent a statement or more
    window: float = 2.0
    held_work: float = 1.2  # of an engine, for a statement that is to be open while it is looked at
    held_after: float = 0.8


QUICK_PACE = Pace(rounds=1, calm=0.05, idle_window=0.1, warm=0.1, window=0.15, held_work=0.5, held_after=0.1)


class Load(msgspec.Struct, frozen=True):
    """What the process spent in a second of one load, and held then."""

    cpu: float  # seconds of CPU in a second
    relative: float  # against the reference work
    memory: int
    descriptors: int


class Bench:
    """One coordinator under measurement."""

    def __init__(self, rig: Rig, pace: Pace):
        self.rig, self.reactor, self.pace = rig, rig.reactor, pace
        self.gateway = next(iter(rig.gateways.values()))
        self.pid = rig.processes.by_name[self.gateway.name].pid

    def connect(self, count: int) -> Connections:
        group = Connections(self.reactor, self.gateway.listen, count)
        until(self.reactor, lambda: group.totals.connected == count, CONNECT_AT_MOST, f"{count} connections")
        return group

    def close(self, group: Connections) -> None:
        group.close()
        until(
            self.reactor,
            lambda: group.totals.closed == group.totals.connected,
            CONNECT_AT_MOST,
            "connections that close",
        )
        pass_time(self.reactor, self.pace.calm)

    def window(self, seconds: float) -> Load:
        reference = reference_seconds()
        began = cpu_seconds(self.pid)
        pass_time(self.reactor, seconds)
        cpu = (cpu_seconds(self.pid) - began) / seconds
        reference = (reference + reference_seconds()) / 2
        return Load(cpu, cpu / reference, resident_bytes(self.pid), open_descriptors(self.pid))

    def answered(self, group: Connections) -> None:
        """Wait for all answers; raises where more than a tenth were not served."""
        totals = group.totals
        until(self.reactor, lambda: totals.answered == totals.sent, ANSWER_AT_MOST, "answers to all statements")
        if totals.served < totals.sent * 9 // 10:
            raise AssertionError(f"{totals.served} of {totals.sent} statements served: no usual load")


def start_sending(reactor: Any, group: Connections, rate: float) -> Callable[[], None]:
    """Light statements, so many a second, on the connections in turn. The result stops it."""
    connections = itertools.cycle(group.all)
    running = [True]

    def send() -> None:
        if running[0]:
            next(connections).statement(LIGHT_WORK)
            reactor.callLater(1 / rate, send)

    send()
    return lambda: running.__setitem__(0, False)


def loaded(bench: Bench, connections: int, rate: float) -> Load:
    """One window with this rate over so many connections."""
    group = bench.connect(connections)
    stop = start_sending(bench.reactor, group, rate)
    pass_time(bench.reactor, bench.pace.warm)
    found = bench.window(bench.pace.window)
    stop()
    bench.answered(group)
    bench.close(group)
    return found


def idle(bench: Bench, connections: int) -> Load:
    group = bench.connect(connections)
    pass_time(bench.reactor, bench.pace.calm)
    found = bench.window(bench.pace.idle_window)
    if group.totals.closed:
        raise AssertionError(f"{group.totals.closed} of {connections} idle connections were closed too early")
    bench.close(group)
    return found


def held(bench: Bench, statements: int) -> Load:
    """With so many statements out at engines, or waiting for one, at the same time."""
    group = bench.connect(min(HELD_CONNECTIONS, statements))
    work = int(bench.pace.held_work * THREADS * SECOND)
    for connection in itertools.islice(itertools.cycle(group.all), statements):
        connection.statement(work)
    pass_time(bench.reactor, bench.pace.held_after)
    if group.totals.answered > statements // 10:
        raise AssertionError(f"{group.totals.answered} of {statements} were answered before they were looked at")
    found = bench.window(HELD_WINDOW)
    bench.answered(group)
    bench.close(group)
    return found


def in_turn(sizes: Sequence[int], rounds: int, take: Callable[[int], Load]) -> list[list[Load]]:
    """The loads by size and round, the sizes in turn."""
    by_size: list[list[Load]] = [[] for _ in sizes]
    for _ in range(rounds):
        for size, found in zip(sizes, by_size, strict=True):
            found.append(take(size))
    return by_size


def cpu_measurement(
    name: str, size_unit: str, sizes: Sequence[int], loads: Sequence[Sequence[Load]], how: str
) -> Measurement:
    values = [statistics.median(load.cpu for load in each) * 1_000 for each in loads]
    ratios = median_ratios([[load.relative for load in each] for each in loads])
    method = f"{how}; CPU of the serve process on loopback, sizes in turn, median of {len(loads[0])} rounds"
    return measured(f"data_path.{name}", "ms a second", size_unit, sizes, values, method, ratios)


def memory_measurement(
    name: str, size_unit: str, sizes: Sequence[int], loads: Sequence[Sequence[Load]], how: str
) -> Measurement:
    values = [statistics.median(load.memory for load in each) / 1_024 for each in loads]
    return measured(f"data_path.{name}", "KB", size_unit, sizes, values, f"{how}; resident memory of the process")


def descriptor_measurement(name: str, sizes: Sequence[int], loads: Sequence[Sequence[Load]]) -> Measurement:
    values = [statistics.median(load.descriptors for load in each) for each in loads]
    how = f"descriptors of the process, connections to {PLAN.engines} engines included"
    return measured(f"data_path.{name}", "descriptors", "connections", sizes, values, how)


def idle_connections(bench: Bench, sizes: Sequence[int]) -> list[Measurement]:
    loads = in_turn(sizes, bench.pace.rounds, lambda size: idle(bench, size))
    how = "client connections with nothing open"
    return [
        cpu_measurement("idle_connection_cpu", "connections", sizes, loads, how),
        memory_measurement("idle_connection_memory", "connections", sizes, loads, how),
        descriptor_measurement("idle_connection_descriptors", sizes, loads),
    ]


def busy_connections(bench: Bench, sizes: Sequence[int]) -> list[Measurement]:
    loads = in_turn(sizes, bench.pace.rounds, lambda size: loaded(bench, size, size))
    how = "client connections with one statement a second each"
    return [
        cpu_measurement("busy_connection_cpu", "connections", sizes, loads, how),
        memory_measurement("busy_connection_memory", "connections", sizes, loads, how),
        descriptor_measurement("busy_connection_descriptors", sizes, loads),
    ]


def statements(bench: Bench, rates: Sequence[int]) -> Measurement:
    loads = in_turn(rates, bench.pace.rounds, lambda rate: loaded(bench, RATE_CONNECTIONS, rate))
    how = f"light statements over {RATE_CONNECTIONS} connections"
    return cpu_measurement("statement_cpu", "statements a second", rates, loads, how)


def statement_memory(bench: Bench, sizes: Sequence[int]) -> Measurement:
    loads = in_turn(sizes, MEMORY_ROUNDS, lambda size: held(bench, size))
    how = f"statements open at the same time over {HELD_CONNECTIONS} connections"
    return memory_measurement("statement_memory", "open statements", sizes, loads, how)


def measure(quick: bool = False) -> list[Measurement]:
    from twisted.internet import reactor

    pace = QUICK_PACE if quick else Pace()
    with Rig(PLAN, reactor) as rig:
        rig.up()
        bench = Bench(rig, pace)
        pass_time(reactor, pace.calm)
        return [
            *idle_connections(bench, QUICK if quick else IDLE_CONNECTIONS),
            *busy_connections(bench, QUICK if quick else BUSY_CONNECTIONS),
            statements(bench, QUICK if quick else STATEMENT_RATES),
            statement_memory(bench, QUICK if quick else HELD_STATEMENTS),
        ]
