"""A fleet of real processes in which one coordinator is measured, set up in one of the ways that are compared."""

import time
from pathlib import Path
from typing import Any

import msgspec

from rackhub.trials.processes.arrivals import SECOND, Load
from rackhub.trials.processes.audit import Totals
from rackhub.trials.processes.calls import say
from rackhub.trials.processes.clients import Retry
from rackhub.trials.processes.clock import pass_time, until
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.site import MS, Kind, Plan
from rackhub.trials.processes.trial import Trial
from rackhub.trials.scale.editor import spacing
from rackhub.trials.scale.overhead_edits import PacedEdits
from rackhub.trials.scale.overhead_result import Mail, Way, Window

ROLES = ("coordinator", "voter", "relay", "relay")
MEASURED, VOTER, RELAYS = "g0", "g1", ("g2", "g3")
LOOKUP = Kind("lookup", 0.9, 4 * MS, 2 * SECOND, 600 * MS, 1.5, 1.0)
DEPOT_LOAD = Kind(
    "depot-load", 0.1, 8 * MS, 8 * SECOND, 2 * SECOND, 2.5, 2.0, effect="dedup", window=25 * SECOND
)  # its keys show what was done twice
ENGINES, CORES = 4, 4.0
ROUTE = f"""
[[timings.route]]
class = "{LOOKUP.name}"
attempts = 2
"""  # what edits change is in force in every way from the start: a route costs each request something by itself
NO_RETRY = Retry(most=0)  # another gateway would serve what the measured one refuses
ANSWER_SECONDS = 5.0
READY_SECONDS = 30.0
SETTLED_SECONDS = 10.0  # for the last edit to be in force
OPEN_SECONDS = 20.0  # for the last requests to be over


def process_cpu_seconds(pid: int) -> float:
    """User and system time of that process, as in /proc/PID/stat but not rounded to ticks: its CPU clock by the
    number that clock_getcpuclockid(3) gives on Linux."""
    return time.clock_gettime((~pid << 3) | 2)


def resident_bytes(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text("ascii", errors="replace").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def plan(way: Way, seed: int) -> Plan:
    """The same gateways, engines and requests in each way; only the first gateway gets requests."""
    return Plan(
        gateways=len(ROLES),
        engines=ENGINES,
        cores=CORES,
        kinds=(LOOKUP, DEPOT_LOAD),
        seed=seed,
        fleet=way is not Way.PLAIN,
        roles=ROLES if way is Way.DISTRIBUTION else (),
        operator_more=ROUTE,
    )


def _unserved(totals: Totals) -> dict[str, int]:
    """How requests ended that were not served, and the words of failures."""
    counts = {"refused": totals.refused, "failed": totals.failed, "gave_up": totals.gave_up} | totals.errors
    return {how: count for how, count in counts.items() if count}


class Mark(msgspec.Struct, frozen=True):
    """How it stands at one moment of a window."""

    time: float
    served: int
    cpu: float
    resident: int


class OverheadFleet:
    """Its processes run from `start` to `close`."""

    def __init__(self, way: Way, seed: int, reactor: Any):
        self.way = way
        self._seed, self._reactor = seed, reactor
        self._rig = Rig(plan(way, seed), reactor)

    def start(self) -> None:
        try:
            self._rig.up()
        except BaseException:
            self._rig.close()
            raise

    def close(self) -> None:
        self._rig.close()

    # ---- the control port

    def _call(self, name: str, call: str) -> dict[str, Any]:
        answers: list[dict[str, Any] | None] = []
        say(self._reactor, self._rig.gateways[name].control, {"call": call}, answers.append, ANSWER_SECONDS)
        until(self._reactor, lambda: bool(answers), ANSWER_SECONDS + 1, f"an answer of {name} to {call}")
        return answers[0] or {}

    def wait_settled(self) -> None:
        """Until the fleet is whole: with distribution, until the coordinator watches a relay and the voter knows it."""
        end = time.monotonic() + READY_SECONDS
        while not self._settled():
            if time.monotonic() > end:
                raise RuntimeError(f"the fleet with {self.way.value} was not whole within {READY_SECONDS:g} s")
            pass_time(self._reactor, 0.1)

    def _settled(self) -> bool:
        if self.way is Way.PLAIN:
            return True
        if len(self._call(MEASURED, "fleet").get("heard", ())) != len(ROLES):
            return False
        return self.way is Way.MEMBERS or self._watches()

    def _watches(self) -> bool:
        expected = self._call(VOTER, "rules.status").get("expected")
        return expected == 1 and self._call(MEASURED, "rules.status").get("upstream") in RELAYS

    def mail(self) -> Mail:
        """Of distribution at the coordinator so far; nothing in other ways. `seconds` is the time now."""
        if self.way is not Way.DISTRIBUTION:
            return Mail()
        figures = self._call(MEASURED, "figures")["figures"]
        names = ("bytes_in", "bytes_out", "packets_in", "packets_out")
        return Mail(time.monotonic(), *(int(figures[f"distribution_mail_{name}"]) for name in names))

    # ---- under traffic

    def measure(self, rate: float, warm_up: float, seconds: float, edit_rate: float) -> Window:
        """Steady traffic, measured between the warm-up and the end. With distribution there are edits at that multiple
        of the target's pace."""
        load = Load(rate=rate, end=int((warm_up + seconds) * SECOND), weights={MEASURED: 1.0})
        trial = Trial(self._rig, [load], self._seed, NO_RETRY)
        control = self._rig.gateways[VOTER].control
        edits = PacedEdits(self._reactor, control, LOOKUP.name, spacing(edit_rate))
        before = self.mail()
        if self.way is Way.DISTRIBUTION:
            edits.start()
        trial.start()
        pass_time(self._reactor, warm_up)
        start = self._mark(trial)
        pass_time(self._reactor, seconds)
        end = self._mark(trial)
        edits.stop()
        until(self._reactor, lambda: edits.quiet, ANSWER_SECONDS + 1, "the answer to the last edit")
        current = self._in_force(edits.revision)
        mail = self.mail() - before
        trial.stop()
        verdict = trial.verdict(self.way.value)
        totals = trial.clients.totals
        trial.close()
        return Window(
            way=self.way,
            seconds=end.time - start.time,
            served=end.served - start.served,
            cpu=end.cpu - start.cpu,
            resident=end.resident,
            requests=totals.requests,
            served_in_all=totals.served,
            unserved=_unserved(totals),
            faults=verdict.faults,
            edits=edits.acknowledged,
            failed_edits=tuple(edits.failed),
            current=current,
            mail=mail,
        )

    def _mark(self, trial: Trial) -> Mark:
        pid = self._rig.processes.by_name[MEASURED].pid
        return Mark(time.monotonic(), trial.clients.totals.served, process_cpu_seconds(pid), resident_bytes(pid))

    def _in_force(self, revision: int) -> bool:
        """Whether the coordinator comes to that revision soon."""
        if self.way is not Way.DISTRIBUTION:
            return True
        end = time.monotonic() + SETTLED_SECONDS
        while self._call(MEASURED, "rules.status").get("revision") != revision:
            if time.monotonic() > end:
                return False
            pass_time(self._reactor, 0.05)
        return True
