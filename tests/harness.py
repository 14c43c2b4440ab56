"""Engines, clients and a clock for tests on loopback sockets, written from the public protocols. Nothing here sleeps.

`CoordinatorTestBed` is a whole coordinator with fronts, core and engine pools, whose core runs on a clock that the test
advances. `spin` runs the reactor until a condition holds.
"""

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.protocols.basic import LineOnlyReceiver, LineReceiver

from rackhub import interface as t
from rackhub.core.coordinator import Coordinator
from rackhub.core.timers import Timers
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.input_scheduler import InputScheduler
from rackhub.net.jsonrpc import jsonrpc_front
from rackhub.net.resp import resp_pools
from rackhub.net.resp_protocol import encode_command
from rackhub.net.tds import codec
from rackhub.net.tds.engine import tds_pools
from rackhub.net.tds.front import tds_front
from rackhub.net.tds.token_reader import TokenReader
from rackhub.operatorfile import TdsEngineSettings, TdsFrontSettings, TdsLogin, hash_password

S, MS = 1_000_000, 1_000
CLASSES = (
    t.ClassSettings(
        "lookup", deadline=3 * S, latency_objective=S, idempotency="retryable", blocked_by_table_locks=True
    ),
    t.ClassSettings(
        "report", deadline=20 * S, latency_objective=3 * S, idempotency="retryable", threads=3, priority_weight=7.5
    ),
    t.ClassSettings(
        "depot-load",
        deadline=25 * S,
        latency_objective=3 * S,
        idempotency="dedup",
        idempotency_scope="all",
        idempotency_window=25 * S,
        threads=2,
        locks_tables=True,
        priority_weight=10.0,
    ),
)
SETTINGS = t.Settings(
    classes=CLASSES,
    tenants=(t.TenantSettings("acme"),),
    kind_cores={"std": 8.0},
    clock_period=5 * MS,
    priorities=True,
    progress_report_interval=S,
    cancel=True,
    max_attempts=3,
    max_retry_after=500 * MS,
)
LIMITS = Limits(dial_timeout=60 * S)
LOGIN = TdsLogin(
    user="desk", password=hash_password("open sesame", b"0123456789abcdef"), cls="lookup", tenants=["acme"]
)
TDS = TdsFrontSettings(listen="127.0.0.1:1433", database="rides", login=[LOGIN])


class FakeClock:
    """A clock that a test advances; it also implements the wake-up of the core's timers."""

    def __init__(self):
        self.time, self._wake = 1_000_000 * S, None

    def now(self):
        return self.time

    def wake_after(self, delay, call):
        self._wake = (self.time + delay, call)

    def advance(self, span):
        until = self.time + span
        while self._wake and self._wake[0] <= until:
            (strings_missing, call), self._wake = self._wake, None
            self.time = max(self.time, strings_missing)
            call()
        self.time = until

    def step(self):
        """Advance to the next wake-up."""
        self.advance(max(self._wake[0] - self.time, 0))


def spin(condition, turns=1_000):
    """Run the reactor until the condition holds; fails after `turns` iterations, however slow the machine is."""
    for _ in range(turns):
        if condition():
            return
        reactor.iterate(0.01)
    raise AssertionError("the condition did not hold in time")


def dial(port, protocol):
    """Connect a client protocol to a local port, wait until it is connected, and return it."""
    factory = ClientFactory()
    factory.noisy, factory.protocol = False, lambda: protocol
    reactor.connectTCP("127.0.0.1", port, factory)
    spin(lambda: protocol.transport is not None and protocol.connected)
    return protocol


class RespEngine(LineReceiver):
    """An engine over RESP, which records every command and calls the server's `on_command`."""

    def __init__(self, server):
        self.server, self.command, self.string_size, self.strings_missing = server, [], 0, 0

    def lineReceived(self, line):
        if not self.strings_missing:
            self.strings_missing, self.command = int(line[1:]), []
        else:
            self.string_size = int(line[1:]) + 2
            self.buffer = b""
            self.setRawMode()

    def rawDataReceived(self, data):
        self.buffer += data
        if len(self.buffer) < self.string_size:
            return
        string, rest = self.buffer[: self.string_size - 2], self.buffer[self.string_size :]
        self.command.append(string)
        self.strings_missing -= 1
        if not self.strings_missing:
            self.server.received.append(tuple(self.command))
            self.server.on_command(self, *self.command)
        self.setLineMode(rest)

    def respond(self, id, kind, fields=b"-", body=b""):
        self.transport.writeSequence(encode_command(id, kind, fields, body))


