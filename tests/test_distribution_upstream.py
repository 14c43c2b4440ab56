"""How a watcher chooses, keeps and leaves its upstreams."""

from distribution_cores import LOG, Driven, persisted, watched

from rackhub.fleet.distribution import events, messages
from rackhub.fleet.distribution.events import Send, StoredState, Tick
from rackhub.fleet.distribution.limits import SECOND
from rackhub.fleet.distribution.messages import Entry, Heartbeat, SnapshotPart, Unavailable, Unwatch, Watch


def test_it_resumes_from_what_is_on_its_disk():
    upstream, watch = Driven().begin()
    assert upstream in ("relay-1", "relay-2")
    assert watch == Watch(1_001, LOG, 5, ("",), 4, "z")


def test_another_log_is_refused_counted_and_named():
    driven = Driven().connect()
    effects = driven.update(5, 6, log="other", b=b"6")
    assert not persisted(effects) and driven.watcher.upstream is None
    assert ("distribution_other_logs", driven.upstream) in driven.counted
    assert Send(driven.upstream, Unwatch(driven.session)) in effects
    (other,) = watched(effects)
    assert other != driven.upstream
    driven.received(Unavailable(driven.session + 1, 9, 0, "", "other"), other)
    assert ("distribution_other_logs", other) in driven.counted


def test_another_scope_starts_from_nothing_and_not_from_an_older_revision():
    driven = Driven(StoredState(LOG, 5, ("a",), {}), scope=("b",))
    driven.upstream, watch = driven.begin()
    assert (watch.log, watch.revision) == ("", 0)
    driven.received(SnapshotPart(watch.session, LOG, 4, 0, 1, ()))
    assert ("distribution_snapshots_refused", driven.upstream) in driven.counted
    assert driven.watcher.upstream is None
    driven = Driven(StoredState(LOG, 5, ("a",), {}), scope=("b",))
    driven.upstream, watch = driven.begin()
    assert persisted(driven.received(SnapshotPart(watch.session, LOG, 5, 0, 1, ()))) == [5]
    driven = Driven(StoredState(LOG, 5, ("a",), {}), scope=("b",))
    driven.upstream, watch = driven.begin()
    driven.received(SnapshotPart(watch.session, "other", 9, 0, 1, ()))
    assert ("distribution_other_logs", driven.upstream) in driven.counted


def test_an_unanswered_watch_goes_to_the_other_relay_then_abroad():
    driven = Driven()
    first, _ = driven.begin()
    tried = [first, *watched(driven.passes(6 * SECOND))]
    assert tried[0] != tried[1] and {*tried[:2]} == {"relay-1", "relay-2"}
    assert tried[2] == "abroad"


def test_a_silent_upstream_is_left():
    driven = Driven().connect()
    effects = driven.passes(driven.limits.upstream_timeout)
    assert Send(driven.upstream, Unwatch(driven.session)) in effects
    assert watched(effects)[0] not in (driven.upstream, "abroad")
    assert driven.watcher.held.revision == 5, "what it holds stays"


def test_an_upstream_behind_what_is_held_is_left_for_another():
    driven = Driven()
    first, watch = driven.begin()
    driven.received(Unavailable(watch.session, 4, 250, "behind", LOG), first)
    tried = watched(driven.passes(SECOND))
    assert tried and tried[0] != first
    assert driven.watcher.revision == 5


def test_a_stale_upstream_is_kept_until_a_fresher_one_answers():
    driven = Driven().connect()
    stale = driven.limits.max_staleness // 1_000 + 1
    effects = driven.received(Heartbeat(driven.session, LOG, 5, 5, stale))
    (other,) = watched([*effects, *driven.passes(0)])
    assert driven.watcher.upstream == driven.upstream
    session = driven.session + 1
    effects = driven.received(Heartbeat(session, LOG, 5, 5, stale), other)
    assert driven.watcher.upstream == driven.upstream and Send(other, Unwatch(session)) in effects
    third = watched(driven.passes(SECOND))[0]
    assert third not in (other, driven.upstream)
    effects = driven.received(Heartbeat(session + 1, LOG, 5, 5, 0), third)
    assert driven.watcher.upstream == third
    assert Send(driven.upstream, Unwatch(driven.session)) in effects


def test_a_disk_that_is_slow_here_does_not_make_the_upstream_stale():
    driven = Driven().connect()
    driven.update(5, 6, b=b"6")
    stale = driven.limits.max_staleness // 1_000 + 1
    effects = driven.received(Heartbeat(driven.session, LOG, 5, 5, stale))
    assert not watched([*effects, *driven.passes(SECOND)])
    driven.step(events.Persisted(6))
    driven.step(events.Applied(6))
    assert watched(driven.received(Heartbeat(driven.session, LOG, 6, 6, stale)))


def test_a_process_that_stood_still_trusts_nothing_from_before():
    driven = Driven().connect()
    driven.now += 30 * SECOND
    effects = driven.update(5, 6, b=b"6")
    assert not persisted(effects)
    assert ("distribution_stood_still", "") in driven.counted
    assert watched(effects) == [driven.upstream]


def test_a_check_is_handed_to_the_shell():
    driven = Driven().connect()
    entries = (Entry("a", b"9", 0),)
    assert driven.received(messages.Check(3, entries)) == [events.RunCheck(driven.upstream, 3, entries)]


def test_due_is_never_in_the_past():
    driven = Driven()
    for _ in range(200):
        driven.step(Tick())
        assert driven.watcher.due() > driven.now
        driven.now = driven.watcher.due()


def test_without_upstreams_it_waits():
    driven = Driven(upstreams=())
    assert driven.passes(10 * SECOND) == []
