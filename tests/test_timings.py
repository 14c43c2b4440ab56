"""Tests of the timings: invalid files, budgets, learned limits, the core with a route policy, reloads, both fronts."""

import json
import math
import os
import random
import re
import signal
import socket
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from bad_timings import BAD_FILES, GOOD_FILE, SITE, SITE_WITH_HEDGING, timings_section
from harness import CLASSES, LIMITS, CoordinatorTestBed, EngineServer, FakeClock, RespEngine, TdsEngine, dial, spin
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from model_coverage import coverage_test
from test_config import SETTINGS as PLATFORM
from test_config import platform_config
from test_core import ScriptedPolicy

from rackhub import interface as t
from rackhub.cli import main
from rackhub.config import ConfigError, timings_table
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Query
from rackhub.core.timers import Timers
from rackhub.counters import Counters
from rackhub.timings import explain
from rackhub.timings.budget import SERVED, SHED, SPENT, SlidingBudget
from rackhub.timings.check import check
from rackhub.timings.latency_quantiles import HISTOGRAM_SPAN, MAX_FALL, MIN_SAMPLES, LatencyQuantiles
from rackhub.timings.route_policy import RoutePolicy
from rackhub.timings.routes import Backoff, LearnedLimit, Route, SecondCopy, read_routes
from rackhub.timings.simulation import Scenario, Simulation
from rackhub.timings.table import Table

S, MS = 1_000_000, 1_000
TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
DOCS = Path(__file__).parent.parent / "docs" / "operators"


def faults(text, settings):
    routes, wrong = read_routes(timings_section(text))
    return wrong + check(routes, settings).faults


# ---- the file


@pytest.mark.parametrize("text, keys, settings", [row[1:] for row in BAD_FILES], ids=[row[0] for row in BAD_FILES])
def test_bad_file_is_rejected_with_exactly_the_keys_at_fault(text, keys, settings):
    found = faults(text, settings)
    assert sorted(fault.key for fault in found) == sorted(keys)
    assert all(fault.reason and "\n" not in str(fault) for fault in found)


def test_all_bad_files_are_listed_in_the_docs():
    assert len(BAD_FILES) >= 60
    page = (DOCS / "timings.md").read_text()
    assert [what for what, *_ in BAD_FILES if f"| {what} |" not in page] == []


def test_routes_with_and_without_engine_kind_apply_together():
    assert faults(GOOD_FILE, SITE) == []
    assert faults('[[timings.route]]\nengine_kind = "std-8"\npriority = 2\n[[timings.route]]\nattempts = 2', SITE) == []
    table = timings_table(timings_section(GOOD_FILE), SITE)
    terms = table.find("lookup", "nyarugenge-bikes", 0)
    assert (terms.route, terms.attempts, terms.over) == (2, 2, 5 * S)
    assert terms.for_kind("std-16").learned == LearnedLimit(99.0, 1.5) and terms.for_kind("std-16").priority == 2
    assert terms.for_kind("std-8").fixed is not None and terms.for_kind("std-8").priority is None
    first = table.find("lookup", "huye-cycle", 499_999)
    assert (first.route, first.for_kind("std-16").timeout) == (0, 700 * MS)
    assert table.find("lookup", "huye-cycle", 500_000).route == 2
    assert table.find("report", "huye-cycle", 0).route is None and table.find("dance", "x", 0).attempts == 3


def test_unwise_values_are_warnings_and_not_faults():
    unwise = {
        'class = "lookup"': "sets nothing",
        "retry_on = []": "is empty",
        "attempts = 1\nbackoff_ms = { first = 5 }": "no effect",
        "retry_share = 0.9": "more than half",
        'class = "lookup"\nattempt_timeout_ms = 100': "under a quarter",
        'retry_on = ["late", "full"]\nclass = "lookup"': "late without retry_share",
        'class = "lookup"\nattempts = 2\nattempt_timeout_ms = 2000': "less than its time-out",
    }
    for text, why in unwise.items():
        checked = check(read_routes(timings_section(f"[[timings.route]]\n{text}"))[0], SITE)
        assert not checked.faults and any(why in warning.reason for warning in checked.warnings), text
    site = msgspec.convert(msgspec.to_builtins(SITE_WITH_HEDGING) | {"cancel": False, "priorities": False}, t.Settings)
    text = '[[timings.route]]\nclass = "lookup"\npriority = 2\nsecond_copy = { after_ms = 300, most_share = 0.5 }'
    keys = [warning.key for warning in check(read_routes(timings_section(text))[0], site).warnings]
    assert [key.rpartition("]")[2] for key in keys] == [".priority", ".second_copy", ".second_copy.most_share"]


def test_fault_names_the_related_key_of_the_platform_file():
    found = faults('[[timings.route]]\nclass = "lookup"\nsecond_copy = { after_ms = 250 }', SITE)
    assert "settings.Permissions.SecondCopies" in str(found[0])
    with pytest.raises(ConfigError) as refused:
        timings_table({"route": [{"attempts": 4}], "x": 1}, SITE)
    assert (
        str(refused.value) == "operator file: timings.x = 1: is not known here; there is route; "
        "timings.route[0].attempts = 4: the site allows 3 (settings.Permissions.MaxAttempts)"
    )


def test_schema_in_the_docs_is_current(capsys):
    assert main(["config", "schema"]) == 0
    assert capsys.readouterr().out == (DOCS / "operator.schema.json").read_text()


# ---- budgets


