"""The simulator's wire: reads event lines, drives one `Router` an instance and writes action lines.

A line is a message name and `field=value` pairs, separated by tabs. Events come in batches that end with END; each
batch is answered by its action lines and END. Nothing is decided here. Unknown messages, fields and settings are
ignored.
"""

import sys
import traceback
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple, TextIO

from rackhub import interface
from rackhub.policy.router import Router
from rackhub.settings import (
    FieldParser,
    InvalidFieldError,
    parse_bool,
    parse_field,
    parse_float,
    parse_int,
    parse_nonempty,
    parse_settings,
)


class FieldSpec(NamedTuple):
    """A field of a message: its name on the wire, the attribute it sets, its parser, and whether it must be there."""

    wire_name: str
    attribute: str
    parser: FieldParser
    required: bool = False


class EventSpec(NamedTuple):
    """The event that a message becomes, and its fields."""

    event_type: type
    fields: tuple[FieldSpec, ...]


class Line(NamedTuple):
    """A line of the wire, split into its message name and pairs."""

    message: str
    pairs: dict[str, str]


def parse_load_report(text: str) -> dict[str, float]:
    """Parse a load report, `name:number` pairs separated by commas. Raises `ValueError`."""
    pairs = (item.split(":", 1) for item in text.split(",") if item)
    return {name: parse_float(value) for name, value in pairs}


def parse_contents(text: str) -> bytes:
    """Parse the contents of a gossip message: hexadecimal digits, or `-` for none. Raises `ValueError`."""
    return b"" if text == "-" else bytes.fromhex(text)


EVENTS = {
    "ORDER": EventSpec(
        interface.QueryReceived,
        (
            FieldSpec("RequestId", "query", parse_nonempty, required=True),
            FieldSpec("Cls", "cls", parse_nonempty, required=True),
            FieldSpec("DropDead", "deadline", parse_int, required=True),
            FieldSpec("Tenant", "tenant", str),
            FieldSpec("IsRetry", "is_retry", parse_bool),
            FieldSpec("Estimate", "estimate", parse_int),
            FieldSpec("Object", "key", parse_int),
            FieldSpec("Write", "write", parse_bool),
            FieldSpec("FootprintMb", "memory_mb", parse_float),
            FieldSpec("Tables", "tables", parse_int),
        ),
    ),
    "UNDER_WAY": EventSpec(
        interface.ResultStreamStarted,
        (
            FieldSpec("RequestId", "query", parse_nonempty, required=True),
            FieldSpec("SendNo", "attempt", parse_int),
            FieldSpec("Node", "engine", str),
            FieldSpec("WaitTime", "elapsed", parse_int),
        ),
    ),
    "STATUS_NOTE": EventSpec(
        interface.ProgressReport,
        (
            FieldSpec("RequestId", "query", parse_nonempty, required=True),
            FieldSpec("SendNo", "attempt", parse_int),
            FieldSpec("Topic", "topic", parse_int, required=True),
            FieldSpec("Value", "value", parse_float),
            FieldSpec("Node", "engine", str),
        ),
    ),
    "OUTCOME": EventSpec(
        interface.AttemptCompleted,
        (
            FieldSpec("RequestId", "query", parse_nonempty, required=True),
            FieldSpec("SendNo", "attempt", parse_int),
            FieldSpec("Reason", "outcome", parse_nonempty, required=True),
            FieldSpec("Settled", "settled", parse_bool),
            FieldSpec("Node", "engine", str),
            FieldSpec("WaitTime", "elapsed", parse_int),
            FieldSpec("Stats", "cost", parse_int),
            FieldSpec("Load", "report", parse_load_report),
        ),
    ),
    "CLIENT_LEFT": EventSpec(
        interface.ClientDisconnected,
        (FieldSpec("RequestId", "query", parse_nonempty, required=True),),
    ),
    "ELAPSED": EventSpec(interface.TimerFired, (FieldSpec("Ref", "timer_id", parse_int, required=True),)),
    "SAMPLED": EventSpec(
        interface.HealthCheckCompleted,
        (
            FieldSpec("Node", "engine", parse_nonempty, required=True),
            FieldSpec("Reason", "outcome", parse_nonempty, required=True),
            FieldSpec("WaitTime", "elapsed", parse_int),
            FieldSpec("Load", "report", parse_load_report),
        ),
    ),
    "MAIL": EventSpec(
        interface.GossipReceived,
        (
            FieldSpec("OriginPeer", "peer", parse_int, required=True),
            FieldSpec("Contents", "contents", parse_contents, required=True),
        ),
    ),
}
START_FIELDS = (FieldSpec("RngSeed", "seed", parse_int, required=True),)
TIME_FIELDS = (FieldSpec("T", "now", parse_int, required=True),)
PAGE_FIELDS = (
    FieldSpec("Page", "page", parse_int, required=True),
    FieldSpec("Rows", "rows", parse_int, required=True),
)
ENTRY_FIELDS = (
    FieldSpec("Node", "engine", parse_nonempty, required=True),
    FieldSpec("Dc", "zone", str),
    FieldSpec("Model", "kind", str),
    FieldSpec("Cohort", "cell", parse_int),
    FieldSpec("StageState", "state", parse_nonempty, required=True),
    FieldSpec("Size", "size", parse_float),
    FieldSpec("CameUp", "started_at", parse_int),
)
ENDPOINT_LIST_FIELDS = (
    FieldSpec("Scope", "scope", parse_nonempty, required=True),
    FieldSpec("Rev", "revision", parse_int),
    FieldSpec("Page", "page", parse_int),
)
ZERO_VALUES = {"attempt": 0, "value": 0.0}  # a field at its zero value may be left off the line
FAILED_LIST_SCOPE = "Error"  # of an endpoint list that could not be read: it has no page


