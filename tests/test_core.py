"""The core with a clock, engines and clients that the tests play: what must hold whatever the module decides."""

import msgspec
import pytest
from harness import CLASSES, LIMITS, MS, SETTINGS, FakeClock, S

from rackhub import interface as t
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Query
from rackhub.core.timers import Timers
from rackhub.counters import Counters


class Port:
    """Engines and client in one: notes what it is told."""

    reading_paused = may_have_unread_input = False

    def __init__(self):
        self.sent, self.given_up, self.hurried, self.answers = [], [], [], []

    def send(self, attempt):
        self.sent.append(attempt)

    def give_up(self, attempt):
        self.given_up.append(attempt)

    def promote(self, attempt):
        self.hurried.append((attempt, attempt.query.priority))

    def close_idle(self, engine):
        pass

    def served(self, query, rows):
        self.answers.append(("served", query.id, b"".join(rows)))

    def rejected(self, query, backoff):
        self.answers.append(("refused", query.id, backoff))

    def failed(self, query, why):
        self.answers.append(("failed", query.id, why))


class ScriptedPolicy:
    """A module that does what the test says, right or wrong."""

    def __init__(self):
        self.events, self.acts = [], {}

    def handle(self, now, event):
        self.events.append(event)
        found = self.acts.get(type(event), ())
        return found(event) if callable(found) else found


class CoordinatorHarness:
    def __init__(self, module=None, limits=LIMITS, settings=SETTINGS):
        self.clock, self.counters, self.port = FakeClock(), Counters(), Port()
        self.core = Coordinator(settings, 7, self.clock, Timers(self.clock, self.clock), limits, self.counters)
        if module:
            self.core.decisions.control = module
        self.core.start(self.port, [t.EngineEntry("e0", "z", "std"), t.EngineEntry("e1", "z", "std")], 1)
        self.made = 0

    def ask(self, cls="lookup", budget=S, **more):
        self.made += 1
        query = Query(f"{self.made:016x}", cls, b"x", self.clock.now() + budget, self.port, tenant="acme", **more)
        self.core.submit(query)
        return query


def test_a_served_request_has_one_answer_and_nothing_is_left():
    here = CoordinatorHarness()
    here.ask()
    (attempt,) = here.port.sent
    here.core.complete_attempt(attempt, "GOOD", {"busy_reqs": 3.0}, (b"a", b"b"))
    here.core.complete_attempt(attempt, "RST")  # a second end crosses: it counts for nothing
    here.clock.advance(30 * S)
    assert here.port.answers == [("served", f"{1:016x}", b"ab")]
    assert not here.core.queries and not here.core.in_flight and here.counters["out_rst"] == 0


def test_an_unanswered_request_is_answered_before_its_deadline():
    here = CoordinatorHarness()
    here.ask(budget=900 * MS)
    here.clock.advance(900 * MS)
    ((kind, _, back_off),) = here.port.answers
    assert kind == "refused" and back_off > 0 and here.port.given_up == here.port.sent
    assert here.counters["backstop_answers"] == 0


def test_a_refusal_of_the_module_is_passed_on_at_once():
    """Never held back, so that a client asks less often: the issue forbids it."""
    here = CoordinatorHarness()
    here.core.update_endpoints([], 2)
    here.ask()
    ((kind, _, back_off),) = here.port.answers
    assert kind == "refused" and 0 < back_off <= SETTINGS.max_retry_after


def test_a_module_that_forgets_a_request_does_not_keep_its_client_waiting():
    here = CoordinatorHarness(ScriptedPolicy())
    here.ask(budget=900 * MS)
    here.clock.advance(900 * MS + LIMITS.deadline_grace + LIMITS.deadline_check_interval)
    assert [kind for kind, *_ in here.port.answers] == ["failed"] and here.counters["backstop_answers"] == 1
    assert isinstance(here.core.decisions.control.events[-1], t.ClientDisconnected)


def test_a_late_loop_leaves_the_answer_to_the_module():
    """A sweep that ran late came before the module's timers: 1,764 requests failed that the module would refuse."""
    here = CoordinatorHarness()
    here.ask(budget=900 * MS)
    here.clock.time += S  # one turn of the loop took so long
    here.clock.advance(100 * MS)
    assert [kind for kind, *_ in here.port.answers] == ["refused"] and here.counters["backstop_answers"] == 0


