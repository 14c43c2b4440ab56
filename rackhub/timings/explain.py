"""Explanations of routes for operators: the routes that a request matches, its terms and their sources, its worst case
in time, and the differences between two files. Pure."""

from collections.abc import Sequence
from typing import Any

import msgspec

from rackhub import interface
from rackhub.timings.check import as_names, estimate_bounds, matches
from rackhub.timings.routes import FILE_KEYS, RETRY_REASONS, Route
from rackhub.timings.table import EngineTerms, Table, Terms

MS = 1_000  # microseconds


class RouteMatch(msgspec.Struct, frozen=True):
    """Whether a route matches a request; the first match applies.

    `reason`: the first key that does not match, or a note on a match.
    """

    route: int
    fits: bool
    reason: str = msgspec.field(name="why")


class SourcedTerm(msgspec.Struct, frozen=True):
    """One active term and its source: a route, a setting or a default.

    A value equal to the default is shown with the source of the default. A term of an attempt is shown with the first
    route that matches the attempt, also where the request's route sets it.
    """

    name: str
    value: Any
    source: str


class TimelineEvent(msgspec.Struct, frozen=True):
    """One event of the worst case, in milliseconds after the request was admitted."""

    at_ms: float
    what: str


class Explanation(msgspec.Struct, frozen=True):
    """The explanation of one request on one kind of engine."""

    cls: str = msgspec.field(name="class")
    tenant: str
    engine_kind: str
    estimate_ms: float
    route_matches: list[RouteMatch] = msgspec.field(name="asked")
    terms: list[SourcedTerm]
    timeline: list[TimelineEvent]


def explain(
    routes: Sequence[Route], settings: interface.Settings, cls: str, tenant: str, kind: str, estimate: float
) -> Explanation:
    """Explain the terms of one request.

    `estimate` is in milliseconds. A `kind` of "" stands for engines whose kind the site does not define.
    """
    table = Table(routes, settings)
    terms = table.find(cls, tenant, int(estimate * MS))
    class_settings = next(configured for configured in settings.classes if configured.name == cls)
    route_matches = [_match(index, route, cls, tenant, kind, estimate) for index, route in enumerate(routes)]
    return Explanation(
        cls,
        tenant,
        kind,
        estimate,
        route_matches,
        _terms(terms, terms.for_kind(kind), settings, class_settings),
        timeline(terms, terms.for_kind(kind), class_settings),
    )


def _match(index: int, route: Route, cls: str, tenant: str, kind: str, estimate: float) -> RouteMatch:
    for name, value in (("cls", cls), ("tenant", tenant), ("engine_kind", kind)):
        selected = as_names(getattr(route, name))
        if selected is not None and value not in selected:
            return RouteMatch(
                index, False, f"{FILE_KEYS[name]} is {value or 'any other'!r}, the route matches {', '.join(selected)}"
            )
    if not matches(route, cls, tenant, estimate):
        low, high = route.estimate_ms or (0.0, 0.0)
        return RouteMatch(index, False, f"estimate_ms is {estimate:g}, the route matches {low:g} to before {high:g}")
    return RouteMatch(
        index, True, "for the terms of attempts on these engines only" if route.engine_kind is not None else ""
    )


def _source(route: int | None, is_set: bool, default: str) -> str:
    """Return the key of the route if it sets the term, otherwise `default`."""
    return f"timings.route[{route}]" if is_set and route is not None else default


def _terms(
    terms: Terms, engine: EngineTerms, settings: interface.Settings, class_settings: interface.ClassSettings
) -> list[SourcedTerm]:
    request_route, attempt_route = terms.route, engine.route
    rows = [
        SourcedTerm(
            "attempts",
            terms.attempts,
            _source(request_route, terms.attempts != settings.max_attempts, "settings.Permissions.MaxAttempts"),
        ),
        SourcedTerm(
            "retry_on",
            sorted(terms.retry_on),
            _source(request_route, terms.retry_on != frozenset(RETRY_REASONS), "the decision module"),
        ),
        SourcedTerm("backoff_ms", terms.backoff, _source(request_route, terms.backoff is not None, "none")),
    ]
    if terms.share is None:
        rows.append(SourcedTerm("retry_share", None, "no budget"))
    else:
        budget = f"{terms.share:g} of the requests served in {terms.over / MS:g} ms, {terms.floor} are always allowed"
        rows.append(SourcedTerm("retry_share", budget, _source(request_route, True, "")))
    if class_settings.idempotency == "dedup":
        rows.append(
            SourcedTerm(
                "repeat_within_ms",
                (terms.repeat_within or class_settings.idempotency_window) / MS,
                _source(request_route, bool(terms.repeat_within), f"settings.Services {class_settings.name}.Window"),
            )
        )
    if engine.learned is not None:
        rows.append(
            SourcedTerm(
                "attempt_timeout",
                f"p{engine.learned.percent:g}*{engine.learned.factor:g} of the latencies, from "
                f"{engine.learned_least:g} to {engine.learned_most or 'unlimited'} ms",
                _source(attempt_route, True, ""),
            )
        )
    else:
        rows.append(
            SourcedTerm(
                "attempt_timeout_ms",
                engine.timeout / MS or None,
                _source(attempt_route, bool(engine.timeout), "the time left until the request's deadline"),
            )
        )
    if engine.copy_share:
        after = (
            f"p{engine.copy_learned.percent:g}*{engine.copy_learned.factor:g} of the latencies"
            if engine.copy_learned
            else f"{engine.copy_after / MS} ms"
        )
        rows.append(
            SourcedTerm(
                "second_copy",
                f"after {after}, at most {engine.copy_share:g} of the requests served",
                _source(attempt_route, True, ""),
            )
        )
    else:
        rows.append(SourcedTerm("second_copy", None, "none"))
    rows.append(
        SourcedTerm(
            "priority", engine.priority, _source(attempt_route, engine.priority is not None, "the decision module")
        )
    )
    return rows


