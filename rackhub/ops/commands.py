"""The operators' commands: parses a command line, executes it and returns the complete response. Does no I/O itself."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from rackhub.ops.manual_ejections import ManualEjections

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
        ejections: ManualEjections,
        is_ready: Callable[[], bool],
        on_change: Callable[[], None],
        metrics_text: Callable[[], bytes],
        now: Callable[[], int],
        refresh: Callable[[], None] = lambda: None,
    ):
        """Connect the handler to the process.

        `is_ready` tells whether the process serves requests, `metrics_text` returns the metrics for DUMP, `now` the
        time in microseconds. `refresh` is called before a change of the ejections and adopts those that another
        process has saved, `on_change` after it, to publish and save them.
        """
        self.ejections = ejections
        self._is_ready = is_ready
        self._on_change = on_change
        self._metrics_text = metrics_text
        self._now = now
        self._refresh = refresh

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
                self._refresh()
                return self._apply_change(self.ejections.eject(command.engine), command.engine, "out")
            case Verb.ONLINE:
                self._refresh()
                return self._apply_change(self.ejections.restore(command.engine, self._now()), command.engine, "back")

    def _apply_change(self, known: bool, engine: str, result: str) -> bytes:
        if not known:
            raise CommandError(f"unknown engine {engine[:MAX_QUOTED_ENGINE]}: it was never in the endpoint list")
        self._on_change()
        return f"YES {engine} {result}\n".encode()
