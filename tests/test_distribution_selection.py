"""Rendezvous hashing: stable, spread evenly, the own zone first; and the search for an upstream."""

import random
from collections import Counter

from rackhub.fleet.distribution.events import Node, Role
from rackhub.fleet.distribution.limits import MILLISECOND, SECOND, Limits
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.selection import PATIENCE, Candidates, ranked, score
from rackhub.fleet.distribution.upstream import RETURN_HOME, Search, Stream

LIMITS = Limits()
ZONES = [f"zone-{number}" for number in range(8)]
RELAYS = tuple(Node(f"relay-{zone}-{number}", Role.RELAY, zone) for zone in ZONES for number in range(2))
HOME = {"relay-zone-0-0", "relay-zone-0-1"}
NAMES = [f"coordinator-{number}" for number in range(2_000)]


def candidates():
    return Candidates("coordinator-1", "zone-0", RELAYS, LIMITS, random.Random(1))


def test_the_order_depends_on_the_names_only():
    assert score("coordinator-1", "relay-1") == 15209059371373787757
    shuffled = list(RELAYS)
    random.Random(3).shuffle(shuffled)
    assert ranked("coordinator-1", "zone-0", tuple(shuffled)) == ranked("coordinator-1", "zone-0", RELAYS)


def test_relays_of_the_own_zone_come_first():
    assert all({node.name for node in ranked(name, "zone-0", RELAYS)[:2]} == HOME for name in NAMES[:100])


def test_watchers_spread_evenly_at_home_and_abroad():
    first = Counter(ranked(name, "zone-0", RELAYS)[0].name for name in NAMES)
    assert all(900 < many < 1_100 for many in first.values())
    refuge = Counter(ranked(name, "zone-0", RELAYS)[2].name for name in NAMES)
    assert len(refuge) == 14
    assert all(100 < many < 200 for many in refuge.values()), refuge


def test_a_lost_relays_watchers_spread_and_the_others_stay():
    voters = tuple(Node(f"voter-{number}", Role.VOTER) for number in range(5))
    before = {name: ranked(name, "", voters)[0].name for name in NAMES}
    after = {name: ranked(name, "", voters[1:])[0].name for name in NAMES}
    assert all(after[name] == before[name] for name in NAMES if before[name] != "voter-0")
    moved = Counter(after[name] for name in NAMES if before[name] == "voter-0")
    assert len(moved) == 4 and all(60 < many < 140 for many in moved.values()), moved


def test_a_silent_relay_is_left_for_the_other_and_then_for_a_neighbour():
    found = candidates()
    first = found.choose(0)
    found.silent(first, 0)
    second = found.choose(0)
    assert {first, second} == HOME
    found.silent(second, 0)
    assert found.choose(0) not in HOME
    assert found.choose(LIMITS.upstream_timeout) in HOME, "it is asked again after a while"


def test_a_home_relay_that_is_only_busy_is_waited_for():
    found = candidates()
    for name in HOME:
        found.refused(name, 0, 800 * MILLISECOND)
    assert found.choose(0) is None
    assert found.waits(0) == 800 * MILLISECOND
    assert found.choose(800 * MILLISECOND) in HOME


def test_patience_with_home_has_an_end():
    found = candidates()
    for name in HOME:
        for _ in range(PATIENCE + 1):
            found.refused(name, 0, 0)
    assert found.choose(0) not in HOME


def test_a_long_wait_at_home_is_not_waited_for():
    found = candidates()
    for name in HOME:
        found.refused(name, 0, 5 * SECOND)
    assert found.choose(0) not in HOME


def test_where_all_have_failed_the_first_to_fail_is_asked_again():
    found = Candidates("c", "z", RELAYS[:2], LIMITS, random.Random(1))
    for name in HOME:
        found.silent(name, 0)
    assert found.choose(0) in HOME


def test_there_may_be_nobody_to_ask():
    search = Search(Identity(name="c"), LIMITS, random.Random(1), 0)
    assert search.next(0, None) is None
    assert search.due(0, None) > 0


def test_a_guest_asks_at_home_after_a_while_of_its_own():
    times = set()
    for seed in range(20):
        search = Search(Identity(name="c", zone="zone-0", upstreams=RELAYS), LIMITS, random.Random(seed), 0)
        search.served(0, "relay-zone-3-1")
        due = search.due(0, Stream("relay-zone-3-1", 1, 1 << 50, 1 << 50))
        assert RETURN_HOME[0] <= due <= RETURN_HOME[1]
        assert search.next(due, Stream("relay-zone-3-1", 1, due, due)) in HOME
        times.add(due)
    assert len(times) == 20


def test_waits_grow_between_tries():
    search = Search(Identity(name="c", upstreams=RELAYS), LIMITS, random.Random(1), 0)
    waits = []
    for _ in range(6):
        search.failed(0, RELAYS[0].name, None)
        waits.append(search.due(0, None))
    assert LIMITS.min_retry_delay // 2 <= waits[0] <= LIMITS.min_retry_delay
    assert LIMITS.max_retry_delay // 2 <= waits[-1] <= LIMITS.max_retry_delay
