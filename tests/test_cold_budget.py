"""Work that all gateways together send to an engine after its start, against the slow-start budget N.

Independent routers in `rackhub.trials.virtual.cold`: uneven traffic, starts reported at different times, engines alone
and in batches, failed attempts with retries. The limit in any window is N + 2 sqrt N + 2 requests of mean work.
"""

from dataclasses import replace
from math import sqrt

import pytest

from rackhub import interface as t
from rackhub.policy import slow_start
from rackhub.policy.context import RouterContext
from rackhub.policy.router import Router
from rackhub.trials.virtual import cold

S = 1_000_000
TRIALS = [
    ("kigali", 3, 4),
    ("kigali", 5, 4),
    ("kigali", 20, 2),
    ("kigali", 30, 1),
    ("kigali", 200, 1),
    ("banqiao", 3, 1),
    ("banqiao", 30, 1),
]


@pytest.mark.parametrize("site, gateways, trials", TRIALS)
def test_work_sent_to_a_starting_engine_stays_in_its_budget(site, gateways, trials):
    row = cold.measure(site, gateways, trials)
    assert row.over == 0
    assert row.mean < 0 < 0.1 < row.used  # On average the worst window stays below N, and the engine is not idle.


def undivided_budget(patch):
    """Injected bug: each gateway uses the whole budget."""
    original = RouterContext.set_allocation

    def set_undivided(self, event):
        original(self, event)
        self.slow_start_gateway_count = 1

    patch.setattr(RouterContext, "set_allocation", set_undivided)


def excessive_credit(patch):
    """Injected bug: credit accumulates over several windows and is spent in one."""
    patch.setattr(slow_start, "MAX_CREDIT_WINDOWS", 5)


def retries_ignore_budget(patch):
    """Injected bug: retries are sent to warming engines without regard to the budget."""
    original = slow_start.SlowStart.draw

    def draw_ignoring_budget(self, query, cold):
        return self.context.random.choice(cold) if query.attempts and cold else original(self, query, cold)

    patch.setattr(slow_start.SlowStart, "draw", draw_ignoring_budget)


@pytest.mark.parametrize("inject_bug, fails", [(undivided_budget, 0.04), (retries_ignore_budget, 0.5)])
def test_injected_bug_exceeds_the_budget(inject_bug, fails, monkeypatch):
    def over():
        return any(start.over for start in cold.starts("kigali", 5, 2, fails=fails))

    assert not over()
    inject_bug(monkeypatch)
    assert over()


def burst_work(gateways):
    """Send many lookups to all gateways at once, 11 s after an engine's start; return the work that it gets, and N."""
    work, cores, sent = 150_000, 8.0, 0
    settings = t.Settings(
        classes=cold.CLASSES,
        kind_cores={"std": cores},
        gateways=gateways,
        slow_start_initial_capacity=0.32,
        slow_start_duration=13 * S,
        slow_start_budget_window=3 * S,
        slow_start_budget_multiple=2.0,
    )
    for index in range(gateways):
        router = Router(replace(settings, instance_index=index), index)
        for _ in range(60):
            router.context.classes["lookup"].record_latency(work, 1.0)
        for at, engine_start in ((90 * S, 0), (100 * S + index % 15 * 100_000, 100 * S)):
            router.handle(
                at,
                t.EndpointList(
                    "Complete",
                    (t.EngineEntry("warm", kind="std"), t.EngineEntry("cold", kind="std", started_at=engine_start)),
                ),
            )
        for number in range(max(2_000 // gateways, 30)):
            for send in router.handle(111 * S, t.QueryReceived(f"q{number}", "lookup", 120 * S)):
                if isinstance(send, t.Send):
                    sent += send.engine == "cold"
                    router.handle(
                        111 * S,
                        t.AttemptCompleted(send.query, 0, "GOOD", settled=True, engine=send.engine, elapsed=work),
                    )
    return sent * work, 2.0 * (0.32 + 0.68 * 11 / 13) * cores * 3 * S


@pytest.mark.parametrize("gateways", [3, 5, 20, 30, 200])
def test_burst_after_an_idle_start_stays_in_the_budget(gateways, monkeypatch):
    sent, budget = burst_work(gateways)
    mean_work = 150_000  # microseconds; all queries are lookups
    maximum = budget + 2 * sqrt(budget * mean_work) + 2 * mean_work
    assert 0.3 * budget < sent < budget
    excessive_credit(monkeypatch)
    assert burst_work(gateways)[0] > maximum
