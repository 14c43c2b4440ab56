"""The operators' part without the bench: bans, the state file, the answers of the second address, its listener."""

import os
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from rackhub import interface as t
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.ops import gentle, statefile
from rackhub.ops.bans import Bans
from rackhub.ops.desk import OpsDesk
from rackhub.ops.figures import Figures
from rackhub.ops.listener import OpsFront

LIST = (t.EngineEntry("a", started_at=5), t.EngineEntry("b"), t.EngineEntry("c", state="Terminating"))


def shown_states(bans: Bans, entries=LIST) -> dict[str, str]:
    return {entry.engine: entry.state for entry in bans.shown(entries)}


def test_a_banned_engine_is_draining_whatever_the_list_says_until_it_is_put_back_cold():
    bans = Bans()
    bans.seen(LIST)
    assert not bans.offline("never")  # a no is owed to an id never listed
    assert bans.offline("b") and bans.offline("b")  # twice is harmless
    assert shown_states(bans)["b"] == "Terminating"
    assert shown_states(bans, (t.EngineEntry("b"),))["b"] == "Terminating"  # a new list changes nothing
    assert shown_states(bans, ()) == {}  # nor its absence
    assert shown_states(bans, (t.EngineEntry("b"),))["b"] == "Terminating"
    assert bans.online("b", 1_000)
    back = {entry.engine: entry for entry in bans.shown(LIST)}["b"]
    assert back.state == "Ready" and back.started_at == 1_000  # cold from its return on
    later = {entry.engine: entry for entry in bans.shown((t.EngineEntry("b", started_at=2_000),))}["b"]
    assert later.started_at == 2_000  # a later start in the list tells the truth from there on


@given(st.lists(st.tuples(st.sampled_from(["off", "on", "list"]), st.sampled_from("abcx")), max_size=40))
@settings(max_examples=200, derandomize=True)
def test_bans_against_a_model_of_random_steps(steps):
    bans, out, listed, now = Bans(), set(), set(), 0
    for what, engine in steps:
        now += 1
        if what == "list":
            entries = tuple(t.EngineEntry(name) for name in "abc" if name <= engine or name == "a")
            listed.update(entry.engine for entry in entries)
            states = shown_states(bans, entries)
            assert {name for name, state in states.items() if state == "Terminating"} == out & set(states)
        elif what == "off":
            assert bans.offline(engine) == (engine in listed)
            if engine in listed:
                out.add(engine)
        else:
            assert bans.online(engine, now) == (engine in listed)
            out.discard(engine)
        # kept and read back, it is the same
        kept = statefile.decode(statefile.encode(bans.out, bans.listed, bans.back))
        assert set(kept.out) == out and set(kept.listed) == listed


def test_the_state_file_is_replaced_whole_and_read_back(tmp_path):
    path = statefile.place({"TMPDIR": str(tmp_path)})
    assert statefile.read(path) is None
    statefile.write(path, statefile.encode({"b"}, {"a", "b"}, {"a": 7}))
    kept = statefile.read(path)
    assert kept is not None and kept.out == ["b"] and kept.back == {"a": 7}
    assert [p.name for p in tmp_path.iterdir()] == [statefile.NAME]  # nothing left beside it


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b'{"format": "rackhub-ops-state", "ver',
        b"\xff\xfe",
        b'{"format": "other", "version": 1}',
        b'{"format": "rackhub-ops-state", "version": 9}',
        b'{"format": "rackhub-ops-state", "version": 1, "out": "b"}',
        b"[1, 2]",
    ],
)
def test_a_damaged_or_foreign_state_file_is_refused_with_its_reason(tmp_path, data):
    path = tmp_path / statefile.NAME
    path.write_bytes(data)
    with pytest.raises(statefile.Unreadable):
        statefile.read(path)


class Told:
    def __init__(self):
        self.changes, self.ready = 0, True

    def changed(self):
        self.changes += 1


def desk_of(told: Told) -> OpsDesk:
    bans = Bans()
    bans.seen(LIST)
    by_class = {"lookup": [3, 1, 2, 7]}
    figures = Figures(by_class, lambda: 4, lambda: 3, lambda: len(bans.out))
    return OpsDesk(bans, lambda: told.ready, told.changed, figures.text, lambda: 100)


def test_the_desk_answers_every_call_and_every_fault_with_yes_or_no():
    told = Told()
    desk = desk_of(told)
    assert desk.answer(b"HEALTH") == b"YES ready\n"
    told.ready = False
    assert desk.answer(b"HEALTH").startswith(b"NO")
    assert desk.answer(b"OFFLINE nope").startswith(b"NO") and told.changes == 0
    assert desk.answer(b"OFFLINE a").startswith(b"YES") and told.changes == 1
    assert desk.answer(b"ONLINE a").startswith(b"YES") and told.changes == 2
    for bad in (b"", b"   ", b"FLY", b"HEALTH now", b"OFFLINE", b"OFFLINE a b", b"\xff\xfe", b"HEAL\x00TH"):
        assert desk.answer(bad).startswith(b"NO "), bad


