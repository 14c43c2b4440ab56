"""Tests of gathers: the rules, the state machine, local subrequests, and those to other installations."""

import json
from base64 import b64decode, b64encode

import msgspec
import pytest
from harness import MS, FakeClock, S
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock, StringTransport

from rackhub import interface as t
from rackhub.core.coordinator import Coordinator
from rackhub.core.gather import GatherStatus, SiteStatus
from rackhub.core.request import Query
from rackhub.core.source import EndpointSnapshot
from rackhub.core.timers import Timers
from rackhub.counters import Counters
from rackhub.gather import hop_count
from rackhub.gather.dispatcher import GatherDispatcher
from rackhub.gather.latency import SiteLatencies
from rackhub.gather.remote_gateways import RemoteGateways, are_complete_rows
from rackhub.gather.result_cache import ENTRY_OVERHEAD_BYTES, ResultCache
from rackhub.gather.rules import Rule, gather_rules
from rackhub.gather.state import Answer, CachedResult, CancelSubrequest, Gather, Rows, SendSubrequest, StartTimer
from rackhub.limits import Limits

SETTINGS = t.Settings(
    classes=(
        t.ClassSettings("report", deadline=4 * S, idempotency="retryable"),
        t.ClassSettings("depot-load", idempotency="dedup", idempotency_scope="all", idempotency_window=S),
        t.ClassSettings("odd"),
    ),
    tenants=(t.TenantSettings("acme"),),
    kind_cores={"std": 8.0},
    clock_period=5 * MS,
    gossip=True,
    cancel=True,
    max_attempts=2,
    max_retry_after=2 * S,
)
SITES = [
    {"name": "a", "zones": ["za"]},
    {"name": "b", "zones": ["zb"], "weight": 2.0},
    {"name": "c", "gateways": ["127.0.0.1:7001", "127.0.0.2:7001"]},
]
RULE = {"class": "report", "sites": ["a", "b"]}
PARTIAL = RULE | {"sites": ["a", "b", "c"], "partial": True, "needs": ["a"]}


# ---- rules


@pytest.mark.parametrize(
    "change, named",
    [
        ({"class": "depot-load"}, r'gather.rule\[0\].class: "depot-load": may not simply be repeated'),
        ({"class": "odd"}, r'gather.rule\[0\].class: "odd": may not'),
        ({"class": "none"}, r'gather.rule\[0\].class: "none": the site has no such class'),
        ({"tenant": "x"}, r'gather.rule\[0\].tenant: "x"'),
        ({"sites": ["a"]}, r"gather.rule\[0\].sites"),
        ({"sites": ["a", "z"]}, r'gather.rule\[0\].sites: "z"'),
        ({"needs": ["a"]}, r"gather.rule\[0\].needs: .*partial"),
        ({"spare": ["b"]}, r"gather.rule\[0\].spare: .*partial"),
        ({"wait": "need"}, r"gather.rule\[0\].wait: .*partial"),
        ({"partial": True, "needs": ["c"]}, r'gather.rule\[0\].needs: "c"'),
        ({"partial": True, "needs": ["a"], "spare": ["a"]}, r'gather.rule\[0\].spare: "a": needed'),
        ({"wait": "long"}, r"rule\[0\].wait"),
        ({"speed": 1}, "speed"),
        ({"fill_ms": -1}, "fill_ms"),
    ],
)
def test_fault_of_a_rule_names_the_key_and_its_value(change, named):
    with pytest.raises(ValueError, match=named):
        gather_rules({"site": SITES, "rule": [RULE | change]}, SETTINGS)


@pytest.mark.parametrize(
    "site, named",
    [
        ({"name": "a"}, r"gather.site\[3\].name: .*already"),
        ({"name": "d"}, r"gather.site\[3\].zones"),
        ({"name": "d", "zones": ["z"], "gateways": ["127.0.0.1:1"]}, r"gather.site\[3\].zones"),
        ({"name": "d", "gateways": ["home"]}, r'gather.site\[3\].gateways\[0\]: "home"'),
        ({"name": "a b", "zones": ["z"]}, r"gather.site\[3\].name"),
    ],
)
def test_fault_of_a_site_names_the_key(site, named):
    with pytest.raises(ValueError, match=named):
        gather_rules({"site": [*SITES, site], "rule": [RULE]}, SETTINGS)


