"""The sessions of a server: which watchers are admitted, how sessions end, and unexpected messages."""

from distribution_cores import LOG, ServerHarness, server_with_change

from rackhub.fleet.distribution import messages, server
from rackhub.fleet.distribution.limits import SECOND
from rackhub.fleet.distribution.messages import Heartbeat, SnapshotPart, Unavailable


def test_a_watcher_ahead_of_the_server_is_rejected():
    harness = server_with_change()
    (answer,) = harness.watch(revision=9)
    assert isinstance(answer, Unavailable) and (answer.revision, answer.reason) == (1, server.BEHIND)
    assert not harness.server.sessions


def test_another_log_and_no_log_are_rejected():
    harness = server_with_change()
    (answer,) = harness.watch(log="other", revision=1)
    assert (answer.reason, answer.log) == (server.OTHER_LOG, LOG)
    assert harness.counted == [("distribution_other_logs", "w")]
    (answer,) = ServerHarness().watch(log="")
    assert answer.reason == server.NO_LOG


def test_new_watches_are_rate_limited_and_retries_are_spread():
    harness = server_with_change(max_watches_per_s=10.0)
    answers = [harness.watch(f"w{number}", revision=1)[0] for number in range(60)]
    waits = [answer.retry_after for answer in answers if isinstance(answer, Unavailable)]
    assert len(waits) == 50 and len(harness.server.sessions) == 10
    assert min(waits) >= 100 and max(waits) <= 6_250
    assert len(set(waits)) > 40, "they don't retry at the same time"
    harness.now += SECOND
    answers = [harness.watch(f"w{number}", revision=1, session=2)[0] for number in range(10, 60)]
    assert sum(isinstance(answer, Heartbeat) for answer in answers) == 10


def test_snapshots_are_rate_limited():
    harness = server_with_change(max_snapshots_per_s=2.0)
    answers = [harness.watch(f"w{number}", log="")[0] for number in range(5)]
    assert sum(isinstance(answer, SnapshotPart) for answer in answers) == 2
    assert {answer.reason for answer in answers if isinstance(answer, Unavailable)} == {server.TOO_MANY_SNAPSHOTS}
    assert len(harness.server.sessions) == 2


def test_watchers_and_foreign_watchers_are_limited():
    harness = server_with_change(zone="here", max_watchers=5, max_foreign_watchers=2)
    answers = [harness.watch(f"g{number}", revision=1, zone="there")[0] for number in range(3)]
    assert [isinstance(answer, Heartbeat) for answer in answers] == [True, True, False]
    answers = [harness.watch(f"h{number}", revision=1, zone="here")[0] for number in range(4)]
    assert [isinstance(answer, Heartbeat) for answer in answers] == [True, True, True, False]
    harness.receive("g0", messages.Unwatch(1))
    assert isinstance(harness.watch("g2", revision=1, session=2, zone="there")[0], Heartbeat)


def test_sessions_end_by_timeout_unwatch_or_a_new_watch():
    harness = server_with_change()
    harness.watch("silent", revision=1)
    harness.watch("leaving", revision=1)
    harness.watch("again", revision=1)
    harness.receive("leaving", messages.Unwatch(1))
    harness.watch("again", revision=1, session=5)
    assert harness.server.sessions.keys() == {"silent", "again"}
    harness.now += harness.limits.session_timeout - SECOND
    harness.acknowledge(1, "again", session=5)
    harness.advance(SECOND)
    assert harness.server.sessions.keys() == {"again"}
    assert ("distribution_sessions_expired", "silent") in harness.counted


def test_late_and_duplicate_messages_change_nothing():
    harness = server_with_change()
    harness.watch(revision=1, session=7)
    harness.change(b=b"2")
    assert harness.watch(revision=1, session=7) == harness.watch(revision=0, session=6) == []
    assert harness.acknowledge(2, session=6) == []
    assert harness.receive("w", messages.Unwatch(6)) == []
    session = harness.server.sessions["w"]
    assert (session.number, session.acknowledged) == (7, 1)
    assert harness.counted.count(("distribution_late_watches", "w")) == 2
    harness.acknowledge(2, session=7)
    harness.acknowledge(1, session=7)
    assert session.acknowledged == 2


def test_an_acknowledgement_beyond_the_newest_revision_counts_as_the_newest():
    harness = server_with_change()
    harness.watch(revision=1)
    harness.acknowledge(1 << 50)
    assert harness.server.sessions["w"].acknowledged == 1
    (update,) = harness.change(b=b"2")
    assert (update.previous, update.revision) == (1, 2)


def test_an_unknown_sender_is_told_that_it_has_no_session():
    harness = server_with_change()
    (answer,) = harness.acknowledge(1, "stranger", session=3)
    assert (answer.session, answer.reason) == (3, server.NO_SESSION)
    assert harness.counted == [("distribution_unknown_sessions", "stranger")]
    assert harness.receive("stranger", messages.Unwatch(3)) == []


def test_the_work_of_a_step_does_not_grow_with_the_number_of_sessions():
    harness = server_with_change(max_watches_per_s=10_000.0, max_watchers=4_000)
    for number in range(4_000):
        harness.now += 400
        harness.watch(f"w{number}", revision=1)
    looked_after = []
    look_after = harness.server._service_session
    harness.server._service_session = lambda now, session: (looked_after.append(session.name), look_after(now, session))
    harness.acknowledge(1, "w7")
    assert looked_after == []
    harness.now = max(harness.now, harness.server.due())
    harness.server.tick(harness.now)
    assert len(looked_after) < 40
