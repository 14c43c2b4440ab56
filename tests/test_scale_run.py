"""The scale run: what it refuses, its layout and cases, its audit, and tiny runs in virtual and in real time."""

import asyncio
import json
import os
import tomllib

import msgspec
import pytest

from rackhub.fleet.distribution.events import Apply, StoredState
from rackhub.fleet.distribution.messages import Change, Entry
from rackhub.fleet.distribution.watcher import Watcher
from rackhub.trials.scale import run as scale_run
from rackhub.trials.scale.addresses import Addresses, hold_ports
from rackhub.trials.scale.audit import Acknowledged, audit, content_after, spread
from rackhub.trials.scale.cases import CASES, Cut, KillRelays, Restart, plan
from rackhub.trials.scale.editor import Editor, spacing
from rackhub.trials.scale.filtered_port import CutFilter
from rackhub.trials.scale.layout import layout, scope_of
from rackhub.trials.scale.measure import cost, lateness_p99
from rackhub.trials.scale.memory_disk import MemoryDisk
from rackhub.trials.scale.orders import BeginReal, Polled
from rackhub.trials.scale.processes import ChildProcess, ProcessFailed
from rackhub.trials.scale.real import RealRun
from rackhub.trials.scale.real_coordinators import rig_plan
from rackhub.trials.scale.result import Cost, judged
from rackhub.trials.scale.settings import RunSettings, parse
from rackhub.trials.scale.sizes import MOST_BYTES, TooLarge, need, refuse_too_large
from rackhub.trials.scale.trace import Outage, Recorder
from rackhub.trials.scale.virtual import VirtualRun

SECOND = 1_000_000
TINY = RunSettings(coordinators=20, zones=2, relays=4, virtual=True, minutes=0.5)
FULL = RunSettings(coordinators=3_800, zones=22, relays=44, processes=6)


def tiny(case, **changes):
    return msgspec.structs.replace(TINY, case=case, **changes)


# ---- what it is asked


@pytest.mark.parametrize(
    "argv, named",
    [
        (["--coordinators", "many"], "--coordinators"),
        (["--coordinators", "1", "--zones", "2"], "--coordinators"),
        (["--relays", "1", "--zones", "2"], "--relays"),
        (["--minutes", "0"], "--minutes"),
        (["--minutes", "inf"], "--minutes"),
        (["--rate", "-1"], "--rate"),
        (["--case", "storm", "--virtual"], "--case"),
        (["--write", "../x", "--virtual"], "--write"),
        (["--real", "-3"], "--real"),
    ],
)
def test_an_option_that_can_not_be_used_is_named(argv, named, capsys):
    assert scale_run.main(argv) == 2
    assert named in capsys.readouterr().err


def test_options_become_settings():
    settings = parse(["--coordinators", "475", "--zones", "22", "--case", "tenfold", "--rate", "2", "--no-members"])
    assert (settings.coordinators, settings.relays, settings.rate, settings.members) == (475, 44, 2.0, False)
    assert parse([]).rate is None


@pytest.mark.parametrize(
    "changes",
    [
        {"coordinators": 60_000},
        {"relays": 200},
        {"processes": 160},
        {"real": 50},
        {"coordinators": 20_000, "processes": 1, "members": False},
    ],
)
def test_a_size_beyond_the_machine_is_refused(changes):
    with pytest.raises(TooLarge):
        refuse_too_large(msgspec.structs.replace(FULL, **changes))


def test_the_target_fits_in_real_and_in_virtual_time():
    assert refuse_too_large(FULL).processes == 1 + 5 + 44 + 6
    assert need(FULL).memory < MOST_BYTES
    assert refuse_too_large(msgspec.structs.replace(FULL, virtual=True)).processes == 1


def test_a_size_that_is_refused_ends_with_status_2_and_starts_nothing(capsys, monkeypatch):
    monkeypatch.setattr(scale_run, "run", lambda settings: pytest.fail("it was run"))
    assert scale_run.main(["--coordinators", "100000", "--zones", "22"]) == 2
    assert "MB, more than" in capsys.readouterr().err


