"""What an earlier version stored is opened and read, work goes on from it, and new records have the same bytes."""

import json
import shutil

import golden_disk
import msgspec
import pytest
import test_distribution_voter
import test_fleet_register
import test_state
from golden_disk import RECORDED, RECORDED_HISTORY, VOTER_DISKS
from twisted.internet import reactor

from rackhub.fleet.distribution.history import HistoryRecord
from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import Change, Entry
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.rules import encode_value
from rackhub.fleet.distribution.voter import Voter
from rackhub.fleet.members import generations
from rackhub.fleet.register.disk import MemoryDisk, StoreDisk
from rackhub.ops import handover_file
from rackhub.state import records
from rackhub.store.memory_files import MemoryFiles
from rackhub.trials.fleet import rules_torture
from rackhub.trials.fleet.twin import SECOND


def recorded(folder):
    return {
        name: {key.encode(): bytes.fromhex(body) for key, body in records.items()}
        for name, records in json.loads((folder / "records.json").read_text()).items()
    }


GOLDEN = recorded(RECORDED)
GOLDEN_HISTORY = recorded(RECORDED_HISTORY)
FOLDERS = [
    *((RECORDED, GOLDEN, name) for name in GOLDEN),
    *((RECORDED_HISTORY, GOLDEN_HISTORY, n) for n in VOTER_DISKS),
]
FLEET_DISKS = [one for one in FOLDERS if one[2] != "state"]


def filled(disk: MemoryDisk, records: golden_disk.Records) -> MemoryDisk:
    """The simulated disk with what a real one holds."""
    disk._synced = {key.decode().removeprefix("disk/"): body for key, body in records.items()}
    disk._written = dict(disk._synced)
    return disk


def folder_id(value):
    return value.name if hasattr(value, "name") else value if isinstance(value, str) else ""


@pytest.mark.parametrize("home, golden, name", FOLDERS, ids=folder_id)
def test_a_recorded_directory_is_opened_and_every_record_is_the_same(home, golden, name, tmp_path):
    folder = shutil.copytree(home / name, tmp_path / name)
    assert golden_disk.read_directory(folder) == golden[name]
    assert golden_disk.read_directory(folder) == golden[name], "also when it was opened once before"


@pytest.mark.parametrize("home, golden, name", FLEET_DISKS, ids=folder_id)
def test_a_recorded_directory_is_a_disk_of_the_fleet(home, golden, name, tmp_path):
    disk = StoreDisk(reactor, shutil.copytree(home / name, tmp_path / name))
    try:
        assert not disk.damage
        assert {b"disk/" + key.encode(): body for key, body in disk.scan("")} | {
            b"disk/identity": disk.identity.encode()
        } == golden[name] | {b"disk/identity": disk.identity.encode()}
    finally:
        disk.close()


def test_the_same_course_of_events_stores_the_same_bytes():
    assert comparable(golden_disk.all_records()) == comparable(GOLDEN | GOLDEN_HISTORY)


@pytest.mark.parametrize("name", VOTER_DISKS)
def test_a_voter_stores_what_an_earlier_version_did_but_for_its_history(name):
    before, now = (
        {key: body for key, body in disks[name].items() if not is_history(key)} for disks in (GOLDEN, GOLDEN_HISTORY)
    )
    assert before == now
    history = {key for key in GOLDEN_HISTORY[name] if b"/history/" in key}
    assert history == {b"disk/distribution/history/%016d" % revision for revision in range(1, 5)}
    (newest,) = msgspec.msgpack.decode(GOLDEN[name][b"disk/distribution/fallback"]).items()
    assert GOLDEN_HISTORY[name][b"disk/" + newest[0].encode()] == newest[1]


def is_history(key):
    return b"/history/" in key or key.endswith(b"/fallback")


def comparable(found):
    """The fallback record is a map written in the order of a set, which differs from process to process."""
    return {
        name: {
            key: msgspec.msgpack.decode(body) if key.endswith(b"/fallback") else body for key, body in records.items()
        }
        for name, records in found.items()
    }


