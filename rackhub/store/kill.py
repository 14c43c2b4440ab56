"""A stress test that kills a store's process under load again and again, and looks for all acknowledged writes.

The child process serves lines on a loopback TCP port: `KEY VALUE` is committed, and answered with its revision once it
is acknowledged, by a store that is driven by a reactor as in the coordinator. The parent keeps many requests open on
several connections, kills the child after a random number of answers, opens the store itself and checks that every
acknowledged write has its revision and that nothing is stored that was not sent.
"""

import random
import selectors
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from rackhub.store.engine import Store
from rackhub.store.options import Options

CONNECTIONS, OPEN_REQUESTS = 4, 16  # open requests are counted per connection
KEYS = 500
OPTIONS = Options(contract="group", memtable_bytes=64 * 1_024, block_bytes=1_024, runs=3, retain_revisions=2_000)
ANSWER_TIMEOUT_S = 60  # seconds without an answer after which the test fails: the child hangs


class KillResults(msgspec.Struct):
    """The results of all kills. `found_unsent`, `lost` and `changed` must stay 0."""

    kills: int = 0
    sent: int = 0
    acknowledged: int = 0
    in_doubt_kept: int = 0  # unacknowledged writes that survived
    torn: int = 0  # openings that truncated a torn tail
    lost: int = 0
    changed: int = 0
    found_unsent: int = 0
    violations: list[str] = []


def serve(path: str) -> None:
    """Run the child process: print the port, then serve until killed."""
    from twisted.internet import reactor as installed
    from twisted.internet.protocol import Factory
    from twisted.protocols.basic import LineOnlyReceiver

    from rackhub.store.batch import Batch
    from rackhub.store.driver import Driver

    reactor: Any = installed
    driver = Driver(reactor)
    store = Store.open(path, OPTIONS, wake=driver.wake)
    driver.start(store)

    class Lines(LineOnlyReceiver):
        """A connection of the parent."""

        delimiter = b"\n"

        def lineReceived(self, line: bytes) -> None:
            """Commit a line."""
            key, _, value = line.partition(b" ")
            made = store.commit(
                Batch().put(key, value), acknowledged=lambda error: self.send_answer(error, made.revision)
            )

        def send_answer(self, error: Exception | None, revision: int) -> None:
            """Answer with the revision."""
            self.sendLine(b"%d" % revision if error is None else b"error")

    port = reactor.listenTCP(0, Factory.forProtocol(Lines), interface="127.0.0.1")
    print(port.getHost().port, flush=True)
    reactor.run()


class _Client:
    """A connection to the child; `open` lists its open requests, oldest first."""

    def __init__(self, port: int):
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.settimeout(ANSWER_TIMEOUT_S)
        self.open: list[tuple[bytes, bytes]] = []
        self._rest = b""

    def send(self, key: bytes, value: bytes) -> None:
        """Send a request."""
        self.socket.sendall(key + b" " + value + b"\n")
        self.open.append((key, value))

    def answers(self) -> list[tuple[int, bytes, bytes]]:
        """Receive answers, as (revision, key, value). Raises `ConnectionError` if the child has exited."""
        data = self.socket.recv(65_536)
        if not data:
            raise ConnectionError("the child process exited before it was killed")
        *lines, self._rest = (self._rest + data).split(b"\n")
        return [(int(line), *self.open.pop(0)) for line in lines]


def run(path: Path, kills: int, seed: int, progress: Callable[[int, int], None] = lambda done, of: None) -> KillResults:
    """Kill a child `kills` times with one store directory, which must not exist yet."""
    random_source, results = random.Random(seed), KillResults()
    acknowledged: dict[int, tuple[bytes, bytes]] = {}
    sent: set[tuple[bytes, bytes]] = set()
    for cycle in range(kills):
        _run_and_kill(path, random_source, cycle, acknowledged, sent)
        results.kills += 1
        _check_store(path, acknowledged, sent, results)
        progress(cycle + 1, kills)
    results.sent, results.acknowledged = len(sent), len(acknowledged)
    return results


def _run_and_kill(
    path: Path,
    random_source: random.Random,
    cycle: int,
    acknowledged: dict[int, tuple[bytes, bytes]],
    sent: set[tuple[bytes, bytes]],
) -> None:
    """Start a child, send requests, kill it after a random number of answers, and record what it acknowledged."""
    child = subprocess.Popen([sys.executable, "-m", "rackhub.store.kill", str(path)], stdout=subprocess.PIPE)
    clients: list[_Client] = []
    try:
        assert child.stdout is not None
        port = int(child.stdout.readline())
        clients = [_Client(port) for _ in range(CONNECTIONS)]
        write_count, answers_left = 0, random_source.randrange(1, 1_500)
        with selectors.DefaultSelector() as selector:
            for client in clients:
                selector.register(client.socket, selectors.EVENT_READ, client)
            while answers_left > 0:
                for client in clients:
                    while len(client.open) < OPEN_REQUESTS:
                        write_count += 1
                        key = b"key-%04d" % random_source.randrange(KEYS)
                        value = b"%d.%d." % (cycle, write_count) + b"x" * random_source.randrange(300)
                        sent.add((key, value))
                        client.send(key, value)
                ready = selector.select(ANSWER_TIMEOUT_S)
                if not ready:
                    raise TimeoutError(f"no answer from the child process within {ANSWER_TIMEOUT_S} s")
                for which, _ in ready:
                    for revision, key, value in which.data.answers():
                        acknowledged[revision] = (key, value)
                        answers_left -= 1
        child.send_signal(signal.SIGKILL)
        for client in clients:  # answers that were sent before the kill and are still unread count too
            try:
                while True:
                    for revision, key, value in client.answers():
                        acknowledged[revision] = (key, value)
            except OSError:
                pass
    finally:
        child.kill()
        child.wait()
        for client in clients:
            client.socket.close()
        if child.stdout is not None:
            child.stdout.close()


def _check_store(
    path: Path, acknowledged: dict[int, tuple[bytes, bytes]], sent: set[tuple[bytes, bytes]], results: KillResults
) -> None:
    """Open the store and compare it with what was acknowledged and sent."""
    with Store.open(path, OPTIONS) as store:
        results.torn += store.recovered.torn_bytes > 0
        stored = (
            {
                change.revision: (change.key, change.now.value if change.now else b"")
                for change in store.changes(store.compacted + 1)
            }
            if store.compacted < store.revision
            else {}
        )
        for revision, write in stored.items():
            if write not in sent:
                results.found_unsent += 1
                results.violations.append(
                    f"kill {results.kills}: revision {revision} contains a write that was never sent"
                )
        results.in_doubt_kept += len(stored.keys() - acknowledged.keys())
        newest: dict[bytes, tuple[int, bytes]] = {}
        for revision, (key, value) in acknowledged.items():
            if revision > store.compacted and stored.get(revision) != (key, value):
                results.lost += revision not in stored
                results.changed += revision in stored
                results.violations.append(
                    f"kill {results.kills}: acknowledged revision {revision} is missing or changed"
                )
            if key not in newest or newest[key][0] < revision:
                newest[key] = (revision, value)
        for key, (revision, value) in newest.items():
            found = store.get(key)
            if (
                found is None
                or found.mod_revision < revision
                or found.mod_revision == revision
                and found.value != value
            ):
                results.lost += 1
                results.violations.append(f"kill {results.kills}: key {key!r} is older than its acknowledged version")
    del results.violations[100:]


if __name__ == "__main__":
    serve(sys.argv[1])