def test_budget_is_a_share_of_recently_served_requests():
    budget = SlidingBudget(10 * S)
    for i in range(1_000):
        budget.count(SERVED, i * 10 * MS)
    spent = 0
    while budget.may_spend(10 * S, 0.1, 3):
        budget.count(SPENT, 10 * S)
        spent += 1
    assert 95 <= spent <= 101 and 0 < budget.time_until_refill(10 * S) <= 10 * S
    assert not budget.may_spend(12 * S, 0.1, 3)  # spending still counts, while older served requests expire
    assert budget.may_spend(21 * S, 0.1, 3) and budget.totals == [0, 0, 0]
    for _ in range(3):
        budget.count(SPENT, 21 * S)
    assert not budget.may_spend(21 * S, 0.1, 3)  # the floor is spent


def test_budget_counts_correctly_after_clock_jumps():
    budget = SlidingBudget(10 * S)
    budget.count(SERVED, 100 * S)
    budget.count(SPENT, 100 * S)
    budget.count(SERVED, 50 * S)  # the clock went back: counts in the newest step
    assert budget.totals == [2, 1, 0]
    budget.count(SERVED, 10_000 * S)
    assert budget.totals == [1, 0, 0]


def test_shed_requests_reduce_the_budget():
    budget = SlidingBudget(10 * S)
    for i in range(1_000):
        budget.count(SHED if i % 2 else SERVED, i * MS)
    assert [budget.may_spend(S, 0.1, floor) for floor in (0, 1)] == [False, True]
    for i in range(1_000):
        budget.count(SERVED, S + i * MS)
    assert budget.may_spend(2 * S, 0.1, 0)


def test_only_requests_without_an_attempt_count_as_shed():
    bed = PolicyTestBed(Route(cls="lookup", retry_share=0.5, retry_floor=0))
    bed.submit()
    bed.end(bed.port.sent[0], "GOOD")
    (budget,) = bed.policy._retry_budgets.values()
    assert budget.totals == [1, 0, 0]
    bed.core.update_endpoints([], 2)
    bed.submit()
    assert bed.port.answers[-1][1] == "refused" and budget.totals == [1, 0, 1]


@pytest.mark.parametrize("share, floor", [(0.1, 3), (0.5, 0), (0.0, 5)])
def test_spending_never_exceeds_the_share_in_any_window(share, floor):
    generator, budget, events, now = random.Random(floor), SlidingBudget(10 * S), [], 0
    for _ in range(5_000):
        now += int(generator.expovariate(1 / 20_000))
        budget.count(SERVED, now)
        events.append((now, 0))
        if generator.random() < 0.6 and budget.may_spend(now, share, floor):
            budget.count(SPENT, now)
            events.append((now, 1))
    for at in range(10 * S, now, 3 * S):
        lately = [spent for when, spent in events if at - 10 * S < when <= at]
        spent = sum(lately)
        # A step is a twentieth of the window, which bounds the error.
        assert spent <= max(floor, share * (len(lately) - spent) * 1.12) + 1


# ---- learned time-outs


P99 = LearnedLimit(99.0, 1.5)


