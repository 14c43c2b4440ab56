"""The sessions of a server: who is taken in and who is not, how they end, and messages that don't belong."""

from distribution_cores import LOG, Served, served

from rackhub.fleet.distribution import messages, server
from rackhub.fleet.distribution.limits import SECOND
from rackhub.fleet.distribution.messages import Heartbeat, SnapshotPart, Unavailable


def test_a_watcher_ahead_is_never_given_older_data():
    one = served()
    (answer,) = one.watch(revision=9)
    assert isinstance(answer, Unavailable) and (answer.revision, answer.reason) == (1, server.BEHIND)
    assert not one.server.sessions


def test_another_log_and_no_log_are_refused():
    one = served()
    (answer,) = one.watch(log="other", revision=1)
    assert (answer.reason, answer.log) == (server.OTHER_LOG, LOG)
    assert one.counted == [("distribution_other_logs", "w")]
    (answer,) = Served().watch(log="")
    assert answer.reason == server.NO_LOG


def test_newcomers_are_bounded_and_their_return_is_spread():
    one = served(max_watches_per_s=10.0)
    answers = [one.watch(f"w{number}", revision=1)[0] for number in range(60)]
    waits = [answer.retry_after for answer in answers if isinstance(answer, Unavailable)]
    assert len(waits) == 50 and len(one.server.sessions) == 10
    assert min(waits) >= 100 and max(waits) <= 6_250
    assert len(set(waits)) > 40, "they don't come back together"
    one.now += SECOND
    answers = [one.watch(f"w{number}", revision=1, session=2)[0] for number in range(10, 60)]
    assert sum(isinstance(answer, Heartbeat) for answer in answers) == 10


def test_snapshots_are_bounded():
    one = served(max_snapshots_per_s=2.0)
    answers = [one.watch(f"w{number}", log="")[0] for number in range(5)]
    assert sum(isinstance(answer, SnapshotPart) for answer in answers) == 2
    assert {answer.reason for answer in answers if isinstance(answer, Unavailable)} == {server.SNAPSHOTS}
    assert len(one.server.sessions) == 2


def test_watchers_and_guests_are_bounded():
    one = served(zone="here", max_watchers=5, max_foreign_watchers=2)
    answers = [one.watch(f"g{number}", revision=1, zone="there")[0] for number in range(3)]
    assert [isinstance(answer, Heartbeat) for answer in answers] == [True, True, False]
    answers = [one.watch(f"h{number}", revision=1, zone="here")[0] for number in range(4)]
    assert [isinstance(answer, Heartbeat) for answer in answers] == [True, True, True, False]
    one.receive("g0", messages.Unwatch(1))
    assert isinstance(one.watch("g2", revision=1, session=2, zone="there")[0], Heartbeat)


def test_sessions_end_by_silence_by_unwatch_and_by_a_new_watch():
    one = served()
    one.watch("silent", revision=1)
    one.watch("leaving", revision=1)
    one.watch("again", revision=1)
    one.receive("leaving", messages.Unwatch(1))
    one.watch("again", revision=1, session=5)
    assert one.server.sessions.keys() == {"silent", "again"}
    one.now += one.limits.session_timeout - SECOND
    one.acknowledge(1, "again", session=5)
    one.passes(SECOND)
    assert one.server.sessions.keys() == {"again"}
    assert ("distribution_sessions_expired", "silent") in one.counted


def test_late_and_doubled_messages_change_nothing():
    one = served()
    one.watch(revision=1, session=7)
    one.change(b=b"2")
    assert one.watch(revision=1, session=7) == one.watch(revision=0, session=6) == []
    assert one.acknowledge(2, session=6) == []
    assert one.receive("w", messages.Unwatch(6)) == []
    session = one.server.sessions["w"]
    assert (session.number, session.acknowledged) == (7, 1)
    assert one.counted.count(("distribution_late_watches", "w")) == 2
    one.acknowledge(2, session=7)
    one.acknowledge(1, session=7)
    assert session.acknowledged == 2


def test_an_acknowledgement_of_what_does_not_exist_is_held_to_what_does():
    one = served()
    one.watch(revision=1)
    one.acknowledge(1 << 50)
    assert one.server.sessions["w"].acknowledged == 1
    (update,) = one.change(b=b"2")
    assert (update.previous, update.revision) == (1, 2)


def test_an_unknown_sender_is_told_that_it_has_no_session():
    one = served()
    (answer,) = one.acknowledge(1, "stranger", session=3)
    assert (answer.session, answer.reason) == (3, server.NO_SESSION)
    assert one.counted == [("distribution_unknown_sessions", "stranger")]
    assert one.receive("stranger", messages.Unwatch(3)) == []


def test_a_steps_work_does_not_grow_with_the_sessions():
    one = served(max_watches_per_s=10_000.0, max_watchers=4_000)
    for number in range(4_000):
        one.now += 400
        one.watch(f"w{number}", revision=1)
    looked_after = []
    look_after = one.server._look_after
    one.server._look_after = lambda now, session: (looked_after.append(session.name), look_after(now, session))
    one.acknowledge(1, "w7")
    assert looked_after == []
    one.now = max(one.now, one.server.due())
    one.server.tick(one.now)
    assert len(looked_after) < 40