def test_a_coordinator_goes_on_from_a_recorded_store():
    files = MemoryFiles()
    golden_disk.write_records(files, GOLDEN["state"])
    here = test_state.StoredCoordinator(files, snapshot=test_state.EndpointSnapshot(0, (), {}))
    open_requests = here.writer.open_requests
    assert [(one.idempotency_key, one.state, one.attempts, one.engine) for one in open_requests] == [
        (f"{4:032x}", "out", 1, "e0")
    ]
    assert [entry.engine for entry in here.snapshot.entries] == ["e0", "e1"]
    assert here.snapshot.addresses == test_state.LIST.addresses
    assert here.snapshot.entries == test_state.LIST.entries
    totals = here.writer.totals()
    assert (totals.starts, totals.counts["served"], totals.counts["refused"]) == (2, 1, 1)
    here.submit_request(9, token=f"{2:032x}")
    here.run_iterations()
    again = next(one for one in here.request_records() if one.idempotency_key == f"{2:032x}")
    assert (again.state, again.client_requests, again.attempts) == ("out", 2, 2)


def test_every_recorded_request_is_read_to_its_fields():
    found = {
        one.idempotency_key: one
        for key, body in GOLDEN["state"].items()
        if key.startswith(records.REQUEST_KEY_PREFIX)
        for one in [records.decode_request(body)]
    }
    assert [found[f"{n:032x}"].state for n in range(1, 5)] == ["served", "refused", "left", "out"]
    assert all(one.cls == "depot-load" and one.tenant == "acme" and one.attempts == 1 for one in found.values())


def test_an_acceptor_goes_on_from_a_recorded_disk():
    cluster = test_fleet_register.RegisterCluster()
    cluster.crash("a")
    filled(cluster.disks["a"], GOLDEN["acceptor"])
    cluster.restart("a")
    state = cluster.acceptors["a"].state
    assert (state.local_name, state.voting, state.value) == ("a", True, b"one two ")
    assert not cluster.acceptors["a"].damage
    assert cluster.submit_and_wait("d", b"three").value == b"one two three "


def test_a_gateway_goes_on_from_a_recorded_rule_set():
    stand = rules_torture.RulesTestBed(1, gateways=3)
    stand.run(2 * SECOND)
    for name in ("g00", "g01", "g02"):
        stand.down(name)
    filled(stand.disks["g01"], GOLDEN["rules"])
    stand.again("g01")
    rule_set = stand.rules["g01"].tracker.rule_set
    assert [(one.number, one.kind, one.author, one.id) for one in rule_set.versions] == [
        (1, "edit", "ann", "1"),
        (2, "edit", "ann", "2"),
        (3, "undo", "ann", "3"),
        (4, "edit", "ann", "4"),
    ]
    assert rule_set.versions[3].trial.gateways == ("g00", "g01") and rule_set.versions[2].source_version == 1
    assert stand.rules["g01"].tracker.applied_version == 4
    assert not stand.rules["g01"].damage_report()


def test_a_voter_and_a_watcher_go_on_from_recorded_disks():
    stand = test_distribution_voter.VoterFleet()
    for name in ("v0", "v1", "v2", "c0", "c1"):
        stand.kill(name)
    for recorded, name in (("voter", "v0"), ("voter-1", "v1"), ("voter-2", "v2")):
        filled(stand.disks[name], GOLDEN[recorded])
    filled(stand.disks["c0"], GOLDEN["watcher"])
    for name in ("v0", "v1", "v2", "c0", "c1"):
        stand.restart(name)
    assert stand.processes["v0"].version == stand.processes["c0"].version == 4
    assert stand.processes["v0"].learner.log == "ab" * 8
    assert stand.content() == {"p": {"d": {"e": 1.5}}}
    assert not stand.processes["v0"].damage
    stand.edit("e5", 4, a=5)
    stand.wait(lambda: stand.all_at(5))