def test_a_run_whose_processes_fail_is_told_in_words_with_status_1(capsys, monkeypatch):
    def fails(settings):
        raise ProcessFailed("voter-1 did not answer Poll")

    monkeypatch.setattr(scale_run, "run", fails)
    assert scale_run.main([]) == 1
    assert "voter-1 did not answer Poll" in capsys.readouterr().err


# ---- who is where, and what happens


def test_places_are_spread_over_zones_and_regions():
    made = layout(FULL)
    assert len(set(made.regions.values())) == 7 and len(made.regions) == 22
    assert {len(made.relays_of(zone)) for zone in made.regions} == {2}
    assert {len(made.of_zone(zone)) for zone in made.regions} == {172, 173}
    assert len({place.name for place in made.all()}) == len(made.all()) == 3_849
    assert [place.index for place in made.all()] == list(range(3_849))


def test_regions_apart_leave_the_editor_a_majority_and_the_cut_zone_has_no_voter():
    made = layout(FULL)
    cut = plan(msgspec.structs.replace(FULL, case="regions-apart"), made).actions[0]
    assert isinstance(cut, Cut)
    assert [voter.zone in cut.zones for voter in made.voters] == [False, False, False, True, True]
    (zone,) = plan(msgspec.structs.replace(FULL, case="zone-cut"), made).actions[0].zones
    assert zone not in {voter.zone for voter in made.voters}


def test_cases_have_the_faults_of_their_names_and_the_paces_of_the_target():
    made = layout(FULL)

    def planned(case, **changes):
        return plan(msgspec.structs.replace(FULL, case=case, **changes), made)

    assert [planned(case).rate for case in ("quiet", "pace", "tenfold")] == [0.0, 1.0, 10.0]
    assert planned("quiet").steady and not planned("slow-reader").steady and not planned("zone-cut").steady
    assert planned("pace", rate=3.0).rate == 3.0
    assert round(86_400 / spacing(1.0)) == 14_000
    restarts = planned("restarts", minutes=10).actions
    assert all(isinstance(action, Restart) for action in restarts)
    assert len(restarts) == int(600 * 8_700 / 86_400)
    at = [action.at for action in planned("zone-restart").actions]
    assert len(at) == 172 and max(at) - min(at) <= 2.0
    gone = planned("zone-relays-gone").actions[0]
    assert isinstance(gone, KillRelays) and len(gone.relays) == 2
    assert planned("zone-cut", minutes=0.1).seconds >= 75
    assert len(planned("slow-reader").slow) == 190
    assert planned("compacted").limits.max_log_steps * spacing(10.0) < planned("compacted").actions[0].seconds


def test_edits_are_the_same_for_a_seed_and_within_the_keys():
    zones = ["z1", "z2"]
    one, other = Editor(zones, 7), Editor(zones, 7)
    assert one.initial() == other.initial()
    assert [one.draw(n) for n in range(50)] == [other.draw(n) for n in range(50)]
    assert Editor(zones, 8).initial() != Editor(zones, 7).initial()


# ---- the audit


INITIAL = StoredState(
    "log", 2, ("",), {"global/0": Entry("global/0", b"a", 1), "zone/z1/0": Entry("zone/z1/0", b"b", 2)}
)


def change(revision, key, value=b"x", at=0):
    return Acknowledged(at * SECOND, Change(revision, (Entry(key, value, revision),)))


CHANGES = [
    change(3, "global/0", b"c", at=10),
    change(4, "zone/z1/0", b"d", at=20),
    change(5, "zone/z2/0", b"e", at=30),
    change(6, "global/1", None, at=40),
]


def applied(recorder, at, *changes, snapshot=False):
    entries = tuple(entry for one in changes for entry in one.change.entries)
    recorder.apply(at * SECOND, Apply("log", changes[-1].change.revision, entries, snapshot))


def recorder_at_start(zone="z1"):
    recorder = Recorder("c", zone, scope_of(zone))
    entries = tuple(entry for entry in INITIAL.entries.values() if entry.key.startswith(scope_of(zone)))
    recorder.apply(0, Apply("log", 2, entries, True))
    return recorder


def verdict(recorder, outages=()):
    return audit(content_after(INITIAL, CHANGES, ["z1"]), CHANGES, [recorder.finish()], {"c": list(outages)})