class TdsEngine(Protocol):
    """An engine over TDS, which records calls in the form of RESP commands and calls the server's `on_command`."""

    def __init__(self, server):
        self.server, self.packets = server, codec.MessageAssembler(1 << 20)

    def dataReceived(self, data):
        for kind, _, body in self.packets.feed(data):
            if kind == codec.PRELOGIN:
                self.send_message(codec.encode_prelogin())
            elif kind == codec.LOGIN7:
                valid_login = codec.parse_login7(body)[2:4] == ("hub", "secret")
                self.send_message(
                    codec.encode_login_ack(codec.VERSION_74, "stand") + codec.encode_done(0)
                    if valid_login
                    else codec.encode_notice(codec.ERROR, 18456, 1, 14, "no", "stand")
                    + codec.encode_done(codec.DONE_ERROR)
                )
            elif kind == codec.ATTENTION:
                self.server.received.append((b"never_mind",))
                self.send_message(codec.encode_done(codec.DONE_ATTN))
            else:
                parameters = codec.parse_rpc(body).arguments
                fields = f"profile={parameters['@class']},max={parameters['@budget_ms']},level={parameters['@level']}"
                fields += f",replay={parameters['@key']}" if "@key" in parameters else ""
                command = b"want", parameters["@id"].encode(), fields.encode(), parameters["@statement"].encode()
                self.server.received.append(command)
                self.server.on_command(self, *command)

    def send_message(self, body):
        self.transport.writeSequence(codec.encode_message(codec.REPLY, body))

    def respond(self, id, kind, fields=b"-", body=b""):
        if kind == b"200":
            rows = [line.split("\t") for line in body.decode().splitlines()]
            load = codec.encode_notice(codec.INFO, 51010, 1, 0, fields.decode().partition("report=")[2], "stand")
            self.send_message(
                load
                + codec.encode_columns("abc")
                + b"".join(map(codec.encode_row, rows))
                + codec.encode_done(codec.DONE_COUNT, len(rows), codec.DONEPROC)
            )
        else:
            number = {b"503": 51503, b"504": 51504}.get(kind, 51500)
            self.send_message(
                codec.encode_notice(codec.ERROR, number, 1, 16, "no", "stand") + codec.encode_done(codec.DONE_ERROR)
            )


class EngineServer:
    """A listening engine with the commands it received. `on_command(connection, *command)` may respond to them."""

    def __init__(self, protocol=RespEngine, on_command=None):
        self.received, self.connections = [], []
        self.on_command = on_command or (lambda *_: None)

        def build():
            self.connections.append(protocol(self))
            return self.connections[-1]

        self.factory = Factory.forProtocol(build)
        self.factory.noisy = False
        self.port = reactor.listenTCP(0, self.factory, interface="127.0.0.1")

    def wants(self):
        return [command for command in self.received if command[0] == b"want"]


class JsonClient(LineOnlyReceiver):
    """A JSON-RPC client, which collects the received lines."""

    delimiter, MAX_LENGTH = b"\n", 1 << 20

    def __init__(self):
        self.lines = []

    def lineReceived(self, line):
        self.lines.append(line)


class TdsClient(Protocol):
    """A TDS client, which collects complete answers as lists of tokens."""

    def __init__(self):
        self.packets, self.tokens = codec.MessageAssembler(1 << 24), TokenReader(1 << 20)
        self.answers, self.tokens_of_answer = [], []
        self.greeted = False

    def dataReceived(self, data):
        for _, status, body in self.packets.feed_packets(data):
            if (
                not self.greeted and body[:1] == b"\0"
            ):  # The first answer is that to PRELOGIN; it begins with the VERSION option, 0.
                self.greeted = True
                self.answers.append([])
                continue
            self.tokens_of_answer += self.tokens.feed(body)
            if status & codec.EOM:
                self.answers.append(self.tokens_of_answer)
                self.tokens_of_answer = []

    def ask(self, kind, body):
        self.transport.writeSequence(codec.encode_message(kind, body))

    def log_in(self, user="desk", password="open sesame"):
        self.ask(codec.PRELOGIN, codec.encode_prelogin())
        spin(lambda: len(self.answers) == 1)
        self.ask(codec.LOGIN7, codec.encode_login7(user, password, "rides", 4096))
        spin(lambda: len(self.answers) == 2)
        return self.answers.pop()

    def call(self, statement, **more):
        parameters = {"@statement": statement} | {f"@{name}": value for name, value in more.items()}
        self.ask(codec.RPC, codec.encode_rpc("rackhub_query", parameters))


def scheduler_without_event_loop():
    """Return a scheduler for connections without an event loop, whose iterations follow one another at once."""
    return InputScheduler(lambda call: call(), LIMITS.max_input_steps)


class CoordinatorTestBed:
    """A coordinator on loopback with the engines e0, e1, ... and a clock that the test advances."""

    def __init__(self, *servers, tds_engines=False, settings=SETTINGS, limits=LIMITS, ids=None):
        self.clock, self.counters, self.engines = FakeClock(), Counters(), servers
        self.core = Coordinator(settings, 7, self.clock, Timers(self.clock, self.clock), limits, self.counters)
        shared = self.clock, limits, self.counters, self.core
        self.pools = (
            tds_pools(reactor, TdsEngineSettings(user="hub", password="secret"), *shared)
            if tds_engines
            else resp_pools(reactor, *shared)
        )
        scheduler = InputScheduler(lambda call: reactor.callLater(0, call), limits.max_input_steps)
        self.fronts = (
            jsonrpc_front(self.core, limits, self.counters, scheduler),
            tds_front(TDS, self.core, limits, self.counters, ids, scheduler),
        )
        self.ports = [reactor.listenTCP(0, front, interface="127.0.0.1") for front in self.fronts]
        self.pools.update_endpoints(
            {f"e{i}": ("127.0.0.1", server.port.getHost().port) for i, server in enumerate(servers)}
        )
        self.core.start(self.pools, [t.EngineEntry(f"e{i}", "z", "std") for i in range(len(servers))], 1)

    def json_client(self):
        return dial(self.ports[0].getHost().port, JsonClient())

    def tds_client(self):
        client = dial(self.ports[1].getHost().port, TdsClient())
        client.log_in()
        return client

    def close(self):
        """Close all connections and wait for that, so that tests do not interfere in the shared reactor."""
        for port in (*self.ports, *(server.port for server in self.engines)):
            port.stopListening()
        for front in self.fronts:
            for connection in list(front.connections):
                connection.transport.abortConnection()
        for server in self.engines:
            for connection in server.connections:
                connection.transport.abortConnection()
        spin(
            lambda: (
                not any(front.connections for front in self.fronts)
                and not any(pool.links for pool in self.pools.pools.values())
            )
        )
