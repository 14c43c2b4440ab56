"""The routes in words: which one a request meets and why, what holds and where it came from, the worst that can
happen when, and what a new file changes for whom. Pure."""

from collections.abc import Sequence
from typing import Any

import msgspec

from rackhub import interface
from rackhub.timings.check import edges, meets, names
from rackhub.timings.routes import REASONS, WORDS, Route
from rackhub.timings.table import EngineTerms, Table, Terms

MS = 1_000


class Asked(msgspec.Struct, frozen=True):
    """Whether one route fits a request, and if not, which of its matches does not."""

    route: int
    fits: bool
    reason: str = msgspec.field(name="why")


class Term(msgspec.Struct, frozen=True):
    """One term in force and where it came from."""

    name: str
    value: Any
    source: str


class Moment(msgspec.Struct, frozen=True):
    """One moment of the worst case, in milliseconds after the request came."""

    at_ms: float
    what: str


class Explained(msgspec.Struct, frozen=True):
    """All of it for one request on one kind of engine."""

    cls: str = msgspec.field(name="class")
    tenant: str
    engine_kind: str
    estimate_ms: float
    route_matches: list[Asked] = msgspec.field(name="asked")
    terms: list[Term]
    timeline: list[Moment]


def explain(
    routes: Sequence[Route], settings: interface.Settings, cls: str, tenant: str, kind: str, estimate: float
) -> Explained:
    """`estimate` in milliseconds; `kind` "" for any that no route names."""
    table = Table(routes, settings)
    terms = table.find(cls, tenant, int(estimate * MS))
    told = next(one for one in settings.classes if one.name == cls)
    asked = [_asked(i, route, cls, tenant, kind, estimate) for i, route in enumerate(routes)]
    return Explained(
        cls,
        tenant,
        kind,
        estimate,
        asked,
        _terms(terms, terms.on(kind), settings, told),
        timeline(terms, terms.on(kind), told),
    )


def _asked(i: int, route: Route, cls: str, tenant: str, kind: str, estimate: float) -> Asked:
    for name, value in (("cls", cls), ("tenant", tenant), ("engine_kind", kind)):
        wanted = names(getattr(route, name))
        if wanted is not None and value not in wanted:
            return Asked(i, False, f"{WORDS[name]} is {value or 'any other'!r}, it asks for {', '.join(wanted)}")
    if not meets(route, cls, tenant, estimate):
        low, high = route.estimate_ms or (0.0, 0.0)
        return Asked(i, False, f"estimate_ms is {estimate:g}, it asks for {low:g} to before {high:g}")
    return Asked(i, True, "by engine_kind, for what depends on the engine" if route.engine_kind is not None else "")


def _source(route: int | None, own: bool, default: str) -> str:
    return f"timings.route[{route}]" if own and route is not None else default


def _terms(
    terms: Terms, engine: EngineTerms, settings: interface.Settings, told: interface.ClassSettings
) -> list[Term]:
    request, here = terms.route, engine.route
    rows = [
        Term(
            "attempts",
            terms.attempts,
            _source(request, terms.attempts != settings.max_attempts, "settings.Permissions.MaxAttempts"),
        ),
        Term(
            "retry_on",
            sorted(terms.retry_on),
            _source(request, terms.retry_on != frozenset(REASONS), "the decision module"),
        ),
        Term("backoff_ms", terms.backoff, _source(request, terms.backoff is not None, "none")),
    ]
    if terms.share is None:
        rows.append(Term("retry_share", None, "no budget"))
    else:
        told_of = f"{terms.share:g} of what is served in {terms.over / MS:g} ms, {terms.floor} at least"
        rows.append(Term("retry_share", told_of, _source(request, True, "")))
    if told.idempotency == "dedup":
        rows.append(
            Term(
                "repeat_within_ms",
                (terms.repeat_within or told.idempotency_window) / MS,
                _source(request, bool(terms.repeat_within), f"settings.Services {told.name}.Window"),
            )
        )
    if engine.learned is not None:
        rows.append(
            Term(
                "attempt_timeout",
                f"p{engine.learned.percent:g}*{engine.learned.factor:g}, from "
                f"{engine.learned_least:g} to {engine.learned_most or 'any'} ms",
                _source(here, True, ""),
            )
        )
    else:
        rows.append(
            Term(
                "attempt_timeout_ms",
                engine.timeout / MS or None,
                _source(here, bool(engine.timeout), "what is left of the request's time"),
            )
        )
    if engine.copy_share:
        after: Any = (
            f"p{engine.copy_learned.percent:g}*{engine.copy_learned.factor:g}"
            if engine.copy_learned
            else engine.copy_after / MS
        )
        rows.append(
            Term(
                "second_copy",
                f"after {after} ms, at most {engine.copy_share:g} of the requests",
                _source(here, True, ""),
            )
        )
    else:
        rows.append(Term("second_copy", None, "none"))
    rows.append(Term("priority", engine.priority, _source(here, engine.priority is not None, "the decision module")))
    return rows


