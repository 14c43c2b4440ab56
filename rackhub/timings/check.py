"""What a file must not ask for, by the rules and by the site's settings, and what is legal and unwise. Pure."""

from collections.abc import Iterator, Sequence
from typing import Any

import msgspec

from rackhub import interface
from rackhub.timings.routes import (
    BY_ENGINE,
    DAY_MS,
    DEFAULTS,
    MATCHES,
    NEVER_RAN,
    WORDS,
    Fault,
    Route,
    learned,
)

MOST_FACTOR, MOST_ROUTES = 10.0, 1_000
ATTEMPTS_KEY, COPIES_KEY = "settings.Permissions.MaxAttempts", "settings.Permissions.SecondCopies"
PRIORITIES_KEY, CANCEL_KEY = "settings.FamilyInfo.RanksHeeded", "settings.Permissions.Cancel"


class Checked(msgspec.Struct, frozen=True):
    """All that is wrong, and all that is unwise."""

    faults: list[Fault]
    warnings: list[Fault]


def names(told: str | list[str] | None) -> list[str] | None:
    """A match by name as a list; None: all."""
    return [told] if isinstance(told, str) else told


def repeatable(cls: interface.ClassSettings) -> bool:
    """Whether a request of the class may run twice at once: it is safe, or every engine drops a repeat of its key."""
    return cls.idempotency == "retryable" or cls.idempotency == "dedup" and cls.idempotency_scope == "all"


def check(routes: Sequence[Route], settings: interface.Settings) -> Checked:
    """Check routes whose form is right against the site's settings."""
    faults: list[Fault] = []
    warnings: list[Fault] = []
    if len(routes) > MOST_ROUTES:
        faults.append(Fault("timings.route", len(routes), f"more than {MOST_ROUTES} routes"))
    for i, route in enumerate(routes):
        one = _Route(f"timings.route[{i}]", route, settings)
        faults += one.faults()
        warnings += one.warnings()
    if not faults:  # names and ranges are sound from here on
        faults += _never_met(routes, settings)
    return Checked(faults, warnings)