def test_first_matching_rule_applies():
    rules = gather_rules({"site": SITES, "rule": [RULE | {"tables": [3]}, RULE | {"tenant": "acme"}]}, SETTINGS)
    first, second = rules.file.rule
    assert rules.find("report", "acme", 3) is first and rules.find("report", "acme", 4) is second
    assert rules.find("report", "other", 4) is None and rules.find("odd", "acme", 3) is None


# ---- state machine


def gather(partial_accepted=True, latencies=None, cached=None, tokens=9, max_bytes=48_000, **rule):
    parsed_rule = msgspec.convert(PARTIAL | rule, Rule)
    tokens_left = [tokens]

    def take_retry_token():
        tokens_left[0] -= 1
        return tokens_left[0] >= 0

    weights = {"a": 1.0, "b": 2.0, "c": 1.0}
    return Gather(
        parsed_rule,
        weights,
        0,
        1_000 * MS,
        max_bytes,
        (latencies or {}).get if latencies else lambda site: 0,
        (cached or {}).get,
        take_retry_token,
        200 * MS,
        partial_accepted,
    )


def begin(machine, unreachable=(), overloaded=False, now=0):
    return machine.start(now, lambda site: site in unreachable, overloaded)


def rows(text):
    return Rows((text.encode(),))


def effects_of(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def only_effect(effects, kind):
    found = effects_of(effects, kind)
    assert len(found) == 1, effects
    return found[0]


def test_complete_answer_has_the_rows_in_the_order_of_the_sites():
    machine = gather()
    assert [part.site for part in effects_of(begin(machine), SendSubrequest)] == ["a", "b", "c"]
    assert not machine.receive_rows(10, "c", 0, rows("c")) and not machine.receive_rows(20, "a", 0, rows("a"))
    answer = only_effect(machine.receive_rows(30, "b", 0, rows("b")), Answer)
    assert (answer.outcome, answer.pages, answer.status.complete) == ("served", [b"a", b"b", b"c"], True)


def test_request_is_refused_and_subrequests_cancelled_once_a_needed_site_fails():
    machine = gather()
    begin(machine)
    effects = machine.fail_site(50 * MS, "a", 0, "refused", backoff=700 * MS)
    assert {(call.site, call.attempt) for call in effects_of(effects, CancelSubrequest)} == {("b", 0), ("c", 0)}
    answer = only_effect(effects, Answer)
    assert (answer.outcome, answer.backoff) == ("refused", 700 * MS) and "a refused" in answer.reason


def test_partial_answer_states_the_reason_for_each_missing_site():
    machine = gather()
    begin(machine, unreachable=("c",))
    machine.receive_rows(10, "a", 0, rows("a"))
    answer = only_effect(machine.fail_site(20, "b", 0, "failed"), Answer)
    assert answer.pages == [b"a"] and answer.status == GatherStatus(
        complete=False,
        sites=[SiteStatus(site="a"), SiteStatus(site="b", missing="failed"), SiteStatus(site="c", missing="cut")],
    )


def test_no_partial_answer_where_the_rule_or_the_client_does_not_allow_it():
    for machine in (gather(partial_accepted=False), gather(partial=False, needs="all")):
        begin(machine)
        machine.receive_rows(10, "a", 0, rows("a"))
        assert only_effect(machine.fail_site(20, "b", 0, "failed"), Answer).outcome == "refused"


def test_need_may_be_a_fraction_of_the_weight():
    machine = gather(needs="all", weight=0.75, wait="need")
    begin(machine)
    assert not machine.receive_rows(10, "a", 0, rows("a"))
    assert only_effect(machine.receive_rows(20, "b", 0, rows("b")), Answer).status.sites[2].missing == "late"


def test_wait_for_further_sites_once_the_answer_suffices():
    until_deadline = gather(wait="budget")
    begin(until_deadline)
    assert not effects_of(until_deadline.receive_rows(10, "a", 0, rows("a")), Answer)
    assert only_effect(until_deadline.timer_fired(1_000 * MS), Answer).status.sites[1].missing == "late"
    at_once = gather(wait="need")
    begin(at_once)
    assert only_effect(at_once.receive_rows(10, "a", 0, rows("a")), Answer)
    by_latency = gather(wait="learned", latencies={"b": 80 * MS, "c": 300 * MS})
    begin(by_latency)
    assert only_effect(by_latency.receive_rows(10 * MS, "a", 0, rows("a")), StartTimer).at == 300 * MS
    assert not effects_of(by_latency.timer_fired(299 * MS), Answer)
    assert not effects_of(by_latency.receive_rows(299 * MS, "b", 0, rows("b")), Answer)  # site c is still waited for
    assert only_effect(by_latency.timer_fired(300 * MS), Answer).status.sites[2].missing == "late"


def test_cached_result_replaces_a_missing_one_if_recent_and_not_alone():
    cached = {"a": CachedResult(rows("old"), 0), "b": CachedResult(rows("older"), 0)}
    machine = gather(needs="all", fill_ms=60.0, cached=cached)
    begin(machine, now=50 * MS)
    machine.receive_rows(51 * MS, "c", 0, rows("c"))
    machine.fail_site(52 * MS, "a", 0, "late")
    answer = only_effect(machine.fail_site(55 * MS, "b", 0, "cut"), Answer)
    assert answer.pages == [b"old", b"older", b"c"] and [site.age_ms for site in answer.status.sites] == [55, 55, 0]
    assert not answer.status.complete
    late = gather(needs="all", fill_ms=60.0, cached=cached)
    begin(late, now=50 * MS)
    assert only_effect(late.fail_site(61 * MS, "a", 0, "late"), Answer).outcome == "refused"
    alone = gather(needs="all", fill_ms=60.0, cached=cached | {"c": CachedResult(rows("c"), 0)})
    assert only_effect(begin(alone, unreachable=("a", "b", "c"), now=10 * MS), Answer).outcome == "refused"


def test_spare_sites_are_left_out_while_the_fleet_is_overloaded():
    machine = gather(spare=("b", "c"))
    assert [part.site for part in effects_of(begin(machine, overloaded=True), SendSubrequest)] == ["a"]
    assert only_effect(machine.receive_rows(10, "a", 0, rows("a")), Answer).status.sites[1].missing == "spared"
    weighted = gather(needs="all", weight=0.75, spare=("a", "b", "c"))  # the weight needs b
    assert [part.site for part in effects_of(begin(weighted, overloaded=True), SendSubrequest)] == ["b", "c"]


def test_retry_takes_a_token_and_never_runs_beside_the_first_attempt():
    machine = gather(tokens=1)
    begin(machine)
    assert only_effect(machine.fail_site(5, "c", 0, "cut", may_retry=True), SendSubrequest) == SendSubrequest(
        "c", 1, 1_000 * MS
    )
    assert not machine.fail_site(6, "c", 0, "cut", may_retry=True)  # a duplicate event of the first attempt
    assert (
        not effects_of(machine.fail_site(7, "c", 1, "cut", may_retry=True), SendSubrequest)
        and machine.missing["c"] == "cut"
    )
    without_tokens = gather(tokens=0)
    begin(without_tokens)
    assert not effects_of(without_tokens.fail_site(5, "b", 0, "refused", may_retry=True), SendSubrequest)


def test_total_size_stays_within_the_maximum_of_a_result():
    machine = gather(max_bytes=5)
    begin(machine)
    for site, text in (("a", "aaa"), ("b", "bb")):
        machine.receive_rows(10, site, 0, rows(text))
    answer = only_effect(machine.receive_rows(11, "c", 0, rows("c")), Answer)
    assert answer.pages == [b"aaa", b"bb"] and answer.status.sites[2].missing == "failed"
    strict = gather(max_bytes=5, needs="all", partial=False)
    begin(strict)
    for site, text in (("a", "aaa"), ("b", "bb")):
        strict.receive_rows(10, site, 0, rows(text))
    assert only_effect(strict.receive_rows(11, "c", 0, rows("c")), Answer).outcome == "refused"


class InvariantChecker:
    """Checks the effects of one gathered request against invariants that hold after any event."""

    def __init__(self, machine):
        self.machine, self.answers, self.in_flight, self.received, self.gone = machine, [], {}, {}, set()

    def check_effects(self, effects, now):
        for effect in effects:
            match effect:
                case SendSubrequest(site, number):
                    assert site not in self.in_flight, "two attempts at one site"
                    assert not self.answers
                    self.in_flight[site] = number
                case CancelSubrequest(site, number):
                    assert self.in_flight.pop(site) == number
                case Answer():
                    assert not self.answers, "answered twice"
                    self.answers.append(effect)
                    self.check_answer(effect, now)
        if self.answers:
            assert not self.in_flight, "a subrequest is in flight after the answer"
        assert self.answers or self.in_flight, "open with no subrequest in flight"

    def check_answer(self, answer, now):
        rule = self.machine.rule
        if answer.outcome == "refused":
            return
        statuses = {site.site: site for site in answer.status.sites}
        assert list(statuses) == list(rule.sites)
        present = [site for site in rule.sites if statuses[site].missing is None]
        pages = []
        for site in present:
            if statuses[site].age_ms:
                assert rule.fill_ms and statuses[site].age_ms <= rule.fill_ms + 1
                pages.append(b"old " + site.encode())
            else:
                pages.append(self.received.get(site))
        assert list(answer.pages) == pages, "rows do not match the sites of the status"
        complete = len(present) == len(rule.sites) and not any(site.age_ms for site in statuses.values())
        assert answer.status.complete == complete, "partial answer marked as complete"
        assert complete or rule.partial, "partial answer against the rule"
        if rule.weight is not None:
            weights = self.machine.weights
            assert sum(weights[s] for s in present) >= rule.weight * sum(weights[s] for s in rule.sites) - 1e-6
        else:
            assert set(present) >= set(rule.sites if rule.needs == "all" else rule.needs)


RULES = st.fixed_dictionaries(
    {
        "wait": st.sampled_from(["budget", "need", "learned"]),
        "fill_ms": st.sampled_from([0.0, 50.0, 10_000.0]),
        "spare": st.sampled_from([(), ("c",), ("b", "c")]),
        "tries": st.integers(1, 3),
    }
)
NEEDS = st.sampled_from(
    [
        {"needs": "all"},
        {"needs": ("a",)},
        {"needs": "all", "weight": 0.5},
        {"needs": ("a", "b")},
        {"needs": "all", "partial": False, "wait": "budget", "fill_ms": 0.0, "spare": ()},
    ]
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["came", "failed", "again", "cut", "woke", "twice"]),
        st.sampled_from("abc"),
        st.integers(0, 400),
    ),
    max_size=14,
)


