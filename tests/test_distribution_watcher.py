"""The receiving side of a watch, message by message."""

import pytest

from rackhub.fleet.distribution import events, messages
from rackhub.fleet.distribution.events import Apply, Counted, Held, Node, Persist, Role, Send, Tick
from rackhub.fleet.distribution.limits import SECOND, Limits
from rackhub.fleet.distribution.messages import (
    Acknowledge,
    Entry,
    Heartbeat,
    KeyFault,
    SnapshotPart,
    Unavailable,
    Unwatch,
    Update,
    Watch,
)
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.receiver import GAP_WAIT
from rackhub.fleet.distribution.watcher import Watcher

LOG = "log"
RELAYS = (Node("relay-1", Role.RELAY, "z"), Node("relay-2", Role.RELAY, "z"), Node("abroad", Role.RELAY, "y"))


class Driven:
    """A watcher and its shell, one step at a time. `sent`: messages since the last look, by receiver."""

    def __init__(self, held=None, scope=("",), upstreams=RELAYS):
        held = held if held is not None else Held(LOG, 5, scope, {"a": Entry("a", b"5", 5)})
        self.now, self.limits = 100 * SECOND, Limits()
        identity = Identity(name="me", zone="z", upstreams=upstreams, scope=scope, boot=1_000)
        self.watcher = Watcher(identity, held, self.limits, self.now)
        self.effects, self.counted = [], []

    def step(self, event):
        effects = self.watcher.step(self.now, event)
        self.counted += [(effect.name, effect.sender) for effect in effects if isinstance(effect, Counted)]
        self.effects = [effect for effect in effects if not isinstance(effect, Counted)]
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


def test_it_resumes_from_what_is_on_its_disk():
    upstream, watch = Driven().begin()
    assert upstream in ("relay-1", "relay-2")
    assert watch == Watch(1_001, LOG, 5, ("",), 4, "z")


def test_disk_then_force_then_acknowledgement():
    driven = Driven().connect()
    entry = Entry("b", b"6", 6)
    assert driven.update(5, 6, b=b"6") == [Persist(LOG, 6, (entry,), False)]
    assert driven.watcher.held.revision == driven.watcher.revision == 5
    assert driven.step(events.Persisted(6)) == [Apply(LOG, 6, (entry,), False)]
    assert (driven.watcher.held.revision, driven.watcher.revision) == (6, 5)
    assert acknowledged(driven.step(events.Applied(6))) == [6]
    assert driven.watcher.held == Held(LOG, 6, ("",), {"a": Entry("a", b"5", 5), "b": entry})


def test_one_write_at_a_time_and_later_ones_merge():
    driven = Driven().connect()
    driven.update(5, 6, b=b"6")
    assert driven.update(6, 7, b=b"7") == driven.update(7, 8, c=b"8") == []
    driven.step(events.Persisted(6))
    effects = driven.step(events.Applied(6))
    assert acknowledged(effects) == [6]
    assert [one for one in effects if isinstance(one, Persist)] == [
        Persist(LOG, 8, (Entry("b", b"7", 7), Entry("c", b"8", 8)), False)
    ]


def test_answers_of_the_shell_that_do_not_belong_change_nothing():
    driven = Driven().connect()
    assert driven.step(events.Persisted(6)) == driven.step(events.Applied(6)) == []
    driven.update(5, 6, b=b"6")
    assert driven.step(events.Applied(6)) == driven.step(events.Persisted(7)) == []
    driven.step(events.Persisted(6))
    assert driven.step(events.Persisted(6)) == []
    assert acknowledged(driven.step(events.Applied(6))) == [6]


def test_a_doubled_update_is_only_acknowledged_again():
    driven = Driven().connect()
    assert acknowledged(driven.update(4, 5, a=b"other")) == [5]
    driven.update(5, 6, b=b"6")
    again = driven.update(5, 6, b=b"6")
    assert acknowledged(again) == [5] and not persisted(again)


def test_an_update_that_overtook_another_waits_for_it():
    driven = Driven().connect()
    assert driven.update(6, 7, b=b"7") == []
    effects = driven.update(5, 6, b=b"6")
    assert persisted(effects) == [6]
    assert driven.watcher._delivery.newest == 7
    assert not watched(driven.passes(2 * GAP_WAIT))


