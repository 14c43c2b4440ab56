"""Invalid `[timings]` files with the exact keys at fault. docs/operators/timings.md lists them by name.

They are checked against the settings `SITE`, which allow no second copies, or `SITE_WITH_HEDGING`, which do.
"""

import tomllib

from rackhub import interface as t

S, MS = 1_000_000, 1_000
CLASSES = (
    t.ClassSettings("lookup", deadline=3 * S, latency_objective=600 * MS, idempotency="retryable"),
    t.ClassSettings("report", deadline=20 * S, latency_objective=3 * S, idempotency="retryable", threads=3),
    t.ClassSettings(
        "depot-load",
        deadline=25 * S,
        latency_objective=3 * S,
        idempotency="dedup",
        idempotency_scope="all",
        idempotency_window=25 * S,
    ),
    t.ClassSettings(
        "zone-load",
        deadline=25 * S,
        latency_objective=3 * S,
        idempotency="dedup",
        idempotency_scope="zone",
        idempotency_window=10 * S,
    ),
    t.ClassSettings("payment", deadline=5 * S, latency_objective=S, idempotency="fragile"),
)
SITE = t.Settings(
    classes=CLASSES,
    tenants=(t.TenantSettings("nyarugenge-bikes"), t.TenantSettings("huye-cycle")),
    kind_cores={"std-8": 8.0, "std-16": 16.0},
    max_attempts=3,
    cancel=True,
    priorities=True,
    max_retry_after=500 * MS,
)
SITE_WITH_HEDGING = t.Settings(
    classes=CLASSES,
    tenants=SITE.tenants,
    kind_cores=SITE.kind_cores,
    max_attempts=3,
    cancel=True,
    priorities=True,
    max_retry_after=500 * MS,
    hedging=True,
)


def timings_section(text):
    """Return the `[timings]` table of a file."""
    return tomllib.loads(text).get("timings", {})


def route(text):
    return "[[timings.route]]\n" + text


