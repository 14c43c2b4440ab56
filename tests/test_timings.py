"""Timings by route: the table of bad files, the modules that decide, the core under them, reloads, both fronts."""

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
from bad_timings import BAD, COPIES, GOOD, SITE, part
from harness import CLASSES, LIMITS, EngineServer, FakeClock, RespEngine, TdsEngine, dial, spin
from harness import CoordinatorTestBed as Loopback
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
from rackhub.timings.budget import SERVED, SHED, SPENT, Window
from rackhub.timings.check import check
from rackhub.timings.latency_quantiles import FALL, LEAST, SPAN, Quantiles
from rackhub.timings.route_policy import RoutePolicy
from rackhub.timings.routes import Backoff, Learned, Route, SecondCopy, read_routes
from rackhub.timings.simulation import Rig, Scene
from rackhub.timings.table import Table

S, MS = 1_000_000, 1_000
TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
DOCS = Path(__file__).parent.parent / "docs" / "operators"


def faults(text, settings):
    routes, wrong = read_routes(part(text))
    return wrong + check(routes, settings).faults


# ---- the file


@pytest.mark.parametrize("text, keys, settings", [row[1:] for row in BAD], ids=[row[0] for row in BAD])
def test_a_bad_file_is_refused_by_exactly_its_keys(text, keys, settings):
    found = faults(text, settings)
    assert sorted(fault.key for fault in found) == sorted(keys)
    assert all(fault.reason and "\n" not in str(fault) for fault in found)


def test_the_table_of_bad_files_is_long_and_stands_in_the_docs():
    assert len(BAD) >= 60
    page = (DOCS / "timings.md").read_text()
    assert [what for what, *_ in BAD if f"| {what} |" not in page] == []


def test_a_good_file_is_taken_and_a_route_without_a_kind_is_met_beside_one_with():
    assert faults(GOOD, SITE) == []
    assert faults('[[timings.route]]\nengine_kind = "std-8"\npriority = 2\n[[timings.route]]\nattempts = 2', SITE) == []
    table = timings_table(part(GOOD), SITE)
    terms = table.find("lookup", "nyarugenge-bikes", 0)
    assert (terms.route, terms.attempts, terms.over) == (2, 2, 5 * S)
    assert terms.on("std-16").learned == Learned(99.0, 1.5) and terms.on("std-16").priority == 2
    assert terms.on("std-8").fixed is not None and terms.on("std-8").priority is None
    first = table.find("lookup", "huye-cycle", 499_999)
    assert (first.route, first.on("std-16").timeout) == (0, 700 * MS)
    assert table.find("lookup", "huye-cycle", 500_000).route == 2
    assert table.find("report", "huye-cycle", 0).route is None and table.find("dance", "x", 0).attempts == 3


def test_what_is_legal_and_unwise_is_told_apart_from_faults():
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
        checked = check(read_routes(part(f"[[timings.route]]\n{text}"))[0], SITE)
        assert not checked.faults and any(why in warning.reason for warning in checked.warnings), text
    site = msgspec.convert(msgspec.to_builtins(COPIES) | {"cancel": False, "priorities": False}, t.Settings)
    text = '[[timings.route]]\nclass = "lookup"\npriority = 2\nsecond_copy = { after_ms = 300, most_share = 0.5 }'
    keys = [warning.key for warning in check(read_routes(part(text))[0], site).warnings]
    assert [key.rpartition("]")[2] for key in keys] == [".priority", ".second_copy", ".second_copy.most_share"]


def test_a_fault_names_the_key_of_the_other_file_too():
    found = faults('[[timings.route]]\nclass = "lookup"\nsecond_copy = { after_ms = 250 }', SITE)
    assert "settings.Permissions.SecondCopies" in str(found[0])
    with pytest.raises(ConfigError) as refused:
        timings_table({"route": [{"attempts": 4}], "x": 1}, SITE)
    assert (
        str(refused.value) == "operator file: timings.x = 1: is not known here; there is route; "
        "timings.route[0].attempts = 4: the site allows 3 (settings.Permissions.MaxAttempts)"
    )


def test_the_schema_in_the_docs_is_that_of_the_types(capsys):
    assert main(["config", "schema"]) == 0
    assert capsys.readouterr().out == (DOCS / "operator.schema.json").read_text()


# ---- budgets