def timeline(terms: Terms, engine: EngineTerms, told: interface.ClassSettings) -> list[Moment]:
    """The worst case: every attempt takes all its time, every wait is the longest. Learned times count by their
    ceilings; where there is none, an attempt may take all that is left."""
    end = told.deadline / MS
    limit = engine.timeout / MS or (engine.learned_most if engine.learned is not None else 0.0)
    window = (terms.repeat_within or told.idempotency_window) / MS if told.idempotency == "dedup" else 0.0
    now, rows = 0.0, [Moment(0.0, "taken; attempt 1 goes out")]
    copy = engine.copy_after / MS
    if engine.copy_share and terms.attempts > 1:
        rows.append(
            Moment(copy, "a second copy goes out") if copy else Moment(0.0, "a second copy goes out at a learned time")
        )
    for attempt in range(1, terms.attempts + 1):
        stop = now + limit if limit else end
        if stop >= end:
            break
        rows.append(Moment(stop, f"attempt {attempt} is timed out"))
        if attempt == terms.attempts or "late" not in terms.retry_on:
            rows.append(Moment(stop, "the final answer, with a back-off where the site allows one"))
            return sorted(rows, key=lambda row: row.at_ms)
        now = stop + (terms.backoff.longest(attempt) if terms.backoff else 0.0)
        if window and now >= window:
            rows.append(Moment(stop, f"no further attempt: repeats are dropped until {window:g} ms; the final answer"))
            return sorted(rows, key=lambda row: row.at_ms)
        if now >= end:
            break
        rows.append(Moment(now, f"attempt {attempt + 1} goes out at the latest"))
    rows.append(Moment(end, "the client gives up; the final answer comes before that"))
    return sorted(rows, key=lambda row: row.at_ms)


# ---- what a new file changes


class Changed(msgspec.Struct, frozen=True):
    """What a new file changes for one kind of request."""

    cls: str = msgspec.field(name="class")
    tenant: str
    engine_kind: str
    estimate_ms: tuple[float, float | None]
    changes: dict[str, tuple[Any, Any]]


def diff(old: Sequence[Route], new: Sequence[Route], settings: interface.Settings) -> list[Changed]:
    """For every kind of request that the two treat differently, which terms and from what to what."""
    before, after = Table(old, settings), Table(new, settings)
    bounds = sorted({*edges(old), *edges(new)})
    found: list[Changed] = []
    for told in settings.classes:
        for tenant in [one.name for one in settings.tenants] or [""]:
            for i, low in enumerate(bounds):
                high = bounds[i + 1] if i + 1 < len(bounds) else None
                was, now = (table.find(told.name, tenant, int(low * MS)) for table in (before, after))
                for kind in (*settings.kind_cores, ""):
                    changes = _changes(_flat(was, kind), _flat(now, kind))
                    if changes:
                        found.append(Changed(told.name, tenant, kind, (low, high), changes))
    return _joined(found)


def _flat(terms: Terms, kind: str) -> dict[str, Any]:
    engine = terms.on(kind)
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


def _joined(found: list[Changed]) -> list[Changed]:
    """Rows that differ in the kind of engine alone are one row, where they are there for all kinds."""
    joined: list[Changed] = []
    groups: dict[tuple[Any, ...], list[Changed]] = {}
    for row in found:
        groups.setdefault((row.cls, row.tenant, row.estimate_ms, msgspec.json.encode(row.changes)), []).append(row)
    for rows in groups.values():
        if len(rows) > 1 and any(row.engine_kind == "" for row in rows):
            joined.append(msgspec.structs.replace(rows[0], engine_kind="all"))
        else:
            joined += rows
    return joined
