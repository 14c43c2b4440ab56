"""What a large fleet does to one coordinator, without the bench and without timing."""

import sys

from rackhub import interface as t
from rackhub.control import Control
from rackhub.fleet.cost import SIZES, Answers

S, MS = 1_000_000, 1_000


def calls_of(rig, requests):
    """Calls of functions that a request makes: counted, as time would not be the same twice."""
    count = 0

    def note(frame, event, arg):
        nonlocal count
        count += event in ("call", "c_call")

    for number in range(1, 201):
        rig.ask(number)
    sys.setprofile(note)
    try:
        for number in range(201, 201 + requests):
            rig.ask(number)
    finally:
        sys.setprofile(None)
    return count / requests


def test_a_request_costs_few_calls_for_each_engine_in_the_list():
    """Six calls for each engine and request, most to weigh it anew, were two thirds of all at 60 engines."""
    small, _, large = (calls_of(Answers(engines), 200) for engines in SIZES)
    assert (large - small) / (SIZES[2] - SIZES[0]) < 3


def test_the_rig_serves_what_it_measures():
    rig = Answers(60)
    for number in range(1, 301):
        rig.ask(number)
    assert rig.core.counters["served"] > 250 and not rig.core.counters["module_errors"]


def test_an_engine_that_came_back_is_weighed_anew():
    """What was reckoned of the process before it must not outlive it, however lately that was."""
    settings = t.Settings(classes=(t.ClassSettings("lookup", deadline=3 * S, effect="retryable"),),
                          kind_cores={"std": 8}, ramp_time=13 * S, cold_from=0.3, fall=3 * S, fall_multiple=2)
    control = Control(settings, 1)
    control.handle(100 * S, t.EngineList("Complete", (t.EngineEntry("a", kind="std"), t.EngineEntry("b", kind="std"))))
    control.handle(100 * S, t.QueryArrived("q", "lookup", 103 * S))
    before = control.engines["a"].weight
    control.handle(100 * S + MS, t.EngineList("Partial", (t.EngineEntry("a", kind="std", came_up=100 * S),)))
    assert control.warmth(control.engines["a"]) < 0.5 * before
