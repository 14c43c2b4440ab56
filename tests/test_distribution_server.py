"""The serving side of a watch: credit, merging, sending again, heartbeats, snapshots in parts."""

from distribution_cores import LOG, Served, served

from rackhub.fleet.distribution.limits import MILLISECOND, SECOND
from rackhub.fleet.distribution.messages import Entry, Heartbeat, SnapshotPart, Update


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
    assert one.passes(one.limits.heartbeat_interval) == [Heartbeat(1, LOG, 1, 2, 0)]
    (update,) = one.change(**{"x/k": b"3", "c": b"3"})
    assert (update.previous, [entry.key for entry in update.entries]) == (1, ["x/k"])


def test_a_heartbeat_names_what_was_sent_before_it():
    one = served(heartbeat_interval=SECOND)
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
    assert one.passes(one.limits.heartbeat_interval) == [Heartbeat(1, LOG, 5, 5, 0)]


def test_what_is_not_acknowledged_is_sent_again_from_there():
    one = served()
    one.watch(revision=1)
    one.change(b=b"2")
    one.change(c=b"3")
    one.acknowledge(2)
    again = [m for m in one.passes(one.limits.acknowledge_timeout) if isinstance(m, Update)]
    assert again == [Update(1, LOG, 2, 3, (Entry("c", b"3", 3),))]
    assert one.change(d=b"4") == [], "one at a time until an acknowledgement comes"
    assert [u.revision for u in one.acknowledge(3)] == [4]
    assert ("distribution_resent", "") in one.counted


def test_what_is_sent_again_does_not_stand_for_a_heartbeat():
    one = served()
    one.watch(revision=1)
    one.change(b=b"2")
    sent = one.passes(2 * one.limits.heartbeat_interval + SECOND)
    assert sum(isinstance(m, Heartbeat) for m in sent) == 2


def test_a_compacted_position_gets_a_snapshot():
    one = Served(max_log_steps=3)
    for number in range(10):
        one.change(**{f"k{number}": b"", "gone": None})
    (part,) = one.watch(revision=2, scope=("k1", "k9"))
    assert isinstance(part, SnapshotPart) and part.revision == 10
    assert [entry.key for entry in part.entries] == ["k1", "k9"]


def test_a_revision_compacted_under_a_watcher_gets_a_snapshot():
    one = served(max_log_steps=3)
    one.watch(revision=1, credit=1)
    for number in range(10):
        one.change(b=b"%d" % number)
    (part,) = one.acknowledge(2)
    assert isinstance(part, SnapshotPart) and part.revision == 11


def test_a_snapshot_is_sent_in_parts_under_credit_from_one_moment():
    one = Served(max_update_bytes=20)
    one.change(**{f"k{number}": b"" for number in range(6)})
    parts = one.watch(log="", credit=2)
    assert [(p.part, p.parts, p.revision) for p in parts] == [(0, 6, 1), (1, 6, 1)]
    assert one.change(k5=b"later") == []
    more = one.acknowledge(0, snapshot=1, parts=2)
    assert [p.part for p in more] == [2, 3]
    last = one.acknowledge(0, snapshot=1, parts=4)
    assert [p.part for p in last] == [4, 5]
    assert last[-1].entries == (Entry("k5", b"", 1),)
    assert one.acknowledge(0, snapshot=1, parts=6) == [], "changes wait until the snapshot is in force"
    assert [(u.previous, u.revision) for u in one.acknowledge(1)] == [(1, 2)]


def test_lost_parts_are_sent_again_and_whole_ones_are_not():
    one = Served(max_update_bytes=20)
    one.change(**{f"k{number}": b"" for number in range(3)})
    one.watch(log="", credit=3)
    one.acknowledge(0, snapshot=1, parts=1)
    again = [m.part for m in one.passes(one.limits.acknowledge_timeout) if isinstance(m, SnapshotPart)]
    assert again == [1], "one at a time after a loss"
    assert [p.part for p in one.acknowledge(0, snapshot=1, parts=3)] == []
    again = [m.part for m in one.passes(one.limits.acknowledge_timeout) if isinstance(m, SnapshotPart)]
    assert again == [2], "all have come: the last one asks for the acknowledgement"


def test_a_late_answer_to_an_earlier_snapshot_does_not_count_for_the_next():
    one = Served(max_update_bytes=20, max_log_steps=3)
    one.change(**{f"k{number}": b"" for number in range(3)})
    one.watch(log="", credit=1)
    one.acknowledge(1, snapshot=1, parts=3)
    for _ in range(10):
        one.change(**{f"k{number}": b"x" for number in range(3)})
    (part,) = one.acknowledge(2)
    assert (part.revision, part.part) == (11, 0)
    assert one.acknowledge(2, snapshot=1, parts=3) == []
    assert [p.part for p in one.acknowledge(2, snapshot=11, parts=1)] == [1]


def test_one_that_does_not_get_on_is_not_told_that_it_is_fresh():
    one = served(session_timeout=60 * SECOND, max_update_bytes=10)
    one.watch(revision=1)
    one.change(b=b"2")
    ages = []
    for _ in range(4):
        one.acknowledge(1)
        ages += [m.age for m in one.passes(one.limits.heartbeat_interval) if isinstance(m, Heartbeat)]
    assert ages == [0, 0, 0, 0], "all was sent: the heartbeat shows what is missing"
    one.change(c=b"3")  # there is no credit for it
    one.acknowledge(1)
    ages = [m.age for m in one.passes(3 * one.limits.heartbeat_interval) if isinstance(m, Heartbeat)]
    assert ages == [10_000, 12_000, 14_000]
    one.acknowledge(3)
    assert [m.age for m in one.passes(one.limits.heartbeat_interval) if isinstance(m, Heartbeat)] == [0]


def test_a_heartbeat_moves_nothing_on_while_a_snapshot_is_under_way():
    one = served()
    one.watch(log="")
    heartbeats = [m for m in one.passes(one.limits.heartbeat_interval) if isinstance(m, Heartbeat)]
    assert [(h.previous, h.revision) for h in heartbeats] == [(0, 0)]
