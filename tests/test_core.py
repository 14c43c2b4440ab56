"""The core with a fake clock, engines and clients: guarantees that hold whatever the routing policy decides."""

import msgspec
import pytest
from harness import CLASSES, LIMITS, MS, SETTINGS, FakeClock, S

from rackhub import interface as t
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Query
from rackhub.core.timers import Timers
from rackhub.counters import Counters


class RecordingPort:
    """Engine port and reply in one; records the calls."""

    reading_paused = may_have_unread_input = False

    def __init__(self):
        self.sent, self.given_up, self.promoted, self.answers = [], [], [], []

    def send(self, attempt):
        self.sent.append(attempt)

    def give_up(self, attempt):
        self.given_up.append(attempt)

    def promote(self, attempt):
        self.promoted.append((attempt, attempt.query.priority))

    def close_idle(self, engine):
        pass

    def served(self, query, rows):
        self.answers.append(("served", query.id, b"".join(rows)))

    def rejected(self, query, backoff):
        self.answers.append(("refused", query.id, backoff))

    def failed(self, query, why):
        self.answers.append(("failed", query.id, why))


class ScriptedPolicy:
    """A routing policy whose actions the test sets by the event's type: an iterable, or a function of the event."""

    dropped_timers = ()

    def __init__(self):
        self.events, self.acts = [], {}

    def handle(self, now, event):
        self.events.append(event)
        found = self.acts.get(type(event), ())
        return found(event) if callable(found) else found


class CoordinatorHarness:
    """A coordinator with a fake clock, a recording port and two engines."""

    def __init__(self, policy=None, limits=LIMITS, settings=SETTINGS):
        self.clock, self.counters, self.port = FakeClock(), Counters(), RecordingPort()
        self.core = Coordinator(settings, 7, self.clock, Timers(self.clock, self.clock), limits, self.counters)
        if policy:
            self.core.decisions.control = policy
        self.core.start(self.port, [t.EngineEntry("e0", "z", "std"), t.EngineEntry("e1", "z", "std")], 1)
        self.request_count = 0

    def ask(self, cls="lookup", budget=S, **more):
        self.request_count += 1
        query = Query(
            f"{self.request_count:016x}", cls, b"x", self.clock.now() + budget, self.port, tenant="acme", **more
        )
        self.core.submit(query)
        return query


def test_served_request_gets_one_answer_and_leaves_no_state():
    harness = CoordinatorHarness()
    harness.ask()
    (attempt,) = harness.port.sent
    harness.core.complete_attempt(attempt, "GOOD", {"busy_reqs": 3.0}, (b"a", b"b"))
    harness.core.complete_attempt(attempt, "RST")  # a second, crossing completion has no effect
    harness.clock.advance(30 * S)
    assert harness.port.answers == [("served", f"{1:016x}", b"ab")]
    assert not harness.core.queries and not harness.core.in_flight and harness.counters["out_rst"] == 0


def test_request_without_response_is_answered_before_its_deadline():
    harness = CoordinatorHarness()
    harness.ask(budget=900 * MS)
    harness.clock.advance(900 * MS)
    ((kind, _, backoff),) = harness.port.answers
    assert kind == "refused" and backoff > 0 and harness.port.given_up == harness.port.sent
    assert harness.counters["backstop_answers"] == 0


def test_rejection_by_the_policy_is_sent_immediately():
    """A rejection must not be delayed to slow down the client's retries: the issue forbids it."""
    harness = CoordinatorHarness()
    harness.core.update_endpoints([], 2)
    harness.ask()
    ((kind, _, backoff),) = harness.port.answers
    assert kind == "refused" and 0 < backoff <= SETTINGS.max_retry_after


def test_request_that_the_policy_forgets_is_answered_by_the_core():
    harness = CoordinatorHarness(ScriptedPolicy())
    harness.ask(budget=900 * MS)
    harness.clock.advance(900 * MS + LIMITS.deadline_grace + LIMITS.deadline_check_interval)
    assert [kind for kind, *_ in harness.port.answers] == ["failed"] and harness.counters["backstop_answers"] == 1
    assert isinstance(harness.core.decisions.control.events[-1], t.ClientDisconnected)


def test_late_event_loop_leaves_the_answer_to_the_policy():
    """A late sweep ran before the policy's timers: 1,764 requests failed that the policy would have rejected."""
    harness = CoordinatorHarness()
    harness.ask(budget=900 * MS)
    harness.clock.time += S  # the duration of one event-loop iteration
    harness.clock.advance(100 * MS)
    assert [kind for kind, *_ in harness.port.answers] == ["refused"] and harness.counters["backstop_answers"] == 0


