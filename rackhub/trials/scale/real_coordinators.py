"""Real `rackhub serve` processes in a scale run: the rig's engines and clients, light traffic, and their CPU.

Started by the parent as `python -m rackhub.trials.scale.real_coordinators`. They watch the run's relays and stand in
its first zone, but are members of one another alone: hollow coordinators serve nothing, and would take their part of
the fleet's load. Without distribution they are a fleet of their own, under the same requests.
"""

import os
import select
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rackhub.trials.processes.arrivals import Load
from rackhub.trials.processes.calls import say
from rackhub.trials.processes.clock import turn, until
from rackhub.trials.processes.places import text
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.site import Plan
from rackhub.trials.processes.trial import Trial
from rackhub.trials.scale.addresses import Addresses
from rackhub.trials.scale.layout import RULE_KEYS, Layout, layout
from rackhub.trials.scale.orders import AnyReport, BeginReal, Begun, Finish, FinishedReal, decode_order, encode
from rackhub.trials.scale.station import CLUSTER

RATE = 10.0  # requests a second for each coordinator
ENGINES = 4
LONGEST = 3_600 * 1_000_000  # microseconds for which requests are drawn; the parent ends it before
ANSWER_SECONDS = 5.0


def rig_plan(begin: BeginReal) -> Plan:
    """The rig's fleet alone, or with its gateways as coordinators of the run's first zone."""
    real, seed = begin.settings.real, begin.settings.seed
    plain = Plan(gateways=real, engines=ENGINES, seed=seed, fleet=True)
    if not begin.distribution:
        return plain
    made = layout(begin.settings)
    addresses = Addresses(made, begin.base_port)
    return Plan(
        gateways=real,
        engines=ENGINES,
        seed=seed,
        fleet=True,
        roles=("coordinator",) * real,
        fleet_more={"cluster": CLUSTER, "scope": (RULE_KEYS,)},
        operator_more=directory(made, addresses),
    )


def directory(made: Layout, addresses: Addresses) -> str:
    """The run's voters and relays, as `[[fleet.node]]` of an operator's file."""
    lines = []
    for place in made.voters + made.relays:
        lines += ["[[fleet.node]]", f'name = "{place.name}"', f'role = "{place.role.value}"', f'zone = "{place.zone}"']
        lines += [f'address = "{text(addresses.mail(place))}"', ""]
    return "\n".join(lines)


def cpu_seconds(pid: int) -> float:
    """Of that process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text("ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class RealCoordinators:
    """A rig that is up, under traffic until the parent wants it to finish."""

    def __init__(self, rig: Rig, reactor: Any):
        self._rig, self._reactor = rig, reactor
        weights = dict.fromkeys(rig.gateways, 1.0)
        load = Load(rate=RATE * len(weights), end=LONGEST, weights=weights)
        self._trial = Trial(rig, [load], rig.plan.seed)
        self._cpu = self._cpu_seconds()
        self._trial.start()

    def finish(self, distribution: bool) -> FinishedReal:
        self._trial.stop()
        cpu = self._cpu_seconds() - self._cpu
        revisions = tuple(self._revision(name) for name in self._rig.gateways) if distribution else ()
        verdict = self._trial.verdict("scale")
        totals = self._trial.clients.totals
        self._trial.close()
        return FinishedReal(
            requests=totals.requests,
            served=totals.served,
            refused=totals.refused,
            failed=totals.failed,
            cpu=cpu,
            faults=verdict.faults,
            revisions=revisions,
        )

    def _cpu_seconds(self) -> float:
        return sum(cpu_seconds(process.pid) for process in self._rig.processes.by_name.values())

    def _revision(self, name: str) -> int:
        answers: list[Any] = []
        say(self._reactor, self._rig.gateways[name].control, {"call": "rules.status"}, answers.append, ANSWER_SECONDS)
        until(self._reactor, lambda: bool(answers), ANSWER_SECONDS + 1, f"the status of {name}")
        return int((answers[0] or {}).get("revision", -1))


def wanted(reactor: Any) -> bool:
    """Turn the reactor until the parent says something; False: it has gone."""
    while not select.select([sys.stdin], [], [], 0)[0]:
        turn(reactor)
    line = sys.stdin.buffer.readline()
    return bool(line) and isinstance(decode_order(line), Finish)


def tell(report: AnyReport) -> None:
    sys.stdout.buffer.write(encode(report) + b"\n")
    sys.stdout.buffer.flush()


def main(resident: Callable[[], int] = lambda: 0) -> None:
    from twisted.internet import reactor

    begin = decode_order(sys.stdin.buffer.readline())
    assert isinstance(begin, BeginReal)
    with Rig(rig_plan(begin), reactor) as rig:
        rig.up()
        coordinators = RealCoordinators(rig, reactor)
        tell(Begun(resident()))
        if wanted(reactor):
            tell(coordinators.finish(begin.distribution))


if __name__ == "__main__":
    main()