class _Route:
    """One route under check."""

    def __init__(self, at: str, route: Route, settings: interface.Settings):
        self.at, self.route, self.settings = at, route, settings
        wanted = names(route.cls)
        self.classes = [cls for cls in settings.classes if wanted is None or cls.name in wanted]

    def bad(self, name: str, why: str, also: str = "", value: Any = ...) -> Fault:
        """A fault of one key; `a.b` names one inside a table."""
        first, _, inner = name.partition(".")
        if value is ...:
            value = getattr(self.route, first)
            value = getattr(value, inner) if inner else value
        return Fault(f"{self.at}.{WORDS[first]}" + (f".{inner}" if inner else ""), value, why, also)

    def given(self, name: str) -> bool:
        return getattr(self.route, name) is not None

    def faults(self) -> Iterator[Fault]:
        yield from self._matches()
        yield from self._ranges()
        yield from self._attempts()
        yield from self._timeouts()
        yield from self._fits()
        yield from self._keyed()
        yield from self._copies()
        if self.given("engine_kind"):
            for name in WORDS:
                if name not in MATCHES and name not in BY_ENGINE and self._set(name):
                    yield self.bad(
                        name,
                        "is settled before an engine is chosen: a route by engine_kind can't set it",
                        f"{self.at}.engine_kind",
                    )

    def _set(self, name: str) -> bool:
        return getattr(self.route, name) != DEFAULTS[name]

    def _matches(self) -> Iterator[Fault]:
        site = self.settings
        for name, there, what in (
            ("cls", [cls.name for cls in site.classes], "class"),
            ("tenant", [tenant.name for tenant in site.tenants], "tenant"),
            ("engine_kind", list(site.kind_cores), "kind of engine"),
        ):
            wanted = names(getattr(self.route, name))
            if wanted is None:
                continue
            if not wanted:
                yield self.bad(name, "names none: leave it out to match all")
            for i, one in enumerate(wanted):
                if one in wanted[:i]:
                    yield self.bad(name, f"names {one!r} twice")
                if one not in there:
                    yield self.bad(name, f"the site has no {what} {one!r}; it has {', '.join(there) or 'none told'}")
        if self.route.estimate_ms is not None:
            low, high = self.route.estimate_ms
            if not 0 <= low < high:
                yield self.bad("estimate_ms", "is not a range from a least to a greater number, from 0")

    def _ranges(self) -> Iterator[Fault]:
        route = self.route
        for name in ("attempt_timeout_ms", "attempt_timeout_least_ms", "attempt_timeout_most_ms", "repeat_within_ms"):
            value = getattr(route, name)
            if value is not None and not 0 < value <= DAY_MS:
                yield self.bad(name, "is not above 0 and at most a day")
        if not 1_000 <= route.retry_over_ms <= 600_000:
            yield self.bad("retry_over_ms", "is not from 1000 to 600000")
        if not 0 <= route.retry_floor <= 1_000:
            yield self.bad("retry_floor", "is not from 0 to 1000")
        if route.priority is not None and not 0 <= route.priority <= 3:
            yield self.bad("priority", "is not from 0 to 3")
        backoff = route.backoff_ms
        if backoff is not None:
            if not 0 < backoff.first <= DAY_MS:
                yield self.bad("backoff_ms.first", "is not above 0 and at most a day")
            if not 1 <= backoff.factor <= MOST_FACTOR:
                yield self.bad("backoff_ms.factor", f"is not from 1 to {MOST_FACTOR:g}")
            if backoff.most is not None and not backoff.first <= backoff.most <= DAY_MS:
                yield self.bad("backoff_ms.most", "is not at least the first and at most a day")

    def _attempts(self) -> Iterator[Fault]:
        route, site = self.route, self.settings
        if route.attempts is not None:
            if route.attempts < 1:
                yield self.bad("attempts", "is under 1")
            elif route.attempts > site.max_attempts:
                yield self.bad("attempts", f"the site allows {site.max_attempts}", ATTEMPTS_KEY)
        if route.retry_on is not None:
            for i, reason in enumerate(route.retry_on):
                if reason in route.retry_on[:i]:
                    yield self.bad("retry_on", f"names {reason!r} twice")
            for cls in self.classes:
                late = [reason for reason in route.retry_on if reason not in NEVER_RAN]
                if cls.idempotency == "fragile" and late:
                    yield self.bad(
                        "retry_on",
                        f"after {', '.join(late)} a request of class {cls.name!r} may have run, "
                        "and it may not run twice: full and noconn are allowed",
                    )

    def _timeouts(self) -> Iterator[Fault]:
        route = self.route
        if self.given("attempt_timeout_ms") and self.given("attempt_timeout"):
            yield self.bad(
                "attempt_timeout", "stands beside attempt_timeout_ms: one of them", f"{self.at}.attempt_timeout_ms"
            )
        if self.given("attempt_timeout"):
            yield from self._quantile("attempt_timeout", route.attempt_timeout or "")
        else:
            for name in ("attempt_timeout_least_ms", "attempt_timeout_most_ms"):
                if self.given(name):
                    yield self.bad(name, "bounds a learned time-out, and there is none: set attempt_timeout")
        least, most = route.attempt_timeout_least_ms, route.attempt_timeout_most_ms
        if least is not None and most is not None and least > most:
            yield self.bad(
                "attempt_timeout_least_ms", "is above attempt_timeout_most_ms", f"{self.at}.attempt_timeout_most_ms"
            )
        for name in ("attempt_timeout_ms", "attempt_timeout_least_ms"):
            for cls in self.classes:
                value = getattr(route, name)
                if value is not None and 0 < cls.deadline < value * 1_000:
                    yield self.bad(name, f"class {cls.name!r} is given up after {cls.deadline / 1_000:g} ms")

    def _quantile(self, name: str, text: str) -> Iterator[Fault]:
        told = learned(text)
        if not 0 < told.percent < 100:
            yield self.bad(name, "the quantile is not between p0 and p100")
        if not 0 < told.factor <= MOST_FACTOR:
            yield self.bad(name, f"the factor is not above 0 and at most {MOST_FACTOR:g}")

    def latest_start(self, attempts: int) -> float:
        """When the last of so many attempts begins at the latest, milliseconds after the first. An attempt without a
        time-out may take any time, so it adds nothing that can be counted on."""
        route = self.route
        timeout = route.attempt_timeout_ms or route.attempt_timeout_most_ms or route.attempt_timeout_least_ms or 0.0
        waits = sum(route.backoff_ms.longest(n) for n in range(1, attempts)) if route.backoff_ms else 0.0
        return timeout * (attempts - 1) + waits

    def _fits(self) -> Iterator[Fault]:
        attempts = self.route.attempts
        if attempts is None or attempts < 2 or attempts > self.settings.max_attempts or any(self._ranges()):
            return
        for cls in self.classes:
            latest = self.latest_start(attempts)
            if 0 < cls.deadline <= latest * 1_000:
                yield self.bad(
                    "attempts",
                    f"attempt {attempts} may begin {latest:g} ms after the first, and class "
                    f"{cls.name!r} is given up after {cls.deadline / 1_000:g} ms",
                )

    def _keyed(self) -> Iterator[Fault]:
        route, within = self.route, self.route.repeat_within_ms
        keyed = [cls for cls in self.classes if cls.idempotency == "dedup"]
        if within is not None and within > 0:
            for cls in self.classes:
                if cls.idempotency != "dedup":
                    yield self.bad("repeat_within_ms", f"class {cls.name!r} carries no key: match keyed classes alone")
                elif within * 1_000 > cls.idempotency_window:
                    yield self.bad(
                        "repeat_within_ms",
                        f"a repeat of class {cls.name!r} is dropped for "
                        f"{cls.idempotency_window / 1_000:g} ms, and runs twice after that",
                        f"settings.Services {cls.name}.Window",
                    )
        attempts = route.attempts or 1
        if attempts < 2 or attempts > self.settings.max_attempts or any(self._ranges()):
            return
        for cls in keyed:
            latest, window = self.latest_start(attempts), cls.idempotency_window / 1_000
            if latest >= window and not 0 < cls.deadline <= latest * 1_000:
                yield self.bad(
                    "attempts",
                    f"attempt {attempts} may begin {latest:g} ms after the first, and a repeat "
                    f"of class {cls.name!r} is dropped for {window:g} ms only",
                    f"settings.Services {cls.name}.Window",
                )
            elif within is not None and latest > within:
                yield self.bad("repeat_within_ms", f"attempt {attempts} may begin {latest:g} ms after the first")

    def _copies(self) -> Iterator[Fault]:
        route, copy, site = self.route, self.route.second_copy, self.settings
        if copy is None:
            return
        if not site.hedging:
            yield self.bad("second_copy", "the site allows no two attempts of a request at once", COPIES_KEY)
        if (route.attempts or site.max_attempts) < 2:
            yield self.bad(
                "second_copy",
                "is a second attempt, and one is allowed",
                f"{self.at}.attempts" if route.attempts else ATTEMPTS_KEY,
            )
        for cls in self.classes:
            if not repeatable(cls):
                yield self.bad(
                    "second_copy",
                    f"a request of class {cls.name!r} may not run twice: it is neither safe nor keyed at all engines",
                )
        if (copy.after_ms is None) == (copy.after is None):
            yield self.bad("second_copy", "needs one of after_ms and after")
        if copy.after is not None:
            yield from self._quantile("second_copy.after", copy.after)
        if copy.most_share <= 0:
            yield self.bad("second_copy.most_share", "is 0: leave second_copy out instead")
        after = copy.after_ms
        if after is None:
            return
        if not 0 < after <= DAY_MS:
            yield self.bad("second_copy.after_ms", "is not above 0 and at most a day")
        elif route.attempt_timeout_ms is not None and after >= route.attempt_timeout_ms:
            yield self.bad(
                "second_copy.after_ms", "comes only when the attempt has timed out", f"{self.at}.attempt_timeout_ms"
            )
        for cls in self.classes:
            if 0 < cls.deadline <= after * 1_000:
                yield self.bad(
                    "second_copy.after_ms", f"class {cls.name!r} is given up after {cls.deadline / 1_000:g} ms"
                )

    # ---- legal and unwise

    def warnings(self) -> Iterator[Fault]:
        route, site = self.route, self.settings
        if not any(self._set(name) for name in WORDS if name not in MATCHES):
            yield Fault(self.at, None, "sets nothing: what meets it is as without a route")
        if route.retry_on == [] and (route.attempts or 2) > 1:
            yield self.bad("retry_on", "is empty: no further attempt is ever made, whatever attempts says")
        if route.attempts == 1 and (self.given("backoff_ms") or self.given("retry_share") or route.retry_on):
            yield self.bad("attempts", "is 1: what the route says of further attempts has no effect")
        if route.retry_share is not None and route.retry_share > 0.5:
            yield self.bad("retry_share", "lets further attempts add more than half to an overload")
        if self.given("priority") and not site.priorities:
            yield self.bad("priority", "the site's engines heed none", PRIORITIES_KEY)
        if route.second_copy is not None and not site.cancel:
            yield self.bad(
                "second_copy", "the slower of two copies can't be called off, and runs to its end", CANCEL_KEY
            )
        if route.second_copy is not None and route.second_copy.most_share > 0.2:
            yield self.bad("second_copy.most_share", "lets copies add more than a fifth to the load")
        for cls in self.classes:
            attempts, timeout = route.attempts or 0, route.attempt_timeout_ms
            if timeout is not None and timeout * 1_000 < cls.latency_objective / 4:
                yield self.bad(
                    "attempt_timeout_ms",
                    f"is under a quarter of the {cls.latency_objective / 1_000:g} ms within "
                    f"which class {cls.name!r} is wanted: what it cuts would come",
                )
            if (
                attempts > 1
                and timeout
                and cls.deadline
                and self.latest_start(attempts) < cls.deadline / 1_000 < self.latest_start(attempts) + timeout
            ):
                yield self.bad(
                    "attempts",
                    f"attempt {attempts} may have less than its time-out before class {cls.name!r} is given up",
                )
        if route.retry_on is not None and "late" in route.retry_on and route.retry_share is None:
            yield self.bad("retry_on", "late without retry_share: when all engines are slow, each request comes again")


