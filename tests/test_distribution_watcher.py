"""The receiving side of a watch, message by message."""

import pytest
from distribution_cores import LOG, Driven, acknowledged, persisted, watched

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
from rackhub.fleet.distribution.receiver import GAP_WAIT


def test_disk_then_force_then_acknowledgement():
    driven = Driven().connect()
    entry = Entry("b", b"6", 6)
    assert driven.update(5, 6, b=b"6") == [Persist(LOG, 6, (entry,), False)]
    assert driven.watcher.held.revision == driven.watcher.revision == 5
    assert driven.step(events.Persisted(6)) == [Apply(LOG, 6, (entry,), False)]
    assert (driven.watcher.held.revision, driven.watcher.revision) == (6, 5)
    assert acknowledged(driven.step(events.Applied(6))) == [6]
    assert driven.watcher.held == StoredState(LOG, 6, ("",), {"a": Entry("a", b"5", 5), "b": entry})


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