def parse_fields(message: str, pairs: Mapping[str, str], fields: Iterable[FieldSpec]) -> dict[str, Any]:
    """The attributes that a message sets. Raises `InvalidFieldError`."""
    values: dict[str, Any] = {}
    for field in fields:
        if field.wire_name in pairs:
            values[field.attribute] = parse_field(message, pairs, field.wire_name, field.parser)
        elif field.required:
            raise InvalidFieldError(f"{message}: field {field.wire_name} is missing")
        elif field.attribute in ZERO_VALUES:
            values[field.attribute] = ZERO_VALUES[field.attribute]
    return values


def split_line(raw: str) -> Line:
    """Split a line; what isn't a `field=value` pair is ignored."""
    message, *items = raw.rstrip("\r\n").split("\t")
    return Line(message, dict(item.split("=", 1) for item in items if "=" in item))


def single_line(text: object) -> str:
    """The text with each run of white space replaced by a space."""
    return " ".join(str(text).split())


def format_action(instance: str, action: object) -> str:  # noqa: C901 - one case an action
    """One action as its line of the wire. Raises `TypeError` for an object that is no action."""
    prefix = f"\tI={instance}"
    match action:
        case interface.Send(query, engine, timeout):
            suffix = f"\tTimeout={timeout}" if timeout else ""
            return f"TRY{prefix}\tRequestId={query}{suffix}\tNode={engine}"
        case interface.Timer(delay, timer_id):
            return f"WAKE_ME{prefix}\tFromNow={delay}\tRef={timer_id}"
        case interface.Reject(query, retry_after):
            suffix = f"\tRetryAfter={retry_after}" if retry_after else ""
            return f"SHED{prefix}\tRequestId={query}{suffix}"
        case interface.Fail(query):
            return f"GIVE_UP{prefix}\tRequestId={query}"
        case interface.ExecutionHints(query, grant_mb, priority):
            return f"EQUIP{prefix}\tRequestId={query}\tMemoryGrant={grant_mb:g}\tWeightClass={priority}"
        case interface.Cancel(query, attempt):
            return f"REVOKE{prefix}\tRequestId={query}\tSendNo={attempt}"
        case interface.CheckHealth(engine):
            return f"SOUND_OUT{prefix}\tNode={engine}"
        case interface.SendGossip(peer, contents):
            return f"ANNOUNCE{prefix}\tWhom={peer}\tContents={contents.hex() or '-'}"
        case interface.WatchEndpoints(enabled):
            return f"LISTEN{prefix}\tOn={int(enabled)}"
        case interface.PollEndpoints():
            return f"RESOLVE{prefix}"
        case interface.CloseIdleConnections(engine):
            return f"DROP_CONNS{prefix}\tNode={engine}"
        case interface.Log(text):
            return f"EMIT{prefix}\tReasonText={single_line(text)}"
    raise TypeError(f"no wire line for {action!r}")


