"""Gathers: what is enough, when to answer, what an answer says; rules by key; parts here and at other installations."""

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
def test_each_bad_key_of_a_rule_is_named_with_its_value(change, named):
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
def test_each_bad_key_of_a_site_is_named(site, named):
    with pytest.raises(ValueError, match=named):
        gather_rules({"site": [*SITES, site], "rule": [RULE]}, SETTINGS)


def test_the_first_rule_that_a_request_meets_holds():
    rules = gather_rules({"site": SITES, "rule": [RULE | {"tables": [3]}, RULE | {"tenant": "acme"}]}, SETTINGS)
    first, second = rules.file.rule
    assert rules.find("report", "acme", 3) is first and rules.find("report", "acme", 4) is second
    assert rules.find("report", "other", 4) is None and rules.find("odd", "acme", 3) is None


# ---- one gather


def gather(marks=True, learned=None, kept=None, tokens=9, most=48_000, **rule):
    told = msgspec.convert(PARTIAL | rule, Rule)
    left = [tokens]

    def token():
        left[0] -= 1
        return left[0] >= 0

    weights = {"a": 1.0, "b": 2.0, "c": 1.0}
    return Gather(
        told,
        weights,
        0,
        1_000 * MS,
        most,
        (learned or {}).get if learned else lambda site: 0,
        (kept or {}).get,
        token,
        200 * MS,
        marks,
    )


def begin(machine, cut=(), over=False, now=0):
    return machine.start(now, lambda site: site in cut, over)


def rows(text):
    return Rows((text.encode(),))


