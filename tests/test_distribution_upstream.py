"""How a watcher chooses, keeps and leaves its upstreams."""

from distribution_cores import LOG, WatcherHarness, persisted, watched

from rackhub.fleet.distribution import events, messages
from rackhub.fleet.distribution.events import Send, StoredState, Tick
from rackhub.fleet.distribution.limits import SECOND
from rackhub.fleet.distribution.messages import Entry, Heartbeat, SnapshotPart, Unavailable, Unwatch, Watch


def test_a_watcher_resumes_from_its_disk():
    upstream, watch = WatcherHarness().begin()
    assert upstream in ("relay-1", "relay-2")
    assert watch == Watch(1_001, LOG, 5, ("",), 4, "z")


def test_another_log_is_rejected_counted_and_named():
    harness = WatcherHarness().connect()
    effects = harness.update(5, 6, log="other", b=b"6")
    assert not persisted(effects) and harness.watcher.upstream is None
    assert ("distribution_other_logs", harness.upstream) in harness.counted
    assert Send(harness.upstream, Unwatch(harness.session)) in effects
    (other,) = watched(effects)
    assert other != harness.upstream
    harness.received(Unavailable(harness.session + 1, 9, 0, "", "other"), other)
    assert ("distribution_other_logs", other) in harness.counted


def test_a_changed_scope_needs_a_snapshot_that_is_not_older():
    harness = WatcherHarness(StoredState(LOG, 5, ("a",), {}), scope=("b",))
    harness.upstream, watch = harness.begin()
    assert (watch.log, watch.revision) == ("", 0)
    harness.received(SnapshotPart(watch.session, LOG, 4, 0, 1, ()))
    assert ("distribution_snapshots_refused", harness.upstream) in harness.counted
    assert harness.watcher.upstream is None
    harness = WatcherHarness(StoredState(LOG, 5, ("a",), {}), scope=("b",))
    harness.upstream, watch = harness.begin()
    assert persisted(harness.received(SnapshotPart(watch.session, LOG, 5, 0, 1, ()))) == [5]
    harness = WatcherHarness(StoredState(LOG, 5, ("a",), {}), scope=("b",))
    harness.upstream, watch = harness.begin()
    harness.received(SnapshotPart(watch.session, "other", 9, 0, 1, ()))
    assert ("distribution_other_logs", harness.upstream) in harness.counted


def test_an_unanswered_watch_goes_to_the_other_relay_then_to_another_zone():
    harness = WatcherHarness()
    first, _ = harness.begin()
    tried = [first, *watched(harness.advance(6 * SECOND))]
    assert tried[0] != tried[1] and {*tried[:2]} == {"relay-1", "relay-2"}
    assert tried[2] == "abroad"


def test_an_unresponsive_upstream_is_left():
    harness = WatcherHarness().connect()
    effects = harness.advance(harness.limits.upstream_timeout)
    assert Send(harness.upstream, Unwatch(harness.session)) in effects
    assert watched(effects)[0] not in (harness.upstream, "abroad")
    assert harness.watcher.stored.revision == 5, "the stored state is kept"


def test_an_upstream_behind_the_watcher_is_left_for_another():
    harness = WatcherHarness()
    first, watch = harness.begin()
    harness.received(Unavailable(watch.session, 4, 250, "behind", LOG), first)
    tried = watched(harness.advance(SECOND))
    assert tried and tried[0] != first
    assert harness.watcher.revision == 5


def test_a_stale_upstream_is_kept_until_a_fresher_one_answers():
    harness = WatcherHarness().connect()
    stale = harness.limits.max_staleness // 1_000 + 1
    effects = harness.received(Heartbeat(harness.session, LOG, 5, 5, stale))
    (other,) = watched([*effects, *harness.advance(0)])
    assert harness.watcher.upstream == harness.upstream
    session = harness.session + 1
    effects = harness.received(Heartbeat(session, LOG, 5, 5, stale), other)
    assert harness.watcher.upstream == harness.upstream and Send(other, Unwatch(session)) in effects
    third = watched(harness.advance(SECOND))[0]
    assert third not in (other, harness.upstream)
    effects = harness.received(Heartbeat(session + 1, LOG, 5, 5, 0), third)
    assert harness.watcher.upstream == third
    assert Send(harness.upstream, Unwatch(harness.session)) in effects


def test_a_slow_local_disk_does_not_make_the_upstream_stale():
    harness = WatcherHarness().connect()
    harness.update(5, 6, b=b"6")
    stale = harness.limits.max_staleness // 1_000 + 1
    effects = harness.received(Heartbeat(harness.session, LOG, 5, 5, stale))
    assert not watched([*effects, *harness.advance(SECOND)])
    harness.step(events.Persisted(6))
    harness.step(events.Applied(6))
    assert watched(harness.received(Heartbeat(harness.session, LOG, 6, 6, stale)))


def test_a_stalled_process_ignores_messages_from_before_the_stall():
    harness = WatcherHarness().connect()
    harness.now += 30 * SECOND
    effects = harness.update(5, 6, b=b"6")
    assert not persisted(effects)
    assert ("distribution_stood_still", "") in harness.counted
    assert watched(effects) == [harness.upstream]


def test_a_check_is_passed_to_the_shell():
    harness = WatcherHarness().connect()
    entries = (Entry("a", b"9", 0),)
    assert harness.received(messages.Check(3, entries)) == [events.RunCheck(harness.upstream, 3, entries)]


def test_due_is_never_in_the_past():
    harness = WatcherHarness()
    for _ in range(200):
        harness.step(Tick())
        assert harness.watcher.due() > harness.now
        harness.now = harness.watcher.due()


def test_a_watcher_without_upstreams_waits():
    harness = WatcherHarness(upstreams=())
    assert harness.advance(10 * SECOND) == []