def timeline(terms: Terms, engine: EngineTerms, class_settings: interface.ClassSettings) -> list[TimelineEvent]:
    """Return the worst case: every attempt times out, every retry has the longest delay, and budgets allow all retries.

    A learned time-out is taken as `attempt_timeout_most_ms`; without that, an attempt may take all the time until the
    deadline. A second copy is listed when it is due, but not counted as an attempt.
    """
    deadline_ms = class_settings.deadline / MS
    timeout_ms = engine.timeout / MS or (engine.learned_most if engine.learned is not None else 0.0)
    dedup_window_ms = (
        (terms.repeat_within or class_settings.idempotency_window) / MS
        if class_settings.idempotency == "dedup"
        else 0.0
    )
    sent_ms, rows = 0.0, [TimelineEvent(0.0, "admitted; attempt 1 is sent")]
    hedge_after_ms = engine.copy_after / MS
    if engine.copy_share and terms.attempts > 1:
        rows.append(
            TimelineEvent(hedge_after_ms, "a second copy is sent")
            if hedge_after_ms
            else TimelineEvent(0.0, "a second copy is sent later, after a learned time")
        )
    for attempt in range(1, terms.attempts + 1):
        ended_ms = sent_ms + timeout_ms if timeout_ms else deadline_ms
        if ended_ms >= deadline_ms:
            break
        rows.append(TimelineEvent(ended_ms, f"attempt {attempt} times out"))
        if attempt == terms.attempts or "late" not in terms.retry_on:
            rows.append(
                TimelineEvent(ended_ms, "the request is rejected, with a Retry-After where the site allows one")
            )
            return sorted(rows, key=lambda row: row.at_ms)
        sent_ms = ended_ms + (terms.backoff.max_delay_ms(attempt) if terms.backoff else 0.0)
        if dedup_window_ms and sent_ms >= dedup_window_ms:
            rows.append(
                TimelineEvent(
                    ended_ms,
                    f"no retry: engines drop repeats until {dedup_window_ms:g} ms only; the request is rejected",
                )
            )
            return sorted(rows, key=lambda row: row.at_ms)
        if sent_ms >= deadline_ms:
            break
        rows.append(TimelineEvent(sent_ms, f"latest time at which attempt {attempt + 1} is sent"))
    rows.append(TimelineEvent(deadline_ms, "the deadline of the request; it has been answered by then"))
    return sorted(rows, key=lambda row: row.at_ms)


# ---- differences between two files


class TermsChange(msgspec.Struct, frozen=True):
    """The terms that a new file changes for one kind of request: for each, the old and the new value.

    `engine_kind`: "" stands for engines whose kind the site does not define; for "all" see `_merge_kinds`.
    `estimate_ms`: the lower bound (inclusive) and the upper bound (exclusive), None if there is none.
    """

    cls: str = msgspec.field(name="class")
    tenant: str
    engine_kind: str
    estimate_ms: tuple[float, float | None]
    changes: dict[str, tuple[Any, Any]]


def diff(old: Sequence[Route], new: Sequence[Route], settings: interface.Settings) -> list[TermsChange]:
    """Return the changed terms for every kind of request that the two files treat differently."""
    before, after = Table(old, settings), Table(new, settings)
    bounds = sorted({*estimate_bounds(old), *estimate_bounds(new)})
    found: list[TermsChange] = []
    for cls in settings.classes:
        for tenant in [configured.name for configured in settings.tenants] or [""]:
            for index, low in enumerate(bounds):
                high = bounds[index + 1] if index + 1 < len(bounds) else None
                old_terms, new_terms = (table.find(cls.name, tenant, int(low * MS)) for table in (before, after))
                for kind in (*settings.kind_cores, ""):
                    changes = _changes(_flat(old_terms, kind), _flat(new_terms, kind))
                    if changes:
                        found.append(TermsChange(cls.name, tenant, kind, (low, high), changes))
    return _merge_kinds(found)


def _flat(terms: Terms, kind: str) -> dict[str, Any]:
    """Return the terms on one kind of engine by attribute name; `rackhub config diff` prints these names.

    Times are microseconds, except `learned_least`, `learned_most` and the back-off, which are milliseconds.
    """
    engine = terms.for_kind(kind)
    flat = {name: getattr(terms, name) for name in ("attempts", "backoff", "repeat_within", "share", "over", "floor")}
    flat["retry_on"] = sorted(terms.retry_on)
    flat |= {
        name: getattr(engine, name)
        for name in (
            "timeout",
            "learned",
            "learned_least",
            "learned_most",
            "copy_after",
            "copy_learned",
            "copy_share",
            "priority",
        )
    }
    return flat


def _changes(old: dict[str, Any], new: dict[str, Any]) -> dict[str, tuple[Any, Any]]:
    return {name: (value, new[name]) for name, value in old.items() if value != new[name]}


def _merge_kinds(found: list[TermsChange]) -> list[TermsChange]:
    """Replace rows with equal changes by one with the engine kind "all", if one of them is for the kind "".

    "all" does not cover kinds of engines with other changes, or with none.
    """
    merged: list[TermsChange] = []
    groups: dict[tuple[Any, ...], list[TermsChange]] = {}
    for row in found:
        groups.setdefault((row.cls, row.tenant, row.estimate_ms, msgspec.json.encode(row.changes)), []).append(row)
    for rows in groups.values():
        if len(rows) > 1 and any(row.engine_kind == "" for row in rows):
            merged.append(msgspec.structs.replace(rows[0], engine_kind="all"))
        else:
            merged += rows
    return merged