def test_a_gap_that_stays_makes_it_watch_anew_from_what_it_holds():
    driven = Driven().connect()
    driven.update(6, 7, b=b"7")
    effects = driven.passes(GAP_WAIT)
    (again,) = [one for one in effects if isinstance(one, Send)]
    assert again == Send(driven.upstream, Watch(driven.session + 1, LOG, 5, ("",), 4, "z"))
    assert ("distribution_gaps", driven.upstream) in driven.counted
    driven.update(5, 7, b=b"7")
    assert driven.counted[-1] == ("distribution_other_sessions", driven.upstream), "of the session before"


def test_a_heartbeat_moves_on_only_who_holds_what_was_sent_before():
    driven = Driven().connect()
    assert persisted(driven.received(Heartbeat(driven.session, LOG, 5, 9))) == [9]
    driven = Driven().connect()
    assert not persisted(driven.received(Heartbeat(driven.session, LOG, 6, 9)))
    assert watched(driven.passes(GAP_WAIT)) == [driven.upstream]


def test_a_heartbeat_is_answered_and_never_leads_back():
    driven = Driven().connect()
    assert acknowledged(driven.received(Heartbeat(driven.session, LOG, 3, 3))) == [5]
    assert driven.watcher.revision == 5


def test_a_snapshot_below_what_is_held_is_refused():
    driven = Driven().connect()
    part = SnapshotPart(driven.session, LOG, 4, 0, 1, (Entry("old", b"4", 4),))
    assert not persisted(driven.received(part))
    assert ("distribution_snapshots_refused", "") in driven.counted


def test_a_snapshot_takes_the_place_of_all_that_is_held():
    driven = Driven().connect()
    first, second = Entry("b", b"8", 8), Entry("c", b"7", 7)
    effects = driven.received(SnapshotPart(driven.session, LOG, 9, 1, 2, (second,)))
    assert [one.message.parts for one in effects] == [0]
    driven.received(SnapshotPart(driven.session, LOG, 9, 1, 2, (second,)))
    effects = driven.received(SnapshotPart(driven.session, LOG, 9, 0, 2, (first,)))
    assert [one for one in effects if isinstance(one, Persist)] == [Persist(LOG, 9, (first, second), True)]
    driven.step(events.Persisted(9))
    assert driven.watcher.held.entries == {"b": first, "c": second}
    driven.step(events.Applied(9))
    again = driven.received(SnapshotPart(driven.session, LOG, 9, 1, 2, (second,)))
    assert [(one.message.revision, one.message.parts) for one in again] == [(9, 2)]


def test_another_log_is_refused_counted_and_named():
    driven = Driven().connect()
    effects = driven.update(5, 6, log="other", b=b"6")
    assert not persisted(effects) and driven.watcher.upstream is None
    assert ("distribution_other_logs", driven.upstream) in driven.counted
    assert Send(driven.upstream, Unwatch(driven.session)) in effects
    (other,) = watched(effects)
    assert other != driven.upstream
    driven.received(Unavailable(driven.session + 1, 9, 0, "", "other"), other)
    assert ("distribution_other_logs", other) in driven.counted


@pytest.mark.parametrize(
    "message",
    [
        Update(0, LOG, 6, 5, ()),
        Update(0, LOG, 5, 6, (Entry("b", b"", 7),)),
        SnapshotPart(0, LOG, 9, 3, 2, ()),
        SnapshotPart(0, LOG, 9, 0, 1, (Entry("b", b"", 10),)),
        Heartbeat(0, LOG, 9, 8),
    ],
)
def test_damaged_messages_are_counted_and_dropped(message):
    driven = Driven().connect()
    effects = driven.received(
        type(message)(driven.session, *[getattr(message, f) for f in message.__struct_fields__[1:]])
    )
    assert not persisted(effects)
    assert ("distribution_damaged", "") in driven.counted
    assert driven.watcher.revision == 5


def test_messages_of_others_are_counted_under_their_sender():
    driven = Driven().connect()
    update = Update(driven.session, LOG, 5, 6, ())
    assert driven.received(update, "stranger") == []
    assert driven.update(5, 6, session=driven.session + 1) == []
    assert driven.received(messages.Watch(1, LOG, 1, ("",), 1), "stranger") == []
    assert driven.received(messages.Check(1, ()), "stranger") == []
    assert driven.counted == [
        ("distribution_other_sessions", "stranger"),
        ("distribution_other_sessions", driven.upstream),
        ("distribution_unexpected", "stranger"),
        ("distribution_unexpected", "stranger"),
    ]


def test_a_key_out_of_scope_is_dropped_and_counted():
    driven = Driven(scope=("a",)).connect()
    effects = driven.update(5, 6, b=b"6", ab=b"6")
    assert [entry.key for entry in effects[0].entries] == ["ab"]
    assert ("distribution_out_of_scope", "") in driven.counted


