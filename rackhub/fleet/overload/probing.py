"""Each engine is probed by two members, whoever else there is; the others read what they found.

Who probes goes by `rendezvous` over those whom this gateway hears. A prober that is silent on an engine for as long as
a result counts is passed over: the next one in line takes its turn, so a third, and at most `MOST`.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from rackhub.fleet.overload.records import REASONS, HealthReport, bounded, code
from rackhub.fleet.overload.rendezvous import ranked
from rackhub.fleet.ports import Name

MS = 1_000
PROBERS, MOST = 2, 3
COUNTS = 1_500 * MS  # the age from which a result counts for nothing: three probes of a module's half second
PAGE, PAGES = 56, 8  # engines in one record, and records: past these no result is told on


class Result(NamedTuple):
    """What a probe found: by the own clock, at `at`."""

    at: int
    reason: str
    elapsed: int
    module_report: int  # of the prober's module, one byte; -1: none


class HealthCheckSchedule:
    """Whom this gateway probes, and what is known of each engine."""

    def __init__(self, me: Name, counts: int = COUNTS):
        self.local_name, self._counts = me, counts
        self.engines: dict[str, int] = {}  # to their codes
        self._names: dict[int, str] = {}
        self._ranking: dict[str, list[Name]] = {}
        self._reachable: frozenset[Name] = frozenset()
        self._results: dict[tuple[Name, str], Result] = {}
        self._since: dict[str, int] = {}  # when its line of probers last changed
        self.targets: tuple[str, ...] = ()

    def listed(self, engines: Iterable[str]) -> None:
        self.engines = {engine: code(engine) for engine in engines}
        self._names = {number: engine for engine, number in self.engines.items()}
        self._results = {(of, engine): told for (of, engine), told in self._results.items() if engine in self.engines}
        self._ranking, self._since, self._reachable = {}, {}, frozenset()

    def update(self, now: int, heard: frozenset[Name]) -> None:
        """Reckon whom to probe, for those whom this gateway hears, the own one too."""
        if heard != self._reachable:
            self._reachable = heard
            for engine in self.engines:
                line = ranked(engine, heard)[: MOST + 1]
                if self._ranking.get(engine) != line:
                    self._ranking[engine], self._since[engine] = line, now
        self.targets = tuple(engine for engine in self.engines if self._is_prober(now, engine))

    def _is_prober(self, now: int, engine: str) -> bool:
        """Whether it is this gateway's: it is one of the first two that are not silent."""
        line = self._ranking.get(engine, [])
        if self.local_name not in line[:MOST]:
            return False
        before = line[: line.index(self.local_name)]
        speaking = sum(
            now - self._results[name, engine].at <= self._counts
            if (name, engine) in self._results
            else now - self._since[engine] <= self._counts
            for name in before
        )
        return speaking < PROBERS

    def completed(self, now: int, engine: str, reason: str, elapsed: int) -> None:
        """The end of an own probe."""
        if engine in self.engines:
            before = self._results.get((self.local_name, engine))
            word = before.module_report if before is not None and before.reason == reason else -1
            self._results[self.local_name, engine] = Result(now, reason, elapsed, word)

    def set_module_report(self, engine: int, word: int) -> bool:
        """The module's word on an engine, which it tells with each of its own probes: it goes with the result."""
        name = self._names.get(engine)
        own = self._results.get((self.local_name, name)) if name is not None else None
        if name is None or own is None:
            return False
        self._results[self.local_name, name] = own._replace(module_report=word)
        return True

    def pages(self, now: int) -> list[list[HealthReport]]:
        """The own results that still count, to be posted each under its number."""
        seen = [
            HealthReport(
                self.engines[engine],
                bounded((now - told.at) // MS),
                REASONS.index(told.reason),
                min(bounded(told.elapsed), 2**31),
                told.module_report + 1,
            )
            for (of, engine), told in sorted(self._results.items())
            if of == self.local_name and now - told.at <= self._counts
        ]
        return [seen[at : at + PAGE] for at in range(0, min(len(seen), PAGE * PAGES), PAGE)]

    def receive(self, now: int, owner: Name, age: int, seen: Iterable[HealthReport]) -> list[tuple[str, Result]]:
        """Another member's results, in a record so old: those that are new here, and still count."""
        new = []
        for one in seen:
            engine, at = self._names.get(one.engine), now - age - one.age * MS
            if engine is None or owner not in self._ranking.get(engine, ()) or now - at > self._counts:
                continue  # not listed, not of one who is to probe it, or too old
            known = self._results.get((owner, engine))
            if known is not None and at <= known.at + MS:
                continue
            result = Result(at, REASONS[one.reason], one.elapsed, one.module_report - 1)
            self._results[owner, engine] = result
            new.append((engine, result))
        return new

    def latest(self, now: int, engine: str) -> Result | None:
        """The newest that anyone found and that still counts; None: nobody knows."""
        told = [
            self._results[name, engine]
            for name in (*self._ranking.get(engine, ()), self.local_name)
            if (name, engine) in self._results
        ]
        best = max(told, key=lambda one: one.at, default=None)
        return best if best is not None and now - best.at <= self._counts else None

    def forget(self, now: int, members: Mapping[Name, object]) -> None:
        """What is of members gone for good, or long past, goes."""
        self._results = {
            (of, engine): told
            for (of, engine), told in self._results.items()
            if of in members and now - told.at <= 8 * self._counts
        }