def test_figures_are_the_counts_of_the_core_in_the_text_format():
    told = Told()
    desk = desk_of(told)
    desk.answer(b"OFFLINE b")
    text = desk.answer(b"DUMP").decode()
    lines = text.splitlines()
    assert lines[0].startswith("YES") and lines[-1] == "END"
    values = {line.rsplit(" ", 1)[0]: float(line.rsplit(" ", 1)[1]) for line in lines[1:-1] if not line.startswith("#")}
    assert values['balancer_responses{kind="lookup",result="ok"}'] == 3
    assert values['balancer_responses{kind="lookup",result="shed"}'] == 1
    assert values['balancer_responses{kind="lookup",result="errors"}'] == 2
    assert values['balancer_responses{kind="lookup",result="tries"}'] == 7
    assert values["balancer_active"] == 4 and values["balancer_pool_size"] == 3
    assert values["balancer_pool_ejected"] == 1


def call(front: OpsFront, clock: Clock, *pieces: bytes, wait: float = 0.0):
    protocol = front.buildProtocol(None)
    wire = StringTransport()
    protocol.makeConnection(wire)
    for piece in pieces:
        protocol.dataReceived(piece)
    clock.advance(wait)
    return wire


@pytest.fixture
def front():
    clock = Clock()
    return OpsFront(desk_of(Told()), clock, Limits(), Counters()), clock


def test_a_whole_call_cut_at_every_byte_is_answered(front):
    front, clock = front
    line = b"OFFLINE a\r\n"
    for cut in range(1, len(line)):
        wire = call(front, clock, line[:cut], line[cut:])
        assert wire.value().startswith(b"YES") and wire.disconnecting


@pytest.mark.parametrize("pieces", [(), (b"HEAL",), (b"x" * 600,), (b"\xff\xfe\n",), (b"WHAT\n",)])
def test_silent_half_long_and_bad_callers_are_told_no_within_a_second(front, pieces):
    front, clock = front
    wire = call(front, clock, *pieces, wait=0.9)
    assert wire.value().startswith(b"NO ") and wire.value().count(b"\n") == 1 and wire.disconnecting


def test_callers_that_never_read_are_cut_and_do_not_pile_up(front):
    front, clock = front
    wires = [call(front, clock) for _ in range(Limits().ops_connections)]
    extra = call(front, clock)
    assert extra.value().startswith(b"NO too many")
    clock.advance(0.9)
    assert all(wire.value().startswith(b"NO") for wire in wires)


def test_a_ban_outlives_the_process_and_a_damaged_file_is_counted_and_ignored(tmp_path):
    path = statefile.place({"TMPDIR": str(tmp_path)})
    counters = Counters()
    first = statefile.kept_bans(path, counters.add)  # no file: nothing out
    first.seen(LIST)
    assert first.offline("b")
    statefile.keep_bans(path, first, counters.add)
    second = statefile.kept_bans(path, counters.add)  # the process that replaces it
    assert shown_states(second, (t.EngineEntry("b"), t.EngineEntry("a")))["b"] == "Terminating"
    assert second.online("b", 10) and not second.offline("never")  # it knows what was listed before it
    path.write_bytes(b'{"format": "rackhub-ops-state", "version": 1, "out": ["b"')  # cut short
    third = statefile.kept_bans(path, counters.add)
    assert not third.out and counters["ops_state_bad"] == 1


def test_bans_that_cant_be_written_are_counted(tmp_path):
    counters = Counters()
    statefile.keep_bans(tmp_path / "gone" / statefile.NAME, Bans(), counters.add)
    assert counters["ops_state_unwritten"] == 1


def test_without_a_second_address_nothing_of_it_is_loaded():
    import subprocess
    import sys

    probe = (
        "import sys, rackhub.daemon, rackhub.cli.serve; print(sorted(m for m in sys.modules "
        "if m.startswith(('rackhub.ops', 'prometheus_client'))))"
    )
    out = subprocess.run([sys.executable, "-c", probe], capture_output=True, text=True, check=True).stdout
    assert out.strip() == "[]"


def test_a_start_is_spread_only_where_the_process_before_lives(tmp_path, monkeypatch):
    told = {"TMPDIR": str(tmp_path)}
    assert not gentle.alive(told)
    first = gentle.hold(told)
    second = gentle.hold(told)  # its successor, beside it
    assert gentle.alive(told)
    assert gentle.succeeded(first)
    os.close(first)
    assert gentle.alive(told)
    assert not gentle.succeeded(second)  # alone
    os.close(second)
    assert not gentle.alive(told)  # the file is still there, but nobody holds it


def test_a_spread_start_sleeps_for_its_pieces_and_not_for_ever(monkeypatch):
    spent, slept = [0.0], []
    monkeypatch.setattr(gentle.time, "process_time", lambda: spent[0])
    monkeypatch.setattr(gentle.time, "sleep", slept.append)
    pace = gentle.Pace()
    for piece in (0.001, 0.009, 0.0, *[0.1] * 20):
        spent[0] += piece
        assert pace.find_spec("any") is None
    assert slept[0] == pytest.approx(0.05) and sum(slept) == pytest.approx(gentle.MOST)
    before = list(sys.meta_path)
    gentle.spread()
    assert len(sys.meta_path) == len(before) + 1
    gentle.done()
    assert sys.meta_path == before
