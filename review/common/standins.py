"""Stand-ins on loopback for what surrounds a coordinator: the platform, the resolver, engines and clients.

They speak the protocols of the users' pages and use nothing but the standard library. Times are seconds of the Unix
clock, by which the users' rules are judged.
"""

import asyncio
import base64
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
MS, SECOND = 1_000, 1_000_000  # microseconds
SERVICE = b"_app._tcp.cluster.lan"
READY_WITHIN = 30.0  # seconds that a coordinator may take until it is ready (users' page on the whole fleet)


class CannotRunError(Exception):
    """The case could not run: the environment, not the rule, is at fault."""


class Record:
    """The file `record.txt`: one line for each thing sent, answered or run."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._started = time.time()
        self.line(f"start: Unix time {self._started:.3f}; the first column is seconds from here")

    def line(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{time.time() - self._started:9.4f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


# ---- settings


def request_class(name: str, effect: str, deadline: int, **more: Any) -> dict[str, Any]:
    """Return the settings of one class as the users' page on the wire words them; `deadline` in microseconds."""
    return {
        "Name": name,
        "Effect": effect,
        "Deadline": deadline,
        "Objective": 600 * MS,
        "AimStretch": 1.5,
        "Worth": 1.0,
        "LateShare": 0.0,
        "Streamed": False,
        "DedupScope": "all",
        "Window": 25 * SECOND if effect == "dedup" else 5 * SECOND,
        **more,
    }


SITE_CLASSES = [
    request_class("lookup", "retryable", 3 * SECOND),
    request_class("report", "retryable", 20 * SECOND, Objective=3 * SECOND, AimStretch=2.5, Worth=7.5),
    request_class("depot-load", "dedup", 25 * SECOND, Objective=3 * SECOND, AimStretch=2.5, Worth=10.0),
]
TENANT = "nyarugenge-bikes"


