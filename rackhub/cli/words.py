"""What all commands share: reading the command line, and saying what came of it."""

import sys
from collections.abc import Sequence
from typing import Any

import msgspec
from docopt import docopt


class Ended(Exception):
    """The command is over with this exit status; what there is to say has been said."""

    def __init__(self, status: int):
        super().__init__(status)
        self.status = status


def parse(usage: str, words: Sequence[str], options_first: bool = False) -> dict[str, Any]:
    """The words as `usage` has them; help ends with 0, bad usage with 2."""
    try:
        return dict(docopt(usage, list(words), options_first=options_first))
    except SystemExit as end:
        if end.code:
            print(end.code, file=sys.stderr)
            raise Ended(2) from None
        raise Ended(0) from None


def refuse(what: str) -> Ended:
    """Bad usage or configuration, in one line; to be raised."""
    print(f"rackhub: {what}", file=sys.stderr)
    return Ended(2)


def number(options: dict[str, Any], name: str, least: float, most: float, kind: type = int) -> Any:
    """A numeric option or argument within its bounds."""
    text = options[name]
    try:
        value = kind(text)
    except ValueError:
        value = None
    if value is None or not least <= value <= most:
        raise refuse(f"{name}: {text!r} is not a number from {least:g} to {most:g}")
    return value


def as_json(told: object) -> None:
    """One JSON document on standard output."""
    print(msgspec.json.encode(told).decode())
