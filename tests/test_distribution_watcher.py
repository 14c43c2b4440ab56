"""The receiving side of a watch, message by message."""

import pytest
from distribution_cores import LOG, WatcherHarness, acknowledged, persisted, watched

from rackhub.fleet.distribution import events, messages
from rackhub.fleet.distribution.events import Apply, Persist, Send, StoredState
from rackhub.fleet.distribution.messages import (
    Entry,
    Heartbeat,
    KeyFault,
    SnapshotPart,
    Update,
    Watch,
)
from rackhub.fleet.distribution.receiver import GAP_TIMEOUT


def test_a_change_is_persisted_then_applied_then_acknowledged():
    harness = WatcherHarness().connect()
    entry = Entry("b", b"6", 6)
    assert harness.update(5, 6, b=b"6") == [Persist(LOG, 6, (entry,), False)]
    assert harness.watcher.stored.revision == harness.watcher.revision == 5
    assert harness.step(events.Persisted(6)) == [Apply(LOG, 6, (entry,), False)]
    assert (harness.watcher.stored.revision, harness.watcher.revision) == (6, 5)
    assert acknowledged(harness.step(events.Applied(6))) == [6]
    assert harness.watcher.stored == StoredState(LOG, 6, ("",), {"a": Entry("a", b"5", 5), "b": entry})


def test_one_write_at_a_time_is_made_and_later_ones_are_merged():
    harness = WatcherHarness().connect()
    harness.update(5, 6, b=b"6")
    assert harness.update(6, 7, b=b"7") == harness.update(7, 8, c=b"8") == []
    harness.step(events.Persisted(6))
    effects = harness.step(events.Applied(6))
    assert acknowledged(effects) == [6]
    assert [one for one in effects if isinstance(one, Persist)] == [
        Persist(LOG, 8, (Entry("b", b"7", 7), Entry("c", b"8", 8)), False)
    ]


def test_unexpected_answers_of_the_shell_change_nothing():
    harness = WatcherHarness().connect()
    assert harness.step(events.Persisted(6)) == harness.step(events.Applied(6)) == []
    harness.update(5, 6, b=b"6")
    assert harness.step(events.Applied(6)) == harness.step(events.Persisted(7)) == []
    harness.step(events.Persisted(6))
    assert harness.step(events.Persisted(6)) == []
    assert acknowledged(harness.step(events.Applied(6))) == [6]


def test_a_duplicate_update_is_only_acknowledged_again():
    harness = WatcherHarness().connect()
    assert acknowledged(harness.update(4, 5, a=b"other")) == [5]
    harness.update(5, 6, b=b"6")
    again = harness.update(5, 6, b=b"6")
    assert acknowledged(again) == [5] and not persisted(again)


def test_an_update_that_arrives_early_waits_for_the_one_before():
    harness = WatcherHarness().connect()
    assert harness.update(6, 7, b=b"7") == []
    effects = harness.update(5, 6, b=b"6")
    assert persisted(effects) == [6]
    assert harness.watcher._delivery.newest == 7
    assert not watched(harness.advance(2 * GAP_TIMEOUT))


def test_a_lasting_gap_leads_to_a_new_watch_from_the_stored_revision():
    harness = WatcherHarness().connect()
    harness.update(6, 7, b=b"7")
    effects = harness.advance(GAP_TIMEOUT)
    (again,) = [one for one in effects if isinstance(one, Send)]
    assert again == Send(harness.upstream, Watch(harness.session + 1, LOG, 5, ("",), 4, "z"))
    assert ("distribution_gaps", harness.upstream) in harness.counted
    harness.update(5, 7, b=b"7")
    assert harness.counted[-1] == ("distribution_other_sessions", harness.upstream), "it belongs to the earlier session"


