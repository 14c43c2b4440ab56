"""Relays and voters: what they report and sum up, the check before an edit, and what they refuse."""

from distribution_fleet import LOG, Fleet

from rackhub.fleet.distribution import events, messages
from rackhub.fleet.distribution.events import Decided, StoredState
from rackhub.fleet.distribution.limits import MILLISECOND, SECOND, Limits
from rackhub.fleet.distribution.messages import Change, Entry, Heartbeat, KeyFault, Report, RevisionCount, Unavailable
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.source import Source


def started(coordinators=4, **options):
    fleet = Fleet(**options)
    for number in range(coordinators):
        fleet.coordinator(f"coordinator-{number}", "ab"[number % 2])
    fleet.run(3 * SECOND)
    fleet.decide({"k": b"1"})
    fleet.run(2 * SECOND)
    return fleet


def status(fleet, revision=None, voter="voter-0"):
    return fleet.processes[voter].core.status(fleet.now, revision)


def sent(fleet, kind):
    return [(sender, to, message) for _, sender, to, message in fleet.sent if isinstance(message, kind)]


def source(held=None):
    return Source(Identity(name="voter"), held or StoredState(LOG, 0), Limits(), 0)


def told(core, now, relay, **fields):
    fields = {"zone": "a", "log": LOG, "revision": 0, "watchers": 0, "members": 0, "in_force": (), **fields}
    return core.step(now, events.Received(relay, Report(**fields)))


def test_each_voter_can_tell_what_is_in_force():
    fleet = started(sources=3)
    for voter in ("voter-0", "voter-1", "voter-2"):
        found = status(fleet, voter=voter)
        assert (found.revision, found.in_force, found.expected, found.lagging) == (1, 4, 4, 0)
    assert status(fleet, 2).lagging == 4


def test_one_that_lags_is_counted_and_named_with_its_time():
    fleet = started()
    fleet.processes["coordinator-1"].disk.write = 60 * SECOND
    fleet.decide({"k": b"2"})
    fleet.run(9 * SECOND)
    found = status(fleet)
    assert (found.in_force, found.expected, found.lagging) == (3, 4, 1)
    assert [(one.name, one.revision) for one in found.worst] == [("coordinator-1", 1)]
    assert 8_000 <= found.oldest <= 10_500


def test_one_for_whom_nothing_is_pending_counts_as_at_the_newest():
    fleet = started(coordinators=2)
    fleet.coordinator("coordinator-scoped", "a", ("scoped/",))
    fleet.run(3 * SECOND)
    fleet.decide({"k": b"2"})
    fleet.run(400 * MILLISECOND)
    found = status(fleet)
    assert (found.in_force, found.expected) == (3, 3)


def test_a_key_that_could_not_be_taken_is_counted_and_the_rest_holds():
    fleet = started()
    coordinator = fleet.processes["coordinator-2"]
    coordinator.refuses = {"bad"}
    fleet.decide({"bad": b"", "good": b""})
    fleet.run(2 * SECOND)
    found = status(fleet)
    assert (found.in_force, found.fault_count) == (4, 1)
    reports = [message for _, _, message in sent_after(fleet, 2 * SECOND, Report)]
    assert any(report.faults == (KeyFault("bad", "no"),) for report in reports)
    coordinator.refuses = set()
    fleet.decide({"bad": b"better"})
    fleet.run(2 * SECOND)
    assert status(fleet).fault_count == 0


def sent_after(fleet, time, kind):
    fleet.record, fleet.sent = True, []
    fleet.run(time)
    return sent(fleet, kind)


def test_reports_are_bounded_and_come_in_quiet_too():
    fleet = started(sources=1, zones=("a",), relays=1)
    assert 4 <= len(sent_after(fleet, 5 * SECOND, Report)) <= 6
    fleet.sent = []
    for _ in range(100):
        fleet.decide({"k": b"x"})
        fleet.run(20 * MILLISECOND)
    assert 6 <= len(sent(fleet, Report)) <= 9, "at most four a second"


def test_a_silent_zone_still_counts_as_expected_and_lagging():
    fleet = started()
    for name in ("relay-a0", "relay-a1", "relay-b0", "relay-b1"):
        zone_members = events.MembersChanged(2)
        fleet.processes[name].handle(zone_members)
    fleet.run(2 * SECOND)
    inside = {name for name, zone in fleet.zones.items() if zone == "a"}
    fleet.cut(inside, set(fleet.zones) - inside)
    fleet.run(10 * SECOND)
    fleet.decide({"k": b"2"})
    fleet.run(3 * SECOND)
    found = status(fleet)
    assert (found.in_force, found.expected, found.lagging) == (2, 4, 2)
    assert 2_500 <= found.oldest <= 13_500


def test_reports_count_by_age_log_and_zone():
    core = source(StoredState(LOG, 5))
    at_5, at_4 = RevisionCount(5, 3), RevisionCount(4, 2)
    told(core, 0, "relay-1", revision=5, watchers=5, members=4, in_force=(at_5, at_4))
    told(core, 0, "relay-2", revision=5, watchers=1, members=6, in_force=(RevisionCount(9, 1),))
    told(core, 0, "relay-3", zone="b", log="other", watchers=7, in_force=(RevisionCount(9, 7),))
    found = core.status(0)
    assert (found.in_force, found.expected) == (4, 13)
    assert core.status(0, 4).in_force == 6
    late = core.status(Limits().max_report_age + 1)
    assert (late.in_force, late.expected) == (0, 6)