def settings(classes: list[dict[str, Any]] | None = None, **sections: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of a small deployment like the first site's; `sections` replace single keys of a section."""
    chosen = classes if classes is not None else SITE_CLASSES
    tree: dict[str, Any] = {
        "Azs": ["kacyiru-room"],
        "Zone": "kacyiru-room",
        "Instances": 3,
        "Me": 0,
        "Period": 5 * MS,
        "Discovery": "push",
        "HostTypes": ["std-8", "std-16"],
        "Family": "queries",
        "FamilyInfo": {
            "Dop": [1, 3, 2][: len(chosen)],
            "HoldsTables": [False, False, True][: len(chosen)],
            "BlockedByLoads": [True, False, False][: len(chosen)],
            "KindCores": [8, 16],
            "RamOfKindMb": [16384.0, 32768.0],
            "Grants": False,
            "RanksHeeded": True,
            "NotePeriod": SECOND,
            "MemoryShort": "overcommit",
            "MostGrant": 0.4,
            "Bills": False,
        },
        "Permissions": {
            "Cancel": True,
            "ConnIdle": 30 * SECOND,
            "DialTimeout": 250 * MS,
            "MaxAttempts": 3,
            "MaxRetryAfter": 500 * MS,
            "Multiplex": 100,
            "Peers": False,
            "Probes": False,
            "RetryAfter": True,
            "SecondCopies": False,
        },
        "Obligations": {
            "AnswerSlack": 20 * MS,
            "AskEvery": 10 * SECOND,
            "ColdFrom": 0.32,
            "RampTime": 13 * SECOND,
            "Fall": 3 * SECOND,
            "FallMultiple": 2.0,
            "StopSendingWithin": SECOND,
        },
        "Report": {"Source": "piggyback", "Columns": ["pending", "busy_reqs"]},
        "Services": chosen,
        "Tenants": [
            {"Name": TENANT, "Fraction": 0.81, "AllowancePerS": 58.0},
            {"Name": "huye-cycle", "Fraction": 0.19, "AllowancePerS": 14.0},
        ],
        "OverShareWorth": 0.05,
        "Weights": "silent",
        "ValueBy": "request",
        "Tier": 0,
        "Tiers": ["query-fleet"],
    }
    for name, changes in sections.items():
        tree[name] = {**tree[name], **changes}
    return tree


# ---- the resolver


def _name(text: bytes) -> bytes:
    return b"".join(bytes([len(label)]) + label for label in text.split(b".")) + b"\0"


def _dns_record(name: bytes, kind: int, data: bytes) -> bytes:
    return _name(name) + struct.pack(">HHIH", kind, 1, 0, len(data)) + data


class Resolver(asyncio.DatagramProtocol):
    """Answers the SRV query with the list of `engines`. While `losing` is set, its answers are lost on the way."""

    def __init__(self, record: Record):
        self.record = record
        self.engines: list[Engine] = []
        self.revision = 1
        self.losing = False
        self.sent_at: dict[int, float] = {}  # revision -> time at which an answer with it was first sent
        self.port = 0
        self._transport: Any = None

    async def start(self) -> None:
        """Bind a free port of 127.0.0.1."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.port = self._transport.get_extra_info("sockname")[1]

    def close(self) -> None:
        """Stop answering."""
        self._transport.close()

    def changed(self, what: str) -> None:
        """Begin a new revision of the list."""
        self.revision += 1
        self.record.line(f"list: revision {self.revision}: {what}")

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Answer a query (asyncio)."""
        if len(data) < 12:
            return
        answer = self._answer(data)
        if self.revision not in self.sent_at:
            self.sent_at[self.revision] = time.time()
            self.record.line(f"resolver: first answer with revision {self.revision}, lost: {self.losing}")
        if not self.losing:
            self._transport.sendto(answer, addr)

    def _answer(self, query: bytes) -> bytes:
        listed = [engine for engine in self.engines if engine.status != "gone"]
        answers, additional = b"", b""
        for engine in listed:
            host = f"{engine.name}.{engine.zone}.hosts".encode()
            priority = 0 if engine.status == "ready" else 1
            answers += _dns_record(SERVICE, 33, struct.pack(">HHH", priority, 10, engine.port) + _name(host))
            additional += _dns_record(host, 1, socket.inet_aton("127.0.0.1"))
            texts = (f"kind={engine.kind}", f"cell={engine.cell}", f"started={engine.since_ms}")
            additional += _dns_record(host, 16, b"".join(bytes([len(text)]) + text.encode() for text in texts))
        times = struct.pack(">IIIII", self.revision, 0, 0, 0, 0)
        authority = _dns_record(b"cluster.lan", 6, _name(b"ns.cluster.lan") + _name(b"admin.cluster.lan") + times)
        header = query[:2] + struct.pack(">HHHHH", 0x8400, 1, len(listed), 1, 2 * len(listed))
        question = _name(SERVICE) + struct.pack(">HH", 33, 1)
        return header + question + answers + authority + additional

    def known(self) -> dict[str, Any]:
        """Return the present list as the platform writes it under `known`."""
        endpoints = [
            {
                "name": engine.name,
                "address": f"127.0.0.1:{engine.port}",
                "zone": engine.zone,
                "type": engine.kind,
                "group": engine.cell,
                "status": engine.status,
                "weight": 1,
                "since_ms": engine.since_ms,
            }
            for engine in self.engines
            if engine.status != "gone"
        ]
        pool = {"index": 0, "snapshot": True, "endpoints": endpoints}
        return {"rev": self.revision, "notices": [{"rev": self.revision, "pool": pool}]}


# ---- engines


def resp(*words: bytes) -> bytes:
    """Encode one array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class Attempt:
    """One request as an engine got it. `ended` is the time of its end there, 0 while it runs."""

    def __init__(self, engine: "Engine", writer: asyncio.StreamWriter, words: list[bytes]):
        self.engine = engine
        self.writer = writer
        self.id = words[1].decode()
        self.fields = dict(part.split("=", 1) for part in words[2].decode().split(",")) if words[2] != b"-" else {}
        self.statement = words[3]
        self.came = time.time()
        self.ended = 0.0
        self.how = ""
        self.pages: list[bytes] = []

    def say(self, word: bytes, fields: bytes = b"-", body: bytes = b"") -> None:
        """Write an answer under the request's id."""
        if not self.writer.is_closing():
            self.writer.write(resp(self.id.encode(), word, fields, body))

    def end(self, how: str) -> None:
        """Note the end at the engine, once."""
        if not self.ended:
            self.ended, self.how = time.time(), how
            self.engine.record.line(f"{self.engine.name}: end of {self.id}: {how}")


Serve = Callable[[Attempt], Any]


class Engine:
    """One engine over RESP. `serve(attempt)` is a coroutine function that answers; the default serves after 20 ms."""

    def __init__(self, record: Record, name: str, serve: Serve | None = None, kind: str = "std-8"):
        self.record = record
        self.name, self.zone, self.kind, self.cell = name, "kacyiru-room", kind, 0
        self.status = "ready"
        self.since_ms = 0
        self.port = 0
        self.attempts: list[Attempt] = []
        self.unknown: list[list[bytes]] = []  # commands that the protocol page does not have
        self.serve: Serve = serve or self.serve_at_once
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Listen on 127.0.0.1, on the port of the last start if there was one."""
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", self.port, reuse_address=True)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """End as a process that dies: refuse new connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        for attempt in self.attempts:
            attempt.end("the engine ended")

    def open_attempt(self, id: str) -> Attempt | None:
        """Return the running attempt of a request, or None."""
        return next((each for each in reversed(self.attempts) if each.id == id and not each.ended), None)

    @staticmethod
    def rows(attempt: Attempt) -> bytes:
        """Return the result of a statement: one row that names the request."""
        return f"{attempt.engine.name}\t{attempt.id}\t{len(attempt.statement)}\n".encode()

    async def serve_at_once(self, attempt: Attempt) -> None:
        """Serve after 20 ms."""
        await asyncio.sleep(0.02)
        self.answer(attempt)

    def answer(self, attempt: Attempt) -> None:
        """Answer with the result in one page, unless the attempt has ended."""
        if not attempt.ended:
            attempt.say(b"200", b"chunks=1,report=inflight:1;queue:0", self.rows(attempt))
            attempt.end("served")

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while words := await self._command(reader):
                self._heard(writer, words)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            for attempt in self.attempts:
                if attempt.writer is writer:
                    attempt.end("its connection ended")
            writer.close()

    @staticmethod
    async def _command(reader: asyncio.StreamReader) -> list[bytes]:
        header = await reader.readline()
        if not header:
            return []
        words = []
        for _ in range(int(header[1:])):
            size = int((await reader.readline())[1:])
            words.append((await reader.readexactly(size + 2))[:-2])
        return words

    def _heard(self, writer: asyncio.StreamWriter, words: list[bytes]) -> None:
        word = words[0]
        if word == b"want" and len(words) == 4:
            attempt = Attempt(self, writer, words)
            self.attempts.append(attempt)
            shown = attempt.statement[:60].decode("utf-8", "replace")
            self.record.line(f"{self.name}: want {attempt.id} {words[2].decode()} {len(attempt.statement)} B: {shown}")
            task = asyncio.get_running_loop().create_task(self.serve(attempt))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return
        shown = b" ".join(words)[:80].decode("utf-8", "replace")
        self.record.line(f"{self.name}: {shown}")
        if word in (b"never_mind", b"shut") and len(words) == 2:
            if attempt := self.open_attempt(words[1].decode()):
                attempt.end("given up")
        elif word == b"there" and len(words) == 2:
            writer.write(resp(words[1], b"alive"))
        elif word not in (b"hurry", b"turn"):
            self.unknown.append(words)


# ---- clients


class Call:
    """One request of a client and all answers that came for it."""

    def __init__(self, client: "Client", number: int, rid: str, cls: str, budget: float):
        self.client, self.number, self.rid, self.cls, self.budget = client, number, rid, cls, budget
        self.sent = 0.0
        self.cancelled = 0.0
        self.answers: list[tuple[float, dict[str, Any]]] = []
        self.done = asyncio.Event()

    @property
    def kind(self) -> str:
        """Return served, refused, failed or unanswered."""
        if not self.answers:
            return "unanswered"
        answer = self.answers[0][1]
        if "result" in answer:
            return "served"
        return "refused" if answer["error"]["code"] == -32008 else "failed"

    @property
    def body(self) -> bytes:
        """Return the rows of a served request."""
        return base64.b64decode(self.answers[0][1]["result"]["body"])


class Client:
    """One connection of a client over JSON-RPC."""

    def __init__(self, record: Record, port: int, name: str = "client"):
        self.record, self.port, self.name = record, port, name
        self.calls: dict[int, Call] = {}
        self.alive_passed = False
        self.strays: list[dict[str, Any]] = []  # messages under no number of a request
        self.closed = False  # by the coordinator
        self._number = 0
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None

    async def connect(self) -> "Client":
        """Connect to the coordinator."""
        reader, self._writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
        self._writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reading = asyncio.get_running_loop().create_task(self._read(reader))
        return self

    def write(self, message: dict[str, Any]) -> None:
        """Write one message."""
        assert self._writer is not None
        self._writer.write(json.dumps(message).encode() + b"\n")

    def call(self, cls: str, statement: bytes, budget: float, **params: Any) -> Call:
        """Send one request; `budget` in seconds."""
        self._number += 1
        call = Call(self, self._number, secrets.token_hex(8), cls, budget)
        self.calls[call.number] = call
        body = base64.b64encode(statement).decode()
        given = {"rid": call.rid, "budget": round(budget * 1_000), "acct": TENANT, "body": body, **params}
        call.sent = time.time()
        self.write({"jsonrpc": "2.0", "id": call.number, "method": cls, "params": given})
        self.record.line(f"{self.name}: sent {call.rid} {cls} budget {budget} s, {len(statement)} B {params}")
        return call

    def cancel(self, call: Call) -> None:
        """Cancel a request."""
        call.cancelled = time.time()
        self.write({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": call.number}})
        self.record.line(f"{self.name}: cancelled {call.rid}")

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError, ValueError):
            while line := await reader.readline():
                self._heard(json.loads(line))
        self.closed = True

    def _heard(self, answer: dict[str, Any]) -> None:
        call = self.calls.get(answer.get("id") or 0)
        if call is not None:
            call.answers.append((time.time(), answer))
            self.record.line(f"{self.name}: answer to {call.rid}: {call.kind} {answer.get('error', '')}")
            call.done.set()
        elif answer.get("id") == 0 and "result" in answer:
            self.alive_passed = self.alive_passed or bool(answer["result"].get("pass"))
        else:
            self.strays.append(answer)
            self.record.line(f"{self.name}: message {json.dumps(answer)[:120]}")


# ---- the platform


class Coordinator:
    """One coordinator, started as the platform does: with `run` of the deploy file, from the root, by /bin/sh -c."""

    def __init__(self, record: Record, folder: Path, name: str, resolver: Resolver, tree: dict[str, Any]):
        self.record, self.folder, self.name = record, folder, name
        self.resolver, self.tree = resolver, tree
        self.port = free_port()
        self.operator_port = 0
        self.process: asyncio.subprocess.Process | None = None
        self.extra_arguments = ""
        self.limits: dict[str, float] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.config_path = folder / f"{name}.json"
        self.tmpdir = folder / f"{name}.tmp"
        self.log_path = folder / f"{name}.log"

    def write_config(self, **changes: Any) -> None:
        """Write the configuration file as it is now."""
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": secrets.token_hex(8),
            "limits": self.limits,
            "nameserver": f"127.0.0.1:{self.resolver.port}",
            "known": self.resolver.known(),
            "settings": self.tree,
            **({"operator": f"127.0.0.1:{self.operator_port}"} if self.operator_port else {}),
            **changes,
        }
        fresh = self.config_path.with_suffix(".new")
        fresh.write_text(json.dumps(config))
        fresh.replace(self.config_path)

    async def start(self) -> None:
        """Start the program and wait until it answers `alive` with pass."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"] + self.extra_arguments
        self.tmpdir.mkdir(exist_ok=True)
        self.write_config()
        environment = {
            **os.environ,
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": f"127.0.0.1:{self.port}",
            "BALANCER_CONFIG": str(self.config_path),
            "TMPDIR": str(self.tmpdir),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.line(f"platform: started {self.name} on port {self.port}")
        await self._wait_ready()

    async def _wait_ready(self) -> None:
        give_up_at = time.time() + READY_WITHIN
        while time.time() < give_up_at:
            if self.process is None or self.process.returncode is not None:
                raise CannotRunError(f"{self.name} ended at its start: {self.log_path.read_text()[-500:]}")
            if await self.is_alive(0.5):
                self.record.line(f"platform: {self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready")

    async def is_alive(self, within: float) -> bool:
        """Return whether it answers `alive` with pass on a new connection within that time."""
        client = Client(self.record, self.port, "front")
        try:
            await asyncio.wait_for(client.connect(), within)
        except (OSError, TimeoutError):
            return False
        client.write({"jsonrpc": "2.0", "id": 0, "method": "alive", "params": {}})
        give_up_at = time.time() + within
        while time.time() < give_up_at and not client.alive_passed and not client.closed:
            await asyncio.sleep(0.01)
        client.close()
        return client.alive_passed

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        if self.process is not None and self.process.returncode is None:
            self.record.line(f"platform: {number.name} to {self.name}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the program and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


# ---- running a case


async def _with_folder(case: Callable[[Record, Path], Any], record: Record) -> int:
    running = asyncio.current_task()
    assert running is not None
    for number in (signal.SIGTERM, signal.SIGINT):  # an interrupted case ends what it started, too
        asyncio.get_running_loop().add_signal_handler(number, running.cancel)
    folder = Path(tempfile.mkdtemp(prefix="rackhub-review-"))
    try:
        return int(await case(record, folder))
    except CannotRunError as error:
        record.line(f"the case could not run: {error}")
        return 2
    finally:
        for log in sorted(folder.glob("*.log")):
            record.line(f"the end of {log.name}:\n" + log.read_text(errors="replace")[-3000:])
        shutil.rmtree(folder, ignore_errors=True)


def run_case(case: Callable[[Record, Path], Any], folder: Path) -> int:
    """Run `case(record, temporary folder)`, a coroutine function that returns the exit status; return the status."""
    record = Record(folder / "record.txt")
    try:
        status = asyncio.run(_with_folder(case, record))
    except asyncio.CancelledError:
        record.line("the case was interrupted")
        status = 2
    except Exception as error:  # noqa: BLE001 - whatever fails here says nothing about the rule
        record.line(f"the case could not run: {error!r}")
        status = 2
    record.line(f"exit status {status}")
    record.close()
    return status


def disrupted() -> bool:
    """Return whether the case runs with its disruption: TROUBLE is not 0."""
    return os.environ.get("TROUBLE", "1") != "0"
