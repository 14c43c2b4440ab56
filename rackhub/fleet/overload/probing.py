"""The schedule of health checks: each engine is checked by two members, the others use their results.

The members are ranked by rendezvous hashing over those that this gateway can reach. A prober without results for as
long as a result counts is skipped in favour of the next in the ranking, up to `MAXIMUM_PROBERS`.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from rackhub.fleet.overload.records import REASONS, HealthReport, bounded, code
from rackhub.fleet.overload.rendezvous import ranked
from rackhub.fleet.ports import Name

MS = 1_000
PROBERS = 2
MAXIMUM_PROBERS = 3
COUNTS = 1_500 * MS  # the maximum age of a result: three intervals of the module's health checks
PAGE = 56  # results in one record
PAGES = 8  # records; further results are not published


class Result(NamedTuple):
    """The result of a health check, `at` by the local clock."""

    at: int
    reason: str
    elapsed: int
    module_report: int  # one byte of the prober's module; -1: none


class HealthCheckSchedule:
    """The engines that this gateway checks, and the known results of all."""

    def __init__(self, local_name: Name, counts: int = COUNTS):
        self.local_name = local_name
        self._counts = counts
        self.engines: dict[str, int] = {}  # codes by name
        self._names: dict[int, str] = {}
        self._ranking: dict[str, list[Name]] = {}
        self._reachable: frozenset[Name] = frozenset()
        self._results: dict[tuple[Name, str], Result] = {}
        self._since: dict[str, int] = {}  # when the ranking last changed
        self.targets: tuple[str, ...] = ()

    def listed(self, engines: Iterable[str]) -> None:
        """Apply a new list of engines."""
        self.engines = {engine: code(engine) for engine in engines}
        self._names = {number: engine for engine, number in self.engines.items()}
        self._results = {key: result for key, result in self._results.items() if key[1] in self.engines}
        self._ranking = {}
        self._since = {}
        self._reachable = frozenset()

    def update(self, now: int, reachable: frozenset[Name]) -> None:
        """Recompute the targets; `reachable` are the reachable members and this one."""
        if reachable != self._reachable:
            self._reachable = reachable
            for engine in self.engines:
                ranking = ranked(engine, reachable)[: MAXIMUM_PROBERS + 1]
                if self._ranking.get(engine) != ranking:
                    self._ranking[engine] = ranking
                    self._since[engine] = now
        self.targets = tuple(engine for engine in self.engines if self._is_prober(now, engine))

    def _is_prober(self, now: int, engine: str) -> bool:
        """Return whether this gateway is one of the first `PROBERS` that are not silent."""
        ranking = self._ranking.get(engine, [])
        if self.local_name not in ranking[:MAXIMUM_PROBERS]:
            return False
        before = ranking[: ranking.index(self.local_name)]
        active = sum(
            now - self._results[name, engine].at <= self._counts
            if (name, engine) in self._results
            else now - self._since[engine] <= self._counts
            for name in before
        )
        return active < PROBERS

    def completed(self, now: int, engine: str, reason: str, elapsed: int) -> None:
        """Record the result of an own health check."""
        if engine in self.engines:
            before = self._results.get((self.local_name, engine))
            report = before.module_report if before is not None and before.reason == reason else -1
            self._results[self.local_name, engine] = Result(now, reason, elapsed, report)

    def set_module_report(self, engine: int, report: int) -> bool:
        """Attach the module's report to the own result of the engine with this code; return False if there is none."""
        name = self._names.get(engine)
        own = self._results.get((self.local_name, name)) if name is not None else None
        if name is None or own is None:
            return False
        self._results[self.local_name, name] = own._replace(module_report=report)
        return True

    def pages(self, now: int) -> list[list[HealthReport]]:
        """Return the own results that still count, in pages."""
        reports = [
            HealthReport(
                self.engines[engine],
                bounded((now - result.at) // MS),
                REASONS.index(result.reason),
                min(bounded(result.elapsed), 2**31),
                result.module_report + 1,
            )
            for (owner, engine), result in sorted(self._results.items())
            if owner == self.local_name and now - result.at <= self._counts
        ]
        return [reports[at : at + PAGE] for at in range(0, min(len(reports), PAGE * PAGES), PAGE)]

    def receive(self, now: int, owner: Name, age: int, reports: Iterable[HealthReport]) -> list[tuple[str, Result]]:
        """Record the results of another member, `age` microseconds old; return those that are new and still count."""
        new = []
        for report in reports:
            engine = self._names.get(report.engine)
            at = now - age - report.age * MS
            if engine is None or owner not in self._ranking.get(engine, ()) or now - at > self._counts:
                continue  # not listed, not from a prober of the engine, or too old
            known = self._results.get((owner, engine))
            if known is not None and at <= known.at + MS:
                continue
            result = Result(at, REASONS[report.reason], report.elapsed, report.module_report - 1)
            self._results[owner, engine] = result
            new.append((engine, result))
        return new

    def latest(self, now: int, engine: str) -> Result | None:
        """Return the newest result that still counts, None if there is none."""
        results = [
            self._results[name, engine]
            for name in (*self._ranking.get(engine, ()), self.local_name)
            if (name, engine) in self._results
        ]
        best = max(results, key=lambda result: result.at, default=None)
        return best if best is not None and now - best.at <= self._counts else None

    def forget(self, now: int, members: Mapping[Name, object]) -> None:
        """Drop old results and those of members that are gone."""
        self._results = {
            (owner, engine): result
            for (owner, engine), result in self._results.items()
            if owner in members and now - result.at <= 8 * self._counts
        }
