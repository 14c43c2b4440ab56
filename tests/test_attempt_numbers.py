"""The routing policy and the core have the same attempts after each event, whatever the core does not start."""

import dataclasses
import random

import pytest
from harness import LIMITS, MS, SETTINGS, S
from test_retained_state import Bed

from rackhub import interface as t
from rackhub.core.attempts import AttemptRunner
from rackhub.core.request import AttemptState

STEPS = 3_000
OUTCOMES = ("GOOD", "BAD", "FULL", "NOCONN", "RST", "LATE")


def attempts_of_policy(bed):
    return set(bed.core.decisions.control.context.attempts)


def threads_of_policy(bed):
    return bed.core.decisions.control.usage.threads


# Guards against attempts that the policy counts for ever: after a hedge that the core had refused it numbered the next
# attempt of that request differently, and took none of its outcomes for it.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_policy_and_core_have_the_same_attempts_after_random_refusals(seed, monkeypatch):
    draws = random.Random(seed)
    may_start = AttemptRunner._may_start
    monkeypatch.setattr(AttemptRunner, "_may_start", lambda *arguments: draws.random() < 0.7 and may_start(*arguments))
    bed = Bed(dataclasses.replace(SETTINGS, hedging=True), limits=LIMITS)
    open_queries, in_flight = [], []

    def step():
        choice = draws.random()
        if choice < 0.3:
            open_queries.append(bed.ask(draws.choice(["lookup", "report"]), budget=draws.randrange(200, 5_000) * MS))
        elif choice < 0.55 and open_queries:
            bed.core.decisions.dispatch(t.HedgeDue(draws.choice(open_queries).id))
        elif choice < 0.8 and in_flight:
            attempt = in_flight.pop(draws.randrange(len(in_flight)))
            bed.core.complete_attempt(attempt, draws.choice(OUTCOMES), None, (b"rows",))
        elif choice < 0.9 and open_queries:
            bed.core.disconnect_client(open_queries.pop(draws.randrange(len(open_queries))))
        else:
            bed.clock.advance(draws.randrange(50) * MS)

    for _ in range(STEPS):
        step()
        in_flight += bed.port.take_sent()
        open_queries = [query for query in open_queries if not query.closed]
        assert attempts_of_policy(bed) == set(bed.core.in_flight)
    bed.clock.advance(30 * S)
    assert not attempts_of_policy(bed) and not bed.core.in_flight and threads_of_policy(bed) == 0


# Guards against the same after a request that ends before the policy hears of it, as subrequests of a gather may.
def test_attempt_of_a_request_that_has_ended_meanwhile_is_not_counted():
    bed = Bed()

    def submit_and_withdraw(action):
        bed.core.disconnect_client(bed.ask())  # the policy hears of both after the present event

    bed.core.decisions.register(t.Log, submit_and_withdraw)
    handle = bed.core.decisions.control.handle
    first_actions = iter([[t.Log("a message of the policy")]])
    bed.core.decisions.control.handle = lambda now, event: [*next(first_actions, []), *handle(now, event)]
    bed.core.decisions.dispatch(t.ClientDisconnected("unknown"))
    assert bed.count == 1 and not bed.port.take_sent()
    assert not attempts_of_policy(bed) and threads_of_policy(bed) == 0


# Guards against a success that the policy takes for an attempt that was not executed: the core cancels the unsent hedge
# of the served request before it has reported the success, and the policy then cancels the attempt that has succeeded.
def test_success_beside_an_unsent_hedge_is_recorded():
    bed = Bed(dataclasses.replace(SETTINGS, hedging=True), limits=LIMITS)
    query = bed.ask()
    (first,) = bed.port.take_sent()
    bed.core.decisions.dispatch(t.HedgeDue(query.id))
    (hedge,) = bed.port.take_sent()
    hedge.state = AttemptState.QUEUED
    recorded = []
    outcomes = bed.core.decisions.control.outcomes
    record = outcomes.record
    outcomes.record = lambda attempt, event: recorded.append((event.attempt, event.outcome)) or record(attempt, event)
    bed.core.complete_attempt(first, "GOOD", None, (b"rows",))
    assert sorted(recorded) == [(0, "GOOD"), (1, "NOP")]
    assert not attempts_of_policy(bed) and threads_of_policy(bed) == 0
