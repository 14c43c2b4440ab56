"""The serving side of a watch: credit, merging, sending again, heartbeats, bounds, and messages that don't belong."""

import random

from rackhub.fleet.distribution import messages, server
from rackhub.fleet.distribution.events import Counted
from rackhub.fleet.distribution.limits import MILLISECOND, SECOND, Limits
from rackhub.fleet.distribution.messages import Acknowledge, Change, Entry, Heartbeat, SnapshotPart, Unavailable, Update
from rackhub.fleet.distribution.server import WatchServer
from rackhub.fleet.distribution.state import KeyValueState

LOG = "log"
START = 100 * SECOND


class Served:
    """A server with its state and a clock. Each call gives the messages sent by it, by receiver."""

    def __init__(self, *, zone="", **limits):
        self.limits, self.now, self.age = Limits(**limits), START, 0
        self.state = KeyValueState(self.limits)
        chance = random.Random(1)
        self.server = WatchServer(self.state, self.limits, zone, chance, START, lambda now: self.age)
        self.counted, self.numbers = [], {}

    def split(self, effects):
        self.counted += [(effect.name, effect.sender) for effect in effects if isinstance(effect, Counted)]
        return [effect.message for effect in effects if not isinstance(effect, Counted)]

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


def test_a_watch_is_answered_at_once():
    one = served()
    assert one.watch(revision=1) == [Heartbeat(1, LOG, 1, 1, 0)]
    one.change(b=b"2")
    assert one.watch("x", revision=1) == [Update(1, LOG, 1, 2, (Entry("b", b"2", 2),))]
    assert one.watch("y", log="") == [SnapshotPart(1, LOG, 2, 0, 1, tuple(one.state.entries.values()))]


def test_updates_are_chained_within_the_credit_and_merge_beyond_it():
    one = served()
    one.watch(revision=1, credit=2)
    first, second = one.change(b=b"2"), one.change(b=b"3")
    assert [(u.previous, u.revision) for u in first + second] == [(1, 2), (2, 3)]
    assert one.change(b=b"4") == one.change(b=b"5", c=b"5") == one.change(b=b"6") == []
    (merged,) = one.acknowledge(2)
    assert (merged.previous, merged.revision) == (3, 6)
    assert {entry.key: entry.value for entry in merged.entries} == {"b": b"6", "c": b"5"}


def test_nothing_is_queued_for_a_slow_watcher():
    one = served()
    one.watch(revision=1, credit=1)
    for number in range(500):
        one.change(b=b"%d" % number)
    session = one.server.sessions["w"]
    assert len(session.in_flight) == 1
    (update,) = one.acknowledge(2)
    assert update.entries == (Entry("b", b"499", 501),)


def test_a_key_out_of_scope_is_not_sent_and_the_revision_moves_by_heartbeat():
    one = served()
    one.watch(revision=1, scope=("x/", "y"))
    assert one.change(b=b"2") == []
    assert one.passes(one.limits.heartbeat) == [Heartbeat(1, LOG, 1, 2, 0)]
    (update,) = one.change(**{"x/k": b"3", "c": b"3"})
    assert (update.previous, [entry.key for entry in update.entries]) == (1, ["x/k"])


def test_a_heartbeat_names_what_was_sent_before_it():
    one = served(heartbeat=SECOND)
    one.watch(revision=1)
    one.change(b=b"2")
    one.change(c=b"3")
    one.age = 1_500 * MILLISECOND
    assert one.passes(SECOND) == [Heartbeat(1, LOG, 3, 3, 1_500)]


def test_heartbeats_come_only_where_there_is_nothing_else():
    one = served()
    one.watch(revision=1)
    for _ in range(4):
        one.now += SECOND
        one.change(b=b"x")
        assert one.acknowledge(one.state.revision) == []
        assert one.passes(0) == []
    assert one.passes(one.limits.heartbeat) == [Heartbeat(1, LOG, 5, 5, 0)]


