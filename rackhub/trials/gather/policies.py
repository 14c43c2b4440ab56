"""Measures gather policies on real processes, over four sites with one slow, unresponsive or cut off.

    python -m rackhub.trials.gather.policies [--seconds N] [--seed N] [--json]

For each fault and policy: the fraction of reports answered whole, partially and in time, the median latency, and the
fraction of engine runs whose rows are in no answer. `needs = "all"` is the baseline. Statements repeat, so that `fill`
has earlier answers to use. Exit status 1 if an answer was wrong, lost or duplicated.
"""

import sys
from collections.abc import Iterator
from typing import Any

import msgspec
from docopt import docopt
from twisted.internet import reactor

from rackhub.trials.gather.audit import GatherCounts, make_judge
from rackhub.trials.processes.arrivals import Arrival, Load, drawn
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.schedule import Schedule, Step
from rackhub.trials.processes.site import Plan
from rackhub.trials.processes.trial import Trial
from rackhub.trials.table import show

SECOND = 1_000_000
SITES = ("s0", "s1", "s2", "s3")
TOML = "".join(f'[[gather.site]]\nname = "{site}"\nzones = ["{site}"]\n' for site in SITES)
RULE = '[[gather.rule]]\nclass = "report"\nsites = ["s0", "s1", "s2", "s3"]\n'
NEED = "weight = 0.75\npartial = true\n"
POLICIES = {
    "all": "",
    "need": NEED + 'wait = "need"\n',
    "learned": NEED + 'wait = "learned"\n',
    "fill": NEED + 'wait = "learned"\nfill_ms = 60000\n',
}
FAULTS: dict[str, tuple[Step, ...]] = {
    "none": (),
    "slow": (Step(at_ms=1_500, do="slow", whom=("e3",), more={"times": 8.0}),),
    "silent": (Step(at_ms=1_500, do="mood", whom=("e3",), more={"silent": True}),),
    "cut": (Step(at_ms=1_500, do="engine_dies", whom=("e3",)),),
}


class Row(msgspec.Struct):
    fault: str
    policy: str
    asked: int
    whole: float
    partial: float
    refused: float
    in_time: float
    p50_ms: float
    p99_ms: float
    unused: float  # fraction of engine runs whose rows are in no answer
    filled: int
    wrong: dict[str, int]


def repeat_statements(arrivals: Iterator[Arrival], every: int) -> Iterator[Arrival]:
    """Repeat the first `every` statements, as a dashboard does."""
    known: list[Arrival] = []
    for number, arrival in enumerate(arrivals):
        if number < every:
            known.append(arrival)
        repeated = known[number % len(known)]
        yield msgspec.structs.replace(arrival, statement=repeated.statement, work=repeated.work, tenant=repeated.tenant)


def measure(fault: str, policy: str, seconds: int, seed: int, rate: float = 3.0) -> Row:
    plan = Plan(gateways=2, sites=4, engines=4, seed=seed, fleet=True, operator_more=TOML + RULE + POLICIES[policy])
    counts, partial = GatherCounts(), policy != "all"
    with Rig(plan, reactor) as rig:
        rig.up()
        trial = Trial(
            rig,
            [Load(rate=rate, end=seconds * SECOND, kinds=("report",))],
            seed,
            steps=Schedule(step=FAULTS[fault]),
            judge=make_judge(SITES, "report", partial, counts),
        )
        run = trial.clients.run
        trial.clients.run = lambda arrivals: run(repeat_statements(drawn(plan, trial.loads, seed), 12))  # type: ignore[method-assign]
        trial.run()
        verdict, totals = trial.verdict("gather"), trial.clients.totals
        completed_attempts = [sent for sent in rig.attempts.all if sent.how]
        late = trial.clients.totals.late
        trial.close()
    asked = max(totals.requests, 1)
    times: dict[str, Any] = verdict.latencies.get("report", {})
    return Row(
        fault,
        policy,
        totals.requests,
        round(counts.whole / asked, 3),
        round(counts.partial / asked, 3),
        round(totals.refused / asked, 3),
        round((totals.served - late) / asked, 3),
        times.get("p50_ms", 0.0),
        times.get("p99_ms", 0.0),
        round(1 - counts.used / max(len(completed_attempts), 1), 3),
        counts.filled,
        verdict.faults,
    )


def main(arguments: list[str]) -> int:
    options = docopt(
        "Usage: policies [--seconds N] [--seed N] [--json]\n\nOptions:\n  --seconds N  [default: 8]\n"
        "  --seed N     [default: 1]\n  --json       One JSON document instead of a table.\n",
        arguments,
    )
    rows = [
        measure(fault, policy, int(options["--seconds"]), int(options["--seed"]))
        for fault in FAULTS
        for policy in POLICIES
    ]
    show(rows, options["--json"])
    return 1 if any(row.wrong for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
