"""Lookup of the route that a request matches, with defaults filled in. Pure. Cached, as each request needs it."""

from bisect import bisect_right
from collections.abc import Sequence
from typing import Any

import msgspec

from rackhub import interface
from rackhub.core.request_policy import AttemptTerms
from rackhub.timings.check import as_names, check, estimate_bounds, matches
from rackhub.timings.routes import (
    RETRY_REASONS,
    Backoff,
    LearnedLimit,
    Reason,
    Route,
    parse_learned_limit,
    read_routes,
)

MS = 1_000  # microseconds


class EngineTerms(msgspec.Struct, frozen=True, gc=False):
    """The terms of an attempt on one kind of engine. Times are microseconds; 0 stands for none.

    `route`: the index of the first route that matches, None if none does. `copy_...`: the terms of the hedge. `fixed`:
    all terms in the form that the core takes, where none of them is learned or a hedge.
    """

    route: int | None = None
    timeout: int = 0
    learned: LearnedLimit | None = None
    learned_least: float = 0.0  # milliseconds
    learned_most: float = 0.0  # milliseconds
    copy_after: int = 0
    copy_learned: LearnedLimit | None = None
    copy_share: float = 0.0
    priority: int | None = None
    fixed: AttemptTerms | None = None


class Terms(msgspec.Struct, frozen=True):
    """The terms of one request. Times are microseconds; 0 stands for the default.

    `share`, `over`, `floor`: the retry budget, its time span and the retries that are always allowed; a share of None
    sets no budget. `kinds`: the terms of attempts by kind of engine, and under "" those on engines whose kind the site
    does not define. `has_hedges`: whether any of them has hedges.
    """

    route: int | None
    attempts: int
    backoff: Backoff | None
    retry_on: frozenset[Reason]
    repeat_within: int
    share: float | None
    over: int
    floor: int
    kinds: dict[str, EngineTerms]
    has_hedges: bool

    def for_kind(self, kind: str) -> EngineTerms:
        """Return the terms of attempts on one kind of engine."""
        found = self.kinds.get(kind)
        return found if found is not None else self.kinds[""]


def read_table(table: dict[str, Any], settings: interface.Settings) -> "Table":
    """Parse the `[timings]` table and check it against the site's settings. Raises `ValueError` with all faults."""
    routes, faults = read_routes(table)
    faults = faults + check(routes, settings).faults
    if faults:
        raise ValueError("; ".join(map(str, faults)))
    return Table(routes, settings)


class Table:
    """The routes of one file, found by class, tenant and estimate."""

    def __init__(self, routes: Sequence[Route], settings: interface.Settings):
        self.routes, self._settings = tuple(routes), settings
        self._estimate_bounds = [int(bound * MS) for bound in estimate_bounds(routes)]
        # The terms for each range of estimates, by class and tenant.
        self._terms_by_request: dict[tuple[str, str], list[Terms]] = {}
        self._unknown_class_terms = self._terms("", "", 0.0)

    def find(self, cls: str, tenant: str, estimate: int) -> Terms:
        """Return the terms of a request; `estimate` is in microseconds."""
        row = self._terms_by_request.get((cls, tenant))
        if row is None:
            known = any(configured.name == cls for configured in self._settings.classes)
            if not known:  # classes come from clients: caching unknown ones would have no bound
                return self._unknown_class_terms
            row = self._terms_by_request[cls, tenant] = [
                self._terms(cls, tenant, bound / MS) for bound in self._estimate_bounds
            ]
        return row[bisect_right(self._estimate_bounds, estimate) - 1] if estimate > 0 else row[0]

    def _terms(self, cls: str, tenant: str, estimate: float) -> Terms:
        matching = [(index, route) for index, route in enumerate(self.routes) if matches(route, cls, tenant, estimate)]
        request_route = next(
            ((index, route) for index, route in matching if route.engine_kind is None), (None, Route())
        )
        kinds = {}
        for kind in (*self._settings.kind_cores, ""):
            attempt_route = next(
                (
                    (index, route)
                    for index, route in matching
                    if route.engine_kind is None or kind in (as_names(route.engine_kind) or ())
                ),
                request_route,
            )
            kinds[kind] = _engine_terms(attempt_route, request_route)
        index, route = request_route
        attempt_limit = route.attempts if route.attempts is not None else self._settings.max_attempts
        return Terms(
            index,
            attempt_limit,
            route.backoff_ms,
            frozenset(RETRY_REASONS if route.retry_on is None else route.retry_on),
            int((route.repeat_within_ms or 0) * MS),
            route.retry_share,
            int(route.retry_over_ms * MS),
            route.retry_floor,
            kinds,
            any(terms.copy_share for terms in kinds.values()),
        )


def _engine_terms(attempt_route: tuple[int | None, Route], request_route: tuple[int | None, Route]) -> EngineTerms:
    """Return the terms of the first route that matches an attempt; the request's route sets what that leaves out."""
    route, fallback = attempt_route[1], request_route[1]
    sets_timeout = route.attempt_timeout_ms is not None or route.attempt_timeout is not None
    timeout_route = route if sets_timeout else fallback
    copy = route.second_copy if route.second_copy is not None else fallback.second_copy
    terms = EngineTerms(
        attempt_route[0],
        int((timeout_route.attempt_timeout_ms or 0) * MS),
        parse_learned_limit(timeout_route.attempt_timeout) if timeout_route.attempt_timeout else None,
        timeout_route.attempt_timeout_least_ms or 0.0,
        timeout_route.attempt_timeout_most_ms or 0.0,
        int((copy.after_ms or 0) * MS) if copy else 0,
        parse_learned_limit(copy.after) if copy and copy.after else None,
        copy.most_share if copy else 0.0,
        route.priority if route.priority is not None else fallback.priority,
    )
    if terms.learned is not None or terms.copy_share:
        return terms
    return msgspec.structs.replace(terms, fixed=AttemptTerms(timeout=terms.timeout, priority=terms.priority))