def test_exception_in_the_policy_does_not_stop_the_daemon():
    policy = ScriptedPolicy()
    policy.acts[t.QueryReceived] = lambda event: 1 / 0
    harness = CoordinatorHarness(policy)
    harness.ask(budget=S)
    harness.clock.advance(2 * S)
    assert harness.counters["module_errors"] == 1 and len(harness.port.answers) == 1


def test_limits_on_attempts_and_one_answer_hold_for_any_policy():
    policy = ScriptedPolicy()
    policy.acts[t.QueryReceived] = lambda event: [t.Send(event.query, "e0"), t.Send(event.query, "e1")]
    harness = CoordinatorHarness(policy)
    query = harness.ask(budget=9 * S)
    assert len(harness.port.sent) == 1 and harness.counters["out_nop"] == 1
    policy.acts[t.AttemptCompleted] = lambda event: [] if event.outcome == "NOP" else [t.Send(event.query, "e0")]
    for _ in range(5):
        if query.in_flight:
            harness.core.complete_attempt(next(iter(query.in_flight.values())), "BAD")
    assert len(harness.port.sent) == SETTINGS.max_attempts
    policy.acts[t.TimerFired] = [t.Reject(query.id, 5), t.Fail(query.id), t.Reject(query.id), t.Send(query.id, "e0")]
    harness.core.decisions.timer_fired(1)
    assert len(harness.port.answers) == 1 and len(harness.port.sent) == SETTINGS.max_attempts


def test_time_out_cancels_the_attempt_and_notifies_the_policy():
    policy = ScriptedPolicy()
    policy.acts[t.QueryReceived] = lambda event: [t.Send(event.query, "e0", 200 * MS)]
    harness = CoordinatorHarness(policy)
    harness.ask(budget=9 * S)
    harness.clock.advance(200 * MS + LIMITS.deadline_check_interval + LIMITS.cancellation_delay)
    assert harness.port.given_up == harness.port.sent
    assert [event.outcome for event in policy.events if isinstance(event, t.AttemptCompleted)] == ["LATE"]


def test_disconnected_client_gets_no_answer_and_its_attempts_are_cancelled():
    harness = CoordinatorHarness()
    query = harness.ask()
    harness.core.disconnect_client(query)
    harness.core.disconnect_client(query)
    harness.clock.advance(30 * S)
    assert harness.port.answers == [] and harness.port.given_up == harness.port.sent and harness.counters["left"] == 1
    assert harness.counters["out_cxl"] == 1 and not harness.core.in_flight


def test_retry_waits_until_the_cancellation_is_sent():
    """On a scored day attempts overtook the cancellation of the previous one: two ran at once, which is forbidden."""
    policy = ScriptedPolicy()
    policy.acts[t.QueryReceived] = lambda event: [t.Send(event.query, "e0")]
    policy.acts[t.TimerFired] = lambda event: [t.Cancel(f"{1:016x}", 0)]
    policy.acts[t.AttemptCompleted] = lambda event: [t.Send(event.query, "e1")]
    harness = CoordinatorHarness(policy)
    query = harness.ask(budget=9 * S)
    harness.core.decisions.timer_fired(1)
    harness.core.complete_attempt(harness.port.sent[0], "GOOD")  # crosses the cancellation: ignored
    assert harness.port.given_up == harness.port.sent == list(query.in_flight.values()) and harness.port.answers == []
    harness.clock.advance(LIMITS.cancellation_delay)
    assert [attempt.engine for attempt in harness.port.sent] == ["e0", "e1"]


def test_priority_change_applies_to_attempts_in_flight():
    policy = ScriptedPolicy()
    policy.acts[t.QueryReceived] = lambda event: [t.ExecutionHints(event.query, 0, 2), t.Send(event.query, "e0")]
    harness = CoordinatorHarness(policy)
    query = harness.ask()
    assert harness.port.sent[0].query.priority == 2 and harness.port.promoted == []
    policy.acts[t.TimerFired] = [t.ExecutionHints(query.id, 0, 3)]
    harness.core.decisions.timer_fired(1)
    assert harness.port.promoted == [(harness.port.sent[0], 3)]


def test_ids_of_a_limited_number_of_completed_requests_are_remembered():
    """A faulty client reused the id of a served request with another statement, and the request reached engines."""
    harness = CoordinatorHarness(limits=msgspec.structs.replace(LIMITS, max_recent_ids=2))
    first = harness.ask()
    assert harness.core.is_known_id(first.id)
    harness.core.complete_attempt(harness.port.sent[0], "GOOD")
    assert harness.core.is_known_id(first.id)
    harness.core.disconnect_client(harness.ask())
    assert harness.core.is_known_id(f"{2:016x}")
    for attempt in [next(iter(harness.ask().in_flight.values())) for _ in range(2)]:
        harness.core.complete_attempt(attempt, "GOOD")
    assert not harness.core.is_known_id(first.id)