def test_reports_of_ever_new_names_are_bounded():
    core = source()
    effects = [effect for n in range(600) for effect in told(core, 0, f"relay-{n}")]
    assert effects == [events.IncrementCounter("distribution_unexpected", f"relay-{n}") for n in range(512, 600)]


def test_a_report_tells_at_most_so_many_revisions_and_lumps_the_lowest():
    fleet = started(coordinators=0, zones=("a",), relays=1)
    relay = fleet.processes["relay-a0"]
    for number in range(30):
        fleet.decide({"k": b"%d" % number})
        fleet.run(10 * MILLISECOND)
        watch = messages.Watch(1, LOG, number, ("",), 1, "a")
        relay.handle(events.Received(f"w{number}", watch))
    (*_, (_, _, report)) = sent_after(fleet, SECOND, Report)
    counts = report.in_force
    assert report.watchers == 30 == sum(count.watchers for count in counts)
    assert len(counts) == 16 and counts[-1] == RevisionCount(0, 15)
    assert len(report.worst) == 5 and messages.decode(messages.encode(report)) == report


# ---- checks


def checked(fleet, *values, after=4 * SECOND):
    entries = tuple(Entry(key, b"", 0) for key in values)
    fleet.processes["voter-0"].handle(events.CheckAsked(77, entries))
    fleet.run(after)
    (done,) = fleet.checks
    assert done.mark == 77
    return done


def test_a_check_asks_one_of_each_zone():
    fleet = started()
    for coordinator in fleet.coordinators():
        coordinator.refuses = {f"bad-{coordinator.name[-1]}"}
    fleet.record, fleet.sent = True, []
    done = checked(fleet, "bad-0", "bad-1", "bad-2", "bad-3", after=100 * MILLISECOND)
    assert len(done.faults) == 2 and done.silent == ()
    asked = [to for _, to, _ in sent(fleet, messages.Check) if to.startswith("coordinator")]
    assert sorted(fleet.zones[name] for name in asked) == ["a", "b"]


def test_a_zone_that_does_not_answer_is_named_in_time():
    fleet = started()
    for coordinator in fleet.coordinators():
        if fleet.zones[coordinator.name] == "b":
            coordinator.stand_still(60 * SECOND)
    began = fleet.now
    fleet.run(100 * MILLISECOND)
    assert checked(fleet, "k").silent == ("b",)
    assert fleet.now - began <= fleet.limits.check_timeout + 200 * MILLISECOND


def test_a_second_coordinator_and_a_second_relay_are_asked():
    fleet = started(coordinators=12, zones=("a",), relays=2)
    fleet.faults.loss = 0.2
    assert checked(fleet, "k").silent == ()


def test_a_check_where_nobody_reports_is_done_at_once():
    core = source()
    assert core.step(0, events.CheckAsked(1, ())) == [events.CheckDone(1, (), ())]


def test_checks_of_strangers_and_late_answers_are_counted():
    fleet = started()
    relay, voter = fleet.processes["relay-a0"], fleet.processes["voter-0"]
    relay.handle(events.Received("coordinator-0", messages.Check(1, ())))
    relay.handle(events.Received("coordinator-0", messages.Checked(1, "a")))
    relay.handle(events.Received("coordinator-0", Report("a", LOG, 1, 1, 1, ())))
    voter.handle(events.Received("relay-a0", messages.Checked(9, "a")))
    voter.handle(events.Received("relay-a0", Heartbeat(1, LOG, 1, 1)))
    assert relay.counted["distribution_unexpected"] == 3
    assert voter.counted == {"distribution_late_checks": 1, "distribution_unexpected": 1}


# ---- a voter's changes


def change(revision):
    return Change(revision, (Entry("k", b"%d" % revision, revision),))


def test_a_voter_takes_changes_once_in_order_and_of_one_log():
    core = source()
    core.step(0, Decided(LOG, (change(1), change(2))))
    core.step(0, Decided(LOG, (change(2), change(3))))
    assert core.revision == 3
    assert core.step(0, Decided(LOG, (change(5),))) == [events.IncrementCounter("distribution_gaps")]
    assert core.step(0, Decided("other", (change(4),))) == [events.IncrementCounter("distribution_other_logs")]
    assert core.revision == 3


def test_a_voter_catches_up_from_another():
    core = source()
    entry = Entry("k", b"4", 4)
    assert core.step(0, events.CaughtUp(LOG, 2, 4, (entry,), False)) == [events.IncrementCounter("distribution_gaps")]
    core.step(0, events.CaughtUp(LOG, 0, 4, (entry,), True))
    core.step(0, events.CaughtUp(LOG, 3, 6, (entry, Entry("m", b"6", 6)), False))
    assert core.revision == 6
    core.step(0, events.CaughtUp(LOG, 0, 5, (), True))
    assert core.revision == 6, "never back"
    assert core.step(0, events.CaughtUp("other", 0, 9, (), True)) == [
        events.IncrementCounter("distribution_other_logs")
    ]


def test_a_relay_without_a_log_serves_nothing():
    fleet = Fleet(sources=1, zones=("a",))
    fleet.cut({"voter-0"}, {"relay-a0", "relay-a1"})
    coordinator = fleet.coordinator("coordinator", "a")
    fleet.record = True
    fleet.run(5 * SECOND)
    answers = [message for _, to, message in sent(fleet, object) if to == "coordinator"]
    assert answers and all(isinstance(answer, Unavailable) for answer in answers)
    fleet.heal()
    fleet.run_until(lambda: coordinator.core.upstream, 8 * SECOND)
