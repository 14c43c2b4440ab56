"""A fleet of distribution cores in virtual time, for the tests: sources, relays and coordinators over a transport that
loses, delays, reorders and doubles, with disks that outlive a process."""

import heapq
import itertools
import random
from dataclasses import dataclass

from distribution_processes import Coordinator, History, Process

from rackhub.fleet.distribution import events, messages
from rackhub.fleet.distribution.events import Node, Role, StoredState
from rackhub.fleet.distribution.limits import MILLISECOND, SECOND, Limits
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.relay import Relay
from rackhub.fleet.distribution.source import Source
from rackhub.fleet.distribution.watcher import Watcher

LOG = "log-1"


@dataclass
class Faults:
    """Of the transport: chances of one message, and times in microseconds."""

    loss: float = 0.0
    double: float = 0.0
    delay: int = 2 * MILLISECOND
    jitter: int = 0


class Fleet:
    """All processes, the transport between them and the clock. Deterministic by its seed."""

    def __init__(self, *, sources=1, zones=("a", "b"), relays=2, limits=None, seed=0, faults=None):
        self.now, self.chance, self.limits = 1_000 * SECOND, random.Random(seed), limits or Limits()
        self.faults, self.cuts, self.counted, self.checks, self.sent = faults or Faults(), set(), {}, [], []
        self.queue, self.order, self.history, self.zones, self.processes = [], itertools.count(), History(), {}, {}
        self.seed, self.record = seed, False
        self.uninformed = set()  # voters that do not learn of decided changes for now
        self.voters = tuple(Node(f"voter-{i}", Role.VOTER) for i in range(sources))
        self.relays = tuple(Node(f"relay-{z}{i}", Role.RELAY, z) for z in zones for i in range(relays))
        for node in self.voters:
            self.add(node.name, "", lambda boots, now, name=node.name: self.start_source(name, boots, now))
        for node in self.relays:
            self.add(node.name, node.zone, lambda boots, now, node=node: self.start_relay(node, boots, now))

    # ---- processes

    def add(self, name, zone, start):
        self.zones[name] = zone
        self.processes[name] = Process(self, name, start)

    def start_source(self, name, boots, now):
        revision = self.processes[name].known if name in self.processes else 0
        held = StoredState(LOG, revision, ("",), self.history.at(revision, ("",)))
        return Source(Identity(name=name, seed=self.seed, generation=boots << 20), held, self.limits, now)

    def start_relay(self, node, boots, now):
        identity = Identity(
            name=node.name, zone=node.zone, upstreams=self.voters, seed=self.seed, generation=boots << 20
        )
        return Relay(identity, self.limits, now)

    def coordinator(self, name, zone="a", scope=("",), kind=Watcher, held=None):
        self.zones[name] = zone

        def start(boots, now):
            identity = Identity(
                name=name, zone=zone, upstreams=self.relays, scope=scope, seed=self.seed, generation=boots << 20
            )
            held = self.processes[name].disk.held if name in self.processes else StoredState()
            return kind(identity, held, self.limits, now)

        self.processes[name] = Coordinator(self, name, start, scope)
        return self.processes[name]

    def coordinators(self):
        return [one for one in self.processes.values() if isinstance(one, Coordinator)]

    def relay_processes(self):
        return [self.processes[node.name] for node in self.relays]

    # ---- time and transport

    def at(self, time, call):
        heapq.heappush(self.queue, (time, next(self.order), call))

    def run(self, duration):
        end = self.now + duration
        while self.queue and self.queue[0][0] <= end:
            time, _, call = heapq.heappop(self.queue)
            self.now = max(self.now, time)
            call()
        self.now = end

    def run_until(self, done, most):
        """The time it took, at the most `most`."""
        began = self.now
        while not done():
            assert self.now - began < most, f"not within {most / SECOND} s"
            self.run(100 * MILLISECOND)
        return self.now - began

    def send(self, sender, to, message):
        if self.record:
            self.sent.append((self.now, sender, to, message))
        message = messages.decode(messages.encode(message))
        copies = 1 + (self.chance.random() < self.faults.double)
        for _ in range(copies):
            if self.chance.random() >= self.faults.loss:
                delay = self.faults.delay + int(self.chance.random() * self.faults.jitter)
                self.at(self.now + delay, lambda: self.arrive(sender, to, message))

    def arrive(self, sender, to, message):
        process = self.processes.get(to)
        if process is not None and frozenset((sender, to)) not in self.cuts:
            process.handle(events.Received(sender, message))

    def cut(self, some, others):
        self.cuts |= {frozenset((one, other)) for one in some for other in others if one != other}

    def heal(self):
        self.cuts.clear()

    # ---- what is done and looked at

    def decide(self, values):
        change = self.history.add(values)
        for node in self.voters:
            if node.name not in self.uninformed:
                self.tell(node.name)
        return change

    def tell(self, name):
        """The shell of a voter hands in all that is decided."""
        process = self.processes[name]
        if process.core is not None:
            process.known = self.history.revision  # on its disk, before the core hears of it
            process.handle(events.Decided(LOG, tuple(self.history.changes[process.core.revision :])))

    def converged(self):
        newest = self.history.revision
        return all(one.core is not None and one.core.revision == newest for one in self.coordinators())

    def on_apply(self, coordinator, effect):
        """For checkers."""

    def on_acknowledge(self, coordinator, message):
        """For checkers."""


class CheckedFleet(Fleet):
    """Looks at each change that is put in force, each acknowledgement and each message to a coordinator."""

    broken = False  # something did not hold: what comes after it means nothing

    def require(self, holds, why):
        self.broken = self.broken or not holds
        assert holds, why

    def on_apply(self, coordinator, effect):
        before = coordinator.highest
        self.require(effect.revision >= before, f"{coordinator.name} goes back from {before} to {effect.revision}")
        coordinator.highest = effect.revision
        expected = self.history.at(effect.revision, coordinator.scope)
        self.require(coordinator.in_force.entries == expected, f"{coordinator.name} at {effect.revision}")

    def on_acknowledge(self, coordinator, message):
        on_disk, in_force = coordinator.disk.held.revision, coordinator.in_force.revision
        self.require(message.revision <= on_disk, f"{coordinator.name} acknowledges {message.revision}, has {on_disk}")
        self.require(
            message.revision <= in_force, f"{coordinator.name} acknowledges {message.revision}, runs {in_force}"
        )

    def send(self, sender, to, message):
        scope = getattr(self.processes.get(to), "scope", None)
        if scope is not None:
            outside = [entry.key for entry in getattr(message, "entries", ()) if not entry.key.startswith(scope)]
            self.require(not outside, f"{sender} sends {outside} to {to}")
        super().send(sender, to, message)
