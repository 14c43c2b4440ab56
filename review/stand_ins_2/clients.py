"""Stand-in clients over JSON-RPC, by the protocol page."""

import asyncio
import base64
import itertools
import json
import secrets
from dataclasses import dataclass, field
from typing import Any

from review.stand_ins_2.world import HOST, World, until

SECOND = 1_000_000


@dataclass
class Call:
    """One request and everything that came back for it."""

    id: int
    rid: str
    cls: str
    statement: str
    budget: int
    at: float
    answers: list[dict[str, Any]] = field(default_factory=list)
    answered: list[float] = field(default_factory=list)
    cancelled: float | None = None
    closed: float | None = None  # when the connection ended under it

    @property
    def how(self) -> str:
        """How it was answered first: served, refused, failed, or nothing."""
        if not self.answers:
            return "nothing"
        first = self.answers[0]
        if "result" in first:
            return "served"
        return "refused" if first["error"]["code"] == -32008 else "failed"

    @property
    def body(self) -> bytes:
        """The rows of a served request."""
        return base64.b64decode(self.answers[0]["result"]["body"])


class Client(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, world: World, name: str, port: int):
        self.world, self.name, self.port = world, name, port
        self.calls: list[Call] = []
        self.open: dict[int, Call] = {}
        self.strays: list[bytes] = []
        self.lost: float | None = None
        self.half_closed: float | None = None
        self.transport: Any = None
        self._ids = itertools.count(1)
        self._data = b""

    async def connect(self) -> "Client":
        """Connect."""
        await asyncio.get_running_loop().create_connection(lambda: self, HOST, self.port)
        return self

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def send(
        self,
        cls: str,
        statement: str,
        budget: int,
        acct: str = "nyarugenge-bikes",
        token: str = "",
        est: float | None = None,
        ram: float | None = None,
    ) -> Call:
        """Send a request."""
        call = Call(next(self._ids), secrets.token_hex(8), cls, statement, budget, self.world.now())
        params: dict[str, Any] = {
            "rid": call.rid,
            "budget": budget,
            "body": base64.b64encode(statement.encode()).decode(),
        }
        params |= {"acct": acct} if acct else {}
        params |= {"token": token} if token else {}
        params |= {"est": est} if est is not None else {}
        params |= {"ram": ram} if ram is not None else {}
        self.calls.append(call)
        self.open[call.id] = call
        self.world.note(
            f"{self.name}: sends {call.id} {call.rid} {cls} budget={budget} key={token or '-'} {statement!r}"
        )
        self._write({"jsonrpc": "2.0", "id": call.id, "method": cls, "params": params})
        return call

    def cancel(self, call: Call) -> None:
        """Stop waiting for a request."""
        call.cancelled = self.world.now()
        self.open.pop(call.id, None)
        self.world.note(f"{self.name}: cancels {call.id} {call.rid}")
        self._write({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": call.id}})

    def _write(self, message: dict[str, Any]) -> None:
        self.transport.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")

    def data_received(self, data: bytes) -> None:
        """Handle the whole answers."""
        *lines, self._data = (self._data + data).split(b"\n")
        for line in lines:
            message = json.loads(line)
            call = next((each for each in self.calls if each.id == message.get("id")), None)
            if call is None:
                self.strays.append(line)
                self.world.note(f"{self.name}: got {line[:200]!r}")
                continue
            call.answers.append(message)
            call.answered.append(self.world.now())
            self.open.pop(call.id, None)
            what = call.how if len(call.answers) == 1 else "ANOTHER ANSWER"
            detail = message["error"] if "error" in message else call.body[:60]
            self.world.note(
                f"{self.name}: {call.id} {call.rid} {what} after {self.world.now() - call.at:.3f} s {detail!r}"
            )

    def eof_received(self) -> bool:
        """Note the end of the coordinator's side; then close."""
        self.half_closed = self.world.now()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection under open requests."""
        self.lost = self.world.now()
        for call in self.open.values():
            call.closed = self.world.now()
            self.world.note(f"{self.name}: connection ended under {call.id} {call.rid}: {exc}")
        self.open = {}

    def close(self) -> None:
        """Close the connection."""
        self.transport.close()


async def wait_ready(world: World, port: int, seconds: float = 30) -> bool:
    """Wait until a coordinator answers `alive` with pass, as the front does."""
    end = world.now() + seconds
    while world.now() < end:
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        writer.write(b'{"jsonrpc":"2.0","id":1,"method":"alive"}\n')
        try:
            line = await asyncio.wait_for(reader.readline(), 2)
        except (TimeoutError, OSError):
            line = b""
        writer.close()
        if b'"pass":true' in line:
            world.note(f"front: the coordinator at port {port} is ready")
            return True
        await asyncio.sleep(0.05)
    return False


async def settle(calls: list[Call], seconds: float) -> bool:
    """Wait until all calls are answered, cancelled or cut off."""
    return await until(lambda: all(c.answers or c.cancelled is not None or c.closed for c in calls), seconds)
