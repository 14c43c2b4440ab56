"""The schedule of health checks: two members check each engine, and the others use their results.

The reachable members are ranked by rendezvous hashing, and the first `CHECKERS` check. A member without a result for
`RESULT_LIFETIME` is skipped, and the next in the ranking checks in its place, up to `MAXIMUM_CHECKERS`.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from rackhub.fleet.overload.records import REASONS, HealthReport, bounded, code
from rackhub.fleet.overload.rendezvous import ranked
from rackhub.fleet.ports import Name

MS = 1_000
CHECKERS = 2  # members that check each engine
MAXIMUM_CHECKERS = 3  # members of the ranking that may check it when others are unresponsive
RESULT_LIFETIME = 1_500 * MS  # three intervals of the policy module's health checks
PAGE_SIZE = 56  # maximum number of results in one gossip record
PAGES = 8  # maximum number of records; results that do not fit are not published


class Result(NamedTuple):
    """The result of a health check, complete at the local time `at`."""

    at: int
    reason: str
    elapsed: int
    module_report: int  # one byte, the report of the checking member's policy module; -1: there is none


class HealthCheckSchedule:
    """The engines that this gateway checks, and the known results of all members.

    `lifetime` is the age in microseconds past which a result no longer counts.
    """

    def __init__(self, local_name: Name, lifetime: int = RESULT_LIFETIME):
        self.local_name = local_name
        self._lifetime = lifetime
        self.engines: dict[str, int] = {}  # code of each listed engine, by name
        self._names: dict[int, str] = {}
        self._ranking: dict[str, list[Name]] = {}
        self._reachable: frozenset[Name] = frozenset()
        self._results: dict[tuple[Name, str], Result] = {}
        self._ranked_since: dict[str, int] = {}  # time of the last change of the ranking, by engine
        self.targets: tuple[str, ...] = ()

    def set_engines(self, engines: Iterable[str]) -> None:
        """Apply a new list of engines."""
        self.engines = {engine: code(engine) for engine in engines}
        self._names = {number: engine for engine, number in self.engines.items()}
        self._results = {key: result for key, result in self._results.items() if key[1] in self.engines}
        self._ranking = {}
        self._ranked_since = {}
        self._reachable = frozenset()

    def update(self, now: int, reachable: frozenset[Name]) -> None:
        """Recompute the targets; `reachable` are the reachable members and this one."""
        if reachable != self._reachable:
            self._reachable = reachable
            for engine in self.engines:
                ranking = ranked(engine, reachable)[: MAXIMUM_CHECKERS + 1]
                if self._ranking.get(engine) != ranking:
                    self._ranking[engine] = ranking
                    self._ranked_since[engine] = now
        self.targets = tuple(engine for engine in self.engines if self._is_checker(now, engine))

    def _is_checker(self, now: int, engine: str) -> bool:
        """Return whether this gateway is one of the first `CHECKERS` members with recent results."""
        ranking = self._ranking.get(engine, [])
        if self.local_name not in ranking[:MAXIMUM_CHECKERS]:
            return False
        before = ranking[: ranking.index(self.local_name)]
        active = sum(
            now - self._results[name, engine].at <= self._lifetime
            if (name, engine) in self._results
            else now - self._ranked_since[engine] <= self._lifetime
            for name in before
        )
        return active < CHECKERS

    def completed(self, now: int, engine: str, reason: str, elapsed: int) -> None:
        """Record the result of a local health check."""
        if engine in self.engines:
            before = self._results.get((self.local_name, engine))
            report = before.module_report if before is not None and before.reason == reason else -1
            self._results[self.local_name, engine] = Result(now, reason, elapsed, report)

    def set_module_report(self, engine: int, report: int) -> bool:
        """Attach the module's report to the local result of the engine with this code; return whether there is one."""
        name = self._names.get(engine)
        local = self._results.get((self.local_name, name)) if name is not None else None
        if name is None or local is None:
            return False
        self._results[self.local_name, name] = local._replace(module_report=report)
        return True

    def pages(self, now: int) -> list[list[HealthReport]]:
        """Return the local results that still count, in pages."""
        reports = [
            HealthReport(
                self.engines[engine],
                bounded((now - result.at) // MS),
                REASONS.index(result.reason),
                min(bounded(result.elapsed), 2**31),
                result.module_report + 1,
            )
            for (owner, engine), result in sorted(self._results.items())
            if owner == self.local_name and now - result.at <= self._lifetime
        ]
        return [reports[at : at + PAGE_SIZE] for at in range(0, min(len(reports), PAGE_SIZE * PAGES), PAGE_SIZE)]

    def receive(self, now: int, owner: Name, age: int, reports: Iterable[HealthReport]) -> list[tuple[str, Result]]:
        """Record the results of another member, `age` microseconds old; return those that are new and still count."""
        new = []
        for report in reports:
            engine = self._names.get(report.engine)
            at = now - age - report.age * MS
            if engine is None or owner not in self._ranking.get(engine, ()) or now - at > self._lifetime:
                # the engine is not listed, its owner is not one of the members that check it, or the result is too old
                continue
            known = self._results.get((owner, engine))
            if known is not None and at <= known.at + MS:
                continue
            result = Result(at, REASONS[report.reason], report.elapsed, report.module_report - 1)
            self._results[owner, engine] = result
            new.append((engine, result))
        return new

    def latest(self, now: int, engine: str) -> Result | None:
        """Return the newest result that still counts, or None."""
        results = [
            self._results[name, engine]
            for name in (*self._ranking.get(engine, ()), self.local_name)
            if (name, engine) in self._results
        ]
        best = max(results, key=lambda result: result.at, default=None)
        return best if best is not None and now - best.at <= self._lifetime else None

    def forget(self, now: int, members: Mapping[Name, object]) -> None:
        """Drop old results and those of members that are gone."""
        self._results = {
            (owner, engine): result
            for (owner, engine), result in self._results.items()
            if owner in members and now - result.at <= 8 * self._lifetime
        }