def run_steps(rule, need, steps, unreachable, overloaded, gather_class=Gather):
    """Run a gathered request through events, check all effects, and end it at its deadline."""
    rule = rule | need
    rule["spare"] = tuple(s for s in rule["spare"] if s not in (rule["needs"] if rule["needs"] != "all" else ()))
    cached = {"a": CachedResult(rows("old a"), 0), "b": CachedResult(rows("old b"), -30 * MS)}
    plain = gather(latencies={"a": 100 * MS, "b": 200 * MS}, cached=cached, **rule)
    machine = gather_class(
        plain.rule,
        plain.weights,
        0,
        1_000 * MS,
        48_000,
        plain._usual_latency,
        plain._cached_result,
        plain._take_retry_token,
        9,
    )
    checker, now = InvariantChecker(machine), 0
    checker.check_effects(begin(machine, unreachable, overloaded), now)
    for event, site, delay_ms in steps:
        now += delay_ms * MS
        number = machine.in_flight.get(site, 0)
        if event in ("came", "twice") and site in checker.in_flight:
            text = f"{site} {number}"
            checker.received[site] = text.encode()
            del checker.in_flight[site]
            checker.check_effects(machine.receive_rows(now, site, number, rows(text)), now)
            if event == "twice":
                checker.check_effects(machine.receive_rows(now, site, number, rows("late")), now)
        elif event in ("failed", "again") and site in checker.in_flight:
            del checker.in_flight[site]
            checker.check_effects(machine.fail_site(now, site, number, "failed", may_retry=event == "again"), now)
        elif event == "cut":
            checker.check_effects(machine.mark_unreachable(now, site), now)
        elif event == "woke":
            checker.check_effects(machine.timer_fired(now), now)
        elif event == "came":  # late rows after a cancellation or the answer must be ignored
            checker.check_effects(machine.receive_rows(now, site, number, rows("late")), now)
    checker.check_effects(machine.timer_fired(max(now, 1_000 * MS)), now)
    assert len(checker.answers) == 1
    return checker