def test_what_is_not_acknowledged_is_sent_again_from_there():
    one = served()
    one.watch(revision=1)
    one.change(b=b"2")
    one.change(c=b"3")
    one.acknowledge(2)
    again = [m for m in one.passes(one.limits.acknowledge) if isinstance(m, Update)]
    assert again == [Update(1, LOG, 2, 3, (Entry("c", b"3", 3),))]
    assert one.change(d=b"4") == [], "one at a time until an acknowledgement comes"
    assert [u.revision for u in one.acknowledge(3)] == [4]
    assert ("distribution_resent", "") in one.counted


def test_what_is_sent_again_does_not_stand_for_a_heartbeat():
    one = served()
    one.watch(revision=1)
    one.change(b=b"2")
    sent = one.passes(2 * one.limits.heartbeat + SECOND)
    assert sum(isinstance(m, Heartbeat) for m in sent) == 2


def test_a_watcher_ahead_is_never_given_older_data():
    one = served()
    (answer,) = one.watch(revision=9)
    assert isinstance(answer, Unavailable) and (answer.revision, answer.reason) == (1, server.BEHIND)
    assert not one.server.sessions


def test_another_log_and_no_log_are_refused():
    one = served()
    (answer,) = one.watch(log="other", revision=1)
    assert (answer.reason, answer.log) == (server.OTHER_LOG, LOG)
    assert one.counted == [("distribution_other_logs", "w")]
    (answer,) = Served().watch(log="")
    assert answer.reason == server.NO_LOG


def test_a_compacted_position_gets_a_snapshot():
    one = Served(history=3)
    for number in range(10):
        one.change(**{f"k{number}": b"", "gone": None})
    (part,) = one.watch(revision=2, scope=("k1", "k9"))
    assert isinstance(part, SnapshotPart) and part.revision == 10
    assert [entry.key for entry in part.entries] == ["k1", "k9"]


def test_a_revision_compacted_under_a_watcher_gets_a_snapshot():
    one = served(history=3)
    one.watch(revision=1, credit=1)
    for number in range(10):
        one.change(b=b"%d" % number)
    (part,) = one.acknowledge(2)
    assert isinstance(part, SnapshotPart) and part.revision == 11


def test_a_snapshot_is_sent_in_parts_under_credit_from_one_moment():
    one = Served(update_bytes=20)
    one.change(**{f"k{number}": b"" for number in range(6)})
    parts = one.watch(log="", credit=2)
    assert [(p.part, p.parts, p.revision) for p in parts] == [(0, 6, 1), (1, 6, 1)]
    assert one.change(k5=b"later") == []
    more = one.acknowledge(0, parts=2)
    assert [p.part for p in more] == [2, 3]
    last = one.acknowledge(0, parts=4)
    assert [p.part for p in last] == [4, 5]
    assert last[-1].entries == (Entry("k5", b"", 1),)
    assert one.acknowledge(0, parts=6) == [], "changes wait until the snapshot is in force"
    assert [(u.previous, u.revision) for u in one.acknowledge(1)] == [(1, 2)]


def test_lost_parts_are_sent_again_and_whole_ones_are_not():
    one = Served(update_bytes=20)
    one.change(**{f"k{number}": b"" for number in range(3)})
    one.watch(log="", credit=3)
    one.acknowledge(0, parts=1)
    again = [m.part for m in one.passes(one.limits.acknowledge) if isinstance(m, SnapshotPart)]
    assert again == [1], "one at a time after a loss"
    assert [p.part for p in one.acknowledge(0, parts=3)] == []
    again = [m.part for m in one.passes(one.limits.acknowledge) if isinstance(m, SnapshotPart)]
    assert again == [2], "all have come: the last one asks for the acknowledgement"


def test_a_heartbeat_moves_nothing_on_while_a_snapshot_is_under_way():
    one = served()
    one.watch(log="")
    heartbeats = [m for m in one.passes(one.limits.heartbeat) if isinstance(m, Heartbeat)]
    assert [(h.previous, h.revision) for h in heartbeats] == [(0, 0)]


