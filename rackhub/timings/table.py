"""Which route a request meets, with what it sets filled in. Pure; looked up for every request, so laid out for that."""

from bisect import bisect_right
from collections.abc import Sequence
from typing import Any

import msgspec

from rackhub import interface
from rackhub.core.request_policy import AttemptTerms
from rackhub.timings.check import check, edges, meets, names
from rackhub.timings.routes import REASONS, Backoff, Learned, Reason, Route, learned, read_routes

MS = 1_000


class EngineTerms(msgspec.Struct, frozen=True, gc=False):
    """What holds for one attempt, on one kind of engine. Times in microseconds, 0: none."""

    route: int | None = None  # where in the file each came from; None: no route
    timeout: int = 0
    learned: Learned | None = None
    learned_least: float = 0.0  # milliseconds
    learned_most: float = 0.0
    copy_after: int = 0
    copy_learned: Learned | None = None
    copy_share: float = 0.0
    priority: int | None = None
    fixed: AttemptTerms | None = None  # all of it, where nothing of it is learned or a copy


class Terms(msgspec.Struct, frozen=True):
    """What holds for one request. Times in microseconds, 0: as without a route."""

    route: int | None
    attempts: int
    backoff: Backoff | None
    retry_on: frozenset[Reason]
    repeat_within: int
    share: float | None
    over: int
    floor: int
    kinds: dict[str, EngineTerms]  # by kind of engine; "" for kinds that the site does not tell
    copies: bool  # on any kind

    def on(self, kind: str) -> EngineTerms:
        found = self.kinds.get(kind)
        return found if found is not None else self.kinds[""]


def read_table(part: dict[str, Any], settings: interface.Settings) -> "Table":
    """The `[timings]` part as a table, checked against the site's settings; `ValueError` with all its faults."""
    routes, faults = read_routes(part)
    faults = faults + check(routes, settings).faults
    if faults:
        raise ValueError("; ".join(map(str, faults)))
    return Table(routes, settings)


class Table:
    """The routes of one file, by class, tenant and estimate."""

    def __init__(self, routes: Sequence[Route], settings: interface.Settings):
        self.routes, self._settings = tuple(routes), settings
        self._edges = [int(edge * MS) for edge in edges(routes)]
        self._cells: dict[tuple[str, str], list[Terms]] = {}
        self._none = self._terms("", "", 0.0)

    def find(self, cls: str, tenant: str, estimate: int) -> Terms:
        """The terms of a request; `estimate` in microseconds."""
        row = self._cells.get((cls, tenant))
        if row is None:
            known = any(told.name == cls for told in self._settings.classes)
            if not known:  # a bound on what is kept: clients name classes, the site tells them
                return self._none
            row = self._cells[cls, tenant] = [self._terms(cls, tenant, edge / MS) for edge in self._edges]
        return row[bisect_right(self._edges, estimate) - 1] if estimate > 0 else row[0]

    def _terms(self, cls: str, tenant: str, estimate: float) -> Terms:
        able = [(i, route) for i, route in enumerate(self.routes) if meets(route, cls, tenant, estimate)]
        plain = next(((i, route) for i, route in able if route.engine_kind is None), (None, Route()))
        kinds = {}
        for kind in (*self._settings.kind_cores, ""):
            first = next(
                (
                    (i, route)
                    for i, route in able
                    if route.engine_kind is None or kind in (names(route.engine_kind) or ())
                ),
                plain,
            )
            kinds[kind] = _engine_terms(first, plain)
        i, route = plain
        most = route.attempts if route.attempts is not None else self._settings.max_attempts
        return Terms(
            i,
            most,
            route.backoff_ms,
            frozenset(REASONS if route.retry_on is None else route.retry_on),
            int((route.repeat_within_ms or 0) * MS),
            route.retry_share,
            int(route.retry_over_ms * MS),
            route.retry_floor,
            kinds,
            any(terms.copy_share for terms in kinds.values()),
        )


def _engine_terms(first: tuple[int | None, Route], plain: tuple[int | None, Route]) -> EngineTerms:
    """Of the first route that fits with its kind; what that leaves out, of the request's route."""
    route, under = first[1], plain[1]
    own = route.attempt_timeout_ms is not None or route.attempt_timeout is not None
    timed = route if own else under
    copy = route.second_copy if route.second_copy is not None else under.second_copy
    terms = EngineTerms(
        first[0],
        int((timed.attempt_timeout_ms or 0) * MS),
        learned(timed.attempt_timeout) if timed.attempt_timeout else None,
        timed.attempt_timeout_least_ms or 0.0,
        timed.attempt_timeout_most_ms or 0.0,
        int((copy.after_ms or 0) * MS) if copy else 0,
        learned(copy.after) if copy and copy.after else None,
        copy.most_share if copy else 0.0,
        route.priority if route.priority is not None else under.priority,
    )
    if terms.learned is not None or terms.copy_share:
        return terms
    return msgspec.structs.replace(terms, fixed=AttemptTerms(timeout=terms.timeout, priority=terms.priority))
