"""A scale run in virtual time: the real watcher, relay and source, at full size on one core."""

from collections.abc import Callable
from typing import NamedTuple

from rackhub.fleet.distribution.events import (
    Applied,
    Apply,
    Effect,
    IncrementCounter,
    MembersChanged,
    Persist,
    Persisted,
    Role,
    Send,
)
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.relay import Relay
from rackhub.fleet.distribution.source import Source
from rackhub.fleet.distribution.watcher import Watcher
from rackhub.trials.scale.audit import audit, content_after
from rackhub.trials.scale.cases import SLOW_DISK_SECONDS, Plan, plan
from rackhub.trials.scale.editor import Editor
from rackhub.trials.scale.layout import Layout, Place, layout, scope_of, upstreams
from rackhub.trials.scale.memory_disk import MemoryDisk
from rackhub.trials.scale.result import Cost, Result, judged
from rackhub.trials.scale.settings import RunSettings
from rackhub.trials.scale.trace import Recorder
from rackhub.trials.scale.virtual_faults import VirtualFaults
from rackhub.trials.scale.virtual_network import MILLISECOND, SECOND, Network, Process
from rackhub.trials.scale.virtual_register import VirtualRegister

DISK = 2 * MILLISECOND  # until a write is synced
START_WITHIN = 5 * SECOND  # coordinators begin to watch
SETTLE = 15 * SECOND  # before the first change
AFTER_END = 20 * SECOND  # for the last change
NOTES = (
    "virtual time: real watchers, relays and sources on a simulated network; bytes are of real messages in the link's "
    "real frames, without resending; CPU is of the watchers' steps alone; the members' core is not run",
    "decisions were made by a model of the register and told to each voter",
)


class Meter(NamedTuple):
    """What some processes have come to so far."""

    bytes_in: int
    bytes_out: int
    seconds: float


