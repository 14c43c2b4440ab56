"""The rule set as keys and values: conversion in both directions, the size of changes, and rejected keys."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rackhub.fleet.distribution import rules
from rackhub.fleet.distribution.decisions import InvalidEdit
from rackhub.fleet.distribution.editing import EditRequest, plan
from rackhub.fleet.distribution.history import History
from rackhub.fleet.distribution.limits import MAX_ENTRY_VALUE_BYTES, MAX_FAULT_REASON_CHARS, MAX_KEY_BYTES
from rackhub.fleet.distribution.messages import Entry
from rackhub.fleet.distribution.rule_keys import RuleKeys, accept_values
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
def test_content_survives_conversion_to_keys_and_to_a_difference(content, before):
    current = flatten(before, {})
    values = flatten(content, current)
    assert assemble(values) == content
    changed = current | difference(current, values)
    assert {key: value for key, value in changed.items() if value is not None} == values


def routes(*attempts):
    return {"timings": {"route": [{"class": f"c{number}", "attempts": number} for number in attempts]}}


@pytest.mark.parametrize(
    "after, keys",
    [
        (routes(1, 2, 9, 3, 4), 1),  # inserted
        (routes(9, 1, 2, 3, 4), 1),  # inserted before the first
        (routes(1, 2, 3, 4, 9), 1),  # appended
        (routes(1, 3, 4), 1),  # removed
        (routes(1, 2, 9, 4), 1),  # replaced
        (routes(1, 2, 3, 4), 0),
        ({}, 4),
    ],
)
def test_a_change_has_as_many_keys_as_items_that_changed(after, keys):
    current = flatten(routes(1, 2, 3, 4), {})
    changed = difference(current, flatten(after, current))
    assert len(changed) == keys


def test_without_free_ranks_between_two_items_all_get_new_ranks(monkeypatch):
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
    assert assemble(values) == content and rules.section_of(min(values)) == "a/b"
    assert all(key.count("/") <= 3 and key.isascii() for key in values)


@pytest.mark.parametrize(
    "content, fault",
    [
        (
            {"timings": {"route": [{"x": "y" * MAX_ENTRY_VALUE_BYTES}]}},
            r"rules/timings/route\[0\]: its value has .* more than",
        ),
        ({"timings": {"note": "y" * MAX_ENTRY_VALUE_BYTES}}, "rules/timings/note: its value has .* bytes, more than"),
        ({"timings": 3}, "rules/timings: 3 is not a table"),
        ({"timings": {"number": 1 << 70}}, "rules/timings/number: can't be encoded"),
    ],
)
def test_an_unusable_value_is_rejected_naming_the_key(content, fault):
    with pytest.raises(RuleKeyError, match=fault):
        flatten(content, {})


def planned(sections, current=(), **arguments):
    request = {
        "kind": "edit",
        "author": "ann",
        "reason": "r",
        "id": "e1",
        "base_revision": 0,
        "sections": sections,
    } | arguments
    history = History(MemoryDisk(lambda delay, call: None, "d"), 0)
    return plan(EditRequest(**request), dict(current), history)


@pytest.mark.parametrize(
    "parts, arguments, fault",
    [
        ({"a": {"k" * MAX_KEY_BYTES: 1}}, {}, "rules/a/kkk.*the key has 264 bytes, more than 256"),
        ({"k" * MAX_KEY_BYTES: {}}, {}, "rules/kkk.*the key has 262 bytes, more than 256"),
        ({"a": {"b": "x" * MAX_ENTRY_VALUE_BYTES}}, {}, "rules/a/b: its value has 16387 bytes, more than 16384"),
        (
            {"a": {f"{n}": "x" * 16_000 for n in range(5)}},
            {},
            "key 'rules/a/0': its value is the largest of an edit of",
        ),
        ({"a": {f"{n:03}": n for n in range(257)}}, {}, "an edit must change 1 to 256 keys, not 257"),
        ({"a": {"b": 1}}, {"id": "i" * 65}, "id and author have at most 64 characters"),
        ({"a": {"b": 1}}, {"author": "a" * 65}, "id and author have at most 64 characters"),
        ({"a": {"b": 1}}, {"reason": "r" * 201}, "the reason 200"),
        ({"a": {"b": 1}}, {"reason": ""}, "reason: '' is empty"),
    ],
)
def test_an_edit_over_a_limit_is_rejected_naming_the_key(parts, arguments, fault):
    with pytest.raises((RuleKeyError, InvalidEdit), match=fault):
        planned(parts, **arguments)
    assert planned({"a": {"b": "x" * (MAX_ENTRY_VALUE_BYTES - 3)}})


@pytest.mark.parametrize(
    "values, fault",
    [
        ({"tenants/x": b"\xc0"}, "tenants/x: is not a key of the rule set"),
        ({"rules/a/b/c/d": b"\xc0"}, "is not a key of the rule set"),
        ({"rules/a/b/zz": b"\xc0"}, "'zz' is not the rank"),
        ({"rules/a/b": b"\xc1"}, "rules/a/b: its value can't be decoded"),
        ({"rules/a/b": b"\x01", "rules/a/b/1": b"\xc0"}, "rules/a/b/1: b is not an array of tables"),
    ],
)
def test_unusable_keys_are_named(values, fault):
    with pytest.raises(RuleKeyError, match=fault):
        assemble(values)


# ---- rule sections


class RecordingSection:
    """Accepts numbers below 10, and `second` only together with `first`. Records what is applied."""

    def __init__(self):
        self.apply_calls = []

    def check(self, section):
        for name, value in (section or {}).items():
            if not isinstance(value, int) or value >= 10:
                raise ValueError(f"part.{name} = {value!r}: is not below 10")
        if section and "second" in section and "first" not in section:
            raise ValueError("part.second: there is no first")

    def apply(self, section, version):
        self.apply_calls.append((version, section))


def entry(name, number, revision=1):
    return Entry(f"rules/{name}", None if number is None else rules.encode_value(number), revision)


def keys_with_section(desired=(), fallback=()):
    keys, section = RuleKeys(dict(desired), dict(fallback)), RecordingSection()
    keys.sections["p"] = section
    return keys, section


def test_a_change_is_applied_as_a_whole_and_a_deleted_key_is_removed():
    keys, section = keys_with_section()
    assert keys.apply([entry("p/second", 2), entry("p/first", 1)], False, 1) == ()
    assert section.apply_calls == [(1, {"first": 1, "second": 2})]
    assert keys.apply([entry("p/second", None), entry("p/first", None)], False, 2) == ()
    assert section.apply_calls[-1] == (2, None)


def test_a_rejected_key_keeps_its_value_and_the_others_change():
    keys, section = keys_with_section()
    keys.apply([entry("p/first", 1), entry("p/third", 3)], False, 1)
    [fault] = keys.apply([entry("p/first", 99), entry("p/third", 4), entry("p/second", 5)], False, 2)
    assert fault.key == "rules/p/first" and "first = 99: is not below 10" in fault.reason
    assert section.apply_calls[-1] == (2, {"first": 1, "second": 5, "third": 4})
    assert keys.applied["rules/p/first"] == rules.encode_value(1)
    assert keys.apply([entry("p/first", 7)], False, 3) == () and section.apply_calls[-1][1]["first"] == 7


def test_a_key_that_depends_on_another_one_is_accepted_in_a_second_pass():
    keys, section = keys_with_section()
    faults = keys.apply([entry("p/a", 50), entry("p/second", 2), entry("p/tofirst", 1), entry("p/first", 1)], False, 1)
    assert [fault.key for fault in faults] == ["rules/p/a"]
    assert section.apply_calls[-1][1] == {"second": 2, "tofirst": 1, "first": 1}


def test_a_snapshot_deletes_other_keys_and_unknown_sections_are_faults():
    keys, section = keys_with_section()
    keys.apply([entry("p/first", 1)], False, 1)
    faults = keys.apply([entry("q/x", 1), Entry("other", b"\xc0", 2)], True, 2)
    assert [fault.key for fault in faults] == ["other", "rules/q/x"] and "q: is not known here" in faults[1].reason
    assert section.apply_calls[-1] == (2, None)


def test_the_previous_value_of_a_rejected_key_is_applied_after_a_restart():
    keys, _ = keys_with_section()
    keys.apply([entry("p/first", 1), entry("p/third", 3)], False, 1)
    keys.apply([entry("p/first", 99), entry("p/new", 99)], False, 2)
    fallback = {key: keys.applied.get(key) for key in keys.faults}
    again, section = keys_with_section(keys.desired, fallback | {"rules/p/third": None})
    again.start(2)
    assert section.apply_calls == [(2, {"first": 1, "third": 3})] and set(again.faults) == {
        "rules/p/first",
        "rules/p/new",
    }


def test_a_section_that_fails_to_apply_is_a_fault_and_the_others_are_applied():
    class Broken(RecordingSection):
        def apply(self, section, version):
            raise RuntimeError("no")

    keys, section = keys_with_section()
    keys.sections["a"] = Broken()
    [fault] = keys.apply([entry("a/x", 1), entry("p/first", 1)], False, 1)
    assert fault.key == "rules/a/x" and section.apply_calls == [(1, {"first": 1})]


def test_a_check_changes_nothing_and_names_only_the_requested_keys():
    keys, section = keys_with_section()
    keys.apply([entry("p/first", 99)], False, 1)
    before = (dict(keys.desired), dict(keys.applied), list(section.apply_calls))
    assert keys.check([entry("p/third", 3)]) == ()
    [fault] = keys.check([entry("p/third", 30)])
    assert fault.key == "rules/p/third" and len(fault.reason) <= MAX_FAULT_REASON_CHARS
    assert (keys.desired, keys.applied, section.apply_calls) == before


def test_the_work_for_a_section_that_rejects_everything_is_limited():
    calls = []

    def check(name, values):
        calls.append(values)
        raise ValueError("no")

    accepted = accept_values(check, "p", {}, {f"rules/p/{number}": b"" for number in range(100)})
    assert len(accepted.faults) == 100 and len(calls) <= 101
