"""Simulated engine for the overload trial. It shares its cores evenly among all threads, at most one core each; above
`LIMIT` threads per core everything slows down, and at `FULL` threads per core it rejects work.
"""

import heapq
from typing import Protocol

from rackhub.core.request import Attempt
from rackhub.trials.fleet.twin import SECOND, Time

CORES, LIMIT, FULL, SLOWDOWN_PER_THREAD = 8.0, 1.5, 6.0, 0.2


class Port(Protocol):
    """Receives the outcome of attempts."""

    def ended(self, attempt: Attempt, reason: str, report: dict[str, float]) -> None: ...


class Engine:
    """Keeps virtual progress: the core-seconds that one thread has completed so far."""

    def __init__(self, time: Time, name: str):
        self.time, self.name, self.up, self.probes = time, name, True, 0
        self.jobs: dict[Attempt, tuple[float, int, Port]] = {}
        self._heap: list[tuple[float, int, Attempt]] = []
        self._progress, self._settled_at, self._threads, self._schedule_number, self._attempt_count = 0.0, 0, 0, 0, 0

    def _speed(self) -> float:
        if not self._threads:
            return 1.0
        threads_per_core = self._threads / CORES
        return min(1.0, 1 / threads_per_core) / (1 + SLOWDOWN_PER_THREAD * max(threads_per_core - LIMIT, 0))

    def _settle(self) -> None:
        now = self.time.now()
        self._progress += (now - self._settled_at) / SECOND * self._speed()
        self._settled_at = now

    def take(self, gateway: Port, attempt: Attempt, threads: int) -> None:
        self._settle()
        if not self.up:
            return gateway.ended(attempt, "NOCONN", {})
        if self._threads + threads > FULL * CORES:
            return gateway.ended(attempt, "FULL", self.report())
        self._threads += threads
        self._attempt_count += 1
        end = self._progress + float(str(attempt.query.tag)) / threads
        self.jobs[attempt] = (end, threads, gateway)
        heapq.heappush(self._heap, (end, self._attempt_count, attempt))
        self._schedule_completion()

    def report(self) -> dict[str, float]:
        return {"busy_reqs": float(len(self.jobs)), "pending": 0.0}

    def drop(self, attempt: Attempt) -> None:
        if attempt in self.jobs:
            self._settle()
            self._threads -= self.jobs.pop(attempt)[1]
            self._schedule_completion()

    def _schedule_completion(self) -> None:
        self._schedule_number += 1
        while self._heap and self._heap[0][2] not in self.jobs:
            heapq.heappop(self._heap)
        if self._heap:
            schedule_number, left = self._schedule_number, max(self._heap[0][0] - self._progress, 0) / self._speed()
            self.time.later(int(left * SECOND) + 1, lambda: self._due(schedule_number))

    def _due(self, schedule_number: int) -> None:
        if schedule_number != self._schedule_number:
            return
        self._settle()
        while self._heap and (self._heap[0][2] not in self.jobs or self._heap[0][0] <= self._progress + 1e-9):
            attempt = heapq.heappop(self._heap)[2]
            if attempt in self.jobs:
                _, threads, gateway = self.jobs.pop(attempt)
                self._threads -= threads
                gateway.ended(attempt, "GOOD", self.report())
        self._schedule_completion()
