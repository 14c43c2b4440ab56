"""Two processes of one coordinator share the manual ejections, whatever the order of the calls to them.

During a replacement, engines that were taken out with a yes went on getting requests: each process read the file of the
bans whole and wrote it whole, and the last writer took back the bans of the other.
"""

import errno
import fcntl
import os
import random

import pytest

from rackhub import interface
from rackhub.counters import Counters
from rackhub.ops import handover_file
from rackhub.ops.commands import CommandHandler
from rackhub.ops.shared_ejections import LOCK_SUFFIX, NotSavedError, SharedEjections

ENGINES = [f"e{number}" for number in range(6)]
ENTRIES = tuple(interface.EngineEntry(name) for name in ENGINES)


@pytest.fixture
def path(tmp_path):
    return handover_file.file_path({"TMPDIR": str(tmp_path)})


def process(path, counters=None):
    """Return the ejections of one process, which has read the endpoint list."""
    ejections = SharedEjections(path, (counters or Counters()).add)
    ejections.add_known(ENTRIES)
    return ejections


def handler_of(ejections, published=None):
    on_change = (lambda: None) if published is None else lambda: published.append(set(ejections.current.ejected))
    return CommandHandler(ejections, lambda: True, on_change, lambda: b"", lambda: 7)


def stored(path):
    return set(handover_file.read(path).ejected)


# Guards against a writer that undoes what the other has written since this one has read.
@pytest.mark.parametrize("seed", range(20))
def test_changes_at_two_processes_are_merged_in_any_order(path, seed):
    draws = random.Random(seed)
    processes, expected = [process(path), process(path)], set()
    for now in range(1, 200):
        each, engine = draws.choice(processes), draws.choice(ENGINES)
        step = draws.choice(["eject", "restore", "list", "refresh", "replace"])
        if step == "eject":
            assert each.eject(engine)
            expected.add(engine)
        elif step == "restore":
            assert each.restore(engine, now)
            expected.discard(engine)
        elif step == "list":
            each.add_known([*ENTRIES, interface.EngineEntry(f"new-{now}")])
        elif step == "refresh":
            each.refresh()
        else:
            processes[processes.index(each)] = process(path)
        assert stored(path) == expected
    for each in processes:
        each.refresh()
        assert each.current.ejected == expected
    assert processes[0].current.restored_at == processes[1].current.restored_at
    assert processes[0].current.known == processes[1].current.known


def fail_writes(monkeypatch, error):
    def write(*_):
        raise OSError(error, os.strerror(error))

    monkeypatch.setattr(handover_file, "write", write)


# Guards against a yes to a change that a replacement would not know of.
@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_a_change_that_cannot_be_saved_gets_a_no_and_is_saved_later(path, monkeypatch, error):
    counters, published = Counters(), []
    ejections = process(path, counters)
    assert ejections.eject("e5")
    handler = handler_of(ejections, published)
    with monkeypatch.context() as failing:
        fail_writes(failing, error)
        answer = handler.execute(b"OFFLINE e0")
        assert answer.startswith(b"NO e0: can't be saved, call again") and counters["ops_state_unwritten"] == 1
        assert published == [{"e0", "e5"}]  # nothing new goes there all the same
        assert handler.execute(b"ONLINE e5").startswith(b"NO e5") and ejections.current.ejected == {"e0", "e5"}
        ejections.refresh()
        assert stored(path) == {"e5"}
    ejections.refresh()
    assert stored(path) == {"e0", "e5"}
    assert handler.execute(b"OFFLINE e0") == b"YES e0 out\n"


def test_an_ejection_that_could_not_be_saved_is_merged_with_what_the_other_process_saved(path, monkeypatch):
    first, second = process(path), process(path)
    with monkeypatch.context() as failing:
        fail_writes(failing, errno.ENOSPC)
        with pytest.raises(NotSavedError):
            first.eject("e0")
    assert second.eject("e1")
    first.refresh()
    second.refresh()
    assert first.current.ejected == second.current.ejected == stored(path) == {"e0", "e1"}


def test_the_answer_comes_after_the_record(path, monkeypatch):
    ejections, order = process(path), []
    write = handover_file.write

    def recorded_write(*arguments):
        write(*arguments)
        order.append("saved")

    monkeypatch.setattr(handover_file, "write", recorded_write)
    handler = CommandHandler(ejections, lambda: True, lambda: order.append("published"), lambda: b"", lambda: 7)
    assert handler.execute(b"OFFLINE e0") == b"YES e0 out\n" and stored(path) == {"e0"}
    assert handler.execute(b"ONLINE e0") == b"YES e0 back\n" and stored(path) == set()
    assert order == ["saved", "published"] * 2


# Guards against a process that waits for ever for another one, which was stopped while it held the lock.
def test_a_lock_that_the_other_process_keeps_gives_a_no(path):
    ejections = process(path)
    descriptor = os.open(f"{path}{LOCK_SUFFIX}", os.O_RDWR)
    fcntl.flock(descriptor, fcntl.LOCK_EX)
    assert handler_of(ejections).execute(b"OFFLINE e0").startswith(b"NO")
    assert stored(path) == set()
    os.close(descriptor)
    ejections.refresh()
    assert stored(path) == {"e0"}


# Guards against an overwritten file that could not be read for a moment: the other process's bans would be lost.
def test_nothing_is_written_over_a_file_that_cannot_be_read(path, monkeypatch):
    first, second = process(path), process(path)
    assert second.eject("e1")
    with monkeypatch.context() as failing:

        def read(_):
            raise OSError(errno.EIO, "EIO")

        failing.setattr(handover_file, "read", read)
        with pytest.raises(NotSavedError):
            first.eject("e0")
    first.refresh()
    assert stored(path) == first.current.ejected == {"e0", "e1"}