# Guards against history records of an earlier version that count as values in force or stay on the disk for ever.
def test_the_newest_change_of_a_recorded_voter_is_taken_back_as_history():
    stand = test_distribution_voter.VoterFleet()
    for name in ("v0", "v1", "v2", "c0", "c1"):
        stand.kill(name)
    for recorded_name, name in zip(VOTER_DISKS, ("v0", "v1", "v2"), strict=True):
        filled(stand.disks[name], GOLDEN[recorded_name])
        assert b"distribution/history/" in stand.disks[name].get("distribution/fallback")
    fleet = stand.net.nodes["v0"].fleet()
    voter = Voter(fleet, Identity(name="v0"), ("v0", "v1", "v2"), stand.disks["v0"], Limits())
    assert set(voter._rule_keys.applied) == set(voter.learner.values())
    stand.disks["v0"].crash()  # before it was stored: it is done again
    for name in ("v0", "v1", "v2"):
        stand.restart(name)
        assert stand.processes[name].history.oldest == 3 and not stand.processes[name].damage
    stand.net.time.run(SECOND)
    for name in ("v0", "v1", "v2"):
        synced = stand.disks[name]._synced
        assert msgspec.msgpack.decode(synced["distribution/fallback"]) == {}
        assert synced["distribution/history/0000000000000004"] == GOLDEN_HISTORY["voter"][NEWEST_CHANGE]
    assert stand.edit("e4", 3, "v2", d={"e": 1.5}) == 4
    assert stand.request_edit("v0", "u1", base_revision=4, kind="undo").revision == 5
    assert stand.content() == {"p": {"a": 1, "b": 2}}


NEWEST_CHANGE = b"disk/distribution/history/0000000000000004"


def change_record(revision, value):
    change = Change(revision, (Entry("rules/p/d/e", value, revision),), "e4", "ann", "r")
    return msgspec.msgpack.encode(HistoryRecord(change, {}))


@pytest.mark.parametrize(
    "key, body, damaged",
    [
        ("distribution/history/0000000000000004", b"\xc1", 1),
        ("distribution/history/0000000000000004", change_record(4, b"other"), 0),  # not what is held
        ("distribution/history/0000000000000004", change_record(3, encode_value(1.5)), 0),
        ("distribution/history/0000000000000005", change_record(5, encode_value(1.5)), 0),
        ("distribution/history/nonsense", b"", 0),
        ("distribution/history/0000000000000001", None, 0),
    ],
)
def test_misplaced_history_that_is_not_sound_is_dropped_alone(key, body, damaged):
    stand = test_distribution_voter.VoterFleet()
    stand.kill("v0")
    fallback = msgspec.msgpack.encode({key: body, "rules/p/a": b"1"})
    filled(stand.disks["v0"], GOLDEN["voter"] | {b"disk/distribution/fallback": fallback})
    stand.restart("v0")
    voter = stand.processes["v0"]
    assert voter.version == 4 and voter.history.oldest == 4 and stand.content() == {"p": {"d": {"e": 1.5}}}
    assert stand.net.nodes["v0"].counts["distribution_damaged"] == damaged
    stand.net.time.run(SECOND)
    assert msgspec.msgpack.decode(stand.disks["v0"]._synced["distribution/fallback"]) == {"rules/p/a": b"1"}
    assert not list(stand.disks["v0"].scan("distribution/history/"))


def test_a_recorded_incarnation_number_goes_on_and_is_stored_alike(tmp_path):
    shutil.copy(RECORDED / "boot", tmp_path / generations.FILE_NAME)
    assert generations.next_generation(str(tmp_path)) == 4_102_444_800_001
    (tmp_path / generations.FILE_NAME).unlink()  # a lower number than the stored one is not written
    generations.store_generation(str(tmp_path), 4_102_444_800_000)
    assert (tmp_path / generations.FILE_NAME).read_bytes() == (RECORDED / "boot").read_bytes()


def test_a_recorded_handover_file_is_read_and_written_alike():
    body = (RECORDED / handover_file.FILE_NAME).read_bytes()
    found = handover_file.decode(body)
    assert (set(found.ejected), set(found.known), found.restored_at) == golden_disk.HANDED_OVER
    assert handover_file.encode(*golden_disk.HANDED_OVER) == body
