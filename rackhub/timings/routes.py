"""The `[timings]` table of the operator's file. Times are milliseconds, shares fractions from 0 to 1."""

import re
from typing import Annotated, Any, Literal, NamedTuple

import msgspec
from msgspec import Meta

Names = str | list[str]
Reason = Literal["full", "noconn", "reset", "error", "late"]
RETRY_REASONS: tuple[Reason, ...] = ("full", "noconn", "reset", "error", "late")
NOT_EXECUTED_REASONS: frozenset[Reason] = frozenset(("full", "noconn"))  # outcomes of attempts that surely did not run
Fraction = Annotated[float, Meta(ge=0, le=1)]
Quantile = Annotated[str, Meta(pattern=r"^p\d{1,2}(\.\d{1,3})?(\*\d+(\.\d+)?)?$")]
DAY_MS = 86_400_000


class LearnedLimit(NamedTuple):
    """A quantile of the latencies seen, as a percentile, times a factor."""

    percent: float
    factor: float


class Backoff(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The delay before a retry: `first`, multiplied by `factor` for each further one, at most `most`.

    Jitter `full` draws the delay from 0 to that value, `half` from half of it to all of it; `none` applies all of it.
    """

    first: float
    factor: float = 2.0
    most: float | None = None  # defaults to `first`
    jitter: Literal["full", "half", "none"] = "full"

    def max_delay_ms(self, retry: int) -> float:
        """Return the longest delay before retry number `retry`, counted from 1."""
        most = self.first if self.most is None else self.most
        return min(self.first * self.factor ** (retry - 1), most)


class SecondCopy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A hedge: a second attempt while the first is in flight, `after_ms` or after the learned quantile `after`.

    Second copies are limited to the fraction `most_share` of the requests served.
    """

    after_ms: float | None = None
    after: Quantile | None = None
    most_share: Fraction = 0.05


class Route(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One route. A match key that is left out matches all requests; a term that is left out keeps its default."""

    cls: Names | None = msgspec.field(default=None, name="class")
    tenant: Names | None = None
    engine_kind: Names | None = None
    estimate_ms: tuple[float, float] | None = None  # lower bound (inclusive) and upper bound (exclusive)

    attempt_timeout_ms: float | None = None
    attempt_timeout: Quantile | None = None
    attempt_timeout_least_ms: float | None = None
    attempt_timeout_most_ms: float | None = None
    attempts: int | None = None
    backoff_ms: Backoff | None = None
    retry_on: list[Reason] | None = None
    repeat_within_ms: float | None = None
    retry_share: Fraction | None = None
    retry_over_ms: float = 10_000
    retry_floor: int = 3  # retries that are always allowed within `retry_over_ms`
    second_copy: SecondCopy | None = None
    priority: int | None = None


class TimingsFile(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The `[timings]` table."""

    route: list[Route] = []


MATCH_FIELDS = ("cls", "tenant", "engine_kind", "estimate_ms")
# Terms of an attempt, which a route with `engine_kind` may set. All others are fixed before an engine is chosen.
ATTEMPT_FIELDS = (
    "attempt_timeout_ms",
    "attempt_timeout",
    "attempt_timeout_least_ms",
    "attempt_timeout_most_ms",
    "priority",
    "second_copy",
)
_FIELDS = msgspec.structs.fields(Route)  # called once, as it evaluates the types of all fields
FILE_KEYS = {field.name: field.encode_name for field in _FIELDS}
DEFAULTS = {field.name: field.default for field in _FIELDS}


class Fault(msgspec.Struct, frozen=True):
    """A fault of a file, or a warning: the key, its value and the reason.

    `related_key`: the key that it conflicts with, also one of another file.
    """

    key: str
    value: Any
    reason: str = msgspec.field(name="why")
    related_key: str = msgspec.field(default="", name="also")

    def __str__(self) -> str:
        value_text = "" if self.value is None else f" = {msgspec.json.encode(self.value).decode()}"
        return f"{self.key}{value_text}: {self.reason}" + (f" ({self.related_key})" if self.related_key else "")


def parse_learned_limit(text: str) -> LearnedLimit:
    """Parse a text such as `p99*1.5`, which matches the pattern of `Quantile`."""
    percent, _, factor = text[1:].partition("*")
    return LearnedLimit(float(percent), float(factor or 1))


def read_routes(table: Any) -> tuple[list[Route], list[Fault]]:
    """Parse the `[timings]` table, as TOML gives it, and return its routes and every fault of form.

    A route with such a fault is returned without the keys at fault, so that the rest of it can be checked too.
    """
    if not isinstance(table, dict):
        return [], [Fault("timings", table, "is not a table")]
    faults = [
        Fault(f"timings.{key}", table[key], "is not known here; there is route") for key in table if key != "route"
    ]
    tables = table.get("route", [])
    if not isinstance(tables, list):
        return [], [*faults, Fault("timings.route", tables, "is not a list of tables: write [[timings.route]]")]
    routes = []
    for index, route_table in enumerate(tables):
        route, route_faults = _read_route(f"timings.route[{index}]", route_table)
        routes.append(route)
        faults += route_faults
    return routes, faults


def _read_route(key_prefix: str, table: Any) -> tuple[Route, list[Fault]]:
    if not isinstance(table, dict):
        return Route(), [Fault(key_prefix, table, "is not a table")]
    faults, valid = [], {}
    known_keys = FILE_KEYS.values()
    for key, value in table.items():
        if key not in known_keys:
            faults.append(Fault(f"{key_prefix}.{key}", value, "is not known; there are " + ", ".join(known_keys)))
            continue
        try:
            msgspec.convert({key: value}, Route)
        except msgspec.ValidationError as error:
            faults.append(_conversion_fault(key_prefix, key, value, str(error)))
        else:
            valid[key] = value
    return msgspec.convert(valid, Route), faults


def _conversion_fault(key_prefix: str, key: str, value: Any, message: str) -> Fault:
    """Return the fault for a message of msgspec; the path that it names inside the value becomes part of the key."""
    reason, _, path = message.partition(" - at `$.")
    inner_path = re.sub(r"^[^.\[`]*", "", path.rstrip("`"))
    if "attern" in reason or "regex" in reason:
        reason = "is not a quantile such as p99 or p99*1.5"
    return Fault(f"{key_prefix}.{key}{inner_path}", value, reason[:1].lower() + reason[1:])
