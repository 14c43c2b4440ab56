"""The tail of decided changes in the register: bounds, compare, idempotence, trimming."""

import msgspec
import pytest

from rackhub.fleet.distribution.decisions import (
    REMEMBERED_EDITS,
    Edit,
    InvalidEdit,
    RevisionMismatch,
    Tail,
    TailFull,
    append_edit,
    decided_revision,
    decode_tail,
    encode_tail,
    majority_revision,
    trim,
)
from rackhub.fleet.distribution.limits import CHANGE_BYTES, CHANGE_ENTRIES, MAX_KEY_BYTES, VALUE_BYTES
from rackhub.fleet.register.messages import MAX_VALUE_BYTES


def edited(tail, *numbers, replicated=0):
    for number in numbers:
        tail = append_edit(tail, Edit(f"edit-{number}", {f"key-{number}": b"v"}), replicated)
    return tail


def test_changes_follow_each_other():
    tail = edited(Tail("log"), 1, 2, 3)
    assert [change.revision for change in tail.changes] == [1, 2, 3]
    assert tail.changes[1].entries[0].revision == 2
    assert decode_tail(encode_tail(tail)) == tail


def test_an_edit_tried_again_is_not_done_twice():
    tail = edited(Tail("log"), 1, 2)
    assert append_edit(tail, Edit("edit-1", {"other": b""}), 0) is tail
    trimmed = trim(tail, 2)
    assert trimmed.changes == () and trimmed.settled == 2
    assert append_edit(trimmed, Edit("edit-1", {"other": b""}), 2) is trimmed
    assert decided_revision(trimmed, "edit-2") == 2
    assert decided_revision(trimmed, "edit-3") is None


def test_what_a_majority_has_leaves_the_tail():
    tail = edited(edited(Tail("log"), 1, 2, 3), 4, replicated=2)
    assert tail.settled == 2 and [change.revision for change in tail.changes] == [3, 4]
    assert trim(tail, 1) == tail, "settled never goes back"
    assert trim(tail, 99).settled == 4, "nor beyond what was decided"


def test_ids_are_remembered_within_a_bound():
    tail = Tail("log")
    for number in range(REMEMBERED_EDITS + 10):
        tail = edited(tail, number, replicated=tail.newest)
    assert len(tail.applied) == REMEMBERED_EDITS
    assert decided_revision(tail, f"edit-{REMEMBERED_EDITS}") == REMEMBERED_EDITS + 1


def test_a_compare_that_fails_names_both_revisions():
    tail = edited(Tail("log"), 1, 2)
    assert append_edit(tail, Edit("a", {"k": b""}, expected_revision=2), 0).newest == 3
    with pytest.raises(RevisionMismatch) as refused:
        append_edit(tail, Edit("a", {"k": b""}, expected_revision=1), 0)
    assert (refused.value.expected, refused.value.newest) == (1, 2)
    with pytest.raises(RevisionMismatch):
        append_edit(tail, Edit("a", {"k": b""}, expected_revision=0), 0)


@pytest.mark.parametrize(
    ("values", "key"),
    [
        ({"good": b"", "k" * (MAX_KEY_BYTES + 1): b""}, "k" * (MAX_KEY_BYTES + 1)),
        ({"ä" * MAX_KEY_BYTES: b""}, "ä" * MAX_KEY_BYTES),  # its bytes count, not its letters
        ({"": b""}, ""),
        ({"\ud800": b""}, "\ud800"),
        ({"good": b"", "big": bytes(VALUE_BYTES + 1)}, "big"),
        ({f"k{i}": bytes(VALUE_BYTES - (i == 0)) for i in range(5)}, "k1"),
        ({f"k{i}": b"" for i in range(CHANGE_ENTRIES + 1)}, ""),
        ({}, ""),
    ],
)
def test_an_edit_over_its_bounds_is_refused_by_key(values, key):
    with pytest.raises(InvalidEdit) as refused:
        append_edit(Tail("log"), Edit("a", values), 0)
    assert refused.value.key == key


def test_an_edit_without_id_is_refused():
    with pytest.raises(InvalidEdit):
        append_edit(Tail("log"), Edit("", {"k": b""}), 0)


def test_a_change_at_its_bounds_is_taken():
    values = {f"{i:<{MAX_KEY_BYTES}}": bytes(VALUE_BYTES - MAX_KEY_BYTES) for i in range(CHANGE_BYTES // VALUE_BYTES)}
    assert append_edit(Tail("log"), Edit("a", values), 0).newest == 1


def test_a_tail_that_no_majority_applies_is_refused_before_the_registers_bound():
    tail, value = Tail("log"), bytes(VALUE_BYTES)
    with pytest.raises(TailFull) as refused:
        for number in range(100):
            tail = append_edit(tail, Edit(f"{number}", {"k": value}), 0)
    assert refused.value.waiting == len(tail.changes) == MAX_VALUE_BYTES // VALUE_BYTES
    assert len(encode_tail(tail)) <= MAX_VALUE_BYTES
    assert append_edit(tail, Edit("next", {"k": value}), tail.newest).newest == tail.newest + 1


def test_a_damaged_tail_is_refused():
    tail = edited(Tail("log"), 1, 2)
    broken = msgspec.structs.replace(tail, settled=5)
    with pytest.raises(msgspec.MsgspecError):
        decode_tail(encode_tail(broken))
    with pytest.raises(msgspec.MsgspecError):
        decode_tail(b"\x01")


def test_the_revision_of_a_majority():
    assert majority_revision([5, 3, 4], 3) == 4
    assert majority_revision([5, 3], 5) == 0
    assert majority_revision([5, 3, 4], 5) == 3
    assert majority_revision([9], 1) == 9
