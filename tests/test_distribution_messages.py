"""What goes over the link: bounds at decoding, and cores that bear any message that decodes, from anybody."""

import random

import msgspec
import pytest
from distribution_fleet import LOG

from rackhub.fleet.distribution import events
from rackhub.fleet.distribution.events import Node, Role, StoredState
from rackhub.fleet.distribution.limits import FAULT_KEYS, MAX_KEY_BYTES, SECOND, VALUE_BYTES, Limits
from rackhub.fleet.distribution.messages import (
    Acknowledge,
    Check,
    Checked,
    Entry,
    Heartbeat,
    KeyFault,
    Report,
    RevisionCount,
    SnapshotPart,
    Unavailable,
    Unwatch,
    Update,
    Watch,
    decode,
    encode,
)
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.relay import Relay
from rackhub.fleet.distribution.source import Source
from rackhub.fleet.distribution.watcher import Watcher

ENTRY = Entry("key", b"value", 3)
ALL = [
    Watch(1, LOG, 2, ("a/",), 4, "zone"),
    Unwatch(1),
    Update(1, LOG, 2, 3, (ENTRY,)),
    SnapshotPart(1, LOG, 3, 0, 2, (ENTRY, Entry("gone", None, 2))),
    Heartbeat(1, LOG, 3, 4, 5),
    Unavailable(1, 3, 250, "behind", LOG),
    Acknowledge(1, 3, (KeyFault("key", "why"),), 4, 2),
    Report("zone", LOG, 3, 4, 5, (RevisionCount(3, 4),)),
    Check(1, (ENTRY,)),
    Checked(1, "zone", (KeyFault("key", "why"),)),
]


@pytest.mark.parametrize("message", ALL, ids=lambda message: type(message).__name__)
def test_messages_come_back_as_they_were(message):
    assert decode(encode(message)) == message


def test_damaged_bytes_are_refused_or_are_another_message():
    chance = random.Random(7)
    refused = 0
    for _ in range(5_000):
        body = bytearray(encode(chance.choice(ALL)))
        if chance.random() < 0.5:
            body[chance.randrange(len(body))] = chance.randrange(256)
        else:
            del body[chance.randrange(len(body)) :]
        try:
            decode(bytes(body))
        except (msgspec.MsgspecError, UnicodeDecodeError):
            refused += 1
    assert refused > 2_500


@pytest.mark.parametrize(
    "message",
    [
        Update(1, LOG, 2, 3, (Entry("", b"", 3),)),
        Update(1, LOG, 2, 3, (Entry("k" * (MAX_KEY_BYTES + 1), b"", 3),)),
        Update(1, LOG, 2, 3, (Entry("k", bytes(VALUE_BYTES + 1), 3),)),
        Update(1, LOG, -1, 3, ()),
        Update(1, "x" * 33, 2, 3, ()),
        Watch(1, LOG, 2, ("",) * 65, 4),
        Watch(1, LOG, 2, ("",), 0),
        Acknowledge(1, 3, (KeyFault("k", ""),) * (FAULT_KEYS + 1)),
    ],
)
def test_what_is_over_a_bound_is_refused(message):
    with pytest.raises(msgspec.ValidationError):
        decode(encode(message))


class Storm:
    """Random messages that decode, most of them within the last sessions that the core has begun."""

    def __init__(self, seed):
        self.chance = random.Random(seed)
        self.sessions = [("up-1", 1)]

    def event(self):
        sender, session = self.chance.choice(self.sessions)
        if self.chance.random() < 0.3:
            sender, session = self.chance.choice(["up-1", "up-2", "w", "x"]), self.chance.randrange(4)
        return events.Received(sender, self.message(session))

    def entries(self):
        number = self.chance.randrange
        values = [b"", b"v", None]
        return tuple(Entry(f"k{number(4)}", self.chance.choice(values), number(12)) for _ in range(number(3)))

    def message(self, session):
        number = self.chance.randrange
        log = LOG if number(30) else self.chance.choice(["other", ""])
        kinds = [*(type(one) for one in ALL), Update, Update, SnapshotPart, Heartbeat, Heartbeat]
        kind = self.chance.choice([one for one in kinds if one is not Unavailable or not number(10)])
        faults = (KeyFault("k1", "why"),) * number(2)
        return {
            Watch: lambda: Watch(
                session, log, number(12), self.chance.choice([("",), ("k1",), ()]), 1 + number(4), "z"
            ),
            Unwatch: lambda: Unwatch(session),
            Update: lambda: Update(session, log, number(12), number(12), self.entries()),
            SnapshotPart: lambda: SnapshotPart(session, log, number(12), number(4), 1 + number(3), self.entries()),
            Heartbeat: lambda: Heartbeat(session, log, number(12), number(12), number(9_000)),
            Unavailable: lambda: Unavailable(session, number(12), number(3_000), "", log),
            Acknowledge: lambda: Acknowledge(session, number(12), faults, number(12), number(4)),
            Report: lambda: Report("z", log, number(12), number(9), number(9), (RevisionCount(number(12), 1),)),
            Check: lambda: Check(number(3), self.entries()),
            Checked: lambda: Checked(number(3), "z", faults),
        }[kind]()

    def learn(self, effects):
        """Sessions that the core has begun, so that messages belong to them."""
        begun = [(one.to, one.message.session) for one in effects if isinstance(getattr(one, "message", None), Watch)]
        self.sessions = [*self.sessions, *begun][-3:]


UPSTREAMS = (Node("up-1", Role.VOTER), Node("up-2", Role.VOTER))
IDENTITY = Identity(name="me", zone="z", upstreams=UPSTREAMS)
CORES = {
    "watcher": lambda now: Watcher(IDENTITY, StoredState(scope=("",)), Limits(), now),
    "relay": lambda now: Relay(IDENTITY, Limits(max_log_steps=3), now),
    "source": lambda now: Source(
        IDENTITY, StoredState(LOG, 5, ("",), {"k1": Entry("k1", b"", 5)}), Limits(max_log_steps=3), now
    ),
}


@pytest.mark.parametrize("kind", CORES)
@pytest.mark.parametrize("seed", range(4))
def test_a_core_bears_any_message(kind, seed):
    storm, now = Storm(seed), 100 * SECOND
    core, revision = CORES[kind](now), 0
    for _ in range(4_000):
        now += storm.chance.choice([0, 1_000, 300_000])
        event = storm.event() if storm.chance.random() < 0.7 else events.Tick()
        effects = core.step(now, event)
        for effect in [effect for effect in effects if isinstance(effect, events.Persist)]:
            effects = [*effects, *core.step(now, events.Persisted(effect.revision))]
            effects += core.step(now, events.Applied(effect.revision))
        storm.learn(effects)
        assert core.revision >= revision
        revision = core.revision
        assert core.due() >= now or kind == "source"
        for effect in effects:
            if isinstance(effect, events.Send):
                assert decode(encode(effect.message)) == effect.message
    assert revision > 0, "messages that belong are taken"
