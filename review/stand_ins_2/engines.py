"""Stand-in engines over RESP, by the protocol page.

A statement tells the engine what to do: `/* ms=150 rows=3 */` runs for 150 ms and returns three rows.
"""

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from review.stand_ins_2.world import HOST, World

NUMBER = re.compile(rb"\b(ms|rows)=(\d+)")
PAGE = 6_000


def array(*words: bytes) -> bytes:
    """Encode an array of bulk strings."""
    return b"".join((b"*%d\r\n" % len(words), *(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)))


def parse(data: bytearray) -> list[bytes] | None:
    """Take one whole array from the front of `data`; None if it has not come whole."""
    end = data.find(b"\r\n")
    if end < 0:
        return None
    count, at, words = int(data[1:end]), end + 2, []
    for _ in range(count):
        end = data.find(b"\r\n", at)
        if end < 0:
            return None
        size = int(data[at + 1 : end])
        if len(data) < end + 2 + size + 2:
            return None
        words.append(bytes(data[end + 2 : end + 2 + size]))
        at = end + 2 + size + 2
    del data[:at]
    return words


def rows_of(engine: str, statement: bytes) -> list[bytes]:
    """Return the rows that an engine makes for a statement; they name both."""
    wanted = dict(NUMBER.findall(statement))
    name = statement.split(b"/*")[0].strip().replace(b"\t", b" ").replace(b"\n", b" ")
    return [b"%s\t%s\t%d\n" % (name, engine.encode(), i) for i in range(int(wanted.get(b"rows", b"1")))]


def pages_of(rows: list[bytes]) -> list[bytes]:
    """Cut rows into pages."""
    pages = [b""]
    for row in rows:
        if len(pages[-1]) + len(row) > PAGE:
            pages.append(b"")
        pages[-1] += row
    return pages


@dataclass
class Run:
    """One attempt that came whole to an engine."""

    engine: str
    id: str
    cls: str
    key: str
    at: float
    fields: dict[str, str]
    statement: bytes
    peer: Any = None
    state: str = "out"
    ended: float | None = None
    pages: list[bytes] = field(default_factory=list)
    task: asyncio.Task[None] | None = None


class Engine:
    """One engine. `mood` decides what it does with a run; by default it serves it."""

    def __init__(self, world: World, name: str, kind: str = "std-8", port: int = 0, zone: str = "kacyiru-room"):
        self.world, self.name, self.kind, self.zone = world, name, kind, zone
        self.port, self.status, self.since_ms, self.cell = port, "ready", 0, 0
        self.runs: list[Run] = []
        self.slow = 1.0
        self.silent = False
        self.noted = True  # False: its requests are not in the record, and are forgotten when they end
        self.on_run: Callable[[Run], bool] | None = None  # True: the case handles the run itself
        self.on_word: Callable[[Any, list[bytes]], bool] | None = None
        self.peers: set[Peer] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> "Engine":
        """Open the engine's address; the same one after a restart."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Peer(self), HOST, self.port, reuse_address=True)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def die(self) -> None:
        """End as a killed process does: its connections are reset, new ones refused."""
        if self._server:
            self._server.close()
        for peer in list(self.peers):
            peer.transport.abort()

    def entry(self) -> dict[str, Any]:
        """Return the engine's entry in the list."""
        return {
            "name": self.name,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "type": self.kind,
            "group": self.cell,
            "status": self.status,
            "weight": 1,
            "since_ms": self.since_ms,
        }

    def out(self) -> list[Run]:
        """Return the runs that are out."""
        return [run for run in self.runs if run.state == "out"]

    def end(self, run: Run, state: str) -> None:
        """Note the end of a run."""
        if run.state == "out":
            run.state, run.ended = state, self.world.now()
            if self.noted:
                self.world.note(f"{self.name}: {run.id} {state}")

    async def serve(self, run: Run) -> None:
        """Run a statement, with notes each second, and answer it."""
        wanted = dict(NUMBER.findall(run.statement))
        left, total = int(wanted.get(b"ms", b"20")) / 1000 * self.slow, int(wanted.get(b"ms", b"20")) / 1000 * self.slow
        while left > 0:
            step = min(left, 1.0)
            await asyncio.sleep(step)
            left -= step
            if left > 0 and not self.silent:
                share = 1 - left / total
                run.peer.say(run.id.encode(), b"status", b"remark=advance,amount=%.3f" % share)
        if not self.silent:
            self.answer(run)

    def answer(self, run: Run) -> None:
        """Answer a run with its result."""
        if run.state != "out":
            return
        run.pages = pages_of(rows_of(self.name, run.statement))
        report = b"report=queue:0;inflight:%d" % len(self.out())
        run.peer.say(run.id.encode(), b"200", b"chunks=%d,%s" % (len(run.pages), report), run.pages[0])
        if len(run.pages) == 1:
            self.end(run, "served")


class Peer(asyncio.Protocol):
    """One connection of a coordinator's."""

    def __init__(self, engine: Engine):
        self.engine, self.data = engine, bytearray()
        self.open: dict[bytes, Run] = {}
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport
        self.engine.peers.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up everything open on the connection."""
        self.engine.peers.discard(self)
        for run in self.open.values():
            if run.task:
                run.task.cancel()
            self.engine.end(run, "connection lost")

    def data_received(self, data: bytes) -> None:
        """Handle the whole commands."""
        self.data += data
        while (words := parse(self.data)) is not None:
            self.word(words)

    def say(self, *words: bytes) -> None:
        """Send an answer."""
        if not self.transport.is_closing():
            self.transport.write(array(*words, *((b"-", b"")[len(words) - 2 :] if len(words) < 4 else ())))

    def word(self, words: list[bytes]) -> None:
        """Handle one command."""
        engine = self.engine
        if engine.on_word and engine.on_word(self, words):
            return
        command, id = words[0], words[1] if len(words) > 1 else b""
        if command == b"want" and len(words) == 4:
            self.want(id, words[2], words[3])
        elif command in (b"never_mind", b"shut"):
            run = self.open.pop(id, None)
            if run:
                if run.task:
                    run.task.cancel()
                engine.end(run, "given up" if command == b"never_mind" else "shut")
        elif command == b"turn" and len(words) == 3:
            self.turn(id, int(words[2]))
        elif command == b"there":
            self.transport.write(array(id, b"alive"))
        elif command == b"hurry" and len(words) == 3:
            engine.world.note(f"{engine.name}: hurry {id.decode()} {words[2].decode()}")
        else:
            engine.world.note(f"{engine.name}: UNKNOWN command {words!r}")

    def want(self, id: bytes, text: bytes, statement: bytes) -> None:
        """Take a request."""
        engine = self.engine
        fields = dict(part.split("=", 1) for part in text.decode().split(","))
        run = Run(
            engine.name,
            id.decode(),
            fields.get("profile", ""),
            fields.get("replay", ""),
            engine.world.now(),
            fields,
            statement,
            self,
        )
        self.open[id] = run
        if engine.noted:
            engine.runs.append(run)
            engine.world.note(f"{engine.name}: want {run.id} {text.decode()} {statement[:60]!r}")
        if engine.on_run and engine.on_run(run):
            return
        run.task = asyncio.get_running_loop().create_task(engine.serve(run))

    def turn(self, id: bytes, number: int) -> None:
        """Send a further page."""
        run = self.open.get(id)
        if run is None or not 0 < number < len(run.pages):
            self.say(id, b"500", b"-", b"")
            return
        self.say(id, b"chunk", b"at=%d" % number, run.pages[number])
        if number == len(run.pages) - 1:
            self.engine.end(run, "served")