def feed(quantiles, generator, now, count, mean_ms=100.0, engine=None, span=HISTOGRAM_SPAN):
    for i in range(count):
        name = engine or f"e{i % 8}"
        took = int(mean_ms * MS * math.exp(generator.gauss(0, 0.3)))
        quantiles.record("lookup", "std", name, took, now + i * span // count)
    return now + span


def limit(quantiles, now, least=0.0, most=0.0):
    return quantiles.limit("lookup", "std", P99, least, most, now)


def test_limit_needs_a_minimum_of_samples():
    quantiles, generator = LatencyQuantiles(), random.Random(1)
    feed(quantiles, generator, 0, MIN_SAMPLES - 1, span=S)
    assert limit(quantiles, S) is None and limit(quantiles, S, most=900.0) == 900.0
    feed(quantiles, generator, S, 200, span=S)
    found = limit(quantiles, 2 * S)
    assert 200 < found < 450  # the p99 of these samples is about 200 ms
    assert limit(quantiles, 2 * S, least=800.0) == 800.0 and limit(quantiles, 2 * S, most=150.0) == 150.0


def test_one_slow_engine_does_not_raise_the_limit():
    quantiles, generator, now = LatencyQuantiles(), random.Random(2), 0
    for _ in range(4):
        now = feed(quantiles, generator, now, 400)
    before = limit(quantiles, now)
    for _ in range(4):
        for i in range(400):
            took = int((100.0 if i % 8 else 600.0) * MS * math.exp(generator.gauss(0, 0.3)))
            quantiles.record("lookup", "std", f"e{i % 8}", took, now + i * HISTOGRAM_SPAN // 400)
        now += HISTOGRAM_SPAN
    assert limit(quantiles, now) < 1.3 * before


def test_limit_rises_at_once_when_all_engines_are_slow():
    quantiles, generator, now = LatencyQuantiles(), random.Random(3), 0
    for _ in range(3):
        now = feed(quantiles, generator, now, 400)
    before = limit(quantiles, now)
    now = feed(quantiles, generator, now, 400, mean_ms=300.0)
    assert limit(quantiles, now) > 2 * before


def test_time_outs_do_not_drive_the_limit_down():
    """The limit ends the attempts that it is learned from. If time-outs did not count, it would fall to nothing."""
    quantiles, generator, now, cuts, total = LatencyQuantiles(), random.Random(4), 0, 0, 0
    now = feed(quantiles, generator, now, 400)
    for step in range(60):
        for i in range(200):
            at = now + i * HISTOGRAM_SPAN // 200
            would, most = 100 * MS * math.exp(generator.gauss(0, 0.5)), (limit(quantiles, at) or 1e9) * MS
            cut = would > most
            quantiles.record("lookup", "std", f"e{i % 8}", int(min(would, most)), at, cut)
            if step >= 30:
                cuts, total = cuts + cut, total + 1
        now += HISTOGRAM_SPAN
    assert cuts / total < 0.02 and 200 < limit(quantiles, now) < 1_000


def test_limit_falls_slowly_and_is_dropped_after_an_idle_time():
    quantiles, generator, now = LatencyQuantiles(), random.Random(5), 0
    for _ in range(3):
        now = feed(quantiles, generator, now, 400, mean_ms=1_000.0)
    high = limit(quantiles, now)
    fell = []
    for _ in range(12):
        now = feed(quantiles, generator, now, 400)
        fell.append(limit(quantiles, now))
    assert fell[0] >= MAX_FALL * high * 0.999 and fell[-1] < 0.3 * high
    assert limit(quantiles, now + 100 * HISTOGRAM_SPAN, most=5_000.0) == 5_000.0  # expired


# ---- the core with a route policy


class RecordingPort:
    """Engines and client: records sent and cancelled attempts, and answers."""

    reading_paused = may_have_unread_input = False

    def __init__(self):
        self.sent, self.cancelled, self.answers = [], [], []

    def send(self, attempt):
        self.sent.append(attempt)

    def give_up(self, attempt):
        self.cancelled.append(attempt)

    def promote(self, attempt): ...
    def close_idle(self, engine): ...

    def served(self, query, rows):
        self.answers.append((query.id, "served"))

    def rejected(self, query, backoff):
        self.answers.append((query.id, "refused"))

    def failed(self, query, why):
        self.answers.append((query.id, "failed"))


def site(hedging=True, engines=4):
    return t.Settings(
        classes=CLASSES,
        tenants=(t.TenantSettings("acme"),),
        kind_cores={"std": 8.0},
        clock_period=5 * MS,
        priorities=True,
        progress_report_interval=S,
        cancel=True,
        max_attempts=3,
        max_retry_after=500 * MS,
        hedging=hedging,
    )


class PolicyTestBed:
    """A coordinator with routes and a fake clock."""

    def __init__(self, *routes, hedging=True, module=None, engines=4):
        self.clock, self.counters, self.port, self.request_count = FakeClock(), Counters(), RecordingPort(), 0
        self.settings = site(hedging)
        self.core = Coordinator(self.settings, 7, self.clock, Timers(self.clock, self.clock), LIMITS, self.counters)
        self.policy = self.core.request_policy = RoutePolicy(
            self.table(*routes), {"depot-load": 25 * S}, 3, self.counters.add
        )
        if module:
            self.core.decisions.control = module
        self.entries = [t.EngineEntry(f"e{i}", "z", "std") for i in range(engines)]
        self.core.start(self.port, self.entries, 1)

    def table(self, *routes):
        assert check(routes, self.settings).faults == []
        return Table(routes, self.settings)

    def submit(self, cls="lookup", budget=3 * S, token=""):
        self.request_count += 1
        query = Query(
            f"{self.request_count:016x}",
            cls,
            b"x",
            self.clock.now() + budget,
            self.port,
            tenant="acme",
            idempotency_key=token,
        )
        self.core.submit(query)
        return query

    def end(self, attempt, reason):
        self.core.complete_attempt(attempt, reason, {"busy_reqs": 1.0}, (b"a\tb\tc\n",) if reason == "GOOD" else ())


def test_attempt_times_out_by_its_route_and_is_retried_on_another_engine():
    bed = PolicyTestBed(Route(cls="lookup", attempt_timeout_ms=400.0))
    bed.submit()
    bed.clock.advance(390 * MS)
    assert len(bed.port.sent) == 1
    bed.clock.advance(60 * MS)
    assert bed.port.cancelled == bed.port.sent[:1] and len(bed.port.sent) == 2
    assert bed.port.sent[1].engine != bed.port.sent[0].engine
    bed.end(bed.port.sent[1], "GOOD")
    assert bed.port.answers == [(f"{1:016x}", "served")] and bed.policy.open_requests == {1: 0}


def test_result_after_a_time_out_is_ignored():
    bed = PolicyTestBed(Route(cls="lookup", attempt_timeout_ms=400.0))
    bed.submit()
    while not bed.port.cancelled:
        bed.clock.advance(MS)
    assert bed.port.cancelled == bed.port.sent
    bed.end(bed.port.sent[0], "GOOD")  # the attempt is cancelled already, so its result is ignored
    bed.clock.advance(50 * MS)
    bed.end(bed.port.sent[1], "GOOD")
    assert bed.port.answers == [(f"{1:016x}", "served")]


def test_request_is_rejected_at_once_after_the_last_attempt_of_its_route():
    bed = PolicyTestBed(Route(cls="lookup", attempts=1))
    bed.submit()
    bed.end(bed.port.sent[0], "BAD")
    assert len(bed.port.sent) == 1 and bed.port.answers == [(f"{1:016x}", "refused")]


def test_outcome_that_is_not_in_retry_on_is_rejected_at_once():
    bed = PolicyTestBed(Route(cls="lookup", retry_on=["full", "noconn"]))
    bed.submit(), bed.submit()
    bed.end(bed.port.sent[0], "RST")
    bed.end(bed.port.sent[1], "NOCONN")
    assert bed.port.answers == [(f"{1:016x}", "refused")] and len(bed.port.sent) == 3
    assert bed.counters["retries_not_on"] == 1


def test_retry_waits_for_its_backoff_and_uses_the_endpoint_list_of_that_time():
    bed = PolicyTestBed(Route(cls="lookup", backoff_ms=Backoff(100.0, 2.0, 400.0, "none")))
    bed.submit()
    bed.end(bed.port.sent[0], "BAD")
    bed.clock.advance(90 * MS)
    assert len(bed.port.sent) == 1
    left = bed.port.sent[0].engine
    stays = next(entry for entry in bed.entries if entry.engine != left)
    drained = [
        entry if entry is stays else t.EngineEntry(entry.engine, "z", "std", state="Terminating")
        for entry in bed.entries
    ]
    # All engines but one drain during the backoff.
    bed.core.update_endpoints(drained, 2)
    bed.clock.advance(20 * MS)
    assert [attempt.engine for attempt in bed.port.sent[1:]] == [stays.engine]


def test_disconnect_during_a_backoff_prevents_the_retry():
    bed = PolicyTestBed(Route(cls="lookup", backoff_ms=Backoff(100.0, jitter="none")))
    query = bed.submit()
    bed.end(bed.port.sent[0], "BAD")
    bed.core.disconnect_client(query)
    bed.clock.advance(S)
    assert len(bed.port.sent) == 1 and bed.port.answers == [] and bed.policy.open_requests == {1: 0}


def test_deadline_during_a_backoff_is_met():
    bed = PolicyTestBed(Route(cls="lookup", backoff_ms=Backoff(2_000.0, jitter="none"), attempts=2))
    bed.submit(budget=S)
    bed.end(bed.port.sent[0], "BAD")
    bed.clock.advance(S)
    assert len(bed.port.answers) == 1 and len(bed.port.sent) == 1


def test_request_is_rejected_at_once_when_the_retry_budget_is_spent():
    bed = PolicyTestBed(Route(cls="lookup", retry_share=0.1, retry_floor=2))
    for _ in range(10):
        bed.submit()
    for attempt in bed.port.sent[:10]:
        bed.end(attempt, "BAD")
    assert len(bed.port.sent) == 12 and len(bed.port.answers) == 8
    assert bed.counters["retries_over_budget"] == 8


def test_delayed_retries_are_charged_when_they_are_sent():
    bed = PolicyTestBed(Route(cls="lookup", retry_share=0.1, retry_floor=2, backoff_ms=Backoff(50.0, jitter="none")))
    for _ in range(10):
        bed.submit()
    for attempt in bed.port.sent[:10]:
        bed.end(attempt, "BAD")
    bed.clock.advance(60 * MS)
    assert len(bed.port.sent) == 12 and len(bed.port.answers) == 8


HEDGE_ROUTE = Route(cls="lookup", second_copy=SecondCopy(after_ms=250.0, most_share=0.5))


def hedged_request(*routes, **more):
    """A test bed with one request that has two attempts in flight."""
    bed = PolicyTestBed(*(routes or (HEDGE_ROUTE,)), **more)
    query = bed.submit()
    bed.clock.advance(250 * MS)
    assert len(bed.port.sent) == 2 and len(query.in_flight) == 2 and bed.counters["copies"] == 1
    assert bed.port.sent[0].engine != bed.port.sent[1].engine
    return bed, query, *bed.port.sent


@pytest.mark.parametrize("winner", [0, 1])
def test_first_result_wins_and_the_other_attempt_is_cancelled(winner):
    bed, query, *both = hedged_request()
    bed.end(both[winner], "GOOD")
    assert bed.port.answers == [(query.id, "served")] and bed.port.cancelled == [both[1 - winner]]
    bed.end(both[1 - winner], "GOOD")  # late, or in the same event-loop iteration
    bed.clock.advance(5 * S)
    assert bed.port.answers == [(query.id, "served")] and not bed.core.in_flight and not bed.core.queries


def test_two_results_in_one_event_loop_iteration_give_one_answer():
    bed, query, first, second = hedged_request()
    bed.end(first, "GOOD")
    bed.end(second, "GOOD")
    assert bed.port.answers == [(query.id, "served")] and bed.counters["served"] == 1


def test_reset_of_the_hedge_leaves_the_first_attempt_in_flight():
    bed, query, first, second = hedged_request()
    bed.end(second, "RST")
    assert bed.port.answers == [] and list(query.in_flight.values()) == [first] and len(bed.port.sent) == 2
    bed.end(first, "GOOD")
    assert bed.port.answers == [(query.id, "served")]


def test_last_attempt_is_sent_after_both_hedged_attempts_fail():
    bed, query, first, second = hedged_request()
    bed.end(first, "BAD")
    bed.end(second, "RST")
    assert len(bed.port.sent) == 3
    bed.end(bed.port.sent[2], "RST")
    bed.clock.advance(5 * S)
    assert len(bed.port.sent) == 3 and bed.port.answers == [(query.id, "refused")]


def test_request_is_hedged_once_and_the_hedge_counts_as_an_attempt():
    bed, query, first, second = hedged_request()
    bed.clock.advance(S)
    assert len(bed.port.sent) == 2
    two = PolicyTestBed(msgspec.structs.replace(HEDGE_ROUTE, attempts=2))
    query = two.submit()
    two.clock.advance(300 * MS)
    two.end(two.port.sent[0], "BAD"), two.end(two.port.sent[1], "BAD")
    assert len(two.port.sent) == 2 and two.port.answers == [(query.id, "refused")]


def test_hedges_are_limited_by_their_share():
    bed = PolicyTestBed(Route(cls="lookup", second_copy=SecondCopy(after_ms=250.0, most_share=0.05)))
    for _ in range(40):
        bed.submit()
    for attempt in bed.port.sent[:40]:
        bed.end(attempt, "GOOD")
    for _ in range(20):
        bed.submit()
    bed.clock.advance(300 * MS)
    assert bed.counters["copies"] == 2 and bed.counters["copies_over_share"] == 18


def test_no_hedge_after_a_full_engine_during_a_drain_or_under_load():
    bed = PolicyTestBed(HEDGE_ROUTE)
    bed.submit()
    bed.end(bed.port.sent[0], "FULL")
    bed.clock.advance(300 * MS)
    assert len(bed.port.sent) == 2 and bed.counters["copies"] == 0
    bed = PolicyTestBed(HEDGE_ROUTE)
    bed.submit()
    bed.core.update_endpoints(
        [
            t.EngineEntry(
                entry.engine, "z", "std", state="Terminating" if entry.engine == bed.port.sent[0].engine else "Ready"
            )
            for entry in bed.entries
        ],
        2,
    )
    bed.clock.advance(300 * MS)
    assert bed.counters["copies"] == 0
    bed = PolicyTestBed(HEDGE_ROUTE)
    for _ in range(20):
        bed.submit()
    for attempt in bed.port.sent[:10]:
        bed.core.complete_attempt(attempt, "GOOD", {"busy_reqs": 400.0}, (b"",))  # the engines report a high load
    bed.clock.advance(300 * MS)
    assert bed.counters["copies"] == 0


def test_hedge_is_limited_by_the_dedup_window_and_by_the_site():
    route = Route(cls="depot-load", second_copy=SecondCopy(after_ms=3_000.0), repeat_within_ms=2_000.0)
    bed = PolicyTestBed(route)
    bed.submit("depot-load", 20 * S, TOKEN)
    bed.clock.advance(4 * S)
    assert len(bed.port.sent) == 1
    bed = PolicyTestBed(msgspec.structs.replace(route, repeat_within_ms=None))
    bed.submit("depot-load", 20 * S, TOKEN)
    bed.clock.advance(4 * S)
    assert len(bed.port.sent) == 2
    module = ScriptedPolicy()
    bed = PolicyTestBed(hedging=False, module=module)
    module.acts = {t.QueryReceived: lambda event: [t.Send(event.query, "e0"), t.Send(event.query, "e1")]}
    bed.submit()
    assert len(bed.port.sent) == 1  # although the module sends two


def test_priority_of_the_route_overrides_that_of_the_decision_module():
    bed = PolicyTestBed(Route(cls="lookup", priority=3))
    query = bed.submit()
    assert query.priority == 3
    bed.core.attempts.apply_hints(t.ExecutionHints(query.id, 0.0, 1))
    assert query.priority == 3


# ---- dedup windows


def test_retry_is_not_sent_if_the_dedup_window_ends_during_its_backoff():
    """The request is rejected: as all engines drop its repeats, the client may safely retry it."""
    bed = PolicyTestBed(
        Route(cls="depot-load", repeat_within_ms=1_000.0, backoff_ms=Backoff(800.0, jitter="none"), attempts=2)
    )
    query = bed.submit("depot-load", 20 * S, TOKEN)
    bed.clock.advance(300 * MS)
    bed.end(bed.port.sent[0], "RST")
    bed.clock.advance(790 * MS)
    assert bed.port.answers == []
    bed.clock.advance(20 * MS)
    assert len(bed.port.sent) == 1 and bed.port.answers == [(query.id, "refused")]


@pytest.mark.parametrize("tds", [False, True])
def test_retry_is_not_sent_if_the_dedup_window_ends_while_its_connection_is_dialled(tds):
    servers = [EngineServer(TdsEngine if tds else RespEngine) for _ in range(2)]
    bed = CoordinatorTestBed(*servers, tds_engines=tds)
    try:
        bed.core.request_policy = RoutePolicy(
            Table([Route(cls="depot-load", repeat_within_ms=1_000.0)], bed.core.settings),
            {"depot-load": 25 * S},
            3,
            bed.counters.add,
        )
        query = Query(
            f"{1:016x}",
            "depot-load",
            b"x",
            bed.clock.now() + 20 * S,
            RecordingPort(),
            tenant="acme",
            idempotency_key=TOKEN,
        )
        bed.core.submit(query)
        spin(lambda: sum(len(server.wants()) for server in servers) == 1)
        (first,) = query.in_flight.values()
        bed.core.complete_attempt(first, "RST")  # the retry begins to dial
        (second,) = query.in_flight.values()
        assert second.send_by == first.sent_at + S and second.engine != first.engine
        bed.clock.time += 2 * S  # the window ends before the connection is made
        spin(lambda: query.closed)
        assert sum(len(server.wants()) for server in servers) == 1 and query.reply.answers == [(query.id, "refused")]
    finally:
        bed.close()


# ---- reloads


def test_open_request_keeps_its_terms_after_a_reload():
    bed = PolicyTestBed(Route(cls="lookup", attempts=3, backoff_ms=Backoff(100.0, jitter="none")))
    before = bed.submit()
    bed.end(bed.port.sent[0], "BAD")
    bed.policy.reload(bed.table(Route(cls="lookup", attempts=1)))  # the route of the first request is removed
    after = bed.submit()
    assert bed.policy.open_requests == {1: 1, 2: 1} and bed.policy.generation == 2
    bed.end(bed.port.sent[1], "BAD")
    assert bed.port.answers == [(after.id, "refused")]
    bed.clock.advance(110 * MS)
    assert len(bed.port.sent) == 3 and bed.port.sent[2].query is before
    bed.end(bed.port.sent[2], "GOOD")
    assert bed.port.answers[-1] == (before.id, "served") and bed.policy.open_requests == {2: 0}


def test_reload_while_a_hedge_is_in_flight():
    bed, query, first, second = hedged_request()
    bed.policy.reload(bed.table())
    bed.end(second, "GOOD")
    assert (
        bed.port.answers == [(query.id, "served")]
        and bed.port.cancelled == [first]
        and bed.policy.open_requests == {2: 0}
    )


def test_budgets_outlive_a_reload():
    route = Route(cls="lookup", retry_share=0.1, retry_floor=1)
    bed = PolicyTestBed(route)
    bed.submit()
    bed.end(bed.port.sent[0], "BAD")
    bed.policy.reload(bed.table(route))
    bed.submit()
    assert bed.port.sent[2].query.terms.max_attempts == 1  # spending before the reload counts
    bed.end(bed.port.sent[2], "BAD")
    assert len(bed.port.sent) == 3 and bed.port.answers[-1][1] == "refused"


@pytest.mark.parametrize("jump", [10 * S, -10 * S])
def test_each_request_gets_one_answer_after_a_clock_jump(jump):
    bed = PolicyTestBed(HEDGE_ROUTE, Route(cls="report", backoff_ms=Backoff(500.0), attempt_timeout_ms=3_000.0))
    queries = [bed.submit("lookup" if i % 2 else "report", 3 * S) for i in range(10)]
    bed.clock.advance(260 * MS)
    bed.end(bed.port.sent[0], "BAD")
    bed.clock.time += max(jump, 0)
    bed.clock.advance(15 * S)
    assert sorted(id for id, _ in bed.port.answers) == sorted(query.id for query in queries)
    assert not bed.core.in_flight and all(count <= 3 for count in (query.attempts for query in queries))


# ---- model of requests


class RequestModel(RuleBasedStateMachine):
    """Requests with random routes, outcomes, reloads, drains and clock steps; checks the invariants of each."""

    ROUTES = st.lists(
        st.builds(
            Route,
            cls=st.sampled_from(["lookup", "report", "depot-load"]),
            attempts=st.sampled_from([None, 1, 2, 3]),
            backoff_ms=st.sampled_from([None, Backoff(20.0), Backoff(150.0, 2.0, 400.0, "none")]),
            retry_on=st.sampled_from([None, ["full", "noconn"], ["late", "error", "reset"], []]),
            retry_share=st.sampled_from([None, 0.0, 0.3]),
            retry_floor=st.sampled_from([0, 2]),
            attempt_timeout_ms=st.sampled_from([None, 300.0, 700.0]),
            second_copy=st.sampled_from([None, SecondCopy(after_ms=120.0, most_share=1.0)]),
        ),
        max_size=3,
        unique_by=lambda route: route.cls,
    )

    @initialize(routes=ROUTES, hedging=st.booleans())
    def begin(self, routes, hedging):
        self.hedging = hedging
        self.bed = PolicyTestBed(*self.allowed(routes), hedging=hedging)
        self.drained, self.requests = set(), []
        self.checked_attempts, self.first_sent_at = 0, {}
        self.terms = {}

    def allowed(self, routes):
        """Return the routes that the site allows, without second copies where it forbids them."""
        valid = []
        for route in routes:
            if not self.hedging or route.attempts == 1:
                route = msgspec.structs.replace(route, second_copy=None)
            if not check([route], site(self.hedging)).faults:
                valid.append(route)
        return valid

    @rule(cls=st.sampled_from(["lookup", "report", "depot-load"]), budget=st.sampled_from([400 * MS, 3 * S, 24 * S]))
    def ask(self, cls, budget):
        query = self.bed.submit(cls, budget, TOKEN if cls == "depot-load" else "")
        self.requests.append(query)
        if query.terms is not None:
            self.terms[query.id] = query.terms.terms
        self.check_sent()

    @precondition(lambda self: self.bed.core.in_flight)
    @rule(data=st.data(), reason=st.sampled_from(["GOOD", "GOOD", "BAD", "FULL", "NOCONN", "RST"]))
    def end(self, data, reason):
        in_flight = sorted(self.bed.core.in_flight.values(), key=lambda attempt: (attempt.query.id, attempt.number))
        self.bed.end(data.draw(st.sampled_from(in_flight)), reason)
        self.check_sent()

    @rule(step=st.sampled_from([1 * MS, 20 * MS, 130 * MS, 400 * MS, 2 * S, 10 * S]))
    def wait(self, step):
        for _ in range(10):
            self.bed.clock.advance(step // 10)
            self.check_sent()

    @rule(routes=ROUTES)
    def reload(self, routes):
        self.bed.policy.reload(self.bed.table(*self.allowed(routes)))

    @rule(drained=st.sets(st.sampled_from(["e0", "e1", "e2", "e3"]), max_size=3))
    def drain(self, drained):
        self.drained = drained
        self.bed.core.update_endpoints(
            [
                t.EngineEntry(entry.engine, "z", "std", state="Terminating" if entry.engine in drained else "Ready")
                for entry in self.bed.entries
            ],
            self.checked_attempts + 2,
        )

    @precondition(lambda self: self.bed.core.queries)
    @rule(data=st.data())
    def disconnect(self, data):
        self.bed.core.disconnect_client(
            data.draw(st.sampled_from(sorted(self.bed.core.queries.values(), key=lambda q: q.id)))
        )

    def check_sent(self):
        """Check each attempt that was sent since the last call."""
        sent = self.bed.port.sent
        for attempt in sent[self.checked_attempts :]:
            query = attempt.query
            assert attempt.engine not in self.drained
            assert attempt.number < min(self.bed.settings.max_attempts, query.terms.terms.attempts)
            if query.idempotency_key:
                first = self.first_sent_at.setdefault(query.id, attempt.sent_at)
                within = query.terms.terms.repeat_within or 25 * S
                assert attempt.sent_at - first < within
        self.checked_attempts = len(sent)

    @invariant()
    def invariants_hold(self):
        if not hasattr(self, "bed"):
            return
        answered = [id for id, _ in self.bed.port.answers]
        assert len(answered) == len(set(answered))
        now = self.bed.clock.now()
        for query in self.requests:
            assert len(query.in_flight) <= (2 if self.hedging else 1)
            assert query.closed or now <= query.deadline + LIMITS.deadline_grace + LIMITS.deadline_check_interval
            if query.terms is not None:
                assert query.terms.terms is self.terms[query.id]
        live = sum(not query.closed for query in self.requests)
        assert sum(self.bed.policy.open_requests.values()) == live == len(self.bed.core.queries)

    def teardown(self):
        if hasattr(self, "bed"):
            self.bed.clock.advance(40 * S)
            assert not self.bed.core.queries and not self.bed.core.in_flight


MODEL_SETTINGS = hypothesis_settings(max_examples=80, stateful_step_count=40, deadline=None, derandomize=True)
test_request_model = coverage_test(RequestModel, MODEL_SETTINGS)


# ---- simulations


SLOW = Scenario(slow_period=3.0, seconds=15, work_sigma=0.3)


def test_hedges_reduce_the_tail_latency_of_a_slow_engine_for_little_extra_work():
    without, hedged = (
        Simulation(SLOW, routes, 1).run()
        for routes in (None, [Route(cls="lookup", second_copy=SecondCopy(after_ms=200.0))])
    )
    assert hedged.p99_ms < 0.7 * without.p99_ms and hedged.engine_work_ms < 1.05 * without.engine_work_ms
    assert hedged.copies > 0 and hedged.doubled == without.doubled == hedged.unanswered == 0


def test_simulation_is_deterministic():
    assert (
        Simulation(SLOW, [Route(cls="lookup", second_copy=SecondCopy(after="p95"))], 3).run()
        == Simulation(SLOW, [Route(cls="lookup", second_copy=SecondCopy(after="p95"))], 3).run()
    )


# ---- both fronts


def test_routes_apply_to_both_fronts():
    outcomes = []
    for tds in (False, True):
        bed = CoordinatorTestBed(
            EngineServer(
                on_command=lambda engine, word, id, *rest: engine.respond(id, b"500") if word == b"want" else None
            )
        )
        try:
            bed.core.request_policy = RoutePolicy(
                Table([Route(cls="lookup", attempts=1, priority=3)], bed.core.settings), {}, 3, bed.counters.add
            )
            if tds:
                client = bed.tds_client()
                client.call("SELECT 1 FROM r_3.t")
                spin(lambda h=bed: h.counters["refused"] == 1)
            else:
                client = bed.json_client()
                client.sendLine(
                    json.dumps(
                        {
                            "jsonrpc": "2.0",
                            "id": 1,
                            "method": "lookup",
                            "params": {"rid": f"{1:016x}", "budget": 1500, "acct": "acme", "body": "eA=="},
                        }
                    ).encode()
                )
                spin(lambda c=client: len(c.lines) == 1)
            (want,) = bed.engines[0].wants()
            outcomes.append((bed.counters["attempts"], bed.counters["refused"], b"level=3" in want[2]))
        finally:
            bed.close()
    assert outcomes == [(1, 1, True)] * 2


# ---- the command line


@pytest.fixture
def files(tmp_path, monkeypatch):
    """Write a platform configuration; return a function that writes operator's files."""
    services = [
        {"Name": "lookup", "Deadline": 3_000_000, "Objective": 600_000, "Effect": "retryable"},
        {"Name": "depot-load", "Deadline": 25_000_000, "Effect": "dedup", "DedupScope": "all", "Window": 25_000_000},
    ]
    (tmp_path / "site.json").write_text(json.dumps(platform_config(settings=PLATFORM | {"Services": services})))
    monkeypatch.setenv("BALANCER_CONFIG", str(tmp_path / "site.json"))

    def write(text, name="o.toml"):
        (tmp_path / name).write_text(text)
        return str(tmp_path / name)

    return write


ROUTE = '[[timings.route]]\nclass = "lookup"\nattempt_timeout_ms = 700\nattempts = 2\n'


def test_config_check_prints_faults_and_warnings(files, capsys):
    assert main(["config", "check", files(ROUTE)]) == 0 and "1 routes, 0 faults, 0 warnings" in capsys.readouterr().out
    assert main(["config", "check", files("[[timings.route]]\nattempts = 4\npriority = 9\n"), "--json"]) == 1
    found = json.loads(capsys.readouterr().out)
    assert [fault["key"] for fault in found["faults"]] == ["timings.route[0].priority", "timings.route[0].attempts"]
    assert main(["config", "check", files("[[timings.route]]\nretry_share = 0.9\n")]) == 0
    assert "unwise: timings.route[0].retry_share = 0.9" in capsys.readouterr().out
    assert main(["config", "check", files("timings = 3")]) == 2 and "timings" in capsys.readouterr().err
    assert main(["config", "check", "/none"]) == 2 and main(["config", "check"]) == 2


def test_config_explain_prints_the_route_and_the_worst_case(files, capsys):
    path = files(
        '[[timings.route]]\ntenant = "acme"\nclass = "depot-load"\nattempts = 1\n'
        + ROUTE
        + 'backoff_ms = { first = 100, jitter = "none" }\n'
    )
    assert main(["config", "explain", path, "--class", "lookup", "--json"]) == 0
    report = json.loads(capsys.readouterr().out)
    assert [match["fits"] for match in report["asked"]] == [False, True] and "depot-load" in report["asked"][0]["why"]
    terms = {term["name"]: (term["value"], term["source"]) for term in report["terms"]}
    assert terms["attempts"] == (2, "timings.route[1]") and terms["attempt_timeout_ms"] == (700, "timings.route[1]")
    assert terms["priority"] == (None, "the decision module")
    assert [moment["at_ms"] for moment in report["timeline"]] == [0, 700, 800, 1500, 1500]
    assert main(["config", "explain", path, "--class", "depot-load", "--kind", "std-8"]) == 0
    assert "25000" in capsys.readouterr().out
    assert main(["config", "explain", path, "--class", "dance"]) == 2 and "'dance'" in capsys.readouterr().err
    bad = files("[[timings.route]]\nattempts = 4", "bad.toml")
    assert main(["config", "explain", bad, "--class", "lookup"]) == 2 and "attempts = 4" in capsys.readouterr().err


def test_config_diff_prints_the_changed_terms(files, capsys):
    old, new = (
        files(ROUTE, "old.toml"),
        files(ROUTE.replace("attempts = 2", "estimate_ms = [0, 500]\nattempts = 3"), "new.toml"),
    )
    assert main(["config", "diff", old, old]) == 0 and capsys.readouterr().out.startswith("0 kinds")
    assert main(["config", "diff", old, new, "--json"]) == 1
    found = json.loads(capsys.readouterr().out)
    assert [(row["class"], row["engine_kind"], row["estimate_ms"]) for row in found] == [
        ("lookup", "all", [0, 500]),
        ("lookup", "all", [500, None]),
    ]
    assert found[0]["changes"] == {"attempts": [2, 3]} and found[1]["changes"]["timeout"] == [700_000, 0]
    assert main(["config", "diff", old, new]) == 1 and "attempts: 2 -> 3" in capsys.readouterr().out


def test_worst_case_of_a_learned_time_out_uses_its_ceiling():
    explanation = explain.explain(
        [Route(cls="lookup", attempt_timeout="p99*2", attempt_timeout_most_ms=500.0, attempts=2)],
        SITE,
        "lookup",
        "huye-cycle",
        "std-8",
        0.0,
    )
    assert [moment.at_ms for moment in explanation.timeline] == [0, 500, 500, 1000, 1000]


# ---- the daemon


def test_sighup_applies_a_valid_file_under_traffic_and_ignores_an_invalid_one(files, tmp_path):
    server = EngineServer(
        on_command=lambda engine, word, id, *rest: (
            engine.respond(id, b"200", b"chunks=1", b"a\tb\tc\n") if word == b"want" else None
        )
    )
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listen = listener.getsockname()[1]
    site_ = json.loads((tmp_path / "site.json").read_text())
    site_ |= {"listen": f"127.0.0.1:{listen}"}
    site_["known"]["notices"][0]["pool"]["endpoints"][0] |= {
        "address": f"127.0.0.1:{server.port.getHost().port}",
        "type": "std-8",
    }
    (tmp_path / "site.json").write_text(json.dumps(site_))
    path = files(ROUTE)
    daemon = subprocess.Popen(
        [sys.executable, "-m", "rackhub", "serve", "--config", str(tmp_path / "site.json"), "--operator", path],
        stderr=subprocess.PIPE,
        text=True,
        env=dict(os.environ),
    )

    def until(what):
        for line in daemon.stderr:
            if what in line:
                return line
        raise AssertionError(f"the daemon ended without logging {what!r}")

    from harness import JsonClient

    try:
        until("serves on")
        client, asked = dial(listen, JsonClient()), 0

        def ask(count):
            nonlocal asked
            for _ in range(count):
                asked += 1
                client.sendLine(
                    json.dumps(
                        {
                            "jsonrpc": "2.0",
                            "id": asked,
                            "method": "lookup",
                            "params": {"rid": f"{asked:016x}", "budget": 60_000, "acct": "acme", "body": "eA=="},
                        }
                    ).encode()
                )

        ask(8)
        files("[[timings.route]]\nattempts = 4\n")
        daemon.send_signal(signal.SIGHUP)
        ask(8)
        assert "timings.route[0].attempts = 4: the site allows 3" in until("bad timings")
        files(ROUTE.replace("700", "800"))
        daemon.send_signal(signal.SIGHUP)
        ask(8)
        assert "as generation 2" in until("applied 1 routes")
        # The platform's new settings forbid the routes: the fault names the keys of both files.
        files(ROUTE + "priority = 1\n")
        site_["settings"]["Permissions"]["MaxAttempts"] = 1
        (tmp_path / "site.json").write_text(json.dumps(site_))
        daemon.send_signal(signal.SIGHUP)
        line = until("bad timings")
        assert "timings.route[0].attempts = 2: the site allows 1 (settings.Permissions.MaxAttempts)" in line
        wanted, refused = asked, 0
        for _ in range(100):  # an overloaded event loop rejects requests, which are then sent again
            spin(lambda: len(client.lines) == asked)
            answers = [json.loads(line) for line in client.lines]
            assert sorted(answer["id"] for answer in answers) == list(range(1, asked + 1))
            assert all("result" in answer or answer["error"]["code"] == -32008 for answer in answers)
            refused = sum("error" in answer for answer in answers)
            if asked - refused == wanted:
                break
            ask(wanted + refused - asked)
        assert asked - refused == wanted
        daemon.send_signal(signal.SIGTERM)
        counters = until("counters:")
        assert "timings_reloads=3 timings_reloads_bad=2" in counters
        behind = re.search(r"over_behind=(\d+)", counters)
        assert refused == (int(behind[1]) if behind else 0)  # the event loop was behind
        assert "generation2=0" in until("open under timings")
        assert daemon.wait(30) == 0
    finally:
        daemon.kill()
        daemon.wait(30)
        daemon.stderr.close()
        server.port.stopListening()
