"""Searches a model anew, by a seed and for a time: `python tests/model_search.py MODEL --seconds 600 --seed 1`.

CI's searches always take the same steps. This one draws others: each round has a seed of its own, counted up from the
first. A finding is printed with its seed, which plays it again (`--seed N --rounds 1`); the exit status is 1 then.
"""

import argparse
import logging
import sys
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent)]

import fixed_draws  # noqa: E402 - the tests' folder is found by the line above

fixed_draws.without_local_constants()

import test_crossings_model  # noqa: E402
import test_distribution_model  # noqa: E402
import test_fleet_members  # noqa: E402
import test_fleet_overload  # noqa: E402
import test_fleet_register  # noqa: E402
import test_fleet_rules  # noqa: E402
import test_gather  # noqa: E402
import test_store  # noqa: E402
import test_timings  # noqa: E402
import test_unread_clients  # noqa: E402
import test_wire_models  # noqa: E402
from hypothesis import HealthCheck, Phase, settings  # noqa: E402
from hypothesis.stateful import run_state_machine_as_test  # noqa: E402

SEARCH = settings(
    derandomize=False,
    database=None,
    deadline=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
    report_multiple_bugs=False,
)
MEMBER_CYCLES = 4
RULE_EDITS = 60

Round = Callable[[int], None]  # raises where its seed finds something


def machine(model: type, runs: int, steps: int) -> Round:
    """Rounds of so many runs of a state machine."""

    def play(seed: int) -> None:
        model._hypothesis_internal_use_seed = seed
        run_state_machine_as_test(model, settings=settings(SEARCH, max_examples=runs, stateful_step_count=steps))

    return play


def property_test(test: Callable[[], None], runs: int) -> Round:
    """Rounds of so many runs of a property."""

    def play(seed: int) -> None:
        test._hypothesis_internal_use_seed = seed
        test._hypothesis_internal_use_settings = settings(SEARCH, max_examples=runs)
        test()

    return play


def members(seed: int) -> None:
    torture = test_fleet_members.Torture(2 + seed % 6, seed)
    for _ in range(MEMBER_CYCLES):
        torture.cycle()
    assert not torture.watch.worded, torture.watch.worded
    assert torture.watch.counts["lost_for_good"] == 0


def register(seed: int) -> None:
    """Safety alone: a run with many faults may acknowledge few changes."""
    acked, words = test_fleet_register.changes_under_faults(seed)
    assert acked <= set(words), "a change is lost"
    assert len(set(words)) == len(words), "a change is applied twice"


def rules(seed: int) -> None:
    report = test_fleet_rules.Torture(seed, RULE_EDITS, keepers=(1, 3, 5)[seed % 3], undos=5).run()
    assert report.violations == 0, report


def slow_reader(seed: int) -> None:
    here = test_unread_clients.CoordinatorTestBed(
        test_unread_clients.EngineServer(), test_unread_clients.EngineServer()
    )
    here.raw = []
    try:
        run = test_unread_clients.SlowReader(here, seed)
        run.run()
        run.check()
    finally:
        for client in here.raw:
            client.socket.close()
        here.close()


class Model(NamedTuple):
    """One model's rounds, and how many runs a round has."""

    play: Round
    runs: int


MODELS = {
    "crossings": Model(machine(test_crossings_model.CrossingsModel, 120, 45), 120),
    "slow-reader": Model(slow_reader, 1),
    "wire-jsonrpc": Model(machine(test_wire_models.JsonRpcModel, 50, 50), 50),
    "wire-resp": Model(machine(test_wire_models.RespModel, 50, 50), 50),
    "wire-tds": Model(machine(test_wire_models.TdsModel, 50, 50), 50),
    "distribution": Model(machine(test_distribution_model.FleetMachine, 20, 40), 20),
    "register": Model(register, 1),
    "members": Model(members, 1),
    "overload": Model(
        property_test(
            test_fleet_overload.test_what_all_may_run_stays_within_the_bound_through_cuts_ages_and_deaths, 10
        ),
        10,
    ),
    "rules": Model(rules, 1),
    "gather": Model(property_test(test_gather.test_any_events_give_one_answer_that_states_its_sites, 200), 200),
    "store": Model(machine(test_store.StoreModel, 30, 50), 30),
    "timings": Model(machine(test_timings.RequestModel, 30, 50), 30),
}


def search(name: str, seconds: float, first_seed: int, rounds: int) -> int:
    """Play rounds until the time is over; returns how many found something."""
    model, found, played = MODELS[name], 0, 0
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at and (not rounds or played < rounds):
        seed = first_seed + played
        played += 1
        try:
            model.play(seed)
        except Exception:  # a finding of any kind; the search goes on
            found += 1
            print(f"{name}: seed {seed}:\n{traceback.format_exc()}", flush=True)
    print(f"{name}: seeds {first_seed} to {first_seed + played - 1}, {played * model.runs} runs, {found} found")
    return found


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("model", choices=MODELS)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=0, help="end after so many rounds; 0: by time alone")
    asked = parser.parse_args()
    logging.disable(logging.CRITICAL)
    return 1 if search(asked.model, asked.seconds, asked.seed, asked.rounds) else 0


if __name__ == "__main__":
    sys.exit(main())
