"""Keys, revisions and the log of changes, and what keeps the time of many sessions."""

import pytest

from rackhub.fleet.distribution.agenda import NEVER, Agenda
from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import Change, Entry
from rackhub.fleet.distribution.state import (
    ENTRY_OVERHEAD,
    Batch,
    Compacted,
    ForeignLog,
    KeyValueState,
    RevisionGap,
    entry_size,
    split,
)

LOG = "log"


def change(revision, **values):
    return Change(revision, tuple(Entry(key, value, revision) for key, value in values.items()))


def state_of(*changes, **limits):
    state = KeyValueState(Limits(**limits))
    for one in changes:
        state.apply_change(LOG, one)
    return state


def keys(batch):
    return {entry.key: entry.value for entry in batch.entries}


def test_changes_are_taken_once_and_in_order():
    state = state_of(change(1, a=b"1"), change(2, a=b"2", b=b"2"), change(3, b=None))
    assert (state.log, state.revision) == (LOG, 3)
    assert state.entries == {"a": Entry("a", b"2", 2)}
    assert not state.apply_change(LOG, change(2, a=b"other"))
    assert state.entries["a"].value == b"2"


def test_a_gap_and_another_log_are_refused():
    state = state_of(change(1, a=b"1"))
    with pytest.raises(RevisionGap) as gap:
        state.apply_change(LOG, change(3, a=b"3"))
    assert (gap.value.held, gap.value.previous) == (1, 2)
    with pytest.raises(ForeignLog):
        state.apply_change("other", change(2, a=b"2"))
    assert state.revision == 1


def test_since_merges_the_changes_of_one_key():
    state = state_of(change(1, a=b"1"), change(2, a=b"2"), change(3, b=b"3"), change(4, a=None))
    assert state.since(0) == Batch(0, 4, (Entry("b", b"3", 3), Entry("a", None, 4)))
    assert keys(state.since(3)) == {"a": None}
    assert state.since(4) == Batch(4, 4, ())


def test_since_keeps_to_the_scope_and_reaches_the_newest():
    state = state_of(change(1, a=b"1"), change(2, b=b"2", ab=b"2"), change(3, c=b"3"))
    assert keys(state.since(0, ("a",))) == {"a": b"1", "ab": b"2"}
    assert state.since(0, ("a",)).revision == 3
    assert state.since(0, ("z", "c")) == Batch(0, 3, (Entry("c", b"3", 3),))
    assert state.since(0, ()) == Batch(0, 3, ())


def test_a_batch_ends_where_a_change_ends():
    most = 2 * (1 + 10 + ENTRY_OVERHEAD)
    state = state_of(
        change(1, a=bytes(10)), change(2, b=bytes(10), c=bytes(10)), change(3, d=bytes(10)), max_update_bytes=most
    )
    assert (state.since(0).revision, keys(state.since(0)).keys()) == (1, {"a"})
    assert (state.since(1).revision, keys(state.since(1)).keys()) == (2, {"b", "c"})
    assert state.since(0, ("a", "d")).revision == 3


def test_a_change_larger_than_a_batch_is_still_whole():
    state = state_of(change(1, a=bytes(50), b=bytes(50)), change(2, c=b""), max_update_bytes=60)
    assert keys(state.since(0)).keys() == {"a", "b"}


def test_a_merged_key_does_not_count_twice():
    state = state_of(*(change(n, a=bytes(100)) for n in range(1, 50)), max_update_bytes=250)
    assert state.since(0).revision == 49


def test_older_changes_are_compacted_by_count_and_by_bytes():
    state = state_of(*(change(n, a=b"%d" % n) for n in range(1, 11)), max_log_steps=4)
    assert state.since(5) == Compacted(6)
    assert keys(state.since(6)) == {"a": b"10"}
    state = state_of(*(change(n, a=bytes(100)) for n in range(1, 11)), max_log_bytes=300)
    assert state.since(7) == Compacted(8) and isinstance(state.since(8), Batch)


def test_a_long_log_stays_bounded():
    state = state_of(*(change(n, a=b"") for n in range(1, 5_000)), max_log_steps=100)
    assert len(state._steps) < 1_300
    assert state.since(4_900).revision == 4_999


def test_an_update_that_overlaps_is_taken_by_what_is_new():
    state = state_of(change(1, a=b"1"), change(2, b=b"2"))
    merged = (Entry("b", b"2", 2), Entry("a", b"4", 4))
    assert state.apply(LOG, 1, 4, merged)
    assert state.revision == 4
    assert state.since(2) == Batch(2, 4, (Entry("a", b"4", 4),))
    assert state.since(3).entries == (Entry("a", b"4", 4),), "one that stood within the update can follow on, too"


def test_a_snapshot_does_not_move_with_later_changes():
    state = state_of(change(1, a=b"1", b=b"1", c=b"1"), max_update_bytes=2 * (2 + ENTRY_OVERHEAD))
    snapshot = state.snapshot(("a", "b", "c"))
    state.apply_change(LOG, change(2, a=b"2", b=None))
    assert snapshot.revision == 1
    assert [[entry.key for entry in part] for part in snapshot.parts] == [["a", "b"], ["c"]]
    assert snapshot.parts[0][0].value == b"1"
    assert [entry.key for entry in state.snapshot(("b",)).parts[0]] == []


def test_a_restored_state_has_no_changes_before_it():
    state = state_of(change(1, a=b"1"))
    state.restore(LOG, 7, [Entry("b", b"7", 7), Entry("c", None, 6)])
    assert state.since(6) == Compacted(7)
    assert state.since(7) == Batch(7, 7, ())
    assert list(state.entries) == ["b"]


def test_parts_hold_to_their_size():
    entries = [Entry(f"k{n}", bytes(n), 1) for n in range(100)]
    parts = split(entries, 300)
    assert [entry for part in parts for entry in part] == entries
    assert all(sum(map(entry_size, part)) <= 300 for part in parts)
    assert split([], 300) == ((),)


def test_an_agenda_gives_each_name_once_when_it_is_due():
    agenda = Agenda()
    assert agenda.due() == NEVER
    agenda.set("a", 50)
    agenda.set("a", 20)
    agenda.set("a", 90)  # later than what is set: found when that has come
    agenda.set("b", 30)
    agenda.set("c", 10)
    agenda.remove("c")
    assert agenda.due() == 20
    assert agenda.take(30) == ["a", "b"]
    assert agenda.take(100) == []
    assert agenda.due() == NEVER
