"""The serving side of a watch: credit, merged updates, repeated messages, heartbeats, and snapshots in parts."""

from distribution_cores import LOG, ServerHarness, server_with_change

from rackhub.fleet.distribution.limits import MILLISECOND, SECOND
from rackhub.fleet.distribution.messages import Entry, Heartbeat, SnapshotPart, Update


def test_a_watch_is_answered_at_once():
    harness = server_with_change()
    assert harness.watch(revision=1) == [Heartbeat(1, LOG, 1, 1, 0)]
    harness.change(b=b"2")
    assert harness.watch("x", revision=1) == [Update(1, LOG, 1, 2, (Entry("b", b"2", 2),))]
    assert harness.watch("y", log="") == [SnapshotPart(1, LOG, 2, 0, 1, tuple(harness.state.entries.values()))]


def test_updates_are_sent_in_sequence_within_the_credit_and_merged_beyond_it():
    harness = server_with_change()
    harness.watch(revision=1, credit=2)
    first, second = harness.change(b=b"2"), harness.change(b=b"3")
    assert [(u.previous, u.revision) for u in first + second] == [(1, 2), (2, 3)]
    assert harness.change(b=b"4") == harness.change(b=b"5", c=b"5") == harness.change(b=b"6") == []
    (merged,) = harness.acknowledge(2)
    assert (merged.previous, merged.revision) == (3, 6)
    assert {entry.key: entry.value for entry in merged.entries} == {"b": b"6", "c": b"5"}


def test_nothing_is_queued_for_a_slow_watcher():
    harness = server_with_change()
    harness.watch(revision=1, credit=1)
    for number in range(500):
        harness.change(b=b"%d" % number)
    session = harness.server.sessions["w"]
    assert len(session.in_flight) == 1
    (update,) = harness.acknowledge(2)
    assert update.entries == (Entry("b", b"499", 501),)


def test_a_key_out_of_scope_is_not_sent_and_a_heartbeat_advances_the_revision():
    harness = server_with_change()
    harness.watch(revision=1, scope=("x/", "y"))
    assert harness.change(b=b"2") == []
    assert harness.advance(harness.limits.heartbeat_interval) == [Heartbeat(1, LOG, 1, 2, 0)]
    (update,) = harness.change(**{"x/k": b"3", "c": b"3"})
    assert (update.previous, [entry.key for entry in update.entries]) == (1, ["x/k"])


def test_a_heartbeat_names_what_was_sent_before_it():
    harness = server_with_change(heartbeat_interval=SECOND)
    harness.watch(revision=1)
    harness.change(b=b"2")
    harness.change(c=b"3")
    harness.age = 1_500 * MILLISECOND
    assert harness.advance(SECOND) == [Heartbeat(1, LOG, 3, 3, 1_500)]


def test_heartbeats_are_sent_only_if_nothing_else_is():
    harness = server_with_change()
    harness.watch(revision=1)
    for _ in range(4):
        harness.now += SECOND
        harness.change(b=b"x")
        assert harness.acknowledge(harness.state.revision) == []
        assert harness.advance(0) == []
    assert harness.advance(harness.limits.heartbeat_interval) == [Heartbeat(1, LOG, 5, 5, 0)]


def test_unacknowledged_changes_are_sent_again():
    harness = server_with_change()
    harness.watch(revision=1)
    harness.change(b=b"2")
    harness.change(c=b"3")
    harness.acknowledge(2)
    again = [m for m in harness.advance(harness.limits.acknowledge_timeout) if isinstance(m, Update)]
    assert again == [Update(1, LOG, 2, 3, (Entry("c", b"3", 3),))]
    assert harness.change(d=b"4") == [], "one at a time until the next acknowledgement"
    assert [u.revision for u in harness.acknowledge(3)] == [4]
    assert ("distribution_resent", "") in harness.counted


def test_a_repeated_message_does_not_replace_a_heartbeat():
    harness = server_with_change()
    harness.watch(revision=1)
    harness.change(b=b"2")
    sent = harness.advance(2 * harness.limits.heartbeat_interval + SECOND)
    assert sum(isinstance(m, Heartbeat) for m in sent) == 2