def of(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def only(effects, kind):
    found = of(effects, kind)
    assert len(found) == 1, effects
    return found[0]


def test_a_whole_answer_has_the_rows_in_the_order_of_the_sites():
    machine = gather()
    assert [part.site for part in of(begin(machine), SendSubrequest)] == ["a", "b", "c"]
    assert not machine.receive_rows(10, "c", 0, rows("c")) and not machine.receive_rows(20, "a", 0, rows("a"))
    answer = only(machine.receive_rows(30, "b", 0, rows("b")), Answer)
    assert (answer.outcome, answer.pages, answer.status.complete) == ("served", [b"a", b"b", b"c"], True)


def test_as_soon_as_the_need_cannot_be_met_it_is_refused_and_the_rest_called_off():
    machine = gather()
    begin(machine)
    effects = machine.fail_site(50 * MS, "a", 0, "refused", backoff=700 * MS)
    assert {(call.site, call.attempt) for call in of(effects, CancelSubrequest)} == {("b", 0), ("c", 0)}
    answer = only(effects, Answer)
    assert (answer.outcome, answer.backoff) == ("refused", 700 * MS) and "a refused" in answer.reason


def test_a_partial_answer_says_which_sites_are_in_and_why_the_others_are_not():
    machine = gather()
    begin(machine, cut=("c",))
    machine.receive_rows(10, "a", 0, rows("a"))
    answer = only(machine.fail_site(20, "b", 0, "failed"), Answer)
    assert answer.pages == [b"a"] and answer.status == GatherStatus(
        complete=False,
        sites=[SiteStatus(site="a"), SiteStatus(site="b", missing="failed"), SiteStatus(site="c", missing="cut")],
    )


def test_what_a_class_or_a_front_does_not_allow_is_never_partial():
    for machine in (gather(marks=False), gather(partial=False, needs="all")):
        begin(machine)
        machine.receive_rows(10, "a", 0, rows("a"))
        assert only(machine.fail_site(20, "b", 0, "failed"), Answer).outcome == "refused"


def test_the_need_may_be_a_part_by_weight():
    machine = gather(needs="all", weight=0.75, wait="need")
    begin(machine)
    assert not machine.receive_rows(10, "a", 0, rows("a"))
    assert only(machine.receive_rows(20, "b", 0, rows("b")), Answer).status.sites[2].missing == "late"


def test_once_the_need_is_met_it_waits_to_the_budget_not_at_all_or_as_long_as_sites_usually_take():
    patient = gather(wait="budget")
    begin(patient)
    assert not of(patient.receive_rows(10, "a", 0, rows("a")), Answer)
    assert only(patient.timer_fired(1_000 * MS), Answer).status.sites[1].missing == "late"
    hasty = gather(wait="need")
    begin(hasty)
    assert only(hasty.receive_rows(10, "a", 0, rows("a")), Answer)
    knowing = gather(wait="learned", learned={"b": 80 * MS, "c": 300 * MS})
    begin(knowing)
    assert only(knowing.receive_rows(10 * MS, "a", 0, rows("a")), StartTimer).at == 300 * MS
    assert not of(knowing.timer_fired(299 * MS), Answer)
    assert not of(knowing.receive_rows(299 * MS, "b", 0, rows("b")), Answer)  # c is still worth its lateness
    assert only(knowing.timer_fired(300 * MS), Answer).status.sites[2].missing == "late"


def test_a_last_answer_fills_in_marked_with_its_age_and_not_when_it_is_too_old_nor_alone():
    kept = {"a": CachedResult(rows("old"), 0), "b": CachedResult(rows("older"), 0)}
    machine = gather(needs="all", fill_ms=60.0, kept=kept)
    begin(machine, now=50 * MS)
    machine.receive_rows(51 * MS, "c", 0, rows("c"))
    machine.fail_site(52 * MS, "a", 0, "late")
    answer = only(machine.fail_site(55 * MS, "b", 0, "cut"), Answer)
    assert answer.pages == [b"old", b"older", b"c"] and [site.age_ms for site in answer.status.sites] == [55, 55, 0]
    assert not answer.status.complete
    late = gather(needs="all", fill_ms=60.0, kept=kept)
    begin(late, now=50 * MS)
    assert only(late.fail_site(61 * MS, "a", 0, "late"), Answer).outcome == "refused"
    alone = gather(needs="all", fill_ms=60.0, kept=kept | {"c": CachedResult(rows("c"), 0)})
    assert only(begin(alone, cut=("a", "b", "c"), now=10 * MS), Answer).outcome == "refused"


def test_over_the_level_spare_parts_are_left_out_before_anything_goes_out():
    machine = gather(spare=("b", "c"))
    assert [part.site for part in of(begin(machine, over=True), SendSubrequest)] == ["a"]
    assert only(machine.receive_rows(10, "a", 0, rows("a")), Answer).status.sites[1].missing == "spared"
    weighed = gather(needs="all", weight=0.75, spare=("a", "b", "c"))  # b can't be spared: the need would not be met
    assert [part.site for part in of(begin(weighed, over=True), SendSubrequest)] == ["b", "c"]


def test_a_second_try_is_paid_for_and_never_beside_the_first():
    machine = gather(tokens=1)
    begin(machine)
    assert only(machine.fail_site(5, "c", 0, "cut", may_retry=True), SendSubrequest) == SendSubrequest(
        "c", 1, 1_000 * MS
    )
    assert not machine.fail_site(6, "c", 0, "cut", may_retry=True)  # the end of the first try, told twice
    assert not of(machine.fail_site(7, "c", 1, "cut", may_retry=True), SendSubrequest) and machine.missing["c"] == "cut"
    broke = gather(tokens=0)
    begin(broke)
    assert not of(broke.fail_site(5, "b", 0, "refused", may_retry=True), SendSubrequest)


def test_what_all_sites_hold_together_stays_within_the_most_of_a_result():
    machine = gather(most=5)
    begin(machine)
    for site, text in (("a", "aaa"), ("b", "bb")):
        machine.receive_rows(10, site, 0, rows(text))
    answer = only(machine.receive_rows(11, "c", 0, rows("c")), Answer)
    assert answer.pages == [b"aaa", b"bb"] and answer.status.sites[2].missing == "failed"
    strict = gather(most=5, needs="all", partial=False)
    begin(strict)
    for site, text in (("a", "aaa"), ("b", "bb")):
        strict.receive_rows(10, site, 0, rows(text))
    assert only(strict.receive_rows(11, "c", 0, rows("c")), Answer).outcome == "refused"


class Checked:
    """Watches one gather from outside: what must hold whatever happens."""

    def __init__(self, machine):
        self.machine, self.answers, self.out, self.came, self.gone = machine, [], {}, {}, set()

    def see(self, effects, now):
        for effect in effects:
            match effect:
                case SendSubrequest(site, number):
                    assert site not in self.out, "two attempts of one part"
                    assert not self.answers
                    self.out[site] = number
                case CancelSubrequest(site, number):
                    assert self.out.pop(site) == number
                case Answer():
                    assert not self.answers, "answered twice"
                    self.answers.append(effect)
                    self.judge(effect, now)
        if self.answers:
            assert not self.out, "a part goes on after the answer"
        assert self.answers or self.out, "held with nothing to wait for"

    def judge(self, answer, now):
        rule = self.machine.rule
        if answer.outcome == "refused":
            return
        said = {site.site: site for site in answer.status.sites}
        assert list(said) == list(rule.sites)
        inside = [site for site in rule.sites if said[site].missing is None]
        pages = []
        for site in inside:
            if said[site].age_ms:
                assert rule.fill_ms and said[site].age_ms <= rule.fill_ms + 1
                pages.append(b"old " + site.encode())
            else:
                pages.append(self.came.get(site))
        assert list(answer.pages) == pages, "rows not of the sites named"
        whole = len(inside) == len(rule.sites) and not any(site.age_ms for site in said.values())
        assert answer.status.complete == whole, "partial passed as whole"
        assert whole or rule.partial, "partial to who does not allow it"
        if rule.weight is not None:
            weights = self.machine.weights
            assert sum(weights[s] for s in inside) >= rule.weight * sum(weights[s] for s in rule.sites) - 1e-6
        else:
            assert set(inside) >= set(rule.sites if rule.needs == "all" else rule.needs)


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


def follow(rule, need, steps, cut, over, make=Gather):
    told = rule | need
    told["spare"] = tuple(s for s in told["spare"] if s not in (told["needs"] if told["needs"] != "all" else ()))
    kept = {"a": CachedResult(rows("old a"), 0), "b": CachedResult(rows("old b"), -30 * MS)}
    plain = gather(learned={"a": 100 * MS, "b": 200 * MS}, kept=kept, **told)
    machine = make(
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
    seen, now = Checked(machine), 0
    seen.see(begin(machine, cut, over), now)
    for what, site, later in steps:
        now += later * MS
        number = machine.in_flight.get(site, 0)
        if what in ("came", "twice") and site in seen.out:
            text = f"{site} {number}"
            seen.came[site] = text.encode()
            del seen.out[site]
            seen.see(machine.receive_rows(now, site, number, rows(text)), now)
            if what == "twice":
                seen.see(machine.receive_rows(now, site, number, rows("late")), now)
        elif what in ("failed", "again") and site in seen.out:
            del seen.out[site]
            seen.see(machine.fail_site(now, site, number, "failed", may_retry=what == "again"), now)
        elif what == "cut":
            seen.see(machine.mark_unreachable(now, site), now)
        elif what == "woke":
            seen.see(machine.timer_fired(now), now)
        elif what == "came":  # one that was given up, or is over: it must count for nothing
            seen.see(machine.receive_rows(now, site, number, rows("late")), now)
    seen.see(machine.timer_fired(max(now, 1_000 * MS)), now)
    assert len(seen.answers) == 1
    return seen


@settings(max_examples=400, deadline=None, derandomize=True)
@given(RULES, NEEDS, STEPS, st.sets(st.sampled_from("abc")), st.booleans())
def test_any_events_give_one_answer_that_states_its_sites(rule, need, steps, cut, over):
    follow(rule, need, steps, cut, over)


class LateCounted(Gather):
    """Planted: what comes after its end still counts."""

    def receive_rows(self, now, site, number, rows):
        self.in_flight.setdefault(site, number)
        self.missing.pop(site, None)
        return super().receive_rows(now, site, number, rows) if not self.done else []


class Unmarked(Gather):
    """Planted: a partial answer is told as whole."""

    def _finish(self, now):
        return [
            effect._replace(status=GatherStatus(complete=True, sites=effect.status.sites))
            if isinstance(effect, Answer) and effect.status
            else effect
            for effect in super()._finish(now)
        ]


class Twice(Gather):
    """Planted: the second try goes out while the first is."""

    def timer_fired(self, now):
        return [
            *super().timer_fired(now),
            *([self._send_subrequest(next(iter(self.in_flight)))] if self.in_flight and not self.done else []),
        ]


class Waiting(Gather):
    """Planted: held to the end although the need can't be met any more."""

    def _can_succeed(self, missing, now):
        return bool(self.in_flight) or super()._can_succeed(missing, now)


PLAIN = {"wait": "budget", "fill_ms": 0.0, "spare": (), "tries": 2}
PLANTED = {
    LateCounted: ({"needs": ("a",)}, [("failed", "b", 1), ("came", "b", 1), ("came", "a", 1), ("came", "c", 1)]),
    Unmarked: ({"needs": ("a",)}, [("came", "a", 1), ("failed", "b", 1), ("failed", "c", 1)]),
    Twice: ({"needs": ("a",)}, [("woke", "a", 1), ("came", "a", 1)]),
}


@pytest.mark.parametrize("planted", PLANTED)
def test_planted_mistakes_are_found(planted):
    need, steps = PLANTED[planted]
    follow(PLAIN, need, steps, (), False)
    with pytest.raises(AssertionError):
        follow(PLAIN, need, steps, (), False, planted)


def test_one_that_is_held_although_it_is_lost_is_found():
    machine = gather()
    begin(machine)
    assert of(machine.fail_site(5, "a", 0, "cut"), Answer)
    held = gather()
    held.__class__ = Waiting
    begin(held)
    assert not of(held.fail_site(5, "a", 0, "cut"), Answer)


# ---- what is learned and kept, how far a part has come


def test_times_tell_a_quantile_once_there_are_enough_and_forget_old_ones():
    times = SiteLatencies()
    for took in range(7):
        times.add("a", "report", took)
    assert not times.quantile("a", "report", 0.9)
    for _ in range(64):
        times.add("a", "report", 50)
    assert times.quantile("a", "report", 0.1) == 50


def test_the_shelf_keeps_within_its_bytes_and_lets_the_least_lately_used_go():
    shelf = ResultCache(3 * (ENTRY_OVERHEAD_BYTES + 10))
    for number in range(3):
        shelf.put("a", number, Rows((b"x" * 10,)), number)
    assert shelf.get("a", 0).read_at == 0
    shelf.put("a", 3, Rows((b"x" * 10,)), 3)
    assert (
        shelf.get("a", 1) is None
        and shelf.get("a", 0) is not None
        and shelf.size_bytes <= 3 * (ENTRY_OVERHEAD_BYTES + 10)
    )
    shelf.put("a", 9, Rows((b"x" * 9_999,)), 3)
    assert shelf.get("a", 9) is None


def test_hops_are_told_in_the_id_and_a_client_s_own_has_none():
    import random

    draw = random.Random(3)
    for told in range(1, hop_count.MAX_HOPS + 1):
        id = hop_count.subrequest_id(draw, told)
        assert len(id) == 16 and hop_count.hop_count_of(id) == told and id != hop_count.subrequest_id(draw, told)
    assert not any(hop_count.hop_count_of(f"{draw.getrandbits(64):016x}") for _ in range(2_000))


# ---- at one gateway


class Engines:
    """Keeps attempts until the test ends them."""

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
        listing = EndpointSnapshot(1, entries, {entry.engine: ("127.0.0.1", 1) for entry in entries})
        if self.core.engines is None:
            self.core.start(self.engines, entries, 1)
        else:
            self.core.update_endpoints(entries, 2)
        self.dispatcher.update_endpoints(listing)

    def ask(self, marks=True, number=1, within=3 * S, id=None):
        client = Client(marks)
        query = Query(id or f"{number:016x}", "report", b"SELECT 1", self.clock.now() + within, client, tenant="acme")
        self.core.submit(query)
        return query, client

    def end(self, zone, reason="GOOD", text=b""):
        attempt = next(attempt for attempt in self.engines.out if attempt.engine == f"e{zone}")
        self.engines.out.remove(attempt)
        self.core.complete_attempt(attempt, reason, rows=[text] if reason == "GOOD" else ())


def test_parts_run_in_their_zones_alone_and_the_answer_is_joined_and_marked():
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


def test_at_the_deadline_what_is_here_is_answered_in_time_and_what_runs_is_called_off():
    gateway = Gateway(sites=["a", "b"])
    query, client = gateway.ask()
    gateway.end("za", text=b"a\t1\t2\n")
    deadline = query.deadline
    gateway.clock.advance(3 * S)
    [(how, body, mark)] = client.said
    assert (how, body, mark.complete, mark.sites[1].missing) == ("served", b"a\t1\t2\n", False, "late")
    assert "ezb" in gateway.engines.given_up and gateway.core.counters["backstop_answers"] == 0
    assert deadline <= gateway.clock.now()


def test_a_zone_without_an_engine_is_cut_and_one_that_goes_is_waited_for_no_more():
    gateway = Gateway(sites=["a", "b"])
    _, client = gateway.ask()
    gateway.end("za", text=b"a\t1\t2\n")
    gateway.list("za")
    assert client.said[0][2].sites[1].missing == "cut"
    _, second = gateway.ask(number=2)
    assert [attempt.engine for attempt in gateway.engines.out if attempt.engine == "eza"]
    gateway.end("za", text=b"a\t1\t2\n")
    assert second.said[0][2].sites[1].missing == "cut"


def test_a_client_that_leaves_takes_its_parts_along_and_open_gathers_end_under_their_rules():
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
    assert len(gateway.engines.out) == 1  # it is no gather any more


def test_a_part_from_another_gateway_is_gathered_no_further():
    import random

    gateway = Gateway(sites=["a", "b"])
    gateway.ask(id=hop_count.subrequest_id(random.Random(1), 1))
    assert len(gateway.engines.out) == 1 and gateway.dispatcher.counts["gather_hops_ended"] == 1


class Changing(GatherDispatcher):
    """Planted: an open gather goes by the rules that hold by now."""

    def apply_rules(self, rules, version):
        super().apply_rules(rules, version)
        for open in self.requests.values():
            open.state.rule = rules.file.rule[0] if rules.file.rule else open.rule


def test_an_open_request_that_changes_its_version_is_found():
    """The open one needs all; the version that comes meanwhile would let it be partial."""
    lax = gather_rules({"site": SITES, "rule": [PARTIAL | {"sites": ["a", "b"]}]}, SETTINGS)
    said = {}
    for kind in (GatherDispatcher, Changing):
        gateway = Gateway(sites=["a", "b"], needs="all")
        gateway.dispatcher.__class__ = kind
        _, client = gateway.ask()
        gateway.dispatcher.apply_rules(lax, 2)
        gateway.end("za", text=b"a\t1\t2\n")
        gateway.clock.advance(3 * S)
        said[kind] = client.said[0][0]
    assert said == {GatherDispatcher: "refused", Changing: "served"}


# ---- at another installation


class Wire(StringTransport):
    def setTcpNoDelay(self, on): ...


class Remote:
    """What the gathering gateway wrote to one of another installation's, and how that answers."""

    def __init__(self, reactor, number):
        *_, self.factory, _, _ = reactor.tcpClients[number]
        self.address = reactor.tcpClients[number][:2]
        self.protocol, self.transport = self.factory.buildProtocol(None), Wire()
        self.protocol.makeConnection(self.transport)

    def heard(self):
        told = [json.loads(line) for line in self.transport.value().splitlines()]
        self.transport.clear()
        return told

    def say(self, **words):
        self.protocol.dataReceived(json.dumps({"jsonrpc": "2.0", **words}).encode() + b"\n")


def body(text):
    return {"body": b64encode(text).decode()}


def remote_gather(**rule):
    reactor = MemoryReactorClock()
    gateway = Gateway(reactor, **{"sites": ["a", "c"], "needs": "all", **rule})
    _, client = gateway.ask()
    return gateway, client, reactor, Remote(reactor, 0)


def test_a_part_goes_to_another_installation_by_the_clients_protocol_and_its_rows_are_joined():
    gateway, client, _, remote = remote_gather()
    [asked] = remote.heard()
    params = asked["params"]
    assert set(params) == {"rid", "budget", "acct", "body"} and b64decode(params["body"]) == b"SELECT 1"
    assert hop_count.hop_count_of(params["rid"]) == 1 and 0 < params["budget"] < 3_000 and asked["method"] == "report"
    gateway.end("za", text=b"a\t1\t2\n")
    remote.say(id=asked["id"], result=body(b"c\t1\t2\n"))
    assert client.said[0][:2] == ("served", b"a\t1\t2\nc\t1\t2\n")
    remote.say(id=asked["id"], result=body(b"c\t1\t2\n"))  # twice: it counts once
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
def test_what_is_no_whole_answer_is_none(answer):
    gateway, client, reactor, remote = remote_gather(tries=1)
    remote.say(id=remote.heard()[0]["id"], **answer)
    if not client.said:
        remote.protocol.connectionLost()
    assert [said[0] for said in client.said] == ["refused"]


def test_the_second_try_goes_to_another_gateway_of_the_site_and_a_refusal_tells_its_back_off():
    gateway, client, reactor, remote = remote_gather()
    remote.say(id=remote.heard()[0]["id"], error={"code": -32008, "message": "x", "data": {"backoff": 900}})
    assert not client.said and len(reactor.tcpClients) == 2
    other = Remote(reactor, 1)
    assert other.address != remote.address
    other.say(id=other.heard()[0]["id"], error={"code": -32008, "message": "x", "data": {"backoff": 400}})
    assert client.said == [("refused", 900 * MS)] and gateway.dispatcher.counts["gather_further_tries"] == 1


def test_a_gateway_that_goes_is_cut_and_what_is_called_off_is_withdrawn_there():
    gateway, client, reactor, remote = remote_gather(tries=1)
    remote.protocol.connectionLost()
    assert client.said[0][0] == "refused"
    gateway, client, reactor, remote = remote_gather()
    [asked] = remote.heard()
    gateway.end("za", "BAD")
    gateway.clock.advance(100 * MS)
    while gateway.engines.out:
        gateway.end("za", "BAD")
        gateway.clock.advance(100 * MS)
    assert client.said[0][0] == "refused"
    assert remote.heard() == [{"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": asked["id"]}}]


def test_rows_are_whole_or_none():
    assert are_complete_rows(b"", 9) and are_complete_rows(b"a\tb\tc\n", 9)
    assert not any(are_complete_rows(text, 9) for text in (b"a\tb\n", b"a\tb\tc", b"a\tb\tc\n" * 2, b"\xff\t\t\n"))
