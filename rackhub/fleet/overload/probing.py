"""Each engine is probed by two members, whoever else there is; the others read what they found.

Who probes goes by `rendezvous` over those whom this gateway hears. A prober that is silent on an engine for as long as
a result counts is passed over: the next one in line takes its turn, so a third, and at most `MOST`.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from rackhub.fleet.overload.records import REASONS, Seen, bounded, code
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
    word: int  # of the prober's module, one byte; -1: none


class Probing:
    """Whom this gateway probes, and what is known of each engine."""

    def __init__(self, me: Name, counts: int = COUNTS):
        self.me, self._counts = me, counts
        self.engines: dict[str, int] = {}  # to their codes
        self._names: dict[int, str] = {}
        self._line: dict[str, list[Name]] = {}
        self._heard: frozenset[Name] = frozenset()
        self._told: dict[tuple[Name, str], Result] = {}
        self._since: dict[str, int] = {}  # when its line of probers last changed
        self.mine: tuple[str, ...] = ()

    def listed(self, engines: Iterable[str]) -> None:
        self.engines = {engine: code(engine) for engine in engines}
        self._names = {number: engine for engine, number in self.engines.items()}
        self._told = {(of, engine): told for (of, engine), told in self._told.items() if engine in self.engines}
        self._line, self._since, self._heard = {}, {}, frozenset()

    def see(self, now: int, heard: frozenset[Name]) -> None:
        """Reckon whom to probe, for those whom this gateway hears, the own one too."""
        if heard != self._heard:
            self._heard = heard
            for engine in self.engines:
                line = ranked(engine, heard)[: MOST + 1]
                if self._line.get(engine) != line:
                    self._line[engine], self._since[engine] = line, now
        self.mine = tuple(engine for engine in self.engines if self._turn(now, engine))

    def _turn(self, now: int, engine: str) -> bool:
        """Whether it is this gateway's: it is one of the first two that are not silent."""
        line = self._line.get(engine, [])
        if self.me not in line[:MOST]:
            return False
        before = line[: line.index(self.me)]
        speaking = sum(
            now - self._told[name, engine].at <= self._counts
            if (name, engine) in self._told
            else now - self._since[engine] <= self._counts
            for name in before
        )
        return speaking < PROBERS

    def found(self, now: int, engine: str, reason: str, elapsed: int) -> None:
        """The end of an own probe."""
        if engine in self.engines:
            before = self._told.get((self.me, engine))
            word = before.word if before is not None and before.reason == reason else -1
            self._told[self.me, engine] = Result(now, reason, elapsed, word)

    def said(self, engine: int, word: int) -> bool:
        """The module's word on an engine, which it tells with each of its own probes: it goes with the result."""
        name = self._names.get(engine)
        own = self._told.get((self.me, name)) if name is not None else None
        if name is None or own is None:
            return False
        self._told[self.me, name] = own._replace(word=word)
        return True

    def pages(self, now: int) -> list[list[Seen]]:
        """The own results that still count, to be posted each under its number."""
        seen = [
            Seen(
                self.engines[engine],
                bounded((now - told.at) // MS),
                REASONS.index(told.reason),
                min(bounded(told.elapsed), 2**31),
                told.word + 1,
            )
            for (of, engine), told in sorted(self._told.items())
            if of == self.me and now - told.at <= self._counts
        ]
        return [seen[at : at + PAGE] for at in range(0, min(len(seen), PAGE * PAGES), PAGE)]

    def heard_of(self, now: int, owner: Name, age: int, seen: Iterable[Seen]) -> list[tuple[str, Result]]:
        """Another member's results, in a record so old: those that are new here, and still count."""
        new = []
        for one in seen:
            engine, at = self._names.get(one.engine), now - age - one.age * MS
            if engine is None or owner not in self._line.get(engine, ()) or now - at > self._counts:
                continue  # not listed, not of one who is to probe it, or too old
            known = self._told.get((owner, engine))
            if known is not None and at <= known.at + MS:
                continue
            result = Result(at, REASONS[one.reason], one.elapsed, one.word - 1)
            self._told[owner, engine] = result
            new.append((engine, result))
        return new

    def latest(self, now: int, engine: str) -> Result | None:
        """The newest that anyone found and that still counts; None: nobody knows."""
        told = [
            self._told[name, engine] for name in (*self._line.get(engine, ()), self.me) if (name, engine) in self._told
        ]
        best = max(told, key=lambda one: one.at, default=None)
        return best if best is not None and now - best.at <= self._counts else None

    def forget(self, now: int, members: Mapping[Name, object]) -> None:
        """What is of members gone for good, or long past, goes."""
        self._told = {
            (of, engine): told
            for (of, engine), told in self._told.items()
            if of in members and now - told.at <= 8 * self._counts
        }