def test_a_heartbeat_advances_only_a_watcher_without_a_gap():
    harness = WatcherHarness().connect()
    assert persisted(harness.received(Heartbeat(harness.session, LOG, 5, 9))) == [9]
    harness = WatcherHarness().connect()
    assert not persisted(harness.received(Heartbeat(harness.session, LOG, 6, 9)))
    assert watched(harness.advance(GAP_TIMEOUT)) == [harness.upstream]


def test_a_heartbeat_is_acknowledged_and_never_lowers_the_revision():
    harness = WatcherHarness().connect()
    assert acknowledged(harness.received(Heartbeat(harness.session, LOG, 3, 3))) == [5]
    assert harness.watcher.revision == 5


def test_a_snapshot_older_than_the_stored_state_is_rejected():
    harness = WatcherHarness().connect()
    part = SnapshotPart(harness.session, LOG, 4, 0, 1, (Entry("old", b"4", 4),))
    assert not persisted(harness.received(part))
    assert ("distribution_snapshots_refused", "") in harness.counted


def test_a_snapshot_replaces_the_stored_state():
    harness = WatcherHarness().connect()
    first, second = Entry("b", b"8", 8), Entry("c", b"7", 7)
    effects = harness.received(SnapshotPart(harness.session, LOG, 9, 1, 2, (second,)))
    assert [one.message.parts for one in effects] == [0]
    harness.received(SnapshotPart(harness.session, LOG, 9, 1, 2, (second,)))
    effects = harness.received(SnapshotPart(harness.session, LOG, 9, 0, 2, (first,)))
    assert [one for one in effects if isinstance(one, Persist)] == [Persist(LOG, 9, (first, second), True)]
    harness.step(events.Persisted(9))
    assert harness.watcher.stored.entries == {"b": first, "c": second}
    harness.step(events.Applied(9))
    again = harness.received(SnapshotPart(harness.session, LOG, 9, 1, 2, (second,)))
    assert [(one.message.revision, one.message.parts) for one in again] == [(9, 2)]


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
    harness = WatcherHarness().connect()
    effects = harness.received(
        type(message)(harness.session, *[getattr(message, f) for f in message.__struct_fields__[1:]])
    )
    assert not persisted(effects)
    assert ("distribution_damaged", "") in harness.counted
    assert harness.watcher.revision == 5


def test_unexpected_messages_are_counted_by_sender():
    harness = WatcherHarness().connect()
    update = Update(harness.session, LOG, 5, 6, ())
    assert harness.received(update, "stranger") == []
    assert harness.update(5, 6, session=harness.session + 1) == []
    assert harness.received(messages.Watch(1, LOG, 1, ("",), 1), "stranger") == []
    assert harness.received(messages.Check(1, ()), "stranger") == []
    assert harness.counted == [
        ("distribution_other_sessions", "stranger"),
        ("distribution_other_sessions", harness.upstream),
        ("distribution_unexpected", "stranger"),
        ("distribution_unexpected", "stranger"),
    ]


def test_a_key_out_of_scope_is_dropped_and_counted():
    harness = WatcherHarness(scope=("a",)).connect()
    effects = harness.update(5, 6, b=b"6", ab=b"6")
    assert [entry.key for entry in effects[0].entries] == ["ab"]
    assert ("distribution_out_of_scope", "") in harness.counted


def test_faults_are_reported_until_the_key_is_valid():
    harness = WatcherHarness().connect()
    harness.update(5, 6, bad=b"6", good=b"6")
    harness.step(events.Persisted(6))
    fault = KeyFault("bad", "no such engine")
    (send,) = harness.step(events.Applied(6, (fault,)))
    assert (send.message.revision, send.message.faults) == (6, (fault,))
    assert ("distribution_faults", "") in harness.counted
    (send,) = harness.received(Heartbeat(harness.session, LOG, 6, 6))
    assert send.message.faults == (fault,)
    harness.update(6, 7, bad=b"7")
    harness.step(events.Persisted(7))
    (send,) = harness.step(events.Applied(7))
    assert send.message.faults == ()
