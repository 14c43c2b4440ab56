"""Measures the cost of fleet membership: CPU time of gateways, per request and idle, with and without `[fleet]`.

    python -m rackhub.trials.fleet.cost [--processes N] [--seconds N] [--seed N] [--json]

Both runs get the same arrivals, at half of the engines' capacity, on the same number of real processes. CPU is user
and system time as counted by the kernel; datagrams and bytes are counted by each member.
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
    """`idle_ms`: CPU time of one gateway per second without requests. `us_a_request`: CPU time of all gateways per
    request, including the idle share. `packets_s`, `bytes_s`: sent by one member per second under load."""

    way: str
    requests: int
    idle_ms: float
    us_a_request: float
    packets_s: float
    bytes_s: float


def cpu_seconds(rig: Rig) -> float:
    """Return the CPU time of all gateways so far, in seconds."""
    ticks = 0
    for process in rig.processes.by_name.values():
        with open(f"/proc/{process.pid}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def datagrams_and_bytes(rig: Rig, fleet: bool) -> tuple[float, float]:
    answers: dict[str, Any] = ask_all(rig, {"call": "figures"}) if fleet else {}
    figures = [each["figures"] for each in answers.values() if each]
    return (sum(each["fleet_packets_out"] for each in figures), sum(each["fleet_bytes_out"] for each in figures))


def measure(fleet: bool, processes: int, seconds: int, seed: int) -> Row:
    plan = Plan(
        gateways=processes, engines=max(4, processes // 2), cores=4.0, seed=seed, fleet=fleet, keepers=3 if fleet else 0
    )
    with Rig(plan, reactor) as rig:
        rig.up()
        pass_time(reactor, 3.0)
        before = cpu_seconds(rig)
        pass_time(reactor, float(seconds))
        idle = (cpu_seconds(rig) - before) / seconds / processes
        cpu_before, packets = cpu_seconds(rig), datagrams_and_bytes(rig, fleet)
        trial = Trial(rig, [steady(rig, 0.5, float(seconds))], seed).run()
        spent, after = cpu_seconds(rig) - cpu_before, datagrams_and_bytes(rig, fleet)
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


def main(arguments: list[str]) -> int:
    options = docopt(
        "Usage: cost [--processes N] [--seconds N] [--seed N] [--json]\n\nOptions:\n  --processes N  "
        "[default: 8]\n  --seconds N    [default: 10]\n  --seed N       [default: 1]\n  --json\n",
        arguments,
    )
    numbers = [int(options[name]) for name in ("--processes", "--seconds", "--seed")]
    rows = [measure(fleet, *numbers) for fleet in (False, True)]
    show(rows, options["--json"])
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
