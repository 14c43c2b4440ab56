"""The keys of `[fleet]` that give a process a role. A fault names key and value; nothing is loaded without a role."""

import subprocess
import sys

import pytest

from rackhub import interface
from rackhub.config import ConfigError, fleet_settings
from rackhub.fleet.roles import shares_overload

SITE = interface.Settings(classes=(interface.ClassSettings("lookup"),), gossip=True)
VOTER = {"name": "v1", "role": "voter", "zone": "z1", "address": "127.0.0.1:7101"}
RELAYS = [
    {"name": "r1", "role": "relay", "zone": "z1", "address": "127.0.0.1:7102"},
    {"name": "r2", "role": "relay", "zone": "z2", "address": "127.0.0.1:7103"},
]
NODES = [VOTER, *RELAYS]
BASE = {"cluster": "rides", "listen": "127.0.0.1:7001", "zone": "z1", "node": NODES}
COORDINATOR = BASE | {"role": "coordinator", "watch": "127.0.0.1:7100", "state": "/var/lib/rackhub"}
RELAY = BASE | {"role": "relay", "watch": "127.0.0.1:7102"}
VOTES = BASE | {"role": "voter", "watch": "127.0.0.1:7101", "state": "/var/lib/rackhub", "keepers": ["v1"]}


@pytest.mark.parametrize("part, name", [(COORDINATOR, "c1"), (RELAY, "r1"), (VOTES, "v1")])
def test_each_role_is_accepted_and_its_zone_is_a_separate_cluster(part, name):
    settings = fleet_settings(part, SITE, name)
    assert settings.zone_cluster == "rides.z1" and settings.scope == ("",)


def test_overload_is_shared_only_if_all_coordinators_are_in_one_zone():
    """Members are those of one zone, but engines serve all zones.

    With several zones, each would take its zone's load for that of all zones.
    """
    one_zone = {"node": [VOTER, RELAYS[0]]}
    assert shares_overload(fleet_settings({"cluster": "rides", "listen": "127.0.0.1:7001"}, SITE, "n1"))
    assert shares_overload(fleet_settings(COORDINATOR | one_zone, SITE, "c1"))
    assert not shares_overload(fleet_settings(COORDINATOR, SITE, "c1"))
    assert not shares_overload(fleet_settings(COORDINATOR | one_zone | {"overload": False}, SITE, "c1"))
    assert not shares_overload(fleet_settings(RELAY | one_zone, SITE, "r1"))


def test_without_a_role_the_cluster_name_is_unchanged():
    assert fleet_settings({"cluster": "rides", "listen": "127.0.0.1:7001"}, SITE, "n1").zone_cluster == "rides"


@pytest.mark.parametrize(
    "part, name, fault",
    [
        (COORDINATOR | {"role": "boss"}, "c1", "role: 'boss' is none of voter, relay, coordinator"),
        (COORDINATOR | {"zone": ""}, "c1", "zone: ''"),
        (COORDINATOR | {"zone": "z9"}, "c1", "zone: 'z9' has no relay"),
        (COORDINATOR | {"zone": "z" * 60}, "c1", "zone: 'zzz.*: with cluster"),
        (COORDINATOR | {"watch": ""}, "c1", "watch: not set, and role is 'coordinator'"),
        (COORDINATOR | {"watch": "x"}, "c1", "watch: 'x'"),
        (COORDINATOR | {"watch_advertise": "y"}, "c1", "watch_advertise: 'y'"),
        (COORDINATOR | {"state": ""}, "c1", "state: not set, and role is 'coordinator'"),
        (COORDINATOR | {"scope": []}, "c1", "scope: 0 prefixes"),
        (COORDINATOR | {"scope": [f"a{n}" for n in range(65)]}, "c1", "scope: 65 prefixes"),
        (COORDINATOR | {"scope": ["a", "b" * 257]}, "c1", r"scope\[1\]: 'bbb.*more than 256 bytes"),
        (COORDINATOR, "r1", "node: 'r1' is among them as relay, and role is 'coordinator'"),
        (COORDINATOR | {"keepers": ["v2"]}, "c1", r"keepers: \['v2'\]: the voters among node are \['v1'\]"),
        (RELAY, "r9", "node: 'r9' is not among them, and role is 'relay'"),
        (RELAY | {"node": RELAYS}, "r1", "node: there is no voter among them"),
        (RELAY, "v1", "role: 'relay', and 'v1' is a voter among node"),
        (RELAY, "r2", "zone: 'z1', and 'r2' is of zone 'z2' among node"),
        (RELAY | {"watch": "127.0.0.1:7999"}, "r1", "watch: '127.0.0.1:7999', and 'r1' is at '127.0.0.1:7102'"),
        (RELAY | {"node": [VOTER, *RELAYS, RELAYS[0]]}, "r1", r"node\[3\].name: 'r1' is that of node\[1\], too"),
        (
            RELAY | {"node": [*NODES, RELAYS[0] | {"name": "r3"}]},
            "r1",
            r"node\[3\].address: '127.0.0.1:7102' is that of node\[1\], too",
        ),
        (RELAY | {"node": [*NODES, RELAYS[0] | {"role": "coordinator"}]}, "r1", r"node\[3\].role: 'coordinator'"),
        (RELAY | {"node": [*NODES, RELAYS[0] | {"zone": "a b"}]}, "r1", r"node\[3\].zone: 'a b'"),
        (RELAY | {"node": [*NODES, RELAYS[0] | {"name": ""}]}, "r1", r"node\[3\].name: ''"),
        (RELAY | {"node": [*NODES, RELAYS[0] | {"speed": 1}]}, "r1", "speed.*node"),
        (VOTES | {"state": ""}, "v1", "state: not set"),
        (VOTES | {"keepers": []}, "v1", r"keepers: \[\]: the voters among node are \['v1'\]"),
        (VOTES | {"keepers": ["v1", "v2", "v3"]}, "v1", "keepers: "),
        (COORDINATOR | {"role": ""}, "c1", "zone: is set, and role is not"),
        ({"cluster": "a", "listen": "127.0.0.1:1", "scope": ["a"]}, "c1", "scope: is set, and role is not"),
    ],
)
def test_a_fault_names_its_key_and_value(part, name, fault):
    with pytest.raises(ConfigError, match="operator file: fleet: .*" + fault):
        fleet_settings(part, SITE, name)


def test_without_a_role_nothing_of_distribution_is_imported():
    code = (
        "import sys, rackhub.fleet.part, rackhub.cli.serve; from rackhub import interface; "
        "from rackhub.config import fleet_settings; "
        "site = interface.Settings(classes=(interface.ClassSettings('lookup'),), gossip=True); "
        "fleet_settings({'cluster': 'a', 'listen': '127.0.0.1:1'}, site, 'n'); "
        "print([name for name in sys.modules if name.startswith('rackhub.fleet.distribution')])"
    )
    ran = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert ran.stdout.strip() == "[]"
