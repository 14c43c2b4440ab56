"""Files that must be refused, each with the exact keys that it is refused by. docs/operators/timings.md lists them.

`SITE` is the site: what the table is checked against. The engines of `SITE` take no second copies; `COPIES` do.
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
COPIES = t.Settings(
    classes=CLASSES,
    tenants=SITE.tenants,
    kind_cores=SITE.kind_cores,
    max_attempts=3,
    cancel=True,
    priorities=True,
    max_retry_after=500 * MS,
    hedging=True,
)


def part(text):
    """The `[timings]` part of a file."""
    return tomllib.loads(text).get("timings", {})


def one(text):
    return "[[timings.route]]\n" + text


R = "timings.route[0]"
# what is wrong with it, its text, the keys that it is refused by, the site
BAD = [
    ("four attempts", one("attempts = 4"), [f"{R}.attempts"], SITE),
    ("no attempt", one("attempts = 0"), [f"{R}.attempts"], SITE),
    ("attempts below none", one("attempts = -1"), [f"{R}.attempts"], SITE),
    ("attempts in part", one("attempts = 2.5"), [f"{R}.attempts"], SITE),
    ("attempts as text", one('attempts = "3"'), [f"{R}.attempts"], SITE),
    (
        "second copy of a lookup where none is allowed",
        one('class = "lookup"\nsecond_copy = { after_ms = 250 }'),
        [f"{R}.second_copy"],
        SITE,
    ),
    (
        "second copy of a class that may not run twice",
        one('class = "payment"\nsecond_copy = { after_ms = 250 }'),
        [f"{R}.second_copy"],
        COPIES,
    ),
    (
        "second copy of a class keyed in a zone only",
        one('class = "zone-load"\nsecond_copy = { after_ms = 250 }'),
        [f"{R}.second_copy"],
        COPIES,
    ),
    (
        "second copy where all classes match",
        one("second_copy = { after_ms = 250 }"),
        [f"{R}.second_copy", f"{R}.second_copy"],
        COPIES,
    ),
    (
        "second copy beside one attempt",
        one('class = "lookup"\nattempts = 1\nsecond_copy = { after_ms = 250 }'),
        [f"{R}.second_copy"],
        COPIES,
    ),
    (
        "second copy with no time",
        one('class = "lookup"\nsecond_copy = { most_share = 0.1 }'),
        [f"{R}.second_copy"],
        COPIES,
    ),
    (
        "second copy with two times",
        one('class = "lookup"\nsecond_copy = { after_ms = 250, after = "p95" }'),
        [f"{R}.second_copy"],
        COPIES,
    ),
    (
        "second copy at once",
        one('class = "lookup"\nsecond_copy = { after_ms = 0 }'),
        [f"{R}.second_copy.after_ms"],
        COPIES,
    ),
    (
        "second copy after the time-out",
        one('class = "lookup"\nattempt_timeout_ms = 200\nsecond_copy = { after_ms = 250 }'),
        [f"{R}.second_copy.after_ms"],
        COPIES,
    ),
    (
        "second copy after the deadline",
        one('class = "lookup"\nsecond_copy = { after_ms = 3000 }'),
        [f"{R}.second_copy.after_ms"],
        COPIES,
    ),
    (
        "copies for none",
        one('class = "lookup"\nsecond_copy = { after_ms = 250, most_share = 0 }'),
        [f"{R}.second_copy.most_share"],
        COPIES,
    ),
    (
        "more copies than requests",
        one('class = "lookup"\nsecond_copy = { after_ms = 250, most_share = 1.5 }'),
        [f"{R}.second_copy.most_share"],
        COPIES,
    ),
    (
        "second copy after no quantile",
        one('class = "lookup"\nsecond_copy = { after = "often" }'),
        [f"{R}.second_copy.after"],
        COPIES,
    ),
    (
        "second copy after the quantile 0",
        one('class = "lookup"\nsecond_copy = { after = "p0" }'),
        [f"{R}.second_copy.after"],
        COPIES,
    ),
    (
        "second copy with a word too many",
        one('class = "lookup"\nsecond_copy = { after_ms = 9, colour = 1 }'),
        [f"{R}.second_copy"],
        COPIES,
    ),
    ("second copy as a number", one('class = "lookup"\nsecond_copy = 250'), [f"{R}.second_copy"], COPIES),
    (
        "a depot-load repeat beyond its key's window",
        one('class = "depot-load"\nrepeat_within_ms = 26000'),
        [f"{R}.repeat_within_ms"],
        SITE,
    ),
    (
        "a repeat window where no key is",
        one('class = "lookup"\nrepeat_within_ms = 2000'),
        [f"{R}.repeat_within_ms"],
        SITE,
    ),
    (
        "a repeat window for classes of both kinds",
        one('class = ["report", "depot-load"]\nrepeat_within_ms = 2000'),
        [f"{R}.repeat_within_ms"],
        SITE,
    ),
    ("a repeat window of nothing", one('class = "depot-load"\nrepeat_within_ms = 0'), [f"{R}.repeat_within_ms"], SITE),
    (
        "repeats that end outside the window by time-outs",
        one('class = "zone-load"\nattempts = 3\nattempt_timeout_ms = 6000'),
        [f"{R}.attempts"],
        SITE,
    ),
    (
        "repeats that end outside the window by back-off",
        one('class = "zone-load"\nattempts = 3\nbackoff_ms = { first = 5000, factor = 2.0, most = 10000 }'),
        [f"{R}.attempts"],
        SITE,
    ),
    (
        "repeats that end outside their own window",
        one('class = "depot-load"\nattempts = 2\nattempt_timeout_ms = 9000\nrepeat_within_ms = 8000'),
        [f"{R}.repeat_within_ms"],
        SITE,
    ),
    (
        "attempts that do not fit into the deadline",
        one('class = "lookup"\nattempts = 3\nattempt_timeout_ms = 1500'),
        [f"{R}.attempts"],
        SITE,
    ),
    (
        "waits that do not fit into the deadline",
        one('class = "lookup"\nattempts = 2\nbackoff_ms = { first = 3000 }'),
        [f"{R}.attempts"],
        SITE,
    ),
    (
        "attempts that fit one class and not the other",
        one('class = ["lookup", "report"]\nattempts = 3\nattempt_timeout_ms = 2000'),
        [f"{R}.attempts"],
        SITE,
    ),
    (
        "a time-out above the deadline",
        one('class = "lookup"\nattempt_timeout_ms = 3500'),
        [f"{R}.attempt_timeout_ms"],
        SITE,
    ),
    ("a time-out of nothing", one("attempt_timeout_ms = 0"), [f"{R}.attempt_timeout_ms"], SITE),
    ("a time-out below nothing", one("attempt_timeout_ms = -5"), [f"{R}.attempt_timeout_ms"], SITE),
    ("a time-out as text", one('attempt_timeout_ms = "700ms"'), [f"{R}.attempt_timeout_ms"], SITE),
    (
        "two time-outs",
        one('class = "report"\nattempt_timeout_ms = 700\nattempt_timeout = "p99*1.5"'),
        [f"{R}.attempt_timeout"],
        SITE,
    ),
    ("a time-out that is no quantile", one('attempt_timeout = "99%"'), [f"{R}.attempt_timeout"], SITE),
    ("the quantile 0", one('attempt_timeout = "p0*1.5"'), [f"{R}.attempt_timeout"], SITE),
    ("a quantile above 100", one('attempt_timeout = "p101"'), [f"{R}.attempt_timeout"], SITE),
    ("a factor of nothing", one('attempt_timeout = "p99*0"'), [f"{R}.attempt_timeout"], SITE),
    ("a factor out of bounds", one('attempt_timeout = "p99*50"'), [f"{R}.attempt_timeout"], SITE),
    (
        "a floor above the ceiling",
        one('attempt_timeout = "p99"\nattempt_timeout_least_ms = 900\nattempt_timeout_most_ms = 500'),
        [f"{R}.attempt_timeout_least_ms"],
        SITE,
    ),
    (
        "a floor above the deadline",
        one('class = "lookup"\nattempt_timeout = "p99"\nattempt_timeout_least_ms = 4000'),
        [f"{R}.attempt_timeout_least_ms"],
        SITE,
    ),
    (
        "a ceiling of nothing",
        one('attempt_timeout = "p99"\nattempt_timeout_most_ms = 0'),
        [f"{R}.attempt_timeout_most_ms"],
        SITE,
    ),
    ("a floor with nothing learned", one("attempt_timeout_least_ms = 100"), [f"{R}.attempt_timeout_least_ms"], SITE),
    (
        "a ceiling with nothing learned",
        one('class = "report"\nattempt_timeout_ms = 700\nattempt_timeout_most_ms = 900'),
        [f"{R}.attempt_timeout_most_ms"],
        SITE,
    ),
    ("a back-off of nothing", one("backoff_ms = { first = 0 }"), [f"{R}.backoff_ms.first"], SITE),
    ("a back-off that shrinks", one("backoff_ms = { first = 20, factor = 0.5 }"), [f"{R}.backoff_ms.factor"], SITE),
    ("a back-off that explodes", one("backoff_ms = { first = 20, factor = 100.0 }"), [f"{R}.backoff_ms.factor"], SITE),
    (
        "a back-off with its most under its first",
        one("backoff_ms = { first = 20, most = 10 }"),
        [f"{R}.backoff_ms.most"],
        SITE,
    ),
    (
        "a back-off with an unknown jitter",
        one('backoff_ms = { first = 20, jitter = "some" }'),
        [f"{R}.backoff_ms.jitter"],
        SITE,
    ),
    ("a back-off without its first", one("backoff_ms = { factor = 2.0 }"), [f"{R}.backoff_ms"], SITE),
    ("an unknown reason", one('retry_on = ["full", "sometimes"]'), [f"{R}.retry_on[1]"], SITE),
    ("a reason twice", one('retry_on = ["full", "full"]'), [f"{R}.retry_on"], SITE),
    ("reasons as one text", one('retry_on = "full"'), [f"{R}.retry_on"], SITE),
    (
        "a class that may not run twice tried again after it may have run",
        one('class = "payment"\nretry_on = ["full", "reset", "late"]'),
        [f"{R}.retry_on"],
        SITE,
    ),
    ("a share above all", one("retry_share = 1.1"), [f"{R}.retry_share"], SITE),
    ("a share below none", one("retry_share = -0.1"), [f"{R}.retry_share"], SITE),
    ("a share over no time", one("retry_share = 0.1\nretry_over_ms = 10"), [f"{R}.retry_over_ms"], SITE),
    ("a share over hours", one("retry_share = 0.1\nretry_over_ms = 3600000"), [f"{R}.retry_over_ms"], SITE),
    ("a floor below none", one("retry_share = 0.1\nretry_floor = -1"), [f"{R}.retry_floor"], SITE),
    ("a priority out of bounds", one("priority = 4"), [f"{R}.priority"], SITE),
    ("a priority below none", one("priority = -1"), [f"{R}.priority"], SITE),
    ("a class that the site has not", one('class = "lookups"\nattempts = 2'), [f"{R}.class"], SITE),
    ("a tenant that the site has not", one('tenant = "acme"\nattempts = 2'), [f"{R}.tenant"], SITE),
    ("a kind that the site has not", one('engine_kind = "std-32"\npriority = 2'), [f"{R}.engine_kind"], SITE),
    ("no class at all", one("class = []\nattempts = 2"), [f"{R}.class"], SITE),
    ("a class twice", one('class = ["report", "report"]\nattempts = 2'), [f"{R}.class"], SITE),
    ("a class that is a number", one("class = 7\nattempts = 2"), [f"{R}.class"], SITE),
    ("an empty range of estimates", one("estimate_ms = [500, 500]\nattempts = 2"), [f"{R}.estimate_ms"], SITE),
    ("a range of estimates backwards", one("estimate_ms = [500, 100]\nattempts = 2"), [f"{R}.estimate_ms"], SITE),
    ("a range of estimates below 0", one("estimate_ms = [-5, 100]\nattempts = 2"), [f"{R}.estimate_ms"], SITE),
    ("a range with one end", one("estimate_ms = [500]\nattempts = 2"), [f"{R}.estimate_ms"], SITE),
    ("attempts by kind of engine", one('engine_kind = "std-8"\nattempts = 2'), [f"{R}.attempts"], SITE),
    ("a budget by kind of engine", one('engine_kind = "std-8"\nretry_share = 0.1'), [f"{R}.retry_share"], SITE),
    ("an unknown key", one("tries = 3"), [f"{R}.tries"], SITE),
    ("an unknown key of the part", "[timings]\nroutes = 3", ["timings.routes"], SITE),
    ("a route that is no table", "[timings]\nroute = [3]", [R], SITE),
    ("one route as a table", "[timings.route]\nattempts = 2", ["timings.route"], SITE),
    (
        "a route after one that takes all",
        one("attempts = 2\n") + one('class = "lookup"\nattempts = 1'),
        ["timings.route[1]"],
        SITE,
    ),
    (
        "a route that two take together",
        one("estimate_ms = [0, 500]\nattempts = 2\n")
        + one("estimate_ms = [500, 1e9]\nattempts = 1\n")
        + one('class = "lookup"\nestimate_ms = [100, 900]\nattempts = 3'),
        ["timings.route[2]"],
        SITE,
    ),
    (
        "a route that a list of classes takes",
        one('class = ["lookup", "report"]\nattempts = 2\n')
        + one('class = "report"\ntenant = "huye-cycle"\nattempts = 1'),
        ["timings.route[1]"],
        SITE,
    ),
    (
        "a route by kind after one that takes all",
        one("attempts = 2\n") + one('engine_kind = "std-8"\npriority = 2'),
        ["timings.route[1]"],
        SITE,
    ),
    (
        "five faults at once",
        one('class = "x"\nattempts = 4\npriority = 9\n') + one("retry_share = 7\ncolour = 1"),
        [f"{R}.class", f"{R}.priority", f"{R}.attempts", "timings.route[1].retry_share", "timings.route[1].colour"],
        SITE,
    ),
]

GOOD = """
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