ROUTE_KEY = "timings.route[0]"
# Each entry: the name in the docs, the text, the keys at fault, the site's settings.
BAD_FILES = [
    ("four attempts", route("attempts = 4"), [f"{ROUTE_KEY}.attempts"], SITE),
    ("no attempt", route("attempts = 0"), [f"{ROUTE_KEY}.attempts"], SITE),
    ("attempts below none", route("attempts = -1"), [f"{ROUTE_KEY}.attempts"], SITE),
    ("attempts in part", route("attempts = 2.5"), [f"{ROUTE_KEY}.attempts"], SITE),
    ("attempts as text", route('attempts = "3"'), [f"{ROUTE_KEY}.attempts"], SITE),
    (
        "second copy of a lookup where none is allowed",
        route('class = "lookup"\nsecond_copy = { after_ms = 250 }'),
        [f"{ROUTE_KEY}.second_copy"],
        SITE,
    ),
    (
        "second copy of a class that may not run twice",
        route('class = "payment"\nsecond_copy = { after_ms = 250 }'),
        [f"{ROUTE_KEY}.second_copy"],
        SITE_WITH_HEDGING,
    ),
    (
        "second copy of a class keyed in a zone only",
        route('class = "zone-load"\nsecond_copy = { after_ms = 250 }'),
        [f"{ROUTE_KEY}.second_copy"],
        SITE_WITH_HEDGING,
    ),
    (
        "second copy where all classes match",
        route("second_copy = { after_ms = 250 }"),
        [f"{ROUTE_KEY}.second_copy", f"{ROUTE_KEY}.second_copy"],
        SITE_WITH_HEDGING,
    ),
    (
        "second copy beside one attempt",
        route('class = "lookup"\nattempts = 1\nsecond_copy = { after_ms = 250 }'),
        [f"{ROUTE_KEY}.second_copy"],
        SITE_WITH_HEDGING,
    ),
    (
        "second copy with no time",
        route('class = "lookup"\nsecond_copy = { most_share = 0.1 }'),
        [f"{ROUTE_KEY}.second_copy"],
        SITE_WITH_HEDGING,
    ),
    (
        "second copy with two times",
        route('class = "lookup"\nsecond_copy = { after_ms = 250, after = "p95" }'),
        [f"{ROUTE_KEY}.second_copy"],
        SITE_WITH_HEDGING,
    ),
    (
        "second copy at once",
        route('class = "lookup"\nsecond_copy = { after_ms = 0 }'),
        [f"{ROUTE_KEY}.second_copy.after_ms"],
        SITE_WITH_HEDGING,
    ),
    (
        "second copy after the time-out",
        route('class = "lookup"\nattempt_timeout_ms = 200\nsecond_copy = { after_ms = 250 }'),
        [f"{ROUTE_KEY}.second_copy.after_ms"],
        SITE_WITH_HEDGING,
    ),
    (
        "second copy after the deadline",
        route('class = "lookup"\nsecond_copy = { after_ms = 3000 }'),
        [f"{ROUTE_KEY}.second_copy.after_ms"],
        SITE_WITH_HEDGING,
    ),
    (
        "copies for none",
        route('class = "lookup"\nsecond_copy = { after_ms = 250, most_share = 0 }'),
        [f"{ROUTE_KEY}.second_copy.most_share"],
        SITE_WITH_HEDGING,
    ),
    (
        "more copies than requests",
        route('class = "lookup"\nsecond_copy = { after_ms = 250, most_share = 1.5 }'),
        [f"{ROUTE_KEY}.second_copy.most_share"],
        SITE_WITH_HEDGING,
    ),
    (
        "second copy after no quantile",
        route('class = "lookup"\nsecond_copy = { after = "often" }'),
        [f"{ROUTE_KEY}.second_copy.after"],
        SITE_WITH_HEDGING,
    ),
    (
        "second copy after the quantile 0",
        route('class = "lookup"\nsecond_copy = { after = "p0" }'),
        [f"{ROUTE_KEY}.second_copy.after"],
        SITE_WITH_HEDGING,
    ),
    (
        "second copy with a word too many",
        route('class = "lookup"\nsecond_copy = { after_ms = 9, colour = 1 }'),
        [f"{ROUTE_KEY}.second_copy"],
        SITE_WITH_HEDGING,
    ),
    (
        "second copy as a number",
        route('class = "lookup"\nsecond_copy = 250'),
        [f"{ROUTE_KEY}.second_copy"],
        SITE_WITH_HEDGING,
    ),
    (
        "a depot-load repeat beyond its key's window",
        route('class = "depot-load"\nrepeat_within_ms = 26000'),
        [f"{ROUTE_KEY}.repeat_within_ms"],
        SITE,
    ),
    (
        "a repeat window where no key is",
        route('class = "lookup"\nrepeat_within_ms = 2000'),
        [f"{ROUTE_KEY}.repeat_within_ms"],
        SITE,
    ),
    (
        "a repeat window for classes of both kinds",
        route('class = ["report", "depot-load"]\nrepeat_within_ms = 2000'),
        [f"{ROUTE_KEY}.repeat_within_ms"],
        SITE,
    ),
    (
        "a repeat window of nothing",
        route('class = "depot-load"\nrepeat_within_ms = 0'),
        [f"{ROUTE_KEY}.repeat_within_ms"],
        SITE,
    ),
    (
        "repeats that end outside the window by time-outs",
        route('class = "zone-load"\nattempts = 3\nattempt_timeout_ms = 6000'),
        [f"{ROUTE_KEY}.attempts"],
        SITE,
    ),
    (
        "repeats that end outside the window by back-off",
        route('class = "zone-load"\nattempts = 3\nbackoff_ms = { first = 5000, factor = 2.0, most = 10000 }'),
        [f"{ROUTE_KEY}.attempts"],
        SITE,
    ),
    (
        "repeats that end outside their own window",
        route('class = "depot-load"\nattempts = 2\nattempt_timeout_ms = 9000\nrepeat_within_ms = 8000'),
        [f"{ROUTE_KEY}.repeat_within_ms"],
        SITE,
    ),
    (
        "attempts that do not fit into the deadline",
        route('class = "lookup"\nattempts = 3\nattempt_timeout_ms = 1500'),
        [f"{ROUTE_KEY}.attempts"],
        SITE,
    ),
    (
        "waits that do not fit into the deadline",
        route('class = "lookup"\nattempts = 2\nbackoff_ms = { first = 3000 }'),
        [f"{ROUTE_KEY}.attempts"],
        SITE,
    ),
    (
        "attempts that fit one class and not the other",
        route('class = ["lookup", "report"]\nattempts = 3\nattempt_timeout_ms = 2000'),
        [f"{ROUTE_KEY}.attempts"],
        SITE,
    ),
    (
        "a time-out above the deadline",
        route('class = "lookup"\nattempt_timeout_ms = 3500'),
        [f"{ROUTE_KEY}.attempt_timeout_ms"],
        SITE,
    ),
    ("a time-out of nothing", route("attempt_timeout_ms = 0"), [f"{ROUTE_KEY}.attempt_timeout_ms"], SITE),
    ("a time-out below nothing", route("attempt_timeout_ms = -5"), [f"{ROUTE_KEY}.attempt_timeout_ms"], SITE),
    ("a time-out as text", route('attempt_timeout_ms = "700ms"'), [f"{ROUTE_KEY}.attempt_timeout_ms"], SITE),
    (
        "two time-outs",
        route('class = "report"\nattempt_timeout_ms = 700\nattempt_timeout = "p99*1.5"'),
        [f"{ROUTE_KEY}.attempt_timeout"],
        SITE,
    ),
    ("a time-out that is no quantile", route('attempt_timeout = "99%"'), [f"{ROUTE_KEY}.attempt_timeout"], SITE),
    ("the quantile 0", route('attempt_timeout = "p0*1.5"'), [f"{ROUTE_KEY}.attempt_timeout"], SITE),
    ("a quantile above 100", route('attempt_timeout = "p101"'), [f"{ROUTE_KEY}.attempt_timeout"], SITE),
    ("a factor of nothing", route('attempt_timeout = "p99*0"'), [f"{ROUTE_KEY}.attempt_timeout"], SITE),
    ("a factor out of bounds", route('attempt_timeout = "p99*50"'), [f"{ROUTE_KEY}.attempt_timeout"], SITE),
    (
        "a floor above the ceiling",
        route('attempt_timeout = "p99"\nattempt_timeout_least_ms = 900\nattempt_timeout_most_ms = 500'),
        [f"{ROUTE_KEY}.attempt_timeout_least_ms"],
        SITE,
    ),
    (
        "a floor above the deadline",
        route('class = "lookup"\nattempt_timeout = "p99"\nattempt_timeout_least_ms = 4000'),
        [f"{ROUTE_KEY}.attempt_timeout_least_ms"],
        SITE,
    ),
    (
        "a ceiling of nothing",
        route('attempt_timeout = "p99"\nattempt_timeout_most_ms = 0'),
        [f"{ROUTE_KEY}.attempt_timeout_most_ms"],
        SITE,
    ),
    (
        "a floor with nothing learned",
        route("attempt_timeout_least_ms = 100"),
        [f"{ROUTE_KEY}.attempt_timeout_least_ms"],
        SITE,
    ),
    (
        "a ceiling with nothing learned",
        route('class = "report"\nattempt_timeout_ms = 700\nattempt_timeout_most_ms = 900'),
        [f"{ROUTE_KEY}.attempt_timeout_most_ms"],
        SITE,
    ),
    ("a back-off of nothing", route("backoff_ms = { first = 0 }"), [f"{ROUTE_KEY}.backoff_ms.first"], SITE),
    (
        "a back-off that shrinks",
        route("backoff_ms = { first = 20, factor = 0.5 }"),
        [f"{ROUTE_KEY}.backoff_ms.factor"],
        SITE,
    ),
    (
        "a back-off that explodes",
        route("backoff_ms = { first = 20, factor = 100.0 }"),
        [f"{ROUTE_KEY}.backoff_ms.factor"],
        SITE,
    ),
    (
        "a back-off with its most under its first",
        route("backoff_ms = { first = 20, most = 10 }"),
        [f"{ROUTE_KEY}.backoff_ms.most"],
        SITE,
    ),
    (
        "a back-off with an unknown jitter",
        route('backoff_ms = { first = 20, jitter = "some" }'),
        [f"{ROUTE_KEY}.backoff_ms.jitter"],
        SITE,
    ),
    ("a back-off without its first", route("backoff_ms = { factor = 2.0 }"), [f"{ROUTE_KEY}.backoff_ms"], SITE),
    ("an unknown reason", route('retry_on = ["full", "sometimes"]'), [f"{ROUTE_KEY}.retry_on[1]"], SITE),
    ("a reason twice", route('retry_on = ["full", "full"]'), [f"{ROUTE_KEY}.retry_on"], SITE),
    ("reasons as one text", route('retry_on = "full"'), [f"{ROUTE_KEY}.retry_on"], SITE),
    (
        "a class that may not run twice tried again after it may have run",
        route('class = "payment"\nretry_on = ["full", "reset", "late"]'),
        [f"{ROUTE_KEY}.retry_on"],
        SITE,
    ),
    ("a share above all", route("retry_share = 1.1"), [f"{ROUTE_KEY}.retry_share"], SITE),
    ("a share below none", route("retry_share = -0.1"), [f"{ROUTE_KEY}.retry_share"], SITE),
    ("a share over no time", route("retry_share = 0.1\nretry_over_ms = 10"), [f"{ROUTE_KEY}.retry_over_ms"], SITE),
    ("a share over hours", route("retry_share = 0.1\nretry_over_ms = 3600000"), [f"{ROUTE_KEY}.retry_over_ms"], SITE),
    ("a floor below none", route("retry_share = 0.1\nretry_floor = -1"), [f"{ROUTE_KEY}.retry_floor"], SITE),
    ("a priority out of bounds", route("priority = 4"), [f"{ROUTE_KEY}.priority"], SITE),
    ("a priority below none", route("priority = -1"), [f"{ROUTE_KEY}.priority"], SITE),
    ("a class that the site has not", route('class = "lookups"\nattempts = 2'), [f"{ROUTE_KEY}.class"], SITE),
    ("a tenant that the site has not", route('tenant = "acme"\nattempts = 2'), [f"{ROUTE_KEY}.tenant"], SITE),
    ("a kind that the site has not", route('engine_kind = "std-32"\npriority = 2'), [f"{ROUTE_KEY}.engine_kind"], SITE),
    ("no class at all", route("class = []\nattempts = 2"), [f"{ROUTE_KEY}.class"], SITE),
    ("a class twice", route('class = ["report", "report"]\nattempts = 2'), [f"{ROUTE_KEY}.class"], SITE),
    ("a class that is a number", route("class = 7\nattempts = 2"), [f"{ROUTE_KEY}.class"], SITE),
    (
        "an empty range of estimates",
        route("estimate_ms = [500, 500]\nattempts = 2"),
        [f"{ROUTE_KEY}.estimate_ms"],
        SITE,
    ),
    (
        "a range of estimates backwards",
        route("estimate_ms = [500, 100]\nattempts = 2"),
        [f"{ROUTE_KEY}.estimate_ms"],
        SITE,
    ),
    (
        "a range of estimates below 0",
        route("estimate_ms = [-5, 100]\nattempts = 2"),
        [f"{ROUTE_KEY}.estimate_ms"],
        SITE,
    ),
    ("a range with one end", route("estimate_ms = [500]\nattempts = 2"), [f"{ROUTE_KEY}.estimate_ms"], SITE),
    ("attempts by kind of engine", route('engine_kind = "std-8"\nattempts = 2'), [f"{ROUTE_KEY}.attempts"], SITE),
    (
        "a budget by kind of engine",
        route('engine_kind = "std-8"\nretry_share = 0.1'),
        [f"{ROUTE_KEY}.retry_share"],
        SITE,
    ),
    ("an unknown key", route("tries = 3"), [f"{ROUTE_KEY}.tries"], SITE),
    ("an unknown key of the part", "[timings]\nroutes = 3", ["timings.routes"], SITE),
    ("a route that is no table", "[timings]\nroute = [3]", [ROUTE_KEY], SITE),
    ("one route as a table", "[timings.route]\nattempts = 2", ["timings.route"], SITE),
    (
        "a route after one that takes all",
        route("attempts = 2\n") + route('class = "lookup"\nattempts = 1'),
        ["timings.route[1]"],
        SITE,
    ),
    (
        "a route that two take together",
        route("estimate_ms = [0, 500]\nattempts = 2\n")
        + route("estimate_ms = [500, 1e9]\nattempts = 1\n")
        + route('class = "lookup"\nestimate_ms = [100, 900]\nattempts = 3'),
        ["timings.route[2]"],
        SITE,
    ),
    (
        "a route that a list of classes takes",
        route('class = ["lookup", "report"]\nattempts = 2\n')
        + route('class = "report"\ntenant = "huye-cycle"\nattempts = 1'),
        ["timings.route[1]"],
        SITE,
    ),
    (
        "a route by kind after one that takes all",
        route("attempts = 2\n") + route('engine_kind = "std-8"\npriority = 2'),
        ["timings.route[1]"],
        SITE,
    ),
    (
        "five faults at once",
        route('class = "x"\nattempts = 4\npriority = 9\n') + route("retry_share = 7\ncolour = 1"),
        [
            f"{ROUTE_KEY}.class",
            f"{ROUTE_KEY}.priority",
            f"{ROUTE_KEY}.attempts",
            "timings.route[1].retry_share",
            "timings.route[1].colour",
        ],
        SITE,
    ),
]

GOOD_FILE = """
[[timings.route]]
class = "lookup"
tenant = "huye-cycle"
estimate_ms = [0, 500]
attempt_timeout_ms = 700
attempts = 3
backoff_ms = { first = 20, factor = 2.0, most = 400, jitter = "full" }
retry_on = ["full", "noconn", "reset", "error", "late"]
retry_share = 0.1

[[timings.route]]
class = "lookup"
engine_kind = "std-16"
attempt_timeout = "p99*1.5"
attempt_timeout_least_ms = 100
attempt_timeout_most_ms = 1200
priority = 2

[[timings.route]]
class = "lookup"
attempts = 2
retry_share = 0.1
retry_over_ms = 5000

[[timings.route]]
class = "depot-load"
attempts = 2
repeat_within_ms = 20000
attempt_timeout_ms = 9000

[[timings.route]]
class = "payment"
retry_on = ["full", "noconn"]
"""