class SimulatorAdapter:
    """Runs the decision modules of all instances of a simulation in one process."""

    def __init__(self, out: TextIO, err: TextIO):
        """Write batches of action lines to `out`, and errors to `err`."""
        self._out = out
        self._err = err
        self._controls: dict[str, Router] = {}
        self._endpoint_pages: dict[int, tuple[interface.EngineEntry, ...]] = {}
        self._now = 0  # microseconds
        self._reply: list[str] = []

    def run(self, lines: Iterable[str]) -> None:
        """Serve batches until the input ends. Raises `InvalidFieldError` for a bad line that names no instance."""
        remaining = iter(lines)
        for raw in remaining:
            line = split_line(raw)
            if line.message == "END":
                self._send_reply()
            elif line.message == "SYNC":
                self._now = parse_fields(line.message, line.pairs, TIME_FIELDS)["now"]
            elif line.message == "DIRECTORY":
                self._read_endpoint_page(line, remaining)
            elif line.message:
                self._dispatch(line)

    def _send_reply(self) -> None:
        self._out.write("\n".join([*self._reply, "END"]) + "\n")
        self._out.flush()
        self._reply = []

    def _read_endpoint_page(self, line: Line, remaining: Iterator[str]) -> None:
        """Read the entries of a numbered endpoint list, which follow its head."""
        head = parse_fields(line.message, line.pairs, PAGE_FIELDS)
        entries = tuple(self._parse_entry(next(remaining, "")) for _ in range(head["rows"]))
        self._endpoint_pages[head["page"]] = entries

    @staticmethod
    def _parse_entry(raw: str) -> interface.EngineEntry:
        line = split_line(raw)
        if line.message != "M":
            raise InvalidFieldError(f"DIRECTORY: a line M was due, not {line.message!r}")
        return interface.EngineEntry(**parse_fields("M", line.pairs, ENTRY_FIELDS))

    def _dispatch(self, line: Line) -> None:
        """Handle one event of an instance; a failure crashes that instance alone."""
        if line.message not in EVENTS and line.message not in ("START", "STOP", "MEMBERS"):
            return
        instance = line.pairs.get("I")
        if not instance:
            raise InvalidFieldError(f"{line.message}: field I is missing")
        try:
            if line.message == "STOP":
                self._controls.pop(instance, None)
            else:
                self._handle(instance, line)
        except InvalidFieldError as error:
            print(f"bad line for {instance}: {error}", file=self._err, flush=True)
            self._crash(instance, str(error))
        except Exception as error:  # noqa: BLE001 - whatever the decision module raises is reported on the wire
            traceback.print_exc(file=self._err)
            self._crash(instance, f"{type(error).__name__}: {error}")

    def _handle(self, instance: str, line: Line) -> None:
        event: Any
        if line.message == "START":
            seed = parse_fields(line.message, line.pairs, START_FIELDS)["seed"]
            self._controls[instance] = Router(parse_settings(line.pairs), seed)
            event = interface.Started()
        elif line.message == "MEMBERS":
            event = self._endpoint_list(line)
        else:
            spec = EVENTS[line.message]
            event = spec.event_type(**parse_fields(line.message, line.pairs, spec.fields))
        control = self._controls.get(instance)
        if control is None:
            raise InvalidFieldError(f"{line.message}: instance {instance} has not started")
        for action in control.handle(self._now, event):
            self._reply.append(format_action(instance, action))

    def _endpoint_list(self, line: Line) -> interface.EndpointList:
        values = parse_fields(line.message, line.pairs, ENDPOINT_LIST_FIELDS)
        page = values.pop("page", 0)
        if values["scope"] == FAILED_LIST_SCOPE:
            return interface.EndpointList(entries=(), **values)
        if page not in self._endpoint_pages:
            raise InvalidFieldError(f"MEMBERS: field Page names the list {page}, which was not sent")
        return interface.EndpointList(entries=self._endpoint_pages[page], **values)

    def _crash(self, instance: str, reason: str) -> None:
        self._reply.append(f"CRASH\tI={instance}\tReasonText={single_line(reason)}")
        self._controls.pop(instance, None)


def main() -> int:
    """Serve standard input; returns the exit status, 2 after a bad line that names no instance."""
    try:
        SimulatorAdapter(sys.stdout, sys.stderr).run(sys.stdin)
    except InvalidFieldError as error:
        print(f"bad line: {error}", file=sys.stderr, flush=True)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