def test_all_changes_in_scope_in_force_are_faultless_and_timed_from_their_acknowledgement():
    recorder = recorder_at_start()
    applied(recorder, 11, CHANGES[0])
    applied(recorder, 23, CHANGES[1])
    applied(recorder, 42, CHANGES[3])
    found = verdict(recorder)
    assert found.faultless
    assert (found.each.count, found.each.worst, found.everywhere.count) == (3, 3.0, 4)


def test_a_merged_update_stands_for_all_that_it_covers():
    recorder = recorder_at_start()
    applied(recorder, 41, *CHANGES[:2], CHANGES[3])
    found = verdict(recorder)
    assert found.faultless and found.each.worst == 31.0


def test_a_change_that_never_came_is_lost():
    recorder = recorder_at_start()
    applied(recorder, 11, CHANGES[0])
    applied(recorder, 21, CHANGES[1])
    found = verdict(recorder)
    assert (found.lost, found.lost_at) == (1, ("c",)) and not found.faultless


def test_a_change_that_was_passed_over_is_found_by_the_content():
    recorder = recorder_at_start()
    applied(recorder, 11, CHANGES[0])
    applied(recorder, 41, CHANGES[3])
    found = verdict(recorder)
    assert (found.lost, found.content_differs) == (0, 1)


def test_a_revision_back_is_found_in_updates_snapshots_and_entries():
    recorder = recorder_at_start()
    applied(recorder, 21, *CHANGES[:2])
    applied(recorder, 22, CHANGES[0])
    assert recorder.trace.revisions_back == 1
    recorder = recorder_at_start()
    applied(recorder, 21, *CHANGES[:2])
    recorder.apply(22 * SECOND, Apply("log", 3, (), True))
    assert recorder.trace.revisions_back == 1
    recorder = recorder_at_start()
    applied(recorder, 11, CHANGES[0])
    recorder.apply(12 * SECOND, Apply("log", 6, (INITIAL.entries["global/0"],), False))
    assert recorder.trace.revisions_back == 1


def test_a_key_out_of_scope_is_found():
    recorder = recorder_at_start()
    applied(recorder, 11, *CHANGES[:4])
    assert verdict(recorder).out_of_scope == 1


def test_outages_count_from_their_end():
    recorder = recorder_at_start()
    applied(recorder, 75, *CHANGES[:2], CHANGES[3])
    found = verdict(recorder, [Outage(15 * SECOND, 70 * SECOND)])
    assert (found.each.worst, found.after_outage.count) == (5.0, 3)
    later = verdict(recorder, [Outage(80 * SECOND, 90 * SECOND)])
    assert (later.each.worst, later.after_outage.count) == (65.0, 0)


def test_percentiles_are_of_the_samples():
    found = spread([float(number) for number in range(101)])
    assert (found.count, found.p50, found.p99, found.worst) == (101, 50.0, 99.0, 100.0)
    assert spread([]).count == 0


def test_a_disk_has_what_was_written_and_a_snapshot_replaces_it():
    disk = MemoryDisk(("",), 0)
    disk.write(Apply("log", 2, tuple(INITIAL.entries.values()), True))
    disk.write(Apply("log", 3, (Entry("global/0", None, 3),), False))
    assert disk.held() == StoredState("log", 3, ("",), {"zone/z1/0": INITIAL.entries["zone/z1/0"]})
    disk.write(Apply("log", 4, (), True))
    assert disk.held().entries == {}


# ---- what it costs


def polled(**figures):
    return Polled(
        **(
            {
                "lowest": 0,
                "ready": True,
                "lagging": 0,
                "bytes_in": 0,
                "bytes_out": 0,
                "members_bytes": 0,
                "cpu": 0.0,
                "memory": 0,
            }
            | figures
        )
    )


def test_cost_is_by_coordinator_and_second():
    before, after = [polled(bytes_in=100, cpu=1.0)], [polled(bytes_in=2_100, cpu=3.0, memory=30 << 20)]
    found = cost(before, after, [10 << 20], occupants=10, seconds=20.0)
    assert (found.bytes_in, found.cpu_percent, found.memory_megabytes) == (10.0, 1.0, 2.0)


def test_lateness_is_of_the_latest_process():
    assert lateness_p99([polled(lateness=(0.0,) * 99 + (0.5,)), polled(lateness=(0.2,) * 100)]) == 0.2
    assert lateness_p99([polled()]) == 0.0