class VirtualRun:
    """One run. `watcher` makes the coordinators' core: tests put a faulty one in its place."""

    def __init__(self, settings: RunSettings, watcher: Callable[..., Watcher] = Watcher):
        self.settings = settings
        self.layout: Layout = layout(settings)
        self.plan: Plan = plan(settings, self.layout)
        self.network = Network(settings.seed)
        editor = Editor(list(self.layout.regions), settings.seed)
        self.initial = editor.initial()
        self.register = VirtualRegister(self.network, self.layout.voters, editor, self.initial)
        self.faults = VirtualFaults(self.network, self.layout, self.register, self._restarted)
        self.counters: dict[str, int] = {}
        self.recorders: dict[str, Recorder] = {}
        self._make_watcher = watcher
        self._disks: dict[str, MemoryDisk] = {}
        self._places = self.layout.by_name()
        self._upstreams = upstreams(self.layout)

    def run(self) -> Result:
        """Everything from the first process on to the verdict."""
        network, layout = self.network, self.layout
        self._start()
        network.run(network.now + SETTLE)
        coordinators, relays = self._meter(layout.coordinators), self._meter(layout.relays)
        end = network.now + int(self.plan.seconds * SECOND)
        self.register.edit_until(end, self.plan.rate)
        self.faults.schedule(self.plan.actions)
        network.run(end)
        cost = _cost(coordinators, self._meter(layout.coordinators), len(layout.coordinators) * self.plan.seconds)
        relay = _cost(relays, self._meter(layout.relays), len(layout.relays) * self.plan.seconds)
        network.run(end + AFTER_END)
        return self._result(cost, relay)

    def _result(self, cost: Cost, relay: Cost) -> Result:
        traces = [recorder.finish() for recorder in self.recorders.values()]
        content = content_after(self.initial, self.register.acknowledged, self.layout.regions)
        verdict = audit(content, self.register.acknowledged, traces, self.faults.outages)
        result = Result(
            case=self.settings.case,
            time="virtual",
            seed=self.settings.seed,
            coordinators=len(self.layout.coordinators),
            zones=self.settings.zones,
            relays=len(self.layout.relays),
            voters=len(self.layout.voters),
            processes=1,
            real=0,
            rate=self.plan.rate,
            seconds=self.plan.seconds,
            verdict=verdict,
            cost=cost,
            relay_bytes_out=relay.bytes_out,
            relay_cpu_percent=relay.cpu_percent,
            counters=dict(sorted(self.counters.items())),
            notes=NOTES,
        )
        return judged(result, self.plan.steady)

    # ---- processes

    def _start(self) -> None:
        for place in self.layout.voters:
            self._process(place, Source(self._identity(place), self.initial, self.plan.limits, self.network.now))
        for place in self.layout.relays:
            relay = Relay(self._identity(place), self.plan.limits, self.network.now)
            process = self._process(place, relay)
            living = len(self.layout.of_zone(place.zone))
            self.network.hand(process, process.boot, MembersChanged(living))
        for index, place in enumerate(self.layout.coordinators):
            at = self.network.now + START_WITHIN * index // len(self.layout.coordinators)
            self.network.at(at, self._start_coordinator, place)
        self.register.start()

    def _process(self, place: Place, core: Relay | Source | Watcher) -> Process:
        process = Process(place, core, lambda effect: self._perform(place.name, effect))
        self.network.start(process)
        return process

    def _start_coordinator(self, place: Place) -> None:
        name, scope = place.name, scope_of(place.zone)
        slow = name in self.plan.slow
        self._disks[name] = MemoryDisk(scope, int(SLOW_DISK_SECONDS * SECOND) if slow else DISK)
        self.recorders[name] = Recorder(name, place.zone, scope)
        self._process(place, self._watcher(place))

    def _watcher(self, place: Place) -> Watcher:
        held = self._disks[place.name].held()
        return self._make_watcher(self._identity(place), held, self.plan.limits, self.network.now)

    def _identity(self, place: Place) -> Identity:
        return Identity(
            name=place.name,
            zone=place.zone,
            upstreams=self._upstreams[place.role],
            scope=scope_of(place.zone) if place.role is Role.COORDINATOR else ("",),
            seed=self.settings.seed,
            generation=self.network.boot(place.name),
        )

    def _perform(self, name: str, effect: Effect) -> None:
        process = self.network.processes[name]
        match effect:
            case Send(to, message):
                self._count(f"{process.place.role.value}_sent_{type(message).__name__}")
                self.network.send(process, to, message)
            case Persist(revision=revision):
                disk = self._disks[name]
                self.network.at(self.network.now + disk.delay, self._synced, process, process.boot, effect)
            case Apply(revision=revision):
                self.recorders[name].apply(self.network.now, effect)
                self.network.at(self.network.now, self.network.hand, process, process.boot, Applied(revision))
            case IncrementCounter(counter):
                self._count(f"{process.place.role.value}_{counter}")

    def _count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1

    def _synced(self, process: Process, boot: int, persist: Persist) -> None:
        if process.up and process.boot == boot:
            self._disks[process.place.name].write(persist)
            self.network.hand(process, boot, Persisted(persist.revision))

    def _restarted(self, name: str) -> Watcher:
        """The core of a coordinator that begins anew."""
        self.recorders[name].trace.restarts += 1
        return self._watcher(self._places[name])

    def _meter(self, places: tuple[Place, ...]) -> Meter:
        processes = [self.network.processes[place.name] for place in places]
        return Meter(
            sum(process.bytes_in for process in processes),
            sum(process.bytes_out for process in processes),
            sum(process.seconds for process in processes),
        )


def _cost(before: Meter, after: Meter, process_seconds: float) -> Cost:
    return Cost(
        bytes_in=round((after.bytes_in - before.bytes_in) / process_seconds, 1),
        bytes_out=round((after.bytes_out - before.bytes_out) / process_seconds, 1),
        cpu_percent=round(100 * (after.seconds - before.seconds) / process_seconds, 4),
    )
