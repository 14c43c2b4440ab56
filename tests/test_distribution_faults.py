"""The hard cases of distribution, each in a fleet of cores in virtual time: what holds, and within which time."""

from collections import Counter

import pytest
from distribution_fleet import LOG, CheckedFleet, Faults

from rackhub.fleet.distribution import events, messages
from rackhub.fleet.distribution.limits import MILLISECOND, SECOND, Limits
from rackhub.fleet.distribution.messages import Heartbeat, SnapshotPart, Unavailable, Update

IN_FORCE = 16 * SECOND  # from a change, or from the end of a cut


def started(coordinators=6, zones=("a", "b"), scope=("",), **options):
    """A fleet in which everyone has the first change."""
    fleet = CheckedFleet(zones=zones, **options)
    for number in range(coordinators):
        fleet.coordinator(f"coordinator-{number}", zones[number % len(zones)], scope)
    fleet.run(2 * SECOND)
    fleet.decide({"k": b"0"})
    fleet.run_until(fleet.converged, IN_FORCE)
    return fleet


def changes(fleet, many, pace, keys=5):
    for number in range(many):
        fleet.decide({f"k{number % keys}": b"%d" % fleet.history.revision})
        fleet.run(pace)


def zone_of(fleet, zone):
    return {name for name, other in fleet.zones.items() if other == zone}


def upstreams(fleet):
    return Counter(one.core.upstream for one in fleet.coordinators())


def to(fleet, name, kind):
    return [message for _, _, receiver, message in fleet.sent if receiver == name and isinstance(message, kind)]


def test_a_relay_killed_while_it_sends():
    fleet = started()
    fleet.decide({"k": b"1"})
    fleet.run(3 * MILLISECOND)  # it is on the way to the relays
    fleet.processes["relay-a0"].stop()
    assert fleet.run_until(fleet.converged, IN_FORCE) <= 9 * SECOND
    assert "relay-a0" not in upstreams(fleet)


def test_both_relays_of_a_zone_gone_and_back():
    fleet = started(coordinators=12, zones=("a", "b", "c"))
    for name in ("relay-a0", "relay-a1"):
        fleet.processes[name].stop()
    fleet.decide({"k": b"1"})
    fleet.run_until(fleet.converged, IN_FORCE)
    assert not any(name.startswith("relay-a") for name in upstreams(fleet))
    for name in ("relay-a0", "relay-a1"):
        fleet.processes[name].restart()
    fleet.run(45 * SECOND)
    abroad = [one for one in fleet.coordinators() if fleet.zones[one.core.upstream] != fleet.zones[one.name]]
    assert abroad == [], "guests go home again"


def test_guests_are_bounded():
    fleet = started(coordinators=20, zones=("a", "b"), limits=Limits(max_foreign_watchers=3))
    for name in ("relay-a0", "relay-a1"):
        fleet.processes[name].stop()
    for _ in range(300):
        fleet.run(100 * MILLISECOND)
        for name in ("relay-b0", "relay-b1"):
            sessions = fleet.processes[name].core._server.sessions.values()
            assert sum(session.zone != "b" for session in sessions) <= 3
    guests = [one for one in fleet.coordinators() if fleet.zones[one.name] == "a" and one.core.upstream]
    assert len(guests) == 6


def test_a_relay_that_stood_still_does_not_pass_for_fresh():
    fleet = started(coordinators=4, zones=("a",))
    relay = fleet.processes["relay-a0"]
    relay.stand_still(30 * SECOND)
    changes(fleet, 25, SECOND)
    assert upstreams(fleet) == {"relay-a1": 4}
    fleet.processes["relay-a1"].stop()
    fleet.cut({"relay-a0"}, {"voter-0"})  # it wakes, and can't learn what it has missed
    fleet.record = True
    fleet.run(10 * SECOND)
    answers = [m for _, sender, _, m in fleet.sent if sender == "relay-a0" and isinstance(m, Heartbeat | Update)]
    assert all(m.revision <= 1 for m in answers)
    ages = [m.age for m in answers if isinstance(m, Heartbeat)]
    assert all(age >= 25_000 for age in ages)
    refusals = [m for _, sender, _, m in fleet.sent if sender == "relay-a0" and isinstance(m, Unavailable)]
    assert refusals, "those who hold more are sent away"
    fleet.heal()
    fleet.run_until(fleet.converged, IN_FORCE)


def test_what_was_queued_for_a_relay_that_stood_still_is_not_taken_as_news():
    fleet = started(coordinators=2, zones=("a",), relays=1)
    relay = fleet.processes["relay-a0"]
    relay.stand_still(20 * SECOND)
    fleet.run(19 * SECOND)
    fleet.cut({"relay-a0"}, {"voter-0"})
    fleet.record = True
    fleet.run(8 * SECOND)
    heartbeats = [m for _, sender, _, m in fleet.sent if sender == "relay-a0" and isinstance(m, Heartbeat)]
    assert heartbeats and min(m.age for m in heartbeats) >= 18_000
    assert relay.counted["distribution_stood_still"] == 1


def test_a_zone_cut_off_for_a_minute():
    fleet = started()
    inside = zone_of(fleet, "a")
    fleet.cut(inside, set(fleet.zones) - inside)
    changes(fleet, 60, SECOND)
    assert all(one.core.revision == 1 for one in fleet.coordinators() if one.name in inside)
    fleet.heal()
    fleet.run_until(fleet.converged, IN_FORCE)