def test_the_budget_counts_in_cases_without_faults_and_faults_and_lateness_in_all():
    result = VirtualRun(tiny("pace", minutes=0.1)).run()
    dear = msgspec.structs.replace(result, cost=Cost(bytes_in=2_000.0, bytes_out=1_001.0))
    assert result.passed and not judged(dear, steady=True).passed and judged(dear, steady=False).passed
    assert not judged(msgspec.structs.replace(result, keeps_up=False), steady=False).passed
    assert not judged(msgspec.structs.replace(result, failed_edits=1), steady=False).passed
    lost = msgspec.structs.replace(result.verdict, lost=1)
    assert not judged(msgspec.structs.replace(result, verdict=lost), steady=False).passed
    late = msgspec.structs.replace(result.verdict, everywhere=spread([16.001]))
    assert not judged(msgspec.structs.replace(result, verdict=late), steady=False).passed


# ---- runs in virtual time


@pytest.mark.parametrize("case", CASES)
def test_each_case_in_virtual_time(case):
    result = VirtualRun(tiny(case)).run()
    assert result.verdict.faultless, result.verdict
    assert result.passed, result
    assert result.verdict.changes > (0 if case in ("quiet", "pace") else 20) or case == "quiet"


def test_a_virtual_run_is_the_same_for_a_seed():
    one, other = (VirtualRun(tiny("restarts", seed=5)).run() for _ in range(2))
    assert (one.verdict, one.counters, one.cost.bytes_in) == (other.verdict, other.counters, other.cost.bytes_in)


def test_faults_reach_who_they_are_for():
    assert VirtualRun(tiny("zone-cut")).run().verdict.after_outage.count > 0
    assert VirtualRun(tiny("zone-restart")).run().verdict.coordinators == 20
    run = VirtualRun(tiny("compacted"))
    sent = run.run().counters
    assert sent["voter_sent_SnapshotPart"] >= 4 + 2 and sent["relay_sent_SnapshotPart"] >= 20 + 10
    assert run.plan.limits.max_log_steps == 16 and any(outages for outages in run.faults.outages.values())
    run = VirtualRun(tiny("relay-killed-sending"))
    run.run()
    assert [process.up for name, process in run.network.processes.items() if name.startswith("relay-z2")] == [
        False,
        True,
    ]


class FaultyWatcher(Watcher):
    """Effects of the real one, spoiled at one coordinator after a while."""

    applied = 0

    def __init__(self, identity, held, limits, now):
        super().__init__(identity, held, limits, now)
        self.faulty = identity.name.endswith("z1-003")

    def step(self, now, event):
        effects = []
        for effect in super().step(now, event):
            if isinstance(effect, Apply) and self.faulty:
                self.applied += 1
                if self.applied > 3:
                    effect = self.spoil(effect)
            effects.append(effect)
        return effects


class GoesBack(FaultyWatcher):
    def spoil(self, effect):
        return msgspec.structs.replace(effect, revision=effect.revision - 20)


class TakesForeignKeys(FaultyWatcher):
    def spoil(self, effect):
        return msgspec.structs.replace(effect, entries=(*effect.entries, Entry("zone/z2/0", b"x", effect.revision)))


class LosesEntries(FaultyWatcher):
    def spoil(self, effect):
        return msgspec.structs.replace(effect, entries=())


@pytest.mark.parametrize(
    "watcher, found",
    [(GoesBack, "revisions_back"), (TakesForeignKeys, "out_of_scope"), (LosesEntries, "content_differs")],
)
def test_a_planted_fault_is_found(watcher, found):
    result = VirtualRun(tiny("tenfold"), watcher).run()
    assert getattr(result.verdict, found) > 0 and not result.passed


def test_the_command_tells_and_writes_its_result(capsys, monkeypatch, tmp_path):
    monkeypatch.setattr(scale_run, "RUNS", tmp_path / "runs")
    argv = ["--virtual", "--case", "tenfold", "--minutes", "0.1", "--json", "--write", "tiny"]
    assert scale_run.main(argv) == 0
    told = json.loads(capsys.readouterr().out)
    assert (told["time"], told["case"], told["verdict"]["lost"], told["passed"]) == ("virtual", "tenfold", 0, True)
    assert json.loads((tmp_path / "runs" / "tiny.json").read_text()) == told
    assert scale_run.main(argv[:5]) == 0
    assert "in force everywhere" in capsys.readouterr().out


