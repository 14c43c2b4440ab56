"""What must hold whatever a site tells: one property over the shapes of both sites and those between them."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_control import MS, Gateway, S

from rackhub import interface as t

EFFECTS = ("retryable", "dedup", "fragile")
MAY_HAVE_RUN = ("BAD", "LATE", "RST", "CXL")
SHAPES = [
    {"source": source, "grants": grants, "zones": zones, "load": load, "max_attempts": attempts}
    for source, grants, zones, load, attempts in itertools.product(
        ("piggyback", "pull", "silent"), (False, True), (1, 3), EFFECTS, (3, 4)
    )
]
CALM = {"piggyback": {"pending": 0.0, "busy_reqs": 1.0}, "pull": {"pending": 0.0, "x1": 0.2}, "silent": {}}


class Site(Gateway):
    """One gateway of a site of some shape, its requests and attempts, and every rule on them checked at each step."""

    def __init__(self, shape, gateways=4):
        self.shape, self.calm = shape, CALM[shape["source"]]
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
        told = dict(
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
        self.effects = {told.name: told.idempotency for told in classes}
        self.open, self.out, self.ran, self.tries, self.refused = {}, {}, {}, {}, 0
        super().__init__(
            **told, listed=[self.entry(f"e{i}", zone=f"z{i % shape['zones']}", cell=i % 2) for i in range(6)]
        )

    def do(self, event):
        for act in super().do(event):
            match act:
                case t.Send(query, engine):
                    assert query in self.open, "sent after its end"
                    assert query not in self.out, "two attempts out"
                    number = self.tries.get(query, 0)
                    assert number < self.shape["max_attempts"], "too many attempts"
                    cls = self.open[query][0]
                    assert self.effects[cls] != "fragile" or query not in self.ran, "may run twice"
                    self.tries[query], self.out[query] = number + 1, (number, engine, self.now)
                case t.Reject(query):
                    cls = self.open.pop(query)[0]
                    assert self.effects[cls] != "fragile" or query not in self.ran and query not in self.out
                    self.refused += 1
                case t.Fail(query):
                    self.open.pop(query)
                case t.CheckHealth():
                    assert self.shape["source"] == "pull", "a probe where none is allowed"
        return []

    def wait(self, span):
        super().wait(span)
        assert all(drop_dead > self.now for _, drop_dead in self.open.values()), "no answer in time"

    def ask(self, cls, tenant="a"):
        self.asked += 1
        name, drop_dead = f"q{self.asked}", self.now + (5 if cls == "lookup" else 25) * S
        self.open[name] = cls, drop_dead
        self.do(
            t.QueryReceived(
                name, cls, drop_dead, tenant, estimate=200_000, key=self.asked, memory_mb=200.0, tables=self.asked % 7
            )
        )

    def end(self, query, reason):
        number, engine, sent = self.out.pop(query)
        if reason in MAY_HAVE_RUN:
            self.ran[query] = True
        if good := reason == "GOOD":
            self.open.pop(query, None)
        settled = good or query not in self.open
        self.do(
            t.AttemptCompleted(
                query,
                number,
                reason,
                settled,
                engine,
                max(self.now - sent, 1),
                report=self.calm if self.shape["source"] == "piggyback" else {},
            )
        )

    def note(self, query, topic, value):
        number, engine, _ = self.out[query]
        self.do(t.ProgressReport(query, number, topic, value, engine))


STEPS = st.lists(
    st.tuples(st.sampled_from(("ask", "ask", "ask", "end", "end", "note", "wait", "probe")), st.integers(0, 999)),
    min_size=20,
    max_size=120,
)


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.sampled_from(SHAPES), STEPS)
def test_no_rule_is_broken_whatever_a_site_tells(shape, steps):
    site = Site(shape)
    for step, draw in steps:
        outs = sorted(site.out)
        if step == "ask":
            site.ask(("lookup", "lookup", "report", "load")[draw % 4], "ab"[draw % 2])
        elif step == "wait":
            site.wait(draw * 2 * MS)
        elif step == "probe" and shape["source"] == "pull":
            site.do(
                t.HealthCheckCompleted(f"e{draw % 6}", ("GOOD", "GOOD", "LATE")[draw % 3], 500 + draw * 5, site.calm)
            )
        elif step == "end" and outs:
            site.end(
                outs[draw % len(outs)],
                ("GOOD", "GOOD", "GOOD", "FULL", "LATE", "RST", "BAD", "NOCONN", "CXL")[draw % 9],
            )
        elif step == "note" and outs:
            topic = draw % 3 + 1
            site.note(outs[draw % len(outs)], topic, (draw % 100) / 100 if topic == 1 else 1.0 + draw % 2)
    site.wait(26 * S)
    assert not site.open


@pytest.mark.parametrize("shape", SHAPES, ids=lambda shape: "-".join(str(part) for part in shape.values()))
def test_nothing_is_refused_while_all_engines_tell_of_little_load(shape):
    site, ways = Site(shape, gateways=40), (700, 2_600, 2_600)  # of which this one has most of the traffic
    for turn in range(600):
        site.ask("lookup" if turn % 5 else ("report", "load")[turn % 2], "ab"[turn % 2])
        if shape["source"] == "pull" and turn % 3 == 0:  # to the own hall the way is shorter, which is no load
            engine = turn // 3 % 6
            site.do(t.HealthCheckCompleted(f"e{engine}", "GOOD", ways[engine % shape["zones"]] + turn % 40, site.calm))
        site.wait(40 * MS)
        for query, (_, _, sent) in sorted(site.out.items()):
            work = 200 if site.open[query][0] == "lookup" else 900
            if site.now - sent >= work * MS:
                site.end(query, "GOOD")
    assert site.refused == 0
