"""The `[timings]` part of the operator's file as it is written. Times are milliseconds, shares parts of 1."""

import re
from typing import Annotated, Any, Literal, NamedTuple

import msgspec
from msgspec import Meta

Names = str | list[str]
Reason = Literal["full", "noconn", "reset", "error", "late"]
REASONS: tuple[Reason, ...] = ("full", "noconn", "reset", "error", "late")
NEVER_RAN: frozenset[Reason] = frozenset(("full", "noconn"))  # what proves that an attempt never ran
Share = Annotated[float, Meta(ge=0, le=1)]
Quantile = Annotated[str, Meta(pattern=r"^p\d{1,2}(\.\d{1,3})?(\*\d+(\.\d+)?)?$")]
DAY_MS = 86_400_000


class Learned(NamedTuple):
    """A quantile of what was learned, times a factor."""

    percent: float
    factor: float


class Backoff(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How long to wait before a further attempt: `first`, then each time `factor` as long, `most` at most. Jitter
    `full` draws from 0 to that, `half` from half of it, `none` waits all of it."""

    first: float
    factor: float = 2.0
    most: float | None = None  # without it: the first
    jitter: Literal["full", "half", "none"] = "full"

    def longest(self, further: int) -> float:
        """The most that is waited before further attempt number `further`, from 1."""
        most = self.first if self.most is None else self.most
        return min(self.first * self.factor ** (further - 1), most)


class SecondCopy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A second attempt beside one that is still out: `after_ms`, or `after` a learned quantile; copies are at most
    `most_share` of the requests served."""

    after_ms: float | None = None
    after: Quantile | None = None
    most_share: Share = 0.05


class Route(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One route. What it matches, left out: all. What it sets, left out: as without a route."""

    cls: Names | None = msgspec.field(default=None, name="class")
    tenant: Names | None = None
    engine_kind: Names | None = None
    estimate_ms: tuple[float, float] | None = None  # half-open

    attempt_timeout_ms: float | None = None
    attempt_timeout: Quantile | None = None
    attempt_timeout_least_ms: float | None = None
    attempt_timeout_most_ms: float | None = None
    attempts: int | None = None
    backoff_ms: Backoff | None = None
    retry_on: list[Reason] | None = None
    repeat_within_ms: float | None = None
    retry_share: Share | None = None
    retry_over_ms: float = 10_000
    retry_floor: int = 3  # further attempts in that time that are always allowed
    second_copy: SecondCopy | None = None
    priority: int | None = None


class TimingsFile(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The whole part."""

    route: list[Route] = []


MATCHES = ("cls", "tenant", "engine_kind", "estimate_ms")
# what can depend on the engine, and so stand in a route that names a kind of engine; the rest is a request's
BY_ENGINE = (
    "attempt_timeout_ms",
    "attempt_timeout",
    "attempt_timeout_least_ms",
    "attempt_timeout_most_ms",
    "priority",
    "second_copy",
)
_FIELDS = msgspec.structs.fields(Route)  # asked for once: it evaluates the types of all fields
WORDS = {field.name: field.encode_name for field in _FIELDS}
DEFAULTS = {field.name: field.default for field in _FIELDS}


class Fault(msgspec.Struct, frozen=True):
    """Why a file is refused, or a warning: the key at fault, its value, a plain reason. `also`: a key of another file
    that it stands against."""

    key: str
    value: Any
    reason: str = msgspec.field(name="why")
    related_key: str = msgspec.field(default="", name="also")

    def __str__(self) -> str:
        given = "" if self.value is None else f" = {msgspec.json.encode(self.value).decode()}"
        return f"{self.key}{given}: {self.reason}" + (f" ({self.related_key})" if self.related_key else "")


def learned(text: str) -> Learned:
    """`p99*1.5` as numbers; the pattern of the type has been checked."""
    percent, _, factor = text[1:].partition("*")
    return Learned(float(percent), float(factor or 1))


def read_routes(part: Any) -> tuple[list[Route], list[Fault]]:
    """The routes of a part as TOML gives it, and every fault of form in it, each by its key. A route with such a
    fault stands in the list without the keys at fault, so that the rest of it is checked too."""
    if not isinstance(part, dict):
        return [], [Fault("timings", part, "is not a table")]
    faults = [Fault(f"timings.{key}", part[key], "is not known here; there is route") for key in part if key != "route"]
    listed = part.get("route", [])
    if not isinstance(listed, list):
        return [], [*faults, Fault("timings.route", listed, "is not a list of tables: write [[timings.route]]")]
    routes = []
    for i, told in enumerate(listed):
        route, wrong = _read_route(f"timings.route[{i}]", told)
        routes.append(route)
        faults += wrong
    return routes, faults


def _read_route(at: str, told: Any) -> tuple[Route, list[Fault]]:
    if not isinstance(told, dict):
        return Route(), [Fault(at, told, "is not a table")]
    faults, good = [], {}
    known = WORDS.values()
    for key, value in told.items():
        if key not in known:
            faults.append(Fault(f"{at}.{key}", value, "is not known; there are " + ", ".join(known)))
            continue
        try:
            msgspec.convert({key: value}, Route)
        except msgspec.ValidationError as bad:
            faults.append(_named(at, key, value, str(bad)))
        else:
            good[key] = value
    return msgspec.convert(good, Route), faults


def _named(at: str, key: str, value: Any, said: str) -> Fault:
    """The library's words, with the path to what is wrong inside the value as part of the key."""
    why, _, path = said.partition(" - at `$.")
    inner = re.sub(r"^[^.\[`]*", "", path.rstrip("`"))
    if "attern" in why or "regex" in why:
        why = "is not a quantile such as p99 or p99*1.5"
    return Fault(f"{at}.{key}{inner}", value, why[:1].lower() + why[1:])
