"""What clients asked for and what became of it, in sums: totals, worth second by second, latencies by class."""

from typing import Any

from rackhub.trials.processes.audit import Totals
from rackhub.trials.processes.histogram import Latencies
from rackhub.trials.processes.link import Request
from rackhub.trials.processes.timeline import Second, Timeline

SECOND = 1_000_000
LATER = 0.3  # part of the worth of an answer past its wanted time


class Score:
    """`began`: when the run did, to which seconds are counted. `open`: requests that are not over."""

    def __init__(self) -> None:
        self.totals, self.latencies, self.timeline = Totals(), Latencies(), Timeline()
        self.began = self.open = 0

    def _second(self, request: Request) -> Second:
        return self.timeline.at((request.at - self.began) // SECOND)

    def came(self, request: Request) -> None:
        self.open += 1
        if request.arrival.bad:
            self.totals.bad += 1
            return
        second, worth = self._second(request), request.arrival.kind.worth
        second.requests += 1
        second.asked += worth
        self.totals.requests += 1
        self.totals.worth_asked += worth

    def served(self, request: Request, now: int) -> None:
        arrival, took = request.arrival, now - request.at
        if not arrival.bad:
            self.latencies.add(arrival.kind.name, took)
            wanted = arrival.kind.objective + arrival.kind.stretch * arrival.work / arrival.kind.threads
            worth = arrival.kind.worth * (1.0 if took <= wanted else LATER)
            self.totals.worth_served += worth
            self._second(request).served += worth
        self.over(request, "served")

    def error(self, error: dict[str, Any]) -> None:
        why = str(error.get("message"))[:60]
        self.totals.errors[why] = self.totals.errors.get(why, 0) + 1

    def over(self, request: Request, how: str) -> None:
        """Once, whoever says so."""
        if request.over:
            return
        request.over = how
        self.open -= 1
        if not request.arrival.bad:
            setattr(self.totals, how, getattr(self.totals, how) + 1)
