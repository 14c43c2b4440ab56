"""Processes of a fleet in virtual time: what runs a core, its disk and its shell, and the history they are held to."""

from dataclasses import dataclass, field

from rackhub.fleet.distribution import events, messages
from rackhub.fleet.distribution.events import StoredState
from rackhub.fleet.distribution.limits import MILLISECOND
from rackhub.fleet.distribution.messages import Change, Entry


class History:
    """The decided changes: what must hold at each revision in each scope."""

    def __init__(self):
        self.changes = []

    @property
    def revision(self):
        return len(self.changes)

    def add(self, values, identifier=""):
        """A change that sets these values, or deletes a key where it is None."""
        revision = self.revision + 1
        entries = tuple(Entry(key, value, revision) for key, value in values.items())
        self.changes.append(Change(revision, entries, identifier or f"edit-{revision}"))
        return self.changes[-1]

    def at(self, revision, scope):
        state = {}
        for change in self.changes[:revision]:
            for entry in change.entries:
                if entry.value is None:
                    state.pop(entry.key, None)
                elif entry.key.startswith(scope):
                    state[entry.key] = entry
        return state


@dataclass
class Disk:
    """What a coordinator's disk has. `write` is how long it takes."""

    held: StoredState = field(default_factory=StoredState)
    write: int = 3 * MILLISECOND

    def keep(self, scope, effect):
        entries = {} if effect.snapshot else dict(self.held.entries)
        for entry in effect.entries:
            if entry.value is None:
                entries.pop(entry.key, None)
            else:
                entries[entry.key] = entry
        self.held = StoredState(effect.log, effect.revision, scope, entries)


class Process:
    """One process of the fleet. `boots` counts its starts; what was under way for an earlier one is lost."""

    def __init__(self, fleet, name, start):
        self.fleet, self.name, self.start = fleet, name, start
        self.boots, self.core, self.still_until, self.counted, self.backlog = 0, None, 0, {}, []
        self.wakes_at = None
        self.known = 0  # revision on a voter's disk
        self.restart()

    def restart(self):
        self.boots += 1
        self.core = self.start(self.boots, self.fleet.now)
        self.backlog, self.still_until = [], 0
        self.wake()

    def stop(self):
        self.core, self.backlog = None, []

    def stand_still(self, duration):
        self.still_until = self.fleet.now + duration
        self.fleet.at(self.still_until, self.catch_up)

    def wake_up(self):
        self.still_until = self.fleet.now
        self.catch_up()

    def catch_up(self):
        backlog, self.backlog = self.backlog, []
        for event in backlog:
            self.handle(event)
        self.wake()

    def handle(self, event):
        if self.core is None:
            return
        if self.fleet.now < self.still_until:
            if not isinstance(event, events.Tick):
                self.backlog.append(event)
            return
        for effect in self.core.step(self.fleet.now, event):
            self.do(effect)
        self.wake()

    def wake(self):
        if self.core is None:
            return
        due = max(self.core.due(), self.fleet.now)
        if due < 1 << 60 and (self.wakes_at is None or due < self.wakes_at):
            self.wakes_at = due
            self.fleet.at(due, lambda: self.tick(due))

    def tick(self, due):
        if self.wakes_at == due:
            self.wakes_at = None
        if self.core is not None:
            if self.fleet.now >= self.core.due():
                self.handle(events.Tick())
            else:
                self.wake()

    def do(self, effect):
        if isinstance(effect, events.Send):
            self.fleet.send(self.name, effect.to, effect.message)
        elif isinstance(effect, events.IncrementCounter):
            self.counted[effect.name] = self.counted.get(effect.name, 0) + 1
            self.fleet.counted[effect.name] = self.fleet.counted.get(effect.name, 0) + 1
        elif isinstance(effect, events.CheckDone):
            self.fleet.checks.append(effect)

    def later(self, delay, event):
        """An answer of the shell to this start of the process."""
        boots = self.boots
        self.fleet.at(self.fleet.now + delay, lambda: self.handle(event) if self.boots == boots else None)


class Coordinator(Process):
    """A watcher with its disk; what it has in force is kept here as a shell would. `refuses`: keys it can't take."""

    def __init__(self, fleet, name, start, scope):
        self.scope, self.disk, self.in_force, self.refuses = scope, Disk(), StoredState(), set()
        self.highest = 0  # revision that was ever in force
        super().__init__(fleet, name, start)

    def restart(self):
        held = self.disk.held
        self.in_force = held if held.scope == self.scope else StoredState()
        super().restart()

    def do(self, effect):
        if isinstance(effect, events.Persist):
            boots = self.boots
            self.fleet.at(self.fleet.now + self.disk.write, lambda: self.written(boots, effect))
        elif isinstance(effect, events.Apply):
            self.put_in_force(effect)
        elif isinstance(effect, events.RunCheck):
            faults = tuple(messages.KeyFault(e.key, "no") for e in effect.entries if e.key in self.refuses)
            zone = self.fleet.zones[self.name]
            self.fleet.send(self.name, effect.to, messages.Checked(effect.mark, zone, faults))
        else:
            if isinstance(effect, events.Send) and isinstance(effect.message, messages.Acknowledge):
                self.fleet.on_acknowledge(self, effect.message)
            super().do(effect)

    def written(self, boots, effect):
        if boots == self.boots and self.core is not None:  # a process that ends before has not synced
            self.disk.keep(self.scope, effect)
            self.handle(events.Persisted(effect.revision))

    def put_in_force(self, effect):
        disk = Disk(self.in_force)
        disk.keep(self.scope, effect)
        self.in_force = disk.held
        self.fleet.on_apply(self, effect)
        faults = tuple(messages.KeyFault(e.key, "no") for e in effect.entries if e.key in self.refuses)
        self.later(0, events.Applied(effect.revision, faults))
