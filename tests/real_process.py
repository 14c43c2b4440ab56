"""A real process of the program with stand-ins for the resolver, engines and clients on plain sockets.

The stand-ins answer from their own threads, so that a test may block while it waits. `Served` runs the program after a
`prelude`, source text with which a test injects faults into the process.
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

from ports import hold_port
from test_config import endpoint, platform_config, watch_notice
from test_resolver import answer

TIMEOUT_S = 60  # time that a test waits for an expected event
READY, DRAINING = 0, 1
PROGRAM = """
import runpy, sys
{prelude}
sys.argv = ["rackhub", "serve", "--config", {config!r}]
runpy.run_module("rackhub", run_name="__main__", alter_sys=False)
"""


def until(condition, what="the condition"):
    """Wait until the condition holds and return its value; fail after `TIMEOUT_S`."""
    end = time.monotonic() + TIMEOUT_S
    while not (found := condition()):
        assert time.monotonic() < end, f"{what}: not seen in time"
        time.sleep(0.002)
    return found


class Answered(NamedTuple):
    """One answer of the resolver: time of sending, recipient, and revision of the endpoint list in it."""

    at: float
    sender: tuple
    rev: int


class ResolverStandIn:
    """Answers each poll with the current endpoint list after `delay` seconds; not at all while `silent`."""

    def __init__(self, *engines):
        self.rev, self.engines, self.silent, self.delay = 3, engines, False, 0.0
        self.polled_at: list[float] = []
        self.answered: list[Answered] = []
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def set_list(self, rev, *engines):
        self.rev, self.engines = rev, engines

    def _serve(self):
        with contextlib.suppress(OSError):
            while True:
                packet, sender = self.socket.recvfrom(512)
                self.polled_at.append(time.monotonic())
                if not self.silent:
                    threading.Timer(self.delay, self._answer, (packet, sender)).start() if self.delay else self._answer(
                        packet, sender
                    )

    def _answer(self, packet, sender):
        rev, engines = self.rev, self.engines
        self.answered.append(Answered(time.monotonic(), sender, rev))
        with contextlib.suppress(OSError):
            self.socket.sendto(answer(int.from_bytes(packet[:2], "big"), rev, *engines), sender)

    def first_answered_at(self, rev):
        """Return when an answer with this or a later revision was first sent, or None."""
        return next((each.at for each in self.answered if each.rev >= rev), None)

    def close(self):
        self.socket.close()


class EngineStandIn:
    """An engine that answers each request at once with one row. `wants` has the requests by time of arrival."""

    ROW = b"a\tb\tc\n"

    def __init__(self, name, **options):
        self.name, self.wants, self.connections = name, queue.Queue(), []
        self.port = socket.socket()
        for option, value in options.items():
            self.port.setsockopt(socket.SOL_SOCKET, getattr(socket, option), value)
        self.port.bind(("127.0.0.1", 0))
        self.port.listen(128)
        self.socket_address = self.port.getsockname()

    def start(self):
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def entry(self, priority=READY, started=0):
        """Return the engine's entry in the resolver's answer."""
        return self.name, self.socket_address[0], priority, started, self.socket_address[1]

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
    """Return the words of one command; empty at the end of the stream."""
    head = stream.readline()
    if not head.endswith(b"\r\n"):
        return []
    words = []
    for _ in range(int(head[1:])):
        size = int(stream.readline()[1:])
        words.append(stream.read(size + 2)[:-2])
    return words


class Client:
    """A client's connection; `answers` has the received answers by request id."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port), TIMEOUT_S)
        self.answers: dict[int, list[dict]] = {}
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        with contextlib.suppress(OSError, ValueError), self.socket.makefile("rb") as stream:
            for line in stream:
                answer = json.loads(line)
                self.answers.setdefault(answer["id"], []).append(answer)

    def send(self, *messages):
        self.socket.sendall(b"".join(json.dumps(each).encode() + b"\n" for each in messages))

    def close(self):
        self.socket.close()


def request(number, statement=b"SELECT 1 FROM r_3.t", method="lookup", budget=20_000, **params):
    body = base64.b64encode(statement).decode()
    params = {"rid": f"{number:016x}", "budget": budget, "acct": "acme", "body": body} | params
    return {"jsonrpc": "2.0", "id": number, "method": method, "params": params}


class Served:
    """A running process of the program, and its log."""

    def __init__(self, directory: Path, resolver, *engines, prelude="", level="debug", **more):
        self.port = hold_port()
        entries = [endpoint(each.name) | {"address": "{}:{}".format(*each.socket_address)} for each in engines]
        self.file, self.config_fields = directory / "c.json", {"nameserver": resolver.address} | more
        self.config_fields |= {
            "listen": f"127.0.0.1:{self.port}",
            "known": {"rev": 3, "notices": [watch_notice(3, *entries)]},
        }
        self.file.write_text(json.dumps(platform_config(**self.config_fields)))
        self.log = directory / "log"
        with open(self.log, "wb") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-c", PROGRAM.format(prelude=prelude, config=str(self.file))],
                stderr=log,
                cwd=Path(__file__).parent.parent,
                env=os.environ | {"TMPDIR": str(directory), "RACKHUB_LOG_LEVEL": level},
            )
        until(lambda: "serves on" in self.log_text() or self.child.poll() is not None, "a process that serves")
        assert self.child.poll() is None, self.log_text()

    def log_text(self):
        return self.log.read_text(errors="replace")

    def lines(self, *parts):
        """Return the lines of the log that contain all `parts`."""
        return [line for line in self.log_text().splitlines() if all(part in line for part in parts)]

    def client(self):
        return Client(self.port)

    def end(self):
        """Send SIGTERM; return the exit status."""
        self.child.send_signal(signal.SIGTERM)
        return self.child.wait(TIMEOUT_S)

    def close(self):
        self.child.kill()
        self.child.wait()