# ---- runs in real time


def test_a_cut_drops_what_passes_between_its_zones_and_others():
    made = layout(TINY)
    addresses = Addresses(made, 11_000)
    relays = {place.zone: addresses.mail(place) for place in made.relays}
    cuts = CutFilter(made, addresses)
    assert not cuts.drops("z1", relays["z2"])
    cuts.cut(("z2",))
    assert cuts.drops("z1", relays["z2"]) and cuts.drops("z2", relays["z1"])
    assert not cuts.drops("z2", relays["z2"]) and not cuts.drops("z1", relays["z1"])
    cuts.cut(())
    assert not cuts.drops("z1", relays["z2"])


def test_real_coordinators_know_the_run_s_voters_and_relays_and_the_others_do_not():
    settings = msgspec.structs.replace(TINY, real=2)
    with_it = rig_plan(BeginReal(settings, 11_000, True))
    without = rig_plan(BeginReal(settings, 11_000, False))
    assert with_it.roles == ("coordinator",) * 2 and not without.roles and not without.operator_more
    nodes = tomllib.loads(with_it.operator_more)["fleet"]["node"]
    assert [node["name"] for node in nodes] == [place.name for place in layout(TINY).voters + layout(TINY).relays]
    assert nodes[5] == {"name": "relay-z1-1", "role": "relay", "zone": "z1", "address": "127.0.0.1:11005"}
    assert (with_it.seed, with_it.engines) == (without.seed, without.engines)


def alive(pids):
    return [pid for pid in pids if os.path.exists(f"/proc/{pid}")]


@pytest.fixture
def pids(monkeypatch):
    """Of all processes that a run starts."""
    started, start = [], ChildProcess.start

    async def noted(child):
        await start(child)
        started.append(child._process.pid)

    monkeypatch.setattr(ChildProcess, "start", noted)
    return started


def test_a_tiny_run_in_real_time_loses_nothing_and_leaves_no_process(pids):
    settings = RunSettings(
        case="zone-restart", coordinators=20, zones=2, relays=4, processes=2, minutes=0.05, settle=1.0, seed=3
    )
    run = RealRun(settings)
    sooner = tuple(msgspec.structs.replace(action, at=action.at - 4.0) for action in run._plan.actions)
    run._plan = msgspec.structs.replace(run._plan, rate=60.0, seconds=4.5, actions=sooner)
    result = scale_run_of(run)
    assert result.verdict.faultless, result
    assert result.verdict.changes > 20 and result.verdict.coordinators == 20 and not result.failed_edits
    assert result.verdict.everywhere.worst <= 16.0
    assert result.cost.cpu_percent > 0 and result.cost.members_bytes > 0 and result.cost.memory_megabytes > 0
    assert result.status.endswith("in force at 20 of 20, 0 lag")
    assert len(pids) == 5 + 4 + 2 and not alive(pids)


def test_processes_are_ended_where_a_run_fails(pids, monkeypatch):
    async def fails(run):
        raise ProcessFailed("planted")

    monkeypatch.setattr(RealRun, "_ready", fails)
    with pytest.raises(ProcessFailed, match="planted"):
        scale_run_of(RealRun(msgspec.structs.replace(TINY, virtual=False, members=False)))
    assert len(pids) == 11 and not alive(pids)


def scale_run_of(run):
    return asyncio.run(run.run())


# ---- ports


# Guards against two runs that take the same ports, as these were chosen at one moment and bound at a later one.
@pytest.mark.parametrize("settings", [TINY, FULL], ids=["tiny", "full"])
def test_runs_beside_each_other_have_different_ports(settings):
    made = layout(settings)
    wanted = 2 * len(made.all())
    held = [hold_ports(made)]
    try:
        held.append(hold_ports(made))
        ranges = [range(ports.base, ports.base + wanted) for ports in held]
        assert not set(ranges[0]) & set(ranges[1])
        held[0].release()
        again = hold_ports(made)
        held.append(again)
        assert again.base == ranges[0].start
    finally:
        for ports in held:
            ports.release()