@settings(max_examples=400, deadline=None, derandomize=True)
@given(RULES, NEEDS, STEPS, st.sets(st.sampled_from("abc")), st.booleans())
def test_any_events_give_one_answer_that_states_its_sites(rule, need, steps, unreachable, overloaded):
    run_steps(rule, need, steps, unreachable, overloaded)


class AcceptsLateRows(Gather):
    """Injected bug: late rows are accepted."""

    def receive_rows(self, now, site, number, rows):
        self.in_flight.setdefault(site, number)
        self.missing.pop(site, None)
        return super().receive_rows(now, site, number, rows) if not self.done else []


class MarksPartialComplete(Gather):
    """Injected bug: a partial answer is marked as complete."""

    def _finish(self, now):
        return [
            effect._replace(status=GatherStatus(complete=True, sites=effect.status.sites))
            if isinstance(effect, Answer) and effect.status
            else effect
            for effect in super()._finish(now)
        ]


class RetriesInFlight(Gather):
    """Injected bug: a retry is sent while the first attempt is in flight."""

    def timer_fired(self, now):
        return [
            *super().timer_fired(now),
            *([self._send_subrequest(next(iter(self.in_flight)))] if self.in_flight and not self.done else []),
        ]


class NeverGivesUp(Gather):
    """Injected bug: waits to the deadline although the answer can no longer suffice."""

    def _can_succeed(self, missing, now):
        return bool(self.in_flight) or super()._can_succeed(missing, now)


