"""One run: a rig, its clients and a schedule of faults, and the verdict on what was seen."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

import msgspec

from rackhub.fleet.ports import Address
from rackhub.trials.processes import schedule as faults
from rackhub.trials.processes.arrivals import Load, drawn
from rackhub.trials.processes.audit import Totals
from rackhub.trials.processes.clients import Clients, Retry
from rackhub.trials.processes.clock import NotSoon, pass_time, until
from rackhub.trials.processes.link import Request
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.schedule import Schedule

SECOND = 1_000_000
PATIENT, CALM = Retry(), Schedule()


class Verdict(msgspec.Struct):
    """What one case came to. `faults`: of safety, by kind. `unsettled`: what the final state should be and is not.
    `figures`: what was measured. `skipped`: why it was not run; such a one proves nothing."""

    case: str
    seed: int
    faults: dict[str, int] = {}
    examples: dict[str, list[str]] = {}
    unsettled: list[str] = []
    figures: dict[str, Any] = {}
    totals: Totals | None = None
    latencies: dict[str, dict[str, float]] = {}
    did: list[str] = []
    skipped: str = ""

    def safe(self) -> bool:
        return not self.faults

    def good(self) -> bool:
        return self.safe() and not self.unsettled and not self.skipped


class Trial:
    """Clients and faults on a rig that is up. `seconds` is how long requests come."""

    def __init__(
        self,
        rig: Rig,
        loads: Sequence[Load],
        seed: int,
        retry: Retry = PATIENT,
        steps: Schedule = CALM,
        judge: Callable[[Request, dict[str, Any]], str | None] | None = None,
        through: Mapping[str, Address] | None = None,
    ):
        """`through`: addresses where clients reach gateways, in place of their own."""
        self.rig, self.seed, self.loads = rig, seed, list(loads)
        self.seconds = max(load.end for load in loads) / SECOND
        self._steps, self._judge = steps, judge
        self.clients = Clients(
            rig.reactor,
            rig.clock,
            {name: each.listen for name, each in rig.gateways.items()} | dict(through or {}),
            retry,
            seed,
            self.away,
            lambda rid: rig.attempts.ran.get(rid, set()),
            lambda name: rig.processes.by_name[name].takes(),
            judge,
        )
        self.began = 0

    def away(self, gateway: str, since: int, until: int) -> bool:
        return self.rig.processes.by_name[gateway].away_in(since, until)

    def start(self) -> None:
        """Requests and faults begin; `run` waits for their end, `stop` ends them before it."""
        self.began = self.rig.clock.now()
        self.did = faults.run(self._steps, self.rig)
        self.clients.run(drawn(self.rig.plan, self.loads, self.seed))

    def stop(self) -> None:
        """No more requests; what is open ends."""
        self.clients.stop()
        self._wait(20.0)

    def run(self, patience: float = 20.0) -> "Trial":
        """Until all requests came and all are over."""
        rig = self.rig
        self.start()
        pass_time(rig.reactor, self.seconds)
        last = max((step.at_ms for step in self._steps.step), default=0) / 1_000
        pass_time(rig.reactor, last + 0.1 - self.seconds)
        self._wait(patience)
        return self

    def _wait(self, patience: float) -> None:
        rig = self.rig
        try:
            until(rig.reactor, self.clients.quiet, patience, "every request over")
        except NotSoon:
            for request in self.clients.requests:
                if not request.over:
                    self.clients.found.add("lost", f"request {request.number} at {request.gateway} is not over")
        pass_time(rig.reactor, 0.2)  # a second answer would come now

    def at(self, second: float) -> int:
        """That second of the run by the rig's clock."""
        return self.began + int(second * SECOND)

    def amplification(self, begin: float, end: float) -> float:
        """Attempts at engines for each request that clients began in that time; a client's further tries count as
        attempts, not as requests."""
        asked = sum(second.requests for at, second in self.clients.timeline.seconds.items() if begin <= at < end)
        return self.rig.attempts.requests(self.at(begin), self.at(end))[1] / max(asked, 1)

    def verdict(self, case: str) -> Verdict:
        """Of safety; the case adds what it asks of the final state."""
        rig, clients = self.rig, self.clients
        found = clients.found
        for one, other in rig.attempts.doubled:
            found.add("two_attempts", f"{one.id} at {one.engine} and {other.engine} by {other.gateway}")
        for key, count in rig.attempts.effects.items():
            if count > 1:
                found.add("effects_twice", f"key {key}: {count}")
        for sent in rig.attempts.after_told:
            if not self.away(sent.gateway, sent.at - 5 * SECOND, sent.at):
                found.add("after_told", f"{sent.gateway} to {sent.engine}")
        for process in rig.processes.by_name.values():
            process.running()
            for text in process.crashed:
                found.add("crashed", text)
            if "Traceback" in process.said():
                found.add("crashed", f"{process.name}: a traceback in its log: {traceback_of(process.said())}")
        for engine in rig.engines.values():
            if engine.falls:
                found.add("cold_fell", f"{engine.name}: {engine.cores.worst:.2f} of what pushes it over")
        totals = clients.totals
        figures = {
            "worth": round(totals.share(), 4),
            "tries_a_request": round(totals.tries / max(totals.requests, 1), 3),
            "attempts_a_request": round(len(rig.attempts.all) / max(totals.requests, 1), 3),
            "cold_worst": round(
                max((max(each.worst_cold, each.cores.worst) for each in rig.engines.values()), default=0.0), 3
            ),
            "switch": rig.switch.counts(),
            "by_second": [
                round(second.served / second.asked, 2) if second.asked else None
                for _, second in sorted(clients.timeline.seconds.items())
            ],
        }
        return Verdict(
            case,
            self.seed,
            found.faults(),
            found.cases,
            [],
            figures,
            totals,
            clients.latencies.table(),
            [f"{(at - self.began) / SECOND:.1f} s {text}" for at, text in self.did],
        )

    did: list[tuple[int, str]] = []

    def close(self) -> None:
        self.clients.close()


def traceback_of(log: str) -> str:
    """The last line of the first traceback."""
    lines = log[log.index("Traceback") :].splitlines()[1:]
    return next((line for line in lines if line and not line.startswith(" ")), "")[:200]