def test_requests_above_the_limit_of_open_requests_are_rejected():
    harness = CoordinatorHarness(limits=msgspec.structs.replace(LIMITS, max_open_requests=2))
    for _ in range(3):
        harness.ask()
    assert [kind for kind, *_ in harness.port.answers] == ["refused"] and harness.counters["over_held"] == 1


def test_requests_above_the_limit_of_statement_bytes_are_rejected():
    harness = CoordinatorHarness(limits=msgspec.structs.replace(LIMITS, max_statement_bytes=2))
    first = harness.ask()
    harness.core.disconnect_client(first)
    for _ in range(3):
        harness.ask()
    assert [kind for kind, *_ in harness.port.answers] == ["refused"] and harness.counters["over_held"] == 1


def test_late_event_loop_rejects_requests_until_it_has_caught_up():
    """On a scored day one CPU core was too slow for the load: iterations got longer until answers were 10 s late."""
    harness = CoordinatorHarness()
    # The event loop was busy, so its timers fire late.
    harness.clock.time += LIMITS.deadline_check_interval + LIMITS.max_event_loop_delay + 1
    harness.clock.advance(0)
    harness.ask()
    assert [kind for kind, *_ in harness.port.answers] == ["refused"] and harness.counters["over_behind"] == 1
    harness.clock.advance(LIMITS.deadline_check_interval)
    harness.ask()
    assert len(harness.port.answers) == 1 and len(harness.port.sent) == 1


@pytest.mark.parametrize("cls", CLASSES, ids=lambda settings: settings.name)
def test_later_timer_does_not_delay_an_earlier_one(cls):
    harness = CoordinatorHarness()
    harness.ask(cls.name, budget=cls.deadline)
    harness.ask(cls.name, budget=400 * MS)
    harness.clock.advance(400 * MS)
    assert [id for _, id, _ in harness.port.answers] == [f"{2:016x}"]


def test_exception_in_a_timer_does_not_affect_other_timers():
    harness, called = CoordinatorHarness(), []
    harness.core.timers.call_at(harness.clock.now() + 1, lambda: 1 / 0)
    harness.core.timers.call_at(harness.clock.now() + 2, called.append, 1)
    harness.clock.advance(3)
    harness.ask(budget=900 * MS)
    harness.clock.advance(900 * MS)
    assert called == [1] and len(harness.port.answers) == 1


def test_on_idle_is_called_after_the_last_answer():
    harness, idle_calls = CoordinatorHarness(), []
    harness.core.on_idle = lambda: idle_calls.append(len(harness.port.answers))
    harness.ask()
    harness.ask()
    for attempt in list(harness.port.sent):
        harness.core.complete_attempt(attempt, "GOOD")
    assert len(idle_calls) == 1


def test_draining_rejects_new_requests_and_serves_admitted_ones():
    harness = CoordinatorHarness()
    admitted = harness.ask(budget=2 * S)
    assert harness.core.accepting
    harness.core.start_draining(500 * MS)
    assert not harness.core.accepting
    short, long = harness.ask(budget=200 * MS), harness.ask(budget=2 * S)
    assert harness.port.answers == [("refused", short.id, 500 * MS), ("refused", long.id, 500 * MS)]
    assert [attempt.query for attempt in harness.port.sent] == [admitted] and list(harness.core.queries) == [
        admitted.id
    ]
    assert harness.counters["refused_ending"] == 2 and harness.core.counts_by_class["lookup"][1] == 2
    harness.core.complete_attempt(harness.port.sent[0], "BAD")  # retries of an admitted request continue
    harness.clock.advance(200 * MS)
    assert [attempt.query for attempt in harness.port.sent] == [admitted, admitted]
    harness.core.complete_attempt(harness.port.sent[1], "GOOD", {}, (b"a",))
    assert harness.port.answers[2:] == [("served", admitted.id, b"a")]


def test_counts_by_class_include_every_outcome():
    harness = CoordinatorHarness()
    served, left = harness.ask(), harness.ask()
    attempt = next(a for a in harness.port.sent if a.query is served)
    harness.core.complete_attempt(attempt, "GOOD", {}, (b"a",))
    harness.core.disconnect_client(left)
    ok, shed, errors, tries = harness.core.counts_by_class["lookup"]
    assert (ok, shed, errors) == (1, 0, 0) and tries == len(harness.port.sent)