PLAIN_RULE = {"wait": "budget", "fill_ms": 0.0, "spare": (), "tries": 2}
INJECTED_BUGS = {
    AcceptsLateRows: ({"needs": ("a",)}, [("failed", "b", 1), ("came", "b", 1), ("came", "a", 1), ("came", "c", 1)]),
    MarksPartialComplete: ({"needs": ("a",)}, [("came", "a", 1), ("failed", "b", 1), ("failed", "c", 1)]),
    RetriesInFlight: ({"needs": ("a",)}, [("woke", "a", 1), ("came", "a", 1)]),
}


@pytest.mark.parametrize("buggy_class", INJECTED_BUGS)
def test_injected_bugs_are_found(buggy_class):
    need, steps = INJECTED_BUGS[buggy_class]
    run_steps(PLAIN_RULE, need, steps, (), False)
    with pytest.raises(AssertionError):
        run_steps(PLAIN_RULE, need, steps, (), False, buggy_class)


def test_request_that_waits_although_it_cannot_succeed_is_found():
    machine = gather()
    begin(machine)
    assert effects_of(machine.fail_site(5, "a", 0, "cut"), Answer)
    waiting = gather()
    waiting.__class__ = NeverGivesUp
    begin(waiting)
    assert not effects_of(waiting.fail_site(5, "a", 0, "cut"), Answer)


# ---- latencies, cached results and hop counts


def test_latency_quantile_needs_enough_samples_and_drops_old_ones():
    latencies = SiteLatencies()
    for latency in range(7):
        latencies.add("a", "report", latency)
    assert not latencies.quantile("a", "report", 0.9)
    for _ in range(64):
        latencies.add("a", "report", 50)
    assert latencies.quantile("a", "report", 0.1) == 50


