"""One server or one watcher of distribution by itself, for the tests: its shell, its peer and its clock."""

import random

from rackhub.fleet.distribution import events, messages
from rackhub.fleet.distribution.events import IncrementCounter, Node, Persist, Role, Send, StoredState, Tick
from rackhub.fleet.distribution.limits import SECOND, Limits
from rackhub.fleet.distribution.messages import (
    Acknowledge,
    Change,
    Entry,
    Heartbeat,
    Update,
    Watch,
)
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.server import WatchServer
from rackhub.fleet.distribution.state import KeyValueState
from rackhub.fleet.distribution.watcher import Watcher

LOG = "log"
START = 100 * SECOND
RELAYS = (Node("relay-1", Role.RELAY, "z"), Node("relay-2", Role.RELAY, "z"), Node("abroad", Role.RELAY, "y"))


class Served:
    """A server with its state and a clock. Each call gives the messages sent by it, by receiver."""

    def __init__(self, *, zone="", **limits):
        self.limits, self.now, self.age = Limits(**limits), START, 0
        self.state = KeyValueState(self.limits)
        chance = random.Random(1)
        self.server = WatchServer(self.state, self.limits, zone, chance, START, lambda now: self.age)
        self.counted, self.numbers = [], {}

    def split(self, effects):
        self.counted += [(effect.name, effect.sender) for effect in effects if isinstance(effect, IncrementCounter)]
        return [effect.message for effect in effects if not isinstance(effect, IncrementCounter)]

    def change(self, **values):
        revision = self.state.revision + 1
        entries = tuple(Entry(key, value, revision) for key, value in values.items())
        self.state.apply_change(LOG, Change(revision, entries))
        return self.split(self.server.publish(self.now))

    def watch(self, name="w", revision=0, scope=("",), session=1, log=LOG, credit=4, zone=""):
        return self.receive(name, messages.Watch(session, log, revision, scope, credit, zone))

    def acknowledge(self, revision, name="w", session=1, **more):
        return self.receive(name, Acknowledge(session, revision, **more))

    def receive(self, name, message):
        return self.split(self.server.receive(self.now, name, message))

    def passes(self, time):
        """Everything that falls due in that time."""
        end, sent = self.now + time, []
        while self.server.due() <= end:
            self.now = max(self.now, self.server.due())
            sent += self.split(self.server.tick(self.now))
        self.now = end
        return sent


def served(**options):
    """One with a first change."""
    one = Served(**options)
    one.change(a=b"1")
    return one


class Driven:
    """A watcher and its shell, one step at a time. `sent`: messages since the last look, by receiver."""

    def __init__(self, held=None, scope=("",), upstreams=RELAYS):
        held = held if held is not None else StoredState(LOG, 5, scope, {"a": Entry("a", b"5", 5)})
        self.now, self.limits = 100 * SECOND, Limits()
        identity = Identity(name="me", zone="z", upstreams=upstreams, scope=scope, generation=1_000)
        self.watcher = Watcher(identity, held, self.limits, self.now)
        self.effects, self.counted = [], []

    def step(self, event):
        effects = self.watcher.step(self.now, event)
        self.counted += [(effect.name, effect.sender) for effect in effects if isinstance(effect, IncrementCounter)]
        self.effects = [effect for effect in effects if not isinstance(effect, IncrementCounter)]
        return self.effects

    def passes(self, time):
        end, effects = self.now + time, []
        while self.watcher.due() <= end:
            self.now = max(self.now, self.watcher.due())
            effects += self.step(Tick())
        self.now = end
        return effects

    def begin(self):
        """The watch that is sent now: to whom, and what."""
        (send,) = [effect for effect in self.step(Tick()) if isinstance(effect, Send)]
        assert isinstance(send.message, Watch)
        return send.to, send.message

    def received(self, message, sender=None):
        return self.step(events.Received(sender or self.upstream, message))

    def connect(self, revision=5):
        self.upstream, watch = self.begin()
        self.session = watch.session
        self.received(Heartbeat(self.session, LOG, revision, revision))
        assert self.watcher.upstream == self.upstream
        return self

    def update(self, previous, revision, *, log=LOG, session=None, **values):
        entries = tuple(Entry(key, value, revision) for key, value in values.items())
        return self.received(Update(session or self.session, log, previous, revision, entries))


def acknowledged(effects):
    return [one.message.revision for one in effects if isinstance(one, Send) and isinstance(one.message, Acknowledge)]


def persisted(effects):
    return [effect.revision for effect in effects if isinstance(effect, Persist)]


def watched(effects):
    return [one.to for one in effects if isinstance(one, Send) and isinstance(one.message, Watch)]
