"""A stand-in engine that speaks TDS. The encoding of packets is the project's own."""

import asyncio
import re
from typing import Any

from rackhub.net.tds import codec
from review.stand_ins_2.engines import Engine, Run, rows_of

REPEAT_MS = re.compile(rb"\bms=(\d+)")


def message(kind: int, *tokens: bytes) -> bytes:
    """Encode a whole message."""
    return b"".join(codec.encode_message(kind, b"".join(tokens)))


class TdsEngine(Engine):
    """One engine over TDS.

    `second_copy`: seconds after which every `copy_every`-th answer is sent again; 0: none. `copies` counts them.
    `short_every`: every so many answers one stops short, with a part of its rows and no DONE; 0: none. `shorts` counts.
    """

    second_copy = 0.0
    copy_every = 1
    copies = 0
    short_every = 0
    shorts = 0
    answers = 0

    async def listen(self) -> "TdsEngine":
        """Open the engine's address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: TdsPeer(self), "127.0.0.1", self.port, reuse_address=True)
        self.port = self._server.sockets[0].getsockname()[1]
        return self


class TdsPeer(asyncio.Protocol):
    """One connection of a coordinator's: PRELOGIN, LOGIN7, then one call at a time."""

    def __init__(self, engine: TdsEngine):
        self.engine = engine
        self.transport: Any = None
        self.run: Run | None = None
        self._assembler = codec.MessageAssembler(1 << 20)

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport
        self.engine.peers.add(self)  # type: ignore[arg-type]

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up the running call."""
        self.engine.peers.discard(self)  # type: ignore[arg-type]
        self._stop("connection lost")

    def _stop(self, how: str) -> None:
        run, self.run = self.run, None
        if run is not None:
            if run.task:
                run.task.cancel()
            self.engine.end(run, how)

    def data_received(self, data: bytes) -> None:
        """Handle the whole messages."""
        for kind, _, body in self._assembler.feed(data):
            if kind == codec.PRELOGIN:
                self.transport.write(message(codec.REPLY, codec.encode_prelogin()))
            elif kind == codec.LOGIN7:
                ack = codec.encode_login_ack(codec.VERSION_74, "engine")
                self.transport.write(message(codec.REPLY, ack, codec.encode_done(0)))
            elif kind == codec.RPC:
                self._call(codec.parse_rpc(body).arguments)
            elif kind == codec.ATTENTION:
                self._stop("given up")
                self.transport.write(message(codec.REPLY, codec.encode_done(codec.DONE_ATTN)))

    def _call(self, arguments: dict[str, Any]) -> None:
        engine, statement = self.engine, arguments["@statement"].encode()
        fields = {"max": str(arguments["@budget_ms"]), "level": str(arguments["@level"])}
        id, cls, key = arguments["@id"], arguments["@class"], arguments.get("@key", "")
        run = self.run = Run(engine.name, id, cls, key, engine.world.now(), fields, statement, self)
        engine.runs.append(run)
        engine.world.note(f"{engine.name}: call {run.id} {run.cls} {statement[:60]!r}")
        run.task = asyncio.get_running_loop().create_task(self._serve(run))

    async def _serve(self, run: Run) -> None:
        found = REPEAT_MS.search(run.statement)
        await asyncio.sleep((int(found[1]) if found else 20) / 1000 * self.engine.slow)
        if self.run is not run or self.engine.silent:
            return
        self.run = None
        rows = rows_of(self.engine.name, run.statement)
        run.pages = [b"".join(rows)]
        tokens = [codec.encode_columns(("c1", "c2", "c3"))]
        tokens += [codec.encode_row(row.decode().rstrip("\n").split("\t")) for row in rows]
        engine = self.engine
        engine.answers += 1
        if engine.short_every and engine.answers % engine.short_every == 0 and len(rows) > 1:
            engine.shorts += 1
            engine.world.note(
                f"{engine.name}: {run.id} its answer STOPS SHORT after {len(rows) // 2} of {len(rows)} rows"
            )
            self.transport.write(message(codec.REPLY, *tokens[: 1 + len(rows) // 2]))
            engine.end(run, "stopped short")
            return
        tokens.append(codec.encode_done(codec.DONE_COUNT, len(rows), codec.DONEPROC))
        answer = message(codec.REPLY, *tokens)
        self.transport.write(answer)
        engine.end(run, "served")
        if engine.second_copy and engine.answers % engine.copy_every == 0:
            asyncio.get_running_loop().call_later(engine.second_copy, self._again, run, answer)

    def _again(self, run: Run, answer: bytes) -> None:
        if not self.transport.is_closing():
            self.engine.copies += 1
            self.engine.world.note(f"{self.engine.name}: {run.id} SECOND COPY of its answer")
            self.transport.write(answer)