def test_result_cache_evicts_the_least_recently_used_results():
    cache = ResultCache(3 * (ENTRY_OVERHEAD_BYTES + 10))
    for number in range(3):
        cache.put("a", number, Rows((b"x" * 10,)), number)
    assert cache.get("a", 0).read_at == 0
    cache.put("a", 3, Rows((b"x" * 10,)), 3)
    assert (
        cache.get("a", 1) is None
        and cache.get("a", 0) is not None
        and cache.size_bytes <= 3 * (ENTRY_OVERHEAD_BYTES + 10)
    )
    cache.put("a", 9, Rows((b"x" * 9_999,)), 3)
    assert cache.get("a", 9) is None


def test_request_id_encodes_the_hop_count():
    import random

    generator = random.Random(3)
    for hops in range(1, hop_count.MAX_HOPS + 1):
        request_id = hop_count.subrequest_id(generator, hops)
        assert (
            len(request_id) == 16
            and hop_count.hop_count_of(request_id) == hops
            and request_id != hop_count.subrequest_id(generator, hops)
        )
    assert not any(hop_count.hop_count_of(f"{generator.getrandbits(64):016x}") for _ in range(2_000))


# ---- local subrequests


class Engines:
    """An engine port that keeps attempts until the test completes them."""

    def __init__(self):
        self.out, self.given_up = [], []

    def send(self, attempt):
        self.out.append(attempt)

    def give_up(self, attempt):
        self.given_up.append(attempt.engine)
        self.out = [other for other in self.out if other is not attempt]

    def promote(self, attempt): ...
    def close_idle(self, engine): ...


class Client:
    reading_paused = may_have_unread_input = False

    def __init__(self, marks=True):
        self.marks, self.said = marks, []

    def served(self, query, rows):
        self.said.append(("served", b"".join(rows), query.gather_status))

    def rejected(self, query, backoff):
        self.said.append(("refused", backoff))

    def failed(self, query, why):
        self.said.append(("failed", why))


class Gateway:
    def __init__(self, reactor=None, level=None, **rule):
        self.clock, self.engines = FakeClock(), Engines()
        self.reactor = reactor or MemoryReactorClock()
        self.core = Coordinator(SETTINGS, 1, self.clock, Timers(self.clock, self.clock), Limits(), Counters())
        rules = gather_rules({"site": SITES, "rule": [PARTIAL | rule]}, SETTINGS)
        self.dispatcher = GatherDispatcher(
            self.core, rules, RemoteGateways(self.reactor, 250 * MS, 48_000, lambda name: None), 1, level
        )
        self.core.gather_port = self.dispatcher
        self.list("za", "zb")

    def list(self, *zones):
        entries = tuple(t.EngineEntry(f"e{zone}", zone, "std") for zone in zones)
        snapshot = EndpointSnapshot(1, entries, {entry.engine: ("127.0.0.1", 1) for entry in entries})
        if self.core.engines is None:
            self.core.start(self.engines, entries, 1)
        else:
            self.core.update_endpoints(entries, 2)
        self.dispatcher.update_endpoints(snapshot)

    def ask(self, marks=True, number=1, within=3 * S, id=None):
        client = Client(marks)
        query = Query(id or f"{number:016x}", "report", b"SELECT 1", self.clock.now() + within, client, tenant="acme")
        self.core.submit(query)
        return query, client

    def end(self, zone, reason="GOOD", text=b""):
        attempt = next(attempt for attempt in self.engines.out if attempt.engine == f"e{zone}")
        self.engines.out.remove(attempt)
        self.core.complete_attempt(attempt, reason, rows=[text] if reason == "GOOD" else ())


