"""Overload on the same arrivals, in three ways: gateways that share nothing, the same with `[fleet]` on, and one
gateway that sees all traffic, which is what the others are held against."""

import statistics
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from rackhub.trials.processes.cases.case import steady
from rackhub.trials.processes.clients import Retry
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.site import Plan
from rackhub.trials.processes.trial import Trial

WAYS = {"alone": "gateways that share nothing", "fleet": "the same with [fleet] on", "one": "one gateway sees all"}
BASE, CALM, AFTER = 0.7, 4.0, 10.0


class Row(msgspec.Struct, frozen=True):
    """One run. `worth`: served over asked for of what came while it lasted. `attempts`: at engines for each request
    that clients began; `tries`: at gateways. `probes`: for each engine and second. `recovered_s` None: not by the
    end."""

    way: str
    times: float
    seed: int
    worth: float
    worth_a_s: float
    before: float
    after: float
    attempts: float
    tries: float
    carried_on: int
    refusals: int
    recovered_s: int | None
    probes: float
    late: int
    faults: dict[str, int]


def one(
    way: str, times: float, seed: int, processes: int, engines: int, lasts: float, honour: bool, reactor: Any
) -> Row:
    fleet = way == "fleet"
    plan = Plan(
        gateways=1 if way == "one" else processes, engines=engines, cores=4.0, seed=seed, peers=fleet, fleet=fleet
    )
    begin, end = CALM, CALM + lasts
    with Rig(plan, reactor) as rig:
        rig.up()
        steps = [steady(rig, BASE, begin), steady(rig, times, end, begin), steady(rig, BASE, end + AFTER, end)]
        trial = Trial(rig, steps, seed, Retry(most=2, honour=honour)).run()
        verdict, totals, line = trial.verdict(way), trial.clients.totals, trial.clients.timeline
        before = line.share(1, begin)
        row = Row(
            way,
            times,
            seed,
            round(line.share(begin, end), 3),
            round(line.rate(begin, end), 1),
            round(before, 3),
            round(line.share(end, end + AFTER), 3),
            round(trial.amplification(begin, end), 3),
            verdict.figures["tries_a_request"],
            totals.carried_on,
            totals.refusals,
            line.recovered(int(end), 0.95 * before),
            round(sum(sum(each.probes.values()) for each in rig.engines.values()) / engines / trial.seconds, 2),
            totals.late,
            verdict.faults,
        )
        trial.close()
    return row


class Summary(msgspec.Struct, frozen=True):
    """Over seeds: means, and the worst recovery (None: one did not recover). `of_one`: worth against one gateway's."""

    way: str
    times: float
    worth: float
    of_one: float | None
    attempts: float
    tries: float
    carried_on: float
    recovered_s: int | None
    not_recovered: int
    probes: float


def summary(rows: Sequence[Row]) -> list[Summary]:
    found = []
    for times in sorted({row.times for row in rows}):
        ways: dict[str, list[Row]] = {}
        for row in rows:
            if row.times == times:
                ways.setdefault(row.way, []).append(row)
        ideal = statistics.mean(row.worth for row in ways["one"]) if "one" in ways else None
        for way, here in ways.items():
            worth = statistics.mean(row.worth for row in here)
            back = [row.recovered_s for row in here if row.recovered_s is not None]
            found.append(
                Summary(
                    way,
                    times,
                    round(worth, 3),
                    round(worth / ideal, 3) if ideal else None,
                    round(statistics.mean(row.attempts for row in here), 3),
                    round(statistics.mean(row.tries for row in here), 3),
                    round(statistics.mean(row.carried_on for row in here), 1),
                    max(back, default=None),
                    len(here) - len(back),
                    round(statistics.mean(row.probes for row in here), 2),
                )
            )
    return found


def run(
    processes: int,
    engines: int,
    times: Sequence[float],
    ways: Sequence[str],
    seeds: Sequence[int],
    lasts: float,
    honour: bool,
    reactor: Any,
    told: Callable[[Row], None] = lambda row: None,
) -> list[Row]:
    rows = []
    for seed in seeds:
        for each in times:
            for way in ways:
                rows.append(one(way, each, seed, processes, engines, lasts, honour, reactor))
                told(rows[-1])
    return rows
