"""What all gateways together send to engines that have just started stays under what pushes those over.

Real decision modules that share nothing, as `rackhub.trials.virtual.cold` plays them: uneven traffic, starts told at
different times, engines alone and in a batch, attempts that fail and go elsewhere. Over N + 2 sqrt N + 2 requests of
mean work in any window is over.
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
def test_what_all_gateways_send_to_a_starting_engine_stays_in_its_budget(site, gateways, trials):
    row = cold.measure(site, gateways, trials)
    assert row.over == 0
    assert row.mean < 0 < 0.1 < row.used  # the usual start has not even its N in its worst window; nor is it idle


def undivided(patch):
    """Each gateway takes the whole budget for its own."""
    plain = RouterContext.set_allocation

    def alone(self, event):
        plain(self, event)
        self.slow_start_gateway_count = 1

    patch.setattr(RouterContext, "set_allocation", alone)


def kept_long(patch):
    """Credit of many windows is kept, and goes out in one."""
    patch.setattr(slow_start, "MAX_CREDIT_WINDOWS", 5)


def unasked(patch):
    """A further attempt goes to a cold engine like to any other."""
    plain = slow_start.SlowStart.draw

    def drawn(self, query, cold):
        return self.context.random.choice(cold) if query.attempts and cold else plain(self, query, cold)

    patch.setattr(slow_start.SlowStart, "draw", drawn)


@pytest.mark.parametrize("plant, fails", [(undivided, 0.04), (unasked, 0.5)])
def test_a_planted_mistake_is_seen(plant, fails, monkeypatch):
    def over():
        return any(start.over for start in cold.starts("kigali", 5, 2, fails=fails))

    assert not over()
    plant(monkeypatch)
    assert over()


def flooded(gateways):
    """Lookups of one moment at every gateway, 11 s of quiet after an engine's start; what it gets, and N."""
    work, cores, sent = 150_000, 8.0, 0
    told = t.Settings(
        classes=cold.CLASSES,
        kind_cores={"std": cores},
        gateways=gateways,
        slow_start_initial_capacity=0.32,
        slow_start_duration=13 * S,
        slow_start_budget_window=3 * S,
        slow_start_budget_multiple=2.0,
    )
    for me in range(gateways):
        control = Router(replace(told, instance_index=me), me)
        for _ in range(60):
            control.context.classes["lookup"].record_latency(work, 1.0)
        for at, came_up in ((90 * S, 0), (100 * S + me % 15 * 100_000, 100 * S)):
            control.handle(
                at,
                t.EndpointList(
                    "Complete",
                    (t.EngineEntry("warm", kind="std"), t.EngineEntry("cold", kind="std", started_at=came_up)),
                ),
            )
        for turn in range(max(2_000 // gateways, 30)):
            for send in control.handle(111 * S, t.QueryReceived(f"q{turn}", "lookup", 120 * S)):
                if isinstance(send, t.Send):
                    sent += send.engine == "cold"
                    control.handle(
                        111 * S,
                        t.AttemptCompleted(send.query, 0, "GOOD", settled=True, engine=send.engine, elapsed=work),
                    )
    return sent * work, 2.0 * (0.32 + 0.68 * 11 / 13) * cores * 3 * S


@pytest.mark.parametrize("gateways", [3, 5, 20, 30, 200])
def test_a_quiet_start_and_then_a_flood_stays_in_the_budget(gateways, monkeypatch):
    sent, budget = flooded(gateways)
    mean_work = 150_000  # all are lookups here
    most = budget + 2 * sqrt(budget * mean_work) + 2 * mean_work
    assert 0.3 * budget < sent < budget
    kept_long(monkeypatch)
    assert flooded(gateways)[0] > most
