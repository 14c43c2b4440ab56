"""What each part of the program stores, by a fixed course of events, and the script that recorded it.

`python tests/golden_disk.py` writes tests/golden/disk/ anew: for each scenario a directory as the embedded store writes
it, and its records as JSON; beside them the incarnation number and the file handed from process to process. It was
recorded at e2a4940 and is not meant to be written again: a newer program opens what that one wrote.

The voters of that recording hold their history of changes in the fallback record, a fault. What voters store since it
was mended stands in tests/golden/disk-history/, written by `python tests/golden_disk.py history`.
"""

import json
import shutil
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from unittest import mock

import test_distribution_voter
import test_fleet_register
import test_state
from harness import S

from rackhub.core.request import Query
from rackhub.fleet.rules.messages import EditRequest, Trial
from rackhub.ops import handover_file
from rackhub.store import Batch, Options, Store
from rackhub.store.memory_files import MemoryFiles
from rackhub.trials.fleet import rules_torture
from rackhub.trials.fleet.twin import SECOND

RECORDED = Path(__file__).parent / "golden" / "disk"
RECORDED_HISTORY = Path(__file__).parent / "golden" / "disk-history"
VOTER_DISKS = ("voter", "voter-1", "voter-2")
HANDED_OVER = {"e1"}, {"e0", "e1", "e2"}, {"e2": 1_700_000_000_000_000}  # ejected, known, restored
Records = dict[bytes, bytes]


def state_records() -> Records:
    """A coordinator's own store: keyed requests in each state, the list of engines, counters of a run."""
    here = test_state.StoredCoordinator()
    here.run_iterations()
    for number in range(1, 5):
        here.submit_request(number, token=f"{number:032x}")
        here.run_iterations()
    here.core.complete_attempt(here.port.sent[0], "GOOD", {}, (b"a\tb\tc\n",))
    here.core.complete_attempt(here.port.sent[1], "BAD")
    here.core.disconnect_client(here.core.queries[f"{3:016x}"])
    here.core.submit(Query("f" * 16, "lookup", b"x", here.clock.now() + 3 * S, here.port, tenant="acme"))
    here.run_iterations()
    here.writer.close()
    again = test_state.StoredCoordinator(here.files)
    found = {item.key: item.value for item in again.writer.store.scan(b"", b"\xff")}
    again.writer.close()
    return found


def register_records() -> Records:
    """An acceptor's disk after two changes, the second with one of the three away."""
    with mock.patch("secrets.randbits", return_value=1):
        cluster = test_fleet_register.RegisterCluster()
        assert cluster.submit_and_wait("d", b"one").kind == "done"
        cluster.crash("c")
        assert cluster.submit_and_wait("d", b"two").kind == "done"
        cluster.net.time.run(3 * SECOND)
    return synced(cluster.disks["a"])


def rules_records() -> Records:
    """A gateway that proposes and accepts: the rule set with two edits, an undo and a trial."""
    with mock.patch("secrets.randbits", return_value=1):
        stand = rules_torture.RulesTestBed(1, gateways=3)
        stand.run(3 * SECOND)
        for number, one in enumerate(
            (EDIT, EDIT | {"id": "2", "base_version": 1, "changes": {"shed": {"level": 2}}}, UNDO, TRIAL)
        ):
            done: list[object] = []
            stand.rules["g01"].changes.propose(EditRequest(**one), done.append)
            assert stand.run(5 * SECOND, lambda done=done: bool(done)), number
            stand.run(2 * SECOND)
        return synced(stand.disks["g01"])


EDIT = {
    "kind": "edit",
    "base_version": 0,
    "author": "ann",
    "reason": "less load",
    "id": "1",
    "created_at": 1_700_000_000,
    "gateway": "g00",
    "changes": {"shed": {"level": 1}},
}
UNDO = EDIT | {"kind": "undo", "id": "3", "base_version": 2, "changes": {}, "target_version": 1}
TRIAL = EDIT | {
    "id": "4",
    "base_version": 3,
    "changes": {"shed": {"level": 4}},
    "trial": Trial(3_600_000, ("g00", "g01")),
}


def distribution_records() -> dict[str, Records]:
    """The voters' and a watcher's disks after four edits, one of which deletes keys and one of which undoes."""
    with mock.patch("secrets.randbits", return_value=1), mock.patch("secrets.token_hex", return_value="ab" * 8):
        stand = test_distribution_voter.VoterFleet()
        stand.wait(lambda: stand.processes["v0"].status().expected == 2)
        stand.edit("e1", 0, a=1, b=2)
        stand.wait(lambda: stand.all_at(1))
        stand.edit("e2", 1, "v1", a=1, c=[1, "x", None])
        stand.wait(lambda: stand.all_at(2))
        stand.request_edit(kind="undo", id="e3", base_revision=2, target_revision=1)
        stand.wait(lambda: stand.all_at(3))
        stand.edit("e4", 3, "v2", d={"e": 1.5})
        stand.wait(lambda: stand.all_at(4))
        stand.net.time.run(5 * SECOND)
        names = {"voter": "v0", "voter-1": "v1", "voter-2": "v2", "watcher": "c0"}
        return {recorded: synced(stand.disks[name]) for recorded, name in names.items()}


def synced(disk: object) -> Records:
    """What a simulated disk holds after a power cut, by the keys of a real one."""
    return {b"disk/" + key.encode(): body for key, body in disk._synced.items()}


def all_records() -> dict[str, Records]:
    return {
        "state": state_records(),
        "acceptor": register_records(),
        "rules": rules_records(),
        **distribution_records(),
    }


def read_directory(path: Path) -> Records:
    """All records of a store's directory."""
    store = Store.open(path, Options(retain_revisions=16))
    try:
        return {item.key: bytes(item.value) for item in store.scan(b"", b"\xff")}
    finally:
        store.close()


def write_records(files: MemoryFiles, records: Mapping[bytes, bytes]) -> None:
    """A store on simulated files that holds these records."""
    _write(Store.open("memory", Options(retain_revisions=16), files=files), records)


def write_directory(path: Path, records: Mapping[bytes, bytes]) -> None:
    """The same in a directory."""
    _write(Store.open(path, Options(retain_revisions=16)), records)


def _write(store: Store, records: Mapping[bytes, bytes]) -> None:
    for key, value in records.items():
        batch = Batch()
        batch.put(key, value)
        store.commit(batch)
    store.close()


def as_text(records: Records) -> dict[str, str]:
    return {key.decode(): value.hex() for key, value in sorted(records.items())}


def record_disks(
    folder: Path, found: Mapping[str, Records], write: Callable[[Path, Records], None] = write_directory
) -> None:
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    for name, records in found.items():
        write(folder / name, records)
    (folder / "records.json").write_text(
        json.dumps({name: as_text(records) for name, records in found.items()}, indent=1) + "\n"
    )


def record(folder: Path, write: Callable[[Path, Records], None] = write_directory) -> None:
    record_disks(folder, all_records(), write)
    (folder / "boot").write_text("4102444800000\n")
    (folder / handover_file.FILE_NAME).write_bytes(handover_file.encode(*HANDED_OVER))


def record_history(folder: Path) -> None:
    """The voters' disks alone."""
    found = distribution_records()
    record_disks(folder, {name: found[name] for name in VOTER_DISKS})


if __name__ == "__main__":
    if sys.argv[1:] == ["history"]:
        record_history(RECORDED_HISTORY)
    else:
        record(RECORDED)
