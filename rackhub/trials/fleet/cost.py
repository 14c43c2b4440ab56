"""What the fleet's part costs: CPU of the gateways for each request, and idle, with `[fleet]` on and off.

    python -m rackhub.trials.fleet.cost [--processes N] [--seconds N] [--seed N] [--json]

The same arrivals both ways, at half of what the engines can do, on as many real processes. CPU is what the kernel
counts for them (user and system); datagrams and bytes are what each member counts itself.
"""

import os
import sys
from typing import Any

import msgspec
from docopt import docopt
from twisted.internet import reactor

from rackhub.trials.processes.cases.case import ask_all, steady
from rackhub.trials.processes.clock import pass_time
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.site import Plan
from rackhub.trials.processes.trial import Trial
from rackhub.trials.table import show

SECOND = 1_000_000


class Row(msgspec.Struct):
    """`idle_ms`: CPU of one gateway in a second without a request. `us_a_request`: of all gateways, for each request
    that clients began, idle part and all. Datagrams and bytes: sent by one member in a second under load."""

    way: str
    requests: int
    idle_ms: float
    us_a_request: float
    packets_s: float
    bytes_s: float


def cpu(rig: Rig) -> float:
    """Seconds of CPU of all gateways so far."""
    ticks = 0
    for process in rig.processes.by_name.values():
        with open(f"/proc/{process.pid}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def sent(rig: Rig, fleet: bool) -> tuple[float, float]:
    told: dict[str, Any] = ask_all(rig, {"call": "figures"}) if fleet else {}
    figures = [each["figures"] for each in told.values() if each]
    return (sum(each["fleet_packets_out"] for each in figures), sum(each["fleet_bytes_out"] for each in figures))


def one(fleet: bool, processes: int, seconds: int, seed: int) -> Row:
    plan = Plan(
        gateways=processes, engines=max(4, processes // 2), cores=4.0, seed=seed, fleet=fleet, keepers=3 if fleet else 0
    )
    with Rig(plan, reactor) as rig:
        rig.up()
        pass_time(reactor, 3.0)
        before = cpu(rig)
        pass_time(reactor, float(seconds))
        idle = (cpu(rig) - before) / seconds / processes
        began, packets = cpu(rig), sent(rig, fleet)
        trial = Trial(rig, [steady(rig, 0.5, float(seconds))], seed).run()
        spent, after = cpu(rig) - began, sent(rig, fleet)
        requests = trial.clients.totals.requests
        trial.close()
    return Row(
        "fleet" if fleet else "alone",
        requests,
        round(idle * 1_000, 2),
        round(spent * SECOND / max(requests, 1), 1),
        round((after[0] - packets[0]) / processes / seconds, 1),
        round((after[1] - packets[1]) / processes / seconds, 1),
    )


def main(words: list[str]) -> int:
    told = docopt(
        "Usage: cost [--processes N] [--seconds N] [--seed N] [--json]\n\nOptions:\n  --processes N  "
        "[default: 8]\n  --seconds N    [default: 10]\n  --seed N       [default: 1]\n  --json\n",
        words,
    )
    words_ = [int(told[name]) for name in ("--processes", "--seconds", "--seed")]
    rows = [one(fleet, *words_) for fleet in (False, True)]
    show(rows, told["--json"])
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
