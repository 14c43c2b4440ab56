"""A real process of the program with stand-ins around it: a resolver, engines and a client, each on plain sockets.

The stand-ins answer from threads of their own, so that a test may block on what it waits for. `Served` runs the
program with a `plant`: source text that runs in the process first, which is how a fault is put under it.
"""

import base64
import contextlib
import json
import os
import queue
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import NamedTuple

from test_config import endpoint, platform_config, watch_notice
from test_resolver import answer

PATIENCE = 60  # seconds that a test waits for what has to come about
READY, DRAINING = 0, 1
PROGRAM = """
import runpy, sys
{plant}
sys.argv = ["rackhub", "serve", "--config", {config!r}]
runpy.run_module("rackhub", run_name="__main__", alter_sys=False)
"""


def until(condition, what="it"):
    """Wait until the condition holds; that it never does is a failure."""
    end = time.monotonic() + PATIENCE
    while not (found := condition()):
        assert time.monotonic() < end, f"{what} did not come about"
        time.sleep(0.002)
    return found


class Answered(NamedTuple):
    """One answer of the resolver: when it was sent, to whom, and the number of the last event in it."""

    at: float
    sender: tuple
    rev: int


class ResolverStandIn:
    """Answers each question with the list that is set, after `delay` seconds; not at all while `silent`."""

    def __init__(self, *engines):
        self.rev, self.engines, self.silent, self.delay = 3, engines, False, 0.0
        self.questions: list[float] = []
        self.answered: list[Answered] = []
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def tell(self, rev, *engines):
        self.rev, self.engines = rev, engines

    def _serve(self):
        with contextlib.suppress(OSError):
            while True:
                packet, sender = self.socket.recvfrom(512)
                self.questions.append(time.monotonic())
                if not self.silent:
                    threading.Timer(self.delay, self._answer, (packet, sender)).start() if self.delay else self._answer(
                        packet, sender
                    )

    def _answer(self, packet, sender):
        rev, engines = self.rev, self.engines
        self.answered.append(Answered(time.monotonic(), sender, rev))
        with contextlib.suppress(OSError):
            self.socket.sendto(answer(int.from_bytes(packet[:2], "big"), rev, *engines), sender)

    def told(self, rev):
        """When an answer with that event was first sent."""
        return next((each.at for each in self.answered if each.rev >= rev), None)

    def close(self):
        self.socket.close()


class EngineStandIn:
    """An engine that serves each request at once with one row. Its records are in `wants`, by arrival."""

    ROW = b"a\tb\tc\n"

    def __init__(self, name, **options):
        self.name, self.wants, self.connections = name, queue.Queue(), []
        self.port = socket.socket()
        for option, value in options.items():
            self.port.setsockopt(socket.SOL_SOCKET, getattr(socket, option), value)
        self.port.bind(("127.0.0.1", 0))
        self.port.listen(128)
        self.place = self.port.getsockname()

    def start(self):
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def entry(self, priority=READY, started=0):
        """Its line in the resolver's answer."""
        return self.name, self.place[0], priority, started, self.place[1]

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.port.accept()
                self.connections.append(connection)
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError, ValueError), connection.makefile("rb") as stream:
            while words := read_command(stream):
                if words[0] == b"want":
                    self.wants.put((time.monotonic(), words))
                    self.answer(connection, words)

    def answer(self, connection, words):
        connection.sendall(frame(words[1], b"200", b"chunks=1", self.ROW))

    def close(self):
        self.port.close()
        for connection in self.connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            connection.close()


def frame(*words):
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def read_command(stream):
    """The words of one command; empty at the end of the stream."""
    head = stream.readline()
    if not head.endswith(b"\r\n"):
        return []
    words = []
    for _ in range(int(head[1:])):
        size = int(stream.readline()[1:])
        words.append(stream.read(size + 2)[:-2])
    return words


class Client:
    """A client's connection; `answers` holds what came, by id."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port), PATIENCE)
        self.answers: dict[int, list[dict]] = {}
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        with contextlib.suppress(OSError, ValueError), self.socket.makefile("rb") as stream:
            for line in stream:
                said = json.loads(line)
                self.answers.setdefault(said["id"], []).append(said)

    def send(self, *messages):
        self.socket.sendall(b"".join(json.dumps(each).encode() + b"\n" for each in messages))

    def close(self):
        self.socket.close()


def request(number, statement=b"SELECT 1 FROM r_3.t", method="lookup", budget=20_000, **params):
    body = base64.b64encode(statement).decode()
    params = {"rid": f"{number:016x}", "budget": budget, "acct": "acme", "body": body} | params
    return {"jsonrpc": "2.0", "id": number, "method": method, "params": params}


class Served:
    """A process of the program that serves, and its log."""

    def __init__(self, place: Path, resolver, *engines, plant="", level="debug", **more):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        entries = [endpoint(each.name) | {"address": "{}:{}".format(*each.place)} for each in engines]
        self.file, self.told = place / "c.json", {"nameserver": resolver.address} | more
        self.told |= {"listen": f"127.0.0.1:{self.port}", "known": {"rev": 3, "notices": [watch_notice(3, *entries)]}}
        self.file.write_text(json.dumps(platform_config(**self.told)))
        self.log = place / "log"
        with open(self.log, "wb") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-c", PROGRAM.format(plant=plant, config=str(self.file))],
                stderr=log,
                cwd=Path(__file__).parent.parent,
                env=os.environ | {"TMPDIR": str(place), "RACKHUB_LOG_LEVEL": level},
            )
        until(lambda: "serves on" in self.said() or self.child.poll() is not None, "a process that serves")
        assert self.child.poll() is None, self.said()

    def said(self):
        return self.log.read_text(errors="replace")

    def lines(self, *parts):
        """The lines of its log in which all of these stand."""
        return [line for line in self.said().splitlines() if all(part in line for part in parts)]

    def client(self):
        return Client(self.port)

    def end(self):
        """Told to end; its exit status."""
        self.child.send_signal(signal.SIGTERM)
        return self.child.wait(PATIENCE)

    def close(self):
        self.child.kill()
        self.child.wait()
