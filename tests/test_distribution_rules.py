"""The rule book as keys and values: there and back, changes as large as themselves, keys that no part takes."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rackhub.fleet.distribution import rules
from rackhub.fleet.distribution.applying import RuleKeys, settle
from rackhub.fleet.distribution.decisions import InvalidEdit
from rackhub.fleet.distribution.editing import EditRequest, plan
from rackhub.fleet.distribution.history import History
from rackhub.fleet.distribution.limits import FAULT_LETTERS, MAX_KEY_BYTES, VALUE_BYTES
from rackhub.fleet.distribution.messages import Entry
from rackhub.fleet.distribution.rules import RuleKeyError, assemble, difference, flatten
from rackhub.fleet.register.disk import MemoryDisk

names = st.text(min_size=1, max_size=8)
scalars = (
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats(allow_nan=False) | st.text(max_size=8)
)
tables = st.dictionaries(names, scalars | st.lists(scalars, max_size=3), max_size=4)
contents = st.dictionaries(names, st.dictionaries(names, scalars | st.lists(tables, max_size=6) | tables, max_size=4))


@settings(max_examples=200, deadline=None)
@given(contents, contents)
def test_a_content_comes_back_from_its_keys_and_from_a_difference_to_another_one(content, before):
    standing = flatten(before, {})
    values = flatten(content, standing)
    assert assemble(values) == content
    changed = standing | difference(standing, values)
    assert {key: value for key, value in changed.items() if value is not None} == values


def routes(*attempts):
    return {"timings": {"route": [{"class": f"c{number}", "attempts": number} for number in attempts]}}


@pytest.mark.parametrize(
    "after, keys",
    [
        (routes(1, 2, 9, 3, 4), 1),  # put in
        (routes(9, 1, 2, 3, 4), 1),  # before the first
        (routes(1, 2, 3, 4, 9), 1),  # after the last
        (routes(1, 3, 4), 1),  # taken out
        (routes(1, 2, 9, 4), 1),  # replaced
        (routes(1, 2, 3, 4), 0),
        ({}, 4),
    ],
)
def test_a_change_has_as_many_keys_as_items_that_changed(after, keys):
    standing = flatten(routes(1, 2, 3, 4), {})
    changed = difference(standing, flatten(after, standing))
    assert len(changed) == keys


def test_where_there_is_no_room_between_two_items_all_get_new_ranks(monkeypatch):
    monkeypatch.setattr(rules, "RANK_STEP", 2)
    values = flatten(routes(1, 2), {})
    for number in range(10, 30):
        content = assemble(values)
        content["timings"]["route"].insert(1, {"class": "x", "attempts": number})
        values = flatten(content, values)
        assert assemble(values) == content


def test_names_with_slashes_and_blanks_are_quoted_in_keys():
    content = {"a/b": {"c d/e": [{"x": 1}], "é": 2}, "empty": {}}
    values = flatten(content, {})
    assert assemble(values) == content and rules.part_of(min(values)) == "a/b"
    assert all(key.count("/") <= 3 and key.isascii() for key in values)


@pytest.mark.parametrize(
    "content, fault",
    [
        ({"timings": {"route": [{"x": "y" * VALUE_BYTES}]}}, r"rules/timings/route\[0\]: its value has .* more than"),
        ({"timings": {"note": "y" * VALUE_BYTES}}, "rules/timings/note: its value has .* bytes, more than"),
        ({"timings": 3}, "rules/timings: 3 is not a table"),
        ({"timings": {"number": 1 << 70}}, "rules/timings/number: can't be written"),
    ],
)
def test_what_can_t_be_a_value_is_refused_naming_the_key(content, fault):
    with pytest.raises(RuleKeyError, match=fault):
        flatten(content, {})


def planned(sections, standing=(), **words):
    request = {
        "kind": "edit",
        "author": "ann",
        "reason": "r",
        "id": "e1",
        "base_revision": 0,
        "sections": sections,
    } | words
    history = History(MemoryDisk(lambda delay, call: None, "d"), 0)
    return plan(EditRequest(**request), dict(standing), history)


@pytest.mark.parametrize(
    "parts, words, fault",
    [
        ({"a": {"k" * MAX_KEY_BYTES: 1}}, {}, "rules/a/kkk.*the key has 264 bytes, more than 256"),
        ({"k" * MAX_KEY_BYTES: {}}, {}, "rules/kkk.*the key has 262 bytes, more than 256"),
        ({"a": {"b": "x" * VALUE_BYTES}}, {}, "rules/a/b: its value has 16387 bytes, more than 16384"),
        ({"a": {f"{n}": "x" * 16_000 for n in range(5)}}, {}, "key 'rules/a/0': it is the largest of an edit of"),
        ({"a": {f"{n:03}": n for n in range(257)}}, {}, "an edit has 1 to 256 keys, not 257"),
        ({"a": {"b": 1}}, {"id": "i" * 65}, "id and author have at most 64 letters"),
        ({"a": {"b": 1}}, {"author": "a" * 65}, "id and author have at most 64 letters"),
        ({"a": {"b": 1}}, {"reason": "r" * 201}, "a reason 200"),
        ({"a": {"b": 1}}, {"reason": ""}, "reason: '' is empty"),
    ],
)
def test_an_edit_over_a_bound_is_refused_naming_the_key(parts, words, fault):
    with pytest.raises((RuleKeyError, InvalidEdit), match=fault):
        planned(parts, **words)
    assert planned({"a": {"b": "x" * (VALUE_BYTES - 3)}})


@pytest.mark.parametrize(
    "values, fault",
    [
        ({"tenants/x": b"\xc0"}, "tenants/x: is no key of the rule book"),
        ({"rules/a/b/c/d": b"\xc0"}, "is no key of the rule book"),
        ({"rules/a/b/zz": b"\xc0"}, "'zz' is no rank"),
        ({"rules/a/b": b"\xc1"}, "rules/a/b: its value can't be read"),
        ({"rules/a/b": b"\x01", "rules/a/b/1": b"\xc0"}, "rules/a/b/1: b is not an array of tables"),
    ],
)
def test_keys_that_no_edit_makes_are_named(values, fault):
    with pytest.raises(RuleKeyError, match=fault):
        assemble(values)


# ---- at the parts


class Part:
    """Takes numbers below 10, and `second` only where `first` is there."""

    def __init__(self):
        self.held = []

    def check(self, part):
        for name, value in (part or {}).items():
            if not isinstance(value, int) or value >= 10:
                raise ValueError(f"part.{name} = {value!r}: is not below 10")
        if part and "second" in part and "first" not in part:
            raise ValueError("part.second: there is no first")

    def apply(self, part, version):
        self.held.append((version, part))


def entry(name, number, revision=1):
    return Entry(f"rules/{name}", None if number is None else rules.encode_value(number), revision)


def keys_with_part(wanted=(), fallback=()):
    keys, part = RuleKeys(dict(wanted), dict(fallback)), Part()
    keys.parts["p"] = part
    return keys, part


def test_all_of_a_change_is_held_together_and_a_deleted_key_goes():
    keys, part = keys_with_part()
    assert keys.apply([entry("p/second", 2), entry("p/first", 1)], False, 1) == ()
    assert part.held == [(1, {"first": 1, "second": 2})]
    assert keys.apply([entry("p/second", None), entry("p/first", None)], False, 2) == ()
    assert part.held[-1] == (2, None)


def test_a_key_that_can_t_be_taken_keeps_its_value_and_the_others_change():
    keys, part = keys_with_part()
    keys.apply([entry("p/first", 1), entry("p/third", 3)], False, 1)
    [fault] = keys.apply([entry("p/first", 99), entry("p/third", 4), entry("p/second", 5)], False, 2)
    assert fault.key == "rules/p/first" and "first = 99: is not below 10" in fault.reason
    assert part.held[-1] == (2, {"first": 1, "second": 5, "third": 4})
    assert keys.applied["rules/p/first"] == rules.encode_value(1)
    assert keys.apply([entry("p/first", 7)], False, 3) == () and part.held[-1][1]["first"] == 7


def test_what_rests_on_another_key_of_the_change_is_found_in_a_second_pass():
    keys, part = keys_with_part()
    faults = keys.apply([entry("p/a", 50), entry("p/second", 2), entry("p/tofirst", 1), entry("p/first", 1)], False, 1)
    assert [fault.key for fault in faults] == ["rules/p/a"]
    assert part.held[-1][1] == {"second": 2, "tofirst": 1, "first": 1}


def test_a_snapshot_drops_what_it_does_not_name_and_parts_that_are_not_here_are_faults():
    keys, part = keys_with_part()
    keys.apply([entry("p/first", 1)], False, 1)
    faults = keys.apply([entry("q/x", 1), Entry("other", b"\xc0", 2)], True, 2)
    assert [fault.key for fault in faults] == ["other", "rules/q/x"] and "q: is not known here" in faults[1].reason
    assert part.held[-1] == (2, None)


def test_over_a_restart_a_refused_key_s_value_before_holds_again():
    keys, _ = keys_with_part()
    keys.apply([entry("p/first", 1), entry("p/third", 3)], False, 1)
    keys.apply([entry("p/first", 99), entry("p/new", 99)], False, 2)
    fallback = {key: keys.applied.get(key) for key in keys.faults}
    again, part = keys_with_part(keys.wanted, fallback | {"rules/p/third": None})
    again.start(2)
    assert part.held == [(2, {"first": 1, "third": 3})] and set(again.faults) == {"rules/p/first", "rules/p/new"}


def test_a_part_that_fails_while_it_holds_is_a_fault_and_the_others_go_on():
    class Broken(Part):
        def apply(self, part, version):
            raise RuntimeError("no")

    keys, part = keys_with_part()
    keys.parts["a"] = Broken()
    [fault] = keys.apply([entry("a/x", 1), entry("p/first", 1)], False, 1)
    assert fault.key == "rules/a/x" and part.held == [(1, {"first": 1})]


def test_a_check_changes_nothing_and_names_only_keys_that_were_asked():
    keys, part = keys_with_part()
    keys.apply([entry("p/first", 99)], False, 1)
    before = (dict(keys.wanted), dict(keys.applied), list(part.held))
    assert keys.check([entry("p/third", 3)]) == ()
    [fault] = keys.check([entry("p/third", 30)])
    assert fault.key == "rules/p/third" and len(fault.reason) <= FAULT_LETTERS
    assert (keys.wanted, keys.applied, part.held) == before


def test_the_work_for_a_part_that_takes_nothing_is_bounded():
    calls = []

    def check(name, values):
        calls.append(values)
        raise ValueError("no")

    settled = settle(check, "p", {}, {f"rules/p/{number}": b"" for number in range(100)})
    assert len(settled.faults) == 100 and len(calls) <= 101
