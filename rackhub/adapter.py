"""Wire to interface and back: reads event lines, drives one `Router` an instance, writes action lines.

Nothing is decided here. Unknown messages, fields and settings are ignored.
"""

import sys
import traceback

from rackhub import interface
from rackhub.policy.router import Router
from rackhub.settings import BadLine, number, read, settings_of, truth, whole, word


def report(text):
    pairs = (part.split(":", 1) for part in text.split(",") if part)
    return {name: number(value) for name, value in pairs}


def plain_bytes(text):
    return b"" if text == "-" else bytes.fromhex(text)


# wire message -> (event type, ((wire field, attribute, reader, needed), ...))
EVENTS = {
    "ORDER": (
        interface.QueryReceived,
        (
            ("RequestId", "query", word, True),
            ("Cls", "cls", word, True),
            ("DropDead", "deadline", whole, True),
            ("Tenant", "tenant", str, False),
            ("IsRetry", "is_retry", truth, False),
            ("Estimate", "estimate", whole, False),
            ("Object", "key", whole, False),
            ("Write", "write", truth, False),
            ("FootprintMb", "memory_mb", number, False),
            ("Tables", "tables", whole, False),
        ),
    ),
    "UNDER_WAY": (
        interface.ResultStreamStarted,
        (
            ("RequestId", "query", word, True),
            ("SendNo", "attempt", whole, False),
            ("Node", "engine", str, False),
            ("WaitTime", "elapsed", whole, False),
        ),
    ),
    "STATUS_NOTE": (
        interface.ProgressReport,
        (
            ("RequestId", "query", word, True),
            ("SendNo", "attempt", whole, False),
            ("Topic", "topic", whole, True),
            ("Value", "value", number, False),
            ("Node", "engine", str, False),
        ),
    ),
    "OUTCOME": (
        interface.AttemptCompleted,
        (
            ("RequestId", "query", word, True),
            ("SendNo", "attempt", whole, False),
            ("Reason", "outcome", word, True),
            ("Settled", "settled", truth, False),
            ("Node", "engine", str, False),
            ("WaitTime", "elapsed", whole, False),
            ("Stats", "cost", whole, False),
            ("Load", "report", report, False),
        ),
    ),
    "CLIENT_LEFT": (interface.ClientDisconnected, (("RequestId", "query", word, True),)),
    "ELAPSED": (interface.TimerFired, (("Ref", "ref", whole, True),)),
    "SAMPLED": (
        interface.HealthCheckCompleted,
        (
            ("Node", "engine", word, True),
            ("Reason", "outcome", word, True),
            ("WaitTime", "elapsed", whole, False),
            ("Load", "report", report, False),
        ),
    ),
    "MAIL": (
        interface.GossipReceived,
        (("OriginPeer", "peer", whole, True), ("Contents", "contents", plain_bytes, True)),
    ),
}
ENTRY = (
    ("Node", "engine", word, True),
    ("Dc", "zone", str, False),
    ("Model", "kind", str, False),
    ("Cohort", "cell", whole, False),
    ("StageState", "state", word, True),
    ("Size", "size", number, False),
    ("CameUp", "started_at", whole, False),
)
MEMBERS = (("Scope", "scope", word, True), ("Rev", "revision", whole, False), ("Page", "page", whole, False))
ABSENT = {"attempt": 0, "value": 0.0}  # a field at its zero value may be left off the line


def gather(message, pairs, spec):
    values = {}
    for field, attribute, reader, needed in spec:
        if field in pairs:
            values[attribute] = read(message, pairs, field, reader)
        elif needed:
            raise BadLine(f"{message}: field {field} is missing")
        elif attribute in ABSENT:
            values[attribute] = ABSENT[attribute]
    return values


def flat(text):
    return " ".join(str(text).split())


