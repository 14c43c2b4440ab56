"""What second copies, budgets and routes do and cost, on the rig: same seeds each way, in one run."""

import gc
import random
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import msgspec

from rackhub.timings.routes import Backoff, Route, SecondCopy
from rackhub.timings.simulation import MS, Outcome, Rig, Scene

LATE = Backoff(20.0, 2.0, 200.0, "full")
TRIES = Route(cls="lookup", attempts=3, attempt_timeout_ms=500.0, backoff_ms=LATE)
COPIES: dict[str, list[Route] | None] = {
    "no routes": None,
    "no copies": [Route(cls="lookup", priority=2)],
    "copies after p95": [Route(cls="lookup", second_copy=SecondCopy(after="p95"))],
    "copies after p95*1.5": [Route(cls="lookup", second_copy=SecondCopy(after="p95*1.5"))],
    "copies after 150 ms": [Route(cls="lookup", second_copy=SecondCopy(after_ms=150.0))],
}
BUDGETS: dict[str, list[Route] | None] = {
    "no further attempts": [msgspec.structs.replace(TRIES, attempts=1, backoff_ms=None)],
    "three attempts": [TRIES],
    "three attempts, budget 0.1": [msgspec.structs.replace(TRIES, retry_share=0.1)],
    "copies, no time-out": [Route(cls="lookup", second_copy=SecondCopy(after_ms=150.0))],
}
SCENARIOS: dict[str, tuple[Scene, dict[str, list[Route] | None]]] = {
    "one engine of 8 six times slower": (Scene(speeds={0: 1 / 6}, spread=0.3), COPIES),
    "in turn each engine six times slower for 3 s": (Scene(slow_turns=3.0, spread=0.3), COPIES),
    "the same, work widely spread": (Scene(slow_turns=3.0, spread=0.6), COPIES),
    "twice the load that fits, after 10 s of calm": (Scene(per_second=2_100.0, seconds=30, calm=10), BUDGETS),
    "all engines three times slower": (
        Scene(per_second=700.0, seconds=20, speeds=dict.fromkeys(range(8), 1 / 3)),
        BUDGETS,
    ),
}


class Row(msgspec.Struct, frozen=True):
    """One way in one scene, the mean over all seeds."""

    scenario: str = msgspec.field(name="scene")
    variant: str = msgspec.field(name="way")
    p50_ms: float
    p99_ms: float
    p999_ms: float
    good: float  # requests a second served within what is wanted
    served: float
    refused: float
    attempts: float  # for each request
    copies: float  # for each request
    work: float  # of the engines, against the first way's
    p99_ratio: float
    wrong: int  # answers doubled or missing, over all seeds


class Cost(msgspec.Struct, frozen=True):
    """CPU of the core with the decision module, a request with one attempt. Medians of rounds that take turns."""

    none_us: float
    routes_us: float
    routes: int
    ratio: float  # requests per second of CPU with routes, against without


class Report(msgspec.Struct, frozen=True):
    seeds: int
    seconds: int
    rows: list[Row]
    cost: Cost


def _play(scene: Scene, routes: list[Route] | None, seed: int) -> Outcome:
    return Rig(scene, routes, seed).run()


def run(seeds: int, seconds: int, workers: int, progress: Callable[[], None] = lambda: None) -> Report:
    """All scenes, over `workers` processes; the cost after that, when nothing else runs."""
    rows: list[Row] = []
    with ProcessPoolExecutor(workers, get_context("fork")) as pool:
        waiting = {}
        for name, (scene, ways) in SCENARIOS.items():
            shorter = msgspec.structs.replace(scene, seconds=min(seconds, scene.seconds))
            for way, routes in ways.items():
                waiting[name, way] = (
                    shorter,
                    [pool.submit(_play, shorter, routes, seed) for seed in range(1, seeds + 1)],
                )
        first: dict[str, Row] = {}
        for (name, way), (scene, futures) in waiting.items():
            outcomes = []
            for future in futures:
                outcomes.append(future.result())
                progress()
            row = _row(name, way, scene, outcomes)
            base = first.setdefault(name, row)
            rows.append(msgspec.structs.replace(row, work=row.work / base.work, p99_ratio=row.p99_ms / base.p99_ms))
    return Report(seeds, seconds, rows, cost())


def _row(scene: str, way: str, told: Scene, outcomes: Sequence[Outcome]) -> Row:
    def mean(call: Callable[[Outcome], float]) -> float:
        return sum(map(call, outcomes)) / len(outcomes)

    return Row(
        scene,
        way,
        mean(lambda o: o.p50_ms),
        mean(lambda o: o.p99_ms),
        mean(lambda o: o.p999_ms),
        mean(lambda o: o.good / told.seconds),
        mean(lambda o: o.served / o.requests),
        mean(lambda o: o.refused / o.requests),
        mean(lambda o: o.attempts / o.requests),
        mean(lambda o: o.copies / o.requests),
        mean(lambda o: o.engine_work_ms / o.requests),
        1.0,
        sum(outcome.doubled + outcome.unanswered for outcome in outcomes),
    )


def fifty_routes() -> list[Route]:
    """Fifty routes by estimate, each with a time-out, a back-off and a budget; no request is without one."""
    return [
        Route(
            cls="lookup",
            estimate_ms=(i * 4.0, i * 4.0 + 4 if i < 49 else 1e9),
            attempt_timeout_ms=900.0 + i,
            attempts=2,
            backoff_ms=LATE,
            retry_share=0.1,
        )
        for i in range(50)
    ]


def cost(rounds: int = 41, requests: int = 500) -> Cost:
    """Requests that are served at once go through two cores in turn; what the rig itself takes is in both."""
    scene = Scene(spread=0.6)
    rigs = [Rig(scene, None, 1), Rig(scene, fifty_routes(), 1)]
    took: list[list[float]] = [[], []]
    chances = [random.Random(1), random.Random(1)]
    gc.disable()
    for number in range(rounds * 2):
        rig, chance = rigs[number % 2], chances[number % 2]
        gc.collect()
        start = time.process_time()
        for id in range(number * requests + 1, (number + 1) * requests + 1):
            rig.ask(id)
            for attempt in list(rig.core.in_flight.values()):
                rig._end(attempt, "GOOD", 3)
            rig.world.run(rig.world.time + chance.randrange(2 * MS))
        took[number % 2].append((time.process_time() - start) / requests * 1e6)
        rig.answers.clear()
        rig._works.clear()
    gc.enable()
    if rigs[0].counters["served"] != rigs[1].counters["served"]:
        raise AssertionError("the two ways did not serve the same requests")
    # the machine's pace changes within a run by a half and more: neighbours are compared, and the middle one counts
    none, routes = (sorted(some)[len(some) // 2] for some in took)
    ratios = sorted(one / other for one, other in zip(*took, strict=True))
    return Cost(none, routes, 50, ratios[len(ratios) // 2])