def test_a_module_that_breaks_ends_no_daemon():
    module = ScriptedPolicy()
    module.acts[t.QueryReceived] = lambda event: 1 / 0
    here = CoordinatorHarness(module)
    here.ask(budget=S)
    here.clock.advance(2 * S)
    assert here.counters["module_errors"] == 1 and len(here.port.answers) == 1


def test_never_two_attempts_at_once_nor_more_than_allowed_nor_two_answers():
    module = ScriptedPolicy()
    module.acts[t.QueryReceived] = lambda event: [t.Send(event.query, "e0"), t.Send(event.query, "e1")]
    here = CoordinatorHarness(module)
    query = here.ask(budget=9 * S)
    assert len(here.port.sent) == 1 and here.counters["out_nop"] == 1
    module.acts[t.AttemptCompleted] = lambda event: [] if event.outcome == "NOP" else [t.Send(event.query, "e0")]
    for _ in range(5):
        if query.in_flight:
            here.core.complete_attempt(next(iter(query.in_flight.values())), "BAD")
    assert len(here.port.sent) == SETTINGS.max_attempts
    module.acts[t.TimerFired] = [t.Reject(query.id, 5), t.Fail(query.id), t.Reject(query.id), t.Send(query.id, "e0")]
    here.core.decisions.timer_fired(1)
    assert len(here.port.answers) == 1 and len(here.port.sent) == SETTINGS.max_attempts


def test_a_time_out_gives_the_attempt_up_and_tells_the_module():
    module = ScriptedPolicy()
    module.acts[t.QueryReceived] = lambda event: [t.Send(event.query, "e0", 200 * MS)]
    here = CoordinatorHarness(module)
    here.ask(budget=9 * S)
    here.clock.advance(200 * MS + LIMITS.deadline_check_interval + LIMITS.cancellation_delay)
    assert here.port.given_up == here.port.sent
    assert [event.outcome for event in module.events if isinstance(event, t.AttemptCompleted)] == ["LATE"]


def test_a_client_that_leaves_is_owed_nothing_and_its_work_stops():
    here = CoordinatorHarness()
    query = here.ask()
    here.core.disconnect_client(query)
    here.core.disconnect_client(query)
    here.clock.advance(30 * S)
    assert here.port.answers == [] and here.port.given_up == here.port.sent and here.counters["left"] == 1
    assert here.counters["out_cxl"] == 1 and not here.core.in_flight


def test_a_further_attempt_waits_until_the_give_up_has_gone_its_way():
    """On a scored day attempts overtook the give-up of the one before: two were out at once, which is forbidden."""
    module = ScriptedPolicy()
    module.acts[t.QueryReceived] = lambda event: [t.Send(event.query, "e0")]
    module.acts[t.TimerFired] = lambda event: [t.Cancel(f"{1:016x}", 0)]
    module.acts[t.AttemptCompleted] = lambda event: [t.Send(event.query, "e1")]
    here = CoordinatorHarness(module)
    query = here.ask(budget=9 * S)
    here.core.decisions.timer_fired(1)
    here.core.complete_attempt(here.port.sent[0], "GOOD")  # crossed the give-up: it is none of ours any more
    assert here.port.given_up == here.port.sent == list(query.in_flight.values()) and here.port.answers == []
    here.clock.advance(LIMITS.cancellation_delay)
    assert [attempt.engine for attempt in here.port.sent] == ["e0", "e1"]


def test_a_priority_holds_for_what_is_out():
    module = ScriptedPolicy()
    module.acts[t.QueryReceived] = lambda event: [t.ExecutionHints(event.query, 0, 2), t.Send(event.query, "e0")]
    here = CoordinatorHarness(module)
    query = here.ask()
    assert here.port.sent[0].query.priority == 2 and here.port.hurried == []
    module.acts[t.TimerFired] = [t.ExecutionHints(query.id, 0, 3)]
    here.core.decisions.timer_fired(1)
    assert here.port.hurried == [(here.port.sent[0], 3)]


def test_an_id_that_was_answered_is_not_new_and_few_are_remembered():
    """A bad client's request under the id of one just served reached engines, which knew it by another statement."""
    here = CoordinatorHarness(limits=msgspec.structs.replace(LIMITS, max_recent_ids=2))
    first = here.ask()
    assert here.core.is_known_id(first.id)
    here.core.complete_attempt(here.port.sent[0], "GOOD")
    assert here.core.is_known_id(first.id)
    here.core.disconnect_client(here.ask())
    assert here.core.is_known_id(f"{2:016x}")
    for attempt in [next(iter(here.ask().in_flight.values())) for _ in range(2)]:
        here.core.complete_attempt(attempt, "GOOD")
    assert not here.core.is_known_id(first.id)