def test_newcomers_are_bounded_and_their_return_is_spread():
    one = served(newcomers=10.0)
    answers = [one.watch(f"w{number}", revision=1)[0] for number in range(60)]
    waits = [answer.retry_after for answer in answers if isinstance(answer, Unavailable)]
    assert len(waits) == 50 and len(one.server.sessions) == 10
    assert min(waits) >= 100 and max(waits) <= 6_250
    assert len(set(waits)) > 40, "they don't come back together"
    one.now += SECOND
    answers = [one.watch(f"w{number}", revision=1, session=2)[0] for number in range(10, 60)]
    assert sum(isinstance(answer, Heartbeat) for answer in answers) == 10


def test_snapshots_are_bounded():
    one = served(snapshots=2.0)
    answers = [one.watch(f"w{number}", log="")[0] for number in range(5)]
    assert sum(isinstance(answer, SnapshotPart) for answer in answers) == 2
    assert {answer.reason for answer in answers if isinstance(answer, Unavailable)} == {server.SNAPSHOTS}
    assert len(one.server.sessions) == 2


def test_watchers_and_guests_are_bounded():
    one = served(zone="here", watchers=5, guests=2)
    answers = [one.watch(f"g{number}", revision=1, zone="there")[0] for number in range(3)]
    assert [isinstance(answer, Heartbeat) for answer in answers] == [True, True, False]
    answers = [one.watch(f"h{number}", revision=1, zone="here")[0] for number in range(4)]
    assert [isinstance(answer, Heartbeat) for answer in answers] == [True, True, True, False]
    one.receive("g0", messages.Unwatch(1))
    assert isinstance(one.watch("g2", revision=1, session=2, zone="there")[0], Heartbeat)


def test_sessions_end_by_silence_by_unwatch_and_by_a_new_watch():
    one = served()
    one.watch("silent", revision=1)
    one.watch("leaving", revision=1)
    one.watch("again", revision=1)
    one.receive("leaving", messages.Unwatch(1))
    one.watch("again", revision=1, session=5)
    assert one.server.sessions.keys() == {"silent", "again"}
    one.now += one.limits.session - SECOND
    one.acknowledge(1, "again", session=5)
    one.passes(SECOND)
    assert one.server.sessions.keys() == {"again"}
    assert ("distribution_sessions_expired", "silent") in one.counted


def test_late_and_doubled_messages_change_nothing():
    one = served()
    one.watch(revision=1, session=7)
    one.change(b=b"2")
    assert one.watch(revision=1, session=7) == one.watch(revision=0, session=6) == []
    assert one.acknowledge(2, session=6) == []
    assert one.receive("w", messages.Unwatch(6)) == []
    session = one.server.sessions["w"]
    assert (session.number, session.acknowledged) == (7, 1)
    assert one.counted.count(("distribution_late_watches", "w")) == 2
    one.acknowledge(2, session=7)
    one.acknowledge(1, session=7)
    assert session.acknowledged == 2


def test_an_acknowledgement_of_what_does_not_exist_is_held_to_what_does():
    one = served()
    one.watch(revision=1)
    one.acknowledge(1 << 50)
    assert one.server.sessions["w"].acknowledged == 1
    (update,) = one.change(b=b"2")
    assert (update.previous, update.revision) == (1, 2)


def test_an_unknown_sender_is_told_that_it_has_no_session():
    one = served()
    (answer,) = one.acknowledge(1, "stranger", session=3)
    assert (answer.session, answer.reason) == (3, server.NO_SESSION)
    assert one.counted == [("distribution_unknown_sessions", "stranger")]
    assert one.receive("stranger", messages.Unwatch(3)) == []


def test_a_steps_work_does_not_grow_with_the_sessions():
    one = served(newcomers=10_000.0, watchers=4_000)
    for number in range(4_000):
        one.now += 400
        one.watch(f"w{number}", revision=1)
    looked_after = []
    look_after = one.server._look_after
    one.server._look_after = lambda now, session: (looked_after.append(session.name), look_after(now, session))
    one.acknowledge(1, "w7")
    assert looked_after == []
    one.now = max(one.now, one.server.due())
    one.server.tick(one.now)
    assert len(looked_after) < 40
