"""Benchmark of second copies, budgets and routes in the simulation, with the same seeds for each variant."""

import gc
import random
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import msgspec

from rackhub.timings.routes import Backoff, Route, SecondCopy
from rackhub.timings.simulation import MS, Outcome, Scenario, Simulation

BACKOFF = Backoff(20.0, 2.0, 200.0, "full")
THREE_ATTEMPTS = Route(cls="lookup", attempts=3, attempt_timeout_ms=500.0, backoff_ms=BACKOFF)
HEDGE_VARIANTS: dict[str, list[Route] | None] = {
    "no routes": None,
    "no copies": [Route(cls="lookup", priority=2)],
    "copies after p95": [Route(cls="lookup", second_copy=SecondCopy(after="p95"))],
    "copies after p95*1.5": [Route(cls="lookup", second_copy=SecondCopy(after="p95*1.5"))],
    "copies after 150 ms": [Route(cls="lookup", second_copy=SecondCopy(after_ms=150.0))],
}
BUDGET_VARIANTS: dict[str, list[Route] | None] = {
    "no further attempts": [msgspec.structs.replace(THREE_ATTEMPTS, attempts=1, backoff_ms=None)],
    "three attempts": [THREE_ATTEMPTS],
    "three attempts, budget 0.1": [msgspec.structs.replace(THREE_ATTEMPTS, retry_share=0.1)],
    "copies, no time-out": [Route(cls="lookup", second_copy=SecondCopy(after_ms=150.0))],
}
SCENARIOS: dict[str, tuple[Scenario, dict[str, list[Route] | None]]] = {
    "one engine of 8 six times slower": (Scenario(speeds={0: 1 / 6}, work_sigma=0.3), HEDGE_VARIANTS),
    "in turn each engine six times slower for 3 s": (Scenario(slow_period=3.0, work_sigma=0.3), HEDGE_VARIANTS),
    "the same, work widely spread": (Scenario(slow_period=3.0, work_sigma=0.6), HEDGE_VARIANTS),
    "twice the load that fits, after 10 s of calm": (
        Scenario(per_second=2_100.0, seconds=30, calm_seconds=10),
        BUDGET_VARIANTS,
    ),
    "all engines three times slower": (
        Scenario(per_second=700.0, seconds=20, speeds=dict.fromkeys(range(8), 1 / 3)),
        BUDGET_VARIANTS,
    ),
}


class VariantResult(msgspec.Struct, frozen=True):
    """The result of one variant in one scenario, the mean over all seeds.

    `good`: requests served per second within the latency objective. `attempts`, `copies`: per request. `work`: of the
    engines, and `p99_ratio`, relative to the scenario's first variant. `wrong`: answers doubled or missing, the sum
    over all seeds.
    """

    scenario: str = msgspec.field(name="scene")
    variant: str = msgspec.field(name="way")
    p50_ms: float
    p99_ms: float
    p999_ms: float
    good: float
    served: float
    refused: float
    attempts: float
    copies: float
    work: float
    p99_ratio: float
    wrong: int


class Cost(msgspec.Struct, frozen=True):
    """CPU of the core with the decision module, per request with one attempt; medians of alternating rounds.

    `ratio`: requests per second of CPU with routes, relative to that without.
    """

    none_us: float
    routes_us: float
    routes: int
    ratio: float


class Report(msgspec.Struct, frozen=True):
    """The results of all scenarios and the cost of routes."""

    seeds: int
    seconds: int
    rows: list[VariantResult]
    cost: Cost


def _simulate(scenario: Scenario, routes: list[Route] | None, seed: int) -> Outcome:
    return Simulation(scenario, routes, seed).run()


def run(seeds: int, seconds: int, workers: int, progress: Callable[[], None] = lambda: None) -> Report:
    """Run all scenarios in `workers` processes, then measure the cost while nothing else runs."""
    rows: list[VariantResult] = []
    with ProcessPoolExecutor(workers, get_context("fork")) as pool:
        pending = {}
        for name, (scenario, variants) in SCENARIOS.items():
            shorter = msgspec.structs.replace(scenario, seconds=min(seconds, scenario.seconds))
            for variant, routes in variants.items():
                pending[name, variant] = (
                    shorter,
                    [pool.submit(_simulate, shorter, routes, seed) for seed in range(1, seeds + 1)],
                )
        first_variants: dict[str, VariantResult] = {}
        for (name, variant), (scenario, futures) in pending.items():
            outcomes = []
            for future in futures:
                outcomes.append(future.result())
                progress()
            row = _mean_result(name, variant, scenario, outcomes)
            base = first_variants.setdefault(name, row)
            rows.append(msgspec.structs.replace(row, work=row.work / base.work, p99_ratio=row.p99_ms / base.p99_ms))
    return Report(seeds, seconds, rows, cost())


def _mean_result(name: str, variant: str, scenario: Scenario, outcomes: Sequence[Outcome]) -> VariantResult:
    def mean(call: Callable[[Outcome], float]) -> float:
        return sum(map(call, outcomes)) / len(outcomes)

    return VariantResult(
        name,
        variant,
        mean(lambda o: o.p50_ms),
        mean(lambda o: o.p99_ms),
        mean(lambda o: o.p999_ms),
        mean(lambda o: o.good / scenario.seconds),
        mean(lambda o: o.served / o.requests),
        mean(lambda o: o.refused / o.requests),
        mean(lambda o: o.attempts / o.requests),
        mean(lambda o: o.copies / o.requests),
        mean(lambda o: o.engine_work_ms / o.requests),
        1.0,
        sum(outcome.doubled + outcome.unanswered for outcome in outcomes),
    )


def fifty_routes() -> list[Route]:
    """Return fifty routes by estimate, each with a time-out, a back-off and a budget, that match all requests."""
    return [
        Route(
            cls="lookup",
            estimate_ms=(index * 4.0, index * 4.0 + 4 if index < 49 else 1e9),
            attempt_timeout_ms=900.0 + index,
            attempts=2,
            backoff_ms=BACKOFF,
            retry_share=0.1,
        )
        for index in range(50)
    ]


def cost(rounds: int = 41, requests: int = 500) -> Cost:
    """Measure requests that are served at once in two cores in turn; the time of the simulation itself is in both."""
    scenario = Scenario(work_sigma=0.6)
    simulations = [Simulation(scenario, None, 1), Simulation(scenario, fifty_routes(), 1)]
    costs: list[list[float]] = [[], []]
    generators = [random.Random(1), random.Random(1)]
    gc.disable()
    for number in range(rounds * 2):
        simulation, generator = simulations[number % 2], generators[number % 2]
        gc.collect()
        start = time.process_time()
        for request in range(number * requests + 1, (number + 1) * requests + 1):
            simulation.submit_request(request)
            for attempt in list(simulation.core.in_flight.values()):
                simulation._complete_attempt(attempt, "GOOD", 3)
            simulation.virtual_time.run(simulation.virtual_time.time + generator.randrange(2 * MS))
        costs[number % 2].append((time.process_time() - start) / requests * 1e6)
        simulation.answers.clear()
        simulation._work_by_query.clear()
    gc.enable()
    if simulations[0].counters["served"] != simulations[1].counters["served"]:
        raise AssertionError("the runs with and without routes did not serve the same number of requests")
    # The speed of the machine varies by half and more within a run: the ratio is the median over adjacent rounds.
    none, routes = (sorted(rounds_us)[len(rounds_us) // 2] for rounds_us in costs)
    ratios = sorted(without / with_routes for without, with_routes in zip(*costs, strict=True))
    return Cost(none, routes, 50, ratios[len(ratios) // 2])
