"""Bounds on one coordinator in a large fleet: by counts of function calls, and in virtual time."""

import sys

import pytest

from rackhub import interface as t
from rackhub.net.poll_schedule import PollSchedule
from rackhub.policy.endpoints import EndpointTracker
from rackhub.policy.outliers import OutlierDetector
from rackhub.policy.router import Router
from rackhub.policy.slow_start import SlowStart
from rackhub.trials.virtual.cost import SIZES, CoordinatorTestBed
from rackhub.trials.virtual.rig import Scene, World

S, MS = 1_000_000, 1_000


def calls_per_request(test_bed, requests):
    """Return the function calls per request; they are counted, as times differ between runs."""
    count = 0

    def count_call(frame, event, arg):
        nonlocal count
        count += event in ("call", "c_call")

    for number in range(1, 201):
        test_bed.submit_request(number)
    sys.setprofile(count_call)
    try:
        for number in range(201, 201 + requests):
            test_bed.submit_request(number)
    finally:
        sys.setprofile(None)
    return count / requests


def test_calls_per_request_grow_little_with_the_engines():
    """It made six calls per engine, most to recompute its weight: two thirds of all calls with 60 engines."""
    small, _, large = (calls_per_request(CoordinatorTestBed(engines), 200) for engines in SIZES)
    assert (large - small) / (SIZES[2] - SIZES[0]) < 3


def test_the_measured_requests_are_served():
    test_bed = CoordinatorTestBed(60)
    for number in range(1, 301):
        test_bed.submit_request(number)
    assert test_bed.core.counters["served"] > 250 and not test_bed.core.counters["module_errors"]


def test_the_weight_is_recomputed_after_an_engine_restart():
    """The weight of the previous process must not be used, however recently it was computed."""
    settings = t.Settings(
        classes=(t.ClassSettings("lookup", deadline=3 * S, idempotency="retryable"),),
        kind_cores={"std": 8},
        slow_start_duration=13 * S,
        slow_start_initial_capacity=0.3,
        slow_start_budget_window=3 * S,
        slow_start_budget_multiple=2,
    )
    control = Router(settings, 1)
    control.handle(
        100 * S, t.EndpointList("Complete", (t.EngineEntry("a", kind="std"), t.EngineEntry("b", kind="std")))
    )
    control.handle(100 * S, t.QueryReceived("q", "lookup", 103 * S))
    before = control.context.engines["a"].weight
    control.handle(100 * S + MS, t.EndpointList("Partial", (t.EngineEntry("a", kind="std", started_at=100 * S),)))
    assert control.selector.weight(control.context.engines["a"]) < 0.5 * before


# ---- forty coordinators on one clock: a zone fails and comes back in slow start, the resolver is unresponsive for 3 s

# Bounds on the fleet; `GUARDS` has the code that keeps most of them.
BOUNDS = {
    "endpoint list polls in a second": lambda report: max(report.list_calls) <= 240,
    # the fleet has 40 x 10 pairs of a coordinator and a dead engine
    "connections that dead engines refuse": lambda report: sum(report.dials_refused) <= 450,
    "connections to one engine": lambda report: report.most_connections <= 60,
    "retries after the zone failed": lambda report: sum(report.further) <= 470,
    # fraction of the work that overloads the engine
    "work sent to an engine in slow start": lambda report: report.cold_work <= 0.8,
    "new work to engines that are reported gone": lambda report: not report.after_told,
    "one answer for each request": lambda report: not report.answered_twice and not report.unanswered,
}


def violated_bounds(**scene):
    report = World(Scene(**scene)).run()
    return {name for name, is_kept in BOUNDS.items() if not is_kept(report)}


def test_a_fleet_keeps_its_bounds_and_is_deterministic():
    first, second = (World(Scene()).run() for _ in range(2))
    assert first == second and first.served > 0.9 * first.requests
    assert {name for name, is_kept in BOUNDS.items() if not is_kept(first)} == set()


GUARDS = {
    "endpoint list polls in a second": lambda patch: patch.setattr(PollSchedule, "poll_sent", lambda asking: 60 * MS),
    "connections that dead engines refuse": lambda patch: patch.setattr(
        OutlierDetector, "record_failure", lambda outliers, engine, confirmed_down=False: None
    ),
    "retries after the zone failed": lambda patch: patch.setattr(
        OutlierDetector, "record_failure", lambda outliers, engine, confirmed_down=False: None
    ),
    "work sent to an engine in slow start": lambda patch: patch.setattr(
        SlowStart, "draw", lambda slow_start, query, warming: slow_start.context.random.choice(warming)
    ),
    "new work to engines that are reported gone": lambda patch: patch.setattr(
        EndpointTracker, "on_endpoint_list", without_removals(EndpointTracker.on_endpoint_list)
    ),
}


def without_removals(on_list):
    """Treat each endpoint list as one that only adds engines."""

    def call(control, event):
        on_list(control, t.EndpointList("Partial", event.entries, event.revision))

    return call


@pytest.mark.parametrize("name", GUARDS)
def test_each_bound_is_violated_without_its_guard(name, monkeypatch):
    GUARDS[name](monkeypatch)
    assert name in violated_bounds()