# ---- routes that nothing meets


def edges(routes: Sequence[Route]) -> list[float]:
    """Where ranges of estimates begin and end, from 0 up."""
    return sorted({0.0, *(edge for route in routes if route.estimate_ms for edge in route.estimate_ms)})


def meets(route: Route, cls: str, tenant: str, estimate: float) -> bool:
    """Whether a request meets a route, its engine aside."""
    return (
        (route.cls is None or cls in (names(route.cls) or ()))
        and (route.tenant is None or tenant in (names(route.tenant) or ()))
        and (route.estimate_ms is None or route.estimate_ms[0] <= estimate < route.estimate_ms[1])
    )


def _never_met(routes: Sequence[Route], settings: interface.Settings) -> Iterator[Fault]:
    """Routes whose every request an earlier one takes. All kinds of requests are gone through: estimates matter only
    by which ranges they lie in. A route by engine_kind is asked beside those without, so it takes nothing from them."""
    met: set[int] = set()
    takers: dict[int, set[int]] = {i: set() for i in range(len(routes))}
    kinds = [*settings.kind_cores, ""]
    for cls in [cls.name for cls in settings.classes] or [""]:
        for tenant in [tenant.name for tenant in settings.tenants] or [""]:
            for estimate in edges(routes):
                able = [i for i, route in enumerate(routes) if meets(route, cls, tenant, estimate)]
                plain = [i for i in able if routes[i].engine_kind is None]
                met.update(plain[:1])
                for i in plain[1:]:
                    takers[i].add(plain[0])
                for kind in kinds:
                    here = [i for i in able if kind in (names(routes[i].engine_kind) or (kind,))]
                    met.update(here[:1])
                    for i in here[1:]:
                        if routes[i].engine_kind is not None:
                            takers[i].add(here[0])
    for i in range(len(routes)):
        if i not in met:
            by = ", ".join(f"timings.route[{other}]" for other in sorted(takers[i]))
            yield Fault(
                f"timings.route[{i}]",
                None,
                "is never met: an earlier route takes all that it would"
                if by
                else "is never met: no request of the site is like that",
                by,
            )