def line_of(instance, act):
    """One action as its wire line."""
    head = f"\tI={instance}"
    match act:
        case interface.Send(query, engine, timeout):
            tail = f"\tTimeout={timeout}" if timeout else ""
            return f"TRY{head}\tRequestId={query}{tail}\tNode={engine}"
        case interface.Timer(delay, ref):
            return f"WAKE_ME{head}\tFromNow={delay}\tRef={ref}"
        case interface.Reject(query, retry_after):
            tail = f"\tRetryAfter={retry_after}" if retry_after else ""
            return f"SHED{head}\tRequestId={query}{tail}"
        case interface.Fail(query):
            return f"GIVE_UP{head}\tRequestId={query}"
        case interface.ExecutionHints(query, grant_mb, priority):
            return f"EQUIP{head}\tRequestId={query}\tMemoryGrant={grant_mb:g}\tWeightClass={priority}"
        case interface.Cancel(query, attempt):
            return f"REVOKE{head}\tRequestId={query}\tSendNo={attempt}"
        case interface.CheckHealth(engine):
            return f"SOUND_OUT{head}\tNode={engine}"
        case interface.SendGossip(peer, contents):
            return f"ANNOUNCE{head}\tWhom={peer}\tContents={contents.hex() or '-'}"
        case interface.WatchEndpoints(on):
            return f"LISTEN{head}\tOn={int(on)}"
        case interface.PollEndpoints():
            return f"RESOLVE{head}"
        case interface.CloseIdleConnections(engine):
            return f"DROP_CONNS{head}\tNode={engine}"
        case interface.Log(text):
            return f"EMIT{head}\tReasonText={flat(text)}"
    raise TypeError(f"no wire line for {act!r}")


class Host:
    """The instances of one process and the numbered lists that they are told of."""

    def __init__(self, out, err):
        self.out, self.err = out, err
        self.controls, self.pages = {}, {}
        self.now = 0
        self.reply = []

    def crash(self, instance, text):
        self.reply.append(f"CRASH\tI={instance}\tReasonText={flat(text)}")
        self.controls.pop(instance, None)

    def event(self, message, pairs):
        """One event line for one instance."""
        if message not in EVENTS and message not in ("START", "STOP", "MEMBERS"):
            return
        instance = pairs.get("I")
        if not instance:
            raise BadLine(f"{message}: field I is missing")
        try:
            if message == "STOP":
                self.controls.pop(instance, None)
                return
            if message == "START":
                seed = gather(message, pairs, (("RngSeed", "seed", whole, True),))["seed"]
                self.controls[instance] = Router(settings_of(pairs), seed)
                happening = interface.Started()
            elif message == "MEMBERS":
                values = gather(message, pairs, MEMBERS)
                page = values.pop("page", 0)
                if values["scope"] != "Error" and page not in self.pages:
                    raise BadLine(f"MEMBERS: field Page names the list {page}, which was not sent")
                entries = () if values["scope"] == "Error" else self.pages[page]
                happening = interface.EndpointList(entries=entries, **values)
            else:
                kind, spec = EVENTS[message]
                happening = kind(**gather(message, pairs, spec))
            control = self.controls.get(instance)
            if control is None:
                raise BadLine(f"{message}: instance {instance} has not started")
            for act in control.handle(self.now, happening):
                self.reply.append(line_of(instance, act))
        except BadLine as bad:
            print(f"bad line for {instance}: {bad}", file=self.err, flush=True)
            self.crash(instance, bad)
        except Exception as failure:  # the module failed: say so on the wire and keep the trace for the operators
            traceback.print_exc(file=self.err)
            self.crash(instance, f"{type(failure).__name__}: {failure}")

    def run(self, lines):
        """Serve batches until the input ends."""
        lines = iter(lines)
        for raw in lines:
            parts = raw.rstrip("\r\n").split("\t")
            message = parts[0]
            if message == "END":
                self.out.write("\n".join(self.reply + ["END"]) + "\n")
                self.out.flush()
                self.reply = []
                continue
            pairs = dict(part.split("=", 1) for part in parts[1:] if "=" in part)
            if message == "SYNC":
                self.now = gather(message, pairs, (("T", "now", whole, True),))["now"]
            elif message == "DIRECTORY":
                head = gather(message, pairs, (("Page", "page", whole, True), ("Rows", "rows", whole, True)))
                self.pages[head["page"]] = tuple(self.entry(next(lines, "")) for _ in range(head["rows"]))
            elif message:
                self.event(message, pairs)

    @staticmethod
    def entry(raw):
        parts = raw.rstrip("\r\n").split("\t")
        if parts[0] != "M":
            raise BadLine(f"DIRECTORY: a line M was due, not {parts[0]!r}")
        pairs = dict(part.split("=", 1) for part in parts[1:] if "=" in part)
        return interface.EngineEntry(**gather("M", pairs, ENTRY))


def main():
    try:
        Host(sys.stdout, sys.stderr).run(sys.stdin)
    except BadLine as bad:
        print(f"bad line: {bad}", file=sys.stderr, flush=True)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
