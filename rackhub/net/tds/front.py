"""The front for TDS clients: logins of the operator's file, SQL batches and calls of `rackhub_query`.

A batch runs with what its login sets. A call of `rackhub_query` takes these parameters, by name:

    @statement  the statement; needed            @budget_ms  how long the client waits; else the login's,
    @class      else the login's                             else the class's deadline
    @tenant     one of the login's; else its     @key        idempotency key, needed in keyed classes
                first                            @est_ms, @ram_mb   estimates of work and memory

An answer is a set of three text columns. Errors bear the numbers below. A back-off stands in the message, as
'retry after N ms'. Attention stops what runs, also while rows are on their way.
"""

import logging
import random
from collections.abc import Callable, Sequence
from typing import Any

from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Query
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.front import Client, Front, Patience, Unusable, request
from rackhub.net.tds import codec
from rackhub.net.tds.stream import TdsStream
from rackhub.operatorfile import TdsFrontSettings, TdsLogin
from rackhub.version import VERSION

log = logging.getLogger(__name__)
LOGIN_FAILED = 18456  # as SQL Server has it, for drivers know it
REFUSED, FAILED, DEADLINE, BAD_REQUEST, UNSUPPORTED = 50001, 50002, 50003, 50004, 50005
HARMLESS, UNKNOWN = 1, 2  # states of DEADLINE: nothing of it can do harm twice, or its effect is not known
COLUMNS = ("c1", "c2", "c3")
CALL = "rackhub_query"
TEXTS, FIGURES = ("@statement", "@class", "@tenant", "@key"), ("@budget_ms", "@est_ms", "@ram_mb")


def rows_of(pages: Sequence[bytes]) -> list[list[list[str]]]:
    """The rows of each page; `ValueError` where they are not of three columns."""
    result = []
    for page in pages:
        lines = page.decode("utf-8").split("\n")
        if lines.pop() != "":
            raise ValueError("a page ends inside a row")
        rows = [line.split("\t") for line in lines]
        if any(len(row) != len(COLUMNS) for row in rows):
            raise ValueError("a row has not three columns")
        result.append(rows)
    return result


