"""The operators' commands: parses one line, executes it and returns the whole answer. It does no I/O of its own."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from rackhub.ops.manual_ejections import ManualEjections

MAXIMUM_ECHOED_VERB = 40  # characters of an unknown verb that the answer repeats
MAXIMUM_ECHOED_ENGINE = 80  # characters of an unknown engine id that the answer repeats


class Verb(StrEnum):
    """The commands, as they are written on the wire."""

    HEALTH = "HEALTH"
    DUMP = "DUMP"
    OFFLINE = "OFFLINE"
    ONLINE = "ONLINE"


ENGINE_VERBS = (Verb.OFFLINE, Verb.ONLINE)  # take an engine id; the others take no argument


class Command(NamedTuple):
    """A parsed command; `engine` is empty where the verb takes none."""

    verb: Verb
    engine: str = ""


class CommandError(ValueError):
    """A line that is no valid command, or that can't be executed; the text is what the operator gets to read."""


def parse_command(line: bytes) -> Command:
    """Parse a line without its terminator. Raises `CommandError`."""
    words = _decode_line(line).split()
    if not words:
        raise CommandError("an empty call")
    try:
        verb = Verb(words[0].upper())
    except ValueError:
        raise CommandError(f"unknown call {words[0][:MAXIMUM_ECHOED_VERB]!r}") from None
    arguments = words[1:]
    if verb not in ENGINE_VERBS:
        if arguments:
            raise CommandError(f"{verb} takes nothing after it")
        return Command(verb)
    if len(arguments) != 1:
        raise CommandError(f"{verb} takes one engine id")
    return Command(verb, arguments[0])


def _decode_line(line: bytes) -> str:
    try:
        text = line.decode("ascii")
    except UnicodeDecodeError:
        raise CommandError("the call is not text") from None
    if not text.isprintable():
        raise CommandError("the call is not text")
    return text


class CommandHandler:
    """Executes commands on the manual ejections, and reports on the process."""

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

        `is_ready`: whether the process serves; `on_change`: the ejections have changed, publish and save them;
        `metrics_text`: the answer of DUMP; `now`: microseconds; `refresh`: adopt the ejections that another process
        has saved.
        """
        self.ejections = ejections
        self._is_ready = is_ready
        self._on_change = on_change
        self._metrics_text = metrics_text
        self._now = now
        self._refresh = refresh

    def answer(self, line: bytes) -> bytes:
        """The whole answer to one line (without its terminator), ending in a newline."""
        try:
            return self._execute(parse_command(line))
        except CommandError as error:
            return f"NO {error}\n".encode()

    def _execute(self, command: Command) -> bytes:
        match command.verb:
            case Verb.HEALTH:
                return b"YES ready\n" if self._is_ready() else b"NO not ready\n"
            case Verb.DUMP:
                return b"YES figures follow\n" + self._metrics_text() + b"END\n"
            case Verb.OFFLINE:
                self._refresh()
                return self._finish(self.ejections.eject(command.engine), command.engine, "out")
            case Verb.ONLINE:
                self._refresh()
                return self._finish(self.ejections.restore(command.engine, self._now()), command.engine, "back")

    def _finish(self, known: bool, engine: str, result: str) -> bytes:
        if not known:
            raise CommandError(f"{engine[:MAXIMUM_ECHOED_ENGINE]} was never listed")
        self._on_change()
        return f"YES {engine} {result}\n".encode()