def test_a_compacted_position_gets_a_snapshot():
    harness = ServerHarness(max_log_steps=3)
    for number in range(10):
        harness.change(**{f"k{number}": b"", "gone": None})
    (part,) = harness.watch(revision=2, scope=("k1", "k9"))
    assert isinstance(part, SnapshotPart) and part.revision == 10
    assert [entry.key for entry in part.entries] == ["k1", "k9"]


def test_a_revision_compacted_under_a_watcher_gets_a_snapshot():
    harness = server_with_change(max_log_steps=3)
    harness.watch(revision=1, credit=1)
    for number in range(10):
        harness.change(b=b"%d" % number)
    (part,) = harness.acknowledge(2)
    assert isinstance(part, SnapshotPart) and part.revision == 11


def test_a_snapshot_of_one_revision_is_sent_in_parts_within_the_credit():
    harness = ServerHarness(max_update_bytes=20)
    harness.change(**{f"k{number}": b"" for number in range(6)})
    parts = harness.watch(log="", credit=2)
    assert [(p.part, p.parts, p.revision) for p in parts] == [(0, 6, 1), (1, 6, 1)]
    assert harness.change(k5=b"later") == []
    more = harness.acknowledge(0, snapshot=1, parts=2)
    assert [p.part for p in more] == [2, 3]
    last = harness.acknowledge(0, snapshot=1, parts=4)
    assert [p.part for p in last] == [4, 5]
    assert last[-1].entries == (Entry("k5", b"", 1),)
    assert harness.acknowledge(0, snapshot=1, parts=6) == [], "changes wait until the snapshot is applied"
    assert [(u.previous, u.revision) for u in harness.acknowledge(1)] == [(1, 2)]


def test_only_unconfirmed_snapshot_parts_are_sent_again():
    harness = ServerHarness(max_update_bytes=20)
    harness.change(**{f"k{number}": b"" for number in range(3)})
    harness.watch(log="", credit=3)
    harness.acknowledge(0, snapshot=1, parts=1)
    again = [m.part for m in harness.advance(harness.limits.acknowledge_timeout) if isinstance(m, SnapshotPart)]
    assert again == [1], "one at a time after a loss"
    assert [p.part for p in harness.acknowledge(0, snapshot=1, parts=3)] == []
    again = [m.part for m in harness.advance(harness.limits.acknowledge_timeout) if isinstance(m, SnapshotPart)]
    assert again == [2], "all parts are confirmed, so the last one is repeated to get an acknowledgement"


def test_a_late_answer_to_an_earlier_snapshot_does_not_count_for_the_next():
    harness = ServerHarness(max_update_bytes=20, max_log_steps=3)
    harness.change(**{f"k{number}": b"" for number in range(3)})
    harness.watch(log="", credit=1)
    harness.acknowledge(1, snapshot=1, parts=3)
    for _ in range(10):
        harness.change(**{f"k{number}": b"x" for number in range(3)})
    (part,) = harness.acknowledge(2)
    assert (part.revision, part.part) == (11, 0)
    assert harness.acknowledge(2, snapshot=1, parts=3) == []
    assert [p.part for p in harness.acknowledge(2, snapshot=11, parts=1)] == [1]


def test_a_watcher_without_progress_is_told_a_growing_age():
    harness = server_with_change(session_timeout=60 * SECOND, max_update_bytes=10)
    harness.watch(revision=1)
    harness.change(b=b"2")
    ages = []
    for _ in range(4):
        harness.acknowledge(1)
        ages += [m.age for m in harness.advance(harness.limits.heartbeat_interval) if isinstance(m, Heartbeat)]
    assert ages == [0, 0, 0, 0], "everything was sent, so the heartbeat's revision shows what is missing"
    harness.change(c=b"3")  # The credit is used up.
    harness.acknowledge(1)
    ages = [m.age for m in harness.advance(3 * harness.limits.heartbeat_interval) if isinstance(m, Heartbeat)]
    assert ages == [10_000, 12_000, 14_000]
    harness.acknowledge(3)
    assert [m.age for m in harness.advance(harness.limits.heartbeat_interval) if isinstance(m, Heartbeat)] == [0]


def test_heartbeats_during_a_snapshot_name_only_acknowledged_revisions():
    harness = server_with_change()
    harness.watch(log="")
    heartbeats = [m for m in harness.advance(harness.limits.heartbeat_interval) if isinstance(m, Heartbeat)]
    assert [(h.previous, h.revision) for h in heartbeats] == [(0, 0)]