def test_a_budget_is_a_share_of_what_came_lately_and_older_requests_pay_for_nothing():
    window = Window(10 * S)
    for i in range(1_000):
        window.count(SERVED, i * 10 * MS)
    spent = 0
    while window.may(10 * S, 0.1, 3):
        window.count(SPENT, 10 * S)
        spent += 1
    assert 95 <= spent <= 101 and 0 < window.room_in(10 * S) <= 10 * S
    assert not window.may(12 * S, 0.1, 3)  # calm before does not help: what was spent counts, what came fades
    assert window.may(21 * S, 0.1, 3) and window.sums == [0, 0, 0]
    for _ in range(3):
        window.count(SPENT, 21 * S)
    assert not window.may(21 * S, 0.1, 3)  # the floor, and no more


def test_a_clock_that_jumps_loses_the_window_and_breaks_nothing():
    window = Window(10 * S)
    window.count(SERVED, 100 * S)
    window.count(SPENT, 100 * S)
    window.count(SERVED, 50 * S)  # back: counted in the newest step
    assert window.sums == [2, 1, 0]
    window.count(SERVED, 10_000 * S)
    assert window.sums == [1, 0, 0]


def test_requests_that_are_turned_away_take_the_room_for_repeats():
    window = Window(10 * S)
    for i in range(1_000):
        window.count(SHED if i % 2 else SERVED, i * MS)
    assert [window.may(S, 0.1, floor) for floor in (0, 1)] == [False, True]
    for i in range(1_000):
        window.count(SERVED, S + i * MS)
    assert window.may(2 * S, 0.1, 0)


def test_a_request_that_is_turned_away_is_counted_so_and_one_that_was_sent_is_not():
    here = Core(Route(cls="lookup", retry_share=0.5, retry_floor=0))
    here.ask()
    here.end(here.port.sent[0], "GOOD")
    (window,) = here.policy._retries.values()
    assert window.sums == [1, 0, 0]
    here.core.update_endpoints([], 2)
    here.ask()
    assert here.port.answers[-1][1] == "refused" and window.sums == [1, 0, 1]


@pytest.mark.parametrize("share, floor", [(0.1, 3), (0.5, 0), (0.0, 5)])
def test_in_any_window_no_more_is_spent_than_its_share(share, floor):
    chance, window, events, now = random.Random(floor), Window(10 * S), [], 0
    for _ in range(5_000):
        now += int(chance.expovariate(1 / 20_000))
        window.count(SERVED, now)
        events.append((now, 0))
        if chance.random() < 0.6 and window.may(now, share, floor):
            window.count(SPENT, now)
            events.append((now, 1))
    for at in range(10 * S, now, 3 * S):
        lately = [spent for when, spent in events if at - 10 * S < when <= at]
        spent = sum(lately)
        # steps are a twentieth of the window: so much, and one, is the most that it can be off by
        assert spent <= max(floor, share * (len(lately) - spent) * 1.12) + 1


# ---- learned time-outs


P99 = Learned(99.0, 1.5)


