"""Rules that hold for any events of a site: a property test over many combinations of site settings."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_control import MS, Gateway, S

from rackhub import interface as t

IDEMPOTENCIES = ("retryable", "dedup", "fragile")
POSSIBLY_EXECUTED_OUTCOMES = ("BAD", "LATE", "RST", "CXL")
SHAPES = [
    {"source": source, "grants": grants, "zones": zones, "load": load, "max_attempts": attempts}
    for source, grants, zones, load, attempts in itertools.product(
        ("piggyback", "pull", "silent"), (False, True), (1, 3), IDEMPOTENCIES, (3, 4)
    )
]
LOW_LOAD_REPORTS = {"piggyback": {"pending": 0.0, "busy_reqs": 1.0}, "pull": {"pending": 0.0, "x1": 0.2}, "silent": {}}


class Site(Gateway):
    """A gateway with the settings of a shape; checks the rules on queries and attempts at each step."""

    def __init__(self, shape, gateways=4):
        self.shape, self.low_load_report = shape, LOW_LOAD_REPORTS[shape["source"]]
        classes = (
            t.ClassSettings("lookup", 5 * S, S, 2.0, 1.0, "retryable", blocked_by_table_locks=True),
            t.ClassSettings("report", 25 * S, 3 * S, 2.5, 5.0, "retryable", threads=4),
            t.ClassSettings(
                "load",
                25 * S,
                4 * S,
                3.0,
                4.0,
                shape["load"],
                idempotency_scope="all",
                idempotency_window=25 * S,
                threads=2,
                locks_tables=True,
            ),
        )
        options = dict(
            classes=classes,
            tenants=(t.TenantSettings("a", 0.6), t.TenantSettings("b", 0.4)),
            gateways=gateways,
            zone="z0",
            kind_memory={"std": 32_768.0},
            grants=shape["grants"],
            priorities=True,
            progress_report_interval=S // 2,
            max_attempts=shape["max_attempts"],
            health_checks=shape["source"] == "pull",
            load_report_source=shape["source"],
        )
        self.idempotency_by_class = {cls.name: cls.idempotency for cls in classes}
        self.open_queries, self.in_flight, self.possibly_executed, self.attempts, self.rejected = {}, {}, {}, {}, 0
        super().__init__(
            **options, listed=[self.entry(f"e{i}", zone=f"z{i % shape['zones']}", cell=i % 2) for i in range(6)]
        )

    def do(self, event):
        for action in super().do(event):
            match action:
                case t.Send(query, engine):
                    assert query in self.open_queries, "sent after its final answer"
                    assert query not in self.in_flight, "two attempts in flight"
                    number = self.attempts.get(query, 0)
                    assert number < self.shape["max_attempts"], "too many attempts"
                    cls = self.open_queries[query][0]
                    assert self.idempotency_by_class[cls] != "fragile" or query not in self.possibly_executed, (
                        "may be executed twice"
                    )
                    self.attempts[query], self.in_flight[query] = number + 1, (number, engine, self.now)
                case t.Reject(query):
                    cls = self.open_queries.pop(query)[0]
                    assert (
                        self.idempotency_by_class[cls] != "fragile"
                        or query not in self.possibly_executed
                        and query not in self.in_flight
                    )
                    self.rejected += 1
                case t.Fail(query):
                    self.open_queries.pop(query)
                case t.CheckHealth():
                    assert self.shape["source"] == "pull", "health check where none is allowed"
        return []

    def wait(self, span):
        super().wait(span)
        assert all(deadline > self.now for _, deadline in self.open_queries.values()), "no answer before the deadline"

    def ask(self, cls, tenant="a"):
        self.asked += 1
        name, deadline = f"q{self.asked}", self.now + (5 if cls == "lookup" else 25) * S
        self.open_queries[name] = cls, deadline
        self.do(
            t.QueryReceived(
                name, cls, deadline, tenant, estimate=200_000, key=self.asked, memory_mb=200.0, tables=self.asked % 7
            )
        )

    def end(self, query, outcome):
        number, engine, sent = self.in_flight.pop(query)
        if outcome in POSSIBLY_EXECUTED_OUTCOMES:
            self.possibly_executed[query] = True
        if good := outcome == "GOOD":
            self.open_queries.pop(query, None)
        settled = good or query not in self.open_queries
        self.do(
            t.AttemptCompleted(
                query,
                number,
                outcome,
                settled,
                engine,
                max(self.now - sent, 1),
                report=self.low_load_report if self.shape["source"] == "piggyback" else {},
            )
        )

    def send_progress(self, query, topic, value):
        number, engine, _ = self.in_flight[query]
        self.do(t.ProgressReport(query, number, topic, value, engine))


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("ask", "ask", "ask", "end", "end", "progress", "wait", "health check")), st.integers(0, 999)
    ),
    min_size=20,
    max_size=120,
)


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.sampled_from(SHAPES), STEPS)
def test_rules_hold_for_any_events(shape, steps):
    site = Site(shape)
    for step, draw in steps:
        queries = sorted(site.in_flight)
        if step == "ask":
            site.ask(("lookup", "lookup", "report", "load")[draw % 4], "ab"[draw % 2])
        elif step == "wait":
            site.wait(draw * 2 * MS)
        elif step == "health check" and shape["source"] == "pull":
            site.do(
                t.HealthCheckCompleted(
                    f"e{draw % 6}", ("GOOD", "GOOD", "LATE")[draw % 3], 500 + draw * 5, site.low_load_report
                )
            )
        elif step == "end" and queries:
            site.end(
                queries[draw % len(queries)],
                ("GOOD", "GOOD", "GOOD", "FULL", "LATE", "RST", "BAD", "NOCONN", "CXL")[draw % 9],
            )
        elif step == "progress" and queries:
            topic = draw % 3 + 1
            site.send_progress(
                queries[draw % len(queries)], topic, (draw % 100) / 100 if topic == 1 else 1.0 + draw % 2
            )
    site.wait(26 * S)
    assert not site.open_queries


@pytest.mark.parametrize("shape", SHAPES, ids=lambda shape: "-".join(str(part) for part in shape.values()))
def test_no_query_is_rejected_while_all_engines_report_low_load(shape):
    # This gateway has most of the traffic. `latencies` are those of the network by zone, in microseconds.
    site, latencies = Site(shape, gateways=40), (700, 2_600, 2_600)
    for turn in range(600):
        site.ask("lookup" if turn % 5 else ("report", "load")[turn % 2], "ab"[turn % 2])
        if shape["source"] == "pull" and turn % 3 == 0:  # A shorter latency to the own zone does not mean less load.
            engine = turn // 3 % 6
            site.do(
                t.HealthCheckCompleted(
                    f"e{engine}", "GOOD", latencies[engine % shape["zones"]] + turn % 40, site.low_load_report
                )
            )
        site.wait(40 * MS)
        for query, (_, _, sent) in sorted(site.in_flight.items()):
            work = 200 if site.open_queries[query][0] == "lookup" else 900
            if site.now - sent >= work * MS:
                site.end(query, "GOOD")
    assert site.rejected == 0
