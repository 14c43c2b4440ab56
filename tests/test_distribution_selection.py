"""Rendezvous hashing (stable, evenly spread, local relays first) and the search for an upstream."""

import random
from collections import Counter

from rackhub.fleet.distribution.events import Node, Role
from rackhub.fleet.distribution.limits import MILLISECOND, SECOND, Limits
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.selection import MAX_LOCAL_REJECTIONS, Candidates, rank_upstreams, rendezvous_score
from rackhub.fleet.distribution.upstream import LOCAL_RETURN_DELAY, Stream, UpstreamSearch

LIMITS = Limits()
ZONES = [f"zone-{number}" for number in range(8)]
RELAYS = tuple(Node(f"relay-{zone}-{number}", Role.RELAY, zone) for zone in ZONES for number in range(2))
LOCAL = {"relay-zone-0-0", "relay-zone-0-1"}
NAMES = [f"coordinator-{number}" for number in range(2_000)]


def candidates():
    return Candidates("coordinator-1", "zone-0", RELAYS, LIMITS, random.Random(1))


def test_the_order_depends_on_the_names_only():
    assert rendezvous_score("coordinator-1", "relay-1") == 15209059371373787757
    shuffled = list(RELAYS)
    random.Random(3).shuffle(shuffled)
    assert rank_upstreams("coordinator-1", "zone-0", tuple(shuffled)) == rank_upstreams(
        "coordinator-1", "zone-0", RELAYS
    )


def test_relays_of_the_own_zone_come_first():
    assert all({node.name for node in rank_upstreams(name, "zone-0", RELAYS)[:2]} == LOCAL for name in NAMES[:100])


def test_watchers_spread_evenly_over_local_and_foreign_relays():
    first = Counter(rank_upstreams(name, "zone-0", RELAYS)[0].name for name in NAMES)
    assert all(900 < count < 1_100 for count in first.values())
    fallback = Counter(rank_upstreams(name, "zone-0", RELAYS)[2].name for name in NAMES)
    assert len(fallback) == 14
    assert all(100 < count < 200 for count in fallback.values()), fallback


def test_a_lost_relays_watchers_spread_and_the_others_stay():
    voters = tuple(Node(f"voter-{number}", Role.VOTER) for number in range(5))
    before = {name: rank_upstreams(name, "", voters)[0].name for name in NAMES}
    after = {name: rank_upstreams(name, "", voters[1:])[0].name for name in NAMES}
    assert all(after[name] == before[name] for name in NAMES if before[name] != "voter-0")
    moved = Counter(after[name] for name in NAMES if before[name] == "voter-0")
    assert len(moved) == 4 and all(60 < count < 140 for count in moved.values()), moved


def test_an_unresponsive_relay_is_replaced_by_a_local_one_then_by_a_foreign_one():
    candidates_found = candidates()
    first = candidates_found.choose(0)
    candidates_found.mark_unresponsive(first, 0)
    second = candidates_found.choose(0)
    assert {first, second} == LOCAL
    candidates_found.mark_unresponsive(second, 0)
    assert candidates_found.choose(0) not in LOCAL
    assert candidates_found.choose(LIMITS.upstream_timeout) in LOCAL, "it is tried again after the timeout"


def test_a_local_relay_that_rejects_for_a_short_time_is_waited_for():
    candidates_found = candidates()
    for name in LOCAL:
        candidates_found.mark_rejected(name, 0, 800 * MILLISECOND)
    assert candidates_found.choose(0) is None
    assert candidates_found.retry_at(0) == 800 * MILLISECOND
    assert candidates_found.choose(800 * MILLISECOND) in LOCAL


def test_rejections_by_local_relays_are_waited_out_a_limited_number_of_times():
    candidates_found = candidates()
    for name in LOCAL:
        for _ in range(MAX_LOCAL_REJECTIONS + 1):
            candidates_found.mark_rejected(name, 0, 0)
    assert candidates_found.choose(0) not in LOCAL


def test_a_long_retry_delay_of_local_relays_is_not_waited_out():
    candidates_found = candidates()
    for name in LOCAL:
        candidates_found.mark_rejected(name, 0, 5 * SECOND)
    assert candidates_found.choose(0) not in LOCAL


def test_after_all_have_failed_the_first_to_fail_is_tried_again():
    candidates_found = Candidates("c", "z", RELAYS[:2], LIMITS, random.Random(1))
    for name in LOCAL:
        candidates_found.mark_unresponsive(name, 0)
    assert candidates_found.choose(0) in LOCAL


def test_a_search_without_upstreams_finds_none():
    search = UpstreamSearch(Identity(name="c"), LIMITS, random.Random(1), 0)
    assert search.next_upstream(0, None) is None
    assert search.due(0, None) > 0


def test_a_foreign_watcher_tries_its_own_zone_after_a_random_delay():
    times = set()
    for seed in range(20):
        search = UpstreamSearch(Identity(name="c", zone="zone-0", upstreams=RELAYS), LIMITS, random.Random(seed), 0)
        search.served(0, "relay-zone-3-1")
        due = search.due(0, Stream("relay-zone-3-1", 1, 1 << 50, 1 << 50))
        assert LOCAL_RETURN_DELAY[0] <= due <= LOCAL_RETURN_DELAY[1]
        assert search.next_upstream(due, Stream("relay-zone-3-1", 1, due, due)) in LOCAL
        times.add(due)
    assert len(times) == 20


def test_delays_between_attempts_grow():
    search = UpstreamSearch(Identity(name="c", upstreams=RELAYS), LIMITS, random.Random(1), 0)
    delays = []
    for _ in range(6):
        search.failed(0, RELAYS[0].name, None)
        delays.append(search.due(0, None))
    assert LIMITS.min_retry_delay // 2 <= delays[0] <= LIMITS.min_retry_delay
    assert LIMITS.max_retry_delay // 2 <= delays[-1] <= LIMITS.max_retry_delay