def feed(quantiles, chance, now, count, mean_ms=100.0, engine=None, span=SPAN):
    for i in range(count):
        name = engine or f"e{i % 8}"
        took = int(mean_ms * MS * math.exp(chance.gauss(0, 0.3)))
        quantiles.saw("lookup", "std", name, took, now + i * span // count)
    return now + span


def limit(quantiles, now, least=0.0, most=0.0):
    return quantiles.limit("lookup", "std", P99, least, most, now)


def test_nothing_is_learned_from_the_first_samples():
    quantiles, chance = Quantiles(), random.Random(1)
    feed(quantiles, chance, 0, LEAST - 1, span=S)
    assert limit(quantiles, S) is None and limit(quantiles, S, most=900.0) == 900.0
    feed(quantiles, chance, S, 200, span=S)
    found = limit(quantiles, 2 * S)
    assert 200 < found < 450  # p99 of these is some 200 ms
    assert limit(quantiles, 2 * S, least=800.0) == 800.0 and limit(quantiles, 2 * S, most=150.0) == 150.0


def test_one_slow_engine_does_not_raise_the_limit_that_is_to_cut_it():
    quantiles, chance, now = Quantiles(), random.Random(2), 0
    for _ in range(4):
        now = feed(quantiles, chance, now, 400)
    before = limit(quantiles, now)
    for _ in range(4):
        for i in range(400):
            took = int((100.0 if i % 8 else 600.0) * MS * math.exp(chance.gauss(0, 0.3)))
            quantiles.saw("lookup", "std", f"e{i % 8}", took, now + i * SPAN // 400)
        now += SPAN
    assert limit(quantiles, now) < 1.3 * before


def test_all_engines_slow_raise_it_at_once():
    quantiles, chance, now = Quantiles(), random.Random(3), 0
    for _ in range(3):
        now = feed(quantiles, chance, now, 400)
    before = limit(quantiles, now)
    now = feed(quantiles, chance, now, 400, mean_ms=300.0)
    assert limit(quantiles, now) > 2 * before


def test_its_own_cuts_do_not_drive_it_down():
    """Closed loop: what would take longer than the limit is cut there. Without counting cuts it falls to nothing."""
    quantiles, chance, now, cuts, total = Quantiles(), random.Random(4), 0, 0, 0
    now = feed(quantiles, chance, now, 400)
    for step in range(60):
        for i in range(200):
            at = now + i * SPAN // 200
            would, most = 100 * MS * math.exp(chance.gauss(0, 0.5)), (limit(quantiles, at) or 1e9) * MS
            cut = would > most
            quantiles.saw("lookup", "std", f"e{i % 8}", int(min(would, most)), at, cut)
            if step >= 30:
                cuts, total = cuts + cut, total + 1
        now += SPAN
    assert cuts / total < 0.02 and 200 < limit(quantiles, now) < 1_000


def test_it_falls_slowly_and_forgets_what_is_old():
    quantiles, chance, now = Quantiles(), random.Random(5), 0
    for _ in range(3):
        now = feed(quantiles, chance, now, 400, mean_ms=1_000.0)
    high = limit(quantiles, now)
    fell = []
    for _ in range(12):
        now = feed(quantiles, chance, now, 400)
        fell.append(limit(quantiles, now))
    assert fell[0] >= FALL * high * 0.999 and fell[-1] < 0.3 * high
    assert limit(quantiles, now + 100 * SPAN, most=5_000.0) == 5_000.0  # after a long idle nothing is known


# ---- the core under them


class Port:
    """Engines and client: what was sent, given up, answered."""

    reading_paused = may_have_unread_input = False

    def __init__(self):
        self.sent, self.given_up, self.answers = [], [], []

    def send(self, attempt):
        self.sent.append(attempt)

    def give_up(self, attempt):
        self.given_up.append(attempt)

    def promote(self, attempt): ...
    def close_idle(self, engine): ...

    def served(self, query, rows):
        self.answers.append((query.id, "served"))

    def rejected(self, query, backoff):
        self.answers.append((query.id, "refused"))

    def failed(self, query, why):
        self.answers.append((query.id, "failed"))


def site(second_copies=True, engines=4):
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
        hedging=second_copies,
    )


class Core:
    """A coordinator under routes, with a clock that the test moves."""

    def __init__(self, *routes, second_copies=True, module=None, engines=4):
        self.clock, self.counters, self.port, self.made = FakeClock(), Counters(), Port(), 0
        self.settings = site(second_copies)
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

    def ask(self, cls="lookup", budget=3 * S, token=""):
        self.made += 1
        query = Query(
            f"{self.made:016x}", cls, b"x", self.clock.now() + budget, self.port, tenant="acme", idempotency_key=token
        )
        self.core.submit(query)
        return query

    def end(self, attempt, reason):
        self.core.complete_attempt(attempt, reason, {"busy_reqs": 1.0}, (b"a\tb\tc\n",) if reason == "GOOD" else ())


def test_an_attempt_is_timed_out_by_its_route_and_the_next_goes_elsewhere():
    here = Core(Route(cls="lookup", attempt_timeout_ms=400.0))
    here.ask()
    here.clock.advance(390 * MS)
    assert len(here.port.sent) == 1
    here.clock.advance(60 * MS)
    assert here.port.given_up == here.port.sent[:1] and len(here.port.sent) == 2
    assert here.port.sent[1].engine != here.port.sent[0].engine
    here.end(here.port.sent[1], "GOOD")
    assert here.port.answers == [(f"{1:016x}", "served")] and here.policy.open_requests == {1: 0}


def test_a_time_out_as_the_answer_is_being_read_gives_one_answer():
    here = Core(Route(cls="lookup", attempt_timeout_ms=400.0))
    here.ask()
    while not here.port.given_up:
        here.clock.advance(MS)
    assert here.port.given_up == here.port.sent
    here.end(here.port.sent[0], "GOOD")  # in the same turn: it is given up already, and counts for nothing
    here.clock.advance(50 * MS)
    here.end(here.port.sent[1], "GOOD")
    assert here.port.answers == [(f"{1:016x}", "served")]


def test_attempts_of_a_route_are_not_exceeded_and_the_answer_comes_at_once():
    here = Core(Route(cls="lookup", attempts=1))
    here.ask()
    here.end(here.port.sent[0], "BAD")
    assert len(here.port.sent) == 1 and here.port.answers == [(f"{1:016x}", "refused")]


def test_what_a_route_does_not_try_again_is_answered_at_once():
    here = Core(Route(cls="lookup", retry_on=["full", "noconn"]))
    here.ask(), here.ask()
    here.end(here.port.sent[0], "RST")
    here.end(here.port.sent[1], "NOCONN")
    assert here.port.answers == [(f"{1:016x}", "refused")] and len(here.port.sent) == 3
    assert here.counters["retries_not_on"] == 1


def test_a_further_attempt_waits_for_its_back_off_and_goes_where_the_list_then_says():
    here = Core(Route(cls="lookup", backoff_ms=Backoff(100.0, 2.0, 400.0, "none")))
    here.ask()
    here.end(here.port.sent[0], "BAD")
    here.clock.advance(90 * MS)
    assert len(here.port.sent) == 1
    left = here.port.sent[0].engine
    stays = next(entry for entry in here.entries if entry.engine != left)
    drained = [
        entry if entry is stays else t.EngineEntry(entry.engine, "z", "std", state="Terminating")
        for entry in here.entries
    ]
    here.core.update_endpoints(drained, 2)  # all but one drain while it waits
    here.clock.advance(20 * MS)
    assert [attempt.engine for attempt in here.port.sent[1:]] == [stays.engine]


def test_a_client_that_leaves_during_a_back_off_gets_no_further_attempt():
    here = Core(Route(cls="lookup", backoff_ms=Backoff(100.0, jitter="none")))
    query = here.ask()
    here.end(here.port.sent[0], "BAD")
    here.core.disconnect_client(query)
    here.clock.advance(S)
    assert len(here.port.sent) == 1 and here.port.answers == [] and here.policy.open_requests == {1: 0}


def test_a_deadline_during_a_back_off_is_kept():
    here = Core(Route(cls="lookup", backoff_ms=Backoff(2_000.0, jitter="none"), attempts=2))
    here.ask(budget=S)
    here.end(here.port.sent[0], "BAD")
    here.clock.advance(S)
    assert len(here.port.answers) == 1 and len(here.port.sent) == 1


def test_a_budget_that_is_spent_means_the_final_answer_at_once():
    here = Core(Route(cls="lookup", retry_share=0.1, retry_floor=2))
    for _ in range(10):
        here.ask()
    for attempt in here.port.sent[:10]:
        here.end(attempt, "BAD")
    assert len(here.port.sent) == 12 and len(here.port.answers) == 8
    assert here.counters["retries_over_budget"] == 8


def test_waiting_retries_pay_when_they_go_so_a_burst_can_not_pass_together():
    here = Core(Route(cls="lookup", retry_share=0.1, retry_floor=2, backoff_ms=Backoff(50.0, jitter="none")))
    for _ in range(10):
        here.ask()
    for attempt in here.port.sent[:10]:
        here.end(attempt, "BAD")
    here.clock.advance(60 * MS)
    assert len(here.port.sent) == 12 and len(here.port.answers) == 8


COPY = Route(cls="lookup", second_copy=SecondCopy(after_ms=250.0, most_share=0.5))


def copied(*routes, **more):
    """A core with a request that is out twice."""
    here = Core(*(routes or (COPY,)), **more)
    query = here.ask()
    here.clock.advance(250 * MS)
    assert len(here.port.sent) == 2 and len(query.in_flight) == 2 and here.counters["copies"] == 1
    assert here.port.sent[0].engine != here.port.sent[1].engine
    return here, query, *here.port.sent


@pytest.mark.parametrize("winner", [0, 1])
def test_the_first_good_answer_wins_and_the_other_copy_is_given_up(winner):
    here, query, *both = copied()
    here.end(both[winner], "GOOD")
    assert here.port.answers == [(query.id, "served")] and here.port.given_up == [both[1 - winner]]
    here.end(both[1 - winner], "GOOD")  # late, or in the same turn
    here.clock.advance(5 * S)
    assert here.port.answers == [(query.id, "served")] and not here.core.in_flight and not here.core.queries


def test_both_copies_good_in_one_turn_are_one_answer():
    here, query, first, second = copied()
    here.end(first, "GOOD")
    here.end(second, "GOOD")
    assert here.port.answers == [(query.id, "served")] and here.counters["served"] == 1


def test_a_copy_that_is_cut_short_leaves_the_other():
    here, query, first, second = copied()
    here.end(second, "RST")
    assert here.port.answers == [] and list(query.in_flight.values()) == [first] and len(here.port.sent) == 2
    here.end(first, "GOOD")
    assert here.port.answers == [(query.id, "served")]


def test_when_both_copies_fail_the_last_attempt_is_made_and_no_more():
    here, query, first, second = copied()
    here.end(first, "BAD")
    here.end(second, "RST")
    assert len(here.port.sent) == 3
    here.end(here.port.sent[2], "RST")
    here.clock.advance(5 * S)
    assert len(here.port.sent) == 3 and here.port.answers == [(query.id, "refused")]


def test_a_request_is_copied_once_and_not_where_one_copy_is_all_it_may_have():
    here, query, first, second = copied()
    here.clock.advance(S)
    assert len(here.port.sent) == 2
    two = Core(msgspec.structs.replace(COPY, attempts=2))
    query = two.ask()
    two.clock.advance(300 * MS)
    two.end(two.port.sent[0], "BAD"), two.end(two.port.sent[1], "BAD")
    assert len(two.port.sent) == 2 and two.port.answers == [(query.id, "refused")]


def test_copies_are_rationed_by_their_share():
    here = Core(Route(cls="lookup", second_copy=SecondCopy(after_ms=250.0, most_share=0.05)))
    for _ in range(40):
        here.ask()
    for attempt in here.port.sent[:40]:
        here.end(attempt, "GOOD")
    for _ in range(20):
        here.ask()
    here.clock.advance(300 * MS)
    assert here.counters["copies"] == 2 and here.counters["copies_over_share"] == 18


def test_no_copy_follows_a_full_answer_a_drain_or_pressure():
    here = Core(COPY)
    here.ask()
    here.end(here.port.sent[0], "FULL")
    here.clock.advance(300 * MS)
    assert len(here.port.sent) == 2 and here.counters["copies"] == 0
    here = Core(COPY)
    here.ask()
    here.core.update_endpoints(
        [
            t.EngineEntry(
                entry.engine, "z", "std", state="Terminating" if entry.engine == here.port.sent[0].engine else "Ready"
            )
            for entry in here.entries
        ],
        2,
    )
    here.clock.advance(300 * MS)
    assert here.counters["copies"] == 0
    here = Core(COPY)
    for _ in range(20):
        here.ask()
    for attempt in here.port.sent[:10]:
        here.core.complete_attempt(attempt, "GOOD", {"busy_reqs": 400.0}, (b"",))  # engines told full of work
    here.clock.advance(300 * MS)
    assert here.counters["copies"] == 0


def test_a_keyed_request_is_copied_only_within_its_window_and_no_copy_goes_where_the_site_forbids_it():
    route = Route(cls="depot-load", second_copy=SecondCopy(after_ms=3_000.0), repeat_within_ms=2_000.0)
    here = Core(route)
    here.ask("depot-load", 20 * S, TOKEN)
    here.clock.advance(4 * S)
    assert len(here.port.sent) == 1
    here = Core(msgspec.structs.replace(route, repeat_within_ms=None))
    here.ask("depot-load", 20 * S, TOKEN)
    here.clock.advance(4 * S)
    assert len(here.port.sent) == 2
    module = ScriptedPolicy()
    here = Core(second_copies=False, module=module)
    module.acts = {t.QueryReceived: lambda event: [t.Send(event.query, "e0"), t.Send(event.query, "e1")]}
    here.ask()
    assert len(here.port.sent) == 1  # whatever the module says


def test_a_priority_of_the_route_stands_against_the_modules():
    here = Core(Route(cls="lookup", priority=3))
    query = here.ask()
    assert query.priority == 3
    here.core.attempts.apply_hints(t.ExecutionHints(query.id, 0.0, 1))
    assert query.priority == 3


# ---- keyed windows


def test_a_repeat_whose_window_ends_while_it_waits_is_not_sent():
    """Waiting for its back-off: refused, as every engine drops its repeats and so a new try is harmless."""
    here = Core(Route(cls="depot-load", repeat_within_ms=1_000.0, backoff_ms=Backoff(800.0, jitter="none"), attempts=2))
    query = here.ask("depot-load", 20 * S, TOKEN)
    here.clock.advance(300 * MS)
    here.end(here.port.sent[0], "RST")
    here.clock.advance(790 * MS)
    assert here.port.answers == []
    here.clock.advance(20 * MS)
    assert len(here.port.sent) == 1 and here.port.answers == [(query.id, "refused")]


@pytest.mark.parametrize("tds", [False, True])
def test_a_repeat_whose_window_ends_while_its_connection_is_made_is_not_sent(tds):
    stands = [EngineServer(TdsEngine if tds else RespEngine) for _ in range(2)]
    here = Loopback(*stands, tds_engines=tds)
    try:
        here.core.request_policy = RoutePolicy(
            Table([Route(cls="depot-load", repeat_within_ms=1_000.0)], here.core.settings),
            {"depot-load": 25 * S},
            3,
            here.counters.add,
        )
        query = Query(
            f"{1:016x}", "depot-load", b"x", here.clock.now() + 20 * S, Port(), tenant="acme", idempotency_key=TOKEN
        )
        here.core.submit(query)
        spin(lambda: sum(len(stand.wants()) for stand in stands) == 1)
        (first,) = query.in_flight.values()
        here.core.complete_attempt(first, "RST")  # the second one begins to dial
        (second,) = query.in_flight.values()
        assert second.send_by == first.sent_at + S and second.engine != first.engine
        here.clock.time += 2 * S  # its window ends before it is through
        spin(lambda: query.closed)
        assert sum(len(stand.wants()) for stand in stands) == 1 and query.reply.answers == [(query.id, "refused")]
    finally:
        here.close()


# ---- reloads


def test_a_request_ends_under_the_terms_that_it_began_with():
    here = Core(Route(cls="lookup", attempts=3, backoff_ms=Backoff(100.0, jitter="none")))
    before = here.ask()
    here.end(here.port.sent[0], "BAD")
    here.policy.reload(here.table(Route(cls="lookup", attempts=1)))  # the route that it came by is gone
    after = here.ask()
    assert here.policy.open_requests == {1: 1, 2: 1} and here.policy.generation == 2
    here.end(here.port.sent[1], "BAD")
    assert here.port.answers == [(after.id, "refused")]
    here.clock.advance(110 * MS)
    assert len(here.port.sent) == 3 and here.port.sent[2].query is before
    here.end(here.port.sent[2], "GOOD")
    assert here.port.answers[-1] == (before.id, "served") and here.policy.open_requests == {2: 0}


def test_a_reload_while_a_second_copy_is_out():
    here, query, first, second = copied()
    here.policy.reload(here.table())
    here.end(second, "GOOD")
    assert (
        here.port.answers == [(query.id, "served")]
        and here.port.given_up == [first]
        and here.policy.open_requests == {2: 0}
    )


def test_budgets_outlive_a_reload():
    route = Route(cls="lookup", retry_share=0.1, retry_floor=1)
    here = Core(route)
    here.ask()
    here.end(here.port.sent[0], "BAD")
    here.policy.reload(here.table(route))
    here.ask()
    assert here.port.sent[2].query.terms.max_attempts == 1  # what was spent before counts
    here.end(here.port.sent[2], "BAD")
    assert len(here.port.sent) == 3 and here.port.answers[-1][1] == "refused"


@pytest.mark.parametrize("jump", [10 * S, -10 * S])
def test_a_clock_that_jumps_answers_everything_once(jump):
    here = Core(COPY, Route(cls="report", backoff_ms=Backoff(500.0), attempt_timeout_ms=3_000.0))
    queries = [here.ask("lookup" if i % 2 else "report", 3 * S) for i in range(10)]
    here.clock.advance(260 * MS)
    here.end(here.port.sent[0], "BAD")
    here.clock.time += max(jump, 0)
    here.clock.advance(15 * S)
    assert sorted(id for id, _ in here.port.answers) == sorted(query.id for query in queries)
    assert not here.core.in_flight and all(count <= 3 for count in (query.attempts for query in queries))


# ---- one request's life against the rules


class RequestModel(RuleBasedStateMachine):
    """Requests under random routes, ends, reloads, drains and steps of the clock, against what must hold."""

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

    @initialize(routes=ROUTES, copies=st.booleans())
    def begin(self, routes, copies):
        self.copies = copies
        self.here = Core(*self.allowed(routes), second_copies=copies)
        self.drained, self.told_at, self.asked = set(), {}, []
        self.seen, self.first = 0, {}
        self.terms = {}

    def allowed(self, routes):
        """The routes, without what the site forbids."""
        mended = []
        for route in routes:
            if not self.copies or route.attempts == 1:
                route = msgspec.structs.replace(route, second_copy=None)
            if not check([route], site(self.copies)).faults:
                mended.append(route)
        return mended

    @rule(cls=st.sampled_from(["lookup", "report", "depot-load"]), budget=st.sampled_from([400 * MS, 3 * S, 24 * S]))
    def ask(self, cls, budget):
        query = self.here.ask(cls, budget, TOKEN if cls == "depot-load" else "")
        self.asked.append(query)
        if query.terms is not None:
            self.terms[query.id] = query.terms.terms
        self.watch()

    @precondition(lambda self: self.here.core.in_flight)
    @rule(data=st.data(), reason=st.sampled_from(["GOOD", "GOOD", "BAD", "FULL", "NOCONN", "RST"]))
    def end(self, data, reason):
        out = sorted(self.here.core.in_flight.values(), key=lambda one: (one.query.id, one.number))
        self.here.end(data.draw(st.sampled_from(out)), reason)
        self.watch()

    @rule(step=st.sampled_from([1 * MS, 20 * MS, 130 * MS, 400 * MS, 2 * S, 10 * S]))
    def wait(self, step):
        for _ in range(10):
            self.here.clock.advance(step // 10)
            self.watch()

    @rule(routes=ROUTES)
    def reload(self, routes):
        self.here.policy.reload(self.here.table(*self.allowed(routes)))

    @rule(drained=st.sets(st.sampled_from(["e0", "e1", "e2", "e3"]), max_size=3))
    def drain(self, drained):
        self.drained = drained
        self.here.core.update_endpoints(
            [
                t.EngineEntry(entry.engine, "z", "std", state="Terminating" if entry.engine in drained else "Ready")
                for entry in self.here.entries
            ],
            self.seen + 2,
        )

    @precondition(lambda self: self.here.core.queries)
    @rule(data=st.data())
    def leave(self, data):
        self.here.core.disconnect_client(
            data.draw(st.sampled_from(sorted(self.here.core.queries.values(), key=lambda q: q.id)))
        )

    def watch(self):
        """What has gone out since, one by one."""
        sent = self.here.port.sent
        for attempt in sent[self.seen :]:
            query = attempt.query
            assert attempt.engine not in self.drained
            assert attempt.number < min(self.here.settings.max_attempts, query.terms.terms.attempts)
            if query.idempotency_key:
                first = self.first.setdefault(query.id, attempt.sent_at)
                within = query.terms.terms.repeat_within or 25 * S
                assert attempt.sent_at - first < within
        self.seen = len(sent)

    @invariant()
    def holds(self):
        if not hasattr(self, "here"):
            return
        answered = [id for id, _ in self.here.port.answers]
        assert len(answered) == len(set(answered))
        now = self.here.clock.now()
        for query in self.asked:
            assert len(query.in_flight) <= (2 if self.copies else 1)
            assert query.closed or now <= query.deadline + LIMITS.deadline_grace + LIMITS.deadline_check_interval
            if query.terms is not None:
                assert query.terms.terms is self.terms[query.id]
        live = sum(not query.closed for query in self.asked)
        assert sum(self.here.policy.open_requests.values()) == live == len(self.here.core.queries)

    def teardown(self):
        if hasattr(self, "here"):
            self.here.clock.advance(40 * S)
            assert not self.here.core.queries and not self.here.core.in_flight


LIVES = hypothesis_settings(max_examples=80, stateful_step_count=40, deadline=None, derandomize=True)
test_a_request_keeps_to_the_rules_whatever_happens = coverage_test(RequestModel, LIVES)


# ---- what they are for


SLOW = Scene(slow_turns=3.0, seconds=15, spread=0.3)


def test_copies_cut_the_tail_of_one_slow_engine_for_little_more_work():
    without, fixed = (
        Rig(SLOW, routes, 1).run() for routes in (None, [Route(cls="lookup", second_copy=SecondCopy(after_ms=200.0))])
    )
    assert fixed.p99_ms < 0.7 * without.p99_ms and fixed.engine_work_ms < 1.05 * without.engine_work_ms
    assert fixed.copies > 0 and fixed.doubled == without.doubled == fixed.unanswered == 0


def test_the_rig_is_the_same_every_time():
    assert (
        Rig(SLOW, [Route(cls="lookup", second_copy=SecondCopy(after="p95"))], 3).run()
        == Rig(SLOW, [Route(cls="lookup", second_copy=SecondCopy(after="p95"))], 3).run()
    )


# ---- both fronts


def test_both_fronts_get_the_same_terms():
    outcomes = []
    for tds in (False, True):
        here = Loopback(
            EngineServer(
                on_command=lambda engine, word, id, *rest: engine.respond(id, b"500") if word == b"want" else None
            )
        )
        try:
            here.core.request_policy = RoutePolicy(
                Table([Route(cls="lookup", attempts=1, priority=3)], here.core.settings), {}, 3, here.counters.add
            )
            if tds:
                client = here.tds_client()
                client.call("SELECT 1 FROM r_3.t")
                spin(lambda h=here: h.counters["refused"] == 1)
            else:
                client = here.json_client()
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
            (want,) = here.engines[0].wants()
            outcomes.append((here.counters["attempts"], here.counters["refused"], b"level=3" in want[2]))
        finally:
            here.close()
    assert outcomes == [(1, 1, True)] * 2


# ---- the command line


@pytest.fixture
def files(tmp_path, monkeypatch):
    """A platform's file and a function that writes operator's files."""
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


def test_config_check_tells_faults_and_warnings(files, capsys):
    assert main(["config", "check", files(ROUTE)]) == 0 and "1 routes, 0 faults, 0 warnings" in capsys.readouterr().out
    assert main(["config", "check", files("[[timings.route]]\nattempts = 4\npriority = 9\n"), "--json"]) == 1
    found = json.loads(capsys.readouterr().out)
    assert [fault["key"] for fault in found["faults"]] == ["timings.route[0].priority", "timings.route[0].attempts"]
    assert main(["config", "check", files("[[timings.route]]\nretry_share = 0.9\n")]) == 0
    assert "unwise: timings.route[0].retry_share = 0.9" in capsys.readouterr().out
    assert main(["config", "check", files("timings = 3")]) == 2 and "timings" in capsys.readouterr().err
    assert main(["config", "check", "/none"]) == 2 and main(["config", "check"]) == 2


def test_config_explain_says_which_route_and_the_worst_case(files, capsys):
    path = files(
        '[[timings.route]]\ntenant = "acme"\nclass = "depot-load"\nattempts = 1\n'
        + ROUTE
        + 'backoff_ms = { first = 100, jitter = "none" }\n'
    )
    assert main(["config", "explain", path, "--class", "lookup", "--json"]) == 0
    told_ = json.loads(capsys.readouterr().out)
    assert [one["fits"] for one in told_["asked"]] == [False, True] and "depot-load" in told_["asked"][0]["why"]
    terms = {term["name"]: (term["value"], term["source"]) for term in told_["terms"]}
    assert terms["attempts"] == (2, "timings.route[1]") and terms["attempt_timeout_ms"] == (700, "timings.route[1]")
    assert terms["priority"] == (None, "the decision module")
    assert [moment["at_ms"] for moment in told_["timeline"]] == [0, 700, 800, 1500, 1500]
    assert main(["config", "explain", path, "--class", "depot-load", "--kind", "std-8"]) == 0
    assert "25000" in capsys.readouterr().out
    assert main(["config", "explain", path, "--class", "dance"]) == 2 and "'dance'" in capsys.readouterr().err
    bad = files("[[timings.route]]\nattempts = 4", "bad.toml")
    assert main(["config", "explain", bad, "--class", "lookup"]) == 2 and "attempts = 4" in capsys.readouterr().err


def test_config_diff_says_what_changes_for_whom(files, capsys):
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


def test_the_worst_case_of_a_learned_time_out_goes_by_its_ceiling():
    told_ = explain.explain(
        [Route(cls="lookup", attempt_timeout="p99*2", attempt_timeout_most_ms=500.0, attempts=2)],
        SITE,
        "lookup",
        "huye-cycle",
        "std-8",
        0.0,
    )
    assert [moment.at_ms for moment in told_.timeline] == [0, 500, 500, 1000, 1000]


# ---- the daemon


def test_a_good_file_loads_by_sighup_under_traffic_and_a_bad_one_changes_nothing(files, tmp_path):
    stand = EngineServer(
        on_command=lambda engine, word, id, *rest: (
            engine.respond(id, b"200", b"chunks=1", b"a\tb\tc\n") if word == b"want" else None
        )
    )
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        listen = one.getsockname()[1]
    site_ = json.loads((tmp_path / "site.json").read_text())
    site_ |= {"listen": f"127.0.0.1:{listen}"}
    site_["known"]["notices"][0]["pool"]["endpoints"][0] |= {
        "address": f"127.0.0.1:{stand.port.getHost().port}",
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
        raise AssertionError(f"it never said {what!r}")

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
        assert "as generation 2" in until("1 routes hold")
        # what the platform's file now forbids is refused by the keys of both
        files(ROUTE + "priority = 1\n")
        site_["settings"]["Permissions"]["MaxAttempts"] = 1
        (tmp_path / "site.json").write_text(json.dumps(site_))
        daemon.send_signal(signal.SIGHUP)
        line = until("bad timings")
        assert "timings.route[0].attempts = 2: the site allows 1 (settings.Permissions.MaxAttempts)" in line
        wanted, refused = asked, 0
        for _ in range(100):  # a loop that is behind its time refuses, as it is to: then it is asked anew
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
        assert refused == (int(behind[1]) if behind else 0)  # no other refusal is borne
        assert "generation2=0" in until("open under timings")
        assert daemon.wait(30) == 0
    finally:
        daemon.kill()
        daemon.wait(30)
        daemon.stderr.close()
        stand.port.stopListening()
