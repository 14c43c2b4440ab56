"""What an earlier version stored is opened and read, work goes on from it, and new records have the same bytes."""

import json
import shutil

import golden_disk
import msgspec
import pytest
import test_distribution_voter
import test_fleet_register
import test_state
from golden_disk import RECORDED
from twisted.internet import reactor

from rackhub.fleet.members import boots
from rackhub.fleet.register.disk import MemoryDisk, StoreDisk
from rackhub.ops import handover_file
from rackhub.state import records
from rackhub.store.faulty import MemoryFiles
from rackhub.trials.fleet import rules_torture
from rackhub.trials.fleet.twin import SECOND

GOLDEN = {
    name: {key.encode(): bytes.fromhex(body) for key, body in records.items()}
    for name, records in json.loads((RECORDED / "records.json").read_text()).items()
}


def filled(disk: MemoryDisk, records: golden_disk.Records) -> MemoryDisk:
    """The simulated disk with what a real one holds."""
    disk._synced = {key.decode().removeprefix("disk/"): body for key, body in records.items()}
    disk._written = dict(disk._synced)
    return disk


@pytest.mark.parametrize("name", GOLDEN)
def test_a_recorded_directory_is_opened_and_every_record_is_the_same(name, tmp_path):
    folder = shutil.copytree(RECORDED / name, tmp_path / name)
    assert golden_disk.read_directory(folder) == GOLDEN[name]
    assert golden_disk.read_directory(folder) == GOLDEN[name], "also when it was opened once before"


@pytest.mark.parametrize("name", ["acceptor", "rules", "voter", "voter-1", "voter-2", "watcher"])
def test_a_recorded_directory_is_a_disk_of_the_fleet(name, tmp_path):
    disk = StoreDisk(reactor, shutil.copytree(RECORDED / name, tmp_path / name))
    try:
        assert not disk.damage
        assert {b"disk/" + key.encode(): body for key, body in disk.scan("")} | {
            b"disk/identity": disk.identity.encode()
        } == GOLDEN[name] | {b"disk/identity": disk.identity.encode()}
    finally:
        disk.end()


def test_the_same_course_of_events_stores_the_same_bytes():
    assert comparable(golden_disk.all_records()) == comparable(GOLDEN)


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
    here = test_state.StoredCoordinator(files, listing=test_state.EndpointSnapshot(0, (), {}))
    left_open = here.writer.left_open
    assert [(one.idempotency_key, one.state, one.attempts, one.engine) for one in left_open] == [
        (f"{4:032x}", "out", 1, "e0")
    ]
    assert [entry.engine for entry in here.listing.entries] == ["e0", "e1"]
    assert here.listing.addresses == test_state.LIST.addresses
    assert here.listing.entries == test_state.LIST.entries
    totals = here.writer.totals()
    assert (totals.starts, totals.counts["served"], totals.counts["refused"]) == (2, 1, 1)
    here.ask(9, token=f"{2:032x}")
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
    stand = rules_torture.Stand(1, gateways=3)
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
    stand = test_distribution_voter.Stand()
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
    stand.wait(lambda: stand.everywhere(5))


def test_a_recorded_incarnation_number_goes_on_and_is_stored_alike(tmp_path):
    shutil.copy(RECORDED / "boot", tmp_path / boots.FILE)
    assert boots.first(str(tmp_path)) == 4_102_444_800_001
    boots.keep(str(tmp_path), 4_102_444_800_000)
    assert (tmp_path / boots.FILE).read_bytes() == (RECORDED / "boot").read_bytes()


def test_a_recorded_handover_file_is_read_and_written_alike():
    body = (RECORDED / handover_file.FILE_NAME).read_bytes()
    found = handover_file.decode(body)
    assert (set(found.ejected), set(found.known), found.restored_at) == golden_disk.HANDED_OVER
    assert handover_file.encode(*golden_disk.HANDED_OVER) == body