def test_subrequests_run_in_the_zones_of_their_sites_and_rows_are_joined():
    gateway = Gateway(sites=["a", "b"])
    query, client = gateway.ask()
    assert sorted(attempt.engine for attempt in gateway.engines.out) == ["eza", "ezb"]
    assert all(
        len(attempt.query.id) == 16 and hop_count.hop_count_of(attempt.query.id) == 1 for attempt in gateway.engines.out
    )
    gateway.end("zb", text=b"b\t1\t2\n")
    assert not client.said
    gateway.end("za", text=b"a\t1\t2\n")
    assert client.said == [
        (
            "served",
            b"a\t1\t2\nb\t1\t2\n",
            GatherStatus(complete=True, sites=[SiteStatus(site="a"), SiteStatus(site="b")]),
        )
    ]
    assert not gateway.core.queries and not gateway.dispatcher.requests


def test_deadline_gives_a_partial_answer_and_cancels_running_subrequests():
    gateway = Gateway(sites=["a", "b"])
    query, client = gateway.ask()
    gateway.end("za", text=b"a\t1\t2\n")
    deadline = query.deadline
    gateway.clock.advance(3 * S)
    [(how, body, mark)] = client.said
    assert (how, body, mark.complete, mark.sites[1].missing) == ("served", b"a\t1\t2\n", False, "late")
    assert "ezb" in gateway.engines.given_up and gateway.core.counters["backstop_answers"] == 0
    assert deadline <= gateway.clock.now()


def test_zone_without_ready_engines_is_not_waited_for():
    gateway = Gateway(sites=["a", "b"])
    _, client = gateway.ask()
    gateway.end("za", text=b"a\t1\t2\n")
    gateway.list("za")
    assert client.said[0][2].sites[1].missing == "cut"
    _, second = gateway.ask(number=2)
    assert [attempt.engine for attempt in gateway.engines.out if attempt.engine == "eza"]
    gateway.end("za", text=b"a\t1\t2\n")
    assert second.said[0][2].sites[1].missing == "cut"


def test_disconnect_cancels_subrequests_and_open_requests_keep_their_rules():
    gateway = Gateway(sites=["a", "b"])
    query, client = gateway.ask()
    gateway.core.disconnect_client(query)
    assert not client.said and len(gateway.engines.given_up) == 2 and not gateway.dispatcher.requests
    _, client = gateway.ask(number=2)
    gateway.dispatcher.apply_rules(gather_rules({}, SETTINGS), 7)
    gateway.end("zb", text=b"b\t1\t2\n")
    gateway.end("za", text=b"a\t1\t2\n")
    assert client.said[0][1] == b"a\t1\t2\nb\t1\t2\n"
    _, plain = gateway.ask(number=3)
    assert len(gateway.engines.out) == 1  # an ordinary request, as the new rules have no gathers


def test_subrequest_of_another_gateway_is_not_gathered():
    import random

    gateway = Gateway(sites=["a", "b"])
    gateway.ask(id=hop_count.subrequest_id(random.Random(1), 1))
    assert len(gateway.engines.out) == 1 and gateway.dispatcher.counts["gather_hops_ended"] == 1


class ChangesOpenRules(GatherDispatcher):
    """Injected bug: an open request changes to the active rules."""

    def apply_rules(self, rules, version):
        super().apply_rules(rules, version)
        for request in self.requests.values():
            request.state.rule = rules.file.rule[0] if rules.file.rule else request.rule


def test_change_of_the_rules_of_an_open_request_is_found():
    """The rules of the open request need all sites; the new version allows a partial answer."""
    lax = gather_rules({"site": SITES, "rule": [PARTIAL | {"sites": ["a", "b"]}]}, SETTINGS)
    outcomes = {}
    for kind in (GatherDispatcher, ChangesOpenRules):
        gateway = Gateway(sites=["a", "b"], needs="all")
        gateway.dispatcher.__class__ = kind
        _, client = gateway.ask()
        gateway.dispatcher.apply_rules(lax, 2)
        gateway.end("za", text=b"a\t1\t2\n")
        gateway.clock.advance(3 * S)
        outcomes[kind] = client.said[0][0]
    assert outcomes == {GatherDispatcher: "refused", ChangesOpenRules: "served"}


# ---- subrequests to other installations


class Wire(StringTransport):
    def setTcpNoDelay(self, on): ...


