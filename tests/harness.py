"""Stand-ins and a clock for the tests of the wires, from the public protocols; nothing here sleeps.

`CoordinatorTestBed` is a whole coordinator: fronts, core and engine client on real loopback sockets, with the time
of the core in the test's hands. `spin` turns the reactor until something has come about.
"""

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.protocols.basic import LineOnlyReceiver, LineReceiver

from rackhub import interface as t
from rackhub.core.coordinator import Coordinator
from rackhub.core.timers import Timers
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.jsonrpc import jsonrpc_front
from rackhub.net.resp import resp_pools
from rackhub.net.resp_protocol import encode_command
from rackhub.net.tds import codec
from rackhub.net.tds.engine import tds_pools
from rackhub.net.tds.front import tds_front
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
    """A clock that a test moves, and the wake-up of the core's timers."""

    def __init__(self):
        self.time, self._wake = 1_000_000 * S, None

    def now(self):
        return self.time

    def wake_after(self, delay, call):
        self._wake = (self.time + delay, call)

    def advance(self, span):
        until = self.time + span
        while self._wake and self._wake[0] <= until:
            (due, call), self._wake = self._wake, None
            self.time = max(self.time, due)
            call()
        self.time = until

    def step(self):
        """To the next wake-up."""
        self.advance(max(self._wake[0] - self.time, 0))


def spin(condition, turns=1_000):
    """Turn the reactor until the condition holds; that it never does is a failure, whatever the machine's pace."""
    for _ in range(turns):
        if condition():
            return
        reactor.iterate(0.01)
    raise AssertionError("it did not come about")


def dial(port, protocol):
    """Connect a stand-in; its `up` is set by then."""
    factory = ClientFactory()
    factory.noisy, factory.protocol = False, lambda: protocol
    reactor.connectTCP("127.0.0.1", port, factory)
    spin(lambda: protocol.transport is not None and protocol.connected)
    return protocol


class RespEngine(LineReceiver):
    """An engine over RESP: notes every command, answers what the test's `on_command` says."""

    def __init__(self, stand):
        self.server, self.words, self.need, self.due = stand, [], 0, 0

    def lineReceived(self, line):
        if not self.due:
            self.due, self.words = int(line[1:]), []
        else:
            self.need = int(line[1:]) + 2
            self.held = b""
            self.setRawMode()

    def rawDataReceived(self, data):
        self.held += data
        if len(self.held) < self.need:
            return
        word, rest = self.held[: self.need - 2], self.held[self.need :]
        self.words.append(word)
        self.due -= 1
        if not self.due:
            self.server.received.append(tuple(self.words))
            self.server.on_command(self, *self.words)
        self.setLineMode(rest)

    def respond(self, id, word, fields=b"-", body=b""):
        self.transport.writeSequence(encode_command(id, word, fields, body))


class TdsEngine(Protocol):
    """An engine over TDS: the same, with its calls noted as if they had come over RESP."""

    def __init__(self, stand):
        self.server, self.packets = stand, codec.MessageAssembler(1 << 20)

    def dataReceived(self, data):
        for kind, _, body in self.packets.feed(data):
            if kind == codec.PRELOGIN:
                self.tell(codec.encode_prelogin())
            elif kind == codec.LOGIN7:
                good = codec.parse_login7(body)[2:4] == ("hub", "secret")
                self.tell(
                    codec.encode_login_ack(codec.VERSION_74, "stand") + codec.encode_done(0)
                    if good
                    else codec.encode_notice(codec.ERROR, 18456, 1, 14, "no", "stand")
                    + codec.encode_done(codec.DONE_ERROR)
                )
            elif kind == codec.ATTENTION:
                self.server.received.append((b"never_mind",))
                self.tell(codec.encode_done(codec.DONE_ATTN))
            else:
                given = codec.parse_rpc(body).arguments
                fields = f"profile={given['@class']},max={given['@budget_ms']},level={given['@level']}"
                fields += f",replay={given['@key']}" if "@key" in given else ""
                words = b"want", given["@id"].encode(), fields.encode(), given["@statement"].encode()
                self.server.received.append(words)
                self.server.on_command(self, *words)

    def tell(self, body):
        self.transport.writeSequence(codec.encode_message(codec.REPLY, body))

    def respond(self, id, word, fields=b"-", body=b""):
        if word == b"200":
            rows = [line.split("\t") for line in body.decode().splitlines()]
            load = codec.encode_notice(codec.INFO, 51010, 1, 0, fields.decode().partition("report=")[2], "stand")
            self.tell(
                load
                + codec.encode_columns("abc")
                + b"".join(map(codec.encode_row, rows))
                + codec.encode_done(codec.DONE_COUNT, len(rows), codec.DONEPROC)
            )
        else:
            number = {b"503": 51503, b"504": 51504}.get(word, 51500)
            self.tell(
                codec.encode_notice(codec.ERROR, number, 1, 16, "no", "stand") + codec.encode_done(codec.DONE_ERROR)
            )


