"""Functions that all commands share: parsing the command line, reporting errors, printing JSON."""

import sys
from collections.abc import Sequence
from typing import Any

import msgspec
from docopt import docopt


class CommandExit(Exception):
    """Ends the command with an exit status. Its message has already been printed."""

    def __init__(self, status: int):
        super().__init__(status)
        self.status = status


def parse(usage: str, arguments: Sequence[str], options_first: bool = False) -> dict[str, Any]:
    """Parse the arguments by a docopt usage text. Help ends the command with status 0, bad usage with 2."""
    try:
        return dict(docopt(usage, list(arguments), options_first=options_first))
    except SystemExit as end:
        if end.code:
            print(end.code, file=sys.stderr)
            raise CommandExit(2) from None
        raise CommandExit(0) from None


def report_error(message: str) -> CommandExit:
    """Print a one-line error and return the exception with status 2, which the caller raises."""
    print(f"rackhub: {message}", file=sys.stderr)
    return CommandExit(2)


def parse_number(options: dict[str, Any], name: str, minimum: float, maximum: float, kind: type = int) -> Any:
    """Return a numeric option or argument; one outside the bounds ends the command with status 2."""
    text = options[name]
    try:
        value = kind(text)
    except ValueError:
        value = None
    if value is None or not minimum <= value <= maximum:
        raise report_error(f"{name}: {text!r} is not a number from {minimum:g} to {maximum:g}")
    return value


def print_json(document: object) -> None:
    """Print one JSON document to standard output."""
    print(msgspec.json.encode(document).decode())