class Remote:
    """A gateway of another installation: what it received, and its responses."""

    def __init__(self, reactor, number):
        *_, self.factory, _, _ = reactor.tcpClients[number]
        self.address = reactor.tcpClients[number][:2]
        self.protocol, self.transport = self.factory.buildProtocol(None), Wire()
        self.protocol.makeConnection(self.transport)

    def received(self):
        messages = [json.loads(line) for line in self.transport.value().splitlines()]
        self.transport.clear()
        return messages

    def respond(self, **message):
        self.protocol.dataReceived(json.dumps({"jsonrpc": "2.0", **message}).encode() + b"\n")


def body(text):
    return {"body": b64encode(text).decode()}


def remote_gather(**rule):
    reactor = MemoryReactorClock()
    gateway = Gateway(reactor, **{"sites": ["a", "c"], "needs": "all", **rule})
    _, client = gateway.ask()
    return gateway, client, reactor, Remote(reactor, 0)


def test_subrequest_to_another_installation_uses_the_clients_protocol():
    gateway, client, _, remote = remote_gather()
    [call] = remote.received()
    params = call["params"]
    assert set(params) == {"rid", "budget", "acct", "body"} and b64decode(params["body"]) == b"SELECT 1"
    assert hop_count.hop_count_of(params["rid"]) == 1 and 0 < params["budget"] < 3_000 and call["method"] == "report"
    gateway.end("za", text=b"a\t1\t2\n")
    remote.respond(id=call["id"], result=body(b"c\t1\t2\n"))
    assert client.said[0][:2] == ("served", b"a\t1\t2\nc\t1\t2\n")
    remote.respond(id=call["id"], result=body(b"c\t1\t2\n"))  # a duplicate is ignored
    assert len(client.said) == 1


@pytest.mark.parametrize(
    "answer",
    [
        {"result": {"body": "%%%"}},
        {"result": {"body": b64encode(b"no columns\n").decode()}},
        {"result": {}},
        {"result": {"body": b64encode(b"a\tb\tc").decode()}},
        {"error": {"code": -32000, "message": "x"}},
        {"result": {**body(b"c\t1\t2\n"), "gather": {"whole": False, "sites": []}}},
    ],
)
def test_response_without_complete_rows_fails_the_subrequest(answer):
    gateway, client, reactor, remote = remote_gather(tries=1)
    remote.respond(id=remote.received()[0]["id"], **answer)
    if not client.said:
        remote.protocol.connectionLost()
    assert [said[0] for said in client.said] == ["refused"]


def test_retry_uses_another_gateway_and_the_longest_backoff_is_reported():
    gateway, client, reactor, remote = remote_gather()
    remote.respond(id=remote.received()[0]["id"], error={"code": -32008, "message": "x", "data": {"backoff": 900}})
    assert not client.said and len(reactor.tcpClients) == 2
    other = Remote(reactor, 1)
    assert other.address != remote.address
    other.respond(id=other.received()[0]["id"], error={"code": -32008, "message": "x", "data": {"backoff": 400}})
    assert client.said == [("refused", 900 * MS)] and gateway.dispatcher.counts["gather_further_tries"] == 1


def test_lost_gateway_is_unreachable_and_cancellations_are_sent():
    gateway, client, reactor, remote = remote_gather(tries=1)
    remote.protocol.connectionLost()
    assert client.said[0][0] == "refused"
    gateway, client, reactor, remote = remote_gather()
    [call] = remote.received()
    gateway.end("za", "BAD")
    gateway.clock.advance(100 * MS)
    while gateway.engines.out:
        gateway.end("za", "BAD")
        gateway.clock.advance(100 * MS)
    assert client.said[0][0] == "refused"
    assert remote.received() == [{"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": call["id"]}}]


def test_only_terminated_rows_of_three_columns_are_complete():
    assert are_complete_rows(b"", 9) and are_complete_rows(b"a\tb\tc\n", 9)
    assert not any(are_complete_rows(text, 9) for text in (b"a\tb\n", b"a\tb\tc", b"a\tb\tc\n" * 2, b"\xff\t\t\n"))
