"""The `[fleet]` part of the operator's file, and the faulty twin that the fleet's parts are tested on."""

import pytest

from rackhub import interface as t
from rackhub.config import ConfigError, check_operator, fleet_settings
from rackhub.fleet.ports import MemberState
from rackhub.operatorfile import Operator
from rackhub.trials.fleet.twin import MS, SECOND, Net

PEERS = t.Settings(classes=(t.ClassSettings("lookup"),), gossip=True)
PART = {"cluster": "rides", "listen": "127.0.0.1:7001", "join": ["127.0.0.1:7002"]}


def test_where_the_site_forbids_peers_the_part_is_refused_with_both_keys():
    alone = t.Settings(classes=(t.ClassSettings("lookup"),))
    for operator in (Operator(fleet=PART), Operator(gather={})):
        with pytest.raises(ConfigError, match=r"operator file: (fleet|gather): .*settings\.Permissions\.Peers"):
            check_operator(operator, alone)


@pytest.mark.parametrize(
    "change, named",
    [
        ({"cluster": "a b"}, "cluster: 'a b'"),
        ({"listen": "7001"}, "listen: '7001'"),
        ({"join": ["x:1"]}, r"join\[0\]"),
        ({"keepers": ["a", "b"]}, "keepers: "),
        ({"keepers": ["n1", "b", "c"]}, "state: not set"),
        ({"keepers": ["a", "a", "b"]}, "keepers: "),
        ({"state": "here"}, "state: 'here'"),
        ({"timeout_ms": 900}, "timeout_ms: 900"),
        ({"probe_ms": 1}, "probe_ms: 1"),
        ({"worth_guard": 2.0}, "worth_guard"),
        ({"speed": 3}, "speed"),
        ({"control": "x"}, "control: 'x'"),
        ({"advertise": "y"}, "advertise: 'y'"),
    ],
)
def test_a_bad_key_is_named_with_its_value(change, named):
    with pytest.raises(ConfigError, match="operator file: fleet: .*" + named):
        fleet_settings(PART | change, PEERS, "n1")


def test_what_is_left_out_has_its_default_and_the_configuration_s_name():
    told = fleet_settings(PART, PEERS, "n1")
    assert (told.name, told.listen_address, told.records_ms) == ("n1", ("127.0.0.1", 7001), 3_000)
    behind = fleet_settings(PART | {"advertise": "127.0.0.9:7009"}, PEERS, "n1")
    assert told.advertised_address == told.listen_address == behind.listen_address and behind.advertised_address == (
        "127.0.0.9",
        7009,
    )


def run_of(seed):
    net, heard = Net(["a", "b", "c"], seed), []
    net.lose = net.double = 0.3
    for node in net.nodes.values():
        node.subscribe(
            "word", lambda source, body, me=node.local_name: heard.append((net.time.now(), source, me, body))
        )
    for number in range(60):
        net.time.later(number * 10 * MS, lambda number=number: net.nodes["a"].send("b", "word", bytes([number])))
        net.time.later(number * 10 * MS, lambda number=number: net.nodes["a"].publish("load", bytes([number])))
    net.time.run(SECOND)
    return heard, net.nodes["c"].read("load")


def test_the_twin_is_the_same_from_one_seed_and_loses_and_doubles():
    heard, records = run_of(7)
    assert (heard, records) == run_of(7) and heard != run_of(8)[0]
    counts = [sum(body == bytes([number]) for *_, body in heard) for number in range(60)]
    assert 0 in counts and max(counts) > 1 and set(records) == {"a"}


def test_the_twin_cuts_one_way_pauses_and_forgets_what_a_killed_process_held():
    net = Net(["a", "b"], 1)
    net.cut({"a"}, {"b"}, both=False)
    net.nodes["a"].publish("load", b"1")
    net.nodes["b"].publish("load", b"2")
    net.time.run(SECOND)
    assert set(net.nodes["b"].read("load")) == {"b"} and set(net.nodes["a"].read("load")) == {"a", "b"}
    assert net.nodes["a"].read("load")["b"].age == SECOND
    net.heal()
    net.nodes["b"].pause()
    net.nodes["a"].publish("load", b"3")
    net.time.run(SECOND)
    assert "a" not in net.nodes["b"].read("load")
    net.nodes["b"].wake()
    assert net.nodes["b"].read("load")["a"].body == b"3"
    net.nodes["b"].kill()
    net.nodes["a"].say("b", MemberState.GONE)
    net.nodes["b"].restart()
    assert not net.nodes["b"].read("load") and net.nodes["a"].live() == {"a"}