class TdsConnection(Client, TdsStream):
    """One client. States: PRELOGIN, LOGIN, READY, BUSY (a request runs), ROWS (its answer is being written),
    CLOSED. `ending` lets no new request in and closes once READY is reached."""

    PRELOGIN, LOGIN, READY, BUSY, ROWS, CLOSED = "prelogin", "login", "ready", "busy", "rows", "closed"

    def __init__(self, front: Front, settings: TdsFrontSettings, ids: Callable[[], str]):
        super().__init__(front)
        self.settings, self.state = settings, self.PRELOGIN
        self.login: TdsLogin | None = None
        self._ids, self._size = ids, codec.DEFAULT_PACKET_BYTES
        self._in = codec.Assembler(front.limits.tds_message)
        self._query: Query | None = None
        self._out: codec.Packetizer | None = None
        self._pages: list[list[list[str]]] = []
        self._sent = 0
        self._done = codec.DONE  # the kind of DONE that ends the present answer
        self._reset = False

    # ---- the connection

    def made(self) -> None:
        self.counters.add("tds_connections")
        self.front.connected(self)

    def connectionLost(self, reason: object = None) -> None:
        self.state = self.CLOSED
        self._pages = []
        self.front.lost(self)
        query, self._query = self._query, None
        if query is not None:
            self.core.disconnect_client(query)

    def busy(self) -> bool:
        return self.state in (self.BUSY, self.ROWS)

    def late(self, why: str) -> None:
        self.state = self.CLOSED
        self.cut()  # inside a message there is no place for an error

    def malformed(self) -> None:
        self.counters.add("tds_bad")

    def end(self) -> None:
        self.ending = True
        if self.state in (self.PRELOGIN, self.LOGIN, self.READY):
            self._close()

    def _close(self) -> None:
        self.state = self.CLOSED
        self.transport.loseConnection()

    # ---- messages in

    def taken(self, data: bytes) -> None:
        if self.state == self.CLOSED:
            return
        whole = False
        for kind, status, body in self._in.feed(data):
            if self.state == self.CLOSED:
                return
            whole = True
            if kind == codec.ATTENTION:
                self._attention()
            elif status & codec.IGNORE:  # the client broke off its own request: Attention follows
                continue
            elif self.state == self.PRELOGIN:
                self._prelogin(kind, body)
            elif self.state == self.LOGIN:
                self._login(kind, body)
            elif self.state == self.READY:
                self._request(kind, body, bool(status & codec.RESET))
            else:
                raise codec.TdsProtocolError("a request while another one runs")
        self.stale = False
        # until it is logged in the time runs from its connecting
        self.came(whole and self.login is not None, self._in.begun)

    def _prelogin(self, kind: int, body: bytes) -> None:
        if kind != codec.PRELOGIN:
            raise codec.TdsProtocolError("no PRELOGIN")
        codec.prelogin_options(body)
        self.state = self.LOGIN
        self.write(codec.message(codec.REPLY, codec.prelogin()))

    def _login(self, kind: int, body: bytes) -> None:
        if kind != codec.LOGIN7:  # also a client that insists on encryption
            raise codec.TdsProtocolError("no LOGIN7")
        asked = codec.login_of(body)
        login = None if asked.integrated else self.settings.check(asked.user, asked.password)
        if login is None or asked.database not in ("", self.settings.database) or asked.version < codec.VERSION_72:
            self.counters.add("tds_bad_logins")
            self._say_error(LOGIN_FAILED, 1, 14, f"Login failed for user '{asked.user[:100]}'.")
            return self._close()
        self.counters.add("tds_logins")
        self.login, self.state = login, self.READY
        if codec.MIN_PACKET_BYTES <= asked.packet_size <= codec.MAX_PACKET_BYTES:
            self._size = asked.packet_size
        name = self.settings.database
        self.write(
            codec.message(
                codec.REPLY,
                b"".join(
                    (
                        codec.env_text(1, name, ""),
                        codec.token_of(codec.ENVCHANGE, b"\x07\x05" + codec.COLLATION + b"\0"),
                        codec.login_ack(min(asked.version, codec.VERSION_74), "rackhub"),
                        codec.env_text(4, str(self._size), str(codec.DEFAULT_PACKET_BYTES)),
                        codec.notice(codec.INFO, 5701, 2, 0, f"rackhub {VERSION}", "rackhub"),
                        codec.done(0),
                    )
                ),
            )
        )

    def _request(self, kind: int, body: bytes, reset: bool) -> None:
        self.counters.add("tds_requests")
        self._reset, self._done = reset, codec.DONEPROC if kind == codec.RPC else codec.DONE
        if self.ending:
            return self._close()
        try:
            if kind == codec.SQL_BATCH:
                given = {"@statement": codec.batch_text(body)}
            elif kind == codec.RPC:
                given = self._arguments(codec.call_of(body))
            else:
                raise codec.UnsupportedTdsError("requests of this type")
            self._submit(given)
        except codec.UnsupportedTdsError as what:
            self.counters.add("tds_unsupported")
            self._say_error(UNSUPPORTED, 1, 16, f"not supported: {what}")
            self.fault()
        except Unusable as fault:
            self.counters.add("bad_params")
            self._say_error(BAD_REQUEST, 1, 16, str(fault))
            self.fault()

    def _arguments(self, call: codec.Call) -> dict[str, Any]:
        if call.name.lower().removeprefix("dbo.") != CALL:
            raise codec.UnsupportedTdsError(f"the procedure {call.name[:100]}")
        for name, value in call.arguments.items():
            wanted = str if name in TEXTS else int | float if name in FIGURES else None
            if wanted is None:
                raise Unusable(f"the parameter {name[:100] or 'without a name'} is not known")
            if value is not None and not isinstance(value, wanted):
                raise Unusable(f"the parameter {name} is of another type")
        return {name: value for name, value in call.arguments.items() if value is not None}

    def _submit(self, given: dict[str, Any]) -> None:
        login = self.login
        cls = given.get("@class", login.cls)
        tenant = given.get("@tenant", login.tenants[0] if login.tenants else "")
        if not given.get("@statement", "").strip():
            raise Unusable("the parameter @statement is missing")
        if cls not in self.core.classes:
            raise Unusable(f"the class {cls[:100]!r} is not known")
        if tenant and tenant not in login.tenants:
            raise Unusable("the tenant is not one of this login's")
        budget = given.get("@budget_ms", login.budget_ms or self.core.classes[cls].deadline / 1_000)
        query = request(
            self.core,
            self,
            id=self._ids(),
            cls=cls,
            statement=given["@statement"].encode("utf-8", "surrogatepass"),
            budget_ms=budget,
            tenant=tenant,
            idempotency_key=given.get("@key", ""),
            est_ms=given.get("@est_ms", 0),
            ram_mb=given.get("@ram_mb", 0),
        )
        self.state, self._query = self.BUSY, query
        self.core.submit(query)

    def _attention(self) -> None:
        """Stop what runs or is being written; the acknowledgement leaves the connection ready."""
        self.counters.add("tds_attentions")
        if self.state in (self.PRELOGIN, self.LOGIN):
            raise codec.TdsProtocolError("Attention before a login")
        query, self._query = self._query, None
        if query is not None:
            self.core.disconnect_client(query)
        ack = codec.done(codec.DONE_ATTN)
        if self.state == self.ROWS:  # inside the answer: it ends here, short of its rows, and says so
            self._pages = []
            self.transport.unregisterProducer()
            self._finish((ack,))
        else:
            self._answer((ack,))

    # ---- answers out

    def served(self, query: Query, rows: Sequence[bytes]) -> None:
        if query is not self._query:
            return
        self._query = None
        try:
            self._pages = rows_of(rows)
        except ValueError as fault:  # the columns are promised: no answer may look whole that is not
            log.warning("tds: an engine's answer is no rows: %s", fault)
            return self._say_error(FAILED, 1, 16, "failed: the engine's answer is not rows of three columns")
        self.state, self._sent = self.ROWS, 0
        self._out = codec.Packetizer(codec.REPLY, self._size)
        self.write(self._out.add((self._head(), codec.columns(COLUMNS))))
        self.transport.registerProducer(self, False)  # one page at a time, as the client reads

    def resumeProducing(self) -> None:
        self.choked_since = 0
        if self.state != self.ROWS:
            return
        while self._pages:  # a page may fill no packet: only bytes written make the transport ask for more
            page = self._pages.pop(0)
            self._sent += len(page)
            if packets := self._out.add(codec.row(row) for row in page):
                self.choked_since = self.core.clock.now()  # until the transport asks for more
                return self.write(packets)
        self.transport.unregisterProducer()
        self._finish((self._status(), codec.done(codec.DONE_COUNT, self._sent, self._done)))

    def stopProducing(self) -> None:
        self._pages = []

    def rejected(self, query: Query, backoff: int) -> None:
        if query is self._query:
            late = self.core.is_near_deadline(query)
            self._say_error(
                DEADLINE if late else REFUSED,
                HARMLESS,
                16,
                ("deadline passed" if late else "refused")
                + f": trying again is harmless, retry after {-(-backoff // 1_000)} ms",
            )

    def failed(self, query: Query, why: str) -> None:
        if query is self._query:
            late = self.core.is_near_deadline(query)
            self._say_error(
                DEADLINE if late else FAILED,
                UNKNOWN if late else 1,
                16,
                "deadline passed: its effect is not known" if late else why,
            )

    def _say_error(self, number: int, state: int, severity: int, text: str) -> None:
        self._answer(
            (
                codec.notice(codec.ERROR, number, state, severity, text, "rackhub"),
                self._status(),
                codec.done(codec.DONE_ERROR, 0, self._done),
            )
        )

    def _status(self) -> bytes:
        return b"\x79\0\0\0\0" if self._done == codec.DONEPROC else b""

    def _head(self) -> bytes:
        reset, self._reset = self._reset, False
        return codec.RESET_DONE if reset else b""

    def _answer(self, pieces: Sequence[bytes]) -> None:
        self._query = None
        self._out = codec.Packetizer(codec.REPLY, self._size)
        self._finish((self._head(), *pieces))

    def _finish(self, pieces: Sequence[bytes]) -> None:
        self.write(self._out.end(pieces))
        self._out, self.choked_since, self.used = None, 0, self.core.clock.now()
        self._done = codec.DONE
        if self.state in (self.BUSY, self.ROWS):
            self.state = self.READY
        if self.ending and self.state == self.READY:
            self._close()


def random_ids() -> Callable[[], str]:
    """Request ids for clients whose protocol has none."""
    source = random.SystemRandom()
    return lambda: f"{source.getrandbits(64):016x}"


def tds_front(
    settings: TdsFrontSettings,
    core: Coordinator,
    limits: Limits,
    counters: Counters,
    ids: Callable[[], str] | None = None,
) -> Front:
    ids = ids or random_ids()
    return Front(
        lambda front: TdsConnection(front, settings, ids),
        core,
        limits,
        counters,
        limits.tds_connections,
        Patience(limits.tds_login, limits.tds_half, limits.tds_idle, limits.tds_unread),
    )
