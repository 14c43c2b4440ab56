"""The `[fleet]` table of the operator's file, and the simulated ports on which the fleet's components are tested."""

import pytest

from rackhub import interface as t
from rackhub.config import ConfigError, check_operator, fleet_settings
from rackhub.fleet.ports import MemberState
from rackhub.operatorfile import Operator
from rackhub.trials.fleet.twin import MS, SECOND, Net

PEERS = t.Settings(classes=(t.ClassSettings("lookup"),), gossip=True)
FLEET = {"cluster": "rides", "listen": "127.0.0.1:7001", "join": ["127.0.0.1:7002"]}


def test_fleet_and_gather_are_rejected_if_the_site_forbids_peers():
    without_peers = t.Settings(classes=(t.ClassSettings("lookup"),))
    for operator in (Operator(fleet=FLEET), Operator(gather={})):
        with pytest.raises(ConfigError, match=r"operator file: (fleet|gather): .*settings\.Permissions\.Peers"):
            check_operator(operator, without_peers)


@pytest.mark.parametrize(
    "change, error",
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
def test_an_invalid_key_is_named_with_its_value(change, error):
    with pytest.raises(ConfigError, match="operator file: fleet: .*" + error):
        fleet_settings(FLEET | change, PEERS, "n1")


def test_absent_keys_have_defaults_and_the_configured_name():
    settings = fleet_settings(FLEET, PEERS, "n1")
    assert (settings.name, settings.listen_address, settings.records_ms) == ("n1", ("127.0.0.1", 7001), 3_000)
    advertising = fleet_settings(FLEET | {"advertise": "127.0.0.9:7009"}, PEERS, "n1")
    assert settings.advertised_address == settings.listen_address == advertising.listen_address
    assert advertising.advertised_address == ("127.0.0.9", 7009)


def run_network(seed):
    net, received = Net(["a", "b", "c"], seed), []
    net.lose = net.double = 0.3
    for node in net.nodes.values():
        node.subscribe(
            "word", lambda source, body, me=node.local_name: received.append((net.time.now(), source, me, body))
        )
    for number in range(60):
        net.time.later(number * 10 * MS, lambda number=number: net.nodes["a"].send("b", "word", bytes([number])))
        net.time.later(number * 10 * MS, lambda number=number: net.nodes["a"].publish("load", bytes([number])))
    net.time.run(SECOND)
    return received, net.nodes["c"].read("load")


def test_simulated_ports_are_deterministic_and_lose_and_duplicate():
    received, records = run_network(7)
    assert (received, records) == run_network(7) and received != run_network(8)[0]
    counts = [sum(body == bytes([number]) for *_, body in received) for number in range(60)]
    assert 0 in counts and max(counts) > 1 and set(records) == {"a"}


def test_simulated_ports_cut_one_direction_pause_and_restart_empty():
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
    net.nodes["a"].set_member_state("b", MemberState.GONE)
    net.nodes["b"].restart()
    assert not net.nodes["b"].read("load") and net.nodes["a"].live() == {"a"}