def test_another_scope_starts_from_nothing_and_not_from_an_older_revision():
    driven = Driven(Held(LOG, 5, ("a",), {}), scope=("b",))
    driven.upstream, watch = driven.begin()
    assert (watch.log, watch.revision) == ("", 0)
    driven.received(SnapshotPart(watch.session, LOG, 4, 0, 1, ()))
    assert ("distribution_snapshots_refused", driven.upstream) in driven.counted
    assert driven.watcher.upstream is None
    driven = Driven(Held(LOG, 5, ("a",), {}), scope=("b",))
    driven.upstream, watch = driven.begin()
    assert persisted(driven.received(SnapshotPart(watch.session, LOG, 5, 0, 1, ()))) == [5]
    driven = Driven(Held(LOG, 5, ("a",), {}), scope=("b",))
    driven.upstream, watch = driven.begin()
    driven.received(SnapshotPart(watch.session, "other", 9, 0, 1, ()))
    assert ("distribution_other_logs", driven.upstream) in driven.counted


def test_faults_go_upward_until_the_key_is_right():
    driven = Driven().connect()
    driven.update(5, 6, bad=b"6", good=b"6")
    driven.step(events.Persisted(6))
    fault = KeyFault("bad", "no such engine")
    (send,) = driven.step(events.Applied(6, (fault,)))
    assert (send.message.revision, send.message.faults) == (6, (fault,))
    assert ("distribution_faults", "") in driven.counted
    (send,) = driven.received(Heartbeat(driven.session, LOG, 6, 6))
    assert send.message.faults == (fault,)
    driven.update(6, 7, bad=b"7")
    driven.step(events.Persisted(7))
    (send,) = driven.step(events.Applied(7))
    assert send.message.faults == ()


def test_an_unanswered_watch_goes_to_the_other_relay_then_abroad():
    driven = Driven()
    first, _ = driven.begin()
    tried = [first, *watched(driven.passes(6 * SECOND))]
    assert tried[0] != tried[1] and {*tried[:2]} == {"relay-1", "relay-2"}
    assert tried[2] == "abroad"


def test_a_silent_upstream_is_left():
    driven = Driven().connect()
    effects = driven.passes(driven.limits.silence)
    assert Send(driven.upstream, Unwatch(driven.session)) in effects
    assert watched(effects)[0] not in (driven.upstream, "abroad")
    assert driven.watcher.held.revision == 5, "what it holds stays"


def test_an_upstream_behind_what_is_held_is_left_for_another():
    driven = Driven()
    first, watch = driven.begin()
    driven.received(Unavailable(watch.session, 4, 250, "behind", LOG), first)
    tried = watched(driven.passes(SECOND))
    assert tried and tried[0] != first
    assert driven.watcher.revision == 5


def test_a_stale_upstream_is_kept_until_a_fresher_one_answers():
    driven = Driven().connect()
    stale = driven.limits.stale // 1_000 + 1
    effects = driven.received(Heartbeat(driven.session, LOG, 5, 5, stale))
    (other,) = watched([*effects, *driven.passes(0)])
    assert driven.watcher.upstream == driven.upstream
    session = driven.session + 1
    effects = driven.received(Heartbeat(session, LOG, 5, 5, stale), other)
    assert driven.watcher.upstream == driven.upstream and Send(other, Unwatch(session)) in effects
    third = watched(driven.passes(SECOND))[0]
    assert third not in (other, driven.upstream)
    effects = driven.received(Heartbeat(session + 1, LOG, 5, 5, 0), third)
    assert driven.watcher.upstream == third
    assert Send(driven.upstream, Unwatch(driven.session)) in effects


def test_a_process_that_stood_still_trusts_nothing_from_before():
    driven = Driven().connect()
    driven.now += 30 * SECOND
    effects = driven.update(5, 6, b=b"6")
    assert not persisted(effects)
    assert ("distribution_stood_still", "") in driven.counted
    assert watched(effects) == [driven.upstream]


def test_a_check_is_handed_to_the_shell():
    driven = Driven().connect()
    entries = (Entry("a", b"9", 0),)
    assert driven.received(messages.Check(3, entries)) == [events.CheckWanted(driven.upstream, 3, entries)]


def test_due_is_never_in_the_past():
    driven = Driven()
    for _ in range(200):
        driven.step(Tick())
        assert driven.watcher.due() > driven.now
        driven.now = driven.watcher.due()


def test_without_upstreams_it_waits():
    driven = Driven(upstreams=())
    assert driven.passes(10 * SECOND) == []