class EngineServer:
    """A listening engine and all that it heard. `on_command(connection, *command)` answers."""

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
        return [words for words in self.received if words[0] == b"want"]


class JsonClient(LineOnlyReceiver):
    """A client of the platform: its answers by id."""

    delimiter, MAX_LENGTH = b"\n", 1 << 20

    def __init__(self):
        self.lines = []

    def lineReceived(self, line):
        self.lines.append(line)


class TdsClient(Protocol):
    """A client over TDS: whole answers as lists of tokens."""

    def __init__(self):
        self.packets, self.tokens = codec.MessageAssembler(1 << 24), codec.TokenReader(1 << 20)
        self.answers, self.partial = [], []
        self.greeted = False

    def dataReceived(self, data):
        for _, status, body in self.packets.feed_packets(data):
            if not self.greeted and body[:1] == b"\0":  # PRELOGIN's answer, the first of all: VERSION comes first
                self.greeted = True
                self.answers.append([])
                continue
            self.partial += self.tokens.feed(body)
            if status & codec.EOM:
                self.answers.append(self.partial)
                self.partial = []

    def ask(self, kind, body):
        self.transport.writeSequence(codec.encode_message(kind, body))

    def log_in(self, user="desk", password="open sesame"):
        self.ask(codec.PRELOGIN, codec.encode_prelogin())
        spin(lambda: len(self.answers) == 1)
        self.ask(codec.LOGIN7, codec.encode_login7(user, password, "rides", 4096))
        spin(lambda: len(self.answers) == 2)
        return self.answers.pop()

    def call(self, statement, **more):
        given = {"@statement": statement} | {f"@{name}": value for name, value in more.items()}
        self.ask(codec.RPC, codec.encode_rpc("rackhub_query", given))


class CoordinatorTestBed:
    """A coordinator on loopback with stand-in engines e0, e1, ... and a clock of the test's."""

    def __init__(self, *stands, tds_engines=False, settings=SETTINGS, limits=LIMITS, ids=None):
        self.clock, self.counters, self.engines = FakeClock(), Counters(), stands
        self.core = Coordinator(settings, 7, self.clock, Timers(self.clock, self.clock), limits, self.counters)
        shared = self.clock, limits, self.counters, self.core
        self.pools = (
            tds_pools(reactor, TdsEngineSettings(user="hub", password="secret"), *shared)
            if tds_engines
            else resp_pools(reactor, *shared)
        )
        self.fronts = (
            jsonrpc_front(self.core, limits, self.counters),
            tds_front(TDS, self.core, limits, self.counters, ids),
        )
        self.ports = [reactor.listenTCP(0, front, interface="127.0.0.1") for front in self.fronts]
        self.pools.update_endpoints(
            {f"e{i}": ("127.0.0.1", stand.port.getHost().port) for i, stand in enumerate(stands)}
        )
        self.core.start(self.pools, [t.EngineEntry(f"e{i}", "z", "std") for i in range(len(stands))], 1)

    def json_client(self):
        return dial(self.ports[0].getHost().port, JsonClient())

    def tds_client(self):
        client = dial(self.ports[1].getHost().port, TdsClient())
        client.log_in()
        return client

    def close(self):
        """End it all and wait until it has ended, so that tests do not meet in the reactor."""
        for port in (*self.ports, *(stand.port for stand in self.engines)):
            port.stopListening()
        for front in self.fronts:
            for connection in list(front.connections):
                connection.transport.abortConnection()
        for stand in self.engines:
            for connection in stand.connections:
                connection.transport.abortConnection()
        spin(
            lambda: (
                not any(front.connections for front in self.fronts)
                and not any(pool.links for pool in self.pools.pools.values())
            )
        )