def test_a_zone_that_returns_all_at_once_is_taken_in_at_a_bounded_pace():
    limits = Limits(max_watches_per_s=20.0, max_snapshots_per_s=10.0)
    fleet = started(coordinators=120, zones=("a",), limits=limits)
    fleet.record, fleet.sent = True, []
    for one in fleet.coordinators():
        one.restart()
    began = fleet.now
    fleet.decide({"k": b"1"})
    fleet.run_until(fleet.converged, IN_FORCE)
    for relay in ("relay-a0", "relay-a1"):
        served = {}  # the time of the first answer of each new session
        for time, sender, _, message in fleet.sent:
            if sender == relay and isinstance(message, Update) and message.session > 2 << 20:
                served.setdefault(message.session, time)
        for second in range(int((fleet.now - began) / SECOND) + 1):
            until = began + (second + 1) * SECOND
            assert sum(time <= until for time in served.values()) <= 20 + 20 * (second + 1)
    assert fleet.counted.get("distribution_sessions_expired", 0) == 0


@pytest.mark.parametrize("history", [4_096, 10])
def test_a_disk_put_back_by_an_hour(history):
    fleet = started(limits=Limits(max_log_steps=history))
    coordinator = fleet.processes["coordinator-0"]
    changes(fleet, 5, SECOND)
    older = coordinator.disk.held
    changes(fleet, 40, 500 * MILLISECOND)
    coordinator.stop()
    coordinator.disk.held = older
    coordinator.highest = older.revision  # its operator took it back, nobody else does
    fleet.record, fleet.sent = True, []
    coordinator.restart()
    assert coordinator.core.revision == older.revision
    fleet.run_until(fleet.converged, IN_FORCE)
    took_snapshot = bool(to(fleet, "coordinator-0", SnapshotPart))
    assert took_snapshot == (history == 10)
    assert coordinator.disk.held.entries == fleet.history.at(fleet.history.revision, ("",))


def test_a_slow_receiver_gets_merged_keys():
    fleet = started(coordinators=2, zones=("a",))
    slow = fleet.processes["coordinator-0"]
    slow.disk.write = 1_500 * MILLISECOND
    fleet.record, fleet.sent = True, []
    changes(fleet, 200, 50 * MILLISECOND, keys=3)
    fleet.run_until(fleet.converged, IN_FORCE)
    got = sum(len(update.entries) for update in to(fleet, "coordinator-0", Update))
    assert got < 100 < 200 <= sum(len(update.entries) for update in to(fleet, "coordinator-1", Update))


def test_a_revision_compacted_under_a_watcher():
    fleet = started(coordinators=2, zones=("a",), limits=Limits(max_log_steps=5, max_credit=1))
    slow = fleet.processes["coordinator-0"]
    slow.disk.write = 3 * SECOND
    fleet.record, fleet.sent = True, []
    changes(fleet, 100, 50 * MILLISECOND, keys=50)
    fleet.run_until(fleet.converged, IN_FORCE)
    assert to(fleet, "coordinator-0", SnapshotPart)


def test_a_key_out_of_scope_never_reaches_the_watcher():
    fleet = started(coordinators=0)
    scoped = fleet.coordinator("coordinator-scoped", "a", ("mine/",))
    fleet.coordinator("coordinator-all", "a")
    fleet.faults = Faults(loss=0.1, double=0.1, jitter=300 * MILLISECOND)
    for number in range(60):
        fleet.decide({f"mine/{number % 3}": b"%d" % number, f"other/{number}": bytes(100)})
        fleet.run(100 * MILLISECOND)
    fleet.faults = Faults()
    fleet.run_until(fleet.converged, IN_FORCE)
    assert len(scoped.in_force.entries) == 3


def test_another_log_is_never_merged():
    fleet = started(coordinators=1, zones=("a",))
    coordinator = fleet.processes["coordinator-0"]
    held = coordinator.disk.held
    coordinator.stop()
    coordinator.disk.held = messages.msgspec.structs.replace(held, log="another")
    coordinator.restart()
    fleet.decide({"k": b"1"})
    fleet.run(20 * SECOND)
    assert coordinator.core.revision == held.revision and coordinator.core.upstream is None
    assert coordinator.counted["distribution_other_logs"] > 3
    assert LOG != coordinator.disk.held.log


def test_a_voter_that_starts_anew_serves_what_it_has_on_its_disk():
    fleet = started(sources=1)
    fleet.processes["voter-0"].stop()
    fleet.run(20 * SECOND)
    fleet.processes["voter-0"].restart()
    fleet.decide({"k": b"1"})
    fleet.run_until(fleet.converged, IN_FORCE)


def test_bytes_of_a_coordinator_in_quiet():
    fleet = started(coordinators=40, zones=("a",))
    fleet.record, fleet.sent = True, []
    fleet.run(30 * SECOND)
    size = sum(len(messages.encode(m)) for _, s, r, m in fleet.sent if "coordinator-7" in (s, r))
    assert size / 30 < 100, "bytes a second, in and out, without the link's"


def test_a_voter_cut_off_from_the_others_is_left_by_its_relays():
    fleet = started(sources=3)

    def confirm():
        for node in fleet.voters:
            if node.name not in fleet.uninformed:
                fleet.processes[node.name].handle(events.Confirmed())

    for _ in range(5):
        confirm()
        fleet.run(SECOND)
    watched = Counter(relay.core.upstream for relay in fleet.relay_processes())
    (cut_off, relays), *_ = watched.most_common()
    fleet.uninformed.add(cut_off)
    fleet.decide({"k": b"1"})
    began = fleet.now
    while not fleet.converged():
        confirm()
        fleet.run(SECOND)
        assert fleet.now - began <= IN_FORCE
    assert relays > 0 and cut_off not in {relay.core.upstream for relay in fleet.relay_processes()}