def test_memory_is_bounded_by_refusing_at_once():
    here = CoordinatorHarness(limits=msgspec.structs.replace(LIMITS, max_open_requests=2))
    for _ in range(3):
        here.ask()
    assert [kind for kind, *_ in here.port.answers] == ["refused"] and here.counters["over_held"] == 1


def test_a_few_long_statements_are_bounded_as_many_short_ones_are():
    here = CoordinatorHarness(limits=msgspec.structs.replace(LIMITS, max_statement_bytes=2))
    first = here.ask()
    here.core.disconnect_client(first)
    for _ in range(3):
        here.ask()
    assert [kind for kind, *_ in here.port.answers] == ["refused"] and here.counters["over_held"] == 1


def test_a_loop_behind_its_time_refuses_at_once_until_it_has_caught_up():
    """On a scored day the one core was too slow for what came: turns grew until answers were 10 s late."""
    here = CoordinatorHarness()
    here.clock.time += (
        LIMITS.deadline_check_interval + LIMITS.max_event_loop_delay + 1
    )  # the loop was busy: its timers come late
    here.clock.advance(0)
    here.ask()
    assert [kind for kind, *_ in here.port.answers] == ["refused"] and here.counters["over_behind"] == 1
    here.clock.advance(LIMITS.deadline_check_interval)
    here.ask()
    assert len(here.port.answers) == 1 and len(here.port.sent) == 1


@pytest.mark.parametrize("cls", CLASSES, ids=lambda told: told.name)
def test_a_timer_far_off_does_not_hold_up_a_near_one(cls):
    here = CoordinatorHarness()
    here.ask(cls.name, budget=cls.deadline)
    here.ask(cls.name, budget=400 * MS)
    here.clock.advance(400 * MS)
    assert [id for _, id, _ in here.port.answers] == [f"{2:016x}"]


def test_a_timer_that_fails_keeps_no_other_from_its_call():
    here, called = CoordinatorHarness(), []
    here.core.timers.call_at(here.clock.now() + 1, lambda: 1 / 0)
    here.core.timers.call_at(here.clock.now() + 2, called.append, 1)
    here.clock.advance(3)
    here.ask(budget=900 * MS)
    here.clock.advance(900 * MS)
    assert called == [1] and len(here.port.answers) == 1


def test_on_idle_is_told_after_the_last_answer():
    here, told = CoordinatorHarness(), []
    here.core.on_idle = lambda: told.append(len(here.port.answers))
    here.ask()
    here.ask()
    for attempt in list(here.port.sent):
        here.core.complete_attempt(attempt, "GOOD")
    assert len(told) == 1


def test_after_sigterm_every_request_is_refused_at_once_and_counted_by_class_and_what_was_taken_goes_on():
    here = CoordinatorHarness()
    taken = here.ask(budget=2 * S)
    assert here.core.accepting
    here.core.start_draining(500 * MS)
    assert not here.core.accepting
    short, long = here.ask(budget=200 * MS), here.ask(budget=2 * S)
    assert here.port.answers == [("refused", short.id, 500 * MS), ("refused", long.id, 500 * MS)]
    assert [attempt.query for attempt in here.port.sent] == [taken] and list(here.core.queries) == [taken.id]
    assert here.counters["refused_ending"] == 2 and here.core.counts_by_class["lookup"][1] == 2
    here.core.complete_attempt(here.port.sent[0], "BAD")  # its further attempts are as before
    here.clock.advance(200 * MS)
    assert [attempt.query for attempt in here.port.sent] == [taken, taken]
    here.core.complete_attempt(here.port.sent[1], "GOOD", {}, (b"a",))
    assert here.port.answers[2:] == [("served", taken.id, b"a")]


def test_counts_by_class_follow_every_end():
    here = CoordinatorHarness()
    served, left = here.ask(), here.ask()
    attempt = next(a for a in here.port.sent if a.query is served)
    here.core.complete_attempt(attempt, "GOOD", {}, (b"a",))
    here.core.disconnect_client(left)
    ok, shed, errors, tries = here.core.counts_by_class["lookup"]
    assert (ok, shed, errors) == (1, 0, 0) and tries == len(here.port.sent)
