"""The operators' commands: parses a command line, executes it and returns the complete response. Does no I/O itself."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from rackhub.ops.shared_ejections import NotSavedError, SharedEjections

MAX_QUOTED_VERB = 40  # characters of an unknown verb that are quoted in the response
MAX_QUOTED_ENGINE = 80  # characters of an unknown engine id that are quoted in the response


class Verb(StrEnum):
    """The commands as they are written on the wire."""

    HEALTH = "HEALTH"
    DUMP = "DUMP"
    OFFLINE = "OFFLINE"
    ONLINE = "ONLINE"


ENGINE_VERBS = (Verb.OFFLINE, Verb.ONLINE)  # commands with an engine id as argument; the others have no argument


class Command(NamedTuple):
    """A parsed command; `engine` is empty if the verb takes no engine id."""

    verb: Verb
    engine: str = ""


class CommandError(ValueError):
    """The command is invalid or can't be executed; the operator receives the text."""


def parse_command(line: bytes) -> Command:
    """Parse a line without its terminator. Raises `CommandError`."""
    fields = _decode_line(line).split()
    if not fields:
        raise CommandError(f"empty command, expected one of {', '.join(Verb)}")
    try:
        verb = Verb(fields[0].upper())
    except ValueError:
        raise CommandError(
            f"unknown command {fields[0][:MAX_QUOTED_VERB]!r}, expected one of {', '.join(Verb)}"
        ) from None
    arguments = fields[1:]
    if verb not in ENGINE_VERBS:
        if arguments:
            raise CommandError(f"{verb} takes no argument, got {len(arguments)}")
        return Command(verb)
    if len(arguments) != 1:
        raise CommandError(f"{verb} takes one engine id, got {len(arguments)} arguments")
    return Command(verb, arguments[0])


def _decode_line(line: bytes) -> str:
    try:
        text = line.decode("ascii")
    except UnicodeDecodeError:
        raise CommandError("the command is not ASCII text") from None
    if not text.isprintable():
        raise CommandError("the command contains control characters")
    return text


class CommandHandler:
    """Executes commands: changes the manual ejections and reports health and metrics of the process."""

    def __init__(
        self,
        ejections: SharedEjections,
        is_ready: Callable[[], bool],
        on_change: Callable[[], None],
        metrics_text: Callable[[], bytes],
        now: Callable[[], int],
    ):
        """Connect the handler to the process.

        `is_ready` tells whether the process serves requests, `metrics_text` returns the metrics for DUMP, `now` the
        time in microseconds. `on_change` is called after a change of the ejections, to publish them.
        """
        self.ejections = ejections
        self._is_ready = is_ready
        self._on_change = on_change
        self._metrics_text = metrics_text
        self._now = now

    def execute(self, line: bytes) -> bytes:
        """Execute a command line (without its terminator) and return the response, which ends with a newline."""
        try:
            return self._execute_command(parse_command(line))
        except CommandError as error:
            return f"NO {error}\n".encode()

    def _execute_command(self, command: Command) -> bytes:
        match command.verb:
            case Verb.HEALTH:
                return b"YES ready\n" if self._is_ready() else b"NO not ready\n"
            case Verb.DUMP:
                return b"YES figures follow\n" + self._metrics_text() + b"END\n"
            case Verb.OFFLINE:
                return self._change(command.engine, lambda: self.ejections.eject(command.engine), "out")
            case Verb.ONLINE:
                return self._change(command.engine, lambda: self.ejections.restore(command.engine, self._now()), "back")

    def _change(self, engine: str, change: Callable[[], bool], result: str) -> bytes:
        """Make a change and publish it; it is confirmed only once it is saved."""
        try:
            known = change()
        except NotSavedError as error:
            self._on_change()
            raise CommandError(f"{engine[:MAX_QUOTED_ENGINE]}: can't be saved, call again: {error}") from None
        if not known:
            raise CommandError(f"unknown engine {engine[:MAX_QUOTED_ENGINE]}: it was never in the endpoint list")
        self._on_change()
        return f"YES {engine} {result}\n".encode()
